/* The subcommands: each takes its own argv and returns the exit status. */
#ifndef COMMANDS_H
#define COMMANDS_H

/* Exit statuses. */
#define EXIT_FAILED 1 /* it was tried and failed */
#define EXIT_USAGE 2 /* wrong arguments or settings */

int command_serve(int argc, char **argv);
int command_check_settings(int argc, char **argv);

#endif
