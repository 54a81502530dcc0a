/* The operators' listener: status, metrics, readiness, drain, catalogue. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node_internal.h"

#define OPERATOR_CONNECTIONS_MAX 64
#define REVISION_BYTES 24

/** struct operator_task - handler of the operators' listener */
struct operator_task {
	struct ld_handler handler;
	struct ld_node *node;
};

static struct operator_task operator_task;

static void
answer_problem(struct ld_exchange *x, unsigned int code, const char *type,
    const char *title, const char *detail)
{
	struct ld_problem p = {.code = code,
	    .type = type,
	    .title = title,
	    .detail = detail,
	    .ran = LD_RAN_NO};

	ld_exchange_problem(x, &p);
}

static void
answer_json(struct ld_exchange *x, unsigned int code, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);
	struct ld_buf body = {0};

	ld_buf_printf(&body, "%s\n", text);
	ld_exchange_answer(
	    x, code, "application/json", NULL, ld_buf_str(&body));
	ld_buf_free(&body);
	free(text);
	json_decref(doc);
}

/* ---- GET requests ---- */

static json_t *
unconfirmed_nodes(struct ld_node *n, json_int_t revision)
{
	struct ld_str *names = NULL;
	json_t *list = json_array();
	size_t count;

	count = fleet_unconfirmed(n->fleet, revision, &names);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(
		    list, json_stringn(names[i].p, names[i].len));
	fleet_names_free(names, count);
	return list;
}

static const char *
phase_name(enum node_phase p)
{
	static const char *const names[] = {"starting", "serving", "draining"};

	return names[p];
}

static bool
is_ready(const struct ld_node *n)
{
	return n->phase == NODE_SERVING && catalogue_admits(n) &&
	    node_now(n) >= n->settled_ms;
}

static void
get_ready(struct ld_node *n, struct ld_exchange *x)
{
	bool ready = is_ready(n);

	answer_json(x, ready ? 200 : 503,
	    json_pack(
		"{s:b,s:s}", "ready", ready, "phase", phase_name(n->phase)));
}

static void
get_status(struct ld_node *n, struct ld_exchange *x)
{
	json_int_t revision =
	    n->catalogue != NULL ? ld_catalogue_revision(n->catalogue) : 0;

	answer_json(x, 200,
	    json_pack("{s:s,s:b,s:s,s:I,s:I,s:b,s:I,s:I,s:o,s:b,s:I}", "phase",
		phase_name(n->phase), "ready", is_ready(n), "failure_domain",
		n->settings->failure_domain, "catalogue_revision", revision,
		"store_revision", (json_int_t)ld_store_revision(n->store),
		"store_alarm", ld_store_alarm(n->store), "open_requests",
		(json_int_t)ld_listener_open_exchanges(n->entry),
		"capacity_slots",
		(json_int_t)ld_route_capacity(n->route, node_now(n)),
		"unconfirmed", unconfirmed_nodes(n, revision), "delegate",
		catalogue_is_delegate(n), "catalogue_alarms",
		(json_int_t)catalogue_alarms(n)));
}

static void
get_counters(struct ld_node *n, struct ld_exchange *x)
{
	struct ld_buf out = {0};

	node_update_gauges(n);
	ld_metrics_write(n->metrics, &out);
	ld_exchange_answer(
	    x, 200, "text/plain; version=0.0.4", NULL, ld_buf_str(&out));
	ld_buf_free(&out);
}

static void
get_burn(struct ld_node *n, struct ld_exchange *x)
{
	struct ld_buf out = {0};

	ld_burn_write(n->burn, node_now(n), &out);
	ld_exchange_answer(x, 200, "application/json", NULL, ld_buf_str(&out));
	ld_buf_free(&out);
}

static void
get_history(struct ld_node *n, struct ld_exchange *x)
{
	struct ld_buf out = {0};

	history_write(n->history, node_now(n), &out);
	ld_exchange_answer(x, 200, "application/json", NULL, ld_buf_str(&out));
	ld_buf_free(&out);
}

static void
get_catalogue(struct ld_node *n, struct ld_exchange *x)
{
	char revision[REVISION_BYTES];
	const char *headers[] = {"ETag", revision, NULL};
	struct ld_buf out = {0};

	if (n->catalogue == NULL) {
		answer_problem(
		    x, 404, "no-catalogue", "No catalogue is in force", NULL);
		return;
	}
	snprintf(revision, sizeof(revision), "%lld",
	    (long long)ld_catalogue_revision(n->catalogue));
	ld_catalogue_write(n->catalogue, &out);
	ld_exchange_answer(
	    x, 200, "application/json", headers, ld_buf_str(&out));
	ld_buf_free(&out);
}

/* ---- Dispatch ---- */

static void
post_drain(struct ld_node *n, struct ld_exchange *x)
{
	node_drain(n);
	answer_json(x, 202, json_pack("{s:s}", "phase", phase_name(n->phase)));
}

static const struct route {
	const char *method;
	const char *path;
	void (*fn)(struct ld_node *n, struct ld_exchange *x);
} routes[] = {
    {"GET", "/ready", get_ready},
    {"GET", "/status", get_status},
    {"GET", "/counters", get_counters},
    {"GET", "/burn", get_burn},
    {"GET", "/catalogue/history", get_history},
    {"GET", "/catalogue", get_catalogue},
    {"PUT", "/catalogue", edit_start},
    {"POST", "/drain", post_drain},
};

static bool
has_token(struct ld_node *n, struct ld_exchange *x)
{
	struct ld_str given = ld_exchange_bearer(x);
	struct ld_str token = ld_str_c(n->settings->operator_token);

	return given.len == token.len &&
	    ld_equal_ct(given.p, token.p, token.len);
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct ld_node *n = ((struct operator_task *)h)->node;
	bool path_known = false;

	/* Readiness checks of load balancers send no token. */
	if (strcmp(ld_exchange_path(x), "/ready") != 0 && !has_token(n, x)) {
		answer_problem(x, 401, "unknown-token",
		    "The operator token is missing or wrong", NULL);
		return;
	}
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].path, ld_exchange_path(x)) != 0)
			continue;
		path_known = true;
		if (strcmp(routes[i].method, ld_exchange_method(x)) != 0)
			continue;
		routes[i].fn(n, x);
		return;
	}
	if (path_known)
		answer_problem(x, 405, "method-not-allowed",
		    "This path takes another method", NULL);
	else
		answer_problem(x, 404, "unknown-path",
		    "There is nothing at this path", NULL);
}

static void
on_client_disconnected(struct ld_handler *h, struct ld_exchange *x)
{
	if (ld_exchange_user_data(x) != NULL)
		edit_client_disconnected(ld_exchange_user_data(x));
}

enum ld_status
operator_open(struct ld_node *n)
{
	static const struct ld_handler_ops ops = {.request = on_request,
	    .client_disconnected = on_client_disconnected};
	const struct ld_settings *s = n->settings;
	struct ld_listener_config config = {
	    .host = s->operator_listen.host,
	    .port = s->operator_listen.port,
	    .max_body_bytes = LD_CATALOGUE_MAX_BYTES,
	    .max_connections = OPERATOR_CONNECTIONS_MAX,
	    .idle_timeout_ms = s->entry_idle_timeout_ms,
	    .head_timeout_ms = s->entry_head_timeout_ms,
	};

	operator_task.handler.ops = &ops;
	operator_task.node = n;
	return ld_listener_new(
	    n->loop, &config, &operator_task.handler, &n->operators);
}
