/*
 * The entry of this node itself: it refutes suspicions, supersedes an earlier
 * process at its address, and leaves.
 */
#include "peers_internal.h"

static void
self_update(struct ld_peers *p, uint64_t generation, uint64_t version)
{
	struct member *m = p->self;

	table_hash_toggle(p, m);
	m->generation = generation;
	m->version = version;
	table_hash_toggle(p, m);
	member_changed(p, m, 0);
}

/*
 * Supersedes another process at this address. Two live processes that were
 * configured with the same address by mistake would raise their generations in
 * turn without end, so the interval between claims doubles each time, up to
 * CLAIM_INTERVAL_MAX_MS.
 */
static void
self_claim_address(struct ld_peers *p, uint64_t generation)
{
	if (p->now_ms < p->claim_after_ms)
		return;
	p->claim_interval_ms = p->claim_interval_ms * 2 > CLAIM_INTERVAL_MIN_MS
	    ? p->claim_interval_ms * 2
	    : CLAIM_INTERVAL_MIN_MS;
	if (p->claim_interval_ms > CLAIM_INTERVAL_MAX_MS)
		p->claim_interval_ms = CLAIM_INTERVAL_MAX_MS;
	p->claim_after_ms = p->now_ms + p->claim_interval_ms;
	p->counters.address_claims++;
	self_update(p, generation + 1, p->self->version);
	records_republish(p);
}

void
self_merge(struct ld_peers *p, const struct ld_wire_member *in)
{
	const struct member *m = p->self;

	if (p->has_left)
		return;
	if (in->incarnation != m->incarnation) {
		if (in->generation >= m->generation)
			self_claim_address(p, in->generation);
		return;
	}
	if (in->version < m->version ||
	    (in->version == m->version && in->state == LD_PEERS_ALIVE))
		return;
	p->counters.refutations++;
	self_update(p, m->generation, in->version + 1);
	if (in->state != LD_PEERS_SUSPECT)
		records_republish(p);
}

void
ld_peers_leave(struct ld_peers *p, uint64_t now_ms)
{
	peers_begin_call(p, now_ms);
	if (!p->has_left) {
		p->has_left = true;
		p->self->version++;
		member_set_state(p, p->self, LD_PEERS_LEFT);
		changes_flush(p);
	}
	peers_end_call(p);
}
