/* Application pings: they find silent links and carry small summaries. */
#include "peers_internal.h"

/* Tables have to differ for this long before they are compared in detail. */
#define MISMATCH_MS 1500

static void
fill(const struct ld_peers *p, const struct link *l, struct ld_wire_ping *ping)
{
	ping->table_hash = table_hash(p);
	ping->catalogue_revision = p->revision;
	ping->root = p->root;
	ping->distance = p->distance;
	ping->parent = p->parent == l->id;
}

void
ping_send(struct ld_peers *p, struct link *l)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_PING};

	m.ping.seq = ++l->ping_seq;
	fill(p, l, &m.ping);
	act_send(p, l, &m);
	l->ping_due_ms = p->now_ms + PING_MS;
}

static void
ack_send(struct ld_peers *p, const struct link *l, uint64_t seq)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_ACK};

	m.ping.seq = seq;
	fill(p, l, &m.ping);
	act_send(p, l, &m);
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

/* Only the newest ping's time is known: older acks say nothing new. */
static void
note_ack(struct ld_peers *p, const struct link *l, uint64_t seq)
{
	uint64_t sent_ms = l->ping_due_ms - PING_MS;

	if (seq == l->ping_seq && sent_ms > p->acked_ms)
		p->acked_ms = sent_ms;
}

uint64_t
ld_peers_acked_ms(const struct ld_peers *p)
{
	return p->acked_ms;
}

void
ping_received(struct ld_peers *p, struct link *l,
    const struct ld_wire_ping *ping, bool is_ack)
{
	l->peer_root = ping->root;
	l->peer_distance = ping->distance;
	l->peer_parent = ping->parent;
	tree_update(p);
	if (!is_ack)
		ack_send(p, l, ping->seq);
	else
		note_ack(p, l, ping->seq);
	catalogue_heard(p, l, ping->catalogue_revision);
	if (link_is_mesh(l))
		compare_tables(p, l, ping->table_hash);
}
