/* State and timed event queue of the lib/booking simulation. */
#ifndef BOOKING_EVENTS_H
#define BOOKING_EVENTS_H

#include <stdlib.h>
#include <string.h>

#include "ld_booking.h"
#include "ld_test.h"

#define NODES_MAX 8
#define KEYS_MAX 4096
#define SHARDS_MAX 16
#define CALLS_MAX 65536
#define WALL_AT_START_MS 1700000000000ULL
#define STORE_TIMEOUT_MS 300
#define SERVICE_TIMEOUT_MS 400

enum event_kind {
	EV_TICK,
	EV_STORE_READ, /* the request reaches the store */
	EV_READ_DONE,
	EV_STORE_WRITE,
	EV_WRITE_DONE,
	EV_MESSAGE,
	EV_SEND, /* the adapter is about to send */
	EV_SERVICE, /* the request reaches the service */
	EV_SENT_DONE,
	EV_CALL, /* a caller (re)tries */
	EV_FAULT,
};

/* Percent of the cases in which a fault is injected. */
struct faults {
	unsigned int lost_answer; /* response lost after the write */
	unsigned int late_write; /* applied after its time-out */
	unsigned int refused; /* store connections refused */
	unsigned int no_connection; /* service unreachable */
	unsigned int lost_result; /* response of an executed call */
	unsigned int lost_message;
	unsigned int hang_up; /* caller disconnects */
	uint64_t every_ms; /* mean time between kills, freezes, outages */
};

struct event {
	uint64_t at_ms;
	uint64_t order;
	enum event_kind kind;
	int node;
	unsigned int incarnation;
	uint32_t shard;
	int64_t revision;
	int outcome;
	uint64_t id;
	struct ld_buf bytes;
	char from[32];
	int key;
};

struct world_node {
	struct ld_booking *b;
	unsigned int incarnation;
	char id[32];
	uint64_t frozen_until;
	uint64_t tick_at;
};

struct world_shard {
	int64_t revision;
	struct ld_buf value;
	unsigned int writes_in_s; /* requests that reached the store */
	uint64_t second;
	unsigned int writes_in_s_max;
};

struct world_call {
	int key;
	int node;
	uint64_t started_ms;
	bool answered;
	bool told_not_run;
	bool ran;
};

struct world_key {
	char name[16];
	unsigned int runs;
	uint64_t ran_at_ms;
	unsigned int in_flight; /* sent, not yet at the service */
	unsigned int tries;
	bool settled; /* the caller has its result or stopped retrying */
	enum ld_booking_answer_kind last;
	bool answered;
};

struct world {
	struct ld_rand rand;
	struct faults faults;
	uint64_t now_ms;
	uint64_t order;
	struct event *events; /* heap */
	size_t n_events, cap_events;
	struct world_node nodes[NODES_MAX];
	int n_nodes;
	struct ld_booking_config config;
	struct world_shard shards[SHARDS_MAX];
	int64_t revision;
	uint64_t down_until_ms;
	struct world_key keys[KEYS_MAX];
	int n_keys;
	struct world_call *calls;
	uint64_t n_calls;
	unsigned int tries_max;
	bool unknown_is_final;
	unsigned int second_runs, false_not_run, false_earlier, false_recorded;
	unsigned int told[LD_BOOKING_ANSWER_KIND_COUNT];
	size_t value_bytes_max;
	uint64_t faults_end_ms;
	struct ld_buf trace;
	bool tracing;
};

static inline bool
chance(struct world *w, unsigned int percent)
{
	return w->now_ms < w->faults_end_ms &&
	    ld_rand_below(&w->rand, 100) < percent;
}

static inline uint64_t
between(struct world *w, uint64_t low, uint64_t high)
{
	return low + ld_rand_below(&w->rand, high - low + 1);
}

/* ---- Event queue ---- */

static inline bool
event_before(const struct event *a, const struct event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static inline void
world_push(struct world *w, struct event e)
{
	size_t i = w->n_events;

	if (w->n_events == w->cap_events) {
		w->cap_events = w->cap_events > 0 ? 2 * w->cap_events : 256;
		w->events =
		    ld_realloc(w->events, w->cap_events * sizeof(*w->events));
	}
	e.order = w->order++;
	w->n_events++;
	while (i > 0 && event_before(&e, &w->events[(i - 1) / 2])) {
		w->events[i] = w->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	w->events[i] = e;
}

static inline struct event
world_pop(struct world *w)
{
	struct event top = w->events[0];
	struct event last = w->events[--w->n_events];
	size_t i = 0;

	for (;;) {
		size_t c = 2 * i + 1;

		if (c >= w->n_events)
			break;
		if (c + 1 < w->n_events &&
		    event_before(&w->events[c + 1], &w->events[c]))
			c++;
		if (!event_before(&w->events[c], &last))
			break;
		w->events[i] = w->events[c];
		i = c;
	}
	if (w->n_events > 0)
		w->events[i] = last;
	return top;
}

static inline struct event
world_event(struct world *w, enum event_kind kind, int node, uint64_t delay_ms)
{
	struct event e = {.kind = kind, .node = node};

	e.at_ms = w->now_ms + delay_ms;
	if (node >= 0)
		e.incarnation = w->nodes[node].incarnation;
	return e;
}

static inline void
world_note(struct world *w, const char *what, int node, const char *detail)
{
	if (w->tracing)
		ld_buf_printf(&w->trace, "%6llu n%d %s %s\n",
		    (unsigned long long)w->now_ms, node, what, detail);
}

#endif
