/* Streams with long pauses, and streams in which nothing comes any more. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "ld_raw_server.h"
#include "ld_relay_session.h"

#define HEAD                                                 \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " RELAY_REQUEST_ID \
	"\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
#define EVENT(id) "id: " id "\ndata: e" id "\n\n"
/* Pauses below the client's deadline that occur in sound streams, ms. */
#define PAUSE_MS 1800
/* The X-Deadline-Ms of a session's requests, and the time until an answer must
 * have ended after it, ms. */
#define DEADLINE_MS 4000
#define LATE_MS 500
#define STEPS 16

static struct raw_server raw;

/* Returns the answer; its body is to be freed. */
static struct client
play(const char *path, const struct raw_step *script, uint64_t *ms)
{
	struct client *c = ld_alloc(sizeof(*c)), out;
	uint64_t start = ld_loop_now(session_loop());

	raw_server_play(&raw, script);
	start_at(c, relay_address, "POST", path, "k1");
	wait_for(c);
	*ms = ld_loop_now(session_loop()) - start;
	out = *c;
	free(c);
	return out;
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_a_slow_stream_is_not_cut(void)
{
	static const struct raw_step script[] = {
	    {0, 0, HEAD EVENT("1"), RAW_KEEP},
	    {0, PAUSE_MS, EVENT("2"), RAW_KEEP},
	    {0, 2 * PAUSE_MS, EVENT("3"), RAW_CLOSE},
	    {0},
	};
	struct client c;
	uint64_t ms;

	open_all(relay_program);
	raw_server_open(&raw, session_loop(), "f-0");
	wait_until_serving();
	list_servers(&raw.entry, false);
	c = play("/events/a", script, &ms);
	CU_ASSERT_EQUAL(c.code, 200);
	CU_ASSERT_EQUAL(c.status, LD_OK);
	CU_ASSERT_STRING_EQUAL(
	    ld_buf_cstr(&c.body), EVENT("1") EVENT("2") EVENT("3"));
	CU_ASSERT_EQUAL(raw.requests, 1);
	ld_buf_free(&c.body);
}

/* @bytes each 300 ms, without end */
static void
check_ends_in_time(const char *path, const char *bytes)
{
	static struct raw_step script[STEPS + 1];
	struct client c;
	uint64_t ms;

	script[0] = (struct raw_step){0, 0, HEAD EVENT("1"), RAW_KEEP};
	for (unsigned int i = 1; i < STEPS; i++)
		script[i] = (struct raw_step){0, i * 300, bytes, RAW_KEEP};
	c = play(path, script, &ms);
	CU_ASSERT_EQUAL(c.code, 200);
	CU_ASSERT_NOT_EQUAL(c.status, LD_OK);
	CU_ASSERT(ms + 50 >= DEADLINE_MS && ms <= DEADLINE_MS + LATE_MS);
	CU_ASSERT_EQUAL(
	    strncmp(ld_buf_cstr(&c.body), EVENT("1"), strlen(EVENT("1"))), 0);
	ld_buf_free(&c.body);
}

static void
test_comments_do_not_keep_a_stalled_stream(void)
{
	check_ends_in_time("/events/a", ": alive\n\n");
}

static void
test_bytes_do_not_keep_a_stalled_stream(void)
{
	check_ends_in_time("/once/a", "a");
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
	    {"a slow stream is not cut", test_a_slow_stream_is_not_cut},
	    {"comments don't keep a stalled stream",
		test_comments_do_not_keep_a_stalled_stream},
	    {"bytes don't keep a stalled stream",
		test_bytes_do_not_keep_a_stalled_stream},
	    {"the relay stops", test_end},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "stalled streams", cases);
}
