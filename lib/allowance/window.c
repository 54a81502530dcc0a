/* Counts in a sliding window. */
#include <assert.h>
#include <string.h>

#include "ld_allowance.h"

void
ld_window_init(struct ld_window *w, uint64_t slot_ms, size_t slots)
{
	assert(slots > 0 && slots <= LD_WINDOW_SLOTS_MAX);
	memset(w, 0, sizeof(*w));
	w->slot_ms = slot_ms > 0 ? slot_ms : 1;
	w->slots = slots;
}

/* Clears the slots that have begun since the last call. */
static void
advance(struct ld_window *w, uint64_t now_ms)
{
	uint64_t number = now_ms / w->slot_ms;

	if (number >= w->slot_number + w->slots) {
		memset(w->counts, 0, sizeof(w->counts));
		w->slot_number = number;
	}
	while (w->slot_number < number)
		w->counts[++w->slot_number % w->slots] = 0;
}

void
ld_window_add(struct ld_window *w, uint32_t n, uint64_t now_ms)
{
	uint32_t *count;

	advance(w, now_ms);
	count = &w->counts[w->slot_number % w->slots];
	*count = n < UINT32_MAX - *count ? *count + n : UINT32_MAX;
}

uint32_t
ld_window_get(struct ld_window *w, size_t ago, uint64_t now_ms)
{
	assert(ago < w->slots);
	advance(w, now_ms);
	return w->counts[(w->slot_number + w->slots - ago) % w->slots];
}

uint64_t
ld_window_sum(struct ld_window *w, size_t slots, uint64_t now_ms)
{
	uint64_t sum = 0;

	assert(slots <= w->slots);
	for (size_t i = 0; i < slots; i++)
		sum += ld_window_get(w, i, now_ms);
	return sum;
}
