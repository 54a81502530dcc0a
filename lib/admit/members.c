/* The members, the timing that follows from their number, and the homes. */
#include <stdlib.h>
#include <string.h>

#include "admit_internal.h"

/* Report interval per member. A home then receives about one regular report in
 * this time, whatever the number of nodes. */
#define REPORT_MS_PER_NODE 30
#define REPORT_MIN_MS 800
#define CHANGE_MS_PER_NODE 5
#define CHANGE_MIN_MS 400
#define SCARCE_MS_PER_NODE 1
#define SCARCE_MIN_MS 42
#define GRANT_SLACK_MS 2000
#define LOAN_SLACK_MS 500

static void
set_timing(struct ld_admit *a)
{
	uint64_t n = a->member_count;
	struct timing *t = &a->timing;

	t->report_ms = n * REPORT_MS_PER_NODE;
	if (t->report_ms < REPORT_MIN_MS)
		t->report_ms = REPORT_MIN_MS;
	t->change_report_ms = n * CHANGE_MS_PER_NODE;
	if (t->change_report_ms < CHANGE_MIN_MS)
		t->change_report_ms = CHANGE_MIN_MS;
	t->scarce_report_ms = SCARCE_MIN_MS + n * SCARCE_MS_PER_NODE;
	/* One lost report must not let a grant lapse. */
	t->grant_ms = 2 * t->report_ms + GRANT_SLACK_MS;
	/* A loan counts from the echo in its report, which can be two report
	 * intervals old by the time that the next loan replaces it. */
	t->loan_ms = t->grant_ms + 2 * t->report_ms + LOAN_SLACK_MS;
}

void
ld_admit_members(struct ld_admit *a, uint64_t now_ms,
    const struct ld_admit_member *members, size_t n)
{
	a->members = ld_realloc(a->members, n * sizeof(*a->members));
	for (size_t i = 0; i < n; i++) {
		a->members[i].node = members[i].node;
		a->members[i].domain = ld_hash64(members[i].domain, 0);
		a->members[i].live = members[i].live;
	}
	a->member_count = n;
	set_timing(a);
	ld_admit_assign_homes(a);
	ld_admit_tick(a, now_ms);
}

bool
ld_admit_is_member(const struct ld_admit *a, uint64_t node)
{
	for (size_t i = 0; i < a->member_count; i++) {
		if (a->members[i].node == node)
			return true;
	}
	return false;
}

static uint64_t
weight(uint64_t pool, uint64_t node)
{
	uint64_t key[2] = {pool, node};
	struct ld_str s = {(const char *)key, sizeof(key)};

	return ld_hash64(s, 0);
}

/* Picks the live node of the highest weight with fewer than @max homes. */
static size_t
best_node(const struct ld_admit *a, uint64_t pool, const unsigned int *assigned,
    unsigned int max)
{
	size_t best = SIZE_MAX;
	uint64_t w, best_w = 0;

	for (size_t i = 0; i < a->member_count; i++) {
		if (!a->members[i].live || assigned[i] >= max)
			continue;
		w = weight(pool, a->members[i].node);
		if (best == SIZE_MAX || w > best_w) {
			best = i;
			best_w = w;
		}
	}
	return best;
}

static size_t
live_count(const struct ld_admit *a)
{
	size_t n = 0;

	for (size_t i = 0; i < a->member_count; i++)
		n += a->members[i].live;
	return n;
}

static void
set_home(struct account *c, uint64_t home)
{
	if (c->home == home)
		return;
	c->home = home;
	c->home_replied = false;
	c->home_ts = 0;
	c->report_due = true;
}

static int
by_pool(const void *x, const void *y)
{
	const struct account *const *a = x;
	const struct account *const *b = y;

	return (*a)->pool < (*b)->pool ? -1 : (*a)->pool > (*b)->pool;
}

/*
 * Rendezvous hashing with bounded loads: in the order of their ids, pools are
 * assigned to their best node below the bound, so that no node carries the
 * traffic of several homes while others carry none.
 */
void
ld_admit_assign_homes(struct ld_admit *a)
{
	size_t pools = 0, live = live_count(a);
	struct account **list = NULL;
	struct account *c;
	unsigned int *assigned;
	size_t i, best;

	for (c = a->accounts; c != NULL; c = c->next)
		pools++;
	if (pools == 0)
		return;
	list = ld_alloc(pools * sizeof(struct account *));
	assigned = ld_alloc(a->member_count * sizeof(*assigned));
	for (c = a->accounts, i = 0; c != NULL; c = c->next)
		list[i++] = c;
	qsort(list, pools, sizeof(struct account *), by_pool);
	for (i = 0; i < pools; i++) {
		best = live > 0 ? best_node(a, list[i]->pool, assigned,
				      (unsigned int)(1 + i / live))
				: SIZE_MAX;
		if (best != SIZE_MAX)
			assigned[best]++;
		set_home(list[i], best != SIZE_MAX ? a->members[best].node : 0);
	}
	free(assigned);
	free(list);
}
