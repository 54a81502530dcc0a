/* Scripted sessions of controllers, one compared with a golden file. */
#include "ld_test.h"
#include "replica_world.h"

#define GOLDEN "tests/golden/replica_session.txt"

static const struct ld_placed_replica *
placed_with(int engine)
{
	const struct ld_placement *p = w.routers[0].placement;

	for (size_t k = 0; k < p->n_replicas; k++) {
		for (size_t m = 0; m < p->replicas[k].n_members; m++) {
			if (engine_index(p->replicas[k].members[m]) == engine)
				return &p->replicas[k];
		}
	}
	return NULL;
}

static void
run_for(uint64_t ms)
{
	run_until(w.now_ms + ms);
}

/* Runs one step; router 1 gets no report of @engine once it left @replica. */
static void
step_with_lost_reports(int engine, const char *replica)
{
	struct told *t = &w.routers[1].told[engine];
	struct told before = *t;

	run_for(STEP_MS);
	if (strcmp(t->view.replica, replica) == 0)
		return;
	*t = before;
	t->deaf_until_ms = FOREVER;
	if (w.now_ms >= t->at_ms + REPORT_TTL_MS)
		t->view.fresh = false;
}

/*
 * Guards against a router using two replicas that share an instance. The
 * instance moves to a new replica; members of the old one miss their orders,
 * and a router still holds the old record and the instance's last report.
 */
static void
test_stale_router_never_sees_two(void)
{
	const struct ld_placed_replica *a;
	char old[LD_HEALTH_NAME_MAX];
	int moved, head;

	world_new(1, false, 1, false);
	run_until(30000);
	CU_ASSERT_EQUAL(count_serving("large"), 2);
	a = placed_with(0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(a);
	if (a == NULL)
		return;
	snprintf(old, sizeof(old), "%s", a->id);
	head = engine_index(a->members[0]);
	moved = engine_index(a->members[2]);
	for (size_t m = 0; m < 2; m++)
		w.engines[engine_index(a->members[m])].deaf_until_ms = FOREVER;
	w.routers[1].cut_until_ms = FOREVER;
	w.engines[moved].leaving = true;
	while (placed_with(moved) != NULL && w.now_ms < 60000)
		step_with_lost_reports(moved, old);
	w.engines[moved].leaving = false;
	list_engines();
	while (w.now_ms < 90000)
		step_with_lost_reports(moved, old);
	a = placed_with(moved);
	CU_ASSERT_PTR_NOT_NULL_FATAL(a);
	if (a == NULL)
		return;
	CU_ASSERT_STRING_NOT_EQUAL(a->id, old);
	CU_ASSERT_EQUAL(a->state, LD_REPLICA_SERVING);
	CU_ASSERT_STRING_EQUAL(w.engines[head].replica, old);
	CU_ASSERT_EQUAL(w.overlaps, 0);
	CU_ASSERT_EQUAL(w.violations, 0);
	world_free();
}

/* A planned move drains first: the record changes before any new order. */
static void
test_leaving_member_is_drained_first(void)
{
	const struct ld_placed_replica *a;
	uint64_t epoch, start;
	int leaving;

	world_new(2, true, 1, false);
	run_until(30000);
	a = placed_with(0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(a);
	if (a == NULL)
		return;
	epoch = (uint64_t)a->epoch;
	leaving = engine_index(a->members[1]);
	start = w.now_ms;
	w.engines[leaving].leaving = true;
	run_for(2000);
	a = placed_with(leaving);
	CU_ASSERT_PTR_NOT_NULL_FATAL(a);
	if (a != NULL)
		CU_ASSERT_EQUAL(a->state, LD_REPLICA_DRAINING);
	while (placed_with(leaving) != NULL && w.now_ms < 90000) {
		CU_ASSERT_EQUAL(w.engines[leaving].epoch, epoch);
		run_for(STEP_MS);
	}
	CU_ASSERT(w.now_ms >= start + 8000);
	run_for(20000);
	CU_ASSERT_EQUAL(count_serving("large"), 2);
	world_free();
}

/* Successor orders only after the lease, order lifetime and margin end. */
static void
test_successor_waits(void)
{
	uint64_t lapsed, orders;
	int holder, other;

	world_new(3, false, 2, false);
	run_until(30000);
	holder = ld_replica_role(w.nodes[0].c) == LD_REPLICA_HOLDER ? 0 : 1;
	other = 1 - holder;
	CU_ASSERT_EQUAL(ld_replica_role(w.nodes[holder].c), LD_REPLICA_HOLDER);
	w.nodes[holder].paused_until_ms = FOREVER;
	w.engines[0].replica[0] = '\0';
	w.engines[0].epoch = 0;
	while (ld_replica_role(w.nodes[other].c) < LD_REPLICA_WAITING)
		run_for(STEP_MS);
	lapsed = w.now_ms;
	orders = w.orders;
	while (w.orders == orders && w.now_ms < 90000)
		run_for(STEP_MS);
	CU_ASSERT(w.now_ms >= lapsed + TTL_MS + 1000 + 200 - STEP_MS);
	CU_ASSERT(ld_replica_fence(w.nodes[other].c) >
	    ld_replica_fence(w.nodes[holder].c));
	w.nodes[holder].paused_until_ms = 0;
	run_for(1000);
	CU_ASSERT_EQUAL(
	    ld_replica_role(w.nodes[holder].c), LD_REPLICA_FOLLOWER);
	run_for(30000);
	CU_ASSERT_EQUAL(count_serving("large"), 2);
	CU_ASSERT_EQUAL(w.violations, 0);
	world_free();
}

/* A controller without models leaves replicas placed by others alone. */
static void
test_nothing_is_done_without_models(void)
{
	uint64_t revision;

	world_models = 0;
	world_new(5, true, 1, false);
	world_models = 2;
	set_text(w.store.record, sizeof(w.store.record),
	    "{\"fabric\":\"f1\",\"replicas\":[{\"id\":\"r1\",\"model\":\"m\","
	    "\"epoch\":1,\"state\":\"serving\",\"members\":"
	    "[\"10.0.0.1:9100\",\"10.0.0.2:9100\"]}]}");
	w.store.record_revision = revision = ++w.store.revision;
	set_text(w.engines[3].replica, sizeof(w.engines[3].replica), "other");
	w.engines[1].down_until_ms = FOREVER;
	run_until(40000);
	CU_ASSERT_EQUAL(ld_replica_role(w.nodes[0].c), LD_REPLICA_HOLDER);
	CU_ASSERT_EQUAL(w.orders, 0);
	CU_ASSERT_EQUAL(w.store.record_revision, revision);
	world_free();
}

/* ---- Golden session ---- */

static char *
read_file(const char *path)
{
	struct ld_buf b = {0};
	char chunk[4096];
	FILE *f = fopen(path, "r");
	size_t n;

	if (f == NULL)
		return NULL;
	while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0)
		ld_buf_add(&b, chunk, n);
	fclose(f);
	ld_buf_cstr(&b);
	return b.p;
}

static void
keep_golden(const char *text)
{
	FILE *f = fopen(GOLDEN, "w");

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	fputs(text, f);
	fclose(f);
}

static void
note(const char *what)
{
	ld_buf_printf(
	    &w.trace, "%llu -- %s\n", (unsigned long long)w.now_ms, what);
}

/*
 * Formation, a lost write response, a killed member, a frozen lease holder
 * whose lease expires, a store outage. Set LD_GOLDEN_WRITE to record it again.
 */
static void
test_golden_session(void)
{
	char *expected;
	int holder;

	world_new(4, true, 2, false);
	w.tracing = true;
	note("start, the answer to the first write is lost");
	w.lose_write = true;
	run_until(20000);
	note("a member is killed and comes back empty");
	w.engines[0].down_until_ms = w.now_ms + 4000;
	w.engines[0].replica[0] = '\0';
	w.engines[0].epoch = 0;
	w.engines[0].fence = 0;
	w.engines[0].incarnation++;
	run_for(15000);
	note("the holder is frozen past its lease");
	holder = ld_replica_role(w.nodes[0].c) == LD_REPLICA_HOLDER ? 0 : 1;
	w.nodes[holder].paused_until_ms = w.now_ms + 12000;
	run_for(20000);
	note("the store is out");
	w.store.out_until_ms = w.now_ms + 8000;
	run_for(20000);
	CU_ASSERT_EQUAL(count_serving("large"), 2);
	CU_ASSERT_EQUAL(w.violations + w.overlaps, 0);
	if (getenv("LD_GOLDEN_WRITE") != NULL)
		keep_golden(ld_buf_cstr(&w.trace));
	expected = read_file(GOLDEN);
	CU_ASSERT_PTR_NOT_NULL_FATAL(expected);
	if (expected != NULL)
		CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&w.trace), expected);
	free(expected);
	world_free();
}

/* ---- Spares ---- */

static void
test_spares_follow_the_weights(void)
{
	struct ld_replica_config c;
	uint16_t last = UINT16_MAX;

	ld_replica_defaults(&c);
	c.plan.stranded_weight = 1.0;
	c.plan.downtime_weight = 30.0;
	for (int i = 0; i < 10; i++) {
		uint16_t n;

		c.plan.downtime_weight /= 3.0;
		n = ld_replica_spare_count(&c.plan, 100);
		CU_ASSERT(n <= last);
		last = n;
	}
	CU_ASSERT_EQUAL(last, 0);
	c.plan.downtime_weight = 30.0;
	CU_ASSERT(ld_replica_spare_count(&c.plan, 100) >= 1);
	c.plan.fixed_spares = 3;
	CU_ASSERT_EQUAL(ld_replica_spare_count(&c.plan, 100), 3);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a stale router never sees two", test_stale_router_never_sees_two},
	    {"leaving member is drained first",
		test_leaving_member_is_drained_first},
	    {"successor waits", test_successor_waits},
	    {"nothing is done without models",
		test_nothing_is_done_without_models},
	    {"golden session", test_golden_session},
	    {"spares follow the weights", test_spares_follow_the_weights},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	ld_log_init("test", LD_LOG_ERR);
	return ld_test_main("replica", cases);
}
