/* Table of counters and gauges, latency histograms, and their text format. */
#include <assert.h>
#include <gsl/gsl_histogram.h>
#include <stdlib.h>

#include "ld_metrics.h"

struct ld_metrics {
	uint64_t values[LD_M_COUNT];
	gsl_histogram *latency[LD_L_COUNT];
	double sums[LD_L_COUNT];
};

#define COUNTER(id, name, unit, help) [id] = {name, false, unit, help}
#define GAUGE(id, name, unit, help) [id] = {name, true, unit, help}

static const struct ld_metric_row rows[LD_M_COUNT] = {
    COUNTER(
	LD_M_REQUESTS, "ld_requests_total", "requests", "Requests of callers."),
    COUNTER(
	LD_M_TOKENS, "ld_tokens_total", "tokens", "Tokens relayed to callers."),
    COUNTER(LD_M_REFUSED, "ld_refused_total", "requests",
	"Requests that admission refused."),
    COUNTER(LD_M_FAILED, "ld_failed_total", "requests",
	"Requests answered with a problem after they were admitted."),
    COUNTER(LD_M_RETRIES, "ld_retries_total", "calls",
	"Calls sent again to another backend server."),
    COUNTER(LD_M_RESUMES, "ld_resumes_total", "streams",
	"Streams resumed on another replica from the last token."),
    COUNTER(LD_M_BROKEN_STREAMS, "ld_broken_streams_total", "streams",
	"Streams that ended with a problem."),
    COUNTER(LD_M_CANCELLED_STREAMS, "ld_cancelled_streams_total", "streams",
	"Streams ended to give capacity back or by a catalogue change."),
    COUNTER(LD_M_HANGUPS, "ld_hangups_total", "requests",
	"Callers that hung up before the answer ended."),
    COUNTER(LD_M_SERVICE_CALLS, "ld_service_calls_total", "calls",
	"Calls of plain services."),
    COUNTER(LD_M_SERVICE_UNKNOWN, "ld_service_unknown_total", "calls",
	"Calls of plain services whose outcome is unknown."),
    COUNTER(LD_M_BOOKINGS, "ld_bookings_total", "calls",
	"Calls with an Idempotency-Key that were claimed."),
    COUNTER(LD_M_BOOKINGS_REPEATED, "ld_bookings_repeated_total", "calls",
	"Repeats that were answered from a claim."),
    GAUGE(LD_M_OPEN_REQUESTS, "ld_open_requests", "requests",
	"Requests in progress."),
    GAUGE(LD_M_CONNECTIONS, "ld_connections", "connections",
	"Connections from callers."),
    COUNTER(LD_M_PAUSES, "ld_pauses_total", "pauses",
	"Times this process was found to have been stopped."),
    GAUGE(LD_M_CATALOGUE_REVISION, "ld_catalogue_revision", "revision",
	"Catalogue revision in force here, 0 for none."),
    COUNTER(LD_M_STORE_CALLS, "ld_store_calls_total", "calls",
	"Calls of the store."),
    COUNTER(LD_M_STORE_FAILURES, "ld_store_failures_total", "calls",
	"Calls of the store that failed."),
    COUNTER(LD_M_STORE_STALE, "ld_store_stale_total", "answers",
	"Answers of the store refused as older than one seen."),
    COUNTER(LD_M_STORE_OTHER_CLUSTER, "ld_store_other_cluster_total", "answers",
	"Answers of the store refused as of another cluster."),
    COUNTER(LD_M_STORE_OVER_BUDGET, "ld_store_over_budget_total", "calls",
	"Calls of the store not made for the node's budget."),
    GAUGE(LD_M_STORE_REVISION, "ld_store_revision", "revision",
	"Highest store revision seen."),
    GAUGE(LD_M_LIVE_LIST_VERSION, "ld_live_list_version", "version",
	"Version of the live list in force here."),
    GAUGE(LD_M_LIVE_LIST_AGE_MS, "ld_live_list_age_ms", "ms",
	"Time since the live list was confirmed."),
    GAUGE(LD_M_PEERS_ALIVE, "ld_peers_alive", "nodes",
	"Nodes that are alive, this one included."),
    GAUGE(
	LD_M_PEERS_LINKS, "ld_peers_links", "links", "Peer links that are up."),
    COUNTER(LD_M_PEER_BYTES_IN, "ld_peer_bytes_in_total", "bytes",
	"Bytes received from peers."),
    COUNTER(LD_M_PEER_BYTES_OUT, "ld_peer_bytes_out_total", "bytes",
	"Bytes sent to peers."),
    COUNTER(LD_M_PEER_FRAMES_REFUSED, "ld_peer_frames_refused_total", "frames",
	"Peer frames refused: wrong key, replayed or malformed."),
    GAUGE(LD_M_CAPACITY_SLOTS, "ld_capacity_slots", "slots",
	"Slots of all fit replicas."),
    GAUGE(LD_M_REPLICAS_FIT, "ld_replicas_fit", "replicas",
	"Replicas that may serve now."),
    COUNTER(LD_M_RELAY_ANSWERED, "ld_relay_answered_total", "requests",
	"Answers of servers that were passed on."),
    COUNTER(LD_M_RELAY_BROKEN, "ld_relay_broken_total", "streams",
	"Streams that ended before their last event."),
    COUNTER(LD_M_RELAY_MEMORY_ENDED, "ld_relay_memory_ended_total", "answers",
	"Answers ended as all together took too much memory."),
    COUNTER(LD_M_RELAY_SENDS, "ld_relay_sends_total", "sends",
	"Requests sent to servers, repeats included."),
    COUNTER(LD_M_RELAY_REPEATS, "ld_relay_repeats_total", "sends",
	"Requests sent once more before an answer began."),
    COUNTER(LD_M_HTTP_RESENDS, "ld_http_resends_total", "requests",
	"Requests that the HTTP library was kept from sending again by "
	"itself."),
    COUNTER(LD_M_RELAY_RESUMED, "ld_relay_resumed_total", "streams",
	"Streams that went on at another server."),
    COUNTER(LD_M_RELAY_ORDERS, "ld_relay_orders_total", "orders",
	"Orders to servers by the holder of the control lease."),
    COUNTER(LD_M_RELAY_PROBES, "ld_relay_probes_total", "questions",
	"Servers asked for their report."),
    COUNTER(LD_M_RELAY_SILENT_GROUPS, "ld_relay_silent_groups_total", "groups",
	"Groups whose streams all stood still."),
    COUNTER(LD_M_RELAY_CRASH_SUSPECTS, "ld_relay_crash_suspects_total",
	"requests",
	"Prompts whose server broke off before the answer went on."),
    COUNTER(LD_M_RELAY_CRASHES, "ld_relay_crashes_total", "requests",
	"Requests at servers that are known to have crashed."),
    COUNTER(LD_M_RELAY_FORWARDED, "ld_relay_forwarded_total", "sends",
	"Requests sent to another node, as this one reaches no server."),
    COUNTER(LD_M_RELAY_ISOLATIONS, "ld_relay_isolations_total", "times",
	"Times that this node lost all servers while others reached them."),
    COUNTER(LD_M_RELAY_SERVER_LIMITS, "ld_relay_server_limits_total", "changes",
	"Changes of the rates that servers say they take."),
    COUNTER(LD_M_RELAY_WARMUPS, "ld_relay_warmups_total", "servers",
	"Servers that were found cold, and limited until they are warm."),
    COUNTER(LD_M_RELAY_SLOW_SERVERS, "ld_relay_slow_servers_total", "servers",
	"Servers that were found slower than the others."),
    COUNTER(LD_M_RELAY_QUARANTINES, "ld_relay_quarantines_total", "parts",
	"Parts of prompts that were quarantined."),
    COUNTER(LD_M_RELAY_QUARANTINE_REFUSED, "ld_relay_quarantine_refused_total",
	"requests", "Requests refused for a part in quarantine."),
    COUNTER(LD_M_RELAY_QUARANTINE_TRIALS, "ld_relay_quarantine_trials_total",
	"requests", "Requests in quarantine that were sent as a trial."),
    COUNTER(LD_M_RELAY_DATAGRAMS_IN, "ld_relay_datagrams_in_total", "datagrams",
	"Datagrams from other nodes."),
    COUNTER(LD_M_RELAY_DATAGRAMS_OUT, "ld_relay_datagrams_out_total",
	"datagrams", "Datagrams sent to other nodes."),
    COUNTER(LD_M_RELAY_MESH_UNSENT, "ld_relay_mesh_unsent_total", "datagrams",
	"Datagrams to other nodes that did not leave."),
    COUNTER(LD_M_RELAY_MESH_REFUSED, "ld_relay_mesh_refused_total", "datagrams",
	"Datagrams of unknown senders, or malformed."),
    COUNTER(LD_M_RELAY_CHANGES_SERVED, "ld_relay_changes_told_total", "answers",
	"Answers that told a node the store's changes."),
    COUNTER(LD_M_RELAY_CHANGES_REFUSED, "ld_relay_changes_refused_total",
	"answers", "Nodes that were refused the store's changes."),
    COUNTER(LD_M_RELAY_FOLLOW_FAILED, "ld_relay_follow_failed_total", "answers",
	"Nodes that failed to tell this one the store's changes."),
    COUNTER(LD_M_RELAY_STORE_ERAS, "ld_relay_store_eras_total", "returns",
	"Returns of the store from an older copy."),
    GAUGE(LD_M_RELAY_CONFIG_VERSION, "ld_relay_config_version", "version",
	"Configuration in force here, 0 for none."),
    GAUGE(LD_M_RELAY_CONFIG_AGE_MS, "ld_relay_config_age_ms", "ms",
	"Age of what is known from the store."),
    GAUGE(LD_M_RELAY_LOG_DROPPED, "ld_log_dropped_lines", "lines",
	"Lines of the structured log that found no room."),
};

/** struct latency_row - name and help text of a histogram in ms */
static const struct latency_row {
	const char *name;
	const char *help;
} latencies[LD_L_COUNT] = {
    [LD_L_FIRST_TOKEN] = {"ld_first_token_ms",
	"Time from the request to its first token."},
    [LD_L_TOKEN_GAP] = {"ld_token_gap_ms", "Time between two tokens."},
    [LD_L_SERVICE] = {"ld_service_ms", "Duration of plain service calls."},
    [LD_L_RELAY_FIRST] = {"ld_relay_first_event_ms",
	"Time from a relayed request to its first event."},
    [LD_L_RELAY_GAP] = {"ld_relay_worst_gap_ms",
	"Longest pause between two events of a relayed stream."},
    [LD_L_RELAY_ANSWER] = {"ld_relay_answer_ms",
	"Time from a relayed request to the end of its answer."},
};

/* Bucket bounds in ms. They include the default thresholds of the objectives,
 * 53 and 470 ms. */
static const double bounds_ms[] = {0, 1, 2, 5, 10, 20, 53, 100, 200, 470, 1000,
    2000, 5000, 10000, 60000, 3600000};

#define BOUNDS (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

const struct ld_metric_row *
ld_metric_rows(void)
{
	return rows;
}

struct ld_metrics *
ld_metrics_new(void)
{
	struct ld_metrics *m = ld_alloc(sizeof(*m));

	for (int i = 0; i < LD_L_COUNT; i++) {
		m->latency[i] = gsl_histogram_alloc(BOUNDS - 1);
		assert(m->latency[i] != NULL);
		gsl_histogram_set_ranges(m->latency[i], bounds_ms, BOUNDS);
	}
	return m;
}

void
ld_metrics_free(struct ld_metrics *m)
{
	if (m == NULL)
		return;
	for (int i = 0; i < LD_L_COUNT; i++)
		gsl_histogram_free(m->latency[i]);
	free(m);
}

void
ld_metrics_add(struct ld_metrics *m, enum ld_metric id, uint64_t n)
{
	m->values[id] += n;
}

void
ld_metrics_set(struct ld_metrics *m, enum ld_metric id, uint64_t value)
{
	m->values[id] = value;
}

uint64_t
ld_metrics_get(const struct ld_metrics *m, enum ld_metric id)
{
	return m->values[id];
}

void
ld_metrics_observe(struct ld_metrics *m, enum ld_latency id, double ms)
{
	double max_ms = bounds_ms[BOUNDS - 1];

	/* The last bucket also counts values beyond its upper bound. */
	gsl_histogram_increment(m->latency[id], ms < max_ms ? ms : max_ms - 1);
	m->sums[id] += ms;
}

static void
write_latency(const struct ld_metrics *m, int id, struct ld_buf *out)
{
	const gsl_histogram *h = m->latency[id];
	const char *name = latencies[id].name;
	unsigned long long cumulative = 0;

	ld_buf_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", name,
	    latencies[id].help, name);
	for (size_t i = 0; i + 1 < BOUNDS; i++) {
		cumulative += (unsigned long long)gsl_histogram_get(h, i);
		ld_buf_printf(out, "%s_bucket{le=\"%.0f\"} %llu\n", name,
		    bounds_ms[i + 1], cumulative);
	}
	ld_buf_printf(out, "%s_bucket{le=\"+Inf\"} %llu\n", name, cumulative);
	ld_buf_printf(out, "%s_sum %.0f\n%s_count %llu\n", name, m->sums[id],
	    name, cumulative);
}

void
ld_metrics_write(const struct ld_metrics *m, struct ld_buf *out)
{
	for (int i = 0; i < LD_M_COUNT; i++)
		ld_buf_printf(out, "# HELP %s %s\n# TYPE %s %s\n%s %llu\n",
		    rows[i].name, rows[i].help, rows[i].name,
		    rows[i].is_gauge ? "gauge" : "counter", rows[i].name,
		    (unsigned long long)m->values[i]);
	for (int i = 0; i < LD_L_COUNT; i++)
		write_latency(m, i, out);
}
