/* Completion calls to model engines. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_backend.h"

#define HEADER_BYTES 192
#define URL_BYTES 256
#define HEADERS_MAX 8
/* Largest response that is not a stream, bytes. */
#define ANSWER_MAX_BYTES 8388608
#define CANCEL_TIMEOUT_MS 2000
/* Status of a response that streams events. */
#define STREAM_CODE 200

struct ld_engine_call {
	struct ld_http_sink sink;
	struct ld_http *http;
	struct ld_http_call *call;
	const struct ld_engine_ops *ops;
	void *owner;
	char *address;
	char *request_id;
	char *content_type;
	struct ld_sse sse;
	struct ld_buf body;
	bool is_stream; /* the response is a stream of events */
	bool finished;
	bool cancelled;
	unsigned int callback_depth; /* > 0 during a callback: defers freeing */
};

static void
engine_free(struct ld_engine_call *c)
{
	free(c->address);
	free(c->request_id);
	free(c->content_type);
	ld_sse_free(&c->sse);
	ld_buf_free(&c->body);
	free(c);
}

/* ---- Cancellation: the response is ignored ---- */

static void
cancel_body(struct ld_http_sink *s, struct ld_str bytes)
{
}

static void
cancel_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	free(s);
}

static void
send_cancel(struct ld_engine_call *c)
{
	static const struct ld_http_sink_ops ops = {
	    .body = cancel_body, .done = cancel_done};
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	struct ld_http_sink *sink = ld_alloc(sizeof(*sink));
	char url[URL_BYTES], body[HEADER_BYTES];
	struct ld_http_request rq = {.method = "POST", .url = url};

	sink->ops = &ops;
	snprintf(url, sizeof(url), "http://%s/cancel", c->address);
	snprintf(body, sizeof(body), "{\"request_id\":\"%s\"}", c->request_id);
	rq.headers = headers;
	rq.body = ld_str_c(body);
	rq.total_timeout_ms = CANCEL_TIMEOUT_MS;
	if (ld_http_start(c->http, &rq, sink) == NULL)
		free(sink);
}

/* ---- Response ---- */

static struct ld_engine_call *
call_of(struct ld_http_sink *s)
{
	return (struct ld_engine_call *)s;
}

static void
on_head(struct ld_http_sink *s, long code, struct ld_str content_type)
{
	struct ld_engine_call *c = call_of(s);

	c->content_type = ld_str_dup(content_type);
	c->is_stream = code == STREAM_CODE &&
	    ld_str_starts(content_type, LD_STR("text/event-stream"));
	if (!c->is_stream || c->ops->begin == NULL)
		return;
	c->callback_depth++;
	c->ops->begin(c->owner);
	c->callback_depth--;
	if (c->cancelled)
		engine_free(c);
}

static enum ld_status
deliver_events(struct ld_engine_call *c)
{
	struct ld_str event, data;
	enum ld_status st = LD_E_AGAIN;

	while (!c->cancelled && !c->finished &&
	    (st = ld_sse_next(&c->sse, &event)) == LD_OK) {
		if (!ld_sse_data(event, &data) || data.len == 0)
			continue; /* a comment or keep-alive */
		if (ld_str_eq(data, LD_STR("[DONE]")))
			c->finished = true;
		else
			c->ops->token(c->owner, event);
	}
	return st == LD_E_AGAIN ? LD_OK : st;
}

static void
end_call(struct ld_engine_call *c, const struct ld_http_result *result)
{
	c->call = NULL;
	c->callback_depth++;
	c->ops->done(c->owner, result, c->finished, ld_str_c(c->content_type),
	    ld_buf_str(&c->body));
	engine_free(c);
}

/* Ends a call whose stream is over or can't be used, while bytes still arrive. */
static void
close_stream(struct ld_engine_call *c, enum ld_status st)
{
	struct ld_http_result result = {
	    .status = st, .code = STREAM_CODE, .sent = true};

	ld_http_cancel(c->call);
	end_call(c, &result);
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	struct ld_engine_call *c = call_of(s);
	enum ld_status st;

	if (!c->is_stream) {
		ld_buf_adds(&c->body, bytes);
		return;
	}
	if (c->finished) {
		close_stream(c, LD_OK);
		return;
	}
	ld_sse_feed(&c->sse, bytes);
	c->callback_depth++;
	st = deliver_events(c);
	c->callback_depth--;
	if (c->cancelled)
		engine_free(c);
	else if (st != LD_OK)
		close_stream(c, st);
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	struct ld_engine_call *c = call_of(s);

	if (!c->is_stream)
		c->finished = r->status == LD_OK;
	end_call(c, r);
}

/* ---- Request ---- */

struct ld_engine_call *
ld_engine_start(struct ld_http *http, const struct ld_engine_request *rq,
    const struct ld_engine_ops *ops, void *owner)
{
	static const struct ld_http_sink_ops sink_ops = {
	    .head = on_head, .body = on_body, .done = on_done};
	char url[URL_BYTES], id[HEADER_BYTES], replica[HEADER_BYTES];
	char epoch[HEADER_BYTES], resume[HEADER_BYTES];
	const char *headers[HEADERS_MAX] = {
	    "Content-Type: application/json", id, replica, epoch};
	struct ld_engine_call *c = ld_alloc(sizeof(*c));
	struct ld_http_request hr = {.method = "POST", .url = url};

	snprintf(url, sizeof(url), "http://%s%s", rq->address, rq->path);
	snprintf(id, sizeof(id), "X-Request-Id: %s", rq->request_id);
	snprintf(replica, sizeof(replica), "X-Replica: %s", rq->replica);
	snprintf(epoch, sizeof(epoch), "X-Epoch: %llu",
	    (unsigned long long)rq->epoch);
	snprintf(resume, sizeof(resume), "X-Resume-From: %llu",
	    (unsigned long long)rq->resume_from);
	if (rq->resume_from > 0)
		headers[4] = resume;
	hr.headers = headers;
	hr.body = rq->body;
	hr.connect_timeout_ms = rq->connect_timeout_ms;
	hr.progress_timeout_ms = rq->progress_timeout_ms;
	hr.total_timeout_ms = rq->total_timeout_ms;
	hr.max_body = rq->stream ? 0 : ANSWER_MAX_BYTES;
	c->sink.ops = &sink_ops;
	c->sse.max_event_bytes = LD_ENGINE_EVENT_MAX_BYTES;
	c->http = http;
	c->ops = ops;
	c->owner = owner;
	c->address = ld_strdup(rq->address);
	c->request_id = ld_strdup(rq->request_id);
	c->call = ld_http_start(http, &hr, &c->sink);
	if (c->call == NULL) {
		engine_free(c);
		return NULL;
	}
	return c;
}

void
ld_engine_cancel(struct ld_engine_call *c)
{
	bool maybe_sent;

	if (c->cancelled || c->call == NULL)
		return;
	c->cancelled = true;
	maybe_sent = ld_http_maybe_sent(c->call);
	ld_http_cancel(c->call);
	c->call = NULL;
	if (maybe_sent && !c->finished)
		send_cancel(c);
	if (c->callback_depth == 0)
		engine_free(c);
}

bool
ld_engine_maybe_sent(struct ld_engine_call *c)
{
	return c->call == NULL || ld_http_maybe_sent(c->call);
}

void
ld_engine_pause(struct ld_engine_call *c)
{
	if (c->call != NULL)
		ld_http_pause(c->call);
}

void
ld_engine_resume(struct ld_engine_call *c)
{
	if (c->call != NULL)
		ld_http_resume(c->call);
}
