/*
 * Replicas of one fabric domain: placement record, plan, control lease and
 * orders. Decisions only: takes events with a time and returns actions.
 * Source: lib/replica.
 */
#ifndef LD_REPLICA_H
#define LD_REPLICA_H

#include "ld_catalogue.h"
#include "ld_common.h"
#include "ld_health.h"

/* ---- Placement record, as the plan uses it ---- */

#define LD_REPLICA_MEMBERS_MAX 64
#define LD_REPLICA_MAX 128
/* Instances of one fabric domain. */
#define LD_REPLICA_INSTANCES_MAX 1024
#define LD_REPLICA_MODELS_MAX 16

/**
 * struct ld_replica_entry - one replica of the record
 * @epoch: changes with every change of members; never reused
 * @members: instance numbers, see ld_replica_instance_address(); the first one
 *	is the head
 */
struct ld_replica_entry {
	char id[LD_HEALTH_NAME_MAX];
	char model[LD_HEALTH_NAME_MAX];
	uint64_t epoch;
	enum ld_replica_state state;
	uint16_t member_count;
	uint16_t members[LD_REPLICA_MEMBERS_MAX];
};

/**
 * struct ld_replica_record - the placement record of one fabric domain
 *
 * The content of struct ld_placement, with numbers for the instances.
 */
struct ld_replica_record {
	uint16_t count;
	struct ld_replica_entry replicas[LD_REPLICA_MAX];
};

/* ---- Plan ---- */

/**
 * struct ld_replica_model - one model of the deployment
 * @size: instances of one replica
 * @wanted: replicas wanted in this fabric domain; more are formed only from
 *	instances that would otherwise stay idle
 * @is_filler: replicas beyond @wanted (fillers) may be formed from idle
 *	instances; they are broken up first when other models need instances
 */
struct ld_replica_model {
	struct ld_str name;
	uint16_t size;
	uint16_t wanted;
	bool is_filler;
};

/**
 * struct ld_replica_plan_config - costs and times of the plan; times in ms
 * @downtime_weight: cost of a replica-minute below the wanted number
 * @stranded_weight: cost of an hour of a healthy but idle accelerator
 * @accelerators: accelerators of one instance
 * @loss_per_day: losses per instance and day, in thousandths
 * @refill_ms: time until a lost instance is back or replaced
 * @drain_ms: longest time that a draining replica gets for its open requests
 * @load_ms: time to load one member from the weight store
 * @settle_ms: time that a recovered instance must stay healthy before it is
 *	used
 * @max_loads: concurrent loads from the weight store
 */
struct ld_replica_plan_config {
	double downtime_weight;
	double stranded_weight;
	uint16_t accelerators;
	uint32_t loss_per_day;
	uint32_t refill_ms;
	uint32_t drain_ms;
	uint32_t load_ms;
	uint32_t settle_ms;
	uint16_t max_loads;
	/* Below 0: the number of spares is computed from the weights. */
	int fixed_spares;
	struct ld_replica_model models[LD_REPLICA_MODELS_MAX];
	size_t model_count;
};

/**
 * ld_replica_spare_count() - spares to keep in a domain of @instances instances
 */
uint16_t ld_replica_spare_count(
    const struct ld_replica_plan_config *c, uint16_t instances);

/* ---- Controller ---- */

/**
 * struct ld_replica_config - settings of one controller; times in ms
 * @self: this node's identity with its incarnation; identifies the lease
 *	holder
 * @fabric: the fabric domain
 * @ttl_ms: lifetime of the control lease
 * @renew_ms: interval between keepalives
 * @margin_ms: allowance for clocks that run at different rates
 * @order_life_ms: time after sending at which an order expires
 * @order_retry_ms: time until an order without effect is sent again
 * @poll_ms: interval at which the first candidate reads the control key
 * @report_ttl_ms: lifetime of a health report
 */
struct ld_replica_config {
	struct ld_str self;
	struct ld_str fabric;
	uint32_t ttl_ms;
	uint32_t renew_ms;
	uint32_t margin_ms;
	uint32_t order_life_ms;
	uint32_t order_retry_ms;
	uint32_t poll_ms;
	uint32_t report_ttl_ms;
	uint64_t seed;
	struct ld_replica_plan_config plan;
};

/** ld_replica_defaults() - default settings, without models */
void ld_replica_defaults(struct ld_replica_config *c);

enum ld_replica_action_type {
	LD_REPLICA_LEASE_GRANT, /* ttl_ms */
	LD_REPLICA_LEASE_KEEPALIVE, /* lease */
	LD_REPLICA_LEASE_REVOKE, /* lease */
	LD_REPLICA_CONTROL_CREATE, /* value, lease; only if the key is absent */
	LD_REPLICA_CONTROL_READ,
	LD_REPLICA_RECORD_READ,
	LD_REPLICA_RECORD_WRITE, /* value, expected; compare-and-swap */
	LD_REPLICA_ORDER, /* order */
	LD_REPLICA_ACTION_COUNT
};

const char *ld_replica_action_name(enum ld_replica_action_type t);

/**
 * struct ld_replica_order - one order to one engine
 * @members: instance numbers, see ld_replica_instance_address()
 */
struct ld_replica_order {
	char address[LD_HEALTH_ADDRESS_MAX];
	char replica[LD_HEALTH_NAME_MAX];
	char model[LD_HEALTH_NAME_MAX];
	uint64_t fence;
	uint64_t epoch;
	uint32_t expires_ms;
	bool load; /* false: unload */
	uint16_t member_count;
	uint16_t members[LD_REPLICA_MEMBERS_MAX];
};

/**
 * struct ld_replica_action - an action for the adapter to carry out
 * @call: number to pass back with the result
 * @value: value of a create or write; valid until the next call into the module
 * @expected: revision of the record to compare with, 0 if it must be absent
 */
struct ld_replica_action {
	enum ld_replica_action_type type;
	uint64_t call;
	uint64_t lease;
	uint32_t ttl_ms;
	struct ld_str value;
	uint64_t expected;
	struct ld_replica_order order;
};

/**
 * struct ld_replica_store_result - outcome of a store call
 * @status: LD_OK, LD_E_CONFLICT (comparison failed), LD_E_NOT_FOUND (no such
 *	key or lease), LD_E_UNAVAILABLE (the call certainly had no effect);
 *	after any other failure the call may have taken effect
 * @lease: id granted, or the lease that a control key is attached to
 * @revision: revision of the last change of the key read or written
 * @value: value of the key read
 */
struct ld_replica_store_result {
	enum ld_status status;
	uint64_t lease;
	uint64_t revision;
	struct ld_str value;
};

/** enum ld_replica_role - state of a controller in the lease protocol */
enum ld_replica_role {
	LD_REPLICA_FOLLOWER, /* another node holds the lease, or none does */
	LD_REPLICA_ACQUIRING,
	LD_REPLICA_WAITING, /* holds it; a predecessor's orders may be valid */
	LD_REPLICA_HOLDER, /* plans and sends orders */
	LD_REPLICA_ROLE_COUNT
};

const char *ld_replica_role_name(enum ld_replica_role r);

struct ld_replica;

/** ld_replica_new() - copies the strings of @config */
struct ld_replica *ld_replica_new(
    const struct ld_replica_config *config, uint64_t now_ms);
void ld_replica_free(struct ld_replica *c);

/** ld_replica_set_nodes() - identities of the live entry nodes, with self */
void ld_replica_set_nodes(
    struct ld_replica *c, const struct ld_str *ids, size_t n, uint64_t now_ms);

/** struct ld_replica_instance - an engine of this fabric in the live list */
struct ld_replica_instance {
	struct ld_str address;
	bool leaving;
};

/** ld_replica_set_instances() - replace the live list of this fabric */
void ld_replica_set_instances(struct ld_replica *c,
    const struct ld_replica_instance *list, size_t n, uint64_t now_ms);

/** ld_replica_on_view() - the current health of one instance */
void ld_replica_on_view(
    struct ld_replica *c, const struct ld_health_view *v, uint64_t now_ms);

void ld_replica_on_store_result(struct ld_replica *c, uint64_t call,
    const struct ld_replica_store_result *r, uint64_t now_ms);

/**
 * ld_replica_on_order_result() - outcome of an order
 * @status: LD_OK; LD_E_STALE when the engine has seen a higher fence; any other
 *	value leaves the effect open, and health reports show it
 */
void ld_replica_on_order_result(struct ld_replica *c, uint64_t call,
    enum ld_status status, uint64_t now_ms);

/** ld_replica_tick() - process timers; call it at least every 200 ms */
void ld_replica_tick(struct ld_replica *c, uint64_t now_ms);

/**
 * ld_replica_resign() - release the lease before a planned stop
 *
 * No order is sent afterwards. The lease is revoked, so that a successor need
 * not wait until it expires.
 */
void ld_replica_resign(struct ld_replica *c, uint64_t now_ms);

bool ld_replica_next_action(
    struct ld_replica *c, struct ld_replica_action *out);

/**
 * ld_replica_may_order() - whether the lease is still valid at @now_ms
 *
 * The adapter calls this again right before it sends the bytes of an order,
 * with the time read at that moment, and drops the order on false.
 */
bool ld_replica_may_order(const struct ld_replica *c,
    const struct ld_replica_order *o, uint64_t now_ms);

enum ld_replica_role ld_replica_role(const struct ld_replica *c);
/** ld_replica_record() - the record that the store confirmed last */
const struct ld_replica_record *ld_replica_record(const struct ld_replica *c);
uint64_t ld_replica_record_revision(const struct ld_replica *c);
/** ld_replica_instance_address() - address of instance @i, "" when unknown */
const char *ld_replica_instance_address(const struct ld_replica *c, uint16_t i);
uint64_t ld_replica_fence(const struct ld_replica *c);

#endif
