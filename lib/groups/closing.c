/*
 * End of a group: its members become free once its head certainly doesn't serve,
 * and no order without an answer can make it serve again. A head that gives no
 * answer, or refuses connections, may be on the other side of a partition and open.
 * Each other member is then ordered to leave; as soon as one has left, the group
 * stands still, and after the engines' stall time its head is broken and all are
 * free.
 */
#include <string.h>

#include "groups_internal.h"

/* Longest time for which a leaving head continues with its requests, ms. */
#define HEAD_DRAIN_MAX_MS 10000
/* Allowance beyond the stall time for the steps of an engine, ms. */
#define STALL_SLACK_MS 250
/* A server's entry shows within this time that it has left a group, ms. */
#define LEFT_VISIBLE_MS 2500

static void
retire(const struct tick *s, struct group *gr, const char *why)
{
	group_set_phase(gr, PHASE_RETIRED, s->now_ms);
	change_add(s->g, "retired", gr, "", why);
}

/*
 * Whether the head's own entry shows that it has left the group. The state
 * "ready" isn't enough: an order to open may still be executed.
 */
static bool
head_stopped(const struct ld_server *head, const struct group *gr)
{
	return head->listed && !names_group(head, gr);
}

/* Whether an entry that is newer than the server's answer at @left_ms names the
 * group: an order without an answer was carried out since. */
static bool
has_returned(const struct tick *s, const struct group *gr,
    const struct ld_server *v, uint64_t left_ms)
{
	return v->listed && names_group(v, gr) &&
	    (v->member_since_ms > left_ms ||
		s->now_ms > left_ms + LEFT_VISIBLE_MS);
}

enum presence
closing_presence(
    const struct tick *s, const struct group *gr, size_t i, uint64_t *since_ms)
{
	const struct member *m = &gr->members[i];
	const struct ld_server *v = member_server(s, gr, i);
	bool may_return =
	    i == 0 ? pending_reopening(s, gr) : pending_join(s, gr, i);

	*since_ms = m->left_ms;
	if (pending_refuses_group(s, gr, i))
		return PRESENCE_OUT;
	if (m->left && (v == NULL || !has_returned(s, gr, v, m->left_ms)))
		return may_return ? PRESENCE_DOUBTFUL : PRESENCE_OUT;
	if (v == NULL || !v->listed || names_group(v, gr))
		return PRESENCE_IN;
	*since_ms = v->member_since_ms;
	return PRESENCE_DOUBTFUL;
}

bool
closing_head_returned(const struct tick *s, const struct group *gr)
{
	const struct ld_server *head = member_server(s, gr, 0);

	return head != NULL && head->listed && names_group(head, gr) &&
	    (head->entry.member.state == LD_MEMBER_OPEN ||
		head->entry.member.state == LD_MEMBER_CLOSING) &&
	    head->member_since_ms > gr->phase_since_ms;
}

static void
order_head(const struct tick *s, struct group *gr, struct ld_server *head)
{
	bool drain = head->listed &&
	    s->now_ms < gr->phase_since_ms + gr->drain_ms &&
	    head->entry.member.state != LD_MEMBER_READY;

	if (drain == gr->drain_ordered && gr->ordered_ms != 0 &&
	    s->now_ms <
		gr->ordered_ms + (drain ? gr->drain_ms : ORDER_RETRY_MS))
		return;
	gr->drain_ordered = drain;
	order_add(s->g, drain ? LD_ORDER_CLOSE : LD_ORDER_LEAVE, head, gr);
	gr->ordered_ms = s->now_ms;
}

/* ---- A head that gives no answer ---- */

/* A head that has stopped listening may be leaving: it finishes its requests, for
 * which it needs all members. */
static bool
may_finish_requests(
    const struct tick *s, const struct group *gr, const struct ld_server *head)
{
	return head->active + head->peer_active > 0 &&
	    s->now_ms <= gr->phase_since_ms + HEAD_DRAIN_MAX_MS;
}

/* An order that is carried out late isn't answered either, but probes are. */
static bool
head_gives_no_answer(
    const struct tick *s, const struct group *gr, const struct ld_server *head)
{
	struct server_info *info;

	if (head == NULL)
		return true;
	if (s->now_ms < gr->phase_since_ms + gr->drain_ms)
		return false;
	if (gr->head_unreachable)
		return !may_finish_requests(s, gr, head);
	if (!gr->head_silent)
		return false;
	info = server_info_get(s->g, head);
	if (info->failed_probes >= FAILED_PROBES_MAX)
		return true;
	request_probe(s, info,
	    info->failed_probes > 0 ? PROBE_RETRY_MS : PROBE_INTERVAL_MS);
	return false;
}

static void
dismiss_members(const struct tick *s, struct group *gr)
{
	for (size_t i = 1; i < gr->member_count; i++) {
		struct member *m = &gr->members[i];
		struct ld_server *v = member_server(s, gr, i);

		if (v == NULL || !v->listed || !names_group(v, gr) ||
		    (m->left && !has_returned(s, gr, v, m->left_ms)) ||
		    (m->dismissed_ms != 0 &&
			s->now_ms < m->dismissed_ms + ORDER_RETRY_MS))
			continue;
		m->dismissed_ms = s->now_ms;
		order_add(s->g, LD_ORDER_LEAVE, v, gr);
	}
}

static bool
is_named(const struct tick *s, const struct group *gr)
{
	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v = member_server(s, gr, i);

		if (v != NULL && v->listed && names_group(v, gr))
			return true;
	}
	return false;
}

static bool
has_pending_join(const struct tick *s, const struct group *gr)
{
	for (size_t i = 1; i < gr->member_count; i++)
		if (pending_join(s, gr, i))
			return true;
	return false;
}

static void
note_members_out(const struct tick *s, struct group *gr)
{
	for (size_t i = 1; i < gr->member_count; i++) {
		struct member *m = &gr->members[i];
		uint64_t since_ms;

		if (closing_presence(s, gr, i, &since_ms) != PRESENCE_OUT)
			m->out_since_ms = 0;
		else if (m->out_since_ms == 0)
			m->out_since_ms = s->now_ms;
	}
}

/* Whether a member has been out of the group for as long as its head takes to
 * break. */
static bool
has_stood_still(const struct tick *s, const struct group *gr)
{
	uint64_t stall_ms = s->g->stall_ms + STALL_SLACK_MS;

	for (size_t i = 1; i < gr->member_count; i++) {
		uint64_t since_ms = gr->members[i].out_since_ms;

		if (since_ms != 0 && s->now_ms > since_ms + stall_ms)
			return true;
	}
	return false;
}

static void
stop_without_head(const struct tick *s, struct group *gr)
{
	dismiss_members(s, gr);
	/* If its head returns with it, it is adopted and closed again. */
	if (s->settled && !is_named(s, gr) && !has_pending_join(s, gr)) {
		gr->forgotten = true;
		retire(s, gr, "no entry names it");
	} else if (has_stood_still(s, gr) && !pending_reopening(s, gr)) {
		retire(s, gr, "it stood still until its head broke");
	}
}

static void
on_member_left(struct group *gr, const struct ld_order *o, uint64_t now_ms)
{
	for (size_t i = 0; i < gr->member_count; i++) {
		struct member *m = &gr->members[i];

		if (strcmp(m->id, o->server) != 0)
			continue;
		m->left = true;
		m->left_ms = now_ms;
		pending_fence(&m->joins, o->token);
	}
}

void
closing_on_left(struct group *gr, const struct ld_order *o,
    enum ld_order_result r, uint64_t now_ms)
{
	bool answered = r != LD_ORDER_SILENT && r != LD_ORDER_UNREACHABLE &&
	    r != LD_ORDER_FENCED;

	if (answered)
		on_member_left(gr, o, now_ms);
	if (strcmp(o->server, gr->members[0].id) != 0)
		return;
	gr->head_silent = r == LD_ORDER_SILENT || r == LD_ORDER_FENCED;
	gr->head_unreachable = r == LD_ORDER_UNREACHABLE;
	gr->head_left = answered;
	if (answered)
		pending_fence(&gr->opens, o->token);
}

/* The head has left, and orders without an answer may open it again. */
static void
hold(const struct tick *s, struct group *gr, const struct ld_server *head)
{
	if (!gr->held)
		change_add(s->g, "held", gr, gr->members[0].id,
		    "orders without an answer may open its head again");
	gr->held = true;
	dismiss_members(s, gr);
	if (head != NULL && has_returned(s, gr, head, gr->members[0].left_ms))
		gr->head_left = false;
}

void
closing_step(const struct tick *s, struct group *gr)
{
	struct ld_server *head;

	note_members_out(s, gr);
	/* The entry of a head that was cut off may be read later. */
	if (gr->members[0].id[0] == '\0')
		collect_members(s, gr);
	head = member_server(s, gr, 0);
	if (gr->head_left || (head != NULL && head_stopped(head, gr))) {
		if (pending_reopening(s, gr))
			hold(s, gr, head);
		else
			retire(s, gr,
			    gr->head_left ? "the head left"
					  : "the head has stopped");
		return;
	}
	if (head != NULL)
		order_head(s, gr, head);
	if (head_gives_no_answer(s, gr, head))
		stop_without_head(s, gr);
}
