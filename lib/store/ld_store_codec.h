/*
 * Interface of the store's wire formats.
 * Source: lib/store (etcd), platform (the deployment platform's store).
 */
#ifndef LD_STORE_CODEC_H
#define LD_STORE_CODEC_H

#include "ld_store.h"

enum ld_store_op_kind {
	LD_STORE_OP_READ,
	LD_STORE_OP_CAS,
	LD_STORE_OP_CAS_DELETE,
	LD_STORE_OP_PUT,
	LD_STORE_OP_GRANT,
	LD_STORE_OP_KEEPALIVE,
	LD_STORE_OP_REVOKE,
	LD_STORE_OP_WATCH,
};

/**
 * struct ld_store_op - one call before encoding; keys include the prefix
 * @after: last key of the previous page; empty for the first page
 * @wait_ms: how long the store may hold a polled watch
 * @serializable: any replica may serve the read, possibly with old data
 */
struct ld_store_op {
	enum ld_store_op_kind kind;
	struct ld_str key;
	struct ld_str value;
	struct ld_str after;
	bool prefix;
	bool serializable;
	int64_t expected; /* mod_revision */
	int64_t lease;
	int64_t ttl_s;
	int64_t start_revision;
	uint64_t wait_ms;
};

/** struct ld_store_wire - an encoded call; the caller frees the buffers */
struct ld_store_wire {
	const char *method;
	struct ld_buf path; /* including the query */
	struct ld_buf body;
};

/**
 * struct ld_store_decoded - a decoded response
 * @unversioned: the response carries no revision, so none is compared
 * @more: a further page follows after the last key
 * @compacted: the watch ended because its start revision was compacted
 * @canceled: the store ended the watch
 */
struct ld_store_decoded {
	uint64_t cluster_id;
	int64_t revision;
	bool unversioned;
	bool succeeded; /* for a transaction */
	int64_t lease;
	uint64_t ttl_ms; /* 0: the lease has ended */
	bool more;
	bool compacted;
	bool canceled;
	struct ld_store_event *events;
	size_t n;
};

/** ld_store_decoded_add() - append a zeroed event, valid until the next call */
struct ld_store_event *ld_store_decoded_add(struct ld_store_decoded *d);
void ld_store_decoded_free(struct ld_store_decoded *d);

/**
 * struct ld_store_codec_ops - one wire format
 * @encode: fill in method, path and body
 * @is_decodable: whether responses with this HTTP status are passed to @decode
 * @not_applied: whether this HTTP status guarantees that a write had no effect
 * @decode: decode a complete response
 * @era_field: header field with the store's era; NULL: the store has no eras,
 *	and its revisions never decrease
 * @decode_line: decode one line of a streamed watch; NULL: watches are polled,
 *	one call per poll
 * @page_events: a response to a poll that holds this many events or more may be
 *	the first page of the changes; 0: responses always hold all changes
 * @page_bytes: the same for the size of its body, bytes; 0: no such limit
 *
 * The decoders return LD_OK or LD_E_PROTOCOL; the caller frees @out in both
 * cases.
 */
struct ld_store_codec_ops {
	void (*encode)(const struct ld_store_op *op, struct ld_store_wire *out);
	bool (*is_decodable)(const struct ld_store_op *op, long code);
	bool (*not_applied)(long code);
	enum ld_status (*decode)(const struct ld_store_op *op, long code,
	    struct ld_str body, struct ld_store_decoded *out);
	enum ld_status (*decode_line)(
	    struct ld_str line, struct ld_store_decoded *out);
	const char *era_field;
	size_t page_events;
	size_t page_bytes;
};

struct ld_store_codec {
	const struct ld_store_codec_ops *ops;
};

#endif
