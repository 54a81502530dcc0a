/*
 * Memory for bodies: what servers have sent, and clients have sent or not taken yet.
 * All together have a bound. Beyond it the largest are ended, so that one server or
 * client in trouble costs its own requests and no others.
 */
#include "request_internal.h"

#define BYTES_PER_MB ((size_t)1024 * 1024)
#define PERCENT 100
/* A response that takes this part of the memory is ended before the answers that
 * clients have not taken. */
#define LARGE_DIVISOR 16
/* Interval of the log lines while nothing can be ended, ms. */
#define LOG_INTERVAL_MS 1000

size_t
memory_limit_bytes(const struct relay *r)
{
	return (size_t)r->settings->memory_mb * BYTES_PER_MB / PERCENT *
	    (size_t)r->settings->memory_percent;
}

size_t
memory_held_bytes(const struct relay *r)
{
	return r->send_bytes + ld_listener_held_bytes(r->entry) +
	    changes_server_held_bytes(r);
}

void
memory_account(struct send *s)
{
	struct relay *r = s->request->relay;
	size_t held = s->response.body.cap + s->events.pending.buf.cap;

	r->send_bytes += held - s->held_bytes;
	s->held_bytes = held;
}

bool
memory_exceeded(const struct relay *r)
{
	return memory_held_bytes(r) > memory_limit_bytes(r);
}

static struct send *
larger(struct send *a, struct send *b)
{
	return b != NULL && (a == NULL || b->held_bytes > a->held_bytes) ? b
									 : a;
}

static struct send *
largest_send(const struct relay *r)
{
	struct send *out = NULL;

	for (struct request *q = r->requests; q != NULL; q = q->next) {
		if (q->send->call != NULL)
			out = larger(out, q->send);
		out = larger(out, q->move);
	}
	return out;
}

static void
end_send(struct send *s)
{
	struct request *q = s->request;

	if (s != q->move) {
		send_reject(s, "memory");
		return;
	}
	send_note_failed(s);
	move_end(q, "memory");
}

/* Returns the bytes that were given back, 0 if nothing can be. */
static size_t
end_largest(struct relay *r, char id[LD_EVENT_TOKEN_BYTES])
{
	struct send *s = largest_send(r);
	size_t bytes = s != NULL ? s->held_bytes : 0;
	size_t untaken = 0;

	if (bytes < memory_limit_bytes(r) / LARGE_DIVISOR)
		untaken = ld_listener_end_largest(r->entry);
	if (untaken > 0 || bytes == 0)
		return untaken;
	ld_event_token(ld_str_c(s->request->attempt_id), id);
	end_send(s);
	return bytes;
}

void
memory_relieve(struct relay *r)
{
	size_t ended = 1;

	while (ended > 0 && memory_exceeded(r)) {
		char id[LD_EVENT_TOKEN_BYTES] = "-";
		size_t held = memory_held_bytes(r);

		ended = end_largest(r, id);
		if (ended > 0)
			relay_count(r, LD_M_RELAY_MEMORY_ENDED);
		else if (relay_now(r) < r->memory_logged_ms + LOG_INTERVAL_MS)
			return;
		r->memory_logged_ms = relay_now(r);
		ld_event("memory.exceeded",
		    "id=%s ended_bytes=%zu held_bytes=%zu limit_bytes=%zu", id,
		    ended, held, memory_limit_bytes(r));
	}
}
