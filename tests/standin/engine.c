/* Stand-in for a model engine: routes requests to calls and orders. */
#include <stdio.h>
#include <string.h>

#include "engine_internal.h"

struct engine engine;

static void
answer_load(struct si_req *r)
{
	si_answer_json(r, 200,
	    json_pack("{s:I,s:I,s:I,s:I}", "running",
		(json_int_t)engine.running_count, "waiting",
		(json_int_t)engine.waiting_count, "slots",
		(json_int_t)engine.options->slots, "at_ms",
		(json_int_t)ld_loop_now(engine.loop)),
	    0);
}

static void
answer_cache_events(struct si_req *r)
{
	json_int_t after = (json_int_t)si_query_u64(r, "after", 0);
	json_t *events = json_array();
	json_t *e;
	size_t i;

	json_array_foreach(engine.cache_events, i, e)
	{
		if (json_integer_value(json_object_get(e, "seq")) > after)
			json_array_append(events, e);
	}
	si_answer_json(r, 200, json_pack("{s:o}", "events", events), 0);
}

static void
set_fault(struct si_req *r)
{
	if (!si_fault_set(&engine.fault, r))
		return;
	if (si_fault_is(&engine.fault, "forget")) {
		engine_drop_all();
		engine_forget();
		memset(&engine.fault, 0, sizeof(engine.fault));
	}
	engine_fault_changed();
}

static bool
handle_post(struct si_req *r)
{
	if (si_is(r, "POST", "/v1/completions"))
		engine_completion(r, false);
	else if (si_is(r, "POST", "/v1/chat/completions"))
		engine_completion(r, true);
	else if (si_is(r, "POST", "/orders"))
		engine_order(r);
	else if (si_is(r, "POST", "/cancel"))
		engine_cancel(r);
	else if (si_is(r, "POST", "/fault"))
		set_fault(r);
	else
		return false;
	return true;
}

static void
handle(struct si_req *r)
{
	if (si_is(r, "GET", "/ledger"))
		si_answer_json(
		    r, 200, json_pack("{s:O}", "calls", engine.ledger), 0);
	else if (si_is(r, "GET", "/orders"))
		si_answer_json(
		    r, 200, json_pack("{s:O}", "orders", engine.orders), 0);
	else if (strcmp(r->path, "/fault") != 0 &&
	    si_fault_is(&engine.fault, "hang-all"))
		return;
	else if (si_is(r, "GET", "/health"))
		engine_health(r);
	else if (si_is(r, "GET", "/load"))
		answer_load(r);
	else if (si_is(r, "GET", "/cache-events"))
		answer_cache_events(r);
	else if (!handle_post(r))
		si_answer_error(r, 404, "no such path");
}

bool
si_engine_start(struct ld_loop *loop, const struct si_options *o)
{
	static const struct si_ops ops = {handle, engine_closed};

	engine.loop = loop;
	engine.options = o;
	engine.waiting_tail = &engine.waiting;
	engine.ledger = json_array();
	engine.orders = json_array();
	engine.cache_events = json_array();
	ld_buf_printf(&engine.address, "%s:%d", o->address, o->port);
	ld_buf_cstr(&engine.address);
	engine_forget();
	if (o->preload != NULL && !engine_preload(o->preload)) {
		ld_log(LD_LOG_ERR, "standin",
		    "preload is not REPLICA:EPOCH:MEMBERS: %s", o->preload);
		return false;
	}
	return si_serve(loop, o->address, o->port, &ops) != NULL;
}
