/* Checks of JSON values that record every fault with its member path. */
#ifndef CHECK_INTERNAL_H
#define CHECK_INTERNAL_H

#include <jansson.h>

#include "ld_catalogue.h"

#define PATH_MAX_BYTES 160

/** struct check - one pass over a document */
struct check {
	struct ld_faults *faults;
	size_t found; /* faults so far, kept or not */
};

/** struct path - member path of the value being checked */
struct path {
	char text[PATH_MAX_BYTES];
};

struct path path_member(const struct path *base, const char *name);
struct path path_index(const struct path *base, size_t i);

/** check_fault() - record a fault whose @found is the JSON of @v */
void check_fault(struct check *c, enum ld_fault_kind kind,
    const struct path *path, const json_t *v, const char *allowed);

/** check_load() - parse @json; NULL after recording why not */
json_t *check_load(struct check *c, struct ld_str json, size_t max_bytes);

/** check_object() - false unless an object with only the @names (NULL-ended) */
bool check_object(struct check *c, const struct path *path, const json_t *v,
    const char *const *names);
/** check_array() - elements of a required array member, NULL after a fault */
const json_t *check_array(struct check *c, const struct path *base,
    const json_t *obj, const char *name, size_t min, size_t max);
/** check_string() - required string member of 1..@max bytes, or NULL */
const char *check_string(struct check *c, const struct path *base,
    const json_t *obj, const char *name, size_t max);
/** check_text() - string of 1..@max printable bytes at @path, or NULL */
const char *check_text(
    struct check *c, const struct path *path, const json_t *v, size_t max);
/** check_integer() - integer in [@min, @max], or @min after a fault */
int64_t check_integer(struct check *c, const struct path *path, const json_t *v,
    int64_t min, int64_t max);
/** check_one_of() - index of a required member in @names, or -1 */
int check_one_of(struct check *c, const struct path *base, const json_t *obj,
    const char *name, const char *const *names, size_t n);

/** struct unique_item - one value that must be unique, and where it stands */
struct unique_item {
	struct ld_str value;
	struct path path;
	size_t order;
};

/** check_unique() - sort @items and record each repeated value */
void check_unique(
    struct check *c, struct unique_item *items, size_t n, const char *what);

#endif
