/* The budget of retries of one service, over a sliding window. */
#include "ld_dispatch.h"

#define PERMILLE 1000
#define SLOTS 20

void
ld_retry_init(struct ld_retry_budget *b, uint64_t window_ms, uint64_t permille,
    uint64_t extra)
{
	ld_window_init(&b->requests, window_ms / SLOTS, SLOTS);
	ld_window_init(&b->retries, window_ms / SLOTS, SLOTS);
	b->permille = permille;
	b->extra = extra;
}

void
ld_retry_count_request(struct ld_retry_budget *b, uint64_t now_ms)
{
	ld_window_add(&b->requests, 1, now_ms);
}

/* In thousandths, as the ratio is. */
static uint64_t
allowed(struct ld_retry_budget *b, uint64_t now_ms)
{
	uint64_t requests = ld_window_sum(&b->requests, SLOTS, now_ms);

	return requests * b->permille + b->extra * PERMILLE;
}

bool
ld_retry_is_half_left(struct ld_retry_budget *b, uint64_t now_ms)
{
	uint64_t retries = ld_window_sum(&b->retries, SLOTS, now_ms);

	return 2 * (retries + 1) * PERMILLE <= allowed(b, now_ms);
}

bool
ld_retry_try_acquire(struct ld_retry_budget *b, uint64_t now_ms)
{
	uint64_t retries = ld_window_sum(&b->retries, SLOTS, now_ms);

	if ((retries + 1) * PERMILLE > allowed(b, now_ms))
		return false;
	ld_window_add(&b->retries, 1, now_ms);
	return true;
}
