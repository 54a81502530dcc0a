/* Passes the membership and messages of other nodes to the decision modules. */
#include <stdlib.h>
#include <string.h>

#include "node_internal.h"
#include "peer_task.h"

#define PART "fleet"
#define TICK_MS 200
/* A live list confirmed longer ago than this doesn't remove dead members. */
#define LIVE_LIST_FRESH_MS 10000

/** enum fleet_direct - kinds of direct messages between nodes */
enum fleet_direct {
	FLEET_ADMIT = 1,
	FLEET_BOOKING = 2
};

/** struct fleet_member - copy of a member that has not left */
struct fleet_member {
	uint64_t id;
	struct ld_str address;
	struct ld_str domain;
	uint64_t incarnation;
	enum ld_peers_state state;
};

/** struct fleet - the peer task and a copy of its members */
struct fleet {
	struct ld_node *node;
	struct ld_peer_task *task;
	struct ld_timer tick;
	struct fleet_member *members;
	size_t count;
	bool stale; /* members changed since update_members() */
};

/* ---- Members ---- */

static uint64_t
member_id(struct ld_str address, uint64_t incarnation)
{
	return ld_hash64(address, incarnation) | 1;
}

static bool
add_member(void *arg, const struct ld_peers_member *m)
{
	struct fleet *f = arg;
	struct fleet_member *to;

	if (m->state == LD_PEERS_LEFT)
		return true;
	f->members =
	    ld_realloc(f->members, (f->count + 1) * sizeof(*f->members));
	to = &f->members[f->count++];
	to->id = member_id(m->address, m->incarnation);
	to->address = (struct ld_str){ld_str_dup(m->address), m->address.len};
	to->domain = (struct ld_str){ld_str_dup(m->domain), m->domain.len};
	to->incarnation = m->incarnation;
	to->state = m->state;
	return true;
}

static void
free_members(struct fleet *f)
{
	for (size_t i = 0; i < f->count; i++) {
		free((void *)(uintptr_t)f->members[i].address.p);
		free((void *)(uintptr_t)f->members[i].domain.p);
	}
	f->count = 0;
}

static bool
is_live(const struct fleet_member *m)
{
	return m->state == LD_PEERS_ALIVE || m->state == LD_PEERS_SUSPECT;
}

static bool
is_member(const struct fleet *f, const char *address)
{
	for (size_t i = 0; i < f->count; i++)
		if (ld_str_eq(f->members[i].address, ld_str_c(address)))
			return true;
	return false;
}

/*
 * Adds the entry instances of the live list that are not members. They may be
 * admitting requests on the other side of a partition, so their shares of the
 * limits must not be used.
 */
static size_t
add_listed_entries(const struct fleet *f, struct ld_admit_member *to)
{
	const struct ld_live_list *list = ld_live_current(f->node->live);
	size_t n = 0;

	for (size_t i = 0; i < list->n; i++) {
		const struct ld_instance *v = &list->v[i];

		if (v->role != LD_ROLE_ENTRY || is_member(f, v->address))
			continue;
		to[n].node = member_id(ld_str_c(v->address), 0);
		to[n].domain = ld_str_c(v->zone);
		to[n].live = false;
		n++;
	}
	return n;
}

static void
update_admission(struct fleet *f)
{
	size_t room = f->count + ld_live_current(f->node->live)->n;
	struct ld_admit_member *list = ld_alloc(room * sizeof(*list));
	size_t n = f->count;

	for (size_t i = 0; i < f->count; i++) {
		list[i].node = f->members[i].id;
		list[i].domain = f->members[i].domain;
		list[i].live = is_live(&f->members[i]);
	}
	n += add_listed_entries(f, list + n);
	ld_admit_members(f->node->admit, node_now(f->node), list, n);
	free(list);
}

static void
update_live_nodes(struct fleet *f)
{
	struct ld_fresh_node *fresh = ld_alloc(f->count * sizeof(*fresh));
	struct servers_node *nodes = ld_alloc(f->count * sizeof(*nodes));
	size_t n = 0;

	for (size_t i = 0; i < f->count; i++) {
		struct fleet_member *m = &f->members[i];
		struct ld_buf name = {0};

		if (!is_live(m))
			continue;
		ld_buf_printf(&name, "%.*s/%016llx", LD_FMT(m->address),
		    (unsigned long long)m->incarnation);
		nodes[n] = (struct servers_node){
		    m->address, m->domain, ld_buf_str(&name)};
		fresh[n] = (struct ld_fresh_node){nodes[n].name, m->domain};
		n++;
	}
	catalogue_members(f->node, fresh, n, f->count);
	servers_nodes(f->node, nodes, n);
	booking_members(f->node, nodes, n);
	for (size_t i = 0; i < n; i++)
		free((void *)(uintptr_t)nodes[i].name.p);
	free(nodes);
	free(fresh);
}

static void
update_members(struct fleet *f)
{
	f->stale = false;
	free_members(f);
	ld_peers_each_member(ld_peer_task_peers(f->task), add_member, f);
	update_admission(f);
	update_live_nodes(f);
	completions_act(f->node);
}

/* ---- Members removed by the platform ---- */

static bool
is_listed(const struct ld_live_list *list, struct ld_str address)
{
	for (size_t i = 0; i < list->n; i++)
		if (ld_str_eq(ld_str_c(list->v[i].address), address))
			return true;
	return false;
}

static void
confirm_gone(struct fleet *f)
{
	struct ld_node *n = f->node;
	const struct ld_live_list *list = ld_live_current(n->live);

	if (list->version == 0 || ld_live_age_ms(n->live) > LIVE_LIST_FRESH_MS)
		return;
	for (size_t i = 0; i < f->count; i++) {
		const struct fleet_member *m = &f->members[i];

		if (m->state == LD_PEERS_DEAD && !is_listed(list, m->address))
			ld_peer_task_confirm_gone(f->task, m->address);
	}
}

/* ---- Catalogue revisions of the other nodes ---- */

/** struct revisions - catalogue revisions confirmed by the other live nodes */
struct revisions {
	const struct ld_peers *peers;
	size_t others;
	size_t reported;
	uint64_t newest;
};

static bool
add_revision(void *arg, const struct ld_peers_member *m)
{
	struct revisions *r = arg;
	uint64_t revision;

	if (m->self || m->state != LD_PEERS_ALIVE)
		return true;
	r->others++;
	revision = ld_peers_confirmed_revision(r->peers, m->address);
	r->reported += revision > 0;
	if (revision > r->newest)
		r->newest = revision;
	return true;
}

static void
on_tick(struct ld_timer *t, uint64_t now_ms)
{
	struct fleet *f =
	    (struct fleet *)((char *)t - offsetof(struct fleet, tick));
	const struct ld_peers *peers = ld_peer_task_peers(f->task);
	struct revisions r = {.peers = peers};
	uint64_t acked_ms = ld_peers_last_acked_ping_ms(peers);

	if (f->stale)
		update_members(f);
	confirm_gone(f);
	ld_peers_each_member(peers, add_revision, &r);
	catalogue_peers(
	    f->node, acked_ms, r.others, r.reported, (int64_t)r.newest);
	ld_timer_after(ld_loop_timers(f->node->loop), &f->tick, TICK_MS);
}

/* ---- From the peer task ---- */

static void
on_member(void *arg, const struct ld_peers_member *m, bool removed)
{
	struct fleet *f = arg;
	static const char *const names[] = {"alive", "suspect", "dead", "left"};

	f->stale = true;
	ld_log(LD_LOG_INFO, PART, "node %.*s is %s", LD_FMT(m->address),
	    removed ? "gone" : names[m->state]);
}

static void
on_catalogue(void *arg, uint64_t revision, struct ld_str bytes)
{
	struct fleet *f = arg;

	catalogue_from_peer(f->node, (int64_t)revision, bytes);
}

static void
on_direct(void *arg, struct ld_str from, uint64_t from_incarnation,
    uint32_t kind, struct ld_str bytes)
{
	struct fleet *f = arg;
	struct ld_node *n = f->node;

	if (kind == FLEET_ADMIT) {
		ld_admit_message(n->admit, node_now(n),
		    member_id(from, from_incarnation), bytes);
		completions_act(n);
	} else if (kind == FLEET_BOOKING) {
		struct ld_buf name = {0};

		ld_buf_printf(&name, "%.*s/%016llx", LD_FMT(from),
		    (unsigned long long)from_incarnation);
		booking_message(n, ld_buf_str(&name), bytes);
		ld_buf_free(&name);
	}
}

/* A node's name is its address, a slash and its incarnation in hex. */
void
fleet_send_booking(struct fleet *f, struct ld_str name, struct ld_str bytes)
{
	struct ld_str address = name;
	char *copy = ld_str_dup(name);
	char *slash = strrchr(copy, '/');

	if (slash != NULL) {
		address.len = (size_t)(slash - copy);
		ld_peer_task_send(f->task, address,
		    strtoull(slash + 1, NULL, 16), FLEET_BOOKING, bytes);
	}
	free(copy);
}

static void
on_record(void *arg, const struct ld_peers_record *r)
{
	struct fleet *f = arg;

	if (r->kind == LD_PEERS_REC_PLACEMENT && r->value.len > 0)
		placement_from_peer(f->node, r->key, r->value);
	if (r->kind == LD_PEERS_REC_HEALTH && r->value.len > 0)
		servers_report(f->node, r->value);
}

void
fleet_publish(struct fleet *f, enum ld_peers_kind kind, struct ld_str key,
    struct ld_str value)
{
	if (ld_peer_task_publish(f->task, kind, key, value) != LD_OK)
		ld_log(LD_LOG_ERR, PART, "a record is refused: %s",
		    ld_last_message());
}

void
fleet_listed(struct fleet *f)
{
	f->stale = true;
}

void
fleet_send_admit(struct fleet *f, uint64_t to, struct ld_str bytes)
{
	for (size_t i = 0; i < f->count; i++) {
		const struct fleet_member *m = &f->members[i];

		if (m->id != to)
			continue;
		ld_peer_task_send(
		    f->task, m->address, m->incarnation, FLEET_ADMIT, bytes);
		return;
	}
}

/* ---- Catalogue snapshots ---- */

void
fleet_offer(struct fleet *f, int64_t revision, struct ld_str bytes)
{
	ld_peer_task_offer_catalogue(f->task, (uint64_t)revision, bytes);
}

void
fleet_confirm(struct fleet *f, int64_t revision)
{
	ld_peer_task_confirm_catalogue(f->task, (uint64_t)revision);
}

/** struct names - growing array of addresses */
struct names {
	struct ld_str *at;
	size_t count;
};

static void
add_name(void *arg, const struct ld_peers_member *m)
{
	struct names *n = arg;

	n->at = ld_realloc(n->at, (n->count + 1) * sizeof(*n->at));
	n->at[n->count].p = ld_str_dup(m->address);
	n->at[n->count].len = m->address.len;
	n->count++;
}

size_t
fleet_unconfirmed(struct fleet *f, int64_t revision, struct ld_str **names)
{
	struct names n = {0};

	/* A dead node may still serve on the other side of a partition. */
	ld_peers_unconfirmed_count(ld_peer_task_peers(f->task),
	    (uint64_t)revision, true, add_name, &n);
	*names = n.at;
	return n.count;
}

void
fleet_names_free(struct ld_str *names, size_t n)
{
	for (size_t i = 0; i < n; i++)
		free((void *)(uintptr_t)names[i].p);
	free(names);
}

/* ---- Opening ---- */

uint64_t
fleet_self(const struct fleet *f)
{
	return member_id(ld_str_c(f->node->settings->peers_listen.text),
	    ld_peer_task_incarnation(f->task));
}

void
fleet_self_name(const struct fleet *f, struct ld_buf *out)
{
	ld_buf_printf(out, "%s/%016llx", f->node->settings->peers_listen.text,
	    (unsigned long long)ld_peer_task_incarnation(f->task));
}

void
fleet_gauges(const struct fleet *f, struct ld_metrics *m)
{
	const struct ld_peers *peers = ld_peer_task_peers(f->task);
	struct ld_peer_task_counters c;

	ld_peer_task_counters(f->task, &c);
	ld_metrics_set(m, LD_M_PEERS_ALIVE, ld_peers_alive_count(peers));
	ld_metrics_set(m, LD_M_PEERS_LINKS, ld_peers_link_count(peers));
	ld_metrics_set(m, LD_M_PEER_BYTES_IN, c.bytes_in);
	ld_metrics_set(m, LD_M_PEER_BYTES_OUT, c.bytes_out);
	ld_metrics_set(m, LD_M_PEER_FRAMES_REFUSED,
	    c.refused_auth + c.refused_replay + c.refused_protocol);
}

enum ld_status
fleet_open(struct ld_node *n)
{
	static const struct ld_peer_task_ops ops = {.member = on_member,
	    .record = on_record,
	    .catalogue = on_catalogue,
	    .direct = on_direct};
	const struct ld_settings *s = n->settings;
	struct fleet *f = ld_alloc(sizeof(*f));
	struct ld_peer_task_config config = {
	    .listen = ld_str_c(s->peers_listen.text),
	    .advertise = ld_str_c(s->peers_listen.text),
	    .domain = ld_str_c(s->failure_domain),
	    .region = ld_str_c(s->region),
	    .seed_count = s->peers_seeds.count,
	    .key = ld_str_c(s->peers_key),
	};
	struct ld_str *seeds = ld_alloc(config.seed_count * sizeof(*seeds));
	enum ld_status st;

	for (size_t i = 0; i < config.seed_count; i++)
		seeds[i] = ld_str_c(s->peers_seeds.at[i].text);
	config.seeds = seeds;
	f->node = n;
	f->tick.fn = on_tick;
	f->stale = true;
	n->fleet = f;
	st = ld_peer_task_new(n->loop, &config, &ops, f, &f->task);
	free(seeds);
	return st;
}

void
fleet_start(struct fleet *f)
{
	update_members(f);
	ld_timer_after(ld_loop_timers(f->node->loop), &f->tick, TICK_MS);
}

void
fleet_leave(struct fleet *f)
{
	ld_peer_task_leave(f->task);
}

void
fleet_close(struct fleet *f)
{
	if (f == NULL)
		return;
	ld_timer_stop(ld_loop_timers(f->node->loop), &f->tick);
	if (f->task != NULL)
		ld_peer_task_free(f->task);
	free_members(f);
	free(f->members);
	free(f);
}
