/* Three relays of one failure domain: one watches the store, the others follow
 * it, and go back to the store when it fails. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_soak.h"
#include "ld_test.h"

/* Relays follow each other in worlds with an odd seed. */
#define SEED 1
#define START_MS 3000
#define STEP_MS 5
/* A request takes no longer than this on a busy machine, ms. */
#define ANSWER_MS 8000

static struct soak s;

static void
run_for(uint64_t ms)
{
	uint64_t until = soak_now(&s) + ms;

	while (soak_now(&s) < until) {
		ld_loop_run_for(s.loop, STEP_MS);
		soak_work_tick(&s);
	}
}

static void
wait_for(struct soak_attempt *a)
{
	uint64_t until = soak_now(&s) + ANSWER_MS;

	while (!a->done && soak_now(&s) < until)
		run_for(STEP_MS);
	CU_ASSERT(a->done);
	if (a->code != 200)
		printf(
		    "relay %d answers %ld: %s\n", a->relay, a->code, a->reason);
}

static long
code_of(int relay, int key)
{
	struct soak_attempt *a = soak_send(&s, SOAK_LOOK, relay, key);

	wait_for(a);
	return a->code;
}

static long
code_of_anonymous(int relay)
{
	struct soak_attempt *a = soak_send_anonymous(&s, relay);

	wait_for(a);
	return a->code;
}

/* Served, or refused since the keys may be outdated. */
static bool
is_served_if_keys_are_current(int relay, int key)
{
	struct soak_attempt *a = soak_send(&s, SOAK_LOOK, relay, key);

	wait_for(a);
	return a->code == 200 ||
	    (a->code == 503 && strcmp(a->reason, "keys-outdated") == 0);
}

/* A counter of a relay, from its metrics. */
static uint64_t
counter(int relay, const char *name)
{
	char address[48], line[96];
	struct ld_reply reply = {0};
	const char *at;
	uint64_t n = 0;

	snprintf(address, sizeof(address), "%.*s:7341",
	    (int)strcspn(s.relays[relay].entry, ":"), s.relays[relay].entry);
	ld_call(&s.session,
	    &(struct ld_call){.address = address, .path = "/metrics"}, &reply);
	snprintf(line, sizeof(line), "\n%s ", name);
	at = reply.ok ? strstr(ld_buf_cstr(&reply.body), line) : NULL;
	CU_ASSERT_PTR_NOT_NULL(at);
	if (at != NULL)
		n = strtoull(at + strlen(line), NULL, 10);
	ld_reply_free(&reply);
	return n;
}

static void
remove_key(int key)
{
	s.keys[key].in_force = false;
	s.keys[key].removed_ms = soak_now(&s);
	soak_put_config(&s);
}

static void
add_key(void)
{
	s.keys[s.key_count++] =
	    (struct soak_key){.in_force = true, .added_ms = soak_now(&s)};
	soak_put_config(&s);
}

/* ---- Tests, in this order, in one world ---- */

static void
test_one_node_asks_the_store(void)
{
	uint64_t calls, told;

	soak_open(&s, SEED);
	run_for(START_MS);
	for (int i = 0; i < SOAK_RELAYS; i++)
		CU_ASSERT_EQUAL(code_of(i, 0), 200);
	told = counter(0, "ld_relay_changes_told_total");
	calls = counter(1, "ld_store_calls_total") +
	    counter(2, "ld_store_calls_total");
	run_for(6000);
	CU_ASSERT(counter(0, "ld_relay_changes_told_total") >= told + 6);
	/* At most the renewals of their entries: a watch calls every 0.8 s. */
	CU_ASSERT(counter(1, "ld_store_calls_total") +
		counter(2, "ld_store_calls_total") <=
	    calls + 4);
}

static void
test_changes_reach_those_that_follow(void)
{
	add_key();
	run_for(SOAK_CONFIG_MS);
	for (int i = 0; i < SOAK_RELAYS; i++)
		CU_ASSERT_EQUAL(code_of(i, s.key_count - 1), 200);
}

/* Changes that can't be read are passed on beside those that can. */
static void
test_odd_entries_stop_those_that_follow(void)
{
	static const char *const values[] = {"", "\x01\xff", "[[[[[", "null",
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:99999\"}",
	    "{\"slots\":99999999999999999999999999}", "{\"slots\":1e999}"};
	char key[32], deep[60000];
	uint64_t failed, calls;

	memset(deep, '[', sizeof(deep) - 1);
	deep[sizeof(deep) - 1] = '\0';
	failed = counter(1, "ld_relay_follow_failed_total") +
	    counter(2, "ld_relay_follow_failed_total");
	calls = counter(1, "ld_store_calls_total") +
	    counter(2, "ld_store_calls_total");
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		snprintf(key, sizeof(key), "servers/odd-%zu", i);
		ld_kv_store_put(s.store, key, values[i]);
		ld_kv_store_put(s.store, "servers/deep", deep);
		run_for(300);
	}
	add_key();
	run_for(SOAK_CONFIG_MS);
	for (int i = 0; i < SOAK_RELAYS; i++)
		CU_ASSERT_EQUAL(code_of(i, s.key_count - 1), 200);
	CU_ASSERT_EQUAL(counter(1, "ld_relay_follow_failed_total") +
		counter(2, "ld_relay_follow_failed_total"),
	    failed);
	/* At most the renewals of their entries. */
	CU_ASSERT(counter(1, "ld_store_calls_total") +
		counter(2, "ld_store_calls_total") <=
	    calls + 4);
}

/* The others' data becomes stale, so they read the store themselves. */
static void
test_the_delegate_stands_still(void)
{
	ld_freeze(s.relays[0].proc);
	run_for(200);
	remove_key(1);
	run_for(SOAK_REVOKE_MS / 2);
	for (int i = 1; i < SOAK_RELAYS; i++) {
		CU_ASSERT_EQUAL(code_of(i, 1), 401);
		CU_ASSERT_EQUAL(code_of(i, 0), 200);
	}
	ld_thaw(s.relays[0].proc);
	run_for(1000);
	CU_ASSERT_EQUAL(code_of(0, 1), 401);
}

/* The delegate, which watches the store, is cut off from the store only. */
static void
test_the_delegate_is_cut_off(void)
{
	run_for(3000);
	soak_mode(&s, s.relays[0].forward_control, "silent-all", 0);
	run_for(200);
	add_key();
	run_for(SOAK_REVOKE_MS / 2 + 1000);
	for (int i = 1; i < SOAK_RELAYS; i++) {
		CU_ASSERT_EQUAL(code_of(i, s.key_count - 1), 200);
		CU_ASSERT_EQUAL(code_of(i, 0), 200);
	}
	run_for(4000);
	/* It follows another relay, which is now the delegate. */
	CU_ASSERT_EQUAL(code_of(0, s.key_count - 1), 200);
	soak_mode(&s, s.relays[0].forward_control, "none", 0);
	run_for(4000);
	CU_ASSERT_EQUAL(code_of(0, s.key_count - 1), 200);
}

/* A node cut off from the store only stays current through the delegate. */
static void
test_a_follower_is_cut_off(void)
{
	run_for(3000);
	soak_mode(&s, s.relays[1].forward_control, "silent-all", 0);
	run_for(SOAK_REVOKE_MS + 2000);
	CU_ASSERT_EQUAL(code_of(1, 0), 200);
	add_key();
	run_for(SOAK_CONFIG_MS);
	CU_ASSERT_EQUAL(code_of(1, s.key_count - 1), 200);
	soak_mode(&s, s.relays[1].forward_control, "none", 0);
}

/* An entry is deleted without a watch event: the others remove the node. */
static void
test_an_entry_vanishes_in_an_outage(void)
{
	run_for(3000);
	for (int i = 0; i < SOAK_RELAYS; i++)
		CU_ASSERT_EQUAL(counter(i, "ld_peers_alive"), 2);
	ld_kv_store_silence(s.store, true);
	ld_kill(s.relays[2].proc);
	ld_kv_store_delete(s.store, "lavenderdrift/nodes/n2");
	ld_kv_store_forget(s.store);
	run_for(2500);
	ld_kv_store_silence(s.store, false);
	run_for(5000);
	CU_ASSERT_EQUAL(counter(0, "ld_peers_alive"), 1);
	CU_ASSERT_EQUAL(counter(1, "ld_peers_alive"), 1);
	soak_start_relay(&s, 2);
	run_for(START_MS);
	CU_ASSERT_EQUAL(counter(0, "ld_peers_alive"), 2);
	CU_ASSERT_EQUAL(code_of(2, s.key_count - 1), 200);
}

/* The code of a peer's request for changes. */
static long
changes_code(int relay, const char *target)
{
	char address[48];
	struct ld_reply reply = {0};
	long code;

	snprintf(address, sizeof(address), "%.*s:7340",
	    (int)strcspn(s.relays[relay].entry, ":"), s.relays[relay].entry);
	ld_call(&s.session,
	    &(struct ld_call){.address = address, .path = target}, &reply);
	code = reply.ok ? reply.code : 0;
	ld_reply_free(&reply);
	return code;
}

static void
test_later_parameters_of_requests_for_changes_are_skipped(void)
{
	/* Changes after that one are not kept. */
	CU_ASSERT_EQUAL(changes_code(0, "/changes?after=1"), 410);
	CU_ASSERT_EQUAL(changes_code(0, "/changes?after=1&later=2"), 410);
	CU_ASSERT_EQUAL(changes_code(0, "/changes?after=1x"), 400);
	CU_ASSERT_EQUAL(changes_code(0, "/changes2?after=1"), 400);
}

/*
 * Found by code review: a follower detects an outage later than the delegate,
 * and treated entries that had expired during it as servers that are gone.
 */
static void
test_entries_lapse_in_an_outage(void)
{
	run_for(3000);
	ld_kv_store_silence(s.store, true);
	run_for(2700);
	for (int i = 0; i < SOAK_SERVERS; i++)
		soak_server_delete_entry(&s.servers[i]);
	ld_kv_store_silence(s.store, false);
	run_for(700);
	for (int i = 0; i < SOAK_RELAYS; i++) {
		CU_ASSERT_EQUAL(code_of_anonymous(i), 200);
		CU_ASSERT(is_served_if_keys_are_current(i, s.key_count - 1));
	}
	for (int i = 0; i < SOAK_SERVERS; i++)
		soak_server_put_entry(&s.servers[i], "ready");
	run_for(3000);
	for (int i = 0; i < SOAK_RELAYS; i++)
		CU_ASSERT_EQUAL(code_of(i, s.key_count - 1), 200);
}

/* Seen with 17 relays: after a reload the old name of the node was read, which had
 * been freed. */
static void
test_settings_are_reloaded(void)
{
	int status = 0;

	for (int k = 0; k < 10; k++) {
		for (int i = 0; i < SOAK_RELAYS; i++)
			if (!ld_ended(s.relays[i].proc, &status))
				kill(s.relays[i].proc->pid, SIGHUP);
		run_for(130);
	}
	for (int i = 0; i < SOAK_RELAYS; i++) {
		CU_ASSERT_FALSE(ld_ended(s.relays[i].proc, &status));
		CU_ASSERT_EQUAL(code_of(i, s.key_count - 1), 200);
	}
}

static void
test_the_delegate_is_killed(void)
{
	run_for(3000);
	ld_kill(s.relays[0].proc);
	add_key();
	run_for(SOAK_CONFIG_MS + 1000);
	for (int i = 1; i < SOAK_RELAYS; i++)
		CU_ASSERT_EQUAL(code_of(i, s.key_count - 1), 200);
	soak_start_relay(&s, 0);
	run_for(START_MS);
	CU_ASSERT_EQUAL(code_of(0, s.key_count - 1), 200);
	CU_ASSERT(!s.session.failed);
	soak_close(&s);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"one node asks the store", test_one_node_asks_the_store},
	    {"changes reach those that follow",
		test_changes_reach_those_that_follow},
	    {"odd entries stop those that follow",
		test_odd_entries_stop_those_that_follow},
	    {"the delegate stands still", test_the_delegate_stands_still},
	    {"the delegate is cut off", test_the_delegate_is_cut_off},
	    {"a follower is cut off", test_a_follower_is_cut_off},
	    {"later parameters of requests for changes are skipped",
		test_later_parameters_of_requests_for_changes_are_skipped},
	    {"an entry vanishes in an outage",
		test_an_entry_vanishes_in_an_outage},
	    {"entries lapse in an outage", test_entries_lapse_in_an_outage},
	    {"settings are reloaded", test_settings_are_reloaded},
	    {"the delegate is killed", test_the_delegate_is_killed},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("follow processes", cases);
}
