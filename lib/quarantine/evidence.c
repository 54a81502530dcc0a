/* See quarantine_internal.h. */
#include "quarantine_internal.h"

/* Nodes notice one crash at different times; a server takes longer than this to
 * restart. */
#define SAME_CRASH_MS 2000
/* The same for a crash of a request: a node may learn from the server's entry that
 * it has ended, see lib/relay/crash_check.c. */
#define SAME_CHECKED_CRASH_MS 15000
/* A part whose answers went on this recently is not suspected: it covers the
 * time in which a failing rack crashes several of its servers. */
#define SOUND_VALID_MS 3000

/* An answer to a request counts against crashes of it for this long. */
#define ANSWERED_VALID_MS 600000

static struct evidence *
set_of(struct evidence_table *t, uint64_t part)
{
	return t->sets[part % EVIDENCE_SETS];
}

struct evidence *
evidence_find(struct evidence_table *t, uint64_t part)
{
	struct evidence *set = set_of(t, part);

	for (size_t i = 0; i < EVIDENCE_WAYS; i++)
		if (set[i].part == part)
			return &set[i];
	return NULL;
}

/* Whether @a is to be replaced rather than @b. */
static bool
is_less_useful(const struct evidence *a, const struct evidence *b)
{
	bool a_crashes = a->crash_count > 0;
	bool b_crashes = b->crash_count > 0;

	return a_crashes != b_crashes ? b_crashes : a->used_ms < b->used_ms;
}

struct evidence *
evidence_use(struct evidence_table *t, uint64_t part, uint64_t now_ms)
{
	struct evidence *e = evidence_find(t, part);
	struct evidence *set = set_of(t, part);

	if (e == NULL) {
		e = &set[0];
		for (size_t i = 1; i < EVIDENCE_WAYS; i++)
			if (is_less_useful(&set[i], e))
				e = &set[i];
		*e = (struct evidence){.part = part};
	}
	e->used_ms = now_ms;
	return e;
}

static bool
is_recent(uint64_t at_ms, uint64_t now_ms)
{
	return at_ms != 0 && now_ms < at_ms + SOUND_VALID_MS;
}

bool
evidence_is_sound(const struct evidence *e, uint64_t now_ms)
{
	return e != NULL && is_recent(e->sound_ms, now_ms);
}

bool
evidence_is_own_sound(const struct evidence *e, uint64_t now_ms)
{
	return e != NULL && is_recent(e->own_sound_ms, now_ms);
}

static void
remove_crash(struct evidence *e, size_t i)
{
	e->crash_count--;
	for (; i < e->crash_count; i++)
		e->crashes[i] = e->crashes[i + 1];
}

static bool
is_same_crash(
    const struct crash *a, uint32_t server, uint64_t at_ms, uint64_t within_ms)
{
	uint64_t apart_ms =
	    a->at_ms > at_ms ? a->at_ms - at_ms : at_ms - a->at_ms;

	return a->server == server && apart_ms < within_ms;
}

bool
evidence_knows_server(const struct evidence *e, uint32_t server)
{
	for (size_t i = 0; i < e->crash_count; i++)
		if (e->crashes[i].server == server)
			return true;
	return false;
}

static void
merge_crash(struct crash *c, const struct ld_finding *f)
{
	bool begun = f->kind == LD_FINDING_CRASH_BEGUN;

	c->has_others |= c->request != f->request;
	if (begun && !c->begun)
		c->request = f->request;
	c->begun |= begun;
}

void
evidence_add_crash(
    struct evidence *e, const struct ld_finding *f, uint64_t now_ms)
{
	uint64_t within_ms = f->request == (uint32_t)f->part
	    ? SAME_CHECKED_CRASH_MS
	    : SAME_CRASH_MS;

	for (size_t i = e->crash_count; i-- > 0;) {
		struct crash *c = &e->crashes[i];

		if (is_same_crash(c, f->server, now_ms, within_ms)) {
			merge_crash(c, f);
			return;
		}
	}
	/* The newest ones are kept. */
	if (e->crash_count == LD_CRASHES_MAX)
		remove_crash(e, 0);
	e->crashes[e->crash_count++] = (struct crash){.server = f->server,
	    .request = f->request,
	    .begun = f->kind == LD_FINDING_CRASH_BEGUN,
	    .at_ms = now_ms};
}

/* Of the own part of a request: all its crashes are of that request. */
static bool
is_own_part(const struct evidence *e)
{
	return e->crash_count > 0 && e->crashes[0].request == (uint32_t)e->part;
}

static bool
was_answered(const struct evidence *e, uint64_t answer_ms, uint64_t now_ms)
{
	return e->is_request && answer_ms != 0 &&
	    now_ms < answer_ms + ANSWERED_VALID_MS;
}

bool
evidence_is_refuted(const struct evidence *e, uint64_t now_ms)
{
	return e != NULL && was_answered(e, e->own_sound_ms, now_ms) &&
	    !evidence_suffices(e, now_ms);
}

bool
evidence_suffices(const struct evidence *e, uint64_t now_ms)
{
	unsigned int needed = was_answered(e, e->sound_ms, now_ms)
	    ? WEIGHT_AFTER_ANSWER
	    : WEIGHT_SUFFICES;
	unsigned int requests = 0, weight = 0;

	for (size_t i = 0; i < e->crash_count; i++) {
		const struct crash *c = &e->crashes[i];
		size_t k = 0;

		while (k < i && e->crashes[k].request != c->request)
			k++;
		requests += (k == i) + c->has_others;
		weight += c->begun ? WEIGHT_BEGUN : WEIGHT_OTHER;
	}
	return weight >= needed && (requests >= REQUESTS_MIN || is_own_part(e));
}

static bool
is_same_request(const struct crash *by, const struct crash *c)
{
	return by->request == c->request;
}

/* Whether the culprit's crash @by is the crash @c of another part, too. */
static bool
explains(const struct evidence *culprit, const struct crash *by,
    const struct crash *c)
{
	if (!is_same_crash(by, c->server, c->at_ms, SAME_CHECKED_CRASH_MS))
		return false;
	return is_same_request(by, c) ? !is_own_part(culprit)
				      : by->begun && !c->begun;
}

static bool
is_explained(const struct evidence *culprit, const struct crash *c)
{
	for (size_t i = 0; i < culprit->crash_count; i++)
		if (explains(culprit, &culprit->crashes[i], c))
			return true;
	return false;
}

/* A request that crashes servers each time is one witness against a part that it
 * shares with others, however often it came. */
static void
keep_one_of_request(struct evidence *e, const struct evidence *culprit)
{
	bool found = false;

	for (size_t i = e->crash_count; i-- > 0;) {
		if (e->crashes[i].request != culprit->crashes[0].request)
			continue;
		if (found)
			remove_crash(e, i);
		found = true;
	}
}

void
evidence_explain(struct evidence_table *t, const struct evidence *culprit)
{
	bool is_own = is_own_part(culprit);

	for (size_t s = 0; s < EVIDENCE_SETS; s++)
		for (size_t w = 0; w < EVIDENCE_WAYS; w++) {
			struct evidence *e = &t->sets[s][w];

			if (e == culprit || e->crash_count == 0)
				continue;
			for (size_t i = e->crash_count; i-- > 0;)
				if (is_explained(culprit, &e->crashes[i]))
					remove_crash(e, i);
			if (is_own && !is_own_part(e))
				keep_one_of_request(e, culprit);
		}
}
