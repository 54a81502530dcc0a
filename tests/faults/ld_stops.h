/*
 * Planned stops of real relays: several relay processes, model servers and a
 * store in the test process, and clients on plain sockets. A seed draws the
 * requests and the signals. Each request is judged by the rule for requests that
 * end without a whole answer around a SIGTERM.
 */
#ifndef LD_STOPS_H
#define LD_STOPS_H

#include <ev.h>

#include "ld_kv_store.h"
#include "ld_session.h"

#define STOPS_RELAYS_MAX 8
#define STOPS_SERVERS 6
#define STOPS_USERS_MAX 320
#define STOPS_REQUESTS_MAX 40000
/* After the last byte of a request that no server got, ms. */
#define STOPS_SLACK_MS 200
/* The rule holds until this long after the grace period, ms. */
#define STOPS_AFTER_GRACE_MS 1000
/* Requests sent later after the SIGTERM have to be ended in time, ms. */
#define STOPS_LATE_SEND_MS 3000

/* The shortest timeout_ms of a configuration that changes, ms. */
#define STOPS_TIMEOUT_MIN_MS 6000

/** enum stops_body - how a client sends the body of its request */
enum stops_body {
	STOPS_BODY_LENGTH,
	STOPS_BODY_CHUNKED,
	STOPS_BODY_SLOW, /* in pieces, some 100 ms apart */
	STOPS_BODIES
};

/** struct stops_plan - what a client sends, and what the servers do with it */
struct stops_plan {
	bool is_resumable;
	enum stops_body body;
	bool has_pipelined; /* another request follows at once */
	bool reads_slowly;
	unsigned int refusals; /* servers that answer 503 not-run first */
	unsigned int resume_refusals; /* the same to those that go on */
	uint64_t first_ms; /* until the first event, once it is worked on */
	unsigned int events;
	uint64_t every_ms;
	unsigned int pause_at; /* event before which the server pauses */
	uint64_t pause_ms;
	uint64_t deadline_ms;
};

/** struct stops_request - one request of a client, by the number in its id */
struct stops_request {
	struct stops_plan plan;
	uint32_t number;
	int relay;
	uint64_t started_ms; /* its first byte was written */
	uint64_t sent_ms; /* its last byte was written, 0: not yet */
	uint64_t acked_ms; /* the kernel at the other end had it all, 0: not */
	unsigned int arrivals;
	unsigned int resumed; /* arrivals that go on after an event */
	unsigned int at_work; /* servers that work on it now */
	uint64_t worked_ms; /* when the last server worked on it, 0: none */
	unsigned int next_event; /* of the last run */
	bool served; /* a server wrote all of it */
	bool ended;
};

/** struct stops_bounds - what the next configuration says */
struct stops_bounds {
	uint64_t idle_ms;
	uint64_t head_ms;
	uint64_t timeout_ms; /* of the routes */
	int more_routes;
};

/** struct stops_user - a client with one connection at a time */
struct stops_user {
	struct stops *world;
	int relay;
	int fd; /* -1: no connection */
	ev_io io;
	struct ld_buf out; /* bytes still to be sent */
	size_t out_sent;
	uint64_t out_next_ms; /* of a slow body: the next piece */
	struct ld_buf in;
	uint64_t next_ms; /* sends its next request, or reads on */
	bool has_small_buffer; /* always, not only at times */
	uint64_t idle_since_ms; /* last answer on the connection */
	bool must_close; /* the answer said that the connection closes */
	struct stops_request *request; /* waits for its answer */
	struct stops_request *pipelined;
};

/** struct stops_work - a request at a server */
struct stops_work {
	struct stops_work *next;
	struct stops_server *server;
	struct stops_request *request;
	struct ld_exchange *x; /* NULL once the caller has gone */
	bool begun; /* holds a slot */
	bool has_head;
	unsigned int event; /* the next one */
	uint64_t due_ms;
};

/** struct stops_server - a model server that is a group by itself */
struct stops_server {
	struct ld_handler handler; /* first member */
	struct stops *world;
	struct ld_listener *listener;
	char address[32];
	char id[16];
	unsigned int running;
	uint64_t silent_until_ms; /* sends nothing */
};

/** struct stops_relay - a relay process */
struct stops_relay {
	struct ld_proc *proc;
	char entry[32];
	char settings[160];
	uint64_t started_ms;
	uint64_t term_ms; /* of the last SIGTERM to the address, 0: none */
	uint64_t ended_ms; /* 0: runs */
	unsigned int signals; /* of the current stop that were sent */
};

/** struct stops_options - one run */
struct stops_options {
	uint64_t seed;
	int relays;
	int users; /* for each relay */
	int burners; /* processes that only use processor time */
	uint64_t grace_ms;
	bool no_retries; /* the budget of retries is empty */
	bool idles; /* users leave connections idle, as long as they may */
};

struct stops {
	struct ld_session session;
	struct ld_loop *loop;
	struct ld_kv_store *store;
	struct ld_rand rand;
	struct stops_options options;
	struct stops_relay relays[STOPS_RELAYS_MAX];
	struct stops_server servers[STOPS_SERVERS];
	struct stops_user users[STOPS_USERS_MAX];
	int user_count;
	struct stops_work *work;
	struct stops_request *requests;
	uint32_t request_count;
	int config_version;
	struct stops_bounds bounds; /* of the last configuration */
	bool calm; /* no new requests, no silent servers */
	unsigned int answered, refused, cut, excused, lost;
};

static inline uint64_t
stops_now(const struct stops *s)
{
	return ld_loop_now(s->loop);
}

/* ---- ld_stops_world.c ---- */

void stops_open(struct stops *s, const struct stops_options *options);
void stops_close(struct stops *s);
/** stops_put_config() - write the next version of the configuration */
void stops_put_config(struct stops *s);
void stops_start_relay(struct stops *s, int i);
/** stops_term() - SIGTERM; restarts are the caller's, see stops_watch() */
void stops_term(struct stops *s, int i);
/** stops_run_for() - serve and send for this time */
void stops_run_for(struct stops *s, uint64_t ms);
/** stops_judge() - count a request whose connection ended without an answer */
void stops_judge(struct stops *s, struct stops_request *q, const char *how);

/* ---- ld_stops_server.c ---- */

void stops_server_open(struct stops *s, int i);
/** stops_work_tick() - write the events that are due */
void stops_work_tick(struct stops *s);
void stops_work_drop(struct stops *s);

/* ---- ld_stops_client.c ---- */

void stops_user_open(struct stops *s, int relay);
void stops_users_tick(struct stops *s);
/** stops_has_waiting() - some user waits for an answer */
bool stops_has_waiting(const struct stops *s);
void stops_users_close(struct stops *s);
/** stops_user_send() - send a request now, on a new connection if need be */
bool stops_user_send(struct stops_user *u, const struct stops_plan *plan);
/** stops_user_pause() - read nothing for this time */
void stops_user_pause(struct stops_user *u, uint64_t ms);

#endif
