/* The retry budget of a node: a token bucket filled by first attempts. */
#include "route_internal.h"

#define MILLI UINT64_C(1000)
/* Retries stay below this share of the requests while all calls fail. */
#define RETRY_MILLI_PER_REQUEST 80
/* Lets a node with few requests repeat one now and then. */
#define RETRY_FLOOR_INTERVAL_MS 60000
#define RETRY_BURST 3

static void
fill(struct retry_budget *b, uint64_t now_ms)
{
	if (!b->started) {
		b->started = true;
		b->milli = RETRY_BURST * MILLI;
		b->filled_ms = now_ms;
	}
	if (now_ms >= b->filled_ms + RETRY_FLOOR_INTERVAL_MS) {
		b->filled_ms = now_ms;
		if (b->milli < MILLI)
			b->milli = MILLI;
	}
}

void
ld_route_count_request(struct ld_route *r, uint64_t now_ms)
{
	struct retry_budget *b = &r->budget;

	fill(b, now_ms);
	b->milli += RETRY_MILLI_PER_REQUEST;
	if (b->milli > RETRY_BURST * MILLI)
		b->milli = RETRY_BURST * MILLI;
}

enum ld_status
ld_route_retry(
    struct ld_route *r, uint64_t now_ms, bool idempotent, uint64_t deadline_ms)
{
	struct retry_budget *b = &r->budget;

	if (!idempotent)
		return ld_fail(LD_E_INVALID, "the call is not idempotent");
	if (now_ms >= deadline_ms)
		return ld_fail(
		    LD_E_TIMEOUT, "the caller's deadline has passed");
	fill(b, now_ms);
	if (b->milli < MILLI)
		return ld_fail(LD_E_LIMIT, "the retry budget is used up");
	b->milli -= MILLI;
	return LD_OK;
}
