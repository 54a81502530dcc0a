/* One relay, and a store restored from an older copy: later writes are lost,
 * revisions are reused, the era rises. */
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>

#include "ld_relay_session.h"

#define NODE_KEY "lavenderdrift/nodes/n1"
#define CONTROL_KEY "lavenderdrift/control"
#define ERA_KEY "lavenderdrift/era"
/* Changes reach a relay within this, ms: a watch time-out, a pause, a call. */
#define TOLD_MS 1500
/* A store that answers again is read within this, ms. */
#define REREAD_MS 1000
/* Time after the store's return in which a lease holder may rely on it, ms. */
#define LEASE_MS 2000
/* Entries that were lost are written again within this, ms. */
#define ENTRIES_BACK_MS 2100
/* Start of a server's process, Unix ms. */
#define BORN_MS 1796500000000LL

static char program[512];

static int version = 30;

/* Real time: loop turns take longer than requested on a busy machine. */
static uint64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

/* Only the key @key is valid from now on; what was written before is kept. */
static void
set_key(const char *key)
{
	char text[16];

	snprintf(text, sizeof(text), "\"%s\"", key);
	put_config(++version, text, "null");
}

static void
set_up(void)
{
	if (store == NULL)
		open_all(program);
	for (int i = 0; i < SERVERS; i++)
		put_entry(&servers[i], version);
	set_key("k1");
	run_for(TOLD_MS);
	wait_until_serving();
}

/* The key @valid is served and @invalid is refused for @for_ms. */
static void
check_keys(const char *valid, const char *invalid, uint64_t for_ms)
{
	for (uint64_t ms = 0; ms < for_ms; ms += 50) {
		CU_ASSERT_EQUAL(code_of("GET", "/look/a", valid), 200);
		CU_ASSERT_EQUAL(code_of("GET", "/look/a", invalid), 401);
		run_for(50);
	}
}

/* The older configuration does not make a removed key valid again, and changes
 * are followed although revisions start lower. */
static void
test_a_configuration_does_not_go_back(void)
{
	set_up();
	ld_kv_store_mark(store);
	set_key("k2");
	for (int i = 0; i < 40; i++)
		ld_kv_store_put(store, "servers/foreign", "{\"service\":7");
	run_for(TOLD_MS);
	set_servers(SERVES, SERVES);
	ld_kv_store_return_older(store);
	check_keys("k2", "k1", ENTRIES_BACK_MS + REREAD_MS);
	/* The operator writes it again, and then another one. */
	put_config(version, "\"k2\"", "null");
	run_for(TOLD_MS);
	check_keys("k2", "k1", 200);
	set_key("k3");
	run_for(TOLD_MS);
	check_keys("k3", "k2", 200);
}

/* Revisions that the watch has already seen are reused before its next call:
 * their new changes are not missed. */
static void
test_revisions_are_given_out_again(void)
{
	set_up();
	ld_kv_store_mark(store);
	for (int i = 0; i < 5; i++)
		ld_kv_store_put(store, "servers/foreign", "{\"service\":7");
	run_for(TOLD_MS);
	ld_kv_store_silence(store, true);
	ld_kv_store_return_older(store);
	set_key("k2");
	for (int i = 0; i < 8; i++)
		ld_kv_store_put(store, "servers/foreign", "{\"service\":8");
	ld_kv_store_silence(store, false);
	run_for(TOLD_MS + REREAD_MS);
	set_servers(SERVES, SERVES);
	check_keys("k2", "k1", 200);
}

/* A server whose entry is missing in the copy stays in use at first, and is
 * removed unless it writes its entry again. */
static void
test_entries_that_are_missing(void)
{
	set_up();
	ld_kv_store_delete(store, "servers/i-1");
	run_for(TOLD_MS + ENTRIES_BACK_MS);
	ld_kv_store_mark(store);
	put_entry(&servers[1], 7);
	run_for(TOLD_MS);
	ld_kv_store_return_older(store);
	run_for(REREAD_MS / 2);
	set_servers(SERVES, SERVES);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
	CU_ASSERT(servers[1].arrivals > 0);
	run_for(ENTRIES_BACK_MS + 2 * REREAD_MS);
	set_servers(SERVES, SERVES);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
	CU_ASSERT_EQUAL(servers[1].arrivals, 0);
}

/* Requests that reach the second server while both are asked for @for_ms. */
static unsigned int
arrivals_at_second(uint64_t for_ms)
{
	set_servers(SERVES, SERVES);
	for (uint64_t ms = 0; ms < for_ms; ms += 50) {
		CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
		run_for(50);
	}
	return servers[1].arrivals;
}

/* Review/5: a server whose entry was removed is not listed again by an older
 * copy, but by its next heartbeat. */
static void
test_a_removed_server_is_not_listed_again(void)
{
	set_up();
	servers[1].born = BORN_MS;
	put_entry(&servers[1], 1005);
	run_for(TOLD_MS);
	ld_kv_store_mark(store);
	ld_kv_store_delete(store, "servers/i-1");
	run_for(TOLD_MS);
	ld_kv_store_return_older(store);
	CU_ASSERT_EQUAL(arrivals_at_second(ENTRIES_BACK_MS + 2 * REREAD_MS), 0);
	put_entry(&servers[1], 1006);
	run_for(TOLD_MS);
	CU_ASSERT(arrivals_at_second(REREAD_MS) > 0);
}

static void
put_draining(int sequence)
{
	char value[256];

	snprintf(value, sizeof(value),
	    "{\"service\":\"desk\",\"address\":\"%s\",\"zone\":\"z1\","
	    "\"slots\":6,\"state\":\"draining\",\"version\":\"v1\","
	    "\"warmup_left_ms\":0,\"sequence\":%d,\"born\":%lld}",
	    servers[1].address, sequence, (long long)BORN_MS);
	ld_kv_store_put(store, "servers/i-1", value);
}

/* Review/6: what a server had written before the entry in the older copy was
 * taken for its state once the time for writing it again was over. */
static void
test_an_older_entry_is_never_applied(void)
{
	set_up();
	servers[1].born = BORN_MS;
	put_entry(&servers[1], 1011);
	run_for(TOLD_MS);
	ld_kv_store_mark(store);
	put_draining(1012);
	run_for(TOLD_MS);
	ld_kv_store_return_older(store);
	CU_ASSERT_EQUAL(arrivals_at_second(ENTRIES_BACK_MS + 2 * REREAD_MS), 0);
	/* Another process under the same id. */
	servers[1].born = BORN_MS + 1;
	put_entry(&servers[1], 1);
	run_for(TOLD_MS);
	CU_ASSERT(arrivals_at_second(REREAD_MS) > 0);
}

static void
kill_relay(void)
{
	kill(relay, SIGKILL);
	waitpid(relay, NULL, 0);
}

/* A relay that starts again serves as soon as it has read the store, if that has
 * settled in its era. */
static void
test_a_relay_that_starts_serves_soon(void)
{
	uint64_t from;

	set_up();
	ld_kv_store_delete(store, ERA_KEY);
	for (int i = 0; i < 300 && !ld_kv_store_has(store, ERA_KEY); i++)
		run_for(50);
	CU_ASSERT_FATAL(ld_kv_store_has(store, ERA_KEY));
	kill_relay();
	start_relay();
	from = now_ms();
	wait_until_serving();
	CU_ASSERT(now_ms() - from < ENTRIES_BACK_MS);
}

/* Review/9: a relay that started right after the store's return accepted a key that
 * was taken away after the copy. */
static void
test_a_relay_that_starts_on_an_older_copy_accepts_no_keys(void)
{
	long code;

	set_up();
	ld_kv_store_mark(store);
	set_key("k2");
	run_for(TOLD_MS);
	kill_relay();
	ld_kv_store_return_older(store);
	start_relay();
	for (int ms = 0; ms < LEASE_MS / 2; ms += 20) {
		code = code_of("GET", "/look/a", "k1");
		CU_ASSERT(code == 0 || code == 503);
		run_for(20);
	}
	put_config(version, "\"k2\"", "null");
	do {
		run_for(20);
		code = code_of("GET", "/look/a", "k1");
		CU_ASSERT(code == 401 || code == 503);
	} while (code == 503);
	check_keys("k2", "k1", 200);
}

/* The node's own entry is written again, and control has no new holder while a
 * lease of the earlier era may still be relied on. */
static void
test_own_keys_are_written_again(void)
{
	uint64_t from, absent_ms;

	set_up();
	ld_kv_store_mark(store);
	/* A service with engines, so that there is something to control. */
	ld_kv_store_put(store, "op/config",
	    "{\"version\":500,\"route_table\":[],\"services\":[{\"name\":"
	    "\"llm\","
	    "\"max_connections\":100,\"engine\":{\"slots\":26,\"stride\":6,"
	    "\"models\":[{\"name\":\"m0\",\"size\":6,\"pace\":1.0,"
	    "\"load_s\":16.0,\"warm_s\":1.6,\"share\":1.0}]}}],\"tenants\":[]"
	    "}");
	for (int i = 0; i < 100 && !ld_kv_store_has(store, CONTROL_KEY); i++)
		run_for(50);
	CU_ASSERT(ld_kv_store_has(store, CONTROL_KEY));
	ld_kv_store_return_older(store);
	ld_kv_store_delete(store, NODE_KEY);
	CU_ASSERT(!ld_kv_store_has(store, CONTROL_KEY));
	from = now_ms();
	do {
		run_for(20);
		absent_ms = now_ms() - from;
	} while (absent_ms < 8000 && !ld_kv_store_has(store, CONTROL_KEY));
	CU_ASSERT(absent_ms >= LEASE_MS);
	CU_ASSERT(ld_kv_store_has(store, CONTROL_KEY));
	CU_ASSERT(ld_kv_store_has(store, NODE_KEY));
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a configuration does not go back",
		test_a_configuration_does_not_go_back},
	    {"revisions are given out again",
		test_revisions_are_given_out_again},
	    {"entries that are missing", test_entries_that_are_missing},
	    {"a removed server is not listed again",
		test_a_removed_server_is_not_listed_again},
	    {"an older entry is never applied",
		test_an_older_entry_is_never_applied},
	    {"a relay that starts serves soon",
		test_a_relay_that_starts_serves_soon},
	    {"a relay that starts on an older copy accepts no keys",
		test_a_relay_that_starts_on_an_older_copy_accepts_no_keys},
	    {"own keys are written again", test_own_keys_are_written_again},
	    {NULL, NULL},
	};
	int rc;

	(void)argc;
	if (ld_common_init() != LD_OK)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	snprintf(
	    program, sizeof(program), "%s/../lavenderdrift", dirname(argv[0]));
	rc = ld_test_main("store era", cases);
	kill(relay, SIGKILL);
	close_all();
	return rc;
}
