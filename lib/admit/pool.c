/* What a home may grant, what nodes hold, and the fair part of each. */
#include <stdlib.h>
#include <string.h>

#include "admit_internal.h"

/* The rest serves questions of nodes with little demand. */
#define RATE_GRANT_PERCENT 95
/* Nodes get a rate above their demand, so that few have to ask. */
#define RATE_HEADROOM_PERCENT 125
#define RATE_PLENTY_PERCENT 300
#define RATE_AT_LIMIT_PERCENT 25
/* A lower demand has no rate of its own: small buckets overflow between the
 * few requests, and what overflows is lost to the others. Its node asks. */
#define RATE_MIN_MILLI 2000
/* Slots ahead of use: one, and one for each so many in use. */
#define SLOTS_PER_SPARE 4
/* Spare slots of all nodes take at most one in so many free ones. */
#define SPARE_PART 2
#define PLAN_LIFE_MS 50

static uint64_t
promised_now(const struct ld_admit *a, const struct account *c)
{
	uint64_t p = c->limit[K_PROMISED];

	/* Less capacity than promised is shared in proportion. */
	if (a->promised > a->capacity)
		p = p * a->capacity / a->promised;
	return p;
}

/* Promised slots that may be in use now; all of them where it's not known. */
static uint64_t
promised_used(const struct ld_admit *a, uint64_t now_ms)
{
	const struct home *h = &a->leftover->side;
	const struct account *c;
	uint64_t sum = 0, used;
	size_t i;

	for (c = a->accounts; c != NULL; c = c->next) {
		if (c->limit[K_PROMISED] == 0)
			continue;
		used = promised_now(a, c);
		for (i = 0; i < h->used_count; i++) {
			if (h->used[i].pool == c->pool &&
			    now_ms < h->used[i].until_ms)
				used = h->used[i].used;
		}
		sum += used;
	}
	return sum;
}

static uint64_t
whole_pool(const struct ld_admit *a, const struct account *c, enum kind k)
{
	if (k < RATE_KINDS)
		return c->limit[k] * MILLI;
	if (k == K_PROMISED)
		return promised_now(a, c);
	return c == a->leftover ? a->capacity : c->limit[k];
}

uint64_t
ld_admit_pool(const struct ld_admit *a, const struct account *c, enum kind k,
    uint64_t now_ms)
{
	const struct home *h = &c->side;
	uint64_t nodes = 0, lent = 0, pool, used;

	for (size_t i = 0; i < h->count; i++) {
		/* A grant made now must end before the loans behind it. */
		if (h->lenders[i].leaving ||
		    h->lenders[i].lent_until_ms < now_ms + a->terms.grant)
			continue;
		lent++;
		if (h->lenders[i].nodes > nodes)
			nodes = h->lenders[i].nodes;
	}
	if (lent == 0 || !c->listed)
		return 0;
	if (nodes < lent)
		nodes = lent;
	pool = whole_pool(a, c, k) * lent / nodes;
	if (c != a->leftover)
		return pool;
	used = promised_used(a, now_ms);
	return pool > used ? pool - used : 0;
}

static bool
is_fresh(const struct ld_admit *a, const struct lender *l, uint64_t now_ms)
{
	return now_ms < l->heard_ms + a->terms.grant;
}

uint64_t
ld_admit_held(const struct ld_admit *a, const struct lender *l, enum kind k,
    uint64_t now_ms)
{
	uint64_t held = now_ms < l->commit_until_ms ? l->committed[k] : 0;

	if (k >= K_SLOTS && is_fresh(a, l, now_ms) && l->in_use[SLOT(k)] > held)
		held = l->in_use[SLOT(k)];
	return held;
}

uint64_t
ld_admit_held_sum(const struct ld_admit *a, const struct account *c,
    enum kind k, uint64_t now_ms)
{
	const struct home *h = &c->side;
	uint64_t sum = 0;

	for (size_t i = 0; i < h->count; i++)
		sum += ld_admit_held(a, &h->lenders[i], k, now_ms);
	return sum;
}

static int
by_value(const void *x, const void *y)
{
	const uint64_t *a = x;
	const uint64_t *b = y;

	return *a < *b ? -1 : *a > *b;
}

uint64_t
ld_admit_level(const uint64_t *want, size_t n, uint64_t pool)
{
	uint64_t *sorted;
	uint64_t level = UINT64_MAX;

	if (n == 0)
		return level;
	sorted = ld_alloc(n * sizeof(*sorted));
	for (size_t i = 0; i < n; i++)
		sorted[i] = want[i];
	qsort(sorted, n, sizeof(*sorted), by_value);
	for (size_t i = 0; i < n; i++) {
		if (sorted[i] * (n - i) > pool) {
			level = pool / (n - i);
			break;
		}
		pool -= sorted[i];
	}
	free(sorted);
	return level;
}

static uint64_t
rate_want(const struct ld_admit *a, const struct lender *l, enum kind k,
    uint64_t least, uint64_t now_ms)
{
	if (!is_fresh(a, l, now_ms) || l->demand[K_REQUESTS] < least)
		return 0;
	return l->demand[k];
}

static uint64_t
slots_want(const struct ld_admit *a, const struct lender *l, enum kind k,
    uint64_t now_ms)
{
	return is_fresh(a, l, now_ms) ? l->in_use[SLOT(k)] : 0;
}

/*
 * Far below the limit every node gets a rate, so that few requests ask; only
 * while one unit in the bucket of each is no more than BUCKET_DEPTH_MS of the
 * limit.
 */
static void
choose_percent(const struct ld_admit *a, const struct home *h, enum kind k,
    struct plan *p, uint64_t now_ms)
{
	uint64_t all = 0, active = 0;

	for (size_t i = 0; i < h->count; i++) {
		if (!is_fresh(a, &h->lenders[i], now_ms))
			continue;
		all += h->lenders[i].demand[k];
		active += h->lenders[i].demand[k] > 0;
	}
	p->least = RATE_MIN_MILLI;
	p->percent = RATE_AT_LIMIT_PERCENT;
	if (all * RATE_HEADROOM_PERCENT / 100 <= p->pool)
		p->percent = RATE_HEADROOM_PERCENT;
	if (all * (RATE_PLENTY_PERCENT + 100) / 100 <= p->pool &&
	    active * MILLI * MS_PER_S <= p->pool * BUCKET_DEPTH_MS) {
		p->percent = RATE_PLENTY_PERCENT;
		p->least = 1;
	}
}

/*
 * Below its limit a caller gets headroom at each node. At the limit a rate
 * that overflows its bucket at one node is lost to the others: nodes get less
 * than their demand, and the rest by asking.
 */
static void
plan_rates(const struct ld_admit *a, const struct home *h, enum kind k,
    uint64_t *want, struct plan *p, uint64_t now_ms)
{
	uint64_t small = 0;

	choose_percent(a, h, k, p, now_ms);
	for (size_t i = 0; i < h->count; i++) {
		want[i] = rate_want(a, &h->lenders[i], k, p->least, now_ms);
		if (want[i] == 0 && is_fresh(a, &h->lenders[i], now_ms))
			small += h->lenders[i].demand[k];
	}
	for (size_t i = 0; i < h->count; i++)
		want[i] = want[i] * p->percent / 100;
	/* Nodes that ask need their part as well. */
	if (small > p->pool / 2)
		small = p->pool / 2;
	p->pool = p->pool * RATE_GRANT_PERCENT / 100 - small;
}

static bool
is_active(const struct lender *l, enum kind k)
{
	return l->demand[K_REQUESTS] + l->in_use[SLOT(k)] > 0;
}

static void
plan_slots(const struct ld_admit *a, const struct home *h, enum kind k,
    uint64_t *want, struct plan *p, uint64_t now_ms)
{
	for (size_t i = 0; i < h->count; i++) {
		want[i] = slots_want(a, &h->lenders[i], k, now_ms);
		p->used += want[i];
		p->active += is_active(&h->lenders[i], k);
	}
}

/* Plans only steer: what is safe to grant is summed anew for each grant. */
static const struct plan *
plan_now(
    const struct ld_admit *a, struct account *c, enum kind k, uint64_t now_ms)
{
	struct home *h = &c->side;
	struct plan *p = &h->plan[k];
	uint64_t *want;

	if (p->valid && now_ms - p->made_ms < PLAN_LIFE_MS)
		return p;
	memset(p, 0, sizeof(*p));
	p->valid = true;
	p->made_ms = now_ms;
	p->pool = ld_admit_pool(a, c, k, now_ms);
	want = ld_alloc(h->count * sizeof(*want));
	if (k < RATE_KINDS)
		plan_rates(a, h, k, want, p, now_ms);
	else
		plan_slots(a, h, k, want, p, now_ms);
	p->level = ld_admit_level(want, h->count, p->pool);
	free(want);
	return p;
}

/* Spare slots for a node that has demand, out of what nobody uses. */
static uint64_t
spare(const struct plan *p, const struct lender *l, enum kind k)
{
	uint64_t most, fair;

	if (p->pool <= p->used || p->active == 0 || !is_active(l, k))
		return 0;
	most = 1 + l->in_use[SLOT(k)] / SLOTS_PER_SPARE;
	fair = (p->pool - p->used) / (SPARE_PART * p->active);
	return most < fair ? most : fair;
}

uint64_t
ld_admit_target(const struct ld_admit *a, struct account *c,
    const struct lender *l, enum kind k, uint64_t now_ms)
{
	const struct plan *p = plan_now(a, c, k, now_ms);
	uint64_t mine;

	if (k < RATE_KINDS) {
		mine = rate_want(a, l, k, p->least, now_ms) * p->percent / 100;
		return mine < p->level ? mine : p->level;
	}
	mine = slots_want(a, l, k, now_ms);
	if (mine > p->level)
		mine = p->level;
	if (is_fresh(a, l, now_ms))
		mine += spare(p, l, k);
	return mine;
}
