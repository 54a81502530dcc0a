/* One send of a request to a server or to another node. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request_internal.h"

/* Allows a few round trips between failure domains. A lost SYN is retransmitted
 * only after 1 s. */
#define CONNECT_TIMEOUT_MS 400

struct send *
send_new(struct request *q, const struct ld_http_sink_ops *ops)
{
	struct send *s = ld_alloc(sizeof(*s));

	s->sink.ops = ops;
	s->request = q;
	s->events.max_event_bytes = q->relay->settings->max_event_bytes;
	return s;
}

void
send_cancel(struct send *s)
{
	if (s->call != NULL) {
		send_note_abandoned(s, send_may_have_run(s));
		ld_http_cancel(s->call);
	}
	s->call = NULL;
	s->helper[0] = '\0';
	if (s->server == NULL)
		return;
	s->server->active--;
	s->server->refs--;
	s->server->load_changed_ms = relay_now(s->request->relay);
	s->server = NULL;
}

void
send_free(struct send *s)
{
	send_cancel(s);
	response_reset(&s->response);
	ld_sse_free(&s->events);
	memory_account(s);
	free(s);
}

const char *
send_server_id(const struct send *s)
{
	return s->server_id[0] != '\0' ? s->server_id : "-";
}

bool
send_may_have_run(const struct send *s)
{
	return s->call != NULL && ld_http_maybe_sent(s->call);
}

const char *
send_helper(const struct send *s)
{
	return s->helper[0] != '\0' ? s->helper : "-";
}

/* Methods with a body send Content-Length also when it is empty. */
static bool
has_body(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	    strcmp(method, "PATCH") == 0;
}

static void
reset(struct send *s, uint64_t now_ms)
{
	response_reset(&s->response);
	ld_sse_reset(&s->events);
	memory_account(s);
	s->reused = false;
	s->crash_noted = false;
	s->silence_noted_ms = 0;
	s->last_byte_ms = 0;
	s->first_event_ms = 0;
	s->sent_ms = now_ms;
}

/* Returns false if the address is not valid. */
static bool
start_call(struct send *s, const char *address)
{
	struct request *q = s->request;
	struct relay *r = q->relay;
	uint64_t remaining_ms = q->deadline_ms - relay_now(r);
	struct headers h = {0};
	struct ld_buf url = {0};
	const char *method = ld_exchange_method(q->x);
	struct ld_http_request rq = {
	    .method = method,
	    .target = ld_exchange_target(q->x),
	    .bare = true,
	    .body = ld_exchange_body(q->x),
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .total_timeout_ms = remaining_ms,
	    .fresh = !q->retryable,
	    .max_body = r->settings->max_answer_bytes,
	};

	reset(s, relay_now(r));
	q->sends++;
	headers_build(s, &h, remaining_ms);
	ld_buf_printf(&url, "http://%s/", address);
	rq.url = ld_buf_cstr(&url);
	rq.headers = (const char *const *)h.line;
	if (rq.body.len == 0)
		rq.body.p = has_body(method) ? "" : NULL;
	s->call = ld_http_start(r->http, &rq, &s->sink);
	headers_free(&h);
	ld_buf_free(&url);
	return s->call != NULL;
}

bool
send_to_server(struct send *s, const struct ld_dispatch_choice *c)
{
	struct request *q = s->request;
	struct ld_server *to = c->server;
	uint64_t now = relay_now(q->relay);

	s->server = to;
	s->born_ms = to->entry.started_ms;
	snprintf(s->server_id, sizeof(s->server_id), "%s", to->entry.id);
	s->predicted_ms = c->predicted_ms;
	s->predicted_uncorrected_ms = c->predicted_uncorrected_ms;
	s->expected_ms = c->expected_ms;
	counts_send_started(s);
	to->refs++;
	to->active++;
	ld_dispatch_prompt_sent(
	    ld_routes_service(q->relay->routes, ld_str_c(q->service)), to,
	    q->prompt_tokens, now);
	ld_server_note_sent(to, q->prompt_tokens, now);
	request_note_tried(q, to->entry.id);
	relay_count(q->relay, LD_M_RELAY_SENDS);
	return start_call(s, to->entry.address);
}

bool
send_to_node(struct send *s, const struct mesh_delegate *node)
{
	struct request *q = s->request;
	char id[LD_EVENT_TOKEN_BYTES];

	q->forwards++;
	snprintf(s->group, sizeof(s->group), "-");
	snprintf(s->helper, sizeof(s->helper), "%s", node->name);
	relay_count(q->relay, LD_M_RELAY_FORWARDED);
	ld_event("request.forward", "id=%s node=%s forwards=%u",
	    ld_event_token(ld_str_c(q->attempt_id), id), node->name,
	    q->forwards);
	return start_call(s, node->address);
}
