/* Changes of a pool at its home: less to grant, a new home, promised slots. */
#include <string.h>

#include "admit_internal.h"

#define PROMISE_INTERVAL_MS 50
#define HANDOVER_INTERVAL_MS 200

/* ---- Less to grant ---- */

/* Finds the resources of which nodes hold more than the pool has now. */
static bool
find_overcommitted(
    struct ld_admit *a, struct account *c, bool *over, uint64_t now_ms)
{
	bool any = false;

	for (int k = 0; k < K_COUNT; k++) {
		c->home_state.plan[k].valid = false;
		over[k] = ld_admit_held_sum(a, c, (enum resource)k, now_ms) >
		    ld_admit_grantable(a, c, (enum resource)k, now_ms);
		any = any || over[k];
	}
	return any;
}

static void
shrink_to_target(struct ld_admit *a, struct account *c, struct lender *l,
    const bool *over, bool preempt, uint64_t now_ms)
{
	struct grant_msg g = {.preempt = preempt};
	uint64_t keep[K_COUNT], target;
	bool less = false;

	for (int k = 0; k < K_COUNT; k++) {
		keep[k] = l->granted[k];
		if (!over[k])
			continue;
		target = ld_admit_target(a, c, l, (enum resource)k, now_ms);
		if (target >= keep[k])
			continue;
		keep[k] = target;
		less = true;
	}
	if (!less)
		return;
	memcpy(g.rate, keep, sizeof(g.rate));
	memcpy(g.slots, keep + K_SLOTS, sizeof(g.slots));
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

void
ld_admit_home_replan(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct home *h = &c->home_state;
	bool over[K_COUNT];
	bool preempt;

	if (h->count == 0 || !find_overcommitted(a, c, over, now_ms))
		return;
	preempt = ld_admit_must_preempt(a, c, now_ms);
	for (size_t i = 0; i < h->count; i++) {
		if (now_ms < h->lenders[i].committed_until_ms)
			shrink_to_target(
			    a, c, &h->lenders[i], over, preempt, now_ms);
	}
}

static struct used_promise *
used_promise_get(struct home *h, uint64_t pool)
{
	for (size_t i = 0; i < h->used_count; i++) {
		if (h->used[i].pool == pool)
			return &h->used[i];
	}
	h->used = ld_realloc(h->used, (h->used_count + 1) * sizeof(*h->used));
	memset(&h->used[h->used_count], 0, sizeof(*h->used));
	h->used[h->used_count].pool = pool;
	return &h->used[h->used_count++];
}

void
ld_admit_on_promise(struct ld_admit *a, uint64_t now_ms, uint64_t from,
    const struct promise_msg *p)
{
	struct account *c = ld_admit_account(a, p->pool);
	struct used_promise *u;
	bool more;

	if (c == NULL || c->home != from)
		return;
	u = used_promise_get(&a->leftover->home_state, p->pool);
	more = p->used > u->used || now_ms >= u->until_ms;
	u->used = p->used;
	u->until_ms = now_ms + p->lifetime_ms;
	if (more)
		ld_admit_home_replan(a, a->leftover, now_ms);
}

/* Reports the promised slots that nodes hold to the leftover pool's home. */
static void
send_promise_use(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct message m = {.type = MSG_PROMISE};
	struct home *h = &c->home_state;
	uint64_t used = ld_admit_held_sum(a, c, K_PROMISED, now_ms);

	if (c->limit[K_PROMISED] == 0 || a->leftover->home == 0)
		return;
	if (used == h->promise_sent &&
	    now_ms - h->promise_sent_ms < a->timing.report_ms)
		return;
	if (now_ms - h->promise_sent_ms < PROMISE_INTERVAL_MS)
		return;
	h->promise_sent = used;
	h->promise_sent_ms = now_ms;
	m.u.promise.pool = c->pool;
	m.u.promise.ts = now_ms;
	m.u.promise.used = used;
	m.u.promise.lifetime_ms = a->timing.grant_ms;
	ld_admit_send(a, a->leftover->home, &m);
}

/* ---- Handover to another home ---- */

static bool
holds_any(const struct lender *l, uint64_t now_ms)
{
	return now_ms < l->committed_until_ms &&
	    (l->committed[0] | l->committed[1] | l->committed[2] |
		l->committed[3]) != 0;
}

static bool
is_overcommitted(
    const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	for (int k = 0; k < K_COUNT; k++) {
		if (ld_admit_held_sum(a, c, (enum resource)k, now_ms) >
		    ld_admit_grantable(a, c, (enum resource)k, now_ms))
			return true;
	}
	return false;
}

/*
 * The node has assigned the pool to another home. Its grant is revoked first;
 * its loan is released once the remaining loans cover what other nodes hold.
 */
void
ld_admit_on_return_request(
    struct ld_admit *a, struct account *c, struct lender *l, uint64_t now_ms)
{
	struct grant_msg g = {.pool = 0};

	l->return_requested = true;
	memset(l->in_use, 0, sizeof(l->in_use));
	memset(l->demand, 0, sizeof(l->demand));
	if (is_overcommitted(a, c, now_ms))
		ld_admit_home_replan(a, c, now_ms);
	g.release = !holds_any(l, now_ms) && !is_overcommitted(a, c, now_ms);
	if (g.release)
		l->lent_until_ms = now_ms;
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

/* The node acknowledged a grant, perhaps the empty one that the release of its
 * loan waited for. */
void
ld_admit_on_return_ack(
    struct ld_admit *a, struct account *c, struct lender *l, uint64_t now_ms)
{
	if (l->return_requested && now_ms < l->lent_until_ms &&
	    !holds_any(l, now_ms) && !is_overcommitted(a, c, now_ms))
		ld_admit_on_return_request(a, c, l, now_ms);
}

static void
release_all(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct home *h = &c->home_state;
	struct grant_msg g;

	for (size_t i = 0; i < h->count; i++) {
		memset(&g, 0, sizeof(g));
		g.release = true;
		if (now_ms < h->lenders[i].lent_until_ms)
			ld_admit_send_grant(a, c, &h->lenders[i], &g, now_ms);
	}
	h->count = 0;
}

/* Another node is the home now: revokes the grants, then releases the loans. */
static void
hand_over(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct home *h = &c->home_state;
	struct grant_msg g;
	bool held = false;

	for (size_t i = 0; i < h->count; i++) {
		struct lender *l = &h->lenders[i];

		l->in_use[0] = 0;
		l->in_use[1] = 0;
		if (!holds_any(l, now_ms))
			continue;
		held = true;
		if (now_ms < l->reduced_ms + HANDOVER_INTERVAL_MS)
			continue;
		l->reduced_ms = now_ms;
		memset(&g, 0, sizeof(g));
		ld_admit_send_grant(a, c, l, &g, now_ms);
	}
	if (!held)
		release_all(a, c, now_ms);
}

static void
drop_silent_lenders(struct ld_admit *a, struct home *h, uint64_t now_ms)
{
	struct lender *l;

	for (size_t i = h->count; i > 0; i--) {
		l = &h->lenders[i - 1];
		if (now_ms < l->lent_until_ms ||
		    now_ms < l->committed_until_ms ||
		    now_ms < l->report_received_ms + a->timing.loan_ms)
			continue;
		*l = h->lenders[--h->count];
	}
}

void
ld_admit_home_tick(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	if (c->home_state.count == 0)
		return;
	drop_silent_lenders(a, &c->home_state, now_ms);
	if (ld_admit_is_home(a, c))
		send_promise_use(a, c, now_ms);
	else
		hand_over(a, c, now_ms);
}
