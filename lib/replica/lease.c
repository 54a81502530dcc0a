/*
 * Control lease: who tries for it, how an answer that was lost is settled, and
 * when the holder has to stop believing that it holds.
 */
#include <stdio.h>
#include <string.h>

#include "replica_internal.h"

/* Candidates beyond this rank poll no more rarely than this one. */
#define RANK_MAX 6
#define JITTER_PCT 20
#define FAILURES_MAX 5

uint32_t
backoff_ms(struct ld_replica *c, uint32_t base_ms)
{
	uint32_t n = c->failures < FAILURES_MAX ? c->failures : FAILURES_MAX;
	uint32_t ms = base_ms << n;
	uint32_t spread = ms * JITTER_PCT / 100;

	return ms - spread + (uint32_t)ld_rand_below(&c->rand, 2 * spread + 1);
}

static void
send(struct ld_replica *c, struct pending *p, enum ld_replica_action_type type,
    uint64_t now_ms)
{
	struct ld_replica_action *a = action_push(c, type);

	a->lease = c->lease;
	a->ttl_ms = c->config.ttl_ms;
	a->value = ld_str_c(c->holder);
	*p = (struct pending){a->call, type, now_ms};
}

/* Ranks spread the polls, so that a vacant key isn't rushed at by everyone. */
static void
poll_later(struct ld_replica *c, uint64_t now_ms)
{
	size_t rank = c->rank < RANK_MAX ? c->rank : RANK_MAX;

	c->next_poll_ms = now_ms + backoff_ms(c, c->config.poll_ms << rank);
}

bool
lease_valid(const struct ld_replica *c, uint64_t now_ms)
{
	return (c->role == LD_REPLICA_HOLDER ||
		   c->role == LD_REPLICA_WAITING) &&
	    now_ms < c->deadline_ms;
}

void
lease_step_down(struct ld_replica *c, const char *why, uint64_t now_ms)
{
	if (c->role >= LD_REPLICA_WAITING)
		ld_log(LD_LOG_NOTICE, "replica", "%s: stepped down: %s",
		    c->fabric, why);
	c->role = LD_REPLICA_FOLLOWER;
	c->lease_call.call = 0;
	c->record_call.call = 0;
	c->record_known = false;
	c->lease = 0;
	c->fence = 0;
	poll_later(c, now_ms);
}

static void
drop_lease(struct ld_replica *c, uint64_t now_ms)
{
	struct pending unused;

	send(c, &unused, LD_REPLICA_LEASE_REVOKE, now_ms);
	lease_step_down(c, "another node holds the lease", now_ms);
}

/*
 * Holds the key now. Orders of a predecessor can be under way until its lease
 * and their life have passed, so nothing is ordered before that.
 */
static void
become_waiting(struct ld_replica *c, uint64_t fence, uint64_t now_ms)
{
	c->role = LD_REPLICA_WAITING;
	c->fence = fence;
	c->failures = 0;
	c->takeover_ms = now_ms + c->config.ttl_ms + c->config.order_life_ms +
	    c->config.margin_ms;
	c->record_known = false;
	c->next_record_ms = now_ms;
	ld_log(LD_LOG_NOTICE, "replica",
	    "%s: holds the control lease, fence "
	    "%llu",
	    c->fabric, (unsigned long long)fence);
}

static void
on_read(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t now_ms)
{
	bool ours = c->role == LD_REPLICA_ACQUIRING && c->lease != 0;

	if (r->status == LD_OK && ours &&
	    ld_str_eq(r->value, ld_str_c(c->holder))) {
		become_waiting(c, r->revision, now_ms);
	} else if (r->status == LD_OK) {
		c->failures = 0;
		if (ours)
			drop_lease(c, now_ms);
		poll_later(c, now_ms);
	} else if (r->status == LD_E_NOT_FOUND && ours) {
		/* A create under way can still win, and then is ours too. */
		send(c, &c->lease_call, LD_REPLICA_CONTROL_CREATE, now_ms);
	} else if (r->status == LD_E_NOT_FOUND) {
		c->role = LD_REPLICA_ACQUIRING;
		c->lease = 0;
		c->attempt++;
		snprintf(c->holder, sizeof(c->holder), "%s/%llu", c->self,
		    (unsigned long long)c->attempt);
		send(c, &c->lease_call, LD_REPLICA_LEASE_GRANT, now_ms);
	} else {
		c->failures++;
		poll_later(c, now_ms);
	}
}

static void
on_grant(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t sent_ms, uint64_t now_ms)
{
	if (r->status != LD_OK || r->lease == 0) {
		/* A lease granted without our knowing lapses by itself. */
		c->failures++;
		lease_step_down(c, "no lease granted", now_ms);
		return;
	}
	c->lease = r->lease;
	c->renewed_ms = sent_ms;
	c->deadline_ms = sent_ms + c->config.ttl_ms - c->config.margin_ms;
	send(c, &c->lease_call, LD_REPLICA_CONTROL_CREATE, now_ms);
}

static void
on_create(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t now_ms)
{
	if (r->status == LD_OK) {
		become_waiting(c, r->revision, now_ms);
	} else if (r->status == LD_E_NOT_FOUND) {
		lease_step_down(c, "the lease lapsed", now_ms);
	} else {
		/* Also after a conflict: it may be a lost answer's own create. */
		c->failures += r->status != LD_E_CONFLICT;
		c->next_poll_ms = now_ms;
		if (c->failures > 0)
			c->next_poll_ms +=
			    backoff_ms(c, c->config.renew_ms / 4);
	}
}

static void
on_keepalive(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t sent_ms, uint64_t now_ms)
{
	if (r->status == LD_E_NOT_FOUND) {
		lease_step_down(c, "the lease lapsed", now_ms);
		return;
	}
	if (r->status != LD_OK) {
		/* Again soon, while the deadline lasts. */
		c->renewed_ms = now_ms - c->config.renew_ms +
		    backoff_ms(c, c->config.renew_ms / 4);
		return;
	}
	c->failures = 0;
	c->deadline_ms = sent_ms + c->config.ttl_ms - c->config.margin_ms;
}

void
lease_result(struct ld_replica *c, enum ld_replica_action_type type,
    uint64_t sent_ms, const struct ld_replica_store_result *r, uint64_t now_ms)
{
	switch (type) {
	case LD_REPLICA_CONTROL_READ:
		on_read(c, r, now_ms);
		return;
	case LD_REPLICA_LEASE_GRANT:
		on_grant(c, r, sent_ms, now_ms);
		return;
	case LD_REPLICA_CONTROL_CREATE:
		on_create(c, r, now_ms);
		return;
	default:
		on_keepalive(c, r, sent_ms, now_ms);
	}
}

/* An answer that never came counts as lost. */
static bool
await(struct ld_replica *c, uint64_t now_ms)
{
	if (c->lease_call.call == 0)
		return false;
	if (now_ms < c->lease_call.sent_ms + c->config.ttl_ms)
		return true;
	c->lease_call.call = 0;
	return false;
}

void
lease_tick(struct ld_replica *c, uint64_t now_ms)
{
	if (c->role >= LD_REPLICA_WAITING && !lease_valid(c, now_ms))
		lease_step_down(c, "the lease's deadline passed", now_ms);
	if (c->role == LD_REPLICA_ACQUIRING && c->lease != 0 &&
	    now_ms >= c->deadline_ms)
		lease_step_down(c, "the lease lapsed on the way", now_ms);
	if (c->stopped || await(c, now_ms))
		return;
	if (c->role >= LD_REPLICA_WAITING) {
		if (now_ms < c->renewed_ms + c->config.renew_ms)
			return;
		c->renewed_ms = now_ms;
		send(c, &c->lease_call, LD_REPLICA_LEASE_KEEPALIVE, now_ms);
		return;
	}
	if (now_ms >= c->next_poll_ms)
		send(c, &c->lease_call, LD_REPLICA_CONTROL_READ, now_ms);
}

void
ld_replica_resign(struct ld_replica *c, uint64_t now_ms)
{
	c->stopped = true;
	if (c->lease != 0)
		drop_lease(c, now_ms);
}
