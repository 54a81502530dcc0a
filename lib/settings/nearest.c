/* Suggests the closest valid name for a mistyped one. */
#include <string.h>

#include "ld_settings.h"

#define NAME_BYTES_MAX 64
/* Largest edit distance at which a name is suggested. */
#define EDITS_MAX 3

static size_t
min3(size_t a, size_t b, size_t c)
{
	size_t m = a < b ? a : b;

	return m < c ? m : c;
}

/* Levenshtein distance of two names of at most NAME_BYTES_MAX bytes. */
static size_t
edit_distance(const char *a, const char *b)
{
	size_t row[NAME_BYTES_MAX + 1];
	size_t a_len = strlen(a), b_len = strlen(b);

	if (a_len > NAME_BYTES_MAX || b_len > NAME_BYTES_MAX)
		return NAME_BYTES_MAX;
	for (size_t j = 0; j <= b_len; j++)
		row[j] = j;
	for (size_t i = 1; i <= a_len; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (size_t j = 1; j <= b_len; j++) {
			size_t above = row[j];
			size_t substitution = diagonal + (a[i - 1] != b[j - 1]);

			row[j] = min3(above + 1, row[j - 1] + 1, substitution);
			diagonal = above;
		}
	}
	return row[b_len];
}

const char *
ld_nearest_name(const char *name, const char *const *candidates, size_t count)
{
	const char *best = NULL;
	size_t best_edits = EDITS_MAX + 1;

	for (size_t i = 0; i < count; i++) {
		size_t edits = edit_distance(name, candidates[i]);

		if (edits < best_edits) {
			best_edits = edits;
			best = candidates[i];
		}
	}
	return best;
}
