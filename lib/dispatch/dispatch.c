/* Selection of a server for a request, by the shortest predicted wait. */
#include <math.h>
#include <string.h>

#include "ld_dispatch.h"

/* How long a failed server is avoided, doubled for each consecutive failure,
 * ms: from some round trips up to the time after which an entry that isn't
 * renewed expires. */
#define SUSPECT_MIN_MS 250
#define SUSPECT_MAX_MS 4000
/* How long a server that was full is avoided, ms: a few passes of an engine. */
#define FULL_BACKOFF_MS 60
/* Added cost of a server without engine in another failure domain, ms: about a
 * round trip between domains. */
#define REMOTE_SERVER_COST_MS 8
/* Scale of the random draw of a group, ms: its weight falls by a factor of e
 * for each DRAW_SCALE_MS of cost. About the wait that is added to a group by
 * what several nodes send it within the delay of their load reports. */
#define DRAW_SCALE_MS 20
/* Added cost of a group in another failure domain, ms. Traffic between domains
 * costs money: with this value a twentieth of the requests goes there unless
 * the groups of this domain are full. */
#define REMOTE_GROUP_COST_MS (3 * DRAW_SCALE_MS)
/* Added cost of a group to which this node has no open connection, ms: it would
 * have to set one up. As a result each node uses a few groups only. */
#define COLD_GROUP_COST_MS (2 * DRAW_SCALE_MS)
/* Servers keep an idle connection open for at least this time, ms. */
#define CONNECTION_IDLE_MS 1000
/* Minimum number of free slots assumed for a group: requests that finish
 * meanwhile free some. */
#define FREE_SLOTS_MIN 0.25
/* Weight of one first event in the moving average of the bias, once there were
 * many, and upper bound of one sample, ms: a lost packet costs 200 ms and isn't
 * the engine's. */
#define BIAS_WEIGHT 0.05
#define BIAS_MAX_MS 200
/* Time after which a refused request may be retried, if none can be predicted,
 * ms. */
#define RETRY_AFTER_MS 400
/* Upper bound of that time for a request that limits keep away, ms. */
#define LIMITED_RETRY_MAX_MS 30000
#define US_PER_MS 1000.0

const char *
ld_dispatch_verdict_name(enum ld_dispatch_verdict v)
{
	static const char *const names[] = {
	    "send", "no-server", "limited", "too-late"};

	return names[v];
}

/* Time to prefill @tokens. Prefill runs in chunks between the steps of
 * generating requests: at most one chunk per step. */
static double
prefill_ms(
    const struct ld_engine_spec *e, double pace, double step, double tokens)
{
	double ms = 0;

	if (e->prefill_per_s > 0)
		ms = tokens * 1000.0 / e->prefill_per_s;
	if (e->chunk_tokens > 0)
		ms += step * tokens / e->chunk_tokens;
	return pace * ms;
}

static const struct ld_model_spec *
model_of(const struct ld_engine_spec *e, const struct ld_server *head)
{
	const char *name = head->entry.member.model;

	return name != NULL ? ld_engine_model(e, ld_str_c(name)) : NULL;
}

/* Duration of one step with @running requests, in ms at pace 1. */
static double
step_ms(const struct ld_engine_spec *e, double running)
{
	return (e->step_us + running * e->step_per_request_us) / US_PER_MS;
}

uint64_t
ld_dispatch_first_ms(const struct ld_engine_spec *e,
    const struct ld_server *head, uint64_t prompt_tokens, uint64_t now_ms)
{
	const struct ld_model_spec *m = model_of(e, head);
	double pace = m != NULL ? m->pace : 1.0;
	double running = head->active + head->peer_active;
	double step = step_ms(e, running < e->slots ? running : e->slots);
	double prefill_left_ms = head->prefill_done_ms - (double)now_ms;
	double wait_ms;

	/* Half a pass until the current one ends, and one whole pass after
	 * which the first event is sent. */
	wait_ms = 1.5 * e->steps_per_pass * step;
	/* Without a free slot, other answers have to finish first. */
	if (running >= e->slots)
		wait_ms += (running - e->slots + 1) * e->usual_answer_tokens *
		    step / e->slots;
	return (uint64_t)((prefill_left_ms > 0 ? prefill_left_ms : 0) +
	    prefill_ms(e, pace, step, (double)prompt_tokens) + pace * wait_ms);
}

void
ld_dispatch_prompt_sent(const struct ld_service_spec *service,
    struct ld_server *head, uint64_t tokens, uint64_t now_ms)
{
	const struct ld_engine_spec *e;
	const struct ld_model_spec *m;
	double running = head->active + head->peer_active;

	if (service == NULL || service->engine.model_count == 0)
		return;
	e = &service->engine;
	m = model_of(e, head);
	if (head->prefill_done_ms < (double)now_ms)
		head->prefill_done_ms = (double)now_ms;
	head->prefill_done_ms += prefill_ms(e, m != NULL ? m->pace : 1.0,
	    step_ms(e, running < e->slots ? running : e->slots),
	    (double)tokens);
}

/* The same of this server, which may be slower than the others. */
static uint64_t
slow_first_ms(const struct ld_engine_spec *e, const struct ld_server *head,
    uint64_t prompt_tokens, uint64_t now_ms)
{
	return (uint64_t)(head->slowness *
	    (double)ld_dispatch_first_ms(e, head, prompt_tokens, now_ms));
}

static bool
was_tried(const struct ld_dispatch_request *rq, const struct ld_server *s)
{
	for (size_t i = 0; i < rq->tried_count; i++)
		if (strcmp(rq->tried[i], s->entry.id) == 0)
			return true;
	return false;
}

static bool
is_eligible(struct ld_servers *servers, const struct ld_dispatch_request *rq,
    const struct ld_server *s)
{
	const struct ld_engine_spec *e = &rq->service->engine;
	const struct ld_model_spec *m;

	if (!s->listed || s->entry.leaving || s->evacuated ||
	    !ld_str_eq(ld_str_c(s->entry.service), ld_str_c(rq->service->name)))
		return false;
	if (e->model_count == 0)
		return true;
	m = model_of(e, s);
	return m != NULL && ld_str_eq(ld_str_c(m->name), rq->model) &&
	    ld_servers_group_complete(servers, s, m->size);
}

static bool
is_remote(const struct ld_dispatch_request *rq, const struct ld_server *s)
{
	return !ld_str_eq(ld_str_c(s->entry.zone), rq->zone);
}

/* Servers that are used only if there is no other. */
static bool
is_last_resort(const struct ld_dispatch_request *rq, const struct ld_server *s,
    uint64_t now_ms)
{
	return now_ms < s->suspect_until_ms || was_tried(rq, s);
}

/* Lower is better; @random breaks ties. */
static double
plain_cost(const struct ld_dispatch_request *rq, const struct ld_server *s,
    double random)
{
	double waiting = s->active + s->peer_active;

	return 10.0 * (s->slowness * (1 + waiting) - 1) +
	    (is_remote(rq, s) ? REMOTE_SERVER_COST_MS : 0) + random;
}

/*
 * Lower is better. Many nodes choose by slightly outdated load reports: if each
 * took the best group, all would take the same one, whose slots would run out.
 * Therefore a group is drawn at random, with a weight that is proportional to
 * its free slots and falls exponentially with its wait. Taking the minimum of
 * the costs less a Gumbel variate is such a draw.
 */
static double
group_cost(const struct ld_dispatch_request *rq, const struct ld_server *s,
    uint64_t predicted_ms, uint64_t now_ms, double random)
{
	double slots = rq->service->engine.slots;
	double free = slots - (s->active + s->peer_active);
	double cost = (double)predicted_ms;

	if (is_remote(rq, s))
		cost += REMOTE_GROUP_COST_MS;
	if (s->active == 0 && now_ms >= s->last_byte_ms + CONNECTION_IDLE_MS)
		cost += COLD_GROUP_COST_MS;
	if (free < FREE_SLOTS_MIN)
		free = FREE_SLOTS_MIN;
	return cost - DRAW_SCALE_MS * (log(free) - log(-log(random)));
}

/* Servers that a limit keeps away are remembered up to this number. */
#define DENIED_MAX 128
/* Requests denied within this time are assumed to come back, ms. */
#define BACKLOG_MS 1000
#define MILLI 1000

/** struct denied - servers whose limit keeps the request away */
struct denied {
	struct ld_server *servers[DENIED_MAX];
	double costs[DENIED_MAX];
	size_t n;
};

/** struct draw - best candidate so far */
struct draw {
	struct ld_server *server;
	double cost;
	bool is_last_resort;
	struct ld_server *soonest; /* shortest wait, except last resorts */
	uint64_t soonest_ms;
	struct denied denied;
};

/* Whether the server's limit has room; if not, the server is remembered. */
static bool
is_within_limit(struct draw *d, struct ld_server *s, double cost,
    struct ld_rand *rand, uint64_t now_ms)
{
	struct denied *x = &d->denied;

	if (!ld_server_is_limited(s, now_ms) ||
	    ld_allowance_admits(s->allowance, ld_rand_unit(rand), now_ms))
		return true;
	if (x->n < DENIED_MAX) {
		x->servers[x->n] = s;
		x->costs[x->n++] = cost;
	}
	return false;
}

/* Counts the request at each server that it would have been sent to without
 * its limit, and the limits of the others. */
static void
count_denied(
    const struct draw *d, const struct ld_dispatch_request *rq, uint64_t now_ms)
{
	bool has_server = d->server != NULL && !d->is_last_resort;

	for (size_t i = 0; i < d->denied.n && !rq->repeated; i++)
		if (!has_server || d->denied.costs[i] < d->cost)
			ld_server_note_denied(d->denied.servers[i], now_ms);
}

/* Time until a denied request can be sent, after those denied before it, whose
 * clients come back as well. */
static uint64_t
limits_wait_ms(const struct denied *x, uint64_t now_ms)
{
	uint64_t wait_ms = UINT64_MAX, before = 0, rate_milli = 1;

	for (size_t i = 0; i < x->n; i++) {
		struct ld_allowance *a = x->servers[i]->allowance;
		uint64_t ms = ld_allowance_wait_ms(a, now_ms);
		uint64_t denied = ld_allowance_denied(a, BACKLOG_MS, now_ms);

		rate_milli += ld_allowance_rate(a, now_ms);
		wait_ms = ms < wait_ms ? ms : wait_ms;
		before = denied > before ? denied : before;
	}
	wait_ms += before * MILLI * MILLI / rate_milli;
	return wait_ms < LIMITED_RETRY_MAX_MS ? wait_ms : LIMITED_RETRY_MAX_MS;
}

static void
draw_consider(struct draw *d, const struct ld_dispatch_request *rq,
    struct ld_server *s, struct ld_rand *rand, uint64_t now_ms)
{
	const struct ld_engine_spec *e = &rq->service->engine;
	bool last_resort = is_last_resort(rq, s, now_ms);
	double random = ld_rand_unit(rand), cost;
	uint64_t predicted_ms = 0;

	if (e->model_count > 0) {
		predicted_ms = slow_first_ms(e, s, rq->prompt_tokens, now_ms);
		cost = group_cost(
		    rq, s, predicted_ms, now_ms, random > 0 ? random : 0.5);
	} else {
		cost = plain_cost(rq, s, random);
	}
	if (!last_resort && !is_within_limit(d, s, cost, rand, now_ms))
		return;
	if (!last_resort &&
	    (d->soonest == NULL || predicted_ms < d->soonest_ms)) {
		d->soonest = s;
		d->soonest_ms = predicted_ms;
	}
	if (d->server != NULL &&
	    (last_resort > d->is_last_resort ||
		(last_resort == d->is_last_resort && cost >= d->cost)))
		return;
	d->server = s;
	d->cost = cost;
	d->is_last_resort = last_resort;
}

enum ld_dispatch_verdict
ld_dispatch_pick(struct ld_servers *servers,
    const struct ld_dispatch_request *rq, struct ld_rand *rand, uint64_t now_ms,
    struct ld_dispatch_choice *out)
{
	const struct ld_engine_spec *e = &rq->service->engine;
	uint64_t retry_at_ms = 0; /* earliest end of a server's Retry-After */
	uint64_t bias_ms = rq->bias_ms > 0 ? (uint64_t)rq->bias_ms : 0;
	struct draw d = {0};

	*out = (struct ld_dispatch_choice){.retry_after_ms = RETRY_AFTER_MS};
	for (struct ld_server *s = ld_servers_first(servers); s != NULL;
	     s = s->next) {
		if (!is_eligible(servers, rq, s))
			continue;
		/* Not used even if there is no other. */
		if (now_ms < s->refuses_until_ms) {
			if (retry_at_ms == 0 ||
			    s->refuses_until_ms < retry_at_ms)
				retry_at_ms = s->refuses_until_ms;
			continue;
		}
		out->candidates++;
		draw_consider(&d, rq, s, rand, now_ms);
	}
	count_denied(&d, rq, now_ms);
	out->server = d.server;
	if (d.server == NULL && retry_at_ms > 0)
		out->retry_after_ms = retry_at_ms - now_ms;
	if (d.server == NULL || d.is_last_resort) {
		if (d.denied.n == 0)
			return LD_DISPATCH_NO_SERVER;
		out->retry_after_ms = limits_wait_ms(&d.denied, now_ms);
		return LD_DISPATCH_LIMITED;
	}
	if (e->model_count == 0)
		return LD_DISPATCH_SEND;
	out->predicted_uncorrected_ms =
	    slow_first_ms(e, d.server, rq->prompt_tokens, now_ms);
	/* If the drawn group would be late, use the one that is soonest. */
	if (out->predicted_uncorrected_ms + bias_ms > rq->remaining_ms) {
		out->server = d.soonest;
		out->predicted_uncorrected_ms = d.soonest_ms;
	}
	out->predicted_ms = out->predicted_uncorrected_ms + bias_ms;
	out->expected_ms = bias_ms +
	    ld_dispatch_first_ms(e, out->server, rq->prompt_tokens, now_ms);
	/* A late answer would use capacity that others need to be in time. */
	if (out->predicted_ms > rq->remaining_ms) {
		out->retry_after_ms = out->predicted_ms;
		return LD_DISPATCH_TOO_LATE;
	}
	return LD_DISPATCH_SEND;
}

static size_t
bias_slot(const struct ld_dispatch_bias *b, struct ld_str model)
{
	uint64_t hash = ld_hash64(model, 0);
	size_t i;

	for (i = 0; i < b->n; i++)
		if (b->model[i] == hash)
			break;
	return i;
}

void
ld_dispatch_add_sample(struct ld_dispatch_bias *b, struct ld_str model,
    uint64_t predicted_ms, uint64_t actual_ms)
{
	size_t i = bias_slot(b, model);
	double error_ms = (double)actual_ms - (double)predicted_ms;
	double weight;

	if (i == LD_DISPATCH_MODELS_MAX)
		return;
	if (i == b->n) {
		b->model[i] = ld_hash64(model, 0);
		b->ms[i] = 0;
		b->seen[i] = 0;
		b->n++;
	}
	if (error_ms > BIAS_MAX_MS)
		error_ms = BIAS_MAX_MS;
	if (error_ms < 0)
		error_ms = 0;
	/* Plain mean at first, then an exponential moving average. */
	b->seen[i]++;
	weight = 1.0 / b->seen[i];
	if (weight < BIAS_WEIGHT)
		weight = BIAS_WEIGHT;
	b->ms[i] += weight * (error_ms - b->ms[i]);
}

double
ld_dispatch_bias_ms(const struct ld_dispatch_bias *b, struct ld_str model)
{
	size_t i = bias_slot(b, model);

	return i < b->n ? b->ms[i] : 0;
}

void
ld_dispatch_failed(struct ld_server *s, uint64_t now_ms)
{
	uint64_t ms = SUSPECT_MIN_MS;

	for (unsigned int i = 0; i < s->failures && ms < SUSPECT_MAX_MS; i++)
		ms *= 2;
	s->failures++;
	s->suspect_until_ms = now_ms + ms;
}

void
ld_dispatch_full(struct ld_server *s, uint64_t now_ms)
{
	if (s->suspect_until_ms < now_ms + FULL_BACKOFF_MS)
		s->suspect_until_ms = now_ms + FULL_BACKOFF_MS;
}

void
ld_dispatch_retry_after(struct ld_server *s, uint64_t now_ms, uint64_t after_ms)
{
	if (s->refuses_until_ms < now_ms + after_ms)
		s->refuses_until_ms = now_ms + after_ms;
}

void
ld_dispatch_answered(struct ld_server *s, uint64_t now_ms)
{
	s->failures = 0;
	s->last_byte_ms = now_ms;
}
