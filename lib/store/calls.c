/* Public store calls: each builds one request and starts it. */
#include "store_internal.h"

void
ld_store_read(struct ld_store *s, struct ld_store_call *call, struct ld_str key)
{
	struct ld_store_op op = {.kind = LD_STORE_OP_READ};

	store_request_start(store_request_new(s, call, &op, key));
}

void
ld_store_read_prefix(
    struct ld_store *s, struct ld_store_call *call, struct ld_str prefix)
{
	struct ld_store_op op = {.kind = LD_STORE_OP_READ, .prefix = true};

	store_request_start(store_request_new(s, call, &op, prefix));
}

void
ld_store_read_prefix_serializable(
    struct ld_store *s, struct ld_store_call *call, struct ld_str prefix)
{
	struct ld_store_op op = {
	    .kind = LD_STORE_OP_READ, .prefix = true, .serializable = true};

	store_request_start(store_request_new(s, call, &op, prefix));
}

void
ld_store_cas(struct ld_store *s, struct ld_store_call *call, struct ld_str key,
    struct ld_str value, struct ld_store_expect expect, int64_t lease)
{
	struct ld_store_op op = {
	    .kind = LD_STORE_OP_CAS,
	    .value = value,
	    .expected = expect.mod_revision,
	    .lease = lease,
	};

	store_request_start(store_request_new(s, call, &op, key));
}

void
ld_store_cas_delete(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_store_expect expect)
{
	struct ld_store_op op = {
	    .kind = LD_STORE_OP_CAS_DELETE,
	    .expected = expect.mod_revision,
	};

	store_request_start(store_request_new(s, call, &op, key));
}

void
ld_store_put(struct ld_store *s, struct ld_store_call *call, struct ld_str key,
    struct ld_str value, int64_t lease)
{
	struct ld_store_op op = {
	    .kind = LD_STORE_OP_PUT,
	    .value = value,
	    .lease = lease,
	};

	store_request_start(store_request_new(s, call, &op, key));
}

void
ld_store_resolve_write(struct ld_store *s, struct ld_store_call *call,
    struct ld_str key, struct ld_str value, struct ld_store_expect expect,
    uint64_t deadline_ms)
{
	struct ld_store_op op = {.kind = LD_STORE_OP_READ, .value = value};
	struct store_request *r = store_request_new(s, call, &op, key);

	r->settling = true;
	r->expect = expect;
	r->settle_deadline_ms = deadline_ms;
	r->settle_backoff = s->backoff;
	r->settle_backoff.failures = 0;
	store_request_start(r);
}

void
ld_store_lease_grant(
    struct ld_store *s, struct ld_store_call *call, int64_t ttl_s)
{
	struct ld_store_op op = {.kind = LD_STORE_OP_GRANT, .ttl_s = ttl_s};

	store_request_start(store_request_new(s, call, &op, LD_STR("")));
}

void
ld_store_lease_keepalive(
    struct ld_store *s, struct ld_store_call *call, int64_t lease)
{
	struct ld_store_op op = {.kind = LD_STORE_OP_KEEPALIVE, .lease = lease};

	store_request_start(store_request_new(s, call, &op, LD_STR("")));
}

void
ld_store_lease_revoke(
    struct ld_store *s, struct ld_store_call *call, int64_t lease)
{
	struct ld_store_op op = {.kind = LD_STORE_OP_REVOKE, .lease = lease};

	store_request_start(store_request_new(s, call, &op, LD_STR("")));
}

void
ld_store_cancel(struct ld_store_call *call)
{
	struct store_request *r = call->request;

	if (r == NULL)
		return;
	call->request = NULL;
	store_request_free(r);
}
