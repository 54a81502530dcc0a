/* Group control: leadership, queues of orders and probes, and their results. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "groups_internal.h"

/* How long no group uses a server that refused an order, ms. */
#define AVOID_AFTER_REFUSAL_MS 1000
/* How long no group uses a server that did not answer an order, ms: it may be cut
 * off, and another is chosen for the next group. */
#define AVOID_AFTER_SILENCE_MS 3000

/* Alarms within this time of a member's last probe don't probe it again, ms. */
#define ALARM_REPROBE_MS 400

/* Upper bound of the random delay before acquiring a free lease, ms: keeps
 * nodes from trying all at once. */
#define LEASE_JITTER_MS 300
/* Additional delay of a node when a larger one is listed, ms: covers the larger
 * node's random delay and some round trips to the store. */
#define LARGER_NODE_ADVANTAGE_MS 500
/* Minimum uptime before acquiring the lease, ms, so that the other nodes are
 * listed: all start within 0.3 s and need two calls to the store for it. */
#define NODE_DISCOVERY_MS 700

uint64_t
ld_groups_acquire_delay_ms(
    struct ld_rand *rand, bool larger_listed, uint64_t up_ms)
{
	uint64_t wait = ld_rand_below(rand, LEASE_JITTER_MS);

	if (larger_listed)
		wait += LARGER_NODE_ADVANTAGE_MS;
	if (up_ms < NODE_DISCOVERY_MS)
		wait += NODE_DISCOVERY_MS - up_ms;
	return wait;
}

const char *
ld_order_name(enum ld_order_type t)
{
	static const char *const names[] = {
	    "join", "open", "close", "leave", "stage"};

	return names[t];
}

const char *
ld_order_result_name(enum ld_order_result r)
{
	static const char *const names[LD_ORDER_RESULT_COUNT] = {"done",
	    "begun", "misfit", "fenced", "other-server", "silent",
	    "unreachable"};

	return names[r];
}

void
ld_groups_set_fenced(struct ld_groups *g, bool fenced)
{
	g->fenced = fenced;
}

struct ld_groups *
ld_groups_new(uint64_t now_ms, bool initial, uint64_t stall_ms)
{
	struct ld_groups *g = ld_alloc(sizeof(*g));

	g->started_ms = now_ms;
	g->initial = initial;
	g->stall_ms = stall_ms;
	return g;
}

static void
free_groups(struct ld_groups *g)
{
	struct group *next;

	for (struct group *gr = g->groups; gr != NULL; gr = next) {
		next = gr->next;
		free(gr);
	}
	g->groups = NULL;
	g->order_count = g->order_read = 0;
}

void
ld_groups_free(struct ld_groups *g)
{
	if (g == NULL)
		return;
	free_groups(g);
	server_info_free_all(g);
	free(g->domains);
	free(g->orders);
	free(g->changes);
	free(g);
}

void
ld_groups_lead(struct ld_groups *g, int64_t fence, uint64_t now_ms)
{
	g->leading = true;
	g->adopted = false;
	g->fence = fence;
	g->lead_ms = now_ms;
	g->last_epoch = fence * EPOCHS_PER_FENCE;
	/* Probes of an earlier lease say nothing about the servers of today. */
	for (struct server_info *i = g->infos; i != NULL; i = i->next) {
		i->failed_probes = 0;
		i->probe_due = false;
	}
}

void
ld_groups_yield(struct ld_groups *g)
{
	g->leading = false;
	g->initial = false;
	free_groups(g);
}

void
ld_groups_note_traffic(struct ld_groups *g)
{
	g->has_traffic = true;
}

bool
ld_groups_epochs_exhausted(const struct ld_groups *g)
{
	return g->leading &&
	    g->last_epoch - g->fence * EPOCHS_PER_FENCE >= EPOCHS_PER_FENCE - 1;
}

bool
ld_groups_leading(const struct ld_groups *g)
{
	return g->leading;
}

void
ld_groups_each_serving(const struct ld_groups *g,
    void (*fn)(void *user, const struct ld_serving_group *s), void *user)
{
	for (const struct group *gr = g->groups; gr != NULL; gr = gr->next) {
		struct ld_serving_group s = {
		    gr->name, gr->model, gr->epoch, gr->member_count, {NULL}};

		if (gr->phase != PHASE_SERVING)
			continue;
		for (size_t i = 0; i < gr->member_count; i++)
			s.members[i] = gr->members[i].id;
		fn(user, &s);
	}
}

/* ---- Queues of orders, probes and changes ---- */

struct ld_order *
order_add(struct ld_groups *g, enum ld_order_type type,
    const struct ld_server *to, const struct group *about)
{
	struct ld_order *o;

	g->orders =
	    ld_realloc(g->orders, (g->order_count + 1) * sizeof(*g->orders));
	o = &g->orders[g->order_count++];
	memset(o, 0, sizeof(*o));
	o->type = type;
	o->fence = g->fence;
	o->token = g->revision;
	server_info_get(g, to)->token = o->token;
	snprintf(o->server, sizeof(o->server), "%s", to->entry.id);
	snprintf(o->address, sizeof(o->address), "%s", to->entry.address);
	if (about == NULL)
		return o;
	snprintf(o->group, sizeof(o->group), "%s", about->name);
	snprintf(o->model, sizeof(o->model), "%s", about->model);
	o->epoch = about->epoch;
	o->member_count = about->member_count;
	for (size_t i = 0; i < about->member_count; i++)
		memcpy(
		    o->members[i], about->members[i].id, sizeof(o->members[i]));
	return o;
}

bool
ld_groups_next_order(struct ld_groups *g, struct ld_order *out)
{
	if (g->order_read == g->order_count) {
		g->order_read = g->order_count = 0;
		return false;
	}
	*out = g->orders[g->order_read++];
	return true;
}

void
change_add(struct ld_groups *g, const char *what, const struct group *about,
    const char *server, const char *why)
{
	struct ld_group_change *c;

	g->changes =
	    ld_realloc(g->changes, (g->change_count + 1) * sizeof(*g->changes));
	c = &g->changes[g->change_count++];
	memset(c, 0, sizeof(*c));
	c->what = what;
	c->why = why;
	memcpy(c->group, about->name, sizeof(c->group));
	memcpy(c->model, about->model, sizeof(c->model));
	c->epoch = about->epoch;
	snprintf(c->server, sizeof(c->server), "%s", server);
}

bool
ld_groups_next_change(struct ld_groups *g, struct ld_group_change *out)
{
	if (g->change_read == g->change_count) {
		g->change_read = g->change_count = 0;
		return false;
	}
	*out = g->changes[g->change_read++];
	return true;
}

bool
ld_groups_next_probe(struct ld_groups *g, struct ld_probe *out)
{
	for (struct server_info *info = g->infos; info != NULL;
	     info = info->next) {
		if (!info->probe_due)
			continue;
		info->probe_due = false;
		memset(out, 0, sizeof(*out));
		memcpy(out->server, info->id, sizeof(out->server));
		return true;
	}
	return false;
}

void
group_name(char out[LD_GROUP_NAME_MAX], const char *model, int64_t epoch)
{
	snprintf(out, LD_GROUP_NAME_MAX, "%.40s/%lld", model, (long long)epoch);
}

struct ld_str
group_model(const char *name)
{
	const char *end = strrchr(name, '/');

	if (end == NULL)
		return ld_str_c(NULL);
	return (struct ld_str){name, (size_t)(end - name)};
}

void
group_set_phase(struct group *gr, enum phase phase, uint64_t now_ms)
{
	gr->phase = phase;
	gr->phase_since_ms = now_ms;
	gr->ordered_ms = 0;
}

/* ---- Results ---- */

static struct group *
find_group(struct ld_groups *g, const char *name, int64_t epoch)
{
	for (struct group *gr = g->groups; gr != NULL; gr = gr->next)
		if (gr->epoch == epoch && strcmp(gr->name, name) == 0)
			return gr;
	return NULL;
}

static struct member *
find_member(struct group *gr, const char *id)
{
	for (size_t i = 0; i < gr->member_count; i++)
		if (strcmp(gr->members[i].id, id) == 0)
			return &gr->members[i];
	return NULL;
}

static void
on_join_result(struct group *gr, const struct ld_order *o,
    enum ld_order_result r, uint64_t now_ms)
{
	struct member *m = find_member(gr, o->server);

	if (m == NULL)
		return;
	pending_result(&m->joins, r, now_ms);
	if (gr->phase == PHASE_FORMING)
		m->accepted = r == LD_ORDER_DONE || r == LD_ORDER_BEGUN;
}

bool
ld_groups_on_order_result(struct ld_groups *g, const struct ld_order *o,
    enum ld_order_result r, uint64_t now_ms)
{
	struct group *gr = find_group(g, o->group, o->epoch);
	struct server_info *info = server_info_find(g, o->server);

	if (!g->leading || o->fence != g->fence)
		return true;
	if (info != NULL && r != LD_ORDER_SILENT && r != LD_ORDER_UNREACHABLE) {
		info->answered_ms = now_ms;
		info->failed_probes = 0;
	}
	if (info != NULL && r == LD_ORDER_SILENT)
		info->avoid_until_ms = now_ms + AVOID_AFTER_SILENCE_MS;
	else if (info != NULL && r != LD_ORDER_DONE && r != LD_ORDER_BEGUN)
		info->avoid_until_ms = now_ms + AVOID_AFTER_REFUSAL_MS;
	if (info != NULL)
		info->has_order_count = false;
	/* A later order of this lease may have overtaken it. */
	if (r == LD_ORDER_FENCED && (info == NULL || o->token >= info->token))
		return false;
	if (gr == NULL)
		return true;
	if (o->type == LD_ORDER_JOIN)
		on_join_result(gr, o, r, now_ms);
	if (o->type == LD_ORDER_OPEN)
		pending_result(&gr->opens, r, now_ms);
	if (o->type == LD_ORDER_LEAVE)
		closing_on_left(gr, o, r, now_ms);
	return true;
}

void
ld_groups_on_probe_result(struct ld_groups *g, const struct ld_probe *p,
    const struct ld_server_entry *report, uint64_t now_ms)
{
	struct server_info *info = server_info_find(g, p->server);

	if (info == NULL)
		return;
	if (report == NULL) {
		info->failed_probes++;
		return;
	}
	info->failed_probes = 0;
	info->answered_ms = now_ms;
	info->has_order_count =
	    report->has_order_count && report->member.group == NULL;
	info->order_count = report->order_count;
	info->reported_ms = now_ms;
	info->reported_epoch = report->member.epoch;
	snprintf(info->reported_group, sizeof(info->reported_group), "%s",
	    report->member.group != NULL ? report->member.group : "");
}

void
ld_groups_alarm(
    struct ld_groups *g, struct ld_str group, int64_t epoch, uint64_t now_ms)
{
	char name[LD_GROUP_NAME_MAX];
	struct group *gr;

	snprintf(name, sizeof(name), "%.*s", LD_FMT(group));
	gr = find_group(g, name, epoch);
	if (!g->leading || gr == NULL || gr->phase != PHASE_SERVING)
		return;
	for (size_t i = 0; i < gr->member_count; i++) {
		struct server_info *info =
		    server_info_find(g, gr->members[i].id);

		if (info == NULL || info->probe_due ||
		    now_ms < info->probe_ms + ALARM_REPROBE_MS)
			continue;
		info->probe_due = true;
		info->probe_ms = now_ms;
	}
}

void
ld_groups_tick(struct ld_groups *g, struct ld_servers *servers,
    struct ld_str service, const struct ld_engine_spec *spec, bool settled,
    int64_t revision, uint64_t now_ms)
{
	struct tick s = {g, servers, service, spec, settled, now_ms};

	if (!g->leading || revision < g->fence)
		return;
	g->revision = revision;
	lifecycle_step(&s);
	if (!settled)
		return;
	g->adopted = true;
	placing_step(&s);
}

bool
ld_groups_adopted(const struct ld_groups *g)
{
	return g->leading && g->adopted;
}
