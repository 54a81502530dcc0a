/*
 * Records of serving groups in the store: their members. A node that starts
 * discovers servers by their entries alone, but a member that is cut off from
 * the store has no entry while its group goes on serving. The records are
 * needed when all nodes lose power while a part of the servers is cut off.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "relay_internal.h"

/* Interval at which the leader compares the records with
 * the serving groups, ms: well below the seconds for which a part of the
 * servers is cut off. */
#define COMPARE_MS 500
/* A write without visible effect is repeated after this time, ms: several times
 * the latency of the store and the watch. */
#define WRITE_RETRY_MS 3000
#define VALUE_MAX 4096

/** struct group_record - one that exists, or is being written */
struct group_record {
	struct ld_store_call call; /* first member */
	struct group_record *next;
	struct group_records *group_records;
	char group[LD_GROUP_NAME_MAX];
	int64_t revision; /* 0: not in the store, as last read */
	uint64_t tried_ms; /* last write or deletion, 0: none */
	bool serving;
};

struct group_records {
	struct relay *relay;
	struct group_record *first;
	uint64_t compared_ms;
};

static struct group_record *
find_or_add_record(struct group_records *rs, const char *group)
{
	struct group_record *rec;

	for (rec = rs->first; rec != NULL; rec = rec->next)
		if (strcmp(rec->group, group) == 0)
			return rec;
	rec = ld_alloc(sizeof(*rec));
	rec->group_records = rs;
	snprintf(rec->group, sizeof(rec->group), "%s", group);
	rec->next = rs->first;
	rs->first = rec;
	return rec;
}

static void
remove_record(struct group_records *rs, struct group_record *gone)
{
	struct group_record **p = &rs->first;

	while (*p != gone)
		p = &(*p)->next;
	*p = gone->next;
	ld_store_cancel(&gone->call);
	free(gone);
}

/* ---- Records read from the store ---- */

/* Value: "EPOCH MODEL SERVICE ID@ADDRESS ID@ADDRESS ..", the head first. */
static bool
apply_members(struct relay *r, const char *group, char *value)
{
	struct ld_membership m = {
	    .group = (char *)group, .state = LD_MEMBER_READY};
	char *at = NULL, *epoch = strtok_r(value, " ", &at);
	const char *service;
	char *word;

	m.model = strtok_r(NULL, " ", &at);
	service = strtok_r(NULL, " ", &at);
	if (service == NULL)
		return false;
	m.epoch = strtoll(epoch, NULL, 10);
	while ((word = strtok_r(NULL, " ", &at)) != NULL) {
		char *address = strchr(word, '@');

		if (address == NULL || m.rank >= LD_GROUP_SIZE_MAX)
			return false;
		*address++ = '\0';
		ld_servers_add_unlisted(
		    r->servers, word, address, service, &m, relay_now(r));
		m.rank++;
	}
	return m.rank > 0;
}

void
group_records_apply(
    struct relay *r, struct ld_str group, const struct ld_store_kv *kv)
{
	char name[LD_GROUP_NAME_MAX], value[VALUE_MAX];
	struct group_record *rec;

	snprintf(name, sizeof(name), "%.*s", LD_FMT(group));
	rec = find_or_add_record(r->group_records, name);
	if (kv == NULL) {
		rec->revision = 0;
		if (rec->call.request == NULL)
			remove_record(r->group_records, rec);
		return;
	}
	rec->revision = kv->mod_revision;
	snprintf(value, sizeof(value), "%.*s", LD_FMT(kv->value));
	if (!apply_members(r, name, value))
		ld_event("record.refused", "group=%s revision=%lld", name,
		    (long long)kv->mod_revision);
}

void
group_records_snapshot_begin(struct relay *r)
{
	for (struct group_record *rec = r->group_records->first; rec != NULL;
	     rec = rec->next)
		rec->revision = 0;
}

/* ---- Records written by the leader ---- */

static void
on_written(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct group_record *rec = (struct group_record *)c;

	if (a->outcome != LD_STORE_APPLIED)
		ld_event("record.failed", "group=%s why=%s", rec->group,
		    ld_status_name(a->status));
}

static bool
is_write_due(const struct group_record *rec, uint64_t now)
{
	return rec->call.request == NULL &&
	    (rec->tried_ms == 0 || now >= rec->tried_ms + WRITE_RETRY_MS);
}

static void
write_record(struct group_record *rec, const struct ld_serving_group *g)
{
	struct relay *r = rec->group_records->relay;
	struct ld_buf key = {0}, value = {0};

	ld_buf_printf(&key, "%s%s", RELAY_GROUPS_PREFIX, g->group);
	ld_buf_printf(&value, "%lld %s %s", (long long)g->epoch, g->model,
	    feed_engine_service(r)->name);
	for (size_t i = 0; i < g->member_count; i++) {
		const struct ld_server *v =
		    ld_servers_find(r->servers, ld_str_c(g->members[i]));

		if (v != NULL)
			ld_buf_printf(
			    &value, " %s@%s", g->members[i], v->entry.address);
	}
	rec->tried_ms = relay_now(r);
	rec->call.done = on_written;
	ld_store_put(
	    r->store, &rec->call, ld_buf_str(&key), ld_buf_str(&value), 0);
	ld_buf_free(&key);
	ld_buf_free(&value);
}

static void
delete_record(struct group_record *rec)
{
	struct relay *r = rec->group_records->relay;
	struct ld_store_expect expect = {.mod_revision = rec->revision};
	struct ld_buf key = {0};

	ld_buf_printf(&key, "%s%s", RELAY_GROUPS_PREFIX, rec->group);
	rec->tried_ms = relay_now(r);
	rec->call.done = on_written;
	ld_store_cas_delete(r->store, &rec->call, ld_buf_str(&key), expect);
	ld_buf_free(&key);
}

static void
compare_record(void *user, const struct ld_serving_group *g)
{
	struct group_records *rs = user;
	struct group_record *rec = find_or_add_record(rs, g->group);

	rec->serving = true;
	if (rec->revision == 0 && is_write_due(rec, relay_now(rs->relay)))
		write_record(rec, g);
}

void
group_records_tick(struct relay *r)
{
	struct group_records *rs = r->group_records;
	uint64_t now = relay_now(r);
	struct group_record *next;

	if (!leader_holds(r) || !feed_is_settled(r) ||
	    feed_engine_service(r) == NULL ||
	    now < rs->compared_ms + COMPARE_MS)
		return;
	rs->compared_ms = now;
	for (struct group_record *rec = rs->first; rec != NULL; rec = rec->next)
		rec->serving = false;
	ld_groups_each_serving(control_groups(r), compare_record, rs);
	for (struct group_record *rec = rs->first; rec != NULL; rec = next) {
		next = rec->next;
		if (rec->serving || !is_write_due(rec, now))
			continue;
		if (rec->revision != 0)
			delete_record(rec);
		else
			remove_record(rs, rec);
	}
}

void
group_records_open(struct relay *r)
{
	r->group_records = ld_alloc(sizeof(*r->group_records));
	r->group_records->relay = r;
}

void
group_records_close(struct relay *r)
{
	while (r->group_records->first != NULL)
		remove_record(r->group_records, r->group_records->first);
	free(r->group_records);
}
