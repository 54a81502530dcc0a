/* Small groups that are given up for a group of a model that is short of servers. */
#include <string.h>

#include "placing_internal.h"

/* A group is given up for one of another model whose groups would still have
 * so many times its work: the change has to be made up for. */
#define GIVE_UP_GAIN 1.2

bool
donor_is_closing(const struct step *s, const char *domain)
{
	for (const struct group *gr = s->g->groups; gr != NULL; gr = gr->next)
		if (gr->phase == PHASE_CLOSING &&
		    strcmp(gr->domain, domain) == 0)
			return true;
	return false;
}

/* Of the model's groups that serve, the one with most of the weights of @want. */
static struct group *
find_serving(const struct step *s, const char *domain, const char *model,
    const char *want)
{
	struct group *best = NULL;
	size_t most = 0;

	for (struct group *gr = s->g->groups; gr != NULL; gr = gr->next) {
		size_t n;

		if (gr->phase != PHASE_SERVING ||
		    strcmp(gr->domain, domain) != 0 ||
		    strcmp(gr->model, model) != 0)
			continue;
		n = standby_count(s, gr, want);
		if (best != NULL && n <= most)
			continue;
		best = gr;
		most = n;
	}
	return best;
}

/*
 * Load: losses fell on one model, whose groups are overrun while those of
 * another have room. A domain that lacks a few servers for a group of the
 * first gives up a group of the second, once no member would have to load: the
 * servers given up serve until then.
 */
static bool
give_up_for(const struct step *s, struct plan *p, size_t want)
{
	const struct ld_model_spec *w = &s->spec->models[want];
	size_t holders = count_free_holders(p->f, w->name);

	for (size_t i = 0; i < s->spec->model_count && w->size > p->f->n; i++) {
		const struct ld_model_spec *m = &s->spec->models[i];
		struct group *gr;

		if (i == want || p->all->n[i] < 2 ||
		    p->f->n + m->size < w->size ||
		    work_of_group(s, want, p->all->n[want] + 1) <
			GIVE_UP_GAIN * work_of_group(s, i, p->all->n[i] - 1))
			continue;
		gr = find_serving(s, p->domain, m->name, w->name);
		if (gr == NULL ||
		    (!loads_are_free(s) &&
			holders + standby_count(s, gr, w->name) < w->size))
			continue;
		lifecycle_close(s, gr, "its servers are needed elsewhere");
		p->all->n[i]--;
		p->have.n[i]--;
		return true;
	}
	return false;
}

/* A group that waits for a load gets the servers of one that holds the weights. */
static bool
use_standby(const struct step *s, struct plan *p)
{
	for (size_t m = 0; m < s->spec->model_count; m++) {
		struct waiting w = regroup_waiting(s, m, p->domain, p->f);

		if (w.groups > 0 &&
		    standby_use(s, m, p->domain, w.holders, p->all))
			return true;
	}
	return false;
}

bool
donor_use(const struct step *s, struct plan *p)
{
	int want = neediest(s, p->all, p->servers);

	if (donor_is_closing(s, p->domain))
		return false;
	return use_standby(s, p) ||
	    (want >= 0 && give_up_for(s, p, (size_t)want));
}
