/*
 * Stand-ins for the cases of review/11 and up: the platform's store, servers,
 * clients, and the relays as processes. Loopback addresses and the real clock only.
 *
 * Each relay has a store address of its own (a view) and a port of its own at each
 * server (a path), so that one machine's way to the store or to the servers can be cut.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RELAYS_MAX 24
#define SERVERS_MAX 16

/* ---- Time and record ---- */

void world_open(const char *record_path, const char *relay_program);
/** world_close() - end all processes that were started */
void world_close(void);
/** now_ms() - since world_open() */
long now_ms(void);
void sleep_ms(long ms);
void sleep_until_ms(long at);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** could_not_run() - end with status 2 */
void could_not_run(const char *why) __attribute__((noreturn));

/* ---- The store ---- */

/** store_put() - as the operator or a server writes; returns the time of the ack */
long store_put(const char *key, const char *value);
void store_delete(const char *key);
bool store_has(const char *key);

/* ---- Relays ---- */

enum view_state {
	VIEW_OK,
	VIEW_BUSY, /* answers 503 to this machine */
	VIEW_CUT /* a partition: connections are reset, new ones refused */
};

int relay_add(const char *name, const char *zone);
void relay_start(int r, bool initial);
void relay_signal(int r, int sig);
void relay_view(int r, enum view_state s);
bool relay_is_ready(int r);
/** relay_path() - whether this machine reaches the servers */
void relay_path(int r, bool open);
/** relay_log_has() - whether its log has a line with both texts */
bool relay_log_has(int r, const char *a, const char *b);
const char *relay_name(int r);

/* ---- Servers ---- */

struct run {
	long at_ms;
	int server;
	int relay; /* on whose path it came */
	char id[24];
	char path[64];
	bool leaving; /* the server said so in the answer */
};

int server_add(const char *id, const char *service, const char *zone, long work_ms);
/** struct crash_kind - which requests crash each server that begins to run them
 * @part: of X-Prefix-Hash, or NULL
 * @path: or NULL
 * @silent: the whole machine stops and says nothing more; else its process ends, and
 *	its connections are closed
 */
struct crash_kind {
	const char *part;
	const char *path;
	bool silent;
};

/** server_crash_on() - from now on; a server is back after some seconds under its id */
void server_crash_on(const struct crash_kind *kind);
/** crashes() - times of the crashes so far; returns their number */
size_t crashes(long *out, size_t max);
/** server_leave() - answers say Server-Leaving; the entry says draining */
void server_leave(int s);
const char *server_id(int s);
const char *server_service(int s);
/** runs_of() - copies the runs of a client attempt; returns how many */
size_t runs_of(const char *attempt, struct run *out, size_t max);

/* ---- Clients ---- */

struct answer {
	long sent_ms;
	long done_ms;
	int code; /* 0: none */
	bool is_signed;
	bool leaving; /* it has Server-Leaving: 1 */
	char signature[64];
	char id[24]; /* of the attempt */
};

/** client_ask() - one attempt on a new connection; host "h", key "k1"; a POST has a
 * body of 600 bytes */
struct answer client_ask(int relay, const char *method, const char *path, long deadline_ms);
/** client_ask_with() - with more header fields, each ended by CR LF */
struct answer client_ask_with(int relay, const char *method, const char *path,
    long deadline_ms, const char *fields);

/** struct pace - attempts at an even pace, each in a thread of its own */
struct pace {
	int relay;
	const char *method;
	const char *path;
	long every_ms;
	long deadline_ms;
	/* More header fields of each attempt, or NULL. */
	void (*fields)(char *out, size_t size, size_t attempt);
	volatile bool stop;
	struct answer *answers;
	size_t count, capacity;
	void *thread;
	int open;
};

void pace_begin(struct pace *p);
/** pace_end() - begins no more, and waits for those on their way */
void pace_end(struct pace *p);

#endif
