/* Following the store through a peer, without a network: the changes that a
 * peer retains, and their encoding. */
#include <stdio.h>
#include <string.h>

#include "../../lib/relay/changes_codec.h"
#include "../../lib/relay/change_log.h"
#include "ld_mutate.h"
#include "ld_test.h"

#define SEED 20261204
#define ROUNDS 5000

/* ---- Retained changes and their encoding ---- */

static void
add(struct change_log *k, int64_t after, int64_t revision, const char *key,
    const char *value)
{
	struct ld_store_event e = {
	    .kv = {.key = ld_str_c(key),
		.value = ld_str_c(value != NULL ? value : ""),
		.create_revision = 1,
		.mod_revision = revision,
		.version = 2,
		.lease = 7},
	    .deleted = value == NULL,
	};
	struct ld_store_changes c = {after, revision, &e, 1, 0, false};

	change_log_append(k, &c);
}

static size_t
encode_and_decode(
    const struct change_log *k, int64_t revision, struct changes_message *m)
{
	struct ld_buf b = {0};

	change_log_encode(k, revision, 40, &b);
	CU_ASSERT_FATAL(changes_decode(ld_buf_str(&b), m));
	ld_buf_free(&b);
	return m->list.n;
}

static void
test_changes_round_trip(void)
{
	struct change_log k = {0};
	struct changes_message m;

	change_log_reset(&k, 10);
	add(&k, 10, 12, "servers/a", "one\0more");
	add(&k, 12, 15, "servers/b", NULL);
	CU_ASSERT_EQUAL_FATAL(encode_and_decode(&k, 10, &m), 2);
	CU_ASSERT_EQUAL(m.after, 10);
	CU_ASSERT_EQUAL(m.revision, 15);
	CU_ASSERT_EQUAL(m.age_ms, 40);
	CU_ASSERT(ld_str_eq(m.list.events[0].kv.key, LD_STR("servers/a")));
	CU_ASSERT(ld_str_eq(m.list.events[0].kv.value, LD_STR("one")));
	CU_ASSERT(!m.list.events[0].deleted);
	CU_ASSERT_EQUAL(m.list.events[0].kv.mod_revision, 12);
	CU_ASSERT_EQUAL(m.list.events[0].kv.create_revision, 1);
	CU_ASSERT_EQUAL(m.list.events[0].kv.version, 2);
	CU_ASSERT_EQUAL(m.list.events[0].kv.lease, 7);
	CU_ASSERT(m.list.events[1].deleted);
	ld_store_decoded_free(&m.list);
	CU_ASSERT_EQUAL(encode_and_decode(&k, 12, &m), 1);
	ld_store_decoded_free(&m.list);
	CU_ASSERT_EQUAL(encode_and_decode(&k, 15, &m), 0);
	ld_store_decoded_free(&m.list);
	change_log_free(&k);
}

static void
test_gaps_are_detected(void)
{
	struct change_log k = {0};

	change_log_reset(&k, 10);
	add(&k, 10, 12, "a", "1");
	CU_ASSERT(change_log_is_compacted(&k, 9));
	CU_ASSERT(!change_log_is_compacted(&k, 10));
	CU_ASSERT(change_log_has_after(&k, 10));
	CU_ASSERT(!change_log_has_after(&k, 12));
	/* Changes between 12 and 20 are missing: earlier ones are dropped. */
	add(&k, 20, 21, "a", "2");
	CU_ASSERT(change_log_is_compacted(&k, 12));
	CU_ASSERT(!change_log_is_compacted(&k, 20));
	CU_ASSERT_EQUAL(k.count, 1);
	change_log_free(&k);
}

/* A change that arrives twice from a watch is retained once. */
static void
test_changes_received_twice(void)
{
	struct change_log k = {0};

	change_log_reset(&k, 10);
	add(&k, 10, 12, "a", "1");
	add(&k, 12, 12, "a", "1");
	CU_ASSERT_EQUAL(k.count, 1);
	change_log_free(&k);
}

static void
test_memory_is_bounded(void)
{
	static char large[1024 * 1024];
	struct change_log k = {0};

	memset(large, 'x', sizeof(large) - 1);
	change_log_reset(&k, 10);
	for (int64_t i = 11; i < 41; i++)
		add(&k, i - 1, i, "op/config", large);
	CU_ASSERT(k.bytes <= (size_t)4 * 1024 * 1024);
	CU_ASSERT(k.count >= 2);
	CU_ASSERT(change_log_is_compacted(&k, 10));
	CU_ASSERT(!change_log_is_compacted(&k, k.revision - (int64_t)k.count));
	CU_ASSERT(
	    change_log_is_compacted(&k, k.revision - (int64_t)k.count - 1));
	for (int64_t i = 41; i < 6041; i++)
		add(&k, i - 1, i, "a", "1");
	CU_ASSERT(k.count <= 2048);
	change_log_free(&k);
}

/* ---- Mutated bytes ---- */

static bool
take(struct ld_str input)
{
	struct changes_message m;
	bool ok = changes_decode(input, &m);

	ld_store_decoded_free(&m.list);
	return ok;
}

static void
test_mutated_messages(void)
{
	struct ld_mutate_target t = {.name = "changes", .take = take};
	struct change_log k = {0};
	struct ld_buf b = {0};

	change_log_reset(&k, 10);
	add(&k, 10, 12, "servers/a", "one");
	add(&k, 12, 15, "servers/b", NULL);
	change_log_encode(&k, 10, 40, &b);
	for (size_t n = 0; n < b.len; n++)
		CU_ASSERT(!take((struct ld_str){b.p, n}));
	ld_mutate_input(&t, ld_buf_str(&b));
	ld_mutate_run(&t, SEED, ROUNDS);
	ld_buf_free(&b);
	change_log_free(&k);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"changes round trip", test_changes_round_trip},
	    {"gaps are detected", test_gaps_are_detected},
	    {"changes received twice", test_changes_received_twice},
	    {"memory is bounded", test_memory_is_bounded},
	    {"mutated messages", test_mutated_messages},
	    {NULL, NULL},
	};

	return ld_test_main("follow", cases);
}
