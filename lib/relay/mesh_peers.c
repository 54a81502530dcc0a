/* Peers, from their entries in the store, and which of them is the delegate. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "follow_choice.h"
#include "mesh_internal.h"

#define PEERS_MAX 512
/* A node that is listed is taken to live for so long before it is heard, ms:
 * it waits for a configuration and for its own list of peers. */
#define FIRST_HEARD_MS 5000

static struct peer *
find_peer(struct mesh *m, struct ld_str name)
{
	for (size_t i = 0; i < m->peer_count; i++)
		if (ld_str_eq(ld_str_c(m->peers[i].name), name))
			return &m->peers[i];
	return NULL;
}

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
	out->same_domain =
	    ld_str_eq(text, ld_str_c(r->settings->failure_domain));
	out->at = (struct sockaddr_in){.sin_family = AF_INET};
	out->at.sin_port = htons(a.port);
	inet_pton(AF_INET, a.host, &out->at.sin_addr);
	ld_address_fini(&a);
	return true;
}

void
mesh_listed(struct relay *r, struct ld_str name, struct ld_str value)
{
	struct mesh *m = r->mesh;
	struct peer entry;
	char text[LD_EVENT_TOKEN_BYTES];
	struct peer *p = find_peer(m, name);

	if (ld_str_eq(name, ld_str_c(r->settings->name)))
		return;
	if (!parse_entry(r, value, &entry)) {
		ld_event("peer.refused", "peer=%s why=\"no address or share\"",
		    ld_event_token(name, text));
		return;
	}
	if (p == NULL && m->peer_count < PEERS_MAX) {
		m->peers = ld_realloc(
		    m->peers, (m->peer_count + 1) * sizeof(*m->peers));
		p = &m->peers[m->peer_count++];
		memset(p, 0, sizeof(*p));
		snprintf(p->name, sizeof(p->name), "%.*s", LD_FMT(name));
	}
	if (p == NULL)
		return;
	p->at = entry.at;
	p->processor_permille = entry.processor_permille;
	p->same_domain = entry.same_domain;
	p->told = 0;
	p->listed = true;
	p->listed_ms = relay_now(r);
	ld_event("peer.listed",
	    "peer=%s peers=%zu processor_permille=%llu same_domain=%d",
	    ld_event_token(name, text), m->peer_count,
	    (unsigned long long)p->processor_permille, p->same_domain);
}

static void
drop(struct relay *r, struct peer *p)
{
	struct mesh *m = r->mesh;
	char text[LD_EVENT_TOKEN_BYTES];

	mesh_forget_loads(r, p);
	ld_event("peer.gone", "peer=%s peers=%zu",
	    ld_event_token(ld_str_c(p->name), text), m->peer_count - 1);
	*p = m->peers[--m->peer_count];
}

void
mesh_unlisted(struct relay *r, struct ld_str name)
{
	struct peer *p = find_peer(r->mesh, name);

	if (p != NULL)
		drop(r, p);
}

void
mesh_read_anew(struct relay *r)
{
	for (size_t i = 0; i < r->mesh->peer_count; i++)
		r->mesh->peers[i].listed = false;
}

void
mesh_drop_unlisted(struct relay *r)
{
	struct mesh *m = r->mesh;
	uint64_t now = relay_now(r);

	/* One that still tells something has lost its entry in an outage, and
	 * writes it again. */
	for (size_t i = m->peer_count; i-- > 0;)
		if (!m->peers[i].listed && !mesh_is_heard(m, &m->peers[i], now))
			drop(r, &m->peers[i]);
}

bool
mesh_has_larger(const struct relay *r)
{
	const struct mesh *m = r->mesh;
	uint64_t now = relay_now(r);

	for (size_t i = 0; i < m->peer_count; i++) {
		const struct peer *p = &m->peers[i];

		if (p->processor_permille > r->settings->processor_permille &&
		    (mesh_is_heard(m, p, now) ||
			now < p->listed_ms + FIRST_HEARD_MS))
			return true;
	}
	return false;
}

/* ---- The peer whose watch is followed ---- */

bool
mesh_find_delegate(const struct relay *r, struct mesh_delegate *out)
{
	const struct mesh *m = r->mesh;
	uint64_t now = relay_now(r);
	struct follow_node *nodes =
	    ld_alloc((m->peer_count + 1) * sizeof(*nodes));
	char host[INET_ADDRSTRLEN];
	const struct peer *p;
	size_t best;

	for (size_t i = 0; i < m->peer_count; i++) {
		p = &m->peers[i];
		nodes[i] = (struct follow_node){p->name, p->processor_permille,
		    p->same_domain && p->can_watch && mesh_is_heard(m, p, now)};
	}
	nodes[m->peer_count] = (struct follow_node){r->settings->name,
	    r->settings->processor_permille, feed_can_watch(r)};
	best = follow_choose(nodes, m->peer_count + 1);
	free(nodes);
	if (best >= m->peer_count)
		return false;
	p = &m->peers[best];
	/* The next best follows the same node: it is no delegate either. */
	if (now < p->avoid_until_ms)
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
	struct peer *p = find_peer(r->mesh, ld_str_c(name));

	if (p != NULL)
		p->avoid_until_ms = until_ms;
}

size_t
mesh_nodes(const struct relay *r)
{
	return r->mesh->peer_count + 1;
}
