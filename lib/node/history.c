/* Catalogue revisions that came into force here, with their changes. */
#include <jansson.h>
#include <stdlib.h>

#include "node_internal.h"

#define REVISIONS_KEPT 64

/** struct history_entry - one catalogue revision that came into force */
struct history_entry {
	int64_t revision;
	uint64_t at_ms;
	char *changes; /* lines of ld_diff_print() */
};

struct history {
	struct history_entry entries[REVISIONS_KEPT];
	size_t added; /* in total; modulo the array size, the next slot */
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
		free(h->entries[i].changes);
	free(h);
}

void
history_add(struct history *h, uint64_t now_ms,
    const struct ld_catalogue *before, const struct ld_catalogue *after)
{
	struct history_entry *s = &h->entries[h->added++ % REVISIONS_KEPT];
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
	size_t kept = h->added < REVISIONS_KEPT ? h->added : REVISIONS_KEPT;
	char *text;

	for (size_t i = 0; i < kept; i++) {
		const struct history_entry *s =
		    &h->entries[(h->added - 1 - i) % REVISIONS_KEPT];

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
