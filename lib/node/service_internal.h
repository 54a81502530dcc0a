/* Shared by the source files that process calls of plain services. */
#ifndef SERVICE_INTERNAL_H
#define SERVICE_INTERNAL_H

#include "ld_booking.h"
#include "node_internal.h"

/** struct service_call - one request below /services/ */
struct service_call {
	struct service_call *next;
	struct service_call **link;
	struct ld_node *node;
	struct ld_exchange *x;
	struct ld_service_call *call;
	const struct ld_service_settings *service;
	char *target; /* path and query sent to the service */
	char *server; /* address, of the last attempt */
	char *content_type;
	char *key; /* Idempotency-Key */
	uint64_t ticket; /* of admission */
	uint64_t booking_id; /* call id at lib/booking, 0 if idempotent */
	char *owner;
	uint64_t deadline_ms;
	unsigned int attempts;
	bool idempotent;
	bool maybe_ran; /* an attempt may have reached a server */
	bool admission_pending;
};

/** service_free() - cancels the request in progress, if any */
void service_free(struct service_call *c);
/**
 * service_send() - send the call to a server
 *
 * The outcome goes to booking_send_done() if the call has a booking id;
 * otherwise the call is answered or retried.
 */
void service_send(struct service_call *c);
/** service_fail() - answer with a problem, then service_free() */
void service_fail(struct service_call *c, const struct ld_problem *p);
/** service_answer() - relay an answer, then service_free() */
void service_answer(struct service_call *c, long code, struct ld_str type,
    struct ld_str body, bool recorded);

/* ---- Calls that are not idempotent (booking_task.c) ---- */

/** booking_start() - start an admitted call */
void booking_start(struct service_call *c);
/** booking_send_done() - result of service_send() */
void booking_send_done(struct service_call *c, const struct ld_http_result *r,
    struct ld_str type, struct ld_str body);
/** booking_client_disconnected() - frees @c unless it is being sent */
void booking_client_disconnected(struct service_call *c);

#endif
