/* Decodes messages from msgpack. Trailing fields, which newer nodes may append,
 * are ignored. */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "ld_wire.h"

/** struct array_reader - cursor over a msgpack array; @bad is sticky */
struct array_reader {
	const msgpack_object *next;
	size_t remaining;
	bool bad;
};

static const msgpack_object *
read_element(struct array_reader *a, msgpack_object_type type)
{
	const msgpack_object *o = a->next;

	if (a->bad || a->remaining == 0 || o->type != type) {
		a->bad = true;
		return NULL;
	}
	a->next++;
	a->remaining--;
	return o;
}

static uint64_t
read_u64(struct array_reader *a, uint64_t max)
{
	const msgpack_object *o =
	    read_element(a, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (o == NULL)
		return 0;
	if (o->via.u64 > max)
		a->bad = true;
	return o->via.u64;
}

static bool
read_bool(struct array_reader *a)
{
	const msgpack_object *o = read_element(a, MSGPACK_OBJECT_BOOLEAN);

	return o != NULL && o->via.boolean;
}

static struct ld_str
read_str(struct array_reader *a)
{
	const msgpack_object *o = read_element(a, MSGPACK_OBJECT_BIN);

	if (o == NULL)
		return (struct ld_str){"", 0};
	return (struct ld_str){o->via.bin.ptr, o->via.bin.size};
}

static struct array_reader
read_array(struct array_reader *a)
{
	const msgpack_object *o = read_element(a, MSGPACK_OBJECT_ARRAY);

	if (o == NULL)
		return (struct array_reader){.bad = true};
	return (struct array_reader){
	    o->via.array.ptr, o->via.array.size, false};
}

static void
decode_member(struct array_reader *a, struct ld_wire_member *m)
{
	struct array_reader in = read_array(a);

	m->address = read_str(&in);
	m->domain = read_str(&in);
	m->region = read_str(&in);
	m->incarnation = read_u64(&in, UINT64_MAX);
	m->generation = read_u64(&in, UINT64_MAX);
	m->version = read_u64(&in, UINT64_MAX);
	m->state = (uint8_t)read_u64(&in, UINT8_MAX);
	a->bad = a->bad || in.bad;
}

static void
decode_record(struct array_reader *a, struct ld_wire_record *r)
{
	struct array_reader in = read_array(a);

	r->origin = read_u64(&in, UINT64_MAX);
	r->seq = read_u64(&in, UINT64_MAX);
	r->kind = (uint8_t)read_u64(&in, UINT8_MAX);
	r->key = read_str(&in);
	r->value = read_str(&in);
	a->bad = a->bad || in.bad;
}

static void
decode_entry(struct array_reader *a, struct ld_wire_entry *e)
{
	struct array_reader in = read_array(a);

	e->incarnation = read_u64(&in, UINT64_MAX);
	e->member_hash = read_u64(&in, UINT64_MAX);
	e->records_hash = read_u64(&in, UINT64_MAX);
	a->bad = a->bad || in.bad;
}

static void
decode_ping(struct array_reader *a, struct ld_wire_ping *m)
{
	m->seq = read_u64(a, UINT64_MAX);
	m->echo = read_u64(a, UINT64_MAX);
	m->table_hash = read_u64(a, UINT64_MAX);
	m->catalogue_revision = read_u64(a, UINT64_MAX);
	m->root = read_u64(a, UINT64_MAX);
	m->distance = (uint32_t)read_u64(a, UINT32_MAX);
	m->parent = read_bool(a);
}

static void
decode_digest(struct array_reader *a, struct ld_wire_digest *m)
{
	struct array_reader in = read_array(a);

	m->has_buckets = in.remaining > 0;
	if (m->has_buckets && in.remaining != LD_WIRE_BUCKETS)
		a->bad = true;
	for (size_t i = 0; m->has_buckets && i < LD_WIRE_BUCKETS; i++)
		m->bucket[i] = read_u64(&in, UINT64_MAX);
	m->differing = (uint32_t)read_u64(a, UINT32_MAX);
	m->closing = read_bool(a);
	a->bad = a->bad || in.bad;
	in = read_array(a);
	m->entry_count = in.remaining;
	m->entries = ld_alloc(in.remaining * sizeof(*m->entries));
	for (size_t i = 0; i < m->entry_count; i++)
		decode_entry(&in, &m->entries[i]);
	a->bad = a->bad || in.bad;
}

static void
decode_records(struct array_reader *a, struct ld_wire_records *m)
{
	struct array_reader in = read_array(a);

	m->member_count = in.remaining;
	m->members = ld_alloc(in.remaining * sizeof(*m->members));
	for (size_t i = 0; i < m->member_count; i++)
		decode_member(&in, &m->members[i]);
	a->bad = a->bad || in.bad;
	in = read_array(a);
	m->record_count = in.remaining;
	m->records = ld_alloc(in.remaining * sizeof(*m->records));
	for (size_t i = 0; i < m->record_count; i++)
		decode_record(&in, &m->records[i]);
	a->bad = a->bad || in.bad;
}

static void
decode_direct(struct array_reader *a, struct ld_wire_direct *m)
{
	m->from = read_str(a);
	m->from_incarnation = read_u64(a, UINT64_MAX);
	m->to = read_str(a);
	m->to_incarnation = read_u64(a, UINT64_MAX);
	m->kind = (uint32_t)read_u64(a, UINT32_MAX);
	m->bytes = read_str(a);
}

static void
decode_msg(struct array_reader *a, struct ld_wire_msg *m)
{
	m->kind = (enum ld_wire_kind)read_u64(a, UINT8_MAX);
	if (a->bad)
		return;
	switch (m->kind) {
	case LD_WIRE_JOIN:
		decode_member(a, &m->join.self);
		m->join.mesh = read_bool(a);
		break;
	case LD_WIRE_PING:
	case LD_WIRE_ACK:
		decode_ping(a, &m->ping);
		break;
	case LD_WIRE_DIGEST:
		decode_digest(a, &m->digest);
		break;
	case LD_WIRE_RECORDS:
		decode_records(a, &m->records);
		break;
	case LD_WIRE_CATALOGUE_REQUEST:
	case LD_WIRE_CATALOGUE_SNAPSHOT:
		m->catalogue.revision = read_u64(a, UINT64_MAX);
		m->catalogue.bytes = read_str(a);
		break;
	case LD_WIRE_DIRECT:
		decode_direct(a, &m->direct);
		break;
	default:
		a->bad = true;
		break;
	}
}

enum ld_status
ld_wire_decode(struct ld_str payload, struct ld_wire_msg *m)
{
	msgpack_unpacked doc;
	struct array_reader a = {.bad = true};
	size_t used = 0;

	memset(m, 0, sizeof(*m));
	msgpack_unpacked_init(&doc);
	if (payload.len > 0 && ld_wire_scan(payload) &&
	    msgpack_unpack_next(&doc, payload.p, payload.len, &used) ==
		MSGPACK_UNPACK_SUCCESS &&
	    used == payload.len && doc.data.type == MSGPACK_OBJECT_ARRAY) {
		a.next = doc.data.via.array.ptr;
		a.remaining = doc.data.via.array.size;
		a.bad = false;
		decode_msg(&a, m);
	}
	msgpack_unpacked_destroy(&doc);
	if (!a.bad)
		return LD_OK;
	ld_wire_msg_fini(m);
	return ld_fail(LD_E_PROTOCOL, "malformed message");
}

void
ld_wire_msg_fini(struct ld_wire_msg *m)
{
	if (m->kind == LD_WIRE_DIGEST) {
		free(m->digest.entries);
		m->digest.entries = NULL;
	} else if (m->kind == LD_WIRE_RECORDS) {
		free(m->records.members);
		free(m->records.records);
		m->records.members = NULL;
		m->records.records = NULL;
	}
}
