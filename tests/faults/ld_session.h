/*
 * Sessions of real processes: start, stop and freeze them, call them, and
 * compare the transcript with a golden file.
 */
#ifndef LD_SESSION_H
#define LD_SESSION_H

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/types.h>

#include "ld_loop.h"
#include "ld_ports.h"

#define LD_PROCS_MAX 64
#define LD_ALIASES_MAX 512
#define LD_RELAY_PROGRAM "lavenderdrift"
/* Long enough that only unmet conditions fail, not slow machines. */
#define LD_WAIT_MS 20000

/** struct ld_proc - a process of the session */
struct ld_proc {
	char name[32];
	char address[32]; /* IP:PORT */
	pid_t pid; /* 0 once it has ended */
	char log[160]; /* file with its standard error */
};

struct ld_alias {
	char *text;
	char *name;
};

/** struct ld_session - zero-initialise, then ld_session_begin() */
struct ld_session {
	const char *name;
	char dir[64]; /* scratch files */
	char network[20]; /* "127.A.B" */
	int next_host;
	struct ld_proc procs[LD_PROCS_MAX];
	size_t proc_count;
	struct ld_alias aliases[LD_ALIASES_MAX];
	size_t alias_count;
	unsigned int request_ids;
	struct ld_buf transcript;
	bool failed;
};

void ld_session_begin(struct ld_session *s, const char *name);
/** ld_session_end() - kill running processes; prints the logs after a failure */
void ld_session_end(struct ld_session *s);
/**
 * ld_session_expect() - like CU_ASSERT, and records the failure
 * @what: message printed when @ok is false
 */
void ld_session_expect(struct ld_session *s, bool ok, const char *what);
uint64_t ld_now_ms(void);

/* ---- Processes ---- */

/** ld_loop_run_for() - run @loop for this time, ms */
void ld_loop_run_for(struct ld_loop *loop, uint64_t ms);
/** ld_address_new() - a free address of this session: new IP, free port */
void ld_address_new(struct ld_session *s, char out[32]);
/**
 * ld_spawn() - start build/PROGRAM with @argv
 * @name: in logs, and stands for its address in the transcript
 * @program: LD_RELAY_PROGRAM or "ld_standin"; with LD_OTHER_RELAY=PATH in the
 *	environment every second relay process runs PATH instead
 * @argv: NULL-terminated, without the program
 */
struct ld_proc *ld_spawn(struct ld_session *s, const char *name,
    const char *program, const char *address, const char *const *argv);
/** ld_respawn_argv() - restart an ended process under the same name */
void ld_respawn(struct ld_session *s, struct ld_proc *p, const char *program,
    const char *const *argv);
void ld_kill(struct ld_proc *p); /* SIGKILL, and waits for the end */
void ld_freeze(struct ld_proc *p);
void ld_thaw(struct ld_proc *p);
void ld_terminate(struct ld_proc *p); /* SIGTERM, doesn't wait */
/** ld_ended() - whether @p has ended; *status as of waitpid() */
bool ld_ended(struct ld_proc *p, int *status);
/** ld_wait_end() - true when @p ended by itself with status 0 in @ms */
bool ld_wait_end(struct ld_proc *p, uint64_t ms);
bool ld_wait_listening(const char *address, uint64_t ms);

/** ld_wait_until() - poll @cond until it holds; false after @ms */
bool ld_wait_until(bool (*cond)(void *arg), void *arg, uint64_t ms);

/* ---- HTTP ---- */

/** struct ld_reply - an answer; free with ld_reply_free() */
struct ld_reply {
	bool ok; /* a complete answer was received */
	long code;
	struct ld_buf head;
	struct ld_buf body; /* C string */
	char type[64];
	char request_id[64];
	uint64_t ms;
};

/** struct ld_call - one request; members may be NULL */
struct ld_call {
	const char *method; /* NULL: GET, or POST with a body */
	const char *address;
	const char *path;
	const char *key; /* bearer */
	const char *header; /* "Name: value" */
	const char *body;
	uint64_t timeout_ms; /* 0: LD_WAIT_MS */
};

void ld_call(struct ld_session *s, const struct ld_call *c, struct ld_reply *r);
void ld_reply_free(struct ld_reply *r);
/** ld_reply_json() - body as JSON, or NULL; caller decrefs */
json_t *ld_reply_json(const struct ld_reply *r);
/** ld_get_json() - GET and parse; NULL when that failed */
json_t *ld_get_json(
    struct ld_session *s, const char *address, const char *path);
/** ld_fault() - POST /fault (or /mode) of a stand-in */
void ld_fault(struct ld_session *s, const char *address, const char *body);

/** struct ld_stream - a streamed completion read by its own thread */
struct ld_stream {
	struct ld_session *session;
	pthread_t thread;
	atomic_ullong last_token_ms;
	struct ld_call call;
	struct ld_reply reply;
	atomic_uint tokens;
	atomic_bool finished;
	atomic_bool hang_up; /* set: the caller closes the connection */
	char body[256];
};

/** ld_stream_start() - request @tokens tokens of @prompt, streamed */
void ld_stream_start(struct ld_session *s, struct ld_stream *st,
    const char *address, const char *key, const char *prompt,
    unsigned int tokens);
bool ld_stream_wait_tokens(struct ld_stream *st, unsigned int n, uint64_t ms);
/** ld_stream_join() - wait for the end of the stream */
void ld_stream_join(struct ld_stream *st);
void ld_stream_free(struct ld_stream *st);
/**
 * ld_stream_check() - classify what a caller received
 * @tokens: number requested
 *
 * Return: "whole", "error" (a part without a lost or doubled token, ended by
 * a problem document), "untrue" (the same, but the problem says that it was
 * not run), "cut" (such a part, ended by the connection), or "wrong" (lost,
 * doubled or foreign tokens).
 */
const char *ld_stream_check(
    struct ld_stream *st, const char *prompt, unsigned int tokens);
/** ld_stream_end() - the last bytes received, for messages */
const char *ld_stream_end(const struct ld_stream *st);
/** ld_expected_text() - the first @tokens tokens of @prompt */
void ld_expected_text(
    const char *prompt, unsigned int tokens, struct ld_buf *out);
/** ld_stream_text() - text of all events of a stream's body */
void ld_stream_text(struct ld_str body, struct ld_buf *out, bool *done);

/* ---- Transcript ---- */

void ld_note(struct ld_session *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** ld_note_reply() - code, type and body of an answer */
void ld_note_reply(struct ld_session *s, const struct ld_reply *r);
/** ld_alias() - show @text as @name in the transcript */
void ld_alias(struct ld_session *s, const char *text, const char *name);
/**
 * ld_golden() - compare the transcript with tests/golden/NAME.golden
 *
 * With LD_GOLDEN_UPDATE=1 in the environment the file is written instead.
 */
void ld_golden(struct ld_session *s);

#endif
