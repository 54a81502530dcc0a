/*
 * The control lease: a key that a node creates under a lease of the store. The
 * revision at which the key was created is the fencing token of every order.
 */
#include <stdlib.h>
#include <string.h>

#include "relay_internal.h"

/* A leader that vanished is replaced after this, s: the shortest lease for
 * which renewals tolerate a slow answer of the store. */
#define TTL_S 2
#define RENEW_MS 500
/* Allowance for differing clock rates, ms. */
#define CLOCK_MARGIN_MS 200
/* The store may have just been restored from an older copy that lacks the key
 * of a leader that still relies on its lease. A process that starts can't know,
 * so it waits for the longest validity of such a lease, ms. */
#define START_WAIT_MS (1000ULL * TTL_S)
/* Delay after a lost race or a failed call, ms; a random part is added. */
#define RETRY_MS 700
#define RETRY_SPREAD_MS 300

enum role {
	ROLE_CANDIDATE,
	ROLE_GRANTING, /* requests a lease of the store */
	ROLE_CREATING, /* creates the key under that lease */
	ROLE_HOLDER
};

/** struct leader - this node's state in the election for the control lease */
struct leader {
	struct ld_store_call call; /* first member */
	struct ld_store_call revoke;
	struct relay *relay;
	enum role role;
	int64_t lease;
	int64_t fence;
	int64_t era; /* era of the store when the lease was requested */
	uint64_t call_start_ms; /* start of the call in progress */
	uint64_t valid_until_ms;
	uint64_t next_call_ms; /* next renewal or attempt */
	uint64_t started_ms; /* start of this process */
	bool resigned;
};

/* The store was restored from an older copy: it may not know the lease, or may
 * have granted its id to another node. */
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
	l->role = ROLE_CANDIDATE;
	l->next_call_ms =
	    now + RETRY_MS + ld_rand_below(&r->rand, RETRY_SPREAD_MS);
	ld_groups_yield(control_groups(r));
}

/* ---- Renewal ---- */

static void
on_renewed(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct leader *l = leader_of(c);

	if (a->status == LD_OK) {
		l->valid_until_ms =
		    l->call_start_ms + a->ttl_ms - CLOCK_MARGIN_MS;
		return;
	}
	ld_event("lease.not_renewed",
	    "fence=%lld why=%s ms=%llu valid_for_ms=%lld", (long long)l->fence,
	    ld_status_name(a->status),
	    (unsigned long long)(relay_now(l->relay) - l->call_start_ms),
	    (long long)l->valid_until_ms - (long long)relay_now(l->relay));
	if (a->status == LD_E_NOT_FOUND)
		step_down(l, "lease-ended");
}

static void
renew(struct leader *l)
{
	uint64_t now = relay_now(l->relay);

	if (now < l->next_call_ms || l->call.request != NULL)
		return;
	l->next_call_ms = now + RENEW_MS;
	l->call_start_ms = now;
	l->call.done = on_renewed;
	ld_store_lease_keepalive(l->relay->store, &l->call, l->lease);
}

/* ---- Acquisition ---- */

static void
on_created(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct leader *l = leader_of(c);
	struct relay *r = l->relay;

	/* If the outcome is unknown, the key expires with its lease. */
	if (a->outcome != LD_STORE_APPLIED || is_of_earlier_era(l)) {
		step_down(l, "not-created");
		return;
	}
	l->role = ROLE_HOLDER;
	l->fence = a->revision;
	l->next_call_ms = relay_now(r) + RENEW_MS;
	ld_event("lease.taken",
	    "fence=%lld lease=%lld valid_for_ms=%lld revision=%lld age_ms=%lld",
	    (long long)l->fence, (long long)l->lease,
	    (long long)l->valid_until_ms - (long long)relay_now(r),
	    (long long)feed_revision(r), (long long)feed_age_ms(r));
	ld_groups_lead(control_groups(r), l->fence, relay_now(r));
	/* Group control waits for a copy that includes the lease. */
	feed_poll_now(r);
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
	l->valid_until_ms = l->call_start_ms + a->ttl_ms - CLOCK_MARGIN_MS;
	l->role = ROLE_CREATING;
	l->call.done = on_created;
	ld_store_cas(l->relay->store, &l->call, LD_STR(RELAY_CONTROL_KEY),
	    ld_str_c(l->relay->settings->name), absent, l->lease);
}

static void
try_to_acquire(struct leader *l)
{
	struct relay *r = l->relay;
	uint64_t now = relay_now(r);

	if (r->stopping || isolation_is_active(r) ||
	    !feed_control_is_absent(r) || feed_engine_service(r) == NULL ||
	    (!r->settings->initial && now < l->started_ms + START_WAIT_MS)) {
		l->next_call_ms = 0;
		return;
	}
	if (l->next_call_ms == 0)
		l->next_call_ms = now +
		    ld_groups_acquire_delay_ms(
			&r->rand, mesh_has_larger_node(r), now - l->started_ms);
	if (now < l->next_call_ms)
		return;
	l->role = ROLE_GRANTING;
	l->era = ld_store_era(r->store);
	l->call_start_ms = now;
	l->call.done = on_granted;
	ld_store_lease_grant(r->store, &l->call, TTL_S);
}

void
leader_tick(struct relay *r)
{
	struct leader *l = r->leader;

	switch (l->role) {
	case ROLE_CANDIDATE:
		try_to_acquire(l);
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
	/* Without an answer the lease expires by itself. */
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
