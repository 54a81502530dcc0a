/* Which weights the servers hold ready that are in no group. */
#include <stdio.h>
#include <string.h>

#include "placing_internal.h"

/* A staging order without effect is repeated after, ms. */
#define STAGE_RETRY_MS 3000
/* A spare loads other weights when they are worth so many times as much. */
#define RESTAGE_GAIN 2.0
/* A member that leaves counts as so many that may be lost. */
#define CERTAIN_LOSS 10.0

/* Members of the domain's groups that are leaving. */
static struct counts
count_leaving(const struct step *s, const struct plan *p)
{
	struct counts c = {{0}};

	for (const struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain) {
		const struct ld_model_spec *m;

		if (gr->phase != PHASE_SERVING)
			continue;
		m = ld_engine_model(s->spec, ld_str_c(gr->model));
		if (m == NULL)
			continue;
		for (size_t i = 0; i < gr->member_count; i++) {
			const struct ld_server *v = ld_servers_find(
			    s->servers, ld_str_c(gr->members[i].id));

			c.n[m - s->spec->models] +=
			    v != NULL && v->entry.leaving;
		}
	}
	return c;
}

/** struct demand - what spares of a domain may be needed for */
struct demand {
	struct counts groups;
	struct counts leaving;
};

/* How much one more spare with the weights of model @i is worth: spares
 * replace lost members, and a model loses members in proportion to the servers
 * in its groups; a member that leaves is lost for certain. */
static double
spare_worth(const struct step *s, const struct demand *d,
    const struct counts *held, size_t i)
{
	double at_risk =
	    (double)s->spec->models[i].size * (double)d->groups.n[i];

	if (d->leaving.n[i] > held->n[i])
		return CERTAIN_LOSS * at_risk;
	return at_risk / (double)(held->n[i] + 1);
}

/* Between two that are as likely, the one that no spare holds yet. */
static int
model_for_spare(
    const struct step *s, const struct demand *d, const struct counts *held)
{
	int best = -1;

	for (size_t i = 0; i < s->spec->model_count; i++) {
		double worth = spare_worth(s, d, held, i);
		double most =
		    best < 0 ? -1.0 : spare_worth(s, d, held, (size_t)best);

		if (worth > most ||
		    (worth == most && held->n[i] < held->n[best]))
			best = (int)i;
	}
	return best;
}

void
spares_note_loading(
    const struct step *s, struct ld_server *v, const char *model)
{
	struct note *n = note_of(s->g, v);

	snprintf(n->staging, sizeof(n->staging), "%s", model);
	n->staged_ms = s->now_ms;
}

void
spares_stage(const struct step *s, struct ld_server *v, const char *model)
{
	struct note *n = note_of(s->g, v);
	struct ld_order *o;

	if (n->staged_ms != 0 && strcmp(n->staging, model) == 0 &&
	    s->now_ms < n->staged_ms + STAGE_RETRY_MS)
		return;
	if (!loads_take(s, 1))
		return;
	o = order_add(s->g, LD_ORDER_STAGE, v, NULL);
	snprintf(o->model, sizeof(o->model), "%s", model);
	spares_note_loading(s, v, model);
}

/* The model whose weights a spare holds, or was told to load; -1 for none. */
static int
spare_model(const struct step *s, const struct ld_server *v)
{
	const struct note *n = note_of(s->g, v);

	for (size_t i = 0; i < s->spec->model_count; i++) {
		const char *name = s->spec->models[i].name;

		if (n->staged_ms != 0 ? strcmp(n->staging, name) == 0
				      : server_holds(v, name))
			return (int)i;
	}
	return -1;
}

bool
spares_still_loading(const struct step *s, const struct ld_server *v)
{
	const struct note *n = note_of(s->g, v);

	return n->staged_ms != 0 && !server_holds(v, n->staging);
}

void
spares_step(const struct step *s, const struct plan *p)
{
	const struct free_servers *f = p->f;
	struct demand d = {
	    .groups = p->have,
	    .leaving = count_leaving(s, p),
	};
	struct counts held = {{0}};

	for (size_t i = 0; i < f->n; i++) {
		int m = spare_model(s, f->v[i]);

		if (m >= 0)
			held.n[m]++;
	}
	for (size_t i = 0; i < f->n; i++) {
		int has = spare_model(s, f->v[i]), want;

		if (spares_still_loading(s, f->v[i]) ||
		    plan_lacks_holder(s, p, f->v[i]))
			continue;
		if (has >= 0)
			held.n[has]--;
		want = model_for_spare(s, &d, &held);
		/* Other weights are worth a load only for a clear gain. */
		if (has >= 0 && want >= 0 &&
		    spare_worth(s, &d, &held, (size_t)want) <
			RESTAGE_GAIN * spare_worth(s, &d, &held, (size_t)has))
			want = has;
		if (want >= 0)
			held.n[want]++;
		if (want >= 0 && want != has)
			spares_stage(s, f->v[i], s->spec->models[want].name);
	}
}
