/* Servers that name a limit for all nodes together, see limits_world.h. */
#include "limits_world.h"

static void
test_limit_holds_over_all_nodes(void)
{
	static const size_t sizes[] = {8, 66, 195};
	static const double limits[] = {0.5, 6.5, 30};
	static const double demand[] = {0.8, 2, 10};

	for (int i = 0; i < 3; i++)
		for (int k = 0; k < 3; k++)
			for (int d = 0; d < 3; d++) {
				/* Long enough for some twenty requests. */
				uint64_t ms = limits[k] < 1 ? 40000 : 16000;

				limits_open(sizes[i], 0.0015, 1);
				w.limit[0] = limits[k];
				run_limited(ms,
				    (struct load){
					demand[d] * limits[k], ALL_NODES});
				check_kept(0, ms);
				if (demand[d] >= 2)
					check_used(0, ms);
				fleet_close();
			}
}

/* Of four servers three name limits far below their share of the load. */
static void
test_limits_hold_beside_other_servers(void)
{
	static const size_t sizes[] = {8, 66, 195};

	for (int i = 0; i < 3; i++) {
		limits_open(sizes[i], 0.0015, 4);
		w.limit[0] = 2;
		w.limit[1] = 6.5;
		w.limit[2] = 12;
		run_limited(16000, (struct load){120, ALL_NODES});
		for (int s = 0; s < 3; s++) {
			check_kept(s, 16000);
			check_used(s, 16000);
		}
		/* What they don't take goes to the other one at once. */
		CU_ASSERT_EQUAL(w.refused, 0);
		fleet_close();
	}
}

/* The bound on control traffic of a node, 11 KB/s, holds with limits as well;
 * the first fifteen nodes are the large ones, some of which aggregate. */
static void
test_cost_of_limits(void)
{
	enum {
		LIMITED = 42,
		MS = 8000
	};

	limits_open_groups(195, 0.0015, HEADS);
	for (int s = 0; s < LIMITED; s++)
		w.limit[s] = 8;
	run(STABLE_MS, (struct load){1000, ALL_NODES});
	for (size_t i = 0; i < fleet.n; i++)
		fleet.nodes[i].bytes = 0;
	run(MS, (struct load){1000, ALL_NODES});
	for (size_t i = 15; i < fleet.n; i++)
		CU_ASSERT(fleet.nodes[i].bytes <= MS / 1000 * 11000);
	for (int s = 0; s < LIMITED; s++) {
		check_kept(s, MS);
		check_used(s, MS);
	}
	fleet_close();
}

static void
test_one_node_uses_the_whole_limit(void)
{
	static const size_t sizes[] = {8, 66, 195};

	for (int i = 0; i < 3; i++) {
		limits_open(sizes[i], 0.0015, 1);
		w.limit[0] = 6.5;
		run_limited(12000, (struct load){20, sizes[i] / 2});
		check_kept(0, 12000);
		check_used(0, 12000);
		/* The demand moves to another node. */
		run(2000, (struct load){20, 1});
		run(8000, (struct load){20, 1});
		check_kept(0, 10000);
		check_used(0, 8000);
		fleet_close();
	}
}

static void
test_limit_holds_when_load_rises(void)
{
	limits_open(195, 0.0015, 1);
	w.limit[0] = 6.5;
	run_limited(4000, (struct load){4, ALL_NODES});
	run(12000, (struct load){130, ALL_NODES});
	check_kept(0, 16000);
	fleet_close();
}

static void
test_limit_that_falls_and_ends(void)
{
	uint64_t ended_ms;

	limits_open(66, 0.0015, 1);
	w.limit[0] = 20;
	run_limited(4000, (struct load){40, ALL_NODES});
	check_kept(0, 4000);
	w.limit[0] = 5;
	run_limited(8000, (struct load){40, ALL_NODES});
	check_kept(0, 8000);
	check_used(0, 8000);
	w.limit[0] = 0;
	ended_ms = fleet.now;
	run(5000, (struct load){40, ALL_NODES});
	/* The next answer says so; a report reaches every node in time. */
	CU_ASSERT(w.unlimited_ms <= ended_ms + 1000);
	CU_ASSERT(w.last_refused_ms <= w.unlimited_ms + REPORTED_WITHIN_MS);
	fleet_close();
}

static void
restart_node(size_t i)
{
	size_t kept = 0;

	for (size_t a = 0; a < w.answer_count; a++)
		if (w.answers[a].node != i)
			w.answers[kept++] = w.answers[a];
	w.answer_count = kept;
	stop_node(i);
	start_node(i);
	for (size_t k = 0; k < fleet.n; k++)
		if (k != i) {
			list_peer(&fleet.nodes[i], k);
			list_peer(&fleet.nodes[k], i);
		}
}

static void
test_limit_holds_while_nodes_restart(void)
{
	static const size_t sizes[] = {8, 66, 195};

	for (int i = 0; i < 3; i++) {
		limits_open(sizes[i], 0.0015, 1);
		w.limit[0] = 6.5;
		run_limited(4000, (struct load){40, ALL_NODES});
		for (size_t n = 0; n < 6; n++) {
			restart_node(n);
			run(1000, (struct load){40, ALL_NODES});
		}
		run(4000, (struct load){40, ALL_NODES});
		check_kept(0, 14000);
		check_used(0, 4000);
		fleet_close();
	}
}

/* Nodes that are cut off from the others know nothing of their requests. */
static void
test_limit_holds_while_nodes_are_cut_off(void)
{
	static const size_t sizes[] = {8, 66, 195};

	for (int i = 0; i < 3; i++) {
		limits_open(sizes[i], 0.0015, 1);
		w.limit[0] = 6.5;
		run_limited(4000, (struct load){40, ALL_NODES});
		for (size_t n = 0; n < sizes[i]; n += 3)
			fleet.nodes[n].cut = true;
		run(STABLE_MS, (struct load){40, ALL_NODES});
		run(8000, (struct load){40, ALL_NODES});
		check_kept(0, 8000);
		for (size_t n = 0; n < sizes[i]; n += 3)
			fleet.nodes[n].cut = false;
		run(STABLE_MS, (struct load){40, ALL_NODES});
		run(8000, (struct load){40, ALL_NODES});
		check_kept(0, 8000);
		check_used(0, 8000);
		fleet_close();
	}
}

static void
test_refused_with_the_time_to_come_back(void)
{
	struct load none = {0, ALL_NODES};
	unsigned int refused;

	limits_open(8, 0, 1);
	w.limit[0] = 0.5;
	run_limited(8000, (struct load){5, ALL_NODES});
	CU_ASSERT(w.refused > 0);
	/* One request in two seconds: an earlier return would be in vain. */
	CU_ASSERT(w.retry_after_ms >= 1000);
	run(w.retry_after_ms - w.retry_after_ms % STEP_MS + STEP_MS, none);
	refused = w.refused;
	request(3);
	CU_ASSERT_EQUAL(w.refused, refused);
	fleet_close();
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"limit holds over all nodes", test_limit_holds_over_all_nodes},
	    {"limits hold beside other servers",
		test_limits_hold_beside_other_servers},
	    {"cost of limits", test_cost_of_limits},
	    {"one node uses the whole limit",
		test_one_node_uses_the_whole_limit},
	    {"limit holds when load rises", test_limit_holds_when_load_rises},
	    {"limit that falls and ends", test_limit_that_falls_and_ends},
	    {"limit holds while nodes restart",
		test_limit_holds_while_nodes_restart},
	    {"limit holds while nodes are cut off",
		test_limit_holds_while_nodes_are_cut_off},
	    {"refused with the time to come back",
		test_refused_with_the_time_to_come_back},
	    {NULL, NULL},
	};

	return ld_test_main("server_limits", cases);
}
