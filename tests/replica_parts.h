/* State of the lib/replica simulation. */
#ifndef REPLICA_PARTS_H
#define REPLICA_PARTS_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_replica.h"

#define STEP_MS 100
#define ENGINES 10
#define CONTROLLERS 3
#define ROUTERS 2
#define LEASES 256
#define FLIGHTS 384
#define EPOCHS 1024
#define TTL_MS 4000
#define REPORT_TTL_MS 3000
#define CALL_TIMEOUT_MS 1000
#define LOAD_MS 200
#define DEAD_MS 1500
#define VALUE_MAX 16384

struct lease {
	uint64_t until_ms;
};

struct store {
	uint64_t revision;
	struct lease leases[LEASES];
	uint64_t lease_count;
	bool has_control;
	char control[128];
	uint64_t control_revision;
	uint64_t control_lease;
	char record[VALUE_MAX];
	uint64_t record_revision;
	uint64_t out_until_ms;
};

struct engine {
	char address[32];
	bool checks_fence;
	uint64_t fence;
	uint64_t incarnation;
	char replica[LD_HEALTH_NAME_MAX];
	uint64_t epoch;
	uint64_t ready_ms;
	uint64_t down_until_ms; /* killed: restarts without state */
	uint64_t frozen_until_ms; /* resumes with its state intact */
	uint64_t answered_ms; /* last time it was able to answer */
	bool leaving;
	uint64_t deaf_until_ms; /* orders are dropped */
};

/* Last report that one observer received from each engine. */
struct told {
	struct ld_health_view view;
	uint64_t at_ms;
	uint64_t deaf_until_ms; /* reports are dropped */
};

struct router {
	struct ld_replica_record record;
	struct ld_placement *placement;
	uint64_t revision;
	uint64_t cut_until_ms;
	struct told told[ENGINES];
};

struct node {
	struct ld_replica *c;
	char id[32];
	uint64_t paused_until_ms;
	struct told told[ENGINES];
};

/* A message in transit: a store call, its answer, or an order. */
struct flight {
	bool used;
	bool answer;
	uint64_t due_ms;
	int node;
	struct ld_replica_action action;
	char value[VALUE_MAX];
	struct ld_replica_store_result result;
	char result_value[VALUE_MAX];
	int engine;
};

/* Members named in the orders of one replica epoch. */
struct epoch_seen {
	char replica[LD_HEALTH_NAME_MAX];
	uint64_t epoch;
	char members[512];
};

struct world {
	struct ld_rand rand;
	uint64_t now_ms;
	bool faults;
	struct store store;
	struct engine engines[ENGINES];
	struct node nodes[CONTROLLERS];
	int node_count;
	struct router routers[ROUTERS];
	struct flight *flights;
	struct epoch_seen epochs[EPOCHS];
	size_t epoch_count;
	struct ld_buf trace;
	bool tracing;
	bool lose_write; /* drop the response to the next record write */
	size_t violations;
	size_t overlaps; /* steps with an instance in two serving replicas */
	size_t orders;
	size_t orders_late;
};

static struct world w;
/* Number of models configured on the controllers of a new simulation. */
static size_t world_models = 2;

/* A router that never received a record change keeps the old record. */
#define FOREVER UINT64_MAX

static bool
chance(double p)
{
	return w.faults && ld_rand_unit(&w.rand) < p;
}

static void
violation(const char *what, const char *who)
{
	if (w.violations++ < 5)
		printf("at %llu ms: %s: %s\n", (unsigned long long)w.now_ms,
		    what, who);
}

static void
set_text(char *out, size_t size, const char *text)
{
	snprintf(out, size, "%s", text);
}

#endif
