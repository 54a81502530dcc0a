/*
 * Orders: sends load and unload orders to engines whose own report differs from
 * the confirmed record, and repeats them until the report agrees.
 */
#include <stdlib.h>
#include <string.h>

#include "replica_internal.h"

static uint32_t
order_life_ms(const struct ld_replica *c, uint64_t now_ms)
{
	uint64_t left = c->deadline_ms - now_ms;

	return left < c->config.order_life_ms ? (uint32_t)left
					      : c->config.order_life_ms;
}

static struct ld_replica_order *
push_order(struct ld_replica *c, uint16_t i, uint64_t now_ms)
{
	struct instance *in = &c->instances.v[i];
	struct ld_replica_action *a = action_push(c, LD_REPLICA_ORDER);

	memcpy(a->order.address, in->address, sizeof(in->address));
	a->order.fence = c->fence;
	a->order.expires_ms = order_life_ms(c, now_ms);
	in->order_call = a->call;
	in->order_ms = now_ms;
	return &a->order;
}

static void
order_load(struct ld_replica *c, const struct ld_replica_entry *e, uint16_t i,
    uint64_t now_ms)
{
	struct instance *in = &c->instances.v[i];
	struct ld_replica_order *o = push_order(c, i, now_ms);

	memcpy(o->replica, e->id, sizeof(o->replica));
	memcpy(o->model, e->model, sizeof(o->model));
	memcpy(o->members, e->members, sizeof(o->members));
	o->member_count = e->member_count;
	o->epoch = e->epoch;
	o->load = true;
	in->order_epoch = e->epoch;
	in->order_loads_weights = !instance_has_weights(in, e->model);
}

static void
order_unload(struct ld_replica *c, uint16_t i, uint64_t now_ms)
{
	struct instance *in = &c->instances.v[i];
	struct ld_replica_order *o = push_order(c, i, now_ms);

	memcpy(o->replica, in->view.replica, sizeof(o->replica));
	o->epoch = in->view.epoch;
	in->order_epoch = 0;
	in->order_loads_weights = false;
}

static bool
order_is_recent(const struct ld_replica *c, const struct instance *in,
    uint64_t epoch, uint64_t now_ms)
{
	return in->order_ms != 0 && in->order_epoch == epoch &&
	    now_ms < in->order_ms + c->config.order_retry_ms;
}

/* Whether instance @in, a member of @e, is loading from the weight store. */
static bool
is_loading(const struct ld_replica *c, const struct ld_replica_entry *e,
    const struct instance *in, uint64_t now_ms)
{
	if (!in->order_loads_weights || in->order_epoch != e->epoch)
		return false;
	if (instance_holds(in, e, now_ms))
		return !in->view.ready;
	return order_is_recent(c, in, e->epoch, now_ms);
}

static uint16_t
count_loading(const struct ld_replica *c, uint64_t now_ms)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < c->record.count; i++) {
		const struct ld_replica_entry *e = &c->record.replicas[i];

		if (e->state != LD_REPLICA_FORMING)
			continue;
		for (uint16_t m = 0; m < e->member_count; m++)
			n += is_loading(
			    c, e, &c->instances.v[e->members[m]], now_ms);
	}
	return n;
}

/* Orders the loads of one replica, up to max_loads from the weight store. */
static void
order_replica(struct ld_replica *c, const struct ld_replica_entry *e,
    uint16_t *in_flight, uint64_t now_ms)
{
	for (uint16_t m = 0; m < e->member_count; m++) {
		struct instance *in = &c->instances.v[e->members[m]];
		bool from_store = !instance_has_weights(in, e->model);

		if (instance_holds(in, e, now_ms) ||
		    !instance_fresh(in, now_ms) ||
		    order_is_recent(c, in, e->epoch, now_ms))
			continue;
		if (from_store && *in_flight >= c->config.plan.max_loads)
			continue;
		*in_flight += from_store;
		order_load(c, e, e->members[m], now_ms);
	}
}

/** struct load_candidate - a forming replica, sorted by load priority */
struct load_candidate {
	size_t model;
	size_t missing;
	uint16_t index;
	bool warm_spare; /* comes last */
};

/*
 * Models in their configured order, then the replica with the fewest missing
 * loads: completing one replica at a time lets the first ones serve early,
 * while loads spread over all replicas would make all of them late.
 */
static int
compare_load_candidates(const void *va, const void *vb)
{
	const struct load_candidate *a = va;
	const struct load_candidate *b = vb;

	if (a->warm_spare != b->warm_spare)
		return a->warm_spare ? 1 : -1;
	if (a->model != b->model)
		return a->model < b->model ? -1 : 1;
	if (a->missing != b->missing)
		return a->missing < b->missing ? -1 : 1;
	return (int)a->index - (int)b->index;
}

static uint16_t
collect_load_candidates(
    const struct ld_replica *c, struct load_candidate *out, uint64_t now_ms)
{
	const struct ld_replica_plan_config *p = &c->config.plan;
	uint16_t n = 0;

	for (uint16_t i = 0; i < c->record.count; i++) {
		const struct ld_replica_entry *e = &c->record.replicas[i];
		const struct ld_replica_model *m = plan_model(p, e->model);

		if (e->state != LD_REPLICA_FORMING || m == NULL)
			continue;
		out[n].warm_spare = plan_is_warm_spare(p, e);
		out[n].model = (size_t)(m - p->models);
		out[n].missing = plan_loads_missing(&c->instances, e, now_ms);
		out[n].index = i;
		n++;
	}
	qsort(out, n, sizeof(*out), compare_load_candidates);
	return n;
}

/* Orders engines to unload replicas that the record doesn't assign to them. */
static void
order_unloads(struct ld_replica *c, uint64_t now_ms)
{
	for (uint16_t i = 0; i < c->instances.count; i++) {
		struct instance *in = &c->instances.v[i];

		if (!in->used || !in->listed || in->leaving ||
		    !instance_fresh(in, now_ms) || in->view.replica[0] == '\0')
			continue;
		if (record_replica_of(&c->record, i) != NULL ||
		    order_is_recent(c, in, 0, now_ms))
			continue;
		order_unload(c, i, now_ms);
	}
}

void
orders_tick(struct ld_replica *c, uint64_t now_ms)
{
	struct load_candidate candidates[LD_REPLICA_MAX];
	uint16_t in_flight, n;

	/* Without models there is nothing to place, and nothing is unloaded. */
	if (c->role != LD_REPLICA_HOLDER || !c->record_confirmed ||
	    c->config.plan.model_count == 0)
		return;
	in_flight = count_loading(c, now_ms);
	n = collect_load_candidates(c, candidates, now_ms);
	for (uint16_t i = 0; i < n; i++)
		order_replica(c, &c->record.replicas[candidates[i].index],
		    &in_flight, now_ms);
	order_unloads(c, now_ms);
}
