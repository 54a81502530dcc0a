/* Servers that send an endless head or body until the caller closes. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ld_backend.h"
#include "ld_session.h"
#include "ld_test.h"

/* Upper bound of the bytes that a server sends before it is cut off: the limits
 * of the client plus the buffers of two sockets. */
#define SENT_MAX_BYTES ((size_t)8 * 1024 * 1024)
#define MAX_BODY_BYTES 65536
#define TOTAL_TIMEOUT_MS 8000
/* It is cut off long before the call's time-out. */
#define ENDS_WITHIN_MS 3000

/** struct sender - sends @head once and @again without end */
struct sender {
	ev_io accepts;
	ev_io writes;
	struct ld_timer timer;
	struct ld_loop *loop;
	const char *head;
	const char *again;
	uint64_t every_ms; /* interval between @again, 0: as fast as possible */
	size_t sent;
	unsigned int connections;
	bool closed;
	char burst[65536];
	size_t burst_len;
};

/** struct taker - the caller's side */
struct taker {
	struct ld_http_sink sink;
	struct ld_http_result result;
	size_t bytes;
	bool done;
};

static struct ev_loop *
ev_of(struct sender *s)
{
	return ld_loop_ev(s->loop);
}

static void
send_bytes(struct sender *s, const char *p, size_t n)
{
	ssize_t r = send(s->writes.fd, p, n, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (r > 0)
		s->sent += (size_t)r;
	else if (r < 0 && errno != EAGAIN) {
		s->closed = true;
		ev_io_stop(ev_of(s), &s->writes);
	}
}

static void
on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct sender *s = w->data;

	send_bytes(s, s->burst, s->burst_len);
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct sender *s =
	    (struct sender *)((char *)t - offsetof(struct sender, timer));

	send_bytes(s, s->again, strlen(s->again));
	if (!s->closed)
		ld_timer_after(ld_loop_timers(s->loop), t, s->every_ms);
}

static void
on_connection(struct ev_loop *loop, ev_io *w, int events)
{
	struct sender *s = w->data;
	int fd = accept(w->fd, NULL, NULL);

	/* Only the first one is answered, so that any answer to a later request
	 * came from bytes on the first one. */
	if (s->connections++ > 0) {
		close(fd);
		return;
	}
	ev_io_init(&s->writes, on_writable, fd, EV_WRITE);
	s->writes.data = s;
	send_bytes(s, s->head, strlen(s->head));
	if (s->every_ms > 0)
		ld_timer_after(ld_loop_timers(s->loop), &s->timer, s->every_ms);
	else
		ev_io_start(ev_of(s), &s->writes);
}

static uint16_t
sender_open(struct sender *s)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t n = strlen(s->again);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_FATAL(bind(fd, (struct sockaddr *)&a, len) == 0 &&
	    listen(fd, 8) == 0 &&
	    getsockname(fd, (struct sockaddr *)&a, &len) == 0);
	while (s->burst_len + n <= sizeof(s->burst)) {
		memcpy(s->burst + s->burst_len, s->again, n);
		s->burst_len += n;
	}
	s->timer.fn = on_timer;
	ev_io_init(&s->accepts, on_connection, fd, EV_READ);
	s->accepts.data = s;
	ev_io_start(ev_of(s), &s->accepts);
	return ntohs(a.sin_port);
}

static void
sender_close(struct sender *s)
{
	ld_timer_stop(ld_loop_timers(s->loop), &s->timer);
	ev_io_stop(ev_of(s), &s->writes);
	ev_io_stop(ev_of(s), &s->accepts);
	close(s->writes.fd);
	close(s->accepts.fd);
}

static void
on_body(struct ld_http_sink *sink, struct ld_str bytes)
{
	((struct taker *)sink)->bytes += bytes.len;
}

static void
on_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct taker *t = (struct taker *)sink;

	t->result = *result;
	t->done = true;
}

static const struct ld_http_sink_ops ops = {.body = on_body, .done = on_done};

/* Runs one server to its end; returns the caller's result. */
static struct taker
play(const char *name, const char *head, const char *again, uint64_t every_ms)
{
	static struct sender s;
	struct ld_loop *loop = ld_loop_new();
	struct ld_http *h = ld_http_new(loop);
	struct taker t = {.sink = {&ops}};
	char url[64];
	struct ld_http_request rq = {
	    .method = "GET",
	    .url = url,
	    .total_timeout_ms = TOTAL_TIMEOUT_MS,
	    .max_body = MAX_BODY_BYTES,
	};

	memset(&s, 0, sizeof(s));
	s.loop = loop;
	s.head = head;
	s.again = again;
	s.every_ms = every_ms;
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", sender_open(&s));
	CU_ASSERT_PTR_NOT_NULL_FATAL(ld_http_start(h, &rq, &t.sink));
	for (int i = 0; i < 2 * TOTAL_TIMEOUT_MS && !t.done; i++)
		ld_loop_run_for(loop, 1);
	/* Extra bytes on a kept connection must not answer its next request. */
	if (t.result.status == LD_OK && !s.closed) {
		struct taker next = {.sink = {&ops}};

		CU_ASSERT_PTR_NOT_NULL_FATAL(ld_http_start(h, &rq, &next.sink));
		for (int i = 0; i < 2 * TOTAL_TIMEOUT_MS && !next.done; i++)
			ld_loop_run_for(loop, 1);
		CU_ASSERT(next.done && next.result.status != LD_OK);
		CU_ASSERT_EQUAL(next.bytes, 0);
	}
	/* The connection is closed at once: the server's next bytes fail. */
	for (int i = 0; i < 100 && !s.closed && every_ms == 0; i++)
		ld_loop_run_for(loop, 1);
	printf("%s: %s after %llu ms, %zu bytes sent, %zu taken\n", name,
	    ld_status_name(t.result.status), (unsigned long long)t.result.ms,
	    s.sent, t.bytes);
	CU_ASSERT(t.done);
	CU_ASSERT(s.closed || every_ms > 0);
	CU_ASSERT(s.sent < SENT_MAX_BYTES);
	CU_ASSERT(t.bytes <= MAX_BODY_BYTES);
	sender_close(&s);
	ld_http_free(h);
	ld_loop_free(loop);
	return t;
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"

static void
check_is_cut_off(const char *name, const char *head, const char *again)
{
	struct taker t = play(name, head, again, 0);

	CU_ASSERT_NOT_EQUAL(t.result.status, LD_OK);
	CU_ASSERT(t.result.ms < ENDS_WITHIN_MS);
}

static void
test_heads_without_end(void)
{
	check_is_cut_off("one line", OK_HEAD "X: ", "aaaaaaaaaaaaaaaa");
	check_is_cut_off("status line", "", "HHHHHHHHHHHHHHHH");
	check_is_cut_off("many lines", OK_HEAD, "X-Field: value\r\n");
	check_is_cut_off(
	    "interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
	check_is_cut_off("continue", "", "HTTP/1.1 100 Continue\r\n\r\n");
}

static void
test_bodies_without_end(void)
{
	check_is_cut_off("no length", OK_HEAD "\r\n", "bytes and bytes ");
	check_is_cut_off("chunks", CHUNKED, "10\r\nbytes and bytes \r\n");
	check_is_cut_off("chunk size", CHUNKED, "0000000000000000");
	check_is_cut_off(
	    "chunk extension", CHUNKED "5;", "extension extension");
	check_is_cut_off("trailers", CHUNKED "0\r\n", "X-Field: value\r\n");
}

/* The answer ends at its stated length; later bytes belong to no request. */
static void
test_bytes_past_the_end(void)
{
	struct taker t = play("past the length",
	    OK_HEAD "Content-Length: 5\r\n\r\nwhole", "more and more ", 0);

	CU_ASSERT_EQUAL(t.result.status, LD_OK);
	CU_ASSERT_EQUAL(t.bytes, 5);
	t = play("past the last chunk", CHUNKED "5\r\nwhole\r\n0\r\n\r\n",
	    "more and more ", 0);
	CU_ASSERT_EQUAL(t.result.status, LD_OK);
	CU_ASSERT_EQUAL(t.bytes, 5);
}

/* ---- Streams of engines ---- */

/** struct completion - the caller's side of a streamed completion */
struct completion {
	struct ld_http_result result;
	unsigned int tokens;
	bool finished;
	bool done;
};

static void
on_token(void *owner, struct ld_str event)
{
	((struct completion *)owner)->tokens++;
}

static void
on_completion_done(void *owner, const struct ld_http_result *r, bool finished,
    struct ld_str content_type, struct ld_str body)
{
	struct completion *c = owner;

	c->result = *r;
	c->finished = finished;
	c->done = true;
}

#define EVENTS_HEAD OK_HEAD "Content-Type: text/event-stream\r\n\r\n"

static struct completion
complete(const char *name, const char *head, const char *again)
{
	static const struct ld_engine_ops engine_ops = {
	    .token = on_token, .done = on_completion_done};
	static struct sender s;
	struct ld_loop *loop = ld_loop_new();
	struct ld_http *h = ld_http_new(loop);
	struct completion c = {0};
	char address[32];
	struct ld_engine_request rq = {
	    .address = address,
	    .path = "/v1/completions",
	    .request_id = "r",
	    .replica = "m",
	    .stream = true,
	    .body = LD_STR("{}"),
	    .progress_timeout_ms = TOTAL_TIMEOUT_MS,
	};

	memset(&s, 0, sizeof(s));
	s.loop = loop;
	s.head = head;
	s.again = again;
	snprintf(address, sizeof(address), "127.0.0.1:%u", sender_open(&s));
	CU_ASSERT_PTR_NOT_NULL_FATAL(ld_engine_start(h, &rq, &engine_ops, &c));
	for (int i = 0; i < ENDS_WITHIN_MS && !(c.done && s.closed); i++)
		ld_loop_run_for(loop, 1);
	printf("%s: %s, finished %d, %zu bytes sent\n", name,
	    ld_status_name(c.result.status), c.finished, s.sent);
	CU_ASSERT(c.done);
	CU_ASSERT(s.closed);
	CU_ASSERT(s.sent < SENT_MAX_BYTES);
	sender_close(&s);
	ld_http_free(h);
	ld_loop_free(loop);
	return c;
}

static void
test_streams_of_engines(void)
{
	struct completion c;

	c = complete("event without end", EVENTS_HEAD, "data: x");
	CU_ASSERT_EQUAL(c.result.status, LD_E_TOO_LARGE);
	CU_ASSERT(!c.finished);
	c = complete("bytes after the last event",
	    EVENTS_HEAD "data: a\n\ndata: [DONE]\n\n", "data: x\n\n");
	CU_ASSERT_EQUAL(c.result.status, LD_OK);
	CU_ASSERT_EQUAL(c.tokens, 1);
	CU_ASSERT(c.finished);
}

/* Single bytes at long intervals don't count as progress. */
static void
test_slow_heads_end_in_time(void)
{
	struct taker t = play("slow head", OK_HEAD "X: ", "a", 100);

	CU_ASSERT_EQUAL(t.result.status, LD_E_TIMEOUT);
	CU_ASSERT(t.result.ms < TOTAL_TIMEOUT_MS + 500);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"heads without end", test_heads_without_end},
	    {"bodies without end", test_bodies_without_end},
	    {"bytes past the end", test_bytes_past_the_end},
	    {"streams of engines without end", test_streams_of_engines},
	    {"slow heads end in time", test_slow_heads_end_in_time},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	return ld_test_main("http endless", cases);
}
