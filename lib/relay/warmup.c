/*
 * Servers that are cold, as their entries say or after an evacuation: their rate of
 * requests is limited until they are warm.
 */
#include "relay_internal.h"

static void
warm_up(struct relay *r, struct ld_server *s, uint64_t ms, const char *why)
{
	const struct ld_service_spec *service = r->routes != NULL
	    ? ld_routes_service(r->routes, ld_str_c(s->entry.service))
	    : NULL;
	uint64_t now = relay_now(r);

	if (service == NULL || service->warmup_rate_milli == 0 || ms == 0)
		return;
	if (!ld_server_warm_up(s, service->warmup_rate_milli, now + ms, now))
		return;
	relay_count(r, LD_M_RELAY_WARMUPS);
	ld_event("server.warmup", "server=%s rate_milli=%u ms=%llu why=%s",
	    s->entry.id, service->warmup_rate_milli, (unsigned long long)ms,
	    why);
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
