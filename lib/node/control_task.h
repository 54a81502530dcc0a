/*
 * Runs lib/replica for one fabric domain: performs its store calls and sends
 * its orders to the engines. Source: lib/node/control_task.c.
 */
#ifndef LD_CONTROL_TASK_H
#define LD_CONTROL_TASK_H

#include "ld_http.h"
#include "ld_loop.h"
#include "ld_store.h"
#include "ld_replica.h"

struct ld_control_task;

/** struct ld_control_task_counters - totals since the start */
struct ld_control_task_counters {
	uint64_t store_calls;
	uint64_t store_failures;
	uint64_t orders;
	uint64_t orders_refused; /* 412: the engine has seen a higher fence */
	uint64_t orders_failed;
	uint64_t orders_dropped; /* the lease had expired */
};

/**
 * ld_control_task_new() - follow the control lease and acquire it when due
 * @config: copied; config->ttl_ms is rounded down to whole seconds
 */
struct ld_control_task *ld_control_task_new(struct ld_loop *loop,
    struct ld_http *http, struct ld_store *store,
    const struct ld_replica_config *config);
/**
 * ld_control_task_free() - cancel calls in progress; @t may be NULL
 *
 * Call ld_control_task_resign() some time before it to release the lease.
 */
void ld_control_task_free(struct ld_control_task *t);

/** ld_control_task_nodes() - set the ids of the live nodes, with config.self */
void ld_control_task_nodes(
    struct ld_control_task *t, const struct ld_str *ids, size_t n);
/** ld_control_task_instances() - set this fabric's engines in the live list */
void ld_control_task_instances(struct ld_control_task *t,
    const struct ld_replica_instance *list, size_t n);
/** ld_control_task_view() - health of a server; other fabrics' are ignored */
void ld_control_task_view(
    struct ld_control_task *t, const struct ld_health_view *v);
/** ld_control_task_resign() - stop sending orders and revoke the lease */
void ld_control_task_resign(struct ld_control_task *t);
/** ld_control_task_busy() - whether a store call or order is in progress */
bool ld_control_task_busy(const struct ld_control_task *t);

/** ld_control_task_module() - the decision module, for read-only calls */
const struct ld_replica *ld_control_task_module(
    const struct ld_control_task *t);
const struct ld_control_task_counters *ld_control_task_counters(
    const struct ld_control_task *t);

#endif
