/* Calls of plain services: admission, routing, retries and answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "service_internal.h"

#define PART "service"
#define SERVICES_PREFIX "/services/"
#define RETRY_AFTER_MS 1000
/* Maximum attempts of one idempotent call, including the first. */
#define ATTEMPTS_MAX 3
#define KEY_MAX_BYTES 256

void
service_free(struct service_call *c)
{
	if (c->call != NULL) {
		ld_service_cancel(c->call);
		ld_route_service_finished(c->node->route, node_now(c->node),
		    ld_str_c(c->service->name), ld_str_c(c->server), false);
	}
	if (c->ticket != 0)
		ld_admit_done(c->node->admit, node_now(c->node), c->ticket);
	if (c->x != NULL)
		ld_exchange_set_user_data(c->x, NULL);
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	free(c->target);
	free(c->server);
	free(c->content_type);
	free(c->key);
	free(c->owner);
	free(c);
}

/* ---- End ---- */

void
service_fail(struct service_call *c, const struct ld_problem *p)
{
	if (p->ran == LD_RAN_UNKNOWN)
		node_metric_inc(c->node, LD_M_SERVICE_UNKNOWN);
	if (c->x != NULL)
		ld_exchange_problem(c->x, p);
	service_free(c);
}

static void
fail(struct service_call *c, unsigned int code, const char *type,
    const char *title)
{
	struct ld_problem p = {
	    .code = code,
	    .type = type,
	    .title = title,
	    .ran = c->maybe_ran ? LD_RAN_UNKNOWN : LD_RAN_NO,
	    .retry_after_ms = RETRY_AFTER_MS,
	};

	service_fail(c, &p);
}

void
service_answer(struct service_call *c, long code, struct ld_str type,
    struct ld_str body, bool recorded)
{
	const char *headers[] = {"X-Ran", "yes", "X-Recorded", "yes", NULL};
	char *content_type = ld_str_dup(type);

	if (!recorded)
		headers[2] = NULL;
	if (c->x != NULL)
		ld_exchange_answer(c->x, (unsigned int)code,
		    type.len > 0 ? content_type : NULL, headers, body);
	free(content_type);
	service_free(c);
}

/* ---- Attempts ---- */

static void
retry_or_fail(struct service_call *c, const struct ld_http_result *r)
{
	struct ld_node *n = c->node;
	enum ld_status st = LD_E_LIMIT;

	if (c->attempts < ATTEMPTS_MAX)
		st = ld_route_reserve_retry(
		    n->route, node_now(n), true, c->deadline_ms);
	if (st == LD_OK) {
		node_metric_inc(n, LD_M_RETRIES);
		service_send(c);
		return;
	}
	ld_log(LD_LOG_WARNING, PART, "no answer from %s: %s", c->server,
	    ld_status_name(r->status));
	if (r->status == LD_E_TIMEOUT)
		fail(c, 504, "service-timeout", "The service did not answer");
	else
		fail(c, 502, "service-broken", "The service gave no answer");
}

static void
on_done(void *owner, const struct ld_http_result *r, struct ld_str type,
    struct ld_str body)
{
	struct service_call *c = owner;

	c->call = NULL;
	c->maybe_ran |= r->sent;
	ld_metrics_observe(c->node->metrics, LD_L_SERVICE, (double)r->ms);
	ld_route_service_finished(c->node->route, node_now(c->node),
	    ld_str_c(c->service->name), ld_str_c(c->server),
	    r->status != LD_OK);
	if (c->booking_id != 0)
		booking_send_done(c, r, type, body);
	else if (r->status == LD_OK)
		service_answer(c, r->code, type, body, false);
	else
		retry_or_fail(c, r);
}

/* Ends an attempt that sent nothing. */
static void
fail_unsent(struct service_call *c)
{
	struct ld_http_result r = {.status = LD_E_UNAVAILABLE};

	if (c->booking_id != 0)
		booking_send_done(c, &r, ld_str_c(NULL), ld_str_c(NULL));
	else
		fail(c, 503, "no-server", "No server of the service is there");
}

void
service_send(struct service_call *c)
{
	static const struct ld_service_ops ops = {.done = on_done};
	struct ld_node *n = c->node;
	const struct ld_settings *s = n->settings;
	uint64_t now = node_now(n);
	struct ld_str server;
	struct ld_service_request rq = {
	    .method = ld_exchange_method(c->x),
	    .target = c->target,
	    .content_type = c->content_type,
	    .request_id = ld_exchange_id(c->x),
	    .idempotency_key = c->key,
	    .idempotent = c->idempotent,
	    .connect_timeout_ms = s->service_connect_timeout_ms,
	};

	if (ld_route_service_pick(n->route, now, ld_str_c(c->service->name),
		ld_str_c(c->server), &server) != LD_OK) {
		fail_unsent(c);
		return;
	}
	free(c->server);
	c->server = ld_str_dup(server);
	c->attempts++;
	rq.address = c->server;
	if (ld_exchange_body(c->x).len > 0)
		rq.body = ld_exchange_body(c->x);
	rq.total_timeout_ms = c->deadline_ms > now ? c->deadline_ms - now : 1;
	ld_route_service_started(
	    n->route, ld_str_c(c->service->name), ld_str_c(c->server));
	c->call = ld_service_start(n->http, &rq, &ops, c);
	if (c->call == NULL)
		fail_unsent(c);
}

/* ---- Request ---- */

static const struct ld_service_settings *
find_service(struct ld_node *n, struct ld_str name)
{
	const struct ld_settings *s = n->settings;

	for (size_t i = 0; i < s->service_count; i++)
		if (ld_str_eq(ld_str_c(s->services[i].name), name))
			return &s->services[i];
	return NULL;
}

static bool
is_idempotent(const struct ld_service_settings *svc, const char *method,
    const char *target)
{
	for (size_t i = 0; i < svc->rule_count; i++) {
		const struct ld_call_rule *r = &svc->not_idempotent[i];

		if (strcmp(r->method, method) == 0 &&
		    ld_str_starts(ld_str_c(target), ld_str_c(r->path_prefix)))
			return false;
	}
	return true;
}

static void
unknown_service(struct ld_exchange *x)
{
	struct ld_problem p = {
	    .code = 404,
	    .type = "unknown-service",
	    .title = "There is no such service",
	    .ran = LD_RAN_NO,
	};

	ld_exchange_problem(x, &p);
}

static struct service_call *
call_new(struct ld_node *n, struct ld_exchange *x,
    const struct ld_service_settings *svc, const char *target,
    const char *owner)
{
	struct service_call *c = ld_alloc(sizeof(*c));
	const char *type = ld_exchange_header(x, "Content-Type");
	const char *key = ld_exchange_header(x, "Idempotency-Key");

	c->node = n;
	c->x = x;
	c->service = svc;
	c->owner = ld_strdup(owner);
	c->target = ld_strdup(target);
	c->content_type = type != NULL ? ld_strdup(type) : NULL;
	c->key = key != NULL ? ld_strdup(key) : NULL;
	c->idempotent = is_idempotent(svc, ld_exchange_method(x), target);
	c->deadline_ms = node_now(n) + n->settings->service_timeout_ms;
	c->next = n->service_calls;
	c->link = &n->service_calls;
	if (c->next != NULL)
		c->next->link = &c->next;
	n->service_calls = c;
	ld_exchange_set_user_data(x, c);
	return c;
}

static void
on_admission_decided(struct service_call *c, const struct ld_admit_decision *d)
{
	c->admission_pending = false;
	if (d->verdict == LD_ADMIT_NO) {
		c->ticket = 0;
		caller_refuse(c->node, c->x, d->reason, d->retry_after_ms);
		service_free(c);
		return;
	}
	c->ticket = d->ticket;
	ld_route_count_request(c->node->route, node_now(c->node));
	if (c->idempotent)
		service_send(c);
	else
		booking_start(c);
}

bool
service_admission_decided(struct ld_node *n, const struct ld_admit_decision *d)
{
	struct service_call *c;

	for (c = n->service_calls; c != NULL; c = c->next) {
		if (!c->admission_pending || c->ticket != d->ticket)
			continue;
		on_admission_decided(c, d);
		return true;
	}
	return false;
}

void
service_start(struct ld_node *n, struct ld_exchange *x)
{
	const char *rest = ld_exchange_target(x) + strlen(SERVICES_PREFIX);
	size_t name_len = strcspn(rest, "/?");
	const struct ld_service_settings *svc;
	const struct ld_entry *e = caller_authenticate(n, x);
	struct ld_admit_decision d;
	struct service_call *c;

	if (e == NULL)
		return;
	svc = find_service(n, (struct ld_str){rest, name_len});
	if (svc == NULL || rest[name_len] != '/') {
		unknown_service(x);
		return;
	}
	node_metric_inc(n, LD_M_SERVICE_CALLS);
	c = call_new(n, x, svc, rest + name_len, e->owner);
	ld_admit_request(n->admit, node_now(n), ld_str_c(e->owner), 0, &d);
	c->ticket = d.ticket;
	if (d.verdict == LD_ADMIT_WAIT)
		c->admission_pending = true;
	else
		on_admission_decided(c, &d);
	completions_act(n);
}

void
service_client_disconnected(struct service_call *c)
{
	c->x = NULL;
	if (c->booking_id != 0)
		booking_client_disconnected(c);
	else
		service_free(c);
}

void
services_close(struct ld_node *n)
{
	struct service_call *next;

	for (struct service_call *c = n->service_calls; c != NULL; c = next) {
		next = c->next;
		service_free(c);
	}
}
