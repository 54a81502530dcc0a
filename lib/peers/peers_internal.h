/* Internal declarations of lib/peers: data structures and shared functions. */
#ifndef LD_PEERS_INTERNAL_H
#define LD_PEERS_INTERNAL_H

#include "ld_peers.h"
#include "ld_wire.h"

/* ---- Times, in ms ---- */

#define PING_INTERVAL_MS 1000
#define LINK_TIMEOUT_MS 3200 /* three missed pings and some delay */
#define JOIN_TIMEOUT_MS 1500 /* from the dial to the join message of the peer */
#define SUSPECT_TIMEOUT_MS 5000 /* time for a suspect to refute */
#define DEAD_RETENTION_MS 900000
#define REMOVED_RETENTION_MS 900000
#define BATCH_DELAY_MS 200
#define URGENT_DELAY_MS 40
#define TREE_ANNOUNCE_INTERVAL_MS 100
#define MAINTENANCE_INTERVAL_MS 500
#define MESH_REPAIR_DELAY_MS 100 /* from a membership change to new links */
#define UNSELECTED_TIMEOUT_MS 5000 /* until an unselected link is released */
#define DIRECT_IDLE_TIMEOUT_MS 30000
/* Mean interval of dials of one seed or dead member by the whole fleet. */
#define REJOIN_FLEET_INTERVAL_MS 2000
#define REJOIN_INTERVAL_MIN_MS 5000
#define REJOIN_INTERVAL_MAX_MS 60000
#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 8000
/* Between claims of an address that another process uses too. */
#define CLAIM_INTERVAL_MIN_MS 1000
#define CLAIM_INTERVAL_MAX_MS 60000
#define SUSPICION_INTERVAL_MS 60000 /* between suspicions of the same member */
#define CATALOGUE_REQUEST_TIMEOUT_MS 1000
#define DIGEST_INTERVAL_MS 2500 /* between exchanges started on one link */

/* ---- Sizes ---- */

#define BATCH_MAX_BYTES 65536
#define DIRECT_QUEUE_MAX_BYTES ((size_t)256 * 1024)
#define DIRECT_LINKS_MAX 64
#define SELECTED_MAX 4
#define UNREACHABLE_DIAL_FAILURES 2 /* after these, a member is not selected */

/** enum ring - hash rings on which successors are selected */
enum ring {
	RING_DOMAIN,
	RING_REGION,
	RING_GLOBAL,
	RING_COUNT
};

#define DISTANCE_NONE UINT32_MAX
#define DISTANCE_MAX 64
#define COST_SAME_REGION 1
#define COST_CROSS_REGION 4
#define CHILDREN_MAX 3
#define COST_CHILDREN_FULL 8 /* added for children beyond CHILDREN_MAX */

/**
 * struct item - entry of the change list, embedded in a member or a record
 *
 * The list is ordered by the last change. Each link stores the number of the
 * last change sent on it, so it needs no queue, and several changes of one item
 * are sent as one.
 */
struct item {
	struct item *older;
	struct item *newer;
	uint64_t change_no; /* 0: not in the list */
	uint32_t from_link; /* link that the change came from, 0: this node */
	bool is_member;
};

struct record {
	struct item item;
	struct record *next;
	struct member *origin;
	enum ld_peers_kind kind;
	char *key;
	size_t key_len;
	struct ld_buf value;
	uint64_t seq;
	uint64_t received_ms;
};

struct member {
	struct item item;
	char *address;
	char *domain;
	char *region;
	uint64_t incarnation;
	uint64_t generation;
	uint64_t version;
	enum ld_peers_state state;
	uint64_t since_ms;
	bool removed; /* tombstone: an old update must not add it again */
	uint64_t ring_position[RING_COUNT];
	uint64_t region_hash;
	uint64_t records_hash;
	uint64_t confirmed_revision; /* of the catalogue */
	uint64_t last_suspected_ms; /* by this node, 0: never */
	uint64_t dial_after_ms;
	unsigned int dial_failures;
	struct record *records;
};

enum link_state {
	LINK_DIALING,
	LINK_JOINING,
	LINK_UP
};

struct queued_direct {
	struct queued_direct *next;
	struct ld_buf payload;
};

struct link {
	struct link *next;
	uint32_t id;
	enum link_state state;
	bool dialled;
	char *address; /* dialled, or advertised in the join; may be NULL */
	uint64_t incarnation; /* of the peer, once up */
	bool selected_by_self; /* in the mesh of this node */
	bool selected_by_peer; /* in the mesh of the peer */
	uint64_t deadline_ms; /* of the dial and the join */
	uint64_t last_received_ms;
	uint64_t ping_due_ms;
	uint64_t ping_seq; /* of the last ping or ack sent */
	uint64_t peer_seq; /* of the last ping or ack received */
	uint64_t awaited_seq; /* ping or ack whose echo is awaited, 0: none */
	uint64_t awaited_sent_ms; /* send time of @awaited_seq */
	uint64_t last_selected_ms; /* last time that this node selected it */
	uint64_t last_direct_ms; /* last direct message, 0: none */
	uint64_t last_digest_ms; /* start of the last exchange */
	uint64_t mismatch_since_ms; /* 0: the tables agree */
	uint64_t sent_change_no;

	uint32_t cost; /* of this link in the push tree */
	uint64_t peer_root;
	uint32_t peer_distance;
	bool peer_is_child; /* this node is the parent of the peer */
	uint64_t peer_revision;
	struct queued_direct *direct_queue;
	size_t queue_bytes;
};

/** struct queued_action - an action and the memory that its views point into */
struct queued_action {
	struct queued_action *next;
	struct ld_peers_action action;
	char *storage;
};

struct ld_peers {
	struct ld_rand rand;
	uint64_t now_ms;
	uint64_t next_due_ms; /* next timer, set at the end of each call */
	char **seeds;
	size_t seed_count;
	uint64_t seed_dial_after_ms;
	uint64_t rejoin_due_ms;

	struct member **members; /* sorted by address */
	size_t member_count;
	size_t member_cap;
	struct member *self;
	uint64_t next_seq; /* of the records of this node */
	uint64_t claim_after_ms; /* earliest time of the next address claim */
	uint64_t claim_interval_ms;
	uint64_t bucket_hash[LD_WIRE_BUCKETS];
	struct item changes; /* head of the circular list of items */
	uint64_t change_no;
	uint64_t flush_due_ms;

	struct link *links;
	uint64_t maintenance_due_ms;
	struct member *selected[SELECTED_MAX];
	size_t selected_count;

	uint64_t acked_ms; /* send time of the latest acknowledged ping */
	uint64_t root; /* of the push tree */
	uint64_t tree_due_ms;
	uint64_t tree_sent_ms;

	uint64_t revision;
	struct ld_buf catalogue;
	uint64_t request_due_ms;

	struct queued_action *action_head;
	struct queued_action **action_tail;
	struct queued_action *current_action;
	struct ld_peers_counters counters;

	/* Small fields are grouped to avoid padding. */
	unsigned int seed_failures;
	uint32_t last_link_id;
	uint32_t distance; /* from the root of the push tree */
	uint32_t parent_link; /* link in the push tree, 0: none */
	uint32_t request_link; /* pending catalogue request, 0: none */
	bool has_left;
	bool selection_stale;
	bool root_stale;
};

/* ---- actions.c ---- */

void act_dial(struct ld_peers *p, struct link *l);
/** act_send() - queue @m for @l */
void act_send(
    struct ld_peers *p, const struct link *l, const struct ld_wire_msg *m);
/** act_send_payload() - queue encoded bytes; takes ownership of @payload */
void act_send_payload(
    struct ld_peers *p, const struct link *l, struct ld_buf *payload);
void act_close(struct ld_peers *p, uint32_t link);
void act_member(struct ld_peers *p, const struct member *m, bool removed);
void act_record(struct ld_peers *p, const struct record *r);
void act_catalogue(struct ld_peers *p);
void act_direct(struct ld_peers *p, const struct ld_wire_direct *d);
void actions_free(struct ld_peers *p);
struct ld_peers_member member_view(
    const struct ld_peers *p, const struct member *m);
struct ld_peers_record record_view(const struct record *r);

/* ---- members.c ---- */

struct member *member_add(struct ld_peers *p, const struct ld_wire_member *in);
void member_free(struct member *m);
struct member *member_find(const struct ld_peers *p, struct ld_str address);
struct member *member_by_incarnation(const struct ld_peers *p, uint64_t inc);
struct ld_wire_member member_to_wire(const struct member *m);
uint64_t member_hash(const struct member *m);
/** member_merge() - merge a member received on link @from (0: none) */
void member_merge(
    struct ld_peers *p, const struct ld_wire_member *in, uint32_t from);
/** member_set_state() - change the state locally and disseminate it */
void member_set_state(
    struct ld_peers *p, struct member *m, enum ld_peers_state state);
/** member_is_live() - alive or suspect */
bool member_is_live(const struct member *m);
void members_maintain(struct ld_peers *p);
/**
 * members_restart_suspicions() - restart the timeouts of all suspects
 *
 * Called when the first link comes up after isolation.
 */
void members_restart_suspicions(struct ld_peers *p);
/** table_hash_toggle() - XOR @m into or out of the hashes, around a change */
void table_hash_toggle(struct ld_peers *p, const struct member *m);
uint64_t table_hash(const struct ld_peers *p);
size_t bucket_of(uint64_t incarnation);

/** member_changed() - disseminate and report a change of @m from link @from */
void member_changed(struct ld_peers *p, struct member *m, uint32_t from);

/* ---- self.c ---- */

/** self_merge() - refute or supersede a received entry about this node */
void self_merge(struct ld_peers *p, const struct ld_wire_member *in);

/* ---- records.c ---- */

bool kind_is_fast(enum ld_peers_kind kind);
void record_merge(
    struct ld_peers *p, const struct ld_wire_record *in, uint32_t from);
struct ld_wire_record record_to_wire(const struct record *r);
void records_remove(struct ld_peers *p, struct member *m);
/** records_republish() - give all records of this node new sequence numbers */
void records_republish(struct ld_peers *p);

/* ---- dissemination.c ---- */

/** item_changed() - move @it to the end of the changes and schedule a flush */
void item_changed(
    struct ld_peers *p, struct item *it, uint32_t from, uint64_t delay_ms);
void item_remove(struct item *it);
void changes_flush(struct ld_peers *p);
/** struct batch - members and records to be sent on one link */
struct batch {
	struct ld_wire_member *members;
	size_t member_count;
	struct ld_wire_record *records;
	size_t record_count;
	size_t bytes;
};
void batch_member(struct ld_peers *p, const struct link *l, struct batch *b,
    const struct member *m);
void batch_record(struct ld_peers *p, const struct link *l, struct batch *b,
    const struct record *r);
void batch_send(struct ld_peers *p, const struct link *l, struct batch *b);
void batch_fini(struct batch *b);

/* ---- tree.c ---- */

void tree_update(struct ld_peers *p);
bool tree_includes(const struct ld_peers *p, const struct link *l);
void tree_announce(struct ld_peers *p);
/** tree_children() - number of neighbours whose parent is this node */
unsigned int tree_children(const struct ld_peers *p);

/* ---- links.c ---- */

bool link_is_mesh(const struct link *l); /* up and part of the mesh */
struct link *link_find(const struct ld_peers *p, uint32_t id);
/** link_to_address() - link to @address in any state, preferably LINK_UP */
struct link *link_to_address(const struct ld_peers *p, struct ld_str address);
struct link *link_dial(struct ld_peers *p, struct ld_str address, bool mesh);
/** link_close() - free @l and request that its connection is closed */
void link_close(struct ld_peers *p, struct link *l);
/** link_lost() - free @l; probe its node if it was part of the mesh */
void link_lost(struct ld_peers *p, struct link *l);
void link_free(struct ld_peers *p, struct link *l);
void links_close_incarnation(
    struct ld_peers *p, const char *address, uint64_t incarnation);
void links_tick(struct ld_peers *p);
uint64_t links_next_due(const struct ld_peers *p);

/* ---- join.c ---- */

void link_send_join(struct ld_peers *p, const struct link *l);
void link_joined(
    struct ld_peers *p, struct link *l, const struct ld_wire_join *join);

/* ---- ping.c ---- */

void ping_send(struct ld_peers *p, struct link *l);
void ping_received(struct ld_peers *p, struct link *l,
    const struct ld_wire_ping *ping, bool is_ack);

/* ---- mesh.c ---- */

void mesh_select(struct ld_peers *p);
/** mesh_maintain() - dial selected members, release unselected links */
void mesh_maintain(struct ld_peers *p);
void mesh_schedule_update(struct ld_peers *p);

/* ---- digest.c ---- */

void digest_start(struct ld_peers *p, struct link *l);
void digest_received(
    struct ld_peers *p, struct link *l, const struct ld_wire_digest *d);

/* ---- catalogue.c ---- */

void catalogue_announced(struct ld_peers *p, struct link *l, uint64_t revision);
void catalogue_requested(
    struct ld_peers *p, const struct link *l, uint64_t revision);
void catalogue_received(
    struct ld_peers *p, const struct ld_wire_catalogue *c, uint32_t from);
void catalogue_tick(struct ld_peers *p);
void catalogue_link_closed(struct ld_peers *p, uint32_t link);

/* ---- direct.c ---- */

void direct_flush(struct ld_peers *p, struct link *l);
void direct_received(
    struct ld_peers *p, struct link *l, const struct ld_wire_direct *d);

/* ---- peers.c ---- */

/** peers_begin_call() - advance the time to @now_ms; begins each event */
void peers_begin_call(struct ld_peers *p, uint64_t now_ms);
/** peers_end_call() - compute the time of the next timer */
void peers_end_call(struct ld_peers *p);

#endif
