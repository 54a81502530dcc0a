/* Private to lib/peers: the state of a node and the calls between its files. */
#ifndef LD_PEERS_INTERNAL_H
#define LD_PEERS_INTERNAL_H

#include "ld_peers.h"
#include "ld_wire.h"

/* ---- Times, in ms ---- */

#define PING_MS 1000
#define SILENT_MS 3200 /* three pings without an answer, and some delay */
#define JOIN_TIMEOUT_MS 1500 /* from the dial to the join of the other side */
#define SUSPECT_MS 5000 /* a suspect has this long to refute */
#define DEAD_RETENTION_MS 900000
#define GONE_RETENTION_MS 900000
#define BATCH_MS 200
#define URGENT_MS 40
#define TREE_ANNOUNCE_MS 100
#define HOUSEKEEP_MS 500
#define REPAIR_MS 100 /* from a change of members to new links */
#define UNWANTED_MS 5000 /* before a link that nobody wants is given up */
#define DIRECT_IDLE_MS 30000
/* Dials of seeds and dead members: one every so often in the whole fleet. */
#define REJOIN_SHARE_MS 2000
#define REJOIN_MIN_MS 5000
#define REJOIN_MAX_MS 60000
#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 8000
/* Between claims of an address that another process claims too. */
#define CLAIM_MIN_MS 1000
#define CLAIM_MAX_MS 60000
#define SUSPECT_AGAIN_MS 60000 /* between suspicions of one node by this one */
#define CATALOGUE_RETRY_MS 1000
#define DIGEST_MS 2500 /* between exchanges begun on one link */

/* ---- Sizes ---- */

#define BATCH_BYTES 65536
#define DIRECT_QUEUE_BYTES ((size_t)256 * 1024)
#define DIRECT_LINKS_MAX 64
#define WANTED_MAX 4
#define UNREACHABLE_FAILURES 2 /* failed dials before a ring passes it over */

/** enum ring - orders of the members in which successors are chosen */
enum ring {
	RING_DOMAIN,
	RING_REGION,
	RING_GLOBAL,
	RING_COUNT
};

#define DISTANCE_NONE UINT32_MAX
#define DISTANCE_MAX 64
#define COST_NEAR 1
#define COST_CROSS_REGION 4
#define CHILDREN_MAX 3
#define COST_FULL 8 /* told to children beyond CHILDREN_MAX */

/**
 * struct item - member or record in the order in which it last changed
 *
 * Every link keeps the number of the last change that it was sent, so a link
 * needs no queue and several changes of one item go out as one.
 */
struct item {
	struct item *older;
	struct item *newer;
	uint64_t change_no; /* 0: not in the list */
	uint32_t from_link; /* it came from there, 0: from this node */
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
	uint64_t heard_ms;
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
	bool gone; /* kept only so that old news does not bring it back */
	uint64_t ring[RING_COUNT];
	uint64_t region_hash;
	uint64_t records_hash;
	uint64_t confirmed; /* catalogue revision */
	uint64_t suspected_ms; /* last suspicion raised by this node, 0: none */
	uint64_t dial_after_ms;
	unsigned int dial_failures;
	struct record *records;
};

enum link_state {
	LINK_DIALING,
	LINK_JOINING,
	LINK_UP
};

struct direct_wait {
	struct direct_wait *next;
	struct ld_buf payload;
};

struct link {
	struct link *next;
	uint32_t id;
	enum link_state state;
	bool dialled;
	char *address; /* dialled, or advertised in the join; may be NULL */
	uint64_t incarnation; /* of the other side, once up */
	bool self_mesh; /* this node wants it in its mesh */
	bool peer_mesh; /* the other one does */
	uint64_t deadline_ms; /* of the dial and the join */
	uint64_t heard_ms;
	uint64_t ping_due_ms;
	uint64_t ping_seq; /* of the last ping or ack sent */
	uint64_t heard_seq; /* of the last one that came */
	uint64_t timed_seq; /* the one whose echo is awaited, 0: none */
	uint64_t timed_ms; /* when that one was sent */
	uint64_t wanted_ms; /* last time that this node wanted it */
	uint64_t direct_ms; /* last direct message, 0: none */
	uint64_t digest_ms; /* last exchange begun */
	uint64_t mismatch_ms; /* since when tables differ, 0: they agree */
	uint64_t sent_no;

	uint32_t cost; /* of this link in the push tree */
	uint64_t peer_root;
	uint32_t peer_distance;
	bool peer_parent; /* this node is the parent of the other one */
	uint64_t peer_revision;
	struct direct_wait *wait;
	size_t wait_bytes;
};

/** struct queued - an action with the bytes that its views point to */
struct queued {
	struct queued *next;
	struct ld_peers_action action;
	char *owned;
};

struct ld_peers {
	struct ld_rand rand;
	uint64_t now_ms;
	uint64_t due_ms; /* told by the last call */
	char **seeds;
	size_t seed_count;
	uint64_t seed_after_ms;
	uint64_t rejoin_ms;

	struct member **members; /* in the order of addresses */
	size_t member_count;
	size_t member_cap;
	struct member *self;
	uint64_t next_seq; /* of the records of this node */
	uint64_t claim_after_ms; /* its address may be claimed again then */
	uint64_t claim_wait_ms;
	uint64_t bucket[LD_WIRE_BUCKETS];
	struct item changes; /* head of the circular list of items */
	uint64_t change_no;
	uint64_t flush_due_ms;

	struct link *links;
	uint64_t house_due_ms;
	struct member *wanted[WANTED_MAX];
	size_t wanted_count;

	uint64_t acked_ms; /* newest ping acknowledged, when it was sent */
	uint64_t root; /* of the push tree */
	uint64_t tree_due_ms;
	uint64_t tree_sent_ms;

	uint64_t revision;
	struct ld_buf catalogue;
	uint64_t request_due_ms;

	struct queued *action_head;
	struct queued **action_tail;
	struct queued *action_taken;
	struct ld_peers_counters counters;

	/* Small fields stand together, so that none is padded. */
	unsigned int seed_failures;
	uint32_t last_link;
	uint32_t distance; /* from the root of the push tree */
	uint32_t parent; /* link in the push tree, 0: none */
	uint32_t request_link; /* asked for the catalogue, 0: none waits */
	bool left;
	bool wanted_stale;
	bool root_stale;
};

/* ---- actions.c ---- */

void act_dial(struct ld_peers *p, struct link *l);
/** act_send() - queue @m for @l */
void act_send(
    struct ld_peers *p, const struct link *l, const struct ld_wire_msg *m);
/** act_send_payload() - queue encoded bytes, which are taken over */
void act_send_payload(
    struct ld_peers *p, const struct link *l, struct ld_buf *payload);
void act_close(struct ld_peers *p, uint32_t link);
void act_member(struct ld_peers *p, const struct member *m, bool gone);
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
struct member *member_at(const struct ld_peers *p, struct ld_str address);
struct member *member_by_incarnation(const struct ld_peers *p, uint64_t inc);
struct ld_wire_member member_wire(const struct member *m);
uint64_t member_hash(const struct member *m);
/** member_learn() - merge what link @from (0: none) says of a node */
void member_learn(
    struct ld_peers *p, const struct ld_wire_member *in, uint32_t from);
/** member_set_state() - conclude a state here and spread it */
void member_set_state(
    struct ld_peers *p, struct member *m, enum ld_peers_state state);
/** member_is_live() - alive or suspect */
bool member_is_live(const struct member *m);
void members_housekeep(struct ld_peers *p);
/** members_links_back() - first link after isolation: suspects start anew */
void members_links_back(struct ld_peers *p);
/** table_toggle() - take @m out of or into the hashes, around each change */
void table_toggle(struct ld_peers *p, const struct member *m);
uint64_t table_hash(const struct ld_peers *p);
size_t bucket_of(uint64_t incarnation);

/** member_changed() - spread and tell a change of @m that came from @from */
void member_changed(struct ld_peers *p, struct member *m, uint32_t from);

/* ---- self.c ---- */

/** self_learn() - answer words on this node that it cannot let stand */
void self_learn(struct ld_peers *p, const struct ld_wire_member *in);

/* ---- records.c ---- */

bool kind_is_fast(enum ld_peers_kind kind);
void record_learn(
    struct ld_peers *p, const struct ld_wire_record *in, uint32_t from);
struct ld_wire_record record_wire(const struct record *r);
void records_drop(struct ld_peers *p, struct member *m);
/** records_publish_again() - new numbers for all records of this node */
void records_publish_again(struct ld_peers *p);

/* ---- spread.c ---- */

/** item_changed() - put @it at the end of the changes and plan a flush */
void item_changed(
    struct ld_peers *p, struct item *it, uint32_t from, uint64_t delay_ms);
void item_remove(struct item *it);
void spread_flush(struct ld_peers *p);
/** batch - members and records on their way to one link */
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
bool tree_has(const struct ld_peers *p, const struct link *l);
void tree_announce(struct ld_peers *p);
/** tree_children() - neighbours that have this node as their parent */
unsigned int tree_children(const struct ld_peers *p);

/* ---- links.c ---- */

bool link_is_mesh(const struct link *l); /* up and part of the mesh */
struct link *link_find(const struct ld_peers *p, uint32_t id);
/** link_to() - link in any state to @address, an up one first */
struct link *link_to(const struct ld_peers *p, struct ld_str address);
struct link *link_dial(struct ld_peers *p, struct ld_str address, bool mesh);
/** link_drop() - forget @l and tell the caller to close it */
void link_drop(struct ld_peers *p, struct link *l);
/** link_lost() - forget @l; its node is probed when it was part of the mesh */
void link_lost(struct ld_peers *p, struct link *l);
void link_free(struct ld_peers *p, struct link *l);
void links_of_old_incarnation(
    struct ld_peers *p, const char *address, uint64_t incarnation);
void links_tick(struct ld_peers *p);
uint64_t links_due(const struct ld_peers *p);

/* ---- join.c ---- */

void link_send_join(struct ld_peers *p, const struct link *l);
void link_joined(
    struct ld_peers *p, struct link *l, const struct ld_wire_join *join);

/* ---- ping.c ---- */

void ping_send(struct ld_peers *p, struct link *l);
void ping_received(struct ld_peers *p, struct link *l,
    const struct ld_wire_ping *ping, bool is_ack);

/* ---- mesh.c ---- */

void mesh_choose(struct ld_peers *p);
/** mesh_maintain() - dial what is wanted, give up what is not */
void mesh_maintain(struct ld_peers *p);
void mesh_changed(struct ld_peers *p);

/* ---- digest.c ---- */

void digest_start(struct ld_peers *p, struct link *l);
void digest_received(
    struct ld_peers *p, struct link *l, const struct ld_wire_digest *d);

/* ---- catalogue.c ---- */

void catalogue_heard(struct ld_peers *p, struct link *l, uint64_t revision);
void catalogue_requested(
    struct ld_peers *p, const struct link *l, uint64_t revision);
void catalogue_received(
    struct ld_peers *p, const struct ld_wire_catalogue *c, uint32_t from);
void catalogue_tick(struct ld_peers *p);
void catalogue_link_gone(struct ld_peers *p, uint32_t link);

/* ---- direct.c ---- */

void direct_flush(struct ld_peers *p, struct link *l);
void direct_received(
    struct ld_peers *p, struct link *l, const struct ld_wire_direct *d);

/* ---- peers.c ---- */

/** peers_enter() - move to @now_ms; every call from outside begins with it */
void peers_enter(struct ld_peers *p, uint64_t now_ms);
/** peers_leave_call() - work out when the next call is due */
void peers_leave_call(struct ld_peers *p);

#endif
