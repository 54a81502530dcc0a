/*
 * Placing and refusing: which server takes a request, and when it is better
 * told at once that none can. Source: lib/dispatch.
 */
#ifndef LD_DISPATCH_H
#define LD_DISPATCH_H

#include "ld_routes.h"
#include "ld_servers.h"

/** Servers that one request may have been sent to. */
#define LD_DISPATCH_TRIED_MAX 8

/**
 * struct ld_dispatch_request - what placing needs to know
 * @service: its engine decides whether a group is needed
 * @model: empty where the service has no models
 * @prompt_tokens: 0 when not known
 * @zone: failure domain of this node
 * @left_ms: until the answer, or its first event, is late
 * @bias_ms: what predictions for this model have lately been short by
 * @tried: servers that were tried before, by id
 */
struct ld_dispatch_request {
	const struct ld_service_spec *service;
	struct ld_str model;
	uint64_t prompt_tokens;
	struct ld_str zone;
	uint64_t left_ms;
	double bias_ms;
	const char *tried[LD_DISPATCH_TRIED_MAX];
	size_t tried_count;
};

/** enum ld_dispatch_verdict - outcome */
enum ld_dispatch_verdict {
	LD_DISPATCH_SEND,
	LD_DISPATCH_NO_SERVER, /* none can take it now */
	LD_DISPATCH_TOO_LATE /* all are so busy that it would be late */
};

const char *ld_dispatch_verdict_name(enum ld_dispatch_verdict v);

/**
 * struct ld_dispatch_choice - the server and why
 * @first_ms: predicted time to the first event, 0 for plain services
 * @engine_ms: the same from the engine's figures alone, without @bias_ms
 * @retry_after_ms: when to come back after a refusal
 */
struct ld_dispatch_choice {
	struct ld_server *server;
	uint64_t first_ms;
	uint64_t engine_ms;
	uint64_t retry_after_ms;
	size_t candidates;
};

/** ld_dispatch_pick() - decide; nothing is changed */
enum ld_dispatch_verdict ld_dispatch_pick(struct ld_servers *servers,
    const struct ld_dispatch_request *rq, struct ld_rand *rand, uint64_t now_ms,
    struct ld_dispatch_choice *out);

/** ld_dispatch_first_ms() - predicted time to the first event at a group */
uint64_t ld_dispatch_first_ms(const struct ld_engine_spec *e,
    const struct ld_server *head, uint64_t prompt_tokens, uint64_t now_ms);
/**
 * ld_dispatch_prompt_sent() - a prompt is on its way to a group
 *
 * A group reads prompts one after the other, so what is left to read follows
 * from what was sent there and when. Counting prompts until their first event
 * counts what was read long ago: groups that were chosen a while ago look busy
 * when they are free. Nothing for a service without engines, or NULL.
 */
void ld_dispatch_prompt_sent(const struct ld_service_spec *service,
    struct ld_server *head, uint64_t tokens, uint64_t now_ms);

/* ---- What the outcome of a send teaches ---- */

#define LD_DISPATCH_MODELS_MAX 16

/**
 * struct ld_dispatch_bias - how far predictions are off, for each model
 *
 * Engines take a constant time that they don't tell, and so do networks.
 */
struct ld_dispatch_bias {
	uint64_t model[LD_DISPATCH_MODELS_MAX]; /* hash of its name */
	double ms[LD_DISPATCH_MODELS_MAX];
	uint32_t seen[LD_DISPATCH_MODELS_MAX]; /* first events */
	size_t n;
};

/** ld_dispatch_learn() - a first event came after @actual_ms */
void ld_dispatch_learn(struct ld_dispatch_bias *b, struct ld_str model,
    uint64_t predicted_ms, uint64_t actual_ms);
double ld_dispatch_bias_ms(
    const struct ld_dispatch_bias *b, struct ld_str model);

/** ld_dispatch_failed() - the server broke off or could not be reached */
void ld_dispatch_failed(struct ld_server *s, uint64_t now_ms);
/** ld_dispatch_full() - the server refused the request without running it */
void ld_dispatch_full(struct ld_server *s, uint64_t now_ms);
/** ld_dispatch_retry_after() - the server asked for no request for so long */
void ld_dispatch_retry_after(
    struct ld_server *s, uint64_t now_ms, uint64_t after_ms);
/** ld_dispatch_answered() - a sound answer came */
void ld_dispatch_answered(struct ld_server *s, uint64_t now_ms);

/* ---- Groups that stand still ---- */

/**
 * ld_dispatch_silent() - whether a group stands still, as its streams tell
 * @watched_since_ms: from then on this process read its sockets in time
 *
 * A head whose member is lost accepts requests and does nothing. It shows in
 * the streams of all processes at once: none gets a byte for longer than a pass
 * can take. A process that was late itself can't tell.
 */
bool ld_dispatch_silent(
    const struct ld_server *s, uint64_t watched_since_ms, uint64_t now_ms);

/**
 * ld_dispatch_alarmed() - another process says that the group stands still
 *
 * Return: whether it gets no new request for now; false when a byte of it was
 * heard of lately.
 */
bool ld_dispatch_alarmed(struct ld_server *s, uint64_t now_ms);

/* ---- Repeats: one budget for each service ---- */

/**
 * struct ld_repeat_budget - repeats of the last window, of this node alone
 *
 * All nodes together must stay below @permille of the requests plus a fixed
 * number; each uses its own requests and its part of the fixed number.
 */
#define LD_REPEAT_SLOTS 20

struct ld_repeat_budget {
	uint64_t slot_ms;
	uint64_t permille;
	uint64_t extra;
	uint64_t at; /* number of the slot in use */
	uint32_t requests[LD_REPEAT_SLOTS];
	uint32_t repeats[LD_REPEAT_SLOTS];
};

void ld_repeat_init(struct ld_repeat_budget *b, uint64_t window_ms,
    uint64_t permille, uint64_t extra);
void ld_repeat_request(struct ld_repeat_budget *b, uint64_t now_ms);
/** ld_repeat_take() - whether a repeat may be sent; counts it */
bool ld_repeat_take(struct ld_repeat_budget *b, uint64_t now_ms);

#endif
