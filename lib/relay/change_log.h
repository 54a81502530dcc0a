/* Log of the newest store changes that a watch received, for peers. */
#ifndef CHANGE_LOG_H
#define CHANGE_LOG_H

#include "ld_store.h"

struct logged_change;

/**
 * struct change_log - the newest changes, without a gap
 * @base_revision: a peer at this revision or later can be served from the log
 * @revision: all changes up to it were received
 */
struct change_log {
	struct logged_change *first;
	struct logged_change *last;
	size_t count;
	size_t bytes;
	int64_t base_revision;
	int64_t revision;
};

/** change_log_reset() - clear; further changes come after @revision */
void change_log_reset(struct change_log *log, int64_t revision);
/** change_log_append() - add one answer of the watch; a gap resets the log */
void change_log_append(
    struct change_log *log, const struct ld_store_changes *c);
/** change_log_is_compacted() - some change after @revision is no longer held */
bool change_log_is_compacted(const struct change_log *log, int64_t revision);
/** change_log_has_after() - a change after @revision is held */
bool change_log_has_after(const struct change_log *log, int64_t revision);
/**
 * change_log_encode() - append a message with all changes after @revision
 * @age_ms: how long ago the store was known to have no further change
 */
void change_log_encode(const struct change_log *log, int64_t revision,
    uint64_t age_ms, struct ld_buf *out);
void change_log_free(struct change_log *log);

#endif
