/* Backend server for the relay tests. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_relay_server.h"

/* Interval between events of a slow stream, and before a cut, ms. */
#define EVENT_EVERY_MS 100
/* Between the head of an answer and a crash, ms. */
#define CRASH_AFTER_MS 50

static void
keep(char *out, size_t size, struct ld_exchange *x, const char *name)
{
	const char *v = ld_exchange_header(x, name);

	snprintf(out, size, "%s", v != NULL ? v : "");
}

static void
write_event(struct ld_exchange *x, int id)
{
	char text[64];

	snprintf(text, sizeof(text), "id: %d\ndata: e%d\n\n", id, id);
	ld_exchange_write(x, ld_str_c(text));
}

static void
begin_events(struct ld_exchange *x)
{
	static const char *const headers[] = {"X-Attempt-Id", RELAY_REQUEST_ID,
	    "X-Server-Signature", "s", "Content-Type", "text/event-stream",
	    NULL};

	ld_exchange_begin_with(x, 200, headers);
}

static void
stream(struct server *s, struct ld_exchange *x)
{
	int first = (int)strtol(s->last_event, NULL, 10) + 1;

	begin_events(x);
	if (s->behaviour == STREAMS_SLOWLY) {
		s->slow = x;
		s->slow_event = first;
		ld_timer_after(
		    ld_loop_timers(s->loop), &s->timer, EVENT_EVERY_MS);
		return;
	}
	for (int id = first; id <= RELAY_EVENTS; id++) {
		if (s->behaviour == CUTS_STREAM && id == 4) {
			ld_exchange_write(x, LD_STR("id: 4\nda"));
			/* Cut once this is sent. */
			s->slow = x;
			ld_timer_after(
			    ld_loop_timers(s->loop), &s->timer, EVENT_EVERY_MS);
			return;
		}
		write_event(x, id);
	}
	ld_exchange_end(x);
}

static void
on_slow(struct ld_timer *t, uint64_t now_ms)
{
	struct server *s =
	    (struct server *)((char *)t - offsetof(struct server, timer));

	if (s->slow == NULL)
		return;
	if (s->behaviour == CUTS_STREAM) {
		ld_exchange_abort(s->slow);
		s->slow = NULL;
		return;
	}
	write_event(s->slow, s->slow_event++);
	if (s->slow_event <= RELAY_EVENTS) {
		ld_timer_after(ld_loop_timers(s->loop), t, EVENT_EVERY_MS);
		return;
	}
	ld_exchange_end(s->slow);
	s->slow = NULL;
}

/* @field: one more header field, or NULL */
static void
answer_with(struct ld_exchange *x, unsigned int code, const char *id, bool ran,
    const char *field, const char *value)
{
	const char *headers[] = {"X-Attempt-Id", id,
	    ran ? "X-Server-Signature" : "X-Not-Executed", "1", field, value,
	    NULL};

	ld_exchange_answer(x, code, "text/plain", headers, LD_STR("body"));
}

static void
answer(struct ld_exchange *x, unsigned int code, const char *id, bool ran)
{
	answer_with(x, code, id, ran, NULL, NULL);
}

static void
on_crash(struct ld_timer *t, uint64_t now_ms)
{
	struct server *s =
	    (struct server *)((char *)t - offsetof(struct server, crash_timer));

	s->crashes++;
	if (s->behaviour == FALLS_SILENT) {
		relay_server_freeze(s);
		s->down = true;
		return;
	}
	if (s->behaviour == DIES_ON_PATH || s->form.stops_listening) {
		relay_server_kill(s);
		return;
	}
	s->down = true;
	if (s->crashing != NULL)
		ld_exchange_abort(s->crashing);
	s->crashing = NULL;
}

/* The request was meant for the process that had the address before. */
static bool
is_for_another(const struct server *s, struct ld_exchange *x)
{
	const char *expected = ld_exchange_header(x, "X-Expect-Instance");

	return expected != NULL && strcmp(expected, s->id) != 0;
}

static bool
has_crashing_part(struct ld_exchange *x)
{
	const char *prompt = ld_exchange_header(x, "X-Prefix-Hash");

	return prompt != NULL && strstr(prompt, RELAY_CRASHING_PART) != NULL;
}

static void
count_extra_field(void *user, const char *name, const char *value)
{
	((struct server *)user)->extra_fields += strncmp(name, "X-F", 3) == 0;
}

static bool
is_deadly(struct ld_exchange *x)
{
	return strstr(ld_exchange_path(x), RELAY_DEADLY_PATH) != NULL;
}

static void
hold(struct server *s, struct ld_exchange *x)
{
	if (s->held_count < RELAY_HELD_MAX)
		s->held[s->held_count++] = x;
}

/* Whether the request crashes the server, or is held. */
static bool
leave_unanswered(struct server *s, struct ld_exchange *x)
{
	if (s->behaviour == CRASHES_ON_PROMPT && has_crashing_part(x)) {
		if (!s->form.before_head)
			begin_events(x);
		for (int id = 1; id <= s->form.events; id++)
			write_event(x, id);
		s->crashing = x;
		ld_timer_after(ld_loop_timers(s->loop), &s->crash_timer,
		    CRASH_AFTER_MS + s->form.after_ms);
		return true;
	}
	if (s->behaviour == FALLS_SILENT &&
	    (is_deadly(x) || has_crashing_part(x))) {
		hold(s, x);
		ld_timer_after(
		    ld_loop_timers(s->loop), &s->crash_timer, CRASH_AFTER_MS);
		return true;
	}
	if (s->behaviour == HOLDS ||
	    (s->behaviour == DIES_ON_PATH && is_deadly(x))) {
		s->crashing = x;
		if (s->behaviour == DIES_ON_PATH)
			ld_timer_after(ld_loop_timers(s->loop), &s->crash_timer,
			    CRASH_AFTER_MS);
		return true;
	}
	return false;
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct server *s = (struct server *)h;

	if (s->silent) {
		hold(s, x);
		return;
	}
	s->extra_fields = 0;
	ld_exchange_fields(x, count_extra_field, s);
	if (ld_exchange_header(x, "X-Attempt-Id") != NULL)
		s->arrivals++;
	else
		s->probes++;
	keep(s->account, sizeof(s->account), x, "X-Tenant");
	keep(s->authorization, sizeof(s->authorization), x, "Authorization");
	keep(s->urgency, sizeof(s->urgency), x, "X-Request-Priority");
	keep(s->last_event, sizeof(s->last_event), x, "Last-Event-Id");
	if (s->down) {
		ld_exchange_abort(x);
		return;
	}
	if (is_for_another(s, x)) {
		answer(x, 421, RELAY_REQUEST_ID, false);
		return;
	}
	if (leave_unanswered(s, x))
		return;
	switch (s->behaviour) {
	case FAILS:
		answer(x, 500, RELAY_REQUEST_ID, true);
		break;
	case REFUSES:
		answer(x, 503, RELAY_REQUEST_ID, false);
		break;
	case ASKS_FOR_A_PAUSE:
		answer_with(x, 503, RELAY_REQUEST_ID, false, "Retry-After",
		    RELAY_PAUSE_S);
		break;
	case NAMES_LIMIT:
		answer_with(x, 200, RELAY_REQUEST_ID, true, "Server-Limit",
		    RELAY_LIMIT);
		break;
	case LEAVES:
		answer_with(
		    x, 200, RELAY_REQUEST_ID, true, "Server-Leaving", "1");
		break;
	case BREAKS_OFF:
		ld_exchange_begin(x, 200, "text/plain");
		ld_exchange_abort(x);
		break;
	case ANSWERS_ANOTHER:
		answer(x, 200, "another", true);
		break;
	default:
		if (strstr(ld_exchange_path(x), "/events/") != NULL)
			stream(s, x);
		else
			answer(x, 200, RELAY_REQUEST_ID, true);
	}
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
	struct server *s = (struct server *)h;

	s->slow = NULL;
	if (s->crashing == x)
		s->crashing = NULL;
	for (unsigned int i = 0; i < s->held_count; i++)
		if (s->held[i] == x)
			s->held[i] = s->held[--s->held_count];
}

void
relay_server_freeze(struct server *s)
{
	s->silent = true;
}

void
relay_server_wake(struct server *s)
{
	s->silent = false;
	while (s->held_count > 0)
		on_request(&s->handler, s->held[--s->held_count]);
}

void
relay_server_kill(struct server *s)
{
	ld_listener_free(s->listener);
	s->listener = NULL;
	s->silent = false;
	s->held_count = 0;
	s->crashing = NULL;
	s->slow = NULL;
	s->down = true;
}

static enum ld_status
start_listening(struct server *s)
{
	struct ld_listener_config c = {.host = "127.0.0.1",
	    .port = s->port,
	    .max_body_bytes = 65536,
	    .max_connections = 64,
	    .idle_timeout_ms = 60000,
	    .head_timeout_ms = 10000};

	return ld_listener_new(s->loop, &c, &s->handler, &s->listener);
}

void
relay_server_restart(struct server *s)
{
	if (s->silent)
		relay_server_kill(s);
	if (s->listener == NULL)
		(void)start_listening(s);
}

enum ld_status
relay_server_open(struct server *s, struct ld_loop *loop, uint16_t port)
{
	static const struct ld_handler_ops ops = {
	    .request = on_request, .client_disconnected = on_gone};

	s->handler.ops = &ops;
	s->loop = loop;
	s->port = port;
	s->timer.fn = on_slow;
	s->crash_timer.fn = on_crash;
	snprintf(s->address, sizeof(s->address), "127.0.0.1:%u", port);
	return start_listening(s);
}
