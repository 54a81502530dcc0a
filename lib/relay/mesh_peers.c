/* Peers, read from their entries in the store, and the choice of a delegate. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh_internal.h"

/* A listed node is taken for alive for this long before its first datagram, ms:
 * it first waits for a configuration and for its own list of peers. */
#define FIRST_DATAGRAM_MS 5000

/* How much more often nodes of the own failure domain are chosen to help, as
 * bytes between domains have a price. */
#define SAME_DOMAIN_WEIGHT 3

/* Digits of a share of some thousand cores. */
#define PERMILLE_DIGITS_MAX 7

/* Removes the part before the next space from @text, and returns it. */
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

static bool
parse_permille(struct ld_str text, uint64_t *out)
{
	if (text.len == 0 || text.len > PERMILLE_DIGITS_MAX)
		return false;
	*out = 0;
	for (size_t i = 0; i < text.len; i++) {
		if (text.p[i] < '0' || text.p[i] > '9')
			return false;
		*out = *out * 10 + (uint64_t)(text.p[i] - '0');
	}
	return true;
}

/* A name cut short may be that of another node. */
static bool
is_valid_name(struct ld_str name)
{
	return name.len > 0 && name.len < sizeof(((struct peer *)0)->name) &&
	    memchr(name.p, '\0', name.len) == NULL;
}

/* "ADDRESS PERMILLE DOMAIN" */
static bool
parse_entry(const struct relay *r, struct ld_str text, struct peer *out)
{
	struct ld_str address = next_word(&text), permille = next_word(&text);
	struct ld_address a;

	if (!parse_permille(permille, &out->processor_permille) ||
	    ld_address_parse(address, &a) != LD_OK)
		return false;
	out->domain = agg_domain(text);
	out->address = (struct sockaddr_in){.sin_family = AF_INET};
	out->address.sin_port = htons(a.port);
	inet_pton(AF_INET, a.host, &out->address.sin_addr);
	ld_address_fini(&a);
	return true;
}

void
mesh_peer_put(struct relay *r, struct ld_str name, struct ld_str value)
{
	struct load_aggregation *a = &r->mesh->aggregation;
	struct peer entry;
	char text[LD_EVENT_TOKEN_BYTES];
	struct peer *p;

	if (ld_str_eq(name, ld_str_c(r->settings->name))) {
		r->replaces_process |= r->mesh->entry.lease == 0;
		return;
	}
	if (!is_valid_name(name) || !parse_entry(r, value, &entry)) {
		ld_event("peer.refused",
		    "peer=%s why=\"invalid name, address or core share\"",
		    ld_event_token(name, text));
		return;
	}
	p = agg_peer_add(a, name, relay_now(r));
	if (p == NULL) {
		ld_event("peer.refused", "peer=%s why=\"too many nodes\"",
		    ld_event_token(name, text));
		return;
	}
	p->address = entry.address;
	p->processor_permille = entry.processor_permille;
	p->domain = entry.domain;
	ld_event("peer.listed",
	    "peer=%s peers=%zu processor_permille=%llu same_domain=%d",
	    ld_event_token(name, text), a->peer_count,
	    (unsigned long long)p->processor_permille, p->domain == a->domain);
}

static void
drop_peer(struct relay *r, struct peer *p)
{
	struct load_aggregation *a = &r->mesh->aggregation;
	char text[LD_EVENT_TOKEN_BYTES];

	ld_event("peer.gone", "peer=%s peers=%zu",
	    ld_event_token(ld_str_c(p->name), text), a->peer_count - 1);
	agg_peer_drop(a, p);
}

void
mesh_peer_deleted(struct relay *r, struct ld_str name)
{
	struct peer *p = agg_peer_find(&r->mesh->aggregation, name);

	if (p != NULL)
		drop_peer(r, p);
}

void
mesh_snapshot_begin(struct relay *r)
{
	struct load_aggregation *a = &r->mesh->aggregation;

	for (size_t i = 0; i < a->peer_count; i++)
		a->peers[i].listed = false;
}

void
mesh_drop_unlisted(struct relay *r)
{
	struct load_aggregation *a = &r->mesh->aggregation;
	uint64_t now = relay_now(r);

	/* A peer that still sends datagrams has lost its entry in an outage,
	 * and writes it again. */
	for (size_t i = a->peer_count; i-- > 0;)
		if (!a->peers[i].listed && !agg_is_alive(a, &a->peers[i], now))
			drop_peer(r, &a->peers[i]);
}

bool
mesh_has_larger_node(const struct relay *r)
{
	const struct load_aggregation *a = &r->mesh->aggregation;
	uint64_t now = relay_now(r);

	for (size_t i = 0; i < a->peer_count; i++) {
		const struct peer *p = &a->peers[i];

		if (p->processor_permille > a->processor_permille &&
		    (agg_is_alive(a, p, now) ||
			now < p->listed_ms + FIRST_DATAGRAM_MS))
			return true;
	}
	return false;
}

static void
set_address(const struct peer *p, struct mesh_delegate *out)
{
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &p->address.sin_addr, host, sizeof(host));
	snprintf(out->name, sizeof(out->name), "%s", p->name);
	snprintf(out->address, sizeof(out->address), "%s:%u", host,
	    ntohs(p->address.sin_port));
}

/* ---- Choice of the delegate ---- */

/* A node that does not aggregate follows its aggregator. An aggregator follows
 * the leader, which watches the store in any case; without a leader it
 * watches the store itself, or follows a source if it can't. */
static struct peer *
find_delegate(const struct relay *r, bool *holds_control)
{
	const struct load_aggregation *a = &r->mesh->aggregation;
	uint64_t now = relay_now(r);
	struct peer *p = agg_current_aggregator(a, now);

	*holds_control = false;
	if (p != NULL)
		return agg_is_alive(a, p, now) && p->can_delegate ? p : NULL;
	p = agg_peer_find(a, feed_control_holder(r));
	*holds_control = p != NULL;
	if (p == NULL && !feed_can_delegate(r))
		p = agg_best_delegate(a, now);
	return p;
}

bool
mesh_has_aggregator(const struct relay *r)
{
	return agg_current_aggregator(&r->mesh->aggregation, relay_now(r)) !=
	    NULL;
}

bool
mesh_find_delegate(const struct relay *r, struct mesh_delegate *out)
{
	uint64_t now = relay_now(r);
	struct peer *p = find_delegate(r, &out->holds_control);

	/* The next best node follows the excluded one, so it can't be used
	 * either. */
	if (p == NULL || now < p->excluded_until_ms)
		return false;
	set_address(p, out);
	return true;
}

void
mesh_exclude_delegate(struct relay *r, const char *name, uint64_t until_ms)
{
	struct peer *p = agg_peer_find(&r->mesh->aggregation, ld_str_c(name));

	if (p != NULL)
		p->excluded_until_ms = until_ms;
}

/* ---- Choice of a node that forwarded requests go to ---- */

/* With aggregators a node doesn't hear most others, so any may be tried. */
static bool
may_help(const struct load_aggregation *a, const struct peer *p, uint64_t now)
{
	return p->listed && now >= p->no_help_until_ms &&
	    (a->peer_count + 1 >= a->from_nodes || agg_is_alive(a, p, now));
}

/* Larger nodes and those of this failure domain help more. */
static uint64_t
help_weight(const struct load_aggregation *a, const struct peer *p)
{
	return (p->processor_permille + 1) *
	    (p->domain == a->domain ? SAME_DOMAIN_WEIGHT : 1);
}

bool
mesh_find_helper(struct relay *r, struct mesh_delegate *out)
{
	const struct load_aggregation *a = &r->mesh->aggregation;
	uint64_t now = relay_now(r), sum = 0;
	const struct peer *p = NULL;

	for (size_t i = 0; i < a->peer_count; i++) {
		uint64_t weight = help_weight(a, &a->peers[i]);

		if (!may_help(a, &a->peers[i], now))
			continue;
		sum += weight;
		if (ld_rand_below(&r->rand, sum) < weight)
			p = &a->peers[i];
	}
	if (p == NULL)
		return false;
	set_address(p, out);
	return true;
}

void
mesh_exclude_helper(struct relay *r, const char *name, uint64_t until_ms)
{
	struct peer *p = agg_peer_find(&r->mesh->aggregation, ld_str_c(name));

	if (p != NULL)
		p->no_help_until_ms = until_ms;
}

bool
mesh_is_node_address(const struct relay *r, struct in_addr address)
{
	const struct load_aggregation *a = &r->mesh->aggregation;

	for (size_t i = 0; i < a->peer_count; i++)
		if (a->peers[i].address.sin_addr.s_addr == address.s_addr)
			return true;
	return false;
}

size_t
mesh_node_count(const struct relay *r)
{
	return r->mesh->aggregation.peer_count + 1;
}
