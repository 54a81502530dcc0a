/* Server entries of another writer, from the decoder to the groups. */
#include "groups_world.h"
#include "ld_platform.h"

#define LONG_NAME \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
/* Most changes of an unusable group that are logged, ever. */
#define CHANGES_MAX 8

static const char entry_format[] =
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:80\",\"zone\":\"z1\","
    "\"version\":\"v1\",\"warmup_left_ms\":0,\"slots\":26,\"state\":\"ready\","
    "\"sequence\":4,\"domain\":\"d1\",\"group\":%s}";

/* The entry of @id in @group (JSON), if it names a server. */
static void
put_odd(struct world *w, const char *id, const char *group)
{
	struct ld_server_entry e;
	char text[1024];

	snprintf(text, sizeof(text), entry_format, group);
	if (ld_platform_dialect()->read_server(
		ld_str_c(id), ld_str_c(text), &e) == LD_OK)
		ld_servers_put(w->t, &e, w->now);
}

static void
take_order(struct world *w, const struct ld_order *o)
{
	if (index_of(o->server) < SERVERS)
		carry_out(w, o);
	else
		ld_groups_on_order_result(
		    w->g, o, LD_ORDER_UNREACHABLE, w->now);
}

static size_t
count_changes(struct world *w)
{
	struct ld_group_change c;
	size_t n = 0;

	for (int i = 0; i < 100; i++, w->now += STEP_MS) {
		ld_groups_tick(w->g, w->t, LD_STR("llm"), &w->spec, true,
		    INT64_MAX, w->now);
		while (ld_groups_next_change(w->g, &c))
			n += c.epoch == 5;
	}
	return n;
}

/* ---- Tests ---- */

static void
test_entry_with_a_long_id_ends_the_leader(void)
{
	struct world w;

	world_open(&w);
	w.take_order = take_order;
	for (int rank = 0; rank < 3; rank++) {
		char id[96], group[128];

		snprintf(id, sizeof(id), "s99-" LONG_NAME "%d", rank);
		snprintf(group, sizeof(group),
		    "{\"name\":\"m1/5\",\"epoch\":5,\"rank\":%d,"
		    "\"state\":\"open\",\"model\":\"m1\"}",
		    rank);
		put_odd(&w, id, group);
	}
	ld_groups_lead(w.g, 3, w.now);
	run(&w, true, 6000);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	CU_ASSERT_EQUAL(count_open(&w, SMALL), 1);
	world_close(&w);
}

static void
test_long_group_name_is_adopted_again_and_again(void)
{
	struct world w;

	world_open(&w);
	put_odd(&w, "s99",
	    "{\"name\":\"" LONG_NAME "\",\"epoch\":5,\"rank\":0,"
	    "\"state\":\"ready\",\"model\":\"m1\"}");
	ld_groups_lead(w.g, 3, w.now);
	CU_ASSERT(count_changes(&w) <= CHANGES_MAX);
	world_close(&w);
}

static void
test_memberships_out_of_range_leave_other_servers_usable(void)
{
	static const char *const odd[] = {
	    "{\"name\":\"m0/5\",\"epoch\":5,\"rank\":31,\"state\":\"ready\"}",
	    "{\"name\":\"m0/"
	    "6\",\"epoch\":6,\"rank\":32,\"state\":\"open\",\"model\":\"m0\"}",
	    "{\"name\":\"m0/"
	    "7\",\"epoch\":7,\"rank\":64,\"state\":\"open\",\"model\":\"m0\"}",
	    "{\"name\":\"m0/8\",\"epoch\":8,\"rank\":1000000000,"
	    "\"state\":\"open\",\"model\":\"m0\"}",
	    "{\"name\":\"m0/9\",\"epoch\":9223372036854775807,\"rank\":0,"
	    "\"state\":\"open\",\"model\":\"m0\"}",
	    "{\"name\":\"m0/9\",\"epoch\":9223372036854775808,\"rank\":0,"
	    "\"state\":\"open\",\"model\":\"m0\"}",
	    "{\"name\":\"\",\"epoch\":9,\"rank\":0,\"state\":\"open\","
	    "\"model\":\"m0\"}",
	    "{\"name\":\"m0/"
	    "1\",\"epoch\":1.5,\"rank\":0,\"state\":\"open\",\"model\":\"m0\"}",
	    "{\"name\":\"m0/"
	    "2\",\"epoch\":1e999,\"rank\":0,\"state\":\"open\",\"model\":"
	    "\"m0\"}",
	    "{\"name\":\"m0/"
	    "3\",\"epoch\":3,\"rank\":-1,\"state\":\"open\",\"model\":\"m0\"}",
	};
	struct world w;

	world_open(&w);
	w.take_order = take_order;
	for (int i = 0; i < (int)(sizeof(odd) / sizeof(odd[0])); i++) {
		char id[16];

		snprintf(id, sizeof(id), "s%d", 80 + i);
		put_odd(&w, id, odd[i]);
	}
	ld_groups_lead(w.g, 3, w.now);
	run(&w, true, 8000);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 1);
	CU_ASSERT_EQUAL(count_open(&w, SMALL), 1);
	world_close(&w);
}

/* Of the operators' configuration: a group of 40, where 32 is the most. */
static void
test_model_of_too_many_servers_overruns_a_group(void)
{
	struct world w;

	world_open(&w);
	for (int i = SERVERS; i < 60; i++)
		put(&w, i, LD_MEMBER_NONE, NULL, 0, 0, NULL);
	w.models[0].size = 40;
	ld_groups_lead(w.g, 3, w.now);
	run(&w, true, 6000);
	CU_ASSERT_EQUAL(count_open(&w, LARGE), 0);
	CU_ASSERT(count_open(&w, SMALL) > 0);
	world_close(&w);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"memberships out of range leave other servers usable",
		test_memberships_out_of_range_leave_other_servers_usable},
	    {"a long group name is adopted again and again",
		test_long_group_name_is_adopted_again_and_again},
	    {"an entry with a long id ends the leader",
		test_entry_with_a_long_id_ends_the_leader},
	    {"a model of too many servers overruns a group",
		test_model_of_too_many_servers_overruns_a_group},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("odd entries", cases);
}
