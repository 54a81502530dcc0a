/*
 * A server that writes scripted bytes instead of proper answers: for faults that
 * an HTTP library does not let a server commit.
 */
#ifndef LD_RAW_SERVER_H
#define LD_RAW_SERVER_H

#include <ev.h>

#include "ld_relay_server.h"

#define RAW_CONNECTIONS_MAX 64
#define RAW_PENDING_MAX 16
#define RAW_REQUEST_BYTES 65536
#define RAW_BURST_BYTES 65536
/* Between two bursts, so that many leave the test its turn, ms. */
#define RAW_BURST_MS 10

/** enum raw_end - what follows the bytes of a step */
enum raw_end {
	RAW_KEEP, /* the connection stays open */
	RAW_CLOSE,
	RAW_RESET,
	RAW_ENDLESS /* they are repeated until the peer closes */
};

/**
 * struct raw_step - bytes written as part of the answer to one request
 * @request: number of the request since raw_server_play(), from 0; requests
 *	past the script get the steps of its last one
 * @after_ms: counted from the request's arrival
 * @bytes: NULL ends the script
 */
struct raw_step {
	unsigned int request;
	unsigned int after_ms;
	const char *bytes;
	enum raw_end end;
};

struct raw_server;

/** struct raw_pending - a step that is due later */
struct raw_pending {
	struct ld_timer timer;
	struct raw_connection *connection; /* NULL: free */
	const struct raw_step *step;
};

struct raw_connection {
	ev_io io;
	struct raw_server *server; /* NULL: closed */
	char request[RAW_REQUEST_BYTES];
	size_t len;
	struct raw_pending pending[RAW_PENDING_MAX];
	struct ld_timer endless; /* writes the bytes of a RAW_ENDLESS step */
	const char *repeated; /* these bytes, NULL for none */
	size_t burst_offset; /* of the next byte within them */
	size_t endless_bytes; /* written by that step */
};

/** struct raw_server - zero-initialise before raw_server_open() */
struct raw_server {
	struct server entry; /* id and address, for put_entry() */
	struct ld_loop *loop;
	ev_io accepts;
	const struct raw_step *script;
	unsigned int requests; /* since raw_server_play() */
	unsigned int probes; /* answered whatever the script, and not counted */
	unsigned int connections; /* accepted since raw_server_play() */
	unsigned int
	    endless; /* RAW_ENDLESS steps that the peer has not ended */
	size_t endless_bytes; /* the most that one of them has written */
	char last_request[RAW_REQUEST_BYTES]; /* head and body */
	struct raw_connection connection[RAW_CONNECTIONS_MAX];
};

/** raw_server_open() - listen on 127.0.0.1; @id is that of its entry */
void raw_server_open(
    struct raw_server *s, struct ld_loop *loop, const char *id);
/**
 * raw_server_play() - answer by @script from now on; resets the counts
 *
 * Steps of the earlier script that are not yet due are dropped.
 */
void raw_server_play(struct raw_server *s, const struct raw_step *script);
/** raw_server_close() - close all connections and the listener */
void raw_server_close(struct raw_server *s);

#endif
