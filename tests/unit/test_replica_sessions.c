/* Random faults: hundreds of seeded sessions, each followed by recovery. */
#include "ld_test.h"
#include "replica_world.h"

#define SEEDS 120
#define FAULTY_MS 240000
#define CALM_MS 120000

static void
run_seeds(bool checks_fence)
{
	size_t unsafe = 0, stuck = 0, orders = 0, late = 0, overlaps = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_new(seed, checks_fence, 2 + (int)(seed % 2), true);
		run_until(FAULTY_MS);
		w.faults = false;
		w.store.out_until_ms = 0;
		for (int i = 0; i < ENGINES; i++)
			w.engines[i].leaving = false;
		run_until(FAULTY_MS + CALM_MS);
		if (w.violations + w.overlaps > 0) {
			unsafe++;
			printf("seed %llu: %zu violations, %zu overlaps\n",
			    (unsigned long long)seed, w.violations, w.overlaps);
		}
		if (count_serving("large") != 2) {
			stuck++;
			printf("seed %llu: %zu of 2 replicas serve\n%s\n",
			    (unsigned long long)seed, count_serving("large"),
			    w.store.record);
		}
		orders += w.orders;
		late += w.orders_late;
		overlaps += w.overlaps;
		world_free();
	}
	printf("seeds 1..%d, fences %s: %zu orders, %zu held up, %zu unsafe "
	       "(%zu overlaps), %zu not recovered\n",
	    SEEDS, checks_fence ? "checked" : "ignored", orders, late, unsafe,
	    overlaps, stuck);
	CU_ASSERT_EQUAL(unsafe, 0);
	CU_ASSERT_EQUAL(stuck, 0);
	CU_ASSERT(orders > 10 * (size_t)SEEDS);
}

static void
test_engines_that_check_fences(void)
{
	run_seeds(true);
}

static void
test_engines_that_ignore_fences(void)
{
	run_seeds(false);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"engines that check fences", test_engines_that_check_fences},
	    {"engines that ignore fences", test_engines_that_ignore_fences},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	ld_log_init("test", LD_LOG_ERR);
	return ld_test_main("replica sessions", cases);
}
