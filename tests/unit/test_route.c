/* Usability and choice of replicas, running calls, services and retries. */
#include <string.h>

#include "ld_route.h"
#include "ld_test.h"

#define SEED 4

static struct ld_route *
route_new(const char *domain)
{
	struct ld_route_config c = {.domain = ld_str_c(domain), .seed = SEED};

	return ld_route_new(&c);
}

static const struct ld_str members_a[] = {
    {"127.0.0.1:1", 11}, {"127.0.0.1:2", 11}};
static const struct ld_str members_b[] = {
    {"127.0.0.1:3", 11}, {"127.0.0.1:4", 11}};

static void
place_two(struct ld_route *r, uint64_t revision, uint64_t epoch_a,
    enum ld_route_state state_a)
{
	struct ld_route_replica list[] = {
	    {LD_STR("a"), LD_STR("m"), LD_STR("z1"), epoch_a, state_a,
		members_a, 2},
	    {LD_STR("b"), LD_STR("m"), LD_STR("z2"), 1, LD_ROUTE_SERVING,
		members_b, 2},
	};

	CU_ASSERT_EQUAL(
	    ld_route_set_placement(r, 0, LD_STR("f"), revision, list, 2),
	    LD_OK);
}

static void
report(struct ld_route *r, const char *address, const char *replica,
    uint64_t epoch, bool ready, uint64_t at_ms)
{
	struct ld_route_health h = {
	    ld_str_c(address), ld_str_c(replica), epoch, ready, at_ms};

	ld_route_report_health(r, at_ms, &h);
}

static void
report_all(struct ld_route *r, uint64_t at_ms)
{
	report(r, "127.0.0.1:1", "a", 1, true, at_ms);
	report(r, "127.0.0.1:2", "a", 1, true, at_ms);
	report(r, "127.0.0.1:3", "b", 1, true, at_ms);
	report(r, "127.0.0.1:4", "b", 1, true, at_ms);
}

static void
test_fit_needs_every_member(void)
{
	struct ld_route *r = route_new("z1");

	place_two(r, 1, 1, LD_ROUTE_SERVING);
	CU_ASSERT_FALSE(ld_route_fit(r, 100, LD_STR("a"), 1));
	report(r, "127.0.0.1:1", "a", 1, true, 100);
	CU_ASSERT_FALSE(ld_route_fit(r, 100, LD_STR("a"), 1));
	report(r, "127.0.0.1:2", "a", 1, true, 100);
	CU_ASSERT_TRUE(ld_route_fit(r, 100, LD_STR("a"), 1));
	CU_ASSERT_FALSE(ld_route_fit(r, 100, LD_STR("a"), 2));
	CU_ASSERT_TRUE(
	    ld_route_fit(r, 100 + LD_ROUTE_HEALTH_FRESH_MS, LD_STR("a"), 1));
	CU_ASSERT_FALSE(
	    ld_route_fit(r, 101 + LD_ROUTE_HEALTH_FRESH_MS, LD_STR("a"), 1));
	ld_route_free(r);
}

static void
test_fit_follows_the_newest_report(void)
{
	struct ld_route *r = route_new("z1");

	place_two(r, 1, 1, LD_ROUTE_SERVING);
	report_all(r, 100);
	/* The instance is ready again, but in another replica. */
	report(r, "127.0.0.1:2", "c", 1, true, 200);
	CU_ASSERT_FALSE(ld_route_fit(r, 200, LD_STR("a"), 1));
	report(r, "127.0.0.1:2", "a", 1, true, 150);
	CU_ASSERT_FALSE(ld_route_fit(r, 200, LD_STR("a"), 1));
	report(r, "127.0.0.1:2", "a", 2, true, 300);
	CU_ASSERT_FALSE(ld_route_fit(r, 300, LD_STR("a"), 1));
	report(r, "127.0.0.1:2", "a", 1, false, 400);
	CU_ASSERT_FALSE(ld_route_fit(r, 400, LD_STR("a"), 1));
	report(r, "127.0.0.1:2", "a", 1, true, 500);
	CU_ASSERT_TRUE(ld_route_fit(r, 500, LD_STR("a"), 1));
	ld_route_mark_dead(r, 600, LD_STR("127.0.0.1:2"));
	CU_ASSERT_FALSE(ld_route_fit(r, 600, LD_STR("a"), 1));
	report(r, "127.0.0.1:2", "a", 1, true, 550);
	CU_ASSERT_FALSE(ld_route_fit(r, 600, LD_STR("a"), 1));
	report(r, "127.0.0.1:2", "a", 1, true, 700);
	CU_ASSERT_TRUE(ld_route_fit(r, 700, LD_STR("a"), 1));
	ld_route_free(r);
}

static void
test_calls_on_an_unfit_replica_resume(void)
{
	struct ld_route *r = route_new("z1");
	struct ld_route_action act;

	place_two(r, 1, 1, LD_ROUTE_SERVING);
	report_all(r, 100);
	ld_route_started(r, 100, LD_STR("a"), 1, 7);
	ld_route_started(r, 100, LD_STR("a"), 1, 8);
	ld_route_started(r, 100, LD_STR("b"), 1, 9);
	ld_route_tick(r, 200);
	CU_ASSERT_FALSE(ld_route_next_action(r, &act));
	ld_route_finished(r, 250, 8);
	ld_route_mark_dead(r, 300, LD_STR("127.0.0.1:2"));
	CU_ASSERT_TRUE(ld_route_next_action(r, &act));
	CU_ASSERT_EQUAL(act.call, 7);
	CU_ASSERT_TRUE(ld_str_eq(act.replica, LD_STR("a")));
	CU_ASSERT_FALSE(ld_route_next_action(r, &act));
	ld_route_tick(r, 400);
	CU_ASSERT_FALSE(ld_route_next_action(r, &act));
	/* A call that starts on a replaced epoch is resumed at once. */
	place_two(r, 2, 2, LD_ROUTE_SERVING);
	ld_route_started(r, 500, LD_STR("a"), 1, 10);
	CU_ASSERT_TRUE(ld_route_next_action(r, &act));
	CU_ASSERT_EQUAL(act.call, 10);
	ld_route_free(r);
}

static void
test_placement_never_goes_back(void)
{
	struct ld_route *r = route_new("z1");
	struct ld_route_action act;

	place_two(r, 5, 1, LD_ROUTE_SERVING);
	report_all(r, 100);
	ld_route_started(r, 100, LD_STR("a"), 1, 7);
	CU_ASSERT_EQUAL(ld_route_set_placement(r, 100, LD_STR("f"), 4, NULL, 0),
	    LD_E_STALE);
	CU_ASSERT_TRUE(ld_route_fit(r, 100, LD_STR("a"), 1));
	CU_ASSERT_EQUAL(
	    ld_route_set_placement(r, 100, LD_STR("f"), 6, NULL, 0), LD_OK);
	CU_ASSERT_FALSE(ld_route_fit(r, 100, LD_STR("a"), 1));
	CU_ASSERT_TRUE(ld_route_next_action(r, &act));
	CU_ASSERT_EQUAL(act.call, 7);
	ld_route_free(r);
}

static enum ld_status
pick(struct ld_route *r, uint64_t now_ms, const char *excluded,
    struct ld_route_choice *c)
{
	struct ld_route_request q = {LD_STR("m"), 0, ld_str_c(excluded)};

	return ld_route_pick(r, now_ms, &q, c);
}

static void
test_pick_prefers_the_own_domain(void)
{
	struct ld_route *r = route_new("z1");
	struct ld_route_choice c;
	struct ld_route_load full = {LD_STR("a"), 16, 8, 16, 150};

	CU_ASSERT_EQUAL(pick(r, 0, "", &c), LD_E_NOT_FOUND);
	place_two(r, 1, 1, LD_ROUTE_SERVING);
	CU_ASSERT_EQUAL(pick(r, 0, "", &c), LD_E_UNAVAILABLE);
	report_all(r, 100);
	CU_ASSERT_EQUAL(ld_route_capacity(r, 100), 32);
	for (int i = 0; i < 20; i++) {
		CU_ASSERT_EQUAL(pick(r, 100, "", &c), LD_OK);
		CU_ASSERT_TRUE(ld_str_eq(c.replica, LD_STR("a")));
	}
	CU_ASSERT_EQUAL(pick(r, 100, "a", &c), LD_OK);
	CU_ASSERT_TRUE(ld_str_eq(c.replica, LD_STR("b")));
	CU_ASSERT_TRUE(c.cross_domain);
	ld_route_report_load(r, 150, &full);
	CU_ASSERT_EQUAL(pick(r, 150, "", &c), LD_OK);
	CU_ASSERT_TRUE(ld_str_eq(c.replica, LD_STR("b")));
	ld_route_free(r);
}

static void
test_draining_takes_nothing_new(void)
{
	struct ld_route *r = route_new("z1");
	struct ld_route_choice c;
	struct ld_route_action act;

	place_two(r, 1, 1, LD_ROUTE_SERVING);
	report_all(r, 100);
	ld_route_started(r, 100, LD_STR("a"), 1, 7);
	place_two(r, 2, 1, LD_ROUTE_DRAINING);
	CU_ASSERT_EQUAL(pick(r, 100, "", &c), LD_OK);
	CU_ASSERT_TRUE(ld_str_eq(c.replica, LD_STR("b")));
	CU_ASSERT_TRUE(ld_route_fit(r, 100, LD_STR("a"), 1));
	CU_ASSERT_FALSE(ld_route_next_action(r, &act));
	ld_route_set_leaving(r, 100, LD_STR("127.0.0.1:4"), true);
	CU_ASSERT_EQUAL(pick(r, 100, "", &c), LD_E_UNAVAILABLE);
	ld_route_set_leaving(r, 100, LD_STR("127.0.0.1:4"), false);
	CU_ASSERT_EQUAL(pick(r, 100, "", &c), LD_OK);
	ld_route_free(r);
}

static void
test_services(void)
{
	struct ld_route *r = route_new("z1");
	struct ld_route_server list[] = {
	    {LD_STR("s1"), LD_STR("z1"), false},
	    {LD_STR("s2"), LD_STR("z2"), false},
	};
	struct ld_str at, none = {NULL, 0};

	CU_ASSERT_EQUAL(ld_route_service_pick(r, 0, LD_STR("d"), none, &at),
	    LD_E_NOT_FOUND);
	ld_route_set_servers(r, 0, LD_STR("d"), list, 2);
	ld_route_service_pick(r, 0, LD_STR("d"), none, &at);
	CU_ASSERT_TRUE(ld_str_eq(at, LD_STR("s1")));
	ld_route_service_pick(r, 0, LD_STR("d"), LD_STR("s1"), &at);
	CU_ASSERT_TRUE(ld_str_eq(at, LD_STR("s2")));
	ld_route_service_started(r, LD_STR("d"), LD_STR("s1"));
	ld_route_service_finished(r, 10, LD_STR("d"), LD_STR("s1"), true);
	ld_route_service_pick(r, 20, LD_STR("d"), none, &at);
	CU_ASSERT_TRUE(ld_str_eq(at, LD_STR("s2")));
	list[1].leaving = true;
	ld_route_set_servers(r, 30, LD_STR("d"), list, 2);
	ld_route_service_pick(r, 30, LD_STR("d"), LD_STR("s1"), &at);
	CU_ASSERT_TRUE(ld_str_eq(at, LD_STR("s1")));
	list[0].leaving = true;
	ld_route_set_servers(r, 40, LD_STR("d"), list, 2);
	CU_ASSERT_EQUAL(ld_route_service_pick(r, 40, LD_STR("d"), none, &at),
	    LD_E_UNAVAILABLE);
	ld_route_free(r);
}

static void
test_retry_budget(void)
{
	struct ld_route *r = route_new("z1");
	unsigned int requests = 1000, retries = 0;

	CU_ASSERT_EQUAL(
	    ld_route_reserve_retry(r, 0, false, 1000), LD_E_INVALID);
	CU_ASSERT_EQUAL(
	    ld_route_reserve_retry(r, 1000, true, 1000), LD_E_TIMEOUT);
	for (unsigned int i = 0; i < requests; i++) {
		ld_route_count_request(r, i);
		while (ld_route_reserve_retry(r, i, true, 100000) == LD_OK)
			retries++;
	}
	CU_ASSERT_TRUE(retries > requests / 20);
	CU_ASSERT_TRUE(retries < requests / 10);
	CU_ASSERT_EQUAL(
	    ld_route_reserve_retry(r, 2000, true, 100000), LD_E_LIMIT);
	ld_route_free(r);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"fit needs every member", test_fit_needs_every_member},
	    {"fit follows the newest report",
		test_fit_follows_the_newest_report},
	    {"calls on an unfit replica resume",
		test_calls_on_an_unfit_replica_resume},
	    {"placement never goes back", test_placement_never_goes_back},
	    {"the own domain is preferred", test_pick_prefers_the_own_domain},
	    {"draining takes nothing new", test_draining_takes_nothing_new},
	    {"services", test_services},
	    {"the retry budget", test_retry_budget},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("route", cases);
}
