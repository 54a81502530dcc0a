/*
 * Calls to backend servers. Source: lib/backend.
 */
#ifndef LD_BACKEND_H
#define LD_BACKEND_H

#include "ld_http.h"

/* ---- Server-sent events ---- */

/**
 * struct ld_sse - incremental parser; zero-initialise
 *
 * An event is a block of lines ended by an empty line. Blocks split anywhere
 * are put together again.
 */
struct ld_sse {
	struct ld_buf pending;
	size_t scanned; /* bytes of pending known to hold no block end */
	size_t taken; /* bytes of pending handed out by ld_sse_next() */
};

/** Largest event accepted, bytes. */
#define LD_SSE_EVENT_MAX_BYTES 262144

/**
 * ld_sse_feed() - take bytes
 *
 * Return: LD_OK, or LD_E_TOO_LARGE when an event passes its bound.
 */
enum ld_status ld_sse_feed(struct ld_sse *s, struct ld_str bytes);
/**
 * ld_sse_next() - next whole event, its lines and the ending empty line
 * @data: set to the text after "data:" of its first data line, or empty
 *
 * Return: false when no whole event is there. The views are valid until the
 * next call on @s.
 */
bool ld_sse_next(struct ld_sse *s, struct ld_str *event, struct ld_str *data);
void ld_sse_free(struct ld_sse *s);

/* ---- Completions ---- */

struct ld_engine_call;

/**
 * struct ld_engine_ops - receiver of a completion
 * @begin: a streamed answer with status 200 starts; may be NULL
 * @token: one event that carries a token, as it was sent
 * @done: the call ended; called once unless cancelled. @finished tells that
 *	the whole answer was received: [DONE] of a stream, or a whole body.
 *	@body is the body of an answer that is not a stream.
 */
struct ld_engine_ops {
	void (*begin)(void *owner);
	void (*token)(void *owner, struct ld_str event);
	void (*done)(void *owner, const struct ld_http_result *r, bool finished,
	    struct ld_str content_type, struct ld_str body);
};

/**
 * struct ld_engine_request - one completion sent to a replica's head
 * @address: "IPv4:port" of the head
 * @path: "/v1/completions" or "/v1/chat/completions"
 * @resume_from: number of tokens that the caller has already
 */
struct ld_engine_request {
	const char *address;
	const char *path;
	const char *request_id;
	const char *replica;
	uint64_t epoch;
	uint64_t resume_from;
	bool stream;
	struct ld_str body;
	uint64_t connect_timeout_ms;
	uint64_t progress_timeout_ms;
	uint64_t total_timeout_ms;
};

/** ld_engine_start() - NULL when the address can't be used */
struct ld_engine_call *ld_engine_start(struct ld_http *http,
    const struct ld_engine_request *rq, const struct ld_engine_ops *ops,
    void *owner);
/** ld_engine_cancel() - stop reading and free the place on the engine */
void ld_engine_cancel(struct ld_engine_call *c);
/** ld_engine_maybe_sent() - whether the engine may have the request */
bool ld_engine_maybe_sent(struct ld_engine_call *c);
void ld_engine_pause(struct ld_engine_call *c);
void ld_engine_resume(struct ld_engine_call *c);

/* ---- Plain services ---- */

struct ld_service_call;

/** Largest answer of a plain service, bytes. */
#define LD_SERVICE_ANSWER_MAX_BYTES 8388608

/**
 * struct ld_service_request - one call of a plain service
 * @target: path and query
 * @idempotent: when false the call uses a connection of its own
 */
struct ld_service_request {
	const char *address;
	const char *method;
	const char *target;
	const char *content_type;
	const char *request_id;
	const char *idempotency_key;
	struct ld_str body;
	bool idempotent;
	uint64_t connect_timeout_ms;
	uint64_t total_timeout_ms;
};

/** struct ld_service_ops - receiver of the answer; called once */
struct ld_service_ops {
	void (*done)(void *owner, const struct ld_http_result *r,
	    struct ld_str content_type, struct ld_str body);
};

struct ld_service_call *ld_service_start(struct ld_http *http,
    const struct ld_service_request *rq, const struct ld_service_ops *ops,
    void *owner);
/** ld_service_cancel() - done() is not called; what ran is not known */
void ld_service_cancel(struct ld_service_call *c);

#endif
