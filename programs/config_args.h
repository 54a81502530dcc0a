/* Arguments of the subcommands that read a settings file. */
#ifndef CONFIG_ARGS_H
#define CONFIG_ARGS_H

#include <argp.h>
#include <stdbool.h>

/**
 * struct config_args - parsed arguments of such a subcommand
 * @file: path of the settings file; never NULL after config_args_parse()
 * @flag: whether the subcommand's own option was given
 */
struct config_args {
	const char *file;
	bool flag;
};

/**
 * config_args_parse() - parse "-c FILE" and one option of the subcommand
 * @option: option without an argument; sets @flag of the result
 *
 * Exits with EXIT_USAGE on invalid arguments.
 */
struct config_args config_args_parse(
    int argc, char **argv, const char *doc, const struct argp_option *option);

#endif
