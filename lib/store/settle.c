/* Determines from reads whether a write whose response was lost took effect. */
#include "store_internal.h"

static bool
is_as_expected(
    const struct ld_store_kv *kv, const struct ld_store_expect *expect)
{
	int64_t mod = kv != NULL ? kv->mod_revision : 0;

	return mod == expect->mod_revision;
}

/*
 * Exactly one other write replaced the expected revision. The comparison of
 * this write can never succeed again, so it is certain not to be applied.
 */
static bool
is_replaced_by_one_other(
    const struct ld_store_kv *kv, const struct ld_store_expect *expect)
{
	return kv != NULL && expect->mod_revision != 0 &&
	    kv->create_revision == expect->create_revision &&
	    kv->version == expect->version + 1;
}

bool
store_settle_step(const struct store_request *r,
    const struct ld_store_answer *read, struct ld_store_answer *out)
{
	const struct ld_store_kv *kv = read->n > 0 ? &read->kvs[0] : NULL;

	*out = *read;
	out->outcome = LD_STORE_UNKNOWN;
	out->status = LD_E_UNKNOWN;
	if (read->status != LD_OK && read->status != LD_E_NOT_FOUND)
		return false;
	if (is_as_expected(kv, &r->expect))
		return false;
	if (kv != NULL && ld_str_eq(kv->value, r->op.value)) {
		out->status = LD_OK;
		out->outcome = LD_STORE_APPLIED;
		out->revision = kv->mod_revision;
	} else if (is_replaced_by_one_other(kv, &r->expect)) {
		out->status = LD_OK;
		out->outcome = LD_STORE_NOT_APPLIED;
	}
	return true;
}
