/*
 * Catalogue freshness across a fleet, in generated sessions on a simulated
 * clock: edits, kills, freezes, partitions, store outages, a store restored
 * from an old copy, lost and late writes.
 */
#include "catalogue_world.h"

#define SEEDS 300

static void
test_generated_sessions(void)
{
	unsigned int results[LD_EDIT_RESULT_COUNT] = {0};
	unsigned int reverts = 0, false_accepts = 0, old_admits = 0;
	unsigned int cut_off_admits = 0, lagging = 0;

	printf("seeds 1 to %d\n", SEEDS);
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		run_session(seed);
		if (w.reverts + w.false_accepts + w.old_admits +
			w.cut_off_admits + w.lagging >
		    0)
			printf("seed %llu: %u reverts, %u false accepts, %u "
			       "admit by an older one, %u admit while cut "
			       "off, %u lagging\n",
			    (unsigned long long)seed, w.reverts,
			    w.false_accepts, w.old_admits, w.cut_off_admits,
			    w.lagging);
		reverts += w.reverts;
		false_accepts += w.false_accepts;
		old_admits += w.old_admits;
		cut_off_admits += w.cut_off_admits;
		lagging += w.lagging;
		for (int i = 0; i < LD_EDIT_RESULT_COUNT; i++)
			results[i] += w.results[i];
	}
	for (int i = 1; i < LD_EDIT_RESULT_COUNT; i++)
		printf("%s %u%s", ld_edit_result_name((enum ld_edit_result)i),
		    results[i], i + 1 < LD_EDIT_RESULT_COUNT ? ", " : "\n");
	CU_ASSERT_EQUAL(reverts, 0);
	CU_ASSERT_EQUAL(false_accepts, 0);
	CU_ASSERT_EQUAL(old_admits, 0);
	CU_ASSERT_EQUAL(cut_off_admits, 0);
	CU_ASSERT_EQUAL(lagging, 0);
	/* Every edit result must have occurred. */
	for (int i = 1; i < LD_EDIT_RESULT_COUNT; i++)
		CU_ASSERT(results[i] > 0);
}

/* Replaces all nodes one after another during a store outage. */
static void
test_all_nodes_replaced_during_an_outage(void)
{
	memset(&w, 0, sizeof(w));
	ld_rand_seed(&w.rand, 7);
	w.history[0] = 9;
	w.n_history = 1;
	for (int i = 0; i < NODES; i++)
		start_node(i);
	while (w.now < 5000) {
		w.now += STEP_MS;
		step_all();
	}
	w.down_until = UINT64_MAX;
	for (int k = 0; k < NODES; k++) {
		start_node(k);
		for (uint64_t until = w.now + 4000; w.now < until;) {
			w.now += STEP_MS;
			step_all();
		}
		CU_ASSERT_TRUE(ld_fresh_admits(w.nodes[k].f, w.now));
	}
	for (int i = 0; i < NODES; i++) {
		CU_ASSERT_EQUAL(held(i), 9);
		CU_ASSERT_TRUE(ld_fresh_admits(w.nodes[i].f, w.now));
		ld_fresh_free(w.nodes[i].f);
	}
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"generated sessions: never reverted, truly accepted",
		test_generated_sessions},
	    {"all nodes replaced during an outage",
		test_all_nodes_replaced_during_an_outage},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("catalogue fleet", cases);
}
