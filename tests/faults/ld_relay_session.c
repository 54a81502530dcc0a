/* Client, store and servers around one relay. */
#include <fcntl.h>
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_relay_session.h"
#include "ld_session.h"

/* A step that takes longer than this has failed, ms. */
#define STEP_LIMIT_MS 15000
#define FIELDS_MAX 512

struct server servers[SERVERS];
struct ld_kv_store *store;
pid_t relay;
char relay_address[32];
char metrics_address[32];
char peers_address[32];
unsigned int relay_max_body_bytes = 65536;
struct ld_str relay_request_body = {"x=1", 3};
char relay_program[4096];
const char *relay_node_settings = "";
const char *relay_service_settings = "";

static struct ld_loop *loop;
static struct ld_http *http;
static char settings_path[] = "/tmp/ld_relay_test_XXXXXX";
static char second_path[] = "/tmp/ld_relay_test_XXXXXX";
static const char *program;
static uint16_t first_peers;
static const char *const no_fields[] = {NULL};

/* ---- The loop ---- */

void
run_for(uint64_t ms)
{
	ld_loop_run_for(loop, ms);
}

/* ---- Servers ---- */

static void
server_open(struct server *s, int number)
{
	CU_ASSERT_EQUAL_FATAL(
	    relay_server_open(s, loop, ld_free_port()), LD_OK);
	snprintf(s->id, sizeof(s->id), "i-%d", number);
	put_entry(s, 0);
}

void
put_entry_in_zone(const struct server *s, const char *zone, int sequence)
{
	char key[32], born[48] = "", value[256];

	snprintf(key, sizeof(key), "servers/%s", s->id);
	if (s->born != 0)
		snprintf(
		    born, sizeof(born), ",\"born\":%lld", (long long)s->born);
	snprintf(value, sizeof(value),
	    "{\"service\":\"desk\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"slots\":6,\"state\":\"ready\",\"version\":\"v1\","
	    "\"warmup_left_ms\":%u,\"sequence\":%d%s}",
	    s->address, zone, s->warmup_left_ms, sequence, born);
	ld_kv_store_put(store, key, value);
}

void
put_entry(const struct server *s, int sequence)
{
	put_entry_in_zone(s, "z1", sequence);
}

void
list_servers(const struct server *other, bool with_sound)
{
	ld_kv_store_delete(store, "servers/i-0");
	if (with_sound)
		put_entry(&servers[1], 0);
	else
		ld_kv_store_delete(store, "servers/i-1");
	put_entry(other, 0);
	/* For 2 s after its start the relay takes no server for gone. */
	run_for(2600);
}

void
set_servers(enum behaviour first, enum behaviour second)
{
	enum behaviour b[SERVERS] = {first, second};

	for (int i = 0; i < SERVERS; i++) {
		servers[i].behaviour = b[i];
		servers[i].arrivals = 0;
		servers[i].last_event[0] = '\0';
	}
	/* Lets the relay's earlier state of the servers expire. */
	run_for(600);
}

unsigned int
arrivals(void)
{
	return servers[0].arrivals + servers[1].arrivals;
}

/* ---- The operators' configuration ---- */

void
put_config(int version, const char *keys, const char *priority)
{
	char text[2048];

	snprintf(text, sizeof(text),
	    "{\"version\":%d,\"route_table\":["
	    "{\"name\":\"r1\",\"host\":\"h\",\"prefix\":\"/look/\",\"type\":"
	    "\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
	    "\"anonymous\":false},"
	    "{\"name\":\"r2\",\"host\":\"h\",\"prefix\":\"/book/\",\"type\":"
	    "\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,"
	    "\"anonymous\":false},"
	    "{\"name\":\"r3\",\"host\":\"h\",\"prefix\":\"/events/\",\"type\":"
	    "\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
	    "\"anonymous\":false,\"resumable\":true},"
	    "{\"name\":\"r4\",\"host\":\"h\",\"prefix\":\"/open/\",\"type\":"
	    "\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
	    "\"anonymous\":true},"
	    "{\"name\":\"r5\",\"host\":\"h\",\"prefix\":\"/once/\",\"type\":"
	    "\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
	    "\"anonymous\":false}],"
	    "\"services\":[{\"name\":\"desk\",\"max_connections\":100%s}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":%u,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"shop\",\"api_keys\":[%s],"
	    "\"priority\":%s}]}",
	    version, relay_service_settings, relay_max_body_bytes, keys,
	    priority);
	ld_kv_store_put(store, "op/config", text);
}

/* ---- The client ---- */

static void
on_field(struct ld_http_sink *s, struct ld_str name, struct ld_str value)
{
	struct client *c = (struct client *)s;
	char text[32];

	c->is_signed |= ld_str_eq(name, LD_STR("X-Server-Signature"));
	c->not_run |= ld_str_eq(name, LD_STR("X-Not-Executed"));
	if (!ld_str_eq(name, LD_STR("Retry-After")))
		return;
	snprintf(text, sizeof(text), "%.*s", LD_FMT(value));
	c->retry_after_s = strtod(text, NULL);
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	ld_buf_adds(&((struct client *)s)->body, bytes);
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	struct client *c = (struct client *)s;

	c->code = r->code;
	c->status = r->status;
	c->done = true;
}

/* @more: more header fields, ended by NULL */
static void
start_request(struct client *c, const char *address, const char *method,
    const char *path, const char *key, const char *attempt,
    const char *const *more)
{
	static const struct ld_http_sink_ops ops = {
	    .field = on_field, .body = on_body, .done = on_done};
	char url[128], authorization[64], id[64];
	const char *headers[FIELDS_MAX] = {
	    "Host: h", id, "X-Deadline-Ms: 4000", authorization};
	size_t count = 4;
	struct ld_http_request rq = {.method = method,
	    .url = url,
	    .headers = headers,
	    .fresh = true,
	    .total_timeout_ms = STEP_LIMIT_MS};

	if (strcmp(method, "POST") == 0)
		rq.body = relay_request_body;
	for (; *more != NULL; more++) {
		CU_ASSERT_FATAL(count + 1 < FIELDS_MAX);
		headers[count++] = *more;
	}
	*c = (struct client){.sink = {&ops}};
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	snprintf(id, sizeof(id), "X-Attempt-Id: %s", attempt);
	snprintf(authorization, sizeof(authorization),
	    "Authorization: Bearer %s", key);
	c->call = ld_http_start(http, &rq, &c->sink);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c->call);
}

void
start_at(struct client *c, const char *address, const char *method,
    const char *path, const char *key)
{
	start_request(
	    c, address, method, path, key, RELAY_REQUEST_ID, no_fields);
}

void
start_attempt_at(struct client *c, const char *address, const char *method,
    const char *path, const char *attempt)
{
	start_request(c, address, method, path, "k1", attempt, no_fields);
}

void
start_field_at(struct client *c, const char *address, const char *method,
    const char *path, const char *field)
{
	const char *const fields[] = {field, NULL};

	start_request(c, address, method, path, "k1", RELAY_REQUEST_ID, fields);
}

void
start_fields_at(struct client *c, const char *address, const char *method,
    const char *path, const char *const *fields)
{
	start_request(c, address, method, path, "k1", RELAY_REQUEST_ID, fields);
}

void
start_prompt_at(struct client *c, const char *address, const char *method,
    const char *path, const char *key, const char *prompt)
{
	char parts[4096];
	const char *const fields[] = {prompt != NULL ? parts : NULL, NULL};

	snprintf(parts, sizeof(parts), "X-Prefix-Hash: %s",
	    prompt != NULL ? prompt : "");
	start_request(c, address, method, path, key, RELAY_REQUEST_ID, fields);
}

void
wait_for(struct client *c)
{
	for (uint64_t ms = 0; !c->done && ms < STEP_LIMIT_MS; ms += 20)
		run_for(20);
	CU_ASSERT_FATAL(c->done);
}

/* Sends one request and waits for its answer; the body is to be freed. */
struct client
call_at(
    const char *address, const char *method, const char *path, const char *key)
{
	struct client *c = ld_alloc(sizeof(*c)), out;

	start_at(c, address, method, path, key);
	wait_for(c);
	out = *c;
	free(c);
	return out;
}

struct client
call(const char *method, const char *path, const char *key)
{
	return call_at(relay_address, method, path, key);
}

long
code_of(const char *method, const char *path, const char *key)
{
	struct client c = call(method, path, key);

	ld_buf_free(&c.body);
	return c.code;
}

long
code_of_prompt(const char *prompt)
{
	struct client *c = ld_alloc(sizeof(*c));
	long code;

	start_prompt_at(c, relay_address, "POST", "/events/a", "k1", prompt);
	wait_for(c);
	code = c->code;
	ld_buf_free(&c->body);
	free(c);
	return code;
}

unsigned long
relay_counter(const char *name)
{
	struct client c = call_at(metrics_address, "GET", "/metrics", "");
	const char *p = ld_buf_cstr(&c.body);
	unsigned long n = 0;

	while ((p = strstr(p, name)) != NULL) {
		p += strlen(name);
		if (*p == ' ')
			n = strtoul(p, NULL, 10);
	}
	ld_buf_free(&c.body);
	return n;
}

void
restart_crashed(void)
{
	static unsigned int restarts;

	for (int i = 0; i < SERVERS; i++) {
		struct server *s = &servers[i];
		char key[32];

		if (!s->down)
			continue;
		snprintf(key, sizeof(key), "servers/%s", s->id);
		ld_kv_store_delete(store, key);
		snprintf(s->id, sizeof(s->id), "r-%u", ++restarts);
		relay_server_restart(s);
		CU_ASSERT_PTR_NOT_NULL_FATAL(s->listener);
		put_entry(s, 0);
		s->down = false;
	}
}

void
restart_crashed_as_before(void)
{
	for (int i = 0; i < SERVERS; i++) {
		struct server *s = &servers[i];

		if (!s->down)
			continue;
		s->born += 1000;
		relay_server_restart(s);
		CU_ASSERT_PTR_NOT_NULL_FATAL(s->listener);
		put_entry(s, 0);
		s->down = false;
	}
}

/* ---- Start and end ---- */

static void
write_settings(char *path, const char *name, uint16_t entry, uint16_t metrics,
    uint16_t peers, uint16_t kv)
{
	char text[1024];
	int fd = mkstemp(path);

	snprintf(text, sizeof(text),
	    "{\"node\":{\"name\":\"%s\",\"failure_domain\":\"z1\"%s},"
	    "\"entry\":{\"listen\":\"127.0.0.1:%u\"},"
	    "\"readiness\":{\"listen\":\"127.0.0.1:%u\"},"
	    "\"peers\":{\"port\":%u},\"metrics\":{\"port\":%u},"
	    "\"store\":{\"address\":\"127.0.0.1:%u\"}}",
	    name, relay_node_settings, entry, ld_free_port(), peers, metrics,
	    kv);
	CU_ASSERT_FATAL(
	    fd >= 0 && write(fd, text, strlen(text)) == (ssize_t)strlen(text));
	close(fd);
}

static pid_t
start_with(const char *path)
{
	/* The log of the relay, for a failure that is to be traced. */
	const char *log = getenv("LD_RELAY_LOG");
	pid_t pid = fork();

	if (pid != 0)
		return pid;
	if (freopen(log != NULL ? log : "/dev/null", "a", stdout) == NULL)
		_exit(1);
	execl(program, program, "relay", "-c", path, (char *)NULL);
	_exit(1);
}

void
start_relay(void)
{
	relay = start_with(settings_path);
}

static void
list_node(struct ld_kv_store *in, const char *name, uint16_t peers)
{
	char key[64], value[64];

	snprintf(key, sizeof(key), "lavenderdrift/nodes/%s", name);
	snprintf(value, sizeof(value), "127.0.0.1:%u 250 z1", peers);
	ld_kv_store_put(in, key, value);
}

struct second_relay
start_second_relay(void)
{
	struct second_relay b = {0};
	uint16_t entry = ld_free_port(), metrics = ld_free_port(),
		 peers = ld_free_port(), kv = ld_free_port();
	struct ld_kv_store *first = store;

	b.store = ld_kv_store_new(loop, kv);
	CU_ASSERT_PTR_NOT_NULL_FATAL(b.store);
	snprintf(b.address, sizeof(b.address), "127.0.0.1:%u", entry);
	snprintf(b.metrics, sizeof(b.metrics), "127.0.0.1:%u", metrics);
	write_settings(second_path, "n2", entry, metrics, peers, kv);
	store = b.store;
	put_config(1, "\"k1\",\"k2\"", "null");
	store = first;
	list_node(store, "n2", peers);
	list_node(b.store, "n1", first_peers);
	b.pid = start_with(second_path);
	return b;
}

void
close_second_relay(struct second_relay *b)
{
	if (b->pid > 0) {
		kill(b->pid, SIGKILL);
		waitpid(b->pid, NULL, 0);
	}
	ld_kv_store_free(b->store);
	unlink(second_path);
}

struct ld_loop *
session_loop(void)
{
	return loop;
}

void
start_relay_unread(void)
{
	int ends[2];

	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	/* Smallest pipe size: full after some lines. */
	CU_ASSERT_FATAL(fcntl(ends[1], F_SETPIPE_SZ, 4096) >= 4096);
	relay = fork();
	if (relay == 0) {
		dup2(ends[1], STDOUT_FILENO);
		execl(program, program, "relay", "-c", settings_path,
		    (char *)NULL);
		_exit(1);
	}
	/* The reading end stays open, so that writing is no error. */
	close(ends[1]);
}

void
wait_until_serving(void)
{
	for (int i = 0; i < 200; i++) {
		if (code_of("GET", "/look/a", "k1") == 200)
			return;
		run_for(50);
	}
	CU_FAIL_FATAL("the relay does not serve");
}

void
wait_until_applied(void)
{
	for (int ms = 0; ms < STEP_LIMIT_MS && !ld_kv_store_is_followed(store);
	     ms += 5)
		run_for(5);
	CU_ASSERT_FATAL(ld_kv_store_is_followed(store));
}

void
open_all(const char *binary)
{
	uint16_t entry = ld_free_port(), metrics = ld_free_port(),
		 kv = ld_free_port();

	program = binary;
	loop = ld_loop_new();
	http = ld_http_new(loop);
	store = ld_kv_store_new(loop, kv);
	CU_ASSERT_PTR_NOT_NULL_FATAL(store);
	snprintf(relay_address, sizeof(relay_address), "127.0.0.1:%u", entry);
	snprintf(
	    metrics_address, sizeof(metrics_address), "127.0.0.1:%u", metrics);
	first_peers = ld_free_port();
	snprintf(
	    peers_address, sizeof(peers_address), "127.0.0.1:%u", first_peers);
	write_settings(settings_path, "n1", entry, metrics, first_peers, kv);
	put_config(1, "\"k1\",\"k2\"", "null");
	for (int i = 0; i < SERVERS; i++)
		server_open(&servers[i], i);
	start_relay();
}

void
close_all(void)
{
	for (int i = 0; i < SERVERS; i++)
		ld_listener_free(servers[i].listener);
	ld_http_free(http);
	ld_kv_store_free(store);
	ld_loop_free(loop);
	unlink(settings_path);
}

int
relay_test_main(
    char **argv, const char *suite, const struct ld_test_case *cases)
{
	int rc;

	if (ld_common_init() != LD_OK)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	snprintf(relay_program, sizeof(relay_program), "%s/../lavenderdrift",
	    dirname(argv[0]));
	rc = ld_test_main(suite, cases);
	if (rc != 0)
		kill(relay, SIGKILL);
	close_all();
	return rc;
}
