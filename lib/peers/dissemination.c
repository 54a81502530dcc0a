/*
 * Dissemination of changes. Member changes are sent on every link of the mesh,
 * because they are rare and must arrive; records are sent along the push tree.
 */
#include <assert.h>
#include <stdlib.h>

#include "peers_internal.h"

/* Encoded size of a member or record without its strings. */
#define ITEM_OVERHEAD_BYTES 32

void
item_remove(struct item *it)
{
	if (it->change_no == 0)
		return;
	it->older->newer = it->newer;
	it->newer->older = it->older;
	it->change_no = 0;
}

void
item_changed(
    struct ld_peers *p, struct item *it, uint32_t from, uint64_t delay_ms)
{
	uint64_t due = p->now_ms + delay_ms;

	item_remove(it);
	it->change_no = ++p->change_no;
	it->from_link = from;
	it->newer = &p->changes;
	it->older = p->changes.older;
	it->older->newer = it;
	p->changes.older = it;
	if (due < p->flush_due_ms)
		p->flush_due_ms = due;
}

/* ---- Batches ---- */

void
batch_fini(struct batch *b)
{
	free(b->members);
	free(b->records);
	*b = (struct batch){0};
}

void
batch_send(struct ld_peers *p, const struct link *l, struct batch *b)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_RECORDS};

	if (b->member_count + b->record_count > 0) {
		m.records.members = b->members;
		m.records.member_count = b->member_count;
		m.records.records = b->records;
		m.records.record_count = b->record_count;
		act_send(p, l, &m);
	}
	b->member_count = 0;
	b->record_count = 0;
	b->bytes = 0;
}

/* Doubles the array at each power of two, so no capacity needs to be stored. */
static void *
grow(void *array, size_t count, size_t size)
{
	if ((count & (count - 1)) != 0)
		return array;
	return ld_realloc(array, (count > 0 ? 2 * count : 1) * size);
}

void
batch_member(struct ld_peers *p, const struct link *l, struct batch *b,
    const struct member *m)
{
	struct ld_wire_member w = member_to_wire(m);

	b->members = grow(b->members, b->member_count, sizeof(w));
	b->members[b->member_count++] = w;
	b->bytes +=
	    ITEM_OVERHEAD_BYTES + w.address.len + w.domain.len + w.region.len;
	if (b->bytes >= BATCH_MAX_BYTES)
		batch_send(p, l, b);
}

void
batch_record(struct ld_peers *p, const struct link *l, struct batch *b,
    const struct record *r)
{
	struct ld_wire_record w = record_to_wire(r);

	b->records = grow(b->records, b->record_count, sizeof(w));
	b->records[b->record_count++] = w;
	b->bytes += ITEM_OVERHEAD_BYTES + w.key.len + w.value.len;
	if (b->bytes >= BATCH_MAX_BYTES)
		batch_send(p, l, b);
}

/* ---- Flush ---- */

static void
flush_link(struct ld_peers *p, struct link *l)
{
	bool tree = tree_includes(p, l);
	struct batch b = {0};
	struct item *it;

	for (it = p->changes.older; it != &p->changes; it = it->older) {
		if (it->change_no <= l->sent_change_no)
			break;
		if (it->from_link == l->id)
			continue;
		if (it->is_member)
			batch_member(p, l, &b, (struct member *)it);
		else if (tree)
			batch_record(p, l, &b, (struct record *)it);
	}
	batch_send(p, l, &b);
	batch_fini(&b);
	l->sent_change_no = p->change_no;
}

void
changes_flush(struct ld_peers *p)
{
	p->flush_due_ms = UINT64_MAX;
	for (struct link *l = p->links; l != NULL; l = l->next) {
		if (link_is_mesh(l))
			flush_link(p, l);
	}
}
