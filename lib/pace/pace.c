/* See ld_pace.h and README.md. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "ld_pace.h"

/* Samples older than this say little of a server that changes within seconds. */
#define SAMPLE_VALID_MS 6000
/* With fewer samples the factor is 1: two of them may both be outliers. */
#define SAMPLES_MIN 3
/* With this number of samples the factor is certain. */
#define SAMPLES_CERTAIN 8
#define HALF_LIFE_MS 4000.0
#define FACTOR_MIN 0.5
#define FACTOR_MAX 16.0
/* Servers that are compared at once; further ones are compared to these. */
#define COMPARED_MAX 256

static double
clamp(double factor)
{
	return fmin(fmax(factor, FACTOR_MIN), FACTOR_MAX);
}

void
ld_pace_add(
    struct ld_pace *p, double expected_ms, double actual_ms, uint64_t now_ms)
{
	if (expected_ms <= 0 || actual_ms <= 0)
		return;
	p->log_ratio[p->next] = (float)log(clamp(actual_ms / expected_ms));
	p->at_ms[p->next] = now_ms;
	p->next = (p->next + 1) % LD_PACE_SAMPLES;
	p->newest_ms = now_ms;
}

void
ld_pace_reset(struct ld_pace *p)
{
	memset(p, 0, sizeof(*p));
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static double
median(double *v, size_t n)
{
	qsort(v, n, sizeof(*v), compare);
	return n % 2 == 1 ? v[n / 2] : (v[n / 2 - 1] + v[n / 2]) / 2;
}

static size_t
valid_samples(
    const struct ld_pace *p, uint64_t now_ms, double out[LD_PACE_SAMPLES])
{
	size_t n = 0;

	for (size_t i = 0; i < LD_PACE_SAMPLES; i++)
		if (p->at_ms[i] != 0 && now_ms < p->at_ms[i] + SAMPLE_VALID_MS)
			out[n++] = p->log_ratio[i];
	return n;
}

/* The samples before the pause in which none came still count, the less the longer
 * it lasts. */
double
ld_pace_factor(const struct ld_pace *p, uint64_t now_ms)
{
	double v[LD_PACE_SAMPLES];
	size_t n = valid_samples(p, now_ms, v);
	uint64_t idle_ms;

	if (n < SAMPLES_MIN)
		n = valid_samples(p, p->newest_ms, v);
	if (n < SAMPLES_MIN)
		return 1.0;
	idle_ms = now_ms > p->newest_ms ? now_ms - p->newest_ms : 0;
	return clamp(
	    exp(median(v, n) * pow(0.5, (double)idle_ms / HALF_LIFE_MS)));
}

double
ld_pace_certainty(const struct ld_pace *p, uint64_t now_ms)
{
	double v[LD_PACE_SAMPLES];
	size_t n = valid_samples(p, now_ms, v);

	return n < SAMPLES_CERTAIN ? (double)n / SAMPLES_CERTAIN : 1.0;
}

double
ld_pace_relative(const struct ld_pace *const *all, size_t n,
    const struct ld_pace *p, uint64_t now_ms)
{
	double known[COMPARED_MAX];
	size_t count = 0;

	for (size_t i = 0; i < n && count < COMPARED_MAX; i++)
		if (ld_pace_certainty(all[i], now_ms) * SAMPLES_CERTAIN >=
		    SAMPLES_MIN)
			known[count++] = ld_pace_factor(all[i], now_ms);
	/* Of one server alone nobody knows which of both is slow. */
	if (count < 2)
		return 1.0;
	return clamp(ld_pace_factor(p, now_ms) / median(known, count));
}
