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
is_candidate(const struct step *s, const struct group *gr,
    const struct ld_model_spec *large)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(gr->model));

	return gr->phase == PHASE_SERVING && m != NULL && m->size < large->size;
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
best_group(const struct step *s, const struct plan *p,
    const struct ld_model_spec *large, size_t *holders)
{
	struct group *best = NULL;

	*holders = 0;
	for (struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain) {
		size_t n;

		if (!is_candidate(s, gr, large))
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
largest_model(const struct step *s, const struct plan *p)
{
	int best = -1;

	for (size_t i = 0; i < s->spec->model_count; i++)
		if (p->have.n[i] > 0 &&
		    (best < 0 ||
			s->spec->models[i].size > s->spec->models[best].size))
			best = (int)i;
	return best;
}

void
standby_step(const struct step *s, const struct plan *p, size_t hosts)
{
	int large = largest_model(s, p);
	const struct ld_model_spec *m;
	const struct group *gr;
	size_t holders;

	if (large < 0 || (hosts > 1 && !loads_are_idle(s)))
		return;
	m = &s->spec->models[large];
	gr = best_group(s, p, m, &holders);
	if (gr == NULL)
		return;
	for (size_t i = gr->member_count; i-- > 0;) {
		struct ld_server *v = usable_member(s, gr, i);

		if (v == NULL || server_holds(v, m->name))
			continue;
		if (holders < hosts && !spares_still_loading(s, v))
			spares_stage(s, v, m->name);
		holders += spares_still_loading(s, v);
	}
}
