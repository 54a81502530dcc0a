/*
 * Requests that crash the servers they reach, by a part of their prompt or as a
 * whole: reports crashes and answers to the quarantine, and refuses what is in
 * quarantine.
 */
#include <stdlib.h>

#include "request_internal.h"

/* After this time from its first event an answer was not begun by a crash: other
 * requests with the parts of its prompt are sound, ms. */
#define SOUND_AFTER_MS 300
/* A request in progress is checked after this time without a byte of its server, and
 * again after the interval, ms. */
#define SILENCE_NOTE_MS 1000
#define SILENCE_NOTE_INTERVAL_MS 3000
/* A send that had bytes this recently when it was cancelled is not silent, ms. */
#define ABANDONED_SILENT_MS 100

struct crashing_requests {
	struct ld_quarantine *quarantine;
	bool cancel_pending; /* requests in progress are to be checked */
};

/* ---- Requests ---- */

bool
request_is_quarantined(struct request *q, uint64_t *retry_after_ms)
{
	uint64_t now = relay_now(q->relay), retry_ms = 0;

	if (q->is_trial ||
	    !ld_quarantine_contains(q->relay->crashing_requests->quarantine,
		&q->prompt, now, &retry_ms))
		return false;
	*retry_after_ms = retry_ms - now;
	return true;
}

bool
request_take_trial(struct request *q)
{
	/* Through another node it would reach no server: that node refuses it. */
	q->is_trial = q->sends == 0 && !isolation_is_active(q->relay) &&
	    ld_quarantine_take_trial(q->relay->crashing_requests->quarantine,
		&q->prompt, relay_now(q->relay));
	return q->is_trial;
}

/* Last byte of its answer, or when it was sent. */
static uint64_t
quiet_since_ms(const struct send *s)
{
	return s->last_byte_ms > s->sent_ms ? s->last_byte_ms : s->sent_ms;
}

static struct crash_suspect
suspect_of(const struct send *s)
{
	return (struct crash_suspect){.prompt = s->request->prompt,
	    .begun = s->response.code == 200 && s->first_event_ms == 0,
	    .born_ms = s->born_ms,
	    .at_ms = relay_now(s->request->relay),
	    .quiet_ms = quiet_since_ms(s)};
}

/* The parts of its prompt are suspected at once, unless this node may be the one
 * that fails; the request itself once its server is known to have crashed. */
void
send_note_crash(struct send *s)
{
	struct request *q = s->request;
	struct relay *r = q->relay;
	char id[LD_EVENT_TOKEN_BYTES], parts[LD_PROMPT_TEXT_BYTES];
	size_t suspected = 0;
	struct crash_suspect suspect = suspect_of(s);

	if (s->server == NULL || s->crash_noted)
		return;
	s->crash_noted = true;
	if (q->prompt.own != 0 && !q->answer_went_on) {
		suspect.parts_pending = isolation_is_suspected(r);
		relay_count(r, LD_M_RELAY_CRASH_SUSPECTS);
		if (!suspect.parts_pending)
			suspected = ld_quarantine_crashed(
			    r->crashing_requests->quarantine, &q->prompt,
			    s->server->id_hash, suspect.begun, relay_now(r));
		ld_event("prompt.suspected",
		    "id=%s server=%s begun=%d pending=%d suspected=%zu "
		    "parts=%s",
		    ld_event_token(ld_str_c(q->attempt_id), id),
		    s->server->entry.id, suspect.begun, suspect.parts_pending,
		    suspected, ld_prompt_text(&q->prompt, parts));
	}
	crash_check_start(r, s->server, &suspect);
}

/* An answer whose head has come, but for a stream, shows that the server goes on. A
 * node that reaches no server hears none. */
static bool
may_be_silent(const struct send *s, bool sent)
{
	return sent && s->server != NULL && !s->crash_noted &&
	    (s->response.code == 0 || send_is_event_stream(s)) &&
	    !isolation_is_active(s->request->relay);
}

static void
check_silence(struct send *s)
{
	struct request *q = s->request;
	struct crash_suspect suspect = suspect_of(s);

	suspect.is_silent = true;
	suspect.parts_pending = q->prompt.own != 0 && !q->answer_went_on;
	s->silence_noted_ms = suspect.at_ms;
	crash_check_start(q->relay, s->server, &suspect);
}

void
send_note_silence(struct send *s)
{
	const struct relay *r = s->request->relay;
	uint64_t now = relay_now(r), since = quiet_since_ms(s);

	if (!may_be_silent(s, send_may_have_run(s)) ||
	    now < s->silence_noted_ms + SILENCE_NOTE_INTERVAL_MS)
		return;
	if (since < s->server->last_byte_ms)
		since = s->server->last_byte_ms;
	if (since < s->server->peer_last_byte_ms)
		since = s->server->peer_last_byte_ms;
	if (since < r->on_time_since_ms)
		since = r->on_time_since_ms;
	if (now >= since + SILENCE_NOTE_MS)
		check_silence(s);
}

void
send_note_abandoned(struct send *s, bool sent)
{
	if (may_be_silent(s, sent) &&
	    relay_now(s->request->relay) >=
		quiet_since_ms(s) + ABANDONED_SILENT_MS)
		check_silence(s);
}

void
crashing_requests_crashed(
    struct relay *r, const struct crash_suspect *request, uint32_t server)
{
	struct ld_quarantine *qn = r->crashing_requests->quarantine;
	uint64_t now = relay_now(r);

	relay_count(r, LD_M_RELAY_CRASHES);
	ld_event("request.crashed", "request=%llx server_hash=%x after_ms=%llu",
	    (unsigned long long)request->prompt.request, server,
	    (unsigned long long)(now - request->at_ms));
	if (request->parts_pending)
		ld_quarantine_crashed(
		    qn, &request->prompt, server, request->begun, now);
	ld_quarantine_request_crashed(qn, &request->prompt, server, now);
	crash_records_note_crash(r, request->prompt.request);
	if (request->prompt.exact != 0)
		crash_records_note_crash(r, request->prompt.exact);
}

void
crashing_requests_survived(struct relay *r, const struct crash_suspect *request)
{
	ld_event("request.survived", "request=%llx after_ms=%llu",
	    (unsigned long long)request->prompt.request,
	    (unsigned long long)(relay_now(r) - request->at_ms));
	ld_quarantine_survived(
	    r->crashing_requests->quarantine, &request->prompt, relay_now(r));
}

void
request_note_answer(struct request *q)
{
	q->answer_went_on = true;
	ld_quarantine_answered(q->relay->crashing_requests->quarantine,
	    &q->prompt, relay_now(q->relay));
}

static void
note_went_on(struct request *q)
{
	if (q->answer_went_on)
		return;
	q->answer_went_on = true;
	ld_quarantine_went_on(q->relay->crashing_requests->quarantine,
	    &q->prompt, relay_now(q->relay));
}

void
request_note_event(struct request *q)
{
	uint64_t now = relay_now(q->relay);

	if (q->send->first_event_ms == 0)
		q->send->first_event_ms = now;
	else if (now >= q->send->first_event_ms + SOUND_AFTER_MS)
		note_went_on(q);
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
on_changed(void *user, enum ld_quarantine_event e, uint64_t part)
{
	struct relay *r = user;
	unsigned long long id = part;
	const char *why = ld_quarantine_event_name(e);

	switch (e) {
	case LD_QUARANTINE_BY_CRASHES:
	case LD_QUARANTINE_BY_PEER:
	case LD_QUARANTINE_BY_RECORD:
		ld_event("prompt.quarantined", "part=%llx why=%s", id, why);
		relay_count(r, LD_M_RELAY_QUARANTINES);
		/* Not here: the caller may be a request that is in the list. */
		r->crashing_requests->cancel_pending = true;
		break;
	case LD_QUARANTINE_RELAPSE:
		ld_event("prompt.relapse", "part=%llx", id);
		break;
	case LD_QUARANTINE_TRIAL:
		ld_event("prompt.trial", "part=%llx", id);
		relay_count(r, LD_M_RELAY_QUARANTINE_TRIALS);
		break;
	default:
		ld_event("prompt.released", "part=%llx why=%s", id, why);
	}
}

static void
on_claim_trial(void *user, uint64_t part, unsigned int number)
{
	struct relay *r = user;

	crash_records_claim(r, part, number);
}

void
crashing_requests_receive(struct relay *r, const struct ld_finding *f)
{
	ld_quarantine_receive(
	    r->crashing_requests->quarantine, f, relay_now(r));
}

/* ---- Start, end, time ---- */

void
crashing_requests_tick(struct relay *r)
{
	struct crashing_requests *cp = r->crashing_requests;

	crash_records_tick(r);
	if (cp->cancel_pending)
		cancel_quarantined(r);
	cp->cancel_pending = false;
}

void
crashing_requests_open(struct relay *r)
{
	static const struct ld_quarantine_ops ops = {
	    on_send, on_changed, on_claim_trial};
	struct crashing_requests *cp = ld_alloc(sizeof(*cp));

	cp->quarantine = ld_quarantine_new(
	    &ops, r, ld_hash64(ld_str_c(r->settings->name), 0));
	r->crashing_requests = cp;
	crash_records_open(r, cp->quarantine);
}

void
crashing_requests_close(struct relay *r)
{
	crash_records_close(r);
	ld_quarantine_free(r->crashing_requests->quarantine);
	free(r->crashing_requests);
}
