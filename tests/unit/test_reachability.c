/* Whether a node has lost its path to all servers, or servers have failed. */
#include <stdio.h>

#include "engine_entry.h"
#include "ld_dispatch.h"
#include "ld_test.h"

#define SERVERS 6
#define START_MS 100000

static struct ld_servers *servers;
static struct ld_server *s[SERVERS];
static struct ld_reachability reach;

static void
world_open(void)
{
	reach = (struct ld_reachability){0};
	servers = ld_servers_new();
	for (int i = 0; i < SERVERS; i++) {
		struct ld_server_entry e;
		char id[8];

		snprintf(id, sizeof(id), "s%d", i);
		e = engine_entry(id, "z");
		s[i] = ld_servers_put(servers, &e, START_MS);
	}
}

/* Sends to the first @n servers fail; others hear the first @heard. */
static bool
fail(size_t n, size_t heard, uint64_t at_ms)
{
	for (size_t i = 0; i < heard; i++)
		s[i]->peer_last_byte_ms = at_ms + 250;
	for (size_t i = 0; i < n; i++)
		ld_reach_failed(
		    &reach, s[i]->id_hash, false, at_ms, at_ms + 200);
	return ld_reach_evaluate(&reach, servers, at_ms + 300);
}

static void
test_all_servers_fail_here_only(void)
{
	world_open();
	CU_ASSERT(fail(4, 3, START_MS));
	CU_ASSERT(reach.isolated);
	/* It is said once. */
	CU_ASSERT(!ld_reach_evaluate(&reach, servers, START_MS + 400));
	ld_servers_free(servers);
}

static void
test_crashed_servers_are_not_this_node(void)
{
	world_open();
	for (int i = 0; i < SERVERS; i++)
		s[i]->peer_last_byte_ms = START_MS - 50;
	CU_ASSERT(!fail(SERVERS, 0, START_MS));
	/* A server that other nodes reach again is one of them. */
	CU_ASSERT(!fail(SERVERS, 1, START_MS + 500));
	ld_servers_free(servers);
}

/* Seen on a quiet day: all servers pause for half a second, and other nodes got
 * the last bytes some ms after this one. */
static void
test_silent_servers_are_not_this_node(void)
{
	world_open();
	for (uint64_t at = START_MS; at < START_MS + 1500; at += 15) {
		for (int i = 0; i < SERVERS; i++) {
			s[i]->peer_last_byte_ms = START_MS + 60;
			if (at > START_MS + 450)
				ld_reach_failed(
				    &reach, s[i]->id_hash, true, START_MS, at);
		}
		CU_ASSERT(!ld_reach_evaluate(&reach, servers, at));
	}
	ld_servers_free(servers);
}

static void
test_few_servers_are_not_enough(void)
{
	world_open();
	for (int i = 0; i < 20; i++)
		CU_ASSERT(!fail(2, 2, START_MS + (uint64_t)i * 100));
	CU_ASSERT(ld_reach_is_suspected(&reach, START_MS + 2200));
	CU_ASSERT(!ld_reach_is_suspected(&reach, START_MS + 9000));
	ld_servers_free(servers);
}

static void
test_an_answer_clears_it(void)
{
	world_open();
	for (uint64_t at = START_MS; at < START_MS + 5000; at += 100) {
		CU_ASSERT(!fail(2, 2, at));
		ld_reach_answered(&reach, at + 50);
	}
	/* One of before the failures proves nothing. */
	CU_ASSERT(!fail(2, 2, START_MS + 6000));
	ld_reach_answered(&reach, START_MS + 5900);
	CU_ASSERT(fail(4, 4, START_MS + 6100));
	ld_servers_free(servers);
}

/* Seen on a quiet day: requests that wait in the queues of busy servers, while
 * other nodes' streams of these servers go on. */
static void
test_busy_servers_are_not_lost(void)
{
	world_open();
	for (uint64_t at = START_MS; at < START_MS + 5000; at += 100)
		for (int i = 0; i < SERVERS; i++) {
			s[i]->peer_last_byte_ms = at + 50;
			ld_reach_failed(
			    &reach, s[i]->id_hash, true, at - 500, at);
			ld_reach_heard(&reach);
			CU_ASSERT(!ld_reach_evaluate(&reach, servers, at + 50));
		}
	/* Connections that are refused remain a failure. */
	CU_ASSERT(!fail(2, 2, START_MS + 6000));
	ld_reach_heard(&reach);
	CU_ASSERT(fail(3, 3, START_MS + 6100));
	ld_servers_free(servers);
}

static void
test_return_after_steady_probes(void)
{
	uint64_t at = START_MS + 300;

	world_open();
	CU_ASSERT(fail(4, 4, START_MS));
	/* A link that comes and goes. */
	for (int i = 0; i < 20; i++)
		CU_ASSERT(!ld_reach_probed(&reach, i % 3 != 2, at += 300));
	CU_ASSERT(!ld_reach_probed(&reach, false, at += 300));
	CU_ASSERT(!ld_reach_probed(&reach, true, at += 300));
	CU_ASSERT(!ld_reach_probed(&reach, true, at += 300));
	CU_ASSERT(ld_reach_probed(&reach, true, at += 300));
	CU_ASSERT(!reach.isolated);
	ld_servers_free(servers);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"all servers fail here only", test_all_servers_fail_here_only},
	    {"crashed servers are not this node",
		test_crashed_servers_are_not_this_node},
	    {"silent servers are not this node",
		test_silent_servers_are_not_this_node},
	    {"few servers are not enough", test_few_servers_are_not_enough},
	    {"an answer clears it", test_an_answer_clears_it},
	    {"busy servers are not lost", test_busy_servers_are_not_lost},
	    {"return after steady probes", test_return_after_steady_probes},
	    {NULL, NULL},
	};

	return ld_test_main("reachability", cases);
}
