/* Parses and writes the catalogue document. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "catalogue_internal.h"
#include "check_internal.h"

const char *const catalogue_class_names[LD_CLASS_COUNT] = {
    [LD_CLASS_PAID] = "paid",
    [LD_CLASS_LATE] = "late",
    [LD_CLASS_UNPAID] = "unpaid",
};

static const char *const document_members[] = {"entries", NULL};
static const char *const entry_members[] = {
    "owner", "class", "keys", "limits", "promised", NULL};
static const char *const limit_members[] = {
    "requests_per_s", "tokens_per_s", "concurrent", NULL};

const char *
ld_class_name(enum ld_class c)
{
	if ((unsigned int)c >= LD_CLASS_COUNT)
		return "unnamed";
	return catalogue_class_names[c];
}

static uint64_t *
limit_field(struct ld_limits *l, size_t i)
{
	uint64_t *const fields[] = {
	    &l->requests_per_s, &l->tokens_per_s, &l->concurrent};

	return fields[i];
}

static void
parse_limits(struct check *c, const struct path *base, const json_t *v,
    struct ld_limits *out)
{
	if (!check_object(c, base, v, limit_members))
		return;
	for (size_t i = 0; limit_members[i] != NULL; i++) {
		struct path p = path_member(base, limit_members[i]);
		const json_t *m = json_object_get(v, limit_members[i]);

		if (m != NULL)
			*limit_field(out, i) =
			    (uint64_t)check_integer(c, &p, m, 0, LD_LIMIT_MAX);
	}
}

/* Only callers of the class "paid" reserve capacity, up to their limits. */
static void
parse_promised(struct check *c, const struct path *base, const json_t *v,
    struct ld_entry *e)
{
	if (e->class != LD_CLASS_PAID) {
		check_fault(c, LD_FAULT_VALUE, base, v,
		    "nothing, as the class is not paid");
		return;
	}
	parse_limits(c, base, v, &e->promised);
	for (size_t i = 0; limit_members[i] != NULL; i++) {
		struct path p = path_member(base, limit_members[i]);

		if (*limit_field(&e->promised, i) > *limit_field(&e->limits, i))
			check_fault(c, LD_FAULT_VALUE, &p,
			    json_object_get(v, limit_members[i]),
			    "at most the limit of the same name");
	}
}

static bool
is_lower_hex(const char *s)
{
	return strspn(s, "0123456789abcdef") == LD_SHA256_HEX_LEN &&
	    s[LD_SHA256_HEX_LEN] == '\0';
}

static void
parse_keys(struct check *c, const struct path *base, const json_t *obj,
    struct ld_entry *e)
{
	struct path list = path_member(base, "keys");
	const json_t *keys =
	    check_array(c, base, obj, "keys", 0, LD_ENTRY_MAX_KEYS);
	size_t n = json_array_size(keys);

	e->keys = ld_alloc(n * sizeof(*e->keys));
	for (size_t i = 0; i < n; i++) {
		const json_t *v = json_array_get(keys, i);
		struct path p = path_index(&list, i);

		if (!json_is_string(v) ||
		    json_string_length(v) != LD_SHA256_HEX_LEN ||
		    !is_lower_hex(json_string_value(v))) {
			check_fault(c, LD_FAULT_VALUE, &p, v,
			    "the SHA-256 of a key as 64 lower-case hex digits");
			continue;
		}
		sodium_hex2bin(e->keys[e->n_keys], LD_KEY_HASH_BYTES,
		    json_string_value(v), LD_SHA256_HEX_LEN, NULL, NULL, NULL);
		e->n_keys++;
	}
}

static void
parse_entry(struct check *c, const struct path *path, const json_t *v,
    struct ld_entry *e)
{
	struct path limits = path_member(path, "limits");
	struct path promised = path_member(path, "promised");
	const json_t *promise;
	const char *owner;
	int class;

	if (!check_object(c, path, v, entry_members))
		return;
	owner = check_string(c, path, v, "owner", LD_OWNER_MAX_BYTES);
	if (owner != NULL)
		e->owner = ld_strdup(owner);
	class = check_one_of(
	    c, path, v, "class", catalogue_class_names, LD_CLASS_COUNT);
	if (class >= 0)
		e->class = (enum ld_class) class;
	parse_keys(c, path, v, e);
	if (json_object_get(v, "limits") == NULL)
		check_fault(c, LD_FAULT_MISSING, &limits, NULL, "an object");
	else
		parse_limits(
		    c, &limits, json_object_get(v, "limits"), &e->limits);
	promise = json_object_get(v, "promised");
	if (promise != NULL && class >= 0)
		parse_promised(c, &promised, promise, e);
}

static void
check_owners(struct check *c, const struct ld_catalogue *cat)
{
	struct unique_item *items = ld_alloc(cat->n * sizeof(*items));
	struct path list = {"entries"};
	size_t n = 0;

	for (size_t i = 0; i < cat->n; i++) {
		struct path p = path_index(&list, i);

		if (cat->entries[i].owner == NULL)
			continue;
		items[n].value = ld_str_c(cat->entries[i].owner);
		items[n].path = path_member(&p, "owner");
		items[n].order = n;
		n++;
	}
	check_unique(c, items, n, "owner");
	free(items);
}

static void
check_keys(struct check *c, const json_t *entries)
{
	struct unique_item *items = NULL;
	struct path list = {"entries"};
	size_t n = 0;

	for (size_t i = 0; i < json_array_size(entries); i++) {
		struct path entry = path_index(&list, i);
		struct path keys = path_member(&entry, "keys");
		const json_t *v =
		    json_object_get(json_array_get(entries, i), "keys");

		items = ld_realloc(
		    items, (n + json_array_size(v)) * sizeof(*items));
		for (size_t k = 0; k < json_array_size(v); k++) {
			const char *text =
			    json_string_value(json_array_get(v, k));

			if (text == NULL)
				continue;
			items[n].value = ld_str_c(text);
			items[n].path = path_index(&keys, k);
			items[n].order = n;
			n++;
		}
	}
	check_unique(c, items, n, "key hash");
	free(items);
}

static void
parse_entries(struct check *c, const json_t *doc, struct ld_catalogue *cat)
{
	struct path root = {""};
	struct path list = {"entries"};
	const json_t *entries;

	if (!check_object(c, &root, doc, document_members))
		return;
	entries =
	    check_array(c, &root, doc, "entries", 0, LD_CATALOGUE_MAX_ENTRIES);
	if (entries == NULL)
		return;
	cat->n = json_array_size(entries);
	cat->entries = ld_alloc(cat->n * sizeof(*cat->entries));
	for (size_t i = 0; i < cat->n; i++) {
		struct path p = path_index(&list, i);

		parse_entry(
		    c, &p, json_array_get(entries, i), &cat->entries[i]);
	}
	check_owners(c, cat);
	check_keys(c, entries);
}

enum ld_status
ld_catalogue_parse(struct ld_str json, int64_t revision,
    struct ld_catalogue **out, struct ld_faults *faults)
{
	struct check c = {.faults = faults};
	enum ld_status st = LD_OK;
	struct ld_catalogue *cat;
	json_t *doc;

	*out = NULL;
	doc = check_load(&c, json, LD_CATALOGUE_MAX_BYTES);
	if (doc == NULL)
		return ld_fail(json.len > LD_CATALOGUE_MAX_BYTES
			? LD_E_TOO_LARGE
			: LD_E_INVALID,
		    "the catalogue is too large or invalid JSON");
	cat = ld_alloc(sizeof(*cat));
	cat->refs = 1;
	cat->revision = revision;
	parse_entries(&c, doc, cat);
	if (c.n_faults > 0) {
		st = ld_fail(
		    LD_E_INVALID, "the catalogue has %zu faults", c.n_faults);
		goto out;
	}
	catalogue_index(cat);
	*out = cat;
	cat = NULL;
out:
	ld_catalogue_unref(cat);
	json_decref(doc);
	return st;
}

static json_t *
limits_json(const struct ld_limits *l)
{
	json_t *o = json_object();

	for (size_t i = 0; limit_members[i] != NULL; i++) {
		uint64_t v = *limit_field((struct ld_limits *)l, i);

		if (v > 0)
			json_object_set_new(
			    o, limit_members[i], json_integer((json_int_t)v));
	}
	return o;
}

static json_t *
entry_json(const struct ld_entry *e)
{
	char hex[LD_SHA256_HEX_LEN + 1];
	json_t *o = json_object();
	json_t *keys = json_array();
	json_t *promised;

	json_object_set_new(o, "owner", json_string(e->owner));
	json_object_set_new(o, "class", json_string(ld_class_name(e->class)));
	for (size_t i = 0; i < e->n_keys; i++) {
		sodium_bin2hex(hex, sizeof(hex), e->keys[i], LD_KEY_HASH_BYTES);
		json_array_append_new(keys, json_string(hex));
	}
	json_object_set_new(o, "keys", keys);
	json_object_set_new(o, "limits", limits_json(&e->limits));
	promised = limits_json(&e->promised);
	if (json_object_size(promised) > 0)
		json_object_set(o, "promised", promised);
	json_decref(promised);
	return o;
}

void
ld_catalogue_write(const struct ld_catalogue *c, struct ld_buf *out)
{
	json_t *doc = json_object();
	json_t *entries = json_array();
	char *text;

	for (size_t i = 0; i < c->n; i++)
		json_array_append_new(entries, entry_json(&c->entries[i]));
	json_object_set_new(doc, "entries", entries);
	text = json_dumps(doc, JSON_COMPACT);
	ld_buf_adds(out, ld_str_c(text));
	free(text);
	json_decref(doc);
}
