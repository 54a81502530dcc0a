/*
 * Anti-entropy: two nodes compare hashes of buckets of their tables, then
 * what they hold of each node in the buckets that differ, and send each other
 * what the other one lacks. It mends what a broken link or a tree in change
 * has lost, and fills the table of a new node.
 */
#include <stdlib.h>

#include "peers_internal.h"

/* A table without other nodes asks for all buckets, also those of the dead. */
#define ASK_FOR_ALL UINT64_MAX

void
digest_start(struct ld_peers *p, struct link *l)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_DIGEST};

	m.digest.has_buckets = true;
	for (size_t i = 0; i < LD_WIRE_BUCKETS; i++)
		m.digest.bucket[i] =
		    p->member_count > 2 ? p->bucket[i] : ASK_FOR_ALL;
	l->digest_ms = p->now_ms;
	l->mismatch_ms = 0;
	p->counters.digests++;
	act_send(p, l, &m);
}

static bool
in_buckets(const struct member *m, uint32_t buckets)
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

		if (!in_buckets(at, buckets))
			continue;
		d->entries[d->entry_count++] = (struct ld_wire_entry){
		    at->incarnation, member_hash(at), at->records_hash};
	}
	act_send(p, l, &m);
	free(d->entries);
}

static const struct ld_wire_entry *
entry_of(const struct ld_wire_digest *d, uint64_t incarnation)
{
	for (size_t i = 0; i < d->entry_count; i++) {
		if (d->entries[i].incarnation == incarnation)
			return &d->entries[i];
	}
	return NULL;
}

static void
batch_slow_records(struct ld_peers *p, const struct link *l, struct batch *b,
    const struct member *m)
{
	for (const struct record *r = m->records; r != NULL; r = r->next) {
		if (!kind_is_fast(r->kind))
			batch_record(p, l, b, r);
	}
}

/* Sends what differs; Return: whether the other side knows of more. */
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

		if (!in_buckets(m, d->differing))
			continue;
		e = entry_of(d, m->incarnation);
		known += e != NULL;
		if (e == NULL && m->gone)
			continue;
		if (e != NULL && e->member_hash == member_hash(m) &&
		    e->records_hash == m->records_hash)
			continue;
		differs = true;
		batch_member(p, l, &b, m);
		batch_slow_records(p, l, &b, m);
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
		if (d->bucket[i] != p->bucket[i])
			buckets |= (uint32_t)1 << i;
	}
	if (buckets != 0)
		send_entries(p, l, buckets, false);
}
