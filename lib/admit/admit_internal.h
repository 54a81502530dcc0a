/*
 * State shared by the files of lib/admit.
 *
 * A pool is one set of limits: that of an owner, or the capacity left over.
 * Each node has an account in each pool. A node owns an equal share of every
 * pool, lends it to the pool's home for a bounded term, and gets grants back
 * by demand. Rates are in thousandths of a unit per second, buckets in
 * millionths of a unit so that every ms counts exactly, slots are whole.
 */
#ifndef LD_ADMIT_INTERNAL_H
#define LD_ADMIT_INTERNAL_H

#include "ld_admit.h"

#define MILLI 1000
#define MICRO 1000000
#define MS_PER_S 1000
#define ADMIT_BUCKETS 1024 /* of the request table; power of two */
/* A bucket holds what its rate brings in so long, and at least one unit. */
#define BUCKET_DEPTH_MS 500
/* Streams on a lapsed grant run on for so long, then are cancelled. */
#define RUN_ON_MS 10000
/* Slots that other nodes hold idle are back after this: worth waiting for. */
#define SHORT_HOLD_MS 20
#define ASKS_MAX 6 /* questions for one request */

enum kind {
	K_REQUESTS,
	K_TOKENS,
	K_SLOTS,
	K_PROMISED,
	K_COUNT
};
#define RATE_KINDS 2 /* K_REQUESTS and K_TOKENS */
#define SLOT_KINDS 2 /* K_SLOTS and K_PROMISED */
#define SLOT(k) ((k)-K_SLOTS)

/** struct terms - times that depend on the number of nodes, all in ms */
struct terms {
	uint64_t report; /* between two reports without news */
	uint64_t gap; /* least time between two reports with news */
	uint64_t soon; /* the same for free slots of a scarce pool */
	uint64_t grant; /* life of a grant */
	uint64_t lend; /* life of a loan */
};

/** struct report - a node's account, told to the pool's home */
struct report {
	uint64_t pool;
	uint64_t ts; /* the node's clock */
	uint64_t echo; /* newest ts of this home, by the home's clock */
	uint64_t ack; /* newest grant taken over */
	uint64_t nodes; /* the share is 1 / nodes */
	uint64_t lend_ms; /* the share is lent for so long from echo; 0: not */
	uint64_t demand[RATE_KINDS];
	uint64_t in_use[SLOT_KINDS];
	/* An ask: requests that wait, and what they could use already. */
	uint64_t want;
	uint64_t tokens_each; /* thousandths */
	uint64_t have[K_COUNT];
	bool want_promised;
	bool confirm; /* only an ack, to a node that is not the home */
	bool leave; /* give the loan back: another home is named */
};

/** struct grant_msg - what the home lets a node use */
struct grant_msg {
	uint64_t pool;
	uint64_t ts; /* the home's clock */
	uint64_t echo; /* newest ts of this node, by the node's clock */
	uint64_t seq;
	uint64_t grant_ms; /* good for so long from echo */
	uint64_t rate[RATE_KINDS];
	uint64_t slots[SLOT_KINDS];
	uint64_t lump[RATE_KINDS]; /* once, for the requests that wait */
	uint64_t denied; /* 1 + kind that fell short, 0: none */
	uint64_t hold_ms; /* don't ask again for so long */
	uint64_t retry_ms; /* for the caller */
	bool preempt; /* cancel streams above the slots */
	bool release; /* the loan is given back */
	bool scarce; /* tell soon when a slot gets free */
};

/** struct promise_msg - promised slots that an owner's nodes may use now */
struct promise_msg {
	uint64_t pool;
	uint64_t ts;
	uint64_t used;
	uint64_t life_ms;
};

enum msg_type {
	MSG_REPORT = 1,
	MSG_GRANT = 2,
	MSG_PROMISE = 3
};

struct any_msg {
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

/** struct meter - smoothed rate of what callers asked for */
struct meter {
	uint64_t count; /* in this window, thousandths */
	uint64_t rate; /* thousandths per second */
};

struct account;

/** struct request - one request that waits or runs */
struct request {
	struct request *next; /* in its bucket */
	struct request *prev_of,
	    *next_of; /* of the same account, newest first */
	struct request *next_waiting; /* in the order asked */
	struct account *account;
	uint64_t ticket;
	uint64_t tokens; /* estimate */
	uint64_t relayed;
	uint64_t deadline_ms; /* of the decision */
	bool waiting;
	bool promised; /* holds a promised slot, else one of the left over */
	bool cancelled; /* its action was queued */
	unsigned int asks; /* how often its pool's home was asked */
	struct ld_admit_decision *out; /* set while ld_admit_request() runs */
};

/** struct queue - requests that wait for a pool's home */
struct queue {
	struct request *head;
	struct request **tail;
	size_t count;
};

/** struct lender - what a home knows of one node */
struct lender {
	uint64_t node;
	uint64_t node_ts;
	uint64_t heard_ms;
	uint64_t nodes;
	uint64_t lent_until_ms;
	uint64_t commit_until_ms;
	uint64_t seq; /* newest sent */
	uint64_t acked;
	uint64_t shrunk_ms; /* when the newest shrinking grant was sent */
	uint64_t granted[K_COUNT]; /* newest sent */
	uint64_t committed[K_COUNT]; /* most that the node may hold valid */
	uint64_t demand[RATE_KINDS];
	uint64_t in_use[SLOT_KINDS];
	uint64_t asked_ms;
	bool leaving; /* wants its loan back */
};

/** struct used_promise - promised slots of one owner, as its home says */
struct used_promise {
	uint64_t pool;
	uint64_t used;
	uint64_t until_ms;
};

/** struct plan - how a home means to divide one kind; kept for a short time */
struct plan {
	bool valid;
	uint64_t made_ms;
	uint64_t pool;
	uint64_t level; /* nobody gets more */
	uint64_t percent; /* of the demand, for rates */
	uint64_t least; /* a lower demand gets no rate */
	uint64_t used; /* slots */
	uint64_t active; /* nodes with demand */
};

/** struct home - the side of a pool that grants */
struct home {
	struct lender *lenders;
	size_t count, cap;
	struct bucket lump[RATE_KINDS];
	uint64_t told_used; /* last promise_msg */
	uint64_t told_ms;
	uint64_t scarce_until_ms;
	struct plan plan[K_COUNT];
	struct used_promise *used; /* pool of the left over */
	size_t used_count;
};

/** struct account - this node's side of one pool */
struct account {
	struct account *next;
	char *owner; /* NULL: the pool of the left over */
	uint64_t pool;
	enum ld_admit_class class;
	uint64_t limit[K_COUNT]; /* whole units */
	bool listed;
	uint64_t home; /* named by this node, 0: none */
	bool home_heard; /* it answered since it was named */
	uint64_t home_ts; /* newest of this home, by its clock */
	uint64_t home_heard_ms;
	uint64_t lent_to;
	uint64_t lent_until_ms;
	uint64_t lent_ts; /* ts of the newest report that lent */
	uint64_t left_ms; /* the loan was asked back last */
	struct grant grant;
	struct bucket bucket[RATE_KINDS];
	uint64_t lump[RATE_KINDS]; /* granted once, for who waits now */
	uint64_t lump_until_ms;
	struct meter meter[RATE_KINDS];
	uint64_t in_use[SLOT_KINDS];
	uint64_t told_ms; /* last report */
	struct report told;
	bool news; /* report at once */
	bool scarce; /* the home lacks slots */
	bool ask_open;
	bool ask_due; /* a request waits for an ask to be sent */
	uint64_t ask_ts;
	uint64_t deny_until_ms[K_COUNT];
	uint64_t deny_retry_ms[K_COUNT];
	struct queue waiting;
	struct request *requests;
	struct home side;
};

/** struct member - one counted node */
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
	uint64_t promised; /* sum of the catalogue */
	struct terms terms;
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
	struct queued *taken;
	bool delivering;
	struct ld_admit_stats stats;
};

/* codec.c */
void ld_admit_encode(const struct any_msg *m, struct ld_buf *out);
enum ld_status ld_admit_decode(struct ld_str bytes, struct any_msg *m);

/* queue.c */
void ld_admit_send(struct ld_admit *a, uint64_t node, const struct any_msg *m);
void ld_admit_push_decision(struct ld_admit *a, enum ld_admit_action_type type,
    const struct ld_admit_decision *d);
/** ld_admit_deliver_self() - hand over messages of this node to itself */
void ld_admit_deliver_self(struct ld_admit *a, uint64_t now_ms);
void ld_admit_queue_free(struct ld_admit *a);

/* members.c */
bool ld_admit_is_member(const struct ld_admit *a, uint64_t node);
void ld_admit_name_homes(struct ld_admit *a);

/* account.c */
struct account *ld_admit_account(struct ld_admit *a, uint64_t pool);
bool ld_admit_share_usable(
    const struct ld_admit *a, const struct account *c, uint64_t now_ms);
uint64_t ld_admit_rate(const struct ld_admit *a, const struct account *c,
    enum kind k, uint64_t now_ms);
uint64_t ld_admit_slots(const struct ld_admit *a, const struct account *c,
    enum kind k, uint64_t now_ms);
uint64_t ld_admit_depth(uint64_t rate, enum kind k);
void ld_admit_fill(struct ld_admit *a, struct account *c, uint64_t now_ms);
/** ld_admit_report() - tell the home; an ask when requests wait */
void ld_admit_report(struct ld_admit *a, struct account *c, uint64_t now_ms);
void ld_admit_on_grant(struct ld_admit *a, uint64_t now_ms, uint64_t from,
    const struct grant_msg *g);
void ld_admit_account_tick(
    struct ld_admit *a, struct account *c, uint64_t now_ms);

/** struct lack - what keeps a request from being admitted */
struct lack {
	struct account *account;
	enum kind kind;
};

/* place.c */
struct request *ld_admit_find(const struct ld_admit *a, uint64_t ticket);
struct request *ld_admit_request_new(
    struct ld_admit *a, struct account *c, uint64_t tokens);
void ld_admit_request_free(struct ld_admit *a, struct request *q);
/** ld_admit_take() - take all that @q needs, or nothing and set @lack */
bool ld_admit_take(
    struct ld_admit *a, struct request *q, struct lack *lack, uint64_t now_ms);
void ld_admit_give_back(struct ld_admit *a, struct request *q);
/** ld_admit_upgrade() - move left-over streams into promised slots */
void ld_admit_upgrade(struct ld_admit *a, struct account *c, uint64_t now_ms);
void ld_admit_requests_free(struct ld_admit *a);

/* request.c */
void ld_admit_dequeue(struct queue *w, struct request *q);
/** ld_admit_refuse() - tell the refusal of @q and free it */
void ld_admit_refuse(struct ld_admit *a, struct request *q,
    const struct lack *lack, uint64_t now_ms);
uint32_t ld_admit_jittered(struct ld_admit *a, uint64_t ms);
void ld_admit_retry_waiting(
    struct ld_admit *a, struct account *c, uint64_t now_ms);
void ld_admit_expire_waiting(
    struct ld_admit *a, struct account *c, uint64_t now_ms);

/* cancel.c */
/** ld_admit_cancel_above() - cancel the newest until @slots are in use */
void ld_admit_cancel_above(struct ld_admit *a, struct account *c,
    uint64_t slots, enum ld_admit_reason why);
void ld_admit_cancel_all(
    struct ld_admit *a, struct account *c, enum ld_admit_reason why);

/* home.c */
void ld_admit_on_report(
    struct ld_admit *a, uint64_t now_ms, uint64_t from, const struct report *r);
void ld_admit_on_promise(struct ld_admit *a, uint64_t now_ms, uint64_t from,
    const struct promise_msg *p);
void ld_admit_home_tick(struct ld_admit *a, struct account *c, uint64_t now_ms);
/** ld_admit_home_replan() - limits or capacity changed: shrink at once */
void ld_admit_home_replan(
    struct ld_admit *a, struct account *c, uint64_t now_ms);
void ld_admit_home_free(struct home *h);

bool ld_admit_is_home(const struct ld_admit *a, const struct account *c);
/** ld_admit_is_short() - more left-over streams run than there is room for */
bool ld_admit_is_short(
    const struct ld_admit *a, const struct account *c, uint64_t now_ms);
/** ld_admit_send_grant() - note what @l may hold from now on and send it */
void ld_admit_send_grant(struct ld_admit *a, struct account *c,
    struct lender *l, struct grant_msg *g, uint64_t now_ms);

/* handover.c */
/** ld_admit_take_leave() - @l named another home and wants its loan back */
void ld_admit_take_leave(
    struct ld_admit *a, struct account *c, struct lender *l, uint64_t now_ms);
void ld_admit_leave_confirmed(
    struct ld_admit *a, struct account *c, struct lender *l, uint64_t now_ms);

/* pool.c */
/** ld_admit_pool() - what the home may grant of @k: lent and unexpired */
uint64_t ld_admit_pool(const struct ld_admit *a, const struct account *c,
    enum kind k, uint64_t now_ms);
/** ld_admit_held() - most that the node of @l may hold valid of @k */
uint64_t ld_admit_held(const struct ld_admit *a, const struct lender *l,
    enum kind k, uint64_t now_ms);
uint64_t ld_admit_held_sum(const struct ld_admit *a, const struct account *c,
    enum kind k, uint64_t now_ms);
/** ld_admit_target() - the fair part of @l, whatever others hold now */
uint64_t ld_admit_target(const struct ld_admit *a, struct account *c,
    const struct lender *l, enum kind k, uint64_t now_ms);
/** ld_admit_level() - highest level at which sum(min(want, level)) fits */
uint64_t ld_admit_level(const uint64_t *want, size_t n, uint64_t pool);

#endif
