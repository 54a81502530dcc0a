/* Performs the actions of the controller of a fabric domain. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_task.h"

#define TICK_MS 200
#define MS_PER_S 1000
#define KEY_BYTES (LD_HEALTH_NAME_MAX + 16)
#define URL_BYTES (LD_HEALTH_ADDRESS_MAX + 16)
#define ORDER_ANSWER_MAX_BYTES 4096
/* The engine has seen a higher fence. */
#define HTTP_PRECONDITION_FAILED 412

/** struct store_op - one store call in progress */
struct store_op {
	struct ld_store_call call;
	struct store_op *next;
	struct ld_control_task *task;
	enum ld_replica_action_type type;
	uint64_t number;
};

/** struct order_op - one order in progress */
struct order_op {
	struct ld_http_sink sink;
	struct order_op *next;
	struct ld_control_task *task;
	struct ld_http_call *call;
	struct ld_replica_order order;
	uint64_t number;
};

struct ld_control_task {
	struct ld_loop *loop;
	struct ld_http *http;
	struct ld_store *store;
	struct ld_replica *replica;
	struct ld_timer timer;
	char control_key[KEY_BYTES];
	char record_key[KEY_BYTES];
	uint32_t ttl_ms;
	struct store_op *store_ops;
	struct order_op *order_ops;
	struct ld_control_task_counters counters;
};

static void perform_actions(struct ld_control_task *t);

static uint64_t
now_of(const struct ld_control_task *t)
{
	return ld_loop_now(t->loop);
}

/* ---- Store ---- */

static void
store_op_release(struct store_op *op)
{
	if (op->call.request != NULL)
		ld_store_cancel(&op->call);
	free(op);
}

static void
store_op_free(struct store_op *op)
{
	struct store_op **link = &op->task->store_ops;

	while (*link != op)
		link = &(*link)->next;
	*link = op->next;
	store_op_release(op);
}

static bool
is_write(enum ld_replica_action_type type)
{
	return type == LD_REPLICA_CONTROL_CREATE ||
	    type == LD_REPLICA_RECORD_WRITE;
}

static enum ld_status
write_status(const struct ld_store_answer *a)
{
	switch (a->outcome) {
	case LD_STORE_APPLIED:
		return LD_OK;
	case LD_STORE_CONFLICT:
		return LD_E_CONFLICT;
	case LD_STORE_NOT_APPLIED:
		return a->status == LD_E_NOT_FOUND ? LD_E_NOT_FOUND
						   : LD_E_UNAVAILABLE;
	default:
		return LD_E_UNKNOWN;
	}
}

/*
 * The lease holder computes its deadline from the requested TTL, so a shorter
 * one must not be used.
 */
static bool
lease_too_short(const struct store_op *op, const struct ld_store_answer *a)
{
	return (op->type == LD_REPLICA_LEASE_GRANT ||
		   op->type == LD_REPLICA_LEASE_KEEPALIVE) &&
	    a->status == LD_OK && a->ttl_ms < op->task->ttl_ms;
}

static struct ld_replica_store_result
read_answer(const struct store_op *op, const struct ld_store_answer *a)
{
	struct ld_replica_store_result r = {.status = a->status};

	if (is_write(op->type))
		r.status = write_status(a);
	if (lease_too_short(op, a))
		r.status = LD_E_PROTOCOL;
	r.lease = (uint64_t)a->lease;
	r.revision = (uint64_t)a->revision;
	if (is_write(op->type) || a->status != LD_OK)
		return r;
	if (op->type != LD_REPLICA_CONTROL_READ &&
	    op->type != LD_REPLICA_RECORD_READ)
		return r;
	if (a->n == 0) {
		r.status = LD_E_NOT_FOUND;
		return r;
	}
	r.value = a->kvs[0].value;
	r.lease = (uint64_t)a->kvs[0].lease;
	/* The fence is the revision at which the control key was created. */
	r.revision = (uint64_t)(op->type == LD_REPLICA_CONTROL_READ
		? a->kvs[0].create_revision
		: a->kvs[0].mod_revision);
	return r;
}

static void
on_store(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct store_op *op = (struct store_op *)call;
	struct ld_control_task *t = op->task;
	struct ld_replica_store_result r = read_answer(op, a);

	t->counters.store_failures += r.status != LD_OK &&
	    r.status != LD_E_NOT_FOUND && r.status != LD_E_CONFLICT;
	ld_replica_on_store_result(t->replica, op->number, &r, now_of(t));
	store_op_free(op);
	perform_actions(t);
}

static void
store_start(struct ld_control_task *t, const struct ld_replica_action *a)
{
	struct store_op *op = ld_alloc(sizeof(*op));
	struct ld_store_expect expect = {0};
	int64_t lease = (int64_t)a->lease;

	op->call.done = on_store;
	op->task = t;
	op->type = a->type;
	op->number = a->call;
	op->next = t->store_ops;
	t->store_ops = op;
	t->counters.store_calls++;
	switch (a->type) {
	case LD_REPLICA_LEASE_GRANT:
		ld_store_lease_grant(t->store, &op->call, a->ttl_ms / MS_PER_S);
		break;
	case LD_REPLICA_LEASE_KEEPALIVE:
		ld_store_lease_keepalive(t->store, &op->call, lease);
		break;
	case LD_REPLICA_LEASE_REVOKE:
		ld_store_lease_revoke(t->store, &op->call, lease);
		break;
	case LD_REPLICA_CONTROL_CREATE:
		ld_store_cas(t->store, &op->call, ld_str_c(t->control_key),
		    a->value, expect, lease);
		break;
	case LD_REPLICA_CONTROL_READ:
		ld_store_read(t->store, &op->call, ld_str_c(t->control_key));
		break;
	case LD_REPLICA_RECORD_READ:
		ld_store_read(t->store, &op->call, ld_str_c(t->record_key));
		break;
	default:
		expect.mod_revision = (int64_t)a->expected;
		ld_store_cas(t->store, &op->call, ld_str_c(t->record_key),
		    a->value, expect, 0);
	}
}

/* ---- Orders ---- */

static void
order_op_release(struct order_op *op)
{
	if (op->call != NULL)
		ld_http_cancel(op->call);
	free(op);
}

static void
order_op_free(struct order_op *op)
{
	struct order_op **link = &op->task->order_ops;

	while (*link != op)
		link = &(*link)->next;
	*link = op->next;
	order_op_release(op);
}

static enum ld_status
order_status(const struct ld_http_result *r)
{
	if (r->status == LD_OK && r->code == HTTP_PRECONDITION_FAILED)
		return LD_E_STALE;
	if (r->status == LD_OK && r->code >= 200 && r->code < 300)
		return LD_OK;
	if (r->status != LD_OK && !r->sent)
		return LD_E_UNAVAILABLE;
	return LD_E_UNKNOWN;
}

/* Only the status code of the answer is used. */
static void
on_order_body(struct ld_http_sink *s, struct ld_str bytes)
{
}

static void
on_order_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	struct order_op *op = (struct order_op *)s;
	struct ld_control_task *t = op->task;
	enum ld_status st = order_status(r);

	op->call = NULL;
	t->counters.orders_refused += st == LD_E_STALE;
	t->counters.orders_failed += st != LD_OK && st != LD_E_STALE;
	ld_replica_on_order_result(t->replica, op->number, st, now_of(t));
	order_op_free(op);
	perform_actions(t);
}

static json_t *
order_json(const struct ld_control_task *t, const struct ld_replica_order *o)
{
	json_t *members = json_array();

	for (uint16_t i = 0; i < o->member_count; i++)
		json_array_append_new(members,
		    json_string(ld_replica_instance_address(
			t->replica, o->members[i])));
	return json_pack("{s:I,s:s,s:s,s:I,s:s,s:o,s:I}", "fence",
	    (json_int_t)o->fence, "order", o->load ? "load" : "unload",
	    "replica", o->replica, "epoch", (json_int_t)o->epoch, "model",
	    o->model, "members", members, "expires_ms",
	    (json_int_t)o->expires_ms);
}

static void
order_send(struct order_op *op)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	struct ld_control_task *t = op->task;
	char url[URL_BYTES];
	struct ld_http_request rq = {.method = "POST", .url = url};
	json_t *doc = order_json(t, &op->order);
	char *body = json_dumps(doc, JSON_COMPACT);

	snprintf(url, sizeof(url), "http://%s/orders", op->order.address);
	rq.headers = headers;
	rq.body = ld_str_c(body);
	rq.connect_timeout_ms = op->order.expires_ms;
	rq.total_timeout_ms = op->order.expires_ms;
	rq.fresh = true;
	rq.max_body = ORDER_ANSWER_MAX_BYTES;
	op->call = ld_http_start(t->http, &rq, &op->sink);
	free(body);
	json_decref(doc);
}

static void
order_start(struct ld_control_task *t, const struct ld_replica_action *a)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_order_body, .done = on_order_done};
	struct order_op *op;

	/* Checks the current time: the process may have been paused. */
	if (!ld_replica_may_order(t->replica, &a->order, now_of(t))) {
		t->counters.orders_dropped++;
		return;
	}
	op = ld_alloc(sizeof(*op));
	op->sink.ops = &ops;
	op->task = t;
	op->number = a->call;
	op->order = a->order;
	op->next = t->order_ops;
	t->order_ops = op;
	t->counters.orders++;
	order_send(op);
	if (op->call == NULL)
		order_op_free(op);
}

/* An order not sent yet must not be sent after the lease has expired. */
static void
drop_expired_orders(struct ld_control_task *t)
{
	struct order_op *next;

	for (struct order_op *op = t->order_ops; op != NULL; op = next) {
		next = op->next;
		if (!ld_replica_may_order(t->replica, &op->order, now_of(t))) {
			t->counters.orders_dropped++;
			order_op_free(op);
		}
	}
}

/* ---- Actions ---- */

static void
perform_actions(struct ld_control_task *t)
{
	struct ld_replica_action a;

	drop_expired_orders(t);
	while (ld_replica_next_action(t->replica, &a)) {
		if (a.type == LD_REPLICA_ORDER)
			order_start(t, &a);
		else
			store_start(t, &a);
	}
}

static void
on_timer(struct ld_timer *timer, uint64_t due_ms)
{
	struct ld_control_task *t = (struct ld_control_task *)((char *)timer -
	    offsetof(struct ld_control_task, timer));

	ld_replica_tick(t->replica, now_of(t));
	perform_actions(t);
	ld_timer_after(ld_loop_timers(t->loop), &t->timer, TICK_MS);
}

/* ---- Calls of the owner ---- */

struct ld_control_task *
ld_control_task_new(struct ld_loop *loop, struct ld_http *http,
    struct ld_store *store, const struct ld_replica_config *config)
{
	struct ld_control_task *t = ld_alloc(sizeof(*t));
	struct ld_replica_config rounded = *config;

	/* The store grants whole seconds; a longer deadline would be wrong. */
	rounded.ttl_ms = config->ttl_ms / MS_PER_S * MS_PER_S;
	t->loop = loop;
	t->http = http;
	t->store = store;
	t->ttl_ms = rounded.ttl_ms;
	snprintf(t->control_key, sizeof(t->control_key), "control/%.*s",
	    LD_FMT(config->fabric));
	snprintf(t->record_key, sizeof(t->record_key), "placement/%.*s",
	    LD_FMT(config->fabric));
	t->replica = ld_replica_new(&rounded, now_of(t));
	t->timer.fn = on_timer;
	ld_timer_after(ld_loop_timers(loop), &t->timer, 0);
	return t;
}

void
ld_control_task_free(struct ld_control_task *t)
{
	if (t == NULL)
		return;
	ld_timer_stop(ld_loop_timers(t->loop), &t->timer);
	for (struct store_op *op = t->store_ops, *next; op != NULL; op = next) {
		next = op->next;
		store_op_release(op);
	}
	for (struct order_op *op = t->order_ops, *next; op != NULL; op = next) {
		next = op->next;
		order_op_release(op);
	}
	ld_replica_free(t->replica);
	free(t);
}

void
ld_control_task_nodes(
    struct ld_control_task *t, const struct ld_str *ids, size_t n)
{
	ld_replica_set_nodes(t->replica, ids, n, now_of(t));
}

void
ld_control_task_instances(
    struct ld_control_task *t, const struct ld_replica_instance *list, size_t n)
{
	ld_replica_set_instances(t->replica, list, n, now_of(t));
}

void
ld_control_task_view(struct ld_control_task *t, const struct ld_health_view *v)
{
	ld_replica_on_view(t->replica, v, now_of(t));
}

void
ld_control_task_resign(struct ld_control_task *t)
{
	ld_replica_resign(t->replica, now_of(t));
	perform_actions(t);
}

bool
ld_control_task_busy(const struct ld_control_task *t)
{
	return t->store_ops != NULL || t->order_ops != NULL;
}

const struct ld_replica *
ld_control_task_module(const struct ld_control_task *t)
{
	return t->replica;
}

const struct ld_control_task_counters *
ld_control_task_counters(const struct ld_control_task *t)
{
	return &t->counters;
}
