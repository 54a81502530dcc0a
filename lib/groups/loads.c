/* Loads of weights, under the rate of the weight store. */
#include <string.h>

#include "placing_internal.h"

/* Loads that may begin at once, beyond the rate: well below the slack that the
 * weight store allows in a window. */
#define LOADS_BURST 3.0
/* At the first start loads are beside the rate until a client's request is seen,
 * but no longer than this, ms since this process began: twice the longest time that
 * deployments leave between their start and their traffic. */
#define INITIAL_LOADS_MS 30000
/* A load that doesn't show after so many times its usual length has failed. */
#define LOAD_LENGTHS 3

/* Requests that any node has under way at a server. */
static bool
has_traffic(const struct step *s)
{
	for (const struct ld_server *v = ld_servers_first(s->servers);
	     v != NULL; v = v->next)
		if (v->active + v->peer_active > 0)
			return true;
	return false;
}

void
loads_refill(const struct step *s)
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
	if (loads_are_free(s) && has_traffic(s))
		ld_groups_note_traffic(g);
}

static bool
is_recent_load(const struct step *s, const char *model, uint64_t since_ms)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(model));

	return since_ms != 0 && m != NULL &&
	    s->now_ms < since_ms + LOAD_LENGTHS * m->load_ms;
}

/* Members that load before they join. */
static size_t
count_joining(const struct step *s, const struct group *gr)
{
	size_t n = 0;

	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v =
		    ld_servers_find(s->servers, ld_str_c(gr->members[i].id));

		n += v != NULL && v->listed && !server_holds(v, gr->model) &&
		    is_recent_load(s, gr->model, gr->members[i].ordered_ms);
	}
	return n;
}

/* Loads that are under way: counted at the first need of a tick. */
static size_t
loads_underway(const struct step *s)
{
	size_t n = 0;

	if (s->g->loads_counted)
		return s->g->loads_underway;
	for (const struct group *gr = s->g->groups; gr != NULL; gr = gr->next)
		if (gr->phase == PHASE_FORMING)
			n += count_joining(s, gr);
	for (const struct ld_server *v = ld_servers_first(s->servers);
	     v != NULL; v = v->next) {
		const struct note *note = note_find(s->g, v->entry.id);

		n += v->listed && note != NULL && spares_still_loading(s, v) &&
		    is_recent_load(s, note->staging, note->staged_ms);
	}
	s->g->loads_underway = n;
	s->g->loads_counted = true;
	return n;
}

/* A group that needs more than may load at once gets them when nothing else
 * loads. */
static bool
is_over(const struct step *s, size_t n)
{
	size_t most = s->spec->loads_at_once;

	return most > 0 && loads_underway(s) > 0 &&
	    loads_underway(s) + n > most;
}

bool
loads_are_idle(const struct step *s)
{
	return loads_are_free(s) ||
	    (s->g->load_tokens >= LOADS_BURST &&
		(s->spec->loads_at_once == 0 ||
		    2 * loads_underway(s) < s->spec->loads_at_once));
}

bool
loads_are_free(const struct step *s)
{
	return s->g->initial && !s->g->has_traffic &&
	    s->now_ms < s->g->started_ms + INITIAL_LOADS_MS;
}

bool
loads_take(const struct step *s, size_t n)
{
	if (n == 0 || loads_are_free(s))
		return true;
	if (is_over(s, n))
		return false;
	/* More than a full bucket: it must be full, and goes below zero. */
	if (s->g->load_tokens < (double)n && s->g->load_tokens < LOADS_BURST)
		return false;
	s->g->load_tokens -= (double)n;
	s->g->loads_underway += n;
	return true;
}
