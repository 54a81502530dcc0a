/*
 * Reads and writes the placement record in the store. It is read under a new
 * lease, written only by compare-and-swap, and read back whenever the outcome
 * of a write is uncertain.
 */
#include <string.h>

#include "replica_internal.h"

static void
send_read(struct ld_replica *c, uint64_t now_ms)
{
	struct ld_replica_action *a = action_push(c, LD_REPLICA_RECORD_READ);

	c->record_call =
	    (struct pending){a->call, LD_REPLICA_RECORD_READ, now_ms};
}

static void
send_write(struct ld_replica *c, uint64_t now_ms)
{
	struct ld_replica_action *a = action_push(c, LD_REPLICA_RECORD_WRITE);

	c->draft_json.len = 0;
	record_encode(&c->draft, &c->instances, c->fabric, &c->draft_json);
	a->value = ld_buf_str(&c->draft_json);
	a->expected = c->record_exists ? c->revision : 0;
	c->record_call =
	    (struct pending){a->call, LD_REPLICA_RECORD_WRITE, now_ms};
}

static bool
same_stage(const struct ld_replica_entry *a, const struct ld_replica_entry *b)
{
	return a->epoch == b->epoch && a->state == b->state;
}

/* Makes a record that the store confirmed the current one. */
static void
adopt_record(struct ld_replica *c, const struct ld_replica_record *r,
    uint64_t revision, uint64_t now_ms)
{
	uint64_t since[LD_REPLICA_MAX] = {0};

	for (uint16_t i = 0; i < r->count; i++) {
		const struct ld_replica_entry *e = &r->replicas[i];
		struct ld_replica_entry *old = record_find(&c->record, e->id);

		since[i] = now_ms;
		if (old != NULL && same_stage(old, e))
			since[i] = c->since_ms[old - c->record.replicas];
		if (old == NULL || old->epoch != e->epoch) {
			for (uint16_t m = 0; m < e->member_count; m++)
				c->instances.v[e->members[m]].restarted = false;
		}
		if (e->epoch > c->highest_epoch)
			c->highest_epoch = e->epoch;
	}
	memcpy(c->since_ms, since, sizeof(since[0]) * r->count);
	c->record = *r;
	c->revision = revision;
	c->record_confirmed = true;
	c->record_exists = revision != 0;
	c->next_record_ms = now_ms;
}

static void
schedule_retry(struct ld_replica *c, uint64_t now_ms)
{
	c->failures++;
	c->next_record_ms = now_ms + backoff_ms(c, c->config.renew_ms / 4);
}

static void
on_record_read(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t now_ms)
{
	struct ld_replica_record read;

	if (r->status == LD_E_NOT_FOUND && c->revision == 0) {
		memset(&read, 0, sizeof(read));
		adopt_record(c, &read, 0, now_ms);
		/* Orders follow a write, so no predecessor has sent any. */
		c->takeover_ms = now_ms;
		return;
	}
	if (r->status != LD_OK) {
		schedule_retry(c, now_ms);
		return;
	}
	if (r->revision < c->revision) {
		ld_log(LD_LOG_WARNING, "replica",
		    "%s: the store answered with an older record", c->fabric);
		schedule_retry(c, now_ms);
		return;
	}
	if (record_decode(r->value, &c->instances, &read) != LD_OK) {
		ld_log(LD_LOG_ERR, "replica", "%s: record refused: %s",
		    c->fabric, ld_last_message());
		schedule_retry(c, now_ms);
		return;
	}
	c->failures = 0;
	adopt_record(c, &read, r->revision, now_ms);
}

static void
on_record_write(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t now_ms)
{
	if (r->status == LD_OK) {
		c->failures = 0;
		adopt_record(c, &c->draft, r->revision, now_ms);
		return;
	}
	/* Lost, conflicting or refused: the record is read back. */
	c->record_confirmed = false;
	c->next_record_ms = now_ms;
	if (r->status != LD_E_CONFLICT)
		schedule_retry(c, now_ms);
}

void
record_result(struct ld_replica *c, enum ld_replica_action_type type,
    const struct ld_replica_store_result *r, uint64_t now_ms)
{
	if (type == LD_REPLICA_RECORD_READ)
		on_record_read(c, r, now_ms);
	else
		on_record_write(c, r, now_ms);
}

/*
 * Without fresh reports from most listed instances that aren't reported dead,
 * this node is more likely cut off than the instances are lost, so it must not
 * plan on that view.
 */
static bool
is_cut_off(const struct ld_replica *c, uint64_t now_ms)
{
	uint32_t listed = 0, unreported = 0;

	for (uint16_t i = 0; i < c->instances.count; i++) {
		const struct instance *in = &c->instances.v[i];

		if (!in->used || !in->listed)
			continue;
		listed++;
		unreported += !instance_fresh(in, now_ms) &&
		    !(in->view_received && in->view.state == LD_HEALTH_DEAD);
	}
	return !c->live_list_received || listed == 0 || 2 * unreported > listed;
}

static void
plan_and_write(struct ld_replica *c, uint64_t now_ms)
{
	struct plan_input p = {
	    .config = &c->config.plan,
	    .instances = &c->instances,
	    .fabric = c->fabric,
	    .report_ttl_ms = c->config.report_ttl_ms,
	    .since_ms = c->since_ms,
	    .now_ms = now_ms,
	};

	/*
	 * Only one of the writers that compare with the same revision succeeds,
	 * so an epoch above that revision is never given to two versions of a
	 * replica.
	 */
	p.next_epoch = c->revision > c->fence ? c->revision : c->fence;
	if (c->highest_epoch > p.next_epoch)
		p.next_epoch = c->highest_epoch;
	p.next_epoch++;
	c->draft = c->record;
	if (plan_step(&p, &c->draft))
		send_write(c, now_ms);
}

void
record_tick(struct ld_replica *c, uint64_t now_ms)
{
	if (!lease_valid(c, now_ms))
		return;
	if (c->record_call.call != 0) {
		if (now_ms < c->record_call.sent_ms + c->config.ttl_ms)
			return;
		c->record_call.call = 0;
		c->record_confirmed = false;
	}
	if (now_ms < c->next_record_ms)
		return;
	if (!c->record_confirmed) {
		send_read(c, now_ms);
		return;
	}
	if (c->role == LD_REPLICA_WAITING && now_ms >= c->takeover_ms)
		c->role = LD_REPLICA_HOLDER;
	if (c->role == LD_REPLICA_HOLDER && c->config.plan.model_count > 0 &&
	    !is_cut_off(c, now_ms))
		plan_and_write(c, now_ms);
}
