/*
 * Promised capacity: half of the replicas are lost while late and unpaid
 * callers offer five times the capacity. Baseline: first come first served
 * over all capacity, known to every node at once.
 */
#include "policy_load.h"

#define SEED 20261204
#define NODES 8
#define REPLICAS 16
#define SLOTS_PER_REPLICA UINT64_C(16)
#define CAPACITY (REPLICAS * SLOTS_PER_REPLICA)
#define NOTICE_MS 300 /* until routing removes the lost replicas */
#define STREAM_MS 4000.0
#define PAID 4
#define OTHERS 4
#define PROMISED 24
#define PAID_PART 0.8 /* of the promise that paid callers use */
#define ASKED_TIMES 5.0 /* load offered by the others, in capacities */

/** struct result - measured from 1 s after the loss on */
struct result {
	double paid_kept; /* of the requests within the promise */
	double paid_refused_1s; /* in the first second */
	double used; /* of the capacity left */
	uint64_t over_ms; /* longest time with more streams than slots */
	uint64_t blank; /* refusals without a retry time */
	uint64_t cancelled;
};

static uint64_t capacity_now;

static uint64_t
running(const struct load *l)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < l->n; i++)
		sum += l->fleet->in_use[i];
	return sum;
}

static void
add_owners(struct load *l)
{
	double paid = PROMISED * PAID_PART / (STREAM_MS / 1000.0);
	double others =
	    (double)CAPACITY * ASKED_TIMES / (STREAM_MS / 1000.0) / OTHERS;

	for (unsigned int i = 0; i < PAID; i++)
		load_add(l, LD_ADMIT_PAID, 1000, 2L * PROMISED, PROMISED, paid,
		    STREAM_MS);
	for (unsigned int i = 0; i < OTHERS; i++)
		load_add(l, i % 2 == 0 ? LD_ADMIT_LATE : LD_ADMIT_UNPAID, 1000,
		    CAPACITY, 0, others, STREAM_MS);
}

/* Every second stream ran on a lost replica and breaks. */
static void
break_streams(struct load *l)
{
	struct fleet *f = l->fleet;
	unsigned int n = 0;

	for (unsigned int i = 0; i < f->n; i++) {
		for (size_t t = 0; t < FLEET_TICKETS; t++) {
			uint64_t *slot = &f->nodes[i].running[t];

			if (*slot == 0 || n++ % 2 != 0)
				continue;
			f->in_use[*slot - 1]--;
			if (l->policy == NULL)
				ld_admit_done(f->nodes[i].admit, f->now_ms,
				    l->tickets[i][t]);
			*slot = 0;
		}
	}
}

static void
reset(struct load *l)
{
	for (unsigned int i = 0; i < l->n; i++) {
		l->owners[i].within = 0;
		l->owners[i].within_refused = 0;
		l->owners[i].slot_ms = 0;
	}
}

static double
kept(const struct load *l)
{
	uint64_t within = 0, refused = 0;

	for (unsigned int i = 0; i < PAID; i++) {
		within += l->owners[i].within;
		refused += l->owners[i].within_refused;
	}
	return within > 0 ? 1.0 - (double)refused / (double)within : 1.0;
}

static void
measure(struct load *l, uint64_t ms, struct result *r)
{
	uint64_t until = l->fleet->now_ms + ms, over = 0, sum = 0;

	reset(l);
	while (l->fleet->now_ms < until) {
		load_run(l, FLEET_STEP_MS);
		over = running(l) > capacity_now ? over + FLEET_STEP_MS : 0;
		if (over > r->over_ms)
			r->over_ms = over;
		sum += running(l) * FLEET_STEP_MS;
	}
	r->paid_kept = kept(l);
	r->used = (double)sum / (double)ms / (double)capacity_now;
}

static void
lose_half(struct load *l)
{
	break_streams(l);
	load_run(l, NOTICE_MS);
	capacity_now = CAPACITY / 2;
	if (l->policy == NULL)
		fleet_capacity(l->fleet, capacity_now);
}

static void
print_result(const char *name, const char *phase, const struct result *r)
{
	printf("%-8s %-8s %8.2f%% %8.2f%% %8.1f%% %7llu %7llu %7llu\n", name,
	    phase, r->paid_kept * 100.0, r->paid_refused_1s * 100.0,
	    r->used * 100.0, (unsigned long long)r->over_ms,
	    (unsigned long long)r->cancelled, (unsigned long long)r->blank);
	printf(
	    "{\"bench\":\"policy_promise\",\"policy\":\"%s\",\"phase\":\"%s\","
	    "\"paid_kept\":%.4f,\"refused_first_s\":%.4f,\"used\":%.4f,"
	    "\"over_ms\":%llu,\"cancelled\":%llu,\"refused_blank\":%llu}\n",
	    name, phase, r->paid_kept, r->paid_refused_1s, r->used,
	    (unsigned long long)r->over_ms, (unsigned long long)r->cancelled,
	    (unsigned long long)r->blank);
}

static void
totals(const struct load *l, struct result *r)
{
	r->blank = 0;
	r->cancelled = 0;
	for (unsigned int i = 0; i < l->n; i++) {
		r->blank += l->owners[i].refused_blank;
		r->cancelled += l->owners[i].cancelled;
	}
}

static void
nothing_ended(struct fleet *f, unsigned int node, unsigned int owner)
{
}

static void
run(const struct load_policy *policy)
{
	struct ld_admit_entry entries[LOAD_OWNERS_MAX];
	const char *name = policy != NULL ? policy->name : "pooled";
	struct load *l = ld_alloc(sizeof(*l));
	struct result r = {.over_ms = 0};
	struct fleet f;

	capacity_now = CAPACITY;
	fleet_init(&f, NODES, LOAD_OWNERS_MAX, SEED);
	load_init(l, &f, SEED);
	l->policy = policy;
	if (policy != NULL)
		f.ended = nothing_ended;
	add_owners(l);
	load_skew(l, 1.0);
	for (unsigned int i = 0; i < l->n; i++)
		entries[i] = l->owners[i].entry;
	fleet_capacity(&f, CAPACITY);
	fleet_catalogue(&f, entries, l->n);
	load_run(l, 20000);
	measure(l, 20000, &r);
	totals(l, &r);
	print_result(name, "before", &r);
	r.over_ms = 0;
	reset(l);
	lose_half(l);
	load_run(l, 1000 - NOTICE_MS);
	r.paid_refused_1s = 1.0 - kept(l);
	measure(l, 20000, &r);
	totals(l, &r);
	print_result(name, "after", &r);
	load_fini(l);
	free(l);
	fleet_fini(&f);
}

/* ---- Baseline ---- */

static bool
first_come(struct load *l, unsigned int node, unsigned int owner)
{
	struct load_owner *o = &l->owners[owner];
	bool within = l->fleet->in_use[owner] < o->entry.promised;

	o->within += within;
	if (running(l) < capacity_now)
		return true;
	o->within_refused += within;
	return false;
}

static void
first_come_step(struct load *l)
{
	struct fleet *f = l->fleet;

	f->now_ms += FLEET_STEP_MS;
	while (f->count > 0 && f->heap[0].at_ms <= f->now_ms)
		fleet_event(f, fleet_pop(f));
}

int
main(void)
{
	static const struct load_policy fcfs = {
	    "fcfs", first_come, first_come_step};

	if (ld_common_init() != LD_OK)
		return 2;
	printf(
	    "seed %d, %d nodes, %d slots, half lost, others ask %.0f times\n",
	    SEED, NODES, (int)CAPACITY, ASKED_TIMES);
	printf("%-8s %-8s %9s %9s %9s %7s %7s %7s\n", "policy", "phase", "kept",
	    "1st s", "used", "over ms", "cancel", "blank");
	run(NULL);
	run(&fcfs);
	return 0;
}
