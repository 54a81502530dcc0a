/* What a later build may send to this one and write for it: fields that are not known
 * are skipped, and versions that are not known refused. */
#include <stdio.h>
#include <stdlib.h>

#include "../../lib/relay/msgpack_bounded.h"
#include "ld_ports.h"
#include "upgrade_samples.h"

#define LINE_BYTES 1024

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
		int64_t config;
	} rows[] = {
	    {"n1 2", true, 2, 0}, /* 49fd21d */
	    {"n1 0", true, 0, 0},
	    {"n1", true, 1, 0},
	    {"n1 2 later", true, 2, 0},
	    {"n1 2 more=1 9", true, 2, 0},
	    {"n1 2 config=17", true, 2, 17},
	    {"n1 2 config=17 more=1", true, 2, 17},
	    {"n1 2 config=", true, 2, 0},
	    {"n1 2 config=1x", true, 2, 0},
	    {"n1 v2 3", false, 0, 0},
	    {"n1 2x", false, 0, 0},
	    {"n1 -1", false, 0, 0},
	    {"n1 ", false, 0, 0},
	    {"", false, 0, 0},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct forwarded_mark mark = {0};
		bool known = listen_read_forwarded(rows[i].value, &mark);

		CU_ASSERT_EQUAL(known, rows[i].known);
		if (!rows[i].known)
			continue;
		CU_ASSERT_EQUAL(mark.runs_left, rows[i].runs);
		CU_ASSERT_EQUAL(mark.config, rows[i].config);
	}
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
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
	return ld_test_main("later builds", cases);
}
