/*
 * Attribution of server crashes to requests and to parts of prompts, and their
 * quarantine. Source: lib/quarantine.
 */
#ifndef LD_QUARANTINE_H
#define LD_QUARANTINE_H

#include "ld_common.h"

/* ---- Prompts ---- */

/** Bytes for the text of ld_prompt_text() */
#define LD_PROMPT_TEXT_BYTES 160

/**
 * struct ld_prompt - what a request is known by: its fingerprint, and the parts of
 * its prompt if it has one, by their hashes
 * @parts: those that other requests may share, in their order; NULL or allocated
 * @own: the last part, which belongs to the request or its session alone; 0:
 *	the request has no prompt
 * @request: fingerprint of the request, 0: unknown
 * @exact: fingerprint of the request and its prompt, 0: the request has none
 */
struct ld_prompt {
	uint64_t *parts;
	size_t part_count;
	uint64_t own;
	uint64_t request;
	uint64_t exact;
};

/** ld_prompt_fini() - free the parts */
void ld_prompt_fini(struct ld_prompt *p);
/** ld_prompt_copy() - a copy with parts of its own; free it with ld_prompt_fini() */
struct ld_prompt ld_prompt_copy(const struct ld_prompt *p);

/**
 * struct ld_request_identity - what makes two requests the same
 * @caller: the client account, empty for anonymous ones
 * @target: path and query
 */
struct ld_request_identity {
	struct ld_str caller;
	struct ld_str method;
	struct ld_str host;
	struct ld_str target;
	struct ld_str body;
};

/**
 * ld_prompt_set_request() - set the fingerprints of a request whose parts are set
 *
 * Only hashes are kept.
 */
void ld_prompt_set_request(
    struct ld_prompt *p, const struct ld_request_identity *id);

/**
 * ld_prompt_text() - the prompt as one value of a log line
 *
 * Return: @out: the shared parts, separated by commas, and the own one after a
 * slash; "-" if the prompt is unknown. Of many parts the first ones are named, and
 * "+N" stands for N others.
 */
const char *ld_prompt_text(
    const struct ld_prompt *p, char out[LD_PROMPT_TEXT_BYTES]);

/* ---- Findings, exchanged between nodes ---- */

enum ld_finding_kind {
	LD_FINDING_CRASH_BEGUN, /* a server crashed between the head of its
				 * answer and the first event */
	LD_FINDING_CRASH, /* a server crashed before, or soon after */
	LD_FINDING_SOUND, /* an answer to a prompt with the part went on, or one
			   * to the request is complete */
	LD_FINDING_QUARANTINED, /* the sender has quarantined the part */
	LD_FINDING_KIND_COUNT
};

/** LD_CRASHES_MAX - crashes that are kept of one part */
#define LD_CRASHES_MAX 10

/**
 * struct ld_finding - what one node found out about one part, or one request
 * @part: hash of the part, or fingerprint of the request
 * @server: hash of the server's id and start, of a crash; else 0
 * @request: hash that tells requests apart, of a crash; else 0. Equal to the
 *	lower half of @part: the part is of one request alone.
 */
struct ld_finding {
	enum ld_finding_kind kind;
	uint64_t part;
	uint32_t server;
	uint32_t request;
};

/* ---- The quarantine ---- */

struct ld_quarantine;

enum ld_quarantine_event {
	LD_QUARANTINE_BY_CRASHES, /* enough crashes, and no answer */
	LD_QUARANTINE_BY_PEER,
	LD_QUARANTINE_BY_RECORD, /* as found in the store */
	LD_QUARANTINE_RELAPSE, /* a crash while in quarantine, as in a trial */
	LD_QUARANTINE_TRIAL, /* one request is sent as a trial */
	LD_QUARANTINE_SOUND, /* released: it was answered */
	LD_QUARANTINE_WITHDRAWN, /* released: its record was deleted */
	LD_QUARANTINE_REPLACED /* released: too many are in quarantine */
};

const char *ld_quarantine_event_name(enum ld_quarantine_event e);

/**
 * struct ld_quarantine_ops - actions of the owner
 * @send: send a finding to the other nodes; a loss delays the quarantine there
 * @changed: a part was quarantined, tried or released
 * @claim_trial: claim trial @number of @part for this node, of all nodes and for
 *	all time; ends with ld_quarantine_claimed(), not before this returns.
 *	NULL: there are no trials
 */
struct ld_quarantine_ops {
	void (*send)(void *user, const struct ld_finding *f);
	void (*changed)(void *user, enum ld_quarantine_event e, uint64_t part);
	void (*claim_trial)(void *user, uint64_t part, unsigned int number);
};

/** enum ld_trial_claim - how a claim ended */
enum ld_trial_claim {
	LD_TRIAL_GRANTED,
	LD_TRIAL_TAKEN, /* by another node, or that is not certain */
	LD_TRIAL_FAILED /* not claimed: to be tried again */
};

/**
 * ld_quarantine_new() - nothing is in quarantine
 * @seed: differs between nodes, so that they claim a trial one after the other
 */
struct ld_quarantine *ld_quarantine_new(
    const struct ld_quarantine_ops *ops, void *user, uint64_t seed);
void ld_quarantine_free(struct ld_quarantine *qn);

/**
 * ld_quarantine_contains() - whether the request or a part of its prompt is
 * quarantined
 * @retry_ms: set to the time of the next trial if so, later than @now_ms
 */
bool ld_quarantine_contains(struct ld_quarantine *qn, const struct ld_prompt *p,
    uint64_t now_ms, uint64_t *retry_ms);
/**
 * ld_quarantine_take_trial() - whether this request, although quarantined, is
 * sent as a trial, to one server only
 *
 * A trial that is due is claimed for a request that comes later.
 */
bool ld_quarantine_take_trial(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms);
/** ld_quarantine_claimed() - the claim of a trial has ended */
void ld_quarantine_claimed(struct ld_quarantine *qn, uint64_t part,
    unsigned int number, enum ld_trial_claim result, uint64_t now_ms);

/**
 * ld_quarantine_crashed() - a server broke off the answer to this prompt before
 * or soon after it began: its shared parts are suspected
 * @server: hash of the server's id and start
 * @begun: the head of the answer was received, and no event; only then is the
 *	prompt's own part suspected
 *
 * Return: how many shared parts are suspected. Those that were answered recently are
 * not, and of the rest a bounded number is: those with earlier crashes, and some of
 * the others, chosen anew for each prompt.
 */
size_t ld_quarantine_crashed(struct ld_quarantine *qn,
    const struct ld_prompt *p, uint32_t server, bool begun, uint64_t now_ms);
/**
 * ld_quarantine_request_crashed() - a server is known to have crashed while it
 * had this request, at any time before the end of its answer
 */
void ld_quarantine_request_crashed(struct ld_quarantine *qn,
    const struct ld_prompt *p, uint32_t server, uint64_t now_ms);
/**
 * ld_quarantine_went_on() - an answer to this prompt has gone on for longer than a
 * crash takes: its parts are sound, which says nothing of the request yet
 */
void ld_quarantine_went_on(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms);
/** ld_quarantine_answered() - an answer to this request is complete */
void ld_quarantine_answered(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms);
/**
 * ld_quarantine_survived() - a crash that was reported with this request was none: its
 * server goes on
 */
void ld_quarantine_survived(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms);
/** ld_quarantine_receive() - a finding of another node */
void ld_quarantine_receive(
    struct ld_quarantine *qn, const struct ld_finding *f, uint64_t now_ms);

/* ---- Records in the store ---- */

/** ld_quarantine_restore() - the store has a record of the part */
void ld_quarantine_restore(
    struct ld_quarantine *qn, uint64_t part, uint64_t now_ms);
/** ld_quarantine_withdraw() - the record of the part was deleted */
void ld_quarantine_withdraw(struct ld_quarantine *qn, uint64_t part);
/** ld_quarantine_each() - call @fn for each part in quarantine */
void ld_quarantine_each(const struct ld_quarantine *qn,
    void (*fn)(void *user, uint64_t part), void *user);
/**
 * ld_quarantine_restore_crashes() - the store has a record of crashes of a part
 * that is not in quarantine yet; crashes of servers that are known are skipped
 */
void ld_quarantine_restore_crashes(struct ld_quarantine *qn,
    const struct ld_finding *crashes, size_t n, uint64_t now_ms);
/**
 * ld_quarantine_suspect_crashes() - the crashes of one part, if it has two or more
 * and is not in quarantine
 *
 * Return: their number, 0 if it is no suspect.
 */
size_t ld_quarantine_suspect_crashes(struct ld_quarantine *qn, uint64_t part,
    uint64_t now_ms, struct ld_finding out[LD_CRASHES_MAX]);
/**
 * ld_quarantine_each_suspect() - call @fn with the crashes of each part that has
 * two or more, is not in quarantine, and was not answered since; of the newest of
 * them, a bounded number
 */
void ld_quarantine_each_suspect(struct ld_quarantine *qn, uint64_t now_ms,
    void (*fn)(void *user, const struct ld_finding *crashes, size_t n),
    void *user);

#endif
