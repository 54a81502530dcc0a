/* The serving process: opens its tasks, runs the loop, drains on a signal. */
#include <ev.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "node_internal.h"

#define PART "node"
#define DRAIN_POLL_MS 50
#define COLLECT_MIN_STREAMS 200
#define COLLECT_INTERVAL_S 0.002
/*
 * Time for all nodes to learn of a new node. Until then its share of the limits
 * is unused: the others may still count that share as theirs.
 */
#define SETTLE_MS 2000
/* Consecutive polls without an open request that end a drain. */
#define DRAIN_IDLE_POLLS 3

/** struct serve_task - the node with its signal watchers and timers */
struct serve_task {
	struct ld_node node;
	ev_signal term;
	ev_signal interrupt;
	struct ld_timer tick;
	struct ld_timer drain;
	uint64_t listen_until_ms;
	unsigned int idle_polls;
};

static struct serve_task *
task_of(struct ld_node *n)
{
	return (struct serve_task *)n;
}

/* ---- Drain ---- */

static void
on_drain(struct ld_timer *t, uint64_t now_ms)
{
	struct serve_task *s = (struct serve_task *)((char *)t -
	    offsetof(struct serve_task, drain));
	struct ld_node *n = &s->node;
	size_t open =
	    ld_listener_open_exchanges(n->entry) + booking_pending_count(n);

	if (now_ms >= s->listen_until_ms)
		ld_listener_stop_listening(n->entry);
	s->idle_polls = open == 0 ? s->idle_polls + 1 : 0;
	if (now_ms >= s->listen_until_ms && s->idle_polls >= DRAIN_IDLE_POLLS) {
		ld_log(LD_LOG_NOTICE, PART, "drained");
		fleet_leave(n->fleet);
		ld_loop_stop(n->loop);
		return;
	}
	ld_timer_after(ld_loop_timers(n->loop), t, DRAIN_POLL_MS);
}

void
node_drain(struct ld_node *n)
{
	struct serve_task *s = task_of(n);

	if (n->phase == NODE_DRAINING)
		return;
	n->phase = NODE_DRAINING;
	servers_resign(n);
	s->listen_until_ms = node_now(n) + n->settings->entry_drain_notice_ms;
	ld_log(LD_LOG_NOTICE, PART, "draining, %zu open requests",
	    ld_listener_open_exchanges(n->entry));
	ld_timer_after(ld_loop_timers(n->loop), &s->drain, DRAIN_POLL_MS);
}

static void
on_signal(struct ev_loop *ev, ev_signal *w, int revents)
{
	struct ld_node *n = w->data;

	if (n->phase == NODE_DRAINING)
		ld_log(LD_LOG_NOTICE, PART,
		    "signal %d ignored: already draining", w->signum);
	node_drain(n);
}

static void
watch_signal(struct serve_task *s, ev_signal *w, int signum)
{
	ev_signal_init(w, on_signal, signum);
	w->data = &s->node;
	ev_signal_start(ld_loop_ev(s->node.loop), w);
}

/* ---- Periodic tick ---- */

/*
 * With many streams, a short delay before each loop iteration lets one run of
 * libmicrohttpd send many tokens; with few streams it would only add latency.
 */
static void
set_collect_interval(struct ld_node *n)
{
	bool many = ld_listener_open_exchanges(n->entry) > COLLECT_MIN_STREAMS;

	ev_set_io_collect_interval(
	    ld_loop_ev(n->loop), many ? COLLECT_INTERVAL_S : 0.0);
}

static void
on_tick(struct ld_timer *t, uint64_t now_ms)
{
	struct serve_task *s = (struct serve_task *)((char *)t -
	    offsetof(struct serve_task, tick));
	struct ld_node *n = &s->node;

	ld_admit_capacity(
	    n->admit, now_ms, ld_route_capacity(n->route, now_ms));
	ld_admit_tick(n->admit, now_ms);
	ld_route_tick(n->route, now_ms);
	completions_act(n);
	set_collect_interval(n);
	ld_timer_after(ld_loop_timers(n->loop), t, LD_ADMIT_TICK_MS);
}

/* ---- Start and stop ---- */

static void
open_burn(struct ld_node *n)
{
	const struct ld_settings *s = n->settings;
	struct ld_goal goals[LD_O_COUNT] = {
	    [LD_O_FIRST_TOKEN] = {s->objective_first_token_ms,
		s->objective_first_token_permille},
	    [LD_O_TOKEN_GAP] = {s->objective_token_gap_ms,
		s->objective_token_gap_permille},
	    [LD_O_ANSWERED] = {0, s->objective_answered_permille},
	};

	n->burn = ld_burn_new(goals);
	for (size_t i = 0; i < s->override_count; i++) {
		const struct ld_objective_settings *v = &s->overrides[i];
		struct ld_goal goal = {v->threshold_ms, v->target_permille};

		for (int o = 0; o < LD_O_COUNT; o++)
			if (strcmp(v->objective,
				ld_objective_name((enum ld_objective)o)) == 0)
				ld_burn_override(n->burn, ld_str_c(v->owner),
				    ld_str_c(v->class), (enum ld_objective)o,
				    goal);
	}
}

static void
open_decision_modules(struct ld_node *n)
{
	struct ld_route_config route = {
	    .domain = ld_str_c(n->settings->failure_domain),
	    .policy = LD_ROUTE_TWO_CHOICES,
	};
	struct ld_admit_config admit = {0};
	struct ld_rand rand;

	ld_rand_seed_os(&rand);
	route.seed = ld_rand_u64(&rand);
	admit.seed = ld_rand_u64(&rand);
	admit.node = fleet_self(n->fleet);
	admit.settle_ms = SETTLE_MS;
	admit.max_requests = (uint32_t)n->settings->entry_max_connections;
	n->metrics = ld_metrics_new();
	n->history = history_new();
	n->route = ld_route_new(&route);
	n->admit = ld_admit_new(&admit, node_now(n));
	n->settled_ms = node_now(n) + SETTLE_MS;
}

static void
close_all(struct serve_task *s)
{
	struct ld_node *n = &s->node;

	ld_listener_free(n->entry);
	ld_listener_free(n->operators);
	services_close(n);
	edits_close(n);
	booking_close(n);
	placement_close(n);
	catalogue_close(n);
	servers_close(n);
	follow_close(n);
	fleet_close(n->fleet);
	ld_http_free(n->http);
	ld_timer_stop(ld_loop_timers(n->loop), &s->tick);
	ld_timer_stop(ld_loop_timers(n->loop), &s->drain);
	ev_signal_stop(ld_loop_ev(n->loop), &s->term);
	ev_signal_stop(ld_loop_ev(n->loop), &s->interrupt);
	ld_admit_free(n->admit);
	ld_route_free(n->route);
	ld_burn_free(n->burn);
	ld_metrics_free(n->metrics);
	history_free(n->history);
	ld_loop_free(n->loop);
}

enum ld_status
ld_node_serve(const struct ld_settings *settings)
{
	struct serve_task *s = ld_alloc(sizeof(*s));
	struct ld_node *n = &s->node;
	enum ld_status st;

	signal(SIGPIPE, SIG_IGN);
	n->settings = settings;
	n->loop = ld_loop_new();
	n->http = ld_http_new(n->loop);
	open_burn(n);
	follow_open(n);
	st = fleet_open(n);
	if (st != LD_OK)
		goto out;
	open_decision_modules(n);
	catalogue_open(n);
	servers_open(n);
	booking_open(n);
	placement_open(n);
	follow_start(n);
	fleet_start(n->fleet);
	s->tick.fn = on_tick;
	s->drain.fn = on_drain;
	watch_signal(s, &s->term, SIGTERM);
	watch_signal(s, &s->interrupt, SIGINT);
	st = caller_open(n);
	if (st == LD_OK)
		st = operator_open(n);
	if (st != LD_OK)
		goto out;
	n->phase = NODE_SERVING;
	ld_timer_after(ld_loop_timers(n->loop), &s->tick, LD_ADMIT_TICK_MS);
	ld_log(LD_LOG_NOTICE, PART, "serving callers on %s, operators on %s",
	    settings->entry_listen.text, settings->operator_listen.text);
	ld_loop_run(n->loop);
out:
	close_all(s);
	free(s);
	return st;
}
