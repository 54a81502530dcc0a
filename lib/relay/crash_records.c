/*
 * What is known of requests that crash servers, in the store: what is in
 * quarantine, the crashes of what is not yet, and the trials that are claimed.
 * Nodes that start later, or have missed a finding, read it there.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "leader_records.h"
#include "request_internal.h"

#define PART_DIGITS 16 /* hexadecimal */
#define PART_TEXT_BYTES 24
#define KEY_BYTES 64

/** struct trial_claim - a claim in progress */
struct trial_claim {
	struct ld_store_call call; /* first member */
	struct trial_claim *next;
	struct relay *relay;
	uint64_t part;
	unsigned int number;
};

struct crash_records {
	struct ld_quarantine *quarantine;
	struct leader_records *quarantined;
	struct leader_records *suspects;
	struct trial_claim *claims;
};

static struct ld_quarantine *
quarantine_of(const struct leader_records *rs)
{
	return rs->relay->crash_records->quarantine;
}

static bool
is_part(const char *text)
{
	return strspn(text, "0123456789abcdef") == PART_DIGITS &&
	    strtoull(text, NULL, 16) != 0;
}

/* ---- In quarantine: the part is the name, the value says who wrote it ---- */

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
	ld_quarantine_each(quarantine_of(rs), want_part, rs);
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
	return is_part(name) && name[PART_DIGITS] == '\0';
}

static bool
apply_part(struct leader_records *rs, const char *name, char *value)
{
	uint64_t part = strtoull(name, NULL, 16);

	if (value != NULL)
		ld_quarantine_restore(
		    quarantine_of(rs), part, relay_now(rs->relay));
	else
		ld_quarantine_withdraw(quarantine_of(rs), part);
	return true;
}

/*
 * ---- Suspects: PART-COUNT, "SERVER-REQUEST-BEGUN" of each crash in the value,
 * in hexadecimal; another count is another record ----
 */

struct crash_list {
	const struct ld_finding *crashes;
	size_t n;
};

static void
want_suspect(void *user, const struct ld_finding *crashes, size_t n)
{
	struct crash_list list = {crashes, n};
	char name[PART_TEXT_BYTES];

	snprintf(name, sizeof(name), "%016" PRIx64 "-%zu", crashes[0].part, n);
	leader_records_want(user, name, &list);
}

/* The node that sees a crash writes it at once: it may be the next to be stopped. */
void
crash_records_note_crash(struct relay *r, uint64_t part)
{
	struct ld_finding crashes[LD_CRASHES_MAX];
	size_t n = ld_quarantine_suspect_crashes(
	    r->crash_records->quarantine, part, relay_now(r), crashes);

	if (n > 0)
		want_suspect(r->crash_records->suspects, crashes, n);
}

static bool
each_suspect(struct leader_records *rs)
{
	ld_quarantine_each_suspect(
	    quarantine_of(rs), relay_now(rs->relay), want_suspect, rs);
	return true;
}

static void
format_suspect(
    struct leader_records *rs, const void *item, struct ld_buf *value)
{
	const struct crash_list *list = item;

	for (size_t i = 0; i < list->n; i++)
		ld_buf_printf(value, "%s%x-%x-%d", i > 0 ? " " : "",
		    list->crashes[i].server, list->crashes[i].request,
		    list->crashes[i].kind == LD_FINDING_CRASH_BEGUN);
}

static bool
is_suspect_name(const char *name)
{
	const char *count = name + PART_DIGITS + 1;

	return is_part(name) && name[PART_DIGITS] == '-' && *count != '\0' &&
	    strspn(count, "0123456789") == strlen(count);
}

/* Returns how many were read, 0 if one is malformed. */
static size_t
read_crashes(uint64_t part, char *value, struct ld_finding out[LD_CRASHES_MAX])
{
	char *rest = NULL;
	size_t n = 0;

	for (char *word = strtok_r(value, " ", &rest); word != NULL;
	     word = strtok_r(NULL, " ", &rest)) {
		struct ld_finding *f = &out[n];
		unsigned int begun;
		int end = 0;

		if (n == LD_CRASHES_MAX ||
		    sscanf(word, "%8" SCNx32 "-%8" SCNx32 "-%1u%n", &f->server,
			&f->request, &begun, &end) != 3 ||
		    word[end] != '\0' || begun > 1)
			return 0;
		f->part = part;
		f->kind =
		    begun == 1 ? LD_FINDING_CRASH_BEGUN : LD_FINDING_CRASH;
		n++;
	}
	return n;
}

/* A record that is gone says nothing: its part was answered, which the nodes hear
 * of, is in quarantine, or has more crashes. */
static bool
apply_suspect(struct leader_records *rs, const char *name, char *value)
{
	struct ld_finding crashes[LD_CRASHES_MAX];
	size_t n;

	if (value == NULL)
		return true;
	n = read_crashes(strtoull(name, NULL, 16), value, crashes);
	ld_quarantine_restore_crashes(
	    quarantine_of(rs), crashes, n, relay_now(rs->relay));
	return n > 0;
}

/* ---- Trials ---- */

static void
claim_remove(struct trial_claim *c)
{
	struct trial_claim **p = &c->relay->crash_records->claims;

	while (*p != c)
		p = &(*p)->next;
	*p = c->next;
	free(c);
}

static void
on_claimed(struct ld_store_call *call, const struct ld_store_answer *a)
{
	static const enum ld_trial_claim results[LD_STORE_OUTCOME_COUNT] = {
	    [LD_STORE_NOT_APPLIED] = LD_TRIAL_FAILED,
	    [LD_STORE_APPLIED] = LD_TRIAL_GRANTED,
	    [LD_STORE_CONFLICT] = LD_TRIAL_TAKEN,
	    [LD_STORE_UNKNOWN] = LD_TRIAL_TAKEN};
	struct trial_claim *c = (struct trial_claim *)call;

	ld_event("prompt.trial_claimed", "part=%llx number=%u outcome=%s",
	    (unsigned long long)c->part, c->number,
	    ld_store_outcome_name(a->outcome));
	ld_quarantine_claimed(c->relay->crash_records->quarantine, c->part,
	    c->number, results[a->outcome], relay_now(c->relay));
	claim_remove(c);
}

void
crash_records_claim(struct relay *r, uint64_t part, unsigned int number)
{
	struct trial_claim *c = ld_alloc(sizeof(*c));
	char key[KEY_BYTES];

	c->relay = r;
	c->part = part;
	c->number = number;
	c->call.done = on_claimed;
	c->next = r->crash_records->claims;
	r->crash_records->claims = c;
	snprintf(key, sizeof(key), RELAY_TRIALS_PREFIX "%016" PRIx64 "-%u",
	    part, number);
	ld_store_cas(r->store, &c->call, ld_str_c(key),
	    ld_str_c(r->settings->name), (struct ld_store_expect){0}, 0);
}

/* ---- Start, end, time ---- */

struct leader_records *
crash_records_quarantined(const struct relay *r)
{
	return r->crash_records->quarantined;
}

struct leader_records *
crash_records_suspects(const struct relay *r)
{
	return r->crash_records->suspects;
}

void
crash_records_tick(struct relay *r)
{
	leader_records_tick(r->crash_records->quarantined);
	leader_records_tick(r->crash_records->suspects);
}

static struct leader_records *
records_new(
    struct relay *r, const struct leader_records_ops *ops, const char *prefix)
{
	struct leader_records *rs = ld_alloc(sizeof(*rs));

	rs->ops = ops;
	rs->relay = r;
	rs->prefix = prefix;
	return rs;
}

void
crash_records_open(struct relay *r, struct ld_quarantine *qn)
{
	static const struct leader_records_ops part_ops = {
	    .any_node = true,
	    .is_name = is_part_name,
	    .each_wanted = each_part,
	    .format = format_part,
	    .apply = apply_part,
	};
	static const struct leader_records_ops suspect_ops = {
	    .any_node = true,
	    .is_name = is_suspect_name,
	    .each_wanted = each_suspect,
	    .format = format_suspect,
	    .apply = apply_suspect,
	};
	struct crash_records *cr = ld_alloc(sizeof(*cr));

	cr->quarantine = qn;
	cr->quarantined = records_new(r, &part_ops, RELAY_QUARANTINE_PREFIX);
	cr->suspects = records_new(r, &suspect_ops, RELAY_SUSPECTS_PREFIX);
	r->crash_records = cr;
}

void
crash_records_close(struct relay *r)
{
	struct crash_records *cr = r->crash_records;

	for (struct trial_claim *c = cr->claims, *next; c != NULL; c = next) {
		next = c->next;
		ld_store_cancel(&c->call);
		free(c);
	}
	leader_records_free(cr->quarantined);
	leader_records_free(cr->suspects);
	free(cr);
}
