/*
 * Confirms that what a replica served is current: a linearizable read of a few keys
 * says which revision the store has, and the changes up to it must have been
 * delivered. A watch that receives no changes is no proof.
 */
#include "store_internal.h"

/* Delay of the next read after one that failed, ms. */
#define RETRY_MS 200

static void
on_read(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct store_confirmation *c = (struct store_confirmation *)call;

	if (a->status != LD_OK && a->status != LD_E_NOT_FOUND)
		return;
	c->revision = a->revision;
	c->answered(c);
}

void
store_confirmation_begin(struct store_confirmation *c, struct ld_store *s)
{
	store_confirmation_stop(c);
	c->call.done = on_read;
	c->store = s;
	c->pending = s->settings.confirm_prefix != NULL;
	c->revision = 0;
	c->next_ms = 0;
	store_confirmation_continue(c);
}

void
store_confirmation_continue(struct store_confirmation *c)
{
	uint64_t now;

	if (!c->pending || c->revision != 0 || c->call.request != NULL)
		return;
	now = ld_loop_now(c->store->loop);
	if (now < c->next_ms)
		return;
	c->next_ms = now + RETRY_MS;
	c->start_ms = now;
	ld_store_read_prefix(
	    c->store, &c->call, ld_str_c(c->store->settings.confirm_prefix));
}

bool
store_confirmation_check(struct store_confirmation *c, int64_t revision)
{
	if (c->pending && c->revision != 0 && revision >= c->revision)
		c->pending = false;
	return !c->pending;
}

void
store_confirmation_stop(struct store_confirmation *c)
{
	ld_store_cancel(&c->call);
	c->pending = false;
}
