/* One completion: admission, a replica, the relay, resumes and its end. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node_internal.h"

#define PART "completion"
/* Sends of one request to engines, the first one included. */
#define ATTEMPTS_MAX 4
#define MODEL_MAX_BYTES 128
#define PREFIX_BYTES 256
#define DEFAULT_MAX_TOKENS 256
#define NO_REPLICA_RETRY_MS 1000
#define BROKEN_RETRY_MS 500

/** struct completion - one request for a completion */
struct completion {
	struct completion *next;
	struct completion **link;
	struct ld_node *node;
	struct ld_exchange *x; /* NULL once its caller is gone or answered */
	struct ld_engine_call *call;
	char *model;
	char *replica;
	char *excluded; /* replica that failed last */
	char *owner;
	enum ld_class class;
	uint64_t epoch;
	uint64_t prefix;
	uint64_t ticket;
	uint64_t route_call;
	uint64_t deadline_ms;
	uint64_t started_ms;
	uint64_t last_token_ms;
	uint64_t gaps_good; /* not yet noted */
	uint64_t gaps_bad;
	uint64_t relayed; /* tokens given to the caller */
	uint64_t max_tokens;
	unsigned int attempts;
	bool stream;
	bool begun; /* the head of a streamed answer was given */
	bool waiting; /* for the decision of admission */
	bool maybe_ran;
};

static void attempt(struct completion *c);

/* ---- Objectives ---- */

static void
note(struct completion *c, enum ld_objective o, uint64_t good, uint64_t bad,
    enum ld_cause cause)
{
	ld_burn_note(c->node->burn, node_now(c->node), ld_str_c(c->owner),
	    ld_str_c(ld_class_name(c->class)), o, good, bad, cause);
}

static void
note_gaps(struct completion *c)
{
	if (c->gaps_good + c->gaps_bad == 0)
		return;
	note(c, LD_O_TOKEN_GAP, c->gaps_good, c->gaps_bad, LD_C_SLOW);
	c->gaps_good = 0;
	c->gaps_bad = 0;
}

static void
note_first_token(struct completion *c, uint64_t now)
{
	const struct ld_goal *g = ld_burn_goal(c->node->burn, LD_O_FIRST_TOKEN);
	uint64_t ms = now - c->started_ms;
	bool good = ms <= g->threshold_ms;

	ld_metrics_observe(c->node->metrics, LD_L_FIRST_TOKEN, (double)ms);
	note(c, LD_O_FIRST_TOKEN, good, !good, LD_C_SLOW);
}

static void
note_token(struct completion *c, uint64_t now)
{
	const struct ld_goal *g = ld_burn_goal(c->node->burn, LD_O_TOKEN_GAP);
	uint64_t gap = now - c->last_token_ms;

	if (c->last_token_ms == 0) {
		note_first_token(c, now);
	} else {
		ld_metrics_observe(
		    c->node->metrics, LD_L_TOKEN_GAP, (double)gap);
		if (gap <= g->threshold_ms)
			c->gaps_good++;
		else
			c->gaps_bad++;
	}
	c->last_token_ms = now;
}

/* ---- End ---- */

static void
leave_replica(struct completion *c)
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
	if (call != NULL)
		ld_engine_cancel(call);
	leave_replica(c);
}

static void
completion_free(struct completion *c)
{
	stop_call(c);
	note_gaps(c);
	if (c->ticket != 0)
		ld_admit_done(c->node->admit, node_now(c->node), c->ticket);
	if (c->x != NULL)
		ld_exchange_set_owner(c->x, NULL);
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	free(c->model);
	free(c->replica);
	free(c->excluded);
	free(c->owner);
	free(c);
}

/* A stream that can't go on ends with the problem as its last event. */
static void
end_stream_with(struct completion *c, const struct ld_problem *p)
{
	struct ld_buf event = {0};
	struct ld_buf doc = {0};

	ld_problem_json(p, ld_exchange_id(c->x), &doc);
	ld_buf_printf(
	    &event, "event: error\ndata: %.*s\n\n", (int)(doc.len - 1), doc.p);
	ld_exchange_write(c->x, ld_buf_str(&event));
	ld_exchange_end(c->x);
	ld_buf_free(&event);
	ld_buf_free(&doc);
}

static void
fail(struct completion *c, const struct ld_problem *p, enum ld_cause cause)
{
	if (cause != LD_C_NONE && cause != LD_C_LIMIT)
		note(c, LD_O_ANSWERED, 0, 1, cause);
	if (c->begun) {
		node_count(c->node, LD_M_BROKEN_STREAMS);
		end_stream_with(c, p);
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

	node_count(c->node, LD_M_FAILED);
	fail(c, &p, cause);
}

/* ---- Relay ---- */

/* Starts the answer late, so that a refusal can still be a problem. */
static void
begin_answer(struct completion *c)
{
	if (c->begun)
		return;
	c->begun = true;
	ld_exchange_begin(c->x, 200, "text/event-stream");
}

static void
resume_elsewhere(struct completion *c, const char *why)
{
	struct ld_node *n = c->node;
	enum ld_status st;

	free(c->excluded);
	c->excluded = ld_strdup(c->replica);
	stop_call(c);
	st = ld_route_retry(n->route, node_now(n), true, c->deadline_ms);
	if (st != LD_OK || c->attempts >= ATTEMPTS_MAX) {
		ld_log(LD_LOG_WARNING, PART, "gave up on a request: %s, %s",
		    why, ld_status_name(st));
		fail_unavailable(
		    c, "no-answer", "No replica gave an answer", LD_C_BACKEND);
		return;
	}
	node_count(n, LD_M_RETRIES);
	if (c->relayed > 0)
		node_count(n, LD_M_RESUMES);
	attempt(c);
}

static void
on_token(void *owner, struct ld_str event)
{
	struct completion *c = owner;
	struct ld_node *n = c->node;
	uint64_t now = node_now(n);

	if (!ld_route_fit(n->route, now, ld_str_c(c->replica), c->epoch)) {
		resume_elsewhere(c, "its replica is not fit");
		return;
	}
	begin_answer(c);
	c->relayed++;
	node_count(n, LD_M_TOKENS);
	note_token(c, now);
	ld_exchange_write(c->x, event);
	if (ld_exchange_backlog(c->x) > LD_ENTRY_BACKLOG_BYTES)
		ld_engine_pause(c->call);
	ld_admit_tokens(n->admit, now, c->ticket, 1);
}

static void
finish_stream(struct completion *c)
{
	note(c, LD_O_ANSWERED, 1, 0, LD_C_NONE);
	begin_answer(c);
	ld_exchange_write(c->x, LD_STR("data: [DONE]\n\n"));
	ld_exchange_end(c->x);
	completion_free(c);
}

static uint64_t
tokens_of(struct ld_str body)
{
	json_t *doc = json_loadb(body.p, body.len, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(
	    json_object_get(doc, "usage"), "completion_tokens"));

	json_decref(doc);
	return n > 0 ? (uint64_t)n : 0;
}

static void
finish_whole(struct completion *c, struct ld_str type, struct ld_str body)
{
	struct ld_node *n = c->node;
	uint64_t tokens = tokens_of(body);
	char *content_type = ld_str_dup(type);

	note(c, LD_O_ANSWERED, 1, 0, LD_C_NONE);
	ld_metrics_add(n->metrics, LD_M_TOKENS, tokens);
	ld_admit_tokens(n->admit, node_now(n), c->ticket, tokens);
	ld_exchange_answer(c->x, 200, content_type, NULL, body);
	free(content_type);
	completion_free(c);
}

/* The engine answered that it takes no such request: the caller's fault. */
static void
finish_refused(struct completion *c, long code)
{
	struct ld_problem p = {
	    .code = (unsigned int)code,
	    .type = "engine-refused",
	    .title = "The model engine refused the request",
	    .ran = LD_RAN_UNKNOWN,
	};

	fail(c, &p, LD_C_NONE);
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
	if (finished && fit && r->code == 200 && c->stream)
		finish_stream(c);
	else if (finished && fit && r->code == 200)
		finish_whole(c, type, body);
	else if (finished && (r->code == 400 || r->code == 422))
		finish_refused(c, r->code);
	else
		resume_elsewhere(c, ld_status_name(r->status));
}

/* ---- Attempts ---- */

static const struct ld_engine_ops engine_ops = {
    .token = on_token, .done = on_done};

static enum ld_status
choose(struct completion *c, struct ld_route_choice *choice)
{
	struct ld_route_request rq = {
	    .model = ld_str_c(c->model),
	    .prefix = c->prefix,
	    .excluded = ld_str_c(c->excluded),
	};

	return ld_route_pick(c->node->route, node_now(c->node), &rq, choice);
}

static void
send_to(struct completion *c, const struct ld_route_choice *choice)
{
	const struct ld_settings *s = c->node->settings;
	struct ld_node *n = c->node;
	uint64_t now = node_now(n);
	char *address = ld_str_dup(choice->address);
	struct ld_engine_request rq = {
	    .address = address,
	    .path = ld_exchange_path(c->x),
	    .request_id = ld_exchange_id(c->x),
	    .epoch = choice->epoch,
	    .resume_from = c->relayed,
	    .stream = c->stream,
	    .body = ld_exchange_body(c->x),
	    .connect_timeout_ms = s->engine_connect_timeout_ms,
	    .progress_timeout_ms = s->engine_progress_timeout_ms,
	};

	free(c->replica);
	c->replica = ld_str_dup(choice->replica);
	c->epoch = choice->epoch;
	c->attempts++;
	c->route_call = ++n->last_call;
	ld_route_started(
	    n->route, now, ld_str_c(c->replica), c->epoch, c->route_call);
	rq.replica = c->replica;
	rq.total_timeout_ms = c->deadline_ms > now ? c->deadline_ms - now : 1;
	/* A whole answer makes no progress that can be seen until its end. */
	if (!c->stream)
		rq.progress_timeout_ms = 0;
	c->call = ld_engine_start(n->http, &rq, &engine_ops, c);
	free(address);
	if (c->call == NULL)
		fail_unavailable(
		    c, "no-answer", "No replica gave an answer", LD_C_BACKEND);
}

static void
attempt(struct completion *c)
{
	struct ld_route_choice choice;
	struct ld_problem unknown = {
	    .code = 404,
	    .type = "unknown-model",
	    .title = "No replica of this model is placed",
	    .ran = LD_RAN_NO,
	};

	switch (choose(c, &choice)) {
	case LD_OK:
		send_to(c, &choice);
		break;
	case LD_E_NOT_FOUND:
		fail(c, &unknown, LD_C_NONE);
		break;
	default:
		fail_unavailable(c, "no-replica", "No replica is complete now",
		    LD_C_NO_REPLICA);
		break;
	}
}

/* ---- Request ---- */

static void
bad_request(struct ld_exchange *x, const char *detail)
{
	struct ld_problem p = {
	    .code = 400,
	    .type = "bad-request",
	    .title = "The request body can't be used",
	    .detail = detail,
	    .ran = LD_RAN_NO,
	};

	ld_exchange_problem(x, &p);
}

/* Hash of the start of the prompt: requests that share it share a cache. */
static uint64_t
prefix_of(const json_t *doc)
{
	const json_t *prompt = json_object_get(doc, "prompt");
	const json_t *messages = json_object_get(doc, "messages");
	uint64_t hash;
	char *text;
	size_t len;

	text = json_dumps(
	    prompt != NULL ? prompt : messages, JSON_ENCODE_ANY | JSON_COMPACT);
	if (text == NULL)
		return 0;
	len = strnlen(text, PREFIX_BYTES);
	hash = ld_hash64((struct ld_str){text, len}, 0);
	free(text);
	return hash;
}

static const char *
check_body(const json_t *doc)
{
	const json_t *model = json_object_get(doc, "model");
	const json_t *stream = json_object_get(doc, "stream");
	const json_t *max = json_object_get(doc, "max_tokens");

	if (!json_is_object(doc))
		return "not a JSON object";
	if (!json_is_string(model) || json_string_length(model) == 0 ||
	    json_string_length(model) > MODEL_MAX_BYTES)
		return "model: a name of 1 to 128 bytes is needed";
	if (stream != NULL && !json_is_boolean(stream))
		return "stream: true or false is needed";
	if (max != NULL &&
	    (!json_is_integer(max) || json_integer_value(max) < 1))
		return "max_tokens: a whole number from 1 is needed";
	if (json_object_get(doc, "prompt") == NULL &&
	    !json_is_array(json_object_get(doc, "messages")))
		return "prompt or messages: one is needed";
	return NULL;
}

static struct completion *
completion_new(struct ld_node *n, struct ld_exchange *x,
    const struct ld_entry *e, const json_t *doc)
{
	struct completion *c = ld_alloc(sizeof(*c));
	const json_t *max = json_object_get(doc, "max_tokens");

	c->node = n;
	c->x = x;
	c->model = ld_strdup(json_string_value(json_object_get(doc, "model")));
	c->stream = json_is_true(json_object_get(doc, "stream"));
	c->max_tokens = max != NULL ? (uint64_t)json_integer_value(max)
				    : DEFAULT_MAX_TOKENS;
	c->prefix = prefix_of(doc);
	c->owner = ld_strdup(e->owner);
	c->class = e->class;
	c->started_ms = node_now(n);
	c->deadline_ms = node_now(n) + n->settings->engine_request_timeout_ms;
	c->next = n->completions;
	c->link = &n->completions;
	if (c->next != NULL)
		c->next->link = &c->next;
	n->completions = c;
	ld_exchange_set_owner(x, c);
	return c;
}

static void
decided(struct completion *c, const struct ld_admit_decision *d)
{
	struct ld_problem p;

	c->waiting = false;
	if (d->verdict == LD_ADMIT_YES) {
		c->ticket = d->ticket;
		ld_route_count_request(c->node->route, node_now(c->node));
		attempt(c);
		return;
	}
	c->ticket = 0;
	node_count(c->node, LD_M_REFUSED);
	p = refusal_problem(d->reason, d->retry_after_ms);
	fail(c, &p, refusal_cause(d->reason));
}

static void
admit(struct completion *c, struct ld_str owner)
{
	struct ld_admit_decision d;

	ld_admit_request(
	    c->node->admit, node_now(c->node), owner, c->max_tokens, &d);
	if (d.verdict == LD_ADMIT_WAIT) {
		c->ticket = d.ticket;
		c->waiting = true;
		return;
	}
	decided(c, &d);
}

/* A request that no replica can take must not use up the caller's limits. */
static bool
is_servable(struct completion *c)
{
	struct ld_route_choice ignored;
	struct ld_problem p = {.ran = LD_RAN_NO};
	enum ld_cause cause = LD_C_NONE;

	switch (choose(c, &ignored)) {
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
	fail(c, &p, cause);
	return false;
}

void
completion_start(struct ld_node *n, struct ld_exchange *x)
{
	struct ld_str body = ld_exchange_body(x);
	const struct ld_entry *e;
	const char *wrong;
	json_error_t err;
	json_t *doc;
	struct completion *c;

	e = caller_find(n, x);
	if (e == NULL)
		return;
	doc = json_loadb(body.p, body.len, JSON_REJECT_DUPLICATES, &err);
	wrong = doc == NULL ? err.text : check_body(doc);
	if (wrong != NULL) {
		bad_request(x, wrong);
		json_decref(doc);
		return;
	}
	c = completion_new(n, x, e, doc);
	json_decref(doc);
	if (is_servable(c))
		admit(c, ld_str_c(e->owner));
	completions_act(n);
}

void
completion_gone(struct completion *c)
{
	c->x = NULL;
	completion_free(c);
}

void
completion_drained(struct completion *c)
{
	if (c->call != NULL)
		ld_engine_resume(c->call);
}

/* ---- Actions of the decision modules ---- */

static struct completion *
find_ticket(struct ld_node *n, uint64_t ticket)
{
	for (struct completion *c = n->completions; c != NULL; c = c->next)
		if (c->ticket == ticket)
			return c;
	return NULL;
}

static struct completion *
find_call(struct ld_node *n, uint64_t call)
{
	for (struct completion *c = n->completions; c != NULL; c = c->next)
		if (c->route_call == call)
			return c;
	return NULL;
}

static void
cancel(struct ld_node *n, const struct ld_admit_decision *d)
{
	struct completion *c = find_ticket(n, d->ticket);
	struct ld_problem p;

	if (c == NULL)
		return;
	p = refusal_problem(d->reason, d->retry_after_ms);
	p.ran = c->call != NULL ? LD_RAN_UNKNOWN : LD_RAN_NO;
	node_count(n, LD_M_CANCELLED_STREAMS);
	fail(c, &p, refusal_cause(d->reason));
}

static void
act_admit(struct ld_node *n, const struct ld_admit_action *a)
{
	struct completion *c;

	switch (a->type) {
	case LD_ADMIT_SEND:
		fleet_send_admit(n->fleet, a->node, a->bytes);
		break;
	case LD_ADMIT_DECIDED:
		if (service_decided(n, &a->decision))
			break;
		c = find_ticket(n, a->decision.ticket);
		if (c != NULL && c->waiting)
			decided(c, &a->decision);
		break;
	case LD_ADMIT_CANCEL:
		cancel(n, &a->decision);
		break;
	}
}

void
completions_act(struct ld_node *n)
{
	struct ld_admit_action a;
	struct ld_route_action r;
	struct completion *c;

	while (ld_admit_next(n->admit, &a))
		act_admit(n, &a);
	while (ld_route_next(n->route, &r)) {
		c = find_call(n, r.call);
		if (c != NULL)
			resume_elsewhere(c, "its replica lost a member");
	}
}
