/* HTTP client: libcurl's multi interface driven by libev. */
#include <assert.h>
#include <curl/curl.h>
#include <ev.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "ld_http.h"

/* Unacknowledged data older than this breaks a connection. */
#define TCP_USER_TIMEOUT_MS 10000
/* Idle connections kept for reuse, over all hosts. */
#define IDLE_CONNECTIONS_MAX 512L
#define IDLE_CONNECTION_AGE_S 30L
/* Easy handles kept for reuse. */
#define SPARE_HANDLES_MAX 1024
#define RECEIVE_BUFFER_BYTES 16384L
/* Of all header lines of an answer, of its interim answers and trailers: many times
 * what servers send. */
#define HEAD_MAX_BYTES ((size_t)128 * 1024)
/* Reads in a row that brought nothing of the body: the framing of chunks has no end
 * then. Each read takes up to RECEIVE_BUFFER_BYTES. */
#define EMPTY_READS_MAX 200

struct ld_http {
	struct ld_loop *loop;
	CURLM *multi;
	struct ld_timer timer;
	struct ld_http_call *calls; /* all that are running or unreaped */
	struct ld_http_call *dead; /* cancelled inside a callback */
	struct ld_http_call *added; /* started inside a callback */
	CURL *spare[SPARE_HANDLES_MAX];
	size_t spares;
	unsigned int depth; /* > 0 while libcurl is on the stack */
};

struct ld_http_call {
	struct ld_http *http;
	struct ld_http_call *next;
	struct ld_http_call **link;
	struct ld_http_call *next_dead;
	struct ld_http_call *next_added;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	struct ld_http_sink *sink; /* NULL once cancelled */
	struct ld_timer progress;
	uint64_t started_ms;
	uint64_t progress_ms; /* when bytes last arrived */
	uint64_t progress_timeout_ms;
	size_t received;
	size_t head_received;
	size_t received_before; /* of both, at the last read */
	unsigned int empty_reads; /* since then */
	size_t max_body;
	enum ld_status failure; /* set when this side ends the call */
	bool head_seen;
	bool paused;
	bool dying;
	bool adding; /* libcurl does not have it yet */
};

/** struct watcher - libev watcher of one socket of libcurl */
struct watcher {
	ev_io io;
	struct ld_http *http;
};

static void reap_done(struct ld_http *h);

/* ---- Driving libcurl ---- */

static void
socket_action(struct ld_http *h, curl_socket_t fd, int bits)
{
	int running;

	h->depth++;
	curl_multi_socket_action(h->multi, fd, bits, &running);
	h->depth--;
	reap_done(h);
}

static void
on_io(struct ev_loop *ev, ev_io *io, int revents)
{
	struct watcher *w = (struct watcher *)io;
	int bits = 0;

	if ((revents & EV_READ) != 0)
		bits |= CURL_CSELECT_IN;
	if ((revents & EV_WRITE) != 0)
		bits |= CURL_CSELECT_OUT;
	socket_action(w->http, io->fd, bits);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *user, void *socket_user)
{
	struct ld_http *h = user;
	struct ev_loop *ev = ld_loop_ev(h->loop);
	struct watcher *w = socket_user;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (w != NULL) {
			ev_io_stop(ev, &w->io);
			curl_multi_assign(h->multi, fd, NULL);
			free(w);
		}
		return 0;
	}
	if ((what & CURL_POLL_IN) != 0)
		events |= EV_READ;
	if ((what & CURL_POLL_OUT) != 0)
		events |= EV_WRITE;
	if (w == NULL) {
		w = ld_alloc(sizeof(*w));
		w->http = h;
		ev_io_init(&w->io, on_io, fd, events);
		curl_multi_assign(h->multi, fd, w);
	} else {
		ev_io_stop(ev, &w->io);
		ev_io_set(&w->io, fd, events);
	}
	ev_io_start(ev, &w->io);
	return 0;
}

static int
on_timeout(CURLM *multi, long timeout_ms, void *user)
{
	struct ld_http *h = user;
	struct ld_timers *ts = ld_loop_timers(h->loop);

	if (timeout_ms < 0)
		ld_timer_stop(ts, &h->timer);
	else
		ld_timer_start(
		    ts, &h->timer, ld_loop_now(h->loop) + (uint64_t)timeout_ms);
	return 0;
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct ld_http *h =
	    (struct ld_http *)((char *)t - offsetof(struct ld_http, timer));

	socket_action(h, CURL_SOCKET_TIMEOUT, 0);
}

/* ---- One call ---- */

static void
forget_added(struct ld_http_call *c)
{
	struct ld_http_call **p;

	for (p = &c->http->added; *p != NULL; p = &(*p)->next_added) {
		if (*p != c)
			continue;
		*p = c->next_added;
		return;
	}
}

static void
call_free(struct ld_http_call *c)
{
	struct ld_http *h = c->http;

	ld_timer_stop(ld_loop_timers(h->loop), &c->progress);
	if (c->adding)
		forget_added(c);
	else
		curl_multi_remove_handle(h->multi, c->easy);
	if (h->spares < SPARE_HANDLES_MAX) {
		curl_easy_reset(c->easy);
		h->spare[h->spares++] = c->easy;
	} else {
		curl_easy_cleanup(c->easy);
	}
	curl_slist_free_all(c->headers);
	free(c->body);
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	free(c);
}

/* libcurl forbids removing a handle inside its callbacks: do it after. */
static void
reap_dead(struct ld_http *h)
{
	while (h->depth == 0 && h->dead != NULL) {
		struct ld_http_call *c = h->dead;

		h->dead = c->next_dead;
		call_free(c);
	}
}

static void finish(struct ld_http_call *c, enum ld_status status);

static void
add_call(struct ld_http_call *c)
{
	c->adding = false;
	if (c->dying)
		return;
	if (curl_multi_add_handle(c->http->multi, c->easy) != CURLM_OK)
		finish(c, LD_E_UNAVAILABLE);
}

/* libcurl refuses new handles inside its callbacks: add them after. */
static void
add_started(struct ld_http *h)
{
	while (h->depth == 0 && h->added != NULL) {
		struct ld_http_call *c = h->added;

		h->added = c->next_added;
		add_call(c);
	}
}

static void
call_kill(struct ld_http_call *c)
{
	struct ld_http *h = c->http;

	c->sink = NULL;
	if (c->dying)
		return;
	c->dying = true;
	c->next_dead = h->dead;
	h->dead = c;
	reap_dead(h);
}

static uint64_t
since_start(const struct ld_http_call *c)
{
	return ld_loop_now(c->http->loop) - c->started_ms;
}

bool
ld_http_maybe_sent(struct ld_http_call *c)
{
	curl_off_t connect_us = 0;

	curl_easy_getinfo(c->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
	if (connect_us > 0 || c->head_seen)
		return true;
	/* A reused connection has no connect time: ask what was written. */
	long request_bytes = 0;
	curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	return request_bytes > 0;
}

static void
finish(struct ld_http_call *c, enum ld_status status)
{
	struct ld_http_sink *sink = c->sink;
	struct ld_http_result r = {.status = status};

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &r.code);
	r.sent = ld_http_maybe_sent(c);
	r.ms = since_start(c);
	call_kill(c);
	if (sink != NULL)
		sink->ops->done(sink, &r);
}

static enum ld_status
status_of(const struct ld_http_call *c, CURLcode code)
{
	if (c->failure != LD_OK)
		return c->failure;
	switch (code) {
	case CURLE_OK:
		return LD_OK;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
		return LD_E_UNAVAILABLE;
	case CURLE_OPERATION_TIMEDOUT:
		return LD_E_TIMEOUT;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_URL_MALFORMAT:
		return LD_E_PROTOCOL;
	default:
		return LD_E_CLOSED;
	}
}

static void
reap_done(struct ld_http *h)
{
	struct ld_http_call *c;
	CURLMsg *m;
	CURLcode code;
	int left;

	if (h->depth > 0)
		return;
	while ((m = curl_multi_info_read(h->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		code = m->data.result;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		finish(c, status_of(c, code));
	}
	add_started(h);
	reap_dead(h);
}

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

/* A paused call waits for its reader, which is not the server's fault. */
static void
on_progress_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct ld_http_call *c = (struct ld_http_call *)((char *)t -
	    offsetof(struct ld_http_call, progress));
	uint64_t due;

	if (c->paused)
		c->progress_ms = now_ms;
	due = c->progress_ms + c->progress_timeout_ms;
	if (now_ms < due) {
		ld_timer_start(ld_loop_timers(c->http->loop), t, due);
		return;
	}
	finish(c, LD_E_TIMEOUT);
}

static int
on_sockopt(void *user, curl_socket_t fd, curlsocktype purpose)
{
	unsigned int ms = TCP_USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return CURL_SOCKOPT_OK;
}

static void
set_request(struct ld_http_call *c, const struct ld_http_request *rq)
{
	CURL *e = c->easy;

	curl_easy_setopt(e, CURLOPT_URL, rq->url);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, rq->method);
	if (rq->target != NULL)
		curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, rq->target);
	if (strcmp(rq->method, "HEAD") == 0)
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
	if (rq->body.p != NULL) {
		c->body = ld_str_dup(rq->body);
		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)rq->body.len);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->body);
	}
	/* An interim answer would delay the body by a round trip. */
	c->headers = curl_slist_append(c->headers, "Expect:");
	if (rq->bare) {
		c->headers = curl_slist_append(c->headers, "Accept:");
		c->headers = curl_slist_append(c->headers, "Content-Type:");
	}
	for (size_t i = 0; rq->headers != NULL && rq->headers[i] != NULL; i++)
		c->headers = curl_slist_append(c->headers, rq->headers[i]);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, c->headers);
	if (rq->connect_timeout_ms > 0)
		curl_easy_setopt(
		    e, CURLOPT_CONNECTTIMEOUT_MS, (long)rq->connect_timeout_ms);
	if (rq->total_timeout_ms > 0)
		curl_easy_setopt(
		    e, CURLOPT_TIMEOUT_MS, (long)rq->total_timeout_ms);
	if (rq->fresh) {
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
	}
}

static void
set_behaviour(struct ld_http_call *c)
{
	CURL *e = c->easy;

	curl_easy_setopt(e, CURLOPT_PRIVATE, c);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(e, CURLOPT_XFERINFODATA, c);
	curl_easy_setopt(e, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_sockopt);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_AGE_S);
}

struct ld_http_call *
ld_http_start(struct ld_http *h, const struct ld_http_request *request,
    struct ld_http_sink *sink)
{
	struct ld_http_call *c = ld_alloc(sizeof(*c));

	assert(sink->ops->body != NULL && sink->ops->done != NULL);
	c->http = h;
	c->sink = sink;
	c->started_ms = ld_loop_now(h->loop);
	c->progress_ms = c->started_ms;
	c->max_body = request->max_body;
	c->progress_timeout_ms = request->progress_timeout_ms;
	c->easy = h->spares > 0 ? h->spare[--h->spares] : curl_easy_init();
	c->progress.fn = on_progress_timer;
	c->next = h->calls;
	c->link = &h->calls;
	if (c->next != NULL)
		c->next->link = &c->next;
	h->calls = c;
	set_behaviour(c);
	set_request(c, request);
	if (c->progress_timeout_ms > 0)
		ld_timer_start(ld_loop_timers(h->loop), &c->progress,
		    c->started_ms + c->progress_timeout_ms);
	if (h->depth > 0) {
		c->adding = true;
		c->next_added = h->added;
		h->added = c;
		return c;
	}
	if (curl_multi_add_handle(h->multi, c->easy) != CURLM_OK) {
		call_kill(c);
		return NULL;
	}
	return c;
}

void
ld_http_cancel(struct ld_http_call *c)
{
	call_kill(c);
}

void
ld_http_pause(struct ld_http_call *c)
{
	c->paused = true;
}

void
ld_http_resume(struct ld_http_call *c)
{
	struct ld_http *h = c->http;

	if (!c->paused)
		return;
	c->paused = false;
	c->progress_ms = ld_loop_now(h->loop);
	h->depth++;
	curl_easy_pause(c->easy, CURLPAUSE_CONT);
	h->depth--;
	add_started(h);
	reap_dead(h);
}

/* ---- Client ---- */

struct ld_http *
ld_http_new(struct ld_loop *loop)
{
	struct ld_http *h = ld_alloc(sizeof(*h));

	curl_global_init(CURL_GLOBAL_ALL);
	h->loop = loop;
	h->multi = curl_multi_init();
	h->timer.fn = on_timer;
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
	return h;
}

void
ld_http_free(struct ld_http *h)
{
	struct ld_http_call *next;

	if (h == NULL)
		return;
	add_started(h);
	for (struct ld_http_call *c = h->calls; c != NULL; c = next) {
		next = c->next;
		call_kill(c);
	}
	while (h->spares > 0)
		curl_easy_cleanup(h->spare[--h->spares]);
	curl_multi_cleanup(h->multi);
	ld_timer_stop(ld_loop_timers(h->loop), &h->timer);
	free(h);
	curl_global_cleanup();
}
