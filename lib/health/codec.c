/* Reports as they travel: one msgpack array with a fixed number of fields. */
#include <msgpack.h>
#include <string.h>

#include "health_internal.h"

#define FORMAT 1
#define FIELDS 16

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
	msgpack_pack_array(&pk, FIELDS);
	msgpack_pack_uint64(&pk, FORMAT);
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

/** struct fields - position in the array, and whether all was well so far */
struct fields {
	const msgpack_object *next;
	bool ok;
};

static void
take_text(struct fields *f, char *out, size_t size)
{
	const msgpack_object *o = f->next++;

	if (!f->ok || o->type != MSGPACK_OBJECT_STR ||
	    o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		f->ok = false;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

static uint64_t
take_number(struct fields *f, uint64_t max)
{
	const msgpack_object *o = f->next++;

	if (!f->ok || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > max) {
		f->ok = false;
		return 0;
	}
	return o->via.u64;
}

static bool
take_flag(struct fields *f)
{
	const msgpack_object *o = f->next++;

	if (!f->ok || o->type != MSGPACK_OBJECT_BOOLEAN) {
		f->ok = false;
		return false;
	}
	return o->via.boolean;
}

static bool
take_report(struct fields *f, struct ld_health_report *out)
{
	uint64_t both;

	if (take_number(f, FORMAT) != FORMAT)
		return false;
	take_text(f, out->reporter, sizeof(out->reporter));
	take_text(f, out->address, sizeof(out->address));
	take_text(f, out->replica, sizeof(out->replica));
	take_text(f, out->incarnation, sizeof(out->incarnation));
	out->epoch = take_number(f, INT64_MAX);
	out->run = take_number(f, UINT64_MAX);
	out->seq = take_number(f, UINT64_MAX);
	out->sent_ms = take_number(f, INT64_MAX);
	out->verdict =
	    (enum ld_health_verdict)take_number(f, LD_HEALTH_VERDICT_COUNT - 1);
	out->never_answered = take_flag(f);
	out->ready = take_flag(f);
	out->straggler = take_flag(f);
	out->running = (uint32_t)take_number(f, UINT32_MAX);
	out->waiting = (uint32_t)take_number(f, UINT32_MAX);
	both = take_number(f, UINT64_MAX);
	out->slots = (uint32_t)(both >> 32);
	out->age_ms = (uint32_t)both;
	return f->ok && out->address[0] != '\0' && out->reporter[0] != '\0';
}

enum ld_status
ld_health_report_decode(struct ld_str bytes, struct ld_health_report *out)
{
	enum ld_status st = LD_E_PROTOCOL;
	msgpack_unpacked msg;
	struct fields f;
	size_t at = 0;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&msg);
	if (bytes.len == 0 ||
	    msgpack_unpack_next(&msg, bytes.p, bytes.len, &at) !=
		MSGPACK_UNPACK_SUCCESS ||
	    at != bytes.len || msg.data.type != MSGPACK_OBJECT_ARRAY ||
	    msg.data.via.array.size != FIELDS)
		goto done;
	f = (struct fields){msg.data.via.array.ptr, true};
	if (take_report(&f, out))
		st = LD_OK;
done:
	msgpack_unpacked_destroy(&msg);
	return st == LD_OK ? st : ld_fail(st, "malformed health report");
}
