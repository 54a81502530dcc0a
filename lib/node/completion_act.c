/* Applies decisions of admission and routing to completions. */
#include "completion_internal.h"

static struct completion *
find_by_ticket(struct ld_node *n, uint64_t ticket)
{
	for (struct completion *c = n->completions; c != NULL; c = c->next)
		if (c->ticket == ticket)
			return c;
	return NULL;
}

static struct completion *
find_by_route_call(struct ld_node *n, uint64_t call)
{
	for (struct completion *c = n->completions; c != NULL; c = c->next)
		if (c->route_call == call)
			return c;
	return NULL;
}

static void
cancel_completion(struct ld_node *n, const struct ld_admit_decision *d)
{
	struct completion *c = find_by_ticket(n, d->ticket);
	struct ld_problem p;

	if (c == NULL)
		return;
	p = refusal_problem(d->reason, d->retry_after_ms);
	p.ran = c->call != NULL ? LD_RAN_UNKNOWN : LD_RAN_NO;
	node_metric_inc(n, LD_M_CANCELLED_STREAMS);
	completion_fail(c, &p, refusal_cause(d->reason));
}

static void
run_admit_action(struct ld_node *n, const struct ld_admit_action *a)
{
	struct completion *c;

	switch (a->type) {
	case LD_ADMIT_SEND:
		fleet_send_admit(n->fleet, a->node, a->bytes);
		break;
	case LD_ADMIT_DECIDED:
		if (service_admission_decided(n, &a->decision))
			break;
		c = find_by_ticket(n, a->decision.ticket);
		if (c != NULL && c->admission_pending)
			completion_admission_decided(c, &a->decision);
		break;
	case LD_ADMIT_CANCEL:
		cancel_completion(n, &a->decision);
		break;
	}
}

void
completions_act(struct ld_node *n)
{
	struct ld_admit_action a;
	struct ld_route_action r;
	struct completion *c;

	while (ld_admit_next(n->admit, &a))
		run_admit_action(n, &a);
	while (ld_route_next_action(n->route, &r)) {
		c = find_by_route_call(n, r.call);
		if (c != NULL)
			completion_move(
			    c, MOVE_DISPLACED, "its replica lost a member");
	}
}
