/* Encoding of the datagrams between nodes. */
#ifndef MESH_CODEC_H
#define MESH_CODEC_H

#include "ld_common.h"
#include "ld_quarantine.h"
#include "ld_servers.h"

/* Most loads (groups with requests) and alarms in one datagram. */
#define MESH_LOADS_MAX 80
/* Loads that one with a rate takes the place of. */
#define MESH_RATE_LOADS 2
#define MESH_ALARMS_MAX 8
/* Most findings in one datagram, which then carries no loads. */
#define MESH_FINDINGS_MAX 32
#define MESH_GROUP_NAME_MAX 64
/* Ages are sent up to this limit, ms: fits into 16 bits. */
#define MESH_HEARD_AGO_MAX_MS 60000U

/** enum mesh_kind - which nodes' requests a datagram covers */
enum mesh_kind {
	MESH_REPORT, /* the sender's, to its aggregator */
	MESH_PARTIAL, /* the sender's and those of its sources */
	MESH_TOTAL, /* all known to an aggregator, to its sources */
	MESH_PROBE, /* none: requests the totals of an aggregator */
	MESH_KIND_COUNT
};

/**
 * struct mesh_load - requests at one server, from the nodes covered
 * @server: id_hash of struct ld_server
 * @heard_ago_ms: age of the last byte, the maximum: none
 * @counts: totals modulo 2^32; only the prompt tokens unless @has_rate
 * @has_rate: the server named a limit, or no longer does, recently
 * @rate_milli: requests per 1,000 s, or LD_RATE_UNLIMITED
 * @rate_ago_ms: age of the answer that named it
 */
struct mesh_load {
	uint32_t server;
	uint32_t active;
	uint32_t heard_ago_ms;
	uint32_t counts[LD_COUNT_KINDS];
	bool has_rate;
	uint32_t rate_milli;
	uint32_t rate_ago_ms;
};

/** struct mesh_alarm - a group that is silent */
struct mesh_alarm {
	char group[MESH_GROUP_NAME_MAX];
	int64_t epoch;
};

/**
 * struct mesh_datagram - one message between nodes
 * @number: sequence number; a datagram with a lower one arrived out of order
 * @can_delegate: peers may follow the store through the sender
 * @covered: number of nodes whose requests the loads count, 0: not given, as in
 *	datagrams without a rate
 */
struct mesh_datagram {
	uint64_t number;
	enum mesh_kind kind;
	bool can_delegate;
	uint32_t covered;
	struct mesh_load loads[MESH_LOADS_MAX];
	size_t load_count;
	struct mesh_alarm alarms[MESH_ALARMS_MAX];
	size_t alarm_count;
	struct ld_finding findings[MESH_FINDINGS_MAX];
	size_t finding_count;
};

/** mesh_encode() - append the datagram as msgpack */
void mesh_encode(const struct mesh_datagram *d, struct ld_buf *out);
/** mesh_decode() - false when the bytes are no valid datagram */
bool mesh_decode(struct ld_str bytes, struct mesh_datagram *out);

#endif
