/*
 * Proper bookings get 413: the machine that took them forwards them to one that has
 * started while it can't reach the store. See claim.txt.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common-3/world.h"

#define MACHINES 17
#define STABLE_WINDOW_MS 3000

/* The first machines, all of zone-a. They follow the store through one of them, and the
 * stand-in of the store gives each machine its own paths to the servers: cutting one of
 * them cuts them all. */
#define CUT 3

static const char config[] =
    "{\"version\":1,\"route_table\":["
    "{\"name\":\"book\",\"host\":\"h\",\"prefix\":\"/book/\",\"type\":\"non_idempotent\","
    "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"ledger\","
    "\"max_attempts\":1,\"anonymous\":false},"
    "{\"name\":\"look\",\"host\":\"h\",\"prefix\":\"/look/\",\"type\":\"idempotent\","
    "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"ledger\","
    "\"max_attempts\":2,\"anonymous\":false},"
    "{\"name\":\"draft\",\"host\":\"h\",\"prefix\":\"/draft/\",\"type\":\"streaming\","
    "\"timeout_ms\":6000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"ledger\","
    "\"max_attempts\":2,\"anonymous\":false,\"resumable\":true,\"target_gap_ms\":200}],"
    "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_connections\":400}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"quay\",\"api_keys\":[\"k1\"],\"priority\":1}]}";

static void
wait_until_ready(int n)
{
	for (int r = 0; r < n; r++) {
		for (int i = 0; i < 400 && !relay_is_ready(r); i++)
			sleep_ms(50);
		if (!relay_is_ready(r))
			could_not_run("a relay is not ready");
	}
}

/* Killed, and turned away by the store when they start. */
static const int restarted[] = {1, 3, 4};
#define RESTARTED (sizeof(restarted) / sizeof(restarted[0]))

/* Kinds of requests in the proportions of the sheets. */
static const struct pace kinds[] = {
    {.method = "POST", .path = "/draft/plan/4", .every_ms = 22, .deadline_ms = 6000},
    {.method = "POST", .path = "/book/crane/3", .every_ms = 260, .deadline_ms = 3000},
    {.method = "GET", .path = "/look/berth/7", .every_ms = 650, .deadline_ms = 3000},
};
#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

static bool
is_own_4xx(const struct answer *x)
{
	return x->code >= 300 && x->code < 500 && x->code != 408 && x->code != 421 &&
	    x->code != 429 && !x->is_signed;
}

int
main(int argc, char **argv)
{
	bool trouble = argc < 4 || strcmp(argv[3], "0") != 0;
	static struct pace paces[MACHINES][KINDS];
	size_t all = 0, denied = 0, at_a = 0, served = 0;
	char name[32], zone[32];
	int a;

	world_open(argv[1], argv[2]);
	a = relay_add("edge-a-1", "zone-a");
	relay_add("edge-a-2", "zone-a");
	relay_add("edge-a-3", "zone-a");
	for (int i = 3; i < MACHINES; i++) {
		snprintf(zone, sizeof(zone), "zone-%c", "bc"[i % 2]);
		snprintf(name, sizeof(name), "edge-%c-%d", "bc"[i % 2], i / 2);
		relay_add(name, zone);
	}
	server_add("i-l1", "ledger", "zone-a", 20);
	server_add("i-l2", "ledger", "zone-b", 20);
	server_add("i-l3", "ledger", "zone-c", 20);
	server_add("i-l4", "ledger", "zone-a", 20);
	store_put("op/config", config);
	for (int r = 0; r < MACHINES; r++)
		relay_start(r, true);
	wait_until_ready(MACHINES);
	sleep_ms(4000);
	for (int r = 0; r < MACHINES; r++)
		for (size_t k = 0; k < KINDS; k++) {
			paces[r][k] = kinds[k];
			paces[r][k].relay = r;
			if (r != 1 && r != 3 && r != 4)
				pace_begin(&paces[r][k]);
		}
	sleep_ms(2000);
	for (int r = 0; trouble && r < CUT; r++)
		relay_path(r, false);
	sleep_ms(STABLE_WINDOW_MS);
	for (size_t i = 0; trouble && i < RESTARTED; i++) {
		relay_view(restarted[i], VIEW_BUSY);
		relay_signal(restarted[i], SIGKILL);
	}
	sleep_ms(500);
	for (size_t i = 0; trouble && i < RESTARTED; i++)
		relay_start(restarted[i], false);
	sleep_ms(7000);
	for (size_t i = 0; trouble && i < RESTARTED; i++)
		relay_view(restarted[i], VIEW_OK);
	for (int r = 0; trouble && r < CUT; r++)
		relay_path(r, true);
	for (int r = 0; r < MACHINES; r++)
		for (size_t k = 0; k < KINDS; k++)
			paces[r][k].stop = true;
	for (int r = 0; r < MACHINES; r++)
		for (size_t k = 0; k < KINDS; k++) {
			struct pace *p = &paces[r][k];

			if (p->thread == NULL)
				continue;
			pace_end(p);
			all += p->count;
			for (size_t i = 0; i < p->count; i++) {
				const struct answer *x = &p->answers[i];

				at_a += r == a;
				served += r == a && x->code == 200;
				if (!is_own_4xx(x))
					continue;
				denied++;
				record("BROKEN: %s (%s), a proper request sent to %s, was ended "
				       "with %d",
				    x->id, p->path, relay_name(r), x->code);
			}
		}
	record("%zu requests in all; of %zu at %s %zu were served; %zu were ended with a 4xx of "
	       "the system's own; allowed are %zu",
	    all, at_a, relay_name(a), served, denied, 5 + all / 500);
	printf("trouble=%d: %zu of %zu requests were ended with a 4xx of the system's own, "
	       "allowed are %zu\n",
	    trouble, denied, all, 5 + all / 500);
	world_close();
	return denied > 5 + all / 500 ? 1 : 0;
}
