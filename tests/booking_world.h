/* Simulation of lib/booking on virtual time: a store, a service with a ledger,
 * nodes and callers. Faults are drawn from a seeded generator. */
#ifndef BOOKING_WORLD_H
#define BOOKING_WORLD_H

#include "booking_outside.h"

static inline void
world_at_node(struct world *w, struct event *e)
{
	struct world_node *n = &w->nodes[e->node];
	struct ld_booking_value v = {
	    .revision = e->revision, .bytes = ld_buf_str(&e->bytes)};

	switch (e->kind) {
	case EV_TICK:
		n->tick_at = UINT64_MAX;
		ld_booking_tick(n->b, w->now_ms);
		break;
	case EV_READ_DONE:
		ld_booking_read_done(
		    n->b, w->now_ms, e->shard, e->outcome ? &v : NULL);
		break;
	case EV_WRITE_DONE:
		ld_booking_write_done(n->b, w->now_ms, e->shard,
		    (enum ld_booking_write)e->outcome, &v);
		break;
	case EV_MESSAGE:
		ld_booking_message(n->b, w->now_ms, ld_str_c(e->from), v.bytes);
		break;
	case EV_SENT_DONE:
		if (e->outcome == LD_BOOKING_ANSWERED &&
		    ld_rand_below(&w->rand, 2) == 0)
			w->keys[w->calls[e->id].key].settled = true;
		ld_booking_send_done(n->b, w->now_ms, e->id,
		    (enum ld_booking_result)e->outcome, 201, LD_STR("booked"));
		break;
	default:
		world_send(w, e);
		return;
	}
	world_act(w, e->node);
}

static inline void
world_dispatch(struct world *w, struct event *e)
{
	struct world_node *n = &w->nodes[e->node >= 0 ? e->node : 0];
	bool at_node = e->kind != EV_STORE_READ && e->kind != EV_STORE_WRITE &&
	    e->kind != EV_SERVICE && e->kind != EV_CALL && e->kind != EV_FAULT;

	if (at_node && e->incarnation != n->incarnation)
		return;
	/* Events for a frozen node are deferred until it resumes. */
	if (at_node && w->now_ms < n->frozen_until) {
		struct event later = *e;

		later.at_ms = n->frozen_until;
		memset(&e->bytes, 0, sizeof(e->bytes));
		world_push(w, later);
		return;
	}
	if (e->kind == EV_STORE_READ)
		world_store_read(w, e);
	else if (e->kind == EV_STORE_WRITE)
		world_store_write(w, e);
	else if (e->kind == EV_SERVICE)
		world_service(w, e);
	else if (e->kind == EV_CALL)
		world_call(w, e->key, e->id);
	else if (e->kind == EV_FAULT)
		world_fault(w);
	else
		world_at_node(w, e);
}

static inline void
world_run(struct world *w, uint64_t until_ms)
{
	while (w->n_events > 0 && w->events[0].at_ms <= until_ms) {
		struct event e = world_pop(w);

		if (e.at_ms > w->now_ms)
			w->now_ms = e.at_ms;
		world_dispatch(w, &e);
		ld_buf_free(&e.bytes);
	}
	w->now_ms = until_ms;
}

static inline struct world *
world_new(uint64_t seed, int nodes, struct faults faults)
{
	struct world *w = ld_alloc(sizeof(*w));

	ld_rand_seed(&w->rand, seed);
	w->faults = faults;
	w->n_nodes = nodes;
	w->tries_max = 12;
	w->config = ld_booking_defaults();
	w->config.shards = 2;
	w->calls = ld_alloc(CALLS_MAX * sizeof(*w->calls));
	w->now_ms = 1000;
	return w;
}

static inline void
world_start(struct world *w, uint64_t faults_end_ms)
{
	for (int i = 0; i < w->n_nodes; i++)
		world_start_node(w, i);
	world_members(w);
	w->faults_end_ms = faults_end_ms;
	if (w->faults.every_ms > 0)
		world_push(w, world_event(w, EV_FAULT, -1, 50));
}

static inline int
world_add_key(struct world *w, uint64_t at_ms)
{
	int key = w->n_keys++;

	snprintf(w->keys[key].name, sizeof(w->keys[key].name), "k%d", key);
	world_retry(w, key, 0, at_ms - w->now_ms);
	return key;
}

static inline void
world_judge(struct world *w)
{
	for (uint64_t i = 1; i <= w->n_calls; i++)
		w->false_not_run += w->calls[i].told_not_run && w->calls[i].ran;
}

static inline void
world_free(struct world *w)
{
	for (int i = 0; i < w->n_nodes; i++)
		ld_booking_free(w->nodes[i].b);
	for (int i = 0; i < SHARDS_MAX; i++)
		ld_buf_free(&w->shards[i].value);
	while (w->n_events > 0) {
		struct event e = world_pop(w);

		ld_buf_free(&e.bytes);
	}
	free(w->events);
	free(w->calls);
	ld_buf_free(&w->trace);
	free(w);
}

#endif
