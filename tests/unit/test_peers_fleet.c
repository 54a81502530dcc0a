/* Fleet of the size forecast in two years: traffic, partition, lost domain. */
#include <string.h>

#include "peers_fixture.h"

/* Stated targets. */
#define CATALOGUE_LIMIT_MS UINT64_C(4000)
#define BYTES_PER_S_LIMIT 11000
/* Number of replicas; each publishes its load report once a second. */
#define REPLICAS 18
#define LOAD_BYTES 48

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
test_fleet_budget_catalogue_and_loss(void)
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
	net_run(&net, 10 * MINUTE_MS);
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
	CU_ASSERT_EQUAL(ld_peers_alive_count(net.node[0].peers), FLEET / 2);
	CU_ASSERT_EQUAL(ld_peers_member_count(net.node[0].peers), FLEET);
	spread_catalogue(0, 9, 100); /* only one side updates */
	net_run(&net, 10000);
	net.cut = false;
	deaths = net_deaths(&net);
	took = net_run_until_agree(&net, MINUTE_MS);
	printf("healed in %" PRIu64 " ms ", took);
	CU_ASSERT_TRUE(net_agree(&net));
	net_run(&net, 5000);
	CU_ASSERT_TRUE(all_hold(9));
	CU_ASSERT_EQUAL(net_deaths(&net), deaths); /* no further deaths */
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

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"390: budget, catalogue, 10 min of loss",
		test_fleet_budget_catalogue_and_loss},
	    {"390: a partition heals", test_fleet_heals_after_a_partition},
	    {"390: a domain is lost", test_fleet_loses_a_domain},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("peers fleet", cases);
}
