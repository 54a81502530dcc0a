/*
 * Machines that are partitioned from all servers refuse callers, since they forward
 * requests to machines that refuse them for their own outdated keys, and don't ask
 * the next one. See claim.txt.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common-3/world.h"

#define MACHINES 8
#define STABLE_WINDOW_MS 3000
#define CUT_MS 9000

static const char config[] =
    "{\"version\":1,\"route_table\":["
    "{\"name\":\"book\",\"host\":\"h\",\"prefix\":\"/book/\",\"type\":\"non_idempotent\","
    "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"ledger\","
    "\"max_attempts\":1,\"anonymous\":false},"
    "{\"name\":\"look\",\"host\":\"h\",\"prefix\":\"/look/\",\"type\":\"idempotent\","
    "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"ledger\","
    "\"max_attempts\":2,\"anonymous\":false}],"
    "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_connections\":400}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"quay\",\"api_keys\":[\"k1\"],\"priority\":1}]}";

/* As in the site file: three, three and two in three zones. */
static const char *const names[MACHINES] = {"edge-a-1", "edge-a-2", "edge-a-3", "edge-b-1",
    "edge-b-2", "edge-b-3", "edge-c-1", "edge-c-2"};
static const int cut[] = {3, 4, 5}; /* all of one zone */
static const int turned_away[] = {0, 1, 6}; /* 0.35 of 8 */

static bool
is_among(const int *list, size_t n, int r)
{
	for (size_t i = 0; i < n; i++)
		if (list[i] == r)
			return true;
	return false;
}

static void
wait_until_ready(int n)
{
	for (int r = 0; r < n; r++) {
		for (int i = 0; i < 200 && !relay_is_ready(r); i++)
			sleep_ms(50);
		if (!relay_is_ready(r))
			could_not_run("a relay is not ready");
	}
}

int
main(int argc, char **argv)
{
	bool trouble = argc < 4 || strcmp(argv[3], "0") != 0;
	static struct pace paces[MACHINES][2];
	size_t sent[2] = {0}, served[2] = {0}, failed;
	char zone[32];
	long cut_ms;
	bool broken;

	world_open(argv[1], argv[2]);
	for (int r = 0; r < MACHINES; r++) {
		snprintf(zone, sizeof(zone), "zone-%c", names[r][5]);
		relay_add(names[r], zone);
	}
	server_add("i-l1", "ledger", "zone-a", 20);
	server_add("i-l2", "ledger", "zone-b", 20);
	server_add("i-l3", "ledger", "zone-c", 20);
	server_add("i-l4", "ledger", "zone-a", 20);
	store_put("op/config", config);
	for (int r = 0; r < MACHINES; r++)
		relay_start(r, true);
	wait_until_ready(MACHINES);
	sleep_ms(3000);
	for (int r = 0; r < MACHINES; r++) {
		paces[r][0] = (struct pace){.relay = r, .method = "GET",
		    .path = "/look/berth/7", .every_ms = 60, .deadline_ms = 3000};
		paces[r][1] = (struct pace){.relay = r, .method = "POST",
		    .path = "/book/crane/3", .every_ms = 120, .deadline_ms = 3000};
		for (int k = 0; k < 2; k++)
			pace_begin(&paces[r][k]);
	}
	sleep_ms(2000);
	cut_ms = now_ms();
	for (size_t i = 0; trouble && i < sizeof(cut) / sizeof(cut[0]); i++)
		relay_path(cut[i], false);
	for (size_t i = 0; trouble && i < sizeof(turned_away) / sizeof(turned_away[0]); i++)
		relay_view(turned_away[i], VIEW_BUSY);
	sleep_until_ms(cut_ms + CUT_MS);
	for (int r = 0; r < MACHINES; r++)
		for (int k = 0; k < 2; k++)
			paces[r][k].stop = true;
	for (int r = 0; r < MACHINES; r++)
		for (int k = 0; k < 2; k++)
			pace_end(&paces[r][k]);
	/* Machines in touch alone: those that the store turns away aren't. */
	for (int r = 0; r < MACHINES; r++) {
		bool is_cut = is_among(cut, sizeof(cut) / sizeof(cut[0]), r);

		if (is_among(turned_away, sizeof(turned_away) / sizeof(turned_away[0]), r))
			continue;
		for (int k = 0; k < 2; k++)
			for (size_t i = 0; i < paces[r][k].count; i++) {
				const struct answer *x = &paces[r][k].answers[i];

				if (x->sent_ms < cut_ms + STABLE_WINDOW_MS ||
				    x->sent_ms > cut_ms + CUT_MS)
					continue;
				sent[is_cut]++;
				served[is_cut] += x->code == 200 && x->is_signed;
			}
	}
	failed = sent[1] - served[1];
	/* Less than two thirds as often, and more than 10 + 1 in 50 of all first tries. */
	broken = 3 * served[1] * sent[0] < 2 * served[0] * sent[1] &&
	    failed > 10 + (sent[0] + sent[1]) / 50;
	record("%smachines that are cut off from all servers served %zu of %zu first tries, the "
	       "others in touch %zu of %zu",
	    broken ? "BROKEN: " : "", served[1], sent[1], served[0], sent[0]);
	printf("trouble=%d: the machines that are cut off served %zu of %zu first tries, the "
	       "others %zu of %zu\n",
	    trouble, served[1], sent[1], served[0], sent[0]);
	world_close();
	return broken ? 1 : 0;
}
