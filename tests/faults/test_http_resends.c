/* Requests that reach a server more often than their caller has sent them. */
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "ld_backend.h"
#include "ld_raw_server.h"
#include "ld_relay_session.h"
#include "ld_session.h"
#include "ld_store.h"

#define ANSWER                                               \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " RELAY_REQUEST_ID \
	"\r\nX-Server-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
#define KEPT_MAX 8
#define ANSWER_AFTER_MS 20
#define TIMEOUT_MS 2000
/* The relay's doubts about a server expire, ms. */
#define DOUBT_MS 600

static struct raw_server server;

/** struct caller - one call of lib/http */
struct caller {
	struct ld_http_sink sink;
	struct ld_http_result result;
	bool done;
};

/** struct bench - a client of its own, and the server */
struct bench {
	struct ld_loop *loop;
	struct ld_http *http;
	bool done;
	enum ld_status status;
};

static void
ignore_body(struct ld_http_sink *sink, struct ld_str bytes)
{
}

static void
caller_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct caller *c = (struct caller *)sink;

	c->result = *result;
	c->done = true;
}

static void
start_call(struct bench *b, struct caller *c, const char *method)
{
	static const struct ld_http_sink_ops ops = {
	    .body = ignore_body, .done = caller_done};
	char url[64];
	struct ld_http_request rq = {
	    .method = method, .url = url, .total_timeout_ms = TIMEOUT_MS};

	if (strcmp(method, "POST") == 0)
		rq.body = LD_STR("x=1");
	snprintf(url, sizeof(url), "http://%s/a", server.entry.address);
	*c = (struct caller){.sink = {&ops}};
	CU_ASSERT_PTR_NOT_NULL_FATAL(ld_http_start(b->http, &rq, &c->sink));
}

static void
run_until(struct bench *b, const bool *done)
{
	for (int i = 0; i < TIMEOUT_MS && !*done; i++)
		ld_loop_run_for(b->loop, 1);
	CU_ASSERT_FATAL(*done);
}

/* Leaves @kept idle connections; what comes next gets @end and no byte. */
static void
bench_open(struct bench *b, unsigned int kept, enum raw_end end)
{
	static struct raw_step script[KEPT_MAX + 2];
	struct caller calls[KEPT_MAX];

	*b = (struct bench){.loop = ld_loop_new()};
	b->http = ld_http_new(b->loop);
	memset(&server, 0, sizeof(server));
	raw_server_open(&server, b->loop, "s-1");
	for (unsigned int i = 0; i < kept; i++)
		script[i] =
		    (struct raw_step){i, ANSWER_AFTER_MS, ANSWER, RAW_KEEP};
	script[kept] = (struct raw_step){kept, 0, "", end};
	script[kept + 1] = (struct raw_step){0};
	raw_server_play(&server, script);
	for (unsigned int i = 0; i < kept; i++)
		start_call(b, &calls[i], "GET");
	for (unsigned int i = 0; i < kept; i++) {
		run_until(b, &calls[i].done);
		CU_ASSERT_EQUAL(calls[i].result.status, LD_OK);
	}
	CU_ASSERT_EQUAL(server.connections, kept);
	server.requests = kept;
}

static void
bench_close(struct bench *b)
{
	raw_server_close(&server);
	ld_http_free(b->http);
	ld_loop_free(b->loop);
}

static void
check_arrives_once(const char *method, unsigned int kept, enum raw_end end)
{
	struct bench b;
	struct caller c, next;

	bench_open(&b, kept, end);
	start_call(&b, &c, method);
	run_until(&b, &c.done);
	ld_loop_run_for(b.loop, 50);
	CU_ASSERT_EQUAL(server.requests, kept + 1);
	CU_ASSERT_EQUAL(server.connections, kept);
	CU_ASSERT_EQUAL(c.result.status, LD_E_CLOSED);
	CU_ASSERT_TRUE(c.result.sent);
	CU_ASSERT_TRUE(c.result.reused);
	/* The other kept connections are as good as before. */
	raw_server_play(
	    &server, (const struct raw_step[]){{0, 0, ANSWER, RAW_KEEP}, {0}});
	start_call(&b, &next, method);
	run_until(&b, &next.done);
	CU_ASSERT_EQUAL(next.result.status, LD_OK);
	CU_ASSERT_EQUAL(server.requests, 1);
	CU_ASSERT_EQUAL(server.connections, kept > 1 ? 0U : 1U);
	bench_close(&b);
}

static void
test_a_reset_connection_gets_one_request(void)
{
	static const unsigned int kept[] = {1, 2, KEPT_MAX};

	for (size_t i = 0; i < sizeof(kept) / sizeof(kept[0]); i++) {
		check_arrives_once("GET", kept[i], RAW_RESET);
		check_arrives_once("POST", kept[i], RAW_RESET);
	}
}

static void
test_a_closed_connection_gets_one_request(void)
{
	check_arrives_once("GET", 1, RAW_CLOSE);
	check_arrives_once("POST", KEPT_MAX, RAW_CLOSE);
}

/* Closed while it was idle: nothing was sent, and the call goes on. */
static void
test_a_call_leaves_a_connection_that_ended_before(void)
{
	struct bench b;
	struct caller c;

	bench_open(&b, 1, RAW_CLOSE);
	for (size_t i = 0; i < RAW_CONNECTIONS_MAX; i++)
		if (server.connection[i].server != NULL)
			shutdown(server.connection[i].io.fd, SHUT_WR);
	ld_loop_run_for(b.loop, 20);
	raw_server_play(
	    &server, (const struct raw_step[]){{0, 0, ANSWER, RAW_KEEP}, {0}});
	start_call(&b, &c, "POST");
	run_until(&b, &c.done);
	CU_ASSERT_EQUAL(c.result.status, LD_OK);
	CU_ASSERT_FALSE(c.result.reused);
	CU_ASSERT_EQUAL(server.requests, 1);
	bench_close(&b);
}

/* ---- The calls of the product's own interface ---- */

static void
service_done(void *owner, const struct ld_http_result *r,
    struct ld_str content_type, struct ld_str body)
{
	struct bench *b = owner;

	b->status = r->status;
	b->done = true;
}

static void
engine_done(void *owner, const struct ld_http_result *r, bool finished,
    struct ld_str content_type, struct ld_str body)
{
	service_done(owner, r, content_type, body);
}

static void
engine_token(void *owner, struct ld_str event)
{
}

static void
check_arrived_once(struct bench *b)
{
	run_until(b, &b->done);
	ld_loop_run_for(b->loop, 50);
	CU_ASSERT_NOT_EQUAL(b->status, LD_OK);
	CU_ASSERT_EQUAL(server.requests, KEPT_MAX + 1);
	bench_close(b);
}

static void
test_a_call_of_a_service_arrives_once(void)
{
	static const struct ld_service_ops ops = {.done = service_done};
	struct bench b;
	struct ld_service_request rq = {.address = server.entry.address,
	    .method = "POST",
	    .target = "/a",
	    .request_id = "r1",
	    .body = LD_STR("x=1"),
	    .idempotent = true,
	    .total_timeout_ms = TIMEOUT_MS};

	bench_open(&b, KEPT_MAX, RAW_RESET);
	CU_ASSERT_PTR_NOT_NULL_FATAL(ld_service_start(b.http, &rq, &ops, &b));
	check_arrived_once(&b);
}

static void
test_a_call_of_an_engine_arrives_once(void)
{
	static const struct ld_engine_ops ops = {
	    .token = engine_token, .done = engine_done};
	struct bench b;
	struct ld_engine_request rq = {.address = server.entry.address,
	    .path = "/v1/completions",
	    .request_id = "r1",
	    .replica = "g1",
	    .epoch = 1,
	    .stream = true,
	    .body = LD_STR("{}"),
	    .total_timeout_ms = TIMEOUT_MS};

	bench_open(&b, KEPT_MAX, RAW_RESET);
	CU_ASSERT_PTR_NOT_NULL_FATAL(ld_engine_start(b.http, &rq, &ops, &b));
	check_arrived_once(&b);
}

/* ---- The store ---- */

/** struct store_caller - one call of the store */
struct store_caller {
	struct ld_store_call call; /* first member */
	struct bench *bench;
};

static void
store_done(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct bench *b = ((struct store_caller *)call)->bench;

	b->status = a->status;
	b->done = true;
}

/* Its caller decides on each further attempt, within the node's budget. */
static void
test_a_read_of_the_store_arrives_once(void)
{
	const char *endpoints[] = {server.entry.address};
	struct ld_store_settings settings = ld_store_defaults();
	struct ld_store *s;
	struct bench b;
	struct store_caller c = {.call = {.done = store_done}, .bench = &b};

	settings.endpoints = endpoints;
	settings.n_endpoints = 1;
	bench_open(&b, KEPT_MAX, RAW_RESET);
	s = ld_store_new(b.loop, b.http, &settings, NULL);
	ld_store_read(s, &c.call, LD_STR("k"));
	run_until(&b, &b.done);
	ld_loop_run_for(b.loop, 50);
	CU_ASSERT_NOT_EQUAL(b.status, LD_OK);
	CU_ASSERT_EQUAL(server.requests, KEPT_MAX + 1);
	ld_store_free(s);
	bench_close(&b);
}

/* ---- The relay ---- */

/* Leaves idle connections of the relay to the server. */
static void
keep_connections(unsigned int n)
{
	static struct raw_step script[KEPT_MAX + 1];
	struct client calls[KEPT_MAX];

	for (unsigned int i = 0; i < n; i++)
		script[i] =
		    (struct raw_step){i, ANSWER_AFTER_MS, ANSWER, RAW_KEEP};
	script[n] = (struct raw_step){0};
	raw_server_play(&server, script);
	for (unsigned int i = 0; i < n; i++)
		start_at(&calls[i], relay_address, "GET", "/look/a", "k1");
	for (unsigned int i = 0; i < n; i++) {
		wait_for(&calls[i]);
		CU_ASSERT_EQUAL(calls[i].code, 200);
		ld_buf_free(&calls[i].body);
	}
}

static void
check_each_arrival_is_a_send(const char *method, const char *path)
{
	static const struct raw_step resets[] = {{0, 0, "", RAW_RESET}, {0}};
	unsigned long sends;

	keep_connections(KEPT_MAX);
	sends = relay_counter("ld_relay_sends_total");
	raw_server_play(&server, resets);
	CU_ASSERT_EQUAL(code_of(method, path, "k1"), 502);
	run_for(DOUBT_MS);
	CU_ASSERT_EQUAL(
	    server.requests, relay_counter("ld_relay_sends_total") - sends);
}

static void
test_each_arrival_of_a_request_is_a_send_of_the_relay(void)
{
	memset(&server, 0, sizeof(server));
	open_all(relay_program);
	raw_server_open(&server, session_loop(), "u-1");
	wait_until_serving();
	list_servers(&server.entry, false);
	check_each_arrival_is_a_send("GET", "/look/a");
	check_each_arrival_is_a_send("POST", "/look/a");
	check_each_arrival_is_a_send("POST", "/events/a");
	check_each_arrival_is_a_send("POST", "/book/a");
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, 0), relay);
	raw_server_close(&server);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a reset connection gets one request",
		test_a_reset_connection_gets_one_request},
	    {"a closed connection gets one request",
		test_a_closed_connection_gets_one_request},
	    {"a call leaves a connection that ended before",
		test_a_call_leaves_a_connection_that_ended_before},
	    {"a call of a service arrives once",
		test_a_call_of_a_service_arrives_once},
	    {"a call of an engine arrives once",
		test_a_call_of_an_engine_arrives_once},
	    {"a read of the store arrives once",
		test_a_read_of_the_store_arrives_once},
	    {"each arrival of a request is a send of the relay",
		test_each_arrival_of_a_request_is_a_send_of_the_relay},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "http resends", cases);
}
