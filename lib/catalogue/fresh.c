/* When to watch and read the store, and whether this node may admit callers. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "fresh_internal.h"

/* A read whose result is not reported within this time counts as lost. */
#define READ_REPORT_TIMEOUT_MS 10000
/* Peers count as unreachable after cut_off_ms divided by this. */
#define PEER_TIMEOUT_DIVISOR 3

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
	    .min_alive_percent = 33,
	};

	return c;
}

/* ---- Actions ---- */

struct ld_fresh_action *
fresh_queue_action(struct ld_fresh *f, enum ld_fresh_action_kind kind)
{
	struct ld_fresh_action *a;

	if (f->queue_pos == f->queue_len)
		f->queue_pos = f->queue_len = 0;
	f->queue = ld_realloc(f->queue, (f->queue_len + 1) * sizeof(*f->queue));
	a = &f->queue[f->queue_len];
	f->queue_len++;
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

bool
ld_fresh_next_action(struct ld_fresh *f, struct ld_fresh_action *a)
{
	if (f->queue_pos == f->queue_len)
		return false;
	*a = f->queue[f->queue_pos];
	f->queue_pos++;
	return true;
}

void
fresh_set_alarms(struct ld_fresh *f, unsigned int alarms)
{
	if (alarms == f->alarms)
		return;
	f->alarms = alarms;
	fresh_queue_action(f, LD_FRESH_ALARM)->alarms = alarms;
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
 * Whether a node that has started may use its catalogue: it is at least as new
 * as the newest one that a peer has reported. If no peer has reported one, the
 * node must expect no peers, or all live peers must have reported that they
 * hold none, or bootstrap_peer_ms must have passed since the first adoption.
 * The wait is needed because a node that was partitioned receives no reports
 * either.
 */
static bool
is_caught_up(const struct ld_fresh *f, uint64_t now_ms)
{
	if (f->caught_up)
		return true;
	if (f->current == NULL ||
	    ld_catalogue_revision(f->current) < f->newest_peer_revision)
		return false;
	return f->newest_peer_revision > 0 || !f->config.expects_peers ||
	    (f->peers_alive > 0 && f->peers_reported >= f->peers_alive) ||
	    now_ms >= f->first_adopted_ms + f->config.bootstrap_peer_ms;
}

bool
ld_fresh_admits(const struct ld_fresh *f, uint64_t now_ms)
{
	uint64_t bound = f->config.cut_off_ms;

	if (f->current == NULL || !is_caught_up(f, now_ms))
		return false;
	return is_recent(f->store_contact_ms, now_ms, bound) ||
	    is_recent(f->peer_contact_ms, now_ms, bound);
}

static void
update_admission(struct ld_fresh *f, uint64_t now_ms)
{
	bool admits;

	f->caught_up = is_caught_up(f, now_ms);
	admits = ld_fresh_admits(f, now_ms);
	if (admits == f->admitting)
		return;
	f->admitting = admits;
	if (!admits)
		f->counters.cut_offs++;
	fresh_queue_action(f, admits ? LD_FRESH_ADMIT : LD_FRESH_REFUSE);
}

/* ---- Reading the store ---- */

static uint64_t
jittered(struct ld_fresh *f, uint64_t ms)
{
	return ms - ms / 4 + ld_rand_below(&f->rand, ms / 2 + 1);
}

/* Delegates always read; other nodes only while peers can't update them. */
static bool
needs_reads(const struct ld_fresh *f, uint64_t now_ms)
{
	uint64_t peer_timeout = f->config.cut_off_ms / PEER_TIMEOUT_DIVISOR;

	return f->watching || f->current == NULL || !f->enough_alive ||
	    !is_recent(f->peer_contact_ms, now_ms, peer_timeout);
}

static void
update_reads(struct ld_fresh *f, uint64_t now_ms)
{
	if (f->reading_since_ms != NEVER &&
	    now_ms >= f->reading_since_ms + READ_REPORT_TIMEOUT_MS)
		f->reading_since_ms = NEVER;
	if (f->reading_since_ms != NEVER || now_ms < f->read_ms)
		return;
	f->read_ms = now_ms + jittered(f, f->config.reread_ms);
	if (!needs_reads(f, now_ms))
		return;
	f->reading_since_ms = now_ms;
	f->counters.reads++;
	fresh_queue_action(f, LD_FRESH_READ);
}

static void
update_watch(struct ld_fresh *f, uint64_t now_ms)
{
	if (f->selected) {
		f->unwatch_ms = NEVER;
		if (f->watching)
			return;
		f->watching = true;
		f->read_ms = now_ms;
		fresh_queue_action(f, LD_FRESH_WATCH);
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
	fresh_queue_action(f, LD_FRESH_UNWATCH);
}

void
fresh_update(struct ld_fresh *f, uint64_t now_ms)
{
	update_watch(f, now_ms);
	update_reads(f, now_ms);
	update_admission(f, now_ms);
}

/* ---- Members and time ---- */

void
ld_fresh_members(struct ld_fresh *f, uint64_t now_ms,
    const struct ld_fresh_node *nodes, size_t n, size_t counted)
{
	f->selected =
	    fresh_is_delegate(nodes, n, f->config.delegates, ld_str_c(f->self));
	f->enough_alive =
	    n >= 2 && n * 100 >= counted * f->config.min_alive_percent;
	fresh_update(f, now_ms);
}

void
ld_fresh_peer_contact(struct ld_fresh *f, uint64_t now_ms, uint64_t sent_ms)
{
	/* Contact within a small partition must not count as the fleet. */
	if (f->enough_alive)
		fresh_note_contact(&f->peer_contact_ms, sent_ms);
	fresh_update(f, now_ms);
}

void
ld_fresh_peer_revisions(struct ld_fresh *f, uint64_t now_ms, size_t others,
    size_t reported, int64_t newest)
{
	f->peers_alive = others;
	f->peers_reported = reported;
	if (newest > f->newest_peer_revision)
		f->newest_peer_revision = newest;
	fresh_update(f, now_ms);
}

void
ld_fresh_tick(struct ld_fresh *f, uint64_t now_ms)
{
	fresh_update(f, now_ms);
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
		due = earliest(f->reading_since_ms + READ_REPORT_TIMEOUT_MS,
		    f->unwatch_ms);
	if (!f->caught_up && f->current != NULL)
		due = earliest(
		    due, f->first_adopted_ms + f->config.bootstrap_peer_ms);
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
	f->first_adopted_ms = NEVER;
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
