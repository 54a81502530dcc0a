/*
 * The head of a group and one of four entry machines are partitioned from the store
 * and from the other machines; connections across the cut are refused. The head
 * stays open. Does another member take a join of another group meanwhile?
 * TROUBLE=0: no cut.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engines.h"

#define KEY "n2ctnfzs989anu6wsjnb"
#define RELAYS 4
#define SERVERS 5
#define CUT_MS 10000
#define HEARTBEAT_MS 1200

static struct relay relays[RELAYS];
static int apart; /* the machine on the side of the head */
static bool done;

static void *
run_clients(void *arg)
{
	for (int i = 0; !done; i++) {
		char raw[1024];
		struct resp a;
		int k = i % RELAYS;
		int n = snprintf(raw, sizeof(raw),
		    "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		    "X-Attempt-Id: %016x\r\nX-Deadline-Ms: 6000\r\n"
		    "X-Model: " ENGINE_MODEL "\r\nX-Token-Count: 714,40\r\n"
		    "X-Prefix-Hash: 5c1e07a2:40,%08x:674\r\n"
		    "Authorization: Bearer " KEY "\r\nContent-Length: 2\r\n\r\nab",
		    i + 1, 0x91bd0000 + i);

		call(relays[k].entry, raw, (size_t)n, 6000, &a);
		record("client id=%016x at %s -> %d%s after %d ms", i + 1, relays[k].name,
		    a.code, a.complete ? "" : " (no whole answer)", a.ms);
		resp_free(&a);
		sleep_ms(200);
	}
	return NULL;
}

static struct engine *
open_head(void)
{
	for (int i = 0; i < engine_count; i++)
		if (engines[i].state == 4)
			return &engines[i];
	return NULL;
}

int
main(int argc, char **argv)
{
	static char config[8192];
	char leader[64] = "";
	struct engine *head;
	pthread_t clients;

	record_open(argv[1]);
	store_start();
	snprintf(config, sizeof(config),
	    "{\"version\":7,\"route_table\":["
	    "{\"name\":\"r-fi6y7z5\",\"host\":\"ficu95.example\",\"prefix\":\"/pufi791/\","
	    "\"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"" ENGINE_SERVICE "\",\"max_attempts\":2,"
	    "\"anonymous\":false,\"session_affinity\":true,\"resumable\":true,"
	    "\"target_gap_ms\":200}],\"services\":[%s],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" KEY "\"],\"priority\":1}]}",
	    engine_service_json());
	store_put("op/config", config);
	engine_one_domain = true;
	engines_start(SERVERS);
	for (int i = 0; i < RELAYS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "edge-neng-a-%d", i + 1);
		relay_prepare(&relays[i], name, "neng-a");
		relays[i].view = i;
		relay_start(&relays[i], true);
	}
	for (int i = 0; i < RELAYS; i++)
		wait_ready(&relays[i], 10000);
	for (int i = 0; (head = open_head()) == NULL; i++) {
		if (i == 400)
			unfit("the group isn't open");
		sleep_ms(50);
	}
	if (!store_get("lavenderdrift/control", leader, sizeof(leader)))
		unfit("nobody leads");
	while (strcmp(relays[apart].name, leader) == 0)
		apart++;
	record("the group is open, its head is %s; %s leads, %s is to be cut off with the "
	       "head",
	    head->id, leader, relays[apart].name);
	pthread_create(&clients, NULL, run_clients, NULL);
	sleep_ms(6000);
	if (trouble()) {
		head->cut_from_store = true;
		store_cut_off(apart, true);
		for (int k = 0; k < RELAYS; k++)
			if (k != apart)
				engine_refuse(head, k);
		record("cut: %s and %s from the store and from the others", head->id,
		    relays[apart].name);
	}
	sleep_ms(3 * HEARTBEAT_MS);
	if (trouble())
		engine_entry_lapses(head);
	sleep_ms(CUT_MS - 3 * HEARTBEAT_MS);
	record("end of the cut; %s is %s", head->id, head->state == 4 ? "open" : "not open");
	done = true;
	pthread_join(clients, NULL);
	record("joins taken while the head of the server's group was open=%d", engine_two);
	finish(engine_two > 0);
}
