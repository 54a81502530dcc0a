/* Service-level burn: good and bad events by caller, minute by minute. */
#include <assert.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "ld_metrics.h"

#define MINUTE_MS 60000
#define MINUTES 360

const unsigned int ld_burn_window_min[LD_BURN_WINDOWS] = {5, 60, MINUTES};

/** struct minute - events of one minute */
struct minute {
	uint64_t number; /* minutes since the clock's start; names the slot */
	uint32_t good;
	uint32_t bad;
};

/** struct line - one caller and objective */
struct line {
	struct line *next;
	char *owner;
	char *class;
	enum ld_objective objective;
	uint64_t causes[LD_C_COUNT];
	struct minute minutes[MINUTES];
};

/** struct override - goal of one caller or one class; NULL for any */
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
	struct line *lines;
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
	struct line *l;

	if (b == NULL)
		return;
	while ((l = b->lines) != NULL) {
		b->lines = l->next;
		free(l->owner);
		free(l->class);
		free(l);
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
	bool own = false;

	for (const struct override *v = b->overrides; v != NULL; v = v->next) {
		if (v->objective != o || !matches(v->owner, owner) ||
		    !matches(v->class, class))
			continue;
		/* One that names the caller goes before one of its class. */
		if (own && v->owner == NULL)
			continue;
		own = v->owner != NULL;
		goal = v->goal;
	}
	return goal;
}

/* ---- Events ---- */

static struct line *
line_of(struct ld_burn *b, struct ld_str owner, struct ld_str class,
    enum ld_objective o)
{
	struct line *l;

	for (l = b->lines; l != NULL; l = l->next)
		if (l->objective == o && ld_str_eq(ld_str_c(l->owner), owner) &&
		    ld_str_eq(ld_str_c(l->class), class))
			return l;
	l = ld_alloc(sizeof(*l));
	l->owner = ld_str_dup(owner);
	l->class = ld_str_dup(class);
	l->objective = o;
	l->next = b->lines;
	b->lines = l;
	return l;
}

void
ld_burn_note(struct ld_burn *b, uint64_t now_ms, struct ld_str owner,
    struct ld_str class, enum ld_objective o, uint64_t good, uint64_t bad,
    enum ld_cause cause)
{
	struct line *l = line_of(b, owner, class, o);
	uint64_t number = now_ms / MINUTE_MS;
	struct minute *m = &l->minutes[number % MINUTES];

	if (m->number != number)
		*m = (struct minute){.number = number};
	m->good += (uint32_t)good;
	m->bad += (uint32_t)bad;
	l->causes[cause] += bad;
}

static void
sum_window(const struct line *l, uint64_t now_ms, unsigned int minutes,
    uint64_t *good, uint64_t *bad)
{
	uint64_t last = now_ms / MINUTE_MS;
	uint64_t first = last + 1 > minutes ? last + 1 - minutes : 0;

	*good = 0;
	*bad = 0;
	for (int i = 0; i < MINUTES; i++) {
		const struct minute *m = &l->minutes[i];

		if (m->number < first || m->number > last)
			continue;
		*good += m->good;
		*bad += m->bad;
	}
}

static json_t *
line_json(const struct ld_burn *b, const struct line *l, uint64_t now_ms)
{
	struct ld_goal goal = ld_burn_goal(
	    b, ld_str_c(l->owner), ld_str_c(l->class), l->objective);
	json_t *good = json_array();
	json_t *bad = json_array();
	json_t *causes = json_object();
	uint64_t g, n;

	for (int i = 0; i < LD_BURN_WINDOWS; i++) {
		sum_window(l, now_ms, ld_burn_window_min[i], &g, &n);
		json_array_append_new(good, json_integer((json_int_t)g));
		json_array_append_new(bad, json_integer((json_int_t)n));
	}
	for (int i = 1; i < LD_C_COUNT; i++)
		if (l->causes[i] > 0)
			json_object_set_new(causes,
			    ld_cause_name((enum ld_cause)i),
			    json_integer((json_int_t)l->causes[i]));
	return json_pack("{s:s,s:s,s:s,s:I,s:I,s:o,s:o,s:o}", "owner", l->owner,
	    "class", l->class, "objective", ld_objective_name(l->objective),
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
	for (const struct line *l = b->lines; l != NULL; l = l->next)
		json_array_append_new(callers, line_json(b, l, now_ms));
	doc =
	    json_pack("{s:o,s:o}", "windows_min", windows, "callers", callers);
	text = json_dumps(doc, JSON_COMPACT);
	ld_buf_printf(out, "%s\n", text);
	free(text);
	json_decref(doc);
}
