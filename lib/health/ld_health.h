/*
 * Server health: probe schedule, reports, suspicion and death. The module does
 * no I/O and reads no clock: events with a time go in, actions come out.
 * Source: lib/health.
 */
#ifndef LD_HEALTH_H
#define LD_HEALTH_H

#include "ld_common.h"

/* In bytes, including the terminating NUL. */
#define LD_HEALTH_ADDRESS_MAX 56
#define LD_HEALTH_NAME_MAX 48
/* Maximum number of reporters whose latest report is kept for a server. */
#define LD_HEALTH_REPORTERS_MAX 6

/**
 * struct ld_health_config - settings; times in ms
 * @self: this node's identity, as in the live list
 * @zone: this node's failure domain
 * @probers: number of nodes that probe each server
 * @interval_ms: mean time between two probes of a server by one node
 * @jitter_pct: maximum deviation of an interval in either direction
 * @timeout_ms: a probe without an answer after this time has failed
 * @report_ttl_ms: lifetime of a report, counted from just before its probe
 * @suspect_after: consecutive failed probes that make a server suspect
 * @dead_after_ms: a suspect server without an answer for this time is dead
 * @slow_factor: a server slower than this multiple of the median is a straggler
 * @slow_min_ms: a server faster than this is never a straggler
 * @run: random number of this process; distinguishes its reports from those of
 *	an earlier process at the same address
 * @seed: of the random generator for jitter
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

/** ld_health_defaults() - default settings; self and zone are empty */
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

/** enum ld_health_verdict - one reporter's verdict on one server */
enum ld_health_verdict {
	LD_HEALTH_OK, /* answered, or too few failures to suspect */
	LD_HEALTH_FAILING, /* suspect: probes fail, but it is not dead yet */
	LD_HEALTH_FAILED, /* dead according to this reporter's own probes */
	LD_HEALTH_VERDICT_COUNT
};

/**
 * struct ld_health_report - one reporter's latest report on one server
 * @replica: replica that the server itself reports to hold; "" for none
 * @run: of the reporter's process
 * @seq: increases with each report of this run
 * @sent_ms: time of creation, on the reporter's clock
 * @age_ms: time from just before the last answered probe was sent to @sent_ms
 * @never_answered: no probe by this reporter has been answered yet
 *
 * Contains no pointers, so that tasks can post it by value.
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

/** enum ld_health_state - merged state from all reports held here */
enum ld_health_state {
	LD_HEALTH_UNKNOWN, /* no fresh report: the server must not be used */
	LD_HEALTH_LIVE,
	LD_HEALTH_SUSPECT, /* avoided, not yet dead */
	LD_HEALTH_DEAD,
	LD_HEALTH_STATE_COUNT
};

const char *ld_health_state_name(enum ld_health_state s);

/**
 * struct ld_health_view - merged view of one server, for routing and control
 * @fresh: the server's latest answer is younger than the report lifetime; else
 *	@age_ms, replica, incarnation, epoch, ready and load are 0 or empty
 * @age_ms: age of that answer
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
	LD_HEALTH_PUBLISH, /* publish the report as a record of lib/peers */
};

/**
 * struct ld_health_action - action for the adapter to perform
 * @probe: number of the probe, to be passed back with its result
 * @changed: the report differs from the last one published and has to be sent
 *	to all nodes at once; an unchanged one only extends the lifetime
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
	LD_HEALTH_REFUSED, /* connection refused: no process listens */
	LD_HEALTH_TIMED_OUT, /* also: reset, closed, or no route */
	LD_HEALTH_MALFORMED, /* the answer can't be parsed */
};

/**
 * struct ld_health_answer - content of the GET /health and GET /load answers
 * @load_known: running, waiting and slots are set
 * @took_ms: from before the connection was opened to the end of the answer
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

/** ld_health_set_nodes() - replace the list of live entry nodes, with self */
void ld_health_set_nodes(struct ld_health *h,
    const struct ld_health_node *nodes, size_t n, uint64_t now_ms);
/** ld_health_set_servers() - replace the list of servers */
void ld_health_set_servers(struct ld_health *h,
    const struct ld_health_server *servers, size_t n, uint64_t now_ms);

/** ld_health_tick() - start due probes and time out unanswered ones */
void ld_health_tick(struct ld_health *h, uint64_t now_ms);
/** ld_health_next_ms() - time at which ld_health_tick() is due next */
uint64_t ld_health_next_ms(const struct ld_health *h);

/**
 * ld_health_probe_result() - a probe ended
 * @answer: for LD_HEALTH_ANSWERED, else NULL
 *
 * Results of a probe that is no longer pending are ignored.
 */
void ld_health_probe_result(struct ld_health *h, uint64_t probe,
    enum ld_health_outcome outcome, const struct ld_health_answer *answer,
    uint64_t now_ms);

/**
 * ld_health_call_result() - outcome of one of this node's own calls
 * @token_ms: mean time between tokens of the call, 0 if unknown
 *
 * A failed call never makes a server dead, but triggers a probe at once.
 */
void ld_health_call_result(struct ld_health *h, struct ld_str address,
    enum ld_health_outcome outcome, uint32_t token_ms, uint64_t now_ms);

/** ld_health_report_encode() - append the msgpack encoding of the report */
void ld_health_report_encode(
    const struct ld_health_report *r, struct ld_buf *out);
/**
 * ld_health_report_decode() - decode the output of ld_health_report_encode()
 *
 * Return: LD_OK or LD_E_PROTOCOL.
 */
enum ld_status ld_health_report_decode(
    struct ld_str bytes, struct ld_health_report *out);

/**
 * ld_health_peer_report() - process a report received from another node
 *
 * The delay of a report is estimated relative to the fastest report of the same
 * reporter. There is no such reference during the first report lifetime after
 * the first report of a reporter, so its answers do not count as fresh until
 * then.
 *
 * Return: LD_OK; LD_E_STALE when the report has expired or is not newer than
 * the stored one of that reporter; LD_E_NOT_FOUND for a server not in the list.
 */
enum ld_status ld_health_peer_report(
    struct ld_health *h, const struct ld_health_report *r, uint64_t now_ms);

/** ld_health_next_action() - dequeue the next action; false if there is none */
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
 * ld_health_is_usable() - whether a replica on a server is usable at @now_ms
 *
 * True if the latest answer of the server is fresh, names this replica and
 * epoch and is ready, and the server is not dead. Routers and the controller
 * check this for each member of a replica.
 */
bool ld_health_is_usable(const struct ld_health *h, struct ld_str address,
    struct ld_str replica, uint64_t epoch, uint64_t now_ms);

/** ld_health_is_prober() - whether this node is a prober of @address */
bool ld_health_is_prober(const struct ld_health *h, struct ld_str address);

#endif
