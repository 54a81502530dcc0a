/* The answer of a server: which are sound, and what is passed on. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "request_internal.h"

/* A server is passed over for so long at most, s: a longer wait is an error of
 * the server, and an hour outlives any of its lives. */
#define RETRY_AFTER_MAX_S 3600
#define MS_PER_S 1000

/* Fields that concern one connection only (RFC 9110, 7.6.1). */
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
answer_reset(struct answer *a)
{
	for (size_t i = 0; i < 2 * a->field_count; i++)
		free(a->fields[i]);
	ld_buf_free(&a->body);
	*a = (struct answer){0};
}

/* Seconds, with or without a fraction; a date (RFC 9110, 10.2.3) and what can't
 * be read count as not told. */
static uint64_t
read_retry_after_ms(struct ld_str value)
{
	char text[32], *end = NULL;
	double s;

	if (value.len == 0 || value.len >= sizeof(text))
		return 0;
	snprintf(text, sizeof(text), "%.*s", LD_FMT(value));
	s = strtod(text, &end);
	if (end == text || *end != '\0' || !(s > 0))
		return 0;
	return s < RETRY_AFTER_MAX_S ? (uint64_t)llround(s * MS_PER_S)
				     : (uint64_t)RETRY_AFTER_MAX_S * MS_PER_S;
}

void
answer_field(struct answer *a, const struct ld_dialect *d,
    const char *attempt_id, struct ld_str name, struct ld_str value)
{
	if (is_field(name, d->fields[LD_FIELD_ATTEMPT_ID])) {
		a->has_attempt_id = true;
		a->attempt_id_matches = ld_str_eq(value, ld_str_c(attempt_id));
	}
	a->is_signed |= is_field(name, d->fields[LD_FIELD_SIGNATURE]);
	a->not_run |= is_field(name, d->fields[LD_FIELD_NOT_RUN]);
	a->encoded |= is_field(name, "Content-Encoding");
	if (is_field(name, d->fields[LD_FIELD_LEAVING]))
		a->leaving = ld_str_eq(value, LD_STR("1"));
	if (is_field(name, "Retry-After"))
		a->retry_after_ms = read_retry_after_ms(value);
	if (is_connection_field(name) || a->field_count == ANSWER_FIELDS_MAX)
		return;
	a->fields[2 * a->field_count] = ld_str_dup(name);
	a->fields[2 * a->field_count + 1] = ld_str_dup(value);
	a->field_count++;
}

enum answer_verdict
answer_verdict(const struct answer *a)
{
	bool success = a->code >= 200 && a->code < 300;

	if (a->has_attempt_id ? !a->attempt_id_matches : success)
		return ANSWER_FOREIGN;
	if (a->not_run || a->code == 421)
		return ANSWER_NOT_RUN;
	if (success && (!a->is_signed || a->encoded))
		return ANSWER_FOREIGN;
	return ANSWER_SOUND;
}

const char *const *
answer_headers(struct answer *a)
{
	a->fields[2 * a->field_count] = NULL;
	return (const char *const *)a->fields;
}
