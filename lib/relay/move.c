/*
 * Moves a request away from a silent server. Silence is no reason to end an answer:
 * a second send begins beside the first, which ends only when the second has
 * delivered. If the first goes on before, the second is ended.
 */
#include "request_internal.h"

/* A request may move after this time without a byte, ms. */
#define SILENT_MS 500
/* Interval of the attempts to move one request, ms. */
#define INTERVAL_MS 100
/* The same after a server has refused it: by then those that were full have
 * completed several engine passes. */
#define REFUSED_INTERVAL_MS 400

static void
log_end(const struct send *s, const char *result, const char *why)
{
	const struct request *q = s->request;
	char id[LD_EVENT_TOKEN_BYTES];

	counts_send_ended(s, why);
	ld_event("move.end",
	    "id=%s server=%s node=%s result=%s why=%s code=%ld ms=%llu",
	    ld_event_token(ld_str_c(q->attempt_id), id), send_server_id(s),
	    send_helper(s), result, why, s->response.code,
	    (unsigned long long)(relay_now(q->relay) - s->sent_ms));
}

static void
drop(struct request *q, const char *why)
{
	log_end(q->move, "dropped", why);
	send_free(q->move);
	q->move = NULL;
}

/* The second send becomes the only one. */
static void
replace_first(struct request *q, const char *why)
{
	request_record_failed_send(q, why, "move");
	log_end(q->move, "kept", why);
	if (q->response_started)
		relay_count(q->relay, LD_M_RELAY_RESUMED);
	send_free(q->send);
	q->send = q->move;
	q->send->sink.ops = &request_sink_ops;
	q->move = NULL;
}

void
move_end(struct request *q, const char *why)
{
	if (q->move == NULL)
		return;
	if (send_may_have_run(q->move))
		send_mark_maybe_ran(q->move);
	drop(q, why);
}

bool
move_take_over(struct request *q, const char *why)
{
	if (q->move == NULL)
		return false;
	replace_first(q, why);
	return true;
}

/* ---- The response to the second send ---- */

/* It has begun to answer: the first send is ended. */
static void
keep(struct request *q)
{
	if (send_may_have_run(q->send))
		send_mark_maybe_ran(q->send);
	replace_first(q,
	    isolation_is_active(q->relay) ? "node-isolated" : "group-silent");
}

static void
on_head(struct ld_http_sink *sink, long code, struct ld_str type)
{
	struct send *s = (struct send *)sink;
	const char *fault = send_receive_head(s, code, type);

	if (fault == NULL)
		return;
	send_mark_maybe_ran(s);
	send_note_failed(s);
	drop(s->request, fault);
}

static void
on_body(struct ld_http_sink *sink, struct ld_str bytes)
{
	struct send *s = (struct send *)sink;
	struct request *q = s->request;

	struct relay *r = q->relay;

	if (!send_receive_bytes(s, bytes)) {
		if (memory_exceeded(r))
			memory_relieve(r);
		return;
	}
	if (ld_sse_has_event(&s->events)) {
		keep(q);
		request_receive_events(q);
	} else if (ld_sse_pending_bytes(&s->events) >
	    s->events.max_event_bytes) {
		send_mark_maybe_ran(s);
		send_note_failed(s);
		drop(q, "event-too-large");
	}
}

/* The first send goes on; another move may be tried. */
static void
on_refused(struct send *s)
{
	struct request *q = s->request;

	if (s->helper[0] != '\0')
		send_exclude_node(s);
	else
		send_note_refused(s);
	q->next_move_ms = relay_now(q->relay) + REFUSED_INTERVAL_MS;
	drop(q, "refused");
}

static void
on_failed(struct send *s, const struct ld_http_result *result)
{
	struct request *q = s->request;

	if (result->sent)
		send_mark_maybe_ran(s);
	if (s->helper[0] != '\0') {
		send_exclude_node(s);
		q->helper_in_doubt |= result->sent;
	} else {
		send_receive_failure(s, result);
	}
	drop(q, send_failure_name(result->status));
}

static void
on_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct send *s = (struct send *)sink;
	struct request *q = s->request;

	s->call = NULL;
	s->reused = result->reused;
	if (result->status != LD_OK) {
		on_failed(s, result);
	} else if (response_verdict(&s->response) == RESPONSE_NOT_RUN) {
		on_refused(s);
	} else if (send_is_event_stream(s) || q->response_started ||
	    s->response.code >= 500) {
		/* An answer, but not one to go on with. */
		send_mark_maybe_ran(s);
		send_note_failed(s);
		drop(q, "server-error");
	} else {
		keep(q);
		request_sink_ops.done(sink, result);
	}
}

/* ---- Start ---- */

static void
start(struct request *q, const struct next_hop *to)
{
	static const struct ld_http_sink_ops ops = {
	    .field = send_on_field,
	    .head = on_head,
	    .body = on_body,
	    .done = on_done,
	};
	char id[LD_EVENT_TOKEN_BYTES];
	bool ok;

	q->move = send_new(q, &ops);
	ok = to->is_node ? send_to_node(q->move, &to->node)
			 : send_to_server(q->move, &to->choice);
	relay_count(q->relay, LD_M_RELAY_REPEATS);
	ld_event("move.begin",
	    "id=%s from=%s server=%s node=%s last_event=%lld silent_ms=%llu",
	    ld_event_token(ld_str_c(q->attempt_id), id),
	    send_server_id(q->send), send_server_id(q->move),
	    to->is_node ? to->node.name : "-", (long long)q->last_event_id,
	    (unsigned long long)(relay_now(q->relay) -
		(q->send->last_byte_ms > 0 ? q->send->last_byte_ms
					   : q->send->sent_ms)));
	if (!ok)
		drop(q, "bad-address");
}

/* Without a retry, or without another server that takes it now, the request
 * stays where it is. */
void
move_consider(struct request *q, uint64_t now)
{
	const struct send *s = q->send;
	uint64_t since = s->last_byte_ms > 0 ? s->last_byte_ms : s->sent_ms;
	uint64_t retry_after_ms;
	struct next_hop to;

	if (q->move != NULL || s->server == NULL || s->call == NULL ||
	    !(s->server->silent || isolation_is_active(q->relay)) ||
	    !request_may_run_again(q) || now < since + SILENT_MS ||
	    now < q->next_move_ms || q->possible_runs + 1 >= q->max_runs)
		return;
	q->next_move_ms = now + INTERVAL_MS;
	if (!request_may_send_again(q) || !request_find_next(q, &to) ||
	    !request_take_move(q))
		return;
	send_note_crash(q->send);
	/* That may have put its prompt in quarantine: no other server gets it. */
	if (!request_is_quarantined(q, &retry_after_ms))
		start(q, &to);
}
