/*
 * The timer service, tasks with mailboxes, and the libev loop that runs
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
 * struct ld_timer - one subscription; zero-initialise, set fn, then start
 * @fn: called once when due, with the time in ms; may start the timer again
 */
struct ld_timer {
	void (*fn)(struct ld_timer *t, uint64_t now_ms);
	uint64_t due_ms;
	uint64_t order; /* starts in the same ms fire in the order started */
	size_t slot; /* 1 + index in the heap, 0 when not started */
};

/** ld_timers_new() - a service driven by hand, at time @now_ms */
struct ld_timers *ld_timers_new(uint64_t now_ms);
void ld_timers_free(struct ld_timers *ts);
uint64_t ld_timers_now(const struct ld_timers *ts);
/** ld_timer_start() - (re)start @t to fire at @due_ms */
void ld_timer_start(struct ld_timers *ts, struct ld_timer *t, uint64_t due_ms);
/** ld_timer_after() - (re)start @t to fire @delay_ms from now */
void ld_timer_after(
    struct ld_timers *ts, struct ld_timer *t, uint64_t delay_ms);
/** ld_timer_stop() - does nothing when @t is not started */
void ld_timer_stop(struct ld_timers *ts, struct ld_timer *t);
bool ld_timer_active(const struct ld_timer *t);
/**
 * ld_timers_advance() - move to @now_ms and fire what is due, in due order
 *
 * The time seen by each callback is its own due time when driven by hand, so
 * that a session replays to the byte. Time never goes back.
 */
void ld_timers_advance(struct ld_timers *ts, uint64_t now_ms);
/** ld_timers_next() - due time of the earliest timer, UINT64_MAX if none */
uint64_t ld_timers_next(const struct ld_timers *ts);

/* ---- Tasks and messages ---- */

struct ld_loop;
struct ld_task;

/** struct ld_msg - header of every message; the first member of each kind */
struct ld_msg {
	struct ld_msg *next;
	int type;
	void (*release)(struct ld_msg *m); /* NULL: free() */
};

/** struct ld_task_ops - what a kind of task does with its messages */
struct ld_task_ops {
	const char *name;
	void (*receive)(struct ld_task *t, struct ld_msg *m);
};

/**
 * struct ld_task - owner of sockets and state; first member of each task
 *
 * Tasks share nothing: they post messages, which the loop hands over in
 * order, never from inside ld_task_post().
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
/** ld_task_post() - hand over @m; the loop releases it after receive() */
void ld_task_post(struct ld_task *t, struct ld_msg *m);
/** ld_task_fini() - drop what waits in the mailbox */
void ld_task_fini(struct ld_task *t);

/* ---- Loop ---- */

/** A gap between two turns beyond this counts as a pause of the process. */
#define LD_LOOP_PAUSE_MS 1000

struct ld_loop *ld_loop_new(void);
void ld_loop_free(struct ld_loop *l);
struct ev_loop *ld_loop_ev(struct ld_loop *l);
struct ld_timers *ld_loop_timers(struct ld_loop *l);
/** ld_loop_now() - CLOCK_BOOTTIME in ms, read now: for checks at use */
uint64_t ld_loop_now(const struct ld_loop *l);
/** ld_loop_now_us() - CLOCK_BOOTTIME in microseconds, read now */
uint64_t ld_loop_now_us(void);
/** ld_loop_run() - run until ld_loop_stop() */
void ld_loop_run(struct ld_loop *l);
void ld_loop_stop(struct ld_loop *l);
/** ld_loop_pauses() - how often the process was found to have been stopped */
uint64_t ld_loop_pauses(const struct ld_loop *l);

#endif
