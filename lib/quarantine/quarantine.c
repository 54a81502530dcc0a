/* Decides which requests and parts of prompts are quarantined, and until when. */
#include <stdlib.h>
#include <string.h>

#include "quarantine_internal.h"

/* When a trial is due: after this time, and at most twice of it, by node. A
 * quarantine does not end by time: a request that crashes servers comes for as
 * long as its client runs. The few trials are for what was suspected wrongly, and
 * are fewer than the crashes that the users allow after the third. */
#define TRIAL_MS 60000
#define TRIALS_MAX 2
/* The same after a trial, which may still be on its way to an answer. */
#define NEXT_TRIAL_MS 1800000
/* A trial that is due is claimed by then, ms. */
#define CLAIM_MS 2000
/* Retry-After when no trial is left: the time in which operators react, ms. */
#define LAST_RETRY_MS 1800000
/* What is in quarantine at most; above this, what was not sent for the longest
 * time is released. */
#define PARTS_MAX 256
/* Interval of repeated findings about one part, ms: several datagrams. */
#define RESEND_MS 300
/* A part that requests share is reported as a suspect after this time, ms: an
 * answer on its way refutes most. */
#define SUSPECT_AFTER_MS 1000
/* Suspects reported at once. */
#define SUSPECTS_MAX 64
/* Of one prompt: shared parts that are suspected of one crash, and those that an
 * answer adds to the table. Sound prompts, and crashes by other causes, come with any
 * number of parts, which must not replace what is known of other callers' requests. */
#define PROMPT_SUSPECTS_MAX ((size_t)64)
#define PROMPT_SOUND_MAX ((size_t)64)
/* Bits of the set that tells most parts from those in quarantine. */
#define FILTER_BITS ((size_t)8192)

/**
 * struct entry - a part or a request in quarantine
 * @part: 0: free slot
 * @used_ms: when a request was last refused for it
 * @trial_ms: when the next trial is due
 * @trials: trials that are claimed, by any node
 * @claiming: a claim by this node is in progress
 * @granted: a claim by this node has succeeded, and its trial is not sent yet
 * @sent_ms: last sent to the other nodes, 0: never
 */
struct entry {
	uint64_t part;
	uint64_t used_ms;
	uint64_t trial_ms;
	unsigned int trials;
	bool claiming;
	bool granted;
	uint64_t sent_ms;
};

struct ld_quarantine {
	const struct ld_quarantine_ops *ops;
	void *user;
	uint64_t seed;
	struct entry entries[PARTS_MAX];
	size_t entry_count;
	uint64_t filter[FILTER_BITS / 64]; /* of the parts of all entries */
	struct evidence_table evidence;
};

const char *
ld_quarantine_event_name(enum ld_quarantine_event e)
{
	static const char *const names[] = {"crashes", "peer", "record",
	    "relapse", "trial", "answered", "withdrawn", "replaced"};

	return names[e];
}

struct ld_quarantine *
ld_quarantine_new(
    const struct ld_quarantine_ops *ops, void *user, uint64_t seed)
{
	struct ld_quarantine *qn = ld_alloc(sizeof(*qn));

	qn->ops = ops;
	qn->user = user;
	qn->seed = seed;
	return qn;
}

void
ld_quarantine_free(struct ld_quarantine *qn)
{
	free(qn);
}

/* ---- Entries ---- */

static void
filter_add(struct ld_quarantine *qn, uint64_t part)
{
	size_t bit = part % FILTER_BITS;

	qn->filter[bit / 64] |= UINT64_C(1) << bit % 64;
}

static void
filter_rebuild(struct ld_quarantine *qn)
{
	memset(qn->filter, 0, sizeof(qn->filter));
	for (size_t i = 0; i < PARTS_MAX; i++)
		if (qn->entries[i].part != 0)
			filter_add(qn, qn->entries[i].part);
}

static bool
filter_has(const struct ld_quarantine *qn, uint64_t part)
{
	size_t bit = part % FILTER_BITS;

	return (qn->filter[bit / 64] >> bit % 64 & 1) != 0;
}

static struct entry *
find_entry(struct ld_quarantine *qn, uint64_t part)
{
	if (part == 0 || !filter_has(qn, part))
		return NULL;
	for (size_t i = 0; i < PARTS_MAX; i++)
		if (qn->entries[i].part == part)
			return &qn->entries[i];
	return NULL;
}

static void
release(struct ld_quarantine *qn, struct entry *e, enum ld_quarantine_event why)
{
	uint64_t part = e->part;

	*e = (struct entry){0};
	qn->entry_count--;
	filter_rebuild(qn);
	qn->ops->changed(qn->user, why, part);
}

/* A free slot, or that of the part that was not asked for the longest. */
static struct entry *
free_entry(struct ld_quarantine *qn)
{
	struct entry *best = &qn->entries[0];

	for (size_t i = 0; i < PARTS_MAX; i++) {
		struct entry *e = &qn->entries[i];

		if (e->part == 0)
			return e;
		if (e->used_ms < best->used_ms)
			best = e;
	}
	release(qn, best, LD_QUARANTINE_REPLACED);
	return best;
}

static void
send_finding(struct ld_quarantine *qn, enum ld_finding_kind kind, uint64_t part)
{
	struct ld_finding f = {.kind = kind, .part = part};

	qn->ops->send(qn->user, &f);
}

static void
announce(struct ld_quarantine *qn, struct entry *e, uint64_t now_ms)
{
	if (e->sent_ms != 0 && now_ms < e->sent_ms + RESEND_MS)
		return;
	e->sent_ms = now_ms;
	send_finding(qn, LD_FINDING_QUARANTINED, e->part);
}

/* A time between @ms and twice of it, that differs between nodes. */
static uint64_t
spread(const struct ld_quarantine *qn, uint64_t part, uint64_t ms)
{
	struct ld_str bytes = {(const char *)&part, sizeof(part)};

	return ms + ld_hash64(bytes, qn->seed) % ms;
}

static struct entry *
impose(struct ld_quarantine *qn, uint64_t part, enum ld_quarantine_event why,
    uint64_t now_ms)
{
	struct entry *e = free_entry(qn);

	*e = (struct entry){.part = part,
	    .used_ms = now_ms,
	    .trial_ms = now_ms + spread(qn, part, TRIAL_MS)};
	qn->entry_count++;
	filter_add(qn, part);
	qn->ops->changed(qn->user, why, part);
	return e;
}

/* ---- Decisions ---- */

static void
judge_crash(
    struct ld_quarantine *qn, const struct ld_finding *f, uint64_t now_ms)
{
	struct entry *e = find_entry(qn, f->part);
	struct evidence *v = evidence_use(&qn->evidence, f->part, now_ms);

	evidence_add_crash(v, f, now_ms);
	if (e == NULL && !evidence_suffices(v, now_ms))
		return;
	evidence_explain(&qn->evidence, v);
	/* A crash with what is in quarantine here: of a request in flight, in a
	 * trial, or of a node that does not know. */
	if (e != NULL)
		qn->ops->changed(qn->user, LD_QUARANTINE_RELAPSE, f->part);
	else
		e = impose(qn, f->part, LD_QUARANTINE_BY_CRASHES, now_ms);
	announce(qn, e, now_ms);
}

/* Tells the other nodes that an answer to a suspected part went on. */
static void
contradict(struct ld_quarantine *qn, struct evidence *v, uint64_t now_ms)
{
	if (v->contradicted_ms != 0 && now_ms < v->contradicted_ms + RESEND_MS)
		return;
	v->contradicted_ms = now_ms;
	send_finding(qn, LD_FINDING_SOUND, v->part);
}

static bool
release_sound(struct ld_quarantine *qn, uint64_t part)
{
	struct entry *e = find_entry(qn, part);

	if (e != NULL)
		release(qn, e, LD_QUARANTINE_SOUND);
	return e != NULL;
}

/* ---- Requests ---- */

/* The entry of one of the identities of a request, from number *@i on, which is
 * advanced past it; NULL if there is no further one. */
static struct entry *
next_entry_of(struct ld_quarantine *qn, const struct ld_prompt *p, size_t *i)
{
	const uint64_t single[] = {p->request, p->exact, p->own};
	const size_t singles = sizeof(single) / sizeof(single[0]);
	struct entry *e = NULL;

	while (
	    qn->entry_count > 0 && e == NULL && *i < singles + p->part_count) {
		size_t k = (*i)++;

		e = find_entry(
		    qn, k < singles ? single[k] : p->parts[k - singles]);
	}
	return e;
}

static bool
is_trial_due(const struct entry *e, uint64_t now_ms)
{
	return e->trials < TRIALS_MAX && now_ms >= e->trial_ms;
}

static uint64_t
retry_at(const struct ld_quarantine *qn, const struct entry *e, uint64_t now_ms)
{
	if (qn->ops->claim_trial == NULL ||
	    (e->trials == TRIALS_MAX && !e->granted))
		return now_ms + LAST_RETRY_MS;
	if (e->granted || is_trial_due(e, now_ms))
		return now_ms + CLAIM_MS;
	return e->trial_ms;
}

bool
ld_quarantine_contains(struct ld_quarantine *qn, const struct ld_prompt *p,
    uint64_t now_ms, uint64_t *retry_ms)
{
	struct entry *e;
	bool found = false;
	size_t i = 0;

	*retry_ms = 0;
	while ((e = next_entry_of(qn, p, &i)) != NULL) {
		uint64_t at_ms = retry_at(qn, e, now_ms);

		found = true;
		e->used_ms = now_ms;
		if (at_ms > *retry_ms)
			*retry_ms = at_ms;
	}
	return found;
}

/* ---- Trials ---- */

bool
ld_quarantine_take_trial(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms)
{
	bool granted = true;
	struct entry *e;
	size_t i = 0;

	if (qn->ops->claim_trial == NULL)
		return false;
	while ((e = next_entry_of(qn, p, &i)) != NULL) {
		if (e->granted)
			continue;
		granted = false;
		if (e->claiming || !is_trial_due(e, now_ms))
			continue;
		e->claiming = true;
		qn->ops->claim_trial(qn->user, e->part, e->trials + 1);
	}
	i = 0;
	while (granted && (e = next_entry_of(qn, p, &i)) != NULL) {
		/* A prompt may have a part twice. */
		if (!e->granted)
			continue;
		e->granted = false;
		qn->ops->changed(qn->user, LD_QUARANTINE_TRIAL, e->part);
	}
	return granted;
}

void
ld_quarantine_claimed(struct ld_quarantine *qn, uint64_t part,
    unsigned int number, enum ld_trial_claim result, uint64_t now_ms)
{
	struct entry *e = find_entry(qn, part);

	if (e == NULL)
		return;
	e->claiming = false;
	if (result == LD_TRIAL_FAILED) {
		e->trial_ms = now_ms + spread(qn, part, TRIAL_MS);
		return;
	}
	e->granted = result == LD_TRIAL_GRANTED;
	e->trials = number;
	e->trial_ms = now_ms + spread(qn, part, NEXT_TRIAL_MS);
}

/* ---- Evidence of this node ---- */

static void
suspect(struct ld_quarantine *qn, const struct ld_finding *f, uint64_t now_ms)
{
	if (evidence_is_sound(evidence_find(&qn->evidence, f->part), now_ms))
		return;
	qn->ops->send(qn->user, f);
	judge_crash(qn, f, now_ms);
}

/* Neither answered recently nor with a crash. */
static bool
is_unknown(struct ld_quarantine *qn, uint64_t part, uint64_t now_ms)
{
	const struct evidence *v = evidence_find(&qn->evidence, part);

	return v == NULL ||
	    (v->crash_count == 0 && !evidence_is_sound(v, now_ms));
}

/* Whether number @k of @unknown parts is among those that are suspected. Another
 * prompt begins at another one, so that each place has its turn. */
static bool
is_chosen(const struct ld_prompt *p, size_t k, size_t unknown)
{
	return unknown <= PROMPT_SUSPECTS_MAX ||
	    (k + p->own % unknown) % unknown < PROMPT_SUSPECTS_MAX;
}

/*
 * From the last shared part to the first: the last ones are shared by the fewest
 * other requests, and one that is quarantined explains the crash. The own part
 * is suspected only of a request that had begun, as each request has one.
 */
size_t
ld_quarantine_crashed(struct ld_quarantine *qn, const struct ld_prompt *p,
    uint32_t server, bool begun, uint64_t now_ms)
{
	struct ld_finding f = {
	    .kind = begun ? LD_FINDING_CRASH_BEGUN : LD_FINDING_CRASH,
	    .server = server,
	    .request = (uint32_t)(p->exact != 0 ? p->exact : p->own)};
	size_t unknown = 0, k = 0, suspected = 0;

	for (size_t i = 0; i < p->part_count; i++)
		unknown += is_unknown(qn, p->parts[i], now_ms);
	for (size_t i = p->part_count; i-- > 0;) {
		f.part = p->parts[i];
		if (evidence_is_sound(
			evidence_find(&qn->evidence, f.part), now_ms))
			continue;
		if (is_unknown(qn, f.part, now_ms) &&
		    !is_chosen(p, k++, unknown))
			continue;
		suspected++;
		suspect(qn, &f, now_ms);
	}
	f.part = p->own;
	f.request = (uint32_t)p->own;
	if (begun && p->own != 0)
		suspect(qn, &f, now_ms);
	return suspected;
}

static void
suspect_request(struct ld_quarantine *qn, uint64_t fingerprint, uint32_t server,
    uint64_t now_ms)
{
	/* Three suffice, whatever had come of the answers: the crashes are
	 * certain. */
	struct ld_finding f = {.kind = LD_FINDING_CRASH_BEGUN,
	    .part = fingerprint,
	    .server = server,
	    .request = (uint32_t)fingerprint};

	if (fingerprint != 0)
		suspect(qn, &f, now_ms);
}

/* Requests that differ in their prompts alone may be sound: their answers spare
 * the fingerprint that they share, and not the exact one. */
void
ld_quarantine_request_crashed(struct ld_quarantine *qn,
    const struct ld_prompt *p, uint32_t server, uint64_t now_ms)
{
	suspect_request(qn, p->exact, server, now_ms);
	suspect_request(qn, p->request, server, now_ms);
}

static void
clear_evidence(struct ld_quarantine *qn, struct evidence *v, uint64_t now_ms)
{
	bool was_suspected = v->crash_count > 0;

	v->sound_ms = v->own_sound_ms = now_ms;
	v->crash_count = 0;
	if (release_sound(qn, v->part) || was_suspected)
		contradict(qn, v, now_ms);
}

void
ld_quarantine_went_on(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms)
{
	size_t added = 0;

	for (size_t i = p->part_count; i-- > 0;) {
		bool is_new = evidence_find(&qn->evidence, p->parts[i]) == NULL;

		added += is_new;
		if (!is_new || added <= PROMPT_SOUND_MAX)
			clear_evidence(qn,
			    evidence_use(&qn->evidence, p->parts[i], now_ms),
			    now_ms);
	}
	if (p->own != 0)
		clear_evidence(
		    qn, evidence_use(&qn->evidence, p->own, now_ms), now_ms);
}

static void
note_answer(struct ld_quarantine *qn, uint64_t fingerprint, bool remember,
    uint64_t now_ms)
{
	struct evidence *v = evidence_find(&qn->evidence, fingerprint);

	if (v == NULL && (remember || find_entry(qn, fingerprint) != NULL))
		v = evidence_use(&qn->evidence, fingerprint, now_ms);
	if (v == NULL)
		return;
	v->is_request |= remember;
	v->used_ms = now_ms;
	clear_evidence(qn, v, now_ms);
}

/* The answer to a request without a prompt is remembered. Of prompts few come
 * twice, and what is known of them must not replace the rest. */
void
ld_quarantine_answered(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms)
{
	ld_quarantine_went_on(qn, p, now_ms);
	if (p->request != 0)
		note_answer(qn, p->request, p->own == 0, now_ms);
	if (p->exact != 0)
		note_answer(qn, p->exact, false, now_ms);
}

static void
note_survived(struct ld_quarantine *qn, uint64_t part, uint64_t now_ms)
{
	struct evidence *v = evidence_find(&qn->evidence, part);

	if (v != NULL && part != 0)
		clear_evidence(qn, v, now_ms);
}

void
ld_quarantine_survived(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms)
{
	note_survived(qn, p->request, now_ms);
	note_survived(qn, p->exact, now_ms);
	note_survived(qn, p->own, now_ms);
	for (size_t i = 0; i < p->part_count; i++)
		note_survived(qn, p->parts[i], now_ms);
}

/* ---- Evidence of other nodes ---- */

static void
receive_sound(struct ld_quarantine *qn, uint64_t part, uint64_t now_ms)
{
	struct evidence *v = evidence_find(&qn->evidence, part);

	if (v != NULL) {
		v->sound_ms = now_ms;
		v->crash_count = 0;
	}
	(void)release_sound(qn, part);
}

void
ld_quarantine_receive(
    struct ld_quarantine *qn, const struct ld_finding *f, uint64_t now_ms)
{
	struct evidence *v = evidence_find(&qn->evidence, f->part);

	if (f->kind == LD_FINDING_SOUND) {
		receive_sound(qn, f->part, now_ms);
		return;
	}
	if (evidence_is_own_sound(v, now_ms)) {
		contradict(qn, v, now_ms);
		return;
	}
	if (evidence_is_sound(v, now_ms))
		return;
	if (f->kind != LD_FINDING_QUARANTINED)
		judge_crash(qn, f, now_ms);
	else if (evidence_is_refuted(v, now_ms))
		contradict(qn, v, now_ms);
	else if (find_entry(qn, f->part) == NULL)
		(void)impose(qn, f->part, LD_QUARANTINE_BY_PEER, now_ms);
}

/* ---- Records ---- */

void
ld_quarantine_restore(struct ld_quarantine *qn, uint64_t part, uint64_t now_ms)
{
	struct evidence *v = evidence_find(&qn->evidence, part);

	if (evidence_is_own_sound(v, now_ms) || evidence_is_refuted(v, now_ms))
		contradict(qn, v, now_ms);
	else if (!evidence_is_sound(v, now_ms) && find_entry(qn, part) == NULL)
		(void)impose(qn, part, LD_QUARANTINE_BY_RECORD, now_ms);
}

void
ld_quarantine_withdraw(struct ld_quarantine *qn, uint64_t part)
{
	struct entry *e = find_entry(qn, part);

	if (e != NULL)
		release(qn, e, LD_QUARANTINE_WITHDRAWN);
}

void
ld_quarantine_each(const struct ld_quarantine *qn,
    void (*fn)(void *user, uint64_t part), void *user)
{
	for (size_t i = 0; i < PARTS_MAX; i++)
		if (qn->entries[i].part != 0)
			fn(user, qn->entries[i].part);
}

void
ld_quarantine_restore_crashes(struct ld_quarantine *qn,
    const struct ld_finding *crashes, size_t n, uint64_t now_ms)
{
	for (size_t i = 0; i < n; i++) {
		struct evidence *v =
		    evidence_find(&qn->evidence, crashes[i].part);

		if (v != NULL &&
		    (evidence_is_sound(v, now_ms) ||
			evidence_knows_server(v, crashes[i].server)))
			continue;
		judge_crash(qn, &crashes[i], now_ms);
	}
}

static bool
is_suspect(struct ld_quarantine *qn, const struct evidence *v, uint64_t now_ms)
{
	const struct crash *last;

	if (v->crash_count < 2 || find_entry(qn, v->part) != NULL)
		return false;
	last = &v->crashes[v->crash_count - 1];
	return last->request == (uint32_t)v->part ||
	    now_ms >= last->at_ms + SUSPECT_AFTER_MS;
}

static size_t
copy_crashes(const struct evidence *v, struct ld_finding out[LD_CRASHES_MAX])
{
	for (size_t i = 0; i < v->crash_count; i++)
		out[i] = (struct ld_finding){.kind = v->crashes[i].begun
			? LD_FINDING_CRASH_BEGUN
			: LD_FINDING_CRASH,
		    .part = v->part,
		    .server = v->crashes[i].server,
		    .request = v->crashes[i].request};
	return v->crash_count;
}

size_t
ld_quarantine_suspect_crashes(struct ld_quarantine *qn, uint64_t part,
    uint64_t now_ms, struct ld_finding out[LD_CRASHES_MAX])
{
	const struct evidence *v = evidence_find(&qn->evidence, part);

	return v != NULL && is_suspect(qn, v, now_ms) ? copy_crashes(v, out)
						      : 0;
}

/* The newest, in no order; returns their number. */
static size_t
newest_suspects(struct ld_quarantine *qn, uint64_t now_ms,
    const struct evidence *out[SUSPECTS_MAX])
{
	size_t n = 0;

	for (size_t i = 0; i < EVIDENCE_SETS * EVIDENCE_WAYS; i++) {
		const struct evidence *v =
		    &qn->evidence.sets[i / EVIDENCE_WAYS][i % EVIDENCE_WAYS];
		size_t oldest = 0;

		if (!is_suspect(qn, v, now_ms))
			continue;
		if (n < SUSPECTS_MAX) {
			out[n++] = v;
			continue;
		}
		for (size_t k = 1; k < n; k++)
			if (out[k]->used_ms < out[oldest]->used_ms)
				oldest = k;
		if (out[oldest]->used_ms < v->used_ms)
			out[oldest] = v;
	}
	return n;
}

void
ld_quarantine_each_suspect(struct ld_quarantine *qn, uint64_t now_ms,
    void (*fn)(void *user, const struct ld_finding *crashes, size_t n),
    void *user)
{
	const struct evidence *suspects[SUSPECTS_MAX];
	size_t n = newest_suspects(qn, now_ms, suspects);
	struct ld_finding crashes[LD_CRASHES_MAX];

	for (size_t i = 0; i < n; i++)
		fn(user, crashes, copy_crashes(suspects[i], crashes));
}
