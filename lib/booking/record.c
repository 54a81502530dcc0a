/* Encoding of claims and outcomes in the store. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "booking_internal.h"

#define B64_VARIANT sodium_base64_VARIANT_ORIGINAL
/* Upper bound of the encoded size of a record without its node and answer. */
#define RECORD_FIXED_BYTES 220
/* Upper bound of the encoded size of a value without its records. */
#define CLAIMS_FIXED_BYTES 512
#define NODE_MAX_BYTES 128
#define RECORDS_MAX 65536

static const char *const state_letters[RECORD_STATE_COUNT] = {
    [RECORD_CLAIMED] = "c",
    [RECORD_DONE] = "d",
    [RECORD_NOT_RUN] = "n",
    [RECORD_UNKNOWN] = "u",
};

/* ---- One record ---- */

void
record_copy(struct record *to, const struct record *from)
{
	*to = *from;
	to->node = ld_strdup(from->node);
	if (from->answer != NULL)
		to->answer =
		    ld_str_dup((struct ld_str){from->answer, from->answer_len});
}

void
record_fini(struct record *r)
{
	free(r->node);
	free(r->answer);
	r->node = NULL;
	r->answer = NULL;
}

/*
 * Upper bound of the encoded size. A claim reserves space for the longest
 * answer, so that its outcome always fits.
 */
static size_t
record_bytes(const struct record *r)
{
	size_t answer = r->answer_len;

	if (r->state == RECORD_CLAIMED)
		answer = LD_BOOKING_ANSWER_KEPT_BYTES;
	return RECORD_FIXED_BYTES + strlen(r->node) +
	    sodium_base64_ENCODED_LEN(answer, B64_VARIANT);
}

static json_t *
encode_base64(const char *p, size_t len)
{
	char text[sodium_base64_ENCODED_LEN(
	    LD_BOOKING_ANSWER_KEPT_BYTES, B64_VARIANT)];

	sodium_bin2base64(
	    text, sizeof(text), (const unsigned char *)p, len, B64_VARIANT);
	return json_string(text);
}

json_t *
record_json(const struct record *r)
{
	char attempt[17];
	json_t *o = json_object();

	sodium_bin2hex(attempt, sizeof(attempt),
	    (const unsigned char *)&r->attempt, sizeof(r->attempt));
	json_object_set_new(o, "k", json_string(r->key));
	json_object_set_new(o, "b", json_string(r->body));
	json_object_set_new(o, "s", json_string(state_letters[r->state]));
	json_object_set_new(o, "n", json_string(r->node));
	json_object_set_new(o, "a", json_string(attempt));
	json_object_set_new(o, "t", json_integer((json_int_t)r->claimed_ms));
	json_object_set_new(
	    o, "d", json_integer((json_int_t)r->max_duration_ms));
	if (r->state != RECORD_DONE)
		return o;
	json_object_set_new(o, "r", json_integer(r->status));
	if (r->has_answer)
		json_object_set_new(
		    o, "x", encode_base64(r->answer, r->answer_len));
	return o;
}

static bool
get_hash(const json_t *o, const char *name, char out[HASH_HEX_LEN + 1])
{
	const char *text = json_string_value(json_object_get(o, name));

	if (text == NULL || strlen(text) != HASH_HEX_LEN ||
	    strspn(text, "0123456789abcdef") != HASH_HEX_LEN)
		return false;
	memcpy(out, text, HASH_HEX_LEN + 1);
	return true;
}

static bool
get_attempt(const json_t *o, uint64_t *out)
{
	const char *text = json_string_value(json_object_get(o, "a"));
	size_t n = 0;

	return text != NULL && strlen(text) == 2 * sizeof(*out) &&
	    sodium_hex2bin((unsigned char *)out, sizeof(*out), text,
		strlen(text), NULL, &n, NULL) == 0 &&
	    n == sizeof(*out);
}

static bool
get_uint(const json_t *o, const char *name, uint64_t *out)
{
	const json_t *v = json_object_get(o, name);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*out = (uint64_t)json_integer_value(v);
	return true;
}

static bool
get_state(const json_t *o, enum record_state *out)
{
	const char *text = json_string_value(json_object_get(o, "s"));

	for (int i = 0; i < RECORD_STATE_COUNT && text != NULL; i++) {
		if (strcmp(text, state_letters[i]) != 0)
			continue;
		*out = (enum record_state)i;
		return true;
	}
	return false;
}

static bool
get_node(const json_t *o, const char *name, char **out)
{
	const char *text = json_string_value(json_object_get(o, name));

	if (text == NULL || text[0] == '\0' || strlen(text) > NODE_MAX_BYTES)
		return false;
	*out = ld_strdup(text);
	return true;
}

static bool
get_answer(const json_t *o, struct record *out)
{
	const json_t *x = json_object_get(o, "x");
	const json_t *status = json_object_get(o, "r");

	if (out->state != RECORD_DONE)
		return true;
	if (!json_is_integer(status) || json_integer_value(status) < 100 ||
	    json_integer_value(status) > 999)
		return false;
	out->status = (int)json_integer_value(status);
	if (x == NULL)
		return true;
	if (!json_is_string(x))
		return false;
	out->answer = ld_alloc(LD_BOOKING_ANSWER_KEPT_BYTES + 1);
	out->has_answer = true;
	return sodium_base642bin((unsigned char *)out->answer,
		   LD_BOOKING_ANSWER_KEPT_BYTES, json_string_value(x),
		   json_string_length(x), NULL, &out->answer_len, NULL,
		   B64_VARIANT) == 0;
}

bool
record_parse(const json_t *o, struct record *out)
{
	memset(out, 0, sizeof(*out));
	return json_is_object(o) && get_hash(o, "k", out->key) &&
	    get_hash(o, "b", out->body) && get_state(o, &out->state) &&
	    get_node(o, "n", &out->node) && get_attempt(o, &out->attempt) &&
	    get_uint(o, "t", &out->claimed_ms) &&
	    get_uint(o, "d", &out->max_duration_ms) && get_answer(o, out);
}

/* ---- The value of a shard ---- */

size_t
claims_add_bytes(struct claims *c, const struct record *r)
{
	if (c->bytes == 0)
		c->bytes = CLAIMS_FIXED_BYTES;
	c->bytes += record_bytes(r);
	return c->bytes;
}

void
claims_copy(struct claims *to, const struct claims *from)
{
	*to = *from;
	to->writer = from->writer != NULL ? ld_strdup(from->writer) : NULL;
	/* One spare element, as most copies get one more record. */
	to->v = ld_alloc((from->n + 1) * sizeof(*to->v));
	for (size_t i = 0; i < from->n; i++)
		record_copy(&to->v[i], &from->v[i]);
}

void
claims_fini(struct claims *c)
{
	for (size_t i = 0; i < c->n; i++)
		record_fini(&c->v[i]);
	free(c->v);
	free(c->writer);
	memset(c, 0, sizeof(*c));
}

static bool
parse_records(const json_t *list, struct claims *out)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list) || n > RECORDS_MAX)
		return false;
	out->v = ld_alloc(n * sizeof(*out->v));
	for (size_t i = 0; i < n; i++) {
		out->n++;
		if (!record_parse(json_array_get(list, i), &out->v[i]))
			return false;
		claims_add_bytes(out, &out->v[i]);
	}
	return true;
}

bool
claims_parse(struct ld_str bytes, struct claims *out)
{
	json_t *o;
	bool ok;

	memset(out, 0, sizeof(*out));
	if (bytes.len == 0)
		return true;
	o = json_loadb(bytes.p, bytes.len, JSON_REJECT_DUPLICATES, NULL);
	ok = json_is_object(o) && get_node(o, "w", &out->writer) &&
	    get_uint(o, "t", &out->written_ms) &&
	    parse_records(json_object_get(o, "claims"), out);
	json_decref(o);
	return ok;
}

void
claims_write(
    struct claims *c, const char *node, uint64_t wall_ms, struct ld_buf *out)
{
	json_t *o = json_object();
	json_t *list = json_array();
	char *text;

	free(c->writer);
	c->writer = ld_strdup(node);
	c->written_ms = wall_ms;
	json_object_set_new(o, "w", json_string(node));
	json_object_set_new(o, "t", json_integer((json_int_t)wall_ms));
	for (size_t i = 0; i < c->n; i++)
		json_array_append_new(list, record_json(&c->v[i]));
	json_object_set_new(o, "claims", list);
	text = json_dumps(o, JSON_COMPACT);
	ld_buf_adds(out, ld_str_c(text));
	free(text);
	json_decref(o);
}

struct record *
claims_find(const struct claims *c, const char *key)
{
	for (size_t i = 0; i < c->n; i++) {
		if (strcmp(c->v[i].key, key) == 0)
			return &c->v[i];
	}
	return NULL;
}

size_t
claims_prune(struct claims *c, uint64_t now, uint64_t retention_ms)
{
	size_t kept = 0, pruned;

	c->bytes = 0;
	for (size_t i = 0; i < c->n; i++) {
		struct record *r = &c->v[i];

		if (now >= r->claimed_ms + r->max_duration_ms &&
		    now - r->claimed_ms - r->max_duration_ms >= retention_ms) {
			record_fini(r);
			continue;
		}
		claims_add_bytes(c, r);
		c->v[kept] = *r;
		kept++;
	}
	pruned = c->n - kept;
	c->n = kept;
	return pruned;
}
