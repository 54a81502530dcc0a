/* Command line of the stand-ins. */
#include <argp.h>
#include <assert.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ld_standin.h"

enum option_key {
	KEY_ADDRESS = 256,
	KEY_PORT,
	KEY_FILE,
	KEY_FABRIC,
	KEY_ZONE,
	KEY_NAME,
	KEY_PRELOAD,
	KEY_LISTEN,
	KEY_TO,
	KEY_CONTROL,
	KEY_TOKEN_MS,
	KEY_FIRST_TOKEN_MS,
	KEY_LOAD_MS,
	KEY_SLOTS,
	KEY_CHECK_FENCE,
};

static const struct argp_option options[] = {
    {"address", KEY_ADDRESS, "IP", 0, "listening address", 0},
    {"port", KEY_PORT, "PORT", 0, "listening port", 0},
    {"file", KEY_FILE, "FILE", 0, "list: first document", 0},
    {"fabric", KEY_FABRIC, "NAME", 0, "engine: fabric domain", 0},
    {"zone", KEY_ZONE, "NAME", 0, "engine: failure domain", 0},
    {"name", KEY_NAME, "NAME", 0, "service: its name", 0},
    {"preload", KEY_PRELOAD, "REPLICA:EPOCH:MEMBERS", 0,
	"engine: replica held at start", 0},
    {"listen", KEY_LISTEN, "IP:PORT", 0, "forward: listening address", 0},
    {"to", KEY_TO, "IP:PORT", 0, "forward: where to", 0},
    {"control", KEY_CONTROL, "PORT", 0, "forward: control port", 0},
    {"token-ms", KEY_TOKEN_MS, "MS", 0, "engine: time per token", 0},
    {"first-token-ms", KEY_FIRST_TOKEN_MS, "MS", 0,
	"engine: time to the first token", 0},
    {"load-ms", KEY_LOAD_MS, "MS", 0, "engine: time to load a model", 0},
    {"slots", KEY_SLOTS, "N", 0, "engine: requests run at once", 0},
    {"check-fence", KEY_CHECK_FENCE, NULL, 0,
	"engine: refuse old fencing numbers", 0},
    {0},
};

static bool
parse_text(int key, char *arg, struct si_options *o)
{
	switch (key) {
	case KEY_ADDRESS:
		o->address = arg;
		return true;
	case KEY_FILE:
		o->file = arg;
		return true;
	case KEY_FABRIC:
		o->fabric = arg;
		return true;
	case KEY_ZONE:
		o->zone = arg;
		return true;
	case KEY_NAME:
		o->name = arg;
		return true;
	case KEY_PRELOAD:
		o->preload = arg;
		return true;
	case KEY_LISTEN:
		o->listen = arg;
		return true;
	case KEY_TO:
		o->to = arg;
		return true;
	default:
		return false;
	}
}

static bool
parse_number(int key, char *arg, struct si_options *o)
{
	uint64_t n = arg != NULL ? strtoull(arg, NULL, 10) : 0;

	switch (key) {
	case KEY_PORT:
		o->port = (int)n;
		return true;
	case KEY_CONTROL:
		o->control = (int)n;
		return true;
	case KEY_TOKEN_MS:
		o->token_ms = n;
		return true;
	case KEY_FIRST_TOKEN_MS:
		o->first_token_ms = n;
		return true;
	case KEY_LOAD_MS:
		o->load_ms = n;
		return true;
	case KEY_SLOTS:
		o->slots = n;
		return true;
	case KEY_CHECK_FENCE:
		o->check_fence = true;
		return true;
	default:
		return false;
	}
}

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct si_options *o = state->input;

	if (parse_text(key, arg, o) || parse_number(key, arg, o))
		return 0;
	if (key == ARGP_KEY_ARG && state->arg_num == 0) {
		o->command = arg;
		return 0;
	}
	if (key == ARGP_KEY_NO_ARGS)
		argp_usage(state);
	return ARGP_ERR_UNKNOWN;
}

struct command {
	const char *name;
	bool (*start)(struct ld_loop *loop, const struct si_options *o);
};

static const struct command commands[] = {
    {"store", si_store_start},
    {"list", si_list_start},
    {"engine", si_engine_start},
    {"service", si_service_start},
    {"forward", si_forward_start},
};

/* A stand-in has no state to save, so it exits immediately. */
static void
on_signal(int sig)
{
	_exit(0);
}

static int
run(const struct si_options *o)
{
	assert(o->command != NULL);
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		struct ld_loop *loop;

		if (strcmp(commands[i].name, o->command) != 0)
			continue;
		loop = ld_loop_new();
		if (!commands[i].start(loop, o))
			return 1;
		if (write(STDOUT_FILENO, "ready\n", 6) != 6)
			return 1;
		ld_loop_run(loop);
		return 0;
	}
	ld_log(LD_LOG_ERR, "standin", "no subcommand %s", o->command);
	return 2;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {
	    .options = options,
	    .parser = parse_opt,
	    .args_doc = "store|list|engine|service|forward",
	    .doc = "Stand-ins for the systems around lavenderdrift.",
	};
	static struct si_options o = {
	    .address = "127.0.0.1",
	    .fabric = "f1",
	    .zone = "z1",
	    .name = "service",
	    .token_ms = 10,
	    .slots = 16,
	};

	ld_log_init("ld_standin", LD_LOG_INFO);
	if (ld_common_init() != LD_OK)
		return 1;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	return run(&o);
}
