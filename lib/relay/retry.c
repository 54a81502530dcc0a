/* Decides whether a request may be sent again, and sends it. */
#include <stdlib.h>
#include <string.h>

#include "request_internal.h"

/* The shortest time from a send to the first token of any group. */
#define FIRST_TOKEN_MIN_MS 60
/* Bound of the sends of one request before its answer begins, whatever their
 * outcome. A begun stream is sent on, but slowly. */
#define SENDS_MAX 4
/* Time that must remain until the deadline for a retry: a connection and a
 * response take several round trips. */
#define RETRY_MIN_REMAINING_MS 100
/* Retry-After for a request that has not run: by then the servers that refused
 * it have completed several engine passes. */
#define RETRY_AFTER_MS 400

struct ld_retry_budget *
retry_budget(struct relay *r, const char *service)
{
	const struct ld_relay_settings *s = r->settings;
	struct service_budget *b;

	for (b = r->budgets; b != NULL; b = b->next)
		if (strcmp(b->service, service) == 0)
			return &b->budget;
	b = ld_alloc(sizeof(*b));
	b->service = ld_strdup(service);
	b->next = r->budgets;
	r->budgets = b;
	ld_retry_init(&b->budget, s->repeat_window_ms,
	    s->repeat_permille * LD_RETRY_LOCAL_PERCENT / 100,
	    r->replaces_process ? r->start_ms : 0);
	return &b->budget;
}

bool
request_may_run_again(const struct request *q)
{
	return q->retryable && !q->data_without_id;
}

bool
request_may_send_again(struct request *q)
{
	uint64_t retry_after_ms;

	/* The budget bounds the sends of a begun stream. */
	return !q->helper_in_doubt &&
	    (q->response_started || q->sends < SENDS_MAX) &&
	    q->possible_runs < q->max_runs &&
	    relay_now(q->relay) + RETRY_MIN_REMAINING_MS < request_end_ms(q) &&
	    !q->is_trial && !request_is_quarantined(q, &retry_after_ms);
}

static void
set_share(const struct relay *r, struct ld_retry_budget *b)
{
	ld_retry_set_share(b, r->settings->repeat_extra, mesh_node_count(r));
}

static bool
take_from_budget(struct request *q)
{
	struct ld_retry_budget *b = retry_budget(q->relay, q->service);

	set_share(q->relay, b);
	return ld_retry_try_acquire(b, relay_now(q->relay));
}

/* Moves leave half of the budget to requests whose send has failed. */
bool
request_take_move(struct request *q)
{
	struct ld_retry_budget *b = retry_budget(q->relay, q->service);

	set_share(q->relay, b);
	return ld_retry_is_half_left(b, relay_now(q->relay)) &&
	    ld_retry_try_acquire(b, relay_now(q->relay));
}

/* Whether a retry is allowed; if so, takes it from the budget. */
bool
request_take_retry(struct request *q)
{
	if (q->maybe_ran && !request_may_run_again(q))
		return false;
	if (q->helper_in_doubt)
		return false;
	/* No server has received it: the other node's send is the first. */
	if (!q->maybe_ran && isolation_is_active(q->relay) &&
	    request_can_forward(q))
		return relay_now(q->relay) + RETRY_MIN_REMAINING_MS <
		    request_end_ms(q);
	/* One stream that all servers refuse must not use up the budget. */
	if (q->sends >= SENDS_MAX &&
	    relay_now(q->relay) < q->send->sent_ms + RETRY_AFTER_MS)
		return false;
	return request_may_send_again(q) && take_from_budget(q);
}

/*
 * The send ended without a response and the server may have run the request.
 * possible_runs counts only sends whose server may have started: a group starts
 * with the first token, which takes longer than FIRST_TOKEN_MIN_MS.
 */
void
send_mark_maybe_ran(struct send *s)
{
	struct request *q = s->request;

	q->maybe_ran = true;
	if (q->model[0] == '\0' || s->last_byte_ms > 0 ||
	    relay_now(q->relay) - s->sent_ms >= FIRST_TOKEN_MIN_MS)
		q->possible_runs++;
}

/* A response counts as a run, whatever its status code. */
void
request_mark_ran(struct request *q)
{
	q->maybe_ran = true;
	q->possible_runs++;
}

static void
send_again(struct request *q, const char *why)
{
	request_record_failed_send(q, why, "repeat");
	relay_count(q->relay,
	    q->response_started ? LD_M_RELAY_RESUMED : LD_M_RELAY_REPEATS);
	request_cancel_send(q);
	request_send(q);
}

bool
request_retry(struct request *q, const char *why)
{
	if (move_take_over(q, why))
		return true;
	if (!request_take_retry(q))
		return false;
	send_again(q, why);
	return true;
}

void
request_retry_or_fail(struct request *q, const char *why)
{
	if (request_retry(q, why))
		return;
	/* The budget may have a retry before the client leaves. */
	if (q->response_started && request_may_run_again(q) &&
	    request_may_send_again(q)) {
		request_record_failed_send(q, why, "wait");
		request_cancel_send(q);
		request_wait_for_retry(q);
		return;
	}
	request_record_failed_send(q, why, "give-up");
	request_fail(q, why, RETRY_AFTER_MS);
}

void
retry_budgets_free(struct relay *r)
{
	while (r->budgets != NULL) {
		struct service_budget *b = r->budgets;

		r->budgets = b->next;
		free(b->service);
		free(b);
	}
}
