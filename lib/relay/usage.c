/* What this node uses, told in the log at long intervals. */
#include <stdlib.h>
#include <time.h>

#include "relay_internal.h"

/* Between two lines, ms: long against the work that it sums up. */
#define USAGE_EVERY_MS 5000
#define NS_PER_MS 1000000
#define MS_PER_S 1000

/** struct totals - since this process began */
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

/** struct usage - the totals as told last */
struct usage {
	struct totals told;
	uint64_t told_ms;
};

static uint64_t
processor_ms(void)
{
	struct timespec ts = {0};

	/* Without that clock the line says 0. */
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

	if (now < u->told_ms + USAGE_EVERY_MS)
		return;
	t = totals_now(r);
	ld_event("node.usage",
	    "ms=%llu processor_ms=%llu requests=%llu sends=%llu "
	    "store_reads=%llu store_writes=%llu store_leases=%llu "
	    "store_watches=%llu datagrams_in=%llu datagrams_out=%llu "
	    "bytes_in=%llu bytes_out=%llu peers=%zu holds_control=%d "
	    "watches_store=%d",
	    (unsigned long long)(now - u->told_ms),
	    (unsigned long long)(t.processor_ms - u->told.processor_ms),
	    (unsigned long long)(t.requests - u->told.requests),
	    (unsigned long long)(t.sends - u->told.sends),
	    (unsigned long long)(t.calls[LD_STORE_READ] -
		u->told.calls[LD_STORE_READ]),
	    (unsigned long long)(t.calls[LD_STORE_WRITE] -
		u->told.calls[LD_STORE_WRITE]),
	    (unsigned long long)(t.calls[LD_STORE_LEASE] -
		u->told.calls[LD_STORE_LEASE]),
	    (unsigned long long)(t.calls[LD_STORE_WATCH] -
		u->told.calls[LD_STORE_WATCH]),
	    (unsigned long long)(t.datagrams_in - u->told.datagrams_in),
	    (unsigned long long)(t.datagrams_out - u->told.datagrams_out),
	    (unsigned long long)(t.bytes_in - u->told.bytes_in),
	    (unsigned long long)(t.bytes_out - u->told.bytes_out),
	    mesh_nodes(r) - 1, leader_holds(r), feed_watches(r));
	u->told = t;
	u->told_ms = now;
}

void
usage_open(struct relay *r)
{
	r->usage = ld_alloc(sizeof(*r->usage));
	r->usage->told_ms = relay_now(r);
}

void
usage_close(struct relay *r)
{
	free(r->usage);
}
