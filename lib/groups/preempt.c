/* Preemption: closes a group of a small model so that its servers can complete
 * a group of another model. */
#include <math.h>
#include <string.h>

#include "placing_internal.h"

/* Minimum ratio of the value of the new group to that of the preempted one: the
 * gain has to outweigh the cost of the change. */
#define PREEMPT_MIN_GAIN 1.2

static bool
has_usable_member(const struct tick *s, const struct group *gr)
{
	for (size_t i = 0; i < gr->member_count; i++)
		if (!gr->members[i].left && usable_member(s, gr, i) != NULL)
			return true;
	return false;
}

bool
has_closing_group(const struct tick *s, const struct plan *p)
{
	for (const struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain)
		if (gr->phase == PHASE_CLOSING && has_usable_member(s, gr))
			return true;
	return false;
}

/* Of the model's groups in service, the one with most hosts that have the
 * weights of @want. */
static struct group *
find_preemptible(const struct tick *s, const struct plan *p, const char *model,
    const char *want)
{
	struct group *best = NULL;
	size_t most = 0;

	for (struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain) {
		size_t n;

		if (gr->phase != PHASE_SERVING || strcmp(gr->model, model) != 0)
			continue;
		n = standby_count(s, gr, want);
		if (best != NULL && n <= most)
			continue;
		best = gr;
		most = n;
	}
	return best;
}

/* The value of a model's capacity is its share of the work times the logarithm
 * of the capacity: the fewer groups a model has, the more its callers gain by
 * another. */
static double
marginal_value(const struct tick *s, size_t model, size_t groups)
{
	if (groups == 0)
		return HUGE_VAL;
	return s->spec->models[model].work_share * log1p(1.0 / (double)groups);
}

/* The waiting servers are idle otherwise, so that one whole group is gained for
 * one whole group that is closed. */
static bool
gains_enough(
    const struct tick *s, const struct counts *all, size_t want, size_t model)
{
	return all->n[model] >= 2 &&
	    marginal_value(s, want, all->n[want]) >
	    PREEMPT_MIN_GAIN * marginal_value(s, model, all->n[model] - 1);
}

/* Closes a group whose hosts, together with @with_weights other servers,
 * suffice for a group of @want. */
static bool
preempt(const struct tick *s, struct plan *p, const struct counts *all,
    size_t want, size_t with_weights, const char *why)
{
	const struct ld_model_spec *w = &s->spec->models[want];

	for (size_t i = 0; i < s->spec->model_count; i++) {
		const struct ld_model_spec *m = &s->spec->models[i];
		struct group *gr;

		if (i == want || m->size > w->size ||
		    !gains_enough(s, all, want, i))
			continue;
		gr = find_preemptible(s, p, m->name, w->name);
		if (gr == NULL ||
		    with_weights + standby_count(s, gr, w->name) < w->size)
			continue;
		lifecycle_close(s, gr, why);
		p->all->n[i]--;
		p->have.n[i]--;
		return true;
	}
	return false;
}

/*
 * For losses that hit one model, whose groups are overloaded while those of
 * another have capacity left. A domain that lacks a few servers with the first
 * model's weights closes a group of the second model whose hosts have them;
 * until then that group serves.
 */
bool
preempt_for_target(const struct tick *s, struct plan *p, size_t want)
{
	return preempt(s, p, p->all, want,
	    count_free_with_weights(p->free, s->spec->models[want].name),
	    "a group of another model needs its servers");
}

/* Groups of the model in service, in all domains. */
static size_t
count_serving(const struct tick *s, const char *model)
{
	size_t n = 0;

	for (const struct group *gr = s->g->groups; gr != NULL; gr = gr->next)
		n +=
		    gr->phase == PHASE_SERVING && strcmp(gr->model, model) == 0;
	return n;
}

/* A group that waits for loads gets the servers of a group whose hosts have the
 * weights. */
bool
preempt_for_standby(const struct tick *s, struct plan *p)
{
	if (has_closing_group(s, p))
		return false;
	for (size_t m = 0; m < s->spec->model_count; m++) {
		struct waiting_groups w = regroup_count_waiting(s, p, m);
		struct counts serving = *p->all;

		if (w.groups == 0)
			continue;
		/* Groups that still wait for loads don't count. */
		serving.n[m] = count_serving(s, s->spec->models[m].name);
		if (preempt(s, p, &serving, m, w.with_weights,
			"another group waits for weights that its hosts have"))
			return true;
	}
	return false;
}

/* Before the first request all groups beyond the target may close at once. */
bool
preempt_excess(const struct tick *s, struct plan *p)
{
	bool any = false;

	if (!loads_are_unlimited(s))
		return false;
	for (struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain) {
		const struct ld_model_spec *m =
		    ld_engine_model(s->spec, ld_str_c(gr->model));
		size_t i;

		if (gr->phase != PHASE_SERVING || m == NULL)
			continue;
		i = (size_t)(m - s->spec->models);
		if (p->have.n[i] <= p->target.n[i])
			continue;
		lifecycle_close(
		    s, gr, "the domain's target has fewer groups of the model");
		p->have.n[i]--;
		p->all->n[i]--;
		any = true;
	}
	return any;
}
