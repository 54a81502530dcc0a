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
