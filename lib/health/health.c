/* Server health: node and server lists, actions, and the merged view. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "health_internal.h"

void
ld_health_defaults(struct ld_health_config *c)
{
	memset(c, 0, sizeof(*c));
	c->probers = 3;
	c->interval_ms = 1000;
	c->jitter_pct = 20;
	c->timeout_ms = 500;
	c->report_ttl_ms = 3000;
	c->suspect_after = 2;
	c->dead_after_ms = 1500;
	c->slow_factor = 5;
	c->slow_min_ms = 50;
}

void
copy_name(char *out, size_t size, struct ld_str s)
{
	size_t n = s.len < size ? s.len : size - 1;

	if (n > 0)
		memcpy(out, s.p, n);
	out[n] = '\0';
}

struct ld_health *
ld_health_new(const struct ld_health_config *config, uint64_t now_ms)
{
	struct ld_health *h = ld_alloc(sizeof(*h));

	assert(config->probers > 0 && config->interval_ms > 0);
	assert(config->jitter_pct < 100);
	h->config = *config;
	copy_name(h->self, sizeof(h->self), config->self);
	copy_name(h->zone, sizeof(h->zone), config->zone);
	ld_rand_seed(&h->rand, config->seed);
	return h;
}

void
ld_health_free(struct ld_health *h)
{
	if (h == NULL)
		return;
	free(h->servers);
	free(h->nodes);
	free(h->reporters);
	free(h->actions);
	free(h);
}

struct ld_health_action *
health_push_action(struct ld_health *h, enum ld_health_action_type type)
{
	struct ld_health_action *a;

	if (h->action_count == h->action_cap) {
		h->action_cap = h->action_cap > 0 ? 2 * h->action_cap : 16;
		h->actions = ld_realloc(h->actions, h->action_cap * sizeof(*a));
	}
	a = &h->actions[h->action_count++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	return a;
}

bool
ld_health_next_action(struct ld_health *h, struct ld_health_action *out)
{
	if (h->action_head == h->action_count) {
		h->action_head = h->action_count = 0;
		return false;
	}
	*out = h->actions[h->action_head++];
	return true;
}

/* ---- Lists ---- */

static int
compare_address(const void *address, const void *server)
{
	const struct ld_str *a = address;
	const struct server *s = server;
	struct ld_str b = ld_str_c(s->address);
	size_t n = a->len < b.len ? a->len : b.len;
	int order = n > 0 ? memcmp(a->p, b.p, n) : 0;

	if (order != 0)
		return order;
	return (a->len > b.len) - (a->len < b.len);
}

static int
compare_servers(const void *va, const void *vb)
{
	struct ld_str a = ld_str_c(((const struct server *)va)->address);

	return compare_address(&a, vb);
}

/* Servers are kept sorted by address. */
struct server *
server_find(const struct ld_health *h, struct ld_str address)
{
	if (h->server_count == 0)
		return NULL;
	return bsearch(&address, h->servers, h->server_count,
	    sizeof(*h->servers), compare_address);
}

void
ld_health_set_nodes(struct ld_health *h, const struct ld_health_node *nodes,
    size_t n, uint64_t now_ms)
{
	h->nodes = ld_realloc(h->nodes, (n + 1) * sizeof(*h->nodes));
	for (size_t i = 0; i < n; i++) {
		struct node *out = &h->nodes[i];

		copy_name(out->id, sizeof(out->id), nodes[i].id);
		copy_name(out->zone, sizeof(out->zone), nodes[i].zone);
	}
	h->node_count = n;
	assign_probers(h, now_ms);
}

/* A probe number contains the index of its server, which may have changed. */
static void
drop_moved_probes(struct ld_health *h)
{
	for (size_t i = 0; i < h->server_count; i++) {
		if (probe_server_index(h->servers[i].pending_probe) != i)
			h->servers[i].pending_probe = 0;
	}
}

/* Servers that remain in the list keep their state. */
void
ld_health_set_servers(struct ld_health *h,
    const struct ld_health_server *servers, size_t n, uint64_t now_ms)
{
	struct server *next = ld_alloc((n + 1) * sizeof(*next));

	for (size_t i = 0; i < n; i++) {
		const struct server *old = server_find(h, servers[i].address);
		struct server *s = &next[i];

		if (old != NULL)
			*s = *old;
		copy_name(s->address, sizeof(s->address), servers[i].address);
		copy_name(s->zone, sizeof(s->zone), servers[i].zone);
		s->leaving = servers[i].leaving;
	}
	qsort(next, n, sizeof(*next), compare_servers);
	free(h->servers);
	h->servers = next;
	h->server_count = n;
	drop_moved_probes(h);
	assign_probers(h, now_ms);
}

/* ---- Reports of other nodes ---- */

enum ld_status
ld_health_peer_report(
    struct ld_health *h, const struct ld_health_report *r, uint64_t now_ms)
{
	struct server *s = server_find(h, ld_str_c(r->address));
	uint64_t answer_ms;
	enum ld_status st;

	if (s == NULL)
		return ld_fail(LD_E_NOT_FOUND, "report on an unlisted server");
	answer_ms = clocks_answer_time(h, r, now_ms);
	if (r->verdict == LD_HEALTH_OK &&
	    now_ms >= answer_ms + h->config.report_ttl_ms)
		return ld_fail(LD_E_STALE, "report has expired");
	if (r->never_answered)
		answer_ms = 0;
	st = report_store(s, r, answer_ms, now_ms);
	/* Probe at once: a dead verdict needs two reporters. */
	if (st == LD_OK && r->verdict != LD_HEALTH_OK && s->assigned &&
	    s->own.verdict == LD_HEALTH_OK)
		probe_soon(s, now_ms);
	return st;
}

/* ---- Merged view ---- */

#define REPORTER_QUORUM 2
/* Consecutive failed calls after which this node avoids a server ... */
#define AVOID_AFTER_CALL_FAILURES 2
/* ... and for how long. */
#define AVOID_DURATION_MS 5000

const char *
ld_health_state_name(enum ld_health_state s)
{
	static const char *const names[LD_HEALTH_STATE_COUNT] = {
	    "unknown", "live", "suspect", "dead"};

	return s < LD_HEALTH_STATE_COUNT ? names[s] : "invalid";
}

/** struct tally - number of unexpired reports by verdict */
struct tally {
	size_t ok;
	size_t failing;
	size_t failed;
	size_t slow;
};

static struct tally
count_reports(
    const struct ld_health *h, const struct server *s, uint64_t now_ms)
{
	struct tally t = {0};

	for (size_t i = 0; i < s->report_count; i++) {
		const struct received_report *e = &s->reports[i];

		if (now_ms >= e->received_ms + h->config.report_ttl_ms)
			continue;
		t.failed += e->report.verdict == LD_HEALTH_FAILED;
		t.failing += e->report.verdict == LD_HEALTH_FAILING;
		if (e->report.verdict != LD_HEALTH_OK ||
		    now_ms >= e->answer_ms + h->config.report_ttl_ms)
			continue;
		t.ok++;
		t.slow += e->report.straggler;
	}
	return t;
}

/* Two reporters if possible, because one may itself be partitioned. */
static size_t
quorum(const struct ld_health *h)
{
	return h->node_count < REPORTER_QUORUM ||
		h->config.probers < REPORTER_QUORUM
	    ? 1
	    : REPORTER_QUORUM;
}

static enum ld_health_state
merged_state(const struct ld_health *h, const struct server *s,
    const struct tally *t, bool fresh, uint64_t now_ms)
{
	if (t->failed >= quorum(h) && t->ok == 0)
		return LD_HEALTH_DEAD;
	if (t->failed + t->failing >= quorum(h) ||
	    (t->failed > 0 && t->ok == 0))
		return LD_HEALTH_SUSPECT;
	if (!fresh)
		return LD_HEALTH_UNKNOWN;
	if (s->call_failures >= AVOID_AFTER_CALL_FAILURES &&
	    now_ms < s->call_failed_ms + AVOID_DURATION_MS)
		return LD_HEALTH_SUSPECT;
	return LD_HEALTH_LIVE;
}

static void
fill_view(const struct ld_health *h, const struct server *s, uint64_t now_ms,
    struct ld_health_view *out)
{
	const struct received_report *n = report_with_newest_answer(s);
	struct tally t = count_reports(h, s, now_ms);

	memset(out, 0, sizeof(*out));
	memcpy(out->address, s->address, sizeof(out->address));
	out->leaving = s->leaving;
	out->fresh =
	    n != NULL && now_ms < n->answer_ms + h->config.report_ttl_ms;
	out->state = merged_state(h, s, &t, out->fresh, now_ms);
	out->straggler = s->token_durations.straggler || t.slow >= quorum(h);
	if (!out->fresh)
		return;
	memcpy(out->replica, n->report.replica, sizeof(out->replica));
	memcpy(
	    out->incarnation, n->report.incarnation, sizeof(out->incarnation));
	out->epoch = n->report.epoch;
	out->ready = n->report.ready;
	out->running = n->report.running;
	out->waiting = n->report.waiting;
	out->slots = n->report.slots;
	out->age_ms = (uint32_t)(now_ms - n->answer_ms);
}

enum ld_status
ld_health_view(const struct ld_health *h, struct ld_str address,
    uint64_t now_ms, struct ld_health_view *out)
{
	const struct server *s = server_find(h, address);

	if (s == NULL)
		return ld_fail(LD_E_NOT_FOUND, "server is not in the list");
	fill_view(h, s, now_ms, out);
	return LD_OK;
}

void
ld_health_each_view(const struct ld_health *h, uint64_t now_ms,
    void (*fn)(void *arg, const struct ld_health_view *v), void *arg)
{
	struct ld_health_view v;

	for (size_t i = 0; i < h->server_count; i++) {
		fill_view(h, &h->servers[i], now_ms, &v);
		fn(arg, &v);
	}
}

bool
ld_health_is_usable(const struct ld_health *h, struct ld_str address,
    struct ld_str replica, uint64_t epoch, uint64_t now_ms)
{
	const struct server *s = server_find(h, address);
	struct ld_health_view v;

	if (s == NULL)
		return false;
	fill_view(h, s, now_ms, &v);
	return v.fresh && v.ready && v.state != LD_HEALTH_DEAD &&
	    v.epoch == epoch && ld_str_eq(ld_str_c(v.replica), replica);
}

bool
ld_health_is_prober(const struct ld_health *h, struct ld_str address)
{
	const struct server *s = server_find(h, address);

	return s != NULL && s->assigned;
}
