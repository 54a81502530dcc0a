/* Service-level report: error budget burn, summed over nodes. */
#ifndef REPORT_H
#define REPORT_H

#include <stdio.h>

#include "ld_common.h"

#define REPORT_WINDOWS_MAX 8
#define REPORT_CAUSES_MAX 16

/** struct report_cause - events that missed the objective for one cause */
struct report_cause {
	char *name;
	uint64_t bad;
};

/** struct report_line - one caller and objective, summed over nodes */
struct report_line {
	char *owner;
	char *class;
	char *objective;
	uint64_t target_permille;
	uint64_t threshold_ms;
	uint64_t good[REPORT_WINDOWS_MAX];
	uint64_t bad[REPORT_WINDOWS_MAX];
	struct report_cause causes[REPORT_CAUSES_MAX];
	size_t cause_count;
};

/**
 * struct report - lines by decreasing burn in the first window
 * @nodes_asked: nodes called
 * @nodes_heard: nodes that returned a valid document
 */
struct report {
	unsigned int windows_min[REPORT_WINDOWS_MAX];
	size_t window_count;
	struct report_line *lines;
	size_t line_count;
	size_t nodes_asked;
	size_t nodes_heard;
};

/**
 * report_burn() - share of misses divided by the share that the target allows
 *
 * 1.0 uses up the error budget. 0.0 without events, or for a target of 100 %.
 */
double report_burn(const struct report_line *l, size_t window);
/** report_html() - write a self-contained page, without external resources */
void report_html(const struct report *r, FILE *out);

#endif
