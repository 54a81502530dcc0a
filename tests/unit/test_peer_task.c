/* The peer task over real sockets: several tasks in one process. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ld_ports.h"
#include "ld_test.h"
#include "ld_wire.h"
#include "peer_task.h"

#define TASKS 4
#define KEY ld_str_c(ld_run_key())
#define CHECK_MS 20
#define LIMIT_MS 15000

struct node {
	struct ld_peer_task *task;
	char address[32];
	uint64_t revision;
	struct ld_buf catalogue;
	struct ld_buf direct;
};

static struct ld_loop *loop;
static struct node nodes[TASKS];

/* ---- Waits for a condition; the limit is reached only on failure ---- */

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

static bool
wait_for(bool (*done)(void))
{
	struct wait w = {.timer.fn = on_check, .done = done};

	w.limit_ms = ld_loop_now(loop) + LIMIT_MS;
	ld_timer_start(ld_loop_timers(loop), &w.timer, ld_loop_now(loop) + 1);
	ld_loop_run(loop);
	return w.ok;
}

/* ---- Nodes ---- */

static void
on_catalogue(void *arg, uint64_t revision, struct ld_str bytes)
{
	struct node *n = arg;

	n->revision = revision;
	n->catalogue.len = 0;
	ld_buf_adds(&n->catalogue, bytes);
	ld_peer_task_confirm_catalogue(n->task, revision);
}

static void
on_direct(void *arg, struct ld_str from, uint64_t incarnation, uint32_t kind,
    struct ld_str bytes)
{
	struct node *n = arg;

	n->direct.len = 0;
	ld_buf_adds(&n->direct, bytes);
}

static void
start(int i, struct ld_str key)
{
	static const struct ld_peer_task_ops ops = {
	    .catalogue = on_catalogue, .direct = on_direct};
	struct ld_str seed = ld_str_c(nodes[0].address);
	struct ld_peer_task_config config = {
	    .listen = ld_str_c(nodes[i].address),
	    .advertise = ld_str_c(nodes[i].address),
	    .domain = i % 2 == 0 ? LD_STR("z0") : LD_STR("z1"),
	    .region = LD_STR("r0"),
	    .seeds = &seed,
	    .seed_count = 1,
	    .key = key,
	};

	CU_ASSERT_EQUAL_FATAL(
	    ld_peer_task_new(loop, &config, &ops, &nodes[i], &nodes[i].task),
	    LD_OK);
}

static void
start_all(void)
{
	loop = ld_loop_new();
	memset(nodes, 0, sizeof(nodes));
	for (int i = 0; i < TASKS; i++)
		ld_free_address(nodes[i].address);
	for (int i = 0; i < TASKS; i++)
		start(i, KEY);
}

static void
stop_all(void)
{
	for (int i = 0; i < TASKS; i++) {
		ld_peer_task_free(nodes[i].task);
		ld_buf_free(&nodes[i].catalogue);
		ld_buf_free(&nodes[i].direct);
	}
	ld_loop_free(loop);
}

static bool
all_joined(void)
{
	for (int i = 0; i < TASKS; i++) {
		if (ld_peers_alive_count(ld_peer_task_peers(nodes[i].task)) !=
		    TASKS)
			return false;
	}
	return true;
}

static bool
all_confirmed(void)
{
	return ld_peers_unconfirmed_count(
		   ld_peer_task_peers(nodes[1].task), 9, true, NULL, NULL) == 0;
}

static bool
direct_came(void)
{
	return nodes[3].direct.len > 0;
}

static void
test_join_catalogue_and_direct(void)
{
	struct ld_buf big = {0};

	start_all();
	CU_ASSERT_TRUE(wait_for(all_joined));
	ld_buf_reserve(&big, 1000000);
	memset(big.p, 'c', 1000000);
	big.len = 1000000;
	CU_ASSERT_EQUAL(
	    ld_peer_task_offer_catalogue(nodes[1].task, 9, ld_buf_str(&big)),
	    LD_OK);
	ld_peer_task_confirm_catalogue(nodes[1].task, 9);
	CU_ASSERT_TRUE(wait_for(all_confirmed));
	CU_ASSERT_EQUAL(nodes[3].catalogue.len, big.len);
	CU_ASSERT_EQUAL(ld_peer_task_send(nodes[2].task,
			    ld_str_c(nodes[3].address), 0, 4, LD_STR("hello")),
	    LD_OK);
	CU_ASSERT_TRUE(wait_for(direct_came));
	CU_ASSERT_TRUE(
	    ld_str_eq(ld_buf_str(&nodes[3].direct), LD_STR("hello")));
	ld_buf_free(&big);
	stop_all();
}

static uint64_t
refused(int i)
{
	struct ld_peer_task_counters c;

	ld_peer_task_counters(nodes[i].task, &c);
	return c.refused_auth + c.refused_replay + c.refused_protocol;
}

static bool
wrong_key_counted(void)
{
	return refused(0) > 0;
}

static void
test_wrong_key_stays_out(void)
{
	loop = ld_loop_new();
	memset(nodes, 0, sizeof(nodes));
	for (int i = 0; i < TASKS; i++)
		ld_free_address(nodes[i].address);
	start(0, KEY);
	start(1, LD_STR("another key of enough bytes"));
	CU_ASSERT_TRUE(wait_for(wrong_key_counted));
	CU_ASSERT_EQUAL(
	    ld_peers_alive_count(ld_peer_task_peers(nodes[0].task)), 1);
	stop_all();
}

static int
connect_to(const char *address)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port =
	    htons((uint16_t)strtoul(strchr(address, ':') + 1, NULL, 10));
	CU_ASSERT_FATAL(connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0);
	return fd;
}

static bool
silent_ended(void)
{
	struct ld_peer_task_counters c;

	ld_peer_task_counters(nodes[0].task, &c);
	return c.handshake_timeouts > 0;
}

static void
test_noise_and_silence_are_ended(void)
{
	char noise[512];
	int noisy, silent;

	start_all();
	CU_ASSERT_TRUE(wait_for(all_joined));
	memset(noise, 0x7f, sizeof(noise));
	noisy = connect_to(nodes[0].address);
	silent = connect_to(nodes[0].address);
	CU_ASSERT_EQUAL(
	    write(noisy, noise, sizeof(noise)), (ssize_t)sizeof(noise));
	CU_ASSERT_TRUE(wait_for(wrong_key_counted));
	CU_ASSERT_TRUE(wait_for(silent_ended));
	CU_ASSERT_TRUE(all_joined());
	close(noisy);
	close(silent);
	stop_all();
}

static bool
restart_seen(void)
{
	struct ld_peers_member m;

	return all_joined() &&
	    ld_peers_find(ld_peer_task_peers(nodes[0].task),
		ld_str_c(nodes[2].address), &m) == LD_OK &&
	    m.incarnation == ld_peer_task_incarnation(nodes[2].task);
}

static void
test_restart_supersedes(void)
{
	start_all();
	CU_ASSERT_TRUE(wait_for(all_joined));
	ld_peer_task_free(nodes[2].task);
	start(2, KEY);
	CU_ASSERT_TRUE(wait_for(restart_seen));
	CU_ASSERT_EQUAL(
	    ld_peers_member_count(ld_peer_task_peers(nodes[0].task)), TASKS);
	stop_all();
}

static void
test_bad_settings_are_refused(void)
{
	struct ld_peer_task_config config = {.listen = LD_STR("nowhere"),
	    .advertise = LD_STR("127.0.0.1:1"),
	    .key = KEY};
	struct ld_peer_task *t;

	loop = ld_loop_new();
	CU_ASSERT_EQUAL(
	    ld_peer_task_new(loop, &config, NULL, NULL, &t), LD_E_INVALID);
	config.listen = config.advertise;
	config.key = LD_STR("short");
	CU_ASSERT_EQUAL(
	    ld_peer_task_new(loop, &config, NULL, NULL, &t), LD_E_INVALID);
	ld_loop_free(loop);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"join, catalogue and direct", test_join_catalogue_and_direct},
	    {"a wrong key stays out", test_wrong_key_stays_out},
	    {"noise and silence are ended", test_noise_and_silence_are_ended},
	    {"a restart supersedes", test_restart_supersedes},
	    {"bad settings are refused", test_bad_settings_are_refused},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("peer task", cases);
}
