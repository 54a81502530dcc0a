/*
 * Control lease: acquisition by one of several candidates, recovery from lost
 * answers of the store, and the deadline at which the holder must step down.
 */
#include <stdio.h>
#include <string.h>

#include "replica_internal.h"

/* The poll interval doubles with each rank up to this one. */
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
send_lease_action(struct ld_replica *c, struct pending *p,
    enum ld_replica_action_type type, uint64_t now_ms)
{
	struct ld_replica_action *a = action_push(c, type);

	a->lease = c->lease;
	a->ttl_ms = c->config.ttl_ms;
	a->value = ld_str_c(c->holder);
	*p = (struct pending){a->call, type, now_ms};
}

/* Spreads the polls by rank, so that not all nodes contend for a free key. */
static void
schedule_poll(struct ld_replica *c, uint64_t now_ms)
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
	c->record_confirmed = false;
	c->lease = 0;
	c->fence = 0;
	schedule_poll(c, now_ms);
}

static void
revoke_lease(struct ld_replica *c, uint64_t now_ms)
{
	struct pending unused;

	send_lease_action(c, &unused, LD_REPLICA_LEASE_REVOKE, now_ms);
	lease_step_down(c, "another node holds the lease", now_ms);
}

/*
 * Called when this node holds the control key. Orders of a predecessor may be
 * in flight until its lease and then the orders have expired, so no order is
 * sent before that.
 */
static void
become_waiting(struct ld_replica *c, uint64_t fence, uint64_t now_ms)
{
	c->role = LD_REPLICA_WAITING;
	c->fence = fence;
	c->failures = 0;
	c->takeover_ms = now_ms + c->config.ttl_ms + c->config.order_life_ms +
	    c->config.margin_ms;
	c->record_confirmed = false;
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
			revoke_lease(c, now_ms);
		schedule_poll(c, now_ms);
	} else if (r->status == LD_E_NOT_FOUND && ours) {
		/*
		 * An earlier create may still take effect; it wrote the same
		 * value, so the key is then ours as well.
		 */
		send_lease_action(
		    c, &c->lease_call, LD_REPLICA_CONTROL_CREATE, now_ms);
	} else if (r->status == LD_E_NOT_FOUND) {
		c->role = LD_REPLICA_ACQUIRING;
		c->lease = 0;
		c->attempt++;
		snprintf(c->holder, sizeof(c->holder), "%s/%llu", c->self,
		    (unsigned long long)c->attempt);
		send_lease_action(
		    c, &c->lease_call, LD_REPLICA_LEASE_GRANT, now_ms);
	} else {
		c->failures++;
		schedule_poll(c, now_ms);
	}
}

static void
on_grant(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t sent_ms, uint64_t now_ms)
{
	if (r->status != LD_OK || r->lease == 0) {
		/* A lease whose grant was not received expires by itself. */
		c->failures++;
		lease_step_down(c, "no lease granted", now_ms);
		return;
	}
	c->lease = r->lease;
	c->renewed_ms = sent_ms;
	c->deadline_ms = sent_ms + c->config.ttl_ms - c->config.margin_ms;
	send_lease_action(c, &c->lease_call, LD_REPLICA_CONTROL_CREATE, now_ms);
}

static void
on_create(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t now_ms)
{
	if (r->status == LD_OK) {
		become_waiting(c, r->revision, now_ms);
	} else if (r->status == LD_E_NOT_FOUND) {
		lease_step_down(c, "the lease expired", now_ms);
	} else {
		/*
		 * Reads the key next, also after a conflict: it may be our own
		 * earlier create whose answer was lost.
		 */
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
		lease_step_down(c, "the lease expired", now_ms);
		return;
	}
	if (r->status != LD_OK) {
		/* Retries soon; lease_tick() steps down at the deadline. */
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

/* A call without an answer for the lifetime of a lease counts as lost. */
static bool
is_answer_pending(struct ld_replica *c, uint64_t now_ms)
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
		lease_step_down(c, "the lease expired before use", now_ms);
	if (c->resigned || is_answer_pending(c, now_ms))
		return;
	if (c->role >= LD_REPLICA_WAITING) {
		if (now_ms < c->renewed_ms + c->config.renew_ms)
			return;
		c->renewed_ms = now_ms;
		send_lease_action(
		    c, &c->lease_call, LD_REPLICA_LEASE_KEEPALIVE, now_ms);
		return;
	}
	if (now_ms >= c->next_poll_ms)
		send_lease_action(
		    c, &c->lease_call, LD_REPLICA_CONTROL_READ, now_ms);
}

void
ld_replica_resign(struct ld_replica *c, uint64_t now_ms)
{
	c->resigned = true;
	if (c->lease != 0)
		revoke_lease(c, now_ms);
}
