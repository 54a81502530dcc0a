/* Counters with labels: a row is added on first use, up to a bound. */
#include <stdlib.h>
#include <string.h>

#include "ld_metrics.h"

#define HASH_BUCKETS 256
/* Limit of rows in one tally: enough for some hundred routes by their outcomes.
 * Further label combinations are counted in one row, whose labels are all
 * "other". */
#define ROWS_MAX 2048
#define OTHER "other"

/** struct row - counter of one combination of label values */
struct row {
	struct row *next; /* in the same hash bucket */
	struct ld_buf labels; /* as exported: name="value",.. */
	uint64_t count;
};

struct ld_tally {
	const struct ld_tally_spec *spec;
	struct row *buckets[HASH_BUCKETS];
	size_t row_count;
	struct ld_buf scratch;
};

struct ld_tally *
ld_tally_new(const struct ld_tally_spec *spec)
{
	struct ld_tally *t = ld_alloc(sizeof(*t));

	t->spec = spec;
	return t;
}

void
ld_tally_free(struct ld_tally *t)
{
	if (t == NULL)
		return;
	for (size_t i = 0; i < HASH_BUCKETS; i++) {
		while (t->buckets[i] != NULL) {
			struct row *r = t->buckets[i];

			t->buckets[i] = r->next;
			ld_buf_free(&r->labels);
			free(r);
		}
	}
	ld_buf_free(&t->scratch);
	free(t);
}

/* The text exposition format escapes line feeds, quotes and backslashes. */
static void
add_escaped(struct ld_buf *b, const char *value)
{
	for (; *value != '\0'; value++) {
		if (*value == '\n')
			ld_buf_printf(b, "\\n");
		else if (*value == '"' || *value == '\\')
			ld_buf_printf(b, "\\%c", *value);
		else
			ld_buf_add(b, value, 1);
	}
}

/* @values: NULL for the overflow row. */
static struct ld_str
write_labels(struct ld_tally *t, const char *const *values)
{
	t->scratch.len = 0;
	for (size_t i = 0; i < t->spec->label_count; i++) {
		ld_buf_printf(&t->scratch, "%s%s=\"", i > 0 ? "," : "",
		    t->spec->labels[i]);
		add_escaped(&t->scratch, values != NULL ? values[i] : OTHER);
		ld_buf_printf(&t->scratch, "\"");
	}
	return ld_buf_str(&t->scratch);
}

static struct row *
find_or_add(struct ld_tally *t, struct ld_str labels, size_t max_rows)
{
	struct row **bucket = &t->buckets[ld_hash64(labels, 0) % HASH_BUCKETS];
	struct row *r;

	for (r = *bucket; r != NULL; r = r->next)
		if (ld_str_eq(ld_buf_str(&r->labels), labels))
			return r;
	if (t->row_count >= max_rows)
		return NULL;
	r = ld_alloc(sizeof(*r));
	ld_buf_adds(&r->labels, labels);
	r->next = *bucket;
	*bucket = r;
	t->row_count++;
	return r;
}

void
ld_tally_add(struct ld_tally *t, const char *const *values)
{
	struct row *r = find_or_add(t, write_labels(t, values), ROWS_MAX);

	if (r == NULL)
		r = find_or_add(t, write_labels(t, NULL), ROWS_MAX + 1);
	r->count++;
}

uint64_t
ld_tally_get(struct ld_tally *t, const char *const *values)
{
	struct row *r = find_or_add(t, write_labels(t, values), 0);

	return r != NULL ? r->count : 0;
}

void
ld_tally_write(const struct ld_tally *t, struct ld_buf *out)
{
	const char *name = t->spec->name;

	ld_buf_printf(out, "# HELP %s %s\n# TYPE %s counter\n", name,
	    t->spec->help, name);
	for (size_t i = 0; i < HASH_BUCKETS; i++)
		for (const struct row *r = t->buckets[i]; r != NULL;
		     r = r->next)
			ld_buf_printf(out, "%s{%.*s} %llu\n", name,
			    LD_FMT(ld_buf_str(&r->labels)),
			    (unsigned long long)r->count);
}
