/* Nearest known name, for suggestions after a mistyped one. */
#include <string.h>

#include "ld_settings.h"

#define NAME_BYTES_MAX 64
/* A name further away than this is not offered. */
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
	size_t la = strlen(a), lb = strlen(b);

	if (la > NAME_BYTES_MAX || lb > NAME_BYTES_MAX)
		return NAME_BYTES_MAX;
	for (size_t j = 0; j <= lb; j++)
		row[j] = j;
	for (size_t i = 1; i <= la; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (size_t j = 1; j <= lb; j++) {
			size_t above = row[j];
			size_t swap = diagonal + (a[i - 1] != b[j - 1]);

			row[j] = min3(above + 1, row[j - 1] + 1, swap);
			diagonal = above;
		}
	}
	return row[lb];
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
