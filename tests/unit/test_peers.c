/* Membership and dissemination over an in-memory network. */
#include <string.h>

#include "ld_test.h"
#include "peers_net.h"

#define SMALL 8
#define FLEET 390
#define LOSS 20 /* per mille */
#define JOIN_LIMIT_MS 20000
#define MINUTE_MS UINT64_C(60000)
/* Targets of the letter. */
#define CATALOGUE_LIMIT_MS UINT64_C(4000)
#define BYTES_PER_S_LIMIT 11000
/* The fleet's replicas, whose loads are published once a second. */
#define REPLICAS 18
#define LOAD_BYTES 48

static struct net net;

static void
start(int nodes, int regions, int domains, unsigned int loss, uint64_t seed)
{
	net_init(&net, nodes, regions, domains, loss, seed);
	net.confirm = true;
	for (int i = 0; i < nodes; i++)
		net_start(&net, i);
	net_run_until_agree(&net, JOIN_LIMIT_MS);
	CU_ASSERT_TRUE(net_agree(&net));
}

static struct ld_peers_counters
counters(int i)
{
	struct ld_peers_counters c;

	ld_peers_counters(net.node[i].peers, &c);
	return c;
}

static void
publish(int i, enum ld_peers_kind kind, struct ld_str key, struct ld_str value)
{
	CU_ASSERT_EQUAL(ld_peers_publish(
			    net.node[i].peers, net_now(&net), kind, key, value),
	    LD_OK);
	net_act(&net, i);
}

static bool
has_record(
    int i, enum ld_peers_kind kind, struct ld_str key, struct ld_str value)
{
	struct ld_peers_record r;

	return ld_peers_newest_record(net.node[i].peers, kind, key, &r) ==
	    LD_OK &&
	    ld_str_eq(r.value, value);
}

static void
offer_catalogue(int i, uint64_t revision)
{
	struct net_node *node = &net.node[i];

	CU_ASSERT_EQUAL(ld_peers_offer_catalogue(node->peers, net_now(&net),
			    revision, LD_STR("{\"entries\":[]}")),
	    LD_OK);
	ld_peers_confirm_catalogue(node->peers, net_now(&net), revision);
	node->revision = revision;
	node->revision_ms = net_now(&net);
	net_act(&net, i);
}

static bool
all_hold(uint64_t revision)
{
	for (int i = 0; i < net.nodes; i++) {
		if (net.node[i].peers != NULL &&
		    ld_peers_catalogue(net.node[i].peers, NULL) != revision)
			return false;
	}
	return true;
}

/* Return: ms until all running nodes hold @revision. */
static uint64_t
spread_catalogue(int from, uint64_t revision, uint64_t limit_ms)
{
	uint64_t begin = net_now(&net);

	offer_catalogue(from, revision);
	while (!all_hold(revision) && net_now(&net) - begin < limit_ms)
		net_run(&net, 50);
	return net_now(&net) - begin;
}

/* ---- A small fleet ---- */

static void
test_small_fleet(void)
{
	start(SMALL, 1, 3, 0, 1);
	net_run(&net, 10000);
	for (int i = 0; i < SMALL; i++) {
		CU_ASSERT_TRUE(ld_peers_links(net.node[i].peers) >= 2);
		CU_ASSERT_EQUAL(ld_peers_counted(net.node[i].peers), SMALL);
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
	CU_ASSERT_EQUAL(ld_peers_alive(net.node[0].peers), SMALL - 1);
	CU_ASSERT_EQUAL(ld_peers_counted(net.node[0].peers), SMALL);
	CU_ASSERT_FALSE(
	    has_record(0, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up")));
	ld_peers_confirm_gone(net.node[0].peers, net_now(&net), address);
	net_act(&net, 0);
	CU_ASSERT_EQUAL(ld_peers_counted(net.node[0].peers), SMALL - 1);
	/* Nodes that have not heard of it don't bring it back. */
	net_run(&net, MINUTE_MS);
	CU_ASSERT_EQUAL(ld_peers_counted(net.node[0].peers), SMALL - 1);
	CU_ASSERT_EQUAL(ld_peers_counted(net.node[1].peers), SMALL);
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
	CU_ASSERT_EQUAL(ld_peers_alive(net.node[5].peers), SMALL - 1);
	CU_ASSERT_EQUAL(ld_peers_counted(net.node[5].peers), SMALL);
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
		CU_ASSERT_EQUAL(ld_peers_counted(net.node[0].peers), SMALL);
		CU_ASSERT_FALSE(
		    has_record(0, LD_PEERS_REC_DRAIN, LD_STR(""), LD_STR("1")));
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
	/* It buried nobody when it woke, and its records are back. */
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
	CU_ASSERT_EQUAL(ld_peers_counted(net.node[0].peers), SMALL - 1);
	CU_ASSERT_EQUAL(net_deaths(&net), 0);
	net_free(&net);
}

/* ---- Silence of one connection ---- */

/* A middlebox forgets the first connection between two nodes for good. */
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
		silent += c.links_silent;
		CU_ASSERT_TRUE(ld_peers_links(net.node[i].peers) >= 2);
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
	/* Also at the end that only answers the other one's pings. */
	for (int i = 0; i < 2; i++)
		CU_ASSERT_TRUE(ld_peers_acked_ms(net.node[i].peers) + 2500 >
		    net_now(&net));
	begin = net_now(&net);
	net.node[1].frozen = true;
	net_run(&net, 10000);
	CU_ASSERT_TRUE(ld_peers_acked_ms(net.node[0].peers) <= begin);
	net_free(&net);
}

/* Two processes were given one address by mistake. */
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

/* Authentic peers that send nonsense: nothing breaks, the rest still join. */
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
	/* Meant for a process that is no more. */
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

/* ---- Catalogue ---- */

static void
test_catalogue_never_goes_back(void)
{
	struct ld_peers *p;

	start(SMALL, 1, 3, 0, 8);
	spread_catalogue(0, 41, 10000);
	p = net.node[5].peers;
	CU_ASSERT_EQUAL(
	    ld_peers_offer_catalogue(p, net_now(&net), 40, LD_STR("old")),
	    LD_E_STALE);
	CU_ASSERT_EQUAL(
	    ld_peers_offer_catalogue(p, net_now(&net), 41, LD_STR("same")),
	    LD_E_STALE);
	offer_catalogue(5, 42);
	offer_catalogue(6, 43);
	net_run(&net, 3000);
	CU_ASSERT_TRUE(all_hold(43));
	CU_ASSERT_EQUAL(ld_peers_unconfirmed(p, 43, true, NULL, NULL), 0);
	net_free(&net);
}

static void
note_address(void *arg, const struct ld_peers_member *m)
{
	snprintf(arg, LD_PEERS_ADDRESS_MAX_BYTES, "%.*s", LD_FMT(m->address));
}

static void
test_unconfirmed_node_is_named(void)
{
	char name[LD_PEERS_ADDRESS_MAX_BYTES] = "";
	struct ld_peers *p;

	start(SMALL, 1, 3, 0, 9);
	p = net.node[0].peers;
	net.node[3].frozen = true;
	offer_catalogue(0, 5);
	net_run(&net, 2000);
	CU_ASSERT_EQUAL(
	    ld_peers_unconfirmed(p, 5, false, note_address, name), 1);
	CU_ASSERT_STRING_EQUAL(name, net.node[3].address);
	net_run(&net, 20000);
	CU_ASSERT_EQUAL(ld_peers_unconfirmed(p, 5, false, NULL, NULL), 0);
	CU_ASSERT_EQUAL(ld_peers_unconfirmed(p, 5, true, NULL, NULL), 1);
	net.node[3].frozen = false;
	net_run(&net, 5000);
	CU_ASSERT_EQUAL(ld_peers_unconfirmed(p, 5, true, NULL, NULL), 0);
	net_free(&net);
}

/* All nodes are replaced one after another; the catalogue outlives them. */
static void
test_rolling_replacement_keeps_the_catalogue(void)
{
	start(SMALL, 1, 3, LOSS, 21);
	spread_catalogue(0, 77, 10000);
	for (int i = 0; i < SMALL; i++) {
		net_kill(&net, i);
		net_run(&net, 1000);
		net_start(&net, i);
		net_run(&net, 5000);
	}
	net_run_until_agree(&net, 10000);
	CU_ASSERT_TRUE(net_agree(&net));
	CU_ASSERT_TRUE(all_hold(77));
	for (int i = 0; i < SMALL; i++)
		CU_ASSERT_EQUAL(ld_peers_counted(net.node[i].peers), SMALL);
	net_free(&net);
}

/* ---- Loss over a long time ---- */

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

/* ---- The whole fleet ---- */

static uint64_t
highest_bytes(const uint64_t *before)
{
	uint64_t max = 0;

	for (int i = 0; i < net.nodes; i++) {
		uint64_t bytes = net.node[i].bytes - before[i];

		max = bytes > max ? bytes : max;
	}
	return max;
}

static void
publish_loads(int second)
{
	char key[16], value[LOAD_BYTES];

	memset(value, second, sizeof(value));
	for (int k = 0; k < REPLICAS; k++) {
		snprintf(key, sizeof(key), "f%d-r1", k);
		publish(k * FLEET / REPLICAS, LD_PEERS_REC_LOAD, ld_str_c(key),
		    (struct ld_str){value, sizeof(value)});
	}
}

static void
test_fleet_budget_and_catalogue(void)
{
	static uint64_t before[FLEET];
	uint64_t highest, took;
	int seconds = 30;

	start(FLEET, 2, 4, LOSS, 41);
	net_run(&net, 20000);
	for (int i = 0; i < FLEET; i++)
		before[i] = net.node[i].bytes;
	for (int s = 0; s < seconds; s++) {
		publish_loads(s);
		net_run(&net, 1000);
	}
	highest = highest_bytes(before) / (uint64_t)seconds;
	printf("%" PRIu64 " B/s at the busiest node ", highest);
	CU_ASSERT_TRUE(highest < BYTES_PER_S_LIMIT);
	took = spread_catalogue(7, 5, 2 * CATALOGUE_LIMIT_MS);
	printf("catalogue everywhere in %" PRIu64 " ms ", took);
	CU_ASSERT_TRUE(took < CATALOGUE_LIMIT_MS);
	CU_ASSERT_EQUAL(net_deaths(&net), 0);
	net_free(&net);
}

static void
test_fleet_heals_after_a_partition(void)
{
	uint64_t took, deaths;

	start(FLEET, 2, 4, LOSS, 42);
	net_run(&net, 10000);
	net.cut = true;
	net_run(&net, 40000);
	CU_ASSERT_EQUAL(ld_peers_alive(net.node[0].peers), FLEET / 2);
	CU_ASSERT_EQUAL(ld_peers_counted(net.node[0].peers), FLEET);
	spread_catalogue(0, 9, 100); /* one side moves on */
	net_run(&net, 10000);
	net.cut = false;
	deaths = net_deaths(&net);
	took = net_run_until_agree(&net, MINUTE_MS);
	printf("healed in %" PRIu64 " ms ", took);
	CU_ASSERT_TRUE(net_agree(&net));
	net_run(&net, 5000);
	CU_ASSERT_TRUE(all_hold(9));
	CU_ASSERT_EQUAL(net_deaths(&net), deaths); /* nobody buried anew */
	net_free(&net);
}

static void
test_fleet_loses_a_domain(void)
{
	uint64_t took;
	size_t killed = 0;

	start(FLEET, 2, 4, LOSS, 43);
	net_run(&net, 10000);
	for (int i = 0; i < FLEET; i++) {
		if (net.node[i].domain != net.node[0].domain)
			continue;
		net_kill(&net, i);
		killed++;
	}
	took = net_run_until_agree(&net, MINUTE_MS);
	printf("%zu lost, seen by all in %" PRIu64 " ms ", killed, took);
	net_run(&net, 15000);
	CU_ASSERT_TRUE(net_agree(&net));
	took = spread_catalogue(1, 6, 2 * CATALOGUE_LIMIT_MS);
	CU_ASSERT_TRUE(took < CATALOGUE_LIMIT_MS);
	net_free(&net);
}

/* ---- A whole session, to the byte ---- */

#define GOLDEN "tests/golden/peers_session.txt"

static char *
read_golden(void)
{
	struct ld_buf b = {0};
	char part[4096];
	FILE *f = fopen(GOLDEN, "r");
	size_t n;

	while (f != NULL && (n = fread(part, 1, sizeof(part), f)) > 0)
		ld_buf_add(&b, part, n);
	if (f != NULL)
		fclose(f);
	ld_buf_cstr(&b);
	return b.p;
}

static void
run_session(void)
{
	start(3, 2, 1, 0, 51);
	publish(1, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up"));
	offer_catalogue(0, 5);
	net_run(&net, 1500);
	net_kill(&net, 2);
	net_run(&net, 6000);
	net_start(&net, 2);
	net_run(&net, 2000);
	net_free(&net);
}

static void
test_golden_session(void)
{
	char *got = NULL;
	char *want = read_golden();
	size_t len = 0;
	FILE *f = open_memstream(&got, &len);

	net_trace_to = f;
	run_session();
	net_trace_to = NULL;
	fclose(f);
	CU_ASSERT_STRING_EQUAL(got, want);
	if (strcmp(got, want) != 0 && getenv("LD_GOLDEN_WRITE") != NULL) {
		f = fopen(GOLDEN, "w");
		fputs(got, f);
		fclose(f);
	}
	free(got);
	free(want);
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
	    {"a catalogue never goes back", test_catalogue_never_goes_back},
	    {"an unconfirmed node is named", test_unconfirmed_node_is_named},
	    {"rolling replacement",
		test_rolling_replacement_keeps_the_catalogue},
	    {"no false deaths under loss", test_no_false_deaths_under_loss},
	    {"390: budget and catalogue", test_fleet_budget_and_catalogue},
	    {"390: a partition heals", test_fleet_heals_after_a_partition},
	    {"390: a domain is lost", test_fleet_loses_a_domain},
	    {"golden session", test_golden_session},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("peers", cases);
}
