/*
 * Routes, services, client accounts and bounds: the operators' configuration
 * in force. Source: lib/routes.
 */
#ifndef LD_ROUTES_H
#define LD_ROUTES_H

#include "ld_common.h"

/** enum ld_kind - what may be repeated */
enum ld_kind {
	LD_KIND_IDEMPOTENT,
	LD_KIND_NOT_IDEMPOTENT,
	LD_KIND_STREAM
};

/** struct ld_share - a service that takes part of a route's requests */
struct ld_share {
	char *service;
	uint32_t weight;
};

/**
 * struct ld_route_rule - where requests of one host and path prefix go
 * @resumable: a stream may go on elsewhere from its last event
 * @anonymous: no key is asked for
 * @model: requests name a model and the size of their prompt
 * @timeout_ms: longest time from the request to its final answer
 * @objective_ms: time to the answer, or the first event, that is still on time
 * @gap_ms: longest pause between two events that is still on time
 * @priority: 0 is the most urgent
 * @attempts: servers on which one request may run
 */
struct ld_route_rule {
	char *name;
	char *host;
	char *prefix;
	enum ld_kind kind;
	bool resumable;
	bool anonymous;
	bool model;
	uint64_t timeout_ms;
	uint64_t objective_ms;
	uint64_t gap_ms;
	uint32_t priority;
	uint32_t attempts;
	struct ld_share *shares;
	size_t share_count;
};

/** struct ld_model_spec - one model of a service and what its groups need */
struct ld_model_spec {
	char *name;
	uint32_t size; /* servers of one group */
	double work_share; /* of the service's work at the start, 0 to 1 */
	double pace; /* factor on all times of its groups */
	uint64_t load_ms; /* from the weight store */
	uint64_t stage_ms; /* from the server's own host memory */
};

/** Models of one service; a configuration with more is refused. */
#define LD_MODELS_MAX 32

/**
 * struct ld_engine_spec - how the engines of a service work
 * @slots: requests that one group generates for at once
 * @step_us: one token step; @step_per_request_us more for each request
 * @prefill_per_s: prompt tokens read a second
 * @chunk_tokens: prompt tokens read beside one step at most, 0: any
 * @stride: steps of one pass
 */
struct ld_engine_spec {
	uint32_t slots;
	double step_us;
	double step_per_request_us;
	double prefill_per_s;
	uint32_t chunk_tokens;
	uint32_t stride;
	double loads_per_s;
	uint32_t loads_at_once; /* beyond that each takes longer; 0: any */
	uint32_t usual_answer;
	struct ld_model_spec *models;
	size_t model_count;
};

/** struct ld_service_spec - one service; @engine.slots 0: no model engines */
struct ld_service_spec {
	char *name;
	struct ld_engine_spec engine;
};

/** struct ld_account - one client account; @priority below 0: the route's */
struct ld_account {
	char *name;
	int priority;
};

/** struct ld_account_key - a key and the index of its account */
struct ld_account_key {
	uint64_t hash;
	char *key;
	size_t account;
};

/** struct ld_client_bounds - what a client may send, and how slowly */
struct ld_client_bounds {
	uint64_t max_head_bytes;
	uint64_t max_body_bytes;
	uint64_t head_timeout_ms;
	uint64_t idle_timeout_ms;
};

/** struct ld_routes - one whole version; freed with ld_routes_free() */
struct ld_routes {
	int64_t version;
	struct ld_route_rule *rules;
	size_t rule_count;
	struct ld_service_spec *services;
	size_t service_count;
	struct ld_account *accounts;
	size_t account_count;
	struct ld_account_key *keys; /* sorted by hash once sealed */
	size_t key_count;
	struct ld_client_bounds bounds;
};

struct ld_routes *ld_routes_new(void);
void ld_routes_free(struct ld_routes *r);
/** ld_routes_add_key() - before ld_routes_seal() */
void ld_routes_add_key(struct ld_routes *r, struct ld_str key, size_t account);
/** ld_routes_seal() - call once all is filled in */
void ld_routes_seal(struct ld_routes *r);
/** ld_routes_match() - the rule of @host with the longest prefix, or NULL */
const struct ld_route_rule *ld_routes_match(
    const struct ld_routes *r, struct ld_str host, struct ld_str path);
/** ld_routes_account() - whose key it is, or NULL */
const struct ld_account *ld_routes_account(
    const struct ld_routes *r, struct ld_str key);
const struct ld_service_spec *ld_routes_service(
    const struct ld_routes *r, struct ld_str name);
/** ld_route_rule_share() - the service that takes a request; @hash picks it */
struct ld_str ld_route_rule_share(
    const struct ld_route_rule *rule, uint64_t hash);
const struct ld_model_spec *ld_engine_model(
    const struct ld_engine_spec *e, struct ld_str name);

#endif
