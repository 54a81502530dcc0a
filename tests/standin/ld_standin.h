/*
 * Stand-ins for the systems around lavenderdrift, for tests and benches: one
 * program with a subcommand for each. They implement docs/INTERFACES.md and
 * accept scripted faults by POST /fault.
 */
#ifndef LD_STANDIN_H
#define LD_STANDIN_H

#include <jansson.h>

#include "ld_common.h"
#include "ld_loop.h"

/* ---- HTTP server: libmicrohttpd on the libev loop, one thread ---- */

struct si_server;

enum si_state {
	SI_READING, /* the request is still coming in */
	SI_WAITING, /* suspended until an answer is given */
	SI_ANSWERED, /* the answer is known, not yet handed to the library */
	SI_QUEUED, /* the library sends the answer */
};

/** struct si_req - one request; freed by the server after ops->closed */
struct si_req {
	struct si_server *srv;
	struct MHD_Connection *conn;
	char *method;
	char *path;
	struct ld_buf body;
	enum si_state state;
	struct ld_timer timer; /* delayed answer */
	unsigned int status;
	struct ld_buf out;
	const char *content_type;
	bool streaming;
	bool ended;
	bool cut;
	bool suspended;
	void *user; /* private data of the handler */
};

/** struct si_ops - what a stand-in does with its requests */
struct si_ops {
	/* May answer now, or keep @r and answer later. */
	void (*handle)(struct si_req *r);
	/* Called before @r is freed; the callback may be NULL. */
	void (*closed)(struct si_req *r);
};

/** si_serve() - listen on @address:@port; NULL with a log line on failure */
struct si_server *si_serve(struct ld_loop *loop, const char *address, int port,
    const struct si_ops *ops);
struct ld_loop *si_loop(struct si_server *s);
/** si_header() - request header, or NULL */
const char *si_header(struct si_req *r, const char *name);
/** si_query() - query argument, or NULL */
const char *si_query(struct si_req *r, const char *name);
uint64_t si_query_u64(struct si_req *r, const char *name, uint64_t otherwise);
bool si_is(const struct si_req *r, const char *method, const char *path);
/** si_body() - the body as a JSON object, or NULL; caller decrefs */
json_t *si_body(struct si_req *r);

void si_answer(struct si_req *r, unsigned int status, struct ld_str body);
/** si_answer_json() - answer with @j after @delay_ms; takes ownership of @j */
void si_answer_json(
    struct si_req *r, unsigned int status, json_t *j, uint64_t delay_ms);
void si_answer_error(struct si_req *r, unsigned int status, const char *what);
/** si_cut() - close the connection without an answer or in the middle of one */
void si_cut(struct si_req *r);
/** si_stream() - begin a response of unknown length */
void si_stream(struct si_req *r, const char *content_type);
void si_push(struct si_req *r, struct ld_str bytes);
void si_end(struct si_req *r);
/** si_peer_gone() - true when the client has closed its end */
bool si_peer_gone(struct si_req *r);

/* ---- Scripted faults ---- */

#define SI_MODE_MAX 24

/** struct si_fault - the fault in force; mode "ok" when none */
struct si_fault {
	char mode[SI_MODE_MAX];
	int64_t count; /* calls or tokens, 0 when not given */
	uint64_t ms;
	bool counted; /* ends after count calls */
};

/** si_fault_set() - answer a POST /fault; false when the body is malformed */
bool si_fault_set(struct si_fault *f, struct si_req *r);
bool si_fault_is(const struct si_fault *f, const char *mode);
/** si_fault_take() - true when @mode is in force; decrements its count */
bool si_fault_take(struct si_fault *f, const char *mode);

/* ---- Subcommands ---- */

/** struct si_options - command line; each subcommand uses its own part */
struct si_options {
	const char *command;
	const char *address;
	int port;
	const char *file;
	const char *fabric;
	const char *zone;
	const char *name;
	const char *preload;
	const char *listen;
	const char *to;
	int control;
	uint64_t token_ms;
	uint64_t first_token_ms;
	uint64_t load_ms;
	uint64_t slots;
	bool check_fence;
};

/* Each starts one stand-in on @loop; false with a log line on failure. */
bool si_store_start(struct ld_loop *loop, const struct si_options *o);
bool si_list_start(struct ld_loop *loop, const struct si_options *o);
bool si_engine_start(struct ld_loop *loop, const struct si_options *o);
bool si_service_start(struct ld_loop *loop, const struct si_options *o);
bool si_forward_start(struct ld_loop *loop, const struct si_options *o);

#endif
