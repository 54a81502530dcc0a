/* Evidence for and against each part of prompts. */
#ifndef QUARANTINE_INTERNAL_H
#define QUARANTINE_INTERNAL_H

#include "ld_quarantine.h"

/* Each crash counts for a part by the state of its request: a server crashes
 * when it begins to answer. Three crashes of the first kind suffice, five of the
 * other, as crashes by other causes hit requests by chance. */
#define WEIGHT_BEGUN 5
#define WEIGHT_OTHER 3
#define WEIGHT_SUFFICES 15
/* A request that was answered before is not one that crashes each server: many
 * crashes in a row are needed, as after a new version of the servers. */
#define WEIGHT_AFTER_ANSWER 50
/* A shared part is suspected if two requests or more crashed servers: a single
 * one may crash them by its own part. */
#define REQUESTS_MIN 2

/**
 * struct crash - one crash of a server, with a request that it had not answered
 * @has_others: it had more than one with the part
 * @begun: it had begun to answer that request, see LD_FINDING_CRASH_BEGUN
 */
struct crash {
	uint32_t server;
	uint32_t request;
	bool has_others;
	bool begun;
	uint64_t at_ms;
};

/**
 * struct evidence - what is known about one part
 * @part: a shared part, or the own part of a request; 0: free slot
 * @is_request: the fingerprint of a request without a prompt, which many may
 *	send
 * @used_ms: last use, to replace the least recently used
 * @sound_ms: last answer that went on, at any node, 0: none
 * @own_sound_ms: the same at this node
 * @contradicted_ms: last sent as sound to the other nodes
 * @crashes: since the last answer that went on, at most one per server and
 *	restart
 */
struct evidence {
	uint64_t part;
	bool is_request;
	uint64_t used_ms;
	uint64_t sound_ms;
	uint64_t own_sound_ms;
	uint64_t contradicted_ms;
	struct crash crashes[LD_CRASHES_MAX];
	size_t crash_count;
};

/* Set-associative, so that memory is bounded. A slot with crashes is replaced only
 * if all slots of its set have some: requests that were answered come in any
 * number. */
#define EVIDENCE_SETS ((size_t)256)
#define EVIDENCE_WAYS ((size_t)8)

struct evidence_table {
	struct evidence sets[EVIDENCE_SETS][EVIDENCE_WAYS];
};

struct evidence *evidence_find(struct evidence_table *t, uint64_t part);
/** evidence_use() - find or add, see EVIDENCE_SETS */
struct evidence *evidence_use(
    struct evidence_table *t, uint64_t part, uint64_t now_ms);
/** evidence_knows_server() - one of its crashes is of that server */
bool evidence_knows_server(const struct evidence *e, uint32_t server);
/** evidence_is_sound() - an answer went on recently; NULL is not sound */
bool evidence_is_sound(const struct evidence *e, uint64_t now_ms);
bool evidence_is_own_sound(const struct evidence *e, uint64_t now_ms);
/** evidence_add_crash() - add it, unless that crash is known already */
void evidence_add_crash(
    struct evidence *e, const struct ld_finding *f, uint64_t now_ms);
/**
 * evidence_is_refuted() - this node has answered the request before, and too few
 * crashes came since; NULL is not refuted
 */
bool evidence_is_refuted(const struct evidence *e, uint64_t now_ms);
/** evidence_suffices() - the crashes suffice for a quarantine */
bool evidence_suffices(const struct evidence *e, uint64_t now_ms);
/**
 * evidence_explain() - @culprit explains its crashes: remove those that it shares
 * with other parts, unless their evidence is as strong and of another request
 *
 * The own part of a request explains nothing for the shared ones of the same
 * request: these may be the cause.
 */
void evidence_explain(struct evidence_table *t, const struct evidence *culprit);

#endif
