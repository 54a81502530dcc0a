/*
 * Mutation tests of what others write and a relay reads: server entries,
 * reports, configurations, records, answers of the store, messages of nodes.
 * Usage: test_mutation_records [FIRST LAST], the seeds.
 */
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>

#include "changes_codec.h"
#include "engine_entry.h"
#include "ld_mutate.h"
#include "ld_odd_json.h"
#include "ld_platform.h"
#include "leader_records.h"
#include "mesh_codec.h"
#include "mesh_internal.h"

#define SEED 20261205
#define ROUNDS 2000
/* Mutants between two evaluations of the groups. */
#define EVALUATE_EVERY 50
/* Mutants for which the tables of records are kept. */
#define KEEP_RECORDS 500
#define SERVERS 4
#define STEP_MS 50

static uint64_t first_seed = SEED, last_seed = SEED;

static void
run(const char *name, bool (*take)(struct ld_str), const struct ld_str *inputs)
{
	for (uint64_t seed = first_seed; seed <= last_seed; seed++) {
		struct ld_mutate_target t = {.name = name, .take = take};

		for (const struct ld_str *in = inputs; in->p != NULL; in++)
			ld_mutate_input(&t, *in);
		ld_mutate_run(&t, seed, ROUNDS);
	}
}

/* Each input is JSON, after a line with an id if @has_id. */
static void
run_replaced(const char *name, bool (*take)(struct ld_str), bool has_id,
    const struct ld_str *inputs)
{
	for (uint64_t seed = first_seed; seed <= last_seed; seed++) {
		struct ld_rand rand;
		size_t accepted = 0;

		ld_rand_seed(&rand, seed);
		for (size_t i = 0; i < ROUNDS; i++) {
			struct ld_str in = inputs[i % 2];
			size_t n;

			if (in.p == NULL)
				in = inputs[0];
			n = has_id ? strcspn(in.p, "\n") + 1 : 0;
			accepted += ld_odd_json_take(
			    &rand, take, (struct ld_str){in.p, n}, in.p + n);
		}
		printf("%s: seed %llu, %d with odd fields, %zu accepted\n",
		    name, (unsigned long long)seed, ROUNDS, accepted);
	}
}

static const struct ld_dialect *
dialect(void)
{
	return ld_platform_dialect();
}

/* ---- Server entries and reports, down to the groups ---- */

static struct ld_servers *table;
static struct ld_groups *groups;
static uint64_t now_ms;
static size_t taken;

static void
check_entry(const struct ld_server_entry *e, bool listed)
{
	struct ld_address a = {0};

	if (listed) {
		CU_ASSERT_EQUAL(
		    ld_address_parse(ld_str_c(e->address), &a), LD_OK);
		ld_address_fini(&a);
	}
	CU_ASSERT(e->domain == NULL || strlen(e->domain) < LD_GROUP_NAME_MAX);
	CU_ASSERT(e->member.group == NULL ||
	    strlen(e->member.group) < LD_GROUP_NAME_MAX);
	CU_ASSERT(e->member.model == NULL ||
	    strlen(e->member.model) < LD_GROUP_NAME_MAX);
	CU_ASSERT(e->member.epoch >= 0);
	CU_ASSERT(e->pace >= 0);
}

/* The other servers keep their entries, whatever stands beside them. */
static void
check_others(void)
{
	char id[8];

	for (int i = 0; i < SERVERS; i++) {
		const struct ld_server *s;

		snprintf(id, sizeof(id), "s%d", i);
		s = ld_servers_find(table, ld_str_c(id));
		CU_ASSERT_FATAL(s != NULL && s->listed &&
		    strcmp(s->entry.address, "10.0.0.1:80") == 0);
	}
}

static void
evaluate(void)
{
	static struct ld_model_spec models[] = {{.name = (char *)"m0",
	    .size = 2,
	    .work_share = 1,
	    .pace = 1,
	    .load_ms = 100,
	    .stage_ms = 10}};
	static const struct ld_engine_spec spec = {
	    .slots = 26, .loads_per_s = 5, .models = models, .model_count = 1};
	struct ld_group_change c;
	struct ld_order o;
	struct ld_probe p;

	now_ms += STEP_MS;
	ld_groups_tick(
	    groups, table, LD_STR("llm"), &spec, true, INT64_MAX, now_ms);
	while (ld_groups_next_change(groups, &c))
		;
	while (ld_groups_next_order(groups, &o))
		ld_groups_on_order_result(groups, &o, LD_ORDER_SILENT, now_ms);
	while (ld_groups_next_probe(groups, &p))
		ld_groups_on_probe_result(groups, &p, NULL, now_ms);
	ld_servers_sweep(table, now_ms);
	check_others();
}

/* The input is the id, a line feed and the entry. */
static bool
take_entry(struct ld_str input)
{
	const char *end = memchr(input.p, '\n', input.len);
	struct ld_str id = {input.p, end != NULL ? (size_t)(end - input.p) : 0};
	struct ld_str value = {input.p + id.len, input.len - id.len};
	struct ld_server_entry e;
	bool ok = dialect()->read_server(id, value, &e) == LD_OK;

	if (ok) {
		check_entry(&e, true);
		CU_ASSERT(strlen(e.id) < LD_GROUP_NAME_MAX);
		/* The entries of the other servers are not overwritten. */
		if (ld_servers_find(table, id) == NULL ||
		    !ld_str_starts(id, LD_STR("s")))
			ld_servers_put(table, &e, now_ms);
		ld_server_entry_fini(&e);
	} else if (!ld_str_starts(id, LD_STR("s"))) {
		ld_servers_remove(table, id, now_ms);
	}
	if (++taken % EVALUATE_EVERY == 0)
		evaluate();
	return ok;
}

static void
test_entries(void)
{
	static const struct ld_str inputs[] = {
	    LD_STR("i-1\n{\"service\":\"llm\",\"address\":\"10.0.0.9:80\","
		   "\"zone\":\"z1\",\"version\":\"v1\",\"warmup_left_ms\":0,"
		   "\"slots\":26,\"state\":\"ready\",\"sequence\":4,"
		   "\"domain\":\"d1\",\"born\":1700000000123,\"staged\":"
		   "[\"m0\",{\"name\":\"m1\"}],\"group\":{\"name\":\"m0/5\","
		   "\"epoch\":5,\"rank\":0,\"state\":\"open\",\"model\":"
		   "\"m0\"}}"),
	    LD_STR("i-2\n{\"service\":\"llm\",\"address\":\"10.0.0.9:81\","
		   "\"zone\":\"z1\",\"version\":\"v1\",\"warmup_left_ms\":0,"
		   "\"slots\":26,\"state\":\"draining\",\"sequence\":4,"
		   "\"models\":[{\"name\":\"m0\"}],\"group\":{\"name\":"
		   "\"m0/5\",\"epoch\":5,\"rank\":1,\"state\":\"ready\"}}"),
	    {NULL, 0}};
	char id[8];

	table = ld_servers_new();
	now_ms = 1000;
	groups = ld_groups_new(now_ms, true, STALL_MS);
	for (int i = 0; i < SERVERS; i++) {
		struct ld_server_entry e;

		snprintf(id, sizeof(id), "s%d", i);
		e = engine_entry(id, "z1");
		e.domain = ld_strdup("d1");
		ld_servers_put(table, &e, now_ms);
	}
	ld_groups_lead(groups, 3, now_ms);
	run("server entries", take_entry, inputs);
	run_replaced("server entries", take_entry, true, inputs);
	ld_groups_free(groups);
	ld_servers_free(table);
}

static bool
take_report(struct ld_str input)
{
	struct ld_server_entry e;

	if (dialect()->read_report(input, &e) != LD_OK)
		return false;
	check_entry(&e, false);
	ld_server_entry_fini(&e);
	return true;
}

static void
test_reports(void)
{
	static const struct ld_str inputs[] = {
	    LD_STR("{\"stage\":\"both\",\"models\":[{\"name\":\"m0\"}],"
		   "\"pace\":1.5,\"born\":1700000000123,\"domain\":\"d1\","
		   "\"staged\":[\"m0\"],\"group\":{\"name\":\"m0/5\","
		   "\"epoch\":5,\"rank\":2,\"state\":\"ready\"}}"),
	    {NULL, 0}};

	run("reports", take_report, inputs);
	run_replaced("reports", take_report, false, inputs);
}

/* ---- Configurations ---- */

static bool
take_config(struct ld_str input)
{
	struct ld_routes *r = NULL;

	if (dialect()->read_routes(input, &r) != LD_OK)
		return false;
	CU_ASSERT(r->version > 0);
	(void)ld_routes_match(r, LD_STR("a.example"), LD_STR("/x/z"));
	(void)ld_routes_account(r, LD_STR("k1"));
	for (size_t i = 0; i < r->service_count; i++)
		CU_ASSERT(r->services[i].engine.model_count <= LD_MODELS_MAX);
	ld_routes_free(r);
	return true;
}

static void
test_configurations(void)
{
	static const struct ld_str inputs[] = {
	    LD_STR("{\"version\":7,\"route_table\":[{\"name\":\"r1\",\"host\":"
		   "\"a.example\",\"prefix\":\"/x/\",\"type\":\"streaming\","
		   "\"timeout_ms\":8000,\"priority\":1,\"traffic_split\":[{"
		   "\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\","
		   "\"weight\":10}],\"max_attempts\":2,\"anonymous\":false}],"
		   "\"services\":[{\"name\":\"s1\",\"engine\":{\"slots\":26,"
		   "\"models\":[{\"name\":\"m0\",\"size\":6,\"share\":0.67,"
		   "\"pace\":1.0,\"load_s\":16.0,\"warm_s\":1.6}],\"step_ms\":"
		   "6.45,\"usual\":{\"answer\":152}}},{\"name\":\"s2\"}],"
		   "\"limits\":{\"max_body_bytes\":4194304},\"tenants\":[{"
		   "\"name\":\"t1\",\"api_keys\":[\"k1\"],\"priority\":1}]}"),
	    {NULL, 0}};

	run("configurations", take_config, inputs);
	run_replaced("configurations", take_config, false, inputs);
}

/* ---- Answers of the store: an odd item between two sound ones ---- */

#define SOUND(key)                                                            \
	"{\"key\":\"" key "\",\"value\":\"bQ==\",\"revision\":4,\"created\":" \
	"2}"

static bool
decode(enum ld_store_op_kind kind, long code, struct ld_str body,
    struct ld_store_decoded *d)
{
	struct ld_store_op op = {.kind = kind, .prefix = true};

	return dialect()->codec->ops->decode(&op, code, body, d) == LD_OK;
}

static bool
take_item(struct ld_str input)
{
	json_t *alone = json_loadb(input.p, input.len,
	    JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL | JSON_DECODE_ANY, NULL);
	struct ld_buf text = {0};
	struct ld_store_decoded d;
	bool ok = alone != NULL && json_is_object(alone);

	ld_buf_adds(&text, LD_STR("{\"at\":9,\"events\":[" SOUND("a") ","));
	ld_buf_adds(&text, input);
	ld_buf_adds(&text, LD_STR("," SOUND("c") "]}"));
	if (decode(LD_STORE_OP_WATCH, 200, ld_buf_str(&text), &d) && ok) {
		CU_ASSERT_FATAL(d.n == 2 || d.n == 3);
		CU_ASSERT(ld_str_eq(d.events[0].kv.key, LD_STR("a")));
		CU_ASSERT(ld_str_eq(d.events[d.n - 1].kv.key, LD_STR("c")));
		ok = d.n == 3;
	} else {
		CU_ASSERT(!ok);
		ok = false;
	}
	ld_store_decoded_free(&d);
	ld_buf_free(&text);
	json_decref(alone);
	return ok;
}

static void
test_items(void)
{
	static const struct ld_str inputs[] = {
	    LD_STR("{\"key\":\"servers/i-1\",\"value\":\"bm9kZS0x\","
		   "\"revision\":4,\"created\":2,\"lease\":9}"),
	    LD_STR("{\"key\":\"servers/i-1\",\"revision\":8,\"deleted\":true}"),
	    {NULL, 0}};

	run("items", take_item, inputs);
	run_replaced("items", take_item, false, inputs);
}

static bool
take_answer(struct ld_str input)
{
	static const enum ld_store_op_kind kinds[] = {LD_STORE_OP_READ,
	    LD_STORE_OP_WATCH, LD_STORE_OP_CAS, LD_STORE_OP_GRANT,
	    LD_STORE_OP_KEEPALIVE, LD_STORE_OP_REVOKE};
	struct ld_store_decoded d;
	bool any = false;

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		bool ok = decode(kinds[i], 200, input, &d);

		CU_ASSERT(!ok || d.unversioned || d.revision > 0);
		any |= ok && kinds[i] != LD_STORE_OP_REVOKE;
		ld_store_decoded_free(&d);
	}
	decode(LD_STORE_OP_CAS, 412, input, &d);
	ld_store_decoded_free(&d);
	return any;
}

static void
test_answers(void)
{
	static const struct ld_str inputs[] = {
	    LD_STR("{\"items\":[" SOUND("a") "],\"has_more\":true,\"at\":9}"),
	    LD_STR("{\"events\":[" SOUND("a") "],\"at\":9}"),
	    LD_STR("{\"revision\":9}"),
	    LD_STR("{\"lease\":77,\"ttl_ms\":2000}"), {NULL, 0}};

	run("answers of the store", take_answer, inputs);
	run_replaced("answers of the store", take_answer, false, inputs);
}

/* ---- Records: the name, a line feed and the value ---- */

static struct relay r;
static struct ld_relay_settings settings;
static struct mesh mesh;

static void
open_records(void)
{
	r.servers = ld_servers_new();
	mesh.aggregation.servers = r.servers;
	group_records_open(&r);
	crashing_requests_open(&r);
	mesh_peer_put(&r, LD_STR("n9"), LD_STR("10.0.0.9:80 250 z1"));
	leader_records_apply(r.group_records, LD_STR("m0/1"),
	    &(struct ld_store_kv){
		.value = LD_STR("1 m0 desk a@10.0.0.9:80 b@10.0.0.9:81"),
		.mod_revision = 3});
}

static void
check_records(void)
{
	const struct peer *p = agg_peer_find(&mesh.aggregation, LD_STR("n9"));

	CU_ASSERT_PTR_NOT_NULL_FATAL(p);
	CU_ASSERT_PTR_NOT_NULL(ld_servers_find(r.servers, LD_STR("a")));
	CU_ASSERT_PTR_NOT_NULL(ld_servers_find(r.servers, LD_STR("b")));
	for (struct ld_server *s = ld_servers_first(r.servers); s != NULL;
	     s = s->next)
		check_entry(&s->entry, true);
	for (size_t i = 0; i < mesh.aggregation.peer_count; i++) {
		CU_ASSERT(
		    mesh.aggregation.peers[i].processor_permille < 10000000);
		CU_ASSERT(mesh.aggregation.peers[i].address.sin_port != 0);
	}
}

static void
close_records(void)
{
	check_records();
	crashing_requests_close(&r);
	group_records_close(&r);
	agg_free(&mesh.aggregation);
	memset(&mesh.aggregation, 0, sizeof(mesh.aggregation));
	ld_servers_free(r.servers);
}

static void
take_record(struct ld_str input,
    void (*apply)(struct ld_str name, const struct ld_store_kv *kv))
{
	const char *end = memchr(input.p, '\n', input.len);
	struct ld_str name = {
	    input.p, end != NULL ? (size_t)(end - input.p) : input.len};
	struct ld_store_kv kv = {.value = LD_STR(""), .mod_revision = 4};

	if (end != NULL)
		kv.value = (struct ld_str){end + 1, input.len - name.len - 1};
	if (taken++ % KEEP_RECORDS == 0) {
		close_records();
		open_records();
	}
	apply(name, &kv);
}

static void
apply_group(struct ld_str name, const struct ld_store_kv *kv)
{
	if (ld_str_eq(name, LD_STR("m0/1")))
		return;
	leader_records_apply(r.group_records, name, kv);
	if (taken % 3 == 0)
		leader_records_apply(r.group_records, name, NULL);
}

static void
apply_part(struct ld_str name, const struct ld_store_kv *kv)
{
	leader_records_apply(crash_records_quarantined(&r), name, kv);
	if (taken % 3 == 0)
		leader_records_apply(crash_records_quarantined(&r), name, NULL);
}

static void
apply_node(struct ld_str name, const struct ld_store_kv *kv)
{
	size_t before = mesh.aggregation.peer_count;

	if (ld_str_eq(name, LD_STR("n9")))
		return;
	mesh_peer_put(&r, name, kv->value);
	/* A second time it is the same node. */
	mesh_peer_put(&r, name, kv->value);
	CU_ASSERT(mesh.aggregation.peer_count <= before + 1);
	mesh_peer_deleted(&r, name);
	CU_ASSERT(mesh.aggregation.peer_count <= before);
}

static bool
take_group(struct ld_str input)
{
	take_record(input, apply_group);
	return true;
}

static bool
take_part(struct ld_str input)
{
	take_record(input, apply_part);
	return true;
}

static bool
take_node(struct ld_str input)
{
	take_record(input, apply_node);
	return true;
}

static void
test_records(void)
{
	static const struct ld_str group[] = {
	    LD_STR("m0/5\n5 m0 desk i-8@127.0.0.1:9 i-9@127.0.0.1:10"),
	    LD_STR("m0/6\n6 m0 desk i-8@127.0.0.1:9"), {NULL, 0}};
	static const struct ld_str parts[] = {
	    LD_STR("0123456789abcdef\nn1"), {NULL, 0}};
	static const struct ld_str nodes[] = {LD_STR("n2\n127.0.0.1:9 250 z1"),
	    LD_STR("a/b-3\n10.0.0.1:65535 1000 zone 2"), {NULL, 0}};

	settings.name = (char *)"n1";
	r.settings = &settings;
	r.loop = ld_loop_new();
	r.metrics = ld_metrics_new();
	r.mesh = &mesh;
	open_records();
	run("group records", take_group, group);
	run("quarantine records", take_part, parts);
	run("node entries", take_node, nodes);
	close_records();
	ld_metrics_free(r.metrics);
	ld_loop_free(r.loop);
}

/* ---- Messages between nodes ---- */

static bool
take_changes(struct ld_str input)
{
	struct changes_message m, again;
	struct ld_buf b = {0};
	bool ok = changes_decode(input, &m);

	if (ok) {
		changes_encode_header(
		    m.after, m.revision, m.age_ms, m.list.n, &b);
		for (size_t i = 0; i < m.list.n; i++)
			changes_encode_change(&m.list.events[i], &b);
		CU_ASSERT(changes_decode(ld_buf_str(&b), &again));
		CU_ASSERT_EQUAL(again.list.n, m.list.n);
		ld_store_decoded_free(&again.list);
	}
	ld_store_decoded_free(&m.list);
	ld_buf_free(&b);
	return ok;
}

static bool
take_datagram(struct ld_str input)
{
	static struct mesh_datagram d, again;
	struct ld_buf b = {0};

	if (!mesh_decode(input, &d))
		return false;
	CU_ASSERT(d.load_count <= MESH_LOADS_MAX);
	mesh_encode(&d, &b);
	CU_ASSERT(mesh_decode(ld_buf_str(&b), &again));
	CU_ASSERT_EQUAL(again.load_count, d.load_count);
	CU_ASSERT_EQUAL(again.alarm_count, d.alarm_count);
	ld_buf_free(&b);
	return true;
}

static void
test_messages(void)
{
	static struct mesh_datagram d = {.number = 7,
	    .can_delegate = true,
	    .load_count = 1,
	    .alarm_count = 1,
	    .finding_count = 1,
	    .covered = 3};
	const struct ld_store_event events[] = {
	    {.kv = {.key = LD_STR("servers/i-1"),
		 .value = LD_STR("[[[["),
		 .mod_revision = 8}},
	    {.kv = {.key = LD_STR("servers/i-2"), .mod_revision = 9},
		.deleted = true}};
	struct ld_buf changes = {0}, datagram = {0};
	struct ld_str inputs[2] = {{NULL, 0}, {NULL, 0}};

	changes_encode_header(7, 9, 12, 2, &changes);
	for (int i = 0; i < 2; i++)
		changes_encode_change(&events[i], &changes);
	d.loads[0].has_rate = true;
	d.findings[0].part = 5;
	memcpy(d.alarms[0].group, "m0/5", sizeof("m0/5"));
	mesh_encode(&d, &datagram);
	inputs[0] = ld_buf_str(&changes);
	run("changes", take_changes, inputs);
	inputs[0] = ld_buf_str(&datagram);
	run("datagrams", take_datagram, inputs);
	ld_buf_free(&changes);
	ld_buf_free(&datagram);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"server entries", test_entries},
	    {"reports of servers", test_reports},
	    {"configurations", test_configurations},
	    {"items of the store", test_items},
	    {"answers of the store", test_answers},
	    {"records of groups, prompts and nodes", test_records},
	    {"messages between nodes", test_messages},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	if (argc == 3) {
		first_seed = strtoull(argv[1], NULL, 10);
		last_seed = strtoull(argv[2], NULL, 10);
	}
	return ld_test_main("mutated records", cases);
}
