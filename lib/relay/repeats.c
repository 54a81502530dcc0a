/* Whether a request may be sent once more, and when it is. */
#include <stdlib.h>
#include <string.h>

#include "request_internal.h"

/* The fixed number of repeats is divided among the nodes that are listed, and
 * among so many at the least: a node that starts knows few. */
#define BUDGET_NODES_MIN 10
/* Of the repeats that its own requests allow a node uses this part: requests
 * are counted by when they came, and nodes come and go. */
#define OWN_PART_PERCENT 75
/* No group gives a first token sooner than this after a send, ms. */
#define RUN_BEGINS_MS 60
/* Sends of one request, whatever became of them. */
#define SENDS_MAX 4
/* A request leaves a silent group after so long without a byte, ms. */
#define MOVE_MS 500
/* A request that is due so soon is not sent once more, ms: a connection and an
 * answer take some round trips. */
#define LEAST_LEFT_MS 100

/* When a client may come back whose request has not run, ms: the servers that
 * refused it have ended some passes by then. */
#define RETRY_AFTER_MS 400

struct ld_repeat_budget *
request_budget(struct relay *r, const char *service)
{
	const struct ld_relay_settings *s = r->settings;
	struct service_budget *b;

	for (b = r->budgets; b != NULL; b = b->next)
		if (strcmp(b->service, service) == 0)
			return &b->budget;
	b = ld_alloc(sizeof(*b));
	b->service = ld_strdup(service);
	b->next = r->budgets;
	r->budgets = b;
	ld_repeat_init(&b->budget, s->repeat_window_ms,
	    s->repeat_permille * OWN_PART_PERCENT / 100, 0);
	return &b->budget;
}

/* This node's part of the fixed number, as there are so many nodes. */
static uint64_t
extra_repeats(const struct relay *r)
{
	uint64_t nodes = mesh_nodes(r);

	if (nodes < BUDGET_NODES_MIN)
		nodes = BUDGET_NODES_MIN;
	return r->settings->repeat_extra / nodes;
}

static bool
may_repeat(struct request *q)
{
	struct ld_repeat_budget *b;

	if (q->maybe_ran && !q->repeatable)
		return false;
	if (q->sends >= SENDS_MAX || q->runs >= q->attempts_max)
		return false;
	if (relay_now(q->relay) + LEAST_LEFT_MS >= q->end_ms)
		return false;
	b = request_budget(q->relay, q->service);
	b->extra = extra_repeats(q->relay);
	return ld_repeat_take(b, relay_now(q->relay));
}

/*
 * The send gave no answer and may have run. For the number of servers that may
 * run a request only those count that may have begun: a group begins with the
 * first token, which takes it longer than RUN_BEGINS_MS.
 */
void
request_note_maybe_ran(struct request *q)
{
	q->maybe_ran = true;
	if (q->model[0] == '\0' || q->heard_ms > 0 ||
	    relay_now(q->relay) - q->sent_ms >= RUN_BEGINS_MS)
		q->runs++;
}

/* The server answered: whatever it says, it ran the request. */
void
request_note_ran(struct request *q)
{
	q->maybe_ran = true;
	q->runs++;
}

bool
request_repeat(struct request *q, const char *why)
{
	if (!may_repeat(q))
		return false;
	request_note_failed(q, why, "repeat");
	relay_count(
	    q->relay, q->begun ? LD_M_RELAY_RESUMED : LD_M_RELAY_REPEATS);
	request_cancel_send(q);
	request_send(q);
	return true;
}

void
request_try_again(struct request *q, const char *why)
{
	if (request_repeat(q, why))
		return;
	request_note_failed(q, why, "give-up");
	request_fail(q, why, RETRY_AFTER_MS);
}

/* Moves requests away from a group that stands still. */
void
request_leave_silent(struct request *q, uint64_t now)
{
	uint64_t since = q->heard_ms > 0 ? q->heard_ms : q->sent_ms;

	if (q->server == NULL || !q->server->silent || !q->repeatable ||
	    now < since + MOVE_MS || q->runs + 1 >= q->attempts_max)
		return;
	request_note_maybe_ran(q);
	request_try_again(q, "group-silent");
}

void
request_budgets_free(struct relay *r)
{
	while (r->budgets != NULL) {
		struct service_budget *b = r->budgets;

		r->budgets = b->next;
		free(b->service);
		free(b);
	}
}
