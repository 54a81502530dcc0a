/* Peers, from their entries in the store, and whom the store is followed by. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh_internal.h"

/* A node that is listed is taken to live for so long before it is heard, ms:
 * it waits for a configuration and for its own list of peers. */
#define FIRST_HEARD_MS 5000

/* Takes what comes before the next space out of @text. */
static struct ld_str
next_word(struct ld_str *text)
{
	const char *space = memchr(text->p, ' ', text->len);
	struct ld_str word = *text;

	if (space != NULL)
		word.len = (size_t)(space - text->p);
	text->p += word.len + (space != NULL);
	text->len -= word.len + (space != NULL);
	return word;
}

/* "ADDRESS PERMILLE DOMAIN" */
static bool
parse_entry(const struct relay *r, struct ld_str text, struct peer *out)
{
	struct ld_str address = next_word(&text), permille = next_word(&text);
	struct ld_address a;
	char number[8];

	if (permille.len == 0 || ld_address_parse(address, &a) != LD_OK)
		return false;
	snprintf(number, sizeof(number), "%.*s", LD_FMT(permille));
	out->processor_permille = strtoull(number, NULL, 10);
	out->domain = agg_domain(text);
	out->at = (struct sockaddr_in){.sin_family = AF_INET};
	out->at.sin_port = htons(a.port);
	inet_pton(AF_INET, a.host, &out->at.sin_addr);
	ld_address_fini(&a);
	return true;
}

void
mesh_listed(struct relay *r, struct ld_str name, struct ld_str value)
{
	struct aggregate *a = &r->mesh->aggregate;
	struct peer entry;
	char text[LD_EVENT_TOKEN_BYTES];
	struct peer *p;

	if (ld_str_eq(name, ld_str_c(r->settings->name)))
		return;
	if (!parse_entry(r, value, &entry)) {
		ld_event("peer.refused", "peer=%s why=\"no address or share\"",
		    ld_event_token(name, text));
		return;
	}
	p = agg_peer_add(a, name, relay_now(r));
	if (p == NULL) {
		ld_event("peer.refused", "peer=%s why=\"too many nodes\"",
		    ld_event_token(name, text));
		return;
	}
	p->at = entry.at;
	p->processor_permille = entry.processor_permille;
	p->domain = entry.domain;
	ld_event("peer.listed",
	    "peer=%s peers=%zu processor_permille=%llu same_domain=%d",
	    ld_event_token(name, text), a->peer_count,
	    (unsigned long long)p->processor_permille, p->domain == a->domain);
}

static void
drop(struct relay *r, struct peer *p)
{
	struct aggregate *a = &r->mesh->aggregate;
	char text[LD_EVENT_TOKEN_BYTES];

	ld_event("peer.gone", "peer=%s peers=%zu",
	    ld_event_token(ld_str_c(p->name), text), a->peer_count - 1);
	agg_peer_drop(a, p);
}

void
mesh_unlisted(struct relay *r, struct ld_str name)
{
	struct peer *p = agg_peer_find(&r->mesh->aggregate, name);

	if (p != NULL)
		drop(r, p);
}

void
mesh_read_anew(struct relay *r)
{
	struct aggregate *a = &r->mesh->aggregate;

	for (size_t i = 0; i < a->peer_count; i++)
		a->peers[i].listed = false;
}

void
mesh_drop_unlisted(struct relay *r)
{
	struct aggregate *a = &r->mesh->aggregate;
	uint64_t now = relay_now(r);

	/* One that still tells something has lost its entry in an outage, and
	 * writes it again. */
	for (size_t i = a->peer_count; i-- > 0;)
		if (!a->peers[i].listed && !agg_is_heard(a, &a->peers[i], now))
			drop(r, &a->peers[i]);
}

bool
mesh_has_larger(const struct relay *r)
{
	const struct aggregate *a = &r->mesh->aggregate;
	uint64_t now = relay_now(r);

	for (size_t i = 0; i < a->peer_count; i++) {
		const struct peer *p = &a->peers[i];

		if (p->processor_permille > a->processor_permille &&
		    (agg_is_heard(a, p, now) ||
			now < p->listed_ms + FIRST_HEARD_MS))
			return true;
	}
	return false;
}

/* ---- The peer that the store is followed through ---- */

/* A node that does not aggregate asks its aggregator. An aggregator asks the
 * holder of the control lease, which watches the store in any case; without one
 * it watches for itself, or asks a source if it can't. */
static struct peer *
find_delegate(const struct relay *r, bool *holds_control)
{
	const struct aggregate *a = &r->mesh->aggregate;
	uint64_t now = relay_now(r);
	struct peer *p = agg_choice(a, now);

	*holds_control = false;
	if (p != NULL)
		return agg_is_heard(a, p, now) && p->can_watch ? p : NULL;
	p = agg_peer_find(a, feed_control_holder(r));
	*holds_control = p != NULL;
	if (p == NULL && !feed_can_watch(r))
		p = agg_best_watcher(a, now);
	return p;
}

bool
mesh_has_aggregator(const struct relay *r)
{
	return agg_choice(&r->mesh->aggregate, relay_now(r)) != NULL;
}

bool
mesh_find_delegate(const struct relay *r, struct mesh_delegate *out)
{
	uint64_t now = relay_now(r);
	struct peer *p = find_delegate(r, &out->holds_control);
	char host[INET_ADDRSTRLEN];

	/* The next best follows the same node: it is no delegate either. */
	if (p == NULL || now < p->avoid_until_ms)
		return false;
	inet_ntop(AF_INET, &p->at.sin_addr, host, sizeof(host));
	snprintf(out->name, sizeof(out->name), "%s", p->name);
	snprintf(out->address, sizeof(out->address), "%s:%u", host,
	    ntohs(p->at.sin_port));
	return true;
}

void
mesh_avoid(struct relay *r, const char *name, uint64_t until_ms)
{
	struct peer *p = agg_peer_find(&r->mesh->aggregate, ld_str_c(name));

	if (p != NULL)
		p->avoid_until_ms = until_ms;
}

size_t
mesh_nodes(const struct relay *r)
{
	return r->mesh->aggregate.peer_count + 1;
}
