/* Simulation of several controllers with a simulated store, engines and
 * routers, with pauses, outages, lost responses and delayed orders. After each
 * step the safety properties are checked from the routers' view. */
#ifndef REPLICA_WORLD_H
#define REPLICA_WORLD_H

#include "replica_engines.h"

static void
check_epoch(const struct node *n, const struct ld_replica_order *o)
{
	struct epoch_seen *e;
	char members[512] = "";
	int at = 0;

	if (!o->load)
		return;
	for (uint16_t m = 0; m < o->member_count; m++)
		at += snprintf(members + at, sizeof(members) - (size_t)at,
		    "%s ", ld_replica_instance_address(n->c, o->members[m]));
	for (size_t i = 0; i < w.epoch_count; i++) {
		e = &w.epochs[i];
		if (e->epoch != o->epoch || strcmp(e->replica, o->replica) != 0)
			continue;
		if (strcmp(e->members, members) != 0)
			violation("epoch used twice", o->replica);
		return;
	}
	if (w.epoch_count == EPOCHS)
		return;
	e = &w.epochs[w.epoch_count++];
	set_text(e->replica, sizeof(e->replica), o->replica);
	set_text(e->members, sizeof(e->members), members);
	e->epoch = o->epoch;
}

static void
trace_action(int node, const struct ld_replica_action *a)
{
	if (!w.tracing)
		return;
	ld_buf_printf(&w.trace, "%llu n%d %s", (unsigned long long)w.now_ms,
	    node, ld_replica_action_name(a->type));
	if (a->type == LD_REPLICA_ORDER)
		ld_buf_printf(&w.trace,
		    " %s %s %s epoch %llu fence %llu life %u", a->order.address,
		    a->order.load ? "load" : "unload", a->order.replica,
		    (unsigned long long)a->order.epoch,
		    (unsigned long long)a->order.fence, a->order.expires_ms);
	ld_buf_printf(&w.trace, "\n");
}

static void
send(int node, const struct ld_replica_action *a)
{
	struct flight *f;

	trace_action(node, a);
	if (a->type == LD_REPLICA_ORDER) {
		if (!ld_replica_may_order(w.nodes[node].c, &a->order, w.now_ms))
			return;
		check_epoch(&w.nodes[node], &a->order);
		w.orders++;
	}
	f = new_flight();
	f->answer = false;
	f->node = node;
	f->action = *a;
	f->engine = engine_index(a->order.address);
	f->due_ms = w.now_ms + delay_ms(300);
	if (chance(0.03)) { /* delayed in transit */
		f->due_ms += delay_ms(30000);
		w.orders_late += a->type == LD_REPLICA_ORDER;
	}
	snprintf(f->value, sizeof(f->value), "%.*s", LD_FMT(a->value));
}

static void
deliver_order(struct flight *f)
{
	enum ld_status st = LD_E_TIMEOUT;

	if (!chance(0.2) && w.now_ms >= w.engines[f->engine].deaf_until_ms)
		st = engine_order(&w.engines[f->engine], &f->action.order);
	if (chance(0.05))
		st = LD_E_TIMEOUT;
	ld_replica_on_order_result(
	    w.nodes[f->node].c, f->action.call, st, w.now_ms);
}

static void
deliver(struct flight *f)
{
	bool paused = w.now_ms < w.nodes[f->node].paused_until_ms;

	if (f->action.type == LD_REPLICA_ORDER) {
		deliver_order(f);
	} else if (!f->answer) {
		store_apply(f);
	} else if (paused) {
		f->due_ms = w.nodes[f->node].paused_until_ms;
		return;
	} else {
		f->result.value = ld_str_c(f->result_value);
		ld_replica_on_store_result(
		    w.nodes[f->node].c, f->action.call, &f->result, w.now_ms);
	}
	f->used = false;
}

static void
node_tick(int i)
{
	struct node *n = &w.nodes[i];
	struct ld_replica_action a;

	if (chance(0.002))
		n->paused_until_ms = w.now_ms + delay_ms(15000);
	if (w.now_ms < n->paused_until_ms)
		return;
	if (w.now_ms % 500 == 0)
		feed_views(n);
	ld_replica_tick(n->c, w.now_ms);
	while (ld_replica_next_action(n->c, &a))
		send(i, &a);
}

static void
list_engines(void)
{
	struct ld_replica_instance list[ENGINES];

	for (int i = 0; i < ENGINES; i++)
		list[i] = (struct ld_replica_instance){
		    ld_str_c(w.engines[i].address), w.engines[i].leaving};
	for (int i = 0; i < w.node_count; i++)
		ld_replica_set_instances(w.nodes[i].c, list, ENGINES, w.now_ms);
}

static void
run_until(uint64_t end_ms)
{
	for (; w.now_ms < end_ms; w.now_ms += STEP_MS) {
		if (chance(0.0005))
			w.store.out_until_ms = w.now_ms + delay_ms(20000);
		for (int i = 0; i < ENGINES; i++)
			engine_tick(&w.engines[i]);
		if (w.now_ms % 1000 == 0)
			list_engines();
		for (int i = 0; i < w.node_count; i++)
			node_tick(i);
		for (int i = 0; i < FLIGHTS; i++) {
			if (w.flights[i].used &&
			    w.now_ms >= w.flights[i].due_ms)
				deliver(&w.flights[i]);
		}
		for (int i = 0; i < ROUTERS; i++)
			router_tick(&w.routers[i]);
		check_safety();
	}
}

static void
world_new(uint64_t seed, bool checks_fence, int nodes, bool faults)
{
	struct ld_replica_config c;
	struct ld_str ids[CONTROLLERS];

	memset(&w, 0, sizeof(w));
	ld_rand_seed(&w.rand, seed);
	w.flights = ld_alloc(FLIGHTS * sizeof(*w.flights));
	w.faults = faults;
	w.now_ms = 1000;
	w.node_count = nodes;
	for (int i = 0; i < ENGINES; i++) {
		snprintf(w.engines[i].address, sizeof(w.engines[i].address),
		    "10.0.0.%d:9100", i + 1);
		w.engines[i].checks_fence = checks_fence;
		w.engines[i].incarnation = 1;
	}
	ld_replica_defaults(&c);
	c.fabric = LD_STR("f1");
	c.ttl_ms = TTL_MS;
	c.renew_ms = 1000;
	c.margin_ms = 200;
	c.order_life_ms = 1000;
	c.order_retry_ms = 2000;
	c.plan.settle_ms = 1000;
	c.plan.drain_ms = 20000;
	c.plan.max_loads = 2;
	c.plan.fixed_spares = seed % 4 == 0 ? 1 : 0;
	c.plan.models[0] =
	    (struct ld_replica_model){LD_STR("large"), 3, 2, false};
	c.plan.models[1] =
	    (struct ld_replica_model){LD_STR("small"), 2, 0, true};
	c.plan.model_count = world_models;
	for (int i = 0; i < nodes; i++) {
		snprintf(w.nodes[i].id, sizeof(w.nodes[i].id), "node%d", i);
		ids[i] = ld_str_c(w.nodes[i].id);
	}
	for (int i = 0; i < nodes; i++) {
		c.self = ids[i];
		c.seed = seed * CONTROLLERS + (uint64_t)i;
		w.nodes[i].c = ld_replica_new(&c, w.now_ms);
		ld_replica_set_nodes(
		    w.nodes[i].c, ids, (size_t)nodes, w.now_ms);
	}
	list_engines();
}

static void
world_free(void)
{
	for (int i = 0; i < w.node_count; i++)
		ld_replica_free(w.nodes[i].c);
	for (int i = 0; i < ROUTERS; i++)
		ld_placement_free(w.routers[i].placement);
	ld_buf_free(&w.trace);
	free(w.flights);
}

static size_t
count_serving(const char *model)
{
	const struct router *r = &w.routers[0];
	size_t n = 0;

	for (size_t k = 0; r->placement && k < r->placement->n_replicas; k++)
		n += strcmp(r->placement->replicas[k].model, model) == 0 &&
		    router_serves(r, &r->placement->replicas[k]);
	return n;
}

#endif
