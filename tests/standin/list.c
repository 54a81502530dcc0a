/* Stand-in for the platform's list of live and leaving instances. */
#include <stdlib.h>

#include "ld_standin.h"

struct waiter {
	struct waiter *next;
	struct si_req *req;
	struct ld_timer timer; /* end of the long poll */
};

static struct {
	struct ld_loop *loop;
	json_t *instances;
	json_int_t version;
	json_t *frozen; /* document returned while frozen, or NULL */
	struct si_fault fault;
	struct waiter *waiters;
	uint64_t polls;
} list;

static json_t *
document(void)
{
	if (list.frozen != NULL)
		return json_incref(list.frozen);
	return json_pack(
	    "{s:I,s:O}", "version", list.version, "instances", list.instances);
}

static void
finish(struct waiter *w)
{
	struct waiter **p;

	for (p = &list.waiters; *p != w; p = &(*p)->next)
		;
	*p = w->next;
	ld_timer_stop(ld_loop_timers(list.loop), &w->timer);
	w->req->user = NULL;
	si_answer_json(w->req, 200, document(), 0);
	free(w);
}

static void
on_poll_end(struct ld_timer *t, uint64_t now_ms)
{
	finish((struct waiter *)((char *)t - offsetof(struct waiter, timer)));
}

static void
poll_list(struct si_req *r)
{
	uint64_t after = si_query_u64(r, "after", 0);
	uint64_t wait_ms = si_query_u64(r, "wait_ms", 0);
	struct waiter *w;

	list.polls++;
	if (si_fault_take(&list.fault, "down")) {
		si_cut(r);
		return;
	}
	if (wait_ms == 0 ||
	    (list.frozen == NULL && (uint64_t)list.version > after)) {
		si_answer_json(r, 200, document(),
		    si_fault_is(&list.fault, "slow") ? list.fault.ms : 0);
		return;
	}
	w = ld_alloc(sizeof(*w));
	w->req = r;
	w->timer.fn = on_poll_end;
	w->next = list.waiters;
	list.waiters = w;
	r->user = w;
	ld_timer_after(ld_loop_timers(list.loop), &w->timer, wait_ms);
}

static void
set_list(struct si_req *r)
{
	json_t *j = si_body(r);
	json_t *instances =
	    json_is_array(j) ? j : json_object_get(j, "instances");

	if (!json_is_array(instances)) {
		json_decref(j);
		si_answer_error(r, 400, "instances is not an array");
		return;
	}
	json_incref(instances);
	json_decref(list.instances);
	list.instances = instances;
	list.version++;
	json_decref(j);
	si_answer_json(r, 200, json_pack("{s:I}", "version", list.version), 0);
	while (list.frozen == NULL && list.waiters != NULL)
		finish(list.waiters);
}

static void
set_fault(struct si_req *r)
{
	if (!si_fault_set(&list.fault, r))
		return;
	if (si_fault_is(&list.fault, "frozen")) {
		if (list.frozen == NULL)
			list.frozen = document();
		return;
	}
	json_decref(list.frozen);
	list.frozen = NULL;
	while (si_fault_is(&list.fault, "down") && list.waiters != NULL) {
		struct si_req *req = list.waiters->req;

		req->cut = true;
		finish(list.waiters);
	}
}

static void
handle(struct si_req *r)
{
	if (si_is(r, "GET", "/instances"))
		poll_list(r);
	else if (si_is(r, "POST", "/set"))
		set_list(r);
	else if (si_is(r, "POST", "/fault"))
		set_fault(r);
	else if (si_is(r, "GET", "/stats"))
		si_answer_json(r, 200,
		    json_pack("{s:I}", "instances", (json_int_t)list.polls), 0);
	else
		si_answer_error(r, 404, "no such path");
}

static void
closed(struct si_req *r)
{
	struct waiter *w = r->user;
	struct waiter **p;

	if (w == NULL)
		return;
	for (p = &list.waiters; *p != w; p = &(*p)->next)
		;
	*p = w->next;
	ld_timer_stop(ld_loop_timers(list.loop), &w->timer);
	free(w);
}

bool
si_list_start(struct ld_loop *loop, const struct si_options *o)
{
	static const struct si_ops ops = {handle, closed};
	json_t *j = o->file != NULL ? json_load_file(o->file, 0, NULL) : NULL;

	list.loop = loop;
	list.version = json_integer_value(json_object_get(j, "version"));
	if (list.version == 0)
		list.version = 1;
	list.instances = json_object_get(j, "instances");
	list.instances = json_is_array(list.instances)
	    ? json_incref(list.instances)
	    : json_array();
	json_decref(j);
	return si_serve(loop, o->address, o->port, &ops) != NULL;
}
