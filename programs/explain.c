/* Subcommand explain: the log lines of several nodes that concern one request,
 * ordered by time, or failures counted by cause. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"
#include "ld_common.h"

#define LINE_BYTES 4096
#define VALUE_BYTES 128
/* Lines about the servers and groups of a request, and events of nodes, are
 * printed from this long before its first line to this long after its last one:
 * a group that loses a member is closed within this time. */
#define CONTEXT_MS 3000
#define NAMES_MAX 64
#define CAUSES_MAX 256

/** struct explain_args - arguments of the subcommand */
struct explain_args {
	const char *id;
	bool summary;
	char **files;
	int file_count;
};

/** struct log_line - log line with a valid time and an event */
struct log_line {
	uint64_t t_ms;
	char *text;
};

/**
 * struct log_lines - lines of all files; command_explain() sorts them by time
 * @malformed: lines that were skipped, having no valid time or no event
 */
struct log_lines {
	struct log_line *v;
	size_t n;
	size_t malformed;
};

/** struct name_set - servers of a request, and their groups */
struct name_set {
	char v[NAMES_MAX][VALUE_BYTES];
	size_t n;
};

/* ---- Lines ---- */

/* Copies the value of KEY=, up to the next blank; false if the line has none.
 * The key must be at the start of the line or after a blank. */
static bool
field_value(const char *line, const char *key, char out[VALUE_BYTES])
{
	char prefix[VALUE_BYTES];
	const char *pos;
	size_t n;

	snprintf(prefix, sizeof(prefix), "%s=", key);
	pos = strstr(line, prefix);
	while (pos != NULL && pos != line && pos[-1] != ' ')
		pos = strstr(pos + 1, prefix);
	if (pos == NULL)
		return false;
	pos += strlen(prefix);
	n = strcspn(pos, " \n");
	if (n >= VALUE_BYTES)
		n = VALUE_BYTES - 1;
	memcpy(out, pos, n);
	out[n] = '\0';
	return true;
}

/* Other text may precede "t=", such as the prefix of a log collector. */
static void
add_line(struct log_lines *l, const char *line)
{
	char t[VALUE_BYTES], event[VALUE_BYTES];
	char *end = NULL;
	unsigned long long ms;

	if (!field_value(line, "t", t) || !field_value(line, "event", event)) {
		l->malformed += line[strspn(line, " \t\n")] != '\0';
		return;
	}
	ms = strtoull(t, &end, 10);
	if (*end != '\0') {
		l->malformed++;
		return;
	}
	l->v = ld_realloc(l->v, (l->n + 1) * sizeof(*l->v));
	l->v[l->n].t_ms = ms;
	l->v[l->n].text = ld_strdup(line);
	l->n++;
}

static int
by_time(const void *a, const void *b)
{
	const struct log_line *x = a, *y = b;

	return x->t_ms < y->t_ms ? -1 : x->t_ms > y->t_ms;
}

static bool
read_log(struct log_lines *l, const char *path)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char line[LINE_BYTES];

	if (f == NULL) {
		fprintf(stderr, "lavenderdrift: %s can't be read\n", path);
		return false;
	}
	while (fgets(line, sizeof(line), f) != NULL)
		add_line(l, line);
	if (f != stdin)
		fclose(f);
	return true;
}

/* ---- One request ---- */

static void
add_name(struct name_set *names, const char *line, const char *key)
{
	char value[VALUE_BYTES];

	if (!field_value(line, key, value) || strcmp(value, "-") == 0)
		return;
	for (size_t i = 0; i < names->n; i++)
		if (strcmp(names->v[i], value) == 0)
			return;
	if (names->n < NAMES_MAX)
		memcpy(names->v[names->n++], value, sizeof(value));
}

static bool
names_include(const struct name_set *names, const char *line, const char *key)
{
	char value[VALUE_BYTES];

	if (!field_value(line, key, value))
		return false;
	for (size_t i = 0; i < names->n; i++)
		if (strcmp(names->v[i], value) == 0)
			return true;
	return false;
}

static bool
has_request_id(const char *line, const char *id)
{
	char value[VALUE_BYTES];

	return field_value(line, "id", value) && strcmp(value, id) == 0;
}

/* Events of a node itself: its view of the store, lease, configuration, start
 * and stop. They are printed for every request. */
static bool
is_node_event(const char *line)
{
	static const char *const events[] = {"store.lost", "store.regained",
	    "lease.taken", "lease.lost", "config.applied", "stop.asked",
	    "start"};
	char event[VALUE_BYTES];

	if (!field_value(line, "event", event))
		return false;
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++)
		if (strcmp(events[i], event) == 0)
			return true;
	return false;
}

static void
collect_related(
    const struct log_lines *l, const char *id, struct name_set *names)
{
	for (size_t i = 0; i < l->n; i++) {
		if (!has_request_id(l->v[i].text, id))
			continue;
		add_name(names, l->v[i].text, "server");
		add_name(names, l->v[i].text, "last_server");
	}
	/* Groups from the entries that these servers published. */
	for (size_t i = 0; i < l->n; i++)
		if (strstr(l->v[i].text, "event=server.entry ") != NULL &&
		    names_include(names, l->v[i].text, "server"))
			add_name(names, l->v[i].text, "group");
}

static int
explain_request(const struct log_lines *l, const char *id)
{
	uint64_t first = UINT64_MAX, last = 0;
	struct name_set names = {.n = 0};

	for (size_t i = 0; i < l->n; i++) {
		if (!has_request_id(l->v[i].text, id))
			continue;
		if (l->v[i].t_ms < first)
			first = l->v[i].t_ms;
		last = l->v[i].t_ms;
	}
	if (first == UINT64_MAX) {
		fprintf(stderr,
		    "lavenderdrift: no line has id=%s (%zu lines, %zu that "
		    "can't be read)\n",
		    id, l->n, l->malformed);
		return EXIT_FAILED;
	}
	collect_related(l, id, &names);
	for (size_t i = 0; i < l->n; i++) {
		const char *text = l->v[i].text;
		bool own = has_request_id(text, id);

		if (!own &&
		    (l->v[i].t_ms + CONTEXT_MS < first ||
			l->v[i].t_ms > last + CONTEXT_MS ||
			field_value(text, "id", (char[VALUE_BYTES]){0})))
			continue;
		if (own || is_node_event(text) ||
		    names_include(&names, text, "server") ||
		    names_include(&names, text, "group"))
			printf("%c %+8.3f s  %s", own ? '*' : ' ',
			    ((double)l->v[i].t_ms - (double)first) / 1000.0,
			    text);
	}
	printf("%zu lines could not be read\n", l->malformed);
	return 0;
}

/* ---- Summary ---- */

/** struct cause - number of requests that ended for one reason */
struct cause {
	char label[2 * VALUE_BYTES];
	size_t n;
};

static void
count_cause(struct cause *causes, size_t *n, const char *label)
{
	for (size_t i = 0; i < *n; i++) {
		if (strcmp(causes[i].label, label) != 0)
			continue;
		causes[i].n++;
		return;
	}
	if (*n == CAUSES_MAX)
		return;
	snprintf(causes[*n].label, sizeof(causes[*n].label), "%s", label);
	causes[(*n)++].n = 1;
}

static int
by_count(const void *a, const void *b)
{
	const struct cause *x = a, *y = b;

	return x->n > y->n ? -1 : x->n < y->n;
}

static int
summarize(const struct log_lines *l)
{
	struct cause *causes = ld_alloc(CAUSES_MAX * sizeof(*causes));
	char value[VALUE_BYTES], outcome[VALUE_BYTES];
	char label[2 * VALUE_BYTES + 2];
	size_t n = 0;

	for (size_t i = 0; i < l->n; i++) {
		const char *text = l->v[i].text;

		if (strstr(text, "event=request.refused ") != NULL &&
		    field_value(text, "reason", value)) {
			snprintf(label, sizeof(label), "refused %s", value);
			count_cause(causes, &n, label);
		} else if (strstr(text, "event=request.end ") != NULL &&
		    field_value(text, "outcome", outcome) &&
		    strcmp(outcome, "answered") != 0 &&
		    strcmp(outcome, "failed") != 0 &&
		    field_value(text, "why", value)) {
			snprintf(label, sizeof(label), "%s %s", outcome, value);
			count_cause(causes, &n, label);
		}
	}
	qsort(causes, n, sizeof(*causes), by_count);
	for (size_t i = 0; i < n; i++)
		printf("%8zu  %s\n", causes[i].n, causes[i].label);
	printf("%zu lines could not be read\n", l->malformed);
	free(causes);
	return 0;
}

/* ---- Command ---- */

static const struct argp_option options[] = {
    {"summary", 's', NULL, 0, "Count failures by cause instead", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct explain_args *args = state->input;

	switch (key) {
	case 's':
		args->summary = true;
		return 0;
	case ARGP_KEY_ARG:
		if (!args->summary && args->id == NULL) {
			args->id = arg;
			return 0;
		}
		args->files = &state->argv[state->next - 1];
		args->file_count = state->argc - state->next + 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_END:
		if (!args->summary && args->id == NULL)
			argp_error(state, "the id of a request is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
command_explain(int argc, char **argv)
{
	static const char doc[] =
	    "Print the story of one request from the logs of several nodes, in "
	    "order of time: its own lines (*), and what was believed of its "
	    "servers, their groups and the store."
	    "\vExamples: lavenderdrift explain 9c41d07be2a35f68 *.log\n"
	    "          lavenderdrift explain --summary *.log\n"
	    "Without files, standard input is read. Exit status: 0, or 1 when "
	    "no line has the id or a file can't be read, 2 for wrong "
	    "arguments.";
	const struct argp argp = {
	    options, parse_option, "ID [FILE...]", doc, NULL, NULL, NULL};
	struct explain_args args = {0};
	struct log_lines l = {0};
	bool ok = true;
	int rc = EXIT_FAILED;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (args.file_count == 0)
		ok = read_log(&l, "-");
	for (int i = 0; ok && i < args.file_count; i++)
		ok = read_log(&l, args.files[i]);
	if (ok) {
		if (l.n > 0)
			qsort(l.v, l.n, sizeof(*l.v), by_time);
		rc =
		    args.summary ? summarize(&l) : explain_request(&l, args.id);
	}
	for (size_t i = 0; i < l.n; i++)
		free(l.v[i].text);
	free(l.v);
	return rc;
}
