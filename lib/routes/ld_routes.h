/*
 * Routes, services, client accounts and bounds: the operators' configuration in
 * effect. Source: lib/routes.
 */
#ifndef LD_ROUTES_H
#define LD_ROUTES_H

#include "ld_common.h"

/** enum ld_request_kind - whether requests of a route may be repeated */
enum ld_request_kind {
	LD_KIND_IDEMPOTENT,
	LD_KIND_NOT_IDEMPOTENT,
	LD_KIND_STREAM
};

/**
 * struct ld_service_share - a service and its weighted share of a route's
 * requests
 */
struct ld_service_share {
	char *service;
	uint32_t weight;
};

/**
 * struct ld_route_rule - route of the requests with one host and path prefix
 * @resumable: a stream may be resumed on another server from its last event
 * @anonymous: no key is required
 * @model: requests name a model and the size of their prompt
 * @timeout_ms: maximum time from the request to the end of its answer
 * @objective_ms: objective for the time to the answer, or to its first event
 * @gap_ms: objective for the time between two events
 * @priority: 0 is the most urgent
 * @attempts: maximum number of servers on which one request may run
 */
struct ld_route_rule {
	char *name;
	char *host;
	char *prefix;
	enum ld_request_kind kind;
	bool resumable;
	bool anonymous;
	bool model;
	uint64_t timeout_ms;
	uint64_t objective_ms;
	uint64_t gap_ms;
	uint32_t priority;
	uint32_t attempts;
	struct ld_service_share *shares;
	size_t share_count;
};

/** struct ld_model_spec - one model of a service and the needs of its groups */
struct ld_model_spec {
	char *name;
	uint32_t size; /* servers in a group */
	double work_share; /* initial share of the service's work, 0 to 1 */
	double pace; /* factor on all times of its groups */
	uint64_t load_ms; /* load time from the weight store */
	uint64_t stage_ms; /* load time from the memory of the host */
};

/**
 * Maximum number of models of a service; a configuration with more is refused.
 */
#define LD_MODELS_MAX 32

/**
 * struct ld_engine_spec - performance figures of a service's engines
 * @slots: requests for which a group generates concurrently
 * @step_us: duration of one token step, without @step_per_request_us
 * @step_per_request_us: additional duration for each request in the step
 * @prefill_per_s: prompt tokens prefilled per second
 * @chunk_tokens: maximum of prompt tokens prefilled beside one step, 0: no
 *	limit
 * @steps_per_pass: steps per pass; events are sent at the end of a pass
 * @loads_per_s: rate of loads that the weight store allows
 * @loads_at_once: concurrent loads above which each takes longer, 0: no limit
 * @usual_answer_tokens: tokens of a typical answer
 */
struct ld_engine_spec {
	uint32_t slots;
	double step_us;
	double step_per_request_us;
	double prefill_per_s;
	uint32_t chunk_tokens;
	uint32_t steps_per_pass;
	double loads_per_s;
	uint32_t loads_at_once;
	uint32_t usual_answer_tokens;
	struct ld_model_spec *models;
	size_t model_count;
};

/**
 * struct ld_service_spec - a service; no engines if engine.model_count is 0
 * @warmup_ms: for this time after its start, or a pause, a server is cold
 * @warmup_rate_milli: requests per 1,000 s that a cold server takes, 0: any
 */
struct ld_service_spec {
	char *name;
	uint64_t warmup_ms;
	uint32_t warmup_rate_milli;
	struct ld_engine_spec engine;
};

/** struct ld_account - client account; if @priority < 0, the route's applies */
struct ld_account {
	char *name;
	int priority;
};

/** struct ld_account_key - a key and the index of its client account */
struct ld_account_key {
	uint64_t hash;
	char *key;
	size_t account;
};

/** struct ld_client_bounds - limits on the size and duration of requests */
struct ld_client_bounds {
	uint64_t max_head_bytes;
	uint64_t max_body_bytes;
	uint64_t head_timeout_ms;
	uint64_t idle_timeout_ms;
};

/** struct ld_routes - one version; free with ld_routes_free() */
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
/** ld_routes_add_key() - add a key; call before ld_routes_seal() */
void ld_routes_add_key(struct ld_routes *r, struct ld_str key, size_t account);
/** ld_routes_seal() - build the key index; call after the last change */
void ld_routes_seal(struct ld_routes *r);
/** ld_routes_match() - the rule of @host with the longest prefix, or NULL */
const struct ld_route_rule *ld_routes_match(
    const struct ld_routes *r, struct ld_str host, struct ld_str path);
/** ld_routes_account() - the client account of @key, or NULL */
const struct ld_account *ld_routes_account(
    const struct ld_routes *r, struct ld_str key);
const struct ld_service_spec *ld_routes_service(
    const struct ld_routes *r, struct ld_str name);
/**
 * ld_route_rule_share() - the service for a request, by weight
 *
 * @hash selects it: equal hashes get the same service.
 */
struct ld_str ld_route_rule_share(
    const struct ld_route_rule *rule, uint64_t hash);
const struct ld_model_spec *ld_engine_model(
    const struct ld_engine_spec *e, struct ld_str name);

#endif
