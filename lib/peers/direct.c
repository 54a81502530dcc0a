/*
 * Direct messages use an existing link to their destination or one dialled on
 * demand. The same pairs of nodes communicate repeatedly, so keeping a link
 * costs less than relaying, which would need routes and load other nodes.
 */
#include <stdlib.h>

#include "peers_internal.h"

static size_t
count_direct_links(const struct ld_peers *p)
{
	size_t n = 0;

	for (const struct link *l = p->links; l != NULL; l = l->next)
		n += l->dialled && !l->selected_by_self && !l->selected_by_peer;
	return n;
}

static void
encode(const struct ld_peers *p, const struct ld_wire_direct *d,
    struct ld_buf *payload)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_DIRECT};

	m.direct = *d;
	m.direct.from = ld_str_c(p->self->address);
	m.direct.from_incarnation = p->self->incarnation;
	ld_wire_encode(&m, payload);
}

static enum ld_status
enqueue(struct link *l, struct ld_buf *payload)
{
	struct queued_direct **end = &l->direct_queue;
	struct queued_direct *w;

	if (l->queue_bytes + payload->len > DIRECT_QUEUE_MAX_BYTES) {
		ld_buf_free(payload);
		return ld_fail(
		    LD_E_LIMIT, "direct message queue of the link is full");
	}
	while (*end != NULL)
		end = &(*end)->next;
	w = ld_alloc(sizeof(*w));
	w->payload = *payload;
	*end = w;
	l->queue_bytes += payload->len;
	return LD_OK;
}

static enum ld_status
dial_on_demand(struct ld_peers *p, struct ld_str to, struct link **out)
{
	const struct member *m = member_find(p, to);

	if (m == NULL)
		return ld_fail(LD_E_NOT_FOUND, "no member has this address");
	if (!member_is_live(m) || p->now_ms < m->dial_after_ms || p->has_left)
		return ld_fail(
		    LD_E_UNAVAILABLE, "node %s is unavailable", m->address);
	if (count_direct_links(p) >= DIRECT_LINKS_MAX)
		return ld_fail(LD_E_LIMIT, "too many on-demand links");
	*out = link_dial(p, to, false);
	return LD_OK;
}

static enum ld_status
send_to(struct ld_peers *p, const struct ld_wire_direct *d)
{
	struct link *l = link_to_address(p, d->to);
	struct ld_buf payload = {0};
	enum ld_status st = LD_OK;

	if (l == NULL)
		st = dial_on_demand(p, d->to, &l);
	if (l == NULL)
		return st;
	l->last_direct_ms = p->now_ms;
	encode(p, d, &payload);
	if (l->state != LINK_UP)
		return enqueue(l, &payload);
	act_send_payload(p, l, &payload);
	return LD_OK;
}

enum ld_status
ld_peers_send(struct ld_peers *p, uint64_t now_ms, struct ld_str to,
    uint64_t to_incarnation, uint32_t kind, struct ld_str bytes)
{
	struct ld_wire_direct d = {
	    .to = to,
	    .to_incarnation = to_incarnation,
	    .kind = kind,
	    .bytes = bytes,
	};
	enum ld_status st = LD_OK;

	if (bytes.len > LD_PEERS_DIRECT_MAX_BYTES)
		return ld_fail(
		    LD_E_TOO_LARGE, "direct message of %zu bytes", bytes.len);
	peers_begin_call(p, now_ms);
	if (ld_str_eq(to, ld_str_c(p->self->address))) {
		d.from = to;
		d.from_incarnation = p->self->incarnation;
		act_direct(p, &d);
	} else {
		st = send_to(p, &d);
	}
	peers_end_call(p);
	return st;
}

void
direct_flush(struct ld_peers *p, struct link *l)
{
	struct queued_direct *w;

	while ((w = l->direct_queue) != NULL) {
		l->direct_queue = w->next;
		act_send_payload(p, l, &w->payload);
		free(w);
	}
	l->queue_bytes = 0;
}

void
direct_received(
    struct ld_peers *p, struct link *l, const struct ld_wire_direct *d)
{
	bool for_me = ld_str_eq(d->to, ld_str_c(p->self->address)) &&
	    (d->to_incarnation == 0 ||
		d->to_incarnation == p->self->incarnation);
	bool from_peer = d->from_incarnation == l->incarnation &&
	    ld_str_eq(d->from, ld_str_c(l->address));

	if (!from_peer) {
		p->counters.messages_refused++;
		return;
	}
	l->last_direct_ms = p->now_ms;
	if (for_me)
		act_direct(p, d);
	else
		p->counters.direct_dropped++; /* for another incarnation */
}
