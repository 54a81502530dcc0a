/*
 * Record: read under a new lease, written by compare-and-swap alone, and read
 * back whenever the outcome of a write isn't known.
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

/* Takes over a record that the store confirmed. */
static void
adopt(struct ld_replica *c, const struct ld_replica_record *r,
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
		if (e->epoch > c->epoch_seen)
			c->epoch_seen = e->epoch;
	}
	memcpy(c->since_ms, since, sizeof(since[0]) * r->count);
	c->record = *r;
	c->revision = revision;
	c->record_known = true;
	c->record_exists = revision != 0;
	c->next_record_ms = now_ms;
}

static void
retry_later(struct ld_replica *c, uint64_t now_ms)
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
		adopt(c, &read, 0, now_ms);
		/* Nobody ever ordered anything here: orders follow a write. */
		c->takeover_ms = now_ms;
		return;
	}
	if (r->status != LD_OK) {
		retry_later(c, now_ms);
		return;
	}
	if (r->revision < c->revision) {
		ld_log(LD_LOG_WARNING, "replica",
		    "%s: the store answered with an older record", c->fabric);
		retry_later(c, now_ms);
		return;
	}
	if (record_decode(r->value, &c->instances, &read) != LD_OK) {
		ld_log(LD_LOG_ERR, "replica", "%s: record refused: %s",
		    c->fabric, ld_last_message());
		retry_later(c, now_ms);
		return;
	}
	c->failures = 0;
	adopt(c, &read, r->revision, now_ms);
}

static void
on_record_write(struct ld_replica *c, const struct ld_replica_store_result *r,
    uint64_t now_ms)
{
	if (r->status == LD_OK) {
		c->failures = 0;
		adopt(c, &c->draft, r->revision, now_ms);
		return;
	}
	/* Lost, conflicting or refused: what the store holds now decides. */
	c->record_known = false;
	c->next_record_ms = now_ms;
	if (r->status != LD_E_CONFLICT)
		retry_later(c, now_ms);
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
 * With most instances out of sight, and not known to be dead, this node
 * rather than the fabric is cut off: what it would plan is worth nothing.
 */
static bool
blind(const struct ld_replica *c, uint64_t now_ms)
{
	uint32_t listed = 0, unseen = 0;

	for (uint16_t i = 0; i < c->instances.count; i++) {
		const struct instance *in = &c->instances.v[i];

		if (!in->used || !in->listed)
			continue;
		listed++;
		unseen += !instance_fresh(in, now_ms) &&
		    !(in->seen && in->view.state == LD_HEALTH_DEAD);
	}
	return !c->listed || listed == 0 || 2 * unseen > listed;
}

static void
plan_and_write(struct ld_replica *c, uint64_t now_ms)
{
	struct plan p = {
	    .config = &c->config.plan,
	    .instances = &c->instances,
	    .fabric = c->fabric,
	    .report_ttl_ms = c->config.report_ttl_ms,
	    .since_ms = c->since_ms,
	    .now_ms = now_ms,
	};

	/*
	 * Of all writers that compare with one revision a single one wins, so
	 * a number above that revision names one version of a replica only.
	 */
	p.next_epoch = c->revision > c->fence ? c->revision : c->fence;
	if (c->epoch_seen > p.next_epoch)
		p.next_epoch = c->epoch_seen;
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
		c->record_known = false;
	}
	if (now_ms < c->next_record_ms)
		return;
	if (!c->record_known) {
		send_read(c, now_ms);
		return;
	}
	if (c->role == LD_REPLICA_WAITING && now_ms >= c->takeover_ms)
		c->role = LD_REPLICA_HOLDER;
	if (c->role == LD_REPLICA_HOLDER && c->config.plan.model_count > 0 &&
	    !blind(c, now_ms))
		plan_and_write(c, now_ms);
}
