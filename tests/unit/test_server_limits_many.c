/* Limits of many servers without engines, see limits_world.h. */
#include "limits_world.h"

static void
test_limits_hold_at_many_servers_without_engines(void)
{
	enum {
		LIMITED = 42,
		MS = 8000
	};

	limits_open(195, 0.0015, HEADS);
	for (int s = 0; s < LIMITED; s++)
		w.limit[s] = 8;
	run_limited(MS, (struct load){800, ALL_NODES});
	for (int s = 0; s < LIMITED; s++) {
		check_kept(s, MS);
		check_used(s, MS);
	}
	fleet_close();
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"limits hold at many servers without engines",
		test_limits_hold_at_many_servers_without_engines},
	    {NULL, NULL},
	};

	return ld_test_main("server_limits_many", cases);
}
