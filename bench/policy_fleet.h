/*
 * Many admission modules in one process, for the policy benches and tests:
 * messages with delay and loss, streams that end, kills, freezes, partitions.
 * Only the decision modules run, driven by scripted events.
 */
#ifndef POLICY_FLEET_H
#define POLICY_FLEET_H

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_admit.h"

#define FLEET_DOMAINS 3
#define FLEET_STEP_MS 5
#define FLEET_NEAR_MS 1 /* one way, same failure domain */
#define FLEET_FAR_MS 4 /* one way, to another domain */
#define FLEET_JITTER_MS 3
#define FLEET_LOSS_PERCENT 1
#define FLEET_DETECT_MS 2000 /* until peers consider a silent node dead */
#define FLEET_DETECT_SPREAD_MS 1000
#define FLEET_TICKETS 8192
#define FLEET_MESSAGE_BYTES 192
/* Framing, keyed hash and TCP/IP headers of a direct message. */
#define FLEET_OVERHEAD_BYTES 90

enum fleet_event_type {
	FLEET_MESSAGE,
	FLEET_END
};

/** struct fleet_event - a message in flight or the end of a stream */
struct fleet_event {
	uint64_t at_ms;
	uint64_t order;
	enum fleet_event_type type;
	unsigned int from, to;
	char bytes[FLEET_MESSAGE_BYTES];
	size_t len;
	uint64_t ticket;
	unsigned int owner;
};

/** struct fleet_node - one node and its state as seen by the others */
struct fleet_node {
	struct ld_admit *admit;
	uint64_t id;
	unsigned int domain;
	unsigned int side; /* of a partition */
	bool alive, frozen;
	uint64_t silent_ms; /* killed or frozen at; 0: not */
	uint64_t thawed_ms; /* resumed at */
	uint64_t detect_ms; /* its own delay in detecting others */
	unsigned int seen; /* checksum of the last member list passed to it */
	struct fleet_event *held; /* arrived while it was frozen */
	size_t held_count;
	uint64_t *running; /* owner + 1, by ticket % FLEET_TICKETS */
};

/** struct fleet - the nodes and the pending events */
struct fleet {
	struct fleet_node *nodes;
	unsigned int n;
	uint64_t now_ms;
	uint64_t split_ms; /* partition since, 0: none */
	unsigned int suspected; /* 1 + a node that all others consider dead */
	struct ld_rand rand;
	struct fleet_event *heap;
	size_t count, cap;
	uint64_t order;
	uint64_t *in_use; /* streams actually running, by owner */
	uint64_t loss_percent;
	void (*decided)(struct fleet *f, unsigned int node, uint64_t ticket,
	    const struct ld_admit_decision *d);
	void (*cancelled)(struct fleet *f, unsigned int node,
	    unsigned int owner, const struct ld_admit_decision *d);
	/* Called at the end of a stream when a baseline is in use. */
	void (*ended)(struct fleet *f, unsigned int node, unsigned int owner);
	void *user;
	uint64_t bytes, messages;
	uint64_t *node_bytes; /* in and out, with overhead */
};

static inline bool
fleet_before(const struct fleet_event *a, const struct fleet_event *b)
{
	return a->at_ms < b->at_ms ||
	    (a->at_ms == b->at_ms && a->order < b->order);
}

static inline void
fleet_push(struct fleet *f, struct fleet_event e)
{
	size_t i = f->count++;

	if (f->count > f->cap) {
		f->cap = f->cap > 0 ? 2 * f->cap : 1024;
		f->heap = ld_realloc(f->heap, f->cap * sizeof(*f->heap));
	}
	e.order = f->order++;
	while (i > 0 && fleet_before(&e, &f->heap[(i - 1) / 2])) {
		f->heap[i] = f->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	f->heap[i] = e;
}

static inline struct fleet_event
fleet_pop(struct fleet *f)
{
	struct fleet_event top = f->heap[0];
	struct fleet_event last = f->heap[--f->count];
	size_t i = 0, c;

	while ((c = 2 * i + 1) < f->count) {
		if (c + 1 < f->count &&
		    fleet_before(&f->heap[c + 1], &f->heap[c]))
			c++;
		if (!fleet_before(&f->heap[c], &last))
			break;
		f->heap[i] = f->heap[c];
		i = c;
	}
	f->heap[i] = last;
	return top;
}

static inline void
fleet_send(struct fleet *f, unsigned int from, uint64_t to_id, struct ld_str b)
{
	unsigned int to = (unsigned int)(to_id - 1);
	bool far = f->nodes[from].domain != f->nodes[to].domain;
	struct fleet_event e = {.type = FLEET_MESSAGE, .from = from, .to = to};

	f->messages++;
	f->bytes += b.len + FLEET_OVERHEAD_BYTES;
	f->node_bytes[from] += b.len + FLEET_OVERHEAD_BYTES;
	f->node_bytes[to] += b.len + FLEET_OVERHEAD_BYTES;
	if (f->split_ms != 0 && f->nodes[from].side != f->nodes[to].side)
		return;
	if (ld_rand_below(&f->rand, 100) < f->loss_percent)
		return;
	e.at_ms = f->now_ms + (far ? FLEET_FAR_MS : FLEET_NEAR_MS) +
	    ld_rand_below(&f->rand, FLEET_JITTER_MS + 1);
	assert(b.len <= sizeof(e.bytes));
	memcpy(e.bytes, b.p, b.len);
	e.len = b.len;
	fleet_push(f, e);
}

/** fleet_started() - record that a stream of @owner runs at @node for @ms */
static inline void
fleet_started(struct fleet *f, unsigned int node, unsigned int owner,
    uint64_t ticket, uint64_t ms)
{
	struct fleet_event e = {.type = FLEET_END,
	    .to = node,
	    .ticket = ticket,
	    .owner = owner,
	    .at_ms = f->now_ms + ms};

	f->in_use[owner]++;
	f->nodes[node].running[ticket % FLEET_TICKETS] = owner + 1;
	fleet_push(f, e);
}

static inline void
fleet_cancel(struct fleet *f, unsigned int node, struct ld_admit_decision d)
{
	struct fleet_node *v = &f->nodes[node];
	uint64_t *slot = &v->running[d.ticket % FLEET_TICKETS];
	unsigned int owner;

	if (*slot != 0) {
		owner = (unsigned int)(*slot - 1);
		*slot = 0;
		f->in_use[owner]--;
		if (f->cancelled != NULL)
			f->cancelled(f, node, owner, &d);
	}
	ld_admit_done(v->admit, f->now_ms, d.ticket);
}

static inline void
fleet_drain(struct fleet *f, unsigned int node)
{
	struct ld_admit_action act;

	while (ld_admit_next(f->nodes[node].admit, &act)) {
		if (act.type == LD_ADMIT_SEND)
			fleet_send(f, node, act.node, act.bytes);
		else if (act.type == LD_ADMIT_CANCEL)
			fleet_cancel(f, node, act.decision);
		else if (f->decided != NULL)
			f->decided(f, node, act.decision.ticket, &act.decision);
	}
}

static inline void
fleet_deliver(struct fleet *f, struct fleet_event *e)
{
	struct fleet_node *v = &f->nodes[e->to];

	if (e->type == FLEET_MESSAGE) {
		ld_admit_message(v->admit, f->now_ms, f->nodes[e->from].id,
		    (struct ld_str){e->bytes, e->len});
	} else if (f->ended != NULL) {
		f->ended(f, e->to, e->owner);
	} else {
		ld_admit_done(v->admit, f->now_ms, e->ticket);
	}
	fleet_drain(f, e->to);
}

static inline void
fleet_event(struct fleet *f, struct fleet_event e)
{
	struct fleet_node *v = &f->nodes[e.to];
	uint64_t *slot = &v->running[e.ticket % FLEET_TICKETS];

	if (e.type == FLEET_END) {
		/* Cancelled, or lost with its node. */
		if (*slot != e.owner + 1)
			return;
		*slot = 0;
		f->in_use[e.owner]--;
	}
	if (!v->alive)
		return;
	if (!v->frozen) {
		fleet_deliver(f, &e);
		return;
	}
	v->held = ld_realloc(v->held, (v->held_count + 1) * sizeof(*v->held));
	v->held[v->held_count++] = e;
}

/* ---- Membership as each node sees it ---- */

static inline bool
fleet_sees(const struct fleet *f, unsigned int who, unsigned int whom)
{
	const struct fleet_node *a = &f->nodes[who];
	const struct fleet_node *b = &f->nodes[whom];

	if (who == whom)
		return true;
	if (f->suspected == whom + 1)
		return false;
	if (b->silent_ms != 0 && f->now_ms >= b->silent_ms + a->detect_ms)
		return false;
	return f->split_ms == 0 || a->side == b->side ||
	    f->now_ms < f->split_ms + a->detect_ms;
}

static inline void
fleet_members(struct fleet *f, unsigned int who)
{
	static const struct ld_str domains[FLEET_DOMAINS] = {
	    {"z1", 2}, {"z2", 2}, {"z3", 2}};
	struct ld_admit_member *list = ld_alloc(f->n * sizeof(*list));
	unsigned int sum = 1;

	/* Killed nodes stay counted, since the platform's list lags. */
	for (unsigned int i = 0; i < f->n; i++) {
		list[i].node = f->nodes[i].id;
		list[i].domain = domains[f->nodes[i].domain];
		list[i].live = fleet_sees(f, who, i);
		sum = sum * 31 + (unsigned int)list[i].live;
	}
	if (sum != f->nodes[who].seen) {
		f->nodes[who].seen = sum;
		ld_admit_members(f->nodes[who].admit, f->now_ms, list, f->n);
	}
	free(list);
}

/* ---- Faults and time ---- */

static inline void
fleet_init(struct fleet *f, unsigned int n, unsigned int owners, uint64_t seed)
{
	memset(f, 0, sizeof(*f));
	f->n = n;
	f->loss_percent = FLEET_LOSS_PERCENT;
	f->now_ms = 1000;
	ld_rand_seed(&f->rand, seed);
	f->nodes = ld_alloc(n * sizeof(*f->nodes));
	f->in_use = ld_alloc(owners * sizeof(*f->in_use));
	f->node_bytes = ld_alloc(n * sizeof(*f->node_bytes));
	for (unsigned int i = 0; i < n; i++) {
		struct ld_admit_config c = {.node = i + 1, .seed = seed + i};
		struct fleet_node *v = &f->nodes[i];

		v->id = i + 1;
		v->domain = i % FLEET_DOMAINS;
		v->alive = true;
		v->detect_ms = FLEET_DETECT_MS +
		    ld_rand_below(&f->rand, FLEET_DETECT_SPREAD_MS);
		v->running = ld_alloc(FLEET_TICKETS * sizeof(uint64_t));
		v->admit = ld_admit_new(&c, f->now_ms);
	}
	for (unsigned int i = 0; i < n; i++)
		fleet_members(f, i);
}

static inline void
fleet_capacity(struct fleet *f, uint64_t slots)
{
	for (unsigned int i = 0; i < f->n; i++) {
		ld_admit_capacity(f->nodes[i].admit, f->now_ms, slots);
		fleet_drain(f, i);
	}
}

static inline void
fleet_catalogue(struct fleet *f, const struct ld_admit_entry *e, size_t n)
{
	for (unsigned int i = 0; i < f->n; i++) {
		ld_admit_catalogue(f->nodes[i].admit, f->now_ms, e, n);
		fleet_drain(f, i);
	}
}

static inline void
fleet_kill(struct fleet *f, unsigned int node)
{
	struct fleet_node *v = &f->nodes[node];

	v->alive = false;
	v->silent_ms = f->now_ms;
	for (size_t i = 0; i < FLEET_TICKETS; i++) {
		if (v->running[i] != 0)
			f->in_use[v->running[i] - 1]--;
		v->running[i] = 0;
	}
}

static inline void
fleet_freeze(struct fleet *f, unsigned int node)
{
	f->nodes[node].frozen = true;
	f->nodes[node].silent_ms = f->now_ms;
}

/* Socket events run before timers after a stop: messages come first. */
static inline void
fleet_resume(struct fleet *f, unsigned int node)
{
	struct fleet_node *v = &f->nodes[node];
	size_t n = v->held_count;
	struct fleet_event *held = v->held;

	v->frozen = false;
	v->thawed_ms = f->now_ms;
	v->silent_ms = 0;
	v->held = NULL;
	v->held_count = 0;
	for (size_t i = 0; i < n; i++)
		fleet_deliver(f, &held[i]);
	free(held);
}

/** fleet_split() - cut the first @part failure domains off from the rest */
static inline void
fleet_split(struct fleet *f, unsigned int part)
{
	f->split_ms = f->now_ms;
	for (unsigned int i = 0; i < f->n; i++)
		f->nodes[i].side = f->nodes[i].domain < part;
}

/** fleet_step() - advance time by FLEET_STEP_MS */
static inline void
fleet_step(struct fleet *f)
{
	const uint64_t steps = LD_ADMIT_TICK_MS / FLEET_STEP_MS;

	f->now_ms += FLEET_STEP_MS;
	while (f->count > 0 && f->heap[0].at_ms <= f->now_ms)
		fleet_event(f, fleet_pop(f));
	for (unsigned int i = 0; i < f->n; i++) {
		struct fleet_node *v = &f->nodes[i];

		/* Nodes tick at different times, as in production. */
		if (!v->alive || v->frozen ||
		    (f->now_ms / FLEET_STEP_MS + i) % steps != 0)
			continue;
		if ((f->now_ms / LD_ADMIT_TICK_MS + i) % 10 == 0)
			fleet_members(f, i);
		ld_admit_tick(v->admit, f->now_ms);
		fleet_drain(f, i);
	}
}

static inline void
fleet_fini(struct fleet *f)
{
	for (unsigned int i = 0; i < f->n; i++) {
		struct fleet_node *v = &f->nodes[i];

		ld_admit_free(v->admit);
		free(v->held);
		free(v->running);
	}
	free(f->heap);
	free(f->nodes);
	free(f->in_use);
	free(f->node_bytes);
}

#endif
