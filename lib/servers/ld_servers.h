/*
 * Table of backend servers and their groups, as reported by the servers.
 * Source: lib/servers.
 */
#ifndef LD_SERVERS_H
#define LD_SERVERS_H

#include "ld_allowance.h"
#include "ld_common.h"
#include "ld_pace.h"

/** enum ld_member_state - state of a server in its group, as it reports it */
enum ld_member_state {
	LD_MEMBER_NONE, /* in no group */
	LD_MEMBER_JOINING,
	LD_MEMBER_READY,
	LD_MEMBER_OPEN, /* a head that accepts requests */
	LD_MEMBER_CLOSING,
	LD_MEMBER_BROKEN
};

const char *ld_member_state_name(enum ld_member_state s);

/** struct ld_membership - the group of a server; @rank 0 is the head */
struct ld_membership {
	char *group;
	char *model;
	int64_t epoch;
	enum ld_member_state state;
	uint32_t rank;
};

/**
 * struct ld_server_entry - the entry that a server writes to the store
 * @id: usually changes when the server restarts
 * @zone: failure domain
 * @domain: fabric domain, empty for none
 * @started_ms: start time of the server in Unix ms, 0 if not given
 * @heartbeats: of an entry: rises with each heartbeat of one process
 * @leaving: accepts no new requests
 * @warmup_left_ms: how much longer it is cold, see ld_server_warm_up()
 * @staged: models whose weights are on the server's host
 * @pace: factor on its times, above 1 if it is slow; 0 if not given
 * @has_order_count, @order_count: of a report: orders accepted since its start
 */
struct ld_server_entry {
	char *id;
	char *service;
	char *address;
	char *zone;
	char *domain;
	int64_t started_ms;
	uint64_t heartbeats;
	bool leaving;
	uint64_t warmup_left_ms;
	char **staged;
	size_t staged_count;
	struct ld_membership member;
	double pace;
	bool has_order_count;
	int64_t order_count;
};

void ld_server_entry_fini(struct ld_server_entry *e);
/**
 * ld_server_entry_compare() - which of two entries of a server was written later
 *
 * Return: below 0 if @a was written before @b, above 0 if after it; 0 if that isn't
 * known: between two heartbeats, or without the start of a process.
 */
int ld_server_entry_compare(
    const struct ld_server_entry *a, const struct ld_server_entry *b);

/** enum ld_count - what nodes count for each server and tell each other */
enum ld_count {
	LD_COUNT_TOKENS, /* prompt tokens sent to it */
	LD_COUNT_SENT, /* requests sent to it */
	LD_COUNT_DENIED, /* requests that its limit kept away */
	LD_COUNT_KINDS
};

/**
 * struct ld_shared_count - a count that only grows, of this and other processes
 * @own: of this process
 * @sources: of processes that report to this one
 * @partials: of other processes, from partial sums
 * @uncounted, @uncounted_ms: part of @own that the totals received may not
 *	include yet, and when @own last grew
 */
struct ld_shared_count {
	uint64_t own;
	uint64_t sources;
	uint64_t partials;
	uint64_t uncounted;
	uint64_t uncounted_ms;
};

/**
 * struct ld_server - a server that was listed since this process started
 * @id_hash: hash of the id, which nodes send each other instead of the id
 * @group_hash: hash of the name and epoch of its group, 0 for none
 * @ready_ranks: of a head: bit set of the ranks whose members are ready, see
 *	ld_servers_group_complete()
 * @member_since_ms: when an entry that gives its present group and state was first
 *	read
 * @listed: the server has an entry
 * @evacuated: the operators evacuate its failure domain: it gets no requests,
 *	orders or probes
 * @unlisted_ms: when its entry was removed
 * @remove_at_ms: the entry disappeared around an outage of the store; unless
 *	it reappears, it counts as removed from then on; 0 otherwise
 * @first_seen_ms: when its first entry was read
 * @first_started_ms: start of the process that wrote it, 0 if not given
 * @refs: reference count; the server isn't freed while it is above 0
 * @active: requests of this process in progress at the server
 * @prefill_done_ms: predicted time at which all prompts sent to it, by any
 *	process, are prefilled
 * @suspect_until_ms: gets no new requests until then, after a failure
 * @refuses_until_ms: end of its last Retry-After; applies whatever its entry
 *	says
 * @reported_leaving: it reported in an answer that it is leaving, possibly
 *	before its entry shows it
 * @failures: consecutive failures
 * @last_byte_ms: last byte of an answer received
 * @byte_due_ms: when a byte of a request in progress is due, 0 for none
 * @silent: its requests in progress receive no data, see ld_dispatch_silent()
 * @alarm_sent_ms: when the last alarm about it was sent to the node that holds
 *	the control lease
 * @peer_active, @peer_last_byte_ms: as @active and @last_byte_ms, of other
 *	processes, from their last reports
 * @source_active, @source_last_byte_ms: the part of these of processes that
 *	report to this one
 * @counts: by enum ld_count
 * @load_changed_ms: last change of one of the loads above
 * @pace: how long its answers to this process take, against what was predicted
 * @slowness: that against the other servers of its service and model, 1 if none
 *	is known; see ld_dispatch_compare()
 * @allowance: the rate of requests that it takes, NULL until it named one or was
 *	cold
 */
struct ld_server {
	struct ld_server *next;
	struct ld_server *next_in_bucket;
	uint32_t id_hash;
	struct ld_server_entry entry;
	uint64_t group_hash;
	uint64_t ready_ranks;
	uint64_t member_since_ms;
	bool listed;
	bool evacuated;
	uint64_t unlisted_ms;
	uint64_t remove_at_ms;
	uint64_t first_seen_ms;
	int64_t first_started_ms;
	unsigned int refs;
	unsigned int active;
	double prefill_done_ms;
	uint64_t suspect_until_ms;
	uint64_t refuses_until_ms;
	bool reported_leaving;
	unsigned int failures;
	uint64_t last_byte_ms;
	uint64_t byte_due_ms;
	bool silent;
	uint64_t alarm_sent_ms;
	unsigned int peer_active;
	uint64_t peer_last_byte_ms;
	unsigned int source_active;
	uint64_t source_last_byte_ms;
	struct ld_shared_count counts[LD_COUNT_KINDS];
	uint64_t load_changed_ms;
	struct ld_pace pace;
	double slowness;
	struct ld_allowance *allowance;
};

struct ld_servers;

struct ld_servers *ld_servers_new(void);
void ld_servers_free(struct ld_servers *t);
/**
 * ld_servers_put() - add or update a server from its entry
 *
 * Takes ownership of the contents of @e.
 *
 * Return: the server.
 */
struct ld_server *ld_servers_put(
    struct ld_servers *t, struct ld_server_entry *e, uint64_t now_ms);
/** ld_servers_remove() - mark @id as unlisted: its entry was removed */
void ld_servers_remove(struct ld_servers *t, struct ld_str id, uint64_t now_ms);
/**
 * ld_servers_defer_removal() - as ld_servers_remove(), but deferred to
 * @until_ms
 *
 * ld_servers_sweep() removes it then, unless its entry was written again.
 */
void ld_servers_defer_removal(
    struct ld_servers *t, struct ld_str id, uint64_t until_ms);
/**
 * ld_servers_add_unlisted() - add an unlisted server that a group's record
 * names
 *
 * For a member of a group in service of which no entry was ever read, since it
 * is cut off from the store. It is treated as if its last entry had contained
 * @m. Does nothing if the table contains the server.
 */
void ld_servers_add_unlisted(struct ld_servers *t, const char *id,
    const char *address, const char *service, const struct ld_membership *m,
    uint64_t now_ms);
/**
 * ld_servers_set_evacuated() - begin or end the evacuation of a failure domain
 *
 * Applies to all its servers, also to those that are added later.
 *
 * Return: true if that is a change.
 */
bool ld_servers_set_evacuated(
    struct ld_servers *t, struct ld_str zone, bool evacuated);
/** ld_servers_evacuated_zone() - by number, NULL when there are fewer */
const char *ld_servers_evacuated_zone(const struct ld_servers *t, size_t i);
/** ld_servers_note_leaving() - the server reported that it is leaving */
void ld_servers_note_leaving(struct ld_server *s);
/** ld_server_note_sent() - this process sends a request with @prompt_tokens */
void ld_server_note_sent(
    struct ld_server *s, uint64_t prompt_tokens, uint64_t now_ms);
/** ld_server_note_denied() - its limit kept a request of this process away */
void ld_server_note_denied(struct ld_server *s, uint64_t now_ms);
/** ld_server_note_others() - other processes have counted @n more */
void ld_server_note_others(
    struct ld_server *s, enum ld_count count, uint32_t n, uint64_t now_ms);
/**
 * ld_server_observe_rate() - an answer named the rate of requests that @s takes
 * @rate_milli, @at_ms: as in ld_allowance_observe()
 *
 * Return: true if the rate in force has changed.
 */
bool ld_server_observe_rate(
    struct ld_server *s, uint32_t rate_milli, uint64_t at_ms);
/**
 * ld_server_warm_up() - @s is cold and takes a lower rate of requests
 * @rate_milli, @until_ms: as in ld_allowance_warm_up()
 *
 * Return: true if it was not cold before.
 */
bool ld_server_warm_up(struct ld_server *s, uint32_t rate_milli,
    uint64_t until_ms, uint64_t now_ms);
/** ld_server_is_limited() - it named a rate that is in force, or is cold */
bool ld_server_is_limited(const struct ld_server *s, uint64_t now_ms);
struct ld_server *ld_servers_find(struct ld_servers *t, struct ld_str id);
/**
 * ld_server_process_hash() - what nodes call one process of a server in reports
 * @started_ms: its start in Unix ms, 0 if not known
 *
 * Return: id_hash for the first process known under the id, as earlier builds
 * report all; another value for each later one.
 */
uint32_t ld_server_process_hash(const struct ld_server *s, int64_t started_ms);
/** ld_servers_find_hash() - by id_hash; NULL when there is none */
struct ld_server *ld_servers_find_hash(struct ld_servers *t, uint32_t id_hash);
/** ld_servers_first() - first of all servers, which are linked by next */
struct ld_server *ld_servers_first(struct ld_servers *t);
/** ld_servers_sweep() - apply deferred removals, free old unlisted servers */
void ld_servers_sweep(struct ld_servers *t, uint64_t now_ms);
/** ld_server_same_group() - both report the same group and epoch */
bool ld_server_same_group(const struct ld_server *a, const struct ld_server *b);
/**
 * ld_servers_group_complete() - whether the group of @head can serve
 * @size: number of members of a group of its model
 *
 * True if the head is listed and open, and each rank from 1 on belongs to a
 * server whose last entry says that it is ready in the same group and epoch.
 * Leaving members count, since they stay until their head has finished its
 * requests. Members without an entry count too: they may only be cut off from
 * the store, which the group doesn't need. If such a member is lost, the group
 * becomes silent, which is detected long before its entry expires.
 */
bool ld_servers_group_complete(
    struct ld_servers *t, const struct ld_server *head, uint32_t size);

#endif
