/* The record table: the latest value published by each node for (kind, key). */
#include <stdlib.h>
#include <string.h>

#include "peers_internal.h"

#define REVISION_BYTES 8

/* Fast records change about once a second; the next one replaces a lost one. */
bool
kind_is_fast(enum ld_peers_kind kind)
{
	return kind == LD_PEERS_REC_LOAD || kind == LD_PEERS_REC_USAGE;
}

static uint64_t
record_hash(const struct record *r)
{
	struct ld_str key = {r->key, r->key_len};

	if (kind_is_fast(r->kind))
		return 0;
	return ld_hash64(key, ld_hash64(LD_STR("record"), r->seq) + r->kind);
}

static struct record *
find(const struct member *m, enum ld_peers_kind kind, struct ld_str key)
{
	for (struct record *r = m->records; r != NULL; r = r->next) {
		if (r->kind == kind &&
		    ld_str_eq((struct ld_str){r->key, r->key_len}, key))
			return r;
	}
	return NULL;
}

static struct record *
add(struct member *m, enum ld_peers_kind kind, struct ld_str key)
{
	struct record *r = ld_alloc(sizeof(*r));
	struct record **end = &m->records;

	while (*end != NULL)
		end = &(*end)->next;
	*end = r;
	r->origin = m;
	r->kind = kind;
	r->key = ld_str_dup(key);
	r->key_len = key.len;
	return r;
}

static void
update_confirmed(struct member *m, struct ld_str value)
{
	uint64_t revision = 0;

	if (value.len != REVISION_BYTES)
		return;
	for (size_t i = 0; i < REVISION_BYTES; i++)
		revision = revision << 8 | (unsigned char)value.p[i];
	if (revision > m->confirmed_revision)
		m->confirmed_revision = revision;
}

static void
assign(struct ld_peers *p, struct record *r, uint64_t seq, struct ld_str value)
{
	struct member *m = r->origin;

	table_hash_toggle(p, m);
	if (r->seq > 0)
		m->records_hash ^= record_hash(r);
	r->seq = seq;
	r->received_ms = p->now_ms;
	m->records_hash ^= record_hash(r);
	table_hash_toggle(p, m);
	r->value.len = 0;
	ld_buf_adds(&r->value, value);
	if (r->kind == LD_PEERS_REC_CATALOGUE)
		update_confirmed(m, value);
}

static uint64_t
flush_delay_ms(enum ld_peers_kind kind)
{
	return kind_is_fast(kind) ? BATCH_DELAY_MS : URGENT_DELAY_MS;
}

static bool
is_valid(const struct ld_wire_record *in)
{
	return in->kind > 0 && in->kind < LD_PEERS_REC_KIND_END &&
	    in->seq > 0 && in->key.len <= LD_PEERS_KEY_MAX_BYTES &&
	    in->value.len <= LD_PEERS_VALUE_MAX_BYTES;
}

void
record_merge(struct ld_peers *p, const struct ld_wire_record *in, uint32_t from)
{
	struct member *m = member_by_incarnation(p, in->origin);
	enum ld_peers_kind kind = (enum ld_peers_kind)in->kind;
	struct record *r;

	if (!is_valid(in)) {
		p->counters.messages_refused++;
		return;
	}
	if (m == NULL || m == p->self || !member_is_live(m))
		return;
	r = find(m, kind, in->key);
	if (r != NULL && in->seq <= r->seq) {
		p->counters.records_duplicate++;
		return;
	}
	if (r == NULL)
		r = add(m, kind, in->key);
	assign(p, r, in->seq, in->value);
	p->counters.records_new++;
	item_changed(p, &r->item, from, flush_delay_ms(kind));
	act_record(p, r);
}

struct ld_wire_record
record_to_wire(const struct record *r)
{
	return (struct ld_wire_record){
	    .origin = r->origin->incarnation,
	    .seq = r->seq,
	    .kind = (uint8_t)r->kind,
	    .key = {r->key, r->key_len},
	    .value = ld_buf_str(&r->value),
	};
}

void
records_remove(struct ld_peers *p, struct member *m)
{
	struct record *r;

	table_hash_toggle(p, m);
	while ((r = m->records) != NULL) {
		m->records = r->next;
		item_remove(&r->item);
		free(r->key);
		ld_buf_free(&r->value);
		free(r);
	}
	m->records_hash = 0;
	table_hash_toggle(p, m);
}

void
records_republish(struct ld_peers *p)
{
	struct member *m = p->self;

	for (struct record *r = m->records; r != NULL; r = r->next) {
		table_hash_toggle(p, m);
		m->records_hash ^= record_hash(r);
		r->seq = ++p->next_seq;
		m->records_hash ^= record_hash(r);
		table_hash_toggle(p, m);
		item_changed(p, &r->item, 0, flush_delay_ms(r->kind));
	}
}

static void
publish(struct ld_peers *p, enum ld_peers_kind kind, struct ld_str key,
    struct ld_str value)
{
	struct record *r = find(p->self, kind, key);

	if (r == NULL)
		r = add(p->self, kind, key);
	assign(p, r, ++p->next_seq, value);
	item_changed(p, &r->item, 0, flush_delay_ms(kind));
}

enum ld_status
ld_peers_publish(struct ld_peers *p, uint64_t now_ms, enum ld_peers_kind kind,
    struct ld_str key, struct ld_str value)
{
	if (kind <= 0 || kind >= LD_PEERS_REC_KIND_END)
		return ld_fail(LD_E_INVALID, "record kind %d", (int)kind);
	if (key.len > LD_PEERS_KEY_MAX_BYTES ||
	    value.len > LD_PEERS_VALUE_MAX_BYTES)
		return ld_fail(LD_E_TOO_LARGE, "record of %zu and %zu bytes",
		    key.len, value.len);
	peers_begin_call(p, now_ms);
	publish(p, kind, key, value);
	peers_end_call(p);
	return LD_OK;
}

void
ld_peers_confirm_catalogue(
    struct ld_peers *p, uint64_t now_ms, uint64_t revision)
{
	char value[REVISION_BYTES];

	if (revision <= p->self->confirmed_revision)
		return;
	for (size_t i = 0; i < REVISION_BYTES; i++)
		value[i] = (char)(revision >> (8 * (REVISION_BYTES - 1 - i)));
	peers_begin_call(p, now_ms);
	publish(p, LD_PEERS_REC_CATALOGUE, LD_STR(""),
	    (struct ld_str){value, sizeof(value)});
	peers_end_call(p);
}

void
ld_peers_each_record(const struct ld_peers *p, enum ld_peers_kind kind,
    bool (*fn)(void *arg, const struct ld_peers_record *r), void *arg)
{
	for (size_t i = 0; i < p->member_count; i++) {
		const struct record *r = p->members[i]->records;

		for (; r != NULL; r = r->next) {
			struct ld_peers_record view = record_view(r);

			if (r->kind == kind && !fn(arg, &view))
				return;
		}
	}
}

enum ld_status
ld_peers_newest_record(const struct ld_peers *p, enum ld_peers_kind kind,
    struct ld_str key, struct ld_peers_record *out)
{
	const struct record *newest = NULL;

	for (size_t i = 0; i < p->member_count; i++) {
		const struct record *r = find(p->members[i], kind, key);

		if (r == NULL)
			continue;
		if (newest == NULL || r->received_ms > newest->received_ms)
			newest = r;
	}
	if (newest == NULL)
		return LD_E_NOT_FOUND;
	*out = record_view(newest);
	return LD_OK;
}
