/*
 * Keeps the placement records up to date. Delegates watch the store and publish
 * the records to the other nodes. Those read the store only at start, at long
 * intervals afterwards, and for a record too large to be published.
 */
#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include "node_internal.h"
#include "ld_peers.h"

#define PART "placement"
#define KEY_PLACEMENT "placement/"
#define FABRIC_MAX_BYTES 64
#define TICK_MS 500
#define RETRY_MS 2000
#define REREAD_MS 30000
#define REREAD_JITTER_MS 30000

/** struct placement_slot - the record of one fabric domain in force here */
struct placement_slot {
	struct placement_slot *next;
	struct ld_placement *placement;
};

/** struct placement_task - watch, reads and the records in force */
struct placement_task {
	struct ld_store_watch watch; /* first member: callbacks cast it */
	struct ld_store_call read;
	struct ld_timer timer;
	struct ld_node *node;
	struct placement_slot *slots;
	struct ld_rand rand;
	uint64_t read_due_ms;
	bool watching;
};

/* ---- Routing ---- */

static void
update_routing(struct ld_node *n, const struct ld_placement *p)
{
	struct ld_route_replica *replicas;
	struct ld_str *members;

	replicas = ld_alloc(p->n_replicas * sizeof(*replicas));
	for (size_t i = 0; i < p->n_replicas; i++) {
		const struct ld_placed_replica *r = &p->replicas[i];

		members = ld_alloc(r->n_members * sizeof(*members));
		for (size_t j = 0; j < r->n_members; j++)
			members[j] = ld_str_c(r->members[j]);
		replicas[i] = (struct ld_route_replica){
		    .id = ld_str_c(r->id),
		    .model = ld_str_c(r->model),
		    .domain = follow_zone(n, r->members[0]),
		    .epoch = (uint64_t)r->epoch,
		    .state = (enum ld_route_state)r->state,
		    .members = members,
		    .member_count = r->n_members,
		};
	}
	ld_route_set_placement(n->route, node_now(n), ld_str_c(p->fabric),
	    (uint64_t)p->revision, replicas, p->n_replicas);
	for (size_t i = 0; i < p->n_replicas; i++)
		free((void *)(uintptr_t)replicas[i].members);
	free(replicas);
}

static struct placement_slot *
find_slot(struct placement_task *t, const char *fabric)
{
	struct placement_slot *s;

	for (s = t->slots; s != NULL; s = s->next)
		if (strcmp(s->placement->fabric, fabric) == 0)
			return s;
	return NULL;
}

/* ---- Adopting ---- */

/* Return: true if the record was newer than the one in force. */
static bool
adopt(struct placement_task *t, struct ld_str json, int64_t revision)
{
	struct ld_placement *p = NULL;
	struct placement_slot *s;

	if (ld_placement_parse(json, revision, &p, NULL) != LD_OK) {
		ld_log(LD_LOG_ERR, PART,
		    "record at revision %lld is refused: %s",
		    (long long)revision, ld_last_message());
		return false;
	}
	s = find_slot(t, p->fabric);
	if (s != NULL && p->revision <= s->placement->revision) {
		ld_placement_free(p);
		return false;
	}
	if (s == NULL) {
		s = ld_alloc(sizeof(*s));
		s->next = t->slots;
		t->slots = s;
	}
	ld_placement_free(s->placement);
	s->placement = p;
	ld_log(LD_LOG_INFO, PART, "record of %s at revision %lld is in force",
	    p->fabric, (long long)p->revision);
	update_routing(t->node, p);
	return true;
}

static void
perform_actions(struct placement_task *t)
{
	completions_act(t->node);
}

/* ---- Publishing ---- */

/* The value is the revision, 8 bytes big endian, and the record if it fits. */

static void
publish(struct placement_task *t, const struct ld_store_kv *kv)
{
	struct ld_str fabric = kv->key;
	uint64_t revision = htobe64((uint64_t)kv->mod_revision);
	struct ld_buf value = {0};

	fabric.p += strlen(KEY_PLACEMENT);
	fabric.len -= strlen(KEY_PLACEMENT);
	ld_buf_add(&value, &revision, sizeof(revision));
	if (value.len + kv->value.len <= LD_PEERS_VALUE_MAX_BYTES)
		ld_buf_adds(&value, kv->value);
	fleet_publish(
	    t->node->fleet, LD_PEERS_REC_PLACEMENT, fabric, ld_buf_str(&value));
	ld_buf_free(&value);
}

static void
process_record(struct placement_task *t, const struct ld_store_kv *kv)
{
	if (!ld_str_starts(kv->key, LD_STR(KEY_PLACEMENT)))
		return;
	adopt(t, kv->value, kv->mod_revision);
	if (t->watching)
		publish(t, kv);
}

static void
on_snapshot(struct ld_store_watch *w, int64_t revision,
    const struct ld_store_kv *kvs, size_t n)
{
	struct placement_task *t = (struct placement_task *)w;

	for (size_t i = 0; i < n; i++)
		process_record(t, &kvs[i]);
	perform_actions(t);
}

static void
on_change(struct ld_store_watch *w, const struct ld_store_kv *kv, bool deleted)
{
	struct placement_task *t = (struct placement_task *)w;

	if (deleted)
		return;
	process_record(t, kv);
	perform_actions(t);
}

static void
on_lost(struct ld_store_watch *w, enum ld_status status)
{
	ld_log(LD_LOG_WARNING, PART, "the watch was lost: %s",
	    ld_status_name(status));
}

void
placement_from_peer(
    struct ld_node *n, struct ld_str fabric, struct ld_str value)
{
	struct placement_task *t = n->placement_task;
	struct placement_slot *s;
	char name[FABRIC_MAX_BYTES];
	uint64_t revision;

	if (value.len < sizeof(revision) || fabric.len >= sizeof(name))
		return;
	memcpy(&revision, value.p, sizeof(revision));
	revision = be64toh(revision);
	memcpy(name, fabric.p, fabric.len);
	name[fabric.len] = '\0';
	s = find_slot(t, name);
	if (s != NULL && (int64_t)revision <= s->placement->revision)
		return;
	if (value.len == sizeof(revision)) {
		t->read_due_ms = node_now(n);
		return;
	}
	value.p += sizeof(revision);
	value.len -= sizeof(revision);
	if (adopt(t, value, (int64_t)revision))
		perform_actions(t);
}

/* ---- Reading the store ---- */

static void
on_read(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct placement_task *t = (struct placement_task *)((char *)call -
	    offsetof(struct placement_task, read));

	if (a->status != LD_OK && a->status != LD_E_NOT_FOUND) {
		t->read_due_ms = node_now(t->node) + RETRY_MS;
		return;
	}
	for (size_t i = 0; i < a->n; i++)
		process_record(t, &a->kvs[i]);
	perform_actions(t);
}

static void
update_watch(struct placement_task *t)
{
	bool delegate = catalogue_is_delegate(t->node);

	if (delegate && !t->watching)
		ld_store_watch_start(
		    t->node->store, &t->watch, LD_STR(KEY_PLACEMENT), true);
	if (!delegate && t->watching)
		ld_store_watch_stop(&t->watch);
	t->watching = delegate;
}

static void
on_timer(struct ld_timer *timer, uint64_t now_ms)
{
	struct placement_task *t = (struct placement_task *)((char *)timer -
	    offsetof(struct placement_task, timer));

	update_watch(t);
	if (now_ms >= t->read_due_ms && t->read.request == NULL) {
		t->read_due_ms = now_ms + REREAD_MS +
		    ld_rand_below(&t->rand, REREAD_JITTER_MS);
		t->read.done = on_read;
		ld_store_read_prefix(
		    t->node->store, &t->read, LD_STR(KEY_PLACEMENT));
	}
	ld_timer_after(ld_loop_timers(t->node->loop), timer, TICK_MS);
}

/* ---- Opening ---- */

void
placement_zones_changed(struct ld_node *n)
{
	struct placement_task *t = n->placement_task;

	if (t == NULL)
		return;
	for (struct placement_slot *s = t->slots; s != NULL; s = s->next)
		update_routing(n, s->placement);
}

void
placement_open(struct ld_node *n)
{
	static const struct ld_store_watch_ops ops = {
	    on_snapshot, on_change, on_lost, NULL, NULL};
	struct placement_task *t = ld_alloc(sizeof(*t));

	t->watch.ops = &ops;
	t->timer.fn = on_timer;
	t->node = n;
	ld_rand_seed_os(&t->rand);
	n->placement_task = t;
	ld_timer_after(ld_loop_timers(n->loop), &t->timer, 0);
}

void
placement_close(struct ld_node *n)
{
	struct placement_task *t = n->placement_task;
	struct placement_slot *s;

	if (t == NULL)
		return;
	ld_store_watch_stop(&t->watch);
	ld_store_cancel(&t->read);
	ld_timer_stop(ld_loop_timers(n->loop), &t->timer);
	while ((s = t->slots) != NULL) {
		t->slots = s->next;
		ld_placement_free(s->placement);
		free(s);
	}
	free(t);
	n->placement_task = NULL;
}
