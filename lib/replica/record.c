/* Placement record: conversion to and from its value in the store. */
#include <stdlib.h>
#include <string.h>

#include "replica_internal.h"

struct ld_replica_entry *
record_find(struct ld_replica_record *r, const char *id)
{
	for (uint16_t i = 0; i < r->count; i++) {
		if (strcmp(r->replicas[i].id, id) == 0)
			return &r->replicas[i];
	}
	return NULL;
}

const struct ld_replica_entry *
record_replica_of(const struct ld_replica_record *r, uint16_t instance)
{
	for (uint16_t i = 0; i < r->count; i++) {
		const struct ld_replica_entry *e = &r->replicas[i];

		for (uint16_t m = 0; m < e->member_count; m++) {
			if (e->members[m] == instance)
				return e;
		}
	}
	return NULL;
}

static bool
copy_name(char *out, size_t size, const char *name)
{
	size_t n = strlen(name);

	if (n == 0 || n >= size)
		return false;
	memcpy(out, name, n + 1);
	return true;
}

static enum ld_status
decode_entry(const struct ld_placed_replica *p, struct instances *t,
    const struct ld_replica_record *so_far, struct ld_replica_entry *out)
{
	if (!copy_name(out->id, sizeof(out->id), p->id) ||
	    !copy_name(out->model, sizeof(out->model), p->model))
		return ld_fail(
		    LD_E_TOO_LARGE, "replica or model name too long");
	if (p->n_members > LD_REPLICA_MEMBERS_MAX)
		return ld_fail(
		    LD_E_TOO_LARGE, "replica %s: too many members", p->id);
	out->epoch = (uint64_t)p->epoch;
	out->state = p->state;
	out->member_count = (uint16_t)p->n_members;
	for (size_t i = 0; i < p->n_members; i++) {
		out->members[i] =
		    instances_intern(t, ld_str_c(p->members[i]), so_far);
		if (out->members[i] == NO_INSTANCE)
			return ld_fail(
			    LD_E_TOO_LARGE, "too many instances in the record");
	}
	return LD_OK;
}

enum ld_status
record_decode(
    struct ld_str value, struct instances *t, struct ld_replica_record *out)
{
	struct ld_placement *p = NULL;
	enum ld_status st;

	memset(out, 0, sizeof(*out));
	st = ld_placement_parse(value, 0, &p, NULL);
	if (st != LD_OK)
		goto done;
	if (p->n_replicas > LD_REPLICA_MAX) {
		st = ld_fail(LD_E_TOO_LARGE, "record has too many replicas");
		goto done;
	}
	for (size_t i = 0; i < p->n_replicas; i++) {
		st = decode_entry(&p->replicas[i], t, out, &out->replicas[i]);
		if (st != LD_OK)
			goto done;
		out->count++;
	}
done:
	ld_placement_free(p);
	return st;
}

static void
encode_entry(const struct ld_replica_entry *e, const struct instances *t,
    struct ld_placed_replica *out)
{
	out->id = (char *)e->id;
	out->model = (char *)e->model;
	out->epoch = (int64_t)e->epoch;
	out->state = e->state;
	out->n_members = e->member_count;
	out->members = ld_alloc(e->member_count * sizeof(char *));
	for (uint16_t i = 0; i < e->member_count; i++)
		out->members[i] = t->v[e->members[i]].address;
}

void
record_encode(const struct ld_replica_record *r, const struct instances *t,
    const char *fabric, struct ld_buf *out)
{
	struct ld_placement p = {.fabric = (char *)fabric};

	p.n_replicas = r->count;
	p.replicas = ld_alloc((r->count + 1U) * sizeof(*p.replicas));
	for (uint16_t i = 0; i < r->count; i++)
		encode_entry(&r->replicas[i], t, &p.replicas[i]);
	ld_placement_write(&p, out);
	for (uint16_t i = 0; i < r->count; i++)
		free(p.replicas[i].members);
	free(p.replicas);
}
