/*
 * Stand-ins for a small deployment, on loopback addresses: the platform's store,
 * servers, clients; and relays as separate processes with the command of the
 * deploy file. One thread for each connection.
 */
#ifndef WORLD_H
#define WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

uint64_t now_ms(void);
void sleep_ms(uint64_t ms);
void sleep_until(uint64_t at_ms);

/** record() - a line of record.txt, with the time since the start */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** world_open() - record.txt, the folder for logs; @limit_s: then exit with 2 */
void world_open(unsigned int limit_s);
/** world_cannot_run() - ends all processes, exit with 2 */
void world_cannot_run(const char *why) __attribute__((noreturn));
/** world_end() - ends all processes, exit with 1 if @broken */
void world_end(bool broken) __attribute__((noreturn));
/** trouble() - TROUBLE isn't 0 */
bool trouble(void);

/* ---- HTTP ---- */

/** struct message - a request or an answer; @head ends with an empty line */
struct message {
	char head[16384];
	char body[65536];
	size_t body_len;
	bool complete; /* the whole body by its length or its chunks */
};

/** field() - value of a header field, "" if it is absent */
const char *field(const struct message *m, const char *name, char out[512]);
/** target_of() - of a request */
void target_of(const struct message *m, char method[16], char target[1024]);
int code_of(const struct message *m);

/** struct connection - @in: read and not yet taken */
struct connection {
	int fd;
	char in[65536];
	size_t in_len;
	void *user; /* of the listener */
	int owed; /* free for the handler */
	char owed_id[64];
};

bool read_message(struct connection *c, struct message *m);
bool write_all(int fd, const char *p, size_t n);
/** answer() - with a length; @fields: lines that end with CR LF, or "" */
bool answer(struct connection *c, int code, const char *fields,
    const char *body);

/** listen_on_loopback() - threads call @serve for each request until it returns
 * false; returns the port */
uint16_t listen_on_loopback(
    bool (*serve)(struct connection *c, struct message *m), void *user);
/** ask() - a request on a connection of its own; @code 0: no answer */
int ask(uint16_t port, const char *request, unsigned int timeout_ms,
    struct message *out);

/* ---- The store ---- */

struct store;

/**
 * struct store_faults - read at each call
 * @stale_ms: reads with serializable=1 are of so long ago
 * @deaf: watches hear of no change; they end after their wait, without events
 * @away: connections are closed without an answer
 */
struct store_faults {
	volatile uint64_t stale_ms;
	volatile bool deaf;
	volatile bool away;
};

struct store *store_new(void);
uint16_t store_port(const struct store *s);
struct store_faults *store_faults(struct store *s);
/** store_put() - as the operator or a server writes; returns the revision */
long store_put(struct store *s, const char *key, const char *value);
void store_delete(struct store *s, const char *key);
/** store_forget() - the history is dropped, and watches that wait are cut */
void store_forget(struct store *s);
/** store_return_older() - as of @age_ms ago, in a later era */
void store_return_older(struct store *s, uint64_t age_ms);
/** store_value() - copied; false if the key doesn't exist */
bool store_value(struct store *s, const char *key, char *out, size_t size);

/* ---- Relays ---- */

struct relay {
	char name[32];
	uint16_t entry, ready, peers, metrics;
	pid_t pid;
};

/** relay_start() - @initial: the whole system starts for the first time */
void relay_start(struct relay *r, const char *name, const struct store *s,
    bool initial);
void relay_kill(struct relay *r);
bool relay_is_ready(const struct relay *r);
/** relay_wait_ready() - or exit with 2 */
void relay_wait_ready(const struct relay *r, uint64_t within_ms);

#endif
