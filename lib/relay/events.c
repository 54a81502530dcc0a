/* Splits a server-sent event stream into complete events. */
#include <string.h>

#include "events.h"

#define ID_FIELD "id:"
#define DATA_FIELD "data"
#define ID_DIGITS_MAX 18

/* Offset after the empty line that ends the first event, 0 for none. */
static size_t
event_end(const char *p, size_t n)
{
	for (size_t i = 1; i < n; i++) {
		if (p[i] != '\n')
			continue;
		if (p[i - 1] == '\n' ||
		    (i > 1 && p[i - 1] == '\r' && p[i - 2] == '\n'))
			return i + 1;
	}
	return 0;
}

/* What follows the first line that begins with @field, NULL for none. */
static const char *
find_field(const char *p, const char *end, const char *field)
{
	size_t n = strlen(field);

	while ((size_t)(end - p) > n) {
		if (memcmp(p, field, n) == 0)
			return p + n;
		p = memchr(p, '\n', (size_t)(end - p));
		if (p == NULL)
			return NULL;
		p++;
	}
	return NULL;
}

static uint64_t
event_id(const char *p, size_t n)
{
	const char *end = p + n;
	uint64_t id = 0;
	int digits = 0;

	p = find_field(p, end, ID_FIELD);
	if (p == NULL)
		return UINT64_MAX;
	while (p < end && *p == ' ')
		p++;
	for (; p < end && *p >= '0' && *p <= '9'; p++) {
		id = id * 10 + (uint64_t)(*p - '0');
		if (++digits > ID_DIGITS_MAX)
			return UINT64_MAX;
	}
	return digits > 0 ? id : UINT64_MAX;
}

bool
events_peek(const struct events *e, struct ld_str *event, uint64_t *id)
{
	size_t end = event_end(e->pending.p, e->pending.len);

	if (end == 0)
		return false;
	*event = (struct ld_str){e->pending.p, end};
	*id = event_id(e->pending.p, end);
	return true;
}

bool
event_has_data(struct ld_str event)
{
	return find_field(event.p, event.p + event.len, DATA_FIELD) != NULL;
}

void
events_consume(struct events *e, struct ld_str event)
{
	ld_buf_consume(&e->pending, event.len);
}

void
events_append(struct events *e, struct ld_str bytes)
{
	ld_buf_adds(&e->pending, bytes);
}

size_t
events_pending_bytes(const struct events *e)
{
	return e->pending.len;
}

void
events_reset(struct events *e)
{
	e->pending.len = 0;
}

void
events_free(struct events *e)
{
	ld_buf_free(&e->pending);
}
