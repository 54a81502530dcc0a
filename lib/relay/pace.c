/* Measures how fast each server answers, and reports servers that are slow. */
#include <string.h>

#include "request_internal.h"

/* Interval of the comparison of servers, ms: a fraction of the seconds in which a
 * server changes. */
#define COMPARE_MS 250

void
pace_note_first_event(const struct send *s)
{
	const struct request *q = s->request;
	uint64_t now = relay_now(q->relay);

	if (q->relay->settings->learn_pace && s->server != NULL)
		ld_pace_add(&s->server->pace, (double)s->expected_ms,
		    (double)(now - s->sent_ms), now);
}

void
pace_note_answer(const struct send *s)
{
	const struct request *q = s->request;
	uint64_t now = relay_now(q->relay);
	double ms = (double)(now - s->sent_ms);

	/* A failure takes no time. */
	if (!q->relay->settings->learn_pace || s->server == NULL ||
	    s->response.code >= 500 || q->model[0] != '\0')
		return;
	ld_pace_add(&s->server->pace,
	    ld_dispatch_usual_ms(&q->relay->usual, ld_str_c(q->route), ms), ms,
	    now);
}

static void
on_changed(void *user, struct ld_server *s, bool slow)
{
	struct relay *r = user;

	if (slow)
		relay_count(r, LD_M_RELAY_SLOW_SERVERS);
	ld_event("server.pace",
	    "server=%s slow=%d slowness=%.2f pace=%.2f certainty=%.2f "
	    "active=%u",
	    s->entry.id, slow, s->slowness,
	    ld_pace_factor(&s->pace, relay_now(r)),
	    ld_pace_certainty(&s->pace, relay_now(r)),
	    s->active + s->peer_active);
}

void
pace_tick(struct relay *r)
{
	uint64_t now = relay_now(r);

	if (!r->settings->learn_pace || now < r->compared_ms + COMPARE_MS)
		return;
	r->compared_ms = now;
	ld_dispatch_compare(r->servers, now, on_changed, r);
}
