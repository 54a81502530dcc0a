/* Pings detect dead links and carry table, catalogue and tree summaries. */
#include "peers_internal.h"

/* Tables that differ for this long are compared by a digest exchange. */
#define MISMATCH_MS 1500

/* Adds a cost for children beyond CHILDREN_MAX: they prefer another parent. */
static uint32_t
advertised_distance(const struct ld_peers *p, const struct link *l)
{
	unsigned int children = 0;

	if (p->distance == DISTANCE_NONE)
		return DISTANCE_NONE;
	for (const struct link *at = p->links; at != NULL; at = at->next) {
		if (at == l)
			break;
		children += link_is_mesh(at) && at->peer_is_child;
	}
	if (!l->peer_is_child)
		children = tree_children(p);
	return children < CHILDREN_MAX ? p->distance
				       : p->distance + COST_CHILDREN_FULL;
}

static void
send_ping_or_ack(struct ld_peers *p, struct link *l, enum ld_wire_kind kind)
{
	struct ld_wire_msg m = {.kind = kind};

	m.ping.seq = ++l->ping_seq;
	m.ping.echo = l->peer_seq;
	m.ping.table_hash = table_hash(p);
	m.ping.catalogue_revision = p->revision;
	m.ping.root = p->root;
	m.ping.distance = advertised_distance(p, l);
	m.ping.parent = p->parent_link == l->id;
	if (l->awaited_seq == 0) {
		l->awaited_seq = l->ping_seq;
		l->awaited_sent_ms = p->now_ms;
	}
	act_send(p, l, &m);
}

void
ping_send(struct ld_peers *p, struct link *l)
{
	send_ping_or_ack(p, l, LD_WIRE_PING);
	l->ping_due_ms = p->now_ms + PING_INTERVAL_MS;
}

static void
handle_echo(struct ld_peers *p, struct link *l, uint64_t echo)
{
	if (l->awaited_seq == 0 || echo < l->awaited_seq)
		return;
	if (l->awaited_sent_ms > p->acked_ms)
		p->acked_ms = l->awaited_sent_ms;
	l->awaited_seq = 0;
}

uint64_t
ld_peers_last_acked_ping_ms(const struct ld_peers *p)
{
	return p->acked_ms;
}

/* Tables differ briefly after each change; only a lasting difference counts. */
static void
compare_tables(struct ld_peers *p, struct link *l, uint64_t peer_hash)
{
	if (peer_hash == table_hash(p)) {
		l->mismatch_since_ms = 0;
		return;
	}
	if (l->mismatch_since_ms == 0)
		l->mismatch_since_ms = p->now_ms;
	if (!l->dialled || p->now_ms < l->mismatch_since_ms + MISMATCH_MS)
		return;
	if (p->now_ms >= l->last_digest_ms + DIGEST_INTERVAL_MS)
		digest_start(p, l);
}

void
ping_received(struct ld_peers *p, struct link *l,
    const struct ld_wire_ping *ping, bool is_ack)
{
	l->peer_root = ping->root;
	l->peer_distance = ping->distance;
	l->peer_is_child = ping->parent;
	tree_update(p);
	l->peer_seq = ping->seq;
	handle_echo(p, l, ping->echo);
	if (!is_ack)
		send_ping_or_ack(p, l, LD_WIRE_ACK);
	catalogue_announced(p, l, ping->catalogue_revision);
	if (link_is_mesh(l))
		compare_tables(p, l, ping->table_hash);
}
