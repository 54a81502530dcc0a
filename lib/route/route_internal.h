/* State shared by the files of lib/route. */
#ifndef LD_ROUTE_INTERNAL_H
#define LD_ROUTE_INTERNAL_H

#include "ld_route.h"

#define ROUTE_BUCKETS 512 /* of the instance and call tables; power of two */

/** struct instance - what is known of one backend server */
struct instance {
	struct instance *next; /* in its bucket */
	char *address;
	char *replica; /* of its last report; NULL: holds none */
	uint64_t epoch;
	uint64_t at_ms; /* of its last report, 0: none yet */
	uint64_t missing_ms; /* reports up to then don't count, 0: none */
	bool ready;
	bool leaving;
};

/** struct call - one call in progress on a replica */
struct call {
	struct call *next; /* in its bucket */
	struct call *prev_of, *next_of; /* of the same replica */
	struct replica *replica;
	uint64_t id;
	uint64_t started_ms;
	bool told; /* its resume action was queued */
};

/** struct replica - one placed replica, or a forgotten one with calls */
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
	bool gone; /* not placed any more */
	/* Last load report. */
	uint64_t running, waiting, slots;
	uint64_t load_at_ms; /* 0: none yet */
	uint64_t own_since; /* own calls that the report can't hold yet */
	struct call *calls;
};

/** struct server - one server of a plain service */
struct server {
	char *address;
	char *domain;
	bool leaving;
	uint64_t running;
	uint64_t avoid_until_ms; /* it gave no answer lately */
};

/** struct service - a plain service and its servers */
struct service {
	struct service *next;
	char *name;
	struct server *servers;
	size_t count;
};

/** struct fabric - revision of the placement record held */
struct fabric {
	struct fabric *next;
	char *name;
	uint64_t revision;
};

/** struct queued - one action in the queue */
struct queued {
	struct queued *next;
	uint64_t call;
	char *replica;
};

/** struct retry_budget - token bucket in thousandths of a retry */
struct retry_budget {
	uint64_t milli;
	uint64_t filled_ms;
	bool started;
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
	struct queued *head;
	struct queued **tail;
	struct queued *taken;
	struct retry_budget budget;
	uint64_t turn; /* of round robin */
};

struct instance *ld_route_instance(struct ld_route *r, struct ld_str address);
struct replica *ld_route_find(const struct ld_route *r, struct ld_str id);
/** ld_route_replica_fit() - may its answers be relayed at @now_ms? */
bool ld_route_replica_fit(const struct replica *p, uint64_t now_ms);
/** ld_route_replica_open() - may it take a new call at @now_ms? */
bool ld_route_replica_open(const struct replica *p, uint64_t now_ms);
/** ld_route_replica_load() - estimated calls per slot, 1 being full */
double ld_route_replica_load(const struct replica *p);
/** ld_route_drop_empty() - free forgotten replicas without calls */
void ld_route_drop_empty(struct ld_route *r);
void ld_route_calls_free(struct ld_route *r);
void ld_route_services_free(struct ld_route *r);

#endif
