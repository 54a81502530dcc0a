/* Msgpack helpers of the messages between relays: bounded decoding. */
#ifndef MSGPACK_BOUNDED_H
#define MSGPACK_BOUNDED_H

#include <msgpack.h>

#include "ld_common.h"

/**
 * mp_append() - write callback for msgpack_packer_init(), to a struct ld_buf
 */
int mp_append(void *out, const char *bytes, size_t n);
/** mp_uint() - read an unsigned integer up to @max */
bool mp_uint(const msgpack_object *o, uint64_t max, uint64_t *out);
/**
 * mp_fields() - read an array of at least @min fields; what a later version
 * adds behind them is skipped
 */
const msgpack_object *mp_fields(const msgpack_object *o, size_t min, size_t *n);
/** mp_array() - read a list of at most @max items */
const msgpack_object *mp_array(const msgpack_object *o, size_t max, size_t *n);
/**
 * mp_unpack() - unpack bytes that hold exactly one document
 *
 * Return: true with @msg to be destroyed; false with nothing to free.
 */
bool mp_unpack(struct ld_str bytes, msgpack_unpacked *msg);

#endif
