/* The budget of retries of one service, over a sliding window. */
#include <string.h>

#include "ld_dispatch.h"

#define PERMILLE 1000

void
ld_retry_init(struct ld_retry_budget *b, uint64_t window_ms, uint64_t permille,
    uint64_t extra)
{
	memset(b, 0, sizeof(*b));
	b->slot_ms = window_ms / LD_RETRY_SLOTS;
	if (b->slot_ms == 0)
		b->slot_ms = 1;
	b->permille = permille;
	b->extra = extra;
}

static size_t
current_slot(struct ld_retry_budget *b, uint64_t now_ms)
{
	uint64_t number = now_ms / b->slot_ms;

	/* Clear the slots that have passed since the last call. */
	for (size_t i = 0; b->slot_number < number && i < LD_RETRY_SLOTS; i++) {
		b->slot_number++;
		b->requests[b->slot_number % LD_RETRY_SLOTS] = 0;
		b->retries[b->slot_number % LD_RETRY_SLOTS] = 0;
	}
	if (b->slot_number < number) {
		memset(b->requests, 0, sizeof(b->requests));
		memset(b->retries, 0, sizeof(b->retries));
		b->slot_number = number;
	}
	return b->slot_number % LD_RETRY_SLOTS;
}

void
ld_retry_count_request(struct ld_retry_budget *b, uint64_t now_ms)
{
	b->requests[current_slot(b, now_ms)]++;
}

bool
ld_retry_try_acquire(struct ld_retry_budget *b, uint64_t now_ms)
{
	size_t slot = current_slot(b, now_ms);
	uint64_t requests = 0, retries = 0;

	for (size_t i = 0; i < LD_RETRY_SLOTS; i++) {
		requests += b->requests[i];
		retries += b->retries[i];
	}
	if ((retries + 1) * PERMILLE >
	    requests * b->permille + b->extra * PERMILLE)
		return false;
	b->retries[slot]++;
	return true;
}
