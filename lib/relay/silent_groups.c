/*
 * Detects silent groups: those whose streams receive no bytes although some are
 * due.
 */
#include "request_internal.h"

/* How long a silent group gets no new request; renewed while it is silent. */
#define SILENT_SUSPECT_MS 200
/* Interval at which the alarm to the leader is repeated
 * while a group is silent, as datagrams and probes may be lost. */
#define ALARM_RESEND_MS 600
/* A longer interval between two checks means that this process was delayed.
 * Checks are 15 ms apart, and a process limited to a share of a core may be
 * scheduled only every 100 ms. */
#define LATE_CHECK_MS 120

/* A stream has stopped after this time without a byte of its server, ms. */
#define STOPPED_MS 450
/* The same of a request without an answer, which may wait in the server's
 * queue, ms. */
#define UNANSWERED_MS 1000

static uint64_t
max_ms(uint64_t x, uint64_t y)
{
	return x > y ? x : y;
}

/* The latest time at which the next byte of a request is due. */
static uint64_t
next_byte_due_ms(const struct request *q)
{
	return q->send->last_byte_ms > 0
	    ? q->send->last_byte_ms
	    : q->send->sent_ms + q->send->predicted_ms;
}

/* Iterates over requests rather than servers: of hundreds of servers only a few
 * have requests of this node. */
static void
update_due_times(struct relay *r)
{
	for (struct request *q = r->requests; q != NULL; q = q->next)
		if (q->send->server != NULL)
			q->send->server->byte_due_ms = 0;
	for (struct request *q = r->requests; q != NULL; q = q->next)
		if (q->send->server != NULL && q->send->call != NULL &&
		    (q->send->server->byte_due_ms == 0 ||
			next_byte_due_ms(q) < q->send->server->byte_due_ms))
			q->send->server->byte_due_ms = next_byte_due_ms(q);
}

static void
check_group(struct relay *r, struct ld_server *s, uint64_t now)
{
	if (isolation_is_active(r) ||
	    !ld_dispatch_silent(s, r->on_time_since_ms, now)) {
		s->silent = false;
		return;
	}
	if (!s->silent) {
		relay_count(r, LD_M_RELAY_SILENT_GROUPS);
		ld_event("group.silent",
		    "group=%s epoch=%lld server=%s requests=%u "
		    "due_ago_ms=%llu heard_ago_ms=%llu "
		    "peers_heard_ago_ms=%llu",
		    s->entry.member.group, (long long)s->entry.member.epoch,
		    s->entry.id, s->active,
		    (unsigned long long)(now - s->byte_due_ms),
		    (unsigned long long)(now - s->last_byte_ms),
		    (unsigned long long)(now - s->peer_last_byte_ms));
	}
	if (!s->silent || now >= s->alarm_sent_ms + ALARM_RESEND_MS) {
		s->alarm_sent_ms = now;
		control_alarm(
		    r, ld_str_c(s->entry.member.group), s->entry.member.epoch);
		mesh_alarm(r, s->entry.member.group, s->entry.member.epoch);
	}
	s->silent = true;
	if (s->suspect_until_ms < now + SILENT_SUSPECT_MS)
		s->suspect_until_ms = now + SILENT_SUSPECT_MS;
}

/* A stream has stopped here, or a request gets no answer, while other nodes
 * receive bytes of the server. */
static void
check_send(struct relay *r, const struct request *q, uint64_t now)
{
	const struct ld_server *s = q->send->server;
	uint64_t since, limit_ms;

	if (s == NULL || q->send->call == NULL ||
	    s->peer_last_byte_ms <= s->last_byte_ms)
		return;
	since = q->send->last_byte_ms > 0
	    ? s->last_byte_ms
	    : max_ms(q->send->sent_ms, s->last_byte_ms);
	limit_ms = q->send->last_byte_ms > 0 ? STOPPED_MS : UNANSWERED_MS;
	if (now > max_ms(since, r->on_time_since_ms) + limit_ms)
		isolation_note_failed(
		    r, s, ld_http_maybe_sent(q->send->call), since);
}

/* A server with several requests is checked once for each, which has no further
 * effect. */
static void
check_groups(struct relay *r, uint64_t now)
{
	for (struct request *q = r->requests; q != NULL; q = q->next) {
		check_send(r, q, now);
		if (q->send->server != NULL)
			check_group(r, q->send->server, now);
	}
}

void
silent_groups_on_alarm(struct relay *r, struct ld_str group, int64_t epoch)
{
	uint64_t now = relay_now(r);

	for (struct ld_server *s = ld_servers_first(r->servers); s != NULL;
	     s = s->next) {
		const struct ld_membership *m = &s->entry.member;

		if (m->epoch != epoch || m->rank != 0 || m->group == NULL ||
		    !ld_str_eq(ld_str_c(m->group), group))
			continue;
		ld_event("group.alarm",
		    "group=%s epoch=%lld server=%s heard_ago_ms=%llu "
		    "peers_heard_ago_ms=%llu passed_over=%d",
		    m->group, (long long)epoch, s->entry.id,
		    (unsigned long long)(now - s->last_byte_ms),
		    (unsigned long long)(now - s->peer_last_byte_ms),
		    ld_dispatch_on_alarm(s, now));
	}
}

void
silent_groups_check(struct relay *r)
{
	uint64_t now = relay_now(r);
	struct request *next;

	if (now > r->silence_checked_ms + LATE_CHECK_MS)
		r->on_time_since_ms = now;
	r->silence_checked_ms = now;
	update_due_times(r);
	check_groups(r, now);
	for (struct request *q = r->requests; q != NULL; q = next) {
		next = q->next;
		send_note_silence(q->send);
		move_consider(q, now);
	}
}
