/*
 * Checks whether a server that broke off requests, or left them without an answer,
 * has crashed. A process that has ended doesn't listen any more, or another one has
 * its address; one that only reset the connections, or is slow, answers a probe.
 * Where a probe decides nothing, as behind something that goes on listening, the
 * server's entry does: it disappears, or names a later start. A machine that has
 * stopped answers no probe; after a while that is taken for a crash, until the same
 * process answers again.
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
/* A busy server is heard within this time, which spares the probe, ms. */
#define SILENCE_MS 500
/* Interval of the probes of a server that doesn't answer them, ms. */
#define SILENT_PROBE_INTERVAL_MS 1000
/* Sound servers pause for a second or so: one that is silent for this long counts
 * as crashed, ms. */
#define SILENT_CRASH_MS 3000
/* Servers that are checked at once, and those of them for silence alone. */
#define CHECKS_MAX 64
#define SILENT_CHECKS_MAX 32
/* Requests of one server that are kept until it is checked. */
#define REQUESTS_MAX 64
#define REPORT_MAX_BYTES 65536
/* Another process has the address. */
#define CODE_OTHER_SERVER 421
/* Below this an answer is the server's own and not that of a proxy before it. */
#define CODE_PROXY_MIN 500

/** enum check_step - what the check waits for */
enum check_step {
	CHECK_SILENCE, /* bytes of a server that left requests unanswered */
	CHECK_PROBES, /* the answer to a probe, or the next probe */
	CHECK_REPORTS, /* nothing listens: what other nodes hear */
	CHECK_ENTRY /* a change of the server's entry */
};

/** enum check_verdict - what a check has shown of the process */
enum check_verdict {
	PROCESS_ENDED,
	PROCESS_ALIVE,
	PROCESS_UNKNOWN
};

/**
 * struct crash_check - the check of one process of a server
 * @server: referenced
 * @born_ms: start of that process, 0: unknown
 * @probes: sent so far
 * @probed_ms: start of the last one
 * @unanswered: it got no answer, and its connection wasn't refused or closed
 * @start_ms: when the first request was noted
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
	uint64_t probed_ms;
	bool unanswered;
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

static void start_probes(struct crash_check *c);

static void
report_ended(struct crash_check *c, struct crash_suspect *request)
{
	if (!request->reported)
		crashing_requests_crashed(c->relay, request,
		    ld_server_process_hash(c->server, c->born_ms));
	request->reported = true;
}

static void
report_alive(struct crash_check *c, struct crash_suspect *request)
{
	if (request->reported)
		crashing_requests_survived(c->relay, request);
	request->reported = false;
}

static void
finish(struct crash_check *c, enum check_verdict verdict, const char *why)
{
	ld_event("server.checked",
	    "server=%s crashed=%d why=%s probes=%u requests=%zu ms=%llu",
	    c->server->entry.id, verdict == PROCESS_ENDED, why, c->probes,
	    c->request_count,
	    (unsigned long long)(relay_now(c->relay) - c->start_ms));
	for (size_t i = 0; i < c->request_count; i++)
		if (verdict == PROCESS_ENDED)
			report_ended(c, &c->requests[i]);
		else if (verdict == PROCESS_ALIVE)
			report_alive(c, &c->requests[i]);
	check_free(c);
}

/* ---- The server's entry ---- */

/* When some node has last received bytes of the server. */
static uint64_t
heard_ms(const struct ld_server *s)
{
	return s->last_byte_ms > s->peer_last_byte_ms ? s->last_byte_ms
						      : s->peer_last_byte_ms;
}

/* Drops requests that were noted too long ago, and, unless the bytes may be those
 * of a new process, those that the process did not end with: it was heard since. */
static void
drop_refuted(struct crash_check *c)
{
	uint64_t heard = heard_ms(c->server), now = relay_now(c->relay);
	size_t kept = 0;

	for (size_t i = 0; i < c->request_count; i++) {
		struct crash_suspect *s = &c->requests[i];
		bool alive =
		    !c->unanswered && heard > s->at_ms + HEARD_AFTER_MS;

		if (alive)
			report_alive(c, s);
		if (alive || now >= s->at_ms + ENTRY_WAIT_MS)
			ld_prompt_fini(&s->prompt);
		else
			c->requests[kept++] = *s;
	}
	c->request_count = kept;
}

static bool
is_restarted(const struct crash_check *c, int64_t born_ms)
{
	return c->born_ms != 0 && born_ms != 0 && born_ms != c->born_ms;
}

/* This node reaches no server, or the server is still heard by others. */
static bool
is_cut_off(const struct crash_check *c)
{
	return isolation_is_active(c->relay) ||
	    c->server->peer_last_byte_ms > c->start_ms + HEARD_AFTER_MS;
}

/* An evacuated server gets no calls at all, and a node that reaches no server
 * learns nothing by a probe. */
static bool
may_probe(const struct crash_check *c)
{
	return !c->server->evacuated && !isolation_is_active(c->relay);
}

/* Requests for which the server has been silent for too long. */
static void
report_silent(struct crash_check *c)
{
	const struct relay *r = c->relay;
	uint64_t since = heard_ms(c->server);

	if (isolation_is_suspected(r) || is_cut_off(c))
		return;
	if (since < r->on_time_since_ms)
		since = r->on_time_since_ms;
	for (size_t i = 0; i < c->request_count; i++) {
		struct crash_suspect *s = &c->requests[i];

		if (relay_now(r) >= since + SILENT_CRASH_MS &&
		    relay_now(r) >= s->quiet_ms + SILENT_CRASH_MS)
			report_ended(c, s);
	}
}

static void
look_at_entry(struct crash_check *c)
{
	uint64_t now = relay_now(c->relay);

	if (is_restarted(c, c->server->entry.started_ms)) {
		finish(c, PROCESS_ENDED, "restarted");
		return;
	}
	drop_refuted(c);
	if (c->request_count == 0) {
		finish(c, PROCESS_UNKNOWN, "still-there");
		return;
	}
	/* The process goes on, or another one has begun. */
	if (c->unanswered && may_probe(c) &&
	    (heard_ms(c->server) > c->probed_ms ||
		now >= c->probed_ms + SILENT_PROBE_INTERVAL_MS)) {
		start_probes(c);
		return;
	}
	if (!c->server->listed) {
		finish(c, PROCESS_ENDED, "entry-gone");
		return;
	}
	if (c->unanswered)
		report_silent(c);
	ld_timer_after(
	    ld_loop_timers(c->relay->loop), &c->timer, ENTRY_INTERVAL_MS);
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
	c->probed_ms = relay_now(r);
	ld_buf_free(&c->body);
	relay_count(r, LD_M_RELAY_PROBES);
	server_limits_count_call(r, s);
	c->call = ld_http_start(r->http, &rq, &c->sink);
	ld_buf_free(&url);
	ld_buf_free(&expect);
	if (c->call == NULL)
		finish(c, PROCESS_UNKNOWN, "bad-address");
}

static void
start_probes(struct crash_check *c)
{
	ld_timer_stop(ld_loop_timers(c->relay->loop), &c->timer);
	c->step = CHECK_PROBES;
	c->probes = 0;
	c->unanswered = false;
	probe(c);
}

/* Nothing listens. A node that has lost several servers waits for what the other
 * nodes hear. */
static void
note_not_listening(struct crash_check *c)
{
	if (!isolation_is_suspected(c->relay)) {
		finish(c, PROCESS_ENDED, "not-listening");
		return;
	}
	c->step = CHECK_REPORTS;
	ld_timer_after(ld_loop_timers(c->relay->loop), &c->timer, REPORTS_MS);
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
		finish(c, PROCESS_ENDED, "restarted");
	/* It may be a process that is back already. */
	else if (code >= CODE_PROXY_MIN || (c->born_ms != 0 && born_ms == 0))
		wait_for_entry(c);
	else
		finish(c, PROCESS_ALIVE, "listening");
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
	else {
		c->unanswered = result->status == LD_E_TIMEOUT ||
		    result->status == LD_E_UNAVAILABLE;
		wait_for_entry(c);
	}
}

/* ---- Silence ---- */

static void
begin_probes(struct crash_check *c)
{
	if (is_restarted(c, c->server->entry.started_ms))
		finish(c, PROCESS_ENDED, "restarted");
	else if (may_probe(c))
		start_probes(c);
	else
		wait_for_entry(c);
}

/* The server has had time for a byte of any answer. */
static void
end_silence(struct crash_check *c)
{
	uint64_t heard = heard_ms(c->server);
	size_t kept = 0;

	for (size_t i = 0; i < c->request_count; i++)
		if (heard <= c->requests[i].at_ms)
			c->requests[kept++] = c->requests[i];
		else
			ld_prompt_fini(&c->requests[i].prompt);
	c->request_count = kept;
	if (kept > 0)
		begin_probes(c);
	else
		check_free(c);
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct crash_check *c = (struct crash_check *)((char *)t -
	    offsetof(struct crash_check, timer));

	if (c->step == CHECK_SILENCE)
		end_silence(c);
	else if (c->step == CHECK_PROBES)
		probe(c);
	else if (c->step == CHECK_ENTRY || is_cut_off(c))
		wait_for_entry(c);
	else
		finish(c, PROCESS_ENDED, "not-heard");
}

/* ---- Start and end ---- */

static struct crash_check *
check_new(struct relay *r, struct ld_server *s, int64_t born_ms)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};
	struct crash_check *c = ld_alloc(sizeof(*c));

	c->sink.ops = &ops;
	c->relay = r;
	c->start_ms = relay_now(r);
	c->timer.fn = on_timer;
	c->server = s;
	c->born_ms = born_ms;
	s->refs++;
	c->next = r->crash_checks;
	c->link = &r->crash_checks;
	if (c->next != NULL)
		c->next->link = &c->next;
	r->crash_checks = c;
	return c;
}

/* The check of that process, or a new one; NULL if there are too many. */
static struct crash_check *
find_check(
    struct relay *r, struct ld_server *s, const struct crash_suspect *request)
{
	size_t n = 0, max = request->is_silent ? SILENT_CHECKS_MAX : CHECKS_MAX;
	struct crash_check *c;

	for (c = r->crash_checks; c != NULL; c = c->next, n++)
		if (c->server == s && c->born_ms == request->born_ms)
			return c;
	return n < max ? check_new(r, s, request->born_ms) : NULL;
}

/* A request that is silent for long, and then ends, is noted twice. */
static bool
note_again(struct crash_check *c, const struct crash_suspect *request)
{
	for (size_t i = 0; request->is_silent && i < c->request_count; i++) {
		struct crash_suspect *s = &c->requests[i];

		if (s->prompt.request != request->prompt.request ||
		    s->prompt.exact != request->prompt.exact)
			continue;
		s->at_ms = request->at_ms;
		s->quiet_ms = request->quiet_ms;
		return true;
	}
	return false;
}

void
crash_check_start(
    struct relay *r, struct ld_server *s, const struct crash_suspect *request)
{
	struct crash_check *c;

	/* A planned stop cuts what takes longer than the server serves on; some
	 * servers only remove their entry before it. */
	if (s->entry.leaving || (!s->listed && !request->is_silent))
		return;
	c = find_check(r, s, request);
	if (c != NULL && note_again(c, request))
		return;
	if (c == NULL || c->request_count == REQUESTS_MAX) {
		ld_event("server.unchecked", "server=%s silent=%d requests=%zu",
		    s->entry.id, request->is_silent,
		    c != NULL ? c->request_count : 0);
		return;
	}
	c->requests[c->request_count++] = suspect_copy(request);
	if (request->is_silent && c->request_count == 1) {
		c->step = CHECK_SILENCE;
		ld_timer_after(ld_loop_timers(r->loop), &c->timer, SILENCE_MS);
		return;
	}
	if (c->request_count == 1 || c->step == CHECK_ENTRY ||
	    (c->step == CHECK_SILENCE && !request->is_silent))
		begin_probes(c);
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
