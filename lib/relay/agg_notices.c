/* Alarms of silent groups and findings about prompts: held and repeated, since
 * datagrams may be lost, and forwarded so that each node receives them. */
#include <stdio.h>
#include <string.h>

#include "load_aggregation.h"

/* Each is repeated for this long, ms. */
#define REPEAT_MS 400

static const size_t max_of_kind[AGG_NOTICE_KIND_COUNT] = {
    [AGG_ALARM] = MESH_ALARMS_MAX, [AGG_FINDING] = AGG_FINDINGS_MAX};

static bool
is_same(const struct agg_notice *x, const struct agg_notice *y)
{
	if (x->kind != y->kind)
		return false;
	if (x->kind == AGG_ALARM)
		return x->alarm.epoch == y->alarm.epoch &&
		    strcmp(x->alarm.group, y->alarm.group) == 0;
	return x->finding.kind == y->finding.kind &&
	    x->finding.part == y->finding.part &&
	    x->finding.server == y->finding.server &&
	    x->finding.request == y->finding.request;
}

/* Returns false if it is held already. */
static bool
add(struct load_aggregation *a, const struct agg_notice *n)
{
	size_t held = 0;

	for (size_t i = 0; i < a->notice_count; i++) {
		if (is_same(&a->notices[i], n))
			return false;
		held += a->notices[i].kind == n->kind;
	}
	/* Above the limit it is sent when it is raised again. */
	if (held < max_of_kind[n->kind])
		a->notices[a->notice_count++] = *n;
	a->next_ms = 0;
	return true;
}

void
agg_alarm(struct load_aggregation *a, const char *group, int64_t epoch,
    uint64_t now_ms)
{
	struct agg_notice n = {.kind = AGG_ALARM,
	    .alarm = {.epoch = epoch},
	    .is_partial = true,
	    .since_ms = now_ms};

	snprintf(n.alarm.group, sizeof(n.alarm.group), "%s", group);
	(void)add(a, &n);
}

void
agg_finding(
    struct load_aggregation *a, const struct ld_finding *f, uint64_t now_ms)
{
	struct agg_notice n = {.kind = AGG_FINDING,
	    .finding = *f,
	    .is_partial = true,
	    .since_ms = now_ms};

	(void)add(a, &n);
}

void
agg_notices_expire(struct load_aggregation *a, uint64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < a->notice_count; i++)
		if (now_ms < a->notices[i].since_ms + REPEAT_MS)
			a->notices[n++] = a->notices[i];
	a->notice_count = n;
}

static bool
is_sent_in(const struct agg_notice *n, const struct mesh_datagram *d)
{
	return n->is_partial || d->kind == MESH_TOTAL;
}

void
agg_notices_fill_alarms(
    const struct load_aggregation *a, struct mesh_datagram *d)
{
	d->alarm_count = 0;
	for (size_t i = 0; i < a->notice_count; i++)
		if (a->notices[i].kind == AGG_ALARM &&
		    is_sent_in(&a->notices[i], d))
			d->alarms[d->alarm_count++] = a->notices[i].alarm;
}

size_t
agg_notices_fill_findings(
    const struct load_aggregation *a, struct mesh_datagram *d, size_t from)
{
	size_t i;

	d->finding_count = 0;
	for (i = from;
	     i < a->notice_count && d->finding_count < MESH_FINDINGS_MAX; i++)
		if (a->notices[i].kind == AGG_FINDING &&
		    is_sent_in(&a->notices[i], d))
			d->findings[d->finding_count++] = a->notices[i].finding;
	return i;
}

void
agg_notices_receive(
    struct load_aggregation *a, const struct mesh_datagram *d, uint64_t now_ms)
{
	struct agg_notice n = {
	    .is_partial = d->kind == MESH_REPORT, .since_ms = now_ms};

	n.kind = AGG_ALARM;
	for (size_t i = 0; i < d->alarm_count; i++) {
		n.alarm = d->alarms[i];
		if (add(a, &n))
			a->ops->alarm(a, &n.alarm);
	}
	n.kind = AGG_FINDING;
	for (size_t i = 0; i < d->finding_count; i++) {
		n.finding = d->findings[i];
		if (add(a, &n))
			a->ops->finding(a, &n.finding);
	}
}
