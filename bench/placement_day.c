/*
 * Group downtime and stranded accelerators over a scripted day of the fleet,
 * for two planner settings and two baselines. Prints a table and JSON
 * lines. Usage: placement_day [SEEDS]
 */
#include "placement_model.h"

#define SEEDS 1

static const struct pm_setting settings[] = {
    {"downtime weighs 100 to 1", 10.0, 0.1, -1},
    {"downtime weighs 20 to 1", 10.0, 0.5, -1},
    {"stranding weighs more", 0.1, 10.0, -1},
    {"first fit, no spares", 0.0, 0.0, 0},
    {"one spare per domain", 0.0, 0.0, 1},
};

#define SETTINGS (sizeof(settings) / sizeof(settings[0]))

struct total {
	double down;
	double dark;
	double stranded;
	double spare;
	double orders;
	double writes;
};

static void
add_day(struct total *t, uint64_t seed, const struct pm_setting *s)
{
	static struct pm day;
	struct pm *w = &day;

	pm_run(w, seed, s, PM_DAY_MS);
	t->down += w->down_minutes;
	t->dark += w->dark_minutes;
	t->stranded += w->stranded_hours;
	t->spare += w->spare_hours;
	t->orders += (double)w->orders;
	t->writes += (double)w->writes;
	printf("{\"bench\":\"placement_day\",\"setting\":\"%s\",\"seed\":%llu,"
	       "\"down_replica_minutes\":%.1f,\"of_these_dark\":%.1f,"
	       "\"stranded_accelerator_hours\":%.0f,\"of_these_spare\":%.0f,"
	       "\"orders\":%llu,\"record_writes\":%llu}\n",
	    s->name, (unsigned long long)seed, w->down_minutes, w->dark_minutes,
	    w->stranded_hours, w->spare_hours, (unsigned long long)w->orders,
	    (unsigned long long)w->writes);
}

int
main(int argc, char **argv)
{
	uint64_t seeds = argc > 1 ? strtoull(argv[1], NULL, 10) : SEEDS;
	struct total totals[SETTINGS] = {{0}};

	if (ld_common_init() != LD_OK || seeds == 0)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	ld_log_init("placement_day", LD_LOG_ERR);
	for (size_t i = 0; i < SETTINGS; i++) {
		for (uint64_t seed = 1; seed <= seeds; seed++)
			add_day(&totals[i], seed, &settings[i]);
	}
	printf("mean of seeds 1..%llu, one day: 600 servers, 18 replicas of 32 "
	       "wanted\n",
	    (unsigned long long)seeds);
	printf("%-24s %16s %14s %18s %14s %8s %8s\n", "setting",
	    "down (rep.-min)", "without dark", "stranded (acc.-h)",
	    "of these spare", "orders", "writes");
	for (size_t i = 0; i < SETTINGS; i++) {
		const struct total *t = &totals[i];
		double n = (double)seeds;

		printf("%-24s %16.1f %14.1f %18.0f %14.0f %8.0f %8.0f\n",
		    settings[i].name, t->down / n, (t->down - t->dark) / n,
		    t->stranded / n, t->spare / n, t->orders / n,
		    t->writes / n);
	}
	return 0;
}
