/* Servers that answer slower than the others of their service: where requests go,
 * and what a node reports of them. */
#include <stdlib.h>
#include <string.h>

#include "engine_entry.h"
#include "ld_dispatch.h"
#include "ld_test.h"

#define SERVERS 5
#define SLOW 3
#define SAMPLES 12
#define PICKS 2000

static struct {
	struct ld_servers *t;
	struct ld_server *v[SERVERS];
	struct ld_service_spec service;
	struct ld_model_spec model;
	struct ld_rand rand;
	uint64_t now;
	unsigned int became_slow;
	unsigned int became_fast;
} w;

static struct ld_server *
put(int number, int64_t started_ms)
{
	struct ld_server_entry e;
	char id[16];

	snprintf(id, sizeof(id), "i-%d", number);
	e = engine_entry(id, "z");
	e.started_ms = started_ms;
	if (w.service.engine.model_count > 0) {
		e.member.state = LD_MEMBER_OPEN;
		e.member.group = ld_strdup(id);
		e.member.model = ld_strdup("m");
	}
	return ld_servers_put(w.t, &e, w.now);
}

static void
world_open(bool has_engines)
{
	memset(&w, 0, sizeof(w));
	w.now = 1000;
	w.t = ld_servers_new();
	w.service.name = (char *)"llm";
	w.model = (struct ld_model_spec){
	    .name = (char *)"m", .size = 1, .work_share = 1, .pace = 1};
	if (has_engines)
		w.service.engine = (struct ld_engine_spec){.slots = 20,
		    .step_us = 6450,
		    .prefill_per_s = 56100,
		    .steps_per_pass = 6,
		    .usual_answer_tokens = 150,
		    .models = &w.model,
		    .model_count = 1};
	ld_rand_seed(&w.rand, 3);
	for (int i = 0; i < SERVERS; i++)
		w.v[i] = put(i, 100);
}

static void
on_changed(void *user, struct ld_server *s, bool slow)
{
	CU_ASSERT_PTR_EQUAL(s, w.v[SLOW]);
	w.became_slow += slow;
	w.became_fast += !slow;
}

/* Each server answers SAMPLES times; @ratio: of the slow one. */
static void
answer_all(double ratio)
{
	for (int i = 0; i < SAMPLES; i++) {
		w.now += 100;
		for (int k = 0; k < SERVERS; k++)
			ld_pace_add(&w.v[k]->pace, 50,
			    k == SLOW ? 50 * ratio : 50, w.now);
		ld_dispatch_compare(w.t, w.now, on_changed, NULL);
	}
}

/* How many of PICKS requests the slow server would get. */
static unsigned int
picks(uint64_t remaining_ms, unsigned int *refused)
{
	struct ld_dispatch_request rq = {.service = &w.service,
	    .model = LD_STR("m"),
	    .zone = LD_STR("z"),
	    .prompt_tokens = 1000,
	    .remaining_ms = remaining_ms};
	unsigned int n = 0;

	*refused = 0;
	for (int i = 0; i < PICKS; i++) {
		struct ld_dispatch_choice c;

		if (ld_dispatch_pick(w.t, &rq, &w.rand, w.now, &c) !=
		    LD_DISPATCH_SEND)
			(*refused)++;
		else
			n += c.server == w.v[SLOW];
	}
	return n;
}

static void
check_slow_gets_less(bool has_engines)
{
	unsigned int refused, before, slow, after;

	world_open(has_engines);
	for (int i = 0; i < SERVERS; i++)
		w.v[i]->active = 3;
	before = picks(400, &refused);
	answer_all(1);
	/* Equal servers are served as before. */
	after = picks(400, &refused);
	CU_ASSERT(after + PICKS / 10 > before && before + PICKS / 10 > after);
	answer_all(6);
	CU_ASSERT(w.v[SLOW]->slowness > 3);
	slow = picks(400, &refused);
	CU_ASSERT(slow * 4 < before);
	CU_ASSERT_EQUAL(refused, 0);
	CU_ASSERT_EQUAL(w.became_slow, 1);
	answer_all(1);
	answer_all(1);
	CU_ASSERT_EQUAL(w.v[SLOW]->slowness, 1);
	CU_ASSERT_EQUAL(w.became_fast, 1);
	after = picks(400, &refused);
	CU_ASSERT(after * 2 > before);
	ld_servers_free(w.t);
}

static void
test_a_slow_server_gets_less(void)
{
	check_slow_gets_less(false);
	check_slow_gets_less(true);
}

/* What was learned of a process says nothing of the next one. */
static void
test_a_restart_under_the_same_id_forgets(void)
{
	world_open(false);
	answer_all(6);
	CU_ASSERT(w.v[SLOW]->slowness > 3);
	CU_ASSERT_PTR_EQUAL(put(SLOW, 200), w.v[SLOW]);
	CU_ASSERT_EQUAL(w.v[SLOW]->slowness, 1);
	ld_dispatch_compare(w.t, w.now, on_changed, NULL);
	CU_ASSERT_EQUAL(w.v[SLOW]->slowness, 1);
	ld_servers_free(w.t);
}

/* A wrong prediction for all, or overload: nobody is refused for it. */
static void
test_servers_that_are_slow_alike_stay_equal(void)
{
	unsigned int refused;

	world_open(true);
	for (int i = 0; i < SAMPLES; i++)
		for (int k = 0; k < SERVERS; k++)
			ld_pace_add(&w.v[k]->pace, 50, 300, w.now += 10);
	ld_dispatch_compare(w.t, w.now, NULL, NULL);
	for (int k = 0; k < SERVERS; k++)
		CU_ASSERT_EQUAL(w.v[k]->slowness, 1);
	(void)picks(400, &refused);
	CU_ASSERT_EQUAL(refused, 0);
	ld_servers_free(w.t);
}

/* Times differ by chance, and few answers show nothing. */
static void
test_small_differences_change_nothing(void)
{
	world_open(true);
	answer_all(1.4);
	CU_ASSERT_EQUAL(w.v[SLOW]->slowness, 1);
	for (int i = 0; i < 4; i++)
		ld_pace_add(&w.v[0]->pace, 50, 50, w.now += 100);
	ld_pace_reset(&w.v[SLOW]->pace);
	for (int i = 0; i < 4; i++)
		ld_pace_add(&w.v[SLOW]->pace, 50, 400, w.now += 100);
	ld_dispatch_compare(w.t, w.now, NULL, NULL);
	CU_ASSERT_EQUAL(w.v[SLOW]->slowness, 1);
	CU_ASSERT_EQUAL(w.became_slow, 0);
	ld_servers_free(w.t);
}

static void
test_the_usual_time_of_a_route(void)
{
	struct ld_dispatch_usual u = {0};
	double ms = 0;

	CU_ASSERT_EQUAL(ld_dispatch_usual_ms(&u, LD_STR("r"), 60), 0);
	for (int i = 0; i < 200; i++)
		ms = ld_dispatch_usual_ms(&u, LD_STR("r"), 100);
	CU_ASSERT(ms > 95 && ms <= 100);
	CU_ASSERT_EQUAL(ld_dispatch_usual_ms(&u, LD_STR("other"), 60), 0);
	for (int i = 0; i < 200; i++) {
		char name[16];

		snprintf(name, sizeof(name), "r%d", i);
		(void)ld_dispatch_usual_ms(&u, ld_str_c(name), 60);
	}
	CU_ASSERT_EQUAL(u.n, LD_DISPATCH_USUAL_MAX);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a slow server gets less", test_a_slow_server_gets_less},
	    {"a restart under the same id forgets",
		test_a_restart_under_the_same_id_forgets},
	    {"servers that are slow alike stay equal",
		test_servers_that_are_slow_alike_stay_equal},
	    {"small differences change nothing",
		test_small_differences_change_nothing},
	    {"the usual time of a route", test_the_usual_time_of_a_route},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("slowness", cases);
}
