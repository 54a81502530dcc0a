/*
 * The record of the store's era: written once all that was lost with an older copy
 * has had time to be written again. A process that starts reads it with the rest:
 * if it names the store's era, what the process has read is no older copy.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "relay_internal.h"

/* A node waits a random part of this before it writes, ms, so that one of several
 * hundred nodes writes and the others read it. */
#define WRITE_SPREAD_MS 10000
/* Delay after a failed write, ms. */
#define RETRY_MS 5000

/** struct era_record - what the store has, and this node's write of it */
struct era_record {
	struct ld_store_call call; /* first member */
	struct relay *relay;
	int64_t era; /* 0: no record */
	struct ld_store_expect expect;
	uint64_t write_at_ms; /* 0: not planned */
};

void
era_record_apply(struct relay *r, const struct ld_store_kv *kv)
{
	struct era_record *e = r->era_record;
	char text[24];

	*e = (struct era_record){.call = e->call, .relay = r};
	if (kv == NULL)
		return;
	e->expect = ld_store_expect_of(kv);
	snprintf(text, sizeof(text), "%.*s", LD_FMT(kv->value));
	e->era = strtoll(text, NULL, 10);
}

bool
era_record_confirms(const struct relay *r)
{
	return r->era_record->era == ld_store_era(r->store);
}

static void
on_written(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct era_record *e = (struct era_record *)c;

	ld_event("store.era_record", "era=%lld outcome=%s",
	    (long long)ld_store_era(e->relay->store),
	    ld_store_outcome_name(a->outcome));
}

void
era_record_tick(struct relay *r)
{
	struct era_record *e = r->era_record;
	uint64_t now = relay_now(r);
	char value[24];

	if (era_record_confirms(r) || e->call.request != NULL)
		return;
	if (e->write_at_ms == 0)
		e->write_at_ms = now + ld_rand_below(&r->rand, WRITE_SPREAD_MS);
	if (now < e->write_at_ms)
		return;
	e->write_at_ms = now + RETRY_MS;
	e->call.done = on_written;
	snprintf(
	    value, sizeof(value), "%lld", (long long)ld_store_era(r->store));
	ld_store_cas(r->store, &e->call, LD_STR(RELAY_ERA_KEY), ld_str_c(value),
	    e->expect, 0);
}

void
era_record_open(struct relay *r)
{
	r->era_record = ld_alloc(sizeof(*r->era_record));
	r->era_record->relay = r;
}

void
era_record_close(struct relay *r)
{
	ld_store_cancel(&r->era_record->call);
	free(r->era_record);
}
