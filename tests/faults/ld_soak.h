/*
 * A soak of real relays: three processes, each with a forwarder before the
 * store, four servers behind forwarders, a store, and clients that send
 * continuously. A seed draws series of overlapping faults; the guarantees are
 * checked from the view of clients and servers. With an odd seed the relays
 * follow the store through one of them.
 */
#ifndef LD_SOAK_H
#define LD_SOAK_H

#include "ld_http.h"
#include "ld_kv_store.h"
#include "ld_session.h"

#define SOAK_RELAYS 3
#define SOAK_SERVERS 4
#define SOAK_KEYS_MAX 64
#define SOAK_ATTEMPTS_MAX 40000
/** Events of a whole stream. */
#define SOAK_EVENTS 6

/* From this seed on streams have prompts, and one part crashes servers. Earlier
 * seeds draw what they drew before. */
#define SOAK_PROMPT_SEEDS 2000
/* So many crashes may come, and so many requests with the part reach servers
 * later, from relays that had no fault for SOAK_SLACK_MS. */
#define SOAK_CRASHES 5
#define SOAK_ARRIVALS_AFTER 3

/* Bounds that follow from the settings of the relays, ms. */
#define SOAK_REVOKE_MS 5000
#define SOAK_DRAIN_MS 2000
#define SOAK_CONFIG_MS 2000
#define SOAK_GRACE_MS 4000
#define SOAK_RECOVERY_MS 12000
/* Around a SIGTERM: the rule holds until this long after the grace period, ms. */
#define SOAK_AFTER_GRACE_MS 1000
/* How old a request may be that ends without an answer and that no server got,
 * and how late after the SIGTERM one may come that its server works on at the
 * end of the grace period, ms. */
#define SOAK_LOSS_SLACK_MS 200
#define SOAK_LATE_SEND_MS 3000
/* Bounds apply to a relay once it had no fault for this time, ms. */
#define SOAK_CALM_MS 3000
/* Added to each bound, as a busy machine delays processes, ms. */
#define SOAK_SLACK_MS 1000

enum soak_kind {
	SOAK_LOOK, /* may be repeated */
	SOAK_BOOK, /* runs at most once */
	SOAK_STREAM, /* may be resumed */
	SOAK_KINDS
};

/** struct soak_attempt - one request of a client, by the number in its id */
struct soak_attempt {
	struct ld_http_sink sink; /* first member */
	struct soak *soak;
	uint32_t number;
	enum soak_kind kind;
	int relay;
	int key;
	bool anonymous; /* on a route that needs no key; @key is unused */
	uint64_t sent_ms;
	bool is_deadly; /* its prompt crashes servers */
	bool done;
	enum ld_status status;
	long code;
	bool is_signed;
	struct ld_buf body;
	char reason[24]; /* body of a failure */
	/* Recorded by the servers. */
	unsigned int runs;
	bool broken_off; /* a server broke off, or answered wrongly */
	uint64_t worked_ms; /* when a server last worked on it, 0: none */
	bool served; /* a server wrote its whole answer */
	bool not_run; /* the answer said that it has not run */
};

/** struct soak_relay - a relay process and its forwarder */
struct soak_relay {
	struct ld_proc *proc;
	struct ld_proc *store_forward;
	char forward_control[32];
	char store_at[32]; /* the forwarder's address */
	char entry[32];
	char settings[160];
	bool paused;
	bool forward_harmed;
	uint64_t term_ms; /* time of SIGTERM, 0: not sent */
	uint64_t last_term_ms; /* the same, also of an earlier process */
	uint64_t calm_since_ms; /* time of its last fault */
};

enum soak_mood {
	MOOD_WELL,
	MOOD_GREY, /* fails, refuses, disconnects and hangs in turn */
	MOOD_SLOW
};

/** struct soak_server - a backend server in this process */
struct soak_server {
	struct ld_handler handler; /* first member */
	struct soak *soak;
	struct ld_listener *listener;
	struct ld_proc *forward;
	char forward_control[32];
	char at[32]; /* the forwarder's address, as in its entry */
	int lives; /* number of starts, part of its id */
	enum soak_mood mood;
	bool gone; /* stopped, before a restart */
	uint64_t crashed_ms; /* time of a crash, 0: none since the restart */
	uint64_t leaving_ms; /* time its entry was set to leaving, 0: not */
};

/** struct soak_key - a key of the one client account */
struct soak_key {
	bool in_force;
	uint64_t added_ms; /* acknowledged */
	uint64_t removed_ms; /* acknowledged, 0: in force */
};

/** struct soak_work - a request that a server works on */
struct soak_work {
	struct soak_work *next;
	struct ld_exchange *x; /* NULL once the caller has gone */
	struct soak_server *server;
	struct soak_attempt *attempt;
	uint64_t due_ms;
	int event; /* of a stream: the next one */
	bool begun; /* of a stream: its head was sent */
	int cut_at; /* of a stream: cut before this event, 0: not */
};

struct soak {
	struct ld_session session;
	struct ld_loop *loop;
	struct ld_http *http;
	struct ld_kv_store *store;
	struct ld_rand rand;
	uint64_t seed;
	struct soak_relay relays[SOAK_RELAYS];
	struct soak_server servers[SOAK_SERVERS];
	struct soak_work *work;
	struct soak_key keys[SOAK_KEYS_MAX];
	int key_count;
	int config_version;
	uint64_t store_calm_since_ms;
	bool store_harmed;
	/* Number of server forwarders that drop or hold bytes, and time of the
	 * last change: bytes that a server wrote may not arrive. */
	int server_paths_harmed;
	uint64_t server_paths_ms;
	struct soak_attempt *attempts;
	uint32_t attempt_count;
	bool next_is_deadly; /* the next request */
	unsigned int crashes;
	uint64_t last_free_crash_ms; /* time of the SOAK_CRASHES-th, 0: none */
	unsigned int arrivals_after;
	unsigned int probes; /* of relays that reach no server */
	unsigned int answered[SOAK_KINDS];
	unsigned int ends_judged; /* around a SIGTERM, undisturbed */
	unsigned int faults;
};

static inline uint64_t
soak_now(const struct soak *s)
{
	return ld_loop_now(s->loop);
}

/** soak_broken() - report a broken guarantee and the seed; fails the test */
void soak_broken(
    struct soak *s, const struct soak_attempt *a, const char *what);

/* ---- ld_soak_world.c: store, configuration, relays ---- */

void soak_open(struct soak *s, uint64_t seed);
void soak_close(struct soak *s);
/** soak_put_config() - write the next version, with the keys in force */
void soak_put_config(struct soak *s);
void soak_start_relay(struct soak *s, int i);
/** soak_harm() - record a fault of a relay; it is no longer calm */
void soak_harm(struct soak *s, int relay);
/** soak_is_calm() - no fault of relay or store from SOAK_CALM_MS before @since */
bool soak_is_calm(const struct soak *s, int relay, uint64_t since_ms);
/** soak_forward() - start a forwarder from a new address to @to */
struct ld_proc *soak_forward(struct soak *s, const char *name, const char *to,
    char at[32], char control[32]);
/** soak_paths_calm() - no fault between relays and servers since @since_ms */
bool soak_paths_calm(const struct soak *s, uint64_t since_ms);
/** soak_mode() - set the mode of a forwarder */
void soak_mode(struct soak *s, const char *control, const char *mode, int ms);

/* ---- ld_soak_server.c ---- */

void soak_server_open(struct soak *s, int i);
void soak_server_put_entry(struct soak_server *v, const char *state);
void soak_server_delete_entry(struct soak_server *v);
/** soak_servers_tick() - restart servers that crashed */
void soak_servers_tick(struct soak *s);
/** soak_work_tick() - send the answers that are due */
void soak_work_tick(struct soak *s);

/* ---- ld_soak_client.c ---- */

static inline bool
soak_has_prompts(const struct soak *s)
{
	return s->seed >= SOAK_PROMPT_SEEDS;
}

/** soak_send() - send a request; NULL after SOAK_ATTEMPTS_MAX requests */
struct soak_attempt *soak_send(
    struct soak *s, enum soak_kind kind, int relay, int key);
/** soak_send_anonymous() - a lookup on a route that needs no key */
struct soak_attempt *soak_send_anonymous(struct soak *s, int relay);
/** soak_client_tick() - send the clients' regular load */
void soak_client_tick(struct soak *s);
/** soak_key() - pick a key in force, or at times a removed one */
int soak_key(struct soak *s);

/* ---- ld_soak_faults.c ---- */

/** soak_fault_tick() - begins and ends faults by the seed */
void soak_fault_tick(struct soak *s, uint64_t until_ms);
/** soak_faults_end() - end all faults; all processes run */
void soak_faults_end(struct soak *s);
/** soak_watch_processes() - restart stopped processes, detect ended ones */
void soak_watch_processes(struct soak *s);

#endif
