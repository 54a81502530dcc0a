/*
 * Health and control tasks of two nodes in one process, against the store and
 * engine stand-ins: replicas form, lose a member, and change their controller.
 */
#include <stdio.h>
#include <string.h>

#include "control_task.h"
#include "health_task.h"
#include "ld_session.h"
#include "ld_test.h"

#define ENGINES 6
#define NODES 2
#define STEP_MS 50

struct node {
	char id[32];
	struct ld_health_task *health;
	struct ld_control_task *control;
};

static struct ld_session session;
static struct ld_proc *store_proc;
static struct ld_proc *engines[ENGINES];
static struct ld_loop *loop;
static struct ld_http *http;
static struct ld_store *store;
static struct node nodes[NODES];

/* ---- Running the loop until something holds ---- */

struct watch {
	struct ld_timer timer;
	bool (*holds)(void);
	uint64_t end_ms;
	bool met;
};

static void
on_watch(struct ld_timer *t, uint64_t now_ms)
{
	struct watch *w = (struct watch *)t;

	w->met = w->holds();
	if (w->met || ld_loop_now(loop) >= w->end_ms)
		ld_loop_stop(loop);
	else
		ld_timer_after(ld_loop_timers(loop), t, STEP_MS);
}

static bool
run_until(bool (*holds)(void))
{
	struct watch w = {.timer = {.fn = on_watch}, .holds = holds};

	w.end_ms = ld_loop_now(loop) + LD_WAIT_MS;
	ld_timer_after(ld_loop_timers(loop), &w.timer, 0);
	ld_loop_run(loop);
	return w.met;
}

/* ---- Nodes ---- */

static void
on_view(void *arg, const struct ld_health_view *v)
{
	struct node *n = arg;

	if (n->control != NULL)
		ld_control_task_view(n->control, v);
}

static void
on_publish(void *arg, struct ld_str key, struct ld_str report)
{
	for (int i = 0; i < NODES; i++) {
		if (&nodes[i] != arg && nodes[i].health != NULL)
			ld_health_task_report(nodes[i].health, report);
	}
}

static void
tell_lists(struct node *n)
{
	struct ld_health_server servers[ENGINES];
	struct ld_replica_instance list[ENGINES];
	struct ld_health_node peers[NODES];
	struct ld_str ids[NODES];

	for (int i = 0; i < ENGINES; i++) {
		struct ld_str a = ld_str_c(engines[i]->address);

		servers[i] = (struct ld_health_server){a, LD_STR("z1"), false};
		list[i] = (struct ld_replica_instance){a, false};
	}
	for (int i = 0; i < NODES; i++) {
		ids[i] = ld_str_c(nodes[i].id);
		peers[i] = (struct ld_health_node){ids[i], LD_STR("z1")};
	}
	ld_health_task_nodes(n->health, peers, NODES);
	ld_health_task_servers(n->health, servers, ENGINES);
	ld_control_task_nodes(n->control, ids, NODES);
	ld_control_task_instances(n->control, list, ENGINES);
}

static void
node_start(struct node *n)
{
	static const struct ld_health_task_ops ops = {on_view, on_publish};
	struct ld_health_config h;
	struct ld_replica_config c;

	ld_health_defaults(&h);
	h.self = ld_str_c(n->id);
	h.zone = LD_STR("z1");
	h.run = 1;
	h.interval_ms = 300;
	h.report_ttl_ms = 1500;
	n->health = ld_health_task_new(loop, http, &h, &ops, n);
	ld_replica_defaults(&c);
	c.self = h.self;
	c.fabric = LD_STR("f1");
	c.ttl_ms = 2000;
	c.renew_ms = 500;
	c.margin_ms = 200;
	c.order_life_ms = 500;
	c.order_retry_ms = 1000;
	c.poll_ms = 300;
	c.report_ttl_ms = h.report_ttl_ms;
	c.plan.settle_ms = 500;
	c.plan.fixed_spares = 2;
	c.plan.models[0] = (struct ld_replica_model){LD_STR("m"), 2, 2, false};
	c.plan.model_count = 1;
	n->control = ld_control_task_new(loop, http, store, &c);
	tell_lists(n);
}

static void
node_stop(struct node *n)
{
	ld_control_task_free(n->control);
	ld_health_task_free(n->health);
	n->control = NULL;
	n->health = NULL;
}

/* The node that holds the lease, or NULL. */
static struct node *
holder(void)
{
	for (int i = 0; i < NODES; i++) {
		if (nodes[i].control != NULL &&
		    ld_replica_role(ld_control_task_module(nodes[i].control)) ==
			LD_REPLICA_HOLDER)
			return &nodes[i];
	}
	return NULL;
}

/* ---- Conditions ---- */

static bool
entry_holds(const struct node *n, const struct ld_replica_entry *e)
{
	const struct ld_replica *c = ld_control_task_module(n->control);

	for (uint16_t m = 0; m < e->member_count; m++) {
		if (!ld_health_is_usable(ld_health_task_module(n->health),
			ld_str_c(ld_replica_instance_address(c, e->members[m])),
			ld_str_c(e->id), e->epoch, ld_loop_now(loop)))
			return false;
	}
	return e->state == LD_REPLICA_SERVING;
}

static bool
both_serve(void)
{
	const struct node *n = holder();
	const struct ld_replica_record *r;
	int serving = 0;

	if (n == NULL)
		return false;
	r = ld_replica_record(ld_control_task_module(n->control));
	for (uint16_t i = 0; i < r->count; i++)
		serving += entry_holds(n, &r->replicas[i]);
	return serving == 2;
}

static bool
a_member_is_gone(void)
{
	return !both_serve();
}

static bool
nothing_under_way(void)
{
	for (int i = 0; i < NODES; i++) {
		if (nodes[i].control != NULL &&
		    ld_control_task_busy(nodes[i].control))
			return false;
	}
	return true;
}

/* ---- Session ---- */

static void
start_standins(void)
{
	char address[32], port[16], name[16];
	const char *store_argv[] = {
	    "store", "--address", address, "--port", port, NULL};
	const char *engine_argv[] = {"engine", "--address", address, "--port",
	    port, "--load-ms", "200", NULL, NULL};

	for (int i = -1; i < ENGINES; i++) {
		char *colon;

		ld_address_new(&session, address);
		snprintf(name, sizeof(name), "engine%d", i);
		colon = strchr(address, ':');
		snprintf(port, sizeof(port), "%s", colon + 1);
		*colon = '\0';
		engine_argv[7] = i % 2 == 0 ? "--check-fence" : NULL;
		{
			char whole[64];

			snprintf(whole, sizeof(whole), "%s:%s", address, port);
			if (i < 0)
				store_proc = ld_spawn(&session, "store",
				    "ld_standin", whole, store_argv);
			else
				engines[i] = ld_spawn(&session, name,
				    "ld_standin", whole, engine_argv);
			ld_session_expect(&session,
			    ld_wait_listening(whole, LD_WAIT_MS),
			    "no listener");
		}
	}
}

static void
open_clients(void)
{
	const char *endpoints[1] = {store_proc->address};
	struct ld_store_settings s = ld_store_defaults();

	loop = ld_loop_new();
	http = ld_http_new(loop);
	s.endpoints = endpoints;
	s.n_endpoints = 1;
	s.prefix = "/test/";
	s.seed = 1;
	store = ld_store_new(loop, http, &s, NULL);
	for (int i = 0; i < NODES; i++)
		snprintf(nodes[i].id, sizeof(nodes[i].id), "node%d", i);
	for (int i = 0; i < NODES; i++)
		node_start(&nodes[i]);
}

static void
close_clients(void)
{
	for (int i = 0; i < NODES; i++)
		node_stop(&nodes[i]);
	ld_store_free(store);
	ld_http_free(http);
	ld_loop_free(loop);
}

static struct ld_proc *
member_of_first(void)
{
	const struct ld_replica *c = ld_control_task_module(holder()->control);
	const char *address = ld_replica_instance_address(
	    c, ld_replica_record(c)->replicas[0].members[1]);

	for (int i = 0; i < ENGINES; i++) {
		if (strcmp(engines[i]->address, address) == 0)
			return engines[i];
	}
	return NULL;
}

static void
test_control_of_a_domain(void)
{
	uint64_t fence;
	struct node *n;

	ld_session_begin(&session, "control");
	start_standins();
	open_clients();
	ld_session_expect(&session, run_until(both_serve), "did not form");
	ld_kill(member_of_first());
	ld_session_expect(
	    &session, run_until(a_member_is_gone), "loss not noticed");
	ld_session_expect(&session, run_until(both_serve), "not re-formed");
	ld_freeze(member_of_first());
	ld_session_expect(
	    &session, run_until(a_member_is_gone), "freeze not noticed");
	ld_session_expect(
	    &session, run_until(both_serve), "not re-formed after a freeze");
	n = holder();
	fence = ld_replica_fence(ld_control_task_module(n->control));
	node_stop(n);
	ld_session_expect(&session, run_until(both_serve), "no successor");
	ld_session_expect(&session,
	    ld_replica_fence(ld_control_task_module(holder()->control)) > fence,
	    "fence did not rise");
	ld_control_task_resign(holder()->control);
	ld_session_expect(
	    &session, run_until(nothing_under_way), "resigning hangs");
	ld_session_expect(&session, holder() == NULL, "still holds");
	close_clients();
	ld_session_end(&session);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"control of a fabric domain", test_control_of_a_domain},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("control", cases);
}
