/*
 * Tells peers what this node's watch of the store told. A peer asks for the
 * changes after the revision that it knows; the answer waits until there are
 * some, or says after a while that there were none.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "kept.h"
#include "relay_internal.h"

/* Longest wait of an answer, ms. What a node knows through two others is older
 * by two of them, for which the keys' margin has room. */
#define ANSWER_WAIT_MS 300
/* A peer that follows asks again well before this, ms: an answer's wait, its
 * pause after changes, and a busy moment. */
#define USED_MS 2000
#define BODY_BYTES 64
/* The nodes of a failure domain, and some that start meanwhile. */
#define CONNECTIONS_MAX 512
#define IDLE_MS 30000
#define HEAD_MS 3000
#define CONTENT_TYPE "application/msgpack"

/** struct asked - a peer that waits for its answer */
struct asked {
	struct asked *next;
	struct ld_exchange *exchange;
	int64_t after;
	uint64_t since_ms;
};

/** struct share - the listener and what it tells */
struct share {
	struct ld_handler handler; /* first member */
	struct relay *relay;
	struct ld_listener *listener;
	struct kept kept;
	struct asked *waiting;
	uint64_t used_ms; /* a peer asked last, 0: none did */
};

/* ---- Answers ---- */

static void
refuse(
    struct share *s, struct ld_exchange *x, unsigned int code, const char *why)
{
	relay_count(s->relay, LD_M_RELAY_CHANGES_REFUSED);
	ld_exchange_answer(x, code, "text/plain", NULL, ld_str_c(why));
}

/* Why nobody can be told anything, or NULL. */
static const char *
not_a_delegate(const struct share *s)
{
	if (s->relay->stopping)
		return "stopping\n";
	if (!feed_watches(s->relay) && !follow_is_direct(s->relay))
		return "does not watch the store\n";
	return NULL;
}

/* @since_ms: when the question came; the age that is told is as of then */
static void
answer(struct share *s, struct ld_exchange *x, int64_t after, uint64_t since_ms)
{
	const char *why = not_a_delegate(s);
	uint64_t age_ms = feed_age_ms(s->relay);
	uint64_t held_ms = relay_now(s->relay) - since_ms;
	struct ld_buf b = {0};

	if (why != NULL) {
		refuse(s, x, 503, why);
		return;
	}
	if (kept_lacks(&s->kept, after)) {
		refuse(s, x, 410, "changes in between are not kept\n");
		return;
	}
	if (after > s->kept.revision) {
		refuse(s, x, 404, "that revision is not known here yet\n");
		return;
	}
	kept_write(
	    &s->kept, after, age_ms > held_ms ? age_ms - held_ms : 0, &b);
	relay_count(s->relay, LD_M_RELAY_CHANGES_TOLD);
	ld_exchange_answer(x, 200, CONTENT_TYPE, NULL, ld_buf_str(&b));
	ld_buf_free(&b);
}

/* Answers those that need not wait longer. */
static void
answer_due(struct share *s)
{
	uint64_t now = relay_now(s->relay);
	bool all = not_a_delegate(s) != NULL;
	struct asked **at = &s->waiting;

	while (*at != NULL) {
		struct asked *a = *at;

		if (!all && !kept_has_newer(&s->kept, a->after) &&
		    now < a->since_ms + ANSWER_WAIT_MS) {
			at = &a->next;
			continue;
		}
		*at = a->next;
		answer(s, a->exchange, a->after, a->since_ms);
		free(a);
	}
}

/* ---- Questions ---- */

/* The revision of "/changes?after=REVISION". */
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
	if (errno != 0 || *end != '\0' || end == target + sizeof(start) - 1 ||
	    n <= 0)
		return false;
	*after = n;
	return true;
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct share *s = (struct share *)h;
	struct asked *a;
	int64_t after;

	if (!read_target(ld_exchange_target(x), &after)) {
		refuse(s, x, 400, "expected /changes?after=REVISION\n");
		return;
	}
	s->used_ms = relay_now(s->relay);
	if (not_a_delegate(s) != NULL || kept_lacks(&s->kept, after) ||
	    kept_has_newer(&s->kept, after)) {
		answer(s, x, after, s->used_ms);
		return;
	}
	a = ld_alloc(sizeof(*a));
	a->exchange = x;
	a->after = after;
	a->since_ms = relay_now(s->relay);
	a->next = s->waiting;
	s->waiting = a;
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
	struct share *s = (struct share *)h;

	for (struct asked **at = &s->waiting; *at != NULL; at = &(*at)->next) {
		struct asked *a = *at;

		if (a->exchange != x)
			continue;
		*at = a->next;
		free(a);
		return;
	}
}

/* ---- What the watch tells ---- */

void
share_read_anew(struct relay *r, int64_t revision)
{
	kept_reset(&r->share->kept, revision);
}

void
share_told(struct relay *r, const struct ld_store_changes *changes)
{
	kept_add(&r->share->kept, changes);
	answer_due(r->share);
}

void
share_tick(struct relay *r)
{
	answer_due(r->share);
}

bool
share_is_used(const struct relay *r)
{
	const struct share *s = r->share;

	return s->used_ms != 0 && relay_now(r) < s->used_ms + USED_MS;
}

/* ---- Start and end ---- */

enum ld_status
share_open(struct relay *r)
{
	static const struct ld_handler_ops ops = {
	    .request = on_request, .gone = on_gone};
	struct share *s = ld_alloc(sizeof(*s));
	struct ld_listener_config c = {
	    .host = r->settings->entry_listen.host,
	    .port = (uint16_t)r->settings->peers_port,
	    .max_body_bytes = BODY_BYTES,
	    .max_connections = CONNECTIONS_MAX,
	    .idle_timeout_ms = IDLE_MS,
	    .head_timeout_ms = HEAD_MS,
	    .no_request_id = true,
	};

	s->handler.ops = &ops;
	s->relay = r;
	r->share = s;
	return ld_listener_new(r->loop, &c, &s->handler, &s->listener);
}

void
share_close(struct relay *r)
{
	struct share *s = r->share;

	if (s == NULL)
		return;
	ld_listener_free(s->listener);
	while (s->waiting != NULL) {
		struct asked *a = s->waiting;

		s->waiting = a->next;
		free(a);
	}
	kept_free(&s->kept);
	free(s);
}
