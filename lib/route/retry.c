/* The retry budget of a node: a token bucket that first attempts refill. */
#include "route_internal.h"

#define MILLI UINT64_C(1000)
/* Limits retries to this share of the requests even while all calls fail. */
#define RETRY_MILLI_PER_REQUEST 80
/* Allows one retry per interval on a node with few requests. */
#define RETRY_FLOOR_INTERVAL_MS 60000
#define RETRY_BURST 3

static void
refill(struct retry_budget *b, uint64_t now_ms)
{
	if (!b->initialized) {
		b->initialized = true;
		b->millitokens = RETRY_BURST * MILLI;
		b->filled_ms = now_ms;
	}
	if (now_ms >= b->filled_ms + RETRY_FLOOR_INTERVAL_MS) {
		b->filled_ms = now_ms;
		if (b->millitokens < MILLI)
			b->millitokens = MILLI;
	}
}

void
ld_route_count_request(struct ld_route *r, uint64_t now_ms)
{
	struct retry_budget *b = &r->budget;

	refill(b, now_ms);
	b->millitokens += RETRY_MILLI_PER_REQUEST;
	if (b->millitokens > RETRY_BURST * MILLI)
		b->millitokens = RETRY_BURST * MILLI;
}

enum ld_status
ld_route_reserve_retry(
    struct ld_route *r, uint64_t now_ms, bool idempotent, uint64_t deadline_ms)
{
	struct retry_budget *b = &r->budget;

	if (!idempotent)
		return ld_fail(LD_E_INVALID, "the call is not idempotent");
	if (now_ms >= deadline_ms)
		return ld_fail(
		    LD_E_TIMEOUT, "the caller's deadline has passed");
	refill(b, now_ms);
	if (b->millitokens < MILLI)
		return ld_fail(LD_E_LIMIT, "the retry budget is used up");
	b->millitokens -= MILLI;
	return LD_OK;
}
