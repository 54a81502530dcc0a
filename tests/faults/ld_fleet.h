/* A small fleet for a session: stand-ins, replicas and entry instances. */
#ifndef LD_FLEET_H
#define LD_FLEET_H

#include "ld_session.h"

#define LD_FLEET_ENGINES_MAX 16
#define LD_FLEET_NODES_MAX 8
#define LD_FLEET_TOKEN "operator-token-of-the-session"
#define LD_FLEET_SHOP_KEY "shop-key" /* paid */
#define LD_FLEET_QUAY_KEY "quay-key" /* late */

/**
 * struct ld_fleet_options - 0 selects the default in brackets
 * @replicas: [2]
 * @members: instances of each replica [2]
 * @nodes: entry instances [2]
 * @token_ms: time per token of the engines [20]
 * @slots: requests an engine runs at once [16]
 * @service_through: put a forward stand-in in front of the plain service
 */
struct ld_fleet_options {
	int replicas;
	int members;
	int nodes;
	int token_ms;
	int slots;
	bool service_through;
};

/** struct ld_fleet - the session and its processes */
struct ld_fleet {
	struct ld_session s;
	struct ld_fleet_options o;
	struct ld_proc *store;
	struct ld_proc *list;
	struct ld_proc *service;
	struct ld_proc *forward; /* NULL without service_through */
	char forward_control[32];
	struct ld_proc *engines[LD_FLEET_ENGINES_MAX]; /* replica by replica */
	struct ld_proc *nodes[LD_FLEET_NODES_MAX];
	char operators[LD_FLEET_NODES_MAX][32];
	char peers[LD_FLEET_NODES_MAX][32];
};

/** ld_fleet_begin() - start everything and wait until all nodes serve */
void ld_fleet_begin(
    struct ld_fleet *f, const char *name, const struct ld_fleet_options *o);
/** ld_fleet_end() - stop everything */
void ld_fleet_end(struct ld_fleet *f);

/** ld_fleet_start_node() - start node @i, or restart it after its end */
void ld_fleet_start_node(struct ld_fleet *f, int i);
/** ld_fleet_wait_ready() - wait until node @i is ready with all slots */
bool ld_fleet_wait_ready(struct ld_fleet *f, int i);
/**
 * ld_fleet_wait_serving() - wait until node @i serves both callers
 *
 * The prompt of these completions is "warm-up".
 */
bool ld_fleet_wait_serving(struct ld_fleet *f, int i);
/** ld_fleet_lookup() - status code of a lookup of @lot through node @i */
long ld_fleet_lookup(
    struct ld_fleet *f, int i, const char *key, const char *lot);
/** ld_fleet_status() - GET /status of node @i; caller decrefs */
json_t *ld_fleet_status(struct ld_fleet *f, int i);
/** ld_fleet_operate() - a call on the operators' listener of node @i */
void ld_fleet_operate(struct ld_fleet *f, int i, const char *method,
    const char *path, const char *header, const char *body, struct ld_reply *r);
/** ld_fleet_engine() - member @m of replica @r */
struct ld_proc *ld_fleet_engine(struct ld_fleet *f, int r, int m);
/** ld_fleet_set_list() - all instances, those in @leaving as leaving, without
 * those in @gone; both are arrays of addresses ended by NULL, or NULL */
void ld_fleet_set_list(
    struct ld_fleet *f, const char *const *leaving, const char *const *gone);
/** ld_fleet_catalogue() - the catalogue with this limit for the shop */
void ld_fleet_catalogue(unsigned int shop_requests_per_s, struct ld_buf *out);
/** ld_store_write() - put a key below the prefix, past all nodes */
void ld_store_write(struct ld_fleet *f, const char *key, const char *value);
/** ld_ledger_count() - how many entries of a ledger hold @value at @member */
unsigned int ld_ledger_count(struct ld_session *s, const char *address,
    const char *member, const char *value);

#endif
