/* Servers that write an earlier answer once more on a kept connection. */
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "ld_raw_server.h"
#include "ld_relay_session.h"

#define REFUSAL(more)                                               \
	"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" \
	"Content-Length: 4\r\n" more "\r\nfull"
#define ANSWER(id, body)                       \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " id \
	"\r\nX-Server-Signature: s\r\nContent-Length: 4\r\n\r\n" body
#define FAILURE                                           \
	"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n" \
	"X-Server-Signature: s\r\n\r\nnone"
/* The relay's doubts about a server expire, ms. */
#define DOUBT_MS 600
/* How long the server runs a request: longer than it is doubted, ms. */
#define RUNS_MS 900
/* A relay takes the control lease, and orders a free server into a group, ms. */
#define ORDER_WITHIN_MS 15000

static struct raw_server faulty;

static struct client
attempt(const char *method, const char *path, const char *id)
{
	struct client *c = ld_alloc(sizeof(*c)), out;

	start_attempt_at(c, relay_address, method, path, id);
	wait_for(c);
	out = *c;
	free(c);
	return out;
}

static void
check_attempt(const char *path, const char *id, long code, const char *body)
{
	struct client c = attempt("GET", path, id);

	CU_ASSERT_EQUAL(c.code, code);
	if (body != NULL)
		CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&c.body), body);
	ld_buf_free(&c.body);
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_a_copy_on_an_idle_connection_answers_nothing(void)
{
	static const char *const copies[] = {
	    REFUSAL(""), REFUSAL("X-Attempt-Id: a1\r\n"), ANSWER("a1", "copy")};

	open_all(relay_program);
	raw_server_open(&faulty, session_loop(), "f-1");
	wait_until_serving();
	list_servers(&faulty.entry, false);
	for (size_t i = 0; i < sizeof(copies) / sizeof(copies[0]); i++) {
		const struct raw_step script[] = {
		    {0, 0, ANSWER("a1", "body"), RAW_KEEP},
		    {0, 50, copies[i], RAW_KEEP},
		    {1, 0, ANSWER("a2", "next"), RAW_KEEP},
		    {0},
		};

		raw_server_play(&faulty, script);
		check_attempt("/look/a", "a1", 200, "body");
		run_for(DOUBT_MS);
		check_attempt("/look/a", "a2", 200, "next");
		CU_ASSERT_EQUAL(faulty.requests, 2);
		run_for(DOUBT_MS);
	}
}

/* The server is running the request when the relay reads the copy. */
static void
check_copy_after_the_request(const char *copy, const char *path)
{
	const struct raw_step script[] = {
	    {0, 0, ANSWER("a1", "body"), RAW_KEEP},
	    {1, 0, copy, RAW_KEEP},
	    {1, RUNS_MS, ANSWER("a2", "ran!"), RAW_KEEP},
	    {2, RUNS_MS, ANSWER("a3", "next"), RAW_KEEP},
	    {0},
	};

	raw_server_play(&faulty, script);
	check_attempt("/look/a", "a1", 200, "body");
	check_attempt(path, "a2", 502, NULL);
	run_for(DOUBT_MS);
	check_attempt(path, "a3", 200, "next");
	CU_ASSERT_EQUAL(faulty.requests, 3);
	run_for(DOUBT_MS);
}

static void
test_a_copied_refusal_is_not_the_running_requests(void)
{
	check_copy_after_the_request(REFUSAL(""), "/look/a");
	check_copy_after_the_request(
	    REFUSAL("X-Attempt-Id: a1\r\n"), "/look/a");
}

static void
test_a_copied_failure_is_not_the_running_requests(void)
{
	check_copy_after_the_request(FAILURE, "/look/a");
}

static void
test_an_answer_after_a_copy_is_not_the_next_requests(void)
{
	check_copy_after_the_request(ANSWER("a1", "copy"), "/look/a");
}

static void
test_requests_that_run_once_use_connections_of_their_own(void)
{
	static const struct raw_step script[] = {
	    {0, 0, ANSWER("a1", "body"), RAW_KEEP},
	    {0, 50, REFUSAL(""), RAW_KEEP},
	    {1, 0, ANSWER("a2", "ran!") REFUSAL(""), RAW_KEEP},
	    {1, 50, REFUSAL(""), RAW_KEEP},
	    {2, 0, ANSWER("a3", "next"), RAW_KEEP},
	    {0},
	};
	unsigned int connections;
	struct client c;

	raw_server_play(&faulty, script);
	check_attempt("/look/a", "a1", 200, "body");
	connections = faulty.connections;
	for (int i = 0; i < 2; i++) {
		c = attempt("POST", "/book/a", i == 0 ? "a2" : "a3");
		CU_ASSERT_EQUAL(c.code, 200);
		CU_ASSERT_STRING_EQUAL(
		    ld_buf_cstr(&c.body), i == 0 ? "ran!" : "next");
		ld_buf_free(&c.body);
	}
	CU_ASSERT_EQUAL(faulty.requests, 3);
	CU_ASSERT_EQUAL(faulty.connections, connections + 2);
	run_for(DOUBT_MS);
}

/* Review/7: a copy was taken for the answer to an order, which the server carried
 * out late. */
static void
test_orders_use_connections_of_their_own(void)
{
	static const struct raw_step script[] = {
	    {0, 0, ANSWER("a1", "body"), RAW_KEEP},
	    {1, 0, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
		RAW_KEEP},
	    {0},
	};
	char value[512];

	raw_server_play(&faulty, script);
	check_attempt("/look/a", "a1", 200, "body");
	CU_ASSERT_EQUAL(faulty.requests, 1);
	faulty.connections = 0;
	relay_service_settings =
	    ",\"engine\":{\"slots\":6,\"step_ms\":6,\"per_seq_ms\":0.1,"
	    "\"read_per_s\":56000,\"chunk\":512,\"stride\":6,"
	    "\"loads_per_s\":100,\"loads_at_once\":10,\"usual\":{\"answer\":9},"
	    "\"models\":[{\"name\":\"m0\",\"size\":1,\"share\":1,"
	    "\"pace\":1,\"load_s\":1,\"warm_s\":1}]}";
	snprintf(value, sizeof(value),
	    "{\"service\":\"desk\",\"address\":\"%s\",\"zone\":\"z1\","
	    "\"slots\":6,\"state\":\"ready\",\"version\":\"v1\","
	    "\"warmup_left_ms\":0,\"sequence\":1,\"domain\":\"d1\"}",
	    faulty.entry.address);
	ld_kv_store_put(store, "servers/f-1", value);
	put_config(90, "\"k1\"", "1");
	for (int ms = 0; ms < ORDER_WITHIN_MS && faulty.requests < 3; ms += 10)
		run_for(10);
	CU_ASSERT_FATAL(faulty.requests >= 3);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(faulty.last_request, "POST /lavenderdrift/order "));
	CU_ASSERT_EQUAL(faulty.connections, faulty.requests - 1);
}

static void
test_end(void)
{
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
	raw_server_close(&faulty);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"a copy on an idle connection answers nothing",
		test_a_copy_on_an_idle_connection_answers_nothing},
	    {"a copied refusal is not the running request's",
		test_a_copied_refusal_is_not_the_running_requests},
	    {"a copied failure is not the running request's",
		test_a_copied_failure_is_not_the_running_requests},
	    {"an answer after a copy is not the next request's",
		test_an_answer_after_a_copy_is_not_the_next_requests},
	    {"requests that run once use connections of their own",
		test_requests_that_run_once_use_connections_of_their_own},
	    {"orders use connections of their own",
		test_orders_use_connections_of_their_own},
	    {"the relay stops", test_end},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "repeated answers", cases);
}
