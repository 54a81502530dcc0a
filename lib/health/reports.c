/* Reports of all reporters on a server, and speed out of line. */
#include <stdlib.h>
#include <string.h>

#include "health_internal.h"

static struct heard *
find_reporter(struct server *s, const char *reporter)
{
	for (size_t i = 0; i < s->heard_count; i++) {
		if (strcmp(s->heard[i].report.reporter, reporter) == 0)
			return &s->heard[i];
	}
	return NULL;
}

/* A slot for a new reporter: the one heard longest ago makes room. */
static struct heard *
new_slot(struct server *s)
{
	struct heard *oldest = &s->heard[0];

	if (s->heard_count < LD_HEALTH_REPORTERS_MAX)
		return &s->heard[s->heard_count++];
	for (size_t i = 1; i < s->heard_count; i++) {
		if (s->heard[i].heard_ms < oldest->heard_ms)
			oldest = &s->heard[i];
	}
	return oldest;
}

enum ld_status
heard_put(struct server *s, const struct ld_health_report *r,
    uint64_t answer_ms, uint64_t now_ms)
{
	struct heard *e = find_reporter(s, r->reporter);

	if (e != NULL && r->run == e->report.run && r->seq <= e->report.seq)
		return ld_fail(LD_E_STALE, "older report of this reporter");
	if (e == NULL)
		e = new_slot(s);
	e->report = *r;
	e->answer_ms = answer_ms;
	e->heard_ms = now_ms;
	return LD_OK;
}

const struct heard *
heard_newest(const struct server *s)
{
	const struct heard *best = NULL;

	for (size_t i = 0; i < s->heard_count; i++) {
		const struct heard *e = &s->heard[i];

		if (e->report.never_answered)
			continue;
		if (best == NULL || e->answer_ms > best->answer_ms)
			best = e;
	}
	return best;
}

bool
report_same(const struct ld_health_report *a, const struct ld_health_report *b)
{
	return a->verdict == b->verdict && a->epoch == b->epoch &&
	    a->ready == b->ready && a->straggler == b->straggler &&
	    strcmp(a->replica, b->replica) == 0 &&
	    strcmp(a->incarnation, b->incarnation) == 0;
}

bool
heard_agrees(const struct ld_health *h, const struct server *s,
    const struct ld_health_report *r, uint64_t now_ms)
{
	for (size_t i = 0; i < s->heard_count; i++) {
		const struct heard *e = &s->heard[i];

		if (strcmp(e->report.reporter, h->self) == 0)
			continue;
		if (now_ms < e->answer_ms + h->config.report_ttl_ms / 3 &&
		    report_same(&e->report, r))
			return true;
	}
	return false;
}

/* ---- Speed ---- */

/* Fewer servers to compare with say nothing about what is in line. */
#define COMPARE_MIN 3

static struct speed *
speed_of(struct server *s, enum speed_kind kind)
{
	return kind == SPEED_ANSWERS ? &s->answers : &s->tokens;
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

/* Median over the servers measured here, 0 when there are too few. */
static uint32_t
common_ms(struct ld_health *h, enum speed_kind kind)
{
	uint32_t *v = ld_alloc((h->server_count + 1) * sizeof(*v));
	uint32_t median = 0;
	size_t n = 0;

	for (size_t i = 0; i < h->server_count; i++) {
		const struct speed *sp = speed_of(&h->servers[i], kind);

		if (sp->samples > 0)
			v[n++] = sp->typical_ms;
	}
	if (n >= COMPARE_MIN)
		median = median_of(v, n);
	free(v);
	return median;
}

/* A median, so that a lost packet now and then makes nobody a straggler. */
static void
take_sample(struct speed *sp, uint32_t ms)
{
	uint32_t sorted[SPEED_SAMPLES];
	size_t n;

	sp->recent_ms[sp->samples % SPEED_SAMPLES] = ms;
	sp->samples++;
	n = sp->samples < SPEED_SAMPLES ? sp->samples : SPEED_SAMPLES;
	memcpy(sorted, sp->recent_ms, sizeof(sorted));
	sp->typical_ms = median_of(sorted, n);
}

void
speed_add(
    struct ld_health *h, struct server *s, enum speed_kind kind, uint32_t ms)
{
	struct speed *sp = speed_of(s, kind);
	uint32_t bound;

	take_sample(sp, ms);
	if (sp->samples < SPEED_SAMPLES)
		return;
	bound = common_ms(h, kind) * h->config.slow_factor;
	if (bound < h->config.slow_min_ms)
		bound = h->config.slow_min_ms;
	if (sp->typical_ms > bound)
		sp->straggler = true;
	/* The way back asks for half, so that the mark doesn't flap. */
	else if (sp->typical_ms < bound / 2)
		sp->straggler = false;
}
