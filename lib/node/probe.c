/* Asks the members of placed replicas what they hold and how loaded they are. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node_internal.h"

#define PART "probe"
#define URL_BYTES 128
#define ANSWER_MAX_BYTES 65536

/** enum probe_what - what a probe asks for */
enum probe_what {
	PROBE_HEALTH,
	PROBE_LOAD
};

/** struct probe_call - one question under way */
struct probe_call {
	struct ld_http_sink sink;
	struct probe *probe;
	struct ld_http_call *call; /* NULL when none is under way */
	struct ld_buf body;
	uint64_t sent_ms;
	enum probe_what what;
};

/** struct probe - one member that is asked again and again */
struct probe {
	struct probe *next;
	struct ld_node *node;
	struct ld_timer timer;
	char *address;
	char *replica; /* set when the member is the head of this replica */
	struct probe_call health;
	struct probe_call load;
	bool wanted;
};

struct probes {
	struct probe *first;
};

/* ---- Answers ---- */

static void
take_health(struct probe *p, const json_t *doc, uint64_t at_ms)
{
	struct ld_route_health h = {.address = ld_str_c(p->address)};
	struct ld_node *n = p->node;

	h.replica =
	    ld_str_c(json_string_value(json_object_get(doc, "replica")));
	h.epoch = (uint64_t)json_integer_value(json_object_get(doc, "epoch"));
	h.ready = json_is_true(json_object_get(doc, "ready"));
	h.at_ms = at_ms;
	ld_route_report_health(n->route, node_now(n), &h);
}

static uint64_t
number(const json_t *doc, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(doc, name));

	return v > 0 ? (uint64_t)v : 0;
}

static void
take_load(struct probe *p, const json_t *doc, uint64_t at_ms)
{
	struct ld_node *n = p->node;
	struct ld_route_load l = {
	    .replica = ld_str_c(p->replica),
	    .running = number(doc, "running"),
	    .waiting = number(doc, "waiting"),
	    .slots = number(doc, "slots"),
	    .at_ms = at_ms,
	};

	ld_route_report_load(n->route, node_now(n), &l);
	ld_admit_capacity(
	    n->admit, node_now(n), ld_route_capacity(n->route, node_now(n)));
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	ld_buf_adds(&((struct probe_call *)s)->body, bytes);
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	struct probe_call *c = (struct probe_call *)s;
	struct probe *p = c->probe;
	json_t *doc = NULL;

	c->call = NULL;
	if (r->status == LD_OK && r->code == 200)
		doc = json_loadb(c->body.p, c->body.len, 0, NULL);
	if (doc != NULL && c->what == PROBE_HEALTH)
		take_health(p, doc, c->sent_ms);
	if (doc != NULL && c->what == PROBE_LOAD)
		take_load(p, doc, c->sent_ms);
	if (doc == NULL && r->status == LD_E_UNAVAILABLE)
		ld_route_missing(
		    p->node->route, node_now(p->node), ld_str_c(p->address));
	json_decref(doc);
	completions_act(p->node);
}

/* ---- Questions ---- */

static void
ask(struct probe *p, struct probe_call *c, const char *path)
{
	struct ld_node *n = p->node;
	char url[URL_BYTES];
	struct ld_http_request rq = {.method = "GET", .url = url};

	if (c->call != NULL)
		return;
	snprintf(url, sizeof(url), "http://%s%s", p->address, path);
	rq.total_timeout_ms = n->settings->health_interval_ms;
	rq.max_body = ANSWER_MAX_BYTES;
	c->body.len = 0;
	c->sent_ms = node_now(n);
	c->call = ld_http_start(n->http, &rq, &c->sink);
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct probe *p =
	    (struct probe *)((char *)t - offsetof(struct probe, timer));

	ask(p, &p->health, "/health");
	if (p->replica != NULL)
		ask(p, &p->load, "/load");
	ld_timer_after(ld_loop_timers(p->node->loop), &p->timer,
	    p->node->settings->health_interval_ms);
}

/* ---- Set of members ---- */

static struct probe *
find(struct probes *ps, struct ld_str address)
{
	for (struct probe *p = ps->first; p != NULL; p = p->next)
		if (ld_str_eq(ld_str_c(p->address), address))
			return p;
	return NULL;
}

static void
call_init(struct probe_call *c, struct probe *p, enum probe_what what)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};

	c->sink.ops = &ops;
	c->probe = p;
	c->what = what;
}

static struct probe *
probe_new(struct ld_node *n, struct ld_str address)
{
	struct probe *p = ld_alloc(sizeof(*p));

	p->node = n;
	p->address = ld_str_dup(address);
	p->timer.fn = on_timer;
	call_init(&p->health, p, PROBE_HEALTH);
	call_init(&p->load, p, PROBE_LOAD);
	p->next = n->probes->first;
	n->probes->first = p;
	ld_timer_after(ld_loop_timers(n->loop), &p->timer, 0);
	return p;
}

static void
call_fini(struct probe_call *c)
{
	if (c->call != NULL)
		ld_http_cancel(c->call);
	ld_buf_free(&c->body);
}

static void
probe_free(struct probe *p)
{
	ld_timer_stop(ld_loop_timers(p->node->loop), &p->timer);
	call_fini(&p->health);
	call_fini(&p->load);
	free(p->address);
	free(p->replica);
	free(p);
}

static void
drop_unwanted(struct probes *ps)
{
	struct probe **link = &ps->first;

	while (*link != NULL) {
		struct probe *p = *link;

		if (p->wanted) {
			link = &p->next;
			continue;
		}
		*link = p->next;
		probe_free(p);
	}
}

void
probes_watch(struct ld_node *n, const struct ld_str *addresses,
    const struct ld_str *heads_of, size_t count)
{
	struct probes *ps = n->probes;

	for (struct probe *p = ps->first; p != NULL; p = p->next)
		p->wanted = false;
	for (size_t i = 0; i < count; i++) {
		struct probe *p = find(ps, addresses[i]);

		if (p == NULL)
			p = probe_new(n, addresses[i]);
		p->wanted = true;
		free(p->replica);
		p->replica =
		    heads_of[i].len > 0 ? ld_str_dup(heads_of[i]) : NULL;
	}
	drop_unwanted(ps);
}

void
probes_open(struct ld_node *n)
{
	n->probes = ld_alloc(sizeof(*n->probes));
}

void
probes_close(struct ld_node *n)
{
	probes_watch(n, NULL, NULL, 0);
	free(n->probes);
}
