/*
 * One relay as a process of its own, between a client, a store and two servers
 * that are played here. For test programs with CUnit: what goes wrong on the
 * way ends the test.
 */
#ifndef LD_RELAY_SESSION_H
#define LD_RELAY_SESSION_H

#include <sys/types.h>

#include "ld_http.h"
#include "ld_kv_store.h"
#include "ld_relay_server.h"
#include "ld_test.h"

#define SERVERS 2

/** struct client - one request and its answer */
struct client {
	struct ld_http_sink sink; /* first member */
	struct ld_buf body;
	long code;
	bool done;
	enum ld_status status;
	bool is_signed;
	double retry_after_s; /* 0 without */
};

extern struct server servers[SERVERS];
extern struct ld_kv_store *store;
extern pid_t relay;
extern char relay_address[32];
extern char metrics_address[32];

/** open_all() - start all; @binary is the program of the relay */
void open_all(const char *binary);
void close_all(void);
/** start_relay() - again, after it has ended */
void start_relay(void);
/** start_relay_unread() - the same, its log goes into a pipe that fills up */
void start_relay_unread(void);
void run_for(uint64_t ms);
void wait_until_serving(void);

/** set_servers() - what they do from now on; forgets what arrived */
void set_servers(enum behaviour first, enum behaviour second);
/** put_entry() - the server's own entry, which says that it is ready */
void put_entry(const struct server *s, int sequence);
/** arrivals() - requests that both servers got since set_servers() */
unsigned int arrivals(void);

/**
 * put_config() - operators' configuration
 * @keys: of its one client account, JSON strings, by comma
 * @priority: of that account, as JSON
 */
void put_config(int version, const char *keys, const char *priority);

/** start_at() - send a request; @c stays where it is until it is done */
void start_at(struct client *c, const char *address, const char *method,
    const char *path, const char *key);
void wait_for(struct client *c);
/** call_at() - send one request and wait; the body is to be freed */
struct client call_at(
    const char *address, const char *method, const char *path, const char *key);
/** call() - of the relay */
struct client call(const char *method, const char *path, const char *key);
/** code_of() - the status of its answer */
long code_of(const char *method, const char *path, const char *key);

#endif
