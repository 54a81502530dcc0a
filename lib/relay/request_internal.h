/* State of one client request, and the functions that process it. */
#ifndef REQUEST_INTERNAL_H
#define REQUEST_INTERNAL_H

#include "relay_internal.h"

/** struct response - the part of a server's response received so far */
struct response {
	long code;
	char **fields; /* names and values, ended by NULL */
	size_t field_count;
	size_t field_capacity;
	size_t head_bytes; /* of the fields kept */
	struct ld_buf body;
	bool has_attempt_id;
	bool attempt_id_matches;
	bool needs_attempt_id; /* it may answer an earlier request */
	bool is_signed;
	bool not_run; /* the server states that it did not run the request */
	bool leaving; /* the server states that it is shutting down */
	uint64_t retry_after_ms; /* from Retry-After, 0: absent or not valid */
	bool names_rate; /* the server names the rate that it takes */
	uint32_t rate_milli; /* requests per 1,000 s */
	bool is_encoded;
	bool has_framing; /* a length or chunks: its end is certain */
};

/** enum response_verdict - how a response is handled */
enum response_verdict {
	RESPONSE_VALID, /* relayed to the client unchanged */
	RESPONSE_NOT_RUN, /* refused; the request may be sent elsewhere */
	RESPONSE_INVALID /* for another request, unsigned or altered */
};

void response_reset(struct response *rsp);
void response_add_field(struct response *rsp, const struct ld_dialect *d,
    const char *attempt_id, struct ld_str name, struct ld_str value);
/** response_verdict() - call only when the whole head has been received */
enum response_verdict response_verdict(const struct response *rsp);
/**
 * response_headers() - header fields to relay: names and values in turn, ended
 * by NULL
 */
const char *const *response_headers(const struct response *rsp);

/**
 * struct send - one send of a request to a server or to another node
 * @sink: receives the response; must be the first member
 */
struct send {
	struct ld_http_sink sink;
	struct request *request;
	struct ld_http_call *call; /* NULL: it has ended, or not begun */
	struct ld_server *server; /* NULL if sent to another node */
	char helper[LD_GROUP_NAME_MAX]; /* that node, empty for none */
	char server_id[LD_GROUP_NAME_MAX]; /* of the last server, or empty */
	char group[LD_GROUP_NAME_MAX]; /* "-" for none */
	uint64_t sent_ms;
	bool reused; /* it ended on a connection of an earlier send */
	bool crash_noted; /* see send_note_crash() */
	uint64_t silence_noted_ms; /* see send_note_silence(), 0: never */
	int64_t born_ms; /* start of the server as known then, 0: unknown */
	uint64_t first_event_ms; /* first event, 0: none */
	uint64_t last_byte_ms; /* last body bytes, 0: none */
	uint64_t predicted_ms; /* time to the first event */
	uint64_t predicted_uncorrected_ms; /* without the learned bias */
	uint64_t expected_ms; /* of a server as fast as the others */
	struct response response;
	struct ld_sse events; /* received, and not complete */
	size_t held_bytes; /* of both, part of the relay's: memory.c */
};

/**
 * struct request - one client request
 * @prev_next: the pointer that points at this request in the list
 * @send: the send in progress, or the last one
 * @move: a second one beside it, to the server that the request may move to
 */
struct request {
	struct request *next;
	struct request **prev_next;
	struct relay *relay;
	struct ld_exchange *x; /* NULL once answered or disconnected */
	char *attempt_id;
	char *route;
	char *account;
	char *service;
	char *model;
	uint32_t priority; /* of the account if it has one, else of the route */
	enum ld_request_kind kind;
	bool retryable; /* it may run more than once */
	int64_t config; /* version of the configuration that accepted it */
	uint32_t max_runs; /* bound of possible_runs */
	uint64_t start_ms;
	uint64_t deadline_ms; /* the request fails then */
	uint64_t objective_ms;
	uint64_t prompt_tokens;
	struct ld_prompt prompt;
	struct send *send;
	struct send *move;
	/* All sends. */
	unsigned int sends;
	unsigned int possible_runs; /* sends that may have run */
	bool maybe_ran;
	bool answer_went_on; /* see ld_quarantine_went_on() */
	bool is_trial; /* see request_take_trial() */
	bool forwarded; /* by another node: not forwarded again */
	bool helper_in_doubt; /* another node may have sent it to a server */
	unsigned int forwards; /* sends to other nodes */
	uint32_t tried_failed; /* bit I: a send to tried[I] failed */
	char *tried[LD_DISPATCH_TRIED_MAX];
	size_t tried_count;
	/* Event streams only. */
	bool response_started; /* its head was sent to the client */
	bool data_without_id; /* after the last id: a new run repeats it */
	uint64_t last_event_id; /* last one relayed, UINT64_MAX: none */
	uint64_t first_event_ms;
	uint64_t last_event_ms;
	uint64_t max_gap_ms;
	uint64_t next_move_ms; /* see move_consider() */
	struct ld_timer timer;
	bool resume_pending; /* the timer is set to try to resume */
	bool resume_retried; /* no server was found for it yet */
};

/* ---- request.c ---- */

/** request_send() - choose a server and send to it, or end the request */
void request_send(struct request *q);
/** struct next_hop - where a request could be sent next */
struct next_hop {
	bool is_node; /* else a server */
	struct mesh_delegate node;
	struct ld_dispatch_choice choice;
};

/**
 * request_find_next() - another server, or node if isolated, can take it now
 */
bool request_find_next(struct request *q, struct next_hop *to);
/**
 * request_end_ms() - when it is ended: its deadline, or in a stop the end of the
 * process if that is earlier
 */
uint64_t request_end_ms(const struct request *q);
/**
 * request_wait_for_retry() - resume the stream once a server takes it and the
 * budget has a retry
 *
 * Tries until request_end_ms() or until the client leaves: how long a pause it
 * allows is the client's decision.
 */
void request_wait_for_retry(struct request *q);
/** request_note_tried() - a send to the server has begun */
void request_note_tried(struct request *q, const char *server);
/** request_note_failed() - one has failed: it gets the request no more */
void request_note_failed(struct request *q, const char *server);
/** request_cancel_send() - cancel the send in progress, if any */
void request_cancel_send(struct request *q);
void request_free(struct request *q);

/* ---- send.c ---- */

struct send *send_new(struct request *q, const struct ld_http_sink_ops *ops);
void send_free(struct send *s);
/** send_to_server() - send to the server chosen; false if its address is bad */
bool send_to_server(struct send *s, const struct ld_dispatch_choice *c);
/** send_to_node() - the same to another node, which sends it to a server */
bool send_to_node(struct send *s, const struct mesh_delegate *node);
/** send_cancel() - end it, if in progress; its connection is closed */
void send_cancel(struct send *s);
/** send_server_id() - id of the last server, "-" for none, for the log */
const char *send_server_id(const struct send *s);
/** send_helper() - the node that it goes through, "-" for none, for the log */
const char *send_helper(const struct send *s);
/** send_may_have_run() - in progress, and the server may have received it */
bool send_may_have_run(const struct send *s);

/* ---- receive.c ---- */

extern const struct ld_http_sink_ops request_sink_ops;

void send_on_field(
    struct ld_http_sink *sink, struct ld_str name, struct ld_str value);
/** send_receive_head() - NULL, or why the response can't be used */
const char *send_receive_head(struct send *s, long code, struct ld_str type);
bool send_is_event_stream(const struct send *s);
/** send_receive_bytes() - of the body; true if they are those of a stream */
bool send_receive_bytes(struct send *s, struct ld_str bytes);
/** send_note_failed() - the server failed it; it gets the request no more */
void send_note_failed(struct send *s);
/** send_note_refused() - the server says that it has not run the request */
void send_note_refused(struct send *s);
/** send_receive_failure() - the call ended without a response */
void send_receive_failure(struct send *s, const struct ld_http_result *result);
const char *send_failure_name(enum ld_status st);
/**
 * request_receive_events() - relay the events received; @q may be freed afterwards
 */
void request_receive_events(struct request *q);

/**
 * send_reject() - end a send whose response can't be used; its request may be freed
 */
void send_reject(struct send *s, const char *why);

/* ---- memory.c ---- */

/** memory_account() - the buffers of @s have changed */
void memory_account(struct send *s);
/**
 * memory_exceeded() - whether bodies take more than their part of the memory
 *
 * If so, memory_relieve() ends the largest; a request may be freed.
 */
bool memory_exceeded(const struct relay *r);
void memory_relieve(struct relay *r);

/* ---- move.c ---- */

/**
 * move_consider() - begin a second send if the server of the first is silent and
 * that is possible now; @q is never freed
 */
void move_consider(struct request *q, uint64_t now_ms);
/** move_end() - end the second send, if any; the first one goes on */
void move_end(struct request *q, const char *why);
/**
 * move_take_over() - the first send has failed: the second takes its place
 *
 * Return: false if there is none.
 */
bool move_take_over(struct request *q, const char *why);

/* ---- forward.c: sends through other nodes ---- */

/** request_forward() - send to another node; false if there is none */
bool request_forward(struct request *q);
/** request_can_forward() - whether it may be sent to another node now */
bool request_can_forward(const struct request *q);
/**
 * request_forward_refused() - the other node says that no server ran it; tries
 * the next node, or ends the request
 */
void request_forward_refused(struct request *q);
/** send_exclude_node() - forward nothing to its node for a while */
void send_exclude_node(struct send *s);
/** request_forward_failed() - the send to the other node gave no answer */
void request_forward_failed(struct request *q, const char *why, bool sent);

/* ---- retry.c ---- */

struct ld_retry_budget *retry_budget(struct relay *r, const char *service);
void retry_budgets_free(struct relay *r);
/** request_may_run_again() - no part of it would come twice */
bool request_may_run_again(const struct request *q);
/** request_may_send_again() - within the bounds of a retry but the budget */
bool request_may_send_again(struct request *q);
/** request_take_move() - the same of the budget, for a move; takes it */
bool request_take_move(struct request *q);
/** send_mark_maybe_ran() - no response; the server may have run it */
void send_mark_maybe_ran(struct send *s);
/** request_mark_ran() - the server responded: counts as a run */
void request_mark_ran(struct request *q);
/** request_take_retry() - whether a retry is allowed; takes it from the budget */
bool request_take_retry(struct request *q);
/** request_retry() - send again if that is allowed; false if it isn't */
bool request_retry(struct request *q, const char *why);
/** request_retry_or_fail() - retry or end it; @q may be freed afterwards */
void request_retry_or_fail(struct request *q, const char *why);
/* ---- finish.c ---- */

/** request_fail() - end the request without a server's response; frees @q */
void request_fail(struct request *q, const char *why, uint64_t retry_after_ms);
/** request_relay_response() - relay a complete response; frees @q */
void request_relay_response(struct request *q);
/** request_end_stream() - end a stream that is complete; frees @q */
void request_end_stream(struct request *q);
/** request_record_end() - log and count the end of the request */
void request_record_end(
    struct request *q, const char *outcome, long code, const char *why);
/** request_record_failed_send() - log and count a send that failed */
void request_record_failed_send(
    struct request *q, const char *why, const char *next);

/* ---- crashing_requests.c ---- */

/**
 * request_is_quarantined() - a part of its prompt crashes servers
 * @retry_after_ms: set to the time until the next trial if so
 */
bool request_is_quarantined(struct request *q, uint64_t *retry_after_ms);
/**
 * request_take_trial() - whether it is sent although it is quarantined, once: it
 * may crash the server
 */
bool request_take_trial(struct request *q);
/** send_note_crash() - its server broke it off, or is silent as if it had */
void send_note_crash(struct send *s);
/**
 * send_note_silence() - check whether its server has crashed if it, and the server,
 * have been silent for a while
 */
void send_note_silence(struct send *s);
/**
 * send_note_abandoned() - the same of a send that ends without an answer at its
 * deadline, or before, after less time
 * @sent: the server may have received it
 */
void send_note_abandoned(struct send *s, bool sent);
/** request_note_event() - an event of the send in progress was received */
void request_note_event(struct request *q);
/** request_note_answer() - the answer is complete */
void request_note_answer(struct request *q);

/* ---- pace.c ---- */

/** pace_note_first_event() - the first event of a send has arrived */
void pace_note_first_event(const struct send *s);
/** pace_note_answer() - the answer of a service without engines is complete */
void pace_note_answer(const struct send *s);

/* ---- counts.c ---- */

void counts_request_ended(const struct request *q, const char *outcome);
void counts_send_started(struct send *s);
void counts_send_ended(const struct send *s, const char *result);

/* ---- headers.c ---- */

/** struct headers - header fields of a send; zero-initialise before use */
struct headers {
	const struct send *send;
	struct ld_buf connection; /* the client's Connection fields */
	char **line; /* "Name: value", ended by NULL */
	size_t count;
	size_t capacity;
};

/** headers_build() - the header fields of @s */
void headers_build(
    const struct send *s, struct headers *h, uint64_t remaining_ms);
void headers_free(struct headers *h);

#endif
