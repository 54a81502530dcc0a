/* Queue of actions; each owns the memory that its views point into. */
#include <stdlib.h>
#include <string.h>

#include "peers_internal.h"

static struct queued_action *
push_action(struct ld_peers *p, enum ld_peers_action_kind kind)
{
	struct queued_action *q = ld_alloc(sizeof(*q));

	q->action.kind = kind;
	*p->action_tail = q;
	p->action_tail = &q->next;
	return q;
}

/* Copies the strings of @views into one block owned by @q. */
static void
copy_views(struct queued_action *q, struct ld_str *const *views, size_t n)
{
	size_t total = 0;
	char *at;

	for (size_t i = 0; i < n; i++)
		total += views[i]->len;
	q->storage = ld_alloc(total);
	at = q->storage;
	for (size_t i = 0; i < n; i++) {
		if (views[i]->len > 0)
			memcpy(at, views[i]->p, views[i]->len);
		views[i]->p = at;
		at += views[i]->len;
	}
}

void
act_dial(struct ld_peers *p, struct link *l)
{
	struct queued_action *q = push_action(p, LD_PEERS_DIAL);
	struct ld_str *views[] = {&q->action.address};

	q->action.link = l->id;
	q->action.address = ld_str_c(l->address);
	copy_views(q, views, 1);
}

void
act_send_payload(
    struct ld_peers *p, const struct link *l, struct ld_buf *payload)
{
	struct queued_action *q = push_action(p, LD_PEERS_SEND);

	q->action.link = l->id;
	q->action.bytes = ld_buf_str(payload);
	q->storage = payload->p;
	*payload = (struct ld_buf){0};
}

void
act_send(struct ld_peers *p, const struct link *l, const struct ld_wire_msg *m)
{
	struct ld_buf payload = {0};

	ld_wire_encode(m, &payload);
	act_send_payload(p, l, &payload);
}

void
act_close(struct ld_peers *p, uint32_t link)
{
	push_action(p, LD_PEERS_CLOSE)->action.link = link;
}

struct ld_peers_member
member_view(const struct ld_peers *p, const struct member *m)
{
	return (struct ld_peers_member){
	    .address = ld_str_c(m->address),
	    .domain = ld_str_c(m->domain),
	    .region = ld_str_c(m->region),
	    .incarnation = m->incarnation,
	    .generation = m->generation,
	    .state = m->state,
	    .since_ms = m->since_ms,
	    .self = m == p->self,
	};
}

struct ld_peers_record
record_view(const struct record *r)
{
	return (struct ld_peers_record){
	    .origin = ld_str_c(r->origin->address),
	    .origin_incarnation = r->origin->incarnation,
	    .kind = r->kind,
	    .key = {r->key, r->key_len},
	    .value = ld_buf_str(&r->value),
	    .seq = r->seq,
	    .received_ms = r->received_ms,
	};
}

void
act_member(struct ld_peers *p, const struct member *m, bool removed)
{
	struct queued_action *q = push_action(p, LD_PEERS_MEMBER);
	struct ld_peers_member *view = &q->action.member;
	struct ld_str *views[] = {&view->address, &view->domain, &view->region};

	*view = member_view(p, m);
	q->action.removed = removed;
	copy_views(q, views, 3);
}

void
act_record(struct ld_peers *p, const struct record *r)
{
	struct queued_action *q = push_action(p, LD_PEERS_RECORD);
	struct ld_peers_record *view = &q->action.record;
	struct ld_str *views[] = {&view->origin, &view->key, &view->value};

	*view = record_view(r);
	copy_views(q, views, 3);
}

void
act_catalogue(struct ld_peers *p)
{
	struct queued_action *q = push_action(p, LD_PEERS_CATALOGUE);
	struct ld_str *views[] = {&q->action.bytes};

	q->action.revision = p->revision;
	q->action.bytes = ld_buf_str(&p->catalogue);
	copy_views(q, views, 1);
}

void
act_direct(struct ld_peers *p, const struct ld_wire_direct *d)
{
	struct queued_action *q = push_action(p, LD_PEERS_DIRECT);
	struct ld_str *views[] = {&q->action.address, &q->action.bytes};

	q->action.address = d->from;
	q->action.incarnation = d->from_incarnation;
	q->action.direct_kind = d->kind;
	q->action.bytes = d->bytes;
	copy_views(q, views, 2);
}

bool
ld_peers_has_action(const struct ld_peers *p)
{
	return p->action_head != NULL;
}

static void
queued_action_free(struct queued_action *q)
{
	if (q == NULL)
		return;
	free(q->storage);
	free(q);
}

bool
ld_peers_next_action(struct ld_peers *p, struct ld_peers_action *a)
{
	struct queued_action *q = p->action_head;

	queued_action_free(p->current_action);
	p->current_action = q;
	if (q == NULL)
		return false;
	p->action_head = q->next;
	if (p->action_head == NULL)
		p->action_tail = &p->action_head;
	*a = q->action;
	return true;
}

void
actions_free(struct ld_peers *p)
{
	struct ld_peers_action a;

	while (ld_peers_next_action(p, &a))
		continue;
}
