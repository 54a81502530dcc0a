/* Exponential back-off with jitter. */
#include "store_internal.h"

/* Caps the shift count, whatever max_ms is. */
#define BACKOFF_MAX_DOUBLINGS 20

uint64_t
backoff_next(struct backoff *b)
{
	uint64_t wait = b->min_ms << b->failures;

	if (b->failures < BACKOFF_MAX_DOUBLINGS)
		b->failures++;
	if (wait > b->max_ms)
		wait = b->max_ms;
	/* Jitter over the upper half, so that nodes don't retry at once. */
	return wait / 2 + ld_rand_below(b->rand, wait / 2 + 1);
}
