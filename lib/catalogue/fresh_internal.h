/* State of the freshness decisions, shared by fresh*.c and delegates.c. */
#ifndef FRESH_INTERNAL_H
#define FRESH_INTERNAL_H

#include "ld_catalogue.h"

#define NEVER UINT64_MAX

struct ld_fresh {
	struct ld_fresh_config config;
	char *self;
	struct ld_rand rand;
	struct ld_catalogue *current;
	char *bytes; /* document of @current, as received */
	size_t bytes_len;
	uint64_t adopted_ms;
	bool selected; /* as a delegate, from the latest member list */
	bool watching; /* the store is watched, also during linger_ms */
	uint64_t unwatch_ms; /* when the watch ends, NEVER: no end is due */
	uint64_t first_adopted_ms; /* NEVER: no catalogue yet */
	size_t peers_alive; /* live nodes besides this one */
	size_t peers_reported; /* live peers that reported their revision */
	int64_t newest_peer_revision; /* highest one received from peers */
	bool caught_up; /* once true, stays true: see is_caught_up() */
	bool enough_alive; /* at least min_alive_percent of the nodes */
	uint64_t peer_contact_ms; /* NEVER: none yet */
	uint64_t store_contact_ms; /* NEVER: none yet */
	uint64_t read_ms; /* when the next read is due */
	uint64_t reading_since_ms; /* NEVER: no read in progress */
	bool admitting;
	unsigned int alarms;
	struct ld_fresh_counters counters;
	struct ld_fresh_action *queue;
	size_t queue_len;
	size_t queue_pos;
};

/** fresh_queue_action() - append an action of @kind; the caller fills it in */
struct ld_fresh_action *fresh_queue_action(
    struct ld_fresh *f, enum ld_fresh_action_kind kind);
void fresh_set_alarms(struct ld_fresh *f, unsigned int alarms);
/** fresh_note_contact() - raise *contact to @at_ms if that is later */
void fresh_note_contact(uint64_t *contact, uint64_t at_ms);
/** fresh_update() - re-evaluate watch, reads and admission */
void fresh_update(struct ld_fresh *f, uint64_t now_ms);

/**
 * fresh_is_delegate() - whether @self is among the @k delegates of @nodes
 *
 * Nodes are selected by descending rendezvous hash: first at most one node in
 * each failure domain, so that losing a domain leaves other delegates, then
 * any node. Nodes with the same member list select the same delegates; a
 * different list only causes more watches than needed.
 */
bool fresh_is_delegate(
    const struct ld_fresh_node *nodes, size_t n, size_t k, struct ld_str self);

#endif
