/* The budget of retries of one service, over a sliding window. */
#include "ld_dispatch.h"

#define PERMILLE 1000
#define SLOTS 20
/* The oldest of SLOTS slots is cut off by up to its whole length: retries of the
 * slot before may still lie within the window. */
#define RETRY_SLOTS (SLOTS + 1)
/* The least divisor of the fixed number: a node that has just started has few
 * nodes in its list. */
#define NODES_MIN 10

void
ld_retry_init(struct ld_retry_budget *b, uint64_t window_ms, uint64_t permille,
    uint64_t start_ms)
{
	*b = (struct ld_retry_budget){
	    .permille = permille,
	    .nodes_most = NODES_MIN,
	    .start_ms = start_ms,
	    .window_ms = window_ms,
	};
	ld_window_init(&b->requests, window_ms / SLOTS, SLOTS);
	ld_window_init(&b->retries, window_ms / SLOTS, RETRY_SLOTS);
}

void
ld_retry_set_share(struct ld_retry_budget *b, uint64_t extra, uint64_t nodes)
{
	if (nodes > b->nodes_most)
		b->nodes_most = nodes;
	b->extra = extra / b->nodes_most;
}

void
ld_retry_count_request(struct ld_retry_budget *b, uint64_t now_ms)
{
	ld_window_add(&b->requests, 1, now_ms);
}

/* The process that ran before may have used the share of this window. */
static bool
has_share(const struct ld_retry_budget *b, uint64_t now_ms)
{
	return b->start_ms == 0 || now_ms > b->start_ms + b->window_ms;
}

/* In thousandths, as the ratio is. */
static uint64_t
allowed(struct ld_retry_budget *b, uint64_t now_ms)
{
	uint64_t requests = ld_window_sum(&b->requests, SLOTS, now_ms);
	uint64_t extra = has_share(b, now_ms) ? b->extra : 0;

	return requests * b->permille + extra * PERMILLE;
}

static uint64_t
retries_used(struct ld_retry_budget *b, uint64_t now_ms)
{
	return ld_window_sum(&b->retries, RETRY_SLOTS, now_ms);
}

bool
ld_retry_is_half_left(struct ld_retry_budget *b, uint64_t now_ms)
{
	uint64_t retries = retries_used(b, now_ms);

	return 2 * (retries + 1) * PERMILLE <= allowed(b, now_ms);
}

bool
ld_retry_try_acquire(struct ld_retry_budget *b, uint64_t now_ms)
{
	uint64_t retries = retries_used(b, now_ms);

	if ((retries + 1) * PERMILLE > allowed(b, now_ms))
		return false;
	ld_window_add(&b->retries, 1, now_ms);
	return true;
}
