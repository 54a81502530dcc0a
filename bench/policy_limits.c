/*
 * Limits over many nodes: worst excess in any 1 s and 10 s, and the usable
 * part of the limit, during a kill, a freeze, a partition and with messages
 * delayed and lost. Baselines: even split, gossiped usage.
 */
#include "policy_load.h"

#define SEED 20261203
#define SKEW 10.0
#define CAPACITY 100000 /* large enough not to limit admission */

/** struct phase - one part of the scenario, by name and duration */
struct phase {
	const char *name;
	uint64_t ms;
	double offered; /* part of the limits */
};

static const struct phase phases[] = {
    {"warm", 25000, 0.2},
    {"light", 15000, 0.2},
    {"normal", 15000, 0.7},
    {"steady", 20000, 1.5},
    {"kill", 20000, 1.5},
    {"freeze", 10000, 1.5},
    {"resume", 10000, 1.5},
    {"partition", 20000, 1.5},
    {"heal", 20000, 1.5},
};
#define PHASES (sizeof(phases) / sizeof(phases[0]))

static void
begin_phase(struct fleet *f, size_t phase)
{
	switch (phase) {
	case 4:
		fleet_kill(f, f->n / 3);
		break;
	case 5:
		fleet_freeze(f, 0);
		break;
	case 6:
		fleet_resume(f, 0);
		break;
	case 7:
		fleet_split(f, 1);
		break;
	case 8:
		f->split_ms = 0;
		break;
	default:
		break;
	}
}

/* Half of the callers reach their rate limit first, half their streams. */
static void
add_owners(struct load *l, unsigned int nodes)
{
	uint64_t scale = nodes > 100 ? 10 : 1;

	for (unsigned int i = 0; i < 10; i++) {
		uint64_t rate = (i < 2 ? 40 : 8) * scale;
		uint64_t slots = (i < 4 ? 48 : 12) * scale;
		enum ld_admit_class class =
		    i < 4 ? LD_ADMIT_PAID : LD_ADMIT_LATE;

		if (i % 2 == 0)
			load_add(l, class, rate, rate * 10,
			    i < 4 ? rate / 2 : 0, (double)rate, 1000.0);
		else
			load_add(l, class, slots * 4, slots,
			    i < 4 ? slots / 2 : 0, (double)slots / 2.0, 2000.0);
	}
}

/* ---- Baselines ---- */

/** struct cell - one caller at one node */
struct cell {
	double level;
	uint64_t filled_ms;
	uint64_t running;
	uint64_t recent[10]; /* admitted by tenths of the last second */
	uint64_t tenth;
	uint64_t told_rate, told_running; /* last published values */
};

static struct cell *
cell_of(struct load *l, unsigned int node, unsigned int owner)
{
	struct cell *cells = l->state;

	return &cells[node * l->n + owner];
}

static void
baseline_ended(struct fleet *f, unsigned int node, unsigned int owner)
{
	struct load *l = f->user;

	cell_of(l, node, owner)->running--;
}

static void
baseline_step(struct load *l)
{
	struct fleet *f = l->fleet;

	f->now_ms += FLEET_STEP_MS;
	while (f->count > 0 && f->heap[0].at_ms <= f->now_ms)
		fleet_event(f, fleet_pop(f));
}

static bool
even_admit(struct load *l, unsigned int node, unsigned int owner)
{
	const struct ld_admit_entry *e = &l->owners[owner].entry;
	struct cell *c = cell_of(l, node, owner);
	uint64_t n = l->fleet->n, now = l->fleet->now_ms;
	double rate = (double)e->requests_per_s / (double)n;
	double depth = fmax(rate / 2.0, 1.0);

	c->level = fmin(
	    depth, c->level + rate * (double)(now - c->filled_ms) / 1000.0);
	c->filled_ms = now;
	if (c->level < 1.0 ||
	    c->running >= e->concurrent / n + (node < e->concurrent % n))
		return false;
	c->level -= 1.0;
	c->running++;
	return true;
}

/* Usage is published every second and reaches all nodes of its side at once. */
#define GOSSIP_MS 1000

/** struct told - usage of one caller published by the nodes of one side */
struct told {
	uint64_t rate, running;
};

static struct told gossip_told[2][LOAD_OWNERS_MAX];

static uint64_t
recent_sum(struct cell *c, uint64_t now_ms)
{
	uint64_t sum = 0, tenth = now_ms / LOAD_BIN_MS;

	if (tenth - c->tenth >= 10)
		memset(c->recent, 0, sizeof(c->recent));
	else
		for (uint64_t t = c->tenth + 1; t <= tenth; t++)
			c->recent[t % 10] = 0;
	c->tenth = tenth;
	for (int i = 0; i < 10; i++)
		sum += c->recent[i];
	return sum;
}

static unsigned int
side_of(const struct load *l, unsigned int node)
{
	return l->fleet->split_ms != 0 && l->fleet->nodes[node].side;
}

static void
gossip_round(struct load *l)
{
	memset(gossip_told, 0, sizeof(gossip_told));
	for (unsigned int i = 0; i < l->fleet->n; i++) {
		if (!l->fleet->nodes[i].alive)
			continue;
		for (unsigned int o = 0; o < l->n; o++) {
			struct cell *c = cell_of(l, i, o);
			struct told *t = &gossip_told[side_of(l, i)][o];

			if (!l->fleet->nodes[i].frozen) {
				c->told_rate = recent_sum(c, l->fleet->now_ms);
				c->told_running = c->running;
			}
			t->rate += c->told_rate;
			t->running += c->told_running;
		}
	}
}

static void
gossip_step(struct load *l)
{
	baseline_step(l);
	if (l->fleet->now_ms % GOSSIP_MS == 0)
		gossip_round(l);
}

static bool
gossip_admit(struct load *l, unsigned int node, unsigned int owner)
{
	const struct ld_admit_entry *e = &l->owners[owner].entry;
	const struct told *t = &gossip_told[side_of(l, node)][owner];
	struct cell *c = cell_of(l, node, owner);
	uint64_t now = l->fleet->now_ms;
	uint64_t rate = recent_sum(c, now);
	uint64_t running = c->running;

	if (t->rate > c->told_rate)
		rate += t->rate - c->told_rate;
	if (t->running > c->told_running)
		running += t->running - c->told_running;
	if (rate >= e->requests_per_s || running >= e->concurrent)
		return false;
	c->recent[now / LOAD_BIN_MS % 10]++;
	c->running++;
	return true;
}

static const struct load_policy even = {"even", even_admit, baseline_step};
static const struct load_policy gossip = {"gossip", gossip_admit, gossip_step};

/* ---- Figures ---- */

/** struct figures - of one phase, each for the worst caller */
struct figures {
	double worst_1s, bound_1s; /* parts of the limit */
	double worst_10s, bound_10s;
	double share; /* of the limit that nodes in service own */
	double usable; /* of what was offered within the limits */
	double slots_usable;
	uint64_t slots_over;
};

static void
print_row(const struct load *l, const char *phase, const struct figures *x)
{
	const char *name = l->policy != NULL ? l->policy->name : "pooled";

	printf("%-7s %4u %-10s %7.2f %7.2f %7.2f %7.2f %6.1f%% %6.1f%% %6.1f%% "
	       "%4llu\n",
	    name, l->fleet->n, phase, x->worst_1s, x->bound_1s, x->worst_10s,
	    x->bound_10s, x->share * 100.0, x->usable * 100.0,
	    x->slots_usable * 100.0, (unsigned long long)x->slots_over);
	printf("{\"bench\":\"policy_limits\",\"policy\":\"%s\",\"nodes\":%u,"
	       "\"phase\":\"%s\",\"worst_1s\":%.3f,\"bound_1s\":%.3f,"
	       "\"worst_10s\":%.3f,\"bound_10s\":%.3f,\"share\":%.4f,"
	       "\"usable\":%.4f,"
	       "\"slots_usable\":%.4f,\"slots_over\":%llu}\n",
	    name, l->fleet->n, phase, x->worst_1s, x->bound_1s, x->worst_10s,
	    x->bound_10s, x->share, x->usable, x->slots_usable,
	    (unsigned long long)x->slots_over);
}

static void
add_rate_owner(const struct load *l, const struct load_owner *o, size_t from,
    size_t to, struct figures *x, double *got, double *could)
{
	double limit = (double)o->entry.requests_per_s;
	double seconds = (double)(to - from) * LOAD_BIN_MS / 1000.0;
	double w1 = (double)load_worst(o->admitted, from, to, 1000) / limit;
	double w10 =
	    (double)load_worst(o->admitted, from, to, 10000) / limit / 10.0;

	if (w1 > x->worst_1s) {
		x->worst_1s = w1;
		x->bound_1s = load_bound(o, l->fleet->n, 1000) / limit;
	}
	if (w10 > x->worst_10s) {
		x->worst_10s = w10;
		x->bound_10s = load_bound(o, l->fleet->n, 10000) / limit / 10.0;
	}
	*got += (double)load_sum(o->admitted, from, to);
	*could += fmin((double)load_sum(o->offered, from, to), limit * seconds);
}

static void
summarise(struct load *l, const char *phase, size_t from)
{
	struct figures x = {.usable = 0.0};
	size_t to = load_bin(l);
	double got = 0, could = 0, slots = 0, slots_could = 0;

	for (unsigned int i = 0; i < l->n; i++) {
		const struct load_owner *o = &l->owners[i];

		if (o->worst_over > x.slots_over)
			x.slots_over = o->worst_over;
		if (i % 2 == 0) {
			add_rate_owner(l, o, from, to, &x, &got, &could);
			continue;
		}
		slots += (double)o->slot_ms;
		slots_could += fmin(1.0, l->factor) *
		    (double)o->entry.concurrent * (double)(to - from) *
		    LOAD_BIN_MS;
	}
	for (unsigned int i = 0; i < l->fleet->n; i++)
		x.share += l->fleet->nodes[i].silent_ms == 0;
	x.share /= l->fleet->n;
	x.usable = got / could;
	x.slots_usable = slots / slots_could;
	print_row(l, phase, &x);
}

static void
print_traffic(const struct load *l, const struct phase *phase)
{
	double s = (double)phase->ms / 1000.0;
	const struct fleet *f = l->fleet;
	uint64_t sum = 0, most = 0;

	for (unsigned int i = 0; i < f->n; i++) {
		sum += f->node_bytes[i];
		most = f->node_bytes[i] > most ? f->node_bytes[i] : most;
	}
	printf("{\"bench\":\"policy_limits\",\"nodes\":%u,\"phase\":\"%s\","
	       "\"owners\":%u,\"requests_s\":%.0f,\"bytes_s_mean\":%.0f,"
	       "\"bytes_s_busiest\":%.0f,\"waited\":%.4f,"
	       "\"longest_wait_ms\":%llu}\n",
	    f->n, phase->name, l->n, (double)l->offered / s,
	    (double)sum / s / f->n, (double)most / s,
	    (double)l->waits / (double)l->offered,
	    (unsigned long long)l->longest_wait_ms);
}

static void
run_phase(struct load *l, size_t p)
{
	size_t from = load_bin(l);

	begin_phase(l->fleet, p);
	for (unsigned int i = 0; i < l->n; i++) {
		l->owners[i].slot_ms = 0;
		l->owners[i].worst_over = 0;
	}
	l->factor = phases[p].offered;
	l->offered = 0;
	l->waits = 0;
	memset(l->fleet->node_bytes, 0, l->fleet->n * sizeof(uint64_t));
	load_run(l, phases[p].ms);
	summarise(l, phases[p].name, from);
	if (l->policy == NULL)
		print_traffic(l, &phases[p]);
}

static void
run(unsigned int nodes, const struct load_policy *policy)
{
	struct ld_admit_entry entries[LOAD_OWNERS_MAX];
	struct fleet f;
	struct load *l = ld_alloc(sizeof(*l));

	fleet_init(&f, nodes, LOAD_OWNERS_MAX, SEED);
	load_init(l, &f, SEED);
	add_owners(l, nodes);
	load_skew(l, SKEW);
	for (unsigned int i = 0; i < l->n; i++)
		entries[i] = l->owners[i].entry;
	if (policy != NULL) {
		l->policy = policy;
		l->state = ld_alloc((size_t)nodes * l->n * sizeof(struct cell));
		f.ended = baseline_ended;
	} else {
		fleet_capacity(&f, CAPACITY);
		fleet_catalogue(&f, entries, l->n);
	}
	for (size_t p = 0; p < PHASES; p++)
		run_phase(l, p);
	free(l->state);
	load_fini(l);
	free(l);
	fleet_fini(&f);
}

int
main(int argc, char **argv)
{
	unsigned int sizes[] = {8, 390};

	if (ld_common_init() != LD_OK)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("seed %d, skew %.0f to 1, %d %% of the messages lost\n", SEED,
	    SKEW, FLEET_LOSS_PERCENT);
	printf("%-7s %4s %-10s %7s %7s %7s %7s %7s %7s %7s %4s\n", "policy",
	    "node", "phase", "1s", "bound", "10s", "bound", "share", "usable",
	    "slots", "over");
	/* A single size, for trials. */
	if (argc > 1)
		sizes[1] = sizes[0] = (unsigned int)strtoul(argv[1], NULL, 10);
	for (int i = 0; i < (argc > 1 ? 1 : 2); i++) {
		run(sizes[i], NULL);
		run(sizes[i], &even);
		run(sizes[i], &gossip);
	}
	return 0;
}
