/* Catalogue snapshots between nodes, and a session with a golden file. */
#include <string.h>

#include "ld_golden.h"
#include "peers_fixture.h"

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
	CU_ASSERT_EQUAL(ld_peers_unconfirmed_count(p, 43, true, NULL, NULL), 0);
	net_free(&net);
}

/* Returns the link of node @i on its first open connection, or 0. */
static uint32_t
first_open_link(int i)
{
	for (size_t at = 0; at < net.conn_count; at++) {
		for (int s = 0; s < 2; s++) {
			if (net.conns[at].open[s] && net.conns[at].node[s] == i)
				return net.conns[at].link[s];
		}
	}
	return 0;
}

/* A delayed snapshot arrives after a newer one. */
static void
test_late_snapshot_is_ignored(void)
{
	struct ld_wire_msg m = {.kind = LD_WIRE_CATALOGUE_SNAPSHOT};
	struct ld_buf payload = {0};
	struct ld_str held;

	start(SMALL, 1, 3, 0, 15);
	spread_catalogue(0, 41, 10000);
	m.catalogue.revision = 40;
	m.catalogue.bytes = LD_STR("old");
	ld_wire_encode(&m, &payload);
	ld_peers_message(net.node[5].peers, net_now(&net), first_open_link(5),
	    ld_buf_str(&payload));
	net_act(&net, 5);
	CU_ASSERT_EQUAL(ld_peers_catalogue(net.node[5].peers, &held), 41);
	CU_ASSERT_FALSE(ld_str_eq(held, LD_STR("old")));
	CU_ASSERT_EQUAL(net.node[5].revision, 41);
	ld_buf_free(&payload);
	net_free(&net);
}

/* All messages are lost for 300 ms, too short for a link to time out. */
static void
test_lost_records_are_repaired(void)
{
	start(SMALL, 1, 3, 0, 16);
	net_run(&net, 10000);
	net.loss_per_mille = 1000;
	publish(2, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up"));
	net_run(&net, 300);
	net.loss_per_mille = 0;
	net_run(&net, 10000);
	for (int i = 0; i < SMALL; i++)
		CU_ASSERT_TRUE(has_record(
		    i, LD_PEERS_REC_HEALTH, LD_STR("a"), LD_STR("up")));
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
	    ld_peers_unconfirmed_count(p, 5, false, note_address, name), 1);
	CU_ASSERT_STRING_EQUAL(name, net.node[3].address);
	net_run(&net, 20000);
	CU_ASSERT_EQUAL(ld_peers_unconfirmed_count(p, 5, false, NULL, NULL), 0);
	CU_ASSERT_EQUAL(ld_peers_unconfirmed_count(p, 5, true, NULL, NULL), 1);
	net.node[3].frozen = false;
	net_run(&net, 5000);
	CU_ASSERT_EQUAL(ld_peers_unconfirmed_count(p, 5, true, NULL, NULL), 0);
	net_free(&net);
}

/* The catalogue survives the replacement of all nodes, one after another. */
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
		CU_ASSERT_EQUAL(
		    ld_peers_member_count(net.node[i].peers), SMALL);
	net_free(&net);
}

/* ---- Golden session ---- */

#define GOLDEN "tests/golden/peers_session.txt"

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
	struct ld_buf session = {0};
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	net_trace_to = f;
	run_session();
	net_trace_to = NULL;
	fclose(f);
	ld_buf_add(&session, text, len);
	golden_check(GOLDEN, &session);
	free(text);
	ld_buf_free(&session);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a catalogue never goes back", test_catalogue_never_goes_back},
	    {"a late snapshot is ignored", test_late_snapshot_is_ignored},
	    {"lost records are repaired", test_lost_records_are_repaired},
	    {"an unconfirmed node is named", test_unconfirmed_node_is_named},
	    {"rolling replacement",
		test_rolling_replacement_keeps_the_catalogue},
	    {"golden session", test_golden_session},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("peers catalogue", cases);
}
