/* Number of spares: weighs the downtime saved against idle accelerators. */
#include <math.h>

#include "replica_internal.h"

#define MS_PER_MINUTE 60000.0
#define MS_PER_HOUR 3600000.0
#define MS_PER_DAY 86400000.0
#define LOSS_SCALE 1000.0
#define SPARES_MAX 32

/* Probability that a Poisson variable with mean @mean exceeds @k. */
static double
poisson_tail(double mean, int k)
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
has_filler_model(const struct ld_replica_plan_config *c)
{
	for (size_t i = 0; i < c->model_count; i++) {
		if (c->models[i].is_filler)
			return true;
	}
	return false;
}

/*
 * Expected cost per hour of keeping @k spares: they stay idle, and a loss that
 * finds no spare waits for a filler to drain, or for the refill if there are no
 * fillers.
 */
static double
cost_per_hour(const struct ld_replica_plan_config *c, uint16_t instances, int k)
{
	double per_ms = instances * (c->loss_per_day / LOSS_SCALE) / MS_PER_DAY;
	/* A spare is kept with the weights loaded, so it saves the load too. */
	double wait_ms =
	    (has_filler_model(c) ? c->drain_ms : c->refill_ms) + c->load_ms;
	double none_left_probability;

	/*
	 * A used spare is replaced from a filler within the same time, so the
	 * chance that a loss finds none of k spares is that of k losses within
	 * that time.
	 */
	none_left_probability =
	    k == 0 ? 1.0 : poisson_tail(per_ms * wait_ms, k - 1);
	return c->stranded_weight * k * c->accelerators +
	    c->downtime_weight * per_ms * MS_PER_HOUR * none_left_probability *
	    wait_ms / MS_PER_MINUTE;
}

uint16_t
ld_replica_spare_count(
    const struct ld_replica_plan_config *c, uint16_t instances)
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
