/* Encodes calls for the etcd v3 JSON gateway. */
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>

#include "store_internal.h"

static json_t *
b64(struct ld_str s)
{
	size_t cap =
	    sodium_base64_encoded_len(s.len, sodium_base64_VARIANT_ORIGINAL);
	char *text = ld_alloc(cap);
	json_t *j;

	sodium_bin2base64(text, cap, (const unsigned char *)s.p, s.len,
	    sodium_base64_VARIANT_ORIGINAL);
	j = json_string(text);
	free(text);
	return j;
}

/* The gateway represents 64-bit integers as JSON strings. */
static json_t *
int64_json(int64_t n)
{
	struct ld_buf b = {0};
	json_t *j;

	ld_buf_printf(&b, "%lld", (long long)n);
	j = json_string(ld_buf_cstr(&b));
	ld_buf_free(&b);
	return j;
}

/* First key after all keys with @prefix; "\0" means no upper bound. */
static json_t *
prefix_end(struct ld_str prefix)
{
	struct ld_buf b = {0};
	json_t *j;

	ld_buf_adds(&b, prefix);
	while (b.len > 0 && (unsigned char)b.p[b.len - 1] == 0xff)
		b.len--;
	if (b.len > 0)
		b.p[b.len - 1]++;
	else
		ld_buf_add(&b, "", 1);
	j = b64(ld_buf_str(&b));
	ld_buf_free(&b);
	return j;
}

static json_t *
key_json(const struct ld_store_op *op)
{
	json_t *o = json_object();

	json_object_set_new(o, "key", b64(op->key));
	if (op->prefix)
		json_object_set_new(o, "range_end", prefix_end(op->key));
	return o;
}

static json_t *
one_op(const char *name, json_t *request)
{
	json_t *list = json_array();
	json_t *o = json_object();

	json_object_set_new(o, name, request);
	json_array_append_new(list, o);
	return list;
}

static json_t *
put_json(const struct ld_store_op *op)
{
	json_t *put = key_json(op);

	json_object_set_new(put, "value", b64(op->value));
	if (op->lease != 0)
		json_object_set_new(put, "lease", int64_json(op->lease));
	return put;
}

static json_t *
compare_json(const struct ld_store_op *op)
{
	json_t *list = json_array();
	json_t *o = key_json(op);

	json_object_set_new(o, "target", json_string("MOD"));
	json_object_set_new(o, "result", json_string("EQUAL"));
	json_object_set_new(o, "mod_revision", int64_json(op->expected));
	json_array_append_new(list, o);
	return list;
}

static json_t *
txn_json(const struct ld_store_op *op)
{
	json_t *o = json_object();

	if (op->kind != LD_STORE_OP_PUT) {
		json_object_set_new(o, "compare", compare_json(op));
		json_object_set_new(
		    o, "failure", one_op("request_range", key_json(op)));
	}
	if (op->kind == LD_STORE_OP_CAS_DELETE)
		json_object_set_new(
		    o, "success", one_op("request_delete_range", key_json(op)));
	else
		json_object_set_new(
		    o, "success", one_op("request_put", put_json(op)));
	return o;
}

static json_t *
watch_json(const struct ld_store_op *op)
{
	json_t *create = key_json(op);
	json_t *o = json_object();

	json_object_set_new(
	    create, "start_revision", int64_json(op->start_revision));
	json_object_set_new(create, "progress_notify", json_true());
	json_object_set_new(o, "create_request", create);
	return o;
}

static json_t *
lease_json(const char *name, int64_t n)
{
	json_t *o = json_object();

	json_object_set_new(o, name, int64_json(n));
	return o;
}

void
store_etcd_encode(const struct ld_store_op *op, struct ld_store_wire *out)
{
	const char *path = "/v3/kv/txn";
	json_t *o = NULL;
	char *text;

	switch (op->kind) {
	case LD_STORE_OP_READ:
		path = "/v3/kv/range";
		o = key_json(op);
		break;
	case LD_STORE_OP_CAS:
	case LD_STORE_OP_CAS_DELETE:
	case LD_STORE_OP_PUT:
		o = txn_json(op);
		break;
	case LD_STORE_OP_GRANT:
		path = "/v3/lease/grant";
		o = lease_json("TTL", op->ttl_s);
		break;
	case LD_STORE_OP_KEEPALIVE:
		path = "/v3/lease/keepalive";
		o = lease_json("ID", op->lease);
		break;
	case LD_STORE_OP_REVOKE:
		path = "/v3/lease/revoke";
		o = lease_json("ID", op->lease);
		break;
	case LD_STORE_OP_WATCH:
		path = "/v3/watch";
		o = watch_json(op);
		break;
	}
	text = json_dumps(o, JSON_COMPACT);
	out->method = "POST";
	ld_buf_adds(&out->path, ld_str_c(path));
	ld_buf_adds(&out->body, ld_str_c(text));
	free(text);
	json_decref(o);
}
