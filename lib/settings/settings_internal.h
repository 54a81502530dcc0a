/* Declarations shared by the source files of lib/settings. */
#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include <jansson.h>

#include "ld_settings.h"

#define PATH_MAX_BYTES 160

/** struct check - state of one validation run */
struct check {
	const char *file;
	struct ld_buf *faults;
	const struct ld_setting *table;
	struct ld_settings *out; /* or the other struct described by @table */
	struct ld_buf
	    *adjusted; /* gets a line per adjusted value; may be NULL */
	unsigned int fault_count;
};

/** settings_report_fault() - add a line: path, value found, values allowed */
void settings_report_fault(struct check *ck, const char *path,
    const json_t *found, const char *allowed);
/** settings_read_addresses() - false unless a list of @min to @max addresses */
bool settings_read_addresses(
    const json_t *v, uint64_t min, uint64_t max, struct ld_address_list *out);

void settings_addresses_fini(struct ld_address_list *l);

/* ---- Lists of objects (lists.c): these report faults themselves ---- */

void settings_read_services(
    struct check *ck, const struct ld_setting *row, const json_t *v);
void settings_read_models(
    struct check *ck, const struct ld_setting *row, const json_t *v);
void settings_read_overrides(
    struct check *ck, const struct ld_setting *row, const json_t *v);
/** settings_lists_fini() - free the services, models and overrides */
void settings_lists_fini(struct ld_settings *s);

#endif
