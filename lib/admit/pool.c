/* What a home may grant, what nodes hold, and the fair part of each. */
#include <stdlib.h>

#include "admit_internal.h"

/* The rest serves questions of nodes with little demand. */
#define RATE_GRANT_PERCENT 95
/* Nodes get a rate above their demand, so that few have to ask. */
#define RATE_HEADROOM_PERCENT 125
/* A lower demand has no rate of its own: its node asks. More nodes mean more
 * asks, so that the least demand falls with their number. */
#define RATE_MIN_MILLI_NODES 64000
#define RATE_MIN_LEAST_MILLI 250
#define RATE_MIN_MOST_MILLI 2000
/* Slots ahead of use: one, and one for each so many in use. */
#define SLOTS_PER_SPARE 4
/* Spare slots of all nodes take at most one in so many free ones. */
#define SPARE_PART 2

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
		if (h->lenders[i].lent_until_ms < now_ms + a->terms.grant)
			continue;
		lent++;
		if (h->lenders[i].nodes > nodes)
			nodes = h->lenders[i].nodes;
	}
	if (nodes == 0 || !c->listed)
		return 0;
	if (lent > nodes)
		lent = nodes;
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
rate_min(const struct ld_admit *a)
{
	uint64_t least = RATE_MIN_MILLI_NODES / (a->member_count + 1);

	if (least < RATE_MIN_LEAST_MILLI)
		return RATE_MIN_LEAST_MILLI;
	return least < RATE_MIN_MOST_MILLI ? least : RATE_MIN_MOST_MILLI;
}

static uint64_t
rate_want(const struct ld_admit *a, const struct lender *l, enum kind k,
    uint64_t now_ms)
{
	if (!is_fresh(a, l, now_ms) || l->demand[K_REQUESTS] < rate_min(a))
		return 0;
	return l->demand[k];
}

static uint64_t
slots_want(const struct ld_admit *a, const struct lender *l, enum kind k,
    uint64_t now_ms)
{
	return is_fresh(a, l, now_ms) ? l->in_use[SLOT(k)] : 0;
}

/* Spare slots for a node that has demand, out of what nobody uses. */
static uint64_t
spare(const struct ld_admit *a, const struct account *c, const struct lender *l,
    enum kind k, uint64_t used, uint64_t pool, uint64_t now_ms)
{
	const struct home *h = &c->side;
	uint64_t active = 0, most, fair;

	if (!is_fresh(a, l, now_ms) || pool <= used ||
	    l->demand[K_REQUESTS] + l->in_use[SLOT(k)] == 0)
		return 0;
	for (size_t i = 0; i < h->count; i++)
		active += h->lenders[i].demand[K_REQUESTS] +
			h->lenders[i].in_use[SLOT(k)] >
		    0;
	most = 1 + l->in_use[SLOT(k)] / SLOTS_PER_SPARE;
	fair = (pool - used) / (SPARE_PART * active);
	return most < fair ? most : fair;
}

uint64_t
ld_admit_target(const struct ld_admit *a, const struct account *c,
    const struct lender *l, enum kind k, uint64_t now_ms)
{
	const struct home *h = &c->side;
	uint64_t pool = ld_admit_pool(a, c, k, now_ms);
	uint64_t *want = ld_alloc(h->count * sizeof(*want));
	uint64_t level, mine, used = 0;

	if (k < RATE_KINDS)
		pool = pool * RATE_GRANT_PERCENT / 100;
	for (size_t i = 0; i < h->count; i++) {
		want[i] = k < RATE_KINDS
		    ? rate_want(a, &h->lenders[i], k, now_ms)
		    : slots_want(a, &h->lenders[i], k, now_ms);
		used += want[i];
	}
	level = ld_admit_level(want, h->count, pool);
	mine = want[l - h->lenders];
	free(want);
	/* Headroom is for callers below their limit; at it, it'd be wasted. */
	if (k < RATE_KINDS && used * RATE_HEADROOM_PERCENT / 100 <= pool)
		mine = mine * RATE_HEADROOM_PERCENT / 100;
	if (mine > level)
		mine = level;
	if (k >= K_SLOTS)
		mine += spare(a, c, l, k, used, pool, now_ms);
	return mine;
}
