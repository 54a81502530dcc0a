/* Subcommand catalogue: list, show, put, diff, history. */
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "commands.h"
#include "ld_catalogue.h"
#include "ld_settings.h"

#define HEADER_BYTES 64
#define NO_REVISION (-1)

/** struct catalogue_args - arguments of the subcommand */
struct catalogue_args {
	struct client client;
	const char *verb;
	const char *operand;
	int64_t revision;
};

/* ---- Catalogue of a node or a file ---- */

static struct ld_catalogue *
fetch_catalogue(const struct catalogue_args *args)
{
	const char *node = args->client.nodes[0];
	struct ld_catalogue *c = NULL;
	struct client_answer a;
	int64_t revision = 0;
	json_t *doc;

	client_call(
	    &args->client, node, "GET", "/status", NULL, ld_str_c(NULL), &a);
	if (!client_succeeded(node, &a))
		goto out;
	doc = json_loadb(a.body.p, a.body.len, 0, NULL);
	revision =
	    json_integer_value(json_object_get(doc, "catalogue_revision"));
	json_decref(doc);
	client_answer_fini(&a);
	client_call(
	    &args->client, node, "GET", "/catalogue", NULL, ld_str_c(NULL), &a);
	if (!client_succeeded(node, &a))
		goto out;
	if (ld_catalogue_parse(ld_buf_str(&a.body), revision, &c, NULL) !=
	    LD_OK)
		fprintf(stderr, "%s: %s\n", node, ld_last_message());
out:
	client_answer_fini(&a);
	return c;
}

static struct ld_catalogue *
load_catalogue(const char *file)
{
	struct ld_catalogue *c = NULL;
	struct ld_faults faults = {0};
	struct ld_buf text = {0};

	if (read_file(file, &text) != LD_OK) {
		fprintf(stderr, "%s\n", ld_last_message());
	} else if (ld_catalogue_parse(ld_buf_str(&text), 0, &c, &faults) !=
	    LD_OK) {
		struct ld_buf lines = {0};

		ld_faults_print(&faults, &lines);
		fprintf(
		    stderr, "%s has faults:\n%s", file, ld_buf_cstr(&lines));
		ld_buf_free(&lines);
	}
	ld_faults_free(&faults);
	ld_buf_free(&text);
	return c;
}

/* ---- list, show ---- */

static void
print_entry(const struct ld_entry *e)
{
	printf("%-24s %-7s %6llu req/s %8llu tok/s %5llu concurrent, "
	       "%llu promised\n",
	    e->owner, ld_class_name(e->class),
	    (unsigned long long)e->limits.requests_per_s,
	    (unsigned long long)e->limits.tokens_per_s,
	    (unsigned long long)e->limits.concurrent,
	    (unsigned long long)e->promised.concurrent);
}

static int
list(const struct catalogue_args *args)
{
	struct ld_catalogue *c = fetch_catalogue(args);
	struct ld_buf json = {0};

	if (c == NULL)
		return EXIT_FAILED;
	if (args->client.json) {
		ld_catalogue_write(c, &json);
		printf("%s\n", ld_buf_cstr(&json));
	} else {
		printf("revision %lld, %zu entries\n",
		    (long long)ld_catalogue_revision(c), ld_catalogue_count(c));
		for (size_t i = 0; i < ld_catalogue_count(c); i++)
			print_entry(ld_catalogue_at(c, i));
	}
	ld_buf_free(&json);
	ld_catalogue_unref(c);
	return 0;
}

static void
suggest_owner(const struct ld_catalogue *c, const char *owner)
{
	size_t n = ld_catalogue_count(c);
	const char **names = ld_alloc(n * sizeof(*names));
	const char *nearest;

	for (size_t i = 0; i < n; i++)
		names[i] = ld_catalogue_at(c, i)->owner;
	nearest = ld_nearest_name(owner, names, n);
	fprintf(stderr, "no entry of \"%s\"", owner);
	if (nearest != NULL)
		fprintf(stderr, ", did you mean \"%s\"?", nearest);
	fprintf(stderr, "\n");
	free(names);
}

static int
show(const struct catalogue_args *args)
{
	struct ld_catalogue *c = fetch_catalogue(args);
	const struct ld_entry *e;
	int status = 0;

	if (c == NULL)
		return EXIT_FAILED;
	e = ld_catalogue_find_owner(c, ld_str_c(args->operand));
	if (e != NULL) {
		print_entry(e);
		printf("  %zu keys\n", e->n_keys);
	} else {
		suggest_owner(c, args->operand);
		status = EXIT_FAILED;
	}
	ld_catalogue_unref(c);
	return status;
}

/* ---- diff ---- */

static void
print_diff(const struct ld_catalogue *before, const struct ld_catalogue *after)
{
	struct ld_buf text = {0};
	struct ld_diff d;

	ld_catalogue_diff(before, after, &d);
	ld_diff_print(&d, &text);
	printf("%s", d.n > 0 ? ld_buf_cstr(&text) : "no difference\n");
	ld_diff_free(&d);
	ld_buf_free(&text);
}

static int
diff(const struct catalogue_args *args)
{
	struct ld_catalogue *current = fetch_catalogue(args);
	struct ld_catalogue *file = load_catalogue(args->operand);
	int status = EXIT_FAILED;

	if (current != NULL && file != NULL) {
		print_diff(current, file);
		status = 0;
	} else if (file == NULL) {
		status = EXIT_USAGE;
	}
	ld_catalogue_unref(current);
	ld_catalogue_unref(file);
	return status;
}

/* ---- put ---- */

static int
show_conflict(const struct catalogue_args *args, struct ld_catalogue *proposed)
{
	struct ld_catalogue *current = fetch_catalogue(args);

	fprintf(stderr,
	    "the catalogue was changed by somebody else; "
	    "nothing was written\n");
	if (current != NULL) {
		printf("what your file would change of revision %lld, which "
		       "is in force now:\n",
		    (long long)ld_catalogue_revision(current));
		print_diff(current, proposed);
		printf("look at it, then: put FILE --revision %lld\n",
		    (long long)ld_catalogue_revision(current));
	}
	ld_catalogue_unref(current);
	return EXIT_CONFLICT;
}

static int
show_accepted(const struct catalogue_args *args, struct ld_str body)
{
	json_t *doc = json_loadb(body.p, body.len, 0, NULL);
	json_t *unconfirmed = json_object_get(doc, "unconfirmed");
	json_int_t revision =
	    json_integer_value(json_object_get(doc, "revision"));
	bool accepted = json_is_true(json_object_get(doc, "accepted"));
	json_t *node;
	size_t i;

	if (args->client.json)
		printf("%.*s", LD_FMT(body));
	else if (accepted)
		printf("accepted: revision %lld is in force on every node\n",
		    (long long)revision);
	else
		printf("written as revision %lld, not confirmed by:\n",
		    (long long)revision);
	if (!args->client.json)
		json_array_foreach(unconfirmed, i, node)
		    printf("  %s\n", json_string_value(node));
	json_decref(doc);
	return accepted ? 0 : EXIT_UNCONFIRMED;
}

static int64_t
revision_in_force(const struct catalogue_args *args)
{
	struct ld_catalogue *c = fetch_catalogue(args);
	int64_t revision = c != NULL ? ld_catalogue_revision(c) : 0;

	ld_catalogue_unref(c);
	return revision;
}

static int
put(const struct catalogue_args *args)
{
	const char *node = args->client.nodes[0];
	struct ld_catalogue *proposed = load_catalogue(args->operand);
	int64_t revision = args->revision;
	char header[HEADER_BYTES];
	struct client_answer a = {0};
	struct ld_buf body = {0};
	int status = EXIT_USAGE;

	if (proposed == NULL)
		return EXIT_USAGE;
	if (revision == NO_REVISION)
		revision = revision_in_force(args);
	snprintf(header, sizeof(header), "If-Match: %lld", (long long)revision);
	ld_catalogue_write(proposed, &body);
	client_call(&args->client, node, "PUT", "/catalogue", header,
	    ld_buf_str(&body), &a);
	if (a.status == LD_OK && a.code == 412)
		status = show_conflict(args, proposed);
	else if (client_succeeded(node, &a))
		status = show_accepted(args, ld_buf_str(&a.body));
	else
		status = EXIT_FAILED;
	client_answer_fini(&a);
	ld_buf_free(&body);
	ld_catalogue_unref(proposed);
	return status;
}

/* ---- history ---- */

static void
print_history(struct ld_str body)
{
	json_t *revisions = json_loadb(body.p, body.len, 0, NULL);
	json_t *entry;
	size_t i;

	json_array_foreach(revisions, i, entry) printf(
	    "revision %lld, %lld s ago\n%s",
	    (long long)json_integer_value(json_object_get(entry, "revision")),
	    (long long)json_integer_value(json_object_get(entry, "age_ms")) /
		1000,
	    json_string_value(json_object_get(entry, "changes")));
	json_decref(revisions);
}

static int
history(const struct catalogue_args *args)
{
	struct client_answer a;
	int status = 0;

	for (size_t i = 0; i < args->client.node_count; i++) {
		const char *node = args->client.nodes[i];

		client_call(&args->client, node, "GET", "/catalogue/history",
		    NULL, ld_str_c(NULL), &a);
		if (!client_succeeded(node, &a)) {
			status = EXIT_FAILED;
		} else if (args->client.json) {
			printf("%.*s", LD_FMT(ld_buf_str(&a.body)));
		} else {
			printf("%s\n", node);
			print_history(ld_buf_str(&a.body));
		}
		client_answer_fini(&a);
	}
	return status;
}

/* ---- Arguments ---- */

static const struct verb {
	const char *name;
	int (*run)(const struct catalogue_args *args);
	const char *operand; /* NULL if the verb takes none */
} verbs[] = {
    {"list", list, NULL},
    {"show", show, "OWNER"},
    {"put", put, "FILE"},
    {"diff", diff, "FILE"},
    {"history", history, NULL},
};

#define VERB_COUNT (sizeof(verbs) / sizeof(verbs[0]))

static const struct verb *
find_verb(const char *name)
{
	for (size_t i = 0; i < VERB_COUNT; i++)
		if (strcmp(verbs[i].name, name) == 0)
			return &verbs[i];
	return NULL;
}

static void
check_verb(struct argp_state *state, const struct catalogue_args *args)
{
	const char *names[VERB_COUNT];
	const struct verb *v;
	const char *nearest;

	if (args->verb == NULL)
		argp_error(state, "list, show, put, diff or history is needed");
	v = find_verb(args->verb);
	if (v == NULL) {
		for (size_t i = 0; i < VERB_COUNT; i++)
			names[i] = verbs[i].name;
		nearest = ld_nearest_name(args->verb, names, VERB_COUNT);
		argp_error(state, "no verb \"%s\"%s%s%s", args->verb,
		    nearest != NULL ? ", did you mean \"" : "",
		    nearest != NULL ? nearest : "",
		    nearest != NULL ? "\"?" : "");
	} else if ((v->operand != NULL) != (args->operand != NULL)) {
		argp_error(state,
		    v->operand != NULL ? "%s needs %s"
				       : "%s takes no operand%s",
		    v->name, v->operand != NULL ? v->operand : "");
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct catalogue_args *args = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &args->client;
		return 0;
	case 'r':
		args->revision = strtoll(arg, NULL, 10);
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			args->verb = arg;
		else if (state->arg_num == 1)
			args->operand = arg;
		else
			argp_error(state, "too many operands");
		return 0;
	case ARGP_KEY_END:
		check_verb(state, args);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
command_catalogue(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"revision", 'r', "N", 0,
		"put: the revision that is replaced; the one in force at the "
		"node if not given",
		0},
	    {0},
	};
	static const char doc[] =
	    "Show and edit the catalogue."
	    "\vExamples:\n"
	    "  lavenderdrift catalogue list -c node.json\n"
	    "  lavenderdrift catalogue list -c node.json --json > c.json\n"
	    "  lavenderdrift catalogue diff c.json -c node.json\n"
	    "  lavenderdrift catalogue put c.json -c node.json -r 41\n"
	    "  lavenderdrift catalogue history -c node.json\n"
	    "Exit status: 0 done and in force everywhere, 1 failed, 2 wrong "
	    "arguments or document, 3 conflict, 4 written but not confirmed "
	    "by every node.";
	const struct argp argp = {options, parse_option,
	    "list|show OWNER|put FILE|diff FILE|history", doc, client_children,
	    NULL, NULL};
	struct catalogue_args args = {.revision = NO_REVISION};
	int status;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	status = find_verb(args.verb)->run(&args);
	client_fini(&args.client);
	return status;
}
