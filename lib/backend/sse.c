/* Incremental parser of server-sent events. */
#include <string.h>

#include "ld_backend.h"

enum ld_status
ld_sse_feed(struct ld_sse *s, struct ld_str bytes)
{
	if (s->pending.len + bytes.len > LD_SSE_EVENT_MAX_BYTES)
		return ld_fail(LD_E_TOO_LARGE, "event exceeds %d bytes",
		    LD_SSE_EVENT_MAX_BYTES);
	ld_buf_adds(&s->pending, bytes);
	return LD_OK;
}

/* Length of the first event and its empty line, 0 if incomplete. */
static size_t
event_length(struct ld_sse *s)
{
	const char *p = s->pending.p;

	for (size_t i = s->scanned; i + 1 < s->pending.len; i++) {
		if (p[i] != '\n')
			continue;
		if (p[i + 1] == '\n')
			return i + 2;
		if (p[i + 1] == '\r' && i + 2 < s->pending.len &&
		    p[i + 2] == '\n')
			return i + 3;
	}
	/* The last two bytes may be the start of an empty line. */
	s->scanned = s->pending.len > 2 ? s->pending.len - 2 : 0;
	return 0;
}

static struct ld_str
event_data(struct ld_str event)
{
	static const char name[] = "data:";
	const char *end = event.p + event.len;
	const char *p = event.p;

	while (p < end) {
		const char *eol = memchr(p, '\n', (size_t)(end - p));
		size_t len = (size_t)((eol != NULL ? eol : end) - p);

		if (len >= sizeof(name) - 1 &&
		    memcmp(p, name, sizeof(name) - 1) == 0) {
			p += sizeof(name) - 1;
			len -= sizeof(name) - 1;
			if (len > 0 && *p == ' ') {
				p++;
				len--;
			}
			if (len > 0 && p[len - 1] == '\r')
				len--;
			return (struct ld_str){p, len};
		}
		p += len + 1;
	}
	return (struct ld_str){event.p, 0};
}

/*
 * A returned event stays at the front of the buffer until the next call, so
 * that its views remain valid.
 */
bool
ld_sse_next(struct ld_sse *s, struct ld_str *event, struct ld_str *data)
{
	size_t n;

	if (s->returned > 0) {
		ld_buf_consume(&s->pending, s->returned);
		s->returned = 0;
	}
	n = s->pending.len > 0 ? event_length(s) : 0;
	if (n == 0)
		return false;
	s->returned = n;
	s->scanned = 0;
	*event = (struct ld_str){s->pending.p, n};
	*data = event_data(*event);
	return true;
}

void
ld_sse_free(struct ld_sse *s)
{
	ld_buf_free(&s->pending);
}
