/* Links: dials, timeouts, and suspicion of nodes after the loss of a link. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "peers_internal.h"

bool
link_is_mesh(const struct link *l)
{
	return l->state == LINK_UP &&
	    (l->selected_by_self || l->selected_by_peer);
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
link_to_address(const struct ld_peers *p, struct ld_str address)
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
	l->id = ++p->last_link_id;
	l->dialled = dialled;
	l->deadline_ms = p->now_ms + JOIN_TIMEOUT_MS;
	l->last_selected_ms = p->now_ms;

	l->peer_distance = DISTANCE_NONE;
	return l;
}

struct link *
link_dial(struct ld_peers *p, struct ld_str address, bool mesh)
{
	struct link *l = link_add(p, true);

	l->state = LINK_DIALING;
	l->selected_by_self = mesh;
	l->last_direct_ms = mesh ? 0 : p->now_ms;
	l->address = ld_str_dup(address);
	p->counters.dials++;
	act_dial(p, l);
	return l;
}

/* Queued messages are sent on another link to the same address, or dropped. */
static void
requeue_direct(struct ld_peers *p, struct link *l)
{
	struct link *other = NULL;
	struct queued_direct *w;

	if (l->direct_queue != NULL)
		other = link_to_address(p, ld_str_c(l->address));
	while ((w = l->direct_queue) != NULL) {
		l->direct_queue = w->next;
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
	requeue_direct(p, l);
	catalogue_link_closed(p, l->id);
	if (p->parent_link == l->id)
		tree_update(p);
	free(l->address);
	free(l);
}

void
link_close(struct ld_peers *p, struct link *l)
{
	act_close(p, l->id);
	link_free(p, l);
}

void
links_close_incarnation(
    struct ld_peers *p, const char *address, uint64_t incarnation)
{
	struct link *l, *next;

	for (l = p->links; l != NULL; l = next) {
		next = l->next;
		if (l->state == LINK_UP && l->incarnation == incarnation &&
		    strcmp(l->address, address) == 0)
			link_close(p, l);
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
 * A member that is unreachable from this node alone refutes each suspicion.
 * Since every suspicion and refutation is flooded to all nodes, this node
 * raises one per SUSPICION_INTERVAL_MS and member.
 */
static void
raise_suspicion(struct ld_peers *p, struct member *m)
{
	if (m->state != LD_PEERS_ALIVE || p->has_left)
		return;
	if (m->last_suspected_ms != 0 &&
	    p->now_ms < m->last_suspected_ms + SUSPICION_INTERVAL_MS)
		return;
	m->last_suspected_ms = p->now_ms;
	p->counters.suspicions++;
	member_set_state(p, m, LD_PEERS_SUSPECT);
}

static void
dial_failed(struct ld_peers *p, struct link *l)
{
	struct member *m = member_find(p, ld_str_c(l->address));

	p->counters.dial_failures++;
	p->seed_failures++;
	p->seed_dial_after_ms = p->now_ms + backoff_ms(p, p->seed_failures);
	if (m == NULL)
		return;
	m->dial_failures++;
	m->dial_after_ms = p->now_ms + backoff_ms(p, m->dial_failures);
	mesh_schedule_update(p);
	raise_suspicion(p, m);
}

/*
 * A connection may time out or break although its node is healthy, so the node
 * is dialled again first and suspected only if that dial fails too.
 */
static void
probe(struct ld_peers *p, const char *address)
{
	struct member *m = member_find(p, ld_str_c(address));

	if (m == NULL || m->state != LD_PEERS_ALIVE || p->has_left)
		return;
	if (link_to_address(p, ld_str_c(address)) == NULL)
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
	mesh_schedule_update(p);
}

/* ---- Events and time ---- */

uint32_t
ld_peers_accepted(struct ld_peers *p, uint64_t now_ms)
{
	struct link *l;
	uint32_t id;

	peers_begin_call(p, now_ms);
	l = link_add(p, false);
	l->state = LINK_JOINING;
	id = l->id;
	link_send_join(p, l);
	peers_end_call(p);
	return id;
}

void
ld_peers_connected(struct ld_peers *p, uint64_t now_ms, uint32_t link)
{
	struct link *l;

	peers_begin_call(p, now_ms);
	l = link_find(p, link);
	if (l != NULL && l->state == LINK_DIALING) {
		l->state = LINK_JOINING;
		link_send_join(p, l);
	}
	peers_end_call(p);
}

void
ld_peers_closed(struct ld_peers *p, uint64_t now_ms, uint32_t link)
{
	struct link *l;

	peers_begin_call(p, now_ms);
	l = link_find(p, link);
	if (l != NULL)
		link_lost(p, l);
	peers_end_call(p);
}

static void
tick_link(struct ld_peers *p, struct link *l)
{
	if (p->now_ms >= l->last_received_ms + LINK_TIMEOUT_MS) {
		p->counters.links_timed_out++;
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
	uint32_t last = p->last_link_id;
	struct link *l = p->links;

	/* Losing a link may add new ones; the next tick handles them. */
	while (l != NULL && l->id <= last) {
		struct link *next = l->next;

		if (l->state == LINK_UP) {
			tick_link(p, l);
		} else if (p->now_ms >= l->deadline_ms) {
			act_close(p, l->id);
			link_lost(p, l);
		}
		l = next;
	}
}

uint64_t
links_next_due(const struct ld_peers *p)
{
	uint64_t due = UINT64_MAX;

	for (const struct link *l = p->links; l != NULL; l = l->next) {
		uint64_t at = l->deadline_ms;

		if (l->state == LINK_UP)
			at = l->last_received_ms + LINK_TIMEOUT_MS;
		if (l->state == LINK_UP && l->dialled && l->ping_due_ms < at)
			at = l->ping_due_ms;
		if (at < due)
			due = at;
	}
	return due;
}
