/* What the holder of the control lease knows of servers beyond their entries. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "groups_internal.h"

#define HASH_SEED 5

static struct note **
bucket_of(struct ld_groups *g, const char *id)
{
	return &g->buckets[ld_hash64(ld_str_c(id), HASH_SEED) %
	    GROUPS_NOTE_BUCKETS];
}

struct note *
note_find(struct ld_groups *g, const char *id)
{
	struct note *n = *bucket_of(g, id);

	while (n != NULL && strcmp(n->id, id) != 0)
		n = n->next_in_bucket;
	return n;
}

static struct note *
note_new(struct ld_groups *g, const struct ld_server *s)
{
	struct note *n = ld_alloc(sizeof(*n));
	struct note **bucket = bucket_of(g, s->entry.id);

	snprintf(n->id, sizeof(n->id), "%s", s->entry.id);
	n->born_ms = s->entry.born_ms;
	n->next = g->notes;
	g->notes = n;
	n->next_in_bucket = *bucket;
	*bucket = n;
	return n;
}

struct note *
note_of(struct ld_groups *g, const struct ld_server *s)
{
	struct note *n = note_find(g, s->entry.id);

	if (n == NULL)
		return note_new(g, s);
	if (n->born_ms != s->entry.born_ms) {
		struct note fresh = {.next = n->next,
		    .next_in_bucket = n->next_in_bucket,
		    .taken_in = n->taken_in,
		    .born_ms = s->entry.born_ms};

		memcpy(fresh.id, n->id, sizeof(fresh.id));
		*n = fresh;
	}
	return n;
}

void
note_ask(const struct step *s, struct note *n, uint64_t again_ms)
{
	if (n->probe_due || s->now_ms < n->probe_ms + again_ms)
		return;
	n->probe_due = true;
	n->probe_ms = s->now_ms;
}

void
notes_free(struct ld_groups *g)
{
	struct note *next;

	for (struct note *n = g->notes; n != NULL; n = next) {
		next = n->next;
		free(n);
	}
	g->notes = NULL;
	memset(g->buckets, 0, sizeof(g->buckets));
}
