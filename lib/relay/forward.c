/*
 * Sends requests through another node while this one reaches no server. The
 * other node handles them as if the client had connected to it; it forwards no
 * request that was forwarded.
 */
#include "request_internal.h"

/* Nodes that one request is sent to at most. */
#define FORWARDS_MAX 4
/* A node that refused for its own state without Retry-After, or that could not be
 * reached, gets no further requests for this time, ms. */
#define EXCLUDE_MS 2000
/* Retry-After of a request that no node can send to a server, ms. */
#define RETRY_AFTER_MS 400

bool
request_can_forward(const struct request *q)
{
	return !q->forwarded && !q->helper_in_doubt &&
	    q->forwards < FORWARDS_MAX && q->possible_runs < q->max_runs &&
	    (!q->maybe_ran || request_may_run_again(q));
}

bool
request_forward(struct request *q)
{
	struct mesh_delegate helper;

	if (!mesh_find_helper(q->relay, &helper))
		return false;
	q->resume_retried = false;
	if (!send_to_node(q->send, &helper))
		request_forward_failed(q, "bad-address", false);
	return true;
}

void
send_exclude_node(struct send *s)
{
	struct relay *r = s->request->relay;
	uint64_t ms = s->response.retry_after_ms;

	mesh_exclude_helper(
	    r, s->helper, relay_now(r) + (ms > 0 ? ms : EXCLUDE_MS));
}

static void
try_next(struct request *q, const char *why)
{
	send_exclude_node(q->send);
	request_record_failed_send(q, why, "next-node");
	request_cancel_send(q);
	request_send(q);
}

void
request_forward_refused(struct request *q)
{
	uint64_t retry_after_ms = q->send->response.retry_after_ms;

	if (move_take_over(q, "node-refused"))
		return;
	if (q->send->response.code == RELAY_CODE_OTHER_NODE) {
		try_next(q, "node-refused");
		return;
	}
	if (q->response_started) {
		request_retry_or_fail(q, "node-refused");
		return;
	}
	request_record_failed_send(q, "node-refused", "give-up");
	request_fail(q, "node-refused",
	    retry_after_ms > 0 ? retry_after_ms : RETRY_AFTER_MS);
}

void
request_forward_failed(struct request *q, const char *why, bool sent)
{
	if (move_take_over(q, why))
		return;
	if (!sent && relay_now(q->relay) < q->deadline_ms) {
		try_next(q, why);
		return;
	}
	q->helper_in_doubt = sent;
	request_record_failed_send(q, why, "give-up");
	request_fail(q, why, RETRY_AFTER_MS);
}
