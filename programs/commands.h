/* Subcommands: argv[0] is the subcommand's name, the result the exit status. */
#ifndef COMMANDS_H
#define COMMANDS_H

/* Exit statuses. */
#define EXIT_FAILED 1 /* the operation failed */
#define EXIT_USAGE 2 /* invalid arguments, settings or documents */
#define EXIT_CONFLICT 3 /* the catalogue is at another revision */
#define EXIT_UNCONFIRMED 4 /* written, but not confirmed by every node */

int command_serve(int argc, char **argv);
int command_relay(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_check_settings(int argc, char **argv);
int command_check_config(int argc, char **argv);
int command_status(int argc, char **argv);
int command_drain(int argc, char **argv);
int command_counters(int argc, char **argv);
int command_catalogue(int argc, char **argv);
int command_report(int argc, char **argv);

#endif
