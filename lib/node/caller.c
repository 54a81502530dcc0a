/* The callers' listener: authentication and dispatch of requests. */
#include <stdio.h>
#include <string.h>

#include "node_internal.h"

#define PART "caller"
#define NO_CATALOGUE_RETRY_MS 1000

/** struct caller_task - handler of the callers' listener */
struct caller_task {
	struct ld_handler handler;
	struct ld_node *node;
};

static struct caller_task caller_task;

/* ---- Identity ---- */

static void
answer(struct ld_exchange *x, unsigned int code, const char *type,
    const char *title)
{
	struct ld_problem p = {
	    .code = code, .type = type, .title = title, .ran = LD_RAN_NO};

	ld_exchange_problem(x, &p);
}

const struct ld_entry *
caller_authenticate(struct ld_node *n, struct ld_exchange *x)
{
	char hash[LD_SHA256_HEX_LEN + 1];
	struct ld_str key = ld_exchange_bearer(x);
	const struct ld_entry *e;

	if (!catalogue_admits(n)) {
		caller_refuse(
		    n, x, LD_ADMIT_R_NO_CATALOGUE, NO_CATALOGUE_RETRY_MS);
		return NULL;
	}
	if (key.len == 0) {
		answer(x, 401, "missing-key",
		    "The request has no Authorization: Bearer key");
		return NULL;
	}
	ld_sha256_hex(key, hash);
	e = ld_catalogue_find_key(n->catalogue, ld_str_c(hash));
	if (e == NULL)
		answer(
		    x, 401, "unknown-key", "No catalogue entry has this key");
	return e;
}

/* ---- Refusals ---- */

struct ld_problem
refusal_problem(enum ld_admit_reason reason, uint64_t retry_after_ms)
{
	struct ld_problem p = {.ran = LD_RAN_NO};

	p.retry_after_ms = retry_after_ms;
	p.code = 429;
	switch (reason) {
	case LD_ADMIT_R_RATE:
		p.type = "rate-limited";
		p.title = "The entry's requests per second are used up";
		break;
	case LD_ADMIT_R_TOKENS:
		p.type = "tokens-limited";
		p.title = "The entry's tokens per second are used up";
		break;
	case LD_ADMIT_R_CONCURRENT:
		p.type = "concurrency-limited";
		p.title = "The entry's concurrent requests are used up";
		break;
	case LD_ADMIT_R_UNKNOWN_OWNER:
		p.code = 403;
		p.type = "entry-removed";
		p.title = "The caller's catalogue entry was removed";
		break;
	case LD_ADMIT_R_CAPACITY:
		p.code = 503;
		p.type = "no-capacity";
		p.title = "No capacity is left over for the entry's class";
		break;
	case LD_ADMIT_R_NO_CATALOGUE:
		p.code = 503;
		p.type = "no-catalogue";
		p.title = "This instance has no catalogue in force";
		break;
	default:
		p.code = 503;
		p.type = "overloaded";
		p.title = "This instance can't take more requests";
		break;
	}
	return p;
}

enum ld_cause
refusal_cause(enum ld_admit_reason reason)
{
	switch (reason) {
	case LD_ADMIT_R_CAPACITY:
	case LD_ADMIT_R_OVERLOAD:
		return LD_C_CAPACITY;
	case LD_ADMIT_R_NO_CATALOGUE:
		return LD_C_CATALOGUE;
	default:
		return LD_C_LIMIT;
	}
}

void
caller_refuse(struct ld_node *n, struct ld_exchange *x,
    enum ld_admit_reason reason, uint64_t retry_after_ms)
{
	struct ld_problem p = refusal_problem(reason, retry_after_ms);

	node_metric_inc(n, LD_M_REFUSED);
	ld_exchange_problem(x, &p);
}

/* ---- Dispatch ---- */

static bool
is_completion(const char *path)
{
	return strcmp(path, "/v1/completions") == 0 ||
	    strcmp(path, "/v1/chat/completions") == 0;
}

static bool
is_service(const char *path)
{
	return strncmp(path, "/services/", strlen("/services/")) == 0;
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct ld_node *n = ((struct caller_task *)h)->node;
	const char *path = ld_exchange_path(x);

	node_metric_inc(n, LD_M_REQUESTS);
	if (is_service(path)) {
		service_start(n, x);
		return;
	}
	if (!is_completion(path)) {
		answer(x, 404, "unknown-path", "There is nothing at this path");
		return;
	}
	if (strcmp(ld_exchange_method(x), "POST") != 0) {
		answer(x, 405, "method-not-allowed", "Completions take POST");
		return;
	}
	completion_start(n, x);
}

static void
on_client_disconnected(struct ld_handler *h, struct ld_exchange *x)
{
	struct ld_node *n = ((struct caller_task *)h)->node;
	void *owner = ld_exchange_user_data(x);

	node_metric_inc(n, LD_M_HANGUPS);
	if (owner == NULL)
		return;
	if (is_service(ld_exchange_path(x)))
		service_client_disconnected(owner);
	else
		completion_client_disconnected(owner);
}

static void
on_client_drained(struct ld_handler *h, struct ld_exchange *x)
{
	void *owner = ld_exchange_user_data(x);

	if (owner != NULL && !is_service(ld_exchange_path(x)))
		completion_client_drained(owner);
}

enum ld_status
caller_open(struct ld_node *n)
{
	static const struct ld_handler_ops ops = {.request = on_request,
	    .client_disconnected = on_client_disconnected,
	    .client_drained = on_client_drained};
	const struct ld_settings *s = n->settings;
	struct ld_listener_config config = {
	    .host = s->entry_listen.host,
	    .port = s->entry_listen.port,
	    .max_body_bytes = s->entry_max_body_bytes,
	    .max_connections = (unsigned int)s->entry_max_connections,
	    .idle_timeout_ms = s->entry_idle_timeout_ms,
	    .head_timeout_ms = s->entry_head_timeout_ms,
	};

	caller_task.handler.ops = &ops;
	caller_task.node = n;
	return ld_listener_new(
	    n->loop, &config, &caller_task.handler, &n->entry);
}
