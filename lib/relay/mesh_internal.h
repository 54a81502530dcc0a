/* Shared by the parts of the mesh: what a node knows of its peers. */
#ifndef MESH_INTERNAL_H
#define MESH_INTERNAL_H

#include <netinet/in.h>

#include "mesh_speech.h"
#include "relay_internal.h"

/* Servers of which a peer's count of tokens is remembered: groups come and go,
 * but a fleet has some tens of heads at a time. */
#define TOTALS_MAX 128

/** struct total - prompt tokens that a peer has sent to a server, as told */
struct total {
	uint32_t server;
	uint32_t tokens;
};

/** struct peer - another node */
struct peer {
	char name[LD_GROUP_NAME_MAX];
	struct sockaddr_in at;
	uint64_t processor_permille;
	bool same_domain; /* its failure domain is this node's */
	bool can_watch; /* as told last */
	bool listed; /* the store has its entry, as read last */
	uint64_t listed_ms; /* its entry was told last */
	uint64_t avoid_until_ms; /* as a delegate of the store's changes */
	uint64_t heard_ms;
	uint64_t told; /* number of the newest datagram */
	struct mesh_load loads[MESH_LOADS_MAX];
	size_t load_count;
	struct total totals[TOTALS_MAX];
	size_t total_count;
	size_t total_next; /* replaced next once there are so many */
};

enum entry_state {
	ENTRY_NONE,
	ENTRY_GRANTING,
	ENTRY_WRITING,
	ENTRY_LISTED
};

/** struct mesh_entry - this node's own entry in the store */
struct mesh_entry {
	struct ld_store_call call; /* first member */
	struct relay *relay;
	enum entry_state state;
	int64_t lease;
	uint64_t next_ms; /* next renewal or try */
};

struct mesh {
	struct relay *relay;
	struct mesh_entry entry;
	int fd;
	ev_io io;
	struct peer *peers;
	size_t peer_count;
	uint64_t number; /* of the last datagram */
	uint64_t next_tell_ms;
	struct mesh_alarm alarms[MESH_ALARMS_MAX]; /* to be told */
	uint64_t alarmed_ms[MESH_ALARMS_MAX];
	size_t alarm_count;
};

/* ---- mesh.c ---- */

/** mesh_interval_ms() - between two datagrams to a peer */
uint64_t mesh_interval_ms(const struct mesh *m);
/** mesh_is_heard() - the peer told something a moment ago */
bool mesh_is_heard(const struct mesh *m, const struct peer *p, uint64_t now);

/* ---- mesh_told.c: what peers have told of servers ---- */

/** mesh_take_loads() - what the peer tells replaces what it told before */
void mesh_take_loads(
    struct relay *r, struct peer *p, const struct mesh_datagram *d);
void mesh_forget_loads(struct relay *r, struct peer *p);

/* ---- mesh_peers.c: peers, from their entries in the store ---- */

/** mesh_drop_unlisted() - peers without an entry that tell nothing any more */
void mesh_drop_unlisted(struct relay *r);

/* ---- mesh_entry.c ---- */

void mesh_entry_tick(struct mesh_entry *e, uint64_t now);

#endif
