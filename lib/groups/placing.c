/* Which free servers of a fabric domain form a group of which model. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "placing_internal.h"

/* A server that is in no group and gave no answer is asked again after, ms: a few
 * times before the entry of one that is lost lapses. */
#define ASK_AGAIN_MS 1000
/* After a change of the holder, ms: orders that were under way take effect
 * and show in the servers' entries. */
#define SETTLE_MS 600
/* At the first start a domain is left alone while servers register themselves:
 * until none was new for so long, but no longer than the second figure, ms. */
#define FIRST_QUIET_MS 1000
#define FIRST_WAIT_MS 4000
/* Left-over servers form a group of a model whose groups would have at least
 * this part of the work of the neediest one's. */
#define FILL_SHARE 0.75

/* ---- Servers ---- */

bool
server_holds(const struct ld_server *v, const char *model)
{
	for (size_t i = 0; i < v->entry.staged_count; i++)
		if (strcmp(v->entry.staged[i], model) == 0)
			return true;
	return v->entry.member.model != NULL &&
	    strcmp(v->entry.member.model, model) == 0;
}

static bool
was_in(const struct ld_server *v, const char *model)
{
	return v->entry.member.model != NULL &&
	    strcmp(v->entry.member.model, model) == 0;
}

/* Members of a group that is not retired: its head may still serve. */
void
placing_mark_taken(const struct step *s)
{
	uint64_t pass = ++s->g->pass;

	for (const struct group *gr = s->g->groups; gr != NULL; gr = gr->next) {
		if (gr->phase == PHASE_RETIRED)
			continue;
		for (size_t i = 0; i < gr->member_count; i++) {
			const struct ld_server *v = ld_servers_find(
			    s->servers, ld_str_c(gr->members[i].id));

			if (v != NULL)
				note_of(s->g, v)->taken_in = pass;
		}
	}
}

/* A server that gave no answer is used again once it does: it may only have been
 * cut off, or slow, for a while. */
static bool
answers(const struct step *s, struct note *n)
{
	if (n->misses > 0)
		note_ask(s, n, ASK_AGAIN_MS);
	return n->misses == 0;
}

static bool
is_free(const struct step *s, const struct ld_server *v)
{
	struct note *n;

	if (!v->listed || v->entry.leaving || v->entry.domain == NULL ||
	    !ld_str_eq(ld_str_c(v->entry.service), s->service))
		return false;
	n = note_of(s->g, v);
	return n->taken_in != s->g->pass && answers(s, n) &&
	    s->now_ms >= n->avoid_until_ms;
}

bool
placing_has_spare(const struct step *s, const char *domain, const char *model)
{
	for (const struct ld_server *v = ld_servers_first(s->servers);
	     v != NULL; v = v->next)
		if (v->entry.domain != NULL &&
		    strcmp(v->entry.domain, domain) == 0 &&
		    server_holds(v, model) && is_free(s, v))
			return true;
	return false;
}

/* ---- Which servers ---- */

/* Lower is taken first: soonest ready, then least useful elsewhere. */
static int
rank_for(const struct ld_server *v, const char *model)
{
	if (was_in(v, model))
		return 0;
	if (server_holds(v, model))
		return 1;
	return v->entry.staged_count == 0 ? 2 : 3;
}

static struct ld_server *
take_best(struct free_servers *f, const char *model)
{
	struct ld_server *best;
	size_t at = 0;

	for (size_t i = 1; i < f->n; i++)
		if (rank_for(f->v[i], model) < rank_for(f->v[at], model))
			at = i;
	best = f->v[at];
	f->v[at] = f->v[--f->n];
	return best;
}

size_t
count_free_holders(const struct free_servers *f, const char *model)
{
	size_t n = 0;

	for (size_t i = 0; i < f->n; i++)
		n += server_holds(f->v[i], model);
	return n;
}

static size_t
count_loads(const struct free_servers *f, const char *model, size_t size)
{
	size_t have = count_free_holders(f, model);

	return have >= size ? 0 : size - have;
}

static void
form(const struct step *s, struct plan *p, const struct ld_model_spec *m)
{
	struct group *gr = ld_alloc(sizeof(*gr));

	gr->epoch = ++s->g->last_epoch;
	snprintf(gr->model, sizeof(gr->model), "%s", m->name);
	group_name(gr->name, m->name, gr->epoch);
	snprintf(gr->domain, sizeof(gr->domain), "%s", p->domain);
	gr->member_count = m->size;
	for (size_t i = 0; i < m->size; i++)
		snprintf(gr->members[i].id, sizeof(gr->members[i].id), "%s",
		    take_best(p->f, m->name)->entry.id);
	gr->next = s->g->groups;
	s->g->groups = gr;
	gr->next_in_domain = p->groups;
	p->groups = gr;
	group_set_phase(gr, PHASE_FORMING, s->now_ms);
	change_add(s->g, "forming", gr, gr->members[0].id, "servers are free");
}

static bool
form_next(const struct step *s, struct plan *p, size_t model)
{
	const struct ld_model_spec *m = &s->spec->models[model];

	if (m->size > p->f->n || ld_groups_spent(s->g) ||
	    !loads_take(s, count_loads(p->f, m->name, m->size)))
		return false;
	form(s, p, m);
	p->have.n[model]++;
	p->all->n[model]++;
	return true;
}

/* ---- What a domain should hold ---- */

/*
 * Servers that are left over form whatever fits, unless another model needs
 * them much more and only lacks a few that may come.
 */
static bool
fill(const struct step *s, struct plan *p)
{
	int fits = neediest(s, p->all, p->f->n);
	int want = neediest(s, p->all, p->servers);

	if (fits < 0 || donor_is_closing(p))
		return false;
	if (work_of_group(s, (size_t)fits, p->all->n[fits] + 1) <
	    FILL_SHARE * work_of_group(s, (size_t)want, p->all->n[want] + 1))
		return false;
	return form_next(s, p, (size_t)fits);
}

/* Groups of servers that all hold the weights, at most @most of the model. */
static void
form_loaded(const struct step *s, struct plan *p, size_t model, size_t most)
{
	const struct ld_model_spec *m = &s->spec->models[model];

	while (p->have.n[model] < most && p->f->n >= m->size &&
	    count_loads(p->f, m->name, m->size) == 0 && form_next(s, p, model))
		;
}

static void
form_all_loaded(const struct step *s, struct plan *p)
{
	for (size_t m = 0; m < s->spec->model_count; m++)
		form_loaded(
		    s, p, m, loads_are_free(s) ? p->target.n[m] : SIZE_MAX);
}

/*
 * Groups of the model up to what the domain should hold: of servers with the
 * weights, or with those of a small group's hosts, and only then with loads.
 * Return: false while one waits for servers or for its turn at the weight store.
 */
static bool
form_target(const struct step *s, struct plan *p, size_t model)
{
	size_t target = p->target.n[model];

	form_loaded(s, p, model, target);
	if (p->have.n[model] >= target)
		return true;
	if (donor_is_closing(p) || donor_rebalance(s, p) ||
	    donor_give_up(s, p, model))
		return false;
	while (p->have.n[model] < target && form_next(s, p, model))
		;
	return p->have.n[model] >= target ||
	    p->f->n < s->spec->models[model].size;
}

/* First what the domain should hold, then whatever fits the rest. */
static void
form_groups(const struct step *s, struct plan *p)
{
	for (size_t m = 0; m < s->spec->model_count; m++) {
		regroup(s, p, m);
		/* What needs no load serves meanwhile. */
		if (!form_target(s, p, m)) {
			form_all_loaded(s, p);
			return;
		}
	}
	if (donor_use_standby(s, p))
		return;
	while (fill(s, p))
		;
}

/* ---- Domain by domain ---- */

/** struct domain - servers of one fabric domain */
struct domain {
	const char *name;
	size_t servers; /* that may be in a group */
	uint64_t newest_ms; /* when the last one was first seen */
	bool filling; /* servers may still be about to register */
	struct free_servers free;
	struct plan plan;
	struct group **end; /* of the plan's groups, while they are sorted */
};

static struct domain *
domain_of(struct ld_groups *g, size_t *n, const char *name)
{
	struct domain *d;

	/* Servers of a domain mostly start one after the other. */
	if (*n > 0 && strcmp(g->domains[*n - 1].name, name) == 0)
		return &g->domains[*n - 1];
	for (size_t i = 0; i < *n; i++)
		if (strcmp(g->domains[i].name, name) == 0)
			return &g->domains[i];
	if (*n == g->domain_room) {
		g->domain_room = 2 * g->domain_room + 1;
		g->domains = ld_realloc(
		    g->domains, g->domain_room * sizeof(*g->domains));
	}
	d = &g->domains[(*n)++];
	d->name = name;
	d->servers = d->free.n = 0;
	d->newest_ms = 0;
	return d;
}

/* Sorts the servers by domain, in one pass; returns the number of domains. */
static size_t
survey(const struct step *s)
{
	size_t n = 0;

	for (struct ld_server *v = ld_servers_first(s->servers); v != NULL;
	     v = v->next) {
		struct domain *d;

		if (v->entry.domain == NULL)
			continue;
		d = domain_of(s->g, &n, v->entry.domain);
		if (!v->listed || v->entry.leaving ||
		    !ld_str_eq(ld_str_c(v->entry.service), s->service))
			continue;
		d->servers++;
		if (v->seen_ms > d->newest_ms)
			d->newest_ms = v->seen_ms;
		if (d->free.n < DOMAIN_SERVERS_MAX && is_free(s, v))
			d->free.v[d->free.n++] = v;
	}
	return n;
}

/* Whether servers of the domain may still be about to register. */
static bool
still_filling(const struct step *s, const struct domain *d)
{
	return loads_are_free(s) && s->now_ms < s->g->lead_ms + FIRST_WAIT_MS &&
	    s->now_ms < d->newest_ms + FIRST_QUIET_MS;
}

/* The domain of a group: groups mostly follow those of the same. */
static struct domain *
domain_of_group(
    const struct step *s, size_t n, const struct group *gr, size_t *last)
{
	for (size_t i = 0; i < n; i++) {
		struct domain *d = &s->g->domains[(*last + i) % n];

		if (strcmp(d->name, gr->domain) != 0)
			continue;
		*last = (*last + i) % n;
		return d;
	}
	return NULL;
}

/* Sorts the groups by domain; in @all they are counted over all domains. */
static void
begin_plans(const struct step *s, size_t n, struct counts *all)
{
	size_t last = 0;

	for (size_t i = 0; i < n; i++) {
		struct domain *d = &s->g->domains[i];

		d->filling = still_filling(s, d);
		d->plan = (struct plan){
		    .domain = d->name,
		    .servers = d->servers,
		    .f = &d->free,
		    .target = target_of(s, d->servers),
		    .all = all,
		};
		d->end = &d->plan.groups;
	}
	for (struct group *gr = s->g->groups; gr != NULL; gr = gr->next) {
		struct domain *d;

		if (gr->phase == PHASE_RETIRED)
			continue;
		count_group(s, gr, all);
		d = domain_of_group(s, n, gr, &last);
		if (d == NULL)
			continue;
		count_group(s, gr, &d->plan.have);
		gr->next_in_domain = NULL;
		*d->end = gr;
		d->end = &gr->next_in_domain;
	}
}

void
placing_step(const struct step *s)
{
	struct counts all = {{0}};
	size_t n;

	loads_refill(s);
	if (s->now_ms < s->g->lead_ms + SETTLE_MS || s->spec->model_count == 0)
		return;
	placing_mark_taken(s);
	s->g->loads_counted = false;
	n = survey(s);
	begin_plans(s, n, &all);
	for (size_t i = 0; i < n; i++)
		if (!s->g->domains[i].filling)
			form_groups(s, &s->g->domains[i].plan);
	/* Loads are scarce: groups that need them go first, in all domains. */
	for (size_t i = 0; i < n; i++)
		if (!s->g->domains[i].filling)
			spares_step(s, &s->g->domains[i].plan);
	for (size_t hosts = 1; hosts <= STANDBY_HOSTS; hosts++)
		for (size_t i = 0; i < n; i++)
			if (!s->g->domains[i].filling)
				standby_step(s, &s->g->domains[i].plan, hosts);
}
