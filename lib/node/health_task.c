/* Performs the actions of lib/health: HTTP probes and reports. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "health_task.h"

/* Period of ld_health_tick(), and so the precision of probe times. */
#define TICK_MS 50
/* Period of reporting all views, as some fields change with time alone. */
#define VIEWS_PERIOD_MS 500
#define ANSWER_MAX_BYTES 65536
#define URL_BYTES (LD_HEALTH_ADDRESS_MAX + 16)

/** struct probe - probe in progress: GET /health, then GET /load of a head */
struct probe {
	struct ld_http_sink sink;
	struct probe *next;
	struct ld_health_task *task;
	struct ld_http_call *call;
	struct ld_buf body;
	char address[LD_HEALTH_ADDRESS_MAX];
	uint64_t number;
	json_t *health; /* NULL until /health is answered */
	struct ld_health_answer answer;
};

struct ld_health_task {
	struct ld_loop *loop;
	struct ld_http *http;
	struct ld_health *health;
	struct ld_timer timer;
	const struct ld_health_task_ops *ops;
	void *arg;
	struct probe *probes;
	uint64_t next_views_ms;
	uint32_t timeout_ms;
	struct ld_health_task_counters counters;
};

static void perform_actions(struct ld_health_task *t);

static uint64_t
now_of(const struct ld_health_task *t)
{
	return ld_loop_now(t->loop);
}

static void
notify_view(struct ld_health_task *t, const char *address)
{
	struct ld_health_view v;

	if (t->ops->view == NULL)
		return;
	if (ld_health_view(t->health, ld_str_c(address), now_of(t), &v) ==
	    LD_OK)
		t->ops->view(t->arg, &v);
}

/* ---- Probes ---- */

static void
probe_release(struct probe *p)
{
	if (p->call != NULL)
		ld_http_cancel(p->call);
	json_decref(p->health);
	ld_buf_free(&p->body);
	free(p);
}

static void
probe_free(struct probe *p)
{
	struct probe **link = &p->task->probes;

	while (*link != p)
		link = &(*link)->next;
	*link = p->next;
	probe_release(p);
}

static void
probe_end(struct probe *p, enum ld_health_outcome outcome)
{
	struct ld_health_task *t = p->task;
	char address[LD_HEALTH_ADDRESS_MAX];

	memcpy(address, p->address, sizeof(address));
	t->counters.probe_failures += outcome != LD_HEALTH_ANSWERED;
	ld_health_probe_result(
	    t->health, p->number, outcome, &p->answer, now_of(t));
	probe_free(p);
	perform_actions(t);
	notify_view(t, address);
}

/* Uses a new connection: a reused one may be dead without an error. */
static bool
probe_get(struct probe *p, const char *path)
{
	char url[URL_BYTES];
	struct ld_http_request rq = {.method = "GET", .url = url};

	snprintf(url, sizeof(url), "http://%s%s", p->address, path);
	rq.fresh = true;
	rq.connect_timeout_ms = p->task->timeout_ms;
	rq.total_timeout_ms = p->task->timeout_ms;
	rq.max_body = ANSWER_MAX_BYTES;
	p->body.len = 0;
	p->call = ld_http_start(p->task->http, &rq, &p->sink);
	return p->call != NULL;
}

static uint64_t
json_uint64(const json_t *doc, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(doc, name));

	return v > 0 ? (uint64_t)v : 0;
}

static uint32_t
json_uint32(const json_t *doc, const char *name)
{
	uint64_t v = json_uint64(doc, name);

	return v < UINT32_MAX ? (uint32_t)v : UINT32_MAX;
}

static bool
is_valid_name(const json_t *text)
{
	return text == NULL || json_is_null(text) ||
	    (json_is_string(text) &&
		json_string_length(text) < LD_HEALTH_NAME_MAX);
}

/* Return: false if the answer is malformed or from another server. */
static bool
read_health(struct probe *p, json_t *doc)
{
	const json_t *replica = json_object_get(doc, "replica");
	const json_t *run = json_object_get(doc, "incarnation");
	const json_t *address = json_object_get(doc, "address");

	if (!json_is_object(doc) || !is_valid_name(replica) ||
	    !is_valid_name(run))
		return false;
	/* Another server has taken over the address of the probed one. */
	if (json_is_string(address) &&
	    strcmp(json_string_value(address), p->address) != 0)
		return false;
	p->answer.replica = ld_str_c(json_string_value(replica));
	p->answer.incarnation = ld_str_c(json_string_value(run));
	p->answer.epoch = json_uint64(doc, "epoch");
	p->answer.ready = json_is_true(json_object_get(doc, "ready"));
	return true;
}

/* Only the head serves completions, so only its load is meaningful. */
static bool
is_head(const struct probe *p)
{
	const json_t *members = json_object_get(p->health, "members");
	const char *head = json_string_value(json_array_get(members, 0));

	return head != NULL && strcmp(head, p->address) == 0;
}

static void
read_load(struct probe *p, const json_t *doc)
{
	if (!json_is_object(doc))
		return;
	p->answer.load_known = true;
	p->answer.running = json_uint32(doc, "running");
	p->answer.waiting = json_uint32(doc, "waiting");
	p->answer.slots = json_uint32(doc, "slots");
}

static enum ld_health_outcome
probe_failure(const struct ld_http_result *r)
{
	if (r->status == LD_OK)
		return LD_HEALTH_MALFORMED;
	return r->status == LD_E_UNAVAILABLE ? LD_HEALTH_REFUSED
					     : LD_HEALTH_TIMED_OUT;
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	ld_buf_adds(&((struct probe *)s)->body, bytes);
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	struct probe *p = (struct probe *)s;
	json_t *doc = NULL;

	p->call = NULL;
	if (r->status == LD_OK && r->code == 200)
		doc = json_loadb(p->body.p, p->body.len, 0, NULL);
	if (p->health != NULL) {
		/* /health was answered, so a failed /load isn't a failure. */
		read_load(p, doc);
		json_decref(doc);
		probe_end(p, LD_HEALTH_ANSWERED);
		return;
	}
	if (doc == NULL || !read_health(p, doc)) {
		json_decref(doc);
		probe_end(p, probe_failure(r));
		return;
	}
	p->health = doc;
	p->answer.took_ms = r->ms < UINT32_MAX ? (uint32_t)r->ms : UINT32_MAX;
	if (!is_head(p) || !probe_get(p, "/load"))
		probe_end(p, LD_HEALTH_ANSWERED);
}

static void
probe_start(struct ld_health_task *t, const struct ld_health_action *a)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};
	struct probe *p = ld_alloc(sizeof(*p));

	p->sink.ops = &ops;
	p->task = t;
	p->number = a->probe;
	memcpy(p->address, a->address, sizeof(p->address));
	p->next = t->probes;
	t->probes = p;
	t->counters.probes++;
	/* If it can't start, the health module counts it as timed out. */
	if (!probe_get(p, "/health"))
		probe_free(p);
}

/* ---- Actions ---- */

static void
publish(struct ld_health_task *t, const struct ld_health_action *a)
{
	struct ld_buf bytes = {0};

	t->counters.reports_out++;
	if (t->ops->publish == NULL)
		return;
	ld_health_report_encode(&a->report, &bytes);
	t->ops->publish(t->arg, ld_str_c(a->address), ld_buf_str(&bytes));
	ld_buf_free(&bytes);
}

static void
perform_actions(struct ld_health_task *t)
{
	struct ld_health_action a;

	while (ld_health_next_action(t->health, &a)) {
		if (a.type == LD_HEALTH_PROBE)
			probe_start(t, &a);
		else
			publish(t, &a);
	}
}

static void
notify_all_views(struct ld_health_task *t, uint64_t now_ms)
{
	if (now_ms < t->next_views_ms)
		return;
	t->next_views_ms = now_ms + VIEWS_PERIOD_MS;
	if (t->ops->view != NULL)
		ld_health_each_view(t->health, now_ms, t->ops->view, t->arg);
}

static void
on_timer(struct ld_timer *timer, uint64_t due_ms)
{
	struct ld_health_task *t = (struct ld_health_task *)((char *)timer -
	    offsetof(struct ld_health_task, timer));

	ld_health_tick(t->health, now_of(t));
	perform_actions(t);
	notify_all_views(t, now_of(t));
	ld_timer_after(ld_loop_timers(t->loop), &t->timer, TICK_MS);
}

/* ---- Calls of the owner ---- */

struct ld_health_task *
ld_health_task_new(struct ld_loop *loop, struct ld_http *http,
    const struct ld_health_config *config, const struct ld_health_task_ops *ops,
    void *arg)
{
	struct ld_health_task *t = ld_alloc(sizeof(*t));
	struct ld_health_config own = *config;
	struct ld_rand rand;

	/* A new process at this address numbers its reports from 1 again. */
	ld_rand_seed_os(&rand);
	while (own.run == 0)
		own.run = ld_rand_u64(&rand);
	t->loop = loop;
	t->http = http;
	t->ops = ops;
	t->arg = arg;
	t->timeout_ms = config->timeout_ms;
	t->health = ld_health_new(&own, now_of(t));
	t->timer.fn = on_timer;
	ld_timer_after(ld_loop_timers(loop), &t->timer, 0);
	return t;
}

void
ld_health_task_free(struct ld_health_task *t)
{
	struct probe *p, *next;

	if (t == NULL)
		return;
	ld_timer_stop(ld_loop_timers(t->loop), &t->timer);
	for (p = t->probes; p != NULL; p = next) {
		next = p->next;
		probe_release(p);
	}
	ld_health_free(t->health);
	free(t);
}

void
ld_health_task_nodes(
    struct ld_health_task *t, const struct ld_health_node *nodes, size_t n)
{
	ld_health_set_nodes(t->health, nodes, n, now_of(t));
}

void
ld_health_task_servers(
    struct ld_health_task *t, const struct ld_health_server *servers, size_t n)
{
	ld_health_set_servers(t->health, servers, n, now_of(t));
}

enum ld_status
ld_health_task_report(struct ld_health_task *t, struct ld_str report)
{
	struct ld_health_report r;
	enum ld_status st = ld_health_report_decode(report, &r);

	t->counters.reports_in++;
	if (st == LD_OK)
		st = ld_health_peer_report(t->health, &r, now_of(t));
	if (st != LD_OK) {
		t->counters.reports_refused++;
		return st;
	}
	notify_view(t, r.address);
	return LD_OK;
}

void
ld_health_task_call(struct ld_health_task *t, struct ld_str address,
    enum ld_health_outcome outcome, uint32_t token_ms)
{
	ld_health_call_result(t->health, address, outcome, token_ms, now_of(t));
}

const struct ld_health *
ld_health_task_module(const struct ld_health_task *t)
{
	return t->health;
}

const struct ld_health_task_counters *
ld_health_task_counters(const struct ld_health_task *t)
{
	return &t->counters;
}
