/* Loads of weights, under the rate of the weight store. */
#include "placing_internal.h"

/* Loads that may begin at once, beyond the rate: well below the slack that the
 * weight store allows in a window. */
#define LOADS_BURST 3.0
/* At the first start the weight store has no callers yet: loads beside the
 * rate, ms since this process began. */
#define INITIAL_LOADS_MS 5000

void
loads_refill(const struct step *s)
{
	struct ld_groups *g = s->g;
	double elapsed_s = (double)(s->now_ms - g->load_tokens_ms) / 1000.0;

	if (g->load_tokens_ms == 0)
		g->load_tokens = LOADS_BURST;
	else
		g->load_tokens += elapsed_s * s->spec->loads_per_s;
	if (g->load_tokens > LOADS_BURST)
		g->load_tokens = LOADS_BURST;
	g->load_tokens_ms = s->now_ms;
}

bool
loads_are_idle(const struct step *s)
{
	return loads_are_free(s) || s->g->load_tokens >= LOADS_BURST;
}

bool
loads_are_free(const struct step *s)
{
	return s->g->initial && s->now_ms < s->g->started_ms + INITIAL_LOADS_MS;
}

bool
loads_take(const struct step *s, size_t n)
{
	if (n == 0 || loads_are_free(s))
		return true;
	/* More than a full bucket: it must be full, and goes below zero. */
	if (s->g->load_tokens < (double)n && s->g->load_tokens < LOADS_BURST)
		return false;
	s->g->load_tokens -= (double)n;
	return true;
}
