/*
 * Placement under load: many nodes with slightly outdated load reports run the
 * real decision module on a simulated clock. The results are compared with two
 * baselines: the group with the least predicted wait, and a random group.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_dispatch.h"
#include "engine_entry.h"
#include "ld_test.h"

#define NODES_MAX 200
#define GROUPS_MAX 128
#define SLOTS_MAX 64
#define QUEUE_MAX 26
#define STEP_MS 5
#define HISTORY 64
#define DOMAINS_MAX 8
#define RUN_MS 8000
/* Time to a first event beyond what the engine's published figures predict,
 * ms. */
#define FIRST_MS 93

/** struct spec - a fleet and its load; request sizes are means */
struct spec {
	size_t nodes;
	size_t domains;
	size_t groups;
	uint32_t slots;
	uint32_t stride; /* tokens per event */
	double pace;
	double per_s;
	double events;
	double prompt;
	uint64_t objective_ms;
	uint64_t report_age_ms; /* age of the other nodes' load */
	bool random_group; /* baseline: a random group */
	bool least_wait; /* baseline: the least predicted wait */
};

/** struct result - fractions of all requests */
struct result {
	double in_time;
	double refused;
	double worst_domain;
	double cold; /* over a new connection */
	double away; /* to another failure domain */
};

struct job {
	uint64_t sent_ms;
	double tokens;
	int events;
	int events_sent;
	size_t node;
};

struct group {
	struct job run[SLOTS_MAX];
	size_t running;
	struct job queue[QUEUE_MAX];
	size_t queued;
	double pass_end_ms;
};

struct world {
	struct spec s;
	struct ld_service_spec service;
	struct ld_model_spec model;
	struct ld_servers *nodes[NODES_MAX];
	struct ld_server *heads[NODES_MAX][GROUPS_MAX];
	struct group groups[GROUPS_MAX];
	/* Totals over all nodes, by step. */
	unsigned int active[HISTORY][GROUPS_MAX];
	uint64_t tokens[HISTORY][GROUPS_MAX];
	/* By node: tokens in the reports so far, and own tokens not in them. */
	uint64_t reported[NODES_MAX][GROUPS_MAX];
	uint64_t own_unreported[NODES_MAX][GROUPS_MAX];
	struct ld_rand rand;
	struct ld_dispatch_bias bias[NODES_MAX];
	uint64_t now;
	size_t step;
	double requests[DOMAINS_MAX], in_time[DOMAINS_MAX], refused, cold, away;
};

static struct world w;

static size_t
domain_of(size_t i)
{
	return i % w.s.domains;
}

static void
put_head(size_t node, size_t group)
{
	struct ld_server_entry e;
	char id[16], zone[16];

	snprintf(id, sizeof(id), "h%zu", group);
	snprintf(zone, sizeof(zone), "z%zu", domain_of(group));
	e = engine_entry(id, zone);
	e.member.state = LD_MEMBER_OPEN;
	e.member.group = ld_strdup(id);
	e.member.model = ld_strdup("m");
	w.heads[node][group] = ld_servers_put(w.nodes[node], &e, w.now);
}

static void
world_open(const struct spec *s)
{
	memset(&w, 0, sizeof(w));
	w.s = *s;
	w.now = 10000;
	ld_rand_seed(&w.rand, 11);
	w.model = (struct ld_model_spec){
	    .name = (char *)"m", .size = 1, .work_share = 1, .pace = s->pace};
	w.service = (struct ld_service_spec){.name = (char *)"llm"};
	w.service.engine = (struct ld_engine_spec){.slots = s->slots,
	    .step_us = 6450,
	    .step_per_request_us = 96.7,
	    .prefill_per_s = 56100,
	    .chunk_tokens = 2048,
	    .steps_per_pass = s->stride,
	    .usual_answer_tokens = (uint32_t)(s->events * s->stride),
	    .models = &w.model,
	    .model_count = 1};
	for (size_t n = 0; n < s->nodes; n++) {
		w.nodes[n] = ld_servers_new();
		for (size_t g = 0; g < s->groups; g++)
			put_head(n, g);
	}
}

static double
exponential(double mean)
{
	return -mean * log(1 - 0.9999 * ld_rand_unit(&w.rand));
}

/* Applies the totals of report_age_ms ago, less this node's own share. */
static void
apply_report(size_t n)
{
	size_t past =
	    (w.step + HISTORY - w.s.report_age_ms / STEP_MS) % HISTORY;

	for (size_t g = 0; g < w.s.groups; g++) {
		struct ld_server *s = w.heads[n][g];
		unsigned int all = w.active[past][g];
		uint64_t sent = w.tokens[past][g];
		uint64_t more =
		    sent > w.reported[n][g] ? sent - w.reported[n][g] : 0;
		uint64_t mine = more < w.own_unreported[n][g]
		    ? more
		    : w.own_unreported[n][g];

		s->peer_active = all > s->active ? all - s->active : 0;
		w.reported[n][g] += more;
		w.own_unreported[n][g] -= mine;
		if (more > mine)
			ld_dispatch_prompt_sent(
			    &w.service, s, more - mine, w.now);
	}
}

/* ---- Groups ---- */

static void
begin_pass(struct group *g, double at_ms)
{
	double ms = 0;

	while (g->running < w.s.slots && g->queued > 0) {
		g->run[g->running++] = g->queue[0];
		ms += w.s.pace * g->queue[0].tokens / 56.1;
		memmove(
		    g->queue, g->queue + 1, --g->queued * sizeof(g->queue[0]));
	}
	ms += w.s.pace * w.s.stride * (6.45 + 0.0967 * (double)g->running);
	g->pass_end_ms = g->running > 0 ? at_ms + ms : 0;
}

static void
first_event(const struct job *j, size_t number)
{
	struct ld_server *s = w.heads[j->node][number];
	double first = (double)(w.now - j->sent_ms) + FIRST_MS * w.s.pace;

	w.in_time[domain_of(j->node)] += first <= (double)w.s.objective_ms;
	s->last_byte_ms = w.now;
}

static void
end_pass(size_t number)
{
	struct group *g = &w.groups[number];
	size_t kept = 0;

	for (size_t i = 0; i < g->running; i++) {
		struct job *j = &g->run[i];

		if (j->events_sent++ == 0)
			first_event(j, number);
		w.heads[j->node][number]->last_byte_ms = w.now;
		if (j->events_sent < j->events)
			g->run[kept++] = *j;
		else
			w.heads[j->node][number]->active--;
	}
	g->running = kept;
	begin_pass(g, g->pass_end_ms);
}

/* ---- Requests ---- */

static struct ld_server *
choose(size_t n, struct ld_dispatch_request *rq, size_t *number)
{
	struct ld_dispatch_choice c;
	uint64_t best = UINT64_MAX;

	if (w.s.random_group) {
		*number = ld_rand_below(&w.rand, w.s.groups);
		return w.heads[n][*number];
	}
	if (!w.s.least_wait) {
		if (ld_dispatch_pick(w.nodes[n], rq, &w.rand, w.now, &c) !=
		    LD_DISPATCH_SEND)
			return NULL;
		*number = (size_t)strtoul(c.server->entry.id + 1, NULL, 10);
		return c.server;
	}
	for (size_t g = 0; g < w.s.groups; g++) {
		uint64_t ms = ld_dispatch_first_ms(&w.service.engine,
				  w.heads[n][g], rq->prompt_tokens, w.now) +
		    (domain_of(g) != domain_of(n) ? 8 : 0);

		if (ms < best) {
			best = ms;
			*number = g;
		}
	}
	return best + (uint64_t)(FIRST_MS * w.s.pace) <= w.s.objective_ms
	    ? w.heads[n][*number]
	    : NULL;
}

static void
request(void)
{
	size_t n = ld_rand_below(&w.rand, w.s.nodes), number = 0;
	struct job j = {.sent_ms = w.now,
	    .tokens = exponential(w.s.prompt),
	    .events = 1 + (int)exponential(w.s.events - 1),
	    .node = n};
	char zone[16];
	struct ld_dispatch_request rq = {.service = &w.service,
	    .model = LD_STR("m"),
	    .prompt_tokens = (uint64_t)j.tokens,
	    .remaining_ms = w.s.objective_ms,
	    .bias_ms = FIRST_MS * w.s.pace};
	struct ld_server *s;
	struct group *g;

	snprintf(zone, sizeof(zone), "z%zu", domain_of(n));
	rq.zone = ld_str_c(zone);
	w.requests[domain_of(n)]++;
	s = choose(n, &rq, &number);
	g = &w.groups[number];
	if (s == NULL || g->queued == QUEUE_MAX) {
		w.refused++;
		return;
	}
	ld_dispatch_prompt_sent(&w.service, s, rq.prompt_tokens, w.now);
	w.cold += s->active == 0 && w.now > s->last_byte_ms + 1500;
	w.away += domain_of(number) != domain_of(n);
	s->active++;
	w.own_unreported[n][number] += rq.prompt_tokens;
	w.tokens[w.step % HISTORY][number] += rq.prompt_tokens;
	g->queue[g->queued++] = j;
	if (g->pass_end_ms == 0)
		begin_pass(g, (double)w.now);
}

/* @mean arrivals on average: @mean rounded up or down at random. */
static int
arrivals(double mean)
{
	int n = (int)mean;

	return n + (ld_rand_unit(&w.rand) < mean - n);
}

static void
count_active(void)
{
	for (size_t g = 0; g < w.s.groups; g++)
		w.active[w.step % HISTORY][g] =
		    (unsigned int)(w.groups[g].running + w.groups[g].queued);
}

static struct result
run_load(const struct spec *s, uint64_t ms)
{
	struct result r = {.worst_domain = 1};
	double requests = 0, in_time = 0;

	world_open(s);
	for (uint64_t t = 0; t < ms; t += STEP_MS) {
		size_t before = w.step % HISTORY;

		w.step++;
		w.now += STEP_MS;
		memcpy(w.tokens[w.step % HISTORY], w.tokens[before],
		    sizeof(w.tokens[0]));
		for (size_t g = 0; g < s->groups; g++)
			while (w.groups[g].pass_end_ms != 0 &&
			    w.groups[g].pass_end_ms <= (double)w.now)
				end_pass(g);
		count_active();
		/* Each node gets a report every 100 ms, at its own phase. */
		for (size_t n = 0; n < s->nodes; n++)
			if ((w.step + n) % 20 == 0)
				apply_report(n);
		for (int n = arrivals(s->per_s * STEP_MS / 1000); n > 0; n--)
			request();
	}
	for (size_t d = 0; d < s->domains; d++) {
		double part = w.in_time[d] / w.requests[d];

		requests += w.requests[d];
		in_time += w.in_time[d];
		if (part < r.worst_domain)
			r.worst_domain = part;
	}
	r.in_time = in_time / requests;
	r.refused = w.refused / requests;
	r.cold = w.cold / requests;
	r.away = w.away / requests;
	for (size_t n = 0; n < s->nodes; n++)
		ld_servers_free(w.nodes[n]);
	return r;
}

/* The groups of four servers of kone-reititin-large, at @per_s requests. */
static struct spec
large_spec(double per_s)
{
	return (struct spec){.nodes = 195,
	    .domains = 5,
	    .groups = 95,
	    .slots = 13,
	    .stride = 10,
	    .pace = 0.6,
	    .per_s = per_s,
	    .events = 21.6,
	    .prompt = 674,
	    .objective_ms = 300,
	    .report_age_ms = 120};
}

/* @least, @any: results of the two baselines under the same load */
static struct result
run_with_baselines(
    const struct spec *s, struct result *least, struct result *any)
{
	struct spec other = *s;

	other.least_wait = true;
	*least = run_load(&other, RUN_MS);
	other.least_wait = false;
	other.random_group = true;
	*any = run_load(&other, RUN_MS);
	return run_load(s, RUN_MS);
}

/*
 * Seen on kone-reititin-large (scale-1): a third of the answers were late
 * while a quarter of the slots were free. All 195 nodes, with counts 120 ms
 * old, sent to the one group with the least predicted wait.
 */
static void
test_many_nodes_do_not_overload_one_group(void)
{
	static const double per_s[] = {640, 800, 1000};
	static const double in_time[] = {0.98, 0.97, 0.9};

	for (int i = 0; i < 3; i++) {
		struct spec s = large_spec(per_s[i]);
		struct result r, least, any;

		r = run_with_baselines(&s, &least, &any);
		CU_ASSERT(r.in_time >= in_time[i]);
		CU_ASSERT(r.worst_domain >= in_time[i] - 0.02);
		CU_ASSERT(r.in_time >= least.in_time + 0.1);
		CU_ASSERT(r.in_time >= any.in_time);
		/* Most requests stay in their failure domain and on open
		 * connections; with a random group most leave it and open
		 * new ones. */
		CU_ASSERT(r.away <= 0.2);
		CU_ASSERT(r.cold <= 0.6);
	}
}

static void
test_large_groups(void)
{
	struct spec s = large_spec(190);
	struct result r, least, any;

	s.groups = 22;
	s.pace = 1;
	s.events = 10;
	s.prompt = 1700;
	s.objective_ms = 500;
	r = run_with_baselines(&s, &least, &any);
	CU_ASSERT(r.in_time >= 0.9);
	CU_ASSERT(r.in_time >= least.in_time + 0.05);
	CU_ASSERT(r.in_time >= any.in_time);
}

/* A few nodes with more recent reports do no worse than the baseline. */
static void
test_few_nodes(void)
{
	static const double per_s[] = {88, 160};

	for (int i = 0; i < 2; i++) {
		struct spec s = {.nodes = 7,
		    .domains = 3,
		    .groups = 12,
		    .slots = 26,
		    .stride = 6,
		    .pace = 0.6,
		    .per_s = per_s[i],
		    .events = 31,
		    .prompt = 674,
		    .objective_ms = 300,
		    .report_age_ms = 40};
		struct result r, least, any;

		r = run_with_baselines(&s, &least, &any);
		CU_ASSERT(r.in_time >= 0.98);
		CU_ASSERT(r.in_time >= least.in_time - 0.01);
		CU_ASSERT(r.away <= 0.2);
	}
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"many nodes do not overload one group",
		test_many_nodes_do_not_overload_one_group},
	    {"large groups", test_large_groups},
	    {"few nodes", test_few_nodes},
	    {NULL, NULL},
	};

	return ld_test_main("placing_load", cases);
}
