/*
 * The life of each group: taken up from a predecessor, opened once every
 * member is ready, watched while it serves, closed after a loss.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "groups_internal.h"

/* An order without effect is sent again after so long, ms: some round trips
 * and the lag of the store's watch. */
#define ORDER_RETRY_MS 700
/* Orders to join that a server may leave without effect. */
#define JOIN_TRIES_MAX 3
/* A server that accepted an order to join says so in its entry within this, ms: the
 * lag of the store's watch, also through a second without news. Otherwise it has
 * started anew since. */
#define JOIN_SHOWS_MS 2500
/* Beyond the time of a load: the lag of reports and of the watch, ms. */
#define JOIN_SLACK_MS 5000
/* Time for what runs to end when a member leaves as planned, ms: within the
 * time for which a leaving server goes on. */
#define LEAVE_DRAIN_MS 1500
/* The same when a group of another model waits for the servers, ms: most of a small
 * model's answers have ended, the others go on elsewhere, and the callers of the
 * other model wait no longer. */
#define GIVE_UP_DRAIN_MS 800
/* A leaving member is relied on for so long, ms: below the ten seconds for
 * which it stays while its head has work. */
#define LEAVING_SERVES_MS 8000
/* A head that leaves goes on with its requests for so long at most, ms. */
#define HEAD_GOES_ON_MS 10000
/* Questions in a row without an answer that make a server lost. */
#define MISSES_MAX 2
/* A question without an answer for so long is followed by another on a new
 * connection, ms: several round trips. Losses cost a group as long as it takes to
 * be sure of them. */
#define PROBE_SECOND_MS 70
/* Between two questions to a server in doubt, ms. */
#define PROBE_AGAIN_MS 210
/* A cut-off member that answers is asked again after so long, ms. */
#define PROBE_CUT_OFF_MS 1500
#define RETIRED_KEPT_MS 120000

static bool
names_group(const struct ld_server *s, const struct group *gr)
{
	const struct ld_membership *m = &s->entry.member;

	return m->group != NULL && m->epoch == gr->epoch &&
	    strcmp(m->group, gr->name) == 0;
}

static struct ld_server *
member_server(const struct step *s, const struct group *gr, size_t i)
{
	return ld_servers_find(s->servers, ld_str_c(gr->members[i].id));
}

/* ---- Taking groups up ---- */

static bool
known(const struct ld_groups *g, const struct ld_membership *m)
{
	for (const struct group *gr = g->groups; gr != NULL; gr = gr->next)
		if (gr->epoch == m->epoch && strcmp(gr->name, m->group) == 0)
			return true;
	return false;
}

static void
take_members(const struct step *s, struct group *gr)
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
all_named(const struct group *gr, size_t size)
{
	if (gr->member_count != size)
		return false;
	for (size_t i = 0; i < size; i++)
		if (gr->members[i].id[0] == '\0')
			return false;
	return true;
}

static bool
head_is_open(const struct step *s, const struct group *gr)
{
	const struct ld_server *head = member_server(s, gr, 0);

	return head->listed && head->entry.member.state == LD_MEMBER_OPEN;
}

static void
adopt(const struct step *s, const struct ld_server *v)
{
	const struct ld_membership *m = &v->entry.member;
	struct ld_str named =
	    m->model != NULL ? ld_str_c(m->model) : group_model(m->group);
	const struct ld_model_spec *model = ld_engine_model(s->spec, named);
	struct group *gr = ld_alloc(sizeof(*gr));
	bool whole;

	snprintf(gr->name, sizeof(gr->name), "%s", m->group);
	snprintf(gr->model, sizeof(gr->model), "%.*s", LD_FMT(named));
	snprintf(gr->domain, sizeof(gr->domain), "%s",
	    v->entry.domain != NULL ? v->entry.domain : "");
	gr->epoch = m->epoch;
	gr->adopted = true;
	take_members(s, gr);
	whole = model != NULL && all_named(gr, model->size);
	/* Its other members may not have shown yet. */
	if (!whole && !s->settled) {
		free(gr);
		return;
	}
	gr->next = s->g->groups;
	s->g->groups = gr;
	for (size_t i = 0; i < gr->member_count; i++) {
		gr->members[i].accepted = true;
		gr->members[i].ordered_ms = s->now_ms;
	}
	if (!whole)
		group_set_phase(gr, PHASE_CLOSING, s->now_ms);
	else if (head_is_open(s, gr))
		group_set_phase(gr, PHASE_SERVING, s->now_ms);
	else
		group_set_phase(gr, PHASE_FORMING, s->now_ms);
	change_add(s->g, whole ? "adopted" : "closing", gr, "",
	    whole ? "all its members are there"
		  : "found without all its members");
}

static void
adopt_all(const struct step *s)
{
	for (struct ld_server *v = ld_servers_first(s->servers); v != NULL;
	     v = v->next) {
		if (!v->listed || v->entry.member.group == NULL ||
		    !ld_str_eq(ld_str_c(v->entry.service), s->service))
			continue;
		if (!known(s->g, &v->entry.member))
			adopt(s, v);
	}
}

/* ---- Forming and opening ---- */

static void
close_group(const struct step *s, struct group *gr, const char *server,
    const char *why, uint64_t drain_ms)
{
	gr->drain_ms = drain_ms;
	gr->head_left = false;
	gr->head_silent = false;
	gr->head_refuses = false;
	group_set_phase(gr, PHASE_CLOSING, s->now_ms);
	change_add(s->g, "closing", gr, server, why);
}

void
lifecycle_close(const struct step *s, struct group *gr, const char *why)
{
	close_group(s, gr, "", why, GIVE_UP_DRAIN_MS);
}

static uint64_t
join_limit_ms(const struct step *s, const struct group *gr)
{
	const struct ld_model_spec *m =
	    ld_engine_model(s->spec, ld_str_c(gr->model));
	uint64_t load_ms = m != NULL ? m->load_ms : 0;

	return 2 * load_ms + JOIN_SLACK_MS;
}

static void
order_join(
    const struct step *s, struct group *gr, size_t i, const struct ld_server *v)
{
	struct member *m = &gr->members[i];

	order_add(s->g, LD_ORDER_JOIN, v, gr);
	/* From here on its entry says what the host holds. */
	note_of(s->g, v)->staged_ms = 0;
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

static void
step_forming(const struct step *s, struct group *gr)
{
	size_t ready = 0;

	for (size_t i = 0; i < gr->member_count; i++) {
		struct member *m = &gr->members[i];
		struct ld_server *v = member_server(s, gr, i);

		/* Around an outage its entry may be on its way back. */
		if (v != NULL && !v->listed && !s->settled)
			continue;
		if (v == NULL || !v->listed || v->entry.leaving) {
			close_group(s, gr, m->id, "a member left it", 0);
			return;
		}
		if (is_ready(v, gr)) {
			ready++;
			continue;
		}
		if (names_group(v, gr) &&
		    v->entry.member.state == LD_MEMBER_JOINING)
			continue;
		if (m->accepted && s->now_ms < m->ordered_ms + JOIN_SHOWS_MS)
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
	if (ready == gr->member_count)
		group_set_phase(gr, PHASE_OPENING, s->now_ms);
	else if (s->now_ms > gr->since_ms + join_limit_ms(s, gr))
		close_group(s, gr, "", "members were not ready in time", 0);
}

/* A member may be lost, or start anew, after all were ready. */
static bool
still_ready(const struct step *s, const struct group *gr)
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
step_opening(const struct step *s, struct group *gr)
{
	struct ld_server *head = member_server(s, gr, 0);

	if (head != NULL && names_group(head, gr) &&
	    head->entry.member.state == LD_MEMBER_OPEN) {
		group_set_phase(gr, PHASE_SERVING, s->now_ms);
		change_add(s->g, "open", gr, "", "all members are ready");
		return;
	}
	if (!still_ready(s, gr)) {
		if (s->settled)
			close_group(s, gr, "", "a member was lost", 0);
		return;
	}
	if (s->now_ms > gr->since_ms + JOIN_SLACK_MS) {
		close_group(
		    s, gr, gr->members[0].id, "the head did not open", 0);
		return;
	}
	if (gr->ordered_ms != 0 && s->now_ms < gr->ordered_ms + ORDER_RETRY_MS)
		return;
	order_add(s->g, LD_ORDER_OPEN, head, gr);
	gr->ordered_ms = s->now_ms;
}

/* ---- Serving ---- */

/*
 * Why a member can't be relied on any more, or NULL. A member that only lost
 * its way to the store answers questions itself, and its group goes on.
 */
static const char *
lost_reason(const struct step *s, struct group *gr, size_t i)
{
	struct ld_server *v = member_server(s, gr, i);
	struct note *n;

	if (v == NULL)
		return "its entry was never seen";
	n = note_of(s->g, v);
	if (v->listed && !names_group(v, gr))
		return "it says that it is in another group";
	if (v->listed && v->entry.member.state == LD_MEMBER_BROKEN)
		return "it says that the group is broken";
	if (n->misses >= MISSES_MAX)
		return "it gave no answer";
	if (n->misses > 0)
		note_ask(s, n, PROBE_AGAIN_MS);
	else if (n->probe_ms > n->heard_ms)
		note_ask(s, n, PROBE_SECOND_MS);
	if (v->listed || !s->settled)
		return NULL;
	if (i == 0)
		return "the head's entry is gone";
	if (n->heard_ms > v->unlisted_ms &&
	    (n->reported_epoch != gr->epoch ||
		strcmp(n->reported_group, gr->name) != 0))
		return "it reports another group";
	note_ask(s, n,
	    n->heard_ms > v->unlisted_ms ? PROBE_CUT_OFF_MS : PROBE_AGAIN_MS);
	return NULL;
}

/*
 * A leaving member goes on while its head has work. Its group goes on with it
 * until a spare holds the weights, since a load takes longer than the leave.
 */
static bool
should_replace(const struct step *s, const struct group *gr, size_t i)
{
	struct ld_server *v = member_server(s, gr, i);
	struct note *n = note_of(s->g, v);

	if (!v->entry.leaving)
		return false;
	if (n->leaving_ms == 0)
		n->leaving_ms = s->now_ms;
	return i == 0 || s->now_ms > n->leaving_ms + LEAVING_SERVES_MS ||
	    placing_has_spare(s, gr->domain, gr->model);
}

static void
step_serving(const struct step *s, struct group *gr)
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

/* ---- Closing ---- */

static void
retire(const struct step *s, struct group *gr, const char *why)
{
	group_set_phase(gr, PHASE_RETIRED, s->now_ms);
	change_add(s->g, "retired", gr, "", why);
}

/*
 * Whether the head says, itself, that it is in the group no more. That it is
 * only ready tells nothing: an order to open may still be carried out.
 */
static bool
head_stopped(const struct ld_server *head, const struct group *gr)
{
	return head->listed && !names_group(head, gr);
}

/* An order without an answer proves nothing: one that is carried out late has none
 * either, while questions are answered. */
static bool
gives_no_answer(const struct step *s, const struct ld_server *v)
{
	struct note *n = note_of(s->g, v);

	if (n->misses >= MISSES_MAX)
		return true;
	note_ask(s, n, n->misses > 0 ? PROBE_SECOND_MS : PROBE_AGAIN_MS);
	return false;
}

/*
 * Whether a head without an entry is gone. One that leaves without a word has
 * no entry either, listens no more, and goes on until its requests have ended.
 */
static bool
head_gone(
    const struct step *s, const struct group *gr, const struct ld_server *head)
{
	if (head->listed || !s->settled)
		return false;
	if (gr->head_silent)
		return gives_no_answer(s, head);
	return gr->head_refuses &&
	    (head->active + head->peer_active == 0 ||
		s->now_ms > head->unlisted_ms + HEAD_GOES_ON_MS);
}

static void
order_head(const struct step *s, struct group *gr, struct ld_server *head)
{
	bool drain = head->listed && s->now_ms < gr->since_ms + gr->drain_ms &&
	    head->entry.member.state != LD_MEMBER_READY;

	if (drain == gr->drain_ordered && gr->ordered_ms != 0 &&
	    s->now_ms <
		gr->ordered_ms + (drain ? gr->drain_ms : ORDER_RETRY_MS))
		return;
	gr->drain_ordered = drain;
	order_add(s->g, drain ? LD_ORDER_CLOSE : LD_ORDER_LEAVE, head, gr);
	gr->ordered_ms = s->now_ms;
}

static void
step_closing(const struct step *s, struct group *gr)
{
	struct ld_server *head =
	    gr->members[0].id[0] != '\0' ? member_server(s, gr, 0) : NULL;

	if (head == NULL) {
		retire(s, gr, "the head is unknown");
		return;
	}
	if (gr->head_left) {
		retire(s, gr, "the head left");
		return;
	}
	if (head_stopped(head, gr)) {
		retire(s, gr, "the head has stopped");
		return;
	}
	if (head_gone(s, gr, head)) {
		retire(s, gr, "the head is gone");
		return;
	}
	order_head(s, gr, head);
}

static void
step_group(const struct step *s, struct group *gr)
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
		step_closing(s, gr);
		break;
	case PHASE_RETIRED:
		break;
	}
}

static void
forget_retired(const struct step *s)
{
	struct group **p = &s->g->groups;

	while (*p != NULL) {
		struct group *gr = *p;

		if (gr->phase != PHASE_RETIRED ||
		    s->now_ms < gr->since_ms + RETIRED_KEPT_MS) {
			p = &gr->next;
			continue;
		}
		*p = gr->next;
		free(gr);
	}
}

void
lifecycle_step(const struct step *s)
{
	adopt_all(s);
	placing_mark_taken(s);
	for (struct group *gr = s->g->groups; gr != NULL; gr = gr->next)
		step_group(s, gr);
	forget_retired(s);
}
