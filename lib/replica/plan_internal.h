/* One planning step in progress; shared by plan.c and supply.c. */
#ifndef PLAN_INTERNAL_H
#define PLAN_INTERNAL_H

#include "replica_internal.h"

/** struct step - state of a planning step */
struct step {
	const struct plan_input *p;
	struct ld_replica_record *record;
	bool changed;
	bool is_member[LD_REPLICA_INSTANCES_MAX]; /* of a replica */
	uint16_t reserved; /* instances set aside for replicas to form */
	/* Missing members that neither spares nor fillers can supply. */
	uint16_t awaiting_refill;
};

const struct instance *step_instance(const struct step *s, uint16_t i);
/** step_is_wanted() - whether the model is configured and not a filler */
bool step_is_wanted(const struct step *s, const struct ld_replica_entry *e);
/** step_is_settled() - whether it was healthy for its settling time */
bool step_is_settled(const struct step *s, uint16_t i);
uint16_t step_count_free(const struct step *s);
bool step_is_warm_spare(const struct step *s, const struct ld_replica_entry *e);
/**
 * step_release_warm_spares() - free warm spares until @need instances are free
 * @model: warm spares with its weights are freed first, also when enough
 *	instances without them are free
 *
 * Does nothing when free, warm and filler instances together are fewer.
 */
void step_release_warm_spares(struct step *s, uint16_t need, const char *model);
/** step_preload_spares() - add entries that load weights on idle spares */
void step_preload_spares(struct step *s);
/**
 * step_allocate() - mark the best free instance for @model as a member
 *
 * Return: its number, or NO_INSTANCE.
 */
uint16_t step_allocate(struct step *s, const char *model);
void step_release(struct step *s, const struct ld_replica_entry *e);
/** step_remove() - remove a replica from the record and free its members */
void step_remove(struct step *s, struct ld_replica_entry *e);
/**
 * step_break_up() - drain fillers until @need instances are free or draining
 *
 * Return: false, with no change, when all fillers together would not suffice.
 */
bool step_break_up(struct step *s, uint16_t need);
/** step_fill() - form filler replicas from instances that would stay idle */
void step_fill(struct step *s);
/** step_form() - form a replica of @m; false without enough free instances */
bool step_form(struct step *s, const struct ld_replica_model *m);
/** step_count_draining() - members of the fillers that are draining */
uint16_t step_count_draining(const struct step *s);
/**
 * step_idle_costs_more_than_delay() - compare the two costs
 *
 * Return: whether @n instances that stay idle until the refill cost more than
 * a replica that is formed @delay_ms later.
 */
bool step_idle_costs_more_than_delay(
    const struct step *s, uint16_t n, uint32_t delay_ms);

#endif
