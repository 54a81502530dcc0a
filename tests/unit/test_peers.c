/* Membership and dissemination over an in-memory network. */
#include <string.h>

#include "ld_test.h"
#include "peers_net.h"

#define SMALL 8
#define LOSS 20 /* per mille */

static struct net net;

static void
start(int nodes, int regions, int domains, unsigned int loss, uint64_t seed)
{
	net_init(&net, nodes, regions, domains, loss, seed);
	for (int i = 0; i < nodes; i++)
		net_start(&net, i);
}

static void
test_small_fleet_joins(void)
{
	uint64_t took;

	start(SMALL, 1, 3, 0, 1);
	took = net_run_until_agree(&net, 10000);
	printf("joined in %" PRIu64 " ms ", took);
	CU_ASSERT_TRUE(net_agree(&net));
	net_run(&net, 10000);
	for (int i = 0; i < SMALL; i++)
		CU_ASSERT_TRUE(ld_peers_links(net.node[i].peers) >= 2);
	net_free(&net);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a small fleet joins", test_small_fleet_joins},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("peers", cases);
}
