/*
 * Selection of neighbours: the successor of this node on the ring of its
 * failure domain and on the ring of its region and, if there are other regions,
 * a node of them chosen by rendezvous hashing. Each ring also gives a node a
 * link from its predecessor. A node that no node of another region selects
 * takes a second one there, so that each node has at least two links to other
 * regions.
 */
#include "peers_internal.h"

static bool
usable(const struct ld_peers *p, const struct member *m)
{
	return m != p->self && m->state == LD_PEERS_ALIVE &&
	    m->dial_failures < UNREACHABLE_DIAL_FAILURES;
}

static bool
same_region(const struct member *a, const struct member *b)
{
	return a->region_hash == b->region_hash;
}

static bool
in_ring(const struct ld_peers *p, const struct member *m, enum ring ring)
{
	if (ring == RING_GLOBAL)
		return true;
	if (!same_region(m, p->self))
		return false;
	return ring == RING_REGION ||
	    ld_str_eq(ld_str_c(m->domain), ld_str_c(p->self->domain));
}

static bool
is_selected(const struct ld_peers *p, const struct member *m)
{
	for (size_t i = 0; i < p->selected_count; i++) {
		if (p->selected[i] == m)
			return true;
	}
	return false;
}

static void
select_member(struct ld_peers *p, struct member *m)
{
	if (m != NULL)
		p->selected[p->selected_count++] = m;
}

/* Selects the next member on the ring that is not selected yet. */
static void
select_successor(struct ld_peers *p, enum ring ring)
{
	struct member *best = NULL;
	uint64_t best_gap = UINT64_MAX;

	for (size_t i = 0; i < p->member_count; i++) {
		struct member *m = p->members[i];
		uint64_t gap =
		    m->ring_position[ring] - p->self->ring_position[ring];

		if (gap >= best_gap || !usable(p, m) || !in_ring(p, m, ring) ||
		    is_selected(p, m))
			continue;
		best = m;
		best_gap = gap;
	}
	select_member(p, best);
}

/* Rendezvous weight: the SplitMix64 finaliser mixes the two ring positions. */
static uint64_t
weight(const struct member *from, const struct member *to)
{
	uint64_t v = from->ring_position[RING_GLOBAL] +
	    to->ring_position[RING_GLOBAL] * UINT64_C(0x9e3779b97f4a7c15);

	v = (v ^ v >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	v = (v ^ v >> 27) * UINT64_C(0x94d049bb133111eb);
	return v ^ v >> 31;
}

static struct member *
best_in_other_region(const struct ld_peers *p)
{
	struct member *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < p->member_count; i++) {
		struct member *m = p->members[i];

		if (!usable(p, m) || same_region(m, p->self) ||
		    is_selected(p, m))
			continue;
		if (best != NULL && weight(p->self, m) <= best_weight)
			continue;
		best = m;
		best_weight = weight(p->self, m);
	}
	return best;
}

/* Whether @other, in another region, selects this node. */
static bool
selects_self(const struct ld_peers *p, const struct member *other)
{
	uint64_t mine = weight(other, p->self);

	for (size_t i = 0; i < p->member_count; i++) {
		const struct member *m = p->members[i];

		if (usable(p, m) && !same_region(m, other) &&
		    weight(other, m) > mine)
			return false;
	}
	return true;
}

static bool
is_selected_from_other_region(const struct ld_peers *p)
{
	for (size_t i = 0; i < p->member_count; i++) {
		const struct member *m = p->members[i];

		if (usable(p, m) && !same_region(m, p->self) &&
		    !is_selected(p, m) && selects_self(p, m))
			return true;
	}
	return false;
}

void
mesh_select(struct ld_peers *p)
{
	struct member *remote;

	p->selected_count = 0;
	p->selection_stale = false;
	remote = best_in_other_region(p);
	select_member(p, remote);
	if (remote == NULL)
		select_successor(p, RING_GLOBAL);
	else if (!is_selected_from_other_region(p))
		select_member(p, best_in_other_region(p));
	select_successor(p, RING_DOMAIN);
	select_successor(p, RING_REGION);
}

void
mesh_schedule_update(struct ld_peers *p)
{
	uint64_t due;

	p->selection_stale = true;
	p->root_stale = true;
	/* Jitter, because all nodes receive a change at about the same time. */
	due = p->now_ms + MESH_REPAIR_DELAY_MS +
	    ld_rand_below(&p->rand, MESH_REPAIR_DELAY_MS);
	if (due < p->maintenance_due_ms)
		p->maintenance_due_ms = due;
}

/* ---- Dials ---- */

static void
ensure_link(struct ld_peers *p, struct member *m)
{
	struct link *l = link_to_address(p, ld_str_c(m->address));

	if (l == NULL) {
		if (p->now_ms >= m->dial_after_ms)
			link_dial(p, ld_str_c(m->address), true);
		return;
	}
	l->last_selected_ms = p->now_ms;
	if (l->selected_by_self)
		return;
	l->selected_by_self = true;
	if (l->state != LINK_UP)
		return;
	link_send_join(p, l);
	digest_start(p, l);
}

static void
release_unselected(struct ld_peers *p, struct link *l)
{
	bool idle = l->last_direct_ms == 0 ||
	    p->now_ms >= l->last_direct_ms + DIRECT_IDLE_TIMEOUT_MS;

	if (l->state != LINK_UP ||
	    p->now_ms < l->last_selected_ms + UNSELECTED_TIMEOUT_MS)
		return;
	if (l->selected_by_self) {
		l->selected_by_self = false;
		link_send_join(p, l);
	} else if (l->dialled && !l->selected_by_peer && idle) {
		link_close(p, l);
	}
}

static bool
may_be_partitioned(const struct ld_peers *p, const char *address)
{
	const struct member *m = member_find(p, ld_str_c(address));

	if (m == NULL)
		return true; /* a seed that has never joined */
	return m != p->self && !m->removed && m->state == LD_PEERS_DEAD;
}

/*
 * Chooses a random seed or dead member, which may be alive behind a partition.
 * The larger the fleet, the less often each node dials, so that a node that
 * returns is not dialled by all others at once.
 */
static struct ld_str
choose_rejoin_address(struct ld_peers *p)
{
	uint64_t candidates = 0;
	uint64_t wait;
	struct ld_str chosen = {NULL, 0};

	for (size_t i = 0; i < p->seed_count + p->member_count; i++) {
		const char *address = i < p->seed_count
		    ? p->seeds[i]
		    : p->members[i - p->seed_count]->address;

		if (!may_be_partitioned(p, address))
			continue;
		if (ld_rand_below(&p->rand, ++candidates) == 0)
			chosen = ld_str_c(address);
	}
	wait = REJOIN_FLEET_INTERVAL_MS * ld_peers_alive_count(p) /
	    (candidates > 0 ? candidates : 1);
	if (wait < REJOIN_INTERVAL_MIN_MS)
		wait = REJOIN_INTERVAL_MIN_MS;
	if (wait > REJOIN_INTERVAL_MAX_MS)
		wait = REJOIN_INTERVAL_MAX_MS;
	p->rejoin_due_ms = p->now_ms + wait / 2 + ld_rand_below(&p->rand, wait);
	return chosen;
}

static bool
has_no_links(const struct ld_peers *p)
{
	for (const struct link *l = p->links; l != NULL; l = l->next) {
		if (l->state == LINK_UP || l->dialled)
			return false;
	}
	return true;
}

/* Without any link, any seed or member is tried. */
static struct ld_str
choose_any_address(struct ld_peers *p)
{
	size_t n = p->seed_count + p->member_count;
	size_t i = ld_rand_below(&p->rand, n);

	if (i < p->seed_count)
		return ld_str_c(p->seeds[i]);
	return ld_str_c(p->members[i - p->seed_count]->address);
}

static void
rejoin(struct ld_peers *p)
{
	struct ld_str address = {NULL, 0};

	if (has_no_links(p)) {
		if (p->now_ms >= p->seed_dial_after_ms)
			address = choose_any_address(p);
	} else if (p->now_ms >= p->rejoin_due_ms) {
		address = choose_rejoin_address(p);
	}
	if (address.len == 0 || ld_str_eq(address, ld_str_c(p->self->address)))
		return;
	if (link_to_address(p, address) == NULL)
		link_dial(p, address, true);
}

void
mesh_maintain(struct ld_peers *p)
{
	struct link *l, *next;

	if (p->has_left)
		return;
	if (p->selection_stale)
		mesh_select(p);
	for (size_t i = 0; i < p->selected_count; i++)
		ensure_link(p, p->selected[i]);
	for (l = p->links; l != NULL; l = next) {
		next = l->next;
		release_unselected(p, l);
	}
	rejoin(p);
}
