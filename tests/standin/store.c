/* Stand-in for the platform's key-value service: calls, faults and counts. */
#include <string.h>

#include "store_internal.h"

#define CLUSTER_ID "14841639068965178418"

struct store store;

enum call_kind {
	CALL_RANGE,
	CALL_TXN,
	CALL_LEASE_GRANT,
	CALL_LEASE_KEEPALIVE,
	CALL_LEASE_REVOKE,
	CALL_WATCH,
	CALL_COUNT,
};

static json_t *
range(json_t *request)
{
	json_t *answer = store_range(request);

	json_object_set_new(answer, "header", store_header());
	if (store.stale_revision != 0)
		json_object_set_new(json_object_get(answer, "header"),
		    "revision", store_str64(store.stale_revision));
	return answer;
}

static const struct call_type {
	const char *path;
	const char *name;
	json_t *(*run)(json_t *request);
	bool writes;
} call_types[CALL_COUNT] = {
    [CALL_RANGE] = {"/v3/kv/range", "range", range, false},
    [CALL_TXN] = {"/v3/kv/txn", "txn", store_txn, true},
    [CALL_LEASE_GRANT] = {"/v3/lease/grant", "lease_grant", store_lease_grant,
	false},
    [CALL_LEASE_KEEPALIVE] = {"/v3/lease/keepalive", "lease_keepalive",
	store_lease_keepalive, false},
    [CALL_LEASE_REVOKE] = {"/v3/lease/revoke", "lease_revoke",
	store_lease_revoke, false},
    [CALL_WATCH] = {"/v3/watch", "watch", NULL, false},
};

static json_int_t counts[CALL_COUNT];

static uint64_t
delay_ms(void)
{
	return si_fault_is(&store.fault, "slow") ? store.fault.ms : 0;
}

static void
run_call(struct si_req *r, const struct call_type *type, json_t *request)
{
	json_t *answer;

	if (type->writes && si_fault_take(&store.fault, "cut-before")) {
		si_cut(r);
		return;
	}
	answer = type->run(request);
	if (type->writes && si_fault_take(&store.fault, "lose-answer")) {
		json_decref(answer);
		si_cut(r);
		return;
	}
	if (answer == NULL)
		si_answer_json(r, 404,
		    json_pack("{s:s,s:i,s:s}", "error",
			"etcdserver: requested lease not found", "code", 5,
			"message", "etcdserver: requested lease not found"),
		    delay_ms());
	else
		si_answer_json(r, 200, answer, delay_ms());
}

static void
call(struct si_req *r, const struct call_type *type)
{
	json_t *request;

	if (si_fault_take(&store.fault, "down")) {
		si_cut(r);
		return;
	}
	if (si_fault_is(&store.fault, "hang"))
		return;
	request = si_body(r);
	if (!json_is_object(request))
		si_answer_error(r, 400, "the body is not a JSON object");
	else if (type->run == NULL)
		store_watch(r, request);
	else
		run_call(r, type, request);
	json_decref(request);
}

static void
set_fault(struct si_req *r)
{
	json_t *j = si_body(r);
	const char *cluster =
	    json_string_value(json_object_get(j, "cluster_id"));
	int64_t at = store_int64(json_object_get(j, "revision"));

	if (cluster != NULL)
		store.cluster_id = ld_strdup(cluster);
	json_decref(j);
	if (!si_fault_set(&store.fault, r))
		return;
	store.stale_revision = 0;
	if (si_fault_is(&store.fault, "stale"))
		store.stale_revision = at != 0 ? at : store.revision;
	if (si_fault_is(&store.fault, "down"))
		store_watch_cut_all();
	store_watch_deliver();
}

static void
answer_stats(struct si_req *r)
{
	json_t *stats = json_object();

	for (int i = 0; i < CALL_COUNT; i++)
		json_object_set_new(
		    stats, call_types[i].name, json_integer(counts[i]));
	json_object_set_new(stats, "watches_open",
	    json_integer((json_int_t)store_watch_count()));
	json_object_set_new(stats, "revision", json_integer(store.revision));
	si_answer_json(r, 200, stats, 0);
}

static void
handle(struct si_req *r)
{
	if (si_is(r, "POST", "/fault")) {
		set_fault(r);
		return;
	}
	if (si_is(r, "GET", "/stats")) {
		answer_stats(r);
		return;
	}
	for (int i = 0; i < CALL_COUNT; i++) {
		if (!si_is(r, "POST", call_types[i].path))
			continue;
		counts[i]++;
		call(r, &call_types[i]);
		return;
	}
	si_answer_error(r, 404, "no such path");
}

bool
si_store_start(struct ld_loop *loop, const struct si_options *o)
{
	static const struct si_ops ops = {handle, store_watch_closed};

	store.loop = loop;
	store.revision = 1;
	store.cluster_id = CLUSTER_ID;
	return si_serve(loop, o->address, o->port, &ops) != NULL;
}
