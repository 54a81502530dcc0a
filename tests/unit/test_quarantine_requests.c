/*
 * The quarantine of requests without a prompt: one that crashes servers stops, and
 * a sound one is served although servers crash for other reasons. Nodes send
 * requests to the servers of one plain service and exchange findings.
 */
#include <stdlib.h>
#include <string.h>

#include "ld_quarantine.h"
#include "ld_test.h"

#define NODES 8
#define SERVERS_MAX 12
#define REQUESTS_MAX 256
#define MESSAGES_MAX 1024
#define SEEDS 30
#define STEP_MS 10
#define DAY_MS 60000
#define CALM_MS 1500 /* before the first crash */
#define WORK_MS 60
#define FINDING_MS 80 /* longest delay of a finding */
/* The users' bound: so many requests may reach servers later than this after the
 * third crash. */
#define BOUND_CRASHES 3
#define BOUND_AFTER_MS 3000
#define BOUND_ARRIVALS 3

/** struct sent - a request at a server */
struct sent {
	bool used;
	bool is_deadly;
	size_t node;
	size_t server;
	unsigned int sends;
	struct ld_prompt request;
	uint64_t done_ms;
};

struct message {
	size_t to;
	struct ld_finding finding;
	uint64_t at_ms;
};

/**
 * struct world - @common: requests a second that are the same, from all nodes;
 * @unique: those that differ from each other
 */
static struct {
	struct ld_quarantine *nodes[NODES];
	struct sent sent[REQUESTS_MAX];
	struct message messages[MESSAGES_MAX];
	size_t message_count;
	size_t servers;
	uint64_t down_until_ms[SERVERS_MAX];
	unsigned int restarts[SERVERS_MAX];
	struct ld_rand rand;
	uint64_t now;
	uint64_t number;
	unsigned int sends_max;
	unsigned int crashes; /* by the deadly request */
	uint64_t bound_from_ms;
	unsigned int arrivals_after;
	unsigned int refused_sound;
	unsigned int served_sound;
} w;

static void
on_send(void *user, const struct ld_finding *f)
{
	size_t from = (size_t)((struct ld_quarantine **)user - w.nodes);

	for (size_t i = 0; i < NODES; i++)
		if (i != from && w.message_count < MESSAGES_MAX)
			w.messages[w.message_count++] = (struct message){
			    i, *f, w.now + ld_rand_below(&w.rand, FINDING_MS)};
}

static void
on_changed(void *user, enum ld_quarantine_event e, uint64_t part)
{
}

static void
world_open(size_t servers, uint64_t seed)
{
	static const struct ld_quarantine_ops ops = {on_send, on_changed, NULL};

	memset(&w, 0, sizeof(w));
	w.servers = servers;
	w.now = 1000;
	w.sends_max = 1;
	w.bound_from_ms = UINT64_MAX;
	ld_rand_seed(&w.rand, seed);
	for (size_t i = 0; i < NODES; i++)
		w.nodes[i] = ld_quarantine_new(&ops, &w.nodes[i], i + 1);
}

static void
world_close(void)
{
	for (size_t i = 0; i < NODES; i++)
		ld_quarantine_free(w.nodes[i]);
}

static struct ld_prompt
request(const char *target, const char *body)
{
	struct ld_prompt p = {0};

	ld_prompt_set_request(&p,
	    &(struct ld_request_identity){LD_STR("shop"), LD_STR("GET"),
		LD_STR("h"), ld_str_c(target), ld_str_c(body)});
	return p;
}

static bool
pick_server(size_t *server)
{
	size_t up = 0;

	for (size_t i = 0; i < w.servers; i++)
		if (w.now >= w.down_until_ms[i] &&
		    ld_rand_below(&w.rand, (uint32_t)++up) == 0)
			*server = i;
	return up > 0;
}

static void
send_request(struct sent *s)
{
	uint64_t until_ms;

	s->used = false;
	if (ld_quarantine_contains(
		w.nodes[s->node], &s->request, w.now, &until_ms)) {
		w.refused_sound += !s->is_deadly;
		return;
	}
	if (s->sends++ == w.sends_max || !pick_server(&s->server))
		return;
	s->used = true;
	s->done_ms = w.now + WORK_MS / 2 + ld_rand_below(&w.rand, WORK_MS);
	w.arrivals_after += s->is_deadly && w.now >= w.bound_from_ms;
}

static void
arrive(const struct ld_prompt *p, bool is_deadly)
{
	for (size_t i = 0; i < REQUESTS_MAX; i++) {
		struct sent *s = &w.sent[i];

		if (s->used)
			continue;
		*s = (struct sent){.is_deadly = is_deadly,
		    .request = *p,
		    .node = ld_rand_below(&w.rand, NODES)};
		send_request(s);
		return;
	}
	CU_FAIL("too many requests at once");
}

/* Its process is another one when it is back. */
static void
crash_server(size_t server, uint64_t down_ms)
{
	uint32_t id = (uint32_t)server + 100U * w.restarts[server]++ + 1;

	w.down_until_ms[server] = w.now + down_ms;
	for (size_t i = 0; i < REQUESTS_MAX; i++) {
		struct sent *s = &w.sent[i];

		if (!s->used || s->server != server)
			continue;
		ld_quarantine_request_crashed(
		    w.nodes[s->node], &s->request, id, w.now);
		send_request(s);
	}
}

static void
end_requests(void)
{
	for (size_t i = 0; i < REQUESTS_MAX; i++) {
		struct sent *s = &w.sent[i];

		if (!s->used || w.now < s->done_ms)
			continue;
		if (s->is_deadly) {
			if (++w.crashes == BOUND_CRASHES)
				w.bound_from_ms = w.now + BOUND_AFTER_MS;
			crash_server(s->server, 3000);
			continue;
		}
		s->used = false;
		w.served_sound++;
		ld_quarantine_answered(w.nodes[s->node], &s->request, w.now);
	}
}

static void
deliver(void)
{
	size_t kept = 0, count = w.message_count;

	for (size_t i = 0; i < count; i++)
		if (w.messages[i].at_ms > w.now)
			w.messages[kept++] = w.messages[i];
		else
			ld_quarantine_receive(w.nodes[w.messages[i].to],
			    &w.messages[i].finding, w.now);
	/* Those sent meanwhile. */
	for (size_t i = count; i < w.message_count; i++)
		w.messages[kept++] = w.messages[i];
	w.message_count = kept;
}

/* True @per_s times a second. */
static bool
happens(double per_s)
{
	return ld_rand_unit(&w.rand) < per_s * STEP_MS / 1000;
}

static void
step(double unique_per_s)
{
	char body[32];
	struct ld_prompt p;

	w.now += STEP_MS;
	deliver();
	end_requests();
	if (!happens(unique_per_s))
		return;
	snprintf(body, sizeof(body), "%llu", (unsigned long long)w.number++);
	p = request("/a", body);
	arrive(&p, false);
}

/* ---- What a request is ---- */

static uint64_t
own(const char *caller, const char *method, const char *host,
    const char *target, const char *body)
{
	struct ld_prompt p = {0};

	ld_prompt_set_request(&p,
	    &(struct ld_request_identity){ld_str_c(caller), ld_str_c(method),
		ld_str_c(host), ld_str_c(target), ld_str_c(body)});
	CU_ASSERT_EQUAL(p.part_count, 0);
	CU_ASSERT(p.own == 0 && p.request != 0);
	return p.request;
}

static void
test_two_callers_with_one_body_are_two_requests(void)
{
	uint64_t base = own("shop", "POST", "h", "/a", "x=1");

	CU_ASSERT_EQUAL(base, own("shop", "POST", "h", "/a", "x=1"));
	CU_ASSERT_NOT_EQUAL(base, own("port", "POST", "h", "/a", "x=1"));
	CU_ASSERT_NOT_EQUAL(base, own("", "POST", "h", "/a", "x=1"));
	CU_ASSERT_NOT_EQUAL(base, own("shop", "PUT", "h", "/a", "x=1"));
	CU_ASSERT_NOT_EQUAL(base, own("shop", "POST", "g", "/a", "x=1"));
	CU_ASSERT_NOT_EQUAL(base, own("shop", "POST", "h", "/b", "x=1"));
	CU_ASSERT_NOT_EQUAL(base, own("shop", "POST", "h", "/a", "x=2"));
	CU_ASSERT_NOT_EQUAL(base, own("shop", "POST", "h", "/a", ""));
	CU_ASSERT_NOT_EQUAL(
	    own("a", "GET", "h", "/bc", ""), own("a", "GET", "h/b", "c", ""));
}

/* ---- Requests that crash servers ---- */

static void
play_deadly(size_t servers, unsigned int sends_max, double per_s)
{
	struct ld_prompt deadly = request("/deadly", "");

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_open(servers, seed);
		w.sends_max = sends_max;
		while (w.now < DAY_MS) {
			step(10);
			if (happens(per_s))
				arrive(&deadly, true);
		}
		CU_ASSERT(w.arrivals_after <= BOUND_ARRIVALS);
		CU_ASSERT(w.served_sound > 300);
		CU_ASSERT_EQUAL(w.refused_sound, 0);
		world_close();
	}
}

static void
test_a_request_that_comes_again_stops(void)
{
	play_deadly(3, 1, 0.3);
	play_deadly(3, 3, 0.5);
	play_deadly(12, 3, 3);
}

/* Each with another body: they must not replace what is known of crashes. */
static void
test_many_other_requests_hide_no_crash(void)
{
	struct ld_prompt deadly = request("/deadly", "");
	uint64_t until_ms;

	world_open(3, 1);
	for (uint32_t crash = 1; crash <= 3; crash++) {
		w.now += 5000;
		ld_quarantine_request_crashed(
		    w.nodes[0], &deadly, crash, w.now);
		for (int i = 0; i < 50000; i++) {
			char body[32];
			struct ld_prompt p;

			snprintf(body, sizeof(body), "%u-%d", crash, i);
			p = request("/a", body);
			ld_quarantine_answered(w.nodes[0], &p, w.now + 1);
		}
	}
	CU_ASSERT(
	    ld_quarantine_contains(w.nodes[0], &deadly, w.now, &until_ms));
	world_close();
}

/* ---- Sound requests among crashes ---- */

/** struct trouble - crashes that no request causes */
struct trouble {
	const char *name;
	size_t servers;
	double crashes_per_s;
	unsigned int share_percent; /* of the servers, at each */
	uint64_t down_ms;
};

static const struct trouble troubles[] = {
    {"single servers crash", 9, 0.2, 15, 5000},
    {"servers are replaced one after the other", 4, 1, 25, 1000},
    {"servers are lost for good, others come", 12, 0.5, 15, 2000},
    {"a domain is lost", 9, 0.1, 34, 5000},
    {"all servers are lost", 3, 0.1, 100, 4000},
};

/* All at the same moment. */
static void
crash_some(const struct trouble *t)
{
	bool crashes[SERVERS_MAX] = {false};

	for (size_t i = 0; i < w.servers; i++) {
		crashes[i] = w.now >= w.down_until_ms[i] &&
		    ld_rand_below(&w.rand, 100) < t->share_percent;
		if (crashes[i])
			w.down_until_ms[i] = w.now + t->down_ms;
	}
	for (size_t i = 0; i < w.servers; i++)
		if (crashes[i])
			crash_server(i, t->down_ms);
}

static void
play_trouble(const struct trouble *t, double common_per_s)
{
	struct ld_prompt common = request("/status", "");

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_open(t->servers, seed);
		w.sends_max = 3;
		/* It has been answered at least once. */
		arrive(&common, false);
		while (w.now < DAY_MS) {
			step(5);
			if (happens(common_per_s))
				arrive(&common, false);
			if (w.now > CALM_MS && happens(t->crashes_per_s))
				crash_some(t);
		}
		CU_ASSERT_EQUAL(w.refused_sound, 0);
		if (w.refused_sound > 0)
			printf("%s, %.1f a second, seed %llu: %u refused\n",
			    t->name, common_per_s, (unsigned long long)seed,
			    w.refused_sound);
		world_close();
	}
}

static void
test_a_common_request_is_served_among_crashes(void)
{
	static const double per_s[] = {0.2, 2, 30};

	for (size_t i = 0; i < sizeof(troubles) / sizeof(troubles[0]); i++)
		for (size_t k = 0; k < sizeof(per_s) / sizeof(per_s[0]); k++)
			play_trouble(&troubles[i], per_s[k]);
}

/* After crashes by chance, any answer to it ends its quarantine at all nodes. */
static void
test_a_sound_request_is_let_through_again(void)
{
	struct ld_prompt common = request("/status", "");
	uint64_t until_ms;

	world_open(3, 1);
	for (uint32_t crash = 1; crash <= 3; crash++) {
		w.now += 500;
		ld_quarantine_request_crashed(
		    w.nodes[0], &common, crash, w.now);
	}
	w.now += FINDING_MS;
	deliver();
	for (size_t i = 0; i < NODES; i++)
		CU_ASSERT(ld_quarantine_contains(
		    w.nodes[i], &common, w.now, &until_ms));
	/* One that was in flight. */
	ld_quarantine_answered(w.nodes[3], &common, w.now);
	w.now += FINDING_MS;
	deliver();
	for (size_t i = 0; i < NODES; i++)
		CU_ASSERT_FALSE(ld_quarantine_contains(
		    w.nodes[i], &common, w.now, &until_ms));
	world_close();
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"two callers with one body are two requests",
		test_two_callers_with_one_body_are_two_requests},
	    {"a request that comes again stops",
		test_a_request_that_comes_again_stops},
	    {"many other requests hide no crash",
		test_many_other_requests_hide_no_crash},
	    {"a common request is served among crashes",
		test_a_common_request_is_served_among_crashes},
	    {"a sound request is let through again",
		test_a_sound_request_is_let_through_again},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("quarantine of requests", cases);
}
