/*
 * Relays that hold the control lease in turn, killed, frozen and stopped, over
 * model servers that check that each is in one group.
 *
 * Usage: test_control_holders [RELAYS SECONDS SEED [large]]
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ld_engine_pool.h"
#include "ld_session.h"
#include "ld_test.h"

#define RELAYS_MAX 40
#define TICK_MS 20
#define START_MS 8000
#define FAULT_EVERY_MS 2500
#define STALL_TEXT "5000"

/** struct relay_process - one relay, and what was done to it */
struct relay_process {
	struct ld_proc *proc;
	char settings[128];
	uint64_t thaw_ms; /* 0: it runs */
	uint64_t start_ms; /* 0: it has been started */
};

static struct holders {
	struct ld_session session;
	struct ld_loop *loop;
	struct ld_kv_store *store;
	struct ld_engine_pool *pool;
	struct ld_rand rand;
	struct relay_process relays[RELAYS_MAX];
	char store_at[32];
	unsigned int faults;
} h;

static int relays = 5;
static uint64_t seconds = 45;
static uint64_t seed = 3;
static bool large;

static void
put_config(void)
{
	struct ld_buf b = {0};

	ld_buf_printf(&b,
	    "{\"version\":1,\"route_table\":[{\"name\":\"r1\",\"host\":\"h\","
	    "\"prefix\":\"/write/\",\"type\":\"streaming\",\"timeout_ms\":8000,"
	    "\"target_latency_ms\":400,\"priority\":1,\"service\":\"llm\","
	    "\"max_attempts\":2,\"anonymous\":true}],\"services\":[{\"name\":"
	    "\"llm\",\"max_connections\":400,\"engine\":%s}],\"limits\":{"
	    "\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[]}",
	    ld_engine_pool_config(large));
	ld_kv_store_put(h.store, "op/config", ld_buf_cstr(&b));
	ld_buf_free(&b);
}

static void
start_relay(int i)
{
	struct relay_process *r = &h.relays[i];
	const char *argv[] = {"relay", "-c", r->settings, NULL};
	char name[24], entry[32], ready[32];
	FILE *f;

	if (r->proc != NULL) {
		ld_respawn(&h.session, r->proc, "lavenderdrift", argv);
		return;
	}
	snprintf(name, sizeof(name), "relay%d", i);
	snprintf(r->settings, sizeof(r->settings), "%s/%s.json", h.session.dir,
	    name);
	ld_address_new(&h.session, entry);
	ld_address_new(&h.session, ready);
	f = fopen(r->settings, "we");
	if (f == NULL)
		abort();
	fprintf(f,
	    "{\"node\":{\"name\":\"n%d\",\"failure_domain\":\"z%d\","
	    "\"initial_start\":true},"
	    "\"entry\":{\"listen\":\"%s\"},\"readiness\":{\"listen\":\"%s\"},"
	    "\"peers\":{\"port\":7340},\"metrics\":{\"port\":7341},"
	    "\"store\":{\"address\":\"%s\"},\"bounds\":{\"stall_"
	    "ms\":" STALL_TEXT "}}",
	    i, i % 3, entry, ready, h.store_at);
	fclose(f);
	r->proc = ld_spawn(&h.session, name, "lavenderdrift", entry, argv);
}

static int
holder(void)
{
	const char *name = ld_kv_store_value(h.store, "lavenderdrift/control");

	return name != NULL ? (int)strtol(name + 1, NULL, 10) : -1;
}

/* Mostly the holder; the others are to be busy at times too. */
static void
harm_relay(uint64_t now)
{
	int i = holder();
	struct relay_process *r;

	if (i < 0 || ld_rand_below(&h.rand, 4) == 0)
		i = (int)ld_rand_below(&h.rand, (uint64_t)relays);
	r = &h.relays[i];
	if (r->thaw_ms != 0 || r->start_ms != 0)
		return;
	h.faults++;
	switch (ld_rand_below(&h.rand, 4)) {
	case 0:
		ld_kill(r->proc);
		r->start_ms = now + 500;
		break;
	case 1:
		ld_terminate(r->proc);
		r->start_ms = now + 3000;
		break;
	default:
		ld_freeze(r->proc);
		r->thaw_ms = now + 1000 + ld_rand_below(&h.rand, 4000);
		break;
	}
}

static void
restore_relays(uint64_t now)
{
	for (int i = 0; i < relays; i++) {
		struct relay_process *r = &h.relays[i];

		if (r->thaw_ms != 0 && now >= r->thaw_ms) {
			ld_thaw(r->proc);
			r->thaw_ms = 0;
		}
		if (r->start_ms == 0 || now < r->start_ms)
			continue;
		ld_kill(r->proc);
		start_relay(i);
		r->start_ms = 0;
	}
}

static void
run_world(void)
{
	uint64_t start = ld_loop_now(h.loop), now = start;
	uint64_t next_fault = start + START_MS;

	for (; now < start + seconds * 1000; now = ld_loop_now(h.loop)) {
		ld_loop_run_for(h.loop, TICK_MS);
		restore_relays(now);
		if (now < next_fault)
			continue;
		next_fault = now + FAULT_EVERY_MS / 2 +
		    ld_rand_below(&h.rand, FAULT_EVERY_MS);
		harm_relay(now);
		ld_engine_pool_crash(h.pool);
		ld_engine_pool_cut_off(h.pool);
	}
}

static void
test_one_group_at_a_time(void)
{
	struct ld_engine_pool_counts c;
	uint16_t port;

	ld_session_begin(&h.session, "holders");
	ld_rand_seed(&h.rand, seed);
	h.loop = ld_loop_new();
	port = ld_free_port();
	h.store = ld_kv_store_new(h.loop, port);
	CU_ASSERT_PTR_NOT_NULL_FATAL(h.store);
	ld_kv_store_expire_leases(h.store);
	snprintf(h.store_at, sizeof(h.store_at), "127.0.0.1:%u", port);
	put_config();
	h.pool = ld_engine_pool_new(h.loop, h.store, ld_free_port(),
	    large ? 25 : 6, large ? 35 : 11, 5, seed);
	for (int i = 0; i < relays; i++)
		start_relay(i);
	run_world();
	c = ld_engine_pool_counts(h.pool);
	printf("seed %llu, %d relays: %u joins in two groups, %u joins, %u "
	       "opens, %u orders, %u reports, %u faults, %u members serve\n",
	    (unsigned long long)seed, relays, c.two_groups, c.joins, c.opens,
	    c.orders, c.reports, h.faults, c.serving_members);
	CU_ASSERT_EQUAL(c.two_groups, 0);
	CU_ASSERT(c.opens > 0);
	for (int i = 0; i < relays; i++) {
		if (h.relays[i].thaw_ms != 0)
			ld_thaw(h.relays[i].proc);
		unlink(h.relays[i].settings);
	}
	ld_session_end(&h.session);
	ld_loop_run_for(h.loop, 200);
	ld_engine_pool_free(h.pool);
	ld_kv_store_free(h.store);
	ld_loop_free(h.loop);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"one group at a time", test_one_group_at_a_time},
	    {NULL, NULL},
	};

	if (argc > 3) {
		relays = (int)strtol(argv[1], NULL, 10);
		seconds = strtoull(argv[2], NULL, 10);
		seed = strtoull(argv[3], NULL, 10);
		large = argc > 4;
	}
	if (relays < 1 || relays > RELAYS_MAX || ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("control holders", cases);
}
