/* Module state: configuration, time of day, members and action queue. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "booking_internal.h"

struct ld_booking_config
ld_booking_defaults(void)
{
	struct ld_booking_config c = {
	    .shards = 64,
	    .commit_interval_ms = 100,
	    .claim_timeout_ms = 3000,
	    .forward_timeout_ms = 500,
	    .retention_ms = 86400000,
	    .value_max_bytes = (size_t)256 * 1024,
	    .sends_max = 3,
	    .calls_max = 1024,
	};

	return c;
}

struct ld_booking *
ld_booking_new(const struct ld_booking_config *config, uint64_t now_ms)
{
	struct ld_booking *b = ld_alloc(sizeof(*b));

	assert(config->shards > 0 && config->sends_max > 0);
	b->config = *config;
	b->node = ld_str_dup(config->node);
	b->config.node = ld_str_c(b->node);
	if (config->seed != 0)
		ld_rand_seed(&b->rand, config->seed);
	else
		ld_rand_seed_os(&b->rand);
	b->shards = ld_alloc(config->shards * sizeof(*b->shards));
	return b;
}

static void
free_members(struct ld_booking *b)
{
	for (size_t i = 0; i < b->n_members; i++)
		free(b->members[i]);
	free(b->members);
	b->members = NULL;
	b->n_members = 0;
}

static void
free_actions(struct ld_booking *b)
{
	for (size_t i = 0; i < b->queue_len; i++)
		ld_buf_free(&b->payloads[i]);
	b->queue_len = 0;
	b->queue_pos = 0;
}

void
ld_booking_free(struct ld_booking *b)
{
	struct call *c;

	if (b == NULL)
		return;
	while ((c = b->calls) != NULL) {
		b->calls = c->next;
		record_fini(&c->rec);
		free(c);
	}
	for (uint32_t i = 0; i < b->config.shards; i++)
		shard_fini(&b->shards[i]);
	free_members(b);
	free_actions(b);
	free(b->shards);
	free(b->queue);
	free(b->payloads);
	free(b->unresponsive_node);
	free(b->node);
	free(b);
}

void
booking_begin_event(struct ld_booking *b)
{
	/* Performing an action may cause an event before the rest are taken. */
	if (b->queue_pos == b->queue_len)
		free_actions(b);
}

struct ld_booking_action *
booking_queue_action(struct ld_booking *b, enum ld_booking_action_kind kind)
{
	struct ld_booking_action *a;

	b->queue = ld_realloc(b->queue, (b->queue_len + 1) * sizeof(*b->queue));
	b->payloads =
	    ld_realloc(b->payloads, (b->queue_len + 1) * sizeof(*b->payloads));
	a = &b->queue[b->queue_len];
	memset(a, 0, sizeof(*a));
	memset(&b->payloads[b->queue_len], 0, sizeof(*b->payloads));
	a->kind = kind;
	b->queue_len++;
	return a;
}

struct ld_buf *
booking_payload(struct ld_booking *b)
{
	return &b->payloads[b->queue_len - 1];
}

bool
ld_booking_next_action(struct ld_booking *b, struct ld_booking_action *a)
{
	if (b->queue_pos == b->queue_len)
		return false;
	*a = b->queue[b->queue_pos];
	b->queue_pos++;
	return true;
}

/* Unsigned arithmetic wraps, so that a wall clock behind now_ms works too. */
void
ld_booking_set_wall_clock(
    struct ld_booking *b, uint64_t now_ms, uint64_t wall_ms)
{
	b->wall_base_ms = wall_ms - now_ms;
}

uint64_t
booking_wall(const struct ld_booking *b, uint64_t now_ms)
{
	return b->wall_base_ms + now_ms;
}

uint64_t
booking_prune_time(const struct ld_booking *b, uint64_t now_ms)
{
	uint64_t own = booking_wall(b, now_ms);
	uint64_t other = b->peer_wall_base_ms + now_ms;

	if (!b->has_peer_clock)
		return b->n_members > 1 ? 0 : own;
	return own < other ? own : other;
}

void
booking_note_peer_clock(struct ld_booking *b, uint64_t now_ms, uint64_t wall_ms)
{
	b->has_peer_clock = true;
	b->peer_wall_base_ms = wall_ms - now_ms;
}

void
ld_booking_members(
    struct ld_booking *b, uint64_t now_ms, const struct ld_str *ids, size_t n)
{
	free_members(b);
	b->members = ld_alloc(n * sizeof(*b->members));
	for (size_t i = 0; i < n; i++)
		b->members[i] = ld_str_dup(ids[i]);
	b->n_members = n;
}

const struct ld_booking_counters *
ld_booking_counters(const struct ld_booking *b)
{
	return &b->counters;
}
