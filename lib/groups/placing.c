/* Placement: which free servers of a domain form a group of which model. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "placing_internal.h"

/* Interval between probes of a server in no group that did not answer, ms: a
 * lost server is probed a few times before its entry expires. */
#define REPROBE_MS 1000
/* No group is formed for this time after a change of leader, ms: pending orders
 * of the previous leader take effect and show in the servers' entries. */
#define LEADER_SETTLE_MS 600
/* At the first start of the system no group is formed in a domain while its
 * servers are registering: until no new one has registered for
 * STARTUP_QUIET_MS, but for STARTUP_WAIT_MAX_MS at most. */
#define STARTUP_QUIET_MS 1000
#define STARTUP_WAIT_MAX_MS 4000
/* Leftover servers form a group only if it would have at least this fraction of
 * the work of a group of the busiest model. */
#define LEFTOVER_MIN_WORK 0.75

/* ---- Servers ---- */

bool
server_has_weights(const struct ld_server *v, const char *model)
{
	for (size_t i = 0; i < v->entry.staged_count; i++)
		if (strcmp(v->entry.staged[i], model) == 0)
			return true;
	return v->entry.member.model != NULL &&
	    strcmp(v->entry.member.model, model) == 0;
}

static bool
has_member_model(const struct ld_server *v, const char *model)
{
	return v->entry.member.model != NULL &&
	    strcmp(v->entry.member.model, model) == 0;
}

/* Includes members of closing groups, whose head may still serve. */
static void
mark_member(const struct tick *s, const struct group *gr, size_t i)
{
	const struct ld_server *v = member_server(s, gr, i);
	enum presence p = PRESENCE_IN;
	uint64_t since_ms = 0;

	if (v == NULL)
		return;
	if (gr->phase == PHASE_CLOSING)
		p = closing_presence(s, gr, i, &since_ms);
	if (p == PRESENCE_IN)
		server_info_get(s->g, v)->grouped_pass = s->g->mark_pass;
	else if (p == PRESENCE_DOUBTFUL)
		pending_doubt(s, v, since_ms);
}

void
placing_mark_grouped(const struct tick *s)
{
	s->g->mark_pass++;
	for (const struct group *gr = s->g->groups; gr != NULL; gr = gr->next) {
		if (gr->phase == PHASE_RETIRED)
			continue;
		for (size_t i = 0; i < gr->member_count; i++)
			mark_member(s, gr, i);
	}
}

/* A server that did not answer is used again once it answers a probe: it may
 * only have been cut off or slow for a while. */
static bool
answers(const struct tick *s, struct server_info *info)
{
	if (info->failed_probes > 0)
		request_probe(s, info, REPROBE_MS);
	return info->failed_probes == 0;
}

static bool
is_free(const struct tick *s, const struct ld_server *v)
{
	struct server_info *info;

	if (!v->listed || v->entry.leaving || v->evacuated ||
	    v->entry.domain == NULL ||
	    !ld_str_eq(ld_str_c(v->entry.service), s->service))
		return false;
	info = server_info_get(s->g, v);
	return info->grouped_pass != s->g->mark_pass && answers(s, info) &&
	    s->now_ms >= info->avoid_until_ms && pending_is_confirmed(s, info);
}

bool
placing_has_spare(const struct tick *s, const char *domain, const char *model)
{
	for (const struct ld_server *v = ld_servers_first(s->servers);
	     v != NULL; v = v->next)
		if (v->entry.domain != NULL &&
		    strcmp(v->entry.domain, domain) == 0 &&
		    server_has_weights(v, model) && is_free(s, v))
			return true;
	return false;
}

/* ---- Selection of servers ---- */

/* Lowest is selected first: soonest ready, then least useful elsewhere. */
static int
selection_rank(const struct ld_server *v, const char *model)
{
	if (has_member_model(v, model))
		return 0;
	if (server_has_weights(v, model))
		return 1;
	return v->entry.staged_count == 0 ? 2 : 3;
}

static struct ld_server *
pop_best(struct free_servers *f, const char *model)
{
	struct ld_server *best;
	size_t at = 0;

	for (size_t i = 1; i < f->n; i++)
		if (selection_rank(f->v[i], model) <
		    selection_rank(f->v[at], model))
			at = i;
	best = f->v[at];
	f->v[at] = f->v[--f->n];
	return best;
}

size_t
count_free_with_weights(const struct free_servers *f, const char *model)
{
	size_t n = 0;

	for (size_t i = 0; i < f->n; i++)
		n += server_has_weights(f->v[i], model);
	return n;
}

static size_t
count_loads(const struct free_servers *f, const char *model, size_t size)
{
	size_t have = count_free_with_weights(f, model);

	return have >= size ? 0 : size - have;
}

static void
form_group(const struct tick *s, struct plan *p, const struct ld_model_spec *m)
{
	struct group *gr = ld_alloc(sizeof(*gr));

	gr->epoch = ++s->g->last_epoch;
	snprintf(gr->model, sizeof(gr->model), "%s", m->name);
	group_name(gr->name, m->name, gr->epoch);
	snprintf(gr->domain, sizeof(gr->domain), "%s", p->domain);
	gr->member_count = m->size;
	for (size_t i = 0; i < m->size; i++)
		snprintf(gr->members[i].id, sizeof(gr->members[i].id), "%s",
		    pop_best(p->free, m->name)->entry.id);
	gr->next = s->g->groups;
	s->g->groups = gr;
	gr->next_in_domain = p->groups;
	p->groups = gr;
	group_set_phase(gr, PHASE_FORMING, s->now_ms);
	change_add(s->g, "forming", gr, gr->members[0].id, "servers are free");
}

static bool
try_form_group(const struct tick *s, struct plan *p, size_t model)
{
	const struct ld_model_spec *m = &s->spec->models[model];

	if (m->size > p->free->n || ld_groups_epochs_exhausted(s->g) ||
	    !loads_reserve(s, count_loads(p->free, m->name, m->size)))
		return false;
	form_group(s, p, m);
	p->have.n[model]++;
	p->all->n[model]++;
	return true;
}

/* ---- Groups of one domain ---- */

/*
 * Leftover servers form any group that fits, unless a larger model needs them
 * much more: the servers that it lacks may become available.
 */
static bool
try_form_leftover(const struct tick *s, struct plan *p)
{
	int fits = busiest_model(s, p->all, p->free->n);
	int want = busiest_model(s, p->all, p->servers);

	if (fits < 0 || has_closing_group(s, p))
		return false;
	if (work_per_group(s, (size_t)fits, p->all->n[fits] + 1) <
	    LEFTOVER_MIN_WORK *
		work_per_group(s, (size_t)want, p->all->n[want] + 1))
		return false;
	return try_form_group(s, p, (size_t)fits);
}

/* Forms groups whose servers all have the weights, until there are @most. */
static void
form_loaded(const struct tick *s, struct plan *p, size_t model, size_t most)
{
	const struct ld_model_spec *m = &s->spec->models[model];

	while (p->have.n[model] < most && p->free->n >= m->size &&
	    count_loads(p->free, m->name, m->size) == 0 &&
	    try_form_group(s, p, model))
		;
}

static void
form_all_loaded(const struct tick *s, struct plan *p)
{
	for (size_t m = 0; m < s->spec->model_count; m++)
		form_loaded(s, p, m,
		    loads_are_unlimited(s) ? p->target.n[m] : SIZE_MAX);
}

/*
 * Forms groups of the model up to the domain's target: of free servers that
 * have the weights, else with the hosts of a small group, and only then with
 * loads.
 * Return: false while a group waits for servers or for the limit of loads.
 */
static bool
form_target(const struct tick *s, struct plan *p, size_t model)
{
	size_t target = p->target.n[model];

	form_loaded(s, p, model, target);
	if (p->have.n[model] >= target)
		return true;
	if (has_closing_group(s, p) || preempt_excess(s, p) ||
	    preempt_for_target(s, p, model))
		return false;
	while (p->have.n[model] < target && try_form_group(s, p, model))
		;
	return p->have.n[model] >= target ||
	    p->free->n < s->spec->models[model].size;
}

/* Forms groups up to the target, then any that fit the leftover servers. */
static void
form_groups(const struct tick *s, struct plan *p)
{
	for (size_t m = 0; m < s->spec->model_count; m++) {
		regroup(s, p, m);
		/* Meanwhile groups that need no load are formed. */
		if (!form_target(s, p, m)) {
			form_all_loaded(s, p);
			return;
		}
	}
	if (preempt_for_standby(s, p))
		return;
	while (try_form_leftover(s, p))
		;
}

/* ---- Domain by domain ---- */

/** struct domain - servers of one fabric domain */
struct domain {
	const char *name;
	size_t servers; /* number of servers that may be in a group */
	uint64_t newest_ms; /* when the newest of them was first seen */
	bool registering; /* more servers may be about to register */
	bool evacuated; /* its servers get no orders */
	struct free_servers free;
	struct plan plan;
	struct group **end; /* tail of plan.groups, while the list is built */
};

static struct domain *
find_or_add_domain(struct ld_groups *g, size_t *n, const char *name)
{
	struct domain *d;

	/* Adjacent servers in the list are mostly of the same domain. */
	if (*n > 0 && strcmp(g->domains[*n - 1].name, name) == 0)
		return &g->domains[*n - 1];
	for (size_t i = 0; i < *n; i++)
		if (strcmp(g->domains[i].name, name) == 0)
			return &g->domains[i];
	if (*n == g->domain_capacity) {
		g->domain_capacity = 2 * g->domain_capacity + 1;
		g->domains = ld_realloc(
		    g->domains, g->domain_capacity * sizeof(*g->domains));
	}
	d = &g->domains[(*n)++];
	d->name = name;
	d->servers = d->free.n = 0;
	d->evacuated = false;
	d->newest_ms = 0;
	return d;
}

/* Assigns servers to domains, in one pass; returns the number of domains. */
static size_t
collect_domains(const struct tick *s)
{
	size_t n = 0;

	for (struct ld_server *v = ld_servers_first(s->servers); v != NULL;
	     v = v->next) {
		struct domain *d;

		if (v->entry.domain == NULL)
			continue;
		d = find_or_add_domain(s->g, &n, v->entry.domain);
		if (!v->listed || v->entry.leaving ||
		    !ld_str_eq(ld_str_c(v->entry.service), s->service))
			continue;
		d->evacuated |= v->evacuated;
		d->servers++;
		if (v->first_seen_ms > d->newest_ms)
			d->newest_ms = v->first_seen_ms;
		if (d->free.n < DOMAIN_SERVERS_MAX && is_free(s, v))
			d->free.v[d->free.n++] = v;
	}
	return n;
}

/* Whether more servers of the domain may be about to register. */
static bool
is_registering(const struct tick *s, const struct domain *d)
{
	return loads_are_unlimited(s) &&
	    s->now_ms < s->g->lead_ms + STARTUP_WAIT_MAX_MS &&
	    s->now_ms < d->newest_ms + STARTUP_QUIET_MS;
}

/* Searches from @last, since adjacent groups are mostly of the same domain. */
static struct domain *
find_group_domain(
    const struct tick *s, size_t n, const struct group *gr, size_t *last)
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

/* Assigns the groups to the domains' plans, and counts all of them in @all. */
static void
build_plans(const struct tick *s, size_t n, struct counts *all)
{
	size_t last = 0;

	for (size_t i = 0; i < n; i++) {
		struct domain *d = &s->g->domains[i];

		d->registering = is_registering(s, d);
		d->plan = (struct plan){
		    .domain = d->name,
		    .servers = d->servers,
		    .free = &d->free,
		    .target = target_groups(s, d->servers),
		    .all = all,
		};
		d->end = &d->plan.groups;
	}
	for (struct group *gr = s->g->groups; gr != NULL; gr = gr->next) {
		struct domain *d;

		if (gr->phase == PHASE_RETIRED)
			continue;
		count_group(s, gr, all);
		d = find_group_domain(s, n, gr, &last);
		if (d == NULL)
			continue;
		count_group(s, gr, &d->plan.have);
		gr->next_in_domain = NULL;
		*d->end = gr;
		d->end = &gr->next_in_domain;
	}
}

/* Whether groups of the domain are formed now. */
static bool
is_managed(const struct domain *d)
{
	return !d->registering && !d->evacuated;
}

void
placing_step(const struct tick *s)
{
	struct counts all = {{0}};
	size_t n;

	loads_refill(s);
	if (s->now_ms < s->g->lead_ms + LEADER_SETTLE_MS ||
	    s->spec->model_count == 0)
		return;
	placing_mark_grouped(s);
	s->g->loads_counted = false;
	n = collect_domains(s);
	build_plans(s, n, &all);
	for (size_t i = 0; i < n; i++)
		if (is_managed(&s->g->domains[i]))
			form_groups(s, &s->g->domains[i].plan);
	/* Loads are limited: groups of all domains come before spares. */
	for (size_t i = 0; i < n; i++)
		if (is_managed(&s->g->domains[i]))
			spares_step(s, &s->g->domains[i].plan);
	for (size_t hosts = 1; hosts <= STANDBY_HOSTS; hosts++)
		for (size_t i = 0; i < n; i++)
			if (is_managed(&s->g->domains[i]))
				standby_step(s, &s->g->domains[i].plan, hosts);
}
