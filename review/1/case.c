/*
 * A small deployment's traffic at one machine. A model server in trouble answers
 * a few streams with a proper head and a body of bytes without end, until the caller
 * closes. TROUBLE=0: it answers these like all others.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engines.h"

#define KEY "n2ctnfzs989anu6wsjnb"
#define PLAIN_TIMEOUT_MS 1500
#define PLAIN_DEADLINE_MS 3000
#define PLAIN_WORK_MS 60
#define LATE_MS 500 /* of the rule */
/* One machine's share of the usual traffic: an eighth of 166 a second. */
#define STREAM_EVERY_MS 54
#define PLAIN_EVERY_MS 450
#define TRAFFIC_MS 32000
/* Garble at one of two heads, for 5 s, twice: of its answers since the last time, two
 * after the first SOUND_ANSWERS are spoiled. */
#define SOUND_ANSWERS 40
#define SPOILED 2
#define GARBLE_FOR_MS 5000
static const uint64_t garble_from_ms[] = {5000, 20000};

struct client {
	pthread_t thread;
	int number;
	bool plain;
	struct resp answer;
	uint64_t sent_ms, ended_ms;
};

static struct relay relay;
static uint64_t traffic_ms;
static struct engine *troubled;
static int troubled_answers, spoiled;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int longest_unready_ms;
static bool done;

static struct {
	const char *id;
	int port;
} desk = {.id = "i-02d9e6b4"};

static bool
serve_plain(struct req *q, void *arg)
{
	char attempt[64] = "";

	field(q, "X-Attempt-Id", attempt, sizeof(attempt));
	sleep_ms(PLAIN_WORK_MS);
	return sendf(q->fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: 3e1b.%s\r\n"
	    "Content-Length: 4\r\n\r\ndone",
	    attempt, attempt);
}

/* Whether this answer is spoiled. */
static bool
is_spoiled(const struct engine *e, const char *attempt)
{
	static int sound, spoiled_here;
	static size_t window;
	uint64_t now = now_ms() - traffic_ms;
	bool yes = false;

	if (e != troubled)
		return false;
	pthread_mutex_lock(&lock);
	troubled_answers++;
	while (window < 2 && now >= garble_from_ms[window] + GARBLE_FOR_MS) {
		window++;
		sound = spoiled_here = 0;
	}
	yes = window < 2 && now >= garble_from_ms[window] && sound >= SOUND_ANSWERS &&
	    spoiled_here < SPOILED;
	sound += !yes;
	spoiled_here += yes;
	spoiled += yes;
	pthread_mutex_unlock(&lock);
	if (yes)
		record("server %s: in trouble, answer %d, id=%s: %s", e->id, troubled_answers,
		    attempt, trouble() ? "a body without end" : "as usual");
	return yes;
}

/* Bytes that are no answer, without end, at no more than the link's 1,000 Mbit/s. */
static bool
spoil(struct engine *e, struct req *q, const char *attempt, bool *keep)
{
	static char bytes[65536];
	uint64_t start = now_ms();
	long sent = 0;

	if (!is_spoiled(e, attempt) || !trouble())
		return false;
	memset(bytes, 'x', sizeof(bytes));
	sendf(q->fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: 3e1b.%s\r\n"
	    "Content-Type: text/event-stream\r\n\r\n",
	    attempt, attempt);
	while (send_all(q->fd, bytes, sizeof(bytes))) {
		sent += (long)sizeof(bytes);
		sleep_ms(1);
	}
	record("server %s: id=%s, the caller has closed after %ld bytes, %d ms", e->id,
	    attempt, sent, (int)(now_ms() - start));
	*keep = false;
	return true;
}

static void *
run_client(void *arg)
{
	struct client *c = arg;
	char raw[1024];
	int n;

	if (c->plain)
		n = snprintf(raw, sizeof(raw),
		    "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		    "X-Attempt-Id: %016x\r\nX-Deadline-Ms: %d\r\n"
		    "Authorization: Bearer " KEY "\r\n\r\n",
		    c->number, PLAIN_DEADLINE_MS);
	else
		n = snprintf(raw, sizeof(raw),
		    "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		    "X-Attempt-Id: %016x\r\nX-Deadline-Ms: 6000\r\n"
		    "X-Model: " ENGINE_MODEL "\r\nX-Token-Count: 714,40\r\n"
		    "X-Prefix-Hash: 5c1e07a2:40,%08x:674\r\n"
		    "Authorization: Bearer " KEY "\r\nContent-Length: 2\r\n\r\nab",
		    c->number, 0x91bd0000 + c->number);
	c->sent_ms = now_ms();
	call(relay.entry, raw, (size_t)n, c->plain ? PLAIN_DEADLINE_MS : 6000, &c->answer);
	c->ended_ms = now_ms();
	record("client %s id=%016x sent at %.3f -> %d%s after %d ms", c->plain ? "lookup" : "stream",
	    c->number, (double)c->sent_ms / 1000, c->answer.code,
	    c->answer.complete ? "" : " (no whole answer)", (int)(c->ended_ms - c->sent_ms));
	return NULL;
}

/* The balancer: asks each second, and waits a second for the answer. */
static void *
ask_ready(void *arg)
{
	uint64_t since = 0;

	while (!done) {
		uint64_t asked = now_ms();
		int code = ready_code(&relay, 1000);

		if (code != 200) {
			record("readiness asked at %.3f -> %s", (double)asked / 1000,
			    code == 0 ? "no answer" : "not ready");
			since = since != 0 ? since : asked;
			if ((int)(now_ms() - since) > longest_unready_ms)
				longest_unready_ms = (int)(now_ms() - since);
		} else {
			since = 0;
		}
		while (now_ms() < asked + 1000)
			sleep_ms(10);
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	static struct client clients[1024];
	static char config[8192], entry[512];
	int count = 0, overdue = 0, late = 0, plain = 0, served = 0;
	pthread_t asker;

	record_open(argv[1]);
	store_start();
	snprintf(config, sizeof(config),
	    "{\"version\":7,\"route_table\":["
	    "{\"name\":\"r-fi6y7z5\",\"host\":\"ficu95.example\",\"prefix\":\"/pufi791/\","
	    "\"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"" ENGINE_SERVICE "\",\"max_attempts\":2,"
	    "\"anonymous\":false,\"session_affinity\":true,\"resumable\":true,"
	    "\"target_gap_ms\":200},"
	    "{\"name\":\"r-7\",\"host\":\"ficu95.example\",\"prefix\":\"/cufi504/\","
	    "\"type\":\"idempotent\",\"timeout_ms\":%d,\"target_latency_ms\":300,"
	    "\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\"anonymous\":false}],"
	    "\"services\":[%s,{\"name\":\"wuno96b\",\"health_path\":\"/health\","
	    "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" KEY "\"],\"priority\":1}]}",
	    PLAIN_TIMEOUT_MS, engine_service_json());
	store_put("op/config", config);
	desk.port = free_port();
	listen_on(desk.port, serve_plain, NULL);
	snprintf(entry, sizeof(entry),
	    "{\"service\":\"wuno96b\",\"address\":\"127.0.0.1:%d\",\"zone\":\"neng-a\","
	    "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"warmup_left_ms\":0,"
	    "\"stage\":\"both\",\"models\":[],\"sequence\":4,\"born\":1764900000000}",
	    desk.port);
	store_put("servers/i-02d9e6b4", entry);
	engines_start(2 * ENGINE_GROUP);
	relay_prepare(&relay, "edge-neng-a-1", "neng-a");
	relay_start(&relay, true);
	wait_ready(&relay, 10000);
	for (int i = 0; engines_open() < 2; i++) {
		if (i == 300)
			unfit("the groups aren't open");
		sleep_ms(50);
	}
	record("2 groups are open");
	sleep_ms(1500);
	for (int i = 0; i < engine_count; i++)
		if (engines[i].state == 4)
			troubled = &engines[i];
	engine_hook = spoil;
	traffic_ms = now_ms();
	pthread_create(&asker, NULL, ask_ready, NULL);
	for (uint64_t stream_ms = 0, plain_ms = 0; now_ms() < traffic_ms + TRAFFIC_MS; sleep_ms(5)) {
		uint64_t now = now_ms() - traffic_ms;
		bool is_plain = now >= plain_ms;
		struct client *c = &clients[count];

		if (!is_plain && now < stream_ms)
			continue;
		if (is_plain)
			plain_ms += PLAIN_EVERY_MS;
		else
			stream_ms += STREAM_EVERY_MS;
		*c = (struct client){.number = ++count, .plain = is_plain};
		pthread_create(&c->thread, NULL, run_client, c);
	}
	for (int i = 0; i < count; i++)
		pthread_join(clients[i].thread, NULL);
	done = true;
	pthread_join(asker, NULL);
	for (int i = 0; i < count; i++) {
		const struct client *c = &clients[i];
		int ms = (int)(c->ended_ms - c->sent_ms);

		served += c->answer.complete && c->answer.code == 200;
		if (!c->plain)
			continue;
		plain++;
		overdue += ms > PLAIN_TIMEOUT_MS;
		/* Clients wait until their deadline, after the end of the bound. */
		late += ms > PLAIN_TIMEOUT_MS + LATE_MS;
	}
	record("requests=%d answered 200=%d; lookups=%d, unanswered at timeout_ms=%d, of these "
	       "unanswered half a second later=%d; spoiled answers=%d; readiness not given for "
	       "%d ms at most",
	    count, served, plain, overdue, late, trouble() ? spoiled : 0, longest_unready_ms);
	if (spoiled == 0)
		unfit("no answer fell into the trouble");
	/* CONFIG, both rules on timeout_ms: over half, and eight or more and over a
	 * quarter. */
	finish(late >= 8 && 2 * late > overdue);
}
