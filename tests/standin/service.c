/* Stand-in for a plain service: lookups, bookings, and a ledger of both. */
#include <string.h>

#include "ld_standin.h"

static struct {
	const char *name;
	json_t *runs; /* the ledger */
	struct si_fault fault;
} service;

/* Appends to the ledger and returns the number of the run. */
static json_int_t
run_call(struct si_req *r, bool booking)
{
	json_int_t seq = (json_int_t)json_array_size(service.runs) + 1;

	json_array_append_new(service.runs,
	    json_pack("{s:I,s:s,s:s,s:s,s:s?,s:s?,s:s%}", "seq", seq, "kind",
		booking ? "booking" : "lookup", "method", r->method, "path",
		r->path, "request_id", si_header(r, "X-Request-Id"),
		"idempotency_key", si_header(r, "Idempotency-Key"), "body",
		r->body.len > 0 ? r->body.p : "", r->body.len));
	return seq;
}

static json_t *
echo(struct si_req *r, json_int_t seq)
{
	const char *lot = strrchr(r->path, '/');

	if (strcmp(r->method, "GET") == 0)
		return json_pack("{s:s,s:s,s:s}", "service", service.name,
		    "lot", lot != NULL ? lot + 1 : "", "state", "in stock");
	return json_pack("{s:s,s:I,s:s%}", "service", service.name, "run", seq,
	    "body", r->body.len > 0 ? r->body.p : "", r->body.len);
}

static void
call(struct si_req *r)
{
	bool booking = strcmp(r->method, "GET") != 0;
	json_int_t seq;

	if (si_fault_take(&service.fault, "hang-before"))
		return;
	if (si_fault_take(&service.fault, "cut-before-run")) {
		si_cut(r);
		return;
	}
	if (si_fault_take(&service.fault, "error")) {
		si_answer_error(r, 500, "scripted error");
		return;
	}
	seq = run_call(r, booking);
	if (si_fault_take(&service.fault, "cut-after-run")) {
		si_cut(r);
		return;
	}
	if (si_fault_take(&service.fault, "hang-after-run"))
		return;
	si_answer_json(r, 200, echo(r, seq),
	    si_fault_is(&service.fault, "slow") ? service.fault.ms : 0);
}

static void
handle(struct si_req *r)
{
	if (si_is(r, "GET", "/ledger"))
		si_answer_json(
		    r, 200, json_pack("{s:O}", "runs", service.runs), 0);
	else if (si_is(r, "POST", "/fault"))
		si_fault_set(&service.fault, r);
	else if (si_is(r, "GET", "/health"))
		si_answer(r, 200, LD_STR("{\"ready\":true}"));
	else
		call(r);
}

bool
si_service_start(struct ld_loop *loop, const struct si_options *o)
{
	static const struct si_ops ops = {handle, NULL};

	service.name = o->name;
	service.runs = json_array();
	return si_serve(loop, o->address, o->port, &ops) != NULL;
}
