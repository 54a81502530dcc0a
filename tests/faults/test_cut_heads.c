/* Servers whose answers have a broken head: cut off, or with a status code that a
 * response can't have. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "ld_raw_server.h"
#include "ld_relay_session.h"
#include "ld_session.h"
#include "ld_store.h"

#define NAMED "X-Attempt-Id: " RELAY_REQUEST_ID "\r\n"
#define SIGNED "HTTP/1.1 200 OK\r\n" NAMED "X-Server-Signature: s\r\n"
#define WITH_LENGTH \
	SIGNED "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
#define WITHOUT_LENGTH SIGNED "Content-Type: text/plain\r\n\r\n"
#define CHUNKED SIGNED "Transfer-Encoding: chunked\r\n\r\n"
#define INTERIM "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" WITH_LENGTH
#define STREAM SIGNED "Content-Type: text/event-stream\r\n\r\n"
#define EVENT(id) "id: " id "\ndata: e" id "\n\n"
#define STORE_ANSWER                                    \
	"HTTP/1.1 200 OK\r\nContent-Length: 53\r\n\r\n" \
	"{\"header\":{\"cluster_id\":\"7\",\"revision\":\"5\"},\"kvs\":[]}"
#define HEAD_MAX 512
#define TIMEOUT_MS 2000
/* At the relay, each case takes some hundred ms: only every so many bytes. */
#define STRIDE 13
#define SETTLED_MS 2600
#define SERVER_IDS 3
/* A node is isolated, or no longer, after this time, ms. */
#define ISOLATED_MS 4000
#define EVERY_MS 40
/* The relays' doubts about a server expire, ms. */
#define DOUBT_MS 800

static const char *const heads[] = {
    WITH_LENGTH, WITHOUT_LENGTH, CHUNKED, INTERIM};
#define HEADS (sizeof(heads) / sizeof(heads[0]))
/* Status lines, without their end. */
static const char *const no_status[] = {"HTTP/1.1 000 OK", "HTTP/1.1 000",
    "HTTP/1.1 0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20x OK",
    "HTTP/1.1 2000 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 000 OK"};
#define NO_STATUS (sizeof(no_status) / sizeof(no_status[0]))

static struct raw_server server;
static struct second_relay other;

/* The first @n bytes of @head. */
static const char *
cut(const char *head, size_t n)
{
	static char bytes[HEAD_MAX];

	snprintf(bytes, sizeof(bytes), "%.*s", (int)n, head);
	return bytes;
}

/* Answers the next requests by the first @n bytes of @head. The script outlives
 * the caller: idle connections of the relays may still reach the server. */
static void
play_cut(const char *head, size_t n, enum raw_end end)
{
	static struct raw_step script[2];

	script[0] = (struct raw_step){0, 0, cut(head, n), end};
	raw_server_play(&server, script);
}

/* ---- The client of lib/http ---- */

/** struct caller - one call */
struct caller {
	struct ld_http_sink sink;
	struct ld_http_result result;
	size_t bytes;
	bool head;
	bool done;
};

static void
on_head(struct ld_http_sink *sink, long code, struct ld_str type)
{
	((struct caller *)sink)->head = true;
}

static void
on_body(struct ld_http_sink *sink, struct ld_str bytes)
{
	((struct caller *)sink)->bytes += bytes.len;
}

static void
on_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct caller *c = (struct caller *)sink;

	c->result = *result;
	c->done = true;
}

static struct caller
play(struct ld_loop *loop, struct ld_http *http)
{
	static const struct ld_http_sink_ops ops = {
	    .head = on_head, .body = on_body, .done = on_done};
	struct caller c = {.sink = {&ops}};
	char url[64];
	struct ld_http_request rq = {
	    .method = "GET", .url = url, .total_timeout_ms = TIMEOUT_MS};

	snprintf(url, sizeof(url), "http://%s/a", server.entry.address);
	CU_ASSERT_PTR_NOT_NULL_FATAL(ld_http_start(http, &rq, &c.sink));
	for (int i = 0; i < TIMEOUT_MS && !c.done; i++)
		ld_loop_run_for(loop, 1);
	CU_ASSERT_FATAL(c.done);
	return c;
}

static void
check_no_answer(struct ld_loop *loop, struct ld_http *http, const char *head,
    size_t n, enum raw_end end)
{
	struct caller c;

	play_cut(head, n, end);
	c = play(loop, http);
	CU_ASSERT_EQUAL(c.result.status, LD_E_CLOSED);
	CU_ASSERT_FALSE(c.head);
	CU_ASSERT_EQUAL(c.bytes, 0);
	CU_ASSERT_TRUE(c.result.sent);
	if (c.result.status != LD_E_CLOSED)
		printf("cut after \"%s\": %s\n", cut(head, n),
		    ld_status_name(c.result.status));
}

static void
check_each_byte(bool kept, enum raw_end end)
{
	static const struct raw_step whole[] = {
	    {0, 0, WITH_LENGTH "body", RAW_KEEP}, {0}};
	struct ld_loop *loop = ld_loop_new();
	struct ld_http *http = ld_http_new(loop);

	memset(&server, 0, sizeof(server));
	raw_server_open(&server, loop, "s-1");
	for (size_t i = 0; i < HEADS; i++)
		for (size_t n = 0; n < strlen(heads[i]); n++) {
			raw_server_play(&server, whole);
			if (kept)
				CU_ASSERT_EQUAL(
				    play(loop, http).result.status, LD_OK);
			check_no_answer(loop, http, heads[i], n, end);
		}
	raw_server_close(&server);
	ld_http_free(http);
	ld_loop_free(loop);
}

static void
test_a_head_cut_at_any_byte_is_no_answer(void)
{
	check_each_byte(false, RAW_CLOSE);
	check_each_byte(false, RAW_RESET);
}

static void
test_the_same_on_a_kept_connection(void)
{
	check_each_byte(true, RAW_CLOSE);
	check_each_byte(true, RAW_RESET);
}

/* The answer @whole with another status line. */
static const char *
with_status_line(const char *line, const char *whole)
{
	static char bytes[HEAD_MAX];

	snprintf(bytes, sizeof(bytes), "%s%s", line, strstr(whole, "\r\n"));
	return bytes;
}

static void
check_no_status(struct ld_loop *loop, struct ld_http *http, const char *line)
{
	static struct raw_step script[2];
	struct caller c;

	script[0] = (struct raw_step){
	    0, 0, with_status_line(line, WITH_LENGTH "body"), RAW_KEEP};
	raw_server_play(&server, script);
	c = play(loop, http);
	CU_ASSERT_NOT_EQUAL(c.result.status, LD_OK);
	CU_ASSERT_NOT_EQUAL(c.result.status, LD_E_TIMEOUT);
	CU_ASSERT_FALSE(c.head);
	CU_ASSERT_EQUAL(c.bytes, 0);
	CU_ASSERT_TRUE(c.result.sent);
	if (c.head || c.bytes > 0)
		printf("\"%s\" is an answer\n", line);
}

/* Seen elsewhere: a client got an answer whose status was 000. */
static void
test_a_status_out_of_range_is_no_answer(void)
{
	static const struct raw_step whole[] = {
	    {0, 0, WITH_LENGTH "body", RAW_KEEP}, {0}};
	struct ld_loop *loop = ld_loop_new();
	struct ld_http *http = ld_http_new(loop);

	memset(&server, 0, sizeof(server));
	raw_server_open(&server, loop, "s-1");
	for (size_t i = 0; i < NO_STATUS; i++) {
		check_no_status(loop, http, no_status[i]);
		raw_server_play(&server, whole);
		CU_ASSERT_EQUAL(play(loop, http).result.status, LD_OK);
		/* The same on the connection that is kept since. */
		check_no_status(loop, http, no_status[i]);
	}
	raw_server_close(&server);
	ld_http_free(http);
	ld_loop_free(loop);
}

/* ---- The client of the store ---- */

/** struct store_caller - one read */
struct store_caller {
	struct ld_store_call call; /* first member */
	enum ld_status status;
	bool done;
};

static void
on_store_answer(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct store_caller *c = (struct store_caller *)call;

	c->status = a->status;
	c->done = true;
}

/* A read of a store that answers with @line and a sound body. */
static enum ld_status
read_store(struct ld_loop *loop, const char *line)
{
	static struct raw_step script[2];
	const char *endpoint = server.entry.address;
	struct ld_store_settings settings = ld_store_defaults();
	struct ld_http *http = ld_http_new(loop);
	struct store_caller c = {.call = {.done = on_store_answer}};
	struct ld_store *s;

	script[0] = (struct raw_step){
	    0, 0, with_status_line(line, STORE_ANSWER), RAW_KEEP};
	raw_server_play(&server, script);
	settings.endpoints = &endpoint;
	settings.n_endpoints = 1;
	s = ld_store_new(loop, http, &settings, NULL);
	ld_store_read(s, &c.call, LD_STR("k"));
	for (int i = 0; i < TIMEOUT_MS && !c.done; i++)
		ld_loop_run_for(loop, 1);
	CU_ASSERT(c.done);
	ld_store_free(s);
	ld_http_free(http);
	return c.status;
}

/* A store in trouble answers no call with a status that a response can't have. */
static void
test_a_status_out_of_range_is_no_answer_of_the_store(void)
{
	struct ld_loop *loop = ld_loop_new();
	enum ld_status st;

	memset(&server, 0, sizeof(server));
	raw_server_open(&server, loop, "s-1");
	CU_ASSERT_EQUAL(read_store(loop, "HTTP/1.1 200 OK"), LD_E_NOT_FOUND);
	for (size_t i = 0; i < NO_STATUS; i++) {
		st = read_store(loop, no_status[i]);
		CU_ASSERT(st != LD_OK && st != LD_E_NOT_FOUND);
	}
	raw_server_close(&server);
	ld_loop_free(loop);
}

/* ---- Through a relay ---- */

/* Lists the server under @count new ids, of which the relay has no doubts. */
static void
list_anew(unsigned int count)
{
	static unsigned int number;
	struct server s = server.entry;
	char key[32];

	for (unsigned int i = 0; i < count; i++) {
		snprintf(key, sizeof(key), "servers/c-%u", number + i);
		ld_kv_store_delete(store, key);
	}
	number += count;
	for (unsigned int i = 0; i < count; i++) {
		snprintf(s.id, sizeof(s.id), "c-%u", number + i);
		put_entry(&s, 0);
	}
	wait_until_applied();
}

static void
check_fails(const char *method, const char *path, const char *head, size_t n)
{
	struct client c;

	list_anew(1);
	play_cut(head, n, RAW_CLOSE);
	c = call(method, path, "k1");
	CU_ASSERT_EQUAL(c.code, 502);
	CU_ASSERT_FALSE(c.is_signed);
	if (c.code != 502)
		printf(
		    "%s after \"%s\": code %ld\n", path, cut(head, n), c.code);
	ld_buf_free(&c.body);
}

static void
test_a_client_gets_no_success_for_a_cut_head(void)
{
	memset(&server, 0, sizeof(server));
	open_all(relay_program);
	raw_server_open(&server, session_loop(), "u-1");
	wait_until_serving();
	list_servers(&server.entry, false);
	ld_kv_store_delete(store, "servers/u-1");
	for (size_t i = 0; i < HEADS; i++)
		for (size_t n = i; n < strlen(heads[i]); n += STRIDE)
			check_fails("GET", "/look/a", heads[i], n);
	for (size_t i = 0; i < HEADS; i++) {
		check_fails("POST", "/book/a", heads[i], strlen(SIGNED));
		check_fails("POST", "/book/a", heads[i], strlen(heads[i]) - 1);
	}
	for (size_t n = 3; n < strlen(STREAM); n += STRIDE)
		check_fails("POST", "/events/a", STREAM, n);
	check_fails("POST", "/events/a", STREAM, strlen(STREAM) - 1);
}

static void
test_a_client_gets_no_status_out_of_range(void)
{
	for (size_t i = 0; i < NO_STATUS; i++) {
		char head[HEAD_MAX];

		snprintf(head, sizeof(head), "%s",
		    with_status_line(no_status[i], WITH_LENGTH "body"));
		check_fails("GET", "/look/a", head, strlen(head));
		check_fails("POST", "/book/a", head, strlen(head));
		snprintf(head, sizeof(head), "%s",
		    with_status_line(no_status[i], STREAM EVENT("1")));
		check_fails("POST", "/events/a", head, strlen(head));
	}
}

/* A stream that was moved to a server with such an answer ends as broken off. */
static void
test_a_begun_stream_does_not_go_on_with_such_a_status(void)
{
	for (size_t i = 0; i < NO_STATUS; i++) {
		static struct raw_step script[3];
		struct client c;

		script[0] = (struct raw_step){
		    0, 0, STREAM EVENT("1") EVENT("2"), RAW_RESET};
		script[1] = (struct raw_step){1, 0,
		    with_status_line(no_status[i], STREAM EVENT("3")),
		    RAW_CLOSE};
		list_anew(2);
		raw_server_play(&server, script);
		c = call("POST", "/events/a", "k1");
		CU_ASSERT_EQUAL(c.code, 200);
		CU_ASSERT_NOT_EQUAL(c.status, LD_OK);
		CU_ASSERT_PTR_NULL(strstr(ld_buf_cstr(&c.body), "e3"));
		ld_buf_free(&c.body);
	}
}

/* The resumed stream of the next server is cut in its head. */
static void
test_a_begun_stream_does_not_end_with_a_cut_head(void)
{
	for (size_t n = 1; n < strlen(STREAM); n += 2 * (size_t)STRIDE) {
		static struct raw_step script[3];
		struct client c;

		script[0] = (struct raw_step){
		    0, 0, STREAM EVENT("1") EVENT("2"), RAW_RESET};
		script[1] = (struct raw_step){1, 0, cut(STREAM, n), RAW_CLOSE};
		list_anew(2);
		raw_server_play(&server, script);
		c = call("POST", "/events/a", "k1");
		CU_ASSERT_EQUAL(c.code, 200);
		CU_ASSERT_NOT_EQUAL(c.status, LD_OK);
		ld_buf_free(&c.body);
	}
}

/* Writes the server into the store of one relay, under ids that are the same in
 * both; at another address it can't be reached. */
static void
put_in(struct ld_kv_store *in, const char *address, int sequence)
{
	struct ld_kv_store *first = store;
	struct server s = server.entry;

	snprintf(s.address, sizeof(s.address), "%s", address);
	store = in;
	for (int i = 0; i < SERVER_IDS; i++) {
		snprintf(s.id, sizeof(s.id), "n-%d", i);
		put_entry(&s, sequence);
	}
	store = first;
}

/* Requests at both relays, so that each knows which servers answer. */
static void
press(int for_ms)
{
	static const struct raw_step answers[] = {
	    {0, 0, WITH_LENGTH "body", RAW_KEEP}, {0}};
	static struct client clients[2];
	const char *addresses[] = {relay_address, other.address};

	raw_server_play(&server, answers);
	for (int ms = 0; ms < for_ms; ms += EVERY_MS) {
		for (int i = 0; i < 2; i++)
			start_at(
			    &clients[i], addresses[i], "GET", "/look/a", "k1");
		run_for(EVERY_MS);
		for (int i = 0; i < 2; i++) {
			wait_for(&clients[i]);
			ld_buf_free(&clients[i].body);
		}
	}
}

/* The first relay reaches no server, and forwards to the other. */
static void
test_a_cut_head_behind_another_node_is_no_success(void)
{
	other = start_second_relay();
	/* The new relay is settled. */
	run_for(SETTLED_MS);
	put_in(other.store, server.entry.address, 0);
	put_in(store, server.entry.address, 0);
	press(ISOLATED_MS);
	put_in(store, "127.0.0.1:1", 1);
	press(ISOLATED_MS);
	CU_ASSERT(relay_counter("ld_relay_forwarded_total") > 0);
	for (size_t n = 5; n < strlen(WITH_LENGTH); n += 4 * (size_t)STRIDE) {
		unsigned long before =
		    relay_counter("ld_relay_forwarded_total");
		struct client c;

		press(DOUBT_MS);
		play_cut(WITH_LENGTH, n, RAW_CLOSE);
		c = call("POST", "/book/a", "k1");
		CU_ASSERT_EQUAL(c.code, 502);
		CU_ASSERT_EQUAL(server.requests, 1);
		CU_ASSERT(relay_counter("ld_relay_forwarded_total") > before);
		ld_buf_free(&c.body);
	}
	for (size_t i = 0; i < NO_STATUS; i += NO_STATUS / 2) {
		const char *bytes =
		    with_status_line(no_status[i], WITH_LENGTH "body");
		struct client c;

		press(DOUBT_MS);
		play_cut(bytes, strlen(bytes), RAW_CLOSE);
		c = call("POST", "/book/a", "k1");
		CU_ASSERT_EQUAL(c.code, 502);
		CU_ASSERT_FALSE(c.is_signed);
		CU_ASSERT_EQUAL(server.requests, 1);
		ld_buf_free(&c.body);
	}
	close_second_relay(&other);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
	raw_server_close(&server);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a head cut at any byte is no answer",
		test_a_head_cut_at_any_byte_is_no_answer},
	    {"the same on a kept connection",
		test_the_same_on_a_kept_connection},
	    {"a status out of range is no answer",
		test_a_status_out_of_range_is_no_answer},
	    {"a status out of range is no answer of the store",
		test_a_status_out_of_range_is_no_answer_of_the_store},
	    {"a client gets no success for a cut head",
		test_a_client_gets_no_success_for_a_cut_head},
	    {"a client gets no status out of range",
		test_a_client_gets_no_status_out_of_range},
	    {"a begun stream does not go on with such a status",
		test_a_begun_stream_does_not_go_on_with_such_a_status},
	    {"a begun stream does not end with a cut head",
		test_a_begun_stream_does_not_end_with_a_cut_head},
	    {"a cut head behind another node is no success",
		test_a_cut_head_behind_another_node_is_no_success},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "cut heads", cases);
}
