/* Life cycle of one call to the store, from encoding to outcome. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

static void start_attempt(struct store_request *r);

static bool
is_write(enum ld_store_op_kind kind)
{
	return kind == LD_STORE_OP_CAS || kind == LD_STORE_OP_CAS_DELETE ||
	    kind == LD_STORE_OP_PUT;
}

static enum ld_store_kind
counter_kind(enum ld_store_op_kind kind)
{
	if (kind == LD_STORE_OP_READ)
		return LD_STORE_READ;
	return is_write(kind) ? LD_STORE_WRITE : LD_STORE_LEASE;
}

void
store_request_free(struct store_request *r)
{
	ld_timer_stop(ld_loop_timers(r->store->loop), &r->timer);
	if (r->http != NULL)
		ld_http_cancel(r->http);
	*r->link = r->next;
	if (r->next != NULL)
		r->next->link = r->link;
	free(r->key);
	free(r->value);
	ld_buf_free(&r->wire.path);
	ld_buf_free(&r->wire.body);
	ld_store_decoded_free(&r->pages);
	free(r->after);
	ld_buf_free(&r->answer);
	free(r);
}

/* Frees @r and passes the result to the caller. */
static void
deliver(struct store_request *r, const struct ld_store_answer *answer)
{
	struct ld_store_call *call = r->call;

	if (answer->outcome == LD_STORE_UNKNOWN && is_write(r->op.kind))
		r->store->counters.unknown_writes++;
	call->request = NULL;
	store_request_free(r);
	call->done(call, answer);
}

static uint64_t
settle_wait(struct store_request *r, uint64_t now)
{
	uint64_t wait = backoff_next(&r->settle_backoff);

	return now + wait < r->settle_deadline_ms ? wait
						  : r->settle_deadline_ms - now;
}

/* A read for ld_store_resolve_write() ended: deliver the outcome or read
 * again. */
static void
finish_settle_read(struct store_request *r, const struct ld_store_answer *read)
{
	uint64_t now = ld_loop_now(r->store->loop);
	struct ld_store_answer answer;

	if (!store_settle_step(r, read, &answer) &&
	    now < r->settle_deadline_ms) {
		ld_timer_after(ld_loop_timers(r->store->loop), &r->timer,
		    settle_wait(r, now));
		return;
	}
	deliver(r, &answer);
}

static void
finish(struct store_request *r, const struct ld_store_answer *answer)
{
	if (answer->status != LD_OK && answer->status != LD_E_NOT_FOUND &&
	    answer->status != LD_E_CONFLICT)
		r->store->counters.failures[counter_kind(r->op.kind)]++;
	if (r->settling)
		finish_settle_read(r, answer);
	else
		deliver(r, answer);
}

static void
finish_failed(struct store_request *r, enum ld_status st, bool maybe_applied)
{
	struct ld_store_answer a = {.status = st};

	a.outcome = maybe_applied ? LD_STORE_UNKNOWN : LD_STORE_NOT_APPLIED;
	finish(r, &a);
}

static void
encode(struct store_request *r)
{
	struct ld_store_op op = r->op;

	op.expected = store_wire_revision(r->store, op.expected);
	r->store->codec->ops->encode(&op, &r->wire);
}

/* ---- Complete responses ---- */

static enum ld_status
status_of_code(const struct store_request *r, long code)
{
	switch (code) {
	case 401:
	case 403:
		return LD_E_AUTH;
	case 404:
		return r->op.lease != 0 ? LD_E_NOT_FOUND : LD_E_PROTOCOL;
	case 429:
		return LD_E_LIMIT;
	case 400:
		return LD_E_PROTOCOL;
	default:
		return LD_E_UNAVAILABLE;
	}
}

static void
set_outcome(const struct store_request *r, const struct ld_store_decoded *d,
    struct ld_store_answer *a)
{
	a->outcome = LD_STORE_APPLIED;
	switch (r->op.kind) {
	case LD_STORE_OP_CAS:
	case LD_STORE_OP_CAS_DELETE:
	case LD_STORE_OP_PUT:
		if (!d->succeeded) {
			a->status = LD_E_CONFLICT;
			a->outcome = LD_STORE_CONFLICT;
		}
		break;
	case LD_STORE_OP_READ:
		if (d->n == 0 && !r->op.prefix)
			a->status = LD_E_NOT_FOUND;
		break;
	case LD_STORE_OP_GRANT:
	case LD_STORE_OP_KEEPALIVE:
		a->lease = d->lease;
		a->ttl_ms = d->ttl_ms;
		if (d->ttl_ms == 0)
			a->status = LD_E_NOT_FOUND;
		break;
	case LD_STORE_OP_REVOKE:
	case LD_STORE_OP_WATCH:
		break;
	}
}

static void
finish_decoded(struct store_request *r, struct ld_store_decoded *d)
{
	struct ld_store_answer a = {.status = LD_OK, .revision = d->revision};
	struct ld_store_kv *kvs;

	store_strip_prefix(r->store, d);
	kvs = ld_alloc(d->n * sizeof(*kvs));
	for (size_t i = 0; i < d->n; i++)
		kvs[i] = d->events[i].kv;
	a.kvs = kvs;
	a.n = d->n;
	set_outcome(r, d, &a);
	r->store->alarm = false;
	finish(r, &a);
	free(kvs);
}

/* Appends the events of one page to those of the previous pages; false when
 * the store was restored from an older copy in between. */
static bool
append_page(struct store_request *r, struct ld_store_decoded *d)
{
	struct ld_store_decoded *all = &r->pages;

	/* Pages are not one snapshot: a watch starts at the first one. */
	if (all->n == 0)
		all->revision = d->revision;
	if (ld_store_era_of(all->revision) != ld_store_era_of(d->revision))
		return false;
	for (size_t i = 0; i < d->n; i++) {
		*ld_store_decoded_add(all) = d->events[i];
		d->events[i] = (struct ld_store_event){0};
	}
	return true;
}

static void
request_next_page(struct store_request *r, struct ld_store_decoded *d)
{
	if (d->n == 0) {
		finish_failed(r, LD_E_PROTOCOL, false);
		return;
	}
	free(r->after);
	r->after = ld_str_dup(d->events[d->n - 1].kv.key);
	if (!append_page(r, d)) {
		finish_failed(r, LD_E_STALE, false);
		return;
	}
	r->op.after = ld_str_c(r->after);
	r->wire.path.len = 0;
	r->wire.body.len = 0;
	encode(r);
	store_request_start(r);
}

static void
finish_pages(struct store_request *r, struct ld_store_decoded *d)
{
	struct ld_store_decoded all;

	if (r->pages.n == 0) {
		finish_decoded(r, d);
		return;
	}
	if (!append_page(r, d)) {
		finish_failed(r, LD_E_STALE, false);
		return;
	}
	all = r->pages;
	r->pages = (struct ld_store_decoded){0};
	finish_decoded(r, &all);
	ld_store_decoded_free(&all);
}

static void
on_response(struct store_request *r, long code)
{
	const struct ld_store_codec_ops *codec = r->store->codec->ops;
	struct ld_store_decoded d = {0};
	enum ld_status st;

	if (!codec->is_decodable(&r->op, code)) {
		store_observe_era(r->store, r->era);
		if (codec->not_applied(code) && code < 500 && code != 429)
			store_record_success(r->store);
		else
			store_record_failure(r->store);
		finish_failed(
		    r, status_of_code(r, code), !codec->not_applied(code));
		return;
	}
	st = codec->decode(&r->op, code, ld_buf_str(&r->answer), &d);
	if (st == LD_OK)
		st = store_apply_era(r->store, r->era, &d);
	/* A replica that lags is not a failure of the store. */
	if (r->op.serializable &&
	    (st == LD_E_STALE ||
		(st == LD_OK && d.revision < r->min_revision))) {
		store_record_success(r->store);
		finish_failed(r, LD_E_STALE, false);
		ld_store_decoded_free(&d);
		return;
	}
	if (st == LD_OK)
		st = store_check_response(r->store, &d, r->min_revision);
	if (st == LD_OK) {
		store_record_success(r->store);
		if (d.more)
			request_next_page(r, &d);
		else
			finish_pages(r, &d);
	} else {
		store_record_failure(r->store);
		finish_failed(r, st, true);
	}
	ld_store_decoded_free(&d);
}

/* ---- The HTTP call ---- */

static void
on_body(struct ld_http_sink *sink, struct ld_str bytes)
{
	struct store_request *r = (struct store_request *)sink;

	ld_buf_adds(&r->answer, bytes);
}

static void
on_field(struct ld_http_sink *sink, struct ld_str name, struct ld_str value)
{
	struct store_request *r = (struct store_request *)sink;

	store_parse_era(r->store, name, value, &r->era);
}

static void
on_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct store_request *r = (struct store_request *)sink;
	struct ld_store *s = r->store;

	r->http = NULL;
	if (result->status == LD_OK) {
		on_response(r, result->code);
		return;
	}
	r->attempts++;
	if (!result->sent && r->attempts < s->settings.n_endpoints &&
	    ld_loop_now(s->loop) < r->deadline_ms) {
		s->endpoint = (s->endpoint + 1) % s->settings.n_endpoints;
		start_attempt(r);
		return;
	}
	store_record_failure(s);
	finish_failed(r, result->status, result->sent);
}

static const struct ld_http_sink_ops sink_ops = {
    .field = on_field,
    .body = on_body,
    .done = on_done,
};

static void
defer_refusal(struct store_request *r, enum ld_status st)
{
	r->refusal = st;
	ld_timer_after(ld_loop_timers(r->store->loop), &r->timer, 0);
}

/*
 * Writes use a new connection: when a reused one ends as the request is sent
 * on it, it is unknown whether the write was applied.
 */
static void
start_attempt(struct store_request *r)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	struct ld_store *s = r->store;
	uint64_t now = ld_loop_now(s->loop);
	char *url = store_url(s, ld_buf_cstr(&r->wire.path));
	struct ld_http_request rq = {
	    .method = r->wire.method,
	    .url = url,
	    .headers = headers,
	    .body = ld_buf_str(&r->wire.body),
	    .connect_timeout_ms = s->settings.connect_timeout_ms,
	    .total_timeout_ms = now < r->deadline_ms ? r->deadline_ms - now : 1,
	    .fresh = is_write(r->op.kind) || r->op.kind == LD_STORE_OP_GRANT,
	    .max_body = STORE_ANSWER_MAX_BYTES,
	};

	r->answer.len = 0;
	r->era = 0;
	r->http = ld_http_start(s->http, &rq, &r->sink);
	if (r->http == NULL)
		defer_refusal(r, LD_E_INVALID);
	free(url);
}

/* Whether the expected revision is of an earlier era: the store may have
 * assigned it to another write since. */
static bool
expects_earlier_era(const struct store_request *r)
{
	return is_write(r->op.kind) && r->op.expected != 0 &&
	    r->store->codec->ops->era_field != NULL &&
	    ld_store_era_of(r->op.expected) < r->store->era;
}

void
store_request_start(struct store_request *r)
{
	enum ld_status st = store_admit(r->store, counter_kind(r->op.kind));

	if (st == LD_OK && expects_earlier_era(r))
		st = LD_E_CONFLICT;
	if (st != LD_OK) {
		defer_refusal(r, st);
		return;
	}
	r->attempts = 0;
	r->min_revision = r->store->revision;
	r->deadline_ms =
	    ld_loop_now(r->store->loop) + r->store->settings.call_timeout_ms;
	if (r->settling && r->deadline_ms > r->settle_deadline_ms)
		r->deadline_ms = r->settle_deadline_ms;
	start_attempt(r);
}

/* Reports a deferred refusal, or starts the next settle read. */
static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct store_request *r = (struct store_request *)((char *)t -
	    offsetof(struct store_request, timer));
	enum ld_status refusal = r->refusal;

	r->refusal = LD_OK;
	if (refusal != LD_OK)
		finish_failed(r, refusal, false);
	else
		store_request_start(r);
}

struct store_request *
store_request_new(struct ld_store *s, struct ld_store_call *call,
    const struct ld_store_op *op, struct ld_str key)
{
	struct store_request *r = ld_alloc(sizeof(*r));

	assert(call->done != NULL && call->request == NULL);
	r->sink.ops = &sink_ops;
	r->store = s;
	r->call = call;
	call->request = r;
	r->op = *op;
	r->key = store_full_key(s, key);
	r->op.key = (struct ld_str){r->key, strlen(s->prefix) + key.len};
	r->value = ld_str_dup(op->value);
	r->op.value.p = r->value;
	encode(r);
	r->timer.fn = on_timer;
	r->next = s->requests;
	r->link = &s->requests;
	if (r->next != NULL)
		r->next->link = &r->next;
	s->requests = r;
	return r;
}
