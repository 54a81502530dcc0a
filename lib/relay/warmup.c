/*
 * Servers that are cold, as their entries say or after an evacuation: their rate of
 * requests is limited until they are warm.
 */
#include "relay_internal.h"

/* Part of the rate that a cold server takes that all nodes use, in permille. They
 * know what the others have sent some hundred ms later, and the bound on a server
 * holds in each second. */
#define USE_PERMILLE 700
#define PERMILLE 1000

static void
warm_up(struct relay *r, struct ld_server *s, uint64_t ms, const char *why)
{
	const struct ld_service_spec *service = r->routes != NULL
	    ? ld_routes_service(r->routes, ld_str_c(s->entry.service))
	    : NULL;
	uint64_t now = relay_now(r);
	uint32_t rate;

	if (service == NULL || service->warmup_rate_milli == 0 || ms == 0)
		return;
	rate = (uint64_t)service->warmup_rate_milli * USE_PERMILLE / PERMILLE;
	if (!ld_server_warm_up(s, rate > 0 ? (uint32_t)rate : 1, now + ms, now))
		return;
	relay_count(r, LD_M_RELAY_WARMUPS);
	ld_event("server.warmup", "server=%s rate_milli=%u ms=%llu why=%s",
	    s->entry.id, rate, (unsigned long long)ms, why);
}

void
warmup_note_entry(struct relay *r, struct ld_server *s)
{
	warm_up(r, s, s->entry.warmup_left_ms, "entry");
}

void
warmup_note_return(struct relay *r, struct ld_str zone)
{
	for (struct ld_server *s = ld_servers_first(r->servers); s != NULL;
	     s = s->next) {
		const struct ld_service_spec *service;

		if (!s->evacuated || r->routes == NULL ||
		    !ld_str_eq(ld_str_c(s->entry.zone), zone))
			continue;
		service =
		    ld_routes_service(r->routes, ld_str_c(s->entry.service));
		if (service != NULL)
			warm_up(r, s, service->warmup_ms, "evacuation-ended");
	}
}
