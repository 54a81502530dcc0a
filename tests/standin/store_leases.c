/* Leases of the store stand-in; expiry uses the loop's monotonic clock. */
#include <stdlib.h>

#include "store_internal.h"

#define FIRST_LEASE_ID 7587000
#define MS_PER_S 1000

struct lease {
	struct lease *next;
	int64_t id;
	int64_t ttl_s;
	struct ld_timer timer;
};

static struct lease *leases;
static int64_t next_id = FIRST_LEASE_ID;

static struct lease *
find(int64_t id)
{
	struct lease *l = leases;

	while (l != NULL && l->id != id)
		l = l->next;
	return l;
}

bool
store_lease_exists(int64_t id)
{
	return find(id) != NULL;
}

static void
delete_key(const struct ld_buf *key)
{
	struct key_range r = {0};

	ld_buf_adds(&r.key, ld_buf_str(key));
	store_delete(&r);
	store_key_range_free(&r);
}

/* Ends the lease and deletes its keys in one revision. */
static void
end_lease(struct lease *l)
{
	struct lease **p;
	size_t n = store.event_count;

	for (p = &leases; *p != l; p = &(*p)->next)
		;
	*p = l->next;
	ld_timer_stop(ld_loop_timers(store.loop), &l->timer);
	for (size_t i = 0; i < n; i++) {
		const struct store_event *e = &store.events[i];

		if (e->lease == l->id &&
		    store_last(&e->key, store.revision) == e)
			delete_key(&store.events[i].key);
	}
	free(l);
	store_commit();
}

static void
on_expiry(struct ld_timer *t, uint64_t now_ms)
{
	end_lease((struct lease *)((char *)t - offsetof(struct lease, timer)));
}

static void
renew(struct lease *l)
{
	ld_timer_start(ld_loop_timers(store.loop), &l->timer,
	    ld_loop_now(store.loop) + (uint64_t)l->ttl_s * MS_PER_S);
}

static json_t *
describe(int64_t id, int64_t ttl_s)
{
	json_t *j = json_pack(
	    "{s:o,s:o}", "header", store_header(), "ID", store_str64(id));

	if (ttl_s > 0)
		json_object_set_new(j, "TTL", store_str64(ttl_s));
	return j;
}

json_t *
store_lease_grant(json_t *request)
{
	struct lease *l = ld_alloc(sizeof(*l));

	l->id = store_int64(json_object_get(request, "ID"));
	if (l->id == 0)
		l->id = next_id++;
	l->ttl_s = store_int64(json_object_get(request, "TTL"));
	if (l->ttl_s < 1)
		l->ttl_s = 1;
	l->timer.fn = on_expiry;
	l->next = leases;
	leases = l;
	renew(l);
	return describe(l->id, l->ttl_s);
}

json_t *
store_lease_keepalive(json_t *request)
{
	int64_t id = store_int64(json_object_get(request, "ID"));
	struct lease *l = find(id);

	if (l != NULL)
		renew(l);
	return json_pack(
	    "{s:o}", "result", describe(id, l != NULL ? l->ttl_s : 0));
}

json_t *
store_lease_revoke(json_t *request)
{
	struct lease *l = find(store_int64(json_object_get(request, "ID")));

	if (l == NULL)
		return NULL;
	end_lease(l);
	return json_pack("{s:o}", "header", store_header());
}
