/*
 * A scripted day of the whole fleet for the placement decisions: the real
 * controllers of seven fabric domains, model engines, one weight store.
 */
#ifndef PLACEMENT_MODEL_H
#define PLACEMENT_MODEL_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ld_replica.h"

#define PM_STEP_MS UINT64_C(5000)
#define PM_MS_PER_MINUTE UINT64_C(60000)
#define PM_DAY_MS (UINT64_C(1440) * PM_MS_PER_MINUTE)
/* The initial formation of replicas is not part of the measured day. */
#define PM_WARM_UP_MS (90 * PM_MS_PER_MINUTE)
#define PM_DOMAINS 7
#define PM_DOMAIN_MAX 100
#define PM_ACCELERATORS 8
#define PM_LARGE_SIZE 32
#define PM_SMALL_SIZE 2
#define PM_REPORT_TTL_MS 60000U
/* Duration of a single load; loads beyond the store's rate share it. */
#define PM_LOAD_MS 120000U
#define PM_RELOAD_MS 15000
#define PM_STORE_LOADS 32
#define PM_REFILL_MS (20 * PM_MS_PER_MINUTE)
#define PM_RESTART_MS (3 * PM_MS_PER_MINUTE)
#define PM_NOTICE_MS (5 * PM_MS_PER_MINUTE)
#define PM_DARK_MS (30 * PM_MS_PER_MINUTE)
#define PM_REQUEST_MS (2 * PM_MS_PER_MINUTE)
#define PM_FAILURES 16
#define PM_PLANNED 70
#define PM_UNPLANNED 30
#define PM_EVENTS (PM_FAILURES + PM_PLANNED + PM_UNPLANNED)

/* 600 servers; three or two replicas of 32 a domain make 18. */
static const int pm_sizes[PM_DOMAINS] = {100, 100, 100, 100, 67, 67, 66};
static const int pm_wanted[PM_DOMAINS] = {3, 3, 3, 3, 2, 2, 2};

struct pm_engine {
	char address[32];
	bool up;
	bool leaving;
	uint64_t down_ms; /* when it goes down, 0: not planned */
	uint64_t back_ms; /* when it is up again */
	uint32_t run;
	char replica[LD_HEALTH_NAME_MAX];
	char model[LD_HEALTH_NAME_MAX];
	char weights[LD_HEALTH_NAME_MAX];
	uint64_t epoch;
	double left_ms; /* remaining of the load in progress */
	bool from_store;
	bool ready;
	uint64_t idle_ms; /* when a drained head has finished */
	uint64_t told; /* state last reported to the controller */
	uint64_t told_ms;
};

struct pm_domain {
	struct ld_replica *c;
	int size;
	int wanted;
	struct pm_engine e[PM_DOMAIN_MAX];
	char record[65536];
	uint64_t revision;
};

enum pm_kind {
	PM_FAIL,
	PM_PLAN,
	PM_RESTART
};

struct pm_event {
	uint64_t at_ms;
	enum pm_kind kind;
	int domain;
	int engine;
};

struct pm {
	struct ld_rand rand;
	uint64_t now_ms;
	uint64_t day_ms; /* simulated part of the day */
	struct pm_domain d[PM_DOMAINS];
	struct pm_event events[PM_EVENTS];
	int dark_domain;
	uint64_t dark_ms;
	/* Results of the simulated day. */
	double down_minutes; /* replica-minutes below the target */
	double dark_minutes; /* of these, in the domain that lost power */
	double stranded_hours; /* accelerator-hours healthy, not serving */
	double spare_hours; /* of these, in no replica at all */
	uint64_t orders;
	uint64_t writes;
};

/* ---- Engines ---- */

static inline struct pm_engine *
pm_find(struct pm_domain *d, const char *address)
{
	for (int i = 0; i < d->size; i++) {
		if (strcmp(d->e[i].address, address) == 0)
			return &d->e[i];
	}
	return NULL;
}

/* Reports changes, and the full state well within a report's lifetime. */
static inline void
pm_view(struct pm *w, struct pm_domain *d, struct pm_engine *e)
{
	struct ld_health_view v;
	uint64_t sign = e->epoch << 4 | (uint64_t)e->up << 3 |
	    (uint64_t)e->ready << 2 | (uint64_t)(w->now_ms < e->idle_ms) << 1 |
	    (uint64_t)(e->replica[0] != '\0');

	if (sign == e->told && w->now_ms < e->told_ms + PM_REPORT_TTL_MS / 3)
		return;
	e->told = sign;
	e->told_ms = w->now_ms;

	memset(&v, 0, sizeof(v));
	snprintf(v.address, sizeof(v.address), "%s", e->address);
	snprintf(v.replica, sizeof(v.replica), "%s", e->replica);
	snprintf(v.incarnation, sizeof(v.incarnation), "run%u", e->run);
	v.state = e->up ? LD_HEALTH_LIVE : LD_HEALTH_DEAD;
	v.fresh = e->up;
	v.ready = e->ready;
	v.epoch = e->epoch;
	v.running = e->replica[0] != '\0' && w->now_ms < e->idle_ms;
	ld_replica_on_view(d->c, &v, w->now_ms);
}

static inline void
pm_go_down(struct pm_engine *e, uint64_t back_ms)
{
	e->up = false;
	e->leaving = false;
	e->down_ms = 0;
	e->back_ms = back_ms;
	e->replica[0] = '\0';
	e->weights[0] = '\0';
	e->epoch = 0;
	e->ready = false;
}

/* Instances are numbered in the order of the first list. */
static inline void
pm_list(struct pm *w, struct pm_domain *d)
{
	struct ld_replica_instance list[PM_DOMAIN_MAX];

	for (int i = 0; i < d->size; i++)
		list[i] = (struct ld_replica_instance){
		    ld_str_c(d->e[i].address), d->e[i].leaving};
	ld_replica_set_instances(d->c, list, (size_t)d->size, w->now_ms);
}

static inline int
pm_count_loading(const struct pm *w)
{
	int n = 0;

	for (int i = 0; i < PM_DOMAINS; i++) {
		for (int k = 0; k < w->d[i].size; k++) {
			const struct pm_engine *e = &w->d[i].e[k];

			n += e->up && e->replica[0] != '\0' && !e->ready &&
			    e->from_store;
		}
	}
	return n;
}

static inline void
pm_engine_step(
    struct pm *w, struct pm_domain *d, struct pm_engine *e, double share)
{
	if (e->down_ms != 0 && w->now_ms >= e->down_ms) {
		pm_go_down(e, w->now_ms + PM_RESTART_MS);
		pm_list(w, d);
	}
	if (!e->up && w->now_ms >= e->back_ms) {
		e->up = true;
		e->run++;
	}
	if (!e->up || e->replica[0] == '\0' || e->ready)
		return;
	e->left_ms -= e->from_store ? PM_STEP_MS * share : PM_STEP_MS;
	if (e->left_ms > 0)
		return;
	e->ready = true;
	memcpy(e->weights, e->model, sizeof(e->weights));
}

static inline void
pm_order(struct pm *w, struct pm_domain *d, const struct ld_replica_order *o)
{
	struct pm_engine *e = pm_find(d, o->address);

	w->orders++;
	if (e == NULL || !e->up)
		return;
	if (!o->load) {
		e->replica[0] = '\0';
		e->epoch = 0;
		e->ready = false;
		return;
	}
	memcpy(e->replica, o->replica, sizeof(e->replica));
	memcpy(e->model, o->model, sizeof(e->model));
	e->epoch = o->epoch;
	e->ready = false;
	e->from_store = strcmp(e->weights, o->model) != 0;
	e->left_ms = e->from_store ? PM_LOAD_MS : PM_RELOAD_MS;
	e->idle_ms = UINT64_MAX; /* busy until it is drained */
}

/* ---- Store ---- */

static inline void
pm_act(struct pm *w, struct pm_domain *d)
{
	struct ld_replica_action a;

	while (ld_replica_next_action(d->c, &a)) {
		struct ld_replica_store_result r = {.lease = 1};

		r.revision = d->revision;
		switch (a.type) {
		case LD_REPLICA_ORDER:
			pm_order(w, d, &a.order);
			continue;
		case LD_REPLICA_CONTROL_READ:
			r.status = LD_E_NOT_FOUND;
			break;
		case LD_REPLICA_CONTROL_CREATE:
			r.revision = 1;
			break;
		case LD_REPLICA_RECORD_READ:
			r.status = d->revision == 0 ? LD_E_NOT_FOUND : LD_OK;
			r.value = ld_str_c(d->record);
			break;
		case LD_REPLICA_RECORD_WRITE:
			snprintf(d->record, sizeof(d->record), "%.*s",
			    LD_FMT(a.value));
			r.revision = d->revision = d->revision + 2;
			w->writes++;
			break;
		default:
			break;
		}
		ld_replica_on_store_result(d->c, a.call, &r, w->now_ms);
	}
}

/* ---- Measurements ---- */

static inline bool
pm_whole(struct pm_domain *d, const struct ld_replica_entry *r)
{
	for (uint16_t m = 0; m < r->member_count; m++) {
		const struct pm_engine *e = pm_find(
		    d, ld_replica_instance_address(d->c, r->members[m]));

		if (e == NULL || !e->up || !e->ready || e->epoch != r->epoch ||
		    strcmp(e->replica, r->id) != 0)
			return false;
	}
	return true;
}

static inline void
pm_measure(struct pm *w, int domain)
{
	struct pm_domain *d = &w->d[domain];
	const struct ld_replica_record *r = ld_replica_record(d->c);
	double minutes = (double)PM_STEP_MS / (double)PM_MS_PER_MINUTE;
	int serving = 0, at_work = 0, placed = 0, up = 0;

	for (uint16_t i = 0; i < r->count; i++) {
		const struct ld_replica_entry *e = &r->replicas[i];
		bool whole = pm_whole(d, e);

		if (e->member_count > 1)
			placed += e->member_count;
		if (whole && e->state != LD_REPLICA_FORMING)
			at_work += e->member_count;
		serving += whole && e->state == LD_REPLICA_SERVING &&
		    e->member_count == PM_LARGE_SIZE;
	}
	for (int i = 0; i < d->size; i++)
		up += d->e[i].up;
	if (serving < d->wanted) {
		w->down_minutes += (d->wanted - serving) * minutes;
		if (domain == w->dark_domain)
			w->dark_minutes += (d->wanted - serving) * minutes;
	}
	w->stranded_hours += (up - at_work) * PM_ACCELERATORS * minutes / 60;
	if (up > placed)
		w->spare_hours +=
		    (up - placed) * PM_ACCELERATORS * minutes / 60;
}

/* ---- The day ---- */

/* A draining head finishes its requests within one request duration. */
static inline void
pm_drains(struct pm *w, struct pm_domain *d)
{
	const struct ld_replica_record *r = ld_replica_record(d->c);

	for (uint16_t i = 0; i < r->count; i++) {
		const struct ld_replica_entry *e = &r->replicas[i];
		struct pm_engine *head = pm_find(
		    d, ld_replica_instance_address(d->c, e->members[0]));

		if (head == NULL)
			continue;
		if (e->state == LD_REPLICA_DRAINING &&
		    head->idle_ms == UINT64_MAX)
			head->idle_ms = w->now_ms + PM_REQUEST_MS / 4 +
			    ld_rand_below(&w->rand, PM_REQUEST_MS * 3 / 4);
		if (e->state == LD_REPLICA_SERVING)
			head->idle_ms = UINT64_MAX;
	}
}

static inline void
pm_event(struct pm *w, const struct pm_event *ev)
{
	struct pm_engine *e = &w->d[ev->domain].e[ev->engine];

	if (!e->up || e->down_ms != 0)
		return;
	if (ev->kind == PM_FAIL) {
		pm_go_down(e, w->now_ms + PM_REFILL_MS);
	} else if (ev->kind == PM_RESTART) {
		pm_go_down(e, w->now_ms + PM_RESTART_MS);
	} else {
		e->leaving = true;
		e->down_ms = w->now_ms + PM_NOTICE_MS;
	}
	pm_list(w, &w->d[ev->domain]);
}

static inline void
pm_dark(struct pm *w)
{
	struct pm_domain *d = &w->d[w->dark_domain];

	for (int i = 0; i < d->size; i++)
		/* Power returns to all at once; processes start within a minute. */
		pm_go_down(&d->e[i],
		    w->now_ms + PM_DARK_MS +
			ld_rand_below(&w->rand, PM_MS_PER_MINUTE));
}

static inline void
pm_domain_step(struct pm *w, int i, double share)
{
	struct pm_domain *d = &w->d[i];

	for (int k = 0; k < d->size; k++) {
		pm_engine_step(w, d, &d->e[k], share);
		pm_view(w, d, &d->e[k]);
	}
	pm_drains(w, d);
	ld_replica_tick(d->c, w->now_ms);
	pm_act(w, d);
}

static inline void
pm_step(struct pm *w, uint64_t day_ms)
{
	int loading = pm_count_loading(w);
	double share =
	    loading > PM_STORE_LOADS ? (double)PM_STORE_LOADS / loading : 1.0;

	for (int i = 0; i < PM_EVENTS; i++) {
		if (w->events[i].at_ms >= day_ms &&
		    w->events[i].at_ms < day_ms + PM_STEP_MS)
			pm_event(w, &w->events[i]);
	}
	if (w->dark_ms >= day_ms && w->dark_ms < day_ms + PM_STEP_MS)
		pm_dark(w);
	for (int i = 0; i < PM_DOMAINS; i++)
		pm_domain_step(w, i, share);
	w->now_ms += PM_STEP_MS;
}

static inline void
pm_script(struct pm *w)
{
	for (int i = 0; i < PM_EVENTS; i++) {
		struct pm_event *e = &w->events[i];
		uint64_t server = ld_rand_below(&w->rand, 600);

		e->at_ms = ld_rand_below(&w->rand, PM_DAY_MS);
		e->kind = i < PM_FAILURES	   ? PM_FAIL
		    : i < PM_FAILURES + PM_PLANNED ? PM_PLAN
						   : PM_RESTART;
		while (server >= (uint64_t)pm_sizes[e->domain])
			server -= (uint64_t)pm_sizes[e->domain++];
		e->engine = (int)server;
	}
	w->dark_domain = (int)ld_rand_below(&w->rand, PM_DOMAINS);
	w->dark_ms = w->day_ms / 4 + ld_rand_below(&w->rand, w->day_ms / 2);
}

/** struct pm_setting - parameters of a compared variant */
struct pm_setting {
	const char *name;
	double downtime_weight;
	double stranded_weight;
	int fixed_spares; /* negative: by the weights */
};

static inline void
pm_config(struct ld_replica_config *c, const struct pm_setting *s, int domain)
{
	ld_replica_defaults(c);
	c->self = LD_STR("node");
	c->fabric = LD_STR("f");
	c->ttl_ms = 60000;
	c->renew_ms = 20000;
	c->order_retry_ms = 30000;
	c->report_ttl_ms = PM_REPORT_TTL_MS;
	c->plan.downtime_weight = s->downtime_weight;
	c->plan.stranded_weight = s->stranded_weight;
	c->plan.fixed_spares = s->fixed_spares;
	c->plan.accelerators = PM_ACCELERATORS;
	c->plan.loss_per_day = 1000U * PM_EVENTS / 600U;
	c->plan.refill_ms = (uint32_t)PM_REFILL_MS;
	c->plan.drain_ms = (uint32_t)PM_REQUEST_MS;
	c->plan.load_ms = PM_LOAD_MS;
	c->plan.settle_ms = 30000;
	c->plan.max_loads = 16;
	c->plan.models[0] = (struct ld_replica_model){
	    LD_STR("large"), PM_LARGE_SIZE, (uint16_t)pm_wanted[domain], false};
	c->plan.models[1] =
	    (struct ld_replica_model){LD_STR("small"), PM_SMALL_SIZE, 0, true};
	c->plan.model_count = 2;
}

static inline void
pm_run(struct pm *w, uint64_t seed, const struct pm_setting *s, uint64_t day_ms)
{
	struct ld_replica_config c;

	memset(w, 0, sizeof(*w));
	ld_rand_seed(&w->rand, seed);
	w->now_ms = PM_STEP_MS;
	w->day_ms = day_ms;
	pm_script(w);
	for (int i = 0; i < PM_DOMAINS; i++) {
		struct pm_domain *d = &w->d[i];

		pm_config(&c, s, i);
		d->size = pm_sizes[i];
		d->wanted = pm_wanted[i];
		d->c = ld_replica_new(&c, w->now_ms);
		for (int k = 0; k < d->size; k++) {
			snprintf(d->e[k].address, sizeof(d->e[k].address),
			    "10.%d.0.%d:9100", i + 1, k + 1);
			d->e[k].up = true;
		}
		pm_list(w, d);
	}
	for (uint64_t t = 0; t < PM_WARM_UP_MS; t += PM_STEP_MS)
		pm_step(w, UINT64_MAX - PM_STEP_MS);
	for (uint64_t t = 0; t < day_ms; t += PM_STEP_MS) {
		pm_step(w, t);
		for (int i = 0; i < PM_DOMAINS; i++)
			pm_measure(w, i);
	}
	for (int i = 0; i < PM_DOMAINS; i++)
		ld_replica_free(w->d[i].c);
}

#endif
