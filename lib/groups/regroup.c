/*
 * Forms groups anew that wait for loads while other servers of the domain, free
 * or in another waiting group, have the weights. Happens with several losses in
 * one domain within the time of a load, when servers crash, are cut off and
 * return.
 */
#include <string.h>

#include "placing_internal.h"

/* A group is dissolved only if its load takes longer than this, ms: about the
 * time in which members that have the weights join and open. */
#define REGROUP_MIN_WAIT_MS 3000

struct ld_server *
usable_member(const struct tick *s, const struct group *gr, size_t i)
{
	struct ld_server *v =
	    ld_servers_find(s->servers, ld_str_c(gr->members[i].id));

	if (v == NULL || !v->listed || v->entry.leaving ||
	    server_info_get(s->g, v)->failed_probes > 0)
		return NULL;
	return v;
}

/* Members that have the weights; *waits: another one's load takes a while. */
static size_t
count_with_weights(const struct tick *s, const struct group *gr,
    const struct ld_model_spec *m, bool *waits)
{
	size_t n = 0;

	*waits = false;
	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v = usable_member(s, gr, i);

		if (v != NULL && server_has_weights(v, m->name))
			n++;
		else if (gr->members[i].ordered_ms + m->load_ms >
		    s->now_ms + REGROUP_MIN_WAIT_MS)
			*waits = true;
	}
	return n;
}

/* Frees the members; those that are loading continue, as spares. */
static void
dissolve(const struct tick *s, struct group *gr, const struct ld_model_spec *m,
    struct free_servers *f)
{
	group_set_phase(gr, PHASE_RETIRED, s->now_ms);
	change_add(s->g, "retired", gr, "",
	    "other servers have the weights that it waits for");
	for (size_t i = 0; i < gr->member_count; i++) {
		struct ld_server *v = usable_member(s, gr, i);

		if (v == NULL || f->n == DOMAIN_SERVERS_MAX)
			continue;
		f->v[f->n++] = v;
		if (!server_has_weights(v, m->name))
			spares_note_loading(s, v, m->name);
	}
}

/* Whether the group waits for a load; if so, adds its members that have the
 * weights to *with_weights. */
static bool
is_waiting(const struct tick *s, const struct group *gr,
    const struct ld_model_spec *m, size_t *with_weights)
{
	bool waits;
	size_t n;

	/* The previous leader may have ordered the head of an adopted group to
	 * open. */
	if (gr->phase != PHASE_FORMING || gr->adopted ||
	    strcmp(gr->model, m->name) != 0)
		return false;
	n = count_with_weights(s, gr, m, &waits);
	if (!waits)
		return false;
	*with_weights += n;
	return true;
}

struct waiting_groups
regroup_count_waiting(const struct tick *s, const struct plan *p, size_t model)
{
	const struct ld_model_spec *m = &s->spec->models[model];
	struct waiting_groups w = {
	    .with_weights = count_free_with_weights(p->free, m->name)};

	w.has_free_server = w.with_weights > 0;
	for (const struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain)
		w.groups += is_waiting(s, gr, m, &w.with_weights);
	return w;
}

void
regroup(const struct tick *s, struct plan *p, size_t model)
{
	const struct ld_model_spec *m = &s->spec->models[model];
	struct waiting_groups w = regroup_count_waiting(s, p, model);

	/* A single group gains nothing by it. */
	if (w.groups + w.has_free_server < 2 || w.with_weights < m->size)
		return;
	for (struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain) {
		if (!is_waiting(s, gr, m, &w.with_weights))
			continue;
		dissolve(s, gr, m, p->free);
		p->have.n[model]--;
		p->all->n[model]--;
	}
}
