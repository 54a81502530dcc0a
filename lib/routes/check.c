/* Findings in one configuration. */
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "ld_routes_check.h"

/* Rounding of shares that were written with few digits. */
#define SHARES_SLACK 0.01

void
ld_routes_find(struct ld_routes_findings *f, bool warning, const char *code,
    const char *where, const char *fmt, ...)
{
	struct ld_routes_finding *x;
	va_list ap;

	f->v = ld_realloc(f->v, (f->n + 1) * sizeof(*f->v));
	x = &f->v[f->n++];
	*x = (struct ld_routes_finding){
	    .warning = warning, .code = code, .where = ld_strdup(where)};
	va_start(ap, fmt);
	if (vasprintf(&x->text, fmt, ap) < 0)
		abort();
	va_end(ap);
}

void
ld_routes_findings_free(struct ld_routes_findings *f)
{
	for (size_t i = 0; i < f->n; i++) {
		free(f->v[i].where);
		free(f->v[i].text);
	}
	free(f->v);
	*f = (struct ld_routes_findings){0};
}

/* ---- Routes ---- */

/** struct ordered_rule - a rule and its place in the configuration */
struct ordered_rule {
	const struct ld_route_rule *rule;
	size_t index;
};

static int
compare_rules(const void *a, const void *b)
{
	const struct ordered_rule *x = a, *y = b;
	int order = strcasecmp(x->rule->host, y->rule->host);

	if (order == 0)
		order = strcmp(x->rule->prefix, y->rule->prefix);
	if (order == 0)
		order = x->index < y->index ? -1 : 1;
	return order;
}

static void
describe_rule(const struct ld_routes *r, size_t i, struct ld_buf *out)
{
	const struct ld_route_rule *rule = &r->rules[i];

	out->len = 0;
	ld_buf_printf(out, "route %zu (%s %s%s)", i,
	    rule->name != NULL ? rule->name : "-", rule->host, rule->prefix);
}

/* Of two rules with one host and prefix ld_routes_match() takes the later one. */
static void
find_hidden_rules(const struct ld_routes *r, struct ld_routes_findings *f)
{
	struct ordered_rule *v = ld_alloc((r->rule_count + 1) * sizeof(*v));
	struct ld_buf where = {0};

	for (size_t i = 0; i < r->rule_count; i++)
		v[i] = (struct ordered_rule){&r->rules[i], i};
	qsort(v, r->rule_count, sizeof(*v), compare_rules);
	for (size_t i = 1; i < r->rule_count; i++) {
		const struct ld_route_rule *a = v[i - 1].rule, *b = v[i].rule;

		if (strcasecmp(a->host, b->host) != 0 ||
		    strcmp(a->prefix, b->prefix) != 0)
			continue;
		describe_rule(r, v[i - 1].index, &where);
		ld_routes_find(f, true, "route-hidden", ld_buf_cstr(&where),
		    "never matches: route %zu has the same host and prefix",
		    v[i].index);
	}
	free(v);
	ld_buf_free(&where);
}

static void
check_shares(const struct ld_routes *r, const struct ld_route_rule *rule,
    const char *where, struct ld_routes_findings *f)
{
	uint64_t total = 0;

	for (size_t i = 0; i < rule->share_count; i++) {
		const struct ld_service_share *s = &rule->shares[i];
		struct ld_str name = ld_str_c(s->service);

		total += s->weight;
		if (ld_routes_service(r, name) == NULL)
			ld_routes_find(f, true, "service-unknown", where,
			    "no service is called %s: requests get 503",
			    s->service);
		else if (s->weight == 0)
			ld_routes_find(f, true, "share-empty", where,
			    "service %s has weight 0 and gets no requests",
			    s->service);
	}
	if (total == 0)
		ld_routes_find(f, true, "route-without-service", where,
		    "all weights are 0: requests get 503");
}

static void
check_times(const struct ld_route_rule *rule, const char *where,
    struct ld_routes_findings *f)
{
	unsigned long long timeout = rule->timeout_ms;
	unsigned long long objective = rule->objective_ms;

	if (timeout == 0)
		return;
	if (objective > timeout)
		ld_routes_find(f, true, "objective-after-timeout", where,
		    "its latency objective of %llu ms is above its timeout of "
		    "%llu ms",
		    objective, timeout);
	else if (rule->attempts > 1 && objective * rule->attempts > timeout)
		ld_routes_find(f, true, "attempts-after-timeout", where,
		    "%u attempts of %llu ms each, its latency objective, don't "
		    "fit into its timeout of %llu ms",
		    rule->attempts, objective, timeout);
	if (rule->gap_ms > timeout)
		ld_routes_find(f, true, "gap-after-timeout", where,
		    "its objective between two events of %llu ms is above its "
		    "timeout of %llu ms",
		    (unsigned long long)rule->gap_ms, timeout);
}

static void
check_rule(const struct ld_routes *r, size_t i, struct ld_routes_findings *f)
{
	const struct ld_route_rule *rule = &r->rules[i];
	struct ld_buf where = {0};

	describe_rule(r, i, &where);
	if (rule->prefix[0] != '\0' && rule->prefix[0] != '/')
		ld_routes_find(f, true, "prefix-unmatched", ld_buf_cstr(&where),
		    "never matches: its prefix doesn't begin with /");
	if (rule->attempts > 1 && rule->kind != LD_KIND_IDEMPOTENT &&
	    !(rule->kind == LD_KIND_STREAM && rule->resumable))
		ld_routes_find(f, true, "attempts-unused", ld_buf_cstr(&where),
		    "%u attempts on a route whose requests run at most once",
		    rule->attempts);
	if (rule->resumable && rule->kind != LD_KIND_STREAM)
		ld_routes_find(f, true, "resumable-unused", ld_buf_cstr(&where),
		    "resumable, but no route of streams");
	check_times(rule, ld_buf_cstr(&where), f);
	check_shares(r, rule, ld_buf_cstr(&where), f);
	ld_buf_free(&where);
}

/* ---- Services ---- */

static bool
has_route(const struct ld_routes *r, const char *service)
{
	for (size_t i = 0; i < r->rule_count; i++)
		for (size_t k = 0; k < r->rules[i].share_count; k++)
			if (r->rules[i].shares[k].weight > 0 &&
			    strcmp(r->rules[i].shares[k].service, service) == 0)
				return true;
	return false;
}

static void
check_models(const struct ld_engine_spec *e, const char *where,
    struct ld_routes_findings *f)
{
	double shares = 0;

	for (size_t i = 0; i < e->model_count; i++) {
		const struct ld_model_spec *m = &e->models[i];

		shares += m->work_share;
		if (ld_engine_model(e, ld_str_c(m->name)) != m)
			ld_routes_find(f, true, "model-hidden", where,
			    "model %s is listed before: this one has no effect",
			    m->name);
	}
	if (e->model_count > 0 && fabs(shares - 1) > SHARES_SLACK)
		ld_routes_find(f, true, "shares-of-work", where,
		    "the shares of its models add up to %.2f, not 1", shares);
}

static void
check_service(const struct ld_routes *r, const struct ld_service_spec *s,
    struct ld_routes_findings *f)
{
	struct ld_buf where = {0};

	where.len = 0;
	ld_buf_printf(&where, "service %s", s->name);
	if (ld_routes_service(r, ld_str_c(s->name)) != s)
		ld_routes_find(f, true, "service-hidden", ld_buf_cstr(&where),
		    "is listed before: this one has no effect");
	else if (!has_route(r, s->name))
		ld_routes_find(f, true, "service-without-route",
		    ld_buf_cstr(&where), "no route leads to it");
	check_models(&s->engine, ld_buf_cstr(&where), f);
	ld_buf_free(&where);
}

/* ---- Client accounts and limits ---- */

static size_t
count_keys(const struct ld_routes *r, size_t account)
{
	size_t n = 0;

	for (size_t i = 0; i < r->key_count; i++)
		n += r->keys[i].account == account;
	return n;
}

/* Keys are sorted by hash: equal ones follow each other, but for collisions. */
static void
find_repeated_keys(const struct ld_routes *r, struct ld_routes_findings *f)
{
	struct ld_buf where = {0};

	for (size_t i = 1; i < r->key_count; i++) {
		const struct ld_account_key *a = &r->keys[i - 1];
		const struct ld_account_key *b = &r->keys[i];

		if (a->hash != b->hash || strcmp(a->key, b->key) != 0)
			continue;
		where.len = 0;
		ld_buf_printf(
		    &where, "account %s", r->accounts[b->account].name);
		ld_routes_find(f, true, "key-repeated", ld_buf_cstr(&where),
		    "one of its keys is listed twice, also for account %s",
		    r->accounts[a->account].name);
	}
	ld_buf_free(&where);
}

static void
check_accounts(const struct ld_routes *r, struct ld_routes_findings *f)
{
	struct ld_buf where = {0};

	for (size_t i = 0; i < r->account_count; i++) {
		if (count_keys(r, i) > 0)
			continue;
		where.len = 0;
		ld_buf_printf(&where, "account %s", r->accounts[i].name);
		ld_routes_find(f, true, "account-without-key",
		    ld_buf_cstr(&where), "has no key");
	}
	find_repeated_keys(r, f);
	for (size_t i = 0; i < r->rule_count && r->account_count == 0; i++) {
		if (r->rules[i].anonymous)
			continue;
		describe_rule(r, i, &where);
		ld_routes_find(f, true, "route-open", ld_buf_cstr(&where),
		    "needs a key, but without any account all requests are "
		    "accepted");
	}
	ld_buf_free(&where);
}

static void
check_bounds(const struct ld_client_bounds *b, struct ld_routes_findings *f)
{
	if (b->max_body_bytes == 0 || b->head_timeout_ms == 0 ||
	    b->idle_timeout_ms == 0)
		ld_routes_find(f, true, "limits-incomplete", "limits",
		    "a limit is missing or 0: nodes keep those they have");
}

void
ld_routes_check(const struct ld_routes *r, struct ld_routes_findings *f)
{
	for (size_t i = 0; i < r->rule_count; i++)
		check_rule(r, i, f);
	find_hidden_rules(r, f);
	for (size_t i = 0; i < r->service_count; i++)
		check_service(r, &r->services[i], f);
	check_accounts(r, f);
	check_bounds(&r->bounds, f);
}
