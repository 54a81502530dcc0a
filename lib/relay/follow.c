/*
 * Follows the store through a peer, the delegate. With many nodes the leader
 * (the node that holds the control lease) watches the store, the aggregator of
 * each failure domain follows the leader, and the other nodes follow their
 * aggregator. A node starts to request changes while its own watch is active,
 * and pauses that watch from the first usable answer until the delegate
 * fails or its copy of the store is outdated.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "changes_codec.h"
#include "relay_internal.h"

/* A peer in the same failure domain accepts a connection within a few ms; a
 * longer wait is a failure, ms. */
#define CONNECT_TIMEOUT_MS 300
/* The longest wait of an answer (changes_server.c), and as much again for a
 * busy peer, ms. */
#define REQUEST_TIMEOUT_MS 700
/* Pause after an answer with changes, so that the ones that follow closely are
 * sent together, ms. */
#define PAUSE_MS 100
/* A delegate that failed is not used for this long, ms: by then its fault is
 * over, or is noticed by missing datagrams. */
#define EXCLUDE_FAILED_MS 2000
/* The same for a delegate that answers but can't provide changes, ms: it has
 * lost the store, and regains it sooner than its followers would. */
#define EXCLUDE_UNABLE_MS 400
/* A delegate whose copy was older than this when the request was sent is
 * outdated, ms: two waits of its watch and a pause, or the wait of an answer, a
 * pause and the age of the leader's copy. */
#define AGE_MAX_MS 1100
/* Following requires that API keys are accepted for at least this long, ms: the
 * copy may be that old when a delegate fails unnoticed, and the own watch takes
 * one wait to catch up. */
#define KEY_VALIDITY_MIN_MS 3000
/* Interval at which a node without a delegate searches for one, ms. */
#define DELEGATE_SEARCH_MS 500
/* The largest configuration, and other changes besides, bytes. */
#define ANSWER_MAX_BYTES ((size_t)8 * 1024 * 1024)

/** struct follow - the delegate and the request to it */
struct follow {
	struct ld_http_sink sink; /* first member */
	struct relay *relay;
	struct ld_http_call *call;
	struct ld_buf answer;
	struct mesh_delegate delegate; /* requested from, or followed */
	bool following; /* the own watch is paused */
	uint64_t request_start_ms;
	uint64_t next_request_ms;
};

/* Resumes the own watch. */
static void
stop_following(struct follow *f, const char *why)
{
	struct relay *r = f->relay;

	if (f->call != NULL)
		ld_http_cancel(f->call);
	f->call = NULL;
	if (f->following)
		ld_event("follow.end", "peer=%s why=%s age_ms=%lld",
		    f->delegate.name, why, (long long)feed_age_ms(r));
	f->following = false;
	feed_resume_watch(r);
}

static void
delegate_failed(struct follow *f, const char *why, uint64_t exclude_ms)
{
	uint64_t now = relay_now(f->relay);

	relay_count(f->relay, LD_M_RELAY_FOLLOW_FAILED);
	if (!f->following)
		ld_event("follow.failed", "peer=%s why=%s ms=%llu",
		    f->delegate.name, why,
		    (unsigned long long)(now - f->request_start_ms));
	stop_following(f, why);
	mesh_exclude_delegate(f->relay, f->delegate.name, now + exclude_ms);
	f->next_request_ms = now;
}

static void
note_following(struct follow *f, bool changed)
{
	if (!f->following)
		ld_event("follow.begin", "peer=%s age_ms=%lld",
		    f->delegate.name, (long long)feed_age_ms(f->relay));
	f->following = true;
	f->next_request_ms = relay_now(f->relay) + (changed ? PAUSE_MS : 0);
}

/*
 * The delegate's copy had this age when the request was sent, or became current
 * while the request waited, so the delegate's clock doesn't matter.
 */
static const char *
apply_answer(struct follow *f, const struct changes_message *m)
{
	struct ld_store_changes c = {
	    .after = m->after,
	    .revision = m->revision,
	    .events = m->list.events,
	    .n = m->list.n,
	};

	if (m->age_ms > AGE_MAX_MS)
		return "out-of-touch";
	c.current_ms = f->request_start_ms > m->age_ms
	    ? f->request_start_ms - m->age_ms
	    : 0;
	/* Fails if the own watch has applied further changes meanwhile: the
	 * next answer will follow on those. */
	if (feed_apply_changes(f->relay, &c) != LD_OK) {
		f->next_request_ms = relay_now(f->relay) + PAUSE_MS;
		return f->following ? "does-not-join" : NULL;
	}
	note_following(f, c.n > 0);
	/* If this node aggregates, its followers receive the same changes. */
	if (f->delegate.holds_control)
		changes_server_add(f->relay, &c);
	return NULL;
}

static void
on_answer(struct follow *f)
{
	struct changes_message m;
	const char *why = "malformed";

	if (changes_decode(ld_buf_str(&f->answer), &m))
		why = apply_answer(f, &m);
	ld_store_decoded_free(&m.list);
	if (why != NULL)
		delegate_failed(f, why, EXCLUDE_UNABLE_MS);
}

static void
on_body(struct ld_http_sink *sink, struct ld_str bytes)
{
	struct follow *f = (struct follow *)sink;

	ld_buf_adds(&f->answer, bytes);
}

static void
on_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct follow *f = (struct follow *)sink;

	f->call = NULL;
	if (result->status != LD_OK)
		delegate_failed(
		    f, ld_status_name(result->status), EXCLUDE_FAILED_MS);
	else if (result->code == 410)
		delegate_failed(f, "not-kept", EXCLUDE_UNABLE_MS);
	else if (result->code == 404)
		delegate_failed(f, "behind", EXCLUDE_UNABLE_MS);
	else if (result->code != 200)
		delegate_failed(f, "no-delegate", EXCLUDE_UNABLE_MS);
	else
		on_answer(f);
}

static void
request_changes(struct follow *f, uint64_t now)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};
	char url[128];
	struct ld_http_request rq = {
	    .method = "GET",
	    .url = url,
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .total_timeout_ms = REQUEST_TIMEOUT_MS,
	    .max_body = ANSWER_MAX_BYTES,
	};

	snprintf(url, sizeof(url), "http://%s/changes?after=%lld",
	    f->delegate.address, (long long)feed_revision(f->relay));
	f->sink.ops = &ops;
	f->answer.len = 0;
	f->request_start_ms = now;
	f->call = ld_http_start(f->relay->store_http, &rq, &f->sink);
	if (f->call == NULL)
		delegate_failed(f, "address", EXCLUDE_FAILED_MS);
}

bool
follow_is_direct(const struct relay *r)
{
	return r->follow->following && r->follow->delegate.holds_control;
}

/* Whether this node should follow another, and which. */
static bool
find_delegate(struct follow *f, struct mesh_delegate *out)
{
	struct relay *r = f->relay;

	if (leader_holds(r) || feed_revision(r) == 0 ||
	    feed_key_validity_ms(r) < KEY_VALIDITY_MIN_MS ||
	    mesh_node_count(r) < r->settings->follow_from_nodes)
		return false;
	return mesh_find_delegate(r, out);
}

void
follow_tick(struct relay *r)
{
	struct follow *f = r->follow;
	uint64_t now = relay_now(r);
	struct mesh_delegate delegate;

	/* The leader has to act on changes at once. */
	if (f->following && leader_holds(r))
		stop_following(f, "holds-control");
	if (f->call != NULL || now < f->next_request_ms)
		return;
	if (!find_delegate(f, &delegate)) {
		stop_following(f, "watches-itself");
		f->next_request_ms = now + DELEGATE_SEARCH_MS;
		return;
	}
	if (f->following && strcmp(delegate.name, f->delegate.name) != 0)
		stop_following(f, "another-peer");
	f->delegate = delegate;
	request_changes(f, now);
}

void
relay_follow_open(struct relay *r)
{
	r->follow = ld_alloc(sizeof(*r->follow));
	r->follow->relay = r;
}

void
relay_follow_close(struct relay *r)
{
	struct follow *f = r->follow;

	if (f == NULL)
		return;
	if (f->call != NULL)
		ld_http_cancel(f->call);
	ld_buf_free(&f->answer);
	free(f);
}
