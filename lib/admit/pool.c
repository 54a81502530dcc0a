/* What a home may grant, what nodes hold, and the fair share of each. */
#include <stdlib.h>
#include <string.h>

#include "admit_internal.h"

/* Part of a pool that is granted as rates; the rest serves queries of nodes
 * with little demand. */
#define RATE_GRANT_PERCENT 95
/* Rate of a node in percent of its demand: below the limit more than the
 * demand, so that few nodes have to send queries; at the limit less, see
 * plan_rates(). */
#define RATE_HEADROOM_PERCENT 125
#define RATE_PLENTY_PERCENT 300
#define RATE_AT_LIMIT_PERCENT 25
/* Nodes with a lower demand are granted no rate and send queries instead: a
 * small bucket overflows between the few requests, and what overflows is lost
 * to the other nodes. */
#define RATE_MIN_MILLI 2000
/* Spare slots of a node: one, and one for each SLOTS_PER_SPARE in use. */
#define SLOTS_PER_SPARE 4
/* The spare slots of all nodes are at most one in SPARE_PART free slots. */
#define SPARE_PART 2
#define PLAN_LIFETIME_MS 50

static uint64_t
promised_now(const struct ld_admit *a, const struct account *c)
{
	uint64_t p = c->limit[K_PROMISED];

	/* Capacity below the sum of promises is divided in proportion. */
	if (a->promised > a->capacity)
		p = p * a->capacity / a->promised;
	return p;
}

/* Promised slots that may be in use now: all slots of those pools whose use is
 * unknown. */
static uint64_t
promised_used(const struct ld_admit *a, uint64_t now_ms)
{
	const struct home *h = &a->leftover->home_state;
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
whole_pool(const struct ld_admit *a, const struct account *c, enum resource k)
{
	if (k < RATE_KINDS)
		return c->limit[k] * MILLI;
	if (k == K_PROMISED)
		return promised_now(a, c);
	return c == a->leftover ? a->capacity : c->limit[k];
}

uint64_t
ld_admit_grantable(const struct ld_admit *a, const struct account *c,
    enum resource k, uint64_t now_ms)
{
	const struct home *h = &c->home_state;
	uint64_t nodes = 0, lent = 0, pool, used;

	for (size_t i = 0; i < h->count; i++) {
		/* A grant made now must end before the loans that back it. */
		if (h->lenders[i].return_requested ||
		    h->lenders[i].lent_until_ms < now_ms + a->timing.grant_ms)
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
	return now_ms < l->report_received_ms + a->timing.grant_ms;
}

uint64_t
ld_admit_held(const struct ld_admit *a, const struct lender *l, enum resource k,
    uint64_t now_ms)
{
	uint64_t held = now_ms < l->committed_until_ms ? l->committed[k] : 0;

	if (k >= K_SLOTS && is_fresh(a, l, now_ms) && l->in_use[SLOT(k)] > held)
		held = l->in_use[SLOT(k)];
	return held;
}

uint64_t
ld_admit_held_sum(const struct ld_admit *a, const struct account *c,
    enum resource k, uint64_t now_ms)
{
	const struct home *h = &c->home_state;
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
ld_admit_level(const uint64_t *demand, size_t n, uint64_t pool)
{
	uint64_t *sorted;
	uint64_t level = UINT64_MAX;

	if (n == 0)
		return level;
	sorted = ld_alloc(n * sizeof(*sorted));
	for (size_t i = 0; i < n; i++)
		sorted[i] = demand[i];
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
rate_demand(const struct ld_admit *a, const struct lender *l, enum resource k,
    uint64_t min_demand, uint64_t now_ms)
{
	if (!is_fresh(a, l, now_ms) || l->demand[K_REQUESTS] < min_demand)
		return 0;
	return l->demand[k];
}

static uint64_t
slots_demand(const struct ld_admit *a, const struct lender *l, enum resource k,
    uint64_t now_ms)
{
	return is_fresh(a, l, now_ms) ? l->in_use[SLOT(k)] : 0;
}

/*
 * Far below the limit every node is granted a rate, so that few requests need
 * a query. The units in the buckets, at one for each active node, must then not
 * exceed what the limit yields in BUCKET_DEPTH_MS.
 */
static void
choose_percent(const struct ld_admit *a, const struct home *h, enum resource k,
    struct plan *p, uint64_t now_ms)
{
	uint64_t all = 0, active = 0;

	for (size_t i = 0; i < h->count; i++) {
		if (!is_fresh(a, &h->lenders[i], now_ms))
			continue;
		all += h->lenders[i].demand[k];
		active += h->lenders[i].demand[k] > 0;
	}
	p->min_demand = RATE_MIN_MILLI;
	p->percent = RATE_AT_LIMIT_PERCENT;
	if (all * RATE_HEADROOM_PERCENT / 100 <= p->pool)
		p->percent = RATE_HEADROOM_PERCENT;
	if (all * (RATE_PLENTY_PERCENT + 100) / 100 <= p->pool &&
	    active * MILLI * MS_PER_S <= p->pool * BUCKET_DEPTH_MS) {
		p->percent = RATE_PLENTY_PERCENT;
		p->min_demand = 1;
	}
}

/*
 * Below its limit a caller gets headroom at each node. At the limit, what
 * overflows the bucket of one node is lost to the others, so nodes are granted
 * less than their demand and send queries for the rest.
 */
static void
plan_rates(const struct ld_admit *a, const struct home *h, enum resource k,
    uint64_t *demand, struct plan *p, uint64_t now_ms)
{
	uint64_t small = 0;

	choose_percent(a, h, k, p, now_ms);
	for (size_t i = 0; i < h->count; i++) {
		demand[i] =
		    rate_demand(a, &h->lenders[i], k, p->min_demand, now_ms);
		if (demand[i] == 0 && is_fresh(a, &h->lenders[i], now_ms))
			small += h->lenders[i].demand[k];
	}
	for (size_t i = 0; i < h->count; i++)
		demand[i] = demand[i] * p->percent / 100;
	/* Reserve a part for the nodes that send queries instead. */
	if (small > p->pool / 2)
		small = p->pool / 2;
	p->pool = p->pool * RATE_GRANT_PERCENT / 100 - small;
}

static bool
is_active(const struct lender *l, enum resource k)
{
	return l->demand[K_REQUESTS] + l->in_use[SLOT(k)] > 0;
}

static void
plan_slots(const struct ld_admit *a, const struct home *h, enum resource k,
    uint64_t *demand, struct plan *p, uint64_t now_ms)
{
	for (size_t i = 0; i < h->count; i++) {
		demand[i] = slots_demand(a, &h->lenders[i], k, now_ms);
		p->used += demand[i];
		p->active += is_active(&h->lenders[i], k);
	}
}

/* A cached plan only sets targets: what is safe to grant is computed for each
 * grant. */
static const struct plan *
current_plan(const struct ld_admit *a, struct account *c, enum resource k,
    uint64_t now_ms)
{
	struct home *h = &c->home_state;
	struct plan *p = &h->plan[k];
	uint64_t *demand;

	if (p->valid && now_ms - p->made_ms < PLAN_LIFETIME_MS)
		return p;
	memset(p, 0, sizeof(*p));
	p->valid = true;
	p->made_ms = now_ms;
	p->pool = ld_admit_grantable(a, c, k, now_ms);
	demand = ld_alloc(h->count * sizeof(*demand));
	if (k < RATE_KINDS)
		plan_rates(a, h, k, demand, p, now_ms);
	else
		plan_slots(a, h, k, demand, p, now_ms);
	p->level = ld_admit_level(demand, h->count, p->pool);
	free(demand);
	return p;
}

/* Spare slots for a node that has demand, out of the slots not in use. */
static uint64_t
spare_slots(const struct plan *p, const struct lender *l, enum resource k)
{
	uint64_t max, fair;

	if (p->pool <= p->used || p->active == 0 || !is_active(l, k))
		return 0;
	max = 1 + l->in_use[SLOT(k)] / SLOTS_PER_SPARE;
	fair = (p->pool - p->used) / (SPARE_PART * p->active);
	return max < fair ? max : fair;
}

uint64_t
ld_admit_target(const struct ld_admit *a, struct account *c,
    const struct lender *l, enum resource k, uint64_t now_ms)
{
	const struct plan *p = current_plan(a, c, k, now_ms);
	uint64_t mine;

	if (k < RATE_KINDS) {
		mine = rate_demand(a, l, k, p->min_demand, now_ms) *
		    p->percent / 100;
		return mine < p->level ? mine : p->level;
	}
	mine = slots_demand(a, l, k, now_ms);
	if (mine > p->level)
		mine = p->level;
	if (is_fresh(a, l, now_ms))
		mine += spare_slots(p, l, k);
	return mine;
}
