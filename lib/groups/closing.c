/*
 * End of a group: its members become free once its head certainly doesn't serve.
 * A head that gives no answer, or refuses connections, may be on the other side of
 * a partition and open. Each other member is then ordered to leave; as soon as one
 * has left, the group stands still, and after the engines' stall time its head is
 * broken and all are free.
 */
#include <string.h>

#include "groups_internal.h"

/* Longest time for which a leaving head continues with its requests, ms. */
#define HEAD_DRAIN_MAX_MS 10000
/* Allowance beyond the stall time for the steps of an engine, ms. */
#define STALL_SLACK_MS 250

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

		if (m->left || v == NULL || !v->listed || !names_group(v, gr) ||
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

static void
stop_without_head(const struct tick *s, struct group *gr)
{
	dismiss_members(s, gr);
	/* If its head returns with it, it is adopted and closed again. */
	if (s->settled && !is_named(s, gr)) {
		gr->forgotten = true;
		retire(s, gr, "no entry names it");
	} else if (gr->still_since_ms != 0 &&
	    s->now_ms > gr->still_since_ms + s->g->stall_ms + STALL_SLACK_MS) {
		retire(s, gr, "it stood still until its head broke");
	}
}

static void
on_member_left(struct group *gr, const char *server, uint64_t now_ms)
{
	for (size_t i = 1; i < gr->member_count; i++) {
		if (strcmp(gr->members[i].id, server) != 0)
			continue;
		gr->members[i].left = true;
		if (gr->still_since_ms == 0)
			gr->still_since_ms = now_ms;
	}
}

void
closing_on_left(struct group *gr, const char *server, enum ld_order_result r,
    uint64_t now_ms)
{
	bool answered = r != LD_ORDER_SILENT && r != LD_ORDER_UNREACHABLE &&
	    r != LD_ORDER_FENCED;

	if (strcmp(server, gr->members[0].id) != 0) {
		if (answered)
			on_member_left(gr, server, now_ms);
		return;
	}
	gr->head_silent = r == LD_ORDER_SILENT || r == LD_ORDER_FENCED;
	gr->head_unreachable = r == LD_ORDER_UNREACHABLE;
	gr->head_left = answered;
}

void
closing_step(const struct tick *s, struct group *gr)
{
	struct ld_server *head;

	/* The entry of a head that was cut off may be read later. */
	if (gr->members[0].id[0] == '\0')
		collect_members(s, gr);
	head = member_server(s, gr, 0);
	if (gr->head_left) {
		retire(s, gr, "the head left");
		return;
	}
	if (head != NULL && head_stopped(head, gr)) {
		retire(s, gr, "the head has stopped");
		return;
	}
	if (head != NULL)
		order_head(s, gr, head);
	if (head_gives_no_answer(s, gr, head))
		stop_without_head(s, gr);
}
