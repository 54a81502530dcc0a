/* Simulated servers of one fabric domain that carry out the orders of
 * lib/groups, on a simulated clock. */
#ifndef GROUPS_WORLD_H
#define GROUPS_WORLD_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine_entry.h"
#include "ld_groups.h"
#include "ld_test.h"

#define SERVERS 11
/* Ids of servers that tests add are below this. */
#define IDS_MAX 100
#define STEP_MS 50
#define LARGE "m0"
#define SMALL "m1"

/** struct world - servers of one domain that carry out orders immediately */
struct world {
	struct ld_groups *g;
	struct ld_servers *t;
	struct ld_engine_spec spec;
	struct ld_model_spec models[2];
	uint64_t now;
	bool dead[IDS_MAX];
	bool refuses[IDS_MAX]; /* refuses connections, but still runs */
	bool unlisted[IDS_MAX];
	int64_t fence_seen;
	unsigned int joins;
	unsigned int opens;
	unsigned int leaves;
	unsigned int stages;
	bool slow_close; /* a draining head stays open */
	bool slow_load; /* a member without the weights stays joining */
	bool slow_stage; /* a host does not finish loading */
	bool slow_open; /* a head does not open on the order */
	char opening[LD_GROUP_NAME_MAX];
	unsigned int unsafe_joins; /* joins of a server whose head may serve */
	unsigned int early_opens; /* opens before all members were ready */
	char staged[IDS_MAX][16];
	/* Optional: replaces carry_out(); called at the start of each step. */
	void (*take_order)(struct world *w, const struct ld_order *o);
	void (*step)(struct world *w);
};

static void
id_of(int i, char out[16])
{
	snprintf(out, 16, "s%02d", i);
}

static int
index_of(const char *id)
{
	return (int)strtol(id + 1, NULL, 10);
}

static struct ld_server *
server(struct world *w, int i)
{
	char id[16];

	id_of(i, id);
	return ld_servers_find(w->t, ld_str_c(id));
}

/* Replaces a server's entry with one of the given membership. */
static void
put(struct world *w, int i, enum ld_member_state st, const char *group,
    int64_t epoch, uint32_t rank, const char *model)
{
	struct ld_server_entry e;
	char id[16];

	id_of(i, id);
	e = engine_entry(id, "z1");
	e.started_ms = 1;
	e.domain = ld_strdup("d1");
	if (w->staged[i][0] != '\0') {
		e.staged = ld_alloc(sizeof(*e.staged));
		e.staged[0] = ld_strdup(w->staged[i]);
		e.staged_count = 1;
	}
	e.member.state = st;
	e.member.epoch = epoch;
	e.member.rank = rank;
	if (group != NULL)
		e.member.group = ld_strdup(group);
	if (model != NULL)
		e.member.model = ld_strdup(model);
	ld_servers_put(w->t, &e, w->now);
}

static void
world_open(struct world *w)
{
	*w = (struct world){.now = 1000};
	w->models[0] = (struct ld_model_spec){.name = (char *)LARGE,
	    .size = 6,
	    .work_share = 0.67,
	    .pace = 1.0,
	    .load_ms = 16000,
	    .stage_ms = 1600};
	w->models[1] = (struct ld_model_spec){.name = (char *)SMALL,
	    .size = 3,
	    .work_share = 0.33,
	    .pace = 0.6,
	    .load_ms = 12000,
	    .stage_ms = 1100};
	w->spec = (struct ld_engine_spec){.slots = 26,
	    .loads_per_s = 5.5,
	    .models = w->models,
	    .model_count = 2};
	w->g = ld_groups_new(w->now, true, STALL_MS);
	ld_groups_set_fenced(w->g, true);
	w->t = ld_servers_new();
	for (int i = 0; i < SERVERS; i++)
		put(w, i, LD_MEMBER_NONE, NULL, 0, 0, NULL);
}

static void
world_close(struct world *w)
{
	ld_groups_free(w->g);
	ld_servers_free(w->t);
}

/* Publishes a server's staged weights and keeps its membership. */
static void
publish_staged(struct world *w, int i)
{
	struct ld_membership m = server(w, i)->entry.member;
	char *group = m.group != NULL ? ld_strdup(m.group) : NULL;
	char *model = m.model != NULL ? ld_strdup(m.model) : NULL;

	put(w, i, m.state, group, m.epoch, m.rank, model);
	free(group);
	free(model);
}

/* Whether the server is in a group other than the order's whose head may
 * serve. */
static bool
head_may_serve(
    struct world *w, const struct ld_server *s, const struct ld_order *o)
{
	if (s->entry.member.group == NULL ||
	    strcmp(s->entry.member.group, o->group) == 0)
		return false;
	for (struct ld_server *h = ld_servers_first(w->t); h != NULL;
	     h = h->next)
		if (h->entry.member.rank == 0 && ld_server_same_group(h, s) &&
		    (h->entry.member.state == LD_MEMBER_OPEN ||
			strcmp(h->entry.member.group, w->opening) == 0) &&
		    !w->dead[index_of(h->entry.id)])
			return true;
	return false;
}

static bool
all_ready(struct world *w, const struct ld_order *o)
{
	for (size_t i = 0; i < o->member_count; i++) {
		struct ld_server *s =
		    ld_servers_find(w->t, ld_str_c(o->members[i]));

		if (s == NULL || s->entry.member.state != LD_MEMBER_READY ||
		    strcmp(s->entry.member.group, o->group) != 0)
			return false;
	}
	return true;
}

/* The host has the weights staged, or the server's last group ran the model. */
static bool
joins_without_load(struct world *w, int i, const char *model)
{
	const char *last = server(w, i)->entry.member.model;

	return strcmp(w->staged[i], model) == 0 ||
	    (last != NULL && strcmp(last, model) == 0);
}

static void
carry_out(struct world *w, const struct ld_order *o)
{
	int i = index_of(o->server);
	struct ld_server *s = server(w, i);
	enum ld_order_result r = LD_ORDER_DONE;
	uint32_t rank = 0;

	if (w->dead[i]) {
		ld_groups_on_order_result(w->g, o, LD_ORDER_SILENT, w->now);
		return;
	}
	if (w->refuses[i]) {
		ld_groups_on_order_result(
		    w->g, o, LD_ORDER_UNREACHABLE, w->now);
		return;
	}
	CU_ASSERT(o->fence >= w->fence_seen);
	w->fence_seen = o->fence;
	switch (o->type) {
	case LD_ORDER_JOIN:
		w->joins++;
		w->unsafe_joins += head_may_serve(w, s, o);
		while (strcmp(o->members[rank], o->server) != 0)
			rank++;
		if (w->slow_load && !joins_without_load(w, i, o->model)) {
			put(w, i, LD_MEMBER_JOINING, o->group, o->epoch, rank,
			    NULL);
			r = LD_ORDER_BEGUN;
			break;
		}
		if (!joins_without_load(w, i, o->model))
			snprintf(
			    w->staged[i], sizeof(w->staged[i]), "%s", o->model);
		put(w, i, LD_MEMBER_READY, o->group, o->epoch, rank, o->model);
		break;
	case LD_ORDER_OPEN:
		w->opens++;
		w->early_opens += !all_ready(w, o);
		if (w->slow_open) {
			memcpy(w->opening, o->group, sizeof(w->opening));
			break;
		}
		put(w, i, LD_MEMBER_OPEN, o->group, o->epoch, 0, o->model);
		break;
	case LD_ORDER_CLOSE:
		if (w->slow_close)
			break;
		put(w, i, LD_MEMBER_READY, o->group, o->epoch, 0, o->model);
		break;
	case LD_ORDER_LEAVE:
		w->leaves++;
		put(w, i, LD_MEMBER_NONE, NULL, 0, 0, o->model);
		break;
	case LD_ORDER_STAGE:
		w->stages++;
		if (w->slow_stage) {
			r = LD_ORDER_BEGUN;
			break;
		}
		snprintf(w->staged[i], sizeof(w->staged[i]), "%s", o->model);
		publish_staged(w, i);
		break;
	}
	ld_groups_on_order_result(w->g, o, r, w->now);
}

static void
run(struct world *w, bool settled, uint64_t for_ms)
{
	uint64_t end = w->now + for_ms;
	struct ld_group_change c;
	struct ld_server_entry report;
	struct ld_order o;
	struct ld_probe p;

	for (; w->now < end; w->now += STEP_MS) {
		if (w->step != NULL)
			w->step(w);
		ld_groups_tick(w->g, w->t, LD_STR("llm"), &w->spec, settled,
		    INT64_MAX, w->now);
		while (ld_groups_next_change(w->g, &c))
			;
		while (ld_groups_next_order(w->g, &o))
			if (w->take_order != NULL)
				w->take_order(w, &o);
			else
				carry_out(w, &o);
		while (ld_groups_next_probe(w->g, &p)) {
			int i = index_of(p.server);

			report = server(w, i)->entry;
			ld_groups_on_probe_result(
			    w->g, &p, w->dead[i] ? NULL : &report, w->now);
		}
	}
}

static size_t
count_open(struct world *w, const char *model)
{
	size_t n = 0;

	for (struct ld_server *s = ld_servers_first(w->t); s != NULL;
	     s = s->next)
		n += s->entry.member.state == LD_MEMBER_OPEN &&
		    !w->dead[index_of(s->entry.id)] && s->listed &&
		    strcmp(s->entry.member.model, model) == 0 &&
		    ld_servers_group_complete(
			w->t, s, strcmp(model, LARGE) == 0 ? 6 : 3);
	return n;
}

static inline size_t
count_staged_spares(struct world *w, const char *model)
{
	size_t n = 0;

	for (struct ld_server *s = ld_servers_first(w->t); s != NULL;
	     s = s->next)
		n += s->entry.member.group == NULL &&
		    s->entry.staged_count > 0 &&
		    strcmp(s->entry.staged[0], model) == 0;
	return n;
}

static inline int
member_of(struct world *w, const char *model, uint32_t rank)
{
	for (struct ld_server *s = ld_servers_first(w->t); s != NULL;
	     s = s->next)
		if (s->entry.member.group != NULL &&
		    s->entry.member.rank == rank &&
		    strcmp(s->entry.member.model, model) == 0)
			return index_of(s->entry.id);
	return -1;
}

static inline void
raise_alarm(struct world *w, int i)
{
	const struct ld_membership *m = &server(w, i)->entry.member;

	ld_groups_alarm(w->g, ld_str_c(m->group), m->epoch, w->now);
}

static inline void
unlist(struct world *w, int i)
{
	char id[16];

	id_of(i, id);
	ld_servers_remove(w->t, ld_str_c(id), w->now);
}

static inline void
set_leaving(struct world *w, int i)
{
	server(w, i)->entry.leaving = true;
}

#endif
