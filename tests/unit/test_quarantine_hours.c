/*
 * A request that crashes servers comes again for hours, at any node. The users'
 * bound holds for as long as it comes: no trial, forgotten crash or restarted
 * node may let it through again and again.
 */
#include <stdlib.h>
#include <string.h>

#include "ld_quarantine.h"
#include "ld_test.h"
#include "prompt_parts.h"

#define NODES_MAX 8
#define CLAIMS_MAX 64
#define SECOND_MS 1000ULL
#define MINUTE_MS 60000ULL
#define HOUR_MS 3600000ULL
/* The users' bound: so many may reach servers later than this after the crash
 * that counts, the third by one request or the fifth by one part. */
#define BOUND_AFTER_MS 4000
#define BOUND_ARRIVALS 3
#define BOUND_CRASHES_REQUEST 3
#define BOUND_CRASHES_PART 5

/** struct claim - of a trial, once for all nodes */
struct claim {
	uint64_t part;
	unsigned int number;
};

static struct {
	struct ld_quarantine *nodes[NODES_MAX];
	struct claim claims[CLAIMS_MAX];
	size_t claim_count;
	struct {
		struct ld_quarantine *node;
		struct claim claim;
	} asked[NODES_MAX];
	size_t asked_count;
	bool store_is_away;
	size_t node_count;
	uint64_t now;
	uint32_t servers; /* processes so far: each crash ends one */
	unsigned int crashes;
	unsigned int bound_crashes;
	uint64_t bound_from_ms;
	unsigned int arrivals_after;
} w;

static void
on_send(void *user, const struct ld_finding *f)
{
	for (size_t i = 0; i < w.node_count; i++)
		if (&w.nodes[i] != user && w.nodes[i] != NULL)
			ld_quarantine_receive(w.nodes[i], f, w.now);
}

static void
on_changed(void *user, enum ld_quarantine_event e, uint64_t part)
{
}

static void
on_claim_trial(void *user, uint64_t part, unsigned int number)
{
	CU_ASSERT_FATAL(w.asked_count < NODES_MAX);
	w.asked[w.asked_count].node = *(struct ld_quarantine **)user;
	w.asked[w.asked_count++].claim = (struct claim){part, number};
}

static enum ld_trial_claim
claim(const struct claim *c)
{
	if (w.store_is_away)
		return LD_TRIAL_FAILED;
	for (size_t i = 0; i < w.claim_count; i++)
		if (w.claims[i].part == c->part &&
		    w.claims[i].number == c->number)
			return LD_TRIAL_TAKEN;
	CU_ASSERT_FATAL(w.claim_count < CLAIMS_MAX);
	w.claims[w.claim_count++] = *c;
	return LD_TRIAL_GRANTED;
}

static void
answer_claims(void)
{
	for (size_t i = 0; i < w.asked_count; i++)
		ld_quarantine_claimed(w.asked[i].node, w.asked[i].claim.part,
		    w.asked[i].claim.number, claim(&w.asked[i].claim), w.now);
	w.asked_count = 0;
}

static void
start_node(size_t i)
{
	static const struct ld_quarantine_ops ops = {
	    on_send, on_changed, on_claim_trial};

	w.nodes[i] = ld_quarantine_new(&ops, &w.nodes[i], i + 1);
}

static void
world_open(size_t nodes, unsigned int bound_crashes)
{
	memset(&w, 0, sizeof(w));
	w.node_count = nodes;
	w.now = SECOND_MS;
	w.bound_crashes = bound_crashes;
	w.bound_from_ms = UINT64_MAX;
	for (size_t i = 0; i < nodes; i++)
		start_node(i);
}

static void
world_close(void)
{
	for (size_t i = 0; i < w.node_count; i++)
		ld_quarantine_free(w.nodes[i]);
}

static void
pass(uint64_t ms)
{
	w.now += ms;
	answer_claims();
}

static struct ld_prompt
plain_request(const char *target)
{
	struct ld_prompt p = {0};

	ld_prompt_set_request(&p,
	    &(struct ld_request_identity){LD_STR("shop"), LD_STR("GET"),
		LD_STR("h"), ld_str_c(target), LD_STR("")});
	return p;
}

/* @begun: the head of the answer had come. */
static void
arrive(size_t node, const struct ld_prompt *p, bool begun)
{
	uint64_t until_ms;

	if (ld_quarantine_contains(w.nodes[node], p, w.now, &until_ms)) {
		CU_ASSERT(until_ms > w.now);
		if (!ld_quarantine_take_trial(w.nodes[node], p, w.now))
			return;
	}
	w.arrivals_after += w.now >= w.bound_from_ms;
	if (++w.crashes == w.bound_crashes)
		w.bound_from_ms = w.now + BOUND_AFTER_MS;
	w.servers++;
	if (p->own != 0)
		ld_quarantine_crashed(
		    w.nodes[node], p, w.servers, begun, w.now);
	ld_quarantine_request_crashed(w.nodes[node], p, w.servers, w.now);
}

static void
check_bound(size_t nodes, uint64_t interval_ms, uint64_t ms,
    const struct ld_prompt *p, bool begun)
{
	size_t node = 0;

	world_open(nodes, BOUND_CRASHES_REQUEST);
	for (uint64_t end = w.now + ms; w.now < end; pass(interval_ms))
		arrive(node++ % nodes, p, begun);
	CU_ASSERT(w.crashes >= BOUND_CRASHES_REQUEST);
	CU_ASSERT(w.arrivals_after <= BOUND_ARRIVALS);
	if (w.arrivals_after > BOUND_ARRIVALS)
		printf("every %llu s, %llu minutes: %u reached servers, %u of "
		       "them late\n",
		    (unsigned long long)(interval_ms / SECOND_MS),
		    (unsigned long long)(ms / MINUTE_MS), w.crashes,
		    w.arrivals_after);
	world_close();
}

static void
test_a_request_is_not_tried_again_and_again(void)
{
	struct ld_prompt p = plain_request("/deadly");

	check_bound(8, SECOND_MS, HOUR_MS, &p, true);
	check_bound(8, SECOND_MS, 4 * HOUR_MS, &p, true);
}

static void
test_crashes_far_apart_are_not_forgotten(void)
{
	struct ld_prompt p = plain_request("/deadly");

	check_bound(8, 35 * SECOND_MS, 4 * HOUR_MS, &p, true);
	check_bound(7, 61 * SECOND_MS, 4 * HOUR_MS, &p, true);
	check_bound(8, 20 * MINUTE_MS, 24 * HOUR_MS, &p, true);
}

static void
test_a_prompt_that_crashes_before_the_head_stops(void)
{
	struct ld_prompt p = plain_request("/complete");

	p.own = 0x77;
	p.parts = prompt_parts(1, 1, UINT64_C(0x11));
	p.part_count = 1;
	check_bound(8, SECOND_MS, HOUR_MS, &p, false);
	check_bound(7, 61 * SECOND_MS, 4 * HOUR_MS, &p, false);
}

/* Each request with the part is new. */
static void
check_part(uint64_t interval_ms, uint64_t ms, bool begun)
{
	size_t node = 0;

	world_open(8, BOUND_CRASHES_PART);
	for (uint64_t end = w.now + ms; w.now < end; pass(interval_ms)) {
		char target[32];
		struct ld_prompt p;

		snprintf(target, sizeof(target), "/complete/%zu", node);
		p = plain_request(target);
		p.parts = prompt_parts(2, 2, UINT64_C(0x11), UINT64_C(0xdead));
		p.part_count = 2;
		p.own = 1000 + node;
		arrive(node++ % 8, &p, begun);
		/* The first part is sound: others with it are answered. */
		p.part_count = 1;
		ld_quarantine_answered(w.nodes[node % 8], &p, w.now);
	}
	CU_ASSERT(w.arrivals_after <= BOUND_ARRIVALS);
	world_close();
}

static void
test_a_part_is_not_tried_again_and_again(void)
{
	check_part(SECOND_MS, 4 * HOUR_MS, true);
	check_part(35 * SECOND_MS, 4 * HOUR_MS, true);
	check_part(61 * SECOND_MS, 4 * HOUR_MS, false);
}

/* What a node knows is lost when it restarts, but for the records in the store. */
struct record {
	struct ld_finding crashes[LD_CRASHES_MAX];
	size_t n;
};

static void
keep_record(void *user, const struct ld_finding *crashes, size_t n)
{
	struct record *r = user;

	memcpy(r->crashes, crashes, n * sizeof(*crashes));
	r->n = n;
}

static void
keep_part(void *user, uint64_t part)
{
	*(uint64_t *)user = part;
}

static void
restart_node(size_t i)
{
	struct record r = {.n = 0};
	uint64_t part = 0;

	ld_quarantine_each_suspect(w.nodes[i], w.now, keep_record, &r);
	ld_quarantine_each(w.nodes[i], keep_part, &part);
	ld_quarantine_free(w.nodes[i]);
	start_node(i);
	ld_quarantine_restore_crashes(w.nodes[i], r.crashes, r.n, w.now);
	if (part != 0)
		ld_quarantine_restore(w.nodes[i], part, w.now);
}

static void
test_nodes_that_are_replaced_in_turn_know_the_crashes(void)
{
	struct ld_prompt p = plain_request("/deadly");

	world_open(4, BOUND_CRASHES_REQUEST);
	for (size_t i = 0; i < 600; i++) {
		arrive(i % 4, &p, true);
		pass(10 * SECOND_MS);
		/* From the second crash on. */
		for (size_t n = 0; i > 0 && n < 4; n++)
			restart_node(n);
	}
	CU_ASSERT(w.arrivals_after <= BOUND_ARRIVALS);
	world_close();
}

/* The same crash, read again, is no further one. */
static void
test_a_record_of_known_crashes_adds_none(void)
{
	struct ld_prompt p = plain_request("/sound");
	struct record r = {.n = 0};
	uint64_t until_ms;

	world_open(2, BOUND_CRASHES_REQUEST);
	arrive(0, &p, true);
	pass(MINUTE_MS);
	arrive(1, &p, true);
	pass(MINUTE_MS);
	ld_quarantine_each_suspect(w.nodes[0], w.now, keep_record, &r);
	CU_ASSERT_EQUAL(r.n, 2);
	for (int i = 0; i < 5; i++)
		ld_quarantine_restore_crashes(
		    w.nodes[1], r.crashes, r.n, w.now + (uint64_t)i * HOUR_MS);
	CU_ASSERT_FALSE(
	    ld_quarantine_contains(w.nodes[1], &p, w.now, &until_ms));
	world_close();
}

/* A request that was suspected wrongly is answered in a trial. */
static void
test_a_trial_releases_a_sound_request(void)
{
	struct ld_prompt p = plain_request("/sound");
	uint64_t until_ms;
	bool tried = false;

	world_open(4, BOUND_CRASHES_REQUEST);
	for (size_t i = 0; i < 3; i++) {
		arrive(i, &p, true);
		pass(SECOND_MS);
	}
	for (size_t i = 0; i < 240 && !tried; i++) {
		CU_ASSERT(ld_quarantine_contains(
		    w.nodes[i % 4], &p, w.now, &until_ms));
		tried = ld_quarantine_take_trial(w.nodes[i % 4], &p, w.now);
		if (tried)
			ld_quarantine_answered(w.nodes[i % 4], &p, w.now);
		pass(SECOND_MS);
	}
	CU_ASSERT(tried);
	for (size_t i = 0; i < 4; i++)
		CU_ASSERT_FALSE(
		    ld_quarantine_contains(w.nodes[i], &p, w.now, &until_ms));
	world_close();
}

/* Without the store nobody knows whether a trial is left. */
static void
test_no_trial_while_the_store_is_away(void)
{
	struct ld_prompt p = plain_request("/deadly");

	world_open(4, BOUND_CRASHES_REQUEST);
	w.store_is_away = true;
	for (size_t i = 0; i < 3600; i++) {
		arrive(i % 4, &p, true);
		pass(SECOND_MS);
	}
	CU_ASSERT_EQUAL(w.crashes, BOUND_CRASHES_REQUEST);
	w.store_is_away = false;
	for (size_t i = 0; i < 3600; i++) {
		arrive(i % 4, &p, true);
		pass(SECOND_MS);
	}
	CU_ASSERT(w.crashes > BOUND_CRASHES_REQUEST);
	CU_ASSERT(w.arrivals_after <= BOUND_ARRIVALS);
	world_close();
}

/* More of them than were kept at once before: each is bounded by itself. */
static void
test_many_such_requests_at_once_are_all_kept(void)
{
	unsigned int reached = 0;

	world_open(2, BOUND_CRASHES_REQUEST);
	for (unsigned int round = 0; round < 20; round++)
		for (unsigned int i = 0; i < 150; i++) {
			char target[32];
			struct ld_prompt p;
			uint64_t until_ms;

			snprintf(target, sizeof(target), "/deadly/%u", i);
			p = plain_request(target);
			pass(SECOND_MS);
			if (ld_quarantine_contains(
				w.nodes[round % 2], &p, w.now, &until_ms))
				continue;
			reached++;
			ld_quarantine_request_crashed(
			    w.nodes[round % 2], &p, ++w.servers, w.now);
		}
	CU_ASSERT(reached <= 150U * (BOUND_CRASHES_REQUEST + BOUND_ARRIVALS));
	world_close();
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a request is not tried again and again",
		test_a_request_is_not_tried_again_and_again},
	    {"crashes far apart are not forgotten",
		test_crashes_far_apart_are_not_forgotten},
	    {"a prompt that crashes before the head stops",
		test_a_prompt_that_crashes_before_the_head_stops},
	    {"a part is not tried again and again",
		test_a_part_is_not_tried_again_and_again},
	    {"nodes that are replaced in turn know the crashes",
		test_nodes_that_are_replaced_in_turn_know_the_crashes},
	    {"a record of known crashes adds none",
		test_a_record_of_known_crashes_adds_none},
	    {"a trial releases a sound request",
		test_a_trial_releases_a_sound_request},
	    {"no trial while the store is away",
		test_no_trial_while_the_store_is_away},
	    {"many such requests at once are all kept",
		test_many_such_requests_at_once_are_all_kept},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("quarantine over hours", cases);
}
