/*
 * A store, a service with a ledger, nodes and callers around lib/booking, on
 * hand-driven time. Faults are drawn from a seeded generator.
 */
#ifndef BOOKING_WORLD_H
#define BOOKING_WORLD_H

#include <stdlib.h>
#include <string.h>

#include "ld_booking.h"
#include "ld_test.h"

#define NODES_MAX 8
#define KEYS_MAX 4096
#define SHARDS_MAX 16
#define CALLS_MAX 65536
#define WALL_AT_START_MS 1700000000000ULL
#define STORE_TIMEOUT_MS 300
#define SERVICE_TIMEOUT_MS 400

enum event_kind {
	EV_TICK,
	EV_STORE_READ, /* the request reaches the store */
	EV_READ_DONE,
	EV_STORE_WRITE,
	EV_WRITE_DONE,
	EV_MESSAGE,
	EV_SEND, /* the adapter is about to send */
	EV_SERVICE, /* the request reaches the service */
	EV_SENT_DONE,
	EV_CALL, /* a caller (re)tries */
	EV_FAULT,
};

/* Percent of the cases in which something goes wrong. */
struct faults {
	unsigned int lost_answer; /* of a write that took effect */
	unsigned int late_write; /* takes effect after its time-out */
	unsigned int refused; /* connections to the store */
	unsigned int no_connection; /* to the service */
	unsigned int lost_result; /* of a call that ran */
	unsigned int lost_message;
	unsigned int hang_up; /* callers */
	uint64_t every_ms; /* mean time between kills, freezes, outages */
};

struct event {
	uint64_t at_ms;
	uint64_t order;
	enum event_kind kind;
	int node;
	unsigned int incarnation;
	uint32_t shard;
	int64_t revision;
	int outcome;
	uint64_t id;
	struct ld_buf bytes;
	char from[32];
	int key;
};

struct world_node {
	struct ld_booking *b;
	unsigned int incarnation;
	char id[32];
	uint64_t frozen_until;
	uint64_t tick_at;
};

struct world_shard {
	int64_t revision;
	struct ld_buf value;
	unsigned int writes_in_s; /* requests that reached the store */
	uint64_t second;
	unsigned int writes_in_s_max;
};

struct world_call {
	int key;
	int node;
	uint64_t started_ms;
	bool answered;
	bool told_not_run;
	bool ran;
};

struct world_key {
	char name[16];
	unsigned int runs;
	uint64_t ran_at_ms;
	unsigned int in_flight; /* sent, not yet at the service */
	unsigned int tries;
	bool settled; /* the caller has what it wanted, or gave up */
	enum ld_booking_answer_kind last;
	bool answered;
};

struct world {
	struct ld_rand rand;
	struct faults faults;
	uint64_t now_ms;
	uint64_t order;
	struct event *events; /* heap */
	size_t n_events, cap_events;
	struct world_node nodes[NODES_MAX];
	int n_nodes;
	struct ld_booking_config config;
	struct world_shard shards[SHARDS_MAX];
	int64_t revision;
	uint64_t down_until_ms;
	struct world_key keys[KEYS_MAX];
	int n_keys;
	struct world_call *calls;
	uint64_t n_calls;
	unsigned int tries_max;
	bool unknown_is_final;
	unsigned int second_runs, false_not_run, false_earlier, false_recorded;
	unsigned int told[LD_BOOKING_ANSWER_KIND_COUNT];
	size_t value_bytes_max;
	uint64_t faults_end_ms;
	struct ld_buf trace;
	bool tracing;
};

static inline bool
chance(struct world *w, unsigned int percent)
{
	return w->now_ms < w->faults_end_ms &&
	    ld_rand_below(&w->rand, 100) < percent;
}

static inline uint64_t
between(struct world *w, uint64_t low, uint64_t high)
{
	return low + ld_rand_below(&w->rand, high - low + 1);
}

/* ---- Event queue ---- */

static inline bool
event_before(const struct event *a, const struct event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static inline void
world_push(struct world *w, struct event e)
{
	size_t i = w->n_events;

	if (w->n_events == w->cap_events) {
		w->cap_events = w->cap_events > 0 ? 2 * w->cap_events : 256;
		w->events =
		    ld_realloc(w->events, w->cap_events * sizeof(*w->events));
	}
	e.order = w->order++;
	w->n_events++;
	while (i > 0 && event_before(&e, &w->events[(i - 1) / 2])) {
		w->events[i] = w->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	w->events[i] = e;
}

static inline struct event
world_pop(struct world *w)
{
	struct event top = w->events[0];
	struct event last = w->events[--w->n_events];
	size_t i = 0;

	for (;;) {
		size_t c = 2 * i + 1;

		if (c >= w->n_events)
			break;
		if (c + 1 < w->n_events &&
		    event_before(&w->events[c + 1], &w->events[c]))
			c++;
		if (!event_before(&w->events[c], &last))
			break;
		w->events[i] = w->events[c];
		i = c;
	}
	if (w->n_events > 0)
		w->events[i] = last;
	return top;
}

static inline struct event
world_event(struct world *w, enum event_kind kind, int node, uint64_t delay_ms)
{
	struct event e = {.kind = kind, .node = node};

	e.at_ms = w->now_ms + delay_ms;
	if (node >= 0)
		e.incarnation = w->nodes[node].incarnation;
	return e;
}

static inline void
world_note(struct world *w, const char *what, int node, const char *detail)
{
	if (w->tracing)
		ld_buf_printf(&w->trace, "%6llu n%d %s %s\n",
		    (unsigned long long)w->now_ms, node, what, detail);
}

/* ---- Nodes ---- */

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
	ld_booking_clock(n->b, w->now_ms,
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

	/* A write may be held up on its way past its time-out. */
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

/* With @after not 0 only if that call was not answered by then. */
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
	if (a->earlier == LD_BOOKING_RAN_NO && key->runs > 0 &&
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

/* The moment before the first byte: the adapter asks once more. */
static inline void
world_send(struct world *w, struct event *e)
{
	struct world_node *n = &w->nodes[e->node];
	struct event r = *e;

	if (!ld_booking_may_send(n->b, w->now_ms, e->id) ||
	    chance(w, w->faults.no_connection)) {
		ld_booking_sent(
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
		r.outcome = LD_BOOKING_BROKEN;
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
		ld_booking_gone(n->b, w->now_ms, call.id);
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

/* ---- Running ---- */

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
		ld_booking_sent(n->b, w->now_ms, e->id,
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
	/* Nothing reaches a frozen node before it resumes. */
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
