/*
 * Watches: a read of all keys, then a stream of changes or polls. A stream is
 * renewed by a new read at a bounded interval, since a dead connection may not
 * report an error.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

/* Largest line of the stream; a value of 1 MB in base64 fits. */
#define LINE_MAX_BYTES ((size_t)4 * 1024 * 1024)
/* Renewals are spread over the last 1/5 of the interval. */
#define RENEW_JITTER_DIVISOR 5
/* Wait of the first poll after a read from a replica, after a failure or after a
 * page of changes, ms. It is short, to find out soon which changes were missed,
 * if any. */
#define CATCH_UP_WAIT_MS 10

struct store_watch {
	struct ld_http_sink sink;
	struct ld_store_watch *owner;
	struct ld_store *store;
	char *key; /* without the store's prefix */
	bool prefix;
	struct ld_store_call read;
	struct ld_http_call *stream;
	struct ld_fifo received; /* lines, or the response to a poll */
	bool polling; /* the timer starts a poll, not a read */
	uint64_t read_start_ms;
	size_t scanned; /* leading bytes of received without a line feed */
	struct ld_timer
	    timer; /* renewal, next poll, or retry after a failure */
	struct backoff backoff;
	uint64_t stream_start_ms;
	uint64_t poll_wait_ms; /* of the poll in progress */
	int64_t revision; /* all changes up to it were delivered */
	struct store_confirmation confirmation;
	bool from_replica; /* any replica may serve the read in progress */
	bool catching_up; /* use short polls until one succeeds */
	bool current_reads_only; /* set after a stale read or a failed poll */
	int64_t era; /* from the header of the poll's response */
	bool paused; /* another watch supplies the changes; no polls */
};

static void start_read(struct store_watch *w);

static void
start_timer(struct store_watch *w, uint64_t delay_ms)
{
	ld_timer_after(ld_loop_timers(w->store->loop), &w->timer, delay_ms);
}

static void
cancel_stream(struct store_watch *w)
{
	if (w->stream != NULL)
		ld_http_cancel(w->stream);
	w->stream = NULL;
	ld_fifo_reset(&w->received);
	w->scanned = 0;
}

static bool
is_polled(const struct store_watch *w)
{
	return w->store->codec->ops->decode_line == NULL;
}

/* lost() may stop and free the watch, so it must be called last. */
static void
watch_failed(struct store_watch *w, enum ld_status st)
{
	cancel_stream(w);
	w->store->counters.watch_restarts++;
	if (is_polled(w))
		w->backoff.max_ms = w->store->poll_retry_max_ms;
	start_timer(w, backoff_next(&w->backoff));
	w->owner->ops->lost(w->owner, st);
}

/* ---- The stream ---- */

static bool
is_stopped(const struct ld_store_watch *owner, const struct store_watch *w)
{
	return owner->state != w;
}

/* False when the owner stopped the watch in the meantime. */
static bool
deliver_events(
    struct store_watch *w, const struct ld_store_event *events, size_t n)
{
	struct ld_store_watch *owner = w->owner;
	int64_t seen = w->revision;

	/* One event list may hold several changes of the same revision. */
	for (size_t i = 0; i < n; i++) {
		const struct ld_store_event *e = &events[i];

		if (e->kv.mod_revision <= seen)
			continue;
		if (e->kv.mod_revision > w->revision)
			w->revision = e->kv.mod_revision;
		owner->ops->change(owner, &e->kv, e->deleted);
		if (is_stopped(owner, w))
			return false;
	}
	return true;
}

static bool
on_line(struct store_watch *w, struct ld_str line)
{
	struct ld_store_decoded d = {0};
	enum ld_status st;
	bool alive = true;

	st = w->store->codec->ops->decode_line(line, &d);
	/* A stream may start at a lower revision than another read saw. */
	if (st == LD_OK)
		st = store_check_response(w->store, &d, 0);
	if (st == LD_OK && (d.compacted || d.canceled))
		st = LD_E_CLOSED;
	if (st == LD_OK) {
		store_strip_prefix(w->store, &d);
		alive = deliver_events(w, d.events, d.n);
	} else {
		watch_failed(w, st);
		alive = false;
	}
	ld_store_decoded_free(&d);
	return alive;
}

/* The first complete line; false: there is none yet. */
static bool
find_line(struct store_watch *w, struct ld_str *line)
{
	struct ld_str received = ld_fifo_str(&w->received);
	const char *end = NULL;

	if (w->scanned < received.len)
		end = memchr(
		    received.p + w->scanned, '\n', received.len - w->scanned);
	w->scanned = end != NULL ? 0 : received.len;
	*line = (struct ld_str){
	    received.p, end != NULL ? (size_t)(end - received.p) : 0};
	return end != NULL;
}

static void
on_stream_body(struct ld_http_sink *sink, struct ld_str bytes)
{
	struct store_watch *w = (struct store_watch *)sink;
	struct ld_str line;

	ld_buf_adds(ld_fifo_tail(&w->received), bytes);
	if (is_polled(w))
		return;
	while (find_line(w, &line)) {
		if (!on_line(w, line))
			return;
		ld_fifo_consume(&w->received, line.len + 1);
	}
	if (ld_fifo_len(&w->received) > LINE_MAX_BYTES)
		watch_failed(w, LD_E_TOO_LARGE);
}

/* ---- Polled watches: one call per poll ---- */

/* All changes up to @since_ms were delivered, unless the first read was of a
 * replica and isn't confirmed yet. May stop the watch. */
static void
report_current(struct store_watch *w, uint64_t since_ms)
{
	struct ld_store_watch *owner = w->owner;

	if (!store_confirmation_check(&w->confirmation, w->revision)) {
		store_confirmation_continue(&w->confirmation);
		return;
	}
	if (owner->ops->current != NULL)
		owner->ops->current(owner, since_ms);
}

static void
on_confirmation(struct store_confirmation *c)
{
	struct store_watch *w = (struct store_watch *)((char *)c -
	    offsetof(struct store_watch, confirmation));

	report_current(w, c->start_ms);
}

/* False when the owner stopped the watch in the meantime. */
static bool
apply_changes(struct store_watch *w, const struct ld_store_changes *c)
{
	struct ld_store_watch *owner = w->owner;

	if (!deliver_events(w, c->events, c->n))
		return false;
	if (c->revision > w->revision)
		w->revision = c->revision;
	report_current(w, c->more ? 0 : c->current_ms);
	return !is_stopped(owner, w);
}

static struct ld_store_op
poll_op(const struct store_watch *w, struct ld_str key)
{
	struct ld_store_op op = {
	    .kind = LD_STORE_OP_WATCH,
	    .key = key,
	    .prefix = w->prefix,
	    .start_revision = store_wire_revision(w->store, w->revision) + 1,
	    .wait_ms = w->catching_up ? CATCH_UP_WAIT_MS
				      : w->store->settings.poll_wait_ms,
	};

	return op;
}

/*
 * A poll that returned no changes after its full wait is current as of the end
 * of the wait; one that returned changes, as of its start.
 */
static uint64_t
poll_current_ms(const struct store_watch *w, const struct ld_store_decoded *d)
{
	uint64_t elapsed = ld_loop_now(w->store->loop) - w->stream_start_ms;
	uint64_t waited = w->poll_wait_ms;

	if (d->n > 0)
		waited = 0;
	else if (waited > elapsed)
		waited = elapsed;
	return w->stream_start_ms + waited;
}

/* Whether the response may be a page of the changes, and not the last one. */
static bool
is_page(
    const struct store_watch *w, const struct ld_store_decoded *d, size_t bytes)
{
	const struct ld_store_codec_ops *codec = w->store->codec->ops;

	return (codec->page_events > 0 && d->n >= codec->page_events) ||
	    (codec->page_bytes > 0 && d->n > 0 && bytes >= codec->page_bytes);
}

/* @bytes: size of the body */
static void
on_poll_response(
    struct store_watch *w, struct ld_store_decoded *d, size_t bytes)
{
	struct ld_store_watch *owner = w->owner;
	struct ld_store_changes changes = {
	    .after = w->revision,
	    .revision = d->revision,
	    .events = d->events,
	    .n = d->n,
	    .current_ms = poll_current_ms(w, d),
	    .more = is_page(w, d, bytes),
	};
	uint64_t pause_ms = d->n > 0 ? w->store->settings.poll_pause_ms : 0;

	if (changes.more)
		pause_ms = w->store->settings.page_pause_ms;
	w->catching_up = changes.more;
	store_strip_prefix(w->store, d);
	if (!apply_changes(w, &changes))
		return;
	w->backoff.failures = 0;
	if (owner->ops->changes != NULL)
		owner->ops->changes(owner, &changes);
	if (!is_stopped(owner, w))
		start_timer(w, pause_ms);
}

/* Whether the watch's revision is of an earlier era than the store's. */
static bool
is_of_earlier_era(const struct store_watch *w)
{
	return w->store->codec->ops->era_field != NULL && w->revision != 0 &&
	    ld_store_era_of(w->revision) < w->store->era;
}

/* Whether the history that the watch needs is compacted or unreliable, so that
 * all keys have to be read again. */
static bool
needs_reread(enum ld_status st)
{
	return st == LD_E_CLOSED || st == LD_E_STALE || st == LD_E_PROTOCOL;
}

static void
on_poll_done(struct store_watch *w, const struct ld_http_result *result)
{
	const struct ld_store_codec_ops *codec = w->store->codec->ops;
	struct ld_store_op op = poll_op(w, ld_str_c(w->key));
	struct ld_store_decoded d = {0};
	enum ld_status st = result->status;
	size_t bytes = ld_fifo_len(&w->received);

	/* A failed connection gives no information about the era. */
	if (result->status == LD_OK)
		store_observe_era(w->store, w->era);
	if (st == LD_OK && !codec->is_decodable(&op, result->code))
		st = LD_E_UNAVAILABLE;
	else if (st != LD_OK)
		st = st == LD_E_TIMEOUT ? LD_E_TIMEOUT : LD_E_UNAVAILABLE;
	if (st == LD_OK)
		st = codec->decode(
		    &op, result->code, ld_fifo_str(&w->received), &d);
	if (st == LD_OK)
		st = store_apply_era(w->store, w->era, &d);
	/* In another era the same revisions denote other changes. */
	if (st == LD_OK && (d.compacted || is_of_earlier_era(w)))
		st = LD_E_CLOSED;
	/* The response may come from a replica that lags. */
	if (st == LD_OK)
		st = store_check_response(w->store, &d, w->revision);
	ld_fifo_reset(&w->received);
	if (st == LD_OK) {
		on_poll_response(w, &d, bytes);
	} else {
		w->polling = !needs_reread(st);
		w->current_reads_only = true;
		w->catching_up = true;
		watch_failed(w, st);
	}
	ld_store_decoded_free(&d);
}

static void
on_stream_field(
    struct ld_http_sink *sink, struct ld_str name, struct ld_str value)
{
	struct store_watch *w = (struct store_watch *)sink;

	store_parse_era(w->store, name, value, &w->era);
}

static void
on_stream_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct store_watch *w = (struct store_watch *)sink;
	uint64_t open_ms = ld_loop_now(w->store->loop) - w->stream_start_ms;

	w->stream = NULL;
	if (is_polled(w)) {
		on_poll_done(w, result);
		return;
	}
	if (open_ms >= w->backoff.max_ms)
		w->backoff.failures = 0;
	watch_failed(w, result->status != LD_OK ? result->status : LD_E_CLOSED);
}

static const struct ld_http_sink_ops stream_ops = {
    .field = on_stream_field,
    .body = on_stream_body,
    .done = on_stream_done,
};

static void
start_stream(struct store_watch *w)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	struct ld_store *s = w->store;
	char *key = store_full_key(s, ld_str_c(w->key));
	struct ld_store_op op = poll_op(w, ld_str_c(key));
	struct ld_store_wire wire = {0};
	struct ld_http_request rq = {
	    .headers = headers,
	    .connect_timeout_ms = s->settings.connect_timeout_ms,
	    .fresh = !is_polled(w),
	};
	char *url;

	s->codec->ops->encode(&op, &wire);
	url = store_url(s, ld_buf_cstr(&wire.path));
	rq.method = wire.method;
	rq.url = url;
	if (wire.body.len > 0)
		rq.body = ld_buf_str(&wire.body);
	/* A streamed watch is unbounded; LINE_MAX_BYTES limits its lines. */
	if (is_polled(w))
		rq.max_body = STORE_ANSWER_MAX_BYTES;
	if (is_polled(w))
		rq.total_timeout_ms = op.wait_ms + s->settings.poll_timeout_ms;
	if (is_polled(w))
		s->counters.calls[LD_STORE_WATCH]++;
	w->stream_start_ms = ld_loop_now(s->loop);
	w->poll_wait_ms = op.wait_ms;
	w->era = 0;
	w->stream = ld_http_start(s->http, &rq, &w->sink);
	free(url);
	free(key);
	ld_buf_free(&wire.path);
	ld_buf_free(&wire.body);
}

/* ---- The initial read ---- */

static uint64_t
renewal_delay(struct store_watch *w)
{
	uint64_t ms = w->store->settings.watch_renew_ms;
	uint64_t spread = ms / RENEW_JITTER_DIVISOR;

	return ms - ld_rand_below(&w->store->rand, spread + 1);
}

static void
on_read(struct ld_store_call *call, const struct ld_store_answer *a)
{
	struct store_watch *w = (struct store_watch *)((char *)call -
	    offsetof(struct store_watch, read));
	struct ld_store_watch *owner = w->owner;

	if (a->status == LD_E_STALE && w->from_replica) {
		w->current_reads_only = true;
		start_read(w);
		return;
	}
	if (a->status != LD_OK && a->status != LD_E_NOT_FOUND) {
		watch_failed(w, a->status);
		return;
	}
	w->revision = a->revision;
	owner->ops->snapshot(owner, a->revision, a->kvs, a->n);
	if (is_stopped(owner, w))
		return;
	/* The age of replica data is known only after the first poll. */
	if (w->from_replica) {
		store_confirmation_begin(&w->confirmation, w->store);
	} else {
		store_confirmation_stop(&w->confirmation);
		report_current(w, w->read_start_ms);
	}
	if (is_stopped(owner, w))
		return;
	if (is_polled(w)) {
		w->polling = true;
		w->catching_up = w->from_replica;
		w->backoff.failures = 0;
		start_stream(w);
		return;
	}
	if (store_admit(w->store, LD_STORE_WATCH) != LD_OK) {
		watch_failed(w, LD_E_LIMIT);
		return;
	}
	start_stream(w);
	start_timer(w, renewal_delay(w));
}

static void
start_read(struct store_watch *w)
{
	struct ld_str key = ld_str_c(w->key);

	w->read_start_ms = ld_loop_now(w->store->loop);
	/* Before the first snapshot old data can't revert newer data, and the
	 * polls that follow return the changes that it lacks. */
	w->from_replica = w->prefix && is_polled(w) && w->revision == 0 &&
	    !w->current_reads_only;
	if (w->from_replica)
		ld_store_read_prefix_serializable(w->store, &w->read, key);
	else if (w->prefix)
		ld_store_read_prefix(w->store, &w->read, key);
	else
		ld_store_read(w->store, &w->read, key);
}

/* Continues from the current revision, or reads again when the store was
 * restored from an older copy since. */
static void
resume_watch(struct store_watch *w)
{
	if (!is_of_earlier_era(w)) {
		start_stream(w);
		return;
	}
	w->current_reads_only = true;
	start_read(w);
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct store_watch *w = (struct store_watch *)((char *)t -
	    offsetof(struct store_watch, timer));

	if (w->polling) {
		resume_watch(w);
		return;
	}
	if (w->stream != NULL)
		w->backoff.failures = 0;
	cancel_stream(w);
	start_read(w);
}

void
ld_store_watch_start(struct ld_store *s, struct ld_store_watch *owner,
    struct ld_str key, bool prefix)
{
	struct store_watch *w = ld_alloc(sizeof(*w));

	assert(owner->state == NULL);
	w->sink.ops = &stream_ops;
	w->owner = owner;
	w->store = s;
	w->key = ld_str_dup(key);
	w->prefix = prefix;
	w->read.done = on_read;
	w->timer.fn = on_timer;
	w->confirmation.answered = on_confirmation;
	w->backoff = s->backoff;
	w->backoff.failures = 0;
	owner->state = w;
	start_read(w);
}

int64_t
ld_store_watch_revision(const struct ld_store_watch *owner)
{
	return owner->state != NULL ? owner->state->revision : 0;
}

enum ld_status
ld_store_watch_apply(
    struct ld_store_watch *owner, const struct ld_store_changes *changes)
{
	struct store_watch *w = owner->state;

	assert(w != NULL && is_polled(w));
	if (w->revision == 0 || is_of_earlier_era(w) ||
	    changes->after > w->revision || changes->revision < w->revision)
		return ld_fail(LD_E_STALE,
		    "changes after revision %lld up to %lld don't follow %lld",
		    (long long)changes->after, (long long)changes->revision,
		    (long long)w->revision);
	ld_timer_stop(ld_loop_timers(w->store->loop), &w->timer);
	ld_store_cancel(&w->read);
	cancel_stream(w);
	w->paused = true;
	w->catching_up = false;
	/* The changes leave no gap, so a read that was due is not needed. */
	w->polling = true;
	w->backoff.failures = 0;
	(void)apply_changes(w, changes);
	return LD_OK;
}

void
ld_store_watch_resume(struct ld_store_watch *owner)
{
	struct store_watch *w = owner->state;

	if (w == NULL || !w->paused)
		return;
	w->paused = false;
	resume_watch(w);
}

void
ld_store_watch_poll_now(struct ld_store_watch *owner)
{
	struct store_watch *w = owner->state;

	/* While catching up, the timer is the backoff after a failure. */
	if (w == NULL || !w->polling || w->paused || w->catching_up ||
	    w->stream != NULL)
		return;
	ld_timer_stop(ld_loop_timers(w->store->loop), &w->timer);
	resume_watch(w);
}

void
ld_store_watch_reread(struct ld_store_watch *owner)
{
	struct store_watch *w = owner->state;

	if (w == NULL)
		return;
	ld_timer_stop(ld_loop_timers(w->store->loop), &w->timer);
	ld_store_cancel(&w->read);
	cancel_stream(w);
	w->paused = false;
	w->polling = false;
	w->current_reads_only = true;
	start_read(w);
}

bool
ld_store_watch_is_active(const struct ld_store_watch *owner)
{
	return owner->state != NULL && !owner->state->paused;
}

void
ld_store_watch_stop(struct ld_store_watch *owner)
{
	struct store_watch *w = owner->state;

	if (w == NULL)
		return;
	owner->state = NULL;
	ld_timer_stop(ld_loop_timers(w->store->loop), &w->timer);
	ld_store_cancel(&w->read);
	store_confirmation_stop(&w->confirmation);
	cancel_stream(w);
	ld_fifo_free(&w->received);
	free(w->key);
	free(w);
}
