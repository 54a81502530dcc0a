/* Simulated engines and their observers: controllers and routers. */
#ifndef REPLICA_ENGINES_H
#define REPLICA_ENGINES_H

#include "replica_store.h"

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
	/* A router cut off from the store and peers keeps its old record. */
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
router_serves(const struct router *r, const struct ld_placed_replica *p)
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
check_router(const struct router *r, const struct ld_placed_replica **used)
{
	if (r->placement == NULL)
		return;
	for (size_t k = 0; k < r->placement->n_replicas; k++) {
		const struct ld_placed_replica *p = &r->placement->replicas[k];

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
	const struct ld_placed_replica *used[ENGINES] = {NULL};
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

#endif
