/* See ld_allowance.h and README.md. */
#include <stdlib.h>

#include "ld_allowance.h"

#define MILLI 1000ULL
#define US_PER_MS 1000ULL
#define US_PER_S 1000000ULL
/* Counts are kept for 16 s. The server of a rate below BURST_MIN in that time
 * gets up to BURST_MIN requests in 16 s. */
#define SLOT_MS 250
#define SLOTS LD_WINDOW_SLOTS_MAX
/* Requests that may be sent at once after a pause: those of BURST_US, at least
 * BURST_MIN. With less, arrivals at random times leave much of a rate unused. */
#define BURST_US 750000
#define BURST_MIN 3
/* All nodes together consider at most this multiple of the rate. */
#define CONTENTION 2
/* Slots over which the offered requests of all nodes are counted: 1 s. */
#define OFFERED_SLOTS 4
/* A limit stays in force for this time after the last answer, ms, and for
 * EXPIRY_REQUESTS intervals between requests at its rate. */
#define EXPIRY_MS 10000
#define EXPIRY_REQUESTS 2
/* A cold server that begins to take requests gets none of a node for OFFERED_MS:
 * by then each node has several reports of what the others offer. Without this all
 * nodes send what fits into a limit that nobody has used. A pause of PAUSE_MS, longer
 * than those between the requests of a node with little demand, begins anew. */
#define OFFERED_MS 400
#define PAUSE_MS 5000
/* Requests that may be sent at once to a cold server. */
#define WARMUP_BURST 3
/* After the end of a warm-up the rate rises to RAMP_FACTOR times its value within
 * RAMP_MS, then the limit ends: an idle server would draw the load of others. */
#define RAMP_MS 1500
#define RAMP_FACTOR 4
/* Upper bound of the time between two requests. */
#define INTERVAL_MAX_US 60000000ULL

static void
use_init(struct ld_allowance_use *u)
{
	ld_window_init(&u->sent, SLOT_MS, SLOTS);
	ld_window_init(&u->cost_us, SLOT_MS, SLOTS);
	ld_window_init(&u->denied, SLOT_MS, SLOTS);
}

struct ld_allowance *
ld_allowance_new(void)
{
	struct ld_allowance *a = ld_alloc(sizeof(*a));

	a->rate_milli = LD_RATE_UNLIMITED;
	a->share = LD_SHARE_WHOLE;
	use_init(&a->own);
	use_init(&a->others);
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
	/* The time of the end is kept, so that it isn't reported forever. */
	if (changed || rate_milli != LD_RATE_UNLIMITED)
		a->observed_ms = at_ms;
	a->rate_milli = rate_milli;
	return changed;
}

bool
ld_allowance_is_recent(const struct ld_allowance *a, uint64_t now_ms)
{
	uint64_t expiry_ms = EXPIRY_MS;

	if (a == NULL || a->observed_ms == 0)
		return false;
	if (a->rate_milli > 0)
		expiry_ms += EXPIRY_REQUESTS * MILLI * MILLI / a->rate_milli;
	return now_ms < a->observed_ms + expiry_ms;
}

/* ---- Warm-up ---- */

bool
ld_allowance_is_warming_up(const struct ld_allowance *a, uint64_t now_ms)
{
	return a != NULL && a->warmup.rate_milli > 0 &&
	    now_ms < a->warmup.until_ms + RAMP_MS;
}

static uint32_t
warmup_rate(const struct ld_warmup *w, uint64_t now_ms)
{
	uint64_t since_ms = now_ms > w->until_ms ? now_ms - w->until_ms : 0;

	return w->rate_milli +
	    (uint32_t)((uint64_t)w->rate_milli * (RAMP_FACTOR - 1) * since_ms /
		RAMP_MS);
}

static bool
names_limit(const struct ld_allowance *a, uint64_t now_ms)
{
	return ld_allowance_is_recent(a, now_ms) &&
	    a->rate_milli != LD_RATE_UNLIMITED;
}

bool
ld_allowance_is_limited(const struct ld_allowance *a, uint64_t now_ms)
{
	return names_limit(a, now_ms) || ld_allowance_is_warming_up(a, now_ms);
}

uint32_t
ld_allowance_rate(const struct ld_allowance *a, uint64_t now_ms)
{
	uint32_t rate =
	    names_limit(a, now_ms) ? a->rate_milli : LD_RATE_UNLIMITED;
	uint32_t warmup;

	if (!ld_allowance_is_warming_up(a, now_ms))
		return rate;
	warmup = warmup_rate(&a->warmup, now_ms);
	return warmup < rate ? warmup : rate;
}

/* ---- Use ---- */

/* Requests per 1,000 s, over the last @slots whole slots and the current one. */
static uint64_t
rate_milli_of(uint64_t count, size_t slots, uint64_t now_ms)
{
	return count * MILLI * MILLI / (slots * SLOT_MS + now_ms % SLOT_MS);
}

static uint64_t
offered(struct ld_allowance_use *u, size_t slots, uint64_t now_ms)
{
	return ld_window_sum(&u->sent, slots, now_ms) +
	    ld_window_sum(&u->denied, slots, now_ms);
}

/* Time between two requests at the part @share of the rate; of a limit that has
 * expired too, as the server may name it again. */
static uint64_t
interval_us(const struct ld_allowance *a, uint32_t share, uint64_t now_ms)
{
	uint64_t rate_milli = ld_allowance_is_limited(a, now_ms)
	    ? ld_allowance_rate(a, now_ms)
	    : a->rate_milli;
	uint64_t rate = rate_milli * share / LD_SHARE_WHOLE;
	uint64_t us = rate > 0 ? MILLI * US_PER_S / rate : INTERVAL_MAX_US;

	return us < INTERVAL_MAX_US ? us : INTERVAL_MAX_US;
}

void
ld_allowance_count_sent(struct ld_allowance *a, struct ld_allowance_use *use,
    uint32_t n, uint64_t now_ms)
{
	ld_window_add(&use->sent, n, now_ms);
	if (a->rate_milli != LD_RATE_UNLIMITED ||
	    ld_allowance_is_warming_up(a, now_ms))
		ld_window_add(&use->cost_us,
		    (uint32_t)interval_us(a, a->share, now_ms) * n, now_ms);
}

static uint64_t
burst_us(const struct ld_allowance *a, uint64_t now_ms)
{
	uint64_t burst = BURST_MIN * interval_us(a, LD_SHARE_WHOLE, now_ms);
	uint64_t cost = interval_us(a, a->share, now_ms);

	if (ld_allowance_is_warming_up(a, now_ms))
		burst = WARMUP_BURST * interval_us(a, LD_SHARE_WHOLE, now_ms);
	else if (burst < BURST_US)
		burst = BURST_US;
	return burst > cost ? burst : cost;
}

/*
 * One more request is within the rate when for each past slot its cost and the
 * cost since the slot's start are at most the burst and the time since then. That
 * is a token bucket whose level depends on the kept costs alone, so that the
 * levels of all nodes converge.
 */
static uint64_t
rate_wait_ms(struct ld_allowance *a, uint64_t now_ms)
{
	uint64_t sum_us = interval_us(a, a->share, now_ms), wait_us = 0;
	uint64_t burst = burst_us(a, now_ms);

	if (ld_allowance_rate(a, now_ms) == 0 || a->share == 0)
		return INTERVAL_MAX_US / US_PER_MS;
	for (size_t ago = 0; ago < SLOTS; ago++) {
		uint64_t since_us =
		    US_PER_MS * (now_ms % SLOT_MS + ago * SLOT_MS);

		sum_us += ld_window_get(&a->own.cost_us, ago, now_ms) +
		    ld_window_get(&a->others.cost_us, ago, now_ms);
		if (sum_us > burst + since_us + wait_us)
			wait_us = sum_us - burst - since_us;
	}
	return (wait_us + US_PER_MS - 1) / US_PER_MS;
}

/* Many nodes may see the same free place: each considers a random part of its
 * requests only, so that all together stay near the rate. A node that doesn't
 * know the others' requests does the same for its own share of the rate: with a
 * whole first request for each, many such nodes would exceed it. */
static bool
is_drawn(struct ld_allowance *a, double random, uint64_t now_ms)
{
	double rate =
	    (double)ld_allowance_rate(a, now_ms) * a->share / LD_SHARE_WHOLE;
	uint64_t all = offered(&a->own, OFFERED_SLOTS + 1, now_ms) +
	    offered(&a->others, OFFERED_SLOTS + 1, now_ms);
	uint64_t own = 1 + offered(&a->own, SLOTS, now_ms);

	if (random * (double)rate_milli_of(all, OFFERED_SLOTS, now_ms) >
	    CONTENTION * rate)
		return false;
	return a->share == LD_SHARE_WHOLE ||
	    random * (double)rate_milli_of(own, SLOTS - 1, now_ms) <= rate;
}

bool
ld_allowance_warm_up(struct ld_allowance *a, uint32_t rate_milli,
    uint64_t until_ms, uint64_t now_ms)
{
	bool begins = !ld_allowance_is_warming_up(a, now_ms);

	if (begins || until_ms > a->warmup.until_ms)
		a->warmup.until_ms = until_ms;
	a->warmup.rate_milli = rate_milli;
	if (!begins)
		return false;
	a->warmup.offered_ms = 0;
	ld_window_add(&a->own.cost_us, (uint32_t)burst_us(a, now_ms), now_ms);
	return true;
}

static void
note_offered(struct ld_warmup *w, uint64_t now_ms)
{
	if (w->offered_ms == 0 || now_ms >= w->offered_ms + PAUSE_MS)
		w->offered_since_ms = now_ms;
	w->offered_ms = now_ms;
}

/* Time until the other nodes have reported what they offer to a cold server. */
static uint64_t
reports_wait_ms(const struct ld_allowance *a, uint64_t now_ms)
{
	uint64_t known_ms = a->warmup.offered_since_ms + OFFERED_MS;

	return ld_allowance_is_warming_up(a, now_ms) && now_ms < known_ms
	    ? known_ms - now_ms
	    : 0;
}

uint64_t
ld_allowance_wait_ms(struct ld_allowance *a, uint64_t now_ms)
{
	uint64_t rate_ms = rate_wait_ms(a, now_ms);
	uint64_t reports_ms = reports_wait_ms(a, now_ms);

	return rate_ms > reports_ms ? rate_ms : reports_ms;
}

bool
ld_allowance_admits(struct ld_allowance *a, double random, uint64_t now_ms)
{
	note_offered(&a->warmup, now_ms);
	return is_drawn(a, random, now_ms) &&
	    ld_allowance_wait_ms(a, now_ms) == 0;
}

uint64_t
ld_allowance_sent(struct ld_allowance *a, uint64_t ms, uint64_t now_ms)
{
	return ld_window_sum(&a->own.sent, ms / SLOT_MS, now_ms) +
	    ld_window_sum(&a->others.sent, ms / SLOT_MS, now_ms);
}

uint64_t
ld_allowance_denied(struct ld_allowance *a, uint64_t ms, uint64_t now_ms)
{
	return ld_window_sum(&a->own.denied, ms / SLOT_MS, now_ms) +
	    ld_window_sum(&a->others.denied, ms / SLOT_MS, now_ms);
}
