/*
 * A client sends a proper request with many header fields, well below
 * max_header_bytes. What do servers get? TROUBLE=0: the same with few fields.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define REQUESTS 20
/* Further header fields of a request: "X-Label-NNN: v", 16 bytes a line. */
#define FIELDS_MANY 120
#define FIELDS_FEW 5
#define KEY "n2ctnfzs989anu6wsjnb"
#define TENANT "hule930"

static const char config[] =
    "{\"version\":7,\"route_table\":["
    "{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"prefix\":\"/puxa403/\","
    "\"type\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":1,\"anonymous\":false}],"
    "\"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/health\","
    "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":1500,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"" TENANT "\",\"api_keys\":[\"" KEY "\"],\"priority\":1}]}";

struct server {
	const char *id;
	int port;
};

static int runs, wrong_tenant, no_expect, no_deadline;

/* A plain server as PROTOCOL.md says: it runs what names it, or names nobody. */
static bool
serve(struct req *q, void *arg)
{
	const struct server *s = arg;
	char attempt[64] = "", tenant[64] = "(none)", expect[64] = "(none)";
	char deadline[64] = "(none)";

	if (!field(q, "X-Attempt-Id", attempt, sizeof(attempt)))
		return sendf(q->fd,
		    "HTTP/1.1 400 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	field(q, "X-Tenant", tenant, sizeof(tenant));
	if (!field(q, "X-Expect-Instance", expect, sizeof(expect)))
		__atomic_add_fetch(&no_expect, 1, __ATOMIC_SEQ_CST);
	else if (strcmp(expect, s->id) != 0)
		return sendf(q->fd,
		    "HTTP/1.1 421 X\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\n"
		    "Content-Length: 0\r\n\r\n",
		    s->id, attempt);
	if (!field(q, "X-Deadline-Ms", deadline, sizeof(deadline)))
		__atomic_add_fetch(&no_deadline, 1, __ATOMIC_SEQ_CST);
	__atomic_add_fetch(&runs, 1, __ATOMIC_SEQ_CST);
	if (strcmp(tenant, TENANT) != 0)
		__atomic_add_fetch(&wrong_tenant, 1, __ATOMIC_SEQ_CST);
	record("server %s runs %s %s id=%s fields=%d X-Tenant=%s X-Expect-Instance=%s "
	       "X-Deadline-Ms=%s",
	    s->id, q->method, q->target, attempt, field_count(q), tenant, expect,
	    deadline);
	return sendf(q->fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: 3e1b.%s\r\n"
	    "Content-Length: 4\r\n\r\ndone",
	    attempt, attempt);
}

static void
put_server(const struct server *s)
{
	char key[64], value[512];

	snprintf(key, sizeof(key), "servers/%s", s->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"wuno96b\",\"address\":\"127.0.0.1:%d\",\"zone\":\"neng-a\","
	    "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"warmup_left_ms\":0,"
	    "\"stage\":\"both\",\"models\":[],\"sequence\":4,\"born\":1764900000000}",
	    s->port);
	store_put(key, value);
}

int
main(int argc, char **argv)
{
	static struct server servers[2] = {{.id = "i-7f3a91c2"}, {.id = "i-02d9e6b4"}};
	int fields = trouble() ? FIELDS_MANY : FIELDS_FEW, served = 0;
	struct relay r;

	record_open(argv[1]);
	store_start();
	store_put("op/config", config);
	for (int i = 0; i < 2; i++) {
		servers[i].port = free_port();
		listen_on(servers[i].port, serve, &servers[i]);
		put_server(&servers[i]);
	}
	relay_prepare(&r, "edge-neng-a-1", "neng-a");
	relay_start(&r, true);
	wait_ready(&r, 10000);
	sleep_ms(1500);
	for (int i = 0; i < REQUESTS; i++) {
		char raw[16384], id[32];
		struct resp a;
		int n;

		snprintf(id, sizeof(id), "%016x", 0x9c41d07b + i);
		n = snprintf(raw, sizeof(raw),
		    "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		    "X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
		    "Authorization: Bearer " KEY "\r\nContent-Length: 2\r\n",
		    id);
		for (int k = 0; k < fields; k++)
			n += snprintf(raw + n, sizeof(raw) - (size_t)n,
			    "X-Label-%03d: v\r\n", k);
		n += snprintf(raw + n, sizeof(raw) - (size_t)n, "\r\nab");
		call(r.entry, raw, (size_t)n, 3500, &a);
		served += a.code == 200;
		record("client id=%s head_bytes=%d fields=%d -> %d in %d ms", id, n - 4,
		    fields + 5, a.code, a.ms);
		resp_free(&a);
	}
	record("runs=%d X-Tenant wrong or absent=%d without X-Expect-Instance=%d "
	       "without X-Deadline-Ms=%d answered 200=%d",
	    runs, wrong_tenant, no_expect, no_deadline, served);
	if (runs == 0)
		unfit("no request was run");
	finish(wrong_tenant > 0);
}
