/*
 * A backend server with a configurable behaviour per request, to test how the
 * relay in front of it reacts.
 */
#ifndef LD_RELAY_SERVER_H
#define LD_RELAY_SERVER_H

#include "ld_entry.h"

/** The id that every request of these tests carries. */
#define RELAY_REQUEST_ID "9c41d07be2a35f68"
/** Events of a whole stream. */
#define RELAY_EVENTS 6

/** The pause that a server requests. */
#define RELAY_PAUSE_MS 1500
#define RELAY_PAUSE_S "1.5"

/** Requests a second that a server takes from all nodes together. */
#define RELAY_LIMIT "2"

/** Part of a prompt on which servers crash. */
#define RELAY_CRASHING_PART "deadbeef"

/** Part of a path on which servers end. */
#define RELAY_DEADLY_PATH "/deadly"

/** enum behaviour - what a server does with a request */
enum behaviour {
	SERVES,
	FAILS, /* 500 of its own */
	REFUSES, /* has not run it */
	ASKS_FOR_A_PAUSE, /* the same, with a pause of RELAY_PAUSE_MS */
	NAMES_LIMIT, /* serves, and names RELAY_LIMIT */
	LEAVES, /* serves, and reports that it is leaving */
	BREAKS_OFF, /* closes the connection without an answer */
	ANSWERS_ANOTHER, /* the answer names another request */
	CRASHES_ON_PROMPT, /* soon after the head, if the prompt has the part */
	FALLS_SILENT, /* on the path or the part, its machine stops: see @held */
	DIES_ON_PATH, /* its process ends soon after RELAY_DEADLY_PATH arrived */
	HOLDS, /* doesn't answer */
	CUTS_STREAM, /* in the middle of the fourth event */
	STREAMS_SLOWLY
};

/**
 * struct crash_form - how a server of CRASHES_ON_PROMPT ends
 * @events: written after the head
 * @before_head: before the head of its answer
 * @stops_listening: as a process that ends; else something before it goes on
 *	listening and closes each connection
 * @after_ms: from the last event until the end
 */
struct crash_form {
	int events;
	bool before_head;
	bool stops_listening;
	uint64_t after_ms;
};

/** Requests that a silent server holds; further ones are left unanswered. */
#define RELAY_HELD_MAX 64

/**
 * struct server - one backend server
 * @silent: its machine has stopped: connections hang, and nothing is answered
 * @held: what it received meanwhile
 */
struct server {
	struct ld_handler handler; /* first member */
	struct ld_loop *loop;
	struct ld_listener *listener;
	struct crash_form form;
	int64_t born; /* start of its process in Unix ms, 0: not in its entry */
	uint16_t port;
	bool down; /* crashed, until it is restarted */
	bool silent;
	struct ld_exchange *held[RELAY_HELD_MAX];
	unsigned int held_count;
	char address[32];
	char id[8]; /* id of its entry in the store */
	enum behaviour behaviour;
	unsigned int warmup_left_ms; /* as its entry says */
	unsigned int arrivals; /* of clients' requests */
	unsigned int probes; /* arrivals without an id */
	unsigned int crashes; /* arrivals that it answered by a crash */
	struct ld_exchange *crashing; /* its head was sent */
	struct ld_timer crash_timer;
	/* Values from the last request, empty if absent. */
	char account[32];
	char authorization[32];
	char last_event[16];
	char urgency[8];
	unsigned int extra_fields; /* whose names begin with "X-F" */
	int slow_event;
	struct ld_exchange *slow;
	struct ld_timer timer;
};

/** relay_server_kill() - close all connections and stop listening, as a process
 * that ends */
void relay_server_kill(struct server *s);
/** relay_server_freeze() - fall silent, until relay_server_wake() */
void relay_server_freeze(struct server *s);
/** relay_server_wake() - go on with what it holds */
void relay_server_wake(struct server *s);
/** relay_server_restart() - listen again if it was killed or is silent */
void relay_server_restart(struct server *s);
/** relay_server_open() - listen on 127.0.0.1 */
enum ld_status relay_server_open(
    struct server *s, struct ld_loop *loop, uint16_t port);

#endif
