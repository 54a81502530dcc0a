/* Ends requests: the final response to the client, log lines and metrics. */
#include <string.h>

#include "request_internal.h"

/* One in this many answered requests is logged. The choice is by hash of the
 * attempt id, so that all nodes log the same requests. */
#define LOG_SAMPLE_ONE_IN 16

void
request_record_end(
    struct request *q, const char *outcome, long code, const char *why)
{
	char id[LD_EVENT_TOKEN_BYTES], parts[LD_PROMPT_TEXT_BYTES];
	uint64_t now = relay_now(q->relay);
	bool answered = strcmp(outcome, "answered") == 0;

	counts_request_ended(q, outcome);
	if (answered)
		counts_send_ended(q->send, outcome);
	if (answered)
		ld_metrics_observe(q->relay->metrics, LD_L_RELAY_ANSWER,
		    (double)(now - q->start_ms));
	if (answered && q->first_event_ms > 0)
		ld_metrics_observe(
		    q->relay->metrics, LD_L_RELAY_GAP, (double)q->max_gap_ms);
	if (answered &&
	    ld_hash64(ld_str_c(q->attempt_id), 2) % LOG_SAMPLE_ONE_IN != 0)
		return;
	ld_event("request.end",
	    "id=%s outcome=%s code=%ld why=%s ms=%llu first_ms=%lld "
	    "predicted_ms=%llu gap_ms=%llu sends=%u maybe_ran=%d service=%s "
	    "model=%s prompt=%llu parts=%s request=%llx account=%s "
	    "last_server=%s node=%s",
	    ld_event_token(ld_str_c(q->attempt_id), id), outcome, code, why,
	    (unsigned long long)(now - q->start_ms),
	    q->first_event_ms > 0 ? (long long)(q->first_event_ms - q->start_ms)
				  : -1LL,
	    (unsigned long long)q->send->predicted_ms,
	    (unsigned long long)q->max_gap_ms, q->sends, q->maybe_ran,
	    q->service, q->model, (unsigned long long)q->prompt_tokens,
	    ld_prompt_text(&q->prompt, parts),
	    (unsigned long long)q->prompt.request, q->account,
	    send_server_id(q->send), send_helper(q->send));
}

/* Detaches the exchange from the request, for the final response. */
static struct ld_exchange *
detach_exchange(struct request *q)
{
	struct ld_exchange *x = q->x;

	ld_exchange_set_user_data(x, NULL);
	q->x = NULL;
	return x;
}

/* Another node may be able to run what this one can't. */
static bool
is_fault_of_node(const struct relay *r)
{
	return r->refusing || isolation_is_active(r);
}

/*
 * 503 guarantees that no server ran the request, so it is sent only when none
 * can have done so. 502 and 504 leave open whether it ran.
 */
void
request_fail(struct request *q, const char *why, uint64_t retry_after_ms)
{
	struct ld_exchange *x = detach_exchange(q);
	unsigned int code = 502;

	q->maybe_ran |= send_may_have_run(q->send) ||
	    (q->move != NULL && send_may_have_run(q->move));
	request_cancel_send(q);
	if (q->response_started) {
		relay_count(q->relay, LD_M_RELAY_BROKEN);
		request_record_end(q, "broken", 0, why);
		ld_exchange_abort(x);
		request_free(q);
		return;
	}
	if (!q->maybe_ran)
		code = 503;
	else if (relay_now(q->relay) >= q->deadline_ms)
		code = 504;
	relay_count(q->relay, LD_M_FAILED);
	request_record_end(q, "failed", code, why);
	if (code == 503 && is_fault_of_node(q->relay))
		listen_refuse_here(q->relay, x, why, retry_after_ms);
	else
		listen_refuse(
		    q->relay, x, code, why, code == 503 ? retry_after_ms : 0);
	request_free(q);
}

/* Records the end of an answered request; the caller ends the exchange. */
static struct ld_exchange *
end_answered(struct request *q)
{
	relay_count(q->relay, LD_M_RELAY_ANSWERED);
	request_record_end(q, "answered", q->send->response.code, "-");
	return detach_exchange(q);
}

void
request_relay_response(struct request *q)
{
	ld_exchange_answer_with(end_answered(q),
	    (unsigned int)q->send->response.code,
	    response_headers(&q->send->response), &q->send->response.body);
	request_free(q);
}

void
request_end_stream(struct request *q)
{
	ld_exchange_end(end_answered(q));
	request_free(q);
}

void
request_record_failed_send(struct request *q, const char *why, const char *next)
{
	char id[LD_EVENT_TOKEN_BYTES], parts[LD_PROMPT_TEXT_BYTES];
	const struct ld_server *s = q->send->server;
	uint64_t now = relay_now(q->relay);

	counts_send_ended(q->send, why);
	ld_event("send.failed",
	    "id=%s server=%s node=%s why=%s code=%ld ms=%llu next=%s "
	    "last_event=%lld parts=%s request=%llx fresh=%d reused=%d "
	    "peers_heard_ago_ms=%lld",
	    ld_event_token(ld_str_c(q->attempt_id), id),
	    send_server_id(q->send), send_helper(q->send), why,
	    q->send->response.code,
	    (unsigned long long)(relay_now(q->relay) - q->send->sent_ms), next,
	    (long long)q->last_event_id, ld_prompt_text(&q->prompt, parts),
	    (unsigned long long)q->prompt.request, !q->retryable,
	    q->send->reused,
	    s != NULL && s->peer_last_byte_ms > 0
		? (long long)(now - s->peer_last_byte_ms)
		: -1LL);
}
