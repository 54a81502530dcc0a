/* The home of a pool: grants by demand out of what nodes lent to it. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "admit_internal.h"

/* Least time between two grants that take idle amounts back from a node. */
#define RECALL_GAP_MS 50
/* Nodes asked for idle amounts when one question falls short. */
#define RECALLS_MAX 4
/* A denied node asks again after this, and this for each other asker. */
#define HOLD_MIN_MS 50
#define HOLD_MS_PER_ASKER 3
#define ASKER_WINDOW_MS 1000
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 10000
#define RETRY_SLOTS_MS 1000
#define RETRY_CAPACITY_MS 2000
#define RATE_STEP_PERCENT 20
/* A pool counts as scarce for so long after a question fell short. */
#define SCARCE_MS 1000
/* Slots held beyond this part of the pool make it scarce. */
#define TIGHT_PERCENT 80

bool
ld_admit_is_home(const struct ld_admit *a, const struct account *c)
{
	return c->home == a->config.node && c->listed;
}

static struct lender *
lender_get(struct home *h, uint64_t node)
{
	struct lender *l;

	for (size_t i = 0; i < h->count; i++) {
		if (h->lenders[i].node == node)
			return &h->lenders[i];
	}
	if (h->count == h->cap) {
		h->cap = h->cap > 0 ? 2 * h->cap : 8;
		h->lenders =
		    ld_realloc(h->lenders, h->cap * sizeof(*h->lenders));
	}
	l = &h->lenders[h->count++];
	memset(l, 0, sizeof(*l));
	l->node = node;
	return l;
}

void
ld_admit_home_free(struct home *h)
{
	free(h->lenders);
	free(h->used);
	memset(h, 0, sizeof(*h));
}

/* Streams must end: cancelling waits until nodes said what they use. */
bool
ld_admit_is_short(
    const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	const struct home *h = &c->side;
	uint64_t used = 0;

	if (c != a->leftover)
		return false;
	for (size_t i = 0; i < h->count; i++) {
		if (now_ms < h->lenders[i].heard_ms + a->terms.grant)
			used += h->lenders[i].in_use[SLOT(K_SLOTS)];
	}
	return used > ld_admit_pool(a, c, K_SLOTS, now_ms);
}

/* ---- Sending ---- */

/* Notes what the node may hold from now on and sends it. */
void
ld_admit_send_grant(struct ld_admit *a, struct account *c, struct lender *l,
    struct grant_msg *g, uint64_t now_ms)
{
	struct any_msg m = {.type = MSG_GRANT};
	uint64_t value;

	g->pool = c->pool;
	g->ts = now_ms;
	g->echo = l->node_ts;
	g->seq = ++a->next_seq;
	g->grant_ms = a->terms.grant;
	g->scarce = g->scarce || now_ms < c->side.scarce_until_ms;
	for (int k = 0; k < K_COUNT; k++) {
		value = k < RATE_KINDS ? g->rate[k] : g->slots[SLOT(k)];
		if (now_ms >= l->commit_until_ms)
			l->committed[k] = 0;
		if (value > l->committed[k])
			l->committed[k] = value;
		l->granted[k] = value;
	}
	l->seq = g->seq;
	/* The node counts from when it sent what is answered here. */
	if (l->heard_ms + g->grant_ms > l->commit_until_ms)
		l->commit_until_ms = l->heard_ms + g->grant_ms;
	m.u.grant = *g;
	ld_admit_send(a, l->node, &m);
}

static void
take_ack(struct lender *l, uint64_t ack)
{
	if (l->seq != 0 && ack >= l->seq)
		memcpy(l->committed, l->granted, sizeof(l->committed));
}

/* ---- Amounts ---- */

/* Rates follow demand in steps: each change costs a confirmation, during
 * which the larger of two values is held. */
static bool
is_close(uint64_t target, uint64_t granted)
{
	uint64_t d = target > granted ? target - granted : granted - target;

	return granted > 0 && target > 0 &&
	    d * 100 < granted * RATE_STEP_PERCENT;
}

/* The amount of @k that @l may get now: its fair part, if nobody holds it. */
static uint64_t
amount(const struct ld_admit *a, struct account *c, const struct lender *l,
    enum kind k, uint64_t extra, uint64_t now_ms)
{
	uint64_t pool = ld_admit_pool(a, c, k, now_ms);
	uint64_t others =
	    ld_admit_held_sum(a, c, k, now_ms) - ld_admit_held(a, l, k, now_ms);
	uint64_t left = pool > others ? pool - others : 0;
	uint64_t target = ld_admit_target(a, c, l, k, now_ms);

	if (k < RATE_KINDS && is_close(target, l->granted[k]))
		target = l->granted[k];
	if (k >= K_SLOTS && target < l->in_use[SLOT(k)] + extra)
		target = l->in_use[SLOT(k)] + extra;
	return target < left ? target : left;
}

static void
fill_lumps(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct bucket *b;
	uint64_t pool, held, rate;
	int64_t depth;

	for (int k = 0; k < RATE_KINDS; k++) {
		b = &c->side.lump[k];
		pool = ld_admit_pool(a, c, (enum kind)k, now_ms);
		held = ld_admit_held_sum(a, c, (enum kind)k, now_ms);
		rate = pool > held ? pool - held : 0;
		b->micro += (int64_t)(rate * (now_ms - b->filled_ms));
		b->filled_ms = now_ms;
		/* All of the pool: bursts go where the requests come. */
		depth = (int64_t)ld_admit_depth(pool, (enum kind)k);
		if (b->micro > depth)
			b->micro = depth;
	}
}

/* What @n waiting requests lack of rate kind @k. */
static uint64_t
lump_need(const struct report *r, enum kind k, uint64_t n)
{
	uint64_t each = k == K_REQUESTS ? MILLI : r->tokens_each;
	uint64_t need = n * each;

	return need > r->have[k] ? need - r->have[k] : 0;
}

static bool
lump_fits(const struct home *h, const struct report *r, enum kind k, uint64_t n)
{
	uint64_t need = lump_need(r, k, n);
	int64_t level = h->lump[k].micro / MILLI;

	if (need == 0)
		return true;
	if (level <= 0)
		return false;
	/* One request larger than the bucket may overdraw it. */
	if (k == K_TOKENS && n == 1 && level >= MILLI)
		return true;
	return (uint64_t)level >= need;
}

/* Returns 0 when @n requests can be served, else 1 + the kind lacking. */
static uint64_t
lacking(const struct account *c, const struct report *r,
    const struct grant_msg *g, uint64_t n)
{
	for (int k = 0; k < RATE_KINDS; k++) {
		if (!lump_fits(&c->side, r, (enum kind)k, n))
			return 1 + (uint64_t)k;
	}
	if (g->slots[SLOT(K_SLOTS)] < r->in_use[SLOT(K_SLOTS)] + n)
		return 1 + K_SLOTS;
	if (r->want_promised &&
	    g->slots[SLOT(K_PROMISED)] < r->in_use[SLOT(K_PROMISED)] + n)
		return 1 + K_PROMISED;
	return 0;
}

/* ---- Taking back ---- */

static bool
above_target(const struct ld_admit *a, struct account *c,
    const struct lender *l, enum kind k, uint64_t now_ms)
{
	uint64_t target;

	if (now_ms >= l->commit_until_ms || l->granted[k] == 0)
		return false;
	target = k < RATE_KINDS ? ld_admit_target(a, c, l, k, now_ms)
				: l->in_use[SLOT(k)];
	return l->granted[k] > target;
}

static void
send_shrunk(struct ld_admit *a, struct account *c, struct lender *l,
    enum kind k, uint64_t now_ms)
{
	struct grant_msg g = {.pool = 0};

	memcpy(g.rate, l->granted, sizeof(g.rate));
	memcpy(g.slots, l->granted + K_SLOTS, sizeof(g.slots));
	if (k < RATE_KINDS)
		g.rate[k] = ld_admit_target(a, c, l, k, now_ms);
	else
		g.slots[SLOT(k)] = l->in_use[SLOT(k)];
	l->shrunk_ms = now_ms;
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

/* Idle amounts of other nodes come back for the next question. */
static bool
recall(struct ld_admit *a, struct account *c, uint64_t asker, enum kind k,
    uint64_t now_ms)
{
	struct home *h = &c->side;
	struct lender *l;
	size_t start, sent = 0;

	start = ld_rand_below(&a->rand, h->count);
	for (size_t i = 0; i < h->count && sent < RECALLS_MAX; i++) {
		l = &h->lenders[(start + i) % h->count];
		if (l->node == asker || now_ms < l->shrunk_ms + RECALL_GAP_MS ||
		    !above_target(a, c, l, k, now_ms))
			continue;
		send_shrunk(a, c, l, k, now_ms);
		sent++;
	}
	return sent > 0;
}

/* ---- Answering ---- */

static uint64_t
hold_ms(const struct home *h, uint64_t now_ms)
{
	uint64_t askers = 0;

	for (size_t i = 0; i < h->count; i++)
		askers += h->lenders[i].asked_ms + ASKER_WINDOW_MS > now_ms;
	return HOLD_MIN_MS + askers * HOLD_MS_PER_ASKER;
}

static uint64_t
retry_ms(const struct ld_admit *a, const struct account *c, enum kind k,
    uint64_t missing, uint64_t now_ms)
{
	uint64_t pool, ms;

	if (c == a->leftover)
		return RETRY_CAPACITY_MS;
	if (k >= K_SLOTS)
		return RETRY_SLOTS_MS;
	pool = ld_admit_pool(a, c, k, now_ms);
	ms = pool > 0 ? missing * MS_PER_S / pool : RETRY_MAX_MS;
	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms < RETRY_MAX_MS ? ms : RETRY_MAX_MS;
}

static void
answer_ask(struct ld_admit *a, struct account *c, struct lender *l,
    const struct report *r, struct grant_msg *g, uint64_t now_ms)
{
	uint64_t n = r->want, lack = 0;
	enum kind k;

	l->asked_ms = now_ms;
	for (; n > 0; n--) {
		uint64_t missing = lacking(c, r, g, n);

		if (missing == 0)
			break;
		lack = missing;
	}
	for (int i = 0; i < RATE_KINDS && n > 0; i++) {
		g->lump[i] = lump_need(r, (enum kind)i, n);
		c->side.lump[i].micro -= (int64_t)(g->lump[i] * MILLI);
	}
	if (lack == 0)
		return;
	k = (enum kind)(lack - 1);
	if (k >= K_SLOTS)
		c->side.scarce_until_ms = now_ms + SCARCE_MS;
	g->denied = lack;
	g->hold_ms = hold_ms(&c->side, now_ms);
	g->retry_ms = retry_ms(
	    a, c, k, k < RATE_KINDS ? lump_need(r, k, r->want) : 0, now_ms);
	if (recall(a, c, l->node, k, now_ms) && k >= K_SLOTS)
		g->hold_ms = SHORT_HOLD_MS;
}

/* The next questions may fall short: nodes tell of free slots soon. */
static bool
is_tight(const struct ld_admit *a, const struct account *c, enum kind k,
    uint64_t now_ms)
{
	uint64_t pool = ld_admit_pool(a, c, k, now_ms);

	return ld_admit_held_sum(a, c, k, now_ms) * 100 >= pool * TIGHT_PERCENT;
}

#define WANT_MAX 64 /* requests answered in one ask */

static void
answer(struct ld_admit *a, struct account *c, struct lender *l,
    const struct report *r, uint64_t now_ms)
{
	struct grant_msg g = {.pool = 0};
	uint64_t want = r->want < WANT_MAX ? r->want : WANT_MAX;
	uint64_t extra;

	fill_lumps(a, c, now_ms);
	for (int k = 0; k < RATE_KINDS; k++)
		g.rate[k] = amount(a, c, l, (enum kind)k, 0, now_ms);
	for (int k = K_SLOTS; k < K_COUNT; k++) {
		extra = k == K_SLOTS || r->want_promised ? want : 0;
		g.slots[SLOT(k)] = amount(a, c, l, (enum kind)k, extra, now_ms);
	}
	if (want > 0) {
		struct report bounded = *r;
		uint64_t node = l->node;

		bounded.want = want;
		answer_ask(a, c, l, &bounded, &g, now_ms);
		assert(l->node == node);
	}
	g.preempt = ld_admit_is_short(a, c, now_ms);
	g.scarce = is_tight(a, c, K_SLOTS, now_ms) ||
	    is_tight(a, c, K_PROMISED, now_ms);
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

/* To a node whose view of the homes differs: it may hold nothing from here. */
static void
answer_empty(struct ld_admit *a, struct account *c, struct lender *l,
    const struct report *r, uint64_t now_ms)
{
	struct grant_msg g = {.pool = 0};

	if (r->want > 0) {
		g.denied = 1 + K_SLOTS;
		g.hold_ms = HOLD_MIN_MS;
		g.retry_ms = RETRY_MIN_MS;
	}
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

static void
take_loan(struct lender *l, const struct report *r, uint64_t now_ms)
{
	if (r->lend_ms == 0 || r->nodes == 0 || r->echo > now_ms)
		return;
	l->nodes = r->nodes;
	l->leaving = false;
	if (r->echo + r->lend_ms > l->lent_until_ms)
		l->lent_until_ms = r->echo + r->lend_ms;
}

void
ld_admit_on_report(
    struct ld_admit *a, uint64_t now_ms, uint64_t from, const struct report *r)
{
	struct account *c = ld_admit_account(a, r->pool);
	struct lender *l;

	if (c == NULL)
		return;
	l = lender_get(&c->side, from);
	take_ack(l, r->ack);
	if (r->ts < l->node_ts)
		return;
	l->node_ts = r->ts;
	l->heard_ms = now_ms;
	memcpy(l->demand, r->demand, sizeof(l->demand));
	memcpy(l->in_use, r->in_use, sizeof(l->in_use));
	if (r->leave) {
		ld_admit_take_leave(a, c, l, now_ms);
	} else if (r->confirm) {
		ld_admit_leave_confirmed(a, c, l, now_ms);
	} else if (ld_admit_is_home(a, c)) {
		take_loan(l, r, now_ms);
		answer(a, c, l, r, now_ms);
	} else {
		answer_empty(a, c, l, r, now_ms);
	}
}
