/* Receives a server's response: relays it, or retries or fails the request. */
#include <string.h>
#include <strings.h>

#include "request_internal.h"

#define EVENT_STREAM_TYPE "text/event-stream"
/* Status of a server other than the addressed one. */
#define CODE_OTHER_SERVER 421

void
send_note_failed(struct send *s)
{
	if (s->server == NULL)
		return;
	ld_dispatch_failed(s->server, relay_now(s->request->relay));
	request_note_failed(s->request, s->server->entry.id);
}

void
send_note_refused(struct send *s)
{
	/* A late or wrong server, or one without room. */
	if (s->response.code == CODE_OTHER_SERVER)
		send_note_failed(s);
	else if (s->server != NULL)
		ld_dispatch_full(s->server, relay_now(s->request->relay));
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

void
send_reject(struct send *s, const char *why)
{
	send_mark_maybe_ran(s);
	send_note_failed(s);
	retry_or_fail(s->request, why);
}

static void
note_server_answered(struct request *q)
{
	if (q->send->server != NULL)
		ld_dispatch_answered(q->send->server, relay_now(q->relay));
}

void
send_on_field(
    struct ld_http_sink *sink, struct ld_str name, struct ld_str value)
{
	struct send *s = (struct send *)sink;
	struct request *q = s->request;

	response_add_field(
	    &s->response, q->relay->dialect, q->attempt_id, name, value);
}

static void
send_note_bytes(struct send *s)
{
	struct relay *r = s->request->relay;
	uint64_t now = ld_timers_now(ld_loop_timers(r->loop));

	s->last_byte_ms = now;
	if (s->server == NULL)
		return;
	s->server->last_byte_ms = now;
	isolation_note_heard(r);
}

/* The rate that the answer names; a valid one without a rate ends an earlier
 * limit. */
static void
record_rate(const struct send *s)
{
	const struct request *q = s->request;
	const struct response *rsp = &s->response;
	uint32_t rate = rsp->names_rate ? rsp->rate_milli : LD_RATE_UNLIMITED;

	if (rsp->has_attempt_id && !rsp->attempt_id_matches)
		return;
	if (!rsp->names_rate && response_verdict(rsp) != RESPONSE_VALID)
		return;
	if (ld_server_observe_rate(s->server, rate, relay_now(q->relay)))
		server_limits_log(q->relay, s->server, q->attempt_id);
}

/* Records what the head of a response states about the server itself. A 421
 * comes from a server other than the addressed one, so it is ignored here. */
static void
record_server_state(const struct send *s)
{
	const struct request *q = s->request;
	const struct response *rsp = &s->response;
	struct ld_server *v = s->server;

	if (v == NULL || rsp->code == CODE_OTHER_SERVER)
		return;
	if (rsp->leaving && !v->entry.leaving) {
		ld_servers_note_leaving(v);
		ld_event("server.leaving", "id=%s server=%s code=%ld",
		    q->attempt_id, v->entry.id, rsp->code);
		control_servers_changed(q->relay);
	}
	record_rate(s);
	if (rsp->code == 503 && rsp->retry_after_ms > 0) {
		ld_dispatch_retry_after(
		    v, relay_now(q->relay), rsp->retry_after_ms);
		ld_event("server.retry_after",
		    "id=%s server=%s retry_after_ms=%llu", q->attempt_id,
		    v->entry.id, (unsigned long long)rsp->retry_after_ms);
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
response_fault(const struct send *s, struct ld_str type)
{
	if (response_verdict(&s->response) == RESPONSE_INVALID)
		return "foreign-answer";
	if (s->response.head_bytes > RELAY_ANSWER_HEAD_MAX_BYTES)
		return "head-too-large";
	/* Any other body can't go on where the stream broke off. */
	if (s->request->response_started && s->response.code == 200 &&
	    !is_event_stream_type(type))
		return "no-event-stream";
	return NULL;
}

/* Whether it can only be a server's answer that a node passes on, see
 * RELAY_CODE_OTHER_NODE. */
static bool
node_passes_on(const struct response *rsp)
{
	return rsp->code < 500 && rsp->code != RELAY_CODE_OTHER_NODE &&
	    !rsp->not_run;
}

const char *
send_receive_head(struct send *s, long code, struct ld_str type)
{
	const struct request *q = s->request;

	s->response.code = code;
	if (s->server == NULL) {
		s->response.needs_attempt_id =
		    node_passes_on(&s->response) && q->attempt_id[0] != '\0';
	} else {
		bool new_connection = ld_http_is_new_connection(s->call);

		isolation_note_heard(q->relay);
		if (new_connection)
			isolation_note_answered(q->relay, s->sent_ms);
		/* Servers can't echo the id of a request without one. */
		s->response.needs_attempt_id =
		    !new_connection && q->attempt_id[0] != '\0';
	}
	record_server_state(s);
	return response_fault(s, type);
}

static void
on_head(struct ld_http_sink *sink, long code, struct ld_str type)
{
	struct send *s = (struct send *)sink;
	const char *fault = send_receive_head(s, code, type);

	/* The connection is closed: what follows on it can't be trusted. */
	if (fault != NULL)
		send_reject(s, fault);
}

bool
send_is_event_stream(const struct send *s)
{
	return s->request->kind == LD_KIND_STREAM && s->response.code == 200;
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
		pace_note_first_event(q->send);
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
		if (!seen) {
			relay_event(q, event, id);
			move_end(q, "not-needed");
		}
		request_note_event(q);
	}
	return st == LD_E_TOO_LARGE ? "event-too-large" : NULL;
}

bool
send_receive_bytes(struct send *s, struct ld_str bytes)
{
	bool is_stream = send_is_event_stream(s);

	send_note_bytes(s);
	if (is_stream)
		ld_sse_feed(&s->events, bytes);
	else
		ld_buf_adds(&s->response.body, bytes);
	memory_account(s);
	return is_stream;
}

void
request_receive_events(struct request *q)
{
	const char *fault = relay_events(q);

	if (fault != NULL) {
		send_reject(q->send, fault);
		return;
	}
	memory_account(q->send);
	if (ld_exchange_backlog(q->x) > LD_ENTRY_BACKLOG_BYTES)
		ld_http_pause(q->send->call);
}

static void
on_body(struct ld_http_sink *sink, struct ld_str bytes)
{
	struct send *s = (struct send *)sink;

	struct relay *r = s->request->relay;

	if (send_receive_bytes(s, bytes))
		request_receive_events(s->request);
	if (memory_exceeded(r))
		memory_relieve(r);
}

static void
handle_not_run(struct request *q)
{
	struct send *s = q->send;

	if (s->helper[0] != '\0') {
		request_forward_refused(q);
		return;
	}
	send_note_refused(s);
	request_retry_or_fail(
	    q, s->response.code == CODE_OTHER_SERVER ? "wrong-server" : "full");
}

/* Status codes below this show that the server has survived the request: a server
 * that fails may not have run it, and only a success answers a prompt. */
static long
survival_code(const struct request *q)
{
	return q->prompt.own == 0 ? 500 : 300;
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
		send_note_failed(q->send);
		retry_or_fail(q, "server-error");
		return;
	}
	if (q->send->response.code >= 500 && q->retryable &&
	    q->send->server != NULL && q->send->response.code != 504 &&
	    request_retry(q, "server-error"))
		return;
	note_server_answered(q);
	pace_note_answer(q->send);
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
		send_note_crash(q->send);
		send_note_failed(q->send);
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

const char *
send_failure_name(enum ld_status st)
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

void
send_receive_failure(struct send *s, const struct ld_http_result *result)
{
	struct request *q = s->request;

	if (s->last_byte_ms == 0 && s->response.code == 0)
		isolation_note_failed(
		    q->relay, s->server, result->sent, s->sent_ms);
	if (result->sent && result->status == LD_E_CLOSED)
		send_note_crash(s);
	else if (result->status == LD_E_TIMEOUT)
		send_note_abandoned(s, result->sent);
	send_note_failed(s);
}

static void
on_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct send *s = (struct send *)sink;
	struct request *q = s->request;

	s->call = NULL;
	s->reused = result->reused;
	if (result->status == LD_OK) {
		if (send_is_event_stream(s))
			handle_stream_end(q);
		else
			handle_complete_response(q);
		return;
	}
	if (result->sent)
		send_mark_maybe_ran(s);
	if (s->helper[0] != '\0') {
		request_forward_failed(
		    q, send_failure_name(result->status), result->sent);
		return;
	}
	send_receive_failure(s, result);
	request_retry_or_fail(q, send_failure_name(result->status));
}

const struct ld_http_sink_ops request_sink_ops = {
    .field = send_on_field,
    .head = on_head,
    .body = on_body,
    .done = on_done,
};
