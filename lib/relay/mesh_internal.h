/* Declarations shared by the sources of the mesh. */
#ifndef MESH_INTERNAL_H
#define MESH_INTERNAL_H

#include "load_aggregation.h"
#include "relay_internal.h"

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
	uint64_t next_ms; /* next renewal or attempt */
};

struct mesh {
	struct load_aggregation aggregation; /* first member */
	struct relay *relay;
	struct mesh_entry entry;
	int fd;
	ev_io io;
	uint64_t refused; /* datagrams of peers, not logged yet */
	uint64_t next_refused_log_ms;
};

/* ---- mesh_entry.c ---- */

/** mesh_entry_format() - append the value of the entry */
void mesh_entry_format(const struct ld_relay_settings *s, struct ld_buf *value);
void mesh_entry_tick(struct mesh_entry *e, uint64_t now);

#endif
