/* Server health: choice of probers, fault detection, rejected reports. */
#include "health_world.h"
#include "ld_test.h"

#define SETTLE_MS 8000

static size_t
count_probers(const struct hw *w, size_t server, const char *zone)
{
	size_t n = 0;

	for (size_t i = 0; i < w->node_count; i++) {
		if (w->nodes[i].down ||
		    (zone != NULL && strcmp(w->nodes[i].zone, zone) != 0))
			continue;
		n += ld_health_is_prober(
		    w->nodes[i].h, ld_str_c(w->servers[server].address));
	}
	return n;
}

static void
test_probers_of_own_domain(void)
{
	struct hw w;

	hw_init(&w, 1, 21, 30, 3);
	for (size_t s = 0; s < w.server_count; s++) {
		CU_ASSERT_EQUAL(count_probers(&w, s, NULL), 3);
		CU_ASSERT_EQUAL(count_probers(&w, s, w.servers[s].zone), 3);
	}
	/* One node left in the domain: two probers come from other domains. */
	for (size_t i = 3; i < w.node_count; i += 3)
		w.nodes[i].down = true;
	hw_lists(&w);
	for (size_t s = 0; s < w.server_count; s += 3) {
		CU_ASSERT_EQUAL(count_probers(&w, s, NULL), 3);
		CU_ASSERT_EQUAL(count_probers(&w, s, "z0"), 1);
	}
	hw_free(&w);
}

/* Time until every observing node has detected the fault of server 0. */
static uint64_t
time_to_notice(uint64_t seed, enum hw_fault fault)
{
	struct hw w;
	uint64_t start;
	bool noticed = false;

	hw_init(&w, seed, 8, 12, 3);
	w.loss = 0.02;
	w.jitter_ms = 4;
	hw_run(&w, SETTLE_MS);
	for (size_t i = 0; i < w.observers; i++)
		CU_ASSERT(hw_holds(&w, i, 0));
	w.servers[0].fault = fault;
	start = w.now_ms;
	while (!noticed && w.now_ms < start + 20000) {
		hw_step(&w);
		noticed = true;
		for (size_t i = 0; i < w.observers; i++) {
			struct ld_health_view v = hw_view(&w, i, 0);

			if (fault == HW_SLOW)
				noticed = noticed && v.straggler;
			else
				noticed = noticed && !hw_holds(&w, i, 0);
		}
	}
	CU_ASSERT(noticed);
	if (fault == HW_SLOW)
		CU_ASSERT(hw_holds(&w, 0, 0));
	w.servers[0].fault = HW_FINE;
	hw_run(&w, 10000);
	CU_ASSERT(hw_holds(&w, 0, 0));
	CU_ASSERT_FALSE(hw_view(&w, 0, 0).straggler);
	start = w.now_ms - start - 10000;
	hw_free(&w);
	return start;
}

static void
test_faults_are_noticed(void)
{
	static const struct {
		enum hw_fault fault;
		uint64_t bound_ms;
	} cases[] = {{HW_KILLED, 2000}, {HW_FROZEN, 4000}, {HW_ISOLATED, 4000},
	    {HW_SLOW, 15000}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (uint64_t seed = 1; seed <= 20; seed++)
			CU_ASSERT(time_to_notice(seed, cases[i].fault) <=
			    cases[i].bound_ms);
	}
}

static void
test_no_false_deaths(void)
{
	struct hw w;
	size_t dead = 0, unreliable = 0;

	hw_init(&w, 5, 8, 60, 3);
	w.loss = 0.02;
	w.jitter_ms = 10;
	hw_run(&w, SETTLE_MS);
	for (int step = 0; step < 6000; step++) {
		hw_step(&w);
		for (size_t s = 0; s < w.server_count; s++) {
			dead += hw_view(&w, 0, s).state == LD_HEALTH_DEAD;
			unreliable += !hw_holds(&w, 0, s);
		}
	}
	CU_ASSERT_EQUAL(dead, 0);
	CU_ASSERT_EQUAL(unreliable, 0);
	hw_free(&w);
}

static void
test_one_cut_off_prober_kills_nobody(void)
{
	struct hw w;

	hw_init(&w, 6, 4, 8, 1);
	hw_run(&w, SETTLE_MS);
	/* All probes of node 3 fail, while peers still receive its reports. */
	for (int i = 0; i < 1000; i++) {
		for (size_t e = 0; e < w.event_count; e++) {
			if (w.events[e].node == 3 && !w.events[e].report)
				w.events[e].outcome = LD_HEALTH_TIMED_OUT;
		}
		hw_step(&w);
		for (size_t s = 0; s < w.server_count; s++)
			CU_ASSERT_NOT_EQUAL(
			    hw_view(&w, 0, s).state, LD_HEALTH_DEAD);
	}
	hw_free(&w);
}

static void
test_returned_server_is_new(void)
{
	struct hw w;
	struct ld_health_view v;

	hw_init(&w, 7, 4, 8, 1);
	hw_run(&w, SETTLE_MS);
	w.servers[0].fault = HW_KILLED;
	hw_run(&w, 5000);
	CU_ASSERT_EQUAL(hw_view(&w, 0, 0).state, LD_HEALTH_DEAD);
	w.servers[0].fault = HW_FINE;
	w.servers[0].run = 1;
	hw_run(&w, 5000);
	v = hw_view(&w, 0, 0);
	CU_ASSERT_EQUAL(v.state, LD_HEALTH_LIVE);
	CU_ASSERT_STRING_EQUAL(v.incarnation, "run1");
	CU_ASSERT_FALSE(hw_holds(&w, 0, 0));
	hw_free(&w);
}

/* A delayed report is no evidence of the present state. */
static void
test_delayed_reports_are_not_fresh(void)
{
	struct ld_health_config c;
	struct ld_health_server server = {
	    LD_STR("10.0.0.1:9100"), LD_STR("z1"), false};
	struct ld_health_report r = {.reporter = "n2",
	    .address = "10.0.0.1:9100",
	    .replica = "r1",
	    .epoch = 3,
	    .ready = true,
	    .run = 9};
	struct ld_health *h;
	uint64_t now = 500000;

	ld_health_defaults(&c);
	c.self = LD_STR("n1");
	c.zone = LD_STR("z1");
	h = ld_health_new(&c, now);
	ld_health_set_servers(h, &server, 1, now);
	/* The age of a reporter's first report is unknown. */
	r.sent_ms = 77000;
	r.seq = 1;
	CU_ASSERT_EQUAL(ld_health_peer_report(h, &r, now), LD_E_STALE);
	r.sent_ms += 4000;
	r.seq++;
	now += 4000;
	CU_ASSERT_EQUAL(ld_health_peer_report(h, &r, now), LD_OK);
	CU_ASSERT(ld_health_is_usable(h, server.address, LD_STR("r1"), 3, now));
	CU_ASSERT_FALSE(
	    ld_health_is_usable(h, server.address, LD_STR("r1"), 4, now));
	CU_ASSERT_FALSE(ld_health_is_usable(
	    h, server.address, LD_STR("r1"), 3, now + c.report_ttl_ms));
	/* After two seconds in transit, one second of the TTL remains. */
	r.sent_ms += 1000;
	r.seq++;
	now += 3000;
	CU_ASSERT_EQUAL(ld_health_peer_report(h, &r, now), LD_OK);
	CU_ASSERT(ld_health_is_usable(h, server.address, LD_STR("r1"), 3, now));
	CU_ASSERT_FALSE(ld_health_is_usable(
	    h, server.address, LD_STR("r1"), 3, now + 1000));
	r.seq++;
	now += 6000;
	CU_ASSERT_EQUAL(ld_health_peer_report(h, &r, now), LD_E_STALE);
	r.seq = 2;
	r.sent_ms += 6000;
	CU_ASSERT_EQUAL(ld_health_peer_report(h, &r, now), LD_E_STALE);
	ld_health_free(h);
}

static void
test_own_calls_are_evidence(void)
{
	struct hw w;
	struct ld_str a;
	uint64_t before;

	hw_init(&w, 8, 8, 6, 1);
	hw_run(&w, SETTLE_MS);
	a = ld_str_c(w.servers[0].address);
	for (size_t i = 0; i < w.node_count; i++) {
		uint64_t now = w.now_ms + w.nodes[i].clock_ms;

		if (ld_health_is_prober(w.nodes[i].h, a))
			continue;
		ld_health_call_result(
		    w.nodes[i].h, a, LD_HEALTH_TIMED_OUT, 0, now);
		CU_ASSERT_EQUAL(hw_view(&w, i, 0).state, LD_HEALTH_LIVE);
		ld_health_call_result(
		    w.nodes[i].h, a, LD_HEALTH_TIMED_OUT, 0, now);
		CU_ASSERT_EQUAL(hw_view(&w, i, 0).state, LD_HEALTH_SUSPECT);
		before = w.probes;
		hw_run(&w, (uint64_t)HW_TURN_STEPS * HW_STEP_MS);
		CU_ASSERT(w.probes > before);
		hw_run(&w, 1000);
		CU_ASSERT_EQUAL(hw_view(&w, i, 0).state, LD_HEALTH_LIVE);
		break;
	}
	hw_free(&w);
}

#define MUTATIONS 100000

static void
test_report_parser_holds(void)
{
	struct ld_health_report r = {.reporter = "10.2.0.1:7000",
	    .address = "10.1.0.1:9100",
	    .replica = "f1-r1",
	    .incarnation = "abc",
	    .epoch = 1ULL << 40,
	    .run = UINT64_MAX,
	    .seq = 5,
	    .sent_ms = 123456789,
	    .slots = 16,
	    .age_ms = 250};
	struct ld_health_report back;
	struct ld_buf b = {0}, m = {0};
	struct ld_rand rand;

	ld_health_report_encode(&r, &b);
	CU_ASSERT_EQUAL(ld_health_report_decode(ld_buf_str(&b), &back), LD_OK);
	CU_ASSERT_STRING_EQUAL(back.reporter, r.reporter);
	CU_ASSERT_STRING_EQUAL(back.address, r.address);
	CU_ASSERT_STRING_EQUAL(back.replica, r.replica);
	CU_ASSERT_STRING_EQUAL(back.incarnation, r.incarnation);
	CU_ASSERT_EQUAL(back.epoch, r.epoch);
	CU_ASSERT_EQUAL(back.run, r.run);
	CU_ASSERT_EQUAL(back.seq, r.seq);
	CU_ASSERT_EQUAL(back.sent_ms, r.sent_ms);
	CU_ASSERT_EQUAL(back.slots, r.slots);
	CU_ASSERT_EQUAL(back.age_ms, r.age_ms);
	ld_rand_seed(&rand, 11);
	for (int i = 0; i < MUTATIONS; i++) {
		size_t n = 1 + ld_rand_below(&rand, 4);

		m.len = 0;
		ld_buf_adds(&m, ld_buf_str(&b));
		while (n-- > 0)
			m.p[ld_rand_below(&rand, m.len)] =
			    (char)ld_rand_u64(&rand);
		m.len -= ld_rand_below(&rand, 4) == 0
		    ? ld_rand_below(&rand, m.len)
		    : 0;
		if (ld_health_report_decode(ld_buf_str(&m), &back) == LD_OK)
			CU_ASSERT_FATAL(back.verdict < LD_HEALTH_VERDICT_COUNT);
	}
	ld_buf_free(&b);
	ld_buf_free(&m);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"probers of the own domain", test_probers_of_own_domain},
	    {"faults are noticed", test_faults_are_noticed},
	    {"no false deaths", test_no_false_deaths},
	    {"a prober that is cut off kills nobody",
		test_one_cut_off_prober_kills_nobody},
	    {"a server that returned is new", test_returned_server_is_new},
	    {"delayed reports are not fresh",
		test_delayed_reports_are_not_fresh},
	    {"own calls are evidence", test_own_calls_are_evidence},
	    {"report parser holds", test_report_parser_holds},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("health", cases);
}
