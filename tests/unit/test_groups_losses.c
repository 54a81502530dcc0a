/*
 * Servers of several fabric domains are lost two at a time while servers
 * without weights are added; joins and loads take realistic times. Measures,
 * on a simulated clock, how long groups of each model are unavailable.
 */
#include <stdlib.h>
#include <string.h>

#include "engine_entry.h"
#include "ld_groups.h"
#include "ld_test.h"

#define STEP_MS 50
#define SERVERS_MAX 512
#define JOIN_AGAIN_MS 200 /* same model as in its last group */
#define FORM_MS 300
/* A loss is detected when a group's streams send nothing for this long. */
#define SILENCE_MS 500
#define ENTRY_LAPSES_MS 3600
/* Servers register in random order within this interval after the start. */
#define REGISTERS_FROM_MS 1200
#define REGISTERS_SPREAD_MS 3500
#define LARGE 0
#define SMALL 1

/** struct scenario - a deployment, and the rate of losses and additions */
struct scenario {
	int domains;
	int domain_servers;
	uint32_t sizes[2];
	double loads_per_s;
	uint32_t loads_at_once;
	uint64_t lead_ms; /* before the first request */
	uint64_t duration_ms;
	uint64_t loss_ms; /* interval between losses of two members */
	uint64_t added_ms; /* interval between additions of two empty servers */
};

/** struct sim_server - state of one simulated server */
struct sim_server {
	bool dead;
	bool listed;
	uint64_t dead_ms;
	uint64_t registers_ms;
	int domain;
	int staged; /* model on its host, -1: none */
	int last; /* model of its last group, -1: none */
	int loading; /* model that its host loads, -1: none */
	double load_left_ms;
	struct ld_order join; /* the group that it is in or joins */
	bool in_group;
	enum ld_member_state state;
	bool waits_for_load;
	uint64_t until_ms; /* end of a join or of opening, 0: none */
	bool opening;
};

struct fleet {
	const struct scenario *scenario;
	struct ld_groups *g;
	struct ld_servers *t;
	struct ld_engine_spec spec;
	struct ld_model_spec models[2];
	struct ld_rand rand;
	uint64_t now;
	uint64_t traffic_start_ms;
	struct sim_server s[SERVERS_MAX];
	int n;
	unsigned int groups_hit[2]; /* groups that lost a member */
	double open_ms[2]; /* integral of serving groups over time */
	size_t at_start[2];
	unsigned int early_opens; /* opened before all members were ready */
	unsigned int unsafe_joins; /* joined while the head might serve */
};

static const struct ld_model_spec *
model_of(const struct fleet *f, const struct sim_server *v)
{
	return &f->models[strcmp(v->join.model, "m0") == 0 ? LARGE : SMALL];
}

static int
index_of_model(const char *name)
{
	return strcmp(name, "m0") == 0 ? LARGE : SMALL;
}

static void
publish(struct fleet *f, int i)
{
	struct sim_server *v = &f->s[i];
	struct ld_server_entry e;
	char text[32];

	if (!v->listed)
		return;
	snprintf(text, sizeof(text), "s%03d", i);
	e = engine_entry(text, "z1");
	e.started_ms = 1;
	snprintf(text, sizeof(text), "d%d", v->domain);
	e.domain = ld_strdup(text);
	if (v->staged >= 0) {
		e.staged = ld_alloc(sizeof(*e.staged));
		e.staged[0] = ld_strdup(f->models[v->staged].name);
		e.staged_count = 1;
	}
	e.member.state = v->state;
	if (v->in_group) {
		e.member.group = ld_strdup(v->join.group);
		e.member.epoch = v->join.epoch;
		while (strcmp(v->join.members[e.member.rank], e.id) != 0)
			e.member.rank++;
	}
	if (v->last >= 0)
		e.member.model = ld_strdup(f->models[v->last].name);
	ld_servers_put(f->t, &e, f->now);
}

static void
add_server(struct fleet *f, int domain, uint64_t registers_ms)
{
	struct sim_server *v = &f->s[f->n];

	*v = (struct sim_server){.registers_ms = registers_ms,
	    .domain = domain,
	    .staged = -1,
	    .last = -1,
	    .loading = -1};
	f->n++;
}

static int
index_of(const char *id)
{
	return (int)strtol(id + 1, NULL, 10);
}

/* Every member is ready; with @living unset, a lost one counts if it was ready
 * when it was lost. */
static bool
all_ready(const struct fleet *f, const struct sim_server *head, bool living)
{
	for (size_t i = 0; i < head->join.member_count; i++) {
		const struct sim_server *v =
		    &f->s[index_of(head->join.members[i])];

		if ((living && v->dead) || !v->in_group ||
		    v->join.epoch != head->join.epoch ||
		    (v->state != LD_MEMBER_READY && v->state != LD_MEMBER_OPEN))
			return false;
	}
	return true;
}

static bool
is_complete(const struct fleet *f, const struct sim_server *head)
{
	return all_ready(f, head, true);
}

/* The head of the server's group serves, or is about to open. */
static bool
head_may_serve(const struct fleet *f, const struct sim_server *v)
{
	const struct sim_server *head;

	if (!v->in_group)
		return false;
	head = &f->s[index_of(v->join.members[0])];
	return !head->dead && head->in_group &&
	    head->join.epoch == v->join.epoch &&
	    (head->state == LD_MEMBER_OPEN || head->opening);
}

static void
begin_load(struct fleet *f, struct sim_server *v, int model)
{
	if (v->loading == model)
		return;
	v->loading = model;
	v->load_left_ms = (double)f->models[model].load_ms;
}

static void
join(struct fleet *f, int i, const struct ld_order *o)
{
	struct sim_server *v = &f->s[i];
	int model = index_of_model(o->model);

	if (v->in_group && v->join.epoch == o->epoch)
		return;
	f->unsafe_joins += head_may_serve(f, v);
	v->join = *o;
	v->in_group = true;
	v->opening = false;
	v->state = LD_MEMBER_JOINING;
	v->waits_for_load = false;
	if (v->last == model)
		v->until_ms = f->now + JOIN_AGAIN_MS;
	else if (v->staged == model)
		v->until_ms = f->now + f->models[model].stage_ms;
	else {
		v->waits_for_load = true;
		v->until_ms = 0;
		begin_load(f, v, model);
	}
	publish(f, i);
}

static enum ld_order_result
carry_out(struct fleet *f, int i, const struct ld_order *o)
{
	struct sim_server *v = &f->s[i];
	bool of_group = v->in_group && v->join.epoch == o->epoch &&
	    strcmp(v->join.group, o->group) == 0;

	if (o->type == LD_ORDER_STAGE) {
		if (v->staged != index_of_model(o->model))
			begin_load(f, v, index_of_model(o->model));
		return LD_ORDER_BEGUN;
	}
	if (o->type == LD_ORDER_JOIN) {
		join(f, i, o);
		return LD_ORDER_BEGUN;
	}
	if (!of_group)
		return LD_ORDER_MISFIT;
	if (o->type == LD_ORDER_OPEN) {
		f->early_opens += !all_ready(f, v, false);
		v->opening = true;
		v->until_ms = f->now + FORM_MS;
	} else if (o->type == LD_ORDER_CLOSE) {
		v->opening = false;
		v->state = LD_MEMBER_READY;
		publish(f, i);
	} else {
		v->in_group = v->opening = false;
		v->state = LD_MEMBER_NONE;
		publish(f, i);
	}
	return LD_ORDER_DONE;
}

static void
end_transition(struct fleet *f, int i)
{
	struct sim_server *v = &f->s[i];

	v->until_ms = 0;
	if (v->opening) {
		v->opening = false;
		v->state = LD_MEMBER_OPEN;
	} else if (v->state == LD_MEMBER_JOINING) {
		v->state = LD_MEMBER_READY;
		v->last = index_of_model(v->join.model);
		v->staged = v->last;
	}
	publish(f, i);
}

/* Loads beyond the weight store's concurrency limit share its rate. Before the
 * first request, loads take a tenth of the time and have no limit. */
static void
advance_loads(struct fleet *f)
{
	double rate = 1.0;
	int active = 0;

	for (int i = 0; i < f->n; i++)
		active += !f->s[i].dead && f->s[i].loading >= 0;
	if (f->now < f->traffic_start_ms)
		rate = 10.0;
	else if (active > (int)f->scenario->loads_at_once)
		rate = (double)f->scenario->loads_at_once / active;
	for (int i = 0; i < f->n; i++) {
		struct sim_server *v = &f->s[i];

		if (v->dead || v->loading < 0)
			continue;
		v->load_left_ms -= rate * STEP_MS;
		if (v->load_left_ms > 0)
			continue;
		v->staged = v->loading;
		v->loading = -1;
		if (v->waits_for_load &&
		    v->staged == index_of_model(v->join.model)) {
			v->waits_for_load = false;
			v->until_ms = f->now + STEP_MS;
		}
		publish(f, i);
	}
}

static void
raise_alarm(struct fleet *f, const struct sim_server *v)
{
	ld_groups_alarm(f->g, ld_str_c(v->join.group), v->join.epoch, f->now);
}

static void
advance(struct fleet *f)
{
	advance_loads(f);
	for (int i = 0; i < f->n; i++) {
		struct sim_server *v = &f->s[i];
		char id[16];

		if (v->registers_ms != 0 && f->now >= v->registers_ms) {
			v->registers_ms = 0;
			v->listed = true;
			publish(f, i);
		}
		if (!v->dead && v->until_ms != 0 && f->now >= v->until_ms)
			end_transition(f, i);
		if (!v->dead)
			continue;
		if (v->in_group && f->now >= v->dead_ms + SILENCE_MS)
			raise_alarm(f, v);
		if (v->listed && f->now >= v->dead_ms + ENTRY_LAPSES_MS) {
			v->listed = false;
			snprintf(id, sizeof(id), "s%03d", i);
			ld_servers_remove(f->t, ld_str_c(id), f->now);
		}
	}
}

static void
run_tick(struct fleet *f)
{
	struct ld_group_change c;
	struct ld_order o;
	struct ld_probe p;

	ld_groups_tick(
	    f->g, f->t, LD_STR("llm"), &f->spec, true, INT64_MAX, f->now);
	while (ld_groups_next_change(f->g, &c))
		;
	while (ld_groups_next_order(f->g, &o)) {
		int i = index_of(o.server);

		ld_groups_on_order_result(f->g, &o,
		    f->s[i].dead ? LD_ORDER_SILENT : carry_out(f, i, &o),
		    f->now);
	}
	while (ld_groups_next_probe(f->g, &p)) {
		int i = index_of(p.server);
		struct ld_server *v = ld_servers_find(f->t, ld_str_c(p.server));

		ld_groups_on_probe_result(f->g, &p,
		    f->s[i].dead || v == NULL ? NULL : &v->entry, f->now);
	}
}

static void
count_open(const struct fleet *f, size_t open[2])
{
	open[LARGE] = open[SMALL] = 0;
	for (int i = 0; i < f->n; i++) {
		const struct sim_server *v = &f->s[i];

		if (!v->dead && v->state == LD_MEMBER_OPEN && is_complete(f, v))
			open[model_of(f, v) == &f->models[LARGE] ? LARGE
								 : SMALL]++;
	}
}

/* Loses a random member that is ready or open. */
static void
lose_member(struct fleet *f)
{
	for (int tries = 0; tries < 1000; tries++) {
		struct sim_server *v =
		    &f->s[ld_rand_below(&f->rand, (uint64_t)f->n)];

		if (v->dead || !v->in_group ||
		    (v->state != LD_MEMBER_READY && v->state != LD_MEMBER_OPEN))
			continue;
		f->groups_hit[index_of_model(v->join.model)] +=
		    is_complete(f, &f->s[index_of(v->join.members[0])]);
		v->dead = true;
		v->dead_ms = f->now;
		return;
	}
}

static void
run_scenario(struct fleet *f, const struct scenario *scenario, uint64_t seed)
{
	uint64_t end_ms;

	memset(f, 0, sizeof(*f));
	f->scenario = scenario;
	f->now = 1000;
	ld_rand_seed(&f->rand, seed);
	f->models[LARGE] = (struct ld_model_spec){.name = (char *)"m0",
	    .size = scenario->sizes[LARGE],
	    .work_share = 0.5,
	    .pace = 1.0,
	    .load_ms = 16000,
	    .stage_ms = 1600};
	f->models[SMALL] = (struct ld_model_spec){.name = (char *)"m1",
	    .size = scenario->sizes[SMALL],
	    .work_share = 0.5,
	    .pace = 0.6,
	    .load_ms = 12000,
	    .stage_ms = 1100};
	f->spec = (struct ld_engine_spec){.slots = 20,
	    .loads_per_s = scenario->loads_per_s,
	    .loads_at_once = scenario->loads_at_once,
	    .models = f->models,
	    .model_count = 2};
	f->g = ld_groups_new(f->now, true, STALL_MS);
	f->t = ld_servers_new();
	for (int d = 0; d < scenario->domains; d++)
		for (int i = 0; i < scenario->domain_servers; i++)
			add_server(f, d,
			    f->now + REGISTERS_FROM_MS +
				ld_rand_below(&f->rand, REGISTERS_SPREAD_MS));
	f->traffic_start_ms = f->now + scenario->lead_ms;
	end_ms = f->traffic_start_ms + scenario->duration_ms;
	ld_groups_lead(f->g, 3, f->now);
	for (; f->now < end_ms; f->now += STEP_MS) {
		uint64_t elapsed_ms = f->now < f->traffic_start_ms
		    ? 0
		    : f->now - f->traffic_start_ms;
		size_t open[2];

		advance(f);
		if (f->now >= f->traffic_start_ms)
			ld_groups_note_traffic(f->g);
		run_tick(f);
		if (f->now < f->traffic_start_ms)
			continue;
		count_open(f, open);
		for (int m = 0; m < 2; m++) {
			f->open_ms[m] += (double)open[m] * STEP_MS;
			if (elapsed_ms == 0)
				f->at_start[m] = open[m];
		}
		if (elapsed_ms > 0 && elapsed_ms % scenario->loss_ms == 0) {
			lose_member(f);
			lose_member(f);
		}
		if (elapsed_ms > 0 && elapsed_ms % scenario->added_ms == 0) {
			int d = (int)ld_rand_below(
			    &f->rand, (uint64_t)scenario->domains);

			add_server(f, d, f->now);
			add_server(f, d, f->now);
		}
	}
}

static void
fleet_close(struct fleet *f)
{
	ld_groups_free(f->g);
	ld_servers_free(f->t);
}

/** struct outcome - means over the simulated runs */
struct outcome {
	double unavailable_ms[2]; /* per group that lost a member */
	double serving[2]; /* share of the initial groups that serve */
	double at_start[2];
};

static struct outcome
run_seeds(const struct scenario *scenario, uint64_t seeds)
{
	double missing[2] = {0}, groups_hit[2] = {0}, served[2] = {0};
	struct outcome r = {{0}, {0}, {0}};
	static struct fleet f;

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		run_scenario(&f, scenario, seed);
		CU_ASSERT_EQUAL(f.early_opens, 0);
		CU_ASSERT_EQUAL(f.unsafe_joins, 0);
		for (int m = 0; m < 2; m++) {
			double full = (double)f.at_start[m] *
			    (double)scenario->duration_ms;

			missing[m] += full - f.open_ms[m];
			groups_hit[m] += f.groups_hit[m];
			served[m] += f.open_ms[m] / full / (double)seeds;
			r.at_start[m] += (double)f.at_start[m] / (double)seeds;
		}
		fleet_close(&f);
	}
	for (int m = 0; m < 2; m++) {
		r.unavailable_ms[m] =
		    groups_hit[m] > 0 ? missing[m] / groups_hit[m] : 0;
		r.serving[m] = served[m];
		printf("%d servers, groups of %u: %.1f at the start, %.3f of "
		       "them serve, a loss costs one for %.1f s\n",
		    scenario->domains * scenario->domain_servers,
		    scenario->sizes[m], r.at_start[m], r.serving[m],
		    r.unavailable_ms[m] / 1000);
	}
	return r;
}

#define SEEDS 12
/* Allowed mean unavailability of a large group per loss: 1 s to detect the
 * loss, 1.5 s to end a small group, 1.6 s to join, 0.3 s to open, and a load
 * of 16 s in one loss of ten. */
#define LARGE_OUT_MAX_MS 6000

static void
check_losses(const struct scenario *scenario, int large, int small)
{
	struct outcome r = run_seeds(scenario, SEEDS);

	/* Every domain has its full set of groups when traffic starts. */
	CU_ASSERT_EQUAL((int)(r.at_start[LARGE] + 0.5), large);
	CU_ASSERT_EQUAL((int)(r.at_start[SMALL] + 0.5), small);
	CU_ASSERT(r.unavailable_ms[LARGE] < LARGE_OUT_MAX_MS);
	/* Half of the small model's groups are enough for its load. */
	CU_ASSERT(r.serving[SMALL] > 0.5);
}

/*
 * Seen on further-grown scale-1: with two servers of 162 lost every 3 s,
 * groups of the large model fell from nine to three, and two in three of its
 * requests were late or refused, while the small model's groups had half of
 * their capacity free.
 */
static void
test_losses_at_162_servers(void)
{
	static const struct scenario scenario = {.domains = 9,
	    .domain_servers = 18,
	    .sizes = {8, 2},
	    .loads_per_s = 14,
	    .loads_at_once = 20,
	    .lead_ms = 14000,
	    .duration_ms = 34000,
	    .loss_ms = 3000,
	    .added_ms = 4000};

	check_losses(&scenario, 9, 45);
}

/* The same on a small deployment, where each loss takes one server in 30. */
static void
test_losses_at_60_servers(void)
{
	static const struct scenario scenario = {.domains = 6,
	    .domain_servers = 10,
	    .sizes = {4, 2},
	    .loads_per_s = 5,
	    .loads_at_once = 7,
	    .lead_ms = 10000,
	    .duration_ms = 34000,
	    .loss_ms = 3000,
	    .added_ms = 4000};

	check_losses(&scenario, 6, 18);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"losses at 162 servers", test_losses_at_162_servers},
	    {"losses at 60 servers", test_losses_at_60_servers},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("groups losses", cases);
}
