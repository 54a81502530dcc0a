/* Joins: who is at the other end, and which of two links to it stays. */
#include <stdlib.h>
#include <string.h>

#include "peers_internal.h"

void
link_send_join(struct ld_peers *p, const struct link *l)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_JOIN};

	m.join.self = member_wire(p->self);
	m.join.mesh = l->self_mesh;
	act_send(p, l, &m);
}

/*
 * Two nodes may dial each other at once. Both see the same two links, and the
 * node with the larger address gives up the one that it dialled. Of two that
 * one side dialled, the older is stale.
 */
static bool
resolve_duplicate(struct ld_peers *p, struct link *l)
{
	struct link *other = p->links;
	struct link *victim;
	bool mesh;

	while (other != NULL &&
	    (other == l || other->state != LINK_UP ||
		other->incarnation != l->incarnation))
		other = other->next;
	if (other == NULL)
		return true;
	if (other->dialled == l->dialled) {
		victim = other;
	} else {
		victim = l->dialled ? l : other;
		if (strcmp(p->self->address, l->address) < 0)
			return true;
	}
	other = victim == l ? other : l;
	mesh = victim->self_mesh && !other->self_mesh;
	other->self_mesh |= victim->self_mesh;
	link_drop(p, victim);
	if (mesh)
		link_send_join(p, other);
	return other == l;
}

static void
become_up(struct ld_peers *p, struct link *l, const struct ld_wire_member *who)
{
	struct member *m = member_at(p, who->address);

	if (ld_peers_isolated(p))
		members_links_back(p);
	free(l->address);
	l->address = ld_str_dup(who->address);
	l->incarnation = who->incarnation;
	l->state = LINK_UP;
	l->cost = ld_str_eq(who->region, ld_str_c(p->self->region))
	    ? COST_NEAR
	    : COST_CROSS_REGION;
	l->heard_ms = p->now_ms;
	l->wanted_ms = p->now_ms;
	l->ping_due_ms = p->now_ms;
	l->sent_no = p->change_no;
	m->dial_failures = 0;
	m->dial_after_ms = 0;
	p->seed_failures = 0;
	direct_flush(p, l);
	if (!resolve_duplicate(p, l))
		return;
	if (l->dialled && l->self_mesh)
		digest_start(p, l);
	mesh_changed(p);
}

void
link_joined(struct ld_peers *p, struct link *l, const struct ld_wire_join *join)
{
	const struct ld_wire_member *who = &join->self;
	uint32_t id = l->id;

	l->peer_mesh = join->mesh;
	if (l->state == LINK_UP) {
		if (who->incarnation != l->incarnation) {
			p->counters.messages_refused++;
			link_drop(p, l);
		}
		return;
	}
	if (ld_str_eq(who->address, ld_str_c(p->self->address)) &&
	    who->incarnation == p->self->incarnation) {
		link_drop(p, l); /* a seed names this node itself */
		return;
	}
	member_learn(p, who, id);
	if (member_at(p, who->address) == NULL ||
	    member_at(p, who->address) == p->self) {
		p->counters.messages_refused++;
		link_drop(p, l);
		return;
	}
	become_up(p, l, who);
}
