/* Creation, catalogue, capacity, the tick and received messages. */
#include <stdlib.h>
#include <string.h>

#include "admit_internal.h"

#define LEFTOVER_POOL 1
#define METER_WINDOW_MS 500
/* Weight of the newest window in the smoothed rate, in tenths. */
#define METER_NEW_TENTHS 3

static const char *const reason_names[LD_ADMIT_REASON_COUNT] = {
    [LD_ADMIT_R_NONE] = "none",
    [LD_ADMIT_R_RATE] = "rate",
    [LD_ADMIT_R_TOKENS] = "tokens",
    [LD_ADMIT_R_CONCURRENT] = "concurrent",
    [LD_ADMIT_R_CAPACITY] = "capacity",
    [LD_ADMIT_R_OVERLOAD] = "overload",
    [LD_ADMIT_R_NO_CATALOGUE] = "no-catalogue",
    [LD_ADMIT_R_UNKNOWN_OWNER] = "owner",
};

const char *
ld_admit_reason_name(enum ld_admit_reason r)
{
	if ((unsigned int)r >= LD_ADMIT_REASON_COUNT)
		return "unnamed";
	return reason_names[r];
}

static struct account *
account_new(struct ld_admit *a, uint64_t pool, uint64_t now_ms)
{
	struct account *c = ld_alloc(sizeof(*c));

	c->pool = pool;
	c->waiting.tail = &c->waiting.head;
	for (int k = 0; k < RATE_KINDS; k++) {
		c->bucket[k].filled_ms = now_ms;
		c->home_state.one_time[k].filled_ms = now_ms;
	}
	c->next = a->accounts;
	a->accounts = c;
	return c;
}

static void
account_free(struct account *c)
{
	ld_admit_home_free(&c->home_state);
	free(c->owner);
	free(c);
}

struct ld_admit *
ld_admit_new(const struct ld_admit_config *c, uint64_t now_ms)
{
	struct ld_admit *a = ld_alloc(sizeof(*a));

	a->config = *c;
	a->started_ms = now_ms;
	a->metered_ms = now_ms;
	a->tail = &a->head;
	a->self_tail = &a->self_head;
	ld_rand_seed(&a->rand, c->seed);
	a->leftover = account_new(a, LEFTOVER_POOL, now_ms);
	a->leftover->listed = true;
	return a;
}

void
ld_admit_free(struct ld_admit *a)
{
	struct account *c;

	if (a == NULL)
		return;
	ld_admit_requests_free(a);
	ld_admit_queue_free(a);
	while ((c = a->accounts) != NULL) {
		a->accounts = c->next;
		account_free(c);
	}
	free(a->members);
	free(a);
}

struct account *
ld_admit_account(struct ld_admit *a, uint64_t pool)
{
	struct account *c;

	for (c = a->accounts; c != NULL; c = c->next) {
		if (c->pool == pool)
			return c;
	}
	return NULL;
}

/* ---- Catalogue and capacity ---- */

static void
adopt_entry(struct ld_admit *a, const struct ld_admit_entry *e, uint64_t now_ms)
{
	uint64_t pool = ld_hash64(e->owner, 0);
	struct account *c = ld_admit_account(a, pool);

	if (c == NULL) {
		c = account_new(a, pool, now_ms);
		c->owner = ld_str_dup(e->owner);
		/* Spreads the reports of the pools over time. */
		c->report_sent_ms = now_ms -
		    ld_rand_below(&a->rand, 1 + (now_ms < 500 ? now_ms : 500));
	}
	ld_admit_refill(a, c, now_ms);
	c->listed = true;
	c->class = e->class;
	c->limit[K_REQUESTS] = e->requests_per_s;
	c->limit[K_TOKENS] = e->tokens_per_s;
	c->limit[K_SLOTS] = e->concurrent;
	c->limit[K_PROMISED] = e->class == LD_ADMIT_PAID ? e->promised : 0;
	a->promised += c->limit[K_PROMISED];
}

static void
replan_all(struct ld_admit *a, uint64_t now_ms)
{
	struct account *c;

	for (c = a->accounts; c != NULL; c = c->next)
		ld_admit_home_replan(a, c, now_ms);
	ld_admit_deliver_self(a, now_ms);
}

void
ld_admit_catalogue(struct ld_admit *a, uint64_t now_ms,
    const struct ld_admit_entry *entries, size_t n)
{
	struct account *c;

	for (c = a->accounts; c != NULL; c = c->next) {
		ld_admit_refill(a, c, now_ms);
		c->listed = c == a->leftover;
	}
	a->promised = 0;
	for (size_t i = 0; i < n; i++)
		adopt_entry(a, &entries[i], now_ms);
	for (c = a->accounts; c != NULL; c = c->next) {
		if (c->listed)
			continue;
		memset(c->limit, 0, sizeof(c->limit));
		ld_admit_cancel_all(a, c, LD_ADMIT_R_UNKNOWN_OWNER);
	}
	a->have_catalogue = true;
	ld_admit_assign_homes(a);
	replan_all(a, now_ms);
	ld_admit_tick(a, now_ms);
}

void
ld_admit_catalogue_lost(struct ld_admit *a, uint64_t now_ms)
{
	a->have_catalogue = false;
}

void
ld_admit_capacity(struct ld_admit *a, uint64_t now_ms, uint64_t slots)
{
	if (a->capacity == slots)
		return;
	a->capacity = slots;
	replan_all(a, now_ms);
}

/* ---- Tick ---- */

static void
meter_all(struct ld_admit *a, uint64_t now_ms)
{
	uint64_t elapsed = now_ms - a->metered_ms;
	struct account *c;
	struct meter *m;
	uint64_t rate;

	if (elapsed < METER_WINDOW_MS)
		return;
	a->metered_ms = now_ms;
	for (c = a->accounts; c != NULL; c = c->next) {
		for (int k = 0; k < RATE_KINDS; k++) {
			m = &c->meter[k];
			rate = m->count * MS_PER_S / elapsed;
			m->rate = (METER_NEW_TENTHS * rate +
				      (10 - METER_NEW_TENTHS) * m->rate) /
			    10;
			m->count = 0;
		}
	}
}

/* Frees accounts without a catalogue entry, once no request, loan or grant
 * depends on them. */
static void
drop_unlisted(struct ld_admit *a, uint64_t now_ms)
{
	struct account **at = &a->accounts;
	struct account *c;

	while ((c = *at) != NULL) {
		if (c->listed || c->requests != NULL ||
		    c->home_state.count > 0 || now_ms < c->lent_until_ms ||
		    now_ms < c->grant.until_ms) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		account_free(c);
	}
}

void
ld_admit_tick(struct ld_admit *a, uint64_t now_ms)
{
	struct account *c;

	meter_all(a, now_ms);
	for (c = a->accounts; c != NULL; c = c->next) {
		ld_admit_account_tick(a, c, now_ms);
		ld_admit_home_tick(a, c, now_ms);
	}
	ld_admit_deliver_self(a, now_ms);
	drop_unlisted(a, now_ms);
}

enum ld_status
ld_admit_message(
    struct ld_admit *a, uint64_t now_ms, uint64_t from, struct ld_str bytes)
{
	struct message m;

	if (!ld_admit_is_member(a, from)) {
		a->stats.messages_rejected++;
		return ld_fail(LD_E_PROTOCOL, "admit: sender is not a member");
	}
	if (ld_admit_decode(bytes, &m) != LD_OK) {
		a->stats.messages_rejected++;
		return LD_E_PROTOCOL;
	}
	switch (m.type) {
	case MSG_REPORT:
		ld_admit_on_report(a, now_ms, from, &m.u.report);
		break;
	case MSG_GRANT:
		ld_admit_on_grant(a, now_ms, from, &m.u.grant);
		break;
	case MSG_PROMISE:
		ld_admit_on_promise(a, now_ms, from, &m.u.promise);
		break;
	}
	ld_admit_deliver_self(a, now_ms);
	return LD_OK;
}

void
ld_admit_get_stats(const struct ld_admit *a, struct ld_admit_stats *s)
{
	*s = a->stats;
}
