/*
 * The plan: moves each replica through forming, serving and draining, and
 * re-forms broken ones. A step computes the next record from the confirmed one.
 */
#include <stdio.h>
#include <string.h>

#include "plan_internal.h"

/*
 * Minimum time of draining, after which a head that reports no requests is
 * trusted: routers receive the record within 5 s, and load reports lag.
 */
#define DRAIN_MIN_MS 8000
/* A member without a fresh report for this many report lifetimes is lost. */
#define LOST_REPORT_LIFETIMES 3
/* A member that is a straggler for this time is replaced as if it left. */
#define STRAGGLER_MS 60000

static uint64_t
since_ms(const struct step *s, const struct ld_replica_entry *e)
{
	return s->p->since_ms[e - s->record->replicas];
}

static bool
is_lost(const struct step *s, uint16_t i)
{
	return instance_lost(step_instance(s, i),
	    LOST_REPORT_LIFETIMES * s->p->report_ttl_ms, s->p->now_ms);
}

static bool
is_straggler(const struct step *s, uint16_t i)
{
	const struct instance *in = step_instance(s, i);

	return in->straggler_since_ms != 0 &&
	    s->p->now_ms >= in->straggler_since_ms + STRAGGLER_MS;
}

/* Whether the instance restarted or reports another replica or epoch. */
static bool
lost_membership(
    const struct step *s, const struct ld_replica_entry *e, uint16_t i)
{
	const struct instance *in = step_instance(s, i);

	if (e->state == LD_REPLICA_FORMING)
		return false;
	if (in->restarted)
		return true;
	return instance_fresh(in, s->p->now_ms) &&
	    !instance_holds(in, e, s->p->now_ms);
}

static bool
is_broken(const struct step *s, const struct ld_replica_entry *e)
{
	for (uint16_t m = 0; m < e->member_count; m++) {
		if (is_lost(s, e->members[m]) ||
		    lost_membership(s, e, e->members[m]))
			return true;
		/* A forming replica has no requests to drain. */
		if (e->state == LD_REPLICA_FORMING &&
		    step_instance(s, e->members[m])->leaving)
			return true;
	}
	return false;
}

/* Whether a member of a broken replica stays a member when it is re-formed. */
static bool
can_stay(const struct step *s, const struct ld_replica_entry *e, uint16_t i)
{
	const struct instance *in = step_instance(s, i);

	if (is_lost(s, i) || in->leaving || is_straggler(s, i))
		return false;
	if (instance_holds(in, e, s->p->now_ms) && !in->restarted)
		return true;
	return in->healthy_since_ms != 0 &&
	    s->p->now_ms >=
	    in->healthy_since_ms + instance_settle_ms(in, s->p->config);
}

static uint16_t
count_staying(const struct step *s, const struct ld_replica_entry *e)
{
	uint16_t n = 0;

	for (uint16_t m = 0; m < e->member_count; m++)
		n += can_stay(s, e, e->members[m]);
	return n;
}

/* ---- State changes of a single replica ---- */

/*
 * Whether every member is ready and has held this epoch for one report
 * lifetime. Until its last report for the previous epoch has expired, a router
 * with an old record may still rely on that report.
 */
static bool
is_complete(const struct step *s, const struct ld_replica_entry *e)
{
	for (uint16_t m = 0; m < e->member_count; m++) {
		const struct instance *in = step_instance(s, e->members[m]);

		if (!instance_holds(in, e, s->p->now_ms) || !in->view.ready ||
		    in->view.state == LD_HEALTH_DEAD)
			return false;
		if (s->p->now_ms < in->holds_since_ms + s->p->report_ttl_ms)
			return false;
	}
	return true;
}

static void
set_state(struct step *s, struct ld_replica_entry *e, enum ld_replica_state st)
{
	e->state = st;
	s->changed = true;
}

static void
step_forming(struct step *s, struct ld_replica_entry *e)
{
	if (is_complete(s, e))
		set_state(s, e, LD_REPLICA_SERVING);
}

static bool
must_drain(const struct step *s, const struct ld_replica_entry *e)
{
	bool spare = step_count_free(s) > 0;

	for (uint16_t m = 0; m < e->member_count; m++) {
		if (step_instance(s, e->members[m])->leaving)
			return true;
		if (spare && is_straggler(s, e->members[m]))
			return true;
	}
	return false;
}

static bool
is_drained(const struct step *s, const struct ld_replica_entry *e)
{
	const struct instance *head = step_instance(s, e->members[0]);
	uint64_t start = since_ms(s, e);

	if (s->p->now_ms >= start + s->p->config->drain_ms)
		return true;
	if (s->p->now_ms < start + DRAIN_MIN_MS)
		return false;
	return instance_fresh(head, s->p->now_ms) && head->view.running == 0 &&
	    head->view.waiting == 0;
}

/* ---- Re-forming ---- */

/** struct broken_list - replicas to re-form, by priority */
struct broken_list {
	uint16_t v[LD_REPLICA_MAX];
	uint16_t n;
};

static size_t
model_priority(const struct step *s, const struct ld_replica_entry *e)
{
	const struct ld_replica_model *m = plan_model(s->p->config, e->model);

	return m == NULL ? SIZE_MAX : (size_t)(m - s->p->config->models);
}

size_t
plan_loads_missing(const struct instances *t, const struct ld_replica_entry *r,
    uint64_t now_ms)
{
	size_t n = 0;

	for (uint16_t m = 0; m < r->member_count; m++) {
		const struct instance *in = &t->v[r->members[m]];

		n += !instance_has_weights(in, r->model) ||
		    !instance_fresh(in, now_ms);
	}
	return n;
}

static bool
has_priority(const struct step *s, uint16_t a, uint16_t b)
{
	const struct ld_replica_entry *ea = &s->record->replicas[a];
	const struct ld_replica_entry *eb = &s->record->replicas[b];

	if (model_priority(s, ea) != model_priority(s, eb))
		return model_priority(s, ea) < model_priority(s, eb);
	return plan_loads_missing(s->p->instances, ea, s->p->now_ms) <
	    plan_loads_missing(s->p->instances, eb, s->p->now_ms);
}

static void
broken_add(const struct step *s, struct broken_list *l, uint16_t i)
{
	uint16_t at = l->n++;

	while (at > 0 && has_priority(s, i, l->v[at - 1])) {
		l->v[at] = l->v[at - 1];
		at--;
	}
	l->v[at] = i;
}

/* Replaces members that can't stay; enough instances must be free. */
static void
reform(struct step *s, struct ld_replica_entry *e)
{
	uint16_t kept[LD_REPLICA_MEMBERS_MAX];
	uint16_t size = plan_model(s->p->config, e->model)->size;
	uint16_t n = 0;

	for (uint16_t m = 0; m < e->member_count; m++) {
		if (can_stay(s, e, e->members[m]) && n < size)
			kept[n++] = e->members[m];
		else
			s->is_member[e->members[m]] = false;
	}
	while (n < size)
		kept[n++] = step_allocate(s, e->model);
	memcpy(e->members, kept, n * sizeof(kept[0]));
	e->member_count = n;
	e->epoch = s->p->next_epoch;
	set_state(s, e, LD_REPLICA_FORMING);
}

static uint16_t
count_settled(const struct step *s, const struct ld_replica_entry *e)
{
	uint16_t n = 0;

	for (uint16_t m = 0; m < e->member_count; m++)
		n += step_is_settled(s, e->members[m]);
	return n;
}

/*
 * Removes the broken replica of lowest priority that has at least @need settled
 * members, to re-form the one at @after with them. The donor could not be
 * re-formed now in any case.
 */
static bool
take_from_donor(
    struct step *s, const struct broken_list *l, uint16_t after, uint16_t need)
{
	for (uint16_t d = l->n; d-- > after + 1;) {
		struct ld_replica_entry *e = &s->record->replicas[l->v[d]];

		if (e->member_count == 0 || e->state == LD_REPLICA_DRAINING)
			continue;
		if (count_settled(s, e) < need)
			continue;
		step_remove(s, e);
		return true;
	}
	return false;
}

/*
 * Handles a broken replica for which neither spares nor fillers suffice: its
 * remaining members wait for the refill, or are freed for fillers when leaving
 * them idle would cost more.
 */
static void
wait_or_dissolve(struct step *s, struct ld_replica_entry *e, uint16_t missing)
{
	const struct ld_replica_plan_config *c = s->p->config;
	uint16_t idle = count_staying(s, e);

	for (size_t i = 0; i < c->model_count; i++) {
		if (c->models[i].is_filler && idle >= c->models[i].size &&
		    step_idle_costs_more_than_delay(
			s, idle, c->drain_ms + c->load_ms)) {
			step_remove(s, e);
			return;
		}
	}
	s->awaiting_refill += missing;
}

static void
reform_one(struct step *s, const struct broken_list *l, uint16_t at)
{
	struct ld_replica_entry *e = &s->record->replicas[l->v[at]];
	const struct ld_replica_model *m = plan_model(s->p->config, e->model);
	uint16_t staying, missing;

	if (e->member_count == 0)
		return;
	staying = count_staying(s, e);
	missing = staying < m->size ? m->size - staying : 0;
	step_release_warm_spares(s, missing, e->model);
	if (step_count_free(s) >= missing) {
		reform(s, e);
		return;
	}
	/* Waits until a filler has drained and its members are free. */
	if (step_break_up(s, missing + s->reserved)) {
		s->reserved += missing;
		return;
	}
	if (take_from_donor(s, l, at, missing - step_count_free(s))) {
		reform(s, e);
		return;
	}
	wait_or_dissolve(s, e, missing);
}

/* ---- One step ---- */

/* Starts to free replacements while the replica to re-form still drains. */
static void
reserve_parts(struct step *s, const struct ld_replica_entry *e)
{
	uint16_t missing = e->member_count - count_staying(s, e);

	if (!step_is_wanted(s, e) || missing == 0)
		return;
	if (step_break_up(s, missing + s->reserved))
		s->reserved += missing;
}

static void
step_draining(struct step *s, struct ld_replica_entry *e, struct broken_list *l)
{
	if (!is_drained(s, e)) {
		reserve_parts(s, e);
		return;
	}
	if (!step_is_wanted(s, e))
		step_remove(s, e);
	else if (must_drain(s, e))
		broken_add(s, l, (uint16_t)(e - s->record->replicas));
	else /* no reason to drain is left, and no member is lost */
		set_state(s, e, LD_REPLICA_SERVING);
}

static void
advance(struct step *s, uint16_t i, struct broken_list *l)
{
	struct ld_replica_entry *e = &s->record->replicas[i];

	if (step_is_warm_spare(s, e)) {
		if (is_broken(s, e))
			step_remove(s, e);
		return;
	}
	if (is_broken(s, e)) {
		/* Forming a new filler is cheaper than re-forming it. */
		if (!step_is_wanted(s, e))
			step_remove(s, e);
		else
			broken_add(s, l, i);
		return;
	}
	switch (e->state) {
	case LD_REPLICA_FORMING:
		step_forming(s, e);
		return;
	case LD_REPLICA_SERVING:
		if (must_drain(s, e))
			set_state(s, e, LD_REPLICA_DRAINING);
		return;
	default:
		step_draining(s, e, l);
	}
}

static uint16_t
count_model(const struct step *s, const struct ld_replica_model *m)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->record->count; i++) {
		const struct ld_replica_entry *e = &s->record->replicas[i];

		n += e->member_count > 0 && !step_is_warm_spare(s, e) &&
		    plan_model(s->p->config, e->model) == m;
	}
	return n;
}

/* Forms missing wanted replicas, and breaks up fillers for them. */
static void
form_wanted(struct step *s)
{
	const struct ld_replica_plan_config *c = s->p->config;

	for (size_t i = 0; i < c->model_count; i++) {
		const struct ld_replica_model *m = &c->models[i];
		char name[LD_HEALTH_NAME_MAX];

		snprintf(name, sizeof(name), "%.*s", LD_FMT(m->name));
		while (count_model(s, m) < m->wanted) {
			step_release_warm_spares(
			    s, m->size + s->reserved, name);
			if (step_count_free(s) >= m->size + s->reserved) {
				if (!step_form(s, m))
					return;
				continue;
			}
			if (!m->is_filler &&
			    step_break_up(s, m->size + s->reserved))
				s->reserved += m->size;
			break;
		}
	}
}

static void
compact(struct ld_replica_record *r)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < r->count; i++) {
		if (r->replicas[i].member_count == 0)
			continue;
		if (n != i)
			r->replicas[n] = r->replicas[i];
		n++;
	}
	r->count = n;
}

static void
mark_owned(struct step *s)
{
	for (uint16_t i = 0; i < s->record->count; i++) {
		const struct ld_replica_entry *e = &s->record->replicas[i];

		for (uint16_t m = 0; m < e->member_count; m++)
			s->is_member[e->members[m]] = true;
	}
}

bool
plan_step(const struct plan_input *p, struct ld_replica_record *record)
{
	struct step s = {.p = p, .record = record};
	struct broken_list broken = {.n = 0};
	uint16_t count = record->count;

	mark_owned(&s);
	for (uint16_t i = 0; i < count; i++)
		advance(&s, i, &broken);
	for (uint16_t i = 0; i < broken.n; i++)
		reform_one(&s, &broken, i);
	form_wanted(&s);
	step_fill(&s);
	step_preload_spares(&s);
	compact(record);
	return s.changed;
}
