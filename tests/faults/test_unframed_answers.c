/* Answers with neither a length nor chunks, which end with their connection. */
#include <signal.h>
#include <sys/wait.h>

#include "ld_raw_server.h"
#include "ld_relay_session.h"

#define HEAD                                                 \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " RELAY_REQUEST_ID \
	"\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
#define EVENT(id) "id: " id "\ndata: e" id "\n\n"
#define EVENTS_3 EVENT("1") EVENT("2") EVENT("3")
#define EVENTS_6 EVENTS_3 EVENT("4") EVENT("5") EVENT("6")
/* Time for the bytes to arrive before the connection ends, ms. */
#define END_AFTER_MS 100

/* The relay knows a new entry after this time, ms. */

static struct raw_server unframed;

/* Returns the answer; its body is to be freed. */
static struct client
ask(const char *method, const char *path, const char *answer, bool reset)
{
	static struct raw_step script[3];
	struct client c;

	script[0].bytes = answer;
	script[1] = (struct raw_step){
	    0, END_AFTER_MS, "", reset ? RAW_RESET : RAW_CLOSE};
	raw_server_play(&unframed, script);
	c = call(method, path, "k1");
	/* Ends the connection also where the relay did so before. */
	run_for(END_AFTER_MS);
	return c;
}

static void
check_answer(const char *method, const char *path, const char *answer,
    bool reset, long code, enum ld_status status, const char *body)
{
	struct client c = ask(method, path, answer, reset);

	CU_ASSERT_EQUAL(c.code, code);
	CU_ASSERT_EQUAL(c.status == LD_OK, status == LD_OK);
	if (body != NULL)
		CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&c.body), body);
	ld_buf_free(&c.body);
	/* Lets the relay's doubts about the server expire. */
	run_for(600);
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_whole_answers(void)
{
	open_all(relay_program);
	raw_server_open(&unframed, session_loop(), "u-1");
	wait_until_serving();
	list_servers(&unframed.entry, false);
	check_answer("GET", "/look/a", HEAD "body", false, 200, LD_OK, "body");
	check_answer(
	    "POST", "/events/a", HEAD EVENTS_6, false, 200, LD_OK, EVENTS_6);
}

static void
test_resets_are_no_end(void)
{
	check_answer("GET", "/look/a", HEAD "bo", true, 502, LD_OK, NULL);
	check_answer(
	    "POST", "/events/a", HEAD EVENTS_3, true, 200, LD_E_CLOSED, NULL);
}

static void
test_an_end_inside_an_event_is_no_end(void)
{
	check_answer("POST", "/events/a", HEAD EVENTS_3 "id: 4\nda", false, 200,
	    LD_E_CLOSED, NULL);
}

/* A process that ends closes its connections in order. */
static void
test_a_stream_without_events_is_no_answer(void)
{
	check_answer("POST", "/events/a", HEAD, false, 502, LD_OK, NULL);
}

/* Lists the server under a new id, of which the relay has no doubts. */
static void
list_anew(void)
{
	static unsigned int number = 1;
	char key[32];

	snprintf(key, sizeof(key), "servers/%s", unframed.entry.id);
	ld_kv_store_delete(store, key);
	snprintf(
	    unframed.entry.id, sizeof(unframed.entry.id), "u-%u", ++number);
	put_entry(&unframed.entry, 0);
	wait_until_applied();
}

/* The server goes on in a protocol that was not asked for. */
static void
test_another_protocol_is_no_answer(void)
{
	static const char other[] =
	    "HTTP/1.1 101 Switching "
	    "Protocols\r\nX-Attempt-Id: " RELAY_REQUEST_ID
	    "\r\nX-Server-Signature: s\r\n\r\nbody";

	static const char *const methods[] = {"GET", "POST", "POST"};
	static const char *const paths[] = {"/look/a", "/book/a", "/events/a"};

	for (int i = 0; i < 3; i++) {
		list_anew();
		check_answer(
		    methods[i], paths[i], other, false, 502, LD_OK, NULL);
		CU_ASSERT_EQUAL(unframed.requests, 1);
	}
}

static void
test_streams_go_on_elsewhere(void)
{
	static const char *const cut[] = {HEAD EVENTS_3 "id: 4\nda", HEAD};

	list_servers(&unframed.entry, true);
	set_servers(SERVES, SERVES);
	for (size_t i = 0; i < sizeof(cut) / sizeof(cut[0]); i++) {
		unframed.requests = 0;

		/* Until the unframed server is drawn first. */
		for (int k = 0; k < 20 && unframed.requests == 0; k++)
			check_answer("POST", "/events/a", cut[i], false, 200,
			    LD_OK, EVENTS_6);
		CU_ASSERT(unframed.requests > 0);
	}
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
	raw_server_close(&unframed);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"whole answers", test_whole_answers},
	    {"resets are no end", test_resets_are_no_end},
	    {"an end inside an event is no end",
		test_an_end_inside_an_event_is_no_end},
	    {"a stream without events is no answer",
		test_a_stream_without_events_is_no_answer},
	    {"another protocol is no answer",
		test_another_protocol_is_no_answer},
	    {"streams go on elsewhere", test_streams_go_on_elsewhere},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "unframed answers", cases);
}
