/* A node's own side of a pool: share, grant, buckets and reports. */
#include <assert.h>
#include <string.h>

#include "admit_internal.h"

/* A home that was not heard for so many reports gets no further loan. */
#define SILENT_REPORTS 2
/* Changes of demand below this are no news, in thousandths per second. */
#define DEMAND_NEWS_MILLI 500
#define ASKS_BACK_PER_GAP 8

/* ---- What may be used now ---- */

static uint64_t
settled_ms(const struct ld_admit *a)
{
	return a->started_ms + a->config.settle_ms;
}

bool
ld_admit_share_usable(
    const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	return a->member_count > 0 && now_ms >= settled_ms(a) &&
	    now_ms >= c->lent_until_ms;
}

static uint64_t
share_rate(const struct ld_admit *a, const struct account *c, enum kind k)
{
	return c->limit[k] * MILLI / a->member_count;
}

uint64_t
ld_admit_rate(const struct ld_admit *a, const struct account *c, enum kind k,
    uint64_t now_ms)
{
	uint64_t rate = 0;

	if (ld_admit_share_usable(a, c, now_ms))
		rate += share_rate(a, c, k);
	if (now_ms < c->grant.until_ms)
		rate += c->grant.rate[k];
	return rate;
}

/* The pool of the left over has no share that a node could use alone: what
 * promised callers use is known to its home only. */
uint64_t
ld_admit_slots(const struct ld_admit *a, const struct account *c, enum kind k,
    uint64_t now_ms)
{
	uint64_t slots = 0;

	if (c != a->leftover && ld_admit_share_usable(a, c, now_ms))
		slots += c->limit[k] / a->member_count;
	if (now_ms < c->grant.until_ms)
		slots += c->grant.slots[SLOT(k)];
	return slots;
}

uint64_t
ld_admit_depth(uint64_t rate, enum kind k)
{
	uint64_t depth = rate * BUCKET_DEPTH_MS;

	if (rate == 0)
		return 0;
	return depth > MICRO ? depth : MICRO;
}

static uint64_t
later(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static void
fill_bucket(struct ld_admit *a, struct account *c, enum kind k, uint64_t now_ms)
{
	struct bucket *b = &c->bucket[k];
	uint64_t from = b->filled_ms;
	uint64_t until =
	    now_ms < c->grant.until_ms ? now_ms : c->grant.until_ms;
	uint64_t add = 0;
	int64_t depth;

	if (until > from)
		add += c->grant.rate[k] * (until - from);
	if (ld_admit_share_usable(a, c, now_ms)) {
		from = later(from, later(c->lent_until_ms, settled_ms(a)));
		if (now_ms > from)
			add += share_rate(a, c, k) * (now_ms - from);
	}
	b->filled_ms = now_ms;
	b->micro += (int64_t)add;
	depth = (int64_t)ld_admit_depth(ld_admit_rate(a, c, k, now_ms), k);
	if (b->micro > depth)
		b->micro = depth;
}

void
ld_admit_fill(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	for (int k = 0; k < RATE_KINDS; k++)
		fill_bucket(a, c, (enum kind)k, now_ms);
	if (now_ms > c->lump_until_ms)
		memset(c->lump, 0, sizeof(c->lump));
}

/* ---- Reports ---- */

static bool
may_lend(const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	if (now_ms < settled_ms(a) || !c->home_heard)
		return false;
	if (now_ms - c->home_heard_ms >
	    SILENT_REPORTS * a->terms.report + a->terms.gap)
		return false;
	return c->lent_to == c->home || now_ms >= c->lent_until_ms;
}

static void
lend(struct ld_admit *a, struct account *c, struct report *r, uint64_t now_ms)
{
	if (!may_lend(a, c, now_ms))
		return;
	ld_admit_fill(a, c, now_ms);
	r->lend_ms = a->terms.lend;
	c->lent_to = c->home;
	c->lent_ts = now_ms;
	/* The home counts from an earlier time than this one. */
	c->lent_until_ms = now_ms + r->lend_ms;
}

static uint64_t
free_slots(const struct ld_admit *a, const struct account *c, enum kind k,
    uint64_t now_ms)
{
	uint64_t slots = ld_admit_slots(a, c, k, now_ms);
	uint64_t used = c->in_use[SLOT(k)];

	return slots > used ? slots - used : 0;
}

static void
ask(struct ld_admit *a, struct account *c, struct report *r, uint64_t now_ms)
{
	const struct request *q;
	uint64_t tokens = 0;

	if (c->waiting.count == 0)
		return;
	for (q = c->waiting.head; q != NULL; q = q->next_waiting)
		tokens += q->tokens;
	r->want = c->waiting.count;
	r->tokens_each = tokens * MILLI / r->want;
	for (int k = 0; k < RATE_KINDS; k++) {
		int64_t level = c->bucket[k].micro + (int64_t)c->lump[k];

		if (level > 0)
			r->have[k] = (uint64_t)level / MILLI;
	}
	r->have[K_SLOTS] = free_slots(a, c, K_SLOTS, now_ms);
	r->have[K_PROMISED] = free_slots(a, c, K_PROMISED, now_ms);
	r->want_promised =
	    c->limit[K_PROMISED] > 0 && now_ms >= c->deny_until_ms[K_PROMISED];
	c->ask_open = true;
	c->ask_due = false;
	c->ask_ts = now_ms;
}

static void
fill_report(const struct ld_admit *a, const struct account *c, struct report *r,
    uint64_t to, uint64_t now_ms)
{
	memset(r, 0, sizeof(*r));
	r->pool = c->pool;
	r->ts = now_ms;
	r->nodes = a->member_count;
	if (c->grant.from == to)
		r->ack = c->grant.seq;
	for (int k = 0; k < RATE_KINDS; k++)
		r->demand[k] = c->meter[k].rate;
	for (int s = 0; s < SLOT_KINDS; s++)
		r->in_use[s] = c->in_use[s];
}

void
ld_admit_report(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct any_msg m = {.type = MSG_REPORT};
	struct report *r = &m.u.report;

	if (c->home == 0)
		return;
	fill_report(a, c, r, c->home, now_ms);
	r->echo = c->home_ts;
	lend(a, c, r, now_ms);
	ask(a, c, r, now_ms);
	c->told = *r;
	c->told_ms = now_ms;
	c->news = false;
	ld_admit_send(a, c->home, &m);
}

/* Confirms a grant to a node that is not the named home any more. */
static void
confirm(struct ld_admit *a, const struct account *c, uint64_t to, uint64_t seq,
    uint64_t now_ms)
{
	struct any_msg m = {.type = MSG_REPORT};

	fill_report(a, c, &m.u.report, to, now_ms);
	m.u.report.ack = seq;
	m.u.report.confirm = true;
	ld_admit_send(a, to, &m);
}

/* The home that holds the loan isn't named any more: ask the loan back. */
static void
ask_back(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct any_msg m = {.type = MSG_REPORT};

	if (c->lent_to == 0 || c->lent_to == c->home ||
	    now_ms >= c->lent_until_ms ||
	    now_ms - c->left_ms < a->terms.gap / ASKS_BACK_PER_GAP)
		return;
	c->left_ms = now_ms;
	fill_report(a, c, &m.u.report, c->lent_to, now_ms);
	m.u.report.confirm = true;
	m.u.report.leave = true;
	ld_admit_send(a, c->lent_to, &m);
}

/* ---- Grants ---- */

static bool
grants_nothing(const struct grant_msg *g)
{
	return (g->rate[0] | g->rate[1] | g->slots[0] | g->slots[1]) == 0;
}

static bool
shrinks(const struct grant *old, const struct grant_msg *g)
{
	for (int i = 0; i < RATE_KINDS; i++) {
		if (g->rate[i] < old->rate[i] || g->slots[i] < old->slots[i])
			return true;
	}
	return false;
}

static void
take_release(struct ld_admit *a, struct account *c, uint64_t from,
    const struct grant_msg *g, uint64_t now_ms)
{
	/* A newer report may have lent the share again meanwhile. */
	if (!g->release || from != c->lent_to || g->echo < c->lent_ts)
		return;
	ld_admit_fill(a, c, now_ms);
	c->lent_to = 0;
	c->lent_until_ms = now_ms;
	c->news = true;
}

static void
hear_home(struct ld_admit *a, struct account *c, const struct grant_msg *g,
    uint64_t now_ms)
{
	if (!c->home_heard && now_ms >= settled_ms(a))
		c->news = true;
	if (!c->home_heard || g->ts > c->home_ts) {
		c->home_heard = true;
		c->home_ts = g->ts;
		c->home_heard_ms = now_ms;
	}
}

static void
take_denial(struct account *c, const struct grant_msg *g, uint64_t now_ms)
{
	enum kind k;

	if (g->denied == 0 || g->denied > K_COUNT)
		return;
	k = (enum kind)(g->denied - 1);
	c->deny_until_ms[k] = now_ms + g->hold_ms;
	c->deny_retry_ms[k] = g->retry_ms;
}

/* A lump is meant for requests that wait now; a late one is void. */
static void
take_lump(struct account *c, const struct grant_msg *g, uint64_t now_ms)
{
	uint64_t until = g->echo + LD_ADMIT_WAIT_MS;

	if (now_ms > until)
		return;
	for (int k = 0; k < RATE_KINDS; k++)
		c->lump[k] += g->lump[k] * MILLI;
	c->lump_until_ms = until;
}

static void
take_grant(struct ld_admit *a, struct account *c, uint64_t from,
    const struct grant_msg *g, uint64_t now_ms)
{
	bool other = from != c->grant.from;

	if (!other && g->seq <= c->grant.seq)
		return;
	if (other && grants_nothing(g) && now_ms < c->grant.until_ms) {
		if (from != c->home)
			confirm(a, c, from, g->seq, now_ms);
		return;
	}
	ld_admit_fill(a, c, now_ms);
	if (!other && shrinks(&c->grant, g))
		c->news = true;
	c->grant.from = from;
	c->grant.seq = g->seq;
	c->grant.until_ms = g->echo + g->grant_ms;
	memcpy(c->grant.rate, g->rate, sizeof(g->rate));
	memcpy(c->grant.slots, g->slots, sizeof(g->slots));
	ld_admit_fill(a, c, now_ms);
	take_lump(c, g, now_ms);
	if (from != c->home)
		confirm(a, c, from, g->seq, now_ms);
}

void
ld_admit_on_grant(struct ld_admit *a, uint64_t now_ms, uint64_t from,
    const struct grant_msg *g)
{
	struct account *c = ld_admit_account(a, g->pool);

	if (c == NULL || g->echo > now_ms)
		return;
	if (from != c->home && from != c->grant.from && from != c->lent_to)
		return;
	if (from == c->home)
		hear_home(a, c, g, now_ms);
	take_grant(a, c, from, g, now_ms);
	take_release(a, c, from, g, now_ms);
	take_denial(c, g, now_ms);
	c->scarce = g->scarce;
	if (g->preempt && c->grant.from == from)
		ld_admit_cancel_above(a, c,
		    ld_admit_slots(a, c, K_SLOTS, now_ms), LD_ADMIT_R_CAPACITY);
	if (from == c->home && g->echo >= c->ask_ts)
		c->ask_open = false;
	ld_admit_retry_waiting(a, c, now_ms);
	if (c->news)
		ld_admit_report(a, c, now_ms);
}

/* ---- Tick ---- */

static bool
differs(uint64_t a, uint64_t b, uint64_t least)
{
	uint64_t d = a > b ? a - b : b - a;

	return d >= least && 4 * d > b;
}

static bool
is_news(const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	if (c->news)
		return true;
	if (!c->home_heard)
		return now_ms - c->told_ms >= 2 * a->terms.gap;
	if (c->scarce && c->in_use[0] < c->told.in_use[0] &&
	    now_ms - c->told_ms >= a->terms.soon)
		return true;
	if (now_ms - c->told_ms < a->terms.gap)
		return false;
	if (differs(c->meter[K_REQUESTS].rate, c->told.demand[K_REQUESTS],
		DEMAND_NEWS_MILLI))
		return true;
	return differs(c->in_use[0], c->told.in_use[0], 1) ||
	    differs(c->in_use[1], c->told.in_use[1], 1);
}

/* A node that is cut off, or was stopped, ends what runs on a lapsed grant. */
static void
check_lapse(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	uint64_t since = later(c->grant.until_ms, c->lent_ts);

	if (now_ms < since + RUN_ON_MS)
		return;
	ld_admit_cancel_above(a, c, ld_admit_slots(a, c, K_SLOTS, now_ms),
	    c == a->leftover ? LD_ADMIT_R_CAPACITY : LD_ADMIT_R_CONCURRENT);
}

void
ld_admit_account_tick(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	ld_admit_expire_waiting(a, c, now_ms);
	if (c->waiting.head != NULL)
		ld_admit_retry_waiting(a, c, now_ms);
	check_lapse(a, c, now_ms);
	ask_back(a, c, now_ms);
	if (!c->listed || !a->have_catalogue)
		return;
	if (is_news(a, c, now_ms) || now_ms - c->told_ms >= a->terms.report)
		ld_admit_report(a, c, now_ms);
}
