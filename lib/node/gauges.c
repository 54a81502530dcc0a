/* Updates gauges, and counters that other modules keep. */
#include "node_internal.h"

static void
update_store_gauges(struct ld_node *n)
{
	const struct ld_store_counters *c = ld_store_counters(n->store);
	uint64_t calls = 0;
	uint64_t failures = 0;

	for (int i = 0; i < LD_STORE_KIND_COUNT; i++) {
		calls += c->calls[i];
		failures += c->failures[i];
	}
	ld_metrics_set(n->metrics, LD_M_STORE_CALLS, calls);
	ld_metrics_set(n->metrics, LD_M_STORE_FAILURES, failures);
	ld_metrics_set(n->metrics, LD_M_STORE_STALE, c->stale);
	ld_metrics_set(n->metrics, LD_M_STORE_OTHER_CLUSTER, c->other_cluster);
	ld_metrics_set(n->metrics, LD_M_STORE_OVER_BUDGET, c->over_budget);
	ld_metrics_set(n->metrics, LD_M_STORE_REVISION,
	    (uint64_t)ld_store_revision(n->store));
}

void
node_update_gauges(struct ld_node *n)
{
	struct ld_metrics *m = n->metrics;
	int64_t revision =
	    n->catalogue != NULL ? ld_catalogue_revision(n->catalogue) : 0;

	update_store_gauges(n);
	fleet_gauges(n->fleet, m);
	ld_metrics_set(m, LD_M_CATALOGUE_REVISION, (uint64_t)revision);
	ld_metrics_set(
	    m, LD_M_OPEN_REQUESTS, ld_listener_open_exchanges(n->entry));
	ld_metrics_set(m, LD_M_CONNECTIONS, ld_listener_connections(n->entry));
	ld_metrics_set(m, LD_M_PAUSES, ld_loop_pauses(n->loop));
	ld_metrics_set(
	    m, LD_M_CAPACITY_SLOTS, ld_route_capacity(n->route, node_now(n)));
	ld_metrics_set(m, LD_M_LIVE_LIST_VERSION,
	    (uint64_t)ld_live_current(n->live)->version);
	ld_metrics_set(m, LD_M_LIVE_LIST_AGE_MS, ld_live_age_ms(n->live));
}
