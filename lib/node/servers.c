/* Health of the servers for routing, and control of their replicas. */
#include <stdlib.h>

#include "control_task.h"
#include "health_task.h"
#include "node_internal.h"

#define PART "servers"

/** struct servers - health of all servers, control tasks per fabric domain */
struct servers {
	struct ld_node *node;
	struct ld_health_task *health;
	struct ld_control_task **control;
	size_t control_count;
	char *self; /* this node's name with its incarnation */
};

/* ---- Health ---- */

static void
update_route(struct ld_node *n, const struct ld_health_view *v)
{
	uint64_t now = node_now(n);
	struct ld_route_health h = {
	    .address = ld_str_c(v->address),
	    .replica = ld_str_c(v->replica),
	    .epoch = v->epoch,
	    .ready = v->ready,
	    .at_ms = now - v->age_ms,
	};
	struct ld_route_load l = {
	    .replica = h.replica,
	    .running = v->running,
	    .waiting = v->waiting,
	    .slots = v->slots,
	    .at_ms = h.at_ms,
	};

	if (v->state == LD_HEALTH_DEAD)
		ld_route_mark_dead(n->route, now, h.address);
	if (!v->fresh)
		return;
	ld_route_report_health(n->route, now, &h);
	/* Only the head of a replica reports slots. */
	if (v->slots > 0)
		ld_route_report_load(n->route, now, &l);
}

static void
on_view(void *arg, const struct ld_health_view *v)
{
	struct servers *s = arg;

	update_route(s->node, v);
	for (size_t i = 0; i < s->control_count; i++)
		ld_control_task_view(s->control[i], v);
	completions_act(s->node);
}

static void
on_publish(void *arg, struct ld_str key, struct ld_str report)
{
	struct servers *s = arg;

	fleet_publish(s->node->fleet, LD_PEERS_REC_HEALTH, key, report);
}

void
servers_report(struct ld_node *n, struct ld_str report)
{
	ld_health_task_report(n->servers->health, report);
}

void
servers_call_ended(struct ld_node *n, const char *address,
    enum ld_status status, uint32_t token_ms)
{
	enum ld_health_outcome outcome = LD_HEALTH_TIMED_OUT;

	if (status == LD_OK)
		outcome = LD_HEALTH_ANSWERED;
	else if (status == LD_E_UNAVAILABLE)
		outcome = LD_HEALTH_REFUSED;
	ld_health_task_call(
	    n->servers->health, ld_str_c(address), outcome, token_ms);
}

/* ---- Nodes and servers ---- */

void
servers_nodes(struct ld_node *n, const struct servers_node *nodes, size_t count)
{
	struct servers *s = n->servers;
	struct ld_health_node *list = ld_alloc(count * sizeof(*list));
	struct ld_str *ids = ld_alloc(count * sizeof(*ids));

	for (size_t i = 0; i < count; i++) {
		list[i].id = nodes[i].address;
		list[i].zone = nodes[i].domain;
		ids[i] = nodes[i].name;
	}
	ld_health_task_nodes(s->health, list, count);
	for (size_t i = 0; i < s->control_count; i++)
		ld_control_task_nodes(s->control[i], ids, count);
	free(ids);
	free(list);
}

static void
update_health_servers(struct servers *s, const struct ld_live_list *list)
{
	struct ld_health_server *servers = ld_alloc(list->n * sizeof(*servers));
	size_t count = 0;

	for (size_t i = 0; i < list->n; i++) {
		const struct ld_instance *v = &list->v[i];

		if (v->role != LD_ROLE_ENGINE)
			continue;
		servers[count].address = ld_str_c(v->address);
		servers[count].zone = ld_str_c(v->zone);
		servers[count].leaving = v->leaving;
		count++;
	}
	ld_health_task_servers(s->health, servers, count);
	free(servers);
}

static void
update_control_instances(
    struct servers *s, size_t i, const struct ld_live_list *list)
{
	struct ld_str fabric = ld_str_c(s->node->settings->fabrics[i]);
	struct ld_replica_instance *engines;
	size_t count = 0;

	engines = ld_alloc(list->n * sizeof(*engines));
	for (size_t j = 0; j < list->n; j++) {
		const struct ld_instance *v = &list->v[j];

		if (v->role != LD_ROLE_ENGINE ||
		    !ld_str_eq(ld_str_c(v->fabric), fabric))
			continue;
		engines[count].address = ld_str_c(v->address);
		engines[count].leaving = v->leaving;
		count++;
	}
	ld_control_task_instances(s->control[i], engines, count);
	free(engines);
}

void
servers_listed(struct ld_node *n, const struct ld_live_list *list)
{
	struct servers *s = n->servers;

	if (s == NULL)
		return;
	update_health_servers(s, list);
	for (size_t i = 0; i < s->control_count; i++)
		update_control_instances(s, i, list);
}

/* ---- Opening ---- */

static void
open_health(struct servers *s)
{
	static const struct ld_health_task_ops ops = {
	    .view = on_view, .publish = on_publish};
	const struct ld_settings *set = s->node->settings;
	struct ld_health_config c;
	struct ld_rand rand;

	ld_rand_seed_os(&rand);
	ld_health_defaults(&c);
	c.self = ld_str_c(set->peers_listen.text);
	c.zone = ld_str_c(set->failure_domain);
	c.interval_ms = (uint32_t)set->health_interval_ms;
	c.report_ttl_ms = (uint32_t)set->health_stale_ms;
	c.seed = ld_rand_u64(&rand);
	s->health =
	    ld_health_task_new(s->node->loop, s->node->http, &c, &ops, s);
}

static void
fill_plan_config(
    struct ld_replica_plan_config *plan, const struct ld_settings *set)
{
	double share = (double)set->control_downtime_weight_percent / 100.0;

	/* At 50 % the weights stay at the defaults of lib/replica. */
	plan->downtime_weight *= 2.0 * share;
	plan->stranded_weight *= 2.0 * (1.0 - share);
	plan->accelerators = (uint16_t)set->control_accelerators;
	plan->max_loads = (uint16_t)set->control_max_loads;
	plan->fixed_spares = (int)set->control_spares;
	if (set->control_spares == LD_SPARES_AUTO)
		plan->fixed_spares = -1;
	plan->model_count = set->model_count;
	for (size_t i = 0; i < set->model_count; i++) {
		plan->models[i].name = ld_str_c(set->models[i].name);
		plan->models[i].size = (uint16_t)set->models[i].size;
		plan->models[i].wanted = (uint16_t)set->models[i].wanted;
	}
}

static void
open_control(struct servers *s)
{
	const struct ld_settings *set = s->node->settings;
	struct ld_rand rand;

	if (!set->control_enabled)
		return;
	ld_rand_seed_os(&rand);
	s->control =
	    ld_alloc(set->fabric_count * sizeof(struct ld_control_task *));
	for (size_t i = 0; i < set->fabric_count; i++) {
		struct ld_replica_config c;

		ld_replica_defaults(&c);
		c.self = ld_str_c(s->self);
		c.fabric = ld_str_c(set->fabrics[i]);
		c.report_ttl_ms = (uint32_t)set->health_stale_ms;
		c.seed = ld_rand_u64(&rand);
		fill_plan_config(&c.plan, set);
		s->control[i] = ld_control_task_new(
		    s->node->loop, s->node->http, s->node->store, &c);
		s->control_count++;
	}
}

void
servers_open(struct ld_node *n)
{
	struct servers *s = ld_alloc(sizeof(*s));
	struct ld_buf self = {0};

	fleet_self_name(n->fleet, &self);
	s->node = n;
	s->self = ld_str_dup(ld_buf_str(&self));
	ld_buf_free(&self);
	open_health(s);
	open_control(s);
	n->servers = s;
}

void
servers_resign(struct ld_node *n)
{
	for (size_t i = 0; i < n->servers->control_count; i++)
		ld_control_task_resign(n->servers->control[i]);
}

void
servers_close(struct ld_node *n)
{
	struct servers *s = n->servers;

	if (s == NULL)
		return;
	for (size_t i = 0; i < s->control_count; i++)
		ld_control_task_free(s->control[i]);
	ld_health_task_free(s->health);
	free(s->control);
	free(s->self);
	free(s);
	n->servers = NULL;
}
