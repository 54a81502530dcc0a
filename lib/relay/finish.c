/* How a request ends: its final answer, and the lines that tell why. */
#include <string.h>

#include "request_internal.h"

/* Answered requests that are logged: one in so many, by id, so that all nodes
 * keep the same ones. */
#define LOG_ONE_IN 16

void
request_note_end(
    struct request *q, const char *outcome, long code, const char *why)
{
	char id[LD_EVENT_TOKEN_BYTES];
	uint64_t now = relay_now(q->relay);
	bool fine = strcmp(outcome, "answered") == 0;

	counts_ended(q, outcome);
	if (fine)
		counts_sent(q, outcome);
	if (fine)
		ld_metrics_observe(q->relay->metrics, LD_L_RELAY_ANSWER,
		    (double)(now - q->start_ms));
	if (fine && q->first_event_ms > 0)
		ld_metrics_observe(
		    q->relay->metrics, LD_L_RELAY_GAP, (double)q->worst_gap_ms);
	if (fine && ld_hash64(ld_str_c(q->attempt_id), 2) % LOG_ONE_IN != 0)
		return;
	ld_event("request.end",
	    "id=%s outcome=%s code=%ld why=%s ms=%llu first_ms=%lld "
	    "predicted_ms=%llu gap_ms=%llu sends=%u maybe_ran=%d service=%s "
	    "model=%s prompt=%llu account=%s last_server=%s",
	    ld_event_token(ld_str_c(q->attempt_id), id), outcome, code, why,
	    (unsigned long long)(now - q->start_ms),
	    q->first_event_ms > 0 ? (long long)(q->first_event_ms - q->start_ms)
				  : -1LL,
	    (unsigned long long)q->predicted_ms,
	    (unsigned long long)q->worst_gap_ms, q->sends, q->maybe_ran,
	    q->service, q->model, (unsigned long long)q->prompt_tokens,
	    q->account,
	    q->tried_count > 0 ? q->tried[q->tried_count - 1] : "-");
}

/* The exchange no longer belongs to the request: its answer comes now. */
static struct ld_exchange *
release_exchange(struct request *q)
{
	struct ld_exchange *x = q->x;

	ld_exchange_set_owner(x, NULL);
	q->x = NULL;
	return x;
}

/*
 * The final answer of our own. "Not run" (503) is said only when no server
 * can have run it; otherwise the answer promises nothing.
 */
void
request_fail(struct request *q, const char *why, uint64_t retry_after_ms)
{
	struct ld_exchange *x = release_exchange(q);
	unsigned int code = 502;

	request_cancel_send(q);
	if (q->begun) {
		relay_count(q->relay, LD_M_RELAY_BROKEN);
		request_note_end(q, "broken", 0, why);
		ld_exchange_abort(x);
		request_free(q);
		return;
	}
	if (!q->maybe_ran)
		code = 503;
	else if (relay_now(q->relay) >= q->end_ms)
		code = 504;
	relay_count(q->relay, LD_M_FAILED);
	request_note_end(q, "failed", code, why);
	listen_refuse(q->relay, x, code, why, code == 503 ? retry_after_ms : 0);
	request_free(q);
}

/* A server's answer is whole: its exchange, to be ended. */
static struct ld_exchange *
take_answered(struct request *q)
{
	relay_count(q->relay, LD_M_RELAY_ANSWERED);
	request_note_end(q, "answered", q->answer.code, "-");
	return release_exchange(q);
}

void
request_pass_on(struct request *q)
{
	ld_exchange_answer(take_answered(q), (unsigned int)q->answer.code, NULL,
	    answer_headers(&q->answer), ld_buf_str(&q->answer.body));
	request_free(q);
}

void
request_end_stream(struct request *q)
{
	ld_exchange_end(take_answered(q));
	request_free(q);
}

void
request_note_failed(struct request *q, const char *why, const char *next)
{
	char id[LD_EVENT_TOKEN_BYTES];

	counts_sent(q, why);
	ld_event("send.failed",
	    "id=%s server=%s why=%s code=%ld ms=%llu next=%s last_event=%lld",
	    ld_event_token(ld_str_c(q->attempt_id), id),
	    q->tried_count > 0 ? q->tried[q->tried_count - 1] : "-", why,
	    q->answer.code,
	    (unsigned long long)(relay_now(q->relay) - q->sent_ms), next,
	    (long long)q->last_id);
}
