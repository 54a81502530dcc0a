/* The budget of retries. */
#include "ld_dispatch.h"
#include "ld_test.h"

static void
test_retry_budget(void)
{
	struct ld_retry_budget b;
	unsigned int taken = 0;

	ld_retry_init(&b, 10000, 200, 5);
	for (uint64_t t = 0; t < 10000; t += 10) {
		ld_retry_count_request(&b, t);
		taken += ld_retry_try_acquire(&b, t);
	}
	CU_ASSERT(taken <= 205 && taken >= 180);
	/* The next window's budget: without requests, the constant extra. */
	taken = 0;
	for (int i = 0; i < 100; i++)
		taken += ld_retry_try_acquire(&b, 30000);
	CU_ASSERT_EQUAL(taken, 5);
}

static void
test_half_of_the_retry_budget_is_kept(void)
{
	struct ld_retry_budget b;
	unsigned int taken = 0;

	ld_retry_init(&b, 10000, 200, 6);
	for (int i = 0; i < 20; i++)
		ld_retry_count_request(&b, 1000);
	/* 20 x 0.2 + 6 */
	while (
	    ld_retry_is_half_left(&b, 1000) && ld_retry_try_acquire(&b, 1000))
		taken++;
	CU_ASSERT_EQUAL(taken, 5);
	while (ld_retry_try_acquire(&b, 1000))
		taken++;
	CU_ASSERT_EQUAL(taken, 10);
	CU_ASSERT_TRUE(ld_retry_is_half_left(&b, 30000));
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"the budget of retries", test_retry_budget},
	    {"half of the budget of retries is kept",
		test_half_of_the_retry_budget_is_kept},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("retry budget", cases);
}
