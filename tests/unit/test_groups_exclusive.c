/*
 * Holders of the control lease in turn, with copies of the store of different
 * ages: no server takes a join while the head of its group serves.
 */
#include "holders_world.h"
#include "ld_test.h"

static const uint32_t large_sizes[MODELS] = {16, 4};
static const uint32_t small_sizes[MODELS] = {6, 3};

/* LD_TEST_SEED replaces the seeds of a run by hand. */
static uint64_t
first_seed(uint64_t otherwise)
{
	const char *text = getenv("LD_TEST_SEED");

	return text != NULL ? strtoull(text, NULL, 10) : otherwise;
}

static void
run_seeds(const char *name, int domains, int domain_servers,
    const uint32_t sizes[MODELS], const struct faults *faults, int seeds)
{
	uint64_t seed = first_seed(1);

	for (int i = 0; i < seeds; i++, seed++) {
		struct world *w =
		    world_new(domains, domain_servers, sizes, faults, seed);

		world_run(w, 60000);
		printf("%s seed %llu: %u joins in two groups, %u joins, %u "
		       "opens, %u reigns, %u orders, %u probes, serving "
		       "%.3f\n",
		    name, (unsigned long long)seed, w->s.two_groups, w->s.joins,
		    w->s.opens, w->reigns, w->orders, w->probes,
		    (double)w->serving_ms / 60000 / w->s.n);
		CU_ASSERT_EQUAL(w->s.two_groups, 0);
		world_free(w);
	}
}

static void
test_holders_large(void)
{
	static const struct faults f = {.kill_ms = 8000,
	    .freeze_ms = 4000,
	    .resign_ms = 4000,
	    .crash_ms = 500,
	    .store_cut_ms = 1000,
	    .late_percent = 5,
	    .lost_percent = 3,
	    .repeated_percent = 2,
	    .follower_age_ms = 4000,
	    .catch_up_ms = 2000,
	    .holder_age_ms = 400};

	run_seeds("large", 25, 35, large_sizes, &f, 5);
}

static void
test_holders_small(void)
{
	static const struct faults f = {.kill_ms = 8000,
	    .freeze_ms = 8000,
	    .resign_ms = 8000,
	    .crash_ms = 2000,
	    .store_cut_ms = 3000,
	    .late_percent = 5,
	    .lost_percent = 3,
	    .repeated_percent = 2,
	    .follower_age_ms = 1500,
	    .catch_up_ms = 300,
	    .holder_age_ms = 200};

	run_seeds("small", 6, 11, small_sizes, &f, 5);
}

static void
test_servers_cut_off(void)
{
	static const struct faults f = {.kill_ms = 20000,
	    .crash_ms = 3000,
	    .cut_ms = 1000,
	    .late_percent = 2,
	    .follower_age_ms = 1500,
	    .catch_up_ms = 300,
	    .holder_age_ms = 200};

	run_seeds("cut", 6, 11, small_sizes, &f, 5);
}

static void
test_orders_carried_out_late(void)
{
	static const struct faults f = {.kill_ms = 10000,
	    .freeze_ms = 10000,
	    .resign_ms = 10000,
	    .crash_ms = 400,
	    .store_cut_ms = 1000,
	    .cut_ms = 4000,
	    .late_percent = 30,
	    .lost_percent = 10,
	    .repeated_percent = 30,
	    .follower_age_ms = 2000,
	    .catch_up_ms = 500,
	    .holder_age_ms = 300};

	run_seeds("late", 6, 11, small_sizes, &f, 10);
}

/*
 * Where servers check no fencing token, a join and an open that got no answer
 * open a head again that has left its group, up to 12 s later: its members are
 * not free before that, whichever node holds the lease.
 */
static void
test_late_orders_without_fencing(void)
{
	static const struct faults calm = {.crash_ms = 400,
	    .late_percent = 35,
	    .lost_percent = 5,
	    .follower_age_ms = 2000,
	    .catch_up_ms = 500,
	    .holder_age_ms = 300,
	    .late_max_ms = 12000,
	    .unfenced = true};
	struct faults f = calm;

	run_seeds("unfenced", 6, 11, small_sizes, &f, 10);
	f.store_cut_ms = 1000;
	f.cut_ms = 2000;
	f.partition_ms = 6000;
	run_seeds("unfenced, cut", 6, 11, small_sizes, &f, 10);
	f.kill_ms = f.freeze_ms = f.resign_ms = 10000;
	run_seeds("unfenced, holders", 6, 11, small_sizes, &f, 10);
}

/* Whatever a side of a partition sees: a head may be open on the other. */
static void
test_partitions(void)
{
	static const struct faults f = {.kill_ms = 20000,
	    .resign_ms = 20000,
	    .crash_ms = 2000,
	    .partition_ms = 3000,
	    .late_percent = 5,
	    .lost_percent = 2,
	    .follower_age_ms = 1500,
	    .catch_up_ms = 300,
	    .holder_age_ms = 200};

	run_seeds("partition", 6, 11, small_sizes, &f, 10);
}

/* What crashes of heads cost: nothing else happens. */
static void
test_crashes_alone(void)
{
	static const struct faults f = {.crash_ms = 1000,
	    .follower_age_ms = 1500,
	    .catch_up_ms = 300,
	    .holder_age_ms = 200};

	run_seeds("crashes", 6, 11, small_sizes, &f, 5);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"holders in turn, 875 servers", test_holders_large},
	    {"holders in turn, 66 servers", test_holders_small},
	    {"servers cut off from all nodes", test_servers_cut_off},
	    {"orders carried out late", test_orders_carried_out_late},
	    {"late orders without fencing", test_late_orders_without_fencing},
	    {"a refused connection is not the end of a head", test_partitions},
	    {"crashes alone", test_crashes_alone},
	    {NULL, NULL},
	};

	return ld_test_main("groups_exclusive", cases);
}
