/* State shared by the files of the store stand-in. */
#ifndef STORE_INTERNAL_H
#define STORE_INTERNAL_H

#include "ld_standin.h"

/** struct store_event - one change of one key; the history is never pruned */
struct store_event {
	struct ld_buf key;
	struct ld_buf value;
	int64_t revision;
	int64_t create_revision;
	int64_t version; /* 0: deleted */
	int64_t lease;
};

/** struct store - one store process */
struct store {
	struct ld_loop *loop;
	int64_t revision;
	const char *cluster_id;
	struct store_event *events; /* oldest first */
	size_t event_count;
	struct si_fault fault;
	int64_t stale_revision; /* ranges are answered as of this, or 0 */
};

extern struct store store;

/** struct key_range - [key, end); a NULL end.p means the key alone */
struct key_range {
	struct ld_buf key;
	struct ld_buf end;
};

/* Keys and values, in store_keys.c. */
struct ld_buf store_b64(json_t *j);
json_t *store_to_b64(const struct ld_buf *b);
json_t *store_str64(int64_t n);
int64_t store_int64(json_t *j);
json_t *store_header(void);
struct key_range store_key_range(json_t *j);
void store_key_range_free(struct key_range *r);
bool store_in_range(const struct key_range *r, const struct ld_buf *key);
/** store_last() - newest event of @key as of @revision, NULL if deleted */
const struct store_event *store_last(
    const struct ld_buf *key, int64_t revision);
json_t *store_kv(const struct store_event *e);
/** store_range() - answer of a range request, without the header */
json_t *store_range(json_t *request);
/* Both write at store.revision + 1; the caller commits the revision. */
void store_put(struct ld_buf key, struct ld_buf value, int64_t lease);
int64_t store_delete(const struct key_range *r);
/** store_commit() - make the writes since the last commit one revision */
void store_commit(void);

/* Leases, in store_leases.c. */
bool store_lease_exists(int64_t id);
json_t *store_lease_grant(json_t *request);
json_t *store_lease_keepalive(json_t *request);
/** store_lease_revoke() - NULL when there is no such lease */
json_t *store_lease_revoke(json_t *request);

/* Transactions, in store_txn.c. */
/** store_txn() - NULL when it names a lease that doesn't exist */
json_t *store_txn(json_t *request);

/* Watches, in store_watch.c. */
void store_watch(struct si_req *r, json_t *request);
void store_watch_closed(struct si_req *r);
/** store_watch_deliver() - send each watch its pending events */
void store_watch_deliver(void);
void store_watch_cut_all(void);
size_t store_watch_count(void);

#endif
