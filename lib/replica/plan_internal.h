/* One planning step in progress; shared by plan.c and supply.c. */
#ifndef PLAN_INTERNAL_H
#define PLAN_INTERNAL_H

#include "replica_internal.h"

/** struct step - the record being changed and what is free */
struct step {
	const struct plan *p;
	struct ld_replica_record *record;
	bool changed;
	bool owned[LD_REPLICA_INSTANCES_MAX]; /* stands in a replica */
	uint16_t reserved; /* instances that a re-forming will use soon */
	uint16_t awaited; /* instances missing, with no parts to come */
};

const struct instance *step_instance(const struct step *s, uint16_t i);
/** step_wanted() - whether replicas of this model are wanted, not fillers */
bool step_wanted(const struct step *s, const struct ld_replica_entry *e);
/** step_fit() - without trouble for long enough, be it free or not */
bool step_fit(const struct step *s, uint16_t i);
uint16_t step_free(const struct step *s);
bool step_warming(const struct step *s, const struct ld_replica_entry *e);
/**
 * step_claim() - free warm spares until @need are free, where that helps
 * @model: those that hold its weights go first, even before free ones
 */
void step_claim(struct step *s, uint16_t need, const char *model);
/** step_warm() - have idle spares load the weights that will be needed */
void step_warm(struct step *s);
/** step_take() - best free instance for @model, now owned; or NO_INSTANCE */
uint16_t step_take(struct step *s, const char *model);
void step_release(struct step *s, const struct ld_replica_entry *e);
/** step_remove() - take a replica out; its members become free */
void step_remove(struct step *s, struct ld_replica_entry *e);
/**
 * step_break_up() - drain fillers until @need parts are free or on the way
 *
 * Return: false, with nothing done, when all fillers would not suffice.
 */
bool step_break_up(struct step *s, uint16_t need);
/** step_fill() - form replicas from what would stay idle */
void step_fill(struct step *s);
/** step_form() - form one new replica of @m; false without instances */
bool step_form(struct step *s, const struct ld_replica_model *m);
/** step_parts_coming() - instances of fillers that are being drained */
uint16_t step_parts_coming(const struct step *s);
/** step_idle_costs_more() - @n idle until the refill, against a delay */
bool step_idle_costs_more(const struct step *s, uint16_t n, uint32_t delay_ms);

#endif
