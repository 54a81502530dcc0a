/* Completes claims: sends or answers the call according to the result. */
#include <assert.h>
#include <string.h>

#include "booking_internal.h"

#define RETRY_AFTER_MAX_MS 2000
#define RETRY_AFTER_FULL_MS 60000

static uint64_t
clamp(uint64_t v, uint64_t low, uint64_t high)
{
	if (v < low)
		return low;
	return v < high ? v : high;
}

static enum ld_booking_ran
ran_from_state(const struct record *r)
{
	if (r->state == RECORD_DONE)
		return LD_BOOKING_RAN_YES;
	return r->state == RECORD_NOT_RUN ? LD_BOOKING_RAN_NO
					  : LD_BOOKING_RAN_UNKNOWN;
}

static void
answer_recorded(struct ld_booking *b, struct call *c, const struct record *r)
{
	struct ld_booking_action *a = call_answer(b, c, LD_BOOKING_RECORDED,
	    LD_BOOKING_RAN_YES, LD_BOOKING_RAN_YES, 0);
	struct ld_buf *body = booking_payload(b);

	ld_buf_add(body, r->answer, r->answer_len);
	a->body = ld_buf_str(body);
	a->status = r->status;
	a->body_complete = r->has_answer;
}

static void
answer_existing(struct ld_booking *b, uint64_t now_ms, struct call *c,
    const struct record *r)
{
	uint64_t wall = booking_wall(b, now_ms);
	uint64_t end = r->claimed_ms + r->max_duration_ms;
	bool under_way =
	    wall < end || call_find_by_attempt(b, r->attempt) != NULL;

	if (strcmp(r->body, c->rec.body) != 0)
		call_answer(b, c, LD_BOOKING_KEY_REUSED, LD_BOOKING_RAN_NO,
		    ran_from_state(r), 0);
	else if (r->state == RECORD_DONE)
		answer_recorded(b, c, r);
	else if (r->state == RECORD_CLAIMED && under_way)
		call_answer(b, c, LD_BOOKING_IN_PROGRESS, LD_BOOKING_RAN_NO,
		    LD_BOOKING_RAN_UNKNOWN,
		    clamp(end > wall ? end - wall : 0, RETRY_AFTER_MS,
			RETRY_AFTER_MAX_MS));
	else
		call_answer(b, c, LD_BOOKING_UNKNOWN, LD_BOOKING_RAN_UNKNOWN,
		    LD_BOOKING_RAN_UNKNOWN, 0);
}

/* The claim is in the store; the deadline is checked by this node's clock. */
void
call_send_or_expire(struct ld_booking *b, uint64_t now_ms, struct call *c)
{
	c->state = CALL_SENDING;
	if (now_ms < c->send_by_ms) {
		call_send(b, c);
		return;
	}
	b->counters.expired_calls++;
	if (c->keyed)
		call_record_not_run(b, now_ms, &c->rec, c->shard, false);
	call_answer(b, c, LD_BOOKING_NOT_RUN, LD_BOOKING_RAN_NO,
	    LD_BOOKING_RAN_NO, RETRY_AFTER_MS);
	call_remove(b, c);
}

static void
complete_claim(
    struct ld_booking *b, uint64_t now_ms, struct call *c, const struct op *o)
{
	switch (o->result) {
	case OP_APPLIED:
		b->counters.claims_written++;
		call_send_or_expire(b, now_ms, c);
		return;
	case OP_EXISTS:
		answer_existing(b, now_ms, c, o->found);
		break;
	case OP_FULL:
		call_answer(b, c, LD_BOOKING_FULL, LD_BOOKING_RAN_NO,
		    LD_BOOKING_RAN_NO, RETRY_AFTER_FULL_MS);
		break;
	default:
		call_answer(b, c, LD_BOOKING_REFUSED, LD_BOOKING_RAN_NO,
		    o->seen_absent ? LD_BOOKING_RAN_NO : LD_BOOKING_RAN_UNKNOWN,
		    RETRY_AFTER_MAX_MS);
		if (o->maybe_written)
			call_record_not_run(b, now_ms, &c->rec, c->shard, true);
		break;
	}
	call_remove(b, c);
}

static void
complete_op(struct ld_booking *b, uint64_t now_ms, struct op *o)
{
	struct call *c;

	if (o->from != NULL) {
		forward_reply(b, now_ms, o);
	} else if (o->kind == OP_CLAIM) {
		c = call_find_by_attempt(b, o->rec.attempt);
		assert(c != NULL && c->state == CALL_CLAIMING);
		complete_claim(b, now_ms, c, o);
	}
	op_free(o);
}

static struct op *
pop_completed(struct shard *s)
{
	struct op **p = &s->ops;
	struct op *o;

	while (*p != NULL && (*p)->result == OP_PENDING)
		p = &(*p)->next;
	o = *p;
	if (o != NULL)
		*p = o->next;
	return o;
}

void
booking_run(struct ld_booking *b, uint64_t now_ms)
{
	struct op *o;

	for (uint32_t i = 0; i < b->config.shards; i++) {
		struct shard *s = &b->shards[i];

		shard_step(b, now_ms, i);
		while ((o = pop_completed(s)) != NULL)
			complete_op(b, now_ms, o);
		/* complete_op() may have added operations to the shard. */
		shard_step(b, now_ms, i);
		while ((o = pop_completed(s)) != NULL)
			complete_op(b, now_ms, o);
	}
}
