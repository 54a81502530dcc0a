/*
 * Backend servers and the groups that they form, as told by the servers
 * themselves. Source: lib/servers.
 */
#ifndef LD_SERVERS_H
#define LD_SERVERS_H

#include "ld_common.h"

/** enum ld_member_state - what a server says of its group */
enum ld_member_state {
	LD_MEMBER_NONE, /* in no group */
	LD_MEMBER_JOINING,
	LD_MEMBER_READY,
	LD_MEMBER_OPEN, /* a head that takes requests */
	LD_MEMBER_CLOSING,
	LD_MEMBER_BROKEN
};

const char *ld_member_state_name(enum ld_member_state s);

/** struct ld_membership - the group that a server is in; @rank 0: its head */
struct ld_membership {
	char *group;
	char *model;
	int64_t epoch;
	enum ld_member_state state;
	uint32_t rank;
};

/**
 * struct ld_server_entry - what one server says of itself
 * @id: of this server; a restart mostly changes it
 * @born_ms: wall clock of its start in Unix ms, 0 when not told
 * @domain: fabric domain, empty for none
 * @leaving: takes no new request
 * @staged: models whose weights lie on its host
 * @pace: above 1 when it is slow; 0 when not told
 */
struct ld_server_entry {
	char *id;
	char *service;
	char *address;
	char *zone;
	char *domain;
	int64_t born_ms;
	bool leaving;
	char **staged;
	size_t staged_count;
	struct ld_membership member;
	double pace;
};

void ld_server_entry_fini(struct ld_server_entry *e);

/**
 * struct ld_server - one server that was listed since this process started
 * @id_hash: of its id, told among nodes instead of the id
 * @group_hash: of the name and epoch of its group, 0 for none
 * @ready_ranks: of a head: ranks held by members that are ready, see
 *	ld_servers_group_whole()
 * @listed: it has an entry
 * @unlisted_ms: since when it has none
 * @doubt_until_ms: its entry vanished around an outage of the store and may
 *	come back until then; 0 for no doubt
 * @seen_ms: when its first entry was seen
 * @holds: users of the pointer; it stays while there are any
 * @active: requests of this process at the server
 * @read_until_ms: when the prompts that were sent there are read, as predicted,
 *	those of other processes included
 * @sent_tokens: prompt tokens that this process has sent there, ever
 * @suspect_until_ms: gets no new request before, after a failure
 * @refuses_until_ms: it asked for no request before, whatever its entry says
 * @said_leaving: it said so in an answer; its entry may tell it later
 * @heard_ms: last byte of an answer
 * @due_ms: a request under way should have got a byte by then, 0 for none
 * @silent: its requests stand still
 * @alarm_ms: when the holder of the control lease was told so
 * @peer_active, @peer_heard_ms: the same of other processes, as told last
 * @source_active, @source_heard_ms, @source_tokens: of these, those processes
 *	that report to this one, and the prompt tokens that they have sent
 * @partial_tokens: prompt tokens of other processes, from partial sums
 * @unseen_tokens, @unseen_ms: own ones that totals may not include yet, and when
 *	the last were sent
 * @load_changed_ms: one of the loads above
 */
struct ld_server {
	struct ld_server *next;
	struct ld_server *next_in_bucket;
	uint32_t id_hash;
	struct ld_server_entry entry;
	uint64_t group_hash;
	uint64_t ready_ranks;
	bool listed;
	uint64_t unlisted_ms;
	uint64_t doubt_until_ms;
	uint64_t seen_ms;
	unsigned int holds;
	unsigned int active;
	double read_until_ms;
	uint64_t sent_tokens;
	uint64_t suspect_until_ms;
	uint64_t refuses_until_ms;
	bool said_leaving;
	unsigned int failures;
	uint64_t heard_ms;
	uint64_t due_ms;
	bool silent;
	uint64_t alarm_ms;
	unsigned int peer_active;
	uint64_t peer_heard_ms;
	unsigned int source_active;
	uint64_t source_heard_ms;
	uint64_t source_tokens;
	uint64_t partial_tokens;
	uint64_t unseen_tokens;
	uint64_t unseen_ms;
	uint64_t load_changed_ms;
};

struct ld_servers;

struct ld_servers *ld_servers_new(void);
void ld_servers_free(struct ld_servers *t);
/**
 * ld_servers_put() - an entry was written; @e is taken over
 *
 * Return: the server.
 */
struct ld_server *ld_servers_put(
    struct ld_servers *t, struct ld_server_entry *e, uint64_t now_ms);
/** ld_servers_remove() - the entry of @id is gone */
void ld_servers_remove(struct ld_servers *t, struct ld_str id, uint64_t now_ms);
/** ld_servers_doubt() - as remove, but only from @until_ms on, see tick */
void ld_servers_doubt(
    struct ld_servers *t, struct ld_str id, uint64_t until_ms);
/**
 * ld_servers_note_member() - a server is a member of a group that serves
 *
 * For one of which no entry was ever seen, since it is cut off from the store:
 * counts as if its last entry had said so. Nothing for a server that is known.
 */
void ld_servers_note_member(struct ld_servers *t, const char *id,
    const char *address, const char *service, const struct ld_membership *m,
    uint64_t now_ms);
/** ld_servers_note_leaving() - it said so itself: it takes no new request */
void ld_servers_note_leaving(struct ld_server *s);
struct ld_server *ld_servers_find(struct ld_servers *t, struct ld_str id);
/** ld_servers_find_hash() - by id_hash; NULL when there is none */
struct ld_server *ld_servers_find_hash(struct ld_servers *t, uint32_t id_hash);
/** ld_servers_first() - all servers, linked by next */
struct ld_server *ld_servers_first(struct ld_servers *t);
/** ld_servers_sweep() - remove what was in doubt too long, free what is gone */
void ld_servers_sweep(struct ld_servers *t, uint64_t now_ms);
/** ld_server_same_group() - both say that they are in one group and epoch */
bool ld_server_same_group(const struct ld_server *a, const struct ld_server *b);
/**
 * ld_servers_group_whole() - whether the group of @head can serve
 * @size: members of a group of its model
 *
 * True when the head is listed and open and each rank from 1 on is held by a
 * server that said last that it is ready in the same group and epoch. A member that
 * leaves stays until the work of its head is done. One whose entry is gone may
 * only have lost its way to the store, which its group doesn't need; if it is lost
 * itself the group's streams stand still, which is noticed long before its entry
 * lapses.
 */
bool ld_servers_group_whole(
    struct ld_servers *t, const struct ld_server *head, uint32_t size);

#endif
