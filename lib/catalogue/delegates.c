/* Selects the nodes that watch the store, by rendezvous hashing. */
#include <stdlib.h>

#include "fresh_internal.h"

#define DELEGATE_HASH_SEED 0x64656c6567617465ULL

struct candidate {
	uint64_t hash;
	const struct ld_fresh_node *node;
	bool selected;
};

static int
compare_hashes(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	return x->hash < y->hash ? 1 : x->hash > y->hash ? -1 : 0;
}

static bool
domain_is_selected(const struct candidate *r, size_t n, struct ld_str domain)
{
	for (size_t i = 0; i < n; i++) {
		if (r[i].selected && ld_str_eq(r[i].node->domain, domain))
			return true;
	}
	return false;
}

static size_t
select_top(struct candidate *r, size_t n, size_t k, bool one_per_domain)
{
	size_t selected = 0;

	for (size_t i = 0; i < n && selected < k; i++) {
		if (r[i].selected ||
		    (one_per_domain &&
			domain_is_selected(r, i, r[i].node->domain)))
			continue;
		r[i].selected = true;
		selected++;
	}
	return selected;
}

bool
fresh_is_delegate(
    const struct ld_fresh_node *nodes, size_t n, size_t k, struct ld_str self)
{
	struct candidate *r = ld_alloc(n * sizeof(*r));
	bool found = false;
	size_t selected;

	for (size_t i = 0; i < n; i++) {
		r[i].hash = ld_hash64(nodes[i].id, DELEGATE_HASH_SEED);
		r[i].node = &nodes[i];
	}
	if (n > 0)
		qsort(r, n, sizeof(*r), compare_hashes);
	selected = select_top(r, n, k, true);
	select_top(r, n, k - selected, false);
	for (size_t i = 0; i < n; i++)
		found |= r[i].selected && ld_str_eq(r[i].node->id, self);
	free(r);
	return found;
}
