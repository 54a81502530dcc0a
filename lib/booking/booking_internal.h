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
	char body[HASH_HEX_LEN + 1]; /* hash of what must be the same */
	enum record_state state;
	char *node; /* that holds the claim */
	uint64_t attempt;
	uint64_t at_ms; /* time of day of the claim */
	uint64_t span_ms; /* the call has ended so long after it */
	int status;
	char *answer;
	size_t answer_len;
	bool kept;
};

void record_copy(struct record *to, const struct record *from);
void record_fini(struct record *r);
json_t *record_json(const struct record *r);
/** record_parse() - false when malformed; @out is to be ended either way */
bool record_parse(const json_t *o, struct record *out);

/** struct claims - the value of one shard */
struct claims {
	char *writer; /* of this value */
	uint64_t written_ms; /* time of day of the writer */
	struct record *v; /* oldest first */
	size_t n;
	size_t bytes; /* bound of the encoded size, with room for outcomes */
};

void claims_copy(struct claims *to, const struct claims *from);
void claims_fini(struct claims *c);
/** claims_parse() - false when malformed; empty bytes are no claims */
bool claims_parse(struct ld_str bytes, struct claims *out);
/** claims_write() - encode as written by @node at @wall_ms */
void claims_write(
    struct claims *c, const char *node, uint64_t wall_ms, struct ld_buf *out);
/** claims_add_bytes() - account for one more record; Return: the new bound */
size_t claims_add_bytes(struct claims *c, const struct record *r);
struct record *claims_find(const struct claims *c, const char *key);
/** claims_prune() - forget records older than @retention_ms; count them */
size_t claims_prune(struct claims *c, uint64_t wall_ms, uint64_t retention_ms);

/* ---- Operations on a shard (ops.c) ---- */

enum op_kind {
	OP_CLAIM,
	OP_OUTCOME,
	OP_KIND_COUNT
};

enum op_result {
	OP_PENDING,
	OP_APPLIED, /* it stands in the store */
	OP_EXISTS, /* another attempt's record stands there */
	OP_FULL,
	OP_ABSENT, /* nothing to set an outcome on */
	OP_FAILED, /* not settled in time */
	OP_RESULT_COUNT
};

enum op_place {
	OP_QUEUED,
	OP_IN_WRITE, /* part of the write under way */
	OP_FORWARDED, /* the usual writer was asked */
};

/** struct op - one change to make in a shard, for this node or another */
struct op {
	struct op *next;
	enum op_kind kind;
	enum op_place place;
	enum op_result result; /* to be reported, OP_PENDING until known */
	const struct record *found; /* with OP_EXISTS: in the cache or owned */
	bool owns_found;
	uint32_t shard;
	struct record rec; /* to claim, or the outcome to set */
	char *from; /* node to reply to, NULL for this one */
	uint64_t created_ms;
	uint64_t deadline_ms;
	uint64_t forward_until_ms;
	uint64_t recheck_ms; /* absent and unsure: look again then */
	unsigned int rechecks;
	bool unsure; /* a write that has it may have been, or be, applied */
	bool seen_absent; /* a read since its creation had no such key */
};

struct op *op_new(enum op_kind kind, const struct record *rec, uint32_t shard);
void op_free(struct op *o);
/**
 * op_apply() - make the change in @c
 * @changed: set when @c was changed and is to be written
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
	bool valid; /* cache is what the store held at revision */
	struct claims cache;
	struct claims next; /* being written */
	int64_t revision;
	uint64_t read_ms; /* when a read that filled the cache was sent */
	uint64_t busy_since_ms;
	uint64_t next_ms; /* no call to the store before */
	uint64_t next_read_ms; /* no read before */
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
	bool hung_up;
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
	uint64_t other_base_ms; /* the same by the node heard last */
	bool heard_other;
	char **members;
	size_t n_members;
	struct shard *shards;
	char *silent_node; /* a writer that did not answer, or NULL */
	uint64_t silent_until_ms;
	struct call *calls;
	size_t n_calls;
	struct ld_booking_counters counters;
	struct ld_booking_action *queue;
	struct ld_buf *payloads; /* of the queued actions */
	size_t queued;
	size_t taken;
};

struct ld_booking_action *booking_act(
    struct ld_booking *b, enum ld_booking_action_kind kind);
/** booking_payload() - buffer that lives as long as the action just queued */
struct ld_buf *booking_payload(struct ld_booking *b);
uint64_t booking_wall(const struct ld_booking *b, uint64_t now_ms);
/**
 * booking_prune_time() - time of day by which keys may be forgotten
 *
 * Not later than that of the node heard last: one clock that runs ahead must
 * not make keys be forgotten early. 0 while no other was heard.
 */
uint64_t booking_prune_time(const struct ld_booking *b, uint64_t now_ms);
/** booking_hear_clock() - another node says that its time is @wall_ms */
void booking_hear_clock(
    struct ld_booking *b, uint64_t now_ms, uint64_t wall_ms);
struct call *call_find(const struct ld_booking *b, uint64_t id);
struct call *call_of_attempt(const struct ld_booking *b, uint64_t attempt);
/** call_forget() - unlink and free */
void call_forget(struct ld_booking *b, struct call *c);
/** call_send() - have the call sent to the next server */
void call_send(struct ld_booking *b, struct call *c);
struct ld_booking_action *call_answer(struct ld_booking *b,
    const struct call *c, enum ld_booking_answer_kind kind,
    enum ld_booking_ran ran, enum ld_booking_ran earlier,
    uint64_t retry_after_ms);
/** call_record() - have an outcome recorded in the store */
void call_record(struct ld_booking *b, uint64_t now_ms,
    const struct record *rec, uint32_t shard, bool unsure);
/** call_record_not_run() - the same of a claim that is never sent */
void call_record_not_run(struct ld_booking *b, uint64_t now_ms,
    const struct record *claim, uint32_t shard, bool unsure);
/** call_use_claim() - send the call unless that is too late */
void call_use_claim(struct ld_booking *b, uint64_t now_ms, struct call *c);
/** booking_begin() - start an event: the actions of the last one are gone */
void booking_begin(struct ld_booking *b);
/** booking_run() - step all shards and report results until none is left */
void booking_run(struct ld_booking *b, uint64_t now_ms);

/** shard_submit() - take over @o; booking_run() does the rest */
void shard_submit(struct ld_booking *b, uint64_t now_ms, struct op *o);
/** shard_step() - do what is due in one shard */
void shard_step(struct ld_booking *b, uint64_t now_ms, uint32_t shard);
uint64_t shard_next_due(const struct shard *s);
/**
 * shard_drop_claim() - the call of a claim on this node is no more
 *
 * Return: whether the claim may stand in the store nevertheless.
 */
bool shard_drop_claim(struct shard *s, uint64_t attempt);
void shard_fini(struct shard *s);

/* ---- The usual writer of a shard (forward.c) ---- */

/** forward_op() - ask the usual writer; false when there is no other */
bool forward_op(struct ld_booking *b, uint64_t now_ms, struct op *o);
/** forward_timed_out() - the usual writer of @shard did not answer */
void forward_timed_out(struct ld_booking *b, uint64_t now_ms, uint32_t shard);
/** forward_reply() - tell the node that asked for @o what came of it */
void forward_reply(struct ld_booking *b, uint64_t now_ms, const struct op *o);

#endif
