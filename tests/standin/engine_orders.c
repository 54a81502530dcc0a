/* Orders, fencing and health of the engine stand-in. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine_internal.h"

static void
drop_replica(void)
{
	ld_timer_stop(ld_loop_timers(engine.loop), &engine.load);
	free(engine.replica);
	json_decref(engine.members);
	engine.replica = NULL;
	engine.members = NULL;
	engine.epoch = 0;
	engine.ready = false;
}

/* Clears all state that does not survive a process restart. */
void
engine_forget(void)
{
	struct ld_rand r;

	drop_replica();
	engine.fence = 0;
	ld_rand_seed_os(&r);
	snprintf(engine.incarnation, sizeof(engine.incarnation), "%016llx",
	    (unsigned long long)ld_rand_u64(&r));
}

bool
engine_preload(const char *spec)
{
	char *copy = ld_strdup(spec);
	char *save = NULL;
	const char *replica = strtok_r(copy, ":", &save);
	const char *epoch = strtok_r(NULL, ":", &save);
	char *member;

	if (replica == NULL || epoch == NULL || *save == '\0') {
		free(copy);
		return false;
	}
	engine.replica = ld_strdup(replica);
	engine.epoch = strtoll(epoch, NULL, 10);
	engine.members = json_array();
	while ((member = strtok_r(NULL, ",", &save)) != NULL)
		json_array_append_new(engine.members, json_string(member));
	engine.ready = true;
	free(copy);
	return true;
}

bool
engine_holds(struct si_req *r)
{
	const char *replica = si_header(r, "X-Replica");
	const char *epoch = si_header(r, "X-Epoch");

	if (replica != NULL &&
	    (engine.replica == NULL || strcmp(replica, engine.replica) != 0))
		return false;
	return epoch == NULL ||
	    (engine.replica != NULL &&
		strtoll(epoch, NULL, 10) == engine.epoch);
}

void
engine_health(struct si_req *r)
{
	json_t *members =
	    engine.members != NULL ? json_incref(engine.members) : json_array();

	si_answer_json(r, 200,
	    json_pack("{s:s,s:s?,s:I,s:b,s:o,s:s,s:s,s:s}", "address",
		engine.address.p, "replica", engine.replica, "epoch",
		engine.epoch, "ready", engine.ready, "members", members,
		"incarnation", engine.incarnation, "fabric",
		engine.options->fabric, "zone", engine.options->zone),
	    0);
}

static void
on_loaded(struct ld_timer *t, uint64_t now_ms)
{
	engine.ready = true;
}

static void
load(json_t *order)
{
	const char *replica =
	    json_string_value(json_object_get(order, "replica"));
	json_t *members = json_object_get(order, "members");

	drop_replica();
	engine.replica = ld_strdup(replica != NULL ? replica : "");
	engine.epoch = json_integer_value(json_object_get(order, "epoch"));
	engine.members = json_is_array(members) ? json_incref(members) : NULL;
	engine.load.fn = on_loaded;
	if (engine.options->load_ms == 0)
		engine.ready = true;
	else
		ld_timer_after(ld_loop_timers(engine.loop), &engine.load,
		    engine.options->load_ms);
}

static void
obey(json_t *order)
{
	const char *verb = json_string_value(json_object_get(order, "order"));

	engine_drop_all();
	if (verb != NULL && strcmp(verb, "load") == 0)
		load(order);
	else
		drop_replica();
}

void
engine_order(struct si_req *r)
{
	json_t *order = si_body(r);
	json_int_t fence = json_integer_value(json_object_get(order, "fence"));
	bool taken = !engine.options->check_fence || fence >= engine.fence;

	if (!json_is_object(order)) {
		json_decref(order);
		si_answer_error(r, 400, "the order is not an object");
		return;
	}
	if (fence > engine.fence)
		engine.fence = fence;
	json_array_append_new(engine.orders,
	    json_pack("{s:O,s:b,s:I}", "order", order, "taken", taken, "at_ms",
		(json_int_t)ld_loop_now(engine.loop)));
	if (taken)
		obey(order);
	json_decref(order);
	si_answer_json(r, taken ? 200 : 412,
	    json_pack("{s:b,s:I}", "ok", taken, "fence", engine.fence), 0);
}
