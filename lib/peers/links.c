/* Links: dials, joins, silence, and what the loss of a link says of a node. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "peers_internal.h"

bool
link_is_mesh(const struct link *l)
{
	return l->state == LINK_UP && (l->self_mesh || l->peer_mesh);
}

struct link *
link_find(const struct ld_peers *p, uint32_t id)
{
	for (struct link *l = p->links; l != NULL; l = l->next) {
		if (l->id == id)
			return l;
	}
	return NULL;
}

struct link *
link_to(const struct ld_peers *p, struct ld_str address)
{
	struct link *found = NULL;

	for (struct link *l = p->links; l != NULL; l = l->next) {
		if (l->address == NULL ||
		    !ld_str_eq(ld_str_c(l->address), address))
			continue;
		if (l->state == LINK_UP)
			return l;
		found = l;
	}
	return found;
}

static struct link *
link_add(struct ld_peers *p, bool dialled)
{
	struct link *l = ld_alloc(sizeof(*l));
	struct link **end = &p->links;

	while (*end != NULL)
		end = &(*end)->next;
	*end = l;
	l->id = ++p->last_link;
	l->dialled = dialled;
	l->deadline_ms = p->now_ms + JOIN_TIMEOUT_MS;
	l->wanted_ms = p->now_ms;

	l->peer_distance = DISTANCE_NONE;
	return l;
}

struct link *
link_dial(struct ld_peers *p, struct ld_str address, bool mesh)
{
	struct link *l = link_add(p, true);

	l->state = LINK_DIALING;
	l->self_mesh = mesh;
	l->direct_ms = mesh ? 0 : p->now_ms;
	l->address = ld_str_dup(address);
	p->counters.dials++;
	act_dial(p, l);
	return l;
}

/* Messages that wait may find another link; the rest are lost. */
static void
pass_on_waiting(struct ld_peers *p, struct link *l)
{
	struct link *other = NULL;
	struct direct_wait *w;

	if (l->wait != NULL)
		other = link_to(p, ld_str_c(l->address));
	while ((w = l->wait) != NULL) {
		l->wait = w->next;
		if (other != NULL && other->state == LINK_UP)
			act_send_payload(p, other, &w->payload);
		else
			p->counters.direct_dropped++;
		ld_buf_free(&w->payload);
		free(w);
	}
}

void
link_free(struct ld_peers *p, struct link *l)
{
	struct link **at = &p->links;

	while (*at != l)
		at = &(*at)->next;
	*at = l->next;
	pass_on_waiting(p, l);
	catalogue_link_gone(p, l->id);
	if (p->parent == l->id)
		tree_update(p);
	free(l->address);
	free(l);
}

void
link_drop(struct ld_peers *p, struct link *l)
{
	act_close(p, l->id);
	link_free(p, l);
}

void
links_of_old_incarnation(
    struct ld_peers *p, const char *address, uint64_t incarnation)
{
	struct link *l, *next;

	for (l = p->links; l != NULL; l = next) {
		next = l->next;
		if (l->state == LINK_UP && l->incarnation == incarnation &&
		    strcmp(l->address, address) == 0)
			link_drop(p, l);
	}
}

/* ---- Failures ---- */

static uint64_t
backoff_ms(struct ld_peers *p, unsigned int failures)
{
	uint64_t bound = BACKOFF_MIN_MS;

	while (failures-- > 1 && bound < BACKOFF_MAX_MS)
		bound *= 2;
	return bound / 2 + ld_rand_below(&p->rand, bound);
}

/*
 * A node that only this one cannot reach refutes each suspicion; asking again
 * and again would flood all others, so this node asks once in a while.
 */
static void
suspect(struct ld_peers *p, struct member *m)
{
	if (m->state != LD_PEERS_ALIVE || p->left)
		return;
	if (m->suspected_ms != 0 &&
	    p->now_ms < m->suspected_ms + SUSPECT_AGAIN_MS)
		return;
	m->suspected_ms = p->now_ms;
	p->counters.suspicions++;
	member_set_state(p, m, LD_PEERS_SUSPECT);
}

static void
dial_failed(struct ld_peers *p, struct link *l)
{
	struct member *m = member_at(p, ld_str_c(l->address));

	p->counters.dial_failures++;
	p->seed_failures++;
	p->seed_after_ms = p->now_ms + backoff_ms(p, p->seed_failures);
	if (m == NULL)
		return;
	m->dial_failures++;
	m->dial_after_ms = p->now_ms + backoff_ms(p, m->dial_failures);
	mesh_changed(p);
	suspect(p, m);
}

/*
 * A connection may go silent or break while its node is well, so the node is
 * dialled afresh first; only when that fails too is it suspected.
 */
static void
probe(struct ld_peers *p, const char *address)
{
	struct member *m = member_at(p, ld_str_c(address));

	if (m == NULL || m->state != LD_PEERS_ALIVE || p->left)
		return;
	if (link_to(p, ld_str_c(address)) == NULL)
		link_dial(p, ld_str_c(address), true);
}

void
link_lost(struct ld_peers *p, struct link *l)
{
	char *address = NULL;

	if (l->state != LINK_UP && l->dialled)
		dial_failed(p, l);
	else if (link_is_mesh(l))
		address = ld_strdup(l->address);
	link_free(p, l);
	if (address != NULL)
		probe(p, address);
	free(address);
	mesh_changed(p);
}

/* ---- Joins ---- */

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

/* Tells the other side what is held against it, so that it can refute. */
static void
tell_verdict(struct ld_peers *p, struct link *l, struct ld_str address)
{
	struct member *m = member_at(p, address);
	struct batch b = {0};

	if (m->incarnation == l->incarnation && m->state == LD_PEERS_ALIVE)
		return;
	batch_member(p, l, &b, m);
	batch_send(p, l, &b);
	batch_fini(&b);
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
	tell_verdict(p, l, who->address);
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

/* ---- Events and time ---- */

uint32_t
ld_peers_accepted(struct ld_peers *p, uint64_t now_ms)
{
	struct link *l;
	uint32_t id;

	peers_enter(p, now_ms);
	l = link_add(p, false);
	l->state = LINK_JOINING;
	id = l->id;
	link_send_join(p, l);
	peers_leave_call(p);
	return id;
}

void
ld_peers_connected(struct ld_peers *p, uint64_t now_ms, uint32_t link)
{
	struct link *l;

	peers_enter(p, now_ms);
	l = link_find(p, link);
	if (l != NULL && l->state == LINK_DIALING) {
		l->state = LINK_JOINING;
		link_send_join(p, l);
	}
	peers_leave_call(p);
}

void
ld_peers_closed(struct ld_peers *p, uint64_t now_ms, uint32_t link)
{
	struct link *l;

	peers_enter(p, now_ms);
	l = link_find(p, link);
	if (l != NULL)
		link_lost(p, l);
	peers_leave_call(p);
}

static void
tick_up(struct ld_peers *p, struct link *l)
{
	if (p->now_ms >= l->heard_ms + SILENT_MS) {
		p->counters.links_silent++;
		act_close(p, l->id);
		link_lost(p, l);
		return;
	}
	if (l->dialled && p->now_ms >= l->ping_due_ms)
		ping_send(p, l);
}

void
links_tick(struct ld_peers *p)
{
	uint32_t last = p->last_link;
	struct link *l = p->links;

	/* A lost link may add new ones, which wait for the next tick. */
	while (l != NULL && l->id <= last) {
		struct link *next = l->next;

		if (l->state == LINK_UP) {
			tick_up(p, l);
		} else if (p->now_ms >= l->deadline_ms) {
			act_close(p, l->id);
			link_lost(p, l);
		}
		l = next;
	}
}

uint64_t
links_due(const struct ld_peers *p)
{
	uint64_t due = UINT64_MAX;

	for (const struct link *l = p->links; l != NULL; l = l->next) {
		uint64_t at = l->deadline_ms;

		if (l->state == LINK_UP)
			at = l->heard_ms + SILENT_MS;
		if (l->state == LINK_UP && l->dialled && l->ping_due_ms < at)
			at = l->ping_due_ms;
		if (at < due)
			due = at;
	}
	return due;
}
