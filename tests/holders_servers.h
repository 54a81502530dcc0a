/*
 * Model servers by the protocol's words: fences, epochs, groups that stand
 * still until they break. Each checks that it is in one group.
 */
#ifndef HOLDERS_SERVERS_H
#define HOLDERS_SERVERS_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine_entry.h"
#include "ld_groups.h"

#define SERVERS_MAX 900
#define MODELS 2
#define JOIN_AGAIN_MS 200 /* same model as in its last group */
#define STAGED_JOIN_MS 1200
#define LOAD_MS 5000
#define FORM_MS 300
/* A report may show the state of this long ago. */
#define REPORT_LAG_MS 300
#define HEARTBEAT_MS 1200
#define ENTRY_LAPSES_MS (3UL * HEARTBEAT_MS)

/** struct join - the group of a server; members by index, the head first */
struct join {
	char group[LD_GROUP_NAME_MAX]; /* empty: none */
	int64_t epoch;
	int model;
	size_t n;
	int members[LD_GROUP_SIZE_MAX];
};

/** enum cut - what a node sees of a server behind a partition */
enum cut {
	CUT_SILENT, /* orders and probes don't arrive, nor does an answer */
	CUT_REFUSES, /* connections are refused */
	CUT_ONE_WAY, /* they arrive, and are not answered */
	CUT_KINDS
};

/** struct sim_server - one server; a restart clears all but @domain */
struct sim_server {
	int domain;
	int64_t born;
	bool dead;
	bool ends_with_refusals; /* if dead: else it is dark */
	uint64_t restart_ms;
	uint64_t store_cut_until_ms;
	uint64_t cut_until_ms; /* from nodes, store and members */
	uint64_t nodes_cut_until_ms; /* from the nodes alone */
	enum cut nodes_cut; /* how */
	int64_t token_seen;
	int64_t epoch_seen;
	int64_t orders; /* that began something */
	int64_t orders_before; /* the last change */
	struct join join;
	enum ld_member_state state;
	struct ld_membership reported; /* of before the last change */
	char reported_group[LD_GROUP_NAME_MAX];
	uint64_t changed_ms;
	int last_model; /* of its last group, -1: none */
	int staged; /* on its host, -1: none */
	bool opening;
	uint64_t until_ms; /* end of a join or of opening, 0: none */
	uint64_t still_since_ms; /* a head that stands still, 0: none */
	bool changed; /* its entry is to be written */
	bool listed;
	uint64_t beat_ms; /* last heartbeat that the store has accepted */
};

/** struct servers - all of them, and what they have seen */
struct servers {
	struct sim_server v[SERVERS_MAX];
	int n;
	uint64_t now;
	unsigned int two_groups;
	unsigned int joins;
	unsigned int opens;
	bool ignores_fences;
	bool trace;
};

static int
server_index(const char *id)
{
	return (int)strtol(id + 1, NULL, 10);
}

static const char *
model_name(int model)
{
	return model == 0 ? "m0" : "m1";
}

static bool
same_join(const struct join *a, const struct join *b)
{
	return a->epoch == b->epoch && strcmp(a->group, b->group) == 0;
}

static bool
is_cut(const struct servers *s, int i)
{
	return s->now < s->v[i].cut_until_ms;
}

/* Whether a partition of that kind is between the server and the nodes. */
static bool
is_cut_from_nodes(const struct servers *s, int i, enum cut how)
{
	return s->now < s->v[i].nodes_cut_until_ms && s->v[i].nodes_cut == how;
}

/* Whether what a node sends doesn't arrive. */
static inline bool
is_out_of_reach(const struct servers *s, int i)
{
	return s->v[i].dead || is_cut(s, i) ||
	    is_cut_from_nodes(s, i, CUT_SILENT) ||
	    is_cut_from_nodes(s, i, CUT_REFUSES);
}

static void
note_change(struct servers *s, struct sim_server *v)
{
	memcpy(v->reported_group, v->join.group, sizeof(v->reported_group));
	v->reported =
	    (struct ld_membership){.epoch = v->join.epoch, .state = v->state};
	v->orders_before = v->orders;
	v->changed_ms = s->now;
	v->changed = true;
}

/* The group's head accepts requests, or may as long as it stands still. */
static bool
head_is_open(const struct servers *s, const struct join *of)
{
	const struct sim_server *h = &s->v[of->members[0]];

	return of->group[0] != '\0' && !h->dead && same_join(&h->join, of) &&
	    (h->state == LD_MEMBER_OPEN || h->state == LD_MEMBER_CLOSING);
}

static struct join
join_of(const struct ld_order *o)
{
	struct join j = {.epoch = o->epoch,
	    .model = o->model[1] - '0',
	    .n = o->member_count};

	snprintf(j.group, sizeof(j.group), "%s", o->group);
	for (size_t i = 0; i < o->member_count; i++)
		j.members[i] = server_index(o->members[i]);
	return j;
}

static enum ld_order_result
server_join(struct servers *s, int i, const struct ld_order *o)
{
	struct sim_server *v = &s->v[i];
	struct join j = join_of(o);

	if (o->epoch < v->epoch_seen)
		return LD_ORDER_FENCED;
	if (same_join(&v->join, &j))
		return v->state == LD_MEMBER_JOINING ? LD_ORDER_BEGUN
						     : LD_ORDER_DONE;
	if (head_is_open(s, &v->join)) {
		const struct join *was = &v->join;

		s->two_groups++;
		if (s->trace)
			printf("%llu s%03d joins %s, head s%03d of %s is %s\n",
			    (unsigned long long)s->now, i, j.group,
			    was->members[0], was->group,
			    ld_member_state_name(s->v[was->members[0]].state));
	}
	note_change(s, v);
	v->orders++;
	s->joins++;
	v->epoch_seen = o->epoch;
	v->join = j;
	v->state = LD_MEMBER_JOINING;
	v->opening = false;
	v->still_since_ms = 0;
	v->until_ms = s->now +
	    (v->last_model == j.model	   ? JOIN_AGAIN_MS
		    : v->staged == j.model ? STAGED_JOIN_MS
					   : LOAD_MS);
	return LD_ORDER_BEGUN;
}

static enum ld_order_result
server_leave(struct servers *s, struct sim_server *v)
{
	note_change(s, v);
	v->join.group[0] = '\0';
	v->join.epoch = 0;
	v->state = LD_MEMBER_NONE;
	v->opening = false;
	v->until_ms = 0;
	return LD_ORDER_DONE;
}

/* The answer of a server that an order reaches. */
static enum ld_order_result
server_take_order(struct servers *s, int i, const struct ld_order *o)
{
	struct sim_server *v = &s->v[i];
	struct join j = join_of(o);

	if (o->token < v->token_seen && !s->ignores_fences)
		return LD_ORDER_FENCED;
	v->token_seen = o->token;
	if (o->conditional && o->order_count != v->orders)
		return LD_ORDER_MISFIT;
	if (o->type == LD_ORDER_STAGE) {
		v->staged = j.model;
		v->orders++;
		v->changed = true;
		return LD_ORDER_BEGUN;
	}
	if (o->type == LD_ORDER_JOIN)
		return server_join(s, i, o);
	if (!same_join(&v->join, &j))
		return LD_ORDER_MISFIT;
	if (o->type == LD_ORDER_LEAVE)
		return server_leave(s, v);
	if (o->type == LD_ORDER_CLOSE) {
		if (v->state != LD_MEMBER_OPEN && !v->opening)
			return LD_ORDER_DONE;
		note_change(s, v);
		v->opening = false;
		v->until_ms = 0;
		v->state = LD_MEMBER_READY;
		return LD_ORDER_DONE;
	}
	if (v->state == LD_MEMBER_OPEN)
		return LD_ORDER_DONE;
	if (v->state != LD_MEMBER_READY)
		return LD_ORDER_MISFIT;
	if (!v->opening) {
		v->until_ms = s->now + FORM_MS;
		v->orders++;
	}
	v->opening = true;
	return LD_ORDER_BEGUN;
}

/* Some member of the head's group is dead, cut off from it, or not in it. */
static bool
stands_still(const struct servers *s, int head)
{
	const struct sim_server *h = &s->v[head];

	for (size_t i = 1; i < h->join.n; i++) {
		int m = h->join.members[i];

		if (s->v[m].dead || is_cut(s, m) != is_cut(s, head) ||
		    !same_join(&s->v[m].join, &h->join))
			return true;
	}
	return false;
}

static void
server_advance(struct servers *s, int i)
{
	struct sim_server *v = &s->v[i];

	if (v->until_ms != 0 && s->now >= v->until_ms) {
		v->until_ms = 0;
		note_change(s, v);
		if (v->opening) {
			v->opening = false;
			v->state = LD_MEMBER_OPEN;
			s->opens++;
		} else {
			v->state = LD_MEMBER_READY;
			v->last_model = v->staged = v->join.model;
		}
	}
	if (v->state != LD_MEMBER_OPEN || !stands_still(s, i)) {
		v->still_since_ms = 0;
		return;
	}
	if (v->still_since_ms == 0)
		v->still_since_ms = s->now;
	if (s->now < v->still_since_ms + STALL_MS)
		return;
	note_change(s, v);
	v->state = LD_MEMBER_BROKEN;
}

static void
server_start(struct servers *s, int i)
{
	struct sim_server *v = &s->v[i];

	*v = (struct sim_server){.domain = v->domain,
	    .born = (int64_t)s->now,
	    .listed = v->listed,
	    .beat_ms = v->beat_ms,
	    .last_model = -1,
	    .staged = v->staged,
	    .store_cut_until_ms = v->store_cut_until_ms,
	    .cut_until_ms = v->cut_until_ms,
	    .nodes_cut_until_ms = v->nodes_cut_until_ms,
	    .nodes_cut = v->nodes_cut,
	    .changed = true};
}

/* The entry that the server would write now. */
static struct ld_server_entry
server_entry(const struct servers *s, int i)
{
	const struct sim_server *v = &s->v[i];
	struct ld_server_entry e;
	char text[32];

	snprintf(text, sizeof(text), "s%03d", i);
	e = engine_entry(text, "z1");
	e.started_ms = v->born;
	snprintf(text, sizeof(text), "d%d", v->domain);
	e.domain = ld_strdup(text);
	if (v->staged >= 0) {
		e.staged = ld_alloc(sizeof(*e.staged));
		e.staged[0] = ld_strdup(model_name(v->staged));
		e.staged_count = 1;
	}
	e.member.state = v->state;
	if (v->join.group[0] != '\0') {
		e.member.group = ld_strdup(v->join.group);
		e.member.epoch = v->join.epoch;
		while (v->join.members[e.member.rank] != i)
			e.member.rank++;
	}
	if (v->last_model >= 0)
		e.member.model = ld_strdup(model_name(v->last_model));
	return e;
}

/* The server's report, which may be older than its entry. */
static struct ld_server_entry
server_report(const struct servers *s, int i)
{
	const struct sim_server *v = &s->v[i];
	struct ld_server_entry e = server_entry(s, i);

	e.has_order_count = true;
	e.order_count = v->orders;
	if (s->now >= v->changed_ms + REPORT_LAG_MS)
		return e;
	free(e.member.group);
	e.member.group =
	    v->reported_group[0] != '\0' ? ld_strdup(v->reported_group) : NULL;
	e.member.epoch = v->reported.epoch;
	e.member.state = v->reported.state;
	e.order_count = v->orders_before;
	return e;
}

static inline char *
copy_text(const char *s)
{
	return s != NULL ? ld_strdup(s) : NULL;
}

static inline struct ld_server_entry
copy_entry(const struct ld_server_entry *from)
{
	struct ld_server_entry e = *from;

	e.id = ld_strdup(from->id);
	e.service = ld_strdup(from->service);
	e.address = ld_strdup(from->address);
	e.zone = ld_strdup(from->zone);
	e.domain = ld_strdup(from->domain);
	if (from->staged_count > 0) {
		e.staged = ld_alloc(sizeof(*e.staged));
		e.staged[0] = ld_strdup(from->staged[0]);
	}
	e.member.group = copy_text(from->member.group);
	e.member.model = copy_text(from->member.model);
	return e;
}

#endif
