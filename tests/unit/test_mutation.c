/* Mutation tests of the parsers of JSON documents and event streams. */
#include <string.h>

#include "booking_internal.h"
#include "ld_backend.h"
#include "ld_catalogue.h"
#include "ld_mutate.h"
#include "ld_settings.h"
#include "store_internal.h"

#define SEED 20261203
#define ROUNDS 15000

#define HASH_A \
	"3a7bd3e2360a3d29eea436fcfb7e44c735d117c42d1c1835420b6b9942dd4f1b"
#define HASH_B \
	"ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"

static void
run(const char *name, bool (*take)(struct ld_str), const char *const *inputs)
{
	struct ld_mutate_target t = {.name = name, .take = take};

	for (; *inputs != NULL; inputs++)
		ld_mutate_input(&t, ld_str_c(*inputs));
	ld_mutate_run(&t, SEED, ROUNDS);
}

/* ---- Catalogue: an accepted document is accepted when encoded ---- */

static bool
take_catalogue(struct ld_str input)
{
	struct ld_catalogue *c = NULL, *again = NULL;
	struct ld_faults faults = {0};
	struct ld_buf written = {0};
	enum ld_status st = ld_catalogue_parse(input, 5, &c, &faults);

	CU_ASSERT_EQUAL(st == LD_OK, c != NULL);
	CU_ASSERT_EQUAL(st != LD_OK, faults.n > 0);
	if (c != NULL) {
		ld_catalogue_write(c, &written);
		CU_ASSERT_EQUAL(
		    ld_catalogue_parse(ld_buf_str(&written), 5, &again, NULL),
		    LD_OK);
		if (again != NULL)
			CU_ASSERT_EQUAL(
			    ld_catalogue_count(again), ld_catalogue_count(c));
	}
	ld_catalogue_unref(c);
	ld_catalogue_unref(again);
	ld_buf_free(&written);
	ld_faults_free(&faults);
	return st == LD_OK;
}

static void
test_catalogue(void)
{
	static const char *const inputs[] = {
	    "{\"entries\":[]}",
	    "{\"entries\":[{\"owner\":\"shop\",\"class\":\"paid\",\"keys\":"
	    "[\"" HASH_A "\"],\"limits\":{\"requests_per_s\":20,"
	    "\"tokens_per_s\":4000,\"concurrent\":16},\"promised\":"
	    "{\"concurrent\":4}},{\"owner\":\"quay\",\"class\":\"late\","
	    "\"keys\":[\"" HASH_B "\"],\"limits\":{}}]}",
	    NULL,
	};

	run("catalogue", take_catalogue, inputs);
}

/* ---- Placement: no instance is a member of two replicas ---- */

static void
check_members(const struct ld_placement *p)
{
	for (size_t i = 0; i < p->n_replicas; i++)
		for (size_t j = i + 1; j < p->n_replicas; j++)
			for (size_t k = 0; k < p->replicas[i].n_members; k++)
				for (size_t l = 0; l < p->replicas[j].n_members;
				     l++)
					CU_ASSERT_STRING_NOT_EQUAL(
					    p->replicas[i].members[k],
					    p->replicas[j].members[l]);
}

static bool
take_placement(struct ld_str input)
{
	struct ld_placement *p = NULL, *again = NULL;
	struct ld_buf written = {0};
	enum ld_status st = ld_placement_parse(input, 5, &p, NULL);

	CU_ASSERT_EQUAL(st == LD_OK, p != NULL);
	if (p != NULL) {
		check_members(p);
		ld_placement_write(p, &written);
		CU_ASSERT_EQUAL(
		    ld_placement_parse(ld_buf_str(&written), 5, &again, NULL),
		    LD_OK);
	}
	ld_placement_free(p);
	ld_placement_free(again);
	ld_buf_free(&written);
	return st == LD_OK;
}

static void
test_placement(void)
{
	static const char *const inputs[] = {
	    "{\"fabric\":\"f1\",\"replicas\":[]}",
	    "{\"fabric\":\"f1\",\"replicas\":[{\"id\":\"f1-r1\",\"model\":"
	    "\"llama\",\"epoch\":7,\"state\":\"serving\",\"members\":"
	    "[\"127.0.0.1:9101\",\"127.0.0.1:9102\"]},{\"id\":\"f1-r2\","
	    "\"model\":\"llama\",\"epoch\":8,\"state\":\"draining\","
	    "\"members\":[\"127.0.0.1:9103\"]}]}",
	    NULL,
	};

	run("placement", take_placement, inputs);
}

/* ---- Live list ---- */

static bool
take_live_list(struct ld_str input)
{
	struct live_doc doc;
	enum ld_status st = live_doc_parse(input, &doc);

	CU_ASSERT_TRUE(st == LD_OK || st == LD_E_PROTOCOL);
	if (st == LD_OK)
		live_doc_free(&doc);
	return st == LD_OK;
}

static void
test_live_list(void)
{
	static const char *const inputs[] = {
	    "{\"version\":12,\"instances\":[{\"address\":\"127.0.0.1:9101\","
	    "\"role\":\"engine\",\"fabric\":\"f1\",\"zone\":\"z1\","
	    "\"state\":\"live\"},{\"address\":\"127.0.0.1:8003\",\"role\":"
	    "\"service\",\"fabric\":\"\",\"zone\":\"z2\",\"state\":"
	    "\"leaving\"}]}",
	    NULL,
	};

	run("live list", take_live_list, inputs);
}

/* ---- Store responses ---- */

#define HEADER                                                 \
	"\"header\":{\"cluster_id\":\"14841639068965178418\"," \
	"\"member_id\":\"1\",\"revision\":\"41\",\"raft_term\":\"2\"}"
#define KV                                                                  \
	"{\"key\":\"L2xkL2NhdGFsb2d1ZQ==\",\"create_revision\":\"2\","      \
	"\"mod_revision\":\"40\",\"version\":\"3\",\"value\":\"aGVsbG8=\"," \
	"\"lease\":\"7587000\"}"

static bool
decode(enum ld_store_op_kind kind, struct ld_str input)
{
	const struct ld_store_codec *codec = ld_store_codec_etcd();
	struct ld_store_op op = {.kind = kind, .key = LD_STR("/ld/catalogue")};
	struct ld_store_decoded d = {0};
	enum ld_status st = kind == LD_STORE_OP_WATCH
	    ? codec->ops->decode_line(input, &d)
	    : codec->ops->decode(&op, 200, input, &d);

	CU_ASSERT_TRUE(st == LD_OK || st == LD_E_PROTOCOL);
	ld_store_decoded_free(&d);
	return st == LD_OK;
}

static bool
take_read(struct ld_str input)
{
	return decode(LD_STORE_OP_READ, input);
}

static bool
take_cas(struct ld_str input)
{
	return decode(LD_STORE_OP_CAS, input);
}

static bool
take_grant(struct ld_str input)
{
	return decode(LD_STORE_OP_GRANT, input);
}

static bool
take_watch(struct ld_str input)
{
	return decode(LD_STORE_OP_WATCH, input);
}

static void
test_store_answers(void)
{
	static const char *const read[] = {
	    "{" HEADER ",\"kvs\":[" KV "],\"count\":\"1\"}", NULL};
	static const char *const cas[] = {
	    "{" HEADER ",\"succeeded\":true,\"responses\":[{\"response_put\":"
	    "{\"header\":{\"revision\":\"41\"}}}]}",
	    "{" HEADER ",\"responses\":[{\"response_range\":{\"kvs\":[" KV
	    "],\"count\":\"1\",\"header\":{\"revision\":\"41\"}}}]}",
	    NULL};
	static const char *const grant[] = {
	    "{" HEADER ",\"ID\":\"7587000\",\"TTL\":\"10\"}", NULL};
	static const char *const watch[] = {"{\"result\":{" HEADER
					    ",\"created\":true}}",
	    "{\"result\":{" HEADER ",\"events\":[{\"kv\":" KV
	    "},{\"type\":\"DELETE\",\"kv\":{\"key\":\"YQ==\","
	    "\"mod_revision\":\"41\"}}]}}",
	    "{\"result\":{" HEADER ",\"canceled\":true,"
	    "\"compact_revision\":\"30\"}}",
	    NULL};

	run("store read", take_read, read);
	run("store compare-and-swap", take_cas, cas);
	run("store lease", take_grant, grant);
	run("store watch", take_watch, watch);
}

/* ---- Event streams: the events don't depend on how input is split ---- */

static bool
take_sse(struct ld_str input)
{
	struct ld_sse s = {.max_event_bytes = input.len + 1};
	struct ld_str event, data;
	size_t from = 0, events = 0, seen = 0;
	enum ld_status st;

	while (from < input.len) {
		size_t n = 1 + (from * 7 + input.len) % 61;

		if (n > input.len - from)
			n = input.len - from;
		ld_sse_feed(&s, (struct ld_str){input.p + from, n});
		from += n;
		while ((st = ld_sse_next(&s, &event)) == LD_OK) {
			data.len = 0;
			(void)ld_sse_data(event, &data);
			(void)ld_sse_id(event);
			CU_ASSERT_TRUE(event.len <= input.len - seen);
			CU_ASSERT_TRUE(data.len <= event.len);
			CU_ASSERT_EQUAL(
			    memcmp(event.p, input.p + seen, event.len), 0);
			seen += event.len;
			events++;
		}
		CU_ASSERT_EQUAL(st, LD_E_AGAIN);
	}
	ld_sse_free(&s);
	return events > 0;
}

static void
test_sse(void)
{
	static const char *const inputs[] = {
	    "data: {\"choices\":[{\"text\":\" tok0\"}]}\n\n"
	    "data: {\"choices\":[{\"text\":\" tok1\"}]}\n\ndata: [DONE]\n\n",
	    ": comment\r\n\r\nevent: error\ndata:x\r\ndata: y\n\n",
	    NULL,
	};

	run("event stream", take_sse, inputs);
}

/* ---- Claims of bookings ---- */

static bool
take_claims(struct ld_str input)
{
	struct claims c, again;
	struct ld_buf written = {0};
	bool ok = claims_parse(input, &c);

	if (ok && c.writer != NULL) {
		claims_write(&c, "n1", 1000, &written);
		CU_ASSERT_TRUE(claims_parse(ld_buf_str(&written), &again));
		CU_ASSERT_EQUAL(again.n, c.n);
		claims_fini(&again);
	}
	claims_fini(&c);
	ld_buf_free(&written);
	return ok;
}

#define CLAIM_HASH "0123456789abcdef0123456789abcdef"

static void
test_claims(void)
{
	static const char *const inputs[] = {
	    "{\"w\":\"n1\",\"t\":1000,\"claims\":[]}",
	    "{\"w\":\"n1\",\"t\":1000,\"claims\":[{\"k\":\"" CLAIM_HASH
	    "\",\"b\":\"" CLAIM_HASH "\",\"s\":\"c\",\"n\":\"n1\","
	    "\"a\":\"0123456789abcdef\",\"t\":900,\"d\":5000}]}",
	    NULL,
	};

	run("booking claims", take_claims, inputs);
}

/* ---- Settings ---- */

static bool
take_settings(struct ld_str input)
{
	struct ld_settings *s = NULL;
	struct ld_buf faults = {0};
	enum ld_status st = ld_settings_parse(input, "x.json", &s, &faults);

	CU_ASSERT_EQUAL(st == LD_OK, s != NULL);
	CU_ASSERT_EQUAL(st != LD_OK, faults.len > 0);
	ld_settings_free(s);
	ld_buf_free(&faults);
	return st == LD_OK;
}

static void
test_settings(void)
{
	static const char *const inputs[] = {
	    "{\"node\":{\"failure_domain\":\"z1\"},\"entry\":{\"listen\":"
	    "\"127.0.0.1:8180\"},\"operator\":{\"listen\":\"127.0.0.1:8181\","
	    "\"token\":\"operator-token-0123456789\"},\"peers\":{\"listen\":"
	    "\"127.0.0.1:8182\",\"key\":\"peer-key-0123456789abcdef\","
	    "\"seeds\":[\"127.0.0.1:8282\"]},\"store\":{\"endpoints\":"
	    "[\"127.0.0.1:8001\"]},\"live_list\":{\"address\":"
	    "\"127.0.0.1:8002\"},\"services\":[{\"name\":\"stock\","
	    "\"servers\":[\"127.0.0.1:8003\"],\"not_idempotent\":[{\"method\":"
	    "\"POST\",\"path\":\"/transfers\"}]}]}",
	    NULL,
	};

	run("settings", take_settings, inputs);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"catalogue", test_catalogue},
	    {"placement record", test_placement},
	    {"live list", test_live_list},
	    {"answers of the store", test_store_answers},
	    {"event streams", test_sse},
	    {"claims of bookings", test_claims},
	    {"settings", test_settings},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("mutated documents", cases);
}
