/* State shared by the files of the engine stand-in. */
#ifndef ENGINE_INTERNAL_H
#define ENGINE_INTERNAL_H

#include "ld_standin.h"

struct call;

/** struct engine - one engine process */
struct engine {
	struct ld_loop *loop;
	const struct si_options *options;
	struct ld_buf address; /* IP:PORT, C string */
	char incarnation[17];
	/* Assigned by orders; replica is NULL when nothing is assigned. */
	char *replica;
	json_int_t epoch;
	json_t *members;
	bool ready;
	struct ld_timer load; /* end of loading */
	json_int_t fence; /* highest seen */
	json_t *orders; /* every order and whether it was accepted */
	struct si_fault fault;
	/* Calls: running ones, then those that wait for a slot. */
	struct call *running;
	struct call *waiting;
	struct call **waiting_tail;
	uint64_t running_count;
	uint64_t waiting_count;
	json_t *ledger;
	json_t *cache_events;
	json_int_t cache_seq;
};

extern struct engine engine;

/* Calls, in engine_calls.c. */
void engine_completion(struct si_req *r, bool chat);
void engine_cancel(struct si_req *r);
void engine_closed(struct si_req *r);
/** engine_drop_all() - cut every call, as a process exit would */
void engine_drop_all(void);
/** engine_fault_changed() - resume stalled calls after a fault */
void engine_fault_changed(void);

/* Orders, in engine_orders.c. */
void engine_order(struct si_req *r);
void engine_health(struct si_req *r);
void engine_forget(void);
bool engine_preload(const char *spec);
/** engine_holds() - whether the headers of @r name what the engine holds */
bool engine_holds(struct si_req *r);

#endif
