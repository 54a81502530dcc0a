/* Counters and their documentation, histograms, burn rate over windows. */
#include <string.h>

#include "ld_metrics.h"
#include "ld_test.h"

#define MINUTE_MS 60000ULL

static void
test_page_lists_every_counter(void)
{
	const struct ld_metric_row *rows = ld_metric_rows();
	struct ld_buf page = {0};
	FILE *f = fopen("docs/COUNTERS.md", "r");
	char line[512];

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	while (fgets(line, sizeof(line), f) != NULL)
		ld_buf_printf(&page, "%s", line);
	fclose(f);
	for (int i = 0; i < LD_M_COUNT; i++) {
		CU_ASSERT_PTR_NOT_NULL_FATAL(rows[i].name);
		snprintf(line, sizeof(line), "| `%s` | %s | %s | %s |\n",
		    rows[i].name, rows[i].is_gauge ? "gauge" : "counter",
		    rows[i].unit, rows[i].help);
		if (strstr(ld_buf_cstr(&page), line) == NULL)
			printf("missing: %s", line);
		CU_ASSERT_PTR_NOT_NULL(strstr(ld_buf_cstr(&page), line));
	}
	ld_buf_free(&page);
}

static void
test_histogram_counts_up(void)
{
	struct ld_metrics *m = ld_metrics_new();
	struct ld_buf out = {0};

	ld_metrics_add(m, LD_M_TOKENS, 3);
	ld_metrics_observe(m, LD_L_FIRST_TOKEN, 3);
	ld_metrics_observe(m, LD_L_FIRST_TOKEN, 469);
	ld_metrics_observe(m, LD_L_FIRST_TOKEN, 1e9);
	ld_metrics_write(m, &out);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(ld_buf_cstr(&out), "\nld_tokens_total 3\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    ld_buf_cstr(&out), "ld_first_token_ms_bucket{le=\"470\"} 2\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    ld_buf_cstr(&out), "ld_first_token_ms_bucket{le=\"+Inf\"} 3\n"));
	ld_buf_free(&out);
	ld_metrics_free(m);
}

static void
test_burn_leaves_its_windows(void)
{
	static const struct ld_goal goals[LD_O_COUNT] = {
	    {470, 950}, {53, 950}, {0, 999}};
	struct ld_burn *b = ld_burn_new(goals);
	struct ld_buf out = {0};
	uint64_t now = 1000ULL * MINUTE_MS;

	ld_burn_note(b, now, LD_STR("shop"), LD_STR("paid"), LD_O_ANSWERED, 9,
	    1, LD_C_BACKEND);
	ld_burn_note(b, now + 10 * MINUTE_MS, LD_STR("shop"), LD_STR("paid"),
	    LD_O_ANSWERED, 5, 0, LD_C_NONE);
	ld_burn_write(b, now + 10 * MINUTE_MS, &out);
	CU_ASSERT_PTR_NOT_NULL(strstr(ld_buf_cstr(&out),
	    "\"good\":[5,14,14],\"bad\":[0,1,1],\"causes\":{\"backend\":1}"));
	out.len = 0;
	ld_burn_write(b, now + 400 * MINUTE_MS, &out);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(ld_buf_cstr(&out), "\"good\":[0,0,0],\"bad\":[0,0,0]"));
	ld_buf_free(&out);
	ld_burn_free(b);
}

static void
test_goal_of_a_caller_goes_first(void)
{
	static const struct ld_goal goals[LD_O_COUNT] = {
	    {470, 950}, {53, 950}, {0, 999}};
	struct ld_burn *b = ld_burn_new(goals);
	struct ld_str none = {0};

	ld_burn_override(b, LD_STR("shop"), none, LD_O_FIRST_TOKEN,
	    (struct ld_goal){200, 990});
	ld_burn_override(b, none, LD_STR("late"), LD_O_FIRST_TOKEN,
	    (struct ld_goal){2000, 900});
	CU_ASSERT_EQUAL(
	    ld_burn_goal(b, LD_STR("shop"), LD_STR("late"), LD_O_FIRST_TOKEN)
		.threshold_ms,
	    200);
	CU_ASSERT_EQUAL(
	    ld_burn_goal(b, LD_STR("quay"), LD_STR("late"), LD_O_FIRST_TOKEN)
		.threshold_ms,
	    2000);
	CU_ASSERT_EQUAL(
	    ld_burn_goal(b, LD_STR("quay"), LD_STR("paid"), LD_O_FIRST_TOKEN)
		.threshold_ms,
	    470);
	ld_burn_free(b);
}

static const struct ld_tally_spec tally_spec = {
    .name = "ld_test_total",
    .help = "Counted here.",
    .labels = {"account", "outcome"},
    .label_count = 2,
};

static void
test_counters_with_labels(void)
{
	const char *odd[] = {"a\"b\\c\nd", "served"};
	const char *plain[] = {"shop", "served"};
	const char *never[] = {"shop", "failed"};
	struct ld_tally *t = ld_tally_new(&tally_spec);
	struct ld_buf b = {0};

	ld_tally_add(t, odd);
	ld_tally_add(t, plain);
	ld_tally_add(t, plain);
	CU_ASSERT_EQUAL(ld_tally_get(t, plain), 2);
	CU_ASSERT_EQUAL(ld_tally_get(t, never), 0);
	ld_tally_write(t, &b);
	CU_ASSERT_PTR_NOT_NULL(strstr(ld_buf_cstr(&b),
	    "ld_test_total{account=\"shop\",outcome=\"served\"} 2\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(ld_buf_cstr(&b),
	    "ld_test_total{account=\"a\\\"b\\\\c\\nd\","
	    "outcome=\"served\"} 1\n"));
	ld_buf_free(&b);
	ld_tally_free(t);
}

/* Labels chosen by callers must not use unbounded memory. */
static void
test_rows_are_bounded(void)
{
	const char *other[] = {"other", "other"};
	struct ld_tally *t = ld_tally_new(&tally_spec);
	char name[16];
	const char *values[] = {name, "served"};
	size_t lines = 0;
	struct ld_buf b = {0};

	for (int i = 0; i < 10000; i++) {
		snprintf(name, sizeof(name), "a%d", i);
		ld_tally_add(t, values);
	}
	ld_tally_write(t, &b);
	for (size_t i = 0; i < b.len; i++)
		lines += b.p[i] == '\n';
	CU_ASSERT(lines <= 2048 + 3);
	/* Rows above the limit are counted in one row, "other". */
	CU_ASSERT_EQUAL(ld_tally_get(t, other), 10000 - 2048);
	snprintf(name, sizeof(name), "a1");
	CU_ASSERT_EQUAL(ld_tally_get(t, values), 1);
	ld_buf_free(&b);
	ld_tally_free(t);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"the page lists every counter", test_page_lists_every_counter},
	    {"a histogram counts up", test_histogram_counts_up},
	    {"counters with labels", test_counters_with_labels},
	    {"rows are bounded", test_rows_are_bounded},
	    {"burn leaves its windows", test_burn_leaves_its_windows},
	    {"the goal of a caller goes first",
		test_goal_of_a_caller_goes_first},
	    {NULL, NULL},
	};

	return ld_test_main("metrics", cases);
}
