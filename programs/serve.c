/* serve and check-settings. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "commands.h"
#include "ld_node.h"

/** struct serve_args - what serve and check-settings are given */
struct serve_args {
	const char *file;
	bool verbose;
};

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "Settings in JSON (needed)", 0},
    {"verbose", 'v', NULL, 0, "Log debug lines too", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct serve_args *args = state->input;

	switch (key) {
	case 'c':
		args->file = arg;
		return 0;
	case 'v':
		args->verbose = true;
		return 0;
	case ARGP_KEY_END:
		if (args->file == NULL)
			argp_error(state, "-c FILE is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static struct ld_settings *
load(int argc, char **argv, const char *doc, struct serve_args *args)
{
	const struct argp argp = {
	    options, parse_option, NULL, doc, NULL, NULL, NULL};
	struct ld_settings *s = NULL;
	struct ld_buf faults = {0};

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, args);
	if (ld_settings_load(args->file, &s, &faults) != LD_OK)
		fputs(ld_buf_cstr(&faults), stderr);
	ld_buf_free(&faults);
	return s;
}

int
command_serve(int argc, char **argv)
{
	static const char doc[] =
	    "Run one node until SIGTERM, which drains it."
	    "\vExample: lavenderdrift serve -c node.json\n"
	    "Exit status: 0 after a drain, 1 when an address can't be bound, "
	    "2 for wrong arguments or settings.";
	struct serve_args args = {0};
	struct ld_settings *s = load(argc, argv, doc, &args);
	enum ld_status st;

	if (s == NULL)
		return EXIT_USAGE;
	ld_log_init("lavenderdrift", args.verbose ? LD_LOG_DEBUG : LD_LOG_INFO);
	st = ld_node_serve(s);
	if (st != LD_OK)
		ld_log(LD_LOG_ERR, "node", "%s", ld_last_message());
	ld_settings_free(s);
	return st == LD_OK ? 0 : EXIT_FAILED;
}

int
command_check_settings(int argc, char **argv)
{
	static const char doc[] =
	    "Check a settings file whole; all faults are printed."
	    "\vExample: lavenderdrift check-settings -c node.json\n"
	    "Exit status: 0 when it is right, 2 when not.";
	struct serve_args args = {0};
	struct ld_settings *s = load(argc, argv, doc, &args);

	if (s == NULL)
		return EXIT_USAGE;
	printf("%s: settings are right\n", args.file);
	ld_settings_free(s);
	return 0;
}
