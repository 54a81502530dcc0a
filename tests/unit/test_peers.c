/* Membership, records and direct messages of a small fleet. */
#include <string.h>

#include "peers_fixture.h"

/* ---- A small fleet ---- */

static void
test_small_fleet(void)
{
	start(SMALL, 1, 3, 0, 1);
	net_run(&net, 10000);
	for (int i = 0; i < SMALL; i++) {
		CU_ASSERT_TRUE(ld_peers_link_count(net.node[i].peers) >= 2);
		CU_ASSERT_EQUAL(
		    ld_peers_member_count(net.node[i].peers), SMALL);
	}
	publish(2, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up"));
	net_run(&net, 1000);
	for (int i = 0; i < SMALL; i++)
		CU_ASSERT_TRUE(has_record(
		    i, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up")));
	net_free(&net);
}

static void
test_killed_node_is_counted_until_gone(void)
{
	struct ld_peers_member m;
	struct ld_str address;

	start(SMALL, 1, 3, 0, 2);
	address = ld_str_c(net.node[3].address);
	publish(3, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up"));
	net_run(&net, 1000);
	net_kill(&net, 3);
	net_run(&net, 15000);
	CU_ASSERT_EQUAL(ld_peers_find(net.node[0].peers, address, &m), LD_OK);
	CU_ASSERT_EQUAL(m.state, LD_PEERS_DEAD);
	CU_ASSERT_EQUAL(ld_peers_alive_count(net.node[0].peers), SMALL - 1);
	CU_ASSERT_EQUAL(ld_peers_member_count(net.node[0].peers), SMALL);
	CU_ASSERT_FALSE(
	    has_record(0, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up")));
	ld_peers_confirm_removed(net.node[0].peers, net_now(&net), address);
	net_act(&net, 0);
	CU_ASSERT_EQUAL(ld_peers_member_count(net.node[0].peers), SMALL - 1);
	/* Nodes without this confirmation must not add the member again. */
	net_run(&net, MINUTE_MS);
	CU_ASSERT_EQUAL(ld_peers_member_count(net.node[0].peers), SMALL - 1);
	CU_ASSERT_EQUAL(ld_peers_member_count(net.node[1].peers), SMALL);
	net_free(&net);
}

static void
test_new_node_counts_the_dead(void)
{
	start(SMALL, 1, 3, 0, 3);
	net_kill(&net, 3);
	net_run(&net, 15000);
	net_kill(&net, 5);
	net_run(&net, 100);
	net_start(&net, 5);
	net_run(&net, 5000);
	CU_ASSERT_EQUAL(ld_peers_alive_count(net.node[5].peers), SMALL - 1);
	CU_ASSERT_EQUAL(ld_peers_member_count(net.node[5].peers), SMALL);
	net_free(&net);
}

static void
test_restart_supersedes(void)
{
	struct ld_peers_member before, after;
	struct ld_str address;

	for (uint64_t seed = 10; seed < 20; seed++) {
		start(SMALL, 1, 3, 0, seed);
		address = ld_str_c(net.node[4].address);
		ld_peers_find(net.node[0].peers, address, &before);
		publish(4, LD_PEERS_REC_DRAIN, LD_STR(""), LD_STR("1"));
		net_run(&net, 1000);
		net_kill(&net, 4);
		net_start(&net, 4);
		net_run(&net, 10000);
		CU_ASSERT_EQUAL(
		    ld_peers_find(net.node[0].peers, address, &after), LD_OK);
		CU_ASSERT_NOT_EQUAL(before.incarnation, after.incarnation);
		CU_ASSERT_EQUAL(after.state, LD_PEERS_ALIVE);
		CU_ASSERT_EQUAL(
		    ld_peers_member_count(net.node[0].peers), SMALL);
		CU_ASSERT_FALSE(
		    has_record(0, LD_PEERS_REC_DRAIN, LD_STR(""), LD_STR("1")));
		net_free(&net);
	}
}

/* The new process knows others before its own first exchange of tables. */
static void
test_restart_that_others_dial_first(void)
{
	struct ld_peers_member before, after;

	for (uint64_t seed = 10; seed < 30; seed++) {
		struct ld_str address;

		start(SMALL, 1, 3, 0, seed);
		address = ld_str_c(net.node[4].address);
		net_kill(&net, 4);
		net_run(&net, 12000);
		ld_peers_find(net.node[0].peers, address, &before);
		CU_ASSERT_EQUAL(before.state, LD_PEERS_DEAD);
		net.node[4].waits_for_dials = true;
		net_start(&net, 4);
		net_run(&net, 30000);
		CU_ASSERT_EQUAL(
		    ld_peers_find(net.node[0].peers, address, &after), LD_OK);
		CU_ASSERT_EQUAL(after.state, LD_PEERS_ALIVE);
		CU_ASSERT_NOT_EQUAL(before.incarnation, after.incarnation);
		CU_ASSERT_TRUE(net_agree(&net));
		net_free(&net);
	}
}

static void
test_frozen_node_returns_as_itself(void)
{
	struct ld_peers_member before, after;
	struct ld_str address;

	start(SMALL, 1, 3, 0, 4);
	address = ld_str_c(net.node[6].address);
	publish(6, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up"));
	net_run(&net, 1000);
	ld_peers_find(net.node[0].peers, address, &before);
	net.node[6].frozen = true;
	net_run(&net, 30000);
	ld_peers_find(net.node[0].peers, address, &after);
	CU_ASSERT_EQUAL(after.state, LD_PEERS_DEAD);
	net.node[6].frozen = false;
	net_run_until_agree(&net, 10000);
	net_run(&net, 1000);
	CU_ASSERT_TRUE(net_agree(&net));
	ld_peers_find(net.node[0].peers, address, &after);
	CU_ASSERT_EQUAL(before.incarnation, after.incarnation);
	CU_ASSERT_EQUAL(counters(6).pauses, 1);
	/* On resuming it declared no member dead; its records are back. */
	CU_ASSERT_EQUAL(net.node[6].deaths, 0);
	CU_ASSERT_TRUE(
	    has_record(0, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up")));
	net_free(&net);
}

static void
test_leaving_is_no_death(void)
{
	struct ld_peers_member m;

	start(SMALL, 1, 3, 0, 5);
	ld_peers_leave(net.node[2].peers, net_now(&net));
	net_act(&net, 2);
	net_run(&net, 500);
	net_kill(&net, 2);
	net_run(&net, 20000);
	CU_ASSERT_EQUAL(
	    ld_peers_find(net.node[0].peers, ld_str_c(net.node[2].address), &m),
	    LD_OK);
	CU_ASSERT_EQUAL(m.state, LD_PEERS_LEFT);
	CU_ASSERT_EQUAL(ld_peers_member_count(net.node[0].peers), SMALL - 1);
	CU_ASSERT_EQUAL(net_deaths(&net), 0);
	net_free(&net);
}

/* ---- Silent connections ---- */

/* A middlebox drops the state of the first connection between two nodes. */
static void
test_silent_connection_is_replaced(void)
{
	struct ld_peers_counters c;
	uint64_t silent = 0;

	start(SMALL, 1, 3, 0, 6);
	net_run(&net, 10000);
	for (size_t i = 0; i < net.conn_count; i++)
		net.conns[i].silent = true;
	net_run(&net, MINUTE_MS);
	for (int i = 0; i < SMALL; i++) {
		c = counters(i);
		silent += c.links_timed_out;
		CU_ASSERT_TRUE(ld_peers_link_count(net.node[i].peers) >= 2);
	}
	CU_ASSERT_TRUE(silent > 0);
	CU_ASSERT_TRUE(net_agree(&net));
	CU_ASSERT_EQUAL(net_deaths(&net), 0);
	net_free(&net);
}

static void
test_acked_time_follows_the_links(void)
{
	uint64_t begin;

	start(2, 1, 1, 0, 11);
	net_run(&net, 10000);
	/* This holds also on the side that only acknowledges pings. */
	for (int i = 0; i < 2; i++)
		CU_ASSERT_TRUE(
		    ld_peers_last_acked_ping_ms(net.node[i].peers) + 2500 >
		    net_now(&net));
	begin = net_now(&net);
	net.node[1].frozen = true;
	net_run(&net, 10000);
	CU_ASSERT_TRUE(ld_peers_last_acked_ping_ms(net.node[0].peers) <= begin);
	net_free(&net);
}

/* Two processes are configured with the same address. */
static void
test_shared_address_is_no_storm(void)
{
	uint64_t claims = 0;

	net_init(&net, SMALL, 1, 3, 0, 12);
	snprintf(net.node[7].address, sizeof(net.node[7].address), "%s",
	    net.node[6].address);
	for (int i = 0; i < SMALL; i++)
		net_start(&net, i);
	net_run(&net, 2 * MINUTE_MS);
	claims = counters(6).address_claims + counters(7).address_claims;
	printf("%" PRIu64 " claims ", claims);
	CU_ASSERT_TRUE(claims < 20);
	net_free(&net);
}

/* Authenticated peers send corrupt messages; these are refused. */
static void
test_changed_messages_break_nothing(void)
{
	uint64_t refused = 0;

	start(SMALL, 1, 3, 0, 13);
	net.changed_per_mille = 200;
	net_run(&net, 2 * MINUTE_MS);
	for (int i = 0; i < SMALL; i++)
		refused += counters(i).messages_refused;
	CU_ASSERT_TRUE(refused > 0);
	net_free(&net);
}

/* ---- The push tree ---- */

static bool
all_have_load(const char *value)
{
	for (int i = 0; i < net.nodes; i++) {
		if (net.node[i].peers != NULL &&
		    !has_record(
			i, LD_PEERS_REC_LOAD, LD_STR("f1-r1"), ld_str_c(value)))
			return false;
	}
	return true;
}

static int
find_root(void)
{
	struct ld_peers_member m;
	uint64_t least = UINT64_MAX;
	int root = 0;

	for (int i = 0; i < net.nodes; i++) {
		ld_peers_find(
		    net.node[i].peers, ld_str_c(net.node[i].address), &m);
		if (m.incarnation >= least)
			continue;
		least = m.incarnation;
		root = i;
	}
	return root;
}

static void
test_tree_outlives_its_root(void)
{
	int root, from;

	start(64, 2, 3, 0, 14);
	net_run(&net, 10000);
	root = find_root();
	from = (root + 1) % net.nodes;
	publish(from, LD_PEERS_REC_LOAD, LD_STR("f1-r1"), LD_STR("a"));
	net_run(&net, 3000);
	CU_ASSERT_TRUE(all_have_load("a"));
	net_kill(&net, root);
	net_run(&net, 8000);
	publish(from, LD_PEERS_REC_LOAD, LD_STR("f1-r1"), LD_STR("b"));
	net_run(&net, 3000);
	CU_ASSERT_TRUE(all_have_load("b"));
	net_free(&net);
}

/* ---- Direct messages ---- */

static void
test_direct_messages(void)
{
	struct ld_str to;
	enum ld_status st;

	start(SMALL, 1, 3, 0, 7);
	net_run(&net, 10000);
	for (int i = 1; i < SMALL; i++) {
		to = ld_str_c(net.node[i].address);
		st = ld_peers_send(
		    net.node[0].peers, net_now(&net), to, 0, 9, LD_STR("x"));
		CU_ASSERT_EQUAL(st, LD_OK);
		net_act(&net, 0);
	}
	net_run(&net, 1000);
	for (int i = 1; i < SMALL; i++)
		CU_ASSERT_EQUAL(net.node[i].direct_in, 1);
	/* Addressed to an incarnation that no longer runs. */
	st = ld_peers_send(net.node[0].peers, net_now(&net),
	    ld_str_c(net.node[1].address), 12345, 9, LD_STR("x"));
	CU_ASSERT_EQUAL(st, LD_OK);
	net_act(&net, 0);
	net_run(&net, 1000);
	CU_ASSERT_EQUAL(net.node[1].direct_in, 1);
	st = ld_peers_send(net.node[0].peers, net_now(&net),
	    LD_STR("10.9.9.9:1"), 0, 9, LD_STR("x"));
	CU_ASSERT_EQUAL(st, LD_E_NOT_FOUND);
	net_free(&net);
}

/* ---- Message loss over a long time ---- */

static void
test_no_false_deaths_under_loss(void)
{
	uint64_t suspicions = 0;

	for (uint64_t seed = 31; seed < 34; seed++) {
		start(SMALL, 1, 3, LOSS, seed);
		net_run(&net, 10 * MINUTE_MS);
		for (int i = 0; i < SMALL; i++)
			suspicions += counters(i).suspicions;
		CU_ASSERT_EQUAL(net_deaths(&net), 0);
		net_run_until_agree(&net, 10000);
		CU_ASSERT_TRUE(net_agree(&net));
		net_free(&net);
	}
	printf("%" PRIu64 " suspicions ", suspicions);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a small fleet", test_small_fleet},
	    {"a killed node is counted until gone",
		test_killed_node_is_counted_until_gone},
	    {"a new node counts the dead", test_new_node_counts_the_dead},
	    {"a restart supersedes", test_restart_supersedes},
	    {"a restart that others dial first",
		test_restart_that_others_dial_first},
	    {"a frozen node returns", test_frozen_node_returns_as_itself},
	    {"leaving is no death", test_leaving_is_no_death},
	    {"a silent connection is replaced",
		test_silent_connection_is_replaced},
	    {"acked time", test_acked_time_follows_the_links},
	    {"a shared address is no storm", test_shared_address_is_no_storm},
	    {"changed messages break nothing",
		test_changed_messages_break_nothing},
	    {"the tree outlives its root", test_tree_outlives_its_root},
	    {"direct messages", test_direct_messages},
	    {"no false deaths under loss", test_no_false_deaths_under_loss},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("peers", cases);
}
