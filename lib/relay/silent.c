/* Groups that stand still, noticed by their streams. */
#include "request_internal.h"

/* A silent group gets no new request for so long, ms, renewed while silent. */
#define SUSPECT_SILENT_MS 200
/* While it is silent the holder of the control lease is told again, ms: news
 * and questions may be lost. */
#define ALARM_AGAIN_MS 600
/* A check that comes so much after the last one says that this process was
 * late, ms: checks are 15 ms apart, and a share of a core may come in turns of
 * a tenth of a second. */
#define OWN_LATE_MS 120

/* When the next byte of a request was to be there at the latest. */
static uint64_t
due_ms(const struct request *q)
{
	return q->heard_ms > 0 ? q->heard_ms : q->sent_ms + q->predicted_ms;
}

/* Of the servers that this node has requests at: with hundreds of servers there
 * are few of them. */
static void
note_due(struct relay *r)
{
	for (struct request *q = r->requests; q != NULL; q = q->next)
		if (q->server != NULL)
			q->server->due_ms = 0;
	for (struct request *q = r->requests; q != NULL; q = q->next)
		if (q->server != NULL && q->call != NULL &&
		    (q->server->due_ms == 0 || due_ms(q) < q->server->due_ms))
			q->server->due_ms = due_ms(q);
}

static void
check_group(struct relay *r, struct ld_server *s, uint64_t now)
{
	if (!ld_dispatch_silent(s, r->watched_since_ms, now)) {
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
		    (unsigned long long)(now - s->due_ms),
		    (unsigned long long)(now - s->heard_ms),
		    (unsigned long long)(now - s->peer_heard_ms));
	}
	if (!s->silent || now >= s->alarm_ms + ALARM_AGAIN_MS) {
		s->alarm_ms = now;
		control_alarm(
		    r, ld_str_c(s->entry.member.group), s->entry.member.epoch);
		mesh_alarm(r, s->entry.member.group, s->entry.member.epoch);
	}
	s->silent = true;
	if (s->suspect_until_ms < now + SUSPECT_SILENT_MS)
		s->suspect_until_ms = now + SUSPECT_SILENT_MS;
}

/* A second look at a server in the same check changes nothing. */
static void
check_groups(struct relay *r, uint64_t now)
{
	for (struct request *q = r->requests; q != NULL; q = q->next)
		if (q->server != NULL)
			check_group(r, q->server, now);
}

void
requests_alarm(struct relay *r, struct ld_str group, int64_t epoch)
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
		    (unsigned long long)(now - s->heard_ms),
		    (unsigned long long)(now - s->peer_heard_ms),
		    ld_dispatch_alarmed(s, now));
	}
}

void
requests_check(struct relay *r)
{
	uint64_t now = relay_now(r);
	struct request *next;

	if (now > r->checked_ms + OWN_LATE_MS)
		r->watched_since_ms = now;
	r->checked_ms = now;
	note_due(r);
	check_groups(r, now);
	for (struct request *q = r->requests; q != NULL; q = next) {
		next = q->next;
		request_leave_silent(q, now);
	}
}
