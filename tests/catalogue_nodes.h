/* Simulated nodes that refresh and edit their catalogue. */
#ifndef CATALOGUE_NODES_H
#define CATALOGUE_NODES_H

#include <stdlib.h>
#include <string.h>

#include "ld_catalogue.h"
#include "ld_test.h"

#define NODES 8
#define REVISIONS_MAX 512
#define STEP_MS 10
#define FAULTS_UNTIL_MS 60000
#define END_MS 90000
#define IN_FLIGHT_MAX 4096

enum letter_kind {
	L_READ_ASKED, /* a read reaches the store */
	L_READ_DONE,
	L_GIVE, /* a snapshot sent to a peer */
	L_PROBE, /* a probe between peers, answered at once */
	L_PROBE_DONE,
	L_EDIT_READ,
	L_EDIT_WRITE, /* a compare-and-swap reaches the store */
	L_EDIT_WRITTEN,
	L_EDIT_SETTLED,
};

struct letter {
	bool used;
	enum letter_kind kind;
	uint64_t at_ms;
	uint64_t sent_ms;
	int from, to;
	unsigned int incarnation; /* of @to */
	int64_t revision;
	int64_t expect;
	enum ld_edit_write outcome;
};

struct node {
	struct ld_fresh *f;
	unsigned int incarnation;
	char id[16];
	uint64_t frozen_until;
	int64_t held; /* active revision; must never decrease */
	uint64_t contact_ms; /* last time a message could reach it */
	int group; /* partition group; 0 can reach the store */
	struct ld_edit *edit;
	int64_t edit_base;
	int64_t edit_settle_from;
	uint64_t edit_settle_until;
};

static struct {
	struct ld_rand rand;
	uint64_t now;
	struct node nodes[NODES];
	struct letter letters[IN_FLIGHT_MAX];
	int64_t history[REVISIONS_MAX]; /* revisions of the key, oldest first */
	int64_t written_by[REVISIONS_MAX]; /* number of the edit */
	size_t n_history;
	int64_t revision;
	uint64_t down_until, stale_until;
	int64_t accepted; /* highest revision reported accepted */
	unsigned int reverts, false_accepts, old_admits, cut_off_admits;
	unsigned int results[LD_EDIT_RESULT_COUNT];
	unsigned int lagging; /* nodes not up to date at the end */
	unsigned int outage_refusals;
} w;

static uint64_t
draw(uint64_t low, uint64_t high)
{
	return low + ld_rand_below(&w.rand, high - low + 1);
}

static bool
faults_on(void)
{
	return w.now < FAULTS_UNTIL_MS;
}

static bool
chance(unsigned int percent)
{
	return faults_on() && ld_rand_below(&w.rand, 100) < percent;
}

static void
mail(struct letter l, uint64_t delay_ms)
{
	size_t i = 0;

	while (i < IN_FLIGHT_MAX && w.letters[i].used)
		i++;
	CU_ASSERT_FATAL(i < IN_FLIGHT_MAX);
	l.used = true;
	l.at_ms = w.now + delay_ms;
	l.incarnation = l.to >= 0 ? w.nodes[l.to].incarnation : 0;
	w.letters[i] = l;
}

static bool
linked(int a, int b)
{
	return w.nodes[a].group == w.nodes[b].group;
}

static struct ld_str
document(int64_t revision)
{
	static char text[128];

	snprintf(text, sizeof(text),
	    "{\"entries\":[{\"owner\":\"r%lld\",\"class\":\"paid\",\"keys\":[],"
	    "\"limits\":{}}]}",
	    (long long)revision);
	return ld_str_c(text);
}

static int64_t
store_key(void)
{
	size_t n = w.n_history;

	/* A stale replica returns the value from two writes ago. */
	if (w.now < w.stale_until && n > 2)
		return w.history[n - 3];
	return n > 0 ? w.history[n - 1] : 0;
}

static int64_t
held(int i)
{
	struct ld_catalogue *c = ld_fresh_current(w.nodes[i].f);

	return c != NULL ? ld_catalogue_revision(c) : 0;
}

static void
check_node(int i)
{
	struct node *n = &w.nodes[i];
	bool admits = ld_fresh_admits(n->f, w.now);

	if (held(i) < n->held)
		w.reverts++;
	n->held = held(i);
	if (admits && held(i) < w.accepted)
		w.old_admits++;
	/* Contact time counts from when the request was sent, just before. */
	if (admits &&
	    w.now > n->contact_ms + ld_fresh_defaults().cut_off_ms + 100)
		w.cut_off_admits++;
}

static void
give(int from, int to, int64_t revision)
{
	struct letter l = {
	    .kind = L_GIVE, .from = from, .to = to, .revision = revision};

	if (from != to && linked(from, to) && !chance(10))
		mail(l, draw(1, 20));
}

static void
act(int i)
{
	struct ld_fresh_action a;

	while (ld_fresh_next_action(w.nodes[i].f, &a)) {
		struct letter l = {.kind = L_READ_ASKED, .from = i, .to = -1};

		l.sent_ms = w.now;
		if (a.kind == LD_FRESH_READ)
			mail(l, draw(1, 10));
		/* Gossip: three peers at once, the others by digests. */
		if (a.kind == LD_FRESH_ADOPT)
			for (int k = 0; k < 3; k++)
				give(i, (int)draw(0, NODES - 1), a.revision);
	}
	check_node(i);
}

static void
start_node(int i)
{
	struct ld_fresh_config c = ld_fresh_defaults();
	struct node *n = &w.nodes[i];

	ld_fresh_free(n->f);
	ld_edit_free(n->edit);
	n->edit = NULL;
	n->incarnation++;
	snprintf(n->id, sizeof(n->id), "n%d/%u", i, n->incarnation);
	c.self = ld_str_c(n->id);
	c.seed = ld_rand_u64(&w.rand);
	n->f = ld_fresh_new(&c, w.now);
	n->held = 0;
	n->frozen_until = 0;
	n->contact_ms = w.now;
}

/* ---- Members, digests and probes, as peer links report them ---- */

static void
tell_members(int i)
{
	struct ld_fresh_node nodes[NODES];
	size_t n = 0, reported = 0;
	int64_t newest = 0;

	for (int k = 0; k < NODES; k++) {
		if (!linked(i, k) ||
		    (k != i && w.now < w.nodes[k].frozen_until))
			continue;
		nodes[n].id = ld_str_c(w.nodes[k].id);
		nodes[n].domain = LD_STR("z");
		n++;
		if (k == i)
			continue;
		reported++;
		if (held(k) > newest)
			newest = held(k);
	}
	ld_fresh_members(w.nodes[i].f, w.now, nodes, n, NODES);
	act(i);
	ld_fresh_peer_revisions(w.nodes[i].f, w.now, n - 1, reported, newest);
	act(i);
}

static void
gossip(int i)
{
	int peer = (int)draw(0, NODES - 1);
	struct letter l = {.kind = L_PROBE, .from = i, .to = peer};

	l.sent_ms = w.now;
	if (peer == i || !linked(i, peer) || chance(5))
		return;
	mail(l, draw(1, 10));
	give(i, peer, held(i));
}

/* ---- Edits ---- */

static void
tell_unconfirmed(int i)
{
	struct ld_str names[NODES];
	struct ld_edit *e = w.nodes[i].edit;
	size_t n = 0;

	/* A node that can't be reached counts as not having confirmed. */
	for (int k = 0; k < NODES; k++) {
		if (linked(i, k) && w.now >= w.nodes[k].frozen_until &&
		    held(k) >= ld_edit_revision(e))
			continue;
		names[n] = ld_str_c(w.nodes[k].id);
		n++;
	}
	ld_edit_unconfirmed(e, w.now, names, n);
}

static void
end_edit(int i)
{
	struct ld_edit *e = w.nodes[i].edit;
	enum ld_edit_result r = ld_edit_result(e);
	int64_t revision = ld_edit_revision(e);

	w.results[r]++;
	if (r == LD_EDIT_ACCEPTED) {
		for (int k = 0; k < NODES; k++)
			w.false_accepts += held(k) < revision;
		if (revision > w.accepted)
			w.accepted = revision;
	}
	w.nodes[i].edit = NULL;
	ld_edit_free(e);
}

static void
edit_act(int i)
{
	struct node *n = &w.nodes[i];
	struct ld_edit_action a;

	while (n->edit != NULL && ld_edit_next_action(n->edit, &a)) {
		struct letter l = {.from = i, .to = -1, .sent_ms = w.now};
		struct ld_fresh_value v = {.revision = a.revision};

		switch (a.kind) {
		case LD_EDIT_READ:
			l.kind = L_EDIT_READ;
			mail(l, draw(1, 10));
			break;
		case LD_EDIT_WRITE:
			l.kind = L_EDIT_WRITE;
			l.expect = n->edit_base;
			/* Delayed in transit past its time-out. */
			mail(l, chance(10) ? draw(300, 3000) : draw(1, 10));
			break;
		case LD_EDIT_SETTLE:
			n->edit_settle_until = a.deadline_ms;
			break;
		case LD_EDIT_WRITTEN:
			v.bytes = document(a.revision);
			ld_fresh_store_value(n->f, w.now, &v);
			act(i);
			break;
		case LD_EDIT_DONE:
			end_edit(i);
			return;
		}
	}
}

static void
begin_edit(int i)
{
	struct node *n = &w.nodes[i];

	if (n->edit != NULL || held(i) == 0)
		return;
	n->edit_base = held(i);
	n->edit_settle_until = 0;
	CU_ASSERT_EQUAL_FATAL(ld_edit_new(LD_STR("{\"entries\":[]}"),
				  n->edit_base, w.now, &n->edit, NULL),
	    LD_OK);
	edit_act(i);
}

/* As ld_store_resolve_write(): the write that follows the base shows which
 * edit made it. */
static void
settle(int i)
{
	struct node *n = &w.nodes[i];
	size_t k = 0;

	if (n->edit == NULL || n->edit_settle_until == 0 ||
	    w.now < w.down_until || n->group != 0)
		return;
	while (k < w.n_history && w.history[k] <= n->edit_base)
		k++;
	if (k == w.n_history)
		return;
	n->edit_settle_until = 0;
	ld_edit_write_done(n->edit, w.now,
	    w.written_by[k] == i ? LD_EDIT_WRITE_APPLIED
				 : LD_EDIT_WRITE_NOT_APPLIED,
	    w.history[k]);
	edit_act(i);
}

#endif
