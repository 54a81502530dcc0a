/* Arguments of the subcommands that read a settings file. */
#include "commands.h"
#include "config_args.h"

/** struct parse_state - result, and key of the subcommand's own option */
struct parse_state {
	struct config_args args;
	int option_key;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct parse_state *p = state->input;

	if (key == 'c') {
		p->args.file = arg;
		return 0;
	}
	if (key == p->option_key) {
		p->args.flag = true;
		return 0;
	}
	if (key != ARGP_KEY_END)
		return ARGP_ERR_UNKNOWN;
	if (p->args.file == NULL)
		argp_error(state, "-c FILE is needed");
	return 0;
}

struct config_args
config_args_parse(
    int argc, char **argv, const char *doc, const struct argp_option *option)
{
	const struct argp_option options[] = {
	    {"config", 'c', "FILE", 0, "Settings in JSON (needed)", 0},
	    *option,
	    {0},
	};
	const struct argp argp = {
	    options, parse_option, NULL, doc, NULL, NULL, NULL};
	struct parse_state p = {.option_key = option->key};

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &p);
	return p.args;
}
