/* Shared by the parts of lib/settings. */
#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include <jansson.h>

#include "ld_settings.h"

#define PATH_MAX_BYTES 160

/** struct check - one run over the settings */
struct check {
	const char *file;
	struct ld_buf *faults;
	const struct ld_setting *table;
	struct ld_settings *out; /* or another struct that @table describes */
	struct ld_buf
	    *adjusted; /* lines on values that were adjusted, or NULL */
	unsigned int fault_count;
};

/** settings_fault() - report a member: its path, what was found, allowed */
void settings_fault(struct check *ck, const char *path, const json_t *found,
    const char *allowed);
/** settings_addresses() - false when it is no list of min to max addresses */
bool settings_addresses(
    const json_t *v, uint64_t min, uint64_t max, struct ld_address_list *out);

void settings_addresses_fini(struct ld_address_list *l);

/* ---- Lists of objects (lists.c): report their own faults ---- */

void settings_services(
    struct check *ck, const struct ld_setting *row, const json_t *v);
void settings_models(
    struct check *ck, const struct ld_setting *row, const json_t *v);
void settings_overrides(
    struct check *ck, const struct ld_setting *row, const json_t *v);
/** settings_lists_fini() - free what the three have read */
void settings_lists_fini(struct ld_settings *s);

#endif
