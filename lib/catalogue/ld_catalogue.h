/*
 * Documents kept in the store: the catalogue with its entries, and the
 * placement record of a fabric domain. Source: lib/catalogue.
 */
#ifndef LD_CATALOGUE_H
#define LD_CATALOGUE_H

#include "ld_common.h"

/* ---- Faults found in a document ---- */

/** enum ld_fault_kind - what is wrong with a member */
enum ld_fault_kind {
	LD_FAULT_SYNTAX, /* not JSON */
	LD_FAULT_SIZE, /* longer or more than allowed */
	LD_FAULT_MISSING, /* a required member is absent */
	LD_FAULT_UNKNOWN, /* a member that the format does not have */
	LD_FAULT_TYPE, /* another JSON type */
	LD_FAULT_VALUE, /* out of range or not one of the allowed */
	LD_FAULT_DUPLICATE, /* must be unique and is not */
	LD_FAULT_KIND_COUNT
};

/** ld_fault_kind_name() - stable lower-case name, never NULL */
const char *ld_fault_kind_name(enum ld_fault_kind kind);

/**
 * struct ld_fault - one fault
 * @path: member path such as "entries[2].limits.concurrent"; "" is the whole
 * @found: what stood there, shortened
 * @allowed: what may stand there
 */
struct ld_fault {
	enum ld_fault_kind kind;
	char *path;
	char *found;
	char *allowed;
};

/** Faults kept in a list; more are counted only. */
#define LD_FAULTS_MAX 100

/** struct ld_faults - all faults of a document; zero-initialise before use */
struct ld_faults {
	struct ld_fault *v;
	size_t n;
	size_t left_out;
};

/**
 * ld_faults_add() - append a fault
 * @path: member path, copied
 * @found: shortened and copied
 * @allowed: printf format of what may stand there
 */
void ld_faults_add(struct ld_faults *fs, enum ld_fault_kind kind,
    const char *path, struct ld_str found, const char *allowed, ...)
    __attribute__((format(printf, 5, 6)));
/** ld_faults_print() - one line "PATH: found FOUND, allowed: ALLOWED" each */
void ld_faults_print(const struct ld_faults *fs, struct ld_buf *out);
void ld_faults_free(struct ld_faults *fs);

/* ---- Catalogue ---- */

/** Bytes of a catalogue document; the store holds values up to 1 MB. */
#define LD_CATALOGUE_MAX_BYTES ((size_t)512 * 1024)
#define LD_CATALOGUE_MAX_ENTRIES 4096
#define LD_ENTRY_MAX_KEYS 64
#define LD_OWNER_MAX_BYTES 64
/** Highest value of a limit. */
#define LD_LIMIT_MAX 1000000000
#define LD_KEY_HASH_BYTES 32

/** enum ld_class - how a caller pays; decides who gets capacity first */
enum ld_class {
	LD_CLASS_PAID,
	LD_CLASS_LATE,
	LD_CLASS_UNPAID,
	LD_CLASS_COUNT
};

/** ld_class_name() - name in the catalogue, never NULL */
const char *ld_class_name(enum ld_class c);

/** struct ld_limits - 0: none of that kind may be used */
struct ld_limits {
	uint64_t requests_per_s;
	uint64_t tokens_per_s;
	uint64_t concurrent; /* requests in progress at once */
};

/** struct ld_entry - one caller; immutable, lives as long as its catalogue */
struct ld_entry {
	char *owner;
	enum ld_class class;
	struct ld_limits limits;
	struct ld_limits promised; /* all zero unless paid; within limits */
	size_t n_keys;
	unsigned char (*keys)[LD_KEY_HASH_BYTES]; /* SHA-256 of each key */
};

/** struct ld_catalogue - immutable snapshot with a reference count */
struct ld_catalogue;

/**
 * ld_catalogue_parse() - check a document whole and make a snapshot of it
 * @json: the document
 * @revision: store revision at which it was written, 0 when not yet written
 * @out: set to a snapshot with one reference, or NULL on failure
 * @faults: gets every fault found; may be NULL
 *
 * Return: LD_OK, LD_E_TOO_LARGE or LD_E_INVALID.
 */
enum ld_status ld_catalogue_parse(struct ld_str json, int64_t revision,
    struct ld_catalogue **out, struct ld_faults *faults);
struct ld_catalogue *ld_catalogue_ref(struct ld_catalogue *c);
/** ld_catalogue_unref() - drop a reference; NULL is allowed */
void ld_catalogue_unref(struct ld_catalogue *c);
int64_t ld_catalogue_revision(const struct ld_catalogue *c);
size_t ld_catalogue_count(const struct ld_catalogue *c);
/** ld_catalogue_at() - entry @i in document order; @i < count */
const struct ld_entry *ld_catalogue_at(const struct ld_catalogue *c, size_t i);
/**
 * ld_catalogue_find_key() - entry of the caller whose key has this hash
 * @hash_hex: LD_SHA256_HEX_LEN lower-case hex digits, as of ld_sha256_hex()
 *
 * Compares with every hash in constant time, so that the time taken says
 * nothing of how much of a guess was right.
 *
 * Return: the entry, or NULL.
 */
const struct ld_entry *ld_catalogue_find_key(
    const struct ld_catalogue *c, struct ld_str hash_hex);
/** ld_catalogue_find_owner() - entry of that owner, or NULL */
const struct ld_entry *ld_catalogue_find_owner(
    const struct ld_catalogue *c, struct ld_str owner);
/** ld_catalogue_write() - append the document as JSON, in document order */
void ld_catalogue_write(const struct ld_catalogue *c, struct ld_buf *out);

/* ---- Difference of two catalogues ---- */

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

/** struct ld_diff - changes by owner; valid while both catalogues live */
struct ld_diff {
	struct ld_change *v;
	size_t n;
};

/** ld_catalogue_diff() - changes from @before (NULL: none) to @after */
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

/** struct ld_placed - one replica; members[0] is the head */
struct ld_placed {
	char *id;
	char *model;
	int64_t epoch;
	enum ld_replica_state state;
	size_t n_members;
	char **members; /* "IP:PORT" */
};

/** struct ld_placement - placement record of one fabric domain */
struct ld_placement {
	int64_t revision; /* store revision of the record, 0: not written */
	char *fabric;
	size_t n_replicas;
	struct ld_placed *replicas;
};

/**
 * ld_placement_parse() - check a record whole and take it over
 * @out: set to a record to be freed with ld_placement_free(), or NULL
 * @faults: gets every fault found; may be NULL
 *
 * An instance in two replicas, or twice in one, is refused.
 *
 * Return: LD_OK, LD_E_TOO_LARGE or LD_E_INVALID.
 */
enum ld_status ld_placement_parse(struct ld_str json, int64_t revision,
    struct ld_placement **out, struct ld_faults *faults);
void ld_placement_write(const struct ld_placement *p, struct ld_buf *out);
/** ld_placement_free() - NULL is allowed */
void ld_placement_free(struct ld_placement *p);

#endif
