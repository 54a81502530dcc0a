/* The timer service and the mailboxes. */
#include <string.h>

#include "ld_loop.h"
#include "ld_test.h"

struct probe {
	struct ld_timer timer;
	char tag;
	uint64_t fired_ms;
};

static char trace[16];

static void
on_probe(struct ld_timer *t, uint64_t now_ms)
{
	struct probe *p = (struct probe *)t;

	p->fired_ms = now_ms;
	strncat(trace, &p->tag, 1);
}

static void
test_timers_fire_in_due_order(void)
{
	struct ld_timers *ts = ld_timers_new(100);
	struct probe a = {{.fn = on_probe}, 'a', 0};
	struct probe b = {{.fn = on_probe}, 'b', 0};
	struct probe c = {{.fn = on_probe}, 'c', 0};

	trace[0] = '\0';
	ld_timer_start(ts, &a.timer, 300);
	ld_timer_start(ts, &b.timer, 200);
	ld_timer_start(ts, &c.timer, 200);
	CU_ASSERT_EQUAL(ld_timers_next(ts), 200);
	ld_timers_advance(ts, 199);
	CU_ASSERT_STRING_EQUAL(trace, "");
	ld_timers_advance(ts, 1000);
	CU_ASSERT_STRING_EQUAL(trace, "bca");
	CU_ASSERT_EQUAL(a.fired_ms, 300);
	CU_ASSERT_EQUAL(ld_timers_now(ts), 1000);
	ld_timers_free(ts);
}

static void
test_stopped_timer_stays_silent(void)
{
	struct ld_timers *ts = ld_timers_new(0);
	struct probe a = {{.fn = on_probe}, 'a', 0};
	struct probe b = {{.fn = on_probe}, 'b', 0};

	trace[0] = '\0';
	ld_timer_start(ts, &a.timer, 10);
	ld_timer_start(ts, &b.timer, 20);
	ld_timer_stop(ts, &a.timer);
	CU_ASSERT_FALSE(ld_timer_active(&a.timer));
	ld_timers_advance(ts, 30);
	CU_ASSERT_STRING_EQUAL(trace, "b");
	ld_timers_free(ts);
}

static void
test_random_is_repeatable(void)
{
	struct ld_rand a, b;

	ld_rand_seed(&a, 7);
	ld_rand_seed(&b, 7);
	for (int i = 0; i < 1000; i++)
		CU_ASSERT_EQUAL(ld_rand_u64(&a), ld_rand_u64(&b));
	ld_rand_seed(&b, 8);
	CU_ASSERT_NOT_EQUAL(ld_rand_u64(&a), ld_rand_u64(&b));
}

struct mail {
	struct ld_msg msg;
	char tag;
};

static void
receive(struct ld_task *t, struct ld_msg *m)
{
	struct mail *mail = (struct mail *)m;

	strncat(trace, &mail->tag, 1);
	if (mail->tag == 'z')
		ld_loop_stop(t->loop);
}

static void
post(struct ld_task *t, char tag)
{
	struct mail *mail = ld_alloc(sizeof(*mail));

	mail->tag = tag;
	ld_task_post(t, &mail->msg);
}

static void
test_messages_arrive_in_order(void)
{
	static const struct ld_task_ops ops = {"probe", receive};
	struct ld_loop *l = ld_loop_new();
	struct ld_task t;

	trace[0] = '\0';
	ld_task_init(&t, l, &ops);
	post(&t, 'x');
	post(&t, 'y');
	post(&t, 'z');
	post(&t, 'w');
	ld_loop_run(l);
	CU_ASSERT_STRING_EQUAL(trace, "xyzw");
	ld_task_fini(&t);
	ld_loop_free(l);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"timers fire in due order", test_timers_fire_in_due_order},
	    {"a stopped timer stays silent", test_stopped_timer_stays_silent},
	    {"random numbers repeat by seed", test_random_is_repeatable},
	    {"messages arrive in order", test_messages_arrive_in_order},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("loop", cases);
}
