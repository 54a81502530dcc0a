/* An operator's edit: a compare-and-swap of the catalogue, and its outcome. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "node_internal.h"

#define KEY_CATALOGUE "catalogue"
#define SETTLE_MS 3000
#define DETAIL_BYTES 128

/** struct edit - one PUT of the catalogue under way */
struct edit {
	struct ld_store_call call;
	struct ld_node *node;
	struct ld_exchange *x; /* NULL once the operator hung up */
	struct ld_buf document;
	struct ld_store_expect expect;
	bool settling;
};

static void
edit_free(struct edit *e)
{
	if (e->x != NULL)
		ld_exchange_set_owner(e->x, NULL);
	ld_buf_free(&e->document);
	free(e);
}

static void
edit_fail(struct edit *e, unsigned int code, const char *type,
    const char *title, enum ld_ran ran, int64_t current)
{
	char detail[DETAIL_BYTES];
	struct ld_problem p = {
	    .code = code, .type = type, .title = title, .ran = ran};

	if (current > 0) {
		snprintf(detail, sizeof(detail), "current revision %lld",
		    (long long)current);
		p.detail = detail;
	}
	if (code == 503)
		p.retry_after_ms = 1000;
	if (e->x != NULL)
		ld_exchange_problem(e->x, &p);
	edit_free(e);
}

static void
edit_accepted(struct edit *e, int64_t revision)
{
	struct ld_buf body = {0};

	ld_buf_printf(&body, "{\"accepted\":true,\"revision\":%lld}\n",
	    (long long)revision);
	if (e->x != NULL)
		ld_exchange_answer(
		    e->x, 200, "application/json", NULL, ld_buf_str(&body));
	ld_buf_free(&body);
	edit_free(e);
}

static void
on_written(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct edit *e = (struct edit *)call;
	int64_t current = a->n > 0 ? a->kvs[0].mod_revision : 0;

	switch (a->outcome) {
	case LD_STORE_APPLIED:
		edit_accepted(e, a->revision);
		return;
	case LD_STORE_CONFLICT:
		edit_fail(e, 412, "conflict",
		    "The catalogue was changed meanwhile", LD_RAN_NO, current);
		return;
	case LD_STORE_UNKNOWN:
		break;
	default:
		edit_fail(e, 503, "store-unavailable",
		    "The store took no change", LD_RAN_NO, 0);
		return;
	}
	if (e->settling) {
		edit_fail(e, 504, "outcome-unknown",
		    "The store did not tell whether it took the change",
		    LD_RAN_UNKNOWN, current);
		return;
	}
	e->settling = true;
	ld_store_settle(e->node->store, &e->call, LD_STR(KEY_CATALOGUE),
	    ld_buf_str(&e->document), e->expect, node_now(e->node) + SETTLE_MS);
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

static void
on_current(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct edit *e = (struct edit *)call;
	int64_t current = a->n > 0 ? a->kvs[0].mod_revision : 0;

	if (a->status != LD_OK && a->status != LD_E_NOT_FOUND) {
		edit_fail(e, 503, "store-unavailable",
		    "The store can't be read", LD_RAN_NO, 0);
		return;
	}
	if (current != e->expect.mod_revision) {
		edit_fail(e, 412, "conflict",
		    "The catalogue was changed meanwhile", LD_RAN_NO, current);
		return;
	}
	e->expect = ld_store_expect_of(a->n > 0 ? &a->kvs[0] : NULL);
	e->call.done = on_written;
	ld_store_cas(e->node->store, &e->call, LD_STR(KEY_CATALOGUE),
	    ld_buf_str(&e->document), e->expect, 0);
}

void
edit_start(struct ld_node *n, struct ld_exchange *x)
{
	const char *match = ld_exchange_header(x, "If-Match");
	struct ld_catalogue *c = NULL;
	struct ld_faults faults = {0};
	struct ld_problem missing = {
	    .code = 428,
	    .type = "revision-needed",
	    .title = "If-Match must name the revision that is replaced",
	    .detail = "0 when there is no catalogue yet",
	    .ran = LD_RAN_NO,
	};
	struct edit *e;

	if (match == NULL) {
		ld_exchange_problem(x, &missing);
		return;
	}
	if (ld_catalogue_parse(ld_exchange_body(x), 0, &c, &faults) != LD_OK) {
		answer_faults(x, &faults);
		ld_faults_free(&faults);
		return;
	}
	ld_catalogue_unref(c);
	e = ld_alloc(sizeof(*e));
	e->node = n;
	e->x = x;
	e->expect.mod_revision = strtoll(match, NULL, 10);
	ld_buf_adds(&e->document, ld_exchange_body(x));
	e->call.done = on_current;
	ld_exchange_set_owner(x, e);
	ld_store_read(n->store, &e->call, LD_STR(KEY_CATALOGUE));
}

void
edit_gone(struct edit *e)
{
	e->x = NULL;
}
