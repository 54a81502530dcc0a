/* One request on its way through a relay. */
#ifndef REQUEST_INTERNAL_H
#define REQUEST_INTERNAL_H

#include "events.h"
#include "relay_internal.h"

#define ANSWER_FIELDS_MAX 64

/** struct answer - what a server has answered so far */
struct answer {
	long code;
	char *fields[2 * ANSWER_FIELDS_MAX + 1]; /* names and values */
	size_t field_count;
	struct ld_buf body;
	bool has_attempt_id;
	bool attempt_id_matches;
	bool is_signed;
	bool not_run; /* the server says that it did not run the request */
	bool leaving; /* the server says that it leaves */
	uint64_t retry_after_ms; /* it wants nothing for so long, 0: not told */
	bool encoded;
};

/** enum answer_verdict - what an answer is good for */
enum answer_verdict {
	ANSWER_SOUND, /* the server's own: passed on as it is */
	ANSWER_NOT_RUN, /* refused; another server may be asked */
	ANSWER_FOREIGN /* not the answer to this request, or spoilt */
};

void answer_reset(struct answer *a);
void answer_field(struct answer *a, const struct ld_dialect *d,
    const char *attempt_id, struct ld_str name, struct ld_str value);
/** answer_verdict() - once the head is there */
enum answer_verdict answer_verdict(const struct answer *a);
/** answer_headers() - names and values to pass on, ended by NULL */
const char *const *answer_headers(struct answer *a);

/** struct request - first member is the receiver of the server's answer */
struct request {
	struct ld_http_sink sink;
	struct request *next;
	struct request **link;
	struct relay *relay;
	struct ld_exchange *x; /* NULL once answered or gone */
	char *attempt_id;
	char *route;
	char *account;
	char *service;
	char *model;
	uint32_t priority; /* of the account, or else of the route */
	enum ld_kind kind;
	bool repeatable; /* may run more than once */
	uint32_t attempts_max;
	uint64_t start_ms;
	uint64_t end_ms; /* the final answer is due */
	uint64_t objective_ms;
	uint64_t prompt_tokens;
	/* The send under way. */
	struct ld_http_call *call;
	struct ld_server *server;
	char group[LD_GROUP_NAME_MAX]; /* of the last send, "-" for none */
	uint64_t sent_ms;
	uint64_t heard_ms; /* last bytes of this send, 0 for none */
	uint64_t predicted_ms;
	uint64_t engine_ms; /* the same without what was learnt */
	struct answer answer;
	/* All sends. */
	unsigned int sends;
	unsigned int runs; /* sends that may have run */
	bool maybe_ran;
	char *tried[LD_DISPATCH_TRIED_MAX];
	size_t tried_count;
	/* A stream. */
	struct events events;
	bool begun; /* the head of the answer was passed on */
	uint64_t last_id; /* of the last event passed on, UINT64_MAX: none */
	uint64_t first_event_ms;
	uint64_t last_event_ms;
	uint64_t worst_gap_ms;
	struct ld_timer timer;
	bool waits; /* the timer is for another try */
};

/* ---- request.c ---- */

/** request_send() - choose a server and send, or end the request */
void request_send(struct request *q);
/** request_cancel_send() - end the send under way, if any */
void request_cancel_send(struct request *q);
void request_free(struct request *q);

/* ---- settle.c ---- */

extern const struct ld_http_sink_ops request_sink_ops;

/* ---- repeats.c ---- */

struct ld_repeat_budget *request_budget(struct relay *r, const char *service);
void request_budgets_free(struct relay *r);
/** request_note_maybe_ran() - the send gave no answer and may have run */
void request_note_maybe_ran(struct request *q);
/** request_note_ran() - the server answered, so it ran the request */
void request_note_ran(struct request *q);
/** request_repeat() - send once more if that is allowed; false if it isn't */
bool request_repeat(struct request *q, const char *why);
/** request_try_again() - the same, or end the request; @q may be gone */
void request_try_again(struct request *q, const char *why);
/** request_leave_silent() - send it elsewhere if its group stands still */
void request_leave_silent(struct request *q, uint64_t now_ms);

/* ---- finish.c: the request is gone afterwards, but for the log lines ---- */

void request_fail(struct request *q, const char *why, uint64_t retry_after_ms);
/** request_pass_on() - the whole answer of a server */
void request_pass_on(struct request *q);
void request_end_stream(struct request *q);
/** request_note_end() - log and count its end */
void request_note_end(
    struct request *q, const char *outcome, long code, const char *why);
/** request_note_failed() - log and count a send without an answer to pass on */
void request_note_failed(struct request *q, const char *why, const char *next);

/* ---- counts.c ---- */

/** counts_ended() - the request has ended */
void counts_ended(const struct request *q, const char *outcome);
/** counts_note_send() - a send to @s begins */
void counts_note_send(struct request *q, const struct ld_server *s);
/** counts_sent() - it has ended */
void counts_sent(const struct request *q, const char *result);

/* ---- lines.c ---- */

#define LINES_MAX 100

/** struct lines - header lines of a send; zero-initialise before use */
struct lines {
	struct request *q;
	const char *connection; /* fields that the client names as its own */
	char *at[LINES_MAX + 1];
	size_t n;
};

/** lines_build() - what is sent to the server of @q */
void lines_build(struct request *q, struct lines *l, uint64_t left_ms);
void lines_free(struct lines *l);

#endif
