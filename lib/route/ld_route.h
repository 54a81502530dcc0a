/*
 * Routing: chooses the replica or service server for a call, determines which
 * replicas are fit, and limits retries. Source: lib/route.
 *
 * now_ms is the current time of one monotonic clock in ms. Strings passed in
 * are copied; strings in results are valid until the next event.
 */
#ifndef LD_ROUTE_H
#define LD_ROUTE_H

#include "ld_common.h"

/** A member's health report is used for this long after it was made. */
#define LD_ROUTE_HEALTH_FRESH_MS 3000

/** enum ld_route_policy - all but the first are for comparison in benches */
enum ld_route_policy {
	LD_ROUTE_TWO_CHOICES, /* affinity, else the better of two by load */
	LD_ROUTE_RANDOM,
	LD_ROUTE_ROUND_ROBIN,
	LD_ROUTE_LEAST_REPORTED,
	LD_ROUTE_AFFINITY
};

/** struct ld_route_config - settings, fixed for the lifetime of a process */
struct ld_route_config {
	struct ld_str domain; /* own failure domain */
	uint64_t seed;
	enum ld_route_policy policy;
};

enum ld_route_state {
	LD_ROUTE_FORMING,
	LD_ROUTE_SERVING,
	LD_ROUTE_DRAINING
};

/** struct ld_route_replica - one replica of a placement record */
struct ld_route_replica {
	struct ld_str id;
	struct ld_str model;
	struct ld_str domain; /* failure domain of its head */
	uint64_t epoch;
	enum ld_route_state state;
	const struct ld_str *members; /* addresses, the head first */
	size_t member_count;
};

/** struct ld_route_health - a member's own report of its replica and epoch */
struct ld_route_health {
	struct ld_str address;
	struct ld_str replica; /* empty: none */
	uint64_t epoch;
	bool ready;
	uint64_t at_ms; /* when it was made, by this node's clock */
};

/** struct ld_route_load - a replica's own report of its load */
struct ld_route_load {
	struct ld_str replica;
	uint64_t running;
	uint64_t waiting;
	uint64_t slots;
	uint64_t at_ms; /* when it was made, by this node's clock */
};

/** struct ld_route_request - input to the choice of a replica */
struct ld_route_request {
	struct ld_str model;
	uint64_t prefix; /* hash of the prompt's prefix; 0: no affinity */
	struct ld_str excluded; /* replica that just failed; may be empty */
};

/** struct ld_route_choice - where to send a call */
struct ld_route_choice {
	struct ld_str replica;
	uint64_t epoch;
	struct ld_str address; /* the head */
	bool cross_domain;
	bool preferred; /* the replica that the prefix maps to */
};

/** struct ld_route_server - one server of a plain service */
struct ld_route_server {
	struct ld_str address;
	struct ld_str domain;
	bool leaving;
};

/** struct ld_route_action - a call whose replica is no longer fit */
struct ld_route_action {
	uint64_t call; /* to be stopped now and resumed on another replica */
	struct ld_str replica;
};

struct ld_route;

struct ld_route *ld_route_new(const struct ld_route_config *c);
void ld_route_free(struct ld_route *r);

/* ---- Events ---- */

/**
 * ld_route_set_placement() - apply the placement record of one fabric domain
 * @revision: revision of the record; LD_E_STALE if older than the current one
 *
 * Replicas of @fabric that are not in the record are removed.
 */
enum ld_status ld_route_set_placement(struct ld_route *r, uint64_t now_ms,
    struct ld_str fabric, uint64_t revision,
    const struct ld_route_replica *replicas, size_t n);
/** ld_route_report_health() - ignores a report older than the last one */
void ld_route_report_health(
    struct ld_route *r, uint64_t now_ms, const struct ld_route_health *h);
/** ld_route_report_load() - ignores a report older than the last one */
void ld_route_report_load(
    struct ld_route *r, uint64_t now_ms, const struct ld_route_load *l);
/**
 * ld_route_set_leaving() - set whether an instance is leaving, by the live list
 *
 * A replica with a leaving member takes no new calls; its open calls continue.
 */
void ld_route_set_leaving(
    struct ld_route *r, uint64_t now_ms, struct ld_str address, bool leaving);
/** ld_route_mark_dead() - a member is dead: its reports so far are invalid */
void ld_route_mark_dead(
    struct ld_route *r, uint64_t now_ms, struct ld_str address);

/* ---- Choice of a replica ---- */

/**
 * ld_route_pick() - choose a replica for one call
 * @choice: set on success
 *
 * Return: LD_OK; LD_E_NOT_FOUND when no replica of the model is placed;
 * LD_E_UNAVAILABLE when none may take a call.
 */
enum ld_status ld_route_pick(struct ld_route *r, uint64_t now_ms,
    const struct ld_route_request *req, struct ld_route_choice *choice);
/** ld_route_fit() - whether answers of this replica and epoch may be relayed */
bool ld_route_fit(const struct ld_route *r, uint64_t now_ms,
    struct ld_str replica, uint64_t epoch);
/**
 * ld_route_started() - call @call (unique, not 0) was sent to a replica
 * ld_route_finished() - the call ended in any way; ignores unknown calls
 */
void ld_route_started(struct ld_route *r, uint64_t now_ms,
    struct ld_str replica, uint64_t epoch, uint64_t call);
void ld_route_finished(struct ld_route *r, uint64_t now_ms, uint64_t call);
/** ld_route_tick() - queue actions for calls on replicas no longer fit */
void ld_route_tick(struct ld_route *r, uint64_t now_ms);
/**
 * ld_route_next_action() - dequeue the oldest action; false when there is none
 */
bool ld_route_next_action(struct ld_route *r, struct ld_route_action *out);
/** ld_route_capacity() - slots of all replicas that may take new calls */
uint64_t ld_route_capacity(const struct ld_route *r, uint64_t now_ms);

/* ---- Plain services ---- */

/** ld_route_set_servers() - replace the servers of service @name */
void ld_route_set_servers(struct ld_route *r, uint64_t now_ms,
    struct ld_str name, const struct ld_route_server *servers, size_t n);
/**
 * ld_route_service_pick() - choose a server; never one that is leaving
 * @excluded: server that just failed; chosen only when there is no other
 * @address: set on success
 *
 * Return: LD_OK, LD_E_NOT_FOUND (no such service) or LD_E_UNAVAILABLE.
 */
enum ld_status ld_route_service_pick(struct ld_route *r, uint64_t now_ms,
    struct ld_str name, struct ld_str excluded, struct ld_str *address);
void ld_route_service_started(
    struct ld_route *r, struct ld_str name, struct ld_str address);
/** ld_route_service_finished() - @failed: the server did not answer */
void ld_route_service_finished(struct ld_route *r, uint64_t now_ms,
    struct ld_str name, struct ld_str address, bool failed);

/* ---- Retries ---- */

/** ld_route_count_request() - count a first attempt, which fills the budget */
void ld_route_count_request(struct ld_route *r, uint64_t now_ms);
/**
 * ld_route_reserve_retry() - reserve a retry of a failed call on a new
 * connection
 * @idempotent: whether the call is; others are never retried
 * @deadline_ms: the caller's deadline
 *
 * Return: LD_OK when one retry was taken from the budget; LD_E_INVALID when not
 * idempotent; LD_E_TIMEOUT past the deadline; LD_E_LIMIT without budget.
 */
enum ld_status ld_route_reserve_retry(
    struct ld_route *r, uint64_t now_ms, bool idempotent, uint64_t deadline_ms);

#endif
