/*
 * The timer service, tasks with mailboxes, and the libev event loop that runs
 * them. Source: lib/loop.
 */
#ifndef LD_LOOP_H
#define LD_LOOP_H

#include "ld_common.h"

struct ev_loop;

/* ---- Timer service ---- */

struct ld_timers;
struct ld_timer;

/**
 * struct ld_timer - one-shot timer; zero-initialise, set fn, then start
 * @fn: called once when due, with the time in ms; may restart the timer
 */
struct ld_timer {
	void (*fn)(struct ld_timer *t, uint64_t now_ms);
	uint64_t due_ms;
	uint64_t start_seq; /* start sequence: breaks ties of due_ms */
	size_t heap_pos; /* 1 + index in the heap, 0 when not started */
};

/** ld_timers_new() - a timer service whose clock starts at @now_ms */
struct ld_timers *ld_timers_new(uint64_t now_ms);
void ld_timers_free(struct ld_timers *ts);
uint64_t ld_timers_now(const struct ld_timers *ts);
/** ld_timer_start() - (re)start @t to fire at @due_ms */
void ld_timer_start(struct ld_timers *ts, struct ld_timer *t, uint64_t due_ms);
/** ld_timer_after() - (re)start @t to fire @delay_ms from now */
void ld_timer_after(
    struct ld_timers *ts, struct ld_timer *t, uint64_t delay_ms);
/** ld_timer_stop() - no effect when @t is not started */
void ld_timer_stop(struct ld_timers *ts, struct ld_timer *t);
bool ld_timer_active(const struct ld_timer *t);
/**
 * ld_timers_advance() - set the clock to @now_ms and fire due timers in order
 *
 * During each callback the clock stands at the due time of its timer instead of
 * @now_ms, so that a simulated run is reproducible byte for byte. The clock
 * never moves backwards: a timer started with a past due time sees no change.
 */
void ld_timers_advance(struct ld_timers *ts, uint64_t now_ms);
/** ld_timers_next() - due time of the earliest timer, UINT64_MAX if none */
uint64_t ld_timers_next(const struct ld_timers *ts);

/* ---- Tasks and messages ---- */

struct ld_loop;
struct ld_task;

/** struct ld_msg - message header; first member of every message type */
struct ld_msg {
	struct ld_msg *next;
	int type;
	void (*release)(struct ld_msg *m); /* NULL: free() */
};

/** struct ld_task_ops - message handler of one type of task */
struct ld_task_ops {
	const char *name;
	void (*receive)(struct ld_task *t, struct ld_msg *m);
};

/**
 * struct ld_task - owner of sockets and state; first member of each task
 *
 * Tasks share no state: they post messages, which the loop delivers to each
 * task in the order posted, never from within ld_task_post().
 */
struct ld_task {
	const struct ld_task_ops *ops;
	struct ld_loop *loop;
	struct ld_msg *head;
	struct ld_msg **tail;
	struct ld_task *ready_next;
	bool ready;
};

void ld_task_init(
    struct ld_task *t, struct ld_loop *loop, const struct ld_task_ops *ops);
/** ld_task_post() - enqueue @m; the loop releases it after receive() */
void ld_task_post(struct ld_task *t, struct ld_msg *m);
/** ld_task_fini() - release the undelivered messages */
void ld_task_fini(struct ld_task *t);

/* ---- Loop ---- */

/** A loop iteration overdue by more than this is a pause of the process. */
#define LD_LOOP_PAUSE_MS 1000

struct ld_loop *ld_loop_new(void);
void ld_loop_free(struct ld_loop *l);
struct ev_loop *ld_loop_ev(struct ld_loop *l);
struct ld_timers *ld_loop_timers(struct ld_loop *l);
/**
 * ld_loop_now() - CLOCK_BOOTTIME in ms, read at the call
 *
 * For deadlines that are checked at the point of use: ld_timers_now() is as old
 * as the loop iteration.
 */
uint64_t ld_loop_now(const struct ld_loop *l);
/** ld_loop_now_us() - CLOCK_BOOTTIME in microseconds, read at the call */
uint64_t ld_loop_now_us(void);
/** ld_loop_run() - run until ld_loop_stop() */
void ld_loop_run(struct ld_loop *l);
void ld_loop_stop(struct ld_loop *l);
/**
 * ld_loop_take_longest_turn_ms() - the longest turn since the last call: from the
 * end of a wait to the next wait, while no other event has its turn
 */
uint64_t ld_loop_take_longest_turn_ms(struct ld_loop *l);
/** ld_loop_pauses() - number of process pauses detected */
uint64_t ld_loop_pauses(const struct ld_loop *l);

#endif
