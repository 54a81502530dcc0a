/* Error-budget burn: good and bad events per caller, counted by minute. */
#include <assert.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "ld_metrics.h"

#define MINUTE_MS 60000
#define RETAINED_MINUTES 360

const unsigned int ld_burn_window_min[LD_BURN_WINDOWS] = {
    5, 60, RETAINED_MINUTES};

/**
 * struct minute - events of one minute
 * @index: minutes since time 0 of the clock; modulo RETAINED_MINUTES, the slot
 */
struct minute {
	uint64_t index;
	uint32_t good;
	uint32_t bad;
};

/** struct caller_counts - events of one caller and objective */
struct caller_counts {
	struct caller_counts *next;
	char *owner;
	char *class;
	enum ld_objective objective;
	uint64_t causes[LD_C_COUNT];
	struct minute minutes[RETAINED_MINUTES];
};

/** struct override - goal of a caller or class; NULL matches any */
struct override {
	struct override *next;
	char *owner;
	char *class;
	enum ld_objective objective;
	struct ld_goal goal;
};

struct ld_burn {
	struct ld_goal goals[LD_O_COUNT];
	struct override *overrides;
	struct caller_counts *callers;
};

const char *
ld_objective_name(enum ld_objective o)
{
	static const char *const names[LD_O_COUNT] = {
	    "first-token", "token-gap", "answered"};

	return names[o];
}

const char *
ld_cause_name(enum ld_cause c)
{
	static const char *const names[LD_C_COUNT] = {"none", "limit",
	    "capacity", "no-replica", "backend", "slow", "catalogue"};

	return names[c];
}

struct ld_burn *
ld_burn_new(const struct ld_goal goals[LD_O_COUNT])
{
	struct ld_burn *b = ld_alloc(sizeof(*b));

	memcpy(b->goals, goals, sizeof(b->goals));
	return b;
}

void
ld_burn_free(struct ld_burn *b)
{
	struct override *v;
	struct caller_counts *c;

	if (b == NULL)
		return;
	while ((c = b->callers) != NULL) {
		b->callers = c->next;
		free(c->owner);
		free(c->class);
		free(c);
	}
	while ((v = b->overrides) != NULL) {
		b->overrides = v->next;
		free(v->owner);
		free(v->class);
		free(v);
	}
	free(b);
}

/* ---- Goals ---- */

void
ld_burn_override(struct ld_burn *b, struct ld_str owner, struct ld_str class,
    enum ld_objective o, struct ld_goal goal)
{
	struct override *v = ld_alloc(sizeof(*v));

	assert(owner.len + class.len > 0);
	v->owner = owner.len > 0 ? ld_str_dup(owner) : NULL;
	v->class = class.len > 0 ? ld_str_dup(class) : NULL;
	v->objective = o;
	v->goal = goal;
	v->next = b->overrides;
	b->overrides = v;
}

static bool
matches(const char *name, struct ld_str given)
{
	return name == NULL || ld_str_eq(ld_str_c(name), given);
}

struct ld_goal
ld_burn_goal(const struct ld_burn *b, struct ld_str owner, struct ld_str class,
    enum ld_objective o)
{
	struct ld_goal goal = b->goals[o];
	bool names_caller = false;

	for (const struct override *v = b->overrides; v != NULL; v = v->next) {
		if (v->objective != o || !matches(v->owner, owner) ||
		    !matches(v->class, class))
			continue;
		/* An override for the caller precedes one for its class. */
		if (names_caller && v->owner == NULL)
			continue;
		names_caller = v->owner != NULL;
		goal = v->goal;
	}
	return goal;
}

/* ---- Events ---- */

static struct caller_counts *
find_or_add_counts(struct ld_burn *b, struct ld_str owner, struct ld_str class,
    enum ld_objective o)
{
	struct caller_counts *c;

	for (c = b->callers; c != NULL; c = c->next)
		if (c->objective == o && ld_str_eq(ld_str_c(c->owner), owner) &&
		    ld_str_eq(ld_str_c(c->class), class))
			return c;
	c = ld_alloc(sizeof(*c));
	c->owner = ld_str_dup(owner);
	c->class = ld_str_dup(class);
	c->objective = o;
	c->next = b->callers;
	b->callers = c;
	return c;
}

void
ld_burn_note(struct ld_burn *b, uint64_t now_ms, struct ld_str owner,
    struct ld_str class, enum ld_objective o, uint64_t good, uint64_t bad,
    enum ld_cause cause)
{
	struct caller_counts *c = find_or_add_counts(b, owner, class, o);
	uint64_t index = now_ms / MINUTE_MS;
	struct minute *m = &c->minutes[index % RETAINED_MINUTES];

	if (m->index != index)
		*m = (struct minute){.index = index};
	m->good += (uint32_t)good;
	m->bad += (uint32_t)bad;
	c->causes[cause] += bad;
}

static void
sum_window(const struct caller_counts *c, uint64_t now_ms, unsigned int minutes,
    uint64_t *good, uint64_t *bad)
{
	uint64_t last = now_ms / MINUTE_MS;
	uint64_t first = last + 1 > minutes ? last + 1 - minutes : 0;

	*good = 0;
	*bad = 0;
	for (int i = 0; i < RETAINED_MINUTES; i++) {
		const struct minute *m = &c->minutes[i];

		if (m->index < first || m->index > last)
			continue;
		*good += m->good;
		*bad += m->bad;
	}
}

static json_t *
counts_json(
    const struct ld_burn *b, const struct caller_counts *c, uint64_t now_ms)
{
	struct ld_goal goal = ld_burn_goal(
	    b, ld_str_c(c->owner), ld_str_c(c->class), c->objective);
	json_t *good = json_array();
	json_t *bad = json_array();
	json_t *causes = json_object();
	uint64_t good_count, bad_count;

	for (int i = 0; i < LD_BURN_WINDOWS; i++) {
		sum_window(
		    c, now_ms, ld_burn_window_min[i], &good_count, &bad_count);
		json_array_append_new(
		    good, json_integer((json_int_t)good_count));
		json_array_append_new(bad, json_integer((json_int_t)bad_count));
	}
	for (int i = 1; i < LD_C_COUNT; i++)
		if (c->causes[i] > 0)
			json_object_set_new(causes,
			    ld_cause_name((enum ld_cause)i),
			    json_integer((json_int_t)c->causes[i]));
	return json_pack("{s:s,s:s,s:s,s:I,s:I,s:o,s:o,s:o}", "owner", c->owner,
	    "class", c->class, "objective", ld_objective_name(c->objective),
	    "threshold_ms", (json_int_t)goal.threshold_ms, "target_permille",
	    (json_int_t)goal.target_permille, "good", good, "bad", bad,
	    "causes", causes);
}

void
ld_burn_write(struct ld_burn *b, uint64_t now_ms, struct ld_buf *out)
{
	json_t *windows = json_array();
	json_t *callers = json_array();
	json_t *doc;
	char *text;

	for (int i = 0; i < LD_BURN_WINDOWS; i++)
		json_array_append_new(
		    windows, json_integer(ld_burn_window_min[i]));
	for (const struct caller_counts *c = b->callers; c != NULL; c = c->next)
		json_array_append_new(callers, counts_json(b, c, now_ms));
	doc =
	    json_pack("{s:o,s:o}", "windows_min", windows, "callers", callers);
	text = json_dumps(doc, JSON_COMPACT);
	ld_buf_printf(out, "%s\n", text);
	free(text);
	json_decref(doc);
}
