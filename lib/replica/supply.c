/* Instances for the plan: free ones, warm spares, and those of fillers. */
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
step_is_wanted(const struct step *s, const struct ld_replica_entry *e)
{
	const struct ld_replica_model *m = plan_model(s->p->config, e->model);

	return m != NULL && !m->is_filler;
}

/* Listed, fresh and live, but not necessarily settled. */
static bool
is_healthy(const struct step *s, uint16_t i)
{
	const struct instance *in = step_instance(s, i);

	return in->used && in->listed && !in->leaving &&
	    instance_fresh(in, s->p->now_ms) &&
	    in->view.state == LD_HEALTH_LIVE && !in->view.straggler;
}

bool
step_is_settled(const struct step *s, uint16_t i)
{
	const struct instance *in = step_instance(s, i);

	return is_healthy(s, i) && in->healthy_since_ms != 0 &&
	    s->p->now_ms >=
	    in->healthy_since_ms + instance_settle_ms(in, s->p->config);
}

static bool
is_free(const struct step *s, uint16_t i)
{
	return !s->is_member[i] && step_is_settled(s, i);
}

uint16_t
step_count_free(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->p->instances->count; i++)
		n += is_free(s, i);
	return n;
}

static uint16_t
count_healthy_free(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->p->instances->count; i++)
		n += !s->is_member[i] && is_healthy(s, i);
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

/* Whether @a is a better new member for @model than @b. */
static bool
is_better_member(
    const struct step *s, uint16_t a, uint16_t b, const char *model)
{
	const struct instance *ia = step_instance(s, a);
	const struct instance *ib = step_instance(s, b);
	bool wa = instance_has_weights(ia, model);
	bool wb = instance_has_weights(ib, model);

	if (wa != wb)
		return wa;
	if (ia->recent_failures != ib->recent_failures)
		return ia->recent_failures < ib->recent_failures;
	return false;
}

uint16_t
step_allocate(struct step *s, const char *model)
{
	uint16_t best = NO_INSTANCE;

	for (uint16_t i = 0; i < s->p->instances->count; i++) {
		if (!is_free(s, i))
			continue;
		if (best == NO_INSTANCE || is_better_member(s, i, best, model))
			best = i;
	}
	if (best != NO_INSTANCE)
		s->is_member[best] = true;
	return best;
}

void
step_release(struct step *s, const struct ld_replica_entry *e)
{
	for (uint16_t m = 0; m < e->member_count; m++)
		s->is_member[e->members[m]] = false;
}

void
step_remove(struct step *s, struct ld_replica_entry *e)
{
	step_release(s, e);
	e->member_count = 0; /* compact() removes it at the end of the step */
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

/* Adds a forming entry with one member; the record must not be full. */
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
plan_is_warm_spare(
    const struct ld_replica_plan_config *c, const struct ld_replica_entry *e)
{
	const struct ld_replica_model *m = plan_model(c, e->model);

	return m != NULL && !m->is_filler && m->size > 1 &&
	    e->member_count == 1;
}

bool
step_is_warm_spare(const struct step *s, const struct ld_replica_entry *e)
{
	return plan_is_warm_spare(s->p->config, e);
}

static uint16_t
count_warm_spares(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->record->count; i++)
		n += step_is_warm_spare(s, &s->record->replicas[i]);
	return n;
}

static uint16_t
count_filler_members(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->record->count; i++) {
		const struct ld_replica_entry *e = &s->record->replicas[i];

		if (!step_is_wanted(s, e))
			n += e->member_count;
	}
	return n;
}

/* Returns a settled warm spare with the weights of @model; any if NULL. */
static struct ld_replica_entry *
choose_warm_spare(const struct step *s, const char *model)
{
	for (uint16_t i = 0; i < s->record->count; i++) {
		struct ld_replica_entry *e = &s->record->replicas[i];

		if (!step_is_warm_spare(s, e) ||
		    !step_is_settled(s, e->members[0]))
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
		n += is_free(s, i) &&
		    instance_has_weights(step_instance(s, i), model);
	return n;
}

void
step_release_warm_spares(struct step *s, uint16_t need, const char *model)
{
	struct ld_replica_entry *e;

	if (step_count_free(s) + count_warm_spares(s) +
		count_filler_members(s) <
	    need)
		return;
	/* Instances without the weights stay free to become warm spares. */
	while (count_free_with_weights(s, model) < need &&
	    (e = choose_warm_spare(s, model)) != NULL)
		step_remove(s, e);
	while (step_count_free(s) < need &&
	    (e = choose_warm_spare(s, NULL)) != NULL)
		step_remove(s, e);
}

/* The model with most members, which most likely needs a spare next. */
static const struct ld_replica_model *
model_to_preload(const struct step *s)
{
	const struct ld_replica_plan_config *c = s->p->config;
	const struct ld_replica_model *best = NULL;

	for (size_t i = 0; i < c->model_count; i++) {
		const struct ld_replica_model *m = &c->models[i];

		if (m->is_filler || m->size < 2 || m->wanted == 0)
			continue;
		if (best == NULL ||
		    m->size * m->wanted > best->size * best->wanted)
			best = m;
	}
	return best;
}

void
step_preload_spares(struct step *s)
{
	const struct ld_replica_model *m = model_to_preload(s);
	char model[LD_HEALTH_NAME_MAX];

	if (m == NULL || s->awaiting_refill + s->reserved > 0)
		return;
	snprintf(model, sizeof(model), "%.*s", LD_FMT(m->name));
	for (uint16_t i = 0; i < s->p->instances->count; i++) {
		if (s->record->count == LD_REPLICA_MAX)
			return;
		if (!is_free(s, i) ||
		    instance_has_weights(step_instance(s, i), model))
			continue;
		s->is_member[i] = true;
		add_entry(s, model, 's')->members[0] = i;
	}
}

/* ---- Breaking up ---- */

uint16_t
step_count_draining(const struct step *s)
{
	uint16_t n = 0;

	for (uint16_t i = 0; i < s->record->count; i++) {
		const struct ld_replica_entry *e = &s->record->replicas[i];

		if (e->state == LD_REPLICA_DRAINING && !step_is_wanted(s, e))
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

/* Returns a forming filler, or else the serving one with the least load. */
static struct ld_replica_entry *
choose_victim(const struct step *s)
{
	struct ld_replica_entry *best = NULL;

	for (uint16_t i = 0; i < s->record->count; i++) {
		struct ld_replica_entry *e = &s->record->replicas[i];

		if (e->member_count == 0 || step_is_wanted(s, e) ||
		    e->state == LD_REPLICA_DRAINING)
			continue;
		if (e->state == LD_REPLICA_FORMING)
			return e;
		if (best == NULL || head_load(s, e) < head_load(s, best))
			best = e;
	}
	return best;
}

/* Instances that are available without breaking up a filler. */
static uint16_t
count_free_or_warm(const struct step *s)
{
	return step_count_free(s) + count_warm_spares(s);
}

bool
step_break_up(struct step *s, uint16_t need)
{
	if (count_free_or_warm(s) + count_filler_members(s) < need)
		return false;
	while (count_free_or_warm(s) + step_count_draining(s) < need) {
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
step_idle_costs_more_than_delay(
    const struct step *s, uint16_t n, uint32_t delay_ms)
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

	if (s->record->count == LD_REPLICA_MAX || step_count_free(s) < m->size)
		return false;
	snprintf(model, sizeof(model), "%.*s", LD_FMT(m->name));
	e = add_entry(s, model, 'r');
	for (e->member_count = 0; e->member_count < m->size; e->member_count++)
		e->members[e->member_count] = step_allocate(s, model);
	return true;
}

static const struct ld_replica_model *
find_filler_model(const struct step *s)
{
	const struct ld_replica_plan_config *c = s->p->config;

	for (size_t i = 0; i < c->model_count; i++) {
		if (c->models[i].is_filler)
			return &c->models[i];
	}
	return NULL;
}

void
step_fill(struct step *s)
{
	const struct ld_replica_model *m = find_filler_model(s);
	uint16_t keep = s->reserved;
	uint16_t warm;
	char model[LD_HEALTH_NAME_MAX];

	if (m == NULL)
		return;
	keep += ld_replica_spare_count(s->p->config, count_listed(s));
	if (!step_idle_costs_more_than_delay(
		s, s->awaiting_refill, s->p->config->drain_ms))
		keep += s->awaiting_refill;
	/* Unsettled instances count: they will be free without breaking up. */
	snprintf(model, sizeof(model), "%.*s", LD_FMT(m->name));
	warm = count_warm_spares(s);
	if (count_healthy_free(s) + warm + step_count_draining(s) < keep)
		step_break_up(s, keep);
	while (step_count_free(s) + warm >= keep + m->size) {
		step_release_warm_spares(s, m->size, model);
		if (!step_form(s, m))
			return;
		warm = count_warm_spares(s);
	}
}
