/* Which node of a failure domain watches the store for the others. */
#ifndef FOLLOW_CHOICE_H
#define FOLLOW_CHOICE_H

#include "ld_common.h"

/**
 * struct follow_node - a node of this one's failure domain
 * @processor_permille: its part of a core
 * @usable: it was heard a moment ago, and says that it can watch the store
 */
struct follow_node {
	const char *name;
	uint64_t processor_permille;
	bool usable;
};

/**
 * follow_choose() - the node whose watch the others of its domain follow
 *
 * Answers the load of many nodes on the store, at a price for each call: the
 * usable node with the largest processor watches, of equals the one whose name
 * comes first. Nodes that see each other choose the same one, and that one
 * chooses itself. Where they don't, a node that is asked says that it does not
 * watch, and the one that asks watches for itself.
 *
 * Return: its index, or @n when none is usable.
 */
size_t follow_choose(const struct follow_node *nodes, size_t n);

#endif
