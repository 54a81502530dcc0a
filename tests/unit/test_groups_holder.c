/* A change of the lease holder: the state that a successor adopts, fences,
 * epochs. */
#include "groups_internal.h"
#include "groups_world.h"

/*
 * Found by randomized testing (kone-reititin, seed hunt-2e3c-11): after an
 * outage in which entries expired, a new lease holder saw them return one by
 * one, and ordered members of a group whose open head it had not seen yet to
 * join other groups.
 */
static void
test_entries_come_back_one_by_one(void)
{
	struct ld_membership kept[SERVERS];
	struct world w;

	world_open(&w);
	ld_groups_lead(w.g, 3, w.now);
	run(&w, true, 6000);
	ld_groups_yield(w.g);
	for (int i = 0; i < SERVERS; i++) {
		kept[i] = server(&w, i)->entry.member;
		kept[i].group = kept[i].group ? ld_strdup(kept[i].group) : NULL;
		kept[i].model = kept[i].model ? ld_strdup(kept[i].model) : NULL;
		unlist(&w, i);
	}
	ld_groups_lead(w.g, 50, w.now);
	for (int i = SERVERS - 1; i >= 0; i--) {
		const struct ld_membership *m = &kept[i];

		put(&w, i, m->state, m->group, m->epoch, m->rank, m->model);
		free(m->group);
		free(m->model);
		run(&w, false, 150);
	}
	run(&w, true, 2000);
	CU_ASSERT_EQUAL(w.unsafe_joins, 0);
	CU_ASSERT_EQUAL(w.opens, 2);
	CU_ASSERT_EQUAL(w.leaves, 0);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	world_close(&w);
}

/*
 * Seen on scale-2 of hs-quayplan: a successor had no record of the model of a
 * group whose members were still loading, closed the group and restarted the
 * loads.
 */
static void
test_successor_adopts_a_loading_group(void)
{
	struct world w;
	unsigned int joins;

	world_open(&w);
	for (int i = 0; i < 3; i++)
		put(&w, i, LD_MEMBER_JOINING, "m1/7000001", 7000001,
		    (uint32_t)i, NULL);
	ld_groups_lead(w.g, 9, w.now);
	run(&w, true, 2000);
	joins = w.joins;
	for (int i = 0; i < 3; i++)
		put(&w, i, LD_MEMBER_READY, "m1/7000001", 7000001, (uint32_t)i,
		    "m1");
	run(&w, true, 2000);
	CU_ASSERT_EQUAL(count_open(&w, SMALL), 1);
	/* One join of the same group for each, which loads nothing. */
	CU_ASSERT_EQUAL(w.joins, joins + 3);
	CU_ASSERT_EQUAL(server(&w, 0)->entry.member.state, LD_MEMBER_OPEN);
	world_close(&w);
}

/*
 * Seen on hs-quayplan-grown, trouble-3: a new lease holder adopted a group
 * whose members were ready and ordered its head to open; it had no other state
 * of the members yet, treated them as free, and ordered them to join other
 * groups (fault TWO: a server in two groups).
 */
static void
test_successor_leaves_an_opening_group_alone(void)
{
	struct world w;

	world_open(&w);
	/* The servers that the control loop considers first. */
	for (int i = 0; i < 3; i++)
		put(&w, SERVERS - 1 - i, LD_MEMBER_READY, "m1/7000001", 7000001,
		    (uint32_t)i, "m1");
	w.slow_open = true;
	w.now += 6000; /* long after the first start */
	ld_groups_lead(w.g, 9, w.now);
	run(&w, true, 3000);
	CU_ASSERT(w.opens >= 1);
	CU_ASSERT(w.joins > 0); /* of the other servers */
	CU_ASSERT_EQUAL(w.unsafe_joins, 0);
	for (int i = 0; i < 3; i++)
		CU_ASSERT_STRING_EQUAL(
		    server(&w, SERVERS - 1 - i)->entry.member.group,
		    "m1/7000001");
	world_close(&w);
}

/* A former holder's groups are not in a copy of the store that is older than
 * the lease: its servers look free. */
static void
test_successor_with_an_older_copy_waits(void)
{
	struct ld_order o;
	struct world w;

	world_open(&w);
	w.now += 6000;
	ld_groups_lead(w.g, 9, w.now);
	for (int i = 0; i < 100; i++, w.now += STEP_MS) {
		ld_groups_tick(
		    w.g, w.t, LD_STR("llm"), &w.spec, true, 8, w.now);
		CU_ASSERT(!ld_groups_next_order(w.g, &o));
		CU_ASSERT(!ld_groups_adopted(w.g));
	}
	ld_groups_tick(w.g, w.t, LD_STR("llm"), &w.spec, true, 9, w.now);
	CU_ASSERT(ld_groups_adopted(w.g));
	w.now += STEP_MS;
	ld_groups_tick(w.g, w.t, LD_STR("llm"), &w.spec, true, 9, w.now);
	CU_ASSERT(ld_groups_next_order(w.g, &o));
	world_close(&w);
}

/*
 * All nodes lose power while some of the servers are cut off from the store
 * (hs-quayplan-grown trouble-1: 57 of 216; the restarted nodes closed 30
 * groups). The group's record names the member that has no entry.
 */
static void
test_successor_learns_of_a_cut_off_member(void)
{
	static const char group[] = "m1/7000001";
	struct ld_membership m = {
	    (char *)group, (char *)SMALL, 7000001, LD_MEMBER_READY, 2};
	char id[16];
	struct world w;

	world_open(&w);
	put(&w, 0, LD_MEMBER_OPEN, group, 7000001, 0, SMALL);
	put(&w, 1, LD_MEMBER_READY, group, 7000001, 1, SMALL);
	id_of(SERVERS, id);
	ld_servers_add_unlisted(w.t, id, "10.0.0.1:80", "llm", &m, w.now);
	w.now += 6000;
	ld_groups_lead(w.g, 9, w.now);
	run(&w, true, 3000);
	CU_ASSERT_EQUAL(w.leaves, 0);
	CU_ASSERT_STRING_EQUAL(server(&w, 0)->entry.member.group, group);
	CU_ASSERT(ld_servers_group_complete(w.t, server(&w, 0), 3));
	/* Once the member stops answering, its group ends like any other. */
	w.dead[SERVERS] = true;
	run(&w, true, 3000);
	CU_ASSERT_EQUAL(w.leaves, 1);
	CU_ASSERT_EQUAL(w.unsafe_joins, 0);
	world_close(&w);
}

/* Probes that failed under an earlier lease close no group under the next. */
static void
test_failed_probes_of_an_earlier_lease(void)
{
	struct ld_probe p = {.server = "s00"};
	struct world w;

	world_open(&w);
	ld_groups_lead(w.g, 3, w.now);
	run(&w, true, 6000);
	for (int i = 0; i < 2; i++)
		ld_groups_on_probe_result(w.g, &p, NULL, w.now);
	ld_groups_yield(w.g);
	ld_groups_lead(w.g, 9, w.now);
	run(&w, true, 3000);
	CU_ASSERT_EQUAL(w.leaves, 0);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	world_close(&w);
}

/* No server of an evacuated failure domain gets an order or a probe, and its
 * groups are formed again only afterwards. */
static void
test_evacuated_domain_gets_no_orders(void)
{
	struct world w;
	unsigned int joins;
	struct ld_probe p;

	world_open(&w);
	ld_groups_lead(w.g, 3, w.now);
	run(&w, true, 6000);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	joins = w.joins;
	CU_ASSERT(ld_servers_set_evacuated(w.t, LD_STR("z1"), true));
	CU_ASSERT(!ld_servers_set_evacuated(w.t, LD_STR("z1"), true));
	for (int i = 0; i < SERVERS; i++) {
		w.dead[i] = true;
		unlist(&w, i);
	}
	for (uint64_t ms = 0; ms < 4000; ms += STEP_MS) {
		struct ld_order o;

		w.now += STEP_MS;
		ld_groups_tick(
		    w.g, w.t, LD_STR("llm"), &w.spec, true, INT64_MAX, w.now);
		CU_ASSERT(!ld_groups_next_order(w.g, &o));
		CU_ASSERT(!ld_groups_next_probe(w.g, &p));
	}
	for (int i = 0; i < SERVERS; i++) {
		w.dead[i] = false;
		put(&w, i, LD_MEMBER_NONE, NULL, 0, 0, NULL);
	}
	CU_ASSERT(server(&w, 0)->evacuated);
	CU_ASSERT(ld_servers_set_evacuated(w.t, LD_STR("z1"), false));
	run(&w, true, 30000);
	CU_ASSERT(w.joins > joins);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	CU_ASSERT_EQUAL(w.unsafe_joins, 0);
	world_close(&w);
}

/* An order refused for its fence makes this node release the lease. */
static void
test_fenced(void)
{
	struct world w;
	struct ld_order o;

	world_open(&w);
	ld_groups_lead(w.g, 3, w.now);
	w.now += 5000;
	ld_groups_tick(
	    w.g, w.t, LD_STR("llm"), &w.spec, true, INT64_MAX, w.now);
	ld_groups_tick(
	    w.g, w.t, LD_STR("llm"), &w.spec, true, INT64_MAX, w.now + 50);
	CU_ASSERT_FATAL(ld_groups_next_order(w.g, &o));
	CU_ASSERT(!ld_groups_on_order_result(w.g, &o, LD_ORDER_FENCED, w.now));
	ld_groups_yield(w.g);
	CU_ASSERT(!ld_groups_leading(w.g));
	/* A result from an earlier lease does not affect the present one. */
	ld_groups_lead(w.g, 4, w.now);
	CU_ASSERT(ld_groups_on_order_result(w.g, &o, LD_ORDER_FENCED, w.now));
	world_close(&w);
}

/* An order that a later one of the same lease has overtaken is refused by its
 * token: no other node holds the lease. */
static void
test_overtaken_order_keeps_the_lease(void)
{
	struct ld_order first, second = {0};
	struct world w;

	world_open(&w);
	w.now += 6000;
	ld_groups_lead(w.g, 3, w.now);
	ld_groups_tick(w.g, w.t, LD_STR("llm"), &w.spec, true, 3, w.now + 700);
	ld_groups_tick(w.g, w.t, LD_STR("llm"), &w.spec, true, 3, w.now + 750);
	do {
		CU_ASSERT_FATAL(ld_groups_next_order(w.g, &first));
	} while (first.type != LD_ORDER_JOIN);
	CU_ASSERT_EQUAL(first.token, 3);
	while (ld_groups_next_order(w.g, &second))
		;
	ld_groups_tick(w.g, w.t, LD_STR("llm"), &w.spec, true, 8, w.now + 1500);
	CU_ASSERT_FATAL(ld_groups_next_order(w.g, &second));
	while (strcmp(second.server, first.server) != 0) {
		CU_ASSERT_FATAL(ld_groups_next_order(w.g, &second));
	}
	CU_ASSERT_EQUAL(second.token, 8);
	CU_ASSERT(ld_groups_on_order_result(
	    w.g, &first, LD_ORDER_FENCED, w.now + 1500));
	CU_ASSERT(!ld_groups_on_order_result(
	    w.g, &second, LD_ORDER_FENCED, w.now + 1500));
	world_close(&w);
}

/* The epochs of the highest possible fence stay below those of the next fence,
 * and none is issued once they are used up. */
static void
test_epochs_of_a_fence(void)
{
	const int64_t fence = ((int64_t)1 << 47) - 2;
	struct world w;
	int64_t first;

	world_open(&w);
	ld_groups_lead(w.g, fence, w.now);
	run(&w, true, 6000);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	first = server(&w, member_of(&w, LARGE, 0))->entry.member.epoch;
	CU_ASSERT(first > fence && !ld_groups_epochs_exhausted(w.g));
	/* Two epochs are left, and losses continue. */
	w.g->last_epoch = fence * EPOCHS_PER_FENCE + EPOCHS_PER_FENCE - 3;
	for (int i = 0; i < 4; i++) {
		int lost = member_of(&w, LARGE, 1);

		if (lost < 0)
			break;
		raise_alarm(&w, lost);
		w.dead[lost] = true;
		run(&w, true, 3000);
		put(&w, lost, LD_MEMBER_NONE, NULL, 0, 0, NULL);
		w.dead[lost] = false;
		run(&w, true, 3000);
	}
	CU_ASSERT(ld_groups_epochs_exhausted(w.g));
	for (int i = 0; i < SERVERS; i++)
		CU_ASSERT(
		    server(&w, i)->entry.member.epoch / EPOCHS_PER_FENCE <=
		    fence);
	ld_groups_yield(w.g);
	ld_groups_lead(w.g, fence + 1, w.now);
	CU_ASSERT(!ld_groups_epochs_exhausted(w.g));
	world_close(&w);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"entries come back one by one", test_entries_come_back_one_by_one},
	    {"a successor adopts a loading group",
		test_successor_adopts_a_loading_group},
	    {"a successor leaves an opening group alone",
		test_successor_leaves_an_opening_group_alone},
	    {"a successor with an older copy waits",
		test_successor_with_an_older_copy_waits},
	    {"a successor learns of a cut off member",
		test_successor_learns_of_a_cut_off_member},
	    {"an evacuated domain gets no orders",
		test_evacuated_domain_gets_no_orders},
	    {"failed probes of an earlier lease",
		test_failed_probes_of_an_earlier_lease},
	    {"fenced", test_fenced},
	    {"an overtaken order keeps the lease",
		test_overtaken_order_keeps_the_lease},
	    {"epochs of a fence", test_epochs_of_a_fence},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("groups_holder", cases);
}
