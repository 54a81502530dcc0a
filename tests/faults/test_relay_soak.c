/*
 * Relays under faults that overlap, by seed.
 *
 * Usage: test_relay_soak [FIRST_SEED LAST_SEED [SECONDS]]
 * Without arguments: all seeds that have failed. LD_SOAK_VERBOSE=1 prints each
 * fault.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_soak.h"
#include "ld_test.h"

#define TICK_MS 5
#define DEFAULT_SECONDS 10
/* Time after the start in which relays need not serve yet, ms. */
#define START_MS 2000

static uint64_t seconds = DEFAULT_SECONDS;

static void
tick(struct soak *s)
{
	ld_loop_run_for(s->loop, TICK_MS);
	soak_work_tick(s);
	soak_servers_tick(s);
	soak_watch_processes(s);
}

/* Each relay serves each kind of request again within the bound. */
static void
check_recovery(struct soak *s)
{
	uint64_t until = soak_now(s) + SOAK_RECOVERY_MS + SOAK_SLACK_MS;
	int key = 0;

	while (!s->keys[key].in_force)
		key++;
	for (int relay = 0; relay < SOAK_RELAYS; relay++) {
		for (int kind = 0; kind < SOAK_KINDS; kind++) {
			struct soak_attempt *a = NULL;

			while (soak_now(s) < until) {
				if (a == NULL || a->done)
					a = soak_send(s, (enum soak_kind)kind,
					    relay, key);
				tick(s);
				if (a->done && a->status == LD_OK &&
				    a->code == 200)
					break;
			}
			if (a == NULL || !a->done || a->code != 200)
				soak_broken(s, a,
				    "a relay does not serve again in time");
		}
	}
}

static void
play(uint64_t seed)
{
	static struct soak s;
	uint64_t until;

	soak_open(&s, seed);
	until = soak_now(&s) + START_MS;
	while (soak_now(&s) < until)
		tick(&s);
	until = soak_now(&s) + seconds * 1000;
	while (soak_now(&s) < until) {
		soak_client_tick(&s);
		soak_fault_tick(&s, until);
		tick(&s);
	}
	soak_faults_end(&s);
	check_recovery(&s);
	printf(
	    "seed %llu: %u requests, %u faults, served %u %u %u, %u crashes by "
	    "a prompt, %u late arrivals, %u ends around a SIGTERM, %u "
	    "probes%s\n",
	    (unsigned long long)seed, s.attempt_count, s.faults,
	    s.answered[SOAK_LOOK], s.answered[SOAK_BOOK],
	    s.answered[SOAK_STREAM], s.crashes, s.arrivals_after, s.ends_judged,
	    s.probes, s.session.failed ? " BROKEN" : "");
	/* Without answered requests the run would check nothing. */
	for (int i = 0; i < SOAK_KINDS; i++)
		CU_ASSERT(s.answered[i] * 10 >= s.attempt_count / SOAK_KINDS);
	soak_close(&s);
}

/** struct past - a seed that failed once, and why */
struct past {
	uint64_t seed;
	const char *cause;
};

static const struct past past[] = {
    {3, "the soak: a forwarder that cuts drops what a server has written"},
    {10, "a request that came while a relay ended read a feed that was freed"},
    {12,
	"the soak: a key was used before its configuration had to be in force"},
};

static uint64_t first_seed, last_seed;

static void
test_seeds(void)
{
	for (uint64_t seed = first_seed; seed <= last_seed; seed++)
		play(seed);
}

static void
test_past_seeds(void)
{
	for (size_t i = 0; i < sizeof(past) / sizeof(past[0]); i++) {
		printf("seed %llu, failed once: %s\n",
		    (unsigned long long)past[i].seed, past[i].cause);
		play(past[i].seed);
	}
}

static void
test_crashing_prompts(void)
{
	for (uint64_t seed = SOAK_PROMPT_SEEDS; seed < SOAK_PROMPT_SEEDS + 2;
	     seed++)
		play(seed);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case given[] = {
	    {"promises under faults", test_seeds},
	    {NULL, NULL},
	};
	static const struct ld_test_case cases[] = {
	    {"seeds that failed once", test_past_seeds},
	    {"prompts that crash servers", test_crashing_prompts},
	    {NULL, NULL},
	};

	if (argc > 2) {
		first_seed = strtoull(argv[1], NULL, 10);
		last_seed = strtoull(argv[2], NULL, 10);
	}
	if (argc > 3)
		seconds = strtoull(argv[3], NULL, 10);
	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("relay soak", argc > 2 ? given : cases);
}
