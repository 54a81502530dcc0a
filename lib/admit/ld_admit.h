/*
 * Admission control: fleet-wide limits per caller, promised capacity, and the
 * leftover capacity that late and unpaid callers share. Source: lib/admit.
 *
 * Every function takes the current time in ms of one monotonic clock, which
 * must keep running while the process is stopped. Work for the user of this
 * module is queued as actions: drain them with ld_admit_next() after each call.
 */
#ifndef LD_ADMIT_H
#define LD_ADMIT_H

#include "ld_common.h"

/** enum ld_admit_class - class of a catalogue entry */
enum ld_admit_class {
	LD_ADMIT_PAID,
	LD_ADMIT_LATE,
	LD_ADMIT_UNPAID
};

/** enum ld_admit_verdict - decision about a request */
enum ld_admit_verdict {
	LD_ADMIT_YES,
	LD_ADMIT_NO, /* final; see reason and retry_after_ms */
	/* An LD_ADMIT_DECIDED action follows within LD_ADMIT_WAIT_MS. */
	LD_ADMIT_WAIT
};

/** enum ld_admit_reason - why a request is refused or a stream cancelled */
enum ld_admit_reason {
	LD_ADMIT_R_NONE,
	LD_ADMIT_R_RATE, /* requests per second used up */
	LD_ADMIT_R_TOKENS, /* tokens per second used up */
	LD_ADMIT_R_CONCURRENT, /* the caller's own concurrent limit */
	LD_ADMIT_R_CAPACITY, /* no leftover capacity for this class */
	LD_ADMIT_R_OVERLOAD, /* this node is at max_requests */
	LD_ADMIT_R_NO_CATALOGUE, /* no catalogue yet, or none for too long */
	LD_ADMIT_R_UNKNOWN_OWNER, /* the catalogue has no entry of this owner */
	LD_ADMIT_REASON_COUNT
};

/** Maximum time that a request waits for its decision. */
#define LD_ADMIT_WAIT_MS 100

/** struct ld_admit_config - fixed for the life of a process */
struct ld_admit_config {
	uint64_t node; /* this node and incarnation, unique and not 0 */
	uint64_t seed; /* of the jitter */
	uint32_t settle_ms; /* after start, the own share is 0 for this time */
	uint32_t max_requests; /* concurrent in this node; 0: no bound */
};

/** struct ld_admit_entry - limits and class set by one catalogue entry */
struct ld_admit_entry {
	struct ld_str owner;
	enum ld_admit_class class;
	uint64_t requests_per_s;
	uint64_t tokens_per_s;
	uint64_t concurrent;
	uint64_t promised; /* concurrent; 0 unless paid */
};

/**
 * struct ld_admit_member - one node of the fleet, this one among them
 *
 * The list holds every node that may admit requests, whether it is known from
 * the peers or from the platform's list. A node that died stays in it until
 * the platform's list no longer holds it: its share can't be granted to others
 * while the node may still use it. With a node missing from the list, the
 * fleet admits more than the limits allow.
 */
struct ld_admit_member {
	uint64_t node;
	struct ld_str domain; /* failure domain */
	bool live;
};

/** struct ld_admit_decision - outcome of ld_admit_request() */
struct ld_admit_decision {
	enum ld_admit_verdict verdict;
	enum ld_admit_reason reason;
	uint32_t retry_after_ms; /* 0 unless refused */
	uint64_t ticket; /* 0 when refused; else end it with ld_admit_done() */
	bool promised; /* runs within promised capacity */
};

enum ld_admit_action_type {
	LD_ADMIT_SEND, /* send bytes to node as a direct message; may be lost */
	LD_ADMIT_DECIDED, /* decision of a request that got LD_ADMIT_WAIT */
	LD_ADMIT_CANCEL /* end a running stream; then call ld_admit_done() */
};

/** struct ld_admit_action - see ld_admit_next() */
struct ld_admit_action {
	enum ld_admit_action_type type;
	uint64_t node; /* LD_ADMIT_SEND */
	struct ld_str bytes; /* LD_ADMIT_SEND */
	/* LD_ADMIT_DECIDED; LD_ADMIT_CANCEL: ticket, reason, retry_after_ms */
	struct ld_admit_decision decision;
};

/** struct ld_admit_stats - counters since start */
struct ld_admit_stats {
	uint64_t admitted;
	uint64_t refused[LD_ADMIT_REASON_COUNT];
	uint64_t cancelled;
	uint64_t waited; /* requests that got LD_ADMIT_WAIT */
	uint64_t messages_sent;
	uint64_t bytes_sent;
	uint64_t
	    messages_rejected; /* rejected: malformed or from an unknown node */
	uint64_t running;
};

struct ld_admit;

/** ld_admit_new() - without members or catalogue; refuses every request */
struct ld_admit *ld_admit_new(const struct ld_admit_config *c, uint64_t now_ms);
void ld_admit_free(struct ld_admit *a);

/**
 * ld_admit_catalogue() - adopt a whole catalogue
 * @entries: copied
 *
 * Streams of an owner whose entry is gone are cancelled. Streams above a
 * lowered limit finish, but nothing new is admitted until they have.
 */
void ld_admit_catalogue(struct ld_admit *a, uint64_t now_ms,
    const struct ld_admit_entry *entries, size_t n);

/** ld_admit_catalogue_lost() - refuse all requests until the next catalogue */
void ld_admit_catalogue_lost(struct ld_admit *a, uint64_t now_ms);

/** ld_admit_members() - replace the list of members; copied */
void ld_admit_members(struct ld_admit *a, uint64_t now_ms,
    const struct ld_admit_member *members, size_t n);

/** ld_admit_capacity() - set the slots of all fit replicas of the fleet */
void ld_admit_capacity(struct ld_admit *a, uint64_t now_ms, uint64_t slots);

/**
 * ld_admit_request() - decide about one request
 * @est_tokens: tokens the request may generate
 * @d: receives the decision
 */
void ld_admit_request(struct ld_admit *a, uint64_t now_ms, struct ld_str owner,
    uint64_t est_tokens, struct ld_admit_decision *d);

/** ld_admit_add_tokens() - @n more tokens were relayed for @ticket */
void ld_admit_add_tokens(
    struct ld_admit *a, uint64_t now_ms, uint64_t ticket, uint64_t n);

/**
 * ld_admit_done() - the request of @ticket ended or stopped waiting
 *
 * Unknown tickets are ignored: a request may end while its cancel action is
 * still queued.
 */
void ld_admit_done(struct ld_admit *a, uint64_t now_ms, uint64_t ticket);

/**
 * ld_admit_message() - process a direct message from another node
 *
 * Return: LD_OK, or LD_E_PROTOCOL when it is malformed (counted, no effect).
 */
enum ld_status ld_admit_message(
    struct ld_admit *a, uint64_t now_ms, uint64_t from, struct ld_str bytes);

/** ld_admit_tick() - timed work; call it every LD_ADMIT_TICK_MS */
void ld_admit_tick(struct ld_admit *a, uint64_t now_ms);
#define LD_ADMIT_TICK_MS 20

/**
 * ld_admit_next() - take the oldest queued action
 * @out: valid until the next call of this module
 *
 * Return: false when none is queued.
 */
bool ld_admit_next(struct ld_admit *a, struct ld_admit_action *out);

void ld_admit_get_stats(const struct ld_admit *a, struct ld_admit_stats *s);
/** ld_admit_reason_name() - stable lower-case name, never NULL */
const char *ld_admit_reason_name(enum ld_admit_reason r);

#endif
