/* A plain service with one server, two accounts, and clients that use their keys. */
#ifndef REVOKED_H
#define REVOKED_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define KEY_KEPT "k3pt9zz1aaqqwwee"
#define KEY_TAKEN "t4k3n8yy2bbrrttuu"
#define REVOKE_MS 5000

static uint64_t taken_ms; /* the store acknowledged that the key is taken away */
static volatile unsigned int runs_taken; /* sent later than REVOKE_MS after it */
static volatile unsigned int asked, server_runs;

/* The server: runs what is sent to it, and names the time at which its client
 * sent it. */
static bool
serve(struct connection *c, struct message *m)
{
	char method[16], target[1024], id[512], tenant[512], sent[512];
	char fields[1200];
	uint64_t sent_ms;

	target_of(m, method, target);
	if (strcmp(field(m, "X-Expect-Instance", id), "i-000001") != 0 &&
	    id[0] != '\0')
		return answer(c, 421, "X-Instance-Id: i-000001\r\n", "");
	field(m, "X-Attempt-Id", id);
	field(m, "X-Tenant", tenant);
	sent_ms = strtoull(field(m, "X-Sent-Ms", sent), NULL, 10);
	server_runs++;
	if (taken_ms != 0 && strcmp(tenant, "account-taken") == 0) {
		record("server: runs %s of %s, sent %lld ms after its key was "
		       "taken away",
		    id, tenant, (long long)(sent_ms - taken_ms));
		runs_taken += sent_ms > taken_ms + REVOKE_MS;
	}
	snprintf(fields, sizeof(fields),
	    "X-Attempt-Id: %s\r\nX-Server-Signature: sig.%s\r\n", id, id);
	return answer(c, 200, fields, "done\n");
}

static void
put_config(struct store *s, int version, bool taken, unsigned int timeout_ms)
{
	char text[2048];

	snprintf(text, sizeof(text),
	    "{\"version\":%d,\"route_table\":[{\"name\":\"r-1\",\"host\":"
	    "\"desk.example\",\"prefix\":\"/look/\",\"type\":\"idempotent\","
	    "\"timeout_ms\":%u,\"target_latency_ms\":300,\"priority\":1,"
	    "\"service\":\"desk\",\"max_attempts\":2,\"anonymous\":false}],"
	    "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
	    "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"account-kept\",\"api_keys\":[\"%s\"],"
	    "\"priority\":1},{\"name\":\"account-taken\",\"api_keys\":[%s],"
	    "\"priority\":1}]}",
	    version, timeout_ms, KEY_KEPT,
	    taken ? "" : "\"" KEY_TAKEN "\"");
	record("operator: version %d, %s, acknowledged as revision %ld", version,
	    taken ? "without the key" : "with the key",
	    store_put(s, "op/config", text));
}

static uint16_t server_port;

static void
put_server(struct store *s, unsigned int sequence)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:%u\",\"zone\":"
	    "\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
	    "\"warmup_left_ms\":0,\"born\":1796500000000,\"sequence\":%u}",
	    server_port, sequence);
	store_put(s, "servers/i-000001", text);
}

static int
look(const struct relay *r, const char *key)
{
	struct message *m = malloc(sizeof(*m));
	char text[512];
	uint64_t sent = now_ms();
	int code;

	snprintf(text, sizeof(text),
	    "GET /look/%u HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: "
	    "a%08u\r\nX-Deadline-Ms: 3000\r\nX-Sent-Ms: %llu\r\n"
	    "Authorization: Bearer %s\r\n\r\n",
	    asked, asked, (unsigned long long)sent, key);
	code = ask(r->entry, text, 3500, m);
	if (taken_ms != 0)
		record("client: a%08u at %s with the key %s, %lld ms after one "
		       "was taken away: %d",
		    asked, r->name,
		    strcmp(key, KEY_KEPT) == 0 ? "kept" : "taken",
		    (long long)(sent - taken_ms), code);
	asked++;
	free(m);
	return code;
}

/* Both keys serve at @r. */
static void
check_served(const struct relay *r)
{
	uint64_t until = now_ms() + 5000;

	while (look(r, KEY_KEPT) != 200 || look(r, KEY_TAKEN) != 200) {
		if (now_ms() > until)
			world_cannot_run("the keys don't serve at first");
		sleep_ms(50);
	}
}

#endif
