/* Scripted faults of the stand-ins. */
#include <string.h>

#include "ld_standin.h"

bool
si_fault_set(struct si_fault *f, struct si_req *r)
{
	json_t *j = si_body(r);
	const char *mode = json_string_value(json_object_get(j, "mode"));

	if (mode == NULL || strlen(mode) >= SI_MODE_MAX) {
		json_decref(j);
		si_answer_error(r, 400, "mode is missing or too long");
		return false;
	}
	memset(f, 0, sizeof(*f));
	memcpy(f->mode, mode, strlen(mode) + 1);
	f->count = json_integer_value(json_object_get(j, "count"));
	f->ms = (uint64_t)json_integer_value(json_object_get(j, "ms"));
	f->counted = f->count > 0;
	json_decref(j);
	si_answer(r, 200, LD_STR("{}"));
	return true;
}

bool
si_fault_is(const struct si_fault *f, const char *mode)
{
	return strcmp(f->mode, mode) == 0;
}

bool
si_fault_take(struct si_fault *f, const char *mode)
{
	if (!si_fault_is(f, mode))
		return false;
	if (f->counted && --f->count == 0)
		memset(f, 0, sizeof(*f));
	return true;
}
