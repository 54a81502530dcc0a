/* Sends the orders and probes that lib/groups decides on to servers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "relay_internal.h"

/* Timeout of an order, ms: a reachable server accepts it within a round trip;
 * without an answer it is repeated or abandoned. */
#define ORDER_TIMEOUT_MS 600
/* Timeout of a probe, ms: several round trips between failure domains. */
#define PROBE_TIMEOUT_MS 200
/* A probe that ends this much after its timeout shows that this process is
 * late, and nothing about the server, ms. */
#define OWN_DELAY_MS 15
#define REPORT_MAX_BYTES 65536
/* Minimum time between two evaluations of the groups, ms. */
#define EVALUATE_MIN_MS 20
/* Interval of evaluations without any change, ms: well below 210 ms, the
 * shortest time after which an order or a probe is repeated. */
#define EVALUATE_IDLE_MS 45

/**
 * struct control - the groups that this node controls while it holds the
 * control lease
 */
struct control {
	struct relay *relay;
	struct ld_groups *groups;
	struct server_call *calls;
	uint64_t evaluated_ms;
	bool changed;
};

/** struct server_call - an order or probe in progress */
struct server_call {
	struct ld_http_sink sink; /* first member */
	struct control *control;
	struct server_call *next;
	struct server_call **link;
	struct ld_http_call *call;
	bool is_order;
	struct ld_order order;
	struct ld_probe probe;
	struct ld_buf answer;
	uint64_t sent_ms;
};

struct ld_groups *
control_groups(struct relay *r)
{
	return r->control->groups;
}

static void
call_free(struct server_call *e)
{
	if (e->call != NULL)
		ld_http_cancel(e->call);
	*e->link = e->next;
	if (e->next != NULL)
		e->next->link = e->link;
	ld_buf_free(&e->answer);
	free(e);
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	ld_buf_adds(&((struct server_call *)s)->answer, bytes);
}

enum ld_order_result
control_order_result(const struct ld_http_result *r)
{
	if (r->refused && !r->sent)
		return LD_ORDER_UNREACHABLE;
	if (r->status != LD_OK)
		return LD_ORDER_SILENT;
	switch (r->code) {
	case 200:
		return LD_ORDER_DONE;
	case 202:
		return LD_ORDER_BEGUN;
	case 412:
		return LD_ORDER_FENCED;
	case 421:
		return LD_ORDER_OTHER_SERVER;
	case 400:
	case 409:
		return LD_ORDER_MISFIT;
	default:
		return LD_ORDER_SILENT;
	}
}

static void
order_done(struct server_call *e, const struct ld_http_result *result)
{
	struct control *c = e->control;
	struct relay *r = c->relay;
	enum ld_order_result outcome = control_order_result(result);
	bool keep_lease;

	ld_event("order.end",
	    "order=%s server=%s group=%s epoch=%lld fence=%lld token=%lld "
	    "expected=%lld result=%s code=%ld ms=%llu",
	    ld_order_name(e->order.type), e->order.server, e->order.group,
	    (long long)e->order.epoch, (long long)e->order.fence,
	    (long long)e->order.token,
	    e->order.conditional ? (long long)e->order.order_count : -1LL,
	    ld_order_result_name(outcome), result->code,
	    (unsigned long long)result->ms);
	keep_lease = ld_groups_on_order_result(
	    c->groups, &e->order, outcome, relay_now(r));
	call_free(e);
	c->changed = true;
	if (!keep_lease)
		leader_resign(r);
}

static void
probe_done(struct server_call *e, const struct ld_http_result *result)
{
	struct control *c = e->control;
	struct ld_server_entry report = {0};
	bool own_delay = result->status == LD_E_TIMEOUT &&
	    result->ms > PROBE_TIMEOUT_MS + OWN_DELAY_MS;
	bool ok = result->status == LD_OK && result->code == 200 &&
	    c->relay->dialect->read_report(ld_buf_str(&e->answer), &report) ==
		LD_OK;

	ld_event("probe.end",
	    "server=%s result=%s code=%ld ms=%llu group=%s member=%s pace=%.2f",
	    e->probe.server, ok ? "answered" : ld_status_name(result->status),
	    result->code, (unsigned long long)result->ms,
	    report.member.group != NULL ? report.member.group : "-",
	    ld_member_state_name(report.member.state), report.pace);
	if (!own_delay)
		ld_groups_on_probe_result(c->groups, &e->probe,
		    ok ? &report : NULL, relay_now(c->relay));
	ld_server_entry_fini(&report);
	call_free(e);
	c->changed = true;
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *result)
{
	struct server_call *e = (struct server_call *)s;

	e->call = NULL;
	if (e->is_order)
		order_done(e, result);
	else
		probe_done(e, result);
}

static struct server_call *
call_new(struct control *c)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};
	struct server_call *e = ld_alloc(sizeof(*e));

	e->sink.ops = &ops;
	e->control = c;
	e->sent_ms = relay_now(c->relay);
	e->next = c->calls;
	e->link = &c->calls;
	if (e->next != NULL)
		e->next->link = &e->next;
	c->calls = e;
	return e;
}

static void
start_call(struct server_call *e, struct ld_http_request rq,
    const char *address, const char *target, const char *server)
{
	struct relay *r = e->control->relay;
	struct ld_http_result failed = {.status = LD_E_UNAVAILABLE};
	char expect[160], url[160];
	const char *headers[] = {
	    "Content-Type: application/json", expect, NULL};

	snprintf(expect, sizeof(expect), "%s: %s",
	    r->dialect->fields[LD_FIELD_EXPECT_SERVER], server);
	snprintf(url, sizeof(url), "http://%s%s", address, target);
	rq.url = url;
	rq.headers = headers;
	rq.max_body = REPORT_MAX_BYTES;
	e->call = ld_http_start(r->http, &rq, &e->sink);
	if (e->call == NULL)
		on_done(&e->sink, &failed);
}

static void
send_order(struct control *c, const struct ld_order *o)
{
	struct relay *r = c->relay;
	struct server_call *e = call_new(c);
	struct ld_buf body = {0};
	struct ld_http_request rq = {
	    .method = "POST",
	    .connect_timeout_ms = ORDER_TIMEOUT_MS,
	    .total_timeout_ms = ORDER_TIMEOUT_MS,
	    /* An extra answer to an earlier request may arrive on a kept
	     * connection. */
	    .fresh = true,
	};

	e->is_order = true;
	e->order = *o;
	relay_count(r, LD_M_RELAY_ORDERS);
	server_limits_count_call(
	    r, ld_servers_find(r->servers, ld_str_c(o->server)));
	r->dialect->encode_order(o, &body);
	rq.body = ld_buf_str(&body);
	start_call(e, rq, o->address, r->dialect->order_target, o->server);
	ld_buf_free(&body);
}

static void
send_probe(struct control *c, const struct ld_probe *p)
{
	struct relay *r = c->relay;
	struct ld_server *s = ld_servers_find(r->servers, ld_str_c(p->server));
	struct server_call *e;
	struct ld_http_request rq = {
	    .method = "GET",
	    .connect_timeout_ms = PROBE_TIMEOUT_MS,
	    .total_timeout_ms = PROBE_TIMEOUT_MS,
	    .fresh = true,
	};

	if (s == NULL || s->evacuated)
		return;
	e = call_new(c);
	e->probe = *p;
	relay_count(r, LD_M_RELAY_PROBES);
	server_limits_count_call(r, s);
	start_call(
	    e, rq, s->entry.address, r->dialect->report_target, p->server);
}

static void
log_changes(struct control *c)
{
	struct ld_group_change ch;

	while (ld_groups_next_change(c->groups, &ch))
		ld_event("group.change",
		    "what=%s group=%s epoch=%lld model=%s server=%s "
		    "why=\"%s\" revision=%lld age_ms=%lld",
		    ch.what, ch.group, (long long)ch.epoch, ch.model,
		    ch.server[0] != '\0' ? ch.server : "-", ch.why,
		    (long long)feed_revision(c->relay),
		    (long long)feed_age_ms(c->relay));
}

static void
evaluate(struct control *c)
{
	struct relay *r = c->relay;
	const struct ld_service_spec *s = feed_engine_service(r);
	struct ld_order o;
	struct ld_probe p;

	if (s == NULL || !leader_holds(r))
		return;
	c->evaluated_ms = relay_now(r);
	c->changed = false;
	ld_groups_tick(c->groups, r->servers, ld_str_c(s->name), &s->engine,
	    feed_is_settled(r), feed_revision(r), c->evaluated_ms);
	log_changes(c);
	while (ld_groups_next_order(c->groups, &o))
		if (leader_holds(r))
			send_order(c, &o);
	while (ld_groups_next_probe(c->groups, &p))
		send_probe(c, &p);
	if (ld_groups_epochs_exhausted(c->groups))
		leader_resign(r);
}

void
control_tick(struct relay *r)
{
	if (relay_now(r) >= r->control->evaluated_ms + EVALUATE_IDLE_MS)
		evaluate(r->control);
}

void
control_servers_changed(struct relay *r)
{
	r->control->changed = true;
}

void
control_end_turn(struct relay *r)
{
	struct control *c = r->control;

	if (c->changed && relay_now(r) >= c->evaluated_ms + EVALUATE_MIN_MS)
		evaluate(c);
}

void
control_alarm(struct relay *r, struct ld_str group, int64_t epoch)
{
	ld_groups_alarm(r->control->groups, group, epoch, relay_now(r));
	r->control->changed = true;
}

void
control_open(struct relay *r)
{
	struct control *c = ld_alloc(sizeof(*c));

	c->relay = r;
	c->groups = ld_groups_new(
	    relay_now(r), r->settings->initial, r->settings->stall_ms);
	ld_groups_set_fenced(c->groups, r->settings->fencing_required);
	r->control = c;
}

void
control_close(struct relay *r)
{
	struct control *c = r->control;

	for (struct server_call *e = c->calls, *next; e != NULL; e = next) {
		next = e->next;
		call_free(e);
	}
	ld_groups_free(c->groups);
	free(c);
}
