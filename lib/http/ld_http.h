/*
 * HTTP client on libcurl multi and libev; event streams. Source: lib/http.
 */
#ifndef LD_HTTP_H
#define LD_HTTP_H

#include "ld_loop.h"

struct ld_http;
struct ld_http_call;

/**
 * struct ld_http_result - how a call ended
 * @status: LD_OK once a complete response was received, whatever its code;
 *	LD_E_UNAVAILABLE: no connection; LD_E_TIMEOUT; LD_E_CLOSED: the
 *	connection broke; LD_E_TOO_LARGE; LD_E_PROTOCOL
 * @code: HTTP status, 0 when no head was received
 * @sent: false only when it is certain that no byte of the request was sent
 * @refused: the connection was refused: nothing listens at the address
 * @reused: the request was sent on a connection that an earlier call had set up
 * @ms: duration
 */
struct ld_http_result {
	enum ld_status status;
	long code;
	bool sent;
	bool refused;
	bool reused;
	uint64_t ms;
};

struct ld_http_sink;

/**
 * struct ld_http_sink_ops - callbacks that receive a response
 * @field: one header field of the final head, before @head; may be NULL
 * @head: the final head was received; @content_type is empty when absent; may
 *	be NULL. May cancel the call.
 * @body: bytes of the body, called any number of times. May cancel or pause
 *	the call.
 * @done: called exactly once unless the call was cancelled; the call is freed
 *	afterwards
 */
struct ld_http_sink_ops {
	void (*field)(
	    struct ld_http_sink *s, struct ld_str name, struct ld_str value);
	void (*head)(
	    struct ld_http_sink *s, long code, struct ld_str content_type);
	void (*body)(struct ld_http_sink *s, struct ld_str bytes);
	void (*done)(
	    struct ld_http_sink *s, const struct ld_http_result *result);
};

/** struct ld_http_sink - first member of every receiver of a response */
struct ld_http_sink {
	const struct ld_http_sink_ops *ops;
};

/**
 * struct ld_http_request - one call; strings are copied
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @target: path and query, sent unchanged; NULL: those of @url
 * @headers: NULL-terminated array of "Name: value", or NULL
 * @bare: omit libcurl's default headers except Host and Content-Length
 * @body: sent with Content-Length when @body.p is not NULL
 * @connect_timeout_ms, @total_timeout_ms, @progress_timeout_ms: 0 for none;
 *	the progress timeout ends a call that receives no byte for this long,
 *	paused time not counted
 * @fresh: use a new connection and close it afterwards. Set it for calls that
 *	are not idempotent: a reused connection may end as the call is sent
 *	on it, and it is then unknown whether the call was received.
 * @max_body: maximum length of the response body in bytes, 0 for no limit
 */
struct ld_http_request {
	const char *method;
	const char *url;
	const char *target;
	const char *const *headers;
	bool bare;
	struct ld_str body;
	uint64_t connect_timeout_ms;
	uint64_t total_timeout_ms;
	uint64_t progress_timeout_ms;
	bool fresh;
	size_t max_body;
};

/** ld_http_new() - create a client; calls curl_global_init() */
struct ld_http *ld_http_new(struct ld_loop *loop);
/** ld_http_resends() - resends by libcurl itself that were refused so far */
uint64_t ld_http_resends(const struct ld_http *h);
/** ld_http_free() - cancel every call and free the client */
void ld_http_free(struct ld_http *h);

/**
 * ld_http_start() - start a call
 * @sink: must outlive the call; no callback runs before this returns
 *
 * Return: the call, valid until done() returns or it is cancelled; NULL when
 * libcurl refuses the URL.
 */
struct ld_http_call *ld_http_start(struct ld_http *h,
    const struct ld_http_request *request, struct ld_http_sink *sink);
/** ld_http_cancel() - end a call at once; its connection is closed */
void ld_http_cancel(struct ld_http_call *c);
/** ld_http_pause() - stop reading the body until ld_http_resume() */
void ld_http_pause(struct ld_http_call *c);
void ld_http_resume(struct ld_http_call *c);
/** ld_http_maybe_sent() - whether a byte of the request may have been sent */
bool ld_http_maybe_sent(struct ld_http_call *c);
/** ld_http_is_new_connection() - whether the call set up its connection */
bool ld_http_is_new_connection(struct ld_http_call *c);

/* ---- Server-sent events ---- */

/**
 * struct ld_sse - incremental parser; zero-initialise, then set the bound
 * @max_event_bytes: of one event, with the empty line that ends it
 *
 * An event is a block of lines that ends with an empty line. Input may be split
 * at any byte, which changes neither the events nor the order of the work: it
 * is linear in the bytes.
 */
struct ld_sse {
	struct ld_fifo pending;
	size_t scanned; /* leading bytes of pending without an event end */
	size_t max_event_bytes;
};

/** ld_sse_feed() - append input; take its events before the next call */
void ld_sse_feed(struct ld_sse *s, struct ld_str bytes);
/**
 * ld_sse_next() - take the next complete event
 * @event: set to its lines, with the empty line; valid until ld_sse_feed()
 *
 * Return: LD_OK; LD_E_AGAIN when no complete event is buffered; LD_E_TOO_LARGE
 * when the event, complete or not, exceeds the bound.
 */
enum ld_status ld_sse_next(struct ld_sse *s, struct ld_str *event);
/** ld_sse_has_event() - whether a complete event is buffered */
bool ld_sse_has_event(struct ld_sse *s);
/** ld_sse_pending_bytes() - bytes of an event that is not complete */
size_t ld_sse_pending_bytes(const struct ld_sse *s);
/** ld_sse_reset() - drop what is buffered */
void ld_sse_reset(struct ld_sse *s);
void ld_sse_free(struct ld_sse *s);

/**
 * ld_sse_data() - value of the first data field
 *
 * Return: false for comments and other fields alone.
 */
bool ld_sse_data(struct ld_str event, struct ld_str *data);
/** ld_sse_id() - the id, UINT64_MAX if it has none or one that is no number */
uint64_t ld_sse_id(struct ld_str event);

#endif
