/* Parses responses of the live list service. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

#define ADDRESS_MAX_BYTES 64
#define NAME_MAX_BYTES 128

static const char *const role_names[LD_ROLE_COUNT] = {
    [LD_ROLE_ENGINE] = "engine",
    [LD_ROLE_SERVICE] = "service",
    [LD_ROLE_ENTRY] = "entry",
};

const char *
ld_role_name(enum ld_role r)
{
	if ((unsigned int)r >= LD_ROLE_COUNT)
		return "unnamed";
	return role_names[r];
}

static bool
get_role(const char *text, enum ld_role *out)
{
	for (int i = 0; i < LD_ROLE_COUNT; i++) {
		if (strcmp(text, role_names[i]) != 0)
			continue;
		*out = (enum ld_role)i;
		return true;
	}
	return false;
}

/* Absent and null both mean the empty string. */
static bool
get_name(const json_t *o, const char *name, char **out)
{
	const json_t *v = json_object_get(o, name);
	const char *text = json_string_value(v);

	if (v != NULL && !json_is_null(v) && text == NULL)
		return false;
	if (text != NULL && strlen(text) > NAME_MAX_BYTES)
		return false;
	*out = ld_strdup(text != NULL ? text : "");
	return true;
}

static bool
get_state(const json_t *o, bool *leaving)
{
	const char *state = json_string_value(json_object_get(o, "state"));

	if (state == NULL)
		return false;
	*leaving = strcmp(state, "leaving") == 0;
	return *leaving || strcmp(state, "live") == 0;
}

static void
instance_fini(struct ld_instance *i)
{
	free(i->address);
	free(i->fabric);
	free(i->zone);
	memset(i, 0, sizeof(*i));
}

static bool
get_instance(const json_t *o, struct ld_instance *out)
{
	const char *address = json_string_value(json_object_get(o, "address"));
	const char *role = json_string_value(json_object_get(o, "role"));

	memset(out, 0, sizeof(*out));
	if (address == NULL || address[0] == '\0' ||
	    strlen(address) > ADDRESS_MAX_BYTES || role == NULL ||
	    !get_role(role, &out->role) || !get_state(o, &out->leaving))
		return false;
	if (get_name(o, "fabric", &out->fabric) &&
	    get_name(o, "zone", &out->zone)) {
		out->address = ld_strdup(address);
		return true;
	}
	instance_fini(out);
	return false;
}

static int
compare_addresses(const void *a, const void *b)
{
	const struct ld_instance *x = a, *y = b;

	return strcmp(x->address, y->address);
}

/* An instance that is listed twice is leaving if either entry says so. */
static void
merge_duplicates(struct live_doc *d)
{
	size_t kept = 0;

	for (size_t i = 0; i < d->n; i++) {
		if (kept > 0 &&
		    compare_addresses(&d->v[kept - 1], &d->v[i]) == 0) {
			d->v[kept - 1].leaving |= d->v[i].leaving;
			instance_fini(&d->v[i]);
			continue;
		}
		d->v[kept] = d->v[i];
		kept++;
	}
	d->n = kept;
}

/* Skips malformed instances, so that one doesn't invalidate the whole list. */
static void
get_instances(const json_t *list, struct live_doc *out)
{
	out->v = ld_alloc(json_array_size(list) * sizeof(*out->v));
	for (size_t i = 0; i < json_array_size(list); i++) {
		if (get_instance(json_array_get(list, i), &out->v[out->n]))
			out->n++;
		else
			ld_log(LD_LOG_WARNING, "live list",
			    "instance %zu of the list is malformed", i);
	}
	if (out->n > 0)
		qsort(out->v, out->n, sizeof(*out->v), compare_addresses);
	merge_duplicates(out);
}

enum ld_status
live_doc_parse(struct ld_str json, struct live_doc *out)
{
	const json_t *version, *list;
	enum ld_status st = LD_OK;
	json_t *o = NULL;

	memset(out, 0, sizeof(*out));
	if (json.len > 0)
		o = json_loadb(json.p, json.len, JSON_REJECT_DUPLICATES, NULL);
	version = json_object_get(o, "version");
	list = json_object_get(o, "instances");
	if (!json_is_integer(version) || json_integer_value(version) < 1 ||
	    !json_is_array(list)) {
		st = ld_fail(LD_E_PROTOCOL, "the live list is malformed");
		goto out;
	}
	out->version = json_integer_value(version);
	get_instances(list, out);
out:
	json_decref(o);
	return st;
}

void
live_doc_free(struct live_doc *d)
{
	for (size_t i = 0; i < d->n; i++)
		instance_fini(&d->v[i]);
	free(d->v);
	memset(d, 0, sizeof(*d));
}
