/*
 * A deployment without fencing. Two orders to the head of a group get no answer
 * and are carried out late; meanwhile a member crashes, the group is closed, and
 * the member comes back. Does a server take a join of another group while the head
 * of its group is open? TROUBLE=0: no order is carried out late.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engines.h"

#define KEY "n2ctnfzs989anu6wsjnb"
/* A late order is carried out 2 to 12 s later. */
#define JOIN_LATE_MS 11000
#define OPEN_LATE_MS 11300
/* After the first join. */
#define CRASH_MS 6000
#define DARK_MS 8500
#define HEARTBEAT_MS 1200
#define END_MS 22000

static struct relay relays[2];
static char head[32];
static uint64_t first_join_ms;
static int joins, opens, orders;
static bool done;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* The first join and the first open to the head of the first group. */
static uint64_t
choose_late(struct engine *e, const char *operation, bool to_head)
{
	uint64_t late_ms = 0;

	pthread_mutex_lock(&lock);
	orders++;
	if (strcmp(operation, "join") == 0 && first_join_ms == 0)
		first_join_ms = now_ms();
	if (now_ms() > first_join_ms + 5500) {
		/* The trouble has ended. */
	} else if (strcmp(operation, "join") == 0 && to_head && head[0] == '\0') {
		snprintf(head, sizeof(head), "%s", e->id);
		joins++;
		late_ms = JOIN_LATE_MS;
	} else if (strcmp(operation, "open") == 0 && strcmp(head, e->id) == 0 &&
	    opens++ == 0) {
		late_ms = OPEN_LATE_MS;
	}
	pthread_mutex_unlock(&lock);
	return trouble() ? late_ms : 0;
}

static void *
run_clients(void *arg)
{
	for (int i = 0; !done; i++) {
		char raw[1024];
		struct resp a;
		int n = snprintf(raw, sizeof(raw),
		    "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		    "X-Attempt-Id: %016x\r\nX-Deadline-Ms: 6000\r\n"
		    "X-Model: " ENGINE_MODEL "\r\nX-Token-Count: 714,40\r\n"
		    "X-Prefix-Hash: 5c1e07a2:40,%08x:674\r\n"
		    "Authorization: Bearer " KEY "\r\nContent-Length: 2\r\n\r\nab",
		    i + 1, 0x91bd0000 + i);

		call(relays[i % 2].entry, raw, (size_t)n, 6000, &a);
		record("client id=%016x -> %d%s after %d ms", i + 1, a.code,
		    a.complete ? "" : " (no whole answer)", a.ms);
		resp_free(&a);
		sleep_ms(500);
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	static char config[8192];
	struct engine *lost = NULL;
	pthread_t clients;

	record_open(argv[1]);
	store_start();
	engine_fenced = false;
	engine_group_size = 4;
	engine_load_s = 16.0;
	engine_late = choose_late;
	snprintf(config, sizeof(config),
	    "{\"version\":7,\"route_table\":["
	    "{\"name\":\"r-fi6y7z5\",\"host\":\"ficu95.example\",\"prefix\":\"/pufi791/\","
	    "\"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"" ENGINE_SERVICE "\",\"max_attempts\":2,"
	    "\"anonymous\":false,\"session_affinity\":true,\"resumable\":true,"
	    "\"target_gap_ms\":300}],\"services\":[%s],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" KEY "\"],\"priority\":1}]}",
	    engine_service_json());
	store_put("op/config", config);
	engines_start(4);
	for (int i = 0; i < 2; i++) {
		relay_prepare(&relays[i], i == 0 ? "edge-dk-east-a-1" : "edge-dk-east-a-2",
		    "dk-east-a");
		relay_start(&relays[i], true);
	}
	wait_ready(&relays[0], 10000);
	wait_ready(&relays[1], 10000);
	for (int i = 0; first_join_ms == 0 || engines_open() == 0; i++) {
		if (i == 400)
			unfit("the group isn't open");
		sleep_ms(50);
	}
	record("the group is open, its head is %s", head);
	pthread_create(&clients, NULL, run_clients, NULL);
	while (now_ms() < first_join_ms + CRASH_MS)
		sleep_ms(10);
	for (int i = 0; i < engine_count && lost == NULL; i++)
		if (strcmp(engines[i].id, head) != 0)
			lost = &engines[i];
	engine_crash(lost);
	sleep_ms(3 * HEARTBEAT_MS);
	engine_entry_lapses(lost);
	sleep_ms(DARK_MS - 3 * HEARTBEAT_MS);
	engine_restart(lost);
	while (now_ms() < first_join_ms + END_MS)
		sleep_ms(10);
	done = true;
	pthread_join(clients, NULL);
	record("orders=%d late=%d; joins taken while the head of the server's group was "
	       "open=%d",
	    orders, trouble() ? joins + (opens > 0) : 0, engine_two);
	if (trouble() && (joins == 0 || opens == 0))
		unfit("no order fell into the trouble");
	finish(engine_two > 0);
}
