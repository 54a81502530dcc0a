/* What follows from the loads that peers tell. */
#include <stdlib.h>

#include "aggregate.h"

/* A load that was not told again for so long counts no more, ms: some datagrams
 * in a row may be lost. */
#define TOLD_MS 600
/* A count that grows by more between two datagrams is an error of the peer, or
 * it has started again, in tokens: some hundred long prompts. */
#define TOKENS_AT_ONCE_MAX 400000
/* A peer that was heard for so long without a gap has told all that it ever
 * sent, ms. */
#define KNOWN_MS 1000
/* Prompts of this node are in the totals after so long at the latest, ms. */
#define UNSEEN_MS 1000
#define ROOM_MIN 32

void
told_free(struct told_table *t)
{
	free(t->v);
	*t = (struct told_table){0};
}

static struct told *
find_place(struct told *v, size_t room, uint32_t server)
{
	size_t i = server & (room - 1);

	while (v[i].server != 0 && v[i].server != server)
		i = (i + 1) & (room - 1);
	return &v[i];
}

static void
grow(struct told_table *t)
{
	size_t room = t->room > 0 ? 2 * t->room : ROOM_MIN;
	struct told *v = ld_alloc(room * sizeof(*v));

	for (size_t i = 0; i < t->room; i++)
		if (t->v[i].server != 0)
			*find_place(v, room, t->v[i].server) = t->v[i];
	free(t->v);
	t->v = v;
	t->room = room;
}

static struct told *
place_of(struct told_table *t, uint32_t server, bool *is_new)
{
	struct told *e;

	if (t->room == 0 || 4 * t->used >= 3 * t->room)
		grow(t);
	e = find_place(t->v, t->room, server);
	*is_new = e->server == 0;
	if (*is_new) {
		e->server = server;
		t->used++;
	}
	return e;
}

static void
take_back(struct told *e, struct ld_server *s)
{
	/* A server that was forgotten meanwhile starts at none. */
	if (s != NULL) {
		s->peer_active -=
		    e->counted < s->peer_active ? e->counted : s->peer_active;
		if (e->is_source)
			s->source_active -= e->counted < s->source_active
			    ? e->counted
			    : s->source_active;
	}
	e->counted = 0;
}

static void
count(struct told *e, struct ld_server *s, enum mesh_kind kind, uint32_t active)
{
	take_back(e, s);
	/* Totals include this node's own requests. */
	if (kind == MESH_TOTAL)
		active -= active < s->active ? active : s->active;
	e->counted = active;
	e->is_source = kind == MESH_REPORT;
	s->peer_active += active;
	if (e->is_source)
		s->source_active += active;
}

/* An age that is told late makes the byte look newer, never older: a group is
 * taken for silent later, not for nothing. */
static void
note_heard(struct ld_server *s, enum mesh_kind kind, const struct mesh_load *l,
    uint64_t now)
{
	uint64_t at = now > l->heard_ago_ms ? now - l->heard_ago_ms : 0;

	if (l->heard_ago_ms >= MESH_AGO_MAX_MS)
		return;
	if (at > s->peer_heard_ms)
		s->peer_heard_ms = at;
	if (kind == MESH_REPORT && at > s->source_heard_ms)
		s->source_heard_ms = at;
}

/* Of what was sent to a server since the last totals, this node's part. */
static uint32_t
own_part(struct ld_server *s, uint32_t tokens, uint64_t now)
{
	uint32_t own;

	if (now >= s->unseen_ms + UNSEEN_MS)
		s->unseen_tokens = 0;
	own = tokens < s->unseen_tokens ? tokens : (uint32_t)s->unseen_tokens;
	s->unseen_tokens -= own;
	return own;
}

uint64_t
told_take(struct peer *p, struct ld_server *s, enum mesh_kind kind,
    const struct mesh_load *l, uint64_t now_ms)
{
	bool is_new;
	struct told *e = place_of(&p->told, l->server, &is_new);
	bool has_gap = is_new ? now_ms < p->heard_since_ms + KNOWN_MS
			      : p->heard_since_ms > e->at_ms;
	uint32_t more = l->sent_tokens - e->tokens;
	bool changed = more != 0 || e->counted != l->active ||
	    now_ms >= e->at_ms + TOLD_MS;

	count(e, s, kind, l->active);
	note_heard(s, kind, l, now_ms);
	e->tokens = l->sent_tokens;
	e->at_ms = now_ms;
	if (changed)
		s->load_changed_ms = now_ms;
	/* What was sent in a gap may have been read long ago. */
	if (more > TOKENS_AT_ONCE_MAX || has_gap)
		return 0;
	if (kind == MESH_REPORT)
		s->source_tokens += more;
	else if (kind == MESH_PARTIAL)
		s->partial_tokens += more;
	else
		more -= own_part(s, more, now_ms);
	return more;
}

void
told_expire(struct peer *p, struct ld_servers *servers, uint64_t now_ms)
{
	for (size_t i = 0; i < p->told.room; i++) {
		struct told *e = &p->told.v[i];

		if (e->counted > 0 && now_ms >= e->at_ms + TOLD_MS)
			take_back(e, ld_servers_find_hash(servers, e->server));
	}
}
