/* Difference between two catalogues, by owner. */
#include <stdlib.h>
#include <string.h>

#include "catalogue_internal.h"

static bool
same_keys(const struct ld_entry *a, const struct ld_entry *b)
{
	return a->n_keys == b->n_keys &&
	    (a->n_keys == 0 ||
		memcmp(a->keys, b->keys, a->n_keys * sizeof(*a->keys)) == 0);
}

static bool
same_limits(const struct ld_limits *a, const struct ld_limits *b)
{
	return a->requests_per_s == b->requests_per_s &&
	    a->tokens_per_s == b->tokens_per_s &&
	    a->concurrent == b->concurrent;
}

static bool
same_entry(const struct ld_entry *a, const struct ld_entry *b)
{
	return a->class == b->class && same_limits(&a->limits, &b->limits) &&
	    same_limits(&a->promised, &b->promised) && same_keys(a, b);
}

static void
add_change(struct ld_diff *d, const struct ld_entry *before,
    const struct ld_entry *after)
{
	struct ld_change *c = &d->v[d->n];

	c->kind = LD_CHANGE_CHANGED;
	if (before == NULL)
		c->kind = LD_CHANGE_ADDED;
	else if (after == NULL)
		c->kind = LD_CHANGE_REMOVED;
	c->before = before;
	c->after = after;
	d->n++;
}

void
ld_catalogue_diff(const struct ld_catalogue *before,
    const struct ld_catalogue *after, struct ld_diff *out)
{
	size_t n = before != NULL ? before->n : 0;
	size_t i = 0, j = 0;

	out->n = 0;
	out->v = ld_alloc((n + after->n) * sizeof(*out->v));
	while (i < n || j < after->n) {
		const struct ld_entry *a = i < n ? before->by_owner[i] : NULL;
		const struct ld_entry *b =
		    j < after->n ? after->by_owner[j] : NULL;
		int d;

		if (a == NULL || b == NULL)
			d = a == NULL ? 1 : -1;
		else
			d = strcmp(a->owner, b->owner);
		i += d <= 0;
		j += d >= 0;
		if (d == 0 && same_entry(a, b))
			continue;
		add_change(out, d <= 0 ? a : NULL, d >= 0 ? b : NULL);
	}
}

static void
print_limit(struct ld_buf *out, const char *owner, const char *name,
    uint64_t before, uint64_t after)
{
	if (before != after)
		ld_buf_printf(out, "~ %s %s: %llu -> %llu\n", owner, name,
		    (unsigned long long)before, (unsigned long long)after);
}

static void
print_changed(
    struct ld_buf *out, const struct ld_entry *a, const struct ld_entry *b)
{
	const char *o = a->owner;

	if (a->class != b->class)
		ld_buf_printf(out, "~ %s class: %s -> %s\n", o,
		    ld_class_name(a->class), ld_class_name(b->class));
	print_limit(out, o, "limits.requests_per_s", a->limits.requests_per_s,
	    b->limits.requests_per_s);
	print_limit(out, o, "limits.tokens_per_s", a->limits.tokens_per_s,
	    b->limits.tokens_per_s);
	print_limit(out, o, "limits.concurrent", a->limits.concurrent,
	    b->limits.concurrent);
	print_limit(out, o, "promised.requests_per_s",
	    a->promised.requests_per_s, b->promised.requests_per_s);
	print_limit(out, o, "promised.tokens_per_s", a->promised.tokens_per_s,
	    b->promised.tokens_per_s);
	print_limit(out, o, "promised.concurrent", a->promised.concurrent,
	    b->promised.concurrent);
	if (!same_keys(a, b))
		ld_buf_printf(
		    out, "~ %s keys: %zu -> %zu\n", o, a->n_keys, b->n_keys);
}

void
ld_diff_print(const struct ld_diff *d, struct ld_buf *out)
{
	for (size_t i = 0; i < d->n; i++) {
		const struct ld_change *c = &d->v[i];

		if (c->kind == LD_CHANGE_ADDED)
			ld_buf_printf(out, "+ %s %s\n", c->after->owner,
			    ld_class_name(c->after->class));
		else if (c->kind == LD_CHANGE_REMOVED)
			ld_buf_printf(out, "- %s\n", c->before->owner);
		else
			print_changed(out, c->before, c->after);
	}
}

void
ld_diff_free(struct ld_diff *d)
{
	free(d->v);
	memset(d, 0, sizeof(*d));
}
