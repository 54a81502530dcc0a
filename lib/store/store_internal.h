/* Shared by the files of lib/store: wire format, requests, back-off. */
#ifndef STORE_INTERNAL_H
#define STORE_INTERNAL_H

#include "ld_store_codec.h"

/* Bytes of an answer: several values of up to 1 MB in base64. */
#define STORE_ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* ---- Back-off ---- */

/** struct backoff - doubled and jittered waits after failures in a row */
struct backoff {
	uint64_t min_ms;
	uint64_t max_ms;
	unsigned int failures;
	struct ld_rand *rand;
};

/** backoff_next() - count a failure; wait so long before the next try */
uint64_t backoff_next(struct backoff *b);

/** store_etcd_encode() - see ld_store_codec_ops.encode */
void store_etcd_encode(const struct ld_store_op *op, struct ld_store_wire *out);

/* ---- Client ---- */

struct ld_store {
	const struct ld_store_codec *codec;
	struct ld_loop *loop;
	struct ld_http *http;
	struct ld_store_settings settings;
	char **endpoints;
	char *prefix;
	size_t endpoint; /* the one used now */
	struct ld_rand rand;
	struct backoff backoff;
	uint64_t retry_at_ms; /* calls are refused before this */
	uint64_t tokens; /* budget left, thousandths of a call */
	uint64_t tokens_at_ms;
	uint64_t cluster_id; /* 0: none seen yet */
	int64_t revision; /* highest seen */
	int64_t era; /* highest seen */
	uint64_t poll_retry_max_ms;
	bool alarm;
	struct ld_store_counters counters;
	struct store_request *requests;
};

/** struct store_request - one call under way */
struct store_request {
	struct ld_http_sink sink;
	struct ld_store *store;
	struct ld_store_call *call;
	struct store_request *next;
	struct store_request **link;
	struct ld_store_op op;
	char *key; /* owned by op */
	char *value;
	struct ld_store_wire wire;
	struct ld_buf answer;
	struct ld_store_decoded
	    pages; /* of a read that spans several answers */
	char *after; /* last key of the page before */
	struct ld_http_call *http;
	struct ld_timer timer; /* refusal without a call, or next read */
	enum ld_status refusal;
	uint64_t deadline_ms;
	size_t tries;
	int64_t floor; /* revision seen before the call */
	int64_t era; /* that the answer told */
	bool settling;
	struct ld_store_expect expect;
	uint64_t settle_deadline_ms;
	struct backoff settle_backoff;
};

/** store_admit() - LD_OK, or why no call may be made now; counts it */
enum ld_status store_admit(struct ld_store *s, enum ld_store_kind kind);
/** store_url() - URL of @path at the endpoint in use; to be freed */
char *store_url(const struct ld_store *s, const char *path);
/** store_connected() - an endpoint answered */
void store_connected(struct ld_store *s);
/** store_failed() - the endpoint in use failed; go on to the next */
void store_failed(struct ld_store *s);
/**
 * store_check_source() - whether an answer may be used
 * @floor: it must be at least from this revision
 *
 * Return: LD_OK, LD_E_STALE or LD_E_PROTOCOL for another cluster.
 */
enum ld_status store_check_source(
    struct ld_store *s, const struct ld_store_decoded *d, int64_t floor);
/** store_read_era() - take the era from a header field, if it is that one */
void store_read_era(const struct ld_store *s, struct ld_str name,
    struct ld_str value, int64_t *era);
/** store_see_era() - a later one than was seen so far is noted */
void store_see_era(struct ld_store *s, int64_t era);
/**
 * store_apply_era() - put the era above the revisions of an answer
 *
 * Return: LD_OK, LD_E_STALE when a later era was seen, LD_E_PROTOCOL.
 */
enum ld_status store_apply_era(
    struct ld_store *s, int64_t era, struct ld_store_decoded *d);
/** store_wire_revision() - as the store itself tells it */
int64_t store_wire_revision(const struct ld_store *s, int64_t revision);
/** store_full_key() - @key with the prefix; to be freed */
char *store_full_key(const struct ld_store *s, struct ld_str key);
/** store_strip_prefix() - make the keys of @d those that callers know */
void store_strip_prefix(const struct ld_store *s, struct ld_store_decoded *d);

/** store_request_new() - a call that is encoded but not yet made */
struct store_request *store_request_new(struct ld_store *s,
    struct ld_store_call *call, const struct ld_store_op *op,
    struct ld_str key);
/** store_request_start() - make the call, or refuse it soon */
void store_request_start(struct store_request *r);
void store_request_free(struct store_request *r);

/** store_settle_step() - judge one read of a settling; true when settled */
bool store_settle_step(const struct store_request *r,
    const struct ld_store_answer *read, struct ld_store_answer *out);

/* ---- Live list: the decisions, without sockets ---- */

/** struct live_doc - one answer of the list; owns its strings */
struct live_doc {
	int64_t version;
	size_t n;
	struct ld_instance *v;
};

/** live_doc_parse() - LD_OK or LD_E_PROTOCOL */
enum ld_status live_doc_parse(struct ld_str json, struct live_doc *out);
void live_doc_free(struct live_doc *d);

/** struct live_state - list in force and the claim of a restarted list */
struct live_state {
	struct live_doc doc;
	int64_t *leaving_since; /* version that said so, 0: live; as doc.v */
	uint64_t restart_confirm_ms;
	uint64_t lower_since_ms; /* UINT64_MAX: no lower version is answered */
	int64_t lower_version;
};

enum live_verdict {
	LIVE_ADOPTED, /* another list is in force */
	LIVE_CONFIRMED, /* the one in force was answered again */
	LIVE_REFUSED, /* older than the one in force */
	LIVE_RESTARTED, /* adopted although its version is lower */
};

void live_state_init(struct live_state *s, uint64_t restart_confirm_ms);
/** live_state_apply() - decide on an answer and take over @doc */
enum live_verdict live_state_apply(
    struct live_state *s, struct live_doc *doc, uint64_t now_ms);
void live_state_fini(struct live_state *s);

#endif
