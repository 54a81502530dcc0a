/* A server that says that it is cold gets few requests, at one relay. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "ld_relay_session.h"

#define WARMUP_PER_S 5
#define OVERRUN 1.5
#define SLACK 5
#define BOUND ((unsigned int)(WARMUP_PER_S * OVERRUN + SLACK))
#define SECONDS 3
/* An entry reaches the relay within this time, ms. */
#define ENTRY_MS 400
#define PER_SECOND 50
/* The limit of a server that was cold has ended, ms. */
#define AFTER_MS 5000
#define EVACUATION "op/evacuate/z1"

/* Sends PER_SECOND requests or fewer, one after the other. */
static void
send_for_a_second(void)
{
	struct ld_timers *t = ld_loop_timers(session_loop());

	for (uint64_t end = ld_timers_now(t) + 1000; ld_timers_now(t) < end;) {
		CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
		run_for(1000 / PER_SECOND);
	}
}

static void
check_cold(struct server *s)
{
	for (int i = 0; i < SECONDS; i++) {
		s->arrivals = 0;
		send_for_a_second();
		CU_ASSERT(s->arrivals <= BOUND);
		/* It takes what it bears. */
		CU_ASSERT(i == 0 || s->arrivals > 0);
	}
}

static void
check_warm(struct server *s)
{
	run_for(AFTER_MS);
	s->arrivals = 0;
	send_for_a_second();
	CU_ASSERT(s->arrivals > BOUND);
}

static void
open_session(void)
{
	relay_service_settings = ",\"warmup_s\":3,\"warmup_per_s\":5";
	open_all(relay_program);
	put_entry_in_zone(&servers[1], "z2", 1);
	wait_until_serving();
	set_servers(SERVES, SERVES);
}

static void
test_a_server_becomes_cold(void)
{
	open_session();
	check_warm(&servers[0]);
	servers[0].warmup_left_ms = SECONDS * 2000;
	put_entry(&servers[0], 2);
	run_for(ENTRY_MS);
	check_cold(&servers[0]);
	servers[0].warmup_left_ms = 0;
	put_entry(&servers[0], 3);
	check_warm(&servers[0]);
}

/* The evacuation ends, and its servers may have become cold before it. */
static void
test_a_domain_comes_back_cold(void)
{
	ld_kv_store_put(store, EVACUATION, "{}");
	run_for(ENTRY_MS);
	servers[0].arrivals = 0;
	send_for_a_second();
	CU_ASSERT_EQUAL(servers[0].arrivals, 0);
	ld_kv_store_delete(store, EVACUATION);
	run_for(ENTRY_MS);
	/* No entry says so: for warmup_s it is taken for cold. */
	for (int i = 0; i < 2; i++) {
		servers[0].arrivals = 0;
		send_for_a_second();
		CU_ASSERT(servers[0].arrivals <= BOUND);
	}
	CU_ASSERT(servers[0].arrivals > 0);
	check_warm(&servers[0]);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a server becomes cold", test_a_server_becomes_cold},
	    {"a domain comes back cold", test_a_domain_comes_back_cold},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "cold servers", cases);
}
