/* Follows placement records and the live list, and tells routing. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node_internal.h"

#define PART "follow"
#define KEY_PLACEMENT "placement/"

/** struct placement_slot - the record of one fabric domain in force here */
struct placement_slot {
	struct placement_slot *next;
	struct ld_placement *placement;
};

/** struct follow_task - watches of one node */
struct follow_task {
	struct ld_store_watch placement;
	struct ld_live_listener live;
	struct ld_node *node;
	struct placement_slot *slots;
};

static struct follow_task follow;

static void
watch_lost(struct ld_store_watch *w, enum ld_status status)
{
	ld_log(LD_LOG_WARNING, PART, "a watch of the store was lost: %s",
	    ld_status_name(status));
}

/* ---- Placement ---- */

static struct ld_str
zone_of(struct ld_node *n, const char *address)
{
	const struct ld_live_list *list = ld_live_current(n->live);

	for (size_t i = 0; i < list->n; i++)
		if (strcmp(list->v[i].address, address) == 0)
			return ld_str_c(list->v[i].zone);
	return ld_str_c(NULL);
}

static void
place(struct ld_node *n, const struct ld_placement *p)
{
	struct ld_route_replica *replicas;
	struct ld_str *members;

	replicas = ld_alloc(p->n_replicas * sizeof(*replicas));
	for (size_t i = 0; i < p->n_replicas; i++) {
		const struct ld_placed *r = &p->replicas[i];

		members = ld_alloc(r->n_members * sizeof(*members));
		for (size_t j = 0; j < r->n_members; j++)
			members[j] = ld_str_c(r->members[j]);
		replicas[i] = (struct ld_route_replica){
		    .id = ld_str_c(r->id),
		    .model = ld_str_c(r->model),
		    .domain = zone_of(n, r->members[0]),
		    .epoch = (uint64_t)r->epoch,
		    .state = (enum ld_route_state)r->state,
		    .members = members,
		    .member_count = r->n_members,
		};
	}
	ld_route_place(n->route, node_now(n), ld_str_c(p->fabric),
	    (uint64_t)p->revision, replicas, p->n_replicas);
	for (size_t i = 0; i < p->n_replicas; i++)
		free((void *)(uintptr_t)replicas[i].members);
	free(replicas);
}

static struct placement_slot *
slot_of(const char *fabric)
{
	struct placement_slot *s;

	for (s = follow.slots; s != NULL; s = s->next)
		if (strcmp(s->placement->fabric, fabric) == 0)
			return s;
	return NULL;
}

static void
probe_members(struct ld_node *n)
{
	struct ld_str *addresses = NULL;
	struct ld_str *heads_of = NULL;
	size_t count = 0;

	for (struct placement_slot *s = follow.slots; s != NULL; s = s->next) {
		for (size_t i = 0; i < s->placement->n_replicas; i++) {
			const struct ld_placed *r = &s->placement->replicas[i];
			size_t want =
			    (count + r->n_members) * sizeof(*addresses);

			addresses = ld_realloc(addresses, want);
			heads_of = ld_realloc(heads_of, want);
			for (size_t j = 0; j < r->n_members; j++) {
				addresses[count] = ld_str_c(r->members[j]);
				heads_of[count++] =
				    ld_str_c(j == 0 ? r->id : NULL);
			}
		}
	}
	probes_watch(n, addresses, heads_of, count);
	free(addresses);
	free(heads_of);
}

static void
adopt_placement(struct ld_node *n, const struct ld_store_kv *kv)
{
	struct ld_placement *p = NULL;
	struct placement_slot *s;

	if (ld_placement_parse(kv->value, kv->mod_revision, &p, NULL) !=
	    LD_OK) {
		ld_log(LD_LOG_ERR, PART, "placement record %.*s is refused: %s",
		    LD_FMT(kv->key), ld_last_message());
		return;
	}
	s = slot_of(p->fabric);
	if (s != NULL && p->revision <= s->placement->revision) {
		ld_placement_free(p);
		return;
	}
	if (s == NULL) {
		s = ld_alloc(sizeof(*s));
		s->next = follow.slots;
		follow.slots = s;
	}
	ld_placement_free(s->placement);
	s->placement = p;
	ld_log(LD_LOG_INFO, PART, "placement of %s at revision %lld", p->fabric,
	    (long long)p->revision);
	place(n, p);
}

static void
placement_snapshot(struct ld_store_watch *w, int64_t revision,
    const struct ld_store_kv *kvs, size_t n)
{
	for (size_t i = 0; i < n; i++)
		adopt_placement(follow.node, &kvs[i]);
	probe_members(follow.node);
	completions_act(follow.node);
}

static void
placement_change(
    struct ld_store_watch *w, const struct ld_store_kv *kv, bool deleted)
{
	if (deleted)
		return;
	adopt_placement(follow.node, kv);
	probe_members(follow.node);
	completions_act(follow.node);
}

/* ---- Live list ---- */

static bool
is_leaving(const struct ld_live_list *list, const char *address)
{
	for (size_t i = 0; i < list->n; i++)
		if (strcmp(list->v[i].address, address) == 0)
			return list->v[i].leaving;
	return false;
}

static void
tell_services(struct ld_node *n, const struct ld_live_list *list)
{
	const struct ld_settings *s = n->settings;

	for (size_t i = 0; i < s->service_count; i++) {
		const struct ld_service_settings *svc = &s->services[i];
		size_t count = svc->servers.count;
		struct ld_route_server *servers;

		servers = ld_alloc(count * sizeof(*servers));
		for (size_t j = 0; j < count; j++) {
			const char *address = svc->servers.at[j].text;

			servers[j].address = ld_str_c(address);
			servers[j].domain = zone_of(n, address);
			servers[j].leaving = is_leaving(list, address);
		}
		ld_route_service(
		    n->route, node_now(n), ld_str_c(svc->name), servers, count);
		free(servers);
	}
}

static void
live_changed(struct ld_live_listener *l, const struct ld_live_list *list)
{
	struct ld_node *n = follow.node;
	uint64_t now = node_now(n);

	ld_log(LD_LOG_INFO, PART, "live list version %lld, %zu instances",
	    (long long)list->version, list->n);
	for (size_t i = 0; i < list->n; i++)
		ld_route_leaving(n->route, now, ld_str_c(list->v[i].address),
		    list->v[i].leaving);
	tell_services(n, list);
	for (struct placement_slot *s = follow.slots; s != NULL; s = s->next)
		place(n, s->placement);
	completions_act(n);
}

/* ---- Opening ---- */

static void
open_store(struct ld_node *n)
{
	const struct ld_settings *s = n->settings;
	struct ld_store_settings store = ld_store_defaults();
	const char **endpoints;

	endpoints = ld_alloc(s->store_endpoints.count * sizeof(*endpoints));
	for (size_t i = 0; i < s->store_endpoints.count; i++)
		endpoints[i] = s->store_endpoints.at[i].text;
	store.endpoints = endpoints;
	store.n_endpoints = s->store_endpoints.count;
	store.prefix = s->store_prefix;
	store.call_timeout_ms = s->store_timeout_ms;
	store.calls_per_s = s->store_calls_per_s;
	n->store = ld_store_new(n->loop, n->http, &store, NULL);
	free(endpoints);
}

static void
open_live(struct ld_node *n)
{
	static const struct ld_live_ops ops = {.changed = live_changed};
	const struct ld_settings *s = n->settings;
	const char *const endpoints[] = {s->live_list_address.text};
	struct ld_live_settings live = ld_live_defaults();

	live.endpoints = endpoints;
	live.n_endpoints = 1;
	live.wait_ms = s->live_list_wait_ms;
	follow.live.ops = &ops;
	n->live = ld_live_new(n->loop, n->http, &live, &follow.live);
}

void
follow_open(struct ld_node *n)
{
	follow.node = n;
	open_store(n);
	open_live(n);
}

void
follow_start(struct ld_node *n)
{
	static const struct ld_store_watch_ops ops = {
	    placement_snapshot, placement_change, watch_lost};

	tell_services(n, ld_live_current(n->live));
	follow.placement.ops = &ops;
	ld_store_watch_start(
	    n->store, &follow.placement, LD_STR(KEY_PLACEMENT), true);
}

void
follow_close(struct ld_node *n)
{
	struct placement_slot *s;

	ld_store_watch_stop(&follow.placement);
	ld_live_free(n->live);
	ld_store_free(n->store);
	while ((s = follow.slots) != NULL) {
		follow.slots = s->next;
		ld_placement_free(s->placement);
		free(s);
	}
}
