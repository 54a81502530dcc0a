/* check-config as operators call it: exit statuses, and the configuration in the
 * store. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_kv_store.h"
#include "ld_ports.h"
#include "ld_session.h"
#include "ld_test.h"

#define END_MS 10000
#define CONFIG(version, key)                                                   \
	"{\"version\":" version                                                \
	",\"route_table\":[{\"host\":\"h\",\"prefix\":"                        \
	"\"/\",\"type\":\"idempotent\",\"service\":\"s\"}],\"services\":[{"    \
	"\"name\":\"s\"}],\"limits\":{\"max_header_bytes\":9,"                 \
	"\"max_body_bytes\":9,\"header_timeout_ms\":9,\"idle_timeout_ms\":9}," \
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"" key "\"]}]}"

static struct ld_session session;
static struct ld_loop *loop;
static struct ld_kv_store *store;
static char settings[160], file[160];

static void
write_file(const char *path, const char *text)
{
	FILE *f = fopen(path, "we");

	if (f == NULL || fputs(text, f) < 0 || fclose(f) != 0)
		abort();
}

/* Exit status of the command; @live: with the store that the settings name. */
static int
check(const char *config, bool live)
{
	const char *with[] = {"check-config", "--live", settings, file, NULL};
	const char *without[] = {"check-config", file, NULL};
	struct ld_proc *p;
	int status = -1;

	write_file(file, config);
	p = ld_spawn(&session, "check", "lavenderdrift", "127.0.0.1:1",
	    live ? with : without);
	for (int ms = 0; ms < END_MS && !ld_ended(p, &status); ms += 10)
		ld_loop_run_for(loop, 10);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void
test_exit_statuses(void)
{
	CU_ASSERT_EQUAL(check(CONFIG("2", "k1"), false), 0);
	CU_ASSERT_EQUAL(check(CONFIG("2", "k1\",\"k1"), false), 1);
	CU_ASSERT_EQUAL(check("{\"version\":2}", false), 2);
}

static void
test_the_configuration_in_the_store(void)
{
	/* None yet. */
	CU_ASSERT_EQUAL(check(CONFIG("2", "k1"), true), 2);
	ld_kv_store_put(store, "op/config", CONFIG("1", "k1"));
	CU_ASSERT_EQUAL(check(CONFIG("2", "k1"), true), 0);
	/* A key is revoked. */
	CU_ASSERT_EQUAL(check(CONFIG("2", "k2"), true), 1);
	/* Relays keep the one in force. */
	CU_ASSERT_EQUAL(check(CONFIG("1", "k1"), true), 1);
	ld_kv_store_silence(store, true);
	CU_ASSERT_EQUAL(check(CONFIG("2", "k1"), true), 2);
}

static void
open_all(void)
{
	uint16_t port = ld_free_port();
	char text[512];

	ld_session_begin(&session, "check-config");
	loop = ld_loop_new();
	store = ld_kv_store_new(loop, port);
	if (store == NULL)
		abort();
	snprintf(settings, sizeof(settings), "%s/check.json", session.dir);
	snprintf(file, sizeof(file), "%s/config.json", session.dir);
	snprintf(text, sizeof(text),
	    "{\"node\":{\"name\":\"n1\",\"failure_domain\":\"z1\"},"
	    "\"entry\":{\"listen\":\"127.0.0.1:1\"},"
	    "\"readiness\":{\"listen\":\"127.0.0.1:2\"},"
	    "\"peers\":{\"port\":3},\"metrics\":{\"port\":4},"
	    "\"store\":{\"address\":\"127.0.0.1:%u\"}}",
	    port);
	write_file(settings, text);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"exit statuses", test_exit_statuses},
	    {"the configuration in the store",
		test_the_configuration_in_the_store},
	    {NULL, NULL},
	};
	int status;

	if (ld_common_init() != LD_OK)
		return 2;
	open_all();
	status = ld_test_main("check-config", cases);
	unlink(file);
	ld_session_end(&session);
	ld_kv_store_free(store);
	ld_loop_free(loop);
	return status;
}
