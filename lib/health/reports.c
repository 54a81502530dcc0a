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

/* Weight of a new sample in the smoothed duration. */
#define SMOOTHING 0.3
/* Samples in a row out of line before a server counts as a straggler. */
#define SLOW_SAMPLES 3
/* Fewer servers to compare with say nothing about what is in line. */
#define COMPARE_MIN 3

static struct speed *
speed_of(struct server *s, enum speed_kind kind)
{
	return kind == SPEED_ANSWERS ? &s->answers : &s->tokens;
}

static int
compare_doubles(const void *va, const void *vb)
{
	double a = *(const double *)va;
	double b = *(const double *)vb;

	return (a > b) - (a < b);
}

/* Median over the servers measured here, 0 when there are too few. */
static double
median_ms(struct ld_health *h, enum speed_kind kind)
{
	double *v = ld_alloc((h->server_count + 1) * sizeof(*v));
	double median = 0.0;
	size_t n = 0;

	for (size_t i = 0; i < h->server_count; i++) {
		const struct speed *sp = speed_of(&h->servers[i], kind);

		if (sp->samples > 0)
			v[n++] = sp->mean_ms;
	}
	qsort(v, n, sizeof(*v), compare_doubles);
	if (n >= COMPARE_MIN)
		median = v[(n - 1) / 2];
	free(v);
	return median;
}

void
speed_add(
    struct ld_health *h, struct server *s, enum speed_kind kind, uint32_t ms)
{
	struct speed *sp = speed_of(s, kind);
	double bound;

	sp->samples++;
	if (sp->samples == 1)
		sp->mean_ms = ms;
	else
		sp->mean_ms += SMOOTHING * (ms - sp->mean_ms);
	bound = median_ms(h, kind) * h->config.slow_factor;
	if (bound < h->config.slow_min_ms)
		bound = h->config.slow_min_ms;
	if (sp->mean_ms > bound)
		sp->slow++;
	else
		sp->slow = 0;
	if (sp->slow >= SLOW_SAMPLES)
		sp->straggler = true;
	/* The way back asks for half, so that the mark doesn't flap. */
	else if (sp->mean_ms < bound / 2)
		sp->straggler = false;
}
