/* The table of requests; what each takes from its pools and gives back. */
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
	q->next_of = c->requests;
	if (c->requests != NULL)
		c->requests->prev_of = q;
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
	if (q->prev_of != NULL)
		q->prev_of->next_of = q->next_of;
	else
		q->account->requests = q->next_of;
	if (q->next_of != NULL)
		q->next_of->prev_of = q->prev_of;
	free(q);
}

/* Only when the module ends: the lists of the accounts aren't kept up. */
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

/* ---- Taking and giving back ---- */

static bool
has_rate(const struct ld_admit *a, const struct account *c, enum kind k,
    uint64_t units, uint64_t now_ms)
{
	uint64_t depth = ld_admit_depth(ld_admit_rate(a, c, k, now_ms), k);
	int64_t level = c->bucket[k].micro + (int64_t)c->lump[k];
	uint64_t need = units * MICRO;

	/* A request larger than the bucket needs a full one, and overdraws. */
	if (depth > 0 && need > depth)
		need = depth;
	return level > 0 && (uint64_t)level >= need;
}

static void
take_rate(struct account *c, enum kind k, uint64_t units)
{
	uint64_t micro = units * MICRO;
	uint64_t lump = c->lump[k] < micro ? c->lump[k] : micro;

	c->lump[k] -= lump;
	c->bucket[k].micro -= (int64_t)(micro - lump);
}

static bool
has_slot(const struct ld_admit *a, const struct account *c, enum kind k,
    uint64_t now_ms)
{
	return c->in_use[SLOT(k)] < ld_admit_slots(a, c, k, now_ms);
}

static bool
find_place(const struct ld_admit *a, struct request *q, struct lack *lack,
    uint64_t now_ms)
{
	struct account *c = q->account;

	q->promised = false;
	if (c->limit[K_PROMISED] > 0) {
		if (has_slot(a, c, K_PROMISED, now_ms)) {
			q->promised = true;
			return true;
		}
		if (now_ms + SHORT_HOLD_MS >= c->deny_until_ms[K_PROMISED] &&
		    q->asks < ASKS_MAX) {
			*lack = (struct lack){c, K_PROMISED};
			return false;
		}
	}
	if (has_slot(a, a->leftover, K_SLOTS, now_ms))
		return true;
	*lack = (struct lack){a->leftover, K_SLOTS};
	return false;
}

/* Takes all that @q needs, or nothing and says what is lacking. */
bool
ld_admit_take(
    struct ld_admit *a, struct request *q, struct lack *lack, uint64_t now_ms)
{
	struct account *c = q->account;

	ld_admit_fill(a, c, now_ms);
	lack->account = c;
	lack->kind = K_REQUESTS;
	if (!has_rate(a, c, K_REQUESTS, 1, now_ms))
		return false;
	lack->kind = K_TOKENS;
	if (!has_rate(a, c, K_TOKENS, q->tokens, now_ms))
		return false;
	lack->kind = K_SLOTS;
	if (!has_slot(a, c, K_SLOTS, now_ms))
		return false;
	if (!find_place(a, q, lack, now_ms))
		return false;
	take_rate(c, K_REQUESTS, 1);
	take_rate(c, K_TOKENS, q->tokens);
	c->in_use[SLOT(K_SLOTS)]++;
	if (q->promised)
		c->in_use[SLOT(K_PROMISED)]++;
	else
		a->leftover->in_use[SLOT(K_SLOTS)]++;
	return true;
}

void
ld_admit_give_back(struct ld_admit *a, struct request *q)
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

/* Streams that run on left-over capacity move into promised slots. */
void
ld_admit_upgrade(struct ld_admit *a, struct account *c, uint64_t now_ms)
{
	struct request *q;

	if (c->limit[K_PROMISED] == 0)
		return;
	for (q = c->requests; q != NULL; q = q->next_of) {
		if (!has_slot(a, c, K_PROMISED, now_ms))
			return;
		if (q->waiting || q->promised || q->cancelled)
			continue;
		q->promised = true;
		c->in_use[SLOT(K_PROMISED)]++;
		a->leftover->in_use[SLOT(K_SLOTS)]--;
	}
}
