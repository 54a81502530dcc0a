/* Requests: decided immediately, or after queries to a pool's home. */

#include "admit_internal.h"

#define WAITING_MAX 32 /* concurrently waiting requests of one pool */
#define QUERY_RESEND_MS 40 /* the query or its grant may be lost */
/* Retry time of refusals for which the home has sent none. */
#define RETRY_AFTER_MS 1000
/* Retry times are extended at random by up to this percentage, to spread the
 * retries of callers. */
#define RETRY_JITTER_PERCENT 50
/* No query for a resource during this time when a home did not reply. */
#define NO_REPLY_BACKOFF_MS 250

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
reason_of(const struct ld_admit *a, const struct shortage *shortage)
{
	switch (shortage->resource) {
	case K_REQUESTS:
		return LD_ADMIT_R_RATE;
	case K_TOKENS:
		return LD_ADMIT_R_TOKENS;
	case K_SLOTS:
		return shortage->account == a->leftover ? LD_ADMIT_R_CAPACITY
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
make_refusal(struct ld_admit *a, struct ld_admit_decision *d,
    enum ld_admit_reason reason, uint64_t retry_ms)
{
	*d = (struct ld_admit_decision){
	    .verdict = LD_ADMIT_NO,
	    .reason = reason,
	    .retry_after_ms = retry_ms > 0 ? ld_admit_jittered(a, retry_ms) : 0,
	};
	a->stats.refused[reason]++;
}

static uint64_t
retry_ms_of(const struct shortage *shortage, uint64_t now_ms)
{
	if (now_ms < shortage->account->denied_until_ms[shortage->resource])
		return shortage->account->denied_retry_ms[shortage->resource];
	return RETRY_AFTER_MS;
}

static void
make_admission(
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

/* Returns the decision from the running ld_admit_request(), or queues it as an
 * action. */
static void
deliver_decision(
    struct ld_admit *a, struct request *q, const struct ld_admit_decision *d)
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
ld_admit_refuse(struct ld_admit *a, struct request *q,
    const struct shortage *shortage, uint64_t now_ms)
{
	struct ld_admit_decision d;

	make_refusal(
	    a, &d, reason_of(a, shortage), retry_ms_of(shortage, now_ms));
	d.ticket = q->out != NULL ? 0 : q->ticket;
	deliver_decision(a, q, &d);
	ld_admit_request_free(a, q);
}

static bool
is_denied(const struct shortage *shortage, uint64_t now_ms)
{
	return now_ms < shortage->account->denied_until_ms[shortage->resource];
}

static bool
can_query(
    const struct shortage *shortage, const struct request *q, uint64_t now_ms)
{
	const struct account *c = shortage->account;

	return c->home != 0 && !is_denied(shortage, now_ms) &&
	    c->waiting.count < WAITING_MAX && q->queries < QUERIES_MAX;
}

/* The denial ends soon enough for another query before the deadline. */
static bool
backoff_ends_soon(
    const struct shortage *shortage, const struct request *q, uint64_t now_ms)
{
	const struct account *c = shortage->account;

	return is_denied(shortage, now_ms) && q->queries < QUERIES_MAX &&
	    c->waiting.count < WAITING_MAX && now_ms < q->deadline_ms &&
	    c->denied_until_ms[shortage->resource] <= now_ms + SHORT_BACKOFF_MS;
}

/* Decides @q, or queues it at the account that falls short. */
static void
decide(struct ld_admit *a, struct request *q, uint64_t now_ms)
{
	struct ld_admit_decision d;
	struct shortage shortage;

	if (ld_admit_acquire(a, q, &shortage, now_ms)) {
		make_admission(a, q, &d);
		deliver_decision(a, q, &d);
		return;
	}
	if (backoff_ends_soon(&shortage, q, now_ms)) {
		enqueue(shortage.account, q);
		return;
	}
	/* Without a promised slot, the request may use leftover capacity. */
	if (shortage.resource == K_PROMISED &&
	    !can_query(&shortage, q, now_ms)) {
		shortage.account->denied_until_ms[K_PROMISED] =
		    now_ms + NO_REPLY_BACKOFF_MS;
		if (ld_admit_acquire(a, q, &shortage, now_ms)) {
			make_admission(a, q, &d);
			deliver_decision(a, q, &d);
			return;
		}
	}
	if (now_ms >= q->deadline_ms || !can_query(&shortage, q, now_ms)) {
		ld_admit_refuse(a, q, &shortage, now_ms);
		return;
	}
	q->queries++;
	shortage.account->query_due = true;
	enqueue(shortage.account, q);
}

void
ld_admit_retry_waiting(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct request *q = c->waiting.head;
	struct request *next;

	ld_admit_upgrade(a, c, now_ms);
	if (q == NULL || c->query_pending)
		return;
	c->waiting.head = NULL;
	c->waiting.tail = &c->waiting.head;
	c->waiting.count = 0;
	for (; q != NULL; q = next) {
		next = q->next_waiting;
		decide(a, q, now_ms);
	}
	if (c->query_due && !c->query_pending)
		ld_admit_send_report(a, c, now_ms);
	if (a->leftover->query_due && !a->leftover->query_pending)
		ld_admit_send_report(a, a->leftover, now_ms);
}

/* The home did not reply in time: requests past their deadline are decided
 * here, and until the back-off ends, further ones don't wait. */
void
ld_admit_expire_waiting(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct request *q = c->waiting.head;
	struct shortage shortage;

	if (c->query_pending && now_ms >= c->query_ts + QUERY_RESEND_MS)
		c->query_pending = false;
	if (q == NULL || now_ms < q->deadline_ms)
		return;
	while ((q = c->waiting.head) != NULL && now_ms >= q->deadline_ms) {
		ld_admit_dequeue(&c->waiting, q);
		if (ld_admit_acquire(a, q, &shortage, now_ms)) {
			struct ld_admit_decision d;

			make_admission(a, q, &d);
			deliver_decision(a, q, &d);
			continue;
		}
		if (!is_denied(&shortage, now_ms)) {
			shortage.account->denied_until_ms[shortage.resource] =
			    now_ms + NO_REPLY_BACKOFF_MS;
			shortage.account->denied_retry_ms[shortage.resource] =
			    RETRY_AFTER_MS;
		}
		ld_admit_refuse(a, q, &shortage, now_ms);
	}
}

/* ---- Requests and their ends ---- */

/* Refusals that no query could change. */
static bool
refused_outright(
    struct ld_admit *a, const struct account *c, struct ld_admit_decision *d)
{
	enum ld_admit_reason reason = LD_ADMIT_R_NONE;
	uint64_t retry_ms = 0;

	if (!a->have_catalogue || a->member_count == 0) {
		reason = LD_ADMIT_R_NO_CATALOGUE;
		retry_ms = RETRY_AFTER_MS;
	} else if (c == NULL || !c->listed || c == a->leftover) {
		reason = LD_ADMIT_R_UNKNOWN_OWNER;
	} else if (c->limit[K_REQUESTS] == 0) {
		reason = LD_ADMIT_R_RATE;
	} else if (c->limit[K_TOKENS] == 0) {
		reason = LD_ADMIT_R_TOKENS;
	} else if (c->limit[K_SLOTS] == 0) {
		reason = LD_ADMIT_R_CONCURRENT;
	} else if (a->config.max_requests > 0 &&
	    a->stats.running >= a->config.max_requests) {
		reason = LD_ADMIT_R_OVERLOAD;
		retry_ms = RETRY_AFTER_MS;
	}
	if (reason == LD_ADMIT_R_NONE)
		return false;
	make_refusal(a, d, reason, retry_ms);
	return true;
}

void
ld_admit_request(struct ld_admit *a, uint64_t now_ms, struct ld_str owner,
    uint64_t est_tokens, struct ld_admit_decision *d)
{
	struct account *c = ld_admit_account(a, ld_hash64(owner, 0));
	struct account *queried;
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
	queried = c->waiting.head != NULL ? c : a->leftover;
	if (queried->query_due && !queried->query_pending)
		ld_admit_send_report(a, queried, now_ms);
	ld_admit_deliver_self(a, now_ms);
	if (d->verdict != LD_ADMIT_WAIT)
		return;
	*d = (struct ld_admit_decision){
	    .verdict = LD_ADMIT_WAIT, .ticket = q->ticket};
	q->out = NULL;
	a->stats.waited++;
}

void
ld_admit_add_tokens(
    struct ld_admit *a, uint64_t now_ms, uint64_t ticket, uint64_t n)
{
	struct request *q = ld_admit_find(a, ticket);
	uint64_t charged;

	if (q == NULL || q->waiting)
		return;
	q->relayed += n;
	if (q->relayed <= q->tokens)
		return;
	/* Tokens beyond the estimate are charged as they are relayed. */
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
		ld_admit_release(a, q);
		a->stats.running--;
	}
	ld_admit_request_free(a, q);
}
