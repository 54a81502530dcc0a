/*
 * The quarantine on a fleet of nodes and servers: requests arrive at any node,
 * wait at a server, begin, and go on; a server crashes when it begins a prompt
 * with a certain part. Nodes exchange findings that are delayed and may be lost.
 */
#include <stdlib.h>
#include <string.h>

#include "ld_quarantine.h"
#include "ld_test.h"
#include "prompt_parts.h"

#define NODES_MAX 16
#define SERVERS 24
#define REQUESTS_MAX 400
#define MESSAGES_MAX 4096
#define SEEDS 20
#define STEP_MS 10
/* From a send until the answer begins, from there to a crash, and until it has
 * gone on for long enough. */
#define WAIT_MS 300
#define CRASH_AFTER_MS 60
#define GOES_ON_AFTER_MS 300
#define DOWN_MS 3000
/* The users' bound: so many requests with the part may reach servers later than
 * this after the fifth crash. */
#define BOUND_CRASHES 5
#define BOUND_AFTER_MS 3000
#define BOUND_ARRIVALS 3

#define FIRST 0x11U /* the first part of all prompts */
#define DEADLY 0xdeadU
#define SESSIONS 60
#define TURNS UINT64_C(0x2000)

struct node {
	struct ld_quarantine *qn;
	size_t index;
	unsigned int changes; /* parts quarantined or released */
};

struct sent {
	bool used;
	size_t node;
	size_t server;
	struct ld_prompt prompt;
	uint64_t begins_ms;
};

struct message {
	size_t to;
	struct ld_finding f;
	uint64_t at_ms;
};

static struct {
	struct node nodes[NODES_MAX];
	size_t node_count;
	struct sent sent[REQUESTS_MAX];
	uint64_t down_until_ms[SERVERS];
	struct message messages[MESSAGES_MAX];
	size_t message_count;
	struct ld_rand rand;
	uint64_t now;
	double loss;
	bool head_is_late; /* heads arrive with the first event */
	size_t turns; /* parts that all prompts share beside the first one */
	size_t deadly_place; /* of the deadly part among them */
	unsigned int crashes; /* by the deadly part */
	uint64_t bound_from_ms;
	unsigned int arrivals_after; /* after the bound */
	unsigned int refused_sound;
	unsigned int served_sound;
} w;

/* ---- Nodes ---- */

static void
on_send(void *user, const struct ld_finding *f)
{
	struct node *n = user;

	for (size_t i = 0; i < w.node_count; i++) {
		if (i == n->index || ld_rand_unit(&w.rand) < w.loss ||
		    w.message_count == MESSAGES_MAX)
			continue;
		w.messages[w.message_count++] = (struct message){
		    i, *f, w.now + 10 + ld_rand_below(&w.rand, 100)};
	}
}

static void
on_changed(void *user, enum ld_quarantine_event e, uint64_t part)
{
	((struct node *)user)->changes++;
}

static const struct ld_quarantine_ops ops = {on_send, on_changed, NULL};

static void
start_node(size_t i)
{
	w.nodes[i].index = i;
	w.nodes[i].changes = 0;
	w.nodes[i].qn = ld_quarantine_new(&ops, &w.nodes[i], i + 1);
}

static void
world_open(size_t nodes, uint64_t seed)
{
	memset(&w, 0, sizeof(w));
	w.node_count = nodes;
	w.now = 1000;
	w.bound_from_ms = UINT64_MAX;
	ld_rand_seed(&w.rand, seed);
	for (size_t i = 0; i < nodes; i++)
		start_node(i);
}

static void
world_close(void)
{
	for (size_t i = 0; i < w.node_count; i++)
		ld_quarantine_free(w.nodes[i].qn);
}

static bool
holds(size_t node, uint64_t part)
{
	struct ld_prompt p = {
	    .parts = &part, .part_count = 1, .own = UINT64_MAX};
	uint64_t until_ms;

	return ld_quarantine_contains(w.nodes[node].qn, &p, w.now, &until_ms);
}

static size_t
holders(uint64_t part)
{
	size_t n = 0;

	for (size_t i = 0; i < w.node_count; i++)
		n += holds(i, part);
	return n;
}

/* ---- Requests ---- */

static bool
has_part(const struct ld_prompt *p, uint64_t part)
{
	for (size_t i = 0; i < p->part_count; i++)
		if (p->parts[i] == part)
			return true;
	return false;
}

/* Returns the node's refusal. */
static bool
arrive(const struct ld_prompt *p)
{
	size_t node = ld_rand_below(&w.rand, (uint32_t)w.node_count), server;
	uint64_t until_ms;

	if (ld_quarantine_contains(w.nodes[node].qn, p, w.now, &until_ms)) {
		CU_ASSERT(until_ms > w.now);
		return true;
	}
	do
		server = ld_rand_below(&w.rand, SERVERS);
	while (w.now < w.down_until_ms[server]);
	if (has_part(p, DEADLY) && w.now >= w.bound_from_ms)
		w.arrivals_after++;
	for (size_t i = 0; i < REQUESTS_MAX; i++)
		if (!w.sent[i].used) {
			w.sent[i] = (struct sent){true, node, server, *p,
			    w.now + WAIT_MS + ld_rand_below(&w.rand, 100)};
			return false;
		}
	CU_FAIL("too many requests at once");
	return false;
}

static void
crash_server(size_t server)
{
	w.down_until_ms[server] = w.now + DOWN_MS;
	for (size_t i = 0; i < REQUESTS_MAX; i++) {
		struct sent *s = &w.sent[i];

		if (!s->used || s->server != server)
			continue;
		s->used = false;
		ld_quarantine_crashed(w.nodes[s->node].qn, &s->prompt,
		    (uint32_t)server + 1,
		    w.now >= s->begins_ms && !w.head_is_late, w.now);
	}
}

static void
note_deadly_crash(void)
{
	if (++w.crashes == BOUND_CRASHES)
		w.bound_from_ms = w.now + BOUND_AFTER_MS;
}

static void
step_requests(void)
{
	for (size_t i = 0; i < REQUESTS_MAX; i++) {
		struct sent *s = &w.sent[i];

		if (!s->used)
			continue;
		if (has_part(&s->prompt, DEADLY)) {
			if (w.now < s->begins_ms + CRASH_AFTER_MS)
				continue;
			note_deadly_crash();
			crash_server(s->server);
		} else if (w.now >= s->begins_ms + GOES_ON_AFTER_MS) {
			s->used = false;
			ld_quarantine_went_on(
			    w.nodes[s->node].qn, &s->prompt, w.now);
		}
	}
}

/* Receiving sends, too: into a list of its own. */
static void
step(void)
{
	static struct message due[MESSAGES_MAX];
	size_t n = 0, kept = 0;

	w.now += STEP_MS;
	for (size_t i = 0; i < w.message_count; i++)
		if (w.now >= w.messages[i].at_ms)
			due[n++] = w.messages[i];
		else
			w.messages[kept++] = w.messages[i];
	w.message_count = kept;
	for (size_t i = 0; i < n; i++)
		ld_quarantine_receive(w.nodes[due[i].to].qn, &due[i].f, w.now);
	step_requests();
}

/* A sound prompt: the first part of all, that of a session, the turns, its own. */
static struct ld_prompt
sound_prompt(void)
{
	struct ld_prompt p = {
	    .parts = prompt_parts(w.turns + 3, 2, (uint64_t)FIRST,
		UINT64_C(0x1000) + ld_rand_below(&w.rand, SESSIONS)),
	    .part_count = 2 + w.turns,
	    .own = 1 + ld_rand_below(&w.rand, 1U << 30)};

	for (size_t i = 0; i < w.turns; i++)
		p.parts[2 + i] = TURNS + i;
	return p;
}

static struct ld_prompt
deadly_prompt(void)
{
	struct ld_prompt p = sound_prompt();
	uint64_t *at = &p.parts[2 + w.deadly_place];

	memmove(at + 1, at, (w.turns - w.deadly_place) * sizeof(*at));
	*at = DEADLY;
	p.part_count++;
	return p;
}

/* @sound, @deadly: requests a second */
static void
run(uint64_t ms, double sound, double deadly)
{
	for (uint64_t end = w.now + ms; w.now < end;) {
		struct ld_prompt p;

		step();
		if (ld_rand_unit(&w.rand) < sound * STEP_MS / 1000) {
			p = sound_prompt();
			if (arrive(&p))
				w.refused_sound++;
			else
				w.served_sound++;
		}
		if (ld_rand_unit(&w.rand) < deadly * STEP_MS / 1000) {
			p = deadly_prompt();
			(void)arrive(&p);
		}
	}
}

/* ---- Tests ---- */

static void
check_bound(size_t nodes, double loss, bool head_is_late)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_open(nodes, seed);
		w.loss = loss;
		w.head_is_late = head_is_late;
		run(3000, 60, 0);
		run(22000, 60, 3);
		CU_ASSERT(w.crashes >= 3);
		CU_ASSERT(w.arrivals_after <= BOUND_ARRIVALS);
		CU_ASSERT_EQUAL(holders(DEADLY), nodes);
		CU_ASSERT_EQUAL(holders(FIRST), 0);
		/* Sound requests with the same first part are served. */
		CU_ASSERT(w.refused_sound * 50 <= w.served_sound);
		world_close();
	}
}

static void
test_requests_with_the_part_stop(void)
{
	check_bound(8, 0, false);
	check_bound(1, 0, false);
	check_bound(16, 0.1, false);
}

static void
test_servers_whose_heads_come_late(void)
{
	check_bound(8, 0, true);
}

/* As in a long conversation; whatever place the part has. */
static void
test_requests_with_one_of_many_parts_stop(void)
{
	static const size_t turns[] = {32, 200, 1000};

	for (size_t i = 0; i < sizeof(turns) / sizeof(turns[0]); i++)
		for (size_t place = 0; place <= 2; place++) {
			world_open(8, 1);
			w.turns = turns[i];
			w.deadly_place = place * turns[i] / 2;
			run(3000, 60, 0);
			run(22000, 60, 3);
			CU_ASSERT(w.crashes >= 3);
			CU_ASSERT(w.arrivals_after <= BOUND_ARRIVALS);
			CU_ASSERT_EQUAL(holders(DEADLY), 8);
			CU_ASSERT(w.refused_sound * 50 <= w.served_sound);
			world_close();
		}
}

#define LONG_PROMPT_PARTS 4000
/* A quarter of the findings that a node holds to send. */
#define LONG_PROMPT_SUSPECTS 64

/* A caller whose sound prompts have thousands of parts, none of them twice. */
static void
send_long_prompts(unsigned int n)
{
	static uint64_t next = UINT64_C(1) << 40;

	for (unsigned int i = 0; i < n; i++) {
		struct ld_prompt p = {
		    .parts = prompt_parts(LONG_PROMPT_PARTS, 0),
		    .part_count = LONG_PROMPT_PARTS,
		    .own = next++};

		for (size_t k = 0; k < LONG_PROMPT_PARTS; k++)
			p.parts[k] = next++;
		for (size_t k = 0; k < w.node_count; k++)
			ld_quarantine_answered(w.nodes[k].qn, &p, w.now);
		run(100, 60, 3);
	}
}

static void
test_long_prompts_of_a_caller_hide_no_crashes(void)
{
	world_open(4, 1);
	run(3000, 60, 0);
	send_long_prompts(150);
	CU_ASSERT(w.crashes >= 3);
	CU_ASSERT(w.arrivals_after <= BOUND_ARRIVALS);
	CU_ASSERT_EQUAL(holders(DEADLY), 4);
	CU_ASSERT(w.refused_sound * 50 <= w.served_sound);
	world_close();
}

/* Crashes by chance of prompts whose parts nobody knows: the nodes are sent a
 * bounded number of findings, and keep what they know of other parts. */
static void
test_a_crash_of_a_long_prompt_suspects_few_parts(void)
{
	struct ld_prompt p = {.parts = prompt_parts(LONG_PROMPT_PARTS, 0),
	    .part_count = LONG_PROMPT_PARTS,
	    .own = 9};

	world_open(2, 1);
	for (size_t k = 0; k < LONG_PROMPT_PARTS; k++)
		p.parts[k] = TURNS + k;
	CU_ASSERT(ld_quarantine_crashed(w.nodes[0].qn, &p, 1, true, w.now) <=
	    LONG_PROMPT_SUSPECTS);
	CU_ASSERT(w.message_count <= LONG_PROMPT_SUSPECTS + 1);
	run(300, 0, 0);
	world_close();
}

/* Servers crash by themselves, often; no prompt is the cause. */
static void
test_crashes_by_chance_quarantine_nothing(void)
{
	unsigned int held = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_open(8, seed);
		run(3000, 60, 0);
		for (int i = 0; i < 60; i++) {
			crash_server(ld_rand_below(&w.rand, SERVERS));
			/* At times a whole rack. */
			for (size_t s = 0; i % 20 == 0 && s < SERVERS / 3; s++)
				crash_server(s);
			run(400, 60, 0);
		}
		CU_ASSERT_EQUAL(holders(FIRST), 0);
		for (uint64_t i = 0; i < SESSIONS; i++)
			held += holders(0x1000U + i) > 0;
		CU_ASSERT(w.refused_sound * 100 <= w.served_sound);
		world_close();
	}
	/* One session in a hundred at most. */
	CU_ASSERT(held * 100 <= SEEDS * SESSIONS);
}

static struct ld_prompt
prompt_of(uint64_t part, uint64_t own)
{
	return (struct ld_prompt){
	    .parts = prompt_parts(1, 1, part), .part_count = 1, .own = own};
}

static void
crash_with(size_t node, uint64_t part, uint64_t own, uint32_t server)
{
	struct ld_prompt p = prompt_of(part, own);

	ld_quarantine_crashed(w.nodes[node].qn, &p, server, true, w.now);
	run(300, 0, 0);
}

/* A new session waits at each server that the deadly part crashes; of the first
 * two crashes one request is the cause. */
static void
test_a_session_at_the_same_servers_is_spared(void)
{
	static const uint64_t owners[] = {7, 7, 8, 9, 10, 11};

	world_open(4, 1);
	for (uint32_t i = 0; i < 6; i++) {
		struct ld_prompt p = prompt_of(0x99, 20 + i);

		ld_quarantine_crashed(w.nodes[1].qn, &p, 1 + i, false, w.now);
		crash_with(0, DEADLY, owners[i], 1 + i);
		CU_ASSERT_EQUAL(holders(0x99), 0);
		CU_ASSERT_EQUAL(holders(DEADLY), i < 2 ? 0 : 4);
	}
	world_close();
}

/* A prompt that crashes servers by itself, sent again and again at any node: its
 * last part is quarantined, the part that it shares is not. */
static void
test_a_prompt_that_is_sent_again_stops(void)
{
	struct ld_prompt sound = prompt_of(0x55, 8);
	uint64_t until_ms;

	world_open(4, 1);
	for (uint32_t i = 1; i <= 3; i++) {
		struct ld_prompt p = prompt_of(0x55, 7);

		for (size_t n = 0; n < 4; n++)
			CU_ASSERT(!ld_quarantine_contains(
			    w.nodes[n].qn, &p, w.now, &until_ms));
		crash_with(i, 0x55, 7, i);
	}
	for (size_t n = 0; n < 4; n++) {
		struct ld_prompt p = prompt_of(0x55, 7);

		CU_ASSERT(ld_quarantine_contains(
		    w.nodes[n].qn, &p, w.now, &until_ms));
		CU_ASSERT(!ld_quarantine_contains(
		    w.nodes[n].qn, &sound, w.now, &until_ms));
	}
	/* It hides nothing from the part: another request with it suffices. */
	crash_with(0, 0x55, 9, 4);
	CU_ASSERT_EQUAL(holders(0x55), 4);
	world_close();
}

static void
test_one_request_alone_is_no_evidence(void)
{
	world_open(2, 1);
	for (uint32_t server = 1; server <= 4; server++)
		crash_with(0, DEADLY, 7, server);
	CU_ASSERT_EQUAL(holders(DEADLY), 0);
	crash_with(1, DEADLY, 8, 5);
	CU_ASSERT_EQUAL(holders(DEADLY), 2);
	world_close();
}

/* The nodes of one crash report it once each. */
static void
test_one_crash_counts_once(void)
{
	world_open(4, 1);
	for (size_t i = 0; i < 4; i++) {
		struct ld_prompt p = prompt_of(DEADLY, i + 1);

		ld_quarantine_crashed(w.nodes[i].qn, &p, 5, true, w.now);
	}
	run(500, 0, 0);
	CU_ASSERT_EQUAL(holders(DEADLY), 0);
	world_close();
}

static void
quarantine_by_crashes(uint64_t part)
{
	for (uint32_t i = 1; i <= 3; i++)
		crash_with(0, part, i, i);
	CU_ASSERT_EQUAL(holders(part), w.node_count);
}

static void
test_an_answer_releases_a_part_at_all_nodes(void)
{
	struct ld_prompt p = prompt_of(0x77, 9);

	world_open(4, 1);
	quarantine_by_crashes(0x77);
	/* Of a request that was at a server before. */
	ld_quarantine_answered(w.nodes[3].qn, &p, w.now);
	run(300, 0, 0);
	CU_ASSERT_EQUAL(holders(0x77), 0);
	/* And it is not suspected at once again. */
	for (uint32_t i = 11; i <= 14; i++)
		crash_with(0, 0x77, i, i);
	CU_ASSERT_EQUAL(holders(0x77), 0);
	world_close();
}

static void
test_an_answer_at_another_node_counts(void)
{
	struct ld_prompt p = prompt_of(0x77, 9);

	world_open(4, 1);
	for (uint32_t i = 1; i <= 6; i++) {
		ld_quarantine_answered(w.nodes[3].qn, &p, w.now);
		crash_with(0, 0x77, i, i);
		run(1000, 0, 0);
	}
	CU_ASSERT_EQUAL(holders(0x77), 0);
	world_close();
}

static void
test_a_node_that_did_not_know_is_told(void)
{
	world_open(4, 1);
	quarantine_by_crashes(DEADLY);
	ld_quarantine_free(w.nodes[2].qn);
	start_node(2);
	CU_ASSERT(!holds(2, DEADLY));
	crash_with(2, DEADLY, 50, 9);
	CU_ASSERT(holds(2, DEADLY));
	/* From the record in the store. */
	ld_quarantine_free(w.nodes[2].qn);
	start_node(2);
	ld_quarantine_restore(w.nodes[2].qn, DEADLY, w.now);
	CU_ASSERT(holds(2, DEADLY));
	ld_quarantine_withdraw(w.nodes[2].qn, DEADLY);
	CU_ASSERT(!holds(2, DEADLY));
	world_close();
}

/* Time alone lets nothing through again. */
static void
test_a_quarantine_does_not_end_by_time(void)
{
	unsigned int first;

	world_open(8, 1);
	run(3000, 60, 0);
	run(20000, 60, 20);
	first = w.crashes;
	run(40000, 60, 20);
	CU_ASSERT_EQUAL(w.crashes, first);
	run(1140000, 60, 20);
	CU_ASSERT_EQUAL(w.crashes, first);
	CU_ASSERT_EQUAL(holders(DEADLY), 8);
	CU_ASSERT_EQUAL(holders(FIRST), 0);
	world_close();
}

static void
count_part(void *user, uint64_t part)
{
	(*(unsigned int *)user)++;
}

static void
test_more_parts_than_fit(void)
{
	unsigned int n = 0;

	world_open(1, 1);
	for (uint64_t part = 1; part <= 100; part++)
		ld_quarantine_restore(w.nodes[0].qn, part, w.now);
	ld_quarantine_each(w.nodes[0].qn, count_part, &n);
	CU_ASSERT_EQUAL(n, 100);
	CU_ASSERT(holds(0, 1));
	CU_ASSERT(holds(0, 100));
	/* What was asked for last stays. */
	w.now += 200000;
	CU_ASSERT(holds(0, 1));
	for (uint64_t part = 101; part <= 300; part++)
		ld_quarantine_restore(w.nodes[0].qn, part, w.now);
	n = 0;
	ld_quarantine_each(w.nodes[0].qn, count_part, &n);
	CU_ASSERT_EQUAL(n, 256);
	CU_ASSERT(holds(0, 1));
	CU_ASSERT(!holds(0, 2));
	CU_ASSERT(holds(0, 300));
	world_close();
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"requests with the part stop", test_requests_with_the_part_stop},
	    {"requests with one of many parts stop",
		test_requests_with_one_of_many_parts_stop},
	    {"long prompts of a caller hide no crashes",
		test_long_prompts_of_a_caller_hide_no_crashes},
	    {"a crash of a long prompt suspects few parts",
		test_a_crash_of_a_long_prompt_suspects_few_parts},
	    {"servers whose heads come late",
		test_servers_whose_heads_come_late},
	    {"crashes by chance quarantine nothing",
		test_crashes_by_chance_quarantine_nothing},
	    {"a session at the same servers is spared",
		test_a_session_at_the_same_servers_is_spared},
	    {"a prompt that is sent again stops",
		test_a_prompt_that_is_sent_again_stops},
	    {"one request alone is no evidence",
		test_one_request_alone_is_no_evidence},
	    {"one crash counts once", test_one_crash_counts_once},
	    {"an answer releases a part at all nodes",
		test_an_answer_releases_a_part_at_all_nodes},
	    {"an answer at another node counts",
		test_an_answer_at_another_node_counts},
	    {"a node that did not know is told",
		test_a_node_that_did_not_know_is_told},
	    {"a quarantine does not end by time",
		test_a_quarantine_does_not_end_by_time},
	    {"more parts than fit", test_more_parts_than_fit},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("quarantine", cases);
}
