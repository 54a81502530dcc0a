/* Server entries of another writer in the store of a relay process. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_relay_session.h"

/* A change of the store is in force after this time, as in test_relay, ms. */
#define APPLIED_MS 600
#define ROUNDS 10
#define REQUESTS 20 /* of ROUNDS */
#define NESTING 20000
#define ODD_KEY "servers/odd"

static uint64_t
counter(const char *name)
{
	struct client c = call_at(metrics_address, "GET", "/metrics", "");
	char line[96];
	const char *at;
	uint64_t n = 0;

	snprintf(line, sizeof(line), "\n%s ", name);
	at = strstr(ld_buf_cstr(&c.body), line);
	CU_ASSERT_PTR_NOT_NULL(at);
	if (at != NULL)
		n = strtoull(at + strlen(line), NULL, 10);
	ld_buf_free(&c.body);
	return n;
}

/* Lines of the relay's log that have both texts. */
static unsigned int
count_lines(const char *event, const char *what)
{
	FILE *f = fopen(getenv("LD_RELAY_LOG"), "r");
	char line[1024];
	unsigned int n = 0;

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	while (fgets(line, sizeof(line), f) != NULL)
		n += strstr(line, event) != NULL && strstr(line, what) != NULL;
	fclose(f);
	return n;
}

static void
put_entry_at(const char *key, const char *address)
{
	char value[512];

	snprintf(value, sizeof(value),
	    "{\"service\":\"desk\",\"address\":\"%s\",\"zone\":\"z1\","
	    "\"slots\":6,\"state\":\"ready\",\"version\":\"v1\","
	    "\"warmup_left_ms\":0,\"sequence\":1}",
	    address);
	ld_kv_store_put(store, key, value);
}

/* Every request is served by its first send. */
static void
expect_no_request_suffers(const char *why)
{
	uint64_t sends = counter("ld_relay_sends_total");
	unsigned int served = 0;

	for (int i = 0; i < ROUNDS; i++) {
		served += code_of("POST", "/book/a", "k1") == 200;
		served += code_of("GET", "/look/a", "k1") == 200;
	}
	sends = counter("ld_relay_sends_total") - sends;
	if (served != REQUESTS || sends != REQUESTS)
		printf("%s: %u served, %llu sends of %d requests\n", why,
		    served, (unsigned long long)sends, REQUESTS);
	CU_ASSERT_EQUAL(served, REQUESTS);
	CU_ASSERT_EQUAL(sends, REQUESTS);
}

static char *
repeated(const char *piece, int times)
{
	struct ld_buf b = {0};

	for (int i = 0; i < times; i++)
		ld_buf_adds(&b, ld_str_c(piece));
	(void)ld_buf_cstr(&b);
	return b.p;
}

/* Entries that can't be read, beside those of the servers. */
static void
put_unreadable(void)
{
	static const char *const values[] = {
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\","
	    "\"slots\":99999999999999999999999999,\"state\":\"ready\","
	    "\"version\":\"v1\",\"warmup_left_ms\":0,\"sequence\":1}",
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\","
	    "\"slots\":6,\"state\":\"ready\",\"version\":\"v1\","
	    "\"warmup_left_ms\":1e999,\"sequence\":1}",
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\","
	    "\"slots\":6,\"state\":\"ready\",\"version\":\"v1\","
	    "\"warmup_left_ms\":0,\"sequence\":1,\"born\":-1}",
	    "\x01\xff\xfe",
	    "",
	    "null",
	    "{\"service\":\"\\u0000\"}",
	    "{\"service\":\"desk\",\"service\":\"desk\"}",
	};
	char *arrays = repeated("[", NESTING), *objects;

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		char key[32];

		snprintf(key, sizeof(key), "servers/u%zu", i);
		ld_kv_store_put(store, key, values[i]);
	}
	objects = repeated("{\"a\":", NESTING / 5);
	ld_kv_store_put(store, "servers/deep", arrays);
	ld_kv_store_put(store, "servers/deep/er", objects);
	ld_kv_store_put(store, "servers/", "{}");
	ld_kv_store_put(store, "servers/a\r\nb: c", "{}");
	free(arrays);
	free(objects);
}

static void
expect_changes_apply(int version)
{
	put_config(
	    version, version % 2 == 0 ? "\"k1\"" : "\"k1\",\"k2\"", "null");
	run_for(APPLIED_MS);
	CU_ASSERT_EQUAL(
	    code_of("GET", "/look/a", "k2"), version % 2 == 0 ? 401 : 200);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), 0);
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_unreadable_entries_while_watching(void)
{
	open_all(relay_program);
	wait_until_serving();
	set_servers(SERVES, SERVES);
	put_unreadable();
	expect_changes_apply(2);
	expect_no_request_suffers("unreadable entries");
}

static void
test_unreadable_entries_in_a_new_read(void)
{
	put_unreadable();
	ld_kv_store_forget(store);
	run_for(APPLIED_MS);
	expect_changes_apply(3);
	expect_no_request_suffers("a new read");
}

static void
test_unreadable_entries_at_start(void)
{
	CU_ASSERT_EQUAL(kill(relay, SIGKILL), 0);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, 0), relay);
	start_relay();
	wait_until_serving();
	expect_changes_apply(4);
	expect_no_request_suffers("a new process");
}

static void
test_requests_sent_to_an_address_out_of_range(void)
{
	static const char *const suffixes[] = {":0", ":65536", ":99999", ":-1",
	    "", ":", ":http", ":80 ", ": 80", ":+9", ":9 b", ":9\\r\\nA: b",
	    ":18446744073709551625"};
	static const char *const whole[] = {"", ":80", "localhost:9", "[::1]:9",
	    "127.0.0.256:9", "0127.0.0.1:9"};
	char address[96];

	for (size_t i = 0; i < sizeof(suffixes) / sizeof(suffixes[0]); i++) {
		snprintf(address, sizeof(address), "127.0.0.1%s", suffixes[i]);
		put_entry_at(ODD_KEY, address);
		run_for(APPLIED_MS);
		expect_no_request_suffers(address);
	}
	for (size_t i = 0; i < sizeof(whole) / sizeof(whole[0]); i++) {
		put_entry_at(ODD_KEY, whole[i]);
		run_for(APPLIED_MS);
		expect_no_request_suffers(whole[i]);
	}
	snprintf(address, sizeof(address), "a@%s", servers[0].address);
	put_entry_at(ODD_KEY, address);
	snprintf(address, sizeof(address), "%s/a", servers[0].address);
	put_entry_at(ODD_KEY "2", address);
	run_for(APPLIED_MS);
	expect_no_request_suffers("user or path in the address");
	ld_kv_store_delete(store, ODD_KEY);
	ld_kv_store_delete(store, ODD_KEY "2");
}

/* A node that starts now doesn't know the server either. */
static void
test_server_is_used_while_its_entry_names_none(void)
{
	char key[32];

	snprintf(key, sizeof(key), "servers/%s", servers[0].id);
	ld_kv_store_put(store, key, "[[[[{\"service\":\"desk\"");
	run_for(APPLIED_MS);
	set_servers(SERVES, SERVES);
	expect_no_request_suffers("an entry overwritten");
	CU_ASSERT_EQUAL(servers[0].arrivals, 0);
	put_entry(&servers[0], 2);
	run_for(APPLIED_MS);
	set_servers(SERVES, SERVES);
	expect_no_request_suffers("the entry is back");
	CU_ASSERT(servers[0].arrivals > 0);
	ld_kv_store_put(store, key, "");
	ld_kv_store_forget(store);
	run_for(APPLIED_MS);
	set_servers(SERVES, SERVES);
	expect_no_request_suffers("an entry overwritten before a new read");
	CU_ASSERT_EQUAL(servers[0].arrivals, 0);
	put_entry(&servers[0], 3);
	run_for(APPLIED_MS);
	set_servers(SERVES, SERVES);
	expect_no_request_suffers("the entry is back after a new read");
	CU_ASSERT(servers[0].arrivals > 0);
}

#define LONG_NAME \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static void
test_odd_entries_of_nodes_count_as_nodes(void)
{
	static const char *const values[] = {"", "7", "127.0.0.1:9",
	    "127.0.0.1:9 -1 z1", "127.0.0.1:9 +1 z1", "127.0.0.1:9 1x z1",
	    "127.0.0.1:9 18446744073709551615 z1", "127.0.0.1:65536 250 z1",
	    "127.0.0.1:-1 250 z1", "localhost:9 250 z1"};
	char key[64];

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		snprintf(key, sizeof(key), "lavenderdrift/nodes/odd-%zu", i);
		ld_kv_store_put(store, key, values[i]);
	}
	for (int i = 0; i < 5; i++) {
		ld_kv_store_put(store, "lavenderdrift/nodes/odd-" LONG_NAME,
		    "127.0.0.1:9 250 z1");
		run_for(APPLIED_MS);
	}
	CU_ASSERT_EQUAL(count_lines("event=peer.refused", "peer=odd-"),
	    sizeof(values) / sizeof(values[0]) + 5);
	CU_ASSERT_EQUAL(count_lines("event=peer.listed", "peer=odd-"), 0);
	expect_changes_apply(5);
}

static void
test_odd_records_of_groups_and_prompts_are_applied(void)
{
	static const char long_id[] = "5 m0 desk " LONG_NAME "@127.0.0.1:9";
	static const char long_model[] = "5 " LONG_NAME " desk i-8@127.0.0.1:9";
	static const char *const values[] = {"", "5", "5 m0 desk", " ", "@",
	    "5 m0 desk i-8", "5 m0 desk i-8@", "5 m0 desk @127.0.0.1:9",
	    "5 m0 desk i-8@127.0.0.1:99999",
	    "5 m0 desk i-8@127.0.0.1:9 i-9@127.0.0.1:0",
	    "x m0 desk i-8@127.0.0.1:9", "-5 m0 desk i-8@127.0.0.1:9",
	    "99999999999999999999 m0 desk i-8@127.0.0.1:9", long_id,
	    long_model};
	static const char *const parts[] = {"0", "1", "-1", " 1", "x",
	    "00000000000000000001", "0x00000000000001", "FFFFFFFFFFFFFFFF",
	    "ffffffffffffffffffffffff"};
	char key[96];

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		snprintf(key, sizeof(key), "lavenderdrift/groups/odd/%zu", i);
		ld_kv_store_put(store, key, values[i]);
	}
	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		snprintf(
		    key, sizeof(key), "lavenderdrift/quarantine/%s", parts[i]);
		ld_kv_store_put(store, key, "n1");
	}
	run_for(APPLIED_MS);
	CU_ASSERT_EQUAL(
	    count_lines("event=record.refused", "lavenderdrift/groups/odd/"),
	    sizeof(values) / sizeof(values[0]));
	CU_ASSERT_EQUAL(
	    count_lines("event=record.refused", "lavenderdrift/quarantine/"),
	    sizeof(parts) / sizeof(parts[0]));
	CU_ASSERT_EQUAL(count_lines("event=prompt.quarantined", ""), 0);
	expect_changes_apply(6);
	expect_no_request_suffers("odd records");
}

/* It is written at each heartbeat, with a higher count each time. */
static void
test_an_odd_entry_floods_the_log(void)
{
	char value[96];

	for (int i = 0; i < 20; i++) {
		snprintf(value, sizeof(value),
		    "{\"service\":\"desk\",\"sequence\":%d}", i);
		ld_kv_store_put(store, "servers/flood", value);
		run_for(i % 10 == 0 ? APPLIED_MS : 200);
	}
	CU_ASSERT_EQUAL(count_lines("server.entry_refused", "server=flood"), 1);
	ld_kv_store_put(store, "servers/flood", "[");
	run_for(APPLIED_MS);
	CU_ASSERT_EQUAL(count_lines("server.entry_refused", "server=flood"), 2);
}

static void
test_an_entry_forges_log_lines(void)
{
	ld_kv_store_put(store, "servers/forger",
	    "{\"service\":\"x\\nt=1 event=forged a=b\",\"address\":"
	    "\"127.0.0.1:9\",\"zone\":\"z1\",\"slots\":6,\"state\":"
	    "\"ready\",\"version\":\"v1\",\"warmup_left_ms\":0,"
	    "\"sequence\":1,\"domain\":\"d\\nt=1 event=forged\","
	    "\"staged\":[\"\\nt=1 event=forged\"],\"group\":{\"name\":"
	    "\"\\nt=1 event=forged\",\"epoch\":1,\"rank\":0,\"state\":"
	    "\"ready\"}}");
	run_for(APPLIED_MS);
	CU_ASSERT_EQUAL(count_lines("t=1 event=forged", ""), 0);
	CU_ASSERT(count_lines("server=forger", "") > 0);
	ld_kv_store_delete(store, "servers/forger");
	run_for(APPLIED_MS);
}

static void
test_the_relay_stops_when_told_to(void)
{
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"unreadable entries while watching",
		test_unreadable_entries_while_watching},
	    {"unreadable entries in a new read",
		test_unreadable_entries_in_a_new_read},
	    {"unreadable entries at start", test_unreadable_entries_at_start},
	    {"requests sent to an address out of range",
		test_requests_sent_to_an_address_out_of_range},
	    {"server is used while its entry names none",
		test_server_is_used_while_its_entry_names_none},
	    {"odd entries of nodes count as nodes",
		test_odd_entries_of_nodes_count_as_nodes},
	    {"odd records of groups and prompts are applied",
		test_odd_records_of_groups_and_prompts_are_applied},
	    {"an odd entry floods the log", test_an_odd_entry_floods_the_log},
	    {"an entry forges log lines", test_an_entry_forges_log_lines},
	    {"the relay stops when told to", test_the_relay_stops_when_told_to},
	    {NULL, NULL},
	};

	char log[] = "/tmp/ld_odd_entries_XXXXXX";
	int fd = mkstemp(log), rc;

	if (fd < 0 || setenv("LD_RELAY_LOG", log, 0) != 0)
		return 2;
	rc = relay_test_main(argv, "odd_entries", cases);
	close(fd);
	unlink(log);
	return rc;
}
