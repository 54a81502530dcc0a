/* Frames, records and orders between builds that run side by side in an upgrade.
 * tests/golden/wire.txt holds those of the build before (tests/golden/README.md).
 * Its decoders skip nothing, so this build has to send exactly the same. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/relay/changes_codec.h"
#include "../../lib/relay/leader_records.h"
#include "../../lib/relay/mesh_codec.h"
#include "../../lib/relay/mesh_internal.h"
#include "../../lib/relay/msgpack_bounded.h"
#include "../../lib/relay/request_internal.h"
#include "ld_golden.h"
#include "ld_platform.h"
#include "ld_ports.h"

#define GOLDEN "tests/golden/wire.txt"
#define LINE_BYTES 4096
#define NODE "n2"
#define GROUP "m0/5"
#define PART 0x656b4d0c54ba635eULL
#define PART_NAME "656b4d0c54ba635e"
#define FRAME_AGE_MS 40

/* ---- A relay without sockets ---- */

static char model_name[] = "m0";
static struct ld_model_spec model = {.name = model_name};
static struct ld_service_spec service = {
    .name = "desk", .engine = {.models = &model, .model_count = 1}};
static struct ld_routes routes = {.services = &service, .service_count = 1};
static struct ld_relay_settings settings = {.name = "n1",
    .failure_domain = "z1",
    .entry_listen = {.host = "127.98.244.19"},
    .peers_port = 7340,
    .processor_permille = 1000};
static struct mesh mesh;
static struct relay relay;

static void
open_relay(void)
{
	relay = (struct relay){.settings = &settings,
	    .dialect = ld_platform_dialect(),
	    .loop = ld_loop_new(),
	    .metrics = ld_metrics_new(),
	    .servers = ld_servers_new(),
	    .routes = &routes,
	    .mesh = &mesh};
	mesh = (struct mesh){
	    .aggregation = {.name = settings.name,
		.domain = agg_domain(ld_str_c(settings.failure_domain)),
		.servers = relay.servers},
	    .relay = &relay,
	    .fd = -1};
	group_records_open(&relay);
	crashing_prompts_open(&relay);
}

static void
close_relay(void)
{
	group_records_close(&relay);
	crashing_prompts_close(&relay);
	agg_free(&mesh.aggregation);
	ld_servers_free(relay.servers);
	ld_metrics_free(relay.metrics);
	ld_loop_free(relay.loop);
}

/* ---- What is sent ---- */

static struct mesh_datagram
sample_report(void)
{
	struct mesh_datagram d = {
	    .number = 70000, .kind = MESH_REPORT, .can_delegate = true};

	d.load_count = 2;
	d.loads[0] = (struct mesh_load){
	    .server = 0xfedcba98, .active = 3, .heard_ago_ms = 25};
	d.loads[0].counts[LD_COUNT_TOKENS] = 4711;
	d.loads[1] = (struct mesh_load){.server = 17,
	    .active = UINT16_MAX,
	    .heard_ago_ms = MESH_HEARD_AGO_MAX_MS};
	d.alarm_count = 1;
	d.alarms[0] = (struct mesh_alarm){.group = GROUP, .epoch = 65536007};
	return d;
}

static struct mesh_datagram
sample_total_with_rates(void)
{
	struct mesh_datagram d = {
	    .number = UINT64_MAX, .kind = MESH_TOTAL, .covered = 195};

	d.load_count = 1;
	d.loads[0] = (struct mesh_load){.server = 4000000000,
	    .active = 1,
	    .heard_ago_ms = 200,
	    .counts = {1, 2, 3},
	    .has_rate = true,
	    .rate_milli = LD_RATE_UNLIMITED,
	    .rate_ago_ms = 70000};
	return d;
}

static struct mesh_datagram
sample_findings(void)
{
	struct mesh_datagram d = {.number = 1, .kind = MESH_PARTIAL};

	d.finding_count = 2;
	d.findings[0] =
	    (struct ld_finding){LD_FINDING_CRASH_BEGUN, PART, 9, 10};
	d.findings[1] = (struct ld_finding){LD_FINDING_QUARANTINED, PART, 0, 0};
	return d;
}

static struct mesh_datagram
sample_probe(void)
{
	return (struct mesh_datagram){.number = 5, .kind = MESH_PROBE};
}

static const struct {
	const char *name;
	struct mesh_datagram (*make)(void);
} datagrams[] = {{"datagram.report", sample_report},
    {"datagram.total", sample_total_with_rates},
    {"datagram.findings", sample_findings}, {"datagram.probe", sample_probe}};
#define DATAGRAMS (sizeof(datagrams) / sizeof(datagrams[0]))

static void
encode_changes(struct ld_buf *out)
{
	struct ld_store_event written = {.kv = {.key = LD_STR("servers/a"),
					     .value = LD_STR("{\"x\":1}"),
					     .mod_revision = 1LL << 40,
					     .create_revision = 12,
					     .version = 3,
					     .lease = 7}};
	struct ld_store_event deleted = {
	    .kv = {.key = LD_STR("servers/b"), .mod_revision = 1LL << 40},
	    .deleted = true};

	changes_encode_header(10, 1LL << 40, FRAME_AGE_MS, 2, out);
	changes_encode_change(&written, out);
	changes_encode_change(&deleted, out);
}

static struct ld_order
sample_order(enum ld_order_type type)
{
	return (struct ld_order){.type = type,
	    .server = "i-1",
	    .address = "127.0.0.1:9000",
	    .group = GROUP,
	    .epoch = 65536007,
	    .model = "m0",
	    .fence = 1000,
	    .shed = true,
	    .member_count = 2,
	    .members = {"i-1", "i-2"}};
}

static void
add_hex(struct ld_buf *session, const char *name, struct ld_str bytes)
{
	ld_buf_printf(session, "%s ", name);
	for (size_t i = 0; i < bytes.len; i++)
		ld_buf_printf(session, "%02x", (unsigned char)bytes.p[i]);
	ld_buf_printf(session, "\n");
}

static void
format_group(struct ld_buf *out)
{
	struct ld_serving_group g = {.group = GROUP,
	    .model = "m0",
	    .epoch = 65536007,
	    .member_count = 2,
	    .members = {"i-1", "i-2"}};
	struct ld_membership m = {
	    .group = GROUP, .model = "m0", .state = LD_MEMBER_READY};

	ld_servers_add_unlisted(
	    relay.servers, "i-1", "127.0.0.1:9000", "desk", &m, 1);
	ld_servers_add_unlisted(
	    relay.servers, "i-2", "127.0.0.2:9000", "desk", &m, 1);
	relay.group_records->ops->format(relay.group_records, &g, out);
}

static void
format_part(struct ld_buf *out)
{
	struct leader_records *rs = crashing_prompts_records(&relay);

	rs->ops->format(rs, NULL, out);
}

static void
add_text(struct ld_buf *session, const char *name,
    void (*format)(struct ld_buf *out))
{
	struct ld_buf b = {0};

	format(&b);
	ld_buf_printf(session, "%s %s\n", name, ld_buf_cstr(&b));
	ld_buf_free(&b);
}

static void
format_entry(struct ld_buf *out)
{
	mesh_entry_format(&settings, out);
}

static void
test_this_build_sends_what_the_build_before_reads(void)
{
	struct ld_buf session = {0}, b = {0};

	open_relay();
	for (size_t i = 0; i < DATAGRAMS; i++) {
		struct mesh_datagram d = datagrams[i].make();

		b.len = 0;
		mesh_encode(&d, &b);
		add_hex(&session, datagrams[i].name, ld_buf_str(&b));
	}
	b.len = 0;
	encode_changes(&b);
	add_hex(&session, "changes", ld_buf_str(&b));
	for (int type = LD_ORDER_JOIN; type <= LD_ORDER_STAGE; type++) {
		struct ld_order o = sample_order((enum ld_order_type)type);

		b.len = 0;
		relay.dialect->encode_order(&o, &b);
		ld_buf_printf(&session, "order %s\n", ld_buf_cstr(&b));
	}
	add_text(&session, "record.group", format_group);
	add_text(&session, "record.quarantine", format_part);
	add_text(&session, "record.node", format_entry);
	golden_check(GOLDEN, &session);
	close_relay();
	ld_buf_free(&session);
	ld_buf_free(&b);
}

/* ---- What is read ---- */

/* The value of the line that begins with @name. */
static void
read_golden(const char *name, char value[LINE_BYTES])
{
	size_t n = strlen(name);
	FILE *f = fopen(GOLDEN, "re");
	char line[LINE_BYTES];

	value[0] = '\0';
	if (f == NULL) {
		CU_FAIL("the golden file can't be opened");
		return;
	}
	while (fgets(line, sizeof(line), f) != NULL)
		if (strncmp(line, name, n) == 0 && line[n] == ' ')
			snprintf(value, LINE_BYTES, "%.*s",
			    (int)strcspn(line + n + 1, "\n"), line + n + 1);
	fclose(f);
	CU_ASSERT_NOT_EQUAL(value[0], '\0');
}

static void
read_golden_bytes(const char *name, struct ld_buf *out)
{
	char hex[LINE_BYTES], pair[3] = {0};

	read_golden(name, hex);
	out->len = 0;
	for (const char *p = hex; p[0] != '\0' && p[1] != '\0'; p += 2) {
		char byte;

		memcpy(pair, p, 2);
		byte = (char)strtoul(pair, NULL, 16);
		ld_buf_add(out, &byte, 1);
	}
}

static void
check_same_datagram(
    const struct mesh_datagram *a, const struct mesh_datagram *b)
{
	CU_ASSERT_EQUAL(a->number, b->number);
	CU_ASSERT_EQUAL(a->kind, b->kind);
	CU_ASSERT_EQUAL(a->can_delegate, b->can_delegate);
	CU_ASSERT_EQUAL(a->covered, b->covered);
	CU_ASSERT_EQUAL_FATAL(a->load_count, b->load_count);
	for (size_t i = 0; i < a->load_count; i++) {
		const struct mesh_load *x = &a->loads[i], *y = &b->loads[i];

		CU_ASSERT_EQUAL(x->server, y->server);
		CU_ASSERT_EQUAL(x->active, y->active);
		CU_ASSERT_EQUAL(x->heard_ago_ms, y->heard_ago_ms);
		CU_ASSERT_EQUAL(
		    memcmp(x->counts, y->counts, sizeof(x->counts)), 0);
		CU_ASSERT_EQUAL(x->has_rate, y->has_rate);
		CU_ASSERT_EQUAL(x->rate_milli, y->rate_milli);
		CU_ASSERT_EQUAL(x->rate_ago_ms, y->rate_ago_ms);
	}
	CU_ASSERT_EQUAL_FATAL(a->alarm_count, b->alarm_count);
	for (size_t i = 0; i < a->alarm_count; i++) {
		CU_ASSERT_STRING_EQUAL(a->alarms[i].group, b->alarms[i].group);
		CU_ASSERT_EQUAL(a->alarms[i].epoch, b->alarms[i].epoch);
	}
	CU_ASSERT_EQUAL_FATAL(a->finding_count, b->finding_count);
	for (size_t i = 0; i < a->finding_count; i++) {
		CU_ASSERT_EQUAL(a->findings[i].kind, b->findings[i].kind);
		CU_ASSERT_EQUAL(a->findings[i].part, b->findings[i].part);
		CU_ASSERT_EQUAL(a->findings[i].server, b->findings[i].server);
		CU_ASSERT_EQUAL(a->findings[i].request, b->findings[i].request);
	}
}

static void
test_datagrams_of_the_build_before(void)
{
	struct ld_buf b = {0};

	for (size_t i = 0; i < DATAGRAMS; i++) {
		struct mesh_datagram d = datagrams[i].make(), back = {0};

		read_golden_bytes(datagrams[i].name, &b);
		CU_ASSERT_FATAL(mesh_decode(ld_buf_str(&b), &back));
		check_same_datagram(&back, &d);
	}
	ld_buf_free(&b);
}

static void
check_changes(const struct changes_message *m)
{
	const struct ld_store_event *e = m->list.events;

	CU_ASSERT_EQUAL(m->after, 10);
	CU_ASSERT_EQUAL(m->revision, 1LL << 40);
	CU_ASSERT_EQUAL(m->age_ms, FRAME_AGE_MS);
	CU_ASSERT_EQUAL_FATAL(m->list.n, 2);
	CU_ASSERT(ld_str_eq(e[0].kv.key, LD_STR("servers/a")));
	CU_ASSERT(ld_str_eq(e[0].kv.value, LD_STR("{\"x\":1}")));
	CU_ASSERT(!e[0].deleted);
	CU_ASSERT_EQUAL(e[0].kv.mod_revision, 1LL << 40);
	CU_ASSERT_EQUAL(e[0].kv.create_revision, 12);
	CU_ASSERT_EQUAL(e[0].kv.version, 3);
	CU_ASSERT_EQUAL(e[0].kv.lease, 7);
	CU_ASSERT(ld_str_eq(e[1].kv.key, LD_STR("servers/b")));
	CU_ASSERT(e[1].deleted);
}

static void
test_changes_of_the_build_before(void)
{
	struct changes_message m;
	struct ld_buf b = {0};

	read_golden_bytes("changes", &b);
	CU_ASSERT_FATAL(changes_decode(ld_buf_str(&b), &m));
	check_changes(&m);
	ld_store_decoded_free(&m.list);
	ld_buf_free(&b);
}

static void
apply_record(struct leader_records *rs, const char *name, const char *value)
{
	struct ld_store_kv kv = {.value = ld_str_c(value), .mod_revision = 4};

	leader_records_apply(rs, ld_str_c(name), &kv);
}

static void
check_member(const char *id, const char *address, uint32_t rank)
{
	const struct ld_server *s =
	    ld_servers_find(relay.servers, ld_str_c(id));

	CU_ASSERT_PTR_NOT_NULL(s);
	if (s == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(s->entry.address, address);
	CU_ASSERT_STRING_EQUAL(s->entry.service, "desk");
	CU_ASSERT_STRING_EQUAL(s->entry.member.group, GROUP);
	CU_ASSERT_STRING_EQUAL(s->entry.member.model, "m0");
	CU_ASSERT_EQUAL(s->entry.member.epoch, 65536007);
	CU_ASSERT_EQUAL(s->entry.member.rank, rank);
}

static bool
is_quarantined(uint64_t part)
{
	struct request q = {.relay = &relay,
	    .prompt = {.parts = {part}, .part_count = 1, .own = 1}};
	uint64_t retry_after_ms;

	return request_is_quarantined(&q, &retry_after_ms);
}

static void
check_node(const char *value)
{
	const struct peer *p;

	mesh_peer_put(&relay, LD_STR(NODE), ld_str_c(value));
	p = agg_peer_find(&mesh.aggregation, LD_STR(NODE));
	CU_ASSERT_PTR_NOT_NULL(p);
	if (p == NULL)
		return;
	CU_ASSERT_EQUAL(ntohs(p->address.sin_port), 7340);
	CU_ASSERT_EQUAL(ntohl(p->address.sin_addr.s_addr), 0x7f62f413);
	CU_ASSERT_EQUAL(p->processor_permille, 1000);
	CU_ASSERT_EQUAL(p->domain, mesh.aggregation.domain);
}

static void
test_records_of_the_build_before(void)
{
	char value[LINE_BYTES];

	open_relay();
	read_golden("record.group", value);
	apply_record(relay.group_records, GROUP, value);
	check_member("i-1", "127.0.0.1:9000", 0);
	check_member("i-2", "127.0.0.2:9000", 1);
	read_golden("record.quarantine", value);
	apply_record(crashing_prompts_records(&relay), PART_NAME, value);
	CU_ASSERT(is_quarantined(PART));
	CU_ASSERT(!is_quarantined(PART + 1));
	read_golden("record.node", value);
	check_node(value);
	close_relay();
}

/* ---- What a later build may send ---- */

/* Frames are arrays of fields, lists of such arrays among them, in turn. */
static void
pack_with_more_fields(const msgpack_object *o, bool is_list, msgpack_packer *pk)
{
	static const char more[] = "later";
	size_t n;

	if (o->type != MSGPACK_OBJECT_ARRAY) {
		msgpack_pack_object(pk, *o);
		return;
	}
	n = o->via.array.size;
	msgpack_pack_array(pk, is_list ? n : n + 2);
	for (size_t i = 0; i < n; i++)
		pack_with_more_fields(&o->via.array.ptr[i], !is_list, pk);
	if (is_list)
		return;
	msgpack_pack_array(pk, 1);
	msgpack_pack_nil(pk);
	msgpack_pack_str(pk, sizeof(more) - 1);
	msgpack_pack_str_body(pk, more, sizeof(more) - 1);
}

static void
add_fields(struct ld_buf *frame)
{
	struct ld_buf out = {0};
	msgpack_unpacked msg;
	msgpack_packer pk;

	CU_ASSERT_FATAL(mp_unpack(ld_buf_str(frame), &msg));
	msgpack_packer_init(&pk, &out, mp_append);
	pack_with_more_fields(&msg.data, false, &pk);
	msgpack_unpacked_destroy(&msg);
	ld_buf_free(frame);
	*frame = out;
}

/* With all fields that are known now: later ones come after them. */
static struct mesh_datagram
sample_of_all_fields(void)
{
	struct mesh_datagram d = sample_total_with_rates(),
			     findings = sample_findings(),
			     report = sample_report();

	d.alarm_count = report.alarm_count;
	d.alarms[0] = report.alarms[0];
	d.finding_count = findings.finding_count;
	memcpy(d.findings, findings.findings, sizeof(d.findings));
	return d;
}

static void
test_later_fields_of_datagrams_are_skipped(void)
{
	struct mesh_datagram d = sample_of_all_fields(), back = {0};
	struct ld_buf b = {0};

	mesh_encode(&d, &b);
	add_fields(&b);
	CU_ASSERT(mesh_decode(ld_buf_str(&b), &back));
	check_same_datagram(&back, &d);
	ld_buf_free(&b);
}

static void
test_later_fields_of_changes_are_skipped(void)
{
	struct changes_message m;
	struct ld_buf b = {0};

	encode_changes(&b);
	add_fields(&b);
	CU_ASSERT(changes_decode(ld_buf_str(&b), &m));
	check_changes(&m);
	ld_store_decoded_free(&m.list);
	ld_buf_free(&b);
}

/* How many lines of an event were logged since the last call. */
static unsigned int
count_logged(const char *event)
{
	FILE *to = tmpfile();
	int out = dup(STDOUT_FILENO);
	unsigned int n = 0;
	char line[LINE_BYTES];

	CU_ASSERT_FATAL(to != NULL && out >= 0);
	fflush(stdout);
	dup2(fileno(to), STDOUT_FILENO);
	ld_event_flush();
	dup2(out, STDOUT_FILENO);
	close(out);
	rewind(to);
	while (fgets(line, sizeof(line), to) != NULL)
		n += strstr(line, event) != NULL;
	fclose(to);
	return n;
}

static void
send_datagrams(int fd, const struct mesh_datagram *d, int n)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	struct ld_buf b = {0};

	to.sin_port = htons((uint16_t)relay.settings->peers_port);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	mesh_encode(d, &b);
	while (n-- > 0) {
		CU_ASSERT_EQUAL(sendto(fd, b.p, b.len, 0,
				    (struct sockaddr *)&to, sizeof(to)),
		    (ssize_t)b.len);
		ev_run(ld_loop_ev(relay.loop), EVRUN_NOWAIT);
	}
	ld_buf_free(&b);
}

static uint64_t
refused(void)
{
	return ld_metrics_get(relay.metrics, LD_M_RELAY_MESH_REFUSED);
}

static void
test_unknown_kinds_of_datagrams_are_logged_once_in_a_while(void)
{
	struct ld_relay_settings here = settings;
	struct mesh_datagram known = sample_probe(), unknown = known;
	struct sockaddr_in at = {.sin_family = AF_INET};
	char entry[64];
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	open_relay();
	here.entry_listen.host = "127.0.0.1";
	here.peers_port = ld_free_port();
	relay.settings = &here;
	CU_ASSERT_EQUAL_FATAL(mesh_open(&relay), LD_OK);
	at.sin_port = htons(ld_free_port());
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	unknown.kind = MESH_KIND_COUNT;
	/* From a node that isn't listed: counted alone. */
	send_datagrams(fd, &known, 1);
	CU_ASSERT_EQUAL(refused(), 1);
	snprintf(
	    entry, sizeof(entry), "127.0.0.1:%u 1000 z1", ntohs(at.sin_port));
	mesh_peer_put(&relay, LD_STR(NODE), ld_str_c(entry));
	(void)count_logged("");
	send_datagrams(fd, &known, 1);
	CU_ASSERT_EQUAL(refused(), 1);
	CU_ASSERT_EQUAL(count_logged("event=datagram.refused "), 0);
	send_datagrams(fd, &unknown, 20);
	CU_ASSERT_EQUAL(refused(), 21);
	CU_ASSERT_EQUAL(count_logged("event=datagram.refused peer=" NODE), 1);
	relay.mesh->next_refused_log_ms = 0;
	send_datagrams(fd, &unknown, 1);
	CU_ASSERT_EQUAL(count_logged("refused=20"), 1);
	/* It goes on. */
	known.number++;
	send_datagrams(fd, &known, 1);
	CU_ASSERT_EQUAL(refused(), 22);
	close(fd);
	mesh_close(&relay);
	close_relay();
}

static bool
knows_server(const char *id)
{
	return ld_servers_find(relay.servers, ld_str_c(id)) != NULL;
}

static void
test_later_words_of_group_records_are_skipped(void)
{
	char value[] = "65536007 m0 desk i-1@127.0.0.1:9000 "
		       "i-2@127.0.0.2:9000 later more=1";
	struct leader_records *rs;

	open_relay();
	rs = relay.group_records;
	CU_ASSERT(rs->ops->apply(rs, GROUP, value));
	check_member("i-1", "127.0.0.1:9000", 0);
	check_member("i-2", "127.0.0.2:9000", 1);
	close_relay();
}

static void
test_group_records_of_unknown_versions_leave_no_member(void)
{
	static const char *const values[] = {
	    "v2 m0 desk i-1@127.0.0.1:9000",
	    "v2 65536007 m0 desk i-1@127.0.0.1:9000",
	    "65536007x m0 desk i-1@127.0.0.1:9000",
	    "-1 m0 desk i-1@127.0.0.1:9000",
	    "{\"epoch\": 65536007} i-1@127.0.0.1:9000 x i-1@127.0.0.1:9000",
	};

	open_relay();
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		apply_record(relay.group_records, GROUP, values[i]);
		CU_ASSERT(!knows_server("i-1"));
	}
	close_relay();
}

static void
test_later_words_of_node_entries_are_skipped(void)
{
	open_relay();
	check_node("127.98.244.19:7340 1000 z1 later more=1");
	close_relay();
}

static void
test_forwarded_requests_of_other_builds(void)
{
	static const struct {
		const char *value;
		bool known;
		uint32_t runs;
	} rows[] = {
	    {"n1 2", true, 2}, /* 49fd21d */
	    {"n1 0", true, 0},
	    {"n1", true, 1},
	    {"n1 2 later", true, 2},
	    {"n1 2 more=1 9", true, 2},
	    {"n1 v2 3", false, 0},
	    {"n1 2x", false, 0},
	    {"n1 -1", false, 0},
	    {"n1 ", false, 0},
	    {"", false, 0},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		uint32_t runs = 0;
		bool known = listen_read_forwarded(rows[i].value, &runs);

		CU_ASSERT_EQUAL(known, rows[i].known);
		if (rows[i].known)
			CU_ASSERT_EQUAL(runs, rows[i].runs);
	}
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"this build sends what the build before reads",
		test_this_build_sends_what_the_build_before_reads},
	    {"datagrams of the build before",
		test_datagrams_of_the_build_before},
	    {"changes of the build before", test_changes_of_the_build_before},
	    {"records of the build before", test_records_of_the_build_before},
	    {"later fields of datagrams are skipped",
		test_later_fields_of_datagrams_are_skipped},
	    {"later fields of changes are skipped",
		test_later_fields_of_changes_are_skipped},
	    {"later words of group records are skipped",
		test_later_words_of_group_records_are_skipped},
	    {"group records of unknown versions leave no member",
		test_group_records_of_unknown_versions_leave_no_member},
	    {"unknown kinds of datagrams are logged once in a while",
		test_unknown_kinds_of_datagrams_are_logged_once_in_a_while},
	    {"later words of node entries are skipped",
		test_later_words_of_node_entries_are_skipped},
	    {"forwarded requests of other builds",
		test_forwarded_requests_of_other_builds},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("upgrade", cases);
}
