/* Shared by the parts of a relay. */
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

/* The key that the holder of the control lease keeps in the store. */
#define RELAY_CONTROL_KEY "lavenderdrift/control"
/* Each node keeps its address for the other nodes below this. */
#define RELAY_NODES_PREFIX "lavenderdrift/nodes/"
/* The members of each group that serves, written by the holder. */
#define RELAY_GROUPS_PREFIX "lavenderdrift/groups/"

struct control;
struct counts;
struct feed;
struct follow;
struct leader;
struct mesh;
struct ready;
struct records;
struct request;
struct share;
struct usage;

/** struct service_budget - repeats of one service */
struct service_budget {
	struct service_budget *next;
	char *service;
	struct ld_repeat_budget budget;
};

/** struct relay - one process */
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
	struct leader *leader;
	struct control *control;
	struct mesh *mesh;
	struct share *share;
	struct follow *follow;
	struct records *records;
	struct ld_routes *routes; /* NULL until one is known */
	struct ld_servers *servers;
	struct request *requests;
	size_t request_count;
	struct service_budget *budgets;
	struct ld_dispatch_bias bias;
	struct ld_rand rand;
	uint64_t checked_ms; /* last look at the groups' streams */
	uint64_t watched_since_ms; /* this process was late before */
	bool stopping;
	bool refusing; /* the stop has begun too long ago to take requests */
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

/* ---- listen.c ---- */

enum ld_status listen_open(struct relay *r);
/** listen_refuse() - an answer of our own: a status, a reason, when to return */
void listen_refuse(struct relay *r, struct ld_exchange *x, unsigned int code,
    const char *reason, uint64_t retry_after_ms);

/* ---- request.c ---- */

/** struct request_facts - what the route and the client say of a request */
struct request_facts {
	const struct ld_route_rule *rule;
	const struct ld_account *account; /* NULL on an anonymous route */
	struct ld_str service;
};

/** request_start() - take over an exchange */
void request_start(
    struct relay *r, struct ld_exchange *x, const struct request_facts *facts);
void request_gone(struct request *q);
void request_drained(struct request *q);
void requests_close(struct relay *r);
/** requests_check() - notice groups that stand still (silent.c) */
void requests_check(struct relay *r);

/** requests_alarm() - a peer says that a group stands still (silent.c) */
void requests_alarm(struct relay *r, struct ld_str group, int64_t epoch);

/* ---- feed.c ---- */

void feed_open(struct relay *r);
void feed_close(struct relay *r);
/** feed_keys_current() - whether a key may still be relied on */
bool feed_keys_current(const struct relay *r);
/** feed_age_ms() - age of what is known, UINT64_MAX before the first read */
uint64_t feed_age_ms(const struct relay *r);
/** feed_engine_service() - the service whose servers form groups, or NULL */
const struct ld_service_spec *feed_engine_service(const struct relay *r);
/** feed_settled() - every server that lives had the time to write its entry */
bool feed_settled(const struct relay *r);
void feed_tick(struct relay *r);
/** feed_control_absent() - the control key does not exist, as told last */
bool feed_control_absent(const struct relay *r);

/** feed_relied_ms() - keys are relied on while no older, UINT64_MAX: always */
uint64_t feed_relied_ms(const struct relay *r);
/** feed_revision() - all changes of the store up to it are known, 0: none */
int64_t feed_revision(const struct relay *r);
/** feed_can_watch() - peers may follow the store through this node */
bool feed_can_watch(const struct relay *r);
/** feed_watches() - this node's own watch of the store goes on */
bool feed_watches(const struct relay *r);
/**
 * feed_take() - take changes that a peer's watch was told; the own one rests
 *
 * Return: LD_OK, or LD_E_STALE when they don't join what is known.
 */
enum ld_status feed_take(
    struct relay *r, const struct ld_store_changes *changes);
/** feed_control_holder() - its name as told last, empty: nobody holds it */
struct ld_str feed_control_holder(const struct relay *r);
/** feed_watch_store() - the own watch goes on, if it rests */
void feed_watch_store(struct relay *r);

/* ---- share.c: tells peers what this node's watch was told ---- */

enum ld_status share_open(struct relay *r);
void share_close(struct relay *r);
void share_tick(struct relay *r);
/** share_read_anew() - the store was read whole at @revision */
void share_read_anew(struct relay *r, int64_t revision);
void share_told(struct relay *r, const struct ld_store_changes *changes);
/** share_is_used() - a peer asked a moment ago */
bool share_is_used(const struct relay *r);

/* ---- follow.c: follows the store through a peer ---- */

void relay_follow_open(struct relay *r);
void relay_follow_close(struct relay *r);
void follow_tick(struct relay *r);
/** follow_is_direct() - the store is followed through the holder of control */
bool follow_is_direct(const struct relay *r);

/* ---- leader.c ---- */

void leader_open(struct relay *r);
void leader_close(struct relay *r);
void leader_tick(struct relay *r);
/** leader_resign() - give the lease up before a stop, or after a refusal */
void leader_resign(struct relay *r);
/** leader_holds() - the lease surely holds at this moment */
bool leader_holds(const struct relay *r);

/* ---- control.c ---- */

void control_open(struct relay *r);
void control_close(struct relay *r);
void control_tick(struct relay *r);
/** control_turn() - at the end of a turn of the loop */
void control_turn(struct relay *r);
struct ld_groups *control_groups(struct relay *r);
/** control_servers_changed() - look at the groups in this turn */
void control_servers_changed(struct relay *r);
/** control_alarm() - streams of a group stand still */
void control_alarm(struct relay *r, struct ld_str group, int64_t epoch);

/* ---- mesh.c ---- */

enum ld_status mesh_open(struct relay *r);
void mesh_close(struct relay *r);
void mesh_tick(struct relay *r);
/**
 * mesh_listed() - another node, or this one, has an entry in the store
 * @value: "ADDRESS PERMILLE DOMAIN": its datagrams and its changes, its part
 *	of a core, its failure domain
 */
void mesh_listed(struct relay *r, struct ld_str name, struct ld_str value);
void mesh_unlisted(struct relay *r, struct ld_str name);
/** mesh_read_anew() - all entries that exist are told from here on */
void mesh_read_anew(struct relay *r);
/** mesh_renew() - renew the own entry soon: the store was away */
void mesh_renew(struct relay *r);
/** mesh_enter_anew() - write the own entry soon, under a new lease */
void mesh_enter_anew(struct relay *r);
/** mesh_alarm() - tell the holder of the control lease of a silent group */
void mesh_alarm(struct relay *r, const char *group, int64_t epoch);
/** mesh_has_larger() - a listed node has a larger share of a core than this */
bool mesh_has_larger(const struct relay *r);
/** struct mesh_delegate - a peer whose watch of the store can be followed */
struct mesh_delegate {
	char name[LD_GROUP_NAME_MAX];
	char address[32]; /* "IP:PORT" */
	bool holds_control; /* as told last */
};

/**
 * mesh_find_delegate() - the node through which this one follows the store
 *
 * Return: false when that is this node or none, or when the node failed of late.
 */
bool mesh_find_delegate(const struct relay *r, struct mesh_delegate *out);
/** mesh_has_aggregator() - another node aggregates for this one */
bool mesh_has_aggregator(const struct relay *r);
/** mesh_drop_unlisted() - peers without an entry that tell nothing any more */
void mesh_drop_unlisted(struct relay *r);
/** mesh_avoid() - that node is no delegate until then */
void mesh_avoid(struct relay *r, const char *name, uint64_t until_ms);
/** mesh_nodes() - nodes that are listed, this one included */
size_t mesh_nodes(const struct relay *r);

/* ---- records.c: members of groups that serve, in the store ---- */

void records_open(struct relay *r);
/** records_close() - while the store's client is still there */
void records_close(struct relay *r);
void records_tick(struct relay *r);
/** records_read_anew() - all that exist are told from here on */
void records_read_anew(struct relay *r);
/** records_told() - of @group; @kv NULL: it was deleted */
void records_told(
    struct relay *r, struct ld_str group, const struct ld_store_kv *kv);

/* ---- counts.c ---- */

void counts_open(struct relay *r);
void counts_close(struct relay *r);
/** counts_write() - in the text exposition format */
void counts_write(const struct relay *r, struct ld_buf *out);

/* ---- usage.c ---- */

void usage_open(struct relay *r);
void usage_close(struct relay *r);
/** usage_tick() - a line in the log on what was used since the last one */
void usage_tick(struct relay *r);

/* ---- ready.c ---- */

enum ld_status ready_open(struct relay *r);
void ready_close(struct relay *r);

#endif
