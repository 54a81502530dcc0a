/*
 * Two relays, one of which loses its links to all servers while clients, its
 * store and the other relay still reach it.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_ports.h"
#include "ld_relay_session.h"

#define MORE_SERVERS 3
/* As in the users' rule: from STABLE_MS after the cut on, first tries at a cut
 * node are served at least two thirds as often as at the others. */
#define STABLE_MS 4000
#define JUDGED_MS 4000
#define EVERY_MS 40
#define CLIENTS_MAX 600
/* Four sends at once, then one each 400 ms of the 4 s that the client allows. */
#define STREAM_SENDS_MAX 14

/** enum door - how the first relay finds the servers */
enum door {
	DOOR_OPEN,
	DOOR_REFUSES, /* new connections are refused */
	DOOR_HANGS /* they are accepted, and nothing answers */
};

static struct server more[MORE_SERVERS];
static struct second_relay b;
static struct client clients[2][CLIENTS_MAX];
static int silent;
static char silent_address[32], closed_address[32];

static int
bind_any(char address[32], bool listening)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_FATAL(fd >= 0 && bind(fd, (struct sockaddr *)&a, len) == 0);
	CU_ASSERT_FATAL(getsockname(fd, (struct sockaddr *)&a, &len) == 0 &&
	    (!listening || listen(fd, 512) == 0));
	snprintf(address, 32, "127.0.0.1:%u", ntohs(a.sin_port));
	return fd;
}

static void
put_servers(struct ld_kv_store *in, enum door door, int sequence)
{
	struct ld_kv_store *first = store;

	store = in;
	for (int i = 0; i < SERVERS + MORE_SERVERS; i++) {
		struct server s = i < SERVERS ? servers[i] : more[i - SERVERS];

		if (door == DOOR_REFUSES)
			memcpy(s.address, closed_address, sizeof(s.address));
		else if (door == DOOR_HANGS)
			memcpy(s.address, silent_address, sizeof(s.address));
		put_entry(&s, sequence);
	}
	store = first;
}

static void
open_two(void)
{
	open_all(relay_program);
	for (int i = 0; i < MORE_SERVERS; i++) {
		CU_ASSERT_EQUAL_FATAL(
		    relay_server_open(&more[i], session_loop(), ld_free_port()),
		    LD_OK);
		snprintf(more[i].id, sizeof(more[i].id), "m-%d", i);
	}
	silent = bind_any(silent_address, true);
	(void)bind_any(closed_address, false);
	b = start_second_relay();
	put_servers(store, DOOR_OPEN, 1);
	put_servers(b.store, DOOR_OPEN, 1);
	wait_until_serving();
	run_for(2000);
}

/* Requests of each kind at both relays. Returns how many are served of each,
 * in percent. */
static void
press(uint64_t ms, unsigned int percent[2])
{
	static const char *const paths[] = {"/look/a", "/book/a", "/events/a"};
	static const char *const methods[] = {"GET", "POST", "POST"};
	const char *addresses[] = {relay_address, b.address};
	int n = (int)(ms / EVERY_MS);

	CU_ASSERT_FATAL(n <= CLIENTS_MAX);
	for (int i = 0; i < n; i++) {
		for (int r = 0; r < 2; r++)
			start_at(&clients[r][i], addresses[r], methods[i % 3],
			    paths[i % 3], "k1");
		run_for(EVERY_MS);
	}
	for (int r = 0; r < 2; r++) {
		unsigned int served = 0;

		for (int i = 0; i < n; i++) {
			wait_for(&clients[r][i]);
			served += clients[r][i].code == 200 &&
			    clients[r][i].is_signed &&
			    clients[r][i].status == LD_OK;
			ld_buf_free(&clients[r][i].body);
		}
		percent[r] = served * 100 / (unsigned int)n;
	}
}

static void
check_cut(enum door door, int sequence)
{
	unsigned int percent[2];

	press(2000, percent);
	CU_ASSERT_EQUAL(percent[0], 100);
	put_servers(store, door, sequence);
	press(STABLE_MS, percent);
	press(JUDGED_MS, percent);
	printf("served at the cut relay %u%%, at the other %u%%\n", percent[0],
	    percent[1]);
	CU_ASSERT(percent[1] >= 95);
	CU_ASSERT(3 * percent[0] >= 2 * percent[1]);
	put_servers(store, DOOR_OPEN, sequence + 1);
	press(STABLE_MS, percent);
	press(2000, percent);
	CU_ASSERT_EQUAL(percent[0], 100);
}

static void
test_clients_are_served_while_connections_are_refused(void)
{
	open_two();
	check_cut(DOOR_REFUSES, 2);
}

static void
test_clients_are_served_while_connections_hang(void)
{
	check_cut(DOOR_HANGS, 4);
}

static void
test_refused_at_once_if_no_node_reaches_servers(void)
{
	unsigned int percent[2];

	put_servers(store, DOOR_REFUSES, 6);
	put_servers(b.store, DOOR_REFUSES, 6);
	press(STABLE_MS, percent);
	press(2000, percent);
	CU_ASSERT_EQUAL(percent[0] + percent[1], 0);
	put_servers(store, DOOR_OPEN, 7);
	put_servers(b.store, DOOR_OPEN, 7);
	press(STABLE_MS, percent);
	press(2000, percent);
	CU_ASSERT_EQUAL(percent[0], 100);
	CU_ASSERT_EQUAL(percent[1], 100);
}

static void
set_all(enum behaviour behaviour)
{
	servers[0].behaviour = servers[1].behaviour = behaviour;
	for (int i = 0; i < MORE_SERVERS; i++)
		more[i].behaviour = behaviour;
}

static unsigned int
streams_open(void)
{
	unsigned int n = servers[0].slow != NULL;

	n += servers[1].slow != NULL;
	for (int i = 0; i < MORE_SERVERS; i++)
		n += more[i].slow != NULL;
	return n;
}

/* A stream reaches a server within this on a busy machine, ms. */
#define BEGUN_MS 2000

static void
wait_for_stream(void)
{
	for (int ms = 0; ms < BEGUN_MS && streams_open() == 0; ms += 5)
		run_for(5);
	CU_ASSERT_EQUAL(streams_open(), 1);
}

/* Through both relays, while the first is cut. */
static void
test_close_of_a_client_reaches_the_server(void)
{
	unsigned int percent[2];
	struct client *c = &clients[0][0];

	put_servers(store, DOOR_REFUSES, 8);
	press(STABLE_MS, percent);
	set_all(STREAMS_SLOWLY);
	start_at(c, relay_address, "POST", "/events/a", "k1");
	wait_for_stream();
	ld_http_cancel(c->call);
	/* The stream would last for 600 ms; the users' bound is 500 ms. */
	run_for(200);
	CU_ASSERT_EQUAL(streams_open(), 0);
	ld_buf_free(&c->body);
}

#define EVENTS_3 "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"

/* Ends a relay's doubts about servers, and earns retries, ms. */
#define SOUND_MS 2000

static void
end_doubts(void)
{
	unsigned int percent[2];

	set_all(SERVES);
	press(SOUND_MS, percent);
}

static unsigned int
all_arrivals(void)
{
	unsigned int n = arrivals();

	for (int i = 0; i < MORE_SERVERS; i++)
		n += more[i].arrivals;
	return n;
}

/* A stream is cut, and all other servers answer as in @next. */
static void
check_broken_stream(enum behaviour next)
{
	struct client *c = &clients[0][0];
	unsigned int before;

	end_doubts();
	before = all_arrivals();
	set_all(CUTS_STREAM);
	start_at(c, relay_address, "POST", "/events/a", "k1");
	wait_for_stream();
	for (int i = 0; i < SERVERS; i++)
		if (servers[i].slow == NULL)
			servers[i].behaviour = next;
	for (int i = 0; i < MORE_SERVERS; i++)
		if (more[i].slow == NULL)
			more[i].behaviour = next;
	wait_for(c);
	CU_ASSERT_EQUAL(c->code, 200);
	CU_ASSERT_NOT_EQUAL(c->status, LD_OK);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&c->body), EVENTS_3);
	CU_ASSERT(all_arrivals() >= before + 2);
	CU_ASSERT(all_arrivals() <= before + STREAM_SENDS_MAX);
	ld_buf_free(&c->body);
}

/* Through both relays, while the first is cut. */
static void
test_errors_of_servers_are_no_part_of_a_stream(void)
{
	check_broken_stream(FAILS);
	check_broken_stream(REFUSES);
	check_broken_stream(ANSWERS_ANOTHER);
	end_doubts();
	set_all(STREAMS_SLOWLY);
}

static void
test_bookings_through_a_node_run_at_most_once(void)
{
	static const enum behaviour deeds[] = {
	    BREAKS_OFF, ANSWERS_ANOTHER, REFUSES};

	for (size_t i = 0; i < sizeof(deeds) / sizeof(deeds[0]); i++) {
		unsigned int before;
		struct client c;

		end_doubts();
		before = all_arrivals();
		set_all(deeds[i]);
		c = call("POST", "/book/a", "k1");
		CU_ASSERT_EQUAL(c.code, deeds[i] == REFUSES ? 503 : 502);
		CU_ASSERT(!c.is_signed);
		CU_ASSERT(deeds[i] == REFUSES || all_arrivals() == before + 1);
		ld_buf_free(&c.body);
	}
}

#define LARGE_BODY 600
#define SMALL_LIMIT 100
#define BOOKINGS 20

static void
set_limit_at_helper(unsigned int bytes, int version)
{
	struct ld_kv_store *first = store;

	relay_max_body_bytes = bytes;
	store = b.store;
	put_config(version, "\"k1\",\"k2\"", "null");
	wait_until_applied();
	store = first;
}

/* The helper's listener refuses what the cut relay has accepted by another
 * configuration: a client must not be denied a proper request for it. */
static void
test_a_limit_of_the_helper_denies_nothing(void)
{
	static char body[LARGE_BODY];
	unsigned int denied = 0;
	unsigned long forwarded;

	end_doubts();
	set_limit_at_helper(SMALL_LIMIT, 2);
	forwarded = relay_counter("ld_relay_forwarded_total");
	memset(body, 'x', sizeof(body));
	relay_request_body = (struct ld_str){body, sizeof(body)};
	for (int i = 0; i < BOOKINGS; i++)
		denied += code_of("POST", "/book/a", "k1") < 500;
	relay_request_body = LD_STR("x=1");
	CU_ASSERT_EQUAL(denied, 0);
	CU_ASSERT(relay_counter("ld_relay_forwarded_total") > forwarded);
	set_limit_at_helper(LARGE_BODY, 3);
	/* The relay excludes a node that refuses. */
	run_for(STABLE_MS);
}

static void
configure(struct ld_kv_store *in, int version)
{
	struct ld_kv_store *first = store;

	store = in;
	put_config(version, "\"k1\",\"k2\"", "null");
	wait_until_applied();
	store = first;
}

/* Less than a node is excluded for without a configuration, or keys. */
#define LAG_MS 400

/* Each configuration reaches one node before the others. */
static void
test_a_helper_that_lags_behind_helps_again_soon(void)
{
	end_doubts();
	CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
	configure(store, 4);
	CU_ASSERT_NOT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
	configure(b.store, 4);
	run_for(LAG_MS);
	CU_ASSERT_EQUAL(code_of("GET", "/look/a", "k1"), 200);
}

#define MANY_FIELDS 300

static bool
got_all_fields(const struct server *s)
{
	return s->extra_fields == MANY_FIELDS &&
	    strcmp(s->account, "shop") == 0;
}

static void
test_many_fields_arrive_through_a_node(void)
{
	static char text[MANY_FIELDS][32];
	const char *fields[MANY_FIELDS + 1] = {NULL};
	struct client *c = &clients[0][0];
	unsigned int got = 0;

	end_doubts();
	for (int i = 0; i < MANY_FIELDS; i++) {
		snprintf(text[i], sizeof(text[i]), "X-F%d: value %d", i, i);
		fields[i] = text[i];
	}
	start_fields_at(c, relay_address, "GET", "/look/a", fields);
	wait_for(c);
	CU_ASSERT_EQUAL(c->code, 200);
	for (int i = 0; i < SERVERS; i++)
		got += got_all_fields(&servers[i]);
	for (int i = 0; i < MORE_SERVERS; i++)
		got += got_all_fields(&more[i]);
	CU_ASSERT_EQUAL(got, 1);
	ld_buf_free(&c->body);
	set_all(STREAMS_SLOWLY);
}

static void
test_a_helper_that_stops_ends_its_streams(void)
{
	struct client *c = &clients[0][0];
	int status;

	start_at(c, relay_address, "POST", "/events/a", "k1");
	wait_for_stream();
	CU_ASSERT_EQUAL(kill(b.pid, SIGTERM), 0);
	wait_for(c);
	CU_ASSERT(c->code == 200 && c->status == LD_OK && c->is_signed);
	CU_ASSERT_PTR_NOT_NULL(strstr(ld_buf_cstr(&c->body), "data: e6"));
	ld_buf_free(&c->body);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(b.pid, &status, WNOHANG), b.pid);
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	b.pid = 0;
	close_second_relay(&b);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
	for (int i = 0; i < MORE_SERVERS; i++)
		ld_listener_free(more[i].listener);
	close(silent);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"clients are served while connections are refused",
		test_clients_are_served_while_connections_are_refused},
	    {"clients are served while connections hang",
		test_clients_are_served_while_connections_hang},
	    {"refused at once if no node reaches servers",
		test_refused_at_once_if_no_node_reaches_servers},
	    {"close of a client reaches the server",
		test_close_of_a_client_reaches_the_server},
	    {"bookings through a node run at most once",
		test_bookings_through_a_node_run_at_most_once},
	    {"errors of servers are no part of a stream",
		test_errors_of_servers_are_no_part_of_a_stream},
	    {"a limit of the helper denies nothing",
		test_a_limit_of_the_helper_denies_nothing},
	    {"a helper that lags behind helps again soon",
		test_a_helper_that_lags_behind_helps_again_soon},
	    {"many fields arrive through a node",
		test_many_fields_arrive_through_a_node},
	    {"a helper that stops ends its streams",
		test_a_helper_that_stops_ends_its_streams},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "nodes_without_servers", cases);
}
