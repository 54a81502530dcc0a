/* Table of replicas, and the health and load reports of their members. */

#include <stdlib.h>
#include <string.h>

#include "route_internal.h"

/* Waiting calls weigh more than running ones: they show a full replica. */
#define WAITING_WEIGHT 16
#define DEFAULT_SLOTS 16 /* until a replica's first load report */

struct ld_route *
ld_route_new(const struct ld_route_config *c)
{
	struct ld_route *r = ld_alloc(sizeof(*r));

	r->domain = ld_str_dup(c->domain);
	r->policy = c->policy;
	r->tail = &r->head;
	ld_rand_seed(&r->rand, c->seed);
	return r;
}

static void
replica_free(struct replica *p)
{
	free(p->id);
	free(p->model);
	free(p->domain);
	free(p->fabric);
	free(p->members);
	free(p);
}

static void
instances_free(struct ld_route *r)
{
	struct instance *i;

	for (size_t b = 0; b < ROUTE_BUCKETS; b++) {
		while ((i = r->instances[b]) != NULL) {
			r->instances[b] = i->next;
			free(i->address);
			free(i->replica);
			free(i);
		}
	}
}

void
ld_route_free(struct ld_route *r)
{
	struct replica *p;
	struct fabric *f;

	if (r == NULL)
		return;
	ld_route_calls_free(r);
	ld_route_services_free(r);
	while ((p = r->replicas) != NULL) {
		r->replicas = p->next;
		replica_free(p);
	}
	while ((f = r->fabrics) != NULL) {
		r->fabrics = f->next;
		free(f->name);
		free(f);
	}
	instances_free(r);
	free(r->domain);
	free(r);
}

/* Returns the instance of @address, which is added if there is none. */
struct instance *
ld_route_get_instance(struct ld_route *r, struct ld_str address)
{
	size_t b = ld_hash64(address, 0) & (ROUTE_BUCKETS - 1);
	struct instance *i;

	for (i = r->instances[b]; i != NULL; i = i->next) {
		if (ld_str_eq(ld_str_c(i->address), address))
			return i;
	}
	i = ld_alloc(sizeof(*i));
	i->address = ld_str_dup(address);
	i->next = r->instances[b];
	r->instances[b] = i;
	return i;
}

struct replica *
ld_route_find_replica(const struct ld_route *r, struct ld_str id)
{
	struct replica *p;

	for (p = r->replicas; p != NULL; p = p->next) {
		if (!p->removed && ld_str_eq(ld_str_c(p->id), id))
			return p;
	}
	return NULL;
}

/* ---- Placement ---- */

static struct fabric *
fabric_get(struct ld_route *r, struct ld_str name)
{
	struct fabric *f;

	for (f = r->fabrics; f != NULL; f = f->next) {
		if (ld_str_eq(ld_str_c(f->name), name))
			return f;
	}
	f = ld_alloc(sizeof(*f));
	f->name = ld_str_dup(name);
	f->next = r->fabrics;
	r->fabrics = f;
	return f;
}

static bool
same_members(const struct replica *p, const struct ld_route_replica *n)
{
	if (p->member_count != n->member_count)
		return false;
	for (size_t i = 0; i < n->member_count; i++) {
		if (!ld_str_eq(ld_str_c(p->members[i]->address), n->members[i]))
			return false;
	}
	return true;
}

static struct replica *
replica_new(
    struct ld_route *r, struct ld_str fabric, const struct ld_route_replica *n)
{
	struct replica *p = ld_alloc(sizeof(*p));

	p->id = ld_str_dup(n->id);
	p->model = ld_str_dup(n->model);
	p->domain = ld_str_dup(n->domain);
	p->fabric = ld_str_dup(fabric);
	p->hash = ld_hash64(n->id, 0);
	p->epoch = n->epoch;
	p->slots = DEFAULT_SLOTS;
	p->member_count = n->member_count;
	p->members = ld_alloc(n->member_count * sizeof(struct instance *));
	for (size_t i = 0; i < n->member_count; i++)
		p->members[i] = ld_route_get_instance(r, n->members[i]);
	p->next = r->replicas;
	r->replicas = p;
	return p;
}

/*
 * Adds or updates a replica. With another epoch or other members it is a new
 * replica, to which open calls don't carry over.
 */
static void
replica_adopt(
    struct ld_route *r, struct ld_str fabric, const struct ld_route_replica *n)
{
	struct replica *p = ld_route_find_replica(r, n->id);

	if (p != NULL && (p->epoch != n->epoch || !same_members(p, n))) {
		p->removed = true;
		p = NULL;
	}
	if (p == NULL)
		p = replica_new(r, fabric, n);
	p->state = n->state;
}

static bool
is_listed(
    const struct replica *p, const struct ld_route_replica *list, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (ld_str_eq(list[i].id, ld_str_c(p->id)))
			return true;
	}
	return false;
}

enum ld_status
ld_route_set_placement(struct ld_route *r, uint64_t now_ms,
    struct ld_str fabric, uint64_t revision,
    const struct ld_route_replica *replicas, size_t n)
{
	struct fabric *f = fabric_get(r, fabric);
	struct replica *p;

	if (revision < f->revision)
		return ld_fail(
		    LD_E_STALE, "placement of %.*s is older", LD_FMT(fabric));
	f->revision = revision;
	for (p = r->replicas; p != NULL; p = p->next) {
		if (ld_str_eq(ld_str_c(p->fabric), fabric) &&
		    !is_listed(p, replicas, n))
			p->removed = true;
	}
	for (size_t i = 0; i < n; i++) {
		if (replicas[i].member_count > 0)
			replica_adopt(r, fabric, &replicas[i]);
	}
	ld_route_tick(r, now_ms);
	return LD_OK;
}

void
ld_route_free_removed(struct ld_route *r)
{
	struct replica **at = &r->replicas;
	struct replica *p;

	while ((p = *at) != NULL) {
		if (!p->removed || p->calls != NULL) {
			at = &p->next;
			continue;
		}
		*at = p->next;
		replica_free(p);
	}
}

/* ---- Reports ---- */

void
ld_route_report_health(
    struct ld_route *r, uint64_t now_ms, const struct ld_route_health *h)
{
	struct instance *i = ld_route_get_instance(r, h->address);

	if (h->at_ms < i->at_ms)
		return;
	i->at_ms = h->at_ms;
	i->epoch = h->epoch;
	i->ready = h->ready;
	if (i->replica == NULL ||
	    !ld_str_eq(ld_str_c(i->replica), h->replica)) {
		free(i->replica);
		i->replica = h->replica.len > 0 ? ld_str_dup(h->replica) : NULL;
	}
}

void
ld_route_report_load(
    struct ld_route *r, uint64_t now_ms, const struct ld_route_load *l)
{
	struct replica *p = ld_route_find_replica(r, l->replica);
	struct call *c;

	if (p == NULL || l->at_ms < p->load_at_ms)
		return;
	p->running = l->running;
	p->waiting = l->waiting;
	if (l->slots > 0)
		p->slots = l->slots;
	p->load_at_ms = l->at_ms;
	p->unreported_calls = 0;
	for (c = p->calls; c != NULL; c = c->next_in_replica) {
		if (c->started_ms > l->at_ms)
			p->unreported_calls++;
	}
}

void
ld_route_set_leaving(
    struct ld_route *r, uint64_t now_ms, struct ld_str address, bool leaving)
{
	ld_route_get_instance(r, address)->leaving = leaving;
}

void
ld_route_mark_dead(struct ld_route *r, uint64_t now_ms, struct ld_str address)
{
	ld_route_get_instance(r, address)->dead_at_ms = now_ms;
	ld_route_tick(r, now_ms);
}

/* ---- Fitness ---- */

static bool
member_fit(const struct replica *p, const struct instance *i, uint64_t now_ms)
{
	if (i->at_ms == 0 || !i->ready || i->replica == NULL)
		return false;
	if (i->dead_at_ms != 0 && i->at_ms <= i->dead_at_ms)
		return false;
	if (now_ms > i->at_ms + LD_ROUTE_HEALTH_FRESH_MS)
		return false;
	return i->epoch == p->epoch && strcmp(i->replica, p->id) == 0;
}

bool
ld_route_replica_fit(const struct replica *p, uint64_t now_ms)
{
	if (p->removed || p->state == LD_ROUTE_FORMING)
		return false;
	for (size_t i = 0; i < p->member_count; i++) {
		if (!member_fit(p, p->members[i], now_ms))
			return false;
	}
	return true;
}

bool
ld_route_replica_accepts_calls(const struct replica *p, uint64_t now_ms)
{
	if (p->state != LD_ROUTE_SERVING)
		return false;
	for (size_t i = 0; i < p->member_count; i++) {
		if (p->members[i]->leaving)
			return false;
	}
	return ld_route_replica_fit(p, now_ms);
}

double
ld_route_replica_load(const struct replica *p)
{
	uint64_t calls = p->running + p->unreported_calls;

	return (double)(calls + WAITING_WEIGHT * p->waiting) / (double)p->slots;
}

bool
ld_route_fit(const struct ld_route *r, uint64_t now_ms, struct ld_str replica,
    uint64_t epoch)
{
	const struct replica *p = ld_route_find_replica(r, replica);

	return p != NULL && p->epoch == epoch &&
	    ld_route_replica_fit(p, now_ms);
}

uint64_t
ld_route_capacity(const struct ld_route *r, uint64_t now_ms)
{
	const struct replica *p;
	uint64_t slots = 0;

	for (p = r->replicas; p != NULL; p = p->next) {
		if (ld_route_replica_accepts_calls(p, now_ms))
			slots += p->slots;
	}
	return slots;
}
