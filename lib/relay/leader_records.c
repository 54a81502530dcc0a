/* See leader_records.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "leader_records.h"

/* Interval at which the leader compares the records with its state, ms: well
 * below the seconds for which a part of the servers is cut off. */
#define COMPARE_MS 500
/* Without a leader each node does so, at different times, so that most find the
 * records written already, ms. */
#define COMPARE_SPREAD_MS 2000
/* A write without visible effect is repeated after this time, ms: several times
 * the latency of the store and the watch. */
#define WRITE_RETRY_MS 3000
#define VALUE_MAX 4096

/** struct leader_record - one that exists, or is being written */
struct leader_record {
	struct ld_store_call call; /* first member */
	struct leader_record *next;
	struct leader_records *records;
	char name[LEADER_RECORD_NAME_MAX];
	int64_t revision; /* 0: not in the store, as last read */
	uint64_t tried_ms; /* last write or deletion, 0: none */
	bool wanted;
};

static struct leader_record *
find_or_add_record(struct leader_records *rs, const char *name)
{
	struct leader_record *rec;

	for (rec = rs->first; rec != NULL; rec = rec->next)
		if (strcmp(rec->name, name) == 0)
			return rec;
	rec = ld_alloc(sizeof(*rec));
	rec->records = rs;
	snprintf(rec->name, sizeof(rec->name), "%s", name);
	rec->next = rs->first;
	rs->first = rec;
	return rec;
}

static void
remove_record(struct leader_records *rs, struct leader_record *gone)
{
	struct leader_record **p = &rs->first;

	while (*p != gone)
		p = &(*p)->next;
	*p = gone->next;
	ld_store_cancel(&gone->call);
	free(gone);
}

/* ---- Records read from the store ---- */

/* A name or a value that is cut short may be that of another record. */
static bool
fits(struct ld_str text, size_t size)
{
	return text.len < size &&
	    (text.len == 0 || memchr(text.p, '\0', text.len) == NULL);
}

static void
log_refused(const struct leader_records *rs, struct ld_str name,
    const struct ld_store_kv *kv)
{
	char text[LD_EVENT_TOKEN_BYTES];

	if (kv != NULL)
		ld_event("record.refused", "key=%s%s revision=%lld", rs->prefix,
		    ld_event_token(name, text), (long long)kv->mod_revision);
}

void
leader_records_apply(struct leader_records *rs, struct ld_str name_read,
    const struct ld_store_kv *kv)
{
	char name[LEADER_RECORD_NAME_MAX], value[VALUE_MAX];
	struct leader_record *rec;

	snprintf(name, sizeof(name), "%.*s", LD_FMT(name_read));
	if (!fits(name_read, sizeof(name)) ||
	    (rs->ops->is_name != NULL && !rs->ops->is_name(name))) {
		log_refused(rs, name_read, kv);
		return;
	}
	rec = find_or_add_record(rs, name);
	if (kv == NULL) {
		rec->revision = 0;
		if (rec->call.request == NULL)
			remove_record(rs, rec);
		(void)rs->ops->apply(rs, name, NULL);
		return;
	}
	rec->revision = kv->mod_revision;
	snprintf(value, sizeof(value), "%.*s", LD_FMT(kv->value));
	if (!fits(kv->value, sizeof(value)) || !rs->ops->apply(rs, name, value))
		log_refused(rs, name_read, kv);
}

void
leader_records_snapshot_begin(struct leader_records *rs)
{
	for (struct leader_record *rec = rs->first; rec != NULL;
	     rec = rec->next)
		rec->revision = 0;
}

/* ---- Records written by the leader ---- */

static void
on_written(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct leader_record *rec = (struct leader_record *)c;

	if (a->outcome != LD_STORE_APPLIED)
		ld_event("record.failed", "key=%s%s why=%s",
		    rec->records->prefix, rec->name, ld_status_name(a->status));
}

static bool
is_write_due(const struct leader_record *rec, uint64_t now)
{
	return rec->call.request == NULL &&
	    (rec->tried_ms == 0 || now >= rec->tried_ms + WRITE_RETRY_MS);
}

static void
write_record(struct leader_record *rec, const void *item)
{
	struct leader_records *rs = rec->records;
	struct ld_buf key = {0}, value = {0};

	ld_buf_printf(&key, "%s%s", rs->prefix, rec->name);
	rs->ops->format(rs, item, &value);
	rec->tried_ms = relay_now(rs->relay);
	rec->call.done = on_written;
	ld_store_put(rs->relay->store, &rec->call, ld_buf_str(&key),
	    ld_buf_str(&value), 0);
	ld_buf_free(&key);
	ld_buf_free(&value);
}

static void
delete_record(struct leader_record *rec)
{
	struct leader_records *rs = rec->records;
	struct ld_store_expect expect = {.mod_revision = rec->revision};
	struct ld_buf key = {0};

	ld_buf_printf(&key, "%s%s", rs->prefix, rec->name);
	rec->tried_ms = relay_now(rs->relay);
	rec->call.done = on_written;
	ld_store_cas_delete(
	    rs->relay->store, &rec->call, ld_buf_str(&key), expect);
	ld_buf_free(&key);
}

void
leader_records_want(
    struct leader_records *rs, const char *name, const void *item)
{
	struct leader_record *rec = find_or_add_record(rs, name);

	rec->wanted = true;
	if (rec->revision == 0 && is_write_due(rec, relay_now(rs->relay)))
		write_record(rec, item);
}

void
leader_records_tick(struct leader_records *rs)
{
	struct relay *r = rs->relay;
	uint64_t now = relay_now(r);
	struct leader_record *next;

	if (now < rs->next_compare_ms || !feed_is_settled(r))
		return;
	if (leader_holds(r))
		rs->next_compare_ms = now + COMPARE_MS;
	else if (rs->ops->any_node && feed_control_is_absent(r))
		rs->next_compare_ms = now + COMPARE_MS +
		    ld_rand_below(&r->rand, COMPARE_SPREAD_MS);
	else
		return;
	for (struct leader_record *rec = rs->first; rec != NULL;
	     rec = rec->next)
		rec->wanted = false;
	if (!rs->ops->each_wanted(rs))
		return;
	for (struct leader_record *rec = rs->first; rec != NULL; rec = next) {
		next = rec->next;
		if (rec->wanted || !is_write_due(rec, now))
			continue;
		if (rec->revision != 0)
			delete_record(rec);
		else
			remove_record(rs, rec);
	}
}

void
leader_records_free(struct leader_records *rs)
{
	while (rs->first != NULL)
		remove_record(rs, rs->first);
	free(rs);
}
