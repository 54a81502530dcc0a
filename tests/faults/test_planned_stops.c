/*
 * No request is lost around planned stops of relays.
 *
 * Usage: test_planned_stops [FIRST_SEED LAST_SEED [RELAYS [USERS [BURNERS]]]]
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "ld_stops.h"
#include "ld_test.h"

#define GRACE_MS 8000
#define SHORT_GRACE_MS 4000
#define LONG_MS 6000 /* beyond the short grace period */
#define WARM_UP_MS 3000
#define WARM_UP_ONE_MS 1500
#define RESTART_MS 300
#define START_MS 300
#define START_DOUBT_MS 2500
/* Until the last deadline has passed. */
#define DRAIN_MS 10500

static struct stops_options options = {
    .relays = 3, .users = 40, .burners = 0, .grace_ms = GRACE_MS};

/* Some of the new processes get a SIGTERM while they start. */
static void
restart_ended(struct stops *s)
{
	for (int i = 0; i < s->options.relays; i++) {
		if (s->relays[i].ended_ms == 0 ||
		    stops_now(s) < s->relays[i].ended_ms + RESTART_MS)
			continue;
		stops_start_relay(s, i);
		if (s->calm || ld_rand_below(&s->rand, 4) != 0)
			continue;
		stops_run_for(s, ld_rand_below(&s->rand, START_MS));
		if (s->relays[i].ended_ms == 0)
			stops_term(s, i);
	}
}

static void
run_and_restart(struct stops *s, uint64_t ms)
{
	uint64_t until = stops_now(s) + ms;

	while (stops_now(s) < until) {
		stops_run_for(s, 20);
		restart_ended(s);
	}
}

/* One relay after the other, with more signals and configurations beside. */
static void
stop_in_turn(struct stops *s)
{
	for (int i = 0; i < s->options.relays; i++) {
		struct stops_relay *r = &s->relays[i];
		uint64_t kind = ld_rand_below(&s->rand, 5);

		if (kind == 1)
			stops_put_config(s);
		if (kind == 2)
			kill(r->proc->pid, SIGHUP);
		stops_term(s, i);
		run_and_restart(s, ld_rand_below(&s->rand, 1000));
		if (kind == 3 && r->ended_ms == 0)
			kill(r->proc->pid, SIGTERM);
		if (kind == 4 && r->ended_ms == 0)
			kill(r->proc->pid, SIGINT);
		if (kind == 2 && r->ended_ms == 0)
			kill(r->proc->pid, SIGHUP);
		run_and_restart(s, ld_rand_below(&s->rand, 4000));
	}
}

static void
play(uint64_t seed)
{
	static struct stops s;
	uint64_t until;

	options.seed = seed;
	stops_open(&s, &options);
	for (int i = 0; i < s.options.relays; i++)
		for (int k = 0; k < s.options.users; k++)
			stops_user_open(&s, i);
	stops_run_for(&s, WARM_UP_MS);
	stop_in_turn(&s);
	run_and_restart(&s, GRACE_MS + STOPS_AFTER_GRACE_MS);
	s.calm = true;
	until = stops_now(&s) + DRAIN_MS;
	while (stops_has_waiting(&s) && stops_now(&s) < until)
		run_and_restart(&s, 20);
	printf("seed %llu: %u requests, %u answered, %u refused, %u cut, %u "
	       "excused, %u lost\n",
	    (unsigned long long)seed, s.request_count, s.answered, s.refused,
	    s.cut, s.excused, s.lost);
	CU_ASSERT_EQUAL(s.lost, 0);
	/* Without answers the run would check nothing. */
	CU_ASSERT(s.answered * 2 >= s.request_count);
	stops_close(&s);
}

/* ---- One request ---- */

/* Attempts to see a stream move. */
#define MOVES_MAX 5

static struct stops one;

/* Opens @n relays and one user of the first. */
static struct stops_user *
open_one(int n, bool no_retries, uint64_t grace_ms)
{
	struct stops_options o = {
	    .relays = n, .grace_ms = grace_ms, .no_retries = no_retries};

	stops_open(&one, &o);
	one.calm = true;
	stops_user_open(&one, 0);
	stops_run_for(&one, WARM_UP_ONE_MS);
	return &one.users[0];
}

static struct stops_request *
send_one(struct stops_user *u, const struct stops_plan *plan)
{
	CU_ASSERT_FATAL(stops_user_send(u, plan));
	return u->request;
}

static void
silence_servers(uint64_t ms)
{
	for (int i = 0; i < STOPS_SERVERS; i++)
		one.servers[i].silent_until_ms = stops_now(&one) + ms;
}

static void
run_until_ended(const struct stops_request *q)
{
	for (int i = 0; i < 600 && !q->ended; i++)
		stops_run_for(&one, 20);
	CU_ASSERT(q->ended);
}

static void
close_one(unsigned int answered, unsigned int refused)
{
	CU_ASSERT_EQUAL(one.lost, 0);
	CU_ASSERT_EQUAL(one.answered, answered);
	CU_ASSERT_EQUAL(one.refused, refused);
	stops_close(&one);
}

static const struct stops_plan steady = {
    .is_resumable = true, .events = 20, .every_ms = 50, .deadline_ms = 10000};

static void
test_silent_server_without_retries_ends_no_stream(void)
{
	struct stops_user *u = open_one(1, true, GRACE_MS);
	struct stops_request *q = send_one(u, &steady);

	stops_run_for(&one, 300);
	stops_term(&one, 0);
	silence_servers(1200);
	run_until_ended(q);
	CU_ASSERT_EQUAL(q->arrivals, 1);
	close_one(1, 0);
}

static void
test_end_of_grace_answers_what_waits_at_a_server(void)
{
	struct stops_user *u = open_one(1, false, SHORT_GRACE_MS);
	struct stops_request *q;

	silence_servers(LONG_MS);
	q = send_one(u, &steady);
	stops_run_for(&one, 300);
	stops_term(&one, 0);
	run_until_ended(q);
	CU_ASSERT(q->arrivals > 0);
	CU_ASSERT(stops_now(&one) <= one.relays[0].term_ms + SHORT_GRACE_MS);
	close_one(0, 1);
}

/* Cut at the end of the grace period it would be in doubt. */
static void
test_stop_takes_no_request_that_runs_once_without_the_time_for_it(void)
{
	struct stops_user *u = open_one(1, false, SHORT_GRACE_MS);
	struct stops_plan p = steady;
	struct stops_request *q;

	p.is_resumable = false;
	stops_user_open(&one, 0);
	stops_user_open(&one, 0);
	stops_term(&one, 0);
	stops_run_for(&one, 300);
	silence_servers(LONG_MS);
	q = send_one(u, &p);
	run_until_ended(q);
	CU_ASSERT_EQUAL(q->arrivals, 0);
	CU_ASSERT(stops_now(&one) < one.relays[0].term_ms + 1000);
	/* What may be repeated is taken, and what ends in time. */
	silence_servers(0);
	p.deadline_ms = 2000;
	q = send_one(&one.users[1], &p);
	run_until_ended(q);
	CU_ASSERT_EQUAL(q->arrivals, 1);
	q = send_one(&one.users[2], &steady);
	run_until_ended(q);
	CU_ASSERT_EQUAL(q->arrivals, 1);
	close_one(2, 1);
}

/* Bytes that the kernel still holds when the process ends are delivered. */
static void
test_slow_reader_gets_all_after_the_process_has_ended(void)
{
	struct stops_user *u = open_one(1, false, SHORT_GRACE_MS);
	struct stops_plan p = steady;
	struct stops_request *q;

	u->has_small_buffer = true;
	p.events = 200;
	p.every_ms = 2;
	q = send_one(u, &p);
	stops_user_pause(u, LONG_MS);
	stops_run_for(&one, 1000);
	CU_ASSERT(q->served);
	stops_term(&one, 0);
	run_until_ended(q);
	CU_ASSERT(one.relays[0].ended_ms > 0);
	close_one(1, 0);
}

/* Unread bytes of a client reset a connection that is closed, and what the
 * kernel has not sent yet is lost. */
static void
test_close_after_a_pipelined_request_keeps_the_answer(void)
{
	struct stops_user *u = open_one(1, false, GRACE_MS);
	struct stops_plan p = steady;
	struct stops_request *q;

	u->has_small_buffer = true;
	p.events = 200;
	p.every_ms = 2;
	p.first_ms = 300;
	p.has_pipelined = true;
	q = send_one(u, &p);
	stops_user_pause(u, 2000);
	stops_term(&one, 0);
	stops_run_for(&one, 1500);
	CU_ASSERT(q->served);
	/* A third request, which no process reads. */
	CU_ASSERT(send(u->fd, "POST / HTTP/1.1\r\n", 17, MSG_NOSIGNAL) > 0);
	run_until_ended(q);
	close_one(1, 0);
}

/* Leaves only the first @n servers. A relay that has just started still sends to
 * servers whose entries vanish, as after an outage of the store. */
static void
delete_servers(int n)
{
	char key[32];

	stops_run_for(&one, START_DOUBT_MS);
	for (int i = n; i < STOPS_SERVERS; i++) {
		snprintf(key, sizeof(key), "servers/%s", one.servers[i].id);
		ld_kv_store_delete(one.store, key);
	}
	stops_run_for(&one, 500);
}

/* Returns the arrivals at servers of one stream, which must be whole. */
static unsigned int
play_stream_that_two_servers_leave(void)
{
	struct stops_user *u = open_one(1, false, GRACE_MS);
	struct stops_plan p = steady;
	struct stops_request *q;
	unsigned int arrivals;

	p.resume_refusals = 2;
	delete_servers(2);
	q = send_one(u, &p);
	stops_run_for(&one, 300);
	stops_term(&one, 0);
	for (int i = 0; i < 2; i++)
		if (one.servers[i].running > 0)
			one.servers[i].silent_until_ms = stops_now(&one) + 3000;
	run_until_ended(q);
	arrivals = q->arrivals;
	close_one(1, 0);
	return arrivals;
}

static void
test_stream_waits_for_a_server_to_go_on_at(void)
{
	unsigned int arrivals = 1;

	/* A relay that is late itself doesn't count its servers as silent, and
	 * the stream stays where it is. */
	for (int i = 0; i < MOVES_MAX && arrivals == 1; i++)
		arrivals = play_stream_that_two_servers_leave();
	CU_ASSERT(arrivals > 2);
}

/* One stream in a stop, whose server falls silent; returns its arrivals. */
static unsigned int
play_stream_at_a_silent_server(const struct stops_plan *p, uint64_t silent_ms)
{
	struct stops_user *u = open_one(1, false, GRACE_MS);
	struct stops_request *q;
	unsigned int arrivals;

	delete_servers(2);
	q = send_one(u, p);
	stops_run_for(&one, 300 + p->first_ms);
	stops_term(&one, 0);
	for (int i = 0; i < 2; i++)
		if (one.servers[i].running > 0)
			one.servers[i].silent_until_ms =
			    stops_now(&one) + silent_ms;
	run_until_ended(q);
	CU_ASSERT_EQUAL(q->at_work, 0);
	arrivals = q->arrivals;
	close_one(1, 0);
	return arrivals;
}

/* All other servers are full, until its own goes on. */
static void
test_stream_stays_at_a_silent_server_until_another_answers(void)
{
	struct stops_plan p = steady;
	unsigned int arrivals = 1;

	p.resume_refusals = 1000;
	for (int i = 0; i < MOVES_MAX && arrivals == 1; i++)
		arrivals = play_stream_at_a_silent_server(&p, 1500);
	CU_ASSERT(arrivals > 1);
}

/* The other server needs longer for its first event than its own is silent. */
static void
test_stream_goes_on_at_its_server_while_another_begins(void)
{
	struct stops_plan p = steady;
	unsigned int arrivals = 1;

	p.first_ms = 800;
	for (int i = 0; i < MOVES_MAX && arrivals == 1; i++)
		arrivals = play_stream_at_a_silent_server(&p, 900);
	CU_ASSERT(arrivals > 1);
}

/* ---- Seeds ---- */

static uint64_t first_seed = 1, last_seed = 1;

static void
test_no_request_is_lost(void)
{
	for (uint64_t seed = first_seed; seed <= last_seed; seed++)
		play(seed);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case given[] = {
	    {"no request is lost around planned stops",
		test_no_request_is_lost},
	    {NULL, NULL},
	};
	static const struct ld_test_case cases[] = {
	    {"no request is lost around planned stops",
		test_no_request_is_lost},
	    {"a silent server without retries ends no stream",
		test_silent_server_without_retries_ends_no_stream},
	    {"a stream waits for a server to go on at",
		test_stream_waits_for_a_server_to_go_on_at},
	    {"a stream stays at a silent server until another answers",
		test_stream_stays_at_a_silent_server_until_another_answers},
	    {"a stream goes on at its server while another begins",
		test_stream_goes_on_at_its_server_while_another_begins},
	    {"end of grace answers what waits at a server",
		test_end_of_grace_answers_what_waits_at_a_server},
	    {"a stop takes no request that runs once without the time for it",
		test_stop_takes_no_request_that_runs_once_without_the_time_for_it},
	    {"slow reader gets all after the process has ended",
		test_slow_reader_gets_all_after_the_process_has_ended},
	    {"close after a pipelined request keeps the answer",
		test_close_after_a_pipelined_request_keeps_the_answer},
	    {NULL, NULL},
	};

	if (argc > 2) {
		first_seed = strtoull(argv[1], NULL, 10);
		last_seed = strtoull(argv[2], NULL, 10);
	}
	if (argc > 3)
		options.relays = (int)strtol(argv[3], NULL, 10);
	if (argc > 4)
		options.users = (int)strtol(argv[4], NULL, 10);
	if (argc > 5)
		options.burners = (int)strtol(argv[5], NULL, 10);
	if (ld_common_init() != LD_OK)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	return ld_test_main("planned stops", argc > 2 ? given : cases);
}
