/* Changes of a home's pool: less to grant, another home, promised slots. */
#include <string.h>

#include "admit_internal.h"

#define PROMISE_GAP_MS 50
#define HANDOVER_GAP_MS 200

/* ---- Less to grant ---- */

/* Finds the kinds of which nodes hold more than the pool has now. */
static bool
find_over(struct ld_admit *a, struct account *c, bool *over, uint64_t now_ms)
{
	bool any = false;

	for (int k = 0; k < K_COUNT; k++) {
		c->side.plan[k].valid = false;
		over[k] = ld_admit_held_sum(a, c, (enum kind)k, now_ms) >
		    ld_admit_pool(a, c, (enum kind)k, now_ms);
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
		target = ld_admit_target(a, c, l, (enum kind)k, now_ms);
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
	struct home *h = &c->side;
	bool over[K_COUNT];
	bool preempt;

	if (h->count == 0 || !find_over(a, c, over, now_ms))
		return;
	preempt = ld_admit_is_short(a, c, now_ms);
	for (size_t i = 0; i < h->count; i++) {
		if (now_ms < h->lenders[i].commit_until_ms)
			shrink_to_target(
			    a, c, &h->lenders[i], over, preempt, now_ms);
	}
}

static struct used_promise *
used_get(struct home *h, uint64_t pool)
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
	u = used_get(&a->leftover->side, p->pool);
	more = p->used > u->used || now_ms >= u->until_ms;
	u->used = p->used;
	u->until_ms = now_ms + p->life_ms;
	if (more)
		ld_admit_home_replan(a, a->leftover, now_ms);
}

/* Tells the home of the left over how many promised slots are out. */
static void
tell_promise(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct any_msg m = {.type = MSG_PROMISE};
	struct home *h = &c->side;
	uint64_t used = ld_admit_held_sum(a, c, K_PROMISED, now_ms);

	if (c->limit[K_PROMISED] == 0 || a->leftover->home == 0)
		return;
	if (used == h->told_used && now_ms - h->told_ms < a->terms.report)
		return;
	if (now_ms - h->told_ms < PROMISE_GAP_MS)
		return;
	h->told_used = used;
	h->told_ms = now_ms;
	m.u.promise.pool = c->pool;
	m.u.promise.ts = now_ms;
	m.u.promise.used = used;
	m.u.promise.life_ms = a->terms.grant;
	ld_admit_send(a, a->leftover->home, &m);
}

/* ---- Handing over ---- */

static bool
holds_any(const struct lender *l, uint64_t now_ms)
{
	return now_ms < l->commit_until_ms &&
	    (l->committed[0] | l->committed[1] | l->committed[2] |
		l->committed[3]) != 0;
}

static bool
is_over(const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	for (int k = 0; k < K_COUNT; k++) {
		if (ld_admit_held_sum(a, c, (enum kind)k, now_ms) >
		    ld_admit_pool(a, c, (enum kind)k, now_ms))
			return true;
	}
	return false;
}

/*
 * The node named another home. Its grant ends first; its loan goes back once
 * the loans that stay cover what others hold.
 */
void
ld_admit_take_leave(
    struct ld_admit *a, struct account *c, struct lender *l, uint64_t now_ms)
{
	struct grant_msg g = {.pool = 0};

	l->leaving = true;
	memset(l->in_use, 0, sizeof(l->in_use));
	memset(l->demand, 0, sizeof(l->demand));
	if (is_over(a, c, now_ms))
		ld_admit_home_replan(a, c, now_ms);
	g.release = !holds_any(l, now_ms) && !is_over(a, c, now_ms);
	if (g.release)
		l->lent_until_ms = now_ms;
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

/* The zero grant is confirmed: nothing may be left to wait for. */
void
ld_admit_leave_confirmed(
    struct ld_admit *a, struct account *c, struct lender *l, uint64_t now_ms)
{
	if (l->leaving && now_ms < l->lent_until_ms && !holds_any(l, now_ms) &&
	    !is_over(a, c, now_ms))
		ld_admit_take_leave(a, c, l, now_ms);
}

static void
release_all(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct home *h = &c->side;
	struct grant_msg g;

	for (size_t i = 0; i < h->count; i++) {
		memset(&g, 0, sizeof(g));
		g.release = true;
		if (now_ms < h->lenders[i].lent_until_ms)
			ld_admit_send_grant(a, c, &h->lenders[i], &g, now_ms);
	}
	h->count = 0;
}

/* Another node is the home now: grants are taken back, then loans returned. */
static void
hand_over(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct home *h = &c->side;
	struct grant_msg g;
	bool held = false;

	for (size_t i = 0; i < h->count; i++) {
		struct lender *l = &h->lenders[i];

		l->in_use[0] = 0;
		l->in_use[1] = 0;
		if (!holds_any(l, now_ms))
			continue;
		held = true;
		if (now_ms < l->shrunk_ms + HANDOVER_GAP_MS)
			continue;
		l->shrunk_ms = now_ms;
		memset(&g, 0, sizeof(g));
		ld_admit_send_grant(a, c, l, &g, now_ms);
	}
	if (!held)
		release_all(a, c, now_ms);
}

static void
forget_silent(struct ld_admit *a, struct home *h, uint64_t now_ms)
{
	struct lender *l;

	for (size_t i = h->count; i > 0; i--) {
		l = &h->lenders[i - 1];
		if (now_ms < l->lent_until_ms || now_ms < l->commit_until_ms ||
		    now_ms < l->heard_ms + a->terms.lend)
			continue;
		*l = h->lenders[--h->count];
	}
}

void
ld_admit_home_tick(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	if (c->side.count == 0)
		return;
	forget_silent(a, &c->side, now_ms);
	if (ld_admit_is_home(a, c))
		tell_promise(a, c, now_ms);
	else
		hand_over(a, c, now_ms);
}
