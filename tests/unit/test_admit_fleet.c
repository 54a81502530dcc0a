/* Admission limits across many nodes under faults; shorter than the bench. */
#include "ld_test.h"
#include "policy_load.h"

#define SEED 71
#define NODES 8
#define CAPACITY 100000

/** struct world - a fleet under load */
struct world {
	struct fleet fleet;
	struct load *load;
};

static void
world_init(struct world *w, uint64_t capacity)
{
	fleet_init(&w->fleet, NODES, LOAD_OWNERS_MAX, SEED);
	w->load = ld_alloc(sizeof(*w->load));
	load_init(w->load, &w->fleet, SEED);
	fleet_capacity(&w->fleet, capacity);
}

static void
world_start(struct world *w, double skew)
{
	struct ld_admit_entry entries[LOAD_OWNERS_MAX];

	load_skew(w->load, skew);
	for (unsigned int i = 0; i < w->load->n; i++)
		entries[i] = w->load->owners[i].entry;
	fleet_catalogue(&w->fleet, entries, w->load->n);
}

static void
world_fini(struct world *w)
{
	load_fini(w->load);
	free(w->load);
	fleet_fini(&w->fleet);
}

/* Owners 0 and 2 are limited by rate, 1 and 3 by concurrent streams. */
static void
add_limited(struct load *l)
{
	load_add(l, LD_ADMIT_PAID, 40, 400, 20, 60.0, 1000.0);
	load_add(l, LD_ADMIT_PAID, 192, 48, 24, 36.0, 2000.0);
	load_add(l, LD_ADMIT_LATE, 8, 80, 0, 12.0, 1000.0);
	load_add(l, LD_ADMIT_LATE, 48, 12, 0, 9.0, 2000.0);
}

static void
check_bounds(const struct load *l)
{
	size_t to = load_bin(l);

	for (unsigned int i = 0; i < l->n; i++) {
		const struct load_owner *o = &l->owners[i];

		CU_ASSERT_TRUE((double)load_worst(o->admitted, 0, to, 1000) <=
		    load_bound(o, NODES, 1000));
		CU_ASSERT_TRUE((double)load_worst(o->admitted, 0, to, 10000) <=
		    load_bound(o, NODES, 10000));
		CU_ASSERT_EQUAL(o->worst_over, 0);
		CU_ASSERT_EQUAL(o->refused_blank, 0);
	}
}

static void
test_usable_at_a_skew(void)
{
	struct world w;
	double got = 0.0, limit = 0.0;
	size_t from;

	world_init(&w, CAPACITY);
	add_limited(w.load);
	world_start(&w, 10.0);
	load_run(w.load, 8000);
	from = load_bin(w.load);
	load_run(w.load, 12000);
	for (unsigned int i = 0; i < w.load->n; i += 2) {
		struct load_owner *o = &w.load->owners[i];

		got += (double)load_sum(o->admitted, from, load_bin(w.load));
		limit += (double)o->entry.requests_per_s * 12.0;
	}
	CU_ASSERT_TRUE(got >= 0.95 * limit);
	CU_ASSERT_TRUE(w.load->longest_wait_ms <=
	    LD_ADMIT_WAIT_MS + LD_ADMIT_TICK_MS + FLEET_STEP_MS);
	check_bounds(w.load);
	world_fini(&w);
}

static void
test_no_excess_through_faults(void)
{
	struct world w;

	world_init(&w, CAPACITY);
	add_limited(w.load);
	world_start(&w, 10.0);
	load_run(w.load, 6000);
	fleet_kill(&w.fleet, 2);
	load_run(w.load, 8000);
	fleet_freeze(&w.fleet, 0);
	load_run(w.load, 8000);
	fleet_resume(&w.fleet, 0);
	load_run(w.load, 6000);
	fleet_split(&w.fleet, 1);
	load_run(w.load, 12000);
	w.fleet.split_ms = 0;
	load_run(w.load, 8000);
	check_bounds(w.load);
	world_fini(&w);
}

/*
 * Each live node in turn is suspected by all others, so its homes move to
 * other nodes: loans are recalled, not left to run until they expire.
 */
static void
test_homes_hand_over(void)
{
	struct world w;
	const double limit = 40.0 * 5.0;
	double got, sum = 0.0;
	size_t from;

	world_init(&w, CAPACITY);
	add_limited(w.load);
	world_start(&w, 1.0);
	load_run(w.load, 6000);
	for (unsigned int i = 0; i < NODES; i++) {
		from = load_bin(w.load);
		w.fleet.suspected = i + 1;
		load_run(w.load, 5000);
		got = (double)load_sum(
		    w.load->owners[0].admitted, from, load_bin(w.load));
		CU_ASSERT_TRUE(got >= 0.55 * limit);
		sum += got;
	}
	CU_ASSERT_TRUE(sum >= 0.85 * NODES * limit);
	check_bounds(w.load);
	world_fini(&w);
}

static void
test_resumed_node_holds_nothing(void)
{
	struct world w;
	struct ld_admit_decision d;
	unsigned int busiest = 0;

	world_init(&w, CAPACITY);
	add_limited(w.load);
	world_start(&w, 1000.0);
	load_run(w.load, 6000);
	fleet_freeze(&w.fleet, busiest);
	load_run(w.load, 5000);
	/* The first request after the freeze arrives before any timer fires. */
	ld_admit_request(w.fleet.nodes[busiest].admit, w.fleet.now_ms,
	    w.load->owners[0].entry.owner, 1, &d);
	CU_ASSERT_NOT_EQUAL(d.verdict, LD_ADMIT_YES);
	world_fini(&w);
}

/* Ends every second stream, as if it had run on a lost replica. */
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
			ld_admit_done(
			    f->nodes[i].admit, f->now_ms, l->tickets[i][t]);
			*slot = 0;
		}
	}
}

#define PROMISE_CAPACITY 128

static void
test_promise_kept_at_half_capacity(void)
{
	struct world w;
	uint64_t within = 0, refused = 0, sum = 0;

	world_init(&w, PROMISE_CAPACITY);
	for (int i = 0; i < 2; i++)
		load_add(w.load, LD_ADMIT_PAID, 1000, 48, 24, 4.8, 4000.0);
	for (int i = 0; i < 2; i++)
		load_add(w.load, i == 0 ? LD_ADMIT_LATE : LD_ADMIT_UNPAID, 1000,
		    PROMISE_CAPACITY, 0, 80.0, 4000.0);
	world_start(&w, 1.0);
	load_run(w.load, 12000);
	break_streams(w.load);
	load_run(w.load, 300);
	fleet_capacity(&w.fleet, PROMISE_CAPACITY / 2);
	load_run(w.load, 700);
	for (int i = 0; i < 2; i++) {
		w.load->owners[i].within = 0;
		w.load->owners[i].within_refused = 0;
	}
	load_run(w.load, 12000);
	for (int i = 0; i < 2; i++) {
		within += w.load->owners[i].within;
		refused += w.load->owners[i].within_refused;
	}
	for (unsigned int i = 0; i < w.load->n; i++) {
		sum += w.fleet.in_use[i];
		CU_ASSERT_EQUAL(w.load->owners[i].refused_blank, 0);
	}
	CU_ASSERT_TRUE(within >= 50);
	CU_ASSERT_TRUE(refused * 100 <= within);
	CU_ASSERT_TRUE(sum <= PROMISE_CAPACITY / 2 + 4);
	world_fini(&w);
}

/* Recorded messages with bytes changed at random positions. */
#define MUTATIONS 100000

static void
mutate(struct ld_rand *r, struct ld_buf *b)
{
	size_t changes = 1 + ld_rand_below(r, 4);

	while (changes-- > 0 && b->len > 0)
		b->p[ld_rand_below(r, b->len)] = (char)ld_rand_u64(r);
	if (ld_rand_below(r, 4) == 0)
		b->len = ld_rand_below(r, b->len + 1);
}

static void
test_mutated_messages(void)
{
	struct ld_admit_config c = {.node = 1, .seed = SEED};
	struct ld_admit_member members[] = {
	    {1, LD_STR("z1"), true}, {2, LD_STR("z1"), true}};
	struct ld_admit_entry e = {
	    LD_STR("owner"), LD_ADMIT_PAID, 10, 1000, 8, 4};
	struct ld_admit_action act;
	struct ld_buf sent = {0}, b = {0};
	struct ld_admit_stats s;
	struct ld_rand r;
	struct ld_admit *a = ld_admit_new(&c, 0);

	ld_rand_seed(&r, SEED);
	ld_admit_members(a, 0, members, 2);
	ld_admit_capacity(a, 0, 16);
	ld_admit_catalogue(a, 0, &e, 1);
	for (uint64_t i = 0; i < MUTATIONS; i++) {
		ld_admit_tick(a, i);
		while (ld_admit_next(a, &act)) {
			if (act.type != LD_ADMIT_SEND)
				continue;
			sent.len = 0;
			ld_buf_adds(&sent, act.bytes);
		}
		b.len = 0;
		ld_buf_adds(&b, ld_buf_str(&sent));
		mutate(&r, &b);
		ld_admit_message(a, i, 2, ld_buf_str(&b));
	}
	ld_admit_get_stats(a, &s);
	CU_ASSERT_TRUE(s.messages_rejected > MUTATIONS / 10);
	ld_buf_free(&sent);
	ld_buf_free(&b);
	ld_admit_free(a);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"95 % usable at a skew of 10 to 1", test_usable_at_a_skew},
	    {"no excess through faults", test_no_excess_through_faults},
	    {"homes hand over", test_homes_hand_over},
	    {"a resumed node holds nothing", test_resumed_node_holds_nothing},
	    {"promises kept at half the capacity",
		test_promise_kept_at_half_capacity},
	    {"mutated messages", test_mutated_messages},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	printf("seed %d\n", SEED);
	return ld_test_main("admit_fleet", cases);
}
