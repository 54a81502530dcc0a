/* Counters of requests by route and client account, and of sends by group. */
#include <stdio.h>
#include <stdlib.h>

#include "request_internal.h"

static const struct ld_tally_spec by_route = {
    .name = "ld_relay_ended_by_route_total",
    .help = "Requests that ended, by route and outcome.",
    .labels = {"route", "service", "outcome"},
    .label_count = 3,
};
static const struct ld_tally_spec by_account = {
    .name = "ld_relay_ended_by_account_total",
    .help = "Requests that ended, by client account and outcome.",
    .labels = {"account", "outcome"},
    .label_count = 2,
};
static const struct ld_tally_spec by_group = {
    .name = "ld_relay_sends_by_group_total",
    .help = "Sends that ended, by the group they went to and the result.",
    .labels = {"group", "result"},
    .label_count = 2,
};

struct counts {
	struct ld_tally *route;
	struct ld_tally *account;
	struct ld_tally *group;
};

void
counts_open(struct relay *r)
{
	r->counts = ld_alloc(sizeof(*r->counts));
	r->counts->route = ld_tally_new(&by_route);
	r->counts->account = ld_tally_new(&by_account);
	r->counts->group = ld_tally_new(&by_group);
}

void
counts_close(struct relay *r)
{
	ld_tally_free(r->counts->route);
	ld_tally_free(r->counts->account);
	ld_tally_free(r->counts->group);
	free(r->counts);
}

void
counts_write(const struct relay *r, struct ld_buf *out)
{
	ld_tally_write(r->counts->route, out);
	ld_tally_write(r->counts->account, out);
	ld_tally_write(r->counts->group, out);
}

void
counts_request_ended(const struct request *q, const char *outcome)
{
	const char *route[] = {q->route, q->service, outcome};
	const char *account[] = {
	    q->account[0] != '\0' ? q->account : "-", outcome};

	ld_tally_add(q->relay->counts->route, route);
	ld_tally_add(q->relay->counts->account, account);
}

void
counts_send_started(struct send *s)
{
	const char *group = s->server->entry.member.group;

	snprintf(s->group, sizeof(s->group), "%s", group != NULL ? group : "-");
}

void
counts_send_ended(const struct send *s, const char *result)
{
	const char *values[] = {s->group, result};

	ld_tally_add(s->request->relay->counts->group, values);
}
