/*
 * Group control: which servers form a group of which model. Makes decisions
 * only, no I/O. Runs on the leader, the one node that holds the control lease.
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
	LD_ORDER_OPEN, /* to a head: start serving */
	LD_ORDER_CLOSE, /* to a head: stop serving */
	LD_ORDER_LEAVE, /* leave the group at once, without draining */
	LD_ORDER_STAGE /* load weights onto the host in the background */
};

const char *ld_order_name(enum ld_order_type t);

/**
 * struct ld_order - an order to one server
 * @fence: of the control lease
 * @token: revision of the copy of the store on which the order was decided. A
 *	server refuses orders with a lower token than the highest that it has
 *	seen: those of earlier leases, and earlier ones of this lease that
 *	arrive late. The next lease has a higher revision.
 * @shed: LD_ORDER_CLOSE drops queued requests instead of finishing them
 * @conditional: the server refuses the order unless it has accepted exactly
 *	@order_count orders since its start
 */
struct ld_order {
	enum ld_order_type type;
	char server[LD_GROUP_NAME_MAX];
	char address[LD_GROUP_ADDRESS_MAX];
	char group[LD_GROUP_NAME_MAX];
	int64_t epoch;
	char model[LD_GROUP_NAME_MAX];
	int64_t fence;
	int64_t token;
	bool shed;
	bool conditional;
	int64_t order_count;
	size_t member_count;
	char members[LD_GROUP_SIZE_MAX][LD_GROUP_NAME_MAX];
};

/** enum ld_order_result - result of an order */
enum ld_order_result {
	LD_ORDER_DONE, /* the server is in the state ordered */
	LD_ORDER_BEGUN, /* accepted, not yet completed */
	LD_ORDER_MISFIT, /* not valid in the server's current state */
	LD_ORDER_FENCED, /* the server has seen a higher token or epoch */
	LD_ORDER_OTHER_SERVER, /* a different server listens at the address */
	LD_ORDER_SILENT, /* no answer: the order may still be executed */
	LD_ORDER_UNREACHABLE, /* nothing listens at the address */
	LD_ORDER_RESULT_COUNT
};

const char *ld_order_result_name(enum ld_order_result r);

/** struct ld_probe - request for the report of one server */
struct ld_probe {
	char server[LD_GROUP_NAME_MAX];
};

/**
 * struct ld_group_change - a state change of a group, for the log
 * @what: "forming", "open", "closing", "held", "retired", "adopted",
 *	"member-lost"
 */
struct ld_group_change {
	const char *what;
	char group[LD_GROUP_NAME_MAX];
	int64_t epoch;
	char model[LD_GROUP_NAME_MAX];
	char server[LD_GROUP_NAME_MAX]; /* member concerned, or empty */
	const char *why;
};

struct ld_groups;

/**
 * ld_groups_new() - create a node's group control; it doesn't lead
 * @initial: this is the first start of the whole system
 * @stall_ms: a head whose group has stood still for this long is broken
 */
struct ld_groups *ld_groups_new(
    uint64_t now_ms, bool initial, uint64_t stall_ms);
void ld_groups_free(struct ld_groups *g);
/**
 * ld_groups_set_fenced() - whether servers refuse orders with an outdated token
 *
 * False at first: an order without an answer may then be carried out after newer
 * ones, and the servers that it concerns are free only once it can't be.
 */
void ld_groups_set_fenced(struct ld_groups *g, bool fenced);

/**
 * ld_groups_acquire_delay_ms() - delay before trying to acquire a free control
 * lease
 * @larger_listed: a listed node has a larger share of a core than this one
 * @up_ms: uptime of this process
 *
 * Group control costs processor time in proportion to the number of servers.
 * Nodes with the largest share therefore try first; the others follow if none
 * of these acquires the lease.
 */
uint64_t ld_groups_acquire_delay_ms(
    struct ld_rand *rand, bool larger_listed, uint64_t up_ms);

/** ld_groups_lead() - this node has acquired the control lease */
void ld_groups_lead(struct ld_groups *g, int64_t fence, uint64_t now_ms);
/** ld_groups_yield() - the lease has ended; discards all groups and orders */
void ld_groups_yield(struct ld_groups *g);
/** ld_groups_note_traffic() - some node has received a client's request */
void ld_groups_note_traffic(struct ld_groups *g);
/**
 * ld_groups_epochs_exhausted() - the epochs of this lease are exhausted
 *
 * The lease must be acquired again, with a new fence, to form more groups.
 */
bool ld_groups_epochs_exhausted(const struct ld_groups *g);
/** ld_groups_leading() - whether this node is the leader and may send orders */
bool ld_groups_leading(const struct ld_groups *g);

/**
 * ld_groups_tick() - evaluate all servers and groups; queues orders and probes
 * @service: service whose servers form groups
 * @spec: engines of @service
 * @settled: every live server has had time to register its entry; until then
 *	incomplete groups are left unchanged and no group is formed
 * @revision: of the store, up to which @servers was read
 *
 * A head opens only after the entries of all members showed them ready to the
 * leader that orders it. A copy of the store that includes the acquisition of
 * the lease therefore shows every group that a previous leader may have opened;
 * an older copy shows servers as free that it may not, and decides nothing.
 */
void ld_groups_tick(struct ld_groups *g, struct ld_servers *servers,
    struct ld_str service, const struct ld_engine_spec *spec, bool settled,
    int64_t revision, uint64_t now_ms);

/**
 * ld_groups_adopted() - the groups of previous leaders are known
 *
 * Before that ld_groups_each_serving() lacks groups that serve.
 */
bool ld_groups_adopted(const struct ld_groups *g);

/**
 * ld_groups_alarm() - a node reports the group as silent; probes its members
 */
void ld_groups_alarm(
    struct ld_groups *g, struct ld_str group, int64_t epoch, uint64_t now_ms);

/** struct ld_serving_group - a group in service; @members[0] is the head */
struct ld_serving_group {
	const char *group;
	const char *model;
	int64_t epoch;
	size_t member_count;
	const char *members[LD_GROUP_SIZE_MAX];
};

/**
 * ld_groups_each_serving() - call @fn for each group in service
 *
 * The order is unspecified. @fn must not modify the groups.
 */
void ld_groups_each_serving(const struct ld_groups *g,
    void (*fn)(void *user, const struct ld_serving_group *s), void *user);

bool ld_groups_next_order(struct ld_groups *g, struct ld_order *out);
bool ld_groups_next_probe(struct ld_groups *g, struct ld_probe *out);
bool ld_groups_next_change(struct ld_groups *g, struct ld_group_change *out);

/**
 * ld_groups_on_order_result() - process the result of an order
 *
 * Return: false when the fence is outdated and this node must yield.
 */
bool ld_groups_on_order_result(struct ld_groups *g, const struct ld_order *o,
    enum ld_order_result r, uint64_t now_ms);

/**
 * ld_groups_on_probe_result() - process the result of a probe
 * @report: the server's report, or NULL if it did not answer
 */
void ld_groups_on_probe_result(struct ld_groups *g, const struct ld_probe *p,
    const struct ld_server_entry *report, uint64_t now_ms);

#endif
