/* Chooses a server of a plain service. */
#include <stdlib.h>
#include <string.h>

#include "route_internal.h"

/* A server that did not answer is avoided this long if others are available. */
#define AVOID_MS 2000

static struct service *
find_service(const struct ld_route *r, struct ld_str name)
{
	struct service *s;

	for (s = r->services; s != NULL; s = s->next) {
		if (ld_str_eq(ld_str_c(s->name), name))
			return s;
	}
	return NULL;
}

static struct server *
find_server(const struct service *s, struct ld_str address)
{
	for (size_t i = 0; s != NULL && i < s->count; i++) {
		if (ld_str_eq(ld_str_c(s->servers[i].address), address))
			return &s->servers[i];
	}
	return NULL;
}

static void
servers_free(struct server *list, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		free(list[i].address);
		free(list[i].domain);
	}
	free(list);
}

void
ld_route_set_servers(struct ld_route *r, uint64_t now_ms, struct ld_str name,
    const struct ld_route_server *servers, size_t n)
{
	struct service *s = find_service(r, name);
	struct server *list = ld_alloc(n * sizeof(*list));
	const struct server *old;

	if (s == NULL) {
		s = ld_alloc(sizeof(*s));
		s->name = ld_str_dup(name);
		s->next = r->services;
		r->services = s;
	}
	for (size_t i = 0; i < n; i++) {
		old = find_server(s, servers[i].address);
		if (old != NULL)
			list[i] = *old;
		list[i].address = ld_str_dup(servers[i].address);
		list[i].domain = ld_str_dup(servers[i].domain);
		list[i].leaving = servers[i].leaving;
	}
	servers_free(s->servers, s->count);
	s->servers = list;
	s->count = n;
}

/*
 * Lower is better. In order of weight: not excluded, not avoided, in the own
 * domain, fewest own calls.
 */
static uint64_t
selection_cost(const struct ld_route *r, const struct server *v,
    uint64_t now_ms, struct ld_str excluded)
{
	uint64_t c = v->running;

	if (strcmp(v->domain, r->domain) != 0)
		c += UINT64_C(1) << 32;
	if (now_ms < v->avoid_until_ms)
		c += UINT64_C(1) << 48;
	if (excluded.len > 0 && ld_str_eq(ld_str_c(v->address), excluded))
		c += UINT64_C(1) << 56;
	return c;
}

enum ld_status
ld_route_service_pick(struct ld_route *r, uint64_t now_ms, struct ld_str name,
    struct ld_str excluded, struct ld_str *address)
{
	struct service *s = find_service(r, name);
	struct server *best = NULL;
	uint64_t c, best_cost = 0;
	size_t start;

	if (s == NULL)
		return ld_fail(LD_E_NOT_FOUND, "no service %.*s", LD_FMT(name));
	/* A random start spreads the calls of routers without open calls. */
	start = s->count > 0 ? ld_rand_below(&r->rand, s->count) : 0;
	for (size_t i = 0; i < s->count; i++) {
		struct server *v = &s->servers[(start + i) % s->count];

		if (v->leaving)
			continue;
		c = selection_cost(r, v, now_ms, excluded);
		if (best == NULL || c < best_cost) {
			best = v;
			best_cost = c;
		}
	}
	if (best == NULL)
		return ld_fail(LD_E_UNAVAILABLE,
		    "no server of service %.*s is up", LD_FMT(name));
	*address = ld_str_c(best->address);
	return LD_OK;
}

void
ld_route_service_started(
    struct ld_route *r, struct ld_str name, struct ld_str address)
{
	struct server *v = find_server(find_service(r, name), address);

	if (v != NULL)
		v->running++;
}

void
ld_route_service_finished(struct ld_route *r, uint64_t now_ms,
    struct ld_str name, struct ld_str address, bool failed)
{
	struct server *v = find_server(find_service(r, name), address);

	if (v == NULL)
		return;
	if (v->running > 0)
		v->running--;
	v->avoid_until_ms = failed ? now_ms + AVOID_MS : 0;
}

void
ld_route_services_free(struct ld_route *r)
{
	struct service *s;

	while ((s = r->services) != NULL) {
		r->services = s->next;
		servers_free(s->servers, s->count);
		free(s->name);
		free(s);
	}
}
