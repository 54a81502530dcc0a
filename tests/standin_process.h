/*
 * Stand-in processes for tests of real clients, and the loop that runs them.
 */
#ifndef STANDIN_PROCESS_H
#define STANDIN_PROCESS_H

#include <arpa/inet.h>
#include <libgen.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_http.h"
#include "ld_ports.h"
#include "ld_test.h"

#define ADDRESS_BYTES 32
#define STEP_LIMIT_MS 10000

static char standin_path[4096];
static struct ld_loop *loop;
static struct ld_http *http;

/* ---- One stand-in process ---- */

struct standin {
	pid_t pid;
	char address[ADDRESS_BYTES];
	char port[8];
};

static inline void
pick_port(struct standin *s)
{
	snprintf(s->port, sizeof(s->port), "%u", ld_free_port());
	snprintf(s->address, sizeof(s->address), "127.0.0.1:%s", s->port);
}

static inline void
standin_start(struct standin *s, const char *command)
{
	char line[8];
	int out[2];

	CU_ASSERT_FATAL(pipe(out) == 0);
	s->pid = fork();
	if (s->pid == 0) {
		dup2(out[1], STDOUT_FILENO);
		close(out[0]);
		close(out[1]);
		execl(standin_path, standin_path, command, "--port", s->port,
		    (char *)NULL);
		_exit(127);
	}
	close(out[1]);
	/* The first output line reports that the process is listening. */
	CU_ASSERT_FATAL(read(out[0], line, sizeof(line)) > 0);
	close(out[0]);
}

static inline void
standin_stop(struct standin *s)
{
	kill(s->pid, SIGKILL);
	waitpid(s->pid, NULL, 0);
}

/* ---- Driving the loop ---- */

static bool timed_out;

static inline void
on_limit(struct ld_timer *t, uint64_t now_ms)
{
	timed_out = true;
	ld_loop_stop(loop);
}

/* Runs the loop until it is stopped; false if @limit_ms passes first. */
static inline bool
run(uint64_t limit_ms)
{
	struct ld_timer limit = {.fn = on_limit};

	timed_out = false;
	ld_timer_after(ld_loop_timers(loop), &limit, limit_ms);
	ld_loop_run(loop);
	ld_timer_stop(ld_loop_timers(loop), &limit);
	return !timed_out;
}

/** struct post_call - a call in progress; first member is its sink */
struct post_call {
	struct ld_http_sink sink;
	bool done;
};

static inline void
on_post_body(struct ld_http_sink *sink, struct ld_str bytes)
{
}

static inline void
on_post_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	CU_ASSERT_EQUAL(result->code, 200);
	((struct post_call *)sink)->done = true;
	ld_loop_stop(loop);
}

static inline void
post(const struct standin *s, const char *path, const char *body)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_post_body, .done = on_post_done};
	struct post_call call = {.sink = {&ops}};
	char url[128];
	struct ld_http_request rq = {
	    .method = "POST",
	    .url = url,
	    .body = ld_str_c(body),
	    .fresh = true,
	};

	snprintf(url, sizeof(url), "http://%s%s", s->address, path);
	ld_http_start(http, &rq, &call.sink);
	/* Other callbacks of the test may stop the loop as well. */
	while (!call.done)
		CU_ASSERT_TRUE_FATAL(run(STEP_LIMIT_MS));
}

/* ---- All tests of a program ---- */

/** standin_open() - @self: path of the test program */
static inline bool
standin_open(const char *self)
{
	char *copy = ld_strdup(self);

	snprintf(standin_path, sizeof(standin_path), "%.4000s/../ld_standin",
	    dirname(copy));
	free(copy);
	if (ld_common_init() != LD_OK)
		return false;
	signal(SIGPIPE, SIG_IGN);
	loop = ld_loop_new();
	http = ld_http_new(loop);
	return true;
}

static inline void
standin_close(void)
{
	ld_http_free(http);
	ld_loop_free(loop);
}

#endif
