/* Declarations shared by the sources of lib/relay. */
#ifndef RELAY_INTERNAL_H
#define RELAY_INTERNAL_H

#include <ev.h>

#include "ld_dialect.h"
#include "ld_dispatch.h"
#include "ld_entry.h"
#include "ld_groups.h"
#include "ld_http.h"
#include "ld_metrics.h"
#include "ld_relay.h"
#include "ld_store.h"

/* Key written by the leader (the node that holds the control lease); its value
 * is the node's name. */
#define RELAY_CONTROL_KEY "lavenderdrift/control"
/* Each node publishes its address for the other nodes below this prefix. */
#define RELAY_NODES_PREFIX "lavenderdrift/nodes/"
/* Members of each serving group, written by the leader. */
#define RELAY_GROUPS_PREFIX "lavenderdrift/groups/"
/* The store's era, once what was lost with an older copy is written again. */
#define RELAY_ERA_KEY "lavenderdrift/era"
/* Requests and parts of prompts in quarantine, written by the leader. */
#define RELAY_QUARANTINE_PREFIX "lavenderdrift/quarantine/"
/* Crashes of those that are not in quarantine yet, the same. */
#define RELAY_SUSPECTS_PREFIX "lavenderdrift/suspects/"
/* Claimed trials: PART-NUMBER, written once by the node that claims it. */
#define RELAY_TRIALS_PREFIX "lavenderdrift/trials/"

/* Largest head of a server's answer that is passed on, bytes. */
#define RELAY_ANSWER_HEAD_MAX_BYTES ((size_t)16 * 1024)

/* Names the node that forwards a request, how many runs are left to it, and the
 * configuration by which it was accepted. */
#define RELAY_FORWARDED_FIELD "Relay-Forwarded"

struct control;
struct counts;
struct era_record;
struct feed;
struct follow;
struct isolation;
struct leader;
struct mesh;
struct ready;
struct crashing_requests;
struct leader_records;
struct request;
struct server_entries;
struct changes_server;
struct usage;

/*
 * The answers of a node to which a request is forwarded. Three kinds:
 * - a server's, passed on. It echoes the attempt's id.
 * - RELAY_CODE_OTHER_NODE: this node does not take the request, for a reason of its
 *   own. It has not run; the next node may take it. Retry-After: for how long this
 *   one takes none; else for some seconds.
 * - any other with LD_FIELD_NOT_EXECUTED, or a 5xx: it ends the request. No server has
 *   run it in the first case, one may have in the second.
 * What is none of these says nothing about the request, as no answer does.
 */
#define RELAY_CODE_OTHER_NODE 421

/** struct service_budget - retry budget of one service */
struct service_budget {
	struct service_budget *next;
	char *service;
	struct ld_retry_budget budget;
};

/** struct relay - state of one relay process */
struct relay {
	const char *file;
	struct ld_relay_settings *settings;
	const struct ld_dialect *dialect;
	struct ld_loop *loop;
	struct ld_http *http; /* to backend servers */
	struct ld_http *store_http;
	struct ld_store *store;
	struct ld_listener *entry;
	struct ld_handler entry_handler;
	struct ready *ready;
	struct feed *feed;
	struct era_record *era_record;
	struct server_entries *server_entries;
	struct leader *leader;
	struct control *control;
	struct mesh *mesh;
	struct changes_server *changes_server;
	struct follow *follow;
	struct leader_records *group_records;
	struct crashing_requests *crashing_requests;
	struct crash_check *crash_checks; /* in progress */
	struct crash_records *crash_records;
	struct isolation *isolation;
	struct ld_routes *routes; /* NULL before the first read */
	struct ld_servers *servers;
	struct request *requests;
	size_t request_count;
	uint64_t memory_logged_ms; /* see memory_relieve() */
	size_t send_bytes; /* held of servers' responses, see memory.c */
	struct service_budget *budgets;
	struct ld_dispatch_bias prediction_bias;
	struct ld_dispatch_usual usual;
	uint64_t compared_ms; /* see pace.c */
	struct ld_rand rand;
	uint64_t silence_checked_ms; /* last check of the groups' streams */
	uint64_t start_ms; /* of the process */
	bool replaces_process; /* of this node, within the life of its entry */
	uint64_t on_time_since_ms; /* no late check since then */
	uint64_t limits_logged_ms; /* see server_limits_tick() */
	bool stopping;
	uint64_t stop_ends_ms; /* if stopping: what is not answered is ended */
	bool refusing; /* the notice period of the stop has passed */
	struct ld_metrics *metrics;
	struct counts *counts;
	struct usage *usage;
};

static inline uint64_t
relay_now(const struct relay *r)
{
	return ld_loop_now(r->loop);
}

static inline void
relay_count(struct relay *r, enum ld_metric id)
{
	ld_metrics_add(r->metrics, id, 1);
}

/* ---- memory.c ---- */

/** memory_limit_bytes() - for the bodies of requests and answers together */
size_t memory_limit_bytes(const struct relay *r);

/** memory_held_bytes() - what they take now */
size_t memory_held_bytes(const struct relay *r);

/* ---- listen.c ---- */

enum ld_status listen_open(struct relay *r);
/** listen_forwarded() - accept a request that another node forwards */
void listen_forwarded(struct relay *r, struct ld_exchange *x);
/** listen_is_forwarded() - the request was marked by the node that forwards it */
bool listen_is_forwarded(struct ld_exchange *x);
/**
 * struct forwarded_mark - what the node that forwards a request says of it
 * @runs_left: of the bound on its runs
 * @config: version of the configuration by which it was accepted, 0: not said
 */
struct forwarded_mark {
	uint32_t runs_left;
	int64_t config;
};

/**
 * listen_read_forwarded() - read the mark: "NODE RUNS config=VERSION", behind which
 * later versions may add words; earlier ones send less
 *
 * Return: false if it is of an unknown version.
 */
bool listen_read_forwarded(const char *value, struct forwarded_mark *out);
/**
 * listen_refuse() - refuse the request: status, reason, when to retry
 *
 * Other nodes would refuse it as well.
 */
void listen_refuse(struct relay *r, struct ld_exchange *x, unsigned int code,
    const char *reason, uint64_t retry_after_ms);
/**
 * listen_refuse_here() - refuse it for the state of this node; another may take it
 *
 * A client gets 503 and Retry-After, a node that forwards it RELAY_CODE_OTHER_NODE.
 */
void listen_refuse_here(struct relay *r, struct ld_exchange *x,
    const char *reason, uint64_t retry_after_ms);

/* ---- request.c ---- */

/** struct request_routing - what the route and the client specify */
struct request_routing {
	const struct ld_route_rule *rule;
	const struct ld_account *account; /* NULL on an anonymous route */
	struct ld_str service;
	bool forwarded; /* by another node */
	struct forwarded_mark mark; /* if so */
};

/** request_kind_may_repeat() - requests of the route may run more than once */
bool request_kind_may_repeat(const struct ld_route_rule *rule);
/** request_deadline_ms() - the earlier one of the client's and the route's */
uint64_t request_deadline_ms(const struct relay *r, struct ld_exchange *x,
    const struct ld_route_rule *rule);
/** request_start() - take ownership of an exchange */
void request_start(struct relay *r, struct ld_exchange *x,
    const struct request_routing *facts);
void request_client_disconnected(struct request *q);
void request_client_drained(struct request *q);
/** requests_fail_unbegun() - end all requests whose answer hasn't begun */
void requests_fail_unbegun(struct relay *r, const char *why);
void requests_close(struct relay *r);
/**
 * silent_groups_check() - detect groups that make no progress (silent_groups.c)
 */
void silent_groups_check(struct relay *r);

/**
 * silent_groups_on_alarm() - a peer reports a silent group (silent_groups.c)
 */
void silent_groups_on_alarm(
    struct relay *r, struct ld_str group, int64_t epoch);

/* ---- isolation.c: this node reaches no server, while other nodes do ---- */

void isolation_open(struct relay *r);
void isolation_close(struct relay *r);
void isolation_tick(struct relay *r);
/** isolation_is_active() - requests are forwarded to other nodes */
bool isolation_is_active(const struct relay *r);
/** isolation_is_suspected() - failed sends may be this node's fault */
bool isolation_is_suspected(const struct relay *r);
/**
 * isolation_note_failed() - see ld_reach_failed(); the other functions likewise
 */
void isolation_note_failed(struct relay *r, const struct ld_server *server,
    bool connected, uint64_t since_ms);
void isolation_note_answered(struct relay *r, uint64_t sent_ms);
void isolation_note_heard(struct relay *r);

/* ---- server_limits.c: rates that servers grant to all nodes together ---- */

/**
 * server_limits_count_call() - an order or a probe is sent to @s, NULL if it is
 * unknown: its limit holds for these as well
 */
void server_limits_count_call(struct relay *r, struct ld_server *s);
/**
 * server_limits_log() - the limit of @s has changed
 * @source: id of the request whose answer said so, or "peer"
 */
void server_limits_log(
    struct relay *r, const struct ld_server *s, const char *source);
/** server_limits_tick() - periodically log the use of the limits in force */
void server_limits_tick(struct relay *r);

/* ---- server_entries.c ---- */

void server_entries_open(struct relay *r);
void server_entries_close(struct relay *r);
/**
 * server_entries_put() - the entry of the server @id was written
 *
 * An entry that can't be read names no server: one that @id named before counts
 * as unlisted, on this node as on one that starts now.
 * @doubt_until_ms: a server that is unlisted before then may be listed again,
 *	and is used until then
 */
void server_entries_put(struct relay *r, struct ld_str id,
    const struct ld_store_kv *kv, uint64_t doubt_until_ms);
/** server_entries_remove() - no entry of the server @id exists */
void server_entries_remove(struct relay *r, struct ld_str id, const char *why,
    uint64_t doubt_until_ms);

/* ---- era_record.c ---- */

void era_record_open(struct relay *r);
void era_record_close(struct relay *r);
/** era_record_apply() - the record as read; NULL: there is none */
void era_record_apply(struct relay *r, const struct ld_store_kv *kv);
/** era_record_confirms() - it names the era of the store's last answer */
bool era_record_confirms(const struct relay *r);
/** era_record_tick() - called while nothing of the store is in doubt */
void era_record_tick(struct relay *r);

/* ---- feed.c ---- */

void feed_open(struct relay *r);
void feed_close(struct relay *r);
/** feed_keys_current() - whether API keys are recent enough to be accepted */
bool feed_keys_current(const struct relay *r);
/**
 * feed_age_ms() - age of the local copy of the store, UINT64_MAX before the
 * first read
 */
uint64_t feed_age_ms(const struct relay *r);
/** feed_engine_service() - the service whose servers form groups, or NULL */
const struct ld_service_spec *feed_engine_service(const struct relay *r);
/** feed_is_settled() - every live server has had time to write its entry */
bool feed_is_settled(const struct relay *r);
void feed_tick(struct relay *r);
/** feed_control_is_absent() - the control key is known to be absent */
bool feed_control_is_absent(const struct relay *r);

/**
 * feed_key_validity_ms() - API keys are accepted up to this age of the local
 * copy, UINT64_MAX: always
 */
uint64_t feed_key_validity_ms(const struct relay *r);
/**
 * feed_restored_revision() - of the first read since the store was restored from an
 * older copy, 0 if that didn't happen in this process's time
 *
 * What was written by then may be of the older copy.
 */
int64_t feed_restored_revision(const struct relay *r);
/** feed_revision() - revision up to which all changes were applied, 0: none */
int64_t feed_revision(const struct relay *r);
/** feed_can_delegate() - peers may follow the store through this node */
bool feed_can_delegate(const struct relay *r);
/** feed_is_watching() - this node's own watch of the store is active */
bool feed_is_watching(const struct relay *r);
/**
 * feed_apply_changes() - apply changes received by a peer's watch; the own
 * watch is paused
 *
 * Return: LD_OK, or LD_E_STALE when they do not follow on the local revision.
 */
enum ld_status feed_apply_changes(
    struct relay *r, const struct ld_store_changes *changes);
/**
 * feed_control_holder() - name of the node that holds the control lease, as
 * last read; empty: none
 */
struct ld_str feed_control_holder(const struct relay *r);
/** feed_poll_now() - end the pause between two polls of the watch */
void feed_poll_now(struct relay *r);
/** feed_resume_watch() - resume the own watch if it is paused */
void feed_resume_watch(struct relay *r);

/* ---- changes_server.c: serves changes of the store to peers ---- */

enum ld_status changes_server_open(struct relay *r);
void changes_server_close(struct relay *r);
void changes_server_tick(struct relay *r);
/** changes_server_reset() - the store was read in full at @revision */
void changes_server_reset(struct relay *r, int64_t revision);
void changes_server_add(
    struct relay *r, const struct ld_store_changes *changes);
/** changes_server_set_bounds() - of the requests that peers forward */
void changes_server_set_bounds(struct relay *r, size_t max_body_bytes,
    uint64_t idle_timeout_ms, uint64_t head_timeout_ms);
/** changes_server_set_closing() - see ld_listener_set_closing() */
void changes_server_set_closing(struct relay *r);
/** changes_server_open_exchanges() - see ld_listener_open_exchanges() */
size_t changes_server_open_exchanges(const struct relay *r);
/** changes_server_held_bytes() - see ld_listener_held_bytes() */
size_t changes_server_held_bytes(const struct relay *r);
/** changes_server_in_use() - a peer sent a request recently */
bool changes_server_in_use(const struct relay *r);

/* ---- evacuations.c: failure domains that the operators evacuate ---- */

/**
 * evacuation_apply() - begin or end the evacuation of a failure domain
 * @revision: of the store, for the log
 */
void evacuation_apply(
    struct relay *r, struct ld_str zone, bool evacuated, int64_t revision);
/**
 * evacuations_end_others() - end those that are not among the keys of a full
 * read
 */
void evacuations_end_others(
    struct relay *r, const struct ld_store_kv *kvs, size_t n, int64_t revision);

/* ---- follow.c: follows the store through a peer ---- */

void relay_follow_open(struct relay *r);
void relay_follow_close(struct relay *r);
void follow_tick(struct relay *r);
/** follow_is_direct() - the delegate is the leader */
bool follow_is_direct(const struct relay *r);

/* ---- leader.c ---- */

void leader_open(struct relay *r);
void leader_close(struct relay *r);
void leader_tick(struct relay *r);
/**
 * leader_resign() - release the lease: stop, outdated fence, or no epoch left
 */
void leader_resign(struct relay *r);
/** leader_holds() - the lease is certain to be held at this moment */
bool leader_holds(const struct relay *r);

/* ---- control.c ---- */

void control_open(struct relay *r);
void control_close(struct relay *r);
void control_tick(struct relay *r);
/** control_end_turn() - call at the end of each turn of the loop */
void control_end_turn(struct relay *r);
struct ld_groups *control_groups(struct relay *r);
/**
 * control_order_result() - what an answer says about an order
 *
 * A status that the protocol doesn't define for orders (429, 5xx) says nothing
 * about the server's state, like no answer.
 */
enum ld_order_result control_order_result(const struct ld_http_result *r);
/** control_servers_changed() - evaluate the groups in this turn */
void control_servers_changed(struct relay *r);
/** control_alarm() - a group is silent */
void control_alarm(struct relay *r, struct ld_str group, int64_t epoch);

/* ---- mesh.c ---- */

enum ld_status mesh_open(struct relay *r);
void mesh_close(struct relay *r);
void mesh_tick(struct relay *r);
/** mesh_apply_settings() - @r->settings was replaced, and the old one freed */
void mesh_apply_settings(struct relay *r);
/**
 * mesh_peer_put() - the store has an entry for @name; this node's own is
 * ignored
 * @value: "ADDRESS PERMILLE DOMAIN": address for datagrams and changes, share
 *	of a core in permille, failure domain
 */
void mesh_peer_put(struct relay *r, struct ld_str name, struct ld_str value);
void mesh_peer_deleted(struct relay *r, struct ld_str name);
/** mesh_snapshot_begin() - all existing entries follow */
void mesh_snapshot_begin(struct relay *r);
/** mesh_entry_renew_soon() - renew the own entry soon after a store outage */
void mesh_entry_renew_soon(struct relay *r);
/** mesh_entry_recreate() - write the own entry soon, under a new lease */
void mesh_entry_recreate(struct relay *r);
/** mesh_alarm() - report a silent group to the leader */
void mesh_alarm(struct relay *r, const char *group, int64_t epoch);
/** mesh_finding() - send a finding about a part of prompts to the other nodes */
void mesh_finding(struct relay *r, const struct ld_finding *f);
/** mesh_has_larger_node() - a listed node has a larger share of a core */
bool mesh_has_larger_node(const struct relay *r);
/** struct mesh_delegate - a peer to follow the store through, or to forward to */
struct mesh_delegate {
	char name[LD_GROUP_NAME_MAX];
	char address[32]; /* "IP:PORT" */
	bool holds_control; /* as last read from the store */
};

/**
 * mesh_find_helper() - a node to forward a request to, drawn at random
 *
 * Return: false when there is none.
 */
bool mesh_find_helper(struct relay *r, struct mesh_delegate *out);
/** mesh_exclude_helper() - forward no request to that node until then */
void mesh_exclude_helper(struct relay *r, const char *name, uint64_t until_ms);
/** mesh_is_node_address() - a listed node has that address */
bool mesh_is_node_address(const struct relay *r, struct in_addr address);
/**
 * mesh_find_delegate() - the node through which this one follows the store
 *
 * Return: false when that is this node, there is none, or it failed recently.
 */
bool mesh_find_delegate(const struct relay *r, struct mesh_delegate *out);
/** mesh_has_aggregator() - another node aggregates for this one */
bool mesh_has_aggregator(const struct relay *r);
/** mesh_drop_unlisted() - remove peers that have no entry and are silent */
void mesh_drop_unlisted(struct relay *r);
/** mesh_exclude_delegate() - do not use that node as delegate until then */
void mesh_exclude_delegate(
    struct relay *r, const char *name, uint64_t until_ms);
/** mesh_node_count() - number of listed nodes, including this one */
size_t mesh_node_count(const struct relay *r);

/* ---- group_records.c: members of serving groups, in the store ---- */

void group_records_open(struct relay *r);
/** group_records_close() - call before the store's client is freed */
void group_records_close(struct relay *r);

/* ---- pace.c: how fast each server answers ---- */

/** pace_tick() - compare the servers */
void pace_tick(struct relay *r);

/* ---- warmup.c: servers that are cold ---- */

/** warmup_note_entry() - an entry of @s was read, which may say that it is cold */
void warmup_note_entry(struct relay *r, struct ld_server *s);
/**
 * warmup_note_return() - the evacuation of @zone ends: its servers may have become
 * cold before it, which their entries show later
 */
void warmup_note_return(struct relay *r, struct ld_str zone);

/* ---- crashing_requests.c: requests that crash the servers they reach ---- */

void crashing_requests_open(struct relay *r);
/** crashing_requests_close() - call before the store's client is freed */
void crashing_requests_close(struct relay *r);
void crashing_requests_tick(struct relay *r);
/** crashing_requests_receive() - a finding of another node */
void crashing_requests_receive(struct relay *r, const struct ld_finding *f);

/**
 * struct crash_suspect - a request that a server broke off or left unanswered
 * @parts_pending: its prompt's shared parts are to be suspected if the server has
 *	crashed; else they are already, or the answer had gone on
 * @begun: see ld_quarantine_crashed()
 * @is_silent: its connection hung, and was not closed by the server
 * @reported: to crashing_requests_crashed()
 * @born_ms: start of the server's process when the request was sent, 0: unknown
 * @at_ms: when it was broken off, or its silence was noted
 * @quiet_ms: last byte of its answer, or when it was sent
 */
struct crash_suspect {
	struct ld_prompt prompt;
	bool parts_pending;
	bool begun;
	bool is_silent;
	bool reported;
	int64_t born_ms;
	uint64_t at_ms;
	uint64_t quiet_ms;
};

/** crashing_requests_crashed() - the server of a request has crashed */
void crashing_requests_crashed(
    struct relay *r, const struct crash_suspect *request, uint32_t server);
/**
 * crashing_requests_survived() - it has not, as was reported: its process answers
 */
void crashing_requests_survived(
    struct relay *r, const struct crash_suspect *request);

/* ---- crash_records.c: what is known of them, in the store ---- */

void crash_records_open(struct relay *r, struct ld_quarantine *qn);
void crash_records_close(struct relay *r);
void crash_records_tick(struct relay *r);
/** crash_records_note_crash() - this node has seen a further crash of @part */
void crash_records_note_crash(struct relay *r, uint64_t part);
/** crash_records_claim() - claim trial @number of @part; the quarantine is told */
void crash_records_claim(struct relay *r, uint64_t part, unsigned int number);
/** crash_records_quarantined() - the records of what is in quarantine */
struct leader_records *crash_records_quarantined(const struct relay *r);
/** crash_records_suspects() - the records of crashes */
struct leader_records *crash_records_suspects(const struct relay *r);

/* ---- crash_check.c ---- */

/**
 * crash_check_start() - @s broke off a request, or is silent
 * @request: copied; reported to crashing_requests_crashed() if the server has
 *	crashed
 */
void crash_check_start(
    struct relay *r, struct ld_server *s, const struct crash_suspect *request);
void crash_checks_close(struct relay *r);

/* ---- counts.c ---- */

void counts_open(struct relay *r);
void counts_close(struct relay *r);
/** counts_write() - append in the text exposition format */
void counts_write(const struct relay *r, struct ld_buf *out);

/* ---- usage.c ---- */

void usage_open(struct relay *r);
void usage_close(struct relay *r);
/** usage_tick() - periodically log the resources used since the last line */
void usage_tick(struct relay *r);

/* ---- ready.c ---- */

enum ld_status ready_open(struct relay *r);
void ready_close(struct relay *r);

#endif
