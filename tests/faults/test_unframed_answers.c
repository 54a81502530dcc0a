/* Answers with neither a length nor chunks, which end with their connection. */
#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_relay_session.h"

#define HEAD                                                 \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " RELAY_REQUEST_ID \
	"\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
#define EVENT(id) "id: " id "\ndata: e" id "\n\n"
#define EVENTS_3 EVENT("1") EVENT("2") EVENT("3")
#define EVENTS_6 EVENTS_3 EVENT("4") EVENT("5") EVENT("6")
/* Time for the bytes to arrive before the connection ends, ms. */
#define END_AFTER_MS 100

/** struct unframed - a server that sends @answer and ends the connection */
struct unframed {
	struct server entry; /* id and address of its entry in the store */
	int listener;
	int connection;
	const char *answer;
	bool reset; /* ends with a reset instead of an orderly close */
	unsigned int requests;
};

static struct unframed unframed;

static void
unframed_open(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);

	unframed.connection = -1;
	unframed.listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_FATAL(
	    bind(unframed.listener, (struct sockaddr *)&a, len) == 0 &&
	    listen(unframed.listener, 8) == 0 &&
	    getsockname(unframed.listener, (struct sockaddr *)&a, &len) == 0);
	snprintf(unframed.entry.address, sizeof(unframed.entry.address),
	    "127.0.0.1:%u", ntohs(a.sin_port));
	snprintf(unframed.entry.id, sizeof(unframed.entry.id), "u-1");
}

static void
unframed_end(void)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	if (unframed.reset)
		setsockopt(unframed.connection, SOL_SOCKET, SO_LINGER, &now,
		    sizeof(now));
	close(unframed.connection);
	unframed.connection = -1;
}

/* Accepts, reads a whole head, answers and ends, as far as that is possible. */
static void
unframed_step(void)
{
	char head[4096];
	ssize_t n;

	if (unframed.connection < 0)
		unframed.connection = accept(unframed.listener, NULL, NULL);
	if (unframed.connection < 0)
		return;
	n = recv(unframed.connection, head, sizeof(head) - 1, MSG_DONTWAIT);
	if (n <= 0)
		return;
	head[n] = '\0';
	CU_ASSERT_PTR_NOT_NULL(strstr(head, "\r\n\r\n"));
	unframed.requests++;
	CU_ASSERT_EQUAL(send(unframed.connection, unframed.answer,
			    strlen(unframed.answer), MSG_NOSIGNAL),
	    (ssize_t)strlen(unframed.answer));
	run_for(END_AFTER_MS);
	unframed_end();
}

/* Whether the sound server takes part beside. */
static void
list_servers(bool with_sound)
{
	ld_kv_store_delete(store, "servers/i-0");
	if (with_sound)
		put_entry(&servers[1], 0);
	else
		ld_kv_store_delete(store, "servers/i-1");
	put_entry(&unframed.entry, 0);
	/* For 2 s after its start the relay takes no server for gone. */
	run_for(2600);
}

/* Returns the answer; its body is to be freed. */
static struct client
ask(const char *method, const char *path, const char *answer, bool reset)
{
	struct client *c = ld_alloc(sizeof(*c)), out;

	unframed.answer = answer;
	unframed.reset = reset;
	start_at(c, relay_address, method, path, "k1");
	for (int i = 0; i < 500 && !c->done; i++) {
		run_for(10);
		unframed_step();
	}
	CU_ASSERT_FATAL(c->done);
	out = *c;
	free(c);
	return out;
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
	unframed_open();
	wait_until_serving();
	list_servers(false);
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

static void
test_streams_go_on_elsewhere(void)
{
	static const char *const cut[] = {HEAD EVENTS_3 "id: 4\nda", HEAD};

	list_servers(true);
	set_servers(SERVES, SERVES);
	for (size_t i = 0; i < sizeof(cut) / sizeof(cut[0]); i++) {
		unsigned int before = unframed.requests;

		/* Until the unframed server is drawn first. */
		for (int k = 0; k < 20 && unframed.requests == before; k++)
			check_answer("POST", "/events/a", cut[i], false, 200,
			    LD_OK, EVENTS_6);
		CU_ASSERT(unframed.requests > before);
	}
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
	close(unframed.listener);
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
	    {"streams go on elsewhere", test_streams_go_on_elsewhere},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "unframed answers", cases);
}
