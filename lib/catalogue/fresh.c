/* When to watch and read the store, and whether this node may admit. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "fresh_internal.h"

/* A read that was never reported on is forgotten after this. */
#define READ_LOST_MS 10000
/* Peers are taken to be out of reach after this part of the cut-off time. */
#define PEER_PATIENCE_DIVISOR 3

struct ld_fresh_config
ld_fresh_defaults(void)
{
	struct ld_fresh_config c = {
	    .delegates = 3,
	    .reread_ms = 2000,
	    .linger_ms = 5000,
	    .expects_peers = true,
	    .bootstrap_wait_ms = 500,
	    .bootstrap_peer_ms = 2000,
	    .cut_off_ms = 10000,
	    .min_reach_percent = 33,
	};

	return c;
}

/* ---- Actions ---- */

struct ld_fresh_action *
fresh_act(struct ld_fresh *f, enum ld_fresh_action_kind kind)
{
	struct ld_fresh_action *a;

	if (f->taken == f->queued)
		f->taken = f->queued = 0;
	f->queue = ld_realloc(f->queue, (f->queued + 1) * sizeof(*f->queue));
	a = &f->queue[f->queued];
	f->queued++;
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

bool
ld_fresh_next_action(struct ld_fresh *f, struct ld_fresh_action *a)
{
	if (f->taken == f->queued)
		return false;
	*a = f->queue[f->taken];
	f->taken++;
	return true;
}

void
fresh_set_alarms(struct ld_fresh *f, unsigned int alarms)
{
	if (alarms == f->alarms)
		return;
	f->alarms = alarms;
	fresh_act(f, LD_FRESH_ALARM)->alarms = alarms;
}

/* ---- Contact and admission ---- */

static bool
is_recent(uint64_t at_ms, uint64_t now_ms, uint64_t bound_ms)
{
	return at_ms != NEVER && now_ms < at_ms + bound_ms;
}

void
fresh_note_contact(uint64_t *contact, uint64_t at_ms)
{
	if (*contact == NEVER || *contact < at_ms)
		*contact = at_ms;
}

/*
 * Whether a new node may rely on what it holds: as new as what its peers hold,
 * or no peer holds any, or none was heard of for long enough since it got it.
 * Before that it may have been cut off, and not hearing means nothing.
 */
static bool
is_settled(const struct ld_fresh *f, uint64_t now_ms)
{
	if (f->settled)
		return true;
	if (f->current == NULL || ld_catalogue_revision(f->current) < f->newest)
		return false;
	return f->newest > 0 || !f->config.expects_peers ||
	    (f->others > 0 && f->reported >= f->others) ||
	    now_ms >= f->first_held_ms + f->config.bootstrap_peer_ms;
}

bool
ld_fresh_admits(const struct ld_fresh *f, uint64_t now_ms)
{
	uint64_t bound = f->config.cut_off_ms;

	if (f->current == NULL || !is_settled(f, now_ms))
		return false;
	return is_recent(f->store_contact_ms, now_ms, bound) ||
	    is_recent(f->peer_contact_ms, now_ms, bound);
}

static void
review_admission(struct ld_fresh *f, uint64_t now_ms)
{
	bool admits;

	f->settled = is_settled(f, now_ms);
	admits = ld_fresh_admits(f, now_ms);
	if (admits == f->admitting)
		return;
	f->admitting = admits;
	if (!admits)
		f->counters.cut_offs++;
	fresh_act(f, admits ? LD_FRESH_ADMIT : LD_FRESH_REFUSE);
}

/* ---- Reading the store ---- */

static uint64_t
jittered(struct ld_fresh *f, uint64_t ms)
{
	return ms - ms / 4 + ld_rand_below(&f->rand, ms / 2 + 1);
}

/* Delegates read always; others while nobody else can tell them. */
static bool
wants_reads(const struct ld_fresh *f, uint64_t now_ms)
{
	uint64_t patience = f->config.cut_off_ms / PEER_PATIENCE_DIVISOR;

	return f->watching || f->current == NULL || !f->reach ||
	    !is_recent(f->peer_contact_ms, now_ms, patience);
}

static void
review_reads(struct ld_fresh *f, uint64_t now_ms)
{
	if (f->reading_since_ms != NEVER &&
	    now_ms >= f->reading_since_ms + READ_LOST_MS)
		f->reading_since_ms = NEVER;
	if (f->reading_since_ms != NEVER || now_ms < f->read_ms)
		return;
	f->read_ms = now_ms + jittered(f, f->config.reread_ms);
	if (!wants_reads(f, now_ms))
		return;
	f->reading_since_ms = now_ms;
	f->counters.reads++;
	fresh_act(f, LD_FRESH_READ);
}

static void
review_watch(struct ld_fresh *f, uint64_t now_ms)
{
	if (f->picked) {
		f->unwatch_ms = NEVER;
		if (f->watching)
			return;
		f->watching = true;
		f->read_ms = now_ms;
		fresh_act(f, LD_FRESH_WATCH);
		return;
	}
	if (!f->watching)
		return;
	if (f->unwatch_ms == NEVER)
		f->unwatch_ms = now_ms + f->config.linger_ms;
	if (now_ms < f->unwatch_ms)
		return;
	f->watching = false;
	f->unwatch_ms = NEVER;
	fresh_act(f, LD_FRESH_UNWATCH);
}

void
fresh_review(struct ld_fresh *f, uint64_t now_ms)
{
	review_watch(f, now_ms);
	review_reads(f, now_ms);
	review_admission(f, now_ms);
}

/* ---- Members and time ---- */

void
ld_fresh_members(struct ld_fresh *f, uint64_t now_ms,
    const struct ld_fresh_node *nodes, size_t n, size_t counted)
{
	f->picked =
	    fresh_is_delegate(nodes, n, f->config.delegates, ld_str_c(f->self));
	f->reach = n >= 2 && n * 100 >= counted * f->config.min_reach_percent;
	fresh_review(f, now_ms);
}

void
ld_fresh_peer_contact(struct ld_fresh *f, uint64_t now_ms, uint64_t sent_ms)
{
	/* A few nodes cut off together do not stand in for the fleet. */
	if (f->reach)
		fresh_note_contact(&f->peer_contact_ms, sent_ms);
	fresh_review(f, now_ms);
}

void
ld_fresh_peer_revisions(struct ld_fresh *f, uint64_t now_ms, size_t others,
    size_t reported, int64_t newest)
{
	f->others = others;
	f->reported = reported;
	if (newest > f->newest)
		f->newest = newest;
	fresh_review(f, now_ms);
}

void
ld_fresh_tick(struct ld_fresh *f, uint64_t now_ms)
{
	fresh_review(f, now_ms);
}

static uint64_t
earliest(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

uint64_t
ld_fresh_next_due(const struct ld_fresh *f)
{
	uint64_t due = earliest(f->read_ms, f->unwatch_ms);
	uint64_t contact;

	if (f->reading_since_ms != NEVER)
		due =
		    earliest(f->reading_since_ms + READ_LOST_MS, f->unwatch_ms);
	if (!f->settled && f->current != NULL)
		due = earliest(
		    due, f->first_held_ms + f->config.bootstrap_peer_ms);
	if (!f->admitting)
		return due;
	contact = f->store_contact_ms != NEVER ? f->store_contact_ms : 0;
	if (f->peer_contact_ms != NEVER && f->peer_contact_ms > contact)
		contact = f->peer_contact_ms;
	return earliest(due, contact + f->config.cut_off_ms);
}

struct ld_fresh *
ld_fresh_new(const struct ld_fresh_config *config, uint64_t now_ms)
{
	struct ld_fresh *f = ld_alloc(sizeof(*f));

	assert(config->delegates > 0 && config->reread_ms > 0);
	f->config = *config;
	f->self = ld_str_dup(config->self);
	f->config.self = ld_str_c(f->self);
	ld_rand_seed(&f->rand, config->seed);
	f->first_held_ms = NEVER;
	f->unwatch_ms = NEVER;
	f->peer_contact_ms = NEVER;
	f->store_contact_ms = NEVER;
	f->reading_since_ms = NEVER;
	f->read_ms =
	    now_ms + ld_rand_below(&f->rand, config->bootstrap_wait_ms + 1);
	return f;
}

void
ld_fresh_free(struct ld_fresh *f)
{
	if (f == NULL)
		return;
	ld_catalogue_unref(f->current);
	free(f->bytes);
	free(f->self);
	free(f->queue);
	free(f);
}

struct ld_catalogue *
ld_fresh_current(const struct ld_fresh *f)
{
	return f->current;
}

bool
ld_fresh_is_delegate(const struct ld_fresh *f)
{
	return f->watching;
}

unsigned int
ld_fresh_alarms(const struct ld_fresh *f)
{
	return f->alarms;
}

const struct ld_fresh_counters *
ld_fresh_counters(const struct ld_fresh *f)
{
	return &f->counters;
}
