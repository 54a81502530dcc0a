/* Model servers of planned stops: slots, a queue, and streams as planned. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_stops.h"

#define SLOTS 26
/* Mean time between two pauses of one server, and how long they last, ms. */
#define SILENCE_EVERY_MS 4000
#define SILENT_MIN_MS 300
#define SILENT_SPREAD_MS 1200
#define TICK_MS 2

static struct stops_request *
request_of(struct stops *s, struct ld_exchange *x)
{
	const char *id = ld_exchange_header(x, "X-Attempt-Id");
	unsigned long long v = id != NULL ? strtoull(id, NULL, 16) : 0;

	if (id == NULL || v >> 32 != (uint32_t)s->options.seed ||
	    (uint32_t)v >= s->request_count)
		return NULL;
	return &s->requests[(uint32_t)v];
}

static void
refuse(struct ld_exchange *x)
{
	const char *headers[] = {"X-Attempt-Id",
	    ld_exchange_header(x, "X-Attempt-Id"), "X-Not-Executed", "1", NULL};

	ld_exchange_answer(x, 503, "text/plain", headers, LD_STR("full"));
}

static void
start_work(
    struct stops_server *v, struct stops_request *q, struct ld_exchange *x)
{
	const char *last = ld_exchange_header(x, "Last-Event-Id");
	struct stops_work *w = ld_alloc(sizeof(*w)), **end = &v->world->work;

	*w = (struct stops_work){.server = v, .request = q, .x = x};
	w->event = last != NULL ? (unsigned int)strtoul(last, NULL, 10) + 1 : 1;
	while (*end != NULL)
		end = &(*end)->next;
	*end = w;
	ld_exchange_set_user_data(x, w);
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct stops_server *v = (struct stops_server *)h;
	struct stops_request *q = request_of(v->world, x);
	bool goes_on;

	if (strcmp(ld_exchange_path(x), "/lavenderdrift/report") == 0) {
		ld_exchange_answer(x, 200, "application/json", NULL,
		    LD_STR("{\"stage\":\"both\",\"models\":[],\"pace\":1.0}"));
		return;
	}
	if (q == NULL) { /* orders: the groups stay as they are */
		ld_exchange_answer(x, 409, "text/plain", NULL, LD_STR("no"));
		return;
	}
	q->arrivals++;
	goes_on = ld_exchange_header(x, "Last-Event-Id") != NULL;
	q->resumed += goes_on;
	if (q->arrivals <= q->plan.refusals ||
	    (goes_on && q->resumed <= q->plan.resume_refusals))
		refuse(x);
	else
		start_work(v, q, x);
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
	struct stops_work *w = ld_exchange_user_data(x);

	if (w != NULL)
		w->x = NULL;
}

static void
begin_stream(struct stops_work *w)
{
	char id[24];
	const char *headers[] = {"X-Attempt-Id", id, "X-Server-Signature", "1",
	    "Content-Type", "text/event-stream", NULL};

	snprintf(
	    id, sizeof(id), "%s", ld_exchange_header(w->x, "X-Attempt-Id"));
	ld_exchange_begin_with(w->x, 200, headers);
	w->has_head = true;
}

/* Returns false when the work is done. */
static bool
next_event(struct stops *s, struct stops_work *w)
{
	struct stops_request *q = w->request;
	char text[128];

	if (!w->has_head)
		begin_stream(w);
	snprintf(text, sizeof(text), "id: %u\ndata: %08x-%u %s\n\n", w->event,
	    q->number, w->event, "0123456789012345678901234567890123456789");
	ld_exchange_write(w->x, ld_str_c(text));
	if (w->event++ >= q->plan.events) {
		q->served = true;
		ld_exchange_end(w->x);
		return false;
	}
	w->due_ms = stops_now(s) + q->plan.every_ms;
	if (w->event == q->plan.pause_at)
		w->due_ms += q->plan.pause_ms;
	return true;
}

static bool
do_work(struct stops *s, struct stops_work *w)
{
	if (w->x == NULL)
		return false;
	if (stops_now(s) < w->server->silent_until_ms)
		return true;
	if (!w->begun) {
		if (w->server->running == SLOTS)
			return true;
		w->begun = true;
		w->server->running++;
		w->request->at_work++;
		w->due_ms = stops_now(s) + w->request->plan.first_ms;
	}
	return stops_now(s) < w->due_ms || next_event(s, w);
}

static void
draw_silence(struct stops *s)
{
	struct stops_server *v =
	    &s->servers[ld_rand_below(&s->rand, STOPS_SERVERS)];

	if (!s->calm &&
	    ld_rand_below(
		&s->rand, SILENCE_EVERY_MS / TICK_MS / STOPS_SERVERS) == 0)
		v->silent_until_ms = stops_now(s) + SILENT_MIN_MS +
		    ld_rand_below(&s->rand, SILENT_SPREAD_MS);
}

void
stops_work_tick(struct stops *s)
{
	struct stops_work **p = &s->work;

	draw_silence(s);

	while (*p != NULL) {
		struct stops_work *w = *p;

		if (do_work(s, w)) {
			p = &w->next;
			continue;
		}
		if (w->begun) {
			w->server->running--;
			w->request->at_work--;
			w->request->worked_ms = stops_now(s);
		}
		*p = w->next;
		free(w);
	}
}

void
stops_work_drop(struct stops *s)
{
	while (s->work != NULL) {
		struct stops_work *w = s->work;

		s->work = w->next;
		if (w->x != NULL) {
			ld_exchange_set_user_data(w->x, NULL);
			ld_exchange_abort(w->x);
		}
		free(w);
	}
}

void
stops_server_open(struct stops *s, int i)
{
	static const struct ld_handler_ops ops = {
	    .request = on_request, .client_disconnected = on_gone};
	struct stops_server *v = &s->servers[i];
	struct ld_listener_config c = {.host = "127.0.0.1",
	    .port = ld_free_port(),
	    .max_body_bytes = 65536,
	    .max_connections = 512,
	    .idle_timeout_ms = 60000,
	    .head_timeout_ms = 10000,
	    .no_request_id = true};
	char key[32], value[512];

	v->handler.ops = &ops;
	v->world = s;
	if (ld_listener_new(s->loop, &c, &v->handler, &v->listener) != LD_OK)
		abort();
	snprintf(v->address, sizeof(v->address), "127.0.0.1:%u", c.port);
	snprintf(v->id, sizeof(v->id), "i-%d", i);
	snprintf(key, sizeof(key), "servers/%s", v->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"z%d\","
	    "\"slots\":%d,\"state\":\"ready\",\"version\":\"v1\","
	    "\"warmup_left_ms\":0,\"sequence\":1,\"models\":[{\"name\":\"m0\"}]"
	    ","
	    "\"staged\":[\"m0\"],\"group\":{\"name\":\"g%d\",\"epoch\":%d,"
	    "\"rank\":0,\"state\":\"open\",\"model\":\"m0\"}}",
	    v->address, i % 3, SLOTS, i, i + 1);
	ld_kv_store_put(s->store, key, value);
}
