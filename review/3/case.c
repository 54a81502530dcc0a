/*
 * A planned stop of an entry machine, with no unplanned disruption. A stream is on its
 * way; its server falls silent for about a second, as sound servers may, and all
 * servers are full for new requests. Does the stream end without a whole answer?
 * TROUBLE=0: the server isn't silent.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <poll.h>
#include <sys/socket.h>

#include "engines.h"

#define KEY "n2ctnfzs989anu6wsjnb"
#define GRACE_MS 8000
#define TIMEOUT_MS 8000
/* After the SIGTERM. */
#define SEND_MS 500
#define STREAMS 3
#define EVENTS 24
#define EVENT_EVERY_MS 200
#define SILENT_BEFORE 4 /* the event before which the server is silent */
#define SILENT_MS 1000

static struct relay relays[2];
static uint64_t term_ms;
static struct engine *silent; /* the head that got the first stream */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

struct client {
	pthread_t thread;
	char id[32];
	struct resp answer;
	uint64_t sent_ms, ended_ms, worked_ms; /* when a server last worked on it */
	int refusals;
	bool served; /* a server has sent all of it */
};

static struct client clients[STREAMS];

static struct client *
find_client(const char *attempt)
{
	for (int i = 0; i < STREAMS; i++)
		if (strcmp(clients[i].id, attempt) == 0)
			return &clients[i];
	return NULL;
}

static bool
caller_has_closed(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	char byte;

	return poll(&p, 1, 0) == 1 && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/* Works on a stream; stops when the caller closes, as most servers do. */
static bool
work(struct engine *e, struct req *q, struct client *c, const char *attempt)
{
	if (!sendf(q->fd,
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: 3e1b.%s\r\n"
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		attempt, attempt))
		return false;
	sleep_ms(100);
	for (int i = 1; i <= EVENTS; i++) {
		int pause = EVENT_EVERY_MS;
		char event[128];
		int n = snprintf(event, sizeof(event), "id: %d\ndata: %054d\n\n", i, i);

		if (trouble() && e == silent && i == SILENT_BEFORE) {
			record("server %s: silent for %d ms", e->id, SILENT_MS);
			pause = SILENT_MS;
		}
		for (int ms = 0; ms < pause; ms += 20) {
			sleep_ms(20);
			if (!caller_has_closed(q->fd))
				continue;
			record("server %s: the caller of id=%s has closed after event %d", e->id,
			    attempt, i - 1);
			return false;
		}
		c->worked_ms = now_ms();
		if (!sendf(q->fd, "%x\r\n%s\r\n", (unsigned int)n, event))
			return false;
	}
	c->served = true;
	record("server %s: has sent all of id=%s", e->id, attempt);
	return sendf(q->fd, "0\r\n\r\n");
}

/* Once the streams have begun, the servers are full for all that comes. */
static bool
serve(struct engine *e, struct req *q, const char *attempt, bool *keep)
{
	struct client *c = find_client(attempt);
	char last[32] = "-";
	bool first;

	if (c == NULL)
		return false;
	pthread_mutex_lock(&lock);
	first = c->worked_ms == 0;
	if (silent == NULL)
		silent = e;
	if (first)
		c->worked_ms = now_ms();
	else
		c->refusals++;
	pthread_mutex_unlock(&lock);
	if (first) {
		record("server %s: works on id=%s", e->id, attempt);
		*keep = work(e, q, c, attempt);
		return true;
	}
	field(q, "Last-Event-Id", last, sizeof(last));
	record("server %s: full, refuses id=%s Last-Event-Id=%s", e->id, attempt, last);
	*keep = sendf(q->fd,
	    "HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    attempt);
	return true;
}

static void *
run_client(void *arg)
{
	struct client *c = arg;
	char raw[1024];
	int n = snprintf(raw, sizeof(raw),
	    "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
	    "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
	    "X-Model: " ENGINE_MODEL "\r\nX-Token-Count: 714,144\r\n"
	    "X-Prefix-Hash: 5c1e07a2:40,%s:674\r\n"
	    "Authorization: Bearer " KEY "\r\nContent-Length: 2\r\n\r\nab",
	    c->id, TIMEOUT_MS, c->id);

	c->sent_ms = now_ms();
	call(relays[0].entry, raw, (size_t)n, TIMEOUT_MS + 2000, &c->answer);
	c->ended_ms = now_ms();
	record("client id=%s -> %d, %s, sent %d ms after the SIGTERM, ended %d ms after it", c->id,
	    c->answer.code, c->answer.complete ? "whole" : "the connection ended inside it",
	    (int)(c->sent_ms - term_ms), (int)(c->ended_ms - term_ms));
	return NULL;
}

/* As LOST says: with its exceptions. */
static bool
is_lost(const struct client *c)
{
	return !c->answer.complete && c->ended_ms < c->sent_ms + TIMEOUT_MS &&
	    c->ended_ms <= term_ms + GRACE_MS + 1000 &&
	    c->worked_ms < term_ms + GRACE_MS - GRACE_MS / 6;
}

int
main(int argc, char **argv)
{
	static char config[8192];
	int lost = 0, whole = 0;

	record_open(argv[1]);
	store_start();
	snprintf(config, sizeof(config),
	    "{\"version\":7,\"route_table\":["
	    "{\"name\":\"r-fi6y7z5\",\"host\":\"ficu95.example\",\"prefix\":\"/pufi791/\","
	    "\"type\":\"streaming\",\"timeout_ms\":%d,\"target_latency_ms\":400,"
	    "\"priority\":1,\"service\":\"" ENGINE_SERVICE "\",\"max_attempts\":2,"
	    "\"anonymous\":false,\"session_affinity\":true,\"resumable\":true,"
	    "\"target_gap_ms\":250}],\"services\":[%s],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" KEY "\"],\"priority\":1}]}",
	    TIMEOUT_MS, engine_service_json());
	store_put("op/config", config);
	engines_start(2 * ENGINE_GROUP);
	for (int i = 0; i < 2; i++) {
		relay_prepare(&relays[i], i == 0 ? "edge-neng-a-1" : "edge-neng-a-2", "neng-a");
		relay_start(&relays[i], true);
	}
	wait_ready(&relays[0], 10000);
	wait_ready(&relays[1], 10000);
	for (int i = 0; engines_open() < 2; i++) {
		if (i == 400)
			unfit("the groups aren't open");
		sleep_ms(50);
	}
	record("2 groups are open");
	sleep_ms(3500);
	engine_hook = serve;
	relay_signal(&relays[0], SIGTERM);
	term_ms = now_ms();
	sleep_ms(SEND_MS);
	for (int i = 0; i < STREAMS; i++) {
		snprintf(clients[i].id, sizeof(clients[i].id), "91bd03f06410%04x", i + 1);
		pthread_create(&clients[i].thread, NULL, run_client, &clients[i]);
	}
	for (int i = 0; i < STREAMS; i++)
		pthread_join(clients[i].thread, NULL);
	for (int i = 0; i < STREAMS; i++) {
		lost += is_lost(&clients[i]);
		whole += clients[i].answer.complete && clients[i].answer.code == 200;
	}
	record("streams=%d whole=%d lost=%d", STREAMS, whole, lost);
	if (whole + lost == 0)
		unfit("no stream was judged");
	finish(lost > 0);
}
