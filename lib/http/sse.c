/* Incremental parser of server-sent events. */
#include <string.h>

#include "ld_http.h"

#define DATA_FIELD "data"
#define ID_FIELD "id"
#define ID_DIGITS_MAX 18

void
ld_sse_feed(struct ld_sse *s, struct ld_str bytes)
{
	ld_buf_adds(ld_fifo_tail(&s->pending), bytes);
}

/* Whether the line feed at @i ends an empty line. */
static bool
ends_event(const char *p, size_t i)
{
	return (i >= 1 && p[i - 1] == '\n') ||
	    (i >= 2 && p[i - 1] == '\r' && p[i - 2] == '\n');
}

/* Length of the first event with its empty line, 0 if it is incomplete. */
static size_t
event_length(struct ld_sse *s, struct ld_str pending)
{
	for (size_t i = s->scanned; i < pending.len; i++)
		if (pending.p[i] == '\n' && ends_event(pending.p, i))
			return i + 1;
	s->scanned = pending.len;
	return 0;
}

enum ld_status
ld_sse_next(struct ld_sse *s, struct ld_str *event)
{
	struct ld_str pending = ld_fifo_str(&s->pending);
	size_t n = event_length(s, pending);

	if ((n > 0 ? n : pending.len) > s->max_event_bytes)
		return ld_fail(LD_E_TOO_LARGE, "event exceeds %zu bytes",
		    s->max_event_bytes);
	if (n == 0)
		return LD_E_AGAIN;
	*event = (struct ld_str){pending.p, n};
	ld_fifo_consume(&s->pending, n);
	s->scanned = 0;
	return LD_OK;
}

bool
ld_sse_has_event(struct ld_sse *s)
{
	return event_length(s, ld_fifo_str(&s->pending)) > 0;
}

size_t
ld_sse_pending_bytes(const struct ld_sse *s)
{
	return ld_fifo_len(&s->pending);
}

void
ld_sse_reset(struct ld_sse *s)
{
	ld_fifo_reset(&s->pending);
	s->scanned = 0;
}

void
ld_sse_free(struct ld_sse *s)
{
	ld_fifo_free(&s->pending);
	s->scanned = 0;
}

/* ---- Fields of an event ---- */

static bool
read_field(struct ld_str line, struct ld_str name, struct ld_str *value)
{
	if (line.len > 0 && line.p[line.len - 1] == '\r')
		line.len--;
	if (!ld_str_starts(line, name))
		return false;
	*value = (struct ld_str){line.p + name.len, line.len - name.len};
	if (value->len == 0)
		return true;
	if (*value->p != ':')
		return false;
	do {
		value->p++;
		value->len--;
	} while (value->len > 0 && *value->p == ' ');
	return true;
}

/* Value of the first field with that name; false: there is none. */
static bool
find_field(struct ld_str event, struct ld_str name, struct ld_str *value)
{
	const char *p = event.p, *end = event.p + event.len;

	while (p < end) {
		const char *eol = memchr(p, '\n', (size_t)(end - p));
		size_t n = (size_t)((eol != NULL ? eol : end) - p);

		if (read_field((struct ld_str){p, n}, name, value))
			return true;
		p += n + 1;
	}
	return false;
}

bool
ld_sse_data(struct ld_str event, struct ld_str *data)
{
	return find_field(event, LD_STR(DATA_FIELD), data);
}

uint64_t
ld_sse_id(struct ld_str event)
{
	struct ld_str value;
	uint64_t id = 0;
	size_t digits = 0;

	if (!find_field(event, LD_STR(ID_FIELD), &value))
		return UINT64_MAX;
	while (digits < value.len && value.p[digits] >= '0' &&
	    value.p[digits] <= '9') {
		id = id * 10 + (uint64_t)(value.p[digits] - '0');
		if (++digits > ID_DIGITS_MAX)
			return UINT64_MAX;
	}
	return digits > 0 ? id : UINT64_MAX;
}
