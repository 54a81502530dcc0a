/*
 * Kept connections around their time-outs and changes of the bounds: a request that
 * was sent in time is answered, however late the listener's loop runs.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ld_entry.h"
#include "ld_ports.h"
#include "ld_test.h"

#define HOST "127.0.0.1"
#define IDLE_MS 2000
#define HEAD_MS 2000
#define LONG_MS 6000
#define MAX_BODY 4000
/* Longer than all time-outs and the interval of their checks, ms. */
#define LATE_MS 4500
#define HALF_BYTES ((size_t)500)

/** struct bench - a listener, and one client with a plain socket */
struct bench {
	struct ld_handler handler; /* first member */
	struct ld_loop *loop;
	struct ld_listener *listener;
	unsigned int requests;
	int fd;
	char answer[4096];
};

static struct bench b;

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	b.requests++;
	ld_exchange_answer(x, 200, "text/plain", NULL, LD_STR("ok"));
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
}

static void
bench_open(uint64_t idle_ms)
{
	static const struct ld_handler_ops ops = {
	    .request = on_request, .client_disconnected = on_gone};
	struct ld_listener_config c = {.host = HOST,
	    .port = ld_free_port(),
	    .max_body_bytes = MAX_BODY,
	    .max_connections = 16,
	    .idle_timeout_ms = idle_ms,
	    .head_timeout_ms = HEAD_MS};
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_port = htons(c.port)};

	b = (struct bench){.handler = {&ops}};
	b.loop = ld_loop_new();
	CU_ASSERT_EQUAL_FATAL(
	    ld_listener_new(b.loop, &c, &b.handler, &b.listener), LD_OK);
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	b.fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    connect(b.fd, (struct sockaddr *)&a, sizeof(a)), 0);
}

static void
bench_close(void)
{
	close(b.fd);
	ld_listener_free(b.listener);
	ld_loop_free(b.loop);
}

static void
on_stop(struct ld_timer *t, uint64_t now_ms)
{
	ld_loop_stop(b.loop);
}

static void
run_for(uint64_t ms)
{
	struct ld_timer stop = {.fn = on_stop};

	ld_timer_after(ld_loop_timers(b.loop), &stop, ms);
	ld_loop_run(b.loop);
	ld_timer_stop(ld_loop_timers(b.loop), &stop);
}

/* The loop doesn't run: a turn that takes long. */
static void
hold_up(uint64_t ms)
{
	usleep((useconds_t)ms * 1000);
}

static void
send_text(const char *text)
{
	size_t n = strlen(text);

	CU_ASSERT_EQUAL(send(b.fd, text, n, MSG_NOSIGNAL), (ssize_t)n);
}

static void
send_head(size_t body_bytes)
{
	char head[128];

	snprintf(head, sizeof(head),
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
	    body_bytes);
	send_text(head);
}

static void
send_bytes(size_t n)
{
	char bytes[MAX_BODY + 1];

	memset(bytes, 'x', n);
	bytes[n] = '\0';
	send_text(bytes);
}

/* Status of the next answer, 0 if the connection ended without one. */
static int
answer_code(void)
{
	for (int i = 0; i < 100; i++) {
		ssize_t n =
		    recv(b.fd, b.answer, sizeof(b.answer) - 1, MSG_DONTWAIT);

		if (n >= 0) {
			b.answer[n] = '\0';
			return n > 12 ? atoi(b.answer + 9) : 0;
		}
		run_for(10);
	}
	return 0;
}

static void
serve_one(void)
{
	send_head(0);
	CU_ASSERT_EQUAL(answer_code(), 200);
}

static void
set_idle(uint64_t idle_ms)
{
	ld_listener_set_bounds(b.listener, 0, MAX_BODY, idle_ms, HEAD_MS);
}

static void
test_request_before_the_idle_timeout_is_answered_by_a_late_loop(void)
{
	bench_open(IDLE_MS);
	serve_one();
	run_for(IDLE_MS / 2);
	send_head(0);
	hold_up(LATE_MS);
	CU_ASSERT_EQUAL(answer_code(), 200);
	CU_ASSERT_EQUAL(b.requests, 2);
	bench_close();
}

static void
test_body_before_its_timeout_is_read_by_a_late_loop(void)
{
	bench_open(IDLE_MS);
	send_head(2 * HALF_BYTES);
	send_bytes(HALF_BYTES);
	run_for(HEAD_MS / 2);
	send_bytes(HALF_BYTES);
	hold_up(LATE_MS);
	CU_ASSERT_EQUAL(answer_code(), 200);
	bench_close();
}

static void
test_body_in_pieces_is_read_as_long_as_it_comes(void)
{
	bench_open(LONG_MS);
	send_head(5 * HALF_BYTES);
	for (int i = 0; i < 5; i++) {
		run_for(HEAD_MS / 2);
		send_bytes(HALF_BYTES);
	}
	CU_ASSERT_EQUAL(answer_code(), 200);
	bench_close();
}

static void
test_longer_idle_timeout_holds_for_open_connections(void)
{
	bench_open(IDLE_MS);
	serve_one();
	set_idle(LONG_MS);
	run_for(LONG_MS * 4 / 5);
	serve_one();
	bench_close();
}

static void
test_shorter_idle_timeout_closes_no_connection_early(void)
{
	bench_open(LONG_MS);
	serve_one();
	run_for(1000);
	set_idle(IDLE_MS);
	run_for(LONG_MS * 4 / 5 - 1000);
	serve_one();
	bench_close();
}

/* The body is within the bound that held as it began to come. */
static void
test_smaller_bound_of_bodies_is_answered(void)
{
	bench_open(LONG_MS);
	send_head(MAX_BODY);
	send_bytes(MAX_BODY / 2);
	run_for(50);
	ld_listener_set_bounds(b.listener, 0, 10, LONG_MS, HEAD_MS);
	send_bytes(MAX_BODY / 2);
	CU_ASSERT_EQUAL(answer_code(), 413);
	CU_ASSERT_EQUAL(b.requests, 0);
	bench_close();
}

static void
test_idle_and_slow_connections_are_closed(void)
{
	bench_open(IDLE_MS);
	serve_one();
	run_for(IDLE_MS + LATE_MS);
	CU_ASSERT_EQUAL(answer_code(), 0);
	bench_close();
	bench_open(IDLE_MS);
	send_head(HALF_BYTES);
	/* Longer than the time for the head and the idle time-out together. */
	for (int i = 0; i < 4; i++) {
		(void)send(b.fd, "x", 1, MSG_NOSIGNAL);
		run_for(HEAD_MS * 4 / 5);
	}
	CU_ASSERT_EQUAL(answer_code(), 0);
	CU_ASSERT_EQUAL(b.requests, 0);
	bench_close();
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a request before the idle timeout is answered by a late loop",
		test_request_before_the_idle_timeout_is_answered_by_a_late_loop},
	    {"a body before its timeout is read by a late loop",
		test_body_before_its_timeout_is_read_by_a_late_loop},
	    {"a body in pieces is read as long as it comes",
		test_body_in_pieces_is_read_as_long_as_it_comes},
	    {"a longer idle timeout holds for open connections",
		test_longer_idle_timeout_holds_for_open_connections},
	    {"a shorter idle timeout closes no connection early",
		test_shorter_idle_timeout_closes_no_connection_early},
	    {"a smaller bound of bodies is answered",
		test_smaller_bound_of_bodies_is_answered},
	    {"idle and slow connections are closed",
		test_idle_and_slow_connections_are_closed},
	    {NULL, NULL},
	};

	return ld_test_main("kept connections", cases);
}
