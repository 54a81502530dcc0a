/*
 * Group commit: the changes of many calls are written to the value of a shard
 * in one transaction, and a shard has one transaction in progress at a time. A
 * change may be written again after a write with an unknown outcome, since its
 * record names its attempt: at most one of the two writes is applied, and both
 * contain the change.
 */
#include <stdlib.h>
#include <string.h>

#include "booking_internal.h"

#define BACKOFF_MAX_DOUBLINGS 4
#define CONFLICT_MAX_DOUBLINGS 2
/* Wait before the first recheck for a delayed write of a claim; it doubles. */
#define RECHECK_MS 1000
#define RECHECKS_MAX 4

static uint64_t
jittered_backoff(struct ld_booking *b, struct shard *s)
{
	uint64_t wait = b->config.commit_interval_ms << s->failures;

	if (s->failures < BACKOFF_MAX_DOUBLINGS)
		s->failures++;
	return wait / 2 + ld_rand_below(&b->rand, wait + 1);
}

/*
 * After a conflict the store is healthy and has returned its current value, so
 * the wait only has to spread out the competing writers.
 */
static uint64_t
conflict_backoff(struct ld_booking *b, struct shard *s)
{
	if (s->failures < CONFLICT_MAX_DOUBLINGS)
		s->failures++;
	return ld_rand_below(
	    &b->rand, (b->config.commit_interval_ms << s->failures) + 1);
}

void
shard_submit(struct ld_booking *b, uint64_t now_ms, struct op *o)
{
	struct op **end = &b->shards[o->shard].ops;

	while (*end != NULL)
		end = &(*end)->next;
	o->next = NULL;
	*end = o;
	o->created_ms = now_ms;
	if (o->from == NULL && forward_op(b, now_ms, o))
		o->state = OP_FORWARDED;
}

bool
shard_drop_claim(struct shard *s, uint64_t attempt)
{
	struct op **p = &s->ops;
	struct op *o;
	bool maybe_written;

	while (*p != NULL &&
	    ((*p)->kind != OP_CLAIM || (*p)->from != NULL ||
		(*p)->rec.attempt != attempt))
		p = &(*p)->next;
	o = *p;
	if (o == NULL)
		return false;
	maybe_written = o->maybe_written || o->state != OP_QUEUED;
	*p = o->next;
	op_free(o);
	return maybe_written;
}

void
shard_fini(struct shard *s)
{
	struct op *o;

	while ((o = s->ops) != NULL) {
		s->ops = o->next;
		op_free(o);
	}
	claims_fini(&s->cache);
	claims_fini(&s->next);
}

/* ---- Time-outs and due times ---- */

static void
expire_ops(struct ld_booking *b, uint64_t now_ms, struct shard *s)
{
	for (struct op *o = s->ops; o != NULL; o = o->next) {
		if (o->state == OP_FORWARDED && now_ms >= o->forward_until_ms) {
			forward_timed_out(b, now_ms, o->shard);
			o->state = OP_QUEUED;
			o->maybe_written = true;
		}
		if (o->result != OP_PENDING || now_ms < o->deadline_ms)
			continue;
		o->maybe_written |= o->state != OP_QUEUED;
		o->result = OP_FAILED;
	}
}

static bool
is_due(const struct op *o, uint64_t now_ms)
{
	return o->state == OP_QUEUED && o->result == OP_PENDING &&
	    now_ms >= o->recheck_ms;
}

static bool
has_work(const struct shard *s, uint64_t now_ms)
{
	const struct op *o = s->ops;

	while (o != NULL && !is_due(o, now_ms))
		o = o->next;
	return o != NULL;
}

uint64_t
shard_next_due(const struct shard *s)
{
	uint64_t due = NEVER;
	uint64_t free_ms = s->next_ms;

	if (!s->valid && s->next_read_ms > free_ms)
		free_ms = s->next_read_ms;
	for (const struct op *o = s->ops; o != NULL; o = o->next) {
		uint64_t at = o->recheck_ms > free_ms ? o->recheck_ms : free_ms;

		if (o->deadline_ms < due)
			due = o->deadline_ms;
		if (o->state == OP_FORWARDED && o->forward_until_ms < due)
			due = o->forward_until_ms;
		if (o->state == OP_QUEUED && s->state == SHARD_IDLE && at < due)
			due = at;
	}
	return due;
}

/* ---- Reading ---- */

static void
begin_read(struct ld_booking *b, uint64_t now_ms, uint32_t shard)
{
	struct shard *s = &b->shards[shard];

	s->valid = false;
	if (now_ms < s->next_read_ms)
		return;
	s->state = SHARD_READING;
	s->busy_since_ms = now_ms;
	s->next_read_ms = now_ms + b->config.commit_interval_ms;
	b->counters.reads++;
	booking_queue_action(b, LD_BOOKING_READ)->shard = shard;
}

static bool
fill_cache(
    struct ld_booking *b, struct shard *s, const struct ld_booking_value *value)
{
	struct claims c;

	if (!claims_parse(value->bytes, &c)) {
		claims_fini(&c);
		b->counters.malformed++;
		s->valid = false;
		return false;
	}
	claims_fini(&s->cache);
	s->cache = c;
	s->revision = value->revision;
	s->read_ms = s->busy_since_ms;
	s->valid = true;
	return true;
}

static void
end_read(struct ld_booking *b, uint64_t now_ms, struct shard *s,
    const struct ld_booking_value *value)
{
	s->state = SHARD_IDLE;
	if (value != NULL && fill_cache(b, s, value))
		s->failures = 0;
	else
		s->next_ms = now_ms + jittered_backoff(b, s);
}

/* ---- Writing ---- */

/* Whether the cache is no older than the operation. */
static bool
is_fresh(const struct shard *s, const struct op *o)
{
	return s->read_ms >= o->created_ms;
}

static bool
is_final(const struct record *r)
{
	return r->state == RECORD_DONE || r->state == RECORD_UNKNOWN;
}

/* A delayed write may still add the claim: check again a few times. */
static void
schedule_recheck(struct op *o, uint64_t now_ms)
{
	o->recheck_ms = now_ms + ((uint64_t)RECHECK_MS << o->rechecks);
	o->rechecks++;
	o->created_ms = o->recheck_ms;
}

/*
 * Sets the result of an operation that did not change the value. Returns
 * whether the store must be read first.
 */
static bool
resolve_unchanged(
    struct shard *s, struct op *o, uint64_t now_ms, enum op_result result)
{
	const struct record *found = claims_find(&s->cache, o->rec.key);

	/* The record is only in the pending write: evaluate again after it. */
	if (found == NULL && (result == OP_EXISTS || result == OP_APPLIED))
		return false;
	if (!is_fresh(s, o) && result != OP_APPLIED)
		return true;
	/*
	 * If another attempt has a record there, a delayed write of this claim
	 * can no longer be applied.
	 */
	if (result == OP_ABSENT && o->maybe_written && found == NULL &&
	    o->rechecks < RECHECKS_MAX) {
		schedule_recheck(o, now_ms);
		return false;
	}
	o->result = result;
	o->found = found;
	return false;
}

/* Applies due operations to @next; returns whether it must be written. */
static bool
apply_due_ops(struct ld_booking *b, struct shard *s, uint64_t now_ms,
    struct claims *next, bool *must_read)
{
	bool any = false, changed;
	enum op_result result;

	*must_read = false;
	for (struct op *o = s->ops; o != NULL; o = o->next) {
		if (!is_due(o, now_ms))
			continue;
		if (is_fresh(s, o) &&
		    claims_find(&s->cache, o->rec.key) == NULL)
			o->seen_absent = true;
		result = op_apply(o, next, b->config.value_max_bytes, &changed);
		if (changed) {
			o->state = OP_IN_WRITE;
			any = true;
		} else {
			*must_read |= resolve_unchanged(s, o, now_ms, result);
		}
	}
	return any;
}

static void
begin_write(struct ld_booking *b, uint64_t now_ms, uint32_t shard)
{
	struct shard *s = &b->shards[shard];
	struct ld_booking_action *a = booking_queue_action(b, LD_BOOKING_WRITE);
	struct ld_buf *bytes = booking_payload(b);

	claims_write(&s->next, b->node, booking_wall(b, now_ms), bytes);
	a->shard = shard;
	a->expect = s->revision;
	a->bytes = ld_buf_str(bytes);
	s->state = SHARD_WRITING;
	s->busy_since_ms = now_ms;
	s->next_ms = now_ms + b->config.commit_interval_ms;
	b->counters.writes++;
}

static void
commit(struct ld_booking *b, uint64_t now_ms, uint32_t shard)
{
	struct shard *s = &b->shards[shard];
	bool must_read;

	claims_fini(&s->next);
	claims_copy(&s->next, &s->cache);
	b->counters.pruned += claims_prune(
	    &s->next, booking_prune_time(b, now_ms), b->config.retention_ms);
	if (apply_due_ops(b, s, now_ms, &s->next, &must_read))
		begin_write(b, now_ms, shard);
	else if (must_read)
		begin_read(b, now_ms, shard);
}

/* Ends the operations of a write with @result; requeues them if OP_PENDING. */
static void
release_ops(struct shard *s, enum op_result result, bool maybe_written)
{
	for (struct op *o = s->ops; o != NULL; o = o->next) {
		if (o->state != OP_IN_WRITE)
			continue;
		o->state = OP_QUEUED;
		o->maybe_written |= maybe_written;
		if (o->result == OP_PENDING)
			o->result = result;
	}
}

static void
end_write(struct ld_booking *b, uint64_t now_ms, struct shard *s,
    enum ld_booking_write outcome, const struct ld_booking_value *value)
{
	s->state = SHARD_IDLE;
	if (outcome == LD_BOOKING_WRITE_APPLIED) {
		claims_fini(&s->cache);
		s->cache = s->next;
		memset(&s->next, 0, sizeof(s->next));
		s->revision = value->revision;
		/* The compare succeeded: the cache was current at that time. */
		s->read_ms = s->busy_since_ms;
		s->failures = 0;
		release_ops(s, OP_APPLIED, false);
		return;
	}
	release_ops(s, OP_PENDING, outcome == LD_BOOKING_WRITE_UNKNOWN);
	if (outcome == LD_BOOKING_WRITE_CONFLICT) {
		b->counters.conflicts++;
		s->next_ms = now_ms + conflict_backoff(b, s);
		if (value == NULL || !fill_cache(b, s, value))
			s->valid = false;
		return;
	}
	s->next_ms = now_ms + jittered_backoff(b, s);
	if (outcome == LD_BOOKING_WRITE_UNKNOWN) {
		b->counters.unknown_writes++;
		s->valid = false;
	}
}

/* A final record no longer changes: no read or write is needed to report it. */
static void
answer_from_cache(struct shard *s, uint64_t now_ms)
{
	for (struct op *o = s->ops; o != NULL; o = o->next) {
		const struct record *found;

		if (o->kind != OP_CLAIM || !is_due(o, now_ms))
			continue;
		found = claims_find(&s->cache, o->rec.key);
		if (found == NULL || !is_final(found))
			continue;
		o->result = OP_EXISTS;
		o->found = found;
	}
}

/* ---- Events ---- */

void
shard_step(struct ld_booking *b, uint64_t now_ms, uint32_t shard)
{
	struct shard *s = &b->shards[shard];

	if (s->ops == NULL)
		return;
	expire_ops(b, now_ms, s);
	if (s->valid)
		answer_from_cache(s, now_ms);
	if (s->state != SHARD_IDLE || now_ms < s->next_ms ||
	    !has_work(s, now_ms))
		return;
	if (s->valid)
		commit(b, now_ms, shard);
	else
		begin_read(b, now_ms, shard);
}

void
ld_booking_read_done(struct ld_booking *b, uint64_t now_ms, uint32_t shard,
    const struct ld_booking_value *value)
{
	booking_begin_event(b);
	if (shard < b->config.shards && b->shards[shard].state == SHARD_READING)
		end_read(b, now_ms, &b->shards[shard], value);
	booking_run(b, now_ms);
}

void
ld_booking_write_done(struct ld_booking *b, uint64_t now_ms, uint32_t shard,
    enum ld_booking_write outcome, const struct ld_booking_value *value)
{
	booking_begin_event(b);
	if (shard < b->config.shards && b->shards[shard].state == SHARD_WRITING)
		end_write(b, now_ms, &b->shards[shard], outcome, value);
	booking_run(b, now_ms);
}
