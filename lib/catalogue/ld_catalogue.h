/*
 * Documents kept in the store: the catalogue of callers and the placement
 * record of a fabric domain. Also the decisions that keep the catalogue up to
 * date on every node and that report the outcome of an edit.
 * Source: lib/catalogue.
 */
#ifndef LD_CATALOGUE_H
#define LD_CATALOGUE_H

#include "ld_common.h"

/* ---- Faults found in a document ---- */

/** enum ld_fault_kind - what is wrong with a member */
enum ld_fault_kind {
	LD_FAULT_SYNTAX, /* not JSON */
	LD_FAULT_SIZE, /* document too long, or wrong number of elements */
	LD_FAULT_MISSING, /* a required member is absent */
	LD_FAULT_UNKNOWN, /* a member that the format does not define */
	LD_FAULT_TYPE, /* wrong JSON type */
	LD_FAULT_VALUE, /* out of range or not one of the allowed values */
	LD_FAULT_DUPLICATE, /* a repeated value that must be unique */
	LD_FAULT_KIND_COUNT
};

/** ld_fault_kind_name() - stable lower-case name, never NULL */
const char *ld_fault_kind_name(enum ld_fault_kind kind);

/**
 * struct ld_fault - one fault
 * @path: member path such as "entries[2].limits.concurrent"; "" is the document
 * @found: the value found, truncated
 * @allowed: description of the allowed values
 */
struct ld_fault {
	enum ld_fault_kind kind;
	char *path;
	char *found;
	char *allowed;
};

/** Faults stored in a list; further ones are only counted. */
#define LD_FAULTS_MAX 100

/** struct ld_faults - faults of a document; zero-initialise before use */
struct ld_faults {
	struct ld_fault *v;
	size_t n;
	size_t omitted; /* beyond LD_FAULTS_MAX */
};

/**
 * ld_faults_add() - append a fault
 * @path: member path, copied
 * @found: truncated and copied
 * @allowed: printf format that describes the allowed values
 */
void ld_faults_add(struct ld_faults *fs, enum ld_fault_kind kind,
    const char *path, struct ld_str found, const char *allowed, ...)
    __attribute__((format(printf, 5, 6)));
/** ld_faults_print() - one line "PATH: found FOUND, allowed: ALLOWED" each */
void ld_faults_print(const struct ld_faults *fs, struct ld_buf *out);
void ld_faults_free(struct ld_faults *fs);

/* ---- Catalogue ---- */

/** Size limit of a catalogue document; the store's limit is 1 MB a value. */
#define LD_CATALOGUE_MAX_BYTES ((size_t)512 * 1024)
#define LD_CATALOGUE_MAX_ENTRIES 4096
#define LD_ENTRY_MAX_KEYS 64
#define LD_OWNER_MAX_BYTES 64
/** Highest value of a limit. */
#define LD_LIMIT_MAX 1000000000
#define LD_KEY_HASH_BYTES 32

/** enum ld_class - payment class of a caller, by priority for capacity */
enum ld_class {
	LD_CLASS_PAID,
	LD_CLASS_LATE,
	LD_CLASS_UNPAID,
	LD_CLASS_COUNT
};

/** ld_class_name() - name in the catalogue, never NULL */
const char *ld_class_name(enum ld_class c);

/** struct ld_limits - limits of a caller; 0 allows none of that kind */
struct ld_limits {
	uint64_t requests_per_s;
	uint64_t tokens_per_s;
	uint64_t concurrent; /* requests in progress at once */
};

/** struct ld_entry - one caller; immutable, owned by its catalogue */
struct ld_entry {
	char *owner;
	enum ld_class class;
	struct ld_limits limits;
	struct ld_limits promised; /* reserved; only for LD_CLASS_PAID */
	size_t n_keys;
	unsigned char (*keys)[LD_KEY_HASH_BYTES]; /* SHA-256 of each key */
};

/** struct ld_catalogue - immutable snapshot with a reference count */
struct ld_catalogue;

/**
 * ld_catalogue_parse() - validate a document and make a snapshot of it
 * @json: the document
 * @revision: store revision at which it was written, 0 when not yet written
 * @out: set to a snapshot with one reference, or NULL on failure
 * @faults: every fault found is added to it; may be NULL
 *
 * Return: LD_OK, LD_E_TOO_LARGE or LD_E_INVALID.
 */
enum ld_status ld_catalogue_parse(struct ld_str json, int64_t revision,
    struct ld_catalogue **out, struct ld_faults *faults);
struct ld_catalogue *ld_catalogue_ref(struct ld_catalogue *c);
/** ld_catalogue_unref() - release a reference; NULL is allowed */
void ld_catalogue_unref(struct ld_catalogue *c);
int64_t ld_catalogue_revision(const struct ld_catalogue *c);
size_t ld_catalogue_count(const struct ld_catalogue *c);
/** ld_catalogue_at() - entry @i in document order; @i < count */
const struct ld_entry *ld_catalogue_at(const struct ld_catalogue *c, size_t i);
/**
 * ld_catalogue_find_key() - entry of the caller whose key has this hash
 * @hash_hex: LD_SHA256_HEX_LEN lower-case hex digits from ld_sha256_hex()
 *
 * Compares with every hash in constant time, so that the response time does
 * not reveal how much of a guessed key is correct.
 *
 * Return: the entry, or NULL.
 */
const struct ld_entry *ld_catalogue_find_key(
    const struct ld_catalogue *c, struct ld_str hash_hex);
/** ld_catalogue_find_owner() - entry of @owner, or NULL */
const struct ld_entry *ld_catalogue_find_owner(
    const struct ld_catalogue *c, struct ld_str owner);
/** ld_catalogue_write() - append the document as JSON, in document order */
void ld_catalogue_write(const struct ld_catalogue *c, struct ld_buf *out);

/* ---- Difference between two catalogues ---- */

enum ld_change_kind {
	LD_CHANGE_ADDED,
	LD_CHANGE_REMOVED,
	LD_CHANGE_CHANGED
};

/** struct ld_change - @before is NULL when added, @after when removed */
struct ld_change {
	enum ld_change_kind kind;
	const struct ld_entry *before;
	const struct ld_entry *after;
};

/** struct ld_diff - changes sorted by owner; points into both catalogues */
struct ld_diff {
	struct ld_change *v;
	size_t n;
};

/** ld_catalogue_diff() - changes from @before (NULL: empty) to @after */
void ld_catalogue_diff(const struct ld_catalogue *before,
    const struct ld_catalogue *after, struct ld_diff *out);
/** ld_diff_print() - one line per entry and changed member */
void ld_diff_print(const struct ld_diff *d, struct ld_buf *out);
void ld_diff_free(struct ld_diff *d);

/* ---- Placement record ---- */

#define LD_PLACEMENT_MAX_BYTES ((size_t)512 * 1024)
#define LD_PLACEMENT_MAX_REPLICAS 1024
#define LD_REPLICA_MAX_MEMBERS 256
#define LD_NAME_MAX_BYTES 128

enum ld_replica_state {
	LD_REPLICA_FORMING,
	LD_REPLICA_SERVING,
	LD_REPLICA_DRAINING,
	LD_REPLICA_STATE_COUNT
};

/** ld_replica_state_name() - name in the record, never NULL */
const char *ld_replica_state_name(enum ld_replica_state s);

/** struct ld_placed_replica - one placed replica; members[0] is its head */
struct ld_placed_replica {
	char *id;
	char *model;
	int64_t epoch;
	enum ld_replica_state state;
	size_t n_members;
	char **members; /* "IP:PORT" */
};

/** struct ld_placement - placement record of one fabric domain */
struct ld_placement {
	int64_t revision; /* store revision of the record, 0: not yet written */
	char *fabric;
	size_t n_replicas;
	struct ld_placed_replica *replicas;
};

/**
 * ld_placement_parse() - validate a record and parse it
 * @out: set to a record to be freed with ld_placement_free(), or NULL
 * @faults: every fault found is added to it; may be NULL
 *
 * A record that lists an instance twice, in one replica or two, is invalid.
 *
 * Return: LD_OK, LD_E_TOO_LARGE or LD_E_INVALID.
 */
enum ld_status ld_placement_parse(struct ld_str json, int64_t revision,
    struct ld_placement **out, struct ld_faults *faults);
void ld_placement_write(const struct ld_placement *p, struct ld_buf *out);
/** ld_placement_free() - NULL is allowed */
void ld_placement_free(struct ld_placement *p);

/* ---- Freshness: the catalogue in force, and admission ---- */

struct ld_fresh;

/**
 * struct ld_fresh_config - strings are copied
 * @self: id of this node, as in the member list
 * @delegates: number of nodes in the fleet that watch the store
 * @reread_ms: mean interval between reads of the store by a delegate
 * @linger_ms: how long a delegate that is no longer selected keeps its watch
 * @expects_peers: the settings name a way to find other nodes
 * @bootstrap_wait_ms: upper bound of the random wait before the first read
 * @bootstrap_peer_ms: how long a node that has adopted its first catalogue
 *	waits for the revisions of its peers
 * @cut_off_ms: callers are refused after this time without contact to the
 *	store or to peers
 * @min_alive_percent: share of the counted nodes that must be alive for contact
 *	with peers to replace contact with the store
 * @seed: of the jitter
 */
struct ld_fresh_config {
	struct ld_str self;
	size_t delegates;
	uint64_t reread_ms;
	uint64_t linger_ms;
	bool expects_peers;
	uint64_t bootstrap_wait_ms;
	uint64_t bootstrap_peer_ms;
	uint64_t cut_off_ms;
	uint64_t min_alive_percent;
	uint64_t seed;
};

/** ld_fresh_defaults() - configuration without @self */
struct ld_fresh_config ld_fresh_defaults(void);

/** struct ld_fresh_node - a live node; the id includes its incarnation */
struct ld_fresh_node {
	struct ld_str id;
	struct ld_str domain; /* failure domain */
};

/**
 * struct ld_fresh_value - value of the catalogue's key in the store
 * @read_sent_ms: when the read was sent; 0 for a change pushed by a watch
 * @revision: mod_revision of the key, 0 when it does not exist
 */
struct ld_fresh_value {
	uint64_t read_sent_ms;
	int64_t revision;
	struct ld_str bytes;
};

/** enum ld_fresh_alarm - bits; none of them changes the catalogue in force */
enum ld_fresh_alarm {
	LD_FRESH_OLDER = 1, /* the store holds an older one: backup restored? */
	LD_FRESH_ABSENT = 2, /* the store no longer holds a catalogue */
	LD_FRESH_DIFFERENT = 4, /* same revision, different content */
	LD_FRESH_INVALID = 8, /* the newest stored catalogue has faults */
	LD_FRESH_REFUSED = 16, /* replies are stale or from another cluster */
};

enum ld_fresh_action_kind {
	LD_FRESH_WATCH, /* watch the catalogue's key */
	LD_FRESH_UNWATCH,
	LD_FRESH_READ, /* read the key once and report the result */
	LD_FRESH_ADOPT, /* @catalogue is in force from now on */
	LD_FRESH_OFFER, /* send @revision, @bytes to the peers */
	LD_FRESH_CONFIRM, /* report to the peers that @revision is in force */
	LD_FRESH_ADMIT, /* start admitting callers */
	LD_FRESH_REFUSE, /* stop admitting callers */
	LD_FRESH_ALARM, /* @alarms is the new set */
};

/** struct ld_fresh_action - views are valid until the next event */
struct ld_fresh_action {
	enum ld_fresh_action_kind kind;
	struct ld_catalogue *catalogue; /* borrowed, no reference is taken */
	int64_t revision;
	struct ld_str bytes;
	unsigned int alarms;
};

/** struct ld_fresh_counters - since the start */
struct ld_fresh_counters {
	uint64_t adopted_from_store;
	uint64_t adopted_from_peers;
	uint64_t older; /* values rejected as older than the one in force */
	uint64_t invalid;
	uint64_t reads;
	uint64_t cut_offs; /* times this node stopped admitting callers */
};

/*
 * The owner of a struct ld_fresh must take all queued actions after each event
 * and before the next one.
 */
struct ld_fresh *ld_fresh_new(
    const struct ld_fresh_config *config, uint64_t now_ms);
void ld_fresh_free(struct ld_fresh *f);
/**
 * ld_fresh_members() - the live nodes, this one included
 * @counted: nodes alive, suspect, or dead and not yet removed from the fleet
 */
void ld_fresh_members(struct ld_fresh *f, uint64_t now_ms,
    const struct ld_fresh_node *nodes, size_t n, size_t counted);
/** ld_fresh_peer_contact() - a peer replied to a message sent at @sent_ms */
void ld_fresh_peer_contact(
    struct ld_fresh *f, uint64_t now_ms, uint64_t sent_ms);
/**
 * ld_fresh_peer_revisions() - catalogue revisions reported by the live peers
 * @others: number of live peers
 * @reported: how many of them have reported, including that they hold none
 * @newest: highest revision reported, 0 when no peer holds a catalogue
 *
 * After its start a node admits no caller while its catalogue is older than
 * @newest: it may have been read from an outdated copy of the store.
 */
void ld_fresh_peer_revisions(struct ld_fresh *f, uint64_t now_ms, size_t others,
    size_t reported, int64_t newest);
/** ld_fresh_store_value() - the store replied to a read or pushed a change */
void ld_fresh_store_value(
    struct ld_fresh *f, uint64_t now_ms, const struct ld_fresh_value *value);
/** ld_fresh_store_failed() - a read failed or the watch was lost */
void ld_fresh_store_failed(
    struct ld_fresh *f, uint64_t now_ms, enum ld_status status);
/** ld_fresh_peer_value() - a catalogue document was received from a peer */
void ld_fresh_peer_value(
    struct ld_fresh *f, uint64_t now_ms, int64_t revision, struct ld_str bytes);
void ld_fresh_tick(struct ld_fresh *f, uint64_t now_ms);
/** ld_fresh_next_due() - when ld_fresh_tick() must be called next */
uint64_t ld_fresh_next_due(const struct ld_fresh *f);
/** ld_fresh_next_action() - dequeue the oldest action; false when none */
bool ld_fresh_next_action(struct ld_fresh *f, struct ld_fresh_action *a);
/**
 * ld_fresh_admits() - whether a caller may be admitted at @now_ms
 *
 * Must be called for each admission: after a pause of the process the last
 * contact may be too old although no timer has run yet.
 */
bool ld_fresh_admits(const struct ld_fresh *f, uint64_t now_ms);
/** ld_fresh_current() - catalogue in force, NULL when none */
struct ld_catalogue *ld_fresh_current(const struct ld_fresh *f);
bool ld_fresh_is_delegate(const struct ld_fresh *f);
unsigned int ld_fresh_alarms(const struct ld_fresh *f);
const struct ld_fresh_counters *ld_fresh_counters(const struct ld_fresh *f);

/* ---- An operator's edit ---- */

struct ld_edit;

/** Time for all nodes to confirm a write before the edit is UNCONFIRMED. */
#define LD_EDIT_CONFIRM_MS 4000
/** Time for reading back a write whose outcome is unknown. */
#define LD_EDIT_SETTLE_MS 4000

enum ld_edit_result {
	LD_EDIT_PENDING,
	LD_EDIT_ACCEPTED, /* in force on every live node */
	LD_EDIT_UNCONFIRMED, /* written; some nodes have not confirmed */
	LD_EDIT_CONFLICT, /* another edit came first; not written */
	LD_EDIT_NOT_WRITTEN, /* not written to the store; may be retried */
	LD_EDIT_UNKNOWN, /* may have been written; read before retrying */
	LD_EDIT_RESULT_COUNT
};

/** ld_edit_result_name() - stable lower-case name, never NULL */
const char *ld_edit_result_name(enum ld_edit_result r);

enum ld_edit_action_kind {
	LD_EDIT_READ, /* read the key, then call ld_edit_read_done() */
	LD_EDIT_WRITE, /* compare-and-swap @bytes on the key as read, then
	                * always call ld_edit_write_done() */
	LD_EDIT_SETTLE, /* read the key back until @deadline_ms, never write;
	                 * then call ld_edit_write_done() */
	LD_EDIT_WRITTEN, /* pass @revision, @bytes to ld_fresh_store_value() */
	LD_EDIT_DONE, /* reply to the operator; see ld_edit_result() */
};

/** struct ld_edit_action - views are valid while the edit lives */
struct ld_edit_action {
	enum ld_edit_action_kind kind;
	struct ld_str bytes;
	int64_t revision;
	uint64_t deadline_ms;
};

/**
 * ld_edit_new() - begin an edit
 * @json: the new document; validated
 * @if_match: revision that it replaces, 0 for none
 * @faults: every fault found is added to it; may be NULL
 *
 * Return: LD_OK and *out set, or the status of ld_catalogue_parse().
 */
enum ld_status ld_edit_new(struct ld_str json, int64_t if_match,
    uint64_t now_ms, struct ld_edit **out, struct ld_faults *faults);
void ld_edit_free(struct ld_edit *e);
/**
 * ld_edit_read_done() - the read ended
 * @status: LD_OK, LD_E_NOT_FOUND, or the error
 * @revision: mod_revision of the key, 0 when it does not exist
 */
void ld_edit_read_done(struct ld_edit *e, uint64_t now_ms,
    enum ld_status status, int64_t revision);

/** enum ld_edit_write - outcome of the write, as reported by lib/store */
enum ld_edit_write {
	LD_EDIT_WRITE_NOT_APPLIED,
	LD_EDIT_WRITE_APPLIED,
	LD_EDIT_WRITE_CONFLICT,
	LD_EDIT_WRITE_UNKNOWN,
};

/**
 * ld_edit_write_done() - the write, or reading it back, ended
 * @revision: of the key: the one written if applied, else the current one
 */
void ld_edit_write_done(struct ld_edit *e, uint64_t now_ms,
    enum ld_edit_write outcome, int64_t revision);
/**
 * ld_edit_unconfirmed() - the nodes that have not confirmed the revision
 * @names: copied
 * @n: 0 when every live node has confirmed
 */
void ld_edit_unconfirmed(
    struct ld_edit *e, uint64_t now_ms, const struct ld_str *names, size_t n);
void ld_edit_tick(struct ld_edit *e, uint64_t now_ms);
uint64_t ld_edit_next_due(const struct ld_edit *e);
bool ld_edit_next_action(struct ld_edit *e, struct ld_edit_action *a);
enum ld_edit_result ld_edit_result(const struct ld_edit *e);
/** ld_edit_revision() - the one written, the current one on conflict, or 0 */
int64_t ld_edit_revision(const struct ld_edit *e);
/** ld_edit_write_answer() - append the reply to the operator as JSON */
void ld_edit_write_answer(const struct ld_edit *e, struct ld_buf *out);

#endif
