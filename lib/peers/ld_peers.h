/*
 * Membership, failure detection and dissemination between the nodes, on a
 * partial mesh. Source: lib/peers.
 *
 * The module holds no socket and no clock: each call takes the time in ms,
 * and what is to be done is taken out with ld_peers_next_action().
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
	LD_PEERS_DEAD = 2, /* remembered until it is known to be gone */
	LD_PEERS_LEFT = 3, /* said itself that it stopped */
};

/** enum ld_peers_kind - kinds of records; part of the protocol */
enum ld_peers_kind {
	LD_PEERS_REC_CATALOGUE = 1, /* catalogue revision in force */
	LD_PEERS_REC_HEALTH = 2, /* health of a backend server */
	LD_PEERS_REC_LOAD = 3, /* load of a replica: fast, newest only */
	LD_PEERS_REC_USAGE = 4, /* usage by entry: fast, newest only */
	LD_PEERS_REC_DRAIN = 5, /* drain state of a node */
	LD_PEERS_REC_PLACEMENT = 6, /* placement record of a fabric domain */
	LD_PEERS_REC_KIND_END
};

/**
 * struct ld_peers_config - what a node is; copied by ld_peers_new()
 * @address: advertised "IP:PORT", at most LD_PEERS_ADDRESS_MAX_BYTES
 * @incarnation: random, not 0, drawn anew by each process
 * @domain: failure domain
 * @seeds: addresses to join through; its own is passed over
 * @seed: of the generator behind jitter
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
	uint64_t since_ms; /* when this node learned the state */
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
	uint64_t heard_ms; /* when it reached this node */
};

/** enum ld_peers_action_kind - what the caller is to do or to know */
enum ld_peers_action_kind {
	LD_PEERS_DIAL, /* connect to @address, answer by @link */
	LD_PEERS_SEND, /* send @bytes on @link */
	LD_PEERS_CLOSE, /* close @link; it is forgotten already */
	LD_PEERS_MEMBER, /* @member changed its state, or is gone: @gone */
	LD_PEERS_RECORD, /* @record of another node is new or changed */
	LD_PEERS_CATALOGUE, /* a newer snapshot came: @revision, @bytes */
	LD_PEERS_DIRECT, /* a message came from @address: @direct_kind, @bytes */
};

/** struct ld_peers_action - views are valid until the next call */
struct ld_peers_action {
	enum ld_peers_action_kind kind;
	uint32_t link;
	struct ld_str address;
	uint64_t incarnation; /* of the sender of a direct message */
	struct ld_str bytes;
	uint64_t revision;
	uint32_t direct_kind;
	struct ld_peers_member member;
	bool gone;
	struct ld_peers_record record;
};

/** struct ld_peers_counters - since the start */
struct ld_peers_counters {
	uint64_t dials;
	uint64_t dial_failures;
	uint64_t links_silent; /* closed for missed acks */
	uint64_t messages_in;
	uint64_t messages_refused; /* malformed or from an impossible sender */
	uint64_t suspicions; /* raised by this node */
	uint64_t refutations; /* of suspicions against this node */
	uint64_t address_claims; /* against another process at its address */
	uint64_t deaths; /* that this node concluded or learned */
	uint64_t pauses; /* gaps between calls beyond LD_PEERS_PAUSE_MS */
	uint64_t records_new;
	uint64_t records_duplicate;
	uint64_t digests; /* anti-entropy exchanges begun */
	uint64_t direct_dropped; /* no link could be had in time */
	uint64_t catalogue_requests;
};

#define LD_PEERS_PAUSE_MS 1000

struct ld_peers *ld_peers_new(
    const struct ld_peers_config *config, uint64_t now_ms);
void ld_peers_free(struct ld_peers *p);

/* ---- Events ---- */

/** ld_peers_tick() - do what is due; call at ld_peers_next_due() */
void ld_peers_tick(struct ld_peers *p, uint64_t now_ms);
/** ld_peers_next_due() - when ld_peers_tick() has something to do next */
uint64_t ld_peers_next_due(const struct ld_peers *p);
/** ld_peers_accepted() - a connection came in; Return: the id of its link */
uint32_t ld_peers_accepted(struct ld_peers *p, uint64_t now_ms);
/** ld_peers_connected() - the dial of @link and its hello succeeded */
void ld_peers_connected(struct ld_peers *p, uint64_t now_ms, uint32_t link);
/** ld_peers_message() - one authenticated payload came in on @link */
void ld_peers_message(
    struct ld_peers *p, uint64_t now_ms, uint32_t link, struct ld_str payload);
/** ld_peers_closed() - a dial failed, or a link was closed or broke */
void ld_peers_closed(struct ld_peers *p, uint64_t now_ms, uint32_t link);

/**
 * ld_peers_next_action() - take the oldest action
 *
 * Return: false when there is none. Events of a link that the module has
 * closed meanwhile are ignored.
 */
bool ld_peers_next_action(struct ld_peers *p, struct ld_peers_action *a);
/** ld_peers_has_action() - whether ld_peers_next_action() would give one */
bool ld_peers_has_action(const struct ld_peers *p);

/* ---- Records ---- */

/**
 * ld_peers_publish() - give (kind, key) of this node a new value
 * @value: at most LD_PEERS_VALUE_MAX_BYTES; empty withdraws the record
 *
 * Load and usage are coalesced to the newest between two ticks and are not
 * covered by digests: publish them again at least every few seconds.
 *
 * Return: LD_OK, LD_E_INVALID or LD_E_TOO_LARGE.
 */
enum ld_status ld_peers_publish(struct ld_peers *p, uint64_t now_ms,
    enum ld_peers_kind kind, struct ld_str key, struct ld_str value);

/**
 * ld_peers_each_record() - visit the records of one kind, dead nodes left out
 * @fn: returns false to stop; may not call into @p
 */
void ld_peers_each_record(const struct ld_peers *p, enum ld_peers_kind kind,
    bool (*fn)(void *arg, const struct ld_peers_record *r), void *arg);

/**
 * ld_peers_newest_record() - newest heard record of (kind, key) by any origin
 *
 * Return: LD_OK or LD_E_NOT_FOUND.
 */
enum ld_status ld_peers_newest_record(const struct ld_peers *p,
    enum ld_peers_kind kind, struct ld_str key, struct ld_peers_record *out);

/* ---- Members ---- */

/** ld_peers_alive() - nodes that are alive, this one included */
size_t ld_peers_alive(const struct ld_peers *p);
/** ld_peers_counted() - alive, suspect, and dead but not known to be gone */
size_t ld_peers_counted(const struct ld_peers *p);
/** ld_peers_each_member() - visit all members in the order of addresses */
void ld_peers_each_member(const struct ld_peers *p,
    bool (*fn)(void *arg, const struct ld_peers_member *m), void *arg);
/** ld_peers_find() - the member at @address, LD_E_NOT_FOUND if unknown */
enum ld_status ld_peers_find(const struct ld_peers *p, struct ld_str address,
    struct ld_peers_member *out);
/**
 * ld_peers_confirm_gone() - the live list no longer has @address
 *
 * Forgets a member that is suspect, dead or left; one that is alive stays.
 */
void ld_peers_confirm_gone(
    struct ld_peers *p, uint64_t now_ms, struct ld_str address);
/** ld_peers_leave() - tell the others that this node stops for good */
void ld_peers_leave(struct ld_peers *p, uint64_t now_ms);
/** ld_peers_links() - links that are up and part of the mesh */
size_t ld_peers_links(const struct ld_peers *p);
/**
 * ld_peers_acked_ms() - when the newest ping that a peer answered was sent
 *
 * 0 before the first answer. Counted from the sending, so that answers read
 * after a pause of this process don't pass for new.
 */
uint64_t ld_peers_acked_ms(const struct ld_peers *p);
/** ld_peers_isolated() - no link is up although other nodes are known */
bool ld_peers_isolated(const struct ld_peers *p);
void ld_peers_counters(const struct ld_peers *p, struct ld_peers_counters *out);

/* ---- Direct messages: loss and duplicates allowed, never reordered on one
 * link ---- */

/**
 * ld_peers_send() - send @bytes to the node at @to
 * @to_incarnation: 0 for whichever process is there
 * @kind: of the caller's own numbering
 *
 * Without a link to that node one is dialled, kept while it is in use.
 *
 * Return: LD_OK when sent or queued, LD_E_TOO_LARGE beyond
 * LD_PEERS_DIRECT_MAX_BYTES, LD_E_LIMIT when too much waits for the dial or
 * too many links are open, LD_E_NOT_FOUND for an address that is no member,
 * LD_E_UNAVAILABLE for a dead one or one whose last dial has just failed.
 */
enum ld_status ld_peers_send(struct ld_peers *p, uint64_t now_ms,
    struct ld_str to, uint64_t to_incarnation, uint32_t kind,
    struct ld_str bytes);

/* ---- Catalogue ---- */

/**
 * ld_peers_offer_catalogue() - hold and announce a snapshot read elsewhere
 * @revision: store revision, above 0
 *
 * Return: LD_OK, LD_E_STALE when it is not newer than the one held,
 * LD_E_TOO_LARGE when it does not fit into a message.
 */
enum ld_status ld_peers_offer_catalogue(struct ld_peers *p, uint64_t now_ms,
    uint64_t revision, struct ld_str bytes);
/** ld_peers_catalogue() - revision held, 0 for none; @bytes may be NULL */
uint64_t ld_peers_catalogue(const struct ld_peers *p, struct ld_str *bytes);
/** ld_peers_confirm_catalogue() - @revision is in force at this node */
void ld_peers_confirm_catalogue(
    struct ld_peers *p, uint64_t now_ms, uint64_t revision);
/** ld_peers_confirmed() - revision that the node at @address confirmed, or 0 */
uint64_t ld_peers_confirmed(const struct ld_peers *p, struct ld_str address);
/**
 * ld_peers_unconfirmed() - nodes that have not confirmed @revision or newer
 * @with_dead: also those that are dead but not known to be gone
 * @fn: called for each, may be NULL
 *
 * Return: how many; 0 means that all have confirmed.
 */
size_t ld_peers_unconfirmed(const struct ld_peers *p, uint64_t revision,
    bool with_dead, void (*fn)(void *arg, const struct ld_peers_member *m),
    void *arg);

#endif
