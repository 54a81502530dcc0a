/* Performs the actions of lib/peers on sockets and the loop's timers. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "peer_task_internal.h"

/* ---- Actions ---- */

static void
notify_owner(struct ld_peer_task *t, const struct ld_peers_action *a)
{
	const struct ld_peer_task_ops *ops = &t->ops;

	switch (a->kind) {
	case LD_PEERS_MEMBER:
		if (ops->member != NULL)
			ops->member(t->arg, &a->member, a->removed);
		break;
	case LD_PEERS_RECORD:
		if (ops->record != NULL)
			ops->record(t->arg, &a->record);
		break;
	case LD_PEERS_CATALOGUE:
		if (ops->catalogue != NULL)
			ops->catalogue(t->arg, a->revision, a->bytes);
		break;
	case LD_PEERS_DIRECT:
		if (ops->direct != NULL)
			ops->direct(t->arg, a->address, a->incarnation,
			    a->direct_kind, a->bytes);
		break;
	default:
		break;
	}
}

static void
perform_action(struct ld_peer_task *t, const struct ld_peers_action *a)
{
	struct peer_conn *c;

	switch (a->kind) {
	case LD_PEERS_DIAL:
		peer_dial(t, a->link, a->address);
		break;
	case LD_PEERS_SEND:
		c = peer_conn_find(t, a->link);
		if (c != NULL && c->state == CONN_OPEN)
			peer_conn_send(c, a->bytes);
		break;
	case LD_PEERS_CLOSE:
		c = peer_conn_find(t, a->link);
		if (c != NULL) {
			peer_conns_flush(t); /* sent before the close */
			peer_conn_close(c);
		}
		break;
	default:
		notify_owner(t, a);
		break;
	}
}

void
peer_task_perform_actions(struct ld_peer_task *t)
{
	struct ld_peers_action a;
	uint64_t due, now;

	do {
		while (ld_peers_next_action(t->peers, &a))
			perform_action(t, &a);
		/* A write error closes the link, which may add actions. */
		peer_conns_flush(t);
	} while (ld_peers_has_action(t->peers));
	peer_conns_reap(t);
	/* At least 1 ms from now, so that socket events are handled too. */
	now = ld_loop_now(t->loop);
	due = ld_peers_next_due(t->peers);
	ld_timer_start(
	    ld_loop_timers(t->loop), &t->tick, due > now ? due : now + 1);
}

static void
on_tick(struct ld_timer *timer, uint64_t now_ms)
{
	struct ld_peer_task *t = (struct ld_peer_task *)((char *)timer -
	    offsetof(struct ld_peer_task, tick));

	/* Not now_ms, which lags behind if the process was stopped. */
	ld_peers_tick(t->peers, ld_loop_now(t->loop));
	peer_accept_resume(t);
	peer_task_perform_actions(t);
}

/* Performs the actions that calls of the owner caused. */
static void
receive(struct ld_task *task, struct ld_msg *m)
{
	struct ld_peer_task *t = (struct ld_peer_task *)task;

	t->actions_posted = false;
	peer_task_perform_actions(t);
}

static void
post_perform_actions(struct ld_peer_task *t)
{
	if (t->actions_posted)
		return;
	t->actions_posted = true;
	ld_task_post(&t->task, ld_alloc(sizeof(struct ld_msg)));
}

/* ---- Set-up ---- */

static uint64_t
random_incarnation(struct ld_rand *r)
{
	uint64_t v;

	do {
		v = ld_rand_u64(r);
	} while (v == 0);
	return v;
}

static enum ld_status
check_config(const struct ld_peer_task_config *config)
{
	struct peer_addr addr;

	if (config->key.len < LD_WIRE_KEY_MIN_BYTES ||
	    config->key.len > LD_WIRE_KEY_MAX_BYTES)
		return ld_fail(LD_E_INVALID,
		    "peer key of %zu bytes, allowed are %d to %d",
		    config->key.len, LD_WIRE_KEY_MIN_BYTES,
		    LD_WIRE_KEY_MAX_BYTES);
	if (config->advertise.len > LD_PEERS_ADDRESS_MAX_BYTES)
		return ld_fail(LD_E_INVALID, "advertised address too long");
	return peer_addr_parse(config->advertise, &addr);
}

static void
new_peers(struct ld_peer_task *t, const struct ld_peer_task_config *config)
{
	struct ld_peers_config pc = {
	    .address = config->advertise,
	    .domain = config->domain,
	    .region = config->region,
	    .seeds = config->seeds,
	    .seed_count = config->seed_count,
	};

	t->incarnation = random_incarnation(&t->rand);
	pc.incarnation = t->incarnation;
	pc.seed = ld_rand_u64(&t->rand);
	t->peers = ld_peers_new(&pc, ld_loop_now(t->loop));
}

enum ld_status
ld_peer_task_new(struct ld_loop *loop, const struct ld_peer_task_config *config,
    const struct ld_peer_task_ops *ops, void *arg, struct ld_peer_task **out)
{
	static const struct ld_task_ops task_ops = {"peers", receive};
	struct ld_peer_task *t = ld_alloc(sizeof(*t));
	enum ld_status st;

	ld_task_init(&t->task, loop, &task_ops);
	t->loop = loop;
	t->listener = -1;
	t->tick.fn = on_tick;
	t->arg = arg;
	if (ops != NULL)
		t->ops = *ops;
	ld_rand_seed_os(&t->rand);
	ld_buf_adds(&t->key, config->key);
	st = check_config(config);
	if (st == LD_OK)
		st = peer_listen(t, config->listen);
	if (st != LD_OK)
		goto fail;
	new_peers(t, config);
	post_perform_actions(t);
	*out = t;
	return LD_OK;
fail:
	ld_peer_task_free(t);
	return st;
}

void
ld_peer_task_free(struct ld_peer_task *t)
{
	if (t == NULL)
		return;
	for (struct peer_conn *c = t->conns; c != NULL; c = c->next)
		peer_conn_close(c);
	peer_conns_reap(t);
	if (t->listener >= 0) {
		ev_io_stop(ld_loop_ev(t->loop), &t->acceptor);
		close(t->listener);
	}
	ld_timer_stop(ld_loop_timers(t->loop), &t->tick);
	ld_task_fini(&t->task);
	ld_peers_free(t->peers);
	ld_buf_free(&t->key);
	ld_buf_free(&t->payload);
	free(t);
}

/* ---- Calls of the owner ---- */

const struct ld_peers *
ld_peer_task_peers(const struct ld_peer_task *t)
{
	return t->peers;
}

uint64_t
ld_peer_task_incarnation(const struct ld_peer_task *t)
{
	return t->incarnation;
}

enum ld_status
ld_peer_task_publish(struct ld_peer_task *t, enum ld_peers_kind kind,
    struct ld_str key, struct ld_str value)
{
	enum ld_status st =
	    ld_peers_publish(t->peers, ld_loop_now(t->loop), kind, key, value);

	post_perform_actions(t);
	return st;
}

enum ld_status
ld_peer_task_send(struct ld_peer_task *t, struct ld_str to,
    uint64_t to_incarnation, uint32_t kind, struct ld_str bytes)
{
	enum ld_status st = ld_peers_send(
	    t->peers, ld_loop_now(t->loop), to, to_incarnation, kind, bytes);

	post_perform_actions(t);
	return st;
}

enum ld_status
ld_peer_task_offer_catalogue(
    struct ld_peer_task *t, uint64_t revision, struct ld_str bytes)
{
	enum ld_status st = ld_peers_offer_catalogue(
	    t->peers, ld_loop_now(t->loop), revision, bytes);

	post_perform_actions(t);
	return st;
}

void
ld_peer_task_confirm_catalogue(struct ld_peer_task *t, uint64_t revision)
{
	ld_peers_confirm_catalogue(t->peers, ld_loop_now(t->loop), revision);
	post_perform_actions(t);
}

void
ld_peer_task_confirm_gone(struct ld_peer_task *t, struct ld_str address)
{
	ld_peers_confirm_removed(t->peers, ld_loop_now(t->loop), address);
	post_perform_actions(t);
}

void
ld_peer_task_leave(struct ld_peer_task *t)
{
	ld_peers_leave(t->peers, ld_loop_now(t->loop));
	post_perform_actions(t);
}

void
ld_peer_task_counters(
    const struct ld_peer_task *t, struct ld_peer_task_counters *out)
{
	*out = t->counters;
	out->connections = t->conn_count;
	ld_peers_counters(t->peers, &out->peers);
}
