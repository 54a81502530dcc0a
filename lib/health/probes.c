/* Probe schedule of this node, and the results of its probes and calls. */
#include <string.h>

#include "health_internal.h"

/* The low bits of a probe number hold the index of its server. */
#define INDEX_BITS 16
#define INDEX_MASK ((1U << INDEX_BITS) - 1)
/* Delay before the probe that confirms a refused connection. */
#define REFUSAL_RETRY_MS 50
/* Consecutive refusals that make a server dead: no process listens there. */
#define REFUSALS_UNTIL_DEAD 2
/* The adapter times out probes itself; this covers a result that never came. */
#define PROBE_GRACE_MS 1000

size_t
probe_server_index(uint64_t probe)
{
	return probe & INDEX_MASK;
}

static uint64_t
weight_of(const char *node, const char *address)
{
	uint64_t key = ld_hash64(ld_str_c(address), 0);

	return ld_hash64(ld_str_c(node), key);
}

/*
 * Whether this node is one of the probers: the nodes with the highest weights
 * in the server's failure domain, plus nodes of others if that has too few.
 */
static bool
is_prober(const struct ld_health *h, const struct server *s)
{
	uint64_t key = ld_hash64(ld_str_c(s->address), 0);
	uint64_t own = weight_of(h->self, s->address);
	bool same_zone = strcmp(h->zone, s->zone) == 0;
	size_t preceding = 0;

	for (size_t i = 0; i < h->node_count; i++) {
		const struct node *n = &h->nodes[i];
		bool n_same_zone = strcmp(n->zone, s->zone) == 0;

		if (strcmp(n->id, h->self) == 0)
			continue;
		if (n_same_zone != same_zone)
			preceding += n_same_zone;
		else
			preceding += ld_hash64(ld_str_c(n->id), key) > own;
		if (preceding >= h->config.probers)
			return false;
	}
	return true;
}

void
assign_probers(struct ld_health *h, uint64_t now_ms)
{
	for (size_t i = 0; i < h->server_count; i++) {
		struct server *s = &h->servers[i];
		bool assigned = is_prober(h, s);

		if (assigned && !s->assigned)
			s->next_probe_ms = now_ms +
			    ld_rand_below(&h->rand, h->config.interval_ms);
		s->assigned = assigned;
	}
}

void
probe_soon(struct server *s, uint64_t now_ms)
{
	if (s->next_probe_ms == 0 || s->next_probe_ms > now_ms)
		s->next_probe_ms = now_ms;
}

static uint64_t
next_interval(struct ld_health *h)
{
	uint32_t spread = h->config.interval_ms * h->config.jitter_pct / 100;

	return h->config.interval_ms - spread +
	    ld_rand_below(&h->rand, 2 * (uint64_t)spread + 1);
}

static void
start_probe(struct ld_health *h, struct server *s, uint64_t now_ms)
{
	struct ld_health_action *a = health_push_action(h, LD_HEALTH_PROBE);

	h->last_probe++;
	s->pending_probe =
	    h->last_probe << INDEX_BITS | (uint64_t)(s - h->servers);
	s->probe_sent_ms = now_ms;
	s->next_probe_ms = s->assigned ? now_ms + next_interval(h) : 0;
	a->probe = s->pending_probe;
	memcpy(a->address, s->address, sizeof(a->address));
}

/* ---- This node's own report ---- */

static enum ld_health_verdict
own_verdict(const struct ld_health *h, const struct server *s, uint64_t now_ms)
{
	uint64_t silent_ms = now_ms - s->own_answer_ms;

	if (s->probe_failures == 0)
		return LD_HEALTH_OK;
	if (s->probe_refusals >= REFUSALS_UNTIL_DEAD)
		return LD_HEALTH_FAILED;
	if (s->probe_failures > h->config.suspect_after &&
	    silent_ms >= h->config.dead_after_ms)
		return LD_HEALTH_FAILED;
	if (s->probe_failures >= h->config.suspect_after ||
	    s->probe_refusals > 0)
		return LD_HEALTH_FAILING;
	return LD_HEALTH_OK;
}

/*
 * An unchanged OK report is not published if another prober recently published
 * an equal one, so that a server costs about one record per report lifetime
 * instead of one per prober. Failures are published by every prober, because
 * each of them counts towards the quorum.
 */
static bool
should_publish(struct ld_health *h, const struct server *s, uint64_t now_ms)
{
	if (s->published_ms == 0 || !report_equal(&s->own, &s->published))
		return true;
	if (now_ms < s->published_ms + h->config.report_ttl_ms / 3)
		return false;
	return s->own.verdict != LD_HEALTH_OK ||
	    !report_matches_peer(h, s, &s->own, now_ms);
}

static void
publish(struct ld_health *h, struct server *s, uint64_t now_ms)
{
	struct ld_health_action *a;

	/* Only probers publish; other nodes probe after a failed call. */
	if (!s->assigned || !should_publish(h, s, now_ms))
		return;
	a = health_push_action(h, LD_HEALTH_PUBLISH);
	a->changed =
	    s->published_ms == 0 || !report_equal(&s->own, &s->published);
	memcpy(a->address, s->address, sizeof(a->address));
	a->report = s->own;
	s->published = s->own;
	s->published_ms = now_ms;
}

static void
update_own(struct ld_health *h, struct server *s, uint64_t now_ms)
{
	struct ld_health_report *r = &s->own;
	uint64_t age = now_ms - s->own_answer_ms;

	memcpy(r->reporter, h->self, sizeof(r->reporter));
	memcpy(r->address, s->address, sizeof(r->address));
	r->run = h->config.run;
	r->seq = ++h->seq;
	r->sent_ms = now_ms;
	r->verdict = own_verdict(h, s, now_ms);
	r->never_answered = s->own_answer_ms == 0;
	r->straggler = s->answer_durations.straggler;
	r->age_ms = age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
	report_store(s, r, s->own_answer_ms, now_ms);
	publish(h, s, now_ms);
}

static void
handle_answer(struct ld_health *h, struct server *s,
    const struct ld_health_answer *answer, uint64_t now_ms)
{
	struct ld_health_report *r = &s->own;

	s->probe_failures = 0;
	s->probe_refusals = 0;
	s->call_failures = 0;
	s->own_answer_ms = s->probe_sent_ms;
	copy_name(r->replica, sizeof(r->replica), answer->replica);
	copy_name(r->incarnation, sizeof(r->incarnation), answer->incarnation);
	r->epoch = answer->epoch;
	r->ready = answer->ready;
	if (answer->load_known) {
		r->running = answer->running;
		r->waiting = answer->waiting;
		r->slots = answer->slots;
	}
	duration_add(h, s, DURATION_ANSWER, answer->took_ms);
	update_own(h, s, now_ms);
}

static void
handle_failure(struct ld_health *h, struct server *s,
    enum ld_health_outcome outcome, uint64_t now_ms)
{
	bool was_dead = s->own.verdict == LD_HEALTH_FAILED;

	s->probe_failures++;
	s->probe_refusals =
	    outcome == LD_HEALTH_REFUSED ? s->probe_refusals + 1 : 0;
	update_own(h, s, now_ms);
	/* Confirm at once; for a dead server the normal interval is enough. */
	if (!was_dead && s->own.verdict != LD_HEALTH_FAILED)
		s->next_probe_ms = now_ms +
		    (outcome == LD_HEALTH_REFUSED ? REFUSAL_RETRY_MS : 0);
}

void
ld_health_probe_result(struct ld_health *h, uint64_t probe,
    enum ld_health_outcome outcome, const struct ld_health_answer *answer,
    uint64_t now_ms)
{
	size_t server_index = probe_server_index(probe);
	struct server *s;

	if (server_index >= h->server_count)
		return;
	s = &h->servers[server_index];
	if (probe == 0 || s->pending_probe != probe)
		return;
	s->pending_probe = 0;
	if (outcome == LD_HEALTH_ANSWERED && answer != NULL)
		handle_answer(h, s, answer, now_ms);
	else
		handle_failure(h, s, outcome, now_ms);
}

void
ld_health_call_result(struct ld_health *h, struct ld_str address,
    enum ld_health_outcome outcome, uint32_t token_ms, uint64_t now_ms)
{
	struct server *s = server_find(h, address);

	if (s == NULL)
		return;
	if (outcome == LD_HEALTH_ANSWERED) {
		s->call_failures = 0;
		if (token_ms > 0)
			duration_add(h, s, DURATION_TOKEN, token_ms);
		return;
	}
	s->call_failures++;
	s->call_failed_ms = now_ms;
	probe_soon(s, now_ms);
}

/* ---- Time ---- */

static bool
probe_is_due(const struct server *s, uint64_t now_ms)
{
	return s->pending_probe == 0 && s->next_probe_ms != 0 &&
	    now_ms >= s->next_probe_ms;
}

void
ld_health_tick(struct ld_health *h, uint64_t now_ms)
{
	uint64_t probe_limit_ms = h->config.timeout_ms + PROBE_GRACE_MS;

	for (size_t i = 0; i < h->server_count; i++) {
		struct server *s = &h->servers[i];

		if (s->pending_probe != 0 &&
		    now_ms >= s->probe_sent_ms + probe_limit_ms) {
			s->pending_probe = 0;
			handle_failure(h, s, LD_HEALTH_TIMED_OUT, now_ms);
		}
		if (!s->assigned && s->call_failures == 0)
			s->next_probe_ms = 0;
		if (probe_is_due(s, now_ms))
			start_probe(h, s, now_ms);
	}
}

uint64_t
ld_health_next_ms(const struct ld_health *h)
{
	uint64_t next = UINT64_MAX;

	for (size_t i = 0; i < h->server_count; i++) {
		const struct server *s = &h->servers[i];
		uint64_t due = s->next_probe_ms;

		if (s->pending_probe != 0)
			due = s->probe_sent_ms + h->config.timeout_ms +
			    PROBE_GRACE_MS;
		if (due != 0 && due < next)
			next = due;
	}
	return next;
}
