/* Datagrams between nodes: [number, kind, can_delegate, [[server, active,
 * tokens, heard_ago, (sent, denied, rate, rate_ago)]..], [[group, epoch]..],
 * [[finding, part, server, request]..], covered] in msgpack. What earlier
 * versions don't know is omitted unless needed: the four fields of a load
 * without a rate, the covered nodes if no load has a rate, and the findings if
 * there are none and no covered nodes. What later versions add follows behind
 * all of these and is skipped; what must not be skipped takes another kind,
 * which earlier versions refuse. 49fd21d refuses any further field. */
#include <msgpack.h>
#include <string.h>

#include "mesh_codec.h"
#include "msgpack_bounded.h"

#define DATAGRAM_FIELDS_MIN 5
#define DATAGRAM_FIELDS_FINDINGS 6
#define DATAGRAM_FIELDS_COVERED 7
#define LOAD_FIELDS_MIN 4
#define LOAD_FIELDS_RATE 8
#define ALARM_FIELDS 2
#define FINDING_FIELDS 4

static void
pack_findings(const struct mesh_datagram *d, msgpack_packer *pk)
{
	msgpack_pack_array(pk, d->finding_count);
	for (size_t i = 0; i < d->finding_count; i++) {
		msgpack_pack_array(pk, FINDING_FIELDS);
		msgpack_pack_uint32(pk, (uint32_t)d->findings[i].kind);
		msgpack_pack_uint64(pk, d->findings[i].part);
		msgpack_pack_uint32(pk, d->findings[i].server);
		msgpack_pack_uint32(pk, d->findings[i].request);
	}
}

static void
pack_load(const struct mesh_load *l, msgpack_packer *pk)
{
	msgpack_pack_array(
	    pk, l->has_rate ? LOAD_FIELDS_RATE : LOAD_FIELDS_MIN);
	msgpack_pack_uint32(pk, l->server);
	msgpack_pack_uint32(pk, l->active);
	msgpack_pack_uint32(pk, l->counts[LD_COUNT_TOKENS]);
	msgpack_pack_uint32(pk, l->heard_ago_ms);
	if (!l->has_rate)
		return;
	msgpack_pack_uint32(pk, l->counts[LD_COUNT_SENT]);
	msgpack_pack_uint32(pk, l->counts[LD_COUNT_DENIED]);
	msgpack_pack_uint32(pk, l->rate_milli);
	msgpack_pack_uint32(pk, l->rate_ago_ms);
}

static uint32_t
field_count(const struct mesh_datagram *d)
{
	if (d->covered > 0)
		return DATAGRAM_FIELDS_COVERED;
	return d->finding_count > 0 ? DATAGRAM_FIELDS_FINDINGS
				    : DATAGRAM_FIELDS_MIN;
}

void
mesh_encode(const struct mesh_datagram *d, struct ld_buf *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, mp_append);
	msgpack_pack_array(&pk, field_count(d));
	msgpack_pack_uint64(&pk, d->number);
	msgpack_pack_uint32(&pk, (uint32_t)d->kind);
	if (d->can_delegate)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
	msgpack_pack_array(&pk, d->load_count);
	for (size_t i = 0; i < d->load_count; i++)
		pack_load(&d->loads[i], &pk);
	msgpack_pack_array(&pk, d->alarm_count);
	for (size_t i = 0; i < d->alarm_count; i++) {
		size_t n = strlen(d->alarms[i].group);

		msgpack_pack_array(&pk, ALARM_FIELDS);
		msgpack_pack_str(&pk, n);
		msgpack_pack_str_body(&pk, d->alarms[i].group, n);
		msgpack_pack_int64(&pk, d->alarms[i].epoch);
	}
	if (field_count(d) > DATAGRAM_FIELDS_MIN)
		pack_findings(d, &pk);
	if (field_count(d) == DATAGRAM_FIELDS_COVERED)
		msgpack_pack_uint32(&pk, d->covered);
}

static bool
read_rate(const msgpack_object *v, struct mesh_load *out)
{
	uint64_t sent, denied, rate, rate_ago;

	if (!mp_uint(&v[0], UINT32_MAX, &sent) ||
	    !mp_uint(&v[1], UINT32_MAX, &denied) ||
	    !mp_uint(&v[2], LD_RATE_UNLIMITED, &rate) ||
	    !mp_uint(&v[3], UINT32_MAX, &rate_ago))
		return false;
	out->has_rate = true;
	out->counts[LD_COUNT_SENT] = (uint32_t)sent;
	out->counts[LD_COUNT_DENIED] = (uint32_t)denied;
	out->rate_milli = (uint32_t)rate;
	out->rate_ago_ms = (uint32_t)rate_ago;
	return true;
}

static bool
read_load(const msgpack_object *o, struct mesh_load *out)
{
	uint64_t server, active, tokens, heard_ago;
	size_t n;
	const msgpack_object *v = mp_fields(o, LOAD_FIELDS_MIN, &n);

	if (v == NULL || (n > LOAD_FIELDS_MIN && n < LOAD_FIELDS_RATE) ||
	    !mp_uint(&v[0], UINT32_MAX, &server) ||
	    !mp_uint(&v[1], UINT16_MAX, &active) ||
	    !mp_uint(&v[2], UINT32_MAX, &tokens) ||
	    !mp_uint(&v[3], MESH_HEARD_AGO_MAX_MS, &heard_ago))
		return false;
	*out = (struct mesh_load){.server = (uint32_t)server,
	    .active = (uint32_t)active,
	    .heard_ago_ms = (uint32_t)heard_ago,
	    .counts = {[LD_COUNT_TOKENS] = (uint32_t)tokens}};
	return n == LOAD_FIELDS_MIN || read_rate(&v[LOAD_FIELDS_MIN], out);
}

static bool
read_alarm(const msgpack_object *o, struct mesh_alarm *out)
{
	uint64_t epoch;
	size_t n;
	const msgpack_object *v = mp_fields(o, ALARM_FIELDS, &n);

	if (v == NULL || v[0].type != MSGPACK_OBJECT_STR ||
	    v[0].via.str.size == 0 ||
	    v[0].via.str.size >= MESH_GROUP_NAME_MAX ||
	    memchr(v[0].via.str.ptr, '\0', v[0].via.str.size) != NULL ||
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
	const msgpack_object *v = mp_fields(o, FINDING_FIELDS, &n);

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
	    mp_array(o, MESH_FINDINGS_MAX, &out->finding_count);

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
	uint64_t kind, covered = 0;
	size_t n;
	const msgpack_object *v = mp_fields(o, DATAGRAM_FIELDS_MIN, &n);

	if (v == NULL || !mp_uint(&v[0], UINT64_MAX, &out->number) ||
	    !mp_uint(&v[1], MESH_KIND_COUNT - 1, &kind) ||
	    v[2].type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	out->kind = (enum mesh_kind)kind;
	out->can_delegate = v[2].via.boolean;
	loads = mp_array(&v[3], MESH_LOADS_MAX, &out->load_count);
	alarms = mp_array(&v[4], MESH_ALARMS_MAX, &out->alarm_count);
	if (loads == NULL || alarms == NULL)
		return false;
	for (size_t i = 0; i < out->load_count; i++)
		if (!read_load(&loads[i], &out->loads[i]))
			return false;
	for (size_t i = 0; i < out->alarm_count; i++)
		if (!read_alarm(&alarms[i], &out->alarms[i]))
			return false;
	out->finding_count = 0;
	if (n >= DATAGRAM_FIELDS_COVERED &&
	    !mp_uint(&v[6], UINT16_MAX, &covered))
		return false;
	out->covered = (uint32_t)covered;
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
