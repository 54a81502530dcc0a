/*
 * Peer tasks in separate processes, under SIGSTOP, SIGCONT and SIGKILL. The
 * parent runs a node too and checks its member list.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_ports.h"
#include "ld_test.h"
#include "peer_task.h"

#define NODES 6 /* the first is the parent's */
#define CHECK_MS 20
#define LIMIT_MS 30000
#define CATALOGUE_LIMIT_MS 4000
#define VICTIM 3

static const char *run_key; /* of all processes of this run */
static char addresses[NODES][32];
static pid_t pids[NODES];
static struct ld_loop *loop;
static struct ld_peer_task *task;
static struct ld_peers_member seen; /* the victim, as last found */

/* ---- Processes ---- */

static void
on_catalogue(void *arg, uint64_t revision, struct ld_str bytes)
{
	ld_peer_task_confirm_catalogue(task, revision);
}

static void
start_task(int i)
{
	static const struct ld_peer_task_ops ops = {.catalogue = on_catalogue};
	struct ld_str seeds[] = {
	    ld_str_c(addresses[0]), ld_str_c(addresses[1])};
	struct ld_peer_task_config config = {
	    .listen = ld_str_c(addresses[i]),
	    .advertise = ld_str_c(addresses[i]),
	    .domain = i % 2 == 0 ? LD_STR("z0") : LD_STR("z1"),
	    .region = LD_STR("r0"),
	    .seeds = seeds,
	    .seed_count = 2,
	    .key = ld_str_c(run_key),
	};

	loop = ld_loop_new();
	if (ld_peer_task_new(loop, &config, &ops, NULL, &task) != LD_OK) {
		printf("node %d: %s\n", i, ld_last_message());
		_exit(2);
	}
}

static void
start_process(int i)
{
	fflush(stdout);
	pids[i] = fork();
	CU_ASSERT_FATAL(pids[i] >= 0);
	if (pids[i] > 0)
		return;
	start_task(i);
	ld_loop_run(loop);
	_exit(0);
}

static void
kill_process(int i)
{
	kill(pids[i], SIGKILL);
	waitpid(pids[i], NULL, 0);
	pids[i] = 0;
}

static void
start_all(void)
{
	for (int i = 0; i < NODES; i++)
		ld_free_address(addresses[i]);
	for (int i = 1; i < NODES; i++)
		start_process(i);
	start_task(0);
}

static void
stop_all(void)
{
	for (int i = 1; i < NODES; i++)
		kill_process(i);
	ld_peer_task_free(task);
	ld_loop_free(loop);
}

/* ---- Waiting, with a limit that only ends a failure ---- */

struct wait {
	struct ld_timer timer;
	bool (*done)(void);
	uint64_t limit_ms;
	bool ok;
};

static void
on_check(struct ld_timer *t, uint64_t now_ms)
{
	struct wait *w = (struct wait *)t;

	w->ok = w->done();
	if (w->ok || now_ms >= w->limit_ms)
		ld_loop_stop(loop);
	else
		ld_timer_after(ld_loop_timers(loop), t, CHECK_MS);
}

/* What the parent's node knows, and which processes still run. */
static void
print_state(void)
{
	const struct ld_peers *p = ld_peer_task_peers(task);
	struct ld_peers_member m;

	printf("gave up: %zu alive of %zu members\n", ld_peers_alive_count(p),
	    ld_peers_member_count(p));
	for (int i = 0; i < NODES; i++) {
		bool known =
		    ld_peers_find(p, ld_str_c(addresses[i]), &m) == LD_OK;
		int status = 0;
		bool ended = i > 0 && waitpid(pids[i], &status, WNOHANG) != 0;

		printf("  node %d at %s: state %d incarnation %llu, %s %d\n", i,
		    addresses[i], known ? (int)m.state : -1,
		    known ? (unsigned long long)m.incarnation : 0ULL,
		    ended ? "ended with status" : "runs", status);
	}
}

/* Return: ms it took, or UINT64_MAX. */
static uint64_t
wait_for(bool (*done)(void))
{
	struct wait w = {.timer.fn = on_check, .done = done};
	uint64_t begin = ld_loop_now(loop);

	w.limit_ms = begin + LIMIT_MS;
	ld_timer_start(ld_loop_timers(loop), &w.timer, begin + 1);
	ld_loop_run(loop);
	if (!w.ok)
		print_state();
	return w.ok ? ld_loop_now(loop) - begin : UINT64_MAX;
}

static bool
victim_is(enum ld_peers_state state)
{
	return ld_peers_find(ld_peer_task_peers(task),
		   ld_str_c(addresses[VICTIM]), &seen) == LD_OK &&
	    seen.state == state;
}

static bool
victim_is_dead(void)
{
	return victim_is(LD_PEERS_DEAD);
}

static bool
victim_is_alive(void)
{
	return victim_is(LD_PEERS_ALIVE);
}

static bool
all_alive(void)
{
	return ld_peers_alive_count(ld_peer_task_peers(task)) == NODES;
}

static bool
all_confirmed(void)
{
	return ld_peers_unconfirmed_count(
		   ld_peer_task_peers(task), 5, true, NULL, NULL) == 0;
}

/* ---- Tests ---- */

static void
test_frozen_process_returns(void)
{
	uint64_t incarnation, took;

	start_all();
	CU_ASSERT(wait_for(all_alive) != UINT64_MAX);
	CU_ASSERT_TRUE(victim_is_alive());
	incarnation = seen.incarnation;
	kill(pids[VICTIM], SIGSTOP);
	took = wait_for(victim_is_dead);
	printf("frozen: dead after %llu ms ", (unsigned long long)took);
	CU_ASSERT(took != UINT64_MAX);
	CU_ASSERT_EQUAL(ld_peers_member_count(ld_peer_task_peers(task)), NODES);
	/* A change made meanwhile reaches it when it returns. */
	ld_peer_task_offer_catalogue(task, 5, LD_STR("{}"));
	ld_peer_task_confirm_catalogue(task, 5);
	kill(pids[VICTIM], SIGCONT);
	took = wait_for(all_confirmed);
	printf("resumed: confirmed after %llu ms ", (unsigned long long)took);
	CU_ASSERT(took < CATALOGUE_LIMIT_MS);
	CU_ASSERT(wait_for(all_alive) != UINT64_MAX);
	CU_ASSERT_TRUE(victim_is_alive());
	CU_ASSERT_EQUAL(seen.incarnation, incarnation);
	stop_all();
}

static void
test_killed_process_is_replaced(void)
{
	uint64_t incarnation, took;

	start_all();
	CU_ASSERT(wait_for(all_alive) != UINT64_MAX);
	CU_ASSERT_TRUE(victim_is_alive());
	incarnation = seen.incarnation;
	kill_process(VICTIM);
	took = wait_for(victim_is_dead);
	printf("killed: dead after %llu ms ", (unsigned long long)took);
	CU_ASSERT(took != UINT64_MAX);
	CU_ASSERT_EQUAL(ld_peers_member_count(ld_peer_task_peers(task)), NODES);
	start_process(VICTIM);
	CU_ASSERT(wait_for(all_alive) != UINT64_MAX);
	CU_ASSERT_TRUE(victim_is_alive());
	CU_ASSERT_NOT_EQUAL(seen.incarnation, incarnation);
	CU_ASSERT_EQUAL(ld_peers_member_count(ld_peer_task_peers(task)), NODES);
	stop_all();
}

static bool
alone(void)
{
	return ld_peers_isolated(ld_peer_task_peers(task));
}

/* A node cut off from all others declares no member dead. */
static void
test_isolated_process_buries_nobody(void)
{
	struct ld_peer_task_counters c;

	start_all();
	CU_ASSERT(wait_for(all_alive) != UINT64_MAX);
	for (int i = 1; i < NODES; i++)
		kill(pids[i], SIGSTOP);
	CU_ASSERT(wait_for(alone) != UINT64_MAX);
	for (int i = 1; i < NODES; i++)
		kill(pids[i], SIGCONT);
	CU_ASSERT(wait_for(all_alive) != UINT64_MAX);
	ld_peer_task_counters(task, &c);
	CU_ASSERT_EQUAL(c.peers.deaths, 0);
	stop_all();
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"a frozen process returns", test_frozen_process_returns},
	    {"a killed process is replaced", test_killed_process_is_replaced},
	    {"an isolated process buries nobody",
		test_isolated_process_buries_nobody},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	run_key = ld_run_key();
	return ld_test_main("peer processes", cases);
}
