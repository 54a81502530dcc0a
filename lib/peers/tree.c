/*
 * The push tree: the parent of a node is its neighbour nearest to the root. The
 * root is the live member with the lowest incarnation; pings carry distances.
 * Where a node or its neighbour has no settled position, records are sent on
 * all mesh links: the tree saves bytes, but delivery does not depend on it.
 */
#include "peers_internal.h"

static uint64_t
choose_root(const struct ld_peers *p)
{
	uint64_t root = UINT64_MAX;

	for (size_t i = 0; i < p->member_count; i++) {
		const struct member *m = p->members[i];

		if (member_is_live(m) && m->incarnation < root)
			root = m->incarnation;
	}
	return root;
}

static bool
may_be_parent(const struct ld_peers *p, const struct link *l)
{
	return link_is_mesh(l) && l->peer_root == p->root &&
	    l->peer_distance < DISTANCE_MAX && !l->peer_is_child;
}

static void
choose_parent(struct ld_peers *p)
{
	p->parent_link = 0;
	p->distance = DISTANCE_NONE;
	if (p->root == p->self->incarnation) {
		p->distance = 0;
		return;
	}
	for (struct link *l = p->links; l != NULL; l = l->next) {
		uint32_t distance;

		if (!may_be_parent(p, l))
			continue;
		distance = l->peer_distance + l->cost;
		if (distance < p->distance) {
			p->distance = distance;
			p->parent_link = l->id;
		}
	}
}

void
tree_update(struct ld_peers *p)
{
	uint64_t root = p->root;
	uint32_t distance = p->distance;
	uint32_t parent = p->parent_link;

	if (p->root_stale)
		p->root = choose_root(p);
	p->root_stale = false;
	choose_parent(p);
	if (p->root == root && p->distance == distance &&
	    p->parent_link == parent)
		return;
	if (p->tree_due_ms != UINT64_MAX)
		return;
	p->tree_due_ms = p->tree_sent_ms + TREE_ANNOUNCE_INTERVAL_MS;
	if (p->tree_due_ms < p->now_ms)
		p->tree_due_ms = p->now_ms;
}

void
tree_announce(struct ld_peers *p)
{
	p->tree_due_ms = UINT64_MAX;
	p->tree_sent_ms = p->now_ms;
	for (struct link *l = p->links; l != NULL; l = l->next) {
		if (link_is_mesh(l))
			ping_send(p, l);
	}
}

unsigned int
tree_children(const struct ld_peers *p)
{
	unsigned int n = 0;

	for (const struct link *l = p->links; l != NULL; l = l->next)
		n += link_is_mesh(l) && l->peer_is_child;
	return n;
}

bool
tree_includes(const struct ld_peers *p, const struct link *l)
{
	if (l->id == p->parent_link || l->peer_is_child)
		return true;
	if (p->distance == DISTANCE_NONE)
		return true;
	return l->peer_root != p->root || l->peer_distance >= DISTANCE_MAX;
}
