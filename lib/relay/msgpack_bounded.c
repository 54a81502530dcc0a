/* See msgpack_bounded.h. */
#include "msgpack_bounded.h"
#include "ld_wire.h"

int
mp_append(void *out, const char *bytes, size_t n)
{
	ld_buf_add(out, bytes, n);
	return 0;
}

bool
mp_uint(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

const msgpack_object *
mp_fields(const msgpack_object *o, size_t min, size_t *n)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < min)
		return NULL;
	*n = o->via.array.size;
	return o->via.array.ptr;
}

const msgpack_object *
mp_array(const msgpack_object *o, size_t max, size_t *n)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > max)
		return NULL;
	*n = o->via.array.size;
	return o->via.array.ptr;
}

bool
mp_unpack(struct ld_str bytes, msgpack_unpacked *msg)
{
	size_t off = 0;

	/* The unpacker allocates as much as a header claims: check the claims
	 * first. */
	if (bytes.len == 0 || !ld_wire_scan(bytes))
		return false;
	msgpack_unpacked_init(msg);
	if (msgpack_unpack_next(msg, bytes.p, bytes.len, &off) ==
		MSGPACK_UNPACK_SUCCESS &&
	    off == bytes.len)
		return true;
	msgpack_unpacked_destroy(msg);
	return false;
}
