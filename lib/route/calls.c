/* Calls in progress, and those that must be resumed on another replica. */
#include <stdlib.h>

#include "route_internal.h"

static size_t
bucket(uint64_t call)
{
	/* Call numbers are often consecutive: the low bits spread them. */
	return call & (ROUTE_BUCKETS - 1);
}

void
ld_route_started(struct ld_route *r, uint64_t now_ms, struct ld_str replica,
    uint64_t epoch, uint64_t call)
{
	struct replica *p = ld_route_find(r, replica);
	struct call *c;

	ld_route_finished(r, now_ms, call);
	if (p == NULL || p->epoch != epoch) {
		/* It changed between the choice and the start. */
		struct queued *q = ld_alloc(sizeof(*q));

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
	c->next_of = p->calls;
	if (p->calls != NULL)
		p->calls->prev_of = c;
	p->calls = c;
	p->own_since++;
}

static void
unlink_of(struct call *c)
{
	struct replica *p = c->replica;

	if (c->prev_of != NULL)
		c->prev_of->next_of = c->next_of;
	else
		p->calls = c->next_of;
	if (c->next_of != NULL)
		c->next_of->prev_of = c->prev_of;
	if (c->started_ms > p->load_at_ms && p->own_since > 0)
		p->own_since--;
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
	unlink_of(c);
	if (c->replica->gone && c->replica->calls == NULL)
		ld_route_drop_empty(r);
	free(c);
}

static void
tell(struct ld_route *r, struct call *c)
{
	struct queued *q;

	if (c->told)
		return;
	c->told = true;
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
		for (c = p->calls; c != NULL; c = c->next_of)
			tell(r, c);
	}
	ld_route_drop_empty(r);
}

static void
queued_free(struct queued *q)
{
	if (q == NULL)
		return;
	free(q->replica);
	free(q);
}

bool
ld_route_next(struct ld_route *r, struct ld_route_action *out)
{
	struct queued *q = r->head;

	queued_free(r->taken);
	r->taken = q;
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
	while (ld_route_next(r, &ignored))
		;
}
