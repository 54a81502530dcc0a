/* Failure domains that the operators evacuate: their servers get no requests. */
#include <string.h>

#include "relay_internal.h"

void
evacuation_apply(
    struct relay *r, struct ld_str zone, bool evacuated, int64_t revision)
{
	char text[LD_EVENT_TOKEN_BYTES];

	/* @zone may be the table's own text, which is freed. */
	ld_event_token(zone, text);
	if (!evacuated)
		warmup_note_return(r, zone);
	if (!ld_servers_set_evacuated(r->servers, zone, evacuated))
		return;
	ld_event("zone.evacuation", "zone=%s evacuated=%d revision=%lld", text,
	    evacuated, (long long)revision);
	control_servers_changed(r);
}

static bool
has_key(const struct ld_store_kv *kvs, size_t n, struct ld_str prefix,
    struct ld_str zone)
{
	for (size_t i = 0; i < n; i++) {
		struct ld_str key = kvs[i].key;

		if (key.len == prefix.len + zone.len &&
		    ld_str_starts(key, prefix) &&
		    memcmp(key.p + prefix.len, zone.p, zone.len) == 0)
			return true;
	}
	return false;
}

void
evacuations_end_others(
    struct relay *r, const struct ld_store_kv *kvs, size_t n, int64_t revision)
{
	struct ld_str prefix = ld_str_c(r->dialect->evacuations_prefix);
	const char *zone;
	size_t i = 0;

	while ((zone = ld_servers_evacuated_zone(r->servers, i)) != NULL) {
		if (has_key(kvs, n, prefix, ld_str_c(zone)))
			i++;
		else
			evacuation_apply(r, ld_str_c(zone), false, revision);
	}
}
