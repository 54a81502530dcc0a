/* Catalogue snapshot, shared by the parser, the lookups and the diff. */
#ifndef CATALOGUE_INTERNAL_H
#define CATALOGUE_INTERNAL_H

#include "ld_catalogue.h"

struct ld_catalogue {
	size_t refs;
	int64_t revision;
	size_t n;
	struct ld_entry *entries; /* document order */
	const struct ld_entry **by_owner; /* sorted by owner */
};

extern const char *const catalogue_class_names[LD_CLASS_COUNT];

/** catalogue_index() - build by_owner; all entries must be complete */
void catalogue_index(struct ld_catalogue *c);

#endif
