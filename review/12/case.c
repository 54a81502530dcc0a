/*
 * A part of prompts goes on crashing servers, since it stands behind the 32 parts that
 * the system looks at. See claim.txt.
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
#define BAD "deadbeef"

static const char config[] =
    "{\"version\":1,\"route_table\":["
    "{\"name\":\"draft\",\"host\":\"h\",\"prefix\":\"/draft/\",\"type\":\"streaming\","
    "\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"pool\","
    "\"max_attempts\":2,\"anonymous\":false,\"session_affinity\":true,\"resumable\":true,"
    "\"target_gap_ms\":200}],"
    "\"services\":[{\"name\":\"pool\",\"health_path\":\"/health\",\"max_connections\":400}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"quay\",\"api_keys\":[\"k1\"],\"priority\":1}]}";

/* Turns of the conversation that all requests share. */
static int turns = 34;

static void
write_prompt(char *out, size_t size, size_t own, bool bad)
{
	size_t n = (size_t)snprintf(out, size, "X-Model: m0\r\nX-Token-Count: %d,64\r\n"
					       "X-Prefix-Hash: ",
	    40 * (turns + 2));

	for (int i = 0; i < turns; i++)
		n += (size_t)snprintf(out + n, size - n, "%08x:40,", 0x5c1e0000 + i);
	if (bad)
		n += (size_t)snprintf(out + n, size - n, BAD ":40,");
	snprintf(out + n, size - n, "%08zx:40\r\n", own);
}

static void
sound_prompt(char *out, size_t size, size_t attempt)
{
	static size_t next = 0x10000000;

	write_prompt(out, size, __atomic_add_fetch(&next, 1, __ATOMIC_SEQ_CST), false);
}

static void
bad_prompt(char *out, size_t size, size_t attempt)
{
	write_prompt(out, size, 0x70000000 + attempt, true);
}

int
main(int argc, char **argv)
{
	bool trouble = argc < 4 || strcmp(argv[3], "0") != 0;
	struct pace sound[MACHINES], bad[MACHINES];
	size_t crash_count, late = 0, all_bad = 0, served = 0, all = 0;
	long at[CRASHES], from_ms;
	char id[32], name[32], zone[32];

	if (getenv("TURNS") != NULL)
		turns = atoi(getenv("TURNS"));
	world_open(argv[1], argv[2]);
	for (int r = 0; r < MACHINES; r++) {
		snprintf(name, sizeof(name), "edge-%c-1", "abc"[r]);
		snprintf(zone, sizeof(zone), "neng-%c", "abc"[r]);
		relay_add(name, zone);
	}
	for (int s = 0; s < SERVERS; s++) {
		snprintf(id, sizeof(id), "i-s%d", s);
		snprintf(zone, sizeof(zone), "neng-%c", "abc"[s % 3]);
		server_add(id, "pool", zone, 20);
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
		server_crash_on(&(struct crash_kind){.part = BAD});
	for (int r = 0; r < MACHINES; r++) {
		sound[r] = (struct pace){.relay = r, .method = "POST", .path = "/draft/plan/4",
		    .every_ms = 50, .deadline_ms = 6000, .fields = sound_prompt};
		bad[r] = (struct pace){.relay = r, .method = "POST", .path = "/draft/plan/4",
		    .every_ms = 3000, .deadline_ms = 6000, .fields = bad_prompt};
		pace_begin(&sound[r]);
	}
	sleep_ms(2000);
	for (int r = 0; r < MACHINES; r++) {
		pace_begin(&bad[r]);
		sleep_ms(1000);
	}
	sleep_ms(30000);
	for (int r = 0; r < MACHINES; r++)
		sound[r].stop = bad[r].stop = true;
	for (int r = 0; r < MACHINES; r++) {
		pace_end(&bad[r]);
		pace_end(&sound[r]);
	}
	crash_count = crashes(at, CRASHES);
	from_ms = crash_count >= 5 ? at[4] + STABLE_WINDOW_MS : now_ms();
	for (int r = 0; r < MACHINES; r++) {
		for (size_t i = 0; i < bad[r].count; i++) {
			struct run runs[RUNS_MAX];
			size_t n = runs_of(bad[r].answers[i].id, runs, RUNS_MAX);

			all_bad += n;
			for (size_t k = 0; trouble && k < n; k++)
				if (runs[k].at_ms > from_ms) {
					late++;
					record("BROKEN: %s with the part " BAD " reached %s, sent "
					       "by %s %ld ms after the fifth crash",
					    runs[k].id, server_id(runs[k].server),
					    relay_name(runs[k].relay), runs[k].at_ms - at[4]);
				}
		}
		all += sound[r].count;
		for (size_t i = 0; i < sound[r].count; i++)
			served += sound[r].answers[i].code == 200;
	}
	record("%zu crashes; requests with the part reached servers %zu times, %zu of them later "
	       "than %d ms after the fifth crash (allowed: 3); sound requests served: %zu of %zu",
	    crash_count, all_bad, late, STABLE_WINDOW_MS, served, all);
	printf("trouble=%d: %zu crashes, %zu requests with the part reached servers too late "
	       "(allowed: 3), sound ones served: %zu of %zu\n",
	    trouble, crash_count, late, served, all);
	world_close();
	return late > 3 ? 1 : 0;
}
