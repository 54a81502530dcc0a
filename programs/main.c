/* lavenderdrift: entry point, dispatches to the subcommands. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"
#include "ld_common.h"
#include "ld_settings.h"

#define VERSION "0.1.0"

const char *argp_program_version = "lavenderdrift " VERSION;

static const struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *doc;
} commands[] = {
    {"serve", command_serve, "run one node"},
    {"relay", command_relay, "run one relay on the users' machines"},
    {"explain", command_explain, "tell the story of a request from logs"},
    {"check-settings", command_check_settings, "check a settings file"},
    {"check-config", command_check_config,
	"check a configuration before it is written"},
    {"status", command_status, "show nodes and what they know"},
    {"catalogue", command_catalogue, "show and edit the catalogue"},
    {"drain", command_drain, "have nodes finish and stop"},
    {"counters", command_counters, "show the counters of nodes"},
    {"report", command_report, "report service-level burn"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
usage(FILE *out)
{
	fprintf(out,
	    "Usage: lavenderdrift COMMAND [OPTION...]\n\n"
	    "Serving system for models that span several instances."
	    "\n\nCommands:\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-16s %s\n", commands[i].name, commands[i].doc);
	fprintf(out,
	    "\n  --help, --version\n\n"
	    "Each command has --help with examples.\n");
}

static int
unknown_command(const char *name)
{
	const char *names[COMMAND_COUNT];
	const char *nearest;

	for (size_t i = 0; i < COMMAND_COUNT; i++)
		names[i] = commands[i].name;
	nearest = ld_nearest_name(name, names, COMMAND_COUNT);
	fprintf(stderr, "lavenderdrift: no command \"%s\"", name);
	if (nearest != NULL)
		fprintf(stderr, ", did you mean \"%s\"?", nearest);
	fprintf(stderr, "\n");
	return EXIT_USAGE;
}

int
main(int argc, char **argv)
{
	if (ld_common_init() != LD_OK) {
		fprintf(stderr, "lavenderdrift: %s\n", ld_last_message());
		return EXIT_FAILED;
	}
	if (argc < 2) {
		usage(stderr);
		return EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0) {
		usage(stdout);
		return 0;
	}
	if (strcmp(argv[1], "--version") == 0) {
		puts(argp_program_version);
		return 0;
	}
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		if (strcmp(commands[i].name, argv[1]) == 0)
			return commands[i].run(argc - 1, argv + 1);
	return unknown_command(argv[1]);
}
