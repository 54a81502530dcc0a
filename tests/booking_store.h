/*
 * Minimal lib/booking integration with a real store client, for testing the
 * two together without a full node.
 */
#ifndef BOOKING_STORE_H
#define BOOKING_STORE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ld_booking.h"
#include "ld_store.h"

struct ld_booking_task;

/**
 * struct ld_booking_task_ops - callbacks of the owner
 * @send: send call @id now, to the next server if @try is above 0: call
 *	ld_booking_task_may_send() just before and report completion with
 *	ld_booking_task_sent(), possibly from within this callback
 * @answer: answer the caller of @id; the call is then removed
 * @message: send @bytes to the node with that id; may be lost
 */
struct ld_booking_task_ops {
	void (*send)(void *arg, uint64_t id, unsigned int try);
	void (*answer)(void *arg, const struct ld_booking_action *answer);
	void (*message)(void *arg, struct ld_str to, struct ld_str bytes);
};

#define CLOCK_INTERVAL_MS 10000
#define KEY_BYTES 32

/** struct shard_call - the single outstanding store call of a shard */
struct shard_call {
	struct ld_store_call call; /* first member: done() casts */
	struct ld_booking_task *task;
	uint32_t shard;
	bool writing;
};

struct ld_booking_task {
	struct ld_loop *loop;
	struct ld_store *store;
	struct ld_booking *booking;
	const struct ld_booking_task_ops *ops;
	void *arg;
	struct shard_call *shards;
	uint32_t n_shards;
	struct ld_timer timer;
	struct ld_timer clock;
};

/** struct pending - an action that owns a copy of its payload */
struct pending {
	struct ld_booking_action action;
	char *bytes;
	char *to;
	char *body;
};

static inline void act(struct ld_booking_task *t);

static inline uint64_t
now(const struct ld_booking_task *t)
{
	return ld_loop_now(t->loop);
}

/* ---- Store ---- */

static inline enum ld_booking_write
outcome_of(const struct ld_store_answer *a)
{
	switch (a->outcome) {
	case LD_STORE_APPLIED:
		return LD_BOOKING_WRITE_APPLIED;
	case LD_STORE_CONFLICT:
		return LD_BOOKING_WRITE_CONFLICT;
	case LD_STORE_NOT_APPLIED:
		return LD_BOOKING_WRITE_NOT_APPLIED;
	default:
		return LD_BOOKING_WRITE_UNKNOWN;
	}
}

static inline void
on_store(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct shard_call *s = (struct shard_call *)call;
	struct ld_booking_task *t = s->task;
	bool read_ok = a->status == LD_OK || a->status == LD_E_NOT_FOUND;
	struct ld_booking_value v = {0};

	if (a->n > 0) {
		v.revision = a->kvs[0].mod_revision;
		v.bytes = a->kvs[0].value;
	}
	if (s->writing && a->outcome == LD_STORE_APPLIED)
		v.revision = a->revision;
	if (s->writing)
		ld_booking_write_done(
		    t->booking, now(t), s->shard, outcome_of(a), &v);
	else
		ld_booking_read_done(
		    t->booking, now(t), s->shard, read_ok ? &v : NULL);
	act(t);
}

static inline void
call_store(struct ld_booking_task *t, const struct ld_booking_action *a)
{
	struct shard_call *s = &t->shards[a->shard];
	struct ld_store_expect expect = {.mod_revision = a->expect};
	char key[KEY_BYTES];

	/* The module abandoned the previous call: drop its response. */
	ld_store_cancel(&s->call);
	snprintf(key, sizeof(key), "claims/%u", a->shard);
	s->writing = a->kind == LD_BOOKING_WRITE;
	if (s->writing)
		ld_store_cas(
		    t->store, &s->call, ld_str_c(key), a->bytes, expect, 0);
	else
		ld_store_read(t->store, &s->call, ld_str_c(key));
}

/* ---- Actions ---- */

static inline void
act_one(struct ld_booking_task *t, const struct ld_booking_action *a)
{
	switch (a->kind) {
	case LD_BOOKING_READ:
	case LD_BOOKING_WRITE:
		call_store(t, a);
		break;
	case LD_BOOKING_SEND:
		t->ops->send(t->arg, a->id, a->send_index);
		break;
	case LD_BOOKING_ANSWER:
		t->ops->answer(t->arg, a);
		break;
	case LD_BOOKING_MESSAGE:
		t->ops->message(t->arg, a->to, a->bytes);
		break;
	}
}

static inline char *
own(struct ld_str *view)
{
	char *copy = ld_str_dup(*view);

	view->p = copy;
	return copy;
}

/*
 * Removes and copies all actions before performing the first: performing one
 * may report an event, which invalidates the views held by the others.
 */
static inline size_t
take_all(struct ld_booking_task *t, struct pending **out)
{
	struct pending *v = NULL;
	struct ld_booking_action a;
	size_t n = 0;

	while (ld_booking_next_action(t->booking, &a)) {
		v = ld_realloc(v, (n + 1) * sizeof(*v));
		v[n].action = a;
		v[n].bytes = own(&v[n].action.bytes);
		v[n].to = own(&v[n].action.to);
		v[n].body = own(&v[n].action.body);
		n++;
	}
	*out = v;
	return n;
}

static inline void
act(struct ld_booking_task *t)
{
	struct pending *v;
	size_t n = take_all(t, &v);
	uint64_t due;

	for (size_t i = 0; i < n; i++) {
		act_one(t, &v[i].action);
		free(v[i].bytes);
		free(v[i].to);
		free(v[i].body);
	}
	free(v);
	due = ld_booking_next_due(t->booking);
	if (due == UINT64_MAX)
		ld_timer_stop(ld_loop_timers(t->loop), &t->timer);
	else
		ld_timer_start(ld_loop_timers(t->loop), &t->timer, due);
}

static inline void
on_timer(struct ld_timer *timer, uint64_t now_ms)
{
	struct ld_booking_task *t = (struct ld_booking_task *)((char *)timer -
	    offsetof(struct ld_booking_task, timer));

	ld_booking_tick(t->booking, now(t));
	act(t);
}

static inline void
on_clock(struct ld_timer *timer, uint64_t now_ms)
{
	struct ld_booking_task *t = (struct ld_booking_task *)((char *)timer -
	    offsetof(struct ld_booking_task, clock));
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ld_booking_set_wall_clock(t->booking, now(t),
	    (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000);
	ld_timer_after(ld_loop_timers(t->loop), timer, CLOCK_INTERVAL_MS);
}

/* ---- Calls of the owner ---- */

static inline struct ld_booking_task *
ld_booking_task_new(struct ld_loop *loop, struct ld_store *store,
    const struct ld_booking_config *config,
    const struct ld_booking_task_ops *ops, void *arg)
{
	struct ld_booking_task *t = ld_alloc(sizeof(*t));

	t->loop = loop;
	t->store = store;
	t->ops = ops;
	t->arg = arg;
	t->booking = ld_booking_new(config, now(t));
	t->n_shards = config->shards;
	t->shards = ld_alloc(t->n_shards * sizeof(*t->shards));
	for (uint32_t i = 0; i < t->n_shards; i++) {
		t->shards[i].call.done = on_store;
		t->shards[i].task = t;
		t->shards[i].shard = i;
	}
	t->timer.fn = on_timer;
	t->clock.fn = on_clock;
	on_clock(&t->clock, 0);
	return t;
}

static inline void
ld_booking_task_free(struct ld_booking_task *t)
{
	if (t == NULL)
		return;
	ld_timer_stop(ld_loop_timers(t->loop), &t->timer);
	ld_timer_stop(ld_loop_timers(t->loop), &t->clock);
	for (uint32_t i = 0; i < t->n_shards; i++)
		ld_store_cancel(&t->shards[i].call);
	ld_booking_free(t->booking);
	free(t->shards);
	free(t);
}

static inline enum ld_status
ld_booking_task_start(
    struct ld_booking_task *t, const struct ld_booking_call *call)
{
	enum ld_status st = ld_booking_start(t->booking, now(t), call);

	act(t);
	return st;
}

static inline bool
ld_booking_task_may_send(const struct ld_booking_task *t, uint64_t id)
{
	return ld_booking_may_send(t->booking, now(t), id);
}

static inline void
ld_booking_task_sent(struct ld_booking_task *t, uint64_t id,
    enum ld_booking_result result, int status, struct ld_str body)
{
	ld_booking_send_done(t->booking, now(t), id, result, status, body);
	act(t);
}

static inline void
ld_booking_task_gone(struct ld_booking_task *t, uint64_t id)
{
	ld_booking_client_disconnected(t->booking, now(t), id);
	act(t);
}

static inline void
ld_booking_task_members(
    struct ld_booking_task *t, const struct ld_str *ids, size_t n)
{
	ld_booking_members(t->booking, now(t), ids, n);
}

static inline void
ld_booking_task_message(
    struct ld_booking_task *t, struct ld_str from, struct ld_str bytes)
{
	ld_booking_message(t->booking, now(t), from, bytes);
	act(t);
}

static inline const struct ld_booking *
ld_booking_task_module(const struct ld_booking_task *t)
{
	return t->booking;
}

#endif
