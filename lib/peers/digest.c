/*
 * Anti-entropy: two nodes compare hashes of the buckets of their tables, then
 * hashes of each member in the buckets that differ, and send each other the
 * members and records that differ. This repairs losses due to a broken link or
 * a change of the push tree, and fills the table of a new node.
 */
#include <stdlib.h>

#include "peers_internal.h"

/*
 * Bucket hash sent by a node with at most two members, so that all buckets
 * differ, including those that hold only dead members.
 */
#define REQUEST_ALL_BUCKETS UINT64_MAX

void
digest_start(struct ld_peers *p, struct link *l)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_DIGEST};

	m.digest.has_buckets = true;
	for (size_t i = 0; i < LD_WIRE_BUCKETS; i++)
		m.digest.bucket[i] = p->member_count > 2 ? p->bucket_hash[i]
							 : REQUEST_ALL_BUCKETS;
	l->last_digest_ms = p->now_ms;
	l->mismatch_since_ms = 0;
	p->counters.digests++;
	act_send(p, l, &m);
}

static bool
is_in_buckets(const struct member *m, uint32_t buckets)
{
	return (buckets >> bucket_of(m->incarnation) & 1) != 0;
}

static void
send_entries(
    struct ld_peers *p, const struct link *l, uint32_t buckets, bool closing)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_DIGEST};
	struct ld_wire_digest *d = &m.digest;

	d->differing = buckets;
	d->closing = closing;
	d->entries = ld_alloc(p->member_count * sizeof(*d->entries));
	for (size_t i = 0; i < p->member_count; i++) {
		const struct member *at = p->members[i];

		if (!is_in_buckets(at, buckets))
			continue;
		d->entries[d->entry_count++] = (struct ld_wire_entry){
		    at->incarnation, member_hash(at), at->records_hash};
	}
	act_send(p, l, &m);
	free(d->entries);
}

static const struct ld_wire_entry *
find_entry(const struct ld_wire_digest *d, uint64_t incarnation)
{
	for (size_t i = 0; i < d->entry_count; i++) {
		if (d->entries[i].incarnation == incarnation)
			return &d->entries[i];
	}
	return NULL;
}

static void
batch_digest_records(struct ld_peers *p, const struct link *l, struct batch *b,
    const struct member *m)
{
	for (const struct record *r = m->records; r != NULL; r = r->next) {
		if (!kind_is_fast(r->kind))
			batch_record(p, l, b, r);
	}
}

/*
 * Sends members and records that differ. Returns whether anything differs or
 * the peer has members that this node has not.
 */
static bool
send_differing(
    struct ld_peers *p, const struct link *l, const struct ld_wire_digest *d)
{
	struct batch b = {0};
	size_t known = 0;
	bool differs = false;

	for (size_t i = 0; i < p->member_count; i++) {
		const struct member *m = p->members[i];
		const struct ld_wire_entry *e;

		if (!is_in_buckets(m, d->differing))
			continue;
		e = find_entry(d, m->incarnation);
		known += e != NULL;
		if (e == NULL && m->removed)
			continue;
		if (e != NULL && e->member_hash == member_hash(m) &&
		    e->records_hash == m->records_hash)
			continue;
		differs = true;
		batch_member(p, l, &b, m);
		batch_digest_records(p, l, &b, m);
	}
	batch_send(p, l, &b);
	batch_fini(&b);
	return differs || known < d->entry_count;
}

void
digest_received(
    struct ld_peers *p, struct link *l, const struct ld_wire_digest *d)
{
	uint32_t buckets = 0;

	if (!d->has_buckets) {
		bool more = send_differing(p, l, d);

		if (more && !d->closing)
			send_entries(p, l, d->differing, true);
		return;
	}
	for (size_t i = 0; i < LD_WIRE_BUCKETS; i++) {
		if (d->bucket[i] != p->bucket_hash[i])
			buckets |= (uint32_t)1 << i;
	}
	if (buckets != 0)
		send_entries(p, l, buckets, false);
}
