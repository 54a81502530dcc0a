/*
 * One lookup goes on crashing servers, whose machines fall silent: a request that ends
 * at its time-out is never held against its server. See claim.txt.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common-3/world.h"

#define MACHINES 3
#define SERVERS 10
#define STABLE_WINDOW_MS 3000
#define CRASHES 1024
#define RUNS_MAX 8
#define DEADLY "/look/berth/13"

static const char config[] =
    "{\"version\":1,\"route_table\":["
    "{\"name\":\"look\",\"host\":\"h\",\"prefix\":\"/look/\",\"type\":\"idempotent\","
    "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"ledger\","
    "\"max_attempts\":2,\"anonymous\":false}],"
    "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_connections\":400}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"quay\",\"api_keys\":[\"k1\"],\"priority\":1}]}";

int
main(int argc, char **argv)
{
	bool trouble = argc < 4 || strcmp(argv[3], "0") != 0;
	struct crash_kind kind = {.path = DEADLY, .silent = getenv("LOUD") == NULL};
	struct pace sound[MACHINES], deadly[MACHINES];
	size_t crash_count, late = 0, all_deadly = 0, served = 0, all = 0;
	long at[CRASHES], from_ms;
	char id[32], name[32], zone[32];

	world_open(argv[1], argv[2]);
	for (int r = 0; r < MACHINES; r++) {
		snprintf(name, sizeof(name), "edge-%c-1", "abc"[r]);
		snprintf(zone, sizeof(zone), "neng-%c", "abc"[r]);
		relay_add(name, zone);
	}
	for (int s = 0; s < SERVERS; s++) {
		snprintf(id, sizeof(id), "i-l%d", s);
		snprintf(zone, sizeof(zone), "neng-%c", "abc"[s % 3]);
		server_add(id, "ledger", zone, 20);
	}
	store_put("op/config", config);
	for (int r = 0; r < MACHINES; r++)
		relay_start(r, true);
	for (int r = 0; r < MACHINES; r++) {
		for (int i = 0; i < 200 && !relay_is_ready(r); i++)
			sleep_ms(50);
		if (!relay_is_ready(r))
			could_not_run("a relay is not ready");
	}
	sleep_ms(3000);
	if (trouble)
		server_crash_on(&kind);
	for (int r = 0; r < MACHINES; r++) {
		sound[r] = (struct pace){.relay = r, .method = "GET", .path = "/look/berth/7",
		    .every_ms = 50, .deadline_ms = 3000};
		deadly[r] = (struct pace){.relay = r, .method = "GET", .path = DEADLY,
		    .every_ms = 3000, .deadline_ms = 3000};
		pace_begin(&sound[r]);
	}
	sleep_ms(2000);
	for (int r = 0; r < MACHINES; r++) {
		pace_begin(&deadly[r]);
		sleep_ms(1000);
	}
	sleep_ms(30000);
	for (int r = 0; r < MACHINES; r++)
		sound[r].stop = deadly[r].stop = true;
	for (int r = 0; r < MACHINES; r++) {
		pace_end(&deadly[r]);
		pace_end(&sound[r]);
	}
	crash_count = crashes(at, CRASHES);
	from_ms = crash_count >= 3 ? at[2] + STABLE_WINDOW_MS : now_ms();
	for (int r = 0; r < MACHINES; r++) {
		for (size_t i = 0; i < deadly[r].count; i++) {
			struct run runs[RUNS_MAX];
			size_t n = runs_of(deadly[r].answers[i].id, runs, RUNS_MAX);

			all_deadly += n;
			for (size_t k = 0; trouble && k < n; k++)
				if (runs[k].at_ms > from_ms) {
					late++;
					record("BROKEN: %s (" DEADLY ") reached %s, sent by %s %ld "
					       "ms after it had crashed the third server",
					    runs[k].id, server_id(runs[k].server),
					    relay_name(runs[k].relay), runs[k].at_ms - at[2]);
				}
		}
		all += sound[r].count;
		for (size_t i = 0; i < sound[r].count; i++)
			served += sound[r].answers[i].code == 200;
	}
	record("%zu crashes; the request reached servers %zu times, %zu of them later than %d ms "
	       "after the third crash (allowed: 3); sound requests served: %zu of %zu",
	    crash_count, all_deadly, late, STABLE_WINDOW_MS, served, all);
	printf("trouble=%d: %zu crashes, the request reached servers %zu times too late "
	       "(allowed: 3), sound ones served: %zu of %zu\n",
	    trouble, crash_count, late, served, all);
	world_close();
	return late > 3 ? 1 : 0;
}
