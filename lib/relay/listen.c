/* Accepts client requests: checks framing, finds the route and the account. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "relay_internal.h"

#define MS_PER_S 1000.0
/* Retry-After of a node without a configuration or with outdated keys: reading
 * the store takes a few round trips. */
#define NOT_READY_RETRY_MS 300
/* The same to a node that has a later configuration: it reaches most nodes within this
 * time. */
#define CONFIG_LAG_MS 100
/* Retry-After of a node that is shutting down: another node can take the
 * request at once. */
#define STOPPING_RETRY_MS 20
/* Limits until the first configuration is loaded: larger than any that
 * operators have set so far. */
#define INITIAL_BODY_BYTES ((size_t)16 * 1024 * 1024)
#define INITIAL_IDLE_MS 15000
#define INITIAL_HEAD_MS 5000
/* A head of 16 KB in fields of 15 bytes, and that of the answer. */
#define CONNECTION_BYTES ((size_t)96 * 1024)
/* Part of this process's memory for the connections of clients. */
#define CONNECTIONS_MEMORY_DIVISOR 2
#define BYTES_PER_MB ((uint64_t)1024 * 1024)
/* Descriptors reserved for the store, servers, listeners and files. */
#define RESERVED_DESCRIPTORS 1200ULL

void
listen_refuse(struct relay *r, struct ld_exchange *x, unsigned int code,
    const char *reason, uint64_t retry_after_ms)
{
	const char *attempt =
	    ld_exchange_header(x, r->dialect->fields[LD_FIELD_ATTEMPT_ID]);
	char id[LD_EVENT_TOKEN_BYTES], seconds[32];
	const char *not_run = r->dialect->fields[LD_FIELD_NOT_EXECUTED];
	const char *headers[] = {
	    "Content-Type", "text/plain", NULL, NULL, NULL, NULL, NULL};
	size_t n = 2;

	snprintf(seconds, sizeof(seconds), "%.3f",
	    (double)retry_after_ms / MS_PER_S);
	if (retry_after_ms > 0) {
		headers[n++] = "Retry-After";
		headers[n++] = seconds;
	}
	/* Tells the node that forwards the request that no server ran it. */
	if (listen_is_forwarded(x) && (code < 500 || code == 503)) {
		headers[n++] = not_run;
		headers[n++] = "1";
	}
	relay_count(r, LD_M_REFUSED);
	ld_event("request.refused",
	    "id=%s code=%u reason=%s retry_after_ms=%llu config=%lld "
	    "age_ms=%lld",
	    ld_event_token(ld_str_c(attempt), id), code, reason,
	    (unsigned long long)retry_after_ms,
	    r->routes != NULL ? (long long)r->routes->version : 0LL,
	    (long long)feed_age_ms(r));
	ld_exchange_answer(x, code, NULL, headers, ld_str_c(reason));
}

void
listen_refuse_here(struct relay *r, struct ld_exchange *x, const char *reason,
    uint64_t retry_after_ms)
{
	if (listen_is_forwarded(x))
		listen_refuse(r, x, RELAY_CODE_OTHER_NODE, reason, 0);
	else
		listen_refuse(r, x, 503, reason, retry_after_ms);
}

/* ---- Framing ---- */

/** struct framing - counts of the header fields that framing depends on */
struct framing {
	unsigned int lengths;
	unsigned int encodings;
	unsigned int hosts;
};

static void
count_framing(void *user, const char *name, const char *value)
{
	struct framing *f = user;

	f->lengths += strcasecmp(name, "Content-Length") == 0;
	f->encodings += strcasecmp(name, "Transfer-Encoding") == 0;
	f->hosts += strcasecmp(name, "Host") == 0;
}

/* Conflicting body lengths would allow request smuggling (RFC 9112, 11.2). */
static bool
has_valid_framing(struct ld_exchange *x)
{
	struct framing f = {0};

	ld_exchange_fields(x, count_framing, &f);
	return f.lengths + f.encodings <= 1 && f.hosts == 1;
}

/* ---- Route and account ---- */

static struct ld_str
request_host(struct ld_exchange *x)
{
	struct ld_str host = ld_str_c(ld_exchange_header(x, "Host"));
	const char *colon = memchr(host.p, ':', host.len);

	if (colon != NULL)
		host.len = (size_t)(colon - host.p);
	return host;
}

static struct ld_str
request_api_key(struct relay *r, struct ld_exchange *x)
{
	const char *value =
	    ld_exchange_header(x, r->dialect->fields[LD_FIELD_AUTHORIZATION]);
	size_t n = strlen(r->dialect->auth_scheme);

	if (value == NULL ||
	    strncasecmp(value, r->dialect->auth_scheme, n) != 0)
		return ld_str_c(NULL);
	return ld_str_c(value + n);
}

static uint64_t
attempt_hash(struct relay *r, struct ld_exchange *x)
{
	return ld_hash64(ld_str_c(ld_exchange_header(
			     x, r->dialect->fields[LD_FIELD_ATTEMPT_ID])),
	    1);
}

/* A request that may run once must not be cut off at the end of the grace period:
 * it would be unknown whether it ran. */
static bool
is_too_late_to_run_once(const struct relay *r, struct ld_exchange *x,
    const struct ld_route_rule *rule)
{
	return r->stopping && !request_kind_may_repeat(rule) &&
	    request_deadline_ms(r, x, rule) > r->stop_ends_ms;
}

static void
accept_request(
    struct relay *r, struct ld_exchange *x, struct request_routing facts)
{
	relay_count(r, LD_M_REQUESTS);
	if (!has_valid_framing(x)) {
		listen_refuse(r, x, 400, "bad-framing", 0);
		return;
	}
	if (r->refusing) {
		listen_refuse_here(r, x, "stopping", STOPPING_RETRY_MS);
		return;
	}
	if (r->routes == NULL) {
		listen_refuse_here(r, x, "no-config", NOT_READY_RETRY_MS);
		return;
	}
	/* By an older one it might run at another service, or be denied. */
	if (r->routes->version < facts.mark.config) {
		listen_refuse(r, x, RELAY_CODE_OTHER_NODE, "config-outdated",
		    CONFIG_LAG_MS);
		return;
	}
	facts.rule = ld_routes_match(
	    r->routes, request_host(x), ld_str_c(ld_exchange_path(x)));
	if (facts.rule == NULL) {
		listen_refuse(r, x, 404, "no-route", 0);
		return;
	}
	if (is_too_late_to_run_once(r, x, facts.rule)) {
		listen_refuse_here(r, x, "stopping", STOPPING_RETRY_MS);
		return;
	}
	if (!facts.rule->anonymous && r->routes->account_count > 0) {
		if (!feed_keys_current(r)) {
			listen_refuse_here(
			    r, x, "keys-outdated", NOT_READY_RETRY_MS);
			return;
		}
		facts.account =
		    ld_routes_account(r->routes, request_api_key(r, x));
		if (facts.account == NULL) {
			listen_refuse(r, x, 401, "unknown-key", 0);
			return;
		}
	}
	facts.service = ld_route_rule_share(facts.rule, attempt_hash(r, x));
	ld_groups_note_traffic(control_groups(r));
	request_start(r, x, &facts);
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct relay *r =
	    (struct relay *)((char *)h - offsetof(struct relay, entry_handler));

	accept_request(r, x, (struct request_routing){0});
}

bool
listen_is_forwarded(struct ld_exchange *x)
{
	return ld_exchange_header(x, RELAY_FORWARDED_FIELD) != NULL;
}

/* The version in "config=VERSION", alone or before further words. */
static int64_t
read_config_word(const char *words)
{
	static const char name[] = "config=";
	long long n;
	char *end;

	if (strncmp(words, name, sizeof(name) - 1) != 0)
		return 0;
	n = strtoll(words + sizeof(name) - 1, &end, 10);
	return (*end == '\0' || *end == ' ') && n > 0 ? n : 0;
}

bool
listen_read_forwarded(const char *value, struct forwarded_mark *out)
{
	const char *runs = strchr(value, ' ');
	char *end;

	*out = (struct forwarded_mark){.runs_left = 1};
	if (runs == NULL)
		return *value != '\0';
	if (*++runs < '0' || *runs > '9')
		return false;
	out->runs_left = (uint32_t)strtoul(runs, &end, 10);
	if (*end == ' ')
		out->config = read_config_word(end + 1);
	return *end == '\0' || *end == ' ';
}

void
listen_forwarded(struct relay *r, struct ld_exchange *x)
{
	struct request_routing facts = {.forwarded = true};

	if (!mesh_is_node_address(r, ld_exchange_sender(x)))
		listen_refuse_here(r, x, "unknown-node", 0);
	else if (!listen_read_forwarded(
		     ld_exchange_header(x, RELAY_FORWARDED_FIELD), &facts.mark))
		listen_refuse_here(r, x, "unknown-version", 0);
	else if (isolation_is_active(r))
		listen_refuse_here(r, x, "isolated", 0);
	else
		accept_request(r, x, facts);
}

static void
on_disconnect(struct ld_handler *h, struct ld_exchange *x)
{
	struct request *q = ld_exchange_user_data(x);

	if (q != NULL)
		request_client_disconnected(q);
}

static void
on_drained(struct ld_handler *h, struct ld_exchange *x)
{
	struct request *q = ld_exchange_user_data(x);

	if (q != NULL)
		request_client_drained(q);
}

static unsigned int
connections_max(const struct ld_relay_settings *s)
{
	uint64_t by_memory = s->memory_mb * BYTES_PER_MB /
	    CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
	uint64_t n = s->max_descriptors > 2 * RESERVED_DESCRIPTORS
	    ? s->max_descriptors - RESERVED_DESCRIPTORS
	    : s->max_descriptors / 2;

	return (unsigned int)(n < by_memory ? n : by_memory);
}

enum ld_status
listen_open(struct relay *r)
{
	static const struct ld_handler_ops ops = {.request = on_request,
	    .client_disconnected = on_disconnect,
	    .client_drained = on_drained};
	const struct ld_relay_settings *s = r->settings;
	struct ld_listener_config config = {
	    .host = s->entry_listen.host,
	    .port = s->entry_listen.port,
	    .connection_bytes = CONNECTION_BYTES,
	    .max_answer_head_bytes = RELAY_ANSWER_HEAD_MAX_BYTES,
	    .max_body_bytes = INITIAL_BODY_BYTES,
	    .max_held_bytes = memory_limit_bytes(r),
	    .max_connections = connections_max(s),
	    .idle_timeout_ms = INITIAL_IDLE_MS,
	    .head_timeout_ms = INITIAL_HEAD_MS,
	    .no_request_id = true,
	};

	r->entry_handler.ops = &ops;
	return ld_listener_new(r->loop, &config, &r->entry_handler, &r->entry);
}
