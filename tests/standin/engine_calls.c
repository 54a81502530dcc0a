/* Completions of the engine stand-in: one timer per call, one shared loop. */
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine_internal.h"
#include "ld_token.h"

#define TOKENS_DEFAULT 16
#define PREFIX_BYTES 256
#define CACHE_EVENT_GAP 7 /* one event in this many is dropped */
#define LEDGER_MAX 100000 /* calls recorded */
#define CACHE_EVENTS_MAX 4096

/* struct call - one completion, in the list of running or waiting calls */
struct call {
	struct call *next;
	struct call **link; /* the pointer that refers to this call */
	struct si_req *req;
	struct ld_timer timer; /* next token, or the whole answer */
	json_t *record; /* in the ledger */
	char *id; /* JSON string */
	char *model; /* JSON string */
	uint64_t hash;
	uint64_t next_token;
	uint64_t end;
	uint64_t sent;
	bool chat;
	bool stream;
	bool running;
};

static void
link_call(struct call *c, struct call **at)
{
	c->link = at;
	c->next = *at;
	if (c->next != NULL)
		c->next->link = &c->next;
	*at = c;
}

static void
unlink_call(struct call *c)
{
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	else if (!c->running)
		engine.waiting_tail = c->link;
	if (c->running)
		engine.running_count--;
	else
		engine.waiting_count--;
}

static void
note(struct call *c, const char *what)
{
	json_object_set_new(c->record, what, json_true());
	json_object_set_new(
	    c->record, "tokens", json_integer((json_int_t)c->sent));
	json_object_set_new(c->record, "ended_ms",
	    json_integer((json_int_t)ld_loop_now(engine.loop)));
}

static void start_waiting(void);

/* Removes the call from the engine; the request may outlive it. */
static void
end_call(struct call *c, const char *what)
{
	unlink_call(c);
	ld_timer_stop(ld_loop_timers(engine.loop), &c->timer);
	note(c, what);
	c->req->user = NULL;
	json_decref(c->record);
	free(c->id);
	free(c->model);
	free(c);
	start_waiting();
}

/* ---- Tokens ---- */

static void
push_token(struct call *c)
{
	static struct ld_buf event;
	char token[LD_TOKEN_MAX];
	bool last = c->next_token + 1 == c->end;

	ld_token(c->hash, c->next_token, token);
	event.len = 0;
	ld_buf_printf(&event,
	    "data: {\"id\":%s,\"model\":%s,\"object\":", c->id, c->model);
	ld_buf_printf(&event,
	    c->chat ? "\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
		      "\"delta\":{\"content\":\"%s\"},\"finish_reason\":%s}]"
		    : "\"text_completion\",\"choices\":[{\"index\":0,"
		      "\"text\":\"%s\",\"finish_reason\":%s}]",
	    token, last ? "\"length\"" : "null");
	ld_buf_adds(&event, LD_STR("}\n\n"));
	si_push(c->req, ld_buf_str(&event));
	c->next_token++;
	c->sent++;
}

static json_t *
whole_choice(struct call *c)
{
	struct ld_buf text = {0};
	char token[LD_TOKEN_MAX];
	json_t *choice;

	for (; c->next_token < c->end; c->next_token++, c->sent++)
		ld_buf_add(
		    &text, token, ld_token(c->hash, c->next_token, token));
	if (c->chat)
		choice = json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0,
		    "message", "role", "assistant", "content",
		    ld_buf_cstr(&text), "finish_reason", "length");
	else
		choice = json_pack("{s:i,s:s,s:s}", "index", 0, "text",
		    ld_buf_cstr(&text), "finish_reason", "length");
	ld_buf_free(&text);
	return choice;
}

static void
answer_whole(struct call *c)
{
	json_t *choice = whole_choice(c);
	json_int_t n = (json_int_t)c->sent;

	si_answer_json(c->req, 200,
	    json_pack("{s:o,s:s,s:o,s:[o],s:{s:i,s:I,s:I}}", "id",
		json_loads(c->id, JSON_DECODE_ANY, NULL), "object",
		c->chat ? "chat.completion" : "text_completion", "model",
		json_loads(c->model, JSON_DECODE_ANY, NULL), "choices", choice,
		"usage", "prompt_tokens", 0, "completion_tokens", n,
		"total_tokens", n),
	    0);
	end_call(c, "finished");
}

/* Time to the next token; a straggler takes the fault's ms per token. */
static uint64_t
token_gap_ms(void)
{
	return si_fault_is(&engine.fault, "slow") ? engine.fault.ms
						  : engine.options->token_ms;
}

static void
finish_stream(struct call *c)
{
	si_push(c->req, LD_STR("data: [DONE]\n\n"));
	si_end(c->req);
	end_call(c, "finished");
}

static bool
cut_due(const struct call *c)
{
	return si_fault_is(&engine.fault, "cut-after") &&
	    c->sent >= (uint64_t)engine.fault.count;
}

static void
on_due(struct ld_timer *t, uint64_t now_ms)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, timer));
	uint64_t gap = token_gap_ms();

	if (si_fault_is(&engine.fault, "hang"))
		return;
	if (!c->stream) {
		answer_whole(c);
		return;
	}
	do {
		if (cut_due(c)) {
			si_cut(c->req);
			end_call(c, "cut");
			return;
		}
		if (c->next_token < c->end)
			push_token(c);
	} while (gap == 0 && c->next_token < c->end);
	if (c->next_token >= c->end)
		finish_stream(c);
	else
		ld_timer_start(
		    ld_loop_timers(engine.loop), t, c->timer.due_ms + gap);
}

/* ---- Starting ---- */

static void
start_call(struct call *c)
{
	struct ld_timers *timers = ld_loop_timers(engine.loop);
	uint64_t wait = engine.options->first_token_ms;

	c->running = true;
	engine.running_count++;
	link_call(c, &engine.running);
	json_object_set_new(c->record, "started_ms",
	    json_integer((json_int_t)ld_loop_now(engine.loop)));
	if (!c->stream)
		wait += (c->end - c->next_token) * token_gap_ms();
	c->timer.fn = on_due;
	c->timer.due_ms = ld_loop_now(engine.loop) + wait;
	if (c->stream)
		si_stream(c->req, "text/event-stream");
	if (wait == 0)
		on_due(&c->timer, c->timer.due_ms);
	else
		ld_timer_start(timers, &c->timer, c->timer.due_ms);
}

static void
start_waiting(void)
{
	while (engine.waiting != NULL &&
	    engine.running_count < engine.options->slots) {
		struct call *c = engine.waiting;

		if (si_peer_gone(c->req)) {
			si_cut(c->req);
			end_call(c, "cancelled");
			return;
		}
		unlink_call(c);
		start_call(c);
	}
}

static void
queue_call(struct call *c)
{
	c->link = engine.waiting_tail;
	*engine.waiting_tail = c;
	engine.waiting_tail = &c->next;
	engine.waiting_count++;
}

static void
add_cache_event(struct ld_str prompt)
{
	struct ld_str prefix = {
	    prompt.p, prompt.len < PREFIX_BYTES ? prompt.len : PREFIX_BYTES};
	char hex[17];

	if (++engine.cache_seq % CACHE_EVENT_GAP == 0)
		return;
	if (json_array_size(engine.cache_events) >= CACHE_EVENTS_MAX)
		json_array_remove(engine.cache_events, 0);
	snprintf(hex, sizeof(hex), "%016llx",
	    (unsigned long long)ld_hash64(prefix, 0));
	json_array_append_new(engine.cache_events,
	    json_pack("{s:I,s:s,s:s}", "seq", engine.cache_seq, "prefix", hex,
		"kind", "stored"));
}

static void
prompt_text(json_t *body, bool chat, struct ld_buf *out)
{
	const char *prompt = json_string_value(json_object_get(body, "prompt"));
	json_t *m;
	size_t i;

	if (!chat) {
		ld_buf_adds(out, ld_str_c(prompt));
		return;
	}
	json_array_foreach(json_object_get(body, "messages"), i, m)
	{
		const char *text =
		    json_string_value(json_object_get(m, "content"));

		if (i > 0)
			ld_buf_adds(out, LD_STR("\n"));
		ld_buf_adds(out, ld_str_c(text));
	}
}

static char *
quoted(const char *s)
{
	json_t *j = json_string(s != NULL ? s : "");
	char *text = json_dumps(j, JSON_ENCODE_ANY);

	json_decref(j);
	return text;
}

static struct call *
call_new(struct si_req *r, json_t *body, bool chat)
{
	struct call *c = ld_alloc(sizeof(*c));
	const char *id = si_header(r, "X-Request-Id");
	const char *from = si_header(r, "X-Resume-From");
	json_t *max = json_object_get(body, "max_tokens");
	struct ld_buf prompt = {0};

	prompt_text(body, chat, &prompt);
	add_cache_event(ld_buf_str(&prompt));
	c->req = r;
	c->chat = chat;
	c->stream = json_is_true(json_object_get(body, "stream"));
	c->hash = ld_prompt_hash(ld_buf_str(&prompt));
	c->id = quoted(id);
	c->model = quoted(json_string_value(json_object_get(body, "model")));
	c->end = json_is_integer(max) ? (uint64_t)json_integer_value(max)
				      : TOKENS_DEFAULT;
	c->next_token = from != NULL ? strtoull(from, NULL, 10) : 0;
	if (c->next_token > c->end)
		c->next_token = c->end;
	c->record = json_pack("{s:s,s:s,s:I,s:I,s:b,s:b,s:I}", "request_id",
	    id != NULL ? id : "", "replica",
	    engine.replica != NULL ? engine.replica : "", "epoch", engine.epoch,
	    "resume_from", (json_int_t)c->next_token, "finished", false,
	    "cancelled", false, "tokens", (json_int_t)0);
	if (json_array_size(engine.ledger) < LEDGER_MAX)
		json_array_append(engine.ledger, c->record);
	ld_buf_free(&prompt);
	return c;
}

void
engine_completion(struct si_req *r, bool chat)
{
	json_t *body = si_body(r);
	struct call *c;

	if (!json_is_object(body)) {
		json_decref(body);
		si_answer_error(r, 400, "the body is not a JSON object");
		return;
	}
	if (!engine_holds(r)) {
		json_decref(body);
		si_answer_error(r, 409, "another replica or epoch is held");
		return;
	}
	if (si_fault_take(&engine.fault, "error")) {
		json_decref(body);
		si_answer_error(r, 500, "scripted error");
		return;
	}
	c = call_new(r, body, chat);
	json_decref(body);
	r->user = c;
	if (engine.running_count < engine.options->slots)
		start_call(c);
	else
		queue_call(c);
}

/* ---- Ending ---- */

static struct call *
find_call(const char *id)
{
	for (struct call *c = engine.running; c != NULL; c = c->next)
		if (strcmp(id, c->id) == 0)
			return c;
	for (struct call *c = engine.waiting; c != NULL; c = c->next)
		if (strcmp(id, c->id) == 0)
			return c;
	return NULL;
}

void
engine_cancel(struct si_req *r)
{
	json_t *body = si_body(r);
	char *id =
	    quoted(json_string_value(json_object_get(body, "request_id")));
	struct call *c = find_call(id);

	if (c != NULL) {
		si_cut(c->req);
		end_call(c, "cancelled");
	}
	si_answer_json(r, 200, json_pack("{s:b}", "cancelled", c != NULL), 0);
	free(id);
	json_decref(body);
}

void
engine_closed(struct si_req *r)
{
	if (r->user != NULL)
		end_call(r->user, "cancelled");
}

void
engine_drop_all(void)
{
	while (engine.waiting != NULL) {
		si_cut(engine.waiting->req);
		end_call(engine.waiting, "cut");
	}
	while (engine.running != NULL) {
		si_cut(engine.running->req);
		end_call(engine.running, "cut");
	}
}

void
engine_fault_changed(void)
{
	struct ld_timers *timers = ld_loop_timers(engine.loop);

	for (struct call *c = engine.running; c != NULL; c = c->next)
		if (!ld_timer_active(&c->timer))
			ld_timer_after(timers, &c->timer, 0);
}
