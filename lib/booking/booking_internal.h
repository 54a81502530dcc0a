/* Shared by the files of lib/booking: records, operations, shards, calls. */
#ifndef BOOKING_INTERNAL_H
#define BOOKING_INTERNAL_H

#include <jansson.h>

#include "ld_booking.h"

#define NEVER UINT64_MAX
/* Hex digits of a truncated SHA-256: 128 bits. */
#define HASH_HEX_LEN 32

/* ---- Records (record.c) ---- */

enum record_state {
	RECORD_CLAIMED,
	RECORD_DONE,
	RECORD_NOT_RUN,
	RECORD_UNKNOWN,
	RECORD_STATE_COUNT
};

/** struct record - claim or outcome of one key; owns its strings */
struct record {
	char key[HASH_HEX_LEN + 1]; /* hash of owner and key */
	char body[HASH_HEX_LEN + 1]; /* hash of method, path and body */
	enum record_state state;
	char *node; /* node that made the claim */
	uint64_t attempt; /* random id of the call that made the claim */
	uint64_t claimed_ms; /* time of day of the claim */
	uint64_t max_duration_ms; /* from the claim to the end of the call */
	int status;
	char *answer;
	size_t answer_len;
	bool has_answer;
};

void record_copy(struct record *to, const struct record *from);
void record_fini(struct record *r);
json_t *record_json(const struct record *r);
/** record_parse() - false when malformed; @out needs record_fini() always */
bool record_parse(const json_t *o, struct record *out);

/** struct claims - the value of one shard */
struct claims {
	char *writer; /* node that wrote this value */
	uint64_t written_ms; /* time of day, by the writer's clock */
	struct record *v; /* oldest first */
	size_t n;
	size_t bytes; /* bound of the encoded size, with space for outcomes */
};

void claims_copy(struct claims *to, const struct claims *from);
void claims_fini(struct claims *c);
/** claims_parse() - false when malformed; empty @bytes hold no claims */
bool claims_parse(struct ld_str bytes, struct claims *out);
/** claims_write() - encode as written by @node at @wall_ms */
void claims_write(
    struct claims *c, const char *node, uint64_t wall_ms, struct ld_buf *out);
/** claims_add_bytes() - add the size of @r; Return: the new upper bound */
size_t claims_add_bytes(struct claims *c, const struct record *r);
struct record *claims_find(const struct claims *c, const char *key);
/** claims_prune() - remove records past @retention_ms; Return: how many */
size_t claims_prune(struct claims *c, uint64_t wall_ms, uint64_t retention_ms);

/* ---- Operations on a shard (ops.c) ---- */

enum op_kind {
	OP_CLAIM,
	OP_OUTCOME,
	OP_KIND_COUNT
};

enum op_result {
	OP_PENDING,
	OP_APPLIED, /* the record is in the store */
	OP_EXISTS, /* the key has a record that this claim can't replace */
	OP_FULL,
	OP_ABSENT, /* the claim to set an outcome on does not exist */
	OP_FAILED, /* no other result before the deadline */
	OP_RESULT_COUNT
};

enum op_state {
	OP_QUEUED,
	OP_IN_WRITE, /* part of the write in progress */
	OP_FORWARDED, /* sent to the preferred writer */
};

/** struct op - one change to a shard, for this node or another one */
struct op {
	struct op *next;
	enum op_kind kind;
	enum op_state state;
	enum op_result result; /* OP_PENDING until the operation has ended */
	const struct record *found; /* for OP_EXISTS: in the cache or owned */
	bool owns_found;
	uint32_t shard;
	struct record rec; /* the claim or the outcome */
	char *from; /* node that requested it, NULL for this one */
	uint64_t created_ms;
	uint64_t deadline_ms;
	uint64_t forward_until_ms;
	uint64_t recheck_ms; /* not evaluated again before */
	unsigned int rechecks;
	bool maybe_written; /* a write of it may have been or be applied */
	bool seen_absent; /* a read since its creation did not find the key */
};

struct op *op_new(enum op_kind kind, const struct record *rec, uint32_t shard);
void op_free(struct op *o);
/**
 * op_apply() - apply the change to @c
 * @changed: set to whether @c was changed and must be written
 *
 * Return: OP_APPLIED, OP_EXISTS, OP_FULL or OP_ABSENT.
 */
enum op_result op_apply(
    struct op *o, struct claims *c, size_t max_bytes, bool *changed);

/* ---- Shards (shard.c) ---- */

enum shard_state {
	SHARD_IDLE,
	SHARD_READING,
	SHARD_WRITING
};

struct shard {
	enum shard_state state;
	bool valid; /* @cache is the store's value at @revision */
	struct claims cache;
	struct claims next; /* the value being written */
	int64_t revision;
	uint64_t read_ms; /* @cache is no older than this */
	uint64_t busy_since_ms; /* when the call in progress was started */
	uint64_t next_ms; /* earliest time of the next call to the store */
	uint64_t next_read_ms; /* earliest time of the next read */
	unsigned int failures;
	struct op *ops; /* in order of arrival */
};

/* ---- Calls (booking.c, claim.c) ---- */

#define RETRY_AFTER_MS 1000

enum call_state {
	CALL_CLAIMING,
	CALL_SENDING, /* may be sent, until send_by_ms */
};

struct call {
	struct call *next;
	uint64_t id;
	enum call_state state;
	bool keyed;
	bool client_disconnected;
	struct record rec;
	uint32_t shard;
	uint64_t send_by_ms;
	unsigned int tries;
};

struct ld_booking {
	struct ld_booking_config config;
	char *node;
	struct ld_rand rand;
	uint64_t wall_base_ms; /* time of day at the monotonic time 0 */
	uint64_t peer_wall_base_ms; /* the same, by the latest peer message */
	bool has_peer_clock;
	char **members;
	size_t n_members;
	struct shard *shards;
	char *unresponsive_node; /* a writer that did not reply, or NULL */
	uint64_t unresponsive_until_ms;
	struct call *calls;
	size_t n_calls;
	struct ld_booking_counters counters;
	struct ld_booking_action *queue;
	struct ld_buf *payloads; /* of the queued actions */
	size_t queue_len;
	size_t queue_pos;
};

struct ld_booking_action *booking_queue_action(
    struct ld_booking *b, enum ld_booking_action_kind kind);
/** booking_payload() - buffer with the lifetime of the last queued action */
struct ld_buf *booking_payload(struct ld_booking *b);
uint64_t booking_wall(const struct ld_booking *b, uint64_t now_ms);
/**
 * booking_prune_time() - time of day to use for the expiry of records
 *
 * The earlier one of this node's clock and that of the node whose message was
 * received last, so that a single clock that runs ahead does not expire
 * records early. 0 if there are other members and none has sent a message yet.
 */
uint64_t booking_prune_time(const struct ld_booking *b, uint64_t now_ms);
/** booking_note_peer_clock() - another node reported its time, @wall_ms */
void booking_note_peer_clock(
    struct ld_booking *b, uint64_t now_ms, uint64_t wall_ms);
struct call *call_find(const struct ld_booking *b, uint64_t id);
struct call *call_find_by_attempt(const struct ld_booking *b, uint64_t attempt);
/** call_remove() - unlink and free */
void call_remove(struct ld_booking *b, struct call *c);
/** call_send() - queue the action to send the call to the next server */
void call_send(struct ld_booking *b, struct call *c);
struct ld_booking_action *call_answer(struct ld_booking *b,
    const struct call *c, enum ld_booking_answer_kind kind,
    enum ld_booking_ran ran, enum ld_booking_ran earlier_ran,
    uint64_t retry_after_ms);
/** call_record_outcome() - submit an outcome to be recorded in the store */
void call_record_outcome(struct ld_booking *b, uint64_t now_ms,
    const struct record *rec, uint32_t shard, bool maybe_written);
/** call_record_not_run() - the same for a claim whose call is never sent */
void call_record_not_run(struct ld_booking *b, uint64_t now_ms,
    const struct record *claim, uint32_t shard, bool maybe_written);
/** call_send_or_expire() - send the call unless its deadline has passed */
void call_send_or_expire(struct ld_booking *b, uint64_t now_ms, struct call *c);
/** booking_begin_event() - free the actions of earlier events if all taken */
void booking_begin_event(struct ld_booking *b);
/** booking_run() - step all shards and complete their ended operations */
void booking_run(struct ld_booking *b, uint64_t now_ms);

/** shard_submit() - queue @o and take ownership; booking_run() performs it */
void shard_submit(struct ld_booking *b, uint64_t now_ms, struct op *o);
/** shard_step() - start the work that is due in one shard */
void shard_step(struct ld_booking *b, uint64_t now_ms, uint32_t shard);
uint64_t shard_next_due(const struct shard *s);
/**
 * shard_drop_claim() - remove the claim operation of this node's @attempt
 *
 * Return: whether the claim may nevertheless be in the store.
 */
bool shard_drop_claim(struct shard *s, uint64_t attempt);
void shard_fini(struct shard *s);

/* ---- The preferred writer of a shard (forward.c) ---- */

/**
 * forward_op() - send @o to the preferred writer of its shard
 *
 * Return: false when that is this node, or a node that did not reply lately.
 */
bool forward_op(struct ld_booking *b, uint64_t now_ms, struct op *o);
/** forward_timed_out() - the preferred writer of @shard did not reply */
void forward_timed_out(struct ld_booking *b, uint64_t now_ms, uint32_t shard);
/** forward_reply() - send the result of @o to the node that requested it */
void forward_reply(struct ld_booking *b, uint64_t now_ms, const struct op *o);

#endif
