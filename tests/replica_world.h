/*
 * Sessions of several controllers against a model store, model engines and
 * model routers, with pauses, outages, lost answers and delayed orders. After
 * each step the safety properties are checked as the routers would see them.
 */
#ifndef REPLICA_WORLD_H
#define REPLICA_WORLD_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_replica.h"

#define STEP_MS 100
#define ENGINES 10
#define CONTROLLERS 3
#define ROUTERS 2
#define LEASES 256
#define FLIGHTS 384
#define EPOCHS 1024
#define TTL_MS 4000
#define REPORT_TTL_MS 3000
#define CALL_TIMEOUT_MS 1000
#define LOAD_MS 200
#define DEAD_MS 1500
#define VALUE_MAX 16384

struct lease {
	uint64_t until_ms;
};

struct store {
	uint64_t revision;
	struct lease leases[LEASES];
	uint64_t lease_count;
	bool has_control;
	char control[128];
	uint64_t control_revision;
	uint64_t control_lease;
	char record[VALUE_MAX];
	uint64_t record_revision;
	uint64_t out_until_ms;
};

struct engine {
	char address[32];
	bool checks_fence;
	uint64_t fence;
	uint64_t incarnation;
	char replica[LD_HEALTH_NAME_MAX];
	uint64_t epoch;
	uint64_t ready_ms;
	uint64_t down_until_ms; /* killed: comes back empty */
	uint64_t frozen_until_ms; /* comes back as if nothing happened */
	uint64_t answered_ms; /* last moment at which it could answer */
	bool leaving;
	uint64_t deaf_until_ms; /* orders get lost */
};

/* What one observer was last told by each engine. */
struct told {
	struct ld_health_view view;
	uint64_t at_ms;
	uint64_t deaf_until_ms; /* reports don't get through */
};

struct router {
	struct ld_replica_record record;
	struct ld_placement *placement;
	uint64_t revision;
	uint64_t cut_until_ms;
	struct told told[ENGINES];
};

struct node {
	struct ld_replica *c;
	char id[32];
	uint64_t paused_until_ms;
	struct told told[ENGINES];
};

/* A message under way: a store call, its answer, or an order. */
struct flight {
	bool used;
	bool answer;
	uint64_t due_ms;
	int node;
	struct ld_replica_action action;
	char value[VALUE_MAX];
	struct ld_replica_store_result result;
	char result_value[VALUE_MAX];
	int engine;
};

/* Members that an epoch of a replica was ordered with. */
struct epoch_seen {
	char replica[LD_HEALTH_NAME_MAX];
	uint64_t epoch;
	char members[512];
};

struct world {
	struct ld_rand rand;
	uint64_t now_ms;
	bool faults;
	struct store store;
	struct engine engines[ENGINES];
	struct node nodes[CONTROLLERS];
	int node_count;
	struct router routers[ROUTERS];
	struct flight *flights;
	struct epoch_seen epochs[EPOCHS];
	size_t epoch_count;
	struct ld_buf trace;
	bool tracing;
	bool lose_write; /* the answer to the next record write */
	size_t violations;
	size_t overlaps; /* steps with an instance in two serving replicas */
	size_t orders;
	size_t orders_late;
};

static struct world w;
/* Models that the controllers of a new world are told of. */
static size_t world_models = 2;

/* A router that never heard of a record change keeps the old one. */
#define FOREVER UINT64_MAX

static bool
chance(double p)
{
	return w.faults && ld_rand_unit(&w.rand) < p;
}

static void
violation(const char *what, const char *who)
{
	if (w.violations++ < 5)
		printf("at %llu ms: %s: %s\n", (unsigned long long)w.now_ms,
		    what, who);
}

static void
set_text(char *out, size_t size, const char *text)
{
	snprintf(out, size, "%s", text);
}

/* ---- Store ---- */

static bool
lease_live(uint64_t id)
{
	return id > 0 && id <= w.store.lease_count &&
	    w.now_ms < w.store.leases[id - 1].until_ms;
}

static void
expire_control(void)
{
	if (w.store.has_control && !lease_live(w.store.control_lease)) {
		w.store.has_control = false;
		w.store.revision++;
	}
}

static void
store_lease(
    const struct ld_replica_action *a, struct ld_replica_store_result *r)
{
	struct store *s = &w.store;

	if (a->type == LD_REPLICA_LEASE_GRANT) {
		if (s->lease_count == LEASES) {
			r->status = LD_E_UNAVAILABLE;
			return;
		}
		s->leases[s->lease_count++].until_ms = w.now_ms + a->ttl_ms;
		r->lease = s->lease_count;
	} else if (!lease_live(a->lease)) {
		r->status = LD_E_NOT_FOUND;
	} else if (a->type == LD_REPLICA_LEASE_KEEPALIVE) {
		s->leases[a->lease - 1].until_ms = w.now_ms + TTL_MS;
	} else {
		s->leases[a->lease - 1].until_ms = 0;
	}
}

static void
store_control(
    const struct flight *f, struct ld_replica_store_result *r, char *value)
{
	struct store *s = &w.store;

	if (f->action.type == LD_REPLICA_CONTROL_READ) {
		r->status = s->has_control ? LD_OK : LD_E_NOT_FOUND;
		set_text(value, VALUE_MAX, s->control);
		r->revision = s->control_revision;
		r->lease = s->control_lease;
	} else if (s->has_control) {
		r->status = LD_E_CONFLICT;
	} else if (!lease_live(f->action.lease)) {
		r->status = LD_E_NOT_FOUND;
	} else {
		s->has_control = true;
		set_text(s->control, sizeof(s->control), f->value);
		s->control_revision = ++s->revision;
		s->control_lease = f->action.lease;
		r->revision = s->control_revision;
	}
}

static void
store_record(
    const struct flight *f, struct ld_replica_store_result *r, char *value)
{
	struct store *s = &w.store;

	if (f->action.type == LD_REPLICA_RECORD_READ) {
		r->status = s->record_revision > 0 ? LD_OK : LD_E_NOT_FOUND;
		r->revision = s->record_revision;
		set_text(value, VALUE_MAX, s->record);
	} else if (f->action.expected != s->record_revision) {
		r->status = LD_E_CONFLICT;
	} else {
		set_text(s->record, sizeof(s->record), f->value);
		s->record_revision = ++s->revision;
		r->revision = s->record_revision;
		if (w.tracing)
			ld_buf_printf(&w.trace, "  record %llu %s\n",
			    (unsigned long long)s->record_revision, s->record);
	}
}

static struct flight *
new_flight(void)
{
	for (int i = 0; i < FLIGHTS; i++) {
		if (w.flights[i].used)
			continue;
		w.flights[i].used = true;
		return &w.flights[i];
	}
	abort();
}

static uint64_t
delay_ms(uint64_t most)
{
	return w.faults ? ld_rand_below(&w.rand, most) : 0;
}

static void
store_apply(struct flight *f)
{
	struct flight *back = new_flight();

	expire_control();
	back->answer = true;
	back->node = f->node;
	back->action = f->action;
	back->due_ms = w.now_ms + delay_ms(300);
	back->result_value[0] = '\0';
	memset(&back->result, 0, sizeof(back->result));
	if (w.now_ms < w.store.out_until_ms) {
		back->result.status = LD_E_UNAVAILABLE;
		return;
	}
	switch (f->action.type) {
	case LD_REPLICA_CONTROL_READ:
	case LD_REPLICA_CONTROL_CREATE:
		store_control(f, &back->result, back->result_value);
		break;
	case LD_REPLICA_RECORD_READ:
	case LD_REPLICA_RECORD_WRITE:
		store_record(f, &back->result, back->result_value);
		break;
	default:
		store_lease(&f->action, &back->result);
	}
	if (chance(0.05) ||
	    (w.lose_write && f->action.type == LD_REPLICA_RECORD_WRITE)) {
		/* It took effect, and its answer is lost. */
		w.lose_write = false;
		back->result.status = LD_E_TIMEOUT;
		back->due_ms = w.now_ms + CALL_TIMEOUT_MS;
	}
}

/* ---- Engines ---- */

static bool
engine_up(const struct engine *e)
{
	return w.now_ms >= e->down_until_ms && w.now_ms >= e->frozen_until_ms;
}

static enum ld_status
engine_order(struct engine *e, const struct ld_replica_order *o)
{
	if (!engine_up(e))
		return LD_E_TIMEOUT;
	if (e->checks_fence && o->fence < e->fence)
		return LD_E_STALE;
	if (o->fence > e->fence)
		e->fence = o->fence;
	if (!o->load) {
		e->replica[0] = '\0';
		e->epoch = 0;
		return LD_OK;
	}
	memcpy(e->replica, o->replica, sizeof(e->replica));
	e->epoch = o->epoch;
	e->ready_ms = w.now_ms + LOAD_MS;
	return LD_OK;
}

static void
engine_tick(struct engine *e)
{
	if (engine_up(e))
		e->answered_ms = w.now_ms;
	if (!w.faults || e->down_until_ms > w.now_ms)
		return;
	if (chance(0.001)) { /* killed */
		e->down_until_ms = w.now_ms + 1000 + delay_ms(30000);
		e->replica[0] = '\0';
		e->epoch = 0;
		e->fence = 0;
		e->incarnation++;
	} else if (chance(0.001)) {
		e->frozen_until_ms = w.now_ms + delay_ms(20000);
	} else if (chance(0.001)) {
		e->leaving = !e->leaving;
	}
}

/* ---- Observers ---- */

static void
observe(struct told *t, const struct engine *e)
{
	struct ld_health_view *v = &t->view;

	if (chance(0.01))
		t->deaf_until_ms = w.now_ms + delay_ms(4000);
	if (engine_up(e) && w.now_ms >= t->deaf_until_ms) {
		memset(v, 0, sizeof(*v));
		set_text(v->address, sizeof(v->address), e->address);
		set_text(v->replica, sizeof(v->replica), e->replica);
		snprintf(v->incarnation, sizeof(v->incarnation), "i%llu",
		    (unsigned long long)e->incarnation);
		v->epoch = e->epoch;
		v->ready = e->replica[0] != '\0' && w.now_ms >= e->ready_ms;
		v->state = LD_HEALTH_LIVE;
		v->fresh = true;
		t->at_ms = w.now_ms;
	}
	if (t->at_ms != 0 && w.now_ms >= t->at_ms + REPORT_TTL_MS)
		v->fresh = false;
	if (!engine_up(e) && w.now_ms >= e->answered_ms + DEAD_MS)
		v->state = LD_HEALTH_DEAD;
	v->age_ms = (uint32_t)(w.now_ms - t->at_ms);
}

static void
feed_views(struct node *n)
{
	for (int i = 0; i < ENGINES; i++) {
		struct ld_health_view v;

		observe(&n->told[i], &w.engines[i]);
		v = n->told[i].view;
		set_text(v.address, sizeof(v.address), w.engines[i].address);
		if (!v.fresh)
			v.age_ms = 0;
		ld_replica_on_view(n->c, &v, w.now_ms);
	}
}

static void
router_tick(struct router *r)
{
	struct ld_placement *p = NULL;

	if (chance(0.002))
		r->cut_until_ms = w.now_ms + delay_ms(20000);
	for (int i = 0; i < ENGINES; i++)
		observe(&r->told[i], &w.engines[i]);
	/* A router that is cut off from the store and peers keeps a record. */
	if (w.now_ms < r->cut_until_ms ||
	    w.store.record_revision == r->revision)
		return;
	if (ld_placement_parse(ld_str_c(w.store.record),
		(int64_t)w.store.record_revision, &p, NULL) != LD_OK) {
		violation("record is not valid", w.store.record);
		return;
	}
	ld_placement_free(r->placement);
	r->placement = p;
	r->revision = w.store.record_revision;
}

static int
engine_index(const char *address)
{
	for (int i = 0; i < ENGINES; i++) {
		if (strcmp(w.engines[i].address, address) == 0)
			return i;
	}
	return -1;
}

/* The rule that routers apply before they forward. */
static bool
router_serves(const struct router *r, const struct ld_placed *p)
{
	if (p->state != LD_REPLICA_SERVING)
		return false;
	for (size_t m = 0; m < p->n_members; m++) {
		const struct told *t = &r->told[engine_index(p->members[m])];

		if (!t->view.fresh || w.now_ms >= t->at_ms + REPORT_TTL_MS ||
		    !t->view.ready || t->view.state == LD_HEALTH_DEAD ||
		    t->view.epoch != (uint64_t)p->epoch ||
		    strcmp(t->view.replica, p->id) != 0)
			return false;
	}
	return true;
}

static void
check_router(const struct router *r, const struct ld_placed **used)
{
	if (r->placement == NULL)
		return;
	for (size_t k = 0; k < r->placement->n_replicas; k++) {
		const struct ld_placed *p = &r->placement->replicas[k];

		if (!router_serves(r, p))
			continue;
		for (size_t m = 0; m < p->n_members; m++) {
			int i = engine_index(p->members[m]);
			const struct engine *e = &w.engines[i];

			if (!engine_up(e) &&
			    w.now_ms >= e->answered_ms + REPORT_TTL_MS)
				violation("serves without", e->address);
			if (used[i] != NULL &&
			    (strcmp(used[i]->id, p->id) != 0 ||
				used[i]->epoch != p->epoch))
				w.overlaps++;
			used[i] = p;
		}
	}
}

static void
check_safety(void)
{
	const struct ld_placed *used[ENGINES] = {NULL};
	int holders = 0;

	for (int i = 0; i < ROUTERS; i++)
		check_router(&w.routers[i], used);
	for (int i = 0; i < w.node_count; i++) {
		struct ld_replica_order o = {
		    .fence = ld_replica_fence(w.nodes[i].c)};

		holders += ld_replica_may_order(w.nodes[i].c, &o, w.now_ms);
	}
	if (holders > 1)
		violation("two controllers may order", "");
}

/* ---- Messages ---- */

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
		    "%s ", ld_replica_instance_name(n->c, o->members[m]));
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
	if (chance(0.03)) { /* held up on the way */
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
	ld_replica_on_order(w.nodes[f->node].c, f->action.call, st, w.now_ms);
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
		ld_replica_on_store(
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
