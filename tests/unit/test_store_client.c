/* Store codec, settling of unknown writes, live list; no sockets. */
#include <stdlib.h>
#include <string.h>

#include "ld_test.h"
#include "store_internal.h"

#define HEADER(rev)                                            \
	"\"header\":{\"cluster_id\":\"14841639068965178418\"," \
	"\"revision\":\"" rev "\"}"
/* "/p/k" and "v1" in base64. */
#define KV                                          \
	"{\"key\":\"L3Avaw==\",\"value\":\"djE=\"," \
	"\"create_revision\":\"5\",\"mod_revision\":\"7\",\"version\":\"3\"}"

static const char range_answer[] =
    "{" HEADER("9") ",\"kvs\":[" KV "],\"count\":\"1\"}\n";
static const char watch_line[] =
    "{\"result\":{" HEADER("9") ",\"events\":["
				"{\"kv\":" KV "},{\"type\":\"DELETE\",\"kv\":"
				"{\"key\":\"L3Avaw==\","
				"\"mod_revision\":\"8\"}}]}}";

static const struct ld_store_codec_ops *
codec(void)
{
	return ld_store_codec_etcd()->ops;
}

static void
check_encoded(struct ld_store_op op, const char *path, const char *expected)
{
	struct ld_store_wire w = {0};

	op.key = LD_STR("/p/k");
	codec()->encode(&op, &w);
	CU_ASSERT_STRING_EQUAL(w.method, "POST");
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&w.path), path);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&w.body), expected);
	ld_buf_free(&w.path);
	ld_buf_free(&w.body);
}

static void
test_calls_are_encoded(void)
{
	check_encoded((struct ld_store_op){.kind = LD_STORE_OP_READ},
	    "/v3/kv/range", "{\"key\":\"L3Avaw==\"}");
	check_encoded(
	    (struct ld_store_op){.kind = LD_STORE_OP_READ, .prefix = true},
	    "/v3/kv/range",
	    "{\"key\":\"L3Avaw==\",\"range_end\":\"L3AvbA==\"}");
	check_encoded((struct ld_store_op){.kind = LD_STORE_OP_CAS,
			  .value = LD_STR("v1"),
			  .expected = 7,
			  .lease = 12},
	    "/v3/kv/txn",
	    "{\"compare\":[{\"key\":\"L3Avaw==\",\"target\":\"MOD\","
	    "\"result\":\"EQUAL\",\"mod_revision\":\"7\"}],"
	    "\"failure\":[{\"request_range\":{\"key\":\"L3Avaw==\"}}],"
	    "\"success\":[{\"request_put\":{\"key\":\"L3Avaw==\","
	    "\"value\":\"djE=\",\"lease\":\"12\"}}]}");
	check_encoded((struct ld_store_op){.kind = LD_STORE_OP_CAS_DELETE},
	    "/v3/kv/txn",
	    "{\"compare\":[{\"key\":\"L3Avaw==\",\"target\":\"MOD\","
	    "\"result\":\"EQUAL\",\"mod_revision\":\"0\"}],"
	    "\"failure\":[{\"request_range\":{\"key\":\"L3Avaw==\"}}],"
	    "\"success\":[{\"request_delete_range\":{\"key\":\"L3Avaw==\"}}]}");
	check_encoded(
	    (struct ld_store_op){.kind = LD_STORE_OP_GRANT, .ttl_s = 5},
	    "/v3/lease/grant", "{\"TTL\":\"5\"}");
	check_encoded(
	    (struct ld_store_op){.kind = LD_STORE_OP_KEEPALIVE, .lease = 8},
	    "/v3/lease/keepalive", "{\"ID\":\"8\"}");
	check_encoded((struct ld_store_op){.kind = LD_STORE_OP_WATCH,
			  .start_revision = 10},
	    "/v3/watch",
	    "{\"create_request\":{\"key\":\"L3Avaw==\","
	    "\"start_revision\":\"10\",\"progress_notify\":true}}");
}

static void
test_read_is_decoded(void)
{
	struct ld_store_op op = {.kind = LD_STORE_OP_READ};
	struct ld_store_decoded d;

	CU_ASSERT_EQUAL(
	    codec()->decode(&op, 200, LD_STR(range_answer), &d), LD_OK);
	CU_ASSERT_EQUAL(d.cluster_id, 14841639068965178418ULL);
	CU_ASSERT_EQUAL(d.revision, 9);
	CU_ASSERT_EQUAL(d.n, 1);
	CU_ASSERT(ld_str_eq(d.events[0].kv.key, LD_STR("/p/k")));
	CU_ASSERT(ld_str_eq(d.events[0].kv.value, LD_STR("v1")));
	CU_ASSERT_EQUAL(d.events[0].kv.mod_revision, 7);
	CU_ASSERT_EQUAL(d.events[0].kv.version, 3);
	ld_store_decoded_free(&d);
}

static void
test_transaction_is_decoded(void)
{
	static const char applied[] = "{" HEADER(
	    "9") ",\"succeeded\":true,\"responses\":[{\"response_put\":{}}]}";
	static const char lost[] = "{" HEADER(
	    "9") ",\"responses\":[{\"response_range\":{\"kvs\":[" KV "]}}]}";
	static const char stub[] = "{" HEADER("9") "}";
	struct ld_store_op op = {.kind = LD_STORE_OP_CAS};
	struct ld_store_decoded d;

	CU_ASSERT_EQUAL(codec()->decode(&op, 200, LD_STR(applied), &d), LD_OK);
	CU_ASSERT_TRUE(d.succeeded);
	ld_store_decoded_free(&d);
	CU_ASSERT_EQUAL(codec()->decode(&op, 200, LD_STR(lost), &d), LD_OK);
	CU_ASSERT_FALSE(d.succeeded);
	CU_ASSERT_EQUAL(d.n, 1);
	ld_store_decoded_free(&d);
	CU_ASSERT_EQUAL(
	    codec()->decode(&op, 200, LD_STR(stub), &d), LD_E_PROTOCOL);
	ld_store_decoded_free(&d);
}

static void
test_watch_line_is_decoded(void)
{
	static const char gone[] = "{\"result\":{" HEADER(
	    "9") ",\"canceled\":true,\"compact_revision\":\"6\"}}";
	struct ld_store_decoded d;

	CU_ASSERT_EQUAL(codec()->decode_line(LD_STR(watch_line), &d), LD_OK);
	CU_ASSERT_EQUAL(d.n, 2);
	CU_ASSERT_FALSE(d.events[0].deleted);
	CU_ASSERT_TRUE(d.events[1].deleted);
	CU_ASSERT_EQUAL(d.events[1].kv.mod_revision, 8);
	ld_store_decoded_free(&d);
	CU_ASSERT_EQUAL(codec()->decode_line(LD_STR(gone), &d), LD_OK);
	CU_ASSERT_TRUE(d.canceled);
	CU_ASSERT_TRUE(d.compacted);
	ld_store_decoded_free(&d);
}

/* ---- Settling ---- */

static bool
settle(const struct ld_store_kv *kv, struct ld_store_answer *out)
{
	struct store_request r = {
	    .op = {.value = LD_STR("mine")},
	    .expect = {.mod_revision = 7, .create_revision = 5, .version = 3},
	};
	struct ld_store_answer read = {
	    .status = kv != NULL ? LD_OK : LD_E_NOT_FOUND,
	    .kvs = kv,
	    .n = kv != NULL ? 1 : 0,
	};

	return store_settle_step(&r, &read, out);
}

static void
test_settling(void)
{
	struct ld_store_kv kv = {.create_revision = 5,
	    .mod_revision = 7,
	    .version = 3,
	    .value = LD_STR("old")};
	struct ld_store_answer a;

	/* The key is unchanged: the write may still be applied. */
	CU_ASSERT_FALSE(settle(&kv, &a));
	CU_ASSERT_EQUAL(a.outcome, LD_STORE_UNKNOWN);
	kv.mod_revision = 8;
	kv.version = 4;
	CU_ASSERT_TRUE(settle(&kv, &a));
	CU_ASSERT_EQUAL(a.outcome, LD_STORE_NOT_APPLIED);
	kv.value = LD_STR("mine");
	CU_ASSERT_TRUE(settle(&kv, &a));
	CU_ASSERT_EQUAL(a.outcome, LD_STORE_APPLIED);
	CU_ASSERT_EQUAL(a.revision, 8);
	/* Two versions later: the first of the two may be this write. */
	kv.value = LD_STR("other");
	kv.version = 5;
	CU_ASSERT_TRUE(settle(&kv, &a));
	CU_ASSERT_EQUAL(a.outcome, LD_STORE_UNKNOWN);
	CU_ASSERT_TRUE(settle(NULL, &a));
	CU_ASSERT_EQUAL(a.outcome, LD_STORE_UNKNOWN);
}

static void
test_waits_double_with_jitter(void)
{
	struct ld_rand rand;
	struct backoff b = {.min_ms = 100, .max_ms = 1000, .rand = &rand};

	ld_rand_seed(&rand, 3);
	for (uint64_t cap = 100; cap < 5000; cap *= 2) {
		uint64_t bound = cap < 1000 ? cap : 1000;
		uint64_t wait = backoff_next(&b);

		CU_ASSERT(wait >= bound / 2 && wait <= bound);
	}
}

/* ---- Live list ---- */

static enum live_verdict
apply(
    struct live_state *s, int64_t version, const char *states, uint64_t now_ms)
{
	struct ld_buf json = {0};
	struct live_doc doc;

	ld_buf_printf(
	    &json, "{\"version\":%lld,\"instances\":[", (long long)version);
	for (size_t i = 0; states[i] != '\0'; i++) {
		if (states[i] == '-')
			continue;
		ld_buf_printf(&json,
		    "%s{\"address\":\"127.0.0.1:%zu\",\"role\":\"engine\","
		    "\"fabric\":\"f1\",\"zone\":null,\"state\":\"%s\"}",
		    json.p[json.len - 1] == '[' ? "" : ",", 9000 + i,
		    states[i] == 'L' ? "live" : "leaving");
	}
	ld_buf_adds(&json, LD_STR("]}"));
	CU_ASSERT_EQUAL(live_doc_parse(ld_buf_str(&json), &doc), LD_OK);
	ld_buf_free(&json);
	return live_state_apply(s, &doc, now_ms);
}

/* One letter per listed instance: L for live, x for leaving. */
static const char *
listed_states(const struct live_state *s)
{
	static char text[16];

	memset(text, 0, sizeof(text));
	for (size_t i = 0; i < s->doc.n; i++)
		text[i] = s->doc.v[i].leaving ? 'x' : 'L';
	return text;
}

static void
test_live_list_never_goes_back(void)
{
	struct live_state s;

	live_state_init(&s, 10000);
	CU_ASSERT_EQUAL(apply(&s, 5, "LL", 0), LIVE_ADOPTED);
	CU_ASSERT_EQUAL(apply(&s, 5, "LL", 10), LIVE_CONFIRMED);
	CU_ASSERT_EQUAL(apply(&s, 6, "xL", 20), LIVE_ADOPTED);
	CU_ASSERT_EQUAL(apply(&s, 5, "LL", 30), LIVE_REFUSED);
	CU_ASSERT_STRING_EQUAL(listed_states(&s), "xL");
	/* A lagging copy that advances is no restart while a newer one answers. */
	CU_ASSERT_EQUAL(apply(&s, 6, "xL", 9000), LIVE_CONFIRMED);
	CU_ASSERT_EQUAL(apply(&s, 5, "LL", 12000), LIVE_REFUSED);
	CU_ASSERT_EQUAL(apply(&s, 7, "LL", 13000), LIVE_ADOPTED);
	CU_ASSERT_STRING_EQUAL(listed_states(&s), "LL");
	live_state_fini(&s);
}

static void
test_restarted_list_keeps_leaving(void)
{
	struct live_state s;

	live_state_init(&s, 10000);
	apply(&s, 40, "xLx", 0);
	CU_ASSERT_EQUAL(apply(&s, 1, "LLL", 1000), LIVE_REFUSED);
	CU_ASSERT_EQUAL(apply(&s, 2, "LLL", 6000), LIVE_REFUSED);
	CU_ASSERT_EQUAL(apply(&s, 2, "LLL", 11000), LIVE_RESTARTED);
	CU_ASSERT_STRING_EQUAL(listed_states(&s), "xLx");
	CU_ASSERT_EQUAL(apply(&s, 3, "-LL", 12000), LIVE_ADOPTED);
	CU_ASSERT_EQUAL(apply(&s, 4, "LLL", 13000), LIVE_ADOPTED);
	CU_ASSERT_STRING_EQUAL(listed_states(&s), "LLx");
	CU_ASSERT_EQUAL(apply(&s, 41, "LLL", 14000), LIVE_ADOPTED);
	CU_ASSERT_STRING_EQUAL(listed_states(&s), "LLL");
	live_state_fini(&s);
}

static void
test_live_list_with_faults(void)
{
	static const char text[] =
	    "{\"version\":3,\"instances\":[7,{\"address\":\"127.0.0.1:2\","
	    "\"role\":\"service\",\"state\":\"live\"},{\"address\":"
	    "\"127.0.0.1:2\",\"role\":\"service\",\"state\":\"leaving\"},"
	    "{\"address\":\"127.0.0.1:1\",\"role\":\"cook\","
	    "\"state\":\"live\"}]}";
	struct live_doc doc;

	CU_ASSERT_EQUAL(live_doc_parse(LD_STR(text), &doc), LD_OK);
	CU_ASSERT_EQUAL(doc.n, 1);
	CU_ASSERT_TRUE(doc.v[0].leaving);
	live_doc_free(&doc);
	CU_ASSERT_EQUAL(
	    live_doc_parse(LD_STR("{\"instances\":[]}"), &doc), LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(live_doc_parse(LD_STR(""), &doc), LD_E_PROTOCOL);
}

/* ---- Mutated input ---- */

static size_t
mutate(struct ld_rand *r, char *text, const char *good, size_t len)
{
	memcpy(text, good, len);
	for (uint64_t k = 1 + ld_rand_below(r, 3); k > 0; k--)
		text[ld_rand_below(r, len)] = (char)ld_rand_u64(r);
	return ld_rand_below(r, 4) == 0 ? ld_rand_below(r, len) : len;
}

static void
test_mutated_answers(void)
{
	static const char list[] =
	    "{\"version\":3,\"instances\":[{\"address\":\"127.0.0.1:2\","
	    "\"role\":\"service\",\"zone\":\"z1\",\"state\":\"live\"}]}";
	struct ld_store_op op = {.kind = LD_STORE_OP_READ};
	struct ld_store_decoded d;
	struct live_doc doc;
	struct ld_rand r;
	char text[1024];
	size_t len;

	ld_rand_seed(&r, 12);
	printf("seed 12\n");
	ld_log_init("test_store_client", LD_LOG_ERR);
	for (int i = 0; i < 100000; i++) {
		len = mutate(&r, text, range_answer, sizeof(range_answer) - 1);
		codec()->decode(&op, 200, (struct ld_str){text, len}, &d);
		ld_store_decoded_free(&d);
		len = mutate(&r, text, watch_line, sizeof(watch_line) - 1);
		codec()->decode_line((struct ld_str){text, len}, &d);
		ld_store_decoded_free(&d);
		len = mutate(&r, text, list, sizeof(list) - 1);
		live_doc_parse((struct ld_str){text, len}, &doc);
		live_doc_free(&doc);
	}
	CU_PASS("nothing was read out of bounds");
}

/* ---- Eras ---- */

/* A store whose codec reads an era from the response headers. */
static struct ld_store
store_with_eras(struct ld_store_codec *c, struct ld_store_codec_ops *ops)
{
	*ops = *codec();
	ops->era_field = "Era";
	c->ops = ops;
	return (struct ld_store){.codec = c};
}

static enum ld_status
apply_answer(struct ld_store *s, int64_t era, int64_t revision, int64_t *out)
{
	struct ld_store_decoded d = {.cluster_id = 1, .revision = revision};
	int64_t floor = s->revision;
	enum ld_status st;

	ld_store_decoded_add(&d)->kv.mod_revision = revision;
	st = store_apply_era(s, era, &d);
	if (st == LD_OK)
		st = store_check_response(s, &d, floor);
	*out = d.events[0].kv.mod_revision;
	CU_ASSERT(st != LD_OK || *out == d.revision);
	ld_store_decoded_free(&d);
	return st;
}

static void
test_a_later_era_is_newer(void)
{
	struct ld_store_codec_ops ops;
	struct ld_store_codec c;
	struct ld_store s = store_with_eras(&c, &ops);
	int64_t first, later;

	CU_ASSERT_EQUAL(apply_answer(&s, 1, 900, &first), LD_OK);
	/* Wire revisions restart, but rank above all of the earlier era. */
	CU_ASSERT_EQUAL(apply_answer(&s, 2, 7, &later), LD_OK);
	CU_ASSERT(later > first);
	CU_ASSERT_EQUAL(ld_store_era_of(first), 1);
	CU_ASSERT_EQUAL(ld_store_era_of(later), 2);
	CU_ASSERT_EQUAL(store_wire_revision(&s, later), 7);
	CU_ASSERT_EQUAL(ld_store_era(&s), 2);
	CU_ASSERT_EQUAL(ld_store_counters(&s)->eras, 1);
	/* A proxy that still returns the earlier era, or none. */
	CU_ASSERT_EQUAL(apply_answer(&s, 1, 950, &first), LD_E_STALE);
	CU_ASSERT_EQUAL(apply_answer(&s, 0, 950, &first), LD_E_STALE);
	/* Within an era, a lower revision is stale. */
	CU_ASSERT_EQUAL(apply_answer(&s, 2, 6, &later), LD_E_STALE);
	CU_ASSERT_EQUAL(apply_answer(&s, 2, 8, &later), LD_OK);
}

static void
test_eras_out_of_range(void)
{
	struct ld_store_codec_ops ops;
	struct ld_store_codec c;
	struct ld_store s = store_with_eras(&c, &ops);
	int64_t out, era = 0;

	store_parse_era(&s, LD_STR("era"), LD_STR("12"), &era);
	CU_ASSERT_EQUAL(era, 12);
	store_parse_era(&s, LD_STR("Other"), LD_STR("13"), &era);
	CU_ASSERT_EQUAL(era, 12);
	store_parse_era(
	    &s, LD_STR("Era"), LD_STR("99999999999999999999"), &era);
	CU_ASSERT_EQUAL(apply_answer(&s, era, 5, &out), LD_E_PROTOCOL);
	store_parse_era(&s, LD_STR("Era"), LD_STR("-1"), &era);
	CU_ASSERT_EQUAL(apply_answer(&s, era, 5, &out), LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(
	    apply_answer(&s, 1, (int64_t)1 << LD_STORE_REVISION_BITS, &out),
	    LD_E_PROTOCOL);
	CU_ASSERT_EQUAL(ld_store_era(&s), 0);
	CU_ASSERT_EQUAL(apply_answer(&s, LD_STORE_ERA_MAX, 5, &out), LD_OK);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"calls are encoded", test_calls_are_encoded},
	    {"a read is decoded", test_read_is_decoded},
	    {"a transaction is decoded", test_transaction_is_decoded},
	    {"a line of a watch is decoded", test_watch_line_is_decoded},
	    {"settling tells applied from not and unknown", test_settling},
	    {"waits double with jitter", test_waits_double_with_jitter},
	    {"the live list never goes back", test_live_list_never_goes_back},
	    {"a restarted list keeps what is leaving",
		test_restarted_list_keeps_leaving},
	    {"a live list with faults", test_live_list_with_faults},
	    {"mutated answers are refused cleanly", test_mutated_answers},
	    {"a later era is newer", test_a_later_era_is_newer},
	    {"eras out of range", test_eras_out_of_range},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("platform", cases);
}
