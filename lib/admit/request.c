/* Requests: decided at once, or after one question to a pool's home. */

#include "admit_internal.h"

#define WAITING_MAX 32 /* requests of one pool that wait at once */
#define ASK_RESEND_MS 40 /* the question or its answer may be lost */
/* Refusals without an answer of the home. */
#define RETRY_AFTER_MS 1000
/* Callers come back spread over this part of the time told, in percent. */
#define RETRY_JITTER_PERCENT 50
/* A home that gave no answer isn't asked again for so long. */
#define SILENT_HOLD_MS 250

/* ---- Waiting ---- */

static void
enqueue(struct account *c, struct request *q)
{
	q->next_waiting = NULL;
	*c->waiting.tail = q;
	c->waiting.tail = &q->next_waiting;
	c->waiting.count++;
}

void
ld_admit_dequeue(struct queue *w, struct request *q)
{
	struct request **at = &w->head;

	while (*at != NULL && *at != q)
		at = &(*at)->next_waiting;
	if (*at == NULL)
		return;
	*at = q->next_waiting;
	if (w->tail == &q->next_waiting)
		w->tail = at;
	w->count--;
}

static enum ld_admit_reason
reason_of(const struct ld_admit *a, const struct lack *lack)
{
	switch (lack->kind) {
	case K_REQUESTS:
		return LD_ADMIT_R_RATE;
	case K_TOKENS:
		return LD_ADMIT_R_TOKENS;
	case K_SLOTS:
		return lack->account == a->leftover ? LD_ADMIT_R_CAPACITY
						    : LD_ADMIT_R_CONCURRENT;
	case K_PROMISED:
	case K_COUNT:
		break;
	}
	return LD_ADMIT_R_CAPACITY;
}

uint32_t
ld_admit_jittered(struct ld_admit *a, uint64_t ms)
{
	uint64_t spread = ms * RETRY_JITTER_PERCENT / 100;

	return (uint32_t)(ms + ld_rand_below(&a->rand, spread + 1));
}

static void
refusal(struct ld_admit *a, struct ld_admit_decision *d,
    enum ld_admit_reason why, uint64_t retry_ms)
{
	*d = (struct ld_admit_decision){
	    .verdict = LD_ADMIT_NO,
	    .reason = why,
	    .retry_after_ms = retry_ms > 0 ? ld_admit_jittered(a, retry_ms) : 0,
	};
	a->stats.refused[why]++;
}

static uint64_t
retry_ms_of(const struct lack *lack, uint64_t now_ms)
{
	if (now_ms < lack->account->deny_until_ms[lack->kind])
		return lack->account->deny_retry_ms[lack->kind];
	return RETRY_AFTER_MS;
}

static void
grant_decision(
    struct ld_admit *a, const struct request *q, struct ld_admit_decision *d)
{
	*d = (struct ld_admit_decision){
	    .verdict = LD_ADMIT_YES,
	    .ticket = q->ticket,
	    .promised = q->promised,
	};
	a->stats.admitted++;
	a->stats.running++;
}

/* Tells the decision: to the running call, or as an action. */
static void
tell(struct ld_admit *a, struct request *q, const struct ld_admit_decision *d)
{
	q->waiting = false;
	if (q->out != NULL) {
		*q->out = *d;
		q->out = NULL;
		return;
	}
	ld_admit_push_decision(a, LD_ADMIT_DECIDED, d);
}

void
ld_admit_refuse(struct ld_admit *a, struct request *q, const struct lack *lack,
    uint64_t now_ms)
{
	struct ld_admit_decision d;

	refusal(a, &d, reason_of(a, lack), retry_ms_of(lack, now_ms));
	d.ticket = q->out != NULL ? 0 : q->ticket;
	tell(a, q, &d);
	ld_admit_request_free(a, q);
}

static bool
is_denied(const struct lack *lack, uint64_t now_ms)
{
	return now_ms < lack->account->deny_until_ms[lack->kind];
}

static bool
can_ask(const struct lack *lack, const struct request *q, uint64_t now_ms)
{
	const struct account *c = lack->account;

	return c->home != 0 && !is_denied(lack, now_ms) &&
	    c->waiting.count < WAITING_MAX && q->asks < ASKS_MAX;
}

/* The denial ends soon, in time for another question. */
static bool
is_held_short(const struct lack *lack, const struct request *q, uint64_t now_ms)
{
	const struct account *c = lack->account;

	return is_denied(lack, now_ms) && q->asks < ASKS_MAX &&
	    c->waiting.count < WAITING_MAX && now_ms < q->deadline_ms &&
	    c->deny_until_ms[lack->kind] <= now_ms + SHORT_HOLD_MS;
}

/* Decides @q, or puts it where its answer will come from. */
static void
decide(struct ld_admit *a, struct request *q, uint64_t now_ms)
{
	struct ld_admit_decision d;
	struct lack lack;

	if (ld_admit_take(a, q, &lack, now_ms)) {
		grant_decision(a, q, &d);
		tell(a, q, &d);
		return;
	}
	if (is_held_short(&lack, q, now_ms)) {
		enqueue(lack.account, q);
		return;
	}
	/* A promised slot out of reach leaves the capacity left over. */
	if (lack.kind == K_PROMISED && !can_ask(&lack, q, now_ms)) {
		lack.account->deny_until_ms[K_PROMISED] =
		    now_ms + SILENT_HOLD_MS;
		if (ld_admit_take(a, q, &lack, now_ms)) {
			grant_decision(a, q, &d);
			tell(a, q, &d);
			return;
		}
	}
	if (now_ms >= q->deadline_ms || !can_ask(&lack, q, now_ms)) {
		ld_admit_refuse(a, q, &lack, now_ms);
		return;
	}
	q->asks++;
	lack.account->ask_due = true;
	enqueue(lack.account, q);
}

void
ld_admit_retry_waiting(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct request *q = c->waiting.head;
	struct request *next;

	ld_admit_upgrade(a, c, now_ms);
	if (q == NULL || c->ask_open)
		return;
	c->waiting.head = NULL;
	c->waiting.tail = &c->waiting.head;
	c->waiting.count = 0;
	for (; q != NULL; q = next) {
		next = q->next_waiting;
		decide(a, q, now_ms);
	}
	if (c->ask_due && !c->ask_open)
		ld_admit_report(a, c, now_ms);
	if (a->leftover->ask_due && !a->leftover->ask_open)
		ld_admit_report(a, a->leftover, now_ms);
}

/* The home gave no answer in time: the rest is refused without a wait. */
void
ld_admit_expire_waiting(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct request *q = c->waiting.head;
	struct lack lack;

	if (c->ask_open && now_ms >= c->ask_ts + ASK_RESEND_MS)
		c->ask_open = false;
	if (q == NULL || now_ms < q->deadline_ms)
		return;
	while ((q = c->waiting.head) != NULL && now_ms >= q->deadline_ms) {
		ld_admit_dequeue(&c->waiting, q);
		if (ld_admit_take(a, q, &lack, now_ms)) {
			struct ld_admit_decision d;

			grant_decision(a, q, &d);
			tell(a, q, &d);
			continue;
		}
		if (!is_denied(&lack, now_ms)) {
			lack.account->deny_until_ms[lack.kind] =
			    now_ms + SILENT_HOLD_MS;
			lack.account->deny_retry_ms[lack.kind] = RETRY_AFTER_MS;
		}
		ld_admit_refuse(a, q, &lack, now_ms);
	}
}

/* ---- Calls of the serving path ---- */

/* Refusals that no question could change. */
static bool
refused_outright(
    struct ld_admit *a, const struct account *c, struct ld_admit_decision *d)
{
	enum ld_admit_reason why = LD_ADMIT_R_NONE;
	uint64_t retry_ms = 0;

	if (!a->have_catalogue || a->member_count == 0) {
		why = LD_ADMIT_R_NO_CATALOGUE;
		retry_ms = RETRY_AFTER_MS;
	} else if (c == NULL || !c->listed || c == a->leftover) {
		why = LD_ADMIT_R_OWNER;
	} else if (c->limit[K_REQUESTS] == 0) {
		why = LD_ADMIT_R_RATE;
	} else if (c->limit[K_TOKENS] == 0) {
		why = LD_ADMIT_R_TOKENS;
	} else if (c->limit[K_SLOTS] == 0) {
		why = LD_ADMIT_R_CONCURRENT;
	} else if (a->config.max_requests > 0 &&
	    a->stats.running >= a->config.max_requests) {
		why = LD_ADMIT_R_OVERLOAD;
		retry_ms = RETRY_AFTER_MS;
	}
	if (why == LD_ADMIT_R_NONE)
		return false;
	refusal(a, d, why, retry_ms);
	return true;
}

void
ld_admit_request(struct ld_admit *a, uint64_t now_ms, struct ld_str owner,
    uint64_t est_tokens, struct ld_admit_decision *d)
{
	struct account *c = ld_admit_account(a, ld_hash64(owner, 0));
	struct account *asked;
	struct request *q;

	if (refused_outright(a, c, d))
		return;
	c->meter[K_REQUESTS].count += MILLI;
	c->meter[K_TOKENS].count += est_tokens * MILLI;
	q = ld_admit_request_new(a, c, est_tokens);
	q->deadline_ms = now_ms + LD_ADMIT_WAIT_MS;
	q->waiting = true;
	q->out = d;
	d->verdict = LD_ADMIT_WAIT;
	decide(a, q, now_ms);
	if (d->verdict != LD_ADMIT_WAIT)
		return;
	asked = c->waiting.head != NULL ? c : a->leftover;
	if (asked->ask_due && !asked->ask_open)
		ld_admit_report(a, asked, now_ms);
	ld_admit_deliver_self(a, now_ms);
	if (d->verdict != LD_ADMIT_WAIT)
		return;
	*d = (struct ld_admit_decision){
	    .verdict = LD_ADMIT_WAIT, .ticket = q->ticket};
	q->out = NULL;
	a->stats.waited++;
}

void
ld_admit_tokens(
    struct ld_admit *a, uint64_t now_ms, uint64_t ticket, uint64_t n)
{
	struct request *q = ld_admit_find(a, ticket);
	uint64_t charged;

	if (q == NULL || q->waiting)
		return;
	q->relayed += n;
	if (q->relayed <= q->tokens)
		return;
	/* What goes beyond the estimate is charged as it comes. */
	charged = q->relayed - q->tokens < n ? q->relayed - q->tokens : n;
	q->account->bucket[K_TOKENS].micro -= (int64_t)(charged * MICRO);
}

void
ld_admit_done(struct ld_admit *a, uint64_t now_ms, uint64_t ticket)
{
	struct request *q = ld_admit_find(a, ticket);

	if (q == NULL)
		return;
	if (q->waiting) {
		ld_admit_dequeue(&q->account->waiting, q);
		ld_admit_dequeue(&a->leftover->waiting, q);
	} else {
		ld_admit_give_back(a, q);
		a->stats.running--;
	}
	ld_admit_request_free(a, q);
}
