/*
 * Servers that name a limit for all nodes together: nodes that exchange load
 * reports run the real decision module on a simulated clock, and the requests
 * are counted at the servers.
 */
#ifndef LIMITS_WORLD_H
#define LIMITS_WORLD_H

#include "aggregation_fleet.h"
#include "ld_dispatch.h"

#define RUN_MS_MAX 60000
#define STEPS_MAX (RUN_MS_MAX / STEP_MS)
#define SERVERS_MAX HEADS
#define ANSWERS_MAX 60000
/* From a request to the head of its answer, and to its end. */
#define HEAD_MS 200
#define END_MS 900
/* The stated bound: from STABLE_MS after a server first named its limit, it
 * gets in WINDOW_MS at most 1.5 times what that allows, and 5 more. */
#define STABLE_MS 4000
#define WINDOW_MS 4000
#define EXCESS 1.5
#define SLACK 5
/* The part of a limit that is used when the demand is there. */
#define USED 0.9
/* Target of placement: a load report reaches every node within this time. */
#define REPORTED_WITHIN_MS 300
#define ALL_NODES SIZE_MAX

/** struct answer - a request in progress at a server */
struct answer {
	uint64_t head_ms, end_ms;
	size_t node;
	int server;
};

/** struct load - requests per second that arrive, and where */
struct load {
	double per_s;
	size_t node; /* ALL_NODES: at all of them alike */
};

static struct limits_world {
	struct ld_service_spec service;
	struct ld_model_spec model;
	double limit[SERVERS_MAX]; /* per second, 0: none */
	unsigned int arrived[SERVERS_MAX][STEPS_MAX];
	struct answer answers[ANSWERS_MAX];
	size_t answer_count;
	size_t begin; /* step at which the fleet was opened */
	unsigned int refused;
	uint64_t last_refused_ms;
	uint64_t unlimited_ms; /* first answer without a limit */
	uint64_t retry_after_ms; /* of the last refusal */
} w;

static inline void
limits_open(size_t nodes, double loss, int servers)
{
	memset(&w, 0, sizeof(w));
	w.service.name = (char *)"llm";
	fleet_open_with(nodes, loss, servers);
}

/* The servers are heads of groups of one model, of one server each. */
static inline void
limits_open_groups(size_t nodes, double loss, int servers)
{
	limits_open(nodes, loss, servers);
	w.model = (struct ld_model_spec){
	    .name = (char *)"m", .size = 1, .work_share = 1, .pace = 1};
	w.service.engine = (struct ld_engine_spec){.slots = 20,
	    .step_us = 6450,
	    .prefill_per_s = 56100,
	    .steps_per_pass = 10,
	    .usual_answer_tokens = 200,
	    .models = &w.model,
	    .model_count = 1};
	for (size_t n = 0; n < nodes; n++)
		for (int i = 0; i < servers; i++) {
			struct ld_server_entry e;
			char id[16];

			snprintf(id, sizeof(id), "h%d", i);
			e = engine_entry(id, "z");
			e.member.state = LD_MEMBER_OPEN;
			e.member.group = ld_strdup(id);
			e.member.model = ld_strdup("m");
			ld_servers_put(fleet.nodes[n].a.servers, &e, fleet.now);
		}
}

static inline size_t
steps(void)
{
	return fleet.step - w.begin;
}

static inline void
request(size_t node)
{
	struct node *n = &fleet.nodes[node];
	struct ld_dispatch_request rq = {.service = &w.service,
	    .model = LD_STR("m"),
	    .zone = LD_STR("z"),
	    .remaining_ms = 400};
	struct ld_dispatch_choice c;
	int server;

	if (n->down)
		return;
	if (ld_dispatch_pick(n->a.servers, &rq, &fleet.rand, fleet.now, &c) !=
	    LD_DISPATCH_SEND) {
		w.refused++;
		w.last_refused_ms = fleet.now;
		w.retry_after_ms = c.retry_after_ms;
		return;
	}
	server = (int)head_of(c.server);
	ld_server_note_sent(c.server, 0, fleet.now);
	c.server->active++;
	w.arrived[server][steps()]++;
	CU_ASSERT_FATAL(w.answer_count < ANSWERS_MAX);
	w.answers[w.answer_count++] = (struct answer){
	    fleet.now + HEAD_MS, fleet.now + END_MS, node, server};
}

static inline void
answer(void)
{
	size_t kept = 0;

	for (size_t i = 0; i < w.answer_count; i++) {
		struct answer *a = &w.answers[i];
		struct ld_server *s = head_at(&fleet.nodes[a->node], a->server);
		double limit = w.limit[a->server];

		if (fleet.now == a->head_ms && limit == 0 &&
		    w.unlimited_ms == 0)
			w.unlimited_ms = fleet.now;
		if (fleet.now == a->head_ms)
			(void)ld_server_observe_rate(s,
			    limit > 0 ? (uint32_t)(limit * 1000)
				      : LD_RATE_UNLIMITED,
			    fleet.now);
		if (fleet.now < a->end_ms)
			w.answers[kept++] = *a;
		else if (s->active > 0)
			s->active--;
	}
	w.answer_count = kept;
}

static inline void
run(uint64_t ms, struct load load)
{
	double mean = load.per_s * STEP_MS / 1000;

	for (uint64_t t = 0; t < ms; t += STEP_MS) {
		int n = (int)mean;

		fleet_advance();
		CU_ASSERT_FATAL(steps() < STEPS_MAX);
		n += ld_rand_unit(&fleet.rand) < mean - n;
		for (; n > 0; n--)
			request(load.node != ALL_NODES
				? load.node
				: ld_rand_below(&fleet.rand, fleet.n));
		answer();
		fleet_exchange();
	}
}

/* The most requests that @server got in any WINDOW_MS of the last @ms. */
static inline unsigned int
most_in_window(int server, uint64_t ms)
{
	size_t width = WINDOW_MS / STEP_MS, last = steps();
	size_t first = last - ms / STEP_MS + 1;
	unsigned int most = 0;

	for (size_t end = first + width; end <= last + 1; end++) {
		unsigned int n = 0;

		for (size_t i = end - width; i < end; i++)
			n += w.arrived[server][i];
		if (n > most)
			most = n;
	}
	return most;
}

static inline unsigned int
arrived(int server, uint64_t ms)
{
	unsigned int n = 0;

	for (size_t i = steps() - ms / STEP_MS + 1; i <= steps(); i++)
		n += w.arrived[server][i];
	return n;
}

static inline unsigned int
allowed(double limit)
{
	return (unsigned int)(EXCESS * limit * WINDOW_MS / 1000) + SLACK;
}

/* Runs @load until the limits have been known for STABLE_MS, then for @ms. */
static inline void
run_limited(uint64_t ms, struct load load)
{
	run(STABLE_MS + HEAD_MS, load);
	run(ms, load);
}

static inline void
check_kept(int server, uint64_t ms)
{
	unsigned int most = most_in_window(server, ms);

	if (most > allowed(w.limit[server]))
		printf("server %d, %zu nodes: %u in a window, allowed %u\n",
		    server, fleet.n, most, allowed(w.limit[server]));
	CU_ASSERT(most <= allowed(w.limit[server]));
}

static inline void
check_used(int server, uint64_t ms)
{
	double part =
	    arrived(server, ms) / (w.limit[server] * (double)ms / 1000);

	if (part < USED)
		printf("server %d, %zu nodes: %.3f of the limit used\n", server,
		    fleet.n, part);
	CU_ASSERT(part >= USED);
}

#endif
