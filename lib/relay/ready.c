/* HTTP endpoints for the load balancer's readiness checks and for metrics. */
#include <stdlib.h>
#include <string.h>

#include "relay_internal.h"

#define BODY_BYTES 1024
#define CONNECTIONS_MAX 64
#define IDLE_MS 30000
#define HEAD_MS 3000

/** struct ready - listeners of the readiness and metrics endpoints */
struct ready {
	struct ld_handler handler; /* first member */
	struct relay *relay;
	struct ld_listener *readiness;
	struct ld_listener *metrics;
	bool was_ready;
};

static const char *
not_ready_reason(const struct relay *r)
{
	if (r->stopping)
		return "stopping";
	if (r->routes == NULL)
		return "no-config";
	if (!feed_keys_current(r))
		return "keys-outdated";
	return NULL;
}

static void
answer_ready(struct ready *a, struct ld_exchange *x)
{
	const char *why = not_ready_reason(a->relay);
	bool ready = why == NULL;

	if (ready != a->was_ready)
		ld_event("ready", "ready=%d why=%s age_ms=%lld", ready,
		    ready ? "-" : why, (long long)feed_age_ms(a->relay));
	a->was_ready = ready;
	ld_exchange_answer(
	    x, ready ? 200 : 503, "text/plain", NULL, ld_str_c(why));
}

/* Updates gauges, and copies counters that other modules keep themselves. */
static void
update_metrics(struct relay *r)
{
	const struct ld_store_counters *sc = ld_store_counters(r->store);
	struct ld_metrics *m = r->metrics;
	uint64_t calls = 0, failures = 0;

	for (int i = 0; i < LD_STORE_KIND_COUNT; i++) {
		calls += sc->calls[i];
		failures += sc->failures[i];
	}
	ld_metrics_set(m, LD_M_STORE_CALLS, calls);
	ld_metrics_set(m, LD_M_STORE_FAILURES, failures);
	ld_metrics_set(m, LD_M_STORE_STALE, sc->stale);
	ld_metrics_set(m, LD_M_STORE_OVER_BUDGET, sc->over_budget);
	ld_metrics_set(
	    m, LD_M_STORE_REVISION, (uint64_t)ld_store_revision(r->store));
	ld_metrics_set(m, LD_M_OPEN_REQUESTS, r->request_count);
	ld_metrics_set(m, LD_M_CONNECTIONS, ld_listener_connections(r->entry));
	ld_metrics_set(m, LD_M_HTTP_RESENDS, ld_http_resends(r->http));
	ld_metrics_set(m, LD_M_PAUSES, ld_loop_pauses(r->loop));
	ld_metrics_set(m, LD_M_PEERS_ALIVE, mesh_node_count(r) - 1);
	ld_metrics_set(m, LD_M_RELAY_CONFIG_VERSION,
	    r->routes != NULL ? (uint64_t)r->routes->version : 0);
	ld_metrics_set(m, LD_M_RELAY_CONFIG_AGE_MS, feed_age_ms(r));
	ld_metrics_set(m, LD_M_RELAY_LOG_DROPPED, ld_event_dropped());
}

static void
answer_metrics(struct ready *a, struct ld_exchange *x)
{
	struct ld_buf b = {0};

	update_metrics(a->relay);
	ld_metrics_write(a->relay->metrics, &b);
	counts_write(a->relay, &b);
	ld_exchange_answer(x, 200, "text/plain", NULL, ld_buf_str(&b));
	ld_buf_free(&b);
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct ready *a = (struct ready *)h;
	const char *path = ld_exchange_path(x);

	if (strcmp(path, a->relay->dialect->ready_path) == 0)
		answer_ready(a, x);
	else if (strcmp(path, "/metrics") == 0)
		answer_metrics(a, x);
	else
		ld_exchange_answer(
		    x, 404, "text/plain", NULL, LD_STR("no such page\n"));
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
}

static enum ld_status
open_listener(
    struct ready *a, const char *host, uint16_t port, struct ld_listener **out)
{
	struct ld_listener_config c = {
	    .host = host,
	    .port = port,
	    .max_body_bytes = BODY_BYTES,
	    .max_connections = CONNECTIONS_MAX,
	    .idle_timeout_ms = IDLE_MS,
	    .head_timeout_ms = HEAD_MS,
	    .no_request_id = true,
	};

	return ld_listener_new(a->relay->loop, &c, &a->handler, out);
}

enum ld_status
ready_open(struct relay *r)
{
	static const struct ld_handler_ops ops = {
	    .request = on_request, .client_disconnected = on_gone};
	const struct ld_relay_settings *s = r->settings;
	struct ready *a = ld_alloc(sizeof(*a));
	enum ld_status st;

	a->handler.ops = &ops;
	a->relay = r;
	r->ready = a;
	st = open_listener(
	    a, s->ready_listen.host, s->ready_listen.port, &a->readiness);
	if (st == LD_OK)
		st = open_listener(a, s->entry_listen.host,
		    (uint16_t)s->metrics_port, &a->metrics);
	return st;
}

void
ready_close(struct relay *r)
{
	if (r->ready == NULL)
		return;
	ld_listener_free(r->ready->readiness);
	ld_listener_free(r->ready->metrics);
	free(r->ready);
}
