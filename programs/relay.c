/* Subcommand relay: runs one relay on the users' machines. */
#include <stdio.h>
#include <stdlib.h>

#include "commands.h"
#include "config_args.h"
#include "ld_platform.h"
#include "ld_relay.h"

static const struct argp_option check_option = {
    "check", 'k', NULL, 0, "Check the settings and end", 0};

int
command_relay(int argc, char **argv)
{
	static const char doc[] =
	    "Relay requests by the operators' routes until SIGTERM, which ends "
	    "it once what runs has ended. SIGHUP reads the settings again."
	    "\vExample: lavenderdrift relay -c relay.json\n"
	    "Exit status: 0 after a stop, 1 when an address can't be bound, "
	    "2 for wrong arguments or settings.";
	struct config_args args =
	    config_args_parse(argc, argv, doc, &check_option);
	struct ld_relay_settings *s = NULL;
	struct ld_buf faults = {0};
	enum ld_status st;

	st = ld_relay_settings_load(args.file, &s, &faults);
	if (st != LD_OK)
		fputs(ld_buf_cstr(&faults), stderr);
	ld_buf_free(&faults);
	if (st != LD_OK)
		return EXIT_USAGE;
	if (args.flag) {
		printf("%s: settings are right\n", args.file);
		ld_relay_settings_free(s);
		return 0;
	}
	st = ld_relay_serve(args.file, s, ld_platform_dialect());
	if (st != LD_OK)
		fprintf(stderr, "lavenderdrift: %s\n", ld_last_message());
	return st == LD_OK ? 0 : EXIT_FAILED;
}
