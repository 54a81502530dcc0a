/* Fixture for the lib/peers tests: one network and helpers for its nodes. */
#ifndef LD_PEERS_FIXTURE_H
#define LD_PEERS_FIXTURE_H

#include "ld_test.h"
#include "peers_net.h"

#define SMALL 8
#define FLEET 390
#define LOSS 20 /* per mille */
#define JOIN_LIMIT_MS 20000
#define MINUTE_MS UINT64_C(60000)

static struct net net;

static inline void
start(int nodes, int regions, int domains, unsigned int loss, uint64_t seed)
{
	net_init(&net, nodes, regions, domains, loss, seed);
	net.confirm = true;
	for (int i = 0; i < nodes; i++)
		net_start(&net, i);
	net_run_until_agree(&net, JOIN_LIMIT_MS);
	CU_ASSERT_TRUE(net_agree(&net));
}

static inline struct ld_peers_counters
counters(int i)
{
	struct ld_peers_counters c;

	ld_peers_counters(net.node[i].peers, &c);
	return c;
}

static inline void
publish(int i, enum ld_peers_kind kind, struct ld_str key, struct ld_str value)
{
	CU_ASSERT_EQUAL(ld_peers_publish(
			    net.node[i].peers, net_now(&net), kind, key, value),
	    LD_OK);
	net_act(&net, i);
}

static inline bool
has_record(
    int i, enum ld_peers_kind kind, struct ld_str key, struct ld_str value)
{
	struct ld_peers_record r;

	return ld_peers_newest_record(net.node[i].peers, kind, key, &r) ==
	    LD_OK &&
	    ld_str_eq(r.value, value);
}

static inline void
offer_catalogue(int i, uint64_t revision)
{
	struct net_node *node = &net.node[i];

	CU_ASSERT_EQUAL(ld_peers_offer_catalogue(node->peers, net_now(&net),
			    revision, LD_STR("{\"entries\":[]}")),
	    LD_OK);
	ld_peers_confirm_catalogue(node->peers, net_now(&net), revision);
	node->revision = revision;
	node->revision_ms = net_now(&net);
	net_act(&net, i);
}

static inline bool
all_hold(uint64_t revision)
{
	for (int i = 0; i < net.nodes; i++) {
		if (net.node[i].peers != NULL &&
		    ld_peers_catalogue(net.node[i].peers, NULL) != revision)
			return false;
	}
	return true;
}

/* Return: ms until all running nodes hold @revision. */
static inline uint64_t
spread_catalogue(int from, uint64_t revision, uint64_t limit_ms)
{
	uint64_t begin = net_now(&net);

	offer_catalogue(from, revision);
	while (!all_hold(revision) && net_now(&net) - begin < limit_ms)
		net_run(&net, 50);
	return net_now(&net) - begin;
}

#endif
