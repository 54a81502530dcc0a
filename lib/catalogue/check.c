/* Validation of JSON values; each fault is recorded with its member path. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check_internal.h"

#define ALLOWED_BYTES 200

struct path
path_member(const struct path *base, const char *name)
{
	struct path p;

	snprintf(p.text, sizeof(p.text), "%.100s%s%.50s", base->text,
	    base->text[0] != '\0' ? "." : "", name);
	return p;
}

struct path
path_index(const struct path *base, size_t i)
{
	struct path p;

	snprintf(p.text, sizeof(p.text), "%.120s[%zu]", base->text, i);
	return p;
}

static void
add_fault(struct check *c, enum ld_fault_kind kind, const struct path *path,
    struct ld_str found, const char *allowed)
{
	c->n_faults++;
	if (c->faults != NULL)
		ld_faults_add(
		    c->faults, kind, path->text, found, "%s", allowed);
}

void
check_fault(struct check *c, enum ld_fault_kind kind, const struct path *path,
    const json_t *v, const char *allowed)
{
	char *text;

	if (v == NULL) {
		add_fault(c, kind, path, LD_STR("nothing"), allowed);
		return;
	}
	text =
	    json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT | JSON_ENSURE_ASCII);
	add_fault(c, kind, path, ld_str_c(text), allowed);
	free(text);
}

json_t *
check_load(struct check *c, struct ld_str json, size_t max_bytes)
{
	char text[ALLOWED_BYTES];
	struct path root = {""};
	json_error_t err;
	json_t *doc;

	if (json.len > max_bytes) {
		snprintf(text, sizeof(text), "%zu bytes", json.len);
		c->n_faults++;
		if (c->faults != NULL)
			ld_faults_add(c->faults, LD_FAULT_SIZE, "",
			    ld_str_c(text), "at most %zu bytes", max_bytes);
		return NULL;
	}
	/*
	 * json_loadb() rejects a NULL buffer; an empty document is invalid.
	 * It also limits the nesting depth, which is not checked here.
	 */
	doc = json_loadb(json.len > 0 ? json.p : " ", json.len,
	    JSON_REJECT_DUPLICATES, &err);
	if (doc == NULL) {
		snprintf(text, sizeof(text), "%.120s at line %d column %d",
		    err.text, err.line, err.column);
		add_fault(c, LD_FAULT_SYNTAX, &root, ld_str_c(text),
		    "one JSON object without repeated members");
	}
	return doc;
}

static bool
is_listed(const char *name, const char *const *names)
{
	for (; *names != NULL; names++) {
		if (strcmp(name, *names) == 0)
			return true;
	}
	return false;
}

static void
join_names(const char *const *names, struct ld_buf *out)
{
	for (size_t i = 0; names[i] != NULL; i++)
		ld_buf_printf(out, "%s%s", i > 0 ? ", " : "", names[i]);
}

bool
check_object(struct check *c, const struct path *path, const json_t *v,
    const char *const *names)
{
	struct ld_buf allowed = {0};
	const char *name;
	json_t *member;

	if (!json_is_object(v)) {
		check_fault(c, LD_FAULT_TYPE, path, v, "an object");
		return false;
	}
	json_object_foreach((json_t *)v, name, member)
	{
		struct path p = path_member(path, name);

		if (is_listed(name, names))
			continue;
		if (allowed.len == 0)
			join_names(names, &allowed);
		check_fault(
		    c, LD_FAULT_UNKNOWN, &p, member, ld_buf_cstr(&allowed));
	}
	ld_buf_free(&allowed);
	return true;
}

const json_t *
check_array(struct check *c, const struct path *base, const json_t *obj,
    const char *name, size_t min, size_t max)
{
	struct path p = path_member(base, name);
	const json_t *v = json_object_get(obj, name);
	char text[ALLOWED_BYTES];

	snprintf(
	    text, sizeof(text), "an array of %zu to %zu elements", min, max);
	if (v == NULL) {
		check_fault(c, LD_FAULT_MISSING, &p, NULL, text);
		return NULL;
	}
	if (!json_is_array(v)) {
		check_fault(c, LD_FAULT_TYPE, &p, v, text);
		return NULL;
	}
	if (json_array_size(v) < min || json_array_size(v) > max) {
		check_fault(c, LD_FAULT_SIZE, &p, v, text);
		return NULL;
	}
	return v;
}

static bool
is_printable(const char *s, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (s[i] <= ' ' || s[i] > '~')
			return false;
	}
	return true;
}

const char *
check_text(
    struct check *c, const struct path *path, const json_t *v, size_t max)
{
	char text[ALLOWED_BYTES];
	size_t len;

	snprintf(text, sizeof(text),
	    "a string of 1 to %zu printable ASCII characters without blanks",
	    max);
	if (!json_is_string(v)) {
		check_fault(c, v != NULL ? LD_FAULT_TYPE : LD_FAULT_MISSING,
		    path, v, text);
		return NULL;
	}
	len = json_string_length(v);
	if (len == 0 || len > max || !is_printable(json_string_value(v), len)) {
		check_fault(c, LD_FAULT_VALUE, path, v, text);
		return NULL;
	}
	return json_string_value(v);
}

const char *
check_string(struct check *c, const struct path *base, const json_t *obj,
    const char *name, size_t max)
{
	struct path p = path_member(base, name);

	return check_text(c, &p, json_object_get(obj, name), max);
}

int64_t
check_integer(struct check *c, const struct path *path, const json_t *v,
    int64_t min, int64_t max)
{
	char text[ALLOWED_BYTES];
	enum ld_fault_kind kind;

	snprintf(text, sizeof(text), "an integer from %lld to %lld",
	    (long long)min, (long long)max);
	if (json_is_integer(v) && json_integer_value(v) >= min &&
	    json_integer_value(v) <= max)
		return json_integer_value(v);
	kind = LD_FAULT_MISSING;
	if (v != NULL)
		kind = json_is_integer(v) ? LD_FAULT_VALUE : LD_FAULT_TYPE;
	check_fault(c, kind, path, v, text);
	return min;
}

int
check_one_of(struct check *c, const struct path *base, const json_t *obj,
    const char *name, const char *const *names, size_t n)
{
	struct path p = path_member(base, name);
	const json_t *v = json_object_get(obj, name);
	struct ld_buf allowed = {0};
	enum ld_fault_kind kind = LD_FAULT_MISSING;
	size_t i;

	for (i = 0; i < n && json_is_string(v); i++) {
		if (strcmp(json_string_value(v), names[i]) == 0)
			return (int)i;
	}
	if (v != NULL)
		kind = json_is_string(v) ? LD_FAULT_VALUE : LD_FAULT_TYPE;
	for (i = 0; i < n; i++)
		ld_buf_printf(&allowed, "%s%s", i > 0 ? ", " : "", names[i]);
	check_fault(c, kind, &p, v, ld_buf_cstr(&allowed));
	ld_buf_free(&allowed);
	return -1;
}

static int
compare_items(const void *a, const void *b)
{
	const struct unique_item *x = a, *y = b;
	size_t n = x->value.len < y->value.len ? x->value.len : y->value.len;
	int d = memcmp(x->value.p, y->value.p, n);

	if (d != 0)
		return d;
	if (x->value.len != y->value.len)
		return x->value.len < y->value.len ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

void
check_unique(
    struct check *c, struct unique_item *items, size_t n, const char *what)
{
	char text[ALLOWED_BYTES + PATH_MAX_BYTES];
	size_t first = 0;

	if (n == 0)
		return;
	qsort(items, n, sizeof(*items), compare_items);
	for (size_t i = 1; i < n; i++) {
		if (!ld_str_eq(items[i].value, items[first].value)) {
			first = i;
			continue;
		}
		snprintf(text, sizeof(text), "a unique %s; %s has this one",
		    what, items[first].path.text);
		add_fault(c, LD_FAULT_DUPLICATE, &items[i].path, items[i].value,
		    text);
	}
}
