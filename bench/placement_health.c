/*
 * Time to detect a server that was killed, frozen, isolated or slowed down,
 * false alarms at 2 % loss and varying delay, and cost of health checks per
 * node: 390 nodes in front of 600 servers in 7 failure domains. Prints a table
 * and JSON lines. Usage: placement_health [ROUNDS]
 */
#include "health_world.h"

#define NODES 390
#define SERVERS 600
#define ZONES 7
#define ROUNDS 10
#define LOSS 0.02
#define JITTER_MS 5
#define SETTLE_MS 8000
#define NOTICE_MAX_MS 30000
#define QUIET_MS 60000
#define SAMPLE_MS 100
/* GET /health and its response with headers and connection packets. */
#define PROBE_BYTES 1100

static struct hw w;

static int
compare(const void *va, const void *vb)
{
	uint64_t a = *(const uint64_t *)va;
	uint64_t b = *(const uint64_t *)vb;

	return (a > b) - (a < b);
}

/* Whether every observing node acts on the fault. */
static bool
noticed(enum hw_fault fault, size_t server)
{
	for (size_t i = 0; i < w.observers; i++) {
		if (fault == HW_SLOW && !hw_view(&w, i, server).straggler)
			return false;
		if (fault != HW_SLOW && hw_holds(&w, i, server))
			return false;
	}
	return true;
}

static uint64_t
notice_ms(enum hw_fault fault, size_t server)
{
	uint64_t start = w.now_ms;

	w.servers[server].fault = fault;
	while (!noticed(fault, server) && w.now_ms < start + NOTICE_MAX_MS)
		hw_step(&w);
	w.servers[server].fault = HW_FINE;
	return w.now_ms - start;
}

static void
measure_fault(enum hw_fault fault, const char *name, size_t rounds)
{
	uint64_t *ms = ld_alloc((rounds + 1) * sizeof(*ms));

	for (size_t i = 0; i < rounds; i++) {
		ms[i] = notice_ms(fault, ld_rand_below(&w.rand, SERVERS));
		hw_run(&w, 200 + ld_rand_below(&w.rand, 1000));
	}
	qsort(ms, rounds, sizeof(*ms), compare);
	printf(
	    "{\"bench\":\"placement_health\",\"fault\":\"%s\",\"rounds\":%zu,"
	    "\"p50_ms\":%llu,\"p95_ms\":%llu,\"max_ms\":%llu}\n",
	    name, rounds, (unsigned long long)ms[rounds / 2],
	    (unsigned long long)ms[rounds * 95 / 100],
	    (unsigned long long)ms[rounds - 1]);
	free(ms);
}

/* Changes to a worse state that an observer sees without any fault. */
static void
measure_quiet(void)
{
	static bool held[SERVERS], avoided[SERVERS], dead[SERVERS];
	size_t unreliable = 0, suspicions = 0, deaths = 0;
	uint64_t probes = w.probes, reports = w.reports;
	uint64_t bytes = w.report_bytes;
	double hours = (double)QUIET_MS / 3600000.0;
	double seconds = (double)QUIET_MS / 1000.0;

	for (size_t s = 0; s < SERVERS; s++)
		held[s] = true;
	for (uint64_t end = w.now_ms + QUIET_MS; w.now_ms < end;) {
		hw_run(&w, SAMPLE_MS);
		for (size_t s = 0; s < SERVERS; s++) {
			struct ld_health_view v = hw_view(&w, 0, s);
			bool holds = hw_holds(&w, 0, s);
			bool avoid =
			    v.state == LD_HEALTH_SUSPECT || v.straggler;

			unreliable += held[s] && !holds;
			suspicions += avoid && !avoided[s];
			deaths += v.state == LD_HEALTH_DEAD && !dead[s];
			held[s] = holds;
			avoided[s] = avoid;
			dead[s] = v.state == LD_HEALTH_DEAD;
		}
	}
	probes = w.probes - probes;
	reports = w.reports - reports;
	bytes = w.report_bytes - bytes;
	printf("{\"bench\":\"placement_health\",\"quiet_s\":%.0f,"
	       "\"false_deaths_per_hour\":%.1f,\"unreliable_per_hour\":%.1f,"
	       "\"avoided_per_hour\":%.1f}\n",
	    seconds, (double)deaths / hours, (double)unreliable / hours,
	    (double)suspicions / hours);
	printf("{\"bench\":\"placement_health\",\"probes_per_node_s\":%.2f,"
	       "\"probe_bytes_per_node_s\":%.0f,\"reports_per_node_s\":%.2f,"
	       "\"reports_per_fleet_s\":%.0f,\"report_bytes\":%.0f,"
	       "\"fleet_report_bytes_s\":%.0f}\n",
	    (double)probes / seconds / NODES,
	    (double)probes * PROBE_BYTES / seconds / NODES,
	    (double)reports / seconds / NODES, (double)reports / seconds,
	    (double)bytes / (double)reports, (double)bytes / seconds);
}

int
main(int argc, char **argv)
{
	size_t rounds = argc > 1 ? strtoull(argv[1], NULL, 10) : ROUNDS;

	if (ld_common_init() != LD_OK || rounds == 0)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	hw_init(&w, 1, NODES, SERVERS, ZONES);
	w.loss = LOSS;
	w.jitter_ms = JITTER_MS;
	hw_run(&w, SETTLE_MS);
	measure_fault(HW_KILLED, "killed", rounds);
	measure_fault(HW_FROZEN, "frozen", rounds);
	measure_fault(HW_ISOLATED, "isolated", rounds);
	measure_fault(HW_SLOW, "straggling", rounds);
	hw_run(&w, SETTLE_MS);
	measure_quiet();
	hw_free(&w);
	return 0;
}
