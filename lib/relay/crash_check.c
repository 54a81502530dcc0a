/*
 * Checks whether a server that broke off requests has crashed. A process that has
 * ended doesn't listen any more, or another one has its address; one that only
 * reset the connections answers a probe. Where a probe decides nothing, as behind
 * something that goes on listening, the server's entry does: it disappears, or
 * names a later start.
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
/* An entry that is not written any more disappears within this time, and the entry
 * of a new process is there, ms. Below the time for which the reports of one crash
 * count as one, see lib/quarantine. */
#define ENTRY_WAIT_MS 12000
#define ENTRY_INTERVAL_MS 200
/* Servers that are checked at once. */
#define CHECKS_MAX 64
/* Requests of one server that are kept until it is checked. */
#define REQUESTS_MAX 64
#define REPORT_MAX_BYTES 65536
/* Another process has the address. */
#define CODE_OTHER_SERVER 421
/* Below this an answer is the server's own and not that of a proxy before it. */
#define CODE_PROXY_MIN 500

/** enum check_step - what the check waits for */
enum check_step {
	CHECK_PROBES, /* the answer to a probe, or the next probe */
	CHECK_REPORTS, /* nothing listens: what other nodes hear */
	CHECK_ENTRY /* a change of the server's entry */
};

/**
 * struct crash_check - the check of one server
 * @server: referenced
 * @born_ms: start of the process that broke off the requests, 0: unknown
 * @probes: sent so far
 * @start_ms: when the server broke off the first request
 */
struct crash_check {
	struct ld_http_sink sink; /* first member */
	struct relay *relay;
	struct crash_check *next;
	struct crash_check **link; /* the pointer to this check in the list */
	struct ld_server *server;
	int64_t born_ms;
	struct ld_http_call *call;
	struct ld_timer timer;
	enum check_step step;
	unsigned int probes;
	uint64_t start_ms;
	struct ld_buf body; /* of the answer to the probe */
	struct crash_suspect requests[REQUESTS_MAX];
	size_t request_count;
};

/* Its parts are kept only if they are still to be suspected. */
static struct crash_suspect
suspect_copy(const struct crash_suspect *s)
{
	struct crash_suspect copy = *s;

	if (s->parts_pending) {
		copy.prompt = ld_prompt_copy(&s->prompt);
	} else {
		copy.prompt.parts = NULL;
		copy.prompt.part_count = 0;
	}
	return copy;
}

static void
check_free(struct crash_check *c)
{
	for (size_t i = 0; i < c->request_count; i++)
		ld_prompt_fini(&c->requests[i].prompt);

	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	if (c->call != NULL)
		ld_http_cancel(c->call);
	ld_timer_stop(ld_loop_timers(c->relay->loop), &c->timer);
	ld_buf_free(&c->body);
	c->server->refs--;
	free(c);
}

static void
finish(struct crash_check *c, bool crashed, const char *why)
{
	ld_event("server.checked",
	    "server=%s crashed=%d why=%s probes=%u requests=%zu ms=%llu",
	    c->server->entry.id, crashed, why, c->probes, c->request_count,
	    (unsigned long long)(relay_now(c->relay) - c->start_ms));
	for (size_t i = 0; crashed && i < c->request_count; i++)
		crashing_requests_crashed(c->relay, &c->requests[i],
		    ld_server_process_hash(c->server, c->born_ms));
	check_free(c);
}

/* ---- The server's entry ---- */

/* Drops requests that the process did not end with: some node has received bytes of
 * it since, or its entry is still there. */
static void
drop_refuted(struct crash_check *c)
{
	const struct ld_server *s = c->server;
	uint64_t now = relay_now(c->relay);
	uint64_t heard_ms = s->last_byte_ms > s->peer_last_byte_ms
	    ? s->last_byte_ms
	    : s->peer_last_byte_ms;
	size_t kept = 0;

	for (size_t i = 0; i < c->request_count; i++)
		if (heard_ms <= c->requests[i].at_ms + HEARD_AFTER_MS &&
		    now < c->requests[i].at_ms + ENTRY_WAIT_MS)
			c->requests[kept++] = c->requests[i];
		else
			ld_prompt_fini(&c->requests[i].prompt);
	c->request_count = kept;
}

static bool
is_restarted(const struct crash_check *c, int64_t born_ms)
{
	return c->born_ms != 0 && born_ms != 0 && born_ms != c->born_ms;
}

static void
look_at_entry(struct crash_check *c)
{
	if (is_restarted(c, c->server->entry.started_ms)) {
		finish(c, true, "restarted");
		return;
	}
	drop_refuted(c);
	if (c->request_count == 0)
		finish(c, false, "still-there");
	else if (!c->server->listed)
		finish(c, true, "entry-gone");
	else
		ld_timer_after(ld_loop_timers(c->relay->loop), &c->timer,
		    ENTRY_INTERVAL_MS);
}

static void
wait_for_entry(struct crash_check *c)
{
	c->step = CHECK_ENTRY;
	look_at_entry(c);
}

/* ---- Probes ---- */

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
	ld_buf_free(&c->body);
	relay_count(r, LD_M_RELAY_PROBES);
	server_limits_count_call(r, s);
	c->call = ld_http_start(r->http, &rq, &c->sink);
	ld_buf_free(&url);
	ld_buf_free(&expect);
	if (c->call == NULL)
		finish(c, false, "bad-address");
}

static void
start_probes(struct crash_check *c)
{
	ld_timer_stop(ld_loop_timers(c->relay->loop), &c->timer);
	c->step = CHECK_PROBES;
	c->probes = 0;
	probe(c);
}

/* Nothing listens. A node that has lost several servers waits for what the other
 * nodes hear. */
static void
note_not_listening(struct crash_check *c)
{
	if (!isolation_is_suspected(c->relay)) {
		finish(c, true, "not-listening");
		return;
	}
	c->step = CHECK_REPORTS;
	ld_timer_after(ld_loop_timers(c->relay->loop), &c->timer, REPORTS_MS);
}

/* This node reaches no server, or the server is still heard by others. */
static bool
is_cut_off(const struct crash_check *c)
{
	return isolation_is_active(c->relay) ||
	    c->server->peer_last_byte_ms > c->start_ms + HEARD_AFTER_MS;
}

/* The start that the report names, 0 if it names none. */
static int64_t
reported_start(struct crash_check *c)
{
	struct ld_server_entry e;
	int64_t born_ms;

	if (c->relay->dialect->read_report(ld_buf_str(&c->body), &e) != LD_OK)
		return 0;
	born_ms = e.started_ms;
	ld_server_entry_fini(&e);
	return born_ms;
}

static void
note_answer(struct crash_check *c, long code)
{
	int64_t born_ms = reported_start(c);

	if (code == CODE_OTHER_SERVER)
		note_not_listening(c);
	else if (is_restarted(c, born_ms))
		finish(c, true, "restarted");
	/* It may be a process that is back already. */
	else if (code >= CODE_PROXY_MIN || (c->born_ms != 0 && born_ms == 0))
		wait_for_entry(c);
	else
		finish(c, false, "listening");
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	ld_buf_adds(&((struct crash_check *)s)->body, bytes);
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *result)
{
	struct crash_check *c = (struct crash_check *)s;

	c->call = NULL;
	if (result->refused)
		note_not_listening(c);
	else if (result->status == LD_OK)
		note_answer(c, result->code);
	else if (result->status == LD_E_CLOSED && c->probes < PROBES_MAX)
		ld_timer_after(
		    ld_loop_timers(c->relay->loop), &c->timer, AGAIN_MS);
	else
		wait_for_entry(c);
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct crash_check *c = (struct crash_check *)((char *)t -
	    offsetof(struct crash_check, timer));

	if (c->step == CHECK_PROBES)
		probe(c);
	else if (c->step == CHECK_ENTRY || is_cut_off(c))
		wait_for_entry(c);
	else
		finish(c, true, "not-heard");
}

/* ---- Start and end ---- */

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
	c->born_ms = s->entry.started_ms;
	s->refs++;
	c->next = r->crash_checks;
	c->link = &r->crash_checks;
	if (c->next != NULL)
		c->next->link = &c->next;
	r->crash_checks = c;
	return c;
}

void
crash_check_start(
    struct relay *r, struct ld_server *s, const struct crash_suspect *request)
{
	struct crash_check *c;
	size_t n = 0;

	/* A planned stop cuts what takes longer than the server serves on; some
	 * servers only remove their entry before it. */
	if (s->entry.leaving || !s->listed)
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
	c->requests[c->request_count++] = suspect_copy(request);
	if (c->request_count > 1 && c->step != CHECK_ENTRY)
		return;
	/* An evacuated server gets no calls at all, and a node that reaches no
	 * server learns nothing by a probe. */
	if (s->evacuated || isolation_is_active(r))
		wait_for_entry(c);
	else
		start_probes(c);
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
