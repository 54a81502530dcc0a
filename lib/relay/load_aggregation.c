/* See load_aggregation.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_aggregation.h"

#define PEERS_MAX 1024
/* Interval of datagrams when each node sends to all others, ms: several fall
 * within the time to a first event. */
#define BROADCAST_INTERVAL_MS 30
/* Interval with aggregators, ms: a load passes three hops, each with a mean
 * delay of half an interval, and reaches every node within 300 ms at worst. */
#define AGGREGATION_INTERVAL_MS 100
/* A peer is taken for dead after this many intervals without a datagram:
 * several consecutive datagrams may be lost, and a process may run a tenth of a
 * second late. */
#define LIVENESS_INTERVALS 6ULL
/* Interval of probes to a preferred aggregator that was silent, ms. */
#define PROBE_INTERVAL_MS 1000
/* Nodes of each failure domain that may be its aggregator: all of them would
 * have to fail at once for two aggregators not to find each other. */
#define CANDIDATES_MAX 4
#define DOMAINS_MAX 16
/* A load that ended or changed is repeated for this long, ms. */
#define CHANGE_REPEAT_MS 400

uint32_t
agg_domain(struct ld_str failure_domain)
{
	const char *space = memchr(failure_domain.p, ' ', failure_domain.len);

	if (space != NULL)
		failure_domain.len = (size_t)(space - failure_domain.p);
	return (uint32_t)ld_hash64(failure_domain, 0);
}

void
agg_free(struct load_aggregation *a)
{
	for (size_t i = 0; i < a->peer_count; i++)
		peer_load_table_free(&a->peers[i].loads);
	free(a->peers);
}

/* ---- Peers ---- */

struct peer *
agg_peer_find(const struct load_aggregation *a, struct ld_str name)
{
	for (size_t i = 0; i < a->peer_count; i++)
		if (ld_str_eq(ld_str_c(a->peers[i].name), name))
			return &a->peers[i];
	return NULL;
}

struct peer *
agg_peer_add(struct load_aggregation *a, struct ld_str name, uint64_t now_ms)
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
	/* It may be a new process, whose sequence numbers restart. */
	p->number = 0;
	p->first_report_ms = 0;
	p->listed = true;
	p->listed_ms = now_ms;
	return p;
}

void
agg_peer_drop(struct load_aggregation *a, struct peer *p)
{
	peer_load_expire(p, a->servers, UINT64_MAX);
	peer_load_table_free(&p->loads);
	*p = a->peers[--a->peer_count];
}

static bool
has_aggregators(const struct load_aggregation *a)
{
	return a->peer_count + 1 >= a->from_nodes;
}

static uint64_t
liveness_timeout_ms(const struct load_aggregation *a)
{
	return LIVENESS_INTERVALS *
	    (has_aggregators(a) ? AGGREGATION_INTERVAL_MS
				: BROADCAST_INTERVAL_MS);
}

static bool
is_recent(const struct load_aggregation *a, uint64_t at_ms, uint64_t now_ms)
{
	return at_ms != 0 && now_ms < at_ms + liveness_timeout_ms(a);
}

bool
agg_is_alive(
    const struct load_aggregation *a, const struct peer *p, uint64_t now_ms)
{
	return is_recent(a, p->last_datagram_ms, now_ms);
}

/* ---- Choice of the aggregator ---- */

static bool
ranks_before(uint64_t permille, const char *name, const struct peer *p)
{
	if (permille != p->processor_permille)
		return permille > p->processor_permille;
	return strcmp(name, p->name) < 0;
}

static bool
is_preferred(const struct peer *p, const struct peer *than)
{
	return than == NULL ||
	    ranks_before(p->processor_permille, p->name, than);
}

/* It is alive, or has not yet had time to respond. */
static bool
is_available(
    const struct load_aggregation *a, const struct peer *p, uint64_t now_ms)
{
	return agg_is_alive(a, p, now_ms) || p->first_report_ms == 0 ||
	    is_recent(a, p->first_report_ms, now_ms);
}

static bool
outranks_self(const struct load_aggregation *a, const struct peer *p)
{
	return p->domain == a->domain &&
	    !ranks_before(a->processor_permille, a->name, p);
}

struct peer *
agg_current_aggregator(const struct load_aggregation *a, uint64_t now_ms)
{
	struct peer *best = NULL;

	if (!has_aggregators(a))
		return NULL;
	for (size_t i = 0; i < a->peer_count; i++) {
		struct peer *p = &a->peers[i];

		if (outranks_self(a, p) && is_available(a, p, now_ms) &&
		    is_preferred(p, best))
			best = p;
	}
	return best;
}

struct peer *
agg_best_delegate(const struct load_aggregation *a, uint64_t now_ms)
{
	struct peer *best = NULL;

	for (size_t i = 0; i < a->peer_count; i++) {
		struct peer *p = &a->peers[i];

		if (p->domain == a->domain && p->can_delegate &&
		    agg_is_alive(a, p, now_ms) && is_preferred(p, best))
			best = p;
	}
	return best;
}

static bool
has_sources(const struct load_aggregation *a, uint64_t now_ms)
{
	for (size_t i = 0; i < a->peer_count; i++)
		if (is_recent(a, a->peers[i].report_received_ms, now_ms))
			return true;
	return false;
}

bool
agg_receives_partials(const struct load_aggregation *a, uint64_t now_ms)
{
	return !has_aggregators(a) ||
	    agg_current_aggregator(a, now_ms) == NULL || has_sources(a, now_ms);
}

/* ---- Completeness of the loads received ---- */

static size_t
count_alive(
    const struct load_aggregation *a, bool only_own_domain, uint64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < a->peer_count; i++) {
		const struct peer *p = &a->peers[i];

		if (!only_own_domain || p->domain == a->domain)
			n += agg_is_alive(a, p, now_ms);
	}
	return n;
}

/* Nodes of other domains whose loads arrive in partial sums. */
static size_t
count_in_partials(const struct load_aggregation *a, uint64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < a->peer_count; i++) {
		const struct peer *p = &a->peers[i];

		if (p->domain != a->domain &&
		    is_recent(a, p->partial_received_ms, now_ms))
			n += p->covered;
	}
	return n;
}

/* Number of nodes whose requests are counted in datagrams of @kind. */
static uint32_t
covered_by(
    const struct load_aggregation *a, enum mesh_kind kind, uint64_t now_ms)
{
	size_t n = 1;

	if (has_aggregators(a) && kind != MESH_REPORT)
		n += count_alive(a, true, now_ms);
	if (kind == MESH_TOTAL)
		n += count_in_partials(a, now_ms);
	return (uint32_t)n;
}

/* Limits of servers are used to the part of all nodes whose loads are received:
 * the others may be using theirs. */
static void
update_shares(struct load_aggregation *a, uint64_t now_ms)
{
	const struct peer *aggregator = agg_current_aggregator(a, now_ms);
	size_t nodes = a->peer_count + 1, covered = 1;

	if (!has_aggregators(a))
		covered += count_alive(a, false, now_ms);
	else if (agg_receives_partials(a, now_ms))
		covered = covered_by(a, MESH_TOTAL, now_ms);
	else if (agg_is_alive(a, aggregator, now_ms) && aggregator->covered > 0)
		covered = aggregator->covered;
	if (covered > nodes)
		covered = nodes;
	for (struct ld_server *s = ld_servers_first(a->servers); s != NULL;
	     s = s->next)
		if (s->allowance != NULL)
			s->allowance->share =
			    (uint32_t)(covered * LD_SHARE_WHOLE / nodes);
}

/* ---- Datagrams ---- */

static uint64_t
max_ms(uint64_t x, uint64_t y)
{
	return x > y ? x : y;
}

/* The load at a server that a datagram of this kind carries. */
static struct mesh_load
build_load(const struct ld_server *s, enum mesh_kind kind, uint64_t now_ms)
{
	struct mesh_load l = {.server = s->id_hash, .active = s->active};
	uint64_t heard = max_ms(s->last_byte_ms, s->source_last_byte_ms), ago;

	for (int c = 0; c < LD_COUNT_KINDS; c++) {
		const struct ld_shared_count *n = &s->counts[c];

		l.counts[c] = (uint32_t)(n->own + n->sources +
		    (kind == MESH_TOTAL ? n->partials : 0));
	}
	if (kind == MESH_TOTAL) {
		l.active += s->peer_active;
		heard = max_ms(heard, s->peer_last_byte_ms);
	} else {
		l.active += s->source_active;
	}
	ago = now_ms > heard ? now_ms - heard : 0;
	l.heard_ago_ms =
	    ago < MESH_HEARD_AGO_MAX_MS ? (uint32_t)ago : MESH_HEARD_AGO_MAX_MS;
	if (ld_allowance_is_recent(s->allowance, now_ms)) {
		l.has_rate = true;
		l.rate_milli = s->allowance->rate_milli;
		l.rate_ago_ms = (uint32_t)(now_ms - s->allowance->observed_ms);
	} else if (ld_allowance_is_warming_up(s->allowance, now_ms)) {
		/* Each node reads from the server's entry that it is cold. The
		 * counts come with a rate only: one that changes nothing. */
		l.has_rate = true;
		l.rate_milli = LD_RATE_UNLIMITED;
		l.rate_ago_ms = UINT32_MAX;
	}
	return l;
}

static void
send_datagram(struct load_aggregation *a, struct peer *const *to, size_t n,
    struct mesh_datagram *d)
{
	d->number = ++a->number;
	a->ops->send(a, to, n, d);
	d->load_count = 0;
	d->covered = 0;
	/* The first datagram carries them. */
	d->alarm_count = 0;
	d->finding_count = 0;
}

static void
send_findings(struct load_aggregation *a, struct peer *const *to, size_t n,
    struct mesh_datagram *d)
{
	size_t next = 0;

	while (next < a->notice_count) {
		next = agg_notices_fill_findings(a, d, next);
		if (d->finding_count > 0)
			send_datagram(a, to, n, d);
	}
}

/* Sends as many datagrams as the loads need, at least one. */
static void
send_loads(struct load_aggregation *a, struct peer *const *to, size_t n,
    enum mesh_kind kind, uint64_t now_ms)
{
	struct mesh_datagram d = {
	    .kind = kind, .can_delegate = a->can_delegate};
	size_t sent = 0, room = MESH_LOADS_MAX;

	if (n == 0)
		return;
	agg_notices_fill_alarms(a, &d);
	for (const struct ld_server *s = ld_servers_first(a->servers);
	     s != NULL; s = s->next) {
		struct mesh_load l = build_load(s, kind, now_ms);

		if (l.active == 0 && !l.has_rate &&
		    now_ms >= s->load_changed_ms + CHANGE_REPEAT_MS)
			continue;
		d.loads[d.load_count++] = l;
		room -= l.has_rate ? MESH_RATE_LOADS : 1;
		if (l.has_rate)
			d.covered = covered_by(a, kind, now_ms);
		if (room >= MESH_RATE_LOADS)
			continue;
		send_datagram(a, to, n, &d);
		room = MESH_LOADS_MAX;
		sent++;
	}
	if (sent == 0 || d.load_count > 0)
		send_datagram(a, to, n, &d);
	send_findings(a, to, n, &d);
}

/* ---- Recipients ---- */

/** struct candidates - nodes of one failure domain, preferred ones first */
struct candidates {
	size_t n;
	struct peer *v[CANDIDATES_MAX];
	uint32_t domain;
	bool has_aggregator; /* one of its nodes sends partial sums */
};

static void
add_candidate(struct candidates *c, struct peer *p)
{
	size_t at = c->n;

	while (at > 0 && is_preferred(p, c->v[at - 1]))
		at--;
	if (at == CANDIDATES_MAX)
		return;
	if (c->n < CANDIDATES_MAX)
		c->n++;
	for (size_t i = c->n - 1; i > at; i--)
		c->v[i] = c->v[i - 1];
	c->v[at] = p;
}

/* Known aggregators, and one candidate in turn of each failure domain without
 * one, so that aggregators that do not know each other yet get in contact. */
static size_t
find_aggregators(
    struct load_aggregation *a, struct peer **out, size_t max, uint64_t now_ms)
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
		if (!is_recent(a, p->partial_received_ms, now_ms))
			continue;
		domains[d].has_aggregator = true;
		if (n < max)
			out[n++] = p;
	}
	a->rotation++;
	for (size_t d = 0; d < count && n < max; d++) {
		struct peer *p = domains[d].v[a->rotation % domains[d].n];

		if (!domains[d].has_aggregator &&
		    !is_recent(a, p->report_received_ms, now_ms))
			out[n++] = p;
	}
	return n;
}

static size_t
find_sources(const struct load_aggregation *a, struct peer **out, size_t max,
    uint64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < a->peer_count && n < max; i++) {
		struct peer *p = &a->peers[i];

		if (is_recent(a, p->report_received_ms, now_ms) ||
		    is_recent(a, p->probe_received_ms, now_ms))
			out[n++] = p;
	}
	return n;
}

/* Probes preferred aggregators that were silent, to find out when they are
 * back. */
static void
probe_preferred(
    struct load_aggregation *a, const struct peer *aggregator, uint64_t now_ms)
{
	for (size_t i = 0; i < a->peer_count; i++) {
		struct mesh_datagram d = {
		    .kind = MESH_PROBE, .can_delegate = a->can_delegate};
		struct peer *p = &a->peers[i];

		if (!outranks_self(a, p) || !is_preferred(p, aggregator) ||
		    p == aggregator ||
		    now_ms < p->probe_sent_ms + PROBE_INTERVAL_MS)
			continue;
		p->probe_sent_ms = now_ms;
		send_datagram(a, &p, 1, &d);
	}
}

static void
send_to_all(struct load_aggregation *a, struct peer **to, uint64_t now_ms)
{
	for (size_t i = 0; i < a->peer_count; i++)
		to[i] = &a->peers[i];
	send_loads(a, to, a->peer_count, MESH_PARTIAL, now_ms);
}

static void
send_aggregated(struct load_aggregation *a, struct peer **to, uint64_t now_ms)
{
	struct peer *aggregator = agg_current_aggregator(a, now_ms);
	size_t n;

	if (aggregator != NULL && !has_sources(a, now_ms)) {
		if (aggregator->first_report_ms == 0)
			aggregator->first_report_ms = now_ms;
		send_loads(a, &aggregator, 1, MESH_REPORT, now_ms);
	} else {
		n = find_aggregators(a, to, a->peer_count, now_ms);
		send_loads(a, to, n, MESH_PARTIAL, now_ms);
		n = find_sources(a, to, a->peer_count, now_ms);
		send_loads(a, to, n, MESH_TOTAL, now_ms);
	}
	probe_preferred(a, aggregator, now_ms);
}

void
agg_tick(struct load_aggregation *a, uint64_t now_ms)
{
	struct peer **to;

	if (now_ms < a->next_ms)
		return;
	update_shares(a, now_ms);
	a->next_ms = now_ms +
	    (has_aggregators(a) ? AGGREGATION_INTERVAL_MS
				: BROADCAST_INTERVAL_MS);
	for (size_t i = 0; i < a->peer_count; i++)
		peer_load_expire(&a->peers[i], a->servers, now_ms);
	agg_notices_expire(a, now_ms);
	to = ld_alloc((a->peer_count + 1) * sizeof(*to));
	if (has_aggregators(a))
		send_aggregated(a, to, now_ms);
	else
		send_to_all(a, to, now_ms);
	free(to);
}

/* ---- Receiving ---- */

/* Whether the loads in such a datagram of @p are to be applied. */
static bool
is_applicable(const struct load_aggregation *a, const struct peer *p,
    enum mesh_kind kind, uint64_t now_ms)
{
	switch (kind) {
	case MESH_REPORT:
		return true;
	case MESH_PARTIAL:
		return agg_receives_partials(a, now_ms);
	case MESH_TOTAL:
		return !agg_receives_partials(a, now_ms) &&
		    agg_current_aggregator(a, now_ms) == p;
	default:
		return false;
	}
}

static void
note_received(struct peer *p, enum mesh_kind kind, uint64_t now_ms)
{
	if (kind == MESH_REPORT)
		p->report_received_ms = now_ms;
	else if (kind == MESH_PARTIAL)
		p->partial_received_ms = now_ms;
	else if (kind == MESH_PROBE)
		p->probe_received_ms = now_ms;
	/* An aggregator sends no reports. */
	if (kind == MESH_PARTIAL)
		p->report_received_ms = 0;
}

void
agg_receive(struct load_aggregation *a, struct peer *p,
    const struct mesh_datagram *d, uint64_t now_ms)
{
	/* Discard reordered datagrams. After a restart the sequence starts
	 * again, but then the peer was silent for a while. */
	if (d->number <= p->number && agg_is_alive(a, p, now_ms))
		return;
	if (!agg_is_alive(a, p, now_ms))
		p->alive_since_ms = now_ms;
	p->number = d->number;
	p->last_datagram_ms = now_ms;
	p->can_delegate = d->can_delegate;
	if (d->covered > 0)
		p->covered = d->covered;
	note_received(p, d->kind, now_ms);
	agg_notices_receive(a, d, now_ms);
	if (!is_applicable(a, p, d->kind, now_ms))
		return;
	for (size_t i = 0; i < d->load_count; i++) {
		const struct mesh_load *l = &d->loads[i];
		struct ld_server *s =
		    ld_servers_find_hash(a->servers, l->server);
		uint64_t tokens;

		if (s == NULL || l->server == 0)
			continue;
		if (l->has_rate &&
		    ld_server_observe_rate(s, l->rate_milli,
			now_ms > l->rate_ago_ms ? now_ms - l->rate_ago_ms : 0))
			a->ops->rate_changed(a, s);
		tokens = peer_load_update(p, s, d->kind, l, now_ms);
		if (tokens > 0)
			a->ops->prompt_sent(a, s, tokens, now_ms);
	}
}
