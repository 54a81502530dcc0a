/*
 * A server in trouble sends bytes that are no answer, until its caller closes. The
 * other requests of the node are answered meanwhile.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "ld_raw_server.h"
#include "ld_relay_session.h"

/* A request reaches a server within this on a busy machine, ms. */
#define BEGUN_MS 2000
#define STREAM_HEAD                                          \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " RELAY_REQUEST_ID \
	"\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
#define WHOLE                                                \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " RELAY_REQUEST_ID \
	"\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok"
/* The route's timeout_ms of lookups, and the time after it within which the rule
 * asks for an answer, ms. */
#define TIMEOUT_MS 3000
#define LATE_MS 500
#define LOOKUPS 40
#define LOOKUP_INTERVAL_MS 50
/* The longest event that a relay takes, with room for the buffers of two
 * sockets, bytes. */
#define SENT_MAX_BYTES ((size_t)8 * 1024 * 1024)

static struct raw_server raw;

/** struct lookup - a request of another client */
struct lookup {
	struct client client;
	uint64_t sent_ms;
	uint64_t took_ms;
};

static void
note_ended(struct lookup *l)
{
	if (l->client.done && l->took_ms == 0)
		l->took_ms = ld_loop_now(session_loop()) - l->sent_ms + 1;
}

/* An answer or, while its only server is avoided, a refusal with a time. */
static bool
is_answered(const struct lookup *l)
{
	return l->took_ms > 0 && l->took_ms <= TIMEOUT_MS + LATE_MS &&
	    (l->client.code == 200 ||
		(l->client.code == 503 && l->client.retry_after_s > 0));
}

static void
run_lookups(struct lookup *l)
{
	uint64_t end;
	size_t started = 0;

	end = ld_loop_now(session_loop()) +
	    (uint64_t)LOOKUPS * LOOKUP_INTERVAL_MS + TIMEOUT_MS + LATE_MS;
	for (uint64_t next = 0; ld_loop_now(session_loop()) < end;) {
		uint64_t now = ld_loop_now(session_loop());

		if (started < LOOKUPS && now >= next) {
			next = now + LOOKUP_INTERVAL_MS;
			l[started].sent_ms = now;
			start_at(&l[started++].client, relay_address, "GET",
			    "/look/a", "k1");
		}
		run_for(2);
		for (size_t i = 0; i < started; i++)
			note_ended(&l[i]);
	}
}

/* A stream whose answer is @again without end, beside lookups. */
static struct client
play(const char *path, const char *again)
{
	const struct raw_step script[] = {
	    {0, 0, STREAM_HEAD, RAW_KEEP},
	    {0, 0, again, RAW_ENDLESS},
	    {1, 0, WHOLE, RAW_KEEP},
	    {0},
	};
	static struct lookup lookups[LOOKUPS];
	struct client *c = ld_alloc(sizeof(*c)), out;
	uint64_t longest_ms = 0;
	unsigned int in_time = 0, served = 0;

	memset(lookups, 0, sizeof(lookups));
	raw_server_play(&raw, script);
	list_servers(&raw.entry, false);
	start_at(c, relay_address, "POST", path, "k1");
	for (int ms = 0; ms < BEGUN_MS && raw.requests == 0; ms += 5)
		run_for(5);
	CU_ASSERT_EQUAL(raw.requests, 1);
	run_lookups(lookups);
	for (size_t i = 0; i < LOOKUPS; i++) {
		const struct lookup *l = &lookups[i];

		in_time += is_answered(l);
		served += l->client.code == 200;
		if (l->took_ms > longest_ms)
			longest_ms = l->took_ms;
		if (!l->client.done)
			ld_http_cancel(l->client.call);
		ld_buf_free(&lookups[i].client.body);
	}
	wait_for(c);
	run_for(100);
	printf("%s of \"%.7s\": %u of %d lookups answered in time, %u served, "
	       "the longest %llu ms, %zu bytes sent\n",
	    path, again, in_time, LOOKUPS, served,
	    (unsigned long long)longest_ms, raw.endless_bytes);
	CU_ASSERT_EQUAL(in_time, LOOKUPS);
	CU_ASSERT(served * 2 > LOOKUPS);
	CU_ASSERT_EQUAL(raw.endless, 0);
	CU_ASSERT(raw.endless_bytes < SENT_MAX_BYTES);
	out = *c;
	free(c);
	return out;
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_an_event_without_end_leaves_others_their_turn(void)
{
	struct client c;

	open_all(relay_program);
	raw_server_open(&raw, session_loop(), "f-0");
	wait_until_serving();
	/* It may have run, and this route's requests run once. */
	c = play("/once/a", "x");
	CU_ASSERT_EQUAL(c.code, 502);
	ld_buf_free(&c.body);
}

static void
test_lines_without_end_leave_others_their_turn(void)
{
	struct client c = play("/once/a", "data: x\n");

	CU_ASSERT_EQUAL(c.code, 502);
	ld_buf_free(&c.body);
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
	    {"an event without end leaves others their turn",
		test_an_event_without_end_leaves_others_their_turn},
	    {"lines without end leave others their turn",
		test_lines_without_end_leave_others_their_turn},
	    {"the relay stops", test_end},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "endless answers", cases);
}
