/*
 * Message of store changes: [after, revision, age_ms, [[key, value or nil,
 * mod_revision, create_revision, version, lease]..]]. Without a value the key
 * was deleted. What later versions add behind these fields is skipped; a message
 * that must not be read so gets a target of its own.
 */
#include <msgpack.h>
#include <string.h>

#include "changes_codec.h"
#include "ld_wire.h"
#include "msgpack_bounded.h"

#define HEAD_FIELDS 4
#define CHANGE_FIELDS 6

void
changes_encode_header(int64_t after, int64_t revision, uint64_t age_ms,
    size_t n, struct ld_buf *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, mp_append);
	msgpack_pack_array(&pk, HEAD_FIELDS);
	msgpack_pack_int64(&pk, after);
	msgpack_pack_int64(&pk, revision);
	msgpack_pack_uint64(&pk, age_ms);
	msgpack_pack_array(&pk, n);
}

static void
put_bytes(msgpack_packer *pk, struct ld_str s)
{
	msgpack_pack_bin(pk, s.len);
	msgpack_pack_bin_body(pk, s.p, s.len);
}

void
changes_encode_change(const struct ld_store_event *e, struct ld_buf *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, mp_append);
	msgpack_pack_array(&pk, CHANGE_FIELDS);
	put_bytes(&pk, e->kv.key);
	if (e->deleted)
		msgpack_pack_nil(&pk);
	else
		put_bytes(&pk, e->kv.value);
	msgpack_pack_int64(&pk, e->kv.mod_revision);
	msgpack_pack_int64(&pk, e->kv.create_revision);
	msgpack_pack_int64(&pk, e->kv.version);
	msgpack_pack_int64(&pk, e->kv.lease);
}

static bool
read_bytes(const msgpack_object *o, struct ld_str *out)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	*out = ld_str_c(
	    ld_str_dup((struct ld_str){o->via.bin.ptr, o->via.bin.size}));
	out->len = o->via.bin.size;
	return true;
}

static bool
read_revision(const msgpack_object *o, int64_t *out)
{
	uint64_t n;

	if (!mp_uint(o, INT64_MAX, &n))
		return false;
	*out = (int64_t)n;
	return true;
}

static bool
read_change(const msgpack_object *o, struct ld_store_event *e)
{
	size_t n;
	const msgpack_object *v = mp_fields(o, CHANGE_FIELDS, &n);

	if (v == NULL || !read_bytes(&v[0], &e->kv.key))
		return false;
	e->deleted = v[1].type == MSGPACK_OBJECT_NIL;
	return (e->deleted || read_bytes(&v[1], &e->kv.value)) &&
	    read_revision(&v[2], &e->kv.mod_revision) &&
	    read_revision(&v[3], &e->kv.create_revision) &&
	    read_revision(&v[4], &e->kv.version) &&
	    read_revision(&v[5], &e->kv.lease);
}

static bool
read_message(const msgpack_object *o, struct changes_message *out)
{
	size_t n;
	const msgpack_object *v = mp_fields(o, HEAD_FIELDS, &n);
	const msgpack_object *changes;

	if (v == NULL || !read_revision(&v[0], &out->after) ||
	    !read_revision(&v[1], &out->revision) ||
	    !mp_uint(&v[2], UINT32_MAX, &out->age_ms))
		return false;
	changes = mp_array(&v[3], CHANGES_MAX, &n);
	if (changes == NULL)
		return false;
	for (size_t i = 0; i < n; i++)
		if (!read_change(&changes[i], ld_store_decoded_add(&out->list)))
			return false;
	return true;
}

bool
changes_decode(struct ld_str bytes, struct changes_message *out)
{
	msgpack_unpacked msg;
	bool ok;

	memset(out, 0, sizeof(*out));
	if (!mp_unpack(bytes, &msg))
		return false;
	ok = read_message(&msg.data, out);
	msgpack_unpacked_destroy(&msg);
	return ok;
}
