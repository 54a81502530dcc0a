/* What the messages between relays share: bounded reading of msgpack. */
#ifndef SPEECH_H
#define SPEECH_H

#include <msgpack.h>

#include "ld_common.h"

/** speech_append() - writes for msgpack_packer_init() into a struct ld_buf */
int speech_append(void *out, const char *bytes, size_t n);
/** speech_uint() - a whole number up to @max */
bool speech_uint(const msgpack_object *o, uint64_t max, uint64_t *out);
/** speech_array() - an array of at most @max, or of exactly @max with @exact */
const msgpack_object *speech_array(
    const msgpack_object *o, size_t max, bool exact, size_t *n);
/**
 * speech_unpack() - unpack bytes that hold exactly one document
 *
 * Return: true with @msg to be destroyed; false with nothing to free.
 */
bool speech_unpack(struct ld_str bytes, msgpack_unpacked *msg);

#endif
