/*
 * At-most-once execution of calls that are not idempotent.
 * Source: lib/booking.
 *
 * The module has no socket and no clock. Each event takes the time in ms of
 * one monotonic clock that also runs while the process is paused. After each
 * event the adapter takes all queued actions with ld_booking_next_action().
 * Performing an action may cause further events; their actions are queued
 * behind those not yet taken.
 */
#ifndef LD_BOOKING_H
#define LD_BOOKING_H

#include "ld_common.h"

#define LD_BOOKING_KEY_MAX_BYTES 255
/** Longest response body stored for retries; beyond it only the status is. */
#define LD_BOOKING_ANSWER_KEPT_BYTES 256

struct ld_booking;

/**
 * struct ld_booking_config - strings are copied
 * @node: id of this node, with its incarnation
 * @shards: number of shards, each one value in the store; must be the same on
 *	every node and must not change while claims are stored
 * @commit_interval_ms: minimum time between two writes of a shard
 * @claim_timeout_ms: a claim not confirmed within it is abandoned and its call
 *	is not sent
 * @forward_timeout_ms: wait for the preferred writer of a shard before this
 *	node writes itself
 * @retention_ms: how long the record of a key is stored
 * @value_max_bytes: maximum size of a shard's value
 * @sends_max: servers tried; the next one only if no byte was sent to the
 *	previous one
 * @calls_max: maximum number of calls in progress
 * @seed: of attempt ids and jitter; 0 seeds from the operating system
 */
struct ld_booking_config {
	struct ld_str node;
	uint32_t shards;
	uint64_t commit_interval_ms;
	uint64_t claim_timeout_ms;
	uint64_t forward_timeout_ms;
	uint64_t retention_ms;
	size_t value_max_bytes;
	unsigned int sends_max;
	size_t calls_max;
	uint64_t seed;
};

/** ld_booking_defaults() - configuration without @node */
struct ld_booking_config ld_booking_defaults(void);

/**
 * struct ld_booking_call - one call
 * @id: chosen by the adapter, not 0, unique among the calls in progress
 * @owner: the caller; keys of different owners are distinct
 * @key: idempotency key, empty for none
 * @body: method, path and body, which must be the same whenever the key is
 *	used again
 * @deadline_ms: the call is not sent after it
 */
struct ld_booking_call {
	uint64_t id;
	struct ld_str owner;
	struct ld_str key;
	struct ld_str body;
	uint64_t deadline_ms;
};

/** enum ld_booking_ran - whether a call was executed by a server */
enum ld_booking_ran {
	LD_BOOKING_RAN_NO,
	LD_BOOKING_RAN_YES,
	LD_BOOKING_RAN_UNKNOWN,
};

enum ld_booking_answer_kind {
	LD_BOOKING_RECORDED, /* repeat the recorded response: @status, @body */
	LD_BOOKING_NOT_RUN, /* the call was not sent to any server */
	LD_BOOKING_UNKNOWN, /* sent, but no complete response */
	LD_BOOKING_IN_PROGRESS, /* another call with this key is in progress */
	LD_BOOKING_KEY_REUSED, /* the key was used with a different body */
	LD_BOOKING_REFUSED, /* the claim could not be written in time */
	LD_BOOKING_FULL, /* no room for more claims in the shard */
	LD_BOOKING_ANSWER_KIND_COUNT
};

/** ld_booking_answer_name() - stable lower-case name, never NULL */
const char *ld_booking_answer_name(enum ld_booking_answer_kind k);

enum ld_booking_action_kind {
	LD_BOOKING_READ, /* read key claims/@shard */
	LD_BOOKING_WRITE, /* compare-and-swap claims/@shard to @bytes */
	LD_BOOKING_SEND, /* send call @id if ld_booking_may_send() allows it */
	LD_BOOKING_ANSWER, /* answer call @id, which is then no longer held */
	LD_BOOKING_MESSAGE, /* send @bytes to node @to */
};

/**
 * struct ld_booking_action - views are valid until the next event after all
 * queued actions have been taken
 * @expect: mod_revision that the write replaces, 0 for none
 * @send_index: 0 for the first server, 1 for the next one
 * @ran: whether this call ran
 * @earlier_ran: whether an earlier call with the same key ran; unknown also
 *	when the store could not be read
 * @retry_after_ms: 0 when a retry is of no use
 * @body_complete: @body is complete; otherwise it was too long to be stored
 */
struct ld_booking_action {
	enum ld_booking_action_kind kind;
	uint32_t shard;
	int64_t expect;
	struct ld_str bytes;
	struct ld_str to;
	uint64_t id;
	unsigned int send_index;
	enum ld_booking_answer_kind answer;
	enum ld_booking_ran ran;
	enum ld_booking_ran earlier_ran;
	uint64_t retry_after_ms;
	int status;
	struct ld_str body;
	bool body_complete;
};

/** struct ld_booking_counters - since the start */
struct ld_booking_counters {
	uint64_t calls;
	uint64_t sends;
	uint64_t answers[LD_BOOKING_ANSWER_KIND_COUNT];
	uint64_t reads;
	uint64_t writes;
	uint64_t claims_written;
	uint64_t conflicts;
	uint64_t unknown_writes;
	uint64_t expired_calls; /* deadline passed before the first send */
	uint64_t forwarded;
	uint64_t forward_timeouts;
	uint64_t malformed; /* values or messages rejected */
	uint64_t pruned;
};

struct ld_booking *ld_booking_new(
    const struct ld_booking_config *config, uint64_t now_ms);
void ld_booking_free(struct ld_booking *b);

/* ---- Events ---- */

/**
 * ld_booking_set_wall_clock() - set the time of day, used for the age of claims
 *
 * Must be called at the start and then periodically.
 */
void ld_booking_set_wall_clock(
    struct ld_booking *b, uint64_t now_ms, uint64_t wall_ms);
/** ld_booking_members() - ids of the live nodes, this one included */
void ld_booking_members(
    struct ld_booking *b, uint64_t now_ms, const struct ld_str *ids, size_t n);
/**
 * ld_booking_start() - a call was received
 *
 * Return: LD_OK, LD_E_INVALID for a key that is too long, LD_E_LIMIT when too
 * many calls are in progress. Unless LD_OK, the call is not held and not sent.
 */
enum ld_status ld_booking_start(
    struct ld_booking *b, uint64_t now_ms, const struct ld_booking_call *call);
/**
 * ld_booking_client_disconnected() - the client disconnected
 *
 * A call that waits for its claim is removed at once. A call that has a claim
 * but was not sent is no longer sent; one that was sent continues, so that its
 * outcome is recorded. Both still end with ld_booking_send_done() and, unless
 * it reports LD_BOOKING_ANSWERED, with an LD_BOOKING_ANSWER.
 */
void ld_booking_client_disconnected(
    struct ld_booking *b, uint64_t now_ms, uint64_t id);
/**
 * ld_booking_may_send() - whether the call may be sent now
 *
 * Must be called just before the first byte is sent: after a pause of the
 * process the deadline may have passed although no timer has run yet. If it
 * returns false, report LD_BOOKING_NOT_SENT.
 */
bool ld_booking_may_send(
    const struct ld_booking *b, uint64_t now_ms, uint64_t id);

enum ld_booking_result {
	LD_BOOKING_NOT_SENT, /* certainly no byte was sent */
	LD_BOOKING_ANSWERED, /* a complete response, whatever its status */
	LD_BOOKING_INCOMPLETE, /* anything else */
};

/**
 * ld_booking_send_done() - result of an LD_BOOKING_SEND
 * @status, @body: of the response, which the adapter relays itself
 */
void ld_booking_send_done(struct ld_booking *b, uint64_t now_ms, uint64_t id,
    enum ld_booking_result result, int status, struct ld_str body);

/**
 * struct ld_booking_value - value of a shard in the store
 * @revision: mod_revision, 0 when the key does not exist
 */
struct ld_booking_value {
	int64_t revision;
	struct ld_str bytes;
};

/**
 * ld_booking_read_done() - @value is NULL when the read failed
 *
 * Each LD_BOOKING_READ and LD_BOOKING_WRITE must end with exactly one such
 * event, however late: events carry no call id, as a shard has at most one
 * call to the store in progress.
 */
void ld_booking_read_done(struct ld_booking *b, uint64_t now_ms, uint32_t shard,
    const struct ld_booking_value *value);

/** enum ld_booking_write - outcome of a write, as reported by lib/store */
enum ld_booking_write {
	LD_BOOKING_WRITE_NOT_APPLIED,
	LD_BOOKING_WRITE_APPLIED,
	LD_BOOKING_WRITE_CONFLICT,
	LD_BOOKING_WRITE_UNKNOWN,
};

/**
 * ld_booking_write_done() - a write ended
 * @value: after an applied write its revision, without bytes; after a conflict
 *	the current value, or NULL if unknown; otherwise NULL
 */
void ld_booking_write_done(struct ld_booking *b, uint64_t now_ms,
    uint32_t shard, enum ld_booking_write outcome,
    const struct ld_booking_value *value);
/** ld_booking_message() - @bytes were received from the node @from */
void ld_booking_message(struct ld_booking *b, uint64_t now_ms,
    struct ld_str from, struct ld_str bytes);
void ld_booking_tick(struct ld_booking *b, uint64_t now_ms);
/** ld_booking_next_due() - when ld_booking_tick() must be called next */
uint64_t ld_booking_next_due(const struct ld_booking *b);
/** ld_booking_next_action() - dequeue the oldest action; false when none */
bool ld_booking_next_action(struct ld_booking *b, struct ld_booking_action *a);

/**
 * ld_booking_pending_count() - number of calls in progress and outcomes to
 * record
 */
size_t ld_booking_pending_count(const struct ld_booking *b);
/** ld_booking_shard() - shard of a key */
uint32_t ld_booking_shard(
    const struct ld_booking *b, struct ld_str owner, struct ld_str key);
const struct ld_booking_counters *ld_booking_counters(
    const struct ld_booking *b);

#endif
