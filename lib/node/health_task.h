/*
 * Runs lib/health: probes servers over HTTP and exchanges health reports with
 * the other nodes. Source: lib/node/health_task.c.
 */
#ifndef LD_HEALTH_TASK_H
#define LD_HEALTH_TASK_H

#include "ld_health.h"
#include "ld_http.h"
#include "ld_loop.h"

struct ld_health_task;

/**
 * struct ld_health_task_ops - callbacks of the owner; any may be NULL
 * @view: state of a server, after each probe and report, and for every server
 *	twice a second; @v is valid until the callback returns
 * @publish: a report to publish to the other nodes under @key; they pass it to
 *	ld_health_task_report()
 *
 * Called from the loop or from inside a call by the owner. A callback may only
 * make read-only calls to the task.
 */
struct ld_health_task_ops {
	void (*view)(void *arg, const struct ld_health_view *v);
	void (*publish)(void *arg, struct ld_str key, struct ld_str report);
};

/** struct ld_health_task_counters - totals since the start */
struct ld_health_task_counters {
	uint64_t probes;
	uint64_t probe_failures;
	uint64_t reports_out;
	uint64_t reports_in;
	uint64_t reports_refused; /* stale, malformed or of unknown servers */
};

/**
 * ld_health_task_new() - start without nodes and servers
 * @config: copied; a run of 0 is replaced by a random number
 */
struct ld_health_task *ld_health_task_new(struct ld_loop *loop,
    struct ld_http *http, const struct ld_health_config *config,
    const struct ld_health_task_ops *ops, void *arg);
/** ld_health_task_free() - cancel the probes; @t may be NULL */
void ld_health_task_free(struct ld_health_task *t);

/** ld_health_task_nodes() - set the live entry nodes, including this one */
void ld_health_task_nodes(
    struct ld_health_task *t, const struct ld_health_node *nodes, size_t n);
/** ld_health_task_servers() - set the servers of the live list */
void ld_health_task_servers(
    struct ld_health_task *t, const struct ld_health_server *servers, size_t n);
/** ld_health_task_report() - process a report published by another node */
enum ld_status ld_health_task_report(
    struct ld_health_task *t, struct ld_str report);
/** ld_health_task_call() - see ld_health_call_result() */
void ld_health_task_call(struct ld_health_task *t, struct ld_str address,
    enum ld_health_outcome outcome, uint32_t token_ms);

/** ld_health_task_module() - the decision module, for read-only calls */
const struct ld_health *ld_health_task_module(const struct ld_health_task *t);
const struct ld_health_task_counters *ld_health_task_counters(
    const struct ld_health_task *t);

#endif
