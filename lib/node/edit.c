/* Operators' catalogue edits: performs the actions of struct ld_edit. */
#include <stdio.h>
#include <stdlib.h>

#include "node_internal.h"

#define KEY_CATALOGUE "catalogue"
#define POLL_MS 50
#define STORE_RETRY_MS 1000
#define DETAIL_BYTES 160

/** struct edit - one PUT of the catalogue in progress */
struct edit {
	struct ld_store_call call; /* must be first: callbacks cast it */
	struct edit *next;
	struct edit **link;
	struct ld_timer timer;
	struct ld_node *node;
	struct ld_exchange *x; /* NULL once the client disconnected */
	struct ld_edit *edit;
	struct ld_store_expect expect;
	bool written; /* the store has the new revision */
	bool done;
};

static void run_actions(struct edit *e);

static void
edit_free(struct edit *e)
{
	if (e->x != NULL)
		ld_exchange_set_user_data(e->x, NULL);
	ld_store_cancel(&e->call);
	ld_timer_stop(ld_loop_timers(e->node->loop), &e->timer);
	ld_edit_free(e->edit);
	*e->link = e->next;
	if (e->next != NULL)
		e->next->link = e->link;
	free(e);
}

/* ---- Answer ---- */

static void
answer_written(struct edit *e)
{
	struct ld_buf body = {0};

	ld_edit_write_answer(e->edit, &body);
	ld_exchange_answer(
	    e->x, 200, "application/json", NULL, ld_buf_str(&body));
	ld_buf_free(&body);
}

static void
answer_problem(struct edit *e, unsigned int code, const char *type,
    const char *title, enum ld_ran ran)
{
	char detail[DETAIL_BYTES];
	struct ld_problem p = {
	    .code = code, .type = type, .title = title, .ran = ran};

	snprintf(detail, sizeof(detail), "current revision %lld",
	    (long long)ld_edit_revision(e->edit));
	if (ld_edit_revision(e->edit) > 0)
		p.detail = detail;
	if (code == 503)
		p.retry_after_ms = STORE_RETRY_MS;
	ld_exchange_problem(e->x, &p);
}

static void
answer(struct edit *e)
{
	switch (ld_edit_result(e->edit)) {
	case LD_EDIT_ACCEPTED:
	case LD_EDIT_UNCONFIRMED:
		answer_written(e);
		break;
	case LD_EDIT_CONFLICT:
		answer_problem(e, 412, "conflict",
		    "The catalogue was changed meanwhile", LD_RAN_NO);
		break;
	case LD_EDIT_NOT_WRITTEN:
		answer_problem(e, 503, "store-unavailable",
		    "The store did not take the change", LD_RAN_NO);
		break;
	default:
		answer_problem(e, 504, "outcome-unknown",
		    "The store did not tell whether it took the change",
		    LD_RAN_UNKNOWN);
		break;
	}
}

/* ---- Store ---- */

static void
on_read(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct edit *e = (struct edit *)call;
	const struct ld_store_kv *kv = a->n > 0 ? &a->kvs[0] : NULL;
	enum ld_status st = a->status;

	if (st == LD_OK && kv == NULL)
		st = LD_E_NOT_FOUND;
	e->expect = ld_store_expect_of(kv);
	ld_edit_read_done(
	    e->edit, node_now(e->node), st, kv != NULL ? kv->mod_revision : 0);
	run_actions(e);
}

static void
on_written(struct ld_store_call *call, const struct ld_store_answer *a)
{
	static const enum ld_edit_write outcomes[LD_STORE_OUTCOME_COUNT] = {
	    [LD_STORE_NOT_APPLIED] = LD_EDIT_WRITE_NOT_APPLIED,
	    [LD_STORE_APPLIED] = LD_EDIT_WRITE_APPLIED,
	    [LD_STORE_CONFLICT] = LD_EDIT_WRITE_CONFLICT,
	    [LD_STORE_UNKNOWN] = LD_EDIT_WRITE_UNKNOWN,
	};
	struct edit *e = (struct edit *)call;
	int64_t revision = a->n > 0 ? a->kvs[0].mod_revision : 0;

	if (a->outcome == LD_STORE_APPLIED && revision == 0)
		revision = a->revision;
	ld_edit_write_done(
	    e->edit, node_now(e->node), outcomes[a->outcome], revision);
	run_actions(e);
}

/* ---- Actions ---- */

static void
run_action(struct edit *e, const struct ld_edit_action *a)
{
	struct ld_node *n = e->node;

	switch (a->kind) {
	case LD_EDIT_READ:
		e->call.done = on_read;
		ld_store_read(n->store, &e->call, LD_STR(KEY_CATALOGUE));
		break;
	case LD_EDIT_WRITE:
		e->call.done = on_written;
		ld_store_cas(n->store, &e->call, LD_STR(KEY_CATALOGUE),
		    a->bytes, e->expect, 0);
		break;
	case LD_EDIT_SETTLE:
		e->call.done = on_written;
		ld_store_resolve_write(n->store, &e->call,
		    LD_STR(KEY_CATALOGUE), a->bytes, e->expect, a->deadline_ms);
		break;
	case LD_EDIT_WRITTEN:
		e->written = true;
		catalogue_written(n, a->revision, a->bytes);
		break;
	case LD_EDIT_DONE:
		e->done = true;
		break;
	}
}

static void
run_actions(struct edit *e)
{
	struct ld_edit_action a;

	while (!e->done && ld_edit_next_action(e->edit, &a))
		run_action(e, &a);
	if (!e->done)
		return;
	if (e->x != NULL)
		answer(e);
	edit_free(e);
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct edit *e =
	    (struct edit *)((char *)t - offsetof(struct edit, timer));
	struct ld_str *names = NULL;
	size_t n;

	ld_timer_after(ld_loop_timers(e->node->loop), t, POLL_MS);
	if (e->written) {
		n = fleet_unconfirmed(
		    e->node->fleet, ld_edit_revision(e->edit), &names);
		ld_edit_unconfirmed(e->edit, now_ms, names, n);
		fleet_names_free(names, n);
	}
	ld_edit_tick(e->edit, now_ms);
	run_actions(e);
}

/* ---- Request ---- */

static void
answer_faults(struct ld_exchange *x, const struct ld_faults *faults)
{
	struct ld_buf text = {0};
	struct ld_problem p = {
	    .code = 422,
	    .type = "bad-catalogue",
	    .title = "The catalogue has faults; nothing was changed",
	    .ran = LD_RAN_NO,
	};

	ld_faults_print(faults, &text);
	p.detail = ld_buf_cstr(&text);
	ld_exchange_problem(x, &p);
	ld_buf_free(&text);
}

static bool
read_revision(struct ld_exchange *x, int64_t *out)
{
	const char *match = ld_exchange_header(x, "If-Match");
	char *end = NULL;
	struct ld_problem p = {
	    .code = 428,
	    .type = "revision-needed",
	    .title = "If-Match must name the revision that is replaced",
	    .detail = "0 when there is no catalogue yet",
	    .ran = LD_RAN_NO,
	};

	if (match != NULL)
		*out = strtoll(match, &end, 10);
	if (match != NULL && end != match && *end == '\0' && *out >= 0)
		return true;
	ld_exchange_problem(x, &p);
	return false;
}

void
edit_start(struct ld_node *n, struct ld_exchange *x)
{
	struct ld_faults faults = {0};
	struct ld_edit *decision = NULL;
	int64_t revision = 0;
	struct edit *e;

	if (!read_revision(x, &revision))
		return;
	if (ld_edit_new(ld_exchange_body(x), revision, node_now(n), &decision,
		&faults) != LD_OK) {
		answer_faults(x, &faults);
		ld_faults_free(&faults);
		return;
	}
	ld_faults_free(&faults);
	e = ld_alloc(sizeof(*e));
	e->node = n;
	e->x = x;
	e->edit = decision;
	e->timer.fn = on_timer;
	e->next = n->edits;
	e->link = &n->edits;
	if (e->next != NULL)
		e->next->link = &e->next;
	n->edits = e;
	ld_exchange_set_user_data(x, e);
	ld_timer_after(ld_loop_timers(n->loop), &e->timer, POLL_MS);
	run_actions(e);
}

void
edit_client_disconnected(struct edit *e)
{
	e->x = NULL;
}

void
edits_close(struct ld_node *n)
{
	struct edit *next;

	for (struct edit *e = n->edits; e != NULL; e = next) {
		next = e->next;
		edit_free(e);
	}
}
