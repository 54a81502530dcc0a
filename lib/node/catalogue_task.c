/* Keeps the catalogue up to date: performs the actions of lib/catalogue. */
#include <stdlib.h>

#include "node_internal.h"

#define PART "catalogue"
#define KEY_CATALOGUE "catalogue"

/** struct catalogue_task - store access for the freshness module */
struct catalogue_task {
	struct ld_store_watch watch; /* first member: callbacks cast it */
	struct ld_store_call read;
	struct ld_timer timer;
	struct ld_node *node;
	struct ld_fresh *fresh;
	uint64_t read_sent_ms;
};

static void perform_actions(struct catalogue_task *t);

/* ---- Admission ---- */

static void
update_admission(struct ld_node *n)
{
	size_t count = ld_catalogue_count(n->catalogue);
	struct ld_admit_entry *entries = ld_alloc(count * sizeof(*entries));

	for (size_t i = 0; i < count; i++) {
		const struct ld_entry *e = ld_catalogue_at(n->catalogue, i);

		entries[i].owner = ld_str_c(e->owner);
		entries[i].class = (enum ld_admit_class)e->class;
		entries[i].requests_per_s = e->limits.requests_per_s;
		entries[i].tokens_per_s = e->limits.tokens_per_s;
		entries[i].concurrent = e->limits.concurrent;
		entries[i].promised = e->promised.concurrent;
	}
	ld_admit_catalogue(n->admit, node_now(n), entries, count);
	free(entries);
	completions_act(n);
}

static void
adopt(struct ld_node *n, struct ld_catalogue *c)
{
	history_add(n->history, node_now(n), n->catalogue, c);
	ld_catalogue_unref(n->catalogue);
	n->catalogue = ld_catalogue_ref(c);
	ld_log(LD_LOG_NOTICE, PART, "revision %lld is in force",
	    (long long)ld_catalogue_revision(c));
	if (ld_fresh_admits(n->catalogue_task->fresh, node_now(n)))
		update_admission(n);
}

static void
refuse_admission(struct ld_node *n)
{
	ld_log(LD_LOG_WARNING, PART,
	    "admitting nobody: no contact to the store or to enough peers");
	ld_admit_catalogue_lost(n->admit, node_now(n));
}

/* ---- Store ---- */

static void
store_value(struct catalogue_task *t, uint64_t read_sent_ms,
    const struct ld_store_kv *kv)
{
	struct ld_fresh_value v = {.read_sent_ms = read_sent_ms};

	if (kv != NULL) {
		v.revision = kv->mod_revision;
		v.bytes = kv->value;
	}
	ld_fresh_store_value(t->fresh, node_now(t->node), &v);
	perform_actions(t);
}

static void
on_snapshot(struct ld_store_watch *w, int64_t revision,
    const struct ld_store_kv *kvs, size_t n)
{
	store_value((struct catalogue_task *)w, 0, n > 0 ? &kvs[0] : NULL);
}

static void
on_change(struct ld_store_watch *w, const struct ld_store_kv *kv, bool deleted)
{
	store_value((struct catalogue_task *)w, 0, deleted ? NULL : kv);
}

static void
on_lost(struct ld_store_watch *w, enum ld_status status)
{
	struct catalogue_task *t = (struct catalogue_task *)w;

	ld_fresh_store_failed(t->fresh, node_now(t->node), status);
	perform_actions(t);
}

static void
on_read(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct catalogue_task *t = (struct catalogue_task *)((char *)call -
	    offsetof(struct catalogue_task, read));

	if (a->status == LD_OK && a->n > 0)
		store_value(t, t->read_sent_ms, &a->kvs[0]);
	else if (a->status == LD_OK || a->status == LD_E_NOT_FOUND)
		store_value(t, t->read_sent_ms, NULL);
	else
		ld_fresh_store_failed(t->fresh, node_now(t->node), a->status);
	perform_actions(t);
}

static void
read_store(struct catalogue_task *t)
{
	if (t->read.request != NULL)
		return;
	t->read_sent_ms = node_now(t->node);
	t->read.done = on_read;
	ld_store_read(t->node->store, &t->read, LD_STR(KEY_CATALOGUE));
}

/* ---- Actions ---- */

static void
perform_action(struct catalogue_task *t, const struct ld_fresh_action *a)
{
	struct ld_node *n = t->node;

	switch (a->kind) {
	case LD_FRESH_WATCH:
		ld_store_watch_start(
		    n->store, &t->watch, LD_STR(KEY_CATALOGUE), false);
		break;
	case LD_FRESH_UNWATCH:
		ld_store_watch_stop(&t->watch);
		break;
	case LD_FRESH_READ:
		read_store(t);
		break;
	case LD_FRESH_ADOPT:
		adopt(n, a->catalogue);
		break;
	case LD_FRESH_OFFER:
		fleet_offer(n->fleet, a->revision, a->bytes);
		break;
	case LD_FRESH_CONFIRM:
		fleet_confirm(n->fleet, a->revision);
		break;
	case LD_FRESH_ADMIT:
		if (n->catalogue != NULL)
			update_admission(n);
		break;
	case LD_FRESH_REFUSE:
		refuse_admission(n);
		break;
	case LD_FRESH_ALARM:
		ld_log(LD_LOG_ERR, PART, "alarms are now %#x", a->alarms);
		break;
	}
}

static void
perform_actions(struct catalogue_task *t)
{
	struct ld_fresh_action a;

	while (ld_fresh_next_action(t->fresh, &a))
		perform_action(t, &a);
	ld_timer_start(ld_loop_timers(t->node->loop), &t->timer,
	    ld_fresh_next_due(t->fresh));
}

static void
on_timer(struct ld_timer *timer, uint64_t now_ms)
{
	struct catalogue_task *t = (struct catalogue_task *)((char *)timer -
	    offsetof(struct catalogue_task, timer));

	ld_fresh_tick(t->fresh, node_now(t->node));
	perform_actions(t);
}

/* ---- From other tasks ---- */

void
catalogue_members(struct ld_node *n, const struct ld_fresh_node *nodes,
    size_t count, size_t counted)
{
	struct catalogue_task *t = n->catalogue_task;

	ld_fresh_members(t->fresh, node_now(n), nodes, count, counted);
	perform_actions(t);
}

void
catalogue_peers(struct ld_node *n, uint64_t acked_ms, size_t others,
    size_t reported, int64_t newest)
{
	struct catalogue_task *t = n->catalogue_task;

	if (acked_ms > 0)
		ld_fresh_peer_contact(t->fresh, node_now(n), acked_ms);
	ld_fresh_peer_revisions(
	    t->fresh, node_now(n), others, reported, newest);
	perform_actions(t);
}

void
catalogue_from_peer(struct ld_node *n, int64_t revision, struct ld_str bytes)
{
	struct catalogue_task *t = n->catalogue_task;

	ld_fresh_peer_value(t->fresh, node_now(n), revision, bytes);
	perform_actions(t);
}

void
catalogue_written(struct ld_node *n, int64_t revision, struct ld_str bytes)
{
	struct ld_fresh_value v = {.revision = revision, .bytes = bytes};
	struct catalogue_task *t = n->catalogue_task;

	ld_fresh_store_value(t->fresh, node_now(n), &v);
	perform_actions(t);
}

bool
catalogue_admits(const struct ld_node *n)
{
	return n->catalogue != NULL &&
	    ld_fresh_admits(n->catalogue_task->fresh, node_now(n));
}

unsigned int
catalogue_alarms(const struct ld_node *n)
{
	return ld_fresh_alarms(n->catalogue_task->fresh);
}

bool
catalogue_is_delegate(const struct ld_node *n)
{
	return ld_fresh_is_delegate(n->catalogue_task->fresh);
}

/* ---- Opening ---- */

void
catalogue_open(struct ld_node *n)
{
	static const struct ld_store_watch_ops ops = {
	    on_snapshot, on_change, on_lost, NULL, NULL};
	const struct ld_settings *s = n->settings;
	struct catalogue_task *t = ld_alloc(sizeof(*t));
	struct ld_fresh_config config = ld_fresh_defaults();
	struct ld_buf self = {0};
	struct ld_rand rand;

	ld_rand_seed_os(&rand);
	fleet_self_name(n->fleet, &self);
	config.self = ld_buf_str(&self);
	config.cut_off_ms = s->fleet_cut_off_ms;
	config.seed = ld_rand_u64(&rand);
	for (size_t i = 0; i < s->peers_seeds.count; i++)
		if (!ld_str_eq(ld_str_c(s->peers_seeds.at[i].text),
			ld_str_c(s->peers_listen.text)))
			config.expects_peers = true;
	t->watch.ops = &ops;
	t->timer.fn = on_timer;
	t->node = n;
	t->fresh = ld_fresh_new(&config, node_now(n));
	n->catalogue_task = t;
	ld_buf_free(&self);
	perform_actions(t);
}

void
catalogue_close(struct ld_node *n)
{
	struct catalogue_task *t = n->catalogue_task;

	if (t == NULL)
		return;
	ld_store_watch_stop(&t->watch);
	ld_store_cancel(&t->read);
	ld_timer_stop(ld_loop_timers(n->loop), &t->timer);
	ld_fresh_free(t->fresh);
	free(t);
	n->catalogue_task = NULL;
	ld_catalogue_unref(n->catalogue);
	n->catalogue = NULL;
}
