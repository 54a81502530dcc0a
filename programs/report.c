/* Subcommand report: sums the error budget burn of nodes and prints it. */
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "commands.h"
#include "report.h"

/** struct report_args - arguments of the subcommand */
struct report_args {
	struct client client;
	const char *html;
};

/* ---- Aggregation ---- */

static struct report_line *
find_or_add_line(struct report *r, const char *owner, const char *class,
    const char *objective)
{
	struct report_line *l;

	for (size_t i = 0; i < r->line_count; i++) {
		l = &r->lines[i];
		if (strcmp(l->owner, owner) == 0 &&
		    strcmp(l->class, class) == 0 &&
		    strcmp(l->objective, objective) == 0)
			return l;
	}
	r->lines =
	    ld_realloc(r->lines, (r->line_count + 1) * sizeof(*r->lines));
	l = &r->lines[r->line_count++];
	memset(l, 0, sizeof(*l));
	l->owner = ld_strdup(owner);
	l->class = ld_strdup(class);
	l->objective = ld_strdup(objective);
	return l;
}

static void
add_cause(struct report_line *l, const char *name, uint64_t bad)
{
	size_t i;

	for (i = 0; i < l->cause_count; i++)
		if (strcmp(l->causes[i].name, name) == 0)
			break;
	if (i == REPORT_CAUSES_MAX)
		return;
	if (i == l->cause_count) {
		l->causes[i].name = ld_strdup(name);
		l->cause_count++;
	}
	l->causes[i].bad += bad;
}

static const char *
string_field(const json_t *doc, const char *name)
{
	const char *s = json_string_value(json_object_get(doc, name));

	return s != NULL ? s : "";
}

static uint64_t
array_number(const json_t *doc, const char *name, size_t i)
{
	return (uint64_t)json_integer_value(
	    json_array_get(json_object_get(doc, name), i));
}

static void
add_caller(struct report *r, json_t *caller)
{
	struct report_line *l = find_or_add_line(r,
	    string_field(caller, "owner"), string_field(caller, "class"),
	    string_field(caller, "objective"));
	const char *cause;
	json_t *bad;

	l->target_permille = (uint64_t)json_integer_value(
	    json_object_get(caller, "target_permille"));
	l->threshold_ms = (uint64_t)json_integer_value(
	    json_object_get(caller, "threshold_ms"));
	for (size_t i = 0; i < r->window_count; i++) {
		l->good[i] += array_number(caller, "good", i);
		l->bad[i] += array_number(caller, "bad", i);
	}
	json_object_foreach(json_object_get(caller, "causes"), cause, bad)
	    add_cause(l, cause, (uint64_t)json_integer_value(bad));
}

static void
add_node(struct report *r, struct ld_str body)
{
	json_t *doc = json_loadb(body.p, body.len, 0, NULL);
	json_t *windows = json_object_get(doc, "windows_min");
	json_t *caller;
	size_t i;

	r->window_count = json_array_size(windows);
	if (r->window_count > REPORT_WINDOWS_MAX)
		r->window_count = REPORT_WINDOWS_MAX;
	for (i = 0; i < r->window_count; i++)
		r->windows_min[i] = (unsigned int)json_integer_value(
		    json_array_get(windows, i));
	json_array_foreach(json_object_get(doc, "callers"), i, caller)
	    add_caller(r, caller);
	r->nodes_heard += doc != NULL;
	json_decref(doc);
}

double
report_burn(const struct report_line *l, size_t window)
{
	double all = (double)(l->good[window] + l->bad[window]);
	double allowed = 1.0 - (double)l->target_permille / 1000.0;

	if (all == 0.0 || allowed <= 0.0)
		return 0.0;
	return (double)l->bad[window] / all / allowed;
}

static int
by_burn(const void *a, const void *b)
{
	double x = report_burn(a, 0);
	double y = report_burn(b, 0);

	return (x < y) - (x > y);
}

/* ---- Text and JSON ---- */

static void
print_text(const struct report *r)
{
	printf("burn 1.0 uses up what the target allows; %zu of %zu nodes "
	       "answered\n%-20s %-7s %-12s",
	    r->nodes_heard, r->nodes_asked, "caller", "class", "objective");
	for (size_t i = 0; i < r->window_count; i++)
		printf(" %5u min", r->windows_min[i]);
	printf("  causes\n");
	for (size_t i = 0; i < r->line_count; i++) {
		const struct report_line *l = &r->lines[i];

		printf("%-20s %-7s %-12s", l->owner, l->class, l->objective);
		for (size_t w = 0; w < r->window_count; w++)
			printf(" %9.2f", report_burn(l, w));
		for (size_t c = 0; c < l->cause_count; c++)
			printf("%s%s %llu", c == 0 ? "  " : ", ",
			    l->causes[c].name,
			    (unsigned long long)l->causes[c].bad);
		printf("\n");
	}
}

static void
print_json(const struct report *r)
{
	json_t *lines = json_array();
	json_t *doc;

	for (size_t i = 0; i < r->line_count; i++) {
		const struct report_line *l = &r->lines[i];
		json_t *windows = json_array();
		json_t *causes = json_object();

		for (size_t w = 0; w < r->window_count; w++)
			json_array_append_new(windows,
			    json_pack("{s:i,s:I,s:I,s:f}", "minutes",
				(int)r->windows_min[w], "good",
				(json_int_t)l->good[w], "bad",
				(json_int_t)l->bad[w], "burn",
				report_burn(l, w)));
		for (size_t c = 0; c < l->cause_count; c++)
			json_object_set_new(causes, l->causes[c].name,
			    json_integer((json_int_t)l->causes[c].bad));
		json_array_append_new(lines,
		    json_pack("{s:s,s:s,s:s,s:o,s:o}", "owner", l->owner,
			"class", l->class, "objective", l->objective, "windows",
			windows, "causes", causes));
	}
	doc = json_pack("{s:I,s:I,s:o}", "nodes_asked",
	    (json_int_t)r->nodes_asked, "nodes_heard",
	    (json_int_t)r->nodes_heard, "lines", lines);
	json_dumpf(doc, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(doc);
}

/* ---- Command ---- */

static void
report_fini(struct report *r)
{
	for (size_t i = 0; i < r->line_count; i++) {
		struct report_line *l = &r->lines[i];

		free(l->owner);
		free(l->class);
		free(l->objective);
		for (size_t c = 0; c < l->cause_count; c++)
			free(l->causes[c].name);
	}
	free(r->lines);
}

static void
collect_nodes(struct report *r, const struct client *c)
{
	struct client_answer a;

	for (size_t i = 0; i < c->node_count; i++) {
		client_call(
		    c, c->nodes[i], "GET", "/burn", NULL, ld_str_c(NULL), &a);
		if (client_succeeded(c->nodes[i], &a))
			add_node(r, ld_buf_str(&a.body));
		client_answer_fini(&a);
	}
	r->nodes_asked = c->node_count;
	if (r->line_count > 0)
		qsort(r->lines, r->line_count, sizeof(*r->lines), by_burn);
}

static int
write_html(const struct report *r, const char *file)
{
	FILE *out = fopen(file, "w");

	if (out == NULL) {
		perror(file);
		return EXIT_FAILED;
	}
	report_html(r, out);
	if (fclose(out) != 0) {
		perror(file);
		return EXIT_FAILED;
	}
	return 0;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct report_args *args = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &args->client;
		return 0;
	case 'w':
		args->html = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
command_report(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"html", 'w', "FILE", 0, "Write a web page with plots to FILE", 0},
	    {0},
	};
	static const char doc[] =
	    "Report the burn of service-level objectives: who, through which "
	    "cause, over which window, added up over all nodes named."
	    "\vExamples:\n"
	    "  lavenderdrift report -c node.json\n"
	    "  lavenderdrift report -t token -o 10.0.0.4:8081 -o "
	    "10.0.0.5:8081 --html burn.html\n"
	    "Exit status: 0, or 1 when a node did not answer.";
	const struct argp argp = {
	    options, parse_option, NULL, doc, client_children, NULL, NULL};
	struct report_args args = {0};
	struct report r = {0};
	int status = 0;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	collect_nodes(&r, &args.client);
	if (args.html != NULL)
		status = write_html(&r, args.html);
	else if (args.client.json)
		print_json(&r);
	else
		print_text(&r);
	if (r.nodes_heard < r.nodes_asked)
		status = EXIT_FAILED;
	report_fini(&r);
	client_fini(&args.client);
	return status;
}
