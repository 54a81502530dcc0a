/*
 * Small stand-ins for the cases of the review: the platform's store, servers,
 * clients, and relay processes, on loopback addresses and the real clock.
 */
#ifndef STAND_H
#define STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* ---- Time and record.txt ---- */

uint64_t now_ms(void); /* since the start of the case */
void sleep_ms(int ms);
void record_open(const char *path);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** trouble() - false with TROUBLE=0 */
bool trouble(void);
/** unfit() - the case couldn't run: ends all and exits with 2 */
void unfit(const char *why) __attribute__((noreturn));
/** finish() - ends all processes and exits */
void finish(int code) __attribute__((noreturn));

/* ---- HTTP server ---- */

struct req {
	char method[16];
	char target[4096];
	char *head; /* all header lines, NUL-terminated */
	char *body;
	size_t body_len;
	int fd;
};

/** field() - value of a header field, copied to @out; false if absent */
bool field(const struct req *q, const char *name, char *out, size_t size);
int field_count(const struct req *q);
/** a handler answers on q->fd; false: close the connection */
typedef bool (*handler_fn)(struct req *q, void *arg);
int free_port(void);
/** listen_on() - returns the socket, for listen_end() */
int listen_on(int port, handler_fn fn, void *arg);
/** listen_end() - connections to the port are refused from now on */
void listen_end(int fd);
/** connections_reset() - those that were accepted at the port */
void connections_reset(int port);
/** send_all() - false if the other end has closed */
bool send_all(int fd, const void *p, size_t n);
bool sendf(int fd, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* ---- The store ---- */

/* Relays may read the store at ports of their own, so that each can be cut off,
 * and can have addresses of its own for the servers. */
#define STORE_VIEWS 4

void store_start(void);
/** the address of a server as a relay reads it; NULL: all read the same */
extern int (*store_view_port)(int port, int view);
void store_cut_off(int view, bool cut);
bool store_get(const char *key, char *out, size_t size);
void store_put(const char *key, const char *value);
void store_delete(const char *key);
/** store_copy() - keep a copy as of now */
void store_copy(void);
/** store_away() - connections are reset, or served again */
void store_away(bool away);
/** store_restore() - the copy becomes the state, in the next era */
void store_restore(void);

/* ---- Relays ---- */

struct relay {
	char name[32];
	char zone[32];
	int entry, ready, peers, metrics;
	int view; /* of the store */
	char file[256];
	pid_t pid;
};

void relay_prepare(struct relay *r, const char *name, const char *zone);
void relay_start(struct relay *r, bool initial);
void relay_signal(struct relay *r, int sig);
/** relay_ended() - whether the process has ended by itself or by a signal */
bool relay_ended(struct relay *r, int *status);
long relay_rss_kb(const struct relay *r);
/** ready_code() - status of its readiness, 0: no answer in @timeout_ms */
int ready_code(const struct relay *r, int timeout_ms);
void wait_ready(struct relay *r, int within_ms);

/* ---- Clients ---- */

struct resp {
	int code; /* 0: none */
	bool complete;
	char head[16384];
	char *body;
	size_t body_len;
	int ms; /* from the last byte sent */
};

/** call() - send @raw on a new connection and read the answer */
void call(int port, const char *raw, size_t n, int timeout_ms, struct resp *out);
bool resp_field(const struct resp *r, const char *name, char *out, size_t size);
void resp_free(struct resp *r);

#endif
