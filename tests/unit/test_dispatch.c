/* Placing, refusing, repeats: what callers get under loads. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine_entry.h"
#include "ld_dispatch.h"
#include "ld_test.h"

#define HEADS 4
#define OBJECTIVE_MS 400
/* One pass of six steps, after which the first event is told. */
#define PASS_MS 39

/** struct world - groups of one server each */
struct world {
	struct ld_servers *t;
	struct ld_model_spec model;
	struct ld_service_spec service;
	struct ld_rand rand;
	uint64_t now;
};

static struct ld_server *
put(struct world *w, const char *id, const char *zone, bool leaving)
{
	struct ld_server_entry e = engine_entry(id, zone);

	e.leaving = leaving;
	e.member.state = LD_MEMBER_OPEN;
	e.member.group = ld_strdup(id);
	e.member.model = ld_strdup("m0");
	return ld_servers_put(w->t, &e, w->now);
}

static void
world_open(struct world *w)
{
	*w = (struct world){.now = 1000};
	w->t = ld_servers_new();
	w->model = (struct ld_model_spec){
	    .name = (char *)"m0", .size = 1, .work_share = 1, .pace = 1.0};
	w->service = (struct ld_service_spec){.name = (char *)"llm"};
	w->service.engine = (struct ld_engine_spec){.slots = 26,
	    .step_us = 6450,
	    .step_per_request_us = 96.7,
	    .prefill_per_s = 56100,
	    .steps_per_pass = 6,
	    .usual_answer_tokens = 152,
	    .models = &w->model,
	    .model_count = 1};
	ld_rand_seed(&w->rand, 7);
}

static enum ld_dispatch_verdict
pick(struct world *w, struct ld_dispatch_request *rq,
    struct ld_dispatch_choice *c)
{
	rq->service = &w->service;
	rq->model = LD_STR("m0");
	if (rq->zone.p == NULL)
		rq->zone = LD_STR("z1");
	if (rq->remaining_ms == 0)
		rq->remaining_ms = OBJECTIVE_MS;
	return ld_dispatch_pick(w->t, rq, &w->rand, w->now, c);
}

static void
test_shortest_wait(void)
{
	struct ld_dispatch_request rq = {.prompt_tokens = 1000};
	struct ld_dispatch_choice c;
	struct world w;

	world_open(&w);
	ld_dispatch_prompt_sent(
	    &w.service, put(&w, "a", "z1", false), 20000, w.now);
	ld_dispatch_prompt_sent(
	    &w.service, put(&w, "b", "z1", false), 20000, w.now);
	put(&w, "c", "z2", false);
	put(&w, "d", "z1", true);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	CU_ASSERT_STRING_EQUAL(c.server->entry.id, "c");
	CU_ASSERT_EQUAL(c.candidates, 3);
	ld_servers_free(w.t);
}

/* One that asked for a pause gets none even where there is no other; its client
 * comes back when it does. */
static void
test_a_pause_that_was_asked_for(void)
{
	struct ld_dispatch_request rq = {.prompt_tokens = 100};
	struct ld_dispatch_choice c;
	struct ld_server *a, *b;
	struct world w;

	world_open(&w);
	a = put(&w, "a", "z1", false);
	b = put(&w, "b", "z1", false);
	ld_dispatch_retry_after(a, w.now, 3000);
	ld_dispatch_retry_after(a, w.now, 1000);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	CU_ASSERT_PTR_EQUAL(c.server, b);
	ld_dispatch_retry_after(b, w.now, 2000);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_NO_SERVER);
	CU_ASSERT_EQUAL(c.retry_after_ms, 2000);
	w.now += 2000;
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	CU_ASSERT_PTR_EQUAL(c.server, b);
	/* Its pause outlives a new entry, and what it said of leaving does until
	 * it starts anew. */
	put(&w, "a", "z1", false);
	CU_ASSERT_EQUAL(a->refuses_until_ms, 4000);
	ld_servers_note_leaving(b);
	put(&w, "b", "z1", false);
	CU_ASSERT(b->entry.leaving);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_NO_SERVER);
	w.now += 1000;
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	CU_ASSERT_PTR_EQUAL(c.server, a);
	b->entry.started_ms = 1;
	put(&w, "b", "z1", false);
	CU_ASSERT(!b->entry.leaving);
	ld_servers_free(w.t);
}

static void
test_never_an_unfit_server(void)
{
	struct ld_dispatch_request rq = {.prompt_tokens = 100};
	struct ld_dispatch_choice c;
	struct world w;

	world_open(&w);
	put(&w, "a", "z1", true);
	put(&w, "b", "z1", false);
	ld_servers_remove(w.t, LD_STR("b"), w.now);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_NO_SERVER);
	/* A group of two of which one never showed. */
	put(&w, "c", "z1", false);
	w.model.size = 2;
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_NO_SERVER);
	ld_servers_free(w.t);
}

static void
put_member(
    struct world *w, const char *id, const char *group, enum ld_member_state st)
{
	struct ld_server_entry e = engine_entry(id, "z1");

	e.member.state = st;
	e.member.group = ld_strdup(group);
	e.member.model = ld_strdup("m0");
	e.member.rank = 1;
	ld_servers_put(w->t, &e, w->now);
}

/*
 * Load: a part of the servers loses its way to the store for seconds (srv_cut of
 * kone-reititin-grown scale-1: 19 of 162). With twelve servers in a group nearly
 * each group has such a member, and goes on without the store.
 */
static void
test_member_cut_from_the_store(void)
{
	struct ld_dispatch_request rq = {.prompt_tokens = 100};
	struct ld_dispatch_choice c;
	struct world w;

	world_open(&w);
	w.model.size = 2;
	put(&w, "a", "z1", false);
	put_member(&w, "m", "a", LD_MEMBER_JOINING);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_NO_SERVER);
	put_member(&w, "m", "a", LD_MEMBER_READY);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	ld_servers_remove(w.t, LD_STR("m"), w.now);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	/* It is back, and in another group. */
	put_member(&w, "m", "other", LD_MEMBER_READY);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_NO_SERVER);
	/* The head itself gets no request without an entry. */
	put_member(&w, "m", "a", LD_MEMBER_READY);
	ld_servers_remove(w.t, LD_STR("a"), w.now);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_NO_SERVER);
	ld_servers_free(w.t);
}

static void
test_late_is_refused_with_a_time(void)
{
	struct ld_dispatch_request rq = {.prompt_tokens = 1000};
	struct ld_dispatch_choice c;
	struct world w;

	world_open(&w);
	ld_dispatch_prompt_sent(
	    &w.service, put(&w, "a", "z1", false), 40000, w.now);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_TOO_LATE);
	CU_ASSERT(c.retry_after_ms >= 700 && c.retry_after_ms <= 1000);
	rq.remaining_ms = 2000;
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	ld_servers_free(w.t);
}

static void
test_failed_and_tried_servers(void)
{
	struct ld_dispatch_request rq = {.prompt_tokens = 100};
	struct ld_dispatch_choice c;
	struct ld_server *a;
	struct world w;

	world_open(&w);
	a = put(&w, "a", "z1", false);
	put(&w, "b", "z1", false);
	ld_dispatch_failed(a, w.now);
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	CU_ASSERT_STRING_EQUAL(c.server->entry.id, "b");
	rq.tried[0] = "b";
	rq.tried_count = 1;
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_NO_SERVER);
	w.now += 1000;
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	CU_ASSERT_STRING_EQUAL(c.server->entry.id, "a");
	ld_servers_free(w.t);
}

static void
test_learns_the_constant_part(void)
{
	struct ld_dispatch_bias b = {0};

	for (int i = 0; i < 200; i++)
		ld_dispatch_add_sample(&b, LD_STR("m0"), 80, 170);
	CU_ASSERT_DOUBLE_EQUAL(ld_dispatch_bias_ms(&b, LD_STR("m0")), 90, 1);
	CU_ASSERT_DOUBLE_EQUAL(ld_dispatch_bias_ms(&b, LD_STR("m1")), 0, 0);
	/* One answer that took seconds moves it little. */
	ld_dispatch_add_sample(&b, LD_STR("m0"), 80, 9000);
	CU_ASSERT(ld_dispatch_bias_ms(&b, LD_STR("m0")) < 100);
}

/* ---- A load played against the decision ---- */

/** struct outcome - what callers got */
struct outcome {
	unsigned int in_time;
	unsigned int late;
	unsigned int refused;
};

/*
 * Load: prompts of 1,500 tokens at @per_s to four groups that read 56,100
 * tokens a second each; each group reads in order. @refuse: ask the decision,
 * otherwise send to the group with the fewest requests (the baseline).
 */
static struct outcome
play(double per_s, bool refuse)
{
	struct ld_server *heads[HEADS];
	double free_at[HEADS] = {0}; /* when a group has read all, ms */
	struct outcome o = {0};
	struct world w;
	char id[8];

	world_open(&w);
	for (int i = 0; i < HEADS; i++) {
		snprintf(id, sizeof(id), "g%d", i);
		heads[i] = put(&w, id, "z1", false);
	}
	for (int n = 0; n < (int)(per_s * 10); n++) {
		struct ld_dispatch_request rq = {.prompt_tokens = 1500};
		struct ld_dispatch_choice c = {0};
		double now = 1000.0 * n / per_s;
		int at = 0;

		for (int i = 0; i < HEADS; i++) {
			double left = free_at[i] - now;

			heads[i]->prefill_done_ms =
			    (double)w.now + (left > 0 ? left : 0);
			if (heads[i]->prefill_done_ms <
			    heads[at]->prefill_done_ms)
				at = i;
		}
		if (refuse && pick(&w, &rq, &c) != LD_DISPATCH_SEND) {
			o.refused++;
			continue;
		}
		for (int i = 0; refuse && i < HEADS; i++)
			if (heads[i] == c.server)
				at = i;
		if (free_at[at] < now)
			free_at[at] = now;
		free_at[at] += 1500 / 56.1;
		if (free_at[at] + PASS_MS - now <= OBJECTIVE_MS)
			o.in_time++;
		else
			o.late++;
	}
	ld_servers_free(w.t);
	return o;
}

/* Twice the prompts that the groups can read: nearly half can be in time. */
static void
test_overload_serves_what_it_can(void)
{
	double capacity = HEADS * 56100.0 / 1500;
	struct outcome with = play(2 * capacity, true);
	struct outcome without = play(2 * capacity, false);
	unsigned int all = with.in_time + with.late + with.refused;

	printf("in time %u late %u refused %u; without %u %u\n", with.in_time,
	    with.late, with.refused, without.in_time, without.late);
	CU_ASSERT(with.in_time * 100 >= all * 45);
	CU_ASSERT_EQUAL(with.late, 0);
	CU_ASSERT(without.in_time * 100 < all * 20);
}

static void
test_calm_load_refuses_none(void)
{
	struct outcome o = play(0.6 * HEADS * 56100.0 / 1500, true);

	CU_ASSERT_EQUAL(o.refused, 0);
	CU_ASSERT_EQUAL(o.late, 0);
}

/* ---- Many nodes that know each other's load late ---- */

#define FLEET_NODES 80
#define FLEET_HEADS 8
#define FLEET_TELL_MS 160
#define FLEET_OBJECTIVE_MS 400
#define FLEET_PROMPT 1700
/* Of the engine: tokens that it reads in a ms, and the time from there to the
 * client's first event: passes, a constant part, the network. */
#define FLEET_READ 56.1
#define FLEET_REST_MS 200

/** struct fleet - nodes with a table each, and what the groups have to read */
struct fleet {
	struct world nodes[FLEET_NODES];
	struct ld_server *heads[FLEET_NODES][FLEET_HEADS];
	uint64_t untold[FLEET_NODES][FLEET_HEADS];
	double backlog[FLEET_HEADS]; /* tokens */
	unsigned int asked, in_time, refused;
};

static void
fleet_tell(struct fleet *f, int node, uint64_t now)
{
	for (int h = 0; h < FLEET_HEADS; h++) {
		for (int i = 0; i < FLEET_NODES; i++)
			if (i != node && f->untold[node][h] > 0)
				ld_dispatch_prompt_sent(&f->nodes[i].service,
				    f->heads[i][h], f->untold[node][h], now);
		f->untold[node][h] = 0;
	}
}

static void
fleet_ask(struct fleet *f, int node, uint64_t now, uint64_t tokens)
{
	struct world *w = &f->nodes[node];
	struct ld_dispatch_request rq = {.service = &w->service,
	    .model = LD_STR("m0"),
	    .prompt_tokens = tokens,
	    .zone = LD_STR("z1"),
	    .remaining_ms = FLEET_OBJECTIVE_MS};
	struct ld_dispatch_choice c;
	double first_ms;
	int h = 0;

	f->asked++;
	if (ld_dispatch_pick(w->t, &rq, &w->rand, now, &c) !=
	    LD_DISPATCH_SEND) {
		f->refused++;
		return;
	}
	while (f->heads[node][h] != c.server)
		h++;
	f->backlog[h] += (double)tokens;
	first_ms = FLEET_REST_MS + f->backlog[h] / FLEET_READ;
	f->in_time += first_ms <= FLEET_OBJECTIVE_MS;
	ld_dispatch_prompt_sent(&w->service, c.server, tokens, now);
	f->untold[node][h] += tokens;
}

static void
fleet_step(struct fleet *f, uint64_t now)
{
	for (int h = 0; h < FLEET_HEADS; h++)
		f->backlog[h] =
		    f->backlog[h] > FLEET_READ ? f->backlog[h] - FLEET_READ : 0;
	for (int n = 0; n < FLEET_NODES; n++)
		if (now % FLEET_TELL_MS == 2 * (uint64_t)n)
			fleet_tell(f, n, now);
}

/*
 * Load: prompts of a large model, @per_s over 80 nodes that tell each other
 * what they sent each 160 ms.
 */
static struct fleet *
play_fleet(unsigned int per_s)
{
	struct fleet *f = ld_alloc(sizeof(*f));
	struct ld_rand rand;

	ld_rand_seed(&rand, 5);
	for (int n = 0; n < FLEET_NODES; n++) {
		world_open(&f->nodes[n]);
		ld_rand_seed(&f->nodes[n].rand, (uint64_t)n);
		for (int h = 0; h < FLEET_HEADS; h++) {
			char id[8];

			snprintf(id, sizeof(id), "h%d", h);
			f->heads[n][h] = put(&f->nodes[n], id, "z1", false);
		}
	}
	for (uint64_t now = 1000; now < 61000; now++) {
		uint64_t tokens;

		fleet_step(f, now);
		if (ld_rand_unit(&rand) * 1000 >= per_s)
			continue;
		tokens = 100 + ld_rand_below(&rand, 2UL * (FLEET_PROMPT - 100));
		fleet_ask(
		    f, (int)ld_rand_below(&rand, FLEET_NODES), now, tokens);
	}
	for (int n = 0; n < FLEET_NODES; n++)
		ld_servers_free(f->nodes[n].t);
	printf("%u a second: %u asked, %u in time, %u refused\n", per_s,
	    f->asked, f->in_time, f->refused);
	return f;
}

/*
 * The groups read what comes in 0.35 and 0.5 of their time, so that nobody needs
 * to wait long. Counting prompts until their first event gave 95.7 and 85.1 in
 * 100 in time: all nodes took the groups that had been free 200 ms ago.
 */
static void
test_many_nodes_share_groups(void)
{
	static const unsigned int rates[] = {91, 130};

	for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		struct fleet *f = play_fleet(rates[i]);

		CU_ASSERT(f->in_time * 100 >= f->asked * 98);
		free(f);
	}
}

/* ---- Groups that stand still ---- */

static void
test_a_silent_group(void)
{
	struct world w;
	struct ld_server *s;

	world_open(&w);
	s = put(&w, "a", "z1", false);
	/* Nothing is due without a request. */
	CU_ASSERT(!ld_dispatch_silent(s, 0, 100000));
	s->active = 1;
	s->byte_due_ms = s->last_byte_ms = 10000;
	CU_ASSERT(!ld_dispatch_silent(s, 0, 10400));
	CU_ASSERT(ld_dispatch_silent(s, 0, 10500));
	ld_servers_free(w.t);
}

/*
 * Found on hs-quayplan-grown, quiet-1: with 79 nodes each has a request or two
 * at a group. A prompt that waited behind those of other nodes was taken for a
 * lost member, and sent once more: 871 of 12,337 sends.
 */
static void
test_a_busy_group_is_not_silent(void)
{
	struct world w;
	struct ld_server *s;

	world_open(&w);
	s = put(&w, "a", "z1", false);
	s->active = 1;
	/* Its first event is predicted for 700 ms after the send. */
	s->byte_due_ms = 10700;
	CU_ASSERT(!ld_dispatch_silent(s, 0, 11000));
	/* Streams of other nodes get on. */
	s->peer_last_byte_ms = 11200;
	CU_ASSERT(!ld_dispatch_silent(s, 0, 11500));
	CU_ASSERT(ld_dispatch_silent(s, 0, 11700));
	ld_servers_free(w.t);
}

/*
 * Load: a member of a group is lost, and 79 nodes have a request or two there.
 * One of them notices first; the others send nothing more to the group either.
 */
static void
test_an_alarm_of_another_process(void)
{
	struct ld_dispatch_request rq = {.prompt_tokens = 100};
	struct ld_dispatch_choice c;
	struct ld_server *s;
	struct world w;

	world_open(&w);
	w.now = 20000;
	s = put(&w, "a", "z1", false);
	put(&w, "b", "z2", false);
	s->peer_last_byte_ms = w.now - 100;
	CU_ASSERT(!ld_dispatch_on_alarm(s, w.now));
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	CU_ASSERT_STRING_EQUAL(c.server->entry.id, "a");
	w.now += 500;
	CU_ASSERT(ld_dispatch_on_alarm(s, w.now));
	CU_ASSERT_EQUAL(pick(&w, &rq, &c), LD_DISPATCH_SEND);
	CU_ASSERT_STRING_EQUAL(c.server->entry.id, "b");
	ld_servers_free(w.t);
}

/* Found on the same day (LOST): a node that was late for 0.5 s found all its
 * groups silent at once, and cut a stream. */
static void
test_a_late_process_does_not_judge(void)
{
	struct world w;
	struct ld_server *s;

	world_open(&w);
	s = put(&w, "a", "z1", false);
	s->active = 1;
	s->byte_due_ms = s->last_byte_ms = 10000;
	CU_ASSERT(!ld_dispatch_silent(s, 10600, 10700));
	CU_ASSERT(ld_dispatch_silent(s, 10600, 11100));
	ld_servers_free(w.t);
}

/* ---- Repeats ---- */

static void
test_repeat_budget(void)
{
	struct ld_retry_budget b;
	unsigned int taken = 0;

	ld_retry_init(&b, 10000, 200, 5);
	for (uint64_t t = 0; t < 10000; t += 10) {
		ld_retry_count_request(&b, t);
		taken += ld_retry_try_acquire(&b, t);
	}
	CU_ASSERT(taken <= 205 && taken >= 180);
	/* A window later the budget is new, without requests the extra. */
	taken = 0;
	for (int i = 0; i < 100; i++)
		taken += ld_retry_try_acquire(&b, 30000);
	CU_ASSERT_EQUAL(taken, 5);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"the shortest wait", test_shortest_wait},
	    {"a pause that was asked for", test_a_pause_that_was_asked_for},
	    {"never an unfit server", test_never_an_unfit_server},
	    {"a member cut from the store", test_member_cut_from_the_store},
	    {"late is refused with a time", test_late_is_refused_with_a_time},
	    {"failed and tried servers", test_failed_and_tried_servers},
	    {"learns the constant part", test_learns_the_constant_part},
	    {"overload serves what it can", test_overload_serves_what_it_can},
	    {"a calm load refuses none", test_calm_load_refuses_none},
	    {"many nodes share groups", test_many_nodes_share_groups},
	    {"a silent group", test_a_silent_group},
	    {"a busy group is not silent", test_a_busy_group_is_not_silent},
	    {"an alarm of another process", test_an_alarm_of_another_process},
	    {"a late process does not judge",
		test_a_late_process_does_not_judge},
	    {"the budget of repeats", test_repeat_budget},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("dispatch", cases);
}
