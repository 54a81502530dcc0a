/* This node's own entry in the store, under a lease: its address for peers. */
#include <stdio.h>

#include "mesh_internal.h"

/* The entry of a node that vanished expires after this, s. It only gives the
 * address; datagrams show whether the node is alive. */
#define ENTRY_TTL_S 30
/* Three renewals in the time of the lease: two may fail, ms. */
#define RENEW_MS 9000
#define RETRY_MS 500
/* After an outage expired entries are written again within 2 s; the calls of
 * all nodes are spread over this time, ms. */
#define RENEW_SPREAD_MS 1000

void
mesh_entry_format(const struct ld_relay_settings *s, struct ld_buf *value)
{
	ld_buf_printf(value, "%s:%llu %llu %s", s->entry_listen.host,
	    (unsigned long long)s->peers_port,
	    (unsigned long long)s->processor_permille, s->failure_domain);
}

/* Starts over, with a new lease. */
static void
entry_failed(struct mesh_entry *e, const char *what, enum ld_status why)
{
	ld_event(
	    "node.entry_failed", "what=%s why=%s", what, ld_status_name(why));
	e->state = ENTRY_NONE;
	e->next_ms = relay_now(e->relay) + RETRY_MS;
}

static void
on_renewed(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct mesh_entry *e = (struct mesh_entry *)c;

	if (a->status == LD_E_NOT_FOUND)
		entry_failed(e, "lease-ended", a->status);
	else if (a->status != LD_OK)
		ld_event("node.entry_failed", "what=not-renewed why=%s",
		    ld_status_name(a->status));
}

static void
on_written(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct mesh_entry *e = (struct mesh_entry *)c;

	if (a->outcome != LD_STORE_APPLIED) {
		entry_failed(e, "not-written", a->status);
		return;
	}
	e->state = ENTRY_LISTED;
	e->next_ms = relay_now(e->relay) + RENEW_MS;
}

static void
on_granted(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct mesh_entry *e = (struct mesh_entry *)c;
	struct relay *r = e->relay;
	char key[160];
	struct ld_buf value = {0};

	if (a->status != LD_OK) {
		entry_failed(e, "not-granted", a->status);
		return;
	}
	e->lease = a->lease;
	e->state = ENTRY_WRITING;
	e->call.done = on_written;
	snprintf(
	    key, sizeof(key), "%s%s", RELAY_NODES_PREFIX, r->settings->name);
	mesh_entry_format(r->settings, &value);
	ld_store_put(
	    r->store, &e->call, ld_str_c(key), ld_buf_str(&value), e->lease);
	ld_buf_free(&value);
}

void
mesh_entry_renew_soon(struct relay *r)
{
	struct mesh_entry *e = &r->mesh->entry;
	uint64_t soon = relay_now(r) + ld_rand_below(&r->rand, RENEW_SPREAD_MS);

	if (e->state == ENTRY_LISTED && soon < e->next_ms)
		e->next_ms = soon;
}

void
mesh_entry_recreate(struct relay *r)
{
	struct mesh_entry *e = &r->mesh->entry;

	if (e->state != ENTRY_LISTED)
		return;
	/* The id of its lease may have been granted to another node since. */
	ld_store_cancel(&e->call);
	e->state = ENTRY_NONE;
	e->next_ms = relay_now(r) + ld_rand_below(&r->rand, RENEW_SPREAD_MS);
}

void
mesh_entry_tick(struct mesh_entry *e, uint64_t now)
{
	struct relay *r = e->relay;

	/* The first read shows whether a process of this node ran before. */
	if (now < e->next_ms || e->call.request != NULL || r->stopping ||
	    feed_revision(r) == 0)
		return;
	if (e->state == ENTRY_NONE) {
		e->state = ENTRY_GRANTING;
		e->call.done = on_granted;
		ld_store_lease_grant(r->store, &e->call, ENTRY_TTL_S);
	} else if (e->state == ENTRY_LISTED) {
		e->next_ms = now + RENEW_MS;
		e->call.done = on_renewed;
		ld_store_lease_keepalive(r->store, &e->call, e->lease);
	}
}
