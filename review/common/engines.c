/* See engines.h. */
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "engines.h"

#define BEAT_MS 1200
/* Before the first request loads take a tenth of the time. */
#define LOAD_MS_PER_S 100
#define FORM_MS 300

struct engine engines[ENGINES_MAX];
int engine_count;
int engine_group_size = ENGINE_GROUP;
bool engine_fenced = true;
int engine_two;
bool engine_one_domain;
double engine_load_s = 12.0;
uint64_t (*engine_late)(struct engine *e, const char *operation, bool to_head);
bool (*engine_hook)(struct engine *e, struct req *q, const char *attempt, bool *keep);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

const char *
engine_service_json(void)
{
	static char text[2048];

	snprintf(text, sizeof(text),
	       "{\"name\":\"" ENGINE_SERVICE "\",\"health_path\":\"/health\","
	       "\"max_connections\":404,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
	       "\"slots\":26,\"kv_capacity_tokens\":2470000,\"kv_bytes\":35136,"
	       "\"link_mbps\":400000.0,\"stride\":6,\"models\":[{\"name\":\"" ENGINE_MODEL
	       "\",\"size\":%d,\"share\":1.0,\"pace\":1.0,\"load_s\":%.1f,\"warm_s\":1.1}],"
	       "\"step_ms\":6.45,\"per_seq_ms\":0.0967,\"context_per_k\":0.00293,"
	       "\"read_per_s\":56100.0,\"pairs_per_m\":0.309,\"chunk\":2048,"
	       "\"report_lag_ms\":200.0,\"loads_per_s\":5.5,\"loads_at_once\":8,"
	       "\"delays\":[],\"usual\":{\"prompt\":1115,\"answer\":152},"
	       "\"retention_count\":1,\"far_x\":3.0,\"form_ms\":300.0}}",
	    engine_group_size, engine_load_s);
	return text;
}

static const char *
state_name(const struct engine *e)
{
	static const char *const names[] = {"", "joining", "ready", "ready", "open"};

	return names[e->state];
}

/* Call with the lock held. */
static void
describe(const struct engine *e, bool report, char *out, size_t size)
{
	char group[256] = "", models[128] = "[]", staged[64] = "[]";

	if (e->state > 0)
		snprintf(group, sizeof(group),
		    ",\"group\":{\"name\":\"%s\",\"epoch\":%lld,\"rank\":%d,\"state\":\"%s\"}",
		    e->group, e->epoch, e->rank, state_name(e));
	if (e->state > 1)
		snprintf(models, sizeof(models),
		    "[{\"name\":\"" ENGINE_MODEL "\",\"version\":1,\"adapters\":[]}]");
	if (e->staged)
		snprintf(staged, sizeof(staged), "[\"" ENGINE_MODEL "\"]");
	if (report)
		snprintf(out, size,
		    "{\"stage\":\"both\",\"models\":%s,\"staged\":%s,\"domain\":\"%s\","
		    "\"busy\":%s,\"sequence\":%d,\"queued\":0,\"active\":0,\"kv_used\":0,"
		    "\"kv_total\":2470000,\"handles\":0,\"pace\":1.0,\"born\":%lld%s}",
		    models, staged, e->domain, e->state == 1 ? "true" : "false",
		    e->sequence, e->born_ms, group);
	else
		snprintf(out, size,
		    "{\"service\":\"" ENGINE_SERVICE "\",\"address\":\"127.0.0.1:%d\","
		    "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":26,\"state\":\"ready\","
		    "\"warmup_left_ms\":0,\"stage\":\"both\",\"models\":%s,\"staged\":%s,"
		    "\"domain\":\"%s\",\"sequence\":%d,\"born\":%lld%s}",
		    e->port, e->zone, models, staged, e->domain, e->sequence, e->born_ms,
		    group);
}

static void
write_entry(struct engine *e)
{
	char key[64], value[1024];

	describe(e, false, value, sizeof(value));
	snprintf(key, sizeof(key), "servers/%s", e->id);
	store_put(key, value);
}

/* The head of the server's group, NULL if there is none. */
static const struct engine *
head_of(const struct engine *e)
{
	for (int i = 0; i < engine_count; i++) {
		const struct engine *h = &engines[i];

		if (h->state > 0 && h->rank == 0 && h->epoch == e->epoch &&
		    strcmp(h->group, e->group) == 0)
			return h;
	}
	return NULL;
}

/* Records a join that the rule TWO forbids. */
static void
judge_join(const struct engine *e, const char *group)
{
	const struct engine *h = e->state > 0 ? head_of(e) : NULL;

	if (h == NULL || h->dark || h->state != 4)
		return;
	engine_two++;
	record("TWO: %s takes a join of %s while %s, the head of its group %s, is open",
	    e->id, group, h->id, e->group);
}

static int
join(struct engine *e, const json_t *o)
{
	const char *group = json_string_value(json_object_get(o, "group"));
	long long epoch = json_integer_value(json_object_get(o, "epoch"));
	const json_t *m, *members = json_object_get(o, "members");
	size_t i;

	if (group == NULL || epoch < e->epoch_seen)
		return epoch < e->epoch_seen ? 412 : 400;
	if (e->state > 0 && strcmp(e->group, group) == 0 && e->epoch == epoch)
		return json_equal(members, e->members) ? 200 : 412;
	judge_join(e, group);
	snprintf(e->group, sizeof(e->group), "%s", group);
	e->epoch = e->epoch_seen = epoch;
	json_decref(e->members);
	e->members = json_deep_copy(members);
	json_array_foreach(members, i, m)
		if (strcmp(json_string_value(m), e->id) == 0)
			e->rank = (int)i;
	e->state = 1;
	/* 0.2 s if it was the model of the last group, else from the host, else a
	 * load. */
	e->due_ms = now_ms() +
	    (e->had_group    ? 200
		    : e->staged ? 1100
				: (uint64_t)(engine_load_s * LOAD_MS_PER_S));
	e->had_group = true;
	return 202;
}

static int
carry_out(struct engine *e, const json_t *o)
{
	const char *op = json_string_value(json_object_get(o, "operation"));
	const char *group = json_string_value(json_object_get(o, "group"));
	long long epoch = json_integer_value(json_object_get(o, "epoch"));
	const json_t *token = json_object_get(o, "fencing_token");
	bool same = group != NULL && e->state > 0 && strcmp(group, e->group) == 0 &&
	    epoch == e->epoch;

	if (op == NULL)
		return 400;
	if (engine_fenced && token != NULL && json_integer_value(token) < e->fence)
		return 412;
	if (token != NULL)
		e->fence = json_integer_value(token);
	if (strcmp(op, "join") == 0)
		return join(e, o);
	if (strcmp(op, "stage") == 0) {
		if (e->staged)
			return 200;
		if (e->stage_due_ms == 0)
			e->stage_due_ms =
			    now_ms() + (uint64_t)(engine_load_s * LOAD_MS_PER_S);
		return 202;
	}
	if (!same)
		return strcmp(op, "leave") == 0 ? 200 : 409;
	if (strcmp(op, "open") == 0) {
		if (e->state == 4 || e->state == 3)
			return 200;
		if (e->state != 2 || e->rank != 0)
			return 409;
		e->state = 3;
		e->due_ms = now_ms() + FORM_MS;
		return 202;
	}
	if (strcmp(op, "close") == 0) {
		if (e->state > 2)
			e->state = 2;
		return 200;
	}
	if (strcmp(op, "leave") == 0) {
		e->state = 0;
		return 200;
	}
	return 400;
}

static bool
is_to_head(const struct engine *e, const json_t *o)
{
	const char *first =
	    json_string_value(json_array_get(json_object_get(o, "members"), 0));

	return first != NULL ? strcmp(first, e->id) == 0 : e->rank == 0;
}

static bool
on_order(struct engine *e, struct req *q)
{
	json_t *o = json_loads(q->body, 0, NULL);
	const char *op = json_string_value(json_object_get(o, "operation"));
	const char *group = json_string_value(json_object_get(o, "group"));
	uint64_t late_ms = engine_late != NULL && op != NULL ? engine_late(e, op, is_to_head(e, o)) : 0;
	int code;

	if (late_ms > 0) {
		record("server %s: order %s %s isn't answered, will be carried out %d ms "
		       "later",
		    e->id, op, group != NULL ? group : "", (int)late_ms);
		sleep_ms((int)late_ms);
	}
	pthread_mutex_lock(&lock);
	code = o != NULL ? carry_out(e, o) : 400;
	if (code == 202)
		e->sequence++;
	if ((code == 202 || code == 200) && !e->cut_from_store)
		write_entry(e);
	pthread_mutex_unlock(&lock);
	record("server %s: order %s %s epoch %lld%s -> %d, now %s %s", e->id,
	    op != NULL ? op : "?", group != NULL ? group : "",
	    (long long)json_integer_value(json_object_get(o, "epoch")),
	    late_ms > 0 ? " (late)" : "", code, e->state > 0 ? e->group : "in no group",
	    state_name(e));
	json_decref(o);
	return late_ms == 0 &&
	    sendf(q->fd, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", code);
}

/* Six events, 40 ms apart, after the prompt was read. */
static bool
stream(struct engine *e, struct req *q, const char *attempt)
{
	if (!sendf(q->fd,
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: 3e1b.%s\r\n"
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		attempt, attempt))
		return false;
	sleep_ms(100);
	for (int i = 1; i <= 6; i++) {
		char event[128];
		int n = snprintf(event, sizeof(event), "id: %d\ndata: %054d\n\n", i, i);

		if (!sendf(q->fd, "%x\r\n%s\r\n", (unsigned int)n, event))
			return false;
		sleep_ms(40);
	}
	return sendf(q->fd, "0\r\n\r\n");
}

static bool
on_engine(struct req *q, void *arg)
{
	struct engine *e = arg;
	char text[1024], expect[64], attempt[64] = "";
	bool keep = true, open;

	if (e->dark) {
		sleep_ms(6000);
		return false;
	}
	if (field(q, "X-Expect-Instance", expect, sizeof(expect)) &&
	    strcmp(expect, e->id) != 0)
		return sendf(q->fd,
		    "HTTP/1.1 421 X\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e->id);
	if (strcmp(q->target, "/lavenderdrift/order") == 0)
		return on_order(e, q);
	if (strcmp(q->target, "/lavenderdrift/report") == 0) {
		pthread_mutex_lock(&lock);
		describe(e, true, text, sizeof(text));
		pthread_mutex_unlock(&lock);
		return sendf(q->fd,
		    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    strlen(text), text);
	}
	field(q, "X-Attempt-Id", attempt, sizeof(attempt));
	pthread_mutex_lock(&lock);
	open = e->state == 4;
	e->arrivals++;
	pthread_mutex_unlock(&lock);
	if (!open)
		return sendf(q->fd,
		    "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
		    attempt);
	if (engine_hook != NULL && engine_hook(e, q, attempt, &keep))
		return keep;
	return stream(e, q, attempt);
}

/* Joins and opens that are done, and heartbeats. */
static void *
engines_loop(void *arg)
{
	uint64_t beat_ms = 0;

	for (;;) {
		bool beat = now_ms() >= beat_ms;

		if (beat)
			beat_ms = now_ms() + BEAT_MS;
		pthread_mutex_lock(&lock);
		for (int i = 0; i < engine_count; i++) {
			struct engine *e = &engines[i];
			bool due;

			if (e->dark)
				continue;
			due = (e->state == 1 || e->state == 3) && now_ms() >= e->due_ms;
			if (due) {
				e->state++;
				e->staged = true;
			}
			if (e->stage_due_ms != 0 && now_ms() >= e->stage_due_ms) {
				e->stage_due_ms = 0;
				e->staged = due = true;
			}
			if ((due || beat) && !e->cut_from_store)
				write_entry(e);
		}
		pthread_mutex_unlock(&lock);
		sleep_ms(10);
	}
	return NULL;
}

/* Each relay reaches a server at a port of its own. */
static int
port_of_view(int port, int view)
{
	for (int i = 0; i < engine_count; i++)
		if (engines[i].port == port)
			return engines[i].ports[view];
	return port;
}

void
engines_start(int count)
{
	pthread_t t;

	store_view_port = port_of_view;
	engine_count = count;
	for (int i = 0; i < count; i++) {
		struct engine *e = &engines[i];

		*e = (struct engine){.number = i};
		e->born_ms = (long long)time(NULL) * 1000;
		snprintf(e->id, sizeof(e->id), "i-%08x", 0x7f3a9100 + i);
		snprintf(e->zone, sizeof(e->zone), "neng-a");
		snprintf(e->domain, sizeof(e->domain), "d%d", engine_one_domain ? 0 : i / engine_group_size);
		for (int k = 0; k < STORE_VIEWS; k++) {
			e->ports[k] = free_port();
			e->fds[k] = listen_on(e->ports[k], on_engine, e);
		}
		e->port = e->ports[0];
	}
	pthread_create(&t, NULL, engines_loop, NULL);
	pthread_detach(t);
}

int
engines_open(void)
{
	int n = 0;

	pthread_mutex_lock(&lock);
	for (int i = 0; i < engine_count; i++)
		n += engines[i].state == 4;
	pthread_mutex_unlock(&lock);
	return n;
}

void
engine_crash(struct engine *e)
{
	pthread_mutex_lock(&lock);
	e->dark = true;
	pthread_mutex_unlock(&lock);
	record("server %s: dark", e->id);
}

void
engine_refuse(struct engine *e, int view)
{
	listen_end(e->fds[view]);
	connections_reset(e->ports[view]);
}

void
engine_entry_lapses(struct engine *e)
{
	char key[64];

	snprintf(key, sizeof(key), "servers/%s", e->id);
	store_delete(key);
	record("store: the entry of %s is removed", e->id);
}

void
engine_restart(struct engine *e)
{
	pthread_mutex_lock(&lock);
	e->dark = e->had_group = false;
	e->state = e->rank = e->sequence = 0;
	e->epoch = e->epoch_seen = e->fence = 0;
	e->born_ms += 1000 + (long long)now_ms();
	write_entry(e);
	pthread_mutex_unlock(&lock);
	record("server %s: started again", e->id);
}
