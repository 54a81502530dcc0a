/* Queues of actions, and of messages of this node to itself. */
#include <stdlib.h>

#include "admit_internal.h"

static void
append(struct queued ***tail, struct queued *q)
{
	**tail = q;
	*tail = &q->next;
}

void
ld_admit_send(struct ld_admit *a, uint64_t node, const struct message *m)
{
	struct queued *q = ld_alloc(sizeof(*q));

	ld_admit_encode(m, &q->bytes);
	q->action.type = LD_ADMIT_SEND;
	q->action.node = node;
	q->action.bytes = ld_buf_str(&q->bytes);
	if (node == a->config.node) {
		append(&a->self_tail, q);
		return;
	}
	a->stats.messages_sent++;
	a->stats.bytes_sent += q->bytes.len;
	append(&a->tail, q);
}

void
ld_admit_push_decision(struct ld_admit *a, enum ld_admit_action_type type,
    const struct ld_admit_decision *d)
{
	struct queued *q = ld_alloc(sizeof(*q));

	q->action.type = type;
	q->action.decision = *d;
	append(&a->tail, q);
}

static void
queued_free(struct queued *q)
{
	if (q == NULL)
		return;
	ld_buf_free(&q->bytes);
	free(q);
}

static struct queued *
pop(struct queued **head, struct queued ***tail)
{
	struct queued *q = *head;

	if (q == NULL)
		return NULL;
	*head = q->next;
	if (*head == NULL)
		*tail = head;
	return q;
}

void
ld_admit_deliver_self(struct ld_admit *a, uint64_t now_ms)
{
	struct queued *q;

	if (a->delivering)
		return;
	a->delivering = true;
	while ((q = pop(&a->self_head, &a->self_tail)) != NULL) {
		ld_admit_message(
		    a, now_ms, a->config.node, ld_buf_str(&q->bytes));
		queued_free(q);
	}
	a->delivering = false;
}

bool
ld_admit_next(struct ld_admit *a, struct ld_admit_action *out)
{
	queued_free(a->last_action);
	a->last_action = pop(&a->head, &a->tail);
	if (a->last_action == NULL)
		return false;
	*out = a->last_action->action;
	return true;
}

void
ld_admit_queue_free(struct ld_admit *a)
{
	struct queued *q;

	while ((q = pop(&a->head, &a->tail)) != NULL)
		queued_free(q);
	while ((q = pop(&a->self_head, &a->self_tail)) != NULL)
		queued_free(q);
	queued_free(a->last_action);
}
