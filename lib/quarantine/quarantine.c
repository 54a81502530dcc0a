/* Decides which parts of prompts are quarantined, and for how long. */
#include <stdlib.h>

#include "quarantine_internal.h"

/* A quarantine ends for a trial after this time, and at most twice of it, by
 * node; each crash in a trial doubles it, up to the longest. */
#define QUARANTINE_MS 60000
#define QUARANTINE_LONGEST_MS 1800000
/* Crashes of requests that were at servers when the quarantine began: these end
 * within the longest time of a request until its answer begins. */
#define IN_FLIGHT_MS 10000
/* A part on trial is remembered for this long. */
#define TRIAL_MS 3600000
#define PARTS_MAX 64
/* Interval of repeated findings about one part, ms: several datagrams. */
#define RESEND_MS 300

/**
 * struct entry - a part in quarantine or on trial
 * @part: 0: free slot
 * @since_ms: begin of the quarantine
 * @until_ms: end of the quarantine
 * @ms: least duration of the quarantine
 * @on_trial: the end of the quarantine was reported
 * @sent_ms: last sent to the other nodes, 0: never
 */
struct entry {
	uint64_t part;
	uint64_t since_ms;
	uint64_t until_ms;
	uint64_t ms;
	bool on_trial;
	uint64_t sent_ms;
};

struct ld_quarantine {
	const struct ld_quarantine_ops *ops;
	void *user;
	uint64_t seed;
	struct entry entries[PARTS_MAX];
	struct evidence_table evidence;
};

const char *
ld_quarantine_event_name(enum ld_quarantine_event e)
{
	static const char *const names[] = {"crashes", "relapse", "peer",
	    "record", "answered", "trial", "withdrawn", "full"};

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

static struct entry *
find_entry(struct ld_quarantine *qn, uint64_t part)
{
	for (size_t i = 0; i < PARTS_MAX; i++)
		if (qn->entries[i].part == part)
			return &qn->entries[i];
	return NULL;
}

static bool
is_active(const struct entry *e, uint64_t now_ms)
{
	return e != NULL && e->part != 0 && now_ms < e->until_ms;
}

/* A free slot, or the one on trial for the longest; NULL if there is none. */
static struct entry *
free_entry(struct ld_quarantine *qn, uint64_t now_ms)
{
	struct entry *best = NULL;

	for (size_t i = 0; i < PARTS_MAX; i++) {
		struct entry *e = &qn->entries[i];

		if (e->part == 0)
			return e;
		if (!is_active(e, now_ms) &&
		    (best == NULL || e->until_ms < best->until_ms))
			best = e;
	}
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

/* Starts a quarantine, or starts it anew after a crash in a trial. */
static void
start_quarantine(
    struct ld_quarantine *qn, struct entry *e, uint64_t part, uint64_t now_ms)
{
	struct ld_str bytes = {(const char *)&part, sizeof(part)};
	uint64_t ms = e->part == part ? 2 * e->ms : QUARANTINE_MS;

	if (ms > QUARANTINE_LONGEST_MS)
		ms = QUARANTINE_LONGEST_MS;
	*e = (struct entry){.part = part,
	    .since_ms = now_ms,
	    .until_ms = now_ms + ms + ld_hash64(bytes, qn->seed) % ms,
	    .ms = ms};
}

static void
impose(struct ld_quarantine *qn, uint64_t part, enum ld_quarantine_event why,
    uint64_t now_ms)
{
	struct entry *e = find_entry(qn, part);

	if (e == NULL)
		e = free_entry(qn, now_ms);
	if (e == NULL) {
		qn->ops->changed(qn->user, LD_QUARANTINE_FULL, part, 0);
		return;
	}
	start_quarantine(qn, e, part, now_ms);
	qn->ops->changed(qn->user, why, part, e->until_ms);
	if (why == LD_QUARANTINE_BY_CRASHES || why == LD_QUARANTINE_BY_RELAPSE)
		announce(qn, e, now_ms);
}

/* ---- Decisions ---- */

/* A crash with a part that is in quarantine here: of a request in flight, in a
 * trial of another node, or of a node that does not know. */
static void
note_crash_in_quarantine(
    struct ld_quarantine *qn, struct entry *e, uint64_t now_ms)
{
	if (now_ms >= e->since_ms + IN_FLIGHT_MS)
		start_quarantine(qn, e, e->part, now_ms);
	announce(qn, e, now_ms);
}

static void
judge_crash(
    struct ld_quarantine *qn, const struct ld_finding *f, uint64_t now_ms)
{
	struct entry *e = find_entry(qn, f->part);
	struct evidence *v = evidence_use(&qn->evidence, f->part, now_ms);

	evidence_add_crash(v, f, now_ms);
	/* On a part that was quarantined before, one crash is enough. */
	if ((e == NULL || f->kind != LD_FINDING_CRASH_BEGUN) &&
	    !evidence_suffices(v, now_ms)) {
		if (is_active(e, now_ms))
			announce(qn, e, now_ms);
		return;
	}
	evidence_explain(&qn->evidence, v);
	if (is_active(e, now_ms))
		note_crash_in_quarantine(qn, e, now_ms);
	else
		impose(qn, f->part,
		    e != NULL ? LD_QUARANTINE_BY_RELAPSE
			      : LD_QUARANTINE_BY_CRASHES,
		    now_ms);
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

static void
release(struct ld_quarantine *qn, struct entry *e, enum ld_quarantine_event why)
{
	uint64_t part = e->part;

	*e = (struct entry){0};
	qn->ops->changed(qn->user, why, part, 0);
}

static bool
release_sound(struct ld_quarantine *qn, uint64_t part)
{
	struct entry *e = find_entry(qn, part);

	if (e != NULL)
		release(qn, e, LD_QUARANTINE_SOUND);
	return e != NULL;
}

/* ---- Events of this node ---- */

static bool
has_part(const struct ld_prompt *p, uint64_t part)
{
	for (size_t i = 0; i < p->part_count; i++)
		if (p->parts[i] == part)
			return true;
	return p->own == part;
}

bool
ld_quarantine_contains(const struct ld_quarantine *qn,
    const struct ld_prompt *p, uint64_t now_ms, uint64_t *until_ms)
{
	for (size_t i = 0; i < PARTS_MAX; i++) {
		const struct entry *e = &qn->entries[i];

		if (!is_active(e, now_ms) || !has_part(p, e->part))
			continue;
		*until_ms = e->until_ms;
		return true;
	}
	return false;
}

bool
ld_quarantine_is_on_trial(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms)
{
	const struct entry *e = find_entry(qn, p->own);

	return p->own != 0 && e != NULL && !is_active(e, now_ms);
}

static void
suspect(struct ld_quarantine *qn, const struct ld_finding *f, uint64_t now_ms)
{
	if (evidence_is_sound(evidence_find(&qn->evidence, f->part), now_ms))
		return;
	qn->ops->send(qn->user, f);
	judge_crash(qn, f, now_ms);
}

/*
 * From the last shared part to the first: the last ones are shared by the fewest
 * other requests, and one that is quarantined explains the crash. The own part
 * is suspected only of a request that had begun, as each request has one.
 */
void
ld_quarantine_crashed(struct ld_quarantine *qn, const struct ld_prompt *p,
    uint32_t server, bool begun, uint64_t now_ms)
{
	struct ld_finding f = {
	    .kind = begun ? LD_FINDING_CRASH_BEGUN : LD_FINDING_CRASH,
	    .server = server,
	    .request = (uint32_t)p->own};

	for (size_t i = p->part_count; i-- > 0;) {
		f.part = p->parts[i];
		suspect(qn, &f, now_ms);
	}
	f.part = p->own;
	if (begun && p->own != 0)
		suspect(qn, &f, now_ms);
}

static void
note_sound(
    struct ld_quarantine *qn, uint64_t part, bool is_request, uint64_t now_ms)
{
	struct evidence *v = evidence_use(&qn->evidence, part, now_ms);
	bool was_suspected = v->crash_count > 0;

	v->is_request = is_request;
	v->sound_ms = v->own_sound_ms = now_ms;
	v->crash_count = 0;
	if (release_sound(qn, part) || was_suspected)
		contradict(qn, v, now_ms);
}

void
ld_quarantine_answered(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms)
{
	for (size_t i = 0; i < p->part_count; i++)
		note_sound(qn, p->parts[i], false, now_ms);
	if (p->own != 0)
		note_sound(qn, p->own, p->is_request, now_ms);
}

/* ---- Events of other nodes ---- */

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
	else if (!is_active(find_entry(qn, f->part), now_ms))
		impose(qn, f->part, LD_QUARANTINE_BY_PEER, now_ms);
}

void
ld_quarantine_restore(struct ld_quarantine *qn, uint64_t part, uint64_t now_ms)
{
	struct evidence *v = evidence_find(&qn->evidence, part);

	if (evidence_is_own_sound(v, now_ms) || evidence_is_refuted(v, now_ms))
		contradict(qn, v, now_ms);
	else if (!evidence_is_sound(v, now_ms) && find_entry(qn, part) == NULL)
		impose(qn, part, LD_QUARANTINE_BY_RECORD, now_ms);
}

void
ld_quarantine_withdraw(struct ld_quarantine *qn, uint64_t part)
{
	struct entry *e = find_entry(qn, part);

	if (e != NULL)
		release(qn, e, LD_QUARANTINE_WITHDRAWN);
}

/* ---- Time ---- */

void
ld_quarantine_tick(struct ld_quarantine *qn, uint64_t now_ms)
{
	for (size_t i = 0; i < PARTS_MAX; i++) {
		struct entry *e = &qn->entries[i];

		if (e->part == 0 || is_active(e, now_ms))
			continue;
		if (!e->on_trial)
			qn->ops->changed(
			    qn->user, LD_QUARANTINE_TRIAL, e->part, 0);
		e->on_trial = true;
		if (now_ms >= e->until_ms + TRIAL_MS)
			*e = (struct entry){0};
	}
}

void
ld_quarantine_each(const struct ld_quarantine *qn,
    void (*fn)(void *user, uint64_t part), void *user)
{
	for (size_t i = 0; i < PARTS_MAX; i++)
		if (qn->entries[i].part != 0)
			fn(user, qn->entries[i].part);
}
