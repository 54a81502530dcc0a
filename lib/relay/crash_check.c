/*
 * Checks whether a server that ended a request without an answer has crashed: a
 * process that has ended doesn't listen any more, while one that only reset the
 * connection does.
 */
#include <stdio.h>
#include <stdlib.h>

#include "request_internal.h"

/* Time-out of one probe: some round trips between failure domains. */
#define PROBE_TIMEOUT_MS 400
/* A process that ends closes its sockets one after the other: a probe that is
 * accepted and closed is sent again after this time, ms. */
#define AGAIN_MS 50
#define PROBES_MAX 3
/* By then, the other nodes have reported what they hear, ms. */
#define REPORTS_MS 500
/* Nodes notice one crash at different times, and reports round these, ms. */
#define HEARD_AFTER_MS 150
/* Servers that are checked at once. */
#define CHECKS_MAX 16
/* Requests of one server that are kept until it is checked. */
#define REQUESTS_MAX 32
#define REPORT_MAX_BYTES 65536
/* Another process has the address. */
#define CODE_OTHER_SERVER 421

/**
 * struct crash_check - the check of one server
 * @server: referenced
 * @probes: sent so far
 * @start_ms: when the server ended the first request
 * @not_listening: waits for what other nodes hear
 * @requests: fingerprints of the requests that the server ended
 */
struct crash_check {
	struct ld_http_sink sink; /* first member */
	struct relay *relay;
	struct crash_check *next;
	struct crash_check **link; /* the pointer to this check in the list */
	struct ld_server *server;
	struct ld_http_call *call;
	struct ld_timer timer;
	unsigned int probes;
	uint64_t start_ms;
	bool not_listening;
	uint64_t requests[REQUESTS_MAX];
	size_t request_count;
};

static void
check_free(struct crash_check *c)
{
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	if (c->call != NULL)
		ld_http_cancel(c->call);
	ld_timer_stop(ld_loop_timers(c->relay->loop), &c->timer);
	c->server->refs--;
	free(c);
}

static void
finish(struct crash_check *c, bool crashed, const char *why)
{
	ld_event("server.checked",
	    "server=%s crashed=%d why=%s probes=%u requests=%zu",
	    c->server->entry.id, crashed, why, c->probes, c->request_count);
	for (size_t i = 0; crashed && i < c->request_count; i++)
		crashing_requests_crashed(
		    c->relay, c->requests[i], c->server->id_hash);
	check_free(c);
}

static void
probe(struct crash_check *c)
{
	struct relay *r = c->relay;
	struct ld_server *s = c->server;
	const struct ld_dialect *d = r->dialect;
	struct ld_buf url = {0}, expect = {0};
	const char *headers[] = {NULL, NULL};
	struct ld_http_request rq = {
	    .method = "GET",
	    .headers = headers,
	    .connect_timeout_ms = PROBE_TIMEOUT_MS,
	    .total_timeout_ms = PROBE_TIMEOUT_MS,
	    .fresh = true,
	    .max_body = REPORT_MAX_BYTES,
	};

	ld_buf_printf(&url, "http://%s%s", s->entry.address, d->report_target);
	ld_buf_printf(
	    &expect, "%s: %s", d->fields[LD_FIELD_EXPECT_SERVER], s->entry.id);
	rq.url = ld_buf_cstr(&url);
	headers[0] = ld_buf_cstr(&expect);
	c->probes++;
	relay_count(r, LD_M_RELAY_PROBES);
	server_limits_count_call(r, s);
	c->call = ld_http_start(r->http, &rq, &c->sink);
	ld_buf_free(&url);
	ld_buf_free(&expect);
	if (c->call == NULL)
		finish(c, false, "bad-address");
}

/* Whether this node is cut off from a server that other nodes still hear. */
static bool
is_cut_off(const struct crash_check *c)
{
	return isolation_is_active(c->relay) ||
	    c->server->peer_last_byte_ms > c->start_ms + HEARD_AFTER_MS;
}

/* Nothing listens. A node that has lost several servers waits for what the other
 * nodes hear. */
static void
note_not_listening(struct crash_check *c)
{
	c->not_listening = true;
	if (isolation_is_suspected(c->relay))
		ld_timer_after(
		    ld_loop_timers(c->relay->loop), &c->timer, REPORTS_MS);
	else
		finish(c, true, "not-listening");
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *result)
{
	struct crash_check *c = (struct crash_check *)s;
	bool answered = result->status == LD_OK;

	c->call = NULL;
	if (result->refused || result->code == CODE_OTHER_SERVER)
		note_not_listening(c);
	else if (result->status == LD_E_CLOSED && c->probes < PROBES_MAX)
		ld_timer_after(
		    ld_loop_timers(c->relay->loop), &c->timer, AGAIN_MS);
	else
		finish(c, false,
		    answered ? "listening" : ld_status_name(result->status));
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct crash_check *c = (struct crash_check *)((char *)t -
	    offsetof(struct crash_check, timer));

	if (!c->not_listening)
		probe(c);
	else if (is_cut_off(c))
		finish(c, false, "cut-off");
	else
		finish(c, true, "not-heard");
}

static struct crash_check *
check_new(struct relay *r, struct ld_server *s)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};
	struct crash_check *c = ld_alloc(sizeof(*c));

	c->sink.ops = &ops;
	c->relay = r;
	c->start_ms = relay_now(r);
	c->timer.fn = on_timer;
	c->server = s;
	s->refs++;
	c->next = r->crash_checks;
	c->link = &r->crash_checks;
	if (c->next != NULL)
		c->next->link = &c->next;
	r->crash_checks = c;
	return c;
}

void
crash_check_start(struct relay *r, struct ld_server *s, uint64_t request)
{
	struct crash_check *c;
	size_t n = 0;

	/* An evacuated server gets no calls at all. */
	if (s->evacuated || isolation_is_active(r))
		return;
	for (c = r->crash_checks; c != NULL && c->server != s; c = c->next)
		n++;
	if (c == NULL && n < CHECKS_MAX)
		c = check_new(r, s);
	if (c == NULL || c->request_count == REQUESTS_MAX) {
		ld_event("server.unchecked",
		    "server=%s checks=%zu requests=%zu", s->entry.id, n,
		    c != NULL ? c->request_count : 0);
		return;
	}
	c->requests[c->request_count++] = request;
	if (c->probes == 0)
		probe(c);
}

void
crash_checks_close(struct relay *r)
{
	for (struct crash_check *c = r->crash_checks, *next; c != NULL;
	     c = next) {
		next = c->next;
		check_free(c);
	}
}
