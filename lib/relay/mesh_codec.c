/* Datagrams between nodes: [number, kind, can_delegate, [[server, active,
 * sent_tokens, heard_ago]..], [[group, epoch]..], [[finding, part, server,
 * request]..]] in msgpack. Without findings the last array is omitted, as
 * earlier versions don't know it. */
#include <msgpack.h>
#include <string.h>

#include "mesh_codec.h"
#include "msgpack_bounded.h"

#define DATAGRAM_FIELDS_MIN 5
#define DATAGRAM_FIELDS 6

static void
pack_findings(const struct mesh_datagram *d, msgpack_packer *pk)
{
	msgpack_pack_array(pk, d->finding_count);
	for (size_t i = 0; i < d->finding_count; i++) {
		msgpack_pack_array(pk, 4);
		msgpack_pack_uint32(pk, (uint32_t)d->findings[i].kind);
		msgpack_pack_uint64(pk, d->findings[i].part);
		msgpack_pack_uint32(pk, d->findings[i].server);
		msgpack_pack_uint32(pk, d->findings[i].request);
	}
}

void
mesh_encode(const struct mesh_datagram *d, struct ld_buf *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, mp_append);
	msgpack_pack_array(
	    &pk, d->finding_count > 0 ? DATAGRAM_FIELDS : DATAGRAM_FIELDS_MIN);
	msgpack_pack_uint64(&pk, d->number);
	msgpack_pack_uint32(&pk, (uint32_t)d->kind);
	if (d->can_delegate)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
	msgpack_pack_array(&pk, d->load_count);
	for (size_t i = 0; i < d->load_count; i++) {
		msgpack_pack_array(&pk, 4);
		msgpack_pack_uint32(&pk, d->loads[i].server);
		msgpack_pack_uint32(&pk, d->loads[i].active);
		msgpack_pack_uint32(&pk, d->loads[i].sent_tokens);
		msgpack_pack_uint32(&pk, d->loads[i].heard_ago_ms);
	}
	msgpack_pack_array(&pk, d->alarm_count);
	for (size_t i = 0; i < d->alarm_count; i++) {
		size_t n = strlen(d->alarms[i].group);

		msgpack_pack_array(&pk, 2);
		msgpack_pack_str(&pk, n);
		msgpack_pack_str_body(&pk, d->alarms[i].group, n);
		msgpack_pack_int64(&pk, d->alarms[i].epoch);
	}
	if (d->finding_count > 0)
		pack_findings(d, &pk);
}

static bool
read_load(const msgpack_object *o, struct mesh_load *out)
{
	uint64_t server, active, sent_tokens, heard_ago;
	size_t n;
	const msgpack_object *v = mp_array(o, 4, true, &n);

	if (v == NULL || !mp_uint(&v[0], UINT32_MAX, &server) ||
	    !mp_uint(&v[1], UINT16_MAX, &active) ||
	    !mp_uint(&v[2], UINT32_MAX, &sent_tokens) ||
	    !mp_uint(&v[3], MESH_HEARD_AGO_MAX_MS, &heard_ago))
		return false;
	*out = (struct mesh_load){(uint32_t)server, (uint32_t)active,
	    (uint32_t)sent_tokens, (uint32_t)heard_ago};
	return true;
}

static bool
read_alarm(const msgpack_object *o, struct mesh_alarm *out)
{
	uint64_t epoch;
	size_t n;
	const msgpack_object *v = mp_array(o, 2, true, &n);

	if (v == NULL || v[0].type != MSGPACK_OBJECT_STR ||
	    v[0].via.str.size >= MESH_GROUP_NAME_MAX ||
	    !mp_uint(&v[1], INT64_MAX, &epoch))
		return false;
	memset(out, 0, sizeof(*out));
	memcpy(out->group, v[0].via.str.ptr, v[0].via.str.size);
	out->epoch = (int64_t)epoch;
	return true;
}

static bool
read_finding(const msgpack_object *o, struct ld_finding *out)
{
	uint64_t kind, part, server, request;
	size_t n;
	const msgpack_object *v = mp_array(o, 4, true, &n);

	if (v == NULL || !mp_uint(&v[0], LD_FINDING_KIND_COUNT - 1, &kind) ||
	    !mp_uint(&v[1], UINT64_MAX, &part) || part == 0 ||
	    !mp_uint(&v[2], UINT32_MAX, &server) ||
	    !mp_uint(&v[3], UINT32_MAX, &request))
		return false;
	*out = (struct ld_finding){(enum ld_finding_kind)kind, part,
	    (uint32_t)server, (uint32_t)request};
	return true;
}

static bool
read_findings(const msgpack_object *o, struct mesh_datagram *out)
{
	const msgpack_object *v =
	    mp_array(o, MESH_FINDINGS_MAX, false, &out->finding_count);

	if (v == NULL)
		return false;
	for (size_t i = 0; i < out->finding_count; i++)
		if (!read_finding(&v[i], &out->findings[i]))
			return false;
	return true;
}

static bool
read_datagram(const msgpack_object *o, struct mesh_datagram *out)
{
	const msgpack_object *loads, *alarms;
	uint64_t kind;
	size_t n;
	const msgpack_object *v = mp_array(o, DATAGRAM_FIELDS, false, &n);

	if (v == NULL || n < DATAGRAM_FIELDS_MIN ||
	    !mp_uint(&v[0], UINT64_MAX, &out->number) ||
	    !mp_uint(&v[1], MESH_KIND_COUNT - 1, &kind) ||
	    v[2].type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	out->kind = (enum mesh_kind)kind;
	out->can_delegate = v[2].via.boolean;
	loads = mp_array(&v[3], MESH_LOADS_MAX, false, &out->load_count);
	alarms = mp_array(&v[4], MESH_ALARMS_MAX, false, &out->alarm_count);
	if (loads == NULL || alarms == NULL)
		return false;
	for (size_t i = 0; i < out->load_count; i++)
		if (!read_load(&loads[i], &out->loads[i]))
			return false;
	for (size_t i = 0; i < out->alarm_count; i++)
		if (!read_alarm(&alarms[i], &out->alarms[i]))
			return false;
	out->finding_count = 0;
	return n == DATAGRAM_FIELDS_MIN || read_findings(&v[5], out);
}

bool
mesh_decode(struct ld_str bytes, struct mesh_datagram *out)
{
	msgpack_unpacked msg;
	bool ok;

	if (!mp_unpack(bytes, &msg))
		return false;
	ok = read_datagram(&msg.data, out);
	msgpack_unpacked_destroy(&msg);
	return ok;
}
