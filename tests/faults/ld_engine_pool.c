/* See ld_engine_pool.h. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "holders_servers.h"
#include "ld_engine_pool.h"

#define TICK_MS 20
#define LATE_MIN_MS 200
#define LATE_SPREAD_MS 5000
#define AWAY_MIN_MS 1000
#define AWAY_SPREAD_MS 7000
#define BODY_MAX 65536
#define CONNECTIONS_MAX 1000
#define IDLE_MS 60000
#define HEAD_MS 10000

/** struct late_order - an order that isn't answered */
struct late_order {
	struct late_order *next;
	struct ld_order order;
	uint64_t due_ms;
	int64_t born;
};

struct ld_engine_pool {
	struct ld_handler handler; /* first member */
	struct servers s;
	struct ld_loop *loop;
	struct ld_kv_store *store;
	struct ld_listener *listener;
	struct ld_timer timer;
	struct ld_rand rand;
	struct late_order *late;
	unsigned int late_percent;
	unsigned int orders;
	unsigned int reports;
	char address[32];
};

/* ---- What servers say of themselves ---- */

static json_t *
state_json(const struct ld_server_entry *e)
{
	json_t *staged = json_array();
	json_t *o;

	for (size_t i = 0; i < e->staged_count; i++)
		json_array_append_new(staged, json_string(e->staged[i]));
	o = json_pack("{s:I, s:s, s:o, s:[]}", "born",
	    (json_int_t)e->started_ms, "domain", e->domain, "staged", staged,
	    "models");
	if (e->member.model != NULL)
		json_array_append_new(json_object_get(o, "models"),
		    json_pack("{s:s}", "name", e->member.model));
	if (e->member.group != NULL)
		json_object_set_new(o, "group",
		    json_pack("{s:s, s:I, s:i, s:s}", "name", e->member.group,
			"epoch", (json_int_t)e->member.epoch, "rank",
			(int)e->member.rank, "state",
			ld_member_state_name(e->member.state)));
	return o;
}

static void
write_entry(struct ld_engine_pool *p, int i)
{
	struct ld_server_entry e = server_entry(&p->s, i);
	json_t *o = state_json(&e);
	char key[48], *text;

	json_object_update_new(o,
	    json_pack("{s:s, s:s, s:s, s:i, s:s, s:s, s:i, s:i}", "service",
		"llm", "address", p->address, "zone", "z1", "slots", 26,
		"state", "ready", "version", "v1", "warmup_left_ms", 0,
		"sequence", 1));
	text = json_dumps(o, JSON_COMPACT);
	snprintf(key, sizeof(key), "servers/%s", e.id);
	ld_kv_store_put(p->store, key, text);
	free(text);
	json_decref(o);
	ld_server_entry_fini(&e);
}

static void
beat(struct ld_engine_pool *p, int i)
{
	struct sim_server *v = &p->s.v[i];
	char key[32];

	if (!v->dead && !is_cut(&p->s, i)) {
		v->beat_ms = p->s.now;
		if (v->changed || !v->listed)
			write_entry(p, i);
		v->changed = false;
		v->listed = true;
	} else if (v->listed && p->s.now >= v->beat_ms + ENTRY_LAPSES_MS) {
		v->listed = false;
		snprintf(key, sizeof(key), "servers/s%03d", i);
		ld_kv_store_delete(p->store, key);
	}
}

/* ---- Calls ---- */

static bool
read_order(struct ld_str body, const char *server, struct ld_order *o)
{
	static const char *const names[] = {
	    "join", "open", "close", "leave", "stage"};
	json_t *j = json_loadb(body.p, body.len, 0, NULL);
	const json_t *members = json_object_get(j, "members");
	const char *operation =
	    json_string_value(json_object_get(j, "operation"));
	const char *group = json_string_value(json_object_get(j, "group"));
	const char *model = json_string_value(json_object_get(j, "model"));
	bool known = false;

	*o = (struct ld_order){
	    .epoch = json_integer_value(json_object_get(j, "epoch")),
	    .token = json_integer_value(json_object_get(j, "fencing_token")),
	    .conditional = json_object_get(j, "expected") != NULL,
	    .order_count = json_integer_value(json_object_get(j, "expected"))};
	for (size_t i = 0; operation != NULL && i < 5; i++) {
		if (strcmp(operation, names[i]) != 0)
			continue;
		o->type = (enum ld_order_type)i;
		known = true;
	}
	snprintf(o->server, sizeof(o->server), "%s", server);
	snprintf(o->group, sizeof(o->group), "%s", group != NULL ? group : "");
	snprintf(
	    o->model, sizeof(o->model), "%s", model != NULL ? model : "m0");
	for (size_t i = 0;
	     i < json_array_size(members) && i < LD_GROUP_SIZE_MAX; i++)
		snprintf(o->members[o->member_count++], sizeof(o->members[0]),
		    "%s", json_string_value(json_array_get(members, i)));
	json_decref(j);
	return known;
}

static void
answer_order(struct ld_engine_pool *p, struct ld_exchange *x, int i,
    const struct ld_order *o)
{
	static const unsigned int codes[LD_ORDER_RESULT_COUNT] = {
	    [LD_ORDER_DONE] = 200,
	    [LD_ORDER_BEGUN] = 202,
	    [LD_ORDER_MISFIT] = 409,
	    [LD_ORDER_FENCED] = 412,
	    [LD_ORDER_OTHER_SERVER] = 421};
	struct late_order *l;

	p->orders++;
	if (ld_rand_below(&p->rand, 100) >= p->late_percent) {
		ld_exchange_answer(x, codes[server_take_order(&p->s, i, o)],
		    "application/json", NULL, LD_STR("{}"));
		return;
	}
	l = ld_alloc(sizeof(*l));
	l->order = *o;
	l->born = p->s.v[i].born;
	l->due_ms =
	    p->s.now + LATE_MIN_MS + ld_rand_below(&p->rand, LATE_SPREAD_MS);
	l->next = p->late;
	p->late = l;
}

static void
answer_report(struct ld_engine_pool *p, struct ld_exchange *x, int i)
{
	struct ld_server_entry e = server_report(&p->s, i);
	json_t *o = state_json(&e);
	char *text;

	json_object_set_new(
	    o, "sequence", json_integer((json_int_t)e.order_count));
	text = json_dumps(o, JSON_COMPACT);
	p->reports++;
	ld_exchange_answer(x, 200, "application/json", NULL, ld_str_c(text));
	free(text);
	json_decref(o);
	ld_server_entry_fini(&e);
}

static void
on_request(struct ld_handler *h, struct ld_exchange *x)
{
	struct ld_engine_pool *p = (struct ld_engine_pool *)h;
	const char *id = ld_exchange_header(x, "X-Expect-Instance");
	int i = id != NULL ? server_index(id) : -1;
	struct ld_order o;

	p->s.now = ld_loop_now(p->loop);
	/* No answer: the caller's time-out ends the call. */
	if (i < 0 || i >= p->s.n || p->s.v[i].dead || is_cut(&p->s, i))
		return;
	if (strcmp(ld_exchange_path(x), "/lavenderdrift/report") == 0)
		answer_report(p, x, i);
	else if (read_order(ld_exchange_body(x), id, &o))
		answer_order(p, x, i, &o);
}

static void
on_gone(struct ld_handler *h, struct ld_exchange *x)
{
}

/* ---- Time ---- */

static void
carry_out_late(struct ld_engine_pool *p)
{
	struct late_order **at = &p->late;

	while (*at != NULL) {
		struct late_order *l = *at;
		int i = server_index(l->order.server);

		if (p->s.now < l->due_ms) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		if (!p->s.v[i].dead && p->s.v[i].born == l->born)
			(void)server_take_order(&p->s, i, &l->order);
		free(l);
	}
}

static void
on_tick(struct ld_timer *t, uint64_t now_ms)
{
	struct ld_engine_pool *p = (struct ld_engine_pool *)((char *)t -
	    offsetof(struct ld_engine_pool, timer));

	p->s.now = now_ms;
	carry_out_late(p);
	for (int i = 0; i < p->s.n; i++) {
		struct sim_server *v = &p->s.v[i];

		if (v->dead && now_ms >= v->restart_ms)
			server_start(&p->s, i);
		if (!v->dead)
			server_advance(&p->s, i);
		beat(p, i);
	}
	ld_timer_after(ld_loop_timers(p->loop), t, TICK_MS);
}

static struct sim_server *
any_server(struct ld_engine_pool *p)
{
	return &p->s.v[ld_rand_below(&p->rand, (uint64_t)p->s.n)];
}

void
ld_engine_pool_crash(struct ld_engine_pool *p)
{
	struct sim_server *v = any_server(p);

	v->dead = true;
	v->restart_ms =
	    p->s.now + AWAY_MIN_MS + ld_rand_below(&p->rand, AWAY_SPREAD_MS);
}

void
ld_engine_pool_cut_off(struct ld_engine_pool *p)
{
	any_server(p)->cut_until_ms =
	    p->s.now + AWAY_MIN_MS + ld_rand_below(&p->rand, AWAY_SPREAD_MS);
}

/* ---- Start and end ---- */

const char *
ld_engine_pool_config(bool large)
{
#define MODEL(name, size)                                                      \
	"{\"name\":\"" name "\",\"size\":" size ",\"share\":0.5,\"pace\":1.0," \
	"\"load_s\":5,\"warm_s\":1.2}"
#define ENGINE(models)                                                         \
	"{\"slots\":26,\"step_ms\":6,\"per_seq_ms\":0.1,\"read_per_s\":56000," \
	"\"chunk\":512,\"stride\":6,\"loads_per_s\":100,\"loads_at_once\":"    \
	"1000,"                                                                \
	"\"usual\":{\"answer\":100},\"models\":[" models "]}"
	return large ? ENGINE(MODEL("m0", "16") "," MODEL("m1", "4"))
		     : ENGINE(MODEL("m0", "6") "," MODEL("m1", "3"));
#undef ENGINE
#undef MODEL
}

struct ld_engine_pool_counts
ld_engine_pool_counts(const struct ld_engine_pool *p)
{
	struct ld_engine_pool_counts c = {.two_groups = p->s.two_groups,
	    .joins = p->s.joins,
	    .opens = p->s.opens,
	    .orders = p->orders,
	    .reports = p->reports};

	for (int i = 0; i < p->s.n; i++)
		if (!p->s.v[i].dead && p->s.v[i].state == LD_MEMBER_OPEN &&
		    p->s.v[i].still_since_ms == 0)
			c.serving_members += (unsigned int)p->s.v[i].join.n;
	return c;
}

struct ld_engine_pool *
ld_engine_pool_new(struct ld_loop *loop, struct ld_kv_store *store,
    uint16_t port, int domains, int domain_servers, unsigned int late_percent,
    uint64_t seed)
{
	static const struct ld_handler_ops ops = {
	    .request = on_request, .client_disconnected = on_gone};
	struct ld_engine_pool *p = ld_alloc(sizeof(*p));
	struct ld_listener_config c = {.host = "127.0.0.1",
	    .port = port,
	    .max_body_bytes = BODY_MAX,
	    .max_connections = CONNECTIONS_MAX,
	    .idle_timeout_ms = IDLE_MS,
	    .head_timeout_ms = HEAD_MS,
	    .no_request_id = true};

	p->handler.ops = &ops;
	p->loop = loop;
	p->store = store;
	p->late_percent = late_percent;
	ld_rand_seed(&p->rand, seed);
	snprintf(p->address, sizeof(p->address), "127.0.0.1:%u", port);
	p->s.now = ld_loop_now(loop);
	p->s.n = domains * domain_servers;
	p->s.trace = true;
	for (int i = 0; i < p->s.n; i++) {
		p->s.v[i].domain = i / domain_servers;
		p->s.v[i].staged = -1;
		server_start(&p->s, i);
	}
	if (ld_listener_new(loop, &c, &p->handler, &p->listener) != LD_OK)
		abort();
	p->timer.fn = on_tick;
	ld_timer_after(ld_loop_timers(loop), &p->timer, 0);
	return p;
}

void
ld_engine_pool_free(struct ld_engine_pool *p)
{
	struct late_order *next;

	ld_timer_stop(ld_loop_timers(p->loop), &p->timer);
	ld_listener_free(p->listener);
	for (struct late_order *l = p->late; l != NULL; l = next) {
		next = l->next;
		free(l);
	}
	free(p);
}
