/*
 * No request is lost beside changes of the configuration: real relays, connections
 * that are kept and idle, series of bounds and catalogues of all sizes.
 *
 * Usage: test_config_changes [FIRST_SEED LAST_SEED [RELAYS [USERS [BURNERS]]]]
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "ld_stops.h"
#include "ld_test.h"

#define GRACE_MS 8000
#define WARM_UP_MS 3000
#define PLAY_MS 20000
#define CHANGE_EVERY_MS 1500
#define SERIES_MAX 4
#define SERIES_GAP_MS 400
#define HELD_UP_MAX_MS 1500
/* Until the last deadline has passed. */
#define DRAIN_MS 10500

static struct stops_options options = {
    .relays = 2, .users = 60, .grace_ms = GRACE_MS, .idles = true};
static uint64_t first_seed = 1, last_seed = 2;

static void
draw_bounds(struct stops *s)
{
	static const uint64_t idle_ms[] = {2000, 2500, 4000, 15000};
	static const uint64_t head_ms[] = {1500, 3000, 5000};
	static const uint64_t timeout_ms[] = {STOPS_TIMEOUT_MIN_MS, 12000};
	static const int more_routes[] = {0, 0, 350, 1400};

	s->bounds = (struct stops_bounds){
	    .idle_ms = idle_ms[ld_rand_below(&s->rand, 4)],
	    .head_ms = head_ms[ld_rand_below(&s->rand, 3)],
	    .timeout_ms = timeout_ms[ld_rand_below(&s->rand, 2)],
	    .more_routes = more_routes[ld_rand_below(&s->rand, 4)]};
}

static void
change_in_series(struct stops *s)
{
	uint64_t n = 1 + ld_rand_below(&s->rand, SERIES_MAX);

	while (n-- > 0) {
		draw_bounds(s);
		stops_put_config(s);
		stops_run_for(s, 1 + ld_rand_below(&s->rand, SERIES_GAP_MS));
	}
}

/* As with a processor that is used up, or busy with a large catalogue. */
static void
hold_up(struct stops *s)
{
	pid_t pid =
	    s->relays[ld_rand_below(&s->rand, (uint64_t)s->options.relays)]
		.proc->pid;

	kill(pid, SIGSTOP);
	stops_run_for(s, 100 + ld_rand_below(&s->rand, HELD_UP_MAX_MS));
	kill(pid, SIGCONT);
}

static void
play(uint64_t seed)
{
	static struct stops s;
	uint64_t until;

	options.seed = seed;
	stops_open(&s, &options);
	for (int i = 0; i < s.options.relays; i++)
		for (int k = 0; k < s.options.users; k++)
			stops_user_open(&s, i);
	stops_run_for(&s, WARM_UP_MS);
	until = stops_now(&s) + PLAY_MS;
	while (stops_now(&s) < until) {
		change_in_series(&s);
		if (ld_rand_below(&s.rand, 3) == 0)
			hold_up(&s);
		stops_run_for(&s, ld_rand_below(&s.rand, CHANGE_EVERY_MS));
	}
	s.calm = true;
	until = stops_now(&s) + DRAIN_MS;
	while (stops_has_waiting(&s) && stops_now(&s) < until)
		stops_run_for(&s, 20);
	printf("seed %llu: %d configurations, %u requests, %u answered, %u "
	       "refused, %u cut, %u excused, %u lost\n",
	    (unsigned long long)seed, s.config_version, s.request_count,
	    s.answered, s.refused, s.cut, s.excused, s.lost);
	CU_ASSERT_EQUAL(s.lost, 0);
	/* Without answers the run would check nothing. */
	CU_ASSERT(s.answered * 2 >= s.request_count);
	stops_close(&s);
}

static void
test_no_request_is_lost(void)
{
	for (uint64_t seed = first_seed; seed <= last_seed; seed++)
		play(seed);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"no request is lost beside changes of the configuration",
		test_no_request_is_lost},
	    {NULL, NULL},
	};

	if (argc > 2) {
		first_seed = strtoull(argv[1], NULL, 10);
		last_seed = strtoull(argv[2], NULL, 10);
	}
	if (argc > 3)
		options.relays = (int)strtol(argv[3], NULL, 10);
	if (argc > 4)
		options.users = (int)strtol(argv[4], NULL, 10);
	if (argc > 5)
		options.burners = (int)strtol(argv[5], NULL, 10);
	if (ld_common_init() != LD_OK)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	return ld_test_main("config changes", cases);
}
