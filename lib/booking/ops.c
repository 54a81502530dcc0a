/* Applies claims and outcomes to the value of a shard. */
#include <stdlib.h>
#include <string.h>

#include "booking_internal.h"

struct op *
op_new(enum op_kind kind, const struct record *rec, uint32_t shard)
{
	struct op *o = ld_alloc(sizeof(*o));

	o->kind = kind;
	o->shard = shard;
	record_copy(&o->rec, rec);
	return o;
}

void
op_free(struct op *o)
{
	if (o->owns_found) {
		record_fini((struct record *)o->found);
		free((void *)o->found);
	}
	record_fini(&o->rec);
	free(o->from);
	free(o);
}

static bool
is_same_attempt(const struct record *a, const struct record *b)
{
	return a->attempt == b->attempt && strcmp(a->node, b->node) == 0;
}

static void
replace(struct record *r, const struct record *by)
{
	record_fini(r);
	record_copy(r, by);
}

static bool
fits(const struct op *o, const struct claims *c, size_t max_bytes)
{
	struct claims probe = {.bytes = c->bytes};

	return claims_add_bytes(&probe, &o->rec) <= max_bytes;
}

static enum op_result
apply_claim(struct op *o, struct claims *c, size_t max_bytes, bool *changed)
{
	struct record *r = claims_find(c, o->rec.key);

	if (r != NULL && is_same_attempt(r, &o->rec))
		return r->state == RECORD_CLAIMED ? OP_APPLIED : OP_EXISTS;
	/* A call that certainly did not run may be claimed again. */
	if (r != NULL &&
	    (r->state != RECORD_NOT_RUN || strcmp(r->body, o->rec.body) != 0))
		return OP_EXISTS;
	if (r == NULL && !fits(o, c, max_bytes))
		return OP_FULL;
	*changed = true;
	/* A clock that runs behind must not make the claim look too old. */
	if (o->rec.claimed_ms < c->written_ms)
		o->rec.claimed_ms = c->written_ms;
	if (r != NULL) {
		replace(r, &o->rec);
		return OP_APPLIED;
	}
	c->v = ld_realloc(c->v, (c->n + 1) * sizeof(*c->v));
	record_copy(&c->v[c->n], &o->rec);
	c->n++;
	claims_add_bytes(c, &o->rec);
	return OP_APPLIED;
}

static enum op_result
apply_outcome(struct op *o, struct claims *c, bool *changed)
{
	struct record *r = claims_find(c, o->rec.key);

	if (r == NULL || !is_same_attempt(r, &o->rec))
		return OP_ABSENT;
	if (r->state != RECORD_CLAIMED)
		return OP_APPLIED;
	*changed = true;
	o->rec.claimed_ms = r->claimed_ms;
	replace(r, &o->rec);
	return OP_APPLIED;
}

enum op_result
op_apply(struct op *o, struct claims *c, size_t max_bytes, bool *changed)
{
	*changed = false;
	if (o->kind == OP_CLAIM)
		return apply_claim(o, c, max_bytes, changed);
	return apply_outcome(o, c, changed);
}
