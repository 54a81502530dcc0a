/* Logs the resource usage of this node at regular intervals. */
#include <stdlib.h>
#include <time.h>

#include "relay_internal.h"

/* Interval of the log lines: long compared to the work that each sums up. */
#define USAGE_INTERVAL_MS 5000
#define NS_PER_MS 1000000
#define MS_PER_S 1000

/** struct totals - counts since this process started */
struct totals {
	uint64_t processor_ms;
	uint64_t requests;
	uint64_t sends;
	uint64_t calls[LD_STORE_KIND_COUNT];
	uint64_t datagrams_in;
	uint64_t datagrams_out;
	uint64_t bytes_in;
	uint64_t bytes_out;
};

/** struct usage - the totals at the last log line, and its time */
struct usage {
	struct totals logged;
	uint64_t logged_ms;
};

static uint64_t
processor_ms(void)
{
	struct timespec ts = {0};

	/* Without this clock the line reports 0. */
	if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts) != 0)
		return 0;
	return (uint64_t)ts.tv_sec * MS_PER_S +
	    (uint64_t)ts.tv_nsec / NS_PER_MS;
}

static struct totals
totals_now(const struct relay *r)
{
	const struct ld_store_counters *sc = ld_store_counters(r->store);
	const struct ld_metrics *m = r->metrics;
	struct totals t = {
	    .processor_ms = processor_ms(),
	    .requests = ld_metrics_get(m, LD_M_REQUESTS),
	    .sends = ld_metrics_get(m, LD_M_RELAY_SENDS),
	    .datagrams_in = ld_metrics_get(m, LD_M_RELAY_DATAGRAMS_IN),
	    .datagrams_out = ld_metrics_get(m, LD_M_RELAY_DATAGRAMS_OUT),
	    .bytes_in = ld_metrics_get(m, LD_M_PEER_BYTES_IN),
	    .bytes_out = ld_metrics_get(m, LD_M_PEER_BYTES_OUT),
	};

	for (int i = 0; i < LD_STORE_KIND_COUNT; i++)
		t.calls[i] = sc->calls[i];
	return t;
}

void
usage_tick(struct relay *r)
{
	struct usage *u = r->usage;
	uint64_t now = relay_now(r);
	struct totals t;

	if (now < u->logged_ms + USAGE_INTERVAL_MS)
		return;
	t = totals_now(r);
	ld_event("node.usage",
	    "ms=%llu processor_ms=%llu longest_turn_ms=%llu held_bytes=%zu "
	    "requests=%llu sends=%llu store_reads=%llu store_writes=%llu "
	    "store_leases=%llu "
	    "store_watches=%llu datagrams_in=%llu datagrams_out=%llu "
	    "bytes_in=%llu bytes_out=%llu peers=%zu holds_control=%d "
	    "watches_store=%d",
	    (unsigned long long)(now - u->logged_ms),
	    (unsigned long long)(t.processor_ms - u->logged.processor_ms),
	    (unsigned long long)ld_loop_take_longest_turn_ms(r->loop),
	    memory_held_bytes(r),
	    (unsigned long long)(t.requests - u->logged.requests),
	    (unsigned long long)(t.sends - u->logged.sends),
	    (unsigned long long)(t.calls[LD_STORE_READ] -
		u->logged.calls[LD_STORE_READ]),
	    (unsigned long long)(t.calls[LD_STORE_WRITE] -
		u->logged.calls[LD_STORE_WRITE]),
	    (unsigned long long)(t.calls[LD_STORE_LEASE] -
		u->logged.calls[LD_STORE_LEASE]),
	    (unsigned long long)(t.calls[LD_STORE_WATCH] -
		u->logged.calls[LD_STORE_WATCH]),
	    (unsigned long long)(t.datagrams_in - u->logged.datagrams_in),
	    (unsigned long long)(t.datagrams_out - u->logged.datagrams_out),
	    (unsigned long long)(t.bytes_in - u->logged.bytes_in),
	    (unsigned long long)(t.bytes_out - u->logged.bytes_out),
	    mesh_node_count(r) - 1, leader_holds(r), feed_is_watching(r));
	u->logged = t;
	u->logged_ms = now;
}

void
usage_open(struct relay *r)
{
	r->usage = ld_alloc(sizeof(*r->usage));
	r->usage->logged_ms = relay_now(r);
}

void
usage_close(struct relay *r)
{
	free(r->usage);
}
