/*
 * Calls to backend servers. Source: lib/backend.
 */
#ifndef LD_BACKEND_H
#define LD_BACKEND_H

#include "ld_http.h"

/* ---- Completions ---- */

struct ld_engine_call;

/** Largest event of a streamed completion, bytes. */
#define LD_ENGINE_EVENT_MAX_BYTES 262144

/**
 * struct ld_engine_ops - callbacks of a completion call
 * @begin: a streamed response with status 200 starts; may be NULL
 * @token: one event with data, as it was received
 * @done: the call ended; called once unless cancelled. @finished is set when
 *	the response was complete: [DONE] of a stream, or the entire body.
 *	@body is the body of a response that is not a stream.
 */
struct ld_engine_ops {
	void (*begin)(void *owner);
	void (*token)(void *owner, struct ld_str event);
	void (*done)(void *owner, const struct ld_http_result *r, bool finished,
	    struct ld_str content_type, struct ld_str body);
};

/**
 * struct ld_engine_request - a completion request to the head of a replica
 * @address: "IPv4:port" of the head
 * @path: "/v1/completions" or "/v1/chat/completions"
 * @resume_from: number of tokens that the caller has already received
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

/** ld_engine_start() - start a call; NULL when the address is invalid */
struct ld_engine_call *ld_engine_start(struct ld_http *http,
    const struct ld_engine_request *rq, const struct ld_engine_ops *ops,
    void *owner);
/** ld_engine_cancel() - stop reading and free the slot on the engine */
void ld_engine_cancel(struct ld_engine_call *c);
/** ld_engine_maybe_sent() - whether the engine may have received it */
bool ld_engine_maybe_sent(struct ld_engine_call *c);
void ld_engine_pause(struct ld_engine_call *c);
void ld_engine_resume(struct ld_engine_call *c);

/* ---- Plain services ---- */

struct ld_service_call;

/** Largest response of a plain service, bytes. */
#define LD_SERVICE_ANSWER_MAX_BYTES 8388608

/**
 * struct ld_service_request - a call to a plain service
 * @target: path and query
 * @idempotent: when false the call uses a new connection
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

/** struct ld_service_ops - @done: the call ended; called once */
struct ld_service_ops {
	void (*done)(void *owner, const struct ld_http_result *r,
	    struct ld_str content_type, struct ld_str body);
};

struct ld_service_call *ld_service_start(struct ld_http *http,
    const struct ld_service_request *rq, const struct ld_service_ops *ops,
    void *owner);
/** ld_service_cancel() - done() is not called; the call may have executed */
void ld_service_cancel(struct ld_service_call *c);

#endif
