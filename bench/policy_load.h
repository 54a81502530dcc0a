/*
 * Offered and admitted load of a fleet: worst windows and the usable part of
 * the limit. Shared by bench/policy_*.c and the limits test.
 */
#ifndef POLICY_LOAD_H
#define POLICY_LOAD_H

#include <math.h>

#include "policy_fleet.h"

#define LOAD_BIN_MS 100
#define LOAD_BINS 3000
#define LOAD_OWNERS_MAX 32
#define LOAD_TOKENS 20 /* estimate of each request */

/** struct load_owner - one caller: its entry and what it offers */
struct load_owner {
	struct ld_admit_entry entry;
	char name[16];
	double offered_per_s;
	double mean_ms; /* of a stream */
	uint64_t admitted[LOAD_BINS];
	uint64_t offered[LOAD_BINS];
	uint64_t slot_ms; /* sum of streams over time */
	uint64_t worst_over; /* most streams above the limit */
	uint64_t refused, refused_blank; /* blank: no retry time given */
	uint64_t cancelled;
	/* Requests made while fewer streams ran than were promised. */
	uint64_t within, within_refused;
	double *cumulative; /* load by node */
};

/** struct load_wait - a request awaiting its decision */
struct load_wait {
	uint64_t since_ms;
	unsigned int owner;
	bool within;
};

struct load;

/** struct load_policy - replaces the module in baselines */
struct load_policy {
	const char *name;
	bool (*admit)(struct load *l, unsigned int node, unsigned int owner);
	void (*step)(struct load *l);
};

/** struct load - offered load over a fleet */
struct load {
	struct fleet *fleet;
	const struct load_policy *policy; /* NULL: the module */
	void *state; /* of the policy */
	struct load_owner owners[LOAD_OWNERS_MAX];
	unsigned int n;
	struct ld_rand rand;
	double factor; /* of what the owners offer */
	uint64_t start_ms;
	uint64_t offered, waits, longest_wait_ms;
	uint64_t next_ticket; /* of the policy */
	struct load_wait (*waiting)[FLEET_TICKETS]; /* by node and ticket */
	uint64_t (*tickets)[FLEET_TICKETS]; /* of running streams */
};

static inline size_t
load_bin(const struct load *l)
{
	return (l->fleet->now_ms - l->start_ms) / LOAD_BIN_MS;
}

static inline void
load_admit(
    struct load *l, unsigned int node, unsigned int owner, uint64_t ticket)
{
	struct load_owner *o = &l->owners[owner];
	uint64_t *in_use = &l->fleet->in_use[owner];
	double ms = -log(1.0 - ld_rand_unit(&l->rand)) * o->mean_ms;

	o->admitted[load_bin(l)]++;
	l->tickets[node][ticket % FLEET_TICKETS] = ticket;
	fleet_started(l->fleet, node, owner, ticket, (uint64_t)ms + 1);
	if (*in_use > o->entry.concurrent + o->worst_over)
		o->worst_over = *in_use - o->entry.concurrent;
}

static inline void
load_refused(struct load *l, unsigned int owner, bool within,
    const struct ld_admit_decision *d)
{
	l->owners[owner].within_refused += within;
	l->owners[owner].refused++;
	if (d->retry_after_ms == 0)
		l->owners[owner].refused_blank++;
}

static inline void
load_decided(struct fleet *f, unsigned int node, uint64_t ticket,
    const struct ld_admit_decision *d)
{
	struct load *l = f->user;
	struct load_wait *w = &l->waiting[node][ticket % FLEET_TICKETS];
	uint64_t ms = f->now_ms - w->since_ms;

	if (ms > l->longest_wait_ms && f->nodes[node].thawed_ms <= w->since_ms)
		l->longest_wait_ms = ms;
	if (d->verdict == LD_ADMIT_YES)
		load_admit(l, node, w->owner, ticket);
	else
		load_refused(l, w->owner, w->within, d);
}

static inline void
load_cancelled(struct fleet *f, unsigned int node, unsigned int owner,
    const struct ld_admit_decision *d)
{
	struct load *l = f->user;

	l->owners[owner].cancelled++;
}

static inline void
load_init(struct load *l, struct fleet *f, uint64_t seed)
{
	memset(l, 0, sizeof(*l));
	l->fleet = f;
	l->start_ms = f->now_ms;
	l->factor = 1.0;
	ld_rand_seed(&l->rand, seed);
	l->waiting = ld_alloc(f->n * sizeof(*l->waiting));
	l->tickets = ld_alloc(f->n * sizeof(*l->tickets));
	f->user = l;
	f->decided = load_decided;
	f->cancelled = load_cancelled;
}

static inline void
load_fini(struct load *l)
{
	for (unsigned int i = 0; i < l->n; i++)
		free(l->owners[i].cumulative);
	free(l->waiting);
	free(l->tickets);
}

static inline struct load_owner *
load_add(struct load *l, enum ld_admit_class class, uint64_t rate,
    uint64_t concurrent, uint64_t promised, double offered, double mean_ms)
{
	struct load_owner *o = &l->owners[l->n];

	snprintf(o->name, sizeof(o->name), "owner-%u", l->n);
	o->entry = (struct ld_admit_entry){ld_str_c(o->name), class, rate,
	    rate * 2 * LOAD_TOKENS, concurrent, promised};
	o->offered_per_s = offered;
	o->mean_ms = mean_ms;
	o->cumulative = ld_alloc(l->fleet->n * sizeof(double));
	l->n++;
	return o;
}

/** load_skew() - give one node in ten @skew times the load of the others */
static inline void
load_skew(struct load *l, double skew)
{
	unsigned int n = l->fleet->n;
	unsigned int hot = n / 10 > 0 ? n / 10 : 1;

	for (unsigned int i = 0; i < l->n; i++) {
		double sum = 0.0;

		for (unsigned int j = 0; j < n; j++) {
			sum += (j + i) % n < hot ? skew : 1.0;
			l->owners[i].cumulative[j] = sum;
		}
	}
}

static inline unsigned int
load_node(struct load *l, const struct load_owner *o)
{
	unsigned int n = l->fleet->n, low = 0, high = n - 1;
	double at = ld_rand_unit(&l->rand) * o->cumulative[n - 1];

	while (low < high) {
		unsigned int mid = (low + high) / 2;

		if (o->cumulative[mid] > at)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

static inline void
load_ask_module(struct load *l, unsigned int node, unsigned int owner)
{
	struct load_owner *o = &l->owners[owner];
	bool within = l->fleet->in_use[owner] < o->entry.promised;
	struct fleet_node *v = &l->fleet->nodes[node];
	struct ld_admit_decision d;
	struct load_wait *w;

	o->within += within;
	ld_admit_request(
	    v->admit, l->fleet->now_ms, o->entry.owner, LOAD_TOKENS, &d);
	if (d.verdict == LD_ADMIT_YES) {
		load_admit(l, node, owner, d.ticket);
	} else if (d.verdict == LD_ADMIT_WAIT) {
		l->waits++;
		w = &l->waiting[node][d.ticket % FLEET_TICKETS];
		w->since_ms = l->fleet->now_ms;
		w->owner = owner;
		w->within = within;
	} else {
		load_refused(l, owner, within, &d);
	}
	fleet_drain(l->fleet, node);
}

/* The balancer leaves dead nodes out; frozen ones give no answer. */
static inline void
load_one(struct load *l, unsigned int owner)
{
	unsigned int node = load_node(l, &l->owners[owner]);

	while (!l->fleet->nodes[node].alive)
		node = (node + 1) % l->fleet->n;
	if (l->fleet->nodes[node].frozen)
		return;
	l->offered++;
	l->owners[owner].offered[load_bin(l)]++;
	if (l->policy == NULL)
		load_ask_module(l, node, owner);
	else if (l->policy->admit(l, node, owner))
		load_admit(l, node, owner, ++l->next_ticket);
}

static inline unsigned int
load_poisson(struct ld_rand *r, double mean)
{
	double limit = exp(-mean), p = ld_rand_unit(r);
	unsigned int k = 0;

	while (p > limit) {
		p *= ld_rand_unit(r);
		k++;
	}
	return k;
}

/** load_run() - offer load for @ms */
static inline void
load_run(struct load *l, uint64_t ms)
{
	uint64_t until = l->fleet->now_ms + ms;

	while (l->fleet->now_ms < until) {
		if (l->policy == NULL)
			fleet_step(l->fleet);
		else
			l->policy->step(l);
		for (unsigned int i = 0; i < l->n; i++) {
			struct load_owner *o = &l->owners[i];
			unsigned int k = load_poisson(&l->rand,
			    o->offered_per_s * l->factor * FLEET_STEP_MS /
				1000.0);

			while (k-- > 0)
				load_one(l, i);
			o->slot_ms += l->fleet->in_use[i] * FLEET_STEP_MS;
		}
	}
}

/** load_worst() - most requests in a window of @ms that ends in [@from, @to) */
static inline uint64_t
load_worst(const uint64_t *bins, size_t from, size_t to, uint64_t ms)
{
	size_t w = ms / LOAD_BIN_MS;
	size_t begin = from > w ? from - w : 0;
	uint64_t sum = 0, worst = 0;

	for (size_t i = begin; i < to; i++) {
		sum += bins[i];
		if (i >= begin + w)
			sum -= bins[i - w];
		if (sum > worst)
			worst = sum;
	}
	return worst;
}

static inline uint64_t
load_sum(const uint64_t *bins, size_t from, size_t to)
{
	uint64_t sum = 0;

	for (size_t i = from; i < to; i++)
		sum += bins[i];
	return sum;
}

/**
 * load_bound() - the most requests that the design admits in @ms
 *
 * The limit over the window, half a second of it in the buckets of nodes,
 * half a second in that of the home, and one unit for each node that may
 * hold a rate of its own and for the home.
 */
static inline double
load_bound(const struct load_owner *o, unsigned int nodes, uint64_t ms)
{
	double rate = (double)o->entry.requests_per_s;
	double holders = 1.25 * rate < nodes ? 1.25 * rate : nodes;

	return rate * ((double)ms / 1000.0 + 1.0) + holders + 1.0;
}

#endif
