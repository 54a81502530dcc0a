/* Catalogue freshness and operators' edits: scripted sessions. */
#include <string.h>

#include "ld_catalogue.h"
#include "ld_golden.h"

static struct ld_buf trace;

static void
trace_note(uint64_t now_ms, const char *what)
{
	ld_buf_printf(
	    &trace, "%6llu    %s\n", (unsigned long long)now_ms, what);
}

static void
trace_actions(struct ld_fresh *f, uint64_t now_ms)
{
	static const char *const names[] = {"watch", "unwatch", "read", "adopt",
	    "offer", "confirm", "admit", "refuse", "alarm"};
	struct ld_fresh_action a;

	while (ld_fresh_next_action(f, &a)) {
		ld_buf_printf(&trace, "%6llu -> %s", (unsigned long long)now_ms,
		    names[a.kind]);
		if (a.revision != 0)
			ld_buf_printf(&trace, " %lld", (long long)a.revision);
		if (a.kind == LD_FRESH_ALARM)
			ld_buf_printf(&trace, " %u", a.alarms);
		ld_buf_adds(&trace, LD_STR("\n"));
	}
}

/* Runs all timers due up to @until_ms and returns it. */
static uint64_t
run_timers(struct ld_fresh *f, uint64_t now_ms, uint64_t until_ms)
{
	while (ld_fresh_next_due(f) <= until_ms) {
		uint64_t due = ld_fresh_next_due(f);

		if (due > now_ms)
			now_ms = due;
		ld_fresh_tick(f, now_ms);
		trace_actions(f, now_ms);
	}
	return until_ms;
}

static void
store_value(struct ld_fresh *f, uint64_t now_ms, uint64_t asked_ms,
    int64_t revision, const char *owner)
{
	struct ld_fresh_value v = {
	    .read_sent_ms = asked_ms, .revision = revision};
	struct ld_buf json = {0};

	if (owner != NULL)
		ld_buf_printf(&json,
		    "{\"entries\":[{\"owner\":\"%s\",\"class\":\"paid\","
		    "\"keys\":[],\"limits\":{}}]}",
		    owner);
	v.bytes = ld_buf_str(&json);
	ld_fresh_store_value(f, now_ms, &v);
	trace_actions(f, now_ms);
	ld_buf_free(&json);
}

static struct ld_fresh *
fresh_new(uint64_t now_ms)
{
	struct ld_fresh_config c = ld_fresh_defaults();

	c.self = LD_STR("a/1");
	c.delegates = 1;
	c.seed = 9;
	return ld_fresh_new(&c, now_ms);
}

static void
members(struct ld_fresh *f, uint64_t now_ms, const char *ids, size_t counted)
{
	struct ld_fresh_node nodes[8];
	size_t n = strlen(ids);

	for (size_t i = 0; i < n; i++) {
		nodes[i].id = (struct ld_str){&ids[i], 1};
		nodes[i].domain = LD_STR("z1");
		if (ids[i] == 'a')
			nodes[i].id = LD_STR("a/1");
	}
	ld_fresh_members(f, now_ms, nodes, n, counted);
	trace_actions(f, now_ms);
}

/*
 * A new node joins peers, an old copy of the store answers, an edit, a store
 * outage during which peers suffice, isolation, a restored store, a freeze.
 */
static void
test_golden_session(void)
{
	struct ld_fresh *f = fresh_new(0);
	uint64_t now;

	trace_note(0, "start");
	members(f, 10, "abc", 3);
	now = run_timers(f, 10, 600);
	trace_note(
	    600, "an old copy of the store answers; peers hold revision 7");
	store_value(f, now, 550, 5, "old");
	ld_fresh_peer_revisions(f, 610, 2, 2, 7);
	trace_actions(f, 610);
	trace_note(620, "a peer gives revision 7");
	ld_fresh_peer_value(f, 620, 7, LD_STR("{\"entries\":[]}"));
	trace_actions(f, 620);
	ld_fresh_peer_contact(f, 630, 625);
	trace_actions(f, 630);
	trace_note(3000, "the node is not picked and reads nothing");
	run_timers(f, 630, 3000);
	ld_fresh_peer_contact(f, 3000, 2990);
	trace_note(3100, "the store is out; b is gone, c is left");
	members(f, 3100, "ac", 3);
	for (now = 4000; now < 30000; now += 1000) {
		ld_fresh_peer_contact(f, now, now - 5);
		trace_actions(f, now);
		run_timers(f, now, now + 999);
		if (ld_fresh_is_delegate(f))
			ld_fresh_store_failed(f, now + 999, LD_E_UNAVAILABLE);
		trace_actions(f, now + 999);
	}
	CU_ASSERT_TRUE(ld_fresh_admits(f, now));
	trace_note(now, "isolated");
	members(f, now, "a", 3);
	for (; now < 45000; now += 1000) {
		run_timers(f, now, now + 999);
		ld_fresh_store_failed(f, now + 999, LD_E_UNAVAILABLE);
		trace_actions(f, now + 999);
	}
	CU_ASSERT_FALSE(ld_fresh_admits(f, now));
	trace_note(now, "the store is back, restored to revision 6");
	store_value(f, now, now - 5, 6, "old");
	trace_note(now, "and an edit makes it 9");
	store_value(f, now + 100, now + 95, 9, "new");
	trace_note(now, "frozen for a minute");
	CU_ASSERT_TRUE(ld_fresh_admits(f, now + 5000));
	CU_ASSERT_FALSE(ld_fresh_admits(f, now + 60000));
	run_timers(f, now + 60000, now + 60000);
	ld_fresh_free(f);
	golden_check("tests/golden/catalogue_fresh.txt", &trace);
	ld_buf_free(&trace);
}

static void
test_lone_node_waits_for_peers(void)
{
	struct ld_fresh *f = fresh_new(0);

	members(f, 0, "a", 1);
	store_value(f, 100, 50, 5, "one");
	CU_ASSERT_FALSE(ld_fresh_admits(f, 100));
	run_timers(f, 100, 2099);
	CU_ASSERT_FALSE(ld_fresh_admits(f, 2099));
	run_timers(f, 2099, 2100);
	CU_ASSERT_TRUE(ld_fresh_admits(f, 2100));
	ld_fresh_free(f);
	ld_buf_free(&trace);
}

static void
test_faulty_document_is_kept_out(void)
{
	struct ld_fresh *f = fresh_new(0);
	struct ld_fresh_value v = {
	    .read_sent_ms = 200, .revision = 6, .bytes = LD_STR("{}")};

	store_value(f, 100, 50, 5, "one");
	ld_fresh_store_value(f, 210, &v);
	trace_actions(f, 210);
	CU_ASSERT_EQUAL(ld_fresh_alarms(f), LD_FRESH_INVALID);
	CU_ASSERT_EQUAL(ld_catalogue_revision(ld_fresh_current(f)), 5);
	ld_fresh_store_failed(f, 220, LD_E_STALE);
	trace_actions(f, 220);
	CU_ASSERT_EQUAL(
	    ld_fresh_alarms(f), LD_FRESH_INVALID | LD_FRESH_REFUSED);
	store_value(f, 310, 300, 7, "two");
	CU_ASSERT_EQUAL(ld_fresh_alarms(f), 0);
	store_value(f, 410, 400, 0, NULL);
	CU_ASSERT_EQUAL(ld_fresh_alarms(f), LD_FRESH_ABSENT);
	CU_ASSERT_EQUAL(ld_catalogue_revision(ld_fresh_current(f)), 7);
	ld_fresh_free(f);
	ld_buf_free(&trace);
}

/* All nodes choose the same delegates, one in each failure domain. */
static void
test_delegates(void)
{
	struct ld_fresh_node nodes[390];
	char ids[390][16];
	char domains[3][4] = {"z1", "z2", "z3"};
	unsigned int seen[3] = {0}, picked = 0;

	for (size_t i = 0; i < 390; i++) {
		snprintf(ids[i], sizeof(ids[i]), "n%zu/1", i);
		nodes[i].id = ld_str_c(ids[i]);
		nodes[i].domain = ld_str_c(domains[i % 3]);
	}
	for (size_t i = 0; i < 390; i++) {
		struct ld_fresh_config c = ld_fresh_defaults();
		struct ld_fresh *f;

		c.self = nodes[i].id;
		f = ld_fresh_new(&c, 0);
		ld_fresh_members(f, 0, nodes, 390, 390);
		picked += ld_fresh_is_delegate(f);
		seen[i % 3] += ld_fresh_is_delegate(f);
		ld_fresh_free(f);
	}
	CU_ASSERT_EQUAL(picked, 3);
	CU_ASSERT(seen[0] == 1 && seen[1] == 1 && seen[2] == 1);
}

/* ---- Edits ---- */

static enum ld_edit_action_kind
next(struct ld_edit *e)
{
	struct ld_edit_action a;

	CU_ASSERT_TRUE_FATAL(ld_edit_next_action(e, &a));
	return a.kind;
}

static struct ld_edit *
edit_new(int64_t if_match)
{
	struct ld_edit *e;

	CU_ASSERT_EQUAL_FATAL(
	    ld_edit_new(LD_STR("{\"entries\":[]}"), if_match, 0, &e, NULL),
	    LD_OK);
	CU_ASSERT_EQUAL(next(e), LD_EDIT_READ);
	return e;
}

static void
check_answer(struct ld_edit *e, const char *expected)
{
	struct ld_buf out = {0};

	CU_ASSERT_EQUAL(next(e), LD_EDIT_DONE);
	ld_edit_write_answer(e, &out);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&out), expected);
	ld_buf_free(&out);
	ld_edit_free(e);
}

static void
test_edit_is_accepted_once_all_confirm(void)
{
	static const struct ld_str names[] = {
	    {"10.0.0.1:1", 10}, {"10.0.0.2:1", 10}};
	struct ld_edit *e = edit_new(40);

	ld_edit_read_done(e, 5, LD_OK, 40);
	CU_ASSERT_EQUAL(next(e), LD_EDIT_WRITE);
	ld_edit_write_done(e, 10, LD_EDIT_WRITE_APPLIED, 41);
	CU_ASSERT_EQUAL(next(e), LD_EDIT_WRITTEN);
	ld_edit_unconfirmed(e, 20, names, 2);
	ld_edit_unconfirmed(e, 30, names, 1);
	CU_ASSERT_EQUAL(ld_edit_result(e), LD_EDIT_PENDING);
	ld_edit_unconfirmed(e, 40, NULL, 0);
	check_answer(e,
	    "{\"accepted\":true,\"result\":\"accepted\",\"revision\":41,"
	    "\"unconfirmed\":[]}");
}

static void
test_edit_names_who_has_not_confirmed(void)
{
	static const struct ld_str name = {"10.0.0.2:1", 10};
	struct ld_edit *e = edit_new(40);

	ld_edit_read_done(e, 5, LD_OK, 40);
	next(e);
	ld_edit_write_done(e, 10, LD_EDIT_WRITE_UNKNOWN, 0);
	CU_ASSERT_EQUAL(next(e), LD_EDIT_SETTLE);
	ld_edit_write_done(e, 500, LD_EDIT_WRITE_APPLIED, 41);
	CU_ASSERT_EQUAL(next(e), LD_EDIT_WRITTEN);
	ld_edit_unconfirmed(e, 600, &name, 1);
	CU_ASSERT_EQUAL(ld_edit_next_due(e), 4500);
	ld_edit_tick(e, 4499);
	CU_ASSERT_EQUAL(ld_edit_result(e), LD_EDIT_PENDING);
	ld_edit_tick(e, 4500);
	check_answer(e,
	    "{\"accepted\":false,\"result\":\"unconfirmed\",\"revision\":41,"
	    "\"unconfirmed\":[\"10.0.0.2:1\"]}");
}

static void
test_edits_that_lose(void)
{
	struct ld_edit *e = edit_new(40);

	ld_edit_read_done(e, 5, LD_OK, 42);
	check_answer(
	    e, "{\"accepted\":false,\"result\":\"conflict\",\"revision\":42}");
	e = edit_new(40);
	ld_edit_read_done(e, 5, LD_OK, 40);
	next(e);
	ld_edit_write_done(e, 10, LD_EDIT_WRITE_CONFLICT, 43);
	check_answer(
	    e, "{\"accepted\":false,\"result\":\"conflict\",\"revision\":43}");
	e = edit_new(40);
	ld_edit_read_done(e, 5, LD_E_UNAVAILABLE, 0);
	check_answer(e,
	    "{\"accepted\":false,\"result\":\"not-written\",\"revision\":0}");
	e = edit_new(40);
	ld_edit_read_done(e, 5, LD_OK, 40);
	next(e);
	ld_edit_write_done(e, 10, LD_EDIT_WRITE_UNKNOWN, 0);
	next(e);
	ld_edit_tick(e, 4010);
	/* The edit has been answered: a late result causes no further write. */
	ld_edit_write_done(e, 4020, LD_EDIT_WRITE_APPLIED, 41);
	check_answer(
	    e, "{\"accepted\":false,\"result\":\"unknown\",\"revision\":0}");
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"golden session of one node", test_golden_session},
	    {"a lone node waits for peers first",
		test_lone_node_waits_for_peers},
	    {"a faulty document is kept out", test_faulty_document_is_kept_out},
	    {"delegates of 390 nodes", test_delegates},
	    {"an edit is accepted once all confirm",
		test_edit_is_accepted_once_all_confirm},
	    {"an edit names who has not confirmed",
		test_edit_names_who_has_not_confirmed},
	    {"edits that lose", test_edits_that_lose},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("fresh", cases);
}
