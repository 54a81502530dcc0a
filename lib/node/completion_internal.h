/* What the parts of the completion flow share. */
#ifndef COMPLETION_INTERNAL_H
#define COMPLETION_INTERNAL_H

#include <jansson.h>

#include "node_internal.h"

/** struct completion - one request for a completion */
struct completion {
	struct completion *next;
	struct completion **link;
	struct ld_node *node;
	struct ld_exchange *x; /* NULL once its caller is gone or answered */
	struct ld_engine_call *call;
	char *model;
	char *replica;
	char *address; /* of the replica's head */
	char *excluded; /* replica that failed last */
	char *owner;
	enum ld_class class;
	struct ld_goal goals[LD_O_COUNT];
	uint64_t epoch;
	uint64_t prefix;
	uint64_t ticket;
	uint64_t route_call;
	uint64_t deadline_ms;
	uint64_t started_ms;
	uint64_t first_token_ms; /* of this attempt */
	uint64_t last_token_ms;
	uint64_t gaps_good; /* not yet noted */
	uint64_t gaps_bad;
	uint64_t relayed; /* tokens given to the caller */
	uint64_t relayed_before; /* by the attempts before this one */
	uint64_t max_tokens;
	unsigned int attempts;
	unsigned int displaced; /* moves that this node caused */
	bool stream;
	bool begun; /* the head of a streamed answer was given */
	bool waiting; /* for the decision of admission */
	bool maybe_ran;
};

/* ---- Request (completion_request.c) ---- */

/**
 * completion_read() - read and check the body of a request
 *
 * Return: the document, to be released by the caller; NULL after a problem
 * was answered.
 */
json_t *completion_read(struct ld_exchange *x);
/** completion_new() - a request of @e, linked to its node and exchange */
struct completion *completion_new(struct ld_node *n, struct ld_exchange *x,
    const struct ld_entry *e, const json_t *doc);

/* ---- Objectives (completion_notes.c) ---- */

void completion_note(struct completion *c, enum ld_objective o, uint64_t good,
    uint64_t bad, enum ld_cause cause);
/** completion_note_token() - a token is relayed now */
void completion_note_token(struct completion *c, uint64_t now);
/** completion_note_gaps() - hand over the gaps counted so far */
void completion_note_gaps(struct completion *c);

/* ---- Flow (completion.c) ---- */

/** completion_fail() - answer with a problem, or end the stream with it */
void completion_fail(
    struct completion *c, const struct ld_problem *p, enum ld_cause cause);
/** completion_decided() - admission decided about it */
void completion_decided(
    struct completion *c, const struct ld_admit_decision *d);
/** enum completion_why - why a request leaves its replica */
enum completion_why {
	MOVE_FAILED, /* its call failed: another one is a retry */
	MOVE_DISPLACED /* the replica is not fit: this node ended the call */
};

/** completion_move() - go on at another replica, or give up */
void completion_move(
    struct completion *c, enum completion_why why, const char *cause);

#endif
