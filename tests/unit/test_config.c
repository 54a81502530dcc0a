/* What operators are told about their configuration. */
#include <stdio.h>
#include <string.h>

#include "ld_platform.h"
#include "ld_routes_check.h"
#include "ld_test.h"

/* ---- Configurations that are refused ---- */

#define SERVICES "\"services\":[{\"name\":\"s\"}]"

/* The message names the place of the first fault. */
static void
test_faults_have_a_place(void)
{
	static const char *const faults[][2] = {
	    {"[]", "the configuration is no JSON object"},
	    {"{\"version\":0}", "version is missing or 0"},
	    {"{\"version\":1}", "route_table is no list"},
	    {"{\"version\":1,\"route_table\":[{\"host\":\"a\"}]}",
		"route_table[0].prefix is missing"},
	    {"{\"version\":1,\"route_table\":[{\"host\":\"a\",\"prefix\":\"/"
	     "\",\"type\":\"streams\"}]}",
		"route_table[0].type is no known type"},
	    {"{\"version\":1,\"route_table\":[{\"host\":\"a\",\"prefix\":\"/"
	     "\",\"type\":\"streaming\",\"timeout_ms\":-1}]}",
		"route_table[0].timeout_ms is no number of 0 or more"},
	    {"{\"version\":1,\"route_table\":[{\"host\":\"a\",\"prefix\":\"/"
	     "\",\"type\":\"streaming\",\"traffic_split\":[{\"service\":\"s\"},"
	     "{\"weight\":1}]}]}",
		"route_table[0].traffic_split[1].service is missing"},
	    {"{\"version\":1,\"route_table\":[],\"services\":[{\"name\":\"s\","
	     "\"engine\":{\"models\":[{\"name\":\"m\"}]}}]}",
		"services[0].engine.models[0].size is missing or 0"},
	    {"{\"version\":1,\"route_table\":[],\"services\":[{\"name\":\"s\","
	     "\"engine\":{\"usual\":{\"answer\":\"a\"}}}]}",
		"services[0].engine.usual.answer is no number of 0 or more"},
	    {"{\"version\":1,\"route_table\":[]," SERVICES ",\"tenants\":["
	     "{\"name\":\"t\"},{\"name\":\"u\",\"api_keys\":[\"k\",7]}]}",
		"tenants[1].api_keys[1] is no text"},
	    {"{\"version\":1,\"route_table\":[]," SERVICES ",\"limits\":{"
	     "\"max_body_bytes\":\"1\"}}",
		"limits.max_body_bytes is no number of 0 or more"},
	};
	struct ld_routes *r = NULL;

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		CU_ASSERT_EQUAL(ld_platform_dialect()->read_routes(
				    ld_str_c(faults[i][0]), &r),
		    LD_E_PROTOCOL);
		CU_ASSERT_STRING_EQUAL(ld_last_message(), faults[i][1]);
	}
}

/* ---- Findings ---- */

#define LIMITS                                                     \
	"\"limits\":{\"max_header_bytes\":9,\"max_body_bytes\":9," \
	"\"header_timeout_ms\":9,\"idle_timeout_ms\":9}"
#define ROUTE(prefix, more)                                                    \
	"{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"" prefix                  \
	"\",\"type\":\"idempotent\",\"timeout_ms\":800,\"service\":\"s\"" more \
	"}"
#define CONFIG(version, routes, keys)                                     \
	"{\"version\":" version ",\"route_table\":[" routes "]," SERVICES \
	",\"tenants\":[{\"name\":\"t\",\"api_keys\":[" keys "]}]," LIMITS "}"

static struct ld_routes *
parse(const char *text)
{
	struct ld_routes *r = NULL;

	CU_ASSERT_EQUAL_FATAL(
	    ld_platform_dialect()->read_routes(ld_str_c(text), &r), LD_OK);
	return r;
}

static bool
has(const struct ld_routes_findings *f, const char *code, bool warning)
{
	for (size_t i = 0; i < f->n; i++)
		if (strcmp(f->v[i].code, code) == 0)
			return f->v[i].warning == warning;
	return false;
}

/* Only the finding @code, or none if it is NULL. */
static void
check_only(const char *text, const char *code)
{
	struct ld_routes_findings f = {0};
	struct ld_routes *r = parse(text);

	ld_routes_check(r, &f);
	CU_ASSERT_EQUAL(f.n, code != NULL);
	CU_ASSERT(code == NULL || has(&f, code, true));
	for (size_t i = 0; i < f.n && f.n != (code != NULL); i++)
		printf("%s: %s\n", f.v[i].code, f.v[i].text);
	ld_routes_findings_free(&f);
	ld_routes_free(r);
}

static void
test_each_finding(void)
{
	check_only(CONFIG("1", ROUTE("/a", ""), "\"k\""), NULL);
	check_only(
	    CONFIG("1", ROUTE("/a", "") "," ROUTE("/a/b", ""), "\"k\""), NULL);
	check_only(CONFIG("1", ROUTE("/a", "") "," ROUTE("/a", ""), "\"k\""),
	    "route-hidden");
	check_only(CONFIG("1", ROUTE("a", "") "," ROUTE("/", ""), "\"k\""),
	    "prefix-unmatched");
	check_only(
	    CONFIG("1", ROUTE("/", ",\"target_latency_ms\":900"), "\"k\""),
	    "objective-after-timeout");
	check_only(
	    CONFIG("1",
		ROUTE("/", ",\"target_latency_ms\":500,\"max_attempts\":2"),
		"\"k\""),
	    "attempts-after-timeout");
	check_only(CONFIG("1", ROUTE("/", ",\"target_gap_ms\":900"), "\"k\""),
	    "gap-after-timeout");
	check_only(CONFIG("1", ROUTE("/", ",\"resumable\":true"), "\"k\""),
	    "resumable-unused");
	check_only(CONFIG("1",
		       ROUTE("/", "") "," ROUTE("/b",
			   ",\"traffic_split\":[{\"service\":\"s\",\"weight\":0"
			   "},{\"service\":\"s\",\"weight\":1}]"),
		       "\"k\""),
	    "share-empty");
	check_only(CONFIG("1",
		       ROUTE("/", "") "," ROUTE("/b",
			   ",\"traffic_split\":[{\"service\":\"x\",\"weight\":1"
			   "}]"),
		       "\"k\""),
	    "service-unknown");
	check_only(CONFIG("1", "", "\"k\""), "service-without-route");
	check_only(CONFIG("1", ROUTE("/", ""), ""), "account-without-key");
	check_only(CONFIG("1", ROUTE("/", ""), "\"k\",\"k\""), "key-repeated");
	check_only("{\"version\":1,\"route_table\":[" ROUTE(
		       "/", "") "]," SERVICES "," LIMITS "}",
	    "route-open");
}

static void
test_changes(void)
{
	struct ld_routes *before = parse(CONFIG("3",
	    ROUTE("/a", "") "," ROUTE("/b", "") "," ROUTE("/b/c", "") "," ROUTE(
		"/d", ",\"anonymous\":true"),
	    "\"k1\",\"k2\""));
	struct ld_routes *after = parse(CONFIG("3",
	    ROUTE("/b", ",\"priority\":2") "," ROUTE("/d", "") "," ROUTE(
		"/e", ""),
	    "\"k2\",\"k3\""));
	struct ld_routes_findings f = {0};

	ld_routes_compare(before, after, &f);
	/* /a gets 404, /b/c matches /b; both are removed. */
	CU_ASSERT(has(&f, "route-removed", true));
	CU_ASSERT(has(&f, "route-changed", false));
	CU_ASSERT(has(&f, "route-closed", true));
	CU_ASSERT(has(&f, "route-added", false));
	CU_ASSERT(has(&f, "keys-revoked", true));
	CU_ASSERT(has(&f, "version-not-higher", true));
	/* /d is changed as well. */
	CU_ASSERT_EQUAL(f.n, 8);
	ld_routes_findings_free(&f);
	ld_routes_compare(before, before, &f);
	CU_ASSERT_EQUAL(f.n, 1);
	ld_routes_findings_free(&f);
	ld_routes_free(before);
	ld_routes_free(after);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"faults have a place", test_faults_have_a_place},
	    {"each finding", test_each_finding},
	    {"changes", test_changes},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("configuration", cases);
}
