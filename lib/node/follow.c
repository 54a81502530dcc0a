/* Follows the live list and passes it to the other tasks and to routing. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node_internal.h"

#define PART "follow"

/** struct follow_task - listener of the live list */
struct follow_task {
	struct ld_live_listener live;
	struct ld_node *node;
};

static struct follow_task follow;

struct ld_str
follow_zone(struct ld_node *n, const char *address)
{
	const struct ld_live_list *list = ld_live_current(n->live);

	for (size_t i = 0; i < list->n; i++)
		if (strcmp(list->v[i].address, address) == 0)
			return ld_str_c(list->v[i].zone);
	return ld_str_c(NULL);
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
update_services(struct ld_node *n, const struct ld_live_list *list)
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
			servers[j].domain = follow_zone(n, address);
			servers[j].leaving = is_leaving(list, address);
		}
		ld_route_set_servers(
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
		ld_route_set_leaving(n->route, now,
		    ld_str_c(list->v[i].address), list->v[i].leaving);
	update_services(n, list);
	servers_listed(n, list);
	fleet_listed(n->fleet);
	placement_zones_changed(n);
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
	update_services(n, ld_live_current(n->live));
}

void
follow_close(struct ld_node *n)
{
	ld_live_free(n->live);
	ld_store_free(n->store);
}
