/* Encoding of reports: one msgpack array with a fixed number of fields. */
#include <msgpack.h>
#include <string.h>

#include "health_internal.h"

#define FORMAT_VERSION 1
#define FIELD_COUNT 16

static void
pack_text(msgpack_packer *pk, const char *text)
{
	size_t n = strlen(text);

	msgpack_pack_str(pk, n);
	msgpack_pack_str_body(pk, text, n);
}

static void
pack_flag(msgpack_packer *pk, bool v)
{
	if (v)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

void
ld_health_report_encode(const struct ld_health_report *r, struct ld_buf *out)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, FIELD_COUNT);
	msgpack_pack_uint64(&pk, FORMAT_VERSION);
	pack_text(&pk, r->reporter);
	pack_text(&pk, r->address);
	pack_text(&pk, r->replica);
	pack_text(&pk, r->incarnation);
	msgpack_pack_uint64(&pk, r->epoch);
	msgpack_pack_uint64(&pk, r->run);
	msgpack_pack_uint64(&pk, r->seq);
	msgpack_pack_uint64(&pk, r->sent_ms);
	msgpack_pack_uint64(&pk, (uint64_t)r->verdict);
	pack_flag(&pk, r->never_answered);
	pack_flag(&pk, r->ready);
	pack_flag(&pk, r->straggler);
	msgpack_pack_uint64(&pk, r->running);
	msgpack_pack_uint64(&pk, r->waiting);
	msgpack_pack_uint64(&pk, (uint64_t)r->slots << 32 | r->age_ms);
	ld_buf_add(out, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Header in array 16 format, as a fixarray holds at most 15 elements. */
static const char array_header[] = {(char)0xdc, 0, FIELD_COUNT};

/** struct field_reader - the unread bytes, and whether all reads succeeded */
struct field_reader {
	struct ld_str rest;
	msgpack_unpacked msg;
	bool ok;
};

/*
 * Only scalars are accepted: for an array the library allocates memory for the
 * length in its header before it reads the elements.
 */
static bool
is_scalar(unsigned char lead)
{
	bool fixed_int = lead <= 0x7f;
	bool fixed_text = lead >= 0xa0 && lead <= 0xbf;
	bool flag = lead == 0xc2 || lead == 0xc3;
	bool number = lead >= 0xcc && lead <= 0xcf;
	bool text = lead >= 0xd9 && lead <= 0xdb;

	return fixed_int || fixed_text || flag || number || text;
}

static const msgpack_object *
next_field(struct field_reader *f)
{
	size_t at = 0;

	if (!f->ok || f->rest.len == 0 ||
	    !is_scalar((unsigned char)*f->rest.p) ||
	    msgpack_unpack_next(&f->msg, f->rest.p, f->rest.len, &at) !=
		MSGPACK_UNPACK_SUCCESS) {
		f->ok = false;
		return NULL;
	}
	f->rest.p += at;
	f->rest.len -= at;
	return &f->msg.data;
}

static void
read_text(struct field_reader *f, char *out, size_t size)
{
	const msgpack_object *o = next_field(f);

	out[0] = '\0';
	if (o == NULL || o->type != MSGPACK_OBJECT_STR ||
	    o->via.str.size >= size) {
		f->ok = false;
		return;
	}
	if (o->via.str.size == 0)
		return;
	if (memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		f->ok = false;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

static uint64_t
read_number(struct field_reader *f, uint64_t max)
{
	const msgpack_object *o = next_field(f);

	if (o == NULL || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > max) {
		f->ok = false;
		return 0;
	}
	return o->via.u64;
}

static bool
read_flag(struct field_reader *f)
{
	const msgpack_object *o = next_field(f);

	if (o == NULL || o->type != MSGPACK_OBJECT_BOOLEAN) {
		f->ok = false;
		return false;
	}
	return o->via.boolean;
}

static bool
read_report(struct field_reader *f, struct ld_health_report *out)
{
	uint64_t slots_and_age;

	if (read_number(f, FORMAT_VERSION) != FORMAT_VERSION)
		return false;
	read_text(f, out->reporter, sizeof(out->reporter));
	read_text(f, out->address, sizeof(out->address));
	read_text(f, out->replica, sizeof(out->replica));
	read_text(f, out->incarnation, sizeof(out->incarnation));
	out->epoch = read_number(f, INT64_MAX);
	out->run = read_number(f, UINT64_MAX);
	out->seq = read_number(f, UINT64_MAX);
	out->sent_ms = read_number(f, INT64_MAX);
	out->verdict =
	    (enum ld_health_verdict)read_number(f, LD_HEALTH_VERDICT_COUNT - 1);
	out->never_answered = read_flag(f);
	out->ready = read_flag(f);
	out->straggler = read_flag(f);
	out->running = (uint32_t)read_number(f, UINT32_MAX);
	out->waiting = (uint32_t)read_number(f, UINT32_MAX);
	slots_and_age = read_number(f, UINT64_MAX);
	out->slots = (uint32_t)(slots_and_age >> 32);
	out->age_ms = (uint32_t)slots_and_age;
	return f->ok && out->address[0] != '\0' && out->reporter[0] != '\0';
}

enum ld_status
ld_health_report_decode(struct ld_str bytes, struct ld_health_report *out)
{
	struct ld_str header = {array_header, sizeof(array_header)};
	struct field_reader f = {
	    .rest = bytes, .ok = ld_str_starts(bytes, header)};
	bool valid;

	memset(out, 0, sizeof(*out));
	if (!f.ok)
		return ld_fail(LD_E_PROTOCOL, "not a health report");
	f.rest.p += header.len;
	f.rest.len -= header.len;
	msgpack_unpacked_init(&f.msg);
	valid = read_report(&f, out) && f.rest.len == 0;
	msgpack_unpacked_destroy(&f.msg);
	if (!valid)
		return ld_fail(LD_E_PROTOCOL, "malformed health report");
	return LD_OK;
}
