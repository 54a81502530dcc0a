/*
 * What a relay answers to a request that another node forwards, if it can't take it:
 * that it has not run, and that another node may.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "ld_relay_session.h"

#define CODE_OTHER_NODE 421
#define LARGE_BODY 600
/* Longer than keys are accepted without the store. */
#define KEYS_OUTDATED_MS 6000
#define FORWARDED "Relay-Forwarded: n2 1"
#define FORWARDED_BY_2 "Relay-Forwarded: n2 1 config=2"

/* The node that forwards: its address is that of this test. */
static void
list_forwarding_node(void)
{
	ld_kv_store_put(store, "lavenderdrift/nodes/n2", "127.0.0.1:9 250 z1");
}

/* Sends it as the other node would; the body is freed. */
static struct client
forward_with(const char *mark, const char *method, const char *path)
{
	struct client c;

	start_field_at(&c, peers_address, method, path, mark);
	wait_for(&c);
	ld_buf_free(&c.body);
	return c;
}

static struct client
forward(const char *method, const char *path)
{
	return forward_with(FORWARDED, method, path);
}

static void
check_is_other_node(struct client c)
{
	CU_ASSERT_EQUAL(c.code, CODE_OTHER_NODE);
	CU_ASSERT(c.not_run);
}

static void
check_other_node(const char *method, const char *path)
{
	check_is_other_node(forward(method, path));
}

static void
wait_until_listening(void)
{
	for (int i = 0; i < 100; i++) {
		if (forward("GET", "/look/a").code != 0)
			return;
		run_for(50);
	}
	CU_FAIL_FATAL("the relay does not listen");
}

/* Its listener has the limits of a start, which are none of the operators'. */
static void
test_without_a_configuration_a_large_body_is_not_denied(void)
{
	static char body[LARGE_BODY];

	open_all(relay_program);
	ld_kv_store_silence(store, true);
	list_forwarding_node();
	wait_until_listening();
	memset(body, 'x', sizeof(body));
	relay_request_body = (struct ld_str){body, sizeof(body)};
	check_other_node("POST", "/book/a");
	check_other_node("POST", "/events/a");
	relay_request_body = LD_STR("x=1");
	check_other_node("GET", "/look/a");
	ld_kv_store_silence(store, false);
}

static void
test_forwarded_requests_are_served(void)
{
	wait_until_serving();
	CU_ASSERT_EQUAL(forward("GET", "/look/a").code, 200);
	CU_ASSERT_EQUAL(forward("POST", "/book/a").code, 200);
}

/* The node that forwards has accepted the request by a later configuration, which may
 * name another service for it. */
static void
test_an_older_configuration_runs_nothing(void)
{
	unsigned int before = arrivals();

	check_is_other_node(forward_with(FORWARDED_BY_2, "POST", "/book/a"));
	check_is_other_node(forward_with(FORWARDED_BY_2, "GET", "/look/a"));
	check_is_other_node(forward_with(FORWARDED_BY_2, "GET", "/none/a"));
	CU_ASSERT_EQUAL(arrivals(), before);
	put_config(2, "\"k1\",\"k2\"", "null");
	wait_until_applied();
	CU_ASSERT_EQUAL(
	    forward_with(FORWARDED_BY_2, "POST", "/book/a").code, 200);
	/* A later one here is in force. */
	put_config(3, "\"k1\",\"k2\"", "null");
	wait_until_applied();
	CU_ASSERT_EQUAL(
	    forward_with(FORWARDED_BY_2, "POST", "/book/a").code, 200);
}

/* As of a node that the store turns away, or that is cut off from it; a client is
 * told when to come back. */
static void
test_outdated_keys_are_no_refusal_for_other_nodes(void)
{
	struct client c;

	ld_kv_store_silence(store, true);
	run_for(KEYS_OUTDATED_MS);
	check_other_node("GET", "/look/a");
	check_other_node("POST", "/book/a");
	check_other_node("POST", "/events/a");
	CU_ASSERT_EQUAL(forward("GET", "/open/a").code, 200);
	c = call("GET", "/look/a", "k1");
	CU_ASSERT_EQUAL(c.code, 503);
	CU_ASSERT(c.retry_after_s > 0);
	ld_buf_free(&c.body);
	ld_kv_store_silence(store, false);
	wait_until_serving();
	CU_ASSERT_EQUAL(forward("GET", "/look/a").code, 200);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"without a configuration a large body is not denied",
		test_without_a_configuration_a_large_body_is_not_denied},
	    {"forwarded requests are served",
		test_forwarded_requests_are_served},
	    {"an older configuration runs nothing",
		test_an_older_configuration_runs_nothing},
	    {"outdated keys are no refusal for other nodes",
		test_outdated_keys_are_no_refusal_for_other_nodes},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "helper_refusals", cases);
}
