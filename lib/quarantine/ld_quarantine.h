/*
 * Attribution of server crashes to parts of prompts, and the quarantine of such
 * parts. Source: lib/quarantine.
 */
#ifndef LD_QUARANTINE_H
#define LD_QUARANTINE_H

#include "ld_common.h"

/* ---- Prompts ---- */

/** Shared parts of a prompt that are considered; further ones are ignored. */
#define LD_PROMPT_PARTS_MAX 32
/** Bytes for the text of ld_prompt_text() */
#define LD_PROMPT_TEXT_BYTES 160

/**
 * struct ld_prompt - the parts that a prompt consists of, by their hashes
 * @parts: those that other requests may share, in their order
 * @own: the last part, which belongs to the request or its session alone; 0 if
 *	the prompt is unknown
 * @is_request: the request has no prompt: @own is its fingerprint
 */
struct ld_prompt {
	uint64_t parts[LD_PROMPT_PARTS_MAX];
	size_t part_count;
	uint64_t own;
	bool is_request;
};

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
 * ld_prompt_from_request() - a request without a prompt: its own part alone
 *
 * Only a hash is kept.
 */
void ld_prompt_from_request(
    struct ld_prompt *p, const struct ld_request_identity *id);

/**
 * ld_prompt_text() - the prompt as one value of a log line
 *
 * Return: @out: the shared parts, separated by commas, and the own one after a
 * slash; "-" if the prompt is unknown.
 */
const char *ld_prompt_text(
    const struct ld_prompt *p, char out[LD_PROMPT_TEXT_BYTES]);

/* ---- Findings, exchanged between nodes ---- */

enum ld_finding_kind {
	LD_FINDING_CRASH_BEGUN, /* a server crashed between the head of its
				 * answer and the first event */
	LD_FINDING_CRASH, /* a server crashed before, or soon after */
	LD_FINDING_SOUND, /* an answer to a prompt with the part went on */
	LD_FINDING_QUARANTINED, /* the sender has quarantined the part */
	LD_FINDING_KIND_COUNT
};

/**
 * struct ld_finding - what one node found out about one part
 * @server: hash of the server's id, of a crash; else 0
 * @request: hash of the request's own part, of a crash; else 0
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
	LD_QUARANTINE_BY_RELAPSE, /* a crash after an earlier quarantine */
	LD_QUARANTINE_BY_PEER,
	LD_QUARANTINE_BY_RECORD, /* as found in the store */
	LD_QUARANTINE_SOUND, /* released: an answer went on */
	LD_QUARANTINE_TRIAL, /* released until the next crash */
	LD_QUARANTINE_WITHDRAWN, /* released: its record was deleted */
	LD_QUARANTINE_FULL /* not quarantined: too many parts are */
};

const char *ld_quarantine_event_name(enum ld_quarantine_event e);

/**
 * struct ld_quarantine_ops - actions of the owner
 * @send: send a finding to the other nodes; a loss delays the quarantine there
 * @changed: a part was quarantined until @until_ms, or released
 */
struct ld_quarantine_ops {
	void (*send)(void *user, const struct ld_finding *f);
	void (*changed)(void *user, enum ld_quarantine_event e, uint64_t part,
	    uint64_t until_ms);
};

/**
 * ld_quarantine_new() - nothing is in quarantine
 * @seed: differs between nodes, so that their quarantines of one part end one
 *	after the other, and one node tries it for all
 */
struct ld_quarantine *ld_quarantine_new(
    const struct ld_quarantine_ops *ops, void *user, uint64_t seed);
void ld_quarantine_free(struct ld_quarantine *qn);

/**
 * ld_quarantine_contains() - whether a part of the prompt is quarantined
 * @until_ms: set to the end of the quarantine if so
 */
bool ld_quarantine_contains(const struct ld_quarantine *qn,
    const struct ld_prompt *p, uint64_t now_ms, uint64_t *until_ms);
/**
 * ld_quarantine_is_on_trial() - the quarantine of its own part has ended, and no
 * answer has shown that it is sound
 */
bool ld_quarantine_is_on_trial(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms);
/**
 * ld_quarantine_crashed() - a server crashed before or soon after it began to
 * answer this prompt
 * @server: hash of the server's id
 * @begun: the head of the answer was received, and no event
 */
void ld_quarantine_crashed(struct ld_quarantine *qn, const struct ld_prompt *p,
    uint32_t server, bool begun, uint64_t now_ms);
/**
 * ld_quarantine_answered() - an answer to this prompt is complete, or has gone
 * on for longer than a crash takes
 */
void ld_quarantine_answered(
    struct ld_quarantine *qn, const struct ld_prompt *p, uint64_t now_ms);
/** ld_quarantine_receive() - a finding of another node */
void ld_quarantine_receive(
    struct ld_quarantine *qn, const struct ld_finding *f, uint64_t now_ms);
/** ld_quarantine_restore() - the store has a record of the part */
void ld_quarantine_restore(
    struct ld_quarantine *qn, uint64_t part, uint64_t now_ms);
/** ld_quarantine_withdraw() - the record of the part was deleted */
void ld_quarantine_withdraw(struct ld_quarantine *qn, uint64_t part);
/** ld_quarantine_tick() - release expired parts; call about once a second */
void ld_quarantine_tick(struct ld_quarantine *qn, uint64_t now_ms);
/**
 * ld_quarantine_each() - call @fn for each part in quarantine or on trial
 */
void ld_quarantine_each(const struct ld_quarantine *qn,
    void (*fn)(void *user, uint64_t part), void *user);

#endif
