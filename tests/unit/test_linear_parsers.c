/*
 * Work of the parsers of what others send, counted and not timed: it is linear in
 * the bytes, whatever their order and their chunks.
 */
#include <stdlib.h>
#include <string.h>

#include "ld_http.h"
#include "ld_test.h"
#include "ld_trace.h"
#include "ld_wire.h"

/* The Makefile passes calls of memmove() to __wrap_memmove(). */
void *__real_memmove(void *to, const void *from, size_t n);
void *__wrap_memmove(void *to, const void *from, size_t n);

#define BYTES ((size_t)256 * 1024)
/* Doubled input takes twice the work; squared work would be four times. */
#define GROWTH_MAX 2.5

static uint64_t moved_bytes;

void *
__wrap_memmove(void *to, const void *from, size_t n)
{
	moved_bytes += n;
	return __real_memmove(to, from, n);
}

/* Work of a parser on @n bytes that repeat @unit, in chunks of @chunk. */
typedef uint64_t (*work_fn)(const char *unit, size_t n, size_t chunk);

/* Sizes of chunks, 0: all bytes at once. */
static const size_t chunks[] = {1, 61, 16384, 0};

static uint64_t
work_now(void)
{
	return ld_trace_blocks + moved_bytes;
}

static void
check_linear(const char *name, work_fn fn, const char *unit)
{
	for (size_t i = 0; i < sizeof(chunks) / sizeof(chunks[0]); i++) {
		size_t chunk = chunks[i];
		uint64_t once = fn(unit, BYTES, chunk > 0 ? chunk : BYTES);
		uint64_t twice =
		    fn(unit, 2 * BYTES, chunk > 0 ? chunk : 2 * BYTES);

		printf("%s of \"%.6s\", chunks of %zu: %llu, of twice as many "
		       "%llu\n",
		    name, unit, chunk, (unsigned long long)once,
		    (unsigned long long)twice);
		CU_ASSERT(once > 0);
		CU_ASSERT((double)twice <= GROWTH_MAX * (double)once);
	}
}

static char *
repeat(const char *unit, size_t n)
{
	size_t len = strlen(unit);
	char *bytes = ld_alloc(n);

	for (size_t i = 0; i < n; i++)
		bytes[i] = unit[i % len];
	return bytes;
}

/* ---- Events of a stream ---- */

static uint64_t
work_of_events(const char *unit, size_t n, size_t chunk)
{
	struct ld_sse s = {.max_event_bytes = SIZE_MAX};
	char *bytes = repeat(unit, n);
	uint64_t start = work_now();
	struct ld_str event;

	for (size_t at = 0; at < n; at += chunk) {
		size_t left = n - at;

		ld_sse_feed(&s,
		    (struct ld_str){bytes + at, chunk < left ? chunk : left});
		while (ld_sse_next(&s, &event) == LD_OK)
			(void)ld_sse_id(event);
	}
	start = work_now() - start;
	ld_sse_free(&s);
	free(bytes);
	return start;
}

static void
test_events(void)
{
	static const char *const units[] = {"x", "data: x\n", "\n",
	    ": ping\n\n", "id: 7\ndata: some tokens\r\n\r\n"};

	for (size_t u = 0; u < sizeof(units) / sizeof(units[0]); u++)
		check_linear("events", work_of_events, units[u]);
}

/* ---- Frames of a peer ---- */

#define KEY LD_STR("a key of sixteen or more bytes")

/* A stream of @n bytes or a little more of frames with @payload. */
static struct ld_buf
seal_frames(struct ld_wire_session *dialer, const char *payload, size_t n)
{
	struct ld_buf out = {0};

	while (out.len < n)
		CU_ASSERT_EQUAL_FATAL(
		    ld_wire_seal(dialer, ld_str_c(payload), &out), LD_OK);
	return out;
}

static uint64_t
work_of_frames(const char *payload, size_t n, size_t chunk)
{
	struct ld_wire_session *dialer, *acceptor;
	struct ld_fifo in = {0}, hello = {0};
	struct ld_buf frames, taken = {0};
	struct ld_rand r;
	uint64_t start;

	ld_rand_seed(&r, 1);
	dialer = ld_wire_session_new(LD_WIRE_DIALER, KEY, &r);
	acceptor = ld_wire_session_new(LD_WIRE_ACCEPTOR, KEY, &r);
	ld_wire_hello(acceptor, ld_fifo_tail(&hello));
	ld_wire_hello(dialer, ld_fifo_tail(&in));
	CU_ASSERT_EQUAL(ld_wire_open(dialer, &hello, &taken), LD_E_AGAIN);
	CU_ASSERT_EQUAL(ld_wire_open(acceptor, &in, &taken), LD_E_AGAIN);
	frames = seal_frames(dialer, payload, n);
	start = work_now();
	for (size_t at = 0; at < frames.len; at += chunk) {
		size_t left = frames.len - at;

		ld_buf_add(ld_fifo_tail(&in), frames.p + at,
		    chunk < left ? chunk : left);
		while (ld_wire_open(acceptor, &in, &taken) == LD_OK)
			;
	}
	start = work_now() - start;
	CU_ASSERT_EQUAL(ld_wire_end(acceptor, &in), LD_OK);
	ld_wire_session_free(dialer);
	ld_wire_session_free(acceptor);
	ld_fifo_free(&in);
	ld_fifo_free(&hello);
	ld_buf_free(&frames);
	ld_buf_free(&taken);
	return start;
}

static void
test_frames(void)
{
	check_linear("frames", work_of_frames, "");
	check_linear("frames", work_of_frames, "a short payload");
}

/* ---- A queue that is appended to while it is sent ---- */

static uint64_t
work_of_queue(const char *message, size_t n, size_t sent)
{
	struct ld_fifo queue = {0};
	uint64_t start = work_now();

	/* A reader that takes half of what is written. */
	for (size_t done = 0; done < n; done += strlen(message)) {
		ld_buf_adds(ld_fifo_tail(&queue), ld_str_c(message));
		if (sent <= ld_fifo_len(&queue))
			ld_fifo_consume(&queue, sent);
	}
	start = work_now() - start;
	ld_fifo_free(&queue);
	return start;
}

static void
test_queue(void)
{
	static const char message[] = "a message of thirty-two bytes...";
	uint64_t once = work_of_queue(message, BYTES, 16);
	uint64_t twice = work_of_queue(message, 2 * BYTES, 16);

	CU_ASSERT((double)twice <= GROWTH_MAX * (double)once);
}

/* ---- The bound of an event ---- */

/* Whether an event of @len bytes is taken, in chunks of @chunk. */
static bool
takes_event(size_t len, size_t chunk)
{
	struct ld_sse s = {.max_event_bytes = 100};
	char text[200];
	struct ld_str event;
	enum ld_status st = LD_E_AGAIN;

	memset(text, 'x', sizeof(text));
	snprintf(text + len - 2, sizeof(text) - len + 2, "\n\n: next\n\n");
	for (size_t at = 0; at < len + 8 && st == LD_E_AGAIN; at += chunk) {
		size_t left = len + 8 - at;

		ld_sse_feed(&s,
		    (struct ld_str){text + at, chunk < left ? chunk : left});
		st = ld_sse_next(&s, &event);
	}
	ld_sse_free(&s);
	return st == LD_OK;
}

static void
test_bound_of_an_event(void)
{
	for (size_t chunk = 1; chunk < 200; chunk++) {
		CU_ASSERT(takes_event(100, chunk));
		CU_ASSERT(!takes_event(101, chunk));
	}
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"events of a stream", test_events},
	    {"frames of a peer", test_frames},
	    {"a queue that is sent in parts", test_queue},
	    {"the bound of an event holds for any chunks",
		test_bound_of_an_event},
	    {NULL, NULL},
	};

	return ld_test_main("linear parsers", cases);
}
