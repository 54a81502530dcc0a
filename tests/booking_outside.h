/* Store, service, callers and faults in the lib/booking simulation. */
#ifndef BOOKING_OUTSIDE_H
#define BOOKING_OUTSIDE_H

#include "booking_nodes.h"

/* ---- Store and service ---- */

static inline void
world_store_read(struct world *w, struct event *e)
{
	struct world_shard *s = &w->shards[e->shard];
	struct event r = *e;

	r.kind = EV_READ_DONE;
	r.at_ms = w->now_ms + between(w, 1, 4);
	r.outcome = w->now_ms >= w->down_until_ms;
	if (!r.outcome)
		r.at_ms = w->now_ms + STORE_TIMEOUT_MS;
	r.revision = s->revision;
	ld_buf_adds(&r.bytes, ld_buf_str(&s->value));
	world_push(w, r);
}

static inline void
world_count_write(struct world *w, struct world_shard *s)
{
	if (w->now_ms / 1000 != s->second) {
		s->second = w->now_ms / 1000;
		s->writes_in_s = 0;
	}
	s->writes_in_s++;
	if (s->writes_in_s > s->writes_in_s_max)
		s->writes_in_s_max = s->writes_in_s;
}

static inline void
world_store_write(struct world *w, struct event *e)
{
	struct world_shard *s = &w->shards[e->shard];
	struct event r = *e;
	bool refused = w->now_ms < w->down_until_ms;

	memset(&r.bytes, 0, sizeof(r.bytes));
	r.kind = EV_WRITE_DONE;
	r.at_ms = w->now_ms + between(w, 1, 4);
	world_count_write(w, s);
	if (chance(w, w->faults.refused)) {
		r.outcome = LD_BOOKING_WRITE_NOT_APPLIED;
	} else if (refused) {
		r.outcome = LD_BOOKING_WRITE_UNKNOWN;
		r.at_ms = w->now_ms + STORE_TIMEOUT_MS;
	} else if (s->revision != e->revision) {
		r.outcome = LD_BOOKING_WRITE_CONFLICT;
		r.revision = s->revision;
		ld_buf_adds(&r.bytes, ld_buf_str(&s->value));
	} else {
		r.outcome = LD_BOOKING_WRITE_APPLIED;
		w->revision++;
		s->revision = w->revision;
		ld_buf_free(&s->value);
		s->value = e->bytes;
		memset(&e->bytes, 0, sizeof(e->bytes));
		r.revision = s->revision;
		if (s->value.len > w->value_bytes_max)
			w->value_bytes_max = s->value.len;
	}
	if (chance(w, w->faults.lost_answer)) {
		r.outcome = LD_BOOKING_WRITE_UNKNOWN;
		r.at_ms = w->now_ms + STORE_TIMEOUT_MS;
	}
	world_push(w, r);
}

/* Just before the first byte, the adapter checks permission again. */
static inline void
world_send(struct world *w, struct event *e)
{
	struct world_node *n = &w->nodes[e->node];
	struct event r = *e;

	if (!ld_booking_may_send(n->b, w->now_ms, e->id) ||
	    chance(w, w->faults.no_connection)) {
		ld_booking_send_done(
		    n->b, w->now_ms, e->id, LD_BOOKING_NOT_SENT, 0, LD_STR(""));
		world_act(w, e->node);
		return;
	}
	world_note(w, "sends", e->node, "");
	w->keys[w->calls[e->id].key].in_flight++;
	r.kind = EV_SERVICE;
	r.at_ms = w->now_ms + between(w, 1, 30);
	world_push(w, r);
}

static inline void
world_service(struct world *w, struct event *e)
{
	struct world_call *call = &w->calls[e->id];
	struct world_key *key = &w->keys[call->key];
	struct event r = *e;

	call->ran = true;
	key->in_flight--;
	key->runs++;
	key->ran_at_ms = w->now_ms;
	if (key->runs > 1)
		w->second_runs++;
	r.kind = EV_SENT_DONE;
	r.at_ms = w->now_ms + between(w, 1, 30);
	r.outcome = LD_BOOKING_ANSWERED;
	if (chance(w, w->faults.lost_result)) {
		r.outcome = LD_BOOKING_INCOMPLETE;
		r.at_ms = w->now_ms + SERVICE_TIMEOUT_MS;
	}
	world_push(w, r);
}

/* ---- Callers and faults ---- */

static inline void
world_call(struct world *w, int key, uint64_t after)
{
	struct world_key *k = &w->keys[key];
	int node = (int)ld_rand_below(&w->rand, (uint64_t)w->n_nodes);
	struct world_node *n = &w->nodes[node];
	struct ld_booking_call call = {
	    .owner = LD_STR("shop"),
	    .key = ld_str_c(k->name),
	    .body = LD_STR("POST /transfers lot 7"),
	    .deadline_ms = w->now_ms + 2000,
	};

	if (after != 0 && w->calls[after].answered)
		return;
	if (k->settled || k->tries >= w->tries_max)
		return;
	k->tries++;
	if (w->now_ms < n->frozen_until) {
		world_retry(w, key, 0, 500);
		return;
	}
	call.id = ++w->n_calls;
	w->calls[call.id] = (struct world_call){
	    .key = key, .node = node, .started_ms = w->now_ms};
	world_note(w, "is called for", node, k->name);
	k->answered = false;
	if (ld_booking_start(n->b, w->now_ms, &call) != LD_OK) {
		world_retry(w, key, 0, 1000);
		return;
	}
	world_act(w, node);
	if (chance(w, w->faults.hang_up)) {
		ld_booking_client_disconnected(n->b, w->now_ms, call.id);
		world_act(w, node);
	}
	/* Without an answer the caller tries another node. */
	world_retry(w, key, call.id, 2500);
}

static inline void
world_fault(struct world *w)
{
	int node = (int)ld_rand_below(&w->rand, (uint64_t)w->n_nodes);

	if (w->now_ms >= w->faults_end_ms || w->faults.every_ms == 0)
		return;
	switch (ld_rand_below(&w->rand, 4)) {
	case 0:
		ld_booking_free(w->nodes[node].b);
		world_start_node(w, node);
		world_members(w);
		world_note(w, "is killed and replaced", node, "");
		break;
	case 1:
		w->down_until_ms = w->now_ms + between(w, 200, 6000);
		break;
	default:
		w->nodes[node].frozen_until = w->now_ms + between(w, 50, 8000);
		break;
	}
	world_push(w,
	    world_event(
		w, EV_FAULT, -1, between(w, 1, 2 * w->faults.every_ms)));
}

#endif
