/* Placing: the server with the shortest predicted wait. */
#include <math.h>
#include <string.h>

#include "ld_dispatch.h"

/* A server that failed is passed over for so long, doubled by each failure in
 * a row, ms: some round trips, up to the life of an entry without a beat. */
#define SUSPECT_MIN_MS 250
#define SUSPECT_MAX_MS 4000
/* A server that was full is passed over for so long, ms: a few passes. */
#define FULL_MS 60
/* A plain server of another failure domain counts as so much later, ms: about a
 * round trip between domains. */
#define AWAY_MS 8
/* Groups are drawn at random, with weights that fall to a third for each of this,
 * ms: what several nodes send within the age of what they know adds about as
 * much to a group's wait. */
#define SPREAD_MS 20
/* A group of another failure domain counts as so much later, ms: bytes between
 * domains have a price, so that a twentieth goes there unless this one is full. */
#define GROUP_AWAY_MS (3 * SPREAD_MS)
/* A group at which this node has had no request for a while counts as so much
 * later, ms: a new connection has a price. Nodes come to use a few groups each. */
#define GROUP_COLD_MS (2 * SPREAD_MS)
/* Servers close a connection that is idle for longer than this at the soonest,
 * ms. */
#define WARM_MS 1000
/* Free slots that a group counts as having when it has none: requests that end
 * meanwhile make room. */
#define FREE_MIN 0.25
/* Weight of one first event in what is learnt once there were many, and its
 * bound, ms: a lost packet costs 200 ms and says nothing of the engine. */
#define BIAS_WEIGHT 0.05
#define BIAS_MAX_MS 200
/* When to come back if nothing is known about it, ms. */
#define RETRY_AFTER_MS 400
#define US_PER_MS 1000.0

const char *
ld_dispatch_verdict_name(enum ld_dispatch_verdict v)
{
	static const char *const names[] = {"send", "no-server", "too-late"};

	return names[v];
}

/* Reading fits between the steps of the requests that generate: each step reads
 * a chunk at most. */
static double
read_ms(const struct ld_engine_spec *e, double pace, double step, double tokens)
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

/* Time of one step with @running requests, in ms at pace 1. */
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
	double left_ms = head->read_until_ms - (double)now_ms;
	double wait_ms;

	/* The prompt waits for the end of a pass, and is told by its own. */
	wait_ms = 1.5 * e->stride * step;
	/* Beyond the slots, an answer must end before one more is begun. */
	if (running >= e->slots)
		wait_ms += (running - e->slots + 1) * e->usual_answer * step /
		    e->slots;
	return (uint64_t)((left_ms > 0 ? left_ms : 0) +
	    read_ms(e, pace, step, (double)prompt_tokens) + pace * wait_ms);
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
	if (head->read_until_ms < (double)now_ms)
		head->read_until_ms = (double)now_ms;
	head->read_until_ms += read_ms(e, m != NULL ? m->pace : 1.0,
	    step_ms(e, running < e->slots ? running : e->slots),
	    (double)tokens);
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
can_take(struct ld_servers *servers, const struct ld_dispatch_request *rq,
    const struct ld_server *s)
{
	const struct ld_engine_spec *e = &rq->service->engine;
	const struct ld_model_spec *m;

	if (!s->listed || s->entry.leaving ||
	    !ld_str_eq(ld_str_c(s->entry.service), ld_str_c(rq->service->name)))
		return false;
	if (e->model_count == 0)
		return true;
	m = model_of(e, s);
	return m != NULL && ld_str_eq(ld_str_c(m->name), rq->model) &&
	    ld_servers_group_whole(servers, s, m->size);
}

static bool
is_away(const struct ld_dispatch_request *rq, const struct ld_server *s)
{
	return !ld_str_eq(ld_str_c(s->entry.zone), rq->zone);
}

/* Only where there is no other. */
static bool
is_last_resort(const struct ld_dispatch_request *rq, const struct ld_server *s,
    uint64_t now_ms)
{
	return now_ms < s->suspect_until_ms || was_tried(rq, s);
}

/* Lower is better; a fraction of a millisecond breaks ties. */
static double
plain_cost(const struct ld_dispatch_request *rq, const struct ld_server *s,
    double random)
{
	return 10.0 * (s->active + s->peer_active) +
	    (is_away(rq, s) ? AWAY_MS : 0) + random;
}

/*
 * Lower is better. Many nodes choose by counts that are a moment old: if each
 * took the group that looks best, all would take the same one, whose slots then
 * run out. So a group is drawn with a weight that goes with its free slots and
 * falls with its wait; the least of costs less a Gumbel variate is such a draw.
 */
static double
group_cost(const struct ld_dispatch_request *rq, const struct ld_server *s,
    uint64_t first_ms, uint64_t now_ms, double random)
{
	double slots = rq->service->engine.slots;
	double free = slots - (s->active + s->peer_active);
	double cost = (double)first_ms;

	if (is_away(rq, s))
		cost += GROUP_AWAY_MS;
	if (s->active == 0 && now_ms >= s->heard_ms + WARM_MS)
		cost += GROUP_COLD_MS;
	if (free < FREE_MIN)
		free = FREE_MIN;
	return cost - SPREAD_MS * (log(free) - log(-log(random)));
}

/** struct draw - the choice among servers so far */
struct draw {
	struct ld_server *server;
	double cost;
	bool is_last_resort;
	struct ld_server *soonest; /* that is no last resort */
	uint64_t soonest_ms;
};

static void
consider(struct draw *d, const struct ld_dispatch_request *rq,
    struct ld_server *s, struct ld_rand *rand, uint64_t now_ms)
{
	const struct ld_engine_spec *e = &rq->service->engine;
	bool last = is_last_resort(rq, s, now_ms);
	double random = ld_rand_unit(rand), cost;
	uint64_t first_ms = 0;

	if (e->model_count > 0) {
		first_ms =
		    ld_dispatch_first_ms(e, s, rq->prompt_tokens, now_ms);
		cost = group_cost(
		    rq, s, first_ms, now_ms, random > 0 ? random : 0.5);
	} else {
		cost = plain_cost(rq, s, random);
	}
	if (!last && (d->soonest == NULL || first_ms < d->soonest_ms)) {
		d->soonest = s;
		d->soonest_ms = first_ms;
	}
	if (d->server != NULL &&
	    (last > d->is_last_resort ||
		(last == d->is_last_resort && cost >= d->cost)))
		return;
	d->server = s;
	d->cost = cost;
	d->is_last_resort = last;
}

enum ld_dispatch_verdict
ld_dispatch_pick(struct ld_servers *servers,
    const struct ld_dispatch_request *rq, struct ld_rand *rand, uint64_t now_ms,
    struct ld_dispatch_choice *out)
{
	const struct ld_engine_spec *e = &rq->service->engine;
	uint64_t asked_ms = 0; /* the soonest that a server wants requests */
	uint64_t bias_ms = rq->bias_ms > 0 ? (uint64_t)rq->bias_ms : 0;
	struct draw d = {0};

	*out = (struct ld_dispatch_choice){.retry_after_ms = RETRY_AFTER_MS};
	for (struct ld_server *s = ld_servers_first(servers); s != NULL;
	     s = s->next) {
		if (!can_take(servers, rq, s))
			continue;
		/* Not even where there is no other. */
		if (now_ms < s->refuses_until_ms) {
			if (asked_ms == 0 || s->refuses_until_ms < asked_ms)
				asked_ms = s->refuses_until_ms;
			continue;
		}
		out->candidates++;
		consider(&d, rq, s, rand, now_ms);
	}
	out->server = d.server;
	if (d.server == NULL && asked_ms > 0)
		out->retry_after_ms = asked_ms - now_ms;
	if (d.server == NULL || d.is_last_resort)
		return LD_DISPATCH_NO_SERVER;
	if (e->model_count == 0)
		return LD_DISPATCH_SEND;
	out->engine_ms =
	    ld_dispatch_first_ms(e, d.server, rq->prompt_tokens, now_ms);
	/* The draw is not worth an answer that is late. */
	if (out->engine_ms + bias_ms > rq->left_ms) {
		out->server = d.soonest;
		out->engine_ms = d.soonest_ms;
	}
	out->first_ms = out->engine_ms + bias_ms;
	/* An answer that is late takes the place of one in time. */
	if (out->first_ms > rq->left_ms) {
		out->retry_after_ms = out->first_ms;
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
ld_dispatch_learn(struct ld_dispatch_bias *b, struct ld_str model,
    uint64_t predicted_ms, uint64_t actual_ms)
{
	size_t i = bias_slot(b, model);
	double off = (double)actual_ms - (double)predicted_ms;
	double weight;

	if (i == LD_DISPATCH_MODELS_MAX)
		return;
	if (i == b->n) {
		b->model[i] = ld_hash64(model, 0);
		b->ms[i] = 0;
		b->seen[i] = 0;
		b->n++;
	}
	if (off > BIAS_MAX_MS)
		off = BIAS_MAX_MS;
	if (off < 0)
		off = 0;
	/* The first ones count as their mean. */
	b->seen[i]++;
	weight = 1.0 / b->seen[i];
	if (weight < BIAS_WEIGHT)
		weight = BIAS_WEIGHT;
	b->ms[i] += weight * (off - b->ms[i]);
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
	if (s->suspect_until_ms < now_ms + FULL_MS)
		s->suspect_until_ms = now_ms + FULL_MS;
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
	s->heard_ms = now_ms;
}
