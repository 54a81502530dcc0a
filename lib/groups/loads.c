/* Limits the rate and the number of concurrent loads from the weight store. */
#include <string.h>

#include "placing_internal.h"

/* Capacity of the token bucket: loads that may start at once, beyond the rate.
 * Well below the burst that the weight store allows within its window. */
#define LOADS_BURST 3.0
/* At the first start of the system loads are unlimited until a client's request
 * is received, but for at most this time after the start of this process, ms:
 * twice the longest time that deployments leave between their start and
 * traffic. */
#define UNLIMITED_LOADS_MAX_MS 30000
/* A load without visible result after this many times its usual duration counts
 * as failed. */
#define LOAD_TIMEOUT_FACTOR 3

/* Whether any node has a request in progress at a server. */
static bool
has_traffic(const struct tick *s)
{
	for (const struct ld_server *v = ld_servers_first(s->servers);
	     v != NULL; v = v->next)
		if (v->active + v->peer_active > 0)
			return true;
	return false;
}

void
loads_refill(const struct tick *s)
{
	struct ld_groups *g = s->g;
	double elapsed_s = (double)(s->now_ms - g->load_tokens_ms) / 1000.0;

	if (g->load_tokens_ms == 0)
		g->load_tokens = LOADS_BURST;
	else
		g->load_tokens += elapsed_s * s->spec->loads_per_s;
	if (g->load_tokens > LOADS_BURST)
		g->load_tokens = LOADS_BURST;
	g->load_tokens_ms = s->now_ms;
	if (loads_are_unlimited(s) && has_traffic(s))
		ld_groups_note_traffic(g);
}

static bool
is_recent_load(const struct tick *s, const char *model, uint64_t phase_since_ms)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(model));

	return phase_since_ms != 0 && m != NULL &&
	    s->now_ms < phase_since_ms + LOAD_TIMEOUT_FACTOR * m->load_ms;
}

/* Members that are still loading the weights of the group's model. */
static size_t
count_joining(const struct tick *s, const struct group *gr)
{
	size_t n = 0;

	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v =
		    ld_servers_find(s->servers, ld_str_c(gr->members[i].id));

		n += v != NULL && v->listed &&
		    !server_has_weights(v, gr->model) &&
		    is_recent_load(s, gr->model, gr->members[i].ordered_ms);
	}
	return n;
}

/* Loads in progress; counted once per tick, on first use. */
static size_t
loads_underway(const struct tick *s)
{
	size_t n = 0;

	if (s->g->loads_counted)
		return s->g->loads_underway;
	for (const struct group *gr = s->g->groups; gr != NULL; gr = gr->next)
		if (gr->phase == PHASE_FORMING)
			n += count_joining(s, gr);
	for (const struct ld_server *v = ld_servers_first(s->servers);
	     v != NULL; v = v->next) {
		const struct server_info *info =
		    server_info_find(s->g, v->entry.id);

		n += v->listed && info != NULL && spares_still_loading(s, v) &&
		    is_recent_load(
			s, info->stage_model, info->stage_ordered_ms);
	}
	s->g->loads_underway = n;
	s->g->loads_counted = true;
	return n;
}

/* Whether @n more loads exceed the limit of concurrent loads. A group that
 * alone needs more than the limit may start them when no other load is in
 * progress. */
static bool
exceeds_concurrency(const struct tick *s, size_t n)
{
	size_t most = s->spec->loads_at_once;

	return most > 0 && loads_underway(s) > 0 &&
	    loads_underway(s) + n > most;
}

bool
loads_have_slack(const struct tick *s)
{
	return loads_are_unlimited(s) ||
	    (s->g->load_tokens >= LOADS_BURST &&
		(s->spec->loads_at_once == 0 ||
		    2 * loads_underway(s) < s->spec->loads_at_once));
}

bool
loads_are_unlimited(const struct tick *s)
{
	return s->g->initial && !s->g->has_traffic &&
	    s->now_ms < s->g->started_ms + UNLIMITED_LOADS_MAX_MS;
}

bool
loads_reserve(const struct tick *s, size_t n)
{
	if (n == 0 || loads_are_unlimited(s))
		return true;
	if (exceeds_concurrency(s, n))
		return false;
	/* More than a full bucket needs a full one, and makes it negative. */
	if (s->g->load_tokens < (double)n && s->g->load_tokens < LOADS_BURST)
		return false;
	s->g->load_tokens -= (double)n;
	s->g->loads_underway += n;
	return true;
}
