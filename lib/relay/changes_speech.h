/* What one node tells another of the store's changes, in msgpack. */
#ifndef CHANGES_SPEECH_H
#define CHANGES_SPEECH_H

#include "ld_store_codec.h"

/** Changes in one message, at most. */
#define CHANGES_MAX 8192

/**
 * changes_write_head() - start a message; @n changes must follow
 * @after, @revision: as in struct ld_store_changes
 * @age_ms: how long ago the store had made no other change
 */
void changes_write_head(int64_t after, int64_t revision, uint64_t age_ms,
    size_t n, struct ld_buf *out);
/** changes_write_one() - append one change */
void changes_write_one(const struct ld_store_event *e, struct ld_buf *out);

/** struct changes_message - a message that was read; free @list either way */
struct changes_message {
	int64_t after;
	int64_t revision;
	uint64_t age_ms;
	struct ld_store_decoded list; /* its events alone are set */
};

/** changes_read() - false when the bytes are no such message */
bool changes_read(struct ld_str bytes, struct changes_message *out);

#endif
