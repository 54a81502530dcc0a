/* Catalogue revisions that this node has seen, with what changed in each. */
#include <jansson.h>
#include <stdlib.h>

#include "node_internal.h"

/* Revisions kept, newest first to be shown. */
#define REVISIONS_KEPT 64

/** struct seen - one revision that came into force */
struct seen {
	int64_t revision;
	uint64_t at_ms;
	char *changes; /* lines of ld_diff_print() */
};

struct history {
	struct seen seen[REVISIONS_KEPT];
	size_t count; /* ever added; the slot is count modulo the size */
};

struct history *
history_new(void)
{
	return ld_alloc(sizeof(struct history));
}

void
history_free(struct history *h)
{
	if (h == NULL)
		return;
	for (size_t i = 0; i < REVISIONS_KEPT; i++)
		free(h->seen[i].changes);
	free(h);
}

void
history_add(struct history *h, uint64_t now_ms,
    const struct ld_catalogue *before, const struct ld_catalogue *after)
{
	struct seen *s = &h->seen[h->count++ % REVISIONS_KEPT];
	struct ld_buf text = {0};
	struct ld_diff d;

	ld_catalogue_diff(before, after, &d);
	ld_diff_print(&d, &text);
	ld_diff_free(&d);
	free(s->changes);
	s->changes = ld_str_dup(ld_buf_str(&text));
	s->revision = ld_catalogue_revision(after);
	s->at_ms = now_ms;
	ld_buf_free(&text);
}

void
history_write(const struct history *h, uint64_t now_ms, struct ld_buf *out)
{
	json_t *list = json_array();
	size_t kept = h->count < REVISIONS_KEPT ? h->count : REVISIONS_KEPT;
	char *text;

	for (size_t i = 0; i < kept; i++) {
		const struct seen *s =
		    &h->seen[(h->count - 1 - i) % REVISIONS_KEPT];

		json_array_append_new(list,
		    json_pack("{s:I,s:I,s:s}", "revision",
			(json_int_t)s->revision, "age_ms",
			(json_int_t)(now_ms - s->at_ms), "changes",
			s->changes));
	}
	text = json_dumps(list, JSON_COMPACT);
	ld_buf_printf(out, "%s\n", text);
	free(text);
	json_decref(list);
}
