/*
 * Serves the store changes that this node received to peers, and accepts the
 * requests that they forward. A peer requests
 * the changes after its own revision; the answer is delayed until there are
 * some (long poll), or reports after a time limit that there were none.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "change_log.h"
#include "relay_internal.h"

/* Longest wait of an answer, ms. A copy that is two hops from the store is
 * older by two such waits, for which the margin of API keys has room. */
#define ANSWER_WAIT_MS 300
/* A following peer sends its next request well within this time, ms: the wait
 * of an answer, its pause after changes, and a delay under load. */
#define IN_USE_MS 2000
/* More than a client has: this node adds fields. */
#define CONNECTION_BYTES ((size_t)128 * 1024)
#define BODY_BYTES 64
/* The nodes of a failure domain, with room for those that start meanwhile. */
#define CONNECTIONS_MAX 512
#define IDLE_MS 30000
#define HEAD_MS 3000
#define CONTENT_TYPE "application/msgpack"

/** struct changes_request - a request that waits for changes */
struct changes_request {
	struct changes_request *next;
	struct ld_exchange *exchange;
	int64_t after;
	uint64_t received_ms;
};

/** struct changes_server - the listener and the changes that it serves */
struct changes_server {
	struct ld_handler handler; /* first member */
	struct relay *relay;
	struct ld_listener *listener;
	struct change_log log;
	struct changes_request *waiting;
	uint64_t last_request_ms; /* last request of a peer, 0: none */
};

/* ---- Answers ---- */

static void
refuse(struct changes_server *s, struct ld_exchange *x, unsigned int code,
    const char *why)
{
	relay_count(s->relay, LD_M_RELAY_CHANGES_REFUSED);
	ld_exchange_answer(x, code, "text/plain", NULL, ld_str_c(why));
}

/* Why no changes can be served, or NULL. */
static const char *
why_unable(const struct changes_server *s)
{
	if (s->relay->stopping)
		return "stopping\n";
	if (!feed_is_watching(s->relay) && !follow_is_direct(s->relay))
		return "does not watch the store\n";
	return NULL;
}

/* @received_ms: when the request came; the age in the answer refers to that
 * time */
static void
send_answer(struct changes_server *s, struct ld_exchange *x, int64_t after,
    uint64_t received_ms)
{
	const char *why = why_unable(s);
	uint64_t age_ms = feed_age_ms(s->relay);
	uint64_t held_ms = relay_now(s->relay) - received_ms;
	struct ld_buf b = {0};

	if (why != NULL) {
		refuse(s, x, 503, why);
		return;
	}
	if (change_log_is_compacted(&s->log, after)) {
		refuse(s, x, 410, "changes in between are not kept\n");
		return;
	}
	if (after > s->log.revision) {
		refuse(s, x, 404, "that revision is not known here yet\n");
		return;
	}
	change_log_encode(
	    &s->log, after, age_ms > held_ms ? age_ms - held_ms : 0, &b);
	relay_count(s->relay, LD_M_RELAY_CHANGES_SERVED);
	ld_exchange_answer(x, 200, CONTENT_TYPE, NULL, ld_buf_str(&b));
	ld_buf_free(&b);
}

/* Answers the requests that need not wait longer. */
static void
answer_waiting(struct changes_server *s)
{
	uint64_t now = relay_now(s->relay);
	bool unable = why_unable(s) != NULL;
	struct changes_request **at = &s->waiting;

	while (*at != NULL) {
		struct changes_request *a = *at;

		if (!unable && !change_log_has_after(&s->log, a->after) &&
		    now < a->received_ms + ANSWER_WAIT_MS) {
			at = &a->next;
			continue;
		}
		*at = a->next;
		send_answer(s, a->exchange, a->after, a->received_ms);
		free(a);
	}
}

/* ---- Requests ---- */

/* Parses the revision in "/changes?after=REVISION"; later versions may add
 * parameters. */
static bool
read_target(const char *target, int64_t *after)
{
	static const char start[] = "/changes?after=";
	char *end;
	long long n;

	if (strncmp(target, start, sizeof(start) - 1) != 0)
		return false;
	errno = 0;
	n = strtoll(target + sizeof(start) - 1, &end, 10);
	if (errno != 0 || (*end != '\0' && *end != '&') ||
	    end == target + sizeof(start) - 1 || n <= 0)
		return false;
	*after = n;
	return true;
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct changes_server *s = (struct changes_server *)h;
	struct changes_request *a;
	int64_t after;

	if (listen_is_forwarded(x)) {
		listen_forwarded(s->relay, x);
		return;
	}
	if (!read_target(ld_exchange_target(x), &after)) {
		refuse(s, x, 400, "expected /changes?after=REVISION\n");
		return;
	}
	s->last_request_ms = relay_now(s->relay);
	if (why_unable(s) != NULL || change_log_is_compacted(&s->log, after) ||
	    change_log_has_after(&s->log, after)) {
		send_answer(s, x, after, s->last_request_ms);
		return;
	}
	a = ld_alloc(sizeof(*a));
	a->exchange = x;
	a->after = after;
	a->received_ms = relay_now(s->relay);
	a->next = s->waiting;
	s->waiting = a;
}

/* The node that forwards a request has checked it against the limits. */
static void
on_refused(
    struct ld_handler *h, struct ld_exchange *x, const struct ld_problem *why)
{
	struct changes_server *s = (struct changes_server *)h;

	if (listen_is_forwarded(x))
		listen_refuse_here(s->relay, x, why->type, why->retry_after_ms);
	else
		ld_exchange_problem(x, why);
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
	struct changes_server *s = (struct changes_server *)h;
	struct request *forwarded = ld_exchange_user_data(x);

	if (forwarded != NULL) {
		request_client_disconnected(forwarded);
		return;
	}
	for (struct changes_request **at = &s->waiting; *at != NULL;
	     at = &(*at)->next) {
		struct changes_request *a = *at;

		if (a->exchange != x)
			continue;
		*at = a->next;
		free(a);
		return;
	}
}

static void
on_drained(struct ld_handler *h, struct ld_exchange *x)
{
	struct request *forwarded = ld_exchange_user_data(x);

	if (forwarded != NULL)
		request_client_drained(forwarded);
}

/* ---- Changes from the store ---- */

void
changes_server_reset(struct relay *r, int64_t revision)
{
	change_log_reset(&r->changes_server->log, revision);
}

void
changes_server_add(struct relay *r, const struct ld_store_changes *changes)
{
	change_log_append(&r->changes_server->log, changes);
	answer_waiting(r->changes_server);
}

void
changes_server_tick(struct relay *r)
{
	answer_waiting(r->changes_server);
}

void
changes_server_set_bounds(struct relay *r, size_t max_body_bytes,
    uint64_t idle_timeout_ms, uint64_t head_timeout_ms)
{
	/* The node that forwards a request has checked its head. */
	ld_listener_set_bounds(r->changes_server->listener, 0, max_body_bytes,
	    idle_timeout_ms, head_timeout_ms);
}

void
changes_server_set_closing(struct relay *r)
{
	ld_listener_set_closing(r->changes_server->listener);
}

size_t
changes_server_open_exchanges(const struct relay *r)
{
	return ld_listener_open_exchanges(r->changes_server->listener);
}

size_t
changes_server_held_bytes(const struct relay *r)
{
	return ld_listener_held_bytes(r->changes_server->listener);
}

bool
changes_server_in_use(const struct relay *r)
{
	const struct changes_server *s = r->changes_server;

	return s->last_request_ms != 0 &&
	    relay_now(r) < s->last_request_ms + IN_USE_MS;
}

/* ---- Start and end ---- */

enum ld_status
changes_server_open(struct relay *r)
{
	static const struct ld_handler_ops ops = {.request = on_request,
	    .client_disconnected = on_gone,
	    .client_drained = on_drained,
	    .refused = on_refused};
	struct changes_server *s = ld_alloc(sizeof(*s));
	struct ld_listener_config c = {
	    .host = r->settings->entry_listen.host,
	    .port = (uint16_t)r->settings->peers_port,
	    .connection_bytes = CONNECTION_BYTES,
	    .max_answer_head_bytes = RELAY_ANSWER_HEAD_MAX_BYTES,
	    .max_body_bytes = BODY_BYTES,
	    .max_held_bytes = memory_limit_bytes(r),
	    .max_connections = CONNECTIONS_MAX,
	    .idle_timeout_ms = IDLE_MS,
	    .head_timeout_ms = HEAD_MS,
	    .no_request_id = true,
	};

	s->handler.ops = &ops;
	s->relay = r;
	r->changes_server = s;
	return ld_listener_new(r->loop, &c, &s->handler, &s->listener);
}

void
changes_server_close(struct relay *r)
{
	struct changes_server *s = r->changes_server;

	if (s == NULL)
		return;
	ld_listener_free(s->listener);
	while (s->waiting != NULL) {
		struct changes_request *a = s->waiting;

		s->waiting = a->next;
		free(a);
	}
	change_log_free(&s->log);
	free(s);
}
