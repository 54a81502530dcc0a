/*
 * Load reports between nodes, without a network: a fleet on a simulated clock,
 * with seeded delays and losses. The prompt tokens that each node has received
 * reports of are compared with those that were sent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/relay/load_aggregation.h"
#include "engine_entry.h"
#include "ld_test.h"

#define SEED 20261204
#define STEP_MS 5
#define NODES_MAX 400
#define HEADS 60
#define FLIGHTS_MAX 60000
#define ALARMS_SEEN_MAX 16
/* Target of placement: a load report reaches every node within this time. */
#define REPORTED_WITHIN_MS 300
#define HISTORY 200 /* steps */

/** struct node - one process */
struct node {
	struct load_aggregation a; /* first member */
	struct fleet *fleet;
	char name[16];
	bool down;
	uint64_t reported[HEADS]; /* the others' prompt tokens, as reported */
	uint64_t sent[HEADS];
	unsigned int received; /* datagrams */
	unsigned int bytes;
	unsigned int alarms;
	unsigned int findings;
};

/** struct flight - a datagram in flight */
struct flight {
	uint64_t at_ms;
	size_t from, to;
	struct mesh_datagram *d;
};

struct fleet {
	struct node *nodes;
	size_t n;
	struct flight flights[FLIGHTS_MAX];
	size_t flight_count;
	struct ld_rand rand;
	uint64_t now;
	double loss;
	uint64_t sent_total[HISTORY][HEADS]; /* all tokens sent, by step */
	size_t step;
};

static struct fleet fleet;

static size_t
index_of(const struct peer *p)
{
	return (size_t)strtoul(p->name + 1, NULL, 10);
}

static void
send_datagram(struct load_aggregation *a, struct peer *const *to, size_t n,
    const struct mesh_datagram *d)
{
	struct node *from = (struct node *)a;
	struct fleet *f = from->fleet;

	for (size_t i = 0; i < n; i++) {
		struct flight *fl;

		if (ld_rand_unit(&f->rand) < f->loss)
			continue;
		CU_ASSERT_FATAL(f->flight_count < FLIGHTS_MAX);
		fl = &f->flights[f->flight_count++];
		*fl = (struct flight){f->now + 1 + ld_rand_below(&f->rand, 5),
		    (size_t)(from - f->nodes), index_of(to[i]),
		    ld_alloc(sizeof(*d))};
		*fl->d = *d;
	}
}

static size_t
head_of(const struct ld_server *s)
{
	return (size_t)strtoul(s->entry.id + 1, NULL, 10);
}

static void
on_prompt_sent(struct load_aggregation *a, struct ld_server *s, uint64_t tokens,
    uint64_t now_ms)
{
	((struct node *)a)->reported[head_of(s)] += tokens;
}

static void
on_alarm(struct load_aggregation *a, const struct mesh_alarm *alarm)
{
	((struct node *)a)->alarms++;
}

static void
on_finding(struct load_aggregation *a, const struct ld_finding *f)
{
	((struct node *)a)->findings++;
}

static void
add_head(struct ld_servers *t, int number)
{
	struct ld_server_entry e;
	char id[16];

	snprintf(id, sizeof(id), "h%d", number);
	e = engine_entry(id, "z");
	ld_servers_put(t, &e, 0);
}

static uint64_t
permille_of(size_t i)
{
	/* Three large nodes in each failure domain. */
	return i < 15 ? 500 : 120;
}

static uint32_t
domain_of(size_t i)
{
	static const char *const names[] = {"z0", "z1", "z2", "z3", "z4"};

	return agg_domain(ld_str_c(names[i % 5]));
}

static void
list_peer(struct node *at, size_t i)
{
	struct peer *p =
	    agg_peer_add(&at->a, ld_str_c(fleet.nodes[i].name), fleet.now);

	CU_ASSERT_PTR_NOT_NULL_FATAL(p);
	if (p == NULL)
		return;
	p->processor_permille = permille_of(i);
	p->domain = domain_of(i);
}

static void
start_node(size_t i)
{
	static const struct agg_ops ops = {
	    .send = send_datagram,
	    .prompt_sent = on_prompt_sent,
	    .alarm = on_alarm,
	    .finding = on_finding,
	};
	struct node *n = &fleet.nodes[i];

	memset(n, 0, sizeof(*n));
	n->fleet = &fleet;
	snprintf(n->name, sizeof(n->name), "n%03zu", i);
	n->a = (struct load_aggregation){.ops = &ops,
	    .name = n->name,
	    .domain = domain_of(i),
	    .processor_permille = permille_of(i),
	    .from_nodes = 16,
	    .can_delegate = true,
	    .servers = ld_servers_new(),
	    .next_ms = fleet.now + ld_rand_below(&fleet.rand, 100)};
	for (int h = 0; h < HEADS; h++)
		add_head(n->a.servers, h);
}

static void
fleet_open(size_t n, double loss)
{
	memset(&fleet, 0, sizeof(fleet));
	fleet.n = n;
	fleet.now = 1000;
	fleet.loss = loss;
	fleet.nodes = ld_alloc(n * sizeof(*fleet.nodes));
	ld_rand_seed(&fleet.rand, SEED);
	for (size_t i = 0; i < n; i++)
		start_node(i);
	for (size_t i = 0; i < n; i++)
		for (size_t k = 0; k < n; k++)
			if (i != k)
				list_peer(&fleet.nodes[i], k);
}

static void
stop_node(size_t i)
{
	ld_servers_free(fleet.nodes[i].a.servers);
	agg_free(&fleet.nodes[i].a);
}

static void
fleet_close(void)
{
	for (size_t i = 0; i < fleet.flight_count; i++)
		free(fleet.flights[i].d);
	for (size_t i = 0; i < fleet.n; i++)
		stop_node(i);
	free(fleet.nodes);
}

static unsigned int
size_of(const struct mesh_datagram *d)
{
	struct ld_buf b = {0};
	unsigned int n;

	mesh_encode(d, &b);
	n = (unsigned int)b.len;
	ld_buf_free(&b);
	return n;
}

static void
deliver(void)
{
	size_t kept = 0;

	for (size_t i = 0; i < fleet.flight_count; i++) {
		struct flight *fl = &fleet.flights[i];
		struct node *to = &fleet.nodes[fl->to];

		if (fl->at_ms > fleet.now) {
			fleet.flights[kept++] = *fl;
			continue;
		}
		if (!to->down) {
			to->received++;
			to->bytes += size_of(fl->d);
			agg_receive(&to->a,
			    agg_peer_find(
				&to->a, ld_str_c(fleet.nodes[fl->from].name)),
			    fl->d, fleet.now);
		}
		free(fl->d);
	}
	fleet.flight_count = kept;
}

/* A prompt goes from a node to a head. */
static void
send_prompt(size_t node, int head, uint64_t tokens)
{
	struct node *n = &fleet.nodes[node];
	char id[16];
	struct ld_server *s;

	snprintf(id, sizeof(id), "h%d", head);
	s = ld_servers_find(n->a.servers, ld_str_c(id));
	s->sent_tokens += tokens;
	s->uncounted_tokens += tokens;
	s->uncounted_ms = s->load_changed_ms = fleet.now;
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

		fleet.step++;
		memcpy(fleet.sent_total[fleet.step % HISTORY],
		    fleet.sent_total[before], sizeof(fleet.sent_total[0]));
		fleet.now += STEP_MS;
		send_prompts(per_s * STEP_MS / 1000);
		deliver();
		for (size_t i = 0; i < fleet.n; i++)
			if (!fleet.nodes[i].down)
				agg_tick(&fleet.nodes[i].a, fleet.now);
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
	    {"a gap is not counted", test_a_gap_is_not_counted},
	    {"alarms reach all", test_alarms_reach_all},
	    {"findings reach all", test_findings_reach_all},
	    {"requests in flight", test_requests_in_flight},
	    {NULL, NULL},
	};

	return ld_test_main("aggregate", cases);
}
