/* Stored reports on a server, and detection of stragglers. */
#include <stdlib.h>
#include <string.h>

#include "health_internal.h"

static struct received_report *
find_report(struct server *s, const char *reporter)
{
	for (size_t i = 0; i < s->report_count; i++) {
		if (strcmp(s->reports[i].report.reporter, reporter) == 0)
			return &s->reports[i];
	}
	return NULL;
}

/* Entry for a new reporter; replaces the least recently received if full. */
static struct received_report *
allocate_report(struct server *s)
{
	struct received_report *oldest = &s->reports[0];

	if (s->report_count < LD_HEALTH_REPORTERS_MAX)
		return &s->reports[s->report_count++];
	for (size_t i = 1; i < s->report_count; i++) {
		if (s->reports[i].received_ms < oldest->received_ms)
			oldest = &s->reports[i];
	}
	return oldest;
}

enum ld_status
report_store(struct server *s, const struct ld_health_report *r,
    uint64_t answer_ms, uint64_t now_ms)
{
	struct received_report *e = find_report(s, r->reporter);

	if (e != NULL && r->run == e->report.run && r->seq <= e->report.seq)
		return ld_fail(
		    LD_E_STALE, "a newer report of this reporter is stored");
	if (e == NULL)
		e = allocate_report(s);
	e->report = *r;
	e->answer_ms = answer_ms;
	e->received_ms = now_ms;
	return LD_OK;
}

const struct received_report *
report_with_newest_answer(const struct server *s)
{
	const struct received_report *best = NULL;

	for (size_t i = 0; i < s->report_count; i++) {
		const struct received_report *e = &s->reports[i];

		if (e->report.never_answered)
			continue;
		if (best == NULL || e->answer_ms > best->answer_ms)
			best = e;
	}
	return best;
}

bool
report_equal(const struct ld_health_report *a, const struct ld_health_report *b)
{
	return a->verdict == b->verdict && a->epoch == b->epoch &&
	    a->ready == b->ready && a->straggler == b->straggler &&
	    strcmp(a->replica, b->replica) == 0 &&
	    strcmp(a->incarnation, b->incarnation) == 0;
}

bool
report_matches_peer(const struct ld_health *h, const struct server *s,
    const struct ld_health_report *r, uint64_t now_ms)
{
	for (size_t i = 0; i < s->report_count; i++) {
		const struct received_report *e = &s->reports[i];

		if (strcmp(e->report.reporter, h->self) == 0)
			continue;
		if (now_ms < e->answer_ms + h->config.report_ttl_ms / 3 &&
		    report_equal(&e->report, r))
			return true;
	}
	return false;
}

/* ---- Stragglers ---- */

/* With fewer servers, a median says nothing about outliers. */
#define COMPARE_SERVERS_MIN 3

static struct duration_stats *
duration_stats_of(struct server *s, enum duration_kind kind)
{
	return kind == DURATION_ANSWER ? &s->answer_durations
				       : &s->token_durations;
}

static int
compare_durations(const void *va, const void *vb)
{
	uint32_t a = *(const uint32_t *)va;
	uint32_t b = *(const uint32_t *)vb;

	return (a > b) - (a < b);
}

static uint32_t
median_of(uint32_t *v, size_t n)
{
	qsort(v, n, sizeof(*v), compare_durations);
	return v[(n - 1) / 2];
}

/* Median over the servers measured by this node, 0 if there are too few. */
static uint32_t
fleet_median_ms(struct ld_health *h, enum duration_kind kind)
{
	uint32_t *v = ld_alloc((h->server_count + 1) * sizeof(*v));
	uint32_t median = 0;
	size_t n = 0;

	for (size_t i = 0; i < h->server_count; i++) {
		const struct duration_stats *sp =
		    duration_stats_of(&h->servers[i], kind);

		if (sp->samples > 0)
			v[n++] = sp->median_ms;
	}
	if (n >= COMPARE_SERVERS_MIN)
		median = median_of(v, n);
	free(v);
	return median;
}

/* Uses the median, so that an occasional lost packet makes no straggler. */
static void
add_sample(struct duration_stats *sp, uint32_t ms)
{
	uint32_t sorted[DURATION_SAMPLES];
	size_t n;

	sp->recent_ms[sp->samples % DURATION_SAMPLES] = ms;
	sp->samples++;
	n = sp->samples < DURATION_SAMPLES ? sp->samples : DURATION_SAMPLES;
	memcpy(sorted, sp->recent_ms, sizeof(sorted));
	sp->median_ms = median_of(sorted, n);
}

void
duration_add(
    struct ld_health *h, struct server *s, enum duration_kind kind, uint32_t ms)
{
	struct duration_stats *sp = duration_stats_of(s, kind);
	uint32_t bound;

	add_sample(sp, ms);
	if (sp->samples < DURATION_SAMPLES)
		return;
	bound = fleet_median_ms(h, kind) * h->config.slow_factor;
	if (bound < h->config.slow_min_ms)
		bound = h->config.slow_min_ms;
	if (sp->median_ms > bound)
		sp->straggler = true;
	/* Hysteresis, so that the flag doesn't flap. */
	else if (sp->median_ms < bound / 2)
		sp->straggler = false;
}
