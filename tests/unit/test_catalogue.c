/* Catalogue and placement documents: parsing, lookup, encoding and diff. */
#include <string.h>

#include "ld_catalogue.h"
#include "ld_test.h"

#define HASH_A \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HASH_B \
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static const char good[] =
    "{\"entries\":[{\"owner\":\"shop-aalto\",\"class\":\"paid\","
    "\"keys\":[\"" HASH_A "\"],"
    "\"limits\":{\"requests_per_s\":20,\"concurrent\":16},"
    "\"promised\":{\"concurrent\":4}},"
    "{\"owner\":\"dock-7\",\"class\":\"unpaid\",\"keys\":[\"" HASH_B "\"],"
    "\"limits\":{}}]}";

static struct ld_catalogue *
parse(const char *json, int64_t revision)
{
	struct ld_catalogue *c;

	CU_ASSERT_EQUAL_FATAL(
	    ld_catalogue_parse(ld_str_c(json), revision, &c, NULL), LD_OK);
	return c;
}

static void
test_lookups(void)
{
	struct ld_catalogue *c = parse(good, 41);
	const struct ld_entry *e;

	CU_ASSERT_EQUAL(ld_catalogue_revision(c), 41);
	e = ld_catalogue_find_key(c, LD_STR(HASH_A));
	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	if (e == NULL) /* for the static analyzer: the fatal check returned */
		return;
	CU_ASSERT_STRING_EQUAL(e->owner, "shop-aalto");
	CU_ASSERT_EQUAL(e->limits.requests_per_s, 20);
	CU_ASSERT_EQUAL(e->limits.tokens_per_s, 0);
	CU_ASSERT_EQUAL(e->promised.concurrent, 4);
	CU_ASSERT_PTR_NULL(ld_catalogue_find_key(c, LD_STR("aa")));
	CU_ASSERT_PTR_EQUAL(ld_catalogue_find_owner(c, LD_STR("dock-7")),
	    ld_catalogue_find_key(c, LD_STR(HASH_B)));
	CU_ASSERT_PTR_NULL(ld_catalogue_find_owner(c, LD_STR("dock")));
	CU_ASSERT_PTR_NULL(ld_catalogue_find_owner(c, LD_STR("dock-77")));
	ld_catalogue_unref(c);
}

static void
test_written_as_read(void)
{
	struct ld_catalogue *c = parse(good, 1);
	struct ld_buf out = {0};

	ld_catalogue_write(c, &out);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&out), good);
	ld_buf_free(&out);
	ld_catalogue_unref(c);
}

static void
test_all_faults_at_once(void)
{
	static const char bad[] =
	    "{\"entries\":[{\"owner\":\"a\",\"class\":\"gold\",\"keys\":[7],"
	    "\"limits\":{\"concurrent\":-1,\"speed\":3}},"
	    "{\"owner\":\"a\",\"class\":\"late\",\"keys\":[\"" HASH_A
	    "\",\"" HASH_A "\"],\"limits\":{},\"promised\":{}},"
	    "{\"class\":\"paid\",\"keys\":[],"
	    "\"promised\":{\"concurrent\":1}}],\"x\":1}";
	static const char expected[] =
	    "x: found 1, allowed: entries\n"
	    "entries[0].class: found \"gold\", allowed: paid, late, unpaid\n"
	    "entries[0].keys[0]: found 7, allowed: the SHA-256 of a key as 64 "
	    "lower-case hex digits\n"
	    "entries[0].limits.speed: found 3, allowed: requests_per_s, "
	    "tokens_per_s, concurrent\n"
	    "entries[0].limits.concurrent: found -1, allowed: an integer from "
	    "0 "
	    "to 1000000000\n"
	    "entries[1].promised: found {}, allowed: nothing, as the class is "
	    "not paid\n"
	    "entries[2].owner: found nothing, allowed: a string of 1 to 64 "
	    "printable ASCII characters without blanks\n"
	    "entries[2].limits: found nothing, allowed: an object\n"
	    "entries[2].promised.concurrent: found 1, allowed: at most the "
	    "limit "
	    "of the same name\n"
	    "entries[1].owner: found a, allowed: a unique owner; "
	    "entries[0].owner has this one\n"
	    "entries[1].keys[1]: found " HASH_A ", allowed: a unique key hash; "
	    "entries[1].keys[0] has this one\n";
	struct ld_faults faults = {0};
	struct ld_buf out = {0};
	struct ld_catalogue *c;

	CU_ASSERT_EQUAL(
	    ld_catalogue_parse(LD_STR(bad), 1, &c, &faults), LD_E_INVALID);
	CU_ASSERT_PTR_NULL(c);
	ld_faults_print(&faults, &out);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&out), expected);
	CU_ASSERT_EQUAL(faults.v[0].kind, LD_FAULT_UNKNOWN);
	ld_buf_free(&out);
	ld_faults_free(&faults);
}

static void
test_no_json_is_a_fault(void)
{
	static const char *const bad[] = {"", "[]", "{\"entries\":[}", "null",
	    "{\"entries\":[],\"entries\":[]}", "{\"entries\":{}}"};
	struct ld_catalogue *c;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct ld_faults faults = {0};

		CU_ASSERT_EQUAL(
		    ld_catalogue_parse(ld_str_c(bad[i]), 1, &c, &faults),
		    LD_E_INVALID);
		CU_ASSERT_EQUAL(faults.n, 1);
		ld_faults_free(&faults);
	}
}

static void
test_difference(void)
{
	struct ld_catalogue *a = parse(good, 1);
	struct ld_catalogue *b =
	    parse("{\"entries\":[{\"owner\":\"shop-aalto\",\"class\":\"late\","
		  "\"keys\":[],\"limits\":{\"requests_per_s\":5,"
		  "\"concurrent\":16}},{\"owner\":\"new\",\"class\":\"paid\","
		  "\"keys\":[],\"limits\":{}}]}",
		2);
	struct ld_diff d;
	struct ld_buf out = {0};

	ld_catalogue_diff(a, b, &d);
	ld_diff_print(&d, &out);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&out),
	    "- dock-7\n+ new paid\n"
	    "~ shop-aalto class: paid -> late\n"
	    "~ shop-aalto limits.requests_per_s: 20 -> 5\n"
	    "~ shop-aalto promised.concurrent: 4 -> 0\n"
	    "~ shop-aalto keys: 1 -> 0\n");
	ld_diff_free(&d);
	ld_catalogue_diff(a, a, &d);
	CU_ASSERT_EQUAL(d.n, 0);
	ld_diff_free(&d);
	ld_buf_free(&out);
	ld_catalogue_unref(a);
	ld_catalogue_unref(b);
}

static void
test_placement(void)
{
	static const char text[] =
	    "{\"fabric\":\"f1\",\"replicas\":[{\"id\":\"f1-r1\",\"model\":"
	    "\"m\","
	    "\"epoch\":7,\"state\":\"serving\",\"members\":["
	    "\"127.0.0.1:9101\",\"[::1]:9102\"]}]}";
	struct ld_placement *p;
	struct ld_buf out = {0};

	CU_ASSERT_EQUAL_FATAL(
	    ld_placement_parse(LD_STR(text), 9, &p, NULL), LD_OK);
	CU_ASSERT_EQUAL(p->revision, 9);
	CU_ASSERT_EQUAL(p->replicas[0].epoch, 7);
	CU_ASSERT_EQUAL(p->replicas[0].state, LD_REPLICA_SERVING);
	ld_placement_write(p, &out);
	CU_ASSERT_STRING_EQUAL(ld_buf_cstr(&out), text);
	ld_buf_free(&out);
	ld_placement_free(p);
}

static void
test_instance_in_two_replicas_is_refused(void)
{
	static const char text[] =
	    "{\"fabric\":\"f1\",\"replicas\":[{\"id\":\"r1\",\"model\":\"m\","
	    "\"epoch\":1,\"state\":\"serving\",\"members\":["
	    "\"127.0.0.1:1\",\"127.0.0.1:2\"]},{\"id\":\"r2\",\"model\":\"m\","
	    "\"epoch\":1,\"state\":\"forming\",\"members\":["
	    "\"127.0.0.1:2\",\"nowhere\"]}]}";
	struct ld_faults faults = {0};
	struct ld_placement *p;

	CU_ASSERT_EQUAL(
	    ld_placement_parse(LD_STR(text), 1, &p, &faults), LD_E_INVALID);
	CU_ASSERT_PTR_NULL(p);
	CU_ASSERT_EQUAL_FATAL(faults.n, 2);
	CU_ASSERT_STRING_EQUAL(faults.v[0].path, "replicas[1].members[1]");
	CU_ASSERT_EQUAL(faults.v[1].kind, LD_FAULT_DUPLICATE);
	CU_ASSERT_STRING_EQUAL(faults.v[1].path, "replicas[1].members[0]");
	ld_faults_free(&faults);
}

/* Mutates a valid document at random; no read may be out of bounds. */
static void
test_mutated_documents(void)
{
	struct ld_rand r;
	char text[sizeof(good)];

	ld_rand_seed(&r, 11);
	printf("seed 11\n");
	for (int i = 0; i < 100000; i++) {
		struct ld_catalogue *c;
		struct ld_placement *p;
		size_t len = sizeof(good) - 1;

		memcpy(text, good, len);
		for (uint64_t k = 1 + ld_rand_below(&r, 4); k > 0; k--)
			text[ld_rand_below(&r, len)] = (char)ld_rand_u64(&r);
		if (ld_rand_below(&r, 4) == 0)
			len = ld_rand_below(&r, len);
		if (ld_catalogue_parse(
			(struct ld_str){text, len}, 1, &c, NULL) == LD_OK)
			ld_catalogue_unref(c);
		CU_ASSERT_NOT_EQUAL(
		    ld_placement_parse((struct ld_str){text, len}, 1, &p, NULL),
		    LD_OK);
	}
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"lookups by key hash and owner", test_lookups},
	    {"a catalogue is written as it was read", test_written_as_read},
	    {"all faults are reported at once", test_all_faults_at_once},
	    {"what is no document is one fault", test_no_json_is_a_fault},
	    {"difference of two catalogues", test_difference},
	    {"a placement record is written as it was read", test_placement},
	    {"an instance in two replicas is refused",
		test_instance_in_two_replicas_is_refused},
	    {"mutated documents are refused cleanly", test_mutated_documents},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("catalogue", cases);
}
