/* Spares: which weights are staged on the servers that are in no group. */
#include <stdio.h>
#include <string.h>

#include "placing_internal.h"

/* Interval at which an order to stage without visible effect is resent, ms. */
#define STAGE_RETRY_MS 3000
/* Minimum ratio of values for which a spare replaces its weights by others. */
#define RESTAGE_MIN_GAIN 2.0
/* A leaving member counts as this many members that may be lost. */
#define LEAVING_LOSS_FACTOR 10.0

/* Members of the domain's groups that are leaving. */
static struct counts
count_leaving(const struct tick *s, const struct plan *p)
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

/** struct demand - what the spares of a domain may have to replace */
struct demand {
	struct counts groups;
	struct counts leaving; /* members that are leaving, by model */
};

/* The value of one more spare with the weights of model @i. Spares replace lost
 * members, and a model loses members in proportion to the servers in its
 * groups; a leaving member is certain to be lost. */
static double
spare_value(const struct tick *s, const struct demand *d,
    const struct counts *held, size_t i)
{
	double at_risk =
	    (double)s->spec->models[i].size * (double)d->groups.n[i];

	if (d->leaving.n[i] > held->n[i])
		return LEAVING_LOSS_FACTOR * at_risk;
	return at_risk / (double)(held->n[i] + 1);
}

/* The model of highest value; among equals, the one that fewer spares have. */
static int
model_for_spare(
    const struct tick *s, const struct demand *d, const struct counts *held)
{
	int best = -1;

	for (size_t i = 0; i < s->spec->model_count; i++) {
		double value = spare_value(s, d, held, i);
		double most =
		    best < 0 ? -1.0 : spare_value(s, d, held, (size_t)best);

		if (value > most ||
		    (value == most && held->n[i] < held->n[best]))
			best = (int)i;
	}
	return best;
}

void
spares_note_loading(
    const struct tick *s, struct ld_server *v, const char *model)
{
	struct server_info *info = server_info_get(s->g, v);

	snprintf(info->stage_model, sizeof(info->stage_model), "%s", model);
	info->stage_ordered_ms = s->now_ms;
}

void
spares_stage(const struct tick *s, struct ld_server *v, const char *model)
{
	struct server_info *info = server_info_get(s->g, v);
	struct ld_order *o;

	if (info->stage_ordered_ms != 0 &&
	    strcmp(info->stage_model, model) == 0 &&
	    s->now_ms < info->stage_ordered_ms + STAGE_RETRY_MS)
		return;
	if (!loads_reserve(s, 1))
		return;
	o = order_add(s->g, LD_ORDER_STAGE, v, NULL);
	snprintf(o->model, sizeof(o->model), "%s", model);
	spares_note_loading(s, v, model);
}

/* The model whose weights a spare has or was ordered to load; -1 for none. */
static int
spare_model(const struct tick *s, const struct ld_server *v)
{
	const struct server_info *info = server_info_get(s->g, v);

	for (size_t i = 0; i < s->spec->model_count; i++) {
		const char *name = s->spec->models[i].name;

		if (info->stage_ordered_ms != 0
			? strcmp(info->stage_model, name) == 0
			: server_has_weights(v, name))
			return (int)i;
	}
	return -1;
}

bool
spares_still_loading(const struct tick *s, const struct ld_server *v)
{
	const struct server_info *info = server_info_get(s->g, v);

	return info->stage_ordered_ms != 0 &&
	    !server_has_weights(v, info->stage_model);
}

void
spares_step(const struct tick *s, const struct plan *p)
{
	const struct free_servers *f = p->free;
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
		    plan_needs_server(s, p, f->v[i]))
			continue;
		if (has >= 0)
			held.n[has]--;
		want = model_for_spare(s, &d, &held);
		/* Replacing weights costs a load: only for a clear gain. */
		if (has >= 0 && want >= 0 &&
		    spare_value(s, &d, &held, (size_t)want) < RESTAGE_MIN_GAIN *
			    spare_value(s, &d, &held, (size_t)has))
			want = has;
		if (want >= 0)
			held.n[want]++;
		if (want >= 0 && want != has)
			spares_stage(s, f->v[i], s->spec->models[want].name);
	}
}
