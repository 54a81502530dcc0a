/* A node's account of a pool: share, grant, buckets and reports. */
#include <assert.h>
#include <string.h>

#include "admit_internal.h"

/* No share is lent to a home that has not replied to this many reports. */
#define MISSED_REPORTS_MAX 2
/* Smaller changes of demand trigger no report; in thousandths per second. */
#define DEMAND_CHANGE_MILLI 500
/* Requests for the return of a loan in change_report_ms. */
#define LOAN_RETURN_TRIES 8

/* ---- Usable rates and slots ---- */

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
share_rate(const struct ld_admit *a, const struct account *c, enum resource k)
{
	return c->limit[k] * MILLI / a->member_count;
}

uint64_t
ld_admit_usable_rate(const struct ld_admit *a, const struct account *c,
    enum resource k, uint64_t now_ms)
{
	uint64_t rate = 0;

	if (ld_admit_share_usable(a, c, now_ms))
		rate += share_rate(a, c, k);
	if (now_ms < c->grant.until_ms)
		rate += c->grant.rate[k];
	return rate;
}

/* A node has no own share of the leftover pool, since only the pool's home
 * knows how much capacity promised callers use. */
uint64_t
ld_admit_usable_slots(const struct ld_admit *a, const struct account *c,
    enum resource k, uint64_t now_ms)
{
	uint64_t slots = 0;

	if (c != a->leftover && ld_admit_share_usable(a, c, now_ms))
		slots += c->limit[k] / a->member_count;
	if (now_ms < c->grant.until_ms)
		slots += c->grant.slots[SLOT(k)];
	return slots;
}

uint64_t
ld_admit_bucket_depth(uint64_t rate, enum resource k)
{
	uint64_t depth = rate * BUCKET_DEPTH_MS;

	if (rate == 0)
		return 0;
	return depth > MICRO ? depth : MICRO;
}

static uint64_t
max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static void
refill_bucket(
    struct ld_admit *a, struct account *c, enum resource k, uint64_t now_ms)
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
		from = max_u64(from, max_u64(c->lent_until_ms, settled_ms(a)));
		if (now_ms > from)
			add += share_rate(a, c, k) * (now_ms - from);
	}
	b->filled_ms = now_ms;
	b->micro += (int64_t)add;
	depth = (int64_t)ld_admit_bucket_depth(
	    ld_admit_usable_rate(a, c, k, now_ms), k);
	if (b->micro > depth)
		b->micro = depth;
}

void
ld_admit_refill(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	for (int k = 0; k < RATE_KINDS; k++)
		refill_bucket(a, c, (enum resource)k, now_ms);
	if (now_ms > c->one_time_until_ms)
		memset(c->one_time, 0, sizeof(c->one_time));
}

/* ---- Reports ---- */

static bool
may_lend(const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	if (now_ms < settled_ms(a) || !c->home_replied)
		return false;
	if (now_ms - c->home_replied_ms >
	    MISSED_REPORTS_MAX * a->timing.report_ms +
		a->timing.change_report_ms)
		return false;
	return c->lent_to == c->home || now_ms >= c->lent_until_ms;
}

static void
lend_share(
    struct ld_admit *a, struct account *c, struct report *r, uint64_t now_ms)
{
	if (!may_lend(a, c, now_ms))
		return;
	ld_admit_refill(a, c, now_ms);
	r->loan_ms = a->timing.loan_ms;
	c->lent_to = c->home;
	c->lent_ts = now_ms;
	/* The home counts from its echoed time, which is earlier, so the loan
	 * ends there before it ends here. */
	c->lent_until_ms = now_ms + r->loan_ms;
}

static uint64_t
free_slots(const struct ld_admit *a, const struct account *c, enum resource k,
    uint64_t now_ms)
{
	uint64_t slots = ld_admit_usable_slots(a, c, k, now_ms);
	uint64_t used = c->in_use[SLOT(k)];

	return slots > used ? slots - used : 0;
}

static void
add_query(
    struct ld_admit *a, struct account *c, struct report *r, uint64_t now_ms)
{
	const struct request *q;
	uint64_t tokens = 0;

	if (c->waiting.count == 0)
		return;
	for (q = c->waiting.head; q != NULL; q = q->next_waiting)
		tokens += q->tokens;
	r->waiting = c->waiting.count;
	r->tokens_each = tokens * MILLI / r->waiting;
	for (int k = 0; k < RATE_KINDS; k++) {
		int64_t level = c->bucket[k].micro + (int64_t)c->one_time[k];

		if (level > 0)
			r->available[k] = (uint64_t)level / MILLI;
	}
	r->available[K_SLOTS] = free_slots(a, c, K_SLOTS, now_ms);
	r->available[K_PROMISED] = free_slots(a, c, K_PROMISED, now_ms);
	r->need_promised = c->limit[K_PROMISED] > 0 &&
	    now_ms >= c->denied_until_ms[K_PROMISED];
	c->query_pending = true;
	c->query_due = false;
	c->query_ts = now_ms;
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
ld_admit_send_report(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct message m = {.type = MSG_REPORT};
	struct report *r = &m.u.report;

	if (c->home == 0)
		return;
	fill_report(a, c, r, c->home, now_ms);
	r->echo = c->home_ts;
	lend_share(a, c, r, now_ms);
	add_query(a, c, r, now_ms);
	c->sent_report = *r;
	c->report_sent_ms = now_ms;
	c->report_due = false;
	ld_admit_send(a, c->home, &m);
}

/* Acknowledges a grant to a node that is no longer the assigned home. */
static void
send_ack(struct ld_admit *a, const struct account *c, uint64_t to, uint64_t seq,
    uint64_t now_ms)
{
	struct message m = {.type = MSG_REPORT};

	fill_report(a, c, &m.u.report, to, now_ms);
	m.u.report.ack = seq;
	m.u.report.to_former_home = true;
	ld_admit_send(a, to, &m);
}

/* Requests the loan back from a node that is no longer the assigned home. */
static void
request_loan_return(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct message m = {.type = MSG_REPORT};

	if (c->lent_to == 0 || c->lent_to == c->home ||
	    now_ms >= c->lent_until_ms ||
	    now_ms - c->return_requested_ms <
		a->timing.change_report_ms / LOAN_RETURN_TRIES)
		return;
	c->return_requested_ms = now_ms;
	fill_report(a, c, &m.u.report, c->lent_to, now_ms);
	m.u.report.to_former_home = true;
	m.u.report.return_loan = true;
	ld_admit_send(a, c->lent_to, &m);
}

/* ---- Grants ---- */

static bool
is_empty_grant(const struct grant_msg *g)
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
apply_release(struct ld_admit *a, struct account *c, uint64_t from,
    const struct grant_msg *g, uint64_t now_ms)
{
	/* A newer report may have lent the share again. */
	if (!g->release || from != c->lent_to || g->echo < c->lent_ts)
		return;
	ld_admit_refill(a, c, now_ms);
	c->lent_to = 0;
	c->lent_until_ms = now_ms;
	c->report_due = true;
}

static void
note_home_reply(struct ld_admit *a, struct account *c,
    const struct grant_msg *g, uint64_t now_ms)
{
	if (!c->home_replied && now_ms >= settled_ms(a))
		c->report_due = true;
	if (!c->home_replied || g->ts > c->home_ts) {
		c->home_replied = true;
		c->home_ts = g->ts;
		c->home_replied_ms = now_ms;
	}
}

static void
apply_denial(struct account *c, const struct grant_msg *g, uint64_t now_ms)
{
	enum resource k;

	if (g->denied == 0 || g->denied > K_COUNT)
		return;
	k = (enum resource)(g->denied - 1);
	c->denied_until_ms[k] = now_ms + g->backoff_ms;
	c->denied_retry_ms[k] = g->retry_ms;
}

/* One-time units are granted to the requests of one query; they are discarded
 * when they arrive after the deadline of those requests. */
static void
apply_one_time(struct account *c, const struct grant_msg *g, uint64_t now_ms)
{
	uint64_t until = g->echo + LD_ADMIT_WAIT_MS;

	if (now_ms > until)
		return;
	for (int k = 0; k < RATE_KINDS; k++)
		c->one_time[k] += g->one_time[k] * MILLI;
	c->one_time_until_ms = until;
}

static void
apply_grant(struct ld_admit *a, struct account *c, uint64_t from,
    const struct grant_msg *g, uint64_t now_ms)
{
	bool other = from != c->grant.from;

	if (!other && g->seq <= c->grant.seq)
		return;
	if (other && is_empty_grant(g) && now_ms < c->grant.until_ms) {
		if (from != c->home)
			send_ack(a, c, from, g->seq, now_ms);
		return;
	}
	ld_admit_refill(a, c, now_ms);
	if (!other && shrinks(&c->grant, g))
		c->report_due = true;
	c->grant.from = from;
	c->grant.seq = g->seq;
	c->grant.until_ms = g->echo + g->grant_ms;
	memcpy(c->grant.rate, g->rate, sizeof(g->rate));
	memcpy(c->grant.slots, g->slots, sizeof(g->slots));
	ld_admit_refill(a, c, now_ms);
	apply_one_time(c, g, now_ms);
	if (from != c->home)
		send_ack(a, c, from, g->seq, now_ms);
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
		note_home_reply(a, c, g, now_ms);
	apply_grant(a, c, from, g, now_ms);
	apply_release(a, c, from, g, now_ms);
	apply_denial(c, g, now_ms);
	c->scarce = g->scarce;
	if (g->preempt && c->grant.from == from)
		ld_admit_cancel_above(a, c,
		    ld_admit_usable_slots(a, c, K_SLOTS, now_ms),
		    LD_ADMIT_R_CAPACITY);
	if (from == c->home && g->echo >= c->query_ts)
		c->query_pending = false;
	ld_admit_retry_waiting(a, c, now_ms);
	if (c->report_due)
		ld_admit_send_report(a, c, now_ms);
}

/* ---- Tick ---- */

static bool
differs_enough(uint64_t a, uint64_t b, uint64_t min_diff)
{
	uint64_t d = a > b ? a - b : b - a;

	return d >= min_diff && 4 * d > b;
}

static bool
needs_report(const struct ld_admit *a, const struct account *c, uint64_t now_ms)
{
	if (c->report_due)
		return true;
	if (!c->home_replied)
		return now_ms - c->report_sent_ms >=
		    2 * a->timing.change_report_ms;
	if (c->scarce && c->in_use[0] < c->sent_report.in_use[0] &&
	    now_ms - c->report_sent_ms >= a->timing.scarce_report_ms)
		return true;
	if (now_ms - c->report_sent_ms < a->timing.change_report_ms)
		return false;
	if (differs_enough(c->meter[K_REQUESTS].rate,
		c->sent_report.demand[K_REQUESTS], DEMAND_CHANGE_MILLI))
		return true;
	return differs_enough(c->in_use[0], c->sent_report.in_use[0], 1) ||
	    differs_enough(c->in_use[1], c->sent_report.in_use[1], 1);
}

/* Cancels streams that outlive a lapsed grant, as on a node that was cut off
 * from the home or stopped. */
static void
cancel_lapsed(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	uint64_t since = max_u64(c->grant.until_ms, c->lent_ts);

	if (now_ms < since + LAPSED_RUN_MS)
		return;
	ld_admit_cancel_above(a, c,
	    ld_admit_usable_slots(a, c, K_SLOTS, now_ms),
	    c == a->leftover ? LD_ADMIT_R_CAPACITY : LD_ADMIT_R_CONCURRENT);
}

void
ld_admit_account_tick(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	ld_admit_expire_waiting(a, c, now_ms);
	if (c->waiting.head != NULL)
		ld_admit_retry_waiting(a, c, now_ms);
	cancel_lapsed(a, c, now_ms);
	request_loan_return(a, c, now_ms);
	if (!c->listed || !a->have_catalogue)
		return;
	if (needs_report(a, c, now_ms) ||
	    now_ms - c->report_sent_ms >= a->timing.report_ms)
		ld_admit_send_report(a, c, now_ms);
}
