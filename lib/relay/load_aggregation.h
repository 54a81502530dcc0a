/*
 * Exchange of server load among the nodes. Decides which node sends load
 * reports to which, and applies the ones received; uses no socket and no clock.
 *
 * Scales to hundreds of nodes: the data that a node receives grows with the
 * number of groups, not of nodes. In each failure domain one node, the
 * aggregator, collects the reports of the others (its sources), exchanges
 * partial sums with the aggregators of the other domains, and returns the
 * totals to its sources. With few nodes each one sends its own load to all
 * others.
 */
#ifndef LOAD_AGGREGATION_H
#define LOAD_AGGREGATION_H

#include <netinet/in.h>

#include "ld_servers.h"
#include "mesh_codec.h"

/** struct peer_load - load at one server, as last reported by a peer */
struct peer_load {
	uint32_t server; /* id_hash of the server, 0: free slot */
	uint32_t counts[LD_COUNT_KINDS];
	uint32_t
	    counted_active; /* requests added to peer_active of the server */
	bool has_rate; /* as last reported */
	bool is_source; /* and to its source_active */
	uint64_t received_ms;
};

/** struct peer_load_table - by server, open addressing with linear probing */
struct peer_load_table {
	struct peer_load *v;
	size_t capacity; /* a power of two, or 0 */
	size_t used;
};

/** struct peer - another node */
struct peer {
	char name[64];
	struct sockaddr_in address;
	uint64_t processor_permille;
	uint32_t domain; /* hash of its failure domain */
	bool can_delegate; /* may be used as delegate, as last sent */
	bool listed; /* had an entry in the store at the last read */
	uint64_t listed_ms; /* its entry was last read */
	uint64_t excluded_until_ms; /* not used as delegate until then */
	uint64_t
	    no_help_until_ms; /* no request is forwarded to it until then */
	uint64_t last_datagram_ms; /* any datagram, 0: none yet */
	uint64_t alive_since_ms; /* without a gap */
	uint32_t covered; /* as in its last datagram with a rate */
	uint64_t number; /* of the newest datagram */
	uint64_t first_report_ms; /* sent first since it was listed, 0: none */
	uint64_t probe_sent_ms;
	uint64_t report_received_ms; /* last report, 0: never */
	uint64_t probe_received_ms; /* last probe */
	uint64_t partial_received_ms; /* last partial sum */
	struct peer_load_table loads;
};

/* Alarms and findings that are held to be sent, at most. */
#define AGG_FINDINGS_MAX 256
#define AGG_NOTICES_MAX (MESH_ALARMS_MAX + AGG_FINDINGS_MAX)

enum agg_notice_kind {
	AGG_ALARM,
	AGG_FINDING,
	AGG_NOTICE_KIND_COUNT
};

/**
 * struct agg_notice - an alarm or a finding, while it is repeated
 * @alarm, @finding: the one that @kind says
 * @is_partial: own or of a source: sent to aggregators
 */
struct agg_notice {
	enum agg_notice_kind kind;
	struct mesh_alarm alarm;
	struct ld_finding finding;
	bool is_partial;
	uint64_t since_ms;
};

struct load_aggregation;

/**
 * struct agg_ops - callbacks to the owner
 * @send: send a datagram to @n peers; a loss delays load updates, and is safe
 * @prompt_sent: other nodes have sent prompts to @s
 * @rate_changed: a peer reports another rate that @s takes
 * @alarm: a peer reports a silent group; called once for each alarm
 * @finding: a peer sends a finding about a part of prompts; called once for each
 */
struct agg_ops {
	void (*send)(struct load_aggregation *a, struct peer *const *to,
	    size_t n, const struct mesh_datagram *d);
	void (*prompt_sent)(struct load_aggregation *a, struct ld_server *s,
	    uint64_t tokens, uint64_t now_ms);
	void (*rate_changed)(struct load_aggregation *a, struct ld_server *s);
	void (*alarm)(
	    struct load_aggregation *a, const struct mesh_alarm *alarm);
	void (*finding)(
	    struct load_aggregation *a, const struct ld_finding *finding);
};

/**
 * struct load_aggregation - load exchange of one node
 * @name, @domain, @processor_permille: of this node
 * @from_nodes: number of nodes from which on aggregators are used
 * @can_delegate: peers may follow the store through this node
 */
struct load_aggregation {
	const struct agg_ops *ops; /* first member */
	const char *name;
	uint32_t domain;
	uint64_t processor_permille;
	size_t from_nodes;
	bool can_delegate;
	struct ld_servers *servers;
	struct peer *peers;
	size_t peer_count;
	uint64_t number; /* of the last datagram */
	size_t rotation; /* candidate of other domains that is tried next */
	uint64_t next_ms;
	struct agg_notice notices[AGG_NOTICES_MAX];
	size_t notice_count;
};

/**
 * agg_domain() - hash of a failure domain
 * @failure_domain: its name is the first word; in an entry later versions may
 *	add words
 */
uint32_t agg_domain(struct ld_str failure_domain);
void agg_free(struct load_aggregation *a);

/**
 * agg_peer_add() - add or update a listed node; NULL above the limit of peers
 */
struct peer *agg_peer_add(
    struct load_aggregation *a, struct ld_str name, uint64_t now_ms);
struct peer *agg_peer_find(
    const struct load_aggregation *a, struct ld_str name);
void agg_peer_drop(struct load_aggregation *a, struct peer *p);
/** agg_is_alive() - it sent a datagram within the liveness timeout */
bool agg_is_alive(
    const struct load_aggregation *a, const struct peer *p, uint64_t now_ms);
/**
 * agg_current_aggregator() - the aggregator of this node's failure domain
 *
 * The responding node with the largest share of a core; among equals the one
 * whose name sorts first. Nodes with the same view choose the same one. NULL:
 * this node itself, or no aggregators are used.
 */
struct peer *agg_current_aggregator(
    const struct load_aggregation *a, uint64_t now_ms);
/**
 * agg_best_delegate() - live node of this failure domain that can be followed
 */
struct peer *agg_best_delegate(
    const struct load_aggregation *a, uint64_t now_ms);
/** agg_receives_partials() - this node aggregates, or all nodes send to all */
bool agg_receives_partials(const struct load_aggregation *a, uint64_t now_ms);

/** agg_tick() - send what is due; call at least every 15 ms */
void agg_tick(struct load_aggregation *a, uint64_t now_ms);
/** agg_receive() - process a datagram from @p */
void agg_receive(struct load_aggregation *a, struct peer *p,
    const struct mesh_datagram *d, uint64_t now_ms);
/** agg_alarm() - report a silent group to the others at the next tick */
void agg_alarm(struct load_aggregation *a, const char *group, int64_t epoch,
    uint64_t now_ms);

/** agg_finding() - send a finding to the others at the next tick */
void agg_finding(
    struct load_aggregation *a, const struct ld_finding *f, uint64_t now_ms);

/* ---- agg_notices.c: alarms and findings, which all nodes receive ---- */

/** agg_notices_expire() - drop those that were repeated for long enough */
void agg_notices_expire(struct load_aggregation *a, uint64_t now_ms);
/** agg_notices_fill_alarms() - set the alarms of a datagram of its kind */
void agg_notices_fill_alarms(
    const struct load_aggregation *a, struct mesh_datagram *d);
/**
 * agg_notices_fill_findings() - set the findings of a datagram of its kind
 * @from: notice to begin with
 *
 * Return: the notice to begin the next datagram with.
 */
size_t agg_notices_fill_findings(
    const struct load_aggregation *a, struct mesh_datagram *d, size_t from);
/** agg_notices_receive() - report the new ones to the owner, and hold them */
void agg_notices_receive(
    struct load_aggregation *a, const struct mesh_datagram *d, uint64_t now_ms);

/* ---- peer_load.c: applies one received load ---- */

/**
 * peer_load_update() - replace the load that @p reported before for @s
 *
 * Return: prompt tokens that other nodes have sent to @s since then.
 */
uint64_t peer_load_update(struct peer *p, struct ld_server *s,
    enum mesh_kind kind, const struct mesh_load *l, uint64_t now_ms);
/** peer_load_expire() - subtract loads that were not reported again in time */
void peer_load_expire(
    struct peer *p, struct ld_servers *servers, uint64_t now_ms);
void peer_load_table_free(struct peer_load_table *t);

#endif
