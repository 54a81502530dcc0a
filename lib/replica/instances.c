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

/* Returns a slot that neither the live list nor the record refers to. */
static uint16_t
find_free_slot(
    const struct instances *t, const struct ld_replica_record *record)
{
	for (uint16_t i = 0; i < t->count; i++) {
		if (t->v[i].listed)
			continue;
		if (!t->v[i].used || record_replica_of(record, i) == NULL)
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
		i = find_free_slot(t, record);
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
	return in->view_received && in->view.fresh &&
	    now_ms < in->fresh_until_ms;
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
	if (in->view_received && in->view.state == LD_HEALTH_DEAD)
		return true;
	if (instance_fresh(in, now_ms))
		return false;
	/* The live list lags, so it counts only without fresh reports. */
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

/* Each recent failure doubles the settling time, up to this many. */
#define SETTLE_DOUBLINGS_MAX 5

uint32_t
instance_settle_ms(
    const struct instance *in, const struct ld_replica_plan_config *c)
{
	uint32_t n = in->recent_failures < SETTLE_DOUBLINGS_MAX
	    ? in->recent_failures
	    : SETTLE_DOUBLINGS_MAX;

	return c->settle_ms << n;
}
