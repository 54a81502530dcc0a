/* A stand-in for the users' store, in the test's own loop: items in memory. */
#ifndef LD_KV_STORE_H
#define LD_KV_STORE_H

#include "ld_entry.h"

struct ld_kv_store;

/** ld_kv_store_new() - listen on @port of the loopback address */
struct ld_kv_store *ld_kv_store_new(struct ld_loop *loop, uint16_t port);
void ld_kv_store_free(struct ld_kv_store *s);
/** ld_kv_store_put() - write a key, as an operator or a server would */
void ld_kv_store_put(struct ld_kv_store *s, const char *key, const char *value);
void ld_kv_store_delete(struct ld_kv_store *s, const char *key);
/** ld_kv_store_silence() - accept requests without answering, or resume */
void ld_kv_store_silence(struct ld_kv_store *s, bool silent);
/** ld_kv_store_mute() - watches end after their wait without events, or no longer */
void ld_kv_store_mute(struct ld_kv_store *s, bool muted);
/** ld_kv_store_page_watches() - an answer to a watch holds @most events; 0: all */
void ld_kv_store_page_watches(struct ld_kv_store *s, size_t most);
/** ld_kv_store_refuse_reads() - answer 503 to all but serializable reads */
void ld_kv_store_refuse_reads(struct ld_kv_store *s, bool refused);
/** ld_kv_store_forget() - drop the history: watches get 410 once */
void ld_kv_store_forget(struct ld_kv_store *s);
/** ld_kv_store_mark() - save the state for ld_kv_store_return_older() */
void ld_kv_store_mark(struct ld_kv_store *s);
/**
 * ld_kv_store_return_older() - all writes since the mark are lost, in a later era
 *
 * Revisions are given out again; a watch from one that was lost gets 410.
 */
void ld_kv_store_return_older(struct ld_kv_store *s);
/** ld_kv_store_keep_copy() - serializable reads are answered as of now from
 * here on */
void ld_kv_store_keep_copy(struct ld_kv_store *s);
/** ld_kv_store_copy_reads() - how often that copy was read */
unsigned int ld_kv_store_copy_reads(const struct ld_kv_store *s);
/** ld_kv_store_has() - whether a key exists */
bool ld_kv_store_has(const struct ld_kv_store *s, const char *key);
/**
 * ld_kv_store_is_followed() - the newest write of the test has been received
 *
 * True once a watch goes on after that write: its client has the event. Meant for
 * a store with one watching process.
 */
bool ld_kv_store_is_followed(const struct ld_kv_store *s);
/** ld_kv_store_expire_leases() - leases that aren't renewed end */
void ld_kv_store_expire_leases(struct ld_kv_store *s);
/** ld_kv_store_value() - the value of a key, NULL if it doesn't exist */
const char *ld_kv_store_value(const struct ld_kv_store *s, const char *key);

#endif
