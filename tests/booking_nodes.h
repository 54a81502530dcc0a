/* Nodes with a booking table in the lib/booking simulation. */
#ifndef BOOKING_NODES_H
#define BOOKING_NODES_H

#include "booking_events.h"

static inline void
world_members(struct world *w)
{
	struct ld_str ids[NODES_MAX];

	for (int i = 0; i < w->n_nodes; i++)
		ids[i] = ld_str_c(w->nodes[i].id);
	for (int i = 0; i < w->n_nodes; i++)
		ld_booking_members(
		    w->nodes[i].b, w->now_ms, ids, (size_t)w->n_nodes);
}

static inline void
world_start_node(struct world *w, int i)
{
	struct world_node *n = &w->nodes[i];
	struct ld_booking_config c = w->config;

	n->incarnation++;
	snprintf(n->id, sizeof(n->id), "n%d/%u", i, n->incarnation);
	c.node = ld_str_c(n->id);
	c.seed = ld_rand_u64(&w->rand) | 1;
	n->b = ld_booking_new(&c, w->now_ms);
	n->frozen_until = 0;
	n->tick_at = UINT64_MAX;
	/* Clocks of the instances are up to a second apart. */
	ld_booking_set_wall_clock(n->b, w->now_ms,
	    WALL_AT_START_MS + w->now_ms + ld_rand_below(&w->rand, 1000));
}

static inline void
world_read(struct world *w, int node, uint32_t shard)
{
	struct event e = world_event(w, EV_STORE_READ, node, between(w, 1, 4));

	e.shard = shard;
	world_note(w, "read", node, "");
	world_push(w, e);
}

static inline void
world_write(struct world *w, int node, const struct ld_booking_action *a)
{
	struct event e = world_event(w, EV_STORE_WRITE, node, between(w, 1, 4));

	/* A write may be delayed in transit past its time-out. */
	if (chance(w, w->faults.late_write))
		e.at_ms += between(w, STORE_TIMEOUT_MS, 3000);
	e.shard = a->shard;
	e.revision = a->expect;
	ld_buf_adds(&e.bytes, a->bytes);
	world_note(w, "write", node, "");
	if (w->tracing)
		ld_buf_printf(&w->trace, "       over %lld: %.*s\n",
		    (long long)a->expect, LD_FMT(a->bytes));
	world_push(w, e);
}

static inline void
world_message(struct world *w, const struct ld_booking_action *a, int from)
{
	for (int i = 0; i < w->n_nodes; i++) {
		struct event e;

		if (!ld_str_eq(a->to, ld_str_c(w->nodes[i].id)) ||
		    chance(w, w->faults.lost_message))
			continue;
		e = world_event(w, EV_MESSAGE, i, between(w, 1, 5));
		ld_buf_adds(&e.bytes, a->bytes);
		snprintf(e.from, sizeof(e.from), "%s", w->nodes[from].id);
		world_push(w, e);
	}
}

/* If @after is not 0, retries only if that call is unanswered by then. */
static inline void
world_retry(struct world *w, int key, uint64_t after, uint64_t delay_ms)
{
	struct event e = world_event(w, EV_CALL, -1, delay_ms);

	e.key = key;
	e.id = after;
	world_push(w, e);
}

static inline void
world_answer(struct world *w, int node, const struct ld_booking_action *a)
{
	struct world_call *call = &w->calls[a->id];
	struct world_key *key = &w->keys[call->key];

	world_note(w, "answers", node, ld_booking_answer_name(a->answer));
	w->told[a->answer]++;
	call->answered = true;
	key->answered = true;
	key->last = a->answer;
	if (a->ran == LD_BOOKING_RAN_NO)
		call->told_not_run = true;
	if (a->answer == LD_BOOKING_NOT_RUN &&
	    (key->runs > 0 || key->in_flight > 0))
		w->false_earlier++;
	if (a->earlier_ran == LD_BOOKING_RAN_NO && key->runs > 0 &&
	    key->ran_at_ms <= call->started_ms)
		w->false_earlier++;
	if (a->answer == LD_BOOKING_RECORDED &&
	    (key->runs != 1 || a->status != 201))
		w->false_recorded++;
	if (a->answer == LD_BOOKING_RECORDED ||
	    a->answer == LD_BOOKING_KEY_REUSED ||
	    (a->answer == LD_BOOKING_UNKNOWN && w->unknown_is_final)) {
		key->settled = true;
		return;
	}
	world_retry(w, call->key, 0, a->retry_after_ms + between(w, 10, 200));
}

static inline void
world_act(struct world *w, int node)
{
	struct world_node *n = &w->nodes[node];
	struct ld_booking_action a;
	struct event e;
	uint64_t due;

	while (ld_booking_next_action(n->b, &a)) {
		switch (a.kind) {
		case LD_BOOKING_READ:
			world_read(w, node, a.shard);
			break;
		case LD_BOOKING_WRITE:
			world_write(w, node, &a);
			break;
		case LD_BOOKING_SEND:
			e = world_event(w, EV_SEND, node, between(w, 0, 2));
			e.id = a.id;
			world_push(w, e);
			break;
		case LD_BOOKING_ANSWER:
			world_answer(w, node, &a);
			break;
		case LD_BOOKING_MESSAGE:
			world_note(w, "asks or replies", node, "");
			world_message(w, &a, node);
			break;
		}
	}
	due = ld_booking_next_due(n->b);
	if (due != UINT64_MAX && due < n->tick_at) {
		n->tick_at = due > w->now_ms ? due : w->now_ms;
		world_push(
		    w, world_event(w, EV_TICK, node, n->tick_at - w->now_ms));
	}
}

#endif
