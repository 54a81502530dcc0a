/* Shared by the tasks of a node: struct ld_node and the tasks' functions. */
#ifndef NODE_INTERNAL_H
#define NODE_INTERNAL_H

#include "ld_admit.h"
#include "ld_backend.h"
#include "ld_catalogue.h"
#include "ld_entry.h"
#include "ld_http.h"
#include "ld_loop.h"
#include "ld_metrics.h"
#include "ld_node.h"
#include "ld_peers.h"
#include "ld_store.h"
#include "ld_route.h"

struct completion;
struct service_call;
struct booking_task;
struct catalogue_task;
struct edit;
struct fleet;
struct history;
struct placement_task;
struct servers;

/** enum node_phase - lifecycle of a node */
enum node_phase {
	NODE_STARTING,
	NODE_SERVING,
	NODE_DRAINING
};

/** struct ld_node - one serving process */
struct ld_node {
	const struct ld_settings *settings;
	struct ld_loop *loop;
	struct ld_http *http;
	struct ld_store *store;
	struct ld_live *live;
	struct ld_listener *entry;
	struct ld_listener *operators;
	struct ld_catalogue *catalogue; /* in force; NULL if none yet */
	struct catalogue_task *catalogue_task;
	struct fleet *fleet;
	struct edit *edits;
	struct booking_task *booking_task;
	struct placement_task *placement_task;
	struct ld_admit *admit;
	struct ld_route *route;
	struct servers *servers;
	struct completion *completions;
	struct service_call *service_calls;
	uint64_t last_route_call_id; /* last call id passed to lib/route */
	enum node_phase phase;
	uint64_t settled_ms; /* when its share of the limits becomes usable */
	struct ld_metrics *metrics;
	struct ld_burn *burn;
	struct history *history; /* catalogue revisions in force so far */
};

static inline uint64_t
node_now(const struct ld_node *n)
{
	return ld_loop_now(n->loop);
}

static inline void
node_metric_inc(struct ld_node *n, enum ld_metric id)
{
	ld_metrics_add(n->metrics, id, 1);
}

/* ---- Callers (completion.c, service_call.c, caller.c) ---- */

/** caller_open() - open the callers' listener */
enum ld_status caller_open(struct ld_node *n);
/**
 * caller_authenticate() - the catalogue entry of a request's bearer key
 *
 * Return: NULL if the request was refused; a problem has been answered then.
 */
const struct ld_entry *caller_authenticate(
    struct ld_node *n, struct ld_exchange *x);
/** caller_refuse() - answer a request that admission refused */
void caller_refuse(struct ld_node *n, struct ld_exchange *x,
    enum ld_admit_reason reason, uint64_t retry_after_ms);
/** refusal_problem() - the problem document of a refusal */
struct ld_problem refusal_problem(
    enum ld_admit_reason reason, uint64_t retry_after_ms);

/**
 * refusal_cause() - cause under which a refusal counts as a missed objective
 *
 * LD_C_LIMIT, the caller's own limit, doesn't count as a miss.
 */
enum ld_cause refusal_cause(enum ld_admit_reason reason);

/** completion_start() - start processing a completion request */
void completion_start(struct ld_node *n, struct ld_exchange *x);
/** completion_client_disconnected() - cancel and free the request */
void completion_client_disconnected(struct completion *c);
/** completion_client_drained() - resume reading from the engine */
void completion_client_drained(struct completion *c);
/** completions_act() - perform pending actions of admission and routing */
void completions_act(struct ld_node *n);

/** service_start() - start processing a request below /services/ */
void service_start(struct ld_node *n, struct ld_exchange *x);
/**
 * service_client_disconnected() - cancel the call
 *
 * A call that isn't idempotent and was already sent continues, so that its
 * outcome is recorded.
 */
void service_client_disconnected(struct service_call *c);
/** services_close() - cancel and free all service calls */
void services_close(struct ld_node *n);
/**
 * service_admission_decided() - apply a decision of admission
 *
 * Return: false when no service call has the ticket of @d.
 */
bool service_admission_decided(
    struct ld_node *n, const struct ld_admit_decision *d);

/* ---- Operators (operator.c) ---- */

enum ld_status operator_open(struct ld_node *n);
/** edit_start() - PUT of the catalogue (edit.c) */
void edit_start(struct ld_node *n, struct ld_exchange *x);
/** edit_client_disconnected() - the edit continues without an answer */
void edit_client_disconnected(struct edit *e);
/** edits_close() - cancel and free all edits in progress */
void edits_close(struct ld_node *n);

/* ---- Other nodes (fleet.c) ---- */

/** fleet_open() - bind and join; fleet_start() updates the decision modules */
enum ld_status fleet_open(struct ld_node *n);
void fleet_start(struct fleet *f);
/** fleet_listed() - the live list changed */
void fleet_listed(struct fleet *f);
/** fleet_leave() - announce to the other nodes that this node leaves */
void fleet_leave(struct fleet *f);
void fleet_close(struct fleet *f);
/** fleet_self() - this node's id for admission */
uint64_t fleet_self(const struct fleet *f);
/** fleet_self_name() - this node's name with its incarnation */
void fleet_self_name(const struct fleet *f, struct ld_buf *out);
/**
 * fleet_send_booking() - send a message to another node's booking task
 * @name: of the node, with its incarnation
 */
void fleet_send_booking(
    struct fleet *f, struct ld_str name, struct ld_str bytes);
void fleet_send_admit(struct fleet *f, uint64_t to, struct ld_str bytes);
void fleet_offer(struct fleet *f, int64_t revision, struct ld_str bytes);
void fleet_confirm(struct fleet *f, int64_t revision);
/**
 * fleet_unconfirmed() - nodes that have not confirmed a catalogue revision
 * @names: set to their names, to be freed with fleet_names_free()
 */
size_t fleet_unconfirmed(
    struct fleet *f, int64_t revision, struct ld_str **names);
void fleet_names_free(struct ld_str *names, size_t n);
/** fleet_publish() - publish a record of this node to all nodes */
void fleet_publish(struct fleet *f, enum ld_peers_kind kind, struct ld_str key,
    struct ld_str value);
void fleet_gauges(const struct fleet *f, struct ld_metrics *m);

/* ---- Catalogue (catalogue_task.c) ---- */

void catalogue_open(struct ld_node *n);
void catalogue_close(struct ld_node *n);
/** catalogue_members() - set the live nodes; @counted includes dead ones */
void catalogue_members(struct ld_node *n, const struct ld_fresh_node *nodes,
    size_t count, size_t counted);
/**
 * catalogue_peers() - set the state of the peers
 * @acked_ms: send time of the newest ping that a peer answered
 * @others: live peers
 * @reported: those of them that reported a catalogue revision
 * @newest: highest reported revision
 */
void catalogue_peers(struct ld_node *n, uint64_t acked_ms, size_t others,
    size_t reported, int64_t newest);
void catalogue_from_peer(
    struct ld_node *n, int64_t revision, struct ld_str bytes);
/** catalogue_written() - this node wrote a new revision */
void catalogue_written(
    struct ld_node *n, int64_t revision, struct ld_str bytes);
/** catalogue_admits() - whether callers may be admitted now */
bool catalogue_admits(const struct ld_node *n);
unsigned int catalogue_alarms(const struct ld_node *n);
bool catalogue_is_delegate(const struct ld_node *n);

/* ---- Platform (follow.c) ---- */

/** follow_open() - open the clients of the store and the live list */
void follow_open(struct ld_node *n);
/** follow_start() - pass the current live list to routing */
void follow_start(struct ld_node *n);
/** follow_zone() - failure domain of an address, empty when not listed */
struct ld_str follow_zone(struct ld_node *n, const char *address);

/* ---- Placement records (placement_task.c) ---- */

void placement_open(struct ld_node *n);
void placement_close(struct ld_node *n);
/** placement_from_peer() - a delegate published a placement record */
void placement_from_peer(
    struct ld_node *n, struct ld_str fabric, struct ld_str value);
/** placement_zones_changed() - zones in the live list may have changed */
void placement_zones_changed(struct ld_node *n);
void follow_close(struct ld_node *n);

/* ---- Servers (servers.c) ---- */

/** struct servers_node - a live node; @name includes its incarnation */
struct servers_node {
	struct ld_str address;
	struct ld_str domain;
	struct ld_str name;
};

void servers_open(struct ld_node *n);
/** servers_resign() - release the control leases */
void servers_resign(struct ld_node *n);
void servers_close(struct ld_node *n);
/** servers_nodes() - set the live nodes */
void servers_nodes(
    struct ld_node *n, const struct servers_node *nodes, size_t count);
/** servers_listed() - the live list changed */
void servers_listed(struct ld_node *n, const struct ld_live_list *list);
/** servers_report() - another node published a health report */
void servers_report(struct ld_node *n, struct ld_str report);
/**
 * servers_call_ended() - report the result of this node's call to an engine
 * @token_ms: mean time between tokens, 0 if unknown
 */
void servers_call_ended(struct ld_node *n, const char *address,
    enum ld_status status, uint32_t token_ms);

/* ---- Bookings (booking_task.c) ---- */

void booking_open(struct ld_node *n);
void booking_close(struct ld_node *n);
/** booking_members() - set the live nodes */
void booking_members(
    struct ld_node *n, const struct servers_node *nodes, size_t count);
/** booking_message() - message from the booking task of another node */
void booking_message(
    struct ld_node *n, struct ld_str from, struct ld_str bytes);
/** booking_pending_count() - open calls and outcomes not yet recorded */
size_t booking_pending_count(const struct ld_node *n);

/* ---- Metrics and history for operators (gauges.c, history.c) ---- */

/** node_update_gauges() - update gauges and copy counters of other modules */
void node_update_gauges(struct ld_node *n);

struct history *history_new(void);
void history_free(struct history *h);
/** history_add() - a catalogue came into force; @before may be NULL */
void history_add(struct history *h, uint64_t now_ms,
    const struct ld_catalogue *before, const struct ld_catalogue *after);
/** history_write() - write the revisions as JSON, newest first */
void history_write(
    const struct history *h, uint64_t now_ms, struct ld_buf *out);

/** node_drain() - start the drain; idempotent */
void node_drain(struct ld_node *n);

#endif
