/* Bookings of two nodes over the store stand-in, with faults of the store. */
#include "booking_store.h"
#include "standin_process.h"

#define NODES 2

struct booker {
	struct ld_store *store;
	struct ld_booking_task *task;
	unsigned int sends;
	unsigned int answers;
	struct ld_booking_action answer;
	bool answers_at_once; /* the service behind it */
};

static struct booker bookers[NODES];
static struct standin si;
static const char *const ids[NODES] = {"n0/1", "n1/1"};

static void
on_send(void *arg, uint64_t id, unsigned int try)
{
	struct booker *b = arg;

	ld_loop_stop(loop);
	if (!ld_booking_task_may_send(b->task, id)) {
		ld_booking_task_sent(
		    b->task, id, LD_BOOKING_NOT_SENT, 0, LD_STR(""));
		return;
	}
	b->sends++;
	if (b->answers_at_once)
		ld_booking_task_sent(
		    b->task, id, LD_BOOKING_ANSWERED, 201, LD_STR("booked"));
}

static void
on_answer(void *arg, const struct ld_booking_action *answer)
{
	struct booker *b = arg;

	b->answers++;
	b->answer = *answer;
	if (answer->answer == LD_BOOKING_RECORDED)
		CU_ASSERT(ld_str_eq(answer->body, LD_STR("booked")));
	ld_loop_stop(loop);
}

static void
on_message(void *arg, struct ld_str to, struct ld_str bytes)
{
	struct booker *b = arg;
	int from = (int)(b - bookers);

	for (int i = 0; i < NODES; i++)
		if (ld_str_eq(to, ld_str_c(ids[i])) && bookers[i].task != NULL)
			ld_booking_task_message(
			    bookers[i].task, ld_str_c(ids[from]), bytes);
}

static const struct ld_booking_task_ops ops = {on_send, on_answer, on_message};

static void
open_bookers(void)
{
	const char *endpoints[] = {si.address};
	struct ld_str members[NODES];

	pick_port(&si);
	standin_start(&si, "store");
	endpoints[0] = si.address;
	for (int i = 0; i < NODES; i++)
		members[i] = ld_str_c(ids[i]);
	for (int i = 0; i < NODES; i++) {
		struct ld_store_settings s = ld_store_defaults();
		struct ld_booking_config c = ld_booking_defaults();

		s.endpoints = endpoints;
		s.n_endpoints = 1;
		s.call_timeout_ms = 300;
		s.backoff_max_ms = 100;
		c.node = members[i];
		c.shards = 1;
		c.claim_timeout_ms = 1000;
		c.commit_interval_ms = 20;
		bookers[i] = (struct booker){.answers_at_once = true};
		bookers[i].store = ld_store_new(loop, http, &s, NULL);
		bookers[i].task = ld_booking_task_new(
		    loop, bookers[i].store, &c, &ops, &bookers[i]);
		ld_booking_task_members(bookers[i].task, members, NODES);
	}
}

static void
close_bookers(void)
{
	for (int i = 0; i < NODES; i++) {
		ld_booking_task_free(bookers[i].task);
		ld_store_free(bookers[i].store);
		bookers[i].task = NULL;
	}
	standin_stop(&si);
}

static uint64_t
book(int node, const char *key)
{
	static uint64_t last_id;
	struct ld_booking_call call = {
	    .id = ++last_id,
	    .owner = LD_STR("shop"),
	    .key = ld_str_c(key),
	    .body = LD_STR("lot 7"),
	    .deadline_ms = ld_loop_now(loop) + 3000,
	};

	CU_ASSERT_EQUAL(
	    ld_booking_task_start(bookers[node].task, &call), LD_OK);
	return call.id;
}

/* Runs until all outcomes stand in the store. */
static void
settle(void)
{
	for (int i = 0; i < NODES; i++)
		while (bookers[i].task != NULL &&
		    ld_booking_pending_count(
			ld_booking_task_module(bookers[i].task)) > 0)
			run(20);
}

static void
test_repeat_through_another_node(void)
{
	open_bookers();
	book(0, "k");
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(bookers[0].sends, 1);
	settle();
	book(1, "k");
	if (bookers[1].answers == 0)
		CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(bookers[1].sends, 0);
	CU_ASSERT_EQUAL(bookers[1].answer.answer, LD_BOOKING_RECORDED);
	CU_ASSERT_EQUAL(bookers[1].answer.status, 201);
	close_bookers();
}

static void
test_lost_answer_of_the_claim(void)
{
	open_bookers();
	post(&si, "/fault", "{\"mode\":\"lose-answer\",\"count\":1}");
	book(1, "k");
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(bookers[1].sends, 1);
	settle();
	book(0, "k");
	while (bookers[0].answers == 0 && run(STEP_LIMIT_MS))
		;
	CU_ASSERT_EQUAL(bookers[0].answer.answer, LD_BOOKING_RECORDED);
	CU_ASSERT_EQUAL(bookers[0].sends + bookers[1].sends, 1);
	close_bookers();
}

static void
test_outage_refuses(void)
{
	open_bookers();
	post(&si, "/fault", "{\"mode\":\"down\"}");
	book(0, "k");
	while (bookers[0].answers == 0 && run(STEP_LIMIT_MS))
		;
	CU_ASSERT_EQUAL(bookers[0].answer.answer, LD_BOOKING_REFUSED);
	CU_ASSERT_EQUAL(bookers[0].answer.ran, LD_BOOKING_RAN_NO);
	CU_ASSERT_EQUAL(bookers[0].answer.earlier_ran, LD_BOOKING_RAN_UNKNOWN);
	CU_ASSERT(bookers[0].answer.retry_after_ms > 0);
	CU_ASSERT_EQUAL(bookers[0].sends, 0);
	/* Back again: the same key is booked, once. */
	post(&si, "/fault", "{\"mode\":\"ok\"}");
	run(200);
	bookers[0].answers = 0;
	book(0, "k");
	while (bookers[0].sends + bookers[0].answers == 0 && run(STEP_LIMIT_MS))
		;
	CU_ASSERT_EQUAL(bookers[0].sends, 1);
	settle();
	close_bookers();
}

/* The holder dies after its claim: no other node sends its booking. */
static void
test_holder_is_killed(void)
{
	open_bookers();
	bookers[0].answers_at_once = false;
	book(0, "k");
	CU_ASSERT_TRUE(run(STEP_LIMIT_MS));
	CU_ASSERT_EQUAL(bookers[0].sends, 1);
	ld_booking_task_free(bookers[0].task);
	bookers[0].task = NULL;
	book(1, "k");
	while (bookers[1].answers == 0 && run(STEP_LIMIT_MS))
		;
	CU_ASSERT_EQUAL(bookers[1].answer.answer, LD_BOOKING_IN_PROGRESS);
	CU_ASSERT_EQUAL(bookers[1].sends, 0);
	close_bookers();
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a repeat through another node", test_repeat_through_another_node},
	    {"the claim's answer is lost", test_lost_answer_of_the_claim},
	    {"an outage refuses", test_outage_refuses},
	    {"the holder is killed", test_holder_is_killed},
	    {NULL, NULL},
	};
	int status;

	if (!standin_open(argv[0]))
		return 2;
	status = ld_test_main("booking store", cases);
	standin_close();
	return status;
}
