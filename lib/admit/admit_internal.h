/*
 * State shared by the files of lib/admit.
 *
 * A pool is one set of limits: that of an owner, or the leftover capacity of
 * the fleet. Each pool has one home node that distributes it. Each node keeps
 * an account of each pool: it owns an equal share, lends the share to the home
 * for a limited time, and receives grants from the home by its demand.
 *
 * A node sends reports to the home, and the home answers each with a grant. A
 * report that lists waiting requests is a query: the grant decides about them.
 *
 * Rates are in thousandths of a unit per second, buckets in millionths of a
 * unit so that every ms counts exactly, slots are whole.
 */
#ifndef LD_ADMIT_INTERNAL_H
#define LD_ADMIT_INTERNAL_H

#include "ld_admit.h"

#define MILLI 1000
#define MICRO 1000000
#define MS_PER_S 1000
#define ADMIT_BUCKETS 1024 /* of the request table; power of two */
/* A bucket holds what its rate yields in this time, and at least one unit. */
#define BUCKET_DEPTH_MS 500
/* Streams on a lapsed grant are cancelled after this time. */
#define LAPSED_RUN_MS 10000
/* Idle slots recalled from other nodes are available again after this time,
 * short enough for a request to wait for them. */
#define SHORT_BACKOFF_MS 20
#define QUERIES_MAX 6 /* queries to a pool's home for one request */

/** enum resource - what a request takes from a pool */
enum resource {
	K_REQUESTS,
	K_TOKENS,
	K_SLOTS,
	K_PROMISED,
	K_COUNT
};
#define RATE_KINDS 2 /* K_REQUESTS and K_TOKENS */
#define SLOT_KINDS 2 /* K_SLOTS and K_PROMISED */
#define SLOT(k) ((k)-K_SLOTS)

/** struct timing - intervals and lifetimes, which grow with the members */
struct timing {
	uint64_t report_ms; /* between two regular reports */
	uint64_t change_report_ms; /* minimum between two reports of changes */
	uint64_t scarce_report_ms; /* same for freed slots of a scarce pool */
	uint64_t grant_ms; /* lifetime of a grant */
	uint64_t loan_ms; /* lifetime of a loan */
};

/** struct report - state of a node's account, sent to the pool's home */
struct report {
	uint64_t pool;
	uint64_t ts; /* the node's clock */
	uint64_t echo; /* newest ts of this home, by the home's clock */
	uint64_t ack; /* seq of the newest grant applied */
	uint64_t nodes; /* the share is 1 / nodes */
	uint64_t loan_ms; /* loan of the share, counted from echo; 0: none */
	uint64_t demand[RATE_KINDS];
	uint64_t in_use[SLOT_KINDS];
	/* Of a query: waiting requests, and what the node has for them. */
	uint64_t waiting;
	uint64_t tokens_each; /* average, in thousandths */
	uint64_t available[K_COUNT];
	bool need_promised;
	bool to_former_home; /* the sender has assigned another home */
	bool return_loan; /* requests the return of the loan */
};

/** struct grant_msg - what a node may use, sent by the home */
struct grant_msg {
	uint64_t pool;
	uint64_t ts; /* the home's clock */
	uint64_t echo; /* newest ts of this node, by the node's clock */
	uint64_t seq;
	uint64_t grant_ms; /* lifetime, counted from echo */
	uint64_t rate[RATE_KINDS];
	uint64_t slots[SLOT_KINDS];
	uint64_t one_time[RATE_KINDS]; /* units for the waiting requests only */
	uint64_t denied; /* 1 + the resource that fell short, 0: none */
	uint64_t backoff_ms; /* no query for this resource during this time */
	uint64_t retry_ms; /* retry time for the caller */
	bool preempt; /* cancel streams above the slots */
	bool release; /* ends the loan */
	bool scarce; /* report freed slots early */
};

/** struct promise_msg - promised slots of one owner that nodes may use now */
struct promise_msg {
	uint64_t pool;
	uint64_t ts;
	uint64_t used;
	uint64_t lifetime_ms;
};

enum msg_type {
	MSG_REPORT = 1,
	MSG_GRANT = 2,
	MSG_PROMISE = 3
};

struct message {
	enum msg_type type;
	union {
		struct report report;
		struct grant_msg grant;
		struct promise_msg promise;
	} u;
};

/** struct grant - the grant in force at a node */
struct grant {
	uint64_t from;
	uint64_t seq;
	uint64_t until_ms;
	uint64_t rate[RATE_KINDS];
	uint64_t slots[SLOT_KINDS];
};

/** struct bucket - token bucket; below zero after a large request */
struct bucket {
	int64_t micro;
	uint64_t filled_ms;
};

/** struct meter - smoothed rate of the demand of callers */
struct meter {
	uint64_t count; /* in this window, thousandths */
	uint64_t rate; /* thousandths per second */
};

struct account;

/** struct request - one request that waits or runs */
struct request {
	struct request *next; /* in its bucket */
	struct request *prev_in_account;
	struct request *next_in_account; /* newest first */
	struct request *next_waiting; /* in order of arrival */
	struct account *account;
	uint64_t ticket;
	uint64_t tokens; /* estimate */
	uint64_t relayed;
	uint64_t deadline_ms; /* for the decision */
	bool waiting;
	bool promised; /* holds a promised slot, else a leftover slot */
	bool cancelled; /* its LD_ADMIT_CANCEL was queued */
	unsigned int queries; /* sent for it so far */
	struct ld_admit_decision *out; /* set while ld_admit_request() runs */
};

/** struct queue - requests that wait for a reply of a pool's home */
struct queue {
	struct request *head;
	struct request **tail;
	size_t count;
};

/** struct lender - a home's record of one node */
struct lender {
	uint64_t node;
	uint64_t node_ts;
	uint64_t report_received_ms;
	uint64_t nodes;
	uint64_t lent_until_ms;
	uint64_t committed_until_ms;
	uint64_t seq; /* of the newest grant sent */
	uint64_t acked;
	uint64_t reduced_ms; /* when a grant last reduced its units */
	uint64_t granted[K_COUNT]; /* by the newest grant sent */
	uint64_t committed[K_COUNT]; /* maximum over the valid grants */
	uint64_t demand[RATE_KINDS];
	uint64_t in_use[SLOT_KINDS];
	uint64_t last_query_ms;
	bool return_requested; /* the node requested its loan back */
};

/** struct used_promise - newest promise_msg of one owner's home */
struct used_promise {
	uint64_t pool;
	uint64_t used;
	uint64_t until_ms;
};

/** struct plan - target division of one resource, cached for a short time */
struct plan {
	bool valid;
	uint64_t made_ms;
	uint64_t pool; /* units to divide */
	uint64_t level; /* maximum for each node */
	uint64_t percent; /* of the demand; rates only */
	uint64_t min_demand; /* nodes with less are granted no rate */
	uint64_t used; /* slots in use */
	uint64_t active; /* nodes with demand */
};

/** struct home - state of a pool at its home */
struct home {
	struct lender *lenders;
	size_t count, cap;
	struct bucket one_time[RATE_KINDS];
	uint64_t promise_sent; /* used in the last promise_msg */
	uint64_t promise_sent_ms;
	uint64_t scarce_until_ms;
	struct plan plan[K_COUNT];
	struct used_promise *used; /* leftover pool only */
	size_t used_count;
};

/** struct account - this node's state of one pool */
struct account {
	struct account *next;
	char *owner; /* NULL: the leftover pool */
	uint64_t pool;
	enum ld_admit_class class;
	uint64_t limit[K_COUNT]; /* whole units */
	bool listed; /* in the catalogue, or the leftover pool */
	uint64_t home; /* as assigned by this node; 0: none */
	bool home_replied; /* since it was assigned */
	uint64_t home_ts; /* of its newest grant, by its clock */
	uint64_t home_replied_ms;
	uint64_t lent_to;
	uint64_t lent_until_ms;
	uint64_t lent_ts; /* ts of the newest report with a loan */
	uint64_t return_requested_ms; /* last request to return the loan */
	struct grant grant;
	struct bucket bucket[RATE_KINDS];
	uint64_t one_time[RATE_KINDS]; /* for the requests that wait now */
	uint64_t one_time_until_ms;
	struct meter meter[RATE_KINDS];
	uint64_t in_use[SLOT_KINDS];
	uint64_t report_sent_ms; /* last report */
	struct report sent_report;
	bool report_due; /* without waiting for the interval */
	bool scarce; /* the home has few free slots */
	bool query_pending; /* sent, not answered */
	bool query_due; /* a request waits for a query to be sent */
	uint64_t query_ts;
	uint64_t denied_until_ms[K_COUNT];
	uint64_t denied_retry_ms[K_COUNT];
	struct queue waiting;
	struct request *requests;
	struct home home_state; /* used while this node is or was the home */
};

/** struct member - see struct ld_admit_member */
struct member {
	uint64_t node;
	uint64_t domain; /* hash */
	bool live;
};

/** struct queued - one action in the queue, or a message to this node */
struct queued {
	struct queued *next;
	struct ld_admit_action action;
	struct ld_buf bytes;
};

struct ld_admit {
	struct ld_admit_config config;
	struct ld_rand rand;
	uint64_t started_ms;
	bool have_catalogue;
	uint64_t capacity; /* slots of the fleet */
	uint64_t promised; /* sum over the catalogue */
	struct timing timing;
	struct member *members;
	size_t member_count;
	struct account *accounts;
	struct account *leftover;
	struct request *requests[ADMIT_BUCKETS];
	uint64_t next_ticket;
	uint64_t next_seq;
	uint64_t metered_ms;
	struct queued *head;
	struct queued **tail;
	struct queued *self_head; /* messages of this node to itself */
	struct queued **self_tail;
	struct queued *last_action;
	bool delivering;
	struct ld_admit_stats stats;
};

/* codec.c */
void ld_admit_encode(const struct message *m, struct ld_buf *out);
enum ld_status ld_admit_decode(struct ld_str bytes, struct message *m);

/* queue.c */
void ld_admit_send(struct ld_admit *a, uint64_t node, const struct message *m);
void ld_admit_push_decision(struct ld_admit *a, enum ld_admit_action_type type,
    const struct ld_admit_decision *d);
/** ld_admit_deliver_self() - process messages of this node to itself */
void ld_admit_deliver_self(struct ld_admit *a, uint64_t now_ms);
void ld_admit_queue_free(struct ld_admit *a);

/* members.c */
bool ld_admit_is_member(const struct ld_admit *a, uint64_t node);
void ld_admit_assign_homes(struct ld_admit *a);

/* account.c */
struct account *ld_admit_account(struct ld_admit *a, uint64_t pool);
bool ld_admit_share_usable(
    const struct ld_admit *a, const struct account *c, uint64_t now_ms);
uint64_t ld_admit_usable_rate(const struct ld_admit *a, const struct account *c,
    enum resource k, uint64_t now_ms);
uint64_t ld_admit_usable_slots(const struct ld_admit *a,
    const struct account *c, enum resource k, uint64_t now_ms);
uint64_t ld_admit_bucket_depth(uint64_t rate, enum resource k);
void ld_admit_refill(struct ld_admit *a, struct account *c, uint64_t now_ms);
/** ld_admit_send_report() - to the home; a query when requests wait */
void ld_admit_send_report(
    struct ld_admit *a, struct account *c, uint64_t now_ms);
void ld_admit_on_grant(struct ld_admit *a, uint64_t now_ms, uint64_t from,
    const struct grant_msg *g);
void ld_admit_account_tick(
    struct ld_admit *a, struct account *c, uint64_t now_ms);

/** struct shortage - the resource that a request could not acquire */
struct shortage {
	struct account *account;
	enum resource resource;
};

/* acquire.c */
struct request *ld_admit_find(const struct ld_admit *a, uint64_t ticket);
struct request *ld_admit_request_new(
    struct ld_admit *a, struct account *c, uint64_t tokens);
void ld_admit_request_free(struct ld_admit *a, struct request *q);
/** ld_admit_acquire() - all that @q needs, or nothing and set @shortage */
bool ld_admit_acquire(struct ld_admit *a, struct request *q,
    struct shortage *shortage, uint64_t now_ms);
void ld_admit_release(struct ld_admit *a, struct request *q);
/** ld_admit_upgrade() - move streams from leftover to promised slots */
void ld_admit_upgrade(struct ld_admit *a, struct account *c, uint64_t now_ms);
void ld_admit_requests_free(struct ld_admit *a);

/* request.c */
void ld_admit_dequeue(struct queue *w, struct request *q);
/** ld_admit_refuse() - deliver the refusal of @q and free it */
void ld_admit_refuse(struct ld_admit *a, struct request *q,
    const struct shortage *shortage, uint64_t now_ms);
uint32_t ld_admit_jittered(struct ld_admit *a, uint64_t ms);
void ld_admit_retry_waiting(
    struct ld_admit *a, struct account *c, uint64_t now_ms);
void ld_admit_expire_waiting(
    struct ld_admit *a, struct account *c, uint64_t now_ms);

/* cancel.c */
/** ld_admit_cancel_above() - cancel streams until @slots are in use */
void ld_admit_cancel_above(struct ld_admit *a, struct account *c,
    uint64_t slots, enum ld_admit_reason reason);
void ld_admit_cancel_all(
    struct ld_admit *a, struct account *c, enum ld_admit_reason reason);

/* home.c */
void ld_admit_on_report(
    struct ld_admit *a, uint64_t now_ms, uint64_t from, const struct report *r);
void ld_admit_on_promise(struct ld_admit *a, uint64_t now_ms, uint64_t from,
    const struct promise_msg *p);
void ld_admit_home_tick(struct ld_admit *a, struct account *c, uint64_t now_ms);
/** ld_admit_home_replan() - reduce grants after limits or capacity changed */
void ld_admit_home_replan(
    struct ld_admit *a, struct account *c, uint64_t now_ms);
void ld_admit_home_free(struct home *h);

bool ld_admit_is_home(const struct ld_admit *a, const struct account *c);
/** ld_admit_must_preempt() - more leftover streams run than slots exist */
bool ld_admit_must_preempt(
    const struct ld_admit *a, const struct account *c, uint64_t now_ms);
/** ld_admit_send_grant() - complete @g, record it in @l and send it */
void ld_admit_send_grant(struct ld_admit *a, struct account *c,
    struct lender *l, struct grant_msg *g, uint64_t now_ms);

/* handover.c */
/** ld_admit_on_return_request() - @l requests the return of its loan */
void ld_admit_on_return_request(
    struct ld_admit *a, struct account *c, struct lender *l, uint64_t now_ms);
void ld_admit_on_return_ack(
    struct ld_admit *a, struct account *c, struct lender *l, uint64_t now_ms);

/* pool.c */
/** ld_admit_grantable() - units of @k backed by loans long enough to grant */
uint64_t ld_admit_grantable(const struct ld_admit *a, const struct account *c,
    enum resource k, uint64_t now_ms);
/** ld_admit_held() - maximum of @k that the node of @l may be using */
uint64_t ld_admit_held(const struct ld_admit *a, const struct lender *l,
    enum resource k, uint64_t now_ms);
uint64_t ld_admit_held_sum(const struct ld_admit *a, const struct account *c,
    enum resource k, uint64_t now_ms);
/** ld_admit_target() - the fair share of @l, whatever others hold now */
uint64_t ld_admit_target(const struct ld_admit *a, struct account *c,
    const struct lender *l, enum resource k, uint64_t now_ms);
/** ld_admit_level() - highest level with sum(min(demand, level)) <= pool */
uint64_t ld_admit_level(const uint64_t *demand, size_t n, uint64_t pool);

#endif
