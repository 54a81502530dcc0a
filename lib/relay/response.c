/* A server's response: whether it is valid, and which fields are relayed. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "request_internal.h"

/* Upper bound of a server's Retry-After. A longer one is an error of the
 * server: no server process runs for an hour. */
#define RETRY_AFTER_MAX_MS 3600000
#define MILLI 1000
#define FIELDS_MIN 16

/* Fields that are not relayed: those that concern one connection only
 * (RFC 9110, 7.6.1), and Content-Length, which is set for each connection. */
static const char *const connection_fields[] = {"Connection", "Keep-Alive",
    "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE", "Trailer",
    "Upgrade", NULL};

static bool
is_connection_field(struct ld_str name)
{
	for (size_t i = 0; connection_fields[i] != NULL; i++)
		if (strlen(connection_fields[i]) == name.len &&
		    strncasecmp(connection_fields[i], name.p, name.len) == 0)
			return true;
	return false;
}

static bool
is_field(struct ld_str name, const char *known)
{
	return strlen(known) == name.len &&
	    strncasecmp(known, name.p, name.len) == 0;
}

void
response_reset(struct response *rsp)
{
	for (size_t i = 0; i < 2 * rsp->field_count; i++)
		free(rsp->fields[i]);
	free(rsp->fields);
	ld_buf_free(&rsp->body);
	*rsp = (struct response){0};
}

/* Reads a decimal number in thousandths, at most @max. A malformed or negative
 * one counts as absent. */
static bool
read_milli(struct ld_str value, uint64_t max, uint64_t *milli)
{
	char text[32], *end = NULL;
	double n;

	if (value.len == 0 || value.len >= sizeof(text))
		return false;
	snprintf(text, sizeof(text), "%.*s", LD_FMT(value));
	n = strtod(text, &end);
	if (end == text || *end != '\0' || !(n >= 0))
		return false;
	*milli = n * MILLI < (double)max ? (uint64_t)llround(n * MILLI) : max;
	return true;
}

/* Seconds, with or without a fraction. A date (RFC 9110, 10.2.3) counts as
 * absent. */
static uint64_t
read_retry_after_ms(struct ld_str value)
{
	uint64_t ms = 0;

	(void)read_milli(value, RETRY_AFTER_MAX_MS, &ms);
	return ms;
}

static void
read_rate(struct response *rsp, struct ld_str value)
{
	uint64_t milli;

	if (!read_milli(value, LD_RATE_UNLIMITED - 1, &milli))
		return;
	rsp->names_rate = true;
	rsp->rate_milli = (uint32_t)milli;
}

/* lib/http bounds the bytes of a head. */
static void
keep_field(struct response *rsp, struct ld_str name, struct ld_str value)
{
	char **at;

	if (rsp->field_count == rsp->field_capacity) {
		rsp->field_capacity = rsp->field_capacity > 0
		    ? 2 * rsp->field_capacity
		    : FIELDS_MIN;
		rsp->fields = ld_realloc(rsp->fields,
		    (2 * rsp->field_capacity + 1) * sizeof(*rsp->fields));
	}
	rsp->head_bytes += name.len + value.len + strlen(": \r\n");
	at = &rsp->fields[2 * rsp->field_count++];
	at[0] = ld_str_dup(name);
	at[1] = ld_str_dup(value);
	at[2] = NULL;
}

void
response_add_field(struct response *rsp, const struct ld_dialect *d,
    const char *attempt_id, struct ld_str name, struct ld_str value)
{
	if (is_field(name, d->fields[LD_FIELD_ATTEMPT_ID])) {
		rsp->has_attempt_id = true;
		rsp->attempt_id_matches =
		    ld_str_eq(value, ld_str_c(attempt_id));
	}
	rsp->is_signed |= is_field(name, d->fields[LD_FIELD_SIGNATURE]);
	rsp->not_run |= is_field(name, d->fields[LD_FIELD_NOT_EXECUTED]);
	rsp->is_encoded |= is_field(name, "Content-Encoding");
	rsp->has_framing |= is_field(name, "Content-Length") ||
	    is_field(name, "Transfer-Encoding");
	if (is_field(name, d->fields[LD_FIELD_LEAVING]))
		rsp->leaving = ld_str_eq(value, LD_STR("1"));
	if (is_field(name, "Retry-After"))
		rsp->retry_after_ms = read_retry_after_ms(value);
	if (is_field(name, d->fields[LD_FIELD_RATE_LIMIT]))
		read_rate(rsp, value);
	if (!is_connection_field(name))
		keep_field(rsp, name, value);
}

enum response_verdict
response_verdict(const struct response *rsp)
{
	bool success = rsp->code >= 200 && rsp->code < 300;
	bool needs_id = success || rsp->needs_attempt_id;

	if (rsp->has_attempt_id ? !rsp->attempt_id_matches : needs_id)
		return RESPONSE_INVALID;
	if (rsp->not_run || rsp->code == 421)
		return RESPONSE_NOT_RUN;
	if (success && (!rsp->is_signed || rsp->is_encoded))
		return RESPONSE_INVALID;
	return RESPONSE_VALID;
}

const char *const *
response_headers(const struct response *rsp)
{
	static const char *const none[] = {NULL};

	return rsp->fields != NULL ? (const char *const *)rsp->fields : none;
}
