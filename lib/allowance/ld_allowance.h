/*
 * A rate of requests that a server grants to all nodes together, or that a cold
 * server takes from them.
 * Source: lib/allowance.
 */
#ifndef LD_ALLOWANCE_H
#define LD_ALLOWANCE_H

#include "ld_common.h"

/* ---- Counts in a sliding window ---- */

#define LD_WINDOW_SLOTS_MAX 64

/**
 * struct ld_window - counts of the last @slots slots of @slot_ms each
 * @slot_number: current slot, counted from time 0
 */
struct ld_window {
	uint64_t slot_ms;
	size_t slots;
	uint64_t slot_number;
	uint32_t counts[LD_WINDOW_SLOTS_MAX];
};

/** ld_window_init() - @slots: at most LD_WINDOW_SLOTS_MAX */
void ld_window_init(struct ld_window *w, uint64_t slot_ms, size_t slots);
void ld_window_add(struct ld_window *w, uint32_t n, uint64_t now_ms);
/** ld_window_get() - count of the slot @ago slots before the current one */
uint32_t ld_window_get(struct ld_window *w, size_t ago, uint64_t now_ms);
/** ld_window_sum() - counts of the current and the @slots - 1 slots before */
uint64_t ld_window_sum(struct ld_window *w, size_t slots, uint64_t now_ms);

/* ---- Allowances ---- */

/** Rate of a server that names none. */
#define LD_RATE_UNLIMITED UINT32_MAX
/** Share of nodes that know the requests of all others, in permille. */
#define LD_SHARE_WHOLE 1000U

/**
 * struct ld_allowance_use - requests for one server
 * @sent: sent to the server
 * @cost_us: of these, each the time between two requests at the rate and share
 *	that were in force then
 * @denied: would have been sent to it without the limit
 */
struct ld_allowance_use {
	struct ld_window sent;
	struct ld_window cost_us;
	struct ld_window denied;
};

/**
 * struct ld_warmup - the rate of a server that is cold
 * @rate_milli: requests per 1,000 s while it is cold, 0: it never was
 * @until_ms: end of that time; the rate rises for some more
 * @offered_since_ms, @offered_ms: first and last request of this node that could
 *	have been sent to it, without a pause
 */
struct ld_warmup {
	uint32_t rate_milli;
	uint64_t until_ms;
	uint64_t offered_since_ms;
	uint64_t offered_ms;
};

/**
 * struct ld_allowance - the rate that one server grants, and its use
 * @rate_milli: named by the server: requests per 1,000 s, or LD_RATE_UNLIMITED
 * @observed_ms: when the answer that said so was received, by any node
 * @warmup: a second limit, with the same use
 * @share: part of the rate that may be used, in permille: the part of all nodes
 *	whose requests are counted here
 * @own: requests of this node
 * @others: those of the other nodes, as far as known
 */
struct ld_allowance {
	uint32_t rate_milli;
	uint64_t observed_ms;
	struct ld_warmup warmup;
	uint32_t share;
	struct ld_allowance_use own;
	struct ld_allowance_use others;
};

struct ld_allowance *ld_allowance_new(void);
void ld_allowance_free(struct ld_allowance *a);

/**
 * ld_allowance_observe() - an answer of the server named @rate_milli
 * @at_ms: when it was received; an observation older than the last is ignored
 *
 * Return: true if the rate in force has changed.
 */
bool ld_allowance_observe(
    struct ld_allowance *a, uint32_t rate_milli, uint64_t at_ms);
/**
 * ld_allowance_warm_up() - the server is cold until @until_ms
 * @rate_milli: requests per 1,000 s that it takes meanwhile, above 0
 *
 * Starts with an empty burst: nodes learn of a cold server at the same time, and
 * of what the others send it some hundred ms later.
 *
 * Return: true if it was not cold before.
 */
bool ld_allowance_warm_up(struct ld_allowance *a, uint32_t rate_milli,
    uint64_t until_ms, uint64_t now_ms);
/** ld_allowance_is_warming_up() - @a: may be NULL */
bool ld_allowance_is_warming_up(const struct ld_allowance *a, uint64_t now_ms);
/** ld_allowance_rate() - the rate in force, or LD_RATE_UNLIMITED */
uint32_t ld_allowance_rate(const struct ld_allowance *a, uint64_t now_ms);
/** ld_allowance_count_sent() - @n requests were sent; @use is part of @a */
void ld_allowance_count_sent(struct ld_allowance *a,
    struct ld_allowance_use *use, uint32_t n, uint64_t now_ms);
/**
 * ld_allowance_is_limited() - a limit is in force
 * @a: may be NULL
 *
 * A limit that no answer has confirmed for some time is no longer in force.
 */
bool ld_allowance_is_limited(const struct ld_allowance *a, uint64_t now_ms);
/**
 * ld_allowance_is_recent() - its rate was confirmed, or a limit that it named
 * ended, recently
 * @a: may be NULL
 */
bool ld_allowance_is_recent(const struct ld_allowance *a, uint64_t now_ms);
/**
 * ld_allowance_admits() - whether one more request may be sent
 * @random: uniform in [0, 1), new for each request
 */
bool ld_allowance_admits(
    struct ld_allowance *a, double random, uint64_t now_ms);
/** ld_allowance_wait_ms() - time until one more request is within the rate */
uint64_t ld_allowance_wait_ms(struct ld_allowance *a, uint64_t now_ms);
/** ld_allowance_sent() - requests sent in the last @ms, whole slots */
uint64_t ld_allowance_sent(
    struct ld_allowance *a, uint64_t ms, uint64_t now_ms);
/** ld_allowance_denied() - the same of the requests denied */
uint64_t ld_allowance_denied(
    struct ld_allowance *a, uint64_t ms, uint64_t now_ms);

#endif
