/* Seeded replacement of fields of JSON documents by odd values, for tests of
 * decoders. */
#ifndef LD_ODD_JSON_H
#define LD_ODD_JSON_H

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_common.h"

/* Whole values that another writer may put in the place of any field. */
static const char *const ld_odd_values[] = {"null", "true", "-1", "0", "0.5",
    "1e999", "1e300", "-1e300", "9223372036854775807", "9223372036854775808",
    "-9223372036854775808", "18446744073709551616", "\"\"", "\"\\u0000\"",
    "\"\\ud800\"", "\"a\\nb=c\"", "\"127.0.0.1:99999\"", "[]", "{}",
    "[[[[[[[[[[]]]]]]]]]]", "[null]", "[{\"name\":7}]", "{\"name\":\"x\"}",
    "NaN",
    "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\""};

#define LD_ODD_VALUES (sizeof(ld_odd_values) / sizeof(ld_odd_values[0]))
#define LD_ODD_OBJECTS_MAX 64

/* Collects pointers to the objects in @o. */
static inline void
ld_odd_json_objects(json_t *o, json_t **out, size_t *n)
{
	const char *name;
	json_t *v;
	size_t i;

	if (json_is_object(o) && *n < LD_ODD_OBJECTS_MAX)
		out[(*n)++] = o;
	if (json_is_object(o))
		json_object_foreach(o, name, v) ld_odd_json_objects(v, out, n);
	if (json_is_array(o))
		json_array_foreach(o, i, v) ld_odd_json_objects(v, out, n);
}

static inline void
ld_odd_json_replace(struct ld_rand *rand, json_t *root, size_t mark)
{
	json_t *objects[LD_ODD_OBJECTS_MAX];
	size_t n = 0, at = 0;
	const char *name, *chosen = NULL;
	char text[24];
	json_t *o, *v;

	ld_odd_json_objects(root, objects, &n);
	o = objects[ld_rand_below(rand, n)];
	if (json_object_size(o) == 0)
		return;
	at = ld_rand_below(rand, json_object_size(o));
	json_object_foreach(o, name, v) if (at-- == 0) chosen = name;
	snprintf(text, sizeof(text), "@odd%02zu", mark);
	json_object_set_new(o, chosen, json_string(text));
}

/**
 * ld_odd_json_take() - pass on @text with one or two fields replaced
 * @before: passed on in front of it
 *
 * Return: whether @take accepted the result.
 */
static inline bool
ld_odd_json_take(struct ld_rand *rand, bool (*take)(struct ld_str),
    struct ld_str before, const char *text)
{
	json_t *root = json_loads(text, 0, NULL);
	struct ld_buf out = {0};
	char *dumped, *at, *mark;
	bool ok;

	for (uint64_t n = 1 + ld_rand_below(rand, 2); n > 0; n--)
		ld_odd_json_replace(
		    rand, root, ld_rand_below(rand, LD_ODD_VALUES));
	dumped = json_dumps(root, JSON_COMPACT);
	ld_buf_adds(&out, before);
	for (at = dumped; (mark = strstr(at, "\"@odd")) != NULL;
	     at = mark + 8) {
		ld_buf_add(&out, at, (size_t)(mark - at));
		ld_buf_adds(
		    &out, ld_str_c(ld_odd_values[strtoul(mark + 5, NULL, 10)]));
	}
	ld_buf_adds(&out, ld_str_c(at));
	ok = take(ld_buf_str(&out));
	ld_buf_free(&out);
	free(dumped);
	json_decref(root);
	return ok;
}

#endif
