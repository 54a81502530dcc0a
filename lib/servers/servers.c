/* The table of backend servers. */
#include <stdlib.h>
#include <string.h>

#include "ld_servers.h"

/* Unlisted servers are kept for this time, ms, so that the state of one that
 * returns under its id is still available. */
#define UNLISTED_RETENTION_MS 60000
/* Hash buckets by id; deployments have some hundred servers. */
#define BUCKETS 1024
#define HASH_SEED 3
/* Maximum size of a group, more than any model needs. */
#define RANKS_MAX 64

struct ld_servers {
	struct ld_server *first;
	struct ld_server *buckets[BUCKETS];
	size_t count;
	/* Heads by group_hash, linear probing; valid unless ranks_outdated. */
	struct ld_server **heads;
	size_t head_capacity; /* a power of two, or 0 */
	bool ranks_outdated;
	char **evacuated_zones;
	size_t evacuated_count;
};

const char *
ld_member_state_name(enum ld_member_state s)
{
	static const char *const names[] = {
	    "none", "joining", "ready", "open", "closing", "broken"};

	return names[s];
}

void
ld_server_entry_fini(struct ld_server_entry *e)
{
	for (size_t i = 0; i < e->staged_count; i++)
		free(e->staged[i]);
	free(e->staged);
	free(e->id);
	free(e->service);
	free(e->address);
	free(e->zone);
	free(e->domain);
	free(e->member.group);
	free(e->member.model);
	*e = (struct ld_server_entry){0};
}

int
ld_server_entry_compare(
    const struct ld_server_entry *a, const struct ld_server_entry *b)
{
	if (a->started_ms == 0 || b->started_ms == 0)
		return 0;
	if (a->started_ms != b->started_ms)
		return a->started_ms < b->started_ms ? -1 : 1;
	return (a->heartbeats > b->heartbeats) -
	    (a->heartbeats < b->heartbeats);
}

static void
server_free(struct ld_server *s)
{
	ld_server_entry_fini(&s->entry);
	ld_allowance_free(s->allowance);
	free(s);
}

struct ld_servers *
ld_servers_new(void)
{
	return ld_alloc(sizeof(struct ld_servers));
}

void
ld_servers_free(struct ld_servers *t)
{
	struct ld_server *next;

	if (t == NULL)
		return;
	for (struct ld_server *s = t->first; s != NULL; s = next) {
		next = s->next;
		server_free(s);
	}
	for (size_t i = 0; i < t->evacuated_count; i++)
		free(t->evacuated_zones[i]);
	free(t->evacuated_zones);
	free(t->heads);
	free(t);
}

static uint32_t
hash_id(struct ld_str id)
{
	return (uint32_t)ld_hash64(id, HASH_SEED);
}

uint32_t
ld_server_process_hash(const struct ld_server *s, int64_t started_ms)
{
	struct ld_str bytes = {(const char *)&started_ms, sizeof(started_ms)};

	if (started_ms == 0 || started_ms == s->first_started_ms)
		return s->id_hash;
	return (uint32_t)ld_hash64(bytes, s->id_hash);
}

struct ld_server *
ld_servers_find_hash(struct ld_servers *t, uint32_t id_hash)
{
	struct ld_server *s = t->buckets[id_hash % BUCKETS];

	while (s != NULL && s->id_hash != id_hash)
		s = s->next_in_bucket;
	return s;
}

struct ld_server *
ld_servers_find(struct ld_servers *t, struct ld_str id)
{
	struct ld_server *s = t->buckets[hash_id(id) % BUCKETS];

	while (s != NULL && !ld_str_eq(ld_str_c(s->entry.id), id))
		s = s->next_in_bucket;
	return s;
}

static struct ld_server *
server_new(struct ld_servers *t, struct ld_str id, uint64_t now_ms)
{
	struct ld_server *s = ld_alloc(sizeof(*s));
	struct ld_server **bucket;

	s->id_hash = hash_id(id);
	s->first_seen_ms = now_ms;
	s->slowness = 1;
	s->next = t->first;
	t->first = s;
	t->count++;
	bucket = &t->buckets[s->id_hash % BUCKETS];
	s->next_in_bucket = *bucket;
	*bucket = s;
	return s;
}

static void
remove_from_bucket(struct ld_servers *t, struct ld_server *s)
{
	struct ld_server **p = &t->buckets[s->id_hash % BUCKETS];

	while (*p != s)
		p = &(*p)->next_in_bucket;
	*p = s->next_in_bucket;
}

struct ld_server *
ld_servers_first(struct ld_servers *t)
{
	return t->first;
}

static uint64_t
group_hash(const struct ld_membership *m)
{
	uint64_t h;

	if (m->group == NULL)
		return 0;
	h = ld_hash64(ld_str_c(m->group), (uint64_t)m->epoch);
	return h != 0 ? h : 1;
}

/* ---- Failure domains that are evacuated ---- */

/* The position of the zone in the list, or the length of the list. */
static size_t
find_evacuated(const struct ld_servers *t, struct ld_str zone)
{
	size_t i = 0;

	while (i < t->evacuated_count &&
	    !ld_str_eq(ld_str_c(t->evacuated_zones[i]), zone))
		i++;
	return i;
}

bool
ld_servers_set_evacuated(
    struct ld_servers *t, struct ld_str zone, bool evacuated)
{
	size_t i = find_evacuated(t, zone);

	if ((i < t->evacuated_count) == evacuated)
		return false;
	for (struct ld_server *s = t->first; s != NULL; s = s->next)
		if (ld_str_eq(ld_str_c(s->entry.zone), zone))
			s->evacuated = evacuated;
	if (!evacuated) {
		free(t->evacuated_zones[i]);
		t->evacuated_zones[i] =
		    t->evacuated_zones[--t->evacuated_count];
		return true;
	}
	t->evacuated_zones = ld_realloc(t->evacuated_zones,
	    (t->evacuated_count + 1) * sizeof(*t->evacuated_zones));
	t->evacuated_zones[t->evacuated_count++] = ld_str_dup(zone);
	return true;
}

const char *
ld_servers_evacuated_zone(const struct ld_servers *t, size_t i)
{
	return i < t->evacuated_count ? t->evacuated_zones[i] : NULL;
}

/* ---- Entries ---- */

struct ld_server *
ld_servers_put(struct ld_servers *t, struct ld_server_entry *e, uint64_t now_ms)
{
	struct ld_server *s = ld_servers_find(t, ld_str_c(e->id));

	if (s == NULL) {
		s = server_new(t, ld_str_c(e->id), now_ms);
		s->first_started_ms = e->started_ms;
	}
	/* A restarted server with the same id starts without past failures
	 * and limits. */
	if (s->entry.started_ms != e->started_ms) {
		s->suspect_until_ms = 0;
		s->failures = 0;
		s->reported_leaving = false;
		ld_allowance_free(s->allowance);
		s->allowance = NULL;
		ld_pace_reset(&s->pace);
		s->slowness = 1;
	}
	if (s->entry.member.state != e->member.state ||
	    s->group_hash != group_hash(&e->member))
		s->member_since_ms = now_ms;
	ld_server_entry_fini(&s->entry);
	s->entry = *e;
	s->group_hash = group_hash(&s->entry.member);
	s->evacuated =
	    find_evacuated(t, ld_str_c(s->entry.zone)) < t->evacuated_count;
	t->ranks_outdated = true;
	/* The entry may have been written before the server began to leave. */
	s->entry.leaving |= s->reported_leaving;
	*e = (struct ld_server_entry){0};
	s->listed = true;
	s->remove_at_ms = 0;
	return s;
}

void
ld_servers_add_unlisted(struct ld_servers *t, const char *id,
    const char *address, const char *service, const struct ld_membership *m,
    uint64_t now_ms)
{
	struct ld_server_entry e = {0};

	if (ld_servers_find(t, ld_str_c(id)) != NULL)
		return;
	e.id = ld_strdup(id);
	e.address = ld_strdup(address);
	e.service = ld_strdup(service);
	e.zone = ld_strdup("");
	e.member = *m;
	e.member.group = ld_strdup(m->group);
	e.member.model = ld_strdup(m->model);
	ld_servers_put(t, &e, now_ms);
	ld_servers_remove(t, ld_str_c(id), now_ms);
}

void
ld_servers_note_leaving(struct ld_server *s)
{
	s->reported_leaving = true;
	s->entry.leaving = true;
}

static void
add_own(struct ld_server *s, enum ld_count count, uint64_t n, uint64_t now_ms)
{
	s->counts[count].own += n;
	s->counts[count].uncounted += n;
	s->counts[count].uncounted_ms = now_ms;
}

void
ld_server_note_sent(
    struct ld_server *s, uint64_t prompt_tokens, uint64_t now_ms)
{
	add_own(s, LD_COUNT_TOKENS, prompt_tokens, now_ms);
	add_own(s, LD_COUNT_SENT, 1, now_ms);
	s->load_changed_ms = now_ms;
	if (s->allowance != NULL)
		ld_allowance_count_sent(
		    s->allowance, &s->allowance->own, 1, now_ms);
}

void
ld_server_note_denied(struct ld_server *s, uint64_t now_ms)
{
	add_own(s, LD_COUNT_DENIED, 1, now_ms);
	if (s->allowance != NULL)
		ld_window_add(&s->allowance->own.denied, 1, now_ms);
}

void
ld_server_note_others(
    struct ld_server *s, enum ld_count count, uint32_t n, uint64_t now_ms)
{
	if (s->allowance == NULL || n == 0)
		return;
	if (count == LD_COUNT_SENT)
		ld_allowance_count_sent(
		    s->allowance, &s->allowance->others, n, now_ms);
	else if (count == LD_COUNT_DENIED)
		ld_window_add(&s->allowance->others.denied, n, now_ms);
}

bool
ld_server_observe_rate(struct ld_server *s, uint32_t rate_milli, uint64_t at_ms)
{
	if (s->allowance == NULL && rate_milli == LD_RATE_UNLIMITED)
		return false;
	if (s->allowance == NULL)
		s->allowance = ld_allowance_new();
	return ld_allowance_observe(s->allowance, rate_milli, at_ms);
}

bool
ld_server_warm_up(struct ld_server *s, uint32_t rate_milli, uint64_t until_ms,
    uint64_t now_ms)
{
	if (s->allowance == NULL)
		s->allowance = ld_allowance_new();
	return ld_allowance_warm_up(s->allowance, rate_milli, until_ms, now_ms);
}

bool
ld_server_is_limited(const struct ld_server *s, uint64_t now_ms)
{
	return ld_allowance_is_limited(s->allowance, now_ms);
}

void
ld_servers_remove(struct ld_servers *t, struct ld_str id, uint64_t now_ms)
{
	struct ld_server *s = ld_servers_find(t, id);

	if (s == NULL || !s->listed)
		return;
	s->listed = false;
	s->unlisted_ms = now_ms;
}

void
ld_servers_defer_removal(
    struct ld_servers *t, struct ld_str id, uint64_t until_ms)
{
	struct ld_server *s = ld_servers_find(t, id);

	if (s != NULL && s->listed && s->remove_at_ms == 0)
		s->remove_at_ms = until_ms;
}

void
ld_servers_sweep(struct ld_servers *t, uint64_t now_ms)
{
	struct ld_server **p = &t->first;

	while (*p != NULL) {
		struct ld_server *s = *p;

		if (s->listed && s->remove_at_ms != 0 &&
		    now_ms >= s->remove_at_ms) {
			s->remove_at_ms = 0;
			ld_servers_remove(t, ld_str_c(s->entry.id), now_ms);
		}
		if (s->listed || s->refs > 0 ||
		    now_ms < s->unlisted_ms + UNLISTED_RETENTION_MS) {
			p = &s->next;
			continue;
		}
		*p = s->next;
		remove_from_bucket(t, s);
		t->count--;
		t->ranks_outdated = true;
		server_free(s);
	}
}

bool
ld_server_same_group(const struct ld_server *a, const struct ld_server *b)
{
	const struct ld_membership *x = &a->entry.member;
	const struct ld_membership *y = &b->entry.member;

	return x->group != NULL && y->group != NULL && x->epoch == y->epoch &&
	    strcmp(x->group, y->group) == 0;
}

/* The slot of the group's head, or the free slot where it belongs. */
static struct ld_server **
find_head_slot(struct ld_servers *t, uint64_t hash)
{
	size_t i = hash & (t->head_capacity - 1);

	while (t->heads[i] != NULL && t->heads[i]->group_hash != hash)
		i = (i + 1) & (t->head_capacity - 1);
	return &t->heads[i];
}

static void
mark_rank_ready(struct ld_servers *t, const struct ld_server *s)
{
	const struct ld_membership *m = &s->entry.member;
	struct ld_server *head = *find_head_slot(t, s->group_hash);

	if (head != NULL && m->rank < RANKS_MAX &&
	    (m->state == LD_MEMBER_READY || m->state == LD_MEMBER_OPEN))
		head->ready_ranks |= 1ULL << m->rank;
}

/* Computes ready_ranks of all heads in two passes over the servers, once after
 * a change of entries: each request needs them for all heads. */
static void
collect_ready_ranks(struct ld_servers *t)
{
	while (t->head_capacity < 2 * t->count + 1) {
		t->head_capacity =
		    t->head_capacity > 0 ? 2 * t->head_capacity : BUCKETS;
		t->heads =
		    ld_realloc(t->heads, t->head_capacity * sizeof(*t->heads));
	}
	memset(t->heads, 0, t->head_capacity * sizeof(*t->heads));
	for (struct ld_server *s = t->first; s != NULL; s = s->next) {
		struct ld_server **head_slot;

		s->ready_ranks = 1;
		if (s->group_hash == 0 || s->entry.member.rank != 0)
			continue;
		head_slot = find_head_slot(t, s->group_hash);
		if (*head_slot == NULL)
			*head_slot = s;
	}
	for (struct ld_server *s = t->first; s != NULL; s = s->next)
		if (s->group_hash != 0)
			mark_rank_ready(t, s);
	t->ranks_outdated = false;
}

bool
ld_servers_group_complete(
    struct ld_servers *t, const struct ld_server *head, uint32_t size)
{
	if (!head->listed || head->entry.leaving ||
	    head->entry.member.rank != 0 ||
	    head->entry.member.state != LD_MEMBER_OPEN || size > RANKS_MAX)
		return false;
	if (t->ranks_outdated)
		collect_ready_ranks(t);
	return head->ready_ranks ==
	    (size == RANKS_MAX ? UINT64_MAX : (1ULL << size) - 1);
}
