/*
 * Memory of a relay while many servers send without end, or clients take nothing:
 * measured at the released binary, as the sanitizers take memory of their own.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_raw_server.h"
#include "ld_relay_session.h"

/* Memory that the relay may use. */
#define MEMORY_MB 64
#define KB_PER_MB 1024UL
#define REQUESTS 60
#define LOOKUPS 40
#define LOOKUP_INTERVAL_MS 50
/* The route's timeout_ms of lookups and the time after it, ms. */
#define ANSWER_MS 3500

#define HEAD                                                 \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " RELAY_REQUEST_ID \
	"\r\nX-Server-Signature: s\r\n"
#define STREAM_HEAD HEAD "Content-Type: text/event-stream\r\n\r\n"
#define PLAIN_HEAD HEAD "\r\n"
#define ERROR_HEAD \
	"HTTP/1.1 500 No\r\nX-Attempt-Id: " RELAY_REQUEST_ID "\r\n\r\n"

static struct raw_server raw;
static struct client clients[REQUESTS], lookups[LOOKUPS];

/* The most memory that the process has used, kB. */
static unsigned long
peak_kb(void)
{
	char path[64], line[128];
	unsigned long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)relay);
	f = fopen(path, "re");
	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	while (fgets(line, sizeof(line), f) != NULL)
		if (sscanf(line, "VmHWM: %lu", &kb) == 1)
			break;
	fclose(f);
	return kb;
}

static void
end_client(struct client *c)
{
	if (!c->done)
		ld_http_cancel(c->call);
	ld_buf_free(&c->body);
}

/* One lookup after another, at the sound server. */
static unsigned int
served_lookups(void)
{
	unsigned int n = 0;

	for (int i = 0; i < LOOKUPS; i++) {
		start_at(&lookups[i], relay_address, "GET", "/open/a", "");
		run_for(LOOKUP_INTERVAL_MS);
	}
	for (int i = 0, ms = 0; i < LOOKUPS && ms < ANSWER_MS; ms += 10) {
		run_for(10);
		while (i < LOOKUPS && lookups[i].done)
			i++;
	}
	for (int i = 0; i < LOOKUPS; i++) {
		n += lookups[i].code == 200;
		end_client(&lookups[i]);
	}
	return n;
}

/* From now on peak_kb() counts anew. */
static void
reset_peak(void)
{
	char path[64];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/clear_refs", (int)relay);
	f = fopen(path, "we");
	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	fputs("5", f);
	fclose(f);
}

/* The server has a new id, as the relay passes over one that has failed. */
static void
list_anew(void)
{
	static int number;
	char key[32];

	snprintf(key, sizeof(key), "servers/%s", raw.entry.id);
	ld_kv_store_delete(store, key);
	snprintf(raw.entry.id, sizeof(raw.entry.id), "f-%d", ++number);
	list_servers(&raw.entry, true);
}

/* REQUESTS requests at once get @head and @again without end, beside lookups. */
static void
play(const char *name, const char *method, const char *path, const char *head,
    const char *again)
{
	struct raw_step script[REQUESTS * 2 + 1];
	unsigned int served;
	int n = 0;

	for (unsigned int i = 0; i < REQUESTS; i++) {
		script[n++] = (struct raw_step){i, 0, head, RAW_KEEP};
		script[n++] = (struct raw_step){i, 0, again, RAW_ENDLESS};
	}
	script[n] = (struct raw_step){0};
	raw_server_play(&raw, script);
	list_anew();
	reset_peak();
	for (int i = 0; i < REQUESTS; i++)
		start_at(&clients[i], relay_address, method, path, "k1");
	served = served_lookups();
	printf("%s: %u of %d lookups served, peak %lu kB, %u requests at the "
	       "server\n",
	    name, served, LOOKUPS, peak_kb(), raw.requests);
	CU_ASSERT(served * 10 >= LOOKUPS * 9);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), 0);
	CU_ASSERT(peak_kb() < MEMORY_MB * KB_PER_MB);
	for (int i = 0; i < REQUESTS; i++)
		end_client(&clients[i]);
	run_for(500);
	CU_ASSERT_EQUAL(raw.endless, 0);
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_bodies_without_end(void)
{
	static char program[4200];

	snprintf(program, sizeof(program), "%.*s/../lavenderdrift",
	    (int)(strrchr(relay_program, '/') - relay_program), relay_program);
	CU_ASSERT_EQUAL_FATAL(access(program, X_OK), 0);
	relay_node_settings = ",\"memory_mb\":64";
	open_all(program);
	raw_server_open(&raw, session_loop(), "f-0");
	wait_until_serving();
	play("plain bodies", "GET", "/look/a", PLAIN_HEAD, "bytes and bytes ");
	play("errors", "POST", "/events/a", ERROR_HEAD, "bytes and bytes ");
}

static void
test_streams_without_end(void)
{
	play("comments", "POST", "/events/a", STREAM_HEAD, ": ping\n\n");
	play("events", "POST", "/events/a", STREAM_HEAD, "data: some text\n\n");
	play("no event", "POST", "/events/a", STREAM_HEAD, "data: some text\n");
}

/* Clients that send their request and read nothing. */
static void
test_clients_that_take_nothing(void)
{
	static const struct raw_step script[] = {
	    {0, 0, STREAM_HEAD, RAW_KEEP},
	    {0, 0, "data: some text\n\n", RAW_ENDLESS},
	    {0},
	};
	struct sockaddr_in a = {.sin_family = AF_INET};
	int fds[REQUESTS];

	raw_server_play(&raw, script);
	list_anew();
	reset_peak();
	a.sin_port = htons((uint16_t)atoi(strchr(relay_address, ':') + 1));
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < REQUESTS; i++) {
		static const char text[] =
		    "POST /once/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
		    "X-Attempt-Id: " RELAY_REQUEST_ID "\r\n"
		    "X-Deadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n\r\n";

		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		CU_ASSERT_EQUAL_FATAL(
		    connect(fds[i], (struct sockaddr *)&a, sizeof(a)), 0);
		CU_ASSERT_EQUAL(send(fds[i], text, strlen(text), MSG_NOSIGNAL),
		    (ssize_t)strlen(text));
	}
	run_for(3000);
	printf("clients that take nothing: peak %lu kB\n", peak_kb());
	CU_ASSERT(peak_kb() < MEMORY_MB * KB_PER_MB);
	for (int i = 0; i < REQUESTS; i++)
		close(fds[i]);
	run_for(3000);
}

static void
test_end(void)
{
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
	raw_server_close(&raw);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"bodies without end", test_bodies_without_end},
	    {"streams without end", test_streams_without_end},
	    {"clients that take nothing", test_clients_that_take_nothing},
	    {"the relay stops", test_end},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "memory", cases);
}
