/*
 * In-memory network of struct ld_peers nodes on the manual timer service, with
 * delay, loss, cuts, kills and freezes. Used by the lib/peers tests.
 */
#ifndef LD_PEERS_NET_H
#define LD_PEERS_NET_H

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_loop.h"
#include "ld_peers.h"
#include "ld_wire.h"

#define NET_NODES_MAX 400
#define NET_SEEDS 3
/* IP and TCP headers, counted for each message. */
#define NET_HEADER_BYTES 52
#define NET_FROZEN_RETRY_MS 50
#define NET_NEAR_MS 1
#define NET_DOMAIN_MS 4
#define NET_REGION_MS 40

enum net_event_kind {
	NET_ACCEPT,
	NET_CONNECTED,
	NET_MESSAGE,
	NET_CLOSED
};

struct net;

/** struct net_event - an event in transit to one end of a connection */
struct net_event {
	struct ld_timer timer;
	struct net_event *prev;
	struct net_event *next;
	struct net *net;
	enum net_event_kind kind;
	size_t conn;
	int side; /* 0: the end that dialled */
	struct ld_buf bytes;
};

/** struct net_conn - one connection and its two endpoints */
struct net_conn {
	int node[2];
	uint32_t process[2];
	uint32_t link[2];
	bool open[2];
	uint64_t last_ms[2]; /* last delivery per direction, to keep order */
	bool silent; /* all traffic is dropped without an error */
};

struct net_node {
	struct ld_timer tick;
	struct net *net;
	struct ld_peers *peers; /* NULL: no process */
	uint32_t process;
	bool frozen;
	bool waits_for_dials; /* started without seeds */
	int region;
	int domain;
	char address[LD_PEERS_ADDRESS_MAX_BYTES];
	uint64_t bytes; /* sent and received */
	uint64_t deaths; /* of other nodes, as reported to this node */
	uint64_t revision;
	uint64_t revision_ms; /* when that catalogue was received */
	uint64_t direct_in;
	uint64_t records_in;
	size_t *conn_of; /* by link id */
	size_t conn_of_cap;
};

struct net {
	struct ld_rand rand;
	struct ld_timers *timers;
	struct net_node node[NET_NODES_MAX];
	int nodes;
	unsigned int loss_per_mille;
	bool cut; /* between the regions */
	unsigned int changed_per_mille; /* messages with bytes changed */
	bool confirm; /* nodes confirm each catalogue they receive */
	struct net_conn *conns;
	size_t conn_count;
	size_t conn_cap;
	struct net_event events; /* head of the list of events in transit */
	FILE *trace; /* NULL: none */
};

/* Trace file of the networks that are initialized after it is set. */
static FILE *net_trace_to;

static inline uint64_t
net_now(const struct net *n)
{
	return ld_timers_now(n->timers);
}

/* ---- Events ---- */

static inline void
net_event_free(struct net_event *e)
{
	ld_timer_stop(e->net->timers, &e->timer);
	e->prev->next = e->next;
	e->next->prev = e->prev;
	ld_buf_free(&e->bytes);
	free(e);
}

static void net_fire(struct ld_timer *t, uint64_t now_ms);

static inline uint64_t
net_delay(struct net *n, int a, int b)
{
	uint64_t base = NET_NEAR_MS;

	if (n->node[a].region != n->node[b].region)
		base = NET_REGION_MS;
	else if (n->node[a].domain != n->node[b].domain)
		base = NET_DOMAIN_MS;
	return base + ld_rand_below(&n->rand, base + 1);
}

static inline bool
net_is_cut(const struct net *n, const struct net_conn *c)
{
	if (c->silent)
		return true;
	return n->cut &&
	    n->node[c->node[0]].region != n->node[c->node[1]].region;
}

/* Queues an event for end @side of connection @conn, after @trips delays. */
static inline struct net_event *
net_post(struct net *n, size_t conn, int side, enum net_event_kind kind,
    unsigned int trips)
{
	struct net_conn *c = &n->conns[conn];
	struct net_event *e = ld_alloc(sizeof(*e));
	uint64_t at = net_now(n);

	while (trips-- > 0)
		at += net_delay(n, c->node[0], c->node[1]);
	if (at < c->last_ms[side])
		at = c->last_ms[side];
	c->last_ms[side] = at;
	e->timer.fn = net_fire;
	e->net = n;
	e->conn = conn;
	e->side = side;
	e->kind = kind;
	e->next = &n->events;
	e->prev = n->events.prev;
	e->prev->next = e;
	e->next->prev = e;
	ld_timer_start(n->timers, &e->timer, at);
	return e;
}

/* ---- Actions of a node ---- */

static inline void
net_note_link(struct net *n, size_t conn, int side, uint32_t link)
{
	struct net_node *node = &n->node[n->conns[conn].node[side]];

	while (link >= node->conn_of_cap) {
		node->conn_of_cap =
		    node->conn_of_cap > 0 ? 2 * node->conn_of_cap : 64;
		node->conn_of = ld_realloc(
		    node->conn_of, node->conn_of_cap * sizeof(size_t));
	}
	node->conn_of[link] = conn;
	n->conns[conn].link[side] = link;
	n->conns[conn].open[side] = true;
}

static inline void
net_dial(struct net *n, int from, const struct ld_peers_action *a)
{
	struct net_conn c = {.node = {from, -1}, .link = {a->link, 0}};
	size_t conn = n->conn_count;

	for (int i = 0; i < n->nodes; i++) {
		if (ld_str_eq(a->address, ld_str_c(n->node[i].address)))
			c.node[1] = i;
	}
	if (c.node[1] < 0)
		c.node[1] = from; /* no listener: refused below */
	c.process[0] = n->node[from].process;
	c.process[1] = n->node[c.node[1]].process;

	if (conn == n->conn_cap) {
		n->conn_cap = n->conn_cap > 0 ? 2 * n->conn_cap : 64;
		n->conns = ld_realloc(n->conns, n->conn_cap * sizeof(c));
	}
	n->conns[n->conn_count++] = c;
	net_note_link(n, conn, 0, a->link);
	if (net_is_cut(n, &c))
		return;
	if (n->node[c.node[1]].peers == NULL) {
		net_post(n, conn, 0, NET_CLOSED, 2);
		return;
	}
	net_post(n, conn, 1, NET_ACCEPT, 1);
	net_post(n, conn, 0, NET_CONNECTED, 2);
}

static inline bool
net_find(const struct net *n, int node, uint32_t link, size_t *conn, int *side)
{
	const struct net_node *at = &n->node[node];
	const struct net_conn *c;

	if (link >= at->conn_of_cap)
		return false;
	*conn = at->conn_of[link];
	c = &n->conns[*conn];
	*side = c->node[0] == node && c->link[0] == link ? 0 : 1;
	return c->open[*side] && c->node[*side] == node &&
	    c->process[*side] == at->process;
}

static inline void
net_send(struct net *n, int from, const struct ld_peers_action *a)
{
	struct net_event *e;
	uint64_t size =
	    a->bytes.len + LD_WIRE_OVERHEAD_BYTES + NET_HEADER_BYTES;
	size_t conn;
	int side;

	if (!net_find(n, from, a->link, &conn, &side))
		return;
	n->node[from].bytes += size;
	if (net_is_cut(n, &n->conns[conn]) ||
	    ld_rand_below(&n->rand, 1000) < n->loss_per_mille)
		return;
	n->node[n->conns[conn].node[1 - side]].bytes += size;
	e = net_post(n, conn, 1 - side, NET_MESSAGE, 1);
	ld_buf_adds(&e->bytes, a->bytes);
	if (n->changed_per_mille > 0 &&
	    ld_rand_below(&n->rand, 1000) < n->changed_per_mille)
		e->bytes.p[ld_rand_below(&n->rand, e->bytes.len)] =
		    (char)ld_rand_u64(&n->rand);
}

static inline void
net_close(struct net *n, int from, uint32_t link)
{
	size_t conn;
	int side;

	if (!net_find(n, from, link, &conn, &side))
		return;
	n->conns[conn].open[side] = false;
	if (!net_is_cut(n, &n->conns[conn]))
		net_post(n, conn, 1 - side, NET_CLOSED, 1);
}

static inline void
net_trace(struct net *n, int i, const struct ld_peers_action *a)
{
	static const char *const names[] = {
	    "dial", "send", "close", "member", "record", "catalogue", "direct"};

	fprintf(
	    n->trace, "%" PRIu64 " node%d %s", net_now(n), i, names[a->kind]);
	if (a->kind <= LD_PEERS_CLOSE)
		fprintf(n->trace, " link=%u", a->link);
	if (a->address.len > 0)
		fprintf(n->trace, " %.*s", LD_FMT(a->address));
	if (a->kind == LD_PEERS_MEMBER)
		fprintf(n->trace, " %.*s state=%d gone=%d",
		    LD_FMT(a->member.address), (int)a->member.state,
		    (int)a->removed);
	if (a->kind == LD_PEERS_RECORD)
		fprintf(n->trace, " %.*s kind=%d seq=%" PRIu64,
		    LD_FMT(a->record.origin), (int)a->record.kind,
		    a->record.seq);
	for (size_t at = 0; at < a->bytes.len; at++)
		fprintf(n->trace, "%s%02x", at == 0 ? " " : "",
		    (unsigned char)a->bytes.p[at]);
	fputc('\n', n->trace);
}

static inline void
net_notice(struct net *n, int i, const struct ld_peers_action *a)
{
	struct net_node *node = &n->node[i];

	if (a->kind == LD_PEERS_MEMBER && !a->removed &&
	    a->member.state == LD_PEERS_DEAD)
		node->deaths++;
	if (a->kind == LD_PEERS_RECORD)
		node->records_in++;
	if (a->kind == LD_PEERS_DIRECT)
		node->direct_in++;
	if (a->kind != LD_PEERS_CATALOGUE)
		return;
	node->revision = a->revision;
	node->revision_ms = net_now(n);
	if (n->confirm)
		ld_peers_confirm_catalogue(
		    node->peers, net_now(n), a->revision);
}

/** net_act() - perform the actions of node @i after any call into it */
static inline void
net_act(struct net *n, int i)
{
	struct ld_peers_action a;

	while (ld_peers_next_action(n->node[i].peers, &a)) {
		if (n->trace != NULL)
			net_trace(n, i, &a);
		if (a.kind == LD_PEERS_DIAL)
			net_dial(n, i, &a);
		else if (a.kind == LD_PEERS_SEND)
			net_send(n, i, &a);
		else if (a.kind == LD_PEERS_CLOSE)
			net_close(n, i, a.link);
		else
			net_notice(n, i, &a);
	}
	ld_timer_start(
	    n->timers, &n->node[i].tick, ld_peers_next_due(n->node[i].peers));
}

/* ---- Delivery ---- */

static inline void
net_tick(struct ld_timer *t, uint64_t now_ms)
{
	struct net_node *node = (struct net_node *)t;

	if (node->frozen) {
		ld_timer_start(
		    node->net->timers, t, now_ms + NET_FROZEN_RETRY_MS);
		return;
	}
	ld_peers_tick(node->peers, now_ms);
	net_act(node->net, (int)(node - node->net->node));
}

static inline void
net_deliver(struct net_event *e, uint64_t now_ms)
{
	struct net_conn *c = &e->net->conns[e->conn];
	int i = c->node[e->side];
	struct ld_peers *p = e->net->node[i].peers;

	if (e->kind == NET_ACCEPT) {
		net_note_link(
		    e->net, e->conn, e->side, ld_peers_accepted(p, now_ms));
	} else if (!c->open[e->side]) {
		return;
	} else if (e->kind == NET_CONNECTED) {
		ld_peers_connected(p, now_ms, c->link[e->side]);
	} else if (e->kind == NET_MESSAGE) {
		ld_peers_message(
		    p, now_ms, c->link[e->side], ld_buf_str(&e->bytes));
	} else {
		c->open[e->side] = false;
		ld_peers_closed(p, now_ms, c->link[e->side]);
	}
	net_act(e->net, i);
}

static inline void
net_fire(struct ld_timer *t, uint64_t now_ms)
{
	struct net_event *e = (struct net_event *)t;
	struct net_conn *c = &e->net->conns[e->conn];
	struct net_node *node = &e->net->node[c->node[e->side]];

	if (node->peers != NULL && node->process == c->process[e->side]) {
		if (node->frozen) {
			ld_timer_start(
			    e->net->timers, t, now_ms + NET_FROZEN_RETRY_MS);
			return;
		}
		net_deliver(e, now_ms);
	}
	net_event_free(e);
}

/* ---- Control ---- */

static inline void
net_start(struct net *n, int i)
{
	struct net_node *node = &n->node[i];
	struct ld_str seeds[NET_SEEDS];
	char domain[16], region[16];
	struct ld_peers_config config = {0};

	snprintf(domain, sizeof(domain), "z%d", node->domain);
	snprintf(region, sizeof(region), "r%d", node->region);
	for (int s = 0; s < NET_SEEDS; s++)
		seeds[s] = ld_str_c(
		    n->node[(size_t)s * (size_t)n->nodes / NET_SEEDS].address);
	config.address = ld_str_c(node->address);
	config.incarnation = ld_rand_u64(&n->rand) | 1;
	config.domain = ld_str_c(domain);
	config.region = ld_str_c(region);
	config.seeds = seeds;
	config.seed_count = node->waits_for_dials ? 0 : NET_SEEDS;
	config.seed = ld_rand_u64(&n->rand);
	node->process++;
	node->frozen = false;
	node->revision = 0;
	node->peers = ld_peers_new(&config, net_now(n));
	net_act(n, i);
}

/** net_kill() - end the process of a node and reset its connections */
static inline void
net_kill(struct net *n, int i)
{
	for (size_t conn = 0; conn < n->conn_count; conn++) {
		struct net_conn *c = &n->conns[conn];

		for (int s = 0; s < 2; s++) {
			if (!c->open[s] || c->node[s] != i)
				continue;
			c->open[s] = false;
			if (!net_is_cut(n, c))
				net_post(n, conn, 1 - s, NET_CLOSED, 1);
		}
	}
	ld_timer_stop(n->timers, &n->node[i].tick);
	ld_peers_free(n->node[i].peers);
	n->node[i].peers = NULL;
}

/** net_init() - @nodes nodes spread over @regions with @domains in each */
static inline void
net_init(struct net *n, int nodes, int regions, int domains,
    unsigned int loss_per_mille, uint64_t seed)
{
	memset(n, 0, sizeof(*n));
	printf("seed %" PRIu64 " ", seed);
	ld_rand_seed(&n->rand, seed);
	n->timers = ld_timers_new(1000);
	n->events.next = &n->events;
	n->events.prev = &n->events;
	n->nodes = nodes;
	n->trace = net_trace_to;
	n->loss_per_mille = loss_per_mille;
	for (int i = 0; i < nodes; i++) {
		struct net_node *node = &n->node[i];

		node->net = n;
		node->tick.fn = net_tick;
		node->region = i % regions;
		node->domain = node->region + regions * (i / regions % domains);
		snprintf(node->address, sizeof(node->address),
		    "10.0.%d.%d:7000", i / 256, i % 256);
	}
}

static inline void
net_free(struct net *n)
{
	for (int i = 0; i < n->nodes; i++) {
		ld_timer_stop(n->timers, &n->node[i].tick);
		ld_peers_free(n->node[i].peers);
		free(n->node[i].conn_of);
	}
	while (n->events.next != &n->events)
		net_event_free(n->events.next);
	ld_timers_free(n->timers);
	free(n->conns);
}

static inline void
net_run(struct net *n, uint64_t ms)
{
	ld_timers_advance(n->timers, net_now(n) + ms);
}

/* ---- Queries ---- */

/** net_agree() - every running node counts just the running ones alive */
static inline bool
net_agree(const struct net *n)
{
	size_t running = 0;

	for (int i = 0; i < n->nodes; i++)
		running += n->node[i].peers != NULL;
	for (int i = 0; i < n->nodes; i++) {
		if (n->node[i].peers != NULL &&
		    ld_peers_alive_count(n->node[i].peers) != running)
			return false;
	}
	return true;
}

/** net_run_until_agree() - Return: ms taken, at least @limit_ms if none */
static inline uint64_t
net_run_until_agree(struct net *n, uint64_t limit_ms)
{
	uint64_t start = net_now(n);

	while (!net_agree(n) && net_now(n) - start < limit_ms)
		net_run(n, 100);
	return net_now(n) - start;
}

static inline uint64_t
net_deaths(const struct net *n)
{
	uint64_t sum = 0;

	for (int i = 0; i < n->nodes; i++)
		sum += n->node[i].deaths;
	return sum;
}

#endif
