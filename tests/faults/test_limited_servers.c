/* Servers that name the rate of requests that they take. */
#include <signal.h>
#include <sys/wait.h>

#include "ld_relay_session.h"

#define REQUESTS 60
/* 1.5 times what RELAY_LIMIT allows in 4 s, and 5 more. */
#define ALLOWED_IN_4_S 17
#define SPREAD_MS 50

static unsigned int
send_for_3_s(void)
{
	unsigned int served = 0;

	for (int i = 0; i < REQUESTS; i++) {
		struct client c = call("GET", "/look/a", "k1");

		served += c.code == 200;
		if (c.code != 200) {
			CU_ASSERT_EQUAL(c.code, 503);
			CU_ASSERT(c.retry_after_s > 0);
		}
		ld_buf_free(&c.body);
		run_for(SPREAD_MS);
	}
	return served;
}

static void
test_what_a_limit_keeps_away_goes_to_other_servers(void)
{
	open_all(relay_program);
	wait_until_serving();
	set_servers(NAMES_LIMIT, SERVES);
	CU_ASSERT_EQUAL(send_for_3_s(), REQUESTS);
	CU_ASSERT(servers[0].arrivals <= ALLOWED_IN_4_S);
	CU_ASSERT(servers[0].arrivals > 0);
}

static void
test_what_no_server_takes_is_refused_at_once(void)
{
	unsigned int served;

	set_servers(NAMES_LIMIT, NAMES_LIMIT);
	served = send_for_3_s();
	CU_ASSERT_EQUAL(served, arrivals());
	CU_ASSERT(servers[0].arrivals <= ALLOWED_IN_4_S);
	CU_ASSERT(servers[1].arrivals <= ALLOWED_IN_4_S);
	/* The limits end with the next answers. */
	servers[0].behaviour = servers[1].behaviour = SERVES;
	run_for(2000);
	(void)send_for_3_s();
	CU_ASSERT_EQUAL(send_for_3_s(), REQUESTS);
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"what a limit keeps away goes to other servers",
		test_what_a_limit_keeps_away_goes_to_other_servers},
	    {"what no server takes is refused at once",
		test_what_no_server_takes_is_refused_at_once},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "limited_servers", cases);
}
