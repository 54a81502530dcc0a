/* A request crashes each server that runs it, and relays are replaced meanwhile:
 * what is known of its crashes must outlive them. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "ld_relay_session.h"

/* The request may reach servers until it has crashed three, and three times
 * more. */
#define CRASHES_FREE 3
#define ARRIVALS_AFTER 3
#define ROUNDS 10
/* After a restart a server's entry reaches the relay within this time, ms. */
#define ENTRY_MS 400
#define SETTLED_MS 2600

static void
replace_relay(void)
{
	int status = 0;

	/* The record of the crashes has reached the store. */
	run_for(4000);
	CU_ASSERT_EQUAL(kill(relay, SIGKILL), 0);
	CU_ASSERT_EQUAL(waitpid(relay, &status, 0), relay);
	start_relay();
	wait_until_serving();
	run_for(SETTLED_MS);
}

/* The relay is replaced after the second, the third and the fourth send. */
static void
test_a_relay_replaced_between_crashes_knows_them(void)
{
	open_all(relay_program);
	wait_until_serving();
	/* For 2 s after its start the relay takes no server for gone. */
	run_for(SETTLED_MS);
	set_servers(DIES_ON_PATH, DIES_ON_PATH);
	for (int i = 1; i <= ROUNDS; i++) {
		CU_ASSERT_NOT_EQUAL(
		    code_of("POST", "/book/deadly-replaced", "k1"), 200);
		restart_crashed();
		run_for(ENTRY_MS);
		if (i >= 2 && i <= 4)
			replace_relay();
	}
	CU_ASSERT(servers[0].crashes + servers[1].crashes <=
	    CRASHES_FREE + ARRIVALS_AFTER);
	CU_ASSERT_EQUAL(code_of("POST", "/book/b", "k1"), 200);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a relay replaced between crashes knows them",
		test_a_relay_replaced_between_crashes_knows_them},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "replaced relays", cases);
}
