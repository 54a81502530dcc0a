/* Admission on one node: limits, buckets, slots and the catalogue. */
#include <string.h>

#include "ld_admit.h"
#include "ld_test.h"

#define SEED 5
#define NODE 11
#define CAPACITY 64

static const struct ld_admit_entry entries[] = {
    {LD_STR("paid"), LD_ADMIT_PAID, 10, 10000, 8, 4},
    {LD_STR("late"), LD_ADMIT_LATE, 100, 10000, 50, 0},
    {LD_STR("none"), LD_ADMIT_UNPAID, 0, 10000, 50, 0},
};

static struct ld_admit *
admit_new(uint64_t now_ms)
{
	struct ld_admit_config c = {.node = NODE, .seed = SEED};
	struct ld_admit_member m = {NODE, LD_STR("z1"), true};
	struct ld_admit *a = ld_admit_new(&c, now_ms);

	ld_admit_members(a, now_ms, &m, 1);
	ld_admit_capacity(a, now_ms, CAPACITY);
	ld_admit_catalogue(a, now_ms, entries, 3);
	return a;
}

static void
advance(struct ld_admit *a, uint64_t *now_ms, uint64_t by)
{
	for (uint64_t t = 0; t < by; t += LD_ADMIT_TICK_MS) {
		*now_ms += LD_ADMIT_TICK_MS;
		ld_admit_tick(a, *now_ms);
	}
}

static unsigned int
admit_many(struct ld_admit *a, uint64_t now_ms, const char *owner,
    unsigned int n, uint64_t *tickets, struct ld_admit_decision *last)
{
	unsigned int got = 0;

	for (unsigned int i = 0; i < n; i++) {
		ld_admit_request(a, now_ms, ld_str_c(owner), 10, last);
		if (last->verdict != LD_ADMIT_YES)
			continue;
		if (tickets != NULL)
			tickets[got] = last->ticket;
		got++;
	}
	return got;
}

static void
test_refused_outright(void)
{
	struct ld_admit_config c = {.node = NODE, .seed = SEED};
	struct ld_admit_decision d;
	struct ld_admit *a = ld_admit_new(&c, 0);

	ld_admit_request(a, 0, LD_STR("paid"), 10, &d);
	CU_ASSERT_EQUAL(d.verdict, LD_ADMIT_NO);
	CU_ASSERT_EQUAL(d.reason, LD_ADMIT_R_NO_CATALOGUE);
	CU_ASSERT_TRUE(d.retry_after_ms > 0);
	ld_admit_free(a);
	a = admit_new(0);
	ld_admit_request(a, 0, LD_STR("nobody"), 10, &d);
	CU_ASSERT_EQUAL(d.reason, LD_ADMIT_R_UNKNOWN_OWNER);
	ld_admit_request(a, 0, LD_STR("none"), 10, &d);
	CU_ASSERT_EQUAL(d.reason, LD_ADMIT_R_RATE);
	CU_ASSERT_EQUAL(d.retry_after_ms, 0);
	ld_admit_free(a);
}

static void
test_request_rate(void)
{
	struct ld_admit_decision d;
	uint64_t now = 100, tickets[100];
	struct ld_admit *a = admit_new(now);
	unsigned int got = 0, n;

	advance(a, &now, 2000);
	for (int i = 0; i < 100; i++) {
		advance(a, &now, 100);
		n = admit_many(a, now, "paid", 3, tickets, &d);
		for (unsigned int j = 0; j < n; j++)
			ld_admit_done(a, now, tickets[j]);
		got += n;
	}
	/* 10 s at 10 requests/s, plus a burst of half a second. */
	CU_ASSERT_TRUE(got <= 106);
	CU_ASSERT_TRUE(got >= 95);
	CU_ASSERT_EQUAL(d.verdict, LD_ADMIT_NO);
	CU_ASSERT_EQUAL(d.reason, LD_ADMIT_R_RATE);
	CU_ASSERT_TRUE(d.retry_after_ms > 0);
	ld_admit_free(a);
}

static void
test_concurrent_and_left_over(void)
{
	struct ld_admit_decision d;
	uint64_t now = 100, tickets[64];
	struct ld_admit *a = admit_new(now);
	unsigned int got = 0, late = 0;

	for (int i = 0; i < 20; i++) {
		advance(a, &now, 200);
		late += admit_many(a, now, "late", 10, NULL, &d);
	}
	CU_ASSERT_EQUAL(late, 50);
	CU_ASSERT_EQUAL(d.reason, LD_ADMIT_R_CONCURRENT);
	for (int i = 0; i < 20; i++) {
		advance(a, &now, 200);
		got += admit_many(a, now, "paid", 2, tickets + got, &d);
	}
	CU_ASSERT_EQUAL(got, 8);
	CU_ASSERT_EQUAL(d.reason, LD_ADMIT_R_CONCURRENT);
	ld_admit_done(a, now, tickets[0]);
	ld_admit_done(a, now, tickets[0]);
	advance(a, &now, 1000);
	CU_ASSERT_EQUAL(admit_many(a, now, "paid", 3, NULL, &d), 1);
	ld_admit_free(a);
}

static unsigned int
count_cancels(struct ld_admit *a, uint64_t now_ms, bool *early)
{
	struct ld_admit_action act;
	unsigned int n = 0;

	while (ld_admit_next(a, &act)) {
		if (act.type != LD_ADMIT_CANCEL)
			continue;
		n++;
		if (early != NULL && act.decision.retry_after_ms > 0)
			*early = true;
		ld_admit_done(a, now_ms, act.decision.ticket);
	}
	return n;
}

static void
test_lost_capacity_cancels_the_left_over(void)
{
	struct ld_admit_decision d;
	struct ld_admit_stats s;
	uint64_t now = 100;
	struct ld_admit *a = admit_new(now);
	bool told = false;

	for (int i = 0; i < 20; i++) {
		advance(a, &now, 200);
		admit_many(a, now, "late", 10, NULL, &d);
	}
	advance(a, &now, 1000);
	CU_ASSERT_EQUAL(admit_many(a, now, "paid", 4, NULL, &d), 4);
	CU_ASSERT_TRUE(d.promised);
	CU_ASSERT_EQUAL(count_cancels(a, now, NULL), 0);
	ld_admit_capacity(a, now, CAPACITY / 4);
	advance(a, &now, 100);
	CU_ASSERT_EQUAL(count_cancels(a, now, &told), 50 - 12);
	CU_ASSERT_TRUE(told);
	ld_admit_get_stats(a, &s);
	CU_ASSERT_EQUAL(s.running, CAPACITY / 4);
	ld_admit_free(a);
}

static void
test_removed_owner_is_cancelled(void)
{
	struct ld_admit_decision d;
	uint64_t now = 100;
	struct ld_admit *a = admit_new(now);

	advance(a, &now, 2000);
	CU_ASSERT_EQUAL(admit_many(a, now, "paid", 3, NULL, &d), 3);
	ld_admit_catalogue(a, now, entries + 1, 2);
	CU_ASSERT_EQUAL(count_cancels(a, now, NULL), 3);
	ld_admit_request(a, now, LD_STR("paid"), 10, &d);
	CU_ASSERT_EQUAL(d.reason, LD_ADMIT_R_UNKNOWN_OWNER);
	ld_admit_free(a);
}

static void
test_lowered_limit_lets_streams_finish(void)
{
	struct ld_admit_entry lower = entries[0];
	struct ld_admit_decision d;
	uint64_t now = 100, tickets[16];
	struct ld_admit *a = admit_new(now);

	advance(a, &now, 2000);
	CU_ASSERT_EQUAL(admit_many(a, now, "paid", 5, tickets, &d), 5);
	lower.concurrent = 2;
	lower.promised = 1;
	ld_admit_catalogue(a, now, &lower, 1);
	advance(a, &now, 1000);
	CU_ASSERT_EQUAL(count_cancels(a, now, NULL), 0);
	CU_ASSERT_EQUAL(admit_many(a, now, "paid", 1, NULL, &d), 0);
	for (int i = 0; i < 3; i++)
		ld_admit_done(a, now, tickets[i]);
	advance(a, &now, 1000);
	CU_ASSERT_EQUAL(admit_many(a, now, "paid", 1, NULL, &d), 0);
	ld_admit_done(a, now, tickets[3]);
	advance(a, &now, 1000);
	CU_ASSERT_EQUAL(admit_many(a, now, "paid", 2, NULL, &d), 1);
	ld_admit_free(a);
}

static void
test_bad_messages(void)
{
	struct ld_admit *a = admit_new(100);
	struct ld_admit_stats s;

	CU_ASSERT_EQUAL(
	    ld_admit_message(a, 100, 99, LD_STR("\x91\x01")), LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(
	    ld_admit_message(a, 100, NODE, LD_STR("\x91\x01")), LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(
	    ld_admit_message(a, 100, NODE, LD_STR("")), LD_E_PROTOCOL);
	ld_admit_get_stats(a, &s);
	CU_ASSERT_EQUAL(s.messages_rejected, 3);
	ld_admit_free(a);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"refused outright", test_refused_outright},
	    {"request rate", test_request_rate},
	    {"concurrent and left over", test_concurrent_and_left_over},
	    {"lost capacity cancels the left over",
		test_lost_capacity_cancels_the_left_over},
	    {"a removed owner is cancelled", test_removed_owner_is_cancelled},
	    {"a lowered limit lets streams finish",
		test_lowered_limit_lets_streams_finish},
	    {"bad messages", test_bad_messages},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("admit", cases);
}
