/* The budget of retries. */
#include <stdlib.h>

#include "ld_dispatch.h"
#include "ld_test.h"

static void
test_retry_budget(void)
{
	struct ld_retry_budget b;
	unsigned int taken = 0;

	ld_retry_init(&b, 10000, 200, 0);
	ld_retry_set_share(&b, 50, 1);
	for (uint64_t t = 10000; t < 20000; t += 10) {
		ld_retry_count_request(&b, t);
		taken += ld_retry_try_acquire(&b, t);
	}
	CU_ASSERT(taken <= 205 && taken >= 180);
	/* The next window's budget: without requests, the constant extra. */
	taken = 0;
	for (int i = 0; i < 100; i++)
		taken += ld_retry_try_acquire(&b, 40000);
	CU_ASSERT_EQUAL(taken, 5);
}

static void
test_half_of_the_retry_budget_is_kept(void)
{
	struct ld_retry_budget b;
	unsigned int taken = 0;

	ld_retry_init(&b, 10000, 200, 0);
	ld_retry_set_share(&b, 60, 1);
	for (int i = 0; i < 20; i++)
		ld_retry_count_request(&b, 11000);
	/* 20 x 0.2 + 6 */
	while (
	    ld_retry_is_half_left(&b, 11000) && ld_retry_try_acquire(&b, 11000))
		taken++;
	CU_ASSERT_EQUAL(taken, 5);
	while (ld_retry_try_acquire(&b, 11000))
		taken++;
	CU_ASSERT_EQUAL(taken, 10);
	CU_ASSERT_TRUE(ld_retry_is_half_left(&b, 40000));
}

/* ---- Many nodes, restarted at random, that retry whenever they may ---- */

#define FLEET_MAX 40
#define WINDOW_MS 10000UL
#define DAY_MS 60000
#define STEP_MS 20
#define RATIO_PERMILLE 200
#define EXTRA 400

/** struct fleet - what all nodes together did, by step */
struct fleet {
	struct ld_retry_budget nodes[FLEET_MAX];
	size_t count;
	size_t listed; /* nodes that each node has in its list */
	struct ld_rand rand;
	unsigned int requests[DAY_MS / STEP_MS];
	unsigned int retries[DAY_MS / STEP_MS];
};

static void
start_node(struct fleet *f, size_t i, uint64_t now_ms)
{
	ld_retry_init(&f->nodes[i], WINDOW_MS,
	    RATIO_PERMILLE * LD_RETRY_LOCAL_PERCENT / 100, now_ms);
}

/* Sum of the window that begins at @first and may begin before the day. */
static unsigned int
window_sum(const unsigned int *counts, int first)
{
	unsigned int sum = 0;

	for (int i = first; i < first + (int)(WINDOW_MS / STEP_MS); i++)
		if (i >= 0)
			sum += counts[i];
	return sum;
}

static void
check_windows(const struct fleet *f)
{
	const int width = (int)(WINDOW_MS / STEP_MS);
	unsigned int worst = 0;

	for (int first = 0; first + width <= DAY_MS / STEP_MS; first++) {
		unsigned int requests = window_sum(f->requests, first);

		for (int before = 1; before <= 2; before++) {
			unsigned int n =
			    window_sum(f->requests, first - before * width / 2);

			requests = n > requests ? n : requests;
		}
		unsigned int allowed = requests * RATIO_PERMILLE / 1000 + EXTRA;
		unsigned int retries = window_sum(f->retries, first);

		if (retries > allowed && retries - allowed > worst)
			worst = retries - allowed;
	}
	CU_ASSERT_EQUAL(worst, 0);
	if (worst > 0)
		printf("%zu nodes: %u retries beyond the allowed\n", f->count,
		    worst);
}

/* @restart_every_ms: mean time between two restarts of any node, 0: none;
 * @requests_per_s: of all nodes */
static void
play_fleet(struct fleet *f, uint64_t restart_every_ms, uint64_t requests_per_s)
{
	for (size_t i = 0; i < f->count; i++)
		start_node(f, i, 0);
	for (uint64_t t = 0; t < DAY_MS; t += STEP_MS) {
		size_t step = t / STEP_MS;

		if (restart_every_ms > 0 &&
		    ld_rand_below(&f->rand, restart_every_ms) < STEP_MS)
			start_node(f, ld_rand_below(&f->rand, f->count), t);
		for (uint64_t k = 0; k < requests_per_s; k++) {
			if (ld_rand_below(&f->rand, 1000) >= STEP_MS)
				continue;
			f->requests[step]++;
			ld_retry_count_request(
			    &f->nodes[ld_rand_below(&f->rand, f->count)], t);
		}
		for (size_t i = 0; i < f->count; i++) {
			ld_retry_set_share(&f->nodes[i], EXTRA, f->listed);
			while (ld_retry_try_acquire(&f->nodes[i], t))
				f->retries[step]++;
		}
	}
	check_windows(f);
}

static void
play(size_t nodes, uint64_t restart_every_ms, uint64_t requests_per_s)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		struct fleet *f = ld_alloc(sizeof(*f));

		f->count = f->listed = nodes;
		ld_rand_seed(&f->rand, seed);
		play_fleet(f, restart_every_ms, requests_per_s);
		free(f);
	}
}

static void
test_all_nodes_together_keep_within_the_budget(void)
{
	static const size_t nodes[] = {1, 7, 10, FLEET_MAX};

	for (size_t i = 0; i < sizeof(nodes) / sizeof(nodes[0]); i++) {
		play(nodes[i], 0, 0);
		play(nodes[i], 0, 3);
		play(nodes[i], 0, 180);
	}
}

static void
test_restarted_nodes_add_no_retries(void)
{
	static const size_t nodes[] = {7, 10, FLEET_MAX};

	for (size_t i = 0; i < sizeof(nodes) / sizeof(nodes[0]); i++) {
		play(nodes[i], 300, 0);
		play(nodes[i], 300, 3);
		play(nodes[i], 1000, 180);
		play(nodes[i], 3000, 3);
	}
}

/* The process that is killed has used its whole share. */
static void
test_a_restart_after_a_burst_adds_no_retries(void)
{
	struct ld_retry_budget before, after;
	unsigned int taken = 0;

	ld_retry_init(&before, WINDOW_MS, RATIO_PERMILLE, 0);
	ld_retry_set_share(&before, 400, 10);
	while (ld_retry_try_acquire(&before, 3 * WINDOW_MS))
		taken++;
	CU_ASSERT_EQUAL(taken, 40);
	ld_retry_init(&after, WINDOW_MS, RATIO_PERMILLE, 3 * WINDOW_MS + 100);
	ld_retry_set_share(&after, 400, 10);
	CU_ASSERT_FALSE(ld_retry_try_acquire(&after, 4 * WINDOW_MS - 100));
	CU_ASSERT_TRUE(ld_retry_try_acquire(&after, 4 * WINDOW_MS + 200));
}

/* Nodes that are cut off keep the share of their longer list. */
static void
test_a_list_that_shrinks_adds_no_retries(void)
{
	struct ld_retry_budget b;
	unsigned int taken = 0;

	ld_retry_init(&b, WINDOW_MS, RATIO_PERMILLE, 0);
	ld_retry_set_share(&b, 400, 40);
	ld_retry_set_share(&b, 400, 10);
	while (ld_retry_try_acquire(&b, 2 * WINDOW_MS))
		taken++;
	CU_ASSERT_EQUAL(taken, 10);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"the budget of retries", test_retry_budget},
	    {"half of the budget of retries is kept",
		test_half_of_the_retry_budget_is_kept},
	    {"all nodes together keep within the budget",
		test_all_nodes_together_keep_within_the_budget},
	    {"restarted nodes add no retries",
		test_restarted_nodes_add_no_retries},
	    {"a restart after a burst adds no retries",
		test_a_restart_after_a_burst_adds_no_retries},
	    {"a list that shrinks adds no retries",
		test_a_list_that_shrinks_adds_no_retries},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("retry budget", cases);
}
