/* Supply of the plan: free instances, spares, filling and breaking up. */
#include <stdio.h>
#include <string.h>

#include "plan_internal.h"

#define MS_PER_MINUTE 60000.0
#define MS_PER_HOUR 3600000.0

const struct instance *
step_instance(const struct step *s, uint16_t i)
{
	return &s->p->instances->v[i];
}

const struct ld_replica_model *
plan_model(const struct ld_replica_plan_config *c, const char *name)
{
	for (size_t i = 0; i < c->model_count; i++) {
		if (ld_str_eq(c->models[i].name, ld_str_c(name)))
			return &c->models[i];
	}
	return NULL;
}

bool
step_wanted(const struct step *s, const struct ld_replica_entry *e)
{
	const struct ld_replica_model *m = plan_model(s->p->config, e->model);

	return m != NULL && !m->fills;
}

/* Healthy, though perhaps not settled yet. */
static bool
sound(const struct step *s, uint16_t i)
{
	const struct instance *in = step_instance(s, i);

	return in->used && in->listed && !in->leaving &&
	    instance_fresh(in, s->p->now_ms) &&
	    in->view.state == LD_HEALTH_LIVE && !in->view.straggler;
}

bool
step_fit(const struct step *s, uint16_t i)
{
	const struct instance *in = step_instance(s, i);

	return sound(s, i) && in->good_since_ms != 0 &&
	    s->p->now_ms >=
	    in->good_since_ms + instance_settle_ms(in, s->p->config);
}

static bool
usable(const struct step *s, uint16_t i)
{
	return !s->owned[i] && step_fit(s, i);
}

uint16_t
step_free(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->p->instances->count; i++)
		n += usable(s, i);
	return n;
}

static uint16_t
count_sound(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->p->instances->count; i++)
		n += !s->owned[i] && sound(s, i);
	return n;
}

static uint16_t
count_listed(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->p->instances->count; i++)
		n += step_instance(s, i)->listed;
	return n;
}

/* Whether @a serves better than @b as a new member for @model. */
static bool
better(const struct step *s, uint16_t a, uint16_t b, const char *model)
{
	const struct instance *ia = step_instance(s, a);
	const struct instance *ib = step_instance(s, b);
	bool wa = instance_has_weights(ia, model);
	bool wb = instance_has_weights(ib, model);

	if (wa != wb)
		return wa;
	if (ia->troubles != ib->troubles)
		return ia->troubles < ib->troubles;
	return false;
}

uint16_t
step_take(struct step *s, const char *model)
{
	uint16_t best = NO_INSTANCE;

	for (uint16_t i = 0; i < s->p->instances->count; i++) {
		if (!usable(s, i))
			continue;
		if (best == NO_INSTANCE || better(s, i, best, model))
			best = i;
	}
	if (best != NO_INSTANCE)
		s->owned[best] = true;
	return best;
}

void
step_release(struct step *s, const struct ld_replica_entry *e)
{
	for (uint16_t m = 0; m < e->member_count; m++)
		s->owned[e->members[m]] = false;
}

void
step_remove(struct step *s, struct ld_replica_entry *e)
{
	step_release(s, e);
	e->member_count = 0; /* taken out of the array at the end */
	s->changed = true;
}

static void
new_id(const struct step *s, char kind, char *out, size_t size)
{
	for (unsigned int n = 1;; n++) {
		snprintf(out, size, "%.32s-%c%u", s->p->fabric, kind, n);
		if (record_find(s->record, out) == NULL)
			return;
	}
}

/* Adds a forming entry with room for one member; the record has room. */
static struct ld_replica_entry *
add_entry(struct step *s, const char *model, char kind)
{
	struct ld_replica_entry *e = &s->record->replicas[s->record->count];

	memset(e, 0, sizeof(*e));
	new_id(s, kind, e->id, sizeof(e->id));
	snprintf(e->model, sizeof(e->model), "%s", model);
	e->state = LD_REPLICA_FORMING;
	e->epoch = s->p->next_epoch;
	e->member_count = 1;
	s->record->count++;
	s->changed = true;
	return e;
}

/* ---- Warm spares ---- */

bool
plan_warming(
    const struct ld_replica_plan_config *c, const struct ld_replica_entry *e)
{
	const struct ld_replica_model *m = plan_model(c, e->model);

	return m != NULL && !m->fills && m->size > 1 && e->member_count == 1;
}

bool
step_warming(const struct step *s, const struct ld_replica_entry *e)
{
	return plan_warming(s->p->config, e);
}

static uint16_t
count_warming(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->record->count; i++)
		n += step_warming(s, &s->record->replicas[i]);
	return n;
}

static uint16_t
count_filler_members(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->record->count; i++) {
		const struct ld_replica_entry *e = &s->record->replicas[i];

		if (!step_wanted(s, e))
			n += e->member_count;
	}
	return n;
}

/* A warm spare to use: one that holds @model's weights, or with NULL any. */
static struct ld_replica_entry *
choose_warm(const struct step *s, const char *model)
{
	for (uint16_t i = 0; i < s->record->count; i++) {
		struct ld_replica_entry *e = &s->record->replicas[i];

		if (!step_warming(s, e) || !step_fit(s, e->members[0]))
			continue;
		if (model == NULL ||
		    instance_has_weights(
			step_instance(s, e->members[0]), model))
			return e;
	}
	return NULL;
}

static uint16_t
count_free_with_weights(const struct step *s, const char *model)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->p->instances->count; i++)
		n += usable(s, i) &&
		    instance_has_weights(step_instance(s, i), model);
	return n;
}

void
step_claim(struct step *s, uint16_t need, const char *model)
{
	struct ld_replica_entry *e;

	if (step_free(s) + count_warming(s) + count_filler_members(s) < need)
		return;
	/* Also where cold instances are free: those become the next spares. */
	while (count_free_with_weights(s, model) < need &&
	    (e = choose_warm(s, model)) != NULL)
		step_remove(s, e);
	while (step_free(s) < need && (e = choose_warm(s, NULL)) != NULL)
		step_remove(s, e);
}

/* The model whose replicas a spare will most likely have to mend. */
static const struct ld_replica_model *
model_to_warm(const struct step *s)
{
	const struct ld_replica_plan_config *c = s->p->config;
	const struct ld_replica_model *best = NULL;

	for (size_t i = 0; i < c->model_count; i++) {
		const struct ld_replica_model *m = &c->models[i];

		if (m->fills || m->size < 2 || m->wanted == 0)
			continue;
		if (best == NULL ||
		    m->size * m->wanted > best->size * best->wanted)
			best = m;
	}
	return best;
}

void
step_warm(struct step *s)
{
	const struct ld_replica_model *m = model_to_warm(s);
	char model[LD_HEALTH_NAME_MAX];

	if (m == NULL || s->awaited + s->reserved > 0)
		return;
	snprintf(model, sizeof(model), "%.*s", LD_FMT(m->name));
	for (uint16_t i = 0; i < s->p->instances->count; i++) {
		if (s->record->count == LD_REPLICA_MAX)
			return;
		if (!usable(s, i) ||
		    instance_has_weights(step_instance(s, i), model))
			continue;
		s->owned[i] = true;
		add_entry(s, model, 's')->members[0] = i;
	}
}

/* ---- Breaking up ---- */

uint16_t
step_parts_coming(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->record->count; i++) {
		const struct ld_replica_entry *e = &s->record->replicas[i];

		if (e->state == LD_REPLICA_DRAINING && !step_wanted(s, e))
			n += e->member_count;
	}
	return n;
}

static uint32_t
head_load(const struct step *s, const struct ld_replica_entry *e)
{
	const struct instance *head = step_instance(s, e->members[0]);

	return head->view.running + head->view.waiting;
}

/* The filler that loses least: one that isn't serving yet, else least load. */
static struct ld_replica_entry *
choose_victim(const struct step *s)
{
	struct ld_replica_entry *best = NULL;

	for (uint16_t i = 0; i < s->record->count; i++) {
		struct ld_replica_entry *e = &s->record->replicas[i];

		if (e->member_count == 0 || step_wanted(s, e) ||
		    e->state == LD_REPLICA_DRAINING)
			continue;
		if (e->state == LD_REPLICA_FORMING)
			return e;
		if (best == NULL || head_load(s, e) < head_load(s, best))
			best = e;
	}
	return best;
}

/* What can be had without breaking up anything. */
static uint16_t
available(const struct step *s)
{
	return step_free(s) + count_warming(s);
}

bool
step_break_up(struct step *s, uint16_t need)
{
	if (available(s) + count_filler_members(s) < need)
		return false;
	while (available(s) + step_parts_coming(s) < need) {
		struct ld_replica_entry *e = choose_victim(s);

		if (e == NULL)
			return false;
		if (e->state == LD_REPLICA_FORMING) {
			step_remove(s, e);
			continue;
		}
		e->state = LD_REPLICA_DRAINING;
		s->changed = true;
	}
	return true;
}

bool
step_idle_costs_more(const struct step *s, uint16_t n, uint32_t delay_ms)
{
	const struct ld_replica_plan_config *c = s->p->config;
	double idle_ms =
	    c->refill_ms > c->load_ms ? c->refill_ms - c->load_ms : 0.0;
	double idle =
	    c->stranded_weight * n * c->accelerators * idle_ms / MS_PER_HOUR;

	return idle > c->downtime_weight * delay_ms / MS_PER_MINUTE;
}

/* ---- Forming ---- */

bool
step_form(struct step *s, const struct ld_replica_model *m)
{
	struct ld_replica_entry *e;
	char model[LD_HEALTH_NAME_MAX];

	if (s->record->count == LD_REPLICA_MAX || step_free(s) < m->size)
		return false;
	snprintf(model, sizeof(model), "%.*s", LD_FMT(m->name));
	e = add_entry(s, model, 'r');
	for (e->member_count = 0; e->member_count < m->size; e->member_count++)
		e->members[e->member_count] = step_take(s, model);
	return true;
}

static const struct ld_replica_model *
filler(const struct step *s)
{
	const struct ld_replica_plan_config *c = s->p->config;

	for (size_t i = 0; i < c->model_count; i++) {
		if (c->models[i].fills)
			return &c->models[i];
	}
	return NULL;
}

void
step_fill(struct step *s)
{
	const struct ld_replica_model *m = filler(s);
	uint16_t keep = s->reserved;
	uint16_t warming;
	char model[LD_HEALTH_NAME_MAX];

	if (m == NULL)
		return;
	keep += ld_replica_spares(s->p->config, count_listed(s));
	if (!step_idle_costs_more(s, s->awaited, s->p->config->drain_ms))
		keep += s->awaited;
	/* Instances that settle soon count: breaking up for them is waste. */
	snprintf(model, sizeof(model), "%.*s", LD_FMT(m->name));
	warming = count_warming(s);
	if (count_sound(s) + warming + step_parts_coming(s) < keep)
		step_break_up(s, keep);
	while (step_free(s) + warming >= keep + m->size) {
		step_claim(s, m->size, model);
		if (!step_form(s, m))
			return;
		warming = count_warming(s);
	}
}
