/* Probe schedule of this node, and what its probes and calls tell it. */
#include <string.h>

#include "health_internal.h"

/* A probe number holds its server's place in the low bits. */
#define PLACE_BITS 16
#define PLACE_MASK ((1U << PLACE_BITS) - 1)
/* Wait before a refused server is asked again, to confirm. */
#define CONFIRM_MS 50
/* Refusals in a row that make a server dead: nobody listens there. */
#define REFUSALS_DEAD 2
/* The adapter ends a probe by itself; this is for one it never ended. */
#define PROBE_GRACE_MS 1000

size_t
probe_place(uint64_t probe)
{
	return probe & PLACE_MASK;
}

static uint64_t
weight_of(const char *node, const char *address)
{
	uint64_t key = ld_hash64(ld_str_c(address), 0);

	return ld_hash64(ld_str_c(node), key);
}

/*
 * Whether this node is among the probers: the highest weights of the server's
 * own failure domain, filled up from the others when it has too few nodes.
 */
static bool
is_prober(const struct ld_health *h, const struct server *s)
{
	uint64_t key = ld_hash64(ld_str_c(s->address), 0);
	uint64_t own = weight_of(h->self, s->address);
	bool near = strcmp(h->zone, s->zone) == 0;
	size_t before = 0;

	for (size_t i = 0; i < h->node_count; i++) {
		const struct node *n = &h->nodes[i];
		bool n_near = strcmp(n->zone, s->zone) == 0;

		if (strcmp(n->id, h->self) == 0)
			continue;
		if (n_near != near)
			before += n_near;
		else
			before += ld_hash64(ld_str_c(n->id), key) > own;
		if (before >= h->config.probers)
			return false;
	}
	return true;
}

void
assign_probers(struct ld_health *h, uint64_t now_ms)
{
	for (size_t i = 0; i < h->server_count; i++) {
		struct server *s = &h->servers[i];
		bool mine = is_prober(h, s);

		if (mine && !s->mine)
			s->next_probe_ms = now_ms +
			    ld_rand_below(&h->rand, h->config.interval_ms);
		s->mine = mine;
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
	struct ld_health_action *a = health_push(h, LD_HEALTH_PROBE);

	h->probes++;
	s->probe = h->probes << PLACE_BITS | (uint64_t)(s - h->servers);
	s->probe_sent_ms = now_ms;
	s->next_probe_ms = s->mine ? now_ms + next_interval(h) : 0;
	a->probe = s->probe;
	memcpy(a->address, s->address, sizeof(a->address));
}

/* ---- This node's own report ---- */

static enum ld_health_verdict
own_verdict(const struct ld_health *h, const struct server *s, uint64_t now_ms)
{
	uint64_t silent_ms = now_ms - s->own_answer_ms;

	if (s->failures == 0)
		return LD_HEALTH_OK;
	if (s->refusals >= REFUSALS_DEAD)
		return LD_HEALTH_FAILED;
	if (s->failures > h->config.suspect_after &&
	    silent_ms >= h->config.dead_after_ms)
		return LD_HEALTH_FAILED;
	if (s->failures >= h->config.suspect_after || s->refusals > 0)
		return LD_HEALTH_FAILING;
	return LD_HEALTH_OK;
}

/*
 * An unchanged good report is left to whoever said the same a moment ago, so
 * that the life of a server's reports costs about one record, not one for
 * each prober. Bad news is every prober's own vote.
 */
static bool
worth_publishing(struct ld_health *h, const struct server *s, uint64_t now_ms)
{
	if (s->published_ms == 0 || !report_same(&s->own, &s->published))
		return true;
	if (now_ms < s->published_ms + h->config.report_ttl_ms / 3)
		return false;
	return s->own.verdict != LD_HEALTH_OK ||
	    !heard_agrees(h, s, &s->own, now_ms);
}

static void
publish(struct ld_health *h, struct server *s, uint64_t now_ms)
{
	struct ld_health_action *a;

	/* One that was only checked after a failed call isn't ours to tell. */
	if (!s->mine || !worth_publishing(h, s, now_ms))
		return;
	a = health_push(h, LD_HEALTH_PUBLISH);
	a->changed =
	    s->published_ms == 0 || !report_same(&s->own, &s->published);
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
	r->straggler = s->answers.straggler;
	r->age_ms = age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
	heard_put(s, r, s->own_answer_ms, now_ms);
	publish(h, s, now_ms);
}

static void
on_answer(struct ld_health *h, struct server *s,
    const struct ld_health_answer *answer, uint64_t now_ms)
{
	struct ld_health_report *r = &s->own;

	s->failures = 0;
	s->refusals = 0;
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
	speed_add(h, s, SPEED_ANSWERS, answer->took_ms);
	update_own(h, s, now_ms);
}

static void
on_failure(struct ld_health *h, struct server *s,
    enum ld_health_outcome outcome, uint64_t now_ms)
{
	bool was_dead = s->own.verdict == LD_HEALTH_FAILED;

	s->failures++;
	s->refusals = outcome == LD_HEALTH_REFUSED ? s->refusals + 1 : 0;
	update_own(h, s, now_ms);
	/* Confirm at once; once it is dead, the usual pace is enough. */
	if (!was_dead && s->own.verdict != LD_HEALTH_FAILED)
		s->next_probe_ms =
		    now_ms + (outcome == LD_HEALTH_REFUSED ? CONFIRM_MS : 0);
}

void
ld_health_probe_result(struct ld_health *h, uint64_t probe,
    enum ld_health_outcome outcome, const struct ld_health_answer *answer,
    uint64_t now_ms)
{
	size_t place = probe_place(probe);
	struct server *s;

	if (place >= h->server_count)
		return;
	s = &h->servers[place];
	if (probe == 0 || s->probe != probe)
		return;
	s->probe = 0;
	if (outcome == LD_HEALTH_ANSWERED && answer != NULL)
		on_answer(h, s, answer, now_ms);
	else
		on_failure(h, s, outcome, now_ms);
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
			speed_add(h, s, SPEED_TOKENS, token_ms);
		return;
	}
	s->call_failures++;
	s->call_failed_ms = now_ms;
	probe_soon(s, now_ms);
}

/* ---- Time ---- */

static bool
probe_due(const struct server *s, uint64_t now_ms)
{
	return s->probe == 0 && s->next_probe_ms != 0 &&
	    now_ms >= s->next_probe_ms;
}

void
ld_health_tick(struct ld_health *h, uint64_t now_ms)
{
	uint64_t late_ms = h->config.timeout_ms + PROBE_GRACE_MS;

	for (size_t i = 0; i < h->server_count; i++) {
		struct server *s = &h->servers[i];

		if (s->probe != 0 && now_ms >= s->probe_sent_ms + late_ms) {
			s->probe = 0;
			on_failure(h, s, LD_HEALTH_TIMED_OUT, now_ms);
		}
		if (!s->mine && s->call_failures == 0)
			s->next_probe_ms = 0;
		if (probe_due(s, now_ms))
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

		if (s->probe != 0)
			due = s->probe_sent_ms + h->config.timeout_ms +
			    PROBE_GRACE_MS;
		if (due != 0 && due < next)
			next = due;
	}
	return next;
}
