/* Completion requests: admission, attempts, relaying, resumes and answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "completion_internal.h"

#define PART "completion"
/* Maximum attempts of one request, including the first. */
#define ATTEMPTS_MAX 4
/* Moves of one request that don't use the retry budget, see may_move(). */
#define UNBUDGETED_MOVES_MAX 2
#define NO_REPLICA_RETRY_MS 1000
#define BROKEN_RETRY_MS 500

static void start_attempt(struct completion *c);

/* ---- End ---- */

static void
finish_route_call(struct completion *c)
{
	if (c->route_call == 0)
		return;
	ld_route_finished(c->node->route, node_now(c->node), c->route_call);
	c->route_call = 0;
}

static void
stop_call(struct completion *c)
{
	struct ld_engine_call *call = c->call;

	c->call = NULL;
	if (call != NULL) {
		c->maybe_ran |= ld_engine_maybe_sent(call);
		ld_engine_cancel(call);
	}
	finish_route_call(c);
}

static void
completion_free(struct completion *c)
{
	stop_call(c);
	completion_note_gaps(c);
	if (c->ticket != 0)
		ld_admit_done(c->node->admit, node_now(c->node), c->ticket);
	if (c->x != NULL)
		ld_exchange_set_user_data(c->x, NULL);
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	free(c->model);
	free(c->replica);
	free(c->excluded);
	free(c->owner);
	free(c->address);
	free(c);
}

/* The problem is the last event of a stream that can't be continued. */
static void
end_stream_with_problem(struct completion *c, const struct ld_problem *p)
{
	struct ld_buf event = {0};
	struct ld_buf doc = {0};

	ld_problem_json(p, p->ran, ld_exchange_id(c->x), &doc);
	ld_buf_printf(
	    &event, "event: error\ndata: %.*s\n\n", (int)(doc.len - 1), doc.p);
	ld_exchange_write(c->x, ld_buf_str(&event));
	ld_exchange_end(c->x);
	ld_buf_free(&event);
	ld_buf_free(&doc);
}

void
completion_fail(
    struct completion *c, const struct ld_problem *p, enum ld_cause cause)
{
	if (cause != LD_C_NONE && cause != LD_C_LIMIT)
		completion_note(c, LD_O_ANSWERED, 0, 1, cause);
	if (c->head_sent) {
		node_metric_inc(c->node, LD_M_BROKEN_STREAMS);
		end_stream_with_problem(c, p);
	} else {
		ld_exchange_problem(c->x, p);
	}
	completion_free(c);
}

static void
fail_unavailable(struct completion *c, const char *type, const char *title,
    enum ld_cause cause)
{
	struct ld_problem p = {
	    .code = 503,
	    .type = type,
	    .title = title,
	    .ran = c->maybe_ran ? LD_RAN_UNKNOWN : LD_RAN_NO,
	    .retry_after_ms = BROKEN_RETRY_MS,
	};

	node_metric_inc(c->node, LD_M_FAILED);
	completion_fail(c, &p, cause);
}

/* ---- Relay ---- */

/*
 * Called no earlier than at the first token, so that a failure before it can be
 * answered with an HTTP error status.
 */
static void
begin_answer(struct completion *c)
{
	if (c->head_sent)
		return;
	c->head_sent = true;
	ld_exchange_begin(c->x, 200, "text/event-stream");
}

/*
 * The retry budget limits the extra load on servers that fail immediately. It
 * isn't needed if this node cancelled the call or if the attempt relayed tokens
 * before it failed: such moves are limited per request instead.
 */
static enum ld_status
may_move(struct completion *c, enum completion_move_reason reason)
{
	struct ld_node *n = c->node;
	uint64_t now = node_now(n);

	if (c->attempts >= ATTEMPTS_MAX)
		return LD_E_LIMIT;
	if (c->relayed > c->relayed_before)
		reason = MOVE_DISPLACED;
	if (reason == MOVE_DISPLACED &&
	    c->unbudgeted_moves < UNBUDGETED_MOVES_MAX) {
		c->unbudgeted_moves++;
		return now < c->deadline_ms ? LD_OK : LD_E_TIMEOUT;
	}
	return ld_route_reserve_retry(n->route, now, true, c->deadline_ms);
}

void
completion_move(
    struct completion *c, enum completion_move_reason reason, const char *cause)
{
	struct ld_node *n = c->node;
	enum ld_status st;

	free(c->excluded);
	c->excluded = ld_strdup(c->replica);
	stop_call(c);
	st = may_move(c, reason);
	if (st != LD_OK) {
		ld_log(LD_LOG_WARNING, PART, "request not retried: %s, %s",
		    cause, ld_status_name(st));
		fail_unavailable(
		    c, "no-answer", "No replica gave an answer", LD_C_BACKEND);
		return;
	}
	if (reason == MOVE_FAILED)
		node_metric_inc(n, LD_M_RETRIES);
	if (c->relayed > 0)
		node_metric_inc(n, LD_M_RESUMES);
	start_attempt(c);
}

static void
on_token(void *owner, struct ld_str event)
{
	struct completion *c = owner;
	struct ld_node *n = c->node;
	uint64_t now = node_now(n);

	if (!ld_route_fit(n->route, now, ld_str_c(c->replica), c->epoch)) {
		completion_move(c, MOVE_DISPLACED, "its replica is not fit");
		return;
	}
	begin_answer(c);
	if (c->relayed++ == c->relayed_before)
		c->first_token_ms = now;
	node_metric_inc(n, LD_M_TOKENS);
	completion_note_token(c, now);
	ld_exchange_write(c->x, event);
	if (ld_exchange_backlog(c->x) > LD_ENTRY_BACKLOG_BYTES)
		ld_engine_pause(c->call);
	ld_admit_add_tokens(n->admit, now, c->ticket, 1);
}

static void
finish_stream(struct completion *c)
{
	completion_note(c, LD_O_ANSWERED, 1, 0, LD_C_NONE);
	begin_answer(c);
	ld_exchange_write(c->x, LD_STR("data: [DONE]\n\n"));
	ld_exchange_end(c->x);
	completion_free(c);
}

static uint64_t
usage_tokens(struct ld_str body)
{
	json_t *doc = json_loadb(body.p, body.len, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(
	    json_object_get(doc, "usage"), "completion_tokens"));

	json_decref(doc);
	return n > 0 ? (uint64_t)n : 0;
}

static void
finish_unstreamed(struct completion *c, struct ld_str type, struct ld_str body)
{
	struct ld_node *n = c->node;
	uint64_t tokens = usage_tokens(body);
	char *content_type = ld_str_dup(type);

	completion_note(c, LD_O_ANSWERED, 1, 0, LD_C_NONE);
	ld_metrics_add(n->metrics, LD_M_TOKENS, tokens);
	ld_admit_add_tokens(n->admit, node_now(n), c->ticket, tokens);
	ld_exchange_answer(c->x, 200, content_type, NULL, body);
	free(content_type);
	completion_free(c);
}

/* The engine rejected the request as invalid: an error of the caller. */
static void
finish_refused(struct completion *c, long code)
{
	struct ld_problem p = {
	    .code = (unsigned int)code,
	    .type = "engine-refused",
	    .title = "The model engine refused the request",
	    .ran = LD_RAN_UNKNOWN,
	};

	completion_fail(c, &p, LD_C_NONE);
}

static uint32_t
mean_gap_ms(const struct completion *c)
{
	uint64_t n = c->relayed - c->relayed_before;

	if (n < 2)
		return 0;
	return (uint32_t)((c->last_token_ms - c->first_token_ms) / (n - 1));
}

static void
on_done(void *owner, const struct ld_http_result *r, bool finished,
    struct ld_str type, struct ld_str body)
{
	struct completion *c = owner;
	struct ld_node *n = c->node;
	bool fit =
	    ld_route_fit(n->route, node_now(n), ld_str_c(c->replica), c->epoch);

	c->call = NULL;
	c->maybe_ran |= r->sent;
	servers_call_ended(
	    n, c->address, finished ? LD_OK : r->status, mean_gap_ms(c));
	if (finished && fit && r->code == 200 && c->stream)
		finish_stream(c);
	else if (finished && fit && r->code == 200)
		finish_unstreamed(c, type, body);
	else if (finished && (r->code == 400 || r->code == 422))
		finish_refused(c, r->code);
	else
		completion_move(c, fit ? MOVE_FAILED : MOVE_DISPLACED,
		    ld_status_name(r->status));
}

/* ---- Attempts ---- */

static const struct ld_engine_ops engine_ops = {
    .token = on_token, .done = on_done};

static enum ld_status
pick_replica(struct completion *c, struct ld_route_choice *choice)
{
	struct ld_route_request rq = {
	    .model = ld_str_c(c->model),
	    .prefix = c->prefix_hash,
	    .excluded = ld_str_c(c->excluded),
	};

	return ld_route_pick(c->node->route, node_now(c->node), &rq, choice);
}

static void
send_to_replica(struct completion *c, const struct ld_route_choice *choice)
{
	const struct ld_settings *s = c->node->settings;
	struct ld_node *n = c->node;
	uint64_t now = node_now(n);
	struct ld_engine_request rq = {
	    .path = ld_exchange_path(c->x),
	    .request_id = ld_exchange_id(c->x),
	    .epoch = choice->epoch,
	    .resume_from = c->relayed,
	    .stream = c->stream,
	    .body = ld_exchange_body(c->x),
	    .connect_timeout_ms = s->engine_connect_timeout_ms,
	    .progress_timeout_ms = s->engine_progress_timeout_ms,
	};

	free(c->address);
	c->address = ld_str_dup(choice->address);
	rq.address = c->address;
	free(c->replica);
	c->replica = ld_str_dup(choice->replica);
	c->epoch = choice->epoch;
	c->attempts++;
	c->relayed_before = c->relayed;
	c->route_call = ++n->last_route_call_id;
	ld_route_started(
	    n->route, now, ld_str_c(c->replica), c->epoch, c->route_call);
	rq.replica = c->replica;
	rq.total_timeout_ms = c->deadline_ms > now ? c->deadline_ms - now : 1;
	/* Without streaming there is no visible progress before the answer. */
	if (!c->stream)
		rq.progress_timeout_ms = 0;
	c->call = ld_engine_start(n->http, &rq, &engine_ops, c);
	if (c->call == NULL)
		fail_unavailable(
		    c, "no-answer", "No replica gave an answer", LD_C_BACKEND);
}

static void
start_attempt(struct completion *c)
{
	struct ld_route_choice choice;
	struct ld_problem unknown = {
	    .code = 404,
	    .type = "unknown-model",
	    .title = "No replica of this model is placed",
	    .ran = LD_RAN_NO,
	};

	switch (pick_replica(c, &choice)) {
	case LD_OK:
		send_to_replica(c, &choice);
		break;
	case LD_E_NOT_FOUND:
		completion_fail(c, &unknown, LD_C_NONE);
		break;
	default:
		fail_unavailable(c, "no-replica", "No replica is complete now",
		    LD_C_NO_REPLICA);
		break;
	}
}

/* ---- Request ---- */

void
completion_admission_decided(
    struct completion *c, const struct ld_admit_decision *d)
{
	struct ld_problem p;

	c->admission_pending = false;
	if (d->verdict == LD_ADMIT_YES) {
		c->ticket = d->ticket;
		ld_route_count_request(c->node->route, node_now(c->node));
		start_attempt(c);
		return;
	}
	c->ticket = 0;
	node_metric_inc(c->node, LD_M_REFUSED);
	p = refusal_problem(d->reason, d->retry_after_ms);
	completion_fail(c, &p, refusal_cause(d->reason));
}

static void
request_admission(struct completion *c, struct ld_str owner)
{
	struct ld_admit_decision d;

	ld_admit_request(
	    c->node->admit, node_now(c->node), owner, c->max_tokens, &d);
	if (d.verdict == LD_ADMIT_WAIT) {
		c->ticket = d.ticket;
		c->admission_pending = true;
		return;
	}
	completion_admission_decided(c, &d);
}

/* A request that no replica can serve must not count against the limits. */
static bool
is_servable(struct completion *c)
{
	struct ld_route_choice ignored;
	struct ld_problem p = {.ran = LD_RAN_NO};
	enum ld_cause cause = LD_C_NONE;

	switch (pick_replica(c, &ignored)) {
	case LD_OK:
		return true;
	case LD_E_NOT_FOUND:
		p.code = 404;
		p.type = "unknown-model";
		p.title = "No replica of this model is placed";
		break;
	default:
		p.code = 503;
		p.type = "no-replica";
		p.title = "No replica of this model is complete now";
		p.retry_after_ms = NO_REPLICA_RETRY_MS;
		cause = LD_C_NO_REPLICA;
		break;
	}
	completion_fail(c, &p, cause);
	return false;
}

void
completion_start(struct ld_node *n, struct ld_exchange *x)
{
	const struct ld_entry *e;
	struct completion *c;
	json_t *doc;

	e = caller_authenticate(n, x);
	if (e == NULL)
		return;
	doc = completion_read(x);
	if (doc == NULL)
		return;
	c = completion_new(n, x, e, doc);
	json_decref(doc);
	if (is_servable(c))
		request_admission(c, ld_str_c(e->owner));
	completions_act(n);
}

void
completion_client_disconnected(struct completion *c)
{
	c->x = NULL;
	completion_free(c);
}

void
completion_client_drained(struct completion *c)
{
	if (c->call != NULL)
		ld_engine_resume(c->call);
}
