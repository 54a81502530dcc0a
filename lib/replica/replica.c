/* Controller of one fabric domain: takes events and returns actions. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "replica_internal.h"

void
ld_replica_defaults(struct ld_replica_config *c)
{
	memset(c, 0, sizeof(*c));
	c->ttl_ms = 10000;
	c->renew_ms = 3000;
	c->margin_ms = 1000;
	c->order_life_ms = 2000;
	c->order_retry_ms = 5000;
	c->poll_ms = 1000;
	c->report_ttl_ms = 3000;
	c->plan.downtime_weight = 1.0;
	c->plan.stranded_weight = 0.02;
	c->plan.accelerators = 8;
	c->plan.loss_per_day = 200;
	c->plan.refill_ms = 20 * 60000;
	c->plan.drain_ms = 3 * 60000;
	c->plan.load_ms = 2 * 60000;
	c->plan.settle_ms = 5000;
	c->plan.max_loads = 16;
	c->plan.fixed_spares = -1;
}

static void
copy_str(char *out, size_t size, struct ld_str s)
{
	size_t n = s.len < size ? s.len : size - 1;

	memcpy(out, s.p, n);
	out[n] = '\0';
}

struct ld_replica *
ld_replica_new(const struct ld_replica_config *config, uint64_t now_ms)
{
	struct ld_replica *c = ld_alloc(sizeof(*c));

	assert(config->margin_ms < config->ttl_ms);
	assert(config->plan.model_count <= LD_REPLICA_MODELS_MAX);
	c->config = *config;
	for (size_t i = 0; i < config->plan.model_count; i++) {
		struct ld_replica_model *m = &c->config.plan.models[i];

		assert(m->size > 0 && m->size <= LD_REPLICA_MEMBERS_MAX);
		m->name.p = ld_str_dup(m->name);
	}
	copy_str(c->self, sizeof(c->self), config->self);
	copy_str(c->fabric, sizeof(c->fabric), config->fabric);
	ld_rand_seed(&c->rand, config->seed);
	c->instances.v =
	    ld_alloc(LD_REPLICA_INSTANCES_MAX * sizeof(*c->instances.v));
	c->next_call = 1;
	c->next_poll_ms = now_ms + ld_rand_below(&c->rand, config->poll_ms + 1);
	return c;
}

void
ld_replica_free(struct ld_replica *c)
{
	if (c == NULL)
		return;
	for (size_t i = 0; i < c->config.plan.model_count; i++)
		free((char *)c->config.plan.models[i].name.p);
	ld_buf_free(&c->draft_json);
	free(c->instances.v);
	free(c->actions);
	free(c);
}

/* ---- Actions ---- */

struct ld_replica_action *
action_push(struct ld_replica *c, enum ld_replica_action_type type)
{
	struct ld_replica_action *a;

	if (c->action_count == c->action_cap) {
		c->action_cap = c->action_cap > 0 ? 2 * c->action_cap : 16;
		c->actions = ld_realloc(c->actions, c->action_cap * sizeof(*a));
	}
	a = &c->actions[c->action_count++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	a->call = c->next_call++;
	return a;
}

bool
ld_replica_next_action(struct ld_replica *c, struct ld_replica_action *out)
{
	if (c->action_head == c->action_count) {
		c->action_head = c->action_count = 0;
		return false;
	}
	*out = c->actions[c->action_head++];
	return true;
}

/* ---- Events ---- */

/* Every candidate computes the same ranking from the same live list. */
void
ld_replica_set_nodes(
    struct ld_replica *c, const struct ld_str *ids, size_t n, uint64_t now_ms)
{
	uint64_t key = ld_hash64(ld_str_c(c->fabric), 0);
	uint64_t own = ld_hash64(ld_str_c(c->self), key);

	c->rank = 0;
	for (size_t i = 0; i < n; i++)
		c->rank += ld_hash64(ids[i], key) > own;
}

void
ld_replica_set_instances(struct ld_replica *c,
    const struct ld_replica_instance *list, size_t n, uint64_t now_ms)
{
	c->live_list_received = true;
	for (uint16_t i = 0; i < c->instances.count; i++)
		c->instances.v[i].listed = false;
	for (size_t k = 0; k < n; k++) {
		uint16_t i = instances_intern(
		    &c->instances, list[k].address, &c->record);

		if (i == NO_INSTANCE) {
			ld_log(LD_LOG_ERR, "replica",
			    "%s: too many instances, one was ignored",
			    c->fabric);
			continue;
		}
		c->instances.v[i].listed = true;
		c->instances.v[i].leaving = list[k].leaving;
	}
}

/* A new incarnation of an engine starts without weights and orders. */
static void
note_incarnation(
    struct ld_replica *c, uint16_t i, const struct ld_health_view *v)
{
	struct instance *in = &c->instances.v[i];
	bool had_incarnation =
	    in->view_received && in->view.incarnation[0] != '\0';

	if (!had_incarnation ||
	    strcmp(in->view.incarnation, v->incarnation) == 0)
		return;
	in->weights[0] = '\0';
	in->restarted = true;
	in->order_ms = 0;
	in->recent_failures++;
}

static void
note_assignment(
    struct instance *in, const struct ld_health_view *v, uint64_t now_ms)
{
	if (in->holds_since_ms == 0 || in->view.epoch != v->epoch ||
	    strcmp(in->view.replica, v->replica) != 0)
		in->holds_since_ms = now_ms;
}

static void
note_weights(struct ld_replica *c, struct instance *in)
{
	const struct ld_replica_entry *e;

	if (!in->view.ready || in->view.replica[0] == '\0')
		return;
	e = record_find(&c->record, in->view.replica);
	if (e != NULL && e->epoch == in->view.epoch)
		memcpy(in->weights, e->model, sizeof(in->weights));
}

static void
note_failure(struct instance *in, uint64_t now_ms)
{
	if (in->view.state == LD_HEALTH_LIVE) {
		if (in->healthy_since_ms == 0)
			in->healthy_since_ms = now_ms;
	} else if (in->view.state == LD_HEALTH_DEAD) {
		if (in->healthy_since_ms != 0)
			in->recent_failures++;
		in->healthy_since_ms = 0;
	}
	if (!in->view.straggler)
		in->straggler_since_ms = 0;
	else if (in->straggler_since_ms == 0)
		in->straggler_since_ms = now_ms;
}

void
ld_replica_on_view(
    struct ld_replica *c, const struct ld_health_view *v, uint64_t now_ms)
{
	uint16_t i = instances_find(&c->instances, ld_str_c(v->address));
	struct instance *in;

	if (i == NO_INSTANCE)
		return;
	in = &c->instances.v[i];
	if (v->fresh) {
		note_incarnation(c, i, v);
		note_assignment(in, v, now_ms);
	}
	in->view_received = true;
	if (v->fresh) {
		in->view = *v;
		in->fresh_until_ms =
		    now_ms + c->config.report_ttl_ms - v->age_ms;
		if (v->epoch > c->highest_epoch)
			c->highest_epoch = v->epoch;
		note_weights(c, in);
	} else {
		/* Keeps the last report: the weights may still be loaded. */
		in->view.state = v->state;
		in->view.fresh = false;
	}
	note_failure(in, now_ms);
}

/* The failure count is reset after this many settling times per failure. */
#define FAILURE_EXPIRY_SETTLES 20

static void
update_instance_times(struct ld_replica *c, uint64_t now_ms)
{
	uint64_t expiry_ms =
	    FAILURE_EXPIRY_SETTLES * (uint64_t)c->config.plan.settle_ms;

	for (uint16_t i = 0; i < c->instances.count; i++) {
		struct instance *in = &c->instances.v[i];

		if (instance_fresh(in, now_ms))
			in->stale_since_ms = 0;
		else if (in->stale_since_ms == 0)
			in->stale_since_ms = now_ms;
		if (in->recent_failures > 0 && in->healthy_since_ms != 0 &&
		    now_ms >=
			in->healthy_since_ms + expiry_ms * in->recent_failures)
			in->recent_failures = 0;
	}
}

void
ld_replica_on_store_result(struct ld_replica *c, uint64_t call,
    const struct ld_replica_store_result *r, uint64_t now_ms)
{
	struct pending p;

	if (call != 0 && call == c->lease_call.call) {
		p = c->lease_call;
		c->lease_call.call = 0;
		lease_result(c, p.type, p.sent_ms, r, now_ms);
	} else if (call != 0 && call == c->record_call.call) {
		p = c->record_call;
		c->record_call.call = 0;
		/* Ignored when the lease has expired since the call. */
		if (lease_valid(c, now_ms))
			record_result(c, p.type, r, now_ms);
	}
	ld_replica_tick(c, now_ms);
}

void
ld_replica_on_order_result(
    struct ld_replica *c, uint64_t call, enum ld_status status, uint64_t now_ms)
{
	if (status == LD_E_STALE && c->role >= LD_REPLICA_WAITING) {
		lease_step_down(c, "an engine holds a higher fence", now_ms);
		return;
	}
	if (status == LD_OK)
		return;
	for (uint16_t i = 0; i < c->instances.count; i++) {
		struct instance *in = &c->instances.v[i];

		/* Not sent or refused: retried without the usual wait. */
		if (in->order_call == call && status == LD_E_UNAVAILABLE)
			in->order_ms = 0;
	}
}

void
ld_replica_tick(struct ld_replica *c, uint64_t now_ms)
{
	update_instance_times(c, now_ms);
	lease_tick(c, now_ms);
	record_tick(c, now_ms);
	if (lease_valid(c, now_ms))
		orders_tick(c, now_ms);
}

bool
ld_replica_may_order(const struct ld_replica *c,
    const struct ld_replica_order *o, uint64_t now_ms)
{
	return lease_valid(c, now_ms) && o->fence == c->fence;
}

/* ---- Accessors ---- */

enum ld_replica_role
ld_replica_role(const struct ld_replica *c)
{
	return c->role;
}

const char *
ld_replica_role_name(enum ld_replica_role r)
{
	static const char *const names[LD_REPLICA_ROLE_COUNT] = {
	    "follower", "acquiring", "waiting", "holder"};

	return r < LD_REPLICA_ROLE_COUNT ? names[r] : "unknown";
}

const char *
ld_replica_action_name(enum ld_replica_action_type t)
{
	static const char *const names[LD_REPLICA_ACTION_COUNT] = {
	    "lease-grant", "lease-keepalive", "lease-revoke", "control-create",
	    "control-read", "record-read", "record-write", "order"};

	return t < LD_REPLICA_ACTION_COUNT ? names[t] : "unknown";
}

const struct ld_replica_record *
ld_replica_record(const struct ld_replica *c)
{
	return &c->record;
}

uint64_t
ld_replica_record_revision(const struct ld_replica *c)
{
	return c->revision;
}

const char *
ld_replica_instance_address(const struct ld_replica *c, uint16_t i)
{
	return i < c->instances.count ? c->instances.v[i].address : "";
}

uint64_t
ld_replica_fence(const struct ld_replica *c)
{
	return c->fence;
}
