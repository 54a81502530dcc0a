/* See aggregate.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aggregate.h"

#define PEERS_MAX 1024
/* Between two datagrams to a node where each tells all others, ms: a few of
 * them within the time of a first event. */
#define TELL_MS 30
/* The same with aggregators, ms: a load takes three steps, half of this each at
 * the mean, and is known everywhere within 300 ms at the worst. */
#define AGGREGATE_MS 100
/* What is not heard again after so many intervals is gone: some datagrams in a
 * row may be lost, and a process may be late by a tenth of a second. */
#define HEARD_INTERVALS 6ULL
/* A better aggregator that was silent is asked again so often, ms. */
#define PROBE_MS 1000
/* Nodes of each failure domain that may be its aggregator: so many of them
 * would have to be lost at once for two aggregators not to find each other. */
#define CANDIDATES_MAX 4
#define DOMAINS_MAX 16
/* A load that ended or changed is told for so long after that, ms. */
#define CHANGE_TOLD_MS 400
/* An alarm is told for so long, ms: some datagrams may be lost. */
#define ALARM_TOLD_MS 400

uint32_t
agg_domain(struct ld_str failure_domain)
{
	return (uint32_t)ld_hash64(failure_domain, 0);
}

void
agg_free(struct aggregate *a)
{
	for (size_t i = 0; i < a->peer_count; i++)
		told_free(&a->peers[i].told);
	free(a->peers);
}

/* ---- Peers ---- */

struct peer *
agg_peer_find(const struct aggregate *a, struct ld_str name)
{
	for (size_t i = 0; i < a->peer_count; i++)
		if (ld_str_eq(ld_str_c(a->peers[i].name), name))
			return &a->peers[i];
	return NULL;
}

struct peer *
agg_peer_add(struct aggregate *a, struct ld_str name, uint64_t now_ms)
{
	struct peer *p = agg_peer_find(a, name);

	if (p == NULL && a->peer_count < PEERS_MAX) {
		a->peers = ld_realloc(
		    a->peers, (a->peer_count + 1) * sizeof(*a->peers));
		p = &a->peers[a->peer_count++];
		memset(p, 0, sizeof(*p));
		snprintf(p->name, sizeof(p->name), "%.*s", LD_FMT(name));
	}
	if (p == NULL)
		return NULL;
	/* It may be a new process, whose numbers begin anew. */
	p->number = 0;
	p->asked_ms = 0;
	p->listed = true;
	p->listed_ms = now_ms;
	return p;
}

void
agg_peer_drop(struct aggregate *a, struct peer *p)
{
	told_expire(p, a->servers, UINT64_MAX);
	told_free(&p->told);
	*p = a->peers[--a->peer_count];
}

static bool
has_aggregators(const struct aggregate *a)
{
	return a->peer_count + 1 >= a->from_nodes;
}

static uint64_t
heard_for_ms(const struct aggregate *a)
{
	return HEARD_INTERVALS * (has_aggregators(a) ? AGGREGATE_MS : TELL_MS);
}

static bool
is_recent(const struct aggregate *a, uint64_t at_ms, uint64_t now_ms)
{
	return at_ms != 0 && now_ms < at_ms + heard_for_ms(a);
}

bool
agg_is_heard(const struct aggregate *a, const struct peer *p, uint64_t now_ms)
{
	return is_recent(a, p->heard_ms, now_ms);
}

/* ---- Who aggregates ---- */

static bool
comes_before(uint64_t permille, const char *name, const struct peer *p)
{
	if (permille != p->processor_permille)
		return permille > p->processor_permille;
	return strcmp(name, p->name) < 0;
}

static bool
is_better(const struct peer *p, const struct peer *than)
{
	return than == NULL ||
	    comes_before(p->processor_permille, p->name, than);
}

/* It answers, or there was no time yet to see that it doesn't. */
static bool
may_aggregate(const struct aggregate *a, const struct peer *p, uint64_t now_ms)
{
	return agg_is_heard(a, p, now_ms) || p->asked_ms == 0 ||
	    is_recent(a, p->asked_ms, now_ms);
}

static bool
is_above(const struct aggregate *a, const struct peer *p)
{
	return p->domain == a->domain &&
	    !comes_before(a->processor_permille, a->name, p);
}

struct peer *
agg_choice(const struct aggregate *a, uint64_t now_ms)
{
	struct peer *best = NULL;

	if (!has_aggregators(a))
		return NULL;
	for (size_t i = 0; i < a->peer_count; i++) {
		struct peer *p = &a->peers[i];

		if (is_above(a, p) && may_aggregate(a, p, now_ms) &&
		    is_better(p, best))
			best = p;
	}
	return best;
}

struct peer *
agg_best_watcher(const struct aggregate *a, uint64_t now_ms)
{
	struct peer *best = NULL;

	for (size_t i = 0; i < a->peer_count; i++) {
		struct peer *p = &a->peers[i];

		if (p->domain == a->domain && p->can_watch &&
		    agg_is_heard(a, p, now_ms) && is_better(p, best))
			best = p;
	}
	return best;
}

static bool
has_sources(const struct aggregate *a, uint64_t now_ms)
{
	for (size_t i = 0; i < a->peer_count; i++)
		if (is_recent(a, a->peers[i].report_ms, now_ms))
			return true;
	return false;
}

bool
agg_collects(const struct aggregate *a, uint64_t now_ms)
{
	return !has_aggregators(a) || agg_choice(a, now_ms) == NULL ||
	    has_sources(a, now_ms);
}

/* ---- Datagrams ---- */

static uint64_t
later(uint64_t x, uint64_t y)
{
	return x > y ? x : y;
}

/* The load at a server as this kind of datagram tells it. */
static struct mesh_load
load_of(const struct ld_server *s, enum mesh_kind kind, uint64_t now_ms)
{
	struct mesh_load l = {.server = s->id_hash, .active = s->active};
	uint64_t tokens = s->sent_tokens + s->source_tokens;
	uint64_t heard = later(s->heard_ms, s->source_heard_ms), ago;

	if (kind == MESH_TOTAL) {
		l.active += s->peer_active;
		tokens += s->partial_tokens;
		heard = later(heard, s->peer_heard_ms);
	} else {
		l.active += s->source_active;
	}
	ago = now_ms > heard ? now_ms - heard : 0;
	l.sent_tokens = (uint32_t)tokens;
	l.heard_ago_ms =
	    ago < MESH_AGO_MAX_MS ? (uint32_t)ago : MESH_AGO_MAX_MS;
	return l;
}

static void
fill_alarms(const struct aggregate *a, struct mesh_datagram *d)
{
	d->alarm_count = 0;
	for (size_t i = 0; i < a->alarm_count; i++)
		if (a->alarms[i].is_partial || d->kind == MESH_TOTAL)
			d->alarms[d->alarm_count++] = a->alarms[i].alarm;
}

static void
send_one(struct aggregate *a, struct peer *const *to, size_t n,
    struct mesh_datagram *d)
{
	d->number = ++a->number;
	a->ops->send(a, to, n, d);
	d->load_count = 0;
	/* They stand in the first one. */
	d->alarm_count = 0;
}

/* As many datagrams as the loads need, and one where there are none. */
static void
tell(struct aggregate *a, struct peer *const *to, size_t n, enum mesh_kind kind,
    uint64_t now_ms)
{
	struct mesh_datagram d = {.kind = kind, .can_watch = a->can_watch};
	size_t sent = 0;

	if (n == 0)
		return;
	fill_alarms(a, &d);
	for (const struct ld_server *s = ld_servers_first(a->servers);
	     s != NULL; s = s->next) {
		struct mesh_load l = load_of(s, kind, now_ms);

		if (l.active == 0 &&
		    now_ms >= s->load_changed_ms + CHANGE_TOLD_MS)
			continue;
		d.loads[d.load_count++] = l;
		if (d.load_count < MESH_LOADS_MAX)
			continue;
		send_one(a, to, n, &d);
		sent++;
	}
	if (sent == 0 || d.load_count > 0)
		send_one(a, to, n, &d);
}

/* ---- Who is told ---- */

/** struct candidates - nodes of one failure domain, best first */
struct candidates {
	uint32_t domain;
	struct peer *v[CANDIDATES_MAX];
	size_t n;
};

static void
add_candidate(struct candidates *c, struct peer *p)
{
	size_t at = c->n;

	while (at > 0 && is_better(p, c->v[at - 1]))
		at--;
	if (at == CANDIDATES_MAX)
		return;
	if (c->n < CANDIDATES_MAX)
		c->n++;
	for (size_t i = c->n - 1; i > at; i--)
		c->v[i] = c->v[i - 1];
	c->v[at] = p;
}

/* Aggregators that were heard, and of each failure domain one candidate in
 * turn, so that aggregators that don't know of each other meet. */
static size_t
find_aggregators(
    struct aggregate *a, struct peer **out, size_t max, uint64_t now_ms)
{
	struct candidates domains[DOMAINS_MAX];
	size_t n = 0, count = 0;

	for (size_t i = 0; i < a->peer_count; i++) {
		struct peer *p = &a->peers[i];
		size_t d = 0;

		while (d < count && domains[d].domain != p->domain)
			d++;
		if (d == DOMAINS_MAX)
			continue;
		if (d == count)
			domains[count++] =
			    (struct candidates){.domain = p->domain};
		add_candidate(&domains[d], p);
		if (n < max && is_recent(a, p->partial_ms, now_ms))
			out[n++] = p;
	}
	for (size_t d = 0; d < count && n < max; d++) {
		struct peer *p = domains[d].v[a->number % domains[d].n];

		if (!is_recent(a, p->partial_ms, now_ms) &&
		    !is_recent(a, p->report_ms, now_ms))
			out[n++] = p;
	}
	return n;
}

static size_t
find_sources(
    const struct aggregate *a, struct peer **out, size_t max, uint64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < a->peer_count && n < max; i++) {
		struct peer *p = &a->peers[i];

		if (is_recent(a, p->report_ms, now_ms) ||
		    is_recent(a, p->probe_ms, now_ms))
			out[n++] = p;
	}
	return n;
}

/* Better aggregators that were silent are asked whether they are back. */
static void
probe_better(struct aggregate *a, const struct peer *choice, uint64_t now_ms)
{
	for (size_t i = 0; i < a->peer_count; i++) {
		struct mesh_datagram d = {
		    .kind = MESH_PROBE, .can_watch = a->can_watch};
		struct peer *p = &a->peers[i];

		if (!is_above(a, p) || !is_better(p, choice) || p == choice ||
		    now_ms < p->probed_ms + PROBE_MS)
			continue;
		p->probed_ms = now_ms;
		send_one(a, &p, 1, &d);
	}
}

static void
tell_all(struct aggregate *a, struct peer **to, uint64_t now_ms)
{
	for (size_t i = 0; i < a->peer_count; i++)
		to[i] = &a->peers[i];
	tell(a, to, a->peer_count, MESH_PARTIAL, now_ms);
}

static void
tell_aggregated(struct aggregate *a, struct peer **to, uint64_t now_ms)
{
	struct peer *choice = agg_choice(a, now_ms);
	size_t n;

	if (choice != NULL && !has_sources(a, now_ms)) {
		if (choice->asked_ms == 0)
			choice->asked_ms = now_ms;
		tell(a, &choice, 1, MESH_REPORT, now_ms);
	} else {
		n = find_aggregators(a, to, a->peer_count, now_ms);
		tell(a, to, n, MESH_PARTIAL, now_ms);
		n = find_sources(a, to, a->peer_count, now_ms);
		tell(a, to, n, MESH_TOTAL, now_ms);
	}
	probe_better(a, choice, now_ms);
}

static void
forget_alarms(struct aggregate *a, uint64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < a->alarm_count; i++)
		if (now_ms < a->alarms[i].since_ms + ALARM_TOLD_MS)
			a->alarms[n++] = a->alarms[i];
	a->alarm_count = n;
}

void
agg_tick(struct aggregate *a, uint64_t now_ms)
{
	struct peer **to;

	if (now_ms < a->next_ms)
		return;
	a->next_ms = now_ms + (has_aggregators(a) ? AGGREGATE_MS : TELL_MS);
	for (size_t i = 0; i < a->peer_count; i++)
		told_expire(&a->peers[i], a->servers, now_ms);
	forget_alarms(a, now_ms);
	to = ld_alloc((a->peer_count + 1) * sizeof(*to));
	if (has_aggregators(a))
		tell_aggregated(a, to, now_ms);
	else
		tell_all(a, to, now_ms);
	free(to);
}

/* ---- Hearing ---- */

static bool
add_alarm(struct aggregate *a, const struct mesh_alarm *alarm, bool is_partial,
    uint64_t now_ms)
{
	for (size_t i = 0; i < a->alarm_count; i++)
		if (a->alarms[i].alarm.epoch == alarm->epoch &&
		    strcmp(a->alarms[i].alarm.group, alarm->group) == 0)
			return false;
	/* Beyond the bound it is told when it is raised again. */
	if (a->alarm_count < MESH_ALARMS_MAX)
		a->alarms[a->alarm_count++] =
		    (struct agg_alarm){*alarm, is_partial, now_ms};
	a->next_ms = 0;
	return true;
}

void
agg_alarm(
    struct aggregate *a, const char *group, int64_t epoch, uint64_t now_ms)
{
	struct mesh_alarm alarm = {.epoch = epoch};

	snprintf(alarm.group, sizeof(alarm.group), "%s", group);
	(void)add_alarm(a, &alarm, true, now_ms);
}

/* Whether what @p tells adds to what this node knows. */
static bool
counts(const struct aggregate *a, const struct peer *p, enum mesh_kind kind,
    uint64_t now_ms)
{
	switch (kind) {
	case MESH_REPORT:
		return true;
	case MESH_PARTIAL:
		return agg_collects(a, now_ms);
	case MESH_TOTAL:
		return !agg_collects(a, now_ms) && agg_choice(a, now_ms) == p;
	default:
		return false;
	}
}

static void
note_kind(struct peer *p, enum mesh_kind kind, uint64_t now_ms)
{
	if (kind == MESH_REPORT)
		p->report_ms = now_ms;
	else if (kind == MESH_PARTIAL)
		p->partial_ms = now_ms;
	else if (kind == MESH_PROBE)
		p->probe_ms = now_ms;
	/* One that aggregates for itself reports no more. */
	if (kind == MESH_PARTIAL)
		p->report_ms = 0;
}

void
agg_take(struct aggregate *a, struct peer *p, const struct mesh_datagram *d,
    uint64_t now_ms)
{
	/* Overtaken on the way. After a restart the numbers begin anew, and
	 * the peer was silent for a while. */
	if (d->number <= p->number && agg_is_heard(a, p, now_ms))
		return;
	if (!agg_is_heard(a, p, now_ms))
		p->heard_since_ms = now_ms;
	p->number = d->number;
	p->heard_ms = now_ms;
	p->can_watch = d->can_watch;
	note_kind(p, d->kind, now_ms);
	for (size_t i = 0; i < d->alarm_count; i++)
		if (add_alarm(a, &d->alarms[i], d->kind == MESH_REPORT, now_ms))
			a->ops->alarm(a, &d->alarms[i]);
	if (!counts(a, p, d->kind, now_ms))
		return;
	for (size_t i = 0; i < d->load_count; i++) {
		const struct mesh_load *l = &d->loads[i];
		struct ld_server *s =
		    ld_servers_find_hash(a->servers, l->server);
		uint64_t tokens;

		if (s == NULL || l->server == 0)
			continue;
		tokens = told_take(p, s, d->kind, l, now_ms);
		if (tokens > 0)
			a->ops->prompt_sent(a, s, tokens, now_ms);
	}
}
