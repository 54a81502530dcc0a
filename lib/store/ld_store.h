/*
 * Clients of the key-value store and of the live list, which names the live
 * and leaving instances. Source: lib/store.
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
 * A store that was restored from an older copy assigns the same revisions again
 * and increments its era. Revisions in this API hold the era in the bits above
 * the store's own revision, so that a later era always compares as newer.
 */
#define LD_STORE_REVISION_BITS 36
#define LD_STORE_ERA_MAX 2047

/** ld_store_era_of() - the era of a revision */
static inline int64_t
ld_store_era_of(int64_t revision)
{
	return revision >> LD_STORE_REVISION_BITS;
}

/** struct ld_store_kv - a key, its value and its revisions in the store */
struct ld_store_kv {
	struct ld_str key;
	struct ld_str value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version; /* writes since the key was created */
	int64_t lease; /* 0: no lease attached */
};

/** struct ld_store_event - one key of a response or a watch; owns its bytes */
struct ld_store_event {
	struct ld_store_kv kv;
	bool deleted;
};

/**
 * struct ld_store_expect - what a compare-and-swap expects to replace
 *
 * All zero: the key must not exist. The store compares mod_revision only; with
 * the others ld_store_resolve_write() determines whose write came next.
 */
struct ld_store_expect {
	int64_t mod_revision;
	int64_t create_revision;
	int64_t version;
};

/** ld_store_expect_of() - expect @kv unchanged; NULL: expect no such key */
struct ld_store_expect ld_store_expect_of(const struct ld_store_kv *kv);

/** enum ld_store_outcome - whether a write took effect */
enum ld_store_outcome {
	LD_STORE_NOT_APPLIED, /* certain: it will not take effect later */
	LD_STORE_APPLIED, /* certain */
	LD_STORE_CONFLICT, /* not applied: the key was not as expected */
	LD_STORE_UNKNOWN, /* it may have taken effect, or still may */
	LD_STORE_OUTCOME_COUNT
};

/** ld_store_outcome_name() - stable lower-case name, never NULL */
const char *ld_store_outcome_name(enum ld_store_outcome o);

/**
 * struct ld_store_answer - result of a call; valid during done() only
 * @status: LD_OK; for reads LD_E_NOT_FOUND when the key is absent; for writes
 *	LD_E_CONFLICT; LD_E_LIMIT: over this node's budget; LD_E_UNAVAILABLE;
 *	LD_E_TIMEOUT; LD_E_CLOSED; LD_E_STALE: refused, as its revision is lower
 *	than one seen before the call; LD_E_PROTOCOL: malformed response, or
 *	from another cluster; LD_E_UNKNOWN: ld_store_resolve_write() could not
 *	determine the outcome
 * @outcome: of a write or of ld_store_resolve_write()
 * @revision: of the store when it responded; 0 without a response. For an
 *	applied write: the mod_revision of the key
 * @kvs: keys read; after a conflict or ld_store_resolve_write() the current
 *	key, if any
 * @lease: id of a granted lease
 * @ttl_ms: time to live of a lease that was granted or renewed, counted from
 *	the start of the call
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
 * struct ld_store_call - a call in progress; embedded in the caller's struct
 * @done: set before the call; runs once unless cancelled, and may start
 *	the next call with the same struct
 */
struct ld_store_call {
	void (*done)(
	    struct ld_store_call *call, const struct ld_store_answer *answer);
	struct store_request *request; /* NULL: none in progress */
};

/** enum ld_store_kind - kinds of calls, each with its own counters */
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
 * @endpoints: "IP:PORT" each; used round-robin after failures
 * @prefix: prepended to every key
 * @connect_timeout_ms, @call_timeout_ms: time limits of one call
 * @watch_renew_ms: a streamed watch is closed and its keys are read again at
 *	least this often
 * @poll_wait_ms: how long the store may hold one poll of a watch
 * @poll_timeout_ms: time limit of one poll beyond @poll_wait_ms
 * @poll_pause_ms: delay after a poll that returned changes, so that the next
 *	poll returns several changes at once
 * @page_pause_ms: the same after a poll that may have returned only the first
 *	changes
 * @backoff_min_ms, @backoff_max_ms: exponential back-off after failures
 * @calls_per_s, @calls_burst: token bucket for the calls of this node
 * @confirm_prefix: prefix of a few keys, which are read to learn the store's
 *	revision after a replica has served the first read of a watch; NULL: such
 *	a watch is current once its first poll has ended
 * @seed: of the random numbers; 0 seeds from the operating system
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
	uint64_t page_pause_ms;
	uint64_t backoff_min_ms;
	uint64_t backoff_max_ms;
	uint64_t calls_per_s;
	uint64_t calls_burst;
	const char *confirm_prefix;
	uint64_t seed;
};

/** ld_store_defaults() - settings without endpoints */
struct ld_store_settings ld_store_defaults(void);

/** struct ld_store_counters - totals since the start */
struct ld_store_counters {
	uint64_t calls[LD_STORE_KIND_COUNT];
	uint64_t failures[LD_STORE_KIND_COUNT];
	uint64_t over_budget;
	uint64_t in_backoff; /* calls refused during back-off */
	uint64_t stale; /* responses refused: older revision or era */
	uint64_t eras; /* times the store was restored from an older copy */
	uint64_t other_cluster; /* responses refused: from another cluster */
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
/** ld_store_free() - cancel all calls; watches must be stopped already */
void ld_store_free(struct ld_store *s);
/**
 * struct ld_store_poll - how watches are polled from now on
 * @wait_ms, @pause_ms, @page_pause_ms: as in the settings
 * @retry_max_ms: longest back-off after a failure
 */
struct ld_store_poll {
	uint64_t wait_ms;
	uint64_t pause_ms;
	uint64_t page_pause_ms;
	uint64_t retry_max_ms;
};

/** ld_store_set_poll() - for all watches, from their next poll or failure on */
void ld_store_set_poll(struct ld_store *s, const struct ld_store_poll *poll);
const struct ld_store_counters *ld_store_counters(const struct ld_store *s);
/** ld_store_era() - highest era seen, 0 for a store without eras */
int64_t ld_store_era(const struct ld_store *s);
/** ld_store_revision() - highest revision seen, 0 for none */
int64_t ld_store_revision(const struct ld_store *s);
/**
 * ld_store_alarm() - whether a response was refused as stale or from another
 * cluster since the last valid one
 */
bool ld_store_alarm(const struct ld_store *s);

/** ld_store_read() - read one key; keys are given without the prefix */
void ld_store_read(
    struct ld_store *s, struct ld_store_call *call, struct ld_str key);
/**
 * ld_store_read_prefix_serializable() - ld_store_read_prefix() served by any
 * replica
 *
 * Cheaper than a linearizable read, but the data may be seconds old. LD_E_STALE
 * when a page has a lower revision than was seen before.
 */
void ld_store_read_prefix_serializable(
    struct ld_store *s, struct ld_store_call *call, struct ld_str prefix);
/** ld_store_read_prefix() - read all keys that start with @prefix */
void ld_store_read_prefix(
    struct ld_store *s, struct ld_store_call *call, struct ld_str prefix);
/**
 * ld_store_cas() - write @key if it still matches @expect
 * @lease: attach to this lease, 0 for none
 *
 * Never retried by the client. Outcome: see enum ld_store_outcome.
 */
void ld_store_cas(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_str value, struct ld_store_expect expect,
    int64_t lease);
/** ld_store_cas_delete() - delete @key if it still matches @expect */
void ld_store_cas_delete(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_store_expect expect);
/** ld_store_put() - write @key unconditionally */
void ld_store_put(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_str value, int64_t lease);
/**
 * ld_store_resolve_write() - determine the outcome of an unknown
 * compare-and-swap
 * @value, @expect: as passed to ld_store_cas()
 * @deadline_ms: on the loop's clock
 *
 * Reads until the key no longer matches @expect or the deadline has passed;
 * never writes. A key that still matches proves nothing, as the write may still
 * arrive. Outcome: LD_STORE_APPLIED when the key holds @value;
 * LD_STORE_NOT_APPLIED when exactly one write followed and the key holds
 * another value; LD_STORE_UNKNOWN otherwise, with the key as last read.
 */
void ld_store_resolve_write(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_str value, struct ld_store_expect expect,
    uint64_t deadline_ms);
/**
 * ld_store_lease_grant() - request a lease of @ttl_s seconds
 *
 * The time granted may differ: see ld_store_answer.ttl_ms.
 */
void ld_store_lease_grant(
    struct ld_store *s, struct ld_store_call *call, int64_t ttl_s);
/** ld_store_lease_keepalive() - LD_E_NOT_FOUND once the lease has expired */
void ld_store_lease_keepalive(
    struct ld_store *s, struct ld_store_call *call, int64_t lease);
void ld_store_lease_revoke(
    struct ld_store *s, struct ld_store_call *call, int64_t lease);
/** ld_store_cancel() - done() is not called; a write may still take effect */
void ld_store_cancel(struct ld_store_call *call);

/* ---- Store: watches ---- */

struct ld_store_watch;

/**
 * struct ld_store_changes - changes in one response to a polled watch
 * @after: the changes follow on this revision: a watch that has received all
 *	changes up to it may apply these
 * @revision: with these, all changes up to this revision have been received
 * @current_ms: the store had no further change at this time (the loop's clock);
 *	unknown when @more
 * @more: further changes may have been made before the response; the watch asks
 *	for them after page_pause_ms
 */
struct ld_store_changes {
	int64_t after;
	int64_t revision;
	const struct ld_store_event *events;
	size_t n;
	uint64_t current_ms;
	bool more;
};

/**
 * struct ld_store_watch_ops - callbacks of a watch
 * @snapshot: all watched keys at @revision, at the start and at each renewal
 *	or new connection; a key that is absent from it does not exist
 * @change: one key that changed after the snapshot; when @deleted, only key and
 *	mod_revision are set
 * @lost: the read or the stream failed; retried after a back-off
 * @current: all changes that the store had made by @since_ms (the loop's clock;
 *	0: unknown, more are to come) have been delivered; may be NULL
 * @changes: the changes of one response to a polled watch, after @change was
 *	called for each of them; may be NULL
 */
struct ld_store_watch_ops {
	void (*snapshot)(struct ld_store_watch *w, int64_t revision,
	    const struct ld_store_kv *kvs, size_t n);
	void (*change)(struct ld_store_watch *w, const struct ld_store_kv *kv,
	    bool deleted);
	void (*lost)(struct ld_store_watch *w, enum ld_status status);
	void (*current)(struct ld_store_watch *w, uint64_t since_ms);
	void (*changes)(
	    struct ld_store_watch *w, const struct ld_store_changes *changes);
};

/** struct ld_store_watch - first member of the struct that receives a watch */
struct ld_store_watch {
	const struct ld_store_watch_ops *ops;
	struct store_watch *state; /* NULL: not started */
};

/**
 * ld_store_watch_start() - watch a key, or with @prefix all keys that start
 * with it
 * @w: ops set; must outlive the watch
 */
void ld_store_watch_start(struct ld_store *s, struct ld_store_watch *w,
    struct ld_str key, bool prefix);
/** ld_store_watch_revision() - changes up to it were received; 0: not read */
int64_t ld_store_watch_revision(const struct ld_store_watch *w);
/**
 * ld_store_watch_apply() - apply changes that another client's watch received
 *
 * The watch must be polled. When the changes follow on the watch's revision,
 * change() and current() run for them, and the watch does not poll the store
 * until ld_store_watch_resume().
 *
 * Return: LD_OK; LD_E_STALE when changes in between are missing, the watch has
 * a higher revision already, or the changes or the watch's revision are of an
 * earlier era: then nothing is applied and the watch continues as before.
 */
enum ld_status ld_store_watch_apply(
    struct ld_store_watch *w, const struct ld_store_changes *changes);
/** ld_store_watch_resume() - poll again, from the watch's revision */
void ld_store_watch_resume(struct ld_store_watch *w);
/**
 * ld_store_watch_is_active() - false from ld_store_watch_apply() until resumed
 */
bool ld_store_watch_is_active(const struct ld_store_watch *w);
/** ld_store_watch_poll_now() - end the pause after a poll, if any */
void ld_store_watch_poll_now(struct ld_store_watch *owner);
/** ld_store_watch_reread() - read a new snapshot, then poll again */
void ld_store_watch_reread(struct ld_store_watch *w);
/** ld_store_watch_stop() - no callback runs afterwards; idempotent */
void ld_store_watch_stop(struct ld_store_watch *w);

/* ---- Live list ---- */

enum ld_role {
	LD_ROLE_ENGINE,
	LD_ROLE_SERVICE,
	LD_ROLE_ENTRY,
	LD_ROLE_COUNT
};

/** ld_role_name() - name of the role in the live list, never NULL */
const char *ld_role_name(enum ld_role r);

/** struct ld_instance - one instance of the live list */
struct ld_instance {
	char *address; /* "IP:PORT" */
	enum ld_role role;
	char *fabric; /* fabric domain, "" for none */
	char *zone; /* failure domain, "" for none */
	bool leaving; /* must not receive new requests */
};

/** struct ld_live_list - current list; valid until the next change */
struct ld_live_list {
	int64_t version; /* 0: none received yet */
	size_t n;
	const struct ld_instance *v; /* sorted by address */
};

struct ld_live_listener;

/** struct ld_live_ops - @changed: a new list was adopted */
struct ld_live_ops {
	void (*changed)(
	    struct ld_live_listener *l, const struct ld_live_list *list);
};

/** struct ld_live_listener - first member of the list's receiver */
struct ld_live_listener {
	const struct ld_live_ops *ops;
};

/**
 * struct ld_live_settings - strings are copied
 * @endpoints: "IP:PORT" each; used round-robin after failures
 * @wait_ms: how long the list service may hold a poll
 * @call_timeout_ms: time limit of a poll beyond @wait_ms
 * @restart_confirm_ms: after lower versions were received for this long, the
 *	list service is considered restarted and its list is adopted
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
	uint64_t older; /* responses refused: version below the current one */
	uint64_t malformed;
	uint64_t restarts; /* lower versions adopted after a restart */
};

/** ld_live_new() - create a client and start polling */
struct ld_live *ld_live_new(struct ld_loop *loop, struct ld_http *http,
    const struct ld_live_settings *settings, struct ld_live_listener *listener);
void ld_live_free(struct ld_live *l);
/** ld_live_current() - current list; version 0 before the first response */
const struct ld_live_list *ld_live_current(const struct ld_live *l);
/** ld_live_age_ms() - time since it was last confirmed, UINT64_MAX: never */
uint64_t ld_live_age_ms(const struct ld_live *l);
const struct ld_live_counters *ld_live_counters(const struct ld_live *l);

#endif
