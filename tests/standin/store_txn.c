/* Transactions of the store stand-in. */
#include <string.h>

#include "store_internal.h"

/* A member may have either spelling, as the gateway accepts both. */
static json_t *
either(json_t *j, const char *camel, const char *snake)
{
	json_t *m = json_object_get(j, camel);

	return m != NULL ? m : json_object_get(j, snake);
}

static int
order(int64_t a, int64_t b)
{
	return a < b ? -1 : a > b;
}

static int
compare_value(const struct store_event *e, json_t *c)
{
	struct ld_buf want = store_b64(json_object_get(c, "value"));
	bool same =
	    e != NULL && ld_str_eq(ld_buf_str(&e->value), ld_buf_str(&want));

	ld_buf_free(&want);
	return same ? 0 : 1;
}

static int
compare_target(const struct store_event *e, json_t *c)
{
	const char *target = json_string_value(json_object_get(c, "target"));

	if (target != NULL && strcmp(target, "VALUE") == 0)
		return compare_value(e, c);
	if (target != NULL && strcmp(target, "MOD") == 0)
		return order(e != NULL ? e->revision : 0,
		    store_int64(either(c, "modRevision", "mod_revision")));
	if (target != NULL && strcmp(target, "CREATE") == 0)
		return order(e != NULL ? e->create_revision : 0,
		    store_int64(
			either(c, "createRevision", "create_revision")));
	return order(e != NULL ? e->version : 0,
	    store_int64(json_object_get(c, "version")));
}

static bool
holds(json_t *c)
{
	const char *result = json_string_value(json_object_get(c, "result"));
	struct ld_buf key = store_b64(json_object_get(c, "key"));
	int diff = compare_target(store_last(&key, store.revision), c);

	ld_buf_free(&key);
	if (result != NULL && strcmp(result, "GREATER") == 0)
		return diff > 0;
	if (result != NULL && strcmp(result, "LESS") == 0)
		return diff < 0;
	if (result != NULL && strcmp(result, "NOT_EQUAL") == 0)
		return diff != 0;
	return diff == 0;
}

static json_t *
response(const char *kind, json_t *body)
{
	json_object_set_new(body, "header",
	    json_pack("{s:o}", "revision", store_str64(store.revision)));
	return json_pack("{s:o}", kind, body);
}

static json_t *
put(json_t *request)
{
	store_put(store_b64(json_object_get(request, "key")),
	    store_b64(json_object_get(request, "value")),
	    store_int64(json_object_get(request, "lease")));
	return response("response_put", json_object());
}

static json_t *
delete_range(json_t *request)
{
	struct key_range r = store_key_range(request);
	int64_t n = store_delete(&r);
	json_t *body = json_object();

	store_key_range_free(&r);
	if (n > 0)
		json_object_set_new(body, "deleted", store_str64(n));
	return response("response_delete_range", body);
}

static json_t *
run_op(json_t *op)
{
	json_t *request = either(op, "requestPut", "request_put");

	if (request != NULL)
		return put(request);
	request = either(op, "requestDeleteRange", "request_delete_range");
	if (request != NULL)
		return delete_range(request);
	request = either(op, "requestRange", "request_range");
	return response("response_range", store_range(request));
}

static bool
leases_exist(json_t *ops)
{
	json_t *op;
	size_t i;

	json_array_foreach(ops, i, op)
	{
		json_t *request = either(op, "requestPut", "request_put");
		int64_t id = store_int64(json_object_get(request, "lease"));

		if (id != 0 && !store_lease_exists(id))
			return false;
	}
	return true;
}

json_t *
store_txn(json_t *request)
{
	json_t *responses = json_array();
	json_t *compares = json_object_get(request, "compare");
	json_t *answer, *ops;
	bool succeeded = true;

	for (size_t i = 0; i < json_array_size(compares); i++)
		succeeded = succeeded && holds(json_array_get(compares, i));
	ops = json_object_get(request, succeeded ? "success" : "failure");
	if (!leases_exist(ops)) {
		json_decref(responses);
		return NULL;
	}
	for (size_t i = 0; i < json_array_size(ops); i++)
		json_array_append_new(
		    responses, run_op(json_array_get(ops, i)));
	store_commit();
	answer = json_pack("{s:o}", "header", store_header());
	if (succeeded)
		json_object_set_new(answer, "succeeded", json_true());
	json_object_set_new(answer, "responses", responses);
	return answer;
}
