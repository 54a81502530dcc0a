/* How many spares to hold: downtime saved against accelerators left idle. */
#include <math.h>

#include "replica_internal.h"

#define MS_PER_MINUTE 60000.0
#define MS_PER_HOUR 3600000.0
#define MS_PER_DAY 86400000.0
#define LOSS_UNIT 1000.0
#define SPARES_MAX 32

/* Chance that more than @k of a Poisson count with mean @mean occur. */
static double
chance_of_more(double mean, int k)
{
	double term = exp(-mean);
	double sum = term;

	for (int i = 1; i <= k; i++) {
		term *= mean / i;
		sum += term;
	}
	return sum < 1.0 ? 1.0 - sum : 0.0;
}

static bool
can_break_up(const struct ld_replica_plan_config *c)
{
	for (size_t i = 0; i < c->model_count; i++) {
		if (c->models[i].fills)
			return true;
	}
	return false;
}

/*
 * Expected cost an hour of holding @k spares: they stand idle, and a loss that
 * finds none waits until a filling replica was drained, or for the refill.
 */
static double
cost_per_hour(const struct ld_replica_plan_config *c, uint16_t instances, int k)
{
	double per_ms = instances * (c->loss_per_day / LOSS_UNIT) / MS_PER_DAY;
	/* A spare is held with the weights loaded, so it saves the load too. */
	double wait_ms =
	    (can_break_up(c) ? c->drain_ms : c->refill_ms) + c->load_ms;
	double none_left;

	/*
	 * A spare that was used is restored from a filler in the same time, so
	 * with k spares the k-th loss within that time finds none.
	 */
	none_left = k == 0 ? 1.0 : chance_of_more(per_ms * wait_ms, k - 1);
	return c->stranded_weight * k * c->accelerators +
	    c->downtime_weight * per_ms * MS_PER_HOUR * none_left * wait_ms /
	    MS_PER_MINUTE;
}

uint16_t
ld_replica_spares(const struct ld_replica_plan_config *c, uint16_t instances)
{
	int best = 0;

	if (c->fixed_spares >= 0)
		return (uint16_t)c->fixed_spares;
	for (int k = 1; k <= SPARES_MAX; k++) {
		if (cost_per_hour(c, instances, k) <
		    cost_per_hour(c, instances, best))
			best = k;
	}
	return (uint16_t)best;
}
