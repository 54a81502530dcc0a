/* The store and live list clients against stand-in processes with faults. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "ld_store.h"
#include "standin_process.h"

#define CALL_TIMEOUT_MS 400

/* ---- Store calls, one at a time ---- */

struct outcome {
	struct ld_store_call call;
	enum ld_status status;
	enum ld_store_outcome outcome;
	int64_t revision;
	int64_t lease;
	struct ld_store_expect expect;
	char value[32];
};

static void
on_call_done(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct outcome *o = (struct outcome *)call;

	o->status = a->status;
	o->outcome = a->outcome;
	o->revision = a->revision;
	o->lease = a->lease;
	o->expect = ld_store_expect_of(a->n > 0 ? &a->kvs[0] : NULL);
	o->value[0] = '\0';
	if (a->n > 0)
		snprintf(o->value, sizeof(o->value), "%.*s",
		    LD_FMT(a->kvs[0].value));
	ld_loop_stop(loop);
}

static struct ld_store *
store_new(const char *const *endpoints, size_t n)
{
	struct ld_store_settings settings = ld_store_defaults();

	settings.endpoints = endpoints;
	settings.n_endpoints = n;
	settings.call_timeout_ms = CALL_TIMEOUT_MS;
	settings.backoff_min_ms = 1;
	settings.backoff_max_ms = 2;
	settings.watch_renew_ms = 60000;
	settings.calls_per_s = 1000;
	settings.calls_burst = 1000;
	settings.seed = 5;
	return ld_store_new(loop, http, &settings, NULL);
}

static struct outcome
do_cas(struct ld_store *s, const char *value, struct ld_store_expect expect)
{
	struct outcome o = {.call = {.done = on_call_done}};

	ld_store_cas(s, &o.call, LD_STR("k"), ld_str_c(value), expect, 0);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	return o;
}

static struct outcome
do_read(struct ld_store *s)
{
	struct outcome o = {.call = {.done = on_call_done}};

	ld_store_read(s, &o.call, LD_STR("k"));
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	return o;
}

static struct outcome
do_settle(struct ld_store *s, const char *value, struct ld_store_expect expect,
    uint64_t within_ms)
{
	struct outcome o = {.call = {.done = on_call_done}};

	ld_store_resolve_write(s, &o.call, LD_STR("k"), ld_str_c(value), expect,
	    ld_loop_now(loop) + within_ms);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	return o;
}

static void
pass_ms(uint64_t ms)
{
	CU_ASSERT_FALSE(run(ms));
}

static void
test_compare_and_swap(void)
{
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_store_expect none = {0}, first;
	struct ld_store *s;
	struct outcome o;

	pick_port(&si);
	standin_start(&si, "store");
	s = store_new(endpoints, 1);
	CU_ASSERT_EQUAL(do_read(s).status, LD_E_NOT_FOUND);
	o = do_cas(s, "one", none);
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_APPLIED);
	o = do_read(s);
	CU_ASSERT_STRING_EQUAL(o.value, "one");
	first = o.expect;
	CU_ASSERT_EQUAL(do_cas(s, "two", first).outcome, LD_STORE_APPLIED);
	o = do_cas(s, "three", first);
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_CONFLICT);
	CU_ASSERT_EQUAL(o.status, LD_E_CONFLICT);
	CU_ASSERT_STRING_EQUAL(o.value, "two");
	CU_ASSERT_EQUAL(ld_store_counters(s)->calls[LD_STORE_WRITE], 3);
	ld_store_free(s);
	standin_stop(&si);
}

static void
test_lost_answers(void)
{
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_store_expect none = {0}, first;
	struct ld_store *s;
	struct outcome o;

	pick_port(&si);
	standin_start(&si, "store");
	s = store_new(endpoints, 1);
	post(&si, "/fault", "{\"mode\":\"lose-answer\",\"count\":1}");
	CU_ASSERT_EQUAL(do_cas(s, "one", none).outcome, LD_STORE_UNKNOWN);
	o = do_settle(s, "one", none, 2000);
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_APPLIED);
	first = o.expect;
	pass_ms(5);
	post(&si, "/fault", "{\"mode\":\"cut-before\",\"count\":1}");
	CU_ASSERT_EQUAL(do_cas(s, "two", first).outcome, LD_STORE_UNKNOWN);
	/* An unchanged key proves nothing: the write may be in flight. */
	o = do_settle(s, "two", first, 100);
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_UNKNOWN);
	CU_ASSERT_EQUAL(o.status, LD_E_UNKNOWN);
	CU_ASSERT_EQUAL(do_cas(s, "other", first).outcome, LD_STORE_APPLIED);
	o = do_settle(s, "two", first, 2000);
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_NOT_APPLIED);
	CU_ASSERT_EQUAL(ld_store_counters(s)->unknown_writes, 2);
	ld_store_free(s);
	standin_stop(&si);
}

static void
test_outage(void)
{
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_store_expect none = {0};
	struct ld_store *s;
	struct outcome o;

	pick_port(&si);
	s = store_new(endpoints, 1);
	/* Nothing listens: no byte was sent, so the outcome is certain. */
	o = do_cas(s, "one", none);
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_NOT_APPLIED);
	CU_ASSERT_EQUAL(o.status, LD_E_UNAVAILABLE);
	standin_start(&si, "store");
	pass_ms(5);
	kill(si.pid, SIGSTOP);
	o = do_cas(s, "one", none);
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_UNKNOWN);
	CU_ASSERT_EQUAL(o.status, LD_E_TIMEOUT);
	kill(si.pid, SIGCONT);
	/* The frozen store may still apply a write that it received. */
	o = do_settle(s, "one", none, 3000);
	CU_ASSERT(
	    o.outcome == LD_STORE_APPLIED || o.outcome == LD_STORE_UNKNOWN);
	ld_store_free(s);
	standin_stop(&si);
}

static void
test_second_endpoint(void)
{
	struct standin dead = {0}, si = {0};
	const char *endpoints[] = {dead.address, si.address};
	struct ld_store_expect none = {0};
	struct ld_store *s;

	pick_port(&dead);
	pick_port(&si);
	standin_start(&si, "store");
	s = store_new(endpoints, 2);
	CU_ASSERT_EQUAL(do_cas(s, "one", none).outcome, LD_STORE_APPLIED);
	CU_ASSERT_STRING_EQUAL(do_read(s).value, "one");
	ld_store_free(s);
	standin_stop(&si);
}

static void
test_old_and_foreign_answers(void)
{
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_store_expect none = {0};
	struct ld_store *s;
	struct outcome o;

	pick_port(&si);
	standin_start(&si, "store");
	s = store_new(endpoints, 1);
	do_cas(s, "one", none);
	post(&si, "/fault", "{\"mode\":\"stale\",\"revision\":1}");
	o = do_read(s);
	CU_ASSERT_EQUAL(o.status, LD_E_STALE);
	CU_ASSERT_EQUAL(ld_store_counters(s)->stale, 1);
	CU_ASSERT_TRUE(ld_store_alarm(s));
	pass_ms(5);
	post(&si, "/fault", "{\"mode\":\"ok\",\"cluster_id\":\"77\"}");
	CU_ASSERT_EQUAL(do_read(s).status, LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(ld_store_counters(s)->other_cluster, 1);
	pass_ms(5);
	post(&si, "/fault",
	    "{\"mode\":\"ok\",\"cluster_id\":\"14841639068965178418\"}");
	CU_ASSERT_EQUAL(do_read(s).status, LD_OK);
	CU_ASSERT_FALSE(ld_store_alarm(s));
	ld_store_free(s);
	standin_stop(&si);
}

static void
test_leases(void)
{
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_store *s;
	struct outcome o = {.call = {.done = on_call_done}};
	int64_t lease;

	pick_port(&si);
	standin_start(&si, "store");
	s = store_new(endpoints, 1);
	ld_store_lease_grant(s, &o.call, 5);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(o.status, LD_OK);
	lease = o.lease;
	ld_store_put(s, &o.call, LD_STR("k"), LD_STR("held"), lease);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_APPLIED);
	ld_store_lease_keepalive(s, &o.call, lease);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(o.status, LD_OK);
	ld_store_lease_revoke(s, &o.call, lease);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(do_read(s).status, LD_E_NOT_FOUND);
	ld_store_lease_keepalive(s, &o.call, lease);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(o.status, LD_E_NOT_FOUND);
	/* A write under a lease that is gone is certain not to be applied. */
	ld_store_put(s, &o.call, LD_STR("k"), LD_STR("late"), lease);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(o.status, LD_E_NOT_FOUND);
	CU_ASSERT_EQUAL(o.outcome, LD_STORE_NOT_APPLIED);
	ld_store_free(s);
	standin_stop(&si);
}

static void
test_budget(void)
{
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_store_settings settings = ld_store_defaults();
	struct ld_store *s;

	pick_port(&si);
	standin_start(&si, "store");
	settings.endpoints = endpoints;
	settings.n_endpoints = 1;
	settings.calls_per_s = 1;
	settings.calls_burst = 2;
	s = ld_store_new(loop, http, &settings, NULL);
	CU_ASSERT_EQUAL(do_read(s).status, LD_E_NOT_FOUND);
	CU_ASSERT_EQUAL(do_read(s).status, LD_E_NOT_FOUND);
	CU_ASSERT_EQUAL(do_read(s).status, LD_E_LIMIT);
	CU_ASSERT_EQUAL(ld_store_counters(s)->over_budget, 1);
	ld_store_free(s);
	standin_stop(&si);
}

/* ---- Watch ---- */

struct seen {
	struct ld_store_watch watch;
	unsigned int snapshots;
	unsigned int changes;
	unsigned int losses;
	char value[32];
};

static void
on_snapshot(struct ld_store_watch *w, int64_t revision,
    const struct ld_store_kv *kvs, size_t n)
{
	struct seen *seen = (struct seen *)w;

	seen->snapshots++;
	if (n > 0)
		snprintf(seen->value, sizeof(seen->value), "%.*s",
		    LD_FMT(kvs[0].value));
	ld_loop_stop(loop);
}

static void
on_change(struct ld_store_watch *w, const struct ld_store_kv *kv, bool deleted)
{
	struct seen *seen = (struct seen *)w;

	seen->changes++;
	snprintf(seen->value, sizeof(seen->value), "%.*s", LD_FMT(kv->value));
	ld_loop_stop(loop);
}

static void
on_lost(struct ld_store_watch *w, enum ld_status status)
{
	((struct seen *)w)->losses++;
}

static const struct ld_store_watch_ops watch_ops = {
    on_snapshot, on_change, on_lost, NULL, NULL};

static void
test_watch_survives_an_outage(void)
{
	struct seen seen = {.watch = {.ops = &watch_ops}};
	struct ld_store_expect none = {0};
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_store *s, *writer;
	struct outcome o = {.call = {.done = on_call_done}};

	pick_port(&si);
	standin_start(&si, "store");
	s = store_new(endpoints, 1);
	writer = store_new(endpoints, 1);
	ld_store_watch_start(s, &seen.watch, LD_STR("k"), false);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(seen.snapshots, 1);
	ld_store_cas(writer, &o.call, LD_STR("k"), LD_STR("one"), none, 0);
	while (seen.changes == 0 && run(STEP_LIMIT_MS))
		;
	CU_ASSERT_STRING_EQUAL(seen.value, "one");
	post(&si, "/fault", "{\"mode\":\"down\",\"count\":3}");
	while (seen.snapshots < 2 && run(STEP_LIMIT_MS))
		;
	CU_ASSERT(seen.losses > 0);
	CU_ASSERT_EQUAL(seen.snapshots, 2);
	CU_ASSERT_STRING_EQUAL(seen.value, "one");
	ld_store_watch_stop(&seen.watch);
	ld_store_free(writer);
	ld_store_free(s);
	standin_stop(&si);
}

/* A watch that is open but silent is renewed, so that it hides no change. */
static void
test_silent_watch_is_renewed(void)
{
	struct seen seen = {.watch = {.ops = &watch_ops}};
	struct ld_store_expect none = {0};
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_store_settings settings = ld_store_defaults();
	struct ld_store *s;
	struct outcome o = {.call = {.done = on_call_done}};

	pick_port(&si);
	standin_start(&si, "store");
	settings.endpoints = endpoints;
	settings.n_endpoints = 1;
	settings.watch_renew_ms = 300;
	s = ld_store_new(loop, http, &settings, NULL);
	post(&si, "/fault", "{\"mode\":\"freeze-watch\"}");
	ld_store_watch_start(s, &seen.watch, LD_STR("k"), false);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	ld_store_cas(s, &o.call, LD_STR("k"), LD_STR("one"), none, 0);
	while (seen.snapshots < 3 && run(STEP_LIMIT_MS))
		;
	CU_ASSERT_STRING_EQUAL(seen.value, "one");
	CU_ASSERT_EQUAL(seen.changes, 0);
	ld_store_watch_stop(&seen.watch);
	ld_store_free(s);
	standin_stop(&si);
}

/* ---- Live list ---- */

struct list_seen {
	struct ld_live_listener listener;
	int64_t version;
	size_t n;
	bool leaving;
};

static void
on_list(struct ld_live_listener *l, const struct ld_live_list *list)
{
	struct list_seen *seen = (struct list_seen *)l;

	seen->version = list->version;
	seen->n = list->n;
	seen->leaving = list->n > 0 && list->v[0].leaving;
	ld_loop_stop(loop);
}

static void
await_list(struct list_seen *seen, size_t n, bool leaving)
{
	while ((seen->n != n || seen->leaving != leaving) && run(STEP_LIMIT_MS))
		;
	CU_ASSERT_EQUAL(seen->n, n);
	CU_ASSERT_EQUAL(seen->leaving, leaving);
}

static void
test_live_list(void)
{
	static const struct ld_live_ops ops = {on_list};
	struct list_seen seen = {.listener = {&ops}};
	struct standin si = {0};
	const char *endpoints[] = {si.address};
	struct ld_live_settings settings = ld_live_defaults();
	struct ld_live *l;

	pick_port(&si);
	standin_start(&si, "list");
	settings.endpoints = endpoints;
	settings.n_endpoints = 1;
	settings.restart_confirm_ms = 500;
	settings.backoff_max_ms = 200;
	settings.seed = 6;
	l = ld_live_new(loop, http, &settings, &seen.listener);
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	post(&si, "/set",
	    "{\"instances\":[{\"address\":\"127.0.0.1:1\",\"role\":\"engine\","
	    "\"fabric\":\"f1\",\"zone\":\"z1\",\"state\":\"live\"}]}");
	await_list(&seen, 1, false);
	post(&si, "/set",
	    "{\"instances\":[{\"address\":\"127.0.0.1:1\",\"role\":\"engine\","
	    "\"fabric\":\"f1\",\"zone\":\"z1\",\"state\":\"leaving\"}]}");
	await_list(&seen, 1, true);
	/* The list restarts empty, at version 1. */
	standin_stop(&si);
	standin_start(&si, "list");
	await_list(&seen, 0, false);
	CU_ASSERT_EQUAL(ld_live_counters(l)->restarts, 1);
	CU_ASSERT(ld_live_counters(l)->older > 0);
	CU_ASSERT(ld_live_age_ms(l) < 5000);
	ld_live_free(l);
	standin_stop(&si);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"compare-and-swap", test_compare_and_swap},
	    {"lost answers are settled by reading", test_lost_answers},
	    {"an outage tells not applied from unknown", test_outage},
	    {"the second endpoint is tried", test_second_endpoint},
	    {"old and foreign answers are refused",
		test_old_and_foreign_answers},
	    {"leases", test_leases},
	    {"the budget of calls holds", test_budget},
	    {"a watch survives an outage", test_watch_survives_an_outage},
	    {"a silent watch is renewed", test_silent_watch_is_renewed},
	    {"the live list", test_live_list},
	    {NULL, NULL},
	};
	int status;

	if (!standin_open(argv[0]))
		return 2;
	status = ld_test_main("store", cases);
	standin_close();
	return status;
}
