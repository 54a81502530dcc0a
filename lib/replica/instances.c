/* Table of the instances of one fabric domain. */
#include <string.h>

#include "replica_internal.h"

uint16_t
instances_find(const struct instances *t, struct ld_str address)
{
	for (uint16_t i = 0; i < t->count; i++) {
		if (t->v[i].used &&
		    ld_str_eq(ld_str_c(t->v[i].address), address))
			return i;
	}
	return NO_INSTANCE;
}

/* A slot that neither the live list nor the record speaks of. */
static uint16_t
free_slot(const struct instances *t, const struct ld_replica_record *record)
{
	for (uint16_t i = 0; i < t->count; i++) {
		if (t->v[i].listed)
			continue;
		if (!t->v[i].used || record_owner(record, i) == NULL)
			return i;
	}
	return NO_INSTANCE;
}

uint16_t
instances_intern(struct instances *t, struct ld_str address,
    const struct ld_replica_record *record)
{
	uint16_t i = instances_find(t, address);

	if (i != NO_INSTANCE)
		return i;
	if (address.len == 0 || address.len >= LD_HEALTH_ADDRESS_MAX)
		return NO_INSTANCE;
	if (t->count < LD_REPLICA_INSTANCES_MAX)
		i = t->count++;
	else
		i = free_slot(t, record);
	if (i == NO_INSTANCE)
		return i;
	memset(&t->v[i], 0, sizeof(t->v[i]));
	memcpy(t->v[i].address, address.p, address.len);
	t->v[i].used = true;
	return i;
}

bool
instance_fresh(const struct instance *in, uint64_t now_ms)
{
	return in->seen && in->view.fresh && now_ms < in->fresh_until_ms;
}

bool
instance_holds(const struct instance *in, const struct ld_replica_entry *r,
    uint64_t now_ms)
{
	return instance_fresh(in, now_ms) && in->view.epoch == r->epoch &&
	    strcmp(in->view.replica, r->id) == 0;
}

bool
instance_lost(const struct instance *in, uint32_t lost_ms, uint64_t now_ms)
{
	if (in->seen && in->view.state == LD_HEALTH_DEAD)
		return true;
	if (instance_fresh(in, now_ms))
		return false;
	/* The list lags: it decides only about an instance that is silent. */
	if (!in->listed)
		return true;
	return in->stale_since_ms != 0 &&
	    now_ms >= in->stale_since_ms + lost_ms;
}

bool
instance_has_weights(const struct instance *in, const char *model)
{
	return in->weights[0] != '\0' && strcmp(in->weights, model) == 0;
}

/* Each recent loss doubles the time without trouble that is asked for. */
#define TROUBLES_MAX 5

uint32_t
instance_settle_ms(
    const struct instance *in, const struct ld_replica_plan_config *c)
{
	uint32_t n = in->troubles < TROUBLES_MAX ? in->troubles : TROUBLES_MAX;

	return c->settle_ms << n;
}
