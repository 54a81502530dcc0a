/* Application pings: they find silent links and carry small summaries. */
#include "peers_internal.h"

/* Tables have to differ for this long before they are compared in detail. */
#define MISMATCH_MS 1500

/* Further children make do with another parent, where there is one. */
static uint32_t
told_distance(const struct ld_peers *p, const struct link *l)
{
	unsigned int children = 0;

	if (p->distance == DISTANCE_NONE)
		return DISTANCE_NONE;
	for (const struct link *at = p->links; at != NULL; at = at->next) {
		if (at == l)
			break;
		children += link_is_mesh(at) && at->peer_parent;
	}
	if (!l->peer_parent)
		children = tree_children(p);
	return children < CHILDREN_MAX ? p->distance : p->distance + COST_FULL;
}

static void
send_kind(struct ld_peers *p, struct link *l, enum ld_wire_kind kind)
{
	struct ld_wire_msg m = {.kind = kind};

	m.ping.seq = ++l->ping_seq;
	m.ping.echo = l->heard_seq;
	m.ping.table_hash = table_hash(p);
	m.ping.catalogue_revision = p->revision;
	m.ping.root = p->root;
	m.ping.distance = told_distance(p, l);
	m.ping.parent = p->parent == l->id;
	if (l->timed_seq == 0) {
		l->timed_seq = l->ping_seq;
		l->timed_ms = p->now_ms;
	}
	act_send(p, l, &m);
}

void
ping_send(struct ld_peers *p, struct link *l)
{
	send_kind(p, l, LD_WIRE_PING);
	l->ping_due_ms = p->now_ms + PING_MS;
}

static void
note_echo(struct ld_peers *p, struct link *l, uint64_t echo)
{
	if (l->timed_seq == 0 || echo < l->timed_seq)
		return;
	if (l->timed_ms > p->acked_ms)
		p->acked_ms = l->timed_ms;
	l->timed_seq = 0;
}

uint64_t
ld_peers_acked_ms(const struct ld_peers *p)
{
	return p->acked_ms;
}

/* Tables differ for a moment after each change; only lasting ones count. */
static void
compare_tables(struct ld_peers *p, struct link *l, uint64_t peer_hash)
{
	if (peer_hash == table_hash(p)) {
		l->mismatch_ms = 0;
		return;
	}
	if (l->mismatch_ms == 0)
		l->mismatch_ms = p->now_ms;
	if (!l->dialled || p->now_ms < l->mismatch_ms + MISMATCH_MS)
		return;
	if (p->now_ms >= l->digest_ms + DIGEST_MS)
		digest_start(p, l);
}

void
ping_received(struct ld_peers *p, struct link *l,
    const struct ld_wire_ping *ping, bool is_ack)
{
	l->peer_root = ping->root;
	l->peer_distance = ping->distance;
	l->peer_parent = ping->parent;
	tree_update(p);
	l->heard_seq = ping->seq;
	note_echo(p, l, ping->echo);
	if (!is_ack)
		send_kind(p, l, LD_WIRE_ACK);
	catalogue_heard(p, l, ping->catalogue_revision);
	if (link_is_mesh(l))
		compare_tables(p, l, ping->table_hash);
}
