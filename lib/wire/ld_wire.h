/*
 * Frames and typed messages between the nodes. Source: lib/wire.
 *
 * A connection starts with one hello frame from each side; every later frame
 * is authenticated under a key derived from the shared key and both nonces.
 */
#ifndef LD_WIRE_H
#define LD_WIRE_H

#include "ld_common.h"

/* ---- Sessions and frames ---- */

/** Largest payload of a frame: a complete catalogue has to fit. */
#define LD_WIRE_PAYLOAD_MAX_BYTES ((size_t)1536 * 1024)
#define LD_WIRE_NONCE_BYTES 32
/** The keyed hash is truncated to 128 bits on the wire. */
#define LD_WIRE_MAC_BYTES 16
/** Length, hash and sequence number before each payload. */
#define LD_WIRE_OVERHEAD_BYTES (4 + LD_WIRE_MAC_BYTES + 8)
#define LD_WIRE_KEY_MIN_BYTES 16
#define LD_WIRE_KEY_MAX_BYTES 64

/** enum ld_wire_role - which end of the connection this side is */
enum ld_wire_role {
	LD_WIRE_DIALER,
	LD_WIRE_ACCEPTOR
};

struct ld_wire_session;

/**
 * ld_wire_session_new() - state of one connection
 * @key: shared key, LD_WIRE_KEY_MIN_BYTES..LD_WIRE_KEY_MAX_BYTES long
 * @r: source of the nonce; seeded by the operating system outside of tests
 */
struct ld_wire_session *ld_wire_session_new(
    enum ld_wire_role role, struct ld_str key, struct ld_rand *r);
void ld_wire_session_free(struct ld_wire_session *s);

/** ld_wire_hello() - append the hello frame; send it once, before any other */
void ld_wire_hello(const struct ld_wire_session *s, struct ld_buf *out);

/** ld_wire_ready() - true once the peer's hello has been accepted */
bool ld_wire_ready(const struct ld_wire_session *s);

/**
 * ld_wire_seal() - append one frame that carries @payload
 *
 * Precondition: ld_wire_ready().
 * Return: LD_OK, or LD_E_TOO_LARGE beyond LD_WIRE_PAYLOAD_MAX_BYTES.
 */
enum ld_status ld_wire_seal(
    struct ld_wire_session *s, struct ld_str payload, struct ld_buf *out);

/**
 * ld_wire_open() - verify the next received frame and extract its payload
 * @in: received bytes; one complete frame is consumed from its front
 * @payload: replaced by the payload of the frame
 *
 * The peer's hello, which carries no payload, is consumed before it.
 * After any failure but LD_E_AGAIN the session is unusable: close it.
 *
 * Return: LD_OK with a payload; LD_E_AGAIN when @in holds no complete frame;
 * LD_E_TOO_LARGE for a length beyond the bound; LD_E_AUTH for a wrong key, or
 * a frame that was altered, reflected or sealed in another session;
 * LD_E_REPLAY for an authentic frame that was already received; LD_E_PROTOCOL
 * for a malformed frame or a gap in the sequence numbers.
 */
enum ld_status ld_wire_open(
    struct ld_wire_session *s, struct ld_fifo *in, struct ld_buf *payload);

/**
 * ld_wire_end() - check the end of the stream
 *
 * Return: LD_OK at a frame boundary, LD_E_PROTOCOL inside a frame.
 */
enum ld_status ld_wire_end(
    const struct ld_wire_session *s, const struct ld_fifo *in);

/* ---- Messages ---- */

/**
 * ld_wire_scan() - check msgpack before it is unpacked
 *
 * The unpacker allocates memory for the element counts in array and map headers
 * before it reads the elements. Every element takes at least one byte, so the
 * counts of a well-formed document add up to at most its length.
 *
 * Return: true when the counts and lengths in the headers fit the document.
 */
bool ld_wire_scan(struct ld_str doc);

/** enum ld_wire_kind - message kinds; the numbers are part of the protocol */
enum ld_wire_kind {
	LD_WIRE_JOIN = 1,
	LD_WIRE_PING = 2,
	LD_WIRE_ACK = 3,
	LD_WIRE_DIGEST = 4,
	LD_WIRE_RECORDS = 5,
	LD_WIRE_CATALOGUE_REQUEST = 6,
	LD_WIRE_CATALOGUE_SNAPSHOT = 7,
	LD_WIRE_DIRECT = 8,
};

/** struct ld_wire_member - membership state of one node */
struct ld_wire_member {
	struct ld_str address;
	struct ld_str domain; /* failure domain */
	struct ld_str region;
	uint64_t incarnation;
	uint64_t generation; /* orders incarnations at one address */
	uint64_t version; /* the node raises its own to refute suspicion */
	uint8_t state; /* enum ld_peers_state */
};

/** struct ld_wire_record - latest value published by a node for (kind, key) */
struct ld_wire_record {
	uint64_t origin; /* incarnation of the node that published it */
	uint64_t seq; /* orders the records of one origin */
	uint8_t kind;
	struct ld_str key;
	struct ld_str value;
};

/** struct ld_wire_join - first message on a link, from each side */
struct ld_wire_join {
	struct ld_wire_member self;
	bool mesh; /* false: the link carries direct messages only */
};

/** struct ld_wire_ping - body of both ping and ack */
struct ld_wire_ping {
	uint64_t seq; /* over the pings and acks of one side */
	uint64_t echo; /* last seq received from the other side */
	uint64_t table_hash; /* over members and slow records */
	uint64_t catalogue_revision; /* the sender's revision */
	uint64_t root; /* incarnation of the root of the push tree, 0: none */
	uint32_t distance; /* path cost from the sender to the root */
	bool parent; /* the receiver is the sender's parent in the tree */
};

/** struct ld_wire_entry - digest of one node: its state and its records */
struct ld_wire_entry {
	uint64_t incarnation;
	uint64_t member_hash;
	uint64_t records_hash;
};

#define LD_WIRE_BUCKETS 32

/**
 * struct ld_wire_digest - one step of an anti-entropy exchange
 *
 * The first step carries @bucket hashes; the response and the closing step
 * carry the @entries of the buckets in @differing.
 */
struct ld_wire_digest {
	bool has_buckets;
	uint64_t bucket[LD_WIRE_BUCKETS];
	uint32_t differing; /* bit mask of the buckets covered by @entries */
	bool closing; /* last step: no entries are expected in return */
	struct ld_wire_entry *entries;
	size_t entry_count;
};

/** struct ld_wire_records - a batch of members and records */
struct ld_wire_records {
	struct ld_wire_member *members;
	size_t member_count;
	struct ld_wire_record *records;
	size_t record_count;
};

/** struct ld_wire_catalogue - request (no bytes) or snapshot */
struct ld_wire_catalogue {
	uint64_t revision; /* store revision; in a request the requester's */
	struct ld_str bytes;
};

/** struct ld_wire_direct - message to one node, opaque to lib/peers */
struct ld_wire_direct {
	struct ld_str from; /* address of the sender */
	uint64_t from_incarnation;
	struct ld_str to;
	uint64_t to_incarnation; /* 0: any incarnation at the address */
	uint32_t kind;
	struct ld_str bytes;
};

/** struct ld_wire_msg - one message; @kind selects the union member */
struct ld_wire_msg {
	enum ld_wire_kind kind;
	union {
		struct ld_wire_join join;
		struct ld_wire_ping ping; /* and ack */
		struct ld_wire_digest digest;
		struct ld_wire_records records;
		struct ld_wire_catalogue catalogue;
		struct ld_wire_direct direct;
	};
};

/** ld_wire_encode() - append the msgpack form of @m to @out */
void ld_wire_encode(const struct ld_wire_msg *m, struct ld_buf *out);

/**
 * ld_wire_decode() - decode one message
 * @m: set on success; its strings are views into @payload, its arrays are
 *     released by ld_wire_msg_fini()
 *
 * Return: LD_OK, or LD_E_PROTOCOL for a malformed payload.
 */
enum ld_status ld_wire_decode(struct ld_str payload, struct ld_wire_msg *m);
void ld_wire_msg_fini(struct ld_wire_msg *m);

#endif
