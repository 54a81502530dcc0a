/* Prompts that crash each server that begins to answer them, at one relay. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "ld_relay_session.h"

/* Requests with the part that may reach servers: five crashes, and three more
 * after them. */
#define CRASHES_FREE 5
#define ARRIVALS_AFTER 3
#define ROUNDS 10
/* After a restart a server's entry reaches the relay within this time, ms. */
#define ENTRY_MS 400
/* A node without a leader compares the records within 2.5 s, and the store's
 * entries settle 2.1 s after the start, ms. */
#define RECORDS_MS 6000

static unsigned int
crashes(void)
{
	return servers[0].crashes + servers[1].crashes;
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_one_part_stops_reaching_servers(void)
{
	char prompt[64];

	open_all(relay_program);
	wait_until_serving();
	set_servers(CRASHES_ON_PROMPT, CRASHES_ON_PROMPT);
	for (int i = 0; i < ROUNDS; i++) {
		snprintf(prompt, sizeof(prompt),
		    "aa:40," RELAY_CRASHING_PART ":100,d%x:20", i);
		CU_ASSERT_NOT_EQUAL(code_of_prompt(prompt), 200);
		restart_crashed();
		run_for(ENTRY_MS);
		/* The same account and first part. */
		snprintf(prompt, sizeof(prompt), "aa:40,5%x:20", i);
		CU_ASSERT_EQUAL(code_of_prompt(prompt), 200);
	}
	CU_ASSERT(crashes() <= CRASHES_FREE + ARRIVALS_AFTER);
}

#define TURNS 200

/* As in a conversation of many turns, which all prompts share. */
static void
test_a_part_behind_many_others_stops_reaching_servers(void)
{
	unsigned int before = crashes();
	struct ld_buf turns = {0}, prompt = {0};

	for (int i = 0; i < TURNS; i++)
		ld_buf_printf(&turns, "c%03x:40,", i);
	for (int i = 0; i < ROUNDS; i++) {
		prompt.len = 0;
		ld_buf_printf(&prompt, "%s" RELAY_CRASHING_PART "3:100,d%x:20",
		    ld_buf_cstr(&turns), 0x100 + i);
		CU_ASSERT_NOT_EQUAL(code_of_prompt(ld_buf_cstr(&prompt)), 200);
		restart_crashed();
		run_for(ENTRY_MS);
		prompt.len = 0;
		ld_buf_printf(
		    &prompt, "%s5%x:20", ld_buf_cstr(&turns), 0x100 + i);
		CU_ASSERT_EQUAL(code_of_prompt(ld_buf_cstr(&prompt)), 200);
	}
	CU_ASSERT(crashes() - before <= CRASHES_FREE + ARRIVALS_AFTER);
	ld_buf_free(&turns);
	ld_buf_free(&prompt);
}

/* Clients send one prompt again and again; what it shares with others is sound. */
static void
test_one_prompt_stops_reaching_servers(void)
{
	unsigned int before = crashes();

	for (int i = 0; i < ROUNDS; i++) {
		CU_ASSERT_NOT_EQUAL(
		    code_of_prompt("ab:40," RELAY_CRASHING_PART "2:20"), 200);
		restart_crashed();
		run_for(ENTRY_MS);
		CU_ASSERT_EQUAL(code_of_prompt("ab:40,77:20"), 200);
	}
	CU_ASSERT(crashes() - before <= CRASHES_FREE + ARRIVALS_AFTER);
}

static void
test_it_is_refused_with_a_time_to_come_back(void)
{
	struct client *c = ld_alloc(sizeof(*c));
	unsigned int before = crashes();

	start_prompt_at(c, relay_address, "POST", "/events/a", "k1",
	    "aa:40," RELAY_CRASHING_PART ":100,ee:20");
	wait_for(c);
	CU_ASSERT_EQUAL(c->code, 503);
	CU_ASSERT(c->retry_after_s > 0);
	CU_ASSERT_EQUAL(crashes(), before);
	ld_buf_free(&c->body);
	free(c);
	restart_crashed();
	run_for(ENTRY_MS);
}

static void
test_a_restarted_relay_still_refuses_it(void)
{
	unsigned int before;
	int status = 0;

	/* The record of it has reached the store. */
	run_for(3000);
	CU_ASSERT_EQUAL(kill(relay, SIGKILL), 0);
	CU_ASSERT_EQUAL(waitpid(relay, &status, 0), relay);
	before = crashes();
	start_relay();
	wait_until_serving();
	for (int i = 0; i < 3; i++) {
		CU_ASSERT_NOT_EQUAL(
		    code_of_prompt("aa:40," RELAY_CRASHING_PART ":100,ff:20"),
		    200);
		restart_crashed();
		run_for(ENTRY_MS);
	}
	CU_ASSERT_EQUAL(crashes(), before);
	CU_ASSERT_EQUAL(code_of_prompt("aa:40,cc:20"), 200);
}

static void
test_records_of_a_later_build_are_left_alone(void)
{
	static const char *const keys[] = {
	    "lavenderdrift/quarantine/v2-656b4d0c54ba635e",
	    "lavenderdrift/quarantine/656b4d0c54ba635e656b4d0c54ba635e"};

	for (int i = 0; i < 2; i++)
		ld_kv_store_put(store, keys[i], "n9");
	run_for(RECORDS_MS);
	for (int i = 0; i < 2; i++)
		CU_ASSERT(ld_kv_store_has(store, keys[i]));
}

/* Requests of one session that were at servers which crashed by chance. */
static void
test_a_session_that_met_crashes_is_served(void)
{
	for (int i = 0; i < 6; i++) {
		/* Both sends break off, then the session is served. */
		set_servers(BREAKS_OFF, BREAKS_OFF);
		CU_ASSERT_EQUAL(code_of_prompt("aa:40,bb:100,b1:20"), 502);
		set_servers(SERVES, SERVES);
		CU_ASSERT_EQUAL(code_of_prompt("aa:40,bb:100,b2:20"), 200);
	}
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"one part stops reaching servers",
		test_one_part_stops_reaching_servers},
	    {"a part behind many others stops reaching servers",
		test_a_part_behind_many_others_stops_reaching_servers},
	    {"one prompt stops reaching servers",
		test_one_prompt_stops_reaching_servers},
	    {"it is refused with a time to come back",
		test_it_is_refused_with_a_time_to_come_back},
	    {"a restarted relay still refuses it",
		test_a_restarted_relay_still_refuses_it},
	    {"records of a later build are left alone",
		test_records_of_a_later_build_are_left_alone},
	    {"a session that met crashes is served",
		test_a_session_that_met_crashes_is_served},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "crashing prompts", cases);
}
