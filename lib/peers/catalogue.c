/*
 * Catalogue snapshot: pings announce the stored revision. A node with an older
 * one requests the snapshot from a single neighbour at a time, so that each
 * node receives the bytes once. Only a newer snapshot replaces the stored one.
 */
#include "peers_internal.h"

/* Upper bound on the encoding overhead of a snapshot message. */
#define SNAPSHOT_OVERHEAD_BYTES 64

static void
announce_revision(struct ld_peers *p, uint32_t except)
{
	for (struct link *l = p->links; l != NULL; l = l->next) {
		if (link_is_mesh(l) && l->id != except)
			ping_send(p, l);
	}
}

static void
store_snapshot(struct ld_peers *p, uint64_t revision, struct ld_str bytes)
{
	p->revision = revision;
	p->catalogue.len = 0;
	ld_buf_adds(&p->catalogue, bytes);
}

static void
send_request(struct ld_peers *p, struct link *l)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_CATALOGUE_REQUEST};

	m.catalogue.revision = p->revision;
	p->request_link = l->id;
	p->request_due_ms = p->now_ms + CATALOGUE_REQUEST_TIMEOUT_MS;
	p->counters.catalogue_requests++;
	act_send(p, l, &m);
}

/* Prefers another neighbour than the last one, if its snapshot is newer. */
static void
request_from_next(struct ld_peers *p)
{
	uint32_t last = p->request_link;
	struct link *best = NULL;

	for (struct link *l = p->links; l != NULL; l = l->next) {
		if (l->state != LINK_UP || l->peer_revision <= p->revision)
			continue;
		if (best == NULL || best->id == last)
			best = l;
	}
	p->request_link = 0;
	p->request_due_ms = UINT64_MAX;
	if (best != NULL)
		send_request(p, best);
}

void
catalogue_announced(struct ld_peers *p, struct link *l, uint64_t revision)
{
	l->peer_revision = revision;
	if (revision > p->revision && p->request_link == 0)
		send_request(p, l);
}

void
catalogue_requested(struct ld_peers *p, const struct link *l, uint64_t revision)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_CATALOGUE_SNAPSHOT};

	if (p->revision <= revision)
		return;
	m.catalogue.revision = p->revision;
	m.catalogue.bytes = ld_buf_str(&p->catalogue);
	act_send(p, l, &m);
}

void
catalogue_received(
    struct ld_peers *p, const struct ld_wire_catalogue *c, uint32_t from)
{
	if (c->revision <= p->revision)
		return;
	store_snapshot(p, c->revision, c->bytes);
	act_catalogue(p);
	announce_revision(p, from);
	request_from_next(p);
}

void
catalogue_tick(struct ld_peers *p)
{
	if (p->now_ms >= p->request_due_ms)
		request_from_next(p);
}

void
catalogue_link_closed(struct ld_peers *p, uint32_t link)
{
	if (p->request_link == link)
		request_from_next(p);
}

enum ld_status
ld_peers_offer_catalogue(
    struct ld_peers *p, uint64_t now_ms, uint64_t revision, struct ld_str bytes)
{
	if (bytes.len > LD_WIRE_PAYLOAD_MAX_BYTES - SNAPSHOT_OVERHEAD_BYTES)
		return ld_fail(
		    LD_E_TOO_LARGE, "catalogue of %zu bytes", bytes.len);
	if (revision <= p->revision)
		return ld_fail(LD_E_STALE,
		    "catalogue revision %llu is not newer than %llu",
		    (unsigned long long)revision,
		    (unsigned long long)p->revision);
	peers_begin_call(p, now_ms);
	store_snapshot(p, revision, bytes);
	announce_revision(p, 0);
	peers_end_call(p);
	return LD_OK;
}

uint64_t
ld_peers_catalogue(const struct ld_peers *p, struct ld_str *bytes)
{
	if (bytes != NULL)
		*bytes = ld_buf_str(&p->catalogue);
	return p->revision;
}

uint64_t
ld_peers_confirmed_revision(const struct ld_peers *p, struct ld_str address)
{
	const struct member *m = member_find(p, address);

	return m != NULL ? m->confirmed_revision : 0;
}

size_t
ld_peers_unconfirmed_count(const struct ld_peers *p, uint64_t revision,
    bool with_dead, void (*fn)(void *arg, const struct ld_peers_member *m),
    void *arg)
{
	size_t n = 0;

	for (size_t i = 0; i < p->member_count; i++) {
		const struct member *m = p->members[i];
		struct ld_peers_member view = member_view(p, m);
		bool dead = m->state == LD_PEERS_DEAD && !m->removed;

		if (!member_is_live(m) && !(with_dead && dead))
			continue;
		if (m->confirmed_revision >= revision)
			continue;
		n++;
		if (fn != NULL)
			fn(arg, &view);
	}
	return n;
}
