/* Frames, records and orders between builds that run side by side in an upgrade.
 * tests/golden/wire.txt holds those of the build before (tests/golden/README.md).
 * Its decoders skip nothing, so this build has to send exactly the same. */
#include <stdio.h>
#include <stdlib.h>

#include "../../lib/relay/request_internal.h"
#include "ld_golden.h"
#include "upgrade_samples.h"

#define GOLDEN "tests/golden/wire.txt"
#define LINE_BYTES 4096
#define PART_NAME "656b4d0c54ba635e"

/* ---- What is sent ---- */

static const struct {
	const char *name;
	struct mesh_datagram (*make)(void);
} datagrams[] = {{"datagram.report", sample_report},
    {"datagram.total", sample_total_with_rates},
    {"datagram.findings", sample_findings}, {"datagram.probe", sample_probe}};
#define DATAGRAMS (sizeof(datagrams) / sizeof(datagrams[0]))

static struct ld_order
sample_order(enum ld_order_type type)
{
	return (struct ld_order){.type = type,
	    .server = "i-1",
	    .address = "127.0.0.1:9000",
	    .group = GROUP,
	    .epoch = 65536007,
	    .model = "m0",
	    .token = 1000,
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
	struct leader_records *rs = crash_records_quarantined(&relay);

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

static bool
is_quarantined(uint64_t part)
{
	struct request q = {.relay = &relay,
	    .prompt = {.parts = &part, .part_count = 1, .own = 1}};
	uint64_t retry_after_ms;

	return request_is_quarantined(&q, &retry_after_ms);
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
	apply_record(crash_records_quarantined(&relay), PART_NAME, value);
	CU_ASSERT(is_quarantined(PART));
	CU_ASSERT(!is_quarantined(PART + 1));
	read_golden("record.node", value);
	check_node(value);
	close_relay();
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
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("upgrade", cases);
}
