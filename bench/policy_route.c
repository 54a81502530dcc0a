/*
 * Routing: 390 routers in front of 18 replicas, with load reports 1 to 5 s old.
 *
 * Service model of a replica: slots for streams, first come first served;
 * prompts are prefilled one after another, faster when the prefix is cached
 * (LRU eviction); the first token follows a fixed time after the
 * prefill. Two replicas are lost in the middle of the run.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_route.h"

#define SEED 20261205
#define ROUTERS 390
#define REPLICAS 18
#define DOMAINS 7
#define MEMBERS 32
#define SLOTS 4000
#define REQUESTS_PER_S 3700.0
#define STREAM_MS (300.0 * 53.0)
#define PREFILL_MISS_MS 4.2
#define PREFILL_HIT_MS 1.2
#define FIRST_TOKEN_MS 120.0 /* compute of the first token */
#define NEAR_MS 1.0
#define FAR_MS 4.0
#define PREFIXES 3000
#define CACHED 300 /* prefixes a replica keeps */
#define RUN_MS 60000
#define WARM_MS 20000
#define LOSS_MS 40000
#define LAST_LOST 2 /* replicas lost at LOSS_MS: the last ones */
#define REPORT_MS 1000
#define AIM_MS 470.0

/** struct report - load of a replica at one time */
struct report {
	uint64_t running, waiting;
};

/** struct replica - one replica by the service model */
struct replica {
	bool lost;
	uint64_t running;
	double free_at_ms; /* when the prefill queue is empty */
	uint64_t used[PREFIXES]; /* time of last use; 0: not cached */
	unsigned int cached;
	struct report history[RUN_MS / REPORT_MS + 1];
};

/** struct ending - end of a stream, kept in a heap */
struct ending {
	double at_ms;
	unsigned int replica, router;
	uint64_t call;
};

/** struct sim - one run of one policy */
struct sim {
	struct ld_route *routers[ROUTERS];
	struct replica replicas[REPLICAS];
	struct ld_rand rand;
	double zipf[PREFIXES];
	struct ending *heap;
	size_t ending_count, ending_cap;
	double *first, *wait; /* of the measured requests */
	size_t count, cap;
	uint64_t hits, cross, failed, picked, next_call;
};

static char replica_names[REPLICAS][8];
static char domain_names[DOMAINS][4];
static char addresses[REPLICAS][MEMBERS][16];

static void
push_ending(struct sim *s, struct ending e)
{
	size_t i = s->ending_count++;

	if (s->ending_count > s->ending_cap) {
		s->ending_cap = s->ending_cap > 0 ? 2 * s->ending_cap : 4096;
		s->heap = ld_realloc(s->heap, s->ending_cap * sizeof(*s->heap));
	}
	while (i > 0 && e.at_ms < s->heap[(i - 1) / 2].at_ms) {
		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->heap[i] = e;
}

static struct ending
pop_ending(struct sim *s)
{
	struct ending top = s->heap[0];
	struct ending last = s->heap[--s->ending_count];
	size_t i = 0, c;

	while ((c = 2 * i + 1) < s->ending_count) {
		if (c + 1 < s->ending_count &&
		    s->heap[c + 1].at_ms < s->heap[c].at_ms)
			c++;
		if (last.at_ms <= s->heap[c].at_ms)
			break;
		s->heap[i] = s->heap[c];
		i = c;
	}
	s->heap[i] = last;
	return top;
}

/* ---- Router state ---- */

static void
place(struct ld_route *r)
{
	struct ld_route_replica list[REPLICAS];
	struct ld_str members[REPLICAS][MEMBERS];

	for (int i = 0; i < REPLICAS; i++) {
		for (int m = 0; m < MEMBERS; m++)
			members[i][m] = ld_str_c(addresses[i][m]);
		list[i] = (struct ld_route_replica){
		    ld_str_c(replica_names[i]),
		    LD_STR("m"),
		    ld_str_c(domain_names[i % DOMAINS]),
		    1,
		    LD_ROUTE_SERVING,
		    members[i],
		    MEMBERS,
		};
	}
	ld_route_set_placement(r, 0, LD_STR("f"), 1, list, REPLICAS);
	for (int i = 0; i < REPLICAS; i++) {
		for (int m = 0; m < MEMBERS; m++) {
			/* Does not expire during the run. */
			struct ld_route_health h = {members[i][m],
			    ld_str_c(replica_names[i]), 1, true, RUN_MS};

			ld_route_report_health(r, 0, &h);
		}
	}
}

static void
init(struct sim *s, enum ld_route_policy policy)
{
	double sum = 0.0;

	memset(s, 0, sizeof(*s));
	ld_rand_seed(&s->rand, SEED);
	for (unsigned int i = 0; i < ROUTERS; i++) {
		struct ld_route_config c = {
		    .domain = ld_str_c(domain_names[i % DOMAINS]),
		    .seed = SEED + i,
		    .policy = policy};

		s->routers[i] = ld_route_new(&c);
		place(s->routers[i]);
	}
	for (int i = 0; i < PREFIXES; i++) {
		sum += 1.0 / pow(i + 1.0, 0.9);
		s->zipf[i] = sum;
	}
}

static void
fini(struct sim *s)
{
	for (unsigned int i = 0; i < ROUTERS; i++)
		ld_route_free(s->routers[i]);
	free(s->heap);
	free(s->first);
	free(s->wait);
}

/* Each router gets a report per replica and second, 1 to 5 s late. */
static void
report_all(struct sim *s, uint64_t now_ms)
{
	size_t tick = now_ms / REPORT_MS, lag;

	for (int i = 0; i < REPLICAS; i++) {
		struct replica *p = &s->replicas[i];
		double queue = fmax(0.0, p->free_at_ms - (double)now_ms);

		p->history[tick].running = p->running;
		p->history[tick].waiting = (uint64_t)(queue / PREFILL_MISS_MS);
	}
	for (unsigned int r = 0; r < ROUTERS; r++) {
		for (int i = 0; i < REPLICAS; i++) {
			struct ld_route_load l = {
			    .replica = ld_str_c(replica_names[i]),
			    .slots = SLOTS};

			lag = 1 + ld_rand_below(&s->rand, 5);
			if (lag > tick)
				continue;
			l.running = s->replicas[i].history[tick - lag].running;
			l.waiting = s->replicas[i].history[tick - lag].waiting;
			l.at_ms = (tick - lag) * REPORT_MS;
			ld_route_report_load(s->routers[r], now_ms, &l);
		}
	}
}

/* ---- Service ---- */

static bool
cache_use(struct replica *p, unsigned int prefix, uint64_t stamp)
{
	unsigned int oldest = PREFIXES;
	bool hit = p->used[prefix] != 0;

	p->used[prefix] = stamp;
	if (hit)
		return true;
	if (++p->cached <= CACHED)
		return false;
	for (unsigned int i = 0; i < PREFIXES; i++) {
		if (p->used[i] != 0 &&
		    (oldest == PREFIXES || p->used[i] < p->used[oldest]))
			oldest = i;
	}
	p->used[oldest] = 0;
	p->cached--;
	return false;
}

/** struct request - one request in flight */
struct request {
	double at_ms;
	unsigned int router, replica;
	unsigned int prefix;
	bool cross;
	uint64_t call;
};

static void
record(struct sim *s, double first_ms, double wait_ms)
{
	if (s->count == s->cap) {
		s->cap = s->cap > 0 ? 2 * s->cap : 65536;
		s->first = ld_realloc(s->first, s->cap * sizeof(double));
		s->wait = ld_realloc(s->wait, s->cap * sizeof(double));
	}
	s->first[s->count] = first_ms;
	s->wait[s->count++] = wait_ms;
}

/* The request holds its slot from @now_ms on. */
static void
serve(struct sim *s, const struct request *q, double now_ms)
{
	struct replica *p = &s->replicas[q->replica];
	double start = fmax(now_ms, p->free_at_ms);
	bool hit = cache_use(p, q->prefix, s->next_call);
	double network = q->cross ? FAR_MS : NEAR_MS;
	double u = 1.0 - ld_rand_unit(&s->rand);
	struct ending e = {
	    .replica = q->replica, .router = q->router, .call = q->call};

	p->running++;
	p->free_at_ms = start + (hit ? PREFILL_HIT_MS : PREFILL_MISS_MS);
	e.at_ms = p->free_at_ms + FIRST_TOKEN_MS - log(u) * STREAM_MS;
	push_ending(s, e);
	if (q->at_ms < WARM_MS)
		return;
	s->hits += hit;
	s->cross += q->cross;
	record(s, p->free_at_ms + FIRST_TOKEN_MS + 2 * network - q->at_ms,
	    start - q->at_ms);
}

static int
replica_index(struct ld_str name)
{
	for (int i = 0; i < REPLICAS; i++) {
		if (ld_str_eq(name, ld_str_c(replica_names[i])))
			return i;
	}
	return -1;
}

static unsigned int
draw_prefix(struct sim *s)
{
	double at = ld_rand_unit(&s->rand) * s->zipf[PREFIXES - 1];
	unsigned int low = 0, high = PREFIXES - 1;

	while (low < high) {
		unsigned int mid = (low + high) / 2;

		if (s->zipf[mid] > at)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

static void
arrive(struct sim *s, double now_ms)
{
	struct request q = {.at_ms = now_ms, .call = ++s->next_call};
	struct ld_route_request want = {.model = LD_STR("m")};
	struct ld_route_choice c;
	struct ld_route *r;

	q.router = (unsigned int)ld_rand_below(&s->rand, ROUTERS);
	q.prefix = draw_prefix(s);
	want.prefix = q.prefix + 1;
	r = s->routers[q.router];
	if (ld_route_pick(r, (uint64_t)now_ms, &want, &c) != LD_OK) {
		s->failed++;
		return;
	}
	q.replica = (unsigned int)replica_index(c.replica);
	q.cross = c.cross_domain;
	ld_route_started(r, (uint64_t)now_ms, c.replica, c.epoch, q.call);
	/* With all slots taken, a request waits the mean time to a free one. */
	if (s->replicas[q.replica].running >= SLOTS)
		serve(s, &q,
		    now_ms +
			(double)(s->replicas[q.replica].running - SLOTS + 1) *
			    STREAM_MS / SLOTS);
	else
		serve(s, &q, now_ms);
}

static void
lose(struct sim *s, uint64_t now_ms)
{
	for (int i = REPLICAS - LAST_LOST; i < REPLICAS; i++) {
		s->replicas[i].lost = true;
		s->replicas[i].running = 0;
		for (unsigned int r = 0; r < ROUTERS; r++)
			ld_route_mark_dead(s->routers[r],
			    now_ms < RUN_MS ? RUN_MS : now_ms,
			    ld_str_c(addresses[i][0]));
	}
}

static void
run(struct sim *s)
{
	double now = 0.0, next_report = 0.0;
	struct ld_route_action ignored;
	bool lost = false;

	while (now < RUN_MS) {
		now += -log(1.0 - ld_rand_unit(&s->rand)) * 1000.0 /
		    REQUESTS_PER_S;
		while (s->ending_count > 0 && s->heap[0].at_ms <= now) {
			struct ending e = pop_ending(s);

			if (s->replicas[e.replica].lost)
				continue;
			s->replicas[e.replica].running--;
			ld_route_finished(
			    s->routers[e.router], (uint64_t)now, e.call);
		}
		if (now >= next_report && now < RUN_MS) {
			report_all(s, (uint64_t)now);
			next_report += REPORT_MS;
		}
		if (!lost && now >= LOSS_MS) {
			lose(s, (uint64_t)now);
			lost = true;
			for (unsigned int r = 0; r < ROUTERS; r++)
				while (ld_route_next_action(
				    s->routers[r], &ignored))
					;
		}
		arrive(s, now);
	}
}

static int
by_value(const void *x, const void *y)
{
	double a = *(const double *)x, b = *(const double *)y;

	return a < b ? -1 : a > b;
}

static double
percentile(const double *sorted, size_t n, double p)
{
	return sorted[(size_t)((double)(n - 1) * p)];
}

static void
print(struct sim *s, const char *name)
{
	size_t within = 0;
	double n = (double)s->count;

	for (size_t i = 0; i < s->count; i++)
		within += s->first[i] <= AIM_MS;
	qsort(s->first, s->count, sizeof(double), by_value);
	qsort(s->wait, s->count, sizeof(double), by_value);
	printf("%-13s %7.1f %7.1f %7.1f %7.0f %7.0f %6.1f%% %6.1f%% %6.1f%%\n",
	    name, percentile(s->wait, s->count, 0.5),
	    percentile(s->wait, s->count, 0.95),
	    percentile(s->wait, s->count, 0.99),
	    percentile(s->first, s->count, 0.95),
	    percentile(s->first, s->count, 0.99), 100.0 * (double)within / n,
	    100.0 * (double)s->hits / n, 100.0 * (double)s->cross / n);
	printf("{\"bench\":\"policy_route\",\"policy\":\"%s\","
	       "\"wait_p50_ms\":%.2f,\"wait_p95_ms\":%.2f,"
	       "\"wait_p99_ms\":%.2f,\"first_p95_ms\":%.1f,"
	       "\"first_p99_ms\":%.1f,\"within_aim\":%.4f,\"hits\":%.4f,"
	       "\"cross\":%.4f,\"failed\":%llu}\n",
	    name, percentile(s->wait, s->count, 0.5),
	    percentile(s->wait, s->count, 0.95),
	    percentile(s->wait, s->count, 0.99),
	    percentile(s->first, s->count, 0.95),
	    percentile(s->first, s->count, 0.99), (double)within / n,
	    (double)s->hits / n, (double)s->cross / n,
	    (unsigned long long)s->failed);
}

static void
name_all(void)
{
	for (int i = 0; i < DOMAINS; i++)
		snprintf(domain_names[i], sizeof(domain_names[i]), "z%d", i);
	for (int i = 0; i < REPLICAS; i++) {
		snprintf(replica_names[i], sizeof(replica_names[i]), "r%d", i);
		for (int m = 0; m < MEMBERS; m++)
			snprintf(addresses[i][m], sizeof(addresses[i][m]),
			    "10.0.%d.%d:1", i, m);
	}
}

int
main(int argc, char **argv)
{
	static const char *const names[] = {
	    "two-choices", "random", "round-robin", "least-report", "affinity"};
	struct sim *s = ld_alloc(sizeof(*s));

	if (ld_common_init() != LD_OK)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	name_all();
	printf(
	    "seed %d, %d routers, %d replicas, %d lost at %d s, aim %.0f ms\n",
	    SEED, ROUTERS, REPLICAS, LAST_LOST, LOSS_MS / 1000, AIM_MS);
	printf("%-13s %7s %7s %7s %7s %7s %7s %7s %7s\n", "policy", "w50",
	    "w95", "w99", "ft95", "ft99", "in aim", "hits", "cross");
	for (int p = LD_ROUTE_TWO_CHOICES; p <= LD_ROUTE_AFFINITY; p++) {
		/* Only the first policy, for trials. */
		if (argc > 1 && p > LD_ROUTE_TWO_CHOICES)
			break;
		init(s, (enum ld_route_policy)p);
		run(s);
		print(s, names[p]);
		fini(s);
	}
	free(s);
	return 0;
}
