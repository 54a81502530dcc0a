/*
 * Requests on which the machine of each server stops: its connections hang, and no
 * byte tells that it has crashed. Few may reach servers. Servers that stand still
 * for a while, and go on, make no request a suspect for good.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "ld_relay_session.h"

/* A request may reach servers until it has crashed three, a part of prompts five,
 * and three times more. */
#define CRASHES_FREE 3
#define CRASHES_FREE_PART 5
#define ARRIVALS_AFTER 3
#define ROUNDS 7
/* After a restart a server's entry reaches the relay, and the relay has looked at
 * it, within this time, ms. */
#define ENTRY_MS 700
/* For 2 s after its start the relay takes no server for gone. */
#define SETTLED_MS 2600
#define BORN_MS 1700000000000
/* The relay's doubts about a server expire, ms. */
#define DOUBT_MS 3000
/* A sound server may be silent for a second or so; a frozen one for longer. */
#define PAUSE_MS 1300
#define FREEZE_MS 4500

/** struct form - how the client and the servers behave in one case */
struct form {
	const char *method;
	const char *path;
	const char *part; /* of prompts, NULL: the path crashes servers */
	uint64_t leaves_ms; /* the client leaves then; 0: it waits */
	uint64_t away_ms; /* until the server is back */
	void (*restart)(void);
};

static unsigned int
crashes(void)
{
	return servers[0].crashes + servers[1].crashes;
}

static void
send_once(const struct form *f, int round)
{
	struct client *c = ld_alloc(sizeof(*c));
	char prompt[64];
	uint64_t ms = 0;

	snprintf(prompt, sizeof(prompt), "aa:40,%s:40,%x:9",
	    f->part != NULL ? f->part : "", 0x1000 + round);
	start_prompt_at(c, relay_address, f->method, f->path, "k1",
	    f->part != NULL ? prompt : NULL);
	for (; !c->done && ms < f->away_ms; ms += 20) {
		run_for(20);
		if (f->leaves_ms == 0 || ms < f->leaves_ms)
			continue;
		ld_http_cancel(c->call);
		c->done = true;
	}
	/* What is in quarantine is refused at once. */
	if (crashes() > 0 && (servers[0].down || servers[1].down))
		run_for(f->away_ms > ms ? f->away_ms - ms : 0);
	f->restart();
	if (!c->done)
		wait_for(c);
	CU_ASSERT_NOT_EQUAL(c->code, 200);
	ld_buf_free(&c->body);
	free(c);
	/* Once reset, the request may have gone to the other server. */
	run_for(ENTRY_MS);
	f->restart();
	run_for(ENTRY_MS);
}

static void
check_stops(const struct form *f)
{
	unsigned int before = crashes(), reached,
		     free_crashes =
			 f->part != NULL ? CRASHES_FREE_PART : CRASHES_FREE;

	for (int i = 0; i < ROUNDS; i++) {
		send_once(f, i);
		CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
		CU_ASSERT_EQUAL(code_of_prompt("aa:40,77:20"), 200);
	}
	reached = crashes() - before;
	CU_ASSERT(reached >= CRASHES_FREE);
	CU_ASSERT(reached <= free_crashes + ARRIVALS_AFTER);
	if (reached > free_crashes + ARRIVALS_AFTER)
		printf("%s %s: %u crashes\n", f->method, f->path, reached);
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_a_server_that_is_back_before_the_deadline(void)
{
	open_all(relay_program);
	wait_until_serving();
	for (int i = 0; i < SERVERS; i++) {
		servers[i].born = BORN_MS;
		put_entry(&servers[i], 0);
	}
	run_for(SETTLED_MS);
	set_servers(FALLS_SILENT, FALLS_SILENT);
	check_stops(&(struct form){.method = "GET",
	    .path = "/look/deadly-1",
	    .away_ms = 1500,
	    .restart = restart_crashed_as_before});
}

static void
test_a_server_that_is_back_after_the_deadline(void)
{
	check_stops(&(struct form){.method = "POST",
	    .path = "/book/deadly-2",
	    .away_ms = 3600,
	    .restart = restart_crashed_as_before});
}

static void
test_a_server_that_is_away_for_long(void)
{
	check_stops(&(struct form){.method = "GET",
	    .path = "/look/deadly-3",
	    .away_ms = 5000,
	    .restart = restart_crashed});
}

static void
test_a_client_that_leaves_early(void)
{
	check_stops(&(struct form){.method = "GET",
	    .path = "/look/deadly-4",
	    .leaves_ms = 300,
	    .away_ms = 2500,
	    .restart = restart_crashed_as_before});
}

static void
test_a_part_of_prompts(void)
{
	check_stops(&(struct form){.method = "POST",
	    .path = "/events/a",
	    .part = RELAY_CRASHING_PART "5",
	    .away_ms = 2500,
	    .restart = restart_crashed_as_before});
}

/* One after the other, with the same request, which no other client sends. */
static void
freeze_in_turn(const char *path, uint64_t ms, int times)
{
	set_servers(SERVES, SERVES);
	for (int i = 0; i < times; i++) {
		struct client *c = ld_alloc(sizeof(*c));
		struct server *s = &servers[i % 2];

		relay_server_freeze(s);
		start_at(c, relay_address, "GET", path, "k1");
		run_for(ms);
		relay_server_wake(s);
		wait_for(c);
		ld_buf_free(&c->body);
		free(c);
		run_for(ENTRY_MS);
	}
}

static void
check_none_is_refused(const char *path, unsigned long quarantines)
{
	run_for(DOUBT_MS);
	CU_ASSERT_EQUAL(
	    relay_counter("ld_relay_quarantines_total"), quarantines);
	CU_ASSERT_EQUAL(code_of("GET", path, "k1"), 200);
}

static void
test_servers_that_pause_make_no_suspect(void)
{
	unsigned long before = relay_counter("ld_relay_quarantines_total");

	freeze_in_turn("/look/paused", PAUSE_MS, 5);
	check_none_is_refused("/look/paused", before);
}

static void
test_servers_that_freeze_for_long_make_no_suspect(void)
{
	unsigned long before = relay_counter("ld_relay_quarantines_total");

	freeze_in_turn("/look/frozen", FREEZE_MS, 4);
	check_none_is_refused("/look/frozen", before);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a server that is back before the deadline",
		test_a_server_that_is_back_before_the_deadline},
	    {"a server that is back after the deadline",
		test_a_server_that_is_back_after_the_deadline},
	    {"a server that is away for long",
		test_a_server_that_is_away_for_long},
	    {"a client that leaves early", test_a_client_that_leaves_early},
	    {"a part of prompts", test_a_part_of_prompts},
	    {"servers that pause make no suspect",
		test_servers_that_pause_make_no_suspect},
	    {"servers that freeze for long make no suspect",
		test_servers_that_freeze_for_long_make_no_suspect},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "silent crashes", cases);
}
