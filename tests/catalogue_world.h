/* Simulation of catalogue refresh in a fleet on virtual time: messages in
 * transit, a store, and faults. */
#ifndef CATALOGUE_WORLD_H
#define CATALOGUE_WORLD_H

#include "catalogue_nodes.h"

/* ---- Messages ---- */

static void
at_store(struct letter *l)
{
	struct node *n = &w.nodes[l->from];
	struct letter r = {.from = -1, .to = l->from, .sent_ms = l->sent_ms};
	bool out = w.now < w.down_until || n->group != 0;

	r.revision = out ? -1 : store_key();
	r.kind = l->kind == L_EDIT_WRITE ? L_EDIT_WRITTEN : L_READ_DONE;
	if (l->kind == L_EDIT_READ) {
		r.kind = L_EDIT_SETTLED;
		r.revision =
		    out || w.n_history == 0 ? -1 : w.history[w.n_history - 1];
	}
	if (l->kind == L_EDIT_WRITE) {
		r.outcome = LD_EDIT_WRITE_UNKNOWN;
		if (!out && w.history[w.n_history - 1] != l->expect) {
			r.outcome = LD_EDIT_WRITE_CONFLICT;
			r.revision = w.history[w.n_history - 1];
		} else if (!out) {
			r.outcome = LD_EDIT_WRITE_APPLIED;
			w.revision += (int64_t)draw(1, 3);
			r.revision = w.revision;
			w.history[w.n_history] = w.revision;
			w.written_by[w.n_history] = l->from;
			w.n_history++;
		}
		/* The client timed out on a late write, or lost its response. */
		if (w.now > l->sent_ms + 200 || chance(20))
			r.outcome = LD_EDIT_WRITE_UNKNOWN;
	}
	mail(r, out ? 200 : draw(1, 10));
}

static void
at_node(struct letter *l)
{
	struct node *n = &w.nodes[l->to];
	struct ld_fresh_value v = {
	    .read_sent_ms = l->sent_ms, .revision = l->revision};
	struct letter back = {.kind = L_PROBE_DONE};

	switch (l->kind) {
	case L_READ_DONE:
		if (l->revision < 0) {
			ld_fresh_store_failed(n->f, w.now, LD_E_UNAVAILABLE);
			break;
		}
		n->contact_ms = w.now;
		v.bytes = document(l->revision);
		ld_fresh_store_value(n->f, w.now, &v);
		break;
	case L_GIVE:
		if (l->revision > 0)
			ld_fresh_peer_value(
			    n->f, w.now, l->revision, document(l->revision));
		break;
	case L_PROBE:
		back.from = l->to;
		back.to = l->from;
		back.sent_ms = l->sent_ms;
		if (linked(l->from, l->to))
			mail(back, draw(1, 10));
		break;
	case L_PROBE_DONE:
		n->contact_ms = w.now;
		ld_fresh_peer_contact(n->f, w.now, l->sent_ms);
		break;
	case L_EDIT_SETTLED:
		if (n->edit != NULL)
			ld_edit_read_done(n->edit, w.now,
			    l->revision < 0 ? LD_E_UNAVAILABLE : LD_OK,
			    l->revision);
		break;
	default:
		if (n->edit != NULL)
			ld_edit_write_done(
			    n->edit, w.now, l->outcome, l->revision);
		break;
	}
	act(l->to);
	edit_act(l->to);
}

static void
deliver(struct letter *slot)
{
	struct letter l = *slot;

	if (l.to >= 0 && w.now < w.nodes[l.to].frozen_until) {
		slot->at_ms = w.nodes[l.to].frozen_until;
		return;
	}
	slot->used = false;
	if (l.to < 0)
		at_store(&l);
	else if (l.incarnation == w.nodes[l.to].incarnation)
		at_node(&l);
}

/* ---- Faults and time ---- */

static void
fault(void)
{
	int i = (int)draw(0, NODES - 1);

	switch (draw(0, 5)) {
	case 0:
		start_node(i);
		break;
	case 1:
		w.nodes[i].frozen_until = w.now + draw(100, 15000);
		break;
	case 2:
		for (int k = 0; k < NODES; k++)
			w.nodes[k].group = (int)(draw(0, 9) / 7);
		break;
	case 3:
		for (int k = 0; k < NODES; k++)
			w.nodes[k].group = 0;
		break;
	case 4:
		w.down_until = w.now + draw(500, 20000);
		break;
	default:
		w.stale_until = w.now + draw(500, 8000);
		break;
	}
}

static void
step_node(int i)
{
	struct node *n = &w.nodes[i];

	if (w.now < n->frozen_until)
		return;
	if (w.now % 500 == 0)
		tell_members(i);
	if (w.now % 200 == 0)
		gossip(i);
	if (ld_fresh_next_due(n->f) <= w.now) {
		ld_fresh_tick(n->f, w.now);
		act(i);
	}
	settle(i);
	if (n->edit != NULL && w.now % 50 == 0)
		tell_unconfirmed(i);
	if (n->edit != NULL)
		ld_edit_tick(n->edit, w.now);
	edit_act(i);
	check_node(i);
}

/* Delivers due messages, then runs each node. */
static void
step_all(void)
{
	for (size_t i = 0; i < IN_FLIGHT_MAX; i++)
		if (w.letters[i].used && w.letters[i].at_ms <= w.now)
			deliver(&w.letters[i]);
	for (int i = 0; i < NODES; i++)
		step_node(i);
}

static void
step(void)
{
	w.now += STEP_MS;
	if (w.now == FAULTS_UNTIL_MS) {
		for (int i = 0; i < NODES; i++)
			w.nodes[i].group = 0;
		w.down_until = w.stale_until = 0;
	}
	step_all();
	if (faults_on() && draw(0, 99) == 0)
		fault();
	if (w.now < END_MS - 15000 && draw(0, 99) == 0)
		begin_edit((int)draw(0, NODES - 1));
}

static void
run_session(uint64_t seed)
{
	memset(&w, 0, sizeof(w));
	ld_rand_seed(&w.rand, seed);
	w.revision = 5;
	w.history[0] = 5;
	w.written_by[0] = -1;
	w.n_history = 1;
	for (int i = 0; i < NODES; i++)
		start_node(i);
	while (w.now < END_MS)
		step();
	for (int i = 0; i < NODES; i++) {
		w.lagging += held(i) != w.history[w.n_history - 1] ||
		    !ld_fresh_admits(w.nodes[i].f, w.now);
		ld_fresh_free(w.nodes[i].f);
		ld_edit_free(w.nodes[i].edit);
	}
}

#endif
