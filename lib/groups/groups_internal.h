/* Internal declarations of group control. */
#ifndef GROUPS_INTERNAL_H
#define GROUPS_INTERNAL_H

#include "ld_groups.h"

/* The epochs of one lease start at its fence times this value. A fence holds
 * the store's era and revision in 47 bits, so that epochs fit into 63 bits. */
#define EPOCHS_PER_FENCE 65536
/* Interval at which an order without visible effect is resent, ms: some round
 * trips and the delay of the store's watch. */
#define ORDER_RETRY_MS 700
/* Consecutive unanswered probes after which a server counts as lost. */
#define FAILED_PROBES_MAX 2
/* A probe that is unanswered for this long is repeated on a new connection, ms:
 * several round trips. Short, since a group with a lost member stands still
 * until the loss is confirmed. */
#define PROBE_RETRY_MS 70
/* Interval between probes of a server that may be lost, ms. */
#define PROBE_INTERVAL_MS 210

/** enum phase - life cycle of a group */
enum phase {
	PHASE_FORMING, /* members join */
	PHASE_OPENING, /* all members are ready, the head is ordered to open */
	PHASE_SERVING,
	PHASE_CLOSING, /* members become free once the head has stopped */
	PHASE_RETIRED /* kept for a while so that it isn't adopted again */
};

/**
 * struct pending_orders - orders of one kind to one server that it may yet carry
 * out
 * @awaited: orders whose result isn't known
 * @until_ms: end of the time in which it may carry out one without an answer
 * @token: of the last one, 0 if a previous leader sent it
 * @fence: highest token of a later order that the server has answered
 */
struct pending_orders {
	unsigned int awaited;
	uint64_t until_ms;
	int64_t token;
	int64_t fence;
};

/** struct member - a server in a group */
struct member {
	char id[LD_GROUP_NAME_MAX];
	struct pending_orders joins;
	bool accepted; /* this leader's last order to join was accepted */
	uint64_t ordered_ms; /* time of the last order to join, 0 for none */
	unsigned int tries; /* orders to join that were sent */
	uint64_t dismissed_ms; /* last order to leave, 0 for none */
	bool left; /* it answered that order */
	uint64_t left_ms; /* when it did */
	uint64_t out_since_ms; /* not PRESENCE_OUT before, 0: isn't */
};

/** struct group - one group */
struct group {
	struct group *next;
	struct group *next_in_domain; /* in struct plan, see placing.c */
	char name[LD_GROUP_NAME_MAX];
	int64_t epoch;
	char model[LD_GROUP_NAME_MAX];
	char domain[LD_GROUP_NAME_MAX];
	enum phase phase;
	uint64_t phase_since_ms;
	uint64_t ordered_ms; /* last order to the head in this phase */
	bool adopted; /* formed by a previous leader */
	uint64_t drain_ms; /* while closing: time for requests to finish */
	bool drain_ordered; /* the last order to the head was to drain */
	bool head_left;
	bool held; /* the head has left, but may yet open again */
	struct pending_orders opens; /* to the head */
	bool head_silent; /* no answer to the order to leave */
	bool head_unreachable; /* nothing listened at the head's address */
	bool forgotten; /* retired, to be adopted again if it returns */
	size_t member_count;
	struct member members[LD_GROUP_SIZE_MAX];
};

/** struct server_info - the leader's state of a server, beside its entry */
struct server_info {
	struct server_info *next;
	struct server_info *next_in_bucket;
	uint64_t grouped_pass; /* last mark_pass that found it in a group */
	char id[LD_GROUP_NAME_MAX];
	int64_t started_ms; /* start time of the server process described */
	uint64_t probe_ms; /* last probe, 0 for none */
	uint64_t answered_ms; /* last answer to a probe or an order */
	unsigned int failed_probes; /* consecutive probes without an answer */
	bool probe_due;
	uint64_t stage_ordered_ms; /* last order to stage, 0 for none */
	char stage_model[LD_GROUP_NAME_MAX]; /* model of that order */
	uint64_t leaving_since_ms; /* first seen as leaving, 0 if it is not */
	uint64_t avoid_until_ms; /* not used for a group until then */
	char reported_group[LD_GROUP_NAME_MAX];
	int64_t reported_epoch;
	int64_t token; /* of the last order to it */
	bool has_order_count; /* since a report in which it is in no group */
	int64_t order_count; /* orders that it has accepted, by that report */
	uint64_t reported_ms;
	uint64_t doubt_pass; /* last mark_pass that found it doubtful */
	uint64_t doubt_since_ms;
};

/** struct tick - inputs of one ld_groups_tick() */
struct tick {
	struct ld_groups *g;
	struct ld_servers *servers;
	struct ld_str service;
	const struct ld_engine_spec *spec;
	bool settled;
	uint64_t now_ms;
};

/* Hash buckets by server id; deployments have some hundred servers. */
#define SERVER_INFO_BUCKETS 1024

struct ld_groups {
	bool leading;
	bool adopted; /* evaluated once with all entries since @lead_ms */
	bool initial;
	bool has_traffic; /* some node has received a client's request */
	int64_t fence;
	int64_t revision; /* of the copy of the store in this tick */
	uint64_t lead_ms;
	uint64_t started_ms;
	uint64_t stall_ms;
	bool fenced; /* servers refuse orders with an outdated token */
	int64_t last_epoch;
	struct group *groups;
	struct server_info *infos;
	struct server_info *buckets[SERVER_INFO_BUCKETS];
	uint64_t mark_pass; /* count of placing_mark_grouped() calls */
	/* Scratch space of placing_step(), reused by each tick. */
	struct domain *domains;
	size_t domain_capacity;
	double load_tokens; /* token bucket: loads that may start now */
	uint64_t load_tokens_ms;
	size_t loads_underway; /* of this tick; valid if @loads_counted */
	bool loads_counted;
	struct ld_order *orders;
	size_t order_count;
	size_t order_read;
	struct ld_group_change *changes;
	size_t change_count;
	size_t change_read;
};

/* ---- server_info.c ---- */

/** server_info_get() - find or create; reset when the server has restarted */
struct server_info *server_info_get(
    struct ld_groups *g, const struct ld_server *s);
/** server_info_find() - NULL when there is none */
struct server_info *server_info_find(struct ld_groups *g, const char *id);
void server_info_free_all(struct ld_groups *g);
/** request_probe() - queue a probe, unless the last is newer than @again_ms */
void request_probe(
    const struct tick *s, struct server_info *info, uint64_t again_ms);

/* ---- groups.c ---- */

struct ld_order *order_add(struct ld_groups *g, enum ld_order_type type,
    const struct ld_server *to, const struct group *about);
void change_add(struct ld_groups *g, const char *what,
    const struct group *about, const char *server, const char *why);
void group_set_phase(struct group *gr, enum phase phase, uint64_t now_ms);

/**
 * group_name() - write "MODEL/EPOCH"
 *
 * The name contains the model because a server that is still loading doesn't
 * report the model of its group, and the next leader needs it.
 */
void group_name(char out[LD_GROUP_NAME_MAX], const char *model, int64_t epoch);
/** group_model() - the model in a group's name; empty if it has none */
struct ld_str group_model(const char *name);

/* ---- lifecycle.c ---- */

/** lifecycle_step() - adopt groups, and advance each group by one step */
void lifecycle_step(const struct tick *s);

/** names_group() - the server's entry names the group */
bool names_group(const struct ld_server *s, const struct group *gr);
/** member_server() - the member's entry; NULL if none was ever read */
struct ld_server *member_server(
    const struct tick *s, const struct group *gr, size_t i);
/** collect_members() - add the members whose entries name the group */
void collect_members(const struct tick *s, struct group *gr);

/** lifecycle_close() - close a group in service, with time to drain */
void lifecycle_close(const struct tick *s, struct group *gr, const char *why);

/* ---- pending_orders.c ---- */

/** pending_sent() - an order of that kind is sent */
void pending_sent(struct pending_orders *p, int64_t token);
/** pending_result() - the result of one of them is known */
void pending_result(
    struct pending_orders *p, enum ld_order_result r, uint64_t now_ms);
/** pending_fence() - the server has answered another order with @token */
void pending_fence(struct pending_orders *p, int64_t token);
/** pending_join() - member @i may yet be put back into the group */
bool pending_join(const struct tick *s, const struct group *gr, size_t i);
/** pending_reopening() - a head that has left may yet join and open again */
bool pending_reopening(const struct tick *s, const struct group *gr);
/** pending_inherited() - servers may yet carry out orders of previous leaders */
bool pending_inherited(const struct tick *s);
/** pending_inherit() - account for the orders of previous leaders */
void pending_inherit(const struct tick *s, struct group *gr);
/**
 * pending_refuses_group() - member @i has joined a later group
 *
 * A server refuses to join a group of an earlier epoch than its own.
 */
bool pending_refuses_group(
    const struct tick *s, const struct group *gr, size_t i);
/**
 * pending_doubt() - mark a server that may be put back into a group
 * @since_ms: when it left
 */
void pending_doubt(
    const struct tick *s, const struct ld_server *v, uint64_t since_ms);
/** pending_in_doubt() - marked in the latest placing_mark_grouped() */
bool pending_in_doubt(const struct tick *s, const struct server_info *info);
/**
 * pending_is_confirmed() - not in doubt, or in no group by a report since
 *
 * Requests a probe if there is no such report.
 */
bool pending_is_confirmed(const struct tick *s, struct server_info *info);

/* ---- closing.c ---- */

/** closing_step() - retires the group once its head certainly doesn't serve */
void closing_step(const struct tick *s, struct group *gr);
/** closing_on_left() - process the result of an order to leave */
void closing_on_left(struct group *gr, const struct ld_order *o,
    enum ld_order_result r, uint64_t now_ms);
/** enum presence - whether a member of a closing group is still in it */
enum presence {
	PRESENCE_IN,
	PRESENCE_DOUBTFUL, /* has left, but may be put back */
	PRESENCE_OUT
};

/** closing_presence() - of member @i; @since_ms: when it left */
enum presence closing_presence(
    const struct tick *s, const struct group *gr, size_t i, uint64_t *since_ms);
/** closing_head_returned() - an entry since the group ended shows its head open */
bool closing_head_returned(const struct tick *s, const struct group *gr);

/* ---- placing.c ---- */

/**
 * placing_mark_grouped() - mark the servers that are in a group
 *
 * placing_has_spare() uses the latest marks; placing_step() marks anew.
 */
void placing_mark_grouped(const struct tick *s);

/** placing_has_spare() - a free server of the domain has the weights staged */
bool placing_has_spare(
    const struct tick *s, const char *domain, const char *model);
/** placing_step() - form groups of free servers, stage weights on the others */
void placing_step(const struct tick *s);

#endif
