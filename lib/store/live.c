/* Long-polls the live list and keeps the last list that was adopted. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

#define ANSWER_MAX_BYTES ((size_t)4 * 1024 * 1024)

struct ld_live {
	struct ld_http_sink sink;
	struct ld_loop *loop;
	struct ld_http *http;
	struct ld_live_settings settings;
	struct ld_live_listener *listener;
	char **endpoints;
	size_t endpoint;
	struct ld_rand rand;
	struct backoff backoff;
	struct ld_http_call *call;
	struct ld_buf answer;
	struct ld_timer timer; /* starts the next poll */
	struct live_state state;
	struct ld_live_list list;
	uint64_t
	    confirmed_ms; /* start of the last poll that confirmed the list */
	uint64_t poll_ms; /* start of the poll in progress */
	bool last_refused; /* last version was older: poll with wait_ms=0 */
	struct ld_live_counters counters;
};

struct ld_live_settings
ld_live_defaults(void)
{
	struct ld_live_settings s = {
	    .wait_ms = 2000,
	    .connect_timeout_ms = 500,
	    .call_timeout_ms = 1000,
	    .backoff_min_ms = 100,
	    .backoff_max_ms = 1000,
	    .restart_confirm_ms = 10000,
	};

	return s;
}

static void
schedule_poll(struct ld_live *l, uint64_t delay_ms)
{
	ld_timer_after(ld_loop_timers(l->loop), &l->timer, delay_ms);
}

static void
poll_failed(struct ld_live *l)
{
	l->counters.failures++;
	l->endpoint = (l->endpoint + 1) % l->settings.n_endpoints;
	schedule_poll(l, backoff_next(&l->backoff));
}

static void
notify_listener(struct ld_live *l)
{
	l->list.version = l->state.doc.version;
	l->list.n = l->state.doc.n;
	l->list.v = l->state.doc.v;
	l->listener->ops->changed(l->listener, &l->list);
}

/* Limits the poll rate when the list service responds without holding polls. */
static uint64_t
poll_delay(struct ld_live *l)
{
	uint64_t now = ld_loop_now(l->loop);
	uint64_t due = l->poll_ms + l->settings.backoff_min_ms;

	return due > now ? due - now : 0;
}

static void
on_response(struct ld_live *l)
{
	enum live_verdict verdict;
	struct live_doc doc;

	if (live_doc_parse(ld_buf_str(&l->answer), &doc) != LD_OK) {
		l->counters.malformed++;
		poll_failed(l);
		return;
	}
	l->backoff.failures = 0;
	verdict = live_state_apply(&l->state, &doc, ld_loop_now(l->loop));
	l->last_refused = verdict == LIVE_REFUSED;
	if (l->last_refused) {
		l->counters.older++;
		l->endpoint = (l->endpoint + 1) % l->settings.n_endpoints;
	} else {
		l->confirmed_ms = l->poll_ms;
	}
	if (verdict == LIVE_RESTARTED) {
		l->counters.restarts++;
		ld_log(LD_LOG_NOTICE, "live list",
		    "the list restarted at version %lld",
		    (long long)l->state.doc.version);
	}
	schedule_poll(
	    l, l->last_refused ? l->settings.backoff_max_ms : poll_delay(l));
	/* Last: the listener may free the client. */
	if (verdict == LIVE_ADOPTED || verdict == LIVE_RESTARTED)
		notify_listener(l);
}

static void
on_body(struct ld_http_sink *sink, struct ld_str bytes)
{
	struct ld_live *l = (struct ld_live *)sink;

	ld_buf_adds(&l->answer, bytes);
}

static void
on_done(struct ld_http_sink *sink, const struct ld_http_result *result)
{
	struct ld_live *l = (struct ld_live *)sink;

	l->call = NULL;
	if (result->status != LD_OK || result->code != 200)
		poll_failed(l);
	else
		on_response(l);
}

static const struct ld_http_sink_ops sink_ops = {
    .body = on_body,
    .done = on_done,
};

static void
on_poll_timer(struct ld_timer *t, uint64_t now_ms)
{
	struct ld_live *l =
	    (struct ld_live *)((char *)t - offsetof(struct ld_live, timer));
	uint64_t wait_ms = l->last_refused ? 0 : l->settings.wait_ms;
	struct ld_buf url = {0};
	struct ld_http_request rq = {
	    .method = "GET",
	    .connect_timeout_ms = l->settings.connect_timeout_ms,
	    .total_timeout_ms = wait_ms + l->settings.call_timeout_ms,
	    .max_body = ANSWER_MAX_BYTES,
	};

	ld_buf_printf(&url, "http://%s/instances?after=%lld&wait_ms=%llu",
	    l->endpoints[l->endpoint], (long long)l->state.doc.version,
	    (unsigned long long)wait_ms);
	rq.url = ld_buf_cstr(&url);
	l->answer.len = 0;
	l->counters.polls++;
	l->poll_ms = ld_loop_now(l->loop);
	l->call = ld_http_start(l->http, &rq, &l->sink);
	if (l->call == NULL)
		poll_failed(l);
	ld_buf_free(&url);
}

struct ld_live *
ld_live_new(struct ld_loop *loop, struct ld_http *http,
    const struct ld_live_settings *settings, struct ld_live_listener *listener)
{
	struct ld_live *l = ld_alloc(sizeof(*l));

	assert(settings->n_endpoints > 0);
	l->sink.ops = &sink_ops;
	l->loop = loop;
	l->http = http;
	l->settings = *settings;
	l->settings.endpoints = NULL;
	l->listener = listener;
	l->endpoints = ld_alloc(settings->n_endpoints * sizeof(*l->endpoints));
	for (size_t i = 0; i < settings->n_endpoints; i++)
		l->endpoints[i] = ld_strdup(settings->endpoints[i]);
	if (settings->seed != 0)
		ld_rand_seed(&l->rand, settings->seed);
	else
		ld_rand_seed_os(&l->rand);
	l->backoff.min_ms = settings->backoff_min_ms;
	l->backoff.max_ms = settings->backoff_max_ms;
	l->backoff.rand = &l->rand;
	l->confirmed_ms = UINT64_MAX;
	l->timer.fn = on_poll_timer;
	live_state_init(&l->state, settings->restart_confirm_ms);
	schedule_poll(l, 0);
	return l;
}

void
ld_live_free(struct ld_live *l)
{
	if (l == NULL)
		return;
	ld_timer_stop(ld_loop_timers(l->loop), &l->timer);
	if (l->call != NULL)
		ld_http_cancel(l->call);
	for (size_t i = 0; i < l->settings.n_endpoints; i++)
		free(l->endpoints[i]);
	free(l->endpoints);
	ld_buf_free(&l->answer);
	live_state_fini(&l->state);
	free(l);
}

const struct ld_live_list *
ld_live_current(const struct ld_live *l)
{
	return &l->list;
}

uint64_t
ld_live_age_ms(const struct ld_live *l)
{
	if (l->confirmed_ms == UINT64_MAX)
		return UINT64_MAX;
	return ld_loop_now(l->loop) - l->confirmed_ms;
}

const struct ld_live_counters *
ld_live_counters(const struct ld_live *l)
{
	return &l->counters;
}
