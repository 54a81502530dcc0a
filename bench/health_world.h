/*
 * Drives many health modules over a simulated lossy network with simulated model
 * servers. Reports reach the probers of a server and some observing nodes.
 */
#ifndef HEALTH_WORLD_H
#define HEALTH_WORLD_H

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_health.h"

#define HW_STEP_MS 10
#define HW_TURN_STEPS 10
#define HW_RTO_SYN_MS 1000
#define HW_RTO_DATA_MS 200

enum hw_fault {
	HW_FINE,
	HW_KILLED, /* connections are refused */
	HW_FROZEN, /* connects, but never answers */
	HW_ISOLATED, /* no packet gets through */
	HW_SLOW /* answers late */
};

struct hw_server {
	char address[32];
	char zone[8];
	enum hw_fault fault;
	uint32_t run;
};

struct hw_node {
	char id[32];
	char zone[8];
	struct ld_health *h;
	bool down;
	uint64_t clock_ms; /* its clock: simulated time plus this */
};

struct hw_event {
	uint64_t due_ms;
	size_t node;
	bool report;
	uint64_t probe;
	enum ld_health_outcome outcome;
	size_t server;
	uint32_t took_ms;
	struct ld_health_report r;
};

struct hw {
	struct ld_rand rand;
	uint64_t now_ms;
	double loss;
	double jitter_ms;
	size_t node_count;
	size_t server_count;
	size_t observers; /* the first nodes; receive every report */
	struct hw_node *nodes;
	struct hw_server *servers;
	struct hw_event *events; /* heap by time */
	size_t event_count;
	size_t event_cap;
	uint64_t probes;
	uint64_t reports;
	uint64_t report_bytes;
	uint64_t changes;
};

static inline void
hw_swap(struct hw_event *a, struct hw_event *b)
{
	struct hw_event t = *a;

	*a = *b;
	*b = t;
}

static inline struct hw_event *
hw_push(struct hw *w, const struct hw_event *e)
{
	size_t i = w->event_count++;

	if (w->event_count > w->event_cap) {
		w->event_cap = w->event_cap > 0 ? 2 * w->event_cap : 256;
		w->events =
		    ld_realloc(w->events, w->event_cap * sizeof(*w->events));
	}
	w->events[i] = *e;
	while (i > 0 && w->events[i].due_ms < w->events[(i - 1) / 2].due_ms) {
		hw_swap(&w->events[i], &w->events[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	return &w->events[i];
}

static inline struct hw_event
hw_pop(struct hw *w)
{
	struct hw_event top = w->events[0];
	size_t i = 0;

	w->events[0] = w->events[--w->event_count];
	for (;;) {
		size_t c = 2 * i + 1;

		if (c >= w->event_count)
			break;
		if (c + 1 < w->event_count &&
		    w->events[c + 1].due_ms < w->events[c].due_ms)
			c++;
		if (w->events[i].due_ms <= w->events[c].due_ms)
			break;
		hw_swap(&w->events[i], &w->events[c]);
		i = c;
	}
	return top;
}

static inline double
hw_delay(struct hw *w)
{
	return 0.5 - w->jitter_ms * log(1.0 - ld_rand_unit(&w->rand));
}

/* One-way delay of a packet; each loss adds a retransmission timeout. */
static inline double
hw_packet(struct hw *w, double rto_ms)
{
	double ms = hw_delay(w);

	while (ld_rand_unit(&w->rand) < w->loss) {
		ms += rto_ms;
		rto_ms *= 2;
	}
	return ms;
}

static inline void
hw_probe(struct hw *w, size_t node, const struct ld_health_action *a)
{
	struct hw_event e = {.node = node, .probe = a->probe};
	struct hw_server *s;
	double ms;

	w->probes++;
	while (strcmp(w->servers[e.server].address, a->address) != 0)
		e.server++;
	s = &w->servers[e.server];
	ms = hw_packet(w, HW_RTO_SYN_MS) + hw_packet(w, HW_RTO_SYN_MS);
	e.outcome = LD_HEALTH_ANSWERED;
	if (s->fault == HW_KILLED)
		e.outcome = LD_HEALTH_REFUSED;
	else
		ms +=
		    hw_packet(w, HW_RTO_DATA_MS) + hw_packet(w, HW_RTO_DATA_MS);
	if (s->fault == HW_SLOW)
		ms += 150;
	if (s->fault == HW_FROZEN || s->fault == HW_ISOLATED || ms >= 500) {
		ms = 500;
		e.outcome = LD_HEALTH_TIMED_OUT;
	}
	e.took_ms = (uint32_t)ms;
	e.due_ms = w->now_ms + (uint64_t)ms;
	hw_push(w, &e);
}

static inline void
hw_publish(struct hw *w, size_t node, const struct ld_health_action *a)
{
	struct hw_event e = {.report = true, .r = a->report};
	struct ld_buf b = {0};

	ld_health_report_encode(&a->report, &b);
	w->reports++;
	w->report_bytes += b.len;
	w->changes += a->changed;
	ld_buf_free(&b);
	for (size_t i = 0; i < w->node_count; i++) {
		if (i == node ||
		    (i >= w->observers &&
			!ld_health_is_prober(
			    w->nodes[i].h, ld_str_c(a->address))))
			continue;
		/* Several hops over TCP: delay and retransmissions. */
		e.node = i;
		e.due_ms = w->now_ms +
		    (uint64_t)(hw_packet(w, HW_RTO_DATA_MS) +
			hw_packet(w, HW_RTO_DATA_MS) +
			hw_packet(w, HW_RTO_DATA_MS));
		hw_push(w, &e);
	}
}

static inline void
hw_act(struct hw *w, size_t node)
{
	struct ld_health_action a;

	while (ld_health_next_action(w->nodes[node].h, &a)) {
		if (w->nodes[node].down)
			continue;
		if (a.type == LD_HEALTH_PROBE)
			hw_probe(w, node, &a);
		else
			hw_publish(w, node, &a);
	}
}

static inline void
hw_event(struct hw *w, const struct hw_event *e)
{
	struct hw_node *n = &w->nodes[e->node];
	struct hw_server *s = &w->servers[e->server];
	uint64_t now = w->now_ms + n->clock_ms;
	struct ld_health_answer answer = {.replica = LD_STR("f1-r1"),
	    .epoch = 7,
	    .ready = true,
	    .took_ms = e->took_ms};
	char run[16];

	if (n->down)
		return;
	if (e->report) {
		ld_health_peer_report(n->h, &e->r, now);
	} else {
		snprintf(run, sizeof(run), "run%u", s->run);
		answer.incarnation = ld_str_c(run);
		if (s->run > 0)
			answer.replica = LD_STR("");
		ld_health_probe_result(
		    n->h, e->probe, e->outcome, &answer, now);
	}
	hw_act(w, e->node);
}

static inline void
hw_step(struct hw *w)
{
	w->now_ms += HW_STEP_MS;
	while (w->event_count > 0 && w->events[0].due_ms <= w->now_ms) {
		struct hw_event e = hw_pop(w);

		hw_event(w, &e);
	}
	for (size_t i = 0; i < w->node_count; i++) {
		uint64_t now = w->now_ms + w->nodes[i].clock_ms;

		/* Nodes tick at staggered times. */
		if ((w->now_ms / HW_STEP_MS + i) % HW_TURN_STEPS != 0)
			continue;
		ld_health_tick(w->nodes[i].h, now);
		hw_act(w, i);
	}
}

static inline void
hw_run(struct hw *w, uint64_t ms)
{
	for (uint64_t end = w->now_ms + ms; w->now_ms < end;)
		hw_step(w);
}

/* Passes the list of running nodes to every node. */
static inline void
hw_lists(struct hw *w)
{
	struct ld_health_node *nodes =
	    ld_alloc((w->node_count + 1) * sizeof(*nodes));
	struct ld_health_server *servers =
	    ld_alloc((w->server_count + 1) * sizeof(*servers));
	size_t n = 0;

	for (size_t i = 0; i < w->node_count; i++) {
		if (w->nodes[i].down)
			continue;
		nodes[n].id = ld_str_c(w->nodes[i].id);
		nodes[n].zone = ld_str_c(w->nodes[i].zone);
		n++;
	}
	for (size_t i = 0; i < w->server_count; i++) {
		servers[i].address = ld_str_c(w->servers[i].address);
		servers[i].zone = ld_str_c(w->servers[i].zone);
	}
	for (size_t i = 0; i < w->node_count; i++) {
		uint64_t now = w->now_ms + w->nodes[i].clock_ms;

		ld_health_set_nodes(w->nodes[i].h, nodes, n, now);
		ld_health_set_servers(
		    w->nodes[i].h, servers, w->server_count, now);
	}
	free(nodes);
	free(servers);
}

static inline void
hw_init(struct hw *w, uint64_t seed, size_t nodes, size_t servers, size_t zones)
{
	struct ld_health_config c;

	memset(w, 0, sizeof(*w));
	ld_rand_seed(&w->rand, seed);
	w->now_ms = 100000;
	w->node_count = nodes;
	w->server_count = servers;
	w->observers = nodes < 8 ? nodes : 8;
	w->nodes = ld_alloc(nodes * sizeof(*w->nodes));
	w->servers = ld_alloc(servers * sizeof(*w->servers));
	for (size_t i = 0; i < servers; i++) {
		snprintf(w->servers[i].address, sizeof(w->servers[i].address),
		    "10.1.%zu.%zu:9100", i / 250, i % 250);
		snprintf(w->servers[i].zone, sizeof(w->servers[i].zone), "z%zu",
		    i % zones);
	}
	ld_health_defaults(&c);
	for (size_t i = 0; i < nodes; i++) {
		struct hw_node *n = &w->nodes[i];

		snprintf(n->id, sizeof(n->id), "10.2.%zu.%zu:7000", i / 250,
		    i % 250);
		snprintf(n->zone, sizeof(n->zone), "z%zu", i % zones);
		n->clock_ms = ld_rand_below(&w->rand, 1000000);
		c.self = ld_str_c(n->id);
		c.zone = ld_str_c(n->zone);
		c.run = i + 1;
		c.seed = seed * nodes + i;
		n->h = ld_health_new(&c, w->now_ms + n->clock_ms);
	}
	hw_lists(w);
}

static inline void
hw_free(struct hw *w)
{
	for (size_t i = 0; i < w->node_count; i++)
		ld_health_free(w->nodes[i].h);
	free(w->nodes);
	free(w->servers);
	free(w->events);
}

static inline struct ld_health_view
hw_view(const struct hw *w, size_t node, size_t server)
{
	struct ld_health_view v;

	memset(&v, 0, sizeof(v));
	ld_health_view(w->nodes[node].h, ld_str_c(w->servers[server].address),
	    w->now_ms + w->nodes[node].clock_ms, &v);
	return v;
}

/* Whether a router on @node would use the server. */
static inline bool
hw_holds(const struct hw *w, size_t node, size_t server)
{
	return ld_health_is_usable(w->nodes[node].h,
	    ld_str_c(w->servers[server].address), LD_STR("f1-r1"), 7,
	    w->now_ms + w->nodes[node].clock_ms);
}

#endif
