/* Life cycle of a request: start, sends to servers, deadline, disconnection. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "request_internal.h"

/* Upper bound of the time until a request's deadline, and the default if the
 * client sends none. */
#define TIMEOUT_MAX_MS 600000
/* Interval of the attempts to resume a stream. */
#define RESUME_INTERVAL_MS 40

void
request_cancel_send(struct request *q)
{
	send_cancel(q->send);
}

uint64_t
request_end_ms(const struct request *q)
{
	const struct relay *r = q->relay;

	return r->stopping && r->stop_ends_ms < q->deadline_ms ? r->stop_ends_ms
							       : q->deadline_ms;
}

void
request_free(struct request *q)
{
	move_end(q, "request-ended");
	send_free(q->send);
	ld_timer_stop(ld_loop_timers(q->relay->loop), &q->timer);
	if (q->x != NULL)
		ld_exchange_set_user_data(q->x, NULL);
	*q->prev_next = q->next;
	if (q->next != NULL)
		q->next->prev_next = q->prev_next;
	q->relay->request_count--;
	for (size_t i = 0; i < q->tried_count; i++)
		free(q->tried[i]);
	ld_prompt_fini(&q->prompt);
	free(q->attempt_id);
	free(q->route);
	free(q->account);
	free(q->service);
	free(q->model);
	free(q);
}

/* ---- Sending ---- */

void
request_note_tried(struct request *q, const char *server)
{
	for (size_t i = 0; i < q->tried_count; i++)
		if (strcmp(q->tried[i], server) == 0)
			return;
	if (q->tried_count < LD_DISPATCH_TRIED_MAX)
		q->tried[q->tried_count++] = ld_strdup(server);
}

void
request_note_failed(struct request *q, const char *server)
{
	for (size_t i = 0; i < q->tried_count; i++)
		if (strcmp(q->tried[i], server) == 0)
			q->tried_failed |= 1U << i;
}

void
request_wait_for_retry(struct request *q)
{
	uint64_t due = relay_now(q->relay) + RESUME_INTERVAL_MS;
	uint64_t end = request_end_ms(q);

	q->resume_pending = true;
	ld_timer_start(
	    ld_loop_timers(q->relay->loop), &q->timer, due < end ? due : end);
}

static void
resume(struct request *q)
{
	struct next_hop to;

	q->resume_pending = false;
	if (relay_now(q->relay) >= request_end_ms(q)) {
		request_fail(
		    q, q->relay->stopping ? "stopping" : "deadline", 0);
		return;
	}
	/* A retry is taken when it can be sent: the budget holds for arrivals. */
	if (!request_find_next(q, &to)) {
		q->resume_retried = true;
		request_wait_for_retry(q);
		return;
	}
	if (!request_take_retry(q)) {
		request_wait_for_retry(q);
		return;
	}
	ld_timer_start(
	    ld_loop_timers(q->relay->loop), &q->timer, q->deadline_ms);
	request_send(q);
}

/* A stream that finds no other server goes back to one that refused it, but to
 * none that failed or works on it. */
static void
set_tried(const struct request *q, struct ld_dispatch_request *d)
{
	const struct ld_server *current = q->send->server;
	bool all = !q->resume_retried && current == NULL;

	for (size_t i = 0; i < q->tried_count; i++)
		if (all || (q->tried_failed & 1U << i) != 0 ||
		    (current != NULL &&
			strcmp(q->tried[i], current->entry.id) == 0))
			d->tried[d->tried_count++] = q->tried[i];
}

static enum ld_dispatch_verdict
pick_server(struct request *q, bool repeated, struct ld_dispatch_choice *c)
{
	struct relay *r = q->relay;
	uint64_t now = relay_now(r);
	uint64_t until =
	    q->sends > 0 ? q->deadline_ms : q->start_ms + q->objective_ms;
	struct ld_dispatch_request d = {
	    .service = ld_routes_service(r->routes, ld_str_c(q->service)),
	    .model = ld_str_c(q->model),
	    .prompt_tokens = q->prompt_tokens,
	    .zone = ld_str_c(r->settings->failure_domain),
	    .remaining_ms = until > now ? until - now : 0,
	    .bias_ms =
		ld_dispatch_bias_ms(&r->prediction_bias, ld_str_c(q->model)),
	    .repeated = repeated,
	};

	set_tried(q, &d);
	if (d.service == NULL)
		return LD_DISPATCH_NO_SERVER;
	return ld_dispatch_pick(r->servers, &d, &r->rand, now, c);
}

bool
request_find_next(struct request *q, struct next_hop *to)
{
	*to = (struct next_hop){0};
	if (isolation_is_active(q->relay)) {
		to->is_node = true;
		return request_can_forward(q) &&
		    mesh_find_helper(q->relay, &to->node);
	}
	return pick_server(q, true, &to->choice) == LD_DISPATCH_SEND;
}

void
request_send(struct request *q)
{
	struct relay *r = q->relay;
	struct ld_dispatch_choice c = {0};
	enum ld_dispatch_verdict v;

	if (relay_now(r) >= q->deadline_ms) {
		request_fail(q, "deadline", 0);
		return;
	}
	if (request_is_quarantined(q, &c.retry_after_ms) &&
	    !request_take_trial(q)) {
		relay_count(r, LD_M_RELAY_QUARANTINE_REFUSED);
		request_fail(q, "quarantined", c.retry_after_ms);
		return;
	}
	if (isolation_is_active(r) && request_can_forward(q) &&
	    request_forward(q))
		return;
	v = pick_server(q, q->resume_retried, &c);
	q->resume_retried = v != LD_DISPATCH_SEND;
	q->send->predicted_ms = c.predicted_ms;
	if (v == LD_DISPATCH_SEND) {
		if (!send_to_server(q->send, &c))
			request_retry_or_fail(q, "bad-address");
	} else if (!q->response_started) {
		request_fail(q, ld_dispatch_verdict_name(v), c.retry_after_ms);
	} else {
		request_wait_for_retry(q);
	}
}

/* ---- Start, deadline, disconnection ---- */

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct request *q =
	    (struct request *)((char *)t - offsetof(struct request, timer));

	if (q->resume_pending) {
		resume(q);
		return;
	}
	request_fail(q, "deadline", 0);
}

bool
request_kind_may_repeat(const struct ld_route_rule *rule)
{
	return rule->kind == LD_KIND_IDEMPOTENT ||
	    (rule->kind == LD_KIND_STREAM && rule->resumable);
}

static uint64_t
client_timeout_ms(const struct relay *r, struct ld_exchange *x)
{
	const char *v =
	    ld_exchange_header(x, r->dialect->fields[LD_FIELD_DEADLINE_MS]);
	unsigned long long n;

	if (v == NULL || *v < '0' || *v > '9')
		return TIMEOUT_MAX_MS;
	n = strtoull(v, NULL, 10);
	return n < TIMEOUT_MAX_MS ? n : TIMEOUT_MAX_MS;
}

uint64_t
request_deadline_ms(const struct relay *r, struct ld_exchange *x,
    const struct ld_route_rule *rule)
{
	uint64_t timeout_ms = client_timeout_ms(r, x);

	if (rule->timeout_ms > 0 && rule->timeout_ms < timeout_ms)
		timeout_ms = rule->timeout_ms;
	return ld_exchange_start_ms(x) + timeout_ms;
}

static void
read_prompt_tokens(struct request *q)
{
	const char *v = ld_exchange_header(
	    q->x, q->relay->dialect->fields[LD_FIELD_TOKENS]);
	unsigned long long prompt = 0;

	if (v != NULL && sscanf(v, "%9llu", &prompt) == 1)
		q->prompt_tokens = prompt;
}

static void
read_prompt(struct request *q)
{
	const struct ld_dialect *d = q->relay->dialect;

	d->read_prompt(
	    ld_str_c(ld_exchange_header(q->x, d->fields[LD_FIELD_PROMPT])),
	    &q->prompt);
	ld_prompt_set_request(&q->prompt,
	    &(struct ld_request_identity){
		.caller = ld_str_c(q->account),
		.method = ld_str_c(ld_exchange_method(q->x)),
		.host = ld_str_c(ld_exchange_header(q->x, "Host")),
		.target = ld_str_c(ld_exchange_target(q->x)),
		.body = ld_exchange_body(q->x),
	    });
}

static char *
copy_or_empty(const char *s)
{
	return ld_strdup(s != NULL ? s : "");
}

static uint32_t
request_priority(const struct request_routing *facts, uint32_t last)
{
	uint32_t priority = facts->rule->priority;

	if (facts->account != NULL && facts->account->priority >= 0)
		priority = (uint32_t)facts->account->priority;
	return priority < last ? priority : last;
}

void
request_start(
    struct relay *r, struct ld_exchange *x, const struct request_routing *facts)
{
	const struct ld_route_rule *rule = facts->rule;
	const char *const *fields = r->dialect->fields;
	struct request *q = ld_alloc(sizeof(*q));

	q->relay = r;
	q->send = send_new(q, &request_sink_ops);
	q->x = x;
	q->attempt_id =
	    copy_or_empty(ld_exchange_header(x, fields[LD_FIELD_ATTEMPT_ID]));
	q->model = copy_or_empty(ld_exchange_header(x, fields[LD_FIELD_MODEL]));
	q->account =
	    copy_or_empty(facts->account != NULL ? facts->account->name : NULL);
	q->route = copy_or_empty(rule->name);
	q->priority = request_priority(facts, r->dialect->priority_last);
	q->service = ld_str_dup(facts->service);
	q->kind = rule->kind;
	q->config = r->routes->version;
	q->retryable = request_kind_may_repeat(rule);
	q->max_runs = rule->attempts > 0 ? rule->attempts : 1;
	q->objective_ms = rule->objective_ms;
	q->last_event_id = UINT64_MAX;
	q->start_ms = ld_exchange_start_ms(x);
	q->deadline_ms = request_deadline_ms(r, x, rule);
	read_prompt_tokens(q);
	read_prompt(q);
	q->timer.fn = on_timer;
	q->next = r->requests;
	q->prev_next = &r->requests;
	if (q->next != NULL)
		q->next->prev_next = &q->next;
	r->requests = q;
	r->request_count++;
	ld_exchange_set_user_data(x, q);
	/* The node that forwards a request has counted it. */
	q->forwarded = facts->forwarded;
	if (!q->forwarded)
		ld_retry_count_request(
		    retry_budget(r, q->service), relay_now(r));
	else if (facts->mark.runs_left < q->max_runs)
		q->max_runs = facts->mark.runs_left;
	ld_timer_start(ld_loop_timers(r->loop), &q->timer, q->deadline_ms);
	request_send(q);
}

void
request_client_disconnected(struct request *q)
{
	relay_count(q->relay, LD_M_HANGUPS);
	request_record_end(q, "gone", 0, "client-left");
	q->x = NULL;
	request_free(q);
}

void
request_client_drained(struct request *q)
{
	if (q->send->call != NULL)
		ld_http_resume(q->send->call);
}

void
requests_fail_unbegun(struct relay *r, const char *why)
{
	struct request *next;

	for (struct request *q = r->requests; q != NULL; q = next) {
		next = q->next;
		if (q->response_started)
			continue;
		request_fail(q, why, 0);
	}
}

void
requests_close(struct relay *r)
{
	struct request *next;

	for (struct request *q = r->requests; q != NULL; q = next) {
		next = q->next;
		request_free(q);
	}
	retry_budgets_free(r);
}
