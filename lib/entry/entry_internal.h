/* Shared by the parts of lib/entry. */
#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include <ev.h>
#include <microhttpd.h>

#include "ld_entry.h"

#define REQUEST_ID_BYTES 17

/** struct connection - one TCP connection of a listener */
struct connection {
	struct connection *next;
	struct connection **link;
	struct MHD_Connection *mhd;
	int fd;
	uint64_t idle_since_ms; /* accepted, or last answer ended */
	uint64_t deadline_ms; /* for the next request to arrive whole */
	bool extended; /* the deadline, for bytes that were not read in time */
	bool expired; /* closed at its deadline: what is read is dropped */
	struct ld_exchange *exchange;
};

struct ld_listener {
	struct ld_loop *loop;
	struct ld_handler *handler;
	struct ld_listener_config config;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_prepare prepare;
	struct ld_timer timer; /* timeout set by libmicrohttpd */
	struct ld_timer sweep; /* closes connections past their deadline */
	unsigned int mhd_timeout_s; /* libmicrohttpd's own, of the daemon */
	struct connection *connections;
	size_t connection_count;
	size_t open_exchanges;
	size_t held_bytes; /* see ld_listener_held_bytes() */
	struct ld_rand rand;
	int listen_fd; /* -1 while the daemon owns it */
	struct lingering *lingering; /* closed, with bytes not yet sent */
	size_t lingering_count;
	bool freeing;
	bool closing; /* connections close after their answer */
	bool resumed; /* a connection was resumed since the last run */
};

/** struct ld_exchange - one request and its answer */
struct ld_exchange {
	struct ld_listener *listener;
	struct MHD_Connection *mhd;
	struct connection *connection;
	void *owner;
	char id[REQUEST_ID_BYTES];
	char *method;
	char *path;
	char *target;
	struct ld_buf body;
	size_t discarded;
	uint64_t since_ms;
	struct MHD_Response *response;
	unsigned int code;
	struct ld_fifo stream; /* bytes for libmicrohttpd to read */
	size_t held_bytes; /* of bodies, part of the listener's */
	ev_io hangup;
	bool dispatched; /* the handler has received the request */
	bool in_handler;
	bool suspended;
	bool streaming;
	bool queued; /* the response was passed to libmicrohttpd */
	bool ended; /* the handler no longer uses the exchange */
	bool aborted; /* close without a whole answer */
	bool too_large;
	bool last; /* the connection closes after the answer */
	bool no_memory; /* the body would exceed max_held_bytes */
	bool backlog_exceeded; /* since client_drained() was last called */
};

/**
 * listener_schedule_run() - have the loop run libmicrohttpd soon
 *
 * In its external mode it does not wake its own epoll descriptor when a
 * connection is resumed.
 */
void listener_schedule_run(struct ld_listener *e);

struct ld_exchange *exchange_new(struct ld_listener *e,
    struct MHD_Connection *mhd, const char *method, const char *path);
void exchange_free(struct ld_exchange *x);
/** exchange_add_body() - add bytes; those beyond the bound are dropped */
void exchange_add_body(struct ld_exchange *x, const char *p, size_t n);
/** exchange_dispatch() - call the handler, then answer or suspend */
enum MHD_Result exchange_dispatch(struct ld_exchange *x);
/** exchange_queue_response() - pass the ready response to libmicrohttpd */
enum MHD_Result exchange_queue_response(struct ld_exchange *x);
/** exchange_hold() - @more bytes of bodies are held, @less no longer */
void exchange_hold(struct ld_exchange *x, size_t more, size_t less);
/** exchange_notify_gone() - call the handler's client_disconnected() once */
void exchange_notify_gone(struct ld_exchange *x);

/* ---- entry.c ---- */

/** connection_answered() - the connection is idle from now on */
void connection_answered(struct ld_listener *e, struct connection *c);

/* ---- linger.c ---- */

/**
 * linger() - to be called before @fd is closed
 *
 * Unread bytes reset a connection that is closed, and the client loses what it
 * has not received. If there is such, the connection stays open for a while
 * through a duplicate of @fd, and what the client sends is discarded.
 */
void linger(struct ld_listener *e, int fd);
/** linger_end() - close the connections that linger */
void linger_end(struct ld_listener *e);

#endif
