/*
 * Life cycle of a group: formed or adopted from the previous leader, opened
 * once every member is ready, monitored in service, closed after a loss (see
 * closing.c).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "groups_internal.h"

/* Orders to join without visible effect before the group is closed. */
#define JOIN_TRIES_MAX 3
/* A server's entry shows within this time that it accepted an order to join,
 * ms: the delay of the store's watch, including one second without updates.
 * Otherwise the server has restarted meanwhile. */
#define JOIN_VISIBLE_MS 2500
/* Allowance beyond the load time for the delay of reports and the watch, ms. */
#define JOIN_SLACK_MS 5000
/* Drain time when a member leaves as planned, ms: shorter than the time for
 * which a leaving server continues to run. */
#define LEAVE_DRAIN_MS 1500
/* Drain time when a group of another model needs the servers, ms: most answers
 * of a small model finish within it and the rest resume on other groups, while
 * the callers of the other model wait no longer than this. */
#define PREEMPT_DRAIN_MS 800
/* A group keeps a leaving member for at most this, ms: less than the ten
 * seconds for which the member stays while its head has requests. */
#define LEAVING_SERVES_MS 8000
/* Interval between probes of a member that answers but has no entry, since it
 * is cut off from the store, ms. */
#define PROBE_CUT_OFF_INTERVAL_MS 1500
#define RETIRED_RETENTION_MS 120000

bool
names_group(const struct ld_server *s, const struct group *gr)
{
	const struct ld_membership *m = &s->entry.member;

	return m->group != NULL && m->epoch == gr->epoch &&
	    strcmp(m->group, gr->name) == 0;
}

struct ld_server *
member_server(const struct tick *s, const struct group *gr, size_t i)
{
	return ld_servers_find(s->servers, ld_str_c(gr->members[i].id));
}

/* ---- Adopting groups of the previous leader ---- */

static bool
is_tracked(const struct ld_groups *g, const struct ld_membership *m)
{
	for (const struct group *gr = g->groups; gr != NULL; gr = gr->next)
		if (gr->epoch == m->epoch && strcmp(gr->name, m->group) == 0)
			return true;
	return false;
}

void
collect_members(const struct tick *s, struct group *gr)
{
	for (struct ld_server *v = ld_servers_first(s->servers); v != NULL;
	     v = v->next) {
		uint32_t rank = v->entry.member.rank;

		if (!names_group(v, gr) || rank >= LD_GROUP_SIZE_MAX)
			continue;
		snprintf(gr->members[rank].id, sizeof(gr->members[rank].id),
		    "%s", v->entry.id);
		if (rank + 1 > gr->member_count)
			gr->member_count = rank + 1;
	}
}

static bool
has_all_members(const struct group *gr, size_t size)
{
	if (gr->member_count != size)
		return false;
	for (size_t i = 0; i < size; i++)
		if (gr->members[i].id[0] == '\0')
			return false;
	return true;
}

static bool
head_is_open(const struct tick *s, const struct group *gr)
{
	const struct ld_server *head = member_server(s, gr, 0);

	return head->listed && head->entry.member.state == LD_MEMBER_OPEN;
}

static void
adopt_group(const struct tick *s, const struct ld_server *v)
{
	const struct ld_membership *m = &v->entry.member;
	struct ld_str named =
	    m->model != NULL ? ld_str_c(m->model) : group_model(m->group);
	const struct ld_model_spec *model = ld_engine_model(s->spec, named);
	struct group *gr = ld_alloc(sizeof(*gr));
	bool complete;

	snprintf(gr->name, sizeof(gr->name), "%s", m->group);
	snprintf(gr->model, sizeof(gr->model), "%.*s", LD_FMT(named));
	snprintf(gr->domain, sizeof(gr->domain), "%s",
	    v->entry.domain != NULL ? v->entry.domain : "");
	gr->epoch = m->epoch;
	gr->adopted = true;
	collect_members(s, gr);
	complete = model != NULL && has_all_members(gr, model->size);
	/* Entries of the other members may not have been read yet. */
	if (!complete && !s->settled) {
		free(gr);
		return;
	}
	gr->next = s->g->groups;
	s->g->groups = gr;
	pending_inherit(s, gr);
	for (size_t i = 0; i < gr->member_count; i++)
		gr->members[i].ordered_ms = s->now_ms;
	if (!complete)
		group_set_phase(gr, PHASE_CLOSING, s->now_ms);
	else if (head_is_open(s, gr))
		group_set_phase(gr, PHASE_SERVING, s->now_ms);
	else
		group_set_phase(gr, PHASE_FORMING, s->now_ms);
	change_add(s->g, complete ? "adopted" : "closing", gr, "",
	    complete ? "all members have entries"
		     : "entries of some members are missing");
}

static void
adopt_groups(const struct tick *s)
{
	for (struct ld_server *v = ld_servers_first(s->servers); v != NULL;
	     v = v->next) {
		if (!v->listed || v->entry.member.group == NULL ||
		    !ld_str_eq(ld_str_c(v->entry.service), s->service))
			continue;
		if (!is_tracked(s->g, &v->entry.member))
			adopt_group(s, v);
	}
}

/* ---- Forming and opening ---- */

static void
close_group(const struct tick *s, struct group *gr, const char *server,
    const char *why, uint64_t drain_ms)
{
	gr->drain_ms = drain_ms;
	gr->head_left = false;
	gr->held = false;
	gr->head_silent = false;
	gr->head_unreachable = false;
	group_set_phase(gr, PHASE_CLOSING, s->now_ms);
	change_add(s->g, "closing", gr, server, why);
}

void
lifecycle_close(const struct tick *s, struct group *gr, const char *why)
{
	close_group(s, gr, "", why, PREEMPT_DRAIN_MS);
}

static uint64_t
join_limit_ms(const struct tick *s, const struct group *gr)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(gr->model));
	uint64_t load_ms = m != NULL ? m->load_ms : 0;

	return 2 * load_ms + JOIN_SLACK_MS;
}

static void
order_join(
    const struct tick *s, struct group *gr, size_t i, const struct ld_server *v)
{
	struct member *m = &gr->members[i];
	struct server_info *info = server_info_get(s->g, v);
	struct ld_order *o;

	if (!pending_is_confirmed(s, info))
		return;
	o = order_add(s->g, LD_ORDER_JOIN, v, gr);
	o->conditional = pending_in_doubt(s, info);
	o->order_count = info->order_count;
	pending_sent(&m->joins, o->token);
	/* From now on the server's entry shows the weights on its host. */
	info->stage_ordered_ms = 0;
	m->ordered_ms = s->now_ms;
	m->tries++;
}

static bool
is_ready(const struct ld_server *v, const struct group *gr)
{
	enum ld_member_state st = v->entry.member.state;

	return names_group(v, gr) &&
	    (st == LD_MEMBER_READY || st == LD_MEMBER_OPEN);
}

/*
 * A previous leader may have ordered the members into later groups, and an order
 * without an answer may be carried out once the head is open. Servers that check
 * fences refuse it after they have answered this leader; the others are ordered
 * into a group of this leader, whose epoch is higher.
 */
static void
step_adopted_ready(const struct tick *s, struct group *gr)
{
	size_t accepted = 0;

	if (pending_inherited(s)) {
		close_group(s, gr, "",
		    "its members may have orders of a previous leader", 0);
		return;
	}
	if (!s->g->fenced) {
		group_set_phase(gr, PHASE_OPENING, s->now_ms);
		return;
	}
	for (size_t i = 0; i < gr->member_count; i++) {
		struct member *m = &gr->members[i];

		accepted += m->accepted;
		if (m->accepted ||
		    (m->tries != 0 &&
			s->now_ms < m->ordered_ms + ORDER_RETRY_MS))
			continue;
		if (m->tries >= JOIN_TRIES_MAX) {
			close_group(s, gr, m->id, "a member did not answer", 0);
			return;
		}
		order_join(s, gr, i, member_server(s, gr, i));
	}
	if (accepted == gr->member_count)
		group_set_phase(gr, PHASE_OPENING, s->now_ms);
}

static void
step_forming(const struct tick *s, struct group *gr)
{
	size_t ready = 0;

	for (size_t i = 0; i < gr->member_count; i++) {
		struct member *m = &gr->members[i];
		struct ld_server *v = member_server(s, gr, i);

		/* After an outage of the store the entry may reappear. */
		if (v != NULL && !v->listed && !s->settled)
			continue;
		if (v == NULL || !v->listed || v->entry.leaving) {
			close_group(s, gr, m->id, "a member left the group", 0);
			return;
		}
		if (is_ready(v, gr)) {
			ready++;
			continue;
		}
		if (names_group(v, gr) &&
		    v->entry.member.state == LD_MEMBER_JOINING)
			continue;
		if (m->accepted && s->now_ms < m->ordered_ms + JOIN_VISIBLE_MS)
			continue;
		if (m->ordered_ms != 0 &&
		    s->now_ms < m->ordered_ms + ORDER_RETRY_MS)
			continue;
		if (m->tries >= JOIN_TRIES_MAX) {
			close_group(s, gr, m->id, "a member did not join", 0);
			return;
		}
		order_join(s, gr, i, v);
	}
	if (ready == gr->member_count && gr->adopted && !head_is_open(s, gr))
		step_adopted_ready(s, gr);
	else if (ready == gr->member_count)
		group_set_phase(gr, PHASE_OPENING, s->now_ms);
	else if (s->now_ms > gr->phase_since_ms + join_limit_ms(s, gr))
		close_group(s, gr, "", "members were not ready in time", 0);
}

/* Checked again before the head opens: a member may have been lost or restarted
 * since all were ready. */
static bool
all_ready(const struct tick *s, const struct group *gr)
{
	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v = member_server(s, gr, i);

		if (v == NULL || !v->listed || v->entry.leaving ||
		    !is_ready(v, gr))
			return false;
	}
	return true;
}

static void
step_opening(const struct tick *s, struct group *gr)
{
	struct ld_server *head = member_server(s, gr, 0);

	if (head != NULL && names_group(head, gr) &&
	    head->entry.member.state == LD_MEMBER_OPEN) {
		group_set_phase(gr, PHASE_SERVING, s->now_ms);
		change_add(s->g, "open", gr, "", "all members are ready");
		return;
	}
	if (!all_ready(s, gr)) {
		if (s->settled)
			close_group(s, gr, "", "a member was lost", 0);
		return;
	}
	if (s->now_ms > gr->phase_since_ms + JOIN_SLACK_MS) {
		close_group(
		    s, gr, gr->members[0].id, "the head did not open", 0);
		return;
	}
	if (gr->ordered_ms != 0 && s->now_ms < gr->ordered_ms + ORDER_RETRY_MS)
		return;
	pending_sent(
	    &gr->opens, order_add(s->g, LD_ORDER_OPEN, head, gr)->token);
	gr->ordered_ms = s->now_ms;
}

/* ---- Serving ---- */

/*
 * Returns why a member counts as lost, or NULL if it doesn't. A member that is
 * only cut off from the store still answers probes, and its group continues.
 */
static const char *
lost_reason(const struct tick *s, struct group *gr, size_t i)
{
	struct ld_server *v = member_server(s, gr, i);
	struct server_info *info;

	if (v == NULL)
		return "no entry of the member was ever read";
	info = server_info_get(s->g, v);
	if (v->listed && !names_group(v, gr))
		return "the member's entry names another group";
	if (v->listed && v->entry.member.state == LD_MEMBER_BROKEN)
		return "the member's entry says that the group is broken";
	if (info->failed_probes >= FAILED_PROBES_MAX)
		return "the member did not answer probes";
	if (info->failed_probes > 0)
		request_probe(s, info, PROBE_INTERVAL_MS);
	else if (info->probe_ms > info->answered_ms)
		request_probe(s, info, PROBE_RETRY_MS);
	if (v->listed || !s->settled)
		return NULL;
	if (i == 0)
		return "the head's entry is gone";
	if (info->answered_ms > v->unlisted_ms &&
	    (info->reported_epoch != gr->epoch ||
		strcmp(info->reported_group, gr->name) != 0))
		return "the member reports another group";
	request_probe(s, info,
	    info->answered_ms > v->unlisted_ms ? PROBE_CUT_OFF_INTERVAL_MS
					       : PROBE_INTERVAL_MS);
	return NULL;
}

/*
 * A leaving member continues while its head has requests. The group keeps it
 * until a spare has the weights, since a load takes longer than the member
 * stays.
 */
static bool
should_replace(const struct tick *s, const struct group *gr, size_t i)
{
	struct ld_server *v = member_server(s, gr, i);
	struct server_info *info = server_info_get(s->g, v);

	if (!v->entry.leaving)
		return false;
	if (info->leaving_since_ms == 0)
		info->leaving_since_ms = s->now_ms;
	return i == 0 ||
	    s->now_ms > info->leaving_since_ms + LEAVING_SERVES_MS ||
	    placing_has_spare(s, gr->domain, gr->model);
}

static void
step_serving(const struct tick *s, struct group *gr)
{
	for (size_t i = 0; i < gr->member_count; i++) {
		const char *why = lost_reason(s, gr, i);

		if (why != NULL) {
			change_add(
			    s->g, "member-lost", gr, gr->members[i].id, why);
			close_group(s, gr, gr->members[i].id, why, 0);
			return;
		}
		if (should_replace(s, gr, i)) {
			close_group(s, gr, gr->members[i].id,
			    "a member leaves as planned", LEAVE_DRAIN_MS);
			return;
		}
	}
}

static void
step_group(const struct tick *s, struct group *gr)
{
	switch (gr->phase) {
	case PHASE_FORMING:
		step_forming(s, gr);
		break;
	case PHASE_OPENING:
		step_opening(s, gr);
		break;
	case PHASE_SERVING:
		step_serving(s, gr);
		break;
	case PHASE_CLOSING:
		closing_step(s, gr);
		break;
	case PHASE_RETIRED:
		if (closing_head_returned(s, gr))
			close_group(s, gr, gr->members[0].id,
			    "its head has opened again", 0);
		break;
	}
}

static void
free_retired(const struct tick *s)
{
	struct group **p = &s->g->groups;

	while (*p != NULL) {
		struct group *gr = *p;

		if (gr->phase != PHASE_RETIRED ||
		    (!gr->forgotten &&
			s->now_ms <
			    gr->phase_since_ms + RETIRED_RETENTION_MS)) {
			p = &gr->next;
			continue;
		}
		*p = gr->next;
		free(gr);
	}
}

/* A group of an evacuated failure domain stays as it is, as its servers get no
 * orders. */
static bool
is_evacuated(const struct tick *s, const struct group *gr)
{
	for (size_t i = 0; i < gr->member_count; i++) {
		const struct ld_server *v = member_server(s, gr, i);

		if (v != NULL && v->evacuated)
			return true;
	}
	return false;
}

void
lifecycle_step(const struct tick *s)
{
	adopt_groups(s);
	placing_mark_grouped(s);
	for (struct group *gr = s->g->groups; gr != NULL; gr = gr->next)
		if (!is_evacuated(s, gr))
			step_group(s, gr);
	free_retired(s);
}
