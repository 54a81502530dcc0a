/* Subcommands status, drain and counters. */
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "commands.h"

static error_t
pass_input(int key, char *arg, struct argp_state *state)
{
	if (key != ARGP_KEY_INIT)
		return ARGP_ERR_UNKNOWN;
	state->child_inputs[0] = state->input;
	return 0;
}

static void
parse_args(struct client *c, int argc, char **argv, const char *doc)
{
	const struct argp argp = {
	    NULL, pass_input, NULL, doc, client_children, NULL, NULL};

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, c);
}

/** struct node_call - request sent to each node, and printer of the response */
struct node_call {
	const char *method;
	const char *path;
	void (*show)(const char *node, struct ld_str body);
};

static int
call_all_nodes(const struct client *c, const struct node_call *call)
{
	struct client_answer a;
	int status = 0;

	for (size_t i = 0; i < c->node_count; i++) {
		client_call(c, c->nodes[i], call->method, call->path, NULL,
		    ld_str_c(NULL), &a);
		if (!client_succeeded(c->nodes[i], &a))
			status = EXIT_FAILED;
		else if (c->json)
			printf("%.*s", LD_FMT(ld_buf_str(&a.body)));
		else
			call->show(c->nodes[i], ld_buf_str(&a.body));
		client_answer_fini(&a);
	}
	return status;
}

/* Parses the arguments and calls every node. */
static int
run(int argc, char **argv, const char *doc, const struct node_call *call)
{
	struct client c = {0};
	int status;

	parse_args(&c, argc, argv, doc);
	status = call_all_nodes(&c, call);
	client_fini(&c);
	return status;
}

/* ---- status ---- */

static void
show_status(const char *node, struct ld_str body)
{
	json_t *doc = json_loadb(body.p, body.len, 0, NULL);
	const char *key;
	json_t *v;
	char *text;

	printf("%s\n", node);
	json_object_foreach(doc, key, v)
	{
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		printf("  %-20s %s\n", key,
		    json_is_string(v) ? json_string_value(v) : text);
		free(text);
	}
	json_decref(doc);
}

int
command_status(int argc, char **argv)
{
	static const char doc[] =
	    "Show phase, readiness, catalogue revision and peers of nodes."
	    "\vExample: lavenderdrift status -c node.json\n"
	    "Exit status: 0, or 1 when a node did not answer.";
	static const struct node_call call = {"GET", "/status", show_status};

	return run(argc, argv, doc, &call);
}

/* ---- drain ---- */

static void
show_drain(const char *node, struct ld_str body)
{
	printf(
	    "%s: draining; it ends once its open requests have ended\n", node);
}

int
command_drain(int argc, char **argv)
{
	static const char doc[] =
	    "Have nodes finish what is open and stop."
	    "\vExample: lavenderdrift drain -o 10.0.0.4:8081 -t token\n"
	    "Exit status: 0, or 1 when a node did not answer.";
	static const struct node_call call = {"POST", "/drain", show_drain};

	return run(argc, argv, doc, &call);
}

/* ---- counters ---- */

static void
show_counters(const char *node, struct ld_str body)
{
	printf("# node %s\n%.*s", node, LD_FMT(body));
}

/* Converts the text exposition to {"node":..,"counters":{name: value}}. */
static void
print_counters_json(const char *node, struct ld_str body)
{
	char *copy = ld_str_dup(body);
	json_t *values = json_object();
	json_t *doc;
	char *save = NULL;

	for (char *line = strtok_r(copy, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save)) {
		char *space = strrchr(line, ' ');

		if (line[0] == '#' || space == NULL)
			continue;
		*space = '\0';
		json_object_set_new(
		    values, line, json_integer(strtoll(space + 1, NULL, 10)));
	}
	doc = json_pack("{s:s,s:o}", "node", node, "counters", values);
	json_dumpf(doc, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(doc);
	free(copy);
}

int
command_counters(int argc, char **argv)
{
	static const char doc[] =
	    "Show the counters of nodes in the text exposition format."
	    "\vExample: lavenderdrift counters -c node.json --json\n"
	    "Exit status: 0, or 1 when a node did not answer.";
	struct node_call call = {"GET", "/counters", show_counters};
	struct client c = {0};
	int status;

	parse_args(&c, argc, argv, doc);
	if (c.json)
		call.show = print_counters_json;
	c.json = false;
	status = call_all_nodes(&c, &call);
	client_fini(&c);
	return status;
}
