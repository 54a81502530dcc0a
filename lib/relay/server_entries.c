/* Entries of backend servers, as read from the store. */
#include <stdlib.h>

#include "relay_internal.h"

/* Refusals that are remembered, in slots by id: more than one other writer
 * leaves. Entries that share a slot are logged more often. */
#define REFUSED_SLOTS 1024
#define HASH_SEED 7

/** struct server_entries - last refusal of each id */
struct server_entries {
	uint64_t refused[REFUSED_SLOTS]; /* hash of id and reason, 0: none */
};

static uint64_t *
refused_slot(struct relay *r, struct ld_str id)
{
	return &r->server_entries
		    ->refused[ld_hash64(id, HASH_SEED) % REFUSED_SLOTS];
}

/* An entry that is written again with each heartbeat is logged once, until it
 * is refused for another reason. */
static void
log_refused(struct relay *r, struct ld_str id, int64_t revision)
{
	const char *why = ld_last_message();
	uint64_t *slot = refused_slot(r, id);
	uint64_t hash = ld_hash64(ld_str_c(why), ld_hash64(id, HASH_SEED));
	char text[LD_EVENT_TOKEN_BYTES];

	if (*slot == hash)
		return;
	*slot = hash;
	ld_event("server.entry_refused", "server=%s revision=%lld why=\"%s\"",
	    ld_event_token(id, text), (long long)revision, why);
}

static void
log_outdated(const struct ld_server *s, const struct ld_server_entry *e,
    int64_t revision)
{
	char text[LD_EVENT_TOKEN_BYTES];

	ld_event("server.entry_outdated",
	    "server=%s listed=%d started_ms=%lld heartbeats=%llu "
	    "known_started_ms=%lld known_heartbeats=%llu revision=%lld",
	    ld_event_token(ld_str_c(s->entry.id), text), s->listed,
	    (long long)e->started_ms, (unsigned long long)e->heartbeats,
	    (long long)s->entry.started_ms,
	    (unsigned long long)s->entry.heartbeats, (long long)revision);
}

static void
log_entry(const struct ld_server *s, int64_t revision)
{
	char text[LD_EVENT_TOKEN_BYTES];

	ld_event("server.entry",
	    "server=%s state=%s service=%s domain=%s group=%s epoch=%lld "
	    "rank=%u member=%s staged=%s heartbeats=%llu revision=%lld",
	    ld_event_token(ld_str_c(s->entry.id), text),
	    s->entry.leaving ? "leaving" : "ready", s->entry.service,
	    s->entry.domain != NULL ? s->entry.domain : "-",
	    s->entry.member.group != NULL ? s->entry.member.group : "-",
	    (long long)s->entry.member.epoch, s->entry.member.rank,
	    ld_member_state_name(s->entry.member.state),
	    s->entry.staged_count > 0 ? s->entry.staged[0] : "-",
	    (unsigned long long)s->entry.heartbeats, (long long)revision);
}

/*
 * An entry that is older than the last one read, as in a store that was restored
 * from an older copy. Several writes may have the same count of heartbeats: of
 * these the copy has the older one, unless it was written after the return.
 */
static bool
is_outdated(const struct relay *r, const struct ld_server *s,
    const struct ld_server_entry *e, int64_t revision)
{
	int order = ld_server_entry_compare(e, &s->entry);

	return order < 0 ||
	    (order == 0 && e->started_ms != 0 &&
		revision <= feed_restored_revision(r));
}

void
server_entries_put(struct relay *r, struct ld_str id,
    const struct ld_store_kv *kv, uint64_t doubt_until_ms)
{
	struct ld_server_entry e;
	struct ld_server *s;

	if (r->dialect->read_server(id, kv->value, &e) != LD_OK) {
		log_refused(r, id, kv->mod_revision);
		/* The server, if there is one, has no entry until it writes
		 * the next one. */
		server_entries_remove(r, id, "entry-refused", doubt_until_ms);
		return;
	}
	*refused_slot(r, id) = 0;
	s = ld_servers_find(r->servers, id);
	if (s != NULL && is_outdated(r, s, &e, kv->mod_revision)) {
		log_outdated(s, &e, kv->mod_revision);
		ld_server_entry_fini(&e);
		return;
	}
	s = ld_servers_put(r->servers, &e, relay_now(r));
	log_entry(s, kv->mod_revision);
	warmup_note_entry(r, s);
}

void
server_entries_remove(
    struct relay *r, struct ld_str id, const char *why, uint64_t doubt_until_ms)
{
	uint64_t now = relay_now(r);
	char text[LD_EVENT_TOKEN_BYTES];
	struct ld_server *s = ld_servers_find(r->servers, id);

	if (s == NULL || !s->listed)
		return;
	if (now < doubt_until_ms) {
		if (s->remove_at_ms == 0)
			ld_event("server.doubt", "server=%s until_ms=%llu",
			    ld_event_token(id, text),
			    (unsigned long long)(doubt_until_ms - now));
		ld_servers_defer_removal(r->servers, id, doubt_until_ms);
		return;
	}
	ld_servers_remove(r->servers, id, now);
	ld_event(
	    "server.gone", "server=%s why=%s", ld_event_token(id, text), why);
}

void
server_entries_open(struct relay *r)
{
	r->server_entries = ld_alloc(sizeof(*r->server_entries));
}

void
server_entries_close(struct relay *r)
{
	free(r->server_entries);
}
