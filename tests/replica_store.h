/* The simulated store of the lib/replica simulation. */
#ifndef REPLICA_STORE_H
#define REPLICA_STORE_H

#include "replica_parts.h"

static bool
lease_live(uint64_t id)
{
	return id > 0 && id <= w.store.lease_count &&
	    w.now_ms < w.store.leases[id - 1].until_ms;
}

static void
expire_control(void)
{
	if (w.store.has_control && !lease_live(w.store.control_lease)) {
		w.store.has_control = false;
		w.store.revision++;
	}
}

static void
store_lease(
    const struct ld_replica_action *a, struct ld_replica_store_result *r)
{
	struct store *s = &w.store;

	if (a->type == LD_REPLICA_LEASE_GRANT) {
		if (s->lease_count == LEASES) {
			r->status = LD_E_UNAVAILABLE;
			return;
		}
		s->leases[s->lease_count++].until_ms = w.now_ms + a->ttl_ms;
		r->lease = s->lease_count;
	} else if (!lease_live(a->lease)) {
		r->status = LD_E_NOT_FOUND;
	} else if (a->type == LD_REPLICA_LEASE_KEEPALIVE) {
		s->leases[a->lease - 1].until_ms = w.now_ms + TTL_MS;
	} else {
		s->leases[a->lease - 1].until_ms = 0;
	}
}

static void
store_control(
    const struct flight *f, struct ld_replica_store_result *r, char *value)
{
	struct store *s = &w.store;

	if (f->action.type == LD_REPLICA_CONTROL_READ) {
		r->status = s->has_control ? LD_OK : LD_E_NOT_FOUND;
		set_text(value, VALUE_MAX, s->control);
		r->revision = s->control_revision;
		r->lease = s->control_lease;
	} else if (s->has_control) {
		r->status = LD_E_CONFLICT;
	} else if (!lease_live(f->action.lease)) {
		r->status = LD_E_NOT_FOUND;
	} else {
		s->has_control = true;
		set_text(s->control, sizeof(s->control), f->value);
		s->control_revision = ++s->revision;
		s->control_lease = f->action.lease;
		r->revision = s->control_revision;
	}
}

static void
store_record(
    const struct flight *f, struct ld_replica_store_result *r, char *value)
{
	struct store *s = &w.store;

	if (f->action.type == LD_REPLICA_RECORD_READ) {
		r->status = s->record_revision > 0 ? LD_OK : LD_E_NOT_FOUND;
		r->revision = s->record_revision;
		set_text(value, VALUE_MAX, s->record);
	} else if (f->action.expected != s->record_revision) {
		r->status = LD_E_CONFLICT;
	} else {
		set_text(s->record, sizeof(s->record), f->value);
		s->record_revision = ++s->revision;
		r->revision = s->record_revision;
		if (w.tracing)
			ld_buf_printf(&w.trace, "  record %llu %s\n",
			    (unsigned long long)s->record_revision, s->record);
	}
}

static struct flight *
new_flight(void)
{
	for (int i = 0; i < FLIGHTS; i++) {
		if (w.flights[i].used)
			continue;
		w.flights[i].used = true;
		return &w.flights[i];
	}
	abort();
}

static uint64_t
delay_ms(uint64_t most)
{
	return w.faults ? ld_rand_below(&w.rand, most) : 0;
}

static void
store_apply(struct flight *f)
{
	struct flight *back = new_flight();

	expire_control();
	back->answer = true;
	back->node = f->node;
	back->action = f->action;
	back->due_ms = w.now_ms + delay_ms(300);
	back->result_value[0] = '\0';
	memset(&back->result, 0, sizeof(back->result));
	if (w.now_ms < w.store.out_until_ms) {
		back->result.status = LD_E_UNAVAILABLE;
		return;
	}
	switch (f->action.type) {
	case LD_REPLICA_CONTROL_READ:
	case LD_REPLICA_CONTROL_CREATE:
		store_control(f, &back->result, back->result_value);
		break;
	case LD_REPLICA_RECORD_READ:
	case LD_REPLICA_RECORD_WRITE:
		store_record(f, &back->result, back->result_value);
		break;
	default:
		store_lease(&f->action, &back->result);
	}
	if (chance(0.05) ||
	    (w.lose_write && f->action.type == LD_REPLICA_RECORD_WRITE)) {
		/* The write was applied, but its response is lost. */
		w.lose_write = false;
		back->result.status = LD_E_TIMEOUT;
		back->due_ms = w.now_ms + CALL_TIMEOUT_MS;
	}
}

#endif
