/*
 * The task that joins lib/health with HTTP: probes of servers in real time,
 * and reports to and from the other nodes. Source: lib/node/health_task.c.
 */
#ifndef LD_HEALTH_TASK_H
#define LD_HEALTH_TASK_H

#include "ld_health.h"
#include "ld_http.h"
#include "ld_loop.h"

struct ld_health_task;

/**
 * struct ld_health_task_ops - what the owner wants to know; any may be NULL
 * @view: what is known of a server: after each probe and report, and of every
 *	server twice a second. Lasts for the call.
 * @publish: a report for the other nodes, to be published under @key and
 *	handed to their ld_health_task_report()
 *
 * Called from the loop, or from inside a call that brought the news. A
 * callback may not call into the task, but for its read-only calls.
 */
struct ld_health_task_ops {
	void (*view)(void *arg, const struct ld_health_view *v);
	void (*publish)(void *arg, struct ld_str key, struct ld_str report);
};

/** struct ld_health_task_counters - since the start */
struct ld_health_task_counters {
	uint64_t probes;
	uint64_t probe_failures;
	uint64_t reports_out;
	uint64_t reports_in;
	uint64_t reports_refused; /* stale, malformed or on unknown servers */
};

/**
 * ld_health_task_new() - start without nodes and servers
 * @config: with run 0, a random one is drawn
 */
struct ld_health_task *ld_health_task_new(struct ld_loop *loop,
    struct ld_http *http, const struct ld_health_config *config,
    const struct ld_health_task_ops *ops, void *arg);
/** ld_health_task_free() - cancels the probes; NULL is allowed */
void ld_health_task_free(struct ld_health_task *t);

/** ld_health_task_nodes() - the entry nodes that are alive, this one too */
void ld_health_task_nodes(
    struct ld_health_task *t, const struct ld_health_node *nodes, size_t n);
/** ld_health_task_servers() - the servers of the live list */
void ld_health_task_servers(
    struct ld_health_task *t, const struct ld_health_server *servers, size_t n);
/** ld_health_task_report() - a report that another node published */
enum ld_status ld_health_task_report(
    struct ld_health_task *t, struct ld_str report);
/** ld_health_task_call() - see ld_health_call_result() */
void ld_health_task_call(struct ld_health_task *t, struct ld_str address,
    enum ld_health_outcome outcome, uint32_t token_ms);

/** ld_health_task_module() - the decision module, for its read-only calls */
const struct ld_health *ld_health_task_module(const struct ld_health_task *t);
const struct ld_health_task_counters *ld_health_task_counters(
    const struct ld_health_task *t);

#endif
