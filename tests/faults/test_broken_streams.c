/* Streams that break off, and what the next server answers. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "ld_raw_server.h"
#include "ld_relay_session.h"

#define NAMED "X-Attempt-Id: " RELAY_REQUEST_ID "\r\n"
#define SIGNED NAMED "X-Server-Signature: s\r\n"
#define STREAM "Content-Type: text/event-stream\r\n"
#define UNFRAMED "HTTP/1.1 200 OK\r\n" SIGNED STREAM "\r\n"
#define EVENT(id) "id: " id "\ndata: e" id "\n\n"
#define EVENTS_3 EVENT("1") EVENT("2") EVENT("3")
#define EVENTS_6 EVENTS_3 EVENT("4") EVENT("5") EVENT("6")
/* Would be the next event, in a body that is none of a stream. */
#define TEXT EVENT("4")
#define TEXT_LENGTH "Content-Length: 16\r\n\r\n"
#define CUT_AFTER_MS 50
/* The relay knows new entries after this time, ms. */
/* At least as many as allow three retries. */
#define REQUESTS_BEFORE 24

static struct raw_server raw;

/* Requests that earn retries, a share of all requests. */
static void
earn_retries(void)
{
	static const struct raw_step script[] = {
	    {0, 0, "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 0\r\n\r\n",
		RAW_KEEP},
	    {0},
	};
	static struct client clients[REQUESTS_BEFORE];

	raw_server_play(&raw, script);
	for (size_t i = 0; i < REQUESTS_BEFORE; i++)
		start_at(&clients[i], relay_address, "GET", "/look/a", "k1");
	for (size_t i = 0; i < REQUESTS_BEFORE; i++) {
		wait_for(&clients[i]);
		CU_ASSERT_EQUAL(clients[i].code, 200);
	}
}

/* Lists the server twice under new ids, so that it is tried twice, in a known
 * order, and not doubted for what came before. */
static void
list_twice(void)
{
	static unsigned int number;
	struct server *entry = &raw.entry;
	char key[32];

	for (int i = 0; i < 2; i++, number++) {
		snprintf(key, sizeof(key), "servers/f-%u", number);
		ld_kv_store_delete(store, key);
		snprintf(entry->id, sizeof(entry->id), "f-%u", number + 2);
		put_entry(entry, 0);
	}
	wait_until_applied();
}

/* A stream of @first that breaks off as in @end, and @next for each later
 * request. Returns the answer; its body is to be freed. */
static struct client
play(const char *path, const char *first, enum raw_end end, const char *next,
    const char *field)
{
	static struct raw_step script[5];
	struct client *c = ld_alloc(sizeof(*c)), out;

	script[0] = (struct raw_step){0, 0, first, RAW_KEEP};
	script[1] = (struct raw_step){0, CUT_AFTER_MS, "", end};
	script[2] = (struct raw_step){1, 0, next, RAW_KEEP};
	script[3] = (struct raw_step){1, CUT_AFTER_MS, "", RAW_CLOSE};
	list_twice();
	earn_retries();
	raw_server_play(&raw, script);
	start_field_at(c, relay_address, "POST", path, field);
	wait_for(c);
	out = *c;
	free(c);
	return out;
}

static void
check(const char *what, struct client c, const char *body, bool whole)
{
	CU_ASSERT_EQUAL(c.code, 200);
	CU_ASSERT_EQUAL(c.status == LD_OK, whole);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&c.body), body);
	if (c.code != 200 || (c.status == LD_OK) != whole ||
	    strcmp(ld_buf_cstr(&c.body), body) != 0)
		printf("%s: code %ld, %s, %s\n", what, c.code,
		    ld_status_name(c.status), ld_buf_cstr(&c.body));
	ld_buf_free(&c.body);
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_an_error_of_the_next_server_is_no_part_of_the_stream(void)
{
	static const char *const next[] = {
	    "HTTP/1.1 500 Error\r\n" SIGNED TEXT_LENGTH TEXT,
	    "HTTP/1.1 500 Error\r\n" SIGNED "\r\n" TEXT,
	    "HTTP/1.1 500 Error\r\n" SIGNED STREAM TEXT_LENGTH TEXT,
	    "HTTP/1.1 503 Full\r\n" NAMED
	    "X-Not-Executed: 1\r\n" TEXT_LENGTH TEXT,
	    "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" TEXT_LENGTH TEXT,
	    "HTTP/1.1 503 Full\r\n" NAMED TEXT_LENGTH TEXT,
	    "HTTP/1.1 421 Other\r\n" NAMED TEXT_LENGTH TEXT,
	    "HTTP/1.1 404 None\r\n" SIGNED TEXT_LENGTH TEXT,
	    "HTTP/1.1 206 Part\r\n" SIGNED STREAM TEXT_LENGTH TEXT,
	    "HTTP/1.1 101 Other\r\n" SIGNED STREAM "\r\n" TEXT,
	    "HTTP/1.1 200 OK\r\n" STREAM TEXT_LENGTH TEXT,
	    "HTTP/1.1 200 OK\r\n" SIGNED STREAM "Content-Length: 99\r\n\r\n",
	    UNFRAMED,
	    UNFRAMED EVENT("5") EVENT("6"),
	    TEXT,
	    "",
	};

	open_all(relay_program);
	raw_server_open(&raw, session_loop(), "f-0");
	wait_until_serving();
	list_servers(&raw.entry, false);
	for (size_t i = 0; i < sizeof(next) / sizeof(next[0]); i++) {
		check(next[i],
		    play("/events/a", UNFRAMED EVENTS_3 "id: 4\nda", RAW_RESET,
			next[i], NULL),
		    EVENTS_3, false);
		CU_ASSERT(raw.requests >= 2);
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(raw.last_request, "\r\nLast-Event-Id: 3\r\n"));
	}
}

static void
test_a_text_of_the_next_server_is_no_part_of_the_stream(void)
{
	static const char *const next[] = {
	    "HTTP/1.1 200 OK\r\n" SIGNED "Content-Type: text/plain\r\n"
	    "Content-Length: 7\r\n\r\nsorry\n\n",
	    "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 7\r\n\r\nsorry\n\n",
	};

	for (size_t i = 0; i < sizeof(next) / sizeof(next[0]); i++)
		check(next[i],
		    play("/events/a", UNFRAMED EVENTS_3, RAW_RESET, next[i],
			NULL),
		    EVENTS_3, false);
}

static void
test_streams_go_on_at_the_right_event(void)
{
	check("from the next on",
	    play("/events/a", UNFRAMED EVENTS_3 "id: 4\nda", RAW_RESET,
		UNFRAMED EVENT("4") EVENT("5") EVENT("6"), NULL),
	    EVENTS_6, true);
	check("from the first on",
	    play("/events/a", UNFRAMED EVENTS_3, RAW_RESET, UNFRAMED EVENTS_6,
		NULL),
	    EVENTS_6, true);
	check("a chunk is missing",
	    play("/events/a",
		"HTTP/1.1 200 OK\r\n" SIGNED STREAM
		"Transfer-Encoding: chunked\r\n\r\n10\r\n" EVENT("1") "\r\n",
		RAW_CLOSE, UNFRAMED EVENTS_6, NULL),
	    EVENTS_6, true);
}

static void
test_streams_that_run_once_end_where_they_broke(void)
{
	check("reset",
	    play("/once/a", UNFRAMED EVENTS_3, RAW_RESET, UNFRAMED EVENTS_6,
		NULL),
	    EVENTS_3, false);
	CU_ASSERT_EQUAL(raw.requests, 1);
	check("a chunk is missing",
	    play("/once/a",
		"HTTP/1.1 200 OK\r\n" SIGNED STREAM
		"Transfer-Encoding: chunked\r\n\r\n10\r\n" EVENT("1") "\r\n",
		RAW_CLOSE, UNFRAMED EVENTS_6, NULL),
	    EVENT("1"), false);
	CU_ASSERT_EQUAL(raw.requests, 1);
	check("shorter than its length",
	    play("/once/a",
		"HTTP/1.1 200 OK\r\n" SIGNED STREAM
		"Content-Length: 99\r\n\r\n" EVENT("1"),
		RAW_CLOSE, UNFRAMED EVENTS_6, NULL),
	    EVENT("1"), false);
}

static void
test_events_without_ids_come_once(void)
{
	check("no ids",
	    play("/events/a", UNFRAMED "data: a\n\ndata: b\n\n", RAW_RESET,
		UNFRAMED "data: a\n\ndata: b\n\ndata: c\n\n", NULL),
	    "data: a\n\ndata: b\n\n", false);
	check("one without an id",
	    play("/events/a", UNFRAMED EVENTS_3 "data: b\n\n", RAW_RESET,
		UNFRAMED "data: b\n\n" EVENT("4"), NULL),
	    EVENTS_3 "data: b\n\n", false);
	check("only a comment",
	    play("/events/a", UNFRAMED EVENTS_3 ": b\n\n", RAW_RESET,
		UNFRAMED EVENT("4"), NULL),
	    EVENTS_3 ": b\n\n" EVENT("4"), true);
}

static void
test_the_clients_last_event_is_kept_until_the_first(void)
{
	check("last event",
	    play("/events/a", UNFRAMED ": b\n\n", RAW_RESET,
		UNFRAMED EVENT("4"), "Last-Event-Id: 3"),
	    ": b\n\n" EVENT("4"), true);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(raw.last_request, "\r\nLast-Event-Id: 3\r\n"));
}

static void
test_end(void)
{
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
	raw_server_close(&raw);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"an error of the next server is no part of the stream",
		test_an_error_of_the_next_server_is_no_part_of_the_stream},
	    {"a text of the next server is no part of the stream",
		test_a_text_of_the_next_server_is_no_part_of_the_stream},
	    {"streams go on at the right event",
		test_streams_go_on_at_the_right_event},
	    {"streams that run once end where they broke",
		test_streams_that_run_once_end_where_they_broke},
	    {"events without ids come once", test_events_without_ids_come_once},
	    {"the client's last event is kept until the first",
		test_the_clients_last_event_is_kept_until_the_first},
	    {"the relay stops", test_end},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "broken streams", cases);
}
