/* Encoding of store changes in messages between nodes, as msgpack. */
#ifndef CHANGES_CODEC_H
#define CHANGES_CODEC_H

#include "ld_store_codec.h"

/** Most changes in one message. */
#define CHANGES_MAX 8192

/**
 * changes_encode_header() - start a message; @n changes must follow
 * @after, @revision: as in struct ld_store_changes
 * @age_ms: how long ago the store was known to have no further change
 */
void changes_encode_header(int64_t after, int64_t revision, uint64_t age_ms,
    size_t n, struct ld_buf *out);
/** changes_encode_change() - append one change */
void changes_encode_change(const struct ld_store_event *e, struct ld_buf *out);

/**
 * struct changes_message - a decoded message; free @list also after an error
 */
struct changes_message {
	int64_t after;
	int64_t revision;
	uint64_t age_ms;
	struct ld_store_decoded list; /* only its events are set */
};

/** changes_decode() - false when the bytes are no valid message */
bool changes_decode(struct ld_str bytes, struct changes_message *out);

#endif
