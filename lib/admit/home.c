/* The home of a pool: grants units by demand, out of the shares lent to it. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "admit_internal.h"

/* Minimum time between two grants that take idle units back from a node. */
#define RECALL_INTERVAL_MS 50
/* Nodes from which idle units are recalled when one query falls short. */
#define RECALLS_MAX 4
/* Back-off of a denied node: a minimum, and a part for each node that sent a
 * query within QUERY_WINDOW_MS. */
#define BACKOFF_MIN_MS 50
#define BACKOFF_MS_PER_QUERIER 3
#define QUERY_WINDOW_MS 1000
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 10000
#define RETRY_SLOTS_MS 1000
#define RETRY_CAPACITY_MS 2000
#define RATE_STEP_PERCENT 20
/* A pool counts as scarce for this time after a query fell short of slots. */
#define SCARCE_MS 1000
/* A pool counts as scarce when nodes hold at least this part of its slots. */
#define SCARCE_PERCENT 80

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

/* Counts only streams that nodes have reported, so that nothing is cancelled
 * before nodes report their use. */
bool
ld_admit_must_preempt(
    const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	const struct home *h = &c->home_state;
	uint64_t used = 0;

	if (c != a->leftover)
		return false;
	for (size_t i = 0; i < h->count; i++) {
		if (now_ms <
		    h->lenders[i].report_received_ms + a->timing.grant_ms)
			used += h->lenders[i].in_use[SLOT(K_SLOTS)];
	}
	return used > ld_admit_grantable(a, c, K_SLOTS, now_ms);
}

/* ---- Sending ---- */

/* Records the most that the node may hold from now on and sends the grant. */
void
ld_admit_send_grant(struct ld_admit *a, struct account *c, struct lender *l,
    struct grant_msg *g, uint64_t now_ms)
{
	struct message m = {.type = MSG_GRANT};
	uint64_t value;

	g->pool = c->pool;
	g->ts = now_ms;
	g->echo = l->node_ts;
	g->seq = ++a->next_seq;
	g->grant_ms = a->timing.grant_ms;
	g->scarce = g->scarce || now_ms < c->home_state.scarce_until_ms;
	for (int k = 0; k < K_COUNT; k++) {
		value = k < RATE_KINDS ? g->rate[k] : g->slots[SLOT(k)];
		if (now_ms >= l->committed_until_ms)
			l->committed[k] = 0;
		if (value > l->committed[k])
			l->committed[k] = value;
		l->granted[k] = value;
	}
	l->seq = g->seq;
	/* The node counts from when it sent the report answered here, so the
	 * grant ends there before it ends here. */
	if (l->report_received_ms + g->grant_ms > l->committed_until_ms)
		l->committed_until_ms = l->report_received_ms + g->grant_ms;
	m.u.grant = *g;
	ld_admit_send(a, l->node, &m);
}

static void
apply_ack(struct lender *l, uint64_t ack)
{
	if (l->seq != 0 && ack >= l->seq)
		memcpy(l->committed, l->granted, sizeof(l->committed));
}

/* ---- Amounts ---- */

/* Rates follow demand in steps: until the node has acknowledged a change, the
 * larger of the two rates counts as held. */
static bool
is_close(uint64_t target, uint64_t granted)
{
	uint64_t d = target > granted ? target - granted : granted - target;

	return granted > 0 && target > 0 &&
	    d * 100 < granted * RATE_STEP_PERCENT;
}

/* Units of @k to grant to @l now: its fair share, limited to units that no
 * other node holds. */
static uint64_t
grant_amount(const struct ld_admit *a, struct account *c,
    const struct lender *l, enum resource k, uint64_t extra, uint64_t now_ms)
{
	uint64_t pool = ld_admit_grantable(a, c, k, now_ms);
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
refill_one_time(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct bucket *b;
	uint64_t pool, held, rate;
	int64_t depth;

	for (int k = 0; k < RATE_KINDS; k++) {
		b = &c->home_state.one_time[k];
		pool = ld_admit_grantable(a, c, (enum resource)k, now_ms);
		held = ld_admit_held_sum(a, c, (enum resource)k, now_ms);
		rate = pool > held ? pool - held : 0;
		b->micro += (int64_t)(rate * (now_ms - b->filled_ms));
		b->filled_ms = now_ms;
		/* As deep as for the whole pool, so that any node can serve a
		 * burst. */
		depth = (int64_t)ld_admit_bucket_depth(pool, (enum resource)k);
		if (b->micro > depth)
			b->micro = depth;
	}
}

/* Units of rate @k that @n waiting requests need beyond what the node has. */
static uint64_t
one_time_need(const struct report *r, enum resource k, uint64_t n)
{
	uint64_t each = k == K_REQUESTS ? MILLI : r->tokens_each;
	uint64_t need = n * each;

	return need > r->available[k] ? need - r->available[k] : 0;
}

static bool
one_time_fits(
    const struct home *h, const struct report *r, enum resource k, uint64_t n)
{
	uint64_t need = one_time_need(r, k, n);
	int64_t level = h->one_time[k].micro / MILLI;

	if (need == 0)
		return true;
	if (level <= 0)
		return false;
	/* A single request larger than the bucket may overdraw it. */
	if (k == K_TOKENS && n == 1 && level >= MILLI)
		return true;
	return (uint64_t)level >= need;
}

/* Returns 0 when @n requests can be served, else 1 + the resource that falls
 * short. */
static uint64_t
find_shortage(const struct account *c, const struct report *r,
    const struct grant_msg *g, uint64_t n)
{
	for (int k = 0; k < RATE_KINDS; k++) {
		if (!one_time_fits(&c->home_state, r, (enum resource)k, n))
			return 1 + (uint64_t)k;
	}
	if (g->slots[SLOT(K_SLOTS)] < r->in_use[SLOT(K_SLOTS)] + n)
		return 1 + K_SLOTS;
	if (r->need_promised &&
	    g->slots[SLOT(K_PROMISED)] < r->in_use[SLOT(K_PROMISED)] + n)
		return 1 + K_PROMISED;
	return 0;
}

/* ---- Recalling idle units ---- */

static bool
holds_above_target(const struct ld_admit *a, struct account *c,
    const struct lender *l, enum resource k, uint64_t now_ms)
{
	uint64_t target;

	if (now_ms >= l->committed_until_ms || l->granted[k] == 0)
		return false;
	target = k < RATE_KINDS ? ld_admit_target(a, c, l, k, now_ms)
				: l->in_use[SLOT(k)];
	return l->granted[k] > target;
}

static void
send_reduced_grant(struct ld_admit *a, struct account *c, struct lender *l,
    enum resource k, uint64_t now_ms)
{
	struct grant_msg g = {.pool = 0};

	memcpy(g.rate, l->granted, sizeof(g.rate));
	memcpy(g.slots, l->granted + K_SLOTS, sizeof(g.slots));
	if (k < RATE_KINDS)
		g.rate[k] = ld_admit_target(a, c, l, k, now_ms);
	else
		g.slots[SLOT(k)] = l->in_use[SLOT(k)];
	l->reduced_ms = now_ms;
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

/* Recalls idle units from other nodes for the next query. */
static bool
recall(struct ld_admit *a, struct account *c, uint64_t querier, enum resource k,
    uint64_t now_ms)
{
	struct home *h = &c->home_state;
	struct lender *l;
	size_t start, sent = 0;

	start = ld_rand_below(&a->rand, h->count);
	for (size_t i = 0; i < h->count && sent < RECALLS_MAX; i++) {
		l = &h->lenders[(start + i) % h->count];
		if (l->node == querier ||
		    now_ms < l->reduced_ms + RECALL_INTERVAL_MS ||
		    !holds_above_target(a, c, l, k, now_ms))
			continue;
		send_reduced_grant(a, c, l, k, now_ms);
		sent++;
	}
	return sent > 0;
}

/* ---- Answering reports ---- */

static uint64_t
backoff_ms(const struct home *h, uint64_t now_ms)
{
	uint64_t queriers = 0;

	for (size_t i = 0; i < h->count; i++)
		queriers +=
		    h->lenders[i].last_query_ms + QUERY_WINDOW_MS > now_ms;
	return BACKOFF_MIN_MS + queriers * BACKOFF_MS_PER_QUERIER;
}

static uint64_t
retry_ms(const struct ld_admit *a, const struct account *c, enum resource k,
    uint64_t missing, uint64_t now_ms)
{
	uint64_t pool, ms;

	if (c == a->leftover)
		return RETRY_CAPACITY_MS;
	if (k >= K_SLOTS)
		return RETRY_SLOTS_MS;
	pool = ld_admit_grantable(a, c, k, now_ms);
	ms = pool > 0 ? missing * MS_PER_S / pool : RETRY_MAX_MS;
	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms < RETRY_MAX_MS ? ms : RETRY_MAX_MS;
}

static void
answer_query(struct ld_admit *a, struct account *c, struct lender *l,
    const struct report *r, struct grant_msg *g, uint64_t now_ms)
{
	uint64_t n = r->waiting, shortage = 0;
	enum resource k;

	l->last_query_ms = now_ms;
	for (; n > 0; n--) {
		uint64_t missing = find_shortage(c, r, g, n);

		if (missing == 0)
			break;
		shortage = missing;
	}
	for (int i = 0; i < RATE_KINDS && n > 0; i++) {
		g->one_time[i] = one_time_need(r, (enum resource)i, n);
		c->home_state.one_time[i].micro -=
		    (int64_t)(g->one_time[i] * MILLI);
	}
	if (shortage == 0)
		return;
	k = (enum resource)(shortage - 1);
	if (k >= K_SLOTS)
		c->home_state.scarce_until_ms = now_ms + SCARCE_MS;
	g->denied = shortage;
	g->backoff_ms = backoff_ms(&c->home_state, now_ms);
	g->retry_ms = retry_ms(a, c, k,
	    k < RATE_KINDS ? one_time_need(r, k, r->waiting) : 0, now_ms);
	if (recall(a, c, l->node, k, now_ms) && k >= K_SLOTS)
		g->backoff_ms = SHORT_BACKOFF_MS;
}

/* The next queries may fall short, so nodes are to report freed slots early. */
static bool
is_nearly_full(const struct ld_admit *a, const struct account *c,
    enum resource k, uint64_t now_ms)
{
	uint64_t pool = ld_admit_grantable(a, c, k, now_ms);

	return ld_admit_held_sum(a, c, k, now_ms) * 100 >=
	    pool * SCARCE_PERCENT;
}

#define QUERY_REQUESTS_MAX 64 /* waiting requests served by one query */

static void
answer_report(struct ld_admit *a, struct account *c, struct lender *l,
    const struct report *r, uint64_t now_ms)
{
	struct grant_msg g = {.pool = 0};
	uint64_t waiting =
	    r->waiting < QUERY_REQUESTS_MAX ? r->waiting : QUERY_REQUESTS_MAX;
	uint64_t extra;

	refill_one_time(a, c, now_ms);
	for (int k = 0; k < RATE_KINDS; k++)
		g.rate[k] = grant_amount(a, c, l, (enum resource)k, 0, now_ms);
	for (int k = K_SLOTS; k < K_COUNT; k++) {
		extra = k == K_SLOTS || r->need_promised ? waiting : 0;
		g.slots[SLOT(k)] =
		    grant_amount(a, c, l, (enum resource)k, extra, now_ms);
	}
	if (waiting > 0) {
		struct report bounded = *r;
		uint64_t node = l->node;

		bounded.waiting = waiting;
		answer_query(a, c, l, &bounded, &g, now_ms);
		assert(l->node == node);
	}
	g.preempt = ld_admit_must_preempt(a, c, now_ms);
	g.scarce = is_nearly_full(a, c, K_SLOTS, now_ms) ||
	    is_nearly_full(a, c, K_PROMISED, now_ms);
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

/* Answers a node whose assignment of homes differs: it is granted nothing. */
static void
answer_not_home(struct ld_admit *a, struct account *c, struct lender *l,
    const struct report *r, uint64_t now_ms)
{
	struct grant_msg g = {.pool = 0};

	if (r->waiting > 0) {
		g.denied = 1 + K_SLOTS;
		g.backoff_ms = BACKOFF_MIN_MS;
		g.retry_ms = RETRY_MIN_MS;
	}
	ld_admit_send_grant(a, c, l, &g, now_ms);
}

static void
record_loan(struct lender *l, const struct report *r, uint64_t now_ms)
{
	if (r->loan_ms == 0 || r->nodes == 0 || r->echo > now_ms)
		return;
	l->nodes = r->nodes;
	l->return_requested = false;
	if (r->echo + r->loan_ms > l->lent_until_ms)
		l->lent_until_ms = r->echo + r->loan_ms;
}

void
ld_admit_on_report(
    struct ld_admit *a, uint64_t now_ms, uint64_t from, const struct report *r)
{
	struct account *c = ld_admit_account(a, r->pool);
	struct lender *l;

	if (c == NULL)
		return;
	l = lender_get(&c->home_state, from);
	apply_ack(l, r->ack);
	if (r->ts < l->node_ts)
		return;
	l->node_ts = r->ts;
	l->report_received_ms = now_ms;
	memcpy(l->demand, r->demand, sizeof(l->demand));
	memcpy(l->in_use, r->in_use, sizeof(l->in_use));
	if (r->return_loan) {
		ld_admit_on_return_request(a, c, l, now_ms);
	} else if (r->to_former_home) {
		ld_admit_on_return_ack(a, c, l, now_ms);
	} else if (ld_admit_is_home(a, c)) {
		record_loan(l, r, now_ms);
		answer_report(a, c, l, r, now_ms);
	} else {
		answer_not_home(a, c, l, r, now_ms);
	}
}
