/* Model servers as PROTOCOL.md says: entries, reports, orders, groups. */
#ifndef ENGINES_H
#define ENGINES_H

#include <jansson.h>

#include "stand.h"

#define ENGINES_MAX 16
#define ENGINE_MODEL "daka510000"
#define ENGINE_SERVICE "huvo11a"
/* Members of a group. */
#define ENGINE_GROUP 3

struct engine {
	char id[32];
	char zone[32];
	char domain[16];
	int number;
	int port; /* that of the first view */
	int ports[STORE_VIEWS], fds[STORE_VIEWS];
	bool cut_from_store;
	long long born_ms;
	/* The membership. */
	char group[128];
	long long epoch, epoch_seen, fence;
	int rank;
	int state; /* 0 none, 1 joining, 2 ready, 3 opening, 4 open */
	uint64_t due_ms; /* joining, opening: until then */
	json_t *members;
	bool staged;
	uint64_t stage_due_ms; /* staging until then, 0: not */
	int sequence;
	int arrivals; /* of clients' requests */
	bool dark;
	bool had_group; /* since its start: its weights are in memory */
};

extern struct engine engines[ENGINES_MAX];
extern int engine_count;
extern int engine_group_size; /* set before engines_start() */
extern bool engine_fenced; /* fencing_required */
extern double engine_load_s;
extern bool engine_one_domain; /* else one for each group */
extern int engine_two; /* joins that the rule TWO forbids */
/** a hook for orders: after how many ms it is carried out, unanswered; 0: at once */
extern uint64_t (*engine_late)(
    struct engine *e, const char *operation, bool to_head);

/** a hook sees each request before it runs; true: it has answered */
extern bool (*engine_hook)(struct engine *e, struct req *q, const char *attempt,
    bool *keep);
void engines_start(int count);
int engines_open(void);
/** engine_crash() - it is dark; its entry lapses after three heartbeats */
void engine_crash(struct engine *e);
/** engine_refuse() - connections of the relay with that view are reset, and new ones
 * refused */
void engine_refuse(struct engine *e, int view);
void engine_entry_lapses(struct engine *e);
void engine_restart(struct engine *e);
/** engine_entry() - JSON of the part of the configuration: the service */
const char *engine_service_json(void);

#endif
