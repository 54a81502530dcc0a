/*
 * Nodes that exchange load reports on a simulated clock, with seeded delays and
 * losses, for tests that run without a network.
 */
#ifndef AGGREGATION_FLEET_H
#define AGGREGATION_FLEET_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/relay/load_aggregation.h"
#include "engine_entry.h"
#include "ld_test.h"

#define SEED 20261204
#define STEP_MS 5
#define NODES_MAX 400
#define HEADS 60
#define FLIGHTS_MAX 60000
#define HISTORY 200 /* steps */

/** struct node - one process */
struct node {
	struct load_aggregation a; /* first member */
	struct fleet *fleet;
	char name[16];
	bool down;
	bool cut; /* no datagram from or to it arrives */
	uint64_t reported[HEADS]; /* the others' prompt tokens, as reported */
	uint64_t sent[HEADS];
	unsigned int received; /* datagrams */
	unsigned int bytes;
	unsigned int alarms;
	unsigned int findings;
};

/** struct flight - a datagram in flight */
struct flight {
	uint64_t at_ms;
	size_t from, to;
	struct mesh_datagram *d;
};

struct fleet {
	struct node *nodes;
	size_t n;
	int heads; /* servers in each node's table */
	struct flight flights[FLIGHTS_MAX];
	size_t flight_count;
	struct ld_rand rand;
	uint64_t now;
	double loss;
	uint64_t sent_total[HISTORY][HEADS]; /* all tokens sent, by step */
	size_t step;
};

static struct fleet fleet;

static inline size_t
index_of(const struct peer *p)
{
	return (size_t)strtoul(p->name + 1, NULL, 10);
}

static inline void
send_datagram(struct load_aggregation *a, struct peer *const *to, size_t n,
    const struct mesh_datagram *d)
{
	struct node *from = (struct node *)a;
	struct fleet *f = from->fleet;

	for (size_t i = 0; i < n; i++) {
		struct flight *fl;

		if (ld_rand_unit(&f->rand) < f->loss)
			continue;
		CU_ASSERT_FATAL(f->flight_count < FLIGHTS_MAX);
		fl = &f->flights[f->flight_count++];
		*fl = (struct flight){f->now + 1 + ld_rand_below(&f->rand, 5),
		    (size_t)(from - f->nodes), index_of(to[i]),
		    ld_alloc(sizeof(*d))};
		*fl->d = *d;
	}
}

static inline size_t
head_of(const struct ld_server *s)
{
	return (size_t)strtoul(s->entry.id + 1, NULL, 10);
}

static inline void
on_prompt_sent(struct load_aggregation *a, struct ld_server *s, uint64_t tokens,
    uint64_t now_ms)
{
	((struct node *)a)->reported[head_of(s)] += tokens;
}

static inline void
on_rate_changed(struct load_aggregation *a, struct ld_server *s)
{
}

static inline void
on_alarm(struct load_aggregation *a, const struct mesh_alarm *alarm)
{
	((struct node *)a)->alarms++;
}

static inline void
on_finding(struct load_aggregation *a, const struct ld_finding *f)
{
	((struct node *)a)->findings++;
}

static inline void
add_head(struct ld_servers *t, int number)
{
	struct ld_server_entry e;
	char id[16];

	snprintf(id, sizeof(id), "h%d", number);
	e = engine_entry(id, "z");
	ld_servers_put(t, &e, 0);
}

static inline uint64_t
permille_of(size_t i)
{
	/* Three large nodes in each failure domain. */
	return i < 15 ? 500 : 120;
}

static inline uint32_t
domain_of(size_t i)
{
	static const char *const names[] = {"z0", "z1", "z2", "z3", "z4"};

	return agg_domain(ld_str_c(names[i % 5]));
}

static inline struct ld_server *
head_at(const struct node *n, int head)
{
	char id[16];

	snprintf(id, sizeof(id), "h%d", head);
	return ld_servers_find(n->a.servers, ld_str_c(id));
}

static inline void
list_peer(struct node *at, size_t i)
{
	struct peer *p =
	    agg_peer_add(&at->a, ld_str_c(fleet.nodes[i].name), fleet.now);

	CU_ASSERT_PTR_NOT_NULL_FATAL(p);
	if (p == NULL)
		return;
	p->processor_permille = permille_of(i);
	p->domain = domain_of(i);
}

static inline void
start_node(size_t i)
{
	static const struct agg_ops ops = {
	    .send = send_datagram,
	    .prompt_sent = on_prompt_sent,
	    .rate_changed = on_rate_changed,
	    .alarm = on_alarm,
	    .finding = on_finding,
	};
	struct node *n = &fleet.nodes[i];

	memset(n, 0, sizeof(*n));
	n->fleet = &fleet;
	snprintf(n->name, sizeof(n->name), "n%03zu", i);
	n->a = (struct load_aggregation){.ops = &ops,
	    .name = n->name,
	    .domain = domain_of(i),
	    .processor_permille = permille_of(i),
	    .from_nodes = 16,
	    .can_delegate = true,
	    .servers = ld_servers_new(),
	    .next_ms = fleet.now + ld_rand_below(&fleet.rand, 100)};
	for (int h = 0; h < fleet.heads; h++)
		add_head(n->a.servers, h);
}

static inline void
fleet_open_with(size_t n, double loss, int heads)
{
	memset(&fleet, 0, sizeof(fleet));
	fleet.n = n;
	fleet.heads = heads;
	fleet.now = 1000;
	fleet.loss = loss;
	fleet.nodes = ld_alloc(n * sizeof(*fleet.nodes));
	ld_rand_seed(&fleet.rand, SEED);
	for (size_t i = 0; i < n; i++)
		start_node(i);
	for (size_t i = 0; i < n; i++)
		for (size_t k = 0; k < n; k++)
			if (i != k)
				list_peer(&fleet.nodes[i], k);
}

static inline void
fleet_open(size_t n, double loss)
{
	fleet_open_with(n, loss, HEADS);
}

static inline void
stop_node(size_t i)
{
	ld_servers_free(fleet.nodes[i].a.servers);
	agg_free(&fleet.nodes[i].a);
}

static inline void
fleet_close(void)
{
	for (size_t i = 0; i < fleet.flight_count; i++)
		free(fleet.flights[i].d);
	for (size_t i = 0; i < fleet.n; i++)
		stop_node(i);
	free(fleet.nodes);
}

static inline unsigned int
size_of(const struct mesh_datagram *d)
{
	struct ld_buf b = {0};
	unsigned int n;

	mesh_encode(d, &b);
	n = (unsigned int)b.len;
	ld_buf_free(&b);
	return n;
}

static inline void
deliver(void)
{
	size_t kept = 0;

	for (size_t i = 0; i < fleet.flight_count; i++) {
		struct flight *fl = &fleet.flights[i];
		struct node *to = &fleet.nodes[fl->to];

		if (fl->at_ms > fleet.now) {
			fleet.flights[kept++] = *fl;
			continue;
		}
		if (!to->down && !to->cut && !fleet.nodes[fl->from].cut) {
			to->received++;
			to->bytes += size_of(fl->d);
			agg_receive(&to->a,
			    agg_peer_find(
				&to->a, ld_str_c(fleet.nodes[fl->from].name)),
			    fl->d, fleet.now);
		}
		free(fl->d);
	}
	fleet.flight_count = kept;
}

/* Begins the next step; what nodes do in it precedes fleet_exchange(). */
static inline void
fleet_advance(void)
{
	fleet.step++;
	fleet.now += STEP_MS;
}

static inline void
fleet_exchange(void)
{
	deliver();
	for (size_t i = 0; i < fleet.n; i++)
		if (!fleet.nodes[i].down)
			agg_tick(&fleet.nodes[i].a, fleet.now);
}

#endif
