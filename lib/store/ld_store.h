/*
 * Clients of the key-value store, and of the list of live and
 * leaving instances. Source: lib/store.
 *
 * All calls are asynchronous: no callback runs before the function that
 * starts the call has returned.
 */
#ifndef LD_STORE_H
#define LD_STORE_H

#include "ld_http.h"

/* ---- Store: calls and answers ---- */

struct ld_store;

/*
 * A store that comes back from an older copy gives revisions out again and says so
 * by its era, which rises. Revisions are told here with the era above the store's
 * own, so that whatever was seen of a later era is the newer one everywhere.
 */
#define LD_STORE_REVISION_BITS 36
#define LD_STORE_ERA_MAX 2047

/** ld_store_era_of() - the era of a revision */
static inline int64_t
ld_store_era_of(int64_t revision)
{
	return revision >> LD_STORE_REVISION_BITS;
}

/** struct ld_store_kv - one key as the store holds it */
struct ld_store_kv {
	struct ld_str key;
	struct ld_str value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version; /* writes since the key was created */
	int64_t lease; /* 0 when attached to none */
};

/** struct ld_store_event - one key of an answer or a watch; owns its bytes */
struct ld_store_event {
	struct ld_store_kv kv;
	bool deleted;
};

/**
 * struct ld_store_expect - what a compare-and-swap expects to replace
 *
 * All zero: the key must not exist. Only mod_revision is compared by the
 * store; the others let ld_store_settle() tell whose write came next.
 */
struct ld_store_expect {
	int64_t mod_revision;
	int64_t create_revision;
	int64_t version;
};

/** ld_store_expect_of() - expect @kv as it is; NULL: expect no such key */
struct ld_store_expect ld_store_expect_of(const struct ld_store_kv *kv);

/** enum ld_store_outcome - what became of a write */
enum ld_store_outcome {
	LD_STORE_NOT_APPLIED, /* certain: it never will be */
	LD_STORE_APPLIED, /* certain */
	LD_STORE_CONFLICT, /* not applied: the key was not as expected */
	LD_STORE_UNKNOWN, /* it may have been, or may still be */
	LD_STORE_OUTCOME_COUNT
};

/** ld_store_outcome_name() - stable lower-case name, never NULL */
const char *ld_store_outcome_name(enum ld_store_outcome o);

/**
 * struct ld_store_answer - answer to a call; valid during done() only
 * @status: LD_OK; for reads LD_E_NOT_FOUND when the key is absent; for writes
 *	LD_E_CONFLICT; LD_E_LIMIT: over this node's budget; LD_E_UNAVAILABLE;
 *	LD_E_TIMEOUT; LD_E_CLOSED; LD_E_STALE: refused as older than what was
 *	seen before the call; LD_E_PROTOCOL: no valid answer, or from another
 *	cluster; LD_E_UNKNOWN: settling did not get to know
 * @outcome: of a write or a settling
 * @revision: of the store when it answered; 0 without an answer. Of an
 *	applied write: the mod_revision of the key
 * @kvs: keys read; after a conflict or settling the key as it is now, if any
 * @lease: id of a granted lease
 * @ttl_ms: life of a lease that was granted or kept alive, to be counted from
 *	before the call
 */
struct ld_store_answer {
	enum ld_status status;
	enum ld_store_outcome outcome;
	int64_t revision;
	const struct ld_store_kv *kvs;
	size_t n;
	int64_t lease;
	uint64_t ttl_ms;
};

/**
 * struct ld_store_call - embed in whatever awaits an answer
 * @done: set before the call; runs once unless cancelled, and may start
 *	the next call with the same struct
 */
struct ld_store_call {
	void (*done)(
	    struct ld_store_call *call, const struct ld_store_answer *answer);
	struct store_request *request; /* NULL when none is under way */
};

/** enum ld_store_kind - kinds of calls that are counted */
enum ld_store_kind {
	LD_STORE_READ,
	LD_STORE_WRITE,
	LD_STORE_LEASE,
	LD_STORE_WATCH,
	LD_STORE_KIND_COUNT
};

/** ld_store_kind_name() - stable lower-case name, never NULL */
const char *ld_store_kind_name(enum ld_store_kind kind);

/**
 * struct ld_store_settings - strings are copied
 * @endpoints: "IP:PORT" each; tried in turn
 * @prefix: put before every key
 * @connect_timeout_ms, @call_timeout_ms: bounds of one call
 * @watch_renew_ms: a watch is ended and read anew at least that often
 * @poll_wait_ms: longest wait of one call of a polled watch
 * @poll_timeout_ms: of one call of a polled watch, beyond its wait
 * @poll_pause_ms: between two calls of a polled watch, so that changes which
 *	come one by one are told by one call
 * @backoff_min_ms, @backoff_max_ms: wait after a failure, doubled and jittered
 * @calls_per_s, @calls_burst: budget of calls of this node
 * @seed: of the jitter; 0 seeds from the operating system
 */
struct ld_store_settings {
	const char *const *endpoints;
	size_t n_endpoints;
	const char *prefix;
	uint64_t connect_timeout_ms;
	uint64_t call_timeout_ms;
	uint64_t watch_renew_ms;
	uint64_t poll_wait_ms;
	uint64_t poll_timeout_ms;
	uint64_t poll_pause_ms;
	uint64_t backoff_min_ms;
	uint64_t backoff_max_ms;
	uint64_t calls_per_s;
	uint64_t calls_burst;
	uint64_t seed;
};

/** ld_store_defaults() - settings without endpoints */
struct ld_store_settings ld_store_defaults(void);

/** struct ld_store_counters - totals since the start */
struct ld_store_counters {
	uint64_t calls[LD_STORE_KIND_COUNT];
	uint64_t failures[LD_STORE_KIND_COUNT];
	uint64_t over_budget;
	uint64_t in_backoff; /* refused while waiting after a failure */
	uint64_t stale; /* answers refused as older than one seen */
	uint64_t eras; /* times the store came back from an older copy */
	uint64_t other_cluster; /* answers refused as of another cluster */
	uint64_t unknown_writes;
	uint64_t watch_restarts;
};

struct ld_store_codec;

/** ld_store_codec_etcd() - the etcd v3 JSON gateway */
const struct ld_store_codec *ld_store_codec_etcd(void);

/**
 * ld_store_new() - a client of the store
 * @codec: the wire format; NULL: etcd v3 JSON
 */
struct ld_store *ld_store_new(struct ld_loop *loop, struct ld_http *http,
    const struct ld_store_settings *settings,
    const struct ld_store_codec *codec);
/** ld_store_free() - cancels every call; watches must be stopped before */
void ld_store_free(struct ld_store *s);
/**
 * ld_store_set_poll() - change poll_wait_ms and poll_pause_ms of the settings
 * @retry_max_ms: longest wait before a polled watch that failed is asked again
 */
void ld_store_set_poll(struct ld_store *s, uint64_t wait_ms, uint64_t pause_ms,
    uint64_t retry_max_ms);
const struct ld_store_counters *ld_store_counters(const struct ld_store *s);
/** ld_store_era() - highest era seen, 0 for a store that tells none */
int64_t ld_store_era(const struct ld_store *s);
/** ld_store_revision() - highest revision seen, 0 for none */
int64_t ld_store_revision(const struct ld_store *s);
/**
 * ld_store_alarm() - whether answers are refused as stale or of another
 * cluster since the last good one
 */
bool ld_store_alarm(const struct ld_store *s);

/** ld_store_read() - read one key; keys are given without the prefix */
void ld_store_read(
    struct ld_store *s, struct ld_store_call *call, struct ld_str key);
/**
 * ld_store_read_prefix_old() - the same, answered by a copy of the store
 *
 * Cheaper than a read that must be current, and may be seconds old. LD_E_STALE
 * when some page is older than what was seen before.
 */
void ld_store_read_prefix_old(
    struct ld_store *s, struct ld_store_call *call, struct ld_str prefix);
/** ld_store_read_prefix() - read all keys that start with @prefix */
void ld_store_read_prefix(
    struct ld_store *s, struct ld_store_call *call, struct ld_str prefix);
/**
 * ld_store_cas() - write @key if it is still as @expect says
 * @lease: attach to this lease, 0 for none
 *
 * Never repeated by the client. Outcome: see enum ld_store_outcome.
 */
void ld_store_cas(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_str value, struct ld_store_expect expect,
    int64_t lease);
/** ld_store_cas_delete() - delete @key if it is still as @expect says */
void ld_store_cas_delete(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_store_expect expect);
/** ld_store_put() - write @key whatever it holds */
void ld_store_put(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_str value, int64_t lease);
/**
 * ld_store_settle() - find out what became of an unknown compare-and-swap
 * @value, @expect: as given to ld_store_cas()
 * @deadline_ms: on the loop's clock
 *
 * Reads until the key is no longer as expected or the deadline has passed;
 * never writes. While the key is as expected the write may still arrive, so
 * that alone settles nothing. Outcome: LD_STORE_APPLIED when the key holds
 * @value; LD_STORE_NOT_APPLIED when exactly one write followed and it holds
 * another value; LD_STORE_UNKNOWN otherwise, with the key as read last.
 */
void ld_store_settle(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_str value, struct ld_store_expect expect,
    uint64_t deadline_ms);
/** ld_store_lease_grant() - a lease of @ttl_s seconds; see answer.ttl_ms */
void ld_store_lease_grant(
    struct ld_store *s, struct ld_store_call *call, int64_t ttl_s);
/** ld_store_lease_keepalive() - LD_E_NOT_FOUND once the lease has expired */
void ld_store_lease_keepalive(
    struct ld_store *s, struct ld_store_call *call, int64_t lease);
void ld_store_lease_revoke(
    struct ld_store *s, struct ld_store_call *call, int64_t lease);
/** ld_store_cancel() - done() won't run; a write may still take effect */
void ld_store_cancel(struct ld_store_call *call);

/* ---- Store: watches ---- */

struct ld_store_watch;

/**
 * struct ld_store_changes - what one answer to a polled watch told
 * @after: whoever knows all changes up to this revision may take these
 * @revision: all changes up to it are known then
 * @current_ms: the store had made no other change by then (the loop's clock)
 */
struct ld_store_changes {
	int64_t after;
	int64_t revision;
	const struct ld_store_event *events;
	size_t n;
	uint64_t current_ms;
};

/**
 * struct ld_store_watch_ops - receiver of a watch
 * @snapshot: all keys watched at @revision, at the start and at each renewal
 *	or new connection; what is absent from it does not exist
 * @change: one key after it; when @deleted, only key and mod_revision are set
 * @lost: reading or the stream failed; tried again after a back-off
 * @current: all changes that the store had made by @since_ms (the loop's clock)
 *	were handed over; may be NULL
 * @told: what the store answered to a polled watch, after @change was called
 *	for each of it; may be NULL
 */
struct ld_store_watch_ops {
	void (*snapshot)(struct ld_store_watch *w, int64_t revision,
	    const struct ld_store_kv *kvs, size_t n);
	void (*change)(struct ld_store_watch *w, const struct ld_store_kv *kv,
	    bool deleted);
	void (*lost)(struct ld_store_watch *w, enum ld_status status);
	void (*current)(struct ld_store_watch *w, uint64_t since_ms);
	void (*told)(
	    struct ld_store_watch *w, const struct ld_store_changes *changes);
};

/** struct ld_store_watch - first member of whatever receives a watch */
struct ld_store_watch {
	const struct ld_store_watch_ops *ops;
	struct store_watch *state; /* NULL when not started */
};

/**
 * ld_store_watch_start() - watch a key, or with @prefix all that start with it
 * @w: ops set; must outlive the watch
 */
void ld_store_watch_start(struct ld_store *s, struct ld_store_watch *w,
    struct ld_str key, bool prefix);
/** ld_store_watch_revision() - all changes up to it are known; 0: not read */
int64_t ld_store_watch_revision(const struct ld_store_watch *w);
/**
 * ld_store_watch_take() - take changes that another client's watch was told
 *
 * The watch must be polled. When they join what is known, change() and
 * current() run for them, and the store is not asked until
 * ld_store_watch_resume().
 *
 * Return: LD_OK; LD_E_STALE when changes are missing in between, more is known
 * already or they are of an earlier era: nothing is taken, the watch goes on as before.
 */
enum ld_status ld_store_watch_take(
    struct ld_store_watch *w, const struct ld_store_changes *changes);
/** ld_store_watch_resume() - ask the store again, from what is known */
void ld_store_watch_resume(struct ld_store_watch *w);
/** ld_store_watch_asks() - false after ld_store_watch_take() until resumed */
bool ld_store_watch_asks(const struct ld_store_watch *w);
/** ld_store_watch_read_anew() - a snapshot follows, also when changes were taken */
void ld_store_watch_read_anew(struct ld_store_watch *w);
/** ld_store_watch_stop() - no callback runs afterwards; idempotent */
void ld_store_watch_stop(struct ld_store_watch *w);

/* ---- Live list ---- */

enum ld_role {
	LD_ROLE_ENGINE,
	LD_ROLE_SERVICE,
	LD_ROLE_ENTRY,
	LD_ROLE_COUNT
};

/** ld_role_name() - name in the list, never NULL */
const char *ld_role_name(enum ld_role r);

/** struct ld_instance - one instance of the list */
struct ld_instance {
	char *address; /* "IP:PORT" */
	enum ld_role role;
	char *fabric; /* fabric domain, "" for none */
	char *zone; /* failure domain, "" for none */
	bool leaving; /* gets no new request */
};

/** struct ld_live_list - list in force; valid until the next change */
struct ld_live_list {
	int64_t version; /* 0: none received yet */
	size_t n;
	const struct ld_instance *v; /* sorted by address */
};

struct ld_live_listener;

/** struct ld_live_ops - @changed: another list is in force */
struct ld_live_ops {
	void (*changed)(
	    struct ld_live_listener *l, const struct ld_live_list *list);
};

/** struct ld_live_listener - first member of whatever receives the list */
struct ld_live_listener {
	const struct ld_live_ops *ops;
};

/**
 * struct ld_live_settings - strings are copied
 * @endpoints: "IP:PORT" each; tried in turn
 * @wait_ms: how long the list may hold a poll
 * @call_timeout_ms: bound of a poll beyond @wait_ms
 * @restart_confirm_ms: a lower version is taken for a restarted list once it
 *	was answered for so long
 */
struct ld_live_settings {
	const char *const *endpoints;
	size_t n_endpoints;
	uint64_t wait_ms;
	uint64_t connect_timeout_ms;
	uint64_t call_timeout_ms;
	uint64_t backoff_min_ms;
	uint64_t backoff_max_ms;
	uint64_t restart_confirm_ms;
	uint64_t seed;
};

struct ld_live_settings ld_live_defaults(void);

struct ld_live;

/** struct ld_live_counters - totals since the start */
struct ld_live_counters {
	uint64_t polls;
	uint64_t failures;
	uint64_t older; /* answers refused: version below the one in force */
	uint64_t malformed;
	uint64_t restarts; /* lower versions adopted as a restarted list */
};

/** ld_live_new() - poll the list from now on */
struct ld_live *ld_live_new(struct ld_loop *loop, struct ld_http *http,
    const struct ld_live_settings *settings, struct ld_live_listener *listener);
void ld_live_free(struct ld_live *l);
/** ld_live_current() - list in force; version 0 before the first answer */
const struct ld_live_list *ld_live_current(const struct ld_live *l);
/** ld_live_age_ms() - time since an answer confirmed it, UINT64_MAX: never */
uint64_t ld_live_age_ms(const struct ld_live *l);
const struct ld_live_counters *ld_live_counters(const struct ld_live *l);

#endif
