/*
 * Load reports between nodes, without a network: a fleet on a simulated clock,
 * with seeded delays and losses. The prompt tokens that each node has received
 * reports of are compared with those that were sent.
 */
#include "aggregation_fleet.h"

/* Target of placement: a load report reaches every node within this time. */
#define REPORTED_WITHIN_MS 300

/* A prompt goes from a node to a head. */
static void
send_prompt(size_t node, int head, uint64_t tokens)
{
	struct node *n = &fleet.nodes[node];
	struct ld_server *s = head_at(n, head);

	ld_server_note_sent(s, tokens, fleet.now);
	s->last_byte_ms = fleet.now;
	n->sent[head] += tokens;
	fleet.sent_total[fleet.step % HISTORY][head] += tokens;
}

/* Sends @mean prompts on average: @mean rounded up or down at random. */
static void
send_prompts(double mean)
{
	int n = (int)mean;

	n += ld_rand_unit(&fleet.rand) < mean - n;
	for (; n > 0; n--) {
		size_t node = ld_rand_below(&fleet.rand, fleet.n);

		if (!fleet.nodes[node].down)
			send_prompt(node,
			    (int)ld_rand_below(&fleet.rand, HEADS),
			    500 + ld_rand_below(&fleet.rand, 3000));
	}
}

/* @per_s: prompts per second of the whole fleet */
static void
run(uint64_t ms, double per_s)
{
	for (uint64_t t = 0; t < ms; t += STEP_MS) {
		size_t before = fleet.step % HISTORY;

		fleet_advance();
		memcpy(fleet.sent_total[fleet.step % HISTORY],
		    fleet.sent_total[before], sizeof(fleet.sent_total[0]));
		send_prompts(per_s * STEP_MS / 1000);
		fleet_exchange();
	}
}

/*
 * The fraction of all tokens sent until REPORTED_WITHIN_MS ago that has been
 * reported to a node, at the worst node.
 */
static double
least_reported(void)
{
	size_t past = (fleet.step - REPORTED_WITHIN_MS / STEP_MS) % HISTORY;
	double least = 1;

	for (size_t i = 0; i < fleet.n; i++) {
		const struct node *n = &fleet.nodes[i];
		double reported = 0, sent = 0;

		for (int h = 0; h < HEADS; h++) {
			reported += (double)(n->reported[h] + n->sent[h]);
			sent += (double)fleet.sent_total[past][h];
		}
		if (!n->down && reported / sent < least)
			least = reported / sent;
	}
	return least;
}

/* The highest reported fraction of a head's sent tokens; above 1, tokens were
 * counted twice. */
static double
most_reported(void)
{
	double most = 0;

	for (size_t i = 0; i < fleet.n; i++) {
		const struct node *n = &fleet.nodes[i];

		for (int h = 0; h < HEADS; h++) {
			double reported = (double)(n->reported[h] + n->sent[h]);
			double sent =
			    (double)fleet.sent_total[fleet.step % HISTORY][h];

			if (!n->down && reported / sent > most)
				most = reported / sent;
		}
	}
	return most;
}

/* Resets the counts after all pending reports have been delivered. */
static void
reset_counts(void)
{
	run(600, 0);
	for (size_t i = 0; i < fleet.n; i++) {
		memset(fleet.nodes[i].reported, 0,
		    sizeof(fleet.nodes[i].reported));
		memset(fleet.nodes[i].sent, 0, sizeof(fleet.nodes[i].sent));
		fleet.nodes[i].received = fleet.nodes[i].bytes = 0;
	}
	memset(fleet.sent_total, 0, sizeof(fleet.sent_total));
}

/* ---- Tests ---- */

/* The size of kone-reititin-large, with its losses of datagrams. */
static void
test_all_get_reports_in_time(void)
{
	fleet_open(195, 0.0015);
	run(3000, 1000);
	reset_counts();
	run(4000, 1000);
	CU_ASSERT(least_reported() >= 0.97);
	CU_ASSERT(most_reported() <= 1.0);
	/* A small node's received bytes scale with the groups, not with the
	 * nodes: the bound of 11 KB/s on control traffic, over 4 s. */
	for (size_t i = 15; i < fleet.n; i++)
		CU_ASSERT(fleet.nodes[i].bytes <= 4 * 11000);
	fleet_close();
}

/* Twice the nodes, the same groups: no node receives more than before. */
static void
test_cost_does_not_grow_with_nodes(void)
{
	unsigned int most[2] = {0};
	static const size_t sizes[] = {195, 390};

	for (int k = 0; k < 2; k++) {
		fleet_open(sizes[k], 0);
		run(2000, 1000);
		reset_counts();
		run(2000, 1000);
		for (size_t i = 15; i < fleet.n; i++)
			if (fleet.nodes[i].bytes > most[k])
				most[k] = fleet.nodes[i].bytes;
		fleet_close();
	}
	CU_ASSERT(most[1] <= most[0] + most[0] / 5);
}

static void
test_few_nodes_report_directly(void)
{
	fleet_open(8, 0);
	run(2000, 300);
	reset_counts();
	run(2000, 300);
	CU_ASSERT(least_reported() >= 0.99);
	CU_ASSERT(most_reported() <= 1.0);
	for (size_t i = 0; i < fleet.n; i++)
		CU_ASSERT_PTR_NULL(
		    agg_current_aggregator(&fleet.nodes[i].a, fleet.now));
	fleet_close();
}

/* Nodes that have discovered each other choose the same aggregator, which
 * chooses itself. */
static void
test_all_choose_the_same(void)
{
	fleet_open(50, 0);
	run(1000, 100);
	for (size_t i = 0; i < fleet.n; i++) {
		struct peer *p =
		    agg_current_aggregator(&fleet.nodes[i].a, fleet.now);

		/* The first node of each failure domain chooses itself. */
		CU_ASSERT_EQUAL(p == NULL, i < 5);
		if (p != NULL)
			CU_ASSERT_EQUAL(index_of(p), i % 5);
	}
	fleet_close();
}

/* All large nodes of a failure domain fail at once and later restart. */
static void
test_aggregators_are_lost(void)
{
	static const size_t lost[] = {0, 5, 10};

	fleet_open(100, 0.0015);
	run(2000, 500);
	for (int k = 0; k < 3; k++)
		fleet.nodes[lost[k]].down = true;
	run(2500, 500);
	reset_counts();
	run(2000, 500);
	CU_ASSERT(least_reported() >= 0.97);
	CU_ASSERT(most_reported() <= 1.0);
	for (int k = 0; k < 3; k++) {
		stop_node(lost[k]);
		start_node(lost[k]);
		for (size_t i = 0; i < fleet.n; i++)
			if (i != lost[k]) {
				list_peer(&fleet.nodes[lost[k]], i);
				list_peer(&fleet.nodes[i], lost[k]);
			}
	}
	run(2500, 500);
	reset_counts();
	run(2000, 500);
	CU_ASSERT(least_reported() >= 0.97);
	CU_ASSERT(most_reported() <= 1.0);
	CU_ASSERT_EQUAL(
	    index_of(agg_current_aggregator(&fleet.nodes[20].a, fleet.now)), 0);
	fleet_close();
}

static void
test_aggregators_that_were_cut_off_find_each_other(void)
{
	static const uint64_t cut_ms[] = {4000, 7900, 12000};

	for (int i = 0; i < 3; i++) {
		fleet_open(195, 0.0015);
		run(2000, 500);
		for (size_t n = 0; n < 195; n += 3)
			fleet.nodes[n].cut = true;
		run(cut_ms[i], 500);
		for (size_t n = 0; n < 195; n += 3)
			fleet.nodes[n].cut = false;
		run(3000, 500);
		reset_counts();
		run(2000, 500);
		CU_ASSERT(least_reported() >= 0.97);
		CU_ASSERT(most_reported() <= 1.0);
		fleet_close();
	}
}

/* A node was suspended for seconds: its old prompts are not counted as new. */
static void
test_a_gap_is_not_counted(void)
{
	uint64_t reported;

	fleet_open(40, 0);
	run(2000, 300);
	fleet.nodes[17].down = true;
	run(100, 0);
	/* Prompts that are not reported for five seconds. */
	for (int h = 0; h < HEADS; h++)
		send_prompt(17, h, 5000);
	run(5000, 300);
	reset_counts();
	fleet.nodes[17].down = false;
	run(1000, 0);
	reported = 0;
	for (int h = 0; h < HEADS; h++)
		reported += fleet.nodes[20].reported[h];
	CU_ASSERT_EQUAL(reported, 0);
	fleet_close();
}

/* Each node receives an alarm once, although many nodes raise it. */
static void
test_alarms_reach_all(void)
{
	fleet_open(195, 0.0015);
	run(2000, 300);
	for (size_t i = 20; i < 60; i++)
		agg_alarm(&fleet.nodes[i].a, "m0/7", 7, fleet.now);
	run(250, 300);
	for (size_t i = 0; i < fleet.n; i++)
		if (i < 20 || i >= 60)
			CU_ASSERT_EQUAL(fleet.nodes[i].alarms, 1);
	/* Forwarding ends: no node receives the alarm again. */
	run(2000, 300);
	for (size_t i = 0; i < fleet.n; i++)
		CU_ASSERT(fleet.nodes[i].alarms <= 1);
	fleet_close();
}

/* More findings than one datagram takes reach each node, beside an alarm. */
static void
test_findings_reach_all(void)
{
	enum {
		COUNT = MESH_FINDINGS_MAX + 10
	};

	for (size_t nodes = 8; nodes <= 195; nodes += 187) {
		fleet_open(nodes, 0.0015);
		run(2000, 300);
		agg_alarm(&fleet.nodes[5].a, "m0/7", 7, fleet.now);
		for (uint64_t part = 1; part <= COUNT; part++) {
			struct ld_finding f = {.kind = LD_FINDING_CRASH,
			    .part = part,
			    .server = 3,
			    .request = 4};

			agg_finding(&fleet.nodes[5].a, &f, fleet.now);
		}
		run(250, 300);
		for (size_t i = 0; i < fleet.n; i++) {
			CU_ASSERT_EQUAL(
			    fleet.nodes[i].findings, i == 5 ? 0 : COUNT);
			CU_ASSERT_EQUAL(fleet.nodes[i].alarms, i == 5 ? 0 : 1);
		}
		/* Forwarding ends. */
		run(2000, 300);
		for (size_t i = 0; i < fleet.n; i++)
			CU_ASSERT(fleet.nodes[i].findings <= COUNT);
		fleet_close();
	}
}

/* Requests in flight are counted for as long as nodes report them. */
static void
test_requests_in_flight(void)
{
	const struct ld_server *s;

	fleet_open(60, 0);
	run(1000, 100);
	for (size_t i = 20; i < 50; i++)
		ld_servers_find(fleet.nodes[i].a.servers, LD_STR("h3"))
		    ->active = 2;
	run(500, 0);
	for (size_t i = 0; i < fleet.n; i++) {
		s = ld_servers_find(fleet.nodes[i].a.servers, LD_STR("h3"));
		CU_ASSERT_EQUAL(s->active + s->peer_active, 60);
	}
	for (size_t i = 20; i < 50; i++) {
		ld_servers_find(fleet.nodes[i].a.servers, LD_STR("h3"))
		    ->active = 0;
		fleet.nodes[i].down = i >= 40;
	}
	run(2000, 0);
	for (size_t i = 0; i < fleet.n; i++) {
		s = ld_servers_find(fleet.nodes[i].a.servers, LD_STR("h3"));
		if (!fleet.nodes[i].down)
			CU_ASSERT_EQUAL(s->active + s->peer_active, 0);
	}
	fleet_close();
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"all get reports in time", test_all_get_reports_in_time},
	    {"cost does not grow with nodes",
		test_cost_does_not_grow_with_nodes},
	    {"few nodes report directly", test_few_nodes_report_directly},
	    {"all choose the same", test_all_choose_the_same},
	    {"aggregators are lost", test_aggregators_are_lost},
	    {"aggregators that were cut off find each other",
		test_aggregators_that_were_cut_off_find_each_other},
	    {"a gap is not counted", test_a_gap_is_not_counted},
	    {"alarms reach all", test_alarms_reach_all},
	    {"findings reach all", test_findings_reach_all},
	    {"requests in flight", test_requests_in_flight},
	    {NULL, NULL},
	};

	return ld_test_main("aggregate", cases);
}
