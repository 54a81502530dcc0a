/*
 * The control lease: a key that a node creates under a lease of the store. The
 * revision of its creation is the fence of every order.
 */
#include <stdlib.h>
#include <string.h>

#include "relay_internal.h"

/* A holder that vanished is replaced after this, s: the shortest lease that
 * the store's renewals bear through a slow answer. */
#define TTL_S 2
#define RENEW_MS 500
/* Allowance for clocks that run at different rates, ms. */
#define MARGIN_MS 200
/* A process that starts can't know whether the store has just come back from an
 * older copy, without the key of a holder that still relies on its lease, ms. */
#define START_WAIT_MS (1000ULL * TTL_S)
/* After a lost race or a failed call, ms; a random part comes to it. */
#define TRY_AGAIN_MS 700
#define TRY_AGAIN_SPREAD_MS 300

enum role {
	ROLE_FOLLOWER,
	ROLE_GRANTING, /* asks for a lease of the store */
	ROLE_CREATING, /* creates the key under it */
	ROLE_HOLDER
};

/** struct leader - this node's part in the control lease */
struct leader {
	struct ld_store_call call; /* first member */
	struct ld_store_call revoke;
	struct relay *relay;
	enum role role;
	int64_t lease;
	int64_t fence;
	int64_t era; /* of the store when it was asked for the lease */
	uint64_t asked_ms; /* when the call under way began */
	uint64_t valid_until_ms;
	uint64_t next_ms; /* next renewal, or next try */
	uint64_t started_ms; /* this process */
	bool resigned;
};

/* The store came back from an older copy: it may know nothing of the lease, or have
 * given its id to another node. */
static bool
is_of_earlier_era(const struct leader *l)
{
	return l->era != ld_store_era(l->relay->store);
}

static struct leader *
leader_of(struct ld_store_call *c)
{
	return (struct leader *)c;
}

static void
step_down(struct leader *l, const char *why)
{
	struct relay *r = l->relay;
	uint64_t now = relay_now(r);

	if (l->role == ROLE_HOLDER)
		ld_event("lease.lost", "fence=%lld why=%s valid_for_ms=%lld",
		    (long long)l->fence, why,
		    (long long)l->valid_until_ms - (long long)now);
	ld_store_cancel(&l->call);
	l->role = ROLE_FOLLOWER;
	l->next_ms =
	    now + TRY_AGAIN_MS + ld_rand_below(&r->rand, TRY_AGAIN_SPREAD_MS);
	ld_groups_yield(control_groups(r));
}

/* ---- Renewing ---- */

static void
on_renewed(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct leader *l = leader_of(c);

	if (a->status == LD_OK) {
		l->valid_until_ms = l->asked_ms + a->ttl_ms - MARGIN_MS;
		return;
	}
	ld_event("lease.not_renewed",
	    "fence=%lld why=%s ms=%llu valid_for_ms=%lld", (long long)l->fence,
	    ld_status_name(a->status),
	    (unsigned long long)(relay_now(l->relay) - l->asked_ms),
	    (long long)l->valid_until_ms - (long long)relay_now(l->relay));
	if (a->status == LD_E_NOT_FOUND)
		step_down(l, "lease-ended");
}

static void
renew(struct leader *l)
{
	uint64_t now = relay_now(l->relay);

	if (now < l->next_ms || l->call.request != NULL)
		return;
	l->next_ms = now + RENEW_MS;
	l->asked_ms = now;
	l->call.done = on_renewed;
	ld_store_lease_keepalive(l->relay->store, &l->call, l->lease);
}

/* ---- Taking the lease ---- */

static void
on_created(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct leader *l = leader_of(c);
	struct relay *r = l->relay;

	/* Where the outcome is unknown, the key ends with its lease. */
	if (a->outcome != LD_STORE_APPLIED || is_of_earlier_era(l)) {
		step_down(l, "not-created");
		return;
	}
	l->role = ROLE_HOLDER;
	l->fence = a->revision;
	l->next_ms = relay_now(r) + RENEW_MS;
	ld_event("lease.taken", "fence=%lld lease=%lld valid_for_ms=%lld",
	    (long long)l->fence, (long long)l->lease,
	    (long long)l->valid_until_ms - (long long)relay_now(r));
	ld_groups_lead(control_groups(r), l->fence, relay_now(r));
}

static void
on_granted(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct leader *l = leader_of(c);
	struct ld_store_expect absent = {0};

	if (a->status != LD_OK || is_of_earlier_era(l)) {
		step_down(l, "not-granted");
		return;
	}
	l->lease = a->lease;
	l->valid_until_ms = l->asked_ms + a->ttl_ms - MARGIN_MS;
	l->role = ROLE_CREATING;
	l->call.done = on_created;
	ld_store_cas(l->relay->store, &l->call, LD_STR(RELAY_CONTROL_KEY),
	    ld_str_c(l->relay->settings->name), absent, l->lease);
}

static void
try_to_take(struct leader *l)
{
	struct relay *r = l->relay;
	uint64_t now = relay_now(r);

	if (r->stopping || !feed_control_absent(r) ||
	    feed_engine_service(r) == NULL ||
	    (!r->settings->initial && now < l->started_ms + START_WAIT_MS)) {
		l->next_ms = 0;
		return;
	}
	if (l->next_ms == 0)
		l->next_ms = now +
		    ld_groups_take_wait_ms(
			&r->rand, mesh_has_larger(r), now - l->started_ms);
	if (now < l->next_ms)
		return;
	l->role = ROLE_GRANTING;
	l->era = ld_store_era(r->store);
	l->asked_ms = now;
	l->call.done = on_granted;
	ld_store_lease_grant(r->store, &l->call, TTL_S);
}

void
leader_tick(struct relay *r)
{
	struct leader *l = r->leader;

	switch (l->role) {
	case ROLE_FOLLOWER:
		try_to_take(l);
		break;
	case ROLE_HOLDER:
		if (is_of_earlier_era(l))
			step_down(l, "store-era");
		else if (!leader_holds(r))
			step_down(l, "not-renewed");
		else
			renew(l);
		break;
	default:
		break;
	}
}

bool
leader_holds(const struct relay *r)
{
	const struct leader *l = r->leader;

	return l->role == ROLE_HOLDER && !is_of_earlier_era(l) &&
	    relay_now(r) < l->valid_until_ms;
}

static void
on_revoked(struct ld_store_call *c, const struct ld_store_answer *a)
{
	/* Without an answer the lease ends by itself. */
	if (a->status != LD_OK)
		ld_event(
		    "lease.not_given_up", "why=%s", ld_status_name(a->status));
}

void
leader_resign(struct relay *r)
{
	struct leader *l = r->leader;

	if (l->role != ROLE_HOLDER)
		return;
	step_down(l, "given-up");
	if (l->revoke.request != NULL || is_of_earlier_era(l))
		return;
	l->revoke.done = on_revoked;
	ld_store_lease_revoke(r->store, &l->revoke, l->lease);
}

void
leader_open(struct relay *r)
{
	r->leader = ld_alloc(sizeof(*r->leader));
	r->leader->relay = r;
	r->leader->started_ms = relay_now(r);
}

void
leader_close(struct relay *r)
{
	ld_store_cancel(&r->leader->call);
	ld_store_cancel(&r->leader->revoke);
	free(r->leader);
}
