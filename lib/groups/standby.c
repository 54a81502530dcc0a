/*
 * Standby: stages the weights of the largest model on hosts of a group of a
 * smaller model, which load them in the background. For losses in groups of the
 * largest model in domains whose spares don't have its weights. Such a group
 * would stand still for the time of a load. A standby host replaces the lost
 * member instead; the small group is closed for it, and formed again of the
 * remaining servers.
 */
#include <string.h>

#include "placing_internal.h"

/* Whether hosts of the group may be standby hosts of the model @large. */
static bool
is_candidate(const struct tick *s, const struct group *gr,
    const struct ld_model_spec *large)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(gr->model));

	return gr->phase == PHASE_SERVING && m != NULL && m->size < large->size;
}

size_t
standby_count(const struct tick *s, const struct group *gr, const char *model)
{
	size_t n = 0;

	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v = usable_member(s, gr, i);

		n += v != NULL && server_has_weights(v, model);
	}
	return n;
}

/* Of the domain's small groups, the one with most hosts that have the weights;
 * among equals, the one formed first. */
static struct group *
best_group(const struct tick *s, const struct plan *p,
    const struct ld_model_spec *large, size_t *with_weights)
{
	struct group *best = NULL;

	*with_weights = 0;
	for (struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain) {
		size_t n;

		if (!is_candidate(s, gr, large))
			continue;
		n = standby_count(s, gr, large->name);
		if (best != NULL &&
		    (n < *with_weights ||
			(n == *with_weights && gr->epoch > best->epoch)))
			continue;
		best = gr;
		*with_weights = n;
	}
	return best;
}

/* The largest model of which the domain has groups; -1 if it has no group. */
static int
largest_model(const struct tick *s, const struct plan *p)
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
standby_step(const struct tick *s, const struct plan *p, size_t hosts)
{
	int large = largest_model(s, p);
	const struct ld_model_spec *m;
	const struct group *gr;
	size_t with_weights;

	if (large < 0 || (hosts > 1 && !loads_have_slack(s)))
		return;
	m = &s->spec->models[large];
	gr = best_group(s, p, m, &with_weights);
	if (gr == NULL)
		return;
	for (size_t i = gr->member_count; i-- > 0;) {
		struct ld_server *v = usable_member(s, gr, i);

		if (v == NULL || server_has_weights(v, m->name))
			continue;
		if (with_weights < hosts && !spares_still_loading(s, v))
			spares_stage(s, v, m->name);
		with_weights += spares_still_loading(s, v);
	}
}
