/* Clients of the soak: send requests and check the answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_soak.h"

#define DEADLINE_MS 3000
/* Total time-out of a request without an answer, beyond the deadline, ms. */
#define GIVE_UP_MS 5000
/* Requests sent in one tick at most; ticks are 5 ms apart. */
#define SENDS_PER_TICK 2
/* One stream in this many has the part that crashes servers. */
#define DEADLY_ONE_IN 10
#define SESSIONS 7

static void
on_field(struct ld_http_sink *k, struct ld_str name, struct ld_str value)
{
	((struct soak_attempt *)k)->is_signed |=
	    ld_str_eq(name, LD_STR("X-Server-Signature"));
}

static void
on_body(struct ld_http_sink *k, struct ld_str bytes)
{
	ld_buf_adds(&((struct soak_attempt *)k)->body, bytes);
}

static bool
promises_not_run(long code)
{
	return code == 429 || code == 503 || code == 408 || code == 421;
}

/* Returns the number of events, or -1 unless they are the first of the stream,
 * each once and in order. */
static int
count_events(struct soak_attempt *a)
{
	const char *at = ld_buf_cstr(&a->body);
	char want[64];
	int n = 0;

	while (*at != '\0' && n < SOAK_EVENTS) {
		snprintf(want, sizeof(want), "id: %d\ndata: %u-%d\n\n", n + 1,
		    a->number, n + 1);
		if (strncmp(at, want, strlen(want)) != 0)
			return strncmp(at, want, strlen(at)) == 0 ? n : -1;
		at += strlen(want);
		n++;
	}
	return *at == '\0' ? n : -1;
}

static void
judge_success(struct soak *s, struct soak_attempt *a)
{
	char want[32];

	snprintf(want, sizeof(want), "ran %u", a->number);
	if (!a->is_signed)
		soak_broken(s, a, "a success without a signature");
	if (a->kind != SOAK_STREAM && strcmp(ld_buf_cstr(&a->body), want) != 0)
		soak_broken(s, a, "a success with another body");
	if (a->kind == SOAK_STREAM && count_events(a) != SOAK_EVENTS)
		soak_broken(s, a, "a stream that ended is not whole");
	s->answered[a->kind]++;
}

/* No unplanned disruption from SOAK_CALM_MS before the request to its end. */
static bool
is_undisturbed(const struct soak *s, const struct soak_attempt *a)
{
	const struct soak_relay *r = &s->relays[a->relay];

	return !r->paused && !r->forward_harmed && !s->store_harmed &&
	    r->calm_since_ms + SOAK_CALM_MS < a->sent_ms &&
	    s->store_calm_since_ms + SOAK_CALM_MS < a->sent_ms &&
	    soak_paths_calm(s, a->sent_ms) && !a->broken_off;
}

/* A request that ended around a SIGTERM of its relay: with a whole answer, if a
 * process has read it. */
static void
judge_end_around_stop(struct soak *s, const struct soak_attempt *a)
{
	uint64_t term_ms = s->relays[a->relay].last_term_ms;
	uint64_t now = soak_now(s), end_ms = term_ms + SOAK_GRACE_MS;

	if (term_ms == 0 || now > end_ms + SOAK_AFTER_GRACE_MS ||
	    now >= a->sent_ms + DEADLINE_MS || !is_undisturbed(s, a))
		return;
	if (a->worked_ms >= end_ms - SOAK_GRACE_MS / 6 &&
	    a->sent_ms <= term_ms + SOAK_LATE_SEND_MS)
		return;
	s->ends_judged++;
	/* A busy machine may read a request late. */
	if (a->status != LD_E_CLOSED)
		return;
	if (a->worked_ms > 0 ||
	    now > a->sent_ms + SOAK_LOSS_SLACK_MS + SOAK_SLACK_MS)
		soak_broken(s, a, "lost around a SIGTERM");
}

static void
judge(struct soak *s, struct soak_attempt *a)
{
	const struct soak_relay *r = &s->relays[a->relay];

	if (a->kind == SOAK_STREAM && a->code == 200 && count_events(a) < 0)
		soak_broken(s, a, "events are missing, doubled or foreign");
	if (a->status == LD_OK && a->code == 200)
		judge_success(s, a);
	if (a->status == LD_OK && !a->is_signed && promises_not_run(a->code)) {
		a->not_run = true;
		if (a->runs > 0)
			soak_broken(s, a, "said not to have run, and ran");
	}
	if (a->status == LD_OK && (a->code == 401 || a->code == 404) &&
	    s->keys[a->key].in_force &&
	    a->sent_ms >
		s->keys[a->key].added_ms + SOAK_CONFIG_MS + SOAK_SLACK_MS &&
	    soak_is_calm(s, a->relay, a->sent_ms))
		soak_broken(s, a, "denied with a key that is in force");
	judge_end_around_stop(s, a);
	/* A server sent its whole answer, but the relay closed instead. */
	if (a->status != LD_OK && a->served && r->proc->pid > 0 &&
	    soak_is_calm(s, a->relay, a->sent_ms) &&
	    soak_paths_calm(s, a->sent_ms) &&
	    soak_now(s) < a->sent_ms + DEADLINE_MS)
		soak_broken(s, a, "its answer was lost");
}

static void
on_done(struct ld_http_sink *k, const struct ld_http_result *result)
{
	struct soak_attempt *a = (struct soak_attempt *)k;

	a->done = true;
	a->status = result->status;
	a->code = result->code;
	judge(a->soak, a);
	if (a->code >= 400)
		snprintf(
		    a->reason, sizeof(a->reason), "%s", ld_buf_cstr(&a->body));
	ld_buf_free(&a->body);
}

static struct soak_attempt *
send_to(
    struct soak *s, enum soak_kind kind, int relay, int key, const char *path)
{
	static const struct ld_http_sink_ops ops = {
	    .field = on_field, .body = on_body, .done = on_done};
	struct soak_attempt *a = &s->attempts[s->attempt_count];
	char url[96], id[48], bearer[48], prompt[80];
	bool has_prompt = soak_has_prompts(s) && kind == SOAK_STREAM;
	const char *headers[] = {"Host: h", id, "X-Deadline-Ms: 3000", bearer,
	    has_prompt ? prompt : NULL, NULL};
	struct ld_http_request rq = {
	    .method = kind == SOAK_LOOK ? "GET" : "POST",
	    .url = url,
	    .headers = headers,
	    .fresh = kind != SOAK_LOOK,
	    .connect_timeout_ms = 1000,
	    .total_timeout_ms = GIVE_UP_MS};

	if (kind != SOAK_LOOK)
		rq.body = LD_STR("x=1");
	if (s->attempt_count == SOAK_ATTEMPTS_MAX)
		return NULL;
	*a = (struct soak_attempt){.sink = {&ops},
	    .soak = s,
	    .number = s->attempt_count++,
	    .kind = kind,
	    .relay = relay,
	    .key = key,
	    .is_deadly = has_prompt && s->next_is_deadly,
	    .sent_ms = soak_now(s)};
	snprintf(
	    url, sizeof(url), "http://%s/%s/a", s->relays[relay].entry, path);
	snprintf(id, sizeof(id), "X-Attempt-Id: %08x%08x", (uint32_t)s->seed,
	    a->number);
	snprintf(bearer, sizeof(bearer), "Authorization: Bearer key-%d", key);
	snprintf(prompt, sizeof(prompt), "X-Prefix-Hash: f0:40,%s%u:100,%x:20",
	    a->is_deadly ? "dead" : "5e55",
	    a->is_deadly ? 0 : a->number % SESSIONS, a->number);
	if (ld_http_start(s->http, &rq, &a->sink) == NULL)
		abort();
	return a;
}

struct soak_attempt *
soak_send(struct soak *s, enum soak_kind kind, int relay, int key)
{
	static const char *const paths[] = {"look", "book", "events"};

	return send_to(s, kind, relay, key, paths[kind]);
}

struct soak_attempt *
soak_send_anonymous(struct soak *s, int relay)
{
	struct soak_attempt *a = send_to(s, SOAK_LOOK, relay, 0, "open");

	if (a != NULL)
		a->anonymous = true;
	return a;
}

int
soak_key(struct soak *s)
{
	return (int)ld_rand_below(&s->rand, (uint64_t)s->key_count);
}

void
soak_client_tick(struct soak *s)
{
	uint64_t n = ld_rand_below(&s->rand, SENDS_PER_TICK);

	for (uint64_t i = 0; i < n; i++) {
		s->next_is_deadly = soak_has_prompts(s) &&
		    ld_rand_below(&s->rand, DEADLY_ONE_IN) == 0;
		(void)soak_send(s,
		    (enum soak_kind)ld_rand_below(&s->rand, SOAK_KINDS),
		    (int)ld_rand_below(&s->rand, SOAK_RELAYS), soak_key(s));
	}
	s->next_is_deadly = false;
}
