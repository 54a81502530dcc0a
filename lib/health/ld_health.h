/*
 * Server health: the probe schedule, typed reports, suspicion and death.
 * Pure decisions: events with a time go in, actions come out.
 * Source: lib/health.
 */
#ifndef LD_HEALTH_H
#define LD_HEALTH_H

#include "ld_common.h"

/* Bytes with the terminating NUL. */
#define LD_HEALTH_ADDRESS_MAX 56
#define LD_HEALTH_NAME_MAX 48
/* Reports of so many distinct reporters are kept for each server. */
#define LD_HEALTH_REPORTERS_MAX 6

/**
 * struct ld_health_config - settings; times in ms
 * @self: this node's identity, as it stands in the live list
 * @zone: this node's failure domain
 * @probers: nodes that probe each server
 * @interval_ms: mean time between two probes of a server by one node
 * @jitter_pct: each interval varies by up to this much, up or down
 * @timeout_ms: a probe without an answer for so long has failed
 * @report_ttl_ms: life of a report, from before its probe was sent
 * @suspect_after: failed probes in a row that make a server suspect
 * @dead_after_ms: without an answer for so long, a suspect server is dead
 * @slow_factor: answers slower than this many medians make a straggler
 * @slow_min_ms: answers below this never make a straggler
 * @run: random number of this process; its reports are told from those of an
 *	earlier process at the same address by it
 * @seed: of the jitter
 */
struct ld_health_config {
	struct ld_str self;
	struct ld_str zone;
	uint32_t probers;
	uint32_t interval_ms;
	uint32_t jitter_pct;
	uint32_t timeout_ms;
	uint32_t report_ttl_ms;
	uint32_t suspect_after;
	uint32_t dead_after_ms;
	uint32_t slow_factor;
	uint32_t slow_min_ms;
	uint64_t run;
	uint64_t seed;
};

/** ld_health_defaults() - settings for today's sizes; self and zone empty */
void ld_health_defaults(struct ld_health_config *c);

/** struct ld_health_node - one live entry node */
struct ld_health_node {
	struct ld_str id;
	struct ld_str zone;
};

/** struct ld_health_server - one server of the live list */
struct ld_health_server {
	struct ld_str address;
	struct ld_str zone;
	bool leaving;
};

/** enum ld_health_verdict - what one reporter says about one server */
enum ld_health_verdict {
	LD_HEALTH_OK, /* its last probe was answered */
	LD_HEALTH_FAILING, /* suspect: probes fail, not yet for long */
	LD_HEALTH_FAILED, /* dead by this reporter's own probes */
	LD_HEALTH_VERDICT_COUNT
};

/**
 * struct ld_health_report - one reporter's latest word on one server
 * @replica: what the server itself said that it holds; "" for none
 * @run: of the reporter's process
 * @seq: rises with each report of this run
 * @sent_ms: when it was made, on the reporter's clock
 * @age_ms: at @sent_ms, time since before the last answered probe was sent
 * @never_answered: no probe by this reporter was ever answered
 *
 * Self-contained with no pointers, so that tasks can post it as it is.
 */
struct ld_health_report {
	char reporter[LD_HEALTH_ADDRESS_MAX];
	char address[LD_HEALTH_ADDRESS_MAX];
	char replica[LD_HEALTH_NAME_MAX];
	char incarnation[LD_HEALTH_NAME_MAX];
	uint64_t epoch;
	uint64_t run;
	uint64_t seq;
	uint64_t sent_ms;
	enum ld_health_verdict verdict;
	bool never_answered;
	bool ready;
	bool straggler;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t age_ms;
};

/** enum ld_health_state - what all reports known here add up to */
enum ld_health_state {
	LD_HEALTH_UNKNOWN, /* no fresh report: must not be relied on */
	LD_HEALTH_LIVE,
	LD_HEALTH_SUSPECT, /* avoided, not yet given up */
	LD_HEALTH_DEAD,
	LD_HEALTH_STATE_COUNT
};

const char *ld_health_state_name(enum ld_health_state s);

/**
 * struct ld_health_view - merged view of one server, for routing and control
 * @fresh: the server's own answer is younger than the report life; only then
 *	do replica, epoch, ready and load mean anything
 * @age_ms: of that answer
 */
struct ld_health_view {
	char address[LD_HEALTH_ADDRESS_MAX];
	char replica[LD_HEALTH_NAME_MAX];
	char incarnation[LD_HEALTH_NAME_MAX];
	enum ld_health_state state;
	bool fresh;
	bool ready;
	bool straggler;
	bool leaving;
	uint64_t epoch;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t age_ms;
};

enum ld_health_action_type {
	LD_HEALTH_PROBE, /* GET /health and /load on a fresh connection */
	LD_HEALTH_PUBLISH, /* hand the report to the peers' record table */
};

/**
 * struct ld_health_action - what the adapter has to do
 * @probe: number of the probe, to be given back with its result
 * @changed: for a report: what it says differs from the last one published,
 *	so it goes to everyone at once; an unchanged one only renews the life
 */
struct ld_health_action {
	enum ld_health_action_type type;
	char address[LD_HEALTH_ADDRESS_MAX];
	uint64_t probe;
	bool changed;
	struct ld_health_report report;
};

/** enum ld_health_outcome - how a probe or a call ended */
enum ld_health_outcome {
	LD_HEALTH_ANSWERED,
	LD_HEALTH_REFUSED, /* nobody listens: the process is gone */
	LD_HEALTH_TIMED_OUT, /* also: reset, closed, or no route */
	LD_HEALTH_MALFORMED, /* an answer that says nothing usable */
};

/**
 * struct ld_health_answer - what GET /health and GET /load said
 * @load_known: the load members were read
 * @took_ms: from before the connection was made to the whole answer
 */
struct ld_health_answer {
	struct ld_str replica;
	struct ld_str incarnation;
	uint64_t epoch;
	bool ready;
	bool load_known;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t took_ms;
};

struct ld_health;

/** ld_health_new() - the strings of @config are copied */
struct ld_health *ld_health_new(
    const struct ld_health_config *config, uint64_t now_ms);
void ld_health_free(struct ld_health *h);

/** ld_health_set_nodes() - replace the list of live entry nodes, self too */
void ld_health_set_nodes(struct ld_health *h,
    const struct ld_health_node *nodes, size_t n, uint64_t now_ms);
/** ld_health_set_servers() - replace the list of servers */
void ld_health_set_servers(struct ld_health *h,
    const struct ld_health_server *servers, size_t n, uint64_t now_ms);

/** ld_health_tick() - probe what is due, and let time pass judgement */
void ld_health_tick(struct ld_health *h, uint64_t now_ms);
/** ld_health_next_ms() - when ld_health_tick() is wanted next */
uint64_t ld_health_next_ms(const struct ld_health *h);

/**
 * ld_health_probe_result() - a probe ended
 * @answer: for LD_HEALTH_ANSWERED, else NULL
 *
 * Results of a probe that is no longer awaited are dropped.
 */
void ld_health_probe_result(struct ld_health *h, uint64_t probe,
    enum ld_health_outcome outcome, const struct ld_health_answer *answer,
    uint64_t now_ms);

/**
 * ld_health_call_result() - evidence from this node's own calls
 * @token_ms: mean time between tokens of the call, 0 when not known
 *
 * A failed call never makes a server dead: it has it probed at once.
 */
void ld_health_call_result(struct ld_health *h, struct ld_str address,
    enum ld_health_outcome outcome, uint32_t token_ms, uint64_t now_ms);

/** ld_health_report_encode() - append the report as it travels (msgpack) */
void ld_health_report_encode(
    const struct ld_health_report *r, struct ld_buf *out);
/**
 * ld_health_report_decode() - read what ld_health_report_encode() wrote
 *
 * Return: LD_OK or LD_E_PROTOCOL.
 */
enum ld_status ld_health_report_decode(
    struct ld_str bytes, struct ld_health_report *out);

/**
 * ld_health_peer_report() - a report of another node arrived
 *
 * How long it was under way is worked out from the quickest report of that
 * reporter. During the first report life after a reporter was first heard of
 * there is nothing to compare with, so its answers don't count as fresh yet.
 *
 * Return: LD_OK; LD_E_STALE when it is older than what is known of that
 * reporter or past its life; LD_E_NOT_FOUND for a server not in the list.
 */
enum ld_status ld_health_peer_report(
    struct ld_health *h, const struct ld_health_report *r, uint64_t now_ms);

/** ld_health_next_action() - take the next action; false when there is none */
bool ld_health_next_action(struct ld_health *h, struct ld_health_action *out);

/**
 * ld_health_view() - merged view of a server at @now_ms
 *
 * Return: LD_OK or LD_E_NOT_FOUND.
 */
enum ld_status ld_health_view(const struct ld_health *h, struct ld_str address,
    uint64_t now_ms, struct ld_health_view *out);

/** ld_health_each_view() - call @fn with the view of every listed server */
void ld_health_each_view(const struct ld_health *h, uint64_t now_ms,
    void (*fn)(void *arg, const struct ld_health_view *v), void *arg);

/**
 * ld_health_holds() - whether a member may be relied on at @now_ms
 *
 * Its own answer is fresh and names this replica and epoch and is ready, and
 * it is not dead. Routers and the controller ask this of every member.
 */
bool ld_health_holds(const struct ld_health *h, struct ld_str address,
    struct ld_str replica, uint64_t epoch, uint64_t now_ms);

/** ld_health_probes() - whether this node is a prober of @address */
bool ld_health_probes(const struct ld_health *h, struct ld_str address);

#endif
