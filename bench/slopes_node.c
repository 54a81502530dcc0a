/*
 * One node of the slope measurement: a process that runs the peer task alone.
 * All processes of a run share a schedule on CLOCK_BOOTTIME. At its end each
 * prints its cost in the measured window as one JSON line.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "peer_task.h"

#define KEY LD_STR("a key for measurements only")
#define SEEDS 3
#define REGIONS 2
#define DOMAINS 7 /* in both regions together */
/* The fleet's replicas; the load of each is published once a second. */
#define REPLICAS 18
#define LOAD_BYTES 48
#define LOAD_MS 1000
/* Schedule, relative to the common start. */
#define MEASURE_FROM_MS 9000
#define MEASURE_TO_MS 21000
#define OFFER_MS 21500
#define END_MS 26000
#define CATALOGUE_BYTES 6144
#define REVISION 7

/** struct sample - resources used by a process so far */
struct sample {
	uint64_t cpu_us;
	uint64_t wall_us;
	struct ld_peer_task_counters counters;
};

struct bench {
	struct ld_loop *loop;
	struct ld_peer_task *task;
	struct ld_timer step;
	struct ld_timer load;
	unsigned long index;
	unsigned long count;
	unsigned long base_port;
	uint64_t start_ms;
	size_t next_step;
	struct sample before;
	struct sample after;
	size_t links;
	size_t alive;
	uint64_t adopted_ms; /* after the offer; UINT64_MAX: never */
	uint64_t confirmed_ms; /* all confirmed, as the first node sees it */
};

static struct sample
take_sample(const struct bench *b)
{
	struct sample s;
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	s.cpu_us = (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
	s.wall_us = ld_loop_now_us();
	ld_peer_task_counters(b->task, &s.counters);
	return s;
}

static long
resident_kb(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	char line[128] = "";
	char *end = NULL;
	long pages = 0;

	if (f == NULL)
		return 0;
	if (fgets(line, sizeof(line), f) != NULL) {
		(void)strtol(line, &end, 10);
		pages = strtol(end, NULL, 10);
	}
	fclose(f);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static void
print_result(const struct bench *b)
{
	const struct ld_peer_task_counters *x = &b->before.counters;
	const struct ld_peer_task_counters *y = &b->after.counters;
	uint64_t refused =
	    y->refused_auth + y->refused_replay + y->refused_protocol;
	double s = (double)(b->after.wall_us - b->before.wall_us) / 1e6;

	printf("{\"bench\":\"slopes\",\"nodes\":%lu,\"index\":%lu,"
	       "\"cpu_percent\":%.4f,\"rss_kb\":%ld,\"bytes_per_s\":%.1f,"
	       "\"frames_per_s\":%.1f,\"links\":%zu,\"alive\":%zu,"
	       "\"adopted_ms\":%lld,\"confirmed_ms\":%lld,"
	       "\"refused\":%llu,\"deaths\":%llu}\n",
	    b->count, b->index,
	    (double)(b->after.cpu_us - b->before.cpu_us) / s / 1e4,
	    resident_kb(),
	    (double)(y->bytes_in + y->bytes_out - x->bytes_in - x->bytes_out) /
		s,
	    (double)(y->frames_in + y->frames_out - x->frames_in -
		x->frames_out) /
		s,
	    b->links, b->alive, (long long)b->adopted_ms,
	    (long long)b->confirmed_ms, (unsigned long long)refused,
	    (unsigned long long)y->peers.deaths);
}

/* ---- Load and catalogue ---- */

static void
on_load(struct ld_timer *t, uint64_t now_ms)
{
	struct bench *b =
	    (struct bench *)((char *)t - offsetof(struct bench, load));
	char key[16], value[LOAD_BYTES];

	memset(value, (int)(now_ms / LOAD_MS), sizeof(value));
	for (unsigned long r = b->index; r < REPLICAS; r += b->count) {
		snprintf(key, sizeof(key), "f%lu-r1", r);
		ld_peer_task_publish(b->task, LD_PEERS_REC_LOAD, ld_str_c(key),
		    (struct ld_str){value, sizeof(value)});
	}
	ld_timer_start(ld_loop_timers(b->loop), t, now_ms + LOAD_MS);
}

static void
adopt(struct bench *b)
{
	b->adopted_ms = ld_loop_now(b->loop) - b->start_ms - OFFER_MS;
	ld_peer_task_confirm_catalogue(b->task, REVISION);
}

static void
on_catalogue(void *arg, uint64_t revision, struct ld_str bytes)
{
	adopt(arg);
}

static void
on_record(void *arg, const struct ld_peers_record *r)
{
	struct bench *b = arg;

	if (b->index != 0 || r->kind != LD_PEERS_REC_CATALOGUE ||
	    b->confirmed_ms != UINT64_MAX)
		return;
	if (ld_peers_unconfirmed_count(
		ld_peer_task_peers(b->task), REVISION, true, NULL, NULL) == 0)
		b->confirmed_ms = ld_loop_now(b->loop) - b->start_ms - OFFER_MS;
}

static void
offer(struct bench *b)
{
	static const char bytes[CATALOGUE_BYTES];

	if (b->index != 0)
		return;
	ld_peer_task_offer_catalogue(
	    b->task, REVISION, (struct ld_str){bytes, sizeof(bytes)});
	adopt(b);
}

/* ---- Schedule ---- */

static void
begin_window(struct bench *b)
{
	b->before = take_sample(b);
}

static void
end_window(struct bench *b)
{
	b->after = take_sample(b);
	b->links = ld_peers_link_count(ld_peer_task_peers(b->task));
	b->alive = ld_peers_alive_count(ld_peer_task_peers(b->task));
}

static void
end(struct bench *b)
{
	print_result(b);
	ld_loop_stop(b->loop);
}

static const struct {
	uint64_t at_ms;
	void (*fn)(struct bench *b);
} steps[] = {
    {MEASURE_FROM_MS, begin_window},
    {MEASURE_TO_MS, end_window},
    {OFFER_MS, offer},
    {END_MS, end},
};

#define STEPS (sizeof(steps) / sizeof(steps[0]))

static void
on_step(struct ld_timer *t, uint64_t now_ms)
{
	struct bench *b =
	    (struct bench *)((char *)t - offsetof(struct bench, step));

	steps[b->next_step++].fn(b);
	if (b->next_step < STEPS)
		ld_timer_start(ld_loop_timers(b->loop), t,
		    b->start_ms + steps[b->next_step].at_ms);
}

/* ---- Set-up ---- */

static enum ld_status
start_task(struct bench *b)
{
	static const struct ld_peer_task_ops ops = {
	    .catalogue = on_catalogue, .record = on_record};
	char address[32], domain[16], region[16], seed[SEEDS][32];
	struct ld_str seeds[SEEDS];
	struct ld_peer_task_config config = {.key = KEY};

	snprintf(
	    address, sizeof(address), "127.0.0.1:%lu", b->base_port + b->index);
	snprintf(region, sizeof(region), "r%lu", b->index % REGIONS);
	snprintf(domain, sizeof(domain), "r%lu-z%lu", b->index % REGIONS,
	    b->index / REGIONS % (DOMAINS / REGIONS + 1 - b->index % REGIONS));
	for (unsigned long i = 0; i < SEEDS; i++) {
		snprintf(seed[i], sizeof(seed[i]), "127.0.0.1:%lu",
		    b->base_port + i * b->count / SEEDS);
		seeds[i] = ld_str_c(seed[i]);
	}
	config.listen = ld_str_c(address);
	config.advertise = ld_str_c(address);
	config.domain = ld_str_c(domain);
	config.region = ld_str_c(region);
	config.seeds = seeds;
	config.seed_count = SEEDS;
	return ld_peer_task_new(b->loop, &config, &ops, b, &b->task);
}

static const struct argp_option options[] = {
    {"index", 'i', "N", 0, "number of this node, from 0", 0},
    {"nodes", 'n', "N", 0, "nodes in this run", 0},
    {"port", 'p', "PORT", 0, "port of node 0", 0},
    {"start", 's', "MS", 0, "common start on CLOCK_BOOTTIME", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct bench *b = state->input;

	if (key == 'i')
		b->index = strtoul(arg, NULL, 10);
	else if (key == 'n')
		b->count = strtoul(arg, NULL, 10);
	else if (key == 'p')
		b->base_port = strtoul(arg, NULL, 10);
	else if (key == 's')
		b->start_ms = strtoull(arg, NULL, 10);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {
	    options, parse, NULL, "One node of bench/slopes.sh", 0, 0, 0};
	struct bench b = {
	    .count = 1, .adopted_ms = UINT64_MAX, .confirmed_ms = UINT64_MAX};

	if (argp_parse(&argp, argc, argv, 0, NULL, &b) != 0 ||
	    ld_common_init() != LD_OK)
		return 2;
	ld_log_init("slopes_node", LD_LOG_WARNING);
	b.loop = ld_loop_new();
	if (b.start_ms == 0)
		b.start_ms = ld_loop_now(b.loop);
	if (start_task(&b) != LD_OK) {
		fprintf(stderr, "%s\n", ld_last_message());
		return 1;
	}
	b.step.fn = on_step;
	b.load.fn = on_load;
	ld_timer_start(
	    ld_loop_timers(b.loop), &b.step, b.start_ms + steps[0].at_ms);
	ld_timer_after(ld_loop_timers(b.loop), &b.load, LOAD_MS);
	ld_loop_run(b.loop);
	ld_peer_task_free(b.task);
	ld_loop_free(b.loop);
	return 0;
}
