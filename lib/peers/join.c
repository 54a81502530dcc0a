/* Join messages: identify the peer and resolve duplicate links to it. */
#include <stdlib.h>
#include <string.h>

#include "peers_internal.h"

void
link_send_join(struct ld_peers *p, const struct link *l)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_JOIN};

	m.join.self = member_to_wire(p->self);
	m.join.mesh = l->selected_by_self;
	act_send(p, l, &m);
}

/*
 * Two nodes may dial each other at the same time. Both then see the same two
 * links, and the link dialled by the node with the larger address is closed. Of
 * two links dialled by the same side, the older is stale. Returns whether @l is
 * kept.
 */
static bool
resolve_duplicate(struct ld_peers *p, struct link *l)
{
	struct link *other = p->links;
	struct link *redundant;
	bool mesh;

	while (other != NULL &&
	    (other == l || other->state != LINK_UP ||
		other->incarnation != l->incarnation))
		other = other->next;
	if (other == NULL)
		return true;
	if (other->dialled == l->dialled) {
		redundant = other;
	} else {
		redundant = l->dialled ? l : other;
		if (strcmp(p->self->address, l->address) < 0)
			return true;
	}
	other = redundant == l ? other : l;
	mesh = redundant->selected_by_self && !other->selected_by_self;
	other->selected_by_self |= redundant->selected_by_self;
	link_close(p, redundant);
	if (mesh)
		link_send_join(p, other);
	return other == l;
}

static void
link_established(
    struct ld_peers *p, struct link *l, const struct ld_wire_member *peer)
{
	struct member *m = member_find(p, peer->address);

	if (ld_peers_isolated(p))
		members_restart_suspicions(p);
	free(l->address);
	l->address = ld_str_dup(peer->address);
	l->incarnation = peer->incarnation;
	l->state = LINK_UP;
	l->cost = ld_str_eq(peer->region, ld_str_c(p->self->region))
	    ? COST_SAME_REGION
	    : COST_CROSS_REGION;
	l->last_received_ms = p->now_ms;
	l->last_selected_ms = p->now_ms;
	l->ping_due_ms = p->now_ms;
	l->sent_change_no = p->change_no;
	m->dial_failures = 0;
	m->dial_after_ms = 0;
	p->seed_failures = 0;
	direct_flush(p, l);
	if (!resolve_duplicate(p, l))
		return;
	if (l->dialled && l->selected_by_self)
		digest_start(p, l);
	mesh_schedule_update(p);
}

/*
 * The peer took the address of an earlier process whose entry is newer by chance
 * of its incarnation. The exchange of tables skips the dead, so the peer might
 * never learn of that entry, which it has to supersede.
 */
static void
send_predecessor(
    struct ld_peers *p, const struct link *l, const struct member *predecessor)
{
	struct batch b = {0};

	batch_member(p, l, &b, predecessor);
	batch_send(p, l, &b);
	batch_fini(&b);
}

void
link_joined(struct ld_peers *p, struct link *l, const struct ld_wire_join *join)
{
	const struct ld_wire_member *peer = &join->self;
	struct member *known;
	uint32_t id = l->id;

	l->selected_by_peer = join->mesh;
	if (l->state == LINK_UP) {
		if (peer->incarnation != l->incarnation) {
			p->counters.messages_refused++;
			link_close(p, l);
		}
		return;
	}
	if (ld_str_eq(peer->address, ld_str_c(p->self->address)) &&
	    peer->incarnation == p->self->incarnation) {
		link_close(p, l); /* a seed is the address of this node */
		return;
	}
	member_merge(p, peer, id);
	known = member_find(p, peer->address);
	if (known == NULL || known == p->self) {
		p->counters.messages_refused++;
		link_close(p, l);
		return;
	}
	if (known->incarnation != peer->incarnation)
		send_predecessor(p, l, known);
	link_established(p, l, peer);
}
