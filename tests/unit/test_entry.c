/* The HTTP listener and client on one event loop, and the SSE parser. */
#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ld_backend.h"
#include "ld_entry.h"
#include "ld_test.h"

#define HOST "127.77.9.1"
#define PORT 8099
#define URL "http://127.77.9.1:8099"
#define MAX_BODY 1000
#define DEADLINE_MS 20000

/** struct bench - one listener, one client, and their results */
struct bench {
	struct ld_handler handler;
	struct ld_http_sink sink;
	struct ld_loop *loop;
	struct ld_http *http;
	struct ld_listener *listener;
	struct ld_http_call *call;
	struct ld_exchange *open;
	struct ld_buf body;
	struct ld_http_result result;
	unsigned int gone;
	unsigned int requests;
	bool done;
	bool nest; /* start another call from inside the body callback */
};

static struct bench *bench;

static void send_request(
    const char *url, const char *method, struct ld_str body);
static struct ld_timer watchdog;

static void
on_watchdog(struct ld_timer *t, uint64_t now_ms)
{
	ld_loop_stop(bench->loop);
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	const char *path = ld_exchange_path(x);

	bench->requests++;
	if (strcmp(path, "/echo") == 0) {
		ld_exchange_answer(
		    x, 200, "text/plain", NULL, ld_exchange_body(x));
	} else if (strcmp(path, "/target") == 0) {
		ld_exchange_answer(x, 200, "text/plain", NULL,
		    ld_str_c(ld_exchange_target(x)));
	} else if (strcmp(path, "/stream") == 0) {
		ld_exchange_begin(x, 200, "text/event-stream");
		ld_exchange_write(x, LD_STR("data: a\n\n"));
		bench->open = x;
	} else {
		bench->open = x; /* never answered */
	}
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
	bench->gone++;
	bench->open = NULL;
	ld_loop_stop(bench->loop);
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	ld_buf_adds(&bench->body, bytes);
	if (bench->nest) {
		bench->nest = false;
		ld_http_cancel(bench->call);
		send_request(URL "/echo", "POST", LD_STR("nested"));
		return;
	}
	if (bench->open == NULL)
		return;
	ld_exchange_write(bench->open, LD_STR("data: [DONE]\n\n"));
	ld_exchange_end(bench->open);
	bench->open = NULL;
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	bench->result = *r;
	bench->done = true;
	bench->call = NULL;
	ld_loop_stop(bench->loop);
}

static void
bench_open(void)
{
	static const struct ld_handler_ops handler_ops = {
	    .request = on_request, .client_disconnected = on_gone};
	static const struct ld_http_sink_ops sink_ops = {
	    .body = on_body, .done = on_done};
	struct ld_listener_config config = {.host = HOST,
	    .port = PORT,
	    .max_body_bytes = MAX_BODY,
	    .max_connections = 16,
	    .idle_timeout_ms = 60000,
	    .head_timeout_ms = 60000};

	bench = ld_alloc(sizeof(*bench));
	bench->handler.ops = &handler_ops;
	bench->sink.ops = &sink_ops;
	bench->loop = ld_loop_new();
	bench->http = ld_http_new(bench->loop);
	CU_ASSERT_EQUAL_FATAL(ld_listener_new(bench->loop, &config,
				  &bench->handler, &bench->listener),
	    LD_OK);
	watchdog.fn = on_watchdog;
	ld_timer_after(ld_loop_timers(bench->loop), &watchdog, DEADLINE_MS);
}

static void
bench_close(void)
{
	ld_timer_stop(ld_loop_timers(bench->loop), &watchdog);
	ld_http_free(bench->http);
	ld_listener_free(bench->listener);
	ld_loop_free(bench->loop);
	ld_buf_free(&bench->body);
	free(bench);
}

static void
send_request(const char *url, const char *method, struct ld_str body)
{
	struct ld_http_request rq = {
	    .method = method, .url = url, .body = body};

	bench->done = false;
	bench->body.len = 0;
	bench->call = ld_http_start(bench->http, &rq, &bench->sink);
	CU_ASSERT_PTR_NOT_NULL_FATAL(bench->call);
}

static void
test_whole_answers(void)
{
	bench_open();
	for (int i = 0; i < 3; i++) {
		send_request(URL "/echo", "POST", LD_STR("hello"));
		ld_loop_run(bench->loop);
		CU_ASSERT_TRUE(bench->done);
		CU_ASSERT_EQUAL(bench->result.code, 200);
		CU_ASSERT_TRUE(bench->result.sent);
		CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&bench->body), "hello");
	}
	send_request(URL "/target?a=1&b=%20", "GET", ld_str_c(NULL));
	ld_loop_run(bench->loop);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&bench->body), "/target?a=1&b=%20");
	CU_ASSERT_EQUAL(bench->gone, 0);
	bench_close();
}

/* Resuming a broken stream starts a call inside the body callback. */
static void
test_call_starts_inside_a_callback(void)
{
	bench_open();
	bench->nest = true;
	send_request(URL "/echo", "POST", LD_STR("outer"));
	ld_loop_run(bench->loop);
	CU_ASSERT_TRUE(bench->done);
	CU_ASSERT_EQUAL(bench->result.code, 200);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&bench->body), "nested");
	bench_close();
}

static void
test_stream_ends_whole(void)
{
	bench_open();
	send_request(URL "/stream", "GET", ld_str_c(NULL));
	ld_loop_run(bench->loop);
	CU_ASSERT_TRUE(bench->done);
	CU_ASSERT_EQUAL(bench->result.status, LD_OK);
	CU_ASSERT_STRING_EQUAL(
	    ld_buf_cstr(&bench->body), "data: a\n\ndata: [DONE]\n\n");
	bench_close();
}

static void
test_hang_up_is_noticed_while_waiting(void)
{
	bench_open();
	send_request(URL "/never", "POST", LD_STR("x"));
	while (bench->requests == 0)
		ld_timers_advance(
		    ld_loop_timers(bench->loop), ld_loop_now(bench->loop)),
		    ev_run(ld_loop_ev(bench->loop), EVRUN_ONCE);
	ld_http_cancel(bench->call);
	ld_loop_run(bench->loop);
	CU_ASSERT_EQUAL(bench->gone, 1);
	CU_ASSERT_PTR_NULL(bench->open);
	bench_close();
}

/* A request that was read while the listener closed ended the process. */
static void
check_request_beside_close(const char *path)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(PORT)};
	char text[96];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int n = snprintf(
	    text, sizeof(text), "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);

	bench_open();
	inet_pton(AF_INET, HOST, &a.sin_addr);
	CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	for (int i = 0; i < 50; i++) {
		ev_run(ld_loop_ev(bench->loop), EVRUN_NOWAIT);
		usleep(1000);
	}
	CU_ASSERT_EQUAL(ld_listener_connections(bench->listener), 1);
	CU_ASSERT_EQUAL(send(fd, text, (size_t)n, MSG_NOSIGNAL), n);
	usleep(10000);
	ld_listener_free(bench->listener);
	bench->listener = NULL;
	CU_ASSERT_EQUAL(bench->requests, 1);
	CU_ASSERT_EQUAL(bench->gone, 1);
	CU_ASSERT_PTR_NULL(bench->open);
	close(fd);
	bench_close();
}

static void
test_request_beside_the_close(void)
{
	check_request_beside_close("/never");
	check_request_beside_close("/stream");
}

static void
test_large_body_is_refused(void)
{
	static char big[MAX_BODY + 1];

	bench_open();
	memset(big, 'x', sizeof(big));
	send_request(URL "/echo", "POST", (struct ld_str){big, sizeof(big)});
	ld_loop_run(bench->loop);
	CU_ASSERT_TRUE(bench->done);
	CU_ASSERT_EQUAL(bench->result.code, 413);
	CU_ASSERT_EQUAL(bench->requests, 0);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(ld_buf_cstr(&bench->body), "\"ran\":\"no\""));
	bench_close();
}

static void
test_no_listener_is_surely_not_sent(void)
{
	bench_open();
	send_request("http://" HOST ":9", "POST", LD_STR("x"));
	ld_loop_run(bench->loop);
	CU_ASSERT_EQUAL(bench->result.status, LD_E_UNAVAILABLE);
	CU_ASSERT_FALSE(bench->result.sent);
	CU_ASSERT(bench->result.refused);
	bench_close();
}

/* ---- Events split at any byte ---- */

static void
test_events_split_anywhere(void)
{
	static const char text[] =
	    ": ping\n\ndata: {\"a\":1}\n\nevent: x\r\ndata: two\r\n\r\n"
	    "data:[DONE]\n\n";
	static const char expected[] = "<><{\"a\":1}><two><[DONE]>";

	for (size_t cut = 0; cut < sizeof(text); cut++) {
		struct ld_str parts[] = {
		    {text, cut}, {text + cut, sizeof(text) - 1 - cut}};
		struct ld_str event, data;
		struct ld_buf seen = {0};
		struct ld_sse sse = {.max_event_bytes = sizeof(text)};

		if (cut == sizeof(text) - 1)
			parts[1].len = 0;
		for (int i = 0; i < 2; i++) {
			ld_sse_feed(&sse, parts[i]);
			while (ld_sse_next(&sse, &event) == LD_OK) {
				if (!ld_sse_data(event, &data))
					data = LD_STR("");
				ld_buf_printf(&seen, "<%.*s>", LD_FMT(data));
			}
		}
		CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&seen), expected);
		ld_buf_free(&seen);
		ld_sse_free(&sse);
	}
}

/* A keyed request may retry one that ran: "no" requires reading the claims. */
static void
test_not_run_of_a_keyed_request(void)
{
	struct ld_problem refused = {.code = 429, .ran = LD_RAN_NO};
	struct ld_problem read = {
	    .code = 503, .ran = LD_RAN_NO, .no_earlier_request_ran = true};
	struct ld_problem sent = {
	    .code = 502, .ran = LD_RAN_UNKNOWN, .no_earlier_request_ran = true};
	struct ld_problem ran = {.code = 409, .ran = LD_RAN_YES};

	CU_ASSERT_EQUAL(ld_problem_ran(&refused, false), LD_RAN_NO);
	CU_ASSERT_EQUAL(ld_problem_ran(&refused, true), LD_RAN_UNKNOWN);
	CU_ASSERT_EQUAL(ld_problem_ran(&read, true), LD_RAN_NO);
	CU_ASSERT_EQUAL(ld_problem_ran(&sent, true), LD_RAN_UNKNOWN);
	CU_ASSERT_EQUAL(ld_problem_ran(&sent, false), LD_RAN_UNKNOWN);
	CU_ASSERT_EQUAL(ld_problem_ran(&ran, true), LD_RAN_YES);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"whole answers", test_whole_answers},
	    {"a stream ends whole", test_stream_ends_whole},
	    {"a call starts inside a callback",
		test_call_starts_inside_a_callback},
	    {"a hang-up is noticed while waiting",
		test_hang_up_is_noticed_while_waiting},
	    {"a request beside the close", test_request_beside_the_close},
	    {"a large body is refused", test_large_body_is_refused},
	    {"no listener: surely not sent",
		test_no_listener_is_surely_not_sent},
	    {"events split anywhere", test_events_split_anywhere},
	    {"not run of a keyed request", test_not_run_of_a_keyed_request},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("entry", cases);
}
