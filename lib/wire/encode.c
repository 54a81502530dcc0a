/* Encodes a message as a msgpack array: its kind, then its fields in order. */
#include <msgpack.h>

#include "ld_wire.h"

/* Number of fields after the kind, and of each nested array. */
#define JOIN_FIELDS 2
#define PING_FIELDS 7
#define DIGEST_FIELDS 4
#define RECORDS_FIELDS 2
#define CATALOGUE_FIELDS 2
#define DIRECT_FIELDS 6
#define MEMBER_FIELDS 7
#define RECORD_FIELDS 5
#define ENTRY_FIELDS 3

static const size_t field_count[] = {
    [LD_WIRE_JOIN] = JOIN_FIELDS,
    [LD_WIRE_PING] = PING_FIELDS,
    [LD_WIRE_ACK] = PING_FIELDS,
    [LD_WIRE_DIGEST] = DIGEST_FIELDS,
    [LD_WIRE_RECORDS] = RECORDS_FIELDS,
    [LD_WIRE_CATALOGUE_REQUEST] = CATALOGUE_FIELDS,
    [LD_WIRE_CATALOGUE_SNAPSHOT] = CATALOGUE_FIELDS,
    [LD_WIRE_DIRECT] = DIRECT_FIELDS,
};

static int
append(void *arg, const char *p, size_t n)
{
	ld_buf_add(arg, p, n);
	return 0;
}

static void
put_str(msgpack_packer *pk, struct ld_str s)
{
	msgpack_pack_bin(pk, s.len);
	msgpack_pack_bin_body(pk, s.p, s.len);
}

static void
put_bool(msgpack_packer *pk, bool v)
{
	if (v)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void
put_member(msgpack_packer *pk, const struct ld_wire_member *m)
{
	msgpack_pack_array(pk, MEMBER_FIELDS);
	put_str(pk, m->address);
	put_str(pk, m->domain);
	put_str(pk, m->region);
	msgpack_pack_uint64(pk, m->incarnation);
	msgpack_pack_uint64(pk, m->generation);
	msgpack_pack_uint64(pk, m->version);
	msgpack_pack_uint8(pk, m->state);
}

static void
put_record(msgpack_packer *pk, const struct ld_wire_record *r)
{
	msgpack_pack_array(pk, RECORD_FIELDS);
	msgpack_pack_uint64(pk, r->origin);
	msgpack_pack_uint64(pk, r->seq);
	msgpack_pack_uint8(pk, r->kind);
	put_str(pk, r->key);
	put_str(pk, r->value);
}

static void
put_ping(msgpack_packer *pk, const struct ld_wire_ping *m)
{
	msgpack_pack_uint64(pk, m->seq);
	msgpack_pack_uint64(pk, m->echo);
	msgpack_pack_uint64(pk, m->table_hash);
	msgpack_pack_uint64(pk, m->catalogue_revision);
	msgpack_pack_uint64(pk, m->root);
	msgpack_pack_uint32(pk, m->distance);
	put_bool(pk, m->parent);
}

static void
put_digest(msgpack_packer *pk, const struct ld_wire_digest *m)
{
	msgpack_pack_array(pk, m->has_buckets ? LD_WIRE_BUCKETS : 0);
	for (size_t i = 0; m->has_buckets && i < LD_WIRE_BUCKETS; i++)
		msgpack_pack_uint64(pk, m->bucket[i]);
	msgpack_pack_uint32(pk, m->differing);
	put_bool(pk, m->closing);
	msgpack_pack_array(pk, m->entry_count);
	for (size_t i = 0; i < m->entry_count; i++) {
		msgpack_pack_array(pk, ENTRY_FIELDS);
		msgpack_pack_uint64(pk, m->entries[i].incarnation);
		msgpack_pack_uint64(pk, m->entries[i].member_hash);
		msgpack_pack_uint64(pk, m->entries[i].records_hash);
	}
}

static void
put_records(msgpack_packer *pk, const struct ld_wire_records *m)
{
	msgpack_pack_array(pk, m->member_count);
	for (size_t i = 0; i < m->member_count; i++)
		put_member(pk, &m->members[i]);
	msgpack_pack_array(pk, m->record_count);
	for (size_t i = 0; i < m->record_count; i++)
		put_record(pk, &m->records[i]);
}

static void
put_direct(msgpack_packer *pk, const struct ld_wire_direct *m)
{
	put_str(pk, m->from);
	msgpack_pack_uint64(pk, m->from_incarnation);
	put_str(pk, m->to);
	msgpack_pack_uint64(pk, m->to_incarnation);
	msgpack_pack_uint32(pk, m->kind);
	put_str(pk, m->bytes);
}

void
ld_wire_encode(const struct ld_wire_msg *m, struct ld_buf *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, 1 + field_count[m->kind]);
	msgpack_pack_uint8(&pk, (uint8_t)m->kind);
	switch (m->kind) {
	case LD_WIRE_JOIN:
		put_member(&pk, &m->join.self);
		put_bool(&pk, m->join.mesh);
		break;
	case LD_WIRE_PING:
	case LD_WIRE_ACK:
		put_ping(&pk, &m->ping);
		break;
	case LD_WIRE_DIGEST:
		put_digest(&pk, &m->digest);
		break;
	case LD_WIRE_RECORDS:
		put_records(&pk, &m->records);
		break;
	case LD_WIRE_CATALOGUE_REQUEST:
	case LD_WIRE_CATALOGUE_SNAPSHOT:
		msgpack_pack_uint64(&pk, m->catalogue.revision);
		put_str(&pk, m->catalogue.bytes);
		break;
	case LD_WIRE_DIRECT:
		put_direct(&pk, &m->direct);
		break;
	}
}
