/*
 * Which links a node wants: its successor on a ring of its failure domain and
 * on a ring of its region, and where there are other regions the node over
 * there that rendezvous hashing gives it. Rings give each node one link from
 * its predecessor; a node that no one abroad has chosen takes a second link
 * there, so that each node has at least two across regions.
 */
#include "peers_internal.h"

static bool
usable(const struct ld_peers *p, const struct member *m)
{
	return m != p->self && m->state == LD_PEERS_ALIVE &&
	    m->dial_failures < UNREACHABLE_FAILURES;
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
is_wanted(const struct ld_peers *p, const struct member *m)
{
	for (size_t i = 0; i < p->wanted_count; i++) {
		if (p->wanted[i] == m)
			return true;
	}
	return false;
}

static void
want(struct ld_peers *p, struct member *m)
{
	if (m != NULL)
		p->wanted[p->wanted_count++] = m;
}

/* The next member on the ring that is not wanted already. */
static void
want_successor(struct ld_peers *p, enum ring ring)
{
	struct member *best = NULL;
	uint64_t best_gap = UINT64_MAX;

	for (size_t i = 0; i < p->member_count; i++) {
		struct member *m = p->members[i];
		uint64_t gap = m->ring[ring] - p->self->ring[ring];

		if (gap >= best_gap || !usable(p, m) || !in_ring(p, m, ring) ||
		    is_wanted(p, m))
			continue;
		best = m;
		best_gap = gap;
	}
	want(p, best);
}

/* Rendezvous weight; the finaliser of SplitMix64 mixes the two positions. */
static uint64_t
weight(const struct member *from, const struct member *to)
{
	uint64_t v = from->ring[RING_GLOBAL] +
	    to->ring[RING_GLOBAL] * UINT64_C(0x9e3779b97f4a7c15);

	v = (v ^ v >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	v = (v ^ v >> 27) * UINT64_C(0x94d049bb133111eb);
	return v ^ v >> 31;
}

static struct member *
best_abroad(const struct ld_peers *p)
{
	struct member *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < p->member_count; i++) {
		struct member *m = p->members[i];

		if (!usable(p, m) || same_region(m, p->self) || is_wanted(p, m))
			continue;
		if (best != NULL && weight(p->self, m) <= best_weight)
			continue;
		best = m;
		best_weight = weight(p->self, m);
	}
	return best;
}

/* Whether @other, in another region, has this node as its best abroad. */
static bool
chooses_self(const struct ld_peers *p, const struct member *other)
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
chosen_from_abroad(const struct ld_peers *p)
{
	for (size_t i = 0; i < p->member_count; i++) {
		const struct member *m = p->members[i];

		if (usable(p, m) && !same_region(m, p->self) &&
		    !is_wanted(p, m) && chooses_self(p, m))
			return true;
	}
	return false;
}

void
mesh_choose(struct ld_peers *p)
{
	struct member *abroad;

	p->wanted_count = 0;
	p->wanted_stale = false;
	abroad = best_abroad(p);
	want(p, abroad);
	if (abroad == NULL)
		want_successor(p, RING_GLOBAL);
	else if (!chosen_from_abroad(p))
		want(p, best_abroad(p));
	want_successor(p, RING_DOMAIN);
	want_successor(p, RING_REGION);
}

void
mesh_changed(struct ld_peers *p)
{
	uint64_t due;

	p->wanted_stale = true;
	p->root_stale = true;
	/* Jitter, as all nodes learn of a change at about the same time. */
	due = p->now_ms + REPAIR_MS + ld_rand_below(&p->rand, REPAIR_MS);
	if (due < p->house_due_ms)
		p->house_due_ms = due;
}

/* ---- Dials ---- */

static void
want_link(struct ld_peers *p, struct member *m)
{
	struct link *l = link_to(p, ld_str_c(m->address));

	if (l == NULL) {
		if (p->now_ms >= m->dial_after_ms)
			link_dial(p, ld_str_c(m->address), true);
		return;
	}
	l->wanted_ms = p->now_ms;
	if (l->self_mesh)
		return;
	l->self_mesh = true;
	if (l->state != LINK_UP)
		return;
	link_send_join(p, l);
	digest_start(p, l);
}

static void
give_up_unwanted(struct ld_peers *p, struct link *l)
{
	bool idle =
	    l->direct_ms == 0 || p->now_ms >= l->direct_ms + DIRECT_IDLE_MS;

	if (l->state != LINK_UP || p->now_ms < l->wanted_ms + UNWANTED_MS)
		return;
	if (l->self_mesh) {
		l->self_mesh = false;
		link_send_join(p, l);
	} else if (l->dialled && !l->peer_mesh && idle) {
		link_drop(p, l);
	}
}

static bool
may_be_cut_off(const struct ld_peers *p, const char *address)
{
	const struct member *m = member_at(p, ld_str_c(address));

	if (m == NULL)
		return true; /* a seed that was never met */
	return m != p->self && !m->gone && m->state == LD_PEERS_DEAD;
}

/*
 * Chooses a seed or a dead member, which may only have been cut off. The
 * larger the fleet, the more seldom each node dials, so that a node that
 * comes back is not met by all the others at once.
 */
static struct ld_str
choose_rejoin(struct ld_peers *p)
{
	uint64_t seen = 0;
	uint64_t wait;
	struct ld_str chosen = {NULL, 0};

	for (size_t i = 0; i < p->seed_count + p->member_count; i++) {
		const char *address = i < p->seed_count
		    ? p->seeds[i]
		    : p->members[i - p->seed_count]->address;

		if (!may_be_cut_off(p, address))
			continue;
		if (ld_rand_below(&p->rand, ++seen) == 0)
			chosen = ld_str_c(address);
	}
	wait = REJOIN_SHARE_MS * ld_peers_alive(p) / (seen > 0 ? seen : 1);
	if (wait < REJOIN_MIN_MS)
		wait = REJOIN_MIN_MS;
	if (wait > REJOIN_MAX_MS)
		wait = REJOIN_MAX_MS;
	p->rejoin_ms = p->now_ms + wait / 2 + ld_rand_below(&p->rand, wait);
	return chosen;
}

static bool
is_cut_off(const struct ld_peers *p)
{
	for (const struct link *l = p->links; l != NULL; l = l->next) {
		if (l->state == LINK_UP || l->dialled)
			return false;
	}
	return true;
}

/* Without any link every address that is known may be tried. */
static struct ld_str
choose_first(struct ld_peers *p)
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

	if (is_cut_off(p)) {
		if (p->now_ms >= p->seed_after_ms)
			address = choose_first(p);
	} else if (p->now_ms >= p->rejoin_ms) {
		address = choose_rejoin(p);
	}
	if (address.len == 0 || ld_str_eq(address, ld_str_c(p->self->address)))
		return;
	if (link_to(p, address) == NULL)
		link_dial(p, address, true);
}

void
mesh_maintain(struct ld_peers *p)
{
	struct link *l, *next;

	if (p->left)
		return;
	if (p->wanted_stale)
		mesh_choose(p);
	for (size_t i = 0; i < p->wanted_count; i++)
		want_link(p, p->wanted[i]);
	for (l = p->links; l != NULL; l = next) {
		next = l->next;
		give_up_unwanted(p, l);
	}
	rejoin(p);
}
