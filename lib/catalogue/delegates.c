/* Picks the few nodes that watch the store, by rendezvous hash. */
#include <stdlib.h>

#include "fresh_internal.h"

#define DELEGATE_HASH_SEED 0x64656c6567617465ULL

struct ranked {
	uint64_t hash;
	const struct ld_fresh_node *node;
	bool picked;
};

static int
compare_ranks(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	return x->hash < y->hash ? 1 : x->hash > y->hash ? -1 : 0;
}

static bool
domain_is_picked(const struct ranked *r, size_t n, struct ld_str domain)
{
	for (size_t i = 0; i < n; i++) {
		if (r[i].picked && ld_str_eq(r[i].node->domain, domain))
			return true;
	}
	return false;
}

static size_t
pick(struct ranked *r, size_t n, size_t k, bool one_of_each_domain)
{
	size_t picked = 0;

	for (size_t i = 0; i < n && picked < k; i++) {
		if (r[i].picked ||
		    (one_of_each_domain &&
			domain_is_picked(r, i, r[i].node->domain)))
			continue;
		r[i].picked = true;
		picked++;
	}
	return picked;
}

bool
fresh_is_delegate(
    const struct ld_fresh_node *nodes, size_t n, size_t k, struct ld_str self)
{
	struct ranked *r = ld_alloc(n * sizeof(*r));
	bool found = false;
	size_t picked;

	for (size_t i = 0; i < n; i++) {
		r[i].hash = ld_hash64(nodes[i].id, DELEGATE_HASH_SEED);
		r[i].node = &nodes[i];
	}
	if (n > 0)
		qsort(r, n, sizeof(*r), compare_ranks);
	picked = pick(r, n, k, true);
	pick(r, n, k - picked, false);
	for (size_t i = 0; i < n; i++)
		found |= r[i].picked && ld_str_eq(r[i].node->id, self);
	free(r);
	return found;
}
