/* Problem documents (RFC 9457). */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "ld_entry.h"

#define TYPE_PREFIX "urn:lavenderdrift:problem:"
#define MS_PER_S 1000
#define RETRY_AFTER_BYTES 24

const char *
ld_ran_name(enum ld_ran ran)
{
	static const char *const names[] = {"no", "yes", "unknown"};

	return names[ran];
}

enum ld_ran
ld_problem_ran(const struct ld_problem *p, bool keyed)
{
	if (p->ran == LD_RAN_NO && keyed && !p->no_earlier_request_ran)
		return LD_RAN_UNKNOWN;
	return p->ran;
}

void
ld_problem_json(const struct ld_problem *p, enum ld_ran ran,
    const char *request_id, struct ld_buf *out)
{
	json_t *doc = json_object();
	char *text;

	json_object_set_new(
	    doc, "type", json_sprintf("%s%s", TYPE_PREFIX, p->type));
	json_object_set_new(doc, "title", json_string(p->title));
	json_object_set_new(doc, "status", json_integer((json_int_t)p->code));
	if (p->detail != NULL)
		json_object_set_new(doc, "detail", json_string(p->detail));
	json_object_set_new(doc, "ran", json_string(ld_ran_name(ran)));
	json_object_set_new(doc, "request_id", json_string(request_id));
	if (p->retry_after_ms > 0)
		json_object_set_new(doc, "retry_after_ms",
		    json_integer((json_int_t)p->retry_after_ms));
	text = json_dumps(doc, JSON_COMPACT);
	ld_buf_printf(out, "%s\n", text);
	free(text);
	json_decref(doc);
}

void
ld_exchange_problem(struct ld_exchange *x, const struct ld_problem *p)
{
	char seconds[RETRY_AFTER_BYTES];
	const char *headers[] = {"Retry-After", seconds, NULL};
	bool keyed = ld_exchange_header(x, "Idempotency-Key") != NULL;
	struct ld_buf doc = {0};

	ld_problem_json(p, ld_problem_ran(p, keyed), ld_exchange_id(x), &doc);
	snprintf(seconds, sizeof(seconds), "%llu",
	    (unsigned long long)((p->retry_after_ms + MS_PER_S - 1) /
		MS_PER_S));
	ld_exchange_answer(x, p->code, "application/problem+json",
	    p->retry_after_ms > 0 ? headers : NULL, ld_buf_str(&doc));
	ld_buf_free(&doc);
}
