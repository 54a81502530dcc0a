/* What peers have told of their requests at servers. */
#include "mesh_internal.h"

/* A count that grows by more between two datagrams is an error of the peer, in
 * tokens: some hundred long prompts. */
#define TOKENS_AT_ONCE_MAX 400000

/* An age that is told late makes the byte look newer, never older: a group is
 * taken for silent later, not for nothing. */
static void
note_peer_heard(struct ld_server *s, const struct mesh_load *l, uint64_t now)
{
	uint64_t at = now > l->heard_ago_ms ? now - l->heard_ago_ms : 0;

	if (l->heard_ago_ms < MESH_AGO_MAX_MS && at > s->peer_heard_ms)
		s->peer_heard_ms = at;
}

/* Counts what a peer has told, and takes it back before it tells anew. */
static void
count_told(struct relay *r, const struct peer *p, bool add)
{
	for (size_t i = 0; i < p->load_count; i++) {
		const struct mesh_load *l = &p->loads[i];
		struct ld_server *s =
		    ld_servers_find_hash(r->servers, l->server);

		if (s == NULL)
			continue;
		/* A server that was forgotten meanwhile starts at none. */
		if (add) {
			note_peer_heard(s, l, p->heard_ms);
			s->peer_active += l->active;
		} else {
			s->peer_active -= l->active < s->peer_active
			    ? l->active
			    : s->peer_active;
		}
	}
}

/* The place of the count of a server, made at need. */
static struct total *
total_of(struct peer *p, uint32_t server, bool *is_new)
{
	struct total *t;

	*is_new = false;
	for (size_t i = 0; i < p->total_count; i++)
		if (p->totals[i].server == server)
			return &p->totals[i];
	*is_new = true;
	if (p->total_count < TOTALS_MAX)
		t = &p->totals[p->total_count++];
	else
		t = &p->totals[p->total_next++ % TOTALS_MAX];
	*t = (struct total){.server = server};
	return t;
}

/* Prompts that a peer has sent since its last datagram count as read after
 * those that are known. */
static void
note_prompts(struct relay *r, struct peer *p, const struct mesh_load *l)
{
	struct ld_server *s = ld_servers_find_hash(r->servers, l->server);
	bool is_new;
	struct total *t = total_of(p, l->server, &is_new);
	uint32_t more = l->sent_tokens - t->tokens;

	t->tokens = l->sent_tokens;
	/* The first count that is told may be old; a peer that has started
	 * again counts from zero, which looks like a very large step. */
	if (s == NULL || is_new || more == 0 || more > TOKENS_AT_ONCE_MAX ||
	    r->routes == NULL)
		return;
	ld_dispatch_prompt_sent(
	    ld_routes_service(r->routes, ld_str_c(s->entry.service)), s, more,
	    relay_now(r));
}

void
mesh_forget_loads(struct relay *r, struct peer *p)
{
	count_told(r, p, false);
	p->load_count = 0;
}

void
mesh_take_loads(struct relay *r, struct peer *p, const struct mesh_datagram *d)
{
	mesh_forget_loads(r, p);
	memcpy(p->loads, d->loads, d->load_count * sizeof(p->loads[0]));
	p->load_count = d->load_count;
	count_told(r, p, true);
	for (size_t i = 0; i < d->load_count; i++)
		note_prompts(r, p, &d->loads[i]);
}
