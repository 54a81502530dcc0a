/* Internal declarations of the controller of one fabric domain. */
#ifndef REPLICA_INTERNAL_H
#define REPLICA_INTERNAL_H

#include "ld_replica.h"

#define NO_INSTANCE UINT16_MAX

/** struct instance - state of one engine as seen by the controller */
struct instance {
	char address[LD_HEALTH_ADDRESS_MAX];
	bool used; /* the slot is in use */
	bool listed; /* in the live list */
	bool leaving;
	struct ld_health_view view;
	bool view_received;
	uint64_t fresh_until_ms; /* when the last fresh report expires */
	uint64_t holds_since_ms; /* first report of its replica and epoch */
	uint64_t healthy_since_ms; /* 0 while not healthy */
	uint64_t stale_since_ms; /* 0 while fresh */
	uint64_t straggler_since_ms; /* 0 while not a straggler */
	uint32_t recent_failures; /* lengthen the settling time */
	bool restarted; /* incarnation changed while in its replica */
	/* Model whose weights the current incarnation holds, "" for none. */
	char weights[LD_HEALTH_NAME_MAX];
	/* Last order sent to the instance. */
	uint64_t order_call;
	uint64_t order_ms; /* 0: none */
	uint64_t order_epoch;
	bool order_loads_weights; /* from the weight store */
};

/** struct instances - slots of all instances; unreferenced ones are reused */
struct instances {
	struct instance *v;
	uint16_t count;
};

uint16_t instances_find(const struct instances *t, struct ld_str address);
/** instances_intern() - slot of @address, NO_INSTANCE when all are in use */
uint16_t instances_intern(struct instances *t, struct ld_str address,
    const struct ld_replica_record *record);

/** struct plan_input - input of one planning step */
struct plan_input {
	const struct ld_replica_plan_config *config;
	const struct instances *instances;
	const char *fabric;
	uint32_t report_ttl_ms;
	/* When each replica of the record entered its epoch and state. */
	const uint64_t *since_ms;
	uint64_t next_epoch;
	uint64_t now_ms;
};

/**
 * plan_step() - compute the next record
 * @record: the confirmed record, modified in place
 *
 * Return: whether the record changed and has to be written.
 */
bool plan_step(const struct plan_input *p, struct ld_replica_record *record);

/* State of one instance, for the plan and the orders. */
bool instance_fresh(const struct instance *in, uint64_t now_ms);
bool instance_holds(const struct instance *in, const struct ld_replica_entry *r,
    uint64_t now_ms);
/** instance_lost() - dead, stale for @lost_ms, or stale and not listed */
bool instance_lost(
    const struct instance *in, uint32_t lost_ms, uint64_t now_ms);
bool instance_has_weights(const struct instance *in, const char *model);
uint32_t instance_settle_ms(
    const struct instance *in, const struct ld_replica_plan_config *c);

/**
 * plan_is_warm_spare() - whether an entry only preloads weights on a spare
 *
 * Such an entry stays forming in the record and never serves. It is removed
 * when its member is needed.
 */
bool plan_is_warm_spare(
    const struct ld_replica_plan_config *c, const struct ld_replica_entry *e);
const struct ld_replica_model *plan_model(
    const struct ld_replica_plan_config *c, const char *name);
size_t plan_loads_missing(const struct instances *t,
    const struct ld_replica_entry *r, uint64_t now_ms);

/* ---- Record ---- */

/** record_decode() - parse a value of the store; interns its addresses */
enum ld_status record_decode(
    struct ld_str value, struct instances *t, struct ld_replica_record *out);
void record_encode(const struct ld_replica_record *r, const struct instances *t,
    const char *fabric, struct ld_buf *out);
struct ld_replica_entry *record_find(
    struct ld_replica_record *r, const char *id);
/** record_replica_of() - replica that instance @i is a member of, or NULL */
const struct ld_replica_entry *record_replica_of(
    const struct ld_replica_record *r, uint16_t i);

/* ---- Controller ---- */

/** struct pending - a store call in progress */
struct pending {
	uint64_t call; /* 0: none */
	enum ld_replica_action_type type;
	uint64_t sent_ms;
};

struct ld_replica {
	struct ld_replica_config config;
	char self[LD_HEALTH_ADDRESS_MAX];
	char fabric[LD_HEALTH_NAME_MAX];
	char holder[2 * LD_HEALTH_ADDRESS_MAX]; /* value of the control key */
	struct ld_rand rand;
	struct instances instances;
	bool live_list_received;
	size_t rank; /* of this node among the candidates for the lease */
	bool resigned;

	/* Lease. */
	enum ld_replica_role role;
	struct pending lease_call;
	uint64_t attempt;
	uint64_t lease;
	uint64_t deadline_ms; /* the lease is certainly valid until then */
	uint64_t renewed_ms; /* when the last keepalive was sent */
	uint64_t fence;
	uint64_t takeover_ms; /* when a predecessor's orders have expired */
	uint64_t next_poll_ms;
	uint32_t failures; /* consecutive failed store calls */

	/* Record. */
	struct pending record_call;
	struct ld_replica_record record;
	uint64_t since_ms[LD_REPLICA_MAX];
	uint64_t revision;
	uint64_t highest_epoch; /* in any record or health report */
	bool record_confirmed; /* read or written under the current lease */
	bool record_exists;
	uint64_t next_record_ms;
	struct ld_replica_record draft; /* content of the write in progress */
	struct ld_buf draft_json;
	struct ld_buf holder_value;

	/* Queue of actions for the adapter. */
	struct ld_replica_action *actions;
	size_t action_head;
	size_t action_count;
	size_t action_cap;
	uint64_t next_call;
};

struct ld_replica_action *action_push(
    struct ld_replica *c, enum ld_replica_action_type type);
/** lease_tick() - poll the key, renew the lease, step down on expiry */
void lease_tick(struct ld_replica *c, uint64_t now_ms);
void lease_result(struct ld_replica *c, enum ld_replica_action_type type,
    uint64_t sent_ms, const struct ld_replica_store_result *r, uint64_t now_ms);
/** lease_valid() - whether orders may be sent at @now_ms */
bool lease_valid(const struct ld_replica *c, uint64_t now_ms);
void lease_step_down(struct ld_replica *c, const char *why, uint64_t now_ms);
void record_tick(struct ld_replica *c, uint64_t now_ms);
void record_result(struct ld_replica *c, enum ld_replica_action_type type,
    const struct ld_replica_store_result *r, uint64_t now_ms);
/** orders_tick() - send orders where engines differ from the record */
void orders_tick(struct ld_replica *c, uint64_t now_ms);
uint32_t backoff_ms(struct ld_replica *c, uint32_t base_ms);

#endif
