/* Subcommand check-config: what relays would make of a configuration that an operator
 * is about to write. */
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "commands.h"
#include "ld_platform.h"
#include "ld_routes_check.h"
#include "ld_settings.h"
#include "ld_store.h"

#define CONNECT_TIMEOUT_MS 2000
#define CALL_TIMEOUT_MS 5000

/** struct check_args - arguments of the subcommand */
struct check_args {
	const char *file;
	const char *against; /* file of the configuration in force, or NULL */
	const char *settings; /* of a relay, if that is to be read, or NULL */
	bool json;
};

/* ---- The configuration in force ---- */

/** struct live_read - a read of the store */
struct live_read {
	struct ld_store_call call; /* first member */
	struct ld_loop *loop;
	enum ld_status status;
	struct ld_buf value;
};

static void
on_read(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct live_read *l = (struct live_read *)call;

	l->status = a->status;
	if (a->status == LD_OK && a->n > 0)
		ld_buf_adds(&l->value, a->kvs[0].value);
	ld_loop_stop(l->loop);
}

static enum ld_status
read_live(const char *settings_file, struct ld_buf *out)
{
	const struct ld_dialect *dialect = ld_platform_dialect();
	struct live_read l = {.call = {.done = on_read}};
	struct ld_store_settings settings = ld_store_defaults();
	struct ld_relay_settings *relay = NULL;
	struct ld_http *http = NULL;
	struct ld_store *store = NULL;
	const char *endpoint;
	enum ld_status st;

	st = ld_relay_settings_load(settings_file, &relay, out);
	if (st != LD_OK) {
		fputs(ld_buf_cstr(out), stderr);
		(void)ld_fail(st, "the settings are wrong");
		goto end;
	}
	endpoint = relay->store_address.text;
	settings.endpoints = &endpoint;
	settings.n_endpoints = 1;
	settings.prefix = "";
	settings.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	settings.call_timeout_ms = CALL_TIMEOUT_MS;
	l.loop = ld_loop_new();
	http = ld_http_new(l.loop);
	store = ld_store_new(l.loop, http, &settings, dialect->codec);
	ld_store_read(store, &l.call, ld_str_c(dialect->config_key));
	ld_loop_run(l.loop);
	st = l.status;
	if (st == LD_OK)
		ld_buf_adds(out, ld_buf_str(&l.value));
	else
		(void)ld_fail(
		    st, "the store at %s: %s", endpoint, ld_status_name(st));
end:
	ld_store_free(store);
	ld_http_free(http);
	ld_loop_free(l.loop);
	ld_buf_free(&l.value);
	ld_relay_settings_free(relay);
	return st;
}

/* ---- Output ---- */

static void
print_finding(
    const char *kind, const char *code, const char *where, const char *text)
{
	printf("%-7s %s: %s [%s]\n", kind, where, text, code);
}

static void
print_text(const struct ld_routes_findings *f)
{
	for (size_t i = 0; i < f->n; i++)
		print_finding(f->v[i].warning ? "warning" : "change",
		    f->v[i].code, f->v[i].where, f->v[i].text);
}

static json_t *
finding_json(
    const char *kind, const char *code, const char *where, const char *text)
{
	return json_pack("{s:s, s:s, s:s, s:s}", "kind", kind, "code", code,
	    "where", where, "text", text);
}

static void
print_json(const struct ld_routes_findings *f)
{
	json_t *list = json_array();

	for (size_t i = 0; i < f->n; i++)
		json_array_append_new(list,
		    finding_json(f->v[i].warning ? "warning" : "change",
			f->v[i].code, f->v[i].where, f->v[i].text));
	json_dumpf(list, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(list);
}

static void
print_error(const struct check_args *args, const char *where, const char *text)
{
	json_t *list;

	if (!args->json) {
		print_finding("error", "refused", where, text);
		return;
	}
	list = json_pack("[o]", finding_json("error", "refused", where, text));
	json_dumpf(list, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(list);
}

/* ---- The subcommand ---- */

static enum ld_status
parse_text(struct ld_buf *text, struct ld_routes **out)
{
	return ld_platform_dialect()->read_routes(ld_buf_str(text), out);
}

static enum ld_status
load_before(const struct check_args *args, struct ld_routes **out)
{
	struct ld_buf text = {0};
	enum ld_status st = args->settings != NULL
	    ? read_live(args->settings, &text)
	    : read_file(args->against, &text);

	if (st == LD_OK)
		st = parse_text(&text, out);
	ld_buf_free(&text);
	return st;
}

static int
check(const struct check_args *args)
{
	struct ld_routes *after = NULL, *before = NULL;
	struct ld_routes_findings f = {0};
	struct ld_buf text = {0};
	int status = EXIT_USAGE;

	if (read_file(args->file, &text) != LD_OK ||
	    parse_text(&text, &after) != LD_OK) {
		print_error(args, args->file, ld_last_message());
		goto end;
	}
	if ((args->against != NULL || args->settings != NULL) &&
	    load_before(args, &before) != LD_OK) {
		print_error(
		    args, "the configuration in force", ld_last_message());
		goto end;
	}
	ld_routes_check(after, &f);
	if (before != NULL)
		ld_routes_compare(before, after, &f);
	if (args->json)
		print_json(&f);
	else
		print_text(&f);
	status = 0;
	for (size_t i = 0; i < f.n; i++)
		if (f.v[i].warning)
			status = EXIT_FAILED;
end:
	ld_routes_findings_free(&f);
	ld_routes_free(before);
	ld_routes_free(after);
	ld_buf_free(&text);
	return status;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct check_args *a = state->input;

	switch (key) {
	case 'a':
		a->against = arg;
		return 0;
	case 'c':
		a->settings = arg;
		return 0;
	case 'j':
		a->json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (a->file != NULL)
			argp_error(state, "one FILE is needed");
		a->file = arg;
		return 0;
	case ARGP_KEY_END:
		if (a->file == NULL)
			argp_error(state, "FILE is needed");
		if (a->against != NULL && a->settings != NULL)
			argp_error(
			    state, "--against and --live exclude each other");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
command_check_config(int argc, char **argv)
{
	static const char doc[] =
	    "Check a configuration before it is written: what relays would "
	    "refuse, entries without effect, and what changes."
	    "\vExample: lavenderdrift check-config --live relay.json new.json\n"
	    "Exit status: 0 without a warning, 1 with one, 2 when relays would "
	    "refuse the configuration or a file can't be read.";
	static const struct argp_option options[] = {
	    {"against", 'a', "FILE", 0,
		"Compare with the configuration in FILE", 0},
	    {"live", 'c', "SETTINGS", 0,
		"Compare with the one in the store that the settings of a "
		"relay name",
		0},
	    {"json", 'j', NULL, 0, "Print JSON", 0},
	    {0},
	};
	static const struct argp argp = {
	    options, parse_option, "FILE", doc, NULL, NULL, NULL};
	struct check_args args = {0};

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	return check(&args);
}
