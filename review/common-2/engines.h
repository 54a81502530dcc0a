/*
 * Model servers that form groups, one process of threads: orders, reports, entries
 * and streams as PROTOCOL.md tells them.
 */
#ifndef ENGINES_H
#define ENGINES_H

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#ifndef SERVERS
#define SERVERS 4
#endif
#define SIZE 3 /* servers in a group */
#define MODEL "model-a"
#define JOIN_AGAIN_MS 200
#define WARM_MS 1600
#define FORM_MS 300
#define STALL_MS 5000
#define EVENT_MS 40
#define LATE_MS 4000 /* applied_late: 2 to 12 s later */
#define LATE_WINDOW_MS 4000
#define HEARTBEAT_MS 1200
#define SILENT_MS 1200
#define KEY "k3pt9zz1aaqqwwee"

enum state { NONE, JOINING, READY, OPEN, CLOSING, BROKEN };

static const char *const state_names[] = {
    "none", "joining", "ready", "open", "closing", "broken"};

struct server {
	int number;
	char id[32];
	uint16_t port;
	bool dead; /* dark and gone */
	bool cut; /* from the store */
	bool unlisted; /* its entry has lapsed, and it writes none */
	enum state state;
	char group[64];
	long long epoch, seen_epoch, seen_token;
	int rank, sequence, active;
	char members[SIZE][32];
	bool had_model; /* of its last group */
	uint64_t due_ms; /* of the step in progress */
	enum state next;
	uint64_t still_since_ms; /* a head without one of its members */
};

struct late_order {
	struct late_order *next;
	struct server *to;
	uint64_t due_ms;
	char body[2048];
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct server servers[SERVERS];
static struct store *store;
static struct late_order *late;
static unsigned int joins_while_served, late_count, extra_sent;
static unsigned int joins_of_heads; /* that were open or closing themselves */
static unsigned int answered_in_window; /* orders, of all servers */
static struct server *late_server; /* its orders get no answer until then */
static uint64_t late_until_ms;
static int late_left; /* orders */
static struct server *silent_server; /* before it reads its next order */
static volatile bool silent_next;
static bool owe_next; /* the next complete answer of a head gets an extra one */
static uint64_t born_ms;

/* ---- Servers ---- */

static void
write_entry(struct server *s)
{
	char text[1024], group[256] = "";

	if (s->dead || s->cut || s->unlisted || store_faults(store)->away)
		return;
	if (s->state != NONE)
		snprintf(group, sizeof(group),
		    ",\"group\":{\"name\":\"%s\",\"epoch\":%lld,\"rank\":%d,"
		    "\"state\":\"%s\"}",
		    s->group, s->epoch, s->rank, state_names[s->state]);
	snprintf(text, sizeof(text),
	    "{\"service\":\"models\",\"address\":\"127.0.0.1:%u\",\"zone\":"
	    "\"zone-a\",\"version\":\"v1\",\"slots\":26,\"state\":\"ready\","
	    "\"warmup_left_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"%s\""
	    ",\"version\":1,\"adapters\":[]}],\"sequence\":%d,\"born\":%llu,"
	    "\"domain\":\"zone-a-d0\",\"staged\":[\"%s\"]%s}",
	    s->port, MODEL, s->sequence, (unsigned long long)born_ms, MODEL,
	    group);
	char key[64];
	snprintf(key, sizeof(key), "servers/%s", s->id);
	store_put(store, key, text);
}

static struct server *
server_by_id(const char *id)
{
	for (int i = 0; i < SERVERS; i++)
		if (strcmp(servers[i].id, id) == 0)
			return &servers[i];
	return NULL;
}

static bool
same_group(const struct server *a, const struct server *b)
{
	return a->state != NONE && b->state != NONE && a->epoch == b->epoch &&
	    strcmp(a->group, b->group) == 0;
}

/* The head of the server's group, if it is open or closing. */
static struct server *
serving_head(struct server *s)
{
	struct server *head;

	if (s->state == NONE)
		return NULL;
	head = server_by_id(s->members[0]);
	if (head == NULL || head->dead || !same_group(head, s) ||
	    (head->state != OPEN && head->state != CLOSING))
		return NULL;
	return head;
}

static bool
stands_still(struct server *head)
{
	for (int i = 1; i < SIZE; i++) {
		struct server *m = server_by_id(head->members[i]);

		if (m == NULL || m->dead || !same_group(m, head))
			return true;
	}
	return false;
}

static int
do_join(struct server *s, json_t *o, const char *group, long long epoch)
{
	json_t *list = json_object_get(o, "members");
	struct server *head = serving_head(s);
	bool same = s->state != NONE && s->epoch == epoch &&
	    strcmp(s->group, group) == 0;

	if (epoch < s->seen_epoch || json_array_size(list) != SIZE)
		return 412;
	if (same)
		return 200;
	if (head != NULL) {
		record("%s takes a join of %s while %s, the head of its group "
		       "%s, is %s%s",
		    s->id, group, head->id, head->group,
		    state_names[head->state],
		    head->still_since_ms != 0 ? ", stands still and isn't broken"
					      : "");
		joins_while_served += head != s;
		joins_of_heads += head == s;
	}
	s->seen_epoch = epoch;
	snprintf(s->group, sizeof(s->group), "%s", group);
	s->epoch = epoch;
	for (int i = 0; i < SIZE; i++) {
		snprintf(s->members[i], sizeof(s->members[i]), "%s",
		    json_string_value(json_array_get(list, (size_t)i)));
		if (strcmp(s->members[i], s->id) == 0)
			s->rank = i;
	}
	s->state = JOINING;
	s->next = READY;
	s->due_ms = now_ms() + (s->had_model ? JOIN_AGAIN_MS : WARM_MS);
	s->had_model = true;
	s->still_since_ms = 0;
	return 202;
}

static int
do_order(struct server *s, const char *body)
{
	json_t *o = json_loads(body, 0, NULL);
	const char *operation = json_string_value(json_object_get(o, "operation"));
	const char *group = json_string_value(json_object_get(o, "group"));
	long long epoch = json_integer_value(json_object_get(o, "epoch"));
	long long token = json_integer_value(json_object_get(o, "fencing_token"));
	bool mine;
	int code = 200;

	if (operation == NULL)
		code = 400;
	else if (token < s->seen_token)
		code = 412;
	if (code != 200) {
		json_decref(o);
		return code;
	}
	s->seen_token = token;
	mine = group != NULL && s->state != NONE && s->epoch == epoch &&
	    strcmp(s->group, group) == 0;
	if (strcmp(operation, "join") == 0 && group != NULL) {
		code = do_join(s, o, group, epoch);
	} else if (strcmp(operation, "open") == 0) {
		if (!mine || s->rank != 0 || s->state < READY)
			code = 409;
		else if (s->state == READY) {
			s->next = OPEN;
			s->due_ms = now_ms() + FORM_MS;
			code = 202;
		}
	} else if (strcmp(operation, "close") == 0) {
		if (mine && s->state == OPEN) {
			s->state = CLOSING;
			code = 202;
		} else {
			code = mine ? 200 : 409;
		}
	} else if (strcmp(operation, "leave") == 0) {
		if (mine) {
			s->state = NONE;
			s->due_ms = 0;
		}
	}
	if (code == 202 || code == 200)
		s->sequence++;
	record("%s: %s %s: %d", s->id, operation, group != NULL ? group : "",
	    code);
	json_decref(o);
	write_entry(s);
	return code;
}

/* ---- Time ---- */

static void
step(struct server *s, uint64_t now)
{
	if (s->dead)
		return;
	if (s->due_ms != 0 && now >= s->due_ms) {
		s->due_ms = 0;
		s->state = s->next;
		record("%s is %s in %s", s->id, state_names[s->state], s->group);
		write_entry(s);
	}
	if (s->rank != 0 || (s->state != OPEN && s->state != CLOSING))
		return;
	if (!stands_still(s))
		s->still_since_ms = 0;
	else if (s->still_since_ms == 0)
		s->still_since_ms = now;
	else if (now > s->still_since_ms + STALL_MS) {
		s->state = BROKEN;
		record("%s is broken", s->id);
		write_entry(s);
	}
	if (s->state == CLOSING && s->active == 0) {
		s->state = READY;
		write_entry(s);
	}
}

static void *
clock_thread(void *arg)
{
	uint64_t beat = 0, died = 0;

	(void)arg;
	for (;;) {
		uint64_t now = now_ms();

		pthread_mutex_lock(&lock);
		for (struct late_order **p = &late; *p != NULL;) {
			struct late_order *l = *p;

			if (now < l->due_ms) {
				p = &l->next;
				continue;
			}
			*p = l->next;
			record("%s carries out a late order", l->to->id);
			(void)do_order(l->to, l->body);
			free(l);
		}
		for (int i = 0; i < SERVERS; i++)
			step(&servers[i], now);
		for (int i = 0; i < SERVERS; i++)
			if (servers[i].dead && died == 0)
				died = now;
		for (int i = 0; i < SERVERS; i++)
			if (servers[i].dead && !servers[i].unlisted &&
			    now > died + 3 * HEARTBEAT_MS) {
				char key[64];

				servers[i].unlisted = true;
				snprintf(key, sizeof(key), "servers/%s",
				    servers[i].id);
				store_delete(store, key);
			}
		if (now > beat + HEARTBEAT_MS) {
			beat = now;
			for (int i = 0; i < SERVERS; i++) {
				servers[i].sequence++;
				write_entry(&servers[i]);
			}
		}
		pthread_mutex_unlock(&lock);
		sleep_ms(5);
	}
	return NULL;
}

/* ---- Requests ---- */

static bool
write_chunk(struct connection *c, const char *text)
{
	char chunk[256];
	int n = snprintf(
	    chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(text), text);

	return write_all(c->fd, chunk, (size_t)n);
}

static bool
serve_stream(struct connection *c, struct message *m, struct server *s)
{
	char id[512], last[512], head[700], text[128];
	int events, at;

	field(m, "X-Attempt-Id", id);
	at = atoi(field(m, "Last-Event-Id", last));
	events = atoi(m->body);
	pthread_mutex_lock(&lock);
	if (s->state != OPEN || s->rank != 0) {
		pthread_mutex_unlock(&lock);
		snprintf(text, sizeof(text), "X-Instance-Id: %s\r\n", s->id);
		return answer(c, 421, text, "");
	}
	s->active++;
	record("%s runs %s from event %d", s->id, id, at + 1);
	pthread_mutex_unlock(&lock);
	snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %.64s\r\nX-Server-Signature: sig.%.64s\r\n"
	    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	    id, id);
	bool ok = write_all(c->fd, head, strlen(head));
	while (ok && at < events) {
		bool still;

		sleep_ms(EVENT_MS);
		pthread_mutex_lock(&lock);
		still = s->still_since_ms != 0 || stands_still(s);
		ok = (s->state == OPEN || s->state == CLOSING) && !s->dead;
		pthread_mutex_unlock(&lock);
		if (!ok || still)
			continue;
		snprintf(text, sizeof(text), "id: %d\ndata: piece %d of %.64s\n\n",
		    at + 1, at + 1, id);
		ok = write_chunk(c, text);
		at++;
	}
	ok = ok && write_all(c->fd, "0\r\n\r\n", 5);
	pthread_mutex_lock(&lock);
	s->active--;
	record("%s has ended %s after event %d: %s", s->id, id, at,
	    ok ? "complete" : "broken off");
	if (ok && owe_next) {
		owe_next = false;
		c->owed = 1;
		snprintf(c->owed_id, sizeof(c->owed_id), "%.63s", id);
	}
	pthread_mutex_unlock(&lock);
	return ok;
}

static void
send_extra(struct connection *c, struct server *s)
{
	char text[1024], body[128];

	snprintf(body, sizeof(body), "id: 1\ndata: piece 1 of %s\n\n", c->owed_id);
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: sig.%s\r\n"
	    "Content-Type: text/event-stream\r\nContent-Length: %zu\r\n\r\n%s",
	    c->owed_id, c->owed_id, strlen(body), body);
	c->owed = 0;
	extra_sent++;
	record("%s sends an extra answer to %s", s->id, c->owed_id);
	(void)write_all(c->fd, text, strlen(text));
}

static bool
serve_order(struct connection *c, struct message *m, struct server *s)
{
	uint64_t now = now_ms();
	int code;

	/* A server that is silent for a moment, all of it, and goes on. */
	if (silent_next && s == silent_server) {
		silent_next = false;
		record("%s is silent for %d ms", s->id, SILENT_MS);
		sleep_ms(SILENT_MS);
	}
	pthread_mutex_lock(&lock);
	if (s == late_server && now < late_until_ms && late_left > 0) {
		struct late_order *l = calloc(1, sizeof(*l));

		l->to = s;
		l->due_ms = now + LATE_MS;
		snprintf(l->body, sizeof(l->body), "%.2000s", m->body);
		l->next = late;
		late = l;
		late_count++;
		late_left--;
		record("%s leaves an order unanswered: %s", s->id, m->body);
		pthread_mutex_unlock(&lock);
		return true;
	}
	code = do_order(s, m->body);
	answered_in_window += late_until_ms != 0 && now < late_until_ms;
	pthread_mutex_unlock(&lock);
	return answer(c, code, "", "");
}

static bool
serve_report(struct connection *c, struct server *s)
{
	char text[512], group[256] = "";

	pthread_mutex_lock(&lock);
	if (s->state != NONE)
		snprintf(group, sizeof(group),
		    ",\"group\":{\"name\":\"%s\",\"epoch\":%lld,\"rank\":%d,"
		    "\"state\":\"%s\"}",
		    s->group, s->epoch, s->rank, state_names[s->state]);
	snprintf(text, sizeof(text),
	    "{\"stage\":\"both\",\"models\":[{\"name\":\"%s\",\"version\":1,"
	    "\"adapters\":[]}],\"busy\":false,\"sequence\":%d,\"queued\":0,"
	    "\"active\":%d,\"kv_used\":0,\"kv_total\":2470000,\"handles\":0,"
	    "\"pace\":1.0,\"born\":%llu,\"domain\":\"zone-a-d0\",\"staged\":"
	    "[\"%s\"]%s}",
	    MODEL, s->sequence, s->active, (unsigned long long)born_ms, MODEL,
	    group);
	pthread_mutex_unlock(&lock);
	return answer(c, 200, "Content-Type: application/json\r\n", text);
}

static bool
serve(struct connection *c, struct message *m)
{
	struct server *s = c->user;
	char method[16], target[1024], expected[512];

	target_of(m, method, target);
	while (s->dead)
		sleep_ms(100);
	if (c->owed)
		send_extra(c, s);
	if (strcmp(field(m, "X-Expect-Instance", expected), s->id) != 0 &&
	    expected[0] != '\0')
		return answer(c, 421, "", "");
	if (strcmp(target, "/lavenderdrift/order") == 0)
		return serve_order(c, m, s);
	if (strcmp(target, "/lavenderdrift/report") == 0)
		return serve_report(c, s);
	return serve_stream(c, m, s);
}

/* ---- The operator, clients ---- */

static void
put_config(void)
{
	store_put(store, "op/config",
	    "{\"version\":3,\"route_table\":[{\"name\":\"r-1\",\"host\":"
	    "\"draft.example\",\"prefix\":\"/draft/\",\"type\":\"streaming\","
	    "\"timeout_ms\":12000,\"target_latency_ms\":400,\"priority\":1,"
	    "\"service\":\"models\",\"max_attempts\":2,\"anonymous\":false,"
	    "\"session_affinity\":true,\"resumable\":true,\"target_gap_ms\":250}],"
	    "\"services\":[{\"name\":\"models\",\"health_path\":\"/health\","
	    "\"max_connections\":404,\"protocol\":\"h1\",\"tls\":false,\"engine\":"
	    "{\"slots\":26,\"kv_capacity_tokens\":2470000,\"kv_bytes\":35136,"
	    "\"link_mbps\":400000.0,\"stride\":6,\"models\":[{\"name\":\"" MODEL
	    "\",\"size\":3,\"share\":1.0,\"pace\":1.0,\"load_s\":16.0,\"warm_s\":"
	    "1.6}],\"step_ms\":6.45,\"per_seq_ms\":0.0967,\"context_per_k\":"
	    "0.00293,\"read_per_s\":56100.0,\"pairs_per_m\":0.309,\"chunk\":2048,"
	    "\"report_lag_ms\":200.0,\"loads_per_s\":5.5,\"loads_at_once\":8,"
	    "\"delays\":[],\"usual\":{\"prompt\":1115,\"answer\":152},"
	    "\"retention_count\":1,\"far_x\":3.0,\"form_ms\":300.0}}],\"limits\":{"
	    "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
	    "\"name\":\"account-a\",\"api_keys\":[\"" KEY "\"],\"priority\":1}]}");
}

struct stream {
	const struct relay *at;
	const char *id;
	int events;
	int code;
	bool complete;
	bool ended;
};

static void *
client_thread(void *arg)
{
	struct stream *s = arg;
	struct message *m = malloc(sizeof(*m));
	char text[700], body[16];

	snprintf(body, sizeof(body), "%d", s->events);
	snprintf(text, sizeof(text),
	    "POST /draft/one HTTP/1.1\r\nHost: draft.example\r\nX-Attempt-Id: %s\r\n"
	    "X-Model: " MODEL "\r\nX-Token-Count: 400,80\r\nX-Prefix-Hash: "
	    "5c1e07a2:40,%08x:360\r\nX-Deadline-Ms: 11000\r\n"
	    "Authorization: Bearer " KEY "\r\nContent-Length: %zu\r\n\r\n%s",
	    s->id, (unsigned int)s->events, strlen(body), body);
	s->code = ask(s->at->entry, text, 12000, m);
	s->complete = m->complete;
	record("client: %s at %s ends: %d, %s", s->id, s->at->name, s->code,
	    m->complete ? "complete" : "not complete");
	s->ended = true;
	free(m);
	return NULL;
}

static void
start_stream(struct stream *s, const struct relay *at, const char *id, int events)
{
	pthread_t t;

	*s = (struct stream){.at = at, .id = id, .events = events};
	record("client: %s at %s, %d events", id, at->name, events);
	pthread_create(&t, NULL, client_thread, s);
	pthread_detach(t);
}

static struct server *
open_head(void)
{
	struct server *out = NULL;

	pthread_mutex_lock(&lock);
	for (int i = 0; i < SERVERS; i++)
		if (servers[i].state == OPEN && servers[i].rank == 0)
			out = &servers[i];
	pthread_mutex_unlock(&lock);
	return out;
}

#endif
