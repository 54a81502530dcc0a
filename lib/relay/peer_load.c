/* Applies the loads that peers report. */
#include <stdlib.h>

#include "load_aggregation.h"

/* A load that is not reported again within this time is removed, ms: several
 * consecutive datagrams may be lost. */
#define LOAD_EXPIRY_MS 600
/* A larger increase between two datagrams is an error of the peer or a restart:
 * the limits are those of some hundred long prompts. */
static const uint32_t step_max[LD_COUNT_KINDS] = {
    [LD_COUNT_TOKENS] = 400000,
    [LD_COUNT_SENT] = 1000,
    [LD_COUNT_DENIED] = 10000,
};
/* A peer that was alive for this long without a gap has reported everything it
 * ever sent, ms. */
#define CONTINUITY_MS 1000
/* Prompts of this node are included in the totals after this time at the
 * latest, ms. */
#define UNCOUNTED_EXPIRY_MS 1000
#define CAPACITY_MIN 32

void
peer_load_table_free(struct peer_load_table *t)
{
	free(t->v);
	*t = (struct peer_load_table){0};
}

static struct peer_load *
find_slot(struct peer_load *v, size_t capacity, uint32_t server)
{
	size_t i = server & (capacity - 1);

	while (v[i].server != 0 && v[i].server != server)
		i = (i + 1) & (capacity - 1);
	return &v[i];
}

static void
grow(struct peer_load_table *t)
{
	size_t capacity = t->capacity > 0 ? 2 * t->capacity : CAPACITY_MIN;
	struct peer_load *v = ld_alloc(capacity * sizeof(*v));

	for (size_t i = 0; i < t->capacity; i++)
		if (t->v[i].server != 0)
			*find_slot(v, capacity, t->v[i].server) = t->v[i];
	free(t->v);
	t->v = v;
	t->capacity = capacity;
}

static struct peer_load *
find_or_add(struct peer_load_table *t, uint32_t server, bool *is_new)
{
	struct peer_load *e;

	if (t->capacity == 0 || 4 * t->used >= 3 * t->capacity)
		grow(t);
	e = find_slot(t->v, t->capacity, server);
	*is_new = e->server == 0;
	if (*is_new) {
		e->server = server;
		t->used++;
	}
	return e;
}

static void
subtract_active(struct peer_load *e, struct ld_server *s)
{
	/* A server that was removed meanwhile starts at zero. */
	if (s != NULL) {
		s->peer_active -= e->counted_active < s->peer_active
		    ? e->counted_active
		    : s->peer_active;
		if (e->is_source)
			s->source_active -= e->counted_active < s->source_active
			    ? e->counted_active
			    : s->source_active;
	}
	e->counted_active = 0;
}

static void
replace_active(struct peer_load *e, struct ld_server *s, enum mesh_kind kind,
    uint32_t active)
{
	subtract_active(e, s);
	/* Totals include this node's own requests. */
	if (kind == MESH_TOTAL)
		active -= active < s->active ? active : s->active;
	e->counted_active = active;
	e->is_source = kind == MESH_REPORT;
	s->peer_active += active;
	if (e->is_source)
		s->source_active += active;
}

/* A delayed age makes the last byte look newer, never older: a group is found
 * silent later, never by mistake. */
static void
update_last_byte(struct ld_server *s, enum mesh_kind kind,
    const struct mesh_load *l, uint64_t now)
{
	uint64_t at = now > l->heard_ago_ms ? now - l->heard_ago_ms : 0;

	if (l->heard_ago_ms >= MESH_HEARD_AGO_MAX_MS)
		return;
	if (at > s->peer_last_byte_ms)
		s->peer_last_byte_ms = at;
	if (kind == MESH_REPORT && at > s->source_last_byte_ms)
		s->source_last_byte_ms = at;
}

/* The part of what totals newly report that this node itself has counted. */
static uint32_t
take_own(struct ld_shared_count *c, uint32_t n, uint64_t now)
{
	uint32_t own;

	if (now >= c->uncounted_ms + UNCOUNTED_EXPIRY_MS)
		c->uncounted = 0;
	own = n < c->uncounted ? n : (uint32_t)c->uncounted;
	c->uncounted -= own;
	return own;
}

/* Returns what other nodes have counted since the last report. */
static uint32_t
update_count(
    struct ld_shared_count *c, enum mesh_kind kind, uint32_t step, uint64_t now)
{
	if (kind == MESH_REPORT)
		c->sources += step;
	else if (kind == MESH_PARTIAL)
		c->partials += step;
	else
		step -= take_own(c, step, now);
	return step;
}

uint64_t
peer_load_update(struct peer *p, struct ld_server *s, enum mesh_kind kind,
    const struct mesh_load *l, uint64_t now_ms)
{
	bool is_new;
	struct peer_load *e = find_or_add(&p->loads, l->server, &is_new);
	bool has_gap = is_new ? now_ms < p->alive_since_ms + CONTINUITY_MS
			      : p->alive_since_ms > e->received_ms;
	bool changed =
	    l->counts[LD_COUNT_TOKENS] != e->counts[LD_COUNT_TOKENS] ||
	    e->counted_active != l->active ||
	    now_ms >= e->received_ms + LOAD_EXPIRY_MS;
	uint32_t steps[LD_COUNT_KINDS] = {0};

	replace_active(e, s, kind, l->active);
	update_last_byte(s, kind, l, now_ms);
	if (changed)
		s->load_changed_ms = now_ms;
	for (int c = 0; c < LD_COUNT_KINDS; c++) {
		uint32_t step = l->counts[c] - e->counts[c];

		/* The other counts are reported with a rate only. */
		if (c != LD_COUNT_TOKENS && !l->has_rate)
			continue;
		e->counts[c] = l->counts[c];
		if (c != LD_COUNT_TOKENS && !e->has_rate)
			continue;
		/* Prompts sent during a gap may have been processed long ago. */
		if (step > step_max[c] || has_gap)
			continue;
		steps[c] = update_count(&s->counts[c], kind, step, now_ms);
		ld_server_note_others(s, (enum ld_count)c, steps[c], now_ms);
	}
	e->has_rate = l->has_rate;
	e->received_ms = now_ms;
	return steps[LD_COUNT_TOKENS];
}

void
peer_load_expire(struct peer *p, struct ld_servers *servers, uint64_t now_ms)
{
	for (size_t i = 0; i < p->loads.capacity; i++) {
		struct peer_load *e = &p->loads.v[i];

		if (e->counted_active > 0 &&
		    now_ms >= e->received_ms + LOAD_EXPIRY_MS)
			subtract_active(
			    e, ld_servers_find_hash(servers, e->server));
	}
}
