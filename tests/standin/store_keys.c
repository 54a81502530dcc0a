/* Keys, values and their history in the store stand-in. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

#define NUMBER_MAX 24

struct ld_buf
store_b64(json_t *j)
{
	const char *text = json_string_value(j);
	size_t len = text != NULL ? strlen(text) : 0;
	struct ld_buf b = {0};

	ld_buf_reserve(&b, len + 1);
	if (len > 0 &&
	    sodium_base642bin((unsigned char *)b.p, b.cap, text, len, NULL,
		&b.len, NULL, sodium_base64_VARIANT_ORIGINAL) != 0)
		b.len = 0;
	return b;
}

json_t *
store_to_b64(const struct ld_buf *b)
{
	size_t max =
	    sodium_base64_encoded_len(b->len, sodium_base64_VARIANT_ORIGINAL);
	char *text = ld_alloc(max);
	json_t *j;

	sodium_bin2base64(text, max, (const unsigned char *)b->p, b->len,
	    sodium_base64_VARIANT_ORIGINAL);
	j = json_string(text);
	free(text);
	return j;
}

json_t *
store_str64(int64_t n)
{
	char text[NUMBER_MAX];

	snprintf(text, sizeof(text), "%lld", (long long)n);
	return json_string(text);
}

int64_t
store_int64(json_t *j)
{
	if (json_is_string(j))
		return strtoll(json_string_value(j), NULL, 10);
	return json_integer_value(j);
}

json_t *
store_header(void)
{
	return json_pack("{s:s,s:s,s:o,s:s}", "cluster_id", store.cluster_id,
	    "member_id", "1", "revision", store_str64(store.revision),
	    "raft_term", "2");
}

static int
compare(const struct ld_buf *a, const struct ld_buf *b)
{
	size_t n = a->len < b->len ? a->len : b->len;
	int c = n > 0 ? memcmp(a->p, b->p, n) : 0;

	if (c != 0)
		return c;
	return a->len < b->len ? -1 : a->len > b->len;
}

struct key_range
store_key_range(json_t *j)
{
	struct key_range r = {.key = store_b64(json_object_get(j, "key"))};

	if (json_object_get(j, "range_end") != NULL)
		r.end = store_b64(json_object_get(j, "range_end"));
	return r;
}

void
store_key_range_free(struct key_range *r)
{
	ld_buf_free(&r->key);
	ld_buf_free(&r->end);
}

bool
store_in_range(const struct key_range *r, const struct ld_buf *key)
{
	if (r->end.len == 0)
		return compare(key, &r->key) == 0;
	if (compare(key, &r->key) < 0)
		return false;
	/* A single zero byte means: up to the last key. */
	if (r->end.len == 1 && r->end.p[0] == '\0')
		return true;
	return compare(key, &r->end) < 0;
}

const struct store_event *
store_last(const struct ld_buf *key, int64_t revision)
{
	for (size_t i = store.event_count; i > 0; i--) {
		const struct store_event *e = &store.events[i - 1];

		if (e->revision <= revision && compare(&e->key, key) == 0)
			return e->version > 0 ? e : NULL;
	}
	return NULL;
}

json_t *
store_kv(const struct store_event *e)
{
	json_t *kv = json_pack("{s:o,s:o}", "key", store_to_b64(&e->key),
	    "mod_revision", store_str64(e->revision));

	if (e->version == 0)
		return kv;
	json_object_set_new(
	    kv, "create_revision", store_str64(e->create_revision));
	json_object_set_new(kv, "version", store_str64(e->version));
	json_object_set_new(kv, "value", store_to_b64(&e->value));
	if (e->lease != 0)
		json_object_set_new(kv, "lease", store_str64(e->lease));
	return kv;
}

static int
by_key(const void *a, const void *b)
{
	const struct store_event *const *x = a;
	const struct store_event *const *y = b;

	return compare(&(*x)->key, &(*y)->key);
}

/* Live events in the range as of @revision, in key order; returns how many. */
static size_t
collect(
    const struct key_range *r, int64_t revision, const struct store_event **out)
{
	size_t n = 0;

	for (size_t i = 0; i < store.event_count; i++) {
		const struct store_event *e = &store.events[i];

		if (store_in_range(r, &e->key) &&
		    store_last(&e->key, revision) == e)
			out[n++] = e;
	}
	qsort(out, n, sizeof(*out), by_key);
	return n;
}

json_t *
store_range(json_t *request)
{
	struct key_range r = store_key_range(request);
	int64_t limit = store_int64(json_object_get(request, "limit"));
	int64_t at = store_int64(json_object_get(request, "revision"));
	const struct store_event **found =
	    ld_alloc(store.event_count * sizeof(*found));
	json_t *kvs = json_array();
	json_t *answer = json_object();
	size_t n;

	if (at == 0)
		at = store.stale_revision != 0 ? store.stale_revision
					       : store.revision;
	n = collect(&r, at, found);
	for (size_t i = 0; i < n && (limit == 0 || i < (size_t)limit); i++)
		json_array_append_new(kvs, store_kv(found[i]));
	if (json_array_size(kvs) < n)
		json_object_set_new(answer, "more", json_true());
	if (n > 0) {
		json_object_set(answer, "kvs", kvs);
		json_object_set_new(answer, "count", store_str64((int64_t)n));
	}
	json_decref(kvs);
	free(found);
	store_key_range_free(&r);
	return answer;
}

static void
append(struct store_event e)
{
	store.events = ld_realloc(
	    store.events, (store.event_count + 1) * sizeof(*store.events));
	store.events[store.event_count++] = e;
}

void
store_put(struct ld_buf key, struct ld_buf value, int64_t lease)
{
	const struct store_event *old = store_last(&key, store.revision + 1);
	struct store_event e = {
	    .key = key,
	    .value = value,
	    .revision = store.revision + 1,
	    .create_revision =
		old != NULL ? old->create_revision : store.revision + 1,
	    .version = old != NULL ? old->version + 1 : 1,
	    .lease = lease,
	};

	append(e);
}

int64_t
store_delete(const struct key_range *r)
{
	const struct store_event **found =
	    ld_alloc(store.event_count * sizeof(*found));
	size_t n = collect(r, store.revision + 1, found);
	struct ld_buf *keys = ld_alloc(n * sizeof(*keys));

	/* append() moves the events: copy the keys first. */
	for (size_t i = 0; i < n; i++)
		ld_buf_adds(&keys[i], ld_buf_str(&found[i]->key));
	for (size_t i = 0; i < n; i++)
		append((struct store_event){
		    .key = keys[i], .revision = store.revision + 1});
	free(keys);
	free(found);
	return (int64_t)n;
}

void
store_commit(void)
{
	size_t n = store.event_count;

	if (n == 0 || store.events[n - 1].revision <= store.revision)
		return;
	store.revision++;
	store_watch_deliver();
}
