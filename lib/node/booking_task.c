/* Calls that aren't idempotent: performs the actions of lib/booking. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "service_internal.h"

#define PART "booking"
#define KEY_BYTES 32
#define CLOCK_INTERVAL_MS 10000
#define MS_PER_S 1000
#define NS_PER_MS 1000000

/** struct shard_call - one store call on a shard of the claims */
struct shard_call {
	struct ld_store_call call; /* must be first: callbacks cast it */
	struct shard_call *next;
	struct shard_call **link;
	struct booking_task *task;
	uint32_t shard;
};

/** struct booking_task - store calls and timer of the booking module */
struct booking_task {
	struct ld_node *node;
	struct ld_booking *booking;
	struct ld_timer timer;
	struct shard_call *shard_calls;
	uint64_t last_id;
	uint64_t clock_due_ms;
	bool running_actions;
};

static void run_actions(struct booking_task *t);

/* ---- Store ---- */

static void
shard_call_free(struct shard_call *c)
{
	ld_store_cancel(&c->call);
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	free(c);
}

static struct shard_call *
shard_call_new(struct booking_task *t, uint32_t shard,
    void (*done)(struct ld_store_call *, const struct ld_store_answer *))
{
	struct shard_call *c = ld_alloc(sizeof(*c));

	c->task = t;
	c->shard = shard;
	c->call.done = done;
	c->next = t->shard_calls;
	c->link = &t->shard_calls;
	if (c->next != NULL)
		c->next->link = &c->next;
	t->shard_calls = c;
	return c;
}

static struct ld_booking_value
value_of(const struct ld_store_answer *a)
{
	struct ld_booking_value v = {0};

	if (a->n > 0) {
		v.revision = a->kvs[0].mod_revision;
		v.bytes = a->kvs[0].value;
	}
	return v;
}

static void
on_read(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct shard_call *c = (struct shard_call *)call;
	struct booking_task *t = c->task;
	struct ld_booking_value v = value_of(a);
	bool has_value = a->status == LD_OK || a->status == LD_E_NOT_FOUND;

	ld_booking_read_done(
	    t->booking, node_now(t->node), c->shard, has_value ? &v : NULL);
	shard_call_free(c);
	run_actions(t);
}

static void
on_written(struct ld_store_call *call, const struct ld_store_answer *a)
{
	static const enum ld_booking_write outcomes[LD_STORE_OUTCOME_COUNT] = {
	    [LD_STORE_NOT_APPLIED] = LD_BOOKING_WRITE_NOT_APPLIED,
	    [LD_STORE_APPLIED] = LD_BOOKING_WRITE_APPLIED,
	    [LD_STORE_CONFLICT] = LD_BOOKING_WRITE_CONFLICT,
	    [LD_STORE_UNKNOWN] = LD_BOOKING_WRITE_UNKNOWN,
	};
	struct shard_call *c = (struct shard_call *)call;
	struct booking_task *t = c->task;
	struct ld_booking_value v = value_of(a);
	bool has_value = a->outcome == LD_STORE_APPLIED || a->n > 0;

	if (a->outcome == LD_STORE_APPLIED)
		v = (struct ld_booking_value){.revision = a->revision};
	ld_booking_write_done(t->booking, node_now(t->node), c->shard,
	    outcomes[a->outcome], has_value ? &v : NULL);
	shard_call_free(c);
	run_actions(t);
}

static void
read_shard(struct booking_task *t, uint32_t shard)
{
	struct shard_call *c = shard_call_new(t, shard, on_read);
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "claims/%u", shard);
	ld_store_read(t->node->store, &c->call, ld_str_c(key));
}

static void
write_shard(struct booking_task *t, const struct ld_booking_action *a)
{
	struct shard_call *c = shard_call_new(t, a->shard, on_written);
	struct ld_store_expect expect = {.mod_revision = a->expect};
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "claims/%u", a->shard);
	ld_store_cas(
	    t->node->store, &c->call, ld_str_c(key), a->bytes, expect, 0);
}

/* ---- Answers ---- */

static enum ld_ran
ran_of(enum ld_booking_ran ran)
{
	static const enum ld_ran map[] = {
	    [LD_BOOKING_RAN_NO] = LD_RAN_NO,
	    [LD_BOOKING_RAN_YES] = LD_RAN_YES,
	    [LD_BOOKING_RAN_UNKNOWN] = LD_RAN_UNKNOWN,
	};

	return map[ran];
}

static const struct answer_row {
	unsigned int code;
	const char *type;
	const char *title;
} answers[LD_BOOKING_ANSWER_KIND_COUNT] = {
    [LD_BOOKING_NOT_RUN] = {503, "no-server",
	"No server of the service could be reached"},
    [LD_BOOKING_UNKNOWN] = {502, "booking-unknown",
	"The call was sent and gave no answer"},
    [LD_BOOKING_IN_PROGRESS] = {409, "booking-in-progress",
	"Another call with this key is under way"},
    [LD_BOOKING_KEY_REUSED] = {422, "key-reused",
	"The key was used with another request"},
    [LD_BOOKING_REFUSED] = {503, "claim-refused",
	"The store can't take the claim now"},
    [LD_BOOKING_FULL] = {503, "claims-full",
	"There is no room for more claims"},
};

static struct service_call *
find_by_booking_id(struct ld_node *n, uint64_t id)
{
	struct service_call *c;

	for (c = n->service_calls; c != NULL; c = c->next)
		if (c->booking_id == id)
			return c;
	return NULL;
}

static void
answer(struct ld_node *n, const struct ld_booking_action *a)
{
	struct service_call *c = find_by_booking_id(n, a->id);
	const struct answer_row *row = &answers[a->answer];
	struct ld_problem p = {.code = row->code,
	    .type = row->type,
	    .title = row->title,
	    .ran = ran_of(a->ran),
	    .retry_after_ms = a->retry_after_ms};

	if (c == NULL)
		return;
	c->booking_id = 0;
	if (a->answer == LD_BOOKING_RECORDED) {
		node_metric_inc(n, LD_M_BOOKINGS_REPEATED);
		service_answer(c, a->status, ld_str_c(NULL),
		    a->body_complete ? a->body : ld_str_c(NULL), true);
		return;
	}
	/*
	 * An earlier call with this key is known to have run: with "no" here
	 * the problem document would say "unknown".
	 */
	if (p.ran == LD_RAN_NO && a->earlier_ran == LD_BOOKING_RAN_YES)
		p.ran = LD_RAN_YES;
	p.no_earlier_request_ran = a->earlier_ran == LD_BOOKING_RAN_NO;
	service_fail(c, &p);
}

/* ---- Calls ---- */

static void
send_call(struct booking_task *t, const struct ld_booking_action *a)
{
	struct ld_node *n = t->node;
	struct service_call *c = find_by_booking_id(n, a->id);

	if (c == NULL || c->x == NULL ||
	    !ld_booking_may_send(t->booking, node_now(n), a->id)) {
		ld_booking_send_done(t->booking, node_now(n), a->id,
		    LD_BOOKING_NOT_SENT, 0, ld_str_c(NULL));
		return;
	}
	service_send(c);
}

void
booking_send_done(struct service_call *c, const struct ld_http_result *r,
    struct ld_str type, struct ld_str body)
{
	struct booking_task *t = c->node->booking_task;
	enum ld_booking_result result = LD_BOOKING_INCOMPLETE;
	uint64_t id = c->booking_id;

	if (r->status == LD_OK)
		result = LD_BOOKING_ANSWERED;
	else if (!r->sent)
		result = LD_BOOKING_NOT_SENT;
	else
		ld_log(LD_LOG_WARNING, PART, "no answer from %s: %s", c->server,
		    ld_status_name(r->status));
	ld_booking_send_done(
	    t->booking, node_now(c->node), id, result, (int)r->code, body);
	if (result == LD_BOOKING_ANSWERED) {
		c->booking_id = 0;
		service_answer(c, r->code, type, body, false);
	}
	run_actions(t);
}

void
booking_start(struct service_call *c)
{
	struct ld_node *n = c->node;
	struct booking_task *t = n->booking_task;
	struct ld_buf body = {0};
	struct ld_booking_call call = {
	    .owner = ld_str_c(c->owner),
	    .key = ld_str_c(c->key),
	    .deadline_ms = c->deadline_ms,
	};
	struct ld_problem p = {.code = 503,
	    .type = "overloaded",
	    .title = "This instance can't take more bookings",
	    .ran = LD_RAN_NO,
	    .retry_after_ms = MS_PER_S};
	enum ld_status st;

	ld_buf_printf(&body, "%s %s\n", ld_exchange_method(c->x), c->target);
	ld_buf_adds(&body, ld_exchange_body(c->x));
	c->booking_id = ++t->last_id;
	call.id = c->booking_id;
	call.body = ld_buf_str(&body);
	st = ld_booking_start(t->booking, node_now(n), &call);
	ld_buf_free(&body);
	if (st == LD_OK) {
		if (c->key != NULL)
			node_metric_inc(n, LD_M_BOOKINGS);
		run_actions(t);
		return;
	}
	c->booking_id = 0;
	if (st == LD_E_INVALID) {
		p.code = 400;
		p.type = "bad-key";
		p.title = "The Idempotency-Key is too long";
		/* A key of this length is never claimed. */
		p.no_earlier_request_ran = true;
		p.retry_after_ms = 0;
	}
	service_fail(c, &p);
}

void
booking_client_disconnected(struct service_call *c)
{
	struct booking_task *t = c->node->booking_task;
	bool in_progress = c->call != NULL;

	ld_booking_client_disconnected(
	    t->booking, node_now(c->node), c->booking_id);
	/* A call that was sent continues, so that its outcome is recorded. */
	if (!in_progress) {
		c->booking_id = 0;
		service_free(c);
	}
	run_actions(t);
}

/* ---- Actions ---- */

static void
run_action(struct booking_task *t, const struct ld_booking_action *a)
{
	switch (a->kind) {
	case LD_BOOKING_READ:
		read_shard(t, a->shard);
		break;
	case LD_BOOKING_WRITE:
		write_shard(t, a);
		break;
	case LD_BOOKING_SEND:
		send_call(t, a);
		break;
	case LD_BOOKING_ANSWER:
		answer(t->node, a);
		break;
	case LD_BOOKING_MESSAGE:
		fleet_send_booking(t->node->fleet, a->to, a->bytes);
		break;
	}
}

static void
run_actions(struct booking_task *t)
{
	struct ld_booking_action a;

	/*
	 * An action may complete at once and call this again: the outer call's
	 * loop runs the actions that follow from it.
	 */
	if (t->running_actions)
		return;
	t->running_actions = true;
	while (ld_booking_next_action(t->booking, &a))
		run_action(t, &a);
	t->running_actions = false;
	ld_timer_start(ld_loop_timers(t->node->loop), &t->timer,
	    ld_booking_next_due(t->booking));
}

static void
update_wall_clock(struct booking_task *t)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ld_booking_set_wall_clock(t->booking, node_now(t->node),
	    (uint64_t)ts.tv_sec * MS_PER_S + (uint64_t)ts.tv_nsec / NS_PER_MS);
	t->clock_due_ms = node_now(t->node) + CLOCK_INTERVAL_MS;
}

static void
on_timer(struct ld_timer *timer, uint64_t now_ms)
{
	struct booking_task *t = (struct booking_task *)((char *)timer -
	    offsetof(struct booking_task, timer));

	if (now_ms >= t->clock_due_ms)
		update_wall_clock(t);
	ld_booking_tick(t->booking, node_now(t->node));
	run_actions(t);
}

/* ---- Events from other tasks ---- */

void
booking_members(
    struct ld_node *n, const struct servers_node *nodes, size_t count)
{
	struct booking_task *t = n->booking_task;
	struct ld_str *ids = ld_alloc(count * sizeof(*ids));

	for (size_t i = 0; i < count; i++)
		ids[i] = nodes[i].name;
	ld_booking_members(t->booking, node_now(n), ids, count);
	free(ids);
	run_actions(t);
}

void
booking_message(struct ld_node *n, struct ld_str from, struct ld_str bytes)
{
	struct booking_task *t = n->booking_task;

	ld_booking_message(t->booking, node_now(n), from, bytes);
	run_actions(t);
}

size_t
booking_pending_count(const struct ld_node *n)
{
	return ld_booking_pending_count(n->booking_task->booking);
}

/* ---- Opening ---- */

void
booking_open(struct ld_node *n)
{
	struct booking_task *t = ld_alloc(sizeof(*t));
	struct ld_booking_config c = ld_booking_defaults();
	struct ld_buf self = {0};

	fleet_self_name(n->fleet, &self);
	c.node = ld_buf_str(&self);
	c.retention_ms = n->settings->booking_retention_ms;
	t->node = n;
	t->timer.fn = on_timer;
	t->booking = ld_booking_new(&c, node_now(n));
	ld_buf_free(&self);
	n->booking_task = t;
	update_wall_clock(t);
	run_actions(t);
}

void
booking_close(struct ld_node *n)
{
	struct booking_task *t = n->booking_task;
	struct shard_call *next;

	if (t == NULL)
		return;
	for (struct shard_call *c = t->shard_calls; c != NULL; c = next) {
		next = c->next;
		shard_call_free(c);
	}
	ld_timer_stop(ld_loop_timers(n->loop), &t->timer);
	ld_booking_free(t->booking);
	free(t);
	n->booking_task = NULL;
}
