/*
 * Settings of a node or relay process, read from JSON. Source: lib/settings.
 */
#ifndef LD_SETTINGS_H
#define LD_SETTINGS_H

#include "ld_common.h"

/** struct ld_address - IPv4 address and port */
struct ld_address {
	char *text; /* "127.0.0.1:8080" */
	char *host;
	uint16_t port;
};

struct ld_address_list {
	struct ld_address *at;
	size_t count;
};

/** struct ld_call_rule - matches non-idempotent calls of a service */
struct ld_call_rule {
	char *method;
	char *path_prefix;
};

/** struct ld_service_settings - one plain service */
struct ld_service_settings {
	char *name;
	struct ld_address_list servers;
	struct ld_call_rule *not_idempotent;
	size_t rule_count;
};

/** struct ld_model_settings - one model and how many replicas to keep */
struct ld_model_settings {
	char *name;
	uint64_t size; /* instances per replica */
	uint64_t wanted; /* replicas per fabric domain */
};

/** struct ld_objective_settings - goal of a caller or class; NULL for any */
struct ld_objective_settings {
	char *owner;
	char *class;
	char *objective; /* "first-token", "token-gap" or "answered" */
	uint64_t threshold_ms;
	uint64_t target_permille;
};

/** Largest number of models in a deployment. */
#define LD_SETTINGS_MODELS_MAX 16
/** Value of control.spares: derive the number from the weights. */
#define LD_SPARES_AUTO 1024

/** struct ld_settings - settings of a node, read at its start */
struct ld_settings {
	char *failure_domain;
	char *region;
	struct ld_address entry_listen;
	uint64_t entry_max_body_bytes;
	uint64_t entry_max_connections;
	uint64_t entry_idle_timeout_ms;
	uint64_t entry_head_timeout_ms;
	uint64_t entry_drain_notice_ms;
	struct ld_address operator_listen;
	char *operator_token;
	struct ld_address peers_listen;
	struct ld_address_list peers_seeds;
	char *peers_key;
	struct ld_address_list store_endpoints;
	char *store_prefix;
	uint64_t store_timeout_ms;
	uint64_t store_calls_per_s;
	struct ld_address live_list_address;
	uint64_t live_list_wait_ms;
	char **fabrics;
	size_t fabric_count;
	struct ld_model_settings *models;
	size_t model_count;
	bool control_enabled;
	uint64_t control_spares;
	uint64_t control_accelerators;
	uint64_t control_max_loads;
	uint64_t control_downtime_weight_percent;
	uint64_t engine_connect_timeout_ms;
	uint64_t engine_progress_timeout_ms;
	uint64_t engine_request_timeout_ms;
	uint64_t health_interval_ms;
	uint64_t health_stale_ms;
	uint64_t service_connect_timeout_ms;
	uint64_t service_timeout_ms;
	uint64_t booking_retention_ms;
	uint64_t fleet_cut_off_ms;
	uint64_t objective_first_token_ms;
	uint64_t objective_first_token_permille;
	uint64_t objective_token_gap_ms;
	uint64_t objective_token_gap_permille;
	uint64_t objective_answered_permille;
	struct ld_objective_settings *overrides;
	size_t override_count;
	struct ld_service_settings *services;
	size_t service_count;
};

/** enum ld_setting_type - type of a member's value */
enum ld_setting_type {
	LD_SETTING_STRING,
	LD_SETTING_ADDRESS,
	LD_SETTING_ADDRESS_LIST,
	LD_SETTING_STRING_LIST,
	LD_SETTING_UINT,
	LD_SETTING_RATIO, /* a number, stored in 1/1000 */
	LD_SETTING_SECONDS, /* a number of seconds, stored in ms */
	LD_SETTING_BOOL,
	LD_SETTING_SERVICES,
	LD_SETTING_MODELS,
	LD_SETTING_OBJECTIVES
};

/** enum ld_rounding - treatment of fractions and numbers out of bounds */
enum ld_rounding {
	LD_ROUND_NONE, /* reported as faults */
	LD_ROUND_DOWN, /* fractions rounded down; clamped to min and max */
	LD_ROUND_UP /* fractions rounded up; clamped to min and max */
};

/**
 * struct ld_setting - one row of the table of members
 * @path: "section.member"
 * @min, @max: bounds of a number, or of a string's or list's length
 * @rounding: for numbers set by the platform: the direction in which the node
 *	promises less or waits longer
 * @fallback: JSON text of the default; NULL when the member is required
 * @doc: one sentence that names the unit
 */
struct ld_setting {
	const char *path;
	enum ld_setting_type type;
	enum ld_rounding rounding;
	size_t offset;
	uint64_t min;
	uint64_t max;
	const char *fallback;
	const char *doc;
};

/** ld_settings_table() - the rows, ended by one whose path is NULL */
const struct ld_setting *ld_settings_table(void);

/** ld_setting_type_name() - text for documentation and messages */
const char *ld_setting_type_name(enum ld_setting_type t);

/**
 * ld_settings_parse() - read and validate settings
 * @text: JSON
 * @file: name shown in faults
 * @faults: gets one line for every fault
 *
 * Return: LD_OK and *out set; LD_E_INVALID with @faults filled.
 */
enum ld_status ld_settings_parse(struct ld_str text, const char *file,
    struct ld_settings **out, struct ld_buf *faults);
/** ld_settings_load() - parse a file; also LD_E_IO when it is unreadable */
enum ld_status ld_settings_load(
    const char *file, struct ld_settings **out, struct ld_buf *faults);
void ld_settings_free(struct ld_settings *s);

/* ---- Settings of a relay (programs/relay.c) ---- */

/**
 * struct ld_relay_settings - settings of a relay, read at its start
 * @adjusted: a line for each member whose value was rounded or clamped
 */
struct ld_relay_settings {
	struct ld_buf adjusted;
	char *name;
	char *failure_domain;
	bool initial;
	struct ld_address entry_listen;
	struct ld_address ready_listen;
	uint64_t peers_port;
	uint64_t follow_from_nodes;
	uint64_t metrics_port;
	struct ld_address store_address;
	uint64_t max_event_bytes;
	uint64_t max_answer_bytes;
	uint64_t memory_percent; /* of memory_mb */
	bool learn_pace;
	uint64_t max_descriptors;
	uint64_t memory_mb;
	uint64_t processor_permille; /* of node.processor_share */
	uint64_t revoke_ms;
	bool strict_revocation;
	uint64_t drain_ms;
	uint64_t grace_ms;
	uint64_t config_apply_ms;
	uint64_t stall_ms;
	bool fencing_required;
	uint64_t repeat_permille; /* of bounds.repeat_ratio */
	uint64_t repeat_extra;
	uint64_t repeat_window_ms;
};

/** ld_relay_settings_table() - the rows, ended by one whose path is NULL */
const struct ld_setting *ld_relay_settings_table(void);
/** ld_relay_settings_load() - as ld_settings_load() */
enum ld_status ld_relay_settings_load(
    const char *file, struct ld_relay_settings **out, struct ld_buf *faults);
void ld_relay_settings_free(struct ld_relay_settings *s);

/**
 * ld_address_parse() - "IPv4:port"; LD_E_INVALID otherwise
 *
 * Free with ld_address_fini().
 */
enum ld_status ld_address_parse(struct ld_str text, struct ld_address *out);
void ld_address_fini(struct ld_address *a);

/** ld_nearest_name() - the candidate closest to @name, NULL if none is close */
const char *ld_nearest_name(
    const char *name, const char *const *candidates, size_t count);

#endif
