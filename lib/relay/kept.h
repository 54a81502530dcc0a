/* Changes of the store that a watch told, kept for peers that ask for them. */
#ifndef KEPT_H
#define KEPT_H

#include "ld_store.h"

struct kept_change;

/**
 * struct kept - the newest changes, without a gap
 * @after: whoever knows all changes up to this revision may be told the rest
 * @revision: all changes up to it are known
 */
struct kept {
	struct kept_change *first;
	struct kept_change *last;
	size_t count;
	size_t bytes;
	int64_t after;
	int64_t revision;
};

/** kept_reset() - forget all; changes that follow come after @revision */
void kept_reset(struct kept *h, int64_t revision);
/** kept_add() - one answer of the watch; with a gap it starts anew */
void kept_add(struct kept *h, const struct ld_store_changes *c);
/** kept_lacks() - whether some change after @revision is not kept any more */
bool kept_lacks(const struct kept *k, int64_t revision);
/** kept_has_newer() - whether a change after @revision is kept */
bool kept_has_newer(const struct kept *k, int64_t revision);
/**
 * kept_write() - append a message with all changes after @revision
 * @age_ms: how long ago the store had made no other change
 */
void kept_write(const struct kept *k, int64_t revision, uint64_t age_ms,
    struct ld_buf *out);
void kept_free(struct kept *h);

#endif
