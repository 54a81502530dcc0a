/* Shared by the source files that process completions. */
#ifndef COMPLETION_INTERNAL_H
#define COMPLETION_INTERNAL_H

#include <jansson.h>

#include "node_internal.h"

/** struct completion - one completion request */
struct completion {
	struct completion *next;
	struct completion **link;
	struct ld_node *node;
	struct ld_exchange *x; /* NULL after a disconnect or the answer */
	struct ld_engine_call *call;
	char *model;
	char *replica;
	char *address; /* of the replica's head server */
	char *excluded; /* replica of the last failed attempt */
	char *owner;
	enum ld_class class;
	struct ld_goal goals[LD_O_COUNT];
	uint64_t epoch;
	uint64_t prefix_hash; /* of the start of the prompt */
	uint64_t ticket; /* of admission */
	uint64_t route_call; /* call id at lib/route, 0 for none */
	uint64_t deadline_ms;
	uint64_t started_ms;
	uint64_t first_token_ms; /* of this attempt */
	uint64_t last_token_ms;
	/* Token gaps not yet counted by completion_note_gaps(): */
	uint64_t gaps_good;
	uint64_t gaps_bad;
	uint64_t relayed; /* tokens sent to the caller */
	uint64_t relayed_before; /* by earlier attempts */
	uint64_t max_tokens;
	unsigned int attempts;
	unsigned int unbudgeted_moves; /* without the retry budget */
	bool stream;
	bool head_sent; /* of a streamed answer */
	bool admission_pending;
	bool maybe_ran; /* an attempt may have reached an engine */
};

/* ---- Request (completion_request.c) ---- */

/**
 * completion_read() - parse and validate the body of a request
 *
 * Return: the document, to be released with json_decref(); NULL if it is
 * invalid, a problem has been answered then.
 */
json_t *completion_read(struct ld_exchange *x);
/** completion_new() - new request of entry @e, linked to node and exchange */
struct completion *completion_new(struct ld_node *n, struct ld_exchange *x,
    const struct ld_entry *e, const json_t *doc);

/* ---- Objectives (completion_notes.c) ---- */

/** completion_note() - count samples of an objective */
void completion_note(struct completion *c, enum ld_objective o, uint64_t good,
    uint64_t bad, enum ld_cause cause);
/** completion_note_token() - count a token that is relayed at @now */
void completion_note_token(struct completion *c, uint64_t now);
/** completion_note_gaps() - pass the token gaps on to completion_note() */
void completion_note_gaps(struct completion *c);

/* ---- Flow (completion.c) ---- */

/**
 * completion_fail() - answer with a problem, or end the stream with it
 *
 * Frees @c.
 */
void completion_fail(
    struct completion *c, const struct ld_problem *p, enum ld_cause cause);
/** completion_admission_decided() - apply the decision of admission */
void completion_admission_decided(
    struct completion *c, const struct ld_admit_decision *d);
/** enum completion_move_reason - why a request leaves its replica */
enum completion_move_reason {
	MOVE_FAILED, /* the call failed: the next one is a retry */
	MOVE_DISPLACED /* replica not fit: this node cancelled the call */
};

/** completion_move() - continue on another replica, or fail the request */
void completion_move(struct completion *c, enum completion_move_reason reason,
    const char *cause);

#endif
