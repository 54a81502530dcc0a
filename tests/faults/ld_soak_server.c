/* Backend servers of the soak: run requests and record which ones ran. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_soak.h"

/* Duration of a request, and interval between events of a stream, ms. */
#define WORK_MIN_MS 2
#define WORK_SPREAD_MS 30
#define SLOW_TIMES 12
#define EVENT_MS 25
/* A server that hangs answers after this, ms: beyond the route's time-out. */
#define HANG_MS 5000
/* Between the head of an answer and the crash of its server, and until that is
 * back, ms. */
#define CRASH_AFTER_MS 30
#define CRASHED_MS 700

/** enum deed - what a server does with one request */
enum deed {
	DEED_SERVE,
	DEED_FAIL, /* an error of its own, after it ran */
	DEED_REFUSE, /* has not run */
	DEED_BREAK_OFF, /* runs it and closes without an answer */
	DEED_HANG,
	DEED_ANOTHER, /* the answer names another request */
	DEED_COUNT
};

static struct soak_attempt *
attempt_of(struct soak *s, struct ld_exchange *x)
{
	const char *id = ld_exchange_header(x, "X-Attempt-Id");
	unsigned long long v = id != NULL ? strtoull(id, NULL, 16) : 0;
	uint32_t number = (uint32_t)v;

	if (id == NULL || v >> 32 != (uint32_t)s->seed ||
	    number >= s->attempt_count)
		return NULL;
	return &s->attempts[number];
}

/* A removed key is accepted for SOAK_REVOKE_MS at most; a leaving server gets no
 * request from a calm relay after SOAK_DRAIN_MS. */
static void
check_arrival(
    struct soak *s, const struct soak_server *v, const struct soak_attempt *a)
{
	uint64_t now = soak_now(s);
	const struct soak_key *k = &s->keys[a->key];

	if (!a->anonymous && k->removed_ms != 0 &&
	    a->sent_ms > k->removed_ms + SOAK_REVOKE_MS + SOAK_SLACK_MS)
		soak_broken(s, a, "ran with a key that was taken away");
	if (v->leaving_ms != 0 &&
	    now > v->leaving_ms + SOAK_DRAIN_MS + SOAK_SLACK_MS &&
	    a->sent_ms > v->leaving_ms + SOAK_DRAIN_MS &&
	    soak_is_calm(s, a->relay, v->leaving_ms))
		soak_broken(s, a, "sent to a server that leaves");
}

static void
check_deadly_arrival(struct soak *s, const struct soak_attempt *a)
{
	uint64_t from = s->last_free_crash_ms;

	if (!a->is_deadly || from == 0 ||
	    a->sent_ms <= from + SOAK_CALM_MS + SOAK_SLACK_MS ||
	    a->sent_ms < s->relays[a->relay].calm_since_ms + SOAK_SLACK_MS)
		return;
	if (++s->arrivals_after > SOAK_ARRIVALS_AFTER)
		soak_broken(s, a, "its prompt crashed servers before");
}

static void
note_run(struct soak *s, struct soak_attempt *a)
{
	a->runs++;
	if (a->kind == SOAK_BOOK && a->runs > 1)
		soak_broken(s, a, "a booking ran twice");
	if (a->not_run)
		soak_broken(s, a, "runs after its client was told it had not");
}

static void
check_fields(struct soak *s, struct soak_attempt *a, struct ld_exchange *x)
{
	const char *account = ld_exchange_header(x, "X-Tenant");

	if (a->anonymous ? account != NULL
			 : account == NULL || strcmp(account, "shop") != 0)
		soak_broken(s, a, "its client account is missing or wrong");
	if (ld_exchange_header(x, "Authorization") != NULL)
		soak_broken(s, a, "the key was passed on");
}

static void
answer(struct ld_exchange *x, unsigned int code, const char *header,
    uint32_t attempt, struct ld_str body)
{
	char id[24];
	const char *headers[] = {"X-Attempt-Id", id, header, "1", NULL};

	snprintf(id, sizeof(id), "%016llx",
	    (unsigned long long)attempt |
		(strtoull(ld_exchange_header(x, "X-Attempt-Id"), NULL, 16) &
		    0xffffffff00000000ULL));
	ld_exchange_answer(x, code, "text/plain", headers, body);
}

static enum deed
choose_deed(struct soak *s, const struct soak_server *v)
{
	if (v->mood != MOOD_GREY || ld_rand_below(&s->rand, 2) == 0)
		return DEED_SERVE;
	return (enum deed)ld_rand_below(&s->rand, DEED_COUNT);
}

static void
start_work(struct soak *s, struct soak_server *v, struct soak_attempt *a,
    struct ld_exchange *x, enum deed deed)
{
	struct soak_work *w = ld_alloc(sizeof(*w));
	const char *last = ld_exchange_header(x, "Last-Event-Id");
	uint64_t ms = WORK_MIN_MS + ld_rand_below(&s->rand, WORK_SPREAD_MS);

	w->x = x;
	w->server = v;
	w->attempt = a;
	w->event = last != NULL ? (int)strtol(last, NULL, 10) + 1 : 1;
	if (deed == DEED_BREAK_OFF)
		w->cut_at =
		    w->event + (int)ld_rand_below(&s->rand, SOAK_EVENTS);
	if (deed == DEED_HANG)
		ms = HANG_MS;
	if (v->mood == MOOD_SLOW)
		ms *= SLOW_TIMES;
	w->due_ms = soak_now(s) + ms;
	w->next = s->work;
	s->work = w;
	ld_exchange_set_user_data(x, w);
}

/* A request of another test process has the seed of that in its id. */
static void
show_foreign(const struct soak_server *v, struct ld_exchange *x)
{
	const char *id = ld_exchange_header(x, "X-Attempt-Id");
	const char *expected = ld_exchange_header(x, "X-Expect-Instance");
	struct in_addr from = ld_exchange_sender(x);
	char sender[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &from, sender, sizeof(sender));
	printf("at %s from %s: %s id=%s for=%s\n", v->at, sender,
	    ld_exchange_target(x), id != NULL ? id : "-",
	    expected != NULL ? expected : "-");
}

/* A relay that reaches no server asks one for its report, without an id. */
static bool
is_probe(struct ld_exchange *x)
{
	return strcmp(ld_exchange_method(x), "GET") == 0 &&
	    strcmp(ld_exchange_target(x), "/lavenderdrift/report") == 0 &&
	    ld_exchange_header(x, "X-Attempt-Id") == NULL;
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct soak_server *v = (struct soak_server *)h;
	struct soak *s = v->soak;
	struct soak_attempt *a = attempt_of(s, x);
	const char *expected = ld_exchange_header(x, "X-Expect-Instance");
	char id[24];
	enum deed deed;

	if (a == NULL && is_probe(x)) {
		s->probes++;
		if (v->crashed_ms != 0)
			ld_exchange_abort(x);
		else
			ld_exchange_answer(
			    x, 200, "application/json", NULL, LD_STR("{}"));
		return;
	}
	if (a == NULL) {
		show_foreign(v, x);
		soak_broken(s, NULL, "a server got a request that none sent");
		ld_exchange_abort(x);
		return;
	}
	snprintf(id, sizeof(id), "i-%d-%d", (int)(v - s->servers), v->lives);
	if (v->crashed_ms != 0) {
		a->broken_off = true;
		ld_exchange_abort(x);
		return;
	}
	if (v->gone || expected == NULL || strcmp(expected, id) != 0) {
		answer(x, 421, "X-Not-Executed", a->number, LD_STR("other"));
		return;
	}
	deed = choose_deed(s, v);
	a->broken_off |= deed == DEED_BREAK_OFF || deed == DEED_ANOTHER;
	if (deed == DEED_REFUSE) {
		answer(x, 503, "X-Not-Executed", a->number, LD_STR("full"));
		return;
	}
	check_arrival(s, v, a);
	check_deadly_arrival(s, a);
	check_fields(s, a, x);
	note_run(s, a);
	if (deed == DEED_FAIL) {
		a->served = true;
		answer(
		    x, 500, "X-Server-Signature", a->number, LD_STR("failed"));
	} else if (deed == DEED_ANOTHER) {
		answer(x, 200, "X-Server-Signature", a->number + 1,
		    LD_STR("of another"));
	} else if (deed == DEED_BREAK_OFF && a->kind != SOAK_STREAM) {
		ld_exchange_begin(x, 200, "text/plain");
		ld_exchange_abort(x);
	} else {
		start_work(s, v, a, x, deed);
	}
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
	struct soak_work *w = ld_exchange_user_data(x);

	if (w != NULL)
		w->x = NULL;
}

/* ---- Answers that are due ---- */

static void
begin_stream(struct soak_work *w)
{
	char id[24];
	const char *headers[] = {"X-Attempt-Id", id, "X-Server-Signature", "1",
	    "Content-Type", "text/event-stream", NULL};

	snprintf(
	    id, sizeof(id), "%s", ld_exchange_header(w->x, "X-Attempt-Id"));
	ld_exchange_begin_with(w->x, 200, headers);
}

/* All its connections end; it serves again under another id. */
static void
crash(struct soak *s, struct soak_work *culprit)
{
	struct soak_server *v = culprit->server;

	v->crashed_ms = soak_now(s);
	for (struct soak_work *w = s->work; w != NULL; w = w->next) {
		if (w->server != v || w->x == NULL)
			continue;
		w->attempt->broken_off = true;
		ld_exchange_abort(w->x);
		w->x = NULL;
	}
	if (++s->crashes == SOAK_CRASHES)
		s->last_free_crash_ms = soak_now(s);
}

void
soak_servers_tick(struct soak *s)
{
	for (int i = 0; i < SOAK_SERVERS; i++) {
		struct soak_server *v = &s->servers[i];

		if (v->crashed_ms == 0 || v->gone ||
		    soak_now(s) < v->crashed_ms + CRASHED_MS)
			continue;
		soak_server_delete_entry(v);
		v->lives++;
		v->crashed_ms = 0;
		soak_server_put_entry(
		    v, v->leaving_ms != 0 ? "draining" : "ready");
	}
}

/* Returns false when the work is done. */
static bool
next_event(struct soak *s, struct soak_work *w)
{
	char text[64];

	if (!w->begun)
		begin_stream(w);
	if (w->attempt->is_deadly && w->begun) {
		crash(s, w);
		return false;
	}
	w->begun = true;
	if (w->attempt->is_deadly) {
		w->due_ms = soak_now(s) + CRASH_AFTER_MS;
		return true;
	}
	if (w->event == w->cut_at) {
		w->attempt->broken_off = true;
		ld_exchange_write(w->x, LD_STR("id: 9\nda"));
		ld_exchange_abort(w->x);
		return false;
	}
	if (w->event > SOAK_EVENTS) {
		w->attempt->served = true;
		ld_exchange_end(w->x);
		return false;
	}
	snprintf(text, sizeof(text), "id: %d\ndata: %u-%d\n\n", w->event,
	    w->attempt->number, w->event);
	ld_exchange_write(w->x, ld_str_c(text));
	w->event++;
	w->due_ms = soak_now(s) + EVENT_MS;
	return true;
}

static bool
do_work(struct soak *s, struct soak_work *w)
{
	char body[32];

	if (w->x == NULL)
		return false;
	w->attempt->worked_ms = soak_now(s);
	if (soak_now(s) < w->due_ms)
		return true;
	if (w->attempt->kind == SOAK_STREAM)
		return next_event(s, w);
	snprintf(body, sizeof(body), "ran %u", w->attempt->number);
	w->attempt->served = true;
	answer(w->x, 200, "X-Server-Signature", w->attempt->number,
	    ld_str_c(body));
	return false;
}

void
soak_work_tick(struct soak *s)
{
	struct soak_work **p = &s->work;

	while (*p != NULL) {
		struct soak_work *w = *p;

		if (do_work(s, w)) {
			p = &w->next;
			continue;
		}
		*p = w->next;
		free(w);
	}
}

/* ---- Entries ---- */

void
soak_server_put_entry(struct soak_server *v, const char *state)
{
	char key[32], value[256];
	int i = (int)(v - v->soak->servers);

	snprintf(key, sizeof(key), "servers/i-%d-%d", i, v->lives);
	snprintf(value, sizeof(value),
	    "{\"service\":\"desk\",\"address\":\"%s\",\"zone\":\"z%d\","
	    "\"slots\":6,\"state\":\"%s\",\"version\":\"v1\","
	    "\"warmup_left_ms\":0,\"sequence\":1}",
	    v->at, i % SOAK_RELAYS, state);
	ld_kv_store_put(v->soak->store, key, value);
}

void
soak_server_delete_entry(struct soak_server *v)
{
	char key[32];

	snprintf(key, sizeof(key), "servers/i-%d-%d",
	    (int)(v - v->soak->servers), v->lives);
	ld_kv_store_delete(v->soak->store, key);
}

void
soak_server_open(struct soak *s, int i)
{
	static const struct ld_handler_ops ops = {
	    .request = on_request, .client_disconnected = on_gone};
	struct soak_server *v = &s->servers[i];
	struct ld_listener_config c = {.host = "127.0.0.1",
	    .port = ld_free_port(),
	    .max_body_bytes = 65536,
	    .max_connections = 256,
	    .idle_timeout_ms = 60000,
	    .head_timeout_ms = 10000,
	    .no_request_id = true};
	char name[24], to[32];

	v->handler.ops = &ops;
	v->soak = s;
	v->lives = 1;
	if (ld_listener_new(s->loop, &c, &v->handler, &v->listener) != LD_OK)
		abort();
	snprintf(name, sizeof(name), "to-server%d", i);
	snprintf(to, sizeof(to), "127.0.0.1:%u", c.port);
	v->forward = soak_forward(s, name, to, v->at, v->forward_control);
	soak_server_put_entry(v, "ready");
}
