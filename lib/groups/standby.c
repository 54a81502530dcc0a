/*
 * Weights of the largest model on the hosts of a group of a smaller one: a host
 * loads beside all else that its server does.
 * Load: losses on groups of the largest model in domains whose spares don't hold
 * its weights. Such a group stands still for the time of a load; with these hosts
 * it gets its member at the price of the small group, which is formed again of
 * what is left.
 */
#include <string.h>

#include "placing_internal.h"

/* A small group that serves in the domain, with a host that may be asked. */
static bool
is_candidate(const struct step *s, const struct group *gr, const char *domain,
    const struct ld_model_spec *large)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(gr->model));

	return gr->phase == PHASE_SERVING && m != NULL &&
	    m->size < large->size && strcmp(gr->domain, domain) == 0;
}

size_t
standby_count(const struct step *s, const struct group *gr, const char *model)
{
	size_t n = 0;

	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v = usable_member(s, gr, i);

		n += v != NULL && server_holds(v, model);
	}
	return n;
}

/* Of the small groups of the domain the one with most of the weights; of equals
 * the one that was formed first. */
static struct group *
best_group(const struct step *s, const char *domain,
    const struct ld_model_spec *large, size_t *holders)
{
	struct group *best = NULL;

	*holders = 0;
	for (struct group *gr = s->g->groups; gr != NULL; gr = gr->next) {
		size_t n;

		if (!is_candidate(s, gr, domain, large))
			continue;
		n = standby_count(s, gr, large->name);
		if (best != NULL &&
		    (n < *holders ||
			(n == *holders && gr->epoch > best->epoch)))
			continue;
		best = gr;
		*holders = n;
	}
	return best;
}

/* The largest model that the domain has groups of, -1 when it has none. */
static int
largest_model(const struct step *s, const char *domain)
{
	struct counts have = count_groups(s, domain);
	int best = -1;

	for (size_t i = 0; i < s->spec->model_count; i++)
		if (have.n[i] > 0 &&
		    (best < 0 ||
			s->spec->models[i].size > s->spec->models[best].size))
			best = (int)i;
	return best;
}

void
standby_step(const struct step *s, const struct plan *p, size_t hosts)
{
	int large = largest_model(s, p->domain);
	const struct ld_model_spec *m;
	const struct group *gr;
	size_t holders;

	if (large < 0)
		return;
	m = &s->spec->models[large];
	gr = best_group(s, p->domain, m, &holders);
	if (gr == NULL)
		return;
	for (size_t i = gr->member_count; i-- > 0;) {
		struct ld_server *v = usable_member(s, gr, i);

		if (v == NULL || server_holds(v, m->name))
			continue;
		if (holders < hosts && !spares_still_loading(s, v) &&
		    (hosts == 1 || loads_are_idle(s)))
			spares_stage(s, v, m->name);
		holders += spares_still_loading(s, v);
	}
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

bool
standby_use(const struct step *s, size_t model, const char *domain,
    size_t holders, struct counts *all)
{
	const struct ld_model_spec *large = &s->spec->models[model], *small;
	struct counts serving = *all;
	size_t with, i;
	struct group *gr = best_group(s, domain, large, &with);

	if (gr == NULL || holders + with < large->size)
		return false;
	small = ld_engine_model(s->spec, ld_str_c(gr->model));
	i = (size_t)(small - s->spec->models);
	/* The others of the small model take its work over. */
	serving.n[model] = count_serving(s, large->name);
	if (!donor_is_worth_it(s, &serving, model, i))
		return false;
	lifecycle_close(s, gr, "its hosts hold weights that others wait for");
	all->n[i]--;
	return true;
}
