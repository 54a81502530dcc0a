/*
 * The member table: ordering of updates, suspicion and death.
 *
 * At the same address a higher (generation, incarnation) supersedes a lower
 * one. A process that receives an entry of another process at its own address
 * raises its generation above that entry. Within an incarnation the higher
 * version wins, and at the same version the higher state.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "peers_internal.h"

static size_t
search(const struct ld_peers *p, struct ld_str address, bool *found)
{
	size_t lo = 0, hi = p->member_count;

	*found = false;
	while (lo < hi) {
		size_t mid = (lo + hi) / 2;
		struct ld_str at = ld_str_c(p->members[mid]->address);
		size_t n = at.len < address.len ? at.len : address.len;
		int order = memcmp(at.p, address.p, n);

		if (order == 0 && at.len == address.len) {
			*found = true;
			return mid;
		}
		if (order < 0 || (order == 0 && at.len < address.len))
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct member *
member_find(const struct ld_peers *p, struct ld_str address)
{
	bool found;
	size_t i = search(p, address, &found);

	return found ? p->members[i] : NULL;
}

struct member *
member_by_incarnation(const struct ld_peers *p, uint64_t inc)
{
	for (size_t i = 0; i < p->member_count; i++) {
		if (p->members[i]->incarnation == inc)
			return p->members[i];
	}
	return NULL;
}

bool
member_is_live(const struct member *m)
{
	return m->state == LD_PEERS_ALIVE || m->state == LD_PEERS_SUSPECT;
}

/* ---- Hashes ---- */

size_t
bucket_of(uint64_t incarnation)
{
	return incarnation % LD_WIRE_BUCKETS;
}

uint64_t
member_hash(const struct member *m)
{
	uint64_t v[] = {m->incarnation, m->generation, m->version, m->state};

	return ld_hash64((struct ld_str){(const char *)v, sizeof(v)}, 0);
}

/* Dead members are excluded: nodes remove them at different times. */
void
table_hash_toggle(struct ld_peers *p, const struct member *m)
{
	uint64_t v[] = {member_hash(m), m->records_hash};

	if (!member_is_live(m))
		return;
	p->bucket_hash[bucket_of(m->incarnation)] ^=
	    ld_hash64((struct ld_str){(const char *)v, sizeof(v)}, 1);
}

uint64_t
table_hash(const struct ld_peers *p)
{
	return ld_hash64((struct ld_str){(const char *)p->bucket_hash,
			     sizeof(p->bucket_hash)},
	    2);
}

/* ---- Adding and removing ---- */

struct ld_wire_member
member_to_wire(const struct member *m)
{
	return (struct ld_wire_member){
	    .address = ld_str_c(m->address),
	    .domain = ld_str_c(m->domain),
	    .region = ld_str_c(m->region),
	    .incarnation = m->incarnation,
	    .generation = m->generation,
	    .version = m->version,
	    .state = (uint8_t)m->state,
	};
}

/* Copies the identity and state of @in; @m must not be in the table hashes. */
static void
assign(struct ld_peers *p, struct member *m, const struct ld_wire_member *in)
{
	if (m->incarnation != in->incarnation) {
		free(m->domain);
		free(m->region);
		m->domain = ld_str_dup(in->domain);
		m->region = ld_str_dup(in->region);
		m->region_hash = ld_hash64(in->region, 0);
		m->incarnation = in->incarnation;
		m->confirmed_revision = 0;
		m->last_suspected_ms = 0;
		m->dial_after_ms = 0;
		m->dial_failures = 0;
	}
	m->generation = in->generation;
	m->version = in->version;
	m->state = (enum ld_peers_state)in->state;
	m->since_ms = p->now_ms;
	m->removed = false;
}

struct member *
member_add(struct ld_peers *p, const struct ld_wire_member *in)
{
	struct member *m = ld_alloc(sizeof(*m));
	bool found;
	size_t at = search(p, in->address, &found);

	assert(!found);
	m->item.is_member = true;
	m->address = ld_str_dup(in->address);
	for (int r = 0; r < RING_COUNT; r++)
		m->ring_position[r] = ld_hash64(in->address, (uint64_t)r + 1);
	assign(p, m, in);
	if (p->member_count == p->member_cap) {
		p->member_cap = p->member_cap > 0 ? 2 * p->member_cap : 16;
		p->members = ld_realloc(
		    p->members, p->member_cap * sizeof(struct member *));
	}
	memmove(p->members + at + 1, p->members + at,
	    (p->member_count - at) * sizeof(struct member *));
	p->members[at] = m;
	p->member_count++;
	table_hash_toggle(p, m);
	return m;
}

void
member_free(struct member *m)
{
	free(m->address);
	free(m->domain);
	free(m->region);
	free(m);
}

static void
delete_member(struct ld_peers *p, size_t i)
{
	struct member *m = p->members[i];

	assert(m != p->self && !member_is_live(m));
	records_remove(p, m);
	item_remove(&m->item);
	p->member_count--;
	memmove(p->members + i, p->members + i + 1,
	    (p->member_count - i) * sizeof(struct member *));
	mesh_schedule_update(p);
	member_free(m);
}

static void
mark_removed(struct ld_peers *p, struct member *m)
{
	if (m->removed)
		return;
	m->removed = true;
	m->since_ms = p->now_ms;
	act_member(p, m, true);
}

/* ---- Changes ---- */

void
member_changed(struct ld_peers *p, struct member *m, uint32_t from)
{
	if (!member_is_live(m))
		records_remove(p, m);
	item_changed(p, &m->item, from, URGENT_DELAY_MS);
	mesh_schedule_update(p);
	if (m != p->self)
		act_member(p, m, false);
}

void
member_set_state(
    struct ld_peers *p, struct member *m, enum ld_peers_state state)
{
	table_hash_toggle(p, m);
	m->state = state;
	m->since_ms = p->now_ms;
	table_hash_toggle(p, m);
	if (state == LD_PEERS_DEAD)
		p->counters.deaths++;
	member_changed(p, m, 0);
}

static bool
is_newer(const struct ld_wire_member *in, const struct member *m)
{
	if (in->incarnation != m->incarnation) {
		if (in->generation != m->generation)
			return in->generation > m->generation;
		return in->incarnation > m->incarnation;
	}
	if (in->generation != m->generation)
		return in->generation > m->generation;
	if (in->version != m->version)
		return in->version > m->version;
	return in->state > m->state;
}

static bool
is_valid(const struct ld_wire_member *in)
{
	return in->incarnation != 0 && in->state <= LD_PEERS_LEFT &&
	    in->address.len > 0 &&
	    in->address.len <= LD_PEERS_ADDRESS_MAX_BYTES &&
	    in->domain.len <= LD_PEERS_ADDRESS_MAX_BYTES &&
	    in->region.len <= LD_PEERS_ADDRESS_MAX_BYTES;
}

/*
 * A received death counts as a suspicion if this node still holds the member as
 * alive or suspect. After a partition each side has declared the other dead;
 * this gives those members time to refute before their death spreads further.
 */
static struct ld_wire_member
death_to_suspicion(const struct ld_wire_member *in, const struct member *m)
{
	struct ld_wire_member w = *in;

	if (m != NULL && m->incarnation == in->incarnation &&
	    member_is_live(m) && in->state == LD_PEERS_DEAD)
		w.state = LD_PEERS_SUSPECT;
	return w;
}

static void
update_member(
    struct ld_peers *p, struct member *m, const struct ld_wire_member *in)
{
	if (m->incarnation != in->incarnation) {
		records_remove(p, m);
		links_close_incarnation(p, m->address, m->incarnation);
	}
	table_hash_toggle(p, m);
	assign(p, m, in);
	table_hash_toggle(p, m);
}

void
member_merge(struct ld_peers *p, const struct ld_wire_member *in, uint32_t from)
{
	struct member *m = member_find(p, in->address);
	struct ld_wire_member w = death_to_suspicion(in, m);

	if (!is_valid(in)) {
		p->counters.messages_refused++;
		return;
	}
	if (m != NULL && m == p->self) {
		self_merge(p, in);
		return;
	}
	if (m != NULL && !is_newer(&w, m))
		return;
	if (m == NULL)
		m = member_add(p, &w);
	else
		update_member(p, m, &w);
	if (m->state == LD_PEERS_DEAD)
		p->counters.deaths++;
	member_changed(p, m, from);
}

void
members_restart_suspicions(struct ld_peers *p)
{
	for (size_t i = 0; i < p->member_count; i++) {
		if (p->members[i]->state == LD_PEERS_SUSPECT)
			p->members[i]->since_ms = p->now_ms;
	}
}

/* ---- Time ---- */

/*
 * A node without links cannot distinguish its own isolation from the death of
 * all others, so it declares no member dead.
 */
static bool
may_conclude_death(const struct ld_peers *p, const struct member *m)
{
	return m->state == LD_PEERS_SUSPECT && !ld_peers_isolated(p) &&
	    p->now_ms >= m->since_ms + SUSPECT_TIMEOUT_MS;
}

void
members_maintain(struct ld_peers *p)
{
	for (size_t i = p->member_count; i-- > 0;) {
		struct member *m = p->members[i];
		uint64_t age = p->now_ms - m->since_ms;

		if (m == p->self)
			continue;
		if (may_conclude_death(p, m))
			member_set_state(p, m, LD_PEERS_DEAD);
		else if (m->removed && age >= REMOVED_RETENTION_MS)
			delete_member(p, i);
		else if (!member_is_live(m) && age >= DEAD_RETENTION_MS)
			mark_removed(p, m);
	}
}

void
ld_peers_confirm_removed(
    struct ld_peers *p, uint64_t now_ms, struct ld_str address)
{
	struct member *m;

	peers_begin_call(p, now_ms);
	m = member_find(p, address);
	if (m != NULL && m->state == LD_PEERS_SUSPECT)
		member_set_state(p, m, LD_PEERS_DEAD);
	if (m != NULL && m != p->self && !member_is_live(m))
		mark_removed(p, m);
	peers_end_call(p);
}
