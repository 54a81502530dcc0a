/* Demand: work per group of each model, and the groups that a domain should
 * have. */
#include <string.h>

#include "placing_internal.h"

void
count_group(const struct tick *s, const struct group *gr, struct counts *c)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(gr->model));

	if (m != NULL && gr->phase != PHASE_RETIRED &&
	    gr->phase != PHASE_CLOSING)
		c->n[m - s->spec->models]++;
}

/* A model's share of the work is a share of the servers, so a group's part of
 * it is relative to its size. */
double
work_per_group(const struct tick *s, size_t model, size_t groups)
{
	const struct ld_model_spec *m = &s->spec->models[model];

	return m->work_share / (double)m->size / (double)groups;
}

/*
 * Picks the model whose groups would have the most work each, among models
 * whose groups fit into @room servers.
 */
int
busiest_model(const struct tick *s, const struct counts *have, size_t room)
{
	double most = 0;
	int best = -1;

	for (size_t i = 0; i < s->spec->model_count; i++) {
		const struct ld_model_spec *m = &s->spec->models[i];
		double work = work_per_group(s, i, have->n[i] + 1);

		if (m->size > room || m->size > LD_GROUP_SIZE_MAX)
			continue;
		if (best >= 0 && work <= most)
			continue;
		best = (int)i;
		most = work;
	}
	return best;
}

bool
plan_needs_server(
    const struct tick *s, const struct plan *p, const struct ld_server *v)
{
	for (size_t i = 0; i < s->spec->model_count; i++)
		if (p->have.n[i] < p->target.n[i] &&
		    server_has_weights(v, s->spec->models[i].name))
			return true;
	return false;
}

/*
 * A target for the whole domain keeps groups of a small model from using up the
 * servers that a large one needs.
 */
struct counts
target_groups(const struct tick *s, size_t servers)
{
	struct counts t = {{0}};
	int i;

	while ((i = busiest_model(s, &t, servers)) >= 0) {
		t.n[i]++;
		servers -= s->spec->models[i].size;
	}
	return t;
}
