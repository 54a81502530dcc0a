/* Table of the node settings: one row per member. */
#include "ld_settings.h"

#define ROW(path, type, member, min, max, fallback, doc)                      \
	{                                                                     \
		path, LD_SETTING_##type, LD_ROUND_NONE,                       \
		    offsetof(struct ld_settings, member), min, max, fallback, \
		    doc                                                       \
	}

#define NAME_MAX_BYTES 64
#define SECRET_MIN_BYTES 16
#define SECRET_MAX_BYTES 64
#define LIST_MAX 1024
#define HOUR_MS 3600000ULL
#define DAY_MS (24 * HOUR_MS)

static const struct ld_setting table[] = {
    ROW("node.failure_domain", STRING, failure_domain, 1, NAME_MAX_BYTES, NULL,
	"Failure domain of this instance."),
    ROW("node.region", STRING, region, 1, NAME_MAX_BYTES, "\"r1\"",
	"Region of this instance."),
    ROW("entry.listen", ADDRESS, entry_listen, 0, 0, NULL,
	"Where callers connect."),
    ROW("entry.max_body_bytes", UINT, entry_max_body_bytes, 1024, 67108864,
	"1048576", "Largest request body in bytes."),
    ROW("entry.max_connections", UINT, entry_max_connections, 8, 65536, "8192",
	"Connections from callers at once."),
    ROW("entry.idle_timeout_ms", UINT, entry_idle_timeout_ms, 1000, HOUR_MS,
	"60000", "A connection without progress for so long is closed, ms."),
    ROW("entry.head_timeout_ms", UINT, entry_head_timeout_ms, 100, HOUR_MS,
	"10000", "Time for a whole request to arrive, ms."),
    ROW("entry.drain_notice_ms", UINT, entry_drain_notice_ms, 0, 600000, "5000",
	"Requests are still taken for so long after a stop was asked, ms."),
    ROW("operator.listen", ADDRESS, operator_listen, 0, 0, NULL,
	"Where operators connect."),
    ROW("operator.token", STRING, operator_token, SECRET_MIN_BYTES,
	SECRET_MAX_BYTES, NULL, "Bearer token of operators."),
    ROW("peers.listen", ADDRESS, peers_listen, 0, 0, NULL,
	"Where other nodes connect."),
    ROW("peers.seeds", ADDRESS_LIST, peers_seeds, 0, LIST_MAX, "[]",
	"Peer addresses of nodes to join through."),
    ROW("peers.key", STRING, peers_key, SECRET_MIN_BYTES, SECRET_MAX_BYTES,
	NULL, "Key that nodes prove themselves with."),
    ROW("store.endpoints", ADDRESS_LIST, store_endpoints, 1, 16, NULL,
	"Addresses of the platform's key-value service."),
    ROW("store.prefix", STRING, store_prefix, 1, 256, "\"/lavenderdrift/\"",
	"Prefix of every key."),
    ROW("store.timeout_ms", UINT, store_timeout_ms, 10, 60000, "2000",
	"Deadline of one store call, ms."),
    ROW("store.calls_per_s", UINT, store_calls_per_s, 1, 1000, "20",
	"Store calls a second this node may make."),
    ROW("live_list.address", ADDRESS, live_list_address, 0, 0, NULL,
	"Address of the list of live and leaving instances."),
    ROW("live_list.wait_ms", UINT, live_list_wait_ms, 100, 60000, "2000",
	"Longest wait of one long poll, ms."),
    ROW("deployment.fabrics", STRING_LIST, fabrics, 0, LIST_MAX, "[]",
	"Fabric domains with model engines."),
    ROW("deployment.models", MODELS, models, 0, LD_SETTINGS_MODELS_MAX, "[]",
	"Models: name, size in instances, replicas wanted in each fabric "
	"domain."),
    ROW("control.enabled", BOOL, control_enabled, 0, 0, "true",
	"Whether this node may form replicas."),
    ROW("control.spares", UINT, control_spares, 0, LD_SPARES_AUTO, "1024",
	"Spare instances kept per fabric domain; 1024 works it out."),
    ROW("control.accelerators", UINT, control_accelerators, 1, 64, "8",
	"Accelerators of one instance."),
    ROW("control.max_loads", UINT, control_max_loads, 1, 1024, "8",
	"Loads from the weight store at once in a fabric domain."),
    ROW("control.downtime_weight_percent", UINT,
	control_downtime_weight_percent, 0, 100, "50",
	"Weight of group downtime against stranded accelerators, percent."),
    ROW("engine.connect_timeout_ms", UINT, engine_connect_timeout_ms, 10, 60000,
	"300", "Deadline for connecting to an engine, ms."),
    ROW("engine.progress_timeout_ms", UINT, engine_progress_timeout_ms, 10,
	HOUR_MS, "5000", "A stream without a byte for so long is broken, ms."),
    ROW("engine.request_timeout_ms", UINT, engine_request_timeout_ms, 100,
	HOUR_MS, "600000", "Deadline of one completion, ms."),
    ROW("health.interval_ms", UINT, health_interval_ms, 50, 60000, "1000",
	"Time between two probes of a server, ms."),
    ROW("health.stale_ms", UINT, health_stale_ms, 100, 60000, "3000",
	"Age at which a health report counts no more, ms."),
    ROW("service.connect_timeout_ms", UINT, service_connect_timeout_ms, 10,
	60000, "500", "Deadline for connecting to a plain service, ms."),
    ROW("service.timeout_ms", UINT, service_timeout_ms, 10, HOUR_MS, "10000",
	"Deadline of one call of a plain service, ms."),
    ROW("booking.retention_ms", UINT, booking_retention_ms, 60000, 30 * DAY_MS,
	"86400000", "How long an idempotency key is remembered, ms."),
    ROW("fleet.cut_off_ms", UINT, fleet_cut_off_ms, 1000, HOUR_MS, "15000",
	"A node that reaches neither store nor peer admits for so long, ms."),
    ROW("objectives.first_token_ms", UINT, objective_first_token_ms, 1, HOUR_MS,
	"470", "A first token later than this misses its objective, ms."),
    ROW("objectives.first_token_permille", UINT, objective_first_token_permille,
	1, 999, "950", "First tokens that must be in time, in 1/1000."),
    ROW("objectives.token_gap_ms", UINT, objective_token_gap_ms, 1, HOUR_MS,
	"53", "A longer time between tokens misses its objective, ms."),
    ROW("objectives.token_gap_permille", UINT, objective_token_gap_permille, 1,
	999, "950", "Gaps that must be in time, in 1/1000."),
    ROW("objectives.answered_permille", UINT, objective_answered_permille, 1,
	999, "999", "Requests within limits that must be answered, in 1/1000."),
    ROW("objectives.overrides", OBJECTIVES, overrides, 0, 1024, "[]",
	"Goals of one caller or class: owner or class, objective, "
	"threshold_ms, target_permille."),
    ROW("services", SERVICES, services, 0, LIST_MAX, "[]",
	"Plain services: name, servers, not_idempotent calls."),
    {.path = NULL},
};

const struct ld_setting *
ld_settings_table(void)
{
	return table;
}

const char *
ld_setting_type_name(enum ld_setting_type t)
{
	static const char *const names[] = {"string", "address",
	    "list of addresses", "list of strings", "whole number", "number",
	    "number of seconds", "true or false", "list of services",
	    "list of models", "list of objectives"};

	return names[t];
}
