/*
 * Counters, gauges, latency histograms and error-budget burn.
 * Source: lib/metrics.
 */
#ifndef LD_METRICS_H
#define LD_METRICS_H

#include "ld_common.h"

/* ---- Counters and gauges ---- */

/** enum ld_metric - counters and gauges of a process; see ld_metric_rows() */
enum ld_metric {
	LD_M_REQUESTS,
	LD_M_TOKENS,
	LD_M_REFUSED,
	LD_M_FAILED,
	LD_M_RETRIES,
	LD_M_RESUMES,
	LD_M_BROKEN_STREAMS,
	LD_M_CANCELLED_STREAMS,
	LD_M_HANGUPS,
	LD_M_SERVICE_CALLS,
	LD_M_SERVICE_UNKNOWN,
	LD_M_BOOKINGS,
	LD_M_BOOKINGS_REPEATED,
	LD_M_OPEN_REQUESTS,
	LD_M_CONNECTIONS,
	LD_M_PAUSES,
	LD_M_CATALOGUE_REVISION,
	LD_M_STORE_CALLS,
	LD_M_STORE_FAILURES,
	LD_M_STORE_STALE,
	LD_M_STORE_OTHER_CLUSTER,
	LD_M_STORE_OVER_BUDGET,
	LD_M_STORE_REVISION,
	LD_M_LIVE_LIST_VERSION,
	LD_M_LIVE_LIST_AGE_MS,
	LD_M_PEERS_ALIVE,
	LD_M_PEERS_LINKS,
	LD_M_PEER_BYTES_IN,
	LD_M_PEER_BYTES_OUT,
	LD_M_PEER_FRAMES_REFUSED,
	LD_M_CAPACITY_SLOTS,
	LD_M_REPLICAS_FIT,
	LD_M_RELAY_ANSWERED,
	LD_M_RELAY_BROKEN,
	LD_M_RELAY_MEMORY_ENDED,
	LD_M_RELAY_SENDS,
	LD_M_RELAY_REPEATS,
	LD_M_HTTP_RESENDS,
	LD_M_RELAY_RESUMED,
	LD_M_RELAY_ORDERS,
	LD_M_RELAY_PROBES,
	LD_M_RELAY_SILENT_GROUPS,
	LD_M_RELAY_CRASH_SUSPECTS,
	LD_M_RELAY_CRASHES,
	LD_M_RELAY_FORWARDED,
	LD_M_RELAY_ISOLATIONS,
	LD_M_RELAY_SERVER_LIMITS,
	LD_M_RELAY_WARMUPS,
	LD_M_RELAY_SLOW_SERVERS,
	LD_M_RELAY_QUARANTINES,
	LD_M_RELAY_QUARANTINE_REFUSED,
	LD_M_RELAY_QUARANTINE_TRIALS,
	LD_M_RELAY_DATAGRAMS_IN,
	LD_M_RELAY_DATAGRAMS_OUT,
	LD_M_RELAY_MESH_UNSENT,
	LD_M_RELAY_MESH_REFUSED,
	LD_M_RELAY_CHANGES_SERVED,
	LD_M_RELAY_CHANGES_REFUSED,
	LD_M_RELAY_FOLLOW_FAILED,
	LD_M_RELAY_STORE_ERAS,
	LD_M_RELAY_CONFIG_VERSION,
	LD_M_RELAY_CONFIG_AGE_MS,
	LD_M_RELAY_LOG_DROPPED,
	LD_M_COUNT
};

/** struct ld_metric_row - description of one counter or gauge */
struct ld_metric_row {
	const char *name;
	bool is_gauge;
	const char *unit;
	const char *help;
};

/** ld_metric_rows() - LD_M_COUNT rows in the order of enum ld_metric */
const struct ld_metric_row *ld_metric_rows(void);

/** enum ld_latency - latency histograms of a process */
enum ld_latency {
	LD_L_FIRST_TOKEN,
	LD_L_TOKEN_GAP,
	LD_L_SERVICE,
	LD_L_RELAY_FIRST,
	LD_L_RELAY_GAP,
	LD_L_RELAY_ANSWER,
	LD_L_COUNT
};

struct ld_metrics;

struct ld_metrics *ld_metrics_new(void);
void ld_metrics_free(struct ld_metrics *m);
void ld_metrics_add(struct ld_metrics *m, enum ld_metric id, uint64_t n);
/** ld_metrics_set() - set a gauge, or a counter that another module keeps */
void ld_metrics_set(struct ld_metrics *m, enum ld_metric id, uint64_t value);
uint64_t ld_metrics_get(const struct ld_metrics *m, enum ld_metric id);
/** ld_metrics_observe() - add one duration in ms to a histogram */
void ld_metrics_observe(struct ld_metrics *m, enum ld_latency id, double ms);
/** ld_metrics_write() - append all metrics in the text exposition format */
void ld_metrics_write(const struct ld_metrics *m, struct ld_buf *out);

/* ---- Counters with labels ---- */

#define LD_TALLY_LABELS_MAX 3

/** struct ld_tally_spec - name, help text and labels of a counter */
struct ld_tally_spec {
	const char *name;
	const char *help;
	const char *labels[LD_TALLY_LABELS_MAX];
	size_t label_count;
};

struct ld_tally;

/** ld_tally_new() - @spec must outlive the tally */
struct ld_tally *ld_tally_new(const struct ld_tally_spec *spec);
void ld_tally_free(struct ld_tally *t);
/**
 * ld_tally_add() - count one event
 * @values: label values in the order of the spec
 *
 * The number of rows is bounded: further combinations of label values are
 * counted in one row, whose labels are all "other".
 */
void ld_tally_add(struct ld_tally *t, const char *const *values);
/** ld_tally_get() - count of one row; 0 when it does not exist */
uint64_t ld_tally_get(struct ld_tally *t, const char *const *values);
/** ld_tally_write() - append the rows in the text exposition format */
void ld_tally_write(const struct ld_tally *t, struct ld_buf *out);

/* ---- Error-budget burn ---- */

/** enum ld_objective - service-level objectives towards callers */
enum ld_objective {
	LD_O_FIRST_TOKEN, /* first token within a threshold */
	LD_O_TOKEN_GAP, /* time between tokens within a threshold */
	LD_O_ANSWERED, /* within limits: neither refused nor failed */
	LD_O_COUNT
};

const char *ld_objective_name(enum ld_objective o);

/** enum ld_cause - why an objective was missed */
enum ld_cause {
	LD_C_NONE,
	LD_C_LIMIT, /* the caller's own limit: not counted as a miss */
	LD_C_CAPACITY, /* no capacity for the caller's class */
	LD_C_NO_REPLICA, /* no complete replica */
	LD_C_BACKEND, /* a backend server failed */
	LD_C_SLOW, /* answered, but later than the threshold */
	LD_C_CATALOGUE, /* no catalogue in force */
	LD_C_COUNT
};

const char *ld_cause_name(enum ld_cause c);

/** struct ld_goal - threshold in ms (0: none) and target in 1/1000 */
struct ld_goal {
	uint64_t threshold_ms;
	uint64_t target_permille;
};

/** Windows over which burn is reported, in minutes, shortest first. */
#define LD_BURN_WINDOWS 3
extern const unsigned int ld_burn_window_min[LD_BURN_WINDOWS];

struct ld_burn;

/** ld_burn_new() - @goals: one per objective */
struct ld_burn *ld_burn_new(const struct ld_goal goals[LD_O_COUNT]);
void ld_burn_free(struct ld_burn *b);
/**
 * ld_burn_note() - count @good and @bad events of one caller
 * @owner, @class: of the catalogue entry
 * @cause: cause of the bad events
 */
void ld_burn_note(struct ld_burn *b, uint64_t now_ms, struct ld_str owner,
    struct ld_str class, enum ld_objective o, uint64_t good, uint64_t bad,
    enum ld_cause cause);
/**
 * ld_burn_override() - set a different goal for one caller or class
 * @owner, @class: empty matches any; at least one must be set
 */
void ld_burn_override(struct ld_burn *b, struct ld_str owner,
    struct ld_str class, enum ld_objective o, struct ld_goal goal);
/** ld_burn_goal() - goal of a caller: its own, its class's, or the default */
struct ld_goal ld_burn_goal(const struct ld_burn *b, struct ld_str owner,
    struct ld_str class, enum ld_objective o);
/**
 * ld_burn_write() - counts per caller, objective and window as JSON
 *
 * {"windows_min":[5,60,360],"callers":[{"owner","class","objective",
 * "threshold_ms","target_permille","good":[..],"bad":[..],
 * "causes":{"slow":3}}]}
 */
void ld_burn_write(struct ld_burn *b, uint64_t now_ms, struct ld_buf *out);

#endif
