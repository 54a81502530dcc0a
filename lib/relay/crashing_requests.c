/*
 * Requests that crash the servers they reach, by a part of their prompt or as a
 * whole: reports crashes and answers to the quarantine, refuses what is in
 * quarantine, and records it in the store for nodes that start later.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "leader_records.h"
#include "request_internal.h"

/* An answer that has gone on for this long after its first event was not the
 * cause of a crash, ms. */
#define SOUND_AFTER_MS 300
/* Interval at which expired quarantines are released, ms. */
#define EXPIRE_MS 1000
#define PART_TEXT_BYTES 24
#define PART_DIGITS 16 /* hexadecimal */

struct crashing_requests {
	struct ld_quarantine *quarantine;
	struct leader_records *records;
	bool cancel_pending; /* requests in progress are to be checked */
	uint64_t next_ms;
};

/* ---- Requests ---- */

bool
request_is_quarantined(struct request *q, uint64_t *retry_after_ms)
{
	uint64_t now = relay_now(q->relay), until_ms = 0;

	if (!ld_quarantine_contains(q->relay->crashing_requests->quarantine,
		&q->prompt, now, &until_ms))
		return false;
	*retry_after_ms = until_ms - now;
	return true;
}

bool
request_is_on_trial(struct request *q)
{
	return q->prompt.is_request &&
	    ld_quarantine_is_on_trial(q->relay->crashing_requests->quarantine,
		&q->prompt, relay_now(q->relay));
}

void
send_note_crash(struct send *s)
{
	struct request *q = s->request;
	struct relay *r = q->relay;
	char id[LD_EVENT_TOKEN_BYTES], parts[LD_PROMPT_TEXT_BYTES];
	bool begun = s->response.code == 200 && s->first_event_ms == 0;

	if (s->server == NULL || s->crash_noted || q->answer_went_on)
		return;
	s->crash_noted = true;
	/* Nothing shows that the server had begun a request without a prompt: its
	 * connection may have been reset. */
	if (q->prompt.is_request) {
		crash_check_start(r, s->server, q->prompt.own);
		return;
	}
	if (isolation_is_suspected(r))
		return;
	relay_count(r, LD_M_RELAY_CRASH_SUSPECTS);
	ld_event("prompt.suspected", "id=%s server=%s begun=%d parts=%s",
	    ld_event_token(ld_str_c(q->attempt_id), id), s->server->entry.id,
	    begun, ld_prompt_text(&q->prompt, parts));
	ld_quarantine_crashed(r->crashing_requests->quarantine, &q->prompt,
	    s->server->id_hash, begun, relay_now(r));
}

void
crashing_requests_crashed(
    struct relay *r, uint64_t fingerprint, uint32_t server)
{
	struct ld_prompt p = {.own = fingerprint, .is_request = true};

	relay_count(r, LD_M_RELAY_CRASH_SUSPECTS);
	ld_quarantine_crashed(
	    r->crashing_requests->quarantine, &p, server, true, relay_now(r));
}

void
request_note_answer(struct request *q)
{
	if (q->answer_went_on)
		return;
	q->answer_went_on = true;
	ld_quarantine_answered(q->relay->crashing_requests->quarantine,
	    &q->prompt, relay_now(q->relay));
}

void
request_note_event(struct request *q)
{
	uint64_t now = relay_now(q->relay);

	if (q->send->first_event_ms == 0)
		q->send->first_event_ms = now;
	else if (now >= q->send->first_event_ms + SOUND_AFTER_MS)
		request_note_answer(q);
}

/* ---- Actions of the quarantine ---- */

static void
on_send(void *user, const struct ld_finding *f)
{
	mesh_finding(user, f);
}

/* Ends requests that wait for the first event of an answer, before they crash
 * their servers. */
static void
cancel_quarantined(struct relay *r)
{
	struct request *next;
	uint64_t retry_after_ms;

	for (struct request *q = r->requests; q != NULL; q = next) {
		next = q->next;
		if (q->send->call == NULL || q->response_started ||
		    !request_is_quarantined(q, &retry_after_ms))
			continue;
		request_record_failed_send(q, "quarantined", "give-up");
		request_fail(q, "quarantined", retry_after_ms);
	}
}

static void
on_changed(
    void *user, enum ld_quarantine_event e, uint64_t part, uint64_t until_ms)
{
	struct relay *r = user;
	const char *why = ld_quarantine_event_name(e);

	if (e == LD_QUARANTINE_FULL) {
		ld_event("prompt.quarantine_full", "part=%llx",
		    (unsigned long long)part);
		return;
	}
	if (until_ms == 0) {
		ld_event("prompt.released", "part=%llx why=%s",
		    (unsigned long long)part, why);
		return;
	}
	ld_event("prompt.quarantined", "part=%llx why=%s for_ms=%llu",
	    (unsigned long long)part, why,
	    (unsigned long long)(until_ms - relay_now(r)));
	relay_count(r, LD_M_RELAY_QUARANTINES);
	/* Not here: the caller may be a request that is in the list. */
	r->crashing_requests->cancel_pending = true;
}

void
crashing_requests_receive(struct relay *r, const struct ld_finding *f)
{
	ld_quarantine_receive(
	    r->crashing_requests->quarantine, f, relay_now(r));
}

/* ---- Records: the part is the name, the value says who wrote it ---- */

static void
want_part(void *user, uint64_t part)
{
	char name[PART_TEXT_BYTES];

	snprintf(name, sizeof(name), "%016" PRIx64, part);
	leader_records_want(user, name, NULL);
}

static bool
each_part(struct leader_records *rs)
{
	ld_quarantine_each(
	    rs->relay->crashing_requests->quarantine, want_part, rs);
	return true;
}

static void
format_part(struct leader_records *rs, const void *item, struct ld_buf *value)
{
	ld_buf_printf(value, "%s", rs->relay->settings->name);
}

static bool
is_part_name(const char *name)
{
	return strlen(name) == PART_DIGITS &&
	    strspn(name, "0123456789abcdef") == PART_DIGITS &&
	    strtoull(name, NULL, 16) != 0;
}

static bool
apply_part(struct leader_records *rs, const char *name, char *value)
{
	struct ld_quarantine *qn = rs->relay->crashing_requests->quarantine;
	uint64_t part = strtoull(name, NULL, 16);

	if (value != NULL)
		ld_quarantine_restore(qn, part, relay_now(rs->relay));
	else
		ld_quarantine_withdraw(qn, part);
	return true;
}

struct leader_records *
crashing_requests_records(struct relay *r)
{
	return r->crashing_requests->records;
}

/* ---- Start, end, time ---- */

void
crashing_requests_tick(struct relay *r)
{
	struct crashing_requests *cp = r->crashing_requests;

	leader_records_tick(cp->records);
	if (cp->cancel_pending)
		cancel_quarantined(r);
	cp->cancel_pending = false;
	if (relay_now(r) < cp->next_ms)
		return;
	cp->next_ms = relay_now(r) + EXPIRE_MS;
	ld_quarantine_tick(cp->quarantine, relay_now(r));
}

void
crashing_requests_open(struct relay *r)
{
	static const struct ld_quarantine_ops ops = {on_send, on_changed};
	static const struct leader_records_ops record_ops = {
	    .any_node = true,
	    .is_name = is_part_name,
	    .each_wanted = each_part,
	    .format = format_part,
	    .apply = apply_part,
	};
	struct crashing_requests *cp = ld_alloc(sizeof(*cp));

	cp->quarantine = ld_quarantine_new(
	    &ops, r, ld_hash64(ld_str_c(r->settings->name), 0));
	cp->records = ld_alloc(sizeof(*cp->records));
	cp->records->ops = &record_ops;
	cp->records->relay = r;
	cp->records->prefix = RELAY_QUARANTINE_PREFIX;
	r->crashing_requests = cp;
}

void
crashing_requests_close(struct relay *r)
{
	leader_records_free(r->crashing_requests->records);
	ld_quarantine_free(r->crashing_requests->quarantine);
	free(r->crashing_requests);
}
