/* The service-level report: burn of all nodes added up. */
#ifndef REPORT_H
#define REPORT_H

#include <stdio.h>

#include "ld_common.h"

#define REPORT_WINDOWS_MAX 8
#define REPORT_CAUSES_MAX 16

/** struct report_cause - misses through one cause */
struct report_cause {
	char *name;
	uint64_t bad;
};

/** struct report_line - one caller and objective over all nodes */
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

/** struct report - all lines, the most burnt first */
struct report {
	unsigned int windows_min[REPORT_WINDOWS_MAX];
	size_t window_count;
	struct report_line *lines;
	size_t line_count;
	size_t nodes_asked;
	size_t nodes_heard;
};

/** report_burn() - misses against what the target allows; 1.0 uses it up */
double report_burn(const struct report_line *l, size_t window);
/** report_html() - write a page that needs nothing but itself */
void report_html(const struct report *r, FILE *out);

#endif
