/* One request: taken from a client, sent to servers, ended in time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "request_internal.h"

/* A client that tells no deadline waits at most so long, ms. */
#define DEADLINE_MAX_MS 600000
/* Time to open a connection to a server, ms: some round trips between failure
 * domains; a lost opening packet is sent again only after a second. */
#define CONNECT_TIMEOUT_MS 400
/* A stream that has to go on elsewhere looks for a server so often, ms. */
#define RESUME_AGAIN_MS 40
/* A client leaves a stream that pauses for so long, ms; it is not resumed
 * after that. */
#define RESUME_WITHIN_MS 2000
#define ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)

static void
release_server(struct request *q)
{
	struct ld_server *s = q->server;

	if (s == NULL)
		return;
	s->active--;
	s->holds--;
	s->load_changed_ms = relay_now(q->relay);
	q->server = NULL;
}

void
request_cancel_send(struct request *q)
{
	if (q->call != NULL)
		ld_http_cancel(q->call);
	q->call = NULL;
	release_server(q);
}

void
request_free(struct request *q)
{
	request_cancel_send(q);
	ld_timer_stop(ld_loop_timers(q->relay->loop), &q->timer);
	if (q->x != NULL)
		ld_exchange_set_owner(q->x, NULL);
	*q->link = q->next;
	if (q->next != NULL)
		q->next->link = q->link;
	q->relay->request_count--;
	answer_reset(&q->answer);
	events_free(&q->events);
	for (size_t i = 0; i < q->tried_count; i++)
		free(q->tried[i]);
	free(q->attempt_id);
	free(q->route);
	free(q->account);
	free(q->service);
	free(q->model);
	free(q);
}

/* ---- Sending ---- */

static void
hold_server(struct request *q, struct ld_server *s)
{
	q->server = s;
	counts_note_send(q, s);
	s->holds++;
	s->active++;
	ld_dispatch_prompt_sent(
	    ld_routes_service(q->relay->routes, ld_str_c(q->service)), s,
	    q->prompt_tokens, relay_now(q->relay));
	s->sent_tokens += q->prompt_tokens;
	s->unseen_tokens += q->prompt_tokens;
	s->unseen_ms = s->load_changed_ms = relay_now(q->relay);
	if (q->tried_count < LD_DISPATCH_TRIED_MAX)
		q->tried[q->tried_count++] = ld_strdup(s->entry.id);
}

static void
start_send(struct request *q, struct ld_server *s)
{
	struct relay *r = q->relay;
	uint64_t now = relay_now(r);
	uint64_t left = q->end_ms - now;
	struct lines l = {0};
	struct ld_buf url = {0};
	const char *method = ld_exchange_method(q->x);
	struct ld_http_request rq = {
	    .method = method,
	    .target = ld_exchange_target(q->x),
	    .bare = true,
	    .body = ld_exchange_body(q->x),
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .total_timeout_ms = left,
	    .fresh = !q->repeatable,
	    .max_body = ANSWER_MAX_BYTES,
	};

	hold_server(q, s);
	answer_reset(&q->answer);
	events_reset(&q->events);
	q->heard_ms = 0;
	q->sent_ms = now;
	q->sends++;
	relay_count(r, LD_M_RELAY_SENDS);
	lines_build(q, &l, left);
	l.at[l.n] = NULL;
	ld_buf_printf(&url, "http://%s/", s->entry.address);
	rq.url = ld_buf_cstr(&url);
	rq.headers = (const char *const *)l.at;
	/* A method that carries a body tells its length, also when empty. */
	if (rq.body.len == 0)
		rq.body.p = strcmp(method, "POST") == 0 ||
			strcmp(method, "PUT") == 0 ||
			strcmp(method, "PATCH") == 0
		    ? ""
		    : NULL;
	q->call = ld_http_start(r->http, &rq, &q->sink);
	lines_free(&l);
	ld_buf_free(&url);
	if (q->call == NULL)
		request_try_again(q, "bad-address");
}

/* The stream waits for a server; its client waits for some time too. */
static void
wait_to_resume(struct request *q)
{
	uint64_t now = relay_now(q->relay);

	if (now > q->last_event_ms + RESUME_WITHIN_MS) {
		request_fail(q, "no-server-to-resume", 0);
		return;
	}
	q->waits = true;
	ld_timer_after(
	    ld_loop_timers(q->relay->loop), &q->timer, RESUME_AGAIN_MS);
}

void
request_send(struct request *q)
{
	struct relay *r = q->relay;
	uint64_t now = relay_now(r);
	uint64_t due = q->start_ms + q->objective_ms;
	struct ld_dispatch_request d = {
	    .service = ld_routes_service(r->routes, ld_str_c(q->service)),
	    .model = ld_str_c(q->model),
	    .prompt_tokens = q->prompt_tokens,
	    .zone = ld_str_c(r->settings->failure_domain),
	    .left_ms = due > now ? due - now : 0,
	    .bias_ms = ld_dispatch_bias_ms(&r->bias, ld_str_c(q->model)),
	    .tried_count = q->tried_count,
	};
	struct ld_dispatch_choice c = {0};
	enum ld_dispatch_verdict v = LD_DISPATCH_NO_SERVER;

	if (now >= q->end_ms) {
		request_fail(q, "deadline", 0);
		return;
	}
	if (q->begun || q->sends > 0)
		d.left_ms = q->end_ms - now;
	memcpy(d.tried, q->tried, sizeof(d.tried));
	if (d.service != NULL)
		v = ld_dispatch_pick(r->servers, &d, &r->rand, now, &c);
	q->predicted_ms = c.first_ms;
	q->engine_ms = c.engine_ms;
	if (v == LD_DISPATCH_SEND)
		start_send(q, c.server);
	else if (q->begun)
		wait_to_resume(q);
	else
		request_fail(q, ld_dispatch_verdict_name(v), c.retry_after_ms);
}

/* ---- Start, time, client ---- */

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct request *q =
	    (struct request *)((char *)t - offsetof(struct request, timer));

	if (q->waits) {
		q->waits = false;
		ld_timer_start(
		    ld_loop_timers(q->relay->loop), &q->timer, q->end_ms);
		request_send(q);
		return;
	}
	if (q->call != NULL && ld_http_maybe_sent(q->call))
		q->maybe_ran = true;
	request_fail(q, "deadline", 0);
}

static uint64_t
number_field(struct request *q, enum ld_field field, uint64_t otherwise)
{
	const char *v =
	    ld_exchange_header(q->x, q->relay->dialect->fields[field]);
	char *end = NULL;
	unsigned long long n;

	if (v == NULL || *v < '0' || *v > '9')
		return otherwise;
	n = strtoull(v, &end, 10);
	return n < DEADLINE_MAX_MS ? n : DEADLINE_MAX_MS;
}

static void
read_tokens(struct request *q)
{
	const char *v = ld_exchange_header(
	    q->x, q->relay->dialect->fields[LD_FIELD_TOKENS]);
	unsigned long long prompt = 0;

	if (v != NULL && sscanf(v, "%9llu", &prompt) == 1)
		q->prompt_tokens = prompt;
}

static char *
copy_of(const char *s)
{
	return ld_strdup(s != NULL ? s : "");
}

static uint32_t
priority_of(const struct request_facts *facts, uint32_t last)
{
	uint32_t priority = facts->rule->priority;

	if (facts->account != NULL && facts->account->priority >= 0)
		priority = (uint32_t)facts->account->priority;
	return priority < last ? priority : last;
}

void
request_start(
    struct relay *r, struct ld_exchange *x, const struct request_facts *facts)
{
	const struct ld_route_rule *rule = facts->rule;
	const char *const *fields = r->dialect->fields;
	struct request *q = ld_alloc(sizeof(*q));
	uint64_t wait_ms;

	q->sink.ops = &request_sink_ops;
	q->relay = r;
	q->x = x;
	q->attempt_id =
	    copy_of(ld_exchange_header(x, fields[LD_FIELD_ATTEMPT_ID]));
	q->model = copy_of(ld_exchange_header(x, fields[LD_FIELD_MODEL]));
	q->account =
	    copy_of(facts->account != NULL ? facts->account->name : NULL);
	q->route = copy_of(rule->name);
	q->priority = priority_of(facts, r->dialect->priority_last);
	q->service = ld_str_dup(facts->service);
	q->kind = rule->kind;
	q->repeatable = rule->kind == LD_KIND_IDEMPOTENT ||
	    (rule->kind == LD_KIND_STREAM && rule->resumable);
	q->attempts_max = rule->attempts > 0 ? rule->attempts : 1;
	q->objective_ms = rule->objective_ms;
	q->last_id = UINT64_MAX;
	q->start_ms = ld_exchange_since_ms(x);
	wait_ms = number_field(q, LD_FIELD_DEADLINE_MS, DEADLINE_MAX_MS);
	if (rule->timeout_ms > 0 && rule->timeout_ms < wait_ms)
		wait_ms = rule->timeout_ms;
	q->end_ms = q->start_ms + wait_ms;
	read_tokens(q);
	q->timer.fn = on_timer;
	q->next = r->requests;
	q->link = &r->requests;
	if (q->next != NULL)
		q->next->link = &q->next;
	r->requests = q;
	r->request_count++;
	ld_exchange_set_owner(x, q);
	ld_repeat_request(request_budget(r, q->service), relay_now(r));
	ld_timer_start(ld_loop_timers(r->loop), &q->timer, q->end_ms);
	request_send(q);
}

void
request_gone(struct request *q)
{
	relay_count(q->relay, LD_M_HANGUPS);
	request_note_end(q, "gone", 0, "client-left");
	q->x = NULL;
	request_free(q);
}

void
request_drained(struct request *q)
{
	if (q->call != NULL)
		ld_http_resume(q->call);
}

void
requests_close(struct relay *r)
{
	struct request *next;

	for (struct request *q = r->requests; q != NULL; q = next) {
		next = q->next;
		request_free(q);
	}
	request_budgets_free(r);
}
