/*
 * Model servers in the test's own process, all behind one listener: each order
 * and report names its server. They follow holders_servers.h.
 */
#ifndef LD_ENGINE_POOL_H
#define LD_ENGINE_POOL_H

#include "ld_kv_store.h"

struct ld_engine_pool;

/** struct ld_engine_pool_counts - since the start */
struct ld_engine_pool_counts {
	unsigned int two_groups; /* joins while the head of the group served */
	unsigned int joins;
	unsigned int opens;
	unsigned int orders;
	unsigned int reports;
	unsigned int serving_members; /* of groups that serve now */
};

/**
 * ld_engine_pool_new() - servers of @domains domains, in no group
 * @late_percent: of orders, unanswered and carried out seconds later
 */
struct ld_engine_pool *ld_engine_pool_new(struct ld_loop *loop,
    struct ld_kv_store *store, uint16_t port, int domains, int domain_servers,
    unsigned int late_percent, uint64_t seed);
void ld_engine_pool_free(struct ld_engine_pool *p);
/** ld_engine_pool_crash() - a server ends, and starts again seconds later */
void ld_engine_pool_crash(struct ld_engine_pool *p);
/** ld_engine_pool_cut_off() - a server answers nobody for some seconds */
void ld_engine_pool_cut_off(struct ld_engine_pool *p);
/** ld_engine_pool_config() - the service's "engine", JSON */
const char *ld_engine_pool_config(bool large);
struct ld_engine_pool_counts ld_engine_pool_counts(
    const struct ld_engine_pool *p);

#endif
