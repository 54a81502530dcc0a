/*
 * The task that joins lib/booking with the store, real time and whoever sends
 * calls and answers callers. Source: lib/node/booking_task.c.
 */
#ifndef LD_BOOKING_TASK_H
#define LD_BOOKING_TASK_H

#include "ld_booking.h"
#include "ld_platform.h"

struct ld_booking_task;

/**
 * struct ld_booking_task_ops - what the owner does
 * @send: send call @id now, to the next server if @try is above 0: ask
 *	ld_booking_task_may_send() just before, and report the end by
 *	ld_booking_task_sent(); may do so from inside
 * @answer: answer the caller of @id; the call is forgotten
 * @message: give @bytes to the node with that id; loss is allowed
 */
struct ld_booking_task_ops {
	void (*send)(void *arg, uint64_t id, unsigned int try);
	void (*answer)(void *arg, const struct ld_booking_action *answer);
	void (*message)(void *arg, struct ld_str to, struct ld_str bytes);
};

/**
 * ld_booking_task_new() - bookings over @store
 * @config: copied; config->node as among the members
 * @ops: must outlive the task
 */
struct ld_booking_task *ld_booking_task_new(struct ld_loop *loop,
    struct ld_store *store, const struct ld_booking_config *config,
    const struct ld_booking_task_ops *ops, void *arg);
/** ld_booking_task_free() - NULL is allowed */
void ld_booking_task_free(struct ld_booking_task *t);

/* The calls of the same names in ld_booking.h, at the time of the loop. */
enum ld_status ld_booking_task_start(
    struct ld_booking_task *t, const struct ld_booking_call *call);
bool ld_booking_task_may_send(const struct ld_booking_task *t, uint64_t id);
void ld_booking_task_sent(struct ld_booking_task *t, uint64_t id,
    enum ld_booking_result result, int status, struct ld_str body);
void ld_booking_task_gone(struct ld_booking_task *t, uint64_t id);
void ld_booking_task_members(
    struct ld_booking_task *t, const struct ld_str *ids, size_t n);
void ld_booking_task_message(
    struct ld_booking_task *t, struct ld_str from, struct ld_str bytes);

/** ld_booking_task_module() - the decision module, for its read-only calls */
const struct ld_booking *ld_booking_task_module(
    const struct ld_booking_task *t);

#endif
