/*
 * Orders: whatever the confirmed record says and an engine's own report does
 * not, is ordered, and ordered again until the report says it.
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
	in->order_from_store = !instance_has_weights(in, e->model);
}

static void
order_unload(struct ld_replica *c, uint16_t i, uint64_t now_ms)
{
	struct instance *in = &c->instances.v[i];
	struct ld_replica_order *o = push_order(c, i, now_ms);

	memcpy(o->replica, in->view.replica, sizeof(o->replica));
	o->epoch = in->view.epoch;
	in->order_epoch = 0;
	in->order_from_store = false;
}

static bool
order_recent(const struct ld_replica *c, const struct instance *in,
    uint64_t epoch, uint64_t now_ms)
{
	return in->order_ms != 0 && in->order_epoch == epoch &&
	    now_ms < in->order_ms + c->config.order_retry_ms;
}

/* Whether instance @in, member of @e, loads from the weight store now. */
static bool
loading(const struct ld_replica *c, const struct ld_replica_entry *e,
    const struct instance *in, uint64_t now_ms)
{
	if (!in->order_from_store || in->order_epoch != e->epoch)
		return false;
	if (instance_holds(in, e, now_ms))
		return !in->view.ready;
	return order_recent(c, in, e->epoch, now_ms);
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
			n += loading(
			    c, e, &c->instances.v[e->members[m]], now_ms);
	}
	return n;
}

/* Loads of one replica, as far as the weight store's share allows. */
static void
order_replica(struct ld_replica *c, const struct ld_replica_entry *e,
    uint16_t *in_flight, uint64_t now_ms)
{
	for (uint16_t m = 0; m < e->member_count; m++) {
		struct instance *in = &c->instances.v[e->members[m]];
		bool from_store = !instance_has_weights(in, e->model);

		if (instance_holds(in, e, now_ms) ||
		    !instance_fresh(in, now_ms) ||
		    order_recent(c, in, e->epoch, now_ms))
			continue;
		if (from_store && *in_flight >= c->config.plan.max_loads)
			continue;
		*in_flight += from_store;
		order_load(c, e, e->members[m], now_ms);
	}
}

/** struct turn - place of a forming replica in the order of loads */
struct turn {
	size_t model;
	size_t missing;
	uint16_t index;
	bool warming; /* nothing waits for it */
};

/*
 * Most needed model first, then the replica that lacks fewest loads: one that
 * is whole early serves early, while loads spread over all finish all late.
 */
static int
compare_turns(const void *va, const void *vb)
{
	const struct turn *a = va;
	const struct turn *b = vb;

	if (a->warming != b->warming)
		return a->warming ? 1 : -1;
	if (a->model != b->model)
		return a->model < b->model ? -1 : 1;
	if (a->missing != b->missing)
		return a->missing < b->missing ? -1 : 1;
	return (int)a->index - (int)b->index;
}

static uint16_t
collect_turns(const struct ld_replica *c, struct turn *out, uint64_t now_ms)
{
	const struct ld_replica_plan_config *p = &c->config.plan;
	uint16_t n = 0;

	for (uint16_t i = 0; i < c->record.count; i++) {
		const struct ld_replica_entry *e = &c->record.replicas[i];
		const struct ld_replica_model *m = plan_model(p, e->model);

		if (e->state != LD_REPLICA_FORMING || m == NULL)
			continue;
		out[n].warming = plan_warming(p, e);
		out[n].model = (size_t)(m - p->models);
		out[n].missing = plan_loads_missing(&c->instances, e, now_ms);
		out[n].index = i;
		n++;
	}
	qsort(out, n, sizeof(*out), compare_turns);
	return n;
}

/* Engines that hold a replica which the record doesn't give them. */
static void
order_unloads(struct ld_replica *c, uint64_t now_ms)
{
	for (uint16_t i = 0; i < c->instances.count; i++) {
		struct instance *in = &c->instances.v[i];

		if (!in->used || !in->listed || in->leaving ||
		    !instance_fresh(in, now_ms) || in->view.replica[0] == '\0')
			continue;
		if (record_owner(&c->record, i) != NULL ||
		    order_recent(c, in, 0, now_ms))
			continue;
		order_unload(c, i, now_ms);
	}
}

void
orders_tick(struct ld_replica *c, uint64_t now_ms)
{
	struct turn turns[LD_REPLICA_MAX];
	uint16_t in_flight, n;

	/* Without models nothing is placed, and nothing is to be undone. */
	if (c->role != LD_REPLICA_HOLDER || !c->record_known ||
	    c->config.plan.model_count == 0)
		return;
	in_flight = count_loading(c, now_ms);
	n = collect_turns(c, turns, now_ms);
	for (uint16_t i = 0; i < n; i++)
		order_replica(
		    c, &c->record.replicas[turns[i].index], &in_flight, now_ms);
	order_unloads(c, now_ms);
}
