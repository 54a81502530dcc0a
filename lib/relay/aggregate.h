/*
 * Load at the backend servers, told among the nodes. Decides who tells whom and
 * what follows from what is heard; holds no socket and no clock.
 *
 * Answers the load of hundreds of nodes: what a node receives goes with the
 * number of groups, not of nodes. In each failure domain one node, the
 * aggregator, collects the reports of the others (its sources), exchanges
 * partial sums with the aggregators of the other domains, and returns the totals
 * to its sources. With few nodes each one tells all others for itself.
 */
#ifndef AGGREGATE_H
#define AGGREGATE_H

#include <netinet/in.h>

#include "ld_servers.h"
#include "mesh_speech.h"

/** struct told - the load at one server, as a peer told last */
struct told {
	uint32_t server; /* its id_hash, 0: the place is free */
	uint32_t tokens;
	uint32_t counted; /* requests added to the server's peer_active */
	bool is_source; /* and to its source_active */
	uint64_t at_ms;
};

/** struct told_table - by server, linear probing */
struct told_table {
	struct told *v;
	size_t room; /* a power of two, or 0 */
	size_t used;
};

/** struct peer - another node */
struct peer {
	char name[64];
	struct sockaddr_in at;
	uint64_t processor_permille;
	uint32_t domain; /* hash of its failure domain */
	bool can_watch; /* it may tell the store's changes, as told last */
	bool listed; /* the store has its entry, as read last */
	uint64_t listed_ms; /* its entry was told last */
	uint64_t avoid_until_ms; /* as a delegate of the store's changes */
	uint64_t heard_ms; /* any datagram, 0: none yet */
	uint64_t heard_since_ms; /* without a gap */
	uint64_t number; /* of the newest datagram */
	uint64_t asked_ms; /* first report to it since it was listed, 0: none */
	uint64_t probed_ms;
	uint64_t report_ms; /* it reported to this node, 0: never */
	uint64_t probe_ms; /* it asked for the totals */
	uint64_t partial_ms; /* it told a partial sum */
	struct told_table told;
};

/** struct agg_alarm - a group that stands still, as long as it is told */
struct agg_alarm {
	struct mesh_alarm alarm;
	bool
	    is_partial; /* of this node or a source: other aggregators are told */
	uint64_t since_ms;
};

struct aggregate;

/**
 * struct agg_ops - what the owner does
 * @send: a datagram to @n peers; losing it costs speed, never safety
 * @prompt_sent: other nodes have sent prompts to @s
 * @alarm: a peer says that a group stands still; once for each alarm
 */
struct agg_ops {
	void (*send)(struct aggregate *a, struct peer *const *to, size_t n,
	    const struct mesh_datagram *d);
	void (*prompt_sent)(struct aggregate *a, struct ld_server *s,
	    uint64_t tokens, uint64_t now_ms);
	void (*alarm)(struct aggregate *a, const struct mesh_alarm *alarm);
};

/**
 * struct aggregate - what one node knows of the others
 * @name, @domain, @processor_permille: of this node
 * @from_nodes: with so many nodes there are aggregators
 * @can_watch: peers may follow the store through this node
 */
struct aggregate {
	const struct agg_ops *ops; /* first member */
	const char *name;
	uint32_t domain;
	uint64_t processor_permille;
	size_t from_nodes;
	bool can_watch;
	struct ld_servers *servers;
	struct peer *peers;
	size_t peer_count;
	uint64_t number; /* of the last datagram */
	uint64_t next_ms;
	struct agg_alarm alarms[MESH_ALARMS_MAX];
	size_t alarm_count;
};

uint32_t agg_domain(struct ld_str failure_domain);
void agg_free(struct aggregate *a);

/** agg_peer_add() - a node has an entry; the peer, or NULL beyond the bound */
struct peer *agg_peer_add(
    struct aggregate *a, struct ld_str name, uint64_t now_ms);
struct peer *agg_peer_find(const struct aggregate *a, struct ld_str name);
void agg_peer_drop(struct aggregate *a, struct peer *p);
/** agg_is_heard() - it told something a moment ago */
bool agg_is_heard(
    const struct aggregate *a, const struct peer *p, uint64_t now_ms);
/**
 * agg_choice() - the aggregator of this node's failure domain
 *
 * The node with the largest share of a core, of equals the one whose name comes
 * first, of those that answer. Nodes that see the same choose the same. NULL:
 * this node itself, or there are no aggregators.
 */
struct peer *agg_choice(const struct aggregate *a, uint64_t now_ms);
/** agg_best_watcher() - of this node's failure domain, heard, and can watch */
struct peer *agg_best_watcher(const struct aggregate *a, uint64_t now_ms);
/** agg_collects() - this node is an aggregator, or each tells all others */
bool agg_collects(const struct aggregate *a, uint64_t now_ms);

/** agg_tick() - tell what is due; call at least each 15 ms */
void agg_tick(struct aggregate *a, uint64_t now_ms);
/** agg_take() - a datagram of @p came */
void agg_take(struct aggregate *a, struct peer *p,
    const struct mesh_datagram *d, uint64_t now_ms);
/** agg_alarm() - a group stands still: tell the others at the next tick */
void agg_alarm(
    struct aggregate *a, const char *group, int64_t epoch, uint64_t now_ms);

/* ---- told.c: what follows from one load that was told ---- */

/**
 * told_take() - a load that @p told replaces what it told before
 *
 * Return: prompt tokens that other nodes have sent to @s since then.
 */
uint64_t told_take(struct peer *p, struct ld_server *s, enum mesh_kind kind,
    const struct mesh_load *l, uint64_t now_ms);
/** told_expire() - takes back what was not told again in time */
void told_expire(struct peer *p, struct ld_servers *servers, uint64_t now_ms);
void told_free(struct told_table *t);

#endif
