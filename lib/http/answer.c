/* The answer of one call as it comes: head, body, and the bounds of both. */
#include <string.h>

#include "http_internal.h"

/* Of all header lines of an answer, of its interim answers and trailers: many times
 * what servers send. */
#define HEAD_MAX_BYTES ((size_t)128 * 1024)
/* Reads in a row that brought nothing of the body: the framing of chunks has no end
 * then. Each read takes up to RECEIVE_BUFFER_BYTES. */
#define EMPTY_READS_MAX 200

static void
note_head(struct ld_http_call *c)
{
	const char *type = NULL;
	long code = 0;

	if (c->head_seen)
		return;
	c->head_seen = true;
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &code);
	curl_easy_getinfo(c->easy, CURLINFO_CONTENT_TYPE, &type);
	if (c->sink->ops->head != NULL)
		c->sink->ops->head(c->sink, code, ld_str_c(type));
}

/* Splits "Name: value" and hands it over; the status line has no colon first. */
static void
note_field(struct ld_http_call *c, const char *p, size_t n)
{
	const char *colon = memchr(p, ':', n);
	struct ld_str name, value;

	if (colon == NULL || (n > 5 && memcmp(p, "HTTP/", 5) == 0))
		return;
	name = (struct ld_str){p, (size_t)(colon - p)};
	value = (struct ld_str){colon + 1, n - name.len - 1};
	while (value.len > 0 && (*value.p == ' ' || *value.p == '\t')) {
		value.p++;
		value.len--;
	}
	while (value.len > 0 && strchr("\r\n \t", value.p[value.len - 1]))
		value.len--;
	c->sink->ops->field(c->sink, name, value);
}

/* Called for each header line; the empty line ends a head. */
static size_t
on_header(char *p, size_t size, size_t n, void *user)
{
	struct ld_http_call *c = user;
	long code = 0;

	c->progress_ms = ld_loop_now(c->http->loop);
	if (c->sink == NULL)
		return 0;
	c->head_received += size * n;
	if (c->head_received > HEAD_MAX_BYTES) {
		c->failure = LD_E_TOO_LARGE;
		return 0;
	}
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &code);
	if (size * n > 2) {
		/* After the head come trailers, which belong to the body. */
		if (code >= 200 && !c->head_seen && c->sink->ops->field != NULL)
			note_field(c, p, size * n);
		return c->dying ? 0 : n;
	}
	if (code >= 200)
		note_head(c);
	return c->dying ? 0 : n;
}

static size_t
on_body(char *p, size_t size, size_t n, void *user)
{
	struct ld_http_call *c = user;
	struct ld_str bytes = {p, size * n};

	if (c->sink == NULL)
		return 0;
	if (c->paused)
		return CURL_WRITEFUNC_PAUSE;
	/* The time of this turn will do: bytes come often. */
	c->progress_ms = ld_timers_now(ld_loop_timers(c->http->loop));
	c->received += bytes.len;
	if (c->max_body > 0 && c->received > c->max_body) {
		c->failure = LD_E_TOO_LARGE;
		return 0;
	}
	c->sink->ops->body(c->sink, bytes);
	return c->dying ? 0 : bytes.len;
}

/* Called with each read: ends an answer whose framing has no end, such as the
 * extension of a chunk. */
static int
on_progress(void *user, curl_off_t total, curl_off_t received, curl_off_t up,
    curl_off_t sent)
{
	struct ld_http_call *c = user;
	size_t all = c->head_received + c->received;

	if (!c->head_seen || c->paused || all != c->received_before) {
		c->received_before = all;
		c->empty_reads = 0;
		return 0;
	}
	if (++c->empty_reads < EMPTY_READS_MAX)
		return 0;
	c->failure = LD_E_TOO_LARGE;
	return 1;
}

void
http_set_answer(struct ld_http_call *c)
{
	CURL *e = c->easy;

	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(e, CURLOPT_XFERINFODATA, c);
	curl_easy_setopt(e, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
}
