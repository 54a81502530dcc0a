/* Splits a server-sent event stream into complete events with their ids. */
#ifndef EVENTS_H
#define EVENTS_H

#include "ld_common.h"

/** struct events - received bytes that have not been consumed as events */
struct events {
	struct ld_buf pending;
};

/**
 * events_peek() - the next complete event, with the empty line that ends it
 * @id: its id, UINT64_MAX when it has none or one that is not a number
 *
 * Return: false when there is no complete event. @event is valid until @e
 * changes; events_consume() removes it.
 */
bool events_peek(const struct events *e, struct ld_str *event, uint64_t *id);
void events_consume(struct events *e, struct ld_str event);
/** event_has_data() - false for comments and other fields alone */
bool event_has_data(struct ld_str event);
void events_append(struct events *e, struct ld_str bytes);
/** events_pending_bytes() - bytes that have not been consumed */
size_t events_pending_bytes(const struct events *e);
void events_reset(struct events *e);
void events_free(struct events *e);

#endif
