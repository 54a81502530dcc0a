/* Stand-in for the users' store: reads, watches, leases, transactions. */
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_kv_store.h"

#define BODY_MAX 1048576
#define CONNECTIONS_MAX 256
#define IDLE_MS 60000
#define HEAD_MS 10000
#define ITEMS_MAX 1200
#define LEASES_MAX 4096
#define CALL "/lavenderdrift/kv-"

/** struct item - one key; @deleted: kept for watches of past revisions */
struct item {
	char *key;
	char *value;
	int64_t revision;
	int64_t created;
	int64_t lease;
	bool deleted;
};

/** struct lease - a lease, by its id; @ttl_ms: 0 once it has ended */
struct lease {
	uint64_t ttl_ms;
	uint64_t ends_ms;
};

/** struct watch - a call that is pending until a change */
struct watch {
	struct watch *next;
	struct ld_exchange *x;
	int64_t after;
	uint64_t until_ms;
};

struct ld_kv_store {
	struct ld_handler handler; /* first member */
	struct ld_loop *loop;
	struct ld_listener *listener;
	struct ld_timer timer;
	struct item items[ITEMS_MAX];
	size_t count;
	int64_t revision;
	int64_t oldest; /* history starts after this revision */
	int64_t last_lease;
	struct lease leases[LEASES_MAX];
	bool leases_expire;
	int64_t era;
	struct item older[ITEMS_MAX]; /* state saved by ld_kv_store_mark() */
	size_t older_count;
	int64_t older_revision;
	struct watch *watches;
	int64_t written; /* revision of the newest write of the test */
	int64_t followed; /* a watch goes on after this revision */
	bool silent;
	bool muted; /* watches receive no events */
	size_t page; /* most events in an answer to a watch, 0: all */
	bool reads_refused; /* but serializable ones */
	json_t *copy; /* answer to serializable reads, or NULL */
	unsigned int copy_reads;
};

/* ---- Items ---- */

static struct item *
find(const struct ld_kv_store *s, const char *key)
{
	for (size_t i = 0; i < s->count; i++)
		if (strcmp(s->items[i].key, key) == 0)
			return (struct item *)&s->items[i];
	return NULL;
}

static void
answer(const struct ld_kv_store *s, struct ld_exchange *x, unsigned int code,
    json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT), era[24];
	const char *headers[] = {"Store-Era", era, NULL};

	snprintf(era, sizeof(era), "%lld", (long long)s->era);
	ld_exchange_answer(
	    x, code, "application/json", headers, ld_str_c(text));
	free(text);
	json_decref(o);
}

static json_t *
item_json(const struct item *it)
{
	size_t size;
	char *text;
	json_t *o = json_pack("{s:s, s:I, s:I, s:I}", "key", it->key,
	    "revision", (json_int_t)it->revision, "created",
	    (json_int_t)it->created, "lease", (json_int_t)it->lease);

	if (it->deleted) {
		json_object_set_new(o, "deleted", json_true());
		return o;
	}
	size = sodium_base64_encoded_len(
	    strlen(it->value), sodium_base64_VARIANT_ORIGINAL);
	text = ld_alloc(size);
	sodium_bin2base64(text, size, (const unsigned char *)it->value,
	    strlen(it->value), sodium_base64_VARIANT_ORIGINAL);
	json_object_set_new(o, "value", json_string(text));
	free(text);
	return o;
}

static json_t *
items_json(const struct ld_kv_store *s)
{
	json_t *list = json_array();

	for (size_t i = 0; i < s->count; i++)
		if (!s->items[i].deleted)
			json_array_append_new(list, item_json(&s->items[i]));
	return list;
}

/* ---- Watches ---- */

static int
by_revision(const void *a, const void *b)
{
	const struct item *left = *(const struct item *const *)a;
	const struct item *right = *(const struct item *const *)b;

	return left->revision < right->revision ? -1 : 1;
}

/* The first changes after @after; *at: to continue from. */
static json_t *
page_since(const struct ld_kv_store *s, int64_t after, int64_t *at)
{
	const struct item *changed[ITEMS_MAX] = {NULL};
	json_t *list = json_array();
	size_t n = 0;

	for (size_t i = 0; i < s->count; i++)
		if (s->items[i].revision > after)
			changed[n++] = &s->items[i];
	qsort(changed, n, sizeof(changed[0]), by_revision);
	*at = s->revision;
	if (s->page > 0 && n > s->page) {
		n = s->page;
		*at = changed[n - 1]->revision;
	}
	for (size_t i = 0; i < n; i++)
		json_array_append_new(list, item_json(changed[i]));
	return list;
}

static void
answer_page(const struct ld_kv_store *s, struct watch *w)
{
	int64_t at;
	json_t *events = page_since(s, w->after, &at);

	answer(s, w->x, 200,
	    json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)at));
}

static void
end_watch(struct ld_kv_store *s, struct watch *w)
{
	ld_exchange_set_user_data(w->x, NULL);
	if (s->muted)
		answer(s, w->x, 200,
		    json_pack(
			"{s:[], s:I}", "events", "at", (json_int_t)w->after));
	else if (w->after < s->oldest || w->after > s->revision)
		answer(s, w->x, 410, json_object());
	else
		answer_page(s, w);
	free(w);
}

static void
look_at_watches(struct ld_kv_store *s)
{
	uint64_t now = ld_loop_now(s->loop);
	struct watch **p = &s->watches;

	while (*p != NULL && !s->silent) {
		struct watch *w = *p;

		if (now < w->until_ms &&
		    (s->muted ||
			(w->after == s->revision && w->after >= s->oldest))) {
			p = &w->next;
			continue;
		}
		*p = w->next;
		end_watch(s, w);
	}
}

static void end_lease(struct ld_kv_store *s, int64_t lease);

static void
expire_leases(struct ld_kv_store *s, uint64_t now_ms)
{
	for (int64_t i = 1; i <= s->last_lease; i++)
		if (s->leases[i].ttl_ms != 0 && now_ms >= s->leases[i].ends_ms)
			end_lease(s, i);
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct ld_kv_store *s = (struct ld_kv_store *)((char *)t -
	    offsetof(struct ld_kv_store, timer));

	if (s->leases_expire)
		expire_leases(s, now_ms);
	look_at_watches(s);
	ld_timer_after(ld_loop_timers(s->loop), t, 20);
}

static uint64_t
query_number(struct ld_exchange *x, const char *name)
{
	const char *at = strstr(ld_exchange_target(x), name);

	return at != NULL ? strtoull(at + strlen(name), NULL, 10) : 0;
}

static void
start_watch(struct ld_kv_store *s, struct ld_exchange *x)
{
	struct watch *w = ld_alloc(sizeof(*w));

	w->x = x;
	w->after = (int64_t)query_number(x, "after=");
	w->until_ms = ld_loop_now(s->loop) + query_number(x, "wait_ms=");
	w->next = s->watches;
	s->watches = w;
	if (w->after > s->followed)
		s->followed = w->after;
	ld_exchange_set_user_data(x, w);
}

/* ---- Writes ---- */

static void
write_item(
    struct ld_kv_store *s, const char *key, const char *value, int64_t lease)
{
	struct item *it = find(s, key);

	if (it == NULL) {
		it = &s->items[s->count++];
		*it = (struct item){.key = ld_strdup(key), .deleted = true};
	}
	free(it->value);
	it->revision = ++s->revision;
	if (it->deleted)
		it->created = it->revision;
	it->deleted = value == NULL;
	it->value = value != NULL ? ld_strdup(value) : NULL;
	it->lease = lease;
}

static bool
holds(struct ld_kv_store *s, const json_t *expected)
{
	for (size_t i = 0; i < json_array_size(expected); i++) {
		const json_t *row = json_array_get(expected, i);
		struct item *it =
		    find(s, json_string_value(json_object_get(row, "key")));
		int64_t revision =
		    it != NULL && !it->deleted ? it->revision : 0;

		if (revision !=
		    json_integer_value(json_object_get(row, "revision")))
			return false;
	}
	return true;
}

static void
put_row(struct ld_kv_store *s, const json_t *row)
{
	const char *b64 = json_string_value(json_object_get(row, "value"));
	char value[4096];
	size_t n = 0;

	sodium_base642bin((unsigned char *)value, sizeof(value) - 1, b64,
	    strlen(b64), NULL, &n, NULL, sodium_base64_VARIANT_ORIGINAL);
	value[n] = '\0';
	write_item(s, json_string_value(json_object_get(row, "key")), value,
	    json_integer_value(json_object_get(row, "lease")));
}

static void
transact(struct ld_kv_store *s, struct ld_exchange *x, const json_t *body)
{
	const json_t *put = json_object_get(body, "put");
	const json_t *del = json_object_get(body, "delete");

	if (!holds(s, json_object_get(body, "expected"))) {
		answer(s, x, 412, json_pack("{s:[]}", "items"));
		return;
	}
	for (size_t i = 0; i < json_array_size(put); i++)
		put_row(s, json_array_get(put, i));
	for (size_t i = 0; i < json_array_size(del); i++)
		write_item(
		    s, json_string_value(json_array_get(del, i)), NULL, 0);
	answer(
	    s, x, 200, json_pack("{s:I}", "revision", (json_int_t)s->revision));
}

static void
end_lease(struct ld_kv_store *s, int64_t lease)
{
	if (lease > 0 && lease < LEASES_MAX)
		s->leases[lease].ttl_ms = 0;
	for (size_t i = 0; i < s->count; i++)
		if (s->items[i].lease == lease && !s->items[i].deleted)
			write_item(s, s->items[i].key, NULL, 0);
}

/* ---- Calls ---- */

static bool
is_call(struct ld_exchange *x, const char *name)
{
	return ld_str_starts(ld_str_c(ld_exchange_path(x)), ld_str_c(name));
}

static bool
is_read(struct ld_exchange *x)
{
	return is_call(x, CALL "key") || is_call(x, CALL "range");
}

static void
grant_lease(struct ld_kv_store *s, struct ld_exchange *x, uint64_t ttl_ms)
{
	if (s->last_lease + 1 == LEASES_MAX)
		abort();
	s->leases[++s->last_lease] = (struct lease){
	    .ttl_ms = ttl_ms, .ends_ms = ld_loop_now(s->loop) + ttl_ms};
	answer(s, x, 200,
	    json_pack("{s:I, s:I}", "lease", (json_int_t)s->last_lease,
		"ttl_ms", (json_int_t)ttl_ms));
}

static void
renew_lease(struct ld_kv_store *s, struct ld_exchange *x)
{
	long long lease =
	    strtoll(ld_exchange_path(x) + sizeof(CALL "keep/") - 1, NULL, 10);
	struct lease *l;

	if (!s->leases_expire) {
		answer(s, x, 200, json_pack("{s:i}", "ttl_ms", 2000));
		return;
	}
	if (lease <= 0 || lease > s->last_lease ||
	    s->leases[lease].ttl_ms == 0) {
		answer(s, x, 404, json_object());
		return;
	}
	l = &s->leases[lease];
	l->ends_ms = ld_loop_now(s->loop) + l->ttl_ms;
	answer(s, x, 200,
	    json_pack("{s:I, s:I}", "lease", (json_int_t)lease, "ttl_ms",
		(json_int_t)l->ttl_ms));
}

static void
handle_post(struct ld_kv_store *s, struct ld_exchange *x)
{
	struct ld_str text = ld_exchange_body(x);
	json_t *body = json_loadb(text.p, text.len, 0, NULL);
	json_t *ttl = json_object_get(body, "ttl_ms");

	if (is_call(x, CALL "txn"))
		transact(s, x, body);
	else if (is_call(x, CALL "lease"))
		grant_lease(s, x, (uint64_t)json_integer_value(ttl));
	else
		renew_lease(s, x);
	json_decref(body);
}

static json_t *
range_json(const struct ld_kv_store *s)
{
	return json_pack("{s:o, s:b, s:I}", "items", items_json(s), "has_more",
	    0, "at", (json_int_t)s->revision);
}

static void
answer_key(struct ld_kv_store *s, struct ld_exchange *x)
{
	const char *key = strstr(ld_exchange_target(x), "key=");
	const struct item *it = key != NULL ? find(s, key + 4) : NULL;
	json_t *o;

	if (it == NULL || it->deleted) {
		answer(s, x, 404, json_object());
		return;
	}
	o = item_json(it);
	json_object_set_new(o, "at", json_integer((json_int_t)s->revision));
	answer(s, x, 200, o);
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct ld_kv_store *s = (struct ld_kv_store *)h;

	if (s->silent)
		return;
	if (is_call(x, CALL "watch"))
		start_watch(s, x);
	else if (is_call(x, CALL "range") && s->copy != NULL &&
	    query_number(x, "serializable=") == 1) {
		s->copy_reads++;
		answer(s, x, 200, json_incref(s->copy));
	} else if (is_read(x) && s->reads_refused &&
	    query_number(x, "serializable=") != 1)
		answer(s, x, 503, json_object());
	else if (is_call(x, CALL "key"))
		answer_key(s, x);
	else if (is_call(x, CALL "range"))
		answer(s, x, 200, range_json(s));
	else if (strcmp(ld_exchange_method(x), "DELETE") == 0) {
		end_lease(s,
		    strtoll(strrchr(ld_exchange_path(x), '/') + 1, NULL, 10));
		answer(s, x, 200, json_object());
	} else
		handle_post(s, x);
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
	struct ld_kv_store *s = (struct ld_kv_store *)h;

	for (struct watch **p = &s->watches; *p != NULL; p = &(*p)->next) {
		struct watch *w = *p;

		if (w->x != x)
			continue;
		*p = w->next;
		free(w);
		return;
	}
}

/* ---- For the tests ---- */

struct ld_kv_store *
ld_kv_store_new(struct ld_loop *loop, uint16_t port)
{
	static const struct ld_handler_ops ops = {
	    .request = on_request, .client_disconnected = on_gone};
	struct ld_kv_store *s = ld_alloc(sizeof(*s));
	struct ld_listener_config c = {
	    .host = "127.0.0.1",
	    .port = port,
	    .max_body_bytes = BODY_MAX,
	    .max_connections = CONNECTIONS_MAX,
	    .idle_timeout_ms = IDLE_MS,
	    .head_timeout_ms = HEAD_MS,
	};

	s->handler.ops = &ops;
	s->loop = loop;
	s->revision = 1;
	s->era = 1;
	s->timer.fn = on_timer;
	if (ld_listener_new(loop, &c, &s->handler, &s->listener) != LD_OK) {
		free(s);
		return NULL;
	}
	ld_timer_after(ld_loop_timers(loop), &s->timer, 0);
	return s;
}

static void
free_items(struct item *items, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		free(items[i].key);
		free(items[i].value);
	}
}

static void
copy_items(const struct item *from, size_t n, struct item *to)
{
	for (size_t i = 0; i < n; i++) {
		to[i] = from[i];
		to[i].key = ld_strdup(from[i].key);
		to[i].value =
		    from[i].value != NULL ? ld_strdup(from[i].value) : NULL;
	}
}

void
ld_kv_store_free(struct ld_kv_store *s)
{
	ld_listener_free(s->listener);
	ld_timer_stop(ld_loop_timers(s->loop), &s->timer);
	free_items(s->items, s->count);
	free_items(s->older, s->older_count);
	json_decref(s->copy);
	free(s);
}

void
ld_kv_store_put(struct ld_kv_store *s, const char *key, const char *value)
{
	write_item(s, key, value, 0);
	s->written = s->revision;
}

void
ld_kv_store_delete(struct ld_kv_store *s, const char *key)
{
	write_item(s, key, NULL, 0);
	s->written = s->revision;
}

bool
ld_kv_store_is_followed(const struct ld_kv_store *s)
{
	return s->followed >= s->written;
}

void
ld_kv_store_silence(struct ld_kv_store *s, bool silent)
{
	s->silent = silent;
}

void
ld_kv_store_mute(struct ld_kv_store *s, bool muted)
{
	s->muted = muted;
}

void
ld_kv_store_page_watches(struct ld_kv_store *s, size_t most)
{
	s->page = most;
}

void
ld_kv_store_refuse_reads(struct ld_kv_store *s, bool refused)
{
	s->reads_refused = refused;
}

void
ld_kv_store_forget(struct ld_kv_store *s)
{
	s->oldest = ++s->revision;
}

void
ld_kv_store_keep_copy(struct ld_kv_store *s)
{
	json_decref(s->copy);
	s->copy = range_json(s);
}

unsigned int
ld_kv_store_copy_reads(const struct ld_kv_store *s)
{
	return s->copy_reads;
}

bool
ld_kv_store_has(const struct ld_kv_store *s, const char *key)
{
	const struct item *it = find(s, key);

	return it != NULL && !it->deleted;
}

void
ld_kv_store_expire_leases(struct ld_kv_store *s)
{
	s->leases_expire = true;
}

const char *
ld_kv_store_value(const struct ld_kv_store *s, const char *key)
{
	const struct item *it = find(s, key);

	return it != NULL && !it->deleted ? it->value : NULL;
}

void
ld_kv_store_mark(struct ld_kv_store *s)
{
	free_items(s->older, s->older_count);
	copy_items(s->items, s->count, s->older);
	s->older_count = s->count;
	s->older_revision = s->revision;
}

void
ld_kv_store_return_older(struct ld_kv_store *s)
{
	free_items(s->items, s->count);
	copy_items(s->older, s->older_count, s->items);
	s->count = s->older_count;
	s->revision = s->older_revision;
	s->written = s->revision;
	s->followed = 0;
	s->era++;
}
