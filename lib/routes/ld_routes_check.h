/*
 * What operators should know about a configuration before they write it. Source:
 * lib/routes/check.c, compare.c.
 */
#ifndef LD_ROUTES_CHECK_H
#define LD_ROUTES_CHECK_H

#include "ld_routes.h"

/**
 * struct ld_routes_finding - one finding
 * @warning: false for a mere change
 * @code: stable name of its kind
 * @where: the route, service or account
 */
struct ld_routes_finding {
	bool warning;
	const char *code;
	char *where;
	char *text;
};

/** struct ld_routes_findings - zero-initialise */
struct ld_routes_findings {
	struct ld_routes_finding *v;
	size_t n;
};

/** ld_routes_find() - add a finding; @fmt is the format of its text */
void ld_routes_find(struct ld_routes_findings *f, bool warning,
    const char *code, const char *where, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
void ld_routes_findings_free(struct ld_routes_findings *f);

/**
 * ld_routes_check() - entries that have no effect, or not the one that their
 * values suggest
 */
void ld_routes_check(const struct ld_routes *r, struct ld_routes_findings *f);

/**
 * ld_routes_compare() - what changes when @after replaces @before
 *
 * Keys are counted, not shown.
 */
void ld_routes_compare(const struct ld_routes *before,
    const struct ld_routes *after, struct ld_routes_findings *f);

#endif
