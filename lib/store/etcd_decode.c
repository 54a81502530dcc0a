/* Decodes responses of the etcd v3 JSON gateway. */
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

#define MS_PER_S 1000

#define INT64_TEXT_BYTES 24

/* Parses a 64-bit integer given as a string or a number; 0 when absent. */
static bool
get_int64(const json_t *o, const char *name, int64_t *out)
{
	const json_t *v = json_object_get(o, name);
	const char *text;
	char *end;

	*out = 0;
	if (v == NULL)
		return true;
	if (json_is_integer(v)) {
		*out = json_integer_value(v);
		return true;
	}
	text = json_string_value(v);
	if (text == NULL || text[0] == '\0' || strlen(text) >= INT64_TEXT_BYTES)
		return false;
	*out = strtoll(text, &end, 10);
	return *end == '\0';
}

/* Cluster ids are unsigned and may exceed INT64_MAX. */
static bool
get_header(const json_t *o, struct ld_store_decoded *out)
{
	const json_t *h = json_object_get(o, "header");
	const char *id = json_string_value(json_object_get(h, "cluster_id"));
	char *end;

	if (!json_is_object(h) || id == NULL || id[0] == '\0')
		return false;
	out->cluster_id = strtoull(id, &end, 10);
	if (*end != '\0' || out->cluster_id == 0)
		return false;
	return get_int64(h, "revision", &out->revision) && out->revision > 0;
}

static bool
get_bytes(const json_t *o, const char *name, struct ld_str *out)
{
	const json_t *v = json_object_get(o, name);
	size_t len = json_string_length(v);
	size_t n = 0;
	char *bytes;

	*out = (struct ld_str){NULL, 0};
	if (v == NULL)
		return true;
	if (!json_is_string(v))
		return false;
	bytes = ld_alloc(len + 1);
	if (sodium_base642bin((unsigned char *)bytes, len, json_string_value(v),
		len, NULL, &n, NULL, sodium_base64_VARIANT_ORIGINAL) != 0) {
		free(bytes);
		return false;
	}
	*out = (struct ld_str){bytes, n};
	return true;
}

static bool
get_kv(const json_t *o, struct ld_store_kv *kv)
{
	return json_is_object(o) && get_bytes(o, "key", &kv->key) &&
	    get_bytes(o, "value", &kv->value) && kv->key.len > 0 &&
	    get_int64(o, "create_revision", &kv->create_revision) &&
	    get_int64(o, "mod_revision", &kv->mod_revision) &&
	    get_int64(o, "version", &kv->version) &&
	    get_int64(o, "lease", &kv->lease) && kv->mod_revision > 0;
}

struct ld_store_event *
ld_store_decoded_add(struct ld_store_decoded *out)
{
	out->events =
	    ld_realloc(out->events, (out->n + 1) * sizeof(*out->events));
	memset(&out->events[out->n], 0, sizeof(*out->events));
	out->n++;
	return &out->events[out->n - 1];
}

static bool
get_kvs(const json_t *o, struct ld_store_decoded *out)
{
	const json_t *kvs = json_object_get(o, "kvs");

	if (kvs != NULL && !json_is_array(kvs))
		return false;
	for (size_t i = 0; i < json_array_size(kvs); i++) {
		if (!get_kv(
			json_array_get(kvs, i), &ld_store_decoded_add(out)->kv))
			return false;
	}
	return true;
}

static bool
get_txn(const json_t *o, struct ld_store_decoded *out)
{
	const json_t *responses = json_object_get(o, "responses");
	const json_t *range =
	    json_object_get(json_array_get(responses, 0), "response_range");

	out->succeeded = json_is_true(json_object_get(o, "succeeded"));
	/* Without "responses" a failure looks like an empty object. */
	if (!json_is_array(responses) || json_array_size(responses) != 1)
		return false;
	if (out->succeeded)
		return true;
	return json_is_object(range) && get_kvs(range, out);
}

static bool
get_ttl(const json_t *o, struct ld_store_decoded *out)
{
	int64_t s = 0;

	if (!get_int64(o, "TTL", &s) || s < 0)
		return false;
	out->ttl_ms = (uint64_t)s * MS_PER_S;
	return true;
}

static bool
get_answer(
    const struct ld_store_op *op, const json_t *o, struct ld_store_decoded *out)
{
	switch (op->kind) {
	case LD_STORE_OP_READ:
		return get_header(o, out) && get_kvs(o, out);
	case LD_STORE_OP_CAS:
	case LD_STORE_OP_CAS_DELETE:
	case LD_STORE_OP_PUT:
		return get_header(o, out) && get_txn(o, out);
	case LD_STORE_OP_GRANT:
		return get_header(o, out) && get_int64(o, "ID", &out->lease) &&
		    get_ttl(o, out) && out->lease != 0 && out->ttl_ms > 0;
	case LD_STORE_OP_KEEPALIVE:
		o = json_object_get(o, "result");
		return get_header(o, out) && get_int64(o, "ID", &out->lease) &&
		    get_ttl(o, out);
	case LD_STORE_OP_REVOKE:
		return get_header(o, out);
	case LD_STORE_OP_WATCH:
		break;
	}
	return false;
}

static bool
etcd_is_decodable(const struct ld_store_op *op, long code)
{
	return code == 200;
}

/* Status codes that the gateway returns before it proposes a write. */
static bool
etcd_not_applied(long code)
{
	return code == 400 || code == 401 || code == 403 || code == 404 ||
	    code == 429;
}

static enum ld_status
etcd_decode(const struct ld_store_op *op, long code, struct ld_str body,
    struct ld_store_decoded *out)
{
	json_t *o = NULL;
	bool ok;

	memset(out, 0, sizeof(*out));
	/* In a stream of responses each one ends with a line feed. */
	if (body.len > 0)
		o = json_loadb(body.p, body.len, JSON_REJECT_DUPLICATES, NULL);
	ok = json_is_object(o) && get_answer(op, o, out);
	json_decref(o);
	if (!ok)
		return ld_fail(
		    LD_E_PROTOCOL, "malformed response from the store");
	return LD_OK;
}

static bool
get_events(const json_t *result, struct ld_store_decoded *out)
{
	const json_t *events = json_object_get(result, "events");

	if (events != NULL && !json_is_array(events))
		return false;
	for (size_t i = 0; i < json_array_size(events); i++) {
		const json_t *e = json_array_get(events, i);
		const char *type =
		    json_string_value(json_object_get(e, "type"));
		struct ld_store_event *event = ld_store_decoded_add(out);

		event->deleted = type != NULL && strcmp(type, "DELETE") == 0;
		if (!get_kv(json_object_get(e, "kv"), &event->kv))
			return false;
	}
	return true;
}

static enum ld_status
etcd_decode_line(struct ld_str line, struct ld_store_decoded *out)
{
	const json_t *result;
	int64_t compact = 0;
	json_t *o = NULL;
	bool ok;

	memset(out, 0, sizeof(*out));
	if (line.len > 0)
		o = json_loadb(line.p, line.len, JSON_REJECT_DUPLICATES, NULL);
	result = json_object_get(o, "result");
	ok = get_header(result, out) &&
	    get_int64(result, "compact_revision", &compact) &&
	    get_events(result, out);
	out->compacted = compact > 0;
	out->canceled = json_is_true(json_object_get(result, "canceled"));
	json_decref(o);
	if (!ok)
		return ld_fail(LD_E_PROTOCOL,
		    "malformed line in the store's watch stream");
	return LD_OK;
}

void
ld_store_decoded_free(struct ld_store_decoded *d)
{
	for (size_t i = 0; i < d->n; i++) {
		free((char *)d->events[i].kv.key.p);
		free((char *)d->events[i].kv.value.p);
	}
	free(d->events);
	memset(d, 0, sizeof(*d));
}

const struct ld_store_codec *
ld_store_codec_etcd(void)
{
	static const struct ld_store_codec_ops ops = {
	    .encode = store_etcd_encode,
	    .is_decodable = etcd_is_decodable,
	    .not_applied = etcd_not_applied,
	    .decode = etcd_decode,
	    .decode_line = etcd_decode_line,
	};
	static const struct ld_store_codec codec = {&ops};

	return &codec;
}
