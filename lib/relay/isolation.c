/*
 * This node reaches no server, while other nodes do. Until it does again, its
 * requests are forwarded to other nodes, it holds no control, and what fails here
 * says nothing about servers, groups or prompts.
 */
#include <stdlib.h>
#include <string.h>

#include "request_internal.h"

/* Interval of the probes of servers while isolated, and their timeout, ms: some
 * round trips between failure domains. */
#define PROBE_INTERVAL_MS 300
#define PROBE_TIMEOUT_MS 280

struct isolation {
	struct ld_http_sink sink; /* first member */
	struct relay *relay;
	struct ld_reachability reach;
	struct ld_http_call *probe;
	uint64_t next_probe_ms;
};

bool
isolation_is_active(const struct relay *r)
{
	return r->isolation->reach.isolated;
}

bool
isolation_is_suspected(const struct relay *r)
{
	return ld_reach_is_suspected(&r->isolation->reach, relay_now(r));
}

void
isolation_note_failed(struct relay *r, const struct ld_server *server,
    bool connected, uint64_t since_ms)
{
	/* This process was delayed: the answer may have arrived. */
	if (since_ms < r->on_time_since_ms)
		return;
	ld_reach_failed(&r->isolation->reach, server->id_hash, connected,
	    since_ms, relay_now(r));
}

void
isolation_note_answered(struct relay *r, uint64_t sent_ms)
{
	ld_reach_answered(&r->isolation->reach, sent_ms);
}

void
isolation_note_heard(struct relay *r)
{
	ld_reach_heard(&r->isolation->reach);
}

/* Servers that seemed to fail are as sound as before. */
static void
clear_suspicions(struct relay *r)
{
	for (struct ld_server *s = ld_servers_first(r->servers); s != NULL;
	     s = s->next) {
		s->suspect_until_ms = 0;
		s->failures = 0;
	}
}

/* Sends that wait for their connection are forwarded without further delay. */
static void
move_unsent(struct relay *r)
{
	struct request *next;

	for (struct request *q = r->requests; q != NULL; q = next) {
		next = q->next;
		if (q->send->server != NULL && q->send->call != NULL &&
		    !ld_http_maybe_sent(q->send->call) &&
		    request_can_forward(q))
			request_retry_or_fail(q, "node-isolated");
	}
}

/* ---- Probes ---- */

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *result)
{
	struct isolation *i = (struct isolation *)s;
	struct relay *r = i->relay;
	uint64_t since_ms = i->reach.since_ms;

	i->probe = NULL;
	if (!ld_reach_probed(&i->reach, result->status == LD_OK, relay_now(r)))
		return;
	ld_event("node.isolated", "isolated=0 servers=0 ms=%llu",
	    (unsigned long long)(relay_now(r) - since_ms));
	clear_suspicions(r);
}

static struct ld_server *
draw_server(struct relay *r)
{
	struct ld_server *out = NULL;
	uint64_t n = 0;

	for (struct ld_server *s = ld_servers_first(r->servers); s != NULL;
	     s = s->next)
		if (s->listed && !s->entry.leaving && !s->evacuated &&
		    ld_rand_below(&r->rand, ++n) == 0)
			out = s;
	return out;
}

/* Any answer shows that a server is reached. */
static void
start_probe(struct isolation *i)
{
	struct relay *r = i->relay;
	struct ld_server *s = draw_server(r);
	struct ld_buf url = {0};
	struct ld_http_request rq = {
	    .method = "GET",
	    .connect_timeout_ms = PROBE_TIMEOUT_MS,
	    .total_timeout_ms = PROBE_TIMEOUT_MS,
	    .fresh = true,
	};

	if (s == NULL)
		return;
	ld_buf_printf(
	    &url, "http://%s%s", s->entry.address, r->dialect->report_target);
	rq.url = ld_buf_cstr(&url);
	relay_count(r, LD_M_RELAY_PROBES);
	i->probe = ld_http_start(r->http, &rq, &i->sink);
	ld_buf_free(&url);
}

/* ---- Start, end, time ---- */

void
isolation_tick(struct relay *r)
{
	struct isolation *i = r->isolation;
	uint64_t now = relay_now(r);

	if (ld_reach_evaluate(&i->reach, r->servers, now)) {
		relay_count(r, LD_M_RELAY_ISOLATIONS);
		ld_event("node.isolated", "isolated=1 servers=%zu ms=%llu",
		    i->reach.n,
		    (unsigned long long)(now - i->reach.failures[0].since_ms));
		clear_suspicions(r);
		leader_resign(r);
		move_unsent(r);
	}
	if (!i->reach.isolated || i->probe != NULL || now < i->next_probe_ms)
		return;
	i->next_probe_ms = now + PROBE_INTERVAL_MS;
	start_probe(i);
}

void
isolation_open(struct relay *r)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};

	r->isolation = ld_alloc(sizeof(*r->isolation));
	r->isolation->sink.ops = &ops;
	r->isolation->relay = r;
}

void
isolation_close(struct relay *r)
{
	if (r->isolation->probe != NULL)
		ld_http_cancel(r->isolation->probe);
	free(r->isolation);
}
