/* Subcommands serve and check-settings. */
#include <stdio.h>
#include <stdlib.h>

#include "commands.h"
#include "config_args.h"
#include "ld_node.h"

static const struct argp_option verbose_option = {
    "verbose", 'v', NULL, 0, "Log debug lines too", 0};

static struct ld_settings *
load_settings(int argc, char **argv, const char *doc, struct config_args *args)
{
	struct ld_settings *s = NULL;
	struct ld_buf faults = {0};

	*args = config_args_parse(argc, argv, doc, &verbose_option);
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
	struct config_args args;
	struct ld_settings *s = load_settings(argc, argv, doc, &args);
	enum ld_status st;

	if (s == NULL)
		return EXIT_USAGE;
	ld_log_init("lavenderdrift", args.flag ? LD_LOG_DEBUG : LD_LOG_INFO);
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
	struct config_args args;
	struct ld_settings *s = load_settings(argc, argv, doc, &args);

	if (s == NULL)
		return EXIT_USAGE;
	printf("%s: settings are right\n", args.file);
	ld_settings_free(s);
	return 0;
}
