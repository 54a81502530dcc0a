/*
 * Servers that are slower than the others of their service and model, from what
 * each node has measured itself. Answers a load that servers of different speed
 * share, and servers that slow down long before they are full.
 */
#include <string.h>

#include "ld_dispatch.h"

/* Weight of one answer in the mean of a route. */
#define USUAL_WEIGHT 0.02
/* From SLOW on a server is slow, and below NOT_SLOW it no longer is: times to a first
 * event differ that much by chance. Apart, so that one at the border doesn't change
 * again and again. */
#define SLOW 1.5
#define NOT_SLOW 1.2
/* Recent answers that show it, see ld_pace_certainty(). */
#define CERTAINTY_MIN 0.75
/* Servers that are compared with each other. */
#define COMPARED_MAX 256

double
ld_dispatch_usual_ms(
    struct ld_dispatch_usual *u, struct ld_str route, double actual_ms)
{
	uint64_t hash = ld_hash64(route, 0);
	double before;
	size_t i = 0;

	while (i < u->n && u->route[i] != hash)
		i++;
	if (i == LD_DISPATCH_USUAL_MAX)
		return 0;
	if (i == u->n) {
		u->route[u->n] = hash;
		u->ms[u->n++] = actual_ms;
		return 0;
	}
	before = u->ms[i];
	u->ms[i] += USUAL_WEIGHT * (actual_ms - before);
	return before;
}

static bool
is_same_kind(const struct ld_server *a, const struct ld_server *b)
{
	const char *x = a->entry.member.model, *y = b->entry.member.model;

	return strcmp(a->entry.service, b->entry.service) == 0 &&
	    (x == NULL) == (y == NULL) && (x == NULL || strcmp(x, y) == 0);
}

static size_t
find_peers(struct ld_servers *servers, const struct ld_server *s,
    const struct ld_pace *out[COMPARED_MAX])
{
	size_t n = 0;

	for (struct ld_server *o = ld_servers_first(servers);
	     o != NULL && n < COMPARED_MAX; o = o->next)
		if (o->listed && o->pace.newest_ms != 0 && is_same_kind(o, s))
			out[n++] = &o->pace;
	return n;
}

static double
slowness(const struct ld_server *s, const struct ld_pace *const *peers,
    size_t n, uint64_t now_ms)
{
	double relative = ld_pace_relative(peers, n, &s->pace, now_ms);

	if (s->slowness > 1)
		return relative >= NOT_SLOW ? relative : 1;
	return relative >= SLOW &&
		ld_pace_certainty(&s->pace, now_ms) >= CERTAINTY_MIN
	    ? relative
	    : 1;
}

void
ld_dispatch_compare(struct ld_servers *servers, uint64_t now_ms,
    void (*changed)(void *user, struct ld_server *s, bool slow), void *user)
{
	const struct ld_pace *peers[COMPARED_MAX];

	for (struct ld_server *s = ld_servers_first(servers); s != NULL;
	     s = s->next) {
		double before = s->slowness;

		/* Most servers of a large service have no sample here. */
		if (s->pace.newest_ms == 0)
			continue;
		s->slowness =
		    slowness(s, peers, find_peers(servers, s, peers), now_ms);
		if (changed != NULL && (before > 1) != (s->slowness > 1))
			changed(user, s, s->slowness > 1);
	}
}
