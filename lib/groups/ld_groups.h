/*
 * Control of groups: which servers form a group of which model. Pure
 * decisions, for the one node that holds the control lease.
 * Source: lib/groups.
 */
#ifndef LD_GROUPS_H
#define LD_GROUPS_H

#include "ld_routes.h"
#include "ld_servers.h"

#define LD_GROUP_NAME_MAX 64
#define LD_GROUP_SIZE_MAX 32
#define LD_GROUP_ADDRESS_MAX 64

enum ld_order_type {
	LD_ORDER_JOIN, /* become a member; the first member is the head */
	LD_ORDER_OPEN, /* a head begins to serve */
	LD_ORDER_CLOSE, /* a head stops serving */
	LD_ORDER_LEAVE, /* give the membership up at once */
	LD_ORDER_STAGE /* load weights onto the host, beside other work */
};

const char *ld_order_name(enum ld_order_type t);

/**
 * struct ld_order - an order to one server
 * @fence: of the control lease; a server refuses a lower one than it has seen
 * @shed: a close drops what waits instead of finishing it
 */
struct ld_order {
	enum ld_order_type type;
	char server[LD_GROUP_NAME_MAX];
	char address[LD_GROUP_ADDRESS_MAX];
	char group[LD_GROUP_NAME_MAX];
	int64_t epoch;
	char model[LD_GROUP_NAME_MAX];
	int64_t fence;
	bool shed;
	size_t member_count;
	char members[LD_GROUP_SIZE_MAX][LD_GROUP_NAME_MAX];
};

/** enum ld_order_result - what became of an order */
enum ld_order_result {
	LD_ORDER_DONE, /* the state holds */
	LD_ORDER_BEGUN,
	LD_ORDER_MISFIT, /* does not fit the server's state */
	LD_ORDER_FENCED, /* a higher fence or epoch was seen */
	LD_ORDER_OTHER_SERVER, /* another server has the address */
	LD_ORDER_SILENT, /* no answer: it may be carried out later */
	LD_ORDER_UNREACHABLE, /* nothing listens there */
	LD_ORDER_RESULT_COUNT
};

const char *ld_order_result_name(enum ld_order_result r);

/** struct ld_probe - a server to ask for its report */
struct ld_probe {
	char server[LD_GROUP_NAME_MAX];
};

/**
 * struct ld_group_change - a belief that changed, for the log
 * @what: "forming", "open", "closing", "retired", "adopted", "member-lost"
 */
struct ld_group_change {
	const char *what;
	char group[LD_GROUP_NAME_MAX];
	int64_t epoch;
	char model[LD_GROUP_NAME_MAX];
	char server[LD_GROUP_NAME_MAX]; /* empty unless about one member */
	const char *why;
};

struct ld_groups;

/** ld_groups_new() - @initial: the whole system starts for the first time */
struct ld_groups *ld_groups_new(uint64_t now_ms, bool initial);
void ld_groups_free(struct ld_groups *g);

/**
 * ld_groups_take_wait_ms() - how long to wait before taking a free control lease
 * @larger_listed: another node has a larger share of a core
 * @up_ms: since this process started
 *
 * Control costs processor time in proportion to the servers: the nodes with
 * the largest share come first, the others when none of them takes it.
 */
uint64_t ld_groups_take_wait_ms(
    struct ld_rand *rand, bool larger_listed, uint64_t up_ms);

/** ld_groups_lead() - this node holds the control lease now */
void ld_groups_lead(struct ld_groups *g, int64_t fence, uint64_t now_ms);
/** ld_groups_yield() - it no longer does; forgets all plans */
void ld_groups_yield(struct ld_groups *g);
/** ld_groups_note_traffic() - a client's request came to any node */
void ld_groups_note_traffic(struct ld_groups *g);
/** ld_groups_spent() - no epoch is left: control has to be taken anew */
bool ld_groups_spent(const struct ld_groups *g);
/** ld_groups_leading() - whether orders may be given */
bool ld_groups_leading(const struct ld_groups *g);

/**
 * ld_groups_tick() - look at the servers and decide
 * @service: whose servers form groups
 * @spec: its engines
 * @settled: every server that lives had the time to show; until then an
 *	incomplete group is left alone and none is formed
 */
void ld_groups_tick(struct ld_groups *g, struct ld_servers *servers,
    struct ld_str service, const struct ld_engine_spec *spec, bool settled,
    uint64_t now_ms);

/** ld_groups_alarm() - no stream of the group got on for a while */
void ld_groups_alarm(
    struct ld_groups *g, struct ld_str group, int64_t epoch, uint64_t now_ms);

/** struct ld_serving_group - a group that serves, the head first */
struct ld_serving_group {
	const char *group;
	const char *model;
	int64_t epoch;
	size_t member_count;
	const char *members[LD_GROUP_SIZE_MAX];
};

/** ld_groups_each_serving() - in no order; @fn must not change the groups */
void ld_groups_each_serving(const struct ld_groups *g,
    void (*fn)(void *user, const struct ld_serving_group *s), void *user);

bool ld_groups_next_order(struct ld_groups *g, struct ld_order *out);
bool ld_groups_next_probe(struct ld_groups *g, struct ld_probe *out);
bool ld_groups_next_change(struct ld_groups *g, struct ld_group_change *out);

/**
 * ld_groups_on_order() - how an order ended
 *
 * Return: false when the fence is outdated and this node must yield.
 */
bool ld_groups_on_order(struct ld_groups *g, const struct ld_order *o,
    enum ld_order_result r, uint64_t now_ms);

/**
 * ld_groups_on_probe() - what a server answered
 * @report: NULL when it gave no answer
 */
void ld_groups_on_probe(struct ld_groups *g, const struct ld_probe *p,
    const struct ld_server_entry *report, uint64_t now_ms);

#endif
