/* See change_log.h. Each change is encoded once, for all peers. */
#include <stdlib.h>

#include "changes_codec.h"
#include "change_log.h"

/* A few seconds of a busy store: a peer that is further behind reads from the
 * store, which keeps a longer history. */
#define CHANGES_HELD_MAX 2048
/* Room for a few of the largest configurations, bytes. */
#define BYTES_HELD_MAX ((size_t)4 * 1024 * 1024)

/** struct logged_change - one change, encoded */
struct logged_change {
	struct logged_change *next;
	int64_t revision;
	struct ld_buf bytes;
};

static void
drop_first(struct change_log *log)
{
	struct logged_change *k = log->first;

	log->first = k->next;
	if (log->first == NULL)
		log->last = NULL;
	log->count--;
	log->bytes -= k->bytes.len;
	/* Other changes of its revision may still be held, but not all of
	 * them. */
	log->base_revision = k->revision;
	ld_buf_free(&k->bytes);
	free(k);
}

void
change_log_free(struct change_log *log)
{
	while (log->first != NULL)
		drop_first(log);
}

void
change_log_reset(struct change_log *log, int64_t revision)
{
	change_log_free(log);
	log->base_revision = log->revision = revision;
}

static void
append(struct change_log *log, const struct ld_store_event *e)
{
	struct logged_change *k = ld_alloc(sizeof(*k));

	k->revision = e->kv.mod_revision;
	changes_encode_change(e, &k->bytes);
	if (log->last != NULL)
		log->last->next = k;
	else
		log->first = k;
	log->last = k;
	log->count++;
	log->bytes += k->bytes.len;
}

void
change_log_append(struct change_log *log, const struct ld_store_changes *c)
{
	if (c->after != log->revision)
		change_log_reset(log, c->after);
	for (size_t i = 0; i < c->n; i++)
		if (c->events[i].kv.mod_revision > log->revision)
			append(log, &c->events[i]);
	log->revision = c->revision;
	while (log->count > CHANGES_HELD_MAX || log->bytes > BYTES_HELD_MAX)
		drop_first(log);
}

bool
change_log_is_compacted(const struct change_log *log, int64_t revision)
{
	return revision < log->base_revision;
}

bool
change_log_has_after(const struct change_log *log, int64_t revision)
{
	return log->last != NULL && log->last->revision > revision;
}

void
change_log_encode(const struct change_log *log, int64_t revision,
    uint64_t age_ms, struct ld_buf *out)
{
	size_t n = 0;

	for (const struct logged_change *k = log->first; k != NULL; k = k->next)
		n += k->revision > revision;
	changes_encode_header(revision, log->revision, age_ms, n, out);
	for (const struct logged_change *k = log->first; k != NULL; k = k->next)
		if (k->revision > revision)
			ld_buf_adds(out, ld_buf_str(&k->bytes));
}
