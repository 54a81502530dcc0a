/* Inside of the freshness decisions. */
#ifndef FRESH_INTERNAL_H
#define FRESH_INTERNAL_H

#include "ld_catalogue.h"

#define NEVER UINT64_MAX

struct ld_fresh {
	struct ld_fresh_config config;
	char *self;
	struct ld_rand rand;
	struct ld_catalogue *current;
	char *bytes; /* of current */
	size_t bytes_len;
	uint64_t adopted_ms;
	bool picked; /* among the delegates by the last members */
	bool watching;
	uint64_t unwatch_ms; /* NEVER: not about to stop */
	uint64_t first_held_ms; /* NEVER: no catalogue yet */
	size_t others; /* nodes alive besides this one */
	size_t reported; /* of them: said what they hold */
	int64_t newest; /* highest revision heard of from peers */
	bool settled; /* held a catalogue as new as its peers' once */
	bool reach; /* enough members are alive */
	uint64_t peer_contact_ms; /* NEVER: none yet */
	uint64_t store_contact_ms;
	uint64_t read_ms; /* when the next read is due */
	uint64_t reading_since_ms; /* NEVER: no read is under way */
	bool admitting;
	unsigned int alarms;
	struct ld_fresh_counters counters;
	struct ld_fresh_action *queue;
	size_t queued;
	size_t taken;
};

/** fresh_act() - append an action of @kind, to be filled in */
struct ld_fresh_action *fresh_act(
    struct ld_fresh *f, enum ld_fresh_action_kind kind);
void fresh_set_alarms(struct ld_fresh *f, unsigned int alarms);
/** fresh_note_contact() - keep the later of *contact and @at_ms */
void fresh_note_contact(uint64_t *contact, uint64_t at_ms);
/** fresh_review() - decide again on watch, reads and admission */
void fresh_review(struct ld_fresh *f, uint64_t now_ms);

/**
 * fresh_is_delegate() - whether @self is among the @k delegates of @nodes
 *
 * The highest rendezvous hashes win, first one of each failure domain, so
 * that losing a domain leaves others watching. Every node that sees the same
 * members picks the same; another view costs a duplicate watch only.
 */
bool fresh_is_delegate(
    const struct ld_fresh_node *nodes, size_t n, size_t k, struct ld_str self);

#endif
