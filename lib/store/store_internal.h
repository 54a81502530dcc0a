/* Declarations shared by the files of lib/store. */
#ifndef STORE_INTERNAL_H
#define STORE_INTERNAL_H

#include "ld_store_codec.h"

/* Largest response: several values of up to 1 MB in base64. */
#define STORE_ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* ---- Back-off ---- */

/** struct backoff - exponential back-off with jitter */
struct backoff {
	uint64_t min_ms;
	uint64_t max_ms;
	unsigned int failures;
	struct ld_rand *rand;
};

/** backoff_next() - count a failure; returns the delay before a retry */
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
	char *confirm_prefix; /* or NULL */
	size_t endpoint; /* index of the endpoint in use */
	struct ld_rand rand;
	struct backoff backoff;
	uint64_t retry_at_ms; /* calls are refused before this */
	uint64_t tokens; /* remaining budget, thousandths of a call */
	uint64_t tokens_at_ms;
	uint64_t cluster_id; /* 0: none seen yet */
	int64_t revision; /* highest seen */
	int64_t era; /* highest seen */
	uint64_t poll_retry_max_ms;
	bool alarm;
	struct ld_store_counters counters;
	struct store_request *requests;
};

/** struct store_request - one call in progress */
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
	struct ld_store_decoded pages; /* received so far of a paged read */
	char *after; /* last key of the previous page */
	struct ld_http_call *http;
	struct ld_timer timer; /* deferred refusal, or the next settle read */
	enum ld_status refusal;
	uint64_t deadline_ms;
	size_t attempts;
	int64_t min_revision; /* highest revision seen before the call */
	int64_t era; /* from the response header */
	bool settling;
	struct ld_store_expect expect;
	uint64_t settle_deadline_ms;
	struct backoff settle_backoff;
};

/** store_admit() - LD_OK and counts a call, or why none may be made now */
enum ld_status store_admit(struct ld_store *s, enum ld_store_kind kind);
/** store_url() - URL of @path at the current endpoint; the caller frees it */
char *store_url(const struct ld_store *s, const char *path);
/** store_record_success() - the endpoint responded: reset the back-off */
void store_record_success(struct ld_store *s);
/** store_record_failure() - back off and switch to the next endpoint */
void store_record_failure(struct ld_store *s);
/**
 * store_check_response() - check the cluster and the revision of a response
 * @min_revision: lowest revision that is accepted
 *
 * Return: LD_OK, LD_E_STALE or LD_E_PROTOCOL for another cluster.
 */
enum ld_status store_check_response(
    struct ld_store *s, const struct ld_store_decoded *d, int64_t min_revision);
/** store_parse_era() - set @era if the field is the codec's era field */
void store_parse_era(const struct ld_store *s, struct ld_str name,
    struct ld_str value, int64_t *era);
/** store_observe_era() - record @era if it is later than the highest seen */
void store_observe_era(struct ld_store *s, int64_t era);
/**
 * store_apply_era() - set the era bits in the revisions of a response
 *
 * Return: LD_OK, LD_E_STALE when a later era was seen, LD_E_PROTOCOL.
 */
enum ld_status store_apply_era(
    struct ld_store *s, int64_t era, struct ld_store_decoded *d);
/** store_wire_revision() - the store's own revision, without the era bits */
int64_t store_wire_revision(const struct ld_store *s, int64_t revision);
/** store_full_key() - @key with the prefix; the caller frees it */
char *store_full_key(const struct ld_store *s, struct ld_str key);
/** store_strip_prefix() - remove the prefix from the keys of @d */
void store_strip_prefix(const struct ld_store *s, struct ld_store_decoded *d);

/** store_request_new() - encode a call without starting it */
struct store_request *store_request_new(struct ld_store *s,
    struct ld_store_call *call, const struct ld_store_op *op,
    struct ld_str key);
/** store_request_start() - start the call; refusals come from a timer */
void store_request_start(struct store_request *r);
void store_request_free(struct store_request *r);

/** store_settle_step() - evaluate one read; true when the outcome is final */
bool store_settle_step(const struct store_request *r,
    const struct ld_store_answer *read, struct ld_store_answer *out);

/* ---- confirm.c: whether data of a replica is current ---- */

/**
 * struct store_confirmation - zero-initialise
 * @answered: set before the start; the store's revision has become known
 */
struct store_confirmation {
	struct ld_store_call call; /* first member */
	struct ld_store *store;
	void (*answered)(struct store_confirmation *c);
	bool pending;
	int64_t revision; /* of the store at the read, 0: not known yet */
	uint64_t start_ms; /* of the last read */
	uint64_t next_ms; /* earliest start of the next one */
};

/** store_confirmation_begin() - a replica has served data, maybe old */
void store_confirmation_begin(struct store_confirmation *c, struct ld_store *s);
/** store_confirmation_continue() - read again if the last read has failed */
void store_confirmation_continue(struct store_confirmation *c);
/**
 * store_confirmation_check() - whether data with all changes up to @revision is
 * current as of the read, or none is pending
 */
bool store_confirmation_check(struct store_confirmation *c, int64_t revision);
/** store_confirmation_stop() - nothing is to be confirmed any more */
void store_confirmation_stop(struct store_confirmation *c);

/* ---- Live list: parsing and version checks, without sockets ---- */

/** struct live_doc - a parsed live list; owns its strings */
struct live_doc {
	int64_t version;
	size_t n;
	struct ld_instance *v;
};

/** live_doc_parse() - LD_OK or LD_E_PROTOCOL */
enum ld_status live_doc_parse(struct ld_str json, struct live_doc *out);
void live_doc_free(struct live_doc *d);

/** struct live_state - current list, and lower versions seen since */
struct live_state {
	struct live_doc doc;
	int64_t *leaving_since; /* as doc.v: version that said so, 0: live */
	uint64_t restart_confirm_ms;
	uint64_t lower_since_ms; /* UINT64_MAX: no lower version received */
	int64_t lower_version;
};

enum live_verdict {
	LIVE_ADOPTED, /* replaced the current list */
	LIVE_CONFIRMED, /* same version as the current list */
	LIVE_REFUSED, /* older than the current list */
	LIVE_RESTARTED, /* adopted although its version is lower */
};

void live_state_init(struct live_state *s, uint64_t restart_confirm_ms);
/** live_state_apply() - adopt or refuse a list; takes ownership of @doc */
enum live_verdict live_state_apply(
    struct live_state *s, struct live_doc *doc, uint64_t now_ms);
void live_state_fini(struct live_state *s);

#endif
