/* The budget of repeats of one service, over a sliding window. */
#include <string.h>

#include "ld_dispatch.h"

#define PERMILLE 1000

void
ld_repeat_init(struct ld_repeat_budget *b, uint64_t window_ms,
    uint64_t permille, uint64_t extra)
{
	memset(b, 0, sizeof(*b));
	b->slot_ms = window_ms / LD_REPEAT_SLOTS;
	if (b->slot_ms == 0)
		b->slot_ms = 1;
	b->permille = permille;
	b->extra = extra;
}

static size_t
current_slot(struct ld_repeat_budget *b, uint64_t now_ms)
{
	uint64_t number = now_ms / b->slot_ms;

	/* Clear the slots that have passed since the last call. */
	for (size_t i = 0; b->slot_number < number && i < LD_REPEAT_SLOTS;
	     i++) {
		b->slot_number++;
		b->requests[b->slot_number % LD_REPEAT_SLOTS] = 0;
		b->repeats[b->slot_number % LD_REPEAT_SLOTS] = 0;
	}
	if (b->slot_number < number) {
		memset(b->requests, 0, sizeof(b->requests));
		memset(b->repeats, 0, sizeof(b->repeats));
		b->slot_number = number;
	}
	return b->slot_number % LD_REPEAT_SLOTS;
}

void
ld_repeat_request(struct ld_repeat_budget *b, uint64_t now_ms)
{
	b->requests[current_slot(b, now_ms)]++;
}

bool
ld_repeat_take(struct ld_repeat_budget *b, uint64_t now_ms)
{
	size_t slot = current_slot(b, now_ms);
	uint64_t requests = 0, repeats = 0;

	for (size_t i = 0; i < LD_REPEAT_SLOTS; i++) {
		requests += b->requests[i];
		repeats += b->repeats[i];
	}
	if ((repeats + 1) * PERMILLE >
	    requests * b->permille + b->extra * PERMILLE)
		return false;
	b->repeats[slot]++;
	return true;
}
