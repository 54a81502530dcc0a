/* Parts of the relay without a network: events, responses, datagrams. */
#include <string.h>

#include "../../lib/relay/mesh_codec.h"
#include "../../lib/relay/request_internal.h"
#include "ld_platform.h"
#include "ld_test.h"

#define ID "9c41d07be2a35f68"

/* ---- Events ---- */

static void
test_events_split_anywhere(void)
{
	static const char text[] = "id: 7\ndata: a\n\nweight-versions: 2\n"
				   "id:8\ndata: b\r\n\r\ndata: c\n\n";

	for (size_t cut = 0; cut < sizeof(text); cut++) {
		struct ld_str parts[] = {
		    {text, cut}, {text + cut, sizeof(text) - 1 - cut}};
		uint64_t ids[4] = {0};
		struct ld_sse e = {.max_event_bytes = sizeof(text)};
		struct ld_str event;
		size_t n = 0;

		if (cut == sizeof(text) - 1)
			parts[1].len = 0;
		for (int i = 0; i < 2 && cut < sizeof(text); i++) {
			ld_sse_feed(&e, parts[i]);
			while (n < 4 && ld_sse_next(&e, &event) == LD_OK)
				ids[n++] = ld_sse_id(event);
		}
		CU_ASSERT_EQUAL(n, 3);
		CU_ASSERT_EQUAL(ids[0], 7);
		CU_ASSERT_EQUAL(ids[1], 8);
		CU_ASSERT_EQUAL(ids[2], UINT64_MAX);
		CU_ASSERT_EQUAL(ld_sse_pending_bytes(&e), 0);
		ld_sse_free(&e);
	}
}

static void
test_half_an_event(void)
{
	struct ld_sse e = {.max_event_bytes = 64};
	struct ld_str event;

	ld_sse_feed(&e, LD_STR("id: 7\ndata: a\n"));
	CU_ASSERT_EQUAL(ld_sse_next(&e, &event), LD_E_AGAIN);
	CU_ASSERT(ld_sse_pending_bytes(&e) > 0);
	ld_sse_reset(&e);
	CU_ASSERT_EQUAL(ld_sse_pending_bytes(&e), 0);
	ld_sse_free(&e);
}

static void
test_ids_that_are_none(void)
{
	static const char *const texts[] = {
	    "id: x\n\n", "id: 1234567890123456789012\n\n", "id:\n\n", "\n\n"};
	struct ld_str event;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		struct ld_sse e = {.max_event_bytes = 64};

		ld_sse_feed(&e, ld_str_c(texts[i]));
		CU_ASSERT_EQUAL(ld_sse_next(&e, &event), LD_OK);
		CU_ASSERT_EQUAL(ld_sse_id(event), UINT64_MAX);
		ld_sse_free(&e);
	}
}

/* ---- Responses ---- */

/** struct row - status and header fields of a response, and its verdict */
struct row {
	const char *what;
	long code;
	const char *fields[8];
	enum response_verdict verdict;
};

static enum response_verdict
verdict_of(const struct row *row, size_t *passed_on)
{
	struct response a = {.code = row->code};
	enum response_verdict v;

	for (size_t i = 0; row->fields[i] != NULL; i += 2)
		response_add_field(&a, ld_platform_dialect(), ID,
		    ld_str_c(row->fields[i]), ld_str_c(row->fields[i + 1]));
	v = response_verdict(&a);
	*passed_on = a.field_count;
	response_reset(&a);
	return v;
}

static struct response
answer_of(const char *name, const char *value)
{
	struct response a = {.code = 503};

	response_add_field(
	    &a, ld_platform_dialect(), ID, ld_str_c(name), ld_str_c(value));
	return a;
}

static void
test_what_servers_say_of_themselves(void)
{
	static const struct {
		const char *value;
		uint64_t ms;
	} rows[] = {{"2", 2000}, {"0.25", 250}, {"0", 0}, {"-1", 0},
	    {"soon", 0}, {"2x", 0}, {"", 0},
	    {"Fri, 04 Dec 2026 08:00:00 GMT", 0}, {"1e9", 3600000}, {"nan", 0}};
	struct response a;

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		a = answer_of("retry-after", rows[i].value);
		CU_ASSERT_EQUAL(a.retry_after_ms, rows[i].ms);
		response_reset(&a);
	}
	a = answer_of("server-leaving", "1");
	CU_ASSERT(a.leaving);
	response_reset(&a);
	a = answer_of("Server-Leaving", "0");
	CU_ASSERT(!a.leaving);
	response_reset(&a);
}

static void
test_rates(void)
{
	static const struct {
		const char *value;
		bool named;
		uint32_t milli;
	} rows[] = {{"6.5", true, 6500}, {"0", true, 0}, {"20", true, 20000},
	    {"1e12", true, LD_RATE_UNLIMITED - 1}, {"-1", false, 0},
	    {"many", false, 0}, {"nan", false, 0}, {"", false, 0}};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct response a = answer_of("server-limit", rows[i].value);

		CU_ASSERT_EQUAL(a.names_rate, rows[i].named);
		CU_ASSERT_EQUAL(a.rate_milli, rows[i].milli);
		response_reset(&a);
	}
}

static void
test_answers(void)
{
	static const struct row rows[] = {
	    {"a server's success", 200,
		{"x-attempt-id", ID, "X-Server-Signature", "s"},
		RESPONSE_VALID},
	    {"a success without signature", 200, {"X-Attempt-Id", ID},
		RESPONSE_INVALID},
	    {"of another request", 200,
		{"X-Attempt-Id", "other", "X-Server-Signature", "s"},
		RESPONSE_INVALID},
	    {"a success that names no request", 200,
		{"X-Server-Signature", "s"}, RESPONSE_INVALID},
	    {"an encoded body", 200,
		{"X-Attempt-Id", ID, "X-Server-Signature", "s",
		    "Content-Encoding", "gzip"},
		RESPONSE_INVALID},
	    {"a server's error", 500,
		{"X-Attempt-Id", ID, "X-Server-Signature", "s"},
		RESPONSE_VALID},
	    {"a full server", 503, {"X-Not-Executed", "1"}, RESPONSE_NOT_RUN},
	    {"another server", 421, {"X-Instance-Id", "i"}, RESPONSE_NOT_RUN},
	    {"a late answer of another request", 503,
		{"X-Attempt-Id", "other", "X-Not-Executed", "1"},
		RESPONSE_INVALID},
	};
	size_t n;

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		enum response_verdict v = verdict_of(&rows[i], &n);

		CU_ASSERT_EQUAL(v, rows[i].verdict);
		if (v != rows[i].verdict)
			printf("%s: verdict %d\n", rows[i].what, v);
	}
}

static void
test_connection_fields_stay_here(void)
{
	static const struct row row = {"", 200,
	    {"Connection", "close", "Transfer-Encoding", "chunked", "X-A", "b"},
	    RESPONSE_INVALID};
	size_t n;

	(void)verdict_of(&row, &n);
	CU_ASSERT_EQUAL(n, 1);
}

/* ---- Datagrams between nodes ---- */

static struct mesh_datagram
full_datagram(void)
{
	struct mesh_datagram d = {.number = 7, .can_delegate = true};

	d.load_count = MESH_LOADS_MAX;
	for (uint32_t i = 0; i < MESH_LOADS_MAX; i++)
		d.loads[i] = (struct mesh_load){.server = UINT32_MAX - i,
		    .active = UINT16_MAX,
		    .heard_ago_ms = MESH_HEARD_AGO_MAX_MS,
		    .counts = {[LD_COUNT_TOKENS] = UINT32_MAX}};
	d.alarm_count = MESH_ALARMS_MAX;
	for (int i = 0; i < MESH_ALARMS_MAX; i++) {
		memset(d.alarms[i].group, 'g', MESH_GROUP_NAME_MAX - 1);
		d.alarms[i].epoch = INT64_MAX;
	}
	return d;
}

static void
check_same_loads(const struct mesh_datagram *x, const struct mesh_datagram *y)
{
	for (size_t i = 0; i < MESH_LOADS_MAX; i++) {
		const struct mesh_load *a = &x->loads[i], *b = &y->loads[i];

		CU_ASSERT_EQUAL(a->server, b->server);
		CU_ASSERT_EQUAL(a->active, b->active);
		CU_ASSERT_EQUAL(a->heard_ago_ms, b->heard_ago_ms);
		CU_ASSERT_EQUAL(
		    memcmp(a->counts, b->counts, sizeof(a->counts)), 0);
		CU_ASSERT_EQUAL(a->has_rate, b->has_rate);
		CU_ASSERT_EQUAL(a->rate_milli, b->rate_milli);
		CU_ASSERT_EQUAL(a->rate_ago_ms, b->rate_ago_ms);
	}
}

static void
test_datagrams(void)
{
	struct mesh_datagram d = full_datagram(), back = {0};
	struct ld_buf b = {0};

	mesh_encode(&d, &b);
	/* The longest datagram fits into one read. */
	CU_ASSERT(b.len <= 2048);
	CU_ASSERT_FATAL(mesh_decode(ld_buf_str(&b), &back));
	CU_ASSERT_EQUAL(back.number, d.number);
	CU_ASSERT_EQUAL(back.can_delegate, d.can_delegate);
	CU_ASSERT_EQUAL(back.load_count, d.load_count);
	check_same_loads(&back, &d);
	CU_ASSERT_EQUAL(back.alarm_count, d.alarm_count);
	CU_ASSERT_EQUAL(memcmp(back.alarms, d.alarms, sizeof(d.alarms)), 0);
	CU_ASSERT(!mesh_decode((struct ld_str){b.p, b.len - 1}, &back));
	ld_buf_add(&b, "x", 1);
	CU_ASSERT(!mesh_decode(ld_buf_str(&b), &back));
	ld_buf_free(&b);
}

static void
test_datagrams_with_rates(void)
{
	struct mesh_datagram d = {.number = 7, .covered = 195}, back = {0};
	struct ld_buf b = {0};

	d.load_count = MESH_LOADS_MAX / MESH_RATE_LOADS;
	for (uint32_t i = 0; i < d.load_count; i++)
		d.loads[i] = (struct mesh_load){.server = UINT32_MAX - i,
		    .active = UINT16_MAX,
		    .heard_ago_ms = MESH_HEARD_AGO_MAX_MS,
		    .counts = {UINT32_MAX, UINT32_MAX - 1, UINT32_MAX - 2},
		    .has_rate = true,
		    .rate_milli = LD_RATE_UNLIMITED,
		    .rate_ago_ms = UINT32_MAX};
	d.alarm_count = MESH_ALARMS_MAX;
	for (int i = 0; i < MESH_ALARMS_MAX; i++)
		memset(d.alarms[i].group, 'g', MESH_GROUP_NAME_MAX - 1);
	mesh_encode(&d, &b);
	CU_ASSERT(b.len <= 2048);
	CU_ASSERT_FATAL(mesh_decode(ld_buf_str(&b), &back));
	CU_ASSERT_EQUAL(back.covered, 195);
	CU_ASSERT_EQUAL(back.load_count, d.load_count);
	check_same_loads(&back, &d);
	for (size_t cut = 1; cut < b.len; cut++)
		CU_ASSERT(
		    !mesh_decode((struct ld_str){b.p, b.len - cut}, &back));
	ld_buf_free(&b);
}

static struct mesh_datagram
full_findings(void)
{
	struct mesh_datagram d = {.number = UINT64_MAX, .kind = MESH_TOTAL};

	d.finding_count = MESH_FINDINGS_MAX;
	for (uint32_t i = 0; i < MESH_FINDINGS_MAX; i++)
		d.findings[i] = (struct ld_finding){
		    LD_FINDING_CRASH, UINT64_MAX - i, UINT32_MAX, UINT32_MAX};
	return d;
}

static void
test_findings(void)
{
	struct mesh_datagram d = full_findings(), back = {0};
	struct ld_buf b = {0};

	mesh_encode(&d, &b);
	CU_ASSERT(b.len <= 2048);
	CU_ASSERT_FATAL(mesh_decode(ld_buf_str(&b), &back));
	CU_ASSERT_EQUAL(back.finding_count, MESH_FINDINGS_MAX);
	for (size_t i = 0; i < MESH_FINDINGS_MAX; i++) {
		CU_ASSERT_EQUAL(back.findings[i].kind, d.findings[i].kind);
		CU_ASSERT_EQUAL(back.findings[i].part, d.findings[i].part);
		CU_ASSERT_EQUAL(back.findings[i].server, d.findings[i].server);
		CU_ASSERT_EQUAL(
		    back.findings[i].request, d.findings[i].request);
	}
	ld_buf_free(&b);
	/* A kind of a later version, and no part. */
	d.findings[0].kind = LD_FINDING_KIND_COUNT;
	mesh_encode(&d, &b);
	CU_ASSERT(!mesh_decode(ld_buf_str(&b), &back));
	ld_buf_free(&b);
	d.findings[0] = (struct ld_finding){.kind = LD_FINDING_SOUND};
	mesh_encode(&d, &b);
	CU_ASSERT(!mesh_decode(ld_buf_str(&b), &back));
	ld_buf_free(&b);
	/* Nodes of earlier versions read datagrams without findings. */
	d = full_datagram();
	mesh_encode(&d, &b);
	CU_ASSERT_EQUAL((unsigned char)b.p[0], 0x95);
	ld_buf_free(&b);
}

static void
check_mutated(const struct mesh_datagram *d)
{
	struct mesh_datagram back;
	struct ld_buf whole = {0}, b = {0};
	struct ld_rand rand;

	mesh_encode(d, &whole);
	ld_rand_seed(&rand, 1);
	for (int i = 0; i < 20000; i++) {
		b.len = 0;
		ld_buf_adds(&b, ld_buf_str(&whole));
		for (int n = 0; n < 3; n++)
			b.p[ld_rand_below(&rand, b.len)] =
			    (char)ld_rand_below(&rand, 256);
		if (!mesh_decode(ld_buf_str(&b), &back))
			continue;
		CU_ASSERT_FATAL(back.load_count <= MESH_LOADS_MAX);
		CU_ASSERT_FATAL(back.finding_count <= MESH_FINDINGS_MAX);
		for (size_t k = 0; k < back.alarm_count; k++)
			CU_ASSERT(
			    strnlen(back.alarms[k].group, MESH_GROUP_NAME_MAX) <
			    MESH_GROUP_NAME_MAX);
	}
	ld_buf_free(&whole);
	ld_buf_free(&b);
}

static void
test_mutated_datagrams(void)
{
	struct mesh_datagram loads = full_datagram(),
			     findings = full_findings();

	check_mutated(&loads);
	check_mutated(&findings);
}

/* A head that is too busy to take an order to leave has not left. */
static void
test_order_refused_for_load(void)
{
	static const struct {
		long code;
		enum ld_order_result result;
	} answers[] = {
	    {200, LD_ORDER_DONE},
	    {202, LD_ORDER_BEGUN},
	    {400, LD_ORDER_MISFIT},
	    {409, LD_ORDER_MISFIT},
	    {412, LD_ORDER_FENCED},
	    {421, LD_ORDER_OTHER_SERVER},
	    {429, LD_ORDER_SILENT},
	    {500, LD_ORDER_SILENT},
	    {503, LD_ORDER_SILENT},
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		struct ld_http_result r = {
		    .status = LD_OK, .code = answers[i].code, .sent = true};

		CU_ASSERT_EQUAL(control_order_result(&r), answers[i].result);
	}
}

/* Without a route to it the server may go on serving. */
static void
test_order_without_a_route_says_nothing(void)
{
	struct ld_http_result r = {.status = LD_E_UNAVAILABLE};

	CU_ASSERT_EQUAL(control_order_result(&r), LD_ORDER_SILENT);
	r.refused = true;
	CU_ASSERT_EQUAL(control_order_result(&r), LD_ORDER_UNREACHABLE);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"events split anywhere", test_events_split_anywhere},
	    {"half an event", test_half_an_event},
	    {"ids that are none", test_ids_that_are_none},
	    {"what servers say of themselves",
		test_what_servers_say_of_themselves},
	    {"answers", test_answers},
	    {"rates", test_rates},
	    {"an order refused for load", test_order_refused_for_load},
	    {"an order without a route says nothing",
		test_order_without_a_route_says_nothing},
	    {"datagrams", test_datagrams},
	    {"datagrams with rates", test_datagrams_with_rates},
	    {"findings in datagrams", test_findings},
	    {"mutated datagrams", test_mutated_datagrams},
	    {"fields of one connection", test_connection_fields_stay_here},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("relay parts", cases);
}
