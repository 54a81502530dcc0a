/* A failure domain that the operators evacuate gets no requests. */
#include <signal.h>
#include <sys/wait.h>

#include "ld_relay_session.h"

/* As in the users' rule. */
#define EVACUATION_MS 5000
/* The relay's own domain, whose servers it prefers. */
#define KEY "op/evacuate/z1"
#define REQUESTS 40

static void
open_in_two_zones(void)
{
	open_all(relay_program);
	put_entry_in_zone(&servers[0], "z2", 1);
	put_entry_in_zone(&servers[1], "z1", 1);
	wait_until_serving();
	run_for(1000);
}

/* Sends requests of each kind; returns how many are served. */
static unsigned int
send_all(void)
{
	static const char *const methods[] = {"GET", "POST", "POST"};
	static const char *const paths[] = {"/look/a", "/book/a", "/events/a"};
	unsigned int served = 0;

	servers[0].arrivals = servers[1].arrivals = 0;
	for (int i = 0; i < REQUESTS; i++)
		served += code_of(methods[i % 3], paths[i % 3], "k1") == 200;
	return served;
}

static void
test_evacuated_domain_gets_no_request(void)
{
	open_in_two_zones();
	CU_ASSERT_EQUAL(send_all(), REQUESTS);
	CU_ASSERT(servers[1].arrivals > 0);
	ld_kv_store_put(store, KEY, "{}");
	run_for(EVACUATION_MS);
	CU_ASSERT_EQUAL(send_all(), REQUESTS);
	CU_ASSERT_EQUAL(servers[1].arrivals, 0);
	/* A new entry of its server doesn't end the evacuation. */
	put_entry_in_zone(&servers[1], "z1", 2);
	run_for(500);
	CU_ASSERT_EQUAL(send_all(), REQUESTS);
	CU_ASSERT_EQUAL(servers[1].arrivals, 0);
}

static void
test_domain_is_used_again_after_its_evacuation(void)
{
	ld_kv_store_delete(store, KEY);
	run_for(EVACUATION_MS);
	servers[0].behaviour = REFUSES;
	CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
	servers[0].behaviour = SERVES;
	CU_ASSERT(servers[1].arrivals > 0);
}

/* The watch loses its history while the edits are made. */
static void
test_evacuation_is_found_by_a_full_read(void)
{
	ld_kv_store_silence(store, true);
	ld_kv_store_put(store, KEY, "{}");
	ld_kv_store_forget(store);
	ld_kv_store_silence(store, false);
	run_for(EVACUATION_MS);
	CU_ASSERT_EQUAL(send_all(), REQUESTS);
	CU_ASSERT_EQUAL(servers[1].arrivals, 0);
	ld_kv_store_silence(store, true);
	ld_kv_store_delete(store, KEY);
	ld_kv_store_forget(store);
	ld_kv_store_silence(store, false);
	run_for(EVACUATION_MS);
	servers[0].behaviour = REFUSES;
	CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
	servers[0].behaviour = SERVES;
}

static void
test_started_relay_knows_the_evacuation(void)
{
	ld_kv_store_put(store, KEY, "{}");
	CU_ASSERT_EQUAL(kill(relay, SIGKILL), 0);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, 0), relay);
	start_relay();
	servers[1].arrivals = 0;
	wait_until_serving();
	(void)send_all();
	CU_ASSERT_EQUAL(servers[1].arrivals, 0);
}

/* With all domains evacuated, requests are refused at once. */
static void
test_no_domain_is_left(void)
{
	ld_kv_store_put(store, "op/evacuate/z2", "{}");
	run_for(EVACUATION_MS);
	CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 503);
	CU_ASSERT_EQUAL(code_of("POST", "/book/a", "k1"), 503);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"an evacuated domain gets no request",
		test_evacuated_domain_gets_no_request},
	    {"a domain is used again after its evacuation",
		test_domain_is_used_again_after_its_evacuation},
	    {"an evacuation is found by a full read",
		test_evacuation_is_found_by_a_full_read},
	    {"a started relay knows the evacuation",
		test_started_relay_knows_the_evacuation},
	    {"no domain is left", test_no_domain_is_left},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "evacuation", cases);
}
