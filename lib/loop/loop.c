/* Tasks with mailboxes and the libev event loop that runs them. */
#include <ev.h>
#include <stdlib.h>
#include <time.h>

#include "ld_loop.h"

#define MS_PER_S 1000.0
#define US_PER_MS 1000

struct ld_loop {
	struct ev_loop *ev;
	ev_prepare prepare; /* before polling: deliver messages, arm wake */
	ev_check check; /* after polling: detect pauses, fire due timers */
	ev_idle idle; /* prevents blocking while messages are queued */
	ev_timer wake; /* ends polling when the next timer is due */
	struct ld_timers *timers;
	struct ld_task *ready_head;
	struct ld_task **ready_tail;
	uint64_t expected_ms; /* the next iteration starts by then */
	uint64_t
	    turn_start_ms; /* of the turn in progress, 0 before the first */
	uint64_t longest_turn_ms; /* see ld_loop_take_longest_turn_ms() */
	uint64_t pauses;
};

uint64_t
ld_loop_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t
ld_loop_now(const struct ld_loop *l)
{
	return ld_loop_now_us() / US_PER_MS;
}

/* ---- Tasks ---- */

void
ld_task_init(
    struct ld_task *t, struct ld_loop *loop, const struct ld_task_ops *ops)
{
	*t = (struct ld_task){.ops = ops, .loop = loop};
	t->tail = &t->head;
}

void
ld_task_post(struct ld_task *t, struct ld_msg *m)
{
	m->next = NULL;
	*t->tail = m;
	t->tail = &m->next;
	if (t->ready)
		return;
	t->ready = true;
	t->ready_next = NULL;
	*t->loop->ready_tail = t;
	t->loop->ready_tail = &t->ready_next;
	ev_idle_start(t->loop->ev, &t->loop->idle);
}

static void
release(struct ld_msg *m)
{
	if (m->release != NULL)
		m->release(m);
	else
		free(m);
}

static struct ld_msg *
mailbox_pop(struct ld_task *t)
{
	struct ld_msg *m = t->head;

	if (m == NULL)
		return NULL;
	t->head = m->next;
	if (t->head == NULL)
		t->tail = &t->head;
	return m;
}

static void
ready_remove(struct ld_task *t)
{
	struct ld_loop *l = t->loop;
	struct ld_task **p;

	for (p = &l->ready_head; *p != NULL; p = &(*p)->ready_next) {
		if (*p != t)
			continue;
		*p = t->ready_next;
		if (l->ready_tail == &t->ready_next)
			l->ready_tail = p;
		break;
	}
	t->ready = false;
}

void
ld_task_fini(struct ld_task *t)
{
	struct ld_msg *m;

	while ((m = mailbox_pop(t)) != NULL)
		release(m);
	if (t->ready)
		ready_remove(t);
}

static struct ld_task *
ready_pop(struct ld_loop *l)
{
	struct ld_task *t = l->ready_head;

	if (t == NULL)
		return NULL;
	l->ready_head = t->ready_next;
	if (l->ready_head == NULL)
		l->ready_tail = &l->ready_head;
	t->ready = false;
	return t;
}

/*
 * Delivers one message of the first ready task, then requeues that task behind
 * the others, so that no task starves the rest.
 */
static void
deliver_next(struct ld_loop *l)
{
	struct ld_task *t = ready_pop(l);
	struct ld_msg *m;

	if (t == NULL)
		return;
	m = mailbox_pop(t);
	if (t->head != NULL && !t->ready) {
		t->ready = true;
		t->ready_next = NULL;
		*l->ready_tail = t;
		l->ready_tail = &t->ready_next;
	}
	if (m != NULL) {
		t->ops->receive(t, m);
		release(m);
	}
}

/* ---- Loop ---- */

/* Messages delivered per iteration before sockets are polled again. */
#define MESSAGES_PER_ITERATION 256

static void
on_prepare(struct ev_loop *ev, ev_prepare *w, int revents)
{
	struct ld_loop *l = w->data;
	uint64_t now, next;
	double wait;

	for (int i = 0; i < MESSAGES_PER_ITERATION && l->ready_head != NULL;
	     i++)
		deliver_next(l);
	if (l->ready_head == NULL)
		ev_idle_stop(ev, &l->idle);
	now = ld_loop_now(l);
	if (l->turn_start_ms != 0 &&
	    now - l->turn_start_ms > l->longest_turn_ms)
		l->longest_turn_ms = now - l->turn_start_ms;
	next = ld_timers_next(l->timers);
	ev_timer_stop(ev, &l->wake);
	l->expected_ms = UINT64_MAX;
	if (next == UINT64_MAX)
		return;
	l->expected_ms = next > now ? next : now;
	wait = next > now ? (double)(next - now) / MS_PER_S : 0.0;
	ev_now_update(ev);
	ev_timer_set(&l->wake, wait, 0.0);
	ev_timer_start(ev, &l->wake);
}

static void
on_check(struct ev_loop *ev, ev_check *w, int revents)
{
	struct ld_loop *l = w->data;
	uint64_t now = ld_loop_now(l);

	if (l->expected_ms != UINT64_MAX &&
	    now > l->expected_ms + LD_LOOP_PAUSE_MS) {
		l->pauses++;
		ld_log(LD_LOG_WARNING, "loop",
		    "the process was stopped for about %llu ms",
		    (unsigned long long)(now - l->expected_ms));
	}
	l->turn_start_ms = now;
	ld_timers_advance(l->timers, now);
}

static void
on_wake(struct ev_loop *ev, ev_timer *w, int revents)
{
}

static void
on_idle(struct ev_loop *ev, ev_idle *w, int revents)
{
}

struct ld_loop *
ld_loop_new(void)
{
	struct ld_loop *l = ld_alloc(sizeof(*l));

	l->ev = ev_loop_new(EVFLAG_AUTO);
	l->timers = ld_timers_new(ld_loop_now(l));
	l->ready_tail = &l->ready_head;
	l->expected_ms = UINT64_MAX;
	ev_prepare_init(&l->prepare, on_prepare);
	ev_check_init(&l->check, on_check);
	ev_timer_init(&l->wake, on_wake, 0.0, 0.0);
	ev_idle_init(&l->idle, on_idle);
	l->prepare.data = l;
	l->check.data = l;
	ev_prepare_start(l->ev, &l->prepare);
	ev_check_start(l->ev, &l->check);
	return l;
}

void
ld_loop_free(struct ld_loop *l)
{
	if (l == NULL)
		return;
	ev_loop_destroy(l->ev);
	ld_timers_free(l->timers);
	free(l);
}

struct ev_loop *
ld_loop_ev(struct ld_loop *l)
{
	return l->ev;
}

struct ld_timers *
ld_loop_timers(struct ld_loop *l)
{
	return l->timers;
}

void
ld_loop_run(struct ld_loop *l)
{
	ev_run(l->ev, 0);
}

void
ld_loop_stop(struct ld_loop *l)
{
	ev_break(l->ev, EVBREAK_ALL);
}

uint64_t
ld_loop_take_longest_turn_ms(struct ld_loop *l)
{
	uint64_t ms = l->longest_turn_ms;

	l->longest_turn_ms = 0;
	return ms;
}

uint64_t
ld_loop_pauses(const struct ld_loop *l)
{
	return l->pauses;
}
