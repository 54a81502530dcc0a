/*
 * Dispatch: which server receives a request, and whether the request is refused
 * at once because none can answer it in time. Source: lib/dispatch.
 */
#ifndef LD_DISPATCH_H
#define LD_DISPATCH_H

#include "ld_allowance.h"
#include "ld_routes.h"
#include "ld_servers.h"

/** Maximum number of servers that one request is sent to. */
#define LD_DISPATCH_TRIED_MAX 8

/**
 * struct ld_dispatch_request - inputs of the selection of a server
 * @service: its engine decides whether a group is needed
 * @model: empty if the service has no models
 * @prompt_tokens: 0 if unknown
 * @zone: failure domain of this node
 * @remaining_ms: time until the answer, or its first event, is late
 * @bias_ms: recent mean prediction error for this model, see
 *	ld_dispatch_bias_ms()
 * @repeated: an earlier selection for the same send found no server
 * @tried: ids of the servers that were tried before
 */
struct ld_dispatch_request {
	const struct ld_service_spec *service;
	struct ld_str model;
	uint64_t prompt_tokens;
	struct ld_str zone;
	uint64_t remaining_ms;
	double bias_ms;
	bool repeated;
	const char *tried[LD_DISPATCH_TRIED_MAX];
	size_t tried_count;
};

/** enum ld_dispatch_verdict - result of the selection */
enum ld_dispatch_verdict {
	LD_DISPATCH_SEND,
	LD_DISPATCH_NO_SERVER, /* no server is available now */
	LD_DISPATCH_LIMITED, /* the limits of all servers are used up */
	LD_DISPATCH_TOO_LATE /* no server is predicted to answer in time */
};

const char *ld_dispatch_verdict_name(enum ld_dispatch_verdict v);

/**
 * struct ld_dispatch_choice - the selected server and its predicted times
 * @predicted_ms: predicted time to the first event, 0 for services without
 *	engines
 * @predicted_uncorrected_ms: the same without @bias_ms of the request
 * @retry_after_ms: after a refusal, time until a retry may succeed
 * @expected_ms: @predicted_ms of a server that is as fast as the others
 * @candidates: servers that were considered
 */
struct ld_dispatch_choice {
	struct ld_server *server;
	uint64_t predicted_ms;
	uint64_t predicted_uncorrected_ms;
	uint64_t retry_after_ms;
	uint64_t expected_ms;
	size_t candidates;
};

/**
 * ld_dispatch_pick() - select a server
 *
 * Modifies the table only by counting the request at servers whose limit keeps
 * it away.
 */
enum ld_dispatch_verdict ld_dispatch_pick(struct ld_servers *servers,
    const struct ld_dispatch_request *rq, struct ld_rand *rand, uint64_t now_ms,
    struct ld_dispatch_choice *out);

/** ld_dispatch_first_ms() - predicted time to the first event at a group */
uint64_t ld_dispatch_first_ms(const struct ld_engine_spec *e,
    const struct ld_server *head, uint64_t prompt_tokens, uint64_t now_ms);
/**
 * ld_dispatch_prompt_sent() - account for a prompt that was sent to a group
 *
 * A group prefills prompts one after the other, so the remaining prefill
 * follows from the prompts sent and their times. To count each prompt until its
 * first event would include prompts that are prefilled already, and groups
 * would look busy that are free. Does nothing if @service is NULL or has no
 * engines.
 */
void ld_dispatch_prompt_sent(const struct ld_service_spec *service,
    struct ld_server *head, uint64_t tokens, uint64_t now_ms);

/* ---- Feedback from the results of requests ---- */

#define LD_DISPATCH_MODELS_MAX 16

/**
 * struct ld_dispatch_bias - mean prediction error of each model
 *
 * Engines and networks add a constant delay that the engines' figures don't
 * include.
 */
struct ld_dispatch_bias {
	uint64_t model[LD_DISPATCH_MODELS_MAX]; /* hash of the name */
	double ms[LD_DISPATCH_MODELS_MAX];
	uint32_t seen[LD_DISPATCH_MODELS_MAX]; /* number of samples */
	size_t n;
};

/**
 * ld_dispatch_add_sample() - add a sample: the first event came after
 * @actual_ms
 */
void ld_dispatch_add_sample(struct ld_dispatch_bias *b, struct ld_str model,
    uint64_t predicted_ms, uint64_t actual_ms);
double ld_dispatch_bias_ms(
    const struct ld_dispatch_bias *b, struct ld_str model);

/* ---- Servers that are slower than others ---- */

#define LD_DISPATCH_USUAL_MAX 64

/** struct ld_dispatch_usual - mean time of the answers of each route */
struct ld_dispatch_usual {
	uint64_t route[LD_DISPATCH_USUAL_MAX]; /* hash of the name */
	double ms[LD_DISPATCH_USUAL_MAX];
	size_t n;
};

/**
 * ld_dispatch_usual_ms() - the mean time of the answers of a route, before
 * @actual_ms is counted; 0 at first, and for routes beyond
 * LD_DISPATCH_USUAL_MAX
 */
double ld_dispatch_usual_ms(
    struct ld_dispatch_usual *u, struct ld_str route, double actual_ms);
/**
 * ld_dispatch_compare() - set the slowness of each server from its pace and those
 * of the others of its service and model; call a few times a second
 * @changed: called for each server that has become slow, or is no longer; NULL:
 *	not needed
 */
void ld_dispatch_compare(struct ld_servers *servers, uint64_t now_ms,
    void (*changed)(void *user, struct ld_server *s, bool slow), void *user);

/** ld_dispatch_failed() - the server was unreachable or broke off its answer */
void ld_dispatch_failed(struct ld_server *s, uint64_t now_ms);
/**
 * ld_dispatch_full() - the server had no capacity and did not run the request
 */
void ld_dispatch_full(struct ld_server *s, uint64_t now_ms);
/** ld_dispatch_retry_after() - the server's Retry-After was @after_ms */
void ld_dispatch_retry_after(
    struct ld_server *s, uint64_t now_ms, uint64_t after_ms);
/** ld_dispatch_answered() - the server sent a valid answer */
void ld_dispatch_answered(struct ld_server *s, uint64_t now_ms);

/* ---- Silent groups ---- */

/**
 * ld_dispatch_silent() - whether no stream of a group receives data
 * @on_time_since_ms: since then this process has read its sockets in time
 *
 * A head that has lost a member still accepts requests but doesn't process
 * them. The streams of all processes stop at the same time: none receives a
 * byte for longer than a pass can take. A process that was late in reading its
 * sockets can't detect it, hence @on_time_since_ms.
 */
bool ld_dispatch_silent(
    const struct ld_server *s, uint64_t on_time_since_ms, uint64_t now_ms);

/**
 * ld_dispatch_on_alarm() - another process reports the group as silent
 *
 * Return: true if the group gets no new requests for a while; false if a byte
 * was received from it recently, by this process or another.
 */
bool ld_dispatch_on_alarm(struct ld_server *s, uint64_t now_ms);

/* ---- Whether this node reaches servers at all ---- */

#define LD_REACH_FAILURES_MAX 16

/**
 * struct ld_reach_failure - failed sends to one server
 * @server: id_hash
 * @connected: the connection was there, and no byte came over it
 * @since_ms: time of the first such send, or of its last byte
 * @at_ms: when the last one failed
 */
struct ld_reach_failure {
	uint32_t server;
	bool connected;
	uint64_t since_ms;
	uint64_t at_ms;
};

/**
 * struct ld_reachability - tells a node without servers from servers that failed
 * @isolated: this node reaches no server, while other nodes do
 * @since_ms: time of the last change of @isolated
 * @probes_ok: successful probes in a row since then
 */
struct ld_reachability {
	struct ld_reach_failure failures[LD_REACH_FAILURES_MAX];
	size_t n;
	bool isolated;
	uint64_t since_ms;
	unsigned int probes_ok;
};

/** ld_reach_failed() - a send of @since_ms to @server got no byte for too long */
void ld_reach_failed(struct ld_reachability *r, uint32_t server, bool connected,
    uint64_t since_ms, uint64_t now_ms);
/**
 * ld_reach_answered() - the answer to a send of @sent_ms began over a new
 * connection
 */
void ld_reach_answered(struct ld_reachability *r, uint64_t sent_ms);
/**
 * ld_reach_heard() - a byte came from a server, over any connection
 *
 * So open connections work; a partition may refuse new ones only.
 */
void ld_reach_heard(struct ld_reachability *r);
/**
 * ld_reach_evaluate() - whether this node is isolated
 *
 * It is when its sends to several servers failed, none was answered since, and
 * other nodes have received bytes from some of these servers.
 * Servers that crashed are silent for all nodes.
 *
 * Return: true if it became isolated now.
 */
bool ld_reach_evaluate(
    struct ld_reachability *r, struct ld_servers *servers, uint64_t now_ms);
/** ld_reach_is_suspected() - its sends to more than one server have failed */
bool ld_reach_is_suspected(const struct ld_reachability *r, uint64_t now_ms);
/**
 * ld_reach_probed() - a probe over a new connection ended while isolated
 *
 * Return: true if the node is no longer isolated.
 */
bool ld_reach_probed(struct ld_reachability *r, bool answered, uint64_t now_ms);

/* ---- Repeats: one budget for each service ---- */

/**
 * A node uses this share of the retries that its own requests allow, because
 * requests are counted at their arrival and the set of nodes changes, in percent.
 */
#define LD_RETRY_LOCAL_PERCENT 75

/**
 * struct ld_retry_budget - this node's retries within a sliding window
 * @permille: limit of retries, relative to the requests of this node
 * @extra: this node's share of the fixed number of retries allowed in addition
 * @nodes_most: the most nodes that were ever listed
 * @start_ms: start of this process if another ran before, else 0
 *
 * All nodes together must stay within a ratio of their requests plus a fixed
 * number. Each node applies the ratio to its own requests, and has a share of the
 * fixed number, except in the first window after a restart.
 */
struct ld_retry_budget {
	uint64_t permille;
	uint64_t extra;
	uint64_t nodes_most;
	uint64_t start_ms;
	uint64_t window_ms;
	struct ld_window requests;
	struct ld_window retries;
};

/**
 * ld_retry_init() - start without requests and retries
 * @permille: the limit relative to this node's requests
 * @start_ms: start of the process if it replaces another one, else 0
 */
void ld_retry_init(struct ld_retry_budget *b, uint64_t window_ms,
    uint64_t permille, uint64_t start_ms);
/**
 * ld_retry_set_share() - divide @extra retries among @nodes
 *
 * A node that is no longer listed may be cut off and still use its share: the
 * divisor doesn't fall.
 */
void ld_retry_set_share(
    struct ld_retry_budget *b, uint64_t extra, uint64_t nodes);
void ld_retry_count_request(struct ld_retry_budget *b, uint64_t now_ms);
/** ld_retry_is_half_left() - whether one more retry leaves half of the budget */
bool ld_retry_is_half_left(struct ld_retry_budget *b, uint64_t now_ms);
/** ld_retry_try_acquire() - whether a retry may be sent; if so, counts it */
bool ld_retry_try_acquire(struct ld_retry_budget *b, uint64_t now_ms);

#endif
