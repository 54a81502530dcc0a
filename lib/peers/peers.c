/* Set-up of a node, timers, message dispatch, and queries. */
#include <assert.h>
#include <stdlib.h>

#include "peers_internal.h"

static void
set_self(struct ld_peers *p, const struct ld_peers_config *config)
{
	struct ld_wire_member self = {
	    .address = config->address,
	    .domain = config->domain,
	    .region = config->region,
	    .incarnation = config->incarnation,
	    .generation = 1,
	    .version = 1,
	    .state = LD_PEERS_ALIVE,
	};

	assert(config->incarnation != 0);
	assert(config->address.len > 0);
	assert(config->address.len <= LD_PEERS_ADDRESS_MAX_BYTES);
	p->self = member_add(p, &self);
	p->root = config->incarnation;
}

struct ld_peers *
ld_peers_new(const struct ld_peers_config *config, uint64_t now_ms)
{
	struct ld_peers *p = ld_alloc(sizeof(*p));

	ld_rand_seed(&p->rand, config->seed);
	p->now_ms = now_ms;
	p->changes.older = &p->changes;
	p->changes.newer = &p->changes;
	p->action_tail = &p->action_head;
	p->flush_due_ms = UINT64_MAX;
	p->tree_due_ms = UINT64_MAX;
	p->request_due_ms = UINT64_MAX;
	p->maintenance_due_ms = now_ms;
	p->rejoin_due_ms =
	    now_ms + ld_rand_below(&p->rand, REJOIN_INTERVAL_MIN_MS);
	p->seed_count = config->seed_count;
	p->seeds = ld_alloc(p->seed_count * sizeof(char *));
	for (size_t i = 0; i < p->seed_count; i++)
		p->seeds[i] = ld_str_dup(config->seeds[i]);
	set_self(p, config);
	mesh_select(p);
	peers_end_call(p);
	return p;
}

void
ld_peers_free(struct ld_peers *p)
{
	if (p == NULL)
		return;
	p->parent_link = 0;
	p->request_link = 0;
	while (p->links != NULL)
		link_free(p, p->links);
	for (size_t i = 0; i < p->member_count; i++) {
		records_remove(p, p->members[i]);
		item_remove(&p->members[i]->item);
		member_free(p->members[i]);
	}
	for (size_t i = 0; i < p->seed_count; i++)
		free(p->seeds[i]);
	free(p->seeds);
	free(p->members);
	ld_buf_free(&p->catalogue);
	actions_free(p);
	free(p);
}

/* ---- Time ---- */

/*
 * After a pause of this process, missing messages are no sign of a failed peer:
 * they are still unread in the sockets. All timeouts are extended by the pause.
 */
static void
compensate_pause(struct ld_peers *p, uint64_t gap)
{
	p->counters.pauses++;
	for (struct link *l = p->links; l != NULL; l = l->next) {
		l->last_received_ms += gap;
		l->deadline_ms += gap;
		if (l->ping_due_ms < p->now_ms)
			l->ping_due_ms = p->now_ms;
	}
	/* Overdue timers become due now, so no second pause is detected. */
	p->maintenance_due_ms = p->now_ms;
	if (p->flush_due_ms < p->now_ms)
		p->flush_due_ms = p->now_ms;
	if (p->tree_due_ms < p->now_ms)
		p->tree_due_ms = p->now_ms;
	if (p->request_due_ms < p->now_ms)
		p->request_due_ms = p->now_ms;
	for (size_t i = 0; i < p->member_count; i++) {
		if (p->members[i]->state == LD_PEERS_SUSPECT)
			p->members[i]->since_ms += gap;
	}
}

void
peers_begin_call(struct ld_peers *p, uint64_t now_ms)
{
	if (now_ms > p->now_ms)
		p->now_ms = now_ms;
	if (p->next_due_ms != UINT64_MAX &&
	    p->now_ms > p->next_due_ms + LD_PEERS_PAUSE_MS)
		compensate_pause(p, p->now_ms - p->next_due_ms);
}

void
peers_end_call(struct ld_peers *p)
{
	uint64_t due[] = {p->maintenance_due_ms, p->flush_due_ms,
	    p->tree_due_ms, p->request_due_ms, links_next_due(p)};

	p->next_due_ms = due[0];
	for (size_t i = 1; i < sizeof(due) / sizeof(due[0]); i++) {
		if (due[i] < p->next_due_ms)
			p->next_due_ms = due[i];
	}
}

void
ld_peers_tick(struct ld_peers *p, uint64_t now_ms)
{
	peers_begin_call(p, now_ms);
	links_tick(p);
	catalogue_tick(p);
	if (p->now_ms >= p->maintenance_due_ms) {
		p->maintenance_due_ms = p->now_ms + MAINTENANCE_INTERVAL_MS;
		members_maintain(p);
		mesh_maintain(p);
	}
	if (p->root_stale)
		tree_update(p);
	if (p->now_ms >= p->flush_due_ms)
		changes_flush(p);
	if (p->now_ms >= p->tree_due_ms)
		tree_announce(p);
	peers_end_call(p);
}

uint64_t
ld_peers_next_due(const struct ld_peers *p)
{
	return p->next_due_ms;
}

/* ---- Messages ---- */

static void
records_received(struct ld_peers *p, const struct link *l,
    const struct ld_wire_records *batch)
{
	uint32_t from = l->id;

	/* @l may be freed: a member may supersede the peer of this link. */
	for (size_t i = 0; i < batch->member_count; i++)
		member_merge(p, &batch->members[i], from);
	for (size_t i = 0; i < batch->record_count; i++)
		record_merge(p, &batch->records[i], from);
}

static void
dispatch(struct ld_peers *p, struct link *l, const struct ld_wire_msg *m)
{
	switch (m->kind) {
	case LD_WIRE_JOIN:
		link_joined(p, l, &m->join);
		break;
	case LD_WIRE_PING:
		ping_received(p, l, &m->ping, false);
		break;
	case LD_WIRE_ACK:
		ping_received(p, l, &m->ping, true);
		break;
	case LD_WIRE_DIGEST:
		digest_received(p, l, &m->digest);
		break;
	case LD_WIRE_RECORDS:
		records_received(p, l, &m->records);
		break;
	case LD_WIRE_CATALOGUE_REQUEST:
		catalogue_requested(p, l, m->catalogue.revision);
		break;
	case LD_WIRE_CATALOGUE_SNAPSHOT:
		catalogue_received(p, &m->catalogue, l->id);
		break;
	case LD_WIRE_DIRECT:
		direct_received(p, l, &m->direct);
		break;
	}
}

static void
receive(struct ld_peers *p, struct link *l, struct ld_str payload)
{
	struct ld_wire_msg m;

	p->counters.messages_in++;
	if (ld_wire_decode(payload, &m) != LD_OK) {
		p->counters.messages_refused++;
		return;
	}
	if (l->state == LINK_DIALING ||
	    (l->state == LINK_JOINING && m.kind != LD_WIRE_JOIN)) {
		p->counters.messages_refused++;
		link_close(p, l);
	} else {
		l->last_received_ms = p->now_ms;
		dispatch(p, l, &m);
	}
	ld_wire_msg_fini(&m);
}

void
ld_peers_message(
    struct ld_peers *p, uint64_t now_ms, uint32_t link, struct ld_str payload)
{
	struct link *l;

	peers_begin_call(p, now_ms);
	l = link_find(p, link);
	if (l != NULL)
		receive(p, l, payload);
	peers_end_call(p);
}

/* ---- Queries ---- */

size_t
ld_peers_alive_count(const struct ld_peers *p)
{
	size_t n = 0;

	for (size_t i = 0; i < p->member_count; i++)
		n += p->members[i]->state == LD_PEERS_ALIVE;
	return n;
}

size_t
ld_peers_member_count(const struct ld_peers *p)
{
	size_t n = 0;

	for (size_t i = 0; i < p->member_count; i++) {
		const struct member *m = p->members[i];

		n += member_is_live(m) ||
		    (m->state == LD_PEERS_DEAD && !m->removed);
	}
	return n;
}

void
ld_peers_each_member(const struct ld_peers *p,
    bool (*fn)(void *arg, const struct ld_peers_member *m), void *arg)
{
	for (size_t i = 0; i < p->member_count; i++) {
		struct ld_peers_member view = member_view(p, p->members[i]);

		if (!p->members[i]->removed && !fn(arg, &view))
			return;
	}
}

enum ld_status
ld_peers_find(const struct ld_peers *p, struct ld_str address,
    struct ld_peers_member *out)
{
	const struct member *m = member_find(p, address);

	if (m == NULL || m->removed)
		return LD_E_NOT_FOUND;
	*out = member_view(p, m);
	return LD_OK;
}

size_t
ld_peers_link_count(const struct ld_peers *p)
{
	size_t n = 0;

	for (const struct link *l = p->links; l != NULL; l = l->next)
		n += link_is_mesh(l);
	return n;
}

bool
ld_peers_isolated(const struct ld_peers *p)
{
	for (const struct link *l = p->links; l != NULL; l = l->next) {
		if (l->state == LINK_UP)
			return false;
	}
	return p->member_count > 1;
}

void
ld_peers_counters(const struct ld_peers *p, struct ld_peers_counters *out)
{
	*out = p->counters;
}
