/* What the parts of a plain service's call share. */
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
	char *target; /* path and query at the service */
	char *server;
	char *content_type;
	char *key;
	uint64_t ticket;
	uint64_t booking; /* id at lib/booking, 0 for an idempotent call */
	char *owner;
	uint64_t deadline_ms;
	unsigned int attempts;
	bool idempotent;
	bool maybe_ran;
	bool waiting; /* for the decision of admission */
};

/** service_free() - end it; a call under way is cancelled */
void service_free(struct service_call *c);
/** service_send() - send to a server; the outcome goes to service_sent() */
void service_send(struct service_call *c);
/** service_fail() - answer with a problem, then service_free() */
void service_fail(struct service_call *c, const struct ld_problem *p);
/** service_answer() - relay an answer, then service_free() */
void service_answer(struct service_call *c, long code, struct ld_str type,
    struct ld_str body, bool recorded);

/* ---- Calls that are not idempotent (booking_task.c) ---- */

/** booking_start() - the call was admitted */
void booking_start(struct service_call *c);
/** booking_sent() - how it ended at a server */
void booking_sent(struct service_call *c, const struct ld_http_result *r,
    struct ld_str type, struct ld_str body);
/** booking_gone() - its caller hung up */
void booking_gone(struct service_call *c);

#endif
