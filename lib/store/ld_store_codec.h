/*
 * Wire formats of the store: what a codec encodes and decodes.
 * Source: lib/store (etcd), platform (the users' machines).
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
 * struct ld_store_op - one call before it is encoded; keys with the prefix
 * @after: key that ended the page before; empty for the first page
 * @wait_ms: how long a polled watch may be held
 * @serializable: a copy of the store may answer a read with old data
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

/** struct ld_store_wire - an encoded call; the buffers are to be freed */
struct ld_store_wire {
	const char *method;
	struct ld_buf path; /* with the query */
	struct ld_buf body;
};

/**
 * struct ld_store_decoded - what an answer said
 * @unversioned: the answer carries no revision, so none is compared
 * @more: a read goes on with the page after the last key
 * @compacted: a watch ended: its start was compacted away
 * @canceled: a watch ended
 */
struct ld_store_decoded {
	uint64_t cluster_id;
	int64_t revision;
	bool unversioned;
	bool succeeded; /* of a transaction */
	int64_t lease;
	uint64_t ttl_ms; /* 0: the lease has ended */
	bool more;
	bool compacted;
	bool canceled;
	struct ld_store_event *events;
	size_t n;
};

/** ld_store_decoded_add() - a zeroed event at the end, valid until the next */
struct ld_store_event *ld_store_decoded_add(struct ld_store_decoded *d);
void ld_store_decoded_free(struct ld_store_decoded *d);

/**
 * struct ld_store_codec_ops - one wire format
 * @encode: fill in method, path and body
 * @answers: whether an HTTP code has a body that @decode reads
 * @not_applied: whether an HTTP code says that a write surely had no effect
 * @decode: read a whole answer
 * @era_field: header field that tells the store's era; NULL: it has none, and its
 *	revisions never go back
 * @decode_line: read one line of a streamed watch; NULL when a watch is polled,
 *	with one call for each wait
 *
 * The decoders return LD_OK or LD_E_PROTOCOL; @out is to be freed either way.
 */
struct ld_store_codec_ops {
	void (*encode)(const struct ld_store_op *op, struct ld_store_wire *out);
	bool (*answers)(const struct ld_store_op *op, long code);
	bool (*not_applied)(long code);
	enum ld_status (*decode)(const struct ld_store_op *op, long code,
	    struct ld_str body, struct ld_store_decoded *out);
	enum ld_status (*decode_line)(
	    struct ld_str line, struct ld_store_decoded *out);
	const char *era_field;
};

struct ld_store_codec {
	const struct ld_store_codec_ops *ops;
};

#endif
