/* Datagrams between nodes. */
#ifndef MESH_SPEECH_H
#define MESH_SPEECH_H

#include "ld_common.h"

/* Groups with requests, and alarms, in one datagram. */
#define MESH_LOADS_MAX 80
#define MESH_ALARMS_MAX 8
#define MESH_GROUP_NAME_MAX 64
/* An age that is told is no longer than this, ms: fits into 16 bits. */
#define MESH_AGO_MAX_MS 60000U

/** enum mesh_kind - whose requests a datagram tells */
enum mesh_kind {
	MESH_REPORT, /* the sender's, to its aggregator */
	MESH_PARTIAL, /* the sender's and those of the nodes that report to it */
	MESH_TOTAL, /* all that an aggregator knows of, to those that report */
	MESH_PROBE, /* nobody's: asks an aggregator for its totals */
	MESH_KIND_COUNT
};

/** struct mesh_load - requests at one server, of the nodes of the kind */
struct mesh_load {
	uint32_t server; /* id_hash of struct ld_server */
	uint32_t active;
	uint32_t sent_tokens; /* prompt tokens sent there ever, modulo 2^32 */
	uint32_t
	    heard_ago_ms; /* last byte of an answer, MESH_AGO_MAX_MS: none */
};

/** struct mesh_alarm - a group whose streams stand still */
struct mesh_alarm {
	char group[MESH_GROUP_NAME_MAX];
	int64_t epoch;
};

/**
 * struct mesh_datagram - what one node tells another
 * @number: counts up; a lower one was overtaken on the way
 * @can_watch: peers may follow the store through the sender
 */
struct mesh_datagram {
	uint64_t number;
	enum mesh_kind kind;
	bool can_watch;
	struct mesh_load loads[MESH_LOADS_MAX];
	size_t load_count;
	struct mesh_alarm alarms[MESH_ALARMS_MAX];
	size_t alarm_count;
};

/** mesh_write() - append the datagram as msgpack */
void mesh_write(const struct mesh_datagram *d, struct ld_buf *out);
/** mesh_read() - false when the bytes are no such datagram */
bool mesh_read(struct ld_str bytes, struct mesh_datagram *out);

#endif
