/*
 * Servers that come back cold while there is load: no second may bring one more
 * requests than it bears, from all nodes together, see limits_world.h.
 */
#include "limits_world.h"

/* The terms of the customer who has such servers. */
#define WARMUP_PER_S 17
#define WARMUP_MS 3000
#define OVERRUN 1.5
#define WARMUP_SLACK 5
#define BOUND ((unsigned int)(WARMUP_PER_S * OVERRUN + WARMUP_SLACK))
#define GROUPS 20
#define COLD 6
#define LOAD_PER_S 440
/* A node reads the entry of a server this much later at most, ms. */
#define ENTRY_MS 500
#define SECOND_MS 1000

static uint64_t known_ms[NODES_MAX];

static size_t warm; /* groups that serve meanwhile */

/* All groups are away but the last ones. */
static void
take_away(void)
{
	for (size_t n = 0; n < fleet.n; n++)
		for (int i = 0; i + (int)warm < GROUPS; i++)
			head_at(&fleet.nodes[n], i)->listed = false;
}

/* Each node hears of it at another time. Groups open @opened_ms later. */
static void
come_back(uint64_t begin_ms, uint64_t opened_ms)
{
	for (size_t n = 0; n < fleet.n; n++) {
		for (int i = 0; i < COLD; i++) {
			struct ld_server *s = head_at(&fleet.nodes[n], i);

			s->listed |= fleet.now >= known_ms[n] + opened_ms;
			if (known_ms[n] != fleet.now)
				continue;
			(void)ld_server_warm_up(s,
			    (uint32_t)(WARMUP_PER_S * 1000),
			    begin_ms + WARMUP_MS + ENTRY_MS, fleet.now);
		}
	}
}

static unsigned int
most_in_a_second(int server, uint64_t ms)
{
	size_t width = SECOND_MS / STEP_MS, last = steps();
	unsigned int most = 0;

	for (size_t end = last - ms / STEP_MS + width; end <= last; end++) {
		unsigned int n = 0;

		for (size_t i = end - width + 1; i <= end; i++)
			n += w.arrived[server][i];
		if (n > most)
			most = n;
	}
	return most;
}

/* @cut_every: each node of that number is partitioned from the others, 0: none */
static void
play(size_t nodes, double loss, size_t cut_every, uint64_t opened_ms)
{
	uint64_t begin_ms;

	limits_open_groups(nodes, loss, GROUPS);
	take_away();
	run(4000, (struct load){LOAD_PER_S, ALL_NODES});
	begin_ms = fleet.now;
	for (size_t n = 0; n < nodes; n++) {
		known_ms[n] = begin_ms +
		    STEP_MS *
			(1 + ld_rand_below(&fleet.rand, ENTRY_MS / STEP_MS));
		fleet.nodes[n].cut = cut_every > 0 && n % cut_every == 0;
	}
	for (uint64_t ms = 0; ms < WARMUP_MS; ms += STEP_MS) {
		run(STEP_MS, (struct load){LOAD_PER_S, ALL_NODES});
		come_back(begin_ms, opened_ms);
	}
	for (int i = 0; i < COLD; i++) {
		unsigned int most = most_in_a_second(i, WARMUP_MS);

		CU_ASSERT(most <= BOUND);
		if (most > BOUND)
			printf("%zu nodes, cut %zu: %u in a second\n", nodes,
			    cut_every, most);
		/* Nor is it kept idle, once all nodes know of it. */
		CU_ASSERT(cut_every > 0 || opened_ms > 0 ||
		    arrived(i, WARMUP_MS / 2) >=
			WARMUP_PER_S * WARMUP_MS / 2 / SECOND_MS / 2);
	}
	fleet_close();
}

static void
test_a_cold_server_gets_what_it_bears(void)
{
	warm = GROUPS - COLD;
	play(8, 0.0015, 0, 0);
	play(66, 0.0015, 0, 0);
	play(195, 0.0015, 0, 0);
	play(66, 0.1, 0, 0);
}

/* Most of the demand has nowhere to go, and the limit has not been used: all nodes
 * see the same free groups. */
static void
test_cold_groups_open_late_in_need(void)
{
	warm = 2;
	play(8, 0.0015, 0, 2000);
	play(66, 0.0015, 0, 2000);
	play(195, 0.0015, 0, 1500);
}

static void
test_nodes_that_are_cut_off_count_too(void)
{
	warm = GROUPS - COLD;
	play(8, 0.0015, 4, 0);
	play(66, 0.0015, 3, 0);
	play(195, 0.0015, 5, 0);
}

/* At its end the rate rises step by step. */
static void
test_the_end_is_no_step(void)
{
	struct ld_allowance *a = ld_allowance_new();
	uint32_t before = 10000;

	CU_ASSERT(ld_allowance_warm_up(a, 10000, 4000, 1000));
	CU_ASSERT_FALSE(ld_allowance_warm_up(a, 10000, 4000, 1500));
	CU_ASSERT(ld_allowance_is_limited(a, 3999));
	CU_ASSERT_EQUAL(ld_allowance_rate(a, 3999), 10000);
	for (uint64_t now = 4000; now < 5500; now += 100) {
		CU_ASSERT(ld_allowance_rate(a, now) >= before);
		CU_ASSERT(ld_allowance_rate(a, now) <= before + 3000);
		before = ld_allowance_rate(a, now);
	}
	CU_ASSERT_FALSE(ld_allowance_is_limited(a, 5500));
	CU_ASSERT_EQUAL(ld_allowance_rate(a, 5500), LD_RATE_UNLIMITED);
	ld_allowance_free(a);
}

/* A node whose requests are more than a second apart. */
static void
test_little_demand_is_served(void)
{
	struct ld_allowance *a = ld_allowance_new();
	uint64_t wait_ms;
	int admitted = 0;

	(void)ld_allowance_warm_up(a, 10000, 40000, 1000);
	CU_ASSERT_FALSE(ld_allowance_admits(a, 0.5, 1100));
	/* The time to come back is not that of the rate alone. */
	wait_ms = ld_allowance_wait_ms(a, 1100);
	CU_ASSERT(wait_ms >= 300);
	CU_ASSERT(ld_allowance_admits(a, 0.5, 1100 + wait_ms));
	for (uint64_t now = 2200; now < 33000; now += 1100) {
		if (!ld_allowance_admits(a, 0.5, now))
			continue;
		ld_allowance_count_sent(a, &a->own, 1, now);
		admitted++;
	}
	CU_ASSERT(admitted >= 27);
	ld_allowance_free(a);
}

/* A limit that expired and is named again knows what was sent meanwhile. */
static void
test_what_is_sent_after_a_limit_counts_for_it(void)
{
	struct ld_allowance *a = ld_allowance_new();

	(void)ld_allowance_observe(a, 2000, 1000);
	CU_ASSERT_FALSE(ld_allowance_is_limited(a, 20000));
	for (uint64_t now = 20000; now < 22000; now += 50)
		ld_allowance_count_sent(a, &a->own, 1, now);
	(void)ld_allowance_observe(a, 2000, 22000);
	CU_ASSERT(ld_allowance_wait_ms(a, 22000) > 10000);
	ld_allowance_free(a);
}

/* The lower of both rates is in force. */
static void
test_a_cold_server_may_name_a_limit_too(void)
{
	struct ld_allowance *a = ld_allowance_new();

	(void)ld_allowance_warm_up(a, 10000, 4000, 1000);
	(void)ld_allowance_observe(a, 2000, 1200);
	CU_ASSERT_EQUAL(ld_allowance_rate(a, 1300), 2000);
	(void)ld_allowance_observe(a, 50000, 1400);
	CU_ASSERT_EQUAL(ld_allowance_rate(a, 1500), 10000);
	CU_ASSERT_EQUAL(ld_allowance_rate(a, 6000), 50000);
	ld_allowance_free(a);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a cold server gets what it bears",
		test_a_cold_server_gets_what_it_bears},
	    {"cold groups open late in need",
		test_cold_groups_open_late_in_need},
	    {"nodes that are cut off count too",
		test_nodes_that_are_cut_off_count_too},
	    {"the end is no step", test_the_end_is_no_step},
	    {"little demand is served", test_little_demand_is_served},
	    {"what is sent after a limit counts for it",
		test_what_is_sent_after_a_limit_counts_for_it},
	    {"a cold server may name a limit too",
		test_a_cold_server_may_name_a_limit_too},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("warm-up", cases);
}
