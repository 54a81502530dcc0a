/* The planner's weights trade downtime against stranded accelerators. */
#include "ld_test.h"
#include "placement_model.h"

/* A part of the day that includes the outage of a failure domain. */
#define SHORT_DAY_MS (PM_DAY_MS / 6)
#define SEEDS 2
/* More record writes than this mean that the plan oscillates. */
#define WRITES_MAX 2000

static const struct pm_setting downtime = {"downtime", 10.0, 0.1, -1};
static const struct pm_setting stranding = {"stranding", 0.1, 10.0, -1};

static struct pm day;

static void
test_weights_move_the_trade_off(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		double down, other, stranded;

		pm_run(&day, seed, &downtime, SHORT_DAY_MS);
		CU_ASSERT(day.writes < WRITES_MAX);
		/* Planning can't change the downtime of the failed domain. */
		down = day.down_minutes - day.dark_minutes;
		stranded = day.stranded_hours;
		pm_run(&day, seed, &stranding, SHORT_DAY_MS);
		CU_ASSERT(day.writes < WRITES_MAX);
		other = day.down_minutes - day.dark_minutes;
		printf("seed %llu: downtime %.0f against %.0f replica-minutes, "
		       "stranded %.0f against %.0f accelerator-hours\n",
		    (unsigned long long)seed, down, other, stranded,
		    day.stranded_hours);
		CU_ASSERT(down < 0.9 * other);
		CU_ASSERT(day.stranded_hours < 0.7 * stranded);
	}
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"weights move the trade-off", test_weights_move_the_trade_off},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	ld_log_init("test", LD_LOG_ERR);
	return ld_test_main("replica day", cases);
}
