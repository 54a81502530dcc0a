/*
 * Orders that are carried out seconds late, by servers that do not check
 * fences: each server must stay in one group.
 */
#include "groups_world.h"

#define LATE_MAX 256
/* An unanswered order is carried out after this minimum plus a random share of
 * the spread. */
#define LATE_MIN_MS 200
#define LATE_SPREAD_MS 11800

/** struct late - delayed orders, and the epochs that servers saw since they
 * started */
static struct late {
	struct ld_order orders[LATE_MAX];
	uint64_t at_ms[LATE_MAX];
	size_t n;
	int64_t epoch_seen[SERVERS + 4];
	bool ignores_epochs; /* servers with this check removed */
	struct ld_rand rand;
} late;

/* Whether a server accepts an order: it refuses a join with an epoch lower than
 * one it has seen, and other orders apply only to the group that they name. */
static bool
accepts_order(struct world *w, const struct ld_order *o)
{
	int i = index_of(o->server);
	const struct ld_membership *m = &server(w, i)->entry.member;

	if (o->type == LD_ORDER_STAGE)
		return true;
	if (o->type == LD_ORDER_JOIN)
		return late.ignores_epochs || o->epoch >= late.epoch_seen[i];
	return m->group != NULL && m->epoch == o->epoch &&
	    strcmp(m->group, o->group) == 0;
}

static void
carry_out_unfenced(struct world *w, const struct ld_order *o)
{
	int i = index_of(o->server);

	if (!w->dead[i] && !accepts_order(w, o)) {
		ld_groups_on_order_result(w->g, o, LD_ORDER_MISFIT, w->now);
		return;
	}
	if (o->type == LD_ORDER_JOIN && o->epoch > late.epoch_seen[i])
		late.epoch_seen[i] = o->epoch;
	/* No server here compares fences. */
	w->fence_seen = o->fence;
	carry_out(w, o);
}

static void
take_order_late(struct world *w, const struct ld_order *o)
{
	if (late.n == LATE_MAX || ld_rand_below(&late.rand, 3) != 0) {
		carry_out_unfenced(w, o);
		return;
	}
	late.orders[late.n] = *o;
	late.at_ms[late.n++] =
	    w->now + LATE_MIN_MS + ld_rand_below(&late.rand, LATE_SPREAD_MS);
	ld_groups_on_order_result(w->g, o, LD_ORDER_SILENT, w->now);
}

static void
carry_out_due(struct world *w)
{
	for (size_t i = late.n; i-- > 0;) {
		struct ld_order o = late.orders[i];

		if (w->now < late.at_ms[i])
			continue;
		late.orders[i] = late.orders[--late.n];
		late.at_ms[i] = late.at_ms[late.n];
		/* The answer to a delayed order is lost. */
		if (!w->dead[index_of(o.server)] && accepts_order(w, &o))
			carry_out_unfenced(w, &o);
	}
}

/* Counts, over all seeds, the joins of servers whose previous head may still
 * serve. */
static unsigned int
count_unsafe_joins(bool ignores_epochs)
{
	unsigned int unsafe_joins = 0;

	for (uint64_t seed = 1; seed <= 60; seed++) {
		struct world w;

		world_open(&w);
		ld_groups_set_fenced(w.g, false);
		late = (struct late){.ignores_epochs = ignores_epochs};
		ld_rand_seed(&late.rand, seed);
		w.take_order = take_order_late;
		w.step = carry_out_due;
		ld_groups_lead(w.g, 3, w.now);
		run(&w, true, 8000);
		for (int step = 0; step < 20; step++) {
			int i = (int)ld_rand_below(&late.rand, SERVERS);
			int head = member_of(&w, LARGE, 0);

			/* A head is the most critical server to lose. */
			if (head >= 0 && ld_rand_below(&late.rand, 4) == 0)
				i = head;

			if (w.dead[i]) {
				w.dead[i] = false;
				late.epoch_seen[i] = 0;
				put(&w, i, LD_MEMBER_NONE, NULL, 0, 0, NULL);
			} else if (ld_rand_below(&late.rand, 2) == 0) {
				w.dead[i] = true;
				if (server(&w, i)->entry.member.group != NULL)
					raise_alarm(&w, i);
			} else if (ld_rand_below(&late.rand, 8) == 0) {
				set_leaving(&w, i);
			} else if (ld_rand_below(&late.rand, 8) == 0) {
				unlist(&w, i);
			}
			run(&w, true, ld_rand_below(&late.rand, 4000));
			if (ld_rand_below(&late.rand, 6) == 0) {
				ld_groups_yield(w.g);
				ld_groups_lead(w.g, 10 + step, w.now);
			}
		}
		/* Once the failures end, groups serve again. */
		for (int i = 0; i < SERVERS; i++) {
			w.dead[i] = false;
			late.epoch_seen[i] = 0;
			put(&w, i, LD_MEMBER_NONE, NULL, 0, 0, NULL);
		}
		late.n = 0;
		w.take_order = carry_out_unfenced;
		run(&w, true, 20000);
		CU_ASSERT(count_open(&w, LARGE) + count_open(&w, SMALL) > 0);
		unsafe_joins += w.unsafe_joins;
		world_close(&w);
	}
	return unsafe_joins;
}

/* If servers do not check fences, epochs alone keep each in one group. */
static void
test_late_orders_without_fences(void)
{
	CU_ASSERT_EQUAL(count_unsafe_joins(false), 0);
	/* Control: servers that ignore epochs too do join a second group. */
	CU_ASSERT(count_unsafe_joins(true) > 0);
}

/** struct reopening - a group whose head gets its first orders late */
static struct reopening {
	char head[LD_GROUP_NAME_MAX];
	struct ld_order join;
	struct ld_order open;
	bool has_join;
	bool has_open;
} reopening;

static void
take_first_orders_late(struct world *w, const struct ld_order *o)
{
	bool to_head = strcmp(o->model, LARGE) == 0 &&
	    (o->type == LD_ORDER_JOIN ? strcmp(o->members[0], o->server) == 0
				      : strcmp(o->server, reopening.head) == 0);

	if (to_head && o->type == LD_ORDER_JOIN && !reopening.has_join) {
		memcpy(reopening.head, o->server, sizeof(reopening.head));
		reopening.join = *o;
		reopening.has_join = true;
	} else if (to_head && o->type == LD_ORDER_OPEN && !reopening.has_open) {
		reopening.open = *o;
		reopening.has_open = true;
	} else {
		carry_out_unfenced(w, o);
		return;
	}
	ld_groups_on_order_result(w->g, o, LD_ORDER_SILENT, w->now);
}

/* Review/8: a head that has left its group is put back and opened by its first
 * orders, while the other members are still in it. */
static void
test_late_orders_open_a_head_again(void)
{
	struct world w;
	int lost;

	reopening = (struct reopening){0};
	late = (struct late){0};
	world_open(&w);
	ld_groups_set_fenced(w.g, false);
	/* One model, and no server is left over. */
	w.spec.model_count = 1;
	for (int i = 6; i < SERVERS; i++)
		unlist(&w, i);
	w.take_order = take_first_orders_late;
	ld_groups_lead(w.g, 3, w.now);
	run(&w, true, 5000);
	CU_ASSERT_FATAL(reopening.has_join && reopening.has_open);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	lost = member_of(&w, LARGE, 1);
	raise_alarm(&w, lost);
	w.dead[lost] = true;
	run(&w, true, 1000);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 0);
	/* Carried out one after the other before the holder sees any entry. */
	carry_out_unfenced(&w, &reopening.join);
	carry_out_unfenced(&w, &reopening.open);
	w.dead[lost] = false;
	late.epoch_seen[lost] = 0;
	put(&w, lost, LD_MEMBER_NONE, NULL, 0, 0, NULL);
	run(&w, true, 20000);
	CU_ASSERT_EQUAL(w.unsafe_joins, 0);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	world_close(&w);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"late orders open a head again",
		test_late_orders_open_a_head_again},
	    {"late orders without fences", test_late_orders_without_fences},
	    {NULL, NULL},
	};

	return ld_test_main("groups_late", cases);
}
