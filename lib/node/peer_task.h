/*
 * Runs lib/peers over TCP: listens, connects, keeps the authenticated sessions
 * and passes the time of the loop. Source: lib/node/peer_task.c.
 */
#ifndef LD_PEER_TASK_H
#define LD_PEER_TASK_H

#include "ld_loop.h"
#include "ld_peers.h"

struct ld_peer_task;

/**
 * struct ld_peer_task_config - copied by ld_peer_task_new()
 * @listen: "IP:PORT" to bind; outgoing connections use the same source IP
 * @advertise: "IP:PORT" at which other nodes reach this one
 * @key: shared key of all peers, 16 to 64 bytes
 */
struct ld_peer_task_config {
	struct ld_str listen;
	struct ld_str advertise;
	struct ld_str domain;
	struct ld_str region;
	const struct ld_str *seeds;
	size_t seed_count;
	struct ld_str key;
};

/**
 * struct ld_peer_task_ops - callbacks of the owner; any may be NULL
 *
 * Called from the loop, never from inside a call by the owner. Pointers and
 * strings passed to a callback are valid until it returns. A callback may call
 * any function of the task except ld_peer_task_free().
 */
struct ld_peer_task_ops {
	void (*member)(
	    void *arg, const struct ld_peers_member *m, bool removed);
	void (*record)(void *arg, const struct ld_peers_record *r);
	void (*catalogue)(void *arg, uint64_t revision, struct ld_str bytes);
	void (*direct)(void *arg, struct ld_str from, uint64_t from_incarnation,
	    uint32_t kind, struct ld_str bytes);
};

/** struct ld_peer_task_counters - totals since the start, except gauges */
struct ld_peer_task_counters {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t refused_auth; /* wrong key, altered or reflected frame */
	uint64_t refused_replay;
	uint64_t refused_protocol; /* malformed, out of order, too large */
	uint64_t handshake_timeouts;
	uint64_t slow_closed; /* links closed due to a full output queue */
	uint64_t accepts;
	uint64_t connections; /* gauge */
	struct ld_peers_counters peers;
};

/**
 * ld_peer_task_new() - listen and join the other nodes through the seeds
 * @out: set on success
 *
 * Return: LD_OK, LD_E_INVALID for an invalid address or key, LD_E_IO.
 */
enum ld_status ld_peer_task_new(struct ld_loop *loop,
    const struct ld_peer_task_config *config,
    const struct ld_peer_task_ops *ops, void *arg, struct ld_peer_task **out);
/**
 * ld_peer_task_free() - close all connections immediately
 *
 * Call ld_peer_task_leave() some time before it to announce the departure.
 */
void ld_peer_task_free(struct ld_peer_task *t);

/**
 * ld_peer_task_peers() - the decision module, for read-only calls
 *
 * Calls that change its state must go through the task, which then performs
 * the resulting actions.
 */
const struct ld_peers *ld_peer_task_peers(const struct ld_peer_task *t);
uint64_t ld_peer_task_incarnation(const struct ld_peer_task *t);

/* As the functions of the same names in ld_peers.h, at the loop's time. */
enum ld_status ld_peer_task_publish(struct ld_peer_task *t,
    enum ld_peers_kind kind, struct ld_str key, struct ld_str value);
enum ld_status ld_peer_task_send(struct ld_peer_task *t, struct ld_str to,
    uint64_t to_incarnation, uint32_t kind, struct ld_str bytes);
enum ld_status ld_peer_task_offer_catalogue(
    struct ld_peer_task *t, uint64_t revision, struct ld_str bytes);
void ld_peer_task_confirm_catalogue(struct ld_peer_task *t, uint64_t revision);
void ld_peer_task_confirm_gone(struct ld_peer_task *t, struct ld_str address);
/**
 * ld_peer_task_leave() - announce to the other nodes that this node leaves
 *
 * The messages are sent from the loop, so don't free the task at once.
 */
void ld_peer_task_leave(struct ld_peer_task *t);
void ld_peer_task_counters(
    const struct ld_peer_task *t, struct ld_peer_task_counters *out);

#endif
