/* Validation of JSON values; each fault is recorded with its member path. */
#ifndef CHECK_INTERNAL_H
#define CHECK_INTERNAL_H

#include <jansson.h>

#include "ld_catalogue.h"

#define PATH_MAX_BYTES 160

/** struct check - validation of one document */
struct check {
	struct ld_faults *faults;
	size_t n_faults; /* including those not stored in @faults */
};

/** struct path - member path of a value, such as "entries[2].owner" */
struct path {
	char text[PATH_MAX_BYTES];
};

struct path path_member(const struct path *base, const char *name);
struct path path_index(const struct path *base, size_t i);

/** check_fault() - record a fault that shows @v as JSON; NULL: absent */
void check_fault(struct check *c, enum ld_fault_kind kind,
    const struct path *path, const json_t *v, const char *allowed);

/** check_load() - parse @json; NULL after recording a fault */
json_t *check_load(struct check *c, struct ld_str json, size_t max_bytes);

/**
 * check_object() - record each member of @v that is not in @names
 * @names: allowed members, NULL-terminated
 *
 * Return: false, after recording a fault, when @v is not an object.
 */
bool check_object(struct check *c, const struct path *path, const json_t *v,
    const char *const *names);
/** check_array() - required array of @min..@max elements; NULL after a fault */
const json_t *check_array(struct check *c, const struct path *base,
    const json_t *obj, const char *name, size_t min, size_t max);
/** check_string() - required string member, as check_text() */
const char *check_string(struct check *c, const struct path *base,
    const json_t *obj, const char *name, size_t max);
/** check_text() - string of 1..@max printable bytes; NULL after a fault */
const char *check_text(
    struct check *c, const struct path *path, const json_t *v, size_t max);
/** check_integer() - integer in [@min, @max], or @min after a fault */
int64_t check_integer(struct check *c, const struct path *path, const json_t *v,
    int64_t min, int64_t max);
/** check_one_of() - index in @names of a required member, -1 after a fault */
int check_one_of(struct check *c, const struct path *base, const json_t *obj,
    const char *name, const char *const *names, size_t n);

/**
 * struct unique_item - one value that must be unique
 * @path: where the value is in the document
 * @order: position in document order
 */
struct unique_item {
	struct ld_str value;
	struct path path;
	size_t order;
};

/** check_unique() - sort @items and record a fault for each repeated value */
void check_unique(
    struct check *c, struct unique_item *items, size_t n, const char *what);

#endif
