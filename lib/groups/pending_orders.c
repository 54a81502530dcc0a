/*
 * Orders without an answer. A server may carry one out seconds later, after newer
 * orders: such a join puts it back into a group that it has left, and such an open
 * opens a head again. As long as that can happen, a server that has left counts as
 * free only by its own report, and is ordered into another group on condition that
 * it has accepted no order since.
 */
#include "groups_internal.h"

/* A server carries out an order at most this long after it was sent, ms. */
#define ORDER_LATE_MAX_MS 12000
/* A leader orders a head to open for at most this long after its members were
 * ready, ms; see JOIN_SLACK_MS in lifecycle.c. */
#define OPENING_MAX_MS 5000
/* The count of orders in a report may be this old, ms. */
#define REPORT_LAG_MS 300

void
pending_sent(struct pending_orders *p, int64_t token)
{
	p->awaited++;
	p->token = token;
}

void
pending_result(
    struct pending_orders *p, enum ld_order_result r, uint64_t now_ms)
{
	if (p->awaited > 0)
		p->awaited--;
	if (r == LD_ORDER_SILENT)
		p->until_ms = now_ms + ORDER_LATE_MAX_MS;
}

void
pending_fence(struct pending_orders *p, int64_t token)
{
	if (token > p->fence)
		p->fence = token;
}

static bool
may_be_carried_out(const struct tick *s, const struct pending_orders *p)
{
	if (s->g->fenced && p->fence > p->token)
		return false;
	return p->awaited > 0 || s->now_ms < p->until_ms;
}

bool
pending_refuses_group(const struct tick *s, const struct group *gr, size_t i)
{
	const struct ld_server *v = member_server(s, gr, i);

	return v != NULL && v->entry.member.group != NULL &&
	    v->entry.member.epoch > gr->epoch;
}

bool
pending_join(const struct tick *s, const struct group *gr, size_t i)
{
	return may_be_carried_out(s, &gr->members[i].joins) &&
	    !pending_refuses_group(s, gr, i);
}

bool
pending_reopening(const struct tick *s, const struct group *gr)
{
	return pending_join(s, gr, 0) && may_be_carried_out(s, &gr->opens);
}

bool
pending_inherited(const struct tick *s)
{
	return !s->g->fenced && s->now_ms < s->g->lead_ms + ORDER_LATE_MAX_MS;
}

/*
 * A previous leader's orders were sent before this node's lease began, and those
 * that formed a group soon after its head was open at the latest.
 */
void
pending_inherit(const struct tick *s, struct group *gr)
{
	const struct ld_server *head = member_server(s, gr, 0);
	uint64_t sent_ms = s->g->lead_ms;

	if (head != NULL && names_group(head, gr) &&
	    head->entry.member.state == LD_MEMBER_OPEN &&
	    head->member_since_ms + OPENING_MAX_MS < sent_ms)
		sent_ms = head->member_since_ms + OPENING_MAX_MS;
	for (size_t i = 0; i < LD_GROUP_SIZE_MAX; i++)
		gr->members[i].joins.until_ms = sent_ms + ORDER_LATE_MAX_MS;
	gr->opens.until_ms = sent_ms + ORDER_LATE_MAX_MS;
}

/* ---- Servers that may be put back ---- */

void
pending_doubt(
    const struct tick *s, const struct ld_server *v, uint64_t since_ms)
{
	struct server_info *info = server_info_get(s->g, v);

	if (info->doubt_pass != s->g->mark_pass ||
	    since_ms > info->doubt_since_ms)
		info->doubt_since_ms = since_ms;
	info->doubt_pass = s->g->mark_pass;
}

bool
pending_in_doubt(const struct tick *s, const struct server_info *info)
{
	return info->doubt_pass == s->g->mark_pass;
}

bool
pending_is_confirmed(const struct tick *s, struct server_info *info)
{
	uint64_t known_ms = info->doubt_since_ms + REPORT_LAG_MS;

	if (!pending_in_doubt(s, info) ||
	    (info->has_order_count && info->reported_ms > known_ms))
		return true;
	if (s->now_ms > known_ms)
		request_probe(s, info, PROBE_INTERVAL_MS);
	return false;
}
