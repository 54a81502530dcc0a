/* What operators are told about their configuration. */
#include <string.h>

#include "ld_platform.h"
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

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"faults have a place", test_faults_have_a_place},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("configuration", cases);
}
