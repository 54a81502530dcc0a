/* State shared by the files of lib/route. */
#ifndef LD_ROUTE_INTERNAL_H
#define LD_ROUTE_INTERNAL_H

#include "ld_route.h"

#define ROUTE_BUCKETS 512 /* of the instance and call tables; power of two */

/** struct instance - state of one backend server */
struct instance {
	struct instance *next; /* in its bucket */
	char *address;
	char *replica; /* in its last report; NULL: none */
	uint64_t epoch;
	uint64_t at_ms; /* when its last report was made, 0: none yet */
	uint64_t dead_at_ms; /* reports made up to then are invalid, 0: never */
	bool ready;
	bool leaving;
};

/** struct call - one call in progress on a replica */
struct call {
	struct call *next; /* in its bucket */
	struct call *prev_in_replica, *next_in_replica;
	struct replica *replica;
	uint64_t id;
	uint64_t started_ms;
	bool resume_queued;
};

/** struct replica - a placed replica, or a removed one with open calls */
struct replica {
	struct replica *next;
	char *id;
	char *model;
	char *domain;
	char *fabric;
	uint64_t hash;
	uint64_t epoch;
	enum ld_route_state state;
	struct instance **members;
	size_t member_count;
	bool removed; /* no longer placed */
	/* Last load report. */
	uint64_t running, waiting, slots;
	uint64_t load_at_ms; /* 0: none yet */
	uint64_t unreported_calls; /* own calls started after the load report */
	struct call *calls;
};

/** struct server - one server of a plain service */
struct server {
	char *address;
	char *domain;
	bool leaving;
	uint64_t running;
	uint64_t avoid_until_ms; /* set when it did not answer */
};

/** struct service - a plain service and its servers */
struct service {
	struct service *next;
	char *name;
	struct server *servers;
	size_t count;
};

/** struct fabric - current revision of a fabric domain's placement record */
struct fabric {
	struct fabric *next;
	char *name;
	uint64_t revision;
};

/** struct queued_action - one action in the queue */
struct queued_action {
	struct queued_action *next;
	uint64_t call;
	char *replica;
};

/** struct retry_budget - token bucket in thousandths of a retry */
struct retry_budget {
	uint64_t millitokens;
	uint64_t filled_ms;
	bool initialized;
};

struct ld_route {
	char *domain;
	enum ld_route_policy policy;
	struct ld_rand rand;
	struct replica *replicas;
	struct instance *instances[ROUTE_BUCKETS];
	struct call *calls[ROUTE_BUCKETS];
	struct fabric *fabrics;
	struct service *services;
	struct queued_action *head;
	struct queued_action **tail;
	struct queued_action *last_action;
	struct retry_budget budget;
	uint64_t round_robin_next;
};

struct instance *ld_route_get_instance(
    struct ld_route *r, struct ld_str address);
struct replica *ld_route_find_replica(
    const struct ld_route *r, struct ld_str id);
/** ld_route_replica_fit() - whether its answers may be relayed at @now_ms */
bool ld_route_replica_fit(const struct replica *p, uint64_t now_ms);
/** ld_route_replica_accepts_calls() - whether it may take a new call */
bool ld_route_replica_accepts_calls(const struct replica *p, uint64_t now_ms);
/** ld_route_replica_load() - estimated calls per slot; 1 is full */
double ld_route_replica_load(const struct replica *p);
/** ld_route_free_removed() - free removed replicas without calls */
void ld_route_free_removed(struct ld_route *r);
void ld_route_calls_free(struct ld_route *r);
void ld_route_services_free(struct ld_route *r);

#endif
