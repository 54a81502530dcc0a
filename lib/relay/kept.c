/* See kept.h. Each change is encoded once, for all peers. */
#include <stdlib.h>

#include "changes_speech.h"
#include "kept.h"

/* Some seconds of a busy store: a peer that is further behind asks the store,
 * which keeps its own history for longer. */
#define KEPT_MAX 2048
/* A few of the largest configurations, bytes. */
#define KEPT_BYTES_MAX ((size_t)4 * 1024 * 1024)

/** struct kept_change - one change, encoded */
struct kept_change {
	struct kept_change *next;
	int64_t revision;
	struct ld_buf bytes;
};

static void
drop_first(struct kept *h)
{
	struct kept_change *k = h->first;

	h->first = k->next;
	if (h->first == NULL)
		h->last = NULL;
	h->count--;
	h->bytes -= k->bytes.len;
	/* Other changes of its revision may be kept, but not all of them. */
	h->after = k->revision;
	ld_buf_free(&k->bytes);
	free(k);
}

void
kept_free(struct kept *h)
{
	while (h->first != NULL)
		drop_first(h);
}

void
kept_reset(struct kept *h, int64_t revision)
{
	kept_free(h);
	h->after = h->revision = revision;
}

static void
add(struct kept *h, const struct ld_store_event *e)
{
	struct kept_change *k = ld_alloc(sizeof(*k));

	k->revision = e->kv.mod_revision;
	changes_write_one(e, &k->bytes);
	if (h->last != NULL)
		h->last->next = k;
	else
		h->first = k;
	h->last = k;
	h->count++;
	h->bytes += k->bytes.len;
}

void
kept_add(struct kept *h, const struct ld_store_changes *c)
{
	if (c->after != h->revision)
		kept_reset(h, c->after);
	for (size_t i = 0; i < c->n; i++)
		if (c->events[i].kv.mod_revision > h->revision)
			add(h, &c->events[i]);
	h->revision = c->revision;
	while (h->count > KEPT_MAX || h->bytes > KEPT_BYTES_MAX)
		drop_first(h);
}

bool
kept_lacks(const struct kept *h, int64_t revision)
{
	return revision < h->after;
}

bool
kept_has_newer(const struct kept *h, int64_t revision)
{
	return h->last != NULL && h->last->revision > revision;
}

void
kept_write(
    const struct kept *h, int64_t revision, uint64_t age_ms, struct ld_buf *out)
{
	size_t n = 0;

	for (const struct kept_change *k = h->first; k != NULL; k = k->next)
		n += k->revision > revision;
	changes_write_head(revision, h->revision, age_ms, n, out);
	for (const struct kept_change *k = h->first; k != NULL; k = k->next)
		if (k->revision > revision)
			ld_buf_adds(out, ld_buf_str(&k->bytes));
}
