/* HTTP client: libcurl's multi interface driven by libev. */
#include <assert.h>
#include <errno.h>
#include <ev.h>
#include <stdlib.h>
#include <string.h>

#include "http_internal.h"

/* Idle connections kept for reuse, for all hosts together. */
#define IDLE_CONNECTIONS_MAX 512L

/** struct watcher - libev watcher of one libcurl socket */
struct watcher {
	ev_io io;
	struct ld_http *http;
};

static void finish_completed(struct ld_http *h);

/* ---- Driving libcurl ---- */

static void
socket_action(struct ld_http *h, curl_socket_t fd, int bits)
{
	int running;

	h->curl_depth++;
	curl_multi_socket_action(h->multi, fd, bits, &running);
	h->curl_depth--;
	finish_completed(h);
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
remove_pending(struct ld_http_call *c)
{
	struct ld_http_call **p;

	for (p = &c->http->pending_calls; *p != NULL; p = &(*p)->next_pending) {
		if (*p != c)
			continue;
		*p = c->next_pending;
		return;
	}
}

static void
free_call(struct ld_http_call *c)
{
	struct ld_http *h = c->http;

	ld_timer_stop(ld_loop_timers(h->loop), &c->progress_timer);
	if (c->pending)
		remove_pending(c);
	else
		curl_multi_remove_handle(h->multi, c->easy);
	if (h->spare_count < SPARE_HANDLES_MAX) {
		curl_easy_reset(c->easy);
		h->spare[h->spare_count++] = c->easy;
	} else {
		curl_easy_cleanup(c->easy);
	}
	curl_slist_free_all(c->headers);
	free(c->body);
	*c->pprev = c->next;
	if (c->next != NULL)
		c->next->pprev = c->pprev;
	free(c);
}

/* libcurl forbids removing handles within its callbacks: frees afterwards. */
static void
free_ended(struct ld_http *h)
{
	while (h->curl_depth == 0 && h->ended_calls != NULL) {
		struct ld_http_call *c = h->ended_calls;

		h->ended_calls = c->next_ended;
		free_call(c);
	}
}

static void finish_call(struct ld_http_call *c, enum ld_status status);

static void
add_call(struct ld_http_call *c)
{
	c->pending = false;
	if (c->ended)
		return;
	if (curl_multi_add_handle(c->http->multi, c->easy) != CURLM_OK)
		finish_call(c, LD_E_UNAVAILABLE);
}

/* libcurl refuses new handles within its callbacks: adds them afterwards. */
static void
add_pending(struct ld_http *h)
{
	while (h->curl_depth == 0 && h->pending_calls != NULL) {
		struct ld_http_call *c = h->pending_calls;

		h->pending_calls = c->next_pending;
		add_call(c);
	}
}

static void
end_call(struct ld_http_call *c)
{
	struct ld_http *h = c->http;

	c->sink = NULL;
	if (c->ended)
		return;
	c->ended = true;
	c->next_ended = h->ended_calls;
	h->ended_calls = c;
	free_ended(h);
}

static uint64_t
elapsed_ms(const struct ld_http_call *c)
{
	return ld_loop_now(c->http->loop) - c->started_ms;
}

bool
ld_http_maybe_sent(struct ld_http_call *c)
{
	return c->written;
}

bool
ld_http_is_new_connection(struct ld_http_call *c)
{
	long connects = 0;

	curl_easy_getinfo(c->easy, CURLINFO_NUM_CONNECTS, &connects);
	return connects > 0;
}

static bool
is_refused(struct ld_http_call *c)
{
	long error = 0;

	curl_easy_getinfo(c->easy, CURLINFO_OS_ERRNO, &error);
	return error == ECONNREFUSED;
}

static void
finish_call(struct ld_http_call *c, enum ld_status status)
{
	struct ld_http_sink *sink = c->sink;
	struct ld_http_result r = {.status = status};

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &r.code);
	r.sent = ld_http_maybe_sent(c);
	r.refused = status == LD_E_UNAVAILABLE && is_refused(c);
	r.reused = c->reused;
	r.ms = elapsed_ms(c);
	end_call(c);
	if (sink != NULL)
		sink->ops->done(sink, &r);
}

static enum ld_status
status_from_curl(const struct ld_http_call *c, CURLcode code)
{
	if (c->failure != LD_OK)
		return c->failure;
	switch (code) {
	case CURLE_OK:
		/* A connection that ends within a head is the end of the response
		 * to libcurl. */
		return c->head_seen ? LD_OK : LD_E_CLOSED;
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

/* Starts the call again on a new connection; nothing has been sent. */
static void
restart_call(struct ld_http_call *c)
{
	c->connection_stale = false;
	curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_remove_handle(c->http->multi, c->easy);
	add_call(c);
}

static void
finish_completed(struct ld_http *h)
{
	struct ld_http_call *c;
	CURLMsg *m;
	CURLcode code;
	int left;

	if (h->curl_depth > 0)
		return;
	while ((m = curl_multi_info_read(h->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		code = m->data.result;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		if (c->connection_stale && !c->ended)
			restart_call(c);
		else
			finish_call(c, status_from_curl(c, code));
	}
	add_pending(h);
	free_ended(h);
}

/*
 * The progress timeout does not run while a call is paused: it then waits for
 * its reader, not for the server.
 */
static void
on_progress_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct ld_http_call *c = (struct ld_http_call *)((char *)t -
	    offsetof(struct ld_http_call, progress_timer));
	uint64_t due;

	if (c->paused)
		c->last_progress_ms = now_ms;
	due = c->last_progress_ms + c->progress_timeout_ms;
	if (now_ms < due) {
		ld_timer_start(ld_loop_timers(c->http->loop), t, due);
		return;
	}
	finish_call(c, LD_E_TIMEOUT);
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
	c->last_progress_ms = c->started_ms;
	c->max_body = request->max_body;
	c->progress_timeout_ms = request->progress_timeout_ms;
	c->easy =
	    h->spare_count > 0 ? h->spare[--h->spare_count] : curl_easy_init();
	c->progress_timer.fn = on_progress_timer;
	c->next = h->calls;
	c->pprev = &h->calls;
	if (c->next != NULL)
		c->next->pprev = &c->next;
	h->calls = c;
	http_set_response_callbacks(c);
	http_set_request(c, request);
	if (c->progress_timeout_ms > 0)
		ld_timer_start(ld_loop_timers(h->loop), &c->progress_timer,
		    c->started_ms + c->progress_timeout_ms);
	if (h->curl_depth > 0) {
		c->pending = true;
		c->next_pending = h->pending_calls;
		h->pending_calls = c;
		return c;
	}
	if (curl_multi_add_handle(h->multi, c->easy) != CURLM_OK) {
		end_call(c);
		return NULL;
	}
	return c;
}

void
ld_http_cancel(struct ld_http_call *c)
{
	end_call(c);
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
	c->last_progress_ms = ld_loop_now(h->loop);
	h->curl_depth++;
	curl_easy_pause(c->easy, CURLPAUSE_CONT);
	h->curl_depth--;
	add_pending(h);
	free_ended(h);
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

uint64_t
ld_http_resends(const struct ld_http *h)
{
	return h->resends;
}

void
ld_http_free(struct ld_http *h)
{
	struct ld_http_call *next;

	if (h == NULL)
		return;
	add_pending(h);
	for (struct ld_http_call *c = h->calls; c != NULL; c = next) {
		next = c->next;
		end_call(c);
	}
	while (h->spare_count > 0)
		curl_easy_cleanup(h->spare[--h->spare_count]);
	curl_multi_cleanup(h->multi);
	ld_timer_stop(ld_loop_timers(h->loop), &h->timer);
	free(h->by_fd);
	free(h);
	curl_global_cleanup();
}
