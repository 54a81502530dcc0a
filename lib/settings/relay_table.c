/* Table of the relay settings: one row per member. */
#include "ld_settings.h"

#define ROW(path, type, member, min, max, fallback, doc) \
	ROUNDED_ROW(path, type, member, min, max, fallback, doc, LD_ROUND_NONE)

/* A number set by the platform, which is rounded instead of rejected. */
#define ROUNDED_ROW(path, type, member, min, max, fallback, doc, rounding) \
	{                                                                  \
		path, LD_SETTING_##type, rounding,                         \
		    offsetof(struct ld_relay_settings, member), min, max,  \
		    fallback, doc                                          \
	}

#define NAME_MAX_BYTES 64
#define HOUR_MS 3600000ULL
/* Upper bound of ratios: above the cores and repeats of any deployment. */
#define RATIO_MAX_PERMILLE 1000000

static const struct ld_setting table[] = {
    ROW("node.name", STRING, name, 1, NAME_MAX_BYTES, NULL,
	"Name of this instance."),
    ROW("node.failure_domain", STRING, failure_domain, 1, NAME_MAX_BYTES, NULL,
	"Failure domain of this instance."),
    ROW("node.initial_start", BOOL, initial, 0, 0, "false",
	"The whole system starts for the first time."),
    ROUNDED_ROW("node.max_descriptors", UINT, max_descriptors, 256, 1048576,
	"4096", "File descriptors that this process may open.", LD_ROUND_DOWN),
    ROUNDED_ROW("node.memory_mb", UINT, memory_mb, 64, 1048576, "512",
	"Memory that this process may use, MB.", LD_ROUND_DOWN),
    ROUNDED_ROW("node.processor_share", RATIO, processor_permille, 0,
	RATIO_MAX_PERMILLE, "1",
	"Cores, or the part of one, that this process may use.", LD_ROUND_DOWN),
    ROW("entry.listen", ADDRESS, entry_listen, 0, 0, NULL,
	"Where clients connect."),
    ROW("readiness.listen", ADDRESS, ready_listen, 0, 0, NULL,
	"Where the balancer asks for readiness."),
    ROW("peers.port", UINT, peers_port, 1, 65535, NULL,
	"Port on which the nodes tell each other their load and the store's "
	"changes."),
    ROW("peers.follow_from_nodes", UINT, follow_from_nodes, 2, 100000, "16",
	"From so many nodes on one in each failure domain sums up load and "
	"tells "
	"the others the store's changes."),
    ROW("metrics.port", UINT, metrics_port, 1, 65535, NULL,
	"Port of the counters, on the entry's address."),
    ROW("store.address", ADDRESS, store_address, 0, 0, NULL,
	"Address of the key-value store."),
    ROW("servers.max_event_bytes", UINT, max_event_bytes, 1024, 16777216,
	"262144", "Longest event of a server's stream, bytes."),
    ROW("servers.max_answer_bytes", UINT, max_answer_bytes, 65536, 1073741824,
	"16777216", "Longest answer of a server, bytes."),
    ROW("servers.memory_percent", UINT, memory_percent, 5, 50, "25",
	"Part of node.memory_mb for bodies of requests and answers, percent."),
    ROW("servers.learn_pace", BOOL, learn_pace, 0, 0, "false",
	"Servers that answer slower than others of their service get less."),
    ROW("bounds.strict_revocation", BOOL, strict_revocation, 0, 0, "true",
	"A key that was taken away must not serve after bounds.revoke_ms."),
    ROUNDED_ROW("bounds.revoke_ms", UINT, revoke_ms, 0, HOUR_MS, "5000",
	"Longest use of a key after it was taken away, ms.", LD_ROUND_DOWN),
    ROUNDED_ROW("bounds.drain_ms", UINT, drain_ms, 0, HOUR_MS, "2000",
	"No request is sent to a leaving server after so long, ms.",
	LD_ROUND_DOWN),
    ROUNDED_ROW("bounds.grace_s", SECONDS, grace_ms, 0, HOUR_MS, "8",
	"From a stop that was asked until this process is killed, s.",
	LD_ROUND_DOWN),
    ROUNDED_ROW("bounds.config_apply_ms", UINT, config_apply_ms, 0, HOUR_MS,
	"2000", "A configuration is in force after so long, ms.",
	LD_ROUND_DOWN),
    ROUNDED_ROW("bounds.stall_ms", UINT, stall_ms, 0, HOUR_MS, "6000",
	"A head whose group stands still is broken after so long, ms.",
	LD_ROUND_UP),
    ROW("bounds.fencing_required", BOOL, fencing_required, 0, 0, "false",
	"Servers refuse an order with a lower fencing token than they know."),
    ROUNDED_ROW("bounds.repeat_ratio", RATIO, repeat_permille, 0,
	RATIO_MAX_PERMILLE, "0.2",
	"Repeats of a service by all nodes, as a part of its requests.",
	LD_ROUND_DOWN),
    ROUNDED_ROW("bounds.repeat_extra", UINT, repeat_extra, 0, 1000000, "100",
	"Repeats of a service by all nodes beside those, a window.",
	LD_ROUND_DOWN),
    ROUNDED_ROW("bounds.repeat_window_s", SECONDS, repeat_window_ms, 0, HOUR_MS,
	"10", "Window of the two, s.", LD_ROUND_UP),
    {0},
};

const struct ld_setting *
ld_relay_settings_table(void)
{
	return table;
}
