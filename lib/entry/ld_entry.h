/*
 * HTTP server for callers and operators: libmicrohttpd on libev.
 * Source: lib/entry.
 */
#ifndef LD_ENTRY_H
#define LD_ENTRY_H

#include <netinet/in.h>

#include "ld_loop.h"

struct ld_listener;
struct ld_exchange;
struct ld_handler;
struct ld_problem;

/**
 * struct ld_handler_ops - callbacks of a request handler
 * @request: a whole request arrived. The handler answers now or later, with
 *	exactly one of ld_exchange_answer(), ld_exchange_problem(), or
 *	ld_exchange_begin() .. ld_exchange_end() / ld_exchange_abort().
 * @client_disconnected: the client disconnected before the answer ended; the
 *	handler must not use the exchange afterwards. Not called once the answer
 *	has ended.
 * @client_drained: the backlog of a stream has exceeded LD_ENTRY_BACKLOG_BYTES
 *	and is down to half of it; may be NULL
 * @refused: the listener refuses a request that @request does not receive; the
 *	handler answers it before it returns. NULL: ld_exchange_problem()
 */
struct ld_handler_ops {
	void (*request)(struct ld_handler *h, struct ld_exchange *x);
	void (*client_disconnected)(
	    struct ld_handler *h, struct ld_exchange *x);
	void (*client_drained)(struct ld_handler *h, struct ld_exchange *x);
	void (*refused)(struct ld_handler *h, struct ld_exchange *x,
	    const struct ld_problem *why);
};

/** struct ld_handler - embedded as the first member of a handler's state */
struct ld_handler {
	const struct ld_handler_ops *ops;
};

/** The handler should pause the source of a stream with a larger backlog. */
#define LD_ENTRY_BACKLOG_BYTES 65536

/**
 * struct ld_listener_config - bounds of one listener
 * @connection_bytes: memory of one connection, which holds the head of its
 *	request, with 64 bytes more for each field, and that of the answer; 0:
 *	32,768
 * @max_answer_head_bytes: of the fields of answers: names, values and four for
 *	each; 0: 2,048
 * @max_head_bytes: of the fields of a request; 0: what @connection_bytes has room
 *	for
 */
struct ld_listener_config {
	const char *host; /* IPv4 address in dotted-decimal form */
	uint16_t port;
	size_t connection_bytes;
	size_t max_answer_head_bytes;
	size_t max_head_bytes;
	size_t max_body_bytes;
	size_t max_held_bytes; /* see ld_listener_held_bytes(); 0: any */
	unsigned int max_connections;
	uint64_t idle_timeout_ms;
	uint64_t head_timeout_ms;
	bool no_request_id; /* add no X-Request-Id to answers */
};

/**
 * ld_listener_new() - open a listener
 *
 * Return: LD_OK, LD_E_INVALID when @config has no IPv4 address, or LD_E_IO
 * when the address can't be bound or libmicrohttpd doesn't start.
 */
enum ld_status ld_listener_new(struct ld_loop *loop,
    const struct ld_listener_config *config, struct ld_handler *handler,
    struct ld_listener **out);
/**
 * ld_listener_stop_listening() - accept no new connections
 *
 * Open connections are closed after their next answer.
 */
void ld_listener_stop_listening(struct ld_listener *e);
/** ld_listener_set_closing() - close each connection after its next answer */
void ld_listener_set_closing(struct ld_listener *e);
/** ld_listener_set_bounds() - change the bounds of an open listener */
void ld_listener_set_bounds(struct ld_listener *e, size_t max_head_bytes,
    size_t max_body_bytes, uint64_t idle_timeout_ms, uint64_t head_timeout_ms);
/** ld_listener_open_exchanges() - requests whose answer isn't fully sent */
size_t ld_listener_open_exchanges(const struct ld_listener *e);
size_t ld_listener_connections(const struct ld_listener *e);
/**
 * ld_listener_held_bytes() - bodies of requests, and of answers that their clients
 * have not taken yet
 *
 * A request whose body would exceed the listener's bound is refused.
 */
size_t ld_listener_held_bytes(const struct ld_listener *e);
/**
 * ld_listener_end_largest() - close the connection whose client leaves the most
 * bytes of a whole answer untaken
 *
 * Return: these bytes; 0 when there is none.
 */
size_t ld_listener_end_largest(struct ld_listener *e);
/** ld_listener_lingering() - closed connections with bytes not yet sent */
size_t ld_listener_lingering(const struct ld_listener *e);
/** ld_listener_free() - closes every connection */
void ld_listener_free(struct ld_listener *e);

/* ---- The request ---- */

/** ld_exchange_id() - request id, returned to the caller as X-Request-Id */
const char *ld_exchange_id(const struct ld_exchange *x);
const char *ld_exchange_method(const struct ld_exchange *x);
const char *ld_exchange_path(const struct ld_exchange *x);
/** ld_exchange_target() - path and query as received */
const char *ld_exchange_target(const struct ld_exchange *x);
/** ld_exchange_header() - value of a header, NULL when absent */
const char *ld_exchange_header(struct ld_exchange *x, const char *name);
/** ld_exchange_fields() - call @fn for each header field in order */
void ld_exchange_fields(struct ld_exchange *x,
    void (*fn)(void *user, const char *name, const char *value), void *user);
/** ld_exchange_start_ms() - time at which the request's head began to arrive */
uint64_t ld_exchange_start_ms(const struct ld_exchange *x);
struct ld_str ld_exchange_body(const struct ld_exchange *x);
/** ld_exchange_sender() - IPv4 address of the connection's other end */
struct in_addr ld_exchange_sender(const struct ld_exchange *x);
/** ld_exchange_bearer() - key of "Authorization: Bearer KEY"; may be empty */
struct ld_str ld_exchange_bearer(struct ld_exchange *x);
/** ld_exchange_set_user_data() - attach a pointer of the handler */
void ld_exchange_set_user_data(struct ld_exchange *x, void *owner);
void *ld_exchange_user_data(const struct ld_exchange *x);

/* ---- The answer ---- */

/**
 * ld_exchange_answer() - send a whole answer; ends the exchange
 * @headers: pairs of name and value ended by NULL, or NULL
 */
void ld_exchange_answer(struct ld_exchange *x, unsigned int code,
    const char *content_type, const char *const *headers, struct ld_str body);
/**
 * ld_exchange_answer_with() - the same without a copy of @body, which is emptied
 */
void ld_exchange_answer_with(struct ld_exchange *x, unsigned int code,
    const char *const *headers, struct ld_buf *body);
/** ld_exchange_begin() - start a streamed answer */
void ld_exchange_begin(
    struct ld_exchange *x, unsigned int code, const char *content_type);
/**
 * ld_exchange_begin_with() - start a streamed answer with the given headers
 * @headers: pairs of name and value ended by NULL
 */
void ld_exchange_begin_with(
    struct ld_exchange *x, unsigned int code, const char *const *headers);
/** ld_exchange_write() - append bytes to a stream; sent without delay */
void ld_exchange_write(struct ld_exchange *x, struct ld_str bytes);
/** ld_exchange_backlog() - bytes of a stream not yet read by libmicrohttpd */
size_t ld_exchange_backlog(const struct ld_exchange *x);
/** ld_exchange_end() - complete the stream; ends the exchange */
void ld_exchange_end(struct ld_exchange *x);
/** ld_exchange_abort() - close the connection; the client sees an error */
void ld_exchange_abort(struct ld_exchange *x);

/* ---- Problem documents (RFC 9457) ---- */

/** enum ld_ran - whether the request was run by a backend server */
enum ld_ran {
	LD_RAN_NO,
	LD_RAN_YES,
	LD_RAN_UNKNOWN
};

const char *ld_ran_name(enum ld_ran ran);

/**
 * struct ld_problem - an error answer
 * @code: HTTP status
 * @type: last part of the type URN, such as "rate-limited"
 * @ran: whether this request was run
 * @no_earlier_request_ran: no earlier request with the same Idempotency-Key was
 *	run, since the claims were read or the key can't have been claimed
 * @retry_after_ms: 0 when a retry is of no use; sent in whole seconds, rounded
 *	up, as Retry-After, and in milliseconds in the document
 */
struct ld_problem {
	unsigned int code;
	const char *type;
	const char *title;
	const char *detail;
	enum ld_ran ran;
	bool no_earlier_request_ran;
	uint64_t retry_after_ms;
};

/**
 * ld_problem_ran() - the "ran" value that a problem document may report
 * @keyed: the request carries an Idempotency-Key
 *
 * A caller that receives "no" may book again under another key, so a keyed
 * request gets "no" only if no earlier request with its key was run either.
 * Every problem document must use this value.
 */
enum ld_ran ld_problem_ran(const struct ld_problem *p, bool keyed);

/** ld_exchange_problem() - answer with a problem; ends the exchange */
void ld_exchange_problem(struct ld_exchange *x, const struct ld_problem *p);
/** ld_problem_json() - append the document to @out */
void ld_problem_json(const struct ld_problem *p, enum ld_ran ran,
    const char *request_id, struct ld_buf *out);

#endif
