/* Standby weights of the largest model on the hosts of a small group. */
#include "groups_world.h"

/* One group of the large model, two of the small one, two spares. */
#define ALL_SERVERS 14
#define LEAD_MS 8000

static void
open_large_world(struct world *w)
{
	world_open(w);
	for (int i = SERVERS; i < ALL_SERVERS; i++)
		put(w, i, LD_MEMBER_NONE, NULL, 0, 0, NULL);
	ld_groups_lead(w->g, 3, w->now);
	run(w, true, LEAD_MS);
	CU_ASSERT_EQUAL(count_open(w, LARGE), 1);
	CU_ASSERT_EQUAL(count_open(w, SMALL), 2);
}

/* Counts members of small groups whose hosts hold the large model's weights. */
static size_t
count_standby(struct world *w)
{
	size_t n = 0;

	for (int i = 0; i < ALL_SERVERS; i++) {
		struct ld_server *s = server(w, i);

		n += s->entry.member.group != NULL &&
		    strcmp(s->entry.member.model, SMALL) == 0 &&
		    strcmp(w->staged[i], LARGE) == 0;
	}
	return n;
}

static void
set_spares(struct world *w, const char *model)
{
	for (int i = 0; i < ALL_SERVERS; i++) {
		if (server(w, i)->entry.member.group != NULL)
			continue;
		snprintf(w->staged[i], sizeof(w->staged[i]), "%s", model);
		publish_staged(w, i);
	}
}

static void
lose_member(struct world *w, int i)
{
	w->dead[i] = true;
	raise_alarm(w, i);
	unlist(w, i);
}

static void
test_hosts_of_one_small_group_load(void)
{
	struct world w;

	open_large_world(&w);
	CU_ASSERT_EQUAL(count_standby(&w), 2);
	CU_ASSERT_EQUAL(count_open(&w, SMALL), 2);
	world_close(&w);
}

/*
 * Seen on kone-reititin-grown scale-1: only two to four of six large groups
 * served from second 16 to 30, the others waited up to 16 s each for a load,
 * and two in three of the large model's requests were refused.
 */
static void
test_a_large_group_does_not_wait_for_a_load(void)
{
	struct world w;

	open_large_world(&w);
	set_spares(&w, SMALL);
	w.slow_load = true;
	lose_member(&w, member_of(&w, LARGE, 2));
	run(&w, true, 3500);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	/* The small group is re-formed from its other members and a spare. */
	CU_ASSERT_EQUAL(count_open(&w, SMALL), 2);
	CU_ASSERT_EQUAL(w.unsafe_joins, 0);
	CU_ASSERT_EQUAL(w.early_opens, 0);
	world_close(&w);
}

static void
test_a_spare_goes_first(void)
{
	struct world w;
	unsigned int leaves;

	open_large_world(&w);
	set_spares(&w, LARGE);
	CU_ASSERT_EQUAL(count_staged_spares(&w, LARGE), 2);
	w.slow_load = true;
	leaves = w.leaves;
	lose_member(&w, member_of(&w, LARGE, 2));
	run(&w, true, 3500);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	CU_ASSERT_EQUAL(count_open(&w, SMALL), 2);
	/* The head of the group that lost a member, and no other. */
	CU_ASSERT_EQUAL(w.leaves, leaves + 1);
	world_close(&w);
}

/* A host with standby weights leaves: its group continues with another host,
 * which loads the standby weights too. */
static void
test_a_host_leaves(void)
{
	struct world w;
	int leaving = -1;

	open_large_world(&w);
	set_spares(&w, SMALL);
	for (int i = 0; i < ALL_SERVERS; i++)
		if (strcmp(w.staged[i], LARGE) == 0 &&
		    strcmp(server(&w, i)->entry.member.model, SMALL) == 0)
			leaving = i;
	CU_ASSERT_FATAL(leaving >= 0);
	set_leaving(&w, leaving);
	run(&w, true, 4000);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	CU_ASSERT_EQUAL(count_open(&w, SMALL), 2);
	CU_ASSERT(count_standby(&w) >= 2);
	world_close(&w);
}

/* Sets up two groups of the large model (here of four servers), two of the
 * small model, and a spare with the small model's weights; then loses a member
 * of a large group. The target number of groups is unchanged. Returns the
 * number of leave orders that follow. */
static unsigned int
lose_one_of_two_large(struct world *w, double large_share)
{
	unsigned int leaves;

	world_open(w);
	w->models[0].size = 4;
	w->models[0].work_share = 0.6;
	w->models[1].work_share = 0.4;
	for (int i = SERVERS; i <= ALL_SERVERS; i++)
		put(w, i, LD_MEMBER_NONE, NULL, 0, 0, NULL);
	ld_groups_lead(w->g, 3, w->now);
	run(w, true, LEAD_MS);
	CU_ASSERT_EQUAL(w->opens, 4);
	CU_ASSERT_EQUAL(count_standby(w), 2);
	ld_groups_note_traffic(w->g);
	for (int i = 0; i <= ALL_SERVERS; i++) {
		if (server(w, i)->entry.member.group != NULL)
			continue;
		snprintf(w->staged[i], sizeof(w->staged[i]), "%s", SMALL);
		publish_staged(w, i);
	}
	w->models[0].work_share = large_share;
	w->models[1].work_share = 1.0 - large_share;
	w->slow_load = true;
	leaves = w->leaves;
	lose_member(w, member_of(w, LARGE, 2));
	run(w, true, 3500);
	return w->leaves - leaves;
}

/* A second group of the small model carries more work than a second one of the
 * large model would: no group is ended. */
static void
test_a_needed_group_stays(void)
{
	struct world w;

	/* The head of the group that lost a member, and no other. */
	CU_ASSERT_EQUAL(lose_one_of_two_large(&w, 0.52), 1);
	CU_ASSERT_EQUAL(count_open(&w, SMALL), 2);
	world_close(&w);
}

/* With the opposite shares, a group of the small model is ended. */
static void
test_a_less_needed_group_ends(void)
{
	struct world w;

	CU_ASSERT_EQUAL(lose_one_of_two_large(&w, 0.6), 2);
	CU_ASSERT_EQUAL(w.unsafe_joins, 0);
	CU_ASSERT_EQUAL(w.early_opens, 0);
	world_close(&w);
}

/* A model without any group has priority over another's second group. */
static void
test_a_model_without_a_group_comes_first(void)
{
	struct world w;

	open_large_world(&w);
	ld_groups_note_traffic(w.g);
	set_spares(&w, SMALL);
	w.models[0].work_share = 0.45;
	w.models[1].work_share = 0.55;
	w.slow_load = true;
	lose_member(&w, member_of(&w, LARGE, 2));
	run(&w, true, 3500);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	CU_ASSERT_EQUAL(w.unsafe_joins, 0);
	CU_ASSERT_EQUAL(w.early_opens, 0);
	world_close(&w);
}

/* Random losses, by seed: while hosts are exchanged, no head opens early and no
 * server joins a group while its previous head may serve. */
static void
test_random_losses(void)
{
	for (uint64_t seed = 1; seed <= 40; seed++) {
		struct ld_rand rand;
		struct world w;

		ld_rand_seed(&rand, seed);
		open_large_world(&w);
		for (int step = 0; step < 30; step++) {
			int i = (int)ld_rand_below(&rand, ALL_SERVERS);

			w.slow_load = ld_rand_below(&rand, 2) == 0;
			if (w.dead[i]) {
				w.dead[i] = false;
				put(&w, i, LD_MEMBER_NONE, NULL, 0, 0, NULL);
			} else {
				w.dead[i] = true;
				if (server(&w, i)->entry.member.group != NULL)
					raise_alarm(&w, i);
			}
			run(&w, true, ld_rand_below(&rand, 3000));
			if (ld_rand_below(&rand, 6) == 0) {
				ld_groups_yield(w.g);
				ld_groups_lead(w.g, 10 + step, w.now);
			}
		}
		CU_ASSERT_EQUAL(w.early_opens, 0);
		CU_ASSERT_EQUAL(w.unsafe_joins, 0);
		if (w.early_opens != 0 || w.unsafe_joins != 0)
			printf("seed %llu: early %u two %u\n",
			    (unsigned long long)seed, w.early_opens,
			    w.unsafe_joins);
		world_close(&w);
	}
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"hosts of one small group load",
		test_hosts_of_one_small_group_load},
	    {"a large group does not wait for a load",
		test_a_large_group_does_not_wait_for_a_load},
	    {"a spare goes first", test_a_spare_goes_first},
	    {"a host leaves", test_a_host_leaves},
	    {"a needed group stays", test_a_needed_group_stays},
	    {"a less needed group ends", test_a_less_needed_group_ends},
	    {"a model without a group comes first",
		test_a_model_without_a_group_comes_first},
	    {"random losses", test_random_losses},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("groups standby", cases);
}
