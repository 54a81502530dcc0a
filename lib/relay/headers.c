/* Header fields of a send: those that this node sets, then the client's others. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "request_internal.h"

#define VALUE_BYTES 256
#define HEADERS_MIN 32

static void
add_header(struct headers *h, const char *name, const char *value)
{
	struct ld_buf b = {0};

	/* Room for the NULL at the end as well. */
	if (h->count + 1 >= h->capacity) {
		h->capacity = h->capacity > 0 ? 2 * h->capacity : HEADERS_MIN;
		h->line = ld_realloc(h->line, h->capacity * sizeof(*h->line));
	}
	/* libcurl sends an empty field when it is given as "Name;". */
	ld_buf_printf(&b, *value != '\0' ? "%s: %s" : "%s;%s", name, value);
	ld_buf_cstr(&b);
	h->line[h->count++] = b.p;
	h->line[h->count] = NULL;
}

static bool
list_contains(const char *list, const char *name)
{
	size_t n = strlen(name);

	for (const char *p = list; p != NULL && *p != '\0';) {
		p += strspn(p, " ,\t");
		if (strncasecmp(p, name, n) == 0 &&
		    (p[n] == '\0' || strchr(" ,\t", p[n]) != NULL))
			return true;
		p += strcspn(p, ",");
	}
	return false;
}

/* Until an event with an id was relayed, that of the client still holds. */
static bool
has_own_last_event(const struct request *q)
{
	return q->response_started && q->last_event_id != UINT64_MAX;
}

static bool
is_replaced(struct headers *h, const char *name)
{
	static const char *const not_forwarded[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "Proxy-Authorization", "Transfer-Encoding",
	    "Content-Length", "TE", "Trailer", "Upgrade", "Expect"};
	static const enum ld_field replaced[] = {LD_FIELD_DEADLINE_MS,
	    LD_FIELD_ACCOUNT, LD_FIELD_EXPECT_SERVER, LD_FIELD_AUTHORIZATION,
	    LD_FIELD_PRIORITY};
	/* Another node authenticates the client's request itself. */
	size_t count = h->send->server != NULL
	    ? sizeof(replaced) / sizeof(replaced[0])
	    : 1;
	const struct ld_dialect *d = h->send->request->relay->dialect;

	for (size_t i = 0; i < sizeof(not_forwarded) / sizeof(not_forwarded[0]);
	     i++)
		if (strcasecmp(not_forwarded[i], name) == 0)
			return true;
	if (strcasecmp(RELAY_FORWARDED_FIELD, name) == 0)
		return true;
	for (size_t i = 0; i < count; i++)
		if (strcasecmp(d->fields[replaced[i]], name) == 0)
			return true;
	if (has_own_last_event(h->send->request) &&
	    strcasecmp(d->fields[LD_FIELD_LAST_EVENT], name) == 0)
		return true;
	return list_contains(ld_buf_cstr(&h->connection), name);
}

/* A client may send several Connection fields; their lists are one. */
static void
collect_connection(void *user, const char *name, const char *value)
{
	struct headers *h = user;

	if (strcasecmp(name, "Connection") == 0)
		ld_buf_printf(&h->connection, "%s,", value);
}

static void
copy_client_header(void *user, const char *name, const char *value)
{
	struct headers *h = user;

	if (!is_replaced(h, name))
		add_header(h, name, value);
}

static void
add_server_fields(struct headers *h)
{
	const struct request *q = h->send->request;
	const struct ld_dialect *d = q->relay->dialect;
	char text[VALUE_BYTES];

	add_header(
	    h, d->fields[LD_FIELD_EXPECT_SERVER], h->send->server->entry.id);
	snprintf(text, sizeof(text), "%u", q->priority);
	add_header(h, d->fields[LD_FIELD_PRIORITY], text);
	if (q->account[0] != '\0')
		add_header(h, d->fields[LD_FIELD_ACCOUNT], q->account);
}

void
headers_build(const struct send *s, struct headers *h, uint64_t remaining_ms)
{
	const struct request *q = s->request;
	const struct ld_dialect *d = q->relay->dialect;
	char text[VALUE_BYTES];

	h->send = s;
	snprintf(text, sizeof(text), "%llu", (unsigned long long)remaining_ms);
	add_header(h, d->fields[LD_FIELD_DEADLINE_MS], text);
	if (s->server != NULL) {
		add_server_fields(h);
	} else {
		snprintf(text, sizeof(text), "%s %u config=%lld",
		    q->relay->settings->name, q->max_runs - q->possible_runs,
		    (long long)q->config);
		add_header(h, RELAY_FORWARDED_FIELD, text);
	}
	if (has_own_last_event(q)) {
		snprintf(text, sizeof(text), "%llu",
		    (unsigned long long)q->last_event_id);
		add_header(h, d->fields[LD_FIELD_LAST_EVENT], text);
	}
	ld_exchange_fields(q->x, collect_connection, h);
	ld_exchange_fields(q->x, copy_client_header, h);
}

void
headers_free(struct headers *h)
{
	for (size_t i = 0; i < h->count; i++)
		free(h->line[i]);
	free(h->line);
	ld_buf_free(&h->connection);
	*h = (struct headers){0};
}
