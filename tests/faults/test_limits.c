/* A caller below its limits is served at any node and time. */
#include <string.h>

#include "ld_fleet.h"
#include "ld_test.h"

#define STREAMS 6
#define TOKENS 400 /* of 100,000 a second that the entry allows */
#define PROMPT "far below the limit"

static struct ld_fleet fleet;
static struct ld_stream streams[STREAMS];

/* The warm-up of the fleet was one completion of one token at each node. */
static void
test_large_requests_below_the_limit(void)
{
	ld_fleet_begin(
	    &fleet, "limits-large", &(struct ld_fleet_options){.token_ms = 2});
	for (int i = 0; i < STREAMS; i++)
		ld_stream_start(&fleet.s, &streams[i],
		    fleet.nodes[i % fleet.o.nodes]->address, LD_FLEET_SHOP_KEY,
		    PROMPT, TOKENS);
	for (int i = 0; i < STREAMS; i++) {
		ld_stream_join(&streams[i]);
		ld_session_expect(&fleet.s,
		    strcmp(ld_stream_check(&streams[i], PROMPT, TOKENS),
			"whole") == 0,
		    ld_stream_end(&streams[i]));
		ld_stream_free(&streams[i]);
	}
	ld_fleet_end(&fleet);
}

/* A balancer moves a caller to a node that has not served it before. */
static void
test_first_request_at_another_node(void)
{
	ld_fleet_begin(
	    &fleet, "limits-first", &(struct ld_fleet_options){.nodes = 3});
	ld_kill(fleet.nodes[2]);
	ld_fleet_start_node(&fleet, 2);
	ld_session_expect(&fleet.s, ld_fleet_wait_ready(&fleet, 2),
	    "the node does not become ready");
	ld_session_expect(&fleet.s,
	    ld_fleet_lookup(&fleet, 2, LD_FLEET_SHOP_KEY, "lot-1") == 200,
	    "the first lookup at a node is refused");
	ld_session_expect(&fleet.s,
	    ld_fleet_lookup(&fleet, 2, LD_FLEET_QUAY_KEY, "lot-2") == 200,
	    "the first lookup of another caller is refused");
	ld_fleet_end(&fleet);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"large requests below the limit",
		test_large_requests_below_the_limit},
	    {"the first request at another node",
		test_first_request_at_another_node},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("limits", cases);
}
