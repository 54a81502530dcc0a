/* Receives a server's response: relays it, or retries or fails the request. */
#include <string.h>
#include <strings.h>

#include "request_internal.h"

#define EVENT_STREAM_TYPE "text/event-stream"

static struct request *
request_of(struct ld_http_sink *s)
{
	return ((struct send *)s)->request;
}

static void
note_server_failed(struct request *q)
{
	if (q->send->server == NULL)
		return;
	ld_dispatch_failed(q->send->server, relay_now(q->relay));
	request_note_failed(q, q->send->server->entry.id);
}

static void
note_server_answered(struct request *q)
{
	if (q->send->server != NULL)
		ld_dispatch_answered(q->send->server, relay_now(q->relay));
}

/* The send was answered, but not in a way that can be relayed. */
static void
retry_or_fail(struct request *q, const char *why)
{
	if (q->send->helper[0] != '\0')
		request_forward_failed(q, why, true);
	else
		request_retry_or_fail(q, why);
}

static void
on_field(struct ld_http_sink *s, struct ld_str name, struct ld_str value)
{
	struct request *q = request_of(s);

	response_add_field(
	    &q->send->response, q->relay->dialect, q->attempt_id, name, value);
}

static void
record_bytes_received(struct request *q)
{
	uint64_t now = ld_timers_now(ld_loop_timers(q->relay->loop));

	q->send->last_byte_ms = now;
	if (q->send->server == NULL)
		return;
	q->send->server->last_byte_ms = now;
	isolation_note_heard(q->relay);
}

/* The rate that the answer names; a valid one without a rate ends an earlier
 * limit. */
static void
record_rate(struct request *q)
{
	const struct response *rsp = &q->send->response;
	struct ld_server *s = q->send->server;
	uint64_t now = relay_now(q->relay);
	uint32_t rate = rsp->names_rate ? rsp->rate_milli : LD_RATE_UNLIMITED;

	if (rsp->has_attempt_id && !rsp->attempt_id_matches)
		return;
	if (!rsp->names_rate && response_verdict(rsp) != RESPONSE_VALID)
		return;
	if (ld_server_observe_rate(s, rate, now))
		server_limits_log(q->relay, s, q->attempt_id);
}

/* Records what the head of a response states about the server itself. A 421
 * comes from a server other than the addressed one, so it is ignored here. */
static void
record_server_state(struct request *q)
{
	const struct response *rsp = &q->send->response;
	struct ld_server *s = q->send->server;

	if (s == NULL || rsp->code == 421)
		return;
	if (rsp->leaving && !s->entry.leaving) {
		ld_servers_note_leaving(s);
		ld_event("server.leaving", "id=%s server=%s code=%ld",
		    q->attempt_id, s->entry.id, rsp->code);
		control_servers_changed(q->relay);
	}
	record_rate(q);
	if (rsp->code == 503 && rsp->retry_after_ms > 0) {
		ld_dispatch_retry_after(
		    s, relay_now(q->relay), rsp->retry_after_ms);
		ld_event("server.retry_after",
		    "id=%s server=%s retry_after_ms=%llu", q->attempt_id,
		    s->entry.id, (unsigned long long)rsp->retry_after_ms);
	}
}

static bool
is_event_stream_type(struct ld_str type)
{
	size_t n = strlen(EVENT_STREAM_TYPE);

	return type.len >= n &&
	    strncasecmp(type.p, EVENT_STREAM_TYPE, n) == 0 &&
	    (type.len == n || strchr("; \t", type.p[n]) != NULL);
}

/* Why the response can't be used, NULL if it can. */
static const char *
response_fault(const struct request *q, struct ld_str type)
{
	if (response_verdict(&q->send->response) == RESPONSE_INVALID)
		return "foreign-answer";
	/* Any other body can't go on where the stream broke off. */
	if (q->response_started && q->send->response.code == 200 &&
	    !is_event_stream_type(type))
		return "no-event-stream";
	return NULL;
}

static void
on_head(struct ld_http_sink *s, long code, struct ld_str type)
{
	struct request *q = request_of(s);
	const char *fault;

	q->send->response.code = code;
	if (q->send->server != NULL) {
		bool new_connection = ld_http_is_new_connection(q->send->call);

		isolation_note_heard(q->relay);
		if (new_connection)
			isolation_note_answered(q->relay, q->send->sent_ms);
		/* Servers can't echo the id of a request without one. */
		q->send->response.needs_attempt_id =
		    !new_connection && q->attempt_id[0] != '\0';
	}
	record_server_state(q);
	/* The connection is closed: what follows on it can't be trusted. */
	fault = response_fault(q, type);
	if (fault != NULL) {
		request_mark_maybe_ran(q);
		note_server_failed(q);
		retry_or_fail(q, fault);
	}
}

static bool
is_event_stream(const struct request *q)
{
	return q->kind == LD_KIND_STREAM && q->send->response.code == 200;
}

static void
relay_event(struct request *q, struct ld_str event, uint64_t id)
{
	uint64_t now = relay_now(q->relay);
	struct ld_str data;

	if (!q->response_started) {
		q->response_started = true;
		q->first_event_ms = now;
		ld_metrics_observe(q->relay->metrics, LD_L_RELAY_FIRST,
		    (double)(now - q->start_ms));
		if (q->model[0] != '\0' && q->sends == 1 &&
		    q->send->server != NULL)
			ld_dispatch_add_sample(&q->relay->prediction_bias,
			    ld_str_c(q->model),
			    q->send->predicted_uncorrected_ms,
			    now - q->send->sent_ms);
		ld_exchange_begin_with(
		    q->x, 200, response_headers(&q->send->response));
	} else if (now - q->last_event_ms > q->max_gap_ms) {
		q->max_gap_ms = now - q->last_event_ms;
	}
	q->last_event_ms = now;
	if (id != UINT64_MAX) {
		q->last_event_id = id;
		q->data_without_id = false;
	} else if (ld_sse_data(event, &data)) {
		q->data_without_id = true;
	}
	ld_exchange_write(q->x, event);
}

/* Skips events that were relayed already. Returns NULL, or why the rest of the
 * stream can't be relayed. */
static const char *
relay_events(struct request *q)
{
	struct ld_str event;
	enum ld_status st;

	while ((st = ld_sse_next(&q->send->events, &event)) == LD_OK) {
		uint64_t id = ld_sse_id(event);
		bool seen = q->last_event_id != UINT64_MAX &&
		    id != UINT64_MAX && id <= q->last_event_id;

		if (q->response_started && !seen && id != UINT64_MAX &&
		    q->last_event_id != UINT64_MAX &&
		    id != q->last_event_id + 1)
			return "event-missing";
		if (!seen)
			relay_event(q, event, id);
		request_note_event(q);
	}
	return st == LD_E_TOO_LARGE ? "event-too-large" : NULL;
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	struct request *q = request_of(s);
	const char *fault;

	record_bytes_received(q);
	if (!is_event_stream(q)) {
		ld_buf_adds(&q->send->response.body, bytes);
		return;
	}
	ld_sse_feed(&q->send->events, bytes);
	fault = relay_events(q);
	if (fault != NULL) {
		request_mark_maybe_ran(q);
		note_server_failed(q);
		retry_or_fail(q, fault);
		return;
	}
	if (ld_exchange_backlog(q->x) > LD_ENTRY_BACKLOG_BYTES)
		ld_http_pause(q->send->call);
}

static void
handle_not_run(struct request *q)
{
	if (q->send->helper[0] != '\0') {
		request_forward_refused(q);
		return;
	}
	/* A late or wrong server, or one without room. */
	if (q->send->response.code == 421)
		note_server_failed(q);
	else
		ld_dispatch_full(q->send->server, relay_now(q->relay));
	request_retry_or_fail(
	    q, q->send->response.code == 421 ? "wrong-server" : "full");
}

/* Status codes below this show that the server has survived the request: a server
 * that fails may not have run it, and only a success answers a prompt. */
static long
survival_code(const struct request *q)
{
	return q->prompt.is_request ? 500 : 300;
}

static void
handle_complete_response(struct request *q)
{
	/* on_head() ends the send of an invalid response. */
	if (response_verdict(&q->send->response) == RESPONSE_NOT_RUN) {
		handle_not_run(q);
		return;
	}
	request_mark_ran(q);
	/* The client has the head of a stream, so that another response
	 * can't be relayed. */
	if (q->response_started) {
		note_server_failed(q);
		retry_or_fail(q, "server-error");
		return;
	}
	if (q->send->response.code >= 500 && q->retryable &&
	    q->send->server != NULL && q->send->response.code != 504 &&
	    request_retry(q, "server-error"))
		return;
	note_server_answered(q);
	if (q->send->response.code < survival_code(q))
		request_note_answer(q);
	request_relay_response(q);
}

/* Without a length or chunks the end of the connection ends the stream, also
 * when the server's process ends. */
static bool
stream_is_cut(const struct request *q)
{
	return ld_sse_pending_bytes(&q->send->events) > 0 ||
	    (!q->send->response.has_framing && q->send->first_event_ms == 0);
}

static void
handle_stream_end(struct request *q)
{
	request_mark_ran(q);
	if (stream_is_cut(q)) {
		request_note_crash(q);
		note_server_failed(q);
		retry_or_fail(q, "event-cut");
		return;
	}
	request_note_answer(q);
	note_server_answered(q);
	if (q->response_started)
		request_end_stream(q);
	else
		request_relay_response(q);
}

static const char *
failure_name(enum ld_status st)
{
	switch (st) {
	case LD_E_UNAVAILABLE:
		return "no-connection";
	case LD_E_TIMEOUT:
		return "timeout";
	case LD_E_PROTOCOL:
		return "no-http";
	default:
		return "broken-off";
	}
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *result)
{
	struct request *q = request_of(s);

	q->send->call = NULL;
	q->send->reused = result->reused;
	if (result->status == LD_OK) {
		if (is_event_stream(q))
			handle_stream_end(q);
		else
			handle_complete_response(q);
		return;
	}
	if (result->sent)
		request_mark_maybe_ran(q);
	if (q->send->helper[0] != '\0') {
		request_forward_failed(
		    q, failure_name(result->status), result->sent);
		return;
	}
	if (q->send->last_byte_ms == 0 && q->send->response.code == 0)
		isolation_note_failed(
		    q->relay, q->send->server, result->sent, q->send->sent_ms);
	if (result->sent && result->status == LD_E_CLOSED)
		request_note_crash(q);
	note_server_failed(q);
	request_retry_or_fail(q, failure_name(result->status));
}

const struct ld_http_sink_ops request_sink_ops = {
    .field = on_field,
    .head = on_head,
    .body = on_body,
    .done = on_done,
};
