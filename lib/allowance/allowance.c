/* See ld_allowance.h and README.md. */
#include <stdlib.h>

#include "ld_allowance.h"

#define MILLI 1000ULL
/* Counts are kept for 16 s. A rate below BURST_MIN in that time is not kept to
 * exactly: the server then gets up to BURST_MIN requests in 16 s. */
#define SLOT_MS 250
#define SLOTS LD_WINDOW_SLOTS_MAX
/* Requests that may be sent at once after a pause: those of BURST_MS, at least
 * BURST_MIN. With less, arrivals at random times leave much of a rate unused. */
#define BURST_MS 750
#define BURST_MIN 3
/* All nodes together consider at most this multiple of the rate. */
#define CONTENTION 2
/* Slots over which the offered requests are counted: 1 s. */
#define OFFERED_SLOTS 4
/* A limit stays in force for this time after the last answer, ms, and for
 * EXPIRY_REQUESTS intervals between requests at its rate. */
#define EXPIRY_MS 10000
#define EXPIRY_REQUESTS 2
/* Upper bound of a wait, ms. */
#define WAIT_MAX_MS 60000

struct ld_allowance *
ld_allowance_new(void)
{
	struct ld_allowance *a = ld_alloc(sizeof(*a));

	a->rate_milli = LD_RATE_UNLIMITED;
	ld_window_init(&a->sent, SLOT_MS, SLOTS);
	ld_window_init(&a->denied, SLOT_MS, SLOTS);
	return a;
}

void
ld_allowance_free(struct ld_allowance *a)
{
	free(a);
}

bool
ld_allowance_observe(
    struct ld_allowance *a, uint32_t rate_milli, uint64_t at_ms)
{
	bool changed = a->rate_milli != rate_milli;

	if (at_ms < a->observed_ms)
		return false;
	a->observed_ms = at_ms;
	a->rate_milli = rate_milli;
	return changed;
}

bool
ld_allowance_is_limited(const struct ld_allowance *a, uint64_t now_ms)
{
	uint64_t expiry_ms = EXPIRY_MS;

	if (a == NULL || a->rate_milli == LD_RATE_UNLIMITED)
		return false;
	if (a->rate_milli > 0)
		expiry_ms += EXPIRY_REQUESTS * MILLI * MILLI / a->rate_milli;
	return now_ms < a->observed_ms + expiry_ms;
}

/* In thousandths of a request. */
static uint64_t
burst_milli(const struct ld_allowance *a, uint32_t share)
{
	uint64_t burst = (uint64_t)a->rate_milli * BURST_MS / MILLI;

	if (burst < BURST_MIN * MILLI)
		burst = BURST_MIN * MILLI;
	burst = burst * share / LD_SHARE_WHOLE;
	return burst > MILLI ? burst : MILLI;
}

/*
 * Time until one more request is within the rate, 0: now. It is when for each
 * past slot the requests since its start are at most the burst and the rate
 * over the time since then. That is a token bucket whose level depends on the
 * kept counts alone, so that the levels of all nodes converge.
 */
static uint64_t
next_ms(struct ld_allowance *a, uint32_t share, uint64_t now_ms)
{
	uint64_t burst = burst_milli(a, share), count_milli = MILLI;
	uint64_t rate = (uint64_t)a->rate_milli * share / LD_SHARE_WHOLE;
	uint64_t wait_ms = 0;

	for (size_t ago = 0; ago < SLOTS; ago++) {
		uint64_t since_ms = now_ms % SLOT_MS + ago * SLOT_MS, needed_ms;

		count_milli += MILLI * ld_window_get(&a->sent, ago, now_ms);
		if (count_milli <= burst)
			continue;
		if (rate == 0)
			return WAIT_MAX_MS;
		needed_ms = (count_milli - burst) * MILLI / rate;
		if (needed_ms > since_ms && needed_ms - since_ms > wait_ms)
			wait_ms = needed_ms - since_ms;
	}
	return wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS;
}

/* Requests per 1,000 s that were offered in the last second. */
static uint64_t
offered_milli(struct ld_allowance *a, uint64_t now_ms)
{
	uint64_t count = ld_window_sum(&a->sent, OFFERED_SLOTS + 1, now_ms) +
	    ld_window_sum(&a->denied, OFFERED_SLOTS + 1, now_ms);

	return count * MILLI * MILLI /
	    (OFFERED_SLOTS * SLOT_MS + now_ms % SLOT_MS + 1);
}

bool
ld_allowance_admits(
    struct ld_allowance *a, uint32_t share, double random, uint64_t now_ms)
{
	if (a->rate_milli == 0)
		return false;
	if (random * (double)offered_milli(a, now_ms) >
	    CONTENTION * (double)a->rate_milli)
		return false;
	return next_ms(a, share, now_ms) == 0;
}

uint64_t
ld_allowance_wait_ms(struct ld_allowance *a, uint32_t share, uint64_t now_ms)
{
	return next_ms(a, share, now_ms);
}

uint64_t
ld_allowance_sent(struct ld_allowance *a, uint64_t ms, uint64_t now_ms)
{
	return ld_window_sum(&a->sent, ms / SLOT_MS, now_ms);
}

uint64_t
ld_allowance_denied(struct ld_allowance *a, uint64_t ms, uint64_t now_ms)
{
	return ld_window_sum(&a->denied, ms / SLOT_MS, now_ms);
}
