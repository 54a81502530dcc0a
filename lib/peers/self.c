/*
 * What this node says of itself: it refutes suspicions, supersedes the
 * process that had its address before, and leaves.
 */
#include "peers_internal.h"

static void
self_raise(struct ld_peers *p, uint64_t generation, uint64_t version)
{
	struct member *m = p->self;

	table_toggle(p, m);
	m->generation = generation;
	m->version = version;
	table_toggle(p, m);
	member_changed(p, m, 0);
}

/*
 * Supersedes the process that had this address before. Two live ones that
 * were given one address by mistake would raise each other without end, so
 * each claim has to wait longer than the last.
 */
static void
self_claim(struct ld_peers *p, uint64_t generation)
{
	if (p->now_ms < p->claim_after_ms)
		return;
	p->claim_wait_ms = p->claim_wait_ms * 2 > CLAIM_MIN_MS
	    ? p->claim_wait_ms * 2
	    : CLAIM_MIN_MS;
	if (p->claim_wait_ms > CLAIM_MAX_MS)
		p->claim_wait_ms = CLAIM_MAX_MS;
	p->claim_after_ms = p->now_ms + p->claim_wait_ms;
	p->counters.address_claims++;
	self_raise(p, generation + 1, p->self->version);
	records_publish_again(p);
}

/* Answers words on this node itself that it cannot let stand. */
void
self_learn(struct ld_peers *p, const struct ld_wire_member *in)
{
	const struct member *m = p->self;

	if (p->left)
		return;
	if (in->incarnation != m->incarnation) {
		if (in->generation >= m->generation)
			self_claim(p, in->generation);
		return;
	}
	if (in->version < m->version ||
	    (in->version == m->version && in->state == LD_PEERS_ALIVE))
		return;
	p->counters.refutations++;
	self_raise(p, m->generation, in->version + 1);
	if (in->state != LD_PEERS_SUSPECT)
		records_publish_again(p);
}

void
ld_peers_leave(struct ld_peers *p, uint64_t now_ms)
{
	peers_enter(p, now_ms);
	if (!p->left) {
		p->left = true;
		p->self->version++;
		member_set_state(p, p->self, LD_PEERS_LEFT);
		spread_flush(p);
	}
	peers_leave_call(p);
}
