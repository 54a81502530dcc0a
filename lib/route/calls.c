/* Tracks open calls and queues those to be resumed on another replica. */
#include <stdlib.h>

#include "route_internal.h"

static size_t
bucket(uint64_t call)
{
	/* Call numbers are mostly consecutive, so the low bits spread well. */
	return call & (ROUTE_BUCKETS - 1);
}

void
ld_route_started(struct ld_route *r, uint64_t now_ms, struct ld_str replica,
    uint64_t epoch, uint64_t call)
{
	struct replica *p = ld_route_find_replica(r, replica);
	struct call *c;

	ld_route_finished(r, now_ms, call);
	if (p == NULL || p->epoch != epoch) {
		/* The replica changed after it was chosen for the call. */
		struct queued_action *q = ld_alloc(sizeof(*q));

		q->call = call;
		q->replica = ld_str_dup(replica);
		*r->tail = q;
		r->tail = &q->next;
		return;
	}
	c = ld_alloc(sizeof(*c));
	c->id = call;
	c->replica = p;
	c->started_ms = now_ms;
	c->next = r->calls[bucket(call)];
	r->calls[bucket(call)] = c;
	c->next_in_replica = p->calls;
	if (p->calls != NULL)
		p->calls->prev_in_replica = c;
	p->calls = c;
	p->unreported_calls++;
}

static void
unlink_from_replica(struct call *c)
{
	struct replica *p = c->replica;

	if (c->prev_in_replica != NULL)
		c->prev_in_replica->next_in_replica = c->next_in_replica;
	else
		p->calls = c->next_in_replica;
	if (c->next_in_replica != NULL)
		c->next_in_replica->prev_in_replica = c->prev_in_replica;
	if (c->started_ms > p->load_at_ms && p->unreported_calls > 0)
		p->unreported_calls--;
}

void
ld_route_finished(struct ld_route *r, uint64_t now_ms, uint64_t call)
{
	struct call **at = &r->calls[bucket(call)];
	struct call *c;

	while (*at != NULL && (*at)->id != call)
		at = &(*at)->next;
	c = *at;
	if (c == NULL)
		return;
	*at = c->next;
	unlink_from_replica(c);
	if (c->replica->removed && c->replica->calls == NULL)
		ld_route_free_removed(r);
	free(c);
}

static void
queue_resume(struct ld_route *r, struct call *c)
{
	struct queued_action *q;

	if (c->resume_queued)
		return;
	c->resume_queued = true;
	q = ld_alloc(sizeof(*q));
	q->call = c->id;
	q->replica = ld_strdup(c->replica->id);
	*r->tail = q;
	r->tail = &q->next;
}

void
ld_route_tick(struct ld_route *r, uint64_t now_ms)
{
	struct replica *p;
	struct call *c;

	for (p = r->replicas; p != NULL; p = p->next) {
		if (p->calls == NULL || ld_route_replica_fit(p, now_ms))
			continue;
		for (c = p->calls; c != NULL; c = c->next_in_replica)
			queue_resume(r, c);
	}
	ld_route_free_removed(r);
}

static void
queued_action_free(struct queued_action *q)
{
	if (q == NULL)
		return;
	free(q->replica);
	free(q);
}

bool
ld_route_next_action(struct ld_route *r, struct ld_route_action *out)
{
	struct queued_action *q = r->head;

	queued_action_free(r->last_action);
	r->last_action = q;
	if (q == NULL)
		return false;
	r->head = q->next;
	if (r->head == NULL)
		r->tail = &r->head;
	out->call = q->call;
	out->replica = ld_str_c(q->replica);
	return true;
}

void
ld_route_calls_free(struct ld_route *r)
{
	struct ld_route_action ignored;
	struct call *c;

	for (size_t b = 0; b < ROUTE_BUCKETS; b++) {
		while ((c = r->calls[b]) != NULL) {
			r->calls[b] = c->next;
			free(c);
		}
	}
	while (ld_route_next_action(r, &ignored))
		;
}
