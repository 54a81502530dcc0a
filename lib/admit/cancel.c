/* Cancels running streams: lowest class first, then newest first. */
#include "admit_internal.h"

#define PREEMPTED_RETRY_MS 2000

static void
cancel(struct ld_admit *a, struct request *q, enum ld_admit_reason reason)
{
	struct ld_admit_decision d = {
	    .verdict = LD_ADMIT_NO,
	    .reason = reason,
	    .ticket = q->ticket,
	};

	if (reason != LD_ADMIT_R_UNKNOWN_OWNER)
		d.retry_after_ms = ld_admit_jittered(a, PREEMPTED_RETRY_MS);
	q->cancelled = true;
	a->stats.cancelled++;
	ld_admit_push_decision(a, LD_ADMIT_CANCEL, &d);
}

static bool
runs_in(
    const struct ld_admit *a, const struct account *c, const struct request *q)
{
	if (q->waiting)
		return false;
	return c == a->leftover ? !q->promised : q->account == c;
}

static uint64_t
count_cancelled(const struct ld_admit *a, const struct account *c)
{
	const struct account *o;
	const struct request *q;
	uint64_t n = 0;

	for (o = a->accounts; o != NULL; o = o->next) {
		for (q = o->requests; q != NULL; q = q->next_in_account)
			n += q->cancelled && runs_in(a, c, q);
	}
	return n;
}

/* The newest stream of the lowest class that runs in the pool of @c. */
static struct request *
victim(const struct ld_admit *a, const struct account *c)
{
	struct request *best = NULL;
	const struct account *o;
	struct request *q;

	for (o = a->accounts; o != NULL; o = o->next) {
		for (q = o->requests; q != NULL; q = q->next_in_account) {
			if (q->cancelled || !runs_in(a, c, q))
				continue;
			if (best == NULL || o->class > best->account->class ||
			    (o->class == best->account->class &&
				q->ticket > best->ticket))
				best = q;
			break;
		}
	}
	return best;
}

void
ld_admit_cancel_above(struct ld_admit *a, struct account *c, uint64_t slots,
    enum ld_admit_reason reason)
{
	uint64_t used = c->in_use[SLOT(K_SLOTS)];
	struct request *q;

	if (used <= slots)
		return;
	used -= count_cancelled(a, c);
	for (; used > slots; used--) {
		q = victim(a, c);
		if (q == NULL)
			return;
		cancel(a, q, reason);
	}
}

void
ld_admit_cancel_all(
    struct ld_admit *a, struct account *c, enum ld_admit_reason reason)
{
	struct request *q, *next;

	for (q = c->requests; q != NULL; q = next) {
		struct shortage shortage = {c, K_SLOTS};

		next = q->next_in_account;
		if (q->waiting) {
			ld_admit_dequeue(&c->waiting, q);
			ld_admit_dequeue(&a->leftover->waiting, q);
			ld_admit_refuse(a, q, &shortage, 0);
		} else if (!q->cancelled) {
			cancel(a, q, reason);
		}
	}
}
