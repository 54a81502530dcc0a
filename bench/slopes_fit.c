/*
 * Reads the JSON lines of slopes_node, prints a table by fleet size and
 * extrapolates by least squares to the fleet size expected in two years.
 */
#include <gsl/gsl_fit.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "ld_common.h"

#define SIZES_MAX 16
#define FLEET 390.0
/* Bytes of IP and TCP headers of a frame that travels in its own packet. */
#define HEADER_BYTES 52.0

enum measure {
	CPU,
	RSS,
	BYTES,
	WIRE_BYTES,
	LINKS,
	MEASURES
};

static const struct {
	const char *name;
	const char *unit;
	double target; /* 0: none */
} measures[MEASURES] = {
    [CPU] = {"cpu_percent", "% of a core", 1.2},
    [RSS] = {"rss_mb", "MB", 128.0},
    [BYTES] = {"bytes_per_s", "B/s", 11000.0},
    [WIRE_BYTES] = {"wire_bytes_per_s", "B/s", 11000.0},
    [LINKS] = {"links", "links", 0.0},
};

/** struct size - all nodes of the runs with one fleet size */
struct size {
	double nodes;
	double reported;
	double sum[MEASURES];
	double max[MEASURES];
	double adopted_ms; /* by the last node; -1: a node never adopted */
	double confirmed_ms;
	bool incomplete; /* some node did not see all others alive */
};

static struct size sizes[SIZES_MAX];
static size_t size_count;

static double
number(const json_t *o, const char *name)
{
	return json_number_value(json_object_get(o, name));
}

static struct size *
size_of(double nodes)
{
	for (size_t i = 0; i < size_count; i++) {
		if (sizes[i].nodes == nodes)
			return &sizes[i];
	}
	if (size_count == SIZES_MAX)
		return NULL;
	sizes[size_count] = (struct size){.nodes = nodes, .confirmed_ms = -1};
	return &sizes[size_count++];
}

static void
add(const json_t *o)
{
	struct size *s = size_of(number(o, "nodes"));
	double adopted = number(o, "adopted_ms");
	double v[MEASURES];

	if (s == NULL)
		return;
	v[CPU] = number(o, "cpu_percent");
	v[RSS] = number(o, "rss_kb") / 1024.0;
	v[BYTES] = number(o, "bytes_per_s");
	v[WIRE_BYTES] = v[BYTES] + HEADER_BYTES * number(o, "frames_per_s");
	v[LINKS] = number(o, "links");
	for (int m = 0; m < MEASURES; m++) {
		s->sum[m] += v[m];
		s->max[m] = v[m] > s->max[m] ? v[m] : s->max[m];
	}
	s->reported++;
	if (adopted < 0 || s->adopted_ms < 0)
		s->adopted_ms = -1;
	else if (adopted > s->adopted_ms)
		s->adopted_ms = adopted;
	if (number(o, "index") == 0)
		s->confirmed_ms = number(o, "confirmed_ms");
	s->incomplete |= number(o, "alive") != s->nodes;
}

static void
print_table(void)
{
	printf("%5s %8s %16s %14s %18s %18s %12s %9s %9s\n", "nodes",
	    "reported", "CPU % mean/max", "RSS MB mean/max", "B/s mean/max",
	    "with headers", "links", "rev ms", "conf ms");
	for (size_t i = 0; i < size_count; i++) {
		const struct size *s = &sizes[i];
		double n = s->reported;

		printf("%5.0f %8.0f %8.3f/%-7.3f %7.1f/%-6.1f %9.0f/%-8.0f "
		       "%9.0f/%-8.0f %6.1f/%-5.0f %9.0f %9.0f%s\n",
		    s->nodes, n, s->sum[CPU] / n, s->max[CPU], s->sum[RSS] / n,
		    s->max[RSS], s->sum[BYTES] / n, s->max[BYTES],
		    s->sum[WIRE_BYTES] / n, s->max[WIRE_BYTES],
		    s->sum[LINKS] / n, s->max[LINKS], s->adopted_ms,
		    s->confirmed_ms, s->incomplete ? " incomplete" : "");
	}
}

/* State grows with fleet size n; links, and thus traffic, with log n. */
static void
print_fit(int m, bool of_max, bool of_log)
{
	double x[SIZES_MAX], y[SIZES_MAX];
	double c0, c1, cov00, cov01, cov11, sumsq, at, error;

	for (size_t i = 0; i < size_count; i++) {
		x[i] = of_log ? log2(sizes[i].nodes) : sizes[i].nodes;
		y[i] = of_max ? sizes[i].max[m]
			      : sizes[i].sum[m] / sizes[i].reported;
	}
	gsl_fit_linear(
	    x, 1, y, 1, size_count, &c0, &c1, &cov00, &cov01, &cov11, &sumsq);
	gsl_fit_linear_est(of_log ? log2(FLEET) : FLEET, c0, c1, cov00, cov01,
	    cov11, &at, &error);
	printf("{\"fit\":\"%s\",\"of\":\"%s\",\"by\":\"%s\",\"at_0\":%.4g,"
	       "\"slope\":%.4g,\"at_390\":%.4g,\"error\":%.3g,"
	       "\"unit\":\"%s\",\"target\":%.4g,\"within\":%s}\n",
	    measures[m].name, of_max ? "max" : "mean",
	    of_log ? "log2(nodes)" : "nodes", c0, c1, at, error,
	    measures[m].unit, measures[m].target,
	    measures[m].target == 0 || at <= measures[m].target ? "true"
								: "false");
}

int
main(void)
{
	char line[1024];

	while (fgets(line, sizeof(line), stdin) != NULL) {
		json_t *o = json_loads(line, 0, NULL);

		if (json_is_object(o))
			add(o);
		json_decref(o);
	}
	print_table();
	if (size_count < 3) {
		printf("too few sizes for a fit\n");
		return 1;
	}
	for (int m = 0; m < MEASURES; m++) {
		print_fit(m, false, false);
		print_fit(m, true, false);
		print_fit(m, false, true);
		print_fit(m, true, true);
	}
	return 0;
}
