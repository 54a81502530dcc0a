/* The table of requests; what each acquires from its pools and releases. */
#include <stdlib.h>

#include "admit_internal.h"

/* ---- The table of requests ---- */

static size_t
bucket(uint64_t ticket)
{
	return ticket & (ADMIT_BUCKETS - 1);
}

struct request *
ld_admit_find(const struct ld_admit *a, uint64_t ticket)
{
	struct request *q = a->requests[bucket(ticket)];

	while (q != NULL && q->ticket != ticket)
		q = q->next;
	return q;
}

struct request *
ld_admit_request_new(struct ld_admit *a, struct account *c, uint64_t tokens)
{
	struct request *q = ld_alloc(sizeof(*q));

	q->account = c;
	q->tokens = tokens > 0 ? tokens : 1;
	q->ticket = ++a->next_ticket;
	q->next = a->requests[bucket(q->ticket)];
	a->requests[bucket(q->ticket)] = q;
	q->next_in_account = c->requests;
	if (c->requests != NULL)
		c->requests->prev_in_account = q;
	c->requests = q;
	return q;
}

void
ld_admit_request_free(struct ld_admit *a, struct request *q)
{
	struct request **at = &a->requests[bucket(q->ticket)];

	while (*at != q)
		at = &(*at)->next;
	*at = q->next;
	if (q->prev_in_account != NULL)
		q->prev_in_account->next_in_account = q->next_in_account;
	else
		q->account->requests = q->next_in_account;
	if (q->next_in_account != NULL)
		q->next_in_account->prev_in_account = q->prev_in_account;
	free(q);
}

/* For ld_admit_free() only: the request lists of accounts aren't updated. */
void
ld_admit_requests_free(struct ld_admit *a)
{
	struct request *q;

	for (size_t b = 0; b < ADMIT_BUCKETS; b++) {
		while ((q = a->requests[b]) != NULL) {
			a->requests[b] = q->next;
			free(q);
		}
	}
}

/* ---- Acquiring and releasing ---- */

static bool
has_rate(const struct ld_admit *a, const struct account *c, enum resource k,
    uint64_t units, uint64_t now_ms)
{
	uint64_t depth =
	    ld_admit_bucket_depth(ld_admit_usable_rate(a, c, k, now_ms), k);
	int64_t level = c->bucket[k].micro + (int64_t)c->one_time[k];
	uint64_t need = units * MICRO;

	/* A request larger than the bucket needs and overdraws a full one. */
	if (depth > 0 && need > depth)
		need = depth;
	return level > 0 && (uint64_t)level >= need;
}

static void
consume_rate(struct account *c, enum resource k, uint64_t units)
{
	uint64_t micro = units * MICRO;
	uint64_t one_time = c->one_time[k] < micro ? c->one_time[k] : micro;

	c->one_time[k] -= one_time;
	c->bucket[k].micro -= (int64_t)(micro - one_time);
}

static bool
has_slot(const struct ld_admit *a, const struct account *c, enum resource k,
    uint64_t now_ms)
{
	return c->in_use[SLOT(k)] < ld_admit_usable_slots(a, c, k, now_ms);
}

static bool
choose_slot(const struct ld_admit *a, struct request *q,
    struct shortage *shortage, uint64_t now_ms)
{
	struct account *c = q->account;

	q->promised = false;
	if (c->limit[K_PROMISED] > 0) {
		if (has_slot(a, c, K_PROMISED, now_ms)) {
			q->promised = true;
			return true;
		}
		if (now_ms + SHORT_BACKOFF_MS >=
			c->denied_until_ms[K_PROMISED] &&
		    q->queries < QUERIES_MAX) {
			*shortage = (struct shortage){c, K_PROMISED};
			return false;
		}
	}
	if (has_slot(a, a->leftover, K_SLOTS, now_ms))
		return true;
	*shortage = (struct shortage){a->leftover, K_SLOTS};
	return false;
}

/* Acquires all that @q needs, or nothing; @shortage then names the first
 * resource that falls short. */
bool
ld_admit_acquire(struct ld_admit *a, struct request *q,
    struct shortage *shortage, uint64_t now_ms)
{
	struct account *c = q->account;

	ld_admit_refill(a, c, now_ms);
	shortage->account = c;
	shortage->resource = K_REQUESTS;
	if (!has_rate(a, c, K_REQUESTS, 1, now_ms))
		return false;
	shortage->resource = K_TOKENS;
	if (!has_rate(a, c, K_TOKENS, q->tokens, now_ms))
		return false;
	shortage->resource = K_SLOTS;
	if (!has_slot(a, c, K_SLOTS, now_ms))
		return false;
	if (!choose_slot(a, q, shortage, now_ms))
		return false;
	consume_rate(c, K_REQUESTS, 1);
	consume_rate(c, K_TOKENS, q->tokens);
	c->in_use[SLOT(K_SLOTS)]++;
	if (q->promised)
		c->in_use[SLOT(K_PROMISED)]++;
	else
		a->leftover->in_use[SLOT(K_SLOTS)]++;
	return true;
}

void
ld_admit_release(struct ld_admit *a, struct request *q)
{
	struct account *c = q->account;

	c->in_use[SLOT(K_SLOTS)]--;
	if (q->promised)
		c->in_use[SLOT(K_PROMISED)]--;
	else
		a->leftover->in_use[SLOT(K_SLOTS)]--;
	if (q->relayed < q->tokens)
		c->bucket[K_TOKENS].micro +=
		    (int64_t)((q->tokens - q->relayed) * MICRO);
}

/* Moves streams that run on leftover capacity into promised slots. */
void
ld_admit_upgrade(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct request *q;

	if (c->limit[K_PROMISED] == 0)
		return;
	for (q = c->requests; q != NULL; q = q->next_in_account) {
		if (!has_slot(a, c, K_PROMISED, now_ms))
			return;
		if (q->waiting || q->promised || q->cancelled)
			continue;
		q->promised = true;
		c->in_use[SLOT(K_PROMISED)]++;
		a->leftover->in_use[SLOT(K_SLOTS)]--;
	}
}
