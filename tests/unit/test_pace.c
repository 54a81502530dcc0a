/*
 * The pace that nodes learn of servers: nodes without knowledge of each other send
 * requests to servers of which some are slow, become slow or recover. Each server
 * takes longer the more requests it has.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "ld_pace.h"
#include "ld_test.h"

#define SECOND_MS 1000ULL

static void
add_for(struct ld_pace *p, uint64_t *now, uint64_t ms, uint64_t interval_ms,
    double ratio)
{
	for (uint64_t end = *now + ms; *now < end;) {
		*now += interval_ms;
		ld_pace_add(p, 100, 100 * ratio, *now);
	}
}

static void
test_a_change_is_followed_both_ways(void)
{
	struct ld_pace p = {0};
	uint64_t now = 1000;

	CU_ASSERT_EQUAL(ld_pace_factor(&p, now), 1.0);
	add_for(&p, &now, 5 * SECOND_MS, 100, 1);
	CU_ASSERT_DOUBLE_EQUAL(ld_pace_factor(&p, now), 1, 0.01);
	add_for(&p, &now, 3 * SECOND_MS, 100, 4);
	CU_ASSERT(ld_pace_factor(&p, now) > 2.5);
	add_for(&p, &now, 5 * SECOND_MS, 100, 1);
	CU_ASSERT(ld_pace_factor(&p, now) < 1.3);
}

/* A lost packet costs 200 ms. */
static void
test_one_outlier_changes_little(void)
{
	struct ld_pace p = {0};
	uint64_t now = 1000;

	add_for(&p, &now, 2 * SECOND_MS, 200, 1);
	ld_pace_add(&p, 20, 220, now);
	CU_ASSERT(ld_pace_factor(&p, now) < 1.1);
	/* Neither do two samples alone. */
	ld_pace_reset(&p);
	add_for(&p, &now, 200, 100, 8);
	CU_ASSERT_EQUAL(ld_pace_factor(&p, now), 1.0);
}

static void
test_without_samples_it_is_tried_again(void)
{
	struct ld_pace p = {0};
	uint64_t now = 1000;

	add_for(&p, &now, 2 * SECOND_MS, 100, 4);
	CU_ASSERT_DOUBLE_EQUAL(ld_pace_factor(&p, now), 4, 0.1);
	CU_ASSERT_DOUBLE_EQUAL(ld_pace_factor(&p, now + 4 * SECOND_MS), 2, 0.1);
	CU_ASSERT(ld_pace_factor(&p, now + 20 * SECOND_MS) < 1.1);
	CU_ASSERT_EQUAL(ld_pace_certainty(&p, now + 20 * SECOND_MS), 0);
}

/* All are slow alike: the load, or a wrong prediction. */
static void
test_what_all_share_is_no_difference(void)
{
	struct ld_pace p[5];
	const struct ld_pace *all[5];
	uint64_t now;

	memset(p, 0, sizeof(p));
	for (int i = 0; i < 5; i++) {
		now = 1000;
		add_for(&p[i], &now, 2 * SECOND_MS, 100, i == 4 ? 9 : 3);
		all[i] = &p[i];
	}
	CU_ASSERT_DOUBLE_EQUAL(ld_pace_relative(all, 5, all[0], now), 1, 0.01);
	CU_ASSERT_DOUBLE_EQUAL(ld_pace_relative(all, 5, all[4], now), 3, 0.05);
	/* One server alone shows nothing. */
	CU_ASSERT_EQUAL(ld_pace_relative(&all[4], 1, all[4], now), 1.0);
}

/* ---- Nodes that learn the same servers at once ---- */

#define NODES_MAX 195
#define SERVERS 7
#define SLOTS 6
#define STEP_MS 10
#define WORK_MS 60
#define REQUESTS_MAX 4096
#define REPORT_MS 100

struct flight {
	size_t node;
	size_t server;
	uint64_t sent_ms;
	uint64_t done_ms;
};

static struct {
	struct ld_pace pace[NODES_MAX][SERVERS];
	struct flight flights[REQUESTS_MAX];
	size_t flight_count;
	unsigned int active[SERVERS];
	unsigned int reported[SERVERS]; /* as all nodes know */
	double slowness[SERVERS];
	bool learns;
	struct ld_rand rand;
	uint64_t now;
	unsigned int sent[SERVERS];
	double sum_ms;
	unsigned int answered;
} w;

/* A server slows down from half of its slots on. */
static double
work_ms(size_t server)
{
	double use = (double)w.active[server] / SLOTS;

	return WORK_MS * w.slowness[server] * (use > 0.5 ? 0.5 + use : 1);
}

/* As lib/dispatch does for servers without engines. */
static size_t
pick(size_t node)
{
	const struct ld_pace *all[SERVERS];
	size_t best = 0;
	double best_cost = HUGE_VAL;

	for (size_t i = 0; i < SERVERS; i++)
		all[i] = &w.pace[node][i];
	for (size_t i = 0; i < SERVERS; i++) {
		double factor = w.learns
		    ? ld_pace_relative(all, SERVERS, all[i], w.now)
		    : 1;
		double cost =
		    factor * (1 + w.reported[i]) + ld_rand_unit(&w.rand);

		if (cost < best_cost) {
			best_cost = cost;
			best = i;
		}
	}
	return best;
}

static void
step(size_t nodes, double per_s)
{
	size_t kept = 0;

	w.now += STEP_MS;
	for (size_t i = 0; i < w.flight_count; i++) {
		struct flight *f = &w.flights[i];

		if (f->done_ms > w.now) {
			w.flights[kept++] = *f;
			continue;
		}
		w.active[f->server]--;
		w.sum_ms += (double)(w.now - f->sent_ms);
		w.answered++;
		ld_pace_add(&w.pace[f->node][f->server], WORK_MS,
		    (double)(w.now - f->sent_ms), w.now);
	}
	w.flight_count = kept;
	if (w.now % REPORT_MS == 0)
		memcpy(w.reported, w.active, sizeof(w.reported));
	if (ld_rand_unit(&w.rand) < per_s * STEP_MS / 1000 &&
	    w.flight_count < REQUESTS_MAX) {
		size_t node = ld_rand_below(&w.rand, (uint32_t)nodes);
		size_t server = pick(node);

		w.active[server]++;
		w.sent[server]++;
		w.flights[w.flight_count++] = (struct flight){
		    node, server, w.now, w.now + (uint64_t)work_ms(server)};
	}
}

static double
run(size_t nodes, double per_s, uint64_t ms)
{
	memset(w.sent, 0, sizeof(w.sent));
	w.sum_ms = 0;
	w.answered = 0;
	for (uint64_t end = w.now + ms; w.now < end;)
		step(nodes, per_s);
	return w.sum_ms / w.answered;
}

static void
open_world(bool learns)
{
	memset(&w, 0, sizeof(w));
	w.now = 1000;
	w.learns = learns;
	ld_rand_seed(&w.rand, 7);
	for (size_t i = 0; i < SERVERS; i++)
		w.slowness[i] = 1;
}

/* Callers get their answers sooner, and the share of the slow server is stable:
 * in no second it gets half of the requests. */
static void
check_slow_server(size_t nodes, double per_s)
{
	double with, without;
	unsigned int most = 0;

	open_world(false);
	w.slowness[2] = 6;
	without = run(nodes, per_s, 20 * SECOND_MS);
	open_world(true);
	w.slowness[2] = 6;
	(void)run(nodes, per_s, 10 * SECOND_MS);
	with = run(nodes, per_s, 20 * SECOND_MS);
	CU_ASSERT(with < without);
	printf("%zu nodes, %.0f a second: mean %.0f ms, %.0f ms learned\n",
	    nodes, per_s, without, with);
	for (int i = 0; i < 10; i++) {
		(void)run(nodes, per_s, SECOND_MS);
		if (w.sent[2] > most)
			most = w.sent[2];
	}
	CU_ASSERT(most < per_s / 2);
	/* It has recovered: its part of the requests comes back. */
	w.slowness[2] = 1;
	(void)run(nodes, per_s, 10 * SECOND_MS);
	(void)run(nodes, per_s, 5 * SECOND_MS);
	CU_ASSERT(w.sent[2] * 2 * SERVERS >= per_s * 5);
}

static void
test_nodes_that_learn_at_once_do_not_oscillate(void)
{
	check_slow_server(1, 80);
	check_slow_server(8, 80);
	check_slow_server(24, 80);
}

/* Too few answers for each node: nothing is learned, and nothing lost. */
static void
test_many_nodes_with_few_answers_each(void)
{
	double with, without;

	open_world(false);
	w.slowness[2] = 6;
	without = run(195, 80, 20 * SECOND_MS);
	open_world(true);
	w.slowness[2] = 6;
	with = run(195, 80, 20 * SECOND_MS);
	CU_ASSERT(with < 1.1 * without);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a change is followed both ways",
		test_a_change_is_followed_both_ways},
	    {"one outlier changes little", test_one_outlier_changes_little},
	    {"without samples it is tried again",
		test_without_samples_it_is_tried_again},
	    {"what all share is no difference",
		test_what_all_share_is_no_difference},
	    {"nodes that learn at once do not oscillate",
		test_nodes_that_learn_at_once_do_not_oscillate},
	    {"many nodes with few answers each",
		test_many_nodes_with_few_answers_each},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("pace", cases);
}
