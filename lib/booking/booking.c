/* Calls: when one may be sent, and how it is answered. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "booking_internal.h"

/* A claim counts as in progress until this time after its call's deadline. */
#define DURATION_MARGIN_MS 5000
/* An outcome that can't be recorded within this time is abandoned. */
#define OUTCOME_RETRY_MS 60000

static const char *const answer_names[LD_BOOKING_ANSWER_KIND_COUNT] = {
    [LD_BOOKING_RECORDED] = "recorded",
    [LD_BOOKING_NOT_RUN] = "not-run",
    [LD_BOOKING_UNKNOWN] = "unknown",
    [LD_BOOKING_IN_PROGRESS] = "in-progress",
    [LD_BOOKING_KEY_REUSED] = "key-reused",
    [LD_BOOKING_REFUSED] = "refused",
    [LD_BOOKING_FULL] = "full",
};

const char *
ld_booking_answer_name(enum ld_booking_answer_kind k)
{
	if ((unsigned int)k >= LD_BOOKING_ANSWER_KIND_COUNT)
		return "unnamed";
	return answer_names[k];
}

/* ---- Calls in progress ---- */

struct call *
call_find(const struct ld_booking *b, uint64_t id)
{
	struct call *c = b->calls;

	while (c != NULL && c->id != id)
		c = c->next;
	return c;
}

struct call *
call_find_by_attempt(const struct ld_booking *b, uint64_t attempt)
{
	struct call *c = b->calls;

	while (c != NULL && (!c->keyed || c->rec.attempt != attempt))
		c = c->next;
	return c;
}

void
call_remove(struct ld_booking *b, struct call *c)
{
	struct call **p = &b->calls;

	while (*p != c)
		p = &(*p)->next;
	*p = c->next;
	b->n_calls--;
	record_fini(&c->rec);
	free(c);
}

/* ---- Actions ---- */

void
call_send(struct ld_booking *b, struct call *c)
{
	struct ld_booking_action *a = booking_queue_action(b, LD_BOOKING_SEND);

	a->id = c->id;
	a->send_index = c->tries;
	b->counters.sends++;
}

struct ld_booking_action *
call_answer(struct ld_booking *b, const struct call *c,
    enum ld_booking_answer_kind kind, enum ld_booking_ran ran,
    enum ld_booking_ran earlier_ran, uint64_t retry_after_ms)
{
	struct ld_booking_action *a =
	    booking_queue_action(b, LD_BOOKING_ANSWER);

	b->counters.answers[kind]++;
	a->id = c->id;
	a->answer = kind;
	a->ran = ran;
	a->earlier_ran = earlier_ran;
	a->retry_after_ms = retry_after_ms;
	return a;
}

void
call_record_outcome(struct ld_booking *b, uint64_t now_ms,
    const struct record *rec, uint32_t shard, bool maybe_written)
{
	struct op *o = op_new(OP_OUTCOME, rec, shard);

	o->deadline_ms = now_ms + OUTCOME_RETRY_MS;
	o->maybe_written = maybe_written;
	shard_submit(b, now_ms, o);
}

/* The call was never sent and never will be. */
void
call_record_not_run(struct ld_booking *b, uint64_t now_ms,
    const struct record *claim, uint32_t shard, bool maybe_written)
{
	struct record rec = *claim;

	rec.state = RECORD_NOT_RUN;
	call_record_outcome(b, now_ms, &rec, shard, maybe_written);
}

/* ---- Events ---- */

static void
hash_hex(struct ld_str s, char out[HASH_HEX_LEN + 1])
{
	char hex[LD_SHA256_HEX_LEN + 1];

	ld_sha256_hex(s, hex);
	memcpy(out, hex, HASH_HEX_LEN);
	out[HASH_HEX_LEN] = '\0';
}

/* Keys are per owner: hashes both, with a zero byte as the separator. */
static void
key_hash(struct ld_str owner, struct ld_str key, char out[HASH_HEX_LEN + 1])
{
	struct ld_buf b = {0};

	ld_buf_adds(&b, owner);
	ld_buf_add(&b, "", 1);
	ld_buf_adds(&b, key);
	hash_hex(ld_buf_str(&b), out);
	ld_buf_free(&b);
}

static uint32_t
shard_of(const struct ld_booking *b, const char *key)
{
	return (uint32_t)(ld_hash64(ld_str_c(key), 0) % b->config.shards);
}

uint32_t
ld_booking_shard(
    const struct ld_booking *b, struct ld_str owner, struct ld_str key)
{
	char hash[HASH_HEX_LEN + 1];

	key_hash(owner, key, hash);
	return shard_of(b, hash);
}

static void
submit_claim(struct ld_booking *b, uint64_t now_ms, struct call *c)
{
	struct op *o = op_new(OP_CLAIM, &c->rec, c->shard);

	o->deadline_ms = now_ms + b->config.claim_timeout_ms;
	if (o->deadline_ms > c->send_by_ms)
		o->deadline_ms = c->send_by_ms;
	shard_submit(b, now_ms, o);
}

enum ld_status
ld_booking_start(
    struct ld_booking *b, uint64_t now_ms, const struct ld_booking_call *call)
{
	struct call *c;

	booking_begin_event(b);
	assert(call->id != 0 && call_find(b, call->id) == NULL);
	if (call->key.len > LD_BOOKING_KEY_MAX_BYTES)
		return ld_fail(LD_E_INVALID,
		    "an idempotency key may have %d bytes at most",
		    LD_BOOKING_KEY_MAX_BYTES);
	if (b->n_calls >= b->config.calls_max)
		return ld_fail(LD_E_LIMIT, "too many bookings are under way");
	c = ld_alloc(sizeof(*c));
	c->id = call->id;
	c->send_by_ms = call->deadline_ms;
	c->next = b->calls;
	b->calls = c;
	b->n_calls++;
	b->counters.calls++;
	c->keyed = call->key.len > 0;
	if (!c->keyed) {
		call_send_or_expire(b, now_ms, c);
		return LD_OK;
	}
	key_hash(call->owner, call->key, c->rec.key);
	hash_hex(call->body, c->rec.body);
	c->rec.node = ld_strdup(b->node);
	c->rec.attempt = ld_rand_u64(&b->rand);
	c->rec.claimed_ms = booking_wall(b, now_ms);
	c->rec.max_duration_ms = DURATION_MARGIN_MS;
	if (call->deadline_ms > now_ms)
		c->rec.max_duration_ms += call->deadline_ms - now_ms;
	c->shard = shard_of(b, c->rec.key);
	submit_claim(b, now_ms, c);
	booking_run(b, now_ms);
	return LD_OK;
}

void
ld_booking_client_disconnected(
    struct ld_booking *b, uint64_t now_ms, uint64_t id)
{
	struct call *c = call_find(b, id);

	booking_begin_event(b);
	if (c == NULL)
		return;
	c->client_disconnected = true;
	if (c->state == CALL_SENDING)
		return;
	if (shard_drop_claim(&b->shards[c->shard], c->rec.attempt))
		call_record_not_run(b, now_ms, &c->rec, c->shard, true);
	call_remove(b, c);
	booking_run(b, now_ms);
}

bool
ld_booking_may_send(const struct ld_booking *b, uint64_t now_ms, uint64_t id)
{
	const struct call *c = call_find(b, id);

	return c != NULL && c->state == CALL_SENDING &&
	    !c->client_disconnected && now_ms < c->send_by_ms;
}

static void
not_sent(struct ld_booking *b, uint64_t now_ms, struct call *c)
{
	c->tries++;
	if (c->tries < b->config.sends_max && !c->client_disconnected &&
	    now_ms < c->send_by_ms) {
		call_send(b, c);
		return;
	}
	if (c->keyed)
		call_record_not_run(b, now_ms, &c->rec, c->shard, false);
	call_answer(b, c, LD_BOOKING_NOT_RUN, LD_BOOKING_RAN_NO,
	    LD_BOOKING_RAN_NO, RETRY_AFTER_MS);
	call_remove(b, c);
}

static void
record_answer(struct ld_booking *b, uint64_t now_ms, struct call *c, int status,
    struct ld_str body)
{
	struct record rec = c->rec;

	rec.state = RECORD_DONE;
	rec.status = status;
	rec.has_answer = body.len <= LD_BOOKING_ANSWER_KEPT_BYTES;
	rec.answer = rec.has_answer ? (char *)body.p : NULL;
	rec.answer_len = rec.has_answer ? body.len : 0;
	call_record_outcome(b, now_ms, &rec, c->shard, false);
}

void
ld_booking_send_done(struct ld_booking *b, uint64_t now_ms, uint64_t id,
    enum ld_booking_result result, int status, struct ld_str body)
{
	struct call *c = call_find(b, id);
	struct record rec;

	booking_begin_event(b);
	if (c == NULL || c->state != CALL_SENDING)
		return;
	if (result == LD_BOOKING_NOT_SENT) {
		not_sent(b, now_ms, c);
		booking_run(b, now_ms);
		return;
	}
	rec = c->rec;
	rec.state = RECORD_UNKNOWN;
	if (c->keyed && result == LD_BOOKING_ANSWERED)
		record_answer(b, now_ms, c, status, body);
	else if (c->keyed)
		call_record_outcome(b, now_ms, &rec, c->shard, false);
	if (result == LD_BOOKING_INCOMPLETE)
		call_answer(b, c, LD_BOOKING_UNKNOWN, LD_BOOKING_RAN_UNKNOWN,
		    LD_BOOKING_RAN_UNKNOWN, 0);
	call_remove(b, c);
	booking_run(b, now_ms);
}

void
ld_booking_tick(struct ld_booking *b, uint64_t now_ms)
{
	booking_begin_event(b);
	booking_run(b, now_ms);
}

uint64_t
ld_booking_next_due(const struct ld_booking *b)
{
	uint64_t due = NEVER;

	for (uint32_t i = 0; i < b->config.shards; i++) {
		uint64_t at = shard_next_due(&b->shards[i]);

		if (at < due)
			due = at;
	}
	return due;
}

size_t
ld_booking_pending_count(const struct ld_booking *b)
{
	size_t n = b->n_calls;

	for (uint32_t i = 0; i < b->config.shards; i++) {
		for (const struct op *o = b->shards[i].ops; o != NULL;
		     o = o->next)
			n += o->kind == OP_OUTCOME && o->from == NULL &&
			    o->rechecks == 0;
	}
	return n;
}
