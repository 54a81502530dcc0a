/*
 * One edit of the catalogue by an operator: read the key, write it with one
 * compare-and-swap, read it back if the outcome of the write is unknown, then
 * wait until every node has confirmed the new revision.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "ld_catalogue.h"

#define NEVER UINT64_MAX
/* If the first read takes longer, the edit ends as LD_EDIT_NOT_WRITTEN. */
#define READ_TIMEOUT_MS 4000
/* READ, WRITE, SETTLE, WRITTEN and DONE are queued at most once each. */
#define EDIT_ACTIONS_MAX 5

enum phase {
	READING,
	WRITING,
	SETTLING,
	CONFIRMING,
	DONE
};

struct ld_edit {
	enum phase phase;
	enum ld_edit_result result;
	char *bytes;
	size_t len;
	int64_t if_match;
	int64_t revision;
	uint64_t due_ms;
	bool reported; /* ld_edit_unconfirmed() was called at least once */
	char **unconfirmed;
	size_t n_unconfirmed;
	struct ld_edit_action queue[EDIT_ACTIONS_MAX];
	size_t queue_len;
	size_t queue_pos;
};

static const char *const result_names[LD_EDIT_RESULT_COUNT] = {
    [LD_EDIT_PENDING] = "pending",
    [LD_EDIT_ACCEPTED] = "accepted",
    [LD_EDIT_UNCONFIRMED] = "unconfirmed",
    [LD_EDIT_CONFLICT] = "conflict",
    [LD_EDIT_NOT_WRITTEN] = "not-written",
    [LD_EDIT_UNKNOWN] = "unknown",
};

const char *
ld_edit_result_name(enum ld_edit_result r)
{
	if ((unsigned int)r >= LD_EDIT_RESULT_COUNT)
		return "unnamed";
	return result_names[r];
}

static struct ld_edit_action *
queue_action(struct ld_edit *e, enum ld_edit_action_kind kind)
{
	struct ld_edit_action *a = &e->queue[e->queue_len];

	e->queue_len++;
	a->kind = kind;
	a->bytes = (struct ld_str){e->bytes, e->len};
	return a;
}

bool
ld_edit_next_action(struct ld_edit *e, struct ld_edit_action *a)
{
	if (e->queue_pos == e->queue_len)
		return false;
	*a = e->queue[e->queue_pos];
	e->queue_pos++;
	return true;
}

static void
finish(struct ld_edit *e, enum ld_edit_result result, int64_t revision)
{
	e->phase = DONE;
	e->result = result;
	e->revision = revision;
	e->due_ms = NEVER;
	queue_action(e, LD_EDIT_DONE);
}

static void
begin_settling(struct ld_edit *e, uint64_t now_ms)
{
	e->phase = SETTLING;
	e->due_ms = now_ms + LD_EDIT_SETTLE_MS;
	queue_action(e, LD_EDIT_SETTLE)->deadline_ms = e->due_ms;
}

enum ld_status
ld_edit_new(struct ld_str json, int64_t if_match, uint64_t now_ms,
    struct ld_edit **out, struct ld_faults *faults)
{
	struct ld_catalogue *c;
	struct ld_edit *e;
	enum ld_status st;

	*out = NULL;
	st = ld_catalogue_parse(json, 0, &c, faults);
	if (st != LD_OK)
		return st;
	ld_catalogue_unref(c);
	e = ld_alloc(sizeof(*e));
	e->bytes = ld_str_dup(json);
	e->len = json.len;
	e->if_match = if_match;
	e->due_ms = now_ms + READ_TIMEOUT_MS;
	queue_action(e, LD_EDIT_READ);
	*out = e;
	return LD_OK;
}

void
ld_edit_read_done(
    struct ld_edit *e, uint64_t now_ms, enum ld_status status, int64_t revision)
{
	if (e->phase != READING)
		return;
	if (status != LD_OK && status != LD_E_NOT_FOUND) {
		finish(e, LD_EDIT_NOT_WRITTEN, 0);
		return;
	}
	if (revision != e->if_match) {
		finish(e, LD_EDIT_CONFLICT, revision);
		return;
	}
	e->phase = WRITING;
	/* The store client has a time-out; its calls must not overlap. */
	e->due_ms = NEVER;
	queue_action(e, LD_EDIT_WRITE);
}

static void
begin_confirming(struct ld_edit *e, uint64_t now_ms, int64_t revision)
{
	e->phase = CONFIRMING;
	e->revision = revision;
	e->due_ms = now_ms + LD_EDIT_CONFIRM_MS;
	queue_action(e, LD_EDIT_WRITTEN)->revision = revision;
}

void
ld_edit_write_done(struct ld_edit *e, uint64_t now_ms,
    enum ld_edit_write outcome, int64_t revision)
{
	bool settling = e->phase == SETTLING;

	if (e->phase != WRITING && !settling)
		return;
	switch (outcome) {
	case LD_EDIT_WRITE_APPLIED:
		begin_confirming(e, now_ms, revision);
		break;
	case LD_EDIT_WRITE_CONFLICT:
		finish(e, LD_EDIT_CONFLICT, revision);
		break;
	case LD_EDIT_WRITE_NOT_APPLIED:
		/* The read-back found that another edit was written instead. */
		finish(e, settling ? LD_EDIT_CONFLICT : LD_EDIT_NOT_WRITTEN,
		    revision);
		break;
	case LD_EDIT_WRITE_UNKNOWN:
		if (settling)
			finish(e, LD_EDIT_UNKNOWN, revision);
		else
			begin_settling(e, now_ms);
		break;
	}
}

static void
free_unconfirmed(struct ld_edit *e)
{
	for (size_t i = 0; i < e->n_unconfirmed; i++)
		free(e->unconfirmed[i]);
	free(e->unconfirmed);
	e->unconfirmed = NULL;
	e->n_unconfirmed = 0;
}

void
ld_edit_unconfirmed(
    struct ld_edit *e, uint64_t now_ms, const struct ld_str *names, size_t n)
{
	if (e->phase != CONFIRMING)
		return;
	free_unconfirmed(e);
	e->reported = true;
	e->unconfirmed = ld_alloc(n * sizeof(*e->unconfirmed));
	for (size_t i = 0; i < n; i++)
		e->unconfirmed[i] = ld_str_dup(names[i]);
	e->n_unconfirmed = n;
	if (n == 0)
		finish(e, LD_EDIT_ACCEPTED, e->revision);
	else
		ld_edit_tick(e, now_ms);
}

void
ld_edit_tick(struct ld_edit *e, uint64_t now_ms)
{
	if (now_ms < e->due_ms)
		return;
	switch (e->phase) {
	case READING:
		finish(e, LD_EDIT_NOT_WRITTEN, 0);
		break;
	case WRITING:
		break;
	case SETTLING:
		finish(e, LD_EDIT_UNKNOWN, 0);
		break;
	case CONFIRMING:
		finish(e, LD_EDIT_UNCONFIRMED, e->revision);
		break;
	case DONE:
		break;
	}
}

uint64_t
ld_edit_next_due(const struct ld_edit *e)
{
	return e->due_ms;
}

enum ld_edit_result
ld_edit_result(const struct ld_edit *e)
{
	return e->result;
}

int64_t
ld_edit_revision(const struct ld_edit *e)
{
	return e->revision;
}

/* "unconfirmed" is null if no confirmation state was ever reported. */
void
ld_edit_write_answer(const struct ld_edit *e, struct ld_buf *out)
{
	bool written =
	    e->result == LD_EDIT_ACCEPTED || e->result == LD_EDIT_UNCONFIRMED;
	json_t *o = json_object();
	json_t *list = json_array();
	char *text;

	for (size_t i = 0; i < e->n_unconfirmed; i++)
		json_array_append_new(list, json_string(e->unconfirmed[i]));
	json_object_set_new(
	    o, "accepted", json_boolean(e->result == LD_EDIT_ACCEPTED));
	json_object_set_new(
	    o, "result", json_string(ld_edit_result_name(e->result)));
	json_object_set_new(o, "revision", json_integer(e->revision));
	if (written)
		json_object_set_new(o, "unconfirmed",
		    e->reported ? json_incref(list) : json_null());
	json_decref(list);
	text = json_dumps(o, JSON_COMPACT);
	ld_buf_adds(out, ld_str_c(text));
	free(text);
	json_decref(o);
}

void
ld_edit_free(struct ld_edit *e)
{
	if (e == NULL)
		return;
	free_unconfirmed(e);
	free(e->bytes);
	free(e);
}
