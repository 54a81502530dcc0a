/* One request is sent again and again and crashes each server that begins to run
 * it, at one relay: in whatever form the server ends, few may reach servers. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "ld_relay_session.h"

/* The request may reach servers until it has crashed three, and three times
 * more. */
#define CRASHES_FREE 3
#define ARRIVALS_AFTER 3
#define ROUNDS 9
/* After a restart a server's entry reaches the relay, and the relay has looked at
 * it, within this time, ms. */
#define ENTRY_MS 700
/* For 2 s after its start the relay takes no server for gone. */
#define SETTLED_MS 2600
/* Later than an answer needs to look sound. */
#define LATE_MS 450
#define BORN_MS 1700000000000

/* ---- One relay for all cases ---- */

static unsigned int
crashes(void)
{
	return servers[0].crashes + servers[1].crashes;
}

static void
open_session(void)
{
	open_all(relay_program);
	wait_until_serving();
	run_for(SETTLED_MS);
	set_servers(CRASHES_ON_PROMPT, CRASHES_ON_PROMPT);
}

/* @name: the part of the prompt, in hexadecimal digits; the body is the prompt's.
 */
static void
send_again_and_again(const char *name, struct crash_form form,
    void (*restart)(void), bool sound_beside)
{
	unsigned int before = crashes(), reached;
	char prompt[64], sound[64];

	for (int i = 0; i < SERVERS; i++)
		servers[i].form = form;
	snprintf(
	    prompt, sizeof(prompt), "aa:40," RELAY_CRASHING_PART "%s:20", name);
	for (int i = 0; i < ROUNDS; i++) {
		struct client *c = ld_alloc(sizeof(*c));

		/* Another path for each form: another request. */
		snprintf(sound, sizeof(sound), "/events/%s", name);
		start_prompt_at(c, relay_address, "POST", sound, "k1", prompt);
		wait_for(c);
		/* Not as a whole answer. */
		CU_ASSERT(c->code != 200 || c->status != LD_OK);
		ld_buf_free(&c->body);
		free(c);
		restart();
		run_for(ENTRY_MS);
		snprintf(sound, sizeof(sound), "aa:40,5%x:20", i);
		if (sound_beside)
			CU_ASSERT_EQUAL(code_of_prompt(sound), 200);
	}
	reached = crashes() - before;
	CU_ASSERT(reached <= CRASHES_FREE + ARRIVALS_AFTER);
	if (reached > CRASHES_FREE + ARRIVALS_AFTER)
		printf("%s: %u crashes\n", name, reached);
}

/* ---- Tests, in this order ---- */

static void
test_before_the_head(void)
{
	open_session();
	send_again_and_again("a0", (struct crash_form){.before_head = true},
	    restart_crashed, false);
	send_again_and_again("a1",
	    (struct crash_form){.before_head = true, .stops_listening = true},
	    restart_crashed, true);
}

static void
test_after_the_head(void)
{
	send_again_and_again(
	    "b0", (struct crash_form){0}, restart_crashed, true);
	send_again_and_again("b1", (struct crash_form){.stops_listening = true},
	    restart_crashed, false);
}

static void
test_after_events(void)
{
	send_again_and_again(
	    "c0", (struct crash_form){.events = 1}, restart_crashed, false);
	send_again_and_again("c1",
	    (struct crash_form){.events = 3, .stops_listening = true},
	    restart_crashed, true);
}

static void
test_after_an_answer_that_went_on(void)
{
	send_again_and_again("d0",
	    (struct crash_form){
		.events = 3, .after_ms = LATE_MS, .stops_listening = true},
	    restart_crashed, false);
}

static void
test_a_server_that_comes_back_under_its_id(void)
{
	for (int i = 0; i < SERVERS; i++) {
		servers[i].born = BORN_MS;
		put_entry(&servers[i], 0);
	}
	run_for(ENTRY_MS);
	send_again_and_again("e0", (struct crash_form){.before_head = true},
	    restart_crashed_as_before, false);
}

/* The same path, caller and body. */
static void
test_another_prompt_makes_no_other_request(void)
{
	unsigned int before = crashes();
	char prompt[64];

	for (int i = 0; i < SERVERS; i++)
		servers[i].form = (struct crash_form){
		    .before_head = true, .stops_listening = true};
	for (int i = 0; i < ROUNDS; i++) {
		struct client *c = ld_alloc(sizeof(*c));

		snprintf(prompt, sizeof(prompt),
		    "ab:40," RELAY_CRASHING_PART "%x:20,f%x:9", i, i);
		start_prompt_at(
		    c, relay_address, "POST", "/events/same", "k1", prompt);
		wait_for(c);
		CU_ASSERT_NOT_EQUAL(c->code, 200);
		ld_buf_free(&c->body);
		free(c);
		restart_crashed();
		run_for(ENTRY_MS);
	}
	CU_ASSERT(crashes() - before <= CRASHES_FREE + ARRIVALS_AFTER);
	CU_ASSERT_EQUAL(code_of_prompt("ab:40,77:20"), 200);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"before the head", test_before_the_head},
	    {"after the head", test_after_the_head},
	    {"after events", test_after_events},
	    {"after an answer that went on", test_after_an_answer_that_went_on},
	    {"a server that comes back under its id",
		test_a_server_that_comes_back_under_its_id},
	    {"another prompt makes no other request",
		test_another_prompt_makes_no_other_request},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "crash forms", cases);
}
