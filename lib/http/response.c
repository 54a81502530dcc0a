/* Receiving the response of a call: head and body, with size limits. */
#include <string.h>

#include "http_internal.h"

/*
 * All header lines of a response, with those of interim (1xx) responses and
 * trailers: many times what servers send.
 */
#define HEAD_MAX_BYTES ((size_t)128 * 1024)
/*
 * Consecutive reads, of up to RECEIVE_BUFFER_BYTES each, that deliver no header
 * line and no body byte. More of them mean chunk framing without end.
 */
#define EMPTY_READS_MAX 200
/* Status codes of a response, RFC 9110, section 15. Below are interim ones, except
 * 101: no call asks for another protocol. */
#define CODE_INTERIM_MIN 100
#define CODE_SWITCHING_PROTOCOLS 101
#define CODE_MIN 200
#define CODE_MAX 599

static void
report_head(struct ld_http_call *c)
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

/* Passes a "Name: value" line to the sink; ignores the status line. */
static void
report_field(struct ld_http_call *c, const char *p, size_t n)
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

static bool
is_interim(long code)
{
	return code >= CODE_INTERIM_MIN && code < CODE_MIN &&
	    code != CODE_SWITCHING_PROTOCOLS;
}

/* Called for each header line; an empty line ends the head. */
static size_t
on_header(char *p, size_t size, size_t n, void *user)
{
	struct ld_http_call *c = user;
	long code = 0;

	c->last_progress_ms = ld_loop_now(c->http->loop);
	if (c->sink == NULL)
		return 0;
	c->head_bytes += size * n;
	if (c->head_bytes > HEAD_MAX_BYTES) {
		c->failure = LD_E_TOO_LARGE;
		return 0;
	}
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &code);
	if (!is_interim(code) && (code < CODE_MIN || code > CODE_MAX)) {
		c->failure = LD_E_PROTOCOL;
		return 0;
	}
	if (size * n > 2) {
		/* Lines after the head are trailers: counted, not reported. */
		if (code >= CODE_MIN && !c->head_seen &&
		    c->sink->ops->field != NULL)
			report_field(c, p, size * n);
		return c->ended ? 0 : n;
	}
	if (code >= CODE_MIN)
		report_head(c);
	return c->ended ? 0 : n;
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
	/* The cached time is exact enough and cheap: bytes come often. */
	c->last_progress_ms = ld_timers_now(ld_loop_timers(c->http->loop));
	c->body_bytes += bytes.len;
	if (c->max_body > 0 && c->body_bytes > c->max_body) {
		c->failure = LD_E_TOO_LARGE;
		return 0;
	}
	c->sink->ops->body(c->sink, bytes);
	return c->ended ? 0 : bytes.len;
}

/*
 * Called for each read: aborts a response whose framing never ends, such as an
 * endless chunk extension.
 */
static int
on_progress(void *user, curl_off_t total, curl_off_t received, curl_off_t up,
    curl_off_t sent)
{
	struct ld_http_call *c = user;
	size_t bytes = c->head_bytes + c->body_bytes;

	if (!c->head_seen || c->paused || bytes != c->bytes_at_last_read) {
		c->bytes_at_last_read = bytes;
		c->empty_reads = 0;
		return 0;
	}
	if (++c->empty_reads < EMPTY_READS_MAX)
		return 0;
	c->failure = LD_E_TOO_LARGE;
	return 1;
}

void
http_set_response_callbacks(struct ld_http_call *c)
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
