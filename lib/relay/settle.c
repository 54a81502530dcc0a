/* The answer of a server as it comes: relayed, passed on, or given up. */
#include "request_internal.h"

static struct request *
request_of(struct ld_http_sink *s)
{
	return (struct request *)s;
}

static void
on_field(struct ld_http_sink *s, struct ld_str name, struct ld_str value)
{
	struct request *q = request_of(s);

	answer_field(&q->answer, q->relay->dialect, q->attempt_id, name, value);
}

static void
note_heard(struct request *q)
{
	uint64_t now = ld_timers_now(ld_loop_timers(q->relay->loop));

	q->heard_ms = now;
	if (q->server != NULL)
		q->server->heard_ms = now;
}

/* What the head of an answer says of its server, beside the answer itself. One
 * that is answered by another server (421) says nothing of the one meant. */
static void
note_server_state(struct request *q)
{
	const struct answer *a = &q->answer;
	struct ld_server *s = q->server;

	if (s == NULL || a->code == 421)
		return;
	if (a->leaving && !s->entry.leaving) {
		ld_servers_note_leaving(s);
		ld_event("server.leaving", "id=%s server=%s code=%ld",
		    q->attempt_id, s->entry.id, a->code);
		control_servers_changed(q->relay);
	}
	if (a->code == 503 && a->retry_after_ms > 0) {
		ld_dispatch_retry_after(
		    s, relay_now(q->relay), a->retry_after_ms);
		ld_event("server.retry_after",
		    "id=%s server=%s retry_after_ms=%llu", q->attempt_id,
		    s->entry.id, (unsigned long long)a->retry_after_ms);
	}
}

static void
on_head(struct ld_http_sink *s, long code, struct ld_str type)
{
	struct request *q = request_of(s);

	q->answer.code = code;
	note_server_state(q);
	if (q->kind == LD_KIND_STREAM && code == 200 &&
	    answer_verdict(&q->answer) == ANSWER_FOREIGN) {
		request_note_maybe_ran(q);
		ld_dispatch_failed(q->server, relay_now(q->relay));
		request_try_again(q, "foreign-answer");
	}
}

static bool
is_event_stream(const struct request *q)
{
	return q->kind == LD_KIND_STREAM && q->answer.code == 200;
}

static void
pass_event(struct request *q, struct ld_str event, uint64_t id)
{
	uint64_t now = relay_now(q->relay);

	if (!q->begun) {
		q->begun = true;
		q->first_event_ms = now;
		ld_metrics_observe(q->relay->metrics, LD_L_RELAY_FIRST,
		    (double)(now - q->start_ms));
		if (q->model[0] != '\0' && q->sends == 1)
			ld_dispatch_learn(&q->relay->bias, ld_str_c(q->model),
			    q->engine_ms, now - q->sent_ms);
		ld_exchange_begin_with(q->x, 200, answer_headers(&q->answer));
	} else if (now - q->last_event_ms > q->worst_gap_ms) {
		q->worst_gap_ms = now - q->last_event_ms;
	}
	q->last_event_ms = now;
	if (id != UINT64_MAX)
		q->last_id = id;
	ld_exchange_write(q->x, event);
}

/* Events that were passed on already are skipped; one that is missing ends
 * the send. */
static bool
pass_events(struct request *q)
{
	struct ld_str event;
	uint64_t id;

	while (events_next(&q->events, &event, &id)) {
		bool seen = q->last_id != UINT64_MAX && id != UINT64_MAX &&
		    id <= q->last_id;

		if (q->begun && !seen && id != UINT64_MAX &&
		    q->last_id != UINT64_MAX && id != q->last_id + 1)
			return false;
		if (!seen)
			pass_event(q, event, id);
		events_drop(&q->events, event);
	}
	return true;
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	struct request *q = request_of(s);

	note_heard(q);
	if (!is_event_stream(q)) {
		ld_buf_adds(&q->answer.body, bytes);
		return;
	}
	events_add(&q->events, bytes);
	if (!pass_events(q)) {
		request_note_maybe_ran(q);
		request_try_again(q, "event-missing");
		return;
	}
	if (ld_exchange_backlog(q->x) > LD_ENTRY_BACKLOG_BYTES)
		ld_http_pause(q->call);
}

static void
settle_whole(struct request *q)
{
	struct ld_server *s = q->server;
	uint64_t now = relay_now(q->relay);

	switch (answer_verdict(&q->answer)) {
	case ANSWER_NOT_RUN:
		/* A late or wrong server, or one without room. */
		if (q->answer.code == 421)
			ld_dispatch_failed(s, now);
		else
			ld_dispatch_full(s, now);
		request_try_again(
		    q, q->answer.code == 421 ? "wrong-server" : "full");
		return;
	case ANSWER_FOREIGN:
		ld_dispatch_failed(s, now);
		request_note_ran(q);
		request_try_again(q, "foreign-answer");
		return;
	case ANSWER_SOUND:
		break;
	}
	request_note_ran(q);
	/* A stream that has begun can't end in another answer. */
	if (q->begun) {
		ld_dispatch_failed(s, now);
		request_try_again(q, "server-error");
		return;
	}
	if (q->answer.code >= 500 && q->repeatable && q->answer.code != 504 &&
	    request_repeat(q, "server-error"))
		return;
	ld_dispatch_answered(s, now);
	request_pass_on(q);
}

static void
settle_stream(struct request *q)
{
	request_note_ran(q);
	if (events_left(&q->events) > 0) {
		request_try_again(q, "event-cut");
		return;
	}
	ld_dispatch_answered(q->server, relay_now(q->relay));
	if (q->begun)
		request_end_stream(q);
	else
		request_pass_on(q);
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

	q->call = NULL;
	if (result->status == LD_OK) {
		if (is_event_stream(q))
			settle_stream(q);
		else
			settle_whole(q);
		return;
	}
	if (result->sent)
		request_note_maybe_ran(q);
	ld_dispatch_failed(q->server, relay_now(q->relay));
	request_try_again(q, failure_name(result->status));
}

const struct ld_http_sink_ops request_sink_ops = {
    .field = on_field,
    .head = on_head,
    .body = on_body,
    .done = on_done,
};
