/*
 * Membership, failure detection and dissemination between the nodes, on a
 * partial mesh. Source: lib/peers.
 *
 * The module holds no socket and no clock: each call takes the time in ms, and
 * the caller fetches the actions to perform with ld_peers_next_action().
 */
#ifndef LD_PEERS_H
#define LD_PEERS_H

#include "ld_common.h"

#define LD_PEERS_ADDRESS_MAX_BYTES 64
#define LD_PEERS_VALUE_MAX_BYTES 4096
#define LD_PEERS_KEY_MAX_BYTES 256
#define LD_PEERS_DIRECT_MAX_BYTES ((size_t)64 * 1024)

struct ld_peers;

/** enum ld_peers_state - the numbers are part of the protocol */
enum ld_peers_state {
	LD_PEERS_ALIVE = 0,
	LD_PEERS_SUSPECT = 1,
	LD_PEERS_DEAD = 2, /* kept until it is removed */
	LD_PEERS_LEFT = 3, /* announced that it stops */
};

/** enum ld_peers_kind - kinds of records; part of the protocol */
enum ld_peers_kind {
	LD_PEERS_REC_CATALOGUE = 1, /* catalogue revision in force */
	LD_PEERS_REC_HEALTH = 2, /* health of a backend server */
	LD_PEERS_REC_LOAD = 3, /* load of a replica: fast, latest value only */
	LD_PEERS_REC_USAGE = 4, /* usage by entry: fast, latest value only */
	LD_PEERS_REC_DRAIN = 5, /* drain state of a node */
	LD_PEERS_REC_PLACEMENT = 6, /* placement record of a fabric domain */
	LD_PEERS_REC_KIND_END
};

/**
 * struct ld_peers_config - identity of a node; copied by ld_peers_new()
 * @address: advertised "IP:PORT", at most LD_PEERS_ADDRESS_MAX_BYTES
 * @incarnation: random, not 0, different for each process
 * @domain: failure domain
 * @seeds: addresses to join through; its own address is skipped
 * @seed: of the random generator for jitter
 */
struct ld_peers_config {
	struct ld_str address;
	uint64_t incarnation;
	struct ld_str domain;
	struct ld_str region;
	const struct ld_str *seeds;
	size_t seed_count;
	uint64_t seed;
};

/** struct ld_peers_member - view of a node; valid until the next call */
struct ld_peers_member {
	struct ld_str address;
	struct ld_str domain;
	struct ld_str region;
	uint64_t incarnation;
	uint64_t generation;
	enum ld_peers_state state;
	uint64_t since_ms; /* when this node set the state */
	bool self;
};

/** struct ld_peers_record - view of a record; valid until the next call */
struct ld_peers_record {
	struct ld_str origin; /* address of the node that published it */
	uint64_t origin_incarnation;
	enum ld_peers_kind kind;
	struct ld_str key;
	struct ld_str value; /* empty: withdrawn */
	uint64_t seq;
	uint64_t received_ms; /* when it arrived at this node */
};

/** enum ld_peers_action_kind - requests and notifications for the caller */
enum ld_peers_action_kind {
	LD_PEERS_DIAL, /* connect to @address; report the result for @link */
	LD_PEERS_SEND, /* send @bytes on @link */
	LD_PEERS_CLOSE, /* close @link; the module no longer tracks it */
	LD_PEERS_MEMBER, /* @member changed its state or is @removed */
	LD_PEERS_RECORD, /* @record of another node is new or changed */
	LD_PEERS_CATALOGUE, /* newer snapshot received: @revision, @bytes */
	LD_PEERS_DIRECT, /* message from @address: @direct_kind, @bytes */
};

/** struct ld_peers_action - its views are valid until the next call */
struct ld_peers_action {
	enum ld_peers_action_kind kind;
	uint32_t link;
	struct ld_str address;
	uint64_t incarnation; /* of the sender of a direct message */
	struct ld_str bytes;
	uint64_t revision;
	uint32_t direct_kind;
	struct ld_peers_member member;
	bool removed;
	struct ld_peers_record record;
};

/** struct ld_peers_counters - totals since ld_peers_new() */
struct ld_peers_counters {
	uint64_t dials;
	uint64_t dial_failures;
	uint64_t
	    links_timed_out; /* closed because nothing was received in time */
	uint64_t messages_in;
	uint64_t messages_refused; /* malformed, or from an invalid sender */
	uint64_t suspicions; /* raised by this node */
	uint64_t refutations; /* of suspicions about this node */
	uint64_t address_claims; /* generation raised above another process */
	uint64_t deaths; /* concluded here or received from others */
	uint64_t pauses; /* calls more than LD_PEERS_PAUSE_MS overdue */
	uint64_t records_new;
	uint64_t records_duplicate;
	uint64_t digests; /* anti-entropy exchanges started */
	uint64_t direct_dropped; /* no link in time, or another incarnation */
	uint64_t catalogue_requests;
};

#define LD_PEERS_PAUSE_MS 1000

struct ld_peers *ld_peers_new(
    const struct ld_peers_config *config, uint64_t now_ms);
void ld_peers_free(struct ld_peers *p);

/* ---- Events ---- */

/** ld_peers_tick() - run expired timers; call it at ld_peers_next_due() */
void ld_peers_tick(struct ld_peers *p, uint64_t now_ms);
/** ld_peers_next_due() - time at which the next timer expires */
uint64_t ld_peers_next_due(const struct ld_peers *p);
/** ld_peers_accepted() - connection accepted; Return: the id of its link */
uint32_t ld_peers_accepted(struct ld_peers *p, uint64_t now_ms);
/** ld_peers_connected() - the dial and the hello of @link succeeded */
void ld_peers_connected(struct ld_peers *p, uint64_t now_ms, uint32_t link);
/** ld_peers_message() - one authenticated payload arrived on @link */
void ld_peers_message(
    struct ld_peers *p, uint64_t now_ms, uint32_t link, struct ld_str payload);
/** ld_peers_closed() - a dial failed, or a connection was closed or broke */
void ld_peers_closed(struct ld_peers *p, uint64_t now_ms, uint32_t link);

/**
 * ld_peers_next_action() - dequeue the oldest action
 *
 * Return: false when the queue is empty. Later events of a link that the module
 * has closed are ignored.
 */
bool ld_peers_next_action(struct ld_peers *p, struct ld_peers_action *a);
/** ld_peers_has_action() - whether ld_peers_next_action() would return one */
bool ld_peers_has_action(const struct ld_peers *p);

/* ---- Records ---- */

/**
 * ld_peers_publish() - set the value of (kind, key) of this node
 * @value: at most LD_PEERS_VALUE_MAX_BYTES; empty withdraws the record
 *
 * Load and usage records are coalesced to the latest value between two flushes
 * and are not covered by digests: publish them again at least every few
 * seconds.
 *
 * Return: LD_OK, LD_E_INVALID or LD_E_TOO_LARGE.
 */
enum ld_status ld_peers_publish(struct ld_peers *p, uint64_t now_ms,
    enum ld_peers_kind kind, struct ld_str key, struct ld_str value);

/**
 * ld_peers_each_record() - visit the records of one kind, except of dead nodes
 * @fn: returns false to stop; may not call into @p
 */
void ld_peers_each_record(const struct ld_peers *p, enum ld_peers_kind kind,
    bool (*fn)(void *arg, const struct ld_peers_record *r), void *arg);

/**
 * ld_peers_newest_record() - last received record of (kind, key), any origin
 *
 * Return: LD_OK or LD_E_NOT_FOUND.
 */
enum ld_status ld_peers_newest_record(const struct ld_peers *p,
    enum ld_peers_kind kind, struct ld_str key, struct ld_peers_record *out);

/* ---- Members ---- */

/**
 * ld_peers_alive_count() - number of nodes in state alive, including this one
 */
size_t ld_peers_alive_count(const struct ld_peers *p);
/** ld_peers_member_count() - members alive, suspect, or dead but not removed */
size_t ld_peers_member_count(const struct ld_peers *p);
/** ld_peers_each_member() - visit all members in order of address */
void ld_peers_each_member(const struct ld_peers *p,
    bool (*fn)(void *arg, const struct ld_peers_member *m), void *arg);
/** ld_peers_find() - the member at @address, LD_E_NOT_FOUND if unknown */
enum ld_status ld_peers_find(const struct ld_peers *p, struct ld_str address,
    struct ld_peers_member *out);
/**
 * ld_peers_confirm_removed() - the live list no longer contains @address
 *
 * Removes a member that is suspect, dead or has left; an alive one is kept.
 */
void ld_peers_confirm_removed(
    struct ld_peers *p, uint64_t now_ms, struct ld_str address);
/** ld_peers_leave() - announce to the others that this node stops for good */
void ld_peers_leave(struct ld_peers *p, uint64_t now_ms);
/** ld_peers_link_count() - number of links that are up and part of the mesh */
size_t ld_peers_link_count(const struct ld_peers *p);
/**
 * ld_peers_last_acked_ping_ms() - send time of the latest ping acknowledged by
 * a peer
 *
 * 0 before the first ack. The send time is used so that acks read only after a
 * pause of this process do not count as recent.
 */
uint64_t ld_peers_last_acked_ping_ms(const struct ld_peers *p);
/** ld_peers_isolated() - other members exist, but no link is up */
bool ld_peers_isolated(const struct ld_peers *p);
void ld_peers_counters(const struct ld_peers *p, struct ld_peers_counters *out);

/* ---- Direct messages: may be lost or duplicated; in order on a link ---- */

/**
 * ld_peers_send() - send @bytes to the node at @to
 * @to_incarnation: 0 for any process at that address
 * @kind: message type, defined by the caller
 *
 * If there is no link to that node, one is dialled and kept while it is in use.
 *
 * Return: LD_OK when sent or queued, LD_E_TOO_LARGE beyond
 * LD_PEERS_DIRECT_MAX_BYTES, LD_E_LIMIT when the queue of the link is full or
 * too many links are open, LD_E_NOT_FOUND when no member has that address,
 * LD_E_UNAVAILABLE for a dead member, during the backoff after a failed dial,
 * and after ld_peers_leave().
 */
enum ld_status ld_peers_send(struct ld_peers *p, uint64_t now_ms,
    struct ld_str to, uint64_t to_incarnation, uint32_t kind,
    struct ld_str bytes);

/* ---- Catalogue ---- */

/**
 * ld_peers_offer_catalogue() - store and announce a snapshot from the store
 * @revision: store revision, above 0
 *
 * Return: LD_OK, LD_E_STALE when it is not newer than the stored one,
 * LD_E_TOO_LARGE when it does not fit into a message.
 */
enum ld_status ld_peers_offer_catalogue(struct ld_peers *p, uint64_t now_ms,
    uint64_t revision, struct ld_str bytes);
/** ld_peers_catalogue() - stored revision, 0 for none; @bytes may be NULL */
uint64_t ld_peers_catalogue(const struct ld_peers *p, struct ld_str *bytes);
/** ld_peers_confirm_catalogue() - @revision is in force at this node */
void ld_peers_confirm_catalogue(
    struct ld_peers *p, uint64_t now_ms, uint64_t revision);
/**
 * ld_peers_confirmed_revision() - revision confirmed by the node at @address,
 * or 0
 */
uint64_t ld_peers_confirmed_revision(
    const struct ld_peers *p, struct ld_str address);
/**
 * ld_peers_unconfirmed_count() - count nodes whose confirmed revision is older
 * @with_dead: also count dead members that are not removed
 * @fn: called for each, may be NULL
 *
 * Return: the count; 0 means that all have confirmed.
 */
size_t ld_peers_unconfirmed_count(const struct ld_peers *p, uint64_t revision,
    bool with_dead, void (*fn)(void *arg, const struct ld_peers_member *m),
    void *arg);

#endif
