/*
 * The local copy of the store: configuration, servers, the control key. One
 * watch over all keys delivers changes, and bounds the age of the copy.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "leader_records.h"

/* Longest wait of one poll of the watch, ms. An answer is as old as its poll,
 * so that in a quiet period the API keys are known to be current as of two
 * waits and a pause ago at worst: half of the time for which they are accepted,
 * where that is 3,500 ms. */
#define WATCH_WAIT_MS 800
/* Pause between polls, so that changes that follow closely arrive together: the
 * leader (the node that holds the control lease) acts on them at once, the
 * other nodes pause, longer the more nodes there are, since each poll loads the
 * store; the pause stays at its minimum while peers follow this node. Well
 * below the bounds for draining servers and new configurations, ms. */
#define WATCH_PAUSE_HOLDER_MS 40
#define WATCH_PAUSE_MIN_MS 150
#define WATCH_PAUSE_PER_NODE_MS 20
/* Pause between pages of changes, for each node: after an outage all nodes read
 * them, of some 150 kB each, over a store's link of 1 Gbit/s, ms. */
#define PAGE_PAUSE_PER_NODE_MS 2
/* While all nodes start for the first time each node's entry is a change, and
 * followers are about to find their delegates, ms. */
#define WATCH_PAUSE_STARTUP_MS 800
#define STARTUP_MS 3000
/* Upper limit of the pause, as a part of the bounds for draining servers and
 * configurations. */
#define WATCH_PAUSE_BOUND_PERCENT 45
/* Longest wait of a poll while peers follow, ms: they learn of its end
 * later. */
#define WATCH_WAIT_DELEGATE_MS 400
#define CALL_TIMEOUT_MS 1000
/* Timeout of a poll beyond its wait, ms: the store at a sixtieth of its usual
 * speed, and one lost packet. Shorter than that of other calls, as a poll that
 * hangs in an outage delays by that much the moment at which its end is
 * noticed. */
#define POLL_TIMEOUT_MS 600
#define CONNECT_TIMEOUT_MS 500
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 400
/* The longest backoff of a node that follows another: in an outage the delegate
 * polls for all, and its followers learn of the end within some hundred ms. */
#define BACKOFF_FOLLOWER_MAX_MS 2500
#define CALLS_PER_S 20
#define CALLS_BURST 60
/* API keys are no longer accepted this long before their bound, ms: the copy
 * may be a second older than stated while the store compacts its history, and
 * the request still has to reach a server. */
#define KEYS_MARGIN_MS 1500
/* Servers whose entries expired in an outage write them again within 2 s. */
#define ENTRY_REWRITE_MS 2100
/* Interval at which doubtful and removed servers are checked and the poll
 * parameters are set, ms: a tenth of the doubt period. */
#define SWEEP_MS 200
/* A watch that is lost for less time is no outage in which entries expire,
 * ms. */
#define OUTAGE_MIN_MS 800
/* The copy is seldom older than the waits and pauses on its way; beyond that,
 * with this slack, the store was unavailable, ms. For a following node: two
 * waits and the pause of the delegate, the wait of its answer and a pause. */
#define AGE_SLACK_MS 300
#define FOLLOWED_AGE_MS 1550
/* After a failure of its own watch a node is no delegate for this long, ms: an
 * outage or partition takes some seconds, and peers should not switch back and
 * forth. */
#define NOT_DELEGATE_MS 5000

/** struct feed - the watch and the state read by it */
struct feed {
	struct ld_store_watch watch; /* first member */
	struct relay *relay;
	uint64_t current_ms; /* all changes up to then were applied */
	bool loaded;
	uint64_t lost_since_ms; /* start of the current failure, 0: none */
	uint64_t doubt_until_ms; /* entries that vanish may reappear */
	char control_holder[LD_GROUP_NAME_MAX]; /* empty: the key is absent */
	uint64_t last_failure_ms; /* last failure of the own watch, 0: none */
	uint64_t expected_age_ms; /* normal upper limit of the copy's age */
	uint64_t opened_ms;
	uint64_t next_sweep_ms; /* next check of doubtful and removed servers */
	int64_t era; /* of the store, as last read */
	/* Writes lost with an older copy are repeated until then, 0: none. */
	uint64_t era_doubt_until_ms;
	/* This process has started, maybe on an older copy; 0: certainly not. */
	uint64_t start_doubt_until_ms;
	int64_t restored_revision; /* of the first copy in @era, 0: at start */
	bool reread_pending; /* after that time */
};

static struct feed *
feed_of(struct ld_store_watch *w)
{
	return (struct feed *)w;
}

/* ---- Configuration ---- */

static void
apply_bounds(struct relay *r)
{
	const struct ld_client_bounds *b = &r->routes->bounds;

	if (b->max_body_bytes > 0 && b->idle_timeout_ms > 0 &&
	    b->head_timeout_ms > 0) {
		ld_listener_set_bounds(r->entry, b->max_head_bytes,
		    b->max_body_bytes, b->idle_timeout_ms, b->head_timeout_ms);
		changes_server_set_bounds(r, b->max_body_bytes,
		    b->idle_timeout_ms, b->head_timeout_ms);
	}
}

static void
apply_routes(struct relay *r, const struct ld_store_kv *kv)
{
	struct ld_routes *routes = NULL;
	int64_t before = r->routes != NULL ? r->routes->version : 0;

	if (r->dialect->read_routes(kv->value, &routes) != LD_OK) {
		ld_event("config.refused",
		    "revision=%lld in_force=%lld why=\"%s\"",
		    (long long)kv->mod_revision, (long long)before,
		    ld_last_message());
		return;
	}
	if (routes->version <= before) {
		if (routes->version < before)
			ld_event("config.refused",
			    "revision=%lld version=%lld in_force=%lld "
			    "why=\"older than the one in force\"",
			    (long long)kv->mod_revision,
			    (long long)routes->version, (long long)before);
		ld_routes_free(routes);
		return;
	}
	ld_routes_free(r->routes);
	r->routes = routes;
	apply_bounds(r);
	ld_event("config.applied",
	    "version=%lld before=%lld revision=%lld routes=%zu accounts=%zu",
	    (long long)routes->version, (long long)before,
	    (long long)kv->mod_revision, routes->rule_count,
	    routes->account_count);
}

/* ---- Poll parameters ---- */

static uint64_t
watch_pause_ms(const struct relay *r)
{
	const struct feed *f = r->feed;
	uint64_t ms = mesh_node_count(r) * WATCH_PAUSE_PER_NODE_MS;
	uint64_t bound = r->settings->drain_ms < r->settings->config_apply_ms
	    ? r->settings->drain_ms
	    : r->settings->config_apply_ms;

	bound = bound * WATCH_PAUSE_BOUND_PERCENT / 100;
	if (leader_holds(r))
		return WATCH_PAUSE_HOLDER_MS;
	if (changes_server_in_use(r))
		return WATCH_PAUSE_MIN_MS;
	if (ms < WATCH_PAUSE_MIN_MS)
		ms = WATCH_PAUSE_MIN_MS;
	if (r->settings->initial && f->loaded && ms < WATCH_PAUSE_STARTUP_MS &&
	    relay_now(r) < f->opened_ms + STARTUP_MS)
		ms = WATCH_PAUSE_STARTUP_MS;
	return ms < bound ? ms : bound;
}

/* The holder of control and the nodes that others follow are to catch up first. */
static uint64_t
page_pause_ms(const struct relay *r)
{
	if (leader_holds(r) || changes_server_in_use(r))
		return 0;
	return mesh_node_count(r) * PAGE_PAUSE_PER_NODE_MS;
}

static uint64_t
watch_wait_ms(const struct relay *r)
{
	return changes_server_in_use(r) ? WATCH_WAIT_DELEGATE_MS
					: WATCH_WAIT_MS;
}

static uint64_t
expected_age_ms(const struct relay *r)
{
	uint64_t ms = 2 * watch_wait_ms(r) + watch_pause_ms(r);

	if (!ld_store_watch_is_active(&r->feed->watch))
		ms = FOLLOWED_AGE_MS;
	return ms + AGE_SLACK_MS;
}

/* ---- The watch ---- */

/* Whether the key is below @prefix; if so, sets @name to the rest of it. */
static bool
is_below(const struct ld_store_kv *kv, const char *prefix, struct ld_str *name)
{
	size_t n = strlen(prefix);

	if (!ld_str_starts(kv->key, ld_str_c(prefix)))
		return false;
	*name = (struct ld_str){kv->key.p + n, kv->key.len - n};
	return true;
}

static void
apply_key(struct feed *f, const struct ld_store_kv *kv, bool deleted)
{
	struct relay *r = f->relay;
	const struct ld_store_kv *written = deleted ? NULL : kv;
	struct ld_str name;

	if (ld_str_eq(kv->key, ld_str_c(r->dialect->config_key))) {
		if (!deleted)
			apply_routes(r, kv);
	} else if (is_below(kv, r->dialect->servers_prefix, &name)) {
		if (deleted)
			server_entries_remove(
			    r, name, "entry-removed", f->doubt_until_ms);
		else
			server_entries_put(r, name, kv, f->doubt_until_ms);
	} else if (is_below(kv, r->dialect->evacuations_prefix, &name)) {
		evacuation_apply(r, name, !deleted, kv->mod_revision);
	} else if (is_below(kv, RELAY_NODES_PREFIX, &name)) {
		if (deleted)
			mesh_peer_deleted(r, name);
		else
			mesh_peer_put(r, name, kv->value);
	} else if (is_below(kv, RELAY_GROUPS_PREFIX, &name)) {
		leader_records_apply(r->group_records, name, written);
	} else if (is_below(kv, RELAY_QUARANTINE_PREFIX, &name)) {
		leader_records_apply(
		    crash_records_quarantined(r), name, written);
	} else if (is_below(kv, RELAY_SUSPECTS_PREFIX, &name)) {
		leader_records_apply(crash_records_suspects(r), name, written);
	} else if (ld_str_eq(kv->key, LD_STR(RELAY_ERA_KEY))) {
		era_record_apply(r, written);
	} else if (ld_str_eq(kv->key, LD_STR(RELAY_CONTROL_KEY))) {
		snprintf(f->control_holder, sizeof(f->control_holder), "%.*s",
		    deleted ? 0 : (int)kv->value.len,
		    deleted ? "" : kv->value.p);
	}
}

static bool
in_snapshot(const struct relay *r, const char *id,
    const struct ld_store_kv *kvs, size_t n)
{
	struct ld_str name;

	for (size_t i = 0; i < n; i++)
		if (is_below(&kvs[i], r->dialect->servers_prefix, &name) &&
		    ld_str_eq(name, ld_str_c(id)))
			return true;
	return false;
}

/*
 * Entries that expired in an outage vanish with the first change after it,
 * which a following node may receive before it has noticed any outage.
 */
static void
doubt_after_gap(struct feed *f)
{
	uint64_t now = relay_now(f->relay);
	uint64_t since = f->current_ms > f->era_doubt_until_ms
	    ? f->current_ms
	    : f->era_doubt_until_ms;

	if (f->loaded && now > since + f->expected_age_ms)
		f->doubt_until_ms = now + ENTRY_REWRITE_MS;
}

static void
note_regained(struct feed *f)
{
	uint64_t now = relay_now(f->relay);
	uint64_t away = f->lost_since_ms != 0 ? now - f->lost_since_ms : 0;

	if (f->lost_since_ms == 0)
		return;
	f->lost_since_ms = 0;
	/* A node that starts can't rule out an earlier outage. */
	if (away >= OUTAGE_MIN_MS || !f->loaded)
		f->doubt_until_ms = now + ENTRY_REWRITE_MS;
	mesh_entry_renew_soon(f->relay);
	ld_event("store.regained", "away_ms=%llu", (unsigned long long)away);
}

/*
 * The store was restored from an older copy. Until lost writes are repeated,
 * the local state is the newer one: server entries are kept, and of the
 * configuration the later version; the age of API keys counts from the answers
 * before.
 */
static void
note_era(struct feed *f, int64_t revision, size_t keys)
{
	struct relay *r = f->relay;
	int64_t before = f->era;

	f->era = ld_store_era_of(revision);
	if (!f->loaded || f->era <= before)
		return;
	f->restored_revision = revision;
	f->era_doubt_until_ms = relay_now(r) + ENTRY_REWRITE_MS;
	f->doubt_until_ms = f->era_doubt_until_ms;
	f->reread_pending = true;
	relay_count(r, LD_M_RELAY_STORE_ERAS);
	ld_event("store.era",
	    "before=%lld after=%lld revision=%lld keys=%zu age_ms=%lld "
	    "doubt_ms=%d",
	    (long long)before, (long long)f->era, (long long)revision, keys,
	    (long long)feed_age_ms(r), ENTRY_REWRITE_MS);
	mesh_entry_recreate(r);
}

static bool
is_in_era_doubt(const struct feed *f)
{
	return relay_now(f->relay) < f->era_doubt_until_ms;
}

/*
 * A process that starts may have read an older copy, whose configuration has keys
 * that were taken away since, unless the record of the store's era says otherwise.
 */
static bool
is_in_start_doubt(const struct feed *f)
{
	return relay_now(f->relay) < f->start_doubt_until_ms &&
	    !era_record_confirms(f->relay);
}

/* An older copy of the store has an outdated entry of a listed server: the
 * local one is newer. */
static bool
is_superseded(const struct feed *f, const struct ld_store_kv *kv)
{
	const struct ld_server *s;
	struct ld_str id;

	if (!is_in_era_doubt(f) ||
	    !is_below(kv, f->relay->dialect->servers_prefix, &id))
		return false;
	s = ld_servers_find(f->relay->servers, id);
	return s != NULL && s->listed;
}

static void
on_snapshot(struct ld_store_watch *w, int64_t revision,
    const struct ld_store_kv *kvs, size_t n)
{
	struct feed *f = feed_of(w);
	struct relay *r = f->relay;

	doubt_after_gap(f);
	note_regained(f);
	note_era(f, revision, n);
	f->control_holder[0] = '\0';
	era_record_apply(r, NULL);
	mesh_snapshot_begin(r);
	leader_records_snapshot_begin(r->group_records);
	leader_records_snapshot_begin(crash_records_quarantined(r));
	leader_records_snapshot_begin(crash_records_suspects(r));
	changes_server_reset(r, revision);
	for (size_t i = 0; i < n; i++)
		if (!is_superseded(f, &kvs[i]))
			apply_key(f, &kvs[i], false);
	for (struct ld_server *s = ld_servers_first(r->servers); s != NULL;
	     s = s->next)
		if (s->listed && !in_snapshot(r, s->entry.id, kvs, n))
			server_entries_remove(r, ld_str_c(s->entry.id),
			    "not-listed", f->doubt_until_ms);
	if (!is_in_era_doubt(f))
		evacuations_end_others(r, kvs, n, revision);
	ld_event(
	    "store.read", "revision=%lld keys=%zu", (long long)revision, n);
	control_servers_changed(r);
}

static void
on_change(struct ld_store_watch *w, const struct ld_store_kv *kv, bool deleted)
{
	struct feed *f = feed_of(w);

	doubt_after_gap(f);
	/* Deletions of entries that expired in an outage come before all other
	 * changes. */
	note_regained(f);
	apply_key(f, kv, deleted);
	control_servers_changed(f->relay);
}

static void
on_changes(struct ld_store_watch *w, const struct ld_store_changes *changes)
{
	if (changes->more)
		ld_event("store.page", "events=%zu revision=%lld age_ms=%lld",
		    changes->n, (long long)changes->revision,
		    (long long)feed_age_ms(feed_of(w)->relay));
	changes_server_add(feed_of(w)->relay, changes);
}

static void
on_lost(struct ld_store_watch *w, enum ld_status status)
{
	struct feed *f = feed_of(w);

	f->last_failure_ms = relay_now(f->relay);
	if (f->lost_since_ms != 0)
		return;
	f->lost_since_ms = relay_now(f->relay);
	ld_event("store.lost", "why=%s age_ms=%lld", ld_status_name(status),
	    (long long)feed_age_ms(f->relay));
}

static void
on_current(struct ld_store_watch *w, uint64_t since_ms)
{
	struct feed *f = feed_of(w);

	note_regained(f);
	if (since_ms > f->current_ms && !is_in_era_doubt(f))
		f->current_ms = since_ms;
	f->expected_age_ms = expected_age_ms(f->relay);
	if (!f->loaded && !f->relay->settings->initial &&
	    f->doubt_until_ms == 0)
		f->doubt_until_ms = relay_now(f->relay) + ENTRY_REWRITE_MS;
	if (!f->loaded && !f->relay->settings->initial &&
	    ld_store_era(f->relay->store) != 0)
		f->start_doubt_until_ms =
		    relay_now(f->relay) + ENTRY_REWRITE_MS;
	if (!f->loaded)
		ld_event("store.current", "revision=%lld ms=%llu",
		    (long long)feed_revision(f->relay),
		    (unsigned long long)(relay_now(f->relay) - f->opened_ms));
	f->loaded = true;
}

/* ---- State ---- */

uint64_t
feed_age_ms(const struct relay *r)
{
	uint64_t now = relay_now(r);

	if (!r->feed->loaded)
		return UINT64_MAX;
	return now > r->feed->current_ms ? now - r->feed->current_ms : 0;
}

uint64_t
feed_key_validity_ms(const struct relay *r)
{
	const struct ld_relay_settings *s = r->settings;

	if (!s->strict_revocation)
		return UINT64_MAX;
	return s->revoke_ms > KEYS_MARGIN_MS ? s->revoke_ms - KEYS_MARGIN_MS
					     : 0;
}

bool
feed_keys_current(const struct relay *r)
{
	if (r->settings->strict_revocation && is_in_start_doubt(r->feed))
		return false;
	return feed_age_ms(r) <= feed_key_validity_ms(r);
}

int64_t
feed_restored_revision(const struct relay *r)
{
	return r->feed->restored_revision;
}

int64_t
feed_revision(const struct relay *r)
{
	return ld_store_watch_revision(&r->feed->watch);
}

bool
feed_can_delegate(const struct relay *r)
{
	const struct feed *f = r->feed;

	return !r->stopping && f->loaded &&
	    (f->last_failure_ms == 0 ||
		relay_now(r) >= f->last_failure_ms + NOT_DELEGATE_MS);
}

bool
feed_is_watching(const struct relay *r)
{
	return r->feed->loaded && r->feed->lost_since_ms == 0 &&
	    ld_store_watch_is_active(&r->feed->watch);
}

bool
feed_control_is_absent(const struct relay *r)
{
	const struct feed *f = r->feed;

	/* A leader of an earlier era may rely on its lease until the doubt
	 * ends. */
	return f->loaded && f->lost_since_ms == 0 &&
	    f->control_holder[0] == '\0' && !is_in_era_doubt(f) &&
	    f->era == ld_store_era(r->store);
}

struct ld_str
feed_control_holder(const struct relay *r)
{
	return ld_str_c(r->feed->control_holder);
}

bool
feed_is_settled(const struct relay *r)
{
	return r->feed->loaded && r->feed->lost_since_ms == 0 &&
	    relay_now(r) >= r->feed->doubt_until_ms;
}

const struct ld_service_spec *
feed_engine_service(const struct relay *r)
{
	if (r->routes == NULL)
		return NULL;
	for (size_t i = 0; i < r->routes->service_count; i++)
		if (r->routes->services[i].engine.model_count > 0)
			return &r->routes->services[i];
	return NULL;
}

void
feed_tick(struct relay *r)
{
	struct ld_store_poll poll;

	if (relay_now(r) < r->feed->next_sweep_ms)
		return;
	r->feed->next_sweep_ms = relay_now(r) + SWEEP_MS;
	poll = (struct ld_store_poll){
	    .wait_ms = watch_wait_ms(r),
	    .pause_ms = watch_pause_ms(r),
	    .page_pause_ms = page_pause_ms(r),
	    .retry_max_ms = mesh_has_aggregator(r) ? BACKOFF_FOLLOWER_MAX_MS
						   : BACKOFF_MAX_MS,
	};
	ld_store_set_poll(r->store, &poll);
	ld_servers_sweep(r->servers, relay_now(r));
	if (feed_is_settled(r) && !is_in_start_doubt(r->feed) &&
	    !is_in_era_doubt(r->feed))
		era_record_tick(r);
	if (r->feed->reread_pending && !is_in_era_doubt(r->feed)) {
		r->feed->reread_pending = false;
		ld_store_watch_reread(&r->feed->watch);
	}
}

/* ---- Changes received by a peer's watch ---- */

enum ld_status
feed_apply_changes(struct relay *r, const struct ld_store_changes *changes)
{
	return ld_store_watch_apply(&r->feed->watch, changes);
}

void
feed_poll_now(struct relay *r)
{
	ld_store_watch_poll_now(&r->feed->watch);
}

void
feed_resume_watch(struct relay *r)
{
	ld_store_watch_resume(&r->feed->watch);
}

/* ---- Start and end ---- */

void
feed_open(struct relay *r)
{
	static const struct ld_store_watch_ops ops = {
	    on_snapshot, on_change, on_lost, on_current, on_changes};
	const char *endpoint = r->settings->store_address.text;
	struct ld_store_settings s = ld_store_defaults();
	struct feed *f = ld_alloc(sizeof(*f));

	s.endpoints = &endpoint;
	s.n_endpoints = 1;
	s.prefix = "";
	s.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	s.call_timeout_ms = CALL_TIMEOUT_MS;
	s.poll_wait_ms = WATCH_WAIT_MS;
	s.poll_timeout_ms = POLL_TIMEOUT_MS;
	s.poll_pause_ms = WATCH_PAUSE_MIN_MS;
	s.backoff_min_ms = BACKOFF_MIN_MS;
	s.backoff_max_ms = BACKOFF_MAX_MS;
	s.calls_per_s = CALLS_PER_S;
	s.calls_burst = CALLS_BURST;
	/* At the start of the whole system, hundreds of nodes read at once. */
	s.confirm_prefix = r->settings->initial ? NULL : RELAY_ERA_KEY;
	r->store = ld_store_new(r->loop, r->store_http, &s, r->dialect->codec);
	f->relay = r;
	f->opened_ms = relay_now(r);
	f->watch.ops = &ops;
	r->feed = f;
	server_entries_open(r);
	era_record_open(r);
	group_records_open(r);
	crashing_requests_open(r);
	ld_store_watch_start(r->store, &f->watch, LD_STR(""), true);
}

void
feed_close(struct relay *r)
{
	ld_store_watch_stop(&r->feed->watch);
	era_record_close(r);
	server_entries_close(r);
	group_records_close(r);
	crashing_requests_close(r);
	ld_store_free(r->store);
	free(r->feed);
}
