/*
 * Retries under a full outage: calls per request, and recovery once the
 * cause is gone. A server fails the calls beyond its capacity, so that
 * needless retries keep it overloaded. Baselines: three attempts without a
 * budget, no retries.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_route.h"

#define SEED 20261206
#define ROUTERS 8
#define SERVERS 3
#define REQUESTS_PER_S 400.0
#define SERVER_CALLS_PER_S 180 /* each, 540 in all */
#define RUN_MS 60000
#define DOWN_MS 20000
#define UP_MS 40000
#define DEADLINE_MS 2000
#define RETRY_DELAY_MS 50
#define RECOVERED 97 /* percent of the requests answered */
#define LOSS_PERCENT 2 /* of the calls fail in normal operation */

enum mode {
	MODE_BUDGET,
	MODE_THREE,
	MODE_NONE,
	MODE_COUNT
};

static const char *const mode_names[] = {"budget", "three", "none"};

/** struct phase - counts of one part of the run */
struct phase {
	uint64_t requests, calls, answered;
};

/** struct pending - a retry that is due */
struct pending {
	struct pending *next;
	uint64_t due_ms, deadline_ms;
	unsigned int router, attempt;
	struct ld_str excluded;
	struct phase *phase;
};

/** struct sim - one run */
struct sim {
	enum mode mode;
	struct ld_route *routers[ROUTERS];
	uint64_t carried[SERVERS]; /* calls in this tenth of a second */
	uint64_t tenth;
	struct ld_rand rand;
	struct pending *head, **tail;
	struct phase phases[3];
	uint64_t
	    recovered_ms; /* end of the first recovered second after the outage */
	struct phase second;
	uint64_t second_ms;
};

static const struct ld_route_server servers[SERVERS] = {
    {{"s0", 2}, {"z1", 2}, false},
    {{"s1", 2}, {"z1", 2}, false},
    {{"s2", 2}, {"z1", 2}, false},
};

static bool
call_server(struct sim *s, uint64_t now_ms, struct ld_str address)
{
	unsigned int i = (unsigned int)(address.p[1] - '0');

	if (now_ms >= DOWN_MS && now_ms < UP_MS)
		return false;
	if (now_ms / 100 != s->tenth) {
		s->tenth = now_ms / 100;
		memset(s->carried, 0, sizeof(s->carried));
	}
	if (++s->carried[i] > SERVER_CALLS_PER_S / 10)
		return false;
	return ld_rand_below(&s->rand, 100) >= LOSS_PERCENT;
}

static bool
may_retry(struct sim *s, const struct pending *p, uint64_t now_ms)
{
	if (s->mode == MODE_NONE)
		return false;
	if (s->mode == MODE_THREE)
		return p->attempt < 3 && now_ms < p->deadline_ms;
	return ld_route_reserve_retry(s->routers[p->router], now_ms, true,
		   p->deadline_ms) == LD_OK;
}

static void
attempt(struct sim *s, struct pending *p, uint64_t now_ms)
{
	struct ld_route *r = s->routers[p->router];
	struct ld_str name = LD_STR("d");
	struct ld_str address;
	bool ok;

	p->phase->calls++;
	p->attempt++;
	ld_route_service_pick(r, now_ms, name, p->excluded, &address);
	ld_route_service_started(r, name, address);
	ok = call_server(s, now_ms, address);
	ld_route_service_finished(r, now_ms, name, address, !ok);
	if (ok) {
		p->phase->answered++;
		s->second.answered++;
	}
	if (ok || !may_retry(s, p, now_ms)) {
		free(p);
		return;
	}
	p->excluded = address;
	p->due_ms = now_ms + RETRY_DELAY_MS;
	p->next = NULL;
	*s->tail = p;
	s->tail = &p->next;
}

static void
first_attempt(struct sim *s, uint64_t now_ms)
{
	struct pending *p = ld_alloc(sizeof(*p));

	p->router = (unsigned int)ld_rand_below(&s->rand, ROUTERS);
	p->deadline_ms = now_ms + DEADLINE_MS;
	p->phase = &s->phases[now_ms < DOWN_MS ? 0 : now_ms < UP_MS ? 1 : 2];
	p->phase->requests++;
	s->second.requests++;
	ld_route_count_request(s->routers[p->router], now_ms);
	attempt(s, p, now_ms);
}

static void
note_recovery(struct sim *s, uint64_t now_ms)
{
	if (now_ms < s->second_ms + 1000)
		return;
	if (s->recovered_ms == 0 && s->second_ms >= UP_MS &&
	    s->second.answered * 100 >= s->second.requests * RECOVERED)
		s->recovered_ms = s->second_ms + 1000 - UP_MS;
	memset(&s->second, 0, sizeof(s->second));
	s->second_ms = now_ms;
}

static void
run(struct sim *s)
{
	double next = 0.0;
	struct pending *p;

	for (uint64_t now = 0; now < RUN_MS; now++) {
		note_recovery(s, now);
		while ((p = s->head) != NULL && p->due_ms <= now) {
			s->head = p->next;
			if (s->head == NULL)
				s->tail = &s->head;
			attempt(s, p, now);
		}
		while (next <= (double)now) {
			first_attempt(s, now);
			next += -log(1.0 - ld_rand_unit(&s->rand)) * 1000.0 /
			    REQUESTS_PER_S;
		}
	}
}

static double
part(uint64_t a, uint64_t b)
{
	return b > 0 ? (double)a / (double)b : 0.0;
}

static void
print(const struct sim *s)
{
	const struct phase *p = s->phases;

	printf("%-7s %7.3f %7.3f %7.3f %8.1f%% %8.1f%% %8llu\n",
	    mode_names[s->mode], part(p[0].calls, p[0].requests),
	    part(p[1].calls, p[1].requests), part(p[2].calls, p[2].requests),
	    100.0 * part(p[0].answered, p[0].requests),
	    100.0 * part(p[2].answered, p[2].requests),
	    (unsigned long long)s->recovered_ms);
	printf("{\"bench\":\"policy_retry\",\"policy\":\"%s\","
	       "\"calls_before\":%.4f,\"calls_outage\":%.4f,"
	       "\"calls_after\":%.4f,\"answered_before\":%.4f,"
	       "\"answered_after\":%.4f,\"recovered_ms\":%llu}\n",
	    mode_names[s->mode], part(p[0].calls, p[0].requests),
	    part(p[1].calls, p[1].requests), part(p[2].calls, p[2].requests),
	    part(p[0].answered, p[0].requests),
	    part(p[2].answered, p[2].requests),
	    (unsigned long long)s->recovered_ms);
}

static void
run_mode(enum mode mode)
{
	struct sim *s = ld_alloc(sizeof(*s));
	struct pending *p;

	s->mode = mode;
	s->tail = &s->head;
	ld_rand_seed(&s->rand, SEED);
	for (unsigned int i = 0; i < ROUTERS; i++) {
		struct ld_route_config c = {
		    .domain = LD_STR("z1"), .seed = SEED + i};

		s->routers[i] = ld_route_new(&c);
		ld_route_set_servers(
		    s->routers[i], 0, LD_STR("d"), servers, SERVERS);
	}
	run(s);
	print(s);
	while ((p = s->head) != NULL) {
		s->head = p->next;
		free(p);
	}
	for (unsigned int i = 0; i < ROUTERS; i++)
		ld_route_free(s->routers[i]);
	free(s);
}

int
main(void)
{
	if (ld_common_init() != LD_OK)
		return 2;
	printf("seed %d, outage from %d to %d s, %d %% of calls fail else\n",
	    SEED, DOWN_MS / 1000, UP_MS / 1000, LOSS_PERCENT);
	printf("%-7s %7s %7s %7s %9s %9s %8s\n", "policy", "before", "outage",
	    "after", "answered", "after", "rec ms");
	for (int m = 0; m < MODE_COUNT; m++)
		run_mode((enum mode)m);
	return 0;
}
