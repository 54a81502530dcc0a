/* Small groups that are given up for a group of a model that is short of servers. */
#include <math.h>
#include <string.h>

#include "placing_internal.h"

/* A group is given up for one of another model that is worth so many times as
 * much: the change has to be made up for. */
#define GIVE_UP_GAIN 1.2

bool
donor_is_closing(const struct plan *p)
{
	for (const struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain)
		if (gr->phase == PHASE_CLOSING)
			return true;
	return false;
}

/* Of the model's groups that serve, the one with most of the weights of @want. */
static struct group *
find_serving(const struct step *s, const struct plan *p, const char *model,
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

/* A model's capacity is worth its share of the work times the logarithm of it: the
 * fewer groups a model has, the more its callers gain by another. */
static double
worth_of_one_more(const struct step *s, size_t model, size_t groups)
{
	if (groups == 0)
		return HUGE_VAL;
	return s->spec->models[model].work_share * log1p(1.0 / (double)groups);
}

/* The servers that wait are idle either way, so that a whole group is gained,
 * against the whole of the one that is given up. */
static bool
is_worth_it(
    const struct step *s, const struct counts *all, size_t want, size_t model)
{
	return all->n[model] >= 2 &&
	    worth_of_one_more(s, want, all->n[want]) >
	    GIVE_UP_GAIN * worth_of_one_more(s, model, all->n[model] - 1);
}

/* Ends a group whose hosts, with @holders servers, make one of @want. */
static bool
give_up(const struct step *s, struct plan *p, const struct counts *all,
    size_t want, size_t holders, const char *why)
{
	const struct ld_model_spec *w = &s->spec->models[want];

	for (size_t i = 0; i < s->spec->model_count; i++) {
		const struct ld_model_spec *m = &s->spec->models[i];
		struct group *gr;

		if (i == want || m->size > w->size ||
		    !is_worth_it(s, all, want, i))
			continue;
		gr = find_serving(s, p, m->name, w->name);
		if (gr == NULL ||
		    holders + standby_count(s, gr, w->name) < w->size)
			continue;
		lifecycle_close(s, gr, why);
		p->all->n[i]--;
		p->have.n[i]--;
		return true;
	}
	return false;
}

/*
 * Load: losses fell on one model, whose groups are overrun while those of
 * another have room. A domain that lacks a few servers with the weights for a group
 * of the first gives up a group of the second that has them; until then the
 * servers of the second serve.
 */
bool
donor_give_up(const struct step *s, struct plan *p, size_t want)
{
	return give_up(s, p, p->all, want,
	    count_free_holders(p->f, s->spec->models[want].name),
	    "its servers are needed elsewhere");
}

/* Groups of the model that serve now, in all domains. */
static size_t
count_serving(const struct step *s, const char *model)
{
	size_t n = 0;

	for (const struct group *gr = s->g->groups; gr != NULL; gr = gr->next)
		n +=
		    gr->phase == PHASE_SERVING && strcmp(gr->model, model) == 0;
	return n;
}

/* A group that waits for a load gets the servers of one that holds the weights. */
bool
donor_use_standby(const struct step *s, struct plan *p)
{
	if (donor_is_closing(p))
		return false;
	for (size_t m = 0; m < s->spec->model_count; m++) {
		struct waiting w = regroup_waiting(s, p, m);
		struct counts serving = *p->all;

		if (w.groups == 0)
			continue;
		/* One that waits is none yet. */
		serving.n[m] = count_serving(s, s->spec->models[m].name);
		if (give_up(s, p, &serving, m, w.holders,
			"its hosts hold weights that others wait for"))
			return true;
	}
	return false;
}

/* Before the first request: all groups beyond the target end at once. */
bool
donor_rebalance(const struct step *s, struct plan *p)
{
	bool any = false;

	if (!loads_are_free(s))
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
		lifecycle_close(s, gr, "the domain should hold other groups");
		p->have.n[i]--;
		p->all->n[i]--;
		any = true;
	}
	return any;
}
