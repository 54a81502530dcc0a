/* Timer service: a binary heap ordered by due time, then start sequence. */
#include <assert.h>
#include <stdlib.h>

#include "ld_loop.h"

struct ld_timers {
	struct ld_timer **heap;
	size_t count;
	size_t cap;
	uint64_t now_ms;
	uint64_t next_start_seq;
};

struct ld_timers *
ld_timers_new(uint64_t now_ms)
{
	struct ld_timers *ts = ld_alloc(sizeof(*ts));

	ts->now_ms = now_ms;
	return ts;
}

void
ld_timers_free(struct ld_timers *ts)
{
	if (ts == NULL)
		return;
	free(ts->heap);
	free(ts);
}

uint64_t
ld_timers_now(const struct ld_timers *ts)
{
	return ts->now_ms;
}

static bool
fires_before(const struct ld_timer *a, const struct ld_timer *b)
{
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms;
	return a->start_seq < b->start_seq;
}

static void
heap_set(struct ld_timers *ts, size_t i, struct ld_timer *t)
{
	ts->heap[i] = t;
	t->heap_pos = i + 1;
}

static void
sift_up(struct ld_timers *ts, size_t i)
{
	struct ld_timer *t = ts->heap[i];

	while (i > 0) {
		size_t parent = (i - 1) / 2;

		if (!fires_before(t, ts->heap[parent]))
			break;
		heap_set(ts, i, ts->heap[parent]);
		i = parent;
	}
	heap_set(ts, i, t);
}

static void
sift_down(struct ld_timers *ts, size_t i)
{
	struct ld_timer *t = ts->heap[i];

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= ts->count)
			break;
		if (child + 1 < ts->count &&
		    fires_before(ts->heap[child + 1], ts->heap[child]))
			child++;
		if (!fires_before(ts->heap[child], t))
			break;
		heap_set(ts, i, ts->heap[child]);
		i = child;
	}
	heap_set(ts, i, t);
}

void
ld_timer_start(struct ld_timers *ts, struct ld_timer *t, uint64_t due_ms)
{
	assert(t->fn != NULL);
	ld_timer_stop(ts, t);
	if (ts->count == ts->cap) {
		ts->cap = ts->cap > 0 ? 2 * ts->cap : 16;
		ts->heap = ld_realloc(ts->heap, ts->cap * sizeof(*ts->heap));
	}
	t->due_ms = due_ms;
	t->start_seq = ts->next_start_seq++;
	heap_set(ts, ts->count, t);
	ts->count++;
	sift_up(ts, ts->count - 1);
}

void
ld_timer_after(struct ld_timers *ts, struct ld_timer *t, uint64_t delay_ms)
{
	ld_timer_start(ts, t, ts->now_ms + delay_ms);
}

void
ld_timer_stop(struct ld_timers *ts, struct ld_timer *t)
{
	struct ld_timer *last;
	size_t i;

	if (t->heap_pos == 0)
		return;
	i = t->heap_pos - 1;
	t->heap_pos = 0;
	ts->count--;
	if (i == ts->count)
		return;
	last = ts->heap[ts->count];
	heap_set(ts, i, last);
	sift_up(ts, i);
	sift_down(ts, last->heap_pos - 1);
}

bool
ld_timer_active(const struct ld_timer *t)
{
	return t->heap_pos != 0;
}

void
ld_timers_advance(struct ld_timers *ts, uint64_t now_ms)
{
	while (ts->count > 0 && ts->heap[0]->due_ms <= now_ms) {
		struct ld_timer *t = ts->heap[0];

		ld_timer_stop(ts, t);
		if (t->due_ms > ts->now_ms)
			ts->now_ms = t->due_ms;
		t->fn(t, ts->now_ms);
	}
	if (now_ms > ts->now_ms)
		ts->now_ms = now_ms;
}

uint64_t
ld_timers_next(const struct ld_timers *ts)
{
	return ts->count > 0 ? ts->heap[0]->due_ms : UINT64_MAX;
}
