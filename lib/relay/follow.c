/*
 * Follows the store through a peer: with many nodes the holder of the control
 * lease watches the store, the aggregator of each failure domain asks the
 * holder, and the others ask their aggregator. A node asks its peer while its own
 * watch goes on, and rests that watch from the first good answer until the peer
 * fails or is out of touch with the store itself.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "changes_speech.h"
#include "relay_internal.h"

/* A peer in the same failure domain answers within a few ms; a connection that
 * takes longer is a failure, ms. */
#define CONNECT_TIMEOUT_MS 300
/* The longest wait of an answer (share.c), and as much again for a peer that is
 * busy, ms. */
#define ASK_TIMEOUT_MS 700
/* Changes that come one by one are told together, ms. */
#define PAUSE_MS 100
/* A peer that failed is not asked again for so long, ms: its own trouble is
 * over by then, or seen by the silence of its datagrams. */
#define AVOID_MS 2000
/* The same of one that answers, but can't tell the changes now, ms: it has lost
 * the store, and finds it again sooner than those that follow it. */
#define AVOID_ANSWERS_MS 400
/* A peer whose own knowledge was older than this when it was asked is out of
 * touch, ms: two waits of its watch and a pause, or an answer's wait, a pause and
 * the age of what the holder of control told. */
#define AGE_MAX_MS 1100
/* Keys must be relied on for at least this long, ms: what a peer told may be
 * that old when it fails unseen, and the own watch takes a wait to catch up. */
#define RELIED_MIN_MS 3000
/* How often a node without a peer to ask looks for one, ms. */
#define LOOK_MS 500
/* The largest configuration, and changes beside it, bytes. */
#define ANSWER_MAX_BYTES ((size_t)8 * 1024 * 1024)

/** struct follow - the peer that is asked */
struct follow {
	struct ld_http_sink sink; /* first member */
	struct relay *relay;
	struct ld_http_call *call;
	struct ld_buf answer;
	struct mesh_delegate delegate; /* asked, or followed */
	bool following; /* the own watch rests */
	uint64_t asked_ms;
	uint64_t next_ms;
};

/* The own watch goes on. */
static void
leave(struct follow *f, const char *why)
{
	struct relay *r = f->relay;

	if (f->call != NULL)
		ld_http_cancel(f->call);
	f->call = NULL;
	if (f->following)
		ld_event("follow.end", "peer=%s why=%s age_ms=%lld",
		    f->delegate.name, why, (long long)feed_age_ms(r));
	f->following = false;
	feed_watch_store(r);
}

static void
delegate_failed(struct follow *f, const char *why, uint64_t avoid_ms)
{
	uint64_t now = relay_now(f->relay);

	relay_count(f->relay, LD_M_RELAY_FOLLOW_FAILED);
	if (!f->following)
		ld_event("follow.failed", "peer=%s why=%s ms=%llu",
		    f->delegate.name, why,
		    (unsigned long long)(now - f->asked_ms));
	leave(f, why);
	mesh_avoid(f->relay, f->delegate.name, now + avoid_ms);
	f->next_ms = now;
}

static void
follows(struct follow *f, bool changed)
{
	if (!f->following)
		ld_event("follow.begin", "peer=%s age_ms=%lld",
		    f->delegate.name, (long long)feed_age_ms(f->relay));
	f->following = true;
	f->next_ms = relay_now(f->relay) + (changed ? PAUSE_MS : 0);
}

/*
 * The peer's knowledge was so old when it was asked, or it became current while
 * the question waited: its clock doesn't matter.
 */
static const char *
take(struct follow *f, const struct changes_message *m)
{
	struct ld_store_changes c = {
	    .after = m->after,
	    .revision = m->revision,
	    .events = m->list.events,
	    .n = m->list.n,
	};

	if (m->age_ms > AGE_MAX_MS)
		return "out-of-touch";
	c.current_ms = f->asked_ms > m->age_ms ? f->asked_ms - m->age_ms : 0;
	/* The own watch was told more meanwhile: the next answer joins that. */
	if (feed_take(f->relay, &c) != LD_OK) {
		f->next_ms = relay_now(f->relay) + PAUSE_MS;
		return f->following ? "does-not-join" : NULL;
	}
	follows(f, c.n > 0);
	/* Its own followers, if it aggregates, are told the same. */
	if (f->delegate.holds_control)
		share_told(f->relay, &c);
	return NULL;
}

static void
on_answer(struct follow *f)
{
	struct changes_message m;
	const char *why = "malformed";

	if (changes_read(ld_buf_str(&f->answer), &m))
		why = take(f, &m);
	ld_store_decoded_free(&m.list);
	if (why != NULL)
		delegate_failed(f, why, AVOID_ANSWERS_MS);
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
		delegate_failed(f, ld_status_name(result->status), AVOID_MS);
	else if (result->code == 410)
		delegate_failed(f, "not-kept", AVOID_ANSWERS_MS);
	else if (result->code == 404)
		delegate_failed(f, "behind", AVOID_ANSWERS_MS);
	else if (result->code != 200)
		delegate_failed(f, "no-delegate", AVOID_ANSWERS_MS);
	else
		on_answer(f);
}

static void
ask(struct follow *f, uint64_t now)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};
	char url[128];
	struct ld_http_request rq = {
	    .method = "GET",
	    .url = url,
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .total_timeout_ms = ASK_TIMEOUT_MS,
	    .max_body = ANSWER_MAX_BYTES,
	};

	snprintf(url, sizeof(url), "http://%s/changes?after=%lld",
	    f->delegate.address, (long long)feed_revision(f->relay));
	f->sink.ops = &ops;
	f->answer.len = 0;
	f->asked_ms = now;
	f->call = ld_http_start(f->relay->store_http, &rq, &f->sink);
	if (f->call == NULL)
		delegate_failed(f, "address", AVOID_MS);
}

bool
follow_is_direct(const struct relay *r)
{
	return r->follow->following && r->follow->delegate.holds_control;
}

/* Whether this node should follow another; sets which. */
static bool
find_delegate(struct follow *f, struct mesh_delegate *out)
{
	struct relay *r = f->relay;

	if (leader_holds(r) || feed_revision(r) == 0 ||
	    feed_relied_ms(r) < RELIED_MIN_MS ||
	    mesh_nodes(r) < r->settings->follow_from_nodes)
		return false;
	return mesh_find_delegate(r, out);
}

void
follow_tick(struct relay *r)
{
	struct follow *f = r->follow;
	uint64_t now = relay_now(r);
	struct mesh_delegate delegate;

	/* The holder of control acts at once on what the store tells. */
	if (f->following && leader_holds(r))
		leave(f, "holds-control");
	if (f->call != NULL || now < f->next_ms)
		return;
	if (!find_delegate(f, &delegate)) {
		leave(f, "watches-itself");
		f->next_ms = now + LOOK_MS;
		return;
	}
	if (f->following && strcmp(delegate.name, f->delegate.name) != 0)
		leave(f, "another-peer");
	f->delegate = delegate;
	ask(f, now);
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
