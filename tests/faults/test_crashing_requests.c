/* Requests to plain services that crash each server that runs them, at one
 * relay. */
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
/* The relay's doubts about a server expire, ms. */
#define DOUBT_MS 3000

static unsigned int
crashes(void)
{
	return servers[0].crashes + servers[1].crashes;
}

static void
restart(void)
{
	restart_crashed();
	run_for(ENTRY_MS);
}

/* Sends the request again and again, with sound ones in between. */
static void
check_stops(const char *method, const char *path, const char *sound)
{
	unsigned int before = crashes();
	char text[64];

	for (int i = 0; i < ROUNDS; i++) {
		CU_ASSERT_NOT_EQUAL(code_of(method, path, "k1"), 200);
		restart();
		snprintf(text, sizeof(text), "%s%d", sound, i);
		CU_ASSERT_EQUAL(code_of(method, text, "k1"), 200);
	}
	CU_ASSERT(crashes() - before <= CRASHES_FREE + ARRIVALS_AFTER);
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_a_request_that_may_be_repeated_stops(void)
{
	open_all(relay_program);
	wait_until_serving();
	/* For 2 s after its start the relay takes no server for gone. */
	run_for(SETTLED_MS);
	set_servers(DIES_ON_PATH, DIES_ON_PATH);
	check_stops("GET", "/look/deadly", "/look/a");
	check_stops("POST", "/look/deadly", "/look/b");
}

static void
test_a_request_that_runs_once_stops(void)
{
	check_stops("POST", "/book/deadly", "/book/a");
}

static void
test_a_stream_without_a_prompt_stops(void)
{
	check_stops("POST", "/events/deadly", "/events/a");
}

/* Under a new key each time: the request is the same. */
static void
test_another_idempotency_key_makes_no_other_request(void)
{
	unsigned int before = crashes();
	char field[64];

	for (int i = 0; i < ROUNDS; i++) {
		struct client *c = ld_alloc(sizeof(*c));

		snprintf(field, sizeof(field), "Idempotency-Key: key-%d", i);
		start_field_at(
		    c, relay_address, "POST", "/book/deadly-key", field);
		wait_for(c);
		CU_ASSERT_NOT_EQUAL(c->code, 200);
		ld_buf_free(&c->body);
		free(c);
		restart();
	}
	CU_ASSERT(crashes() - before <= CRASHES_FREE + ARRIVALS_AFTER);
}

static void
check_is_refused(const char *method, const char *path)
{
	struct client c = call(method, path, "k1");

	CU_ASSERT_EQUAL(c.code, 503);
	CU_ASSERT(c.retry_after_s > 0);
	ld_buf_free(&c.body);
}

/* 502: it may have run; 503: it has not. */
static void
test_it_is_refused_with_a_time_to_come_back(void)
{
	unsigned int before;

	CU_ASSERT_EQUAL(code_of("POST", "/book/deadly-new", "k1"), 502);
	restart();
	before = crashes();
	check_is_refused("GET", "/look/deadly");
	check_is_refused("POST", "/look/deadly");
	check_is_refused("POST", "/book/deadly");
	check_is_refused("POST", "/events/deadly");
	CU_ASSERT_EQUAL(crashes(), before);
}

/* Other paths, methods and callers; k1 and k2 are keys of one account. */
static void
test_other_requests_are_served(void)
{
	set_servers(SERVES, SERVES);
	CU_ASSERT_EQUAL(code_of("GET", "/look/deadly-2", "k1"), 200);
	CU_ASSERT_EQUAL(code_of("GET", "/look/deadly?a=1", "k1"), 200);
	CU_ASSERT_EQUAL(code_of("PUT", "/look/deadly", "k1"), 200);
	CU_ASSERT_EQUAL(code_of("GET", "/look/deadly", "k2"), 503);
	CU_ASSERT_EQUAL(code_of("GET", "/open/deadly", ""), 200);
}

static void
test_a_restarted_relay_still_refuses_it(void)
{
	int status = 0;

	/* The record of it has reached the store. */
	run_for(3000);
	CU_ASSERT_EQUAL(kill(relay, SIGKILL), 0);
	CU_ASSERT_EQUAL(waitpid(relay, &status, 0), relay);
	start_relay();
	wait_until_serving();
	check_is_refused("GET", "/look/deadly");
	check_is_refused("POST", "/book/deadly");
	CU_ASSERT_EQUAL(code_of("GET", "/look/c", "k1"), 200);
}

/* The servers go on: their processes have not crashed. */
static void
test_broken_connections_stop_no_request(void)
{
	unsigned long before = relay_counter("ld_relay_quarantines_total");
	unsigned int broken = 0;

	for (int i = 0; i < ROUNDS; i++) {
		set_servers(BREAKS_OFF, BREAKS_OFF);
		CU_ASSERT_NOT_EQUAL(code_of("GET", "/look/common", "k1"), 200);
		CU_ASSERT_NOT_EQUAL(code_of("POST", "/book/common", "k1"), 200);
		broken += arrivals();
	}
	/* More than may crash servers. */
	CU_ASSERT(broken > CRASHES_FREE);
	CU_ASSERT_EQUAL(relay_counter("ld_relay_quarantines_total"), before);
	set_servers(SERVES, SERVES);
	run_for(DOUBT_MS);
	CU_ASSERT_EQUAL(code_of("GET", "/look/common", "k1"), 200);
	CU_ASSERT_EQUAL(code_of("POST", "/book/common", "k1"), 200);
}

/* Servers end one after the other, for another reason, with the same request. */
static void
test_a_common_request_outlives_servers_that_end_in_turn(void)
{
	unsigned int ended = 0;

	for (int i = 0; i < 2 * ROUNDS; i++) {
		struct client *c = ld_alloc(sizeof(*c));
		struct server *s = &servers[i % 2];

		set_servers(SERVES, SERVES);
		s->behaviour = HOLDS;
		start_at(c, relay_address, "GET", "/look/common", "k1");
		run_for(100);
		ended += s->crashing != NULL;
		relay_server_kill(s);
		wait_for(c);
		CU_ASSERT_EQUAL(c->code, 200);
		ld_buf_free(&c->body);
		free(c);
		restart();
	}
	/* It was at more servers than it may crash. */
	CU_ASSERT(ended > CRASHES_FREE);
	set_servers(SERVES, SERVES);
	run_for(DOUBT_MS);
	CU_ASSERT_EQUAL(code_of("GET", "/look/common", "k1"), 200);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a request that may be repeated stops",
		test_a_request_that_may_be_repeated_stops},
	    {"a request that runs once stops",
		test_a_request_that_runs_once_stops},
	    {"a stream without a prompt stops",
		test_a_stream_without_a_prompt_stops},
	    {"another idempotency key makes no other request",
		test_another_idempotency_key_makes_no_other_request},
	    {"it is refused with a time to come back",
		test_it_is_refused_with_a_time_to_come_back},
	    {"other requests are served", test_other_requests_are_served},
	    {"a restarted relay still refuses it",
		test_a_restarted_relay_still_refuses_it},
	    {"broken connections stop no request",
		test_broken_connections_stop_no_request},
	    {"a common request outlives servers that end in turn",
		test_a_common_request_outlives_servers_that_end_in_turn},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "crashing requests", cases);
}
