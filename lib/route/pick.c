/*
 * Chooses a replica: the one preferred for the prefix unless its load is too
 * high, or else the less loaded of two random ones.
 */
#include <assert.h>
#include <string.h>

#include "route_internal.h"

/*
 * Load reports are seconds old, and hundreds of routers act on the same ones. A
 * fixed threshold would make all of them switch together until the next report.
 * Probabilities that change gradually with the load avoid this oscillation.
 */
/* A preferred replica this share of the mean above the mean is never chosen. */
#define AFFINITY_SLACK 0.25
/* Up to this mean load the own domain keeps all of its requests. */
#define SPILL_MIN_LOAD 0.70
/* A domain this far above the overall mean sends all requests elsewhere. */
#define SPILL_RANGE 0.10
#define CANDIDATES_MAX 256

/** struct candidates - replicas that may take the call */
struct candidates {
	struct replica *own[CANDIDATES_MAX];
	size_t own_count;
	struct replica *other[CANDIDATES_MAX];
	size_t other_count;
	bool model_placed;
};

static bool
is_excluded(const struct replica *p, const struct ld_route_request *req)
{
	return req->excluded.len > 0 &&
	    ld_str_eq(ld_str_c(p->id), req->excluded);
}

static void
collect_candidates(struct ld_route *r, uint64_t now_ms,
    const struct ld_route_request *req, struct candidates *c)
{
	struct replica *p;

	c->own_count = 0;
	c->other_count = 0;
	c->model_placed = false;
	for (p = r->replicas; p != NULL; p = p->next) {
		if (p->removed || !ld_str_eq(ld_str_c(p->model), req->model))
			continue;
		c->model_placed = true;
		if (is_excluded(p, req) ||
		    !ld_route_replica_accepts_calls(p, now_ms))
			continue;
		if (strcmp(p->domain, r->domain) == 0) {
			if (c->own_count < CANDIDATES_MAX)
				c->own[c->own_count++] = p;
		} else if (c->other_count < CANDIDATES_MAX) {
			c->other[c->other_count++] = p;
		}
	}
}

static struct replica *
preferred_replica(struct replica **list, size_t n, uint64_t prefix)
{
	struct replica *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < n; i++) {
		uint64_t key[2] = {prefix, list[i]->hash};
		struct ld_str s = {(const char *)key, sizeof(key)};
		uint64_t weight = ld_hash64(s, 0);

		if (best == NULL || weight > best_weight) {
			best = list[i];
			best_weight = weight;
		}
	}
	return best;
}

static struct replica *
less_loaded(struct replica *a, struct replica *b)
{
	return ld_route_replica_load(b) < ld_route_replica_load(a) ? b : a;
}

static struct replica *
two_choices(struct ld_route *r, struct replica **list, size_t n)
{
	size_t first, second;

	assert(n > 0);
	if (n == 1)
		return list[0];
	first = ld_rand_below(&r->rand, n);
	second = ld_rand_below(&r->rand, n - 1);
	if (second >= first)
		second++;
	return less_loaded(list[first], list[second]);
}

static double
mean_load(struct replica **list, size_t n)
{
	double sum = 0.0;

	for (size_t i = 0; i < n; i++)
		sum += ld_route_replica_load(list[i]);
	return n > 0 ? sum / (double)n : 0.0;
}

static bool
keeps_affinity(struct ld_route *r, const struct replica *p, double mean)
{
	double excess = ld_route_replica_load(p) - mean;

	if (excess <= 0.0)
		return true;
	return ld_rand_unit(&r->rand) * AFFINITY_SLACK * mean > excess;
}

static struct replica *
affinity_or_two_choices(
    struct ld_route *r, struct replica **list, size_t n, uint64_t prefix)
{
	struct replica *p;

	if (n == 0)
		return NULL;
	if (prefix == 0)
		return two_choices(r, list, n);
	p = preferred_replica(list, n, prefix);
	if (keeps_affinity(r, p, mean_load(list, n)))
		return p;
	return two_choices(r, list, n);
}

/* Whether this request is sent to another domain, as the own is overloaded. */
static bool
should_spill(struct ld_route *r, struct candidates *c)
{
	double own = mean_load(c->own, c->own_count);
	double other = mean_load(c->other, c->other_count);
	double all;

	if (c->own_count == 0)
		return true;
	if (c->other_count == 0 || own <= SPILL_MIN_LOAD)
		return false;
	all = (own * (double)c->own_count + other * (double)c->other_count) /
	    (double)(c->own_count + c->other_count);
	return ld_rand_unit(&r->rand) * SPILL_RANGE < own - all;
}

static struct replica *
least_reported(struct replica **list, size_t n)
{
	struct replica *best = list[0];

	for (size_t i = 1; i < n; i++) {
		if ((list[i]->running + list[i]->waiting) * best->slots <
		    (best->running + best->waiting) * list[i]->slots)
			best = list[i];
	}
	return best;
}

static struct replica *
pick_by_policy(
    struct ld_route *r, struct replica **list, size_t n, uint64_t prefix)
{
	switch (r->policy) {
	case LD_ROUTE_RANDOM:
		return list[ld_rand_below(&r->rand, n)];
	case LD_ROUTE_ROUND_ROBIN:
		return list[r->round_robin_next++ % n];
	case LD_ROUTE_LEAST_REPORTED:
		return least_reported(list, n);
	case LD_ROUTE_AFFINITY:
		return preferred_replica(list, n, prefix);
	case LD_ROUTE_TWO_CHOICES:
		break;
	}
	return affinity_or_two_choices(r, list, n, prefix);
}

static struct replica *
choose(struct ld_route *r, struct candidates *c, uint64_t prefix)
{
	if (r->policy != LD_ROUTE_TWO_CHOICES) {
		memcpy(c->own + c->own_count, c->other,
		    sizeof(c->own[0]) *
			(c->own_count + c->other_count <= CANDIDATES_MAX
				? c->other_count
				: CANDIDATES_MAX - c->own_count));
		c->own_count += c->other_count;
		if (c->own_count > CANDIDATES_MAX)
			c->own_count = CANDIDATES_MAX;
		return c->own_count > 0
		    ? pick_by_policy(r, c->own, c->own_count, prefix)
		    : NULL;
	}
	if (should_spill(r, c))
		return affinity_or_two_choices(
		    r, c->other, c->other_count, prefix);
	return affinity_or_two_choices(r, c->own, c->own_count, prefix);
}

enum ld_status
ld_route_pick(struct ld_route *r, uint64_t now_ms,
    const struct ld_route_request *req, struct ld_route_choice *choice)
{
	struct candidates c;
	struct replica *p;

	collect_candidates(r, now_ms, req, &c);
	if (!c.model_placed)
		return ld_fail(LD_E_NOT_FOUND, "no replica of model %.*s",
		    LD_FMT(req->model));
	p = choose(r, &c, req->prefix);
	if (p == NULL)
		return ld_fail(LD_E_UNAVAILABLE,
		    "no replica of model %.*s is fit", LD_FMT(req->model));
	choice->replica = ld_str_c(p->id);
	choice->epoch = p->epoch;
	choice->address = ld_str_c(p->members[0]->address);
	choice->cross_domain = strcmp(p->domain, r->domain) != 0;
	choice->preferred = req->prefix != 0 &&
	    p ==
		(choice->cross_domain
			? preferred_replica(c.other, c.other_count, req->prefix)
			: preferred_replica(c.own, c.own_count, req->prefix));
	return LD_OK;
}
