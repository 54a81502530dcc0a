/* Counts completions and tokens towards the service-level objectives. */
#include "completion_internal.h"

void
completion_note(struct completion *c, enum ld_objective o, uint64_t good,
    uint64_t bad, enum ld_cause cause)
{
	ld_burn_note(c->node->burn, node_now(c->node), ld_str_c(c->owner),
	    ld_str_c(ld_class_name(c->class)), o, good, bad, cause);
}

void
completion_note_gaps(struct completion *c)
{
	if (c->gaps_good + c->gaps_bad == 0)
		return;
	completion_note(
	    c, LD_O_TOKEN_GAP, c->gaps_good, c->gaps_bad, LD_C_SLOW);
	c->gaps_good = 0;
	c->gaps_bad = 0;
}

static void
note_first_token(struct completion *c, uint64_t now)
{
	const struct ld_goal *g = &c->goals[LD_O_FIRST_TOKEN];
	uint64_t ms = now - c->started_ms;
	bool good = ms <= g->threshold_ms;

	ld_metrics_observe(c->node->metrics, LD_L_FIRST_TOKEN, (double)ms);
	completion_note(c, LD_O_FIRST_TOKEN, good, !good, LD_C_SLOW);
}

void
completion_note_token(struct completion *c, uint64_t now)
{
	const struct ld_goal *g = &c->goals[LD_O_TOKEN_GAP];
	uint64_t gap = now - c->last_token_ms;

	if (c->last_token_ms == 0) {
		note_first_token(c, now);
	} else {
		ld_metrics_observe(
		    c->node->metrics, LD_L_TOKEN_GAP, (double)gap);
		if (gap <= g->threshold_ms)
			c->gaps_good++;
		else
			c->gaps_bad++;
	}
	c->last_token_ms = now;
}
