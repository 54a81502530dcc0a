/* Log lines on the limits that servers name. */
#include "relay_internal.h"

/* Interval of the lines on the use of each limit, ms. */
#define USE_INTERVAL_MS 4000

void
server_limits_log(
    struct relay *r, const struct ld_server *s, const char *source)
{
	char id[LD_EVENT_TOKEN_BYTES];
	uint32_t rate = s->allowance->rate_milli;

	relay_count(r, LD_M_RELAY_SERVER_LIMITS);
	ld_event("server.limit", "server=%s rate_milli=%lld source=%s",
	    s->entry.id, rate != LD_RATE_UNLIMITED ? (long long)rate : -1LL,
	    ld_event_token(ld_str_c(source), id));
}

void
server_limits_count_call(struct relay *r, struct ld_server *s)
{
	if (s != NULL && s->allowance != NULL)
		ld_server_note_sent(s, 0, relay_now(r));
}

void
server_limits_tick(struct relay *r)
{
	uint64_t now = relay_now(r);

	if (now < r->limits_logged_ms + USE_INTERVAL_MS)
		return;
	r->limits_logged_ms = now;
	for (struct ld_server *s = ld_servers_first(r->servers); s != NULL;
	     s = s->next) {
		if (!ld_server_is_limited(s, now))
			continue;
		ld_event("server.limit_use",
		    "server=%s rate_milli=%u cold=%d age_ms=%lld ms=%d "
		    "sent=%llu denied=%llu",
		    s->entry.id, ld_allowance_rate(s->allowance, now),
		    ld_allowance_is_warming_up(s->allowance, now),
		    s->allowance->observed_ms > 0
			? (long long)(now - s->allowance->observed_ms)
			: -1LL,
		    USE_INTERVAL_MS,
		    (unsigned long long)ld_allowance_sent(
			s->allowance, USE_INTERVAL_MS, now),
		    (unsigned long long)ld_allowance_denied(
			s->allowance, USE_INTERVAL_MS, now));
	}
}
