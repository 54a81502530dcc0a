/* Which model needs another group most. */
#include <string.h>

#include "placing_internal.h"

void
count_group(const struct step *s, const struct group *gr, struct counts *c)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(gr->model));

	if (m != NULL && gr->phase != PHASE_RETIRED &&
	    gr->phase != PHASE_CLOSING)
		c->n[m - s->spec->models]++;
}

/* A model's share of the work is told in servers, so that a group's part of it
 * goes with its size. */
double
work_of_group(const struct step *s, size_t model, size_t groups)
{
	const struct ld_model_spec *m = &s->spec->models[model];

	return m->work_share / (double)m->size / (double)groups;
}

/*
 * The model whose groups would have most work each, of those that fit into
 * @room servers; -1 when none does.
 */
int
neediest(const struct step *s, const struct counts *have, size_t room)
{
	double most = 0;
	int best = -1;

	for (size_t i = 0; i < s->spec->model_count; i++) {
		const struct ld_model_spec *m = &s->spec->models[i];
		double work = work_of_group(s, i, have->n[i] + 1);

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
plan_lacks_holder(
    const struct step *s, const struct plan *p, const struct ld_server *v)
{
	for (size_t i = 0; i < s->spec->model_count; i++)
		if (p->have.n[i] < p->target.n[i] &&
		    server_holds(v, s->spec->models[i].name))
			return true;
	return false;
}

/*
 * Groups that a domain of @servers servers should hold, so that groups of a
 * small model do not use up what a large one needs.
 */
struct counts
target_of(const struct step *s, size_t servers)
{
	struct counts t = {{0}};
	int i;

	while ((i = neediest(s, &t, servers)) >= 0) {
		t.n[i]++;
		servers -= s->spec->models[i].size;
	}
	return t;
}
