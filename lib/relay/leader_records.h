/*
 * Records in the store that describe the state of the leader, one key for each
 * item: it writes missing ones and deletes those that are no longer wanted.
 * All nodes read them, also those that start later.
 */
#ifndef LEADER_RECORDS_H
#define LEADER_RECORDS_H

#include "relay_internal.h"

#define LEADER_RECORD_NAME_MAX LD_GROUP_NAME_MAX

struct leader_record;
struct leader_records;

/**
 * struct leader_records_ops - what the records hold
 * @any_node: without a leader, any node writes and deletes
 * @is_name: whether a key is the name of such a record, NULL: every key is. Others
 *	may be of a later build: they are left alone.
 * @each_wanted: call leader_records_want() for each wanted record; false if
 *	they are not known now
 * @format: append the value of the record of @item
 * @apply: a record was read, with its value, or was deleted: @value is NULL;
 *	false if the value is malformed. May modify @value.
 */
struct leader_records_ops {
	bool any_node;
	bool (*is_name)(const char *name);
	bool (*each_wanted)(struct leader_records *rs);
	void (*format)(
	    struct leader_records *rs, const void *item, struct ld_buf *value);
	bool (*apply)(struct leader_records *rs, const char *name, char *value);
};

/**
 * struct leader_records - all records below one prefix
 * @prefix: of their keys
 */
struct leader_records {
	const struct leader_records_ops *ops; /* first member */
	struct relay *relay;
	const char *prefix;
	struct leader_record *first;
	uint64_t next_compare_ms;
};

/** leader_records_free() - drop all; nothing is deleted from the store */
void leader_records_free(struct leader_records *rs);
/** leader_records_tick() - as the leader, write and delete what is due */
void leader_records_tick(struct leader_records *rs);
/** leader_records_want() - the record of @item, called @name, is wanted */
void leader_records_want(
    struct leader_records *rs, const char *name, const void *item);
/** leader_records_snapshot_begin() - all existing records follow */
void leader_records_snapshot_begin(struct leader_records *rs);
/** leader_records_apply() - @name was written, or deleted if @kv is NULL */
void leader_records_apply(struct leader_records *rs, struct ld_str name,
    const struct ld_store_kv *kv);

#endif
