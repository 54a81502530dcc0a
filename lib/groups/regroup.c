/*
 * Groups that wait for a load while other servers of the domain hold the weights,
 * free or in another group that waits.
 * Load: several losses in one domain within the time of a load, on days when
 * servers crash, are cut off and come back.
 */
#include <string.h>

#include "placing_internal.h"

/* A group is formed anew when its load would take longer than this, ms: about
 * what members that hold the weights take to join and open. */
#define WAIT_WORTH_MS 3000

struct ld_server *
usable_member(const struct step *s, const struct group *gr, size_t i)
{
	struct ld_server *v =
	    ld_servers_find(s->servers, ld_str_c(gr->members[i].id));

	if (v == NULL || !v->listed || v->entry.leaving ||
	    note_of(s->g, v)->misses > 0)
		return NULL;
	return v;
}

/* Members that hold the weights; *waits: another has long to load them yet. */
static size_t
count_holders(const struct step *s, const struct group *gr,
    const struct ld_model_spec *m, bool *waits)
{
	size_t n = 0;

	*waits = false;
	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v = usable_member(s, gr, i);

		if (v != NULL && server_holds(v, m->name))
			n++;
		else if (gr->members[i].ordered_ms + m->load_ms >
		    s->now_ms + WAIT_WORTH_MS)
			*waits = true;
	}
	return n;
}

/* Its members are free; one that loads goes on, as a spare. */
static void
dissolve(const struct step *s, struct group *gr, const struct ld_model_spec *m,
    struct free_servers *f)
{
	group_set_phase(gr, PHASE_RETIRED, s->now_ms);
	change_add(s->g, "retired", gr, "",
	    "others hold the weights that it waits for");
	for (size_t i = 0; i < gr->member_count; i++) {
		struct ld_server *v = usable_member(s, gr, i);

		if (v == NULL || f->n == DOMAIN_SERVERS_MAX)
			continue;
		f->v[f->n++] = v;
		if (!server_holds(v, m->name))
			spares_note_loading(s, v, m->name);
	}
}

/* Whether the group waits for a load; its holders are added to *holders. */
static bool
is_waiting(const struct step *s, const struct group *gr,
    const struct ld_model_spec *m, size_t *holders)
{
	bool waits;
	size_t n;

	/* The head of one that was taken up may have been told to open by the
	 * holder before. */
	if (gr->phase != PHASE_FORMING || gr->adopted ||
	    strcmp(gr->model, m->name) != 0)
		return false;
	n = count_holders(s, gr, m, &waits);
	if (!waits)
		return false;
	*holders += n;
	return true;
}

struct waiting
regroup_waiting(const struct step *s, const struct plan *p, size_t model)
{
	const struct ld_model_spec *m = &s->spec->models[model];
	struct waiting w = {.holders = count_free_holders(p->f, m->name)};

	w.has_free_holder = w.holders > 0;
	for (const struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain)
		w.groups += is_waiting(s, gr, m, &w.holders);
	return w;
}

void
regroup(const struct step *s, struct plan *p, size_t model)
{
	const struct ld_model_spec *m = &s->spec->models[model];
	struct waiting w = regroup_waiting(s, p, model);

	/* One group alone has nothing to gain. */
	if (w.groups + w.has_free_holder < 2 || w.holders < m->size)
		return;
	for (struct group *gr = p->groups; gr != NULL;
	     gr = gr->next_in_domain) {
		if (!is_waiting(s, gr, m, &w.holders))
			continue;
		dissolve(s, gr, m, p->f);
		p->have.n[model]--;
		p->all->n[model]--;
	}
}
