/*
 * One relay in its own process, between a client, a store and two servers that
 * run in the test process. For CUnit test programs: a failure of the setup ends
 * the test.
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
	struct ld_http_call *call;
	struct ld_buf body;
	long code;
	double retry_after_s; /* 0 if absent */
	enum ld_status status;
	bool done;
	bool is_signed;
	bool not_run; /* the answer says that no server ran it */
};

extern struct server servers[SERVERS];
extern struct ld_kv_store *store;
extern pid_t relay;
extern char relay_address[32];
extern char metrics_address[32];
/** peers_address - where the relay listens for other nodes */
extern char peers_address[32];
/** relay_max_body_bytes - the bound in the configuration */
extern unsigned int relay_max_body_bytes;
/** relay_request_body - of the next requests with a body */
extern struct ld_str relay_request_body;

/** relay_node_settings - more members of "node", such as ",\"memory_mb\":64" */
extern const char *relay_node_settings;
/** relay_service_settings - the same of the service in the configuration */
extern const char *relay_service_settings;
/** relay_program - the program beside the test's own, set by relay_test_main() */
extern char relay_program[4096];

/**
 * relay_test_main() - run the cases of one suite on one relay
 *
 * The cases call open_all() first; what is open is closed afterwards.
 * Return: the exit status, 0 when every test passed.
 */
int relay_test_main(
    char **argv, const char *suite, const struct ld_test_case *cases);
/** open_all() - start all; @binary is the program of the relay */
void open_all(const char *binary);
void close_all(void);
/** start_relay() - restart the relay after it has ended */
void start_relay(void);
/** start_relay_unread() - the same, its log goes into a pipe that fills up */
void start_relay_unread(void);

/**
 * struct second_relay - another relay of the same fleet
 *
 * It reads a store of its own, in which the test writes the entries of servers:
 * so servers can be at other addresses for each relay.
 */
struct second_relay {
	pid_t pid;
	struct ld_kv_store *store;
	char address[32];
	char metrics[32];
};

struct second_relay start_second_relay(void);
/** close_second_relay() - kill it unless @pid is 0, and close its store */
void close_second_relay(struct second_relay *b);
struct ld_loop *session_loop(void);
void run_for(uint64_t ms);
void wait_until_serving(void);
/** wait_until_applied() - the relay has applied all that the test wrote */
void wait_until_applied(void);

/** set_servers() - set their behaviour; resets the arrival counts */
void set_servers(enum behaviour first, enum behaviour second);
/** put_entry() - write the server's own entry, marked as ready */
void put_entry(const struct server *s, int sequence);
/** put_entry_in_zone() - the same, in the failure domain @zone */
void put_entry_in_zone(const struct server *s, const char *zone, int sequence);
/**
 * list_servers() - only @other is listed, and if @with_sound the second server
 *
 * Returns once the relay knows.
 */
void list_servers(const struct server *other, bool with_sound);
/** arrivals() - requests that both servers received since set_servers() */
unsigned int arrivals(void);

/**
 * put_config() - write the operators' configuration
 * @keys: of its one client account, JSON strings separated by commas
 * @priority: of that account, as JSON
 */
void put_config(int version, const char *keys, const char *priority);

/** start_at() - send a request; @c must not move until it is done */
void start_at(struct client *c, const char *address, const char *method,
    const char *path, const char *key);
/** start_attempt_at() - the same with key k1 and an attempt id of its own */
void start_attempt_at(struct client *c, const char *address, const char *method,
    const char *path, const char *attempt);
/** start_field_at() - with key k1 and one more header field, "Name: value" */
void start_field_at(struct client *c, const char *address, const char *method,
    const char *path, const char *field);
/** start_fields_at() - the same with several, ended by NULL */
void start_fields_at(struct client *c, const char *address, const char *method,
    const char *path, const char *const *fields);
/** start_prompt_at() - the same with the parts of a prompt, NULL for none */
void start_prompt_at(struct client *c, const char *address, const char *method,
    const char *path, const char *key, const char *prompt);
void wait_for(struct client *c);
/** call_at() - send one request and wait; the body is to be freed */
struct client call_at(
    const char *address, const char *method, const char *path, const char *key);
/** call() - call_at() with the address of the relay */
struct client call(const char *method, const char *path, const char *key);
/** code_of() - the status of its answer */
long code_of(const char *method, const char *path, const char *key);
/** code_of_prompt() - of a stream with these parts of a prompt */
long code_of_prompt(const char *prompt);
/** relay_counter() - value of a counter of the relay, from its metrics */
unsigned long relay_counter(const char *name);
/** restart_crashed() - servers that are down come back under a new id */
void restart_crashed(void);
/** restart_crashed_as_before() - the same, under their ids, with a new start */
void restart_crashed_as_before(void);

#endif
