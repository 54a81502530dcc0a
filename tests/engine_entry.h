/* Store entries of model servers, for tests that run without a store. */
#ifndef ENGINE_ENTRY_H
#define ENGINE_ENTRY_H

#include "ld_servers.h"

/* A head whose group stands still is broken after this, ms. */
#define STALL_MS 5000

/** engine_entry() - an entry in no group; ld_servers_put() takes ownership of
 * its strings */
static inline struct ld_server_entry
engine_entry(const char *id, const char *zone)
{
	return (struct ld_server_entry){.id = ld_strdup(id),
	    .service = ld_strdup("llm"),
	    .address = ld_strdup("10.0.0.1:80"),
	    .zone = ld_strdup(zone)};
}

#endif
