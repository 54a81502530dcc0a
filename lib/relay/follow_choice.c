/* See follow_choice.h. */
#include <string.h>

#include "follow_choice.h"

static bool
comes_before(const struct follow_node *a, const struct follow_node *b)
{
	if (a->processor_permille != b->processor_permille)
		return a->processor_permille > b->processor_permille;
	return strcmp(a->name, b->name) < 0;
}

size_t
follow_choose(const struct follow_node *nodes, size_t n)
{
	size_t best = n;

	for (size_t i = 0; i < n; i++)
		if (nodes[i].usable &&
		    (best == n || comes_before(&nodes[i], &nodes[best])))
			best = i;
	return best;
}
