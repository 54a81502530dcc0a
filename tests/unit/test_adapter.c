/* The formats of platform/: every decoder and encoder, and malformed input. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "ld_platform.h"
#include "ld_test.h"

#define MUTATIONS 20000

static const char config_text[] =
    "{\"version\":7,\"route_table\":["
    "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/x/\",\"type\":"
    "\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":400,"
    "\"priority\":1,\"traffic_split\":[{\"service\":\"s1\",\"weight\":90},"
    "{\"service\":\"s2\",\"weight\":10}],\"max_attempts\":2,"
    "\"anonymous\":false,\"session_affinity\":true,\"resumable\":true,"
    "\"target_gap_ms\":250},"
    "{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/x/y/\",\"type\":"
    "\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":120,"
    "\"priority\":2,\"service\":\"s2\",\"max_attempts\":1,"
    "\"anonymous\":true}],"
    "\"services\":[{\"name\":\"s1\",\"max_connections\":404,\"warmup_s\":3.0,"
    "\"warmup_per_s\":17.5,\"engine\":{"
    "\"slots\":26,\"stride\":6,\"models\":[{\"name\":\"m0\",\"size\":6,"
    "\"share\":0.67,\"pace\":1.0,\"load_s\":16.0,\"warm_s\":1.6}],"
    "\"step_ms\":6.45,\"per_seq_ms\":0.0967,\"context_per_k\":0.00293,"
    "\"read_per_s\":56100.0,\"pairs_per_m\":0.309,\"chunk\":2048,"
    "\"loads_per_s\":5.5,\"loads_at_once\":8,\"usual\":{\"prompt\":1115,"
    "\"answer\":152},\"retention_count\":1,\"form_ms\":300.0}},"
    "{\"name\":\"s2\",\"max_connections\":100}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],"
    "\"priority\":1}]}";

static const char server_text[] =
    "{\"service\":\"s1\",\"address\":\"10.0.0.9:80\",\"zone\":\"z1\","
    "\"version\":\"v1\",\"warmup_left_ms\":0,"
    "\"slots\":26,\"state\":\"ready\",\"born\":1700000000123,\"domain\":"
    "\"d1\",\"staged\":[\"m0\"],\"models\":[{\"name\":\"m0\"}],\"group\":{"
    "\"name\":\"m0/5\",\"epoch\":5,\"rank\":2,\"state\":\"ready\"},"
    "\"sequence\":4}";

static const struct ld_dialect *
dialect(void)
{
	return ld_platform_dialect();
}

/* ---- Configuration ---- */

static void
test_routes(void)
{
	struct ld_routes *r = NULL;
	const struct ld_route_rule *rule;
	const struct ld_engine_spec *e;

	CU_ASSERT_EQUAL_FATAL(
	    dialect()->read_routes(LD_STR(config_text), &r), LD_OK);
	CU_ASSERT_EQUAL(r->version, 7);
	rule = ld_routes_match(r, LD_STR("A.example"), LD_STR("/x/z"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(rule);
	CU_ASSERT_STRING_EQUAL(rule->name, "r1");
	CU_ASSERT_EQUAL(rule->kind, LD_KIND_STREAM);
	CU_ASSERT(rule->resumable && rule->model && !rule->anonymous);
	CU_ASSERT_EQUAL(rule->timeout_ms, 8000);
	CU_ASSERT_EQUAL(rule->objective_ms, 400);
	CU_ASSERT_EQUAL(rule->gap_ms, 250);
	CU_ASSERT_EQUAL(rule->attempts, 2);
	CU_ASSERT(ld_str_eq(ld_route_rule_share(rule, 89), LD_STR("s1")));
	CU_ASSERT(ld_str_eq(ld_route_rule_share(rule, 90), LD_STR("s2")));
	rule = ld_routes_match(r, LD_STR("a.example"), LD_STR("/x/y/1"));
	CU_ASSERT_STRING_EQUAL(rule->name, "r2");
	CU_ASSERT_EQUAL(rule->kind, LD_KIND_NOT_IDEMPOTENT);
	CU_ASSERT_PTR_NULL(
	    ld_routes_match(r, LD_STR("b.example"), LD_STR("/x/z")));
	CU_ASSERT_PTR_NULL(
	    ld_routes_match(r, LD_STR("a.example"), LD_STR("/x")));
	CU_ASSERT_STRING_EQUAL(ld_routes_account(r, LD_STR("k2"))->name, "t1");
	CU_ASSERT_PTR_NULL(ld_routes_account(r, LD_STR("k3")));
	CU_ASSERT_PTR_NULL(ld_routes_account(r, LD_STR("")));
	CU_ASSERT_EQUAL(ld_routes_service(r, LD_STR("s1"))->warmup_ms, 3000);
	CU_ASSERT_EQUAL(
	    ld_routes_service(r, LD_STR("s1"))->warmup_rate_milli, 17500);
	e = &ld_routes_service(r, LD_STR("s1"))->engine;
	CU_ASSERT_EQUAL(e->models[0].load_ms, 16000);
	CU_ASSERT_EQUAL(e->loads_at_once, 8);
	CU_ASSERT_EQUAL(e->models[0].stage_ms, 1600);
	CU_ASSERT_DOUBLE_EQUAL(e->step_us, 6450, 0.01);
	CU_ASSERT_EQUAL(r->bounds.idle_timeout_ms, 15000);
	ld_routes_free(r);
}

/* A fraction or a very large number does not make a configuration invalid. */
static void
test_unusual_numbers(void)
{
	static const char text[] =
	    "{\"version\":3,\"route_table\":[{\"host\":\"h\",\"prefix\":\"/\","
	    "\"type\":\"idempotent\",\"service\":\"s\",\"timeout_ms\":1500.75,"
	    "\"target_latency_ms\":1e30,\"max_attempts\":2.0}],"
	    "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":3.25,"
	    "\"usual\":{\"answer\":152.5},\"step_ms\":1e308,\"models\":[{"
	    "\"name\":\"m\",\"size\":1,\"load_s\":1e300}]}}],"
	    "\"tenants\":[{\"name\":\"t\",\"priority\":4294967297}],"
	    "\"limits\":{\"max_body_bytes\":0.5}}";
	struct ld_routes *r = NULL;

	CU_ASSERT_EQUAL_FATAL(dialect()->read_routes(LD_STR(text), &r), LD_OK);
	CU_ASSERT_EQUAL(r->rules[0].timeout_ms, 1500);
	CU_ASSERT_EQUAL(r->rules[0].objective_ms, 86400000);
	CU_ASSERT_EQUAL(r->rules[0].attempts, 2);
	CU_ASSERT_EQUAL(r->services[0].engine.slots, 3);
	CU_ASSERT_EQUAL(r->services[0].engine.usual_answer_tokens, 152);
	CU_ASSERT_EQUAL(r->bounds.max_body_bytes, 0);
	CU_ASSERT_EQUAL(r->services[0].engine.models[0].load_ms, 1000000000000);
	CU_ASSERT(r->services[0].engine.step_us <= 1e12);
	CU_ASSERT_EQUAL(r->accounts[0].priority, 1000000000);
	ld_routes_free(r);
}

static void
test_broken_routes(void)
{
	static const char no_services[] =
	    "{\"version\":1,\"route_table\":[{\"host\":\"a\"}],"
	    "\"services\":[]}";
	static const char *const broken[] = {"", "[]", "{}", "{\"version\":0}",
	    "{\"version\":1,\"route_table\":{}}", no_services,
	    "{\"version\":1,\"route_table\":[],\"services\":[{}]}",
	    "{\"version\":\"1\",\"route_table\":[],\"services\":[]}"};
	struct ld_routes *r = NULL;

	for (size_t i = 0; i < sizeof(broken) / sizeof(broken[0]); i++)
		CU_ASSERT_EQUAL(dialect()->read_routes(ld_str_c(broken[i]), &r),
		    LD_E_PROTOCOL);
}

/* Counts by model have a fixed capacity that a configuration could exceed. */
static void
test_too_many_models(void)
{
	struct ld_buf text = {0};
	struct ld_routes *r = NULL;

	for (int extra = 0; extra < 2; extra++) {
		ld_buf_free(&text);
		ld_buf_adds(&text,
		    LD_STR("{\"version\":1,\"route_table\":[],\"services\":["
			   "{\"name\":\"s\",\"engine\":{\"models\":["));
		for (int i = 0; i < LD_MODELS_MAX + extra; i++)
			ld_buf_printf(&text, "%s{\"name\":\"m%d\",\"size\":1}",
			    i == 0 ? "" : ",", i);
		ld_buf_adds(&text, LD_STR("]}}]}"));
		CU_ASSERT_EQUAL(dialect()->read_routes(ld_buf_str(&text), &r),
		    extra == 0 ? LD_OK : LD_E_PROTOCOL);
		if (extra == 0)
			ld_routes_free(r);
	}
	ld_buf_free(&text);
}

/* ---- Servers ---- */

static void
test_server(void)
{
	struct ld_server_entry e;

	CU_ASSERT_EQUAL_FATAL(
	    dialect()->read_server(LD_STR("i-1"), LD_STR(server_text), &e),
	    LD_OK);
	CU_ASSERT_STRING_EQUAL(e.id, "i-1");
	CU_ASSERT_STRING_EQUAL(e.address, "10.0.0.9:80");
	CU_ASSERT_EQUAL(e.started_ms, 1700000000123);
	CU_ASSERT(!e.leaving);
	CU_ASSERT_STRING_EQUAL(e.staged[0], "m0");
	CU_ASSERT_EQUAL(e.member.state, LD_MEMBER_READY);
	CU_ASSERT_EQUAL(e.member.rank, 2);
	CU_ASSERT_STRING_EQUAL(e.member.model, "m0");
	ld_server_entry_fini(&e);
}

/* Entries in an unknown format are rejected. */
static void
test_foreign_entries(void)
{
	static const char *const foreign[] = {"", "\x01\x02", "7",
	    "{\"service\":\"s1\"}",
	    "{\"service\":\"s1\",\"address\":7,\"zone\":\"z\",\"state\":"
	    "\"ready\"}",
	    "{\"service\":\"s1\",\"address\":\"a:1\",\"zone\":\"z\",\"state\":"
	    "\"asleep\"}",
	    "{\"service\":\"s1\",\"address\":\"a:1\",\"zone\":\"z\",\"state\":"
	    "\"ready\",\"slots\":\"many\"}",
	    "{\"service\":\"s1\",\"address\":\"a:1\",\"zone\":\"z\",\"state\":"
	    "\"ready\",\"group\":{\"name\":\"g\",\"state\":\"unheard\"}}"};
	struct ld_server_entry e;

	for (size_t i = 0; i < sizeof(foreign) / sizeof(foreign[0]); i++)
		CU_ASSERT_EQUAL(dialect()->read_server(
				    LD_STR("i-1"), ld_str_c(foreign[i]), &e),
		    LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(
	    dialect()->read_server(LD_STR(""), LD_STR(server_text), &e),
	    LD_E_PROTOCOL);
}

/* Each required member in turn is missing or of another type. */
static void
test_entries_lack_a_member(void)
{
	static const char *const members[] = {"service", "address", "zone",
	    "version", "slots", "state", "warmup_left_ms", "sequence"};
	struct ld_server_entry e;

	for (size_t i = 0; i < 2 * sizeof(members) / sizeof(members[0]); i++) {
		json_t *o = json_loads(server_text, 0, NULL);
		char *text;

		if (i % 2 == 0)
			json_object_del(o, members[i / 2]);
		else
			json_object_set_new(o, members[i / 2], json_array());
		text = json_dumps(o, JSON_COMPACT);
		CU_ASSERT_EQUAL(
		    dialect()->read_server(LD_STR("i-1"), ld_str_c(text), &e),
		    LD_E_PROTOCOL);
		free(text);
		json_decref(o);
	}
}

static void
test_entries_with_an_address_out_of_range(void)
{
	static const char *const addresses[] = {"", ":80", "127.0.0.1",
	    "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999",
	    "127.0.0.1:-1", "127.0.0.1:+9", "127.0.0.1: 9", "127.0.0.1:9 ",
	    "127.0.0.1:http", "127.0.0.1:9/a", "127.0.0.1:9\r\nA: b",
	    "127.0.0.1:18446744073709551625", "a@127.0.0.1:9", "localhost:9",
	    "[::1]:9", "127.0.0.256:9", "127.1:9", " 127.0.0.1:9"};
	struct ld_server_entry e;

	for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
		json_t *o = json_loads(server_text, 0, NULL);
		char *text;

		json_object_set_new(o, "address", json_string(addresses[i]));
		text = json_dumps(o, JSON_COMPACT);
		CU_ASSERT_EQUAL(
		    dialect()->read_server(LD_STR("i-1"), ld_str_c(text), &e),
		    LD_E_PROTOCOL);
		free(text);
		json_decref(o);
	}
}

static void
test_report(void)
{
	struct ld_server_entry e;

	CU_ASSERT_EQUAL(dialect()->read_report(
			    LD_STR("{\"queued\":1,\"active\":12,\"pace\":3.1,"
				   "\"sequence\":2,\"group\":{\"name\":\"g\","
				   "\"epoch\":9,\"rank\":0,\"state\":"
				   "\"open\"}}"),
			    &e),
	    LD_OK);
	CU_ASSERT_DOUBLE_EQUAL(e.pace, 3.1, 0.001);
	CU_ASSERT_EQUAL(e.member.epoch, 9);
	CU_ASSERT_EQUAL(e.member.state, LD_MEMBER_OPEN);
	CU_ASSERT(e.has_order_count);
	CU_ASSERT_EQUAL(e.order_count, 2);
	ld_server_entry_fini(&e);
	CU_ASSERT_EQUAL(
	    dialect()->read_report(LD_STR("{\"pace\":1}"), &e), LD_OK);
	CU_ASSERT(!e.has_order_count);
	ld_server_entry_fini(&e);
	CU_ASSERT_EQUAL(
	    dialect()->read_report(LD_STR("<html>"), &e), LD_E_PROTOCOL);
}

/* ---- Orders ---- */

static void
test_orders(void)
{
	struct ld_order o = {.type = LD_ORDER_JOIN,
	    .group = "m0/5",
	    .epoch = 5,
	    .model = "m0",
	    .token = 3,
	    .member_count = 2,
	    .members = {"i-1", "i-2"}};
	struct ld_buf b = {0};

	dialect()->encode_order(&o, &b);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&b),
	    "{\"operation\":\"join\",\"fencing_token\":3,\"group\":\"m0/5\","
	    "\"epoch\":5,\"model\":\"m0\",\"members\":[\"i-1\",\"i-2\"]}");
	b.len = 0;
	o.conditional = true;
	o.order_count = 7;
	dialect()->encode_order(&o, &b);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&b),
	    "{\"operation\":\"join\",\"fencing_token\":3,\"expected\":7,"
	    "\"group\":\"m0/5\",\"epoch\":5,\"model\":\"m0\","
	    "\"members\":[\"i-1\",\"i-2\"]}");
	o.conditional = false;
	b.len = 0;
	o.type = LD_ORDER_STAGE;
	dialect()->encode_order(&o, &b);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&b),
	    "{\"operation\":\"stage\",\"fencing_token\":3,\"model\":\"m0\"}");
	b.len = 0;
	o.type = LD_ORDER_CLOSE;
	o.shed = true;
	dialect()->encode_order(&o, &b);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&b),
	    "{\"operation\":\"close\",\"fencing_token\":3,\"group\":\"m0/5\","
	    "\"epoch\":5,\"close_mode\":\"shed\"}");
	ld_buf_free(&b);
}

/* ---- The store's calls ---- */

static void
expect_call(const struct ld_store_op *op, const char *method, const char *path,
    const char *body)
{
	struct ld_store_wire w = {0};

	dialect()->codec->ops->encode(op, &w);
	CU_ASSERT_STRING_EQUAL(w.method, method);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&w.path), path);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&w.body), body);
	ld_buf_free(&w.path);
	ld_buf_free(&w.body);
}

static void
test_store_calls(void)
{
	struct ld_store_op op = {
	    .kind = LD_STORE_OP_READ, .key = LD_STR("a/b c"), .prefix = true};

	expect_call(&op, "GET", "/lavenderdrift/kv-range?prefix=a/b%20c", "");
	op.after = LD_STR("a/b d");
	expect_call(&op, "GET",
	    "/lavenderdrift/kv-range?prefix=a/b%20c&after=a/b%20d", "");
	op = (struct ld_store_op){.kind = LD_STORE_OP_CAS,
	    .key = LD_STR("k"),
	    .value = LD_STR("node-1"),
	    .expected = 4,
	    .lease = 9};
	expect_call(&op, "POST", "/lavenderdrift/kv-txn",
	    "{\"expected\":[{\"key\":\"k\",\"revision\":4}],\"put\":[{\"key\":"
	    "\"k\",\"value\":\"bm9kZS0x\",\"lease\":9}],\"delete\":[]}");
	op.kind = LD_STORE_OP_CAS_DELETE;
	expect_call(&op, "POST", "/lavenderdrift/kv-txn",
	    "{\"expected\":[{\"key\":\"k\",\"revision\":4}],\"put\":[],"
	    "\"delete\":[\"k\"]}");
	op.kind = LD_STORE_OP_PUT;
	expect_call(&op, "POST", "/lavenderdrift/kv-txn",
	    "{\"expected\":[],\"put\":[{\"key\":\"k\",\"value\":\"bm9kZS0x\","
	    "\"lease\":9}],\"delete\":[]}");
	op = (struct ld_store_op){.kind = LD_STORE_OP_GRANT, .ttl_s = 3};
	expect_call(
	    &op, "POST", "/lavenderdrift/kv-lease", "{\"ttl_ms\":3000}");
	op = (struct ld_store_op){.kind = LD_STORE_OP_KEEPALIVE, .lease = 9};
	expect_call(&op, "POST", "/lavenderdrift/kv-keep/9", "{}");
	op.kind = LD_STORE_OP_REVOKE;
	expect_call(&op, "DELETE", "/lavenderdrift/kv-lease-end/9", "");
	op = (struct ld_store_op){.kind = LD_STORE_OP_WATCH,
	    .prefix = true,
	    .start_revision = 412,
	    .wait_ms = 1500};
	expect_call(&op, "GET",
	    "/lavenderdrift/kv-watch?prefix=&after=411&wait_ms=1500", "");
}

static enum ld_status
decode(enum ld_store_op_kind kind, bool prefix, long code, const char *body,
    struct ld_store_decoded *d)
{
	struct ld_store_op op = {.kind = kind, .prefix = prefix, .lease = 9};

	CU_ASSERT(dialect()->codec->ops->is_decodable(&op, code));
	return dialect()->codec->ops->decode(&op, code, ld_str_c(body), d);
}

static void
test_store_answers(void)
{
	struct ld_store_decoded d;

	CU_ASSERT_EQUAL(
	    decode(LD_STORE_OP_READ, true, 200,
		"{\"items\":[{\"key\":\"k\",\"value\":\"bm9kZS0x\","
		"\"revision\":4,\"created\":2,\"lease\":9}],\"has_more\":true,"
		"\"at\":530}",
		&d),
	    LD_OK);
	CU_ASSERT_EQUAL(d.revision, 530);
	CU_ASSERT(d.more);
	CU_ASSERT(ld_str_eq(d.events[0].kv.value, LD_STR("node-1")));
	CU_ASSERT_EQUAL(d.events[0].kv.create_revision, 2);
	ld_store_decoded_free(&d);
	CU_ASSERT_EQUAL(decode(LD_STORE_OP_WATCH, true, 200,
			    "{\"events\":[{\"key\":\"k\",\"revision\":8,"
			    "\"deleted\":true}],\"at\":9}",
			    &d),
	    LD_OK);
	CU_ASSERT(d.events[0].deleted && d.revision == 9);
	ld_store_decoded_free(&d);
	CU_ASSERT_EQUAL(decode(LD_STORE_OP_WATCH, true, 410, "", &d), LD_OK);
	CU_ASSERT(d.compacted);
	CU_ASSERT_EQUAL(decode(LD_STORE_OP_CAS, false, 412,
			    "{\"items\":[{\"key\":\"k\",\"value\":\"bQ==\","
			    "\"revision\":4,\"created\":2,\"lease\":0}]}",
			    &d),
	    LD_OK);
	CU_ASSERT(!d.succeeded && d.unversioned && d.n == 1);
	ld_store_decoded_free(&d);
	CU_ASSERT_EQUAL(
	    decode(LD_STORE_OP_KEEPALIVE, false, 404, "", &d), LD_OK);
	CU_ASSERT_EQUAL(d.ttl_ms, 0);
	CU_ASSERT_EQUAL(decode(LD_STORE_OP_GRANT, false, 200,
			    "{\"lease\":77,\"ttl_ms\":2000}", &d),
	    LD_OK);
	CU_ASSERT(d.lease == 77 && d.ttl_ms == 2000);
	CU_ASSERT_EQUAL(decode(LD_STORE_OP_READ, false, 200,
			    "{\"key\":\"k\",\"value\":\"*\",\"at\":5}", &d),
	    LD_E_PROTOCOL);
	ld_store_decoded_free(&d);
}

/* The second of three items is the odd one. */
static void
test_an_odd_item_keeps_others_from_being_read(void)
{
#define SOUND(key) "{\"key\":\"" key "\",\"value\":\"bQ==\",\"revision\":4}"
	static const struct {
		const char *item;
		size_t n;
	} odd[] = {
	    {"{\"key\":\"b\",\"value\":\"*\",\"revision\":5}", 3},
	    {"{\"key\":\"b\",\"value\":\"bQ=\",\"revision\":5}", 3},
	    {"{\"key\":\"b\",\"value\":7,\"revision\":5}", 3},
	    {"{\"key\":\"b\",\"revision\":5}", 3},
	    {"{\"key\":\"b\\u0000c\",\"value\":\"\",\"revision\":5}", 3},
	    {"{\"key\":\"\\u0000\",\"value\":\"bQ==\",\"revision\":5}", 3},
	    {"{}", 2},
	    {"null", 2},
	    {"[[[]]]", 2},
	    {"{\"key\":[\"b\"],\"value\":\"bQ==\",\"revision\":5}", 2},
	    {"{\"key\":\"b\",\"value\":\"bQ==\",\"revision\":-5}", 2},
	    {"{\"key\":\"b\",\"value\":\"bQ==\",\"revision\":1e30}", 2},
	    {"{\"key\":\"b\",\"value\":\"bQ==\",\"lease\":-1}", 2},
	    {"{\"key\":\"b\",\"value\":\"bQ==\",\"created\":\"5\"}", 2},
	    {"{\"key\":\"b\",\"revision\":5,\"deleted\":1}", 2},
	};
	struct ld_store_decoded d;
	struct ld_buf text = {0};

	for (size_t i = 0; i < 2 * sizeof(odd) / sizeof(odd[0]); i++) {
		bool watch = i % 2 == 1;

		text.len = 0;
		ld_buf_printf(&text,
		    "{\"%s\":[" SOUND("a") ",%s," SOUND("c") "],\"at\":9}",
		    watch ? "events" : "items", odd[i / 2].item);
		CU_ASSERT_EQUAL_FATAL(
		    decode(watch ? LD_STORE_OP_WATCH : LD_STORE_OP_READ, true,
			200, ld_buf_cstr(&text), &d),
		    LD_OK);
		CU_ASSERT_EQUAL_FATAL(d.n, odd[i / 2].n);
		CU_ASSERT(ld_str_eq(d.events[0].kv.key, LD_STR("a")));
		CU_ASSERT(ld_str_eq(d.events[d.n - 1].kv.key, LD_STR("c")));
		CU_ASSERT(ld_str_eq(d.events[d.n - 1].kv.value, LD_STR("m")));
		CU_ASSERT_EQUAL(d.revision, 9);
		ld_store_decoded_free(&d);
	}
	ld_buf_free(&text);
#undef SOUND
}

/* A refused write had no effect; a failed one may have had one. */
static void
test_writes_without_effect(void)
{
	const struct ld_store_codec_ops *c = dialect()->codec->ops;

	CU_ASSERT(c->not_applied(503));
	CU_ASSERT(c->not_applied(429));
	CU_ASSERT(c->not_applied(412));
	CU_ASSERT(!c->not_applied(500));
	CU_ASSERT(!c->not_applied(502));
}

/* ---- Corrupted input ---- */

static void
feed_all(struct ld_str bytes)
{
	struct ld_routes *r = NULL;
	struct ld_server_entry e;
	struct ld_store_decoded d;
	struct ld_store_op op = {.kind = LD_STORE_OP_READ, .prefix = true};

	if (dialect()->read_routes(bytes, &r) == LD_OK)
		ld_routes_free(r);
	if (dialect()->read_server(LD_STR("i"), bytes, &e) == LD_OK)
		ld_server_entry_fini(&e);
	if (dialect()->read_report(bytes, &e) == LD_OK)
		ld_server_entry_fini(&e);
	(void)dialect()->codec->ops->decode(&op, 200, bytes, &d);
	ld_store_decoded_free(&d);
}

static void
test_mutated_input(void)
{
	static const char items[] =
	    "{\"items\":[{\"key\":\"k\",\"value\":\"bm9kZS0x\",\"revision\":4,"
	    "\"created\":2,\"lease\":9}],\"has_more\":false,\"at\":530}";
	struct ld_str texts[] = {
	    LD_STR(config_text), LD_STR(server_text), LD_STR(items)};
	struct ld_rand rand;
	struct ld_buf b = {0};

	ld_rand_seed(&rand, 1);
	for (int i = 0; i < MUTATIONS; i++) {
		struct ld_str t = texts[i % 3];

		b.len = 0;
		ld_buf_adds(&b, t);
		for (uint64_t n = 1 + ld_rand_below(&rand, 3); n > 0; n--)
			b.p[ld_rand_below(&rand, b.len)] =
			    (char)ld_rand_below(&rand, 256);
		if (ld_rand_below(&rand, 4) == 0)
			b.len = ld_rand_below(&rand, b.len);
		feed_all(ld_buf_str(&b));
	}
	ld_buf_free(&b);
}

/* ---- Prompts ---- */

static void
test_prompts(void)
{
	struct ld_prompt p = {0}, q = {0};
	char text[LD_PROMPT_TEXT_BYTES];
	struct ld_buf many = {0};

	dialect()->read_prompt(
	    LD_STR("5c1e07a2:800,91bd3f06:410, e4402b7d:250"), &p);
	CU_ASSERT_EQUAL(p.part_count, 2);
	CU_ASSERT_EQUAL(p.parts[0], ld_hash64(LD_STR("5c1e07a2"), 0));
	CU_ASSERT_EQUAL(p.own, ld_hash64(LD_STR("e4402b7d"), 0));
	/* The number of tokens is no part of the identity. */
	dialect()->read_prompt(LD_STR(",5c1e07a2:1,,91bd3f06"), &q);
	CU_ASSERT_EQUAL(q.part_count, 1);
	CU_ASSERT_EQUAL(q.parts[0], p.parts[0]);
	CU_ASSERT_EQUAL(q.own, p.parts[1]);
	ld_prompt_fini(&p);
	ld_prompt_fini(&q);
	dialect()->read_prompt(LD_STR(""), &q);
	CU_ASSERT_EQUAL(q.part_count, 0);
	CU_ASSERT_EQUAL(q.own, 0);
	CU_ASSERT_STRING_EQUAL(ld_prompt_text(&q, text), "-");
	for (int i = 0; i < 1000; i++)
		ld_buf_printf(&many, "%x:1,", i);
	dialect()->read_prompt(ld_buf_str(&many), &q);
	CU_ASSERT_EQUAL(q.part_count, 999);
	CU_ASSERT_EQUAL(q.parts[998], ld_hash64(LD_STR("3e6"), 0));
	CU_ASSERT_EQUAL(q.own, ld_hash64(LD_STR("3e7"), 0));
	CU_ASSERT(strlen(ld_prompt_text(&q, text)) < LD_PROMPT_TEXT_BYTES);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, ",+992/"));
	ld_prompt_fini(&q);
	ld_buf_free(&many);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"routes", test_routes},
	    {"too many models", test_too_many_models},
	    {"unusual numbers", test_unusual_numbers},
	    {"broken configurations", test_broken_routes},
	    {"a server's entry", test_server},
	    {"foreign entries", test_foreign_entries},
	    {"entries that lack a member", test_entries_lack_a_member},
	    {"entries with an address out of range",
		test_entries_with_an_address_out_of_range},
	    {"a report", test_report},
	    {"orders", test_orders},
	    {"calls of the store", test_store_calls},
	    {"answers of the store", test_store_answers},
	    {"an odd item keeps others from being read",
		test_an_odd_item_keeps_others_from_being_read},
	    {"writes without effect", test_writes_without_effect},
	    {"mutated input", test_mutated_input},
	    {"parts of prompts", test_prompts},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("adapter", cases);
}
