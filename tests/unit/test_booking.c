/* At-most-once bookings: generated sessions with faults, a golden session. */
#include "booking_world.h"
#include "ld_golden.h"

#define SEEDS 300
#define FIRST_SEED 1

static const struct faults all_faults = {
    .lost_answer = 15,
    .late_write = 10,
    .refused = 5,
    .no_connection = 40,
    .lost_result = 15,
    .lost_message = 10,
    .hang_up = 5,
    .every_ms = 400,
};

struct totals {
	unsigned int second_runs, false_not_run, false_earlier, false_recorded;
	unsigned int told[LD_BOOKING_ANSWER_KIND_COUNT];
	unsigned int ran, never, stuck;
};

static void
add_totals(struct totals *t, const struct world *w, uint64_t seed)
{
	if (w->second_runs + w->false_not_run + w->false_earlier +
		w->false_recorded >
	    0)
		printf("seed %llu: %u second runs, %u false not run, %u false "
		       "earlier, %u false recorded\n",
		    (unsigned long long)seed, w->second_runs, w->false_not_run,
		    w->false_earlier, w->false_recorded);
	t->second_runs += w->second_runs;
	t->false_not_run += w->false_not_run;
	t->false_earlier += w->false_earlier;
	t->false_recorded += w->false_recorded;
	for (int i = 0; i < LD_BOOKING_ANSWER_KIND_COUNT; i++)
		t->told[i] += w->told[i];
	for (int i = 0; i < w->n_keys; i++) {
		t->ran += w->keys[i].runs > 0;
		t->never += w->keys[i].runs == 0;
	}
}

/* Retries each key after all faults have ended; the answer must be final. */
static void
retry_all_keys(struct world *w, struct totals *t)
{
	uint64_t from = w->now_ms;

	w->tries_max = 100;
	w->unknown_is_final = true;
	for (int i = 0; i < w->n_keys; i++) {
		w->keys[i].settled = false;
		w->keys[i].answered = false;
		world_retry(w, i, 0, 1);
	}
	world_run(w, from + 60000);
	for (int i = 0; i < w->n_keys; i++) {
		struct world_key *k = &w->keys[i];

		if (k->answered && k->last != LD_BOOKING_RECORDED &&
		    k->last != LD_BOOKING_UNKNOWN)
			t->stuck++;
	}
}

static void
test_generated_sessions(void)
{
	struct totals t = {0};

	printf("seeds %d to %d\n", FIRST_SEED, FIRST_SEED + SEEDS - 1);
	for (uint64_t seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
		struct world *w =
		    world_new(seed, 2 + (int)(seed % 7), all_faults);

		/* Every other session has rarer faults. */
		if (seed % 2 == 0)
			w->faults.every_ms = 2000;
		world_start(w, 20000);
		for (int i = 0; i < 12; i++)
			world_add_key(w, between(w, 1001, 15000));
		world_run(w, 60000);
		retry_all_keys(w, &t);
		world_judge(w);
		add_totals(&t, w, seed);
		world_free(w);
	}
	printf("keys run %u, never run %u, stuck %u; answers:", t.ran, t.never,
	    t.stuck);
	for (int i = 0; i < LD_BOOKING_ANSWER_KIND_COUNT; i++)
		printf(" %s %u",
		    ld_booking_answer_name((enum ld_booking_answer_kind)i),
		    t.told[i]);
	printf("\n");
	CU_ASSERT_EQUAL(t.second_runs, 0);
	CU_ASSERT_EQUAL(t.false_not_run, 0);
	CU_ASSERT_EQUAL(t.false_earlier, 0);
	CU_ASSERT_EQUAL(t.false_recorded, 0);
	CU_ASSERT_EQUAL(t.stuck, 0);
	/* The faults must have had effect, and most keys must have run. */
	CU_ASSERT(t.ran > SEEDS * 9);
	CU_ASSERT(t.told[LD_BOOKING_UNKNOWN] > 100);
	CU_ASSERT(t.told[LD_BOOKING_REFUSED] > 100);
	CU_ASSERT(t.told[LD_BOOKING_NOT_RUN] > 10);
	CU_ASSERT(t.told[LD_BOOKING_IN_PROGRESS] > 100);
}

/* Books within 10 s on 8 nodes; returns the peak writes/s of a shard. */
static unsigned int
run_burst(uint64_t seed, int bookings, bool with_usual_writer)
{
	static const struct faults none = {0};
	struct world *w = world_new(seed, 8, none);
	unsigned int max = 0, runs = 0;
	uint64_t conflicts = 0;

	w->config.shards = 8;
	world_start(w, 0);
	for (int i = 0; i < w->n_nodes && !with_usual_writer; i++)
		ld_booking_members(w->nodes[i].b, w->now_ms, NULL, 0);
	for (int i = 0; i < bookings; i++)
		world_add_key(w, between(w, 1001, 11000));
	world_run(w, 40000);
	for (uint32_t i = 0; i < w->config.shards; i++)
		if (w->shards[i].writes_in_s_max > max)
			max = w->shards[i].writes_in_s_max;
	for (int i = 0; i < w->n_keys; i++)
		runs += w->keys[i].runs;
	for (int i = 0; i < w->n_nodes; i++)
		conflicts += ld_booking_counters(w->nodes[i].b)->conflicts;
	printf("seed %llu, usual writer %s: %u of %d booked, at most %u writes "
	       "in a second and shard, %llu conflicts, largest value %zu "
	       "bytes\n",
	    (unsigned long long)seed, with_usual_writer ? "known" : "unknown",
	    runs, bookings, max, (unsigned long long)conflicts,
	    w->value_bytes_max);
	CU_ASSERT_EQUAL(runs, (unsigned int)bookings);
	CU_ASSERT(w->value_bytes_max <= w->config.value_max_bytes);
	world_judge(w);
	CU_ASSERT_EQUAL(w->second_runs, 0);
	CU_ASSERT_EQUAL(w->false_not_run, 0);
	world_free(w);
	return max;
}

static void
test_store_writes_are_bounded(void)
{
	uint64_t interval = ld_booking_defaults().commit_interval_ms;
	unsigned int bound = (unsigned int)(1000 / interval) + 1;

	CU_ASSERT(run_burst(77, 3000, true) <= bound);
	/* Without a usual writer, the bound holds for each node on its own. */
	CU_ASSERT(run_burst(78, 1000, false) <= 8 * bound);
}

static void
test_full_shard_refuses(void)
{
	static const struct faults none = {0};
	struct world *w = world_new(79, 2, none);

	w->config.shards = 1;
	w->config.value_max_bytes = 8192;
	w->config.retention_ms = 30000;
	w->tries_max = 1000;
	world_start(w, 0);
	for (int i = 0; i < 100; i++)
		world_add_key(w, 1001);
	world_run(w, 10000);
	CU_ASSERT(w->told[LD_BOOKING_FULL] > 0);
	CU_ASSERT(w->value_bytes_max <= 8192);
	/* Pruning expired keys makes room for new ones. */
	world_run(w, 900000);
	for (int i = 0; i < w->n_keys; i++)
		CU_ASSERT_EQUAL(w->keys[i].runs, 1);
	world_judge(w);
	CU_ASSERT_EQUAL(w->false_not_run, 0);
	world_free(w);
}

/* ---- One node, step by step ---- */

static struct ld_booking *
single_node(void)
{
	struct ld_booking_config c = ld_booking_defaults();

	c.node = LD_STR("n0/1");
	c.shards = 1;
	c.seed = 3;
	return ld_booking_new(&c, 0);
}

static struct ld_booking_action
next(struct ld_booking *b, enum ld_booking_action_kind kind)
{
	struct ld_booking_action a = {0};

	CU_ASSERT_TRUE_FATAL(ld_booking_next_action(b, &a));
	CU_ASSERT_EQUAL(a.kind, kind);
	return a;
}

static void
start_call(struct ld_booking *b, uint64_t now_ms, uint64_t id,
    const char *owner, const char *key, const char *body)
{
	struct ld_booking_call call = {
	    .id = id,
	    .owner = ld_str_c(owner),
	    .key = ld_str_c(key),
	    .body = ld_str_c(body),
	    .deadline_ms = now_ms + 2000,
	};

	CU_ASSERT_EQUAL(ld_booking_start(b, now_ms, &call), LD_OK);
}

static void
test_keys_belong_to_an_owner_and_a_body(void)
{
	struct ld_booking *b = single_node();
	struct ld_booking_value none = {0}, written = {.revision = 1};
	struct ld_booking_action a;

	start_call(b, 10, 1, "shop", "key", "lot 7");
	next(b, LD_BOOKING_READ);
	ld_booking_read_done(b, 20, 0, &none);
	next(b, LD_BOOKING_WRITE);
	ld_booking_write_done(b, 30, 0, LD_BOOKING_WRITE_APPLIED, &written);
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_SEND).id, 1);
	/* Keys are scoped to their owner. */
	start_call(b, 200, 2, "dock", "key", "lot 8");
	next(b, LD_BOOKING_WRITE);
	written.revision = 2;
	ld_booking_write_done(b, 210, 0, LD_BOOKING_WRITE_APPLIED, &written);
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_SEND).id, 2);
	ld_booking_send_done(
	    b, 220, 1, LD_BOOKING_ANSWERED, 503, LD_STR("no such lot"));
	start_call(b, 330, 3, "shop", "key", "lot 9");
	next(b, LD_BOOKING_WRITE);
	written.revision = 3;
	ld_booking_write_done(b, 350, 0, LD_BOOKING_WRITE_APPLIED, &written);
	a = next(b, LD_BOOKING_ANSWER);
	CU_ASSERT_EQUAL(a.id, 3);
	CU_ASSERT_EQUAL(a.answer, LD_BOOKING_KEY_REUSED);
	/* A server's error is recorded too and is returned to retries. */
	start_call(b, 360, 4, "shop", "key", "lot 7");
	a = next(b, LD_BOOKING_ANSWER);
	CU_ASSERT_EQUAL(a.answer, LD_BOOKING_RECORDED);
	CU_ASSERT_EQUAL(a.status, 503);
	CU_ASSERT(ld_str_eq(a.body, LD_STR("no such lot")));
	ld_booking_free(b);
}

static void
test_without_a_key(void)
{
	struct ld_booking *b = single_node();
	struct ld_booking_action a;

	start_call(b, 10, 1, "shop", "", "lot 7");
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_SEND).send_index, 0);
	ld_booking_send_done(b, 20, 1, LD_BOOKING_NOT_SENT, 0, LD_STR(""));
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_SEND).send_index, 1);
	ld_booking_send_done(b, 30, 1, LD_BOOKING_INCOMPLETE, 0, LD_STR(""));
	a = next(b, LD_BOOKING_ANSWER);
	CU_ASSERT_EQUAL(a.answer, LD_BOOKING_UNKNOWN);
	start_call(b, 40, 2, "shop", "", "lot 7");
	for (int i = 0; i < 3; i++) {
		next(b, LD_BOOKING_SEND);
		ld_booking_send_done(
		    b, 50, 2, LD_BOOKING_NOT_SENT, 0, LD_STR(""));
	}
	a = next(b, LD_BOOKING_ANSWER);
	CU_ASSERT_EQUAL(a.answer, LD_BOOKING_NOT_RUN);
	CU_ASSERT_EQUAL(a.ran, LD_BOOKING_RAN_NO);
	CU_ASSERT_EQUAL(ld_booking_pending_count(b), 0);
	ld_booking_free(b);
}

/* A claim holder that resumes after its deadline must not send. */
static void
test_frozen_holder_does_not_send(void)
{
	struct ld_booking *b = single_node();
	struct ld_booking_value none = {0}, written = {.revision = 1};

	start_call(b, 10, 1, "shop", "key", "lot 7");
	next(b, LD_BOOKING_READ);
	ld_booking_read_done(b, 20, 0, &none);
	next(b, LD_BOOKING_WRITE);
	ld_booking_write_done(b, 30, 0, LD_BOOKING_WRITE_APPLIED, &written);
	next(b, LD_BOOKING_SEND);
	CU_ASSERT_TRUE(ld_booking_may_send(b, 40, 1));
	CU_ASSERT_FALSE(ld_booking_may_send(b, 60000, 1));
	ld_booking_send_done(b, 60000, 1, LD_BOOKING_NOT_SENT, 0, LD_STR(""));
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_ANSWER).answer, LD_BOOKING_NOT_RUN);
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_WRITE).expect, 1);
	ld_booking_free(b);
}

/* A late store answer must not be taken for that of a later write. */
static void
test_slow_write_is_waited_for(void)
{
	struct ld_booking *b = single_node();
	struct ld_booking_value none = {0}, written = {.revision = 1};
	struct ld_booking_action a;

	start_call(b, 10, 1, "shop", "one", "lot 7");
	next(b, LD_BOOKING_READ);
	ld_booking_read_done(b, 20, 0, &none);
	next(b, LD_BOOKING_WRITE);
	ld_booking_tick(b, 3000);
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_ANSWER).answer, LD_BOOKING_REFUSED);
	start_call(b, 12000, 2, "shop", "two", "lot 8");
	CU_ASSERT_FALSE(ld_booking_next_action(b, &a));
	ld_booking_write_done(b, 12500, 0, LD_BOOKING_WRITE_APPLIED, &written);
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_WRITE).expect, 1);
	CU_ASSERT_FALSE(ld_booking_next_action(b, &a));
	ld_booking_free(b);
}

/* A clock that is a week ahead must not prune a booked key. */
static void
test_wrong_clock_forgets_nothing(void)
{
	static const uint64_t week_ms = 7ULL * 86400000;
	static const char value[] =
	    "{\"w\":\"n1/1\",\"t\":1000,\"claims\":[{\"k\":"
	    "\"6e87d05b5cd35edb7bcd1d1fe1192323\",\"b\":"
	    "\"51b29616960d159ea657ec7238037b03\",\"s\":\"u\",\"n\":\"n1/1\","
	    "\"a\":\"43b3e0f386fd3fcc\",\"t\":1000,\"d\":7000}]}";
	static const char request[] =
	    "{\"ask\":\"claim\",\"shard\":0,\"ms\":900,\"wall\":2000,"
	    "\"record\":{\"k\":\"00000000000000000000000000000000\",\"b\":"
	    "\"51b29616960d159ea657ec7238037b03\",\"s\":\"c\",\"n\":\"n1/1\","
	    "\"a\":\"43b3e0f386fd3fcd\",\"t\":2000,\"d\":7000}}";
	const struct ld_str members[] = {LD_STR("n0/1"), LD_STR("n1/1")};
	struct ld_booking_value v = {.revision = 1, .bytes = LD_STR(value)};
	struct ld_booking *b = single_node();

	ld_booking_set_wall_clock(b, 0, week_ms);
	ld_booking_members(b, 0, members, 2);
	ld_booking_message(b, 10, LD_STR("n1/1"), LD_STR(request));
	next(b, LD_BOOKING_READ);
	ld_booking_read_done(b, 20, 0, &v);
	CU_ASSERT_PTR_NOT_NULL(strstr(next(b, LD_BOOKING_WRITE).bytes.p,
	    "6e87d05b5cd35edb7bcd1d1fe1192323"));
	CU_ASSERT_EQUAL(ld_booking_counters(b)->pruned, 0);
	ld_booking_free(b);
	/* Without peers, a node prunes by its own clock. */
	b = single_node();
	ld_booking_set_wall_clock(b, 0, week_ms);
	start_call(b, 10, 1, "shop", "key", "lot 7");
	next(b, LD_BOOKING_READ);
	ld_booking_read_done(b, 20, 0, &v);
	next(b, LD_BOOKING_WRITE);
	CU_ASSERT_EQUAL(ld_booking_counters(b)->pruned, 1);
	ld_booking_free(b);
}

/* A call's send fails while the send action of another call is pending. */
static void
test_event_while_actions_wait(void)
{
	struct ld_booking *b = single_node();
	struct ld_booking_value none = {0}, written = {.revision = 1};

	start_call(b, 10, 1, "shop", "one", "lot 7");
	next(b, LD_BOOKING_READ);
	start_call(b, 11, 2, "shop", "two", "lot 8");
	ld_booking_read_done(b, 20, 0, &none);
	next(b, LD_BOOKING_WRITE);
	ld_booking_write_done(b, 30, 0, LD_BOOKING_WRITE_APPLIED, &written);
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_SEND).id, 1);
	ld_booking_send_done(b, 31, 1, LD_BOOKING_NOT_SENT, 0, LD_STR(""));
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_SEND).id, 2);
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_SEND).id, 1);
	/* The call of a disconnected client is still completed. */
	ld_booking_client_disconnected(b, 32, 2);
	ld_booking_send_done(b, 33, 2, LD_BOOKING_INCOMPLETE, 0, LD_STR(""));
	CU_ASSERT_EQUAL(next(b, LD_BOOKING_ANSWER).id, 2);
	ld_booking_free(b);
}

static void
test_mutated_messages_and_values(void)
{
	static const char value[] =
	    "{\"w\":\"n0/1\",\"t\":17,\"claims\":[{\"k\":"
	    "\"6e87d05b5cd35edb7bcd1d1fe1192323\",\"b\":"
	    "\"51b29616960d159ea657ec7238037b03\",\"s\":\"d\",\"n\":\"n0/1\","
	    "\"a\":\"43b3e0f386fd3fcc\",\"t\":17,\"d\":7000,\"r\":201,"
	    "\"x\":\"Ym9va2Vk\"}]}";
	static const char request[] =
	    "{\"ask\":\"claim\",\"shard\":0,\"ms\":900,\"wall\":17,\"record\":{"
	    "\"k\":"
	    "\"6e87d05b5cd35edb7bcd1d1fe1192323\",\"b\":"
	    "\"51b29616960d159ea657ec7238037b03\",\"s\":\"c\",\"n\":\"n0/1\","
	    "\"a\":\"43b3e0f386fd3fcc\",\"t\":17,\"d\":7000}}";
	struct ld_booking_action a;
	struct ld_rand r;
	char text[512];

	ld_rand_seed(&r, 13);
	printf("seed 13\n");
	for (int i = 0; i < 100000; i++) {
		struct ld_booking *b = single_node();
		struct ld_booking_value v = {.revision = 1};

		memcpy(text, request, sizeof(request));
		text[ld_rand_below(&r, sizeof(request) - 1)] =
		    (char)ld_rand_u64(&r);
		ld_booking_message(b, 10, LD_STR("n1/1"),
		    (struct ld_str){text, sizeof(request) - 1});
		while (ld_booking_next_action(b, &a))
			;
		memcpy(text, value, sizeof(value));
		text[ld_rand_below(&r, sizeof(value) - 1)] =
		    (char)ld_rand_u64(&r);
		v.bytes = (struct ld_str){text, sizeof(value) - 1};
		ld_booking_read_done(b, 20, 0, &v);
		while (ld_booking_next_action(b, &a))
			;
		ld_booking_free(b);
	}
	CU_PASS("nothing was read out of bounds");
}

static void
test_golden_session(void)
{
	static const struct faults none = {0};
	struct world *w = world_new(5, 2, none);

	w->tracing = true;
	w->config.shards = 1;
	world_start(w, 1000000);
	world_add_key(w, 1001);
	world_run(w, 2000);
	world_note(w, "-- answers of the store are lost", 0, "");
	w->faults.lost_answer = 100;
	world_add_key(w, 2001);
	world_run(w, 3000);
	w->faults.lost_answer = 0;
	world_run(w, 6000);
	world_note(w, "-- the result is lost", 0, "");
	w->faults.lost_result = 100;
	world_add_key(w, 6001);
	world_run(w, 12000);
	world_note(w, "-- the store is out", 0, "");
	w->down_until_ms = 20000;
	world_add_key(w, 12001);
	world_run(w, 19000);
	w->faults.lost_result = 0;
	world_run(w, 30000);
	CU_ASSERT_EQUAL(w->second_runs, 0);
	golden_check("tests/golden/booking.txt", &w->trace);
	world_free(w);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"generated sessions: no second run, no false answer",
		test_generated_sessions},
	    {"store writes are bounded", test_store_writes_are_bounded},
	    {"a full shard refuses", test_full_shard_refuses},
	    {"keys belong to an owner and a body",
		test_keys_belong_to_an_owner_and_a_body},
	    {"calls without a key", test_without_a_key},
	    {"a frozen holder does not send", test_frozen_holder_does_not_send},
	    {"a slow write is waited for", test_slow_write_is_waited_for},
	    {"a wrong clock forgets nothing", test_wrong_clock_forgets_nothing},
	    {"an event while actions wait", test_event_while_actions_wait},
	    {"mutated messages and values", test_mutated_messages_and_values},
	    {"golden session", test_golden_session},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("booking", cases);
}
